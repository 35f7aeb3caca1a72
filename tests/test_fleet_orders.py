"""Show that orders reach workers soon, and the urgent ones first."""

import threading
import time

import pytest

from sycamorefield.fleet import answers
from sycamorefield.fleet import clock
from sycamorefield.fleet import link as link_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import owner as owner_mod
from sycamorefield.fleet import rounds
from sycamorefield.fleet import workerstate
from tests import fleetfakes
from tests import test_fleet_state

NARROW = messages.Step(60, messages.Room(100, 10))


def roomy_bench(workers: int = 1) -> test_fleet_state.Bench:
    """Return a fleet whose room is no limit."""
    return test_fleet_state.Bench(
        *(fleetfakes.entry(n, cpu=100_000) for n in range(workers)))


def starts(bench: test_fleet_state.Bench) -> list[messages.StartOrder]:
    return [order for _, order in bench.orders
            if isinstance(order, messages.StartOrder)]


@pytest.mark.parametrize("workers", [1, 3])
def test_few_starts_wait_to_be_sent_to_a_worker(workers):
    """Give a worker no more starts than it is sent soon.

    Symptom: lasting tasks were down for 15 s though they had been placed;
    cancelled tasks ran on for 12 to 14 s; short tasks of 0.6 s held their
    room for 8 s.  Events: while a round of placing held the fleet's lock for
    a second, each worker's link sent one order a round; rounds went on
    placing on every worker that had room, 5 to 14 orders ahead of what was
    sent.  Cause: the queue of orders had no limit, so room was given to
    starts that could not be sent, and stops waited behind them.
    Evidence: 833 of 1,231 reports of a worker listed exactly one short run
    that had ended since the last round; a lasting task was ordered at
    34.7 s behind 7 others and begun at 43.0 s.
    """
    bench = roomy_bench(workers)
    bench.add(fleetfakes.job("j", NARROW))
    rounds.place(bench.state, bench.now, 0)
    assert len(starts(bench)) == workers * workerstate.UNSENT_STARTS
    rounds.place(bench.state, bench.now, 0)
    assert len(starts(bench)) == workers * workerstate.UNSENT_STARTS
    first = starts(bench)[0]
    worker_id = bench.orders[0][0]
    bench.state.changed = False
    assert answers.still_wanted(bench.state, worker_id, first)
    assert bench.state.changed
    rounds.place(bench.state, bench.now, 0)
    assert len(starts(bench)) == workers * workerstate.UNSENT_STARTS + 1


def test_nothing_gives_way_where_room_waits_for_orders_to_be_sent():
    """Stop no run for a task that has room as soon as orders are out."""
    bench = roomy_bench()
    bench.add(fleetfakes.job("patient", messages.Step(
        1, messages.Room(90_000, 10)), queue="renewals", priority=2))
    bench.place()
    bench.add(fleetfakes.job("urgent", NARROW), 21)
    rounds.place(bench.state, bench.now, 0)
    rounds.place(bench.state, bench.now, 0)
    assert not bench.stops()


def test_stops_go_before_starts_that_wait():
    """Stop a cancelled task at once.

    Symptom: a task ran on 14 s after its job's cancellation was stored.
    Events and cause as above: the stop waited behind unsent starts.
    """
    queue = link_mod.OrderQueue()
    task = messages.TaskId("j", 0, 0, 0)
    orders = [messages.StartOrder(task, 1, "s"), messages.PaceOrder(
        task, 1, 50), messages.StartOrder(task, 2, "s"),
        messages.StopOrder(task, 1), messages.StopOrder(task, 2)]
    for order in orders:
        queue.put(order)
    got = [queue.get() for _ in orders]
    assert got == orders[3:] + orders[:3]


def test_start_that_is_stopped_before_it_was_sent_is_never_sent():
    bench = roomy_bench()
    bench.now = clock.now()
    bench.report("i-0")
    worker = fleetfakes.MemoryWorker("i-0")
    link = link_mod.WorkerLink(
        fleetfakes.entry(0), worker, bench.state, lambda: True,
        lambda: True, lambda reason: None)
    bench.state.send = lambda _, order: link.orders.put(order)
    bench.add(fleetfakes.job("j"))
    rounds.place(bench.state, bench.now, 0)
    bench.state.cancel("j")
    thread = threading.Thread(target=link._orders)
    thread.start()
    time.sleep(0.2)
    link.close()
    thread.join()
    assert not worker.starts
    assert not bench.state.workers["i-0"].reserved


def test_job_counts_as_waiting_until_a_worker_has_begun_it():
    """Tell callers how many jobs wait, not how many are not ordered yet.

    Symptom: 3 jobs were said to wait while 10 had waited for 5 s.  Events:
    all 10 had orders, which waited up to 10 s to be sent.  Cause: a job
    counted as begun with its first order.
    """
    bench = roomy_bench()
    bench.add(fleetfakes.job("j"))
    rounds.place(bench.state, bench.now, 0)
    assert bench.state.waiting() == {"checks": 1}
    worker_id, order = bench.orders[-1]
    answers.started(bench.state, worker_id, order,
                    bench.now * 1000.0, bench.now)
    assert bench.state.waiting() == {}
    bench.end(worker_id, "j.0.0.0", 1, "lapsed")
    assert bench.state.waiting() == {}


class CountingLock:
    """Count how often a lock is taken by a thread that does not hold it."""

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


def test_workers_that_come_back_together_are_taken_up_together(monkeypatch):
    """Take up all workers of a listing at one turn of the lock.

    Symptom: of 28 workers that had been cut off for 5 s the last was used
    again 24 s after the cut had healed, 14 not before the day's end.  Events:
    they were given up and taken up again in one listing; between any two of
    them a round took the lock for a second.  Cause: the lock was taken for
    each worker.
    """
    monkeypatch.setattr(link_mod.WorkerLink, "start", lambda self: None)
    entries = tuple(fleetfakes.entry(n) for n in range(28))
    owner = owner_mod.Owner(
        fleetfakes.MemoryStore(), fleetfakes.MemoryRoster(entries),
        lambda entry: fleetfakes.MemoryWorker(entry.worker_id),
        fleetfakes.configuration, 5, 6000.0)
    lock = owner.fleet.lock = CountingLock(owner.fleet.lock)
    owner.worker_links.update_workers(entries)
    assert len(owner.worker_links.links) == 28
    assert lock.taken <= 2


def test_nothing_is_placed_while_no_lease_may_be_given(monkeypatch):
    """Order no start that could not be sent with a lease.

    Symptom: 1,386 starts in 4 s were rejected before they were sent, and
    each was placed again at once.  Events: the owner was cut off from the
    store for longer than its own lease and most workers.  Cause: placing did
    not ask what sending asks.
    """
    store = fleetfakes.MemoryStore()
    owner = owner_mod.Owner(
        store, fleetfakes.MemoryRoster(()), lambda entry: None,
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
