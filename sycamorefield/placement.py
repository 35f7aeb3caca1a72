"""Choose the worker for a batch task, within the worker's resources.

Guarded is the default policy.  It keeps noisy work off the quiet workers that
latency-critical services rely on, and samples the candidates so that the cost
of a decision does not grow with the fleet.  FirstFit and Spread are baselines
for benchmarks.
"""

import abc
import dataclasses
import random

from sycamorefield import options

SAMPLE_SIZE = 24


@dataclasses.dataclass
class Candidate:
    """A worker's capacity and load, as known to the owner of its cell.

    A quiet worker is reserved for services that noisy work would slow down.
    """

    name: str
    zone: str
    capacity: options.Capacity
    committed: options.Capacity
    slots_free: int
    interference: float = 0.0
    quiet: bool = False

    def fits(self, demand: options.Capacity) -> bool:
        """Return whether demand fits in the free capacity and slots."""
        return (self.slots_free > 0
                and self.capacity.fits(self.committed, demand))

    def reserve(self, demand: options.Capacity) -> None:
        """Reserve capacity and a slot for a task placed here."""
        self.committed = self.committed.plus(demand)
        self.slots_free -= 1


class PlacementPolicy(abc.ABC):
    """Policy that chooses a worker for a task."""

    name = "policy"

    def avoids(self, work: options.Work, quiet: bool) -> bool:
        """Return whether work must not run on a quiet or other worker."""
        return False

    @abc.abstractmethod
    def choose(self, work: options.Work,
               candidates: list[Candidate]) -> Candidate | None:
        """Return the chosen candidate, or None when nothing fits."""


class FirstFit(PlacementPolicy):
    """Choose the first candidate in the given order that fits."""

    name = "first-fit"

    def choose(self, work: options.Work,
               candidates: list[Candidate]) -> Candidate | None:
        for candidate in candidates:
            if candidate.fits(work.demand):
                return candidate
        return None


class Spread(PlacementPolicy):
    """Choose the worker with least interference, then least free CPU."""

    name = "spread"

    def choose(self, work: options.Work,
               candidates: list[Candidate]) -> Candidate | None:
        fitting = [c for c in candidates if c.fits(work.demand)]
        if not fitting:
            return None
        return min(fitting, key=lambda c: (
            round(c.interference, 1),
            c.capacity.cpus - c.committed.cpus, c.name))


class Guarded(PlacementPolicy):
    """Choose the least loaded of a sample; keep noisy work off quiet workers.

    Noisy work slows every service on the same worker, so it runs only on
    workers that are not reserved as quiet.  Choosing the least loaded worker
    of a random sample spreads interference evenly, which slows batch work the
    least.
    """

    name = "guarded"

    def __init__(self, seed: int = 1) -> None:
        self.random = random.Random(seed)

    def choose(self, work: options.Work,
               candidates: list[Candidate]) -> Candidate | None:
        if len(candidates) > SAMPLE_SIZE:
            start = self.random.randrange(len(candidates))
            # The prime stride spreads the sample over the list.
            sample = [candidates[(start + n * 7919) % len(candidates)]
                      for n in range(SAMPLE_SIZE)]
            chosen = self._best(work, sample)
            if chosen is not None:
                return chosen
        return self._best(work, candidates)

    def avoids(self, work: options.Work, quiet: bool) -> bool:
        return work.noise > 0.0 and quiet

    def _best(self, work: options.Work,
              candidates: list[Candidate]) -> Candidate | None:
        best = None
        best_load = 0.0
        avoids_quiet = self.avoids(work, quiet=True)
        for candidate in candidates:
            if avoids_quiet and candidate.quiet:
                continue
            load = candidate.committed.cpus / candidate.capacity.cpus
            if ((best is None or load < best_load)
                    and candidate.fits(work.demand)):
                best, best_load = candidate, load
        return best
