"""Reserve workers for long-running tasks that are down and don't fit."""

import collections
import dataclasses

from sycamorefield.fleet import messages
from sycamorefield.fleet import placement_cache
from sycamorefield.fleet import placing
from sycamorefield.fleet import progress
from sycamorefield.fleet import workerstate

# A long-running task that is down goes first after 4 s and counts as lost
# after 9 s.  Waiting for runs of up to this length leaves 2 s of these 5 s.
SHORT_RUN_MS = 3000


@dataclasses.dataclass(slots=True)
class ReservableWorker:
    """The capacity of a worker that is not reserved, now and later.

    free_soon is what is free once its short runs have ended, free_eventually
    once all runs have ended that end by themselves.
    """

    worker: workerstate.WorkerState
    free_capacity: messages.Resources
    free_soon: messages.Resources
    free_eventually: messages.Resources
    reserved_tasks: collections.Counter[messages.StepId] = dataclasses.field(
        default_factory=collections.Counter)

    def reserve(self, task: progress.TaskState) -> None:
        """Subtract what a task requests."""
        request = task.step.reserved()
        self.free_capacity = self.free_capacity.minus(request)
        self.free_soon = self.free_soon.minus(request)
        self.free_eventually = self.free_eventually.minus(request)
        self.reserved_tasks[task.task.step_id()] += 1

    def allows(self, task: progress.TaskState, service: str,
               tickets: dict[str, str] | None) -> bool:
        """Return whether a task may run here beside the reservations."""
        step = task.step
        worker = self.worker
        if tickets is not None and worker.entry.worker_id not in tickets:
            return False
        if not placing.allowed(worker, service, task):
            return False
        if not step.max_per_worker:
            return True
        task_id = task.task
        running_here = worker.count_runs(
            task_id.job_id, task_id.occurrence, task_id.step)
        return (running_here + self.reserved_tasks[task_id.step_id()]
                < step.max_per_worker)


class Reservations:
    """Reserve workers on which a task will fit once other runs have ended.

    Without reservations, a task that goes first but requests more than any
    worker has free is skipped, and narrower tasks use whatever capacity
    becomes free.  It stays down for as long as such tasks arrive: its users
    are without service for seconds, while the owner starts other tasks on
    every worker.  On a reserved worker nothing else is started until enough
    runs have ended, so the task waits only for runs that are already there.
    """

    def __init__(self, workers: list[workerstate.WorkerState]) -> None:
        self.workers = list(workers)
        self.candidates: list[ReservableWorker] | None = None
        self.unplaceable = placement_cache.UnplaceableRequests()

    def reserve(self, task: progress.TaskState,
                scope: placement_cache.SearchScope,
                tickets: dict[str, str] | None
                ) -> workerstate.WorkerState | None:
        """Return the worker reserved for a task, or None if there is none."""
        request = task.step.reserved()
        if self.unplaceable.covers(scope, request):
            return None
        if self.candidates is None:
            self.candidates = [_reservable_worker(w) for w in self.workers]
        for include_long_runs in (False, True):
            best = self._choose_worker(
                task, scope.service, tickets, include_long_runs)
            if best is not None:
                best.reserve(task)
                return best.worker
        self.unplaceable.add(scope, request)
        return None

    def _choose_worker(self, task: progress.TaskState, service: str,
                       tickets: dict[str, str] | None,
                       include_long_runs: bool) -> ReservableWorker | None:
        """Return the worker with the most free CPU of those that will fit.

        It is expected to fit the task first.  As nothing else uses its
        capacity, the choice mostly stays the same from round to round.
        """
        request = task.step.reserved()
        best = None
        for candidate in self.candidates or ():
            if (best is not None and candidate.free_capacity.cpu
                    <= best.free_capacity.cpu):
                continue
            free_later = (candidate.free_eventually if include_long_runs
                          else candidate.free_soon)
            if (free_later.holds(request)
                    and candidate.allows(task, service, tickets)):
                best = candidate
        return best


def _reservable_worker(worker: workerstate.WorkerState) -> ReservableWorker:
    free_soon = free_eventually = free_capacity = worker.free_capacity()
    for task in worker.tasks.values():
        stopping = task.phase == progress.STOPPING
        if task.step.perpetual and not stopping:
            continue
        reserved = task.step.reserved()
        free_eventually = free_eventually.plus(reserved)
        if stopping or task.step.estimate_ms <= SHORT_RUN_MS:
            free_soon = free_soon.plus(reserved)
    return ReservableWorker(worker, free_capacity, free_soon, free_eventually)
