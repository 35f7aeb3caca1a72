"""Read log lines: plain JSON lines, or JSON lines with a prefix.

The prefix is a time and the process, as log collectors print them. Its time
replaces the one in the JSON, which each machine takes from its own clock.
"""

import dataclasses
import json
import os
import re
import typing

_PREFIXED_LINE = re.compile(r"\s*(-?\d+(?:\.\d+)?) (\S+) (\{.*)")
# Fields that hold lists of jobs or of rows whose first column is a task.
_LIST_FIELDS = ("jobs", "runs", "changes")
_PREEMPTION_REASON_PREFIX = "room for "


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One logged event; its time is in seconds."""

    at: float
    process: str
    event: str
    fields: dict[str, typing.Any]
    # Whether time and process come from a prefix.
    has_prefix: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedLogs:
    """Events in time order, and the number of lines that were skipped."""

    lines: list[LogLine]
    # Lines that are neither empty nor a logged event.
    skipped_lines: int


def parse(text: str) -> LogLine | None:
    """Parse one line of text; return None if it is no logged event."""
    prefixed = _PREFIXED_LINE.match(text)
    try:
        fields = json.loads(prefixed[3] if prefixed else text)
    except ValueError:
        return None
    if not isinstance(fields, dict):
        return None
    at, event = fields.get("t"), fields.get("event")
    if not isinstance(at, (int, float)) or not isinstance(event, str):
        return None
    if prefixed:
        return LogLine(float(prefixed[1]), prefixed[2], event, fields, True)
    return LogLine(float(at), str(fields.get("process", "")), event, fields)


def parse_all(texts: typing.Iterable[str]) -> ParsedLogs:
    """Parse lines of text and return their events in time order.

    If only some lines have a prefix, the times in the JSON are used for all:
    the clock of the prefixes may be years off the clocks of the machines.
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
    """Read the events of files, and of all files in folders.

    Raise OSError if a file can't be read.
    """
    return parse_all(_read_lines(paths))


def _read_lines(paths: typing.Iterable[str]) -> typing.Iterator[str]:
    for path in paths:
        for name in _list_files(path):
            with open(name, encoding="utf-8", errors="replace") as handle:
                yield from handle


def _list_files(path: str) -> list[str]:
    if not os.path.isdir(path):
        return [path]
    paths = [os.path.join(path, name) for name in sorted(os.listdir(path))]
    return [name for name in paths if os.path.isfile(name)]


def filter_for_job(line: LogLine, job_id: str) -> LogLine | None:
    """Return what a line says about one job; None if it doesn't name the job.

    Lists keep only the entries of this job.
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
    # Keys of the store end with the job ID, or with the ID and a suffix.
    key = str(fields.get("key", "")).rpartition("/")[2]
    return job_id in (key, key.rpartition(".")[0])


def _row_names_job(row: object, job_id: str) -> bool:
    if isinstance(row, list):
        return bool(row) and _job_id_from(row[0], 3) == job_id
    return row == job_id


def _job_id_from(name: object, suffix_parts: int) -> str | None:
    """Return the job ID in the name of a step or task.

    The name has suffix_parts parts after the job ID.
    """
    return name.rsplit(".", suffix_parts)[0] if isinstance(name, str) else None
