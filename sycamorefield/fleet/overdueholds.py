"""Keep workers for overdue best-effort tasks that fit on none.

Best-effort tasks reserve no CPU, and what becomes unused is taken by the first
task that it is enough for.  Without a hold, narrower tasks could pass a wide
one for ever.  A worker is held where tail latencies are expected to allow the
task once other best-effort runs have ended.  If there is none, or they rise
meanwhile, the task starts after a time in spite of them, at a low pace.
"""

import dataclasses
import math
import typing

from sycamorefield import events
from sycamorefield.fleet import interference
from sycamorefield.fleet import messages
from sycamorefield.fleet import placing
from sycamorefield.fleet import progress
from sycamorefield.fleet import workerstate

# Best-effort runs take some seconds.  A worker whose other load leaves a task
# no CPU in this time is given up for another one.
HOLD_S = 8.0
# From this time on, tail latencies keep a task from its worker no longer.  A
# task is held for after ordering.UNSERVED_AFTER_S, and must begin within 14 s.
TAIL_LIMIT_S = 3.0
# Least time between two searches of a worker for the tasks of a job: a task
# may fit on none, and each search looks at all workers.
SEARCH_GAP_S = 0.5
# How long a search counts: jobs take turns within this time.
REMEMBERED_S = 60.0
# One in this many workers may be held: the others serve the tasks on time.
WORKERS_PER_HOLD = 8

# Why a hold ended.
STARTED = "task started there"
GIVEN_UP = "no CPU for the task in time"
NOT_NEEDED = "task started elsewhere or ended"
UNUSABLE = "worker cannot be used"


class OverdueTask(typing.NamedTuple):
    """An overdue task that a round could not place."""

    task: progress.TaskState
    created_revision: int
    workers: list[workerstate.WorkerState]
    service: str
    # Whether its job has no run.
    unserved: bool


@dataclasses.dataclass(frozen=True, slots=True)
class OverdueHold:
    """A worker on which no other best-effort task is started for a time."""

    task: progress.TaskState
    worker: workerstate.WorkerState
    since: float

    def end_reason(self, usable: typing.Container[workerstate.WorkerState],
                   now: float) -> str:
        """Return why the hold is to end, or "" if it goes on."""
        if not _is_waiting(self.task):
            return (STARTED if self.task.worker_id
                    == self.worker.entry.worker_id else NOT_NEEDED)
        if self.worker not in usable:
            return UNUSABLE
        return GIVEN_UP if now >= self.since + HOLD_S else ""

    def ignores_tails(self, now: float) -> bool:
        """Return whether the task may start in spite of tail latencies."""
        return now >= self.since + TAIL_LIMIT_S


class OverdueHolds:
    """The holds by task.  They are in memory only.

    A successor of the owner holds workers anew, as it finds the tasks overdue.
    """

    def __init__(self) -> None:
        self.by_task: dict[messages.TaskId, OverdueHold] = {}
        # When a worker was last searched for a job, by its ID.
        self.searched_at: dict[str, float] = {}
        # Held tasks that started in spite of tail latencies, for the log.
        self.beside_high_tails: set[messages.TaskId] = set()
        # The last hold of each waiting task that ran out of time.
        self.given_up: dict[messages.TaskId, OverdueHold] = {}

    def worker_for(self, task: progress.TaskState
                   ) -> workerstate.WorkerState | None:
        """Return the worker that is held for a task, if any."""
        hold = self.by_task.get(task.task)
        return None if hold is None else hold.worker

    def is_full(self, worker_count: int) -> bool:
        """Return whether no further worker may be held."""
        return len(self.by_task) >= _max_holds(worker_count)

    def may_search(self, task: progress.TaskState, worker_count: int,
                   now: float) -> bool:
        """Return whether a worker may be searched for a task's job now."""
        searched_at = self.searched_at.get(task.task.job_id, -math.inf)
        return (now - searched_at >= SEARCH_GAP_S
                and not self.is_full(worker_count))

    def drop_finished(self, usable: typing.Container[workerstate.WorkerState],
                      now: float) -> None:
        """End the holds of tasks that don't wait, or that are of no use."""
        for task_id, hold in list(self.by_task.items()):
            reason = hold.end_reason(usable, now)
            if not reason:
                continue
            if reason == GIVEN_UP:
                self.given_up[task_id] = hold
            events.emit(events.WORKER_HOLD_ENDED, task=str(task_id),
                        worker=hold.worker.entry.worker_id, reason=reason,
                        held_s=round(now - hold.since, 2),
                        beside_high_tails=task_id in self.beside_high_tails)
            self.beside_high_tails.discard(task_id)
            del self.by_task[task_id]
            hold.worker.best_effort_hold = None
            hold.worker.record_change()
        self.given_up = {
            task_id: hold for task_id, hold in self.given_up.items()
            if _is_waiting(hold.task)}

    def add(self, overdue: list[OverdueTask], worker_count: int,
            model: interference.InterferenceModel, now: float) -> None:
        """Hold workers for overdue tasks, one for each job.

        Jobs without a run come first, then those that no worker was searched
        for lately, then the oldest ones.
        """
        self.searched_at = {
            job_id: at for job_id, at in self.searched_at.items()
            if now - at < REMEMBERED_S}
        jobs = {task.job_id for task in self.by_task}
        for row in sorted(overdue, key=lambda row: (
                not row.unserved,
                self.searched_at.get(row.task.task.job_id, -math.inf),
                row.created_revision)):
            if self.is_full(worker_count):
                return
            if row.task.task.job_id in jobs:
                continue
            self.searched_at[row.task.task.job_id] = now
            worker = self._choose_worker(row, model)
            if worker is not None:
                jobs.add(row.task.task.job_id)
                worker.best_effort_hold = row.task.task
                self.by_task[row.task.task] = OverdueHold(
                    row.task, worker, now)

    def _choose_worker(self, row: OverdueTask,
                       model: interference.InterferenceModel
                       ) -> workerstate.WorkerState | None:
        """Return the worker with the most CPU for a task, or None.

        The task fits there once other best-effort runs have ended.  Workers
        where tail latencies then allow it come first.
        """
        given_up = self.given_up.get(row.task.task)
        step = row.task.step
        return max((worker for worker in row.workers
                    if worker.best_effort_hold is None
                    and (given_up is None or worker is not given_up.worker)
                    and placing.allowed(worker, row.service, row.task)
                    and _has_cpu_without_best_effort(worker, step)),
                   key=lambda worker: (
                       placing.keeps_tails_low(
                           _tails_without_best_effort(worker), step, model),
                       placing.available_best_effort_cpu(worker)),
                   default=None)


def _max_holds(worker_count: int) -> int:
    return max(1, worker_count // WORKERS_PER_HOLD)


def _is_waiting(task: progress.TaskState) -> bool:
    return (task.phase == progress.IDLE and not task.done
            and task.job is not None and not task.job.final())


def fits_without_best_effort(worker: workerstate.WorkerState,
                             step: messages.Step,
                             model: interference.InterferenceModel) -> bool:
    """Return whether a task fits once all best-effort runs have ended."""
    return (_has_cpu_without_best_effort(worker, step)
            and placing.keeps_tails_low(
                _tails_without_best_effort(worker), step, model))


def _has_cpu_without_best_effort(worker: workerstate.WorkerState,
                                 step: messages.Step) -> bool:
    """Return whether a task has capacity once best-effort runs have ended."""
    cpu = placing.available_best_effort_cpu(worker) + worker.best_effort_cpu
    free = worker.free_capacity()
    for task in worker.tasks.values():
        if task.step.fills:
            free = free.plus(task.step.reserved())
    return (cpu >= placing.required_best_effort_cpu(step)
            and free.holds(step.reserved()))


def _tails_without_best_effort(worker: workerstate.WorkerState
                               ) -> list[interference.TailLatency]:
    """Return the tail latencies expected by the load of the tasks alone."""
    return [dataclasses.replace(
        tail, utilisation=min(tail.utilisation, tail.load))
        for tail in worker.tail_latencies]
