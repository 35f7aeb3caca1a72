"""Show what a worker's link sends when the worker does not answer."""

import pytest

from sycamorefield.fleet import clock
from sycamorefield.fleet import link as link_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import surroundings
from tests import fleetfakes
from tests import test_fleet_state


class LosingWorker(fleetfakes.MemoryWorker):
    """Lose every start, and tell when one was tried."""

    def __init__(self, worker_id, on_start):
        super().__init__(worker_id)
        self.on_start = on_start

    def start(self, order, fence, lease_end_ms):
        self.on_start()
        raise surroundings.CallFailed("no answer")


@pytest.fixture(name="bench")
def fixture_bench():
    bench = test_fleet_state.Bench()
    bench.now = clock.now()
    bench.state.add_worker(fleetfakes.entry(0))
    bench.report("i-0")
    bench.state.enrol(["i-0"])
    return bench


def make_link(bench, worker):
    return link_mod.WorkerLink(
        fleetfakes.entry(0), worker, bench.state, lambda: True,
        lambda: True, lambda reason: None)


def test_silent_worker_is_asked_without_a_lease(bench):
    """Let the leases of a worker that does not answer come to an end.

    Symptom: lasting tasks of a worker that had left never ran again.
    Events: its connections were refused; each try to renew counted as a
    lease given. Cause: the end of the last lease moved on with every try.
    """
    link = make_link(bench, fleetfakes.MemoryWorker("i-0"))
    assert link._until() is not None
    granted = bench.state.workers["i-0"].granted_ms
    bench.state.worker_silent("i-0", "refused")
    assert link._until() is None
    assert bench.state.workers["i-0"].granted_ms == granted


def test_start_lost_before_the_worker_went_silent_is_stopped(bench):
    """Keep a task whose start may still be carried out from running twice.

    Symptom would be a task on two workers.  Events: a start gets no answer,
    and before it is repeated the worker counts as silent.  Cause would be
    to take "not repeated" for "not sent".
    """
    bench.add(fleetfakes.job("j"))
    bench.state.place(bench.now, 0)
    order = bench.orders[-1][1]
    link = make_link(bench, LosingWorker(
        "i-0", lambda: bench.state.worker_silent("i-0", "cut")))
    link._send_start(order)
    task = bench.state.jobs["j"].tasks[0, 0][0]
    assert task.phase == progress.STOPPING
    assert isinstance(bench.orders[-1][1], messages.StopOrder)
