"""Run a chain of owners whose workers start again and are cut off.

By hand:
SYCAMOREFIELD_REBORN_OWNERS_SEEDS=0-49 pytest
tests/test_fleet_reborn_owners_soak.py
"""

import dataclasses
import random
import threading
import time

import pytest

from sycamorefield.fleet import clock
from sycamorefield.fleet import messages
from tests import rebornworkers
from tests import test_fleet_owner_chains
from tests import test_fleet_reborn_soak
from tests import test_fleet_takeover

# When owners change: around the waves of crashes.
CHANGES_S = ((4.0, 9.0), (14.5, 20.0))
TERMS_S = (0.7, 3.5)
# The share of owners that are stopped as planned; others are killed.
STOPPED_SHARE = 0.6
# Of these, 122 once showed a start that a chain of killed owners forgot.
SEEDS = (3, 122)


class DatedWorker(rebornworkers.RebornWorker):
    """A worker that states the time of day at which its life began."""

    def birth_ms(self, now: float) -> int:
        return int(clock.wall_ms() + (now - clock.now()) * 1000.0)


class Fleet(test_fleet_reborn_soak.RebornFleet):
    """A fleet whose owners are stopped or killed by a plan."""

    make_worker = DatedWorker

    def __init__(self, seed: int, late_share: float) -> None:
        super().__init__(seed, late_share)
        self.worker_list.entries = tuple(
            dataclasses.replace(
                entry, born_ms=self.workers[entry.worker_id].born_ms)
            for entry in self.worker_list.entries)
        self.changes_rng = random.Random(f"{seed}/owners")
        self.owners = 0
        self.process: test_fleet_owner_chains.Process | None = None

    def run(self) -> None:
        """Run the whole plan."""
        self.store.commit(messages.Transaction(puts=(messages.Put(
            test_fleet_takeover.CONFIG_KEY, b"any"),)))
        changes = threading.Thread(target=self._change_owners, daemon=True)
        changes.start()
        test_fleet_takeover.wait_for(lambda: self.owner is not None)
        self.follow_plan()
        changes.join()
        self.end()

    def _change_owners(self) -> None:
        self.process = test_fleet_owner_chains.Process(self)
        for begin_s, end_s in CHANGES_S:
            at = self.began_at + begin_s
            while at < self.began_at + end_s:
                at += self.changes_rng.uniform(*TERMS_S)
                time.sleep(max(0.0, at - clock.now()))
                if self.changes_rng.random() < STOPPED_SHARE:
                    self.process.stop_as_planned()
                else:
                    self.process.kill()
                self.process = test_fleet_owner_chains.Process(self)
                self.owners += 1


@pytest.mark.parametrize("late_share", [0.0, 0.5])
@pytest.mark.parametrize("seed", test_fleet_reborn_soak.seeds(
    "SYCAMOREFIELD_REBORN_OWNERS_SEEDS", SEEDS))
def test_no_task_runs_twice_as_owners_change_beside_workers_that_restart(
        seed, late_share):
    """Guards against starts that an owner sent and its successors forget."""
    fleet = Fleet(seed, late_share)
    fleet.run()
    ended = sum(run.how == messages.DONE
                for runs in fleet.history.runs.values() for run in runs)
    print(f"seed {seed}, late share {late_share}: {fleet.jobs} jobs, {ended} "
          f"runs done, {fleet.history.late_calls} calls carried out late, "
          f"{fleet.owners} changes of the owner")
    assert not fleet.history.overlaps()
    assert not fleet.history.repeats()
    assert ended > fleet.jobs / 2
