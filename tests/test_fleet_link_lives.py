"""Test links to workers that start again or move while calls are made."""

import asyncio
import dataclasses

import pytest

from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import link as link_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import workerlinks as workerlinks_mod
from tests import fleetfakes
from tests import livenessfakes
from tests import test_fleet_state

TASK = messages.TaskId("j", 0, 0, 0)


class FailingWorker(fleetfakes.MemoryWorker):
    """Fail each call with an error, after a callback."""

    def __init__(self, worker_id, error):
        super().__init__(worker_id)
        self.error = error
        self.before_failure = lambda: None

    async def _fail(self, *args):
        self.before_failure()
        raise self.error

    renew = start = stop = _fail


@pytest.fixture(name="bench")
def fixture_bench(monkeypatch):
    monkeypatch.setattr(link_mod.WorkerLink, "start",
                        lambda self, loop_thread: None)
    bench = test_fleet_state.Bench()
    bench.now = clock.now()
    return bench


def make_links(bench, worker):
    """Return links whose worker is the given one."""
    return workerlinks_mod.WorkerLinks(
        bench.state, lambda entry: worker, dict, lambda: True, lambda: True,
        lambda reason: None)


@pytest.mark.parametrize("call", ["renew", "stop"])
@pytest.mark.parametrize("error", [
    interfaces.IncarnationMismatch("another"),
    interfaces.ConnectionRefused("refused"),
    interfaces.CallFailed("no answer"),
    interfaces.OrderRejected(interfaces.UNHEALTHY)])
def test_call_to_an_ended_life_says_nothing_of_the_next(bench, call, error):
    """A new life was given up, or marked as silent, for a call to the old."""
    entry = dataclasses.replace(fleetfakes.entry(0), born_ms=1_000)
    worker = FailingWorker("i-0", error)
    links = make_links(bench, worker)
    links.update_workers((entry,))
    bench.report("i-0")
    link = links.links["i-0"]
    link.refusals = link_mod.REFUSALS_OF_CRASH - 1

    def start_again():
        bench.state.mark_dead("i-0", "lease expired")
        links.update_workers((dataclasses.replace(entry, born_ms=2_000),))

    worker.before_failure = start_again
    if call == "renew":
        asyncio.run(link._renew_leases())
    else:
        link.orders.put(messages.StopOrder(TASK, 1))
        asyncio.run(link._send_orders())
    assert links.links["i-0"] is not link
    assert "i-0" in bench.state.workers
    assert not bench.state.workers["i-0"].unresponsive


@pytest.mark.parametrize("is_silent", [True, False])
@pytest.mark.parametrize("stored", [True, False])
def test_worker_that_never_reported_is_called_at_its_new_address(
        is_silent, stored):
    """Its capacity was never used, as the outdated address was called on.

    The entry was outdated when a term began, or the worker was not listed
    and the stored address was.
    """
    fleet = livenessfakes.Deployment(workers=1, names="a")
    try:
        entry = fleet.entries["i-0"]
        moved = "10.0.0.9:80"
        fleet.listeners = {moved: fleet.worker("i-0")}
        if is_silent:
            fleet.silent_addresses.add(entry.address)
        if stored:
            fleet.store_workers_in_use()
            del fleet.entries["i-0"]
        fleet.start()
        process = fleet.processes["a"]
        livenessfakes.wait_for(lambda: len(process.owners) > 0 and any(
            worker.unresponsive
            for worker in process.owners[-1].fleet.workers.values()))
        fleet.entries["i-0"] = dataclasses.replace(
            entry, address=moved, born_ms=2_000)
        fleet.worker("i-0").restart()
        fleet.submit(fleetfakes.job("j"))
        livenessfakes.wait_for(lambda: fleet.running() == {"j.0.0.0"})
    finally:
        fleet.stop()
