"""Relays: processes that connect an owner to workers that it can't reach.

An owner asks for them under one key of the store; each relay names the
workers that it reaches, and its own address, under a key of its own.
"""

import math
import random
import typing

import msgspec

from sycamorefield import events
from sycamorefield.fleet import addresses as addresses_mod
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import records
from sycamorefield.fleet import unreached as unreached_mod

if typing.TYPE_CHECKING:
    from sycamorefield.fleet import state as state_mod

# Most addresses in a request or an offer: each process tries to connect to
# those of a request at the same time.
MAX_ADDRESSES = 256
# A request for the same workers is repeated after this time, then after twice
# as long and so on.
REQUEST_PERIOD_S = 5.0
MAX_REQUEST_PERIOD_S = 60.0

_Addresses = typing.Annotated[
    tuple[str, ...], msgspec.Meta(max_length=MAX_ADDRESSES)]


class _Request(msgspec.Struct):
    workers: _Addresses


class Offer(msgspec.Struct, frozen=True):
    """The address of a relay, and those of the workers that it reaches."""

    address: str
    workers: _Addresses


def encode_request(workers: tuple[str, ...]) -> bytes:
    """Return the stored form of a request for relays."""
    return msgspec.json.encode(_Request(workers))


def decode_request(value: bytes) -> tuple[str, ...]:
    """Return the workers of a request; raises ValueError if unreadable."""
    workers = _decode(value, _Request).workers
    for address in workers:
        addresses_mod.require(address)
    return workers


def encode_offer(offer: Offer) -> bytes:
    """Return the stored form of an offer to relay."""
    return msgspec.json.encode(offer)


def decode_offer(value: bytes) -> Offer:
    """Return a stored offer; raises ValueError if it is unreadable."""
    offer = _decode(value, Offer)
    addresses_mod.require(offer.address)
    return offer


_Row = typing.TypeVar("_Row", _Request, Offer)


def _decode(value: bytes, row_type: type[_Row]) -> _Row:
    try:
        return msgspec.json.decode(value, type=row_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise ValueError(repr(exc)[:200]) from exc


class RelayDirectory:
    """Hold the offers of other processes.  One thread applies changes.

    own_key is the key of this process's offer, which it doesn't use.
    """

    def __init__(self, own_key: str = "") -> None:
        self.own_key = own_key
        self.offers: dict[str, tuple[int, Offer]] = {}
        # The relays of each worker, replaced as a whole.
        self.relays: dict[str, tuple[str, ...]] = {}

    def apply_listing(self, items: typing.Iterable[messages.Item]) -> None:
        """Replace all offers by those among some items."""
        self.offers = {}
        for item in items:
            self._set(item.key, item)
        self._index()

    def apply_change(self, key: str, item: messages.Item | None) -> None:
        """Apply a change of a key if it is one of an offer."""
        if self._set(key, item):
            self._index()

    def _set(self, key: str, item: messages.Item | None) -> bool:
        if not key.startswith(records.RELAY_PREFIX) or key == self.own_key:
            return False
        self.offers.pop(key, None)
        if item is not None:
            try:
                self.offers[key] = item.revision, decode_offer(item.value)
            except ValueError as exc:
                events.emit(events.RECORD_UNREADABLE, key=key,
                            reason=str(exc))
        return True

    def _index(self) -> None:
        relays: dict[str, list[str]] = {}
        for _, offer in self.offers.values():
            for worker in offer.workers:
                relays.setdefault(worker, []).append(offer.address)
        self.relays = {worker: tuple(relays_of_worker)
                       for worker, relays_of_worker in relays.items()}

    def relays_of(self, worker: str) -> tuple[str, ...]:
        """Return the addresses of the relays to a worker's address."""
        return self.relays.get(worker, ())

    def count_since(self, revision: int, worker: str) -> int:
        """Return how many offers since a revision name a worker."""
        return sum(offered_at > revision and worker in offer.workers
                   for offered_at, offer in list(self.offers.values()))


class RelayRequests:
    """Ask for relays during one term of an owner.

    lease_id is the lease of the owner's key.  unreached is updated by the
    caller.
    """

    def __init__(self, store: interfaces.Store, fleet: "state_mod.FleetState",
                 lease_id: int,
                 unreached: unreached_mod.UnreachedWorkers) -> None:
        self.store = store
        self.fleet = fleet
        self.lease_id = lease_id
        self.unreached = unreached
        # All workers that relays were requested for in this term.
        self.requested: set[str] = set()
        # The workers that nothing reached at the last request.
        self.last_unreached: set[str] = set()
        self.requested_at = -math.inf
        self.period_s = REQUEST_PERIOD_S

    def update(self, now: float) -> None:
        """Make a request if there are workers that nothing reaches."""
        if not self.fleet.policy.relay_calls:
            return
        silent = self._silent_addresses()
        workers = self._unreached_addresses(silent, now)
        if not self.last_unreached.issuperset(workers):
            self.period_s = REQUEST_PERIOD_S
        if not workers or now - self.requested_at < self.period_s:
            return
        self.period_s = min(MAX_REQUEST_PERIOD_S, 2 * self.period_s)
        self.last_unreached = workers
        # Workers that are cut off together fall silent one after the other.
        # Those that are not named would wait for the next request.
        named = _choose(workers, MAX_ADDRESSES)
        named += _choose(set(silent.values()).difference(workers),
                         MAX_ADDRESSES - len(named))
        self._make_request(named, now)

    def _silent_addresses(self) -> dict[str, str]:
        """Return the addresses of listed workers that do not answer, by ID."""
        with self.fleet.lock:
            return {worker_id: worker.entry.address
                    for worker_id in self.unreached.silent_ids() if (
                        worker := self.fleet.workers.get(worker_id))}

    def _unreached_addresses(self, silent: dict[str, str],
                             now: float) -> set[str]:
        """Return the addresses of workers that need a relay.

        A silent worker that was requested before has lost its relay.
        """
        unreached = set(self.unreached.unreached_ids(now))
        return {address for worker_id, address in silent.items()
                if worker_id in unreached or address in self.requested}

    def _make_request(self, named: tuple[str, ...], now: float) -> None:
        self.requested_at = now
        self.requested.update(named)
        try:
            self.store.commit(messages.Transaction(
                (messages.Expect(records.OWNER_KEY, self.fleet.fence),),
                (messages.Put(records.RELAY_REQUEST_KEY,
                              encode_request(named), self.lease_id),)))
        except (interfaces.CallFailed, interfaces.Conflict,
                interfaces.LeaseEnded) as exc:
            events.emit(events.STORE_UNREACHABLE,
                        reason=f"request for relays: {exc}")
            return
        events.emit(events.RELAYS_REQUESTED, fence=self.fleet.fence,
                    workers=len(named))


def _choose(addresses: typing.Collection[str], count: int) -> tuple[str, ...]:
    return tuple(random.sample(sorted(addresses),
                               min(count, len(addresses))))
