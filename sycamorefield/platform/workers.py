"""Client of the platform's workers and decoder of their store entries."""

import functools
import json
import typing

import msgspec

from sycamorefield import events
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.platform import jsonclient
from sycamorefield.platform import workerconnections

ENTRY_PREFIX = "servers/"
LISTED_STATES = ("ready", "draining")
# An order takes about 4 ms; a worker that has not answered within this time
# has lost the order or will carry it out seconds later.
ORDER_TIMEOUT_S = 0.6
MAX_PORT = 65535
# The share of a process's file descriptors that idle connections for orders
# may use; each worker has another connection for its reports.
ORDER_CONNECTIONS_SHARE = 0.15

Body = dict[str, typing.Any]


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
                 idle_clients: workerconnections.IdleClients | None = None
                 ) -> None:
        headers = {"Sycamorefield-Expect-Instance": entry.worker_id}
        self.reports = workerconnections.WorkerClient(entry.address, headers)
        self.orders = workerconnections.WorkerClient(
            entry.address, headers, idle_clients)

    async def _order(self, path: str, body: Body) -> jsonclient.JsonResponse:
        return _require_ok(
            await self.orders.call(path, ORDER_TIMEOUT_S, body))

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
        return decode_report(response.data)

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


class RunningRow(msgspec.Struct, array_like=True):
    """A run in progress, as listed in a worker's report."""

    task: str
    run: int
    saved: str | None = None
    percent: float | None = None
    figure: float | None = None


class EndedRow(msgspec.Struct, array_like=True):
    """An ended run, as listed in a worker's report."""

    number: int
    task: str
    run: int
    how: str
    saved: str | None = None


class ReportBody(msgspec.Struct):
    """The body of a worker's report.

    An owner reads hundreds of reports a second, more than anything else;
    msgspec validates and decodes each in a single pass.
    """

    clock_ms: float
    running: list[RunningRow] | None = None
    ended: list[EndedRow] | None = None
    born: float = 0.0


REPORT_DECODER = msgspec.json.Decoder(ReportBody)
# Every report repeats the IDs of all tasks that run on the worker.
TASK_ID_CACHE_SIZE = 16384


def decode_report(data: bytes) -> messages.WorkerReport:
    """Decode the body of a report; raises CallFailed if it is invalid."""
    try:
        body = REPORT_DECODER.decode(data)
        return messages.WorkerReport(
            body.clock_ms,
            tuple(_running_task(row) for row in body.running or ()),
            tuple(_ended_task(row) for row in body.ended or ()),
            int(body.born))
    except (msgspec.MsgspecError, ValueError) as exc:
        raise interfaces.CallFailed(
            f"unreadable answer: {exc!r}") from exc


@functools.lru_cache(maxsize=TASK_ID_CACHE_SIZE)
def _parse_task_id(name: str) -> messages.TaskId:
    job_id, occurrence, step, index = name.rsplit(".", 3)
    return messages.TaskId(job_id, int(occurrence), int(step), int(index))


def _running_task(row: RunningRow) -> messages.RunningTask:
    return messages.RunningTask(
        _parse_task_id(row.task), row.run, row.saved or "",
        int(row.percent or 0),
        row.figure or 0.0)


def _ended_task(row: EndedRow) -> messages.EndedTask:
    return messages.EndedTask(row.number, _parse_task_id(row.task), row.run,
                              row.how, row.saved or "")


class PlatformWorkerList(interfaces.WorkerList):
    """Reads the entries that workers write to the store."""

    def __init__(self, store: interfaces.Store) -> None:
        self.store = store

    def workers(self) -> tuple[messages.WorkerEntry, ...]:
        """Return the valid entries and log the invalid ones."""
        listing = self.store.listing(ENTRY_PREFIX)
        entries = (decode_entry(item) for item in listing.items)
        return tuple(entry for entry in entries if entry is not None)


def decode_entry(item: messages.Item) -> messages.WorkerEntry | None:
    """Decode a worker's entry; log an invalid one and return None.

    Other programs write entries that lack fields or cannot be decoded.  Such
    an entry describes no worker and must not hide the other workers.
    """
    try:
        row = json.loads(item.value)
        if row["state"] not in LISTED_STATES:
            raise ValueError(f"unknown state {row['state']!r}")
        capacity = row["capacity"]
        remaining = row.get("remaining_ms")
        return messages.WorkerEntry(
            item.key[len(ENTRY_PREFIX):], _require_string(row["service"]),
            _require_address(row["addr"]),
            _require_string(row.get("zone", "")),
            row["state"] == "draining",
            messages.Resources(_require_number(capacity.get("cpu", 0)),
                               _require_number(capacity.get("mem_mb", 0)),
                               _require_number(capacity.get("gpu", 0))),
            tuple(_require_string(label) for label in row.get("labels") or ()),
            None if remaining is None else float(remaining),
            _require_number(row.get("born", 0)))
    except Exception as exc:
        events.emit(events.ENTRY_UNREADABLE, key=item.key, reason=repr(exc))
        return None


def _require_string(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"not a string: {value!r}")
    return value


def _require_number(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f"not a number: {value!r}")
    return int(value)


def _require_address(value: object) -> str:
    host, _, port = _require_string(value).rpartition(":")
    if (not host or not host.isascii() or not host.isprintable()
            or " " in host or not port.isascii() or not port.isdigit()
            or not 1 <= int(port) <= MAX_PORT):
        raise ValueError(f"not an address: {value!r}")
    return _require_string(value)
