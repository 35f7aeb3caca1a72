"""Time rounds in which 3,000 waiting tasks search for runs to preempt.

The fleet is full of long-running and of lower-priority runs.  After each round
a fifth of the workers report.  docs/CAPACITY.md has results.
"""

import os
import random
import statistics
import sys
import time
import typing

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

from bench import round_cost  # noqa: E402
from sycamorefield.fleet import answers  # noqa: E402
from sycamorefield.fleet import messages  # noqa: E402
from sycamorefield.fleet import policy as policy_mod  # noqa: E402
from sycamorefield.fleet import progress  # noqa: E402
from sycamorefield.fleet import reports  # noqa: E402
from sycamorefield.fleet import rounds  # noqa: E402
from sycamorefield.fleet import state as state_mod  # noqa: E402
from sycamorefield.fleet import victims  # noqa: E402
from tests import fleetfakes  # noqa: E402

POLICY = policy_mod.Policy()
QUEUES = messages.Configuration(1, tuple(
    messages.Queue(name, "h", f"/{name}/", "desk", priority, 2)
    for priority, name in enumerate(("checks", "middle", "renewals"))))


class Fleet:
    """A full fleet that carries out the orders it is given."""

    def __init__(self, workers: int) -> None:
        self.rng = random.Random(3)
        self.now = round_cost.NOW_S
        self.starts: list[tuple[str, messages.StartOrder]] = []
        self.ends = 0
        self.state = round_cost.make_fleet(self.rng, workers, POLICY)
        self.state.configuration = lambda: QUEUES
        self.state.send = self.receive
        for n in range(workers * 40 // 100):
            job = round_cost.long_running_job(self.rng, n)
            self.state.add_job(job, 11 + n)
        round_cost.place_all(self.state)
        for n in range(workers * 3 // 2):
            self.add(f"low{n}", 20, 1500 + 500 * (n % 5), "renewals",
                     checkpoint=n % 7 > 0)
            self.add(f"fill{n}", 1, 2000, "renewals", fills=True, image="f")
        round_cost.place_all(self.state)
        self.confirm_starts(3.0)
        self.state.stop_costs = victims.StopCosts(1.0, 0.4, 0.2)

    def receive(self, worker_id: str, order: state_mod.Order) -> None:
        if isinstance(order, messages.StartOrder):
            self.starts.append((worker_id, order))

    def add(self, name: str, count: int, cpu: int, queue: str,
            **fields: typing.Any) -> None:
        step = messages.Step(count, messages.Resources(cpu, 2000),
                             estimate_ms=2700, **fields)
        job = fleetfakes.job(name, step, queue=queue, priority=2)
        self.state.add_job(job, 100_000 + len(self.state.jobs))

    def confirm_starts(self, max_age_s: float) -> None:
        for worker_id, order in self.starts:
            answers.record_started(self.state, worker_id, order,
                                   self.now - max_age_s * self.rng.random())
        self.starts.clear()

    def add_waiting(self) -> None:
        """Add 3,000 tasks of 12 sizes and two priorities."""
        limits: list[dict[str, typing.Any]] = [
            {}, {}, {}, {"requires": "a"}, {"max_per_worker": 1}]
        for n in range(600):
            self.add(f"waiting{n}", 5, 3000 + 1000 * (n * 7 % 12),
                     ("checks", "middle")[n % 2], **limits[n % len(limits)])

    def report(self, worker_id: str) -> None:
        """Let a worker report its runs, and that stopped ones have ended."""
        running: tuple[messages.RunningTask, ...] = ()
        ended: tuple[messages.EndedTask, ...] = ()
        for row, state in self.state.workers[worker_id].tasks.items():
            if state.phase == progress.STOPPING:
                self.ends += 1
                ended += messages.EndedTask(self.ends, *row, "stopped", ""),
            else:
                running += messages.RunningTask(*row, "", 0),
        reports.apply_report(self.state, worker_id, messages.WorkerReport(
            self.now * 1000.0, running, ended), self.now, self.now)

    def time_round(self) -> float:
        """Return the processor time of a round in ms; reports follow it."""
        started_s = time.process_time()
        rounds.place(self.state, self.now, round_cost.WALL_MS)
        took_ms = (time.process_time() - started_s) * 1000.0
        self.now += 0.2
        self.confirm_starts(0.0)
        names = list(self.state.workers)
        for name in self.rng.sample(names, len(names) // 5):
            self.report(name)
        return took_ms


def main() -> int:
    """Print processor times of rounds for each size of fleet."""
    for workers in map(int, sys.argv[1:] or (490, 1500, 5500)):
        fleet = Fleet(workers)
        fleet.add_waiting()
        times_ms = [fleet.time_round() for _ in range(12)]
        print(f"{workers} workers: median {statistics.median(times_ms):.0f} "
              f"ms, longest {max(times_ms):.0f} ms", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
