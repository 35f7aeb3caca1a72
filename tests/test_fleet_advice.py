"""Show that advised queues run only where advice allows."""

import pytest

from sycamorefield.fleet import answers
from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import rounds
from sycamorefield.platform import advice as platform_advice
from tests import fleetfakes
from tests import platformfakes
from tests import test_fleet_state

POLICY = messages.AdvicePolicy(10.0, 1.0, 5000.0)
STEP = messages.Step(2, messages.Resources(1000, 10))


class Service(interfaces.AdviceService):
    """Allow some workers; refuse a number of calls first."""

    def __init__(self, good, refusals=0):
        self.good = good
        self.refusals = refusals
        self.asked = []
        self.valid_ms = None

    def advise(self, step, workers, policy):
        if self.refusals:
            self.refusals -= 1
            raise interfaces.CallRefused("busy")
        self.asked.append((step, workers))
        return messages.Advice({w: f"{step}/{w}" for w in workers
                                if w in self.good}, self.valid_ms)


def configuration():
    return messages.Configuration(1, (messages.Queue(
        "checks", "h", "/c/", "desk", 0, 2, POLICY),))


@pytest.fixture(name="bench")
def fixture_bench():
    bench = test_fleet_state.Bench(*(fleetfakes.entry(n) for n in range(3)))
    bench.state.configuration = configuration
    bench.now = clock.now()
    return bench


def answer(bench):
    """Let the book ask all that is wanted."""
    book = bench.state.advice
    for question in list(book.wanted.values()):
        book.ask(question)


def test_steps_start_only_where_advised_and_carry_the_ticket(bench):
    bench.state.advice.service = service = Service({"i-1"})
    bench.add(fleetfakes.job("j", STEP))
    assert not bench.place()
    answer(bench)
    assert bench.place() == ["j.0.0.0@i-1", "j.0.0.1@i-1"]
    assert {order.ticket for _, order in bench.orders} == {"j.0.0/i-1"}
    assert [step for step, _ in service.asked] == ["j.0.0"]


def test_nothing_is_asked_while_good_workers_have_room(bench):
    """Spare the service, which answers one call at a time."""
    bench.state.advice.service = service = Service({"i-1"})
    bench.add(fleetfakes.job("j", STEP))
    for _ in range(4):
        bench.place()
        answer(bench)
    assert len(service.asked) == 1


def test_a_refused_call_is_asked_again(bench):
    bench.state.advice.service = Service({"i-2"}, refusals=1)
    bench.add(fleetfakes.job("j", STEP))
    bench.place()
    answer(bench)
    assert not bench.place()
    answer(bench)
    assert len(bench.place()) == 2


@pytest.mark.parametrize("how", ["rejected", "expired"])
def test_a_ticket_that_holds_no_longer_is_asked_for_again(bench, how):
    """Ask anew after a ticket was not taken or has ended.

    Symptom would be a job that never starts.  Events: the ticket's time was
    over when the start arrived.  Cause would be to keep the ticket.
    """
    bench.state.advice.service = service = Service({"i-1"})
    bench.add(fleetfakes.job("j", messages.Step(1, STEP.room)))
    bench.place()
    answer(bench)
    if how == "rejected":
        bench.now += 0.1
        rounds.place(bench.state, bench.now, 1e12)
        answers.record_rejected(bench.state, "i-1", bench.orders[-1][1],
                                interfaces.INVALID_TICKET, bench.now)
    else:
        bench.now += 10.0
    assert not bench.place()
    answer(bench)
    assert len(service.asked) == 2


@pytest.mark.parametrize(("valid_ms", "placed"), [
    (400.0, 0), (60_000.0, 1)], ids=["about-to-end", "valid"])
def test_the_services_word_on_validity_goes_before_the_policys(
        bench, valid_ms, placed):
    bench.state.advice.service = service = Service({"i-1"})
    service.valid_ms = valid_ms
    bench.add(fleetfakes.job("j", messages.Step(1, STEP.room)))
    bench.place()
    answer(bench)
    assert len(bench.place()) == placed


def test_what_ended_is_forgotten(bench):
    bench.state.advice.service = Service({"i-1"})
    bench.add(fleetfakes.job("j", STEP))
    bench.place()
    answer(bench)
    bench.state.cancel("j")
    book = bench.state.advice
    assert not (book.tickets or book.unfit or book.wanted)


@pytest.mark.parametrize(("status", "error"), [
    (200, None), (429, interfaces.CallRefused),
    (500, interfaces.CallFailed)])
def test_the_platforms_answers_are_decoded(status, error):
    server = platformfakes.Server(lambda method, path, query, body: (
        status, {"good": [[body["workers"][0], "t"]], "valid_ms": 3000}))
    service = platform_advice.PlatformAdvice(server.address)
    try:
        if error is None:
            assert service.advise("j.0.0", ("a", "b"), POLICY) == (
                messages.Advice({"a": "t"}, 3000.0))
        else:
            with pytest.raises(error):
                service.advise("j.0.0", ("a", "b"), POLICY)
    finally:
        server.close()
