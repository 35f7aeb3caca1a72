"""Test the order in which jobs get capacity on a full fleet."""

import pytest

from sycamorefield.fleet import messages
from sycamorefield.fleet import ordering
from sycamorefield.fleet import progress
from tests import fleetfakes

QUEUES = {"checks": messages.Queue("checks", "h", "/c/", "desk", 0, 2,
                                   stretch=2.0, slo_ms=500.0)}
# Two steps of one second each: up to 4,500 ms are on time.
STEPS = (messages.Step(1, estimate_ms=1000),
         messages.Step(1, estimate_ms=1000, after=(0,)))


def job_state(name, accepted_ms, *steps, created=1, queue="checks"):
    return progress.JobState(fleetfakes.job(
        name, *(steps or STEPS), accepted_ms=accepted_ms, queue=queue),
        created)


@pytest.mark.parametrize(("waited_ms", "first_done", "expected"), [
    (0, False, ordering.ON_TIME),
    (4000, False, ordering.ON_TIME),
    (4001, False, ordering.LATE),
    (4250, True, ordering.ON_TIME),
    (13_000, False, ordering.LATE),
    (13_001, False, ordering.TOO_LATE),
])
def test_lateness_depends_on_the_remaining_critical_path(waited_ms, first_done,
                                                         expected):
    job = job_state("j", 0.0)
    job.create_tasks(0)
    job.tasks[0, 0][0].done = first_done
    assert ordering.lateness(job, QUEUES["checks"], waited_ms) == expected


def test_on_time_jobs_go_first_and_long_running_jobs_last():
    long_running = job_state("long-running", 0.0,
                             messages.Step(1, perpetual=True), created=0)
    late = job_state("late", 0.0, created=1)
    newer = job_state("newer", 9000.0, created=3)
    older = job_state("older", 8000.0, created=2)
    order = ordering.sort_jobs(
        [long_running, late, newer, older], QUEUES, 10_000.0, 100.0)
    assert [s.job.job_id for s in order] == ["older", "newer", "late",
                                             "long-running"]


BEST_EFFORT_STEP = messages.Step(1, estimate_ms=2000, fills=True)


@pytest.mark.parametrize((
    "step", "waited_ms", "now", "by_lateness", "first"), [
    (BEST_EFFORT_STEP, 29_999, 100.2, True, "new"),
    (BEST_EFFORT_STEP, 30_000, 100.2, True, "old"),
    (BEST_EFFORT_STEP, 30_000, 100.6, True, "new"),
    (BEST_EFFORT_STEP, 30_000, 105.4, True, "old"),
    (BEST_EFFORT_STEP, 30_000, 100.6, False, "old"),
    (STEPS[0], 30_000, 100.2, True, "new")], ids=[
        "not long", "overdue", "rest of the time", "next time", "by age",
        "reserves CPU"])
def test_overdue_best_effort_job_goes_first_in_a_share_of_the_time(
        step, waited_ms, now, by_lateness, first):
    """Guards against a job that others pass for ever."""
    wall_ms = 100_000.0
    old = job_state("old", wall_ms - waited_ms, step, created=1)
    new = job_state("new", wall_ms, step, created=2)
    order = ordering.sort_jobs([new, old], QUEUES, wall_ms, now, by_lateness)
    assert order[0].job.job_id == first


def test_priority_takes_precedence_over_lateness():
    queues = {**QUEUES, "renewals": messages.Queue(
        "renewals", "h", "/r/", "desk", 2, 2, stretch=2.0, slo_ms=500.0)}
    late = job_state("late", 0.0)
    low_priority = job_state("low-priority", 10_000.0, queue="renewals")
    order = ordering.sort_jobs([low_priority, late], queues, 10_000.0, 100.0)
    assert [s.job.job_id for s in order] == ["late", "low-priority"]


def long_running_job(name, created, ran):
    job = job_state(name, 0.0, messages.Step(2, perpetual=True),
                    created=created)
    job.create_tasks(0)
    job.tasks[0, 0][0].has_run = ran
    job.tasks[0, 0][1].phase = progress.RUNNING
    return job


@pytest.mark.parametrize(("down_s", "expected"), [
    (0.0, ["newer", "too-late", "new", "down"]),
    (ordering.BOOST_AFTER_DOWN_S, ["down", "newer", "too-late", "new"]),
], ids=["down-just-now", "down-for-seconds"])
def test_interrupted_long_running_job_goes_before_finite_jobs(down_s,
                                                              expected):
    """Restart an interrupted long-running task before finite tasks.

    Guards against long-running tasks that stay down (for 16 s) after their
    worker has left, although capacity for them is freed repeatedly.  With 3 of
    33 workers gone and 97% of the rest reserved by long-running tasks, finite
    jobs, most of them too late to count, took all capacity that became free,
    because every finite job went before every long-running one.
    """
    jobs = [job_state("newer", 19_000.0, created=1),
            job_state("too-late", 0.0),
            long_running_job("new", 2, False),
            long_running_job("down", 3, True)]
    ordering.sort_jobs(jobs, QUEUES, 20_000.0, 100.0)
    order = ordering.sort_jobs(jobs, QUEUES, 20_000.0, 100.0 + down_s)
    assert [s.job.job_id for s in order] == expected
