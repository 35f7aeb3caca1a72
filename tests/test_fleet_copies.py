"""Test copies of speculative runs: when, where, and what becomes of them."""

import dataclasses

import pytest

from sycamorefield.fleet import answers
from sycamorefield.fleet import copies
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.fleet import progress
from sycamorefield.fleet import rounds
from sycamorefield.fleet import runtimes
from sycamorefield.fleet import unwantedruns
from sycamorefield.fleet import workerstate
from tests import fleetfakes
from tests import test_fleet_state

RESOURCES = messages.Resources(400, 10)
STEP = messages.Step(1, RESOURCES, estimate_ms=500, speculative=True)
TASK = messages.TaskId("j", 0, 0, 0)
WORKERS = 4


class Fleet(test_fleet_state.Bench):
    """A fleet whose one task has a run, which has been reported as slow."""

    def __init__(self, monkeypatch, step: messages.Step = STEP,
                 max_attempts: int = 3, percent: int = 10, workers=WORKERS,
                 **policy) -> None:
        super().__init__(*(fleetfakes.entry(n) for n in range(workers)),
                         policy=policy_mod.Policy(**policy))
        monkeypatch.setattr("sycamorefield.fleet.clock.now", lambda: self.now)
        self.add(fleetfakes.job("j", step, max_attempts=max_attempts))
        self.place()
        self.job, self.task = self.state.find(TASK)
        self.first = self.task.worker_id
        self.now += 0.6
        self.run(self.first, 1, percent)

    def round(self) -> list[str]:
        """Run a round; return the workers that were ordered to start."""
        before = len(self.orders)
        self.now += 0.05
        self.state.update_listed(set(self.state.workers), self.now)
        rounds.place(self.state, self.now, 1e12)
        return [worker for worker, order in self.orders[before:]
                if isinstance(order, messages.StartOrder)]

    def copy(self) -> str:
        """Order a copy and let it start; return its worker."""
        [worker] = self.round()
        self.answer(2)
        return worker

    def answer(self, run: int) -> None:
        worker, order = self.start_order(run)
        answers.record_started(self.state, worker, order, self.now)

    def start_order(self, run: int) -> tuple[str, messages.StartOrder]:
        return next((worker, order) for worker, order in self.orders
                    if isinstance(order, messages.StartOrder)
                    and order.run == run)

    def run(self, worker: str, run: int, percent: int = 10) -> None:
        """Let a worker report a run of the task as running."""
        self.now += 0.01
        self.report(worker, [messages.RunningTask(TASK, run, "", percent)])

    def ends(self, worker: str, *ends: tuple[int, str]) -> None:
        """Let a worker report the ends of runs of the task."""
        self.now += 0.01
        last = self.state.workers[worker].last_processed_end
        self.report(worker, (), [
            messages.EndedTask(last + 1 + index, TASK, run, how, "")
            for index, (run, how) in enumerate(ends)])

    def stopped(self) -> list[tuple[str, int]]:
        """Return the runs that were ordered to stop, with their workers."""
        return [(worker, order.run) for worker, order in self.orders
                if isinstance(order, messages.StopOrder)]

    def idle_worker(self) -> str:
        return next(worker_id for worker_id, worker
                    in self.state.workers.items() if not worker.reserved)


@pytest.mark.parametrize(("changes", "policy", "copied"), [
    ({}, {}, True),
    ({}, {"speculative_copies": False}, False),
    ({"step": dataclasses.replace(STEP, speculative=False)}, {}, False),
    ({"step": dataclasses.replace(STEP, gang=True)}, {}, False),
    ({"step": dataclasses.replace(STEP, perpetual=True)}, {}, False),
    # More than 5% of the 16 cores.
    ({"step": dataclasses.replace(STEP, room=messages.Resources(801, 10))},
     {}, False),
    # A copy that fails must leave the run an attempt (BUDGET).
    ({"max_attempts": 1}, {}, False),
    ({"max_attempts": 2}, {}, True),
    # The run ends before a copy would, or is not known to be long.
    ({"percent": 90}, {}, False),
    ({"percent": 50}, {}, False),
    ({"percent": 0}, {}, False),
    ({"workers": 1}, {}, False)])
def test_which_slow_runs_get_a_copy(monkeypatch, changes, policy, copied):
    fleet = Fleet(monkeypatch, **changes, **policy)
    placed = fleet.round()
    assert len(placed) == copied
    assert fleet.first not in placed
    # A task has at most one copy.
    fleet.now += 2.0
    assert fleet.round() == []


def _task(phase=progress.RUNNING, started_at=98.0, percent=0, reported_at=99.0,
          stuck=False):
    task = progress.TaskState(TASK, STEP)
    task.phase, task.started_at, task.stuck = phase, started_at, stuck
    if percent:
        task.update_progress(percent, reported_at)
    return task


def _worker(**fields):
    worker = workerstate.WorkerState(fleetfakes.entry(0))
    for name, value in fields.items():
        setattr(worker, name, value)
    return worker


FAILING = {"failures": workerstate.MAX_CONSECUTIVE_FAILURES,
           "avoid_until": 101.0}


@pytest.mark.parametrize(("task", "ordered_at", "worker", "reason"), [
    (_task(), 97.9, _worker(), ""),
    (_task(), 97.9, _worker(unresponsive=True), copies.SILENT_WORKER),
    (_task(), 97.9, None, copies.SILENT_WORKER),
    (_task(progress.STARTING, 0.0), 99.9, _worker(unresponsive=True),
     copies.SILENT_WORKER),
    (_task(progress.STARTING, 0.0), 99.9, _worker(), ""),
    (_task(progress.STARTING, 0.0), 99.4, _worker(), copies.UNANSWERED_START),
    (_task(progress.STOPPING, 0.0), 99.9, _worker(), copies.UNANSWERED_START),
    # Stopped for a more urgent task.
    (_task(progress.STOPPING), 97.9, _worker(), ""),
    (_task(progress.STOPPING), 97.9, _worker(unresponsive=True), ""),
    (_task(stuck=True), 97.9, _worker(), copies.STUCK),
    (_task(), 97.9, _worker(**FAILING), copies.FAILING_WORKER),
    (_task(percent=60), 97.9, _worker(**FAILING), ""),
    # Refused for lack of capacity: that says nothing of its runs.
    (_task(), 97.9, _worker(avoid_until=101.0), ""),
    (_task(percent=25), 97.9, _worker(), copies.LONG_RUN)])
def test_reasons_for_a_copy(task, ordered_at, worker, reason):
    assert copies.reason_to_copy(
        task, ordered_at, worker, runtimes.RunTimeModel(), "q",
        100.0) == reason


@pytest.mark.parametrize(("run_times", "age_s", "percent", "worth_it"), [
    # 3% of the runs take 7 s, others 1 s: from 1 s on, 6 s are expected.
    ([1.0] * 97 + [7.0] * 3, 0.9, 0, False),
    ([1.0] * 97 + [7.0] * 3, 1.1, 0, True),
    # Nearly done; half done at half the expected time; hung at 50%.
    ([1.0] * 97 + [7.0] * 3, 1.1, 90, False),
    ([1.0] * 97 + [7.0] * 3, 2.0, 60, False),
    ([1.0] * 100, 4.0, 99, True),
    # Longer than any run before: as long again.
    ([1.0] * 100, 1.4, 0, False),
    ([1.0] * 100, 1.6, 0, True),
    # Run times that scatter are no reason for a copy.
    ([0.5 + n / 100.0 for n in range(100)], 1.2, 0, False),
    # Nothing is known but the estimate of 0.5 s.
    ([], 3.0, 0, False),
    ([], 1.0, 20, True)])
def test_copy_must_end_clearly_sooner(run_times, age_s, percent, worth_it):
    model = runtimes.RunTimeModel()
    for run_s in run_times:
        model.record("q", STEP, run_s)
    task = _task(started_at=100.0 - age_s, percent=percent,
                 reported_at=100.0 - (age_s - 1.1 if age_s > 3 else 0.0))
    assert copies.is_worth_copying(model, "q", task, 100.0) == worth_it


@pytest.mark.parametrize("copy_is_first", [False, True])
@pytest.mark.parametrize(("first", "second", "done", "failed_runs"), [
    ("done", "done", True, 0), ("done", "failed", True, 0),
    ("done", "stopped", True, 0), ("failed", "done", True, 1),
    ("lapsed", "done", True, 0), ("failed", "failed", False, 2),
    ("failed", "stopped", False, 1)])
def test_ends_of_both_runs(monkeypatch, copy_is_first, first, second, done,
                           failed_runs):
    fleet = Fleet(monkeypatch)
    ends = [(fleet.first, 1), (fleet.copy(), 2)]
    if copy_is_first:
        ends.reverse()
    fleet.ends(ends[0][0], (ends[0][1], first))
    assert fleet.task.copy is None
    assert (ends[1] in fleet.stopped()) == (first == "done")
    assert fleet.task.run == ends[1][1]
    fleet.ends(ends[1][0], (ends[1][1], second))
    assert (fleet.task.done, len(fleet.task.failed_runs)) == (
        done, failed_runs)
    assert fleet.task.phase == progress.IDLE
    assert fleet.job.state == (
        messages.COMPLETED if done else messages.PENDING)
    assert fleet.round() == [] if done else len(fleet.round()) == 1
    assert not any(w.reserved for w in fleet.state.workers.values()) == done
    gauges = fleet.state.copies
    assert gauges.won_total == (copy_is_first == (first == "done") and done)


@pytest.mark.parametrize("outcomes", [
    ("lapsed", "done"), ("done", "done"), ("failed", "done")])
def test_ends_of_both_runs_in_one_report(monkeypatch, outcomes):
    """The copy of a copy may run where the first run was lost."""
    fleet = Fleet(monkeypatch, max_attempts=4, workers=2)
    second = fleet.copy()
    fleet.state.mark_dead(fleet.first, "gone")
    fleet.state.add_worker(fleetfakes.entry(
        int(fleet.first[2:]), born_ms=7))
    fleet.report(fleet.first)
    fleet.state.enrol(fleet.state.workers)
    fleet.now += 1.0
    fleet.run(second, 2, 20)
    assert fleet.round() == [fleet.first]
    fleet.ends(fleet.first, (1, outcomes[0]), (3, outcomes[1]))
    assert fleet.task.done and (second, 2) in fleet.stopped()
    assert not fleet.state.workers[fleet.first].reserved
    assert len(fleet.task.failed_runs) == outcomes.count("failed")


@pytest.mark.parametrize("max_attempts", [2, 3, 4])
def test_failed_copies_count_as_attempts(monkeypatch, max_attempts):
    """BUDGET: no more runs than attempts fail, copies included."""
    fleet = Fleet(monkeypatch, max_attempts=max_attempts, workers=8)
    fleet.copy()
    for _ in range(12):
        for run in fleet.task.runs()[::-1]:
            if run.phase != progress.IDLE:
                fleet.ends(run.worker_id, (run.run, "failed"))
        fleet.now += 1.0
        for worker in fleet.round():
            run = fleet.task.last_run
            fleet.answer(run)
            fleet.run(worker, run, 5)
        fleet.now += 3.0
        fleet.round()
    assert fleet.job.state == messages.JOB_FAILED
    assert len(fleet.task.failed_runs) == max_attempts


def test_end_recorded_while_copy_is_queued(monkeypatch):
    fleet = Fleet(monkeypatch)
    [second] = fleet.round()
    fleet.ends(fleet.first, (1, "done"))
    worker, order = fleet.start_order(2)
    assert not answers.should_send(fleet.state, worker, order)
    assert not fleet.state.workers[second].reserved


@pytest.mark.parametrize("event", ["done", "cancelled"])
@pytest.mark.parametrize("uncertain_first", [False, True])
def test_end_recorded_while_copy_is_unanswered(monkeypatch, event,
                                               uncertain_first):
    """The start is not repeated; a run that begins late is stopped."""
    fleet = Fleet(monkeypatch)
    [second] = fleet.round()
    worker, order = fleet.start_order(2)
    assert answers.should_send(fleet.state, worker, order)
    if uncertain_first:
        answers.stop_uncertain_run(fleet.state, worker, order)
    if event == "done":
        fleet.ends(fleet.first, (1, "done"))
    else:
        fleet.state.cancel("j")
    assert not answers.should_repeat(fleet.state, worker, order)
    assert (second, 2) in fleet.stopped()
    answers.stop_uncertain_run(fleet.state, worker, order)
    # Its capacity counts as in use until the stop is confirmed (LIMIT).
    fleet.report(second)
    assert fleet.state.workers[second].reserved
    answers.record_stopped(fleet.state, worker,
                           messages.StopOrder(TASK, 2), fleet.now)
    fleet.now += 0.01
    fleet.report(second)
    assert not fleet.state.workers[second].reserved
    # Carried out late all the same.
    stops = fleet.stopped().count((second, 2))
    fleet.run(second, 2)
    assert fleet.stopped().count((second, 2)) == stops + 1
    assert fleet.round() == []


def test_start_of_a_copy_has_a_short_lease(monkeypatch):
    """A start that arrives late is refused: the task may be done by then."""
    fleet = Fleet(monkeypatch)
    assert copies.start_lease_ms(
        fleet.state, TASK) == copies.START_LEASE_MS
    off = Fleet(monkeypatch, speculative_copies=False)
    assert copies.start_lease_ms(off.state, TASK) == workerstate.LEASE_MS


@pytest.mark.parametrize("loss", [
    "silent until lease ends", "dead", "vanished", "restarted"])
@pytest.mark.parametrize("loses_copy", [False, True])
def test_loss_of_the_worker_of_either_run(monkeypatch, loss, loses_copy):
    """The other run is the only one, and no third one starts."""
    fleet = Fleet(monkeypatch)
    second = fleet.copy()
    lost, kept = ((second, fleet.first) if loses_copy
                  else (fleet.first, second))
    fleet.now += 0.1
    if loss == "dead":
        fleet.state.mark_dead(lost, "refused")
    elif loss == "vanished":
        fleet.report(lost)
    elif loss == "restarted":
        fleet.state.workers[lost].born_ms = 1
        fleet.report(lost)
    else:
        fleet.state.mark_unresponsive(lost, "no answer")
        fleet.round()
        assert len(fleet.task.runs()) == 2
        fleet.now += 2 * workerstate.LEASE_EXPIRY_S
        fleet.state.expire(fleet.now)
    assert [run.worker_id for run in fleet.task.runs()] == [kept]
    assert fleet.state.workers[kept].tasks[TASK, fleet.task.run] is fleet.task
    fleet.ends(kept, (fleet.task.run, "done"))
    assert fleet.job.state == messages.COMPLETED


@pytest.mark.parametrize("silent_is_done", [False, True])
def test_partitioned_worker_comes_back(monkeypatch, silent_is_done):
    """A copy starts at once; the late end of the first run is no harm."""
    fleet = Fleet(monkeypatch, percent=50)
    fleet.state.mark_unresponsive(fleet.first, "cut")
    second = fleet.copy()
    assert second != fleet.first
    fleet.ends(second, (2, "done"))
    assert fleet.job.state == messages.COMPLETED
    assert (fleet.first, 1) in fleet.stopped()
    assert fleet.state.workers[fleet.first].reserved
    fleet.ends(fleet.first, (1, "done" if silent_is_done else "lapsed"))
    assert not fleet.state.workers[fleet.first].reserved
    assert fleet.job.done_tasks == 1


@pytest.mark.parametrize("reason", [
    interfaces.STALE_RUN, interfaces.NO_CAPACITY, interfaces.UNHEALTHY,
    "no lease"])
@pytest.mark.parametrize("rejects_copy", [False, True])
def test_rejected_start(monkeypatch, reason, rejects_copy):
    """A rejected copy is forgotten; the copy of a rejected run goes on."""
    fleet = Fleet(monkeypatch)
    fleet.round()
    run = 2 if rejects_copy else 1
    answers.record_rejected(
        fleet.state, *fleet.start_order(run), reason, fleet.now)
    assert [state.run for state in fleet.task.runs()] == [3 - run]
    assert sum(len(w.reserved) for w in fleet.state.workers.values()) == 1
    fleet.now += copies.MIN_COPY_GAP_S
    assert len(fleet.round()) == 1


@pytest.mark.parametrize("copy_reports_first", [False, True])
@pytest.mark.parametrize("policy", [{}, {"speculative_copies": False}])
def test_change_of_owner(monkeypatch, copy_reports_first, policy):
    """A successor takes both runs over, and starts no third one."""
    fleet = Fleet(monkeypatch, **policy)
    fleet.job.run_base = 2
    fleet.job.created_revision = 1
    fleet.task.reset_run()
    second = fleet.idle_worker()
    for worker in fleet.state.workers.values():
        worker.reserved.clear()
        worker.tasks.clear()
        worker.used = messages.Resources()
    runs = [(fleet.first, 1), (second, 2)]
    for worker, run in runs[::-1] if copy_reports_first else runs:
        fleet.run(worker, run)
    if policy:
        assert len(fleet.stopped()) == 1 and fleet.task.copy is None
        return
    assert {run.run for run in fleet.task.runs()} == {1, 2}
    fleet.now += 2.0
    assert fleet.round() == fleet.stopped() == []
    # A third run of the previous owner, and a run that was given up.
    fleet.run(fleet.idle_worker(), 0)
    assert len(fleet.stopped()) == 1
    fleet.ends(second, (2, "done"))
    assert fleet.job.state == messages.COMPLETED
    assert (fleet.first, 1) in fleet.stopped()


def test_run_that_this_owner_gave_up_is_not_a_copy(monkeypatch):
    fleet = Fleet(monkeypatch, percent=50)
    other = fleet.idle_worker()
    fleet.run(other, 5)
    assert fleet.task.copy is None and fleet.stopped() == [(other, 5)]


def test_no_copies_while_workers_are_awaited(monkeypatch):
    """Tasks held back after a takeover may need the capacity."""
    fleet = Fleet(monkeypatch)
    fleet.state.awaited_workers = {"i-9": 1e9}
    assert fleet.round() == []
    fleet.state.awaited_workers = {}
    assert len(fleet.round()) == 1


@pytest.mark.parametrize(("waiting", "copied"), [
    # Fits on no worker at all.
    ({"room": messages.Resources(9000, 10)}, 1),
    # More urgent or as urgent, and will fit once a run ends.
    ({"room": messages.Resources(4000, 10)}, 0),
    ({"room": messages.Resources(4000, 10), "requires": "b"}, 1),
    # Less urgent, and fits on no free capacity.
    ({"room": messages.Resources(4000, 10), "queue": "renewals"}, 1),
    # A gang whose other member does not fit yet could use the capacity.
    ({"room": messages.Resources(2500, 10), "queue": "renewals",
      "count": 5, "gang": True}, 0)])
def test_copy_leaves_capacity_to_waiting_tasks(monkeypatch, waiting, copied):
    fleet = Fleet(monkeypatch)
    for n in range(WORKERS):
        fleet.add(fleetfakes.job(f"f{n}", messages.Step(
            1, messages.Resources(1000, 10), max_per_worker=1)))
    fields = {"count": 1} | waiting
    queue = fields.pop("queue", "checks")
    monkeypatch.setattr(fleet.task, "copy_not_before", 1e9)
    fleet.round()
    for worker in fleet.state.workers.values():
        worker.reserve((TASK, 99), messages.Step(
            1, messages.Resources(500, 10)), None)
    fleet.add(fleetfakes.job("w", messages.Step(**fields), queue=queue,
                             priority=2 if queue == "renewals" else 0))
    monkeypatch.setattr(fleet.task, "copy_not_before", 0.0)
    assert len(fleet.round()) == copied


@pytest.mark.parametrize(("step", "priority", "stops"), [
    (messages.Step(1, messages.Resources(3800, 10)), 2, True),
    (messages.Step(WORKERS, messages.Resources(3700, 10), gang=True), 2, True),
    (messages.Step(1, messages.Resources(3800, 10), fills=True), 0, True),
    # Best-effort tasks wait all the time under load.
    (messages.Step(1, messages.Resources(3800, 10), fills=True), 2, False)])
def test_copy_is_preempted_by_what_waits(monkeypatch, step, priority, stops):
    """Even by a less urgent task; its capacity is then used by that."""
    fleet = Fleet(monkeypatch)
    second = fleet.copy()
    for worker_id, worker in fleet.state.workers.items():
        if worker_id != second:
            worker.reserve((TASK, 99), messages.Step(
                1, messages.Resources(290 if step.gang else 2000, 10)), None)
            if worker_id == fleet.first and step.gang:
                worker.release((TASK, 1), STEP)
    fleet.add(fleetfakes.job(
        "w", step, queue="renewals" if priority else "checks",
        priority=priority, accepted_ms=1e12))
    fleet.round()
    assert fleet.stopped() == [(second, 2)] * stops
    if not stops:
        return
    fleet.ends(second, (2, "stopped"))
    started = fleet.round()
    assert second in started and fleet.task.copy is None


@pytest.mark.parametrize(("step", "priority", "needed"), [
    (messages.Step(1, RESOURCES), 2, True),
    (messages.Step(1, RESOURCES, fills=True), 0, True),
    (messages.Step(1, RESOURCES, fills=True), 2, False)])
def test_which_waiting_tasks_need_free_capacity(step, priority, needed):
    waiting = copies.Waiting()
    waiting.add(step, _worker().entry.service, priority)
    assert waiting.needs(_worker(), 0) == needed


def test_watched_runs_are_not_looked_through_in_each_round(monkeypatch):
    """Guards against an owner that spends its time on 900 watched runs."""
    fleet = Fleet(monkeypatch, percent=90)
    checks = []
    monkeypatch.setattr(copies, "due", lambda *_: checks.append(1) or [])
    for _ in range(20):
        fleet.now += 0.01
        rounds.place(fleet.state, fleet.now, 1e12)
    assert 4 <= len(checks) <= 6


def test_copy_leaves_its_place_to_a_task_of_its_step(monkeypatch):
    """Guards against a task kept out by max_per_worker and a copy."""
    fleet = Fleet(monkeypatch, workers=3, step=dataclasses.replace(
        STEP, count=2, max_per_worker=1))
    second = fleet.copy()
    sibling = TASK._replace(number=1)
    [other] = set(fleet.state.workers) - {fleet.first, second}
    fleet.report(other, (), [messages.EndedTask(1, sibling, 1, "failed", "")])
    fleet.state.workers[other].avoid_until = fleet.now + 9.0
    fleet.round()
    assert fleet.stopped() == [(second, 2)]
    fleet.ends(second, (2, "stopped"))
    assert fleet.round() == [second]
    assert fleet.state.find(sibling)[1].worker_id == second


def test_stopping_copy_that_becomes_the_run_is_stopped_again(monkeypatch):
    """Guards against a task that waits for a run that outlives its stop."""
    fleet = Fleet(monkeypatch)
    second = fleet.copy()
    fleet.state.stop_run(fleet.task.copy, "room")
    fleet.ends(fleet.first, (1, "failed"))
    assert (fleet.task.run, fleet.task.phase) == (2, progress.STOPPING)
    answers.record_stopped(fleet.state, second,
                           messages.StopOrder(TASK, 2), fleet.now)
    fleet.now += 3.1
    fleet.run(second, 2)
    assert fleet.stopped() == [(second, 2)] * 2


def test_run_time_of_a_copy_that_became_the_run_is_learned(monkeypatch):
    fleet = Fleet(monkeypatch)
    second = fleet.copy()
    fleet.ends(fleet.first, (1, "failed"))
    recorded = []
    monkeypatch.setattr(fleet.state.run_times, "record",
                        lambda *values: recorded.append(values))
    fleet.ends(second, (2, "done"))
    assert len(recorded) == 1


def test_stop_of_a_copy_is_repeated_after_it_became_the_current_run(
        monkeypatch):
    """A run that begins after its stop was accepted would go on for ever."""
    fleet = Fleet(monkeypatch)
    worker = fleet.copy()
    fleet.state.stop_run(fleet.task.copy, "room for another task")
    fleet.now += 0.01
    answers.record_stopped(fleet.state, worker,
                           messages.StopOrder(TASK, 2), fleet.now)
    fleet.ends(fleet.first, (1, messages.FAILED))
    assert (fleet.task.run, fleet.task.phase) == (2, progress.STOPPING)
    fleet.now += unwantedruns.STOP_REPEAT_S
    fleet.run(worker, 2)
    assert fleet.stopped() == [(worker, 2), (worker, 2)]
