"""Keep gaps open for lasting tasks that are down and find no room."""

from sycamorefield.fleet import messages
from sycamorefield.fleet import placing
from sycamorefield.fleet import progress
from sycamorefield.fleet import workerstate


class Gaps:
    """Claim workers on which short runs will leave a gap that is wide enough.

    What goes wrong without: a task that goes first but is wider than any gap
    is passed over, narrower ones take each part of the gap that would grow,
    and it stays down for as long as they keep coming.  Its users notice; the
    owner sees a task down for seconds beside starts on every worker.  With a
    claim nothing else is started on that worker until short runs have ended
    there, so the wait is that of the runs that are there: with short runs of
    0.8 to 1.6 s, a task as wide as a worker is back 1.3 s after it may go
    first, instead of not in 60 s (modelled, two workers).
    """

    def __init__(self, workers: list[workerstate.WorkerState]) -> None:
        self.workers = list(workers)
        self.claimed: dict[str, messages.Room] = {}
        self.opening: dict[str, messages.Room] = {}

    def claim(self, task: progress.TaskState, service: str,
              tickets: dict[str, str] | None
              ) -> workerstate.WorkerState | None:
        """Return the worker to keep clear for a task, or None."""
        need = task.step.reserved()
        best = None
        best_cpu = 0
        for worker in self.workers:
            worker_id = worker.entry.worker_id
            if tickets is not None and worker_id not in tickets:
                continue
            left = self._left(worker)
            # The widest gap is the next to be wide enough; as nothing else
            # takes of it, the choice stays the same from round to round.
            if best is not None and left.cpu <= best_cpu:
                continue
            if (self._opens(worker, left).holds(need)
                    and placing.allowed(worker, service, task)):
                best, best_cpu = worker, left.cpu
        if best is not None:
            self._note(best, need)
        return best

    def _note(self, worker: workerstate.WorkerState,
              need: messages.Room) -> None:
        worker_id = worker.entry.worker_id
        before = self.claimed.get(worker_id, messages.Room())
        self.claimed[worker_id] = before.plus(need)

    def _left(self, worker: workerstate.WorkerState) -> messages.Room:
        claimed = self.claimed.get(worker.entry.worker_id)
        free = worker.free()
        return free if claimed is None else free.minus(claimed)

    def _opens(self, worker: workerstate.WorkerState,
               left: messages.Room) -> messages.Room:
        """Return what is left on a worker once its short runs have ended."""
        worker_id = worker.entry.worker_id
        opening = self.opening.get(worker_id)
        if opening is None:
            opening = self.opening[worker_id] = _short_room(worker)
        return left.plus(opening)


def _short_room(worker: workerstate.WorkerState) -> messages.Room:
    """Return the room of runs that end by themselves or are being stopped."""
    room = messages.Room()
    for task in worker.tasks.values():
        if not task.step.perpetual or task.phase == progress.STOPPING:
            room = room.plus(task.step.reserved())
    return room
