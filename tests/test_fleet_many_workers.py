"""Test that an owner follows more workers than a process may have threads."""

import threading

import pytest

from sycamorefield.fleet import messages
from tests import fleetfakes
from tests import test_fleet_crashes
from tests import test_fleet_takeover

WORKERS = 1500
MAX_THREADS = 64
JOB_COUNT = 20


@pytest.fixture(name="bounded_threads")
def fixture_bounded_threads(monkeypatch):
    """Refuse more than MAX_THREADS new threads, as the system does.

    Threads that earlier tests left behind don't count.
    """
    start = threading.Thread.start
    earlier_threads = set(threading.enumerate())

    def start_if_allowed(thread):
        new_threads = set(threading.enumerate()) - earlier_threads
        if len(new_threads) >= MAX_THREADS:
            raise RuntimeError("can't start new thread")
        start(thread)

    monkeypatch.setattr(threading.Thread, "start", start_if_allowed)


def test_owner_of_many_workers_needs_few_threads(bounded_threads, monkeypatch):
    """Guards against a term that ends because a thread cannot be started."""
    monkeypatch.setattr(test_fleet_takeover, "WAIT_S", 30.0)
    fleet = test_fleet_takeover.Fleet(WORKERS)
    owner = fleet.take_over()
    # An owner whose lease is not renewed ends its term after 8 s.
    threading.Thread(target=test_fleet_crashes.CrashingFleet._renew,
                     args=(owner,), daemon=True).start()
    try:
        for number in range(JOB_COUNT):
            fleet.submit(fleetfakes.job(f"j{number}", messages.Step(
                20, messages.Resources(1000, 10))))
        test_fleet_takeover.wait_for(
            lambda: len(fleet.running()) == 20 * JOB_COUNT)
        for worker in list(fleet.workers.values()):
            for task, _ in list(worker.runs):
                worker.finish(task)
        test_fleet_takeover.wait_for(lambda: all(
            fleet.state(f"j{number}") == messages.COMPLETED
            for number in range(JOB_COUNT)))
        assert not owner.stepped_down.is_set()
    finally:
        owner.step_down("test over")
