"""Show that tasks on workers that stand still move on."""

import pytest

from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import slowness
from tests import fleetfakes
from tests import test_fleet_state

ROOM = messages.Room(1000, 1000)


@pytest.mark.parametrize(("estimate", "elapsed", "percent", "more", "stuck"), [
    (1000, 1.4, 0, {}, False),
    (1000, 1.6, 0, {}, True),
    (1000, 1.6, 40, {}, True),
    (1000, 1.6, 60, {}, False),
    (200, 0.9, 0, {}, False),
    (1000, 9.0, 0, {"perpetual": True}, False),
    (1000, 9.0, 0, {"affinity": "r"}, False),
    (1000, 2.9, 0, {"fills": True}, False),
    (1000, 3.1, 0, {"fills": True}, True),
    (0, 9.0, 0, {}, False),
])
def test_stuck_is_told_from_slow(estimate, elapsed, percent, more, stuck):
    task = progress.TaskState(messages.TaskId("j", 0, 0, 0), messages.Step(
        1, ROOM, estimate, **more))
    task.phase = progress.RUNNING
    task.started = 100.0
    task.percent = percent
    assert slowness.stuck(task, 100.0 + elapsed) is stuck


def test_tasks_of_a_worker_that_stands_still_run_elsewhere():
    """Move tasks off a worker that hangs, and send it none for a while.

    Symptom: short jobs took as long as a worker hung.  Events: the worker
    answers and reports, but what it runs makes no progress.  Cause: only
    failed runs counted against a worker.
    """
    bench = test_fleet_state.Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("j", messages.Step(2, ROOM, 500)))
    assert len(bench.place()) == 2
    bench.state.add_worker(fleetfakes.entry(1))
    bench.state.enrol(["i-1"])
    bench.report("i-1")
    bench.now += 2.0
    bench.report("i-0", [messages.RunningTask(task, run, "", 0)
                         for task, run in bench.state.workers["i-0"].tasks])
    bench.place()
    bench.place()
    assert len(bench.stops()) == 2
    assert not bench.state.workers["i-0"].usable(bench.now)
