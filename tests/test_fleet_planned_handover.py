"""Test that planned changes of the owner delay no task."""

import asyncio
import threading
import typing

import pytest

from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import workerstate
from tests import fleetfakes
from tests import test_fleet_owner_chains as chains
from tests import test_fleet_takeover as takeover

WORKERS = 5
# Shorter than in use, but longer than the silence before a stop.
LEASE_MS = 3000.0
LEASE_EXPIRY_S = ((LEASE_MS + workerstate.LEASE_END_SLACK_MS) / 1000.0
                  / workerstate.MIN_CLOCK_RATE)
# Time to notice that leases have expired, and to place.
MARGIN_S = 0.5
# Longer than any wait of an owner.
LONGEST_WAIT_S = 14.0


@pytest.fixture(autouse=True)
def fixture_short_leases(monkeypatch):
    monkeypatch.setattr(workerstate, "LEASE_MS", LEASE_MS)
    monkeypatch.setattr(workerstate, "LEASE_EXPIRY_S", LEASE_EXPIRY_S)


class SilentWorker(fleetfakes.MemoryWorker):
    """Give no answer while silent, so that each call lasts its time limit."""

    silent = False

    def __init__(self, worker_id: str) -> None:
        super().__init__(worker_id)
        # When runs of each task started here.
        self.started_at: dict[str, list[float]] = {}

    async def renew(self, fence, recorded_upto, lease_end_ms, wait_ms,
                    answer_s=interfaces.REPORT_ANSWER_S):
        if self.silent:
            await asyncio.sleep(wait_ms / 1000.0 + answer_s)
            raise interfaces.CallFailed("no answer")
        return await super().renew(fence, recorded_upto, lease_end_ms,
                                   wait_ms, answer_s)

    async def start(self, order, fence, lease_end_ms):
        if self.silent:
            raise interfaces.CallFailed("no answer")
        answered_ms = await super().start(order, fence, lease_end_ms)
        self.started_at.setdefault(str(order.task), []).append(clock.now())
        return answered_ms


class WorkerList(fleetfakes.MemoryWorkerList):
    """A list that cannot be read at times."""

    readable = True

    def workers(self):
        if not self.readable:
            raise interfaces.CallFailed("no answer")
        return super().workers()


@pytest.fixture(name="fleet")
def fixture_fleet() -> typing.Iterator[takeover.Fleet]:
    fleet = takeover.Fleet(WORKERS)
    fleet.workers = {name: SilentWorker(name) for name in fleet.workers}
    fleet.worker_list = WorkerList(fleet.worker_list.entries)
    fleet.store.commit(messages.Transaction(
        puts=(messages.Put(takeover.CONFIG_KEY, b"any"),)))
    yield fleet
    fleet.end()


class Change(typing.NamedTuple):
    """Silent workers, since when, and the terms of the owners that follow."""

    silent_s: float
    silent_workers: int = 1
    # How long each further owner lasts until its planned stop; the owner
    # after the last one goes on.
    terms_s: tuple[float, ...] = ()
    # Whether the first successor is stopped before it has recovered.
    stops_unrecovered: bool = False


CHANGES = [
    Change(0.1), Change(1.0), Change(2.5),
    Change(0.1, terms_s=(0.4, 0.8)), Change(1.0, terms_s=(0.6,) * 2),
    Change(0.1, stops_unrecovered=True),
    Change(0.1, terms_s=(0.4,), stops_unrecovered=True),
    Change(0.1, silent_workers=3),
    Change(1.0, silent_workers=3, terms_s=(0.4,))]


def silence_workers(fleet: takeover.Fleet, count: int
                    ) -> list[SilentWorker]:
    """Run tasks that two workers can hold; silence workers, idle ones last.

    Return the silent workers.
    """
    fleet.submit(fleetfakes.job("a", messages.Step(
        4, messages.Resources(1900, 1000))))
    takeover.wait_for(lambda: len(fleet.running()) == 4)
    silent = sorted(fleet.workers.values(), key=lambda w: not w.runs)[:count]
    for worker in silent:
        worker.silent = True
    return silent


def stop_before_recovery(fleet: takeover.Fleet) -> None:
    """Let a process claim the fleet and stop before it has read its state."""
    before = fleet.owner
    fleet.worker_list.readable = False
    process = chains.Process(fleet)
    takeover.wait_for(lambda: process.ownership.owner not in (None, before))
    process.stop_as_planned()
    assert not fleet.owner.recovered
    fleet.worker_list.readable = True


def started_at(fleet: takeover.Fleet, name: str) -> list[float]:
    """Return when the runs of a task started, in order."""
    return sorted(at for worker in fleet.workers.values()
                  for at in worker.started_at.get(name, ()))


@pytest.mark.parametrize("change", CHANGES)
def test_planned_stops_delay_no_task(fleet, change):
    """Guards against waits longer than leases for workers that just died."""
    process = chains.start_process(fleet)
    silent = silence_workers(fleet, change.silent_workers)
    lost_tasks = {str(task) for worker in silent for task, _ in worker.runs}
    # The latest start of each task, by name.
    limits = dict.fromkeys(
        lost_tasks, clock.now() + LEASE_EXPIRY_S + MARGIN_S)
    threading.Event().wait(change.silent_s)
    for number, term_s in enumerate((*change.terms_s, 0.0)):
        stopped_at = clock.now()
        process.stop_as_planned()
        fleet.submit(fleetfakes.job(f"b{number}", messages.Step(
            1, messages.Resources(100, 100))))
        if change.stops_unrecovered and not number:
            stop_before_recovery(fleet)
        process = chains.start_process(fleet)
        unowned_s = clock.now() - stopped_at
        limits.update({name: limits[name] + unowned_s for name in lost_tasks})
        limits[f"b{number}.0.0.0"] = clock.now() + MARGIN_S
        threading.Event().wait(term_s)
    deadline = clock.now() + LONGEST_WAIT_S
    while clock.now() < deadline and not all(
            len(started_at(fleet, name)) > (name in lost_tasks)
            for name in limits):
        threading.Event().wait(0.02)
    late_s = {name: round(started_at(fleet, name)[name in lost_tasks] - limit,
                          2) for name, limit in limits.items()}
    assert not {name: late for name, late in late_s.items() if late > 0}
    assert all(worker.clock() > worker.lease_end_ms for worker in silent)
    assert all(len(started_at(fleet, name)) == 1 + (name in lost_tasks)
               for name in (*limits, *fleet.running()))
    process.stop_as_planned()
