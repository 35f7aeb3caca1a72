"""Remember which workers failed, as evidence of what made them fail."""

import typing

from sycamorefield import events
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import quarantines
from sycamorefield.fleet import runlog
from sycamorefield.fleet import suspicion
from sycamorefield.fleet import workerstate

# How long failures of workers are kept to detect failures of whole racks.
FAILURE_RETENTION_S = 5.0


class FailedWorker(typing.NamedTuple):
    """A worker that ended without draining, and when.

    recent_tasks had started runs on it in its last seconds.  They are not
    known if the worker never reported to this owner, and explain nothing if
    it was quarantined.
    """

    rack: str
    at: float
    has_reported: bool
    quarantined: bool
    recent_tasks: frozenset[messages.TaskId]

    @property
    def is_evidence(self) -> bool:
        """Return whether the recent tasks may explain the failure."""
        return self.has_reported and not self.quarantined

    def has_recent_run_of_job(self, job_id: str) -> bool:
        """Return whether a task of a job had just started on it."""
        return any(task.job_id == job_id for task in self.recent_tasks)


class Failures:
    """Hold the workers that failed in the last seconds."""

    def __init__(self, trials: quarantines.Quarantines) -> None:
        self.trials = trials
        self.recent: list[FailedWorker] = []

    def note(self, worker: workerstate.WorkerState, now: float) -> None:
        """Remember the end of a worker that was not draining."""
        if not worker.was_draining():
            self.recent.append(self.describe(worker, now))

    def describe(self, worker: workerstate.WorkerState,
                 now: float) -> FailedWorker:
        """Describe the failure of a worker that ends now or is silent."""
        at, recent_tasks = worker.unresponsive_since, worker.recent_tasks
        if not worker.unresponsive:
            at = now
            recent_tasks = worker.find_recent_tasks(
                now - suspicion.MAX_SUSPECT_AGE_S)
        return FailedWorker(
            worker.entry.rack(), at, worker.has_reported,
            worker.entry.worker_id in self.trials.by_worker, recent_tasks)

    def forget_old(self, now: float) -> None:
        """Forget failures that are too old to explain others."""
        self.recent = [failure for failure in self.recent
                       if now - failure.at <= FAILURE_RETENTION_S]


def log_lost_runs(worker: workerstate.WorkerState, reason: str,
                  draining: bool, lost: int,
                  runs: typing.Iterable[tuple[progress.TaskState, int]],
                  now: float) -> None:
    """Log how many runs ended with a life of a worker, and which."""
    events.emit(
        events.WORKER_RUNS_LOST, worker=worker.entry.worker_id, reason=reason,
        born_ms=worker.born_ms, last_end=worker.last_processed_end,
        rack=worker.entry.rack(), listed=worker.listed, draining=draining,
        lost=lost,
        silent_s=(round(now - worker.unresponsive_since, 3)
                  if worker.unresponsive else 0.0),
        runs=runlog.lost_run_rows(runs, now))
