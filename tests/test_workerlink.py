"""Prove that reports of changes keep the owner's list of tasks right.

A worker lists what changed since the report last taken in.  Reports and
their replies are lost, the worker restarts with nothing, tasks start and
end meanwhile; after the next reply that arrives the owner's list must be
the worker's.  A naive link that only ever merges what is listed, also when
the worker has restarted, must be caught.
"""

import dataclasses
import threading
import time

import grpc
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sycamorefield import sycamorefield_pb2 as pb
from sycamorefield import tasklist
from sycamorefield import worker
from sycamorefield import workerlink
from tests import deployment
from tests import standins

WAIT_MS = 2000


class Wire:
    """Stand in for the stub of a worker: calls it, or loses the call."""

    def __init__(self, machine):
        self.machine = machine
        self.arrives = True
        self.returns = True

    def Report(self, request, timeout):
        request.wait_ms = 0
        if self.arrives:
            reply = self.machine.Report(request, None)
            if self.returns:
                return reply
        raise grpc.RpcError()


class Recording:
    """A cell that records every end at once."""

    def settle(self, link, ended):
        return [task.task_id for task in ended]

    def expected(self, name):
        return {}

    def crowded(self):
        return False

    def worker_lost(self, link):
        pass


class OnlyMerges(tasklist.TaskList):
    """The naive version: what a reply does not list stays as it was."""

    def take_in(self, reply):
        before = self.tasks
        news = super().take_in(reply)
        self.tasks = {**before, **self.tasks}
        return news


def _start(machine, number):
    machine.StartTask(pb.StartTaskRequest(
        task_id=f"j{number}.1", job_id=f"j{number}", fence=1,
        lease_ms=60_000, run_seconds=60.0), None)


class ChangesOnly(stateful.RuleBasedStateMachine):
    """Reports of changes under lost calls, lost replies and restarts.

    Symptom looked for: an ended task stays on its worker for good, or an
    owner holds a task to be running that its worker does not have.

    Sequence: tasks start and end between reports that are lost on the way
    there or back, and the worker restarts.

    Cause guarded against: taking a report for received that was not.
    """

    list_class = tasklist.TaskList

    def __init__(self):
        super().__init__()
        opts = standins.sample_options(1)
        spec = dataclasses.replace(opts.machines[0], slots=100)
        self.machine = worker.WorkerServer(spec)
        self.link = workerlink.WorkerLink(opts, spec, "entry-1", 1,
                                          Recording(), lambda: True)
        self.link.known = self.list_class()
        self.wire = Wire(self.machine)
        self.link.stub = self.wire
        self.started = 0

    @stateful.rule()
    def start(self):
        self.started += 1
        _start(self.machine, self.started)

    @stateful.rule(index=st.integers(0, 9))
    def end(self, index):
        ids = sorted(self.machine.tasks)
        if ids:
            self.machine.StopTask(pb.StopTaskRequest(
                task_id=ids[index % len(ids)], fence=1), None)

    @stateful.rule()
    def restart(self):
        self.machine = worker.WorkerServer(self.machine.spec)
        self.wire.machine = self.machine

    @stateful.rule(arrives=st.booleans(), returns=st.booleans())
    def report(self, arrives, returns):
        self.wire.arrives, self.wire.returns = arrives, returns
        reply = self.link._report()
        if reply is None:
            self.link.misses += 1
        else:
            self.link._take_in(reply)
        if arrives and returns:
            assert {t: s.state for t, s in self.link.known.tasks.items()} == {
                t: s.state for t, s in self.machine.tasks.items()}
        if not self.link.misses:
            self.link._settle()
            self.link._compare({})
            self.link.stops.clear()

    @stateful.rule()
    def quiet(self):
        """Two answered reports leave no recorded end on the worker."""
        self.report(True, True)
        self.report(True, True)
        assert all(task.state == "running"
                   for task in self.machine.tasks.values())

    def teardown(self):
        self.link.channel.close()


class ChangesOnlyMerged(ChangesOnly):
    """The same faults against the naive link."""

    list_class = OnlyMerges


SETTINGS = hypothesis.settings(
    max_examples=100, stateful_step_count=50, deadline=None,
    derandomize=True, database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
    phases=[hypothesis.Phase.generate])


def test_owners_list_is_the_workers():
    stateful.run_state_machine_as_test(ChangesOnly, settings=SETTINGS)


def test_naive_link_holds_tasks_that_are_gone():
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(ChangesOnlyMerged,
                                           settings=SETTINGS)


HELD = [
    # what happens while the report is held, whether it answers at once
    ("a task ends", True),
    ("another owner comes", True),
    ("a task starts", False),
    ("nothing, and no task was ever here", False),
]


@pytest.mark.parametrize("what,at_once", HELD, ids=[h[0] for h in HELD])
def test_held_report_is_answered_when_it_matters(what, at_once):
    machine = worker.WorkerServer(standins.sample_options(1).machines[0])
    if not what.startswith("nothing"):
        _start(machine, 1)
    first = machine.Report(pb.ReportRequest(fence=1, owner="e"), None)
    assert first.full and len(first.tasks) == len(machine.tasks)
    replies = []
    asking = threading.Thread(target=lambda: replies.append(machine.Report(
        pb.ReportRequest(fence=1, owner="e", seen=first.sequence,
                         incarnation=first.incarnation,
                         wait_ms=WAIT_MS), None)))
    began = time.monotonic()
    asking.start()
    time.sleep(0.1)
    if what == "a task ends":
        machine.StopTask(pb.StopTaskRequest(task_id="j1.1", fence=1), None)
    elif what == "another owner comes":
        machine.Report(pb.ReportRequest(fence=2, owner="f"), None)
    elif what == "a task starts":
        _start(machine, 2)
    asking.join()
    held = time.monotonic() - began
    assert (held < WAIT_MS / 1000.0) == at_once
    ends = [t.state for t in replies[0].tasks]
    assert ends == {"a task ends": ["stopped"],
                    "a task starts": ["running"]}.get(what, [])


class TwoStarts(Recording):
    """A cell with two placements to start, until the worker is lost."""

    def __init__(self, work):
        self.lost_at = None
        self.starts = {f"j{n}.1": workerlink.Start(
            f"j{n}", f"j{n}.1", work, 0.0, durable=True, unwanted=False)
            for n in (1, 2)}

    def expected(self, name):
        return {} if self.lost_at else dict(self.starts)

    def started(self, start):
        pass

    def worker_lost(self, link):
        self.lost_at = time.monotonic()


class Stalling:
    """A worker that answers one report; each start takes long to send."""

    def __init__(self, seconds):
        self.seconds = seconds
        self.reports = 0
        self.sent_at = []

    def Report(self, request, timeout):
        self.reports += 1
        if self.reports > 1:
            raise grpc.RpcError()
        return pb.ReportReply(full=True, sequence=1, incarnation=1)

    def StartTask(self, request, timeout):
        self.sent_at.append(time.monotonic())
        time.sleep(self.seconds)
        raise grpc.RpcError()


def test_no_start_is_sent_once_its_worker_counts_as_lost():
    """Send no start for a job that is queued again.

    Symptom: a job runs in two places.

    Sequence: a link is sending several starts when its worker drops out of
    reach and the process is paused; it wakes up past the lapse, counts the
    worker as lost and has its jobs queued again; the rest of the starts go
    out, and the worker, back by now, runs a job that runs elsewhere too.

    Cause: the worker was counted as lost in one thread, while the other
    went on with the starts it had looked up before.
    """
    opts = standins.sample_options(1, report=0.1, task_lease=0.1,
                                   clock_skew=0.0)
    work = opts.work["class-renewal"]
    cell = TwoStarts(work)
    link = workerlink.WorkerLink(opts, opts.machines[0], "entry-1", 1, cell,
                                 lambda: True)
    link.stub = wire = Stalling(opts.timings.orphan_timeout_s + 0.5)
    running = threading.Thread(target=link.run, daemon=True)
    running.start()
    try:
        assert deployment.wait_until(lambda: cell.lost_at is not None, 20)
        assert deployment.wait_until(lambda: len(wire.sent_at) == 2, 5)
        time.sleep(0.2)
        assert max(wire.sent_at) < cell.lost_at
    finally:
        link.stop()
        running.join(10)
