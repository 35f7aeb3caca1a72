"""Test that work leaves a draining worker within its notice."""

import pytest

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import drains
from sycamorefield.fleet import messages
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.fleet import progress
from sycamorefield.fleet import quarantines
from sycamorefield.fleet import suspicion
from tests import fleetfakes
from tests import test_fleet_advice
from tests import test_fleet_state

ROOM = messages.Resources(2000, 100)
LASTING = messages.Step(1, ROOM, perpetual=True)
SAVING = messages.Step(1, ROOM, 9000, checkpoint=True)
LONG = messages.Step(1, ROOM, 9000)
SHORT = messages.Step(1, ROOM, 1000)
NOTICE_MS = 4000.0
ON = policy_mod.Policy(move_from_draining_workers=True)
OFF = policy_mod.Policy(move_from_draining_workers=False)


@pytest.fixture(name="logged")
def fixture_logged(monkeypatch):
    """Return the events that are logged, with their fields."""
    logged = []
    monkeypatch.setattr(events, "emit", lambda event, **fields: logged.append(
        (event, fields)))
    return logged


def kept(logged):
    """Return the reason of each run that is logged as not moved."""
    return [(task, reason) for event, fields in logged
            if event is events.RUNS_NOT_MOVED
            for task, _, reason in fields["runs"]]


class DrainBench(test_fleet_state.Bench):
    """A fleet on whose worker i-0 a job runs, beside worker i-1."""

    def __init__(self, *steps: messages.Step, others: int = 1,
                 policy: policy_mod.Policy = ON) -> None:
        super().__init__(fleetfakes.entry(0), policy=policy)
        self.add(fleetfakes.job("j", *steps))
        self.place()
        for number in range(1, others + 1):
            self.state.add_worker(fleetfakes.entry(number))
            self.report(f"i-{number}")
        self.state.enrol(self.state.workers)

    def announce(self, number: int = 0, draining: bool = True,
                 remaining_ms: float | None = NOTICE_MS) -> None:
        self.state.add_worker(fleetfakes.entry(
            number, draining=draining, remaining_ms=remaining_ms))

    def place_for(self, seconds: float) -> list[str]:
        """Run rounds for some seconds; return the starts."""
        until = self.now + seconds
        placed = []
        while self.now < until:
            placed += self.place()
        return placed

    def task(self, number: int = 0, step: int = 0) -> progress.TaskState:
        return self.state.jobs["j"].tasks[0, step][number]


@pytest.mark.parametrize("step", [LASTING, SAVING, LONG],
                         ids=["lasting", "saving", "long"])
@pytest.mark.parametrize("remaining_ms", [NOTICE_MS, 0.0, None, -5.0])
def test_run_that_outlasts_the_notice_moves_at_once(step, remaining_ms):
    """Guards against runs that die with a worker whose leave was announced."""
    bench = DrainBench(step)
    bench.announce(remaining_ms=remaining_ms)
    assert not bench.place()
    assert bench.stops() == ["j.0.0.0"]
    assert not bench.place_for(1.0)
    bench.end("i-0", "j.0.0.0", 1, "stopped", saved="s1")
    assert bench.place() == ["j.0.0.0@i-1"]
    assert bench.orders[-1][1].saved == "s1"
    assert not bench.place_for(6.0)
    assert bench.stops() == ["j.0.0.0"]


def fill_other(bench):
    bench.state.workers["i-1"].reserve(
        (messages.TaskId("k", 0, 0, 0), 1),
        messages.Step(1, messages.Resources(3000, 100)), None)


def drain_other(bench):
    bench.announce(1)


def silence(bench):
    bench.state.mark_unresponsive("i-0", "cut")


def attach_copy(bench):
    task = bench.task()
    task.copy = progress.Copy(task, bench.state.workers["i-1"].tasks)


def suspect(bench):
    bench.task().suspicion = suspicion.Suspicion(["i-7"], [0.1])


def await_worker(bench):
    bench.state.jobs["j"].created_revision = 5
    bench.state.await_workers(["i-9"], bench.now + 100.0)


def lose_own_lease(bench):
    bench.state.owner_lease_until = bench.state.jobs["j"].known_at - 1.0


def begin_start(bench):
    bench.task().phase = progress.STARTING


def list_next_life(bench):
    bench.state.workers["i-0"].born_ms = 1
    bench.state.add_worker(fleetfakes.entry(
        0, draining=True, remaining_ms=NOTICE_MS, born_ms=2))


def change_nothing(bench):
    return


@pytest.mark.parametrize(("step", "change", "policy", "reason"), [
    (SHORT, change_nothing, ON, "ends in time"),
    (messages.Step(2, ROOM, 9000, gang=True), change_nothing,
     ON, "member of a gang"),
    (LASTING, fill_other, ON, "no capacity elsewhere"),
    (LASTING, drain_other, ON, "no capacity elsewhere"),
    (LASTING, attach_copy, ON, "has a copy"),
    (LASTING, suspect, ON, "suspected"),
    (LASTING, await_worker, ON, "start is held back"),
    (LASTING, lose_own_lease, ON, "start is held back"),
    (LASTING, begin_start, ON, "has not begun"),
    (LASTING, silence, ON, "worker does not answer"),
    (LASTING, list_next_life, ON, None),
    (LASTING, change_nothing, OFF, None),
], ids=["short", "gang", "full", "others-drain", "copy", "suspected",
        "takeover", "lease-lost", "starting", "silent",
        "next-life", "disabled"])
def test_run_stays_and_its_reason_is_logged_once(step, change, policy,
                                                 reason, logged):
    bench = DrainBench(step, policy=policy)
    bench.announce()
    change(bench)
    bench.place_for(NOTICE_MS / 1000.0 - 1.0)
    assert not bench.stops()
    assert not kept(logged)
    bench.place_for(2.0)
    assert set(kept(logged)) == ({
        (f"j.0.0.{number}", reason) for number in range(step.count)}
        if reason else set())
    assert len(kept(logged)) == (step.count if reason else 0)


def test_run_is_logged_that_ends_with_a_worker_before_its_notice_is_over(
        logged):
    bench = DrainBench(LASTING, SHORT)
    fill_other(bench)
    bench.announce()
    bench.place()
    bench.end("i-0", "j.0.1.0", 1, messages.DONE)
    bench.place()
    bench.state.mark_dead("i-0", "another life answered")
    bench.place_for(5.0)
    assert kept(logged) == [("j.0.0.0", "no capacity elsewhere")]


def test_notice_is_used_without_waiting_for_the_next_periodic_round():
    """Guards against a notice of 2 s of which a part passes unused."""
    bench = DrainBench(LASTING)
    bench.place()
    bench.announce(draining=False, remaining_ms=None)
    assert not bench.state.round_needed
    bench.announce()
    assert bench.state.round_needed
    bench.place()
    bench.announce(remaining_ms=3000.0)
    assert not bench.state.round_needed


def test_no_runs_are_looked_at_while_no_worker_is_about_to_leave(monkeypatch):
    """Guards against the cost of looking at all runs in each round."""
    bench = DrainBench(LASTING)
    monkeypatch.setattr(drains.Mover, "move", lambda mover: pytest.fail())
    bench.place_for(1.0)


def test_run_in_quarantine_stays_until_its_task_is_cleared():
    bench = DrainBench(LASTING)
    task = bench.task()
    task.suspicion = suspicion.Suspicion(["i-7"], [0.6])
    bench.state.trials.add(quarantines.Quarantine(
        task.job, [(task, "i-0")], bench.now, run=1))
    bench.announce()
    for stops in ([], ["j.0.0.0"]):
        bench.report("i-0", [messages.RunningTask(task.task, 1, "", 0)])
        bench.place_for(1.2)
        assert bench.stops() == stops


@pytest.mark.parametrize(("percent", "run_s", "stops"), [
    (0, 0.0, True), (50, 5.0, True), (80, 8.0, False), (10, 0.2, False),
], ids=["not-begun", "slow", "nearly-done", "fast"])
def test_progress_decides_whether_a_run_ends_in_time(percent, run_s, stops):
    bench = DrainBench(LONG)
    bench.now += run_s
    bench.report("i-0", [messages.RunningTask(
        bench.task().task, 1, "", percent)])
    bench.announce()
    bench.place()
    assert bool(bench.stops()) == stops


@pytest.mark.parametrize(("percent", "stops"), [(90, False), (10, True)])
def test_resumed_run_is_judged_by_its_expected_run_time(percent, stops):
    """Guards against a pace derived from progress of earlier runs."""
    bench = DrainBench(SAVING)
    bench.task().measurable = False
    bench.now += 0.1
    bench.report("i-0", [messages.RunningTask(
        bench.task().task, 1, "s1", percent)])
    bench.announce()
    bench.place()
    assert bool(bench.stops()) == stops


@pytest.mark.parametrize("steps", [
    (LASTING, LONG), (LONG, LASTING), (LONG, SAVING), (SAVING, LASTING)])
def test_no_capacity_is_used_for_two_runs(steps):
    """Guards against stopping two runs for a gap that only one fits."""
    bench = DrainBench(*steps)
    bench.state.workers["i-1"].reserve(
        (messages.TaskId("k", 0, 0, 0), 1), messages.Step(1, ROOM), None)
    order = [LASTING, SAVING, LONG]
    first = min(range(2), key=lambda number: order.index(steps[number]))
    bench.announce()
    bench.place_for(1.0)
    assert bench.stops() == [f"j.0.{first}.0"]
    bench.add(fleetfakes.job("k", messages.Step(1, ROOM, 500)), 21)
    assert not bench.place_for(0.5)
    bench.end("i-0", f"j.0.{first}.0", 1, "stopped")
    assert bench.place() == [f"j.0.{first}.0@i-1"]


@pytest.mark.parametrize("perpetual", [False, True])
def test_best_effort_runs_move_one_at_a_time(perpetual):
    """Guards against several runs that count on the same unused CPU."""
    step = messages.Step(2, messages.Resources(1500, 100), 9000, fills=True,
                         image="fill", perpetual=perpetual)
    bench = DrainBench(step, others=0)
    bench.place_for(2.0)
    bench.state.add_worker(fleetfakes.entry(1))
    bench.report("i-1")
    bench.state.enrol(bench.state.workers)
    bench.announce()
    for moved in range(2):
        bench.place_for(1.0)
        assert len(bench.stops()) == moved + 1
        bench.end("i-0", bench.stops()[-1], moved + 1, "stopped")
        assert bench.place() == [f"{bench.stops()[moved]}@i-1"]


def test_runs_move_a_few_in_each_round():
    bench = DrainBench(messages.Step(8, messages.Resources(500, 100), 9000))
    bench.announce()
    bench.place()
    assert 0 < len(bench.stops()) < 8
    bench.place_for(1.0)
    assert sorted(bench.stops()) == [f"j.0.0.{n}" for n in range(8)]


def test_second_run_of_a_step_with_a_limit_for_each_worker_follows_later():
    step = messages.Step(2, ROOM, perpetual=True, max_per_worker=1)
    bench = DrainBench(step, others=0)
    bench.state.add_worker(fleetfakes.entry(1))
    bench.report("i-1")
    bench.state.enrol(["i-0", "i-1"])
    assert len(bench.place()) == 1
    for number in (2, 3):
        bench.state.add_worker(fleetfakes.entry(number))
        bench.report(f"i-{number}")
    bench.state.enrol(bench.state.workers)
    for number in range(2):
        bench.announce(number)
    bench.place_for(0.5)
    assert len(bench.stops()) == 1
    first = bench.stops()[0]
    bench.end(bench.task(int(first[-1])).worker_id, first, 1, "stopped")
    placed = bench.place_for(0.5)
    assert len(bench.stops()) == 2
    bench.end(bench.task(int(bench.stops()[1][-1])).worker_id,
              bench.stops()[1], 1, "stopped")
    placed += bench.place_for(0.5)
    assert len({name.split("@")[1] for name in placed}) == 2


@pytest.mark.parametrize("stopped", [False, True])
def test_drain_that_is_taken_back_loses_no_task(stopped, logged):
    bench = DrainBench(LASTING)
    if not stopped:
        fill_other(bench)
    bench.announce()
    bench.place()
    assert bench.stops() == ["j.0.0.0"] * stopped
    bench.announce(draining=False, remaining_ms=None)
    assert not bench.place_for(6.0)
    assert not kept(logged)
    if stopped:
        bench.end("i-0", "j.0.0.0", 1, "stopped")
        assert len(bench.place()) == 1
    assert bench.task().phase == progress.RUNNING


def test_notice_that_is_announced_anew_begins_anew(logged):
    bench = DrainBench(messages.Step(1, ROOM, 6000))
    bench.announce(remaining_ms=7000.0)
    bench.place_for(1.0)
    bench.announce(draining=False, remaining_ms=None)
    bench.place()
    bench.announce(remaining_ms=5500.0)
    bench.place()
    assert not bench.stops()
    bench.announce(remaining_ms=2000.0)
    bench.place()
    assert bench.stops() == ["j.0.0.0"]
    assert not kept(logged)


@pytest.mark.parametrize(("announced", "stops"), [
    ((None, 7000.0), False), ((7000.0, None), False), ((7000.0, 2000.0), True),
    ((None, 2000.0), True)])
def test_notice_may_be_announced_after_the_drain(announced, stops):
    bench = DrainBench(messages.Step(1, ROOM, 6000))
    for remaining_ms in announced:
        fill_other(bench)
        bench.announce(remaining_ms=remaining_ms)
        bench.place()
    bench.state.workers["i-1"].release(
        (messages.TaskId("k", 0, 0, 0), 1), messages.Step(1))
    bench.place()
    assert bool(bench.stops()) == stops


def test_entry_that_is_read_again_does_not_extend_the_notice():
    """Guards against a notice that is counted from each reading of it."""
    bench = DrainBench(messages.Step(1, ROOM, 3000))
    bench.announce()
    bench.place_for(3.0)
    bench.task().started_at = bench.now
    bench.announce()
    bench.place()
    assert bench.stops() == ["j.0.0.0"]


@pytest.mark.parametrize(("advised", "full", "requests", "reason"), [
    ({"i-1"}, False, [("j.0.0", ("i-1",))], None),
    ((), False, [("j.0.0", ("i-1",))], "no capacity elsewhere"),
    ({"i-1"}, True, [], "no capacity elsewhere"),
], ids=["advised", "rejected", "full"])
def test_run_whose_step_needs_advice_moves_once_it_is_given(
        advised, full, requests, reason, logged):
    """Guards against runs that stay as their tickets have long expired."""
    bench = DrainBench(LASTING)
    bench.state.configuration = test_fleet_advice.configuration
    bench.now = clock.now()
    service = test_fleet_advice.StubAdviceService(advised)
    bench.state.advice.service = service
    if full:
        fill_other(bench)
    bench.announce()
    for _ in range(3):
        bench.place()
        test_fleet_advice.fetch_all(bench)
    assert service.requests == requests
    assert bench.stops() == ["j.0.0.0"] * (reason is None)
    if reason is None:
        bench.end("i-0", "j.0.0.0", 1, "stopped")
        assert bench.place() == ["j.0.0.0@i-1"]
        assert bench.orders[-1][1].ticket == "j.0.0/i-1"
        return
    bench.place_for(5.0)
    assert kept(logged) == [("j.0.0.0", reason)]


def test_hold_ends_with_the_worker_that_is_to_take_the_run():
    bench = DrainBench(LASTING, others=2)
    bench.announce()
    bench.place()
    (hold,) = bench.state.held_workers.by_task.values()
    target = int(hold.worker.entry.worker_id[-1])
    bench.announce(target)
    bench.place()
    assert not bench.state.held_workers.by_task
    bench.end("i-0", "j.0.0.0", 1, "stopped")
    assert bench.place() == [f"j.0.0.0@i-{3 - target}"]


def test_stop_that_is_not_carried_out_pauses_no_preemption_elsewhere():
    """Guards against a pause of the target for a run that did not stop."""
    bench = DrainBench(LASTING)
    bench.announce()
    bench.place_for(4.0)
    assert not bench.state.held_workers.by_task
    assert not bench.state.held_workers.pauses
    bench.end("i-0", "j.0.0.0", 1, "stopped")
    assert bench.place() == ["j.0.0.0@i-1"]


@pytest.mark.parametrize("sound", [True, False])
def test_run_waits_while_another_of_its_step_stops_on_a_sound_worker(sound):
    """Guards against more tasks away than a step can miss.

    The stop that was sent first may be carried out last.
    """
    step = messages.Step(2, ROOM, perpetual=True, may_miss=1)
    bench = DrainBench(step)
    other = bench.task(1)
    bench.state.workers["i-0"].release((other.task, 1), step)
    other.worker_id = "i-1"
    bench.state.workers["i-1"].reserve((other.task, 1), step, other)
    bench.announce()
    if not sound:
        bench.announce(1)
        bench.state.add_worker(fleetfakes.entry(2))
        bench.report("i-2")
        bench.state.enrol(bench.state.workers)
    bench.state.stop_run(other, "room for k.0.0.0")
    bench.place()
    assert bench.stops() == ["j.0.0.1"] + ["j.0.0.0"] * (not sound)
    bench.end("i-1", "j.0.0.1", 1, "stopped")
    bench.place()
    assert sorted(bench.stops()) == ["j.0.0.0", "j.0.0.1"]
