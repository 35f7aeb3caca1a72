"""Choose workers for tasks, and runs to preempt for urgent tasks."""

import heapq
import sys
import typing

from sycamorefield.fleet import interference
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import workerstate

# A best-effort task needs this many times its CPU to be expected unused: a
# worker whose CPU is fully used slows down every task with a latency target,
# and the load of those tasks is known only to within a few percent.
BEST_EFFORT_CPU_FACTOR = 1.05
# A best-effort task is placed only where no tail latency that it affects is
# expected above this share of its target.  Load varies during a run: one
# placed close to the share at which runs are throttled is soon throttled.
MAX_TAIL_LATENCY_RATIO = 0.55


def available_best_effort_cpu(worker: workerstate.WorkerState) -> float:
    """Return the CPU that further best-effort tasks may expect to use.

    In thousandths of a core.  The CPU used by tasks with a latency target is
    derived from their load.  A fixed share of what they reserve would leave
    CPU unused at low load; at high load all CPU would be in use, which slows
    down every such task.
    """
    return (worker.entry.capacity.cpu - worker.used.cpu + worker.unused_cpu
            - worker.best_effort_cpu)


def cpu_left_by_paces(worker: workerstate.WorkerState) -> float:
    """Return the CPU that best-effort runs leave unused.

    In thousandths of a core; negative if they request more than is unused.
    Those started at the lowest pace request what their pace lets them use.
    """
    return available_best_effort_cpu(worker) + sum(
        task.step.room.cpu * (100 - task.pace_percent) / 100.0
        for task in worker.tasks.values() if task.is_low_pace_start)


def allowed(worker: workerstate.WorkerState, service: str,
            task: progress.TaskState, leaving: int = 0) -> bool:
    """Return whether a task may run on a worker, capacity aside.

    Of the runs of its step there, some are leaving.
    """
    step = task.step
    if worker.entry.service != service:
        return False
    if step.requires and step.requires not in worker.entry.labels:
        return False
    if step.max_per_worker:
        task_id = task.task
        running_here = worker.count_runs(
            task_id.job_id, task_id.occurrence, task_id.step)
        if running_here - leaving >= step.max_per_worker:
            return False
    return True


def fits(worker: workerstate.WorkerState, step: messages.Step,
         model: interference.InterferenceModel) -> bool:
    """Return whether a worker has the capacity and accepts starts now."""
    return (has_capacity(worker, step)
            and keeps_tails_low(worker.tail_latencies, step, model))


def has_capacity(worker: workerstate.WorkerState,
                 step: messages.Step) -> bool:
    """Return whether a task fits on a worker, tail latencies aside."""
    if not worker.accepts_starts():
        return False
    if worker.on_trial and step.perpetual:
        # Its run would not end and tells nothing of the worker.
        return False
    return (has_unused_cpu(worker, step)
            and worker.free_capacity().holds(step.reserved()))


def keeps_tails_low(tails: typing.Iterable[interference.TailLatency],
                    step: messages.Step,
                    model: interference.InterferenceModel,
                    pace_share: float = 1.0) -> bool:
    """Return whether tail latencies allow a task beside them at a pace."""
    return (not step.fills or not model.limit_tails
            or model.keeps_tails_below(
                tails, step.image, pace_share * step.room.cpu / 1000.0,
                MAX_TAIL_LATENCY_RATIO))


def has_unused_cpu(worker: workerstate.WorkerState,
                   step: messages.Step) -> bool:
    """Return whether a best-effort task finds the CPU that it needs."""
    return (not step.fills or available_best_effort_cpu(worker)
            >= required_best_effort_cpu(step))


def required_best_effort_cpu(step: messages.Step) -> float:
    """Return the unused CPU that a best-effort task needs."""
    return BEST_EFFORT_CPU_FACTOR * step.room.cpu


def has_room_when_slow(worker: workerstate.WorkerState,
                       step: messages.Step) -> bool:
    """Return whether a worker has the capacity, on trial or not."""
    return (worker.can_queue_start()
            and worker.free_capacity().holds(step.reserved()))


def choose(task: progress.TaskState, service: str,
           workers: typing.Iterable[workerstate.WorkerState],
           model: interference.InterferenceModel
           ) -> workerstate.WorkerState | None:
    """Return the best worker for a task, or None if it fits on none.

    Workers on which the task has not failed come first, then those near its
    data, then those that are not slow; _packing_rank() decides between equal
    ones.
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
          service: str, model: interference.InterferenceModel) -> Rank | None:
    """Rank a worker for a task (higher is better); None if it can't run."""
    step = task.step
    if not allowed(worker, service, task) or not fits(worker, step, model):
        return None
    if step.fills and worker.best_effort_hold not in (None, task.task):
        return None
    has_data_nearby = not step.affinity or step.affinity in worker.entry.labels
    not_failed_here = not worker.is_avoided_by(task)
    return (not_failed_here, has_data_nearby, not worker.slow,
            *_packing_rank(worker, step, model))


# On a large fleet, a step is placed on the best of this many workers that fit,
# not of all: ranking thousands of workers for each step takes an owner all of
# its time, so that every task waits.  All workers of a fleet of hundreds are
# ranked.
MAX_CANDIDATES = 256


class Ranking:
    """Choose workers for the tasks of a step, one after the other.

    The result is the same as that of choose() for each task, but workers are
    ranked only once: searching them for each of dozens of tasks takes most of
    the time of a round that starts these tasks.  Valid only while no workers
    change but those it chose, and for tasks that avoid no worker.

    At most max_candidates workers that fit are ranked at a time, in the order
    given, and the others once none of these fits any more.
    """

    def __init__(self, task: progress.TaskState, service: str,
                 workers: typing.Iterable[workerstate.WorkerState],
                 model: interference.InterferenceModel,
                 max_candidates: int = MAX_CANDIDATES) -> None:
        self.task = task
        self.service = service
        self.model = model
        # The few workers near a task's data may be anywhere among them.
        self.max_candidates = (
            max_candidates if not task.step.affinity else sys.maxsize)
        self.unranked = enumerate(workers)
        # Best first; ties are broken by the order of the workers.
        self.heap: list[tuple[Rank, int, int,
                              workerstate.WorkerState]] = []
        self._rank_more()

    def _rank_more(self) -> None:
        """Rank workers until enough fit; the heap is empty."""
        for position, worker in self.unranked:
            rank = _rank(worker, self.task, self.service, self.model)
            if rank is not None:
                self.heap.append(_heap_entry(rank, position, worker))
                if len(self.heap) >= self.max_candidates:
                    break
        heapq.heapify(self.heap)

    def best(self) -> workerstate.WorkerState | None:
        """Return the best worker at present, or None if there is none."""
        found = self._best_of_ranked()
        while found is None:
            self._rank_more()
            if not self.heap:
                return None
            found = self._best_of_ranked()
        return found

    def _best_of_ranked(self) -> workerstate.WorkerState | None:
        while self.heap:
            _, position, change_number, worker = self.heap[0]
            if worker.change_number == change_number:
                return worker
            rank = _rank(worker, self.task, self.service, self.model)
            if rank is None:
                heapq.heappop(self.heap)
            else:
                heapq.heapreplace(self.heap,
                                  _heap_entry(rank, position, worker))
        return None


def _heap_entry(rank: Rank, position: int, worker: workerstate.WorkerState
                ) -> tuple[Rank, int, int, workerstate.WorkerState]:
    return (tuple(-part for part in rank), position, worker.change_number,
            worker)


# Differences in harm below this (2% more tail latency per core) are ignored.
NEGLIGIBLE_HARM = 0.02


def _packing_rank(worker: workerstate.WorkerState, step: messages.Step,
                  model: interference.InterferenceModel) -> tuple[float, ...]:
    if step.fills:
        total_weight = model.total_weight(worker.tail_latencies, step.image)
        return (-round(total_weight / NEGLIGIBLE_HARM),
                available_best_effort_cpu(worker))
    if step.target_ms:
        # Place tasks of one image together: a best-effort image that disturbs
        # them can then use other workers, where it disturbs no task.
        target_images = [task.step.image for task in worker.tasks.values()
                         if task.step.target_ms]
        same_image = target_images.count(step.image)
        other_images = len(target_images) - same_image
        return (-float(other_images), float(same_image > 0),
                -float(worker.free_capacity().cpu))
    # Best fit: workers with much free capacity stay free for wide tasks.
    return (-float(worker.free_capacity().cpu),
            -float(worker.free_capacity().mem_mb))


def choose_victims(task: progress.TaskState, service: str, priority: int,
                   workers: typing.Iterable[workerstate.WorkerState],
                   priority_of: typing.Callable[[progress.TaskState], int]
                   ) -> list[progress.TaskState]:
    """Return the fewest lower-priority runs to preempt for a task.

    Runs that save checkpoints are preempted first, then those started last:
    both lose the least work.
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
    free_capacity = worker.free_capacity()
    if request.cpu > free_capacity.cpu and not worker.preemptible_runs:
        # Preempting best-effort runs frees no reserved CPU, and on a full
        # fleet most runs are best-effort.
        return []
    candidates = [t for t in worker.tasks.values()
                  if t.phase == progress.RUNNING and not t.step.perpetual
                  and priority_of(t) > priority]
    if request.cpu > free_capacity.cpu and all(t.step.fills
                                               for t in candidates):
        return []
    candidates.sort(key=lambda t: (t.step.checkpoint, t.started_at),
                    reverse=True)
    chosen: list[progress.TaskState] = []
    for task in candidates:
        if free_capacity.holds(request):
            break
        chosen.append(task)
        free_capacity = free_capacity.plus(task.step.reserved())
    return chosen if free_capacity.holds(request) else []
