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


def _runs_by_job(spans: list[Interval]
                 ) -> list[tuple[str, list[Interval]]]:
    by_job = collections.defaultdict(list)
    for span in sorted(spans, key=lambda s: s.began):
        by_job[span.job].append(span)
    return sorted(by_job.items())


def _two_places(spans: list[Interval],
                losses: "Losses") -> list[errors.Finding]:
    found = []
    for job, runs in _runs_by_job(spans):
        for first, second in zip(runs, runs[1:]):
            end = (first.ended if first.ended is not None
                   else losses.gone(first))
            if second.began + CLOCK_SLACK < end:
                found.append(errors.Finding(
                    f"{second.worker}@{second.began:.3f}",
                    f"job {job} runs as {second.task} while {first.task} "
                    f"still runs on {first.worker}"))
    return found


@dataclasses.dataclass
class Losses:
    """When workers were restarted or counted as lost, and what was known.

    What a worker alone knew is gone with it: a checkpoint no owner could
    reach, an outcome no owner had recorded.  Running that job again from
    what was recorded is then right, not a breach.
    """

    at: dict[str, list[float]]
    recorded: dict[str, float]

    @classmethod
    def of(cls, lines: list[dict]) -> "Losses":
        """Collect the losses and recorded outcomes of a time line."""
        at = collections.defaultdict(list)
        recorded: dict[str, float] = {}
        for line in lines:
            if line.get("event") == events.WORKER_LOST.code:
                at[line["worker"]].append(line["t"])
            elif line.get("event") == events.PROCESS_STARTED.code:
                at[line["process"]].append(line["t"])
            elif line.get("event") in (events.TASK_FINISHED.code,
                                       events.TASK_EVICTED.code):
                recorded.setdefault(line["task"], line["t"])
        return cls(at, recorded)

    def gone(self, span: Interval) -> float:
        """Return when a task that logged no end was gone, at the latest.

        Only a killed worker logs no end; one that is cut off or frozen
        logs the lapse of its tasks' leases.
        """
        return min((t for t in self.at.get(span.worker, ())
                    if t > span.began), default=float("inf"))

    def excuse(self, first: Interval, second: Interval) -> bool:
        """Return whether first's end was lost before second began."""
        if self.recorded.get(first.task, second.began) < second.began:
            return False
        return any(first.began < t <= second.began
                   for t in self.at.get(first.worker, ()))


def _resumes(spans: list[Interval],
             losses: Losses) -> list[errors.Finding]:
    found = []
    for job, runs in _runs_by_job(spans):
        for first, second in zip(runs, runs[1:]):
            if losses.excuse(first, second):
                continue
            # A task that failed saved nothing past where it began.
            checkpoint = (first.from_progress if first.state == "failed"
                          else first.to_progress)
            if second.from_progress + PROGRESS_SLACK < checkpoint:
                found.append(errors.Finding(
                    f"{second.worker}@{second.began:.3f}",
                    f"job {job} resumed at {second.from_progress:.2f}, "
                    f"not at its checkpoint {checkpoint:.2f}"))
            if first.state == "done":
                found.append(errors.Finding(
                    f"{second.worker}@{second.began:.3f}",
                    f"job {job} runs again after {first.task} was done"))
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


def _ran_though_told_not(lines: list[dict]) -> list[errors.Finding]:
    told = {line["request_id"]: line for line in lines
            if line.get("event") == events.CALLER_TOLD_NOT_RUN.code}
    return [errors.Finding(
        _place(line), f"request {line['request_id']} ran on "
        f"{line.get('process')} though its caller was told it did not")
        for line in lines
        if line.get("event") == events.REQUEST_SERVED.code
        and line.get("request_id") in told]


def _rules_behind(lines: list[dict]) -> list[errors.Finding]:
    """Find entry processes that ended without the last accepted rules."""
    accepted = max((int(line.get("revision", 0)) for line in lines
                    if line.get("event") == events.RULES_CHANGED.code),
                   default=0)
    applied: dict[str, int] = {}
    stopped: dict[str, dict] = {}
    for line in lines:
        process = line.get("process", "")
        if line.get("event") == events.RULES_APPLIED.code:
            applied[process] = int(line.get("revision", 0))
        elif line.get("event") == events.PROCESS_STOPPED.code:
            stopped[process] = line
    return [errors.Finding(
        _place(stopped[process]), f"ended at rules revision {revision}, "
        f"not {accepted}") for process, revision in sorted(applied.items())
        if process in stopped and revision < accepted]


def check(lines: list[dict]) -> list[errors.Finding]:
    """Return every finding over a merged time line, in place order."""
    spans = intervals(lines)
    losses = Losses.of(lines)
    return (_breaches(lines) + _two_places(spans, losses)
            + _resumes(spans, losses) + _revisions(lines)
            + _ran_though_told_not(lines) + _rules_behind(lines))
