"""Test who offers to relay calls to workers, and when owners ask for it."""

import dataclasses

import pytest

from sycamorefield.fleet import controlwatcher
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.fleet import records
from sycamorefield.fleet import relayoffers as relayoffers_mod
from sycamorefield.fleet import relays
from sycamorefield.fleet import unreached as unreached_mod
from tests import fleetfakes
from tests import test_fleet_state

WORKERS = 4
ENTRIES = [fleetfakes.entry(n) for n in range(WORKERS)]
ADDRESSES = [entry.address for entry in ENTRIES]
SILENT_S = unreached_mod.UNREACHED_AFTER_S
RELAY = "10.9.9.9:1"
OWN_KEY = records.relay_key("own")


@pytest.mark.parametrize("decode", [relays.decode_request,
                                    relays.decode_offer])
@pytest.mark.parametrize("value", [
    b"", b"x", b"[]", b"{}", b"7", b"\xff", 2000 * b"[",
    b'{"workers": 1}', b'{"workers": [1], "address": "10.0.0.1:1"}'])
def test_unreadable_relay_records_are_refused(decode, value):
    with pytest.raises(ValueError):
        decode(value)


@pytest.mark.parametrize("address", ["", "host:1", "10.0.0.1", "10.0.0.1:0"])
def test_invalid_addresses_in_relay_records_are_refused(address):
    """Guards against names that are resolved in the loop of all links."""
    with pytest.raises(ValueError):
        relays.decode_request(relays.encode_request((address,)))
    with pytest.raises(ValueError):
        relays.decode_offer(relays.encode_offer(relays.Offer(address, ())))


def test_records_of_relays_are_read_as_written():
    request = ("10.0.0.1:1", "10.0.0.2:1")
    offer = relays.Offer(RELAY, request)
    assert relays.decode_request(relays.encode_request(request)) == request
    assert relays.decode_offer(relays.encode_offer(offer)) == offer
    too_many = tuple(f"10.0.0.1:{n + 1}"
                     for n in range(relays.MAX_ADDRESSES + 1))
    with pytest.raises(ValueError):
        relays.decode_request(relays.encode_request(too_many))


def offer_item(node, revision, address, workers=("w",)):
    return messages.Item(
        records.relay_key(node), relays.encode_offer(
            relays.Offer(address, workers)), revision, revision)


def test_directory_follows_the_offers_of_other_processes():
    directory = relays.RelayDirectory(OWN_KEY)
    directory.apply_listing([offer_item("a", 3, "10.0.0.1:1"),
                             offer_item("own", 4, "10.0.0.9:1"),
                             messages.Item(records.OWNER_KEY, b"x", 5, 5)])
    assert directory.relays_of("w") == ("10.0.0.1:1",)
    assert directory.relays_of("v") == ()
    directory.apply_change(records.relay_key("b"),
                           offer_item("b", 6, "10.0.0.2:1", ("v", "w")))
    assert sorted(directory.relays_of("w")) == ["10.0.0.1:1", "10.0.0.2:1"]
    assert directory.count_since(3, "w") == 1
    directory.apply_change(records.relay_key("a"), None)
    assert directory.relays_of("w") == ("10.0.0.2:1",)
    directory.apply_change(records.relay_key("b"), dataclasses.replace(
        offer_item("b", 7, "10.0.0.2:1"), value=b"x"))
    assert directory.relays_of("w") == ()
    directory.apply_listing([])
    assert not directory.offers


class RequestBench:
    """An owner's requests over time, by a fake clock."""

    def __init__(self, policy=policy_mod.Policy()):
        self.store = fleetfakes.MemoryStore()
        self.state = test_fleet_state.Bench(*ENTRIES).state
        self.state.policy = policy
        self.state.fence = self.store.commit(messages.Transaction(
            puts=(messages.Put(records.OWNER_KEY, b"me"),)))
        self.unreached = unreached_mod.UnreachedWorkers()
        self.requests = relays.RelayRequests(
            self.store, self.state, 0, self.unreached)
        self.now = 1000.0

    def silence(self, *numbers):
        for number, entry in enumerate(ENTRIES):
            self.state.workers[entry.worker_id].unresponsive = (
                number in numbers)

    def run(self, seconds):
        """Check twice a second; return what was requested."""
        made = []
        for _ in range(int(2 * seconds)):
            self.now += 0.5
            self.state.list_read_at = self.now
            self.unreached.update(self.state, self.now)
            before = self.store.items.get(records.RELAY_REQUEST_KEY)
            self.requests.update(self.now)
            item = self.store.items.get(records.RELAY_REQUEST_KEY)
            if item != before:
                made.append(sorted(relays.decode_request(item.value)))
        return made


def test_relays_are_requested_for_all_workers_silent_for_long():
    bench = RequestBench()
    bench.silence(0, 2)
    assert bench.run(SILENT_S) == []
    assert bench.run(1.0) == [[ADDRESSES[0], ADDRESSES[2]]]


def test_request_names_workers_that_fell_silent_after_others():
    """Guards against workers that wait for a second request."""
    bench = RequestBench()
    bench.silence(0)
    bench.run(0.5)
    bench.silence(0, 2)
    assert bench.run(SILENT_S + 1.0) == [[ADDRESSES[0], ADDRESSES[2]]]


def test_worker_named_before_it_was_silent_for_long_is_requested_again():
    """Guards against a long wait if no relay reached it that early."""
    bench = RequestBench()
    bench.silence(0)
    bench.run(0.5)
    bench.silence(0, 2)
    bench.run(SILENT_S + 1.0)
    assert bench.run(relays.REQUEST_PERIOD_S) == [[ADDRESSES[0], ADDRESSES[2]]]


def test_request_of_limited_size_names_workers_that_were_silent_longest(
        monkeypatch):
    """Guards against requests filled by workers that have just crashed."""
    monkeypatch.setattr(relays, "MAX_ADDRESSES", 2)
    bench = RequestBench()
    bench.silence(0, 2)
    bench.run(0.5)
    bench.silence(0, 1, 2, 3)
    assert bench.run(SILENT_S)[0] == [ADDRESSES[0], ADDRESSES[2]]


def test_request_without_an_offer_is_repeated_less_and_less():
    """Guards against probes by all processes every five seconds."""
    bench = RequestBench()
    bench.silence(0)
    assert len(bench.run(SILENT_S + 1.0)) == 1
    assert len(bench.run(4.0)) == 0
    assert len(bench.run(120.0)) <= 4


def test_worker_that_lost_its_relay_is_requested_at_once():
    """Guards against leases that expire while the owner waits."""
    bench = RequestBench()
    bench.silence(0)
    bench.run(SILENT_S + 1.0)
    bench.silence()
    assert bench.run(20.0) == []
    bench.silence(0)
    assert bench.run(1.0) == [[ADDRESSES[0]]]


def test_lost_relay_is_replaced_soon_beside_workers_without_any():
    """Guards against requests delayed by those that brought no offer."""
    bench = RequestBench()
    bench.silence(0, 1)
    bench.run(SILENT_S + 1.0)
    bench.silence(0)
    bench.run(100.0)
    bench.silence(0, 1)
    assert ADDRESSES[:2] in bench.run(relays.REQUEST_PERIOD_S)


def test_more_workers_are_requested_soon_after_others():
    bench = RequestBench()
    bench.silence(0)
    bench.run(40.0)
    bench.silence(0, 1)
    assert bench.run(SILENT_S + relays.REQUEST_PERIOD_S)[-1] == ADDRESSES[:2]


@pytest.mark.parametrize("change", [
    lambda bench: bench.silence(),
    lambda bench: setattr(bench.state, "fence", 99),
    lambda bench: setattr(bench.store, "refuse", True),
    lambda bench: setattr(bench.state, "policy",
                          policy_mod.Policy(relay_calls=False))])
def test_no_relays_are_requested(change):
    bench = RequestBench()
    bench.silence(0)
    change(bench)
    assert bench.run(SILENT_S + 10.0) == []


class FakeProbe(interfaces.ReachProbe):
    """Reaches a set of addresses and records what was tried."""

    def __init__(self, reached):
        self.reached = set(reached)
        self.tried = []

    def find_reached(self, addresses):
        self.tried.append(sorted(addresses))
        return self.reached.intersection(self.tried[-1])


class FakeListener(interfaces.RelayListener):
    """A relay with a number of open tunnels."""

    def __init__(self):
        self.address = RELAY
        self.workers = set()
        self.open = 0
        self.failed = set()
        self.closed = False

    def listen(self, workers):
        self.workers = set(workers)
        return self.address

    def tunnels_open(self):
        return self.open

    def take_failed(self):
        failed, self.failed = self.failed, set()
        return failed

    def close(self):
        self.closed = True


class OfferBench:
    """A process that may offer to relay."""

    def __init__(self, monkeypatch, reached=ADDRESSES):
        monkeypatch.setattr(relayoffers_mod, "MAX_DELAY_S", 0.0)
        self.now = 1000.0
        monkeypatch.setattr(relayoffers_mod.clock, "now", lambda: self.now)
        self.store = fleetfakes.MemoryStore()
        self.watcher = controlwatcher.ControlWatcher(
            self.store, "op/c", lambda _: fleetfakes.configuration(),
            own_relay_key=OWN_KEY)
        self.probe = FakeProbe(reached)
        self.listener = FakeListener()
        self.worker_list = fleetfakes.MemoryWorkerList(ENTRIES[:3])
        self.owns = False
        self.offers = relayoffers_mod.RelayOffers(
            self.store, self.watcher, OWN_KEY, self.probe, self.worker_list,
            self.listener, lambda: self.owns)

    def request(self, *addresses, value=None):
        """Answer a request."""
        self.store.commit(messages.Transaction(puts=(messages.Put(
            records.RELAY_REQUEST_KEY,
            relays.encode_request(addresses) if value is None else value),)))
        self.watcher._list_keys()
        self.offers._answer(self.watcher.relay_request)

    def keep(self, seconds):
        """Let time pass."""
        for _ in range(int(2 * seconds)):
            self.now += 0.5
            self.offers._keep_offer(self.now)

    def offered(self):
        item = self.store.items.get(OWN_KEY)
        if item is None:
            return None
        offer = relays.decode_offer(item.value)
        assert offer.address == RELAY
        assert self.listener.workers == set(offer.workers)
        return list(offer.workers)


@pytest.mark.parametrize(("reached", "requested", "offered"), [
    (ADDRESSES, ADDRESSES[:2], ADDRESSES[:2]),
    (ADDRESSES[1:2], ADDRESSES[:2], ADDRESSES[1:2]),
    ([], ADDRESSES, None),
    # The last one is not listed.
    (ADDRESSES, ADDRESSES[2:], ADDRESSES[2:3]),
    (ADDRESSES, ADDRESSES[3:], None),
])
def test_offer_names_the_listed_workers_that_are_reached(
        monkeypatch, reached, requested, offered):
    bench = OfferBench(monkeypatch, reached)
    bench.request(*requested)
    assert bench.offered() == offered


def own(bench):
    bench.owns = True


def stop(bench):
    bench.offers.stop()


def take_ports(bench):
    bench.listener.address = ""


@pytest.mark.parametrize("change", [own, stop, take_ports])
def test_no_offer_is_made(monkeypatch, change):
    bench = OfferBench(monkeypatch)
    change(bench)
    bench.request(*ADDRESSES)
    assert bench.offered() is None


def test_unreadable_request_is_not_answered(monkeypatch):
    bench = OfferBench(monkeypatch)
    bench.request(value=b"x")
    assert bench.probe.tried == []


def test_workers_with_enough_offers_since_the_request_are_left_out(
        monkeypatch):
    """Guards against connections from all processes to each worker."""
    bench = OfferBench(monkeypatch)
    for number, node in enumerate(("a", "b")):
        bench.store.commit(messages.Transaction(puts=(messages.Put(
            records.relay_key(node), relays.encode_offer(relays.Offer(
                f"10.0.0.1:{number + 1}", tuple(ADDRESSES[:1])))),)))
    # Offers before a request have not kept the owner from asking.
    bench.request(ADDRESSES[0])
    assert bench.probe.tried == [ADDRESSES[:1]]
    request = bench.watcher.relay_request
    for number, node in enumerate(("a", "b")):
        bench.store.commit(messages.Transaction(puts=(messages.Put(
            records.relay_key(node), relays.encode_offer(relays.Offer(
                f"10.0.0.1:{number + 1}", tuple(ADDRESSES[:1])))),)))
    bench.watcher._list_keys()
    bench.offers._answer(request)
    assert bench.probe.tried[1:] == [[]]


def test_later_offer_keeps_the_workers_of_earlier_ones(monkeypatch):
    """Guards against tunnels that can't be opened again."""
    bench = OfferBench(monkeypatch)
    bench.request(ADDRESSES[0])
    bench.request(ADDRESSES[1])
    assert bench.offered() == ADDRESSES[:2]


def test_offer_is_renewed_only_while_a_tunnel_is_open(monkeypatch):
    bench = OfferBench(monkeypatch)
    renewed = []
    monkeypatch.setattr(bench.store, "renew", renewed.append)
    bench.request(ADDRESSES[0])
    bench.listener.open = 1
    bench.keep(60.0)
    assert len(renewed) == 60.0 / relayoffers_mod.RENEW_PERIOD_S
    bench.listener.open = 0
    bench.keep(60.0)
    assert len(renewed) == 60.0 / relayoffers_mod.RENEW_PERIOD_S
    assert bench.listener.workers == set()


def test_offer_whose_lease_ended_is_made_again_while_in_use(monkeypatch):
    """Guards against tunnels in use that a successor does not find."""
    bench = OfferBench(monkeypatch)
    bench.request(ADDRESSES[0])
    bench.listener.open = 1
    bench.store.end_lease(bench.offers.lease_id)
    assert bench.offered() is None
    bench.keep(relayoffers_mod.RENEW_PERIOD_S)
    assert bench.offered() == ADDRESSES[:1]


def fail(bench):
    bench.listener.failed = {ADDRESSES[0]}


def unlist(bench):
    bench.worker_list.entries = tuple(ENTRIES[1:3])


@pytest.mark.parametrize("change", [fail, unlist])
def test_worker_that_is_not_reached_or_listed_is_dropped_from_the_offer(
        monkeypatch, change):
    """Guards against relays that name workers which they can't reach."""
    bench = OfferBench(monkeypatch)
    bench.request(*ADDRESSES[:2])
    bench.listener.open = 1
    change(bench)
    bench.keep(relayoffers_mod.RENEW_PERIOD_S)
    assert bench.offered() == ADDRESSES[1:2]


@pytest.mark.parametrize("replaced", [False, True])
def test_stopped_process_withdraws_its_own_offer(monkeypatch, replaced):
    """Guards against the offer of the next process being removed."""
    bench = OfferBench(monkeypatch)
    bench.request(ADDRESSES[0])
    if replaced:
        bench.store.commit(messages.Transaction(puts=(messages.Put(
            OWN_KEY, bench.store.items[OWN_KEY].value),)))
    bench.offers.stop()
    assert bench.listener.closed
    bench.offers.run()
    assert (bench.offered() is not None) == replaced


@pytest.mark.parametrize(("fault", "count"), [
    ("refuse", True), ("lose_calls", 1), ("lose_answers", 1)])
def test_requests_are_answered_after_an_outage_of_the_store(
        monkeypatch, fault, count):
    """Guards against an offering thread that ends with a failed call."""
    bench = OfferBench(monkeypatch)
    requests = [messages.Item(
        records.RELAY_REQUEST_KEY, relays.encode_request((address,)),
        revision, revision) for revision, address in ((8, ADDRESSES[0]),
                                                      (9, ADDRESSES[1]))]
    answer = bench.offers._answer

    def answer_both(item):
        if item.revision == 8:
            setattr(bench.store, fault, count)
            bench.watcher.relay_request = requests[0]
            try:
                answer(item)
            finally:
                setattr(bench.store, fault, 0)
                bench.watcher.relay_request = requests[1]
        else:
            answer(item)
            bench.offers.stopped.set()
    monkeypatch.setattr(bench.offers, "_answer", answer_both)
    monkeypatch.setattr(bench.offers, "_withdraw", lambda: None)
    bench.watcher.relay_request = requests[0]
    bench.offers.run()
    assert ADDRESSES[1] in bench.offered()
