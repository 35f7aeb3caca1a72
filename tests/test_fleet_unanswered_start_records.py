"""Test that starts without an answer hold their tasks under later owners.

A life of a worker that has begun since may carry such a start out late, and
then runs it for the longest lease.
"""

import asyncio
import dataclasses
import random
import sys
import typing

import pytest

from sycamorefield.fleet import answers
from sycamorefield.fleet import clock
from sycamorefield.fleet import handoverrecord
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import latestarts
from sycamorefield.fleet import learnedstate
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import records
from sycamorefield.fleet import rounds
from sycamorefield.fleet import silentworkers
from sycamorefield.fleet import unreportedlife
from sycamorefield.fleet import workerstate
from tests import fleetfakes
from tests import test_fleet_link
from tests import test_fleet_restarts

HOLD_MAX_S = 6.0
# How long a lease lasts that is taken on by a slow clock, at most.
LONGEST_LEASE_S = HOLD_MAX_S / workerstate.MIN_CLOCK_RATE
LATE_S = unreportedlife.LATE_CALL_S + LONGEST_LEASE_S
PROMPT_S = unreportedlife.PROMPT_CALL_S + LONGEST_LEASE_S
LEASE_S = workerstate.LEASE_EXPIRY_S
# Beyond the longest wait of a successor without a record.
AWAITED_S = 40.0
# How much longer than needed a task may wait, and how much longer by the last
# stored time of an owner that was killed.
SLACK_S = 0.5
STORED_SLACK_S = silentworkers.UPDATE_PERIOD_S
STEP_S = 0.05
# Before an owner stores that a worker is silent.
KILLED_AT_S = 0.3
FIRST_BORN_MS, NEXT_BORN_MS = 1_000, 2_000
# The time of day when the clock of the owners shows 0.
WALL_MS = 1_000_000_000
OLD = messages.TaskId("old", 0, 0, 0)
NEW = messages.TaskId("new", 0, 0, 0)


class Owner(test_fleet_restarts.RestartBench):
    """The state of an owner of the workers i-0, which is silent, and i-1."""

    def __init__(self, now: float, fence: int, born_ms: int) -> None:
        super().__init__()
        self.now = now
        self.state.fence = fence
        self.born_ms = born_ms

    def add_workers(self) -> None:
        """Add the workers, as the list shows them."""
        self.state.add_worker(test_fleet_restarts.entry(0, self.born_ms))
        self.state.add_worker(test_fleet_restarts.entry(1))

    def list_next_life(self, born_ms: int = NEXT_BORN_MS) -> None:
        self.born_ms = born_ms
        self.add_workers()

    def is_in_use(self, worker_id: str) -> bool:
        """Return whether a worker is on the stored list of those in use."""
        worker = self.state.workers.get(worker_id)
        return worker_id in self.state.awaited_workers or (
            worker is not None and worker.has_reported)

    def is_held(self, task: messages.TaskId) -> bool:
        """Return whether a task may not start on another worker."""
        unproven = self.state.unproven_tasks()
        return (unproven is None or task in unproven
                or self.state.find(task)[1].phase != "idle")


class Chain:
    """Owners that follow one another; the first one sends the start.

    Neither attempt to start the task "new" on i-0 is answered.  "old" runs
    there by a lease that was granted with the first attempt.
    """

    def __init__(self, monkeypatch) -> None:
        monkeypatch.setattr(clock, "now", lambda: self.owner.now)
        monkeypatch.setattr(
            clock, "wall_ms", lambda: WALL_MS + self.owner.now * 1000.0)
        self.sent_at = 100.0
        self.stored = silentworkers.encode({})
        self.owner = Owner(self.sent_at, 10, FIRST_BORN_MS)
        self.owner.add_workers()
        for worker_id in ("i-0", "i-1"):
            self.owner.report(worker_id)
        self.owner.state.enrol(["i-0", "i-1"])
        self._add_jobs()
        self.worker = self.owner.state.workers["i-0"]
        rounds.place(self.owner.state, self.owner.now, 1e12)
        for worker_id, order in self.owner.orders:
            assert worker_id == "i-0"
            self.worker.unsent_starts.clear()
            if order.task == OLD:
                answers.record_started(
                    self.owner.state, "i-0", order, self.owner.now)
            else:
                self.order = order
        self.worker.grant_lease(workerstate.LEASE_MS, self.owner.now)

    def _add_jobs(self) -> None:
        for job_id in ("old", "new"):
            self.owner.add(fleetfakes.job(job_id), created=5)

    def leave_start_unanswered(self) -> None:
        """Let the start get no answer, and the worker be silent after it."""
        answers.record_attempt(
            self.owner.state, "i-0", self.order, self.sent_at)
        self.owner.state.mark_unresponsive("i-0", "no answer")

    def elapsed_s(self) -> float:
        return self.owner.now - self.sent_at

    def wait_until(self, elapsed_s: float) -> None:
        """Let the present owner go on until some time after the start."""
        while self.elapsed_s() < elapsed_s:
            self.owner.now += STEP_S
            self.owner.state.expire(self.owner.now)
            self.store_silent_workers()

    def store_silent_workers(self) -> None:
        """Store the record of silent workers if that is due."""
        silent_workers = self.owner.state.silent_workers
        value = silent_workers.data_when_due(self.owner.state, self.owner.now)
        if value is not None:
            self.stored = value
            silent_workers.note_stored(value)

    def handover_data(self) -> bytes:
        """Return the record of a planned stop now."""
        state, now = self.owner.state, self.owner.now
        return handoverrecord.encode(
            state.fence, handoverrecord.collect(state, {}, now),
            state.late_starts.for_successor(state.workers.values(), now))

    def change_owner(self, end: str) -> None:
        """Let the owner be stopped as planned, or be killed."""
        self.follow_owner(self.handover_data() if end == "stopped" else None)

    def follow_owner(self, handover_data: bytes | None) -> None:
        """Let the next owner read what is stored."""
        before = self.owner
        self.owner = Owner(
            before.now, before.state.fence + 1, before.born_ms)
        state = self.owner.state
        self._add_jobs()
        state.silent_workers.load(messages.Item(
            records.SILENT_WORKERS_KEY, self.stored, 19, 19))
        if handover_data is not None:
            handoverrecord.load(state, messages.Item(
                records.HANDOVER_KEY, handover_data, 19, 19))
        awaited = ["i-0"] if before.is_in_use("i-0") else []
        state.await_workers(awaited, self.owner.now + AWAITED_S)
        self.owner.add_workers()
        self.owner.report("i-1")

    def freed_after(self, task: messages.TaskId,
                    limit_s: float = AWAITED_S) -> float:
        """Return how long after the start a task is free."""
        while self.owner.is_held(task) and self.elapsed_s() < limit_s:
            self.wait_until(self.elapsed_s() + STEP_S)
        return self.elapsed_s()


@pytest.fixture(name="chain")
def fixture_chain(monkeypatch) -> Chain:
    return Chain(monkeypatch)


def slack_s(changes: "list[Change]") -> float:
    """Return how much longer than needed a task may wait."""
    return SLACK_S + STORED_SLACK_S * sum(
        change.end == "killed" for change in changes)


class Change(typing.NamedTuple):
    """How an owner ends, and when, in seconds after the start."""

    end: str
    at: float


CHAINS = [
    [Change("stopped", 0.1)], [Change("stopped", 2.0)],
    [Change("killed", 2.0)],
    [Change("stopped", 2.0), Change("stopped", 5.0)],
    [Change("stopped", 2.0), Change("killed", 5.0)],
    [Change("killed", 2.0), Change("stopped", 5.0), Change("killed", 9.0)]]


@pytest.mark.parametrize("changes", CHAINS, ids=str)
@pytest.mark.parametrize("listed_at", [1.0, 3.0, 6.0])
def test_later_life_may_carry_out_a_start_of_an_earlier_owner(
        chain, changes, listed_at):
    """Guards against a second run beside a start that is carried out late."""
    chain.leave_start_unanswered()
    steps = [(change.at, lambda end=change.end: chain.change_owner(end))
             for change in changes]
    steps.append((listed_at, lambda: chain.owner.list_next_life()))
    for at, step in sorted(steps, key=lambda row: row[0]):
        chain.wait_until(at)
        step()
    assert LATE_S <= chain.freed_after(NEW) <= LATE_S + slack_s(changes)


@pytest.mark.parametrize("changes", CHAINS, ids=str)
def test_start_of_an_earlier_owner_waits_for_no_life_that_is_not_known(
        chain, changes):
    """Guards against tasks that are down for the longest delay of a call."""
    chain.leave_start_unanswered()
    for change in changes:
        chain.wait_until(change.at)
        chain.change_owner(change.end)
    waited_s = chain.freed_after(NEW)
    assert waited_s >= PROMPT_S
    assert waited_s <= max(PROMPT_S, changes[-1].at) + slack_s(changes)


@pytest.mark.parametrize("changes", CHAINS, ids=str)
def test_runs_by_known_leases_wait_for_no_later_life(chain, changes):
    """Guards against tasks that are down longer than their leases."""
    chain.leave_start_unanswered()
    chain.wait_until(1.0)
    chain.owner.list_next_life()
    for change in changes:
        chain.wait_until(max(1.0, change.at))
        chain.change_owner(change.end)
    waited_s = chain.freed_after(OLD)
    assert waited_s <= max(LEASE_S, changes[-1].at) + slack_s(changes)
    assert chain.owner.is_held(NEW)
    assert not chain.owner.state.awaits_reports(chain.owner.now)


@pytest.mark.parametrize("later_ends", [(), ("killed",), ("stopped",),
                                        ("killed", "stopped")], ids=str)
@pytest.mark.parametrize("is_listed", [True, False])
def test_successor_without_a_record_waits_for_a_life_that_has_just_begun(
        chain, is_listed, later_ends, monkeypatch):
    """Guards against a start of an owner that was killed before it stored.

    A life that began long ago, or is not listed, is not waited for.
    """
    monkeypatch.setattr(sys.modules[__name__], "AWAITED_S", 6.0)
    chain.leave_start_unanswered()
    chain.wait_until(KILLED_AT_S)
    chain.owner.list_next_life(int(clock.wall_ms()))
    for end in ("killed", *later_ends):
        chain.change_owner(end)
        if not is_listed:
            chain.owner.state.update_listed({"i-1"}, chain.owner.now)
        chain.wait_until(chain.elapsed_s() + 1.0)
    waited_s = chain.freed_after(NEW, 40.0)
    if is_listed:
        assert LATE_S <= waited_s <= (
            KILLED_AT_S + LATE_S + learnedstate.MAX_CLOCK_ERROR_S + SLACK_S)
    else:
        assert waited_s <= KILLED_AT_S + AWAITED_S + SLACK_S + (
            STORED_SLACK_S * len(later_ends))


@pytest.mark.parametrize("seed", range(200))
def test_no_chain_of_owners_frees_a_task_that_a_listed_life_runs(
        chain, seed, monkeypatch):
    """Guards against orders of events that no other test has."""
    monkeypatch.setattr(sys.modules[__name__], "AWAITED_S", LEASE_S + 1.5)
    chances = random.Random(seed)
    chain.leave_start_unanswered()
    listed_at = chances.uniform(0.1, PROMPT_S - 0.1)
    carried_out_at = chances.uniform(listed_at, unreportedlife.LATE_CALL_S)
    events = [(listed_at, lambda: chain.owner.list_next_life(
        int(clock.wall_ms())))]
    at = 0.0
    for _ in range(chances.randint(1, 5)):
        at += chances.choice((0.2, 0.8, 2.0, 5.0)) * chances.uniform(0.5, 1.5)
        end = chances.choice(("stopped", "killed"))
        events.append((at, lambda end=end: chain.change_owner(end)))
    for at, event in sorted(events, key=lambda row: row[0]):
        chain.wait_until(at)
        event()
    while chain.elapsed_s() < carried_out_at + LONGEST_LEASE_S:
        assert chain.owner.is_held(NEW) or chain.elapsed_s() < carried_out_at
        chain.wait_until(chain.elapsed_s() + STEP_S)


def report_next_life(chain: Chain, running=()) -> None:
    """Let the next life of i-0 report and acknowledge a stop."""
    owner = chain.owner
    clock_ms = 5_100.0 + owner.now
    owner.report("i-0", running, born_ms=NEXT_BORN_MS, clock_ms=clock_ms)
    answers.record_stopped(owner.state, "i-0", messages.StopOrder(
        NEW, chain.order.run), owner.now)
    owner.now += STEP_S
    owner.report("i-0", running, born_ms=NEXT_BORN_MS, clock_ms=clock_ms)


OUTLIVED = [
    [], [Change("stopped", 2.0)], [Change("stopped", 0.5)],
    [Change("stopped", 0.5), Change("stopped", 2.0)],
    [Change("stopped", 2.0), Change("stopped", 5.0)]]


@pytest.mark.parametrize("changes", OUTLIVED, ids=str)
@pytest.mark.parametrize("is_confirmed", [False, True])
def test_start_that_outlived_a_life_is_waited_for(
        chain, changes, is_confirmed):
    """Guards against a start that the life after the next one carries out."""
    if is_confirmed:
        answers.record_attempt(
            chain.owner.state, "i-0", chain.order, chain.sent_at)
        answers.record_started(
            chain.owner.state, "i-0", chain.order, chain.owner.now)
    else:
        chain.leave_start_unanswered()
        answers.stop_uncertain_run(chain.owner.state, "i-0", chain.order)
    events = [(change.at, lambda end=change.end: chain.change_owner(end))
              for change in changes]
    events.append((1.0, lambda: chain.owner.list_next_life()))
    events.append((1.1, lambda: report_next_life(chain)))
    for at, event in sorted(events, key=lambda row: row[0]):
        chain.wait_until(at)
        event()
        if at > 1.1:
            report_next_life(chain)
    late_s = unreportedlife.LATE_CALL_S
    assert late_s <= chain.freed_after(NEW) <= late_s + SLACK_S
    assert not chain.owner.is_held(OLD)


def test_run_that_the_next_life_reports_is_no_late_start(chain):
    """Guards against a task that is held back although it runs."""
    chain.leave_start_unanswered()
    chain.wait_until(1.0)
    chain.owner.list_next_life()
    chain.change_owner("stopped")
    report_next_life(chain, [messages.RunningTask(
        NEW, chain.order.run, "", 10)])
    assert not chain.owner.state.late_starts.until


@pytest.mark.parametrize("field", ["perpetual", "speculative"])
def test_tasks_that_last_or_may_run_twice_wait_for_no_late_start(field):
    """Guards against tasks that are down for a life that may never begin."""
    late_starts = latestarts.LateStarts()
    step = dataclasses.replace(
        messages.Step(1, messages.Resources(10, 10)), **{field: True})
    late_starts.add(progress.TaskState(NEW, step), 10.0)
    assert not late_starts.until


@pytest.mark.parametrize("end", ["killed", "stopped"])
def test_recorded_worker_of_a_killed_owner_may_have_unknown_starts(
        chain, end, monkeypatch):
    """Guards against a start of a killed owner that no record names.

    Its successor has recorded the worker without knowing of the start.
    """
    monkeypatch.setattr(sys.modules[__name__], "AWAITED_S", 6.0)
    chain.leave_start_unanswered()
    chain.wait_until(KILLED_AT_S)
    chain.owner.list_next_life(int(clock.wall_ms()))
    chain.change_owner("killed")
    chain.wait_until(KILLED_AT_S + 2 * silentworkers.MIN_SILENCE_S)
    chain.change_owner(end)
    assert chain.freed_after(NEW, 40.0) >= LATE_S


class CollectingWorker(fleetfakes.MemoryWorker):
    """Make the record of a planned stop while a start is under way."""

    def __init__(self, chain: Chain) -> None:
        super().__init__("i-0")
        self.chain = chain
        self.handover_data: bytes | None = None

    async def start(self, order, fence, lease_end_ms):
        if self.handover_data is None:
            self.handover_data = self.chain.handover_data()
        raise interfaces.CallFailed("no answer")


def test_record_of_a_planned_stop_covers_starts_under_way(chain):
    """Guards against a start that reaches the next life as an owner stops."""
    worker = CollectingWorker(chain)
    link = test_fleet_link.make_link(chain.owner, worker)
    asyncio.run(link._send_start(chain.order))
    chain.follow_owner(worker.handover_data)
    assert PROMPT_S <= chain.freed_after(NEW) <= PROMPT_S + SLACK_S
