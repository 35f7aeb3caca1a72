"""Test that finite tasks start on a fleet full of long-running tasks."""

import collections
import random

import pytest

from sycamorefield.fleet import demand
from sycamorefield.fleet import headroom
from sycamorefield.fleet import messages
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.fleet import workerstate
from tests import fleetfakes
from tests import test_fleet_state

WORKERS = 20
CAPACITY = messages.Resources(32_000, 128_000)
LONG_RUNNING_STEP = messages.Step(6, messages.Resources(6400, 13_000),
                                  perpetual=True)
# An urgent task must start within this time.
URGENT_START_LIMIT_S = 1.1
URGENT_RUN_S = 0.6
URGENT_LOAD_S = 30.0


class SimulatedFleet:
    """A fleet full of long-running jobs at which urgent jobs arrive."""

    def __init__(self, long_running_jobs: int,
                 policy: policy_mod.Policy = policy_mod.Policy()) -> None:
        self.bench = test_fleet_state.Bench(*(
            fleetfakes.entry(n, capacity=CAPACITY) for n in range(WORKERS)),
            policy=policy)
        self.rng = random.Random(5)
        self.run_ends: list[tuple[float, str]] = []
        self.last_end_numbers: dict[str, int] = {}
        self.arrived_at: dict[str, float] = {}
        self.start_waits_s: dict[str, float] = {}
        self.urgent_jobs = 0
        self.placements: list[str] = []
        for n in range(long_running_jobs):
            self.bench.add(
                fleetfakes.job(f"long-running{n}", LONG_RUNNING_STEP), 20 + n)

    def run(self, seconds: float, urgent_per_s: float = 0.0) -> None:
        until = self.bench.now + seconds
        while self.bench.now < until:
            if self.rng.random() < urgent_per_s * 0.1:
                self.add_urgent_job()
            for placement in self.bench.place():
                self.placements.append(placement)
                if placement.startswith("urgent"):
                    job = placement.split(".")[0]
                    self.start_waits_s.setdefault(
                        job, self.bench.now - self.arrived_at[job])
                    self.run_ends.append((self.bench.now + URGENT_RUN_S,
                                          placement))
            self.end_finished_runs()

    def add_urgent_job(self) -> None:
        self.urgent_jobs += 1
        job = f"urgent{self.urgent_jobs}"
        self.arrived_at[job] = self.bench.now
        step = messages.Step(
            self.rng.randint(1, 11),
            messages.Resources(self.rng.randint(1500, 4500), 6000),
            estimate_ms=int(URGENT_RUN_S * 1000))
        self.bench.add(fleetfakes.job(job, step), 200 + self.urgent_jobs)

    def end_finished_runs(self) -> None:
        for at, placement in list(self.run_ends):
            if self.bench.now < at:
                continue
            self.run_ends.remove((at, placement))
            task, worker = placement.split("@")
            number = self.last_end_numbers.get(worker, 0) + 1
            self.last_end_numbers[worker] = number
            clock = self.bench.now
            self.bench.end(worker, task, number, messages.DONE)
            self.bench.now = clock

    def long_running_placements(self) -> list[str]:
        return [p for p in self.placements if p.startswith("long-running")]

    def p95_start_s(self) -> float:
        """Return the 95th percentile of the time to the first start."""
        start_waits_s = sorted(self.start_waits_s.get(job, URGENT_LOAD_S)
                               for job in self.arrived_at)
        return start_waits_s[int(0.95 * len(start_waits_s))]

    def late_count(self) -> int:
        """Return how many urgent jobs did not start on time."""
        return sum(1 for job in self.arrived_at
                   if self.start_waits_s.get(job, URGENT_LOAD_S)
                   > URGENT_START_LIMIT_S)


def test_urgent_jobs_start_on_time_beside_long_running_jobs():
    """Keep the capacity that urgent finite tasks need.

    Guards against urgent jobs that wait for seconds (p95 of the first start
    9 s, a third never served) although nothing has failed.  Long-running jobs
    that request the whole fleet arrived first, and their tasks stayed on every
    worker on which they fit.  Priority only orders waiting jobs; it gives them
    nothing of a fleet that is already full.  Without kept capacity all 61
    urgent jobs of this load start late, with it none (p95 0.5 s).
    """
    fleet = SimulatedFleet(long_running_jobs=18)
    fleet.run(5.0)
    fleet.run(URGENT_LOAD_S, urgent_per_s=2.0)
    assert fleet.urgent_jobs > 40
    assert fleet.late_count() <= 0.05 * fleet.urgent_jobs


@pytest.mark.parametrize("later_jobs", [0, 1])
def test_every_long_running_job_gets_a_majority_of_its_tasks(later_jobs):
    """Leave no long-running job with few tasks while others have all.

    Guards against users of long-running jobs being without service for half a
    minute, both of a job that arrives with the others and of one that arrives
    later.  Jobs got all of their tasks in order of arrival, and nothing was
    left for the last ones.
    """
    fleet = SimulatedFleet(long_running_jobs=18 - later_jobs)
    fleet.run(5.0)
    for n in range(18 - later_jobs, 18):
        fleet.bench.add(fleetfakes.job(f"long-running{n}", LONG_RUNNING_STEP),
                        20 + n)
    fleet.run(2.0)
    counts = collections.Counter(
        p.split(".")[0] for p in fleet.long_running_placements())
    assert min(counts[f"long-running{n}"] for n in range(18)) >= 4


def test_kept_capacity_is_released_without_finite_tasks():
    fleet = SimulatedFleet(long_running_jobs=17)
    fleet.run(1.0)
    initial_count = len(fleet.long_running_placements())
    fleet.run(300.0)
    assert initial_count < len(fleet.long_running_placements())
    # Four tasks use all but 6.4 of the 32 cores of a worker; a fifth uses
    # these once no capacity is kept.
    assert len(fleet.long_running_placements()) == 5 * WORKERS


def test_long_running_task_that_ran_may_use_kept_capacity():
    """Restart a long-running task at once: its users are without it."""
    fleet = SimulatedFleet(long_running_jobs=18)
    fleet.run(1.0)
    task, worker = fleet.long_running_placements()[0].split("@")
    fleet.bench.end(worker, task, 1, "lapsed")
    assert any(p.startswith(task) for p in fleet.bench.place())


def test_interrupted_task_restarts_while_other_tasks_of_its_step_wait():
    """Try each task of a long-running step: only new ones leave headroom.

    Guards against a long-running task that stays down although it would fit.
    This happens if a round stops at the first task of a step that can't be
    placed: some tasks of a job have never run, and one with a higher index
    that has run loses its worker.
    """
    fleet = SimulatedFleet(long_running_jobs=18)
    fleet.run(3.0)
    counts = collections.Counter(
        p.split(".")[0] for p in fleet.long_running_placements())
    job = min(counts, key=lambda name: counts[name])
    assert counts[job] < LONG_RUNNING_STEP.count
    state = fleet.bench.state.jobs[job]
    first, last = state.tasks[0, 0][0], state.tasks[0, 0][-1]
    # Simulate that the last task has run instead of the first.
    last.has_run, first.has_run = True, False
    fleet.bench.end(first.worker_id, str(first.task), 1, "lapsed")
    assert any(p.startswith(str(last.task)) for p in fleet.bench.place())


def test_long_running_task_preempts_lower_priority_runs():
    """Preempt low-priority runs for a long-running task."""
    bench = test_fleet_state.Bench(*(
        fleetfakes.entry(n, capacity=CAPACITY) for n in range(4)))
    bench.add(fleetfakes.job("low-priority", messages.Step(
        16, messages.Resources(8000, 10)), queue="renewals", priority=2))
    bench.place()
    bench.add(fleetfakes.job("long-running", LONG_RUNNING_STEP), 21)
    bench.place()
    victims = bench.stops()
    assert victims and all(name.startswith("low-priority") for name in victims)


def test_no_capacity_is_kept_for_lower_priority_tasks():
    estimator = demand.DemandEstimator()
    estimator.start_observing(-1e6)
    estimator.decayed_at = 0.0
    step = messages.Step(8, messages.Resources(3000, 10), estimate_ms=900)
    for n in range(100):
        estimator.add_job(fleetfakes.job(f"s{n}", step, priority=2), 0.3 * n)
    capacity = 1e6
    assert estimator.kept_cpu(0, capacity, 30.0) < 1.0
    assert estimator.kept_cpu(2, capacity, 30.0) > 50_000


@pytest.mark.parametrize(("per_s", "count", "seconds", "least", "most"), [
    # The mean is rate x cores x seconds; what is kept beyond it depends on
    # the variance.
    (2.0, 1, 1.0, 6.0, 14.0),
    (2.0, 8, 1.0, 48.0, 110.0),
    (0.1, 30, 1.0, 9.0, 60.0),
    (0.0, 1, 1.0, 0.0, 0.1),
], ids=["narrow", "wide", "rare-and-wide", "none"])
def test_kept_capacity_depends_on_arrival_rate_task_count_and_run_time(
        per_s, count, seconds, least, most):
    estimator = demand.DemandEstimator()
    estimator.start_observing(-1e6)
    estimator.decayed_at = 0.0
    step = messages.Step(count, messages.Resources(3000, 10), estimate_ms=1000)
    estimator.add_run("checks", seconds)
    for n in range(int(120 * per_s)):
        estimator.add_job(fleetfakes.job(f"s{n}", step), n / per_s)
    assert least <= estimator.kept_cpu(0, 1e9, 120.0) / 1000.0 <= most


def test_kept_capacity_is_capped_and_decays():
    estimator = demand.DemandEstimator()
    estimator.start_observing(0.0)
    step = messages.Step(36, messages.Resources(9000, 10), estimate_ms=9000)
    for n in range(200):
        estimator.add_job(fleetfakes.job(f"s{n}", step), 0.01 * n)
    assert estimator.kept_cpu(0, 1e6, 2.0) == demand.MAX_SHARE * 1e6
    assert estimator.kept_cpu(
        0, 1e6, 2.0 + 20 * demand.HALF_LIFE_S) < 0.01 * 1e6


def test_no_headroom_is_required_on_an_underused_fleet():
    workers = [workerstate.WorkerState(fleetfakes.entry(
        n, capacity=CAPACITY)) for n in range(4)]
    estimator = demand.DemandEstimator()
    wide_step = messages.Step(
        8, messages.Resources(30_000, 10), estimate_ms=9000)
    estimator.add_job(fleetfakes.job("s", wide_step), 1.0)
    headroom_ = headroom.Headroom(workers, estimator, 0, 1.0)
    assert headroom_.allowed_workers(
        headroom.RequiredHeadroom.ALL, LONG_RUNNING_STEP, workers) == workers


@pytest.mark.parametrize(("created", "is_counted"), [(5, False), (20, True)],
                         ids=["earlier-owner", "own"])
def test_jobs_accepted_under_an_earlier_owner_do_not_count_as_arrivals(
        created, is_counted):
    """Estimate arrival rates only from jobs that arrive under this owner.

    Guards against keeping a quarter of the fleet free after a change of owner
    while long-running jobs wait for half a minute.  A new owner reads all jobs
    of the last minutes at once; they must not count as arriving together.
    """
    bench = test_fleet_state.Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("j", messages.Step(
        1, messages.Resources(1000, 10), estimate_ms=900)), created)
    bench.place()
    assert bool(bench.state.demand.arrivals) is is_counted


@pytest.mark.parametrize(("interval_s", "least", "most"), [
    # With one arrival every 5 s, 4 are expected in 20 s; else none is.
    (0.0, 0.0, 1.0), (5.0, 3.0, 5.0), (200.0, 0.0, 1.0),
], ids=["all-at-once", "one-by-one", "rarely"])
def test_capacity_kept_for_new_jobs_depends_on_their_arrival_rate(
        interval_s, least, most):
    """Count long-running jobs that arrive together as one arrival."""
    estimator = demand.DemandEstimator()
    estimator.start_observing(0.0)
    for n in range(30):
        estimator.add_job(fleetfakes.job(f"l{n}", LONG_RUNNING_STEP),
                          interval_s * n)
    majority = 4 * LONG_RUNNING_STEP.room.cpu
    now = 29.5 * interval_s if interval_s else 30.0
    assert (least <= estimator.kept_for_new_jobs_cpu(1e9, now) / majority
            <= most)


def test_allowed_workers_follow_starts_and_the_list_of_workers():
    """Guards against starts that take headroom by an outdated list."""
    bench = test_fleet_state.Bench(*(
        fleetfakes.entry(n, capacity=CAPACITY) for n in range(5)))
    workers = list(bench.state.workers.values())
    for worker in workers[1:]:
        worker.reserve((messages.TaskId(worker.entry.worker_id, 0, 0, 0), 1),
                       messages.Step(1, messages.Resources(30_000, 10)), None)
    headroom_ = headroom.Headroom(
        workers, demand.DemandEstimator(), 0, bench.now)
    required = headroom.RequiredHeadroom.FINITE_TASKS
    allowed = headroom_.allowed_workers(required, LONG_RUNNING_STEP, workers)
    assert allowed == workers
    assert headroom_.allowed_workers(
        required, LONG_RUNNING_STEP, workers[:2]) == workers[:2]
    workers.pop()
    assert headroom_.allowed_workers(
        required, LONG_RUNNING_STEP, workers) == workers
    headroom_.kept_cpu = headroom_.total_slots_cpu
    headroom_.record_start(workers[0], 0)
    assert not headroom_.allowed_workers(
        required, LONG_RUNNING_STEP, workers)
