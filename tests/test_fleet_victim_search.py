"""Test that bounded searches for victims find what full searches find."""

import random

import pytest

from sycamorefield.fleet import freeing
from sycamorefield.fleet import heldworkers
from sycamorefield.fleet import messages
from sycamorefield.fleet import placement_cache
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.fleet import progress
from sycamorefield.fleet import victims
from tests import fleetfakes
from tests import test_fleet_state
from tests import test_fleet_victims

WORKERS = 14
ITERATIONS = 160
POLICY = policy_mod.Policy(learn_weights=False, learn_worker_speeds=False,
                           keep_wide_gaps=False)
QUEUES = messages.Configuration(1, tuple(
    messages.Queue(name, "h", f"/{name}/", "desk", priority, 2)
    for priority, name in enumerate(("checks", "middle", "renewals"))))


class FullSearches(placement_cache.SearchCache):
    """Return all workers for each search."""

    def workers_to_search(self, scope, request, workers,
                          include_stopping=False):
        return workers


class ExhaustiveFinder(victims.VictimFinder):
    """Compute the choices on all workers for each task."""

    def choose(self, waiting):
        return self._choose(waiting, waiting.workers, self._finite_on)

    def choose_long_running(self, waiting):
        self.record_gain(waiting.workers[0])
        return super().choose_long_running(waiting)

    def _long_running_may_suffice(self, worker, waiting):
        return True


class ExhaustiveFreeingCapacity(freeing.FreeingCapacity):
    """Search all workers for each claim."""

    def claim(self, task, service, workers, scope=None):
        return super().claim(task, service, workers)


class TwinFleets:
    """Two fleets, one with bounded searches, that get the same events."""

    def __init__(self, rng: random.Random, monkeypatch) -> None:
        self.rng = rng
        self.monkeypatch = monkeypatch
        entries = [fleetfakes.entry(n, cpu=rng.choice((4000, 8000)))
                   for n in range(WORKERS)]
        self.full, self.bounded = (
            test_fleet_state.Bench(*entries, policy=POLICY) for _ in range(2))
        self.full.state.preemption_misses = FullSearches()
        for bench in self.benches():
            bench.state.stop_costs = test_fleet_victims.COSTS
            bench.state.configuration = lambda: QUEUES
        self.end_numbers = dict.fromkeys(self.full.state.workers, 0)
        self.created = 20

    def benches(self):
        return self.full, self.bounded

    def place(self) -> None:
        """Run a round of each fleet."""
        with self.monkeypatch.context() as patch:
            patch.setattr(victims, "VictimFinder", ExhaustiveFinder)
            patch.setattr(freeing, "FreeingCapacity",
                          ExhaustiveFreeingCapacity)
            self.full.place()
        self.bounded.place()

    def add_job(self) -> None:
        rng = self.rng
        self.created += 1
        request = messages.Resources(rng.randrange(500, 6000, 500),
                                     rng.choice((500, 2000)))
        step = rng.choice((
            messages.Step(rng.randrange(1, 6), request, estimate_ms=800,
                          max_per_worker=rng.choice((0, 0, 1)),
                          requires=rng.choice(("", "", "r1")),
                          checkpoint=rng.random() < 0.5),
            messages.Step(rng.randrange(1, 4), request, fills=True,
                          image="f"),
            messages.Step(rng.randrange(1, 6), request, perpetual=True,
                          may_miss=rng.randrange(3))))
        priority = rng.randrange(3)
        job = fleetfakes.job(
            f"j{self.created}", step, priority=priority,
            queue=("checks", "middle", "renewals")[priority])
        for bench in self.benches():
            bench.add(job, self.created)

    def cancel_job(self) -> None:
        names = sorted(self.full.state.active)
        if names:
            name = self.rng.choice(names)
            for bench in self.benches():
                bench.state.cancel(name)

    def report(self) -> None:
        """Let a worker report progress; some of its runs have ended."""
        worker_id = self.rng.choice(list(self.end_numbers))
        rows, ended = [], []
        runs = self.full.state.workers[worker_id].tasks
        for (task, run), state in sorted(runs.items()):
            stopping = state.phase == progress.STOPPING
            if self.rng.random() < (0.7 if stopping else
                                    0.0 if state.step.perpetual else 0.2):
                self.end_numbers[worker_id] += 1
                ended.append(messages.EndedTask(
                    self.end_numbers[worker_id], task, run,
                    "stopped" if stopping else messages.DONE, ""))
                continue
            percent = 0 if state.step.perpetual else min(
                100, state.percent + self.rng.choice((0, 5, 40)))
            rows.append(messages.RunningTask(task, run, "", percent))
        for bench in self.benches():
            bench.report(worker_id, rows, ended)

    def play_event(self) -> None:
        event = self.rng.choices(
            (self.add_job, self.report, self.cancel_job), (5, 12, 1))[0]
        event()


@pytest.mark.parametrize("seed", range(16))
def test_bounded_searches_stop_the_same_runs_as_full_searches(
        seed, monkeypatch):
    twins = TwinFleets(random.Random(seed), monkeypatch)
    for _ in range(ITERATIONS):
        for _ in range(twins.rng.randrange(4)):
            twins.play_event()
        twins.place()
        assert twins.full.orders == twins.bounded.orders
        assert (list(twins.full.state.held_workers.by_task)
                == list(twins.bounded.state.held_workers.by_task))
    assert len(twins.full.stops()) > WORKERS


class CountingFinder(victims.VictimFinder):
    """Count the workers examined and the choices computed."""

    examined = 0
    computed = 0

    def _least_order(self, worker, waiting):
        CountingFinder.examined += 1
        return super()._least_order(worker, waiting)

    def _choose_on(self, *args):
        CountingFinder.computed += 1
        return super()._choose_on(*args)


@pytest.fixture
def counts(monkeypatch):
    monkeypatch.setattr(victims, "VictimFinder", CountingFinder)
    monkeypatch.setattr(CountingFinder, "examined", 0)
    monkeypatch.setattr(CountingFinder, "computed", 0)
    return CountingFinder


def waiting_for(bench, name: str, cpu: int, priority: int = 0,
                **step) -> victims.Waiting:
    """Return a waiting task of a job of one task."""
    job = fleetfakes.job(name, messages.Step(
        1, messages.Resources(cpu, 10), **step), priority=priority)
    state = progress.JobState(job, 40)
    state.create_tasks(0)
    task = state.tasks[0, 0][0]
    scope = placement_cache.SearchScope(
        "desk", requires=job.steps[0].requires,
        step=task.task.step_id() if job.steps[0].max_per_worker else None,
        priority=priority)
    return victims.Waiting(state, task, priority, "desk",
                           list(bench.state.workers.values()), scope)


@pytest.mark.parametrize(("first", "second", "is_covered"), [
    ({"cpu": 6000}, {"cpu": 6000}, True),
    ({"cpu": 6000}, {"cpu": 7000}, True),
    ({"cpu": 6000}, {"cpu": 5900}, False),
    ({"cpu": 6000}, {"cpu": 6000, "priority": 1}, False),
    ({"cpu": 6000}, {"cpu": 6000, "requires": "a"}, True),
    ({"cpu": 6000, "requires": "a"}, {"cpu": 6000}, False),
    ({"cpu": 6000, "requires": "a"}, {"cpu": 7000, "requires": "a"}, True),
    ({"cpu": 6000, "requires": "a"}, {"cpu": 6000, "requires": "b"}, False),
    ({"cpu": 6000}, {"cpu": 6000, "max_per_worker": 1}, True),
    ({"cpu": 6000, "max_per_worker": 1}, {"cpu": 6000}, False),
    ({"cpu": 6000, "max_per_worker": 1},
     {"cpu": 6000, "max_per_worker": 1}, False),
], ids=["equal", "larger", "smaller", "other-priority", "label-after-any",
        "any-after-label", "same-label", "other-label", "limited-after-any",
        "any-after-limited", "limited-of-other-step"])
def test_failed_search_holds_for_larger_requests_of_its_scope(
        first, second, is_covered, counts):
    bench = test_fleet_victims.Bench(workers=3, cpu=8000)
    bench.long_running(3)
    bench.low("low", 1000)
    finder = victims.VictimFinder(
        bench.state, test_fleet_victims.COSTS, QUEUES.queues_by_name(),
        freeing.FreeingCapacity([]), bench.now, test_fleet_victims.WALL_MS)
    assert finder.choose(waiting_for(bench, "first", **first)) is None
    assert counts.examined == 3
    assert finder.choose(waiting_for(bench, "second", **second)) is None
    assert counts.examined == (3 if is_covered else 6)


def end_long_running(bench):
    bench.state.cancel("long")
    bench.finish("long.0.0.0")


def end_hold(bench):
    bench.state.cancel("first")


def end_pause(bench):
    bench.now += 2.0


@pytest.mark.parametrize("event", [end_long_running, end_hold, end_pause],
                         ids=["run-ended", "hold-ended", "pause-ended"])
def test_victims_are_searched_again_after_a_change(event):
    """Guards against a task that waits although victims suffice by now."""
    bench = test_fleet_victims.Bench(cpu=8000)
    if event is end_long_running:
        bench.long_running(1)
    bench.low("low", 4000)
    if event is end_hold:
        bench.low("other", 4000)
        bench.urgent("first", 4000)
    if event is end_pause:
        bench.state.held_workers.pauses["i-0"] = heldworkers.Pause(
            bench.now + 2.0, frozenset())
    bench.place()
    bench.urgent(cpu=8000)
    for _ in range(3):
        bench.place()
    before = set(bench.stops())
    event(bench)
    bench.place()
    assert {"low", "other"} & {name.split(".")[0]
                               for name in set(bench.stops()) - before}


def full_bench(workers: int) -> test_fleet_victims.Bench:
    bench = test_fleet_victims.Bench(workers=workers)
    bench.add(fleetfakes.job("low", messages.Step(
        2 * workers, messages.Resources(2000, 10)), queue="renewals",
        priority=2))
    for _ in range(3):
        bench.place()
    return bench


def test_reports_alone_compute_no_choices_for_requests_without_victims(
        counts):
    """Guards against a full search for each request after each report.

    Each worker reports at least each 1.2 s, so that nearly every round found
    most workers changed.
    """
    bench = full_bench(20)
    bench.long_running(20)
    for n in range(30):
        bench.urgent(f"j{n}", 4100 + n)
    bench.place()
    for worker_id, worker in bench.state.workers.items():
        bench.report(worker_id, [
            messages.RunningTask(task, run, "", 0)
            for task, run in worker.tasks])
    counts.examined = counts.computed = 0
    bench.place()
    assert counts.computed == 0
    assert counts.examined <= 2 * 20


@pytest.mark.parametrize("jobs", [5, 20])
def test_workers_are_compared_once_for_all_jobs_of_equal_need(jobs, counts):
    """Guards against a comparison of all workers for each job."""
    bench = full_bench(40)
    for n in range(jobs):
        bench.urgent(f"j{n}", 2000)
    bench.place()
    assert len(bench.stops()) == jobs
    assert counts.examined <= 40 + jobs
    assert counts.computed <= 3 * jobs
