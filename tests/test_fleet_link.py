"""Test what a worker's link sends when the worker does not respond."""

import asyncio
import dataclasses
import threading
import time

import pytest

from sycamorefield.fleet import clock
from sycamorefield.fleet import endedlives
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import link as link_mod
from sycamorefield.fleet import loopthread
from sycamorefield.fleet import messages
from sycamorefield.fleet import owner as owner_mod
from sycamorefield.fleet import progress
from sycamorefield.fleet import rounds
from sycamorefield.fleet import workerstate
from tests import fleetfakes
from tests import test_fleet_state


class StartLosingWorker(fleetfakes.MemoryWorker):
    """Lose each start order, after a callback."""

    def __init__(self, worker_id, on_start):
        super().__init__(worker_id)
        self.on_start = on_start

    async def start(self, order, fence, lease_end_ms):
        self.on_start()
        raise interfaces.CallFailed("no answer")


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


def test_unresponsive_worker_is_queried_without_a_lease(bench):
    """Granting a lease with each attempt would keep tasks down for ever.

    The last granted lease would end later with each attempt to renew it, so
    that tasks of a worker that had left were never started elsewhere.
    """
    link = make_link(bench, fleetfakes.MemoryWorker("i-0"))
    assert link._lease_end_ms() is not None
    granted = bench.state.workers["i-0"].granted_end_ms
    bench.state.mark_unresponsive("i-0", "refused")
    assert link._lease_end_ms() is None
    assert bench.state.workers["i-0"].granted_end_ms == granted


@pytest.mark.parametrize("pause_s", [0.0, 1.0, 6.0])
def test_pause_after_the_lease_check_extends_no_lease(
        bench, monkeypatch, pause_s):
    """A VM frozen after the check may have a successor when it resumes."""
    moment = [clock.now()]
    monkeypatch.setattr(clock, "now", lambda: moment[0])
    link = make_link(bench, fleetfakes.MemoryWorker("i-0"))
    # One millisecond of tolerance for rounding of floats.
    latest_ms = moment[0] * 1000.0 + workerstate.LEASE_MS + 1.0

    def may_lease():
        moment[0] += pause_s
        return True

    link.may_lease = may_lease
    assert link._lease_end_ms() <= latest_ms
    assert bench.state.workers["i-0"].granted_end_ms <= latest_ms


def test_start_delayed_by_the_lock_is_not_sent_after_stepping_down(bench):
    """A round may hold the lock for 1 s, in which the owner may step down."""
    worker = fleetfakes.MemoryWorker("i-0")
    owner = owner_mod.Owner(
        fleetfakes.MemoryStore(), fleetfakes.MemoryWorkerList(()),
        lambda entry: worker, fleetfakes.configuration, 5, 6000.0)
    checked = threading.Event()

    def may_act():
        checked.set()
        return not owner.stepped_down.is_set()

    link = make_link(bench, worker)
    link.may_act, link.may_lease = may_act, owner.may_lease
    bench.add(fleetfakes.job("j"))
    rounds.place(bench.state, bench.now, 0)
    order = bench.orders[-1][1]
    sending = threading.Thread(
        target=asyncio.run, args=(link._send_start(order),))
    with bench.state.lock:
        sending.start()
        assert checked.wait(5)
        owner.step_down("planned stop")
    sending.join(5)
    assert not worker.starts


def test_lost_start_to_a_worker_now_unresponsive_is_stopped(bench):
    """Taking a start that is not retried for an unsent one would run it twice.

    The first attempt got no response and may still be carried out, although
    the worker became unresponsive before the second one.
    """
    bench.add(fleetfakes.job("j"))
    rounds.place(bench.state, bench.now, 0)
    order = bench.orders[-1][1]
    link = make_link(bench, StartLosingWorker(
        "i-0", lambda: bench.state.mark_unresponsive("i-0", "cut")))
    asyncio.run(link._send_start(order))
    task = bench.state.jobs["j"].tasks[0, 0][0]
    assert task.phase == progress.STOPPING
    assert isinstance(bench.orders[-1][1], messages.StopOrder)


def test_single_refused_connection_is_no_sign_of_a_crash(bench):
    """A first refusal may be caused by a restart of the link."""
    bench.add(fleetfakes.job("j"))
    bench.place()
    worker = fleetfakes.MemoryWorker("i-0")
    link = make_link(bench, worker)
    asyncio.run(link._handle_refusal(
        interfaces.ConnectionRefused("connection refused")))
    assert "i-0" in bench.state.workers
    assert not bench.state.crash_records.is_unproven("i-0")


def test_remaining_entry_of_an_ended_worker_does_not_add_it_again(bench):
    """An ended worker stays listed until its entry expires.

    It would be added and removed again every second until then.
    """
    bench.state.mark_dead("i-0", "nobody listens at its address")
    assert not bench.state.add_worker(fleetfakes.entry(0))
    bench.state.expire(clock.now() + endedlives.ENTRY_TTL_S + 0.1)
    assert bench.state.add_worker(fleetfakes.entry(0))


class StopIgnoringWorker(fleetfakes.MemoryWorker):
    """Leave the first stops without a response."""

    def __init__(self, worker_id, unanswered):
        super().__init__(worker_id)
        self.unanswered = unanswered

    async def stop(self, order, fence):
        if self.unanswered:
            self.unanswered -= 1
            raise interfaces.CallFailed("no answer")
        return await super().stop(order, fence)


def test_stop_is_retried_until_it_is_acknowledged(bench, monkeypatch):
    """Giving up on a stop would keep its task in the stopping phase for ever.

    The worker responded neither to a start nor, many times, to its stop.
    """
    monkeypatch.setattr(link_mod, "RETRY_DELAY_S", 0.0)
    bench.add(fleetfakes.job("j"))
    bench.place()
    task = bench.state.jobs["j"].tasks[0, 0][0]
    bench.state.stop_run(task, "test")
    worker = StopIgnoringWorker("i-0", 100)
    link = make_link(bench, worker)
    link.put_order(bench.orders[-1][1])
    loop_thread = loopthread.LoopThread()
    link.start(loop_thread)
    for _ in range(500):
        if worker.ended_run:
            break
        time.sleep(0.01)
    link.close()
    loop_thread.stop()
    assert worker.ended_run == {task.task: task.run}


def test_unacknowledged_stop_does_not_delay_other_orders(bench):
    """Other queued orders are sent between two attempts of a stop."""
    bench.add(fleetfakes.job("j"))
    bench.place()
    task = bench.state.jobs["j"].tasks[0, 0][0]
    bench.state.stop_run(task, "test")
    worker = StopIgnoringWorker("i-0", 10 ** 6)
    link = make_link(bench, worker)
    link.put_order(bench.orders[-1][1])
    link.put_order(messages.PaceOrder(task.task, task.run, 50))
    loop_thread = loopthread.LoopThread()
    link.start(loop_thread)
    for _ in range(200):
        if worker.pace_orders:
            break
        time.sleep(0.01)
    link.close()
    loop_thread.stop()
    assert worker.pace_orders


@pytest.mark.parametrize(("draining", "lease_ms"), [
    (False, workerstate.LEASE_MS), (True, workerstate.DRAINING_LEASE_MS)])
def test_leases_of_draining_workers_are_short(bench, draining, lease_ms):
    """Guards against tasks that wait for seconds after a planned leave."""
    worker = bench.state.workers["i-0"]
    worker.entry = dataclasses.replace(worker.entry, draining=draining)
    link = make_link(bench, fleetfakes.MemoryWorker("i-0"))
    began_ms = worker.clock_ms + (
        clock.now() - worker.clock_read_at) * 1000.0
    assert link._lease_end_ms() - began_ms == pytest.approx(lease_ms, abs=200)
