"""Offer to relay an owner's calls to workers that it can't reach."""

import random
import threading
import typing

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import controlwatcher
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import relays

# All processes see a request at the same moment.  The first offers are
# enough, so a random delay avoids most of the connections to the workers.
MAX_DELAY_S = 0.5
# A weak VM offers after the others.
WEAK_VM_DELAY_S = 0.5
# How many relays of a worker are enough: if one ends, another is known.
RELAYS_PER_WORKER = 2
# An offer ends this long after its last renewal.  It is renewed while a
# tunnel is open, so a successor of the owner finds it.
OFFER_TTL_S = 30.0
RENEW_PERIOD_S = 10.0
MAX_IDLE_S = 0.5


class RelayOffers:
    """Answer requests of owners that need relays.

    key is that of this process's offer.  is_owner returns whether this
    process owns the fleet.
    """

    def __init__(self, store: interfaces.Store,
                 watcher: controlwatcher.ControlWatcher, key: str,
                 probe: interfaces.ReachProbe,
                 worker_list: interfaces.WorkerList,
                 listener: interfaces.RelayListener,
                 is_owner: typing.Callable[[], bool],
                 is_weak_vm: bool = False) -> None:
        self.store = store
        self.watcher = watcher
        self.key = key
        self.probe = probe
        self.worker_list = worker_list
        self.listener = listener
        self.is_owner = is_owner
        self.delay_s = WEAK_VM_DELAY_S if is_weak_vm else 0.0
        self.answered_revision = 0
        # The workers that this process offers to relay to.
        self.offered: set[str] = set()
        self.lease_id = 0
        self.offer_revision = 0
        # When the lease was granted or renewed, and when that was last tried.
        self.renewed_at = 0.0
        self.tried_at = 0.0
        self.stopped = threading.Event()

    def run(self) -> None:
        """Answer each request once and keep the offer, until stopped."""
        while not self.stopped.is_set():
            try:
                item = self._wait_for_request()
                if item is not None:
                    self.answered_revision = item.revision
                    self._answer(item)
                self._keep_offer(clock.now())
            except (interfaces.CallFailed, interfaces.LeaseEnded) as exc:
                events.emit(events.STORE_UNREACHABLE,
                            reason=f"offer to relay: {exc}")
            except Exception as exc:
                # Later requests must still be answered.
                events.emit(events.THREAD_FAILED, reason=repr(exc),
                            where=events.error_location(exc))
                self.stopped.wait(MAX_IDLE_S)
        self._withdraw()

    def stop(self) -> None:
        """Open no more tunnels; the thread then withdraws the offer."""
        self.stopped.set()
        self.listener.close()
        with self.watcher.owner_changed:
            self.watcher.owner_changed.notify_all()

    def _wait_for_request(self) -> messages.Item | None:
        """Return a request that has not been answered, or None if none is."""
        with self.watcher.owner_changed:
            if (not self._is_new(self.watcher.relay_request)
                    and not self.stopped.is_set()):
                self.watcher.owner_changed.wait(MAX_IDLE_S)
            item = self.watcher.relay_request
            return item if self._is_new(item) else None

    def _is_new(self, item: messages.Item | None) -> bool:
        return item is not None and item.revision != self.answered_revision

    def _answer(self, item: messages.Item) -> None:
        try:
            requested = relays.decode_request(item.value)
        except ValueError as exc:
            events.emit(events.RECORD_UNREADABLE, key=item.key,
                        reason=str(exc))
            return
        self.stopped.wait(self.delay_s + random.uniform(0.0, MAX_DELAY_S))
        if (self.stopped.is_set() or self.is_owner()
                or self.watcher.relay_request != item):
            return
        directory = self.watcher.relays
        reached = self.probe.find_reached(
            worker for worker in requested
            if directory.count_since(item.revision, worker)
            < RELAYS_PER_WORKER)
        if not reached:
            return
        reached &= self._listed()
        # Addresses of earlier requests are dropped first.
        kept = sorted(self.offered - reached)[
            :max(0, relays.MAX_ADDRESSES - len(reached))]
        if reached:
            self._make_offer(reached.union(kept))

    def _listed(self) -> set[str]:
        return {entry.address for entry in self.worker_list.workers()}

    def _make_offer(self, workers: set[str]) -> None:
        """Store an offer of workers; raises CallFailed or LeaseEnded."""
        address = self.listener.listen(workers)
        if not address:
            return
        now = clock.now()
        self.lease_id = self.store.grant(int(OFFER_TTL_S * 1000))
        self.offered = workers
        self.renewed_at = self.tried_at = now
        self.offer_revision = self.store.commit(messages.Transaction(
            puts=(messages.Put(self.key, relays.encode_offer(relays.Offer(
                address, tuple(sorted(workers)))), self.lease_id),)))
        events.emit(events.RELAY_OFFERED, workers=len(workers),
                    address=address)

    def _keep_offer(self, now: float) -> None:
        """Renew the offer while it is used; else let it expire."""
        if not self.offered or now - self.tried_at < RENEW_PERIOD_S:
            return
        self.tried_at = now
        if self.listener.tunnels_open():
            self._renew(now)
        elif now - self.renewed_at >= OFFER_TTL_S:
            self.offered = set()
            self.listener.listen(self.offered)

    def _renew(self, now: float) -> None:
        workers = self.offered - self.listener.take_failed()
        workers &= self._listed()
        if workers != self.offered:
            self._make_offer(workers)
            return
        try:
            self.store.renew(self.lease_id)
            self.renewed_at = now
        except interfaces.LeaseEnded:
            self._make_offer(workers)

    def _withdraw(self) -> None:
        if not self.offer_revision:
            return
        try:
            # The next process on this VM may have made an offer.
            self.store.commit(messages.Transaction(
                (messages.Expect(self.key, self.offer_revision),), (),
                (self.key,)))
        except interfaces.Conflict:
            return
        except (interfaces.CallFailed, interfaces.LeaseEnded) as exc:
            # The offer expires with its lease.
            events.emit(events.STORE_UNREACHABLE,
                        reason=f"offer to relay: {exc}")
