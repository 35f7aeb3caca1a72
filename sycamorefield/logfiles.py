"""Read the JSON lines that processes log, plain or as printed by others.

A printed line has a time and the process before the JSON; the time then
replaces the line's own, which each machine takes from its own clock.
"""

import dataclasses
import json
import os
import re
import typing

_PRINTED = re.compile(r"\s*(-?\d+(?:\.\d+)?) (\S+) (\{.*)")
# Fields that list jobs, or rows that begin with a task.
_LISTS = ("jobs", "runs", "changes")
_ROOM_FOR = "room for "


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """Hold one logged event."""

    at: float
    process: str
    event: str
    fields: dict[str, typing.Any]
    # Whether the time was printed before the line.
    printed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """Hold the events of some files in time order, and what was skipped."""

    lines: list[Line]
    # Lines with text that are no logged event.
    skipped: int


def parse(text: str) -> Line | None:
    """Return the event of a line of text, or None if it holds none."""
    printed = _PRINTED.match(text)
    try:
        fields = json.loads(printed[3] if printed else text)
    except ValueError:
        return None
    if not isinstance(fields, dict):
        return None
    at, event = fields.get("t"), fields.get("event")
    if not isinstance(at, (int, float)) or not isinstance(event, str):
        return None
    if printed:
        return Line(float(printed[1]), printed[2], event, fields, True)
    return Line(float(at), str(fields.get("process", "")), event, fields)


def gather(texts: typing.Iterable[str]) -> Reading:
    """Return the events of lines of text in time order.

    Where only some lines have a printed time, all take their own: the two
    clocks may be years apart.
    """
    lines = []
    skipped = 0
    for text in texts:
        line = parse(text)
        if line is not None:
            lines.append(line)
        elif text.strip():
            skipped += 1
    if not all(line.printed for line in lines):
        lines = [dataclasses.replace(line, at=float(line.fields["t"]),
                                     printed=False) for line in lines]
    lines.sort(key=lambda line: (line.at, line.process))
    return Reading(lines, skipped)


def read(paths: typing.Iterable[str]) -> Reading:
    """Return the events of files, and of all files in folders."""
    return gather(_texts(paths))


def _texts(paths: typing.Iterable[str]) -> typing.Iterator[str]:
    for path in paths:
        for name in _files(path):
            with open(name, encoding="utf-8", errors="replace") as handle:
                yield from handle


def _files(path: str) -> list[str]:
    if not os.path.isdir(path):
        return [path]
    names = [os.path.join(path, name) for name in sorted(os.listdir(path))]
    return [name for name in names if os.path.isfile(name)]


def narrowed(line: Line, job_id: str) -> Line | None:
    """Return what a line says of one job, or None if it doesn't name it.

    Of the lists that jobs share, only the entries of this job stay.
    """
    fields = dict(line.fields)
    named = _names(fields, job_id)
    for name in _LISTS:
        rows = fields.get(name)
        if isinstance(rows, list):
            fields[name] = [row for row in rows if _row_names(row, job_id)]
            named = named or bool(fields[name])
    return dataclasses.replace(line, fields=fields) if named else None


def _names(fields: dict[str, typing.Any], job_id: str) -> bool:
    if job_id in (fields.get("job"), fields.get("request_id")):
        return True
    reason = str(fields.get("reason", ""))
    tasks = (fields.get("task"), reason.removeprefix(_ROOM_FOR)
             if reason.startswith(_ROOM_FOR) else None)
    if any(_job_of(task, 3) == job_id for task in tasks):
        return True
    if _job_of(fields.get("step"), 2) == job_id:
        return True
    # Keys of the store end with the job, or with the job and a suffix.
    key = str(fields.get("key", "")).rpartition("/")[2]
    return job_id in (key, key.rpartition(".")[0])


def _row_names(row: object, job_id: str) -> bool:
    if isinstance(row, list):
        return bool(row) and _job_of(row[0], 3) == job_id
    return row == job_id


def _job_of(name: object, parts: int) -> str | None:
    """Return the job in the name of a step or task."""
    return name.rsplit(".", parts)[0] if isinstance(name, str) else None
