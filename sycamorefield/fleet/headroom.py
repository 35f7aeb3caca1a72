"""Keep capacity for finite tasks when long-running tasks start."""

import enum
import math
import typing

from sycamorefield.fleet import demand as demand_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import widetasks
from sycamorefield.fleet import workerstate

# No headroom is required while a smaller share of the CPU than this is
# reserved: users of a long-running job would be without service although the
# fleet is nearly empty.
MIN_UTILISATION = 0.6
# Tasks of a long-running job beyond the majority wait this long.  Jobs that
# arrive together (callers submit them within some tenths of a second) then all
# get a majority of their tasks before any of them gets the remaining ones.
# There is no delay while a smaller share of the CPU than this is reserved.
REMAINING_TASKS_DELAY_S = 1.0
REMAINING_TASKS_DELAY_MIN_UTILISATION = 0.3


Workers = list[workerstate.WorkerState]


class RequiredHeadroom(enum.Enum):
    """The capacity that a long-running task must leave to others."""

    # Nothing: it may have run before, so its users may notice that it is down,
    # or all members of its gang must start at once.
    NONE = enum.auto()
    # Capacity for finite tasks only: without a majority of its tasks a job
    # serves its users too badly to count.
    FINITE_TASKS = enum.auto()
    # Capacity for finite tasks and for a majority of the tasks of each
    # long-running job that is expected to arrive.
    ALL = enum.auto()


def placed_count(tasks: list[progress.TaskState]) -> int:
    """Return how many tasks of a long-running step run or may have run."""
    return sum(1 for task in tasks
               if task.may_have_run() or task.phase != progress.IDLE)


def required_headroom(task: progress.TaskState, placed_before: int,
                      spread: bool = True) -> RequiredHeadroom:
    """Return what a task must leave if so many of its step are placed.

    Without spreading, every task of a job must leave as much as its last one.
    """
    step = task.step
    if not step.perpetual or step.gang or task.may_have_run():
        return RequiredHeadroom.NONE
    if not spread:
        return RequiredHeadroom.ALL
    return (RequiredHeadroom.FINITE_TASKS
            if placed_before < demand_mod.majority(step)
            else RequiredHeadroom.ALL)


class Headroom:
    """Limit, within a round, the workers that long-running tasks may use.

    Without headroom, long-running tasks reserve nearly all CPU for minutes.
    The free CPU left on each worker is less than any urgent task requests,
    and urgent callers wait for seconds even without any fault, whatever their
    priority.  Symptoms are nearly all CPU reserved, no worker with enough free
    CPU for an urgent task, and urgent tasks waiting all the time.

    Headroom is counted in slots, each as wide as an average finite task.  CPU
    of a worker that does not add up to a slot is of no use to finite tasks, so
    long-running tasks may take it.
    """

    def __init__(self, workers: list[workerstate.WorkerState],
                 estimator: demand_mod.DemandEstimator, priority: int,
                 now: float, held_cpu: typing.Mapping[str, int] = {}
                 ) -> None:
        # What is held for long-running tasks counts as if they had started.
        self.held_cpu = held_cpu
        self.capacity_cpu = sum(w.entry.capacity.cpu for w in workers)
        self.slot_cpu = max(1.0, estimator.mean_task_cpu(priority))
        kept_cpu = estimator.kept_cpu(priority, self.capacity_cpu, now)
        # Less than one slot would be of no use to any task.
        self.kept_cpu = kept_cpu if kept_cpu >= self.slot_cpu else 0.0
        for_new_jobs_cpu = estimator.kept_for_new_jobs_cpu(
            self.capacity_cpu, now)
        self.kept_for_new_jobs_cpu = (
            for_new_jobs_cpu if for_new_jobs_cpu >= self.slot_cpu else 0.0)
        self.wide_slots = estimator.wide_tasks.slots(
            priority, self.slot_cpu,
            demand_mod.MAX_SHARE * self.capacity_cpu, now)
        self.wide_workers = widetasks.choose_workers(self.wide_slots, workers)
        self.reserved_cpu = sum(
            w.used.cpu + held_cpu.get(w.entry.worker_id, 0) for w in workers)
        self.slots_cpu_by_worker = {
            w.entry.worker_id: self._slots_cpu(w, 0) for w in workers}
        self.total_slots_cpu = sum(self.slots_cpu_by_worker.values())
        # The arguments and results of allowed_workers() since the last start.
        # Thousands of waiting tasks ask for few sizes.
        self.allowed: dict[
            tuple[RequiredHeadroom, int, int, int],
            tuple[Workers, Workers]] = {}

    @property
    def utilisation(self) -> float:
        """Return the share of the CPU that is reserved, 0 to 1."""
        return self.reserved_cpu / max(1, self.capacity_cpu)

    def record_start(self, worker: workerstate.WorkerState, cpu: int) -> None:
        """Update the slots of the worker on which a task starts."""
        self.allowed.clear()
        worker_id = worker.entry.worker_id
        if worker_id not in self.slots_cpu_by_worker:
            return
        self.reserved_cpu += cpu
        self.total_slots_cpu -= self.slots_cpu_by_worker[worker_id]
        self.slots_cpu_by_worker[worker_id] = self._slots_cpu(worker, 0)
        self.total_slots_cpu += self.slots_cpu_by_worker[worker_id]

    def _slots_cpu(self, worker: workerstate.WorkerState,
                   added_cpu: int) -> float:
        """Return the CPU of the slots that long-running tasks leave free."""
        available_cpu = (worker.entry.capacity.cpu - worker.long_running_cpu
                         - self.held_cpu.get(worker.entry.worker_id, 0)
                         - added_cpu)
        return self.slot_cpu * max(
            0, math.floor(available_cpu / self.slot_cpu))

    def _lost_slots_cpu(self, worker: workerstate.WorkerState,
                        cpu: int) -> float:
        cpu_before = self.slots_cpu_by_worker.get(worker.entry.worker_id)
        if cpu_before is None:
            cpu_before = self._slots_cpu(worker, 0)
        return cpu_before - self._slots_cpu(worker, cpu)

    def delays_remaining_tasks(self, age_s: float) -> bool:
        """Return whether the remaining tasks of a job must still wait."""
        return (age_s < REMAINING_TASKS_DELAY_S
                and self.utilisation >= REMAINING_TASKS_DELAY_MIN_UTILISATION)

    def allowed_workers(self, required: RequiredHeadroom, step: messages.Step,
                        workers: Workers) -> Workers:
        """Return the workers that a task of a long-running job may use.

        Within a round, workers are only ever removed from the result.
        """
        if self.utilisation < MIN_UTILISATION:
            return workers
        # Rounds remove workers from a list, and add none.  A list that is
        # kept here shares its id with no other.
        key = required, step.room.cpu, id(workers), len(workers)
        if key not in self.allowed:
            self.allowed[key] = (
                workers, self._find_allowed(required, step, workers))
        return self.allowed[key][1]

    def _find_allowed(self, required: RequiredHeadroom, step: messages.Step,
                      workers: Workers) -> Workers:
        kept_cpu = self.kept_cpu
        if required is RequiredHeadroom.ALL:
            kept_cpu += self.kept_for_new_jobs_cpu
        max_loss_cpu = max(0.0, self.total_slots_cpu - kept_cpu)
        return [w for w in workers
                if self._lost_slots_cpu(w, step.room.cpu) <= max_loss_cpu
                and widetasks.leaves_slot(
                    self.wide_slots, self.wide_workers, w, step.room.cpu
                    + self.held_cpu.get(w.entry.worker_id, 0))]
