"""Follow one worker of an owned cell: one task, written straight down.

The link renews the leases of the worker's tasks through its reports, sends
the starts and stops that the cell has committed, and hands ended tasks to
the cell to record.  When the worker stays out of reach the link stops
renewing; once every task lease must have lapsed, the worker counts as lost
and the cell may run its jobs elsewhere.
"""

import dataclasses
import math
import threading
import time
import typing

import grpc

from sycamorefield import channels
from sycamorefield import events
from sycamorefield import jobtable
from sycamorefield import options
from sycamorefield import sycamorefield_pb2 as pb
from sycamorefield import sycamorefield_pb2_grpc as pb_grpc

CALL_TIMEOUT = 1.0
UNREACHABLE_REPORTS = 3
SHUN_FIRST = 1.0
SHUN_LONGEST = 30.0
RUNNING = "running"
FAILED = "failed"
UNWANTED = "unwanted"


@dataclasses.dataclass(frozen=True)
class Start:
    """A placement on a worker; it may be started once it is durable.

    It is unwanted when its job is cancelled or gives way to another.
    """

    job_id: str
    task_id: str
    work: options.Work
    progress: float
    durable: bool
    unwanted: bool


@dataclasses.dataclass(frozen=True)
class Ended:
    """A task that ended on its worker, as the worker reported it."""

    job_id: str
    task_id: str
    state: str
    progress: float


class LinkOwner(typing.Protocol):
    """What a link needs of the cell that holds it."""

    def settle(self, link: "WorkerLink", ended: list[Ended]) -> list[str]:
        """Record ended tasks; return the ids of those recorded."""

    def expected(self, worker: str) -> dict[str, Start]:
        """Return the placements on a worker, by task id."""

    def started(self, start: Start) -> None:
        """Note a start that the worker accepted."""

    def not_started(self, link: "WorkerLink", start: Start,
                    reason: str) -> None:
        """Take back a start that was refused or is not wanted any more."""

    def worker_lost(self, link: "WorkerLink") -> None:
        """Queue again every job of a lost worker."""


class WorkerLink:
    """The owner's side of one worker: its tasks, room and health."""

    def __init__(self, opts: options.Options, machine: options.Machine,
                 owner: str, fence: int, cell: LinkOwner,
                 holds: typing.Callable[[], bool]) -> None:
        self.opts = opts
        self.machine = machine
        self.owner = owner
        self.fence = fence
        self.cell = cell
        self.holds = holds
        self.channel = channels.connect(
            f"{opts.host}:{machine.grpc_port}")
        self.stub = pb_grpc.WorkerStub(self.channel)
        self.lock = threading.Lock()
        self.stops: set[str] = set()
        self.wake = threading.Event()
        self.stopped = threading.Event()
        self.committed: dict[str, options.Capacity] = {}
        self.interference = 0.0
        self.progress: dict[str, float] = {}
        self.reached = False
        self.lost = False
        self.misses = 0
        # The claim itself says nothing about when the last owner renewed:
        # its messages stay valid for at most a membership TTL, so leases
        # count as renewed now until a report says otherwise.
        self.renewed_at = time.monotonic()
        self.shunned_until = 0.0
        self.shun_seconds = SHUN_FIRST
        self.failures_in_row = 0

    def usable(self, now: float) -> bool:
        """Return whether new tasks may be placed here now."""
        return (self.reached and not self.misses
                and now >= self.shunned_until)

    def used(self) -> options.Capacity:
        """Return the sum of what the tasks placed here declare."""
        total = options.ZERO
        with self.lock:
            for demand in self.committed.values():
                total = total.plus(demand)
        return total

    def remaining(self, record: jobtable.JobRecord) -> float:
        """Return how many seconds a task placed here still needs.

        From the progress it made since it was placed, as last reported;
        what jobs declare is far off.
        """
        made = self.progress.get(record.task_id, 0.0) - record.progress
        if made <= 0.0:
            return math.inf
        ran = time.time() - record.placed_at
        left = 1.0 - record.progress - made
        return left * ran / made

    def reserve(self, task_id: str, demand: options.Capacity) -> None:
        """Count a placed task against this worker's room."""
        with self.lock:
            self.committed[task_id] = demand

    def free(self, task_id: str) -> None:
        """Give back the room of a task."""
        with self.lock:
            self.committed.pop(task_id, None)

    def stop_task(self, task_id: str) -> None:
        """Ask the worker to checkpoint and stop a task."""
        with self.lock:
            self.stops.add(task_id)
        self.wake.set()

    def note_failure(self) -> None:
        """Keep new tasks away for a while: a task failed here at once."""
        # A worker that fails all that it starts looks free, so it draws
        # every queued job to itself; backing off exponentially leaves the
        # jobs to the workers that finish them.
        self.failures_in_row += 1
        self.shunned_until = time.monotonic() + self.shun_seconds
        self.shun_seconds = min(SHUN_LONGEST, self.shun_seconds * 2)
        events.emit(events.WORKER_SHUNNED, worker=self.machine.name,
                    failures=self.failures_in_row)

    def note_success(self) -> None:
        """Clear the record of failures: a task finished here."""
        self.failures_in_row = 0
        self.shun_seconds = SHUN_FIRST

    def run(self) -> None:
        """Report, settle, stop and start until the cell is given up."""
        acknowledged: list[str] = []
        while not self.stopped.is_set():
            reply = self._report(acknowledged)
            if reply is not None:
                acknowledged = self._settle(reply)
                self._send_stops()
                self._send_starts(reply)
            self.wake.wait(self.opts.timings.report)
            self.wake.clear()
        self.channel.close()

    def _report(self, acknowledged: list[str]) -> pb.ReportReply | None:
        # A process that was paused must not renew leases for a cell that
        # has a new owner by now; not_after bounds a report that waits in a
        # frozen worker's socket until after the lapse.
        renew = self.holds() and self.misses < UNREACHABLE_REPORTS
        if renew:
            self.renewed_at = time.monotonic()
        try:
            reply = self.stub.Report(pb.ReportRequest(
                fence=self.fence, owner=self.owner, renew=renew,
                acknowledged=acknowledged,
                not_after=time.time() + CALL_TIMEOUT), timeout=CALL_TIMEOUT)
        except grpc.RpcError:
            self._missed()
            return None
        if reply.fence_seen > self.fence:
            return None
        self.misses = 0
        self.reached = True
        self.lost = False
        self.interference = reply.interference
        return reply

    def _missed(self) -> None:
        self.misses += 1
        silent = time.monotonic() - self.renewed_at
        if not self.lost and silent > self.opts.timings.lapse:
            self.lost = True
            events.emit(events.WORKER_LOST, worker=self.machine.name)
            self.cell.worker_lost(self)

    def _settle(self, reply: pb.ReportReply) -> list[str]:
        running: dict[str, options.Capacity] = {}
        progress: dict[str, float] = {}
        ended = []
        for task in reply.tasks:
            if task.state == RUNNING:
                progress[task.task_id] = task.progress
                running[task.task_id] = options.Capacity(
                    task.declared.cpus, task.declared.memory_mb,
                    task.declared.accelerators)
            else:
                ended.append(Ended(task.job_id, task.task_id, task.state,
                                   task.progress))
        self.progress = progress
        recorded = self.cell.settle(self, ended) if ended else []
        expected = self.cell.expected(self.machine.name)
        for task_id in running:
            if task_id not in expected:
                # The job moved on without this task (its start was still
                # under way when the worker counted as lost).
                events.emit(events.TASK_ORPHANED, task=task_id,
                            worker=self.machine.name)
                self.stops.add(task_id)
            elif expected[task_id].unwanted:
                self.stops.add(task_id)
        with self.lock:
            for task_id, start in expected.items():
                running.setdefault(task_id, start.work.demand)
            for task_id in self.committed.keys() & {
                    t.task_id for t in ended}:
                del self.committed[task_id]
            self.committed.update(running)
        return recorded

    def _send_stops(self) -> None:
        with self.lock:
            stops, self.stops = self.stops, set()
        for task_id in stops:
            try:
                self.stub.StopTask(pb.StopTaskRequest(
                    task_id=task_id, fence=self.fence, owner=self.owner,
                    checkpoint=True), timeout=CALL_TIMEOUT)
                self.wake.set()
            except grpc.RpcError:
                with self.lock:
                    self.stops.add(task_id)

    def _send_starts(self, reply: pb.ReportReply) -> None:
        # Every committed placement that the worker does not list is started
        # (again): a start is idempotent by task id, so one whose reply was
        # lost, or one that an earlier owner committed and never sent, is
        # simply sent until the worker answers.
        listed = {task.task_id for task in reply.tasks}
        for task_id, start in self.cell.expected(self.machine.name).items():
            if (task_id in listed or not start.durable
                    or not self.holds()):
                continue
            if start.unwanted:
                self.free(task_id)
                self.cell.not_started(self, start, UNWANTED)
                continue
            answer = self._start(start)
            if answer is None:
                continue
            if answer.accepted:
                self.cell.started(start)
                events.emit(events.TASK_STARTED, job=start.job_id,
                            worker=self.machine.name, task=task_id,
                            fence=self.fence)
            else:
                self.free(task_id)
                self.cell.not_started(self, start, answer.reason)

    def _start(self, start: Start) -> pb.TaskReply | None:
        work = start.work
        request = pb.StartTaskRequest(
            task_id=start.task_id, job_id=start.job_id, work=work.name,
            declared=pb.Resources(cpus=work.demand.cpus,
                                  memory_mb=work.demand.memory_mb,
                                  accelerators=work.demand.accelerators),
            run_seconds=work.run_seconds, fence=self.fence,
            owner=self.owner, progress=start.progress, noise=work.noise,
            lease_ms=int(self.opts.timings.task_lease * 1000),
            not_after=time.time() + options.START_WINDOW)
        self.renewed_at = time.monotonic()
        try:
            return self.stub.StartTask(request, timeout=CALL_TIMEOUT)
        except grpc.RpcError:
            return None

    def stop(self) -> None:
        """Stop following the worker."""
        self.stopped.set()
        self.wake.set()
