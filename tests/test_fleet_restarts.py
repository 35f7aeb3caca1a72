"""Test workers that start again under their ID.

Such a worker knows nothing of its life before: it runs nothing, has seen no
fence, and numbers the ends of its runs from 1; its clock starts anew.
"""

import pytest

from sycamorefield.fleet import messages
from sycamorefield.fleet import workerstate
from tests import fleetfakes
from tests import test_fleet_takeover

wait_for = test_fleet_takeover.wait_for
# Jobs that complete in the first life of a worker.
EARLIER_JOBS = ("a", "b", "c")


@pytest.fixture(name="fleet")
def fixture_fleet():
    fleet = test_fleet_takeover.Fleet(workers=1)
    yield fleet
    fleet.owner.step_down("test over")


def complete(fleet, job_id):
    """Submit a job of one task and let its run end as done."""
    fleet.submit(fleetfakes.job(job_id))
    wait_for(lambda: fleet.running() == [f"{job_id}.0.0.0"])
    test_fleet_takeover.finish(fleet, f"{job_id}.0.0.0")
    wait_for(lambda: fleet.state(job_id) == messages.COMPLETED)


def restart_quickly(fleet, clock_offset_ms):
    """Restart before a second call to the worker has failed."""
    fleet.restart("i-0", clock_offset_ms)


def restart_after_silence(fleet, clock_offset_ms):
    """Restart once the silent worker has been given up."""
    fleet.workers["i-0"].unresponsive = True
    wait_for(lambda: "i-0" not in fleet.owner.fleet.workers)
    fleet.restart("i-0", clock_offset_ms)


@pytest.mark.parametrize("clock_offset_ms", [-1e6, 1000.0, 1e6],
                         ids=["clock-back", "same-clock", "clock-ahead"])
@pytest.mark.parametrize("restart", [restart_quickly, restart_after_silence])
def test_ends_on_a_restarted_worker_are_recorded(
        fleet, restart, clock_offset_ms, monkeypatch):
    """Guards against acknowledging unread ends, whose tasks then run twice."""
    monkeypatch.setattr(workerstate, "LEASE_MS", 400.0)
    fleet.take_over()
    for job_id in EARLIER_JOBS:
        complete(fleet, job_id)
    restart(fleet, clock_offset_ms)
    for job_id in ("d", "e"):
        complete(fleet, job_id)
    assert not fleet.workers["i-0"].acknowledged_unseen_ends
    assert fleet.starts() == [f"{job_id}.0.0.0" for job_id in "abcde"]
