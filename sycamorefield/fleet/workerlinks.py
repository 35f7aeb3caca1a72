"""Maintain a link to each worker of the fleet."""

import typing

from sycamorefield import events
from sycamorefield.fleet import addresses as addresses_mod
from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import link as link_mod
from sycamorefield.fleet import loopthread
from sycamorefield.fleet import messages
from sycamorefield.fleet import recordedends
from sycamorefield.fleet import records
from sycamorefield.fleet import state as state_mod

WorkerFactory = typing.Callable[[messages.WorkerEntry], interfaces.Worker]
MayAct = typing.Callable[[], bool]


class WorkerLinks:
    """Hold links to all workers that are listed or may have running tasks.

    stored_addresses returns the addresses of the workers in use by worker ID,
    as an earlier owner stored them, or None if nothing is stored.
    """

    def __init__(self, fleet: state_mod.FleetState, connect: WorkerFactory,
                 stored_addresses: typing.Callable[[], dict[str, str] | None],
                 may_act: MayAct, may_lease: MayAct,
                 step_down: typing.Callable[[str], None]) -> None:
        self.fleet = fleet
        self.connect = connect
        self.stored_addresses = stored_addresses
        self.may_act = may_act
        self.may_lease = may_lease
        self.step_down = step_down
        self.links: dict[str, link_mod.WorkerLink] = {}
        self.loop_thread = loopthread.LoopThread()
        self.closed = False

    def send_order(self, worker_id: str, order: state_mod.Order) -> None:
        """Queue an order on the link of its worker."""
        link = self.links.get(worker_id)
        if link is not None:
            link.put_order(order)

    def acknowledge_ends(
            self, stored_ends: dict[str, recordedends.LifeEnds]) -> None:
        """Acknowledge the ends of runs up to the stored numbers.

        Workers then stop reporting them.
        """
        for worker_id, ends in stored_ends.items():
            link = self.links.get(worker_id)
            if link is not None:
                link.acknowledge_ends(ends)

    def close(self) -> None:
        """Close all links after their calls in flight.

        Links that are started later are closed at once.
        """
        self.closed = True
        for link in list(self.links.values()):
            link.close()
        self.loop_thread.stop()

    def update_workers(self, entries: tuple[messages.WorkerEntry, ...],
                       read_at: float | None = None) -> None:
        """Apply the list of workers, then start links to the new ones.

        read_at is when the list was read, on clock.now(); by default now.
        The lock is taken once for all workers.  If it were taken for each,
        other threads would get it in between, and workers that return
        together would become usable one by one.
        """
        with self.fleet.lock:
            links = [self._add_worker(entry) for entry in entries]
            self.fleet.update_listed(
                {entry.worker_id for entry in entries},
                clock.now() if read_at is None else read_at)
        for link in links:
            self._start_link(link)

    def _add_worker(self, entry: messages.WorkerEntry
                    ) -> link_mod.WorkerLink | None:
        """Add or update a worker; return its link if the worker is new."""
        old_link = self.links.get(entry.worker_id)
        if not self.fleet.add_worker(entry):
            if old_link is not None:
                self._follow_address(old_link, entry)
            return None
        if old_link is not None:
            old_link.close()
        link = link_mod.WorkerLink(
            entry, self.connect(entry), self.fleet, self.may_act,
            self.may_lease, self.step_down)
        self.links[entry.worker_id] = link
        with self.fleet.lock:
            uncertain_runs = self.fleet.ended_lives.take_uncertain_runs(
                entry.worker_id)
        for task, run in uncertain_runs:
            # The start may have been sent to the life before and may still
            # be executed, now by this life.
            link.put_order(messages.StopOrder(task, run))
        return link

    def _follow_address(self, link: link_mod.WorkerLink,
                        entry: messages.WorkerEntry) -> None:
        """Call a worker that has never reported at its present address.

        Other workers are removed once they refuse connections or their leases
        have expired, and are then added with their present address.  A worker
        that has never reported has no leases that could expire.
        """
        worker = self.fleet.workers.get(entry.worker_id)
        if (worker is not None and not worker.clock_read_at
                and link.address != entry.address):
            link.change_address(entry.address, self.connect(entry))

    def connect_unlisted(self) -> None:
        """Contact workers in use that are no longer listed.

        Their addresses come from the stored list of workers in use.
        """
        addresses = self.stored_addresses()
        for worker_id in list(self.fleet.awaited_workers):
            if worker_id in self.links or not addresses:
                continue
            try:
                address = addresses_mod.require(addresses[worker_id])
            except ValueError as exc:
                # Its leases end without a call.
                events.emit(events.RECORD_UNREADABLE, key=records.WORKERS_KEY,
                            worker=worker_id, reason=str(exc)[:200])
                continue
            entry = messages.WorkerEntry(
                worker_id, "", address, "", False, messages.Resources(), ())
            link = self._add_worker(entry)
            with self.fleet.lock:
                self.fleet.workers[worker_id].listed = False
            self._start_link(link)

    def _start_link(self, link: link_mod.WorkerLink | None) -> None:
        if link is None:
            return
        link.start(self.loop_thread)
        if self.closed:
            link.close()

    def close_removed(self) -> None:
        """Close the links to workers that were removed from the fleet."""
        for worker_id, link in list(self.links.items()):
            if worker_id not in self.fleet.workers:
                link.close()
                del self.links[worker_id]
