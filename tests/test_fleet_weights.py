"""Show that the cheap fit of weights follows the plain one."""

import random

import pytest

from sycamorefield.fleet import weights

IMAGES = [f"f{number}" for number in range(12)]
TRUE_WEIGHTS = {image: 0.005 * number for number, image in enumerate(IMAGES)}
# A weight of a tenth of what a harmless image has counts as the same.
TOLERANCE = 0.0005


class ReferenceFit:
    """Keep every sum whole at each sample and solve by elimination."""

    def __init__(self) -> None:
        size = len(IMAGES) + 1
        self.products = [[0.0] * size for _ in range(size)]
        self.targets = [0.0] * size
        self.products[0][0] = weights.INTERCEPT_PRIOR_STRENGTH
        self.targets[0] = weights.INTERCEPT_PRIOR_STRENGTH * \
            weights.INITIAL_INTERCEPT

    def add(self, disturbance: float,
            runs: list[weights.BestEffortUsage]) -> None:
        row = [1.0] + [sum(f.cores for f in runs if f.image == image)
                       for image in IMAGES]
        for i, left in enumerate(row):
            self.targets[i] = (weights.DECAY_FACTOR * self.targets[i]
                               + left * disturbance)
            for j, right in enumerate(row):
                self.products[i][j] = (
                    weights.DECAY_FACTOR * self.products[i][j] + left * right)

    def weights(self) -> dict[str, float]:
        size = len(self.targets)
        rows = [self.products[i] + [self.targets[i]] for i in range(size)]
        rows = [list(row) for row in rows]
        for i in range(1, size):
            rows[i][i] += weights.PRIOR_STRENGTH
            rows[i][size] += weights.PRIOR_STRENGTH * weights.INITIAL_WEIGHT
        for i in range(size):
            for below in rows[i + 1:]:
                factor = below[i] / rows[i][i]
                for k in range(i, size + 1):
                    below[k] -= factor * rows[i][k]
        solved = [0.0] * size
        for i in reversed(range(size)):
            rest = sum(rows[i][k] * solved[k] for k in range(i + 1, size))
            solved[i] = (rows[i][size] - rest) / rows[i][i]
        return {image: min(weights.MAX_WEIGHT, max(0.0, weight))
                for image, weight in zip(IMAGES, solved[1:])}


def sample(rng: random.Random) -> tuple[float, list[weights.BestEffortUsage]]:
    runs = [weights.BestEffortUsage(rng.choice(IMAGES), rng.uniform(0.5, 4.0))
            for _ in range(rng.randrange(5))]
    harm = sum(TRUE_WEIGHTS[f.image] * f.cores for f in runs)
    return 0.04 + harm + rng.gauss(0, 0.03), runs


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
    """Cost of a sample must not grow with the images known.

    Symptom: the owner of 445 workers used its whole VM.  Events: 30 filling
    images were seen, and thousands of tails a second were learnt from.
    Cause: each sample went over the square of all images.
    """
    fit = weights.WeightFit()
    for image in IMAGES:
        fit.add(0.1, [weights.BestEffortUsage(image, 2.0)])
    assert sum(len(row) for row in fit.products) == 1 + 3 * len(IMAGES)
