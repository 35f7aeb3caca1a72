"""Test what is logged of tasks that are held back, and why."""

import dataclasses

import pytest

from sycamorefield import events
from sycamorefield.fleet import doubtfulruns
from sycamorefield.fleet import headroom
from sycamorefield.fleet import interference
from sycamorefield.fleet import messages
from sycamorefield.fleet import ordering
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.fleet import quarantines
from sycamorefield.fleet import suspicion
from sycamorefield.fleet import waitinglog
from sycamorefield.fleet import waitingreasons
from sycamorefield.fleet import widetasks
from sycamorefield.fleet import workerstate
from tests import fleetfakes
from tests import test_fleet_state

OLD_JOB, NEW_JOB = 5, 20


@pytest.fixture(name="logged")
def fixture_logged(monkeypatch):
    """Return the list of events that are logged, with their fields."""
    logged = []
    monkeypatch.setattr(events, "emit", lambda event, **fields: logged.append(
        (event, fields)))
    return logged


def await_worker(bench, task):
    bench.state.await_workers(["i-9"], bench.now + 100.0)


def lose_own_lease(bench, task):
    bench.state.owner_lease_until = task.job.known_at - 1.0


def skip_job(bench, task):
    task.job.skip_rounds = True


def suspect(bench, task):
    task.suspicion = suspicion.Suspicion(likely=True)


def restore_quarantine(bench, task):
    suspect(bench, task)
    task.job.quarantine_workers[task.task] = "i-9"
    bench.state.trials.restore(task.job, bench.now)


def quarantine_worker(bench, task):
    suspect(bench, task)
    bench.state.trials.add(quarantines.Quarantine(
        task.job, [(task, "i-0")], bench.now))


def delay(bench, task):
    task.not_before = bench.now + 1.0


def change_nothing(bench, task):
    return


@pytest.mark.parametrize(("created", "hold_back", "reason"), [
    (OLD_JOB, await_worker, waitingreasons.AWAITED_WORKERS),
    (NEW_JOB, await_worker, waitingreasons.NO_WORKER),
    (NEW_JOB, lose_own_lease, waitingreasons.OWN_LEASE),
    (NEW_JOB, skip_job, waitingreasons.SKIPPED),
    (NEW_JOB, suspect, waitingreasons.QUARANTINE_PENDING),
    (NEW_JOB, restore_quarantine, waitingreasons.QUARANTINE_RESTORED),
    (NEW_JOB, quarantine_worker, waitingreasons.QUARANTINE_NOT_READY),
    (NEW_JOB, delay, waitingreasons.DELAYED),
    (NEW_JOB, change_nothing, waitingreasons.NO_WORKER),
])
def test_reason_of_a_waiting_step_is_named(created, hold_back, reason):
    bench = test_fleet_state.Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("j"), created)
    state = bench.state.jobs["j"]
    state.create_tasks(0)
    tasks = state.tasks[0, 0]
    hold_back(bench, tasks[0])
    assert waitingreasons.step_reason(
        bench.state, state, tasks, bench.now) == reason


def exclude_by_entry(**changes):
    """Return a change of a worker's entry."""
    def exclude(bench, worker):
        worker.update_entry(dataclasses.replace(worker.entry, **changes))
    return exclude


def exclude_by_state(**changes):
    """Return a change of a worker's attributes."""
    def exclude(bench, worker):
        for name, value in changes.items():
            setattr(worker, name, value)
    return exclude


def exclude_by_quarantine(bench, worker):
    bench.add(fleetfakes.job("other"))
    state = bench.state.jobs["other"]
    state.create_tasks(0)
    quarantine_worker(bench, state.tasks[0, 0][0])


def restart_without_lease(bench, worker):
    bench.state.owner_lease_until = bench.now
    worker.restart_seen_at = bench.now + 1.0


def reserve_worker(bench, worker):
    bench.state.reserved_workers = frozenset({worker.entry.worker_id})


@pytest.mark.parametrize(("exclude", "reason"), [
    (exclude_by_state(listed=False), waitingreasons.NOT_LISTED),
    (exclude_by_entry(draining=True), waitingreasons.DRAINING),
    (exclude_by_entry(service="other"), waitingreasons.OTHER_SERVICE),
    (exclude_by_state(unresponsive=True), waitingreasons.SILENT),
    (exclude_by_state(has_reported=False), waitingreasons.NOT_REPORTED),
    (exclude_by_state(enrolled=False), waitingreasons.NOT_ENROLLED),
    (exclude_by_entry(born_ms=7), waitingreasons.OTHER_LIFE),
    (restart_without_lease, waitingreasons.RESTARTED_WITHOUT_LEASE),
    (exclude_by_quarantine, waitingreasons.QUARANTINED),
    (exclude_by_state(avoid_until=1e9), waitingreasons.AVOIDED),
    (exclude_by_entry(labels=()), waitingreasons.NOT_ALLOWED),
    (exclude_by_state(on_trial=True, trial_run="t", reserved={"t": 0}),
     waitingreasons.TRIAL),
    (exclude_by_state(has_unknown_run=True), waitingreasons.UNKNOWN_RUN),
    (exclude_by_state(unsent_starts=set(
        range(workerstate.MAX_UNSENT_STARTS))), waitingreasons.UNSENT_STARTS),
    (exclude_by_state(held=messages.Resources(3500, 10, 0)),
     waitingreasons.HELD),
    (reserve_worker, waitingreasons.RESERVED),
    (exclude_by_entry(capacity=messages.Resources(10, 10, 0)),
     waitingreasons.FULL),
    (exclude_by_state(), waitingreasons.FITS),
])
def test_workers_are_counted_by_why_they_are_not_used(exclude, reason):
    bench = test_fleet_state.Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("j", messages.Step(
        1, messages.Resources(1000, 1000), requires="a")))
    state = bench.state.jobs["j"]
    state.create_tasks(0)
    worker = bench.state.workers["i-0"]
    worker.born_ms = 6
    exclude(bench, worker)
    assert waitingreasons.count_workers(
        bench.state, state.tasks[0, 0][0], "desk", bench.now) == {reason: 1}


HIGH_TAIL = interference.TailLatency("web", 0.9, 0.3, 0.7, 0.7, 0.7)


@pytest.mark.parametrize(("changes", "reason"), [
    ({"best_effort_cpu": 1000}, waitingreasons.NO_UNUSED_CPU),
    ({"tail_latencies": [HIGH_TAIL]}, waitingreasons.TAIL_LATENCY),
    ({}, waitingreasons.FITS)], ids=["no CPU", "tail latency", "fits"])
def test_best_effort_step_that_waits_tells_for_what(changes, reason):
    bench = test_fleet_state.Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("j", messages.Step(
        1, messages.Resources(3000, 1000), fills=True)))
    state = bench.state.jobs["j"]
    state.create_tasks(0)
    exclude_by_state(**changes)(bench, bench.state.workers["i-0"])
    assert waitingreasons.count_workers(
        bench.state, state.tasks[0, 0][0], "desk", bench.now) == {reason: 1}


@pytest.mark.parametrize(("policy", "has_run", "reason"), [
    (policy_mod.Policy(), False, waitingreasons.HEADROOM),
    (policy_mod.Policy(), True, waitingreasons.NO_WORKER),
    (fleetfakes.NO_RESERVED_CAPACITY, False, waitingreasons.NO_WORKER),
])
def test_long_running_step_that_waits_for_headroom_is_named(
        policy, has_run, reason):
    bench = test_fleet_state.Bench(fleetfakes.entry(0), policy=policy)
    bench.add(fleetfakes.job("j", messages.Step(
        1, messages.Resources(1000, 1000), perpetual=True)))
    state = bench.state.jobs["j"]
    state.create_tasks(0)
    state.tasks[0, 0][0].has_run = has_run
    assert waitingreasons.step_reason(
        bench.state, state, state.tasks[0, 0], bench.now) == reason


@pytest.mark.parametrize(("has_run", "reason"), [
    (False, waitingreasons.WIDE_SLOT), (True, waitingreasons.FITS)])
def test_worker_kept_for_wide_tasks_is_named(has_run, reason):
    bench = test_fleet_state.Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("j", messages.Step(
        1, messages.Resources(1000, 1000), perpetual=True)))
    state = bench.state.jobs["j"]
    state.create_tasks(0)
    task = state.tasks[0, 0][0]
    task.has_run = has_run
    kept = headroom.Headroom(list(bench.state.workers.values()),
                             bench.state.demand, 0, bench.now)
    kept.wide_slots = widetasks.Slots(1, 3500.0)
    kept.wide_workers = {"i-0"}
    bench.state.headrooms = [kept]
    assert waitingreasons.count_workers(
        bench.state, task, "desk", bench.now) == {reason: 1}


def test_reserved_worker_is_named_after_a_round():
    bench = test_fleet_state.Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("k", messages.Step(
        1, messages.Resources(1000, 10), 60_000)))
    bench.place()
    bench.add(fleetfakes.job("j", messages.Step(
        1, messages.Resources(4000, 10), perpetual=True)), 21)
    state = bench.state.jobs["j"]
    state.create_tasks(0)
    state.tasks[0, 0][0].has_run = True
    state.downtime_s(bench.now)
    bench.now += ordering.BOOST_AFTER_DOWN_S
    bench.place()
    assert bench.state.reserved_workers == {"i-0"}


def test_steps_that_wait_long_are_logged_with_reason_and_workers(logged):
    bench = test_fleet_state.Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("j", messages.Step(
        2, messages.Resources(9000, 10))))
    assert not bench.place()
    log = waitinglog.WaitingLog()
    log.update(bench.state, bench.now, 0.1)
    log.update(bench.state, bench.now + waitinglog.LOG_PERIOD_S, 0.1)
    (fields,) = [f for e, f in logged if e is events.TASKS_WAITING]
    assert fields["steps"] == [
        ("j.0.0", 2, 0, 9.0, 10.0, waitingreasons.NO_WORKER)]
    assert fields["workers"] == [("j.0.0", {waitingreasons.FULL: 1})]


def leave_start_unanswered(bench):
    bench.add(fleetfakes.job("j"))
    bench.state.start(bench.state.jobs["j"], bench.state.jobs["j"].find(
        messages.TaskId("j", 0, 0, 0)), bench.state.workers["i-0"], 1)


def silence_worker(bench):
    bench.add(fleetfakes.job("j"))
    bench.place()
    bench.state.workers["i-0"].unresponsive = True


def forget_worker(bench):
    bench.add(fleetfakes.job("j"))
    bench.place()
    del bench.state.workers["i-0"]


def report_regularly(bench):
    bench.add(fleetfakes.job("j"))
    bench.place()


@pytest.mark.parametrize(("prepare", "doubtful"), [
    (leave_start_unanswered, ("j.0.0.0", 1, "starting", "i-0", True, False)),
    (silence_worker, ("j.0.0.0", 1, "running", "i-0", False, True)),
    (forget_worker, ("j.0.0.0", 1, "running", "", False, True)),
    (report_regularly, None),
])
def test_runs_in_doubt_for_long_are_logged(prepare, doubtful, logged):
    bench = test_fleet_state.Bench(fleetfakes.entry(0))
    prepare(bench)
    runs = doubtfulruns.DoubtfulRuns()
    runs.update(bench.state, bench.now)
    assert not runs.count
    runs.update(bench.state, bench.now + doubtfulruns.LOG_AFTER_S)
    rows = [row for event, fields in logged for row in fields.get("runs", ())
            if event is events.RUNS_IN_DOUBT]
    assert [row[:4] + row[5:] for row in rows] == (
        [doubtful] if doubtful else [])


def test_wrong_total_of_reserved_capacity_is_logged(logged):
    bench = test_fleet_state.Bench(fleetfakes.entry(0))
    bench.state.workers["i-0"].used = messages.Resources(1000, 10, 0)
    doubtfulruns.DoubtfulRuns().update(bench.state, bench.now)
    assert [fields["wrong_totals"] for event, fields in logged
            if event is events.RUNS_IN_DOUBT] == [["i-0"]]
