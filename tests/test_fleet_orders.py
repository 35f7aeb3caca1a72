"""Test that orders are sent to workers soon, and urgent ones first."""

import threading
import time

import pytest

from sycamorefield.fleet import answers
from sycamorefield.fleet import clock
from sycamorefield.fleet import link as link_mod
from sycamorefield.fleet import loopthread
from sycamorefield.fleet import messages
from sycamorefield.fleet import owner as owner_mod
from sycamorefield.fleet import rounds
from sycamorefield.fleet import workerstate
from tests import fleetfakes
from tests import test_fleet_state

SMALL_TASKS = messages.Step(60, messages.Resources(100, 10))


def large_worker_bench(workers: int = 1) -> test_fleet_state.Bench:
    """Return a fleet of workers with more capacity than tasks need."""
    return test_fleet_state.Bench(
        *(fleetfakes.entry(n, cpu=100_000) for n in range(workers)))


def starts(bench: test_fleet_state.Bench) -> list[messages.StartOrder]:
    return [order for _, order in bench.orders
            if isinstance(order, messages.StartOrder)]


@pytest.mark.parametrize("workers", [1, 3])
def test_number_of_unsent_starts_per_worker_is_limited(workers):
    """Unlimited order queues would reserve resources for unsent starts.

    While placement rounds held the lock for 1 s each, a worker's link sent
    one order per round, but rounds placed tasks 5 to 14 orders ahead.  Placed
    long-running tasks were down for 15 s, cancelled tasks ran on for 12 to
    14 s as stops were queued behind starts, and tasks of 0.6 s held their
    resources for 8 s.  833 of 1,231 reports of a worker listed exactly one
    finite run that had ended since the last round, and a long-running task
    ordered at 34.7 s behind 7 others began at 43.0 s.
    """
    bench = large_worker_bench(workers)
    bench.add(fleetfakes.job("j", SMALL_TASKS))
    rounds.place(bench.state, bench.now, 0)
    assert len(starts(bench)) == workers * workerstate.MAX_UNSENT_STARTS
    rounds.place(bench.state, bench.now, 0)
    assert len(starts(bench)) == workers * workerstate.MAX_UNSENT_STARTS
    first = starts(bench)[0]
    worker_id = bench.orders[0][0]
    bench.state.round_needed = False
    assert answers.should_send(bench.state, worker_id, first)
    assert bench.state.round_needed
    rounds.place(bench.state, bench.now, 0)
    assert len(starts(bench)) == workers * workerstate.MAX_UNSENT_STARTS + 1


def test_no_run_is_preempted_where_only_unsent_starts_block_placement():
    """A task that fits once queued orders are sent needs no preemption."""
    bench = large_worker_bench()
    bench.add(fleetfakes.job("low", messages.Step(
        1, messages.Resources(90_000, 10)), queue="renewals", priority=2))
    bench.place()
    bench.add(fleetfakes.job("urgent", SMALL_TASKS), 21)
    rounds.place(bench.state, bench.now, 0)
    rounds.place(bench.state, bench.now, 0)
    assert not bench.stops()


def test_stops_are_sent_before_queued_starts():
    """A stop queued behind unsent starts would delay a cancellation.

    A task ran on for 14 s after the cancellation of its job was stored.
    """
    queue = link_mod.OrderQueue()
    task = messages.TaskId("j", 0, 0, 0)
    orders = [messages.StartOrder(task, 1, "s"), messages.PaceOrder(
        task, 1, 50), messages.StartOrder(task, 2, "s"),
        messages.StopOrder(task, 1), messages.StopOrder(task, 2)]
    for order in orders:
        queue.put(order)
    got = [queue.pop() for _ in orders]
    assert got == orders[3:] + orders[:3]


def test_start_stopped_while_queued_is_never_sent():
    bench = large_worker_bench()
    bench.now = clock.now()
    bench.report("i-0")
    worker = fleetfakes.MemoryWorker("i-0")
    link = link_mod.WorkerLink(
        fleetfakes.entry(0), worker, bench.state, lambda: True,
        lambda: True, lambda reason: None)
    bench.state.send = lambda _, order: link.put_order(order)
    bench.add(fleetfakes.job("j"))
    rounds.place(bench.state, bench.now, 0)
    bench.state.cancel("j")
    loop_thread = loopthread.LoopThread()
    link.start(loop_thread)
    time.sleep(0.2)
    link.close()
    loop_thread.stop()
    assert not worker.starts
    assert not bench.state.workers["i-0"].reserved


def test_job_counts_as_waiting_until_a_worker_has_begun_it():
    """Counting a job as started by its first order would hide waiting jobs.

    Start orders were queued for up to 10 s: 3 jobs were reported as waiting
    while 10 had been waiting for 5 s.
    """
    bench = large_worker_bench()
    bench.add(fleetfakes.job("j"))
    rounds.place(bench.state, bench.now, 0)
    assert bench.state.count_waiting_jobs() == {"checks": 1}
    worker_id, order = bench.orders[-1]
    answers.record_started(bench.state, worker_id, order, bench.now)
    assert bench.state.count_waiting_jobs() == {}
    bench.end(worker_id, "j.0.0.0", 1, "lapsed")
    assert bench.state.count_waiting_jobs() == {}


class CountingLock:
    """Count acquisitions of a lock by a thread that does not hold it."""

    def __init__(self, lock):
        self.lock = lock
        self.taken = 0
        self.depth = 0

    def __enter__(self):
        self.lock.acquire()
        self.taken += not self.depth
        self.depth += 1

    def __exit__(self, *_):
        self.depth -= 1
        self.lock.release()


def test_returning_workers_are_added_under_one_lock_acquisition(monkeypatch):
    """Acquiring the lock once per worker would delay the use of workers.

    Between any two acquisitions a placement round may hold the lock for 1 s.
    Of 28 workers that returned together after a partition of 5 s, the last
    one was used again 24 s after its end, and 14 not within the whole test
    day.
    """
    monkeypatch.setattr(link_mod.WorkerLink, "start",
                        lambda self, loop_thread: None)
    entries = tuple(fleetfakes.entry(n) for n in range(28))
    owner = owner_mod.Owner(
        fleetfakes.MemoryStore(), fleetfakes.MemoryWorkerList(entries),
        lambda entry: fleetfakes.MemoryWorker(entry.worker_id),
        fleetfakes.configuration, 5, 6000.0)
    lock = owner.fleet.lock = CountingLock(owner.fleet.lock)
    owner.worker_links.update_workers(entries)
    assert len(owner.worker_links.links) == 28
    assert lock.taken <= 2


def test_nothing_is_placed_while_no_lease_can_be_granted(monkeypatch):
    """Placing tasks that cannot be sent with a lease would be a busy loop.

    An owner cut off from most workers, and from the store for longer than its
    own lease, placed tasks at once again after their starts were rejected
    unsent: 1,386 starts in 4 s.  Placement needs the same check as sending.
    """
    store = fleetfakes.MemoryStore()
    owner = owner_mod.Owner(
        store, fleetfakes.MemoryWorkerList(()), lambda entry: None,
        fleetfakes.configuration, 5, 6000.0)
    placed = []
    monkeypatch.setattr(rounds, "place",
                        lambda fleet, now, wall_ms: placed.append(now))
    owner.lease_renewed_at = clock.now() - owner_mod.OWNER_LEASE_S - 0.5
    thread = threading.Thread(target=owner._run_rounds)
    thread.start()
    time.sleep(0.4)
    assert not placed
    owner.lease_renewed_at = clock.now()
    time.sleep(0.4)
    assert placed
    owner.step_down("test over")
    thread.join()
