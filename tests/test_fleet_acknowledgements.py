"""Test which calls let a worker forget the ends of its runs.

Each life of a worker numbers its ends from 1.  A call that is carried out
late, by the next life, makes that one forget ends of its own.
"""

import asyncio

import pytest

from sycamorefield.fleet import answers
from sycamorefield.fleet import clock
from sycamorefield.fleet import link as link_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import recordedends
from tests import fleetfakes
from tests import test_fleet_link
from tests import test_fleet_unreported_life

BORN_MS = 1_000
STORED = 31
NO_ACKNOWLEDGEMENT = 0


class AcknowledgedLink:
    """The link to a worker of which ends up to a number are stored."""

    def __init__(self, monkeypatch) -> None:
        self.bench = test_fleet_unreported_life.SilentBench()
        monkeypatch.setattr(clock, "now", lambda: self.bench.now)
        self.order = self.bench.order
        self.bench.leave_start_unanswered()
        self.link = test_fleet_link.make_link(
            self.bench, fleetfakes.MemoryWorker("i-0"))
        self.link.ends.note_report(BORN_MS)
        self.link.ends.store(recordedends.LifeEnds(BORN_MS, STORED))

    def next_number(self) -> int:
        """Return what the next call would acknowledge."""
        self.bench.now += 0.01
        return self.link._acknowledged_number()

    def answer_start(self) -> None:
        answers.record_attempt_over(
            self.bench.state, "i-0", self.order, self.bench.sent_at)
        answers.record_started(
            self.bench.state, "i-0", self.order, self.bench.now)


@pytest.fixture(name="fixture")
def fixture_link(monkeypatch) -> AcknowledgedLink:
    return AcknowledgedLink(monkeypatch)


def test_call_behind_an_unanswered_start_acknowledges_nothing(fixture):
    """Guards against an end that the next life forgets before it is read."""
    link = fixture.link
    link.ends.stored = recordedends.NO_ENDS
    assert fixture.next_number() == NO_ACKNOWLEDGEMENT
    link.ends.store(recordedends.LifeEnds(BORN_MS, STORED))
    assert fixture.next_number() == NO_ACKNOWLEDGEMENT
    fixture.answer_start()
    assert fixture.next_number() == STORED


def test_worker_that_loses_answers_forgets_ends_in_time(fixture):
    """Guards against a list of ends that grows while answers are lost."""
    fixture.link.ends.stored = recordedends.NO_ENDS
    fixture.next_number()
    fixture.link.ends.store(recordedends.LifeEnds(BORN_MS, STORED))
    assert fixture.next_number() == NO_ACKNOWLEDGEMENT
    fixture.bench.now += link_mod.MAX_ACKNOWLEDGEMENT_DELAY_S
    assert fixture.next_number() == STORED


def test_silent_worker_is_told_to_forget_nothing(fixture):
    """Guards against a late call that the next life takes for its own."""
    fixture.answer_start()
    fixture.bench.silence()
    assert fixture.next_number() == NO_ACKNOWLEDGEMENT


@pytest.mark.parametrize(("listed", "number"), [
    ((), NO_ACKNOWLEDGEMENT), ((STORED + 1,), NO_ACKNOWLEDGEMENT),
    ((STORED,), STORED)], ids=["none", "later", "not-forgotten"])
def test_ends_that_are_forgotten_are_not_acknowledged_again(
        fixture, monkeypatch, listed, number):
    """Guards against calls without need that the next life may carry out."""
    fixture.answer_start()

    async def renew(fence, recorded_upto, lease_end_ms, wait_ms, answer_s):
        assert recorded_upto == STORED
        return messages.WorkerReport(fixture.bench.now, (), tuple(
            messages.EndedTask(n, fixture.order.task, 1, "stopped", "")
            for n in listed), BORN_MS)

    monkeypatch.setattr(fixture.link.worker, "renew", renew)
    asyncio.run(fixture.link._renew(fixture.link.worker, 1))
    assert fixture.next_number() == number
