"""Show what a worker's link sends when the worker does not answer."""

import threading
import time

import pytest

from sycamorefield.fleet import clock
from sycamorefield.fleet import link as link_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import owner as owner_mod
from sycamorefield.fleet import progress
from sycamorefield.fleet import rounds
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import surroundings
from sycamorefield.fleet import workerstate
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


class ExitedWorker(fleetfakes.MemoryWorker):
    """Refuse every connection, as the address of an ended process does."""

    refusals = 0

    def renew(self, fence, recorded_upto, lease_end_ms, wait_ms):
        self.refusals += 1
        assert self.refusals < 20, "asked for ever"
        raise surroundings.NobodyListens("connection refused")


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


@pytest.mark.parametrize("pause_s", [0.0, 1.0, 6.0])
def test_a_pause_after_the_check_makes_no_lease_end_later(
        bench, monkeypatch, pause_s):
    """A VM that is frozen there may have a successor when it wakes."""
    moment = [clock.now()]
    monkeypatch.setattr(clock, "now", lambda: moment[0])
    link = make_link(bench, fleetfakes.MemoryWorker("i-0"))
    # A millisecond more, for what sums of floats lose.
    latest_ms = moment[0] * 1000.0 + workerstate.LEASE_MS + 1.0

    def may_lease():
        moment[0] += pause_s
        return True

    link.may_lease = may_lease
    assert link._until() <= latest_ms
    assert bench.state.workers["i-0"].granted_ms <= latest_ms


def test_a_start_that_waits_for_the_lock_is_not_sent_after_its_term(bench):
    """A round may hold the lock for a second, and the owner step down."""
    worker = fleetfakes.MemoryWorker("i-0")
    owner = owner_mod.Owner(
        fleetfakes.MemoryStore(), fleetfakes.MemoryRoster(()),
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
    sending = threading.Thread(target=link._send_start, args=(order,))
    with bench.state.lock:
        sending.start()
        assert checked.wait(5)
        owner.step_down("planned stop")
    sending.join(5)
    assert not worker.starts


def test_start_lost_before_the_worker_went_silent_is_stopped(bench):
    """Keep a task whose start may still be carried out from running twice.

    Symptom would be a task on two workers.  Events: a start gets no answer,
    and before it is repeated the worker counts as silent.  Cause would be
    to take "not repeated" for "not sent".
    """
    bench.add(fleetfakes.job("j"))
    rounds.place(bench.state, bench.now, 0)
    order = bench.orders[-1][1]
    link = make_link(bench, LosingWorker(
        "i-0", lambda: bench.state.worker_silent("i-0", "cut")))
    link._send_start(order)
    task = bench.state.jobs["j"].tasks[0, 0][0]
    assert task.phase == progress.STOPPING
    assert isinstance(bench.orders[-1][1], messages.StopOrder)


@pytest.mark.parametrize("known_as", ["reported", "unheard"])
def test_worker_that_nobody_listens_for_is_gone_at_once(bench, known_as):
    """Run the tasks of a worker whose process has ended elsewhere at once.

    Symptom: lasting tasks were down for 5 s after their worker crashed, and
    up to 13.5 s after a change of owner.  Events: the worker's process
    ended; its address refused connections; the owner waited for its leases
    to end.  Cause: a refused connection was taken for one without an answer,
    though an address without a listener belongs to no running process.
    """
    bench.add(fleetfakes.job("j"))
    bench.place()
    if known_as == "unheard":
        bench.state.workers["i-0"].reported = False
        bench.state.expect(["i-0"], bench.now + 100)
    link = make_link(bench, ExitedWorker("i-0"))
    link._reports()
    assert "i-0" not in bench.state.workers
    assert not bench.state.unheard
    assert bench.state.jobs["j"].tasks[0, 0][0].phase == progress.IDLE


def test_one_refused_connection_is_not_the_end_of_a_worker(bench):
    """Ask twice: the first refusal may stem from a restart of the link."""
    bench.add(fleetfakes.job("j"))
    bench.place()
    worker = fleetfakes.MemoryWorker("i-0")
    link = make_link(bench, worker)
    link._nobody_listens(surroundings.NobodyListens("connection refused"))
    assert "i-0" in bench.state.workers


def test_entry_of_an_ended_worker_does_not_bring_it_back(bench):
    """Ignore the entry that an ended worker leaves in the list for a while.

    Symptom would be a worker that joins and goes every second until its
    entry lapses.
    """
    bench.state.worker_dead("i-0", "nobody listens at its address")
    assert not bench.state.add_worker(fleetfakes.entry(0))
    bench.state.expire(clock.now() + state_mod.ENTRY_LAPSES_S + 0.1)
    assert bench.state.add_worker(fleetfakes.entry(0))


class DeafToStops(fleetfakes.MemoryWorker):
    """Leave a number of stops unanswered."""

    def __init__(self, worker_id, unanswered):
        super().__init__(worker_id)
        self.unanswered = unanswered

    def stop(self, order, fence):
        if self.unanswered:
            self.unanswered -= 1
            raise surroundings.CallFailed("no answer")
        return super().stop(order, fence)


def test_a_stop_is_sent_until_it_is_answered(bench, monkeypatch):
    """Repeat a stop for as long as the worker does not answer it.

    Symptom would be a task that counts as stopping for ever and never runs
    again.  Events: a start got no answer; its stop got none either, many
    times.  Cause would be to give up on the stop.
    """
    monkeypatch.setattr(link_mod, "RETRY_PAUSE_S", 0.0)
    bench.add(fleetfakes.job("j"))
    bench.place()
    task = bench.state.jobs["j"].tasks[0, 0][0]
    bench.state.stop_run(task, "test")
    worker = DeafToStops("i-0", 100)
    link = make_link(bench, worker)
    link.orders.put(bench.orders[-1][1])
    thread = threading.Thread(target=link._orders)
    thread.start()
    for _ in range(500):
        if worker.over:
            break
        time.sleep(0.01)
    link.close()
    thread.join(5)
    assert worker.over == {task.task: task.run}


def test_a_stop_without_answer_does_not_hold_up_other_orders(bench):
    """Send what else waits for the worker between two tries of a stop."""
    bench.add(fleetfakes.job("j"))
    bench.place()
    task = bench.state.jobs["j"].tasks[0, 0][0]
    bench.state.stop_run(task, "test")
    worker = DeafToStops("i-0", 10 ** 6)
    link = make_link(bench, worker)
    link.orders.put(bench.orders[-1][1])
    link.orders.put(messages.PaceOrder(task.task, task.run, 50))
    thread = threading.Thread(target=link._orders)
    thread.start()
    for _ in range(200):
        if worker.paces:
            break
        time.sleep(0.01)
    link.close()
    thread.join(5)
    assert worker.paces
