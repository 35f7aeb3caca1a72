"""Hold resources for the task for which runs are stopped.

Runs end one after the other.  If what they free is not held, narrower tasks
use each part of it before the wide task fits, and runs are preempted for the
wide task again and again.
"""

import collections
import dataclasses

from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import workerstate

# How long resources are held beyond the time that a stop takes.  An urgent
# task should start within 1.1 s; two seconds leave time for one repeated stop
# order.  Later the objective of the task is missed, and others may use them.
HOLD_S = 2.0
# After a hold has run out, nothing is preempted on its worker for this long,
# nor while the same runs are still stopping: it does not carry out stops, and
# each attempt would stop further runs there.
PAUSE_AFTER_EXPIRY_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Resources of a worker that only one task may use until a time."""

    worker: workerstate.WorkerState
    born_ms: int
    job: progress.JobState
    task: progress.TaskState
    priority: int
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """Nothing is preempted on a worker until a time and runs have stopped."""

    until: float
    stopping: frozenset[workerstate.RunId]


class HeldWorkers:
    """The holds by task; at most one for each task.

    The state is in memory only.  After a change of owner nothing is held, and
    the successor preempts again if the task still waits.
    """

    def __init__(self) -> None:
        self.by_task: dict[messages.TaskId, Hold] = {}
        # The CPU held for long-running tasks, by worker ID.
        self.long_running_cpu: collections.Counter[str] = (
            collections.Counter())
        # The tasks with a hold, by ID of its worker.
        self.tasks_by_worker: dict[str, set[messages.TaskId]] = {}
        # How many holds there are of each priority.
        self.priorities: collections.Counter[int] = collections.Counter()
        # Workers on which nothing is preempted at present, by ID.
        self.pauses: dict[str, Pause] = {}

    def count(self) -> int:
        """Return on how many workers something is held."""
        return len({hold.worker.entry.worker_id
                    for hold in list(self.by_task.values())})

    def find(self, task: progress.TaskState) -> Hold | None:
        """Return the hold for a task, or None."""
        return self.by_task.get(task.task)

    def holds_for_step(self, worker: workerstate.WorkerState,
                       step_id: messages.StepId) -> bool:
        """Return whether anything is held on a worker for tasks of a step."""
        return any(
            self.by_task[task].worker is worker and task.step_id() == step_id
            for task in self.tasks_by_worker.get(worker.entry.worker_id, ()))

    def any_on(self, worker: workerstate.WorkerState) -> bool:
        """Return whether anything is held on a worker."""
        return worker.entry.worker_id in self.tasks_by_worker

    def any_less_urgent(self, priority: int) -> bool:
        """Return whether anything is held for a task below a priority."""
        return any(held > priority for held in self.priorities)

    def add(self, hold: Hold) -> None:
        """Hold what a task requests."""
        self.drop(hold.task)
        self.by_task[hold.task.task] = hold
        self.tasks_by_worker.setdefault(
            hold.worker.entry.worker_id, set()).add(hold.task.task)
        self.priorities[hold.priority] += 1
        hold.worker.held = hold.worker.held.plus(hold.task.step.reserved())
        self._count_long_running(hold, 1)
        hold.worker.record_change()

    def drop(self, task: progress.TaskState) -> None:
        """End the hold for a task, if there is one."""
        hold = self.by_task.pop(task.task, None)
        if hold is None:
            return
        self._remove_from_indexes(hold)
        self._count_long_running(hold, -1)
        hold.worker.held = hold.worker.held.minus(task.step.reserved())
        hold.worker.record_change()

    def _remove_from_indexes(self, hold: Hold) -> None:
        worker_id = hold.worker.entry.worker_id
        tasks = self.tasks_by_worker[worker_id]
        tasks.discard(hold.task.task)
        if not tasks:
            del self.tasks_by_worker[worker_id]
        self.priorities[hold.priority] -= 1
        if not self.priorities[hold.priority]:
            del self.priorities[hold.priority]

    def _count_long_running(self, hold: Hold, sign: int) -> None:
        if hold.task.step.perpetual:
            self.long_running_cpu[hold.worker.entry.worker_id] += (
                sign * hold.task.step.reserved().cpu)

    def is_paused(self, worker: workerstate.WorkerState) -> bool:
        """Return whether nothing should be preempted on a worker now."""
        return worker.entry.worker_id in self.pauses

    def without_paused(self, workers: list[workerstate.WorkerState]
                       ) -> list[workerstate.WorkerState]:
        """Return the workers that are not paused."""
        if not self.pauses:
            return workers
        return [w for w in workers if not self.is_paused(w)]

    def drop_finished(self, workers: dict[str, workerstate.WorkerState],
                      now: float) -> list[Hold]:
        """End holds of no use; return those that have run out of time.

        A hold is of no use if its task is no longer waiting, if its worker
        can't be used, or if the task will not fit there.  One for a task whose
        run is still stopping, on another worker, ends silently: nothing is
        wrong with the worker that is held.
        """
        expired = []
        for hold in list(self.by_task.values()):
            if now >= hold.until and hold.task.phase == progress.STOPPING:
                self.drop(hold.task)
            elif now >= hold.until:
                expired.append(hold)
                self.pauses[hold.worker.entry.worker_id] = Pause(
                    now + PAUSE_AFTER_EXPIRY_S,
                    frozenset(hold.worker.stopping))
                self.drop(hold.task)
            elif (not _is_waiting(hold)
                  or not _is_same_worker(hold, workers)
                  or not _can_fit(hold)):
                self.drop(hold.task)
        self._end_pauses(workers, now)
        return expired

    def _end_pauses(self, workers: dict[str, workerstate.WorkerState],
                    now: float) -> None:
        for worker_id, pause in list(self.pauses.items()):
            worker = workers.get(worker_id)
            if worker is None:
                del self.pauses[worker_id]
            elif now >= pause.until and not pause.stopping & worker.stopping:
                del self.pauses[worker_id]
                worker.record_change()


def _is_waiting(hold: Hold) -> bool:
    """Return whether a task waits, if only for the end of its run."""
    task = hold.task
    return (task.phase in (progress.IDLE, progress.STOPPING) and not task.done
            and not hold.job.final() and not hold.job.cancelled)


def _is_same_worker(hold: Hold,
                    workers: dict[str, workerstate.WorkerState]) -> bool:
    """Return whether the worker is usable and has not started again."""
    worker = hold.worker
    return (workers.get(worker.entry.worker_id) is worker
            and worker.born_ms == hold.born_ms and worker.was_usable)


def _can_fit(hold: Hold) -> bool:
    """Return whether the task fits once all runs that will end have ended."""
    worker = hold.worker
    available = worker.entry.capacity
    for task in worker.tasks.values():
        if task.step.perpetual and task.phase != progress.STOPPING:
            available = available.minus(task.step.reserved())
    return available.holds(hold.task.step.reserved())
