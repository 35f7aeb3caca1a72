"""Track, within a round, the capacity being freed on each worker."""

from sycamorefield.fleet import messages
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
              workers: list[workerstate.WorkerState]) -> bool:
        """Let a task wait for a worker; return whether it will fit on one."""
        request = task.step.reserved()
        freeing = self.by_worker()
        for worker in workers if freeing else ():
            worker_id = worker.entry.worker_id
            freeing_here = freeing.get(worker_id)
            if (freeing_here is not None
                    and worker.free_capacity().plus(
                        freeing_here).holds(request)
                    and placing.allowed(worker, service, task)):
                freeing[worker_id] = freeing_here.minus(request)
                return True
        return False

    def record_preemption(self, task: progress.TaskState,
                          worker: workerstate.WorkerState) -> None:
        """Record what runs preempted on a worker for a task are freeing."""
        self.by_worker()[worker.entry.worker_id] = _freeing_on(
            worker).minus(task.step.reserved())

    def add(self, worker: workerstate.WorkerState,
            resources: messages.Resources) -> None:
        """Add what runs that have just been ordered to stop are freeing."""
        freeing = self.by_worker()
        worker_id = worker.entry.worker_id
        freeing[worker_id] = freeing.get(
            worker_id, messages.Resources()).plus(resources)

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
