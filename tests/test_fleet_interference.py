"""Show that harmful pairs of images are learnt and their runs slowed."""

import math
import random

import pytest

from sycamorefield.fleet import interference
from sycamorefield.fleet import pacing

# True weights a core, as they were found in recorded figures.
TRUE = {("s", "heavy"): 0.23, ("s", "light"): 0.0, ("t", "heavy"): 0.0,
        ("t", "light"): 0.2}


def learn(seed: int, samples: int) -> interference.Interference:
    """Feed figures whose load swings by a factor of three."""
    rng = random.Random(seed)
    learnt = interference.Interference()
    for n in range(samples):
        swing = 0.55 * math.sin(n / 40.0) + rng.gauss(0, 0.15)
        fillers = [interference.Filler(image, rng.uniform(1.5, 3.5))
                   for image in ("heavy", "light")
                   for _ in range(rng.randrange(3))]
        for serving in ("s", "t"):
            tail = math.exp(3.0 + swing + sum(
                TRUE[serving, f.image] * f.cores for f in fillers))
            learnt.observe(serving, tail, fillers)
    return learnt


@pytest.mark.parametrize("seed", range(4))
def test_weights_come_close_to_the_true_ones(seed):
    learnt = learn(seed, 400)
    for pair, weight in TRUE.items():
        assert learnt.weight(*pair) == pytest.approx(weight, abs=0.05)


@pytest.mark.parametrize(("ratio", "over", "before", "after"), [
    (0.9, 0, (100, 100), (True, False)),
    (0.5, 0, (100, 100), (False, False)),
    (1.5, 4, (100, 100), (True, True)),
], ids=["near-the-target", "far-below", "over-for-long"])
def test_what_harms_is_slowed_and_the_rest_goes_on(ratio, over, before,
                                                   after):
    learnt = learn(1, 400)
    tails = [interference.Tail("s", ratio)]
    runs = [pacing.Paced(image, 3.0, 3.0, pace)
            for image, pace in zip(("heavy", "light"), before)]
    shares = pacing.paces(tails, runs, over, True, learnt)
    assert [s < b for s, b in zip(shares, before)] == list(after)


def test_a_slowed_run_is_eased_only_while_the_tail_allows():
    learnt = learn(1, 400)
    run = [pacing.Paced("heavy", 3.0, 0.0, 0)]
    low = [interference.Tail("s", 0.3)]
    high = [interference.Tail("s", 0.6)]
    assert pacing.paces(low, run, 0, True, learnt)[0] > 0
    assert pacing.paces(high, run, 0, True, learnt) == [0]
    assert pacing.paces(low, run, 0, False, learnt) == [0]
