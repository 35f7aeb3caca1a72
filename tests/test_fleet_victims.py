"""Test which runs are stopped for waiting tasks, and what is held for them."""

import dataclasses

import pytest

from sycamorefield.fleet import comparisons
from sycamorefield.fleet import eligibleworkers
from sycamorefield.fleet import freeing
from sycamorefield.fleet import heldworkers
from sycamorefield.fleet import messages
from sycamorefield.fleet import placement_cache
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.fleet import preemption
from sycamorefield.fleet import progress
from sycamorefield.fleet import rounds
from sycamorefield.fleet import suspicion
from sycamorefield.fleet import victims
from sycamorefield.platform import bootsettings
from tests import fleetfakes
from tests import test_fleet_state

COSTS = victims.StopCosts(1.0, 0.4, 0.2)
WALL_MS = 1e12


class Bench(test_fleet_state.Bench):
    """A fleet whose settings state what it costs to stop a run."""

    def __init__(self, workers: int = 1, costs=COSTS, cpu: int = 4000,
                 policy=fleetfakes.NO_RESERVED_CAPACITY) -> None:
        super().__init__(*(fleetfakes.entry(n, cpu) for n in range(workers)),
                         policy=policy)
        self.state.stop_costs = costs
        self.numbers: dict[str, int] = {}

    def low(self, name: str, cpu: int, age_s: float = 1.0, percent: int = 0,
            **step) -> None:
        """Start a job of one task of low priority that began some time ago."""
        self.add(fleetfakes.job(name, messages.Step(
            1, messages.Resources(cpu, 10), estimate_ms=4000, **step),
            queue="renewals", priority=2))
        self.place()
        task = self.task(name)
        task.started_at = self.now - age_s
        task.percent = percent

    def urgent(self, name: str = "urgent", cpu: int = 4000, count: int = 1,
               **job) -> None:
        self.add(fleetfakes.job(name, messages.Step(
            count, messages.Resources(cpu, 10), estimate_ms=1000), **job), 30)

    def long_running(self, count: int, cpu: int = 4000, **step) -> None:
        self.add(fleetfakes.job("long", messages.Step(
            count, messages.Resources(cpu, 10), perpetual=True, **step)), 25)
        self.place()

    def task(self, name: str, number: int = 0) -> progress.TaskState:
        return self.state.jobs[name].tasks[0, 0][number]

    def stopped(self) -> set[str]:
        return {name.split(".")[0] for name in self.stops()}

    def finish(self, name: str, how: str = "stopped", saved: str = "") -> None:
        """Report the end of the current run of a task."""
        job, _, _, number = name.split(".")
        task = self.task(job, int(number))
        worker = task.worker_id
        self.numbers[worker] = self.numbers.get(worker, 0) + 1
        self.end(worker, name, self.numbers[worker], how, task.run, saved)


def names(placed: list[str]) -> set[str]:
    return {name.split(".")[0] for name in placed}


SAVES = {"checkpoint": True}


@pytest.mark.parametrize(("runs", "request_cpu", "expected"), [
    # The time to resume is lost, or all work done.
    ([("a", 2000, 3.0, 0, {}), ("b", 2000, 3.0, 0, SAVES)], 2000, {"b"}),
    # A run without checkpoints that has just begun loses less.
    ([("a", 2000, 0.1, 0, {}), ("b", 2000, 3.0, 0, SAVES)], 2000, {"a"}),
    # Two that save are cheaper than one that does not.
    ([("a", 2000, 3.0, 0, {}), ("b", 1000, 3.0, 0, SAVES),
      ("c", 1000, 3.0, 0, SAVES)], 2000, {"b", "c"}),
    # One that is almost done soon frees its CPU anyway.
    ([("a", 2000, 3.0, 90, SAVES), ("b", 2000, 3.0, 10, SAVES)],
     2000, {"b"}),
    # A run that ends as soon as a stop takes is not stopped.
    ([("a", 2000, 3.0, 98, {}), ("b", 2000, 3.0, 10, SAVES)],
     2000, set()),
    ([("a", 2000, 3.0, 98, {}), ("b", 2000, 3.0, 10, SAVES)],
     4000, {"b"}),
    # A run that hangs at its end is stopped.
    ([("a", 4000, 3.0, 100, {})], 4000, {"a"}),
    # No run is stopped that is not needed.
    ([("a", 1000, 0.1, 0, {}), ("b", 3000, 1.0, 0, SAVES)], 3000, {"b"}),
], ids=["saving", "just-begun", "two-cheaper", "almost-done", "ends-anyway",
        "ends-anyway-and-another", "hangs-at-end", "not-needed"])
def test_runs_that_lose_the_least_work_are_stopped(runs, request_cpu,
                                                   expected):
    bench = Bench()
    for name, cpu, age_s, percent, step in runs:
        bench.low(name, cpu, age_s, percent, **step)
    bench.urgent(cpu=request_cpu)
    bench.place()
    assert bench.stopped() == expected


def test_worker_on_which_the_least_is_lost_is_chosen():
    bench = Bench(workers=3)
    for n, age_s in enumerate((3.0, 0.2, 2.0)):
        bench.low(f"low{n}", 4000, age_s)
    bench.urgent()
    bench.place()
    assert bench.stopped() == {"low1"}


@pytest.mark.parametrize(("costs", "policy"), [
    (None, policy_mod.Policy()),
    (COSTS, policy_mod.Policy(preempt_by_lost_work=False)),
], ids=["no-settings", "switched-off"])
def test_choice_stays_as_before_without_settings_or_switch(costs, policy):
    """Prefer the fewest, then saving runs, and hold nothing."""
    bench = Bench(costs=costs, policy=policy)
    bench.low("wide", 2000, 3.0)
    bench.low("narrow1", 1000, 3.0)
    bench.low("narrow2", 1000, 3.0, checkpoint=True)
    bench.urgent(cpu=1000)
    bench.place()
    assert bench.stopped() == {"narrow2"}
    assert not bench.state.held_workers.count()


# The objective of a job of 1 s: with stretch 1 and no margin it can never wait
# for 0.2 s, with 0.4 s it is the last chance, with 60 s there is time.
@pytest.mark.parametrize(
    ("tasks", "may_miss", "margin_ms", "priority", "down", "gang", "stops"), [
        (5, 2, 400, 0, 0, False, 1),
        (5, 0, 400, 0, 0, False, 0),
        (5, 1, 400, 0, 1, False, 0),
        (5, 2, 400, 0, 1, False, 1),
        (5, 2, 60_000, 0, 0, False, 0),
        (5, 2, 0, 0, 0, False, 0),
        (5, 2, 400, 2, 0, False, 0),
        (5, 2, 400, 0, 0, True, 0),
        (2, 1, 400, 0, 0, False, 0),
        (3, 3, 400, 0, 1, False, 0),
    ], ids=["last-chance", "no-may-miss", "one-away", "one-of-two-away",
            "time-left", "late-anyway", "not-urgent", "gang",
            "majority-of-two", "majority-of-three"])
def test_long_running_tasks_are_stopped_only_if_they_can_be_missed(
        tasks, may_miss, margin_ms, priority, down, gang, stops):
    """AVAIL: never stop a task while as many as may_miss are away."""
    bench = Bench(workers=tasks)
    bench.long_running(tasks, may_miss=may_miss, gang=gang)
    for number in range(down):
        worker = bench.state.workers[bench.task("long", number).worker_id]
        worker.unresponsive = True
    bench.state.configuration = lambda: messages.Configuration(2, (
        messages.Queue("checks", "h", "/c/", "desk", 0, 2),
        messages.Queue("urgent", "h", "/u/", "desk", priority, 2, None, 1.0,
                       margin_ms)))
    bench.urgent(accepted_ms=WALL_MS, queue="urgent", priority=priority)
    for _ in range(3):
        bench.place(WALL_MS)
    assert len(bench.stops()) == stops


def test_task_of_a_more_urgent_queue_stops_long_running_ones_at_once():
    bench = Bench(workers=3)
    bench.add(fleetfakes.job("long", messages.Step(
        3, messages.Resources(4000, 10), perpetual=True, may_miss=2),
        queue="renewals", priority=2))
    bench.place()
    bench.urgent(count=3)
    bench.place()
    bench.place()
    # With three tasks, two are the majority.
    assert len(bench.stops()) == 1


def test_stopped_long_running_task_does_not_take_the_place_back():
    """Start the waiting task first; its victim goes elsewhere or later."""
    bench = Bench(workers=3)
    bench.add(fleetfakes.job("long", messages.Step(
        3, messages.Resources(4000, 10), perpetual=True, may_miss=2),
        queue="renewals", priority=2))
    bench.place()
    bench.urgent()
    bench.place()
    (victim,) = bench.stops()
    # The task that is down goes before all others of its own priority.
    bench.now += 5.0
    (hold,) = bench.state.held_workers.by_task.values()
    bench.state.held_workers.by_task[hold.task.task] = dataclasses.replace(
        hold, until=bench.now + 1.0)
    bench.finish(victim)
    assert names(bench.place()) == {"urgent"}
    bench.finish("urgent.0.0.0", messages.DONE)
    assert bench.place()[0].startswith(victim)


def test_wide_task_keeps_what_its_victims_free_across_rounds():
    """Hold what is freed until the task for which runs are stopped starts.

    Guards against a wide task whose victims end one after the other while
    narrower tasks of the same priority use what each of them frees.
    """
    bench = Bench()
    for n in range(4):
        bench.low(f"low{n}", 1000, 0.5, checkpoint=True)
    bench.urgent(cpu=4000)
    bench.place()
    victims_ = bench.stops()
    assert len(victims_) == 4
    bench.urgent("narrow", 1000)
    for victim in victims_:
        assert not bench.place()
        bench.finish(victim, saved="s")
    assert names(bench.place()) == {"urgent"}
    assert not bench.state.held_workers.count()
    assert len(bench.stops()) == 4


def test_more_urgent_task_takes_over_what_is_held():
    bench = Bench()
    bench.state.configuration = lambda: messages.Configuration(2, (
        messages.Queue("checks", "h", "/c/", "desk", 0, 2),
        messages.Queue("middle", "h", "/m/", "desk", 1, 2),
        messages.Queue("renewals", "h", "/r/", "desk", 2, 2)))
    bench.low("low", 4000)
    bench.add(fleetfakes.job("middle", messages.Step(
        1, messages.Resources(4000, 10)), queue="middle", priority=1), 29)
    bench.place()
    bench.urgent()
    bench.place()
    bench.finish("low.0.0.0")
    assert names(bench.place()) == {"urgent"}


@pytest.mark.parametrize("fault", [
    "worker lost", "worker restarted", "worker draining", "cancelled",
    "evacuated", "no answer", "quarantined"])
def test_nothing_is_held_for_ever(fault):
    """Free what is held when its task or its worker can't use it any more.

    Guards against capacity that no task may use although it is free.
    """
    bench = Bench(workers=2)
    for n in range(2):
        bench.low(f"low{n}", 4000, 0.5 + n)
    bench.urgent()
    bench.place()
    (hold,) = bench.state.held_workers.by_task.values()
    worker = hold.worker
    if fault == "worker lost":
        bench.state.mark_dead(worker.entry.worker_id, "gone")
    elif fault == "worker restarted":
        worker.born_ms += 1
    elif fault == "worker draining":
        worker.entry = fleetfakes.entry(0, draining=True)
    elif fault == "cancelled":
        bench.state.cancel("urgent")
    elif fault == "evacuated":
        bench.state.configuration = lambda: messages.Configuration(
            1, fleetfakes.configuration().queues, evacuated=frozenset({"dc"}))
    elif fault == "quarantined":
        bench.state.trials.by_worker[worker.entry.worker_id] = None
    elif fault == "no answer":
        bench.now += heldworkers.HOLD_S + COSTS.stop_s
    bench.state.trials.release_finished = lambda *_: None
    bench.place()
    assert hold not in bench.state.held_workers.by_task.values()
    for _ in range(100):
        bench.place()
    assert worker.held == messages.Resources()
    assert not bench.state.held_workers.by_task
    if fault == "worker lost":
        assert bench.stopped() == {"low0", "low1"}


def test_worker_that_does_not_stop_its_runs_is_asked_for_no_more():
    """Preempt elsewhere after a stop order without an answer."""
    bench = Bench(workers=2)
    for n in range(2):
        bench.low(f"low{n}", 4000, 0.5 + n)
    bench.urgent()
    bench.place()
    (first,) = bench.stops()
    for _ in range(30):
        bench.place()
    assert len(bench.stops()) == 2
    (second,) = set(bench.stops()) - {first}
    bench.finish(second)
    assert names(bench.place()) == {"urgent"}
    assert bench.state.preemptions.expired_holds == 1


def test_victim_that_ends_by_itself_is_done_and_frees_its_place():
    bench = Bench()
    bench.low("low", 4000)
    bench.urgent()
    bench.place()
    bench.finish("low.0.0.0", messages.DONE)
    assert names(bench.place()) == {"urgent"}
    assert bench.task("low").done


def test_successor_holds_nothing_and_preempts_again():
    """Let a new owner decide anew: what was held was in memory only."""
    bench = Bench()
    bench.low("low", 4000)
    bench.urgent()
    bench.place()
    successor = Bench()
    for state in bench.state.jobs.values():
        successor.add(state.job, 20)
    successor.report("i-0", [messages.RunningTask(
        bench.task("low").task, 1, "", 0)])
    successor.place()
    assert successor.stops() == ["low.0.0.0"]
    successor.finish("low.0.0.0")
    assert names(successor.place()) == {"urgent"}
    assert not successor.state.held_workers.count()


def test_metrics_count_preemptions_and_lost_work():
    bench = Bench()
    bench.low("saves", 2000, 3.0, checkpoint=True)
    bench.low("loses", 2000, 2.0)
    bench.urgent()
    bench.place()
    gauges = bench.state.preemptions.gauges()
    assert gauges['preemptions_total{kind="saving"}'] == 1.0
    assert gauges['preemptions_total{kind="losing"}'] == 1.0
    assert 4.0 < gauges["preemption_lost_core_s_total"] < 6.0


@pytest.mark.parametrize(("bounds", "expected"), [
    ({}, None),
    ({"restore_ms": 400}, None),
    ({"checkpoint_interval_s": 1}, None),
    ({"checkpoint_interval_s": 1, "restore_ms": 400},
     victims.StopCosts(1.0, 0.4)),
    ({"checkpoint_interval_s": 0.5, "restore_ms": 600, "stop_ms": 200},
     victims.StopCosts(0.5, 0.6, 0.2)),
])
def test_costs_of_stops_are_read_from_settings(bounds, expected):
    assert bootsettings.BoundsModel(**bounds).stop_costs() == expected


@pytest.mark.parametrize(("name", "value"), [
    ("checkpoint_interval_s", 0), ("checkpoint_interval_s", -1.0),
    ("checkpoint_interval_s", 3601), ("checkpoint_interval_s", "1"),
    ("restore_ms", -1), ("restore_ms", 600_001), ("restore_ms", True),
    ("restore_ms", float("nan")), ("stop_ms", float("inf")),
    ("stop_ms", -0.1), ("stop_ms", [])])
def test_settings_out_of_range_are_refused_with_their_place(name, value):
    with pytest.raises(ValueError) as caught:
        bootsettings.BootSettings.model_validate({
            "node": "n", "platform": {"addr": "a:1"},
            "bounds": {name: value}})
    (error,) = caught.value.errors()
    assert error["loc"] == ("bounds", name)


def test_step_wider_than_the_workers_compared_at_once_preempts_everywhere():
    """Go on with other workers once those compared first are used up."""
    count = comparisons.MAX_COMPARED_WORKERS + 20
    bench = Bench(workers=count)
    bench.add(fleetfakes.job("low", messages.Step(
        count, messages.Resources(4000, 10)), queue="renewals", priority=2))
    bench.place()
    bench.urgent(count=count)
    bench.place()
    assert len(set(bench.stops())) == count
    bench.place()
    assert len(bench.stops()) == count


def test_tasks_spread_over_workers_hold_one_worker_each():
    bench = Bench(workers=2, cpu=8000)
    for n in range(4):
        bench.low(f"low{n}", 4000, 0.5 + n)
    bench.add(fleetfakes.job("urgent", messages.Step(
        2, messages.Resources(4000, 10), max_per_worker=1)), 30)
    bench.place()
    holds = bench.state.held_workers.by_task.values()
    assert {hold.worker.entry.worker_id for hold in holds} == {"i-0", "i-1"}


def test_a_task_starts_where_held_though_one_before_it_fits_nowhere():
    bench = Bench(workers=2)
    bench.low("low0", 4000)
    bench.low("low1", 4000)
    bench.urgent(count=2)
    bench.place()
    assert bench.stopped() == {"low0", "low1"}
    held = bench.state.held_workers
    lost = held.find(bench.task("urgent", 0)).worker
    other = held.find(bench.task("urgent", 1)).worker
    lost.avoid_until = bench.now + 10.0
    bench.finish(next(iter(other.tasks.values())).task.job_id + ".0.0.0")
    assert bench.place() == [f"urgent.0.0.1@{other.entry.worker_id}"]


def test_a_run_stopped_meanwhile_is_not_stopped_for_another_task():
    """A copy may be stopped for a task after it was found as a candidate."""
    bench = Bench()
    bench.low("low", 4000)
    bench.urgent()
    state = bench.state.jobs["urgent"]
    state.create_tasks(0)
    worker = bench.state.workers["i-0"]
    finder = victims.VictimFinder(
        bench.state, COSTS, fleetfakes.configuration().queues_by_name(),
        freeing.FreeingCapacity([]), bench.now, WALL_MS)
    waiting = victims.Waiting(
        state, bench.task("urgent"), 0, worker.entry.service, [worker],
        placement_cache.SearchScope(worker.entry.service, priority=0))
    assert finder.choose(waiting) is not None
    bench.state.stop_run(bench.task("low"), "room for another task")
    assert finder.choose(waiting) is None


def test_a_suspected_task_starts_in_quarantine_where_its_hold_is():
    """A hold that its own task can't use keeps it waiting until it ends."""
    bench = Bench()
    bench.low("low", 4000)
    bench.urgent()
    state = bench.state.jobs["urgent"]
    state.create_tasks(0)
    bench.task("urgent").suspicion = suspicion.Suspicion(likely=True)
    bench.place()
    assert bench.stopped() == {"low"}
    bench.finish("low.0.0.0")
    bench.now += 0.3
    bench.place()
    assert bench.task("urgent").task in bench.state.trials.by_task
    assert bench.state.workers["i-0"].held == messages.Resources()


def test_holds_that_do_not_suffice_cost_no_search_among_the_workers():
    """With 5,500 workers and 200 holds, such a round took over 2 s."""
    class Workers(list):
        def __contains__(self, worker):
            raise AssertionError("searched")

    bench = Bench()
    bench.low("low", 4000)
    bench.urgent("narrow", 1000, queue="renewals", priority=2)
    bench.urgent()
    for name in ("narrow", "urgent"):
        bench.state.jobs[name].create_tasks(0)
    worker = bench.state.workers["i-0"]
    bench.state.held_workers.add(heldworkers.Hold(
        worker, worker.born_ms, bench.state.jobs["narrow"],
        bench.task("narrow"), 2, bench.now + 9.0))
    round_ = rounds.Round(
        bench.state, fleetfakes.configuration().queues_by_name(), [worker],
        bench.now, WALL_MS)
    assert not preemption._take_over_hold(
        round_, bench.state.jobs["urgent"], bench.task("urgent"),
        eligibleworkers.EligibleWorkers(
            worker.entry.service, Workers([worker])))
