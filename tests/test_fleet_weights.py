"""Test the incremental fit of weights against a direct solution."""

import random

import pytest

from sycamorefield.fleet import weights

IMAGES = [f"f{number}" for number in range(12)]
TRUE_WEIGHTS = {image: 0.005 * number for number, image in enumerate(IMAGES)}
# A tenth of the lowest non-zero weight: smaller differences don't matter.
TOLERANCE = 0.0005


class ReferenceFit:
    """Update all sums at each sample and solve by elimination."""

    def __init__(self) -> None:
        size = len(IMAGES) + 1
        self.products = [[0.0] * size for _ in range(size)]
        self.targets = [0.0] * size
        self.products[0][0] = weights.INTERCEPT_PRIOR_STRENGTH
        self.targets[0] = (weights.INTERCEPT_PRIOR_STRENGTH
                           * weights.INITIAL_INTERCEPT)

    def add(self, disturbance: float,
            runs: list[weights.BestEffortUsage]) -> None:
        row = [1.0] + [sum(run.cores for run in runs if run.image == image)
                       for image in IMAGES]
        for i, row_value in enumerate(row):
            self.targets[i] = (weights.DECAY_FACTOR * self.targets[i]
                               + row_value * disturbance)
            for j, column_value in enumerate(row):
                self.products[i][j] = (
                    weights.DECAY_FACTOR * self.products[i][j]
                    + row_value * column_value)

    def weights(self) -> dict[str, float]:
        size = len(self.targets)
        rows = [self.products[i] + [self.targets[i]] for i in range(size)]
        rows = [list(row) for row in rows]
        for i in range(1, size):
            rows[i][i] += weights.PRIOR_STRENGTH
            rows[i][size] += weights.PRIOR_STRENGTH * weights.INITIAL_WEIGHT
        for i in range(size):
            for lower_row in rows[i + 1:]:
                factor = lower_row[i] / rows[i][i]
                for k in range(i, size + 1):
                    lower_row[k] -= factor * rows[i][k]
        solution = [0.0] * size
        for i in reversed(range(size)):
            known_terms = sum(rows[i][k] * solution[k]
                              for k in range(i + 1, size))
            solution[i] = (rows[i][size] - known_terms) / rows[i][i]
        return {image: min(weights.MAX_WEIGHT, max(0.0, weight))
                for image, weight in zip(IMAGES, solution[1:])}


def sample(rng: random.Random) -> tuple[float, list[weights.BestEffortUsage]]:
    runs = [weights.BestEffortUsage(rng.choice(IMAGES), rng.uniform(0.5, 4.0))
            for _ in range(rng.randrange(5))]
    disturbance = sum(TRUE_WEIGHTS[run.image] * run.cores for run in runs)
    return 0.04 + disturbance + rng.gauss(0, 0.03), runs


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("samples", [100, 1000, 5000])
def test_sweeps_converge_to_elimination_result(seed, samples):
    rng = random.Random(seed)
    fit, reference = weights.WeightFit(), ReferenceFit()
    for _ in range(samples):
        disturbance, runs = sample(rng)
        fit.add(disturbance, runs)
        reference.add(disturbance, runs)
    fit.solve()
    expected = reference.weights()
    for image, weight in fit.weights.items():
        assert weight == pytest.approx(expected[image], abs=TOLERANCE)


def test_rescaling_keeps_the_weights():
    rng = random.Random(1)
    fit, rescaled = weights.WeightFit(), weights.WeightFit()
    for number in range(600):
        disturbance, runs = sample(rng)
        fit.add(disturbance, runs)
        rescaled.add(disturbance, runs)
        if number % 100 == 0:
            rescaled._rescale()
    assert rescaled.scale < fit.scale
    for image, weight in fit.weights.items():
        assert rescaled.weights[image] == pytest.approx(weight, rel=1e-6)


def test_sample_updates_only_its_own_images():
    """Guards against a cost per sample that grows with the known images.

    The owner of 445 workers used its whole VM: with 30 best-effort images and
    thousands of samples per second, each sample updated the sums of all pairs
    of images.
    """
    fit = weights.WeightFit()
    for image in IMAGES:
        fit.add(0.1, [weights.BestEffortUsage(image, 2.0)])
    assert sum(len(row) for row in fit.products) == 1 + 3 * len(IMAGES)
