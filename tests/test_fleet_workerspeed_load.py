"""Play a load on workers some of which are slow, with and without the rule."""

import dataclasses
import math
import random

import pytest

from sycamorefield.fleet import messages
from sycamorefield.fleet import policy as policy_mod
from tests import test_fleet_runtimes_load as runtimes_load

# 8% of the workers are slow; the load grows with the fleet.
WORKERS = 25
SLOW_WORKERS = ("i-0", "i-1")
SLOWDOWN = 5.0
SLOW_FROM_S, SLOW_UNTIL_S = 8.0, 18.0
GROWTH = WORKERS / runtimes_load.WORKERS
URGENT, BATCH = (
    dataclasses.replace(kind, jobs_per_s=kind.jobs_per_s * GROWTH)
    for kind in (runtimes_load.URGENT, runtimes_load.BATCH))
STEP_S = 0.1
# Share of the steps all of whose tasks are long, instead of single tasks.
LONG_SHARE = 0.03


class Load(runtimes_load.Load):
    """A load during which some workers are slow for some seconds."""

    slow_workers: tuple[str, ...] = ()

    def submit(self, kind) -> None:
        """Add a job, of which some steps take long on any worker."""
        job_id = f"j{len(self.due_at)}"
        super().submit(kind)
        for step in range(kind.steps):
            draw = random.Random(f"{self.seed} {job_id} {step}").random()
            if draw >= LONG_SHARE:
                continue
            for index in range(kind.tasks):
                self.task_s[messages.TaskId(
                    job_id, 0, step, index)] *= runtimes_load.LONG_FACTOR

    def report(self, worker_id: str, stopped: set) -> None:
        elapsed_s = self.bench.now - self.began_at
        if (worker_id in self.slow_workers
                and SLOW_FROM_S <= elapsed_s < SLOW_UNTIL_S):
            lost_s = STEP_S * (1.0 - 1.0 / SLOWDOWN)
            for run, (began_at, run_s) in self.runs[worker_id].items():
                self.runs[worker_id][run] = (began_at + lost_s, run_s)
        super().report(worker_id, stopped)

    def urgent_in_time(self) -> int:
        """Return how many urgent callers got their result in time."""
        return sum(
            self.ended_at.get(job_id, math.inf) <= due_at
            for job_id, due_at in self.due_at.items()
            if self.bench.state.jobs[job_id].job.queue == URGENT.queue.name)


def play(seed, learn, slow_workers) -> Load:
    load = Load(seed, 0.9, (URGENT, BATCH),
                policy_mod.Policy(learn_worker_speeds=learn))
    load.slow_workers = slow_workers
    while load.bench.now < load.began_at + runtimes_load.SECONDS:
        load.advance()
    return load


@pytest.fixture(autouse=True)
def _workers(monkeypatch):
    monkeypatch.setattr(runtimes_load, "WORKERS", WORKERS)
    monkeypatch.setattr(runtimes_load, "LONG_SHARE", 0.0)


def orders(load):
    return [(worker_id, order) for worker_id, order in load.bench.orders
            if not isinstance(order, messages.PaceOrder)]


def test_sound_workers_are_used_as_before():
    """Guards against other placement where no worker is slow."""
    without, with_rule = (play(1, learn, ()) for learn in (False, True))
    assert with_rule.bench.state.worker_speeds.exclusions_total == 0
    assert orders(with_rule) == orders(without)


def test_urgent_callers_are_served_beside_slow_workers():
    """Guards against urgent tasks that are placed on slow workers."""
    served = {learn: [play(seed, learn, SLOW_WORKERS).urgent_in_time()
                      for seed in (1, 2, 3)] for learn in (False, True)}
    assert sum(served[True]) > sum(served[False])
    assert all(with_rule >= without for with_rule, without
               in zip(served[True], served[False]))


if __name__ == "__main__":
    runtimes_load.WORKERS = WORKERS
    runtimes_load.LONG_SHARE = 0.0
    for slow_ in ((), SLOW_WORKERS):
        for learn_ in (False, True):
            loads_ = [play(seed_, learn_, slow_) for seed_ in range(1, 7)]
            print(f"slow {slow_}, rule {learn_}: "
                  f"{[load_.urgent_in_time() for load_ in loads_]} urgent, "
                  f"{[load_.served_in_time() for load_ in loads_]} of "
                  f"{[len(load_.due_at) for load_ in loads_]} in time, "
                  f"exclusions " + str(
                      [load_.bench.state.worker_speeds.exclusions_total
                       for load_ in loads_]), flush=True)
