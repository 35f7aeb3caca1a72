"""Test workers that start again under their ID.

Such a worker knows nothing of its life before: it runs nothing, has seen no
fence, and numbers the ends of its runs from 1; its clock starts anew.
"""

import asyncio

import pytest

from sycamorefield.fleet import answers
from sycamorefield.fleet import clock
from sycamorefield.fleet import crashes
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import link as link_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import reports
from sycamorefield.fleet import rounds
from sycamorefield.fleet import stragglers
from sycamorefield.fleet import suspicion
from sycamorefield.fleet import workerlinks
from sycamorefield.fleet import workerstate
from tests import fleetfakes
from tests import test_fleet_state
from tests import test_fleet_takeover

wait_for = test_fleet_takeover.wait_for
# The clock of a worker's first life is ahead of the owner's by this much: set
# back, it must not become negative, however recently this machine started.
FIRST_OFFSET_MS = 2e6
# Jobs that complete in the first life of a worker.
EARLIER_JOBS = ("a", "b", "c")
# The longest lease that a worker takes on has certainly expired after this.
LEASES_OVER_S = 10.0


@pytest.fixture(name="fleet")
def fixture_fleet():
    fleet = test_fleet_takeover.LeasedFleet(workers=1)
    yield fleet
    fleet.owner.step_down("test over")


def complete(fleet, job_id):
    """Submit a job of one task and let its run end as done."""
    fleet.submit(fleetfakes.job(job_id))
    wait_for(lambda: fleet.running() == [f"{job_id}.0.0.0"])
    test_fleet_takeover.finish(fleet, f"{job_id}.0.0.0")
    wait_for(lambda: fleet.state(job_id) == messages.COMPLETED)


def restart_quickly(fleet, clock_offset_ms):
    """Restart before a second call to the worker has failed."""
    fleet.restart("i-0", clock_offset_ms)


def restart_after_silence(fleet, clock_offset_ms):
    """Restart once the silent worker has been given up."""
    fleet.workers["i-0"].unresponsive = True
    wait_for(lambda: "i-0" not in fleet.owner.fleet.workers)
    fleet.restart("i-0", clock_offset_ms)


@pytest.mark.parametrize("clock_offset_ms", [
    0.5 * FIRST_OFFSET_MS, FIRST_OFFSET_MS, 1.5 * FIRST_OFFSET_MS],
    ids=["clock-back", "same-clock", "clock-ahead"])
@pytest.mark.parametrize("restart", [restart_quickly, restart_after_silence])
def test_ends_on_a_restarted_worker_are_recorded(
        fleet, restart, clock_offset_ms, monkeypatch):
    """Guards against acknowledging unread ends, whose tasks then run twice."""
    monkeypatch.setattr(workerstate, "LEASE_MS", 400.0)
    fleet.workers["i-0"].clock_offset_ms = FIRST_OFFSET_MS
    fleet.take_over()
    for job_id in EARLIER_JOBS:
        complete(fleet, job_id)
    restart(fleet, clock_offset_ms)
    for job_id in ("d", "e"):
        complete(fleet, job_id)
    assert not fleet.workers["i-0"].acknowledged_unseen_ends
    assert fleet.starts() == [f"{job_id}.0.0.0" for job_id in "abcde"]


def entry(number=0, born_ms=1_000, **overrides):
    return fleetfakes.entry(number, born_ms=born_ms, **overrides)


class RestartBench(test_fleet_state.Bench):
    """A fleet state whose workers report the life that they are in."""

    def report(self, worker_id, running=(), ended=(), born_ms=1_000,
               clock_ms=None, sent_at=None):
        reports.apply_report(
            self.state, worker_id, messages.WorkerReport(
                self.now * 1000.0 if clock_ms is None else clock_ms,
                tuple(running), tuple(ended), born_ms),
            self.now if sent_at is None else sent_at, self.now)


TASK = messages.TaskId("j", 0, 0, 0)


@pytest.fixture(name="bench")
def fixture_bench():
    bench = RestartBench(entry(0), entry(1))
    bench.add(fleetfakes.job("j"))
    return bench


@pytest.mark.parametrize("born_ms", [2_000, 500],
                         ids=["clock-goes-on", "clock-set-back"])
def test_late_report_of_an_earlier_life_is_ignored(bench, born_ms):
    """Guards against a late report that undoes what the next life reported."""
    assert bench.place() == ["j.0.0.0@i-0"]
    bench.now += 0.1
    bench.report("i-0", [messages.RunningTask(TASK, 1, "", 10)])
    requested_at = bench.now
    bench.now += 0.1
    bench.report("i-0", born_ms=born_ms)
    assert bench.place() == ["j.0.0.0@i-1"]
    bench.report("i-0", [messages.RunningTask(TASK, 1, "", 20)],
                 sent_at=requested_at)
    assert not bench.stops()
    assert not bench.state.workers["i-0"].reserved
    assert bench.state.workers["i-0"].born_ms == born_ms


@pytest.mark.parametrize(("listed_born_ms", "born_ms", "usable"), [
    (1_000, 2_000, False), (2_000, 2_000, True), (0, 2_000, True),
    (1_000, 0, True),
], ids=["earlier", "current", "not-listed", "not-reported"])
def test_worker_is_used_only_with_an_entry_of_its_present_life(
        listed_born_ms, born_ms, usable):
    """Guards against placing by the capacity of a life that has ended."""
    bench = RestartBench(entry(0, listed_born_ms))
    bench.state.workers["i-0"].born_ms = 0
    bench.report("i-0", born_ms=born_ms)
    bench.add(fleetfakes.job("j"))
    assert bool(bench.place()) is usable


@pytest.mark.parametrize("born_ms", [2_000, 500],
                         ids=["clock-goes-on", "clock-set-back"])
def test_restarted_worker_is_added_again_at_once(born_ms):
    """Guards against leaving a restarted worker unused for seconds."""
    bench = RestartBench(entry(0))
    bench.state.mark_unresponsive("i-0", "closed")
    crashes.worker_replaced(bench.state, "i-0")
    assert not bench.state.add_worker(entry(0))
    assert bench.state.add_worker(entry(0, born_ms))
    assert bench.state.workers["i-0"].entry.born_ms == born_ms


@pytest.mark.parametrize("clock_ms", [500.0, 1e9])
def test_leases_follow_the_clock_of_the_present_life(bench, clock_ms):
    """Guards against leases by the clock of a life that has ended."""
    worker = bench.state.workers["i-0"]
    worker.grant_lease(workerstate.LEASE_MS, bench.now)
    bench.now += 1.0
    bench.report("i-0", born_ms=2_000, clock_ms=clock_ms)
    # Leases for the earlier clock may last for the longest lease.
    assert not worker.leases_expired(
        bench.now + bench.state.hold_max_ms / 1000.0)
    assert worker.leases_expired(
        bench.now + bench.state.hold_max_ms / 1000.0 + 1.0)
    assert worker.grant_lease(workerstate.LEASE_MS, bench.now) == (
        clock_ms + workerstate.LEASE_MS)


@pytest.mark.parametrize(("phase", "restarts"), [
    ("confirmed", True), ("unanswered", False), ("confirmed-since", False),
    ("listed", False)])
def test_restart_ends_only_runs_of_the_life_before(bench, phase, restarts):
    """Guards against a second run while the new life has the first."""
    bench.now += 0.1
    rounds.place(bench.state, bench.now, 1e12)
    order = bench.orders[-1][1]
    answers.should_send(bench.state, "i-0", order)
    requested_at = bench.now + 0.1
    if phase == "confirmed":
        answers.record_started(bench.state, "i-0", order, bench.now)
    bench.now += 0.2
    if phase == "confirmed-since":
        answers.record_started(bench.state, "i-0", order, bench.now)
    running = ([messages.RunningTask(TASK, 1, "", 10)]
               if phase == "listed" else [])
    bench.report("i-0", running, born_ms=2_000, sent_at=requested_at)
    bench.state.add_worker(entry(0, 2_000))
    assert bool(bench.place()) is restarts


@pytest.mark.parametrize("removed", [True, False],
                         ids=["removed", "still-known"])
def test_unanswered_start_is_stopped_on_the_next_life(bench, removed):
    """Guards against a start to an earlier life that arrives late."""
    connected = []

    def connect(worker_entry):
        connected.append(fleetfakes.MemoryWorker(worker_entry.worker_id))
        return connected[-1]

    links = workerlinks.WorkerLinks(
        bench.state, connect, lambda: None, lambda: True, lambda: True,
        lambda reason: None)
    bench.now += 0.1
    rounds.place(bench.state, bench.now, 1e12)
    order = bench.orders[-1][1]
    answers.should_send(bench.state, "i-0", order)
    answers.stop_uncertain_run(bench.state, "i-0", order)
    answers.record_stopped(bench.state, "i-0", order, bench.now)
    before = len(bench.orders)
    if removed:
        crashes.worker_refused_connection(bench.state, "i-0")
        crashes.worker_replaced(bench.state, "i-0")
        link = links._add_worker(entry(0, 2_000))
        assert link.orders.pop() == messages.StopOrder(TASK, 1)
        return
    bench.now += 0.2
    bench.report("i-0", born_ms=2_000)
    assert bench.orders[before:] == [("i-0", messages.StopOrder(TASK, 1))]
    assert not bench.place()
    answers.record_stopped(bench.state, "i-0", order, bench.now)
    bench.now += 0.1
    bench.report("i-0", born_ms=2_000)
    assert bench.state.find(TASK)[1].phase == progress.IDLE


@pytest.mark.parametrize("given_up_by", ["replaced", "expired"])
def test_start_is_not_repeated_once_its_worker_is_given_up(
        bench, given_up_by, monkeypatch):
    """Guards against a start that reaches the next life of a dead worker."""
    monkeypatch.setattr(clock, "now", lambda: bench.now)
    worker = fleetfakes.MemoryWorker("i-0")
    link = link_mod.WorkerLink(
        entry(0), worker, bench.state, lambda: True, lambda: True,
        lambda reason: None)

    async def die(order, fence, lease_end_ms):
        bench.state.mark_unresponsive("i-0", "closed")
        if given_up_by == "replaced":
            assert link._report_end(worker, crashes.worker_replaced)
        else:
            bench.state.expire(bench.now + LEASES_OVER_S)
        assert "i-0" not in bench.state.workers
        del worker.start
        raise interfaces.ConnectionClosed("closed")

    worker.start = die
    bench.now += 0.1
    rounds.place(bench.state, bench.now, 1e12)
    asyncio.run(link._send_start(bench.orders[-1][1]))
    assert not worker.starts


def test_start_answered_between_refusals_is_no_sign_of_a_crash(bench):
    """Guards against suspecting the runs of a life that has begun one."""
    link = link_mod.WorkerLink(
        entry(0), fleetfakes.MemoryWorker("i-0"), bench.state, lambda: True,
        lambda: True, lambda reason: None)
    bench.now += 0.1
    rounds.place(bench.state, bench.now, 1e12)
    refused = interfaces.ConnectionRefused("refused")

    async def be_refused_around_a_start():
        await link._handle_refusal(refused)
        bench.state.workers["i-0"].unresponsive = False
        await link._send_start(bench.orders[-1][1])
        assert link.worker.starts
        await link._handle_refusal(refused)

    asyncio.run(be_refused_around_a_start())
    assert "i-0" in bench.state.workers
    assert not bench.state.crash_records.is_unproven("i-0")


@pytest.mark.parametrize(("lease_until", "placed"), [(0.0, 0), (1e9, 1)],
                         ids=["no-lease", "lease-renewed"])
def test_owner_without_its_lease_uses_no_life_that_began_since(
        bench, lease_until, placed):
    """Guards against a new life that forgot the fence of a successor."""
    bench.now += 0.1
    bench.state.add_worker(entry(1, draining=True))
    bench.report("i-0", born_ms=2_000)
    bench.state.add_worker(entry(0, 2_000))
    bench.state.owner_lease_until = lease_until
    bench.state.jobs["j"].known_at = -1.0
    assert len(bench.place()) == placed


@pytest.mark.parametrize("cause", ["failed", "stuck"])
@pytest.mark.parametrize(("born_ms", "is_removed", "placed_on"), [
    (1_000, False, "i-1"), (2_000, False, "i-0"), (500, False, "i-0"),
    (2_000, True, "i-0"),
], ids=["same-life", "restarted", "clock-set-back", "removed"])
def test_task_avoids_only_the_life_in_which_its_run_failed(
        cause, born_ms, is_removed, placed_on, monkeypatch):
    """Guards against avoiding a worker for a fault of an earlier life."""
    bench = RestartBench(entry(0), entry(1))
    bench.add(fleetfakes.job("j", messages.Step(
        1, messages.Resources(1000, 1000), affinity="r0")))
    assert bench.place() == ["j.0.0.0@i-0"]
    bench.now += 0.1
    if cause == "stuck":
        monkeypatch.setattr(stragglers, "is_stuck", lambda *_: True)
        bench.report("i-0", [messages.RunningTask(TASK, 1, "", 0)])
    how = messages.FAILED if cause == "failed" else "stopped"
    bench.report("i-0", ended=[messages.EndedTask(1, TASK, 1, how, "")])
    if is_removed:
        crashes.worker_replaced(bench.state, "i-0")
    bench.state.add_worker(entry(0, born_ms))
    bench.now += 0.1
    bench.report("i-0", born_ms=born_ms)
    bench.state.enrol(["i-0", "i-1"])
    assert bench.place() == [f"j.0.0.0@{placed_on}"]


@pytest.mark.parametrize(("born_ms", "suspected"), [(1_000, 0), (2_000, 1)],
                         ids=["same-life", "restarted"])
def test_successor_counts_the_crash_of_a_quarantined_worker(
        born_ms, suspected):
    """Guards against a crash that nobody counts as the owner changes."""
    state = progress.JobState(fleetfakes.job("j"), 1)
    state.create_tasks(0)
    task = state.find(TASK)
    task.suspicion = suspicion.Suspicion(["i-9"], [0.0], likely=True)
    state.quarantine_workers = {TASK: "i-0"}
    state.quarantine_births = {"i-0": 1_000}
    stored = progress.encode_progress(state)
    bench = RestartBench()
    bench.now = clock.now()
    successor = bench.state.add_job(fleetfakes.job("j"), 1)
    progress.apply_progress(successor, stored)
    bench.state.trials.restore(successor, bench.now)
    bench.state.add_worker(entry(0, born_ms))
    bench.state.update_listed({"i-0"}, bench.now)
    bench.report("i-0", born_ms=born_ms)
    assert len(successor.find(TASK).suspicion.workers) == 1 + suspected
