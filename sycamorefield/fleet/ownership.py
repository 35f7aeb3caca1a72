"""Compete for the ownership of the fleet, and keep it while alive."""

import random
import threading
import typing
import uuid

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import messages
from sycamorefield.fleet import operatorview
from sycamorefield.fleet import owner as owner_mod
from sycamorefield.fleet import records
from sycamorefield.fleet import surroundings

LEASE_TTL_MS = int(owner_mod.OWN_LEASE_S * 1000)
RENEW_PERIOD_S = 0.5
# Processes that see the key go at the same moment try at different times,
# which spares the store most of the claims that cannot win.
CLAIM_JITTER_S = 0.08
# The owner of a large fleet on a weak VM uses all its processor time: urgent
# tasks wait beside free cores because it can't order more starts.  A VM with
# less than this leaves the claim to others that may be about to make it.
OWNER_CORES = 1.0
# A claim takes two calls to the store, 0.5 s where it answers 60 times more
# slowly than usual; without a stronger VM a takeover is this much later.
WEAK_PATIENCE_S = 0.4
RETRY_PAUSE_S = 0.2

OwnerFactory = typing.Callable[[int], owner_mod.Owner]


def patience_s(cores: float, weak_vms_wait: bool = True) -> float:
    """Return how long a VM leaves a free fleet to stronger ones."""
    if cores >= OWNER_CORES or not weak_vms_wait:
        return 0.0
    return WEAK_PATIENCE_S


class Ownership:
    """Claim the owner's key when it is free and run an Owner meanwhile."""

    def __init__(self, store: surroundings.Store,
                 view: operatorview.OperatorView, name: str,
                 make_owner: OwnerFactory, patience: float = 0.0) -> None:
        self.store = store
        self.view = view
        self.value = f"{name} {uuid.uuid4().hex}".encode()
        self.make_owner = make_owner
        self.patience = patience
        self.owner: owner_mod.Owner | None = None
        self.lease = 0
        # When the call was sent that granted or renewed the lease last.
        self.leased_at = 0.0
        self.stopped = threading.Event()

    def run(self) -> None:
        """Compete until stopped."""
        while not self.stopped.is_set():
            self._wait_for_turn()
            if self.stopped.is_set():
                return
            try:
                fence = self._claim()
            except surroundings.CallFailed as exc:
                events.emit(events.STORE_UNREACHABLE, reason=f"claim: {exc}")
                self.stopped.wait(RETRY_PAUSE_S)
                continue
            if fence:
                self._serve(fence)

    def _wait_for_turn(self) -> None:
        """Wait until the key is free, or is ours without our knowing."""
        with self.view.changed:
            while not self.stopped.is_set():
                if self.view.owner_known and self.view.known:
                    item = self.view.owner
                    if item is None or item.value == self.value:
                        break
                self.view.changed.wait(0.5)
        if self.view.owner is None:
            self.stopped.wait(
                self.patience + random.uniform(0, CLAIM_JITTER_S))

    def _claim(self) -> int:
        """Return the fence (the key's new revision), or 0 if another won.

        A key that holds our value is written again: it may be of an earlier
        term, or of a claim whose answer was lost.  Each term needs a fence
        above that of every other, or what the earlier one started, and its
        calls that are still under way, would pass for the new one's.
        """
        item = self.view.owner
        if item is not None and item.value != self.value:
            # While this process waited, another claimed the key.
            return 0
        revision = item.revision if item is not None else 0
        self.leased_at = clock.now()
        self.lease = self.store.grant(LEASE_TTL_MS)
        try:
            fence = self.store.commit(messages.Transaction(
                (messages.Expect(records.OWNER_KEY, revision),),
                (messages.Put(records.OWNER_KEY, self.value, self.lease),)))
        except surroundings.Conflict as exc:
            self.view.owner_read(exc.at(records.OWNER_KEY))
            return 0
        except surroundings.LeaseEnded:
            # The grant took longer than the lease; the next try asks anew.
            return 0
        events.emit(events.OWNERSHIP_CLAIMED, fence=fence, replaced=revision)
        return fence

    def _serve(self, fence: int) -> None:
        owner = self.make_owner(fence)
        # A claim may come seconds after its lease was granted.
        owner.lease_renewed(self.leased_at)
        self.owner = owner
        if self.stopped.is_set():
            # A stop during the claim found no owner to hand over.
            self.owner = None
            owner.step_down("planned stop")
            self.release(fence)
            return
        threading.Thread(target=self._renew, args=(owner,),
                         daemon=True).start()
        threading.Thread(target=self._check, args=(owner,),
                         daemon=True).start()
        owner.run()
        owner.step_down("ended")
        self.owner = None
        if self.stopped.is_set():
            return
        item = self.view.owner
        if item is not None and item.value == self.value:
            # Lets others claim it: the term may have ended by a fault here.
            threading.Thread(target=self.release, args=(fence,),
                             daemon=True).start()
        self.stopped.wait(RETRY_PAUSE_S)

    def _renew(self, owner: owner_mod.Owner) -> None:
        while not owner.over.wait(RENEW_PERIOD_S):
            sent = clock.now()
            try:
                self.store.renew(self.lease)
                owner.lease_renewed(sent)
            except surroundings.LeaseEnded:
                owner.step_down("lease ended")
            except surroundings.CallFailed as exc:
                events.emit(events.STORE_UNREACHABLE, reason=f"renewal: {exc}")

    def _check(self, owner: owner_mod.Owner) -> None:
        """Step down when the key is seen to be gone or another's."""
        while not owner.over.is_set():
            with self.view.changed:
                if not self._seems_lost(owner):
                    self.view.changed.wait(0.5)
                suspect = self._seems_lost(owner)
            # The read may take a second; the view goes on meanwhile.
            if suspect and not self._is_lost(owner):
                owner.over.wait(RETRY_PAUSE_S)

    def _seems_lost(self, owner: owner_mod.Owner) -> bool:
        item = self.view.owner
        if not self.view.owner_known:
            return False
        return item is None or item.revision > owner.fence

    def _is_lost(self, owner: owner_mod.Owner) -> bool:
        """Read the key itself: the watch may be older than the claim."""
        try:
            item = self.store.get(records.OWNER_KEY)
        except surroundings.CallFailed as exc:
            events.emit(events.STORE_UNREACHABLE, reason=f"owner's key: {exc}")
            return False
        self.view.owner_read(item)
        if item is not None and item.revision == owner.fence:
            return False
        owner.step_down("owner's key is gone or another's")
        return True

    def release(self, fence: int) -> None:
        """Remove the key, so that a successor need not wait for the lease."""
        try:
            self.store.commit(messages.Transaction(
                (messages.Expect(records.OWNER_KEY, fence),), (),
                (records.OWNER_KEY,)))
            events.emit(events.OWNERSHIP_RELEASED, fence=fence)
        except (surroundings.CallFailed, surroundings.Conflict,
                surroundings.LeaseEnded) as exc:
            events.emit(events.STORE_UNREACHABLE, reason=f"release: {exc}")

    def stop(self) -> None:
        """Stop competing; hand the fleet over if this process owns it."""
        self.stopped.set()
        with self.view.changed:
            self.view.changed.notify_all()
        owner = self.owner
        if owner is None:
            return
        if owner.recovered:
            owner.recorder.flush()
        owner.step_down("planned stop")
        self.release(owner.fence)
