"""Keep workers for overdue best-effort tasks that fit on none.

Best-effort tasks reserve no CPU, and what becomes unused is taken by the first
task that it is enough for.  Without a hold, narrower tasks could pass a wide
one for ever.
"""

import dataclasses
import typing

from sycamorefield.fleet import messages
from sycamorefield.fleet import placing
from sycamorefield.fleet import progress
from sycamorefield.fleet import workerstate

# Best-effort runs take some seconds.  A worker whose other load leaves a task
# no CPU in this time is given up for another one.
HOLD_S = 8.0
# One in this many workers may be held: the others serve the tasks on time.
WORKERS_PER_HOLD = 8


class OverdueTask(typing.NamedTuple):
    """An overdue task that a round could not place."""

    task: progress.TaskState
    created_revision: int
    workers: list[workerstate.WorkerState]
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class OverdueHold:
    """A worker on which no other best-effort task is started until a time."""

    task: progress.TaskState
    worker: workerstate.WorkerState
    until: float


class OverdueHolds:
    """The holds by task.  They are in memory only.

    A successor of the owner holds workers anew, as it finds the tasks overdue.
    """

    def __init__(self) -> None:
        self.by_task: dict[messages.TaskId, OverdueHold] = {}
        # The last hold of each waiting task that ran out of time.
        self.given_up: dict[messages.TaskId, OverdueHold] = {}

    def worker_for(self, task: progress.TaskState
                   ) -> workerstate.WorkerState | None:
        """Return the worker that is held for a task, if any."""
        hold = self.by_task.get(task.task)
        return None if hold is None else hold.worker

    def drop_finished(self, usable: typing.Container[workerstate.WorkerState],
                      now: float) -> None:
        """End the holds of tasks that don't wait, or that are of no use."""
        for task_id, hold in list(self.by_task.items()):
            if now >= hold.until:
                self.given_up[task_id] = hold
            elif _is_waiting(hold.task) and hold.worker in usable:
                continue
            del self.by_task[task_id]
            hold.worker.best_effort_hold = None
            hold.worker.record_change()
        self.given_up = {
            task_id: hold for task_id, hold in self.given_up.items()
            if _is_waiting(hold.task)}

    def add(self, overdue: list[OverdueTask], worker_count: int,
            now: float) -> None:
        """Hold workers for the oldest overdue tasks."""
        free_holds = max(1, worker_count // WORKERS_PER_HOLD)
        free_holds -= len(self.by_task)
        for row in sorted(overdue, key=lambda row: row.created_revision):
            if free_holds <= 0:
                return
            if row.task.task in self.by_task:
                continue
            worker = self._choose_worker(row)
            if worker is not None:
                free_holds -= 1
                worker.best_effort_hold = row.task.task
                self.by_task[row.task.task] = OverdueHold(
                    row.task, worker, now + HOLD_S)

    def _choose_worker(self, row: OverdueTask
                       ) -> workerstate.WorkerState | None:
        """Return the worker with the most CPU for a task, or None.

        The task fits there once other best-effort runs have ended.
        """
        given_up = self.given_up.get(row.task.task)
        return max((worker for worker in row.workers
                    if worker.best_effort_hold is None
                    and (given_up is None or worker is not given_up.worker)
                    and placing.allowed(worker, row.service, row.task)
                    and _cpu_without_best_effort(worker)
                    >= placing.required_best_effort_cpu(row.task.step)),
                   key=placing.available_best_effort_cpu, default=None)


def _is_waiting(task: progress.TaskState) -> bool:
    return (task.phase == progress.IDLE and not task.done
            and task.job is not None and not task.job.final())


def _cpu_without_best_effort(worker: workerstate.WorkerState) -> float:
    """Return the unused CPU once all best-effort runs have ended."""
    return placing.available_best_effort_cpu(worker) + worker.best_effort_cpu
