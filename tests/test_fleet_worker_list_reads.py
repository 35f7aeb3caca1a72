"""Test how soon capacity that joins the fleet is used."""

import dataclasses
import time
import typing

import pytest

from sycamorefield.fleet import messages
from sycamorefield.fleet import owner as owner_mod
from tests import fleetfakes
from tests import test_fleet_takeover as takeover

# Longer than any time that is checked here.
LIST_PERIOD_S = 10.0
# A read of the list, the first report of a worker, a round and a start.
STARTS_WITHIN_S = owner_mod.DOWN_TASKS_LIST_PERIOD_S + 0.6
SINGLE = messages.Step(1, messages.Resources(4000, 1000), perpetual=True)
GANG = messages.Step(2, messages.Resources(4000, 1000), perpetual=True,
                     gang=True)
FINITE = messages.Step(1, messages.Resources(4000, 1000))


class CountingWorkerList(fleetfakes.MemoryWorkerList):
    """Count the reads of a list."""

    reads = 0
    # How long each of them takes.
    read_s = 0.0

    def workers(self) -> tuple[messages.WorkerEntry, ...]:
        self.reads += 1
        time.sleep(self.read_s)
        return super().workers()


@pytest.fixture(name="fleet")
def fixture_fleet(monkeypatch) -> typing.Iterator[takeover.Fleet]:
    """Yield a fleet of two workers whose list is read rarely."""
    monkeypatch.setattr(owner_mod, "WORKER_LIST_PERIOD_S", LIST_PERIOD_S)
    fleet = takeover.LeasedFleet()
    fleet.worker_list = CountingWorkerList(fleet.worker_list.entries)
    yield fleet
    if fleet.owner is not None:
        fleet.owner.step_down("test over")


def run_job(fleet: takeover.Fleet, step: messages.Step) -> list[str]:
    """Start a job and return the names of its tasks."""
    fleet.submit(fleetfakes.job("a", step))
    takeover.wait_for(lambda: len(fleet.running()) == step.count)
    return fleet.running()


def replace_workers(fleet: takeover.Fleet, step: messages.Step) -> None:
    """Let the tasks of a job fail on workers that drain; then add others."""
    owner = fleet.owner
    assert owner is not None
    fleet.worker_list.entries = tuple(
        dataclasses.replace(entry, draining=True)
        for entry in fleet.worker_list.entries)
    owner.worker_links.update_workers(fleet.worker_list.entries)
    for worker in list(fleet.workers.values()):
        for task, _ in list(worker.runs):
            worker.finish(task, messages.FAILED)
    takeover.wait_for(lambda: not fleet.running())
    # Until the tasks have been found to fit nowhere.
    time.sleep(0.5)
    joining = [fleetfakes.entry(n) for n in range(2, 2 + step.count)]
    for entry in joining:
        fleet.workers[entry.worker_id] = fleetfakes.MemoryWorker(
            entry.worker_id)
    fleet.worker_list.entries += tuple(
        dataclasses.replace(entry, born_ms=1_000) for entry in joining)


@pytest.mark.parametrize("step", [SINGLE, GANG])
def test_task_that_is_down_starts_soon_on_workers_that_join(fleet, step):
    """Guards against a task that is down while a worker is free but unlisted.

    Where workers are replaced one after the other more often than the list is
    read, one of them is always free and tasks stay down beside it.
    """
    fleet.take_over()
    tasks = run_job(fleet, step)
    replace_workers(fleet, step)
    joined_at = time.monotonic()
    takeover.wait_for(lambda: fleet.running() == tasks)
    assert time.monotonic() - joined_at < STARTS_WITHIN_S


@pytest.mark.parametrize("step", [FINITE, SINGLE])
def test_list_is_not_read_more_often_while_no_task_is_down(fleet, step):
    """Guards against reads of the list whenever anything waits.

    On a full fleet some tasks always wait, and each read costs the store and
    the owner time in proportion to the number of workers.
    """
    fleet.take_over()
    run_job(fleet, dataclasses.replace(step, count=2))
    fleet.submit(fleetfakes.job("b", step))
    time.sleep(0.3)
    reads = fleet.worker_list.reads
    time.sleep(0.6)
    assert fleet.worker_list.reads == reads
    assert len(fleet.running()) == 2


def test_long_reads_of_the_list_are_not_made_more_often(fleet):
    """Guards against an owner of a large fleet that only reads the list."""
    fleet.worker_list.read_s = 0.1
    fleet.take_over()
    run_job(fleet, SINGLE)
    replace_workers(fleet, dataclasses.replace(SINGLE, count=0))
    reads = fleet.worker_list.reads
    time.sleep(2.2)
    assert 1 <= fleet.worker_list.reads - reads <= 3


def test_pause_between_reads_is_as_long_as_asked(fleet, monkeypatch):
    """Guards against a list that is read too seldom to show drains in time."""
    monkeypatch.setattr(owner_mod, "WORKER_LIST_PERIOD_S", 0.8)
    fleet.take_over()
    takeover.wait_for(lambda: fleet.worker_list.reads >= 1)
    since, reads = time.monotonic(), fleet.worker_list.reads
    takeover.wait_for(lambda: fleet.worker_list.reads == reads + 2)
    assert 1.5 < time.monotonic() - since < 2.2
