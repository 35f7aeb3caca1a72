"""Connect entry processes to each other over gRPC.

PeerServer answers calls about the cells that this process owns.  PeerLink
has one thread per peer that polls the peer's status: the free capacity of
its cells, the processors its customers use and the interference on its
workers.  Calls about single jobs use the same connection.
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
from sycamorefield import rulecache
from sycamorefield import sycamorefield_pb2 as pb
from sycamorefield import sycamorefield_pb2_grpc as pb_grpc

CALL_TIMEOUT_S = 3.0
STATUS_TIMEOUT_S = 1.0
COMMIT_TIMEOUT_S = 2.0
STATUS_PERIOD_S = 0.5
MAX_STATUS_AGE_S = 5.0

ACCEPTED = "accepted"
EXISTS = "exists"
NOT_OWNER = "not-owner"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
FOUND = "found"
ABSENT = "absent"


class PeerServer(pb_grpc.PeerServicer):
    """Serve the Peer gRPC service for the cells this process owns."""

    def __init__(self, opts: options.Options, name: str,
                 cells: cells_mod.Cells,
                 rule_cache: rulecache.RuleCache) -> None:
        self.opts = opts
        self.name = name
        self.cells = cells
        self.rule_cache = rule_cache

    def Submit(self, request: pb.SubmitRequest,
               context: grpc.ServicerContext | None) -> pb.SubmitReply:
        cell = self.cells.get(request.cell)
        if cell is None:
            return pb.SubmitReply(outcome=NOT_OWNER)
        table = cell.table
        with cell.lock:
            existing = table.get(request.job.job_id)
            if existing is not None and (existing.state == jobtable.MOVED
                                         and existing.hops < request.job.hops):
                # The job moved away earlier and returns, so the existing
                # record is only its forwarding record.  A repeated transfer
                # of a copy accepted before has no more hops than that
                # record.
                existing = None
            if existing is None:
                if not table.healthy or table.full():
                    # Refuse before anything is recorded, so that "not
                    # run" is true: a job staged while the store is down
                    # might be committed after its caller was refused.
                    return pb.SubmitReply(
                        outcome=NOT_RUN,
                        detail="store unavailable" if not table.healthy
                        else "cell is full")
                record = jobtable.JobRecord.from_message(request.job)
                record.arrived_at = time.time()
                table.stage(record)
        version = table.version_of(request.job.job_id)
        if not table.wait(version, COMMIT_TIMEOUT_S):
            return pb.SubmitReply(outcome=UNKNOWN)
        if existing is not None:
            return pb.SubmitReply(outcome=EXISTS, job=existing.to_message())
        cell.wake.set()
        return pb.SubmitReply(outcome=ACCEPTED, job=request.job)

    def Show(self, request: pb.JobQuery,
             context: grpc.ServicerContext | None) -> pb.ShowReply:
        cell = self.cells.get(request.cell)
        if cell is None:
            return pb.ShowReply(outcome=NOT_OWNER)
        return _show_reply(cell.table.get(request.job_id))

    def Cancel(self, request: pb.JobQuery,
               context: grpc.ServicerContext | None) -> pb.ShowReply:
        cell = self.cells.get(request.cell)
        if cell is None:
            return pb.ShowReply(outcome=NOT_OWNER)
        if not cell.table.wait(cell.cancel(request.job_id), COMMIT_TIMEOUT_S):
            return pb.ShowReply(outcome=UNKNOWN)
        return _show_reply(cell.table.get(request.job_id))

    def Status(self, request: pb.StatusRequest,
               context: grpc.ServicerContext | None) -> pb.StatusReply:
        statuses = []
        for cell in self.cells.all():
            free = cell.free_capacity()
            statuses.append(pb.CellStatus(
                cell=cell.number, room=pb.Resources(
                    cpus=free.cpus, memory_mb=free.memory_mb,
                    accelerators=free.accelerators),
                queued=len(cell.table.in_state(jobtable.QUEUED)),
                workers=[pb.WorkerStatus(worker=link.machine.name,
                                         interference=link.interference)
                         for link in cell.links.values()
                         if link.interference]))
        ruleset = self.rule_cache.current
        has_newer_rules = ruleset.revision > request.rules_revision
        return pb.StatusReply(
            entry=self.name, cells=statuses,
            rules_revision=ruleset.revision,
            rules=(rulecache.encode(list(ruleset.rules))
                   if has_newer_rules else b""),
            usage=[pb.CustomerUsage(customer=c, cpus=v)
                   for c, v in sorted(self.cells.usage().items())])


def _show_reply(record: jobtable.JobRecord | None) -> pb.ShowReply:
    if record is None:
        return pb.ShowReply(outcome=ABSENT)
    return pb.ShowReply(outcome=FOUND, job=record.to_message())


def serve(server: PeerServer, host: str, port: int) -> grpc.Server:
    """Start and return the gRPC server for peers on host:port."""
    listener = channels.server(threads=32)
    pb_grpc.add_PeerServicer_to_server(server, listener)
    listener.add_insecure_port(f"{host}:{port}")
    listener.start()
    return listener


@dataclasses.dataclass
class PeerLink:
    """The connection to a peer and the last status it reported."""

    member: membership.Member
    own_name: str
    rule_cache: rulecache.RuleCache

    def __post_init__(self) -> None:
        self.channel = channels.connect(self.member.address)
        self.stub = pb_grpc.PeerStub(self.channel)
        self.stopped = threading.Event()
        self.status = pb.StatusReply()
        self.last_status_at = 0.0

    def run(self) -> None:
        """Poll the peer's status every STATUS_PERIOD_S until stopped."""
        while not self.stopped.wait(STATUS_PERIOD_S):
            try:
                self.status = self.stub.Status(
                    pb.StatusRequest(
                        asker=self.own_name,
                        rules_revision=self.rule_cache.current.revision),
                    timeout=STATUS_TIMEOUT_S)
            except grpc.RpcError:
                continue
            self.last_status_at = time.monotonic()
            # If the store went down right after it accepted a rule change,
            # the peer may know the change and this process may not.  The
            # rules with the higher revision apply.
            if self.status.rules_revision > self.rule_cache.current.revision:
                self.rule_cache.update_if_newer(rulecache.parse(
                    self.status.rules, self.status.rules_revision))
        self.channel.close()

    def has_recent_status(self) -> bool:
        """Return whether the last status is younger than MAX_STATUS_AGE_S."""
        return time.monotonic() - self.last_status_at < MAX_STATUS_AGE_S


class Peers:
    """The links to all peers, and the calls to owners of cells."""

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
        self.own_status = pb.StatusReply()

    def run(self) -> None:
        """Update links and transfer moving jobs until stopped."""
        while not self.stopped.wait(STATUS_PERIOD_S):
            self.update_links()
            self.own_status = self.server.Status(pb.StatusRequest(
                rules_revision=self.server.rule_cache.current.revision), None)
            self.transfer_moving_jobs()
        for link in self.links.values():
            link.stopped.set()

    def update_links(self) -> None:
        """Open links to new members and close links to departed ones."""
        live_peers = {n: m for n, m in self.members.members.items()
                      if n != self.members.id}
        with self.lock:
            for name, link in list(self.links.items()):
                if live_peers.get(name) != link.member:
                    link.stopped.set()
                    del self.links[name]
            for name, member in live_peers.items():
                if name not in self.links:
                    link = PeerLink(member, self.name, self.server.rule_cache)
                    self.links[name] = link
                    threading.Thread(target=link.run, daemon=True,
                                     name=f"peer-{name}").start()

    def statuses(self) -> list[pb.StatusReply]:
        """Return this process's status, then the recent ones of its peers."""
        with self.lock:
            return [self.own_status] + [
                link.status for link in self.links.values()
                if link.has_recent_status()]

    def interference(self) -> dict[str, float]:
        """Return the last reported interference by worker name."""
        return {w.worker: w.interference for status in self.statuses()
                for cell in status.cells for w in cell.workers}

    def usage(self) -> dict[str, float]:
        """Return the processors in use at the peers, by customer.

        The values are as old as the peers' last statuses, so a burst may
        exceed a quota by what the peers place within STATUS_PERIOD_S.
        """
        cpus_by_customer: dict[str, float] = {}
        for status in self.statuses()[1:]:
            cells_mod.add_usage(
                cpus_by_customer,
                {used.customer: used.cpus for used in status.usage})
        return cpus_by_customer

    def move_target(self, source_cell: int, demand: options.Capacity) -> int:
        """Return another cell with free capacity for demand, or NO_CELL.

        Cells with queued jobs are skipped; the cell with the most free
        processors is preferred.
        """
        best_cell, best_cpus = jobtable.NO_CELL, 0.0
        for status in self.statuses():
            for cell in status.cells:
                free = options.Capacity(cell.room.cpus, cell.room.memory_mb,
                                        cell.room.accelerators)
                if (cell.cell != source_cell and not cell.queued
                        and free.fits(options.ZERO_CAPACITY, demand)
                        and free.cpus > best_cpus):
                    best_cell, best_cpus = cell.cell, free.cpus
        return best_cell

    def _call(self, cell: int, method: str, request: typing.Any,
              on_rpc_error: typing.Any, on_no_owner: typing.Any) -> typing.Any:
        owner = self.members.owner_of(cell)
        if owner is None:
            return on_no_owner
        if owner.id == self.members.id:
            return getattr(self.server, method)(request, None)
        if owner.id not in self.links:
            self.update_links()
        with self.lock:
            link = self.links.get(owner.id)
        if link is None:
            return on_no_owner
        try:
            return getattr(link.stub, method)(request, timeout=CALL_TIMEOUT_S)
        except grpc.RpcError:
            return on_rpc_error

    def submit(self, cell: int, record: jobtable.JobRecord
               ) -> pb.SubmitReply:
        """Submit a job to the owner of a cell."""
        return self._call(cell, "Submit",
                          pb.SubmitRequest(cell=cell, job=record.to_message()),
                          pb.SubmitReply(outcome=UNKNOWN),
                          pb.SubmitReply(outcome=NOT_OWNER))

    def show(self, cell: int, job_id: str) -> pb.ShowReply:
        """Get a job's record from the owner of a cell."""
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

    def transfer_moving_jobs(self) -> None:
        """Transfer each job whose MOVING state is durable to its new cell.

        Also expires at most one forwarding record per cell.
        """
        for cell in self.server.cells.all():
            for record in cell.table.in_state(jobtable.MOVING):
                if cell.table.durable(record.job_id):
                    self._transfer_job(cell, record)
            self._expire_forwarding_record(cell)

    def _expire_forwarding_record(self, cell: cell_mod.Cell) -> None:
        """Finish the oldest forwarding record if its job has finished.

        Only one record is checked per call, and only if it is older than
        the job retention.
        """
        forwarding_records = cell.table.in_state(jobtable.MOVED)
        if not forwarding_records:
            return
        oldest = min(forwarding_records, key=lambda r: r.finished_at)
        age = time.time() - oldest.finished_at
        if age < self.opts.timings.job_retention:
            return
        reply = self.show(oldest.moved_to, oldest.job_id)
        job_finished = reply.outcome == ABSENT or (
            reply.outcome == FOUND and reply.job.state in jobtable.FINISHED)
        with cell.lock:
            current = cell.table.get(oldest.job_id)
            if current is None or current.state != jobtable.MOVED:
                return
            if job_finished:
                current.state = reply.job.state or jobtable.DONE
            # Otherwise check it again after another retention period.
            current.finished_at = time.time()
            cell.table.stage(current)

    def _transfer_job(self, cell: cell_mod.Cell,
                      record: jobtable.JobRecord) -> None:
        # The MOVING state is durable before the job is transferred, and the
        # target accepts a job id only once.  A crash on either side at any
        # point therefore repeats the same transfer and leaves one copy that
        # can run.
        transferred = dataclasses.replace(
            record, state=jobtable.QUEUED, worker="",
            moved_to=jobtable.NO_CELL, hops=record.hops + 1)
        reply = self.submit(record.moved_to, transferred)
        with cell.lock:
            current = cell.table.get(record.job_id)
            if current is None or current.state != jobtable.MOVING:
                return
            if reply.outcome in (ACCEPTED, EXISTS):
                current.state = jobtable.MOVED
                current.finished_at = time.time()
                events.emit(events.JOB_MOVED, job=record.job_id,
                            cell=cell.number, to=record.moved_to)
            elif reply.outcome == NOT_RUN:
                current.state = jobtable.QUEUED
                current.moved_to = jobtable.NO_CELL
            else:
                return
            cell.table.stage(current)

    def stop(self) -> None:
        """Stop run(), which then stops the links."""
        self.stopped.set()
