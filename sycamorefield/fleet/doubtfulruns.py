"""Log runs that count as current although nothing confirms them for long.

The task of such a run does not start again.  Normally answers, reports and the
end of leases settle every run within seconds.
"""

import typing

from sycamorefield import events
from sycamorefield.fleet import progress
from sycamorefield.fleet import workerstate

if typing.TYPE_CHECKING:
    from sycamorefield.fleet import state as state_mod

# Runs are checked this often, and logged once they have been in doubt for
# longer than two attempts to start, a stop and the longest lease take.
CHECK_PERIOD_S = 2.0
LOG_AFTER_S = 10.0
# Keeps a line below 8 KB, which standard output accepts in a single write.
ROWS_PER_LINE = 30

# The phase of a run that is not the current one of its task.
SUPERSEDED = "superseded"

RunPhase = tuple[workerstate.RunId, str]
# The task, its run, its phase, the worker ("" if it is not known), for how
# long in seconds, whether the start is still queued, and whether the worker is
# silent.
DoubtfulRow = tuple[str, int, str, str, float, bool, bool]


class DoubtfulRuns:
    """Remember since when each current run has been in doubt."""

    def __init__(self) -> None:
        self.doubtful_since: dict[RunPhase, float] = {}
        self.checked_at = 0.0
        self.logged_at = 0.0
        # How many runs were in doubt for long, as of the last check.
        self.count = 0

    def update(self, fleet: "state_mod.FleetState", now: float) -> None:
        """Note the runs in doubt and log those that have been for long."""
        if now - self.checked_at < CHECK_PERIOD_S:
            return
        self.checked_at = now
        rows, wrong_totals = self._check(fleet, now)
        self.count = len(rows)
        if not (rows or wrong_totals) or now - self.logged_at < LOG_AFTER_S:
            return
        self.logged_at = now
        rows.sort(key=lambda row: -row[4])
        events.emit(events.RUNS_IN_DOUBT, fence=fleet.fence, count=len(rows),
                    runs=rows[:ROWS_PER_LINE],
                    wrong_totals=wrong_totals[:ROWS_PER_LINE])

    def _check(self, fleet: "state_mod.FleetState", now: float
               ) -> tuple[list[DoubtfulRow], list[str]]:
        """Return runs in doubt for long, and workers with a wrong total.

        The lock is released after each worker, so that reports and lease
        renewals need not wait until all are checked.
        """
        with fleet.lock:
            workers = list(fleet.workers.values())
            jobs = list(fleet.active.values())
        doubtful_since: dict[RunPhase, float] = {}
        rows: list[DoubtfulRow] = []
        wrong_totals = []
        for worker in workers:
            with fleet.lock:
                found = _doubtful_on(worker)
                if worker.used.cpu != sum(
                        room.cpu for room in worker.reserved.values()):
                    wrong_totals.append(worker.entry.worker_id)
            rows += self._note(found, worker, doubtful_since, now)
        for job in jobs:
            with fleet.lock:
                found = _without_worker(fleet, job)
            rows += self._note(found, None, doubtful_since, now)
        self.doubtful_since = doubtful_since
        return rows, wrong_totals

    def _note(self, found: list[RunPhase],
              worker: workerstate.WorkerState | None,
              doubtful_since: dict[RunPhase, float],
              now: float) -> list[DoubtfulRow]:
        """Note runs that are in doubt; return rows of the old ones."""
        rows = []
        for run_phase in found:
            since = self.doubtful_since.get(run_phase, now)
            doubtful_since[run_phase] = since
            if now - since >= LOG_AFTER_S:
                rows.append(_row(run_phase, worker, now - since))
        return rows


def _doubtful_on(worker: workerstate.WorkerState) -> list[RunPhase]:
    """Return the runs on a worker that nothing confirms."""
    found = []
    for run, task in worker.tasks.items():
        is_current = (task.run == run[1]
                      and task.worker_id == worker.entry.worker_id)
        phase = task.phase if is_current else SUPERSEDED
        if phase != progress.RUNNING or worker.unresponsive:
            found.append((run, phase))
    return found


def _without_worker(fleet: "state_mod.FleetState",
                    job: progress.JobState) -> list[RunPhase]:
    """Return the current runs of a job that no worker is known to have."""
    found = []
    for task in job.all_tasks():
        if task.phase == progress.IDLE:
            continue
        worker = fleet.workers.get(task.worker_id)
        run = (task.task, task.run)
        if worker is None or run not in worker.reserved:
            found.append((run, task.phase))
    return found


def _row(run_phase: RunPhase, worker: workerstate.WorkerState | None,
         for_s: float) -> DoubtfulRow:
    run, phase = run_phase
    if worker is None:
        return (str(run[0]), run[1], phase, "", round(for_s, 1), False, True)
    return (str(run[0]), run[1], phase, worker.entry.worker_id,
            round(for_s, 1), run in worker.unsent_starts, worker.unresponsive)
