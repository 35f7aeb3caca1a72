"""Test starts of many recorded long-running tasks that compete."""

import pytest

from sycamorefield.fleet import recorder as recorder_mod
from sycamorefield.fleet import records
from tests import fleetfakes
from tests import test_fleet_partial_reach
from tests import test_fleet_unstarted

WAITING_JOBS = 20


def put_jobs(store, bench):
    """Store the records of all jobs of a bench."""
    for state in bench.state.jobs.values():
        store.put_job(state.job, state.created_revision)


@pytest.fixture
def waiting():
    """Return a fleet, its recorder and jobs that are recorded as waiting."""
    bench, _ = test_fleet_unstarted.make_bench()
    store = fleetfakes.MemoryStore()
    recorder = test_fleet_partial_reach.make_recorder(bench, store)
    for number in range(WAITING_JOBS):
        bench.add(fleetfakes.job(f"w{number}", test_fleet_unstarted.STEP),
                  100 + number)
    put_jobs(store, bench)
    assert not test_fleet_unstarted.run_rounds(bench, 14)
    while any(job.unstarted_added for job in bench.state.active.values()):
        assert recorder.flush()
    return bench, recorder


def test_only_tasks_that_fit_are_recorded_again(waiting):
    """Guards against a write for each waiting job when one may start."""
    bench, _ = waiting
    test_fleet_unstarted.join_workers(bench)
    assert not bench.place()
    changed = [job for job in bench.state.active.values() if job.dirty]
    assert 1 <= len(changed) <= 4


def test_task_that_waits_for_its_record_keeps_its_place(waiting):
    """Guards against later tasks that take what an earlier one waits for."""
    bench, recorder = waiting
    test_fleet_unstarted.join_workers(bench)
    for number in range(10):
        bench.add(fleetfakes.job(f"late{number}", test_fleet_unstarted.STEP),
                  500 + number)
    placed = bench.place()
    assert recorder.flush()
    placed += bench.place()
    assert placed
    assert placed[0].startswith("waiting.")
    assert not any(name.startswith("late") for name in placed)


def test_outcomes_do_not_wait_for_records_of_waiting_tasks():
    """Guards against ends of jobs that are stored after thousands of jobs."""
    bench, _ = test_fleet_unstarted.make_bench()
    store = fleetfakes.MemoryStore()
    writer = test_fleet_partial_reach.make_recorder(bench, store)
    for number in range(5 * recorder_mod.VALUES_PER_COMMIT):
        bench.add(fleetfakes.job(f"w{number}", test_fleet_unstarted.STEP),
                  100 + number)
    test_fleet_unstarted.run_rounds(bench, 14)
    bench.add(fleetfakes.job("last", test_fleet_unstarted.STEP), 1000)
    bench.state.cancel("last")
    put_jobs(store, bench)
    first = store.commits
    assert writer.flush()
    assert store.commits - first <= 3
    assert records.final_key("last") in store.items
