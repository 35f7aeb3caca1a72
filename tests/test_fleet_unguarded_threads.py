"""Test that no unexpected error leaves the fleet without an owner."""

import inspect
import threading

import pytest

from sycamorefield import events
from sycamorefield.fleet import loopthread
from sycamorefield.fleet import messages
from sycamorefield.fleet import ownership as ownership_mod
from sycamorefield.fleet import records
from tests import fleetfakes
from tests import livenessfakes

THREAD_LIMIT = RuntimeError("can't start new thread")


@pytest.fixture(name="fleet")
def fixture_fleet():
    fleet = livenessfakes.Deployment(names="a")
    yield fleet
    fleet.stop()


def refuse_threads(monkeypatch, names, times):
    """Let the first starts of threads that run one of some methods fail."""
    start = threading.Thread.start
    left = [times]

    def start_or_fail(thread):
        if left[0] and names & {name_of_target(thread)}:
            left[0] -= 1
            raise THREAD_LIMIT
        start(thread)

    monkeypatch.setattr(threading.Thread, "start", start_or_fail)
    return left


def name_of_target(thread):
    """Return the name of the method that a thread runs."""
    target = getattr(thread, "_target", None)
    args = getattr(thread, "_args", ())
    if target is None:
        return ""
    if args and callable(args[0]):
        target = args[0]
    return getattr(getattr(target, "func", target), "__qualname__", "")


@pytest.mark.parametrize("name", [
    "Ownership._renew_lease", "Ownership._watch_owner_key",
    "JobWatcher.follow", "Owner._follow_worker_list", "Recorder.run",
    "Owner._follow_advice", "LoopThread._run"])
def test_fleet_is_scheduled_after_a_thread_of_a_term_failed_to_start(
        fleet, monkeypatch, name):
    """A claim without its threads renewed its lease and scheduled nothing."""
    left = refuse_threads(monkeypatch, {name}, 2)
    fleet.processes["a"].start()
    fleet.submit(fleetfakes.job("j"))
    livenessfakes.wait_for(lambda: fleet.running() == {"j.0.0.0"})
    assert left == [0]


def test_process_claims_again_after_its_owner_could_not_be_made(fleet):
    """The thread that claims ended, so no process could own the fleet."""
    process = fleet.processes["a"]
    process.owner_error = OSError("too many open files")
    process.start()
    livenessfakes.wait_for(lambda: fleet.store.leases_granted > 0)
    process.owner_error = None
    fleet.submit(fleetfakes.job("j"))
    livenessfakes.wait_for(lambda: fleet.running() == {"j.0.0.0"})


@pytest.mark.parametrize("fault", ["owner", "threads", "recorder", "renewal"])
def test_process_whose_terms_fail_leaves_the_fleet_to_a_weak_vm(
        monkeypatch, fault):
    """It claimed the fleet again before the delay of the weak VM was over."""
    fleet = livenessfakes.Deployment(names="ab")
    strong, weak = fleet.processes.values()
    weak.ownership.claim_delay_s = ownership_mod.WEAK_VM_CLAIM_DELAY_S
    if fault == "owner":
        strong.owner_error = OSError("too many open files")
    elif fault == "threads":
        start = threading.Thread.start

        def start_or_fail(thread):
            if threading.current_thread().name == strong.name:
                raise THREAD_LIMIT
            start(thread)

        monkeypatch.setattr(threading.Thread, "start", start_or_fail)
    else:
        call = {"recorder": "commit fleet/workers", "renewal": "renew"}[fault]
        strong.store.faults = {call: livenessfakes.ERROR}
    try:
        strong.start()
        livenessfakes.wait_for(lambda: fleet.store.leases_granted > 0)
        weak.start()
        livenessfakes.wait_for(
            lambda: weak.owners and weak.owners[-1].recovered)
    finally:
        fleet.stop()


@pytest.mark.parametrize("call", ["grant", "commit owner/fleet"])
def test_process_claims_again_after_an_unexpected_error_of_a_claim(
        fleet, call):
    """An answer that lacked a field ended the thread that claims."""
    process = fleet.processes["a"]
    process.store.faults = {call: livenessfakes.ERROR}
    process.start()
    livenessfakes.wait_for(lambda: process.watcher.owner_known)
    threading.Event().wait(0.3)
    process.store.faults = {}
    livenessfakes.wait_for(process.owns)


def test_process_claims_again_if_no_thread_can_release_its_key(
        fleet, monkeypatch):
    """The thread that claims ended with the term."""
    refuse_threads(monkeypatch, {"Ownership.release"}, 1)
    process = fleet.processes["a"]
    process.start()
    livenessfakes.wait_for(lambda: len(process.owners) > 0)
    process.owners[0].step_down("test")
    livenessfakes.wait_for(lambda: len(process.owners) > 1
                           and process.owners[-1].recovered)


@pytest.mark.parametrize("call", ["renew", "get owner/fleet"])
def test_owner_steps_down_after_an_unexpected_error_with_its_claim(
        fleet, call):
    """An owner went on without the thread that renews or checks its claim."""
    process = fleet.processes["a"]
    process.start()
    livenessfakes.wait_for(lambda: len(process.owners) > 0
                           and process.owners[0].recovered)
    # The store keeps the key, so only the error can end the term in time.
    fleet.store.expires_at.clear()
    process.store.faults = {call: livenessfakes.ERROR}
    # The key seems to be claimed by another, so it is read.
    process.watcher._set_owner(messages.Item(
        records.OWNER_KEY, b"x", 10 ** 6, 10 ** 6), 10 ** 6)
    livenessfakes.wait_for(process.owners[0].stepped_down.is_set, 5.0)


def test_key_is_released_at_a_stop_though_the_last_flush_fails(
        fleet, monkeypatch):
    """The successor waited until the lease had expired."""
    process = fleet.processes["a"]
    process.start()
    livenessfakes.wait_for(lambda: len(process.owners) > 0
                           and process.owners[0].recovered)
    process.owners[0].recorder.stopped.set()

    def fail():
        raise KeyError("unexpected")

    monkeypatch.setattr(process.owners[0].recorder, "flush", fail)
    process.ownership.stop()
    assert process.owners[0].stepped_down.is_set()
    assert records.OWNER_KEY not in fleet.store.items


def test_unexpected_error_of_a_release_is_logged(fleet):
    """It ended a thread unseen, or a planned stop half-way."""
    process = fleet.processes["a"]
    process.store.faults = {"commit owner/fleet": livenessfakes.ERROR}
    before = events.COUNTS[events.THREAD_FAILED.code]
    process.ownership.release(5)
    assert events.COUNTS[events.THREAD_FAILED.code] == before + 1


@pytest.mark.parametrize("call", ["listing o", "watch o"])
def test_owner_key_is_watched_after_an_unexpected_error_of_the_watch(
        fleet, call):
    """The process took the key for claimed by another ever after."""
    process = fleet.processes["a"]
    fleet.store.commit(messages.Transaction(
        puts=(messages.Put(records.OWNER_KEY, b"another"),)))
    process.start()
    livenessfakes.wait_for(lambda: process.watcher.owner_known)
    # A listing follows a watch that failed.
    process.store.faults = {call: livenessfakes.ERROR,
                            "watch o": livenessfakes.ERROR}
    threading.Event().wait(0.5)
    process.store.faults = {}
    fleet.store.commit(messages.Transaction(removes=(records.OWNER_KEY,)))
    livenessfakes.wait_for(process.owns)


@pytest.mark.parametrize("error", [
    TypeError("not a number"), RecursionError("nested too deeply")])
def test_fleet_is_claimed_if_a_later_configuration_can_not_be_decoded(
        fleet, error):
    """The watcher ended, and the owner's key was never seen again."""
    process = fleet.processes["a"]
    fleet.store.commit(messages.Transaction(
        puts=(messages.Put(records.OWNER_KEY, b"another"),)))
    process.start()
    livenessfakes.wait_for(lambda: process.watcher.owner_known
                           and process.watcher.configuration_known)
    process.decode_error = error
    fleet.store.commit(messages.Transaction(
        puts=(messages.Put(livenessfakes.CONFIG_KEY, b"unreadable"),)))
    threading.Event().wait(0.2)
    fleet.store.commit(messages.Transaction(removes=(records.OWNER_KEY,)))
    livenessfakes.wait_for(process.owns)


def test_loop_is_closed_though_its_thread_failed_to_start(monkeypatch):
    """Each term that failed so left three open files behind."""
    refuse_threads(monkeypatch, {"LoopThread._run"}, 1)
    loop_thread = loopthread.LoopThread()

    async def do_nothing():
        pass

    coroutine = do_nothing()
    with pytest.raises(RuntimeError):
        loop_thread.spawn(coroutine)
    loop_thread.stop()
    assert loop_thread.loop.is_closed()
    assert inspect.getcoroutinestate(coroutine) == inspect.CORO_CLOSED
