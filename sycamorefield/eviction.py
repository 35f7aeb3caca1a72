"""Choose the tasks that make room for an urgent job.

Eviction policies vary, so they share an abstract base.  FirstTasks is the
naive version the measurements compare against; Fewest is ours.
"""

import abc
import dataclasses

from sycamorefield import jobtable
from sycamorefield import options

URGENT = "urgent"
PRIORITY_ORDER = {URGENT: 0, "normal": 1, "low": 2}


@dataclasses.dataclass
class RunningJob:
    """A job on a worker: its size and how long it still needs, seconds."""

    job: jobtable.JobRecord
    demand: options.Capacity
    remaining_s: float


@dataclasses.dataclass
class WorkerLoad:
    """A worker with the jobs placed on it, as eviction looks at it."""

    name: str
    capacity: options.Capacity
    used: options.Capacity
    slots_free: int
    running: list[RunningJob]

    def victims(self, demand: options.Capacity, order: list[RunningJob]
                ) -> list[RunningJob]:
        """Return the first jobs of order that make room, or none."""
        used = self.used
        slots = self.slots_free
        evicted = []
        for running in order:
            evicted.append(running)
            used = used.minus(running.demand)
            slots += 1
            if slots > 0 and self.capacity.fits(used, demand):
                return evicted
        return []


class EvictionPolicy(abc.ABC):
    """Pick the jobs to evict for a demand that fits nowhere."""

    # Whether an urgent job first takes room that is on its way: a task
    # being evicted already, or one that is about to finish by itself.
    waits_for_freeing = False

    @abc.abstractmethod
    def choose(self, demand: options.Capacity,
               workers: list[WorkerLoad]) -> list[RunningJob]:
        """Return the jobs to evict; none when no eviction would help."""


class EvictFirstFit(EvictionPolicy):
    """Evict from the first worker that could make room, oldest first."""

    def choose(self, demand: options.Capacity,
               workers: list[WorkerLoad]) -> list[RunningJob]:
        for worker in workers:
            order = [r for r in worker.running if r.job.priority != URGENT]
            victims = worker.victims(demand, order)
            if victims:
                return victims
        return []


class EvictFewest(EvictionPolicy):
    """Evict the fewest tasks: least priority first, then longest to go.

    A task that is nearly done frees its room by itself soon; evicting it
    would cost a restore and a second placement for nothing.
    """

    waits_for_freeing = True

    def choose(self, demand: options.Capacity,
               workers: list[WorkerLoad]) -> list[RunningJob]:
        best: list[RunningJob] = []
        best_remaining_s = 0.0
        for worker in workers:
            order = [r for r in worker.running if r.job.priority != URGENT]
            order.sort(key=lambda r: (
                -PRIORITY_ORDER.get(r.job.priority, 1), -r.remaining_s))
            victims = worker.victims(demand, order)
            if not victims:
                continue
            remaining_s = min(v.remaining_s for v in victims)
            if (not best or (len(victims), -remaining_s)
                    < (len(best), -best_remaining_s)):
                best, best_remaining_s = victims, remaining_s
        return best
