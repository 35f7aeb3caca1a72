"""Test that best-effort runs get the pace that their owner means."""

import pytest

from sycamorefield.fleet import answers
from sycamorefield.fleet import messages
from tests import fleetfakes
from tests import test_fleet_state

# A pace without an answer is carried out at most this much later.
LATEST_EXECUTION_S = 12.0
REPORT_PERIOD_S = 0.4
LOW_TAIL_MS, HIGH_TAIL_MS = 30.0, 200.0
SERVING = messages.Step(
    1, messages.Resources(1000, 1000), perpetual=True, image="serving",
    target_ms=100.0)
BEST_EFFORT = messages.Step(
    1, messages.Resources(1000, 1000), 2000, fills=True, image="batch")


class SharedWorker:
    """A worker with a serving and a best-effort run that obeys paces.

    The first paces equal to late_percent and lost_percent get no answer: they
    are carried out LATEST_EXECUTION_S late and never.
    """

    def __init__(self, late_percent=None, lost_percent=None):
        self.bench = test_fleet_state.Bench(fleetfakes.entry(0, 8000))
        self.bench.add(fleetfakes.job("serving", SERVING), 20)
        self.bench.add(fleetfakes.job("batch", BEST_EFFORT), 21)
        assert len(self.bench.place()) == 2
        self.late_percent = late_percent
        self.lost_percent = lost_percent
        self.pace = 100
        self.late_paces = []
        self.orders_read = len(self.bench.orders)

    def obey(self):
        """Carry out the paces ordered since, and those that are now due."""
        orders = self.bench.orders[self.orders_read:]
        self.orders_read = len(self.bench.orders)
        for _, order in orders:
            if not isinstance(order, messages.PaceOrder):
                continue
            if order.percent == self.late_percent:
                self.late_percent = None
                self.late_paces.append(
                    (self.bench.now + LATEST_EXECUTION_S, order.percent))
            elif order.percent == self.lost_percent:
                self.lost_percent = None
            else:
                self.pace = order.percent
                continue
            answers.record_uncertain_pace(
                self.bench.state, "i-0", order, self.bench.now)
        for due in [late for late in self.late_paces
                    if late[0] <= self.bench.now]:
            self.late_paces.remove(due)
            self.pace = due[1]

    def report(self, tail_ms, seconds):
        """Report both runs for some time, and obey after each report."""
        for _ in range(int(seconds / REPORT_PERIOD_S)):
            self.bench.now += REPORT_PERIOD_S
            self.bench.report("i-0", [
                messages.RunningTask(task, run, "", 100, tail_ms)
                if state.step.target_ms else
                messages.RunningTask(task, run, "", 20, 10.0 * self.pace)
                for (task, run), state
                in self.bench.state.workers["i-0"].tasks.items()])
            self.obey()


@pytest.mark.parametrize("late_percent", [None, 0])
def test_run_is_not_left_paused_by_a_pause_carried_out_late(late_percent):
    worker = SharedWorker(late_percent=late_percent)
    worker.report(LOW_TAIL_MS, 1.2)
    worker.report(HIGH_TAIL_MS, 3.2)
    assert bool(worker.late_paces) == (late_percent is not None)
    worker.report(LOW_TAIL_MS, 2 * LATEST_EXECUTION_S)
    assert not worker.late_paces
    assert worker.pace == 100
    assert not worker.bench.state.workers["i-0"].uncertain_paces


@pytest.mark.parametrize("lost_percent", [None, 0])
def test_lost_pause_is_ordered_again_while_a_tail_is_too_high(lost_percent):
    """Guards against harm that lasts as no pace differs from the last."""
    worker = SharedWorker(lost_percent=lost_percent)
    worker.report(LOW_TAIL_MS, 1.2)
    worker.report(HIGH_TAIL_MS, 6.0)
    assert worker.lost_percent is None
    assert worker.pace == 0


def test_uncertain_pace_is_forgotten_with_its_run():
    worker = SharedWorker()
    state = worker.bench.state.workers["i-0"]
    (batch,) = [run for run, task in state.tasks.items() if task.step.fills]
    order = messages.PaceOrder(*batch, 50)
    answers.record_uncertain_pace(
        worker.bench.state, "i-0", order, worker.bench.now)
    assert batch in state.uncertain_paces
    state.release(batch, BEST_EFFORT)
    assert not state.uncertain_paces
