"""Test how worker crashes are detected and attributed to tasks."""

import asyncio
import contextlib
import threading
import time
import typing

import pytest

from sycamorefield import events
from sycamorefield.fleet import answers
from sycamorefield.fleet import clock
from sycamorefield.fleet import crashes
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import owner as owner_mod
from sycamorefield.fleet import progress
from sycamorefield.fleet import records
from sycamorefield.fleet import rounds
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import storedcrashes
from sycamorefield.fleet import suspicion
from tests import fleetfakes
from tests import test_fleet_state
from tests import test_fleet_takeover

WORKERS = 6
# The time after which a crashed worker restarts under a new id.
RESTART_DELAY_S = 0.6
SMALL_RESOURCES = messages.Resources(300, 100)
# A task that crashes its workers is started at most twice after the third
# crash.
MAX_STARTS = 5
# The starts of a task that crashes its workers at once, if each crash is
# noticed at once and none is lost.
MIN_STARTS = 3
# A crash that is noticed this late seems to have happened at another run age
# than the others, and to a run that had not just started.
LATE_NOTICE_S = 0.7
WAIT_TIMEOUT_S = 25.0


class LateClosingWorker(fleetfakes.MemoryWorker):
    """A worker whose connection is closed some time after its crash."""

    def __init__(self, worker_id: str,
                 close_delay_s: typing.Callable[[], float]) -> None:
        super().__init__(worker_id)
        self.close_delay_s = close_delay_s

    async def renew(self, fence, recorded_upto, lease_end_ms, wait_ms,
                    answer_s=interfaces.REPORT_ANSWER_S):
        try:
            return await super().renew(fence, recorded_upto, lease_end_ms,
                                       wait_ms, answer_s)
        except interfaces.ConnectionClosed:
            await asyncio.sleep(self.close_delay_s())
            raise


class CrashingFleet(test_fleet_takeover.LeasedFleet):
    """Workers that some jobs crash and that restart under new ids."""

    def __init__(self) -> None:
        super().__init__(0)
        # Job ids whose tasks crash every worker, and the run age in seconds.
        self.crashing: dict[str, float] = {}
        # How late the crash after each start of the job "bad" is noticed.
        self.notice_delays_s: dict[int, float] = {}
        self.lock = threading.Lock()
        self.restarts_workers = True
        for number in range(WORKERS):
            self.join(number, 0)

    def join(self, number: int, generation: int) -> None:
        """Start a worker and add it to the worker list."""
        address = fleetfakes.entry(number).address
        entry = fleetfakes.entry(100 * generation + number, address=address,
                                 labels=("a", f"r{number % 2}"))
        worker = LateClosingWorker(
            entry.worker_id, lambda: self.notice_delays_s.get(
                self.count_starts("bad"), 0.0))
        worker.crashing = self.crashing
        worker.on_crash = lambda: self.crashed(number, generation)
        with self.lock:
            for other in self.workers.values():
                other.restarted |= other.crashed and (
                    int(other.worker_id[2:]) % 100 == number)
            self.workers[entry.worker_id] = worker
            self.worker_list.entries += (entry,)

    def crashed(self, number: int, generation: int) -> None:
        """Restart a crashed worker after RESTART_DELAY_S."""
        if self.restarts_workers:
            threading.Timer(RESTART_DELAY_S, self.join,
                            (number, generation + 1)).start()

    def count_starts(self, job_id: str) -> int:
        """Return the number of starts of a job's tasks."""
        return sum(name.startswith(job_id + ".") for name in self.starts())


@pytest.fixture(name="fleet")
def fixture_fleet() -> typing.Iterator[CrashingFleet]:
    fleet = CrashingFleet()
    yield fleet
    fleet.restarts_workers = False
    if fleet.owner is not None:
        fleet.owner.step_down("test over")


def wait_for(condition: typing.Callable[[], bool],
             limit_s: float = WAIT_TIMEOUT_S) -> None:
    """Wait until a condition holds; fail after limit_s seconds."""
    end = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < end, "condition not met in time"
        time.sleep(0.01)


def is_ready(owner: owner_mod.Owner) -> bool:
    """Return whether an owner can use all workers."""
    return owner.recovered and sum(
        w.enrolled and w.has_reported
        for w in owner.fleet.workers.values()) == WORKERS


@pytest.mark.parametrize("after_s", [0.0, fleetfakes.CRASH_DELAY_S, 0.8],
                         ids=["at-once", "soon", "later"])
@pytest.mark.parametrize("step", [
    messages.Step(1, SMALL_RESOURCES),
    messages.Step(1, SMALL_RESOURCES, perpetual=True),
    messages.Step(2, SMALL_RESOURCES, gang=True),
], ids=["finite", "long-running", "gang"])
def test_task_crashing_its_workers_fails_its_job(fleet, step, after_s):
    """Guards against a task that crashes workers without limit."""
    wait_for(lambda owner=fleet.take_over(): is_ready(owner))
    neighbours = messages.Step(WORKERS, SMALL_RESOURCES, perpetual=True)
    fleet.submit(fleetfakes.job("neighbour", neighbours))
    wait_for(lambda: len(fleet.running()) == WORKERS)
    fleet.crashing["bad"] = after_s
    fleet.submit(fleetfakes.job("bad", step))
    wait_for(lambda: fleet.state("bad") == messages.JOB_FAILED)
    assert fleet.count_starts("bad") <= MAX_STARTS * step.count
    wait_for(lambda: len(fleet.running()) == WORKERS)
    assert fleet.state("neighbour") not in messages.FINAL_STATES
    assert records.final_key("bad") in fleet.store.items


FINITE = messages.Step(1, SMALL_RESOURCES)
LONG_RUNNING = messages.Step(1, SMALL_RESOURCES, perpetual=True)
GANG = messages.Step(2, SMALL_RESOURCES, gang=True)


@pytest.mark.parametrize("step", [FINITE, LONG_RUNNING, GANG],
                         ids=["finite", "long-running", "gang"])
def test_tasks_next_to_a_crashing_task_do_not_fail(fleet, step):
    """Guards against counting a crash against every task of the worker."""
    wait_for(lambda owner=fleet.take_over(): is_ready(owner))
    jobs = [f"neighbour{n}" for n in range(8)]
    fleet.crashing.update(bad0=0.01, bad1=0.3)
    for job_id in (*jobs[:4], "bad0", *jobs[4:6], "bad1", *jobs[6:]):
        fleet.submit(fleetfakes.job(
            job_id, FINITE if job_id.startswith("bad") else step))
    wait_for(lambda: all(fleet.state(job_id) == messages.JOB_FAILED
                         for job_id in ("bad0", "bad1")))
    wait_for(lambda: len(fleet.running()) == len(jobs) * step.count)
    assert not any(fleet.state(job_id) in messages.FINAL_STATES
                   for job_id in jobs)
    assert fleet.count_starts("bad0") + fleet.count_starts("bad1") <= (
        2 * MAX_STARTS)


@pytest.fixture(name="run_ages_s")
def fixture_run_ages_s(monkeypatch) -> list[float]:
    """Return the run ages at which tasks are suspected of crashes."""
    run_ages_s: list[float] = []
    emit = events.emit

    def note_and_emit(event: events.Event, **fields: typing.Any) -> None:
        if event is events.WORKER_CRASHED:
            run_ages_s.extend(age_s for _, _, age_s in fields["runs"])
        emit(event, **fields)

    monkeypatch.setattr(events, "emit", note_and_emit)
    return run_ages_s


def check_starts(fleet: CrashingFleet, run_ages_s: list[float],
                 max_starts: int, late_crashes: int = 0) -> None:
    """Check how often a task was started that crashes its workers at once.

    The limit is for a number of crashes that are noticed late.  Such a crash
    is not taken for one at the start of a run, or not for a further one of
    the same cause, so each further one allows one more start.
    """
    noticed_late = sum(age_s >= suspicion.STARTUP_WINDOW_S
                       for age_s in run_ages_s)
    max_starts = min(
        MAX_STARTS, max_starts + max(0, noticed_late - late_crashes))
    assert MIN_STARTS <= fleet.count_starts("bad") <= max_starts, run_ages_s


def change_owner(fleet: CrashingFleet, changed_at: str,
                 crash_count: int) -> None:
    """Change the owner in a crash of a task; wait until its job fails."""
    wait_for(lambda owner=fleet.take_over(): is_ready(owner))
    fleet.crashing["bad"] = 0.05
    fleet.submit(fleetfakes.job("bad", FINITE))
    wait_for(lambda: fleet.count_starts("bad") >= crash_count)
    if changed_at == "crashed":
        wait_for(lambda: _count_crashed(fleet) >= crash_count)
    elif changed_at == "stored":
        wait_for(lambda: _count_stored_crashes(fleet, "bad") >= crash_count)
    fleet.owner.step_down("killed")
    fleet.take_over()
    wait_for(lambda: fleet.state("bad") == messages.JOB_FAILED)


@pytest.mark.parametrize("crash_count", [1, 2, 3])
@pytest.mark.parametrize("changed_at", ["running", "crashed", "stored"])
def test_crash_records_survive_a_change_of_owner(
        fleet, run_ages_s, changed_at, crash_count):
    """Guards against a new owner that starts counting crashes from zero."""
    change_owner(fleet, changed_at, crash_count)
    loses_crash = crash_count == 1 and changed_at != "stored"
    check_starts(fleet, run_ages_s, MIN_STARTS + loses_crash)


class LateNotice(typing.NamedTuple):
    """A crash that is noticed late, and when the owner changes."""

    late_crash: int
    changed_at: str
    crash_count: int
    max_starts: int


@pytest.mark.parametrize("case", [
    LateNotice(1, "stored", 1, 4), LateNotice(1, "stored", 2, 4),
    LateNotice(1, "stored", 3, 4), LateNotice(2, "stored", 1, 4),
    LateNotice(3, "stored", 2, 4), LateNotice(2, "crashed", 1, 5),
    LateNotice(1, "crashed", 2, 5), LateNotice(2, "crashed", 3, 4)],
    ids=lambda case: f"{case.late_crash}-{case.changed_at}{case.crash_count}")
def test_limit_of_starts_holds_if_a_crash_is_noticed_late(
        fleet, run_ages_s, case):
    """Guards against starts beyond the limit while an owner is slow."""
    fleet.notice_delays_s[case.late_crash] = LATE_NOTICE_S
    change_owner(fleet, case.changed_at, case.crash_count)
    assert max(run_ages_s) >= LATE_NOTICE_S
    check_starts(fleet, run_ages_s, case.max_starts, late_crashes=1)


def test_crash_count_survives_repeated_owner_changes(fleet, run_ages_s):
    """Guards against crash counts that survive only one owner change."""
    wait_for(lambda owner=fleet.take_over(): is_ready(owner))
    fleet.crashing["bad"] = 0.05
    fleet.submit(fleetfakes.job("bad", FINITE))
    for crash_count in (1, 2):
        wait_for(lambda count=crash_count: _count_stored_crashes(
            fleet, "bad") >= count)
        fleet.owner.step_down("killed")
        fleet.take_over()
    wait_for(lambda: fleet.state("bad") == messages.JOB_FAILED)
    check_starts(fleet, run_ages_s, MIN_STARTS)


def _count_crashed(fleet: CrashingFleet) -> int:
    return sum(w.crashed for w in list(fleet.workers.values()))


def _count_stored_crashes(fleet: CrashingFleet, job_id: str) -> int:
    """Return the number of crashes stored with a job's tasks."""
    if fleet.state(job_id) == messages.JOB_FAILED:
        return MAX_STARTS
    item = fleet.store.items.get(records.progress_key(job_id))
    if item is None:
        return 0
    state = progress.JobState(fleetfakes.job(job_id, FINITE), 0)
    progress.apply_progress(state, item.value)
    return sum(len(task.suspicion.workers) for task in state.all_tasks()
               if task.suspicion is not None)


class WorkerEnd(typing.NamedTuple):
    """The end of a worker with a recent start, and the expected verdict."""

    verdict: crashes.Verdict
    draining: bool = False
    listed: bool = True
    list_age_s: float = 0.0
    silent_s: float = 0.3
    restarted: bool = False
    rack_peers: str = "answer"


@pytest.mark.parametrize("end", [
    WorkerEnd(crashes.Verdict.CRASH),
    WorkerEnd(crashes.Verdict.DRAINED, draining=True),
    WorkerEnd(crashes.Verdict.UNLISTED, listed=False),
    WorkerEnd(crashes.Verdict.STALE_LIST, list_age_s=3.0),
    WorkerEnd(crashes.Verdict.STALE_LIST, list_age_s=3.0, restarted=True),
    WorkerEnd(crashes.Verdict.UNRESPONSIVE, silent_s=4.0),
    WorkerEnd(crashes.Verdict.CRASH, silent_s=4.0, restarted=True),
    WorkerEnd(crashes.Verdict.NO_SUSPECT, rack_peers="silent"),
    WorkerEnd(crashes.Verdict.NO_SUSPECT, rack_peers="ended"),
    WorkerEnd(crashes.Verdict.CRASH, rack_peers="ended before"),
], ids=lambda end: f"{end.verdict.name}-{end.rack_peers}")
def test_only_crashes_make_tasks_suspect(end, monkeypatch):
    """Guards against mistaking other worker ends for crashes.

    Drains, network cuts and rack failures end workers as well.
    """
    fake_now = [100.0]
    monkeypatch.setattr(clock, "now", lambda: fake_now[0])
    bench = test_fleet_state.Bench(*(
        fleetfakes.entry(n, labels=("a", "r"), draining=False)
        for n in range(4)))
    state = bench.state
    bench.add(fleetfakes.job("j"))
    rack_peers = [w for w in state.workers if w != "i-0"]
    if end.rack_peers == "ended before":
        for worker_id in rack_peers:
            crashes.worker_refused_connection(state, worker_id)
        fake_now[0] += 1.0
        bench.now = fake_now[0]
    [placed] = bench.place()
    worker_id = placed.partition("@")[2]
    fake_now[0] = bench.now + 0.1
    if end.rack_peers in ("silent", "ended"):
        for rack_peer in set(state.workers) - {worker_id}:
            state.mark_unresponsive(rack_peer, "closed")
            if end.rack_peers == "ended":
                crashes.worker_refused_connection(state, rack_peer)
    state.add_worker(fleetfakes.entry(
        int(worker_id[2:]), labels=("a", "r"), draining=end.draining))
    state.mark_unresponsive(worker_id, "closed")
    ended = fake_now[0] + end.silent_s
    for tenths in range(900, int((ended - end.list_age_s) * 10), 5):
        state.update_listed({worker_id} if end.listed else set(), tenths / 10)
    fake_now[0] = ended
    if end.restarted:
        crashes.worker_replaced(state, worker_id)
    else:
        crashes.worker_refused_connection(state, worker_id)
    suspicion_record = state.jobs["j"].tasks[0, 0][0].suspicion
    assert (suspicion_record is not None) == (
        end.verdict is crashes.Verdict.CRASH)


def note_stored(state):
    """Let the present progress of a job be stored."""
    state.stored_quarantine_workers = dict(state.quarantine_workers)
    state.stored_crashes = storedcrashes.recorded(state)


def replace_crashed(bench, worker_id, number):
    """Let a worker crash; add another one in its rack."""
    rack = bench.state.workers[worker_id].entry.rack()
    crashes.worker_refused_connection(bench.state, worker_id)
    crashes.worker_replaced(bench.state, worker_id)
    bench.state.add_worker(fleetfakes.entry(number, labels=("a", rack)))
    bench.report(f"i-{number}")
    bench.state.enrol(list(bench.state.workers))


def test_task_that_crashes_its_rack_repeatedly_is_given_up(monkeypatch):
    """Guards against taking a task's own crashes for a rack failure."""
    fake_now = [100.0]
    monkeypatch.setattr(clock, "now", lambda: fake_now[0])
    bench = test_fleet_state.Bench(
        *(fleetfakes.entry(n, labels=("a", f"r{n}")) for n in range(2)))
    bench.add(fleetfakes.job("j"))
    state = bench.state.jobs["j"]
    # Another worker of each rack has just crashed for another reason.
    for number in range(2):
        replace_crashed(bench, f"i-{number}", 2 + number)
    starts = 0
    for number in range(4, 40):
        bench.now = fake_now[0]
        bench.state.update_listed(set(bench.state.workers), bench.now)
        placed = bench.place()
        note_stored(state)
        fake_now[0] += 0.1
        for worker_id in [text.partition("@")[2] for text in placed]:
            starts += 1
            replace_crashed(bench, worker_id, number)
    assert state.state == messages.JOB_FAILED
    assert starts <= 5


def crash_together(workers: list[fleetfakes.MemoryWorker]) -> None:
    """Crash workers without answering any call between the crashes."""
    with contextlib.ExitStack() as locks:
        for worker in workers:
            locks.enter_context(worker.lock)
        for worker in workers:
            worker.crash()


@pytest.mark.parametrize("racks", [1, 2, 3])
def test_rack_failures_fail_no_job(fleet, racks):
    """Guards against blaming a task for repeated failures of a rack."""
    wait_for(lambda owner=fleet.take_over(): is_ready(owner))
    for job_id, step in (("a", FINITE), ("b", LONG_RUNNING), ("c", GANG)):
        fleet.submit(fleetfakes.job(job_id, step))
    for failure in range(4):
        wait_for(lambda: len(fleet.running()) == 4)
        rack = f"r{failure % min(racks, 2)}"
        crash_together([
            fleet.workers[entry.worker_id]
            for entry in fleet.worker_list.entries
            if racks == 3 or entry.rack() == rack])
    wait_for(lambda: len(fleet.running()) == 4)
    assert not any(fleet.state(job_id) in messages.FINAL_STATES
                   for job_id in "abc")


def report_all(bench: test_fleet_state.Bench) -> None:
    """Report all runs of all workers as still running."""
    for worker_id, worker in bench.state.workers.items():
        bench.report(worker_id, [messages.RunningTask(task, run, "", 0)
                                 for task, run in worker.tasks])


def test_suspected_task_runs_on_a_worker_without_other_starts(monkeypatch):
    """Guards against a crash in quarantine caused by another new task."""
    fake_now = [100.0]
    monkeypatch.setattr(clock, "now", lambda: fake_now[0])
    bench = test_fleet_state.Bench(*(fleetfakes.entry(n) for n in range(4)))
    bench.add(fleetfakes.job("j", FINITE))
    worker_id = bench.place()[0].partition("@")[2]
    fake_now[0] = bench.now
    crashes.worker_refused_connection(bench.state, worker_id)
    assert not bench.place()
    assert not bench.state.jobs["j"].quarantine_workers
    crashes.worker_replaced(bench.state, worker_id)
    assert not bench.place()
    job = bench.state.jobs["j"]
    [quarantined_on] = job.quarantine_workers.values()
    bench.add(fleetfakes.job("k", messages.Step(40, SMALL_RESOURCES)), 21)
    assert not any(placement.startswith("j.")
                   or placement.endswith("@" + quarantined_on)
                   for placement in bench.place())
    note_stored(job)
    placed = bench.place()
    assert f"j.0.0.0@{quarantined_on}" in placed
    assert sum(placement.endswith("@" + quarantined_on)
               for placement in placed) == 1
    bench.now += job.tasks[0, 0][0].suspicion.quarantine_s()
    bench.add(fleetfakes.job("l", messages.Step(40, SMALL_RESOURCES)), 22)
    assert not any(placement.endswith("@" + quarantined_on)
                   for placement in bench.place())
    report_all(bench)
    assert any(placement.endswith("@" + quarantined_on)
               for placement in bench.place())


def test_quarantine_run_waits_for_a_report_after_other_starts(monkeypatch):
    """Guards against blaming a task for a crash that is not noticed yet."""
    bench = test_fleet_state.Bench(*(fleetfakes.entry(n) for n in range(2)))
    monkeypatch.setattr(clock, "now", lambda: bench.now)
    bench.add(fleetfakes.job("j", FINITE))
    job = bench.state.jobs["j"]
    job.create_tasks(0)
    [task] = job.tasks[0, 0]
    task.suspicion = suspicion.Suspicion(["i-9"], [0.0], likely=True)
    bench.add(fleetfakes.job("k", messages.Step(
        2, SMALL_RESOURCES, max_per_worker=1)), 15)
    assert len(bench.place()) == 2
    [worker_id] = job.quarantine_workers.values()
    note_stored(job)
    bench.now += 1.0
    assert not bench.place()
    report_all(bench)
    assert bench.place() == [f"j.0.0.0@{worker_id}"]


class CapacityChange(typing.NamedTuple):
    """A worker's final CPU capacity, and whether another task starts."""

    cpu: int
    list_age_s: float
    starts: bool


@pytest.mark.parametrize("case", [
    CapacityChange(4000, 0.0, True), CapacityChange(1500, 0.0, False),
    CapacityChange(500, 0.0, False), CapacityChange(2000, 0.0, True),
    CapacityChange(4000, state_mod.MAX_LIST_AGE_S + 0.2, False)])
def test_starts_fit_reduced_worker_capacity(case):
    """Guards against starts that rely on capacity a worker has lost."""
    bench = test_fleet_state.Bench(fleetfakes.entry(0))
    reserving_step = messages.Step(1, messages.Resources(1000, 10))
    bench.add(fleetfakes.job("j", reserving_step))
    assert bench.place()
    bench.state.add_worker(fleetfakes.entry(0, cpu=case.cpu))
    bench.state.update_listed({"i-0"}, bench.now - case.list_age_s)
    bench.add(fleetfakes.job("k", reserving_step), 21)
    assert bool(bench.place()) == case.starts
    bench.state.add_worker(fleetfakes.entry(0))
    bench.state.update_listed({"i-0"}, bench.now)
    bench.place()
    assert bench.state.jobs["k"].tasks[0, 0][0].phase == progress.RUNNING


def test_start_is_withdrawn_if_capacity_shrinks_before_it_is_sent():
    """Guards against a start order that is sent after capacity shrank."""
    bench = test_fleet_state.Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("j"))
    rounds.place(bench.state, bench.now, 0)
    worker_id, order = bench.orders[-1]
    bench.state.add_worker(fleetfakes.entry(0, cpu=500))
    assert not answers.should_send(bench.state, worker_id, order)
    assert not bench.place()


def test_failed_job_names_the_crashed_workers():
    """Guards against a failed job without a cause for its caller."""
    state = progress.JobState(fleetfakes.job("j"), 0)
    state.create_tasks(0)
    suspicion_record = suspicion.Suspicion()
    suspicion_record.add_crash("i-0", 0.01, likely=True, in_quarantine=False)
    for worker_id in ("i-1", "i-2"):
        suspicion_record.add_crash(
            worker_id, 0.01, likely=True, in_quarantine=True)
    state.tasks[0, 0][0].suspicion = suspicion_record
    assert state.settle()
    stored = progress.encode_progress(state)
    assert progress.decode_state(stored) == messages.JOB_FAILED
    assert progress.decode_failure_reason(stored) == (
        "task 0.0.0 crashed the workers that started it: i-0, i-1, i-2")


def test_stored_quarantine_on_a_missing_worker_does_not_block_its_task():
    """Guards against a task that waits for a stale quarantine forever."""
    bench = test_fleet_state.Bench(fleetfakes.entry(0), fleetfakes.entry(1))
    for number, job_id in enumerate("ab"):
        bench.add(fleetfakes.job(job_id, FINITE), 21 + number)
        job = bench.state.jobs[job_id]
        job.create_tasks(0)
        [task] = job.tasks[0, 0]
        task.suspicion = suspicion.Suspicion(["i-9"], [0.01], likely=True)
        job.quarantine_workers = {task.task: "i-5"}
        note_stored(job)
        bench.state.trials.restore(job, bench.now)
    for _ in range(30):
        bench.place()
        report_all(bench)
        for job in bench.state.jobs.values():
            note_stored(job)
    assert all(task.phase == progress.RUNNING
               for job in bench.state.jobs.values()
               for task in job.all_tasks())


@pytest.mark.parametrize(("ages_s", "confirmed"), [
    ([0.01, 0.02, 0.01], True), ([0.8, 0.9, 0.7], True),
    ([0.01, 0.2], False), ([0.01, 0.02, 1.5], False),
    ([1.3, 1.45, 0.2], False), ([0.01, 1.5, 0.02, 0.03], True)])
def test_quarantine_crashes_count_only_at_similar_run_ages(ages_s, confirmed):
    """Guards against failing a task for crashes with other causes."""
    suspicion_record = suspicion.Suspicion()
    for number, age_s in enumerate(ages_s):
        suspicion_record.add_crash(f"i-{number}", age_s, likely=False,
                                   in_quarantine=number > 0)
    assert suspicion_record.is_confirmed() == confirmed


@pytest.mark.parametrize(("one_job", "failures", "suspected"), [
    (False, 8, 0), (True, 8, 8), (False, 4, 4)],
    ids=["many-jobs", "one-job", "few-workers"])
def test_tasks_are_not_suspected_if_many_workers_fail_at_once(
        one_job, failures, suspected, monkeypatch):
    """Guards against giving up innocent tasks after waves of crashes."""
    bench = test_fleet_state.Bench(
        *(fleetfakes.entry(n, labels=("a", f"r{n}")) for n in range(20)))
    monkeypatch.setattr(clock, "now", lambda: bench.now)
    bench.state.update_listed(set(bench.state.workers), bench.now)
    if one_job:
        bench.add(fleetfakes.job("j", messages.Step(
            20, messages.Resources(3000, 10))))
    else:
        for number in range(20):
            bench.add(fleetfakes.job(f"j{number}", messages.Step(
                1, messages.Resources(3000, 10))))
    assert len(bench.place()) == 20
    bench.now += 0.1
    failing = [f"i-{number}" for number in range(failures)]
    for worker_id in failing:
        bench.state.mark_unresponsive(worker_id, "closed")
    for worker_id in failing:
        crashes.worker_refused_connection(bench.state, worker_id)
    tasks = [task for state in bench.state.jobs.values()
             for task in state.all_tasks()]
    assert sum(task.suspicion is not None for task in tasks) == suspected
