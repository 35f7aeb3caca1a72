"""Client of the platform's workers and decoder of their store entries."""

import typing

import msgspec

from sycamorefield import events
from sycamorefield.fleet import addresses
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.platform import jsonclient
from sycamorefield.platform import reportrows
from sycamorefield.platform import tunnels
from sycamorefield.platform import workerconnections

ENTRY_PREFIX = "servers/"
LISTED_STATES = ("ready", "draining")
# Bounds on an entry that another program may have written.  A number up to
# MAX_NUMBER is exact as a floating-point number.
MAX_AMOUNT = 1e9
MAX_NUMBER = 2.0 ** 53
MAX_NAME_CHARS = 256
MAX_LABELS = 64
# Invalid entries logged for each reading of the list, and the length of what a
# line says of one.
MAX_ENTRY_LINES = 20
MAX_LOGGED_CHARS = 200
# The share of a process's file descriptors that idle connections for orders
# may use; each worker has another connection for its reports.
ORDER_CONNECTIONS_SHARE = 0.15

Body = dict[str, typing.Any]
Amount = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
Moment = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Name = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]


def idle_order_clients(max_files: int) -> workerconnections.IdleClients:
    """Return the bound on idle connections of a process's file limit."""
    return workerconnections.IdleClients(
        max(1, int(ORDER_CONNECTIONS_SHARE * max_files)))


class PlatformWorker(interfaces.Worker):
    """Sends orders to one incarnation of a worker over HTTP.

    A connection for reports is apart from the one for orders: a worker delays
    its report while no run ends.
    """

    def __init__(self, entry: messages.WorkerEntry,
                 idle_clients: workerconnections.IdleClients | None = None,
                 find_relays: tunnels.FindRelays | None = None) -> None:
        self.worker_id = entry.worker_id
        route = (tunnels.WorkerRoute(entry.address, find_relays)
                 if find_relays is not None else None)
        headers = {"Sycamorefield-Expect-Instance": entry.worker_id}
        self.reports = workerconnections.WorkerClient(
            entry.address, headers, route=route)
        self.orders = workerconnections.WorkerClient(
            entry.address, headers, idle_clients, route)

    async def _order(self, path: str, body: Body) -> jsonclient.JsonResponse:
        return _require_ok(
            await self.orders.call(path, self.order_answer_s, body))

    async def renew(self, fence: int, recorded_upto: int,
                    lease_end_ms: float | None, wait_ms: int,
                    answer_s: float = interfaces.REPORT_ANSWER_S
                    ) -> messages.WorkerReport:
        """Extend the leases of all runs and return the worker's report.

        Ends are acknowledged only over a connection that has given a report:
        a worker that has started again would forget ends of its own.
        """
        body: dict[str, typing.Any] = {"fence": fence,
                                       "seen_upto": recorded_upto}
        if lease_end_ms is not None:
            body["until_ms"] = int(lease_end_ms)
        if wait_ms:
            body["wait_ms"] = wait_ms
        response = _require_ok(await self.reports.call(
            "/-/hold", wait_ms / 1000.0 + answer_s, body,
            {**body, "seen_upto": 0}))
        return reportrows.decode_report(response.data, self.worker_id)

    async def start(self, order: messages.StartOrder, fence: int,
                    lease_end_ms: float) -> float:
        """Start a run and return the worker's time."""
        body: dict[str, typing.Any] = {
            "task": str(order.task), "run": order.run, "spec": order.spec,
            "until_ms": int(lease_end_ms), "fence": fence}
        if order.saved:
            body["saved"] = order.saved
        if order.ticket:
            body["ticket"] = order.ticket
        response = await self._order("/-/run-start", body)
        return jsonclient.decode_or_fail(_decode_clock_ms, response.body)

    async def stop(self, order: messages.StopOrder, fence: int) -> float:
        """Stop a run and return the worker's time."""
        body = {"task": str(order.task), "run": order.run, "fence": fence}
        response = await self._order("/-/run-stop", body)
        return jsonclient.decode_or_fail(_decode_clock_ms, response.body)

    async def pace(self, order: messages.PaceOrder, fence: int) -> float:
        """Limit the speed of a run and return the worker's time."""
        body = {"task": str(order.task), "run": order.run,
                "percent": order.percent, "fence": fence}
        response = await self._order("/-/pace", body)
        return jsonclient.decode_or_fail(_decode_clock_ms, response.body)

    def close(self) -> None:
        """Close the connections."""
        self.reports.close()
        self.orders.close()


def _require_ok(response: jsonclient.JsonResponse) -> jsonclient.JsonResponse:
    """Return a successful response; raise the error of another one."""
    if response.status == 200:
        return response
    if response.status == 421:
        raise interfaces.IncarnationMismatch("another incarnation answers")
    if response.status in (429, 503):
        raise interfaces.OrderRejected(interfaces.UNHEALTHY)
    if response.status == 409:
        raise interfaces.OrderRejected(str(response.body.get("reason", "")))
    if response.status == 400:
        raise interfaces.OrderRejected(interfaces.MALFORMED)
    raise interfaces.CallFailed(f"worker answers {response.status}")


def _decode_clock_ms(body: Body) -> float:
    return float(body["clock_ms"])


class CapacityRow(msgspec.Struct):
    """The capacity in a worker's entry."""

    cpu: Amount = 0.0
    mem_mb: Amount = 0.0
    gpu: Amount = 0.0


class EntryRow(msgspec.Struct):
    """A worker's entry in the store; other fields are ignored."""

    service: typing.Annotated[str, msgspec.Meta(
        min_length=1, max_length=MAX_NAME_CHARS)]
    addr: Name
    state: Name
    capacity: CapacityRow
    zone: Name = ""
    labels: typing.Annotated[list[Name], msgspec.Meta(
        max_length=MAX_LABELS)] | None = None
    remaining_ms: float | None = None
    born: Moment = 0.0


ENTRY_DECODER = msgspec.json.Decoder(EntryRow)


class PlatformWorkerList(interfaces.WorkerList):
    """Reads the entries that workers write to the store."""

    def __init__(self, store: interfaces.Store) -> None:
        self.store = store
        # The invalid entries of the last listing, by key, with the revision
        # at which each was logged.
        self.invalid_revisions: dict[str, int] = {}

    def workers(self) -> tuple[messages.WorkerEntry, ...]:
        """Return the valid entries and log new invalid ones.

        The list is read every second, and other programs may write many
        entries, so an invalid one is logged once and the lines are limited.
        """
        listing = self.store.listing(ENTRY_PREFIX)
        entries = []
        invalid_revisions = {}
        unlogged = 0
        lines = 0
        for item in listing.items:
            try:
                entries.append(_decode_entry(item))
            except Exception as exc:
                invalid_revisions[item.key] = item.revision
                if self.invalid_revisions.get(item.key) == item.revision:
                    continue
                if lines < MAX_ENTRY_LINES:
                    _log_invalid(item, exc)
                    lines += 1
                else:
                    unlogged += 1
        if unlogged:
            events.emit(events.ENTRY_UNREADABLE, key=ENTRY_PREFIX,
                        reason=f"{unlogged} other entries")
        self.invalid_revisions = invalid_revisions
        return tuple(entries)


def decode_entry(item: messages.Item) -> messages.WorkerEntry | None:
    """Decode a worker's entry; log an invalid one and return None.

    Other programs write entries that lack fields or cannot be decoded.  Such
    an entry describes no worker and must not hide the other workers.
    """
    try:
        return _decode_entry(item)
    except Exception as exc:
        _log_invalid(item, exc)
        return None


def _log_invalid(item: messages.Item, exc: Exception) -> None:
    events.emit(events.ENTRY_UNREADABLE, key=item.key[:MAX_LOGGED_CHARS],
                reason=repr(exc)[:MAX_LOGGED_CHARS])


def _decode_entry(item: messages.Item) -> messages.WorkerEntry:
    """Decode a worker's entry; raises an error if it is invalid."""
    row = ENTRY_DECODER.decode(item.value)
    if row.state not in LISTED_STATES:
        raise ValueError(f"unknown state {row.state!r}")
    capacity = row.capacity
    return messages.WorkerEntry(
        _require_header_value(item.key[len(ENTRY_PREFIX):]), row.service,
        addresses.require(row.addr), row.zone, row.state == "draining",
        messages.Resources(int(capacity.cpu), int(capacity.mem_mb),
                           int(capacity.gpu)),
        tuple(row.labels or ()), row.remaining_ms, int(row.born))


def _require_header_value(value: str) -> str:
    """Return a worker's ID, which calls to the worker name in a header."""
    if (not 0 < len(value) <= MAX_NAME_CHARS or not value.isascii()
            or not value.isprintable() or " " in value):
        raise ValueError(f"not a worker ID: {value!r}")
    return value
