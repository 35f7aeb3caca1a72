"""Test that headroom follows the recent peak of urgent tasks."""

import json
import math

import pytest

from sycamorefield.fleet import demand
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.fleet import recentpeak
from tests import test_fleet_state


def peak_after(cpu_at, seconds: float, enabled: bool = True
               ) -> recentpeak.RecentPeak:
    """Return the state after arrivals that need a CPU at each time."""
    peak = recentpeak.RecentPeak(enabled)
    for n in range(int(seconds * 10)):
        peak.add(0, cpu_at(n / 10.0) / 10.0, 50.0 + n / 10.0)
    return peak


def wave(at: float) -> int:
    return int(100_000 * (1.0 + 0.55 * math.sin(2 * math.pi * at / 17.0)))


def burst(at: float) -> int:
    return 190_000 if 30.0 <= at < 33.0 else 100_000


@pytest.mark.parametrize(("cpu_at", "seconds", "deviation", "least", "most"), [
    (lambda _: 100_000, 60.0, 0.0, 0.0, 0.0),
    # Rising, at its highest, and falling.
    (wave, 52.0, 10_000.0, 130_000.0, 190_000.0),
    (wave, 55.0, 10_000.0, 150_000.0, 220_000.0),
    (wave, 63.0, 10_000.0, 0.0, 90_000.0),
    # The scatter of arrivals explains the wave.
    (wave, 52.0, 40_000.0, 0.0, 0.0),
    (burst, 32.5, 10_000.0, 165_000.0, 175_000.0),
    (burst, 60.0, 10_000.0, 105_000.0, 115_000.0),
    # A burst is forgotten after 40 s.
    (burst, 74.0, 10_000.0, 0.0, 0.0),
    # Too little is known at the beginning.
    (lambda at: 300_000 if at < 3 else 100_000, 8.0, 0.0, 0.0, 0.0),
    (lambda _: 0, 60.0, 0.0, 0.0, 0.0),
], ids=["constant", "rising", "top", "falling", "explained", "burst",
        "after-burst", "burst-forgotten", "beginning", "idle"])
def test_arrivals_are_extrapolated_only_if_the_peak_differs_from_the_mean(
        cpu_at, seconds, deviation, least, most):
    peak = peak_after(cpu_at, seconds)
    assert least <= peak.kept_cpu(0, deviation, 50.0 + seconds) <= most


def test_only_at_least_as_urgent_tasks_count():
    peak = recentpeak.RecentPeak()
    for n in range(530):
        peak.add(0, 100.0, n / 10.0)
        peak.add(2, wave(n / 10.0) / 10.0, n / 10.0)
    assert not peak.kept_cpu(0, 0.0, 53.0)
    assert not peak.kept_cpu(1, 0.0, 53.0)
    assert peak.kept_cpu(2, 0.0, 53.0) > 130_000


def test_switched_off_peak_keeps_nothing():
    assert not peak_after(wave, 53.0, False).kept_cpu(0, 0.0, 103.0)


def test_largest_share_bounds_what_is_kept_for_a_peak():
    estimator = demand.DemandEstimator(None, peak_after(wave, 53.0))
    estimator.start_observing(0.0)
    kept_cpu = estimator.kept_cpu(0, 200_000.0, 103.0)
    assert kept_cpu == demand.MAX_SHARE * 200_000.0


@pytest.mark.parametrize("switch", [True, False])
def test_policy_switches_the_peak(switch):
    bench = test_fleet_state.Bench(policy=policy_mod.Policy(
        keep_recent_peak=switch))
    assert bench.state.demand.recent_peak.enabled is switch


def test_state_survives_a_change_of_owner():
    """Store ages: the clock of the successor has another origin."""
    before = peak_after(wave, 53.0)
    after = recentpeak.RecentPeak()
    after.decode(json.loads(json.dumps(before.encode())))
    after.add(0, 10_000.0, 9000.0)
    assert after.kept_cpu(0, 10_000.0, 9000.0) == pytest.approx(
        before.kept_cpu(0, 10_000.0, 103.0), rel=0.01)
    # It is forgotten like any other.
    for n in range(500):
        after.add(0, 10_000.0, 9000.1 + n / 10.0)
    assert not after.kept_cpu(0, 10_000.0, 9050.1)


def test_encoded_state_is_small():
    assert len(json.dumps(peak_after(wave, 90.0).encode())) < 2000


@pytest.mark.parametrize("value", [
    None, 3, "x", [1], {"a": []}, {"0": 3}, {"0": [[1]]}, {"0": [[1, 2, 3]]},
    {"0": [["x", 2]]}, {"0": [[-1, 2]]}, {"0": [[41, 2]]}, {"0": [[1, -2]]},
    {"0": [[1, float("nan")]]}, {"0": [[1, float("inf")]]},
    {str(n): [] for n in range(99)}])
def test_state_that_is_not_ours_is_refused_and_changes_nothing(value):
    peak = recentpeak.RecentPeak()
    with pytest.raises(ValueError):
        peak.decode(value)
    assert not peak.arrived
