"""Let entry processes reach the owner of each cell, over gRPC.

PeerServer answers for the cells owned here.  PeerLink is the one task per
peer: it asks the peer every period what its cells have room for, what its
customers use and how its workers interfere, and carries single calls to
the peer in between.
"""

import dataclasses
import threading
import time
import typing

import grpc

from sycamorefield import cell as cell_mod
from sycamorefield import cells as cells_mod
from sycamorefield import channels
from sycamorefield import events
from sycamorefield import jobtable
from sycamorefield import membership
from sycamorefield import options
from sycamorefield import rulebook
from sycamorefield import sycamorefield_pb2 as pb
from sycamorefield import sycamorefield_pb2_grpc as pb_grpc

CALL_TIMEOUT = 3.0
STATUS_TIMEOUT = 1.0
COMMIT_TIMEOUT = 2.0
STATUS_PERIOD = 0.5
STALE_SECONDS = 5.0

ACCEPTED = "accepted"
EXISTS = "exists"
NOT_OWNER = "not-owner"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
FOUND = "found"
ABSENT = "absent"


class PeerServer(pb_grpc.PeerServicer):
    """Answer the peers about the cells owned here."""

    def __init__(self, opts: options.Options, name: str,
                 cells: cells_mod.Cells, book: rulebook.Rulebook) -> None:
        self.opts = opts
        self.name = name
        self.cells = cells
        self.book = book

    def Submit(self, request: pb.SubmitRequest,
               context: grpc.ServicerContext | None) -> pb.SubmitReply:
        cell = self.cells.get(request.cell)
        if cell is None:
            return pb.SubmitReply(outcome=NOT_OWNER)
        table = cell.table
        with cell.lock:
            known = table.get(request.job.job_id)
            if known is not None and (known.state == jobtable.MOVED
                                      and known.hops < request.job.hops):
                # The job left here earlier and comes back: what we know
                # is where it went then.  A repeated hand-over of a copy
                # that we had taken has no more hops than our own record.
                known = None
            if known is None:
                if not table.healthy or table.full():
                    # Refuse before anything is recorded, so that "not
                    # run" is true: a job staged while the store is down
                    # might be committed after its caller was told no.
                    return pb.SubmitReply(
                        outcome=NOT_RUN,
                        detail="store unavailable" if not table.healthy
                        else "cell is full")
                arrived = jobtable.JobRecord.from_message(request.job)
                arrived.arrived_at = time.time()
                table.stage(arrived)
        version = table.version_of(request.job.job_id)
        if not table.wait(version, COMMIT_TIMEOUT):
            return pb.SubmitReply(outcome=UNKNOWN)
        if known is not None:
            return pb.SubmitReply(outcome=EXISTS, job=known.to_message())
        cell.wake.set()
        return pb.SubmitReply(outcome=ACCEPTED, job=request.job)

    def Show(self, request: pb.JobQuery,
             context: grpc.ServicerContext | None) -> pb.ShowReply:
        cell = self.cells.get(request.cell)
        if cell is None:
            return pb.ShowReply(outcome=NOT_OWNER)
        return _shown(cell.table.get(request.job_id))

    def Cancel(self, request: pb.JobQuery,
               context: grpc.ServicerContext | None) -> pb.ShowReply:
        cell = self.cells.get(request.cell)
        if cell is None:
            return pb.ShowReply(outcome=NOT_OWNER)
        if not cell.table.wait(cell.cancel(request.job_id), COMMIT_TIMEOUT):
            return pb.ShowReply(outcome=UNKNOWN)
        return _shown(cell.table.get(request.job_id))

    def Status(self, request: pb.StatusRequest,
               context: grpc.ServicerContext | None) -> pb.StatusReply:
        statuses = []
        for cell in self.cells.all():
            room = cell.free_capacity()
            statuses.append(pb.CellStatus(
                cell=cell.number, room=pb.Resources(
                    cpus=room.cpus, memory_mb=room.memory_mb,
                    accelerators=room.accelerators),
                queued=len(cell.table.in_state(jobtable.QUEUED)),
                workers=[pb.WorkerStatus(worker=link.machine.name,
                                         interference=link.interference)
                         for link in cell.links.values()
                         if link.interference]))
        ruleset = self.book.current
        newer = ruleset.revision > request.rules_revision
        return pb.StatusReply(
            entry=self.name, cells=statuses,
            rules_revision=ruleset.revision,
            rules=(rulebook.encode(list(ruleset.rules)) if newer else b""),
            usage=[pb.CustomerUsage(customer=c, cpus=v)
                   for c, v in sorted(self.cells.usage().items())])


def _shown(record: jobtable.JobRecord | None) -> pb.ShowReply:
    if record is None:
        return pb.ShowReply(outcome=ABSENT)
    return pb.ShowReply(outcome=FOUND, job=record.to_message())


def serve(server: PeerServer, host: str, port: int) -> grpc.Server:
    """Start answering peers on host:port; return the gRPC server."""
    listener = channels.server(threads=32)
    pb_grpc.add_PeerServicer_to_server(server, listener)
    listener.add_insecure_port(f"{host}:{port}")
    listener.start()
    return listener


@dataclasses.dataclass
class PeerLink:
    """The connection to one peer and what it last said of itself."""

    member: membership.Member
    asker: str
    book: rulebook.Rulebook

    def __post_init__(self) -> None:
        self.channel = channels.connect(self.member.address)
        self.stub = pb_grpc.PeerStub(self.channel)
        self.stopped = threading.Event()
        self.status = pb.StatusReply()
        self.heard_at = 0.0

    def run(self) -> None:
        """Ask the peer for its status every period until stopped."""
        while not self.stopped.wait(STATUS_PERIOD):
            try:
                self.status = self.stub.Status(
                    pb.StatusRequest(
                        asker=self.asker,
                        rules_revision=self.book.current.revision),
                    timeout=STATUS_TIMEOUT)
            except grpc.RpcError:
                continue
            self.heard_at = time.monotonic()
            # The store may be down since it accepted a change that this
            # peer has seen and we have not; the revision decides.
            if self.status.rules_revision > self.book.current.revision:
                self.book.offer(rulebook.parse(
                    self.status.rules, self.status.rules_revision))
        self.channel.close()

    def fresh(self) -> bool:
        """Return whether the peer answered lately."""
        return time.monotonic() - self.heard_at < STALE_SECONDS


class Peers:
    """Every peer of this entry process, and calls to cell owners."""

    def __init__(self, opts: options.Options, name: str,
                 server: PeerServer,
                 members: membership.Membership) -> None:
        self.opts = opts
        self.name = name
        self.server = server
        self.members = members
        self.lock = threading.Lock()
        self.links: dict[str, PeerLink] = {}
        self.stopped = threading.Event()
        self.own = pb.StatusReply()

    def run(self) -> None:
        """Keep one link per live peer and move jobs that wait here."""
        while not self.stopped.wait(STATUS_PERIOD):
            self.refresh_links()
            self.own = self.server.Status(pb.StatusRequest(
                rules_revision=self.server.book.current.revision), None)
            self.move_jobs()
        for link in self.links.values():
            link.stopped.set()

    def refresh_links(self) -> None:
        """Open links to new members and close those of members gone."""
        live = {n: m for n, m in self.members.members.items()
                if n != self.members.id}
        with self.lock:
            for name, link in list(self.links.items()):
                if live.get(name) != link.member:
                    link.stopped.set()
                    del self.links[name]
            for name, member in live.items():
                if name not in self.links:
                    link = PeerLink(member, self.name, self.server.book)
                    self.links[name] = link
                    threading.Thread(target=link.run, daemon=True,
                                     name=f"peer-{name}").start()

    def statuses(self) -> list[pb.StatusReply]:
        """Return what is known now of every entry process, this one too."""
        with self.lock:
            return [self.own] + [link.status for link in self.links.values()
                                 if link.fresh()]

    def interference(self) -> dict[str, float]:
        """Return the last reported interference per worker."""
        return {w.worker: w.interference for status in self.statuses()
                for cell in status.cells for w in cell.workers}

    def usage(self) -> dict[str, float]:
        """Return the processors per customer at the peers, as last heard.

        It is as old as the peers' last status, so a burst may overshoot a
        quota by what the peers place within a status period.
        """
        out: dict[str, float] = {}
        for status in self.statuses()[1:]:
            cells_mod.add_usage(
                out, {used.customer: used.cpus for used in status.usage})
        return out

    def move_target(self, leaving: int, demand: options.Capacity) -> int:
        """Return another cell with room for demand, or NO_CELL."""
        best, best_cpus = jobtable.NO_CELL, 0.0
        for status in self.statuses():
            for cell in status.cells:
                room = options.Capacity(cell.room.cpus, cell.room.memory_mb,
                                        cell.room.accelerators)
                if (cell.cell != leaving and not cell.queued
                        and room.fits(options.ZERO, demand)
                        and room.cpus > best_cpus):
                    best, best_cpus = cell.cell, room.cpus
        return best

    def _call(self, cell: int, method: str, request: typing.Any,
              unknown: typing.Any, not_owner: typing.Any) -> typing.Any:
        owner = self.members.owner_of(cell)
        if owner is None:
            return not_owner
        if owner.id == self.members.id:
            return getattr(self.server, method)(request, None)
        if owner.id not in self.links:
            self.refresh_links()
        with self.lock:
            link = self.links.get(owner.id)
        if link is None:
            return not_owner
        try:
            return getattr(link.stub, method)(request, timeout=CALL_TIMEOUT)
        except grpc.RpcError:
            return unknown

    def submit(self, cell: int, record: jobtable.JobRecord
               ) -> pb.SubmitReply:
        """Hand a job to the owner of a cell."""
        return self._call(cell, "Submit",
                          pb.SubmitRequest(cell=cell, job=record.to_message()),
                          pb.SubmitReply(outcome=UNKNOWN),
                          pb.SubmitReply(outcome=NOT_OWNER))

    def show(self, cell: int, job_id: str) -> pb.ShowReply:
        """Ask the owner of a cell for a job."""
        return self._call(cell, "Show",
                          pb.JobQuery(cell=cell, job_id=job_id),
                          pb.ShowReply(outcome=UNKNOWN),
                          pb.ShowReply(outcome=NOT_OWNER))

    def cancel(self, cell: int, job_id: str) -> pb.ShowReply:
        """Ask the owner of a cell to cancel a job."""
        return self._call(cell, "Cancel",
                          pb.JobQuery(cell=cell, job_id=job_id),
                          pb.ShowReply(outcome=UNKNOWN),
                          pb.ShowReply(outcome=NOT_OWNER))

    def move_jobs(self) -> None:
        """Hand each job marked as moving to the cell it moves to."""
        for cell in self.server.cells.all():
            for record in cell.table.in_state(jobtable.MOVING):
                if cell.table.durable(record.job_id):
                    self._move(cell, record)
            self._end_pointer(cell)

    def _end_pointer(self, cell: cell_mod.Cell) -> None:
        """End the oldest pointer whose job has ended, one a round."""
        pointers = cell.table.in_state(jobtable.MOVED)
        if not pointers:
            return
        oldest = min(pointers, key=lambda r: r.finished_at)
        age = time.time() - oldest.finished_at
        if age < self.opts.timings.job_retention:
            return
        reply = self.show(oldest.moved_to, oldest.job_id)
        ended = reply.outcome == ABSENT or (
            reply.outcome == FOUND and reply.job.state in jobtable.FINISHED)
        with cell.lock:
            now = cell.table.get(oldest.job_id)
            if now is None or now.state != jobtable.MOVED:
                return
            if ended:
                now.state = reply.job.state or jobtable.DONE
            # Otherwise look at it again a retention later.
            now.finished_at = time.time()
            cell.table.stage(now)

    def _move(self, cell: cell_mod.Cell, record: jobtable.JobRecord) -> None:
        # The mark is durable before the job is handed over, and the target
        # takes a job id once, so a crash on either side at any point leads
        # to the same hand-over again and to one copy that can run.
        arriving = dataclasses.replace(
            record, state=jobtable.QUEUED, worker="",
            moved_to=jobtable.NO_CELL, hops=record.hops + 1)
        reply = self.submit(record.moved_to, arriving)
        with cell.lock:
            now = cell.table.get(record.job_id)
            if now is None or now.state != jobtable.MOVING:
                return
            if reply.outcome in (ACCEPTED, EXISTS):
                now.state = jobtable.MOVED
                now.finished_at = time.time()
                events.emit(events.JOB_MOVED, job=record.job_id,
                            cell=cell.number, to=record.moved_to)
            elif reply.outcome == NOT_RUN:
                now.state = jobtable.QUEUED
                now.moved_to = jobtable.NO_CELL
            else:
                return
            cell.table.stage(now)

    def stop(self) -> None:
        """Stop the links."""
        self.stopped.set()
