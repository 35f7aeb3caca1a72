"""Offer to take over a fleet of which its owner reaches too few workers."""

import random
import threading
import typing

from sycamorefield import events
from sycamorefield.fleet import controlwatcher
from sycamorefield.fleet import handover
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import records

# All processes see a request at the same moment.  The first offer is enough,
# so a random delay spares the workers most of the connections.
MAX_DELAY_S = 0.3
# A weak VM tries after all others: as an owner it may start too few tasks.
WEAK_VM_DELAY_S = 0.5
# A process that reaches no worker would wait this long before its offer; one
# that reaches all makes it at once.
MISSING_WORKERS_DELAY_S = 2.0
# An offer is void after this time.
OFFER_TTL_MS = 4000


class Volunteer:
    """Answer requests of owners that do not reach enough workers.

    is_owner returns whether this process owns the fleet.
    """

    def __init__(self, store: interfaces.Store,
                 watcher: controlwatcher.ControlWatcher, identity: bytes,
                 probe: interfaces.ReachProbe,
                 is_owner: typing.Callable[[], bool],
                 is_weak_vm: bool = False) -> None:
        self.store = store
        self.watcher = watcher
        self.identity = identity
        self.probe = probe
        self.is_owner = is_owner
        self.delay_s = WEAK_VM_DELAY_S if is_weak_vm else 0.0
        self.answered_revision = 0
        self.stopped = threading.Event()

    def run(self) -> None:
        """Answer each request once, until stopped."""
        while not self.stopped.is_set():
            item = self._wait_for_request()
            if item is None:
                continue
            self.answered_revision = item.revision
            try:
                self._answer(item)
            except Exception as exc:
                # Later requests must still be answered.
                events.emit(events.THREAD_FAILED, reason=repr(exc),
                            where=events.error_location(exc))

    def stop(self) -> None:
        """Make no more offers."""
        self.stopped.set()

    def _wait_for_request(self) -> messages.Item | None:
        """Return a request that has not been answered, or None if none is."""
        with self.watcher.owner_changed:
            if not self._is_new(self.watcher.handover_request):
                self.watcher.owner_changed.wait(0.5)
            item = self.watcher.handover_request
            return item if self._is_new(item) else None

    def _is_new(self, item: messages.Item | None) -> bool:
        return item is not None and item.revision != self.answered_revision

    def _answer(self, item: messages.Item) -> None:
        try:
            request = handover.decode_request(item.value)
        except ValueError as exc:
            events.emit(events.RECORD_UNREADABLE, key=item.key,
                        reason=str(exc))
            return
        self.stopped.wait(self.delay_s + random.uniform(0.0, MAX_DELAY_S))
        if not self._is_open(item):
            return
        answering = self.probe.find_reached(
            request.unreached_addresses())
        if not request.is_improved_by(answering.union(
                request.reached_sample)):
            return
        answering |= self.probe.find_reached(request.reached_sample)
        if not request.is_improved_by(answering):
            return
        # A process that reaches more of them goes first.
        self.stopped.wait(
            MISSING_WORKERS_DELAY_S * request.missing_ratio(answering))
        if self._is_open(item):
            self._make_offer(item.revision, len(answering))

    def _is_open(self, item: messages.Item) -> bool:
        """Return whether this process may still make an offer."""
        return (not self.stopped.is_set() and not self.is_owner()
                and self.watcher.handover_request == item
                and not handover.is_offer_on(
                    self.watcher.handover_offer, item.revision))

    def _make_offer(self, request_revision: int, answering: int) -> None:
        earlier = self.watcher.handover_offer
        try:
            lease_id = self.store.grant(OFFER_TTL_MS)
            self.store.commit(messages.Transaction(
                (messages.Expect(records.HANDOVER_REQUEST_KEY,
                                 request_revision),
                 messages.Expect(records.HANDOVER_OFFER_KEY,
                                 earlier.revision if earlier else 0)),
                (messages.Put(records.HANDOVER_OFFER_KEY,
                              handover.encode_offer(
                                  request_revision, self.identity),
                              lease_id),)))
        except interfaces.Conflict:
            # Another process was faster, or the request has been withdrawn.
            return
        except (interfaces.CallFailed, interfaces.LeaseEnded) as exc:
            events.emit(events.STORE_UNREACHABLE,
                        reason=f"offer of a handover: {exc}")
            return
        events.emit(events.HANDOVER_OFFERED, request=request_revision,
                    answering=answering)
