"""Hold the cells that this entry process owns and say whose a job is."""

import threading
import typing

import uhashring

from sycamorefield import cell as cell_mod
from sycamorefield import jobtable
from sycamorefield import kvclient
from sycamorefield import membership
from sycamorefield import options
from sycamorefield import strategy


def add_usage(total: dict[str, float], more: dict[str, float]) -> None:
    """Add processors per customer to a total."""
    for customer, cpus in more.items():
        total[customer] = total.get(customer, 0.0) + cpus


class Cells:
    """The cells owned here, kept in step with the membership's claims."""

    def __init__(self, opts: options.Options, name: str,
                 kv: kvclient.Client, plan: strategy.Strategy,
                 members: membership.Membership) -> None:
        self.opts = opts
        self.name = name
        self.kv = kv
        self.strategy = plan
        self.members = members
        self.ring = uhashring.HashRing(nodes=list(range(opts.cells)))
        self.lock = threading.Lock()
        self.owned: dict[int, cell_mod.Cell] = {}
        self.counters = cell_mod.Counters()
        self.usage_elsewhere: typing.Callable[[], dict[str, float]] = dict
        self.move_target: typing.Callable[[int, options.Capacity], int] = (
            lambda leaving, demand: jobtable.NO_CELL)
        members.on_claim = self.claimed
        members.on_release = self.released

    def home(self, job_id: str) -> int:
        """Return the cell where a job is first recorded."""
        return self.ring.get_node(job_id)

    def claimed(self, claim: membership.Claim) -> None:
        """Start running a cell this process now owns."""
        table = jobtable.JobTable(
            self.kv, claim.cell, self.name, claim.fence,
            self.opts.commit_interval_s, self.opts.timings.job_retention)
        owned = cell_mod.Cell(self.opts, claim.cell, claim.fence, table,
                              self.strategy, self.name,
                              self.members.lease_valid, self.counters)
        owned.usage_everywhere = self.usage_everywhere
        owned.move_target = self.move_target
        with self.lock:
            self.owned[claim.cell] = owned
        threading.Thread(target=owned.run, daemon=True,
                         name=f"cell-{claim.cell}").start()

    def released(self, number: int, held: bool) -> None:
        """Stop running a cell; commit what is staged if still held."""
        with self.lock:
            owned = self.owned.pop(number, None)
        if owned is not None:
            owned.stop(flush=held)

    def get(self, number: int) -> cell_mod.Cell | None:
        """Return an owned, loaded cell, or None when it is not ours."""
        with self.lock:
            owned = self.owned.get(number)
        if owned is None or not owned.loaded or owned.table.lost:
            return None
        return owned if self.members.lease_valid() else None

    def all(self) -> list[cell_mod.Cell]:
        """Return every owned, loaded cell."""
        with self.lock:
            return [c for c in self.owned.values() if c.loaded]

    def usage(self) -> dict[str, float]:
        """Return the processors placed per customer in the cells here."""
        out: dict[str, float] = {}
        for cell in self.all():
            add_usage(out, cell.usage())
        return out

    def usage_everywhere(self) -> dict[str, float]:
        """Return the processors placed per customer in the whole fleet."""
        out = self.usage()
        add_usage(out, self.usage_elsewhere())
        return out

    def workers(self) -> list[str]:
        """Return the names of the workers followed here."""
        return sorted(name for cell in self.all() for name in cell.links)
