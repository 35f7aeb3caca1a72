"""Keep an entry process in the membership table and divide the workers.

Each entry process holds a lease in the key-value service and a key
/members/<name> bound to it.  Workers are divided among the live members by
consistent hashing; an owner claims /owners/<worker> under its own lease, and
the claim's mod_revision is the fence every worker checks.  When a member's
lease lapses its claims vanish with it and the next owner claims them.
"""

import dataclasses
import threading
import time
import typing

import uhashring

from sycamorefield import events
from sycamorefield import kvclient
from sycamorefield import options

MEMBERS = "/members/"
OWNERS = "/owners/"


@dataclasses.dataclass(frozen=True)
class Claim:
    """This process's ownership of one worker, fenced by a revision."""

    worker: str
    fence: int


class Membership:
    """Hold this member's lease, the live members and the claims."""

    def __init__(self, kv: kvclient.Client, opts: options.Options,
                 name: str) -> None:
        self.kv = kv
        self.opts = opts
        self.name = name
        self.lease = 0
        self.renewed_at = 0.0
        self.members: tuple[str, ...] = ()
        self.claims: dict[str, Claim] = {}
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        self.on_claim: typing.Callable[[Claim], None] = lambda claim: None
        self.on_release: typing.Callable[[str], None] = lambda worker: None

    def join(self) -> bool:
        """Grant a lease and write the member key; False if the store fails."""
        ttl_ms = int(self.opts.timings.member_ttl * 1000)
        asked_at = time.monotonic()
        granted = self.kv.grant(ttl_ms)
        if not isinstance(granted, kvclient.result.Success):
            return False
        self.lease = granted.unwrap()
        self.renewed_at = asked_at
        value = kvclient.encode({"name": self.name,
                                 "zone": self.opts.entry(self.name).zone})
        put = self.kv.put(MEMBERS + self.name, value, self.lease)
        if isinstance(put, kvclient.result.Success):
            events.emit(events.MEMBER_JOINED, member=self.name,
                        lease=self.lease)
            return True
        return False

    def run(self) -> None:
        """Renew the lease and keep claims in step with the members."""
        while not self.stopped.is_set():
            if not self.lease and not self.join():
                self.stopped.wait(self.opts.timings.heartbeat)
                continue
            asked_at = time.monotonic()
            renewed = self.kv.keep_alive(self.lease)
            if renewed.value_or(-1) > 0:
                self.renewed_at = asked_at
            if renewed.value_or(-1) == 0 or not self.holds():
                # The lease lapsed while we were paused or cut off from the
                # store: our member key and claims are gone or soon will be,
                # and a successor may already own our workers.  By our own
                # clock the lease is over once a TTL has passed since the
                # last renewal we sent, whether or not the store said so;
                # drop every claim then and join again with a fresh lease.
                events.emit(events.LEASE_LOST, member=self.name,
                            lease=self.lease)
                self._drop_all()
                self.lease = 0
                continue
            self.refresh()
            self.stopped.wait(self.opts.timings.heartbeat)

    def holds(self) -> bool:
        """Return whether our lease is still live by our own clock."""
        return bool(self.lease) and (time.monotonic() - self.renewed_at
                                     < self.opts.timings.member_ttl)

    def refresh(self) -> None:
        """Read members and owners; claim or release workers to match."""
        found = self.kv.range(MEMBERS)
        if not isinstance(found, kvclient.result.Success):
            return
        members = tuple(sorted(item.key[len(MEMBERS):]
                               for item in found.unwrap().items))
        if members != self.members:
            for gone in set(self.members) - set(members):
                events.emit(events.MEMBER_LEFT, member=gone)
            self.members = members
        if self.name not in members:
            return
        ring = uhashring.HashRing(nodes=list(members))
        for machine in self.opts.machines:
            mine = ring.get_node(machine.name) == self.name
            if mine and machine.name not in self.claims:
                self._claim(machine.name)
            elif not mine and machine.name in self.claims:
                self._release(machine.name)

    def _claim(self, worker: str) -> None:
        value = kvclient.encode({"owner": self.name, "lease": self.lease})
        swap = self.kv.cas(OWNERS + worker, 0, value, self.lease)
        if not isinstance(swap, kvclient.result.Success):
            return
        outcome = swap.unwrap()
        if not outcome.succeeded:
            current = outcome.current
            holder = kvclient.decode(current.value) if current else None
            if not holder or holder.get("owner") != self.name:
                return
            fence = current.mod_revision if current else 0
        else:
            fence = outcome.revision
        claim = Claim(worker, fence)
        with self.lock:
            self.claims[worker] = claim
        events.emit(events.WORKER_CLAIMED, worker=worker, fence=fence)
        self.on_claim(claim)

    def _release(self, worker: str) -> None:
        with self.lock:
            claim = self.claims.pop(worker, None)
        if claim is None:
            return
        self.on_release(worker)
        self.kv.cas(OWNERS + worker, claim.fence, b"", delete=True)
        events.emit(events.WORKER_RELEASED, worker=worker)

    def _drop_all(self) -> None:
        with self.lock:
            workers = list(self.claims)
            self.claims.clear()
        for worker in workers:
            self.on_release(worker)

    def leave(self) -> None:
        """Release every claim and revoke the lease, for a planned stop."""
        self.stopped.set()
        for worker in list(self.claims):
            self._release(worker)
        if self.lease:
            self.kv.revoke(self.lease)
        events.emit(events.MEMBER_LEFT, member=self.name)

    def owned(self) -> list[Claim]:
        """Return this process's current claims."""
        with self.lock:
            return list(self.claims.values())


def wait_for(condition: typing.Callable[[], bool], seconds: float,
             step: float = 0.05) -> bool:
    """Poll condition until true or seconds pass; return its last value."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(step)
    return condition()
