"""Merge the logs of all processes into one time line."""

import glob
import json
import os
import typing

from sycamorefield import events
from sycamorefield import logfiles
from sycamorefield import metrics


def merge(log_dir: str, request_id: str | None = None) -> list[dict]:
    """Return the events in log_dir/*.jsonl in time order.

    With a request_id, return only the events of that request.
    """
    paths = sorted(glob.glob(os.path.join(log_dir, "*.jsonl")))
    return filter_lines(logfiles.read(paths).lines, None, request_id)


def filter_lines(lines: list[logfiles.LogLine], job_id: str | None,
                 request_id: str | None = None) -> list[dict]:
    """Return the fields of events: of all, or of a job or a request.

    Field "t" is set to the time by which the lines are sorted.
    """
    kept: list[logfiles.LogLine | None] = [
        line for line in lines
        if not request_id or line.fields.get("request_id") == request_id]
    if job_id:
        kept = [logfiles.filter_for_job(line, job_id) for line in kept if line]
    return [{**line.fields, "t": line.at, "process": line.process}
            for line in kept if line is not None]


def render(line: dict) -> str:
    """Format one event as a line of text."""
    fields = {k: v for k, v in line.items()
              if k not in ("t", "event", "process", "zone", "msg")}
    return (f"{line.get('t', 0):.6f} {line.get('event', ''):7} "
            f"{line.get('process', ''):>14} {line.get('msg', '')} "
            f"{json.dumps(fields, sort_keys=True) if fields else ''}").rstrip()


def start_latencies(lines: list[dict],
                    group: typing.Callable[[dict], str]
                    ) -> metrics.Latencies:
    """Return how long the jobs of each group waited for their first start.

    That is the wall clock time from the entry process's JOB_ACCEPTED to the
    worker's TASK_BEGAN, each by the clock of its machine. The function
    group returns the group of a job, given its JOB_ACCEPTED line.
    """
    accepted: dict[str, dict] = {}
    latencies = metrics.Latencies()
    for line in lines:
        if line.get("event") == events.JOB_ACCEPTED.code:
            accepted.setdefault(line["job"], line)
        elif line.get("event") == events.TASK_BEGAN.code:
            accepted_line = accepted.pop(line["job"], None)
            if accepted_line is not None:
                latencies.record(group(accepted_line),
                                 line["t"] - accepted_line["t"])
    return latencies


def write(lines: list[dict], path: str) -> int:
    """Write the time line to path as JSON lines; return their number."""
    with open(path, "w", encoding="utf-8") as handle:
        for line in lines:
            handle.write(json.dumps(line) + "\n")
    return len(lines)
