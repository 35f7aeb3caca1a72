"""Test that no call to a worker is carried out after a later one."""

import asyncio

import pytest

from sycamorefield.fleet import callfences
from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import rounds
from tests import fleetfakes
from tests import test_fleet_link

TASK = messages.TaskId("a", 0, 0, 0)
START = messages.StartOrder(TASK, 1, "spec of a", "")
STOP = messages.StopOrder(TASK, 1)
PACE = messages.PaceOrder(TASK, 1, 50)

bench = test_fleet_link.fixture_bench
make_link = test_fleet_link.make_link


class RecordingWorker(fleetfakes.MemoryWorker):
    """Record each call, and call overtake before carrying one out."""

    def __init__(self, worker_id="i-0"):
        super().__init__(worker_id)
        self.fences = []
        self.overtake = lambda: None

    def _check(self, fence):
        self.fences.append(fence)
        self.overtake()
        super()._check(fence)


def send_all(link):
    """Make a call of each kind."""
    asyncio.run(link._send(START))
    asyncio.run(link._renew_once())
    asyncio.run(link._send(PACE))
    asyncio.run(link._send(STOP))


@pytest.fixture(name="placed")
def fixture_placed(bench):
    """Return a bench on which the start of a task is ordered."""
    bench.add(fleetfakes.job("a"))
    rounds.place(bench.state, clock.now(), 1e12)
    assert bench.orders == [("i-0", START)]
    return bench


def test_each_call_carries_a_higher_fence(placed):
    """Guards against a call without an answer that is carried out late."""
    worker = RecordingWorker()
    send_all(make_link(placed, worker))
    assert len(worker.fences) == 4
    assert worker.fences == sorted(set(worker.fences))


def test_fences_go_on_if_a_worker_is_added_again(placed):
    """Guards against a worker that refuses all calls of its owner."""
    worker = RecordingWorker()
    send_all(make_link(placed, worker))
    placed.state.workers.pop("i-0")
    placed.state.add_worker(fleetfakes.entry(0))
    asyncio.run(make_link(placed, worker)._renew_once())
    assert placed.state.workers["i-0"].has_reported
    assert worker.fences == sorted(set(worker.fences))


@pytest.mark.parametrize("calls", [1, callfences.CALLS_PER_TERM + 5])
def test_fences_of_a_later_term_are_higher(calls):
    """Guards against an earlier owner that workers still obey."""
    earlier, later = callfences.CallFences(7), callfences.CallFences(8)
    earlier.calls = calls - 1
    assert earlier.take() < later.take()


@pytest.mark.parametrize("order", [START, STOP, PACE, None])
def test_call_that_a_later_one_overtook_is_made_again(placed, order):
    """Guards against an owner that takes its own call for a successor's."""
    worker = RecordingWorker()
    link = make_link(placed, worker)
    stepped_down = []
    link.step_down = stepped_down.append

    def overtake_once():
        worker.overtake = lambda: None
        worker.fence = link.fences.take()
    worker.overtake = overtake_once
    asyncio.run(link._renew_once() if order is None else link._send(order))
    assert not stepped_down
    assert len(worker.fences) == 2
    assert not placed.state.workers["i-0"].unresponsive


@pytest.mark.parametrize("order", [START, STOP, PACE, None])
def test_call_refused_for_the_fence_of_a_successor_ends_the_term(
        placed, order):
    """Guards against an owner that goes on beside its successor."""
    worker = RecordingWorker()
    worker.fence = callfences.CallFences(placed.state.fence + 1).take()
    link = make_link(placed, worker)
    stepped_down = []
    link.step_down = stepped_down.append
    asyncio.run(link._renew_once() if order is None else link._send(order))
    assert stepped_down


@pytest.mark.parametrize("late", ["renew", "start"])
def test_late_call_of_the_life_before_does_nothing_in_the_next(placed, late):
    """Guards against ends that the next life forgets before they are read."""
    worker = RecordingWorker()
    link = make_link(placed, worker)
    fence = link.fences.take()
    worker.restart()
    asyncio.run(link._renew_once())
    with pytest.raises(interfaces.OrderRejected):
        if late == "renew":
            asyncio.run(worker.renew(fence, 31, 1e9, 0))
        else:
            asyncio.run(worker.start(START, fence, 1e9))
    assert not worker.runs
    assert not worker.lease_end_ms or worker.lease_end_ms < 1e9
