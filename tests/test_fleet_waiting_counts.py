"""Test what callers are told of waiting jobs when the owner is gone."""

import pytest

from sycamorefield.fleet import clock
from sycamorefield.fleet import controlwatcher
from sycamorefield.fleet import messages
from sycamorefield.fleet import ownerchanges
from sycamorefield.fleet import progress
from sycamorefield.fleet import records
from sycamorefield.fleet import waitingcounts
from tests import fleetfakes

STALE_S = waitingcounts.MAX_STALE_S + 0.1


@pytest.fixture(name="store")
def fixture_store():
    """Return a store with five jobs, of which two wait."""
    store = fleetfakes.MemoryStore()

    def put(key, value):
        store.commit(messages.Transaction(puts=(messages.Put(key, value),)))

    for number in range(4):
        put(records.job_key(f"j{number}"),
            progress.encode_job(fleetfakes.job(f"j{number}")))
    put(records.job_key("timed"), progress.encode_job(
        fleetfakes.job("timed", start_at_ms=1e12)))
    put(records.cancel_key("j1"), b"1")
    put(records.progress_key("j2"), b'{"state": "running"}')
    put(records.progress_key("j3"), b'{"state": "pending"}')
    put(records.job_key("unreadable"), b"?")
    put(records.WAITING_JOBS_KEY, records.encode_counts({"checks": 7}))
    return store


@pytest.mark.parametrize(("claim", "queue", "after_s", "expected"), [
    (1, "checks", STALE_S, 7),
    (None, "checks", 1.0, 7),
    (None, "checks", STALE_S, 2),
    (None, "renewals", STALE_S, 0),
    (10**6, "checks", STALE_S, 2),
], ids=["owner writes", "owner changes", "no owner", "other queue",
        "new owner writes nothing"])
def test_stale_counts_are_replaced(store, monkeypatch, claim, queue, after_s,
                                   expected):
    """Guards against 0 waiting jobs shown while jobs wait for an owner."""
    now = [100.0]
    monkeypatch.setattr(clock, "now", lambda: now[0])
    counts = waitingcounts.WaitingCounts(
        store, store.get, lambda: claim, ownerchanges.OwnerChanges())
    assert counts.count("checks") == 7
    now[0] += after_s
    assert counts.count(queue) == expected


def test_missing_counts_are_made_from_the_stored_jobs(store, monkeypatch):
    """Guards against 0 waiting jobs shown before the first owner's count."""
    now = [100.0]
    monkeypatch.setattr(clock, "now", lambda: now[0])
    store.commit(messages.Transaction(removes=(records.WAITING_JOBS_KEY,)))
    counts = waitingcounts.WaitingCounts(
        store, store.get, lambda: None, ownerchanges.OwnerChanges())
    assert counts.count("checks") == 0
    now[0] += STALE_S
    assert counts.count("checks") == 2


def watching(store):
    """Return a watcher that has read the store, and its counts."""
    watcher = controlwatcher.ControlWatcher(
        store, "op/c", lambda value: messages.Configuration())
    return watcher, waitingcounts.WaitingCounts(
        store, store.get, watcher.owner_claim, watcher.owner_changes)


def change_owner(store, watcher, revision):
    """Let the owner's key expire and another process claim it."""
    for transaction in (
            messages.Transaction(removes=(records.OWNER_KEY,)),
            messages.Transaction(puts=(
                messages.Put(records.OWNER_KEY, b"next"),))):
        store.commit(transaction)
    changes = store.watch(records.WATCHED_PREFIX, revision, 0)
    watcher._apply_changes(changes.changes)
    return changes.revision


@pytest.mark.parametrize(("gap_s", "changes", "expected"), [
    (2.0, 3, 2), (2.0, 1, 7), (0.1, 3, 7)],
    ids=["owners-in-turn", "single-change", "quick-changes"])
def test_first_request_after_changes_of_the_owner(
        store, monkeypatch, gap_s, changes, expected):
    """Guards against a stale count in a process that was not asked before."""
    now = [100.0]
    monkeypatch.setattr(clock, "now", lambda: now[0])
    store.commit(messages.Transaction(puts=(
        messages.Put(records.OWNER_KEY, b"first"),)))
    store.commit(messages.Transaction(puts=(messages.Put(
        records.WAITING_JOBS_KEY, records.encode_counts({"checks": 7})),)))
    watcher, counts = watching(store)
    revision = watcher._list_keys()
    for _ in range(changes):
        revision = change_owner(store, watcher, revision)
        now[0] += gap_s
    assert counts.count("checks") == expected


@pytest.mark.parametrize("has_owner", [False, True])
def test_first_request_after_the_start_of_a_process(store, has_owner):
    """Guards against counts of an owner that ended before the start."""
    if has_owner:
        store.commit(messages.Transaction(puts=(
            messages.Put(records.OWNER_KEY, b"next"),)))
    watcher, counts = watching(store)
    watcher._list_keys()
    assert counts.count("checks") == 2
