"""Test that unreadable answers count as calls without an answer.

Any other error ends a term, and that of each successor as long as a service
answers so.
"""

import pytest

from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.platform import advice as advice_mod
from sycamorefield.platform import jsonclient
from sycamorefield.platform import reportrows
from sycamorefield.platform import store as store_mod
from sycamorefield.platform import workers as workers_mod
from tests import platformfakes

TRANSACTION = messages.Transaction(puts=(messages.Put("k", b"v"),))
CALLS = {
    "get": lambda store: store.get("k"),
    "listing": lambda store: store.listing("k"),
    "watch": lambda store: store.watch("k", 1, 10),
    "commit": lambda store: store.commit(TRANSACTION),
    "grant": lambda store: store.grant(1000)}
UNREADABLE_ROW = {"key": "k", "value": "x", "rev": 5}


@pytest.mark.parametrize(("call", "status", "body"), [
    ("get", 200, {}), ("get", 200, UNREADABLE_ROW),
    ("get", 200, {"key": "k", "rev": None}),
    ("listing", 200, {}), ("listing", 200, {"items": []}),
    ("listing", 200, {"items": [{}], "current_rev": 5}),
    ("listing", 200, {"items": [UNREADABLE_ROW], "current_rev": 5}),
    ("listing", 200, {"items": 7, "current_rev": 5}),
    ("listing", 200, {"items": [], "current_rev": "new"}),
    ("watch", 200, {"events": [{}]}), ("watch", 200, {"events": 7}),
    ("watch", 200, {"current_rev": "new"}),
    ("commit", 200, {}), ("commit", 200, {"rev": None}),
    ("commit", 412, {"items": [{"rev": 5}]}), ("commit", 412, {"items": 7}),
    ("grant", 200, {}), ("grant", 200, {"lease": "x"})])
def test_unreadable_answer_of_the_store_is_no_answer(call, status, body):
    server = platformfakes.FaultyServer(lambda *_: (status, body))
    with pytest.raises(interfaces.CallFailed):
        CALLS[call](store_mod.PlatformStore(server.address))


@pytest.mark.parametrize("status", [400, 403, 413])
def test_transaction_that_the_store_does_not_accept_had_no_effect(status):
    """Guards against a transaction that is repeated for ever."""
    server = platformfakes.FaultyServer(lambda *_: (status, {}))
    with pytest.raises(interfaces.CallInvalid):
        store_mod.PlatformStore(server.address).commit(TRANSACTION)


@pytest.mark.parametrize("body", [
    {"good": 7}, {"good": [[]]}, {"good": [7]}, {"good": {"a": 1}},
    {"valid_ms": "long"}, {"valid_ms": []}])
def test_unreadable_advice_is_no_answer(body):
    server = platformfakes.FaultyServer(lambda *_: (200, body))
    with pytest.raises(interfaces.CallFailed):
        advice_mod.PlatformAdvice(server.address).advise(
            "j.0.0", ("i-0",), messages.AdvicePolicy())


def clock_ms_of(data):
    """Return the time in an answer to an order."""
    return jsonclient.decode_or_fail(
        workers_mod._decode_clock_ms, jsonclient.JsonResponse(200, data).body)


NESTED = b"[" * 100_000 + b"]" * 100_000


@pytest.mark.parametrize("decode", [
    clock_ms_of, reportrows.decode_report,
    lambda data: workers_mod._require_ok(jsonclient.JsonResponse(409, data))],
    ids=["order", "report", "rejection"])
@pytest.mark.parametrize("data", [
    NESTED, NESTED[:100_000], b'{"clock_ms": ' + NESTED + b"}",
    b'{"reason": ' + NESTED + b"}", b"\xff"],
    ids=["list", "open", "clock", "reason", "bytes"])
def test_answer_of_a_worker_that_can_not_be_decoded_is_no_answer(
        decode, data):
    """Guards against other errors, as of nesting, that end a term."""
    with pytest.raises(interfaces.CallFailed):
        decode(data)


@pytest.mark.parametrize("depth", [10, 300, 900, 990])
def test_reason_of_a_rejection_may_be_nested(depth):
    """Guards against errors of a text made of a nested value."""
    data = b'{"reason": ' + b"[" * depth + b"]" * depth + b"}"
    with pytest.raises((interfaces.CallFailed, interfaces.OrderRejected)):
        workers_mod._require_ok(jsonclient.JsonResponse(409, data))


def test_advice_service_without_a_listener_is_not_connected():
    """Guards against an owner that takes a cut for an answer."""
    server = platformfakes.FaultyServer(lambda *_: (503, {}))
    service = advice_mod.PlatformAdvice(server.address)
    assert service.address == server.address
    with pytest.raises(interfaces.CallRefused) as answered:
        service.advise("j.0.0", ("i-0",), messages.AdvicePolicy())
    assert not isinstance(answered.value, interfaces.NotConnected)
    server.close()
    service = advice_mod.PlatformAdvice(server.address)
    with pytest.raises(interfaces.NotConnected):
        service.advise("j.0.0", ("i-0",), messages.AdvicePolicy())
