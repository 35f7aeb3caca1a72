"""Test that a fleet goes to a process that reaches its workers."""

import asyncio
import dataclasses
import random
import threading

import pytest

from sycamorefield.fleet import callfences
from sycamorefield.fleet import clock
from sycamorefield.fleet import controlwatcher
from sycamorefield.fleet import handover
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import owner as owner_mod
from sycamorefield.fleet import ownership as ownership_mod
from sycamorefield.fleet import records
from sycamorefield.fleet import relayoffers as relayoffers_mod
from sycamorefield.fleet import relays as relays_mod
from sycamorefield.fleet import unreached as unreached_mod
from sycamorefield.fleet import volunteer as volunteer_mod
from tests import fleetfakes
from tests import test_fleet_state
from tests import test_fleet_takeover

WORKERS = 4
CONFIG_KEY = "op/c"
ALIVE_S = unreached_mod.UNREACHED_AFTER_S
RELAY_DELAY_S = 0.3


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
    """A worker that a process reaches itself or over another process."""

    def __init__(self, worker, address, process):
        self.worker = worker
        self.address = address
        self.process = process

    def check(self):
        worker_id = self.worker.worker_id
        if worker_id in self.process.cut and not any(
                self.process.relays_by_address[relay].relays_to(
                    self.address, worker_id)
                for relay in self.process.watcher.relays.relays_of(
                    self.address)):
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


class Relay(interfaces.RelayListener):
    """Relays the calls of other processes to the workers of one process."""

    def __init__(self, process, address):
        self.process = process
        self.address = address
        self.workers = set()
        self.alive = True
        # How often a relayed call has reached a worker.
        self.calls = 0

    def listen(self, workers):
        self.workers = set(workers)
        return self.address

    def relays_to(self, worker, worker_id):
        reached = (self.alive and worker in self.workers
                   and worker_id not in self.process.cut)
        self.calls += reached
        return reached

    def tunnels_open(self):
        return self.calls

    def take_failed(self):
        return set()

    def close(self):
        self.workers = set()


class Process(interfaces.ReachProbe):
    """A process that reaches only some workers of a fleet.

    offers_relay is whether it relays the calls of other processes.
    """

    # All relays of the processes of a test run, by address.
    relays_by_address = {}

    def __init__(self, name, fleet, cut=(), offers_relay=False):
        self.fleet = fleet
        self.offers_relay = offers_relay
        self.cut = set(cut)
        relay_key = records.relay_key(name)
        self.watcher = controlwatcher.ControlWatcher(
            fleet.store, CONFIG_KEY, lambda _: fleetfakes.configuration(),
            own_relay_key=relay_key)
        self.relay = Relay(self, f"10.9.9.9:{len(self.relays_by_address) + 1}")
        self.relays_by_address[self.relay.address] = self.relay
        self.ownership = ownership_mod.Ownership(
            fleet.store, self.watcher, name, self.make_owner)
        self.volunteer = volunteer_mod.Volunteer(
            fleet.store, self.watcher, self.ownership.identity, self,
            self.is_owner)
        self.relay_offers = relayoffers_mod.RelayOffers(
            fleet.store, self.watcher, relay_key, self, fleet.worker_list,
            self.relay, self.is_owner)
        # Offers to take over come first.
        self.relay_offers.delay_s = RELAY_DELAY_S

    def make_owner(self, fence):
        return owner_mod.Owner(
            self.fleet.store, self.fleet.worker_list,
            lambda entry: PartlyCutWorker(
                self.fleet.workers[entry.worker_id], entry.address, self),
            fleetfakes.configuration, fence, test_fleet_takeover.HOLD_MAX_MS)

    def is_owner(self):
        return self.ownership.owner is not None

    def find_reached(self, addresses):
        return {entry.address for entry in self.fleet.worker_list.entries
                if entry.worker_id not in self.cut}.intersection(addresses)

    def start(self):
        targets = [self.watcher.run, self.ownership.run, self.volunteer.run]
        if self.offers_relay:
            targets.append(self.relay_offers.run)
        for target in targets:
            threading.Thread(target=target, daemon=True).start()

    def stop(self):
        self.watcher.stopped.set()
        self.volunteer.stop()
        self.relay_offers.stop()
        self.ownership.stop()


def shorten_times(monkeypatch):
    monkeypatch.setattr(unreached_mod, "UNREACHED_AFTER_S", 0.3)
    monkeypatch.setattr(handover, "CHANGE_OF_OWNER_S", 0.1)
    monkeypatch.setattr(handover, "CHECK_PERIOD_S", 0.05)
    monkeypatch.setattr(volunteer_mod, "MAX_DELAY_S", 0.05)
    monkeypatch.setattr(volunteer_mod, "MISSING_WORKERS_DELAY_S", 0.3)
    monkeypatch.setattr(relayoffers_mod, "MAX_DELAY_S", 0.05)
    monkeypatch.setattr(relays_mod, "REQUEST_PERIOD_S", 0.5)


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
    processes = [Process("first", fleet, ("i-0", "i-1", "i-2"), True),
                 Process("second", fleet, ("i-0", "i-1"), True),
                 Process("third", fleet, (), True)]
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


def pass_time(seconds):
    end = clock.now() + seconds
    test_fleet_takeover.wait_for(lambda: clock.now() > end)


def usable(process):
    """Return the workers that answer an owner."""
    owner = process.ownership.owner
    return set() if owner is None else {
        worker_id for worker_id, worker in owner.fleet.workers.items()
        if worker.has_reported and not worker.unresponsive}


ALL = {f"i-{n}" for n in range(WORKERS)}


@pytest.fixture(name="relayed")
def fixture_relayed(fleet, processes):
    """Return processes; the first owns the fleet and uses relays.

    Neither of the others reaches more workers than it.
    """
    processes[0].cut = {"i-0", "i-1"}
    processes[1].cut = {"i-1", "i-2", "i-3"}
    processes[2].cut = {"i-0", "i-2", "i-3"}
    for process in processes[1:]:
        process.start()
    test_fleet_takeover.wait_for(lambda: usable(processes[0]) == ALL)
    return processes


def test_workers_that_answer_over_relays_cause_no_more_requests(
        fleet, relayed):
    """Guards against probes by all processes while relays serve."""
    owner_fence = relayed[0].ownership.owner.fence
    revisions = [fleet.store.items[key].revision for key in (
        records.RELAY_REQUEST_KEY, records.HANDOVER_REQUEST_KEY)]
    pass_time(1.0)
    assert revisions == [fleet.store.items[key].revision for key in (
        records.RELAY_REQUEST_KEY, records.HANDOVER_REQUEST_KEY)]
    assert relayed[0].ownership.owner.fence == owner_fence


def end_relay(process):
    process.relay.alive = False


def cut_relay(process):
    process.cut = set(ALL)


@pytest.mark.parametrize("failure", [end_relay, cut_relay])
def test_relay_that_fails_is_replaced(fleet, relayed, failure):
    """Guards against workers left unused once their relay has failed."""
    failure(relayed[1])
    test_fleet_takeover.wait_for(
        lambda: usable(relayed[0]) == ALL - {"i-0"})
    relayed[2].cut = {"i-2", "i-3"}
    test_fleet_takeover.wait_for(lambda: usable(relayed[0]) == ALL)
    assert set(fleet.worker_list.entries[n].address for n in (0, 1)) <= (
        relayed[2].relay_offers.offered)


def test_successor_uses_the_relays_of_its_predecessor(
        fleet, relayed, monkeypatch):
    """Guards against leases that expire while a successor finds relays."""
    monkeypatch.setattr(unreached_mod, "UNREACHED_AFTER_S", 1000.0)
    successor = Process("fourth", fleet, cut=("i-0", "i-1"))
    for process in relayed:
        process.ownership.claim_delay_s = test_fleet_takeover.WAIT_S
    try:
        successor.start()
        test_fleet_takeover.wait_for(
            lambda: successor.watcher.configuration_known)
        relayed[0].stop()
        test_fleet_takeover.wait_for(successor.is_owner)
        test_fleet_takeover.wait_for(lambda: usable(successor) == ALL)
    finally:
        successor.stop()


def test_owner_without_its_term_is_fenced_over_a_relay(fleet, relayed):
    """Guards against starts by an owner whose successor relays for it."""
    old_fence = relayed[0].ownership.owner.fence
    relayed[1].cut = set()
    worker = PartlyCutWorker(fleet.workers["i-0"],
                             fleet.worker_list.entries[0].address, relayed[0])
    asyncio.run(worker.renew(
        callfences.CallFences(old_fence + 1).take(), 0, None, 0))
    with pytest.raises(interfaces.OrderRejected) as caught:
        asyncio.run(worker.stop(messages.StopOrder(
            messages.TaskId("j", 0, 0, 0), 1),
            callfences.CallFences(old_fence).take()))
    assert caught.value.reason == interfaces.FENCED


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
