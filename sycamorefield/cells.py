"""Run the cells that this entry process owns and map jobs to cells."""

import threading
import typing

import uhashring

from sycamorefield import cell as cell_mod
from sycamorefield import jobtable
from sycamorefield import kvclient
from sycamorefield import membership
from sycamorefield import options
from sycamorefield import strategy


def add_usage(total: dict[str, float], added: dict[str, float]) -> None:
    """Add CPUs per customer to a total, in place."""
    for customer, cpus in added.items():
        total[customer] = total.get(customer, 0.0) + cpus


class Cells:
    """The cells owned by this process, following its membership's claims."""

    def __init__(self, opts: options.Options, name: str,
                 kv: kvclient.Client, chosen_strategy: strategy.Strategy,
                 members: membership.Membership) -> None:
        self.opts = opts
        self.name = name
        self.kv = kv
        self.strategy = chosen_strategy
        self.members = members
        self.ring = uhashring.HashRing(nodes=list(range(opts.cells)))
        self.lock = threading.Lock()
        self.owned: dict[int, cell_mod.Cell] = {}
        self.counters = cell_mod.Counters()
        self.remote_usage: typing.Callable[[], dict[str, float]] = dict
        self.move_target: typing.Callable[[int, options.Capacity], int] = (
            lambda leaving, demand: jobtable.NO_CELL)
        members.on_claim = self.start_cell
        members.on_release = self.stop_cell

    def home_cell(self, job_id: str) -> int:
        """Return the cell in which a job is recorded first."""
        return self.ring.get_node(job_id)

    def start_cell(self, claim: membership.Claim) -> None:
        """Start scheduling a cell that this process has claimed."""
        table = jobtable.JobTable(
            self.kv, claim.cell, self.name, claim.fence,
            self.opts.commit_interval_s, self.opts.timings.job_retention)
        owned = cell_mod.Cell(
            self.opts, claim.cell, claim.fence, table, self.strategy,
            self.name, self.members.lease_valid, self.counters)
        owned.fleet_usage = self.fleet_usage
        owned.move_target = self.move_target
        with self.lock:
            self.owned[claim.cell] = owned
        threading.Thread(target=owned.run, daemon=True,
                         name=f"cell-{claim.cell}").start()

    def stop_cell(self, number: int, still_owned: bool) -> None:
        """Stop scheduling a cell; commit staged changes if still owned."""
        with self.lock:
            owned = self.owned.pop(number, None)
        if owned is not None:
            owned.stop(flush=still_owned)

    def get(self, number: int) -> cell_mod.Cell | None:
        """Return a loaded cell, or None if this process doesn't own it."""
        with self.lock:
            owned = self.owned.get(number)
        if owned is None or not owned.loaded or owned.table.ownership_lost:
            return None
        return owned if self.members.lease_valid() else None

    def all(self) -> list[cell_mod.Cell]:
        """Return every owned, loaded cell."""
        with self.lock:
            return [c for c in self.owned.values() if c.loaded]

    def usage(self) -> dict[str, float]:
        """Return the CPUs placed per customer in this process's cells."""
        cpus_placed: dict[str, float] = {}
        for cell in self.all():
            add_usage(cpus_placed, cell.usage())
        return cpus_placed

    def fleet_usage(self) -> dict[str, float]:
        """Return the CPUs placed per customer in the whole fleet."""
        cpus_placed = self.usage()
        add_usage(cpus_placed, self.remote_usage())
        return cpus_placed

    def workers(self) -> list[str]:
        """Return the names of the workers in this process's cells."""
        return sorted(name for cell in self.all() for name in cell.links)
