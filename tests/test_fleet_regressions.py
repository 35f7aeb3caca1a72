"""Regression tests of placement under load and of start failures.

They guard against long-running tasks that stay down and against long rounds.
"""

import threading
import time

import pytest

from sycamorefield.fleet import answers
from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import ordering
from sycamorefield.fleet import owner as owner_mod
from sycamorefield.fleet import placing
from sycamorefield.fleet import progress
from sycamorefield.fleet import recorder as recorder_mod
from sycamorefield.fleet import rounds
from sycamorefield.fleet import workerstate
from tests import fleetfakes
from tests import test_fleet_state

WORKERS = 100


def fill_unsent_starts(bench: test_fleet_state.Bench) -> None:
    """Give the worker with most free CPU its maximum of unsent starts."""
    bench.add(fleetfakes.job("first", messages.Step(
        workerstate.MAX_UNSENT_STARTS, messages.Resources(100, 10))))
    rounds.place(bench.state, bench.now, 0)


@pytest.mark.parametrize(("few_jobs", "many_jobs"), [(20, 80), (50, 200)])
def test_round_stays_cheap_when_a_worker_has_unsent_starts(
        few_jobs, many_jobs, monkeypatch):
    """Do not search all workers for each task that fits a blocked worker.

    One worker has its maximum of unsent starts and free capacity for more,
    and many tasks wait.  If a task that fits only there is neither started
    nor remembered as unplaceable, each waiting task instead of each step
    searches all workers in every round.  Starts, reports and leases then wait
    for the lock: with 176 workers and 600 jobs of 34 tasks, a round took
    1,795 ms of CPU time with one such worker, and 17.8 ms without.
    """
    probes = []
    allowed = placing.allowed

    def counting_allowed(*args):
        probes.append(args)
        return allowed(*args)

    monkeypatch.setattr(placing, "allowed", counting_allowed)
    probe_counts = []
    for jobs in (few_jobs, many_jobs):
        bench = test_fleet_state.Bench(
            *(fleetfakes.entry(n) for n in range(WORKERS)),
            fleetfakes.entry(WORKERS, cpu=20_000),
            policy=fleetfakes.NO_RESERVED_CAPACITY)
        bench.add(fleetfakes.job("long-running", messages.Step(
            WORKERS, messages.Resources(3900, 10), perpetual=True,
            max_per_worker=1)), 19)
        while bench.place():
            pass
        fill_unsent_starts(bench)
        for n in range(jobs):
            bench.add(fleetfakes.job(f"j{n}", messages.Step(
                3, messages.Resources(1000 + n, 10))), 30 + n)
        probes.clear()
        rounds.place(bench.state, bench.now, 0)
        probe_counts.append(len(probes))
    # One probe of the blocked worker per waiting task would be enough.
    assert probe_counts[1] - probe_counts[0] <= 5 * (many_jobs - few_jobs)


@pytest.mark.parametrize(("urgent", "min_stops", "max_stops"), [
    (1, 0, 0), (3, 2, 2), (6, 2, 3),
], ids=["fits-behind-starts", "two-too-many", "five-too-many"])
def test_capacity_behind_unsent_starts_is_counted_once(
        urgent, min_stops, max_stops):
    """Preempt for urgent tasks that do not fit a worker with unsent starts.

    One worker has its maximum of unsent starts, for example because its calls
    get no answer, and capacity for one more task.  If every waiting task
    counts on that capacity, urgent tasks wait although low-priority runs
    elsewhere could be preempted.
    """
    bench = test_fleet_state.Bench(
        fleetfakes.entry(0, cpu=3000), fleetfakes.entry(1, cpu=2000))
    bench.add(fleetfakes.job("low-priority", messages.Step(
        3, messages.Resources(1000, 10), max_per_worker=2), queue="renewals",
        priority=2), 11)
    while bench.place():
        pass
    # Two of the low-priority runs are on i-1, and one is on i-0.
    assert len(bench.state.workers["i-1"].tasks) == 2
    bench.add(fleetfakes.job("first", messages.Step(
        workerstate.MAX_UNSENT_STARTS, messages.Resources(100, 10))), 12)
    rounds.place(bench.state, bench.now, 0)
    assert not bench.state.workers["i-0"].accepts_starts()
    bench.add(fleetfakes.job("urgent", messages.Step(
        urgent, messages.Resources(1000, 10))), 21)
    rounds.place(bench.state, bench.now, 0)
    assert min_stops <= len(bench.stops()) <= max_stops


@pytest.mark.parametrize(("best_effort_cpu", "other_cpu"), [
    (4000, 4000), (3900, 4000),
])
def test_unplaceable_best_effort_task_does_not_hide_an_empty_worker(
        best_effort_cpu, other_cpu):
    """Start a task on an empty worker that a best-effort one does not fit.

    A best-effort task without an image waits, because it needs 1.05 times its
    CPU to be unused; a task that reserves the same CPU comes after it.  If
    remembered misses distinguish best-effort tasks from others only by the
    image, which may be empty, the second task is not started either.
    """
    bench = test_fleet_state.Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("best-effort", messages.Step(
        1, messages.Resources(best_effort_cpu, 10), fills=True),
        accepted_ms=1e12))
    bench.add(fleetfakes.job("other", messages.Step(
        1, messages.Resources(other_cpu, 10))), 21)
    assert bench.place(1e12) == ["other.0.0.0@i-0"]


@pytest.mark.parametrize("outcome", [
    interfaces.UNHEALTHY, "no lease may be given", "withdrawn"])
def test_failed_start_does_not_reset_the_downtime(outcome):
    """Count the downtime of a long-running task from its last run.

    The run of the task lapses, and its next start waits to be sent and is
    then rejected or withdrawn.  If an order that is not carried out yet resets
    the downtime, the task gets precedence only 4 s after that, is down for
    4 s longer than necessary and counts as lost.
    """
    bench = test_fleet_state.Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("long-running", messages.Step(
        1, messages.Resources(1000, 10), perpetual=True)))
    (placement,) = bench.place()
    bench.end("i-0", placement.split("@")[0], 1, "lapsed")
    down_at = bench.now
    for _ in range(3):
        rounds.place(bench.state, bench.now, 0)
        bench.now += 1.0
    worker_id, order = bench.orders[-1]
    assert order.run == 2
    if outcome == "withdrawn":
        bench.state.mark_unresponsive(worker_id, "no answer")
        assert not answers.should_send(bench.state, worker_id, order)
    else:
        answers.record_rejected(bench.state, worker_id,
                                order, outcome, bench.now)
    state = bench.state.jobs["long-running"]
    for delay_s in (0.0, 0.5):
        bench.now = down_at + ordering.BOOST_AFTER_DOWN_S + delay_s
        rounds.place(bench.state, bench.now, 0)
        assert state.tasks[0, 0][0].phase == progress.IDLE
    assert ordering.is_interrupted(state, bench.now)


@pytest.mark.parametrize("long_ms", [20_000, 60_000])
def test_reservation_is_made_where_capacity_is_freed_soonest(long_ms):
    """Reserve capacity next to runs of a second, not of a minute.

    One worker has much free capacity next to a run of a minute; another is
    kept busy by tasks of a second.  If the reservation is made where most
    capacity is free now, regardless of what must end until there is enough,
    small tasks keep taking the capacity that is freed soon, and a long-running
    task stays down for as long as the longest run.
    """
    bench = test_fleet_state.Bench(fleetfakes.entry(0), fleetfakes.entry(1))
    bench.add(fleetfakes.job("long", messages.Step(
        1, messages.Resources(1500, 10), estimate_ms=long_ms)), 11)
    (placement,) = bench.place()
    quick_worker = "i-1" if placement.endswith("i-0") else "i-0"
    bench.add(fleetfakes.job("long-running", messages.Step(
        1, messages.Resources(3000, 10), perpetual=True)), 12)
    assert bench.place() == [f"long-running.0.0.0@{quick_worker}"]
    bench.end(quick_worker, "long-running.0.0.0", 1, "lapsed")
    down_at = bench.now
    end_number, finite_jobs = 1, 0
    end_times: dict[str, float] = {}
    while bench.now < down_at + 9.0:
        for name in [n for n, at in end_times.items() if at <= bench.now]:
            del end_times[name]
            end_number += 1
            bench.end(quick_worker, name, end_number, messages.DONE)
        while len(bench.state.active) < 20:
            finite_jobs += 1
            bench.add(fleetfakes.job(f"finite{finite_jobs}", messages.Step(
                1, messages.Resources(1000, 10), estimate_ms=1000,
                requires=f"r{quick_worker[-1]}")), 100 + finite_jobs)
        placed = bench.place()
        if any(name.startswith("long-running") for name in placed):
            break
        for name in placed:
            end_times[name.split("@")[0]] = bench.now + 0.8 + 0.8 * (
                len(end_times) * 0.618034 % 1.0)
    assert bench.now < down_at + 9.0


def test_reservation_is_kept_while_runs_stop_on_another_worker():
    """Keep a reservation until its task has been placed.

    Capacity has been reserved for a task on one worker.  On another, runs are
    ordered to stop, and what they free would be enough together with what is
    free there.  If the task then counts on the capacity being freed, no
    reservation is made in that round, and small tasks take the free capacity
    of both workers.  In simulations with 20 workers full of small tasks of
    0.8 to 1.6 s, of which 100 a second were cancelled and took 0.5 s to stop,
    a long-running task as large as a worker was not back after 30 s in 5 of 5
    runs.
    """
    bench = test_fleet_state.Bench(fleetfakes.entry(0), fleetfakes.entry(1))
    bench.add(fleetfakes.job("long-running", messages.Step(
        1, messages.Resources(3000, 10), perpetual=True)), 12)
    (placement,) = bench.place()
    name, first_worker = placement.split("@")
    bench.end(first_worker, name, 1, "lapsed")
    long_running_task = bench.state.jobs["long-running"].tasks[0, 0][0]
    bench.add(fleetfakes.job("small", messages.Step(
        8, messages.Resources(1000, 10))), 13)
    bench.now += 0.5
    long_running_task.not_before = bench.now + 4.0
    assert len(bench.place()) == 8
    long_running_task.not_before = 0.0
    bench.now += ordering.BOOST_AFTER_DOWN_S + 0.5
    end_numbers = {"i-0": 1, "i-1": 1}

    def end(worker_id: str) -> None:
        run = next(r for r, t in bench.state.workers[worker_id].tasks.items()
                   if t.phase == progress.RUNNING)
        end_numbers[worker_id] += 1
        bench.end(worker_id, str(run[0]), end_numbers[worker_id],
                  messages.DONE, run[1])

    bench.add(fleetfakes.job("more", messages.Step(
        50, messages.Resources(1000, 10))), 14)
    end("i-0")
    end("i-0")
    assert not bench.place()
    # The reservation on i-0 is kept: the task needs one more run to end.
    end("i-1")
    running = [t for t in bench.state.workers["i-1"].tasks.values()
               if t.phase == progress.RUNNING]
    for task in running[:2]:
        bench.state.stop_run(task, "cancelled")
    free_cpu = bench.state.workers["i-0"].free_capacity().cpu
    bench.place()
    bench.place()
    assert (bench.state.workers["i-0"].free_capacity().cpu == free_cpu
            or bench.state.workers["i-1"].free_capacity().cpu >= 1000)


@pytest.mark.parametrize("round_s", [0.8, 1.6])
def test_pause_after_a_long_round_is_bounded(round_s, monkeypatch):
    """Resume placement soon after a round that was delayed.

    The VM is slowed, or the lock is held, during a round.  The round counts
    as long and is followed by an equally long pause, in which nothing is
    placed and no reports are processed.  Without a bound on the pause, a task
    on an idle fleet starts seconds after it arrived.
    """
    owner = owner_mod.Owner(
        fleetfakes.MemoryStore(), fleetfakes.MemoryWorkerList(()),
        lambda entry: None, fleetfakes.configuration, 5, 6000.0)
    placed_at = []

    def place(fleet, now, wall_ms):
        placed_at.append(clock.now())
        if len(placed_at) == 1:
            time.sleep(round_s)

    monkeypatch.setattr(rounds, "place", place)
    owner.may_lease = lambda: True
    thread = threading.Thread(target=owner._run_rounds)
    thread.start()
    time.sleep(2 * round_s + 0.5)
    owner.step_down("test over")
    thread.join()
    assert placed_at[1] - placed_at[0] < round_s + 0.5


def test_waiting_jobs_are_counted_at_most_once_a_second(monkeypatch):
    """Count waiting jobs no more often than the counts may be written.

    If the time of the last count is recorded only when the counts have
    changed, every flush counts all tasks of waiting jobs and holds the fleet's
    lock meanwhile.  With 600 waiting jobs of 34 tasks, a count took 2.0 ms of
    CPU time, up to 25 times a second and more often when jobs end.
    """
    bench = test_fleet_state.Bench()
    bench.add(fleetfakes.job("j"))
    store = fleetfakes.MemoryStore()
    fence = store.commit(messages.Transaction(
        puts=(messages.Put("owner", b"me"),)))
    bench.state.fence = fence
    recorder = recorder_mod.Recorder(
        store, bench.state, "owner", lambda: True, lambda reason: None,
        lambda stored_ends: None)
    counts = []
    waiting = bench.state.count_waiting_jobs

    def counting_waiting():
        counts.append(1)
        return waiting()

    monkeypatch.setattr(bench.state, "count_waiting_jobs",
                        counting_waiting)
    now = [1000.0]
    monkeypatch.setattr(recorder_mod.time, "monotonic", lambda: now[0])
    for _ in range(50):
        now[0] += 0.04
        assert recorder.flush()
    assert len(counts) <= 4
