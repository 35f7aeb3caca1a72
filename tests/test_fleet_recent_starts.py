"""Test that the process that started last succeeds an owner that stops."""

import threading
import time
import types
import typing

import pytest

from sycamorefield import events
from sycamorefield.fleet import controlwatcher
from sycamorefield.fleet import handover
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import ownership as ownership_mod
from sycamorefield.fleet import recentstarts
from sycamorefield.fleet import records
from tests import fleetfakes
from tests import livenessfakes

CONFIG_KEY = "op/c"
WEAK_S = ownership_mod.WEAK_VM_CLAIM_DELAY_S
JITTER_S = ownership_mod.CLAIM_JITTER_S
PRIORITY_S = recentstarts.RECENT_START_PRIORITY_S
# The waits before a claim, from the shortest to the longest possible.
AT_ONCE = (0.0, 0.0)
AS_ANY = (0.0, JITTER_S)
LATER = (PRIORITY_S, PRIORITY_S + JITTER_S)


def plus(bounds: tuple[float, float], seconds: float) -> tuple[float, float]:
    """Return the bounds of a wait that is longer by some seconds."""
    return bounds[0] + seconds, bounds[1] + seconds


class StandInOwner(types.SimpleNamespace):
    """An owner that does nothing until it steps down."""

    recovered = False
    handed_over = False
    failed = False

    def __init__(self, fence: int) -> None:
        super().__init__(fence=fence, stepped_down=threading.Event())

    def note_lease_renewal(self, sent_at: float) -> None:
        """Ignore renewals: the lease ends when a test says so."""

    def run_guarded(self, target: typing.Callable[[], None]) -> None:
        """Run none of the threads of a term."""

    def run(self) -> None:
        """Wait for the end of the term."""
        self.stepped_down.wait()

    def step_down(self, reason: str) -> None:
        """End the term."""
        self.stepped_down.set()


class Process:
    """An entry process that competes for the fleet, without workers."""

    def __init__(self, store: fleetfakes.MemoryStore, name: str,
                 claim_delay_s: float = 0.0) -> None:
        self.store = store
        self.name = name
        self.watcher = controlwatcher.ControlWatcher(
            store, CONFIG_KEY, lambda _: fleetfakes.configuration(),
            own_start_key=records.start_key(name))
        self.ownership = ownership_mod.Ownership(
            store, self.watcher, name, StandInOwner, claim_delay_s)
        self.announcement = recentstarts.StartAnnouncement(
            store, self.watcher, self.ownership.identity, claim_delay_s)

    def start(self) -> None:
        """Start the threads; return once the notice is stored."""
        for target in (self.watcher.run, self.announcement.run,
                       self.ownership.run):
            threading.Thread(target=target, daemon=True).start()
        livenessfakes.wait_for(lambda: self.announcement.revision > 0)

    def owns(self) -> bool:
        """Return whether the key in the store is of this process."""
        item = self.store.items.get(records.OWNER_KEY)
        return item is not None and item.value == self.ownership.identity

    def stop(self) -> None:
        """Stop as planned."""
        self.announcement.stop()
        self.ownership.stop()
        self.watcher.stopped.set()

    def read_store(self) -> None:
        """Read the watched keys once, without threads."""
        self.watcher._list_keys()

    def see_changes(self, after: int) -> None:
        """Apply the changes after a revision as the watch does."""
        self.watcher._apply_changes(self.store._since(
            records.WATCHED_PREFIX, after))


@pytest.fixture(name="store")
def fixture_store() -> fleetfakes.MemoryStore:
    store = fleetfakes.MemoryStore()
    store.commit(messages.Transaction(
        puts=(messages.Put(CONFIG_KEY, b"any"),)))
    return store


def release_as_planned(process: Process) -> None:
    """Release the key because the process stops."""
    process.ownership.stopped.set()
    process.ownership.release(process.ownership.watcher.owner_claim() or 0)


def release_after_failure(process: Process) -> None:
    """Release the key after a term that failed."""
    process.ownership.release(process.ownership.watcher.owner_claim() or 0)


def kill(process: Process) -> None:
    """Let the lease of the key expire."""
    process.store.end_lease(process.ownership.lease_id)


class Case(typing.NamedTuple):
    """A free key, and the bounds of the waits before claims by process.

    started names the processes with notices, in the order of their starts.
    Process "o" owned the fleet, "w" runs on a weak VM.
    """

    started: str
    end: typing.Callable[[Process], None]
    waits: dict[str, tuple[float, float]]


@pytest.mark.parametrize("case", [
    Case("c", release_as_planned,
         {"a": LATER, "b": LATER, "c": AT_ONCE, "w": plus(LATER, WEAK_S)}),
    Case("abc", release_as_planned, {"a": LATER, "b": LATER, "c": AT_ONCE}),
    Case("cba", release_as_planned, {"a": AT_ONCE, "b": LATER, "c": LATER}),
    Case("bo", release_as_planned, {"a": LATER, "b": AT_ONCE}),
    Case("", release_as_planned, {"a": AS_ANY, "w": plus(AS_ANY, WEAK_S)}),
    Case("o", release_as_planned, {"a": AS_ANY, "b": AS_ANY}),
    Case("w", release_as_planned, {"a": AS_ANY, "w": plus(AT_ONCE, WEAK_S)}),
    Case("aw", release_as_planned,
         {"a": AT_ONCE, "b": LATER, "w": plus(AT_ONCE, WEAK_S)}),
    Case("c", release_after_failure, {"a": AS_ANY, "c": AS_ANY}),
    Case("c", kill, {"a": AS_ANY, "c": AS_ANY, "w": plus(AS_ANY, WEAK_S)}),
    Case("abc", kill, {"a": AS_ANY, "b": AS_ANY, "c": AS_ANY}),
], ids=["one-recent", "order-of-starts", "reverse-order", "owner-was-last",
        "none-recent", "only-owner-recent", "only-weak-recent",
        "weak-was-last", "failed-term", "expired", "expired-all-recent"])
def test_wait_before_a_claim_follows_the_order_of_starts(store, case):
    """Guards against successors that are the next to be restarted."""
    processes = {name: Process(store, name, WEAK_S if name == "w" else 0.0)
                 for name in "abcow"}
    owner = processes["o"]
    for name in case.started:
        processes[name].announcement._announce()
    owner.read_store()
    assert owner.ownership._claim()
    for process in processes.values():
        process.read_store()
    revision = store.revision
    case.end(owner)
    for name, (shortest, longest) in case.waits.items():
        processes[name].see_changes(revision)
        assert processes[name].watcher.owner_item is None
        wait_s = processes[name].ownership._claim_wait_s()
        assert shortest <= wait_s <= longest, name


def test_offer_to_take_over_precedes_a_recent_start(store):
    """Guards against a successor that does not reach the workers."""
    offering, recent = Process(store, "a"), Process(store, "b")
    recent.announcement._announce()
    store.commit(messages.Transaction(puts=(messages.Put(
        records.HANDOVER_OFFER_KEY, handover.encode_offer(
            7, offering.ownership.identity)),)))
    owner = Process(store, "o")
    owner.read_store()
    owner.ownership._claim()
    for process in (owner, offering, recent):
        process.read_store()
    revision = store.revision
    release_as_planned(owner)
    for process in (offering, recent):
        process.see_changes(revision)
    assert offering.ownership._claim_wait_s() == 0.0
    assert (recent.ownership._claim_wait_s()
            >= ownership_mod.OFFER_PRIORITY_S)


class LoggedClaim(typing.NamedTuple):
    """Which process claims after which end of a term, and by which rule."""

    by: str
    end: typing.Callable[[Process], None]
    rule: str
    shortest_s: float


@pytest.mark.parametrize("claim", [
    LoggedClaim("c", release_as_planned, ownership_mod.STARTED_LAST, 0.0),
    LoggedClaim("a", release_as_planned, ownership_mod.OTHER_STARTED_LATER,
                PRIORITY_S),
    LoggedClaim("a", kill, ownership_mod.ANY_ORDER, 0.0),
    LoggedClaim("c", kill, ownership_mod.ANY_ORDER, 0.0),
], ids=["started-last", "other-started-later", "expired",
        "expired-started-last"])
def test_claim_logs_by_which_rule_it_waited(store, monkeypatch, claim):
    """Guards against late claims that the logs do not explain."""
    processes = {name: Process(store, name) for name in "aco"}
    processes["c"].announcement._announce()
    owner, successor = processes["o"], processes[claim.by]
    owner.read_store()
    owner.ownership._claim()
    for process in processes.values():
        process.read_store()
    revision = store.revision
    claim.end(owner)
    successor.see_changes(revision)
    logged = []
    monkeypatch.setattr(
        events, "emit", lambda event, **fields: logged.append(
            (event, fields.get("wait_rule"), fields.get("waited_s"))))
    successor.ownership._wait_until_claimable()
    assert successor.ownership._claim()
    ((event, rule, waited_s),) = logged
    assert (event, rule) == (events.OWNERSHIP_CLAIMED, claim.rule)
    assert waited_s >= claim.shortest_s


def test_earlier_planned_release_does_not_delay_claims(store):
    """Guards against waits after a lease that expired in a later term."""
    first, second, recent, other = (Process(store, n) for n in "abcd")
    recent.announcement._announce()
    for owner, end in ((first, release_as_planned), (second, kill)):
        owner.read_store()
        owner.ownership._claim()
        for process in (owner, other):
            process.read_store()
        revision = store.revision
        end(owner)
    other.see_changes(revision)
    assert other.ownership._claim_wait_s() <= JITTER_S
    other.read_store()
    assert other.ownership._claim_wait_s() <= JITTER_S


@pytest.mark.parametrize("seen", [False, True])
def test_wait_for_one_release_is_not_used_for_the_next(store, seen):
    """Guards against a successor that is the next to be restarted.

    The key is claimed and released again while process "a" waits to claim it.
    """
    first, second, other, recent = (Process(store, n) for n in "obac")
    first.read_store()
    first.ownership._claim()
    for process in (first, second, other):
        process.read_store()
    revision = store.revision
    release_as_planned(first)
    other.see_changes(revision)
    other.ownership._wait_until_claimable()
    recent.announcement._announce()
    second.read_store()
    assert second.ownership._claim()
    second.read_store()
    release_as_planned(second)
    if seen:
        other.see_changes(revision)
    assert not other.ownership._claim()
    assert other.watcher.stopped_owner() == second.ownership.identity
    assert not seen or other.ownership._claim_wait_s() >= PRIORITY_S
    recent.read_store()
    recent.ownership._wait_until_claimable()
    assert recent.ownership._claim()


@pytest.mark.parametrize("key_first", [False, True])
def test_key_seen_free_is_known_to_be_released_as_planned(
        store, monkeypatch, key_first):
    """Guards against a claim between two changes of one transaction."""
    owner, other = Process(store, "o"), Process(store, "a")
    owner.read_store()
    owner.ownership._claim()
    for process in (owner, other):
        process.read_store()
    revision = store.revision
    release_as_planned(owner)
    changes = store._since(records.WATCHED_PREFIX, revision)
    changes.sort(key=lambda change: change.key == records.OWNER_KEY,
                 reverse=key_first)
    set_owner = other.watcher._set_owner
    seen = []

    def set_owner_and_note(item, revision):
        set_owner(item, revision)
        seen.append(other.watcher.stopped_owner())

    monkeypatch.setattr(other.watcher, "_set_owner", set_owner_and_note)
    other.watcher._apply_changes(changes)
    assert seen == [owner.ownership.identity]


def test_unreadable_notice_delays_no_claim(store):
    """Guards against a watcher that fails on a notice of another version."""
    owner, other = Process(store, "o"), Process(store, "a")
    store.commit(messages.Transaction(puts=(messages.Put(
        records.start_key("c"), b"{"),)))
    owner.read_store()
    owner.ownership._claim()
    for process in (owner, other):
        process.read_store()
    revision = store.revision
    release_as_planned(owner)
    other.see_changes(revision)
    assert other.ownership._claim_wait_s() <= JITTER_S


def test_notice_is_stored_once_the_store_answers(store, monkeypatch):
    """Guards against a process that is never known to have started."""
    monkeypatch.setattr(recentstarts, "RETRY_PAUSE_S", 0.01)
    process = Process(store, "a")
    process.read_store()
    store.lose_calls = 2
    thread = threading.Thread(target=process.announcement.run, daemon=True)
    thread.start()
    livenessfakes.wait_for(
        lambda: records.start_key("a") in store.items)
    process.announcement.stop()
    thread.join(5.0)
    assert not thread.is_alive()
    assert records.start_key("a") not in store.items


def test_process_that_stops_leaves_the_notice_of_its_successor(store):
    """Guards against a removal of the notice of the next process on a VM."""
    before, after = Process(store, "a"), Process(store, "a")
    before.announcement.revision = store.commit(messages.Transaction(
        puts=(messages.Put(records.start_key("a"), b"{}"),)))
    after.announcement._announce()
    before.announcement._withdraw()
    assert records.start_key("a") in store.items


def test_notice_waits_until_the_process_can_claim(store):
    """Guards against claims that are left to a process unable to claim."""
    process = Process(store, "a")
    thread = threading.Thread(target=process.announcement.run, daemon=True)
    thread.start()
    thread.join(0.05)
    assert records.start_key("a") not in store.items
    process.read_store()
    livenessfakes.wait_for(
        lambda: records.start_key("a") in store.items)
    process.announcement.stop()
    thread.join(5.0)
    assert not thread.is_alive()


# The largest number of changes of owner once a process has restarted: an owner
# that has restarted in this turn is not stopped again in it.
MAX_CHANGES = 2


@pytest.mark.parametrize("down_for", [0, 1, 2])
@pytest.mark.parametrize("first_owner", [0, 2, 4])
def test_rolling_restart_changes_the_owner_twice_at_most(
        store, monkeypatch, first_owner, down_for):
    """Guards against owners that are each the next process to stop.

    A process is down until down_for further processes have stopped.
    """
    # Long enough for a busy machine; the process that started last claims at
    # once.
    monkeypatch.setattr(recentstarts, "RECENT_START_PRIORITY_S", 2.0)
    names = "abcde"
    processes = {}
    # The first to start owns the fleet; notices of starts before are gone.
    for name in [names[first_owner]] + [
            n for n in names if n != names[first_owner]]:
        processes[name] = Process(store, name)
        processes[name].start()
        livenessfakes.wait_for(lambda: find_owner(processes))
    for name in names:
        store.commit(messages.Transaction(
            removes=(records.start_key(name),)))
    restarted: list[str] = []
    changes = 0
    for position, name in enumerate(names):
        owner = find_owner(processes)
        processes.pop(name).stop()
        livenessfakes.wait_for(lambda: find_owner(processes))
        if owner == name and restarted:
            changes += 1
            assert find_owner(processes) in restarted
        if position >= down_for:
            restarted.append(names[position - down_for])
            processes[restarted[-1]] = Process(store, restarted[-1])
            processes[restarted[-1]].start()
    assert changes <= MAX_CHANGES
    for process in processes.values():
        process.stop()


def find_owner(processes: dict[str, Process]) -> str:
    """Return the name of the process that owns the fleet, or nothing."""
    return next((n for n, p in processes.items() if p.owns()), "")


def test_planned_release_without_recent_starts_is_claimed_in_time(store):
    """Guards against takeovers that wait for a process that has ended."""
    owner, other = Process(store, "o"), Process(store, "a")
    owner.start()
    livenessfakes.wait_for(owner.owns)
    other.start()
    ended = Process(store, "e")
    ended.announcement._announce()
    livenessfakes.wait_for(
        lambda: ended.announcement.key
        in other.watcher.recent_starts.notices)
    stopped_at = time.monotonic()
    owner.stop()
    livenessfakes.wait_for(other.owns)
    waited_s = time.monotonic() - stopped_at
    # The wait, and time for the watch and the claim on a busy machine.
    assert PRIORITY_S <= waited_s <= PRIORITY_S + JITTER_S + 1.0
    other.stop()


class ExpiredLeaseStore(fleetfakes.MemoryStore):
    """Let the leases of the next commits expire before them."""

    def __init__(self, expired: int) -> None:
        super().__init__()
        self.expired = expired

    def commit(self, transaction: messages.Transaction) -> int:
        if self.expired and any(put.lease for put in transaction.puts):
            self.expired -= 1
            raise interfaces.LeaseEnded("lease of a put has ended")
        return super().commit(transaction)


def test_notice_is_stored_after_its_lease_expired_early(monkeypatch):
    """Guards against a thread that ends if a call for a lease was slow."""
    monkeypatch.setattr(recentstarts, "RETRY_PAUSE_S", 0.01)
    store = ExpiredLeaseStore(expired=2)
    store.commit(messages.Transaction(
        puts=(messages.Put(CONFIG_KEY, b"any"),)))
    process = Process(store, "a")
    process.read_store()
    thread = threading.Thread(target=process.announcement.run, daemon=True)
    thread.start()
    livenessfakes.wait_for(lambda: records.start_key("a") in store.items)
    process.announcement.stop()
    thread.join(5.0)
    assert not thread.is_alive()
