"""Test that a start which a worker carries out late does not go on running.

A worker may carry out an order up to twelve seconds after it was sent: after
its job was cancelled, and after the process that sent it was removed and
another one owns the fleet.
"""

import time

import pytest

from sycamorefield import events
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import records
from sycamorefield.fleet import reports
from sycamorefield.fleet import unwantedruns
from tests import fleetfakes
from tests import test_fleet_state
from tests import test_fleet_takeover

wait_for = test_fleet_takeover.wait_for
TASK = messages.TaskId("a", 0, 0, 0)
# Longer than a stop is delayed after a report, on a busy machine.
STOP_BOUND_S = 2.0


@pytest.fixture(name="fleet")
def fixture_fleet():
    fleet = test_fleet_takeover.Fleet()
    yield fleet
    fleet.owner.step_down("test over")


def start_late(fleet, worker_id="i-1", run=1, task=TASK):
    """Let a worker carry out a start that it accepted earlier."""
    worker = fleet.workers[worker_id]
    with worker.lock:
        worker.runs[task, run] = fleetfakes.Run(task, run)


def assert_stopped_in_time(fleet):
    """Check that nothing runs any more after STOP_BOUND_S."""
    end = time.monotonic() + STOP_BOUND_S
    while fleet.running() and time.monotonic() < end:
        time.sleep(0.01)
    assert not fleet.running()


def cancel(fleet, job_id="a"):
    fleet.store.commit(messages.Transaction(
        puts=(messages.Put(records.cancel_key(job_id), b"1"),)))
    wait_for(lambda: fleet.state(job_id) == messages.CANCELLED)


def remove_records(fleet, job_id="a"):
    fleet.store.commit(messages.Transaction(removes=(
        records.job_key(job_id), records.progress_key(job_id),
        records.cancel_key(job_id), records.final_key(job_id))))


@pytest.mark.parametrize("successor", [False, True],
                         ids=["same-owner", "successor"])
@pytest.mark.parametrize("records_gone", [False, True],
                         ids=["stored", "records-gone"])
def test_late_start_of_a_cancelled_job_is_stopped(fleet, successor,
                                                  records_gone):
    """Guards against a task of a cancelled job that runs to its end.

    It appears after the first report of each worker, and again later with a
    higher run number, and other jobs run on the worker thereafter.
    """
    fleet.take_over()
    fleet.submit(fleetfakes.job("a"))
    wait_for(lambda: fleet.running() == ["a.0.0.0"])
    cancel(fleet)
    wait_for(lambda: not fleet.running())
    if records_gone:
        remove_records(fleet)
    if successor:
        fleet.owner.step_down("removed")
        owner = fleet.take_over()
        wait_for(lambda: owner.recovered and not owner.fleet.awaited_workers)
    for run in (1, 5):
        start_late(fleet, run=run)
        assert_stopped_in_time(fleet)
    fleet.submit(fleetfakes.job("b", messages.Step(
        8, messages.Resources(1000, 1000))))
    wait_for(lambda: len(fleet.running()) == 8)


@pytest.mark.parametrize("how", ["cancelled", "records-gone", "unreadable"])
def test_successor_stops_unwanted_runs_at_the_first_report(fleet, how):
    """Guards against runs that nobody stops as their starter was removed."""
    fleet.take_over()
    fleet.submit(fleetfakes.job("a", messages.Step(
        8, messages.Resources(1000, 1000))))
    wait_for(lambda: len(fleet.running()) == 8)
    fleet.owner.step_down("removed")
    if how == "cancelled":
        fleet.store.commit(messages.Transaction(
            puts=(messages.Put(records.cancel_key("a"), b"1"),)))
    elif how == "records-gone":
        remove_records(fleet)
    else:
        fleet.store.commit(messages.Transaction(
            puts=(messages.Put(records.job_key("a"), b"[" * 10),)))
    fleet.take_over()
    assert_stopped_in_time(fleet)
    if how == "cancelled":
        wait_for(lambda: fleet.state("a") == messages.CANCELLED)


def test_late_start_beside_a_running_task_is_stopped(fleet):
    """Guards against two runs of a task, and a stop of the wrong one."""
    fleet.take_over()
    fleet.submit(fleetfakes.job("a"))
    wait_for(lambda: fleet.running() == ["a.0.0.0"])
    holder = next(w for w in fleet.workers.values() if w.runs)
    other = next(w for w in fleet.workers if w != holder.worker_id)
    fleet.owner.step_down("removed")
    owner = fleet.take_over()
    wait_for(lambda: owner.recovered and not owner.fleet.awaited_workers)
    start_late(fleet, other, run=2)
    wait_for(lambda: not fleet.workers[other].runs)
    assert list(holder.runs) == [(TASK, 1)]


def bench_with_lines(monkeypatch):
    """Return a bench of one worker, and the events emitted."""
    lines = []
    monkeypatch.setattr(events, "emit", lambda event, **fields:
                        lines.append((event, fields)))
    return test_fleet_state.Bench(fleetfakes.entry(0)), lines


def test_stops_and_lines_of_unwanted_runs_are_bounded(monkeypatch):
    """Guards against a stop and a line for each report, many a second."""
    bench, lines = bench_with_lines(monkeypatch)
    rows = [messages.RunningTask(messages.TaskId("gone", 0, 0, n), 1, "", 0)
            for n in range(300)]
    for _ in range(20):
        bench.now += 0.1
        bench.report("i-0", rows)
    assert 300 <= len(bench.stops()) <= 3 * 300
    stopped = [fields for event, fields in lines
               if event is events.UNWANTED_RUNS_STOPPED]
    assert 1 <= len(stopped) <= 3
    assert stopped[0]["count"] == 300
    assert len(stopped[0]["runs"]) == unwantedruns.MAX_LOGGED_RUNS
    bench.now += 10.0
    bench.report("i-0", rows[:1])
    assert len(bench.state.unwanted_runs.ordered_at) <= 1


def test_no_run_is_placed_beside_one_of_unknown_size(monkeypatch):
    """Guards against more runs on a worker than its capacity holds."""
    bench, _ = bench_with_lines(monkeypatch)
    unknown = messages.TaskId("gone", 0, 0, 0)
    bench.report("i-0", [messages.RunningTask(unknown, 1, "", 0)])
    bench.add(fleetfakes.job("b"))
    assert not bench.place()
    bench.report("i-0", (), [messages.EndedTask(1, unknown, 1, "stopped",
                                                "")])
    assert bench.place() == ["b.0.0.0@i-0"]


def test_run_that_begins_after_its_stop_is_stopped_again(monkeypatch):
    """Guards against a worker that forgets the stop of a run not begun."""
    bench, _ = bench_with_lines(monkeypatch)
    bench.add(fleetfakes.job("a"))
    assert bench.place() == ["a.0.0.0@i-0"]
    bench.state.cancel("a")
    _, task = bench.state.find(TASK)
    task.stop_sent_at = bench.now
    task.confirmed_at = bench.now + 0.1
    row = messages.RunningTask(TASK, 1, "", 0)
    for after_s, stops in ((1.0, 1), (4.0, 2), (4.5, 2), (5.5, 3)):
        reports.apply_report(
            bench.state, "i-0", messages.WorkerReport(
                0.0, (row,), ()), bench.now + after_s, bench.now + after_s)
        assert len(bench.stops()) == stops
    assert task.phase == progress.STOPPING
