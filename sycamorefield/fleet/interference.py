"""Learn which filling images slow which serving images down.

The logarithm of a serving task's tail is modelled as a base for its image
plus, for each filling image beside it, a weight for the pair times the
processors that its runs use.  Measured on recorded figures of 33 workers:
pairs fall into harmless ones (weight about 0) and harmful ones (0.1 to 0.25
a core); the load of the serving task itself moves its tail by a factor of
three and is noise to the estimate.
"""

import dataclasses
import math

# Before anything is known, a pair counts as mildly harmful: a core adds 10%.
FIRST_WEIGHT = 0.1
# How much a first weight counts, in squared cores seen: a few runs of three
# cores over a few seconds outweigh it.
PRIOR = 60.0
BASE_PRIOR = 1.0
FIRST_BASE = 3.0
# Share of what was seen that is kept at each sample of an image.  About 50
# samples a second come from 33 workers, so half is forgotten in 14 s.
KEEP = 0.999
# Weights are worked out again after this many samples of an image.
SAMPLES_PER_FIT = 25
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


class Fit:
    """Hold sums for a least-squares fit of one serving image."""

    def __init__(self) -> None:
        self.images: list[str] = []
        self.products: list[list[float]] = [[BASE_PRIOR]]
        self.targets: list[float] = [BASE_PRIOR * FIRST_BASE]
        self.weights: dict[str, float] = {}
        self.samples = 0

    def add(self, log_tail: float, fillers: list[Filler]) -> None:
        """Add one sample."""
        cores: dict[str, float] = {}
        for filler in fillers:
            if filler.image not in self.images:
                self._grow(filler.image)
            cores[filler.image] = cores.get(filler.image, 0) + filler.cores
        row = [1.0] + [cores.get(image, 0.0) for image in self.images]
        for i, left in enumerate(row):
            self.targets[i] = KEEP * self.targets[i] + left * log_tail
            products = self.products[i]
            for j, right in enumerate(row):
                products[j] = KEEP * products[j] + left * right
        # What is forgotten of the prior is put back: without it a pair not
        # seen for long would have nothing to go by.
        for i in range(1, len(row)):
            self.products[i][i] += (1 - KEEP) * PRIOR
            self.targets[i] += (1 - KEEP) * PRIOR * FIRST_WEIGHT
        self.samples += 1
        if self.samples % SAMPLES_PER_FIT == 0:
            self._solve()

    def _grow(self, image: str) -> None:
        self.images.append(image)
        for products in self.products:
            products.append(0.0)
        self.products.append([0.0] * len(self.targets) + [PRIOR])
        self.targets.append(PRIOR * FIRST_WEIGHT)

    def _solve(self) -> None:
        """Solve the normal equations (positive definite by the prior)."""
        size = len(self.targets)
        rows = [self.products[i] + [self.targets[i]] for i in range(size)]
        for i in range(size):
            pivot = rows[i][i]
            for below in rows[i + 1:]:
                factor = below[i] / pivot
                if factor:
                    for k in range(i, size + 1):
                        below[k] -= factor * rows[i][k]
        solved = [0.0] * size
        for i in reversed(range(size)):
            rest = sum(rows[i][k] * solved[k] for k in range(i + 1, size))
            solved[i] = (rows[i][size] - rest) / rows[i][i]
        self.weights = {
            image: min(MOST_WEIGHT, max(0.0, weight))
            for image, weight in zip(self.images, solved[1:])}


class Interference:
    """Hold the weights of pairs of images."""

    def __init__(self) -> None:
        self.fits: dict[str, Fit] = {}

    def weight(self, serving: str, filling: str) -> float:
        """Return the added logarithm of the tail per core."""
        fit = self.fits.get(serving)
        if fit is None:
            return FIRST_WEIGHT
        return fit.weights.get(filling, FIRST_WEIGHT)

    def observe(self, serving: str, tail_ms: float,
                fillers: list[Filler]) -> None:
        """Learn from one tail and what ran beside it."""
        if tail_ms <= 0:
            return
        fit = self.fits.setdefault(serving, Fit())
        fit.add(math.log(tail_ms), fillers)

    def added(self, tails: list[Tail], image: str, cores: float) -> float:
        """Return the highest expected ratio after a run is added."""
        return max((tail.ratio * math.exp(self.weight(tail.image, image)
                                          * cores)
                    for tail in tails), default=0.0)

    def harm(self, tails: list[Tail], image: str) -> float:
        """Return the summed weights of an image over serving tasks."""
        return sum(self.weight(tail.image, image) for tail in tails)
