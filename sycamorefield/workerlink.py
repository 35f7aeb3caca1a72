"""Follow one worker of an owned cell.

One thread keeps a report under way, which renews the leases of the worker's
tasks; the other sends the starts and stops that the cell has committed and
hands ended tasks to the cell to record.  A report lists what changed since
the last one, and the worker holds it until a task ends, so that an end is
known at once and a quiet worker costs one small call per report period.
When the worker stays out of reach the link stops renewing; once every task
lease must have lapsed, the worker counts as lost and the cell may run its
jobs elsewhere.
"""

import dataclasses
import threading
import time
import typing

import grpc

from sycamorefield import channels
from sycamorefield import events
from sycamorefield import options
from sycamorefield import sycamorefield_pb2 as pb
from sycamorefield import sycamorefield_pb2_grpc as pb_grpc
from sycamorefield import tasklist

CALL_TIMEOUT = options.REPORT_GRACE_S
UNREACHABLE_REPORTS = 3
# The least time between two reports: many ends in a row share one.
REPORT_GAP = 0.05
# Starts and stops that got no answer are sent again this often, seconds;
# with none of them, nothing is left to do until the link is woken.
RESEND_PERIOD = 1.0
IDLE_PERIOD = 2.0
# While jobs wait for room, progress is asked for this often, seconds.
PROGRESS_PERIOD = 1.0
SHUN_FIRST = 1.0
SHUN_LONGEST = 30.0
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


class LinkOwner(typing.Protocol):
    """What a link needs of the cell that holds it."""

    def settle(self, link: "WorkerLink",
               ended: list[tasklist.Ended]) -> list[str]:
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

    def worker_crashed(self, link: "WorkerLink", task_ids: list[str],
                       at: float) -> None:
        """Note tasks that ran when a worker ended, and when that was."""

    def crowded(self) -> bool:
        """Return whether jobs wait for room, so that progress matters."""


def _resources(demand: options.Capacity) -> pb.Resources:
    return pb.Resources(cpus=demand.cpus, memory_mb=demand.memory_mb,
                        accelerators=demand.accelerators)


class WorkerLink:
    """The owner's side of one worker: its tasks, room and health."""

    def __init__(self, opts: options.Options, machine: options.WorkerSpec,
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
        self.known = tasklist.TaskList()
        self.progress_asked_at = 0.0
        self.superseded = False
        self.unfinished = True
        self.reached = False
        self.lost = False
        self.misses = 0
        self.missed_at = 0.0
        self.capacity = machine.capacity
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
        total = options.ZERO_CAPACITY
        with self.lock:
            for demand in self.committed.values():
                total = total.plus(demand)
        return total

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
        events.emit(events.WORKER_EXCLUDED, worker=self.machine.name,
                    failures=self.failures_in_row)

    def note_success(self) -> None:
        """Clear the record of failures: a task finished here."""
        self.failures_in_row = 0
        self.shun_seconds = SHUN_FIRST

    def run(self) -> None:
        """Settle, stop and start until the cell is given up."""
        follower = threading.Thread(target=self._follow, daemon=True,
                                    name=f"report-{self.machine.name}")
        follower.start()
        while not self.stopped.is_set():
            self.wake.wait(RESEND_PERIOD if self.unfinished else IDLE_PERIOD)
            self.wake.clear()
            self.unfinished = True
            # Here, not where reports are waited for: a worker counted as
            # lost while starts are on their way would get the rest of
            # them, of jobs that are queued again (two runs of one job).
            self._check_lost()
            if self.reached and not self.misses:
                self._note_crash()
                settled = self._settle()
                expected = self.cell.expected(self.machine.name)
                self._compare(expected)
                stopped = self._send_stops()
                started = self._send_starts(expected)
                self.unfinished = not (settled and stopped and started)
        follower.join()
        self.channel.close()

    def _follow(self) -> None:
        """Keep a report under way until the cell is given up."""
        while not self.stopped.is_set():
            asked_at = time.monotonic()
            reply = self._report()
            if reply is None:
                if not self.misses:
                    self.missed_at = time.time()
                self.misses += 1
                self.wake.set()
            elif not self._superseded(reply) and self._take_in(reply):
                self.wake.set()
            gap = (self.opts.timings.report if self.misses or self.superseded
                   else REPORT_GAP)
            self.stopped.wait(max(0.0, asked_at + gap - time.monotonic()))

    def _report(self) -> pb.ReportReply | None:
        # A process that was paused must not renew leases for a cell that
        # has a new owner by now; not_after bounds a report that waits in a
        # frozen worker's socket until after the lapse.
        renew = self.holds() and self.misses < UNREACHABLE_REPORTS
        hold = 0.0 if self.misses else self.opts.timings.report
        now = time.monotonic()
        if renew:
            self.renewed_at = now
        progress = (now - self.progress_asked_at > PROGRESS_PERIOD
                    and self.cell.crowded())
        if progress:
            self.progress_asked_at = now
        request = self.known.ask(pb.ReportRequest(
            fence=self.fence, owner=self.owner, renew=renew,
            not_after=time.time() + CALL_TIMEOUT,
            wait_ms=0 if progress else int(hold * 1000), progress=progress))
        try:
            return self.stub.Report(request, timeout=hold + CALL_TIMEOUT)
        except grpc.RpcError:
            return None

    def _superseded(self, reply: pb.ReportReply) -> bool:
        self.superseded = reply.fence_seen > self.fence
        return self.superseded

    def _take_in(self, reply: pb.ReportReply) -> bool:
        """Bring what is known of the worker up to date; return if it moved.

        The worker's first answer after a silence counts as news too: the
        starts and stops that waited for it go out then.
        """
        news = self.known.take_in(reply) or self.misses > 0
        self.interference = reply.interference
        self.capacity = options.Capacity(
            reply.capacity.cpus, reply.capacity.memory_mb,
            reply.capacity.accelerators)
        self.misses = 0
        self.reached = True
        self.lost = False
        return news

    def _check_lost(self) -> None:
        """Count the worker as lost once all that it ran has lapsed."""
        silent = time.monotonic() - self.renewed_at
        if (self.misses and not self.lost
                and silent > self.opts.timings.orphan_timeout_s):
            self.lost = True
            events.emit(events.WORKER_LOST, worker=self.machine.name)
            self.cell.worker_lost(self)

    def _note_crash(self) -> None:
        lost = self.known.take_lost()
        if lost:
            self.cell.worker_crashed(self, lost, self.missed_at)

    def _settle(self) -> bool:
        """Hand ended tasks over; return whether all are recorded."""
        ended = self.known.ended()
        for task in ended:
            self.free(task.task_id)
        self.known.recorded = self.cell.settle(self, ended) if ended else []
        return len(self.known.recorded) == len(ended)

    def _compare(self, expected: dict[str, Start]) -> None:
        """Count what runs here; have stopped what should not."""
        for task in self.known.running():
            self.reserve(task.task_id, options.Capacity(
                task.declared.cpus, task.declared.memory_mb,
                task.declared.accelerators))
            start = expected.get(task.task_id)
            if start is None:
                # The job moved on without this task (its start was still
                # under way when the worker counted as lost).
                events.emit(events.TASK_ORPHANED, task=task.task_id,
                            worker=self.machine.name)
            if start is None or start.unwanted:
                with self.lock:
                    self.stops.add(task.task_id)
        with self.lock:
            for task_id, start in expected.items():
                self.committed.setdefault(task_id, start.work.demand)

    def _send_stops(self) -> bool:
        """Send the stops that are due; return whether all were answered."""
        with self.lock:
            stops, self.stops = self.stops, set()
        for task_id in stops:
            try:
                answer = self.stub.StopTask(pb.StopTaskRequest(
                    task_id=task_id, fence=self.fence, owner=self.owner,
                    checkpoint=True), timeout=CALL_TIMEOUT)
            except grpc.RpcError:
                with self.lock:
                    self.stops.add(task_id)
                continue
            if self.known.stopped(task_id, answer):
                self.wake.set()
        return not self.stops

    def _send_starts(self, expected: dict[str, Start]) -> bool:
        """Send the starts that are due; return whether all were answered."""
        answered = True
        # Every committed placement that the worker does not list is started
        # (again): a start is idempotent by task id, so one whose reply was
        # lost, or one that an earlier owner committed and never sent, is
        # simply sent until the worker answers.
        for task_id, start in expected.items():
            if self.known.lists(task_id):
                continue
            if not start.durable or not self.holds():
                answered = False
                continue
            if start.unwanted:
                self.free(task_id)
                self.cell.not_started(self, start, UNWANTED)
                continue
            answer = self._start(start)
            if answer is None:
                answered = False
                continue
            if answer.accepted:
                self.known.started(pb.TaskStatus(
                    task_id=task_id, job_id=start.job_id,
                    state=answer.state or tasklist.RUNNING,
                    progress=answer.progress,
                    declared=_resources(start.work.demand)))
                self.cell.started(start)
                events.emit(events.TASK_STARTED, job=start.job_id,
                            worker=self.machine.name, task=task_id,
                            fence=self.fence)
            else:
                self.free(task_id)
                self.cell.not_started(self, start, answer.reason)
        return answered

    def _start(self, start: Start) -> pb.TaskReply | None:
        work = start.work
        request = pb.StartTaskRequest(
            task_id=start.task_id, job_id=start.job_id, work=work.name,
            declared=_resources(work.demand),
            run_seconds=work.run_seconds, fence=self.fence,
            owner=self.owner, progress=start.progress, noise=work.noise,
            lease_ms=int(self.opts.timings.task_lease * 1000),
            not_after=time.time() + options.START_WINDOW_S)
        self.renewed_at = time.monotonic()
        try:
            return self.stub.StartTask(request, timeout=CALL_TIMEOUT)
        except grpc.RpcError:
            return None

    def stop(self) -> None:
        """Stop following the worker."""
        self.stopped.set()
        self.wake.set()
