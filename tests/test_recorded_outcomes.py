"""Test that an outcome is logged as recorded only once it is stored."""

import threading
import time

import pytest

from sycamorefield import checks
from sycamorefield import events
from tests import deployment
from tests import standins
from tests import test_checks
from tests import test_jobs
from tests import test_worker_crashes


@pytest.fixture(name="env")
def fixture_env():
    """Return a cell with one worker that can crash."""
    kv = standins.Kv()
    env = test_jobs.CellEnv(kv, run_seconds=0.5,
                            kind=test_worker_crashes.CrashingMachine)
    yield env
    env.close()
    kv.close()


@pytest.fixture(name="lines")
def fixture_lines(monkeypatch):
    """Return the list to which all events are added."""
    lines = []
    monkeypatch.setattr(
        events, "emit", lambda event, **fields: lines.append(
            test_checks.line(time.time(), event, **fields)))
    return lines


def finish_while_store_is_down(env, cell):
    """Run job j until the cell has staged its outcome but not stored it."""
    env.submit(cell, "j")
    assert deployment.wait_until(env.running, 3)
    env.kv.faults(down=True)
    assert deployment.wait_until(
        lambda: test_jobs.state_of(cell, "j") == "done", 3)
    assert not cell.table.durable("j")


def count(lines, event):
    """Return how many times an event is logged."""
    return [line["event"] for line in lines].count(event.code)


def test_outcome_is_logged_once_when_it_is_stored(env, lines):
    """Guards against an outcome logged as recorded before it is stored."""
    cell = env.start()
    try:
        finish_while_store_is_down(env, cell)
        assert count(lines, events.TASK_FINISHED) == 0
        env.kv.faults()
        assert deployment.wait_until(
            lambda: count(lines, events.TASK_FINISHED), 3)
        assert cell.table.durable("j")
        env.submit(cell, "k")
        assert deployment.wait_until(
            lambda: count(lines, events.TASK_FINISHED) == 2, 5)
    finally:
        cell.stop(flush=False)


def test_outcome_lost_with_owner_and_worker_allows_a_second_run(env, lines):
    """Guards against a false finding after an outcome that was not stored.

    The owner knows that a task is done, but stops before the store answers,
    and the worker restarts.  The next owner starts the job again, as nothing
    tells that it has ended.
    """
    earlier_threads = set(threading.enumerate())
    cell = env.start()
    commit_thread, = (t for t in threading.enumerate()
                      if t.name == "commit-0" and t not in earlier_threads)
    finish_while_store_is_down(env, cell)
    cell.stop(flush=False)
    commit_thread.join(5)
    assert not commit_thread.is_alive()
    machine = env.machines[0]
    machine.crash()
    assert deployment.wait_until(lambda: not machine.down, 5)
    lines.append(test_checks.line(time.time(), events.PROCESS_STARTED,
                                  machine.spec.name))
    env.kv.faults()
    successor = env.start(fence=2)
    try:
        assert deployment.wait_until(
            lambda: test_jobs.state_of(successor, "j") == "done", 5)
    finally:
        successor.stop(flush=False)
    assert count(lines, events.TASK_BEGAN) == 2
    findings = checks.check(sorted(lines, key=lambda line: line["t"]))
    assert findings == [], [str(f) for f in findings]
