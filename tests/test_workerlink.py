"""Check that reports of changes keep an owner's task list correct.

A worker lists its changes since the last report that its owner has applied.
Reports and replies are lost, the worker restarts without tasks, and tasks
start and end.  After the next reply that arrives, the owner's list must equal
the worker's.  The tests must detect a list that only merges the changes, even
after a restart of the worker.
"""

import dataclasses
import threading
import time

import grpc
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sycamorefield import options
from sycamorefield import sycamorefield_pb2 as pb
from sycamorefield import tasklist
from sycamorefield import worker
from sycamorefield import workerlink
from tests import deployment
from tests import standins

WAIT_MS = 2000


class LossyStub:
    """Worker stub that calls a worker directly or loses the call."""

    def __init__(self, machine):
        self.machine = machine
        self.request_arrives = True
        self.reply_arrives = True
        self.after_start = lambda: None

    def Report(self, request, timeout):
        request.wait_ms = 0
        if self.request_arrives:
            reply = self.machine.Report(request, None)
            if self.reply_arrives:
                return reply
        raise grpc.RpcError()

    def StartTask(self, request, timeout):
        answer = self.machine.StartTask(request, None)
        self.after_start()
        return answer


class RecordingCell:
    """A cell that durably records every ended task at once."""

    def record_ended(self, link, ended):
        return [task.task_id for task in ended]

    def placements(self, name):
        return {}

    def note_started(self, placed):
        pass

    def has_unplaced_jobs(self):
        return False

    def worker_lost(self, link):
        pass


class MergeOnlyList(tasklist.TaskList):
    """A faulty list that keeps tasks missing from a full report."""

    def apply_report(self, reply):
        previous_tasks = self.tasks
        tasks_changed = super().apply_report(reply)
        self.tasks = {**previous_tasks, **self.tasks}
        return tasks_changed


def _placed(work, number):
    return workerlink.PlacedTask(f"j{number}", f"j{number}.1", work, 0.0,
                                 may_start=True, unwanted=False)


def _start(machine, number):
    machine.StartTask(pb.StartTaskRequest(
        task_id=f"j{number}.1", job_id=f"j{number}", fence=1,
        lease_ms=60_000, run_seconds=60.0), None)


def _end(machine, task_id):
    machine.StopTask(pb.StopTaskRequest(task_id=task_id, fence=1), None)


# What happens between a start on the worker and its answer at the owner.
BEFORE_ANSWER = [
    (),
    ("report",),
    ("end",),
    ("end", "report"),
    ("report", "end"),
    ("report", "end", "report"),
]


class IncrementalReports(stateful.RuleBasedStateMachine):
    """Reports of changes with lost calls, lost replies and restarts.

    Guards against ended tasks that stay on their worker forever, and tasks
    that an owner lists as running although their worker does not have them,
    because a report was treated as received that was lost, or because the
    answer to a start was processed after a later report.  Tasks start and
    end between lost reports and replies, and the worker restarts.
    """

    list_class = tasklist.TaskList

    def __init__(self):
        super().__init__()
        opts = standins.sample_options(1)
        spec = dataclasses.replace(opts.machines[0], slots=100)
        self.work = dataclasses.replace(opts.work["class-renewal"],
                                        demand=options.ZERO_CAPACITY)
        self.machine = worker.WorkerServer(spec)
        self.link = workerlink.WorkerLink(opts, spec, "entry-1", 1,
                                          RecordingCell(), lambda: True)
        self.link.task_list = self.list_class()
        self.stub = LossyStub(self.machine)
        self.link.stub = self.stub
        self.started = 0

    @stateful.rule()
    def start(self):
        self.started += 1
        _start(self.machine, self.started)

    @stateful.rule(before_answer=st.sampled_from(BEFORE_ANSWER))
    def start_answered_late(self, before_answer):
        self.started += 1
        placed = _placed(self.work, self.started)
        self.stub.after_start = lambda: self._run_steps(
            before_answer, placed.task_id)
        self.link._send_starts({placed.task_id: placed})

    def _run_steps(self, steps, task_id):
        for step in steps:
            if step == "end":
                _end(self.machine, task_id)
            else:
                self._exchange_report(True, True)

    @stateful.rule(index=st.integers(0, 9))
    def end(self, index):
        ids = sorted(self.machine.tasks)
        if ids:
            _end(self.machine, ids[index % len(ids)])

    @stateful.rule()
    def restart(self):
        self.machine = worker.WorkerServer(self.machine.spec)
        self.stub.machine = self.machine

    @stateful.rule(request_arrives=st.booleans(), reply_arrives=st.booleans())
    def report(self, request_arrives, reply_arrives):
        self._exchange_report(request_arrives, reply_arrives)
        if not self.link.missed_reports:
            self.link._record_ended()
            self.link._reconcile({})
            self.link.pending_stops.clear()

    def _exchange_report(self, request_arrives, reply_arrives):
        self.stub.request_arrives, self.stub.reply_arrives = (
            request_arrives, reply_arrives)
        reply = self.link._report()
        if reply is None:
            self.link.missed_reports += 1
        else:
            self.link._apply_report(reply)
        if request_arrives and reply_arrives:
            assert {t: s.state for t, s
                    in self.link.task_list.tasks.items()} == {
                t: s.state for t, s in self.machine.tasks.items()}

    @stateful.rule()
    def quiesce(self):
        """After two answered reports, the worker lists no recorded end."""
        self.report(True, True)
        self.report(True, True)
        assert all(task.state == "running"
                   for task in self.machine.tasks.values())

    def teardown(self):
        self.link.channel.close()


class MergeOnlyReports(IncrementalReports):
    """The same faults with the faulty list."""

    list_class = MergeOnlyList


SETTINGS = hypothesis.settings(
    max_examples=100, stateful_step_count=50, deadline=None,
    derandomize=True, database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
    phases=[hypothesis.Phase.generate])


def test_owners_list_matches_the_workers_tasks():
    stateful.run_state_machine_as_test(IncrementalReports, settings=SETTINGS)


def test_merge_only_list_keeps_tasks_lost_in_a_restart():
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(MergeOnlyReports,
                                           settings=SETTINGS)


@pytest.mark.parametrize("before_answer", BEFORE_ANSWER,
                         ids=["-".join(row) or "nothing"
                              for row in BEFORE_ANSWER])
def test_late_answer_to_a_start_hides_no_later_change(before_answer):
    """Guards against a job that stays placed after its task has ended.

    The answer to a start is processed after reports that the worker sent
    later.  If the answer replaced what they say, the owner would list an ended
    task as running, and the worker does not report the end again.
    """
    reports = IncrementalReports()
    try:
        reports.report(True, True)
        reports.start_answered_late(before_answer)
        reports.report(True, True)
    finally:
        reports.teardown()


HELD_REPORTS = [
    # event while the worker delays its answer, whether it answers early
    ("a task ends", True),
    ("another owner comes", True),
    ("a task starts", False),
    ("nothing, and no task was ever here", False),
]


@pytest.mark.parametrize("event,answered_early", HELD_REPORTS,
                         ids=[row[0] for row in HELD_REPORTS])
def test_held_report_is_answered_on_an_end_or_new_owner(event, answered_early):
    machine = worker.WorkerServer(standins.sample_options(1).machines[0])
    if not event.startswith("nothing"):
        _start(machine, 1)
    first = machine.Report(pb.ReportRequest(fence=1, owner="e"), None)
    assert first.full and len(first.tasks) == len(machine.tasks)
    replies = []
    reporter = threading.Thread(target=lambda: replies.append(machine.Report(
        pb.ReportRequest(fence=1, owner="e", seen=first.sequence,
                         incarnation=first.incarnation,
                         wait_ms=WAIT_MS), None)))
    started_at = time.monotonic()
    reporter.start()
    time.sleep(0.1)
    if event == "a task ends":
        machine.StopTask(pb.StopTaskRequest(task_id="j1.1", fence=1), None)
    elif event == "another owner comes":
        machine.Report(pb.ReportRequest(fence=2, owner="f"), None)
    elif event == "a task starts":
        _start(machine, 2)
    reporter.join()
    waited_s = time.monotonic() - started_at
    assert (waited_s < WAIT_MS / 1000.0) == answered_early
    ends = [t.state for t in replies[0].tasks]
    assert ends == {"a task ends": ["stopped"],
                    "a task starts": ["running"]}.get(event, [])


class TwoPlacementsCell(RecordingCell):
    """A cell with two tasks to start until the worker is lost."""

    def __init__(self, work):
        self.lost_at = None
        self.starts = {f"j{n}.1": _placed(work, n) for n in (1, 2)}

    def placements(self, name):
        return {} if self.lost_at else dict(self.starts)

    def worker_lost(self, link):
        self.lost_at = time.monotonic()


class SlowWorker:
    """Worker stub that answers one report and delays each start."""

    def __init__(self, start_delay_s):
        self.start_delay_s = start_delay_s
        self.reports = 0
        self.sent_at = []

    def Report(self, request, timeout):
        self.reports += 1
        if self.reports > 1:
            raise grpc.RpcError()
        return pb.ReportReply(full=True, sequence=1, incarnation=1)

    def StartTask(self, request, timeout):
        self.sent_at.append(time.monotonic())
        time.sleep(self.start_delay_s)
        raise grpc.RpcError()


def test_no_start_is_sent_after_its_worker_is_lost():
    """Guards against a job that runs on two workers.

    While a link is sending several starts, its worker becomes unreachable
    and the process is paused until the task leases have expired.  The link
    then counts the worker as lost and has its jobs requeued.  If one thread
    does this while another continues to send the starts it had looked up
    before, the worker, reachable again, runs a job that also runs elsewhere.
    """
    opts = standins.sample_options(1, report=0.1, task_lease=0.1,
                                   clock_skew=0.0)
    work = opts.work["class-renewal"]
    cell = TwoPlacementsCell(work)
    link = workerlink.WorkerLink(opts, opts.machines[0], "entry-1", 1, cell,
                                 lambda: True)
    link.stub = stub = SlowWorker(opts.timings.orphan_timeout_s + 0.5)
    link_thread = threading.Thread(target=link.run, daemon=True)
    link_thread.start()
    try:
        assert deployment.wait_until(lambda: cell.lost_at is not None, 20)
        assert deployment.wait_until(lambda: len(stub.sent_at) == 2, 5)
        time.sleep(0.2)
        assert max(stub.sent_at) < cell.lost_at
    finally:
        link.stop()
        link_thread.join(10)
