"""Test fleets of which the owner reaches only some of the listed workers."""

import pytest

from sycamorefield.fleet import answers
from sycamorefield.fleet import clock
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import recorder as recorder_mod
from sycamorefield.fleet import records
from sycamorefield.fleet import recovery
from sycamorefield.fleet import rounds
from sycamorefield.fleet import suspicion
from sycamorefield.fleet import workerstate
from tests import fleetfakes
from tests import test_fleet_state

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
    successor.state.trials.restore(job, successor.now)
    assert not successor.run(AWAITED_S - 1.0)
    assert successor.run(3.0) == ["j.0.0.0@i-1"]


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
    store.commit(messages.Transaction(
        puts=(messages.Put(records.OWNER_KEY, b"me"),)))
    bench.state.fence = store.items[records.OWNER_KEY].revision
    recorder = recorder_mod.Recorder(
        store, bench.state, records.OWNER_KEY, lambda: True,
        lambda reason: None, lambda ends: None)
    assert recorder.flush()
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
