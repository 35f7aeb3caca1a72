"""Follow, within a round, the room that is coming on each worker."""

from sycamorefield.fleet import messages
from sycamorefield.fleet import placing
from sycamorefield.fleet import progress
from sycamorefield.fleet import workerstate


class ComingRoom:
    """Hold the room that is coming beside what is free, by worker.

    Runs that stop leave it.  Where starts wait to be sent no room comes, but
    what is free is there as soon as they are out.  It is worked out when
    first asked for: most rounds never do.
    """

    def __init__(self, usable: list[workerstate.WorkerState]) -> None:
        self.usable = usable
        self.rooms: dict[str, messages.Resources] | None = None

    def by_worker(self) -> dict[str, messages.Resources]:
        """Return the room of each worker where some is, or is held back."""
        if self.rooms is None:
            self.rooms = {}
            for worker in self.usable:
                room = _stopping_room(worker)
                if room != messages.Resources() or not worker.accepts_starts():
                    self.rooms[worker.entry.worker_id] = room
        return self.rooms

    def take(self, task: progress.TaskState, service: str,
             workers: list[workerstate.WorkerState]) -> bool:
        """Let a task wait for what comes on a worker; tell if any will do."""
        need = task.step.reserved()
        rooms = self.by_worker()
        for worker in workers if rooms else ():
            worker_id = worker.entry.worker_id
            room = rooms.get(worker_id)
            if (room is not None
                    and worker.free_capacity().plus(room).holds(need)
                    and placing.allowed(worker, service, task)):
                rooms[worker_id] = room.minus(need)
                return True
        return False

    def stopped_for(self, task: progress.TaskState,
                    worker: workerstate.WorkerState) -> None:
        """Count what runs leave that were stopped on a worker for a task."""
        self.by_worker()[worker.entry.worker_id] = _stopping_room(
            worker).minus(task.step.reserved())

    def started(self, worker: workerstate.WorkerState) -> None:
        """Note a start; if it is the last for now, others wait behind it."""
        if self.rooms is not None and not worker.accepts_starts():
            self.rooms.setdefault(worker.entry.worker_id, messages.Resources())

    def drop(self, worker: workerstate.WorkerState) -> None:
        """Count on nothing that comes on a worker."""
        self.by_worker().pop(worker.entry.worker_id, None)


def _stopping_room(worker: workerstate.WorkerState) -> messages.Resources:
    room = messages.Resources()
    for run in worker.stopping:
        task = worker.tasks.get(run)
        if task is not None and task.phase == progress.STOPPING:
            room = room.plus(task.step.reserved())
    return room
