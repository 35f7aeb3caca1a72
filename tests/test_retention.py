"""Remove records of requests once no retry can come, and not before."""

import time

import pytest

from sycamorefield import errors
from sycamorefield import idempotency
from tests import deployment
from tests import standins

KEEP = 0.6


@pytest.fixture
def kv():
    stand_in = standins.Kv()
    yield stand_in
    stand_in.close()


def _answered(ledger, key):
    """Run one request to its recorded answer."""
    begun = ledger.begin(key, "r-" + key).unwrap()
    assert begun.start == idempotency.Start.FRESH
    ledger.finish(key, begun, {"certificate": key})


def _recorded(kv, key):
    return kv.store.items.get(idempotency.PREFIX + key) is not None


RETENTION = [
    # how long records are kept, seconds, whether they are ever removed
    ("bound to a lease", KEEP, True),
    ("naive: for ever", 0.0, False),
]


@pytest.mark.parametrize("label,keep,removed", RETENTION,
                         ids=[row[0] for row in RETENTION])
def test_records_are_kept_long_enough_and_then_removed(kv, label, keep,
                                                       removed):
    """Keep a record for as long as retries may come, then remove it.

    Symptom: the key-value service fills up with old requests.

    Sequence: requests that must not be repeated are recorded, answered
    and never asked for again.

    Cause: nothing removed their records.
    """
    ledger = idempotency.Ledger(kv.client, "entry-1", keep_seconds=keep)
    _answered(ledger, "early")
    time.sleep(KEEP * 0.8)
    # Bound to the same lease as the first, late in its time.
    _answered(ledger, "late")
    time.sleep(KEEP)
    again = ledger.begin("late", "r-again").unwrap()
    assert again.start == idempotency.Start.REPLAY
    assert again.answer == {"certificate": "late"}
    gone = deployment.wait_until(
        lambda: not _recorded(kv, "early") and not _recorded(kv, "late"),
        KEEP * 3)
    assert gone == removed


def test_lease_cut_short_refuses_one_request_and_no_more(kv):
    """Get a new lease when the store has cut the old one short.

    Symptom: every request that must not be repeated is refused.

    Sequence: the store ends the lease early; records cannot be bound.

    Cause guarded against: a lease that is taken for good until its time.
    """
    ledger = idempotency.Ledger(kv.client, "entry-1", keep_seconds=3600.0)
    _answered(ledger, "one")
    kv.client.revoke(ledger.retention.held)
    refused = ledger.begin("two", "r-two").failure()
    assert refused.code == errors.NOT_RUN
    _answered(ledger, "two")


def test_answer_is_recorded_though_the_lease_was_cut_short(kv):
    ledger = idempotency.Ledger(kv.client, "entry-1", keep_seconds=3600.0)
    begun = ledger.begin("one", "r-one").unwrap()
    ledger.retention.held = kv.client.grant(60_000).unwrap()
    kv.client.revoke(ledger.retention.held)
    ledger.finish("one", begun, {"certificate": "one"})
    assert deployment.wait_until(
        lambda: ledger.begin("one", "r-again").map(
            lambda b: b.answer).value_or(None) == {"certificate": "one"}, 3)


def test_store_down_before_the_first_lease_is_not_run(kv):
    kv.client.timeout = 0.3
    kv.faults(down=True)
    ledger = idempotency.Ledger(kv.client, "entry-1", keep_seconds=3600.0)
    assert ledger.begin("one", "r-one").failure().code == errors.NOT_RUN
    kv.faults()
    _answered(ledger, "one")
