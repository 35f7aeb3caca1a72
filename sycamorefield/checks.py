"""Check the invariants of a deployment over its merged time line.

Processes check what they alone can see while it happens (a worker its
capacity, a backend repeated keys and the grace period for leaving) and log
INVARIANT_BROKEN events. The checks here need the events of all processes: a
job that runs in two places, an evicted job that isn't resumed exactly once
from its checkpoint, a rule revision that goes back. All findings are reported
together, each with its process and time.
"""

import collections
import dataclasses

from sycamorefield import errors
from sycamorefield import events

# Tolerated difference between the clocks of machines.
CLOCK_TOLERANCE_S = 0.05
PROGRESS_TOLERANCE = 0.01


@dataclasses.dataclass
class Interval:
    """The time in which a worker ran a task, from the worker's events."""

    job: str
    task: str
    worker: str
    began_at: float
    ended_at: float | None = None
    state: str = ""
    start_progress: float = 0.0
    end_progress: float = 0.0


def _location(line: dict) -> str:
    return f"{line.get('process', '?')}@{line.get('t', 0):.3f}"


def intervals(lines: list[dict]) -> list[Interval]:
    """Return the interval of every task, those without an end last."""
    open_tasks: dict[tuple[str, str], Interval] = {}
    closed = []
    for line in lines:
        key = (line.get("worker", ""), line.get("task", ""))
        if line.get("event") == events.TASK_BEGAN.code:
            open_tasks[key] = Interval(line["job"], line["task"],
                                       line["worker"], line["t"],
                                       start_progress=line.get("progress", 0))
        elif line.get("event") == events.TASK_ENDED.code:
            interval = open_tasks.pop(key, None)
            if interval is not None:
                # A task whose lease expired ended at that time, but a frozen
                # worker logs the end only when it resumes.
                interval.ended_at = line.get("ended_at", line["t"])
                interval.state = line.get("state", "")
                interval.end_progress = line.get("progress", 0.0)
                closed.append(interval)
    return closed + list(open_tasks.values())


def _find_logged_violations(lines: list[dict]) -> list[errors.Finding]:
    return [errors.Finding(_location(line),
                           f"invariant {line.get('invariant')} broken: "
                           + ", ".join(f"{k}={v}" for k, v in line.items()
                                       if k not in ("t", "event", "msg",
                                                    "process", "zone")))
            for line in lines
            if line.get("event") == events.INVARIANT_BROKEN.code]


def _group_by_job(task_intervals: list[Interval]
                  ) -> list[tuple[str, list[Interval]]]:
    by_job = collections.defaultdict(list)
    for interval in sorted(task_intervals, key=lambda item: item.began_at):
        by_job[interval.job].append(interval)
    return sorted(by_job.items())


def _find_overlapping_runs(task_intervals: list[Interval],
                           worker_losses: "WorkerLosses"
                           ) -> list[errors.Finding]:
    findings = []
    for job, runs in _group_by_job(task_intervals):
        for first, second in zip(runs, runs[1:]):
            end = (first.ended_at if first.ended_at is not None
                   else worker_losses.ended_by(first))
            if second.began_at + CLOCK_TOLERANCE_S < end:
                findings.append(errors.Finding(
                    f"{second.worker}@{second.began_at:.3f}",
                    f"job {job} runs as {second.task} while {first.task} "
                    f"still runs on {first.worker}"))
    return findings


@dataclasses.dataclass
class WorkerLosses:
    """Times of losses and restarts of workers, and of recorded outcomes.

    A checkpoint that no owner could read and an outcome that no owner had
    recorded are lost with their worker. Running the job again from what was
    recorded is then correct.
    """

    lost_at: dict[str, list[float]]
    outcome_recorded_at: dict[str, float]

    @classmethod
    def from_lines(cls, lines: list[dict]) -> "WorkerLosses":
        """Collect the losses and recorded outcomes of a time line."""
        lost_at = collections.defaultdict(list)
        outcome_recorded_at: dict[str, float] = {}
        for line in lines:
            if line.get("event") == events.WORKER_LOST.code:
                lost_at[line["worker"]].append(line["t"])
            elif line.get("event") == events.PROCESS_STARTED.code:
                lost_at[line["process"]].append(line["t"])
            elif line.get("event") in (events.TASK_FINISHED.code,
                                       events.TASK_EVICTED.code):
                outcome_recorded_at.setdefault(line["task"], line["t"])
        return cls(lost_at, outcome_recorded_at)

    def ended_by(self, interval: Interval) -> float:
        """Return the time by which a task without a logged end had ended.

        Only a killed worker logs no end; one that is cut off or frozen
        logs that the leases of its tasks expired.
        """
        return min((t for t in self.lost_at.get(interval.worker, ())
                    if t > interval.began_at), default=float("inf"))

    def allows_rerun(self, first: Interval, second: Interval) -> bool:
        """Return whether first's outcome was lost before second began."""
        if self.outcome_recorded_at.get(
                first.task, second.began_at) < second.began_at:
            return False
        return any(first.began_at < t <= second.began_at
                   for t in self.lost_at.get(first.worker, ()))


def _find_wrong_resumes(task_intervals: list[Interval],
                        worker_losses: WorkerLosses) -> list[errors.Finding]:
    findings = []
    for job, runs in _group_by_job(task_intervals):
        for first, second in zip(runs, runs[1:]):
            if worker_losses.allows_rerun(first, second):
                continue
            # A failed task saves no progress beyond that at its start.
            checkpoint = (first.start_progress if first.state == "failed"
                          else first.end_progress)
            if second.start_progress + PROGRESS_TOLERANCE < checkpoint:
                findings.append(errors.Finding(
                    f"{second.worker}@{second.began_at:.3f}",
                    f"job {job} resumed at {second.start_progress:.2f}, "
                    f"not at its checkpoint {checkpoint:.2f}"))
            if first.state == "done":
                findings.append(errors.Finding(
                    f"{second.worker}@{second.began_at:.3f}",
                    f"job {job} runs again after {first.task} was done"))
    return findings


def _find_revision_rollbacks(lines: list[dict]) -> list[errors.Finding]:
    last: dict[str, int] = {}
    findings = []
    for line in lines:
        if line.get("event") != events.RULES_APPLIED.code:
            continue
        process = line.get("process", "")
        revision = int(line.get("revision", 0))
        if revision < last.get(process, 0):
            findings.append(errors.Finding(
                _location(line), f"rules went from revision "
                f"{last[process]} back to {revision}"))
        last[process] = max(revision, last.get(process, 0))
    return findings


def _find_false_not_run_replies(lines: list[dict]) -> list[errors.Finding]:
    not_run_replies = {line["request_id"]: line for line in lines
                       if line.get("event") == events.CALLER_TOLD_NOT_RUN.code}
    return [errors.Finding(
        _location(line), f"request {line['request_id']} ran on "
        f"{line.get('process')} but its caller was told that it did not")
        for line in lines
        if line.get("event") == events.REQUEST_SERVED.code
        and line.get("request_id") in not_run_replies]


def _find_outdated_rules(lines: list[dict]) -> list[errors.Finding]:
    """Find entry processes that stopped without the last accepted rules."""
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
        _location(stopped[process]), f"stopped at rules revision {revision}, "
        f"not {accepted}") for process, revision in sorted(applied.items())
        if process in stopped and revision < accepted]


def check(lines: list[dict]) -> list[errors.Finding]:
    """Return the findings of all checks over a merged time line."""
    task_intervals = intervals(lines)
    worker_losses = WorkerLosses.from_lines(lines)
    return (_find_logged_violations(lines)
            + _find_overlapping_runs(task_intervals, worker_losses)
            + _find_wrong_resumes(task_intervals, worker_losses)
            + _find_revision_rollbacks(lines)
            + _find_false_not_run_replies(lines)
            + _find_outdated_rules(lines))
