"""Test that a successor knows the wide tasks of its predecessor."""

import json

import pytest

from sycamorefield.fleet import demand
from sycamorefield.fleet import messages
from tests import fleetfakes

WIDE_STEP = messages.Step(1, messages.Resources(9000, 10), estimate_ms=60_000)
NARROW_STEP = messages.Step(
    40, messages.Resources(1000, 10), estimate_ms=60_000)


def make_estimator():
    return demand.DemandEstimator(follows_wide_tasks=True)


def find_slots(estimator, now):
    return estimator.wide_tasks.slots(
        0, estimator.mean_task_cpu(0), 100_000.0, now)


def test_successor_keeps_slots_for_wide_tasks():
    """Guards against wide urgent tasks that lose their room at a takeover."""
    estimator = make_estimator()
    estimator.start_observing(100.0)
    estimator.add_job(fleetfakes.job("narrow", NARROW_STEP), 110.0)
    estimator.add_job(fleetfakes.job("wide", WIDE_STEP), 120.0)
    successor = make_estimator()
    successor.decode(json.loads(json.dumps(estimator.encode(130.0))), 1000.0)
    assert find_slots(estimator, 130.0) is not None
    assert find_slots(successor, 1000.0) == find_slots(estimator, 130.0)
    assert find_slots(successor, 1060.0) is None


@pytest.mark.parametrize("value", [
    5, [[1]], [[-1, 0, 1, 1]], [["x", 0, 1, 1]], [[1, 0, 1, 1]] * 500])
def test_invalid_wide_tasks_are_refused(value):
    estimator = make_estimator()
    estimator.start_observing(100.0)
    row = {**estimator.encode(130.0), "wide": value}
    with pytest.raises(ValueError):
        make_estimator().decode(row, 1000.0)


def test_demand_without_wide_tasks_is_accepted():
    """Guards against a snapshot of older code that is refused."""
    estimator = make_estimator()
    estimator.start_observing(100.0)
    row = estimator.encode(130.0)
    row.pop("wide", None)
    make_estimator().decode(row, 1000.0)
