"""Test that every task runs and every run ends once faults are over.

FaultyDay says which faults there are.  After them, every call is answered for
15 s; one process remains the owner.  Only a worker that is silent for good
may stay so, and then tasks have to run elsewhere.
"""

import itertools

import pytest

from sycamorefield.fleet import progress
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import workerstate
from tests import faultyfleet

SINGLES = list(faultyfleet.FAULTS)
PAIRS = list(itertools.combinations(faultyfleet.FAULTS, 2))
# Whether the owner changes besides, and whether a worker is silent for good.
VARIANTS = list(itertools.product([False, True], repeat=2))
# Not each broken rule matters in each day.
SEEDS = range(4)


def complaints_after(faults, seed, changes_owner, keeps_silent_worker):
    """Return what is wrong after a day of faults and a calm."""
    day = faultyfleet.FaultyDay(
        faults, seed, changes_owner, keeps_silent_worker)
    try:
        day.run()
        return day.complaints()
    finally:
        day.machine.teardown()


@pytest.mark.parametrize(("changes_owner", "keeps_silent_worker"), VARIANTS)
@pytest.mark.parametrize("fault", SINGLES)
def test_everything_ends_after_a_fault(fault, changes_owner,
                                       keeps_silent_worker):
    """Guards against tasks that could run and don't, and runs in doubt."""
    assert complaints_after(
        (fault,), 0, changes_owner, keeps_silent_worker) == []


@pytest.mark.parametrize(
    ("number", "faults"), list(enumerate(PAIRS)),
    ids=[" and ".join(pair) for pair in PAIRS])
def test_everything_ends_after_two_faults(number, faults):
    """Guards against tasks that could run and don't, and runs in doubt."""
    assert complaints_after(
        faults, 0, *VARIANTS[number % len(VARIANTS)]) == []


def keep_skipping(monkeypatch):
    """Let rounds skip a job although one of its runs was reset."""
    reset_run = progress.TaskState.reset_run

    def reset(task):
        skip_rounds = task.job.skip_rounds
        reset_run(task)
        task.job.skip_rounds = skip_rounds
    monkeypatch.setattr(progress.TaskState, "reset_run", reset)


def never_expire(monkeypatch):
    """Keep workers whose leases have expired."""
    monkeypatch.setattr(workerstate.WorkerState, "leases_expired",
                        lambda worker, now: False)


def never_enrol(monkeypatch):
    """Use only the workers that an earlier owner stored."""
    monkeypatch.setattr(state_mod.FleetState, "enrol",
                        lambda fleet, worker_ids: None)


def lose_stops(monkeypatch):
    """Send no stops."""
    monkeypatch.setattr(
        state_mod.FleetState, "stop_run",
        lambda fleet, task, reason: setattr(
            task, "phase", progress.STOPPING))


@pytest.mark.parametrize(("break_logic", "faults", "expected"), [
    (keep_skipping, ("orders lost", "runs fail"), "rounds skip the job"),
    (never_expire, ("worker silent", "orders lost"), "has not ended"),
    (never_enrol, ("workers crash",), "is not usable"),
    (lose_stops, ("answers lost", "jobs cancelled"), "is stopping"),
])
def test_simulation_finds_what_is_broken_on_purpose(
        break_logic, faults, expected, monkeypatch):
    break_logic(monkeypatch)
    found = [complaint for seed in SEEDS for complaint in complaints_after(
        faults, seed, False, break_logic is never_expire)]
    assert any(expected in complaint for complaint in found), found
