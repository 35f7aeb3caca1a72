"""Tests of the usage statistics, gauges and run log of a fleet's owner."""

import collections
import threading

import pytest

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import records
from sycamorefield.fleet import reports
from sycamorefield.fleet import rounds
from sycamorefield.fleet import runlog
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import usage
from sycamorefield import metrics
from tests import fleetfakes
from tests import test_fleet_takeover

FINITE_STEP = messages.Step(1, messages.Resources(1000, 10))
LONG_RUNNING_STEP = messages.Step(
    1, messages.Resources(3000, 10), perpetual=True)
LARGE_LONG_RUNNING_STEP = messages.Step(
    2, messages.Resources(3500, 10), perpetual=True)


@pytest.fixture(name="lines")
def fixture_lines(monkeypatch):
    """Collect log lines as (event, fields)."""
    lines = []
    monkeypatch.setattr(events, "emit",
                        lambda event, **fields: lines.append((event, fields)))
    return lines


def make_fleet(workers: int = 2) -> state_mod.FleetState:
    """Return a fleet of usable workers with four cores each."""
    fleet = state_mod.FleetState(10, 6000.0, lambda worker, order: None,
                                 fleetfakes.configuration)
    for number in range(workers):
        fleet.add_worker(fleetfakes.entry(number))
        report(fleet, f"i-{number}")
    fleet.enrol([f"i-{number}" for number in range(workers)])
    return fleet


def report(fleet, worker_id, ended=()):
    """Report all runs of a worker as running except those that ended."""
    ended_runs = {(end.task, end.run) for end in ended}
    running = [messages.RunningTask(task, run, "", 0)
               for task, run in fleet.workers[worker_id].tasks
               if (task, run) not in ended_runs]
    return reports.apply_report(fleet, worker_id, messages.WorkerReport(
        1000.0, tuple(running), tuple(ended)), 100.0, 100.0)


def lose_runs(fleet, state):
    """Let the tasks of a job lose their runs at time 100 s."""
    for task in state.all_tasks():
        worker = fleet.workers[task.worker_id]
        worker.release((task.task, task.run), task.step)
        task.reset_run()
    state.downtime_s(100.0)


@pytest.mark.parametrize((
    "steps", "down", "longest_s", "widest_cores", "waiting"), [
    ((FINITE_STEP,), 0, 0.0, 0.0, 1),
    ((LONG_RUNNING_STEP,), 1, 7.0, 3.0, 1),
    ((LARGE_LONG_RUNNING_STEP,), 2, 7.0, 3.5, 2),
    ((FINITE_STEP, LARGE_LONG_RUNNING_STEP), 2, 7.0, 3.5, 3),
], ids=["finite", "long-running", "two-tasks", "with-finite"])
def test_usage_reports_interrupted_long_running_tasks(
        steps, down, longest_s, widest_cores, waiting):
    """Report for how long interrupted tasks are down, and the CPU they need.

    Guards against a long-running task that is down for 55 s while no log line
    shows for how long it waits or how much CPU it needs.
    """
    fleet = make_fleet(3)
    state = fleet.add_job(fleetfakes.job("j", *steps), 20)
    rounds.place(fleet, 100.0, 1e12)
    assert not usage.measure(fleet, 100.0, clock.wall_ms()).lasting_down
    lose_runs(fleet, state)
    found = usage.measure(fleet, 107.0, clock.wall_ms())
    assert (found.lasting_down, found.lasting_down_s,
            found.lasting_down_cores) == (
                down, longest_s, widest_cores)
    assert found.waiting == {0: waiting}
    assert found.widest_gap_cores == 4.0


@pytest.mark.parametrize(("overrides", "reports_before"), [
    ({}, False), ({"draining": True}, True)], ids=["joins", "drains"])
def test_widest_gap_is_on_a_worker_that_may_get_runs(
        overrides, reports_before):
    """Guards against a log that shows room beside tasks that are down.

    The usage is measured after each read of the worker list, when a worker
    that has just joined has not reported.
    """
    fleet = make_fleet(1)
    fleet.add_worker(fleetfakes.entry(1, 8000, **overrides))
    if reports_before:
        report(fleet, "i-1")
        fleet.enrol(["i-0", "i-1"])
    fleet.add_job(fleetfakes.job("j", LONG_RUNNING_STEP), 20)
    rounds.place(fleet, 100.0, 1e12)
    found = usage.measure(fleet, 100.0, clock.wall_ms())
    assert found.capacity_cores == 12.0
    assert found.widest_gap_cores == 1.0


def test_usage_does_not_report_unstarted_long_running_task_as_down():
    fleet = make_fleet(0)
    fleet.add_job(fleetfakes.job("j", LONG_RUNNING_STEP), 20)
    rounds.place(fleet, 100.0, 1e12)
    found = usage.measure(fleet, 107.0, clock.wall_ms())
    assert found.lasting_down == 0
    assert found.lasting_down_s == 0.0


@pytest.mark.parametrize(("steps", "workers", "expected"), [
    ((FINITE_STEP,), 0, {0: 9.0}), ((FINITE_STEP,), 1, {}),
    ((FINITE_STEP, FINITE_STEP), 0, {0: 9.0}),
    ((LONG_RUNNING_STEP,), 0, {})],
    ids=["waiting", "running", "two-steps", "long-running"])
def test_usage_reports_the_longest_wait_of_a_finite_job(
        steps, workers, expected):
    """Guards against jobs that never start while only counts are logged."""
    fleet = make_fleet(workers)
    fleet.add_job(fleetfakes.job("j", *steps, accepted_ms=1e12), 20)
    rounds.place(fleet, 100.0, 1e12)
    found = usage.measure(fleet, 109.0, 1e12 + 9000.0)
    assert found.longest_wait_s == expected


@pytest.mark.parametrize(("unresponsive_ids", "awaited_ids", "expected"), [
    ((), (), (3, 0, 0)), (("i-0",), (), (3, 1, 0)),
    (("i-0", "i-2"), ("i-1", "i-8"), (3, 2, 2))],
    ids=["all-respond", "one-unresponsive", "not-heard-from"])
def test_usage_counts_unresponsive_workers(
        unresponsive_ids, awaited_ids, expected):
    fleet = make_fleet(3)
    fleet.await_workers(awaited_ids, 1e9)
    for worker_id in unresponsive_ids:
        fleet.mark_unresponsive(worker_id, "no answer")
    found = usage.measure(fleet, 100.0, clock.wall_ms())
    assert (found.workers, found.workers_silent,
            found.workers_unheard) == expected


class CountingLock:
    """A lock that counts its acquisitions."""

    def __init__(self) -> None:
        self.lock = threading.RLock()
        self.acquisitions = 0

    def __enter__(self) -> None:
        self.lock.acquire()
        self.acquisitions += 1

    def __exit__(self, *_: object) -> None:
        self.lock.release()


def test_usage_releases_the_lock_between_jobs():
    """Do not block reports and leases while hundreds of jobs are counted."""
    fleet = make_fleet(1)
    for number in range(50):
        fleet.add_job(fleetfakes.job(f"j{number}"), 20 + number)
    fleet.lock = CountingLock()
    usage.measure(fleet, 100.0, clock.wall_ms())
    assert fleet.lock.acquisitions >= 50


@pytest.mark.parametrize(("rounds", "expected"), [
    ((), {"rounds": 0, "rounds_busy_s": 0.0, "rounds_waited_s": 0.0}),
    (((0.01, 0.04),),
     {"rounds": 1, "rounds_busy_s": 0.04, "rounds_waited_s": 0.01}),
    (((0.01, 0.04), (0.03, 0.02)),
     {"rounds": 2, "rounds_busy_s": 0.06, "rounds_waited_s": 0.04})],
    ids=["none", "one", "two"])
def test_round_times_since_an_earlier_copy_are_differences(rounds, expected):
    times = usage.RoundTimes()
    times.add(5.0, 9.0)
    earlier = usage.RoundTimes(times.rounds, times.busy_s, times.waited_s)
    for waited_s, took_s in rounds:
        times.add(waited_s, took_s)
    assert times.since(earlier) == expected
    assert times.longest_s == 9.0


@pytest.mark.parametrize(("count", "sizes"), [
    (0, []), (1, [1]), (runlog.RUNS_PER_LINE, [100]),
    (runlog.RUNS_PER_LINE + 1, [100, 1])],
    ids=["none", "one", "full", "two-lines"])
def test_ordered_runs_are_logged_many_per_line(lines, count, sizes):
    fleet = make_fleet(1)
    step = messages.Step(count, messages.Resources(1, 1))
    if count:
        fleet.add_job(fleetfakes.job("j", step), 20)
    lines.clear()
    while fleet.run_log.ordered_total < count:
        # A worker gets more starts only after the earlier ones were sent.
        rounds.place(fleet, 100.0, 1e12)
        for run in list(fleet.workers["i-0"].unsent_starts):
            fleet.workers["i-0"].mark_start_sent(run)
    assert not lines
    fleet.run_log.flush()
    assert [event for event, _ in lines] == [events.RUN_ORDERED] * len(sizes)
    assert [len(fields["runs"]) for _, fields in lines] == sizes
    rows = [row for _, fields in lines for row in fields["runs"]]
    assert rows == [(f"j.0.0.{n}", 1, "i-0") for n in range(count)]
    assert fleet.run_log.ordered_total == count


@pytest.mark.parametrize("hows", [
    (messages.DONE,), (messages.FAILED,),
    (messages.DONE, messages.FAILED, messages.DONE)],
    ids=["done", "failed", "mixed"])
def test_ended_runs_are_logged_once_in_one_line_per_way_to_end(lines, hows):
    fleet = make_fleet(1)
    fleet.add_job(fleetfakes.job("j", messages.Step(
        len(hows), messages.Resources(1, 1))), 20)
    rounds.place(fleet, 100.0, 1e12)
    fleet.run_log.flush()
    lines.clear()
    ends = [messages.EndedTask(n + 1, messages.TaskId("j", 0, 0, n), 1, how,
                               "") for n, how in enumerate(hows)]
    assert report(fleet, "i-0", ends)
    # Reports repeat ends until they are stored, but each is logged once.
    assert not report(fleet, "i-0", ends)
    fleet.run_log.flush()
    found = {}
    for event, fields in lines:
        if event is events.RUN_ENDED:
            assert fields["how"] not in found
            found[fields["how"]] = fields["runs"]
    wanted = collections.defaultdict(list)
    for number, how in enumerate(hows):
        wanted[how].append((f"j.0.0.{number}", 1, "i-0"))
    assert found == wanted
    assert fleet.run_log.ended_total == len(hows)


@pytest.mark.parametrize(("after_s", "written"), [
    (0.0, 0), (0.09, 0), (0.11, 1), (5.0, 1)])
def test_lines_on_runs_are_rate_limited(lines, after_s, written):
    """Bound the volume of the log for any number of rounds."""
    log = runlog.RunLog()
    task = messages.TaskId("j", 0, 0, 0)
    log.add_ordered(task, 1, "i-0")
    log.flush_when_due(100.0)
    lines.clear()
    log.add_ordered(task, 2, "i-0")
    log.flush_when_due(100.0 + after_s)
    assert len(lines) == written


def test_collected_runs_are_logged_when_an_owner_steps_down(lines):
    fleet = test_fleet_takeover.Fleet()
    owner = fleet.take_over()
    fleet.submit(fleetfakes.job("j"))
    test_fleet_takeover.wait_for(lambda: fleet.running() == ["j.0.0.0"])
    owner.step_down("test over")
    test_fleet_takeover.wait_for(
        lambda: any(event is events.RUN_ORDERED for event, _ in lines))


@pytest.mark.parametrize(("unfinished", "ended", "sizes"), [
    (0, 2, []), (1, 0, [1]), (3, 2, [3]), (101, 1, [100, 1])],
    ids=["all-ended", "one", "some-ended", "two-lines"])
def test_jobs_taken_over_are_logged_many_per_line(
        lines, unfinished, ended, sizes):
    """Do not push an owner's claim out of the retained part of its log."""
    fleet = test_fleet_takeover.Fleet(0)
    names = [f"j{number}" for number in range(unfinished)]
    ended_names = [f"e{number}" for number in range(ended)]
    for name in names:
        fleet.submit(fleetfakes.job(name))
    for name in ended_names:
        fleet.store.commit(messages.Transaction(puts=(messages.Put(
            records.final_key(name), b'{"state": "completed"}'),)))
    owner = fleet.take_over()
    try:
        test_fleet_takeover.wait_for(lambda: owner.recovered)
        seen = [fields["jobs"] for event, fields in lines
                if event is events.JOB_PICKED_UP]
        fleet.submit(fleetfakes.job("new"))
        test_fleet_takeover.wait_for(
            lambda: [fields["job"] for event, fields in lines
                     if event is events.JOB_PICKED_UP and "job" in fields]
            == ["new"])
    finally:
        owner.step_down("test over")
    assert [len(part) for part in seen] == sizes
    assert sorted(sum(seen, [])) == sorted(names)


def test_owner_gauges_report_rounds_runs_and_leases():
    """Distinguish a saturated owner from one without free capacity."""
    fleet = test_fleet_takeover.Fleet()
    owner = fleet.take_over()
    fleet.submit(fleetfakes.job("j"))
    try:
        test_fleet_takeover.wait_for(lambda: owner.usage is not None)
        test_fleet_takeover.wait_for(
            lambda: owner.gauges()["runs_ordered_total"] == 1)
        gauges = owner.gauges()
        took = clock.now() - owner.started_at
    finally:
        owner.step_down("test over")
    assert gauges["fence"] == fleet.store.items[
        records.OWNER_KEY].revision
    assert gauges["rounds_total"] > 0
    assert (gauges["rounds_busy_s_total"]
            + gauges["rounds_waited_s_total"]) <= took
    assert gauges["workers"] == 2
    assert gauges["lasting_down"] == 0
    assert 0 <= gauges["lease_age_s"] <= gauges["owner_age_s"]
    assert not any(isinstance(value, dict) for value in gauges.values())
    counts = metrics.CALLS.summary()
    for name in (usage.ROUND, usage.ROUND_WAIT, usage.REPORT, usage.COMMIT):
        assert counts[name]["count"] > 0


def test_gauges_report_waiting_tasks_by_priority():
    fleet = test_fleet_takeover.Fleet(0)
    owner = fleet.take_over()
    owner.usage = usage.measure(owner.fleet, clock.now(), clock.wall_ms())
    state = progress.JobState(fleetfakes.job("j", priority=2), 1)
    state.create_tasks(0)
    with owner.fleet.lock:
        owner.fleet.active["j"] = state
    try:
        owner.usage = usage.measure(owner.fleet, clock.now(), clock.wall_ms())
        assert owner.gauges()['tasks_waiting{priority="2"}'] == 1
    finally:
        owner.step_down("test over")


@pytest.mark.parametrize(("seconds", "total"), [
    ((), None), ((0.5,), "0.5"), ((0.25, 0.5, 0.001), "0.751")])
def test_metrics_text_has_the_total_of_latencies(
        monkeypatch, seconds, total):
    """Show the share of time that was spent in each kind of call."""
    monkeypatch.setattr(metrics, "CALLS", metrics.Latencies())
    for value in seconds:
        metrics.CALLS.record("round", value)
    text = metrics.as_text({"fence": 123456789.0}, {"SF1001": 2})
    lines = text.splitlines()
    assert "fence 123456789" in lines
    assert 'events_total{event="SF1001"} 2' in lines
    totals = [line.split()[1] for line in lines
              if line.startswith("call_total_s")]
    assert totals == ([] if total is None else [total])
