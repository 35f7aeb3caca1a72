"""Hand the fleet to a process that reaches more workers than its owner.

An owner whose path to many live workers is cut asks for offers under a key of
the store.  A process that reaches these workers makes one, and the owner then
ends its term, so that this process claims the fleet.  While no process reaches
them, there is no offer and the owner stays.
"""

import dataclasses
import json
import math
import random
import typing

from sycamorefield import events
from sycamorefield.fleet import controlwatcher
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import records
from sycamorefield.fleet import unreached as unreached_mod
from sycamorefield.fleet import unreachedneeds

if typing.TYPE_CHECKING:
    from sycamorefield.fleet import state as state_mod

CHECK_PERIOD_S = 0.5
# A change of owner stops all placement for about this long.  The owner asks
# for offers once as much has been lost on the workers that it can't reach.
CHANGE_OF_OWNER_S = 1.0
# Tasks that only unreached workers could run have lost this much when the
# owner asks for offers: clearly longer than a change of owner, which delays
# all other tasks.
MAX_TASK_WAIT_S = 3.0
# A request without an offer is repeated after this time, with other workers,
# then after twice as long and so on: each makes every process try to connect.
REQUEST_PERIOD_S = 5.0
MAX_REQUEST_PERIOD_S = 60.0
# An offer on a request counts for this long even if the workers answer over
# relays by then: longer than any process delays its offer.
OFFER_WAIT_S = 4.0
# Where workers accept connections but do not answer, an offer does not help.
# A process that took over by an offer makes no request for this long if more
# than this share of the workers in question does not answer it either.
MIN_TERM_AFTER_OFFER_S = 60.0
MAX_SILENT_RATIO = 0.5
# A change of owner is worth it if this share of all workers can be used after
# it, or this share of the unreached ones without the loss of any other: while
# a worker in use does not report to the new owner, earlier jobs stand still.
MIN_GAIN_OF_ALL = 0.2
MIN_GAIN_OF_UNREACHED = 0.5
# How many of the workers those who make offers try to reach.  The sample of
# those that the owner reaches shows whether the new owner would lose some.
UNREACHED_SAMPLE_SIZE = 16
REACHED_SAMPLE_SIZE = 48


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Samples of the workers that an owner reaches and does not reach.

    The samples hold addresses, the counts are of all workers.  The needed
    ones are unreached workers for which ready tasks wait.  services are the
    addresses of services for which they wait.
    """

    unreached_sample: tuple[str, ...]
    reached_sample: tuple[str, ...]
    unreached_count: int
    reached_count: int
    needed_sample: tuple[str, ...] = ()
    services: tuple[str, ...] = ()

    def unreached_workers(self) -> tuple[str, ...]:
        """Return the addresses of workers that the owner does not reach."""
        return tuple(dict.fromkeys(
            self.unreached_sample + self.needed_sample))

    def unreached_addresses(self) -> tuple[str, ...]:
        """Return the addresses that the owner does not reach."""
        return self.unreached_workers() + self.services

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses to be tried."""
        return self.unreached_addresses() + self.reached_sample

    def is_improved_by(self, answering: typing.Container[str]) -> bool:
        """Return whether who reaches some of the addresses should take over.

        It must reach more workers than the owner, by what a change of owner
        is worth.  If tasks wait for some, or for services, it must reach many
        of the workers or all services, and what the owner reaches.
        """
        gained = _estimate(self.unreached_sample, self.unreached_count,
                           answering)
        kept = _estimate(self.reached_sample, self.reached_count, answering)
        needed = MIN_GAIN_OF_ALL * (self.unreached_count + self.reached_count)
        if kept >= self.reached_count:
            if self.needed_sample and MIN_GAIN_OF_UNREACHED <= _estimate(
                    self.needed_sample, 1, answering):
                return True
            if self.services and all(
                    address in answering for address in self.services):
                return True
            needed = min(needed, MIN_GAIN_OF_UNREACHED * self.unreached_count)
        return gained + kept - self.reached_count >= max(1.0, needed)

    def missing_ratio(self, answering: typing.Collection[str]) -> float:
        """Return the share of the addresses that do not answer."""
        addresses = self.addresses()
        return 1.0 - len(answering) / max(1, len(addresses))


def _estimate(sample: tuple[str, ...], count: int,
              answering: typing.Container[str]) -> float:
    """Return how many of all workers answer, as far as a sample tells."""
    answers = sum(address in answering for address in sample)
    return count * answers / max(1, len(sample))


def encode_request(request: Request) -> bytes:
    """Return the stored form of a request."""
    return json.dumps(dataclasses.asdict(request)).encode()


def decode_request(value: bytes) -> Request:
    """Return a stored request; raises ValueError if it is unreadable."""
    try:
        row = json.loads(value)
        return Request(tuple(row["unreached_sample"]),
                       tuple(row["reached_sample"]),
                       row["unreached_count"], row["reached_count"],
                       tuple(row.get("needed_sample", ())),
                       tuple(row.get("services", ())))
    except (AttributeError, KeyError, TypeError) as exc:
        raise ValueError(f"invalid request: {exc!r}") from exc


def encode_offer(request_revision: int, identity: bytes) -> bytes:
    """Return the stored form of an offer on a request."""
    return json.dumps({"request": request_revision,
                       "by": identity.decode()}).encode()


def is_offer_on(item: messages.Item | None, request_revision: int) -> bool:
    """Return whether a stored offer is one on a request."""
    return item is not None and _decode_offer(item)[0] == request_revision


def is_offer_by(item: messages.Item, identity: bytes) -> bool:
    """Return whether a process has made a stored offer."""
    return _decode_offer(item)[1] == identity.decode()


def _decode_offer(item: messages.Item) -> tuple[int, str]:
    """Return the request and the process of an offer; log an invalid one."""
    try:
        row = json.loads(item.value)
        return int(row["request"]), str(row["by"])
    except (ValueError, KeyError, TypeError) as exc:
        events.emit(events.RECORD_UNREADABLE, key=item.key, reason=repr(exc))
        return 0, ""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimit:
    """Limit the requests of an owner that took over on a request.

    addresses are those of workers that the owner before did not reach; if none
    are known, no request is made until the given time.
    """

    until: float = 0.0
    addresses: frozenset[str] = frozenset()

    def allows(self, silent: typing.Collection[str], now: float) -> bool:
        """Return whether a request may be made, by who is silent now."""
        if now >= self.until:
            return True
        still_silent = len(self.addresses.intersection(silent))
        return still_silent < MAX_SILENT_RATIO * len(self.addresses)


def limit_after_offer(request: messages.Item | None,
                      now: float) -> RequestLimit:
    """Return the limit for a process that takes over on a request."""
    addresses: frozenset[str] = frozenset()
    if request is not None:
        try:
            addresses = frozenset(decode_request(
                request.value).unreached_workers())
        except ValueError as exc:
            events.emit(events.RECORD_UNREADABLE, key=request.key,
                        reason=str(exc))
    return RequestLimit(now + MIN_TERM_AFTER_OFFER_S, addresses)


class HandoverRequests:
    """Request offers for one term of an owner.

    lease_id is the lease of the owner's key.
    """

    def __init__(self, store: interfaces.Store,
                 watcher: controlwatcher.ControlWatcher,
                 fleet: "state_mod.FleetState", lease_id: int,
                 limit: RequestLimit = RequestLimit()) -> None:
        self.store = store
        self.watcher = watcher
        self.fleet = fleet
        self.lease_id = lease_id
        self.limit = limit
        self.unreached = unreached_mod.UnreachedWorkers()
        self.needs = unreachedneeds.UnreachedNeeds()
        self.request_revision = 0
        self.requested_workers: tuple[str, ...] = ()
        self.requested_at = -math.inf
        self.request_period_s = REQUEST_PERIOD_S

    def update(self, now: float) -> bool:
        """Make a request if needed; return whether an offer was made."""
        self.unreached.update(self.fleet, now)
        if self.fleet.policy.hand_over:
            self.needs.update(
                self.fleet, self.unreached.unreached_ids(now), now)
        if (not self.fleet.policy.hand_over
                or not (self.unreached.lost_s(now) >= CHANGE_OF_OWNER_S
                        or self._tasks_wait(now) or self._services(now))
                or not self.limit.allows(self._silent_addresses(), now)):
            self.request_period_s = REQUEST_PERIOD_S
            if self._awaits_offers(now):
                return self.has_offer()
            # An offer on an earlier request is of no use any more.
            self.request_revision = 0
            return False
        if not self.request_revision and (
                now - self.requested_at >= REQUEST_PERIOD_S):
            self._make_request(now)
        elif now - self.requested_at >= self.request_period_s:
            self.request_period_s = min(
                MAX_REQUEST_PERIOD_S, 2 * self.request_period_s)
            self._make_request(now)
        return self.has_offer()

    def _awaits_offers(self, now: float) -> bool:
        """Return whether relays may be why no request is needed any more."""
        return (self.fleet.policy.hand_over and self.fleet.policy.relay_calls
                and now - self.requested_at < OFFER_WAIT_S
                and any(self.watcher.relays.relays_of(address)
                        for address in self.requested_workers))

    def has_offer(self) -> bool:
        """Return whether there is an offer on the present request."""
        return bool(self.request_revision) and is_offer_on(
            self.watcher.handover_offer, self.request_revision)

    def _tasks_wait(self, now: float) -> bool:
        """Return whether tasks have waited long for unreached workers.

        After a handover this is no reason for another one for a while: two
        owners could each miss workers for which tasks wait.
        """
        return (now >= self.limit.until
                and self.needs.lost_s() >= MAX_TASK_WAIT_S)

    def _services(self, now: float) -> tuple[str, ...]:
        """Return the services without which tasks have waited long."""
        advice = self.fleet.advice
        if (now < self.limit.until or advice.service is None
                or not advice.service.address
                or advice.unconnected_s(now) < MAX_TASK_WAIT_S):
            return ()
        return (advice.service.address,)

    def _make_request(self, now: float) -> None:
        request = self._sample(now)
        self.requested_at = now
        self.requested_workers = request.unreached_workers()
        try:
            self.request_revision = self.store.commit(messages.Transaction(
                (messages.Expect(records.OWNER_KEY, self.fleet.fence),),
                (messages.Put(records.HANDOVER_REQUEST_KEY,
                              encode_request(request), self.lease_id),)))
        except (interfaces.CallFailed, interfaces.Conflict,
                interfaces.LeaseEnded) as exc:
            events.emit(events.STORE_UNREACHABLE,
                        reason=f"request for a handover: {exc}")
            return
        events.emit(events.HANDOVER_REQUESTED, fence=self.fleet.fence,
                    unreached=request.unreached_count,
                    reached=request.reached_count,
                    lost_s=round(self.unreached.lost_s(now), 3),
                    waiting_tasks=self.needs.waiting_tasks(),
                    waiting_lost_s=round(self.needs.lost_s(), 3),
                    services=list(request.services))

    def _silent_addresses(self) -> list[str]:
        return self._addresses_of(self.unreached.silent_ids())

    def _addresses_of(self, worker_ids: set[str]) -> list[str]:
        with self.fleet.lock:
            return [w.entry.address for w in self.fleet.workers.values()
                    if w.entry.worker_id in worker_ids]

    def _sample(self, now: float) -> Request:
        unreached = self._silent_addresses()
        with self.fleet.lock:
            reached = [w.entry.address for w in self.fleet.workers.values()
                       if w.listed and w.has_reported and not w.unresponsive]
        needed = (self._addresses_of(self.needs.needed_ids())
                  if self._tasks_wait(now) else [])
        return Request(_choose(unreached, UNREACHED_SAMPLE_SIZE),
                       _choose(reached, REACHED_SAMPLE_SIZE),
                       len(unreached), len(reached),
                       _choose(needed, UNREACHED_SAMPLE_SIZE),
                       self._services(now))


def _choose(addresses: list[str], count: int) -> tuple[str, ...]:
    return tuple(random.sample(addresses, min(count, len(addresses))))
