"""Test the bounds on best-effort jobs that are accepted under overload."""

import math

import pytest

from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from tests import admissionload
from tests import test_fleet_admission

# The platform's bound for the end of what was accepted, after the last caller.
FINISH_S = 14.0
LOAD_S = 60.0
# How long an accepted job may wait for its first start while the overload
# lasts.
MAX_WAIT_S = 60.0


@pytest.fixture(name="time_now")
def fixture_time_now(monkeypatch):
    return test_fleet_admission.FakeClock(monkeypatch)


def has_begun(simulation, caller):
    """Return whether a task of an accepted job has run, or runs."""
    state = simulation.fleet.jobs[caller.job.job_id]
    return state.state == messages.COMPLETED or any(
        task.done or task.phase != progress.IDLE
        for task in state.all_tasks())


def overload(factor, seconds=LOAD_S):
    """Return a load of best-effort jobs for some time."""
    return lambda name, at: (
        factor if name == "batch" and at < seconds else 0.0)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("factor", [1.3, 2.6])
def test_accepted_best_effort_jobs_begin_soon_after_an_overload(
        time_now, factor, seed):
    """Guards against accepting more best-effort work than can be served."""
    simulation = admissionload.Simulation(
        time_now, overload(factor), True, seed, best_effort=("batch",))
    simulation.run(LOAD_S + FINISH_S)
    accepted = [caller for caller in simulation.callers if caller.accepted]
    waiting = [caller.job.job_id for caller in accepted
               if not has_begun(simulation, caller)]
    assert accepted and not waiting


def longest_wait_s(simulation, began_at):
    """Return the longest wait of an accepted job; note new first starts."""
    now = simulation.clock.now
    for caller in simulation.callers:
        if caller.accepted and has_begun(simulation, caller):
            began_at.setdefault(caller.job.job_id, now)
    return max((began_at.get(caller.job.job_id, now) - caller.began_at
                for caller in simulation.callers if caller.accepted),
               default=0.0)


@pytest.mark.parametrize("factor", [1.1, 2.0])
def test_no_accepted_job_is_passed_by_later_ones_for_ever(time_now, factor):
    """Guards against jobs that start only once the overload has ended."""
    simulation = admissionload.Simulation(
        time_now, overload(factor, math.inf), True, best_effort=("batch",))
    began_at = {}
    for _ in range(30):
        simulation.run(5.0)
        assert longest_wait_s(simulation, began_at) <= MAX_WAIT_S
