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
BEST_EFFORT_CPU_FACTOR = 1.05
# A filling task goes where no tail that it harms is expected above this share
# of its target: loads swing within a run, and what is placed close to the
# share at which runs are slowed soon is.
MAX_TAIL_LATENCY_RATIO = 0.55


def available_best_effort_cpu(worker: workerstate.WorkerState) -> float:
    """Return processors that filling tasks may expect, in thousandths.

    Serving tasks use what their load tells; a fixed share of what they
    reserve leaves processors unused at low load, and has all of them in use,
    which disturbs every serving task, at high load.
    """
    return (worker.entry.capacity.cpu - worker.used.cpu + worker.unused_cpu
            - worker.filling_cpu)


def is_saturated(worker: workerstate.WorkerState) -> bool:
    """Tell whether filling tasks want more processors than are left over."""
    return available_best_effort_cpu(worker) < 0


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
        running_here = worker.count_of(name.job_id, name.occurrence, name.step)
        if running_here >= step.max_per_worker:
            return False
    return True


def fits(worker: workerstate.WorkerState, step: messages.Step,
         model: interference.Interference) -> bool:
    """Tell whether a worker has the room, and gets its starts, now."""
    if not worker.takes_starts():
        return False
    if step.fills and available_best_effort_cpu(
            worker) < BEST_EFFORT_CPU_FACTOR * step.room.cpu:
        return False
    if not worker.free().holds(step.reserved()):
        return False
    if not step.fills or not model.limits:
        return True
    cores = step.room.cpu / 1000.0
    return model.stays_below(worker.tails, step.image,
                             cores, MAX_TAIL_LATENCY_RATIO)


def choose(task: progress.TaskState, service: str,
           workers: typing.Iterable[workerstate.WorkerState],
           model: interference.Interference
           ) -> workerstate.WorkerState | None:
    """Return the best worker for a task, or None if none has room.

    Data nearby counts most, then workers on which the task has not failed,
    then the most room left, so that neither racks nor workers fill unevenly.
    """
    best = None
    highest_rank: Rank = ()
    for worker in workers:
        rank = _rank(worker, task, service, model)
        if rank is not None and (best is None or rank > highest_rank):
            best, highest_rank = worker, rank
    return best


Rank = tuple[float, ...]


def _rank(worker: workerstate.WorkerState, task: progress.TaskState,
          service: str, model: interference.Interference) -> Rank | None:
    """Return how well a task goes on a worker, or None if it can't."""
    step = task.step
    if not allowed(worker, service, task) or not fits(worker, step, model):
        return None
    has_data_nearby = not step.affinity or step.affinity in worker.entry.labels
    not_failed_here = worker.entry.worker_id not in task.avoid
    return (not_failed_here, has_data_nearby, *
            _packing_rank(worker, step, model))


class Ranking:
    """Choose workers for the tasks of a step, one after the other.

    Chooses what choose() does for each, but ranks all workers only once:
    searching them anew for each of dozens of tasks takes most of a round that
    starts them.  It holds as long as only the workers that it chose change,
    and for tasks that avoid no worker.
    """

    def __init__(self, task: progress.TaskState, service: str,
                 workers: typing.Iterable[workerstate.WorkerState],
                 model: interference.Interference) -> None:
        self.task = task
        self.service = service
        self.model = model
        # The best first; of equal ones the first in the order of workers.
        self.heap: list[tuple[Rank, int, int,
                              workerstate.WorkerState]] = []
        for position, worker in enumerate(workers):
            rank = _rank(worker, task, service, model)
            if rank is not None:
                self.heap.append(_heap_entry(rank, position, worker))
        heapq.heapify(self.heap)

    def best(self) -> workerstate.WorkerState | None:
        """Return the best worker as of now, or None if none has room."""
        while self.heap:
            _, position, changed, worker = self.heap[0]
            if worker.changed == changed:
                return worker
            rank = _rank(worker, self.task, self.service, self.model)
            if rank is None:
                heapq.heappop(self.heap)
            else:
                heapq.heapreplace(
                    self.heap, _heap_entry(rank, position, worker))
        return None


def _heap_entry(rank: Rank, position: int, worker: workerstate.WorkerState
                ) -> tuple[Rank, int, int, workerstate.WorkerState]:
    return tuple(-part for part in rank), position, worker.changed, worker


# Added harm below this (a tail 2% higher a core) counts as none.
NEGLIGIBLE_HARM = 0.02


def _packing_rank(worker: workerstate.WorkerState, step: messages.Step,
                  model: interference.Interference) -> tuple[float, ...]:
    if step.fills:
        harm = model.harm(worker.tails, step.image)
        return (-round(harm / NEGLIGIBLE_HARM),
                available_best_effort_cpu(worker))
    if step.target_ms:
        # Serving tasks of one image together: a filling image that harms
        # them then finds other workers where it harms nobody.
        serving_images = [task.step.image for task in worker.tasks.values()
                          if task.step.target_ms]
        same_image = serving_images.count(step.image)
        other_images = len(serving_images) - same_image
        return (-float(other_images), float(same_image > 0), -
                float(worker.free().cpu))
    # The smallest gap that fits: wide gaps stay for wide tasks.
    return (-float(worker.free().cpu), -float(worker.free().mem_mb))


def choose_victims(task: progress.TaskState, service: str, priority: int,
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
        chosen = _choose_victims_on(worker, task.step, priority, priority_of)
        if chosen and (not best or len(chosen) < len(best)):
            best = chosen
    return best


def _choose_victims_on(worker: workerstate.WorkerState, step: messages.Step,
                       priority: int,
                       priority_of: typing.Callable[[progress.TaskState], int]
                       ) -> list[progress.TaskState]:
    request = step.reserved()
    free = worker.free()
    if request.cpu > free.cpu and not worker.yielding:
        # Filling runs hold no processors; on a full fleet most runs fill.
        return []
    candidates = [t for t in worker.tasks.values()
                  if t.phase == progress.RUNNING and not t.step.perpetual
                  and priority_of(t) > priority]
    if request.cpu > free.cpu and all(t.step.fills for t in candidates):
        return []
    candidates.sort(key=lambda t: (t.step.checkpoint, t.started),
                    reverse=True)
    chosen: list[progress.TaskState] = []
    for task in candidates:
        if free.holds(request):
            break
        chosen.append(task)
        free = free.plus(task.step.reserved())
    return chosen if free.holds(request) else []
