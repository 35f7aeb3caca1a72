"""Keep room for short work when lasting tasks start."""

import enum
import math

from sycamorefield.fleet import demand as demand_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import workerstate

# While less of the processors than this is reserved, nothing is held back:
# a lasting job that waits beside an empty fleet is lost to its users.
MIN_UTILISATION = 0.6
# What a lasting job wants beyond the majority of its tasks waits this long:
# jobs that come together (their callers hand them in within some tenths of a
# second) then all get a majority before any is complete.  Nothing waits while
# less of the processors than the share below is reserved.
REMAINING_TASKS_DELAY_S = 1.0
REMAINING_TASKS_DELAY_MIN_UTILISATION = 0.3


class RequiredHeadroom(enum.Enum):
    """Say how much a lasting task has to leave to others."""

    # It ran already and its users notice that it is gone, or all members of
    # its gang are needed at once: nothing.
    NONE = enum.auto()
    # Without most of its tasks a job serves its users too badly to count:
    # room for short work only.
    FINITE_TASKS = enum.auto()
    # Room for short work, and for a majority of each lasting job to come.
    ALL = enum.auto()


def placed_count(tasks: list[progress.TaskState]) -> int:
    """Return how many tasks of a lasting step run or ran."""
    return sum(1 for task in tasks
               if task.ran or task.phase != progress.IDLE)


def required_headroom(task: progress.TaskState, placed_before: int,
                      spread: bool = True) -> RequiredHeadroom:
    """Return what a task has to leave, beside those of its step placed.

    Without spreading, all tasks of a job leave as much as its last one.
    """
    step = task.step
    if not step.perpetual or step.gang or task.ran:
        return RequiredHeadroom.NONE
    if not spread:
        return RequiredHeadroom.ALL
    return (RequiredHeadroom.FINITE_TASKS
            if placed_before < demand_mod.majority(step)
            else RequiredHeadroom.ALL)


class Headroom:
    """Hold, within a round, which workers lasting tasks may take.

    What goes wrong without: lasting tasks reserve nearly all processors and
    stay for minutes, what is left are gaps narrower than any urgent task,
    and urgent callers wait for seconds on a calm day, however high they
    rank.  One sees nearly all processors reserved, a widest gap smaller than
    an urgent task, and urgent tasks waiting all the time.
    Room counts in gaps as wide as a short task: the rest of a worker is of
    no use to them, and lasting tasks may have it.
    """

    def __init__(self, workers: list[workerstate.WorkerState],
                 estimator: demand_mod.DemandEstimator, priority: int,
                 now: float) -> None:
        self.workers = workers
        self.capacity_cpu = sum(w.entry.capacity.cpu for w in workers)
        self.slot_cpu = max(1.0, estimator.mean_task_cpu(priority))
        kept_cpu = estimator.kept_cpu(priority, self.capacity_cpu, now)
        # What is less than one gap is room for nobody.
        self.kept_cpu = kept_cpu if kept_cpu >= self.slot_cpu else 0.0
        for_new_jobs_cpu = estimator.kept_for_new_jobs_cpu(
            self.capacity_cpu, now)
        self.kept_for_new_jobs_cpu = (
            for_new_jobs_cpu if for_new_jobs_cpu >= self.slot_cpu else 0.0)
        self.reserved_cpu = sum(w.used.cpu for w in workers)
        self.slots_cpu_by_worker = {
            w.entry.worker_id: self._slots_cpu(w, 0) for w in workers}
        self.total_slots_cpu = sum(self.slots_cpu_by_worker.values())

    @property
    def utilisation(self) -> float:
        """Return the share of the processors that is reserved."""
        return self.reserved_cpu / max(1, self.capacity_cpu)

    def record_start(self, worker: workerstate.WorkerState, cpu: int) -> None:
        """Count a start; only what its worker leaves has changed."""
        worker_id = worker.entry.worker_id
        if worker_id not in self.slots_cpu_by_worker:
            return
        self.reserved_cpu += cpu
        self.total_slots_cpu -= self.slots_cpu_by_worker[worker_id]
        self.slots_cpu_by_worker[worker_id] = self._slots_cpu(worker, 0)
        self.total_slots_cpu += self.slots_cpu_by_worker[worker_id]

    def _slots_cpu(self, worker: workerstate.WorkerState,
                   added_cpu: int) -> float:
        """Return the gaps of a worker that short tasks could use."""
        unreserved_cpu = (worker.entry.capacity.cpu - worker.lasting_cpu
                          - added_cpu)
        return self.slot_cpu * \
            max(0, math.floor(unreserved_cpu / self.slot_cpu))

    def _lost_slots_cpu(self, worker: workerstate.WorkerState,
                        cpu: int) -> float:
        cpu_before = self.slots_cpu_by_worker.get(worker.entry.worker_id)
        if cpu_before is None:
            cpu_before = self._slots_cpu(worker, 0)
        return cpu_before - self._slots_cpu(worker, cpu)

    def delays_remaining_tasks(self, age_s: float) -> bool:
        """Tell whether the rest of a job of an age in seconds still waits."""
        return (age_s < REMAINING_TASKS_DELAY_S
                and self.utilisation >= REMAINING_TASKS_DELAY_MIN_UTILISATION)

    def allowed_workers(self, required: RequiredHeadroom, step: messages.Step,
                        workers: list[workerstate.WorkerState]
                        ) -> list[workerstate.WorkerState]:
        """Return the workers that a task of a lasting job may take.

        Within a round they only become fewer.
        """
        if self.utilisation < MIN_UTILISATION:
            return workers
        kept_cpu = self.kept_cpu
        if required is RequiredHeadroom.ALL:
            kept_cpu += self.kept_for_new_jobs_cpu
        max_loss_cpu = max(0.0, self.total_slots_cpu - kept_cpu)
        return [w for w in workers if self._lost_slots_cpu(
            w, step.room.cpu) <= max_loss_cpu]
