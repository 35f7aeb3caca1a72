"""Test runs in a life of a worker that has not reported to the owner.

The clock of such a life starts anew, so a lease that ends by the clock of the
life before lasts for the longest time that a worker allows.
"""

import asyncio
import dataclasses
import time

import pytest

from sycamorefield.fleet import answers
from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import rounds
from sycamorefield.fleet import unreportedlife
from sycamorefield.fleet import workerstate
from tests import fleetfakes
from tests import test_fleet_link
from tests import test_fleet_restarts

HOLD_MAX_S = 6.0
# How long a lease lasts that is taken on by a slow clock, at most.
LONGEST_LEASE_S = HOLD_MAX_S / workerstate.MIN_CLOCK_RATE
# How long a worker is given to end runs beyond that, at most.
SLACK_S = 0.5
NEXT_LIFE_CLOCK_MS = 5_100.0
LATE_S = unreportedlife.LATE_CALL_S


class SilentBench(test_fleet_restarts.RestartBench):
    """A worker with an old run, and with a start that is under way."""

    def __init__(self):
        super().__init__(test_fleet_restarts.entry(0))
        self.worker = self.state.workers["i-0"]
        self.add(fleetfakes.job("old"))
        assert self.place() == ["old.0.0.0@i-0"]
        self.now += 0.1
        self.report("i-0", [messages.RunningTask(
            messages.TaskId("old", 0, 0, 0), 1, "", 10)])
        self.lease_end_ms = self.worker.grant_lease(
            workerstate.LEASE_MS, self.now)
        self.add(fleetfakes.job("new"))
        rounds.place(self.state, self.now, 1e12)
        self.order = self.orders[-1][1]
        assert str(self.order.task) == "new.0.0.0"
        self.worker.unsent_starts.clear()
        self.sent_at = self.now

    def answer_start(self, clock_ms):
        """Answer the start by a life with a clock."""
        answers.record_started(
            self.state, "i-0", self.order, self.now, answers.StartAnswer(
                clock_ms, self.lease_end_ms, self.sent_at))

    def leave_start_unanswered(self):
        """Let an attempt to start the run get no answer."""
        answers.record_attempt(
            self.state, "i-0", self.order, self.sent_at)

    def silence(self):
        self.worker.unresponsive = True

    def list_next_life(self):
        self.worker.update_entry(dataclasses.replace(
            self.worker.entry, born_ms=2_000))

    def free_after(self, job_id, limit_s=30.0):
        """Return how long after the start a task is free to run elsewhere."""
        task = next(iter(self.state.jobs[job_id].all_tasks()))
        elapsed_s = 0.0
        while task.phase != "idle" and elapsed_s < limit_s:
            elapsed_s += 0.05
            self.state.expire(self.sent_at + elapsed_s)
        return elapsed_s


@pytest.fixture(name="bench")
def fixture_bench():
    return SilentBench()


def assert_waits_for(waited_s, needed_s):
    assert needed_s <= waited_s <= needed_s + SLACK_S + 0.2


@pytest.mark.parametrize("clock_ms", [NEXT_LIFE_CLOCK_MS, 0.0])
def test_run_that_another_clock_started_is_held_for_the_longest_lease(
        bench, clock_ms):
    """Guards against a second run beside one that the next life began."""
    bench.answer_start(clock_ms)
    bench.silence()
    assert_waits_for(bench.free_after("new"), LONGEST_LEASE_S)


def test_run_that_the_reporting_life_started_waits_no_longer(bench):
    """Guards against tasks that stay down for lives that do not exist."""
    bench.answer_start(bench.now * 1000.0)
    bench.silence()
    assert_waits_for(bench.free_after("new"), (
        workerstate.LEASE_MS / 1000.0 / workerstate.MIN_CLOCK_RATE))


@pytest.mark.parametrize(("listed", "needed_s"), [
    (False, unreportedlife.PROMPT_CALL_S + LONGEST_LEASE_S),
    (True, LATE_S + LONGEST_LEASE_S)], ids=["none-listed", "listed"])
def test_unanswered_start_may_begin_in_the_next_life(bench, listed, needed_s):
    """Guards against a second run beside a start that is carried out late."""
    bench.leave_start_unanswered()
    if listed:
        bench.list_next_life()
    bench.silence()
    assert_waits_for(bench.free_after("new"), needed_s)


@pytest.mark.parametrize(("answered_after_s", "needed_s"), [
    (-0.1, unreportedlife.PROMPT_CALL_S + LONGEST_LEASE_S),
    (0.5, LATE_S + LONGEST_LEASE_S)], ids=["earlier-call", "later-call"])
def test_start_that_is_held_up_may_begin_in_a_life_that_is_not_known(
        bench, answered_after_s, needed_s):
    """Guards against a late start on a worker that answers other calls."""
    bench.leave_start_unanswered()
    answers.record_answer(bench.state, "i-0", bench.sent_at + answered_after_s)
    bench.silence()
    assert_waits_for(bench.free_after("new"), needed_s)


def test_start_that_a_later_life_cannot_carry_out_is_not_waited_for(bench):
    """Guards against tasks that are down for calls of long ago."""
    bench.leave_start_unanswered()
    bench.now += LATE_S + 1.0
    bench.report("i-0", [
        messages.RunningTask(messages.TaskId(job_id, 0, 0, 0), 1, "", 10)
        for job_id in ("old", "new")])
    bench.worker.grant_lease(workerstate.LEASE_MS, bench.now)
    bench.silence()
    assert_waits_for(bench.free_after("new"), LATE_S + 1.0 + (
        workerstate.LEASE_MS / 1000.0 / workerstate.MIN_CLOCK_RATE))


def test_repeated_start_may_begin_in_the_next_life(bench):
    """Guards against a first attempt that the next life carries out."""
    bench.leave_start_unanswered()
    bench.answer_start(bench.now * 1000.0)
    bench.list_next_life()
    bench.silence()
    assert_waits_for(bench.free_after("new"), LATE_S + LONGEST_LEASE_S)


def test_runs_of_the_life_before_do_not_wait_for_the_next(bench):
    """Guards against tasks that are down longer than their leases."""
    bench.leave_start_unanswered()
    bench.list_next_life()
    bench.silence()
    assert bench.free_after("old") < HOLD_MAX_S
    assert bench.worker.entry.worker_id in bench.state.workers
    assert bench.worker.reserved.keys() == {(bench.order.task, 1)}


def test_entry_of_the_life_before_shows_no_later_life(bench):
    """Guards against a wait for a life that has ended."""
    bench.report("i-0", born_ms=2_000)
    assert not bench.worker.later_life_is_listed()
    bench.list_next_life()
    assert not bench.worker.later_life_is_listed()


def test_successor_waits_for_runs_of_an_unreported_life(bench):
    """Guards against a wait that a change of the owner cuts short."""
    bench.answer_start(NEXT_LIFE_CLOCK_MS)
    bench.silence()
    bench.worker.unresponsive_since = bench.now
    silent = bench.state.silent_workers._find(
        bench.state, bench.now + 1.0)["i-0"]
    assert bench.order.task in silent.uncertain.tasks
    assert silent.uncertain.remaining_s >= LONGEST_LEASE_S - 1.0


@pytest.mark.parametrize(("born_ago_s", "lease_ms"), [
    (5.0, HOLD_MAX_S * 1000.0), (-5.0, HOLD_MAX_S * 1000.0),
    (300.0, workerstate.LEASE_MS)], ids=["new", "clock-set-back", "old"])
def test_first_report_of_a_new_life_bounds_leases_of_earlier_owners(
        born_ago_s, lease_ms):
    """Guards against a successor that takes an old lease for a short one."""
    bench = test_fleet_restarts.RestartBench()
    bench.state.add_worker(test_fleet_restarts.entry(0))
    bench.report("i-0", clock_ms=50_000.0, born_ms=int(
        clock.wall_ms() - born_ago_s * 1000.0))
    assert bench.state.workers["i-0"].granted_end_ms == 50_000.0 + lease_ms


class RecordingWorker(fleetfakes.MemoryWorker):
    """Record what calls for reports carry."""

    def __init__(self, worker_id):
        super().__init__(worker_id)
        self.calls = []

    async def renew(self, fence, recorded_upto, lease_end_ms, wait_ms,
                    answer_s=interfaces.REPORT_ANSWER_S):
        self.calls.append((recorded_upto, lease_end_ms))
        return await super().renew(
            fence, recorded_upto, lease_end_ms, wait_ms, answer_s)


def test_life_that_has_not_reported_gets_no_lease_and_forgets_no_end(
        bench, monkeypatch):
    """Guards against ends that the next life forgets before they are read."""
    offset_s = bench.now - time.monotonic()
    monkeypatch.setattr(clock, "now", lambda: time.monotonic() + offset_s)
    worker = RecordingWorker("i-0")
    link = test_fleet_link.make_link(bench, worker)
    link.ends.note_report(1_000)
    link.ends.store(link.ends.stored._replace(born_ms=1_000, number=31))
    bench.answer_start(NEXT_LIFE_CLOCK_MS)
    worker.restart()
    for _ in range(2):
        asyncio.run(link._renew_once())
    (first_upto, first_lease), (_, second_lease) = worker.calls
    assert (first_upto, first_lease) == (0, None)
    assert second_lease is not None
