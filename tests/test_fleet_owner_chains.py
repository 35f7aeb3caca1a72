"""Test that waits of an owner go on, and do not begin anew, under the next."""

import threading
import time
import typing

import pytest

from sycamorefield.fleet import clock
from sycamorefield.fleet import controlwatcher
from sycamorefield.fleet import messages
from sycamorefield.fleet import ownership as ownership_mod
from sycamorefield.fleet import records
from sycamorefield.fleet import recovery
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import workerstate
from tests import fleetfakes
from tests import test_fleet_takeover as takeover

# Shorter than in use, so that a chain of owners takes seconds.
LEASE_MS = 1000.0
LEASE_EXPIRY_S = ((LEASE_MS + workerstate.LEASE_END_SLACK_MS) / 1000.0
                  / workerstate.MIN_CLOCK_RATE)
STORE_OUTAGE_S = 2.0
# The longest wait of a single takeover.
TAKEOVER_WAIT_S = STORE_OUTAGE_S + LEASE_EXPIRY_S
# Time to detect silence, store it and place.
MARGIN_S = 1.0


@pytest.fixture(autouse=True)
def fixture_short_leases(monkeypatch):
    monkeypatch.setattr(workerstate, "LEASE_MS", LEASE_MS)
    monkeypatch.setattr(workerstate, "LEASE_EXPIRY_S", LEASE_EXPIRY_S)
    monkeypatch.setattr(recovery, "MAX_STORE_OUTAGE_S", STORE_OUTAGE_S)


class Process:
    """An entry process that owns the fleet until it stops."""

    def __init__(self, fleet: takeover.Fleet) -> None:
        self.fleet = fleet
        fleet.at_end.append(self.kill)
        self.watcher = controlwatcher.ControlWatcher(
            fleet.store, takeover.CONFIG_KEY,
            lambda _: fleetfakes.configuration())
        self.ownership = ownership_mod.Ownership(
            fleet.store, self.watcher, "p", self.make_owner)
        for target in (self.watcher.run, self.ownership.run):
            threading.Thread(target=target, daemon=True).start()

    def make_owner(self, fence: int) -> typing.Any:
        owner = takeover.owner_mod.Owner(
            self.fleet.store, self.fleet.worker_list,
            lambda entry: self.fleet.workers[entry.worker_id],
            fleetfakes.configuration, fence, takeover.HOLD_MAX_MS)
        self.fleet.owner = owner
        return owner

    def stop_as_planned(self) -> None:
        self.watcher.stopped.set()
        self.ownership.stop()

    def kill(self) -> None:
        """End without a word; the lease in the store expires at once."""
        self.watcher.stopped.set()
        self.ownership.stopped.set()
        owner = self.ownership.owner
        if owner is not None:
            owner.step_down("killed")
            self.fleet.store.end_lease(self.ownership.lease_id)


@pytest.fixture(name="fleet")
def fixture_fleet() -> typing.Iterator[takeover.Fleet]:
    fleet = takeover.Fleet(workers=5)
    fleet.store.commit(messages.Transaction(
        puts=(messages.Put(takeover.CONFIG_KEY, b"any"),)))
    yield fleet
    fleet.end()


def start_process(fleet: takeover.Fleet) -> Process:
    """Start a process and wait until it schedules the fleet."""
    before = fleet.owner
    process = Process(fleet)
    takeover.wait_for(lambda: fleet.owner is not before
                      and fleet.owner.recovered)
    return process


def silence_worker_of(fleet: takeover.Fleet, name: str
                      ) -> fleetfakes.MemoryWorker:
    """Let the worker that runs a task answer no calls; return it."""
    worker = next(w for w in fleet.workers.values()
                  if any(str(task) == name for task, _ in w.runs))
    worker.unresponsive = True
    return worker


class Chain(typing.NamedTuple):
    """How the owners of a chain end, and how long each one lasts."""

    end: typing.Callable[[Process], None]
    term_s: float


@pytest.mark.parametrize("chain", [
    Chain(Process.stop_as_planned, 0.4), Chain(Process.stop_as_planned, 0.8),
    Chain(Process.kill, 0.8), Chain(Process.kill, 1.2)])
def test_chain_of_owners_delays_a_task_by_one_takeover_at_most(fleet, chain):
    """Guards against waits for a silent worker that each owner begins anew."""
    process = start_process(fleet)
    fleet.submit(fleetfakes.job("a"))
    takeover.wait_for(lambda: fleet.running() == ["a.0.0.0"])
    worker = silence_worker_of(fleet, "a.0.0.0")
    # Nothing can start while there is no owner.
    owned_s = 0.0
    owned_since = clock.now()
    while fleet.starts().count("a.0.0.0") == 1:
        assert owned_s < TAKEOVER_WAIT_S + MARGIN_S
        time.sleep(chain.term_s)
        owned_s += clock.now() - owned_since
        chain.end(process)
        process = start_process(fleet)
        owned_since = clock.now()
    assert worker.clock() > worker.lease_end_ms
    process.stop_as_planned()
    assert records.OWNER_KEY not in fleet.store.items


# Terms that end before a silence of silentworkers.MIN_SILENCE_S, and as many
# processes as may own the fleet within the limit.
SHORT_TERM_S = 0.2
SHORT_TERMS = 24


def test_owners_killed_right_after_their_claim_delay_a_task_by_one_takeover(
        fleet):
    """Guards against waits for a lost worker that go on with each claim.

    The processes that follow have seen the claims of the killed owners.
    """
    start_process(fleet).kill()
    processes = [Process(fleet) for _ in range(SHORT_TERMS)]
    takeover.wait_for(lambda: owner_of(processes) is not None)
    fleet.submit(fleetfakes.job("a"))
    takeover.wait_for(lambda: fleet.running() == ["a.0.0.0"])
    worker = silence_worker_of(fleet, "a.0.0.0")
    lost_at = clock.now()
    while fleet.starts().count("a.0.0.0") == 1:
        assert clock.now() - lost_at < (
            state_mod.QUORUM_WINDOW_S + LEASE_EXPIRY_S + 2 * MARGIN_S)
        process = owner_of(processes)
        process.kill()
        processes.remove(process)
        takeover.wait_for(lambda: owner_of(processes) is not None)
        time.sleep(SHORT_TERM_S)
    assert worker.clock() > worker.lease_end_ms
    for process in processes:
        process.watcher.stopped.set()
        process.ownership.stop()


def owner_of(processes: list[Process]) -> Process | None:
    """Return the process that schedules the fleet, if any."""
    return next((p for p in processes
                 if p.ownership.owner is not None
                 and p.ownership.owner.recovered), None)


def test_downtime_of_a_task_goes_on_under_the_next_owner(fleet):
    """Guards against a task that is down and never goes before others.

    Owners that change often would each count its downtime from zero.
    """
    process = start_process(fleet)
    fleet.submit(fleetfakes.job("a", messages.Step(
        1, messages.Resources(4000, 1000), perpetual=True)))
    takeover.wait_for(lambda: fleet.running() == ["a.0.0.0"])
    fleet.submit(fleetfakes.job("b", messages.Step(
        4, messages.Resources(4000, 1000))))
    takeover.wait_for(lambda: len(fleet.running()) == 5)
    silence_worker_of(fleet, "a.0.0.0")
    terms, term_s = 4, 0.9
    for _ in range(terms):
        time.sleep(term_s)
        process.stop_as_planned()
        process = start_process(fleet)
    job = fleet.owner.fleet.jobs["a"]
    takeover.wait_for(lambda: job.down_since)
    # The first owner sees the task run; the others store it every 0.5 s.
    assert job.downtime_s(clock.now()) > (terms - 1) * term_s / 2
    process.stop_as_planned()
