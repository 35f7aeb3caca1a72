"""Choose the worker for a batch task, within its resources.

Placement policies vary, so they share an abstract base.  FirstFit is the
naive version the measurements compare against; Spread avoids workers whose
lagged reports show interference, and packs by the tightest fit.
"""

import abc
import dataclasses

from sycamorefield import options


@dataclasses.dataclass
class Candidate:
    """A worker as the placing entry process sees it."""

    name: str
    zone: str
    capacity: options.Capacity
    committed: options.Capacity
    slots_free: int
    interference: float = 0.0

    def fits(self, demand: options.Capacity) -> bool:
        """Return whether demand fits beside what is committed."""
        return (self.slots_free > 0
                and self.capacity.fits(self.committed, demand))


class Policy(abc.ABC):
    """Pick a worker for a demand from candidates."""

    name = "policy"

    @abc.abstractmethod
    def choose(self, demand: options.Capacity,
               candidates: list[Candidate]) -> Candidate | None:
        """Return the chosen candidate, or None when nothing fits."""


class FirstFit(Policy):
    """Take the first worker, in name order, that has room."""

    name = "first-fit"

    def choose(self, demand: options.Capacity,
               candidates: list[Candidate]) -> Candidate | None:
        for candidate in sorted(candidates, key=lambda c: c.name):
            if candidate.fits(demand):
                return candidate
        return None


class Spread(Policy):
    """Take the fitting worker with least interference, then least room."""

    name = "spread"

    def choose(self, demand: options.Capacity,
               candidates: list[Candidate]) -> Candidate | None:
        fitting = [c for c in candidates if c.fits(demand)]
        if not fitting:
            return None
        return min(fitting, key=lambda c: (
            round(c.interference, 1),
            c.capacity.cpus - c.committed.cpus, c.name))


POLICIES: dict[str, type[Policy]] = {"first-fit": FirstFit,
                                     "spread": Spread}
