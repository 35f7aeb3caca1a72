"""Decode workers' reports, with defaults for values out of bounds."""

import functools
import json
import typing

import msgspec

from sycamorefield.fleet import inputlog
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages

# Numbers up to this are exact as floating-point numbers.
MAX_NUMBER = 2 ** 53
MAX_FIGURE = 1e9
# The saved texts of all unfinished tasks of a job share one value of the
# store, of about a megabyte.
MAX_SAVED_CHARS = 32_768
# Every report repeats the IDs of all tasks that run on the worker.
TASK_ID_CACHE_SIZE = 16384

Number = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Clock = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Saved = typing.Annotated[str, msgspec.Meta(max_length=MAX_SAVED_CHARS)]
Percent = typing.Annotated[float, msgspec.Meta(ge=0, le=100)]
Figure = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_FIGURE)]


class RunningRow(msgspec.Struct, array_like=True):
    """A run in progress, as listed in a worker's report."""

    task: str
    run: Number
    saved: Saved | None = None
    percent: Percent | None = None
    figure: Figure | None = None


class EndedRow(msgspec.Struct, array_like=True):
    """An ended run, as listed in a worker's report."""

    number: Number
    task: str
    run: Number
    how: str
    saved: Saved | None = None


class ReportBody(msgspec.Struct):
    """The body of a worker's report.

    An owner reads hundreds of reports a second, more than anything else;
    msgspec validates and decodes each in a single pass.
    """

    clock_ms: Clock
    running: list[RunningRow] | None = None
    ended: list[EndedRow] | None = None
    born: Clock = 0.0


class LooseBody(msgspec.Struct):
    """The body of a report of which rows are out of bounds."""

    clock_ms: Clock
    running: list[typing.Any] | None = None
    ended: list[typing.Any] | None = None
    born: Clock = 0.0


REPORT_DECODER = msgspec.json.Decoder(ReportBody)


def decode_report(data: bytes, worker_id: str = "") -> messages.WorkerReport:
    """Decode the body of a report; raises CallFailed if it is invalid.

    An optional value out of bounds is replaced by a default: a worker whose
    reports are refused loses all of its runs.
    """
    try:
        body = REPORT_DECODER.decode(data)
        return messages.WorkerReport(
            body.clock_ms,
            tuple(_running_task(row) for row in body.running or ()),
            tuple(_ended_task(row) for row in body.ended or ()),
            int(body.born))
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return _decode_loosely(data, worker_id)


def _decode_loosely(data: bytes, worker_id: str) -> messages.WorkerReport:
    try:
        # Unlike msgspec, this reads NaN and numbers beyond all bounds.
        body = msgspec.convert(
            json.loads(data, parse_int=_parse_int), LooseBody)
        return messages.WorkerReport(
            body.clock_ms,
            tuple(_loose_running(row, worker_id)
                  for row in body.running or ()),
            tuple(_loose_ended(row, worker_id) for row in body.ended or ()),
            int(body.born))
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        raise interfaces.CallFailed(
            f"unreadable answer: {repr(exc)[:200]}") from exc


def _parse_int(digits: str) -> int | float:
    """Return an integer; Python refuses to read one of 5,000 digits."""
    return int(digits) if len(digits) < 20 else float(digits)


@functools.lru_cache(maxsize=TASK_ID_CACHE_SIZE)
def _parse_task_id(name: str) -> messages.TaskId:
    return messages.TaskId.parse(name)


def _running_task(row: RunningRow) -> messages.RunningTask:
    return messages.RunningTask(
        _parse_task_id(row.task), row.run, row.saved or "",
        int(row.percent or 0),
        row.figure or 0.0)


def _ended_task(row: EndedRow) -> messages.EndedTask:
    return messages.EndedTask(row.number, _parse_task_id(row.task), row.run,
                              row.how, row.saved or "")


def _loose_running(row: object, worker_id: str) -> messages.RunningTask:
    required, values = _split_row(row, 2)
    read = _running_task(msgspec.convert(required, RunningRow))
    place = f"worker {worker_id}: {{}} of {read.task} run {read.run}"
    return read._replace(
        saved=_optional(values, 0, Saved, "", place.format("saved text")),
        percent=int(_optional(values, 1, Percent, 0.0,
                              place.format("percentage"))),
        figure=_optional(values, 2, Figure, 0.0, place.format("figure")))


def _loose_ended(row: object, worker_id: str) -> messages.EndedTask:
    required, values = _split_row(row, 4)
    read = _ended_task(msgspec.convert(required, EndedRow))
    place = f"worker {worker_id}: saved text of {read.task} run {read.run}"
    return read._replace(saved=_optional(values, 0, Saved, "", place))


def _split_row(row: object, required: int) -> tuple[list[typing.Any],
                                                    list[typing.Any]]:
    """Return the values that name a run, and the optional ones.

    A row that names no run may be any run of the worker, so all of its report
    is invalid.
    """
    values = msgspec.convert(row, list[typing.Any])
    return values[:required], values[required:]


def _optional(values: list[typing.Any], index: int, kind: typing.Any,
              default: typing.Any, place: str) -> typing.Any:
    """Return a value, or the default if it is missing or out of bounds."""
    value = values[index] if index < len(values) else None
    if value is None:
        return default
    try:
        return msgspec.convert(value, kind)
    except msgspec.MsgspecError:
        inputlog.note(place, value, f"{default!r}, as if not reported")
        return default
