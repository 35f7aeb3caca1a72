"""Learn which filling images slow which serving images down.

The logarithm of a serving task's tail is modelled as a base for its image
plus, for each filling run beside it, a weight for the pair of images times
the processors that the run uses.  Measured on recorded figures of 33
workers: pairs fall into harmless ones (weight about 0) and harmful ones
(0.1 to 0.25 a core); the load of the serving task itself moves its tail by a
factor of three and is noise to the estimate.
"""

import dataclasses
import math

# Before anything is known, a pair counts as mildly harmful: a core adds 8%.
FIRST_WEIGHT = 0.08
FIRST_BASE = 3.0
# Share of an error that one sample corrects.  About 50 samples a second and
# image come from 33 workers: a pair is known within some seconds, and the
# swing of the load (0.35) leaves an error of about 0.02.
RATE = 0.05
BASE_RATE = 0.01
MOST_WEIGHT = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class Filler:
    """A filling run as a report shows it."""

    image: str
    cores: float


@dataclasses.dataclass(slots=True)
class Tail:
    """A serving task's tail against its target, as last reported.

    ratio is tail divided by target; placing raises it by what a new run is
    expected to add until the next report tells.
    """

    image: str
    ratio: float


class Interference:
    """Hold the weights of pairs of images."""

    def __init__(self) -> None:
        self.weights: dict[tuple[str, str], float] = {}
        self.bases: dict[str, float] = {}

    def weight(self, serving: str, filling: str) -> float:
        """Return the added logarithm of the tail per core."""
        return self.weights.get((serving, filling), FIRST_WEIGHT)

    def observe(self, serving: str, tail_ms: float,
                fillers: list[Filler]) -> None:
        """Learn from one tail and what ran beside it."""
        if tail_ms <= 0:
            return
        base = self.bases.get(serving, FIRST_BASE)
        expected = base + sum(self.weight(serving, f.image) * f.cores
                              for f in fillers)
        error = math.log(tail_ms) - expected
        if not fillers:
            rate = BASE_RATE if serving in self.bases else 1.0
            self.bases[serving] = base + rate * error
            return
        power = 1.0 + sum(f.cores * f.cores for f in fillers)
        for filler in fillers:
            weight = (self.weight(serving, filler.image)
                      + RATE * error * filler.cores / power)
            self.weights[serving, filler.image] = min(
                MOST_WEIGHT, max(0.0, weight))

    def added(self, tails: list[Tail], image: str, cores: float) -> float:
        """Return the highest expected ratio after a run is added."""
        return max((tail.ratio * math.exp(self.weight(tail.image, image)
                                          * cores)
                    for tail in tails), default=0.0)

    def harm(self, tails: list[Tail], image: str) -> float:
        """Return the summed weights of an image over serving tasks."""
        return sum(self.weight(tail.image, image) for tail in tails)
