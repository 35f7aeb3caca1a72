"""Test that a worker logs its start and its tasks in the order of events."""

import dataclasses
import threading
import time

import pytest

from sycamorefield import channels
from sycamorefield import checks
from sycamorefield import cli
from sycamorefield import events
from sycamorefield import httpserver
from sycamorefield import sycamorefield_pb2 as pb
from sycamorefield import sycamorefield_pb2_grpc as pb_grpc
from sycamorefield import worker
from tests import standins
from tests import test_checks

WORKER = "tsv-r1-w1"
TICK_WAIT_S = 0.3


def start_request():
    """Return the request to start job j from the beginning."""
    return pb.StartTaskRequest(
        task_id="j.1", job_id="j", work="class-renewal", run_seconds=60.0,
        declared=pb.Resources(cpus=1.0), lease_ms=60_000, fence=2,
        owner="entry-1")


@pytest.fixture(name="lines")
def fixture_lines(monkeypatch):
    """Return the list to which the events of the worker are added."""
    lines = []
    monkeypatch.setattr(
        events, "emit", lambda event, **fields: lines.append(
            test_checks.line(time.time(), event, WORKER, **fields)))
    return lines


@pytest.fixture(name="opts")
def fixture_opts():
    """Return options with unused ports for the worker."""
    opts = standins.sample_options(standins.free_port())
    return dataclasses.replace(opts, machines=tuple(
        dataclasses.replace(m, grpc_port=standins.free_port(),
                            http_port=standins.free_port())
        for m in opts.machines))


def test_restart_is_logged_before_the_worker_takes_starts(
        monkeypatch, lines, opts):
    """Guards against a restart that is logged after the first task began.

    A worker is killed with an outcome that no owner has recorded, and its
    owner starts the job again as soon as the worker listens.  If the worker
    logs its restart only later, the job appears to run again after it was
    done on a worker that was never lost.
    """
    answers = []

    def start_task(host, port, app):
        spec = opts.machine(WORKER)
        with channels.connect(f"{host}:{spec.grpc_port}") as channel:
            answers.append(pb_grpc.WorkerStub(channel).StartTask(
                start_request(), timeout=5.0))

    monkeypatch.setattr(cli, "_load_options", lambda path: opts)
    monkeypatch.setattr(cli, "_wait_for_signal", lambda: None)
    monkeypatch.setattr(events, "configure", lambda *args: None)
    monkeypatch.setattr(httpserver, "start", start_task)
    monkeypatch.setattr(httpserver, "stop", lambda: None)
    lines += [test_checks.task_began(1.0, WORKER, "j.1"),
              test_checks.task_ended(3.0, WORKER, "j.1", "done", 1.0)]
    cli.worker(WORKER)
    assert [answer.accepted for answer in answers] == [True]
    assert [line["event"] for line in lines].count(
        events.TASK_BEGAN.code) == 2
    findings = checks.check(sorted(lines, key=lambda line: line["t"]))
    assert findings == [], [str(f) for f in findings]


def test_worker_that_cannot_listen_logs_no_start(monkeypatch, lines, opts):
    """Guards against a restart logged by a process started by mistake.

    The checks would take it for a loss of the tasks of the process that
    listens on the port, and then accept a second run of them.
    """
    monkeypatch.setattr(cli, "_load_options", lambda path: opts)
    monkeypatch.setattr(events, "configure", lambda *args: None)
    server, _ = worker.bind_grpc("127.0.0.1", opts.machine(WORKER))
    try:
        with pytest.raises(RuntimeError):
            cli.worker(WORKER)
    finally:
        server.stop(0)
    assert lines == []


def test_begin_is_logged_before_the_end_of_a_task(monkeypatch, lines, opts):
    """Guards against a task whose end is logged before its begin.

    A task that fails at once may end while its start call is still logging
    that it began.  The checks then take it for a task that never ended, and
    its next run on another worker for a second place.
    """
    machine = worker.WorkerServer(opts.machine(WORKER))
    machine.faults = pb.WorkerFaults(fail_all=True)
    record_event = events.emit

    def tick():
        with machine.lock:
            for task in machine.tasks.values():
                machine._advance_task(task, 0.1)

    ticker = threading.Thread(target=tick)

    def tick_while_logging(event, **fields):
        if event is events.TASK_BEGAN:
            ticker.start()
            ticker.join(TICK_WAIT_S)
        record_event(event, **fields)

    monkeypatch.setattr(events, "emit", tick_while_logging)
    machine.StartTask(start_request(), None)
    ticker.join()
    assert [line["event"] for line in lines] == [
        events.TASK_BEGAN.code, events.TASK_ENDED.code]
    lines.append(test_checks.task_began(time.time() + 1.0, "w2", "j.2"))
    findings = checks.check(lines)
    assert findings == [], [str(f) for f in findings]
