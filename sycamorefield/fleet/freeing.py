"""Track, within a round, the capacity being freed on each worker."""

from sycamorefield.fleet import messages
from sycamorefield.fleet import placement_cache
from sycamorefield.fleet import placing
from sycamorefield.fleet import progress
from sycamorefield.fleet import workerstate


class FreeingCapacity:
    """The capacity being freed on each worker, in addition to what is free.

    Stopping runs free capacity.  A worker with too many unsent starts is
    included even if it frees nothing: its free capacity can be used once these
    starts are sent.  Computed on first use, because most rounds don't need it.
    """

    def __init__(self, usable_workers: list[workerstate.WorkerState]) -> None:
        self.usable_workers = usable_workers
        self.freeing: dict[str, messages.Resources] | None = None
        # Workers of which more has become available, and how many of them
        # there were when the last claim of a request failed, by scope.
        self.gains: list[workerstate.WorkerState] = []
        self.failed_claims: dict[tuple[
            placement_cache.SearchScope, messages.Resources], int] = {}

    def by_worker(self) -> dict[str, messages.Resources]:
        """Return the capacity being freed, by id of a worker to wait for."""
        if self.freeing is None:
            self.freeing = {}
            for worker in self.usable_workers:
                freeing_here = _freeing_on(worker)
                if (freeing_here != messages.Resources()
                        or not worker.accepts_starts()):
                    self.freeing[worker.entry.worker_id] = freeing_here
        return self.freeing

    def claim(self, task: progress.TaskState, service: str,
              workers: list[workerstate.WorkerState],
              scope: placement_cache.SearchScope | None = None) -> bool:
        """Let a task wait for a worker; return whether it will fit on one.

        The scope is that of all tasks that may use the same workers, if any.
        After a claim has failed, those of equal tasks are tried only on
        workers of which more has become available.
        """
        freeing = self.by_worker()
        request = task.step.reserved()
        seen = (self.failed_claims.get((scope, request))
                if scope is not None else None)
        searched = (workers if seen is None
                    else list(dict.fromkeys(self.gains[seen:])))
        for worker in searched if freeing else ():
            if (self._suffices_on(worker, service, task)
                    and (seen is None or worker in workers)):
                worker_id = worker.entry.worker_id
                freeing[worker_id] = freeing[worker_id].minus(request)
                return True
        if scope is not None:
            self.failed_claims[scope, request] = len(self.gains)
        return False

    def _suffices_on(self, worker: workerstate.WorkerState, service: str,
                     task: progress.TaskState) -> bool:
        """Return whether a task will fit on a worker to wait for."""
        freeing_here = self.by_worker().get(worker.entry.worker_id)
        return (freeing_here is not None
                and worker.free_capacity().plus(
                    freeing_here).holds(task.step.reserved())
                and placing.allowed(worker, service, task))

    def record_gain(self, worker: workerstate.WorkerState) -> None:
        """Record that more of a worker has become available."""
        self.gains.append(worker)

    def record_preemption(self, task: progress.TaskState,
                          worker: workerstate.WorkerState) -> None:
        """Record what runs preempted on a worker for a task are freeing."""
        self.by_worker()[worker.entry.worker_id] = _freeing_on(
            worker).minus(task.step.reserved())
        self.record_gain(worker)

    def add(self, worker: workerstate.WorkerState,
            resources: messages.Resources) -> None:
        """Add what runs that have just been ordered to stop are freeing."""
        freeing = self.by_worker()
        worker_id = worker.entry.worker_id
        freeing[worker_id] = freeing.get(
            worker_id, messages.Resources()).plus(resources)
        self.record_gain(worker)

    def on_worker(self, worker: workerstate.WorkerState
                  ) -> messages.Resources:
        """Return what is being freed on a worker and not claimed."""
        return self.by_worker().get(worker.entry.worker_id,
                                    messages.Resources())

    def record_start(self, worker: workerstate.WorkerState) -> None:
        """Record a start; tasks may wait for it if no more are accepted."""
        if self.freeing is not None and not worker.accepts_starts():
            self.freeing.setdefault(
                worker.entry.worker_id, messages.Resources())
            self.record_gain(worker)

    def discard(self, worker: workerstate.WorkerState) -> None:
        """Let no task wait for capacity being freed on a worker."""
        self.by_worker().pop(worker.entry.worker_id, None)


def _freeing_on(worker: workerstate.WorkerState) -> messages.Resources:
    freeing_here = messages.Resources()
    for run in worker.stopping:
        task = worker.tasks.get(run)
        if task is not None and task.phase == progress.STOPPING:
            freeing_here = freeing_here.plus(task.step.reserved())
    return freeing_here
