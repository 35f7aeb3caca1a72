"""Check a run's time line against what must always hold.

Processes assert what they alone can see as it happens (a worker its
capacity, a backend its repeated keys and leaving grace) and log a numbered
INVARIANT_BROKEN event.  What only the whole run shows is checked here over
the merged time line: a job running in two places, an evicted job resumed
more or less than once, a rule revision going back.  Every finding is
collected with its place and reported together.
"""

import collections
import dataclasses

from sycamorefield import errors
from sycamorefield import events

CLOCK_SLACK = 0.05
PROGRESS_SLACK = 0.01


@dataclasses.dataclass
class Interval:
    """A task's time on a worker, from the worker's own events."""

    job: str
    task: str
    worker: str
    began: float
    ended: float | None = None
    state: str = ""
    from_progress: float = 0.0
    to_progress: float = 0.0


def _place(line: dict) -> str:
    return f"{line.get('process', '?')}@{line.get('t', 0):.3f}"


def intervals(lines: list[dict]) -> list[Interval]:
    """Return every task's interval on its worker."""
    open_tasks: dict[tuple[str, str], Interval] = {}
    done = []
    for line in lines:
        key = (line.get("worker", ""), line.get("task", ""))
        if line.get("event") == events.TASK_BEGAN.code:
            open_tasks[key] = Interval(line["job"], line["task"],
                                       line["worker"], line["t"],
                                       from_progress=line.get("progress", 0))
        elif line.get("event") == events.TASK_ENDED.code:
            interval = open_tasks.pop(key, None)
            if interval is not None:
                # A lapsed lease ended the task when it ran out, which a
                # frozen worker logs only once it wakes.
                interval.ended = line.get("ended_at", line["t"])
                interval.state = line.get("state", "")
                interval.to_progress = line.get("progress", 0.0)
                done.append(interval)
    return done + list(open_tasks.values())


def _breaches(lines: list[dict]) -> list[errors.Finding]:
    return [errors.Finding(_place(line),
                           f"invariant {line.get('invariant')} broken: "
                           + ", ".join(f"{k}={v}" for k, v in line.items()
                                       if k not in ("t", "event", "msg",
                                                    "process", "zone")))
            for line in lines
            if line.get("event") == events.INVARIANT_BROKEN.code]


def _two_places(spans: list[Interval]) -> list[errors.Finding]:
    by_job = collections.defaultdict(list)
    for span in spans:
        by_job[span.job].append(span)
    found = []
    for job, runs in sorted(by_job.items()):
        runs.sort(key=lambda s: s.began)
        for first, second in zip(runs, runs[1:]):
            end = first.ended if first.ended is not None else float("inf")
            if second.began + CLOCK_SLACK < end:
                found.append(errors.Finding(
                    f"{second.worker}@{second.began:.3f}",
                    f"job {job} runs as {second.task} while {first.task} "
                    f"still runs on {first.worker}"))
    return found


def _resumes(spans: list[Interval]) -> list[errors.Finding]:
    by_job = collections.defaultdict(list)
    for span in spans:
        by_job[span.job].append(span)
    found = []
    for job, runs in sorted(by_job.items()):
        runs.sort(key=lambda s: s.began)
        for first, second in zip(runs, runs[1:]):
            if second.from_progress + PROGRESS_SLACK < first.to_progress:
                found.append(errors.Finding(
                    f"{second.worker}@{second.began:.3f}",
                    f"job {job} resumed at {second.from_progress:.2f}, "
                    f"not at its checkpoint {first.to_progress:.2f}"))
        finished = [r for r in runs if r.state == "done"]
        if len(finished) > 1:
            found.append(errors.Finding(
                f"{finished[1].worker}@{finished[1].began:.3f}",
                f"job {job} finished {len(finished)} times"))
    return found


def _revisions(lines: list[dict]) -> list[errors.Finding]:
    last: dict[str, int] = {}
    found = []
    for line in lines:
        if line.get("event") != events.RULES_APPLIED.code:
            continue
        process = line.get("process", "")
        revision = int(line.get("revision", 0))
        if revision < last.get(process, 0):
            found.append(errors.Finding(
                _place(line), f"rules went from revision "
                f"{last[process]} back to {revision}"))
        last[process] = max(revision, last.get(process, 0))
    return found


def check(lines: list[dict]) -> list[errors.Finding]:
    """Return every finding over a merged time line, in place order."""
    spans = intervals(lines)
    return (_breaches(lines) + _two_places(spans) + _resumes(spans)
            + _revisions(lines))
