"""Test that tasks on hanging or slow workers run elsewhere."""

import pytest

from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import stragglers
from tests import fleetfakes
from tests import test_fleet_state

RESOURCES = messages.Resources(1000, 1000)


@pytest.mark.parametrize(
    ("estimate_ms", "elapsed_s", "percent", "options", "stuck"), [
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
def test_stuck_runs_are_distinguished_from_slow_ones(
        estimate_ms, elapsed_s, percent, options, stuck):
    task = progress.TaskState(messages.TaskId("j", 0, 0, 0), messages.Step(
        1, RESOURCES, estimate_ms, **options))
    task.phase = progress.RUNNING
    task.started_at = 100.0
    task.percent = percent
    assert stragglers.is_stuck(task, 100.0 + elapsed_s) is stuck


def test_tasks_move_off_a_hanging_worker():
    """Guards against jobs that take as long as a worker hangs.

    The worker answers and reports, but its runs make no progress.  Only
    failed runs counted against a worker, so it kept its tasks and got more.
    """
    bench = test_fleet_state.Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("j", messages.Step(2, RESOURCES, 500)))
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


class SimulatedStep:
    """One step that runs on workers of which the first is slow."""

    def __init__(self, task_count: int, estimate_ms: int, run_s: float,
                 first_worker_slowdown: float) -> None:
        self.bench = test_fleet_state.Bench(
            *(fleetfakes.entry(n) for n in range(2 * task_count + 2)))
        self.run_s = run_s
        self.first_worker_slowdown = first_worker_slowdown
        # The start times of current runs, by worker.
        self.started_at: dict[
            str, dict[tuple[messages.TaskId, int], float]] = {}
        self.ended_counts = dict.fromkeys(self.bench.state.workers, 0)
        self.starts = 0
        # A task needs all processors of a worker, so each has its own worker.
        self.bench.add(fleetfakes.job("j", messages.Step(
            task_count, messages.Resources(4000, 10), estimate_ms)))

    def place(self) -> None:
        previous_order_count = len(self.bench.orders)
        self.bench.place()
        for worker_id, order in self.bench.orders[previous_order_count:]:
            runs = self.started_at.setdefault(worker_id, {})
            if isinstance(order, messages.StartOrder):
                self.starts += 1
                runs[order.task, order.run] = self.bench.now
            else:
                self.end(worker_id, (order.task, order.run), "stopped")

    def end(self, worker_id: str, run: tuple[messages.TaskId, int],
            reason: str) -> None:
        if self.started_at[worker_id].pop(run, None) is None:
            return
        self.ended_counts[worker_id] += 1
        self.bench.report(worker_id, [], [messages.EndedTask(
            self.ended_counts[worker_id], *run, reason, "")])

    def advance(self) -> None:
        for worker_id, runs in self.started_at.items():
            required_s = self.run_s * (self.first_worker_slowdown
                                       if worker_id == "i-0" else 1.0)
            for run, start_time in list(runs.items()):
                done_ratio = (self.bench.now - start_time) / required_s
                if done_ratio >= 1.0:
                    self.end(worker_id, run, messages.DONE)
                else:
                    self.bench.report(worker_id, [messages.RunningTask(
                        *run, "", int(100 * done_ratio))])


@pytest.mark.parametrize(
    ("task_count", "estimate_ms", "run_s", "slowdown", "starts", "within_s"), [
        (8, 200, 1.7, 1.0, 8, 2.0),
        (8, 200, 1.7, 7.5, 9, 6.0),
        (8, 640, 0.64, 7.5, 9, 3.0),
        (8, 640, 0.64, 1e6, 9, 3.0),
        (1, 200, 1.7, 1.0, 2, 3.5),
        (1, 200, 6.0, 1.0, 2, 8.0),
        (1, 640, 0.64, 1e6, 2, 3.0),
    ], ids=["low-estimate", "low-estimate-slow-worker", "slow-worker",
            "worker-hangs", "single-task", "single-long-task",
            "single-task-worker-hangs"])
def test_low_estimates_do_not_cause_repeated_stops(
        task_count, estimate_ms, run_s, slowdown, starts, within_s):
    simulation = SimulatedStep(task_count, estimate_ms, run_s, slowdown)
    began_at = simulation.bench.now
    while (simulation.bench.state.active
           and simulation.bench.now < began_at + 30.0):
        simulation.place()
        simulation.advance()
    assert simulation.bench.now - began_at <= within_s
    assert simulation.starts <= starts
