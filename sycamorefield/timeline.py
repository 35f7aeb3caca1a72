"""Merge every process's JSON-line log into one time line."""

import glob
import json
import os
import typing

from sycamorefield import events
from sycamorefield import logfiles
from sycamorefield import metrics


def merge(log_dir: str, request_id: str | None = None) -> list[dict]:
    """Return every event under log_dir in time order, or one request's."""
    paths = sorted(glob.glob(os.path.join(log_dir, "*.jsonl")))
    return filter_lines(logfiles.read(paths).lines, None, request_id)


def filter_lines(lines: list[logfiles.LogLine], job_id: str | None,
                 request_id: str | None = None) -> list[dict]:
    """Return events as logged: all, or what names a job or a request.

    Their time is the one by which they are in order.
    """
    kept: list[logfiles.LogLine | None] = [
        line for line in lines
        if not request_id or line.fields.get("request_id") == request_id]
    if job_id:
        kept = [logfiles.filter_for_job(line, job_id) for line in kept if line]
    return [{**line.fields, "t": line.at, "process": line.process}
            for line in kept if line is not None]


def render(line: dict) -> str:
    """Return one event as a line of text."""
    fields = {k: v for k, v in line.items()
              if k not in ("t", "event", "process", "zone", "msg")}
    return (f"{line.get('t', 0):.6f} {line.get('event', ''):7} "
            f"{line.get('process', ''):>14} {line.get('msg', '')} "
            f"{json.dumps(fields, sort_keys=True) if fields else ''}").rstrip()


def start_latencies(lines: list[dict],
                    group: typing.Callable[[dict], str]
                    ) -> metrics.Latencies:
    """Return how long the jobs of each group waited for their first start.

    From the entry process's "accepted" to the worker's "began", in wall
    clock time of their two machines.  group names the group of a job by
    its "accepted" line.
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
    """Write the time line to path as JSON lines; return the count."""
    with open(path, "w", encoding="utf-8") as handle:
        for line in lines:
            handle.write(json.dumps(line) + "\n")
    return len(lines)
