"""Play a load with wrong estimates, with and without the run-time model."""

import dataclasses
import heapq
import math
import random

from sycamorefield.fleet import messages
from sycamorefield.fleet import policy as policy_mod
from tests import fleetfakes
from tests import test_fleet_state

WORKERS = 12
CORES = 16
SECONDS = 25.0
# Waves of demand, as a share of the mean and in seconds.
SWING = 0.55
WAVE_S = 17.0
# Spread of the run times of steps (standard deviation of the logarithm).
SPREAD = 0.3
LONG_SHARE = 0.03
LONG_FACTOR = 7.0
# Workers report at least this often.
REPORT_PERIOD_S = 0.5


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of job: its queue, rate and shape."""

    queue: messages.Queue
    jobs_per_s: float
    steps: int
    tasks: int
    run_s: float
    cpu: int


URGENT = Kind(messages.Queue("checks", "h", "/c/", "desk", 0, 2, None,
                             1.5, 300.0), 0.6, 2, 10, 0.85, 2800)
BATCH = Kind(messages.Queue("renewals", "h", "/r/", "desk", 2, 2, None,
                            2.0, 1000.0), 0.8, 2, 20, 1.4, 1800)


class Load:
    """Simulate a fleet, its callers and its runs, by a clock of its own."""

    def __init__(self, seed: int, error: float, kinds: tuple[Kind, ...],
                 policy: policy_mod.Policy) -> None:
        # Jobs and runs are drawn separately, so that the same callers come
        # however runs are placed.
        self.rng = random.Random(seed)
        self.seed = seed
        self.error = error
        self.bench = test_fleet_state.Bench(
            *(fleetfakes.entry(n, CORES * 1000) for n in range(WORKERS)),
            policy=policy)
        state = self.bench.state
        state.configuration = lambda: messages.Configuration(
            1, tuple(kind.queue for kind in kinds))
        state.run_times.now = lambda: self.bench.now
        self.began_at = self.bench.now
        # True run times by task, and objectives by job.
        self.task_s: dict[messages.TaskId, float] = {}
        self.due_at: dict[str, float] = {}
        self.ended_at: dict[str, float] = {}
        # Runs by worker: task and run; when it began and how long it takes.
        self.runs: dict[str, dict] = {w: {} for w in state.workers}
        self.end_numbers = dict.fromkeys(state.workers, 0)
        self.reported_at = dict.fromkeys(state.workers, 0.0)
        self.sound_runs_restarted = 0
        self.arrivals = [(self._gap(kind), number, kind) for number, kind
                         in enumerate(kinds)]

    def _gap(self, kind: Kind) -> float:
        wave = 1.0 + SWING * math.sin(
            2.0 * math.pi * (self.bench.now - self.began_at) / WAVE_S)
        return self.bench.now + self.rng.expovariate(kind.jobs_per_s * wave)

    def submit(self, kind: Kind) -> None:
        """Add a job with estimates that are off by up to the error."""
        job_id = f"j{len(self.due_at)}"
        steps = []
        path_s = 0.0
        for number in range(kind.steps):
            typical_s = kind.run_s * self.rng.lognormvariate(0.0, SPREAD)
            estimate_s = typical_s * (
                1.0 + self.error * self.rng.uniform(-1.0, 1.0))
            for index in range(kind.tasks):
                self.task_s[messages.TaskId(
                    job_id, 0, number, index)] = typical_s
            path_s += typical_s
            steps.append(messages.Step(
                kind.tasks, messages.Resources(kind.cpu, 10),
                int(estimate_s * 1000), tuple(range(number))[-1:]))
        self.due_at[job_id] = (self.bench.now + kind.queue.stretch * path_s
                               + kind.queue.slo_ms / 1000.0)
        self.bench.add(fleetfakes.job(
            job_id, *steps, queue=kind.queue.name,
            priority=kind.queue.priority,
            accepted_ms=self.bench.now * 1000.0), 20 + len(self.due_at))

    def advance(self) -> None:
        """Submit what has arrived, place, and let runs end."""
        while self.arrivals[0][0] <= self.bench.now:
            _, number, kind = heapq.heappop(self.arrivals)
            self.submit(kind)
            heapq.heappush(self.arrivals, (self._gap(kind), number, kind))
        before = len(self.bench.orders)
        self.bench.place(self.bench.now * 1000.0)
        stopped: dict[str, set] = {}
        for worker_id, order in self.bench.orders[before:]:
            run = (order.task, order.run)
            if isinstance(order, messages.StartOrder):
                self.bench.state.workers[worker_id].mark_start_sent(run)
                draw = random.Random(f"{self.seed} {run}").random()
                self.runs[worker_id][run] = (
                    self.bench.now, self.task_s[order.task]
                    * (LONG_FACTOR if draw < LONG_SHARE else 1.0))
            else:
                found = self.bench.state.find(order.task)
                run_s = self.runs[worker_id].get(run, (0.0, 0.0))[1]
                self.sound_runs_restarted += (
                    found is not None and found[1].stuck
                    and run_s <= self.task_s[order.task])
                stopped.setdefault(worker_id, set()).add(run)
        for worker_id in self.runs:
            self.report(worker_id, stopped.get(worker_id, set()))
        for job_id in list(self.due_at.keys() - self.ended_at.keys()):
            if self.bench.state.jobs[job_id].final():
                self.ended_at[job_id] = self.bench.now

    def report(self, worker_id: str, stopped: set) -> None:
        """Report the runs of a worker if one ended or a report is due."""
        now = self.bench.now
        ended = []
        running = []
        for run, (began_at, run_s) in list(self.runs[worker_id].items()):
            share = (now - began_at) / run_s
            if share < 1.0 and run not in stopped:
                running.append(messages.RunningTask(
                    *run, "", int(100 * share)))
                continue
            del self.runs[worker_id][run]
            self.end_numbers[worker_id] += 1
            ended.append(messages.EndedTask(
                self.end_numbers[worker_id], *run,
                messages.DONE if share >= 1.0 else "stopped", ""))
        if ended or now - self.reported_at[worker_id] >= REPORT_PERIOD_S:
            self.reported_at[worker_id] = now
            self.bench.report(worker_id, running, ended)

    def served_in_time(self) -> int:
        """Return how many callers got their result by their objective."""
        return sum(self.ended_at.get(job_id, math.inf) <= due_at
                   for job_id, due_at in self.due_at.items())


def play(seed: int, error: float, learn: bool,
         kinds: tuple[Kind, ...]) -> Load:
    load = Load(seed, error, kinds,
                policy_mod.Policy(learn_run_times=learn))
    while load.bench.now < load.began_at + SECONDS:
        load.advance()
    return load


def test_good_estimates_give_the_same_placement():
    """Guards against other decisions where estimates are seen to be good."""
    without, with_model = (
        play(1, 0.1, learn, (URGENT, BATCH)) for learn in (False, True))
    assert with_model.bench.state.run_times.recorded_total > 100
    assert with_model.ended_at == without.ended_at
    assert ([order for _, order in with_model.bench.orders]
            == [order for _, order in without.bench.orders])


# Jobs without sibling tasks whose durations correct a bad estimate.
SINGLE = (dataclasses.replace(URGENT, jobs_per_s=20.0, tasks=1),
          dataclasses.replace(BATCH, jobs_per_s=20.0, tasks=1))


def test_bad_estimates_cost_fewer_restarts_and_no_callers():
    """Guards against restarts of sound runs whose estimates are too low.

    As many callers are served in time: orders of jobs change little, since
    lateness allows for wrong estimates by a factor of four.
    """
    plays = {learn: [play(seed, 0.9, learn, SINGLE) for seed in (1, 2, 3)]
             for learn in (False, True)}
    restarts, served = ({
        learn: sum(value(load) for load in loads)
        for learn, loads in plays.items()} for value in (
            lambda load: load.sound_runs_restarted, Load.served_in_time))
    assert restarts[False] >= 10
    assert restarts[True] <= restarts[False] / 3
    assert served[True] >= 0.99 * served[False]


if __name__ == "__main__":
    for error_, kinds_ in ((0.1, (URGENT, BATCH)), (0.9, (URGENT, BATCH)),
                           (0.9, SINGLE)):
        for learn_ in (False, True):
            loads_ = [play(seed_, error_, learn_, kinds_)
                      for seed_ in range(1, 7)]
            print(f"error {error_}, {kinds_[0].tasks} tasks, model {learn_}:"
                  f" {sum(len(load_.due_at) for load_ in loads_)} callers, "
                  f"{sum(load_.served_in_time() for load_ in loads_)} in "
                  "time, sound runs restarted "
                  f"{sum(load_.sound_runs_restarted for load_ in loads_)}",
                  flush=True)
