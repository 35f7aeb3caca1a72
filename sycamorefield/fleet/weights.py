"""Fit how much each filling image disturbs one serving image.

A least-squares fit over samples of which older ones count less and less.
Each sample has a few images of dozens, and hundreds of samples come in a
second, so what a sample costs must not grow with the number of images: sums
are touched only where the sample has images, all sums fade by one common
factor, and the weights follow by sweeps that begin where the last one ended.
"""

import dataclasses

# Before anything is known, a filling core adds this much utilisation.
INITIAL_WEIGHT = 0.012
MAX_WEIGHT = 0.15
# How much a first weight counts, in squared cores seen: a few runs of three
# cores over a few seconds outweigh it.
PRIOR_STRENGTH = 60.0
# Even the least disturbed task of several shows a little less than the
# middle of them; this part belongs to no filling image.
INTERCEPT_PRIOR_STRENGTH = 1.0
INITIAL_INTERCEPT = 0.04
# Share of what was seen that is kept at each sample of an image: half is
# forgotten after some 700 samples.
DECAY_FACTOR = 0.999
# Weights are worked out again after this many samples of an image.
SAMPLES_PER_FIT = 25
# Sums change by 2% in so many samples, and one sweep takes off most of the
# error of the last weights.
SWEEPS_PER_FIT = 2
# The common factor is put back into the sums before it outgrows a float.
MAX_SCALE = 1e100


@dataclasses.dataclass(frozen=True, slots=True)
class BestEffortUsage:
    """A filling run as a report shows it."""

    image: str
    cores: float


class WeightFit:
    """Hold sums for a least-squares fit of one serving image.

    Row 0 stands for the part that belongs to no image.
    """

    def __init__(self,
                 initial_weights: dict[str,
                                       float] | None = None) -> None:
        # What a predecessor had learnt stands in for the first weights.
        self.initial_weights = initial_weights or {}
        self.weights: dict[str, float] = dict(self.initial_weights)
        self.rows: dict[str, int] = {}
        # Sums of products and targets, times scale; each row by column.
        self.products: list[dict[int, float]] = [{0: INTERCEPT_PRIOR_STRENGTH}]
        self.targets: list[float] = [
            INTERCEPT_PRIOR_STRENGTH * INITIAL_INTERCEPT]
        self.solution: list[float] = [INITIAL_INTERCEPT]
        self.scale = 1.0
        self.samples = 0

    def add(self, disturbance: float, runs: list[BestEffortUsage]) -> None:
        """Add one sample."""
        cores = {0: 1.0}
        for run in runs:
            row = self._row(run.image)
            cores[row] = cores.get(row, 0.0) + run.cores
        self.scale /= DECAY_FACTOR
        if self.scale > MAX_SCALE:
            self._rescale()
        for i, row_cores in cores.items():
            weighted = row_cores * self.scale
            self.targets[i] += weighted * disturbance
            products = self.products[i]
            for j, column_cores in cores.items():
                products[j] = products.get(j, 0.0) + weighted * column_cores
        self.samples += 1
        if self.samples % SAMPLES_PER_FIT == 0:
            self.solve()

    def _row(self, image: str) -> int:
        row = self.rows.get(image)
        if row is None:
            row = self.rows[image] = len(self.products)
            self.products.append({row: 0.0})
            self.targets.append(0.0)
            self.solution.append(self._initial_weight(image))
        return row

    def _initial_weight(self, image: str) -> float:
        return self.initial_weights.get(image, INITIAL_WEIGHT)

    def _rescale(self) -> None:
        self.products = [{column: value / self.scale
                          for column, value in products.items()}
                         for products in self.products]
        self.targets = [target / self.scale for target in self.targets]
        self.scale = 1.0

    def solve(self, sweeps: int = SWEEPS_PER_FIT) -> None:
        """Work out the weights by Gauss-Seidel sweeps.

        The equations are positive definite, so sweeps come ever closer.  The
        prior of an image never fades: a pair not seen for long must have
        something to go by.
        """
        for _ in range(sweeps):
            self._solve_row(0, 0.0, 0.0)
            for image, row in self.rows.items():
                self._solve_row(row, PRIOR_STRENGTH,
                                self._initial_weight(image))
        self.weights.update({
            image: min(MAX_WEIGHT, max(0.0, self.solution[row]))
            for image, row in self.rows.items()})

    def _solve_row(
            self,
            row: int,
            prior: float,
            initial_weight: float) -> None:
        products = self.products[row]
        solution = self.solution
        other_terms = sum(
            value * solution[column] for column,
            value in products.items() if column != row)
        solution[row] = (
            ((self.targets[row] - other_terms) /
             self.scale + prior * initial_weight)
            / (products[row] / self.scale + prior))
