"""Maintain the membership of entry processes and the ownership of cells.

Each entry process holds a lease in the key-value service and a key
/members/<id> bound to that lease, which contains its address for the peers.
The id is the process's name and its lease, so that a process and its
replacement under the same name are two members while both run.

An owner claims /owners/<cell> under its own lease, and the mod_revision of
the claim is the fencing token that every worker of the cell checks.  When a
member's lease expires, its claims are removed with it and other members
claim the cells.  Members balance the cells without a coordinator: each one
releases the cells beyond its share.
"""

import dataclasses
import threading
import time
import typing

from sycamorefield import events
from sycamorefield import kvclient
from sycamorefield import options

MEMBERS_PREFIX = "/members/"
OWNERS_PREFIX = "/owners/"


@dataclasses.dataclass(frozen=True)
class Claim:
    """The ownership of a cell by this process, with its fencing token."""

    cell: int
    fence: int


@dataclasses.dataclass(frozen=True)
class Member:
    """A live entry process: its zone and the address of its peer server."""

    name: str
    zone: str
    address: str
    lease: int

    @property
    def id(self) -> str:
        """Return the member id, which is never reused."""
        return member_id(self.name, self.lease)


def member_id(name: str, lease: int) -> str:
    """Return the id of the member with this name and lease."""
    return f"{name}.{lease}"


class Membership:
    """The lease and claims of this member and the list of live members."""

    def __init__(self, kv: kvclient.Client, opts: options.Options,
                 name: str) -> None:
        self.kv = kv
        self.opts = opts
        self.name = name
        self.lease = 0
        self.renewed_at = 0.0
        self.members: dict[str, Member] = {}
        self.owners: dict[int, str] = {}
        self.claims: dict[int, Claim] = {}
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        self.on_claim: typing.Callable[[Claim], None] = lambda claim: None
        self.on_release: typing.Callable[[int, bool], None] = (
            lambda cell, lease_valid: None)

    def join(self) -> bool:
        """Get a lease and write the member key; return whether it worked."""
        ttl_ms = int(self.opts.timings.member_ttl * 1000)
        asked_at = time.monotonic()
        granted = self.kv.grant(ttl_ms)
        if not isinstance(granted, kvclient.result.Success):
            return False
        if not self._write_member_key(granted.unwrap()):
            return False
        self.lease = granted.unwrap()
        self.renewed_at = asked_at
        events.emit(events.MEMBER_JOINED, member=self.id)
        return True

    def _write_member_key(self, lease: int) -> bool:
        """Write the member key; return whether the store accepted it."""
        spec = self.opts.entry(self.name)
        member = Member(self.name, spec.zone,
                        f"{self.opts.host}:{spec.grpc_port}", lease)
        put = self.kv.put(MEMBERS_PREFIX + member.id,
                          kvclient.encode(dataclasses.asdict(member)), lease)
        return isinstance(put, kvclient.result.Success)

    @property
    def id(self) -> str:
        """Return the member id of this process under its current lease."""
        return member_id(self.name, self.lease)

    def run(self) -> None:
        """Renew the lease and adjust the claims to the members, repeatedly."""
        while not self.stopped.is_set():
            if not self.lease and not self.join():
                self.stopped.wait(self.opts.timings.heartbeat)
                continue
            asked_at = time.monotonic()
            renewed = self.kv.keep_alive(self.lease)
            if renewed.value_or(-1) > 0:
                self.renewed_at = asked_at
            if renewed.value_or(-1) == 0 or not self.lease_valid():
                # The lease expired while this process was paused or could
                # not reach the store: the member key and the claims are
                # gone or soon will be, and another member may already own
                # the cells.  By the local clock the lease is over once its
                # TTL has passed since the last successful renewal was sent,
                # whatever the store answers.  Drop every claim and join
                # again with a new lease.
                events.emit(events.LEASE_LOST, member=self.id)
                self._drop_claims()
                self.lease = 0
                continue
            self.refresh()
            self.stopped.wait(self.opts.timings.heartbeat)

    def lease_valid(self) -> bool:
        """Return whether the lease is still valid by the local clock."""
        return bool(self.lease) and (time.monotonic() - self.renewed_at
                                     < self.opts.timings.member_ttl)

    def refresh(self) -> None:
        """Read members and owners, then claim or release cells."""
        members_read = self.kv.range(MEMBERS_PREFIX)
        if not isinstance(members_read, kvclient.result.Success):
            return
        members = {}
        for item in members_read.unwrap().items:
            member = Member(**kvclient.decode(item.value))
            members[member.id] = member
        for gone in sorted(set(self.members) - set(members)):
            events.emit(events.MEMBER_LEFT, member=gone)
        self.members = members
        owners_read = self.kv.range(OWNERS_PREFIX)
        if not isinstance(owners_read, kvclient.result.Success):
            return
        self.owners = {int(item.key[len(OWNERS_PREFIX):]):
                       kvclient.decode(item.value)["owner"]
                       for item in owners_read.unwrap().items}
        if self.id not in members:
            # The member key is gone although the lease is valid (deleted
            # by an operator's mistake or by a late delete).  Without it,
            # peers cannot reach the cells that this process owns.
            self._write_member_key(self.lease)
            return
        for cell in self._cells_to_claim():
            self._claim(cell)
        for cell in self._cells_to_release():
            self._release(cell)

    def _count_owned_cells(self) -> dict[str, int]:
        counts = dict.fromkeys(self.members, 0)
        for owner in self.owners.values():
            if owner in counts:
                counts[owner] += 1
        return counts

    def _cells_to_claim(self) -> list[int]:
        """Return the unowned cells that this member should claim now."""
        available = [cell for cell in range(self.opts.cells)
                     if self.owners.get(cell) in (None, self.id)
                     and cell not in self.claims]
        max_share = -(-self.opts.cells // len(self.members))
        own_count = self._count_owned_cells()[self.id]
        # Each member starts at a different offset, so that two rarely race
        # for the same cell.  Losing a race is harmless: it costs one write.
        member_ids = sorted(self.members)
        offset = member_ids.index(self.id) * max_share
        available.sort(key=lambda cell: (cell - offset) % self.opts.cells)
        already_owned = [c for c in available if self.owners.get(c) == self.id]
        return (already_owned
                + [c for c in available if c not in already_owned]
                [:max(0, max_share - own_count)])

    def _cells_to_release(self) -> list[int]:
        """Return the cells that this member should release now."""
        counts = self._count_owned_cells()
        cells = sorted(self.claims)
        max_share = -(-self.opts.cells // len(self.members))
        min_share = self.opts.cells // len(self.members)
        if len(cells) > max_share:
            return cells[max_share:]
        if len(cells) > min_share and min(counts.values()) < min_share:
            max_count = max(counts.values())
            if self.id == min(n for n, c in counts.items() if c == max_count):
                return cells[-1:]
        return []

    def _claim(self, cell: int) -> None:
        value = kvclient.encode({"owner": self.id})
        swap = self.kv.cas(OWNERS_PREFIX + str(cell), 0, value, self.lease)
        if not isinstance(swap, kvclient.result.Success):
            return
        outcome = swap.unwrap()
        if outcome.succeeded:
            fence = outcome.revision
        elif outcome.current is not None and outcome.current.value == value:
            # An earlier claim under this lease whose reply was lost.
            fence = outcome.current.mod_revision
        else:
            return
        claim = Claim(cell, fence)
        with self.lock:
            self.claims[cell] = claim
        self.owners[cell] = self.id
        events.emit(events.CELL_CLAIMED, cell=cell, fence=fence)
        self.on_claim(claim)

    def _release(self, cell: int) -> None:
        with self.lock:
            claim = self.claims.pop(cell, None)
        if claim is None:
            return
        self.on_release(cell, True)
        self.kv.cas(OWNERS_PREFIX + str(cell), claim.fence, b"", delete=True)
        self.owners.pop(cell, None)
        events.emit(events.CELL_RELEASED, cell=cell)

    def _drop_claims(self) -> None:
        with self.lock:
            cells = list(self.claims)
            self.claims.clear()
        for cell in cells:
            self.on_release(cell, False)

    def leave(self) -> None:
        """Release every claim and revoke the lease, for a planned shutdown."""
        self.stopped.set()
        for cell in list(self.claims):
            self._release(cell)
        if self.lease:
            self.kv.revoke(self.lease)
        events.emit(events.MEMBER_LEFT, member=self.id)

    def current_claims(self) -> list[Claim]:
        """Return the current claims of this process."""
        with self.lock:
            return list(self.claims.values())

    def owner_of(self, cell: int) -> Member | None:
        """Return the live member that owns a cell, as of the last refresh."""
        return self.members.get(self.owners.get(cell, ""))
