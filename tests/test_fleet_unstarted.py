"""Test records of long-running tasks that wait for their first start."""

import dataclasses
import json
import time

import pytest

from sycamorefield.fleet import headroom
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import records
from tests import fleetfakes
from tests import test_fleet_partial_reach
from tests import test_fleet_state
from tests import test_fleet_takeover

STEP = messages.Step(1, messages.Resources(3000, 1000), perpetual=True)
# Of the CPU of all workers, the jobs that run reserve 60%; a further task
# would take capacity that is kept for finite tasks.
WORKERS = 10
RUNNING_JOBS = 8
OLD_JOB, NEW_JOB = 5, 20
WAITING = messages.TaskId("waiting", 0, 0, 0)


def make_bench(created=NEW_JOB):
    """Return a fleet with a job that must wait, and what was started."""
    bench = test_fleet_state.Bench(*(
        fleetfakes.entry(number) for number in range(WORKERS)))
    for number in range(RUNNING_JOBS):
        bench.add(fleetfakes.job(f"j{number}", STEP), NEW_JOB + number)
    assert len(bench.place()) == RUNNING_JOBS
    bench.add(fleetfakes.job("waiting", STEP), created)
    return bench, bench.state.jobs["waiting"]


def run_rounds(bench, count=12):
    return [placed for _ in range(count) for placed in bench.place()]


def join_workers(bench):
    """Let workers join, so that a waiting task may start."""
    for number in range(WORKERS, WORKERS + 4):
        bench.state.add_worker(fleetfakes.entry(number))
        bench.report(f"i-{number}")
    bench.state.enrol(bench.state.workers)


@pytest.mark.parametrize(("created", "record", "starts"), [
    (NEW_JOB, {}, False),
    (OLD_JOB, {}, True),
    (OLD_JOB, {"ran": {"0.0": "1"}}, True),
    (OLD_JOB, {"unstarted": {"0.0": "1"}}, False),
    (OLD_JOB, {"unstarted": {"0.0": "1"}, "ran": {"0.0": "1"}}, True),
])
def test_only_tasks_that_never_ran_leave_headroom(created, record, starts):
    """Guards against a task that is held back as its run was not stored."""
    bench, job = make_bench(created)
    progress.apply_progress(job, json.dumps(
        {"state": "pending", **record}).encode())
    assert bool(run_rounds(bench)) == starts


@pytest.mark.parametrize("lost", [
    {}, {"lose_calls": 1}, {"lose_answers": 1}])
def test_start_waits_until_no_record_names_the_task_as_unstarted(
        lost):
    """Guards against a run that a successor does not know to be lost."""
    bench, job = make_bench()
    store = fleetfakes.MemoryStore()
    recorder = test_fleet_partial_reach.make_recorder(bench, store)
    store.put_job(job.job, job.created_revision)
    assert not run_rounds(bench)
    assert job.unstarted == {WAITING}
    assert recorder.flush()
    join_workers(bench)
    assert not run_rounds(bench)
    assert not job.unstarted
    for name, count in lost.items():
        setattr(store, name, count)
    assert recorder.flush()
    item = store.items[records.progress_key("waiting")]
    successor = progress.JobState(job.job, OLD_JOB)
    progress.apply_progress(successor, item.value)
    assert not successor.unstarted
    assert len(run_rounds(bench)) == 1


def test_task_that_is_placed_within_the_delay_is_not_recorded():
    """Guards against starts that wait for a commit without need."""
    bench, job = make_bench()
    assert not run_rounds(bench, 5)
    assert not job.unstarted
    join_workers(bench)
    assert len(bench.place()) == 1


def test_scheduled_task_that_was_not_due_at_the_takeover_leaves_headroom():
    """Guards against scheduled tasks that take what urgent ones need."""
    bench, _ = make_bench()
    bench.state.cancel("waiting")
    job = dataclasses.replace(
        fleetfakes.job("later", STEP), start_at_ms=time.time() * 1000.0 + 6e4)
    bench.add(job, OLD_JOB)
    placed = [name for _ in range(12)
              for name in bench.place(job.start_at_ms + 1.0)]
    assert not placed


def test_no_task_may_have_run_without_a_list_of_workers_in_use():
    """Guards against jobs of a new fleet that leave no headroom."""
    fleet = test_fleet_takeover.Fleet(workers=1)
    try:
        fleet.submit(fleetfakes.job("first", STEP))
        fleet.take_over()
        test_fleet_takeover.wait_for(lambda: fleet.running())
        assert not fleet.owner.fleet.jobs["first"].taken_over
    finally:
        fleet.owner.step_down("test over")


def test_tasks_that_may_have_run_count_as_placed():
    """Guards against tasks that take what new jobs need for a majority."""
    step = messages.Step(5, messages.Resources(3000, 1000), perpetual=True)
    job = progress.JobState(fleetfakes.job("mixed", step), OLD_JOB)
    job.taken_over = True
    progress.apply_progress(
        job, b'{"state":"pending","unstarted":{"0.0":"18"}}')
    tasks = job.tasks[0, 0]
    assert headroom.required_headroom(
        tasks[4], headroom.placed_count(tasks)) is (
            headroom.RequiredHeadroom.ALL)
