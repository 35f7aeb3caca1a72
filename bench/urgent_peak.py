"""Compare ways to keep capacity for urgent tasks under waves and bursts.

In simulated time, with real placement rounds.  60 workers of 16 cores are
full of long-running tasks of 3.2 cores, of which more always wait; jobs
are cancelled after 20 to 60 s.  Urgent jobs have one or two steps of 10 tasks
of 1 to 4.6 cores that run for 0.85 s.  The rate of their arrival is constant,
swings by 55% in waves of 17 s, or rises 1.9 times for 3 s every 12 s.

For each way: the shares of the urgent tasks that started within 1.1 s and
within 0.35 s of being ready, the long-running tasks at work, and the worth of
both in cores.  As in demand.py, a core of an urgent task that starts in time
counts as much as four cores of long-running tasks.
"""

import collections
import heapq
import math
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

from sycamorefield.fleet import demand  # noqa: E402
from sycamorefield.fleet import messages  # noqa: E402
from sycamorefield.fleet import policy as policy_mod  # noqa: E402
from sycamorefield.fleet import progress  # noqa: E402
from tests import fleetfakes  # noqa: E402
from tests import test_fleet_state  # noqa: E402

WORKERS = 60
CAPACITY = messages.Resources(16_000, 128_000)
URGENT_PER_S = 2.0
URGENT_RUN_S = 0.85
URGENT_TASKS = 10
START_LIMIT_S = 1.1
# The slack of an urgent job of two steps is less than this a step.
PROMPT_LIMIT_S = 0.35
LONG_RUNNING_STEP = messages.Step(14, messages.Resources(3200, 1000),
                                  perpetual=True)
LONG_RUNNING_JOBS = 40
SECONDS = 120.0
WARM_UP_S = 30.0
WAVE_S, SWING = 17.0, 0.55
BURST_EVERY_S, BURST_S, BURST_FACTOR = 12.0, 3.0, 1.9


class ExtrapolatingEstimator(demand.DemandEstimator):
    """Extrapolate the arrivals of the last 6 s to 2 s ahead by their slope."""

    WINDOW_S = 6
    AHEAD_S = 2.0

    def __init__(self) -> None:
        super().__init__()
        self.arrived_cpu_s: collections.Counter[int] = collections.Counter()

    def add_job(self, job: messages.Job, now: float) -> None:
        super().add_job(job, now)
        for step in job.steps:
            if demand.is_finite(step):
                self.arrived_cpu_s[int(now)] += int(
                    step.room.cpu * step.count * URGENT_RUN_S)

    def kept_cpu(self, priority: int, capacity_cpu: float,
                 now: float) -> float:
        kept_cpu = super().kept_cpu(priority, capacity_cpu, now)
        times = range(int(now) - self.WINDOW_S, int(now))
        values = [self.arrived_cpu_s[t] for t in times]
        mean_t = sum(times) / len(values)
        mean = sum(values) / len(values)
        slope = sum((t - mean_t) * (v - mean) for t, v in zip(times, values)
                    ) / sum((t - mean_t) ** 2 for t in times)
        ahead_cpu = mean + slope * (now + self.AHEAD_S - mean_t)
        squared = sum(a.squared_cpu_s for a in self.arrivals.values())
        deviation = math.sqrt(squared / self._observed_s(now))
        return min(demand.MAX_SHARE * capacity_cpu,
                   max(kept_cpu, ahead_cpu + deviation))


# Without recentpeak.py, with it, and extrapolated whatever the peak.
WAYS = ("present", "peak", "extrapolated")


class Simulation:
    """A fleet under load; counts from the end of the warm-up on."""

    def __init__(self, way: str, load: str, seed: int,
                 wide_share: float = 0.0, wide_cpu: int = 16_000,
                 workers: int = WORKERS,
                 capacity: messages.Resources = CAPACITY) -> None:
        self.bench = test_fleet_state.Bench(*(
            fleetfakes.entry(n, capacity=capacity) for n in range(workers)),
            policy=policy_mod.Policy(
                keep_recent_peak=way == "peak", keep_wide_gaps=way == "peak"))
        if way == "extrapolated":
            self.bench.state.demand = ExtrapolatingEstimator()
        self.load = load
        self.rng = random.Random(seed)
        self.wide_share = wide_share
        self.wide_cpu = wide_cpu
        self.started_at = self.bench.now
        self.ends: list[tuple[float, messages.TaskId, str, int]] = []
        self.end_numbers: collections.Counter[str] = collections.Counter()
        self.lifetimes: list[tuple[float, str]] = []
        self.ready_at: dict[tuple[str, int], float] = {}
        self.created = 20
        # By whether the task is wide.
        self.urgent_tasks: collections.Counter[bool] = collections.Counter()
        self.in_time: collections.Counter[bool] = collections.Counter()
        self.prompt = 0
        self.in_time_core_s = 0.0
        self.long_running_samples: list[int] = []

    def rate(self) -> float:
        """Return the present rate of urgent jobs."""
        age_s = self.bench.now - self.started_at
        if self.load == "waves":
            return URGENT_PER_S * (
                1.0 + SWING * math.sin(2 * math.pi * age_s / WAVE_S))
        if self.load == "bursts" and age_s % BURST_EVERY_S < BURST_S:
            return URGENT_PER_S * BURST_FACTOR
        return URGENT_PER_S

    def run(self) -> None:
        """Simulate the whole load."""
        for _ in range(LONG_RUNNING_JOBS):
            self.add_long_running()
        while self.bench.now < self.started_at + SECONDS:
            if self.rng.random() < self.rate() * 0.1:
                self.add_urgent()
            self.end_jobs()
            self.place()
            self.end_runs()

    def counts(self) -> bool:
        """Return whether the warm-up is over."""
        return self.bench.now >= self.started_at + WARM_UP_S

    def add_long_running(self) -> None:
        self.created += 1
        name = f"long{self.created}"
        self.bench.add(fleetfakes.job(name, LONG_RUNNING_STEP), self.created)
        heapq.heappush(self.lifetimes, (
            self.bench.now + self.rng.uniform(20.0, 60.0), name))

    def add_urgent(self) -> None:
        self.created += 1
        if self.rng.random() < self.wide_share:
            step = messages.Step(1, messages.Resources(
                self.wide_cpu, 1000), estimate_ms=int(URGENT_RUN_S * 1000))
        else:
            step = messages.Step(URGENT_TASKS, messages.Resources(
                self.rng.randint(1000, 4600), 1000),
                estimate_ms=int(URGENT_RUN_S * 1000))
        steps = [step]
        if self.rng.random() < 0.6:
            steps.append(messages.Step(
                step.count, step.room, step.estimate_ms, after=(0,)))
        self.bench.add(fleetfakes.job(
            f"urgent{self.created}", *steps), self.created)

    def end_jobs(self) -> None:
        while self.lifetimes and self.lifetimes[0][0] <= self.bench.now:
            _, name = heapq.heappop(self.lifetimes)
            running = [t for t in self.bench.state.jobs[name].all_tasks()
                       if t.phase == progress.RUNNING]
            ends = [(t.task, t.worker_id, t.run) for t in running]
            self.bench.state.cancel(name)
            for task, worker_id, run in ends:
                self.report_end(task, worker_id, run, "stopped")
            self.add_long_running()

    def place(self) -> None:
        before = len(self.bench.orders)
        self.bench.place()
        for worker_id, order in self.bench.orders[before:]:
            if (isinstance(order, messages.StartOrder)
                    and order.task.job_id.startswith("urgent")):
                self.count_start(order)
                heapq.heappush(self.ends, (
                    self.bench.now + URGENT_RUN_S, order.task, worker_id,
                    order.run))
        self.bench.orders.clear()
        if self.counts():
            self.long_running_samples.append(sum(
                w.long_running_cpu for w in
                self.bench.state.workers.values()) // 3200)

    def count_start(self, order: messages.StartOrder) -> None:
        state = self.bench.state.jobs[order.task.job_id]
        ready_at = self.ready_at.get(
            (order.task.job_id, order.task.step), state.first_ready_at)
        if not self.counts():
            return
        cpu = state.job.steps[order.task.step].room.cpu
        wide = cpu >= 10_000
        self.urgent_tasks[wide] += 1
        self.prompt += self.bench.now - ready_at <= PROMPT_LIMIT_S
        if self.bench.now - ready_at <= START_LIMIT_S:
            self.in_time[wide] += 1
            self.in_time_core_s += cpu / 1000.0 * URGENT_RUN_S

    def end_runs(self) -> None:
        while self.ends and self.ends[0][0] <= self.bench.now:
            _, task, worker_id, run = heapq.heappop(self.ends)
            self.report_end(task, worker_id, run, messages.DONE)
            state = self.bench.state.jobs[task.job_id]
            if state.step_done(0, 0):
                self.ready_at.setdefault((task.job_id, 1), self.bench.now)

    def report_end(self, task: messages.TaskId, worker_id: str, run: int,
                   how: str) -> None:
        self.end_numbers[worker_id] += 1
        worker = self.bench.state.workers[worker_id]
        self.bench.report(worker_id, [
            messages.RunningTask(t, r, "", 0) for t, r in worker.tasks
            if (t, r) != (task, run)], [messages.EndedTask(
                self.end_numbers[worker_id], task, run, how, "")])

    def waiting_tasks(self) -> collections.Counter[bool]:
        """Return the urgent tasks that have not started, by width."""
        counts: collections.Counter[bool] = collections.Counter()
        for state in self.bench.state.active.values():
            for tasks in (() if state.long_running else state.ready_tasks()):
                counts[tasks[0].step.room.cpu >= 10_000] += len(tasks)
        return counts


SEEDS = tuple(range(1, 7))


def measure(way: str, load: str, **options
            ) -> tuple[float, float, float, float]:
    """Return the results of a way.

    The shares of urgent tasks in time and prompt, the long-running tasks and
    the worth in cores.
    """
    in_time = total = prompt = 0
    long_running = worth = 0.0
    for seed in SEEDS:
        simulation = Simulation(way, load, seed, **options)
        simulation.run()
        waiting = simulation.waiting_tasks()
        in_time += simulation.in_time.total()
        prompt += simulation.prompt
        total += simulation.urgent_tasks.total() + waiting.total()
        samples = simulation.long_running_samples
        mean = sum(samples) / len(samples)
        long_running += mean / len(SEEDS)
        worth += (4.0 * simulation.in_time_core_s / (SECONDS - WARM_UP_S)
                  + mean * 3.2) / len(SEEDS)
    return (in_time / max(1, total), prompt / max(1, total), long_running,
            worth)


def main() -> int:
    """Print the results of each way under each load."""
    for load in ("constant", "waves", "bursts"):
        for way in WAYS:
            in_time, prompt, long_running, worth = measure(way, load)
            print(f"{load}, {way}: {in_time:.3f} of the urgent tasks started "
                  f"in time, {prompt:.3f} promptly, {long_running:.1f} "
                  f"long-running tasks, worth {worth:.0f}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
