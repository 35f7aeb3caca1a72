"""Test that headroom follows the recent peak of urgent tasks."""

import json
import math

import pytest

from sycamorefield.fleet import demand
from sycamorefield.fleet import messages
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.fleet import recentpeak
from sycamorefield.fleet import workerstate
from tests import fleetfakes
from tests import test_fleet_state


def worker_using(*cpu_by_priority: tuple[int, int]
                 ) -> workerstate.WorkerState:
    worker = workerstate.WorkerState(fleetfakes.entry(0))
    worker.finite_cpu = dict(cpu_by_priority)
    return worker


def peak_after(cpu_at, seconds: float, enabled: bool = True
               ) -> recentpeak.RecentPeak:
    """Return the state after samples of the use at each time."""
    peak = recentpeak.RecentPeak(enabled)
    for n in range(int(seconds * 10)):
        peak.sample([worker_using((0, cpu_at(n / 10.0)))], 50.0 + n / 10.0)
    return peak


def wave(at: float) -> int:
    return int(100_000 * (1.0 + 0.55 * math.sin(2 * math.pi * at / 17.0)))


def burst(at: float) -> int:
    return 190_000 if 30.0 <= at < 33.0 else 100_000


@pytest.mark.parametrize(("cpu_at", "seconds", "deviation", "least", "most"), [
    (lambda _: 100_000, 60.0, 0.0, 0.0, 0.0),
    (wave, 60.0, 10_000.0, 150_000.0, 155_000.0),
    # The scatter of arrivals explains the wave.
    (wave, 60.0, 40_000.0, 0.0, 0.0),
    (burst, 40.0, 10_000.0, 190_000.0, 190_000.0),
    # A burst fades after 20 s and is forgotten after 40 s.
    (burst, 62.0, 10_000.0, 0.0, 0.0),
    (burst, 90.0, 10_000.0, 0.0, 0.0),
    # Too little is known at the beginning.
    (lambda at: 300_000 if at < 1 else 100_000, 8.0, 0.0, 0.0, 0.0),
    (lambda _: 0, 60.0, 0.0, 0.0, 0.0),
], ids=["constant", "wave", "explained", "burst", "burst-fades",
        "burst-forgotten", "beginning", "idle"])
def test_peak_is_kept_only_if_it_differs_from_the_mean(
        cpu_at, seconds, deviation, least, most):
    peak = peak_after(cpu_at, seconds)
    assert least <= peak.kept_cpu(0, deviation, 50.0 + seconds) <= most


def test_only_at_least_as_urgent_tasks_count():
    peak = recentpeak.RecentPeak()
    for n in range(600):
        cpu = wave(n / 10.0)
        peak.sample([worker_using((0, 1000), (2, cpu))], n / 10.0)
    assert not peak.kept_cpu(0, 0.0, 60.0)
    assert not peak.kept_cpu(1, 0.0, 60.0)
    assert peak.kept_cpu(2, 0.0, 60.0) > 150_000


def test_switched_off_peak_keeps_nothing():
    assert not peak_after(wave, 60.0, False).kept_cpu(0, 0.0, 110.0)


def test_largest_share_bounds_what_is_kept_for_a_peak():
    estimator = demand.DemandEstimator(peak_after(wave, 60.0))
    estimator.start_observing(0.0)
    kept_cpu = estimator.kept_cpu(0, 200_000.0, 110.0)
    assert kept_cpu == demand.MAX_SHARE * 200_000.0


def test_rounds_measure_the_use_of_finite_runs_until_they_end():
    """Count each finite run once, from its order to its end.

    Guards against a use that grows without end, which would keep the largest
    share for ever.
    """
    bench = test_fleet_state.Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("finite", messages.Step(
        2, messages.Resources(1000, 10))))
    bench.add(fleetfakes.job("long", messages.Step(
        1, messages.Resources(1000, 10), perpetual=True)))
    bench.place()
    worker = bench.state.workers["i-0"]
    assert worker.finite_cpu == {0: 2000}
    bench.report("i-0", [messages.RunningTask(name, run, "", 0)
                         for name, run in worker.tasks])
    assert worker.finite_cpu == {0: 2000}
    bench.end("i-0", "finite.0.0.0", 1, messages.DONE)
    bench.end("i-0", "finite.0.0.1", 2, "lapsed")
    assert worker.finite_cpu == {0: 0}


@pytest.mark.parametrize("switch", [True, False])
def test_policy_switches_the_peak(switch):
    bench = test_fleet_state.Bench(policy=policy_mod.Policy(
        keep_recent_peak=switch))
    assert bench.state.demand.recent_peak.enabled is switch


def test_state_survives_a_change_of_owner():
    """Store ages: the clock of the successor has another origin."""
    before = peak_after(wave, 60.0)
    kept_cpu = before.kept_cpu(0, 10_000.0, 110.0)
    after = recentpeak.RecentPeak()
    after.decode(json.loads(json.dumps(before.encode())))
    for n in range(10):
        after.sample([worker_using((0, 100_000))], 9000.0 + n / 10.0)
    assert after.kept_cpu(0, 10_000.0, 9001.0) == pytest.approx(
        kept_cpu, rel=0.01)
    # It is forgotten like any other.
    for n in range(500):
        after.sample([worker_using((0, 100_000))], 9001.0 + n / 10.0)
    assert not after.kept_cpu(0, 10_000.0, 9051.0)


def test_encoded_state_is_small():
    assert len(json.dumps(peak_after(wave, 90.0).encode())) < 2000


@pytest.mark.parametrize("value", [
    None, 3, "x", [1], {"a": []}, {"0": 3}, {"0": [[1, 2]]},
    {"0": [["x", 2, 1]]}, {"0": [[-1, 2, 1]]}, {"0": [[40, 2, 1]]},
    {"0": [[1, -2, -3]]}, {"0": [[1, float("nan"), 1]]},
    {"0": [[1, float("inf"), 1]]}, {"0": [[1, 1, 2]]},
    {"0": [[1, 2, 1], [1, 2, 1]]}, {"0": [[1, 2, 1], [2, 2, 1]]},
    {str(n): [] for n in range(99)}])
def test_state_that_is_not_ours_is_refused_and_changes_nothing(value):
    peak = recentpeak.RecentPeak()
    with pytest.raises(ValueError):
        peak.decode(value)
    assert not peak.usages
