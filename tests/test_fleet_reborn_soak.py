"""Run an owner whose workers start again under their IDs and are cut off.

By hand: SYCAMOREFIELD_REBORN_SEEDS=0-49 pytest tests/test_fleet_reborn_soak.py
"""

import dataclasses
import os
import random
import time

import pytest

from sycamorefield.fleet import clock
from sycamorefield.fleet import messages
from sycamorefield.fleet import records
from tests import fleetfakes
from tests import rebornworkers
from tests import test_fleet_takeover

WORKERS = 10
CRASHING_WORKERS = 5
# When waves of crashes begin, and when the run is over.
WAVES_S = (4.0, 15.0)
SUBMISSIONS_END_S = 20.0
LENGTH_S = 30.0
JOB_GAP_S = 0.25
STEP_S = 0.02
# Of these, 122 and 7901 once showed late calls that the next life carried out.
SEEDS = (2, 122, 7901)
CUT_S = 9.0


def seeds(variable, seeds_by_default):
    """Return the seeds to run, as stated in the environment."""
    stated = os.environ.get(variable)
    if not stated:
        return seeds_by_default
    first, _, last = stated.partition("-")
    return range(int(first), int(last or first) + 1)


class RebornFleet(test_fleet_takeover.LeasedFleet):
    """A fleet whose workers crash and are cut off by a plan."""

    make_worker = rebornworkers.RebornWorker

    def __init__(self, seed: int, late_share: float) -> None:
        super().__init__(workers=WORKERS)
        self.rng = random.Random(seed)
        self.history = rebornworkers.History()
        self.worker_list.entries = tuple(
            dataclasses.replace(entry, capacity=messages.Resources(
                16_000, 64_000)) for entry in self.worker_list.entries)
        self.workers = {
            entry.worker_id: self.make_worker(
                entry.worker_id, self.history,
                random.Random(f"{seed}/{entry.worker_id}"), late_share)
            for entry in self.worker_list.entries}
        self.began_at = clock.now()
        # (when, what to do) in the order of time.
        self.plan = sorted(
            (row for worker_id in list(self.workers)[:CRASHING_WORKERS]
             for wave_s in WAVES_S
             for row in self._plan_crash(worker_id, wave_s)),
            key=lambda row: row[0])
        self.jobs = 0

    def _plan_crash(self, worker_id, wave_s):
        worker = self.workers[worker_id]
        at = self.began_at + wave_s + self.rng.uniform(0.0, 0.3)
        dark_s = self.rng.choice((0.3, 0.6, 1.2))
        # The entry of a worker that is cut off from the store as well is not
        # written again.
        lists = self.rng.random() < 0.5
        yield at - 1.0, lambda: setattr(worker, "next_crash_at", at)
        yield at, lambda: worker.crash(dark_s)
        yield (at + max(dark_s, self.rng.uniform(0.9, 3.0)),
               lambda: worker.cut(CUT_S))
        yield (at + dark_s + (0.1 if lists else CUT_S + 3.0),
               lambda: self._list(worker))

    def _list(self, worker):
        self.worker_list.entries = tuple(
            dataclasses.replace(entry, born_ms=worker.born_ms)
            if entry.worker_id == worker.worker_id else entry
            for entry in self.worker_list.entries)

    def submit_job(self) -> None:
        """Submit a job of some short or long tasks."""
        self.jobs += 1
        duration_s = self.rng.choice((0.3, 0.9, 9.0, 15.0))
        self.submit(fleetfakes.job(f"j{self.jobs}", messages.Step(
            self.rng.randint(2, 6), messages.Resources(1000, 1000),
            estimate_ms=int(duration_s * 1000)), spec=str(duration_s)))

    def run(self) -> None:
        """Run the whole plan."""
        self.take_over()
        self.follow_plan()
        self.owner.step_down("test over")

    def follow_plan(self) -> None:
        """Submit jobs and let workers crash until the end."""
        next_job_s = 0.0
        while (now := clock.now()) < self.began_at + LENGTH_S:
            while self.plan and self.plan[0][0] <= now:
                self.plan.pop(0)[1]()
            elapsed_s = now - self.began_at
            if next_job_s <= elapsed_s < SUBMISSIONS_END_S:
                next_job_s += JOB_GAP_S
                self.submit_job()
            for worker in self.workers.values():
                worker.advance()
            time.sleep(STEP_S)


@pytest.mark.parametrize("late_share", [0.0, 0.5])
@pytest.mark.parametrize(
    "seed", seeds("SYCAMOREFIELD_REBORN_SEEDS", SEEDS))
def test_workers_that_start_again_and_are_cut_off_run_no_task_twice(
        seed, late_share):
    """Guards against leases and calls that reach the next life of a worker."""
    fleet = RebornFleet(seed, late_share)
    fleet.run()
    ended = sum(run.how == messages.DONE
                for runs in fleet.history.runs.values() for run in runs)
    print(f"seed {seed}, late share {late_share}: {fleet.jobs} jobs, {ended} "
          f"runs done, {fleet.history.late_calls} calls carried out late")
    assert not fleet.history.overlaps()
    assert not fleet.history.repeats()
    assert ended > fleet.jobs
    assert records.OWNER_KEY in fleet.store.items
