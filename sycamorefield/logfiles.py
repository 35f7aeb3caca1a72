"""Read the JSON lines that processes log, plain or as printed by others.

A printed line has a time and the process before the JSON; the time then
replaces the line's own, which each machine takes from its own clock.
"""

import dataclasses
import json
import os
import re
import typing

_PREFIXED_LINE = re.compile(r"\s*(-?\d+(?:\.\d+)?) (\S+) (\{.*)")
# Fields that list jobs, or rows that begin with a task.
_LIST_FIELDS = ("jobs", "runs", "changes")
_PREEMPTION_REASON_PREFIX = "room for "


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one logged event."""

    at: float
    process: str
    event: str
    fields: dict[str, typing.Any]
    # Whether the time was printed before the line.
    has_prefix: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedLogs:
    """Hold the events of some files in time order, and what was skipped."""

    lines: list[LogLine]
    # Lines with text that are no logged event.
    skipped_lines: int


def parse(text: str) -> LogLine | None:
    """Return the event of a line of text, or None if it holds none."""
    has_prefix = _PREFIXED_LINE.match(text)
    try:
        fields = json.loads(has_prefix[3] if has_prefix else text)
    except ValueError:
        return None
    if not isinstance(fields, dict):
        return None
    at, event = fields.get("t"), fields.get("event")
    if not isinstance(at, (int, float)) or not isinstance(event, str):
        return None
    if has_prefix:
        return LogLine(float(has_prefix[1]), has_prefix[2], event, fields, True)
    return LogLine(float(at), str(fields.get("process", "")), event, fields)


def parse_all(texts: typing.Iterable[str]) -> ParsedLogs:
    """Return the events of lines of text in time order.

    Where only some lines have a printed time, all take their own: the two
    clocks may be years apart.
    """
    lines = []
    skipped_lines = 0
    for text in texts:
        line = parse(text)
        if line is not None:
            lines.append(line)
        elif text.strip():
            skipped_lines += 1
    if not all(line.has_prefix for line in lines):
        lines = [dataclasses.replace(line, at=float(line.fields["t"]),
                                     has_prefix=False) for line in lines]
    lines.sort(key=lambda line: (line.at, line.process))
    return ParsedLogs(lines, skipped_lines)


def read(paths: typing.Iterable[str]) -> ParsedLogs:
    """Return the events of files, and of all files in folders."""
    return parse_all(_read_lines(paths))


def _read_lines(paths: typing.Iterable[str]) -> typing.Iterator[str]:
    for path in paths:
        for name in _list_files(path):
            with open(name, encoding="utf-8", errors="replace") as handle:
                yield from handle


def _list_files(path: str) -> list[str]:
    if not os.path.isdir(path):
        return [path]
    names = [os.path.join(path, name) for name in sorted(os.listdir(path))]
    return [name for name in names if os.path.isfile(name)]


def filter_for_job(line: LogLine, job_id: str) -> LogLine | None:
    """Return what a line says of one job, or None if it doesn't name it.

    Of the lists that jobs share, only the entries of this job stay.
    """
    fields = dict(line.fields)
    names_job = _names_job(fields, job_id)
    for name in _LIST_FIELDS:
        rows = fields.get(name)
        if isinstance(rows, list):
            fields[name] = [row for row in rows if _row_names_job(row, job_id)]
            names_job = names_job or bool(fields[name])
    return dataclasses.replace(line, fields=fields) if names_job else None


def _names_job(fields: dict[str, typing.Any], job_id: str) -> bool:
    if job_id in (fields.get("job"), fields.get("request_id")):
        return True
    reason = str(fields.get("reason", ""))
    tasks = (fields.get("task"), reason.removeprefix(_PREEMPTION_REASON_PREFIX)
             if reason.startswith(_PREEMPTION_REASON_PREFIX) else None)
    if any(_job_id_from(task, 3) == job_id for task in tasks):
        return True
    if _job_id_from(fields.get("step"), 2) == job_id:
        return True
    # Keys of the store end with the job, or with the job and a suffix.
    key = str(fields.get("key", "")).rpartition("/")[2]
    return job_id in (key, key.rpartition(".")[0])


def _row_names_job(row: object, job_id: str) -> bool:
    if isinstance(row, list):
        return bool(row) and _job_id_from(row[0], 3) == job_id
    return row == job_id


def _job_id_from(name: object, suffix_parts: int) -> str | None:
    """Return the job in the name of a step or task."""
    return name.rsplit(".", suffix_parts)[0] if isinstance(name, str) else None
