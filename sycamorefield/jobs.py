"""Keep batch and standing jobs in the key-value service and run them.

A job is written to /jobs/<id> when it is accepted, so that it survives the
loss of the entry process that took it.  An entry process places a queued
job on a worker it owns by compare-and-swap of the record from "queued" to
"placed" (naming worker and task) and only then asks the worker to start
it; the record's revision decides between racing entry processes.  The
owner of each worker follows its tasks through the worker's reports, which
also renew their leases, and moves records to "done" or back to "queued"
(with the checkpointed progress) when a task ends or is evicted.
"""

import dataclasses
import threading
import time
import typing

import grpc
from returns import result

from sycamorefield import events
from sycamorefield import kvclient
from sycamorefield import membership
from sycamorefield import options
from sycamorefield import placement
from sycamorefield import sycamorefield_pb2 as pb
from sycamorefield import sycamorefield_pb2_grpc as pb_grpc

PREFIX = "/jobs/"
QUEUED = "queued"
PLACED = "placed"
DONE = "done"
FAILED = "failed"
MAX_ATTEMPTS = 5
PRIORITY_ORDER = {"urgent": 0, "normal": 1, "low": 2}
CALL_TIMEOUT = 1.0


@dataclasses.dataclass
class JobRecord:
    """A job as stored: what it is, where it runs and how far it got."""

    job_id: str
    customer: str
    work: str
    kind: str
    priority: str
    state: str = QUEUED
    worker: str = ""
    task_id: str = ""
    progress: float = 0.0
    attempts: int = 0
    evictions: int = 0
    accepted_at: float = 0.0
    placed_at: float = 0.0
    finished_at: float = 0.0

    def encode(self) -> bytes:
        """Encode the record as stored."""
        return kvclient.encode(dataclasses.asdict(self))

    @classmethod
    def decode(cls, raw: bytes) -> "JobRecord":
        """Decode a stored record."""
        return cls(**kvclient.decode(raw))


@dataclasses.dataclass
class Stored:
    """A record with the revision it was read at."""

    record: JobRecord
    revision: int


class Board:
    """Read and write job records with compare-and-swap."""

    def __init__(self, kv: kvclient.Client) -> None:
        self.kv = kv

    def accept(self, record: JobRecord) -> kvclient.Outcome[int]:
        """Write a new job record; fail if the id is taken."""
        return self.kv.cas(PREFIX + record.job_id, 0, record.encode()).bind(
            lambda swap: result.Success(swap.revision) if swap.succeeded
            else result.Failure(kvclient.KvError("ALREADY_EXISTS",
                                                 record.job_id)))

    def get(self, job_id: str) -> kvclient.Outcome[Stored | None]:
        """Return the stored job, or None."""
        return self.kv.get(PREFIX + job_id).map(
            lambda item: Stored(JobRecord.decode(item.value),
                                item.mod_revision) if item else None)

    def all(self) -> kvclient.Outcome[list[Stored]]:
        """Return every stored job."""
        return self.kv.range(PREFIX).map(lambda reply: [
            Stored(JobRecord.decode(item.value), item.mod_revision)
            for item in reply.items])

    def swap(self, stored: Stored, record: JobRecord) -> bool:
        """Replace stored by record if nobody changed it since."""
        outcome = self.kv.cas(PREFIX + record.job_id, stored.revision,
                              record.encode())
        return outcome.map(lambda s: s.succeeded).value_or(False)


@dataclasses.dataclass
class WorkerView:
    """What the owner knows of a worker from its last report."""

    claim: membership.Claim
    machine: options.Machine
    stub: pb_grpc.WorkerStub
    reply: pb.ReportReply | None = None
    placed: dict[str, options.Capacity] = dataclasses.field(
        default_factory=dict)
    acknowledged: list[str] = dataclasses.field(default_factory=list)

    def candidate(self) -> placement.Candidate:
        """Return this worker as a placement candidate."""
        committed = options.ZERO
        for demand in self.placed.values():
            committed = committed.plus(demand)
        interference = self.reply.interference if self.reply else 0.0
        return placement.Candidate(
            self.machine.name, self.machine.zone, self.machine.capacity,
            committed, self.machine.slots - len(self.placed), interference)


class Scheduler:
    """Place queued jobs on owned workers and follow their tasks."""

    def __init__(self, opts: options.Options, name: str,
                 board: Board, policy: placement.Policy) -> None:
        self.opts = opts
        self.name = name
        self.board = board
        self.policy = policy
        self.lock = threading.Lock()
        self.views: dict[str, WorkerView] = {}
        self.channels: dict[str, grpc.Channel] = {}
        self.stopped = threading.Event()
        self.evictions = 0
        self.finished = 0
        self.holds: typing.Callable[[], bool] = lambda: True

    def claimed(self, claim: membership.Claim) -> None:
        """Start following a worker this process now owns."""
        machine = self.opts.machine(claim.worker)
        channel = grpc.insecure_channel(
            f"{self.opts.host}:{machine.grpc_port}")
        view = WorkerView(claim, machine, pb_grpc.WorkerStub(channel))
        with self.lock:
            self.views[claim.worker] = view
            self.channels[claim.worker] = channel
        threading.Thread(target=self.follow, args=(view,),
                         name=f"peer-{claim.worker}", daemon=True).start()

    def released(self, worker: str) -> None:
        """Stop following a worker this process no longer owns."""
        with self.lock:
            self.views.pop(worker, None)
            channel = self.channels.pop(worker, None)
        if channel is not None:
            channel.close()

    def _current(self, view: WorkerView) -> bool:
        with self.lock:
            return self.views.get(view.machine.name) is view

    def follow(self, view: WorkerView) -> None:
        """Renew task leases on one worker and settle finished tasks."""
        while not self.stopped.is_set() and self._current(view):
            try:
                reply = view.stub.Report(
                    pb.ReportRequest(fence=view.claim.fence, owner=self.name,
                                     acknowledged=view.acknowledged),
                    timeout=CALL_TIMEOUT)
            except grpc.RpcError:
                self.stopped.wait(self.opts.timings.report)
                continue
            view.reply = reply
            self._settle(view, reply)
            self.stopped.wait(self.opts.timings.report)

    def _settle(self, view: WorkerView, reply: pb.ReportReply) -> None:
        running = {}
        recorded = []
        for task in reply.tasks:
            if task.state == "running":
                running[task.task_id] = options.Capacity(
                    task.declared.cpus, task.declared.memory_mb,
                    task.declared.accelerators)
            elif self._finish(task):
                recorded.append(task.task_id)
        view.placed = running
        view.acknowledged = recorded

    def _finish(self, task: pb.TaskStatus) -> bool:
        """Record an ended task's outcome; return whether it is recorded."""
        found = self.board.get(task.job_id)
        if not isinstance(found, result.Success):
            return False
        got = found.unwrap()
        if got is None or got.record.task_id != task.task_id:
            return True
        if got.record.state != PLACED:
            return True
        record = dataclasses.replace(got.record)
        if task.state == "done":
            record.state = DONE
            record.progress = 1.0
            record.finished_at = time.time()
            event = events.TASK_FINISHED
        else:
            record.state = QUEUED
            record.progress = task.progress
            record.evictions += 1
            event = events.TASK_EVICTED
        if not self.board.swap(got, record):
            return False
        if record.state == DONE:
            self.finished += 1
        else:
            self.evictions += 1
        events.emit(event, job=record.job_id, worker=record.worker,
                    task=task.task_id, state=task.state,
                    progress=round(task.progress, 3))
        return True

    def place_forever(self) -> None:
        """Place queued jobs every report period until stopped."""
        while not self.stopped.wait(self.opts.timings.report / 2):
            self.place_once()

    def place_once(self) -> int:
        """Try to place each queued job once; return how many started."""
        found = self.board.all()
        if not isinstance(found, result.Success):
            return 0
        stored_jobs = found.unwrap()
        self._reconcile(stored_jobs)
        queued = [s for s in stored_jobs if s.record.state == QUEUED]
        queued.sort(key=lambda s: (PRIORITY_ORDER.get(s.record.priority, 1),
                                   s.record.accepted_at))
        started = 0
        for stored in queued:
            # A paused process wakes up with claims it may no longer hold;
            # placing nothing until the lease is known live keeps its stale
            # fences away from the workers in the first place.
            if self.stopped.is_set() or not self.holds():
                break
            started += self._place(stored)
        return started

    def _reconcile(self, stored_jobs: list[Stored]) -> None:
        # A start whose reply was lost leaves a record "placed" on a worker
        # that may or may not run the task.  The worker's own report
        # decides: once a report newer than the placement (by a task lease)
        # lacks the task, the task is not running and never will, since an
        # unrenewed task lapses, so the job may go back to the queue.
        with self.lock:
            views = dict(self.views)
        for stored in stored_jobs:
            record = stored.record
            view = views.get(record.worker)
            if record.state != PLACED or view is None or view.reply is None:
                continue
            margin = record.placed_at + 2 * self.opts.timings.task_lease
            if view.reply.measured_at < margin:
                continue
            if any(t.task_id == record.task_id for t in view.reply.tasks):
                continue
            self.board.swap(stored, dataclasses.replace(
                record, state=QUEUED, worker=""))

    def _place(self, stored: Stored) -> int:
        work = self.opts.work[stored.record.work]
        with self.lock:
            views = list(self.views.values())
        chosen = self.policy.choose(work.demand,
                                    [v.candidate() for v in views])
        if chosen is None:
            return 0
        view = next(v for v in views if v.machine.name == chosen.name)
        record = dataclasses.replace(stored.record)
        record.attempts += 1
        record.state = PLACED if record.attempts <= MAX_ATTEMPTS else FAILED
        record.worker = chosen.name
        record.task_id = f"{record.job_id}.{record.attempts}"
        record.placed_at = time.time()
        if not self.board.swap(stored, record):
            return 0
        if record.state == FAILED:
            return 0
        # The record names worker and task before the start is sent, so an
        # entry process that dies here leaves a record that the worker's
        # next owner can check against the worker's own task list.
        view.placed[record.task_id] = work.demand
        return self._start(view, record, work, stored.revision)

    def _start(self, view: WorkerView, record: JobRecord,
               work: options.Work, revision: int) -> int:
        request = pb.StartTaskRequest(
            task_id=record.task_id, job_id=record.job_id, work=work.name,
            declared=pb.Resources(cpus=work.demand.cpus,
                                  memory_mb=work.demand.memory_mb,
                                  accelerators=work.demand.accelerators),
            run_seconds=work.run_seconds, fence=view.claim.fence,
            owner=self.name, progress=record.progress, noise=work.noise,
            lease_ms=int(self.opts.timings.task_lease * 1000))
        try:
            reply = view.stub.StartTask(request, timeout=CALL_TIMEOUT)
        except grpc.RpcError:
            reply = pb.TaskReply(accepted=False, reason="unreachable")
        if reply.accepted:
            events.emit(events.TASK_STARTED, job=record.job_id,
                        worker=record.worker, task=record.task_id,
                        fence=view.claim.fence)
            return 1
        view.placed.pop(record.task_id, None)
        if reply.reason != "unreachable":
            events.emit(events.TASK_REFUSED, job=record.job_id,
                        worker=record.worker, reason=reply.reason)
            self._requeue(record)
        return 0

    def _requeue(self, record: JobRecord) -> None:
        got = self.board.get(record.job_id).value_or(None)
        if got is None or got.record.task_id != record.task_id:
            return
        again = dataclasses.replace(got.record, state=QUEUED, worker="")
        self.board.swap(got, again)

    def stop(self) -> None:
        """Stop placing and following."""
        self.stopped.set()


def new_record(job_id: str, customer: str, work: options.Work,
               priority: str) -> JobRecord:
    """Return the record of a newly accepted job."""
    return JobRecord(job_id=job_id, customer=customer, work=work.name,
                     kind=work.kind, priority=priority,
                     accepted_at=time.time())
