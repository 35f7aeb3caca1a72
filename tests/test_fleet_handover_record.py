"""Test the record of what workers may run after a planned stop."""

import asyncio

import pytest

from sycamorefield.fleet import handoverrecord
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import owner as owner_mod
from sycamorefield.fleet import recordedends
from sycamorefield.fleet import records
from sycamorefield.fleet import silentworkers
from tests import fleetfakes
from tests import test_fleet_ownership as ownerships
from tests import test_fleet_silent_workers as silents
from tests import test_fleet_state

DATA = handoverrecord.encode(7, {})


def collected(bench: test_fleet_state.Bench
              ) -> dict[str, silentworkers.SilentWorker]:
    """Return what a fleet of which all ends are stored would record."""
    return handoverrecord.collect(bench.state, {
        worker_id: recordedends.LifeEnds(w.born_ms, w.last_processed_end)
        for worker_id, w in bench.state.workers.items()}, bench.now)


def successor(value: bytes, fence: int = 20) -> test_fleet_state.Bench:
    """Return a fleet that has loaded a record and awaits i-0 and i-1."""
    bench = silents.make_bench(0)
    bench.state.fence = fence
    handoverrecord.load(bench.state, messages.Item(
        records.HANDOVER_KEY, value, 19, 19))
    bench.state.await_workers(["i-0", "i-1"], bench.now + silents.AWAITED_S)
    return bench


@pytest.fixture(name="store")
def fixture_store() -> fleetfakes.MemoryStore:
    return fleetfakes.MemoryStore()


def make_process(store, name):
    """Return a process that sees the owner's key as it is now stored."""
    process = ownerships.make_ownership(store, name)
    ownerships.see_owner_key(process)
    return process


def stop_with_record(store):
    """Let a process claim the fleet and release it with a record."""
    process = make_process(store, "a")
    assert process.release(process._claim(), DATA)


def test_claim_takes_the_record_and_removes_it(store):
    """Guards against an owner that relies on an earlier one's record."""
    stop_with_record(store)
    process = make_process(store, "b")
    assert process._claim()
    assert process.handover_item.value == DATA
    assert records.HANDOVER_KEY not in store.items
    process.release(store.items[records.OWNER_KEY].revision)
    process = make_process(store, "c")
    assert process._claim()
    assert process.handover_item is None


def test_claim_fails_if_the_record_appears_after_its_read(store, monkeypatch):
    """Guards against a record that stays in the store beside an owner."""
    process = make_process(store, "b")
    grant = store.grant

    def grant_after_another_owner(ttl_ms):
        monkeypatch.undo()
        stop_with_record(store)
        return grant(ttl_ms)

    monkeypatch.setattr(store, "grant", grant_after_another_owner)
    assert process._claim() == 0
    assert process.handover_item is None
    assert process._claim()
    assert process.handover_item.value == DATA
    assert records.HANDOVER_KEY not in store.items


def test_claim_of_unknown_outcome_takes_no_record(store):
    """Guards against a record that another owner may have used meanwhile."""
    stop_with_record(store)
    process = make_process(store, "b")
    store.lose_answers = 1
    with pytest.raises(interfaces.CallFailed):
        process._claim()
    ownerships.see_owner_key(process)
    assert process._claim()
    assert process.handover_item is None


@pytest.mark.parametrize("outcome", ["lose_answers", "keep_late"])
def test_release_of_unknown_outcome_stores_no_record_beside_an_owner(
        store, outcome):
    """Guards against a late or repeated release in a later term."""
    process = make_process(store, "a")
    fence = process._claim()
    setattr(store, outcome, 1)
    assert not process.release(fence, DATA)
    store.end_lease(process.lease_id)
    assert make_process(store, "b")._claim()
    store.deliver_late()
    assert process.release(fence, DATA)
    assert records.HANDOVER_KEY not in store.items
    assert records.OWNER_KEY in store.items


def test_successor_waits_for_leases_only_and_knows_the_tasks():
    """Guards against a wait of older tasks for a worker without them."""
    bench = silents.make_bench(2)
    bench.add(fleetfakes.job("j", messages.Step(
        4, messages.Resources(2000, 1000))))
    bench.place()
    bench.state.workers["i-1"].grant_lease(silents.LEASE_MS, bench.now)
    ends_at = bench.state.workers["i-1"].leases_end_at()
    stored = collected(bench)
    after = successor(handoverrecord.encode(7, stored))
    awaited = after.state.awaited_workers
    assert 0 <= (awaited["i-1"] - after.state.awaited_since
                 - (ends_at - bench.now)) < 0.01
    assert after.state.unproven_tasks() == frozenset(silents.TASKS)
    assert not after.state.silent_workers.is_recorded("i-1")
    # A second planned stop before any worker reports.
    assert handoverrecord.collect(after.state, {}, after.now + 1.0) == {
        worker_id: silentworkers.SilentWorker(
            pytest.approx(awaited[worker_id] - after.now - 1.0), worker.tasks)
        for worker_id, worker in stored.items()}


@pytest.mark.parametrize("value", [
    b"", b"[]", b"{}", b'{"fence": "x", "workers": {}}',
    b'{"fence": 9, "workers": {"i-0": {}}}',
    b'{"fence": 9, "workers": {"i-0": {"remaining_ms": NaN, "tasks": []}}}',
    b'{"fence": 8, "workers": {"i-0": {"remaining_ms": 0, "tasks": []}}}'])
def test_unreadable_or_outdated_record_shortens_no_wait(value):
    """Guards against starts that an owner with fence 9 makes unsafe."""
    bench = silents.make_bench(0)
    bench.state.terms.fences = [9, 20]
    handoverrecord.load(bench.state, messages.Item(
        records.HANDOVER_KEY, value, 19, 19))
    bench.state.await_workers(["i-0"], bench.now + silents.AWAITED_S)
    assert bench.state.awaited_workers["i-0"] == (
        bench.now + silents.AWAITED_S)
    assert bench.state.unproven_tasks() is None


@pytest.mark.parametrize(("silent_s", "handed_over_s"), [(2.0, 3.0),
                                                         (3.0, 2.0)])
def test_worker_in_both_records_gets_the_shorter_wait(silent_s, handed_over_s):
    bench = silents.make_bench(0)
    silents.load_record(bench, silentworkers.encode({
        "i-0": silentworkers.SilentWorker(
            silent_s, frozenset(silents.TASKS))}))
    handoverrecord.load(bench.state, messages.Item(
        records.HANDOVER_KEY, handoverrecord.encode(7, {
            "i-0": silentworkers.SilentWorker(handed_over_s, None)}), 19, 19))
    bench.state.await_workers(["i-0"], bench.now + silents.AWAITED_S)
    assert bench.state.awaited_workers["i-0"] == pytest.approx(
        bench.state.awaited_since + 2.0)
    assert bench.state.unproven_tasks() == frozenset(silents.TASKS)
    assert bench.state.silent_workers.is_recorded("i-0")


def test_worker_with_an_end_that_is_not_stored_may_run_any_task():
    """Guards against a second run of a task that is done.

    The record lacks the task, and the successor reads no end of it.
    """
    bench = silents.make_bench(1)
    bench.report("i-0", ended=[
        messages.EndedTask(1, silents.TASKS[0], 1, messages.DONE, "")])
    assert collected(bench)["i-0"].tasks == frozenset()
    for stored_ends in ({}, {"i-0": recordedends.LifeEnds(0, 0)}):
        worker = handoverrecord.collect(
            bench.state, stored_ends, bench.now)["i-0"]
        assert worker.tasks is None


def test_worker_that_reported_a_part_of_its_ends_may_run_any_task():
    """Guards against a wait that ends before leases of this owner do."""
    bench = successor(DATA)
    bench.state.add_worker(fleetfakes.entry(0))
    bench.report("i-0", ended=[
        messages.EndedTask(number, silents.TASKS[0], number, "stopped", "")
        for number in range(1, silents.reports.MAX_ENDS_PER_REPORT + 1)])
    worker = bench.state.workers["i-0"]
    worker.grant_lease(30_000.0, bench.now)
    found = collected(bench)["i-0"]
    assert found.tasks is None
    assert found.remaining_s >= worker.leases_end_at() - bench.now


def test_tasks_of_workers_silent_for_longest_are_recorded_first(monkeypatch):
    """Guards against a bound that drops the tasks which are waited for."""
    monkeypatch.setattr(silentworkers, "MAX_RECORDED_TASKS", 3)
    bench = silents.make_bench()
    bench.add(fleetfakes.job("j", messages.Step(
        8, messages.Resources(2000, 1000))))
    bench.place()
    bench.state.workers["i-2"].reported_at -= 1.0
    assert {worker_id: worker.tasks is not None
            for worker_id, worker in collected(bench).items()} == {
        "i-0": False, "i-1": False, "i-2": True, "i-3": False}


def make_owner(item: messages.Item | None) -> owner_mod.Owner:
    owner = owner_mod.Owner(
        fleetfakes.MemoryStore(), fleetfakes.MemoryWorkerList([]),
        lambda entry: fleetfakes.MemoryWorker(entry.worker_id),
        fleetfakes.configuration, 8, 6000.0)
    owner.handover_item = item
    return owner


@pytest.mark.parametrize("item", [
    None, messages.Item(records.HANDOVER_KEY, DATA, 6, 6)])
def test_owner_that_has_loaded_nothing_puts_the_record_back(item):
    owner = make_owner(item)
    owner.step_down("planned stop")
    assert owner.handover_data() == (item.value if item else None)


def test_no_lease_is_granted_once_the_record_is_made():
    """Guards against a lease that the recorded time does not cover.

    A call may have been permitted just before the owner stepped down.
    """
    bench = silents.make_bench()
    link = silents.make_link(bench)
    asyncio.run(link._renew_once())
    assert link.worker.lease_end_ms > link.worker.clock()
    owner = make_owner(None)
    owner.fleet = bench.state
    owner.recovery.loaded = True
    owner.handover_data()
    lease_end_ms = link.worker.lease_end_ms
    assert link._lease_end_ms() is None
    asyncio.run(link._renew_once())
    assert link.worker.lease_end_ms == lease_end_ms
