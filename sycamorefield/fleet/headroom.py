"""Keep room for short work when lasting tasks start."""

import enum
import math

from sycamorefield.fleet import demand as demand_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import workerstate

# While less of the processors than this is reserved, nothing is held back:
# a lasting job that waits beside an empty fleet is lost to its users.
FREE_USE = 0.6
# What a lasting job wants beyond the majority of its tasks waits this long:
# jobs that come together (their callers hand them in within some tenths of a
# second) then all get a majority before any is complete.  Nothing waits while
# less of the processors than the share below is reserved.
SETTLE_S = 1.0
SETTLE_USE = 0.3


class Part(enum.Enum):
    """Say how much a lasting task has to leave to others."""

    # It ran already and its users notice that it is gone, or all members of
    # its gang are needed at once: nothing.
    ANY_ROOM = enum.auto()
    # Without most of its tasks a job serves its users too badly to count:
    # room for short work only.
    MAJORITY = enum.auto()
    # Room for short work, and for a majority of each lasting job to come.
    REST = enum.auto()


def placed(tasks: list[progress.TaskState]) -> int:
    """Return how many tasks of a lasting step run or ran."""
    return sum(1 for task in tasks
               if task.has_run or task.phase != progress.IDLE)


def part(task: progress.TaskState, already_placed: int,
         spread: bool = True) -> Part:
    """Return what a task has to leave, beside those of its step placed.

    Without spreading, all tasks of a job leave as much as its last one.
    """
    step = task.step
    if not step.perpetual or step.gang or task.has_run:
        return Part.ANY_ROOM
    if not spread:
        return Part.REST
    return (Part.MAJORITY if already_placed < demand_mod.majority(step)
            else Part.REST)


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
                 learnt: demand_mod.Demand, priority: int,
                 now: float) -> None:
        self.workers = workers
        self.capacity = sum(w.entry.capacity.cpu for w in workers)
        self.width = max(1.0, learnt.width(priority))
        kept = learnt.room(priority, self.capacity, now)
        # What is less than one gap is room for nobody.
        self.kept = kept if kept >= self.width else 0.0
        ahead = learnt.ahead(self.capacity, now)
        self.ahead = ahead if ahead >= self.width else 0.0
        self.used = sum(w.used.cpu for w in workers)
        self.gaps = {w.entry.worker_id: self._usable(w, 0) for w in workers}
        self.usable = sum(self.gaps.values())

    @property
    def use(self) -> float:
        """Return the share of the processors that is reserved."""
        return self.used / max(1, self.capacity)

    def started(self, worker: workerstate.WorkerState, cpu: int) -> None:
        """Count a start; only what its worker leaves has changed."""
        worker_id = worker.entry.worker_id
        if worker_id not in self.gaps:
            return
        self.used += cpu
        self.usable -= self.gaps[worker_id]
        self.gaps[worker_id] = self._usable(worker, 0)
        self.usable += self.gaps[worker_id]

    def _usable(self, worker: workerstate.WorkerState, taken: int) -> float:
        """Return the gaps of a worker that short tasks could use."""
        room = worker.entry.capacity.cpu - worker.long_running_cpu - taken
        return self.width * max(0, math.floor(room / self.width))

    def _loss(self, worker: workerstate.WorkerState, cpu: int) -> float:
        before = self.gaps.get(worker.entry.worker_id)
        if before is None:
            before = self._usable(worker, 0)
        return before - self._usable(worker, cpu)

    def settling(self, age_s: float) -> bool:
        """Tell whether the rest of a job of an age in seconds still waits."""
        return age_s < SETTLE_S and self.use >= SETTLE_USE

    def allowed(self, part_: Part, step: messages.Step,
                workers: list[workerstate.WorkerState]
                ) -> list[workerstate.WorkerState]:
        """Return the workers that a task of a lasting job may take.

        Within a round they only become fewer.
        """
        if self.use < FREE_USE:
            return workers
        kept = self.kept
        if part_ is Part.REST:
            kept += self.ahead
        most = max(0.0, self.usable - kept)
        return [w for w in workers if self._loss(w, step.room.cpu) <= most]
