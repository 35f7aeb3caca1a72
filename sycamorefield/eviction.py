"""Choose the tasks to evict for an urgent job.

EvictFewest is the default policy; EvictFirstFit is a baseline for benchmarks.
"""

import abc
import dataclasses

from sycamorefield import jobtable
from sycamorefield import options

URGENT = "urgent"
PRIORITY_ORDER = {URGENT: 0, "normal": 1, "low": 2}


@dataclasses.dataclass
class RunningJob:
    """A job on a worker with its demand and estimated remaining time."""

    job: jobtable.JobRecord
    demand: options.Capacity
    remaining_s: float


@dataclasses.dataclass
class WorkerLoad:
    """A worker's capacity, its use and the jobs that may be evicted."""

    name: str
    capacity: options.Capacity
    used: options.Capacity
    slots_free: int
    running: list[RunningJob]

    def victims(self, demand: options.Capacity, order: list[RunningJob]
                ) -> list[RunningJob]:
        """Return the shortest prefix of order that frees enough capacity.

        Return an empty list if evicting all of them would not suffice.
        """
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
    """Policy that chooses jobs to evict for a demand that fits nowhere."""

    # Whether an urgent job first waits for capacity being freed by a task that
    # is already being evicted or is about to finish by itself.
    waits_for_freeing = False

    @abc.abstractmethod
    def choose(self, demand: options.Capacity,
               workers: list[WorkerLoad]) -> list[RunningJob]:
        """Return the jobs to evict; none if no eviction would help."""


class EvictFirstFit(EvictionPolicy):
    """Evict from the first worker on which this frees enough capacity."""

    def choose(self, demand: options.Capacity,
               workers: list[WorkerLoad]) -> list[RunningJob]:
        for worker in workers:
            order = [r for r in worker.running if r.job.priority != URGENT]
            victims = worker.victims(demand, order)
            if victims:
                return victims
        return []


class EvictFewest(EvictionPolicy):
    """Evict the fewest tasks: lowest priority, then longest remaining time.

    A task that is nearly done soon frees its capacity by itself; evicting it
    would cost a checkpoint restore and a second placement for nothing.
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
