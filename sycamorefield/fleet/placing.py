"""Choose workers for tasks, and what gives way to an urgent one."""

import heapq
import typing

from sycamorefield.fleet import interference
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import workerstate

# A filling task is placed where this many times what it wants is expected to
# be left over: processors that are all in use disturb every serving task, and
# the load of those is known to a few percent only.
FILL_SHARE = 1.05
# A filling task goes where no tail that it harms is expected above this share
# of its target: loads swing within a run, and what is placed close to the
# share at which runs are slowed soon is.
TAIL_LIMIT = 0.55


def leftover_cpu(worker: workerstate.WorkerState) -> float:
    """Return processors that filling tasks may expect, in thousandths.

    Serving tasks use what their load tells; a fixed share of what they
    reserve leaves processors unused at low load, and has all of them in use,
    which disturbs every serving task, at high load.
    """
    return (worker.entry.capacity.cpu - worker.used.cpu + worker.unused_cpu
            - worker.filling_cpu)


def saturated(worker: workerstate.WorkerState) -> bool:
    """Tell whether filling tasks want more processors than are left over."""
    return leftover_cpu(worker) < 0


def allowed(worker: workerstate.WorkerState, service: str,
            task: progress.TaskState) -> bool:
    """Tell whether rules let a task run on a worker, room aside."""
    step = task.step
    if worker.entry.service != service:
        return False
    if step.requires and step.requires not in worker.entry.labels:
        return False
    if step.max_per_worker:
        name = task.task
        there = worker.count_of(name.job_id, name.occurrence, name.step)
        if there >= step.max_per_worker:
            return False
    return True


def fits(worker: workerstate.WorkerState, step: messages.Step,
         learnt: interference.InterferenceModel) -> bool:
    """Tell whether a worker has the room, and gets its starts, now."""
    if not worker.takes_starts():
        return False
    if step.fills and leftover_cpu(worker) < FILL_SHARE * step.room.cpu:
        return False
    if not worker.free().holds(step.reserved()):
        return False
    if not step.fills or not learnt.limit_tails:
        return True
    cores = step.room.cpu / 1000.0
    return learnt.keeps_tails_below(worker.tails, step.image, cores,
                                    TAIL_LIMIT)


def choose(task: progress.TaskState, service: str,
           workers: typing.Iterable[workerstate.WorkerState],
           learnt: interference.InterferenceModel
           ) -> workerstate.WorkerState | None:
    """Return the best worker for a task, or None if none has room.

    Data nearby counts most, then workers on which the task has not failed,
    then the most room left, so that neither racks nor workers fill unevenly.
    """
    best = None
    best_rank: Rank = ()
    for worker in workers:
        rank = _rank(worker, task, service, learnt)
        if rank is not None and (best is None or rank > best_rank):
            best, best_rank = worker, rank
    return best


Rank = tuple[float, ...]


def _rank(worker: workerstate.WorkerState, task: progress.TaskState,
          service: str, learnt: interference.InterferenceModel) -> Rank | None:
    """Return how well a task goes on a worker, or None if it can't."""
    step = task.step
    if not allowed(worker, service, task) or not fits(worker, step, learnt):
        return None
    near = not step.affinity or step.affinity in worker.entry.labels
    fresh = worker.entry.worker_id not in task.avoid
    return (fresh, near, *_room_rank(worker, step, learnt))


class Ranking:
    """Choose workers for the tasks of a step, one after the other.

    Chooses what choose() does for each, but ranks all workers only once:
    searching them anew for each of dozens of tasks takes most of a round that
    starts them.  It holds as long as only the workers that it chose change,
    and for tasks that avoid no worker.
    """

    def __init__(self, task: progress.TaskState, service: str,
                 workers: typing.Iterable[workerstate.WorkerState],
                 learnt: interference.InterferenceModel) -> None:
        self.task = task
        self.service = service
        self.learnt = learnt
        # The best first; of equal ones the first in the order of workers.
        self.ranked: list[tuple[Rank, int, int,
                                workerstate.WorkerState]] = []
        for place, worker in enumerate(workers):
            rank = _rank(worker, task, service, learnt)
            if rank is not None:
                self.ranked.append(_entry(rank, place, worker))
        heapq.heapify(self.ranked)

    def best(self) -> workerstate.WorkerState | None:
        """Return the best worker as of now, or None if none has room."""
        while self.ranked:
            _, place, changed, worker = self.ranked[0]
            if worker.changed == changed:
                return worker
            rank = _rank(worker, self.task, self.service, self.learnt)
            if rank is None:
                heapq.heappop(self.ranked)
            else:
                heapq.heapreplace(self.ranked, _entry(rank, place, worker))
        return None


def _entry(rank: Rank, place: int, worker: workerstate.WorkerState
           ) -> tuple[Rank, int, int, workerstate.WorkerState]:
    return tuple(-part for part in rank), place, worker.changed, worker


# Added harm below this (a tail 2% higher a core) counts as none.
HARMLESS = 0.02


def _room_rank(worker: workerstate.WorkerState, step: messages.Step,
               learnt: interference.InterferenceModel) -> tuple[float, ...]:
    if step.fills:
        total_weight = learnt.total_weight(worker.tails, step.image)
        return (-round(total_weight / HARMLESS), leftover_cpu(worker))
    if step.target_ms:
        # Serving tasks of one image together: a filling image that harms
        # them then finds other workers where it harms nobody.
        images = [task.step.image for task in worker.tasks.values()
                  if task.step.target_ms]
        same = images.count(step.image)
        others = len(images) - same
        return (-float(others), float(same > 0), -float(worker.free().cpu))
    # The smallest gap that fits: wide gaps stay for wide tasks.
    return (-float(worker.free().cpu), -float(worker.free().mem_mb))


def victims(task: progress.TaskState, service: str, priority: int,
            workers: typing.Iterable[workerstate.WorkerState],
            priority_of: typing.Callable[[progress.TaskState], int]
            ) -> list[progress.TaskState]:
    """Return the fewest less urgent runs that make room for a task.

    Runs that save their progress go first, then those that began last:
    both lose least work.
    """
    best: list[progress.TaskState] = []
    for worker in workers:
        if not allowed(worker, service, task):
            continue
        chosen = _victims_on(worker, task.step, priority, priority_of)
        if chosen and (not best or len(chosen) < len(best)):
            best = chosen
    return best


def _victims_on(worker: workerstate.WorkerState, step: messages.Step,
                priority: int,
                priority_of: typing.Callable[[progress.TaskState], int]
                ) -> list[progress.TaskState]:
    need = step.reserved()
    free = worker.free()
    if need.cpu > free.cpu and not worker.yielding:
        # Filling runs hold no processors; on a full fleet most runs fill.
        return []
    candidates = [t for t in worker.tasks.values()
                  if t.phase == progress.RUNNING and not t.step.perpetual
                  and priority_of(t) > priority]
    if need.cpu > free.cpu and all(t.step.fills for t in candidates):
        return []
    candidates.sort(key=lambda t: (t.step.checkpoint, t.started),
                    reverse=True)
    chosen: list[progress.TaskState] = []
    for task in candidates:
        if free.holds(need):
            break
        chosen.append(task)
        free = free.plus(task.step.reserved())
    return chosen if free.holds(need) else []
