"""Test what an owner stores of silent workers, and what a successor does."""

import asyncio
import dataclasses
import math

import pytest

from sycamorefield.fleet import clock
from sycamorefield.fleet import link as link_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import ownerchanges
from sycamorefield.fleet import recorder as recorder_mod
from sycamorefield.fleet import records
from sycamorefield.fleet import reports
from sycamorefield.fleet import silentworkers
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import waitingreasons
from sycamorefield.fleet import workerstate
from tests import fleetfakes
from tests import test_fleet_state

TASKS = [messages.TaskId("j", 0, 0, number) for number in range(4)]
LEASE_MS = 5000.0
AWAITED_S = 13.4


def make_bench(workers: int = 4) -> test_fleet_state.Bench:
    """Return a fleet of workers; its clock is that of the record."""
    bench = test_fleet_state.Bench()
    bench.now = clock.now()
    for number in range(workers):
        bench.state.add_worker(fleetfakes.entry(number))
        bench.report(f"i-{number}")
    bench.state.enrol([f"i-{number}" for number in range(workers)])
    return bench


def loaded(silent: dict[str, silentworkers.SilentWorker], workers: int = 4
           ) -> test_fleet_state.Bench:
    """Return a successor that has loaded a record and awaits all workers."""
    bench = make_bench(0)
    load_record(bench, silentworkers.encode(silent))
    bench.state.await_workers(
        [f"i-{number}" for number in range(workers)], bench.now + AWAITED_S)
    for number in range(workers):
        bench.state.add_worker(fleetfakes.entry(number))
    return bench


def load_record(bench: test_fleet_state.Bench, value: bytes) -> None:
    bench.state.silent_workers.load(messages.Item(
        records.SILENT_WORKERS_KEY, value, 7, 7))


def find_silent(bench: test_fleet_state.Bench, silent_s: float
                ) -> dict[str, silentworkers.SilentWorker]:
    """Return the record that is due some time from now, or an empty one."""
    data = bench.state.silent_workers.data_when_due(
        bench.state, bench.now + silent_s)
    return silentworkers.decode(data) if data is not None else {}


@pytest.mark.parametrize("silent", [
    {}, {"i-1": silentworkers.SilentWorker(2.5, None)},
    {"i-1": silentworkers.SilentWorker(0.0, frozenset(TASKS)),
     "i-2": silentworkers.SilentWorker(13.4, frozenset())}])
def test_record_is_read_as_it_was_written(silent):
    assert silentworkers.decode(silentworkers.encode(silent)) == silent


# The age of a record by the claim of its writer: when that was seen, how long
# before now, and how long after it the record was made.
@pytest.mark.parametrize(("seen_s_ago", "since_claim_s", "elapsed_s"), [
    (None, 0.1, 0.0), (0.05, 0.1, 0.0), (2.1, 0.1, 2.0), (30.0, 0.1, 5.0)])
def test_time_since_a_claim_that_was_seen_counts(
        seen_s_ago, since_claim_s, elapsed_s):
    """Guards against waits that each owner counts from its own beginning."""
    bench = make_bench(0)
    silent_workers = bench.state.silent_workers
    changes = ownerchanges.OwnerChanges()
    if seen_s_ago is not None:
        changes.add_seen(20, clock.now() - seen_s_ago)
    silent_workers.claim_seen_at = changes.seen_at
    load_record(bench, silentworkers.encode(
        {"i-1": silentworkers.SilentWorker(5.0, frozenset(TASKS[:1]))},
        20, since_claim_s))
    found = silent_workers.loaded["i-1"]
    assert found.remaining_s == pytest.approx(5.0 - elapsed_s, abs=0.02)
    assert found.tasks == frozenset(TASKS[:1])


def test_claim_that_was_seen_before_the_one_of_the_record_does_not_count():
    """Guards against waits that a claim of an earlier owner shortens."""
    changes = ownerchanges.OwnerChanges()
    changes.add_seen(19, 1.0)
    assert changes.seen_at(20) == math.inf
    changes.add_seen(23, 4.0)
    assert changes.seen_at(20) == 4.0


def test_worker_that_refuses_is_recorded_once_most_others_have_reported():
    """Guards against owners that are killed before a record is stored."""
    bench = loaded({})
    for number in range(3):
        assert not find_silent(bench, 0.0)
        bench.report(f"i-{number}")
    bench.state.expire(bench.now)
    assert not find_silent(bench, 0.0)
    bench.state.mark_unresponsive("i-3", "refused")
    found = find_silent(bench, 0.0)
    assert list(found) == ["i-3"]
    assert found["i-3"].remaining_s == pytest.approx(
        state_mod.QUORUM_WINDOW_S + workerstate.LEASE_EXPIRY_S, abs=0.1)


@pytest.mark.parametrize("value", [
    b"", b"[]", b'{"i-1": 3}', b'{"i-1": {"remaining_ms": "x"}}',
    b'{"i-1": {"remaining_ms": 1, "tasks": ["j"]}}',
    b'{"i-1": {"remaining_ms": NaN, "tasks": []}}'])
def test_unreadable_record_shortens_no_wait(value):
    """Guards against starts that a record which is not understood allows."""
    bench = make_bench(0)
    load_record(bench, value)
    bench.state.await_workers(["i-1"], bench.now + AWAITED_S)
    assert bench.state.awaited_workers["i-1"] == bench.now + AWAITED_S
    assert bench.state.unproven_tasks() is None


def test_negative_or_long_remaining_time_stays_within_the_wait():
    bench = make_bench(0)
    load_record(bench, b'{"i-1": {"remaining_ms": -5},'
                       b'"i-2": {"remaining_ms": 1e12}}')
    bench.state.await_workers(["i-1", "i-2"], bench.now + AWAITED_S)
    waits = bench.state.awaited_workers
    assert waits["i-1"] == bench.state.awaited_since
    assert waits["i-2"] == bench.now + AWAITED_S


@pytest.mark.parametrize(("silent_s", "is_recorded"), [
    (silentworkers.MIN_SILENCE_S / 2, False),
    (silentworkers.MIN_SILENCE_S * 2, True)])
def test_silent_worker_is_recorded_with_its_tasks(silent_s, is_recorded):
    bench = make_bench()
    bench.add(fleetfakes.job("j", messages.Step(
        4, messages.Resources(3000, 1000))))
    bench.place()
    bench.state.workers["i-1"].grant_lease(LEASE_MS, bench.now)
    bench.state.mark_unresponsive("i-1", "cut")
    found = find_silent(bench, silent_s)
    assert list(found) == (["i-1"] if is_recorded else [])
    assert bench.state.silent_workers.is_recorded("i-1") == is_recorded
    for worker in found.values():
        assert len(worker.tasks) == 1
        ends_at = bench.state.workers["i-1"].leases_end_at()
        assert worker.remaining_s >= ends_at - bench.now - silent_s


def test_worker_that_runs_an_unknown_job_may_run_any_task():
    """Guards against starts of tasks that a worker runs unknown to it."""
    bench = make_bench()
    bench.report("i-1", [messages.RunningTask(TASKS[0], 1, "", 0)])
    bench.state.mark_unresponsive("i-1", "cut")
    assert find_silent(bench, 1.0)["i-1"].tasks is None


def test_draining_workers_are_recorded_at_a_planned_stop():
    """Guards against a wait for a worker that leaves between two owners."""
    bench = make_bench()
    worker = bench.state.workers["i-2"]
    worker.update_entry(dataclasses.replace(worker.entry, draining=True))
    assert not find_silent(bench, 1.0)
    bench.state.silent_workers.term_ends = True
    assert list(find_silent(bench, 1.0)) == ["i-2"]


def test_tasks_that_no_silent_worker_runs_start_at_once():
    """Guards against a wait of all tasks for one worker that is gone."""
    bench = loaded({"i-3": silentworkers.SilentWorker(
        2.0, frozenset(TASKS[:1]))})
    bench.add(fleetfakes.job("j", messages.Step(
        4, messages.Resources(1000, 1000))), created=5)
    for number in range(3):
        assert not bench.place()
        bench.report(f"i-{number}")
    bench.state.silent_workers.note_stored(silentworkers.encode({}))
    bench.state.enrol([f"i-{number}" for number in range(4)])
    started = {name.split("@")[0] for name in bench.place()}
    assert started == {str(task) for task in TASKS[1:]}
    job = bench.state.jobs["j"]
    assert waitingreasons.step_reason(
        bench.state, job, [job.find(TASKS[0])],
        bench.now) == waitingreasons.AWAITED_WORKERS
    bench.now += 2.0
    bench.state.expire(bench.now)
    assert [name.split("@")[0] for name in bench.place()] == [str(TASKS[0])]


def make_link(bench: test_fleet_state.Bench) -> link_mod.WorkerLink:
    """Return the link to the worker i-3."""
    return link_mod.WorkerLink(
        fleetfakes.entry(3), fleetfakes.MemoryWorker("i-3"), bench.state,
        lambda: True, lambda: True, lambda reason: None)


def test_recorded_worker_gets_no_lease_before_it_is_removed():
    """Guards against a successor that ends a wait by an outdated record."""
    bench = loaded({"i-3": silentworkers.SilentWorker(
        2.0, frozenset(TASKS))})
    link = make_link(bench)
    silent_workers = bench.state.silent_workers

    def renewed_lease_ms() -> float:
        asyncio.run(link._renew_once())
        return link.worker.lease_end_ms

    assert not renewed_lease_ms()
    assert "i-3" not in bench.state.awaited_workers
    assert not renewed_lease_ms()
    assert link._report_wait_ms() == link_mod.RECORDED_WAIT_MS
    bench.now += 0.01
    value = silent_workers.data_when_due(bench.state, bench.now)
    # The write may not be stored yet.
    assert not renewed_lease_ms()
    silent_workers.note_stored(value)
    assert renewed_lease_ms() > link.worker.clock()


def test_nothing_starts_on_a_recorded_worker():
    """Guards against runs on a worker that a successor does not expect."""
    bench = make_bench(1)
    load_record(bench, silentworkers.encode(
        {"i-0": silentworkers.SilentWorker(0.0, frozenset())}))
    bench.add(fleetfakes.job("j"))
    assert not bench.place()
    bench.state.silent_workers.note_stored(silentworkers.encode({}))
    assert len(bench.place()) == 1


def test_failed_write_leaves_both_records_possible():
    """Guards against leases while the outcome of a write is unknown."""
    bench = make_bench()
    silent_workers = bench.state.silent_workers
    bench.state.mark_unresponsive("i-1", "cut")
    find_silent(bench, 1.0)
    bench.report("i-1")
    silent_workers.data_when_due(bench.state, bench.now + 1.1)
    assert silent_workers.is_recorded("i-1")
    silent_workers.rewrite()
    value = silent_workers.data_when_due(bench.state, bench.now + 1.2)
    assert silentworkers.decode(value) == {}
    silent_workers.note_stored(value)
    assert not silent_workers.is_recorded("i-1")


def test_number_of_recorded_tasks_is_limited(monkeypatch):
    monkeypatch.setattr(silentworkers, "MAX_RECORDED_TASKS", 3)
    bench = make_bench()
    bench.add(fleetfakes.job("j", messages.Step(
        8, messages.Resources(2000, 1000))))
    bench.place()
    for number in range(3):
        bench.state.mark_unresponsive(f"i-{number}", "cut")
    found = find_silent(bench, 1.0)
    assert [len(w.tasks) if w.tasks is not None else None
            for w in found.values()] == [2, None, None]


def test_leases_granted_after_a_partial_report_are_waited_for():
    """Guards against a wait that ends before leases of this owner do.

    A worker whose ends do not fit into one report is awaited until it has
    listed them all, and its leases are renewed meanwhile.
    """
    bench = loaded({})
    bench.state.await_workers(["i-0", "i-1"], bench.now + 1.0)
    bench.report("i-1", ended=[
        messages.EndedTask(number, TASKS[0], number, "stopped", "")
        for number in range(1, reports.MAX_ENDS_PER_REPORT + 1)])
    worker = bench.state.workers["i-1"]
    worker.grant_lease(LEASE_MS, bench.now)
    ends_at = worker.leases_end_at()
    found = find_silent(bench, 0.9)
    assert found["i-1"].remaining_s >= ends_at - bench.now - 0.9
    bench.state.expire(bench.now + 2.0)
    assert list(bench.state.awaited_workers) == ["i-1"]
    bench.state.expire(ends_at + 0.1)
    assert not bench.state.awaited_workers


def test_record_is_not_stored_before_ends_that_it_relies_on():
    """Guards against a second start of a task whose end was not stored.

    The record lacks tasks that have ended on a silent worker.  A successor
    that reads it, but not their ends, would start them at once.
    """
    bench = make_bench()
    store = fleetfakes.MemoryStore()
    bench.state.fence = store.commit(messages.Transaction(
        puts=(messages.Put(records.OWNER_KEY, b"me"),)))
    recorder = recorder_mod.Recorder(
        store, bench.state, records.OWNER_KEY, lambda: True,
        lambda reason: None, lambda stored_ends: None)
    names = [f"j{number}" for number in
             range(2 * recorder_mod.VALUES_PER_COMMIT)]
    for name in names:
        bench.add(fleetfakes.job(name, messages.Step(
            2, messages.Resources(10, 10))), created=5)
        bench.state.jobs[name].dirty = True
    # A commit whose outcome was not known has been applied.
    store.commit(messages.Transaction(puts=(messages.Put(
        records.progress_key(names[0]), b"{}"),)))
    bench.state.mark_unresponsive("i-1", "cut")
    bench.state.silent_workers.term_ends = True
    for _ in range(2):
        assert recorder.flush()
        assert (records.SILENT_WORKERS_KEY not in store.items
                or all(records.progress_key(name) in store.items
                       for name in names))
    assert bench.state.silent_workers.is_recorded("i-1")
    assert records.SILENT_WORKERS_KEY in store.items
