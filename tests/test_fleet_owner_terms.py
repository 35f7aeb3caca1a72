"""Test that terms of owners start and end without leaving anything behind."""

import json
import threading

import pytest

from sycamorefield.fleet import clock
from sycamorefield.fleet import controlwatcher
from sycamorefield.fleet import link as link_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import owner as owner_mod
from sycamorefield.fleet import ownership as ownership_mod
from sycamorefield.fleet import ownerterms
from sycamorefield.fleet import records
from sycamorefield.fleet import reports
from sycamorefield.fleet import suspicion
from sycamorefield.fleet import workerstate
from tests import fleetfakes
from tests import test_fleet_state
from tests import test_fleet_takeover

HOLD_MAX_MS = 6000.0


def wait_for(condition):
    """Wait until a condition holds."""
    test_fleet_takeover.wait_for(condition)


def test_worker_counts_as_reported_only_once_all_its_ends_are_listed():
    """Place no old task before a worker has listed all its ends of runs.

    Ends beyond the first page may be those of tasks that wait to be placed.
    """
    bench = test_fleet_state.Bench()
    bench.state.add_worker(fleetfakes.entry(0))
    bench.state.enrol(["i-0"])
    bench.state.await_workers(["i-0"], bench.now + 10.0)
    bench.add(fleetfakes.job("old", messages.Step(
        reports.MAX_ENDS_PER_REPORT + 1, messages.Resources(1, 1))), created=5)
    ends = [messages.EndedTask(n + 1, messages.TaskId("old", 0, 0, n), 1,
                               messages.DONE, "")
            for n in range(reports.MAX_ENDS_PER_REPORT + 1)]
    bench.report("i-0", ended=ends[:reports.MAX_ENDS_PER_REPORT])
    assert not bench.place()
    bench.report("i-0", ended=ends[reports.MAX_ENDS_PER_REPORT:])
    assert not bench.place()
    assert not bench.state.awaited_workers


@pytest.fixture(name="fleet")
def fixture_fleet():
    fleet = test_fleet_takeover.Fleet()
    yield fleet
    if fleet.owner is not None:
        fleet.owner.step_down("test over")


def test_term_that_ends_during_recovery_leaves_no_threads(fleet):
    """Close worker links that are started after the term has ended."""
    owner = owner_mod.Owner(
        fleet.store, fleet.worker_list,
        lambda entry: fleet.workers[entry.worker_id],
        fleetfakes.configuration, 99, HOLD_MAX_MS)
    workers = fleet.worker_list.workers

    def step_down_then_list():
        owner.step_down("lease ended")
        return workers()

    fleet.worker_list.workers = step_down_then_list
    before = set(threading.enumerate())
    owner.run()
    wait_for(lambda: not set(threading.enumerate()) - before)


def make_ownership(store, make_owner):
    """Return the Ownership of a process that sees the fleet as free."""
    watcher = controlwatcher.ControlWatcher(
        store, "op/c", lambda value: messages.Configuration())
    watcher.configuration_known = watcher.owner_known = True
    return ownership_mod.Ownership(store, watcher, "me", make_owner)


class BlockingGrantStore(fleetfakes.MemoryStore):
    """Block grants of leases until unblock_grant is set."""

    def __init__(self):
        super().__init__()
        self.grant_requested = threading.Event()
        self.unblock_grant = threading.Event()

    def grant(self, ttl_ms):
        self.grant_requested.set()
        self.unblock_grant.wait(5)
        return super().grant(ttl_ms)


def test_claim_pending_at_a_planned_stop_starts_no_term():
    """Start no term if the process stops while its claim is in flight.

    The process exits, so nobody would release the owner's key.
    """
    store = BlockingGrantStore()
    owners = []

    def make_owner(fence):
        fleet = test_fleet_takeover.Fleet()
        owners.append(owner_mod.Owner(
            store, fleet.worker_list,
            lambda entry: fleet.workers[entry.worker_id],
            fleetfakes.configuration, fence, HOLD_MAX_MS))
        return owners[-1]

    ownership = make_ownership(store, make_owner)
    thread = threading.Thread(target=ownership.run, daemon=True)
    thread.start()
    assert store.grant_requested.wait(5)
    ownership.stop()
    store.unblock_grant.set()
    thread.join(1)
    for owner in owners:
        owner.step_down("test over")
    assert not thread.is_alive()
    assert records.OWNER_KEY not in store.items


def test_term_that_fails_during_recovery_gives_up_the_fleet():
    """Give up the fleet after an unexpected error during recovery.

    Otherwise the lease would be renewed for ever although no owner runs.
    """
    store = fleetfakes.MemoryStore()
    owners = []

    class FailingWorkerList(fleetfakes.MemoryWorkerList):
        def workers(self):
            raise RuntimeError("unexpected")

    def make_owner(fence):
        owners.append(owner_mod.Owner(
            store, FailingWorkerList(()), lambda entry: None,
            fleetfakes.configuration, fence, HOLD_MAX_MS))
        return owners[-1]

    ownership = make_ownership(store, make_owner)

    def run():
        try:
            ownership.run()
        except RuntimeError:
            pass

    threading.Thread(target=run, daemon=True).start()
    try:
        wait_for(lambda: len(owners) > 0)
        wait_for(owners[0].stepped_down.is_set)
        wait_for(lambda: len(owners) > 1)
    finally:
        ownership.stopped.set()
        for owner in owners:
            owner.step_down("test over")


def test_lease_checked_before_a_freeze_is_not_extended_after_it(monkeypatch):
    """Count a lease from before the check that it may be granted.

    If the process freezes after the check, the lease must not end later than
    if it had been granted at once.
    """
    bench = test_fleet_state.Bench()
    bench.now = clock.now()
    bench.state.add_worker(fleetfakes.entry(0))
    bench.report("i-0")
    times = {"frozen": 0.0}
    real_now = clock.now
    monkeypatch.setattr(clock, "now", lambda: real_now() + times["frozen"])

    def may_lease():
        checked_at.append(clock.now())
        times["frozen"] = 6.0
        return True

    checked_at = []
    link = link_mod.WorkerLink(
        fleetfakes.entry(0), fleetfakes.MemoryWorker("i-0"), bench.state,
        lambda: True, may_lease, lambda reason: None)
    until = link._lease_end_ms()
    assert until is not None
    assert until <= checked_at[0] * 1000.0 + workerstate.LEASE_MS + 100.0


def test_memory_store_never_reuses_a_lease_id():
    """Give a new lease an ID that differs from all live ones."""
    store = fleetfakes.MemoryStore()
    first, second = store.grant(2000), store.grant(2000)
    store.commit(messages.Transaction(
        puts=(messages.Put("k", b"v", second),)))
    store.end_lease(first)
    assert store.grant(2000) != second


class InterruptedCommitStore(fleetfakes.MemoryStore):
    """Call before_commit once before a transaction takes effect."""

    before_commit = None

    def commit(self, transaction):
        if self.before_commit is not None:
            self.before_commit, before_commit = None, self.before_commit
            before_commit()
        return super().commit(transaction)


def test_worker_is_not_used_while_its_removal_is_stored():
    """Do not use a worker that the list being stored no longer has.

    A successor contacts only the workers on the stored list.
    """
    store = InterruptedCommitStore()
    store.commit(messages.Transaction(
        puts=(messages.Put(records.OWNER_KEY, b"me"),)))
    worker_list = fleetfakes.MemoryWorkerList([fleetfakes.entry(0),
                                               fleetfakes.entry(1)])
    workers = {e.worker_id: fleetfakes.MemoryWorker(e.worker_id)
               for e in worker_list.entries}
    owner = owner_mod.Owner(
        store, worker_list, lambda entry: workers[entry.worker_id],
        fleetfakes.configuration, store.items[records.OWNER_KEY].revision,
        HOLD_MAX_MS)
    try:
        owner.worker_links.update_workers(worker_list.entries)
        wait_for(lambda: all(w.has_reported
                             for w in owner.fleet.workers.values()))
        assert owner.recorder.flush()
        wait_for(lambda: all(w.usable(clock.now())
                             for w in owner.fleet.workers.values()))
        with owner.fleet.lock:
            owner.fleet._remove_worker(
                owner.fleet.workers["i-0"], "lease over")

        def worker_is_relisted():
            owner.worker_links.update_workers(worker_list.entries)
            wait_for(lambda: owner.fleet.workers["i-0"].has_reported)

        store.before_commit = worker_is_relisted
        assert owner.recorder.flush()
        stored = records.decode_mapping(store.items[records.WORKERS_KEY].value)
        usable_ids = {worker_id for worker_id, w in owner.fleet.workers.items()
                      if w.usable(clock.now())}
        assert usable_ids <= set(stored)
    finally:
        owner.step_down("test over")


class OutageAfterRemovalStore(fleetfakes.MemoryStore):
    """Refuse calls once a list without removed_worker_id is stored."""

    removed_worker_id = ""
    before_commit = None

    def commit(self, transaction):
        is_removal = any(
            put.key == records.WORKERS_KEY and self.removed_worker_id
            and self.removed_worker_id not in records.decode_mapping(put.value)
            for put in transaction.puts)
        if is_removal:
            self.removed_worker_id = ""
            self.before_commit()
        revision = super().commit(transaction)
        self.refuse |= is_removal
        return revision


def test_no_task_starts_twice_if_its_worker_was_being_unlisted():
    """Start no task on a worker that returns while its removal is stored.

    A successor would not know the worker, and would start the task again.
    """
    fleet = test_fleet_takeover.Fleet()
    fleet.store = OutageAfterRemovalStore()
    fleet.take_over()
    try:
        wait_for(lambda: all(w.usable(clock.now())
                             for w in fleet.owner.fleet.workers.values()))
        fleet.submit(fleetfakes.job("fill", messages.Step(
            1, messages.Resources(4000, 10), requires="r1")))
        wait_for(lambda: fleet.running() == ["fill.0.0.0"])

        def worker_returns():
            fleet.submit(fleetfakes.job("a"))
            fleet.owner.worker_links.update_workers(fleet.worker_list.entries)
            end = clock.now() + 1.0
            while clock.now() < end and "a.0.0.0" not in fleet.running():
                threading.Event().wait(0.01)

        fleet.store.before_commit = worker_returns
        with fleet.owner.fleet.lock:
            fleet.owner.fleet._remove_worker(fleet.owner.fleet.workers["i-0"],
                                             "lease over")
            fleet.store.removed_worker_id = "i-0"
        wait_for(lambda: fleet.store.refuse)
        fleet.owner.step_down("killed")
        fleet.workers["i-0"].unresponsive = True
        test_fleet_takeover.finish(fleet, "fill.0.0.0")
        fleet.store.refuse = False
        fleet.take_over()
        wait_for(lambda: fleet.running().count("a.0.0.0") > 0)
        threading.Event().wait(0.5)
        assert fleet.starts().count("a.0.0.0") == 1
    finally:
        fleet.owner.step_down("test over")


def store_terms(owner):
    """Wait until the owner's terms are stored; return the stored fences."""
    wait_for(lambda: records.TERMS_KEY in owner.recorder.store.items
             and owner.fence in json.loads(
                 owner.recorder.store.items[records.TERMS_KEY].value))
    return json.loads(owner.recorder.store.items[records.TERMS_KEY].value)


def test_job_knows_how_often_its_owner_has_changed(fleet):
    """Guards against an owner that doesn't know of crashes lost before."""
    fences = []
    for changes in range(3):
        owner = fleet.take_over()
        fences.append(owner.fence)
        assert store_terms(owner) == fences
        wait_for(lambda owner=owner: owner.recovered)
        assert [job.owner_changes for job in owner.fleet.jobs.values()] == (
            list(range(changes, 0, -1)))
        fleet.submit(fleetfakes.job(f"j{changes}", test_fleet_takeover.STEP))
        wait_for(lambda owner=owner, count=changes + 1:
                 len(owner.fleet.jobs) == count)
        owner.step_down("killed")


@pytest.mark.parametrize("value", [
    b"", b"{", b"5", b'{"1": 2}', b'["1"]', b"[1.5]", b"[" * 100_000])
def test_unreadable_terms_count_as_none(value):
    """Guards against a term that one record of another program ends."""
    terms = ownerterms.OwnerTerms(7)
    terms.load(messages.Item(records.TERMS_KEY, value, 1, 1))
    assert terms.fences == [7]


def test_terms_hold_the_last_earlier_fences():
    """Guards against a record that grows with each change of the owner."""
    terms = ownerterms.OwnerTerms(100)
    terms.load(messages.Item(
        records.TERMS_KEY, json.dumps([200, 5, 5, *range(90)]).encode(), 1, 1))
    assert terms.fences == [*range(75, 90), 100]
    assert [terms.changes_since(revision) for revision in (101, 100, 89, 0)
            ] == [0, 1, 2, ownerterms.MAX_TERMS]


@pytest.mark.parametrize("owner_changes, age_s, quarantined", [
    (0, 0.01, False), (1, 0.01, False), (2, 0.01, True), (5, 0.01, True),
    (2, 1.0, False)])
def test_one_crash_is_enough_if_others_may_be_lost(
        owner_changes, age_s, quarantined):
    """Guards against a sixth start after changes of the owner."""
    record = suspicion.Suspicion()
    assert not record.needs_quarantine_run(owner_changes)
    record.add_crash("i-0", age_s, likely=False, in_quarantine=False)
    assert record.needs_quarantine_run(owner_changes) is quarantined


@pytest.mark.parametrize("owner_changes, uncharged, confirmed", [
    (0, 0, False), (0, 1, False), (0, 2, True), (1, 1, True), (2, 0, True)])
def test_unproven_crashes_count_with_those_that_may_be_missing(
        owner_changes, uncharged, confirmed):
    """Guards against a sixth start as other workers failed at that moment."""
    record = suspicion.Suspicion()
    record.add_crash("i-0", 0.01, likely=True, in_quarantine=False)
    for number in (1, 2):
        record.add_crash(f"i-{number}", 0.01, likely=True, in_quarantine=True)
    record.unproven_trials = 2
    record.uncharged_trials = uncharged
    assert suspicion.decode(record.encode()) == record
    assert record.is_confirmed(owner_changes) is confirmed
