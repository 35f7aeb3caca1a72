"""Test that cached searches place tasks exactly as full searches do."""

import dataclasses
import random

import pytest

from sycamorefield.fleet import messages
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.fleet import progress
from tests import fleetfakes
from tests import test_fleet_state

WORKERS = 14
ITERATIONS = 220
# With learnt weights a report of one worker changes what fits on others.  If
# learning is disabled, only changes of a worker itself do, and the orders of
# both fleets must be identical.
UNCACHED = policy_mod.Policy(learn_weights=False, remember_shortage=False)
CACHED = dataclasses.replace(UNCACHED, remember_shortage=True)


class TwinFleets:
    """Two fleets, one with cached searches, that get the same events."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        entries = [fleetfakes.entry(n, cpu=rng.choice((4000, 8000)))
                   for n in range(WORKERS)]
        self.uncached, self.cached = (
            test_fleet_state.Bench(*entries, policy=policy)
            for policy in (UNCACHED, CACHED))
        self.last_end_numbers = dict.fromkeys(self.uncached.state.workers, 0)
        self.created = 20

    def benches(self):
        return self.uncached, self.cached

    def add_job(self) -> None:
        rng = self.rng
        self.created += 1
        job_kind = rng.choice(
            ("finite", "finite", "best-effort", "long-running"))
        request = messages.Resources(rng.randrange(500, 6000, 250),
                                     rng.choice((500, 2000)))
        step = {
            "finite": messages.Step(rng.randrange(1, 6), request,
                                    estimate_ms=800,
                                    max_per_worker=rng.choice((0, 0, 1))),
            "best-effort": messages.Step(
                rng.randrange(1, 9), request, fills=True, estimate_ms=2000,
                image=f"f{rng.randrange(3)}"),
            "long-running": messages.Step(
                rng.randrange(1, 5), request, perpetual=True, target_ms=50.0,
                image=f"s{rng.randrange(3)}")}[job_kind]
        queue = "checks" if job_kind == "finite" else rng.choice(
            ("checks", "renewals"))
        job = fleetfakes.job(f"j{self.created}", step, queue=queue,
                             priority=0 if queue == "checks" else 2)
        for bench in self.benches():
            bench.add(job, self.created)

    def report(self) -> None:
        """Let a worker report; some of its runs have ended."""
        worker_id = self.rng.choice(list(self.last_end_numbers))
        worker = self.uncached.state.workers[worker_id]
        rows, ended = [], []
        for (task, run), state in sorted(worker.tasks.items()):
            if (state.phase == progress.STOPPING
                    or not state.step.perpetual and self.rng.random() < 0.3):
                self.last_end_numbers[worker_id] += 1
                how = ("stopped" if state.phase == progress.STOPPING
                       else messages.DONE)
                ended.append(messages.EndedTask(
                    self.last_end_numbers[worker_id], task, run, how, ""))
                continue
            figure = (self.rng.uniform(10, 60) if state.step.target_ms
                      else state.step.room.cpu)
            rows.append(messages.RunningTask(task, run, "", 100, figure))
        for bench in self.benches():
            bench.report(worker_id, rows, ended)

    def change_worker(self) -> None:
        """Let a worker drain, stop draining, or be avoided for a while."""
        worker_id = self.rng.choice(list(self.last_end_numbers))
        entry = self.uncached.state.workers[worker_id].entry
        drains = self.rng.random() < 0.5
        avoided = self.rng.random() < 0.5
        for bench in self.benches():
            bench.state.add_worker(dataclasses.replace(
                entry, draining=drains))
            if avoided:
                bench.state.workers[worker_id].avoid_until = bench.now + 0.5

    def play_event(self) -> None:
        event = self.rng.choices(
            (self.add_job, self.report, self.change_worker),
            (5, 12, 1))[0]
        event()


@pytest.mark.parametrize("seed", range(12))
def test_cached_searches_give_the_same_orders_as_full_searches(seed):
    twins = TwinFleets(random.Random(seed))
    for _ in range(ITERATIONS):
        for _ in range(twins.rng.randrange(4)):
            twins.play_event()
        assert twins.uncached.place() == twins.cached.place()
        assert twins.uncached.orders == twins.cached.orders
    assert len(twins.uncached.orders) > 2 * WORKERS
