"""Test calls to workers that leave single calls unanswered."""

import asyncio

import pytest

from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import link as link_mod
from sycamorefield.fleet import lostanswers
from sycamorefield.fleet import messages
from tests import fleetfakes
from tests import test_fleet_link
from tests import test_fleet_state

SHORT_S = lostanswers.SHORTEST_ANSWER_S
USUAL_S = interfaces.ORDER_ANSWER_S


class AnswerLosingWorker(fleetfakes.MemoryWorker):
    """Lose the paces at some positions; note the time that each one gets."""

    def __init__(self, lost, moment, took_s=0.0):
        super().__init__("i-0")
        self.lost, self.moment, self.took_s = lost, moment, took_s
        self.times = []

    async def pace(self, order, fence):
        self.times.append(self.order_answer_s)
        if (len(self.times) - 1 in self.lost
                or self.took_s > self.order_answer_s):
            self.moment[0] += self.order_answer_s
            raise interfaces.CallFailed("no answer")
        self.moment[0] += self.took_s
        return 0.0


@pytest.fixture(name="moment")
def fixture_moment(monkeypatch):
    moment = [1000.0]
    monkeypatch.setattr(clock, "now", lambda: moment[0])
    return moment


def send_paces(moment, worker, count, pause_s=0.0):
    """Send paces one after another; return the link."""
    bench = test_fleet_state.Bench()
    bench.now = moment[0]
    bench.state.add_worker(fleetfakes.entry(0))
    link = test_fleet_link.make_link(bench, worker)
    task = messages.TaskId("j", 0, 0, 0)

    async def send():
        for _ in range(count):
            await link._send(messages.PaceOrder(task, 1, 50))
            moment[0] += pause_s

    asyncio.run(send())
    return link


def test_lost_orders_delay_the_next_ones_briefly(moment):
    """Guards against starts that wait while others get no answer."""
    worker = AnswerLosingWorker({1, 4, 7, 10, 11, 14}, moment)
    send_paces(moment, worker, 15)
    assert worker.times == (
        [USUAL_S] * 6 + [SHORT_S] * 6 + [USUAL_S] + [SHORT_S] * 2)


@pytest.mark.parametrize("lost", [set(), {3}, {3, 4, 5}],
                         ids=["none", "one", "one-silence"])
def test_single_silence_leaves_the_time_for_answers(moment, lost):
    """Guards against short times after a cut, or a pause of the owner."""
    worker = AnswerLosingWorker(lost, moment)
    link = send_paces(moment, worker, 10)
    assert worker.times == [USUAL_S] * 10
    assert (link.lost_answers.report_wait_ms(
        link_mod.REPORT_WAIT_MS, moment[0]) == link_mod.REPORT_WAIT_MS)


def test_worker_that_became_slow_is_given_time_to_answer(moment):
    """Guards against a slow worker that is taken to be silent."""
    worker = AnswerLosingWorker({1, 3}, moment)
    link = send_paces(moment, worker, 5)
    assert link._answer_s() == SHORT_S
    slow = AnswerLosingWorker((), moment, took_s=0.4)
    link.worker = slow
    task = messages.TaskId("j", 0, 0, 0)
    for _ in range(5):
        asyncio.run(link._send_pace(messages.PaceOrder(task, 1, 50)))
    assert slow.times == [SHORT_S] * 2 + [USUAL_S] * 3


def test_short_times_end_some_seconds_after_the_last_lost_answer(moment):
    """Guards against short times long after the network has recovered."""
    worker = AnswerLosingWorker({1, 3}, moment)
    send_paces(moment, worker, 20, pause_s=1.0)
    assert SHORT_S in worker.times
    assert worker.times[-5:] == [USUAL_S] * 5


def test_reports_are_requested_more_often_while_answers_are_lost(moment):
    """Guards against ends that stay unknown while a report is missed."""
    link = send_paces(moment, AnswerLosingWorker({1, 3}, moment), 5)
    worker = link.fleet.workers["i-0"]
    worker.has_reported = True
    assert link._report_wait_ms() <= lostanswers.REPORT_WAIT_MS
    assert link._answer_s() == SHORT_S
    moment[0] += lostanswers.MEMORY_S
    assert link._report_wait_ms() == link_mod.REPORT_WAIT_MS
    assert link._answer_s() == interfaces.REPORT_ANSWER_S
