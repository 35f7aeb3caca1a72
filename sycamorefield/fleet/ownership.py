"""Elect the owner of the fleet through a leased key in the store."""

import dataclasses
import functools
import random
import threading
import typing
import uuid

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import controlwatcher
from sycamorefield.fleet import handover
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import owner as owner_mod
from sycamorefield.fleet import recentstarts
from sycamorefield.fleet import records
from sycamorefield.fleet import relays
from sycamorefield.fleet import silentworkers

LEASE_TTL_MS = int(owner_mod.OWNER_LEASE_S * 1000)
RENEW_PERIOD_S = 0.5
# All processes see the removal of the key at the same moment.  A random delay
# spares the store most of the claims that cannot win.
CLAIM_JITTER_S = 0.08
# On a VM with fewer cores, the owner of a large fleet uses all of its
# processor time: it cannot order starts fast enough, and urgent tasks wait
# although workers have free cores.  Such a VM delays its claim so that a
# stronger one can win.
MIN_OWNER_CORES = 1.0
# How long a weak VM delays its claim.  A claim takes three calls to the store,
# one after another.  If there is no stronger VM, each takeover is delayed by
# this much.
WEAK_VM_CLAIM_DELAY_S = 0.4
RETRY_PAUSE_S = 0.2
# How long a process leaves the claim to one that has offered to take over,
# because it reaches more workers.
OFFER_PRIORITY_S = 1.0
# The pause after a term that an unexpected error ended.  The error may be one
# of this process alone, for example if it may start no more threads.  Within
# the pause a weak VM can claim the fleet, with its delay and with a store that
# answers slowly.
FAILED_TERM_PAUSE_S = 1.0
# How long a process leaves a free key to those that saw the claim before.
OBSERVER_PRIORITY_S = 0.15

# The rules by which a process waits before it claims the key.
REPLACES_KEY = "key replaced"
ANY_ORDER = "any order"
STARTED_LAST = "started last"
OTHER_STARTED_LATER = "other started later"
HAS_OFFERED = "has offered"
OTHER_HAS_OFFERED = "other has offered"
OTHER_SAW_CLAIM = "other saw claim"

OwnerFactory = typing.Callable[[int], owner_mod.Owner]


def claim_delay_s(cores: float, weak_vms_wait: bool = True) -> float:
    """Return how long a VM waits before it claims a free fleet."""
    if cores >= MIN_OWNER_CORES or not weak_vms_wait:
        return 0.0
    return WEAK_VM_CLAIM_DELAY_S


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimWait:
    """How long a process waits before it claims a free key, and why.

    release is the revision of the last planned release at the start of the
    wait, 0 if there was none; None if the claim does not depend on it.
    """

    seconds: float
    rule: str
    release: int | None = None


def _expect_release(revision: int | None) -> tuple[messages.Expect, ...]:
    if revision is None:
        return ()
    return (messages.Expect(records.PLANNED_RELEASE_KEY, revision),)


class Ownership:
    """Claim the owner's key when it is free, then run an Owner.

    claim_delay_s gives stronger VMs time to claim the key first.  vm is the
    address of the VM if no other process of the system ever runs there at the
    same time, otherwise empty.
    """

    def __init__(self, store: interfaces.Store,
                 watcher: controlwatcher.ControlWatcher, name: str,
                 make_owner: OwnerFactory, claim_delay_s: float = 0.0,
                 vm: str = "") -> None:
        self.store = store
        self.watcher = watcher
        self.vm_identity = f"{name}@{vm} ".encode() if vm else b""
        self.identity = (self.vm_identity or f"{name} ".encode()
                         ) + uuid.uuid4().hex.encode()
        self.make_owner = make_owner
        self.claim_delay_s = claim_delay_s
        self.owner: owner_mod.Owner | None = None
        self.lease_id = 0
        # When the last call that granted or renewed the lease was sent.
        self.lease_requested_at = 0.0
        # The wait before the last claim.
        self.claim_wait = ClaimWait(0.0, REPLACES_KEY)
        # The record of a planned stop that the last claim removed.
        self.handover_item: messages.Item | None = None
        self.request_limit = handover.RequestLimit()
        # The fence of the last term that was ended by a handover.
        self.handed_over_fence = 0
        # The claim of the process before on this VM that is left to expire.
        self.unreplaced_claim = 0
        self.stopped = threading.Event()

    def run(self) -> None:
        """Claim and run terms until stopped."""
        while not self.stopped.is_set():
            try:
                self._wait_until_claimable()
                if self.stopped.is_set():
                    return
                fence = self._claim()
                if fence:
                    self._run_term(fence)
            except interfaces.CallFailed as exc:
                events.emit(events.STORE_UNREACHABLE,
                            reason=f"owner claim: {exc}")
                self.stopped.wait(RETRY_PAUSE_S)
            except Exception as exc:
                events.emit(events.THREAD_FAILED, reason=repr(exc),
                            where=events.error_location(exc))
                self.stopped.wait(RETRY_PAUSE_S)

    def _wait_until_claimable(self) -> None:
        """Wait until the key is free or may be replaced by this process.

        A key that was handed over is left to expire if its release was lost.
        """
        with self.watcher.owner_changed:
            while not self.stopped.is_set():
                if (self.watcher.owner_known
                        and self.watcher.configuration_known):
                    item = self.watcher.owner_item
                    if (item is not None
                            and item.revision != self.unreplaced_claim):
                        self.unreplaced_claim = 0
                    if item is None or (
                            self._may_replace(item)
                            and item.revision != self.handed_over_fence):
                        break
                self.watcher.owner_changed.wait(0.5)
        self.claim_wait = ClaimWait(0.0, REPLACES_KEY)
        if self.watcher.owner_item is None:
            self.claim_wait = self._plan_claim_wait()
            self.stopped.wait(self.claim_wait.seconds)

    def _may_replace(self, item: messages.Item) -> bool:
        """Return whether the holder of the key is known not to act any more.

        It is this process if the answer to a claim was lost or an earlier
        term did not release the key.  Or it is the process that ran on this VM
        before: it has ended, and waiting for its lease to expire would leave
        the fleet without an owner.
        """
        return item.value == self.identity or bool(
            self.vm_identity and item.value.startswith(self.vm_identity))

    def _claim_wait_s(self) -> float:
        """Return how long to wait before claiming a free key."""
        return self._plan_claim_wait().seconds

    def _plan_claim_wait(self) -> ClaimWait:
        # Read first: a release that is seen during the planning must not count
        # as the one that was planned for.
        release = self.watcher.planned_release_revision()
        return dataclasses.replace(self._plan_wait_by_offer(),
                                   release=release)

    def _plan_wait_by_offer(self) -> ClaimWait:
        jitter_s = random.uniform(0, CLAIM_JITTER_S)
        offer = self.watcher.handover_offer
        if offer is None:
            return self._plan_wait_by_start(jitter_s)
        if handover.is_offer_by(offer, self.identity):
            return ClaimWait(0.0, HAS_OFFERED)
        return ClaimWait(self.claim_delay_s + jitter_s + OFFER_PRIORITY_S,
                         OTHER_HAS_OFFERED)

    def _plan_wait_by_start(self, jitter_s: float) -> ClaimWait:
        """Leave the claim to a process started later.

        Only the jitter is left if the key has expired with its lease.  The
        process that started last claims at once.
        """
        stopped = self.watcher.stopped_owner()
        starts = self.watcher.recent_starts
        if self.unreplaced_claim and not stopped:
            return ClaimWait(
                self.claim_delay_s + jitter_s + OBSERVER_PRIORITY_S,
                OTHER_SAW_CLAIM)
        if stopped and starts.has_later(self.claim_delay_s, stopped):
            return ClaimWait(
                self.claim_delay_s + jitter_s
                + recentstarts.RECENT_START_PRIORITY_S, OTHER_STARTED_LATER)
        if stopped and starts.is_announced():
            return ClaimWait(self.claim_delay_s, STARTED_LAST)
        return ClaimWait(self.claim_delay_s + jitter_s, ANY_ORDER)

    def _claim(self) -> int:
        """Return the fence (the key's new revision), or 0 if another won.

        A key that this process may replace is written again.  Each term needs
        a higher fence than all earlier ones.  Otherwise runs that an earlier
        term started, and its calls that are still in flight, would be taken
        for those of the new term.

        The claim removes the record of the last owner's planned stop, so that
        no later owner relies on it.

        The claim of a free key fails if the key was claimed and released as
        planned during the wait: another process may have to go first now.
        """
        item = self.watcher.owner_item
        if item is not None and not self._may_replace(item):
            # Another process claimed the key during the wait.
            return 0
        if item is not None and self._leaves_to_observers(item):
            self.stopped.wait(RETRY_PAUSE_S)
            return 0
        release = self.claim_wait.release
        if release not in (None, self.watcher.planned_release_revision()):
            return 0
        revision = item.revision if item is not None else 0
        self.handover_item = None
        handover_item = self.store.get(records.HANDOVER_KEY)
        self.lease_requested_at = clock.now()
        self.lease_id = self.store.grant(LEASE_TTL_MS)
        try:
            fence = self.store.commit(messages.Transaction(
                (messages.Expect(records.OWNER_KEY, revision),
                 messages.Expect(
                     records.HANDOVER_KEY,
                     handover_item.revision if handover_item else 0),
                 *_expect_release(release)),
                (messages.Put(records.OWNER_KEY, self.identity,
                              self.lease_id),),
                (records.HANDOVER_KEY,) if handover_item else ()))
        except interfaces.Conflict as exc:
            self.watcher.apply_owner_read(exc.item_for(records.OWNER_KEY))
            self.watcher.apply_release_read(
                exc.item_for(records.PLANNED_RELEASE_KEY))
            return 0
        except interfaces.LeaseEnded:
            # The call for the lease took longer than its TTL.  The next
            # attempt requests a new lease.
            return 0
        self.handover_item = handover_item
        events.emit(events.OWNERSHIP_CLAIMED, fence=fence, replaced=revision,
                    waited_s=round(self.claim_wait.seconds, 3),
                    wait_rule=self.claim_wait.rule)
        self._note_offer()
        return fence

    def _leaves_to_observers(self, item: messages.Item) -> bool:
        """Return whether other processes should claim the key once it expires.

        The process before on this VM ended right after its claim and left
        workers that are silent, which wait since the owner before.  Processes
        that saw its claim know how long ago that was, so tasks of these
        workers wait less under them.  If none claims the key, this one does.
        After a longer term, most of the wait is over by then, and no owner
        for so long costs all other tasks more.
        """
        if item.value == self.identity:
            return False
        seen_s = clock.now() - self.watcher.owner_changes.seen_at(
            item.revision)
        if seen_s >= owner_mod.OWNER_LEASE_S:
            return False
        if self.unreplaced_claim != item.revision:
            record = self.store.get(records.SILENT_WORKERS_KEY)
            if record is None or not silentworkers.shows_brief_term(
                    record.value, owner_mod.OWNER_LEASE_S):
                return False
            self.unreplaced_claim = item.revision
        return True

    def _note_offer(self) -> None:
        """Limit the requests of a term that began by an offer."""
        offer = self.watcher.handover_offer
        if offer is not None and handover.is_offer_by(offer, self.identity):
            self.request_limit = handover.limit_after_offer(
                self.watcher.handover_request, clock.now())

    def _run_term(self, fence: int) -> None:
        """Run an Owner until it steps down, then let others claim the key.

        The key is released even if the owner or one of its threads could not
        be started.  Otherwise this process would keep the fleet without
        scheduling it, or claim it again and again.
        """
        try:
            failed = self._run_owner(fence)
        except Exception as exc:
            failed = True
            events.emit(events.THREAD_FAILED, reason=repr(exc),
                        where=events.error_location(exc))
        if self.stopped.is_set():
            return
        if self.handed_over_fence == fence:
            self._release_for_offer(fence)
            return
        item = self.watcher.owner_item
        if failed or (item is not None and item.value == self.identity):
            # The term may have ended by a fault of this process.
            self._release_concurrently(fence)
        self.stopped.wait(FAILED_TERM_PAUSE_S if failed else RETRY_PAUSE_S)

    def _run_owner(self, fence: int) -> bool:
        """Run an Owner; return whether an unexpected error ended its term."""
        owner = self.make_owner(fence)
        # The claim may succeed seconds after its lease was granted.
        owner.note_lease_renewal(self.lease_requested_at)
        owner.handover_item = self.handover_item
        owner.claim_sent_at = self.lease_requested_at
        owner.claim_seen_at = self.watcher.owner_changes.seen_at
        self.owner = owner
        if self.stopped.is_set():
            # stop() was called during the claim and found no owner to stop.
            self.owner = None
            owner.step_down("planned stop")
            self.release(fence, self.handover_item.value
                         if self.handover_item else None)
            return False
        try:
            for target in (self._renew_lease, self._watch_owner_key,
                           self._watch_reach):
                threading.Thread(
                    target=owner.run_guarded,
                    args=(functools.partial(target, owner),),
                    daemon=True).start()
            owner.run()
        finally:
            owner.step_down("term ended")
            if owner.handed_over:
                self.handed_over_fence = fence
            self.owner = None
        return owner.failed

    def _release_for_offer(self, fence: int) -> None:
        """Release the key, with repeats until it expires with its lease."""
        deadline = clock.now() + owner_mod.OWNER_LEASE_S
        while not self.release(fence) and clock.now() < deadline:
            if self.stopped.wait(RETRY_PAUSE_S):
                return

    def _release_concurrently(self, fence: int) -> None:
        """Release the key without waiting for the store, if possible."""
        try:
            threading.Thread(target=self.release, args=(fence,),
                             daemon=True).start()
        except RuntimeError:
            # The process may start no more threads.
            self.release(fence)

    def _renew_lease(self, owner: owner_mod.Owner) -> None:
        while not owner.stepped_down.wait(RENEW_PERIOD_S):
            sent_at = clock.now()
            try:
                self.store.renew(self.lease_id)
                owner.note_lease_renewal(sent_at)
            except interfaces.LeaseEnded:
                owner.step_down("lease ended")
            except interfaces.CallFailed as exc:
                events.emit(events.STORE_UNREACHABLE,
                            reason=f"lease renewal: {exc}")

    def _watch_owner_key(self, owner: owner_mod.Owner) -> None:
        """Step down when the key is removed or claimed by another."""
        while not owner.stepped_down.is_set():
            with self.watcher.owner_changed:
                if not self._key_seems_lost(owner):
                    self.watcher.owner_changed.wait(0.5)
                seems_lost = self._key_seems_lost(owner)
            # The read may take a second, so it is made without the lock of
            # the watcher, which would be blocked otherwise.
            if seems_lost and not self._confirm_key_lost(owner):
                owner.stepped_down.wait(RETRY_PAUSE_S)

    def _watch_reach(self, owner: owner_mod.Owner) -> None:
        """Hand over to a process that reaches more workers; ask for relays."""
        requests = handover.HandoverRequests(
            self.store, self.watcher, owner.fleet, self.lease_id,
            self.request_limit)
        relay_requests = relays.RelayRequests(
            self.store, owner.fleet, self.lease_id, requests.unreached)
        while not owner.stepped_down.wait(handover.CHECK_PERIOD_S):
            if not owner.recovered:
                continue
            if requests.update(clock.now()):
                owner.recorder.flush()
                if requests.has_offer():
                    owner.hand_over()
                    return
            relay_requests.update(clock.now())

    def _key_seems_lost(self, owner: owner_mod.Owner) -> bool:
        item = self.watcher.owner_item
        if not self.watcher.owner_known:
            return False
        return item is None or item.revision > owner.fence

    def _confirm_key_lost(self, owner: owner_mod.Owner) -> bool:
        """Read the key; step down and return True if the claim is lost.

        The read is needed because the watched state may be older than the
        claim.
        """
        try:
            item = self.store.get(records.OWNER_KEY)
        except interfaces.CallFailed as exc:
            events.emit(events.STORE_UNREACHABLE,
                        reason=f"owner key read: {exc}")
            return False
        self.watcher.apply_owner_read(item)
        if item is not None and item.revision == owner.fence:
            return False
        owner.step_down("owner's key removed or claimed by another")
        return True

    def release(self, fence: int, handover_data: bytes | None = None) -> bool:
        """Remove the key so that a successor need not wait for the lease.

        The record of a planned stop is stored only with the removal, so there
        is none beside a new owner.  Return whether the key is certainly
        removed.
        """
        puts = self._release_record()
        if handover_data is not None:
            puts += (messages.Put(records.HANDOVER_KEY, handover_data),)
        try:
            self.store.commit(messages.Transaction(
                (messages.Expect(records.OWNER_KEY, fence),),
                puts, (records.OWNER_KEY,)))
            events.emit(events.OWNERSHIP_RELEASED, fence=fence,
                        record_bytes=len(handover_data or b""))
            return True
        except interfaces.Conflict:
            # An earlier call has removed it, or it has expired.
            events.emit(events.OWNERSHIP_RELEASED, fence=fence,
                        reason="removed before")
            return True
        except (interfaces.CallFailed, interfaces.LeaseEnded) as exc:
            events.emit(events.STORE_UNREACHABLE,
                        reason=f"owner release: {exc}")
        except Exception as exc:
            # The key expires with its lease.
            events.emit(events.THREAD_FAILED, reason=repr(exc),
                        where=events.error_location(exc))
        return False

    def _release_record(self) -> tuple[messages.Put, ...]:
        """Return a record of the release if it is for a planned stop."""
        if not self.stopped.is_set():
            return ()
        return (messages.Put(records.PLANNED_RELEASE_KEY, self.identity),)

    def stop(self) -> None:
        """Stop claiming; flush and release the fleet if owned here."""
        self.stopped.set()
        with self.watcher.owner_changed:
            self.watcher.owner_changed.notify_all()
        owner = self.owner
        if owner is None:
            return
        if owner.recovered:
            owner.run_guarded(owner.store_for_successor)
        owner.step_down("planned stop")
        self.release(owner.fence, self._handover_data(owner))

    @staticmethod
    def _handover_data(owner: owner_mod.Owner) -> bytes | None:
        """Return the record for a successor, or None after an error."""
        if owner.failed:
            return None
        try:
            return owner.handover_data()
        except Exception as exc:
            events.emit(events.THREAD_FAILED, reason=repr(exc),
                        where=events.error_location(exc))
            return None
