"""Test that the fleet has at most one owner at a time."""

import threading
import time
import types

import pytest

from sycamorefield.fleet import clock
from sycamorefield.fleet import controlwatcher
from sycamorefield.fleet import messages
from sycamorefield.fleet import owner as owner_mod
from sycamorefield.fleet import ownership as ownership_mod
from sycamorefield.fleet import recordedends
from sycamorefield.fleet import recorder as recorder_mod
from sycamorefield.fleet import records
from sycamorefield.fleet import silentworkers
from sycamorefield.fleet import state as state_mod
from tests import fleetfakes


class UnexpectedOwner:
    """Fail if an owner is created."""

    def __init__(self, fence: int) -> None:
        raise AssertionError("no owner may be created in this test")


def make_ownership(store, name, claim_delay_s=0.0, vm=""):
    watcher = controlwatcher.ControlWatcher(
        store, "op/c", lambda value: messages.Configuration())
    return ownership_mod.Ownership(store, watcher, name, UnexpectedOwner,
                                   claim_delay_s, vm)


def see_owner_key(ownership):
    """Let a process see the owner's key as it is now stored."""
    ownership.watcher.owner_item = ownership.store.get(records.OWNER_KEY)
    ownership.watcher.owner_known = True


def test_key_claimed_by_another_is_not_taken_for_an_own_claim():
    """Claim nothing if another process claimed the key during the wait.

    A process with a lease from an earlier attempt saw the key free and waited
    before its claim, while another process claimed the key.  It took any key
    for its own claim whose answer had been lost.  Four processes then acted
    as owner under one fence: tasks ran twice and workers were overcommitted.
    """
    store = fleetfakes.MemoryStore()
    first, second = make_ownership(store, "a"), make_ownership(store, "b")
    second.lease_id = store.grant(2000)
    fence = first._claim()
    see_owner_key(second)
    assert fence
    assert second._claim() == 0


def test_claim_whose_answer_was_lost_is_recognised():
    """Own the fleet after a claim whose answer was lost.

    If only answers counted, the fleet would have no owner for as long as the
    claimant renews its lease.
    """
    store = fleetfakes.MemoryStore()
    ownership = make_ownership(store, "a")
    store.lose_answers = 1
    with pytest.raises(Exception, match="no answer"):
        ownership._claim()
    see_owner_key(ownership)
    assert ownership._claim() == store.items[records.OWNER_KEY].revision


@pytest.mark.parametrize(("name", "vm", "claims"), [
    ("a", "10.0.0.1", True),
    ("a", "10.0.0.2", False),
    ("a", "10.0.0.11", False),
    ("b", "10.0.0.1", False),
    ("a", "", False),
], ids=["same-vm", "other-address", "longer-address", "other-name",
        "unknown-vm"])
def test_process_replaces_only_the_owner_that_ran_on_its_vm(name, vm, claims):
    """Guards against a fleet without an owner until a dead one's lease ends.

    After a power loss all VMs are back before the lease has expired.  An owner
    on another VM may still act, so nobody else may replace it.
    """
    store = fleetfakes.MemoryStore()
    first_fence = make_ownership(store, "a", vm="10.0.0.1")._claim()
    successor = make_ownership(store, name, vm=vm)
    see_owner_key(successor)
    fence = successor._claim()
    assert (fence > first_fence) is claims
    assert bool(fence) is claims


@pytest.mark.parametrize(("remaining_s", "since_claim_s", "claims"), [
    (None, 0.1, True), (owner_mod.OWNER_LEASE_S / 2, 0.1, True),
    (owner_mod.OWNER_LEASE_S * 2, 0.1, False),
    (owner_mod.OWNER_LEASE_S * 2, silentworkers.BRIEF_TERM_S, True)],
    ids=["unrecorded", "short-wait", "brief-term", "long-term"])
def test_restarted_process_leaves_long_waits_to_observers(
        remaining_s, since_claim_s, claims, monkeypatch):
    """Guards against waits for lost workers that a restarted owner begins.

    Processes that saw the claim of the owner before know when it was.  After a
    longer term, a fleet without an owner costs more than the wait.
    """
    now = 50.0
    monkeypatch.setattr(clock, "now", lambda: now)
    store = fleetfakes.MemoryStore()
    fence = make_ownership(store, "a", vm="10.0.0.1")._claim()
    if remaining_s is not None:
        store.commit(messages.Transaction(puts=(messages.Put(
            records.SILENT_WORKERS_KEY, silentworkers.encode(
                {"i-1": silentworkers.SilentWorker(remaining_s, None)},
                fence, since_claim_s)),)))
    restarted = make_ownership(store, "a", vm="10.0.0.1")
    monkeypatch.setattr(restarted.stopped, "wait", lambda _: False)
    see_owner_key(restarted)
    restarted.watcher.owner_changes.add_seen(fence, now)
    assert bool(restarted._claim()) is claims
    if claims:
        return
    restarted.watcher.owner_item = None
    assert (restarted._claim_wait_s()
            > ownership_mod.CLAIM_JITTER_S)
    see_owner_key(restarted)
    now += owner_mod.OWNER_LEASE_S
    assert restarted._claim() > fence


@pytest.mark.parametrize(("cores", "is_delayed"), [
    (0.516, True), (0.99, True), (1.0, False), (2.15, False)])
def test_weak_vm_delays_its_claim(cores, is_delayed):
    """Let a VM with enough cores win the claim.

    When an owner ended, 37 weak and 8 strong VMs claimed the fleet at the same
    moment, and a weak one won.  On its 0.516 core, it used 0.49 to 0.52 core
    from 8 to 34 s: callers waited for seconds and leases expired.
    """
    claim_delay_s = ownership_mod.claim_delay_s(cores)
    assert (claim_delay_s > ownership_mod.CLAIM_JITTER_S) is is_delayed


def test_delayed_claim_fails_if_another_claimed_meanwhile():
    """Check the key again after waiting for stronger VMs."""
    store = fleetfakes.MemoryStore()
    strong_vm, weak_vm = (make_ownership(store, "s"),
                          make_ownership(store, "w", 0.3))
    for contender in (strong_vm, weak_vm):
        see_owner_key(contender)
        contender.watcher.configuration_known = True
    waiting_thread = threading.Thread(target=weak_vm._wait_until_claimable)
    waiting_thread.start()
    strong_vm._wait_until_claimable()
    assert strong_vm._claim()
    see_owner_key(weak_vm)
    waiting_thread.join()
    assert weak_vm._claim() == 0


class UntimedCondition(threading.Condition):
    """Condition whose waits end only when it is notified."""

    def __init__(self):
        super().__init__()
        self.waited_on = threading.Event()

    def wait(self, timeout=None):
        self.waited_on.set()
        return super().wait()


def test_free_fleet_is_claimable_once_the_first_configuration_is_known():
    """Guards against processes that notice a new configuration late.

    Those that ran when the first configuration was stored claimed the fleet
    up to 0.5 s later, after others that started in the meantime.
    """
    store = fleetfakes.MemoryStore()
    ownership = make_ownership(store, "a")
    watcher = ownership.watcher
    watcher.owner_changed = UntimedCondition()
    threading.Thread(target=watcher.run, daemon=True).start()
    while not watcher.owner_known:
        time.sleep(0.01)
    waiting_thread = threading.Thread(
        target=ownership._wait_until_claimable, daemon=True)
    waiting_thread.start()
    assert watcher.owner_changed.waited_on.wait(5.0)
    store.commit(messages.Transaction(puts=(messages.Put("op/c", b"{}"),)))
    waiting_thread.join(5.0)
    watcher.stopped.set()
    assert not waiting_thread.is_alive()


def test_stale_read_does_not_restore_a_removed_owner_key():
    """Ignore an outdated read of the key after the key was removed.

    Without an owner the key does not change again, so a watcher that holds an
    outdated value would never see that the key is free.
    """
    store = fleetfakes.MemoryStore()
    first, second = make_ownership(store, "a"), make_ownership(store, "b")
    fence = first._claim()
    stale_item = store.get(records.OWNER_KEY)
    first.release(fence)
    second.watcher._list_keys()
    second.watcher.apply_owner_read(stale_item)
    assert second._claim()


class BlockingReadStore(fleetfakes.MemoryStore):
    """Block reads until unblock_read is set."""

    def __init__(self):
        super().__init__()
        self.read_started = threading.Event()
        self.unblock_read = threading.Event()

    def get(self, key):
        self.read_started.set()
        self.unblock_read.wait(5)
        return super().get(key)


def test_slow_read_of_the_owner_key_does_not_block_the_watcher():
    """Read the owner's key without holding the watcher's lock.

    The owner's key seems to be claimed by another process, and the owner
    reads it from a slow store.  If it held the lock during the read, a change
    of the configuration would take effect up to a second late.
    """
    store = BlockingReadStore()
    ownership = make_ownership(store, "a")
    ownership.watcher.owner_known = True
    owner = types.SimpleNamespace(
        fence=7, stepped_down=threading.Event(),
        step_down=lambda reason: owner.stepped_down.set())
    checking_thread = threading.Thread(
        target=ownership._watch_owner_key, args=(owner,))
    checking_thread.start()
    assert store.read_started.wait(5)
    lock_is_free = ownership.watcher.owner_changed.acquire(timeout=1)
    store.unblock_read.set()
    if lock_is_free:
        ownership.watcher.owner_changed.release()
    checking_thread.join(5)
    assert lock_is_free
    assert owner.stepped_down.is_set()


def test_claim_committed_during_a_planned_stop_is_released(monkeypatch):
    """Release a claim that commits while the process stops.

    Otherwise the process would own the fleet until it is killed.
    """
    store = fleetfakes.MemoryStore()
    ownership = make_ownership(store, "a")
    see_owner_key(ownership)
    ownership.watcher.configuration_known = True
    fences_run = []

    def make_owner(fence):
        stepped_down = threading.Event()
        return types.SimpleNamespace(
            fence=fence, stepped_down=stepped_down,
            note_lease_renewal=lambda sent_at: None,
            run=lambda: fences_run.append(fence),
            step_down=lambda reason: stepped_down.set())

    commit = store.commit

    def commit_then_stop(transaction):
        fence = commit(transaction)
        monkeypatch.undo()
        ownership.stop()
        return fence

    ownership.make_owner = make_owner
    monkeypatch.setattr(store, "commit", commit_then_stop)
    ownership.run()
    assert not fences_run
    assert records.OWNER_KEY not in store.items


def test_released_key_can_be_claimed_at_once():
    store = fleetfakes.MemoryStore()
    first, second = make_ownership(store, "a"), make_ownership(store, "b")
    first.release(first._claim())
    see_owner_key(second)
    assert second._claim()


def test_concurrent_flushes_do_not_acknowledge_unstored_ends():
    """Let a second flush wait for the first.

    At a planned stop an owner flushed while its recorder waited for the
    answer to a commit of the same ends of runs.  The second flush found
    nothing left to write and acknowledged the ends to the workers, and the
    commit was then abandoned.  A successor restarted a task that was done.
    """
    store = fleetfakes.MemoryStore()
    store.commit(messages.Transaction(
        puts=(messages.Put(records.OWNER_KEY, b"me"),)))
    fleet = state_mod.FleetState(2, 6000.0, lambda *_: None,
                                 fleetfakes.configuration)
    acknowledged: list[dict[str, recordedends.LifeEnds]] = []
    recorder = recorder_mod.Recorder(
        store, fleet, records.OWNER_KEY, lambda: True, lambda _: None,
        acknowledged.append)
    fleet.add_worker(fleetfakes.entry(0))
    recorder.stored_addresses = {"i-0": fleetfakes.entry(0).address}
    recorder.counted_at = time.monotonic()
    fleet.workers["i-0"].last_processed_end = 7
    fleet.add_job(fleetfakes.job("j"), 5).dirty = True
    store.put_job(fleetfakes.job("j"), 5)
    store.refuse = True
    threads = [threading.Thread(target=recorder.flush, daemon=True)
               for _ in range(2)]
    for thread in threads:
        thread.start()
    threads[1].join(0.3)
    assert not acknowledged
    store.refuse = False
    for thread in threads:
        thread.join(5)
    assert {"i-0": recordedends.LifeEnds(0, 7)} in acknowledged
    assert records.progress_key("j") in store.items


def test_awaited_worker_stays_listed_after_a_conflict_on_the_list():
    """Guards against a successor that does not wait for a worker with runs.

    After a write of unknown outcome the stored list was not the owner's, and
    its next list lacked workers that had not reported to it yet.
    """
    store = fleetfakes.MemoryStore()
    store.commit(messages.Transaction(
        puts=(messages.Put(records.OWNER_KEY, b"me"),)))
    fleet = state_mod.FleetState(2, 6000.0, lambda *_: None,
                                 fleetfakes.configuration)
    recorder = recorder_mod.Recorder(
        store, fleet, records.OWNER_KEY, lambda: True, lambda _: None,
        lambda _: None)
    address = fleetfakes.entry(0).address
    recorder.stored_addresses = {"i-0": address, "i-1": "10.0.0.9:1"}
    fleet.await_workers({"i-0"}, time.monotonic() + 60.0)
    store.commit(messages.Transaction(
        puts=(messages.Put(records.WORKERS_KEY, b"{}"),)))
    for _ in range(2):
        assert recorder.flush()
    stored = records.decode_addresses(store.items[records.WORKERS_KEY].value)
    assert stored == {"i-0": address}
