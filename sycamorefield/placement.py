"""Choose the worker for a batch task, within its resources.

Placement policies vary, so they share an abstract base.  FirstFit is the
naive version the measurements compare against; Spread is the policy of
earlier versions; Guarded keeps noisy work off the quiet workers that the
latency-critical services rely on, and samples so that one decision costs
the same on a fleet of any size.
"""

import abc
import dataclasses
import random

from sycamorefield import options

SAMPLE_SIZE = 24


@dataclasses.dataclass
class Candidate:
    """A worker as the placing entry process sees it."""

    name: str
    zone: str
    capacity: options.Capacity
    committed: options.Capacity
    slots_free: int
    interference: float = 0.0
    quiet: bool = False

    def fits(self, demand: options.Capacity) -> bool:
        """Return whether demand fits beside what is committed."""
        return (self.slots_free > 0
                and self.capacity.fits(self.committed, demand))

    def reserve(self, demand: options.Capacity) -> None:
        """Count a task just placed here."""
        self.committed = self.committed.plus(demand)
        self.slots_free -= 1


class PlacementPolicy(abc.ABC):
    """Pick a worker for a demand from candidates."""

    name = "policy"

    def avoids(self, work: options.Work, quiet: bool) -> bool:
        """Return whether work never goes to a worker (kept quiet or not)."""
        return False

    @abc.abstractmethod
    def choose(self, work: options.Work,
               candidates: list[Candidate]) -> Candidate | None:
        """Return the chosen candidate, or None when nothing fits."""


class FirstFit(PlacementPolicy):
    """Take the first worker, in the order given, that has room."""

    name = "first-fit"

    def choose(self, work: options.Work,
               candidates: list[Candidate]) -> Candidate | None:
        for candidate in candidates:
            if candidate.fits(work.demand):
                return candidate
        return None


class Spread(PlacementPolicy):
    """Take the fitting worker with least interference, then least room."""

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
    """Keep noisy work off quiet workers; else the emptiest of a sample.

    Noisy work slows every service beside it, so it goes to the workers
    that are not kept quiet.  Among those, the least loaded of a random
    sample spreads interference evenly, which costs batch work the least.
    """

    name = "guarded"

    def __init__(self, seed: int = 1) -> None:
        self.random = random.Random(seed)

    def choose(self, work: options.Work,
               candidates: list[Candidate]) -> Candidate | None:
        if len(candidates) > SAMPLE_SIZE:
            start = self.random.randrange(len(candidates))
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
