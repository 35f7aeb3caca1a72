"""Test what is known of starts without an answer after an owner or a life."""

import asyncio
import dataclasses

import pytest

from sycamorefield.fleet import answers
from sycamorefield.fleet import awaitedworkers
from sycamorefield.fleet import clock
from sycamorefield.fleet import messages
from sycamorefield.fleet import recordedends
from sycamorefield.fleet import silentworkers
from sycamorefield.fleet import unreportedlife
from sycamorefield.fleet import workerstate
from tests import test_fleet_acknowledgements
from tests import test_fleet_link
from tests import test_fleet_restarts
from tests import test_fleet_unanswered_start_records as chains
from tests import test_fleet_unreported_life as lives

fixture_chain = chains.fixture_chain
fixture_bench = lives.fixture_bench
fixture_link = test_fleet_acknowledgements.fixture_link


@pytest.mark.parametrize("end", ["stopped", "killed"])
def test_later_life_that_an_owner_has_seen_is_known_to_its_successors(
        chain, end):
    """Guards against a later life whose entry has expired since."""
    chain.leave_start_unanswered()
    chain.wait_until(2.0)
    chain.change_owner(end)
    chain.owner.list_next_life()
    chain.wait_until(4.0)
    chain.owner.born_ms = 0
    chain.change_owner(end)
    chain.owner.state.update_listed({"i-1"}, chain.owner.now)
    assert chains.LATE_S <= chain.freed_after(chains.NEW) <= (
        chains.LATE_S + 2 * chains.STORED_SLACK_S + chains.SLACK_S)


def test_start_that_is_held_up_is_known_after_the_first_report(chain):
    """Guards against a first attempt of an earlier owner to start a run."""
    chain.leave_start_unanswered()
    chain.worker.unresponsive = False
    answers.record_started(
        chain.owner.state, "i-0", chain.order, chain.owner.now)
    answers.record_answer(chain.owner.state, "i-0", chain.sent_at + 0.6)
    chain.wait_until(1.0)
    chain.change_owner("stopped")
    chain.owner.now += 0.1
    chain.owner.report("i-0", [
        messages.RunningTask(task, 1, "", 10)
        for task in (chains.OLD, chains.NEW)], born_ms=chains.FIRST_BORN_MS)
    chain.owner.state.workers["i-0"].grant_lease(5000.0, chain.owner.now)
    chain.owner.state.mark_unresponsive("i-0", "no answer")
    assert chain.freed_after(chains.OLD) <= 8.0
    assert chains.LATE_S <= chain.freed_after(chains.NEW) <= (
        chains.LATE_S + 1.0)


def test_uncertain_starts_are_recorded_without_other_tasks(
        chain, monkeypatch):
    """Guards against starts that a large fleet leaves out of its record."""
    monkeypatch.setattr(silentworkers, "MAX_RECORDED_TASKS", 0)
    monkeypatch.setattr(chains, "AWAITED_S", 13.4)
    chain.leave_start_unanswered()
    chain.wait_until(1.0)
    chain.owner.list_next_life()
    chain.change_owner("stopped")
    assert chains.LATE_S <= chain.freed_after(chains.NEW, 30.0) <= (
        chains.LATE_S + chains.SLACK_S)


def test_order_answered_by_a_later_life_ends_no_wait(bench):
    """Guards against an answer that does not tell which life gave it."""
    bench.leave_start_unanswered()
    bench.list_next_life()
    bench.silence()
    answered_after_s = lives.LATE_S + 0.1
    assert bench.free_after("new", answered_after_s) >= answered_after_s
    answers.record_answer(
        bench.state, "i-0", bench.sent_at + answered_after_s)
    bench.sent_at += answered_after_s
    lives.assert_waits_for(
        bench.free_after("new") + answered_after_s,
        lives.LATE_S + lives.LONGEST_LEASE_S)


def test_lease_that_is_held_up_extends_a_start_that_is_held_up():
    """Guards against a late lease that a later call for one hides."""
    life = unreportedlife.UnreportedLife()
    life.add_attempt((chains.NEW, 1), 100.0)
    life.note_answer(100.6)
    life.add_lease(105.0)
    life.note_report(107.0)
    life.add_lease(108.0)
    assert life.ends_at(6.0, False) >= 105.0 + lives.LATE_S + 6.0


def test_worker_with_many_ends_forgets_none_behind_an_unanswered_start(
        fixture):
    """Guards against a delay that was over before the start was sent."""
    fixture.answer_start()
    assert fixture.next_number() == test_fleet_acknowledgements.STORED
    fixture.bench.now += 5.0
    fixture.link.ends.store(recordedends.LifeEnds(
        test_fleet_acknowledgements.BORN_MS,
        test_fleet_acknowledgements.STORED + 1))
    fixture.bench.sent_at = fixture.bench.now
    fixture.bench.leave_start_unanswered()
    assert fixture.next_number() == 0


def test_ends_of_a_later_life_are_acknowledged(fixture, monkeypatch):
    """Guards against an end that is taken for one of the life before."""
    fixture.answer_start()
    number = test_fleet_acknowledgements.STORED

    async def renew(fence, recorded_upto, lease_end_ms, wait_ms, answer_s):
        return messages.WorkerReport(100.0, (), (), 2_000)

    monkeypatch.setattr(fixture.link.worker, "renew", renew)
    asyncio.run(fixture.link._renew(fixture.link.worker, 1))
    fixture.link.ends.note_report(2_000)
    fixture.link.ends.store(recordedends.LifeEnds(2_000, number))
    assert fixture.next_number() == number


def test_no_start_is_sent_that_the_record_of_a_planned_stop_lacks(
        chain, monkeypatch):
    """Guards against a start between its lease and its record."""
    worker = chains.CollectingWorker(chain)
    worker.handover_data = b""
    link = test_fleet_link.make_link(chain.owner, worker)
    monkeypatch.setattr(link, "_lease_end_ms", lambda longest_ms: 5_000.0)
    started = []

    async def start(order, fence, lease_end_ms):
        started.append(order)
        return 0.0

    monkeypatch.setattr(worker, "start", start)
    chain.owner.state.leases_closed = True
    asyncio.run(link._send_start(chain.order))
    assert not started


def test_life_by_a_clock_that_is_far_ahead_does_not_stop_the_fleet(
        chain, monkeypatch):
    """Guards against older tasks that wait until the clocks agree."""
    monkeypatch.setattr(chains, "AWAITED_S", 6.0)
    chain.wait_until(chains.KILLED_AT_S)
    chain.owner.list_next_life(int(clock.wall_ms()) + 3_600_000)
    chain.change_owner("killed")
    assert chain.freed_after(chains.NEW, 60.0) <= (
        chains.KILLED_AT_S + awaitedworkers.EARLIER_STARTS_S + chains.LATE_S
        + chains.SLACK_S)


def test_start_of_an_earlier_run_may_begin_in_the_next_life(bench):
    """Guards against a start that the life refused which ended its run."""
    bench.leave_start_unanswered()
    job = bench.state.jobs["new"]
    task = next(iter(job.all_tasks()))
    bench.worker.release((bench.order.task, 1), task.step)
    task.reset_run()
    bench.state.start(job, task, bench.worker, 2)
    bench.worker.unsent_starts.clear()
    answers.record_started(
        bench.state, "i-0", dataclasses.replace(bench.order, run=2),
        bench.now)
    bench.worker.grant_lease(workerstate.LEASE_MS, bench.now)
    bench.silence()
    lives.assert_waits_for(
        bench.free_after("new"), lives.LATE_S + lives.LONGEST_LEASE_S)


@pytest.mark.parametrize("listed", [(2_000, 3_000), (2_000, 3_000, 4_000)])
def test_each_life_after_the_known_one_may_run_a_late_start(bench, listed):
    """Guards against a worker that starts again twice before it reports."""
    bench.leave_start_unanswered()
    for born_ms in listed:
        bench.worker.update_entry(dataclasses.replace(
            bench.worker.entry, born_ms=born_ms))
    bench.silence()
    lives.assert_waits_for(
        bench.free_after("new"), lives.LATE_S + lives.LONGEST_LEASE_S)


def test_listed_life_that_reports_is_no_later_one(bench):
    """Guards against a wait for a life that is known."""
    for born_ms in (2_000, 3_000):
        bench.worker.update_entry(dataclasses.replace(
            bench.worker.entry, born_ms=born_ms))
    bench.report("i-0", born_ms=3_000)
    assert not bench.worker.later_life_is_listed()


@pytest.mark.parametrize("is_late", [False, True])
def test_task_starts_again_where_its_start_may_be_late(bench, is_late):
    """Guards against a run beside one that the next life begins elsewhere."""
    bench.state.add_worker(test_fleet_restarts.entry(1))
    bench.report("i-1")
    bench.state.enrol(["i-0", "i-1"])
    for number in range(2):
        # The fuller worker is used first.
        bench.state.workers["i-1"].reserve(
            (messages.TaskId("other", 0, 0, number), 1),
            bench.worker.tasks[bench.order.task, 1].step, None)
    if is_late:
        bench.leave_start_unanswered()
    task = bench.worker.tasks[bench.order.task, 1]
    bench.worker.release((bench.order.task, 1), task.step)
    task.reset_run()
    assert bench.place() == [
        "new.0.0.0@i-0" if is_late else "new.0.0.0@i-1"]
