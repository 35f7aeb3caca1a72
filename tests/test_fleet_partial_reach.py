"""Test fleets of which the owner reaches only some of the listed workers."""

import threading

import pytest

from sycamorefield.fleet import answers
from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import recorder as recorder_mod
from sycamorefield.fleet import records
from sycamorefield.fleet import recovery
from sycamorefield.fleet import rounds
from sycamorefield.fleet import storedcrashes
from sycamorefield.fleet import suspicion
from sycamorefield.fleet import workerstate
from tests import fleetfakes
from tests import test_fleet_state
from tests import test_fleet_takeover

AWAITED_S = recovery.MAX_STORE_OUTAGE_S + workerstate.LEASE_EXPIRY_S
STEP_S = 0.1


class Successor(test_fleet_state.Bench):
    """A successor that reaches worker i-1 and not i-0; both are listed."""

    def __init__(self) -> None:
        super().__init__()
        listed = ["i-0", "i-1"]
        self.state.await_workers(listed, self.now + AWAITED_S)
        for number in range(len(listed)):
            self.state.add_worker(fleetfakes.entry(number))
        self.state.enrol(listed)
        self.state.mark_unresponsive("i-0", "no answer")

    def run(self, seconds: float) -> list[str]:
        """Let time pass; return the starts as "task@worker"."""
        placed = []
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self.state.owner_lease_until = self.now + 2.0
            self.state.update_listed(set(self.state.workers), self.now)
            self.report("i-1", [
                messages.RunningTask(task, run, "", 0)
                for task, run in self.state.workers["i-1"].tasks])
            self.state.expire(self.now)
            placed += self.place()
            for job in self.state.jobs.values():
                job.stored_quarantine_workers = dict(job.quarantine_workers)
        return placed


def test_stored_quarantine_on_an_unreachable_worker_does_not_block_its_task():
    """Guards against waiting for a report of a worker that is cut off."""
    successor = Successor()
    successor.add(fleetfakes.job("j"), 5)
    job = successor.state.jobs["j"]
    task = job.find(messages.TaskId("j", 0, 0, 0))
    task.suspicion = suspicion.Suspicion(["i-9"], [0.1], likely=True)
    job.quarantine_workers = {task.task: "i-0"}
    job.stored_quarantine_workers = dict(job.quarantine_workers)
    job.stored_crashes = storedcrashes.recorded(job)
    successor.state.trials.restore(job, successor.now)
    assert not successor.run(AWAITED_S - 1.0)
    assert successor.run(3.0) == ["j.0.0.0@i-1"]


def make_recorder(bench, store):
    store.commit(messages.Transaction(
        puts=(messages.Put(records.OWNER_KEY, b"me"),)))
    bench.state.fence = store.items[records.OWNER_KEY].revision
    return recorder_mod.Recorder(
        store, bench.state, records.OWNER_KEY, lambda: True,
        lambda reason: None, lambda ends: None)


@pytest.mark.parametrize(("awaited", "reported", "stored"), [
    ([], [], []),
    ([], ["i-0"], ["i-0"]),
    (["i-1"], ["i-0"], ["i-0", "i-1"]),
])
def test_successor_awaits_no_worker_that_cannot_have_runs(
        awaited, reported, stored):
    """Guards against jobs held back for workers that the owner can't reach."""
    bench = test_fleet_state.Bench()
    bench.state.await_workers(awaited, bench.now + AWAITED_S)
    for number in range(2):
        bench.state.add_worker(fleetfakes.entry(number))
    for worker_id in reported:
        bench.report(worker_id)
    store = fleetfakes.MemoryStore()
    assert make_recorder(bench, store).flush()
    assert sorted(records.decode_mapping(
        store.items[records.WORKERS_KEY].value)) == stored


@pytest.mark.parametrize(("answered", "most_held_back"), [
    (True, 0), (False, workerstate.MAX_CONSECUTIVE_FAILURES)])
def test_worker_that_leaves_starts_unanswered_gets_few_more(
        answered, most_held_back, monkeypatch):
    """Guards against a worker that reports and holds back task after task."""
    bench = test_fleet_state.Bench(
        fleetfakes.entry(0, 8000), fleetfakes.entry(1, 16_000))
    monkeypatch.setattr(clock, "now", lambda: bench.now)
    held_back = []
    for number in range(7):
        bench.add(fleetfakes.job(f"j-{number}"), 20 + number)
        bench.now += 0.2
        before = len(bench.orders)
        rounds.place(bench.state, bench.now, 1e12)
        for worker_id, order in bench.orders[before:]:
            if answered or worker_id == "i-1":
                answers.record_started(
                    bench.state, worker_id, order, bench.now)
            else:
                held_back.append(str(order.task))
                answers.stop_uncertain_run(bench.state, worker_id, order)
        for worker_id, worker in bench.state.workers.items():
            bench.report(worker_id, [
                messages.RunningTask(task, run, "", 0)
                for (task, run), state in worker.tasks.items()
                if state.phase == progress.RUNNING])
    assert len(held_back) <= most_held_back


def give_up_awaited(bench, recorder):
    bench.state.await_workers(["i-0"], bench.now + 1.0)
    bench.state.add_worker(fleetfakes.entry(0))
    assert recorder.flush()
    bench.state.mark_unresponsive("i-0", "no answer")
    bench.now += 2.0
    bench.state.owner_lease_until = bench.now + 2.0
    bench.state.expire(bench.now)


def remove_and_list_again(bench, recorder):
    bench.state.add_worker(fleetfakes.entry(0))
    bench.report("i-0")
    assert recorder.flush()
    bench.state._remove_worker(bench.state.workers["i-0"], "lease expired")
    bench.state.add_worker(fleetfakes.entry(0))


@pytest.mark.parametrize("change", [give_up_awaited, remove_and_list_again])
def test_worker_that_was_taken_off_the_stored_list_is_not_used(change):
    """Guards against runs on workers that a successor does not await."""
    bench = test_fleet_state.Bench()
    store = fleetfakes.MemoryStore()
    recorder = make_recorder(bench, store)
    change(bench, recorder)
    assert recorder.flush()
    stored = records.decode_mapping(store.items[records.WORKERS_KEY].value)
    bench.state.update_listed({"i-0"}, bench.now)
    bench.report("i-0")
    assert (not bench.state.workers["i-0"].usable(bench.now)
            or "i-0" in stored)


class OutageAtAdditionStore(fleetfakes.MemoryStore):
    """Refuse calls from a list on that has added_worker_id again."""

    added_worker_id = ""
    before_commit = None

    def commit(self, transaction):
        if any(put.key == records.WORKERS_KEY and self.added_worker_id
               and self.added_worker_id in records.decode_mapping(put.value)
               for put in transaction.puts):
            self.added_worker_id = ""
            self.before_commit()
            self.refuse = True
            raise interfaces.CallFailed("no answer")
        return super().commit(transaction)


def test_no_task_starts_twice_on_a_worker_that_was_given_up_and_came_back():
    """Guards against a takeover between a start and the write of its list."""
    fleet = test_fleet_takeover.Fleet()
    fleet.store = store = OutageAtAdditionStore()
    fleet.take_over()

    def wait_for(condition):
        def renew_lease_and_check():
            if not store.refuse:
                fleet.owner.note_lease_renewal(clock.now())
            return condition()

        test_fleet_takeover.wait_for(renew_lease_and_check)

    try:
        wait_for(lambda: all(w.usable(clock.now())
                             for w in fleet.owner.fleet.workers.values())
                 and len(fleet.owner.fleet.workers) == 2)
        fleet.submit(fleetfakes.job("fill", messages.Step(
            1, messages.Resources(4000, 10), requires="r1")))
        wait_for(lambda: fleet.running() == ["fill.0.0.0"])
        # The path to i-0 is cut; it stays listed; its leases expire.
        fleet.workers["i-0"].unresponsive = True
        with fleet.owner.fleet.lock:
            fleet.owner.fleet._remove_worker(
                fleet.owner.fleet.workers["i-0"], "lease expired")
            fleet.owner.worker_links.update_workers(
                fleet.worker_list.entries)
        wait_for(lambda: list(records.decode_mapping(
            store.items[records.WORKERS_KEY].value)) == ["i-1"])
        fleet.submit(fleetfakes.job("a"))

        def wait_until_started():
            end = clock.now() + 1.0
            while clock.now() < end and "a.0.0.0" not in fleet.running():
                threading.Event().wait(0.01)

        store.before_commit = wait_until_started
        store.added_worker_id = "i-0"
        # The path heals.
        fleet.workers["i-0"].unresponsive = False
        wait_for(lambda: store.refuse)
        fleet.owner.step_down("killed")
        test_fleet_takeover.finish(fleet, "fill.0.0.0")
        # The link of the successor to i-0 needs a moment longer.
        fleet.workers["i-0"].unresponsive = True
        store.refuse = False
        fleet.take_over()
        wait_for(lambda: fleet.running().count("a.0.0.0") > 0)
        threading.Event().wait(0.5)
        assert fleet.starts().count("a.0.0.0") == 1
    finally:
        fleet.owner.step_down("test over")


def test_answered_start_ends_the_count_of_unanswered_ones():
    """Guards against avoiding a sound worker for starts lost long ago."""
    bench = test_fleet_state.Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("j"))
    worker = bench.state.workers["i-0"]
    for _ in range(workerstate.MAX_CONSECUTIVE_FAILURES - 1):
        assert not worker.record_unanswered_start(bench.now)
    assert bench.place() == ["j.0.0.0@i-0"]
    assert not worker.record_unanswered_start(bench.now)
