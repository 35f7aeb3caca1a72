"""Show what becomes of tasks when workers crash, and what is held against."""

import threading
import time
import typing

import pytest

from sycamorefield.fleet import answers
from sycamorefield.fleet import clock
from sycamorefield.fleet import crashes
from sycamorefield.fleet import messages
from sycamorefield.fleet import owner as owner_mod
from sycamorefield.fleet import progress
from sycamorefield.fleet import records
from sycamorefield.fleet import rounds
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import suspicion
from tests import fleetfakes
from tests import test_fleet_state
from tests import test_fleet_takeover

WORKERS = 6
# How long a crashed worker's process takes to come back under a new id.
REBORN_S = 0.6
SMALL = messages.Room(300, 100)
# A task that crashes its workers is started at most twice more after the
# third of them.
MOST_STARTS = 5
GIVEN_UP_S = 25.0


class CrashingFleet(test_fleet_takeover.Fleet):
    """Workers that some jobs crash, and that come back under new ids."""

    def __init__(self) -> None:
        super().__init__(0)
        # Jobs whose tasks crash each worker, and after how many seconds.
        self.crashing: dict[str, float] = {}
        self.lock = threading.Lock()
        self.reborn = True
        for number in range(WORKERS):
            self.join(number, 0)

    def take_over(self) -> owner_mod.Owner:
        """Let a new owner claim the fleet, and keep its lease."""
        owner = super().take_over()
        threading.Thread(target=self._renew, args=(owner,),
                         daemon=True).start()
        return owner

    @staticmethod
    def _renew(owner: owner_mod.Owner) -> None:
        while not owner.stepped_down.wait(0.3):
            owner.note_lease_renewal(clock.now())

    def join(self, number: int, life: int) -> None:
        """Let a worker start and list itself."""
        address = fleetfakes.entry(number).address
        entry = fleetfakes.entry(100 * life + number, address=address,
                                 labels=("a", f"r{number % 2}"))
        worker = fleetfakes.MemoryWorker(entry.worker_id)
        worker.crashing = self.crashing
        worker.on_crash = lambda: self.crashed(number, life)
        with self.lock:
            for other in self.workers.values():
                other.dead |= other.crashed and (
                    int(other.worker_id[2:]) % 100 == number)
            self.workers[entry.worker_id] = worker
            self.worker_list.entries += (entry,)

    def crashed(self, number: int, life: int) -> None:
        """Let a worker that crashed come back after a while."""
        if self.reborn:
            threading.Timer(REBORN_S, self.join, (number, life + 1)).start()

    def starts_of(self, job_id: str) -> int:
        """Return how often tasks of a job were started."""
        return sum(name.startswith(job_id + ".") for name in self.starts())


@pytest.fixture(name="fleet")
def fixture_fleet() -> typing.Iterator[CrashingFleet]:
    fleet = CrashingFleet()
    yield fleet
    fleet.reborn = False
    if fleet.owner is not None:
        fleet.owner.step_down("test over")


def wait_for(what: typing.Callable[[], bool], limit_s: float = GIVEN_UP_S
             ) -> None:
    """Wait until something holds."""
    end = time.monotonic() + limit_s
    while not what():
        assert time.monotonic() < end, "did not come to hold"
        time.sleep(0.01)


def ready(owner: owner_mod.Owner) -> bool:
    """Tell whether an owner can use all workers."""
    return owner.recovered and sum(
        w.enrolled and w.reported
        for w in owner.fleet.workers.values()) == WORKERS


@pytest.mark.parametrize("after_s", [0.0, fleetfakes.CRASHES_AFTER_S, 0.8],
                         ids=["at-once", "soon", "later"])
@pytest.mark.parametrize("step", [
    messages.Step(1, SMALL),
    messages.Step(1, SMALL, perpetual=True),
    messages.Step(2, SMALL, gang=True),
], ids=["short", "lasting", "gang"])
def test_a_task_that_crashes_its_workers_is_given_up(fleet, step, after_s):
    """Guards against a task that takes worker after worker without end."""
    wait_for(lambda owner=fleet.take_over(): ready(owner))
    beside = messages.Step(WORKERS, SMALL, perpetual=True)
    fleet.submit(fleetfakes.job("lasting", beside))
    wait_for(lambda: len(fleet.running()) == WORKERS)
    fleet.crashing["bad"] = after_s
    fleet.submit(fleetfakes.job("bad", step))
    wait_for(lambda: fleet.state("bad") == messages.JOB_FAILED)
    assert fleet.starts_of("bad") <= MOST_STARTS * step.count
    wait_for(lambda: len(fleet.running()) == WORKERS)
    assert fleet.state("lasting") not in messages.FINAL_STATES
    assert records.progress_key("bad") in fleet.store.items


SHORT = messages.Step(1, SMALL)
LASTING = messages.Step(1, SMALL, perpetual=True)
GANG = messages.Step(2, SMALL, gang=True)


@pytest.mark.parametrize("step", [SHORT, LASTING, GANG],
                         ids=["short", "lasting", "gang"])
def test_tasks_beside_one_that_crashes_its_workers_are_not_given_up(
        fleet, step):
    """Guards against counting a crash against all that ran there."""
    wait_for(lambda owner=fleet.take_over(): ready(owner))
    jobs = [f"beside{n}" for n in range(8)]
    fleet.crashing.update(bad0=0.01, bad1=0.3)
    for job_id in (*jobs[:4], "bad0", *jobs[4:6], "bad1", *jobs[6:]):
        fleet.submit(fleetfakes.job(
            job_id, SHORT if job_id.startswith("bad") else step))
    wait_for(lambda: all(fleet.state(job_id) == messages.JOB_FAILED
                         for job_id in ("bad0", "bad1")))
    wait_for(lambda: len(fleet.running()) == len(jobs) * step.count)
    assert not any(fleet.state(job_id) in messages.FINAL_STATES
                   for job_id in jobs)
    assert fleet.starts_of("bad0") + fleet.starts_of("bad1") <= (
        2 * MOST_STARTS)


@pytest.mark.parametrize("crash", [1, 2, 3])
@pytest.mark.parametrize("change", ["running", "crashed", "counted"])
def test_what_crashes_tell_survives_a_change_of_owner(fleet, change, crash):
    """Guards against an owner that starts anew with counting crashes."""
    wait_for(lambda owner=fleet.take_over(): ready(owner))
    fleet.crashing["bad"] = 0.05
    fleet.submit(fleetfakes.job("bad", SHORT))
    wait_for(lambda: fleet.starts_of("bad") >= crash)
    if change == "crashed":
        wait_for(lambda: _crashed(fleet) >= crash)
    elif change == "counted":
        wait_for(lambda: _counted(fleet, "bad") >= crash)
    fleet.owner.step_down("killed")
    fleet.take_over()
    wait_for(lambda: fleet.state("bad") == messages.JOB_FAILED)
    assert fleet.starts_of("bad") <= (
        MOST_STARTS - 1 if crash == 1 and change != "counted" else 3)


def test_crashes_count_though_the_owner_changes_after_each(fleet):
    """Guards against counts that reach only the next owner."""
    wait_for(lambda owner=fleet.take_over(): ready(owner))
    fleet.crashing["bad"] = 0.05
    fleet.submit(fleetfakes.job("bad", SHORT))
    for crash in (1, 2):
        wait_for(lambda count=crash: _counted(fleet, "bad") >= count)
        fleet.owner.step_down("killed")
        fleet.take_over()
    wait_for(lambda: fleet.state("bad") == messages.JOB_FAILED)
    assert fleet.starts_of("bad") == 3


def _crashed(fleet: CrashingFleet) -> int:
    return sum(w.crashed for w in list(fleet.workers.values()))


def _counted(fleet: CrashingFleet, job_id: str) -> int:
    """Return how many crashes are stored as ones under a job's task."""
    item = fleet.store.items.get(records.progress_key(job_id))
    if item is None:
        return 0
    if progress.state_of(item.value) == messages.JOB_FAILED:
        return MOST_STARTS
    state = progress.JobState(fleetfakes.job(job_id, SHORT), 0)
    progress.apply_progress(state, item.value)
    return sum(len(task.suspicion.workers) for task in state.all_tasks()
               if task.suspicion is not None)


class End(typing.NamedTuple):
    """How a worker with a young run ends, and what is held against it."""

    verdict: crashes.Verdict
    draining: bool = False
    listed: bool = True
    list_age_s: float = 0.0
    silent_s: float = 0.3
    reborn: bool = False
    others_of_rack: str = "answer"


@pytest.mark.parametrize("end", [
    End(crashes.Verdict.CRASH),
    End(crashes.Verdict.DRAINED, draining=True),
    End(crashes.Verdict.UNLISTED, listed=False),
    End(crashes.Verdict.OLD_LIST, list_age_s=3.0),
    End(crashes.Verdict.OLD_LIST, list_age_s=3.0, reborn=True),
    End(crashes.Verdict.DARK, silent_s=4.0),
    End(crashes.Verdict.CRASH, silent_s=4.0, reborn=True),
    End(crashes.Verdict.NOBODY, others_of_rack="silent"),
    End(crashes.Verdict.NOBODY, others_of_rack="ended"),
    End(crashes.Verdict.CRASH, others_of_rack="ended before"),
], ids=lambda end: f"{end.verdict.name}-{end.others_of_rack}")
def test_only_a_crash_is_held_against_what_ran_there(end, monkeypatch):
    """Guards against taking a drain, a cut or a failed rack for a crash."""
    moment = [100.0]
    monkeypatch.setattr(clock, "now", lambda: moment[0])
    bench = test_fleet_state.Bench(*(
        fleetfakes.entry(n, labels=("a", "r"), draining=False)
        for n in range(4)))
    state = bench.state
    bench.add(fleetfakes.job("j"))
    mates = [w for w in state.workers if w != "i-0"]
    if end.others_of_rack == "ended before":
        for worker_id in mates:
            crashes.worker_refuses(state, worker_id)
        moment[0] += 1.0
        bench.now = moment[0]
    [placed] = bench.place()
    worker_id = placed.partition("@")[2]
    moment[0] = bench.now + 0.1
    if end.others_of_rack in ("silent", "ended"):
        for other in set(state.workers) - {worker_id}:
            state.worker_silent(other, "closed")
            if end.others_of_rack == "ended":
                crashes.worker_refuses(state, other)
    state.add_worker(fleetfakes.entry(
        int(worker_id[2:]), labels=("a", "r"), draining=end.draining))
    state.worker_silent(worker_id, "closed")
    ended = moment[0] + end.silent_s
    for tenths in range(900, int((ended - end.list_age_s) * 10), 5):
        state.unlist({worker_id} if end.listed else set(), tenths / 10)
    moment[0] = ended
    if end.reborn:
        crashes.worker_reborn(state, worker_id)
    else:
        crashes.worker_refuses(state, worker_id)
    suspected = state.jobs["j"].tasks[0, 0][0].suspicion
    assert (suspected is not None) == (end.verdict is crashes.Verdict.CRASH)


@pytest.mark.parametrize("racks", [1, 2, 3])
def test_crashes_of_whole_racks_fail_no_job(fleet, racks):
    """Guards against taking a rack that fails again and again for a task."""
    wait_for(lambda owner=fleet.take_over(): ready(owner))
    for job_id, step in (("a", SHORT), ("b", LASTING), ("c", GANG)):
        fleet.submit(fleetfakes.job(job_id, step))
    for failure in range(4):
        wait_for(lambda: len(fleet.running()) == 4)
        rack = f"r{failure % min(racks, 2)}"
        for entry in fleet.worker_list.entries:
            if racks == 3 or entry.rack() == rack:
                fleet.workers[entry.worker_id].crash()
    wait_for(lambda: len(fleet.running()) == 4)
    assert not any(fleet.state(job_id) in messages.FINAL_STATES
                   for job_id in "abc")


def report_all(bench: test_fleet_state.Bench) -> None:
    """Let each worker tell that all its runs go on."""
    for worker_id, worker in bench.state.workers.items():
        bench.report(worker_id, [messages.RunningTask(task, run, "", 0)
                                 for task, run in worker.tasks])


def test_a_suspected_task_is_tried_where_nothing_else_begins(monkeypatch):
    """Guards against evidence that could come from another new task."""
    moment = [100.0]
    monkeypatch.setattr(clock, "now", lambda: moment[0])
    bench = test_fleet_state.Bench(*(fleetfakes.entry(n) for n in range(4)))
    bench.add(fleetfakes.job("j", SHORT))
    worker_id = bench.place()[0].partition("@")[2]
    moment[0] = bench.now
    crashes.worker_refuses(bench.state, worker_id)
    assert not bench.place()
    job = bench.state.jobs["j"]
    [apart] = job.on_trial.values()
    bench.add(fleetfakes.job("k", messages.Step(40, SMALL)), 21)
    assert not any(p.startswith("j.") or p.endswith("@" + apart)
                   for p in bench.place())
    job.stored_trials = dict(job.on_trial)
    placed = bench.place()
    assert f"j.0.0.0@{apart}" in placed
    assert sum(p.endswith("@" + apart) for p in placed) == 1
    bench.now += suspicion.AT_START_S
    bench.add(fleetfakes.job("l", messages.Step(40, SMALL)), 22)
    assert not any(p.endswith("@" + apart) for p in bench.place())
    report_all(bench)
    assert any(p.endswith("@" + apart) for p in bench.place())


class Shrunk(typing.NamedTuple):
    """A worker's processors at the end, and whether another task starts."""

    cpu: int
    list_age_s: float
    starts: bool


@pytest.mark.parametrize("case", [
    Shrunk(4000, 0.0, True), Shrunk(1500, 0.0, False),
    Shrunk(500, 0.0, False), Shrunk(2000, 0.0, True),
    Shrunk(4000, state_mod.LIST_OLD_S + 0.2, False)])
def test_a_room_that_shrank_takes_no_more_than_it_holds(case):
    """Guards against starts by a room that a worker no longer has."""
    bench = test_fleet_state.Bench(fleetfakes.entry(0))
    one = messages.Step(1, messages.Room(1000, 10))
    bench.add(fleetfakes.job("j", one))
    assert bench.place()
    bench.state.add_worker(fleetfakes.entry(0, cpu=case.cpu))
    bench.state.unlist({"i-0"}, bench.now - case.list_age_s)
    bench.add(fleetfakes.job("k", one), 21)
    assert bool(bench.place()) == case.starts
    bench.state.add_worker(fleetfakes.entry(0))
    bench.state.unlist({"i-0"}, bench.now)
    bench.place()
    assert bench.state.jobs["k"].tasks[0, 0][0].phase == progress.RUNNING


def test_a_start_is_taken_back_if_the_room_shrank_while_it_waited():
    """Guards against an order sent long after the room was looked at."""
    bench = test_fleet_state.Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("j"))
    rounds.place(bench.state, bench.now, 0)
    worker_id, order = bench.orders[-1]
    bench.state.add_worker(fleetfakes.entry(0, cpu=500))
    assert not answers.still_wanted(bench.state, worker_id, order)
    assert not bench.place()


def test_a_job_that_is_given_up_tells_why():
    """Guards against a failed job whose caller can't tell its cause."""
    state = progress.JobState(fleetfakes.job("j"), 0)
    state.occurrence(0)
    suspected = suspicion.Suspicion()
    suspected.add("i-0", 0.01, likely=True, in_trial=False)
    for worker_id in ("i-1", "i-2"):
        suspected.add(worker_id, 0.01, likely=True, in_trial=True)
    state.tasks[0, 0][0].suspicion = suspected
    assert state.settle()
    stored = progress.encode_progress(state)
    assert progress.state_of(stored) == messages.JOB_FAILED
    assert progress.reason_of(stored) == (
        "task 0.0.0 crashed the workers that started it: i-0, i-1, i-2")


def test_a_trial_over_but_stored_keeps_no_task_from_running():
    """Guards against a task that waits for a trial that nobody ends."""
    bench = test_fleet_state.Bench(fleetfakes.entry(0), fleetfakes.entry(1))
    for number, job_id in enumerate("ab"):
        bench.add(fleetfakes.job(job_id, SHORT), 21 + number)
        job = bench.state.jobs[job_id]
        job.occurrence(0)
        [task] = job.tasks[0, 0]
        task.suspicion = suspicion.Suspicion(["i-9"], [0.01], likely=True)
        job.on_trial = {task.task: "i-5"}
        job.stored_trials = dict(job.on_trial)
        bench.state.trials.inherit(job, bench.now)
    for _ in range(30):
        bench.place()
        report_all(bench)
        for job in bench.state.jobs.values():
            job.stored_trials = dict(job.on_trial)
    assert all(task.phase == progress.RUNNING
               for job in bench.state.jobs.values()
               for task in job.all_tasks())


@pytest.mark.parametrize(("ages_s", "proved"), [
    ([0.01, 0.02, 0.01], True), ([0.8, 0.9, 0.7], True),
    ([0.01, 0.2], False), ([0.01, 0.02, 1.5], False),
    ([1.3, 1.45, 0.2], False), ([0.01, 1.5, 0.02, 0.03], True)])
def test_crashes_in_trials_tell_only_if_they_come_alike(ages_s, proved):
    """Guards against a task given up for crashes with other causes."""
    suspected = suspicion.Suspicion()
    for number, age_s in enumerate(ages_s):
        suspected.add(f"i-{number}", age_s, likely=False,
                      in_trial=number > 0)
    assert suspected.is_proved() == proved
