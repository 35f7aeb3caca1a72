"""Test that records of requests are removed after retention, not before."""

import time

import pytest

from sycamorefield import errors
from sycamorefield import idempotency
from tests import deployment
from tests import standins

RETENTION_S = 0.6


@pytest.fixture
def kv():
    stand_in = standins.Kv()
    yield stand_in
    stand_in.close()


def _record_answered_request(idempotency_store, key):
    """Record a request and its answer."""
    recorded = idempotency_store.record_start(key, "r-" + key).unwrap()
    assert recorded.kind == idempotency.RecordKind.NEW
    idempotency_store.record_answer(key, recorded, {"certificate": key})


def _is_stored(kv, key):
    return kv.store.items.get(idempotency.KEY_PREFIX + key) is not None


RETENTION_CASES = [
    # case, retention in seconds, whether records are removed
    ("bound to a lease", RETENTION_S, True),
    ("naive: forever", 0.0, False),
]


@pytest.mark.parametrize("case_name,retention_s,removed", RETENTION_CASES,
                         ids=[row[0] for row in RETENTION_CASES])
def test_records_are_removed_only_after_retention(kv, case_name, retention_s,
                                                  removed):
    """Check that a record is kept for the retention period, then removed.

    Retries must be answered from the record during the retention period.
    Without removal, records of requests that are never retried would fill
    up the key-value service.
    """
    idempotency_store = idempotency.IdempotencyStore(
        kv.client, "entry-1", retention_s=retention_s)
    _record_answered_request(idempotency_store, "early")
    time.sleep(RETENTION_S * 0.8)
    # Bound to the same lease as the first, shortly before the lease stops
    # taking new records.
    _record_answered_request(idempotency_store, "late")
    time.sleep(RETENTION_S)
    again = idempotency_store.record_start("late", "r-again").unwrap()
    assert again.kind == idempotency.RecordKind.REPLAY
    assert again.answer == {"certificate": "late"}
    gone = deployment.wait_until(
        lambda: not _is_stored(kv, "early") and not _is_stored(kv, "late"),
        RETENTION_S * 3)
    assert gone == removed


def test_lease_that_ends_early_refuses_only_one_request(kv):
    """Check that a lease ended early by the store is replaced.

    If the lease were used until its regular end, no record could be bound
    to it, and every non-idempotent request would be refused.
    """
    idempotency_store = idempotency.IdempotencyStore(
        kv.client, "entry-1", retention_s=3600.0)
    _record_answered_request(idempotency_store, "one")
    kv.client.revoke(idempotency_store.retention.lease_id)
    refused = idempotency_store.record_start("two", "r-two").failure()
    assert refused.code == errors.NOT_RUN
    _record_answered_request(idempotency_store, "two")


def test_answer_is_recorded_after_its_lease_ended_early(kv):
    idempotency_store = idempotency.IdempotencyStore(
        kv.client, "entry-1", retention_s=3600.0)
    recorded = idempotency_store.record_start("one", "r-one").unwrap()
    idempotency_store.retention.lease_id = kv.client.grant(60_000).unwrap()
    kv.client.revoke(idempotency_store.retention.lease_id)
    idempotency_store.record_answer("one", recorded, {"certificate": "one"})
    assert deployment.wait_until(
        lambda: idempotency_store.record_start("one", "r-again").map(
            lambda r: r.answer).value_or(None) == {"certificate": "one"}, 3)


def test_request_is_not_run_when_store_is_down_before_first_lease(kv):
    kv.client.timeout = 0.3
    kv.faults(down=True)
    idempotency_store = idempotency.IdempotencyStore(
        kv.client, "entry-1", retention_s=3600.0)
    assert idempotency_store.record_start(
        "one", "r-one").failure().code == errors.NOT_RUN
    kv.faults()
    _record_answered_request(idempotency_store, "one")
