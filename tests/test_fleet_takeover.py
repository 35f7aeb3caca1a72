"""Test that the successor of an owner takes over without repeating work."""

import asyncio
import dataclasses
import threading
import time
import typing

import pytest

from sycamorefield.fleet import callfences
from sycamorefield.fleet import clock
from sycamorefield.fleet import controlwatcher
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import link as link_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import owner as owner_mod
from sycamorefield.fleet import ownership as ownership_mod
from sycamorefield.fleet import progress
from sycamorefield.fleet import records
from sycamorefield.fleet import recovery
from sycamorefield.fleet import state as state_mod
from tests import fleetfakes

HOLD_MAX_MS = 6000.0
CONFIG_KEY = "op/c"
WAIT_S = 5.0
STEP = messages.Step(1, messages.Resources(1000, 1000))
LEASE_RENEWAL_PERIOD_S = 0.3


class Fleet:
    """Hold in-memory workers, a store and one owner at a time."""

    def __init__(self, workers: int = 2) -> None:
        self.store = fleetfakes.MemoryStore()
        entries = [fleetfakes.entry(n) for n in range(workers)]
        self.worker_list = fleetfakes.MemoryWorkerList(entries)
        self.worker_list.entries = tuple(
            dataclasses.replace(e, born_ms=1_000) for e in entries)
        self.workers = {e.worker_id: fleetfakes.MemoryWorker(e.worker_id)
                        for e in entries}
        self.owner: owner_mod.Owner | None = None
        # Functions that end processes which go on by themselves.
        self.at_end: list[typing.Callable[[], None]] = []

    def end(self) -> None:
        """End the processes, so that none logs anything in later tests."""
        for end_process in self.at_end:
            end_process()
        if self.owner is not None:
            self.owner.step_down("test over")

    def take_over(self) -> owner_mod.Owner:
        """Start a new owner, replacing the owner's key."""
        if records.OWNER_KEY in self.store.items:
            self.store.commit(messages.Transaction(
                removes=(records.OWNER_KEY,)))
        fence = self.store.commit(messages.Transaction(
            puts=(messages.Put(records.OWNER_KEY, b"me"),)))
        self.owner = owner_mod.Owner(
            self.store, self.worker_list,
            lambda entry: self.workers[entry.worker_id],
            fleetfakes.configuration, fence, HOLD_MAX_MS)
        threading.Thread(target=self.owner.run, daemon=True).start()
        return self.owner

    def restart(self, worker_id: str, clock_offset_ms: float = 1000.0) -> None:
        """Let a worker start again under its ID, and list its new life."""
        worker = self.workers[worker_id]
        worker.restart(clock_offset_ms)
        self.worker_list.entries = tuple(
            dataclasses.replace(e, born_ms=worker.born_ms)
            if e.worker_id == worker_id else e
            for e in self.worker_list.entries)

    def submit(self, job: messages.Job) -> None:
        """Store a job in the way an entry process does."""
        self.store.commit(messages.Transaction(
            (messages.Expect(records.job_key(job.job_id), 0),),
            (messages.Put(records.job_key(job.job_id),
                          progress.encode_job(job)),)))

    def running(self) -> list[str]:
        """Return the names of all running tasks."""
        return sorted(str(task) for w in self.workers.values()
                      for task, _ in w.runs)

    def starts(self) -> list[str]:
        """Return the names of all tasks started so far, with repeats."""
        return sorted(str(task) for w in self.workers.values()
                      for task, _ in w.starts)

    def state(self, job_id: str) -> str:
        """Return the stored state of a job."""
        item = (self.store.items.get(records.final_key(job_id))
                or self.store.items.get(records.progress_key(job_id)))
        return progress.decode_state(item.value) if item else ""


class LeasedFleet(Fleet):
    """A fleet whose owner keeps its lease however long it runs.

    An owner without its lease starts neither new jobs nor tasks on workers
    that have restarted since.
    """

    def take_over(self) -> owner_mod.Owner:
        """Start a new owner and keep renewing its lease."""
        owner = super().take_over()
        threading.Thread(target=self._renew, args=(owner,),
                         daemon=True).start()
        return owner

    @staticmethod
    def _renew(owner: owner_mod.Owner) -> None:
        while not owner.stepped_down.wait(LEASE_RENEWAL_PERIOD_S):
            owner.note_lease_renewal(clock.now())


def wait_for(condition: typing.Callable[[], bool]) -> None:
    """Wait until a condition holds; fail after WAIT_S."""
    end = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < end, "condition did not hold in time"
        time.sleep(0.01)


@pytest.fixture(name="fleet")
def fixture_fleet() -> typing.Iterator[Fleet]:
    fleet = Fleet()
    yield fleet
    if fleet.owner is not None:
        fleet.owner.step_down("test over")


def finish(fleet: Fleet, name: str) -> None:
    """End the runs of a task as done."""
    for worker in fleet.workers.values():
        for task, _ in list(worker.runs):
            if str(task) == name:
                worker.finish(task)


def test_job_runs_its_steps_in_order_and_completes(fleet):
    fleet.take_over()
    fleet.submit(fleetfakes.job(
        "j", STEP,
        messages.Step(1, messages.Resources(1000, 1000), after=(0,))))
    wait_for(lambda: fleet.running() == ["j.0.0.0"])
    finish(fleet, "j.0.0.0")
    wait_for(lambda: fleet.running() == ["j.0.1.0"])
    finish(fleet, "j.0.1.0")
    wait_for(lambda: fleet.state("j") == messages.COMPLETED)


def test_successor_uses_workers_that_its_predecessor_enrolled(fleet):
    """Start tasks after a takeover without any change of the worker list.

    A successor found every worker on the stored list of workers in use, so it
    did not write that list.  Workers became usable only after a write, so no
    task was started although all workers answered.
    """
    fleet.take_over()
    fleet.submit(fleetfakes.job("a"))
    wait_for(lambda: fleet.running() == ["a.0.0.0"])
    fleet.owner.step_down("planned stop")
    fleet.take_over()
    fleet.submit(fleetfakes.job("b"))
    wait_for(lambda: fleet.running() == ["a.0.0.0", "b.0.0.0"])


class ReportLosingWorker(fleetfakes.MemoryWorker):
    """Give no answer to the next calls for a report."""

    lost_calls = 0

    async def renew(self, fence, recorded_upto, lease_end_ms, wait_ms,
                    answer_s=interfaces.REPORT_ANSWER_S):
        if self.lost_calls:
            self.lost_calls -= 1
            await asyncio.sleep(answer_s)
            raise interfaces.CallFailed("no answer")
        return await super().renew(fence, recorded_upto, lease_end_ms,
                                   wait_ms, answer_s)


@pytest.mark.parametrize(("lost_calls", "starts_within_s"), [
    (1, 0.8), (2, 1.2), (3, 2.4)])
def test_lost_calls_after_a_takeover_delay_older_jobs_little(
        fleet, lost_calls, starts_within_s):
    """Guards against a lost call that holds up all jobs for a second or more.

    Jobs accepted before a takeover wait until each worker has reported.
    """
    worker = fleet.workers["i-1"] = ReportLosingWorker("i-1")
    fleet.take_over()
    fleet.submit(fleetfakes.job("a"))
    wait_for(lambda: fleet.running() == ["a.0.0.0"])
    fleet.owner.step_down("planned stop")
    fleet.submit(fleetfakes.job("b"))
    worker.lost_calls = lost_calls
    taken_over_at = time.monotonic()
    fleet.take_over()
    wait_for(lambda: fleet.running() == ["a.0.0.0", "b.0.0.0"])
    assert time.monotonic() - taken_over_at < starts_within_s


def test_takeover_neither_restarts_runs_nor_loses_ends(fleet):
    """Neither restart a running task nor lose the end of one.

    One task keeps running and one ends while the fleet has no owner.  If the
    successor placed tasks before the workers reported, it would start a task
    twice.
    """
    fleet.take_over()
    fleet.submit(fleetfakes.job("a", messages.Step(
        2, messages.Resources(1000, 1000))))
    wait_for(lambda: len(fleet.running()) == 2)
    fleet.owner.step_down("killed")
    finish(fleet, "a.0.0.1")
    fleet.take_over()
    finish(fleet, "a.0.0.0")
    wait_for(lambda: fleet.state("a") == messages.COMPLETED)
    assert fleet.starts() == ["a.0.0.0", "a.0.0.1"]


def test_successor_does_not_restart_tasks_of_an_unresponsive_worker(fleet):
    """Restart no old task while a worker in use has not reported.

    The owner dies, and its successor cannot reach the worker that runs the
    task.  If an unresponsive worker counted as gone before its leases have
    expired, the task would run on two workers.
    """
    fleet.take_over()
    fleet.submit(fleetfakes.job("a"))
    wait_for(lambda: fleet.running() == ["a.0.0.0"])
    running_worker = next(w for w in fleet.workers.values() if w.runs)
    fleet.owner.step_down("killed")
    running_worker.unresponsive = True
    fleet.take_over()
    fleet.submit(fleetfakes.job("b"))
    wait_for(lambda: "b.0.0.0" in fleet.running())
    assert fleet.starts().count("a.0.0.0") == 1
    running_worker.unresponsive = False
    wait_for(lambda: not fleet.owner.fleet.awaited_workers)
    assert fleet.starts().count("a.0.0.0") == 1


def test_tasks_of_a_restarted_worker_are_rerun_at_once(fleet):
    """Restart the tasks of a worker as soon as its end is certain.

    The worker returns at the same address with another ID.  If only missing
    answers counted, its tasks would wait until its lease expires.
    """
    fleet.take_over()
    fleet.submit(fleetfakes.job("a"))
    wait_for(lambda: fleet.running() == ["a.0.0.0"])
    running_worker = next(w for w in fleet.workers.values() if w.runs)
    running_worker.restarted = True
    wait_for(lambda: fleet.starts().count("a.0.0.0") == 2)


def test_fenced_owner_steps_down(fleet):
    """Step down when a worker refuses an order because of a higher fence."""
    first_owner = fleet.take_over()
    for worker in fleet.workers.values():
        worker.fence = callfences.CallFences(first_owner.fence + 100).take()
    wait_for(first_owner.stepped_down.is_set)


def test_cancelled_job_is_stopped_and_stays_cancelled(fleet):
    fleet.take_over()
    fleet.submit(fleetfakes.job("a"))
    wait_for(lambda: fleet.running() == ["a.0.0.0"])
    fleet.store.commit(messages.Transaction(
        puts=(messages.Put(records.cancel_key("a"), b"1"),)))
    wait_for(lambda: not fleet.running())
    wait_for(lambda: fleet.state("a") == messages.CANCELLED)
    fleet.owner.step_down("planned stop")
    fleet.take_over()
    fleet.submit(fleetfakes.job("b"))
    wait_for(lambda: fleet.running() == ["b.0.0.0"])


@pytest.mark.parametrize("fault", ["lose_answers", "lose_calls",
                                   "keep_late"])
def test_ends_are_recorded_although_commits_get_no_answer(fleet, fault):
    """Record an end exactly once when commits get no answer.

    A commit without an answer may have taken effect, be lost, or take effect
    after it was repeated.  If it counted as either stored or lost, a job
    would never complete, or an end would be acknowledged that is not stored.
    """
    fleet.take_over()
    fleet.submit(fleetfakes.job("a"))
    wait_for(lambda: fleet.running() == ["a.0.0.0"])
    setattr(fleet.store, fault, 3)
    finish(fleet, "a.0.0.0")
    wait_for(lambda: fleet.state("a") == messages.COMPLETED)
    fleet.store.deliver_late()
    assert fleet.state("a") == messages.COMPLETED
    wait_for(lambda: all(not w.ended for w in fleet.workers.values()))


def test_successor_corrects_the_number_of_waiting_jobs(fleet):
    """Overwrite the stored counts of waiting jobs even if no job waits.

    An owner stores a count and dies, and its successor has no waiting jobs.
    If the successor compared its counts with none instead of with the stored
    ones, the queue would show waiting jobs until the next job waits.
    """
    fleet.store.commit(messages.Transaction(puts=(messages.Put(
        records.WAITING_JOBS_KEY, records.encode_counts({"checks": 3})),)))
    fleet.take_over()
    wait_for(lambda: records.decode_mapping(
        fleet.store.items[records.WAITING_JOBS_KEY].value) == {})


def test_workers_keep_ends_while_the_store_is_unreachable(fleet):
    """Acknowledge no end of a run before it is stored."""
    fleet.take_over()
    fleet.submit(fleetfakes.job("a"))
    wait_for(lambda: fleet.running() == ["a.0.0.0"])
    fleet.store.refuse = True
    finish(fleet, "a.0.0.0")
    time.sleep(0.5)
    assert sum(len(w.ended) for w in fleet.workers.values()) == 1
    fleet.store.refuse = False
    wait_for(lambda: fleet.state("a") == messages.COMPLETED)


def test_job_is_found_after_the_store_compacted_its_history(fleet):
    """Find a job whose change is no longer in the store's history.

    The watch fails because the history was compacted.  If it continued from
    the current revision, an accepted job would never start.
    """
    fleet.take_over()
    wait_for(lambda: len(fleet.owner.worker_links.links) == 2)
    with fleet.store.lock:
        fleet.submit(fleetfakes.job("a"))
        fleet.store.compact()
    wait_for(lambda: fleet.running() == ["a.0.0.0"])


def test_unlisted_worker_is_contacted_though_its_address_is_listed(fleet):
    """Contact an unlisted worker in use even if another has its address.

    A worker restarted and was used, its new entry expired in an outage while
    its old entry was still listed, and the owner changed.  If the listed
    incarnation were taken for the live one, a task would run on two workers.
    """
    restarted_id = fleetfakes.entry(0).worker_id + "-again"
    fleet.workers[restarted_id] = fleetfakes.MemoryWorker(restarted_id)
    fleet.store.commit(messages.Transaction(puts=(messages.Put(
        records.WORKERS_KEY, records.encode_addresses(
            {restarted_id: fleetfakes.entry(0).address})),)))
    task = messages.TaskId("a", 0, 0, 0)
    fleet.submit(fleetfakes.job("a"))
    fleet.workers[restarted_id].runs[task, 1] = fleetfakes.Run(task, 1)
    owner = fleet.take_over()
    fleet.submit(fleetfakes.job("b"))
    wait_for(lambda: "b.0.0.0" in fleet.running())
    assert fleet.starts() == ["b.0.0.0"]
    assert restarted_id in owner.fleet.workers


class LeaseAge(typing.NamedTuple):
    """Say how long ago the lease was renewed, and how many starts follow."""

    age_s: float
    starts: int


@pytest.mark.parametrize("lease_age", [
    LeaseAge(0.0, 1), LeaseAge(owner_mod.OWNER_LEASE_S + 0.1, 0)])
def test_owner_with_an_expired_lease_starts_no_new_job(lease_age):
    """Leave a job stored after a successor's claim to the successor.

    The owner's renewals got no answer, its lease expired, and a successor
    claimed the fleet and was still loading the stored state.  Then a job was
    stored.  The first owner, whose calls most workers still accepted, started
    it, and so did the successor: it holds back only jobs older than its
    claim, and this one was newer.  Each task ran twice at the same time.
    """
    fleet = Fleet()
    first_owner = fleet.take_over()
    wait_for(lambda: first_owner.recovered and all(
        w.enrolled and w.has_reported
        for w in first_owner.fleet.workers.values())
        and len(first_owner.fleet.workers) == 2)
    first_owner.note_lease_renewal(clock.now() - lease_age.age_s)
    fleet.submit(fleetfakes.job("a"))
    wait_for(lambda: "a" in first_owner.fleet.jobs)
    time.sleep(0.3)
    assert len(fleet.starts()) == lease_age.starts
    first_owner.note_lease_renewal(clock.now())
    fleet.submit(fleetfakes.job("b"))
    wait_for(lambda: "b.0.0.0" in fleet.starts())
    first_owner.step_down("test over")


def test_jobs_held_back_start_once_the_lease_is_renewed(fleet):
    owner = fleet.take_over()
    wait_for(lambda: owner.recovered)
    owner.note_lease_renewal(clock.now() - owner_mod.OWNER_LEASE_S - 0.1)
    fleet.submit(fleetfakes.job("a"))
    wait_for(lambda: "a" in owner.fleet.jobs)
    owner.note_lease_renewal(clock.now())
    wait_for(lambda: fleet.running() == ["a.0.0.0"])


def test_start_that_a_successor_may_have_ordered_is_refused():
    orders = []
    state = state_mod.FleetState(
        5, HOLD_MAX_MS, lambda *order: orders.append(order),
        fleetfakes.configuration)
    entry = fleetfakes.entry(0)
    state.add_worker(entry)
    state.owner_lease_until = clock.now() - 1.0
    job = state.add_job(fleetfakes.job("a"), 6)
    job.create_tasks(0)
    task = job.tasks[0, 0][0]
    state.start(job, task, state.workers[entry.worker_id], 1)
    assert not orders and task.phase == progress.IDLE


def test_worker_back_while_its_removal_is_stored_is_not_used(
        monkeypatch):
    """Do not use a worker that returns while its removal is being stored.

    A successor that reads the stored list would not contact the worker.
    """
    monkeypatch.setattr(link_mod.WorkerLink, "start",
                        lambda self, loop_thread: None)
    fleet = Fleet()
    fence = fleet.store.commit(messages.Transaction(
        puts=(messages.Put(records.OWNER_KEY, b"me"),)))
    owner = owner_mod.Owner(
        fleet.store, fleet.worker_list, lambda entry: None,
        fleetfakes.configuration, fence, HOLD_MAX_MS)
    owner.worker_links.update_workers(fleet.worker_list.entries)
    for worker in owner.fleet.workers.values():
        worker.has_reported = True
    assert owner.recorder.flush()
    worker = owner.fleet.workers["i-0"]
    assert worker.enrolled
    worker.sync_clock(0.0, clock.now())
    owner.fleet.mark_unresponsive("i-0", "no answer")
    owner.fleet.expire(clock.now() + 1.0)
    commit = fleet.store.commit
    enrolled = []

    def commit_without_answer(transaction):
        commit(transaction)
        monkeypatch.setattr(fleet.store, "commit", commit)
        owner.worker_links.update_workers(fleet.worker_list.entries)
        enrolled.append(owner.fleet.workers["i-0"].enrolled)
        raise interfaces.CallFailed("no answer")

    monkeypatch.setattr(fleet.store, "commit", commit_without_answer)
    assert owner.recorder.flush()
    assert "i-0" not in records.decode_mapping(
        fleet.store.items[records.WORKERS_KEY].value)
    assert enrolled == [False]
    assert not owner.fleet.workers["i-0"].enrolled
    owner.fleet.workers["i-0"].has_reported = True
    assert owner.recorder.flush()
    assert owner.fleet.workers["i-0"].enrolled


class Contender:
    """Let a process compete for a fleet whose store can become unreachable."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        fleet.store.commit(messages.Transaction(
            puts=(messages.Put(CONFIG_KEY, b"any"),)))
        watcher = controlwatcher.ControlWatcher(
            fleet.store, CONFIG_KEY, lambda _: fleetfakes.configuration())
        self.ownership = ownership_mod.Ownership(
            fleet.store, watcher, "me", self.make_owner)
        for target in (watcher.run, self.ownership.run):
            threading.Thread(target=target, daemon=True).start()

    def make_owner(self, fence: int) -> owner_mod.Owner:
        self.fleet.owner = owner_mod.Owner(
            self.fleet.store, self.fleet.worker_list,
            lambda entry: self.fleet.workers[entry.worker_id],
            fleetfakes.configuration, fence, HOLD_MAX_MS)
        return self.fleet.owner

    def cut_off_store(self) -> None:
        """Make the store unreachable until the owner has stepped down."""
        self.fleet.store.refuse = True
        owner = self.fleet.owner
        owner.note_lease_renewal(
            clock.now() - recovery.MAX_STORE_OUTAGE_S - 1.0)
        wait_for(lambda: self.ownership.owner is None
                 and not self.ownership.watcher.store_reachable)

    def stop(self) -> None:
        self.ownership.watcher.stopped.set()
        self.ownership.stop()


@pytest.fixture(name="contender")
def fixture_contender(fleet) -> typing.Iterator[Contender]:
    contender = Contender(fleet)
    yield contender
    fleet.store.refuse = False
    contender.stop()


class AfterOutage(typing.NamedTuple):
    """State of the run and its worker when the store is reachable again."""

    ended: bool
    worker_answers: bool


@pytest.mark.parametrize("case", [
    AfterOutage(False, False), AfterOutage(False, True),
    AfterOutage(True, False), AfterOutage(True, True)])
def test_no_task_starts_twice_after_its_owner_lost_the_store(
        fleet, contender, case):
    """Use a new fence after an outage that the owner's key survived.

    With the old fence the runs of the earlier term would be taken for those
    of the new one, and a task could be started twice.
    """
    wait_for(lambda: fleet.owner is not None and fleet.owner.recovered)
    fleet.submit(fleetfakes.job("a"))
    wait_for(lambda: fleet.running() == ["a.0.0.0"])
    first_owner = fleet.owner
    running_worker = next(w for w in fleet.workers.values() if w.runs)
    contender.cut_off_store()
    if case.ended:
        finish(fleet, "a.0.0.0")
    running_worker.unresponsive = not case.worker_answers
    fleet.store.refuse = False
    wait_for(lambda: fleet.owner is not first_owner and fleet.owner.recovered)
    fleet.submit(fleetfakes.job("b"))
    wait_for(lambda: "b.0.0.0" in fleet.running())
    assert fleet.starts().count("a.0.0.0") == 1
    assert fleet.owner.fence > first_owner.fence
    running_worker.unresponsive = False
    wait_for(lambda: not fleet.owner.fleet.awaited_workers)
    assert fleet.starts().count("a.0.0.0") == 1


class UnrecordingStore(fleetfakes.MemoryStore):
    """A store that can leave commits of progress without an answer."""

    def __init__(self) -> None:
        super().__init__()
        self.drop_progress = False

    def commit(self, transaction: messages.Transaction) -> int:
        if self.drop_progress and any(
                put.key.startswith(records.PROGRESS_PREFIX)
                for put in transaction.puts):
            raise interfaces.CallFailed("no answer")
        return super().commit(transaction)


@pytest.mark.parametrize("is_stored", [True, False])
def test_long_running_task_that_ran_is_not_held_back_after_takeover(is_stored):
    """Guards against a task that is down while capacity is kept for others."""
    fleet = Fleet(workers=12)
    fleet.store = UnrecordingStore()
    step = messages.Step(1, messages.Resources(3000, 1000), perpetual=True)
    try:
        fleet.take_over()
        for number in range(8):
            fleet.submit(fleetfakes.job(f"j{number}", step))
        wait_for(lambda: len(fleet.running()) == 8)
        fleet.store.drop_progress = not is_stored
        fleet.owner.note_lease_renewal(clock.now())
        fleet.submit(fleetfakes.job("last", step))
        wait_for(lambda: "last.0.0.0" in fleet.running()
                 and (fleet.state("last") != "") == is_stored)
        # The worker with the last job ends, and an unused one: now 60% of the
        # CPU is reserved, and both workers without a run must be left free.
        used = [w for w in fleet.workers.values() if w.runs]
        lost = [next(w for w in fleet.workers.values() if not w.runs),
                next(w for w in used
                     if any(task.job_id == "last" for task, _ in w.runs))]
        for worker in lost:
            worker.runs.clear()
            worker.restarted = True
        fleet.worker_list.entries = tuple(
            e for e in fleet.worker_list.entries
            if not fleet.workers[e.worker_id].restarted)
        fleet.owner.step_down("test")
        fleet.store.drop_progress = False
        fleet.take_over()
        wait_for(lambda: "last.0.0.0" in fleet.running())
    finally:
        fleet.owner.step_down("test over")
