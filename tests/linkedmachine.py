"""A simulated fleet whose owner reaches workers over links to addresses.

It extends test_fleet_machine.FleetMachine by the address that each link
calls, workers that a process can't reach, workers that are down before they
start again, and reads of the worker list that fail.  The links of workerlinks
are used without their threads: calls are made by the simulation.
"""

import dataclasses
import math
import typing

from sycamorefield.fleet import crashes
from sycamorefield.fleet import link as link_mod
from sycamorefield.fleet import loopthread
from sycamorefield.fleet import messages
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import workerlinks as workerlinks_mod
from tests import test_fleet_machine

OK, SILENT, REFUSED, REPLACED = "ok", "silent", "refused", "replaced"


class NoThread(loopthread.LoopThread):
    """Run nothing: the simulation makes the calls."""

    def spawn(self, coroutine: loopthread.Coroutine) -> None:
        coroutine.close()

    def call_soon(self, callback: typing.Callable[[], object]) -> None:
        return


@dataclasses.dataclass
class Client:
    """The address that a link calls."""

    address: str

    def close(self) -> None:
        """Do nothing: there is no connection."""


def make_links(fleet: state_mod.FleetState,
               stored_addresses: typing.Callable[[], dict[str, str] | None]
               ) -> workerlinks_mod.WorkerLinks:
    """Return links that make no calls; their workers are only addresses."""
    links = workerlinks_mod.WorkerLinks(
        fleet, lambda entry: Client(entry.address), stored_addresses,
        lambda: True, lambda: True, lambda reason: None)
    links.loop_thread.loop.close()
    links.loop_thread = NoThread.__new__(NoThread)
    return links


@dataclasses.dataclass
class LinkOrder(test_fleet_machine.SentOrder):
    """An order in flight over a link; it is lost if the link is closed."""

    link: link_mod.WorkerLink | None = None


class LinkedMachine(test_fleet_machine.FleetMachine):
    """Simulate an owner and its links to workers."""

    def __init__(self) -> None:
        self.links_by_fence: dict[int, workerlinks_mod.WorkerLinks] = {}
        # The workers that a process can't reach, by the name of the process.
        self.cut: dict[str, set[str]] = {}
        # Workers that are not running; they start again under their IDs.
        self.down: set[str] = set()
        # Former addresses at which calls get no answer instead of a refusal.
        self.silent_addresses: set[str] = set()
        self.list_fails = False
        super().__init__()

    # Links

    def links(self) -> workerlinks_mod.WorkerLinks:
        """Return the links of the present term."""
        return self.links_by_fence[self.fleet.fence]

    def _expect_workers(self) -> None:
        recorder = self.recorder
        links = make_links(self.fleet, lambda: recorder.stored_addresses)
        self.links_by_fence[self.fleet.fence] = links
        super()._expect_workers()
        links.connect_unlisted()

    def _read_worker_list(self) -> None:
        if self.list_fails:
            return
        links = self.links()
        links.update_workers(tuple(
            worker.listed_entry for worker in self.workers.values()
            if worker.alive
            or worker.entry.worker_id in self.undetected_crashes), self.now)
        links.close_removed()

    def _send(self, worker_id: str, order: state_mod.Order) -> None:
        self.links().send_order(worker_id, order)

    def take_orders(self) -> None:
        """Take the queued orders from the links; drop those of closed ones."""
        links = self.links().links
        self.orders_in_flight = [
            sent for sent in self.orders_in_flight
            if links.get(sent.worker_id) is sent.link and not sent.link.closed]
        for worker_id, link in links.items():
            while len(link.orders) and not link.closed:
                order = link.orders.pop()
                if order is not None:
                    self.orders_in_flight.append(LinkOrder(
                        worker_id, order, self.fleet.fence, 0.0, link=link))

    def reach(self, worker_id: str) -> str:
        """Return what a call over the link to a worker meets."""
        link = self.links().links[worker_id]
        if worker_id in self.cut.get(self.process.identity, ()):
            return SILENT
        address = link.worker.address
        there = [w for w in self._alive() if w.entry.address == address]
        if not there:
            return SILENT if address in self.silent_addresses else REFUSED
        if there[0].entry.worker_id in self.down:
            return REFUSED
        return OK if there[0].entry.worker_id == worker_id else REPLACED

    # Calls

    def _report(self, worker: test_fleet_machine.SimulatedWorker,
                answered: bool) -> None:
        worker_id = worker.entry.worker_id
        link = self.links().links.get(worker_id)
        if link is None or worker_id not in self.fleet.workers:
            return
        met = self.reach(worker_id)
        if met == OK:
            link.refusals = 0
            # Entries come from the worker list alone.
            store_down, self.store_down = self.store_down, True
            super()._report(worker, answered)
            self.store_down = store_down
            return
        self._grant_lease(worker_id)
        if met == REPLACED:
            link.closed = True
            crashes.worker_replaced(self.fleet, worker_id)
            self.undetected_crashes.pop(worker_id, None)
            return
        self.fleet.mark_unresponsive(worker_id, met)
        link.refusals += met == REFUSED
        if (link.refusals >= link_mod.REFUSALS_OF_CRASH
                and self.fleet.has_listened(worker_id)):
            crashes.worker_refused_connection(self.fleet, worker_id)
            self.undetected_crashes.pop(worker_id, None)

    def call_all(self, answered: typing.Callable[[], bool]) -> None:
        """Request a report over each link."""
        for worker_id in list(self.links().links):
            if not self.has_owner:
                return
            self._report(self.workers[worker_id], answered())

    def order_arrives(self, call_outcome: str) -> None:
        """Deliver or lose the oldest order; unreachable workers get none."""
        if self.orders_in_flight:
            sent = self.orders_in_flight[0]
            if (self.links().links.get(sent.worker_id) is not sent.link
                    or sent.link.closed):
                self.orders_in_flight.pop(0)
                return
            if self.reach(sent.worker_id) != OK:
                call_outcome = "lost"
        super().order_arrives(call_outcome)

    def all_orders_arrive(self) -> None:
        """Deliver the orders that are queued now."""
        self.take_orders()
        for _ in range(len(self.orders_in_flight)):
            if self.has_owner:
                self.order_arrives("answered")

    # Faults of workers

    def move(self, worker: test_fleet_machine.SimulatedWorker,
             silently: bool) -> None:
        """Start a worker again under its ID, with another port."""
        address = worker.entry.address
        self._end_worker(worker, keeps_id=True)
        new = self.workers[worker.entry.worker_id]
        host, port = address.split(":")
        new.entry = dataclasses.replace(
            new.entry, address=f"{host}:{int(port) + 1}")
        if silently:
            self.silent_addresses.add(address)

    def stop_worker(self, worker: test_fleet_machine.SimulatedWorker) -> None:
        """End a worker that will start again later, under its ID."""
        self._end_worker(worker, keeps_id=True)
        self.down.add(worker.entry.worker_id)
        self.workers[worker.entry.worker_id].born_at = math.inf

    def start_stopped(self) -> None:
        """Start all workers that are down."""
        for worker_id in self.down:
            self.workers[worker_id].born_at = self.now
        self.down.clear()

    def drain(self, worker: test_fleet_machine.SimulatedWorker) -> None:
        """Announce that a worker will exit."""
        worker.entry = dataclasses.replace(worker.entry, draining=True)

    def _count_crash(self, task: messages.TaskId) -> None:
        """Count crashes without a bound: some of them leave no evidence."""
        self.crash_counts[task] = self.crash_counts.get(task, 0) + 1
