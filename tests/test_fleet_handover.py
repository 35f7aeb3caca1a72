"""Test that a fleet goes to a process that reaches its workers."""

import dataclasses
import random
import threading

import pytest

from sycamorefield.fleet import clock
from sycamorefield.fleet import controlwatcher
from sycamorefield.fleet import handover
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import owner as owner_mod
from sycamorefield.fleet import ownership as ownership_mod
from sycamorefield.fleet import records
from sycamorefield.fleet import unreached as unreached_mod
from sycamorefield.fleet import volunteer as volunteer_mod
from tests import fleetfakes
from tests import test_fleet_state
from tests import test_fleet_takeover

WORKERS = 4
CONFIG_KEY = "op/c"
ALIVE_S = unreached_mod.UNREACHED_AFTER_S


def silence(worker):
    worker.unresponsive = True


def never_report(worker):
    worker.has_reported = False


def unlist(worker):
    worker.unresponsive, worker.listed = True, False


@pytest.mark.parametrize(("change", "silent_s", "list_age_s", "lost_s"), [
    (silence, ALIVE_S - 0.5, 0.0, 0.0),
    (silence, ALIVE_S, 0.0, ALIVE_S / WORKERS),
    (silence, 2 * ALIVE_S, 0.0, 2 * ALIVE_S / WORKERS),
    (never_report, ALIVE_S, 0.0, ALIVE_S / WORKERS),
    (unlist, ALIVE_S, 0.0, 0.0),
    (silence, ALIVE_S, 3.0, 0.0),
    (lambda worker: None, ALIVE_S, 0.0, 0.0),
])
def test_time_lost_counts_silent_workers_that_stay_listed(
        change, silent_s, list_age_s, lost_s):
    bench = test_fleet_state.Bench(
        *(fleetfakes.entry(n) for n in range(WORKERS)))
    change(bench.state.workers["i-0"])
    unreached = unreached_mod.UnreachedWorkers()
    at = bench.now
    while at < bench.now + silent_s:
        bench.state.list_read_at = at - list_age_s
        unreached.update(bench.state, at)
        at += handover.CHECK_PERIOD_S
    assert unreached.lost_s(bench.now + silent_s) == pytest.approx(lost_s)


def test_worker_given_up_and_listed_again_stays_unreached():
    """Guards against counting anew whenever the leases of runs expire."""
    bench = test_fleet_state.Bench(
        *(fleetfakes.entry(n) for n in range(WORKERS)))
    silence(bench.state.workers["i-0"])
    unreached = unreached_mod.UnreachedWorkers()
    unreached.update(bench.state, bench.now)
    bench.state._remove_worker(bench.state.workers["i-0"], "lease expired")
    unreached.update(bench.state, bench.now + 1.0)
    bench.state.add_worker(fleetfakes.entry(0))
    for after_s in (1.5, 3.0, ALIVE_S):
        bench.state.list_read_at = bench.now + after_s
        unreached.update(bench.state, bench.now + after_s)
    assert unreached.unreached_ids(bench.now + ALIVE_S) == ["i-0"]


UNREACHED, REACHED = ("u1", "u2", "u3", "u4"), ("r1", "r2", "r3", "r4")


@pytest.mark.parametrize(("counts", "answering", "improved"), [
    ((40, 60), UNREACHED + REACHED, True),
    ((40, 60), UNREACHED[:2] + REACHED, True),
    ((40, 60), UNREACHED[:1] + REACHED, False),
    ((40, 60), REACHED, False),
    ((40, 60), UNREACHED, False),
    ((80, 20), UNREACHED[:2] + REACHED[:1], True),
    ((90, 10), UNREACHED[:1] + REACHED[:1], False),
    ((2, 98), UNREACHED[:2] + REACHED, True),
    ((80, 20), UNREACHED, True),
    ((100, 0), UNREACHED, True),
    ((40, 60), (), False),
])
def test_process_offers_to_take_over_only_if_it_reaches_more(
        counts, answering, improved):
    request = handover.Request(UNREACHED, REACHED if counts[1] else (),
                               *counts)
    assert request.is_improved_by(answering) == improved
    assert handover.decode_request(handover.encode_request(request)) == request


@pytest.mark.parametrize("value", [
    b"", b"x", b"[]", b"{}", b'{"unreached_sample": 1}', b"7"])
def test_unreadable_handover_records_are_ignored(value):
    with pytest.raises(ValueError):
        handover.decode_request(value)
    item = messages.Item("owner/offer", value, 9, 9)
    assert not handover.is_offer_on(item, 9)
    assert not handover.is_offer_by(item, b"me")


REQUEST = handover.encode_request(handover.Request(
    UNREACHED, REACHED, 40, 60))


@pytest.mark.parametrize(("value", "silent", "after_s", "allowed"), [
    (REQUEST, ("u1", "r1", "r2", "r3"), 1.0, True),
    (REQUEST, ("u1", "u2"), 1.0, False),
    (REQUEST, UNREACHED, handover.MIN_TERM_AFTER_OFFER_S, True),
    (b"x", ("u1",), 1.0, False),
    (None, ("u1",), 1.0, False),
])
def test_owner_by_an_offer_makes_a_request_only_if_the_offer_helped(
        value, silent, after_s, allowed):
    item = value and messages.Item("owner/request", value, 9, 9)
    limit = handover.limit_after_offer(item, 100.0)
    assert limit.allows(silent, 100.0 + after_s) == allowed


@pytest.mark.parametrize(("owner_misses", "volunteer_misses"), [
    (9, 18), (4, 18)])
def test_process_that_reaches_fewer_workers_makes_no_offer(
        owner_misses, volunteer_misses):
    """Guards against changes of owner decided by chance of a small sample."""
    random.seed(1)
    unreached = [f"u{n}" for n in range(owner_misses)]
    reached = [f"r{n}" for n in range(176 - owner_misses)]
    answering = set(unreached) | set(reached[volunteer_misses:])
    offers = sum(handover.Request(
        handover._choose(unreached, handover.UNREACHED_SAMPLE_SIZE),
        handover._choose(reached, handover.REACHED_SAMPLE_SIZE),
        len(unreached), len(reached)).is_improved_by(answering)
        for _ in range(1000))
    assert offers <= 50


def test_requests_without_an_answer_of_the_store_are_not_repeated_at_once():
    """Guards against probes by all processes twice a second."""
    bench = test_fleet_state.Bench(*(fleetfakes.entry(n) for n in range(4)))
    store = fleetfakes.MemoryStore()
    store.commit(messages.Transaction(
        puts=(messages.Put(records.OWNER_KEY, b"me"),)))
    bench.state.fence = store.items[records.OWNER_KEY].revision
    watcher = controlwatcher.ControlWatcher(
        store, "op/c", lambda _: fleetfakes.configuration())
    for number in range(2):
        bench.state.workers[f"i-{number}"].unresponsive = True
    requests = handover.HandoverRequests(store, watcher, bench.state, 0)
    store.lose_answers = 1000
    before = store.revision
    for check in range(31):
        now = bench.now + check * handover.CHECK_PERIOD_S
        bench.state.list_read_at = now
        requests.update(now)
    # 15 s, of which 10 s are left for requests, every 5 s.
    assert store.revision - before <= 3


def test_request_is_made_soon_if_a_whole_small_service_is_not_reached():
    """Guards against tasks of a small service that wait for minutes."""
    bench = test_fleet_state.Bench(*(
        dataclasses.replace(fleetfakes.entry(n),
                            service="small" if n < 2 else "large")
        for n in range(100)))
    for number in range(2):
        bench.state.workers[f"i-{number}"].unresponsive = True
    unreached = unreached_mod.UnreachedWorkers()
    at = bench.now
    while at <= bench.now + 30.0:
        bench.state.list_read_at = at
        unreached.update(bench.state, at)
        at += handover.CHECK_PERIOD_S
    assert unreached.lost_s(bench.now + 30.0) >= handover.CHANGE_OF_OWNER_S


class PartlyCutWorker(interfaces.Worker):
    """A worker that a process can't reach while its ID is in a set."""

    def __init__(self, worker, cut):
        self.worker = worker
        self.cut = cut

    def check(self):
        if self.worker.worker_id in self.cut:
            raise interfaces.CallFailed("no answer")

    async def renew(self, *args):
        self.check()
        return await self.worker.renew(*args)

    async def start(self, *args):
        self.check()
        return await self.worker.start(*args)

    async def stop(self, *args):
        self.check()
        return await self.worker.stop(*args)

    async def pace(self, *args):
        self.check()
        return await self.worker.pace(*args)


class Process(interfaces.ReachProbe):
    """A process that reaches only some workers of a fleet."""

    def __init__(self, name, fleet, cut=()):
        self.fleet = fleet
        self.cut = set(cut)
        self.watcher = controlwatcher.ControlWatcher(
            fleet.store, CONFIG_KEY, lambda _: fleetfakes.configuration())
        self.ownership = ownership_mod.Ownership(
            fleet.store, self.watcher, name, self.make_owner)
        self.volunteer = volunteer_mod.Volunteer(
            fleet.store, self.watcher, self.ownership.identity, self,
            self.is_owner)

    def make_owner(self, fence):
        return owner_mod.Owner(
            self.fleet.store, self.fleet.worker_list,
            lambda entry: PartlyCutWorker(
                self.fleet.workers[entry.worker_id], self.cut),
            fleetfakes.configuration, fence, test_fleet_takeover.HOLD_MAX_MS)

    def is_owner(self):
        return self.ownership.owner is not None

    def find_reached(self, addresses):
        return {entry.address for entry in self.fleet.worker_list.entries
                if entry.worker_id not in self.cut}.intersection(addresses)

    def start(self):
        for target in (self.watcher.run, self.ownership.run,
                       self.volunteer.run):
            threading.Thread(target=target, daemon=True).start()

    def stop(self):
        self.watcher.stopped.set()
        self.volunteer.stop()
        self.ownership.stop()


def shorten_times(monkeypatch):
    monkeypatch.setattr(unreached_mod, "UNREACHED_AFTER_S", 0.3)
    monkeypatch.setattr(handover, "CHANGE_OF_OWNER_S", 0.1)
    monkeypatch.setattr(handover, "CHECK_PERIOD_S", 0.05)
    monkeypatch.setattr(volunteer_mod, "MAX_DELAY_S", 0.05)
    monkeypatch.setattr(volunteer_mod, "MISSING_WORKERS_DELAY_S", 0.3)


@pytest.fixture(name="fleet")
def fixture_fleet(monkeypatch):
    shorten_times(monkeypatch)
    fleet = test_fleet_takeover.Fleet(WORKERS)
    fleet.store.commit(messages.Transaction(
        puts=(messages.Put(CONFIG_KEY, b"{}"),)))
    return fleet


@pytest.fixture(name="processes")
def fixture_processes(fleet):
    """Return processes; the first owns the fleet and reaches one worker."""
    processes = [Process("first", fleet, cut=("i-0", "i-1", "i-2")),
                 Process("second", fleet, cut=("i-0", "i-1")),
                 Process("third", fleet)]
    processes[0].start()
    test_fleet_takeover.wait_for(
        lambda: processes[0].is_owner()
        and processes[0].ownership.owner.recovered)
    yield processes
    for process in processes:
        process.stop()


def test_task_runs_although_its_owner_does_not_reach_the_free_workers(
        fleet, processes):
    """Guards against tasks that wait for as long as a path is cut."""
    for process in processes[1:]:
        process.start()
    step = messages.Step(WORKERS, messages.Resources(4000, 10))
    fleet.submit(fleetfakes.job("j", step))
    test_fleet_takeover.wait_for(
        lambda: len(fleet.running()) == WORKERS)
    assert processes[2].is_owner()


def test_tasks_run_on_all_workers_although_no_process_reaches_most(
        fleet, processes):
    """Guards against free workers that only processes without a term reach."""
    processes[1].cut = {"i-0", "i-3"}
    processes[2].cut = {"i-1", "i-2", "i-3"}
    for process in processes[1:]:
        process.start()
    step = messages.Step(WORKERS, messages.Resources(4000, 10))
    fleet.submit(fleetfakes.job("j", step))
    test_fleet_takeover.wait_for(
        lambda: len(fleet.running()) == WORKERS)


def test_owner_stays_if_no_process_reaches_more_workers(fleet, processes):
    """Guards against changes of owner that help no task."""
    processes[1].cut = processes[0].cut
    processes[1].start()
    test_fleet_takeover.wait_for(
        lambda: records.HANDOVER_REQUEST_KEY in fleet.store.items)
    fence = fleet.store.items[records.OWNER_KEY].revision
    end = clock.now() + 1.0
    test_fleet_takeover.wait_for(lambda: clock.now() > end)
    assert fleet.store.items[records.OWNER_KEY].revision == fence
    assert records.HANDOVER_OFFER_KEY not in fleet.store.items


def test_owner_by_an_offer_that_did_not_help_makes_no_request(
        fleet, processes, monkeypatch):
    """Guards against owners that replace each other again and again."""
    monkeypatch.setattr(processes[1], "find_reached", set)
    processes[1].cut = set(processes[0].cut)
    processes[1].start()
    test_fleet_takeover.wait_for(processes[1].is_owner)
    fence = fleet.store.items[records.OWNER_KEY].revision
    end = clock.now() + 1.0
    test_fleet_takeover.wait_for(lambda: clock.now() > end)
    assert fleet.store.items[records.OWNER_KEY].revision == fence
    assert processes[1].is_owner()


def test_process_without_an_offer_leaves_the_claim_to_the_one_that_made_it(
        fleet):
    """Guards against a claim by the owner that has just handed over."""
    offering, other = Process("offering", fleet), Process("other", fleet)
    fleet.store.commit(messages.Transaction(puts=(messages.Put(
        records.HANDOVER_OFFER_KEY, handover.encode_offer(
            7, offering.ownership.identity)),)))
    for process in (offering, other):
        process.watcher._list_keys()
    assert offering.ownership._claim_wait_s() == 0.0
    assert (other.ownership._claim_wait_s()
            >= ownership_mod.OFFER_PRIORITY_S)


class LostReleaseStore(fleetfakes.MemoryStore):
    """Lose the next call that removes the owner's key."""

    lost_releases = 1

    def commit(self, transaction):
        if records.OWNER_KEY in transaction.removes and self.lost_releases:
            self.lost_releases -= 1
            raise interfaces.CallFailed("no answer")
        return super().commit(transaction)


def test_owner_whose_release_was_lost_leaves_the_fleet_to_the_offer(
        monkeypatch):
    """Guards against an owner that claims again what it hands over."""
    shorten_times(monkeypatch)
    fleet = test_fleet_takeover.Fleet(WORKERS)
    fleet.store = LostReleaseStore()
    fleet.store.commit(messages.Transaction(puts=(
        messages.Put(CONFIG_KEY, b"{}"),)))
    first = Process("first", fleet, ("i-0", "i-1", "i-2"))
    second = Process("second", fleet)
    try:
        first.start()
        test_fleet_takeover.wait_for(
            lambda: first.is_owner() and first.ownership.owner.recovered)
        fence = fleet.store.items[records.OWNER_KEY].revision
        second.start()
        test_fleet_takeover.wait_for(
            lambda: records.OWNER_KEY in fleet.store.items and
            fleet.store.items[records.OWNER_KEY].revision != fence)
        owner = fleet.store.items[records.OWNER_KEY].value
        assert owner == second.ownership.identity
    finally:
        first.stop()
        second.stop()
