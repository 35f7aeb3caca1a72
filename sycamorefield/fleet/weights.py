"""Fit how much each best-effort image disturbs one serving image.

A least-squares fit over samples whose weight decays with age.  Each sample
contains a few of dozens of images, and hundreds of samples arrive per second,
so the cost of a sample must not grow with the number of images: only the sums
of its own images are updated, all sums decay by one common factor, and the
weights result from Gauss-Seidel sweeps that continue from the last solution.
"""

import dataclasses

# The utilisation assumed per core of a best-effort run before any samples.
INITIAL_WEIGHT = 0.012
MAX_WEIGHT = 0.15
# The strength of the prior for an initial weight, in squared cores observed.
# A few runs of three cores over a few seconds outweigh it.
PRIOR_STRENGTH = 60.0
# The load is the minimum over several tasks, which is a little below their
# median even without disturbance.  The intercept takes up this difference,
# which belongs to no best-effort image.
INTERCEPT_PRIOR_STRENGTH = 1.0
INITIAL_INTERCEPT = 0.04
# The factor by which earlier samples of an image decay with each new one:
# their weight is halved after about 700 samples.
DECAY_FACTOR = 0.999
# Weights are solved for again after this many samples of an image.
SAMPLES_PER_FIT = 25
# The sums change by 2% over SAMPLES_PER_FIT samples, and one sweep removes
# most of the error of the last weights.
SWEEPS_PER_FIT = 2
# The sums are rescaled before their common factor overflows a float.
MAX_SCALE = 1e100


@dataclasses.dataclass(frozen=True, slots=True)
class BestEffortUsage:
    """The image and CPU use of a best-effort run, as reported."""

    image: str
    cores: float


class WeightFit:
    """Incremental least-squares fit for one serving image.

    Row 0 is the intercept, the part that belongs to no best-effort image.
    """

    def __init__(self, initial_weights: dict[str, float] | None = None
                 ) -> None:
        # Weights learnt by a previous owner replace INITIAL_WEIGHT.
        self.initial_weights = initial_weights or {}
        self.weights: dict[str, float] = dict(self.initial_weights)
        self.row_by_image: dict[str, int] = {}
        # The normal equations, multiplied by scale: products by row and
        # column, and targets by row.
        self.products: list[dict[int, float]] = [{0: INTERCEPT_PRIOR_STRENGTH}]
        self.targets: list[float] = [
            INTERCEPT_PRIOR_STRENGTH * INITIAL_INTERCEPT]
        self.solution: list[float] = [INITIAL_INTERCEPT]
        self.scale = 1.0
        self.samples = 0

    def add(self, disturbance: float, runs: list[BestEffortUsage]) -> None:
        """Add a sample: a task's disturbance and the runs next to it."""
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
        row = self.row_by_image.get(image)
        if row is None:
            row = self.row_by_image[image] = len(self.products)
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
        """Update the weights by Gauss-Seidel sweeps.

        The equations are positive definite, so the sweeps converge.  The
        prior of an image doesn't decay, so that the weight of a pair stays
        defined when it has not been observed for long.
        """
        for _ in range(sweeps):
            self._solve_row(0, 0.0, 0.0)
            for image, row in self.row_by_image.items():
                self._solve_row(row, PRIOR_STRENGTH,
                                self._initial_weight(image))
        self.weights.update({
            image: min(MAX_WEIGHT, max(0.0, self.solution[row]))
            for image, row in self.row_by_image.items()})

    def _solve_row(self, row: int, prior: float,
                   initial_weight: float) -> None:
        products = self.products[row]
        solution = self.solution
        other_terms = sum(
            value * solution[column]
            for column, value in products.items() if column != row)
        solution[row] = (
            ((self.targets[row] - other_terms) / self.scale
             + prior * initial_weight)
            / (products[row] / self.scale + prior))
