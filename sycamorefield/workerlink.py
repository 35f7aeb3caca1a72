"""Connect the owner of a cell to one of the cell's workers.

One thread always has a report call in progress, which renews the leases of
the worker's tasks.  Another sends the starts and stops that the cell has
committed and passes ended tasks to the cell to record.  A report lists the
changes since the last one, and the worker delays its answer until a task
ends.  The owner thus learns of an end at once, and an idle worker costs one
small call per report period.  If the worker stays unreachable, the link stops
renewing leases; once every task lease must have expired, the worker counts as
lost and the cell may run its jobs elsewhere.
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

CALL_TIMEOUT_S = options.REPORT_GRACE_S
MAX_MISSED_REPORTS = 3
# Minimum time between two reports, so that ends in quick succession share one.
MIN_REPORT_INTERVAL_S = 0.05
# Period of sending unanswered starts and stops again.  Without any, the link
# has nothing to do until it is woken.
RESEND_PERIOD_S = 1.0
IDLE_PERIOD_S = 2.0
# Period of requesting task progress while jobs wait for capacity.
PROGRESS_PERIOD_S = 1.0
MIN_EXCLUSION_S = 1.0
MAX_EXCLUSION_S = 30.0
FAILED = "failed"
UNWANTED = "unwanted"


@dataclasses.dataclass(frozen=True)
class PlacedTask:
    """A task placed on a worker.

    It may start once its placement is durable and no quarantine run on the
    worker blocks it.  It is unwanted if its job is cancelled or being evicted.
    """

    job_id: str
    task_id: str
    work: options.Work
    progress: float
    may_start: bool
    unwanted: bool


class CellCallbacks(typing.Protocol):
    """The methods of a cell that its worker links call."""

    def record_ended(self, link: "WorkerLink",
                     ended: list[tasklist.EndedTask]) -> list[str]:
        """Record ended tasks; return the ids of durably recorded ones."""

    def placements(self, worker: str) -> dict[str, PlacedTask]:
        """Return the placed tasks of a worker by task id."""

    def note_started(self, placed: PlacedTask) -> None:
        """Record a task that the worker has started."""

    def note_not_started(self, link: "WorkerLink", placed: PlacedTask,
                         reason: str) -> None:
        """Requeue or end a job whose start was refused or is unwanted."""

    def worker_lost(self, link: "WorkerLink") -> None:
        """Requeue all jobs of a lost worker."""

    def worker_crashed(self, link: "WorkerLink", task_ids: list[str],
                       crashed_at: float) -> None:
        """Handle the tasks that were running when a worker crashed.

        crashed_at is in wall-clock seconds.
        """

    def has_unplaced_jobs(self) -> bool:
        """Return whether jobs wait for capacity, so progress is needed."""


def _resources(demand: options.Capacity) -> pb.Resources:
    return pb.Resources(cpus=demand.cpus, memory_mb=demand.memory_mb,
                        accelerators=demand.accelerators)


class WorkerLink:
    """The owner's view of one worker: its tasks, capacity and health."""

    def __init__(self, opts: options.Options, machine: options.WorkerSpec,
                 owner: str, fence: int, cell: CellCallbacks,
                 lease_held: typing.Callable[[], bool]) -> None:
        self.opts = opts
        self.machine = machine
        self.owner = owner
        self.fence = fence
        self.cell = cell
        self.lease_held = lease_held
        self.channel = channels.connect(
            f"{opts.host}:{machine.grpc_port}")
        self.stub = pb_grpc.WorkerStub(self.channel)
        self.lock = threading.Lock()
        self.pending_stops: set[str] = set()
        self.wake = threading.Event()
        self.stopped = threading.Event()
        self.reservations: dict[str, options.Capacity] = {}
        self.interference = 0.0
        self.task_list = tasklist.TaskList()
        self.progress_asked_at = 0.0
        self.superseded = False
        self.has_pending_work = True
        self.has_reported = False
        self.lost = False
        self.missed_reports = 0
        self.first_missed_at = 0.0
        self.capacity = machine.capacity
        # The claim does not say when the last owner renewed the task leases.
        # That owner's messages stay valid for at most a membership TTL, so
        # leases count as renewed now until a report says otherwise.
        self.renewed_at = time.monotonic()
        self.excluded_until = 0.0
        self.exclusion_s = MIN_EXCLUSION_S
        self.consecutive_failures = 0

    def usable(self, now: float) -> bool:
        """Return whether new tasks may be placed here now."""
        return self.responsive() and now >= self.excluded_until

    def responsive(self) -> bool:
        """Return whether the worker answered the last report."""
        return self.has_reported and not self.missed_reports

    def used(self) -> options.Capacity:
        """Return the total resources declared by the tasks placed here."""
        total = options.ZERO_CAPACITY
        with self.lock:
            for demand in self.reservations.values():
                total = total.plus(demand)
        return total

    def reserve(self, task_id: str, demand: options.Capacity) -> None:
        """Reserve capacity for a placed task."""
        with self.lock:
            self.reservations[task_id] = demand

    def release(self, task_id: str) -> None:
        """Release the capacity reserved for a task."""
        with self.lock:
            self.reservations.pop(task_id, None)

    def stop_task(self, task_id: str) -> None:
        """Ask the worker to checkpoint and stop a task."""
        with self.lock:
            self.pending_stops.add(task_id)
        self.wake.set()

    def note_failure(self) -> None:
        """Exclude the worker from placement for a while after a failure."""
        # A worker that fails every task looks free and would attract every
        # queued job.  Exponential backoff leaves the jobs to workers that
        # finish them.  A failure during an exclusion does not extend it: the
        # tasks that were placed together fail together, and doubling for each
        # of them would exclude the worker for MAX_EXCLUSION_S at once.
        now = time.monotonic()
        self.consecutive_failures += 1
        if now < self.excluded_until:
            return
        self.excluded_until = now + self.exclusion_s
        self.exclusion_s = min(MAX_EXCLUSION_S, self.exclusion_s * 2)
        events.emit(events.WORKER_EXCLUDED, worker=self.machine.name,
                    failures=self.consecutive_failures)

    def note_success(self) -> None:
        """Reset the failure backoff after a task finished."""
        self.consecutive_failures = 0
        self.exclusion_s = MIN_EXCLUSION_S

    def run(self) -> None:
        """Record ends and send stops and starts until the link stops."""
        reporter = threading.Thread(target=self._run_reports, daemon=True,
                                    name=f"report-{self.machine.name}")
        reporter.start()
        while not self.stopped.is_set():
            self.wake.wait(
                RESEND_PERIOD_S if self.has_pending_work else IDLE_PERIOD_S)
            self.wake.clear()
            self.has_pending_work = True
            # Checked in this thread, not in the one that waits for reports: a
            # worker counted as lost in the middle of sending starts would get
            # the remaining ones, of jobs already requeued, and a job would run
            # twice.
            self._check_lost()
            if self.has_reported and not self.missed_reports:
                self._report_crash()
                ends_recorded = self._record_ended()
                placements = self.cell.placements(self.machine.name)
                self._reconcile(placements)
                stops_answered = self._send_stops()
                starts_answered = self._send_starts(placements)
                self.has_pending_work = not (
                    ends_recorded and stops_answered and starts_answered)
        reporter.join()
        self.channel.close()

    def _run_reports(self) -> None:
        """Send reports one after another until the link stops."""
        while not self.stopped.is_set():
            sent_at = time.monotonic()
            reply = self._report()
            if reply is None:
                if not self.missed_reports:
                    self.first_missed_at = time.time()
                self.missed_reports += 1
                self.wake.set()
            elif (not self._check_superseded(reply)
                    and self._apply_report(reply)):
                self.wake.set()
            interval_s = (self.opts.timings.report
                          if self.missed_reports or self.superseded
                          else MIN_REPORT_INTERVAL_S)
            self.stopped.wait(
                max(0.0, sent_at + interval_s - time.monotonic()))

    def _report(self) -> pb.ReportReply | None:
        # A process resumed after a pause must not renew leases for a cell that
        # may have a new owner.  not_after invalidates a report that stays in
        # the socket of a frozen worker until after its task leases expired.
        renew = self.lease_held() and self.missed_reports < MAX_MISSED_REPORTS
        hold_s = 0.0 if self.missed_reports else self.opts.timings.report
        now = time.monotonic()
        if renew:
            self.renewed_at = now
        progress = (now - self.progress_asked_at > PROGRESS_PERIOD_S
                    and self.cell.has_unplaced_jobs())
        if progress:
            self.progress_asked_at = now
        request = self.task_list.fill_request(pb.ReportRequest(
            fence=self.fence, owner=self.owner, renew=renew,
            not_after=time.time() + CALL_TIMEOUT_S,
            wait_ms=0 if progress else int(hold_s * 1000), progress=progress))
        try:
            return self.stub.Report(request, timeout=hold_s + CALL_TIMEOUT_S)
        except grpc.RpcError:
            return None

    def _check_superseded(self, reply: pb.ReportReply) -> bool:
        self.superseded = reply.fence_seen > self.fence
        return self.superseded

    def _apply_report(self, reply: pb.ReportReply) -> bool:
        """Apply a report; return whether the link has something to do.

        That is the case if tasks changed, or if this is the first answer
        after missed reports: starts and stops may be waiting for it.
        """
        tasks_changed = self.task_list.apply_report(
            reply) or self.missed_reports > 0
        self.interference = reply.interference
        self.capacity = options.Capacity(
            reply.capacity.cpus, reply.capacity.memory_mb,
            reply.capacity.accelerators)
        self.missed_reports = 0
        self.has_reported = True
        self.lost = False
        return tasks_changed

    def _check_lost(self) -> None:
        """Mark the worker as lost once all its task leases have expired."""
        since_renewal_s = time.monotonic() - self.renewed_at
        if (self.missed_reports and not self.lost
                and since_renewal_s > self.opts.timings.orphan_timeout_s):
            self.lost = True
            events.emit(events.WORKER_LOST, worker=self.machine.name)
            self.cell.worker_lost(self)

    def _report_crash(self) -> None:
        lost = self.task_list.take_lost_tasks()
        if lost:
            self.cell.worker_crashed(self, lost, self.first_missed_at)

    def _record_ended(self) -> bool:
        """Pass ended tasks to the cell; return whether all are recorded."""
        ended = self.task_list.ended()
        for task in ended:
            self.release(task.task_id)
        self.task_list.to_acknowledge = self.cell.record_ended(
            self, ended) if ended else []
        return len(self.task_list.to_acknowledge) == len(ended)

    def _reconcile(self, placements: dict[str, PlacedTask]) -> None:
        """Reserve capacity for running tasks; stop those not wanted."""
        for task in self.task_list.running():
            self.reserve(task.task_id, options.Capacity(
                task.declared.cpus, task.declared.memory_mb,
                task.declared.accelerators))
            placed = placements.get(task.task_id)
            if placed is None:
                # The job was requeued without this task, whose start was
                # still in progress when the worker was counted as lost.
                events.emit(events.TASK_ORPHANED, task=task.task_id,
                            worker=self.machine.name)
            if placed is None or placed.unwanted:
                with self.lock:
                    self.pending_stops.add(task.task_id)
        with self.lock:
            for task_id, placed in placements.items():
                self.reservations.setdefault(task_id, placed.work.demand)

    def _send_stops(self) -> bool:
        """Send the pending stops; return whether all were answered."""
        with self.lock:
            pending_stops, self.pending_stops = self.pending_stops, set()
        for task_id in pending_stops:
            try:
                answer = self.stub.StopTask(pb.StopTaskRequest(
                    task_id=task_id, fence=self.fence, owner=self.owner,
                    checkpoint=True), timeout=CALL_TIMEOUT_S)
            except grpc.RpcError:
                with self.lock:
                    self.pending_stops.add(task_id)
                continue
            if self.task_list.note_stopped(task_id, answer):
                self.wake.set()
        return not self.pending_stops

    def _send_starts(self, placements: dict[str, PlacedTask]) -> bool:
        """Send the missing starts; return whether all were answered."""
        all_answered = True
        # Every committed placement that the worker does not list is started
        # (again).  A start is idempotent by task id, so a start whose reply
        # was lost, or that an earlier owner committed and never sent, is sent
        # until the worker answers.
        for task_id, placed in placements.items():
            if self.task_list.has_task(task_id):
                continue
            if not placed.may_start or not self.lease_held():
                all_answered = False
                continue
            if placed.unwanted:
                self.release(task_id)
                self.cell.note_not_started(self, placed, UNWANTED)
                continue
            answer = self._call_start(placed)
            if answer is None:
                all_answered = False
                continue
            if answer.accepted:
                self.task_list.note_started(pb.TaskStatus(
                    task_id=task_id, job_id=placed.job_id,
                    state=answer.state or tasklist.RUNNING,
                    progress=answer.progress,
                    declared=_resources(placed.work.demand)))
                self.cell.note_started(placed)
                events.emit(events.TASK_STARTED, job=placed.job_id,
                            worker=self.machine.name, task=task_id,
                            fence=self.fence)
            else:
                self.release(task_id)
                self.cell.note_not_started(self, placed, answer.reason)
        return all_answered

    def _call_start(self, placed: PlacedTask) -> pb.TaskReply | None:
        work = placed.work
        request = pb.StartTaskRequest(
            task_id=placed.task_id, job_id=placed.job_id, work=work.name,
            declared=_resources(work.demand),
            run_seconds=work.run_seconds, fence=self.fence,
            owner=self.owner, progress=placed.progress, noise=work.noise,
            lease_ms=int(self.opts.timings.task_lease * 1000),
            not_after=time.time() + options.START_WINDOW_S)
        self.renewed_at = time.monotonic()
        try:
            return self.stub.StartTask(request, timeout=CALL_TIMEOUT_S)
        except grpc.RpcError:
            return None

    def stop(self) -> None:
        """Stop the threads of the link."""
        self.stopped.set()
        self.wake.set()
