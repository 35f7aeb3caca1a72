"""Follow the list of workers, with a link to each."""

import typing

from sycamorefield.fleet import clock
from sycamorefield.fleet import link as link_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import surroundings

WorkerFactory = typing.Callable[[messages.WorkerEntry], surroundings.Worker]
MayAct = typing.Callable[[], bool]


class WorkerLinks:
    """Hold the links to all workers that are listed, or may run something.

    addresses tells where workers in use are by the stored list of an earlier
    owner, or None if there is none.
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
        self.closed = False

    def send_order(self, worker_id: str, order: state_mod.Order) -> None:
        """Hand an order to the link of its worker."""
        link = self.links.get(worker_id)
        if link is not None:
            link.orders.put(order)

    def acknowledge_ends(self, stored_upto: dict[str, int]) -> None:
        """Let workers forget ends up to the numbers that are stored."""
        for worker_id, number in stored_upto.items():
            link = self.links.get(worker_id)
            if link is not None:
                link.mark_seen(number)

    def close(self) -> None:
        """End all links after the calls under way, and any begun later."""
        self.closed = True
        for link in list(self.links.values()):
            link.close()

    def update_workers(self, entries: tuple[messages.WorkerEntry, ...],
                       read_at: float | None = None) -> None:
        """Take up all workers listed, then begin to speak to the new ones.

        The lock is taken once: taken for each, others get it in between, and
        workers that come back together are used again one by one.
        """
        with self.fleet.lock:
            links = [self._add_worker(entry) for entry in entries]
            self.fleet.unlist(
                {entry.worker_id for entry in entries},
                clock.now() if read_at is None else read_at)
        for link in links:
            self._start_link(link)

    def _add_worker(self, entry: messages.WorkerEntry
                    ) -> link_mod.WorkerLink | None:
        """Take up a worker; return its link if it is a new one."""
        old_link = self.links.get(entry.worker_id)
        if not self.fleet.add_worker(entry):
            return None
        if old_link is not None:
            old_link.close()
        link = link_mod.WorkerLink(
            entry, self.connect(entry), self.fleet, self.may_act,
            self.may_lease, self.step_down)
        if old_link is not None:
            link.recorded_upto = old_link.recorded_upto
        self.links[entry.worker_id] = link
        return link

    def connect_unlisted(self) -> None:
        """Ask workers in use that the list has lost, at their address."""
        addresses = self.stored_addresses()
        for worker_id in list(self.fleet.unheard):
            if worker_id in self.links or not addresses:
                continue
            entry = messages.WorkerEntry(
                worker_id, "", addresses[worker_id], "", False,
                messages.Room(), ())
            link = self._add_worker(entry)
            with self.fleet.lock:
                self.fleet.workers[worker_id].listed = False
            self._start_link(link)

    def _start_link(self, link: link_mod.WorkerLink | None) -> None:
        if link is None:
            return
        link.start()
        if self.closed:
            link.close()

    def close_removed(self) -> None:
        """End the links to workers that are given up."""
        for worker_id, link in list(self.links.items()):
            if worker_id not in self.fleet.workers:
                link.close()
                del self.links[worker_id]
