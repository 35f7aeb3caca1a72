"""Keep gaps open for lasting tasks that are down and find no room."""

import collections
import dataclasses

from sycamorefield.fleet import messages
from sycamorefield.fleet import placement_cache
from sycamorefield.fleet import placing
from sycamorefield.fleet import progress
from sycamorefield.fleet import workerstate

# A task that goes first after 4 s down counts as lost 5 s later; runs that
# take up to this long leave it two of them.
SHORT_RUN_MS = 3000


@dataclasses.dataclass(slots=True)
class ReservableWorker:
    """Hold a worker's room beyond its claims, now and later.

    soon is what is left once its short runs have ended, late once all have
    that end by themselves.
    """

    worker: workerstate.WorkerState
    free: messages.Room
    free_soon: messages.Room
    free_eventually: messages.Room
    reserved_tasks: collections.Counter[messages.StepId] = dataclasses.field(
        default_factory=collections.Counter)

    def reserve(self, task: progress.TaskState) -> None:
        """Take off what a task will need."""
        request = task.step.reserved()
        self.free = self.free.minus(request)
        self.free_soon = self.free_soon.minus(request)
        self.free_eventually = self.free_eventually.minus(request)
        self.reserved_tasks[task.task.step_id()] += 1

    def allows(self, task: progress.TaskState, service: str,
               tickets: dict[str, str] | None) -> bool:
        """Tell whether rules let a task run here beside its claims."""
        step = task.step
        worker = self.worker
        if tickets is not None and worker.entry.worker_id not in tickets:
            return False
        if not placing.allowed(worker, service, task):
            return False
        if not step.max_per_worker:
            return True
        name = task.task
        running_here = worker.count_of(name.job_id, name.occurrence, name.step)
        return running_here + \
            self.reserved_tasks[name.step_id()] < step.max_per_worker


class Reservations:
    """Claim workers on which runs that end will leave a wide enough gap.

    What goes wrong without: a task that goes first but is wider than any gap
    is passed over, narrower ones take each part of the gap that would grow,
    and it stays down for as long as they keep coming.  Its users notice; the
    owner sees a task down for seconds beside starts on every worker.  With a
    claim nothing else is started on that worker until runs have ended there,
    so the wait is that of the runs that are there.
    """

    def __init__(self, workers: list[workerstate.WorkerState]) -> None:
        self.workers = list(workers)
        self.candidates: list[ReservableWorker] | None = None
        self.unplaceable = placement_cache.UnplaceableRequests()

    def reserve(self, task: progress.TaskState,
                scope: placement_cache.SearchScope,
                tickets: dict[str, str] | None
                ) -> workerstate.WorkerState | None:
        """Return the worker to keep clear for a task, or None."""
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
        """Return where the gap is widest now of those that will do.

        It is the next to be wide enough; as nothing else takes of it, the
        choice mostly stays the same from round to round.
        """
        request = task.step.reserved()
        best = None
        for candidate in self.candidates or ():
            if best is not None and candidate.free.cpu <= best.free.cpu:
                continue
            free_later = (candidate.free_eventually if include_long_runs
                          else candidate.free_soon)
            if free_later.holds(request) and candidate.allows(
                    task, service, tickets):
                best = candidate
        return best


def _reservable_worker(worker: workerstate.WorkerState) -> ReservableWorker:
    free_soon = free_eventually = free = worker.free()
    for task in worker.tasks.values():
        stopping = task.phase == progress.STOPPING
        if task.step.perpetual and not stopping:
            continue
        reserved = task.step.reserved()
        free_eventually = free_eventually.plus(reserved)
        if stopping or task.step.estimate_ms <= SHORT_RUN_MS:
            free_soon = free_soon.plus(reserved)
    return ReservableWorker(worker, free, free_soon, free_eventually)
