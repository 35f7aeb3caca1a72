"""Test what follows from refused connections to a worker.

Its process may have ended, or its link may be cut while it runs on.
"""

import asyncio
import dataclasses

import pytest

from sycamorefield.fleet import clock
from sycamorefield.fleet import crashes
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import link as link_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import reports
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import storedcrashes
from sycamorefield.fleet import workerstate
from tests import fleetfakes
from tests import test_fleet_state

TASK = messages.TaskId("j", 0, 0, 0)
BORN_MS = 1_000
WORKERS = 4
# Calls before a scenario continues; the first two are refused quickly.
CALLS = 6
AWAITED_S = 13.5


class RefusedBench(test_fleet_state.Bench):
    """A fleet with one run, whose worker begins to refuse connections."""

    def __init__(self, monkeypatch):
        super().__init__()
        monkeypatch.setattr(clock, "now", lambda: self.now)
        monkeypatch.setattr(link_mod, "RETRY_DELAY_S", 0.0)
        for number in range(WORKERS):
            self.state.add_worker(self.entry(number))
            self.report(f"i-{number}")
        self.state.enrol(list(self.state.workers))
        self.read_list()
        self.add(fleetfakes.job("j"))
        (placed,) = self.place()
        self.worker_id = placed.split("@")[1]
        self.worker.grant_lease(workerstate.LEASE_MS, self.now)

    @staticmethod
    def entry(number):
        return dataclasses.replace(
            fleetfakes.entry(number), born_ms=BORN_MS)

    def take_over(self):
        """Let the next owner load the job and wait for all workers."""
        stored = progress.encode_progress(self.state.jobs["j"])
        workers = self.state.workers
        self.state = state_mod.FleetState(
            30, 6000.0, lambda worker, order: self.orders.append(
                (worker, order)), fleetfakes.configuration)
        job = self.state.add_job(fleetfakes.job("j"), 20)
        progress.apply_progress(job, stored)
        self.state.trials.restore(job, self.now)
        self.state.await_workers(workers, self.now + AWAITED_S)
        for worker in workers.values():
            self.state.add_worker(worker.entry)
        self.read_list()
        for worker_id in workers:
            if worker_id != self.worker_id:
                self.report(worker_id)

    @property
    def worker(self):
        return self.state.workers[self.worker_id]

    @property
    def task(self):
        return self.state.find(TASK)[1]

    def report(self, worker_id, running=(), ended=(), born_ms=BORN_MS):
        reports.apply_report(self.state, worker_id, messages.WorkerReport(
            self.now * 1000.0, tuple(running), tuple(ended), born_ms),
            self.now, self.now)

    def report_run(self, born_ms=BORN_MS):
        self.report(self.worker_id, [messages.RunningTask(
            TASK, self.task.run, "", 10)], born_ms=born_ms)

    def read_list(self):
        self.state.update_listed(set(self.state.workers), self.now)

    def refuse(self, then=None):
        """Refuse calls over a link; then fail them with another error."""
        worker = RefusingWorker(self.worker_id, then)
        link = link_mod.WorkerLink(
            self.worker.entry, worker, self.state, lambda: True,
            lambda: True, lambda reason: None)
        worker.link = link
        asyncio.run(link._renew_leases())

    def pass_time(self, seconds):
        """Let time pass in steps, with the other workers' reports."""
        until = self.now + seconds
        while self.now < until:
            self.now += 0.1
            for worker_id in list(self.state.workers):
                if worker_id != self.worker_id:
                    self.report(worker_id)
            self.read_list()
            self.state.expire(self.now)

    def suspected(self):
        return (self.task.suspicion.workers
                if self.task.suspicion is not None else [])


class RefusingWorker(fleetfakes.MemoryWorker):
    """Refuse the first connections, then raise another error if any."""

    def __init__(self, worker_id, then):
        super().__init__(worker_id)
        self.then = then
        self.calls = 0
        self.link = None

    async def renew(self, fence, recorded_upto, lease_end_ms, wait_ms,
                    answer_s=0.0):
        self.calls += 1
        if self.calls == CALLS:
            self.link.closed = self.then is None
            if self.then is not None:
                raise self.then
        raise interfaces.ConnectionRefused("connection refused")


@pytest.fixture(name="bench")
def fixture_bench(monkeypatch):
    return RefusedBench(monkeypatch)


@pytest.mark.parametrize("waited_s", [0.0, 1.0, 4.0, 4.8])
def test_task_of_a_refusing_worker_waits_for_its_leases(bench, waited_s):
    """Guards against a second run while the first one goes on."""
    bench.refuse()
    bench.pass_time(waited_s)
    assert not bench.place()
    assert bench.task.worker_id == bench.worker_id
    bench.pass_time(workerstate.LEASE_EXPIRY_S - waited_s + 0.1)
    bench.place()
    assert bench.worker_id not in bench.state.workers
    assert bench.state.jobs["j"].quarantine_workers or (
        bench.task.worker_id != bench.worker_id)


def test_owner_without_its_lease_frees_no_task_of_a_refusing_worker(bench):
    """Guards against a second run if a successor has extended the leases."""
    bench.state.owner_lease_until = bench.now
    bench.refuse()
    bench.pass_time(workerstate.LEASE_EXPIRY_S + 1.0)
    assert bench.task.worker_id == bench.worker_id
    bench.state.owner_lease_until = bench.now + 1.0
    bench.pass_time(0.1)
    assert bench.task.phase == progress.IDLE


def test_nothing_starts_on_a_refusing_worker(bench):
    """Guards against starts that wait for a worker that may have ended."""
    bench.refuse()
    bench.add(fleetfakes.job("k", messages.Step(
        WORKERS, messages.Resources(3000, 10))), 21)
    placed = bench.place()
    assert len(placed) == WORKERS - 1
    assert not any(name.endswith("@" + bench.worker_id) for name in placed)


def test_task_of_a_refusing_worker_is_freed_once_another_answers(bench):
    """Guards against waiting for the leases of a life that has ended."""
    bench.refuse(interfaces.IncarnationMismatch("i-9"))
    assert bench.worker_id not in bench.state.workers
    assert bench.task.phase == progress.IDLE
    assert bench.suspected() == [bench.worker_id]


def test_task_of_a_refusing_worker_is_freed_by_a_later_life(bench):
    """Guards against waiting for a worker that started again under its ID."""
    bench.refuse()
    bench.pass_time(0.5)
    bench.report(bench.worker_id, born_ms=BORN_MS + 1)
    assert bench.task.phase == progress.IDLE
    assert bench.suspected() == [bench.worker_id]


@pytest.mark.parametrize("silent_s", [0.5, 3.0, 4.8])
def test_run_goes_on_if_its_worker_answers_again(bench, silent_s):
    """Guards against taking a cut for a crash."""
    run = bench.task.run
    bench.refuse()
    bench.pass_time(silent_s)
    bench.report_run()
    assert (bench.task.phase, bench.task.run) == (progress.RUNNING, run)
    assert not bench.place()
    assert not bench.suspected()


def test_task_is_not_suspected_once_a_removed_worker_answers(bench):
    """Guards against taking a cut that outlasts the leases for a crash."""
    bench.refuse()
    bench.pass_time(workerstate.LEASE_EXPIRY_S + 0.2)
    assert bench.suspected() == [bench.worker_id]
    bench.state.add_worker(bench.entry(int(bench.worker_id[2:])))
    bench.report(bench.worker_id)
    assert not bench.suspected()


def test_crash_is_recorded_although_leases_expire_later(bench):
    """Guards against losing the evidence of a crash while leases last."""
    bench.refuse()
    bench.pass_time(workerstate.LEASE_EXPIRY_S + 0.2)
    record = bench.task.suspicion
    assert record.workers == [bench.worker_id]
    assert record.ages_s == [pytest.approx(0.0, abs=0.2)]
    assert record.needs_quarantine_run()


def start_again(bench):
    """Start the suspected task in quarantine; its crashes are stored."""
    job = bench.state.jobs["j"]
    for _ in range(3):
        bench.place()
        job.stored_quarantine_workers = dict(job.quarantine_workers)
        job.stored_crashes = storedcrashes.recorded(job)
    assert bench.task.phase == progress.RUNNING
    bench.worker_id = bench.task.worker_id
    bench.worker.grant_lease(workerstate.LEASE_MS, bench.now)


def replace(bench):
    """Let a worker with another ID answer at the worker's address."""
    crashes.worker_replaced(bench.state, bench.worker_id)


def expire(bench):
    """Let the leases of the worker expire while it refuses connections."""
    bench.pass_time(AWAITED_S if bench.state.awaited_workers
                    else workerstate.LEASE_EXPIRY_S + 0.2)
    assert bench.task.phase == progress.IDLE


def report_successor(bench, address=""):
    """Let another worker report from the worker's address."""
    bench.state.add_worker(dataclasses.replace(
        fleetfakes.entry(99), born_ms=BORN_MS,
        address=address or bench.worker.entry.address))
    bench.report("i-99")


def expire_and_report_successor(bench):
    """Let another worker report from the address once leases expired."""
    address = bench.worker.entry.address
    expire(bench)
    report_successor(bench, address)


def expire_and_report_later_life(bench):
    """Let a later life of the worker report once leases expired."""
    expire(bench)
    bench.state.add_worker(bench.entry(int(bench.worker_id[2:])))
    bench.report(bench.worker_id, born_ms=BORN_MS + 1)


def expire_and_report(bench):
    """Let the same life of the worker report once leases expired."""
    expire(bench)
    bench.state.add_worker(bench.entry(int(bench.worker_id[2:])))
    bench.report(bench.worker_id)


@pytest.mark.parametrize("end, suspected, fails", [
    (RefusedBench.report_run, 2, False),
    (expire, 3, False),
    (expire_and_report, 2, False),
    (replace, 3, True),
    (report_successor, 3, True),
    (expire_and_report_successor, 3, True),
    (expire_and_report_later_life, 3, True)])
def test_job_fails_only_if_crashes_in_quarantine_are_proven(
        bench, end, suspected, fails):
    """Guards against giving up a task whose worker was cut off."""
    job = bench.state.jobs["j"]
    for _ in range(2):
        bench.refuse()
        replace(bench)
        start_again(bench)
    bench.refuse()
    assert len(bench.suspected()) == 3
    assert not job.final()
    end(bench)
    assert len(bench.suspected()) == suspected
    assert job.final() is fails


def test_crash_that_is_proven_is_not_recorded_again(bench):
    """Guards against a second judgement, by what has failed since.

    The link of the worker may be refused once more before it is closed.
    """
    bench.refuse()
    link_refused = bench.worker_id
    report_successor(bench)
    assert bench.task.phase == progress.IDLE
    assert bench.worker_id not in bench.state.workers
    crashes.worker_refused_connection(bench.state, link_refused)
    crashes.worker_replaced(bench.state, link_refused)
    assert bench.suspected() == [bench.worker_id]


def test_entry_of_another_life_proves_nothing_at_its_address(bench):
    """Guards against a report that came from an earlier address."""
    bench.refuse()
    bench.state.add_worker(dataclasses.replace(
        fleetfakes.entry(99), born_ms=BORN_MS + 1,
        address=bench.worker.entry.address))
    bench.report("i-99", born_ms=BORN_MS)
    assert bench.task.worker_id == bench.worker_id


def test_answer_of_a_life_that_is_not_known_proves_no_crash(bench):
    """Guards against giving up a task whose first report was not seen."""
    for _ in range(2):
        bench.refuse()
        replace(bench)
        start_again(bench)
    bench.worker.born_ms = 0
    bench.refuse()
    bench.report_run()
    assert len(bench.suspected()) == 3
    assert not bench.state.jobs["j"].final()


@pytest.mark.parametrize("owner_changes, starts", [(0, 5), (1, 4), (2, 3)])
def test_task_without_proven_crashes_is_not_started_too_often(
        bench, owner_changes, starts):
    """Guards against starts without end if no crashed worker comes back."""
    job = bench.state.jobs["j"]
    job.owner_changes = owner_changes
    for _ in range(starts - 1):
        bench.refuse()
        expire(bench)
        assert not job.final()
        number = WORKERS + len(bench.suspected())
        bench.state.add_worker(bench.entry(number))
        bench.report(f"i-{number}")
        bench.state.enrol(list(bench.state.workers))
        bench.read_list()
        start_again(bench)
    bench.refuse()
    assert not job.final()
    expire(bench)
    assert job.final()
    assert len(bench.suspected()) == starts


@pytest.mark.parametrize("end, suspected, fails", [
    (replace, 3, True), (expire, 3, False), (RefusedBench.report_run, 2, False)
])
def test_crash_of_an_earlier_owner_is_proven_by_a_later_one(
        bench, end, suspected, fails):
    """Guards against a new owner that takes a suspected crash for proven."""
    for _ in range(2):
        bench.refuse()
        replace(bench)
        start_again(bench)
    bench.refuse()
    run = bench.task.run
    bench.take_over()
    assert len(bench.suspected()) == 3
    assert not bench.state.jobs["j"].settle()
    bench.refuse()
    bench.task.run = run
    end(bench)
    assert len(bench.suspected()) == suspected
    assert bench.state.jobs["j"].final() is fails


def test_awaited_worker_that_refuses_is_waited_for(bench):
    """Guards against a second run of a task that an earlier owner started."""
    bench.worker.has_reported = False
    bench.worker.clock_read_at = 0.0
    bench.state.await_workers([bench.worker_id], bench.now + AWAITED_S)
    bench.state.owner_lease_until = bench.now + 2 * AWAITED_S
    bench.refuse()
    bench.pass_time(1.0)
    assert bench.worker_id in bench.state.awaited_workers
    bench.pass_time(AWAITED_S)
    assert not bench.state.awaited_workers


@pytest.mark.parametrize("born_ms", [BORN_MS, 0])
def test_crash_that_an_earlier_owner_recorded_counts_once(bench, born_ms):
    """Guards against giving up a task for one crash that two owners see."""
    bench.worker.born_ms = born_ms
    bench.refuse()
    bench.state.crash_records.by_worker.clear()
    bench.refuse()
    assert bench.suspected() == [bench.worker_id]
