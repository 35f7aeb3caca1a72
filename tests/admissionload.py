"""Simulate a fleet under load in simulated time, with and without admission.

Placement, ordering, the backlog and the decisions are the real ones; workers,
callers and the store are simulated.
"""

import collections
import dataclasses
import random

from sycamorefield.fleet import answers
from sycamorefield.fleet import backlogmeter
from sycamorefield.fleet import clock
from sycamorefield.fleet import jobrequests
from sycamorefield.fleet import messages
from sycamorefield.fleet import ordering
from sycamorefield.fleet import records
from sycamorefield.fleet import reports
from sycamorefield.fleet import rounds
from sycamorefield.fleet import state as state_mod
from tests import fleetfakes

TICK_S = 0.1
WORKERS = 5
CORES = 4 * WORKERS
# Callers repeat up to 4 times and give up 3 s after the first attempt.
MAX_ATTEMPTS = 5
GIVE_UP_S = 3.0
TASKS = 4
# Share of tasks that take SLOW_FACTOR times as long.
SLOW_SHARE, SLOW_FACTOR = 0.03, 7.0
MAX_ESTIMATE_ERROR = 0.9
URGENT = messages.Queue("urgent", "h", "/u/", "desk", 0, 9, None, 1.5, 300.0)
BATCH = messages.Queue("batch", "h", "/b/", "desk", 2, 9, None, 2.0, 1000.0)
OTHER = dataclasses.replace(BATCH, name="other", prefix="/o/")
# Run time of a task and number of steps.
SHAPES = {"urgent": (0.8, 1), "batch": (1.0, 2), "other": (1.0, 2)}
QUEUES = {queue.name: queue for queue in (URGENT, BATCH, OTHER)}


@dataclasses.dataclass
class Caller:
    """A caller and what became of its request."""

    job: messages.Job
    queue: messages.Queue
    began_at: float
    limit_s: float
    attempts: int = 0
    accepted: bool = False
    told_at: float | None = None
    ended_at: float | None = None

    def outcome(self) -> str:
        """Return in time, late (it still counts), told or lost."""
        if self.ended_at is not None:
            took_s = self.ended_at - self.began_at
            if took_s <= self.limit_s:
                return "in time"
            if took_s <= ordering.LATE_FACTOR * self.limit_s:
                return "late"
        return "told" if self.told_at is not None else "lost"


class Simulation:
    """A fleet, an entry process and callers; load maps queue to rate.

    load(queue, t) returns the share of the fleet's CPU that callers ask for.
    The tasks of best_effort queues reserve no CPU.
    """

    def __init__(self, fake_clock, load, with_admission, seed=1,
                 best_effort=()) -> None:
        self.clock = fake_clock
        self.load = load
        self.best_effort = best_effort
        self.arrivals = random.Random(seed)
        # Run times don't depend on what is admitted.
        self.seed = seed
        self.callers: list[Caller] = []
        self.returning: list[tuple[float, int]] = []
        self.running: dict[tuple[messages.TaskId, int], tuple] = {}
        self.stopped: set[tuple[messages.TaskId, int]] = set()
        self.end_numbers: collections.Counter[str] = collections.Counter()
        self.store = fleetfakes.MemoryStore()
        self.store.commit(messages.Transaction(puts=(
            messages.Put(records.OWNER_KEY, b"me"),)))
        fence = self.store.items[records.OWNER_KEY].revision
        configuration = messages.Configuration(1, tuple(QUEUES.values()))
        self.orders: list[tuple[str, state_mod.Order]] = []
        self.fleet = state_mod.FleetState(
            fence, 6000.0, lambda *order: self.orders.append(order),
            lambda: configuration)
        for number in range(WORKERS):
            self.fleet.add_worker(fleetfakes.entry(number))
            self.report(f"i-{number}", [])
        self.fleet.enrol([f"i-{number}" for number in range(WORKERS)])
        self.meter = backlogmeter.BacklogMeter(self.fleet)
        self.handler = jobrequests.JobRequestHandler(
            self.store, lambda: False, lambda: fence, with_admission)
        if self.handler.admission:
            self.handler.admission.run_in_background = lambda read: read()

    def run(self, seconds) -> None:
        """Run for some time, with an update of the backlog each second."""
        began_at = self.clock.now
        ticks = 0
        while self.clock.now < began_at + seconds:
            self.clock.now += TICK_S
            ticks += 1
            if ticks % 10 == 0:
                self.publish()
            self.end_runs()
            self.arrive(self.clock.now - began_at)
            self.return_callers()
            self.place()

    def publish(self) -> None:
        now = self.clock.now
        self.fleet.update_listed(set(self.fleet.workers), now)
        self.meter.update(now, clock.wall_ms())
        if self.meter.data is not None:
            self.store.commit(messages.Transaction(puts=(
                messages.Put(records.BACKLOG_KEY, self.meter.data),)))

    def arrive(self, at) -> None:
        for name, queue in QUEUES.items():
            run_s, steps = SHAPES[name]
            rate = self.load(name, at) * CORES / (TASKS * steps * run_s)
            count = int(rate * TICK_S + self.arrivals.random())
            for _ in range(count):
                self.add_caller(queue, run_s, steps)

    def add_caller(self, queue, run_s, steps) -> None:
        error = 1.0 + self.arrivals.uniform(-1, 1) * MAX_ESTIMATE_ERROR
        job_steps = tuple(messages.Step(
            TASKS, messages.Resources(1000, 10), int(run_s * error * 1000),
            (number - 1,) if number else (),
            fills=queue.name in self.best_effort) for number in range(steps))
        caller = Caller(
            fleetfakes.job(f"{len(self.callers):016x}", *job_steps,
                           queue=queue.name, priority=queue.priority,
                           max_attempts=9),
            queue, self.clock.now,
            queue.stretch * run_s * steps + queue.slo_ms / 1000.0)
        self.callers.append(caller)
        self.submit(len(self.callers) - 1)

    def submit(self, index) -> None:
        caller = self.callers[index]
        caller.attempts += 1
        now = self.clock.now
        job = dataclasses.replace(
            caller.job, accepted_ms=clock.wall_ms())
        outcome = self.handler.submit(job, now + GIVE_UP_S, caller.queue)
        if isinstance(outcome, jobrequests.Accepted):
            caller.accepted = True
            self.fleet.add_job(job, self.store.items[
                records.job_key(job.job_id)].created_revision)
            return
        return_at = now + outcome.retry_after_s
        if (caller.attempts >= MAX_ATTEMPTS
                or return_at > caller.began_at + GIVE_UP_S):
            caller.told_at = now
        else:
            self.returning.append((return_at, index))

    def return_callers(self) -> None:
        due = [row for row in self.returning if row[0] <= self.clock.now]
        self.returning = [row for row in self.returning if row not in due]
        for _, index in sorted(due):
            self.submit(index)

    def run_s(self, task) -> float:
        """Return a task's run time; every fourth takes 1.3 times as long."""
        run_s, _ = SHAPES[self.callers[int(task.job_id, 16)].queue.name]
        chance = random.Random(f"{self.seed} {task}")
        factor = chance.choice((0.85, 1.0, 1.0, 1.3))
        if chance.random() < SLOW_SHARE:
            factor *= SLOW_FACTOR
        return run_s * factor

    def place(self) -> None:
        now = self.clock.now
        rounds.place(self.fleet, now, clock.wall_ms())
        orders, self.orders = self.orders, []
        for worker_id, order in orders:
            key = (order.task, order.run)
            if isinstance(order, messages.StartOrder):
                answers.record_started(self.fleet, worker_id, order, now)
                self.running[key] = (
                    worker_id, now, now + self.run_s(order.task))
            elif isinstance(order, messages.StopOrder):
                self.stopped.add(key)

    def end_runs(self) -> None:
        now = self.clock.now
        ended: dict[str, list[messages.EndedTask]] = {}
        for key, (worker_id, began_at, end_at) in list(self.running.items()):
            if key not in self.stopped and end_at > now:
                continue
            done = end_at <= now
            del self.running[key]
            self.stopped.discard(key)
            self.end_numbers[worker_id] += 1
            ended.setdefault(worker_id, []).append(messages.EndedTask(
                self.end_numbers[worker_id], *key,
                messages.DONE if done else "stopped", ""))
            if done:
                self.record_run(key[0], now - began_at)
        for worker_id, ends in ended.items():
            self.report(worker_id, ends)
        for caller in self.callers:
            if caller.accepted and caller.ended_at is None:
                state = self.fleet.jobs[caller.job.job_id]
                if state.state == messages.COMPLETED:
                    caller.ended_at = now

    def record_run(self, task, run_s) -> None:
        caller = self.callers[int(task.job_id, 16)]
        self.fleet.run_times.record(
            caller.queue.name, caller.job.steps[task.step], run_s)

    def report(self, worker_id, ended) -> None:
        running = [messages.RunningTask(*key, "", 0)
                   for key, row in self.running.items() if row[0] == worker_id]
        reports.apply_report(self.fleet, worker_id, messages.WorkerReport(
            self.clock.now * 1000.0, tuple(running), tuple(ended)),
            self.clock.now, self.clock.now)

    def outcomes(self):
        """Return how many callers of each queue had each outcome."""
        found: dict[str, collections.Counter[str]] = {
            name: collections.Counter() for name in QUEUES}
        for caller in self.callers:
            found[caller.queue.name][caller.outcome()] += 1
        return found
