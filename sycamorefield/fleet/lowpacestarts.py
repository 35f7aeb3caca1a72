"""Start best-effort jobs that are overdue at the lowest pace.

A best-effort task needs CPU that other tasks leave unused.  On a busy fleet a
wide one may find no worker with enough of it, so a job could wait without a
bound although it was accepted.  A job that is overdue and has no run therefore
gets one on a worker with memory for it and with CPU for the lowest pace.

The run requests more best-effort CPU than its worker has left, so nothing
starts there at full pace until other best-effort runs have ended, and what
these leave raises its pace.  At their paces, the runs of a worker request no
more than is unused, so it may get several of them.
"""

import typing

from sycamorefield import events
from sycamorefield.fleet import eligibleworkers
from sycamorefield.fleet import interference
from sycamorefield.fleet import messages
from sycamorefield.fleet import overdueholds
from sycamorefield.fleet import pacing
from sycamorefield.fleet import placement_cache
from sycamorefield.fleet import placing
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.fleet import progress
from sycamorefield.fleet import workerstate

# How long an overdue job waits between two runs for CPU at full pace.  One
# that has nothing running for 3 s counts as lost if memory for it is free.
MAX_PAUSE_S = 2.0
# Bounds the time of a round: each search looks at all workers.
MAX_SEARCHES = 16
# How long a job waits after a search in vain.  Otherwise the first jobs, if
# they fit nowhere, would take all searches of each round from the others.
SEARCH_GAP_S = 0.25
LOWEST_PACE_SHARE = pacing.MIN_PACE_PERCENT / 100.0


def is_due(state: progress.JobState, policy: policy_mod.Policy,
           now: float) -> bool:
    """Return whether an overdue job without a run is to get one.

    Without pacing, its pace would never rise.
    """
    return (policy.start_overdue_at_low_pace and policy.pace_filling
            and now - state.had_run_at >= MAX_PAUSE_S
            and now - state.low_pace_missed_at >= SEARCH_GAP_S)


class LowPaceStarts:
    """Choose workers for the starts of one round."""

    def __init__(self, model: interference.InterferenceModel,
                 holds: overdueholds.OverdueHolds) -> None:
        self.model = model
        self.holds = holds
        self.searches = 0
        self.unplaceable = placement_cache.UnplaceableRequests()

    def search(self, state: progress.JobState, task: progress.TaskState,
               eligible: eligibleworkers.EligibleWorkers, now: float
               ) -> workerstate.WorkerState | None:
        """Return the best worker for a task of a job, or None.

        A search that would be in vain, or one too many, is left out.
        """
        scope, request = eligible.scope(task), task.step.room
        # A task may use one more worker than others if that is held for it.
        is_held = self.holds.worker_for(task) is not None
        if (self.searches >= MAX_SEARCHES
                or not is_held and self.unplaceable.covers(scope, request)):
            return None
        self.searches += 1
        worker = self.choose(task, eligible.service, eligible.workers)
        if worker is None:
            state.low_pace_missed_at = now
            if not is_held:
                self.unplaceable.add(scope, request)
        return worker

    def choose(self, task: progress.TaskState, service: str,
               workers: typing.Iterable[workerstate.WorkerState]
               ) -> workerstate.WorkerState | None:
        """Return the best worker for a task, or None.

        Workers on which it has not failed come first, then those where it
        fits at its full pace once other best-effort runs have ended, then
        those with the most unused CPU.
        """
        return max(
            (worker for worker in workers
             if self._fits(worker, task, service)),
            key=lambda worker: (
                not worker.is_avoided_by(task),
                overdueholds.fits_without_best_effort(
                    worker, task.step, self.model),
                placing.available_best_effort_cpu(worker)),
            default=None)

    def _fits(self, worker: workerstate.WorkerState,
              task: progress.TaskState, service: str) -> bool:
        """Return whether a task may start on a worker at the lowest pace."""
        step = task.step
        return (worker.best_effort_hold in (None, task.task)
                and not worker.on_trial
                and worker.accepts_starts()
                and worker.entry.capacity.cpu >= step.room.cpu
                and placing.cpu_left_by_paces(worker)
                >= LOWEST_PACE_SHARE * placing.required_best_effort_cpu(step)
                and worker.free_capacity().holds(step.reserved())
                and placing.allowed(worker, service, task)
                and placing.keeps_tails_low(
                    worker.tail_latencies, step, self.model,
                    LOWEST_PACE_SHARE))


def log_start(task: messages.TaskId, worker: workerstate.WorkerState,
              step: messages.Step) -> None:
    """Log a start at the lowest pace; called before it is ordered."""
    events.emit(events.STARTED_AT_LOW_PACE, task=str(task),
                worker=worker.entry.worker_id, cpu=step.room.cpu,
                unused_cpu=round(placing.available_best_effort_cpu(worker)))
