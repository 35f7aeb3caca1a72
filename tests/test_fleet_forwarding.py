"""Test which answer a caller gets if its request is forwarded."""

import math

import pytest

from sycamorefield.fleet import forwarding
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages

NO_ANSWER = interfaces.CallFailed("no answer")
NOT_SENT = interfaces.NotConnected("no connection")


class ScriptedPeer(interfaces.EntryPeer):
    """A process that gives one answer to all requests."""

    def __init__(self, outcome, ready=True, config_version=0):
        self.outcome = outcome
        self.ready = ready
        self.config_version = config_version
        self.requests = 0

    def is_ready(self):
        return self.ready

    def send(self, request):
        self.requests += 1
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return messages.ForwardedReply(
            self.outcome, {}, 0, self.config_version)


def make_forwarder(*peers, serves=False):
    forwarder = forwarding.Forwarder(peers, lambda: serves)
    forwarder.probe()
    return forwarder


def forward(forwarder, deadline=math.inf):
    """Return the status of the answer, or None; raises CallFailed."""
    reply = forwarder.forward(messages.CallerRequest(
        "POST", "/x/1", "h", b"", deadline))
    return None if reply is None else reply.status


ANSWERS = [
    # outcomes of the processes in order, status for the caller
    ([], None),
    ([200], 200),
    ([503], 503),
    ([NOT_SENT], None),
    ([NOT_SENT, 200], 200),
    ([forwarding.MISDIRECTED], None),
    ([forwarding.MISDIRECTED, NOT_SENT, 410], 410),
    ([NO_ANSWER, 200], 200),
    ([NO_ANSWER, 410], 410),
]


@pytest.mark.parametrize(("outcomes", "status"), ANSWERS)
def test_next_process_is_asked_if_one_does_not_answer(outcomes, status):
    forwarder = make_forwarder(*map(ScriptedPeer, outcomes))
    assert forward(forwarder) == status


@pytest.mark.parametrize("outcomes", [
    [NO_ANSWER], [NO_ANSWER, 503], [NO_ANSWER, 429], [NO_ANSWER, NOT_SENT],
    [NO_ANSWER, forwarding.MISDIRECTED], [NOT_SENT, NO_ANSWER]])
def test_unanswered_request_is_not_reported_as_refused(outcomes):
    """Guards against a job that runs although its caller was refused."""
    forwarder = make_forwarder(*map(ScriptedPeer, outcomes))
    with pytest.raises(interfaces.CallFailed) as caught:
        forward(forwarder)
    assert caught.value is NO_ANSWER


@pytest.mark.parametrize("outcome", [
    NO_ANSWER, NOT_SENT, forwarding.MISDIRECTED])
def test_failed_process_is_not_asked_again_before_a_probe(outcome):
    """Guards against callers that all wait for a process that has ended."""
    failing = ScriptedPeer(outcome)
    forwarder = make_forwarder(failing, ScriptedPeer(200))
    for _ in range(3):
        assert forward(forwarder) == 200
    assert failing.requests == 1
    forwarder.probe()
    assert forward(forwarder) == 200
    assert failing.requests == 2


def test_process_that_is_not_ready_is_not_asked():
    peer = ScriptedPeer(200, ready=False)
    assert forward(make_forwarder(peer)) is None
    assert peer.requests == 0


def test_nothing_is_probed_while_the_store_answers():
    peer = ScriptedPeer(200)
    forwarder = make_forwarder(peer, serves=True)
    assert not forwarder.ready


def test_request_without_time_left_is_not_sent():
    peer = ScriptedPeer(200)
    assert forward(make_forwarder(peer), deadline=0.0) is None
    assert peer.requests == 0


def test_newest_configuration_of_an_answer_is_remembered():
    """Guards against a request that is handled by an older configuration."""
    newer = ScriptedPeer(200, config_version=9)
    forwarder = make_forwarder(newer, ScriptedPeer(200, config_version=7))
    forward(forwarder)
    newer.outcome = NOT_SENT
    forward(forwarder)
    assert forwarder.config_version == 9
