"""Test that ready tasks run soon after faults of workers and the store end.

Each case breaks calls of an owner, its links or its claim for a while, alone
or together with another.  Its threads, event loop and links are real.
"""

from concurrent import futures
import dataclasses
import itertools
import os
import threading
import typing

import pytest

from sycamorefield.fleet import endedlives
from sycamorefield.fleet import messages
from sycamorefield.fleet import owner as owner_mod
from sycamorefield.fleet import ownership as ownership_mod
from sycamorefield.fleet import records
from sycamorefield.fleet import recovery
from sycamorefield.fleet import rounds
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import workerstate
from tests import fleetfakes
from tests import livenessfakes

# Within this time of the end of a fault, each ready task runs.
RECOVERY_LIMIT_S = 10.0
# How long a fault lasts: longer than the shortened leases below.
FAULT_S = 1.6
# The part of all pairs of faults to try, such as "0/4" for every fourth.
PAIRS_VARIABLE = "SYCAMOREFIELD_LIVENESS_PAIRS"
PAIRS_BY_DEFAULT = "0/181"
# How many cases are played at the same time.
CASES_TOGETHER = 6
# Where a worker listens after it has moved.
MOVED_ADDRESS = "10.0.1.0:80"
FLEETS_WITHOUT_ROUNDS: list[state_mod.FleetState] = []
# Processes, and so their threads, that may start no threads.
NAMES_WITHOUT_THREADS: list[str] = []


@pytest.fixture(name="short_times", autouse=True)
def fixture_short_times(monkeypatch):
    """Shorten leases and pauses, each in proportion to the others."""
    for module, name, value in (
            (owner_mod, "OWNER_LEASE_S", 1.0),
            (owner_mod, "WORKER_LIST_PERIOD_S", 0.2),
            (owner_mod, "WORKER_LIST_RETRY_S", 0.1),
            (ownership_mod, "LEASE_TTL_MS", 1000),
            (ownership_mod, "RENEW_PERIOD_S", 0.25),
            (recovery, "MAX_STORE_OUTAGE_S", 2.5),
            (workerstate, "LEASE_MS", 1000.0),
            (workerstate, "LEASE_EXPIRY_S", 1.33),
            (state_mod, "QUORUM_WINDOW_S", 0.6),
            (endedlives, "ENTRY_TTL_S", 1.0),
            (endedlives, "ENDED_LIFE_TTL_S", 4.0)):
        monkeypatch.setattr(module, name, value)


@pytest.fixture(name="failing_calls", autouse=True)
def fixture_failing_calls(monkeypatch):
    """Let rounds of some fleets and threads of some processes fail.

    Several cases are played at the same time, so nothing is replaced by them.
    """
    place, start = rounds.place, threading.Thread.start

    def place_or_fail(fleet, now, wall_ms):
        if any(fleet is failing for failing in FLEETS_WITHOUT_ROUNDS):
            raise KeyError("unexpected")
        return place(fleet, now, wall_ms)

    def start_or_fail(thread):
        if threading.current_thread().name in NAMES_WITHOUT_THREADS:
            raise RuntimeError("can't start new thread")
        start(thread)

    monkeypatch.setattr(rounds, "place", place_or_fail)
    monkeypatch.setattr(threading.Thread, "start", start_or_fail)


@dataclasses.dataclass
class Scene:
    """A deployment, the process that owns it first and the busiest worker."""

    fleet: livenessfakes.Deployment
    process: livenessfakes.Process
    worker_id: str = "i-0"


class Fault(typing.NamedTuple):
    """A fault by name; begin may return what ends it."""

    name: str
    begin: typing.Callable[[Scene], typing.Callable[[], None] | None]


def worker_fault(kind: str, *calls: str) -> Fault:
    """Return a fault of some calls to a worker."""
    def begin(scene):
        faults = scene.fleet.faults.setdefault(scene.worker_id, {})
        faults.update(dict.fromkeys(calls, kind))

        def end():
            for call in calls:
                faults.pop(call, None)
        return end
    return Fault(f"worker {'+'.join(calls)}: {kind}", begin)


def store_fault(kind: str, *calls: str) -> Fault:
    """Return a fault of some calls of the first owner to the store."""
    def begin(scene):
        faults = scene.process.store.faults
        faults.update(dict.fromkeys(calls, kind))

        def end():
            for call in calls:
                faults.pop(call, None)
        return end
    return Fault(f"store {'+'.join(calls)}: {kind}", begin)


def store_fault_everywhere(kind: str) -> Fault:
    """Return a fault of all calls of all processes to the store."""
    def begin(scene):
        for process in scene.fleet.processes.values():
            process.store.faults.update(dict.fromkeys(ALL_CALLS, kind))

        def end():
            for process in scene.fleet.processes.values():
                for call in ALL_CALLS:
                    process.store.faults.pop(call, None)
        return end
    return Fault(f"store for all: {kind}", begin)


ALL_CALLS = ("get", "listing", "watch", "commit", "grant", "renew", "workers")


def restart_worker(scene):
    scene.fleet.restart(scene.worker_id)


def restart_elsewhere(scene):
    scene.fleet.restart(scene.worker_id, MOVED_ADDRESS)


def restart_with_silent_old_address(scene):
    scene.fleet.silent_addresses.add(
        scene.fleet.entries[scene.worker_id].address)
    scene.fleet.restart(scene.worker_id, MOVED_ADDRESS)


def unlist_worker(scene):
    entry = scene.fleet.entries.pop(scene.worker_id, None)

    def end():
        if entry is not None:
            scene.fleet.entries.setdefault(scene.worker_id, entry)
    return end


def restart_with_stale_entry(scene):
    entry = scene.fleet.entries.get(scene.worker_id)
    scene.fleet.restart(scene.worker_id)
    restarted = scene.fleet.entries.get(scene.worker_id)
    if entry is not None:
        scene.fleet.entries[scene.worker_id] = entry

    def end():
        if restarted is not None:
            scene.fleet.entries[scene.worker_id] = restarted
    return end


def list_wrong_address(scene):
    entry = scene.fleet.entries.get(scene.worker_id)
    if entry is None:
        return None
    scene.fleet.entries[scene.worker_id] = dataclasses.replace(
        entry, address="10.0.2.0:80")

    def end():
        scene.fleet.entries[scene.worker_id] = entry
    return end


def change_owner(scene):
    for process in scene.fleet.processes.values():
        if process.ownership.owner is not None:
            process.ownership.owner.step_down("test")


def remove_owner_key(scene):
    scene.fleet.store.commit(messages.Transaction(
        removes=(records.OWNER_KEY,)))


def compact_history(scene):
    scene.fleet.store.compact()


def list_another_birth(scene):
    entry = scene.fleet.entries.get(scene.worker_id)
    if entry is None:
        return None
    scene.fleet.entries[scene.worker_id] = dataclasses.replace(
        entry, born_ms=entry.born_ms + 500)

    def end():
        scene.fleet.entries[scene.worker_id] = entry
    return end


def stall_watch_then_cut_it(scene):
    faults = scene.process.store.faults
    faults["watch"] = livenessfakes.STALLED
    timer = threading.Timer(FAULT_S / 2, faults.update,
                            ({"watch": livenessfakes.REFUSED},))
    timer.start()

    def end():
        timer.join()
        faults.pop("watch", None)
    return end


def contend_for_lock(scene):
    owner = scene.process.ownership.owner
    if owner is None:
        return None
    ended = threading.Event()

    def contend():
        while not ended.wait(0.005):
            with owner.fleet.lock:
                ended.wait(0.1)

    threading.Thread(target=contend, daemon=True).start()
    return ended.set


def hold_lock(scene):
    owner = scene.process.ownership.owner
    if owner is None:
        return None
    released = threading.Event()

    def hold():
        with owner.fleet.lock:
            released.wait(10.0)

    threading.Thread(target=hold, daemon=True).start()
    return released.set


def fail_decoding(scene):
    scene.process.decode_error = TypeError("unexpected")
    scene.fleet.store.commit(messages.Transaction(
        puts=(messages.Put(livenessfakes.CONFIG_KEY, b"any"),)))

    def end():
        scene.process.decode_error = None
    return end


def fail_rounds(scene):
    owner = scene.process.ownership.owner
    if owner is None:
        return None
    FLEETS_WITHOUT_ROUNDS.append(owner.fleet)
    return lambda: FLEETS_WITHOUT_ROUNDS.remove(owner.fleet)


def fail_advice(scene):
    owner = scene.process.ownership.owner
    if owner is None:
        return None

    def fail():
        raise KeyError("unexpected")

    owner.fleet.advice._next_request = fail
    return None


def fail_making_owners(scene):
    scene.process.owner_error = OSError("too many open files")
    change_owner(scene)

    def end():
        scene.process.owner_error = None
    return end


def refuse_threads(scene):
    """Refuse threads to the first owner's process, and end its term."""
    NAMES_WITHOUT_THREADS.append(scene.process.name)
    change_owner(scene)
    return lambda: NAMES_WITHOUT_THREADS.remove(scene.process.name)


START_OF_NEW_TASK = "start new.0.0.0"
WORKER_FAULTS = [
    worker_fault(livenessfakes.HANGING, "renew", "start", "stop", "pace"),
    worker_fault(livenessfakes.HANGING, "renew"),
    worker_fault(livenessfakes.HANGING, "start", "stop", "pace"),
    worker_fault(livenessfakes.HANGING, START_OF_NEW_TASK),
    worker_fault(livenessfakes.ANSWER_LOST, "renew", "start", "stop"),
    worker_fault(livenessfakes.ANSWER_LOST, "start"),
    worker_fault(livenessfakes.LATE, "renew", "start", "stop"),
    worker_fault(livenessfakes.LATE, "start"),
    worker_fault(livenessfakes.REFUSED, "renew", "start", "stop"),
    worker_fault(livenessfakes.REFUSED, "start"),
    worker_fault(livenessfakes.CLOSED, "renew", "start", "stop"),
    worker_fault(livenessfakes.ERROR, "renew"),
    worker_fault(livenessfakes.ERROR, "start"),
    Fault("worker restarts", restart_worker),
    Fault("worker restarts elsewhere", restart_elsewhere),
    Fault("worker restarts elsewhere, old address silent",
          restart_with_silent_old_address),
    Fault("worker restarts with stale entry", restart_with_stale_entry),
    Fault("worker unlisted", unlist_worker),
    Fault("worker listed at wrong address", list_wrong_address),
    Fault("worker listed with another birth", list_another_birth)]
STORE_FAULTS = [
    store_fault_everywhere(livenessfakes.REFUSED),
    store_fault_everywhere(livenessfakes.HANGING),
    store_fault_everywhere(livenessfakes.ERROR),
    store_fault(livenessfakes.HANGING, *ALL_CALLS),
    store_fault(livenessfakes.ANSWER_LOST, "commit", "grant"),
    store_fault(livenessfakes.LATE, "commit"),
    store_fault(livenessfakes.COMPACTED, "watch"),
    store_fault(livenessfakes.STALLED, "watch"),
    store_fault(livenessfakes.REFUSED, "listing", "workers"),
    store_fault(livenessfakes.REFUSED, "commit"),
    store_fault(livenessfakes.HANGING, "renew"),
    Fault("watch stalled, then cut", stall_watch_then_cut_it),
    Fault("history compacted", compact_history),
    Fault("owner's key removed", remove_owner_key),
    Fault("term ended", change_owner)]
PROCESS_FAULTS = [
    store_fault(livenessfakes.ERROR, "watch o", "listing o"),
    store_fault(livenessfakes.ERROR, "grant", "commit owner/fleet"),
    store_fault(livenessfakes.ERROR, "renew"),
    store_fault(livenessfakes.ERROR, "get"),
    store_fault(livenessfakes.ERROR, "watch in/"),
    store_fault(livenessfakes.ERROR, "workers"),
    store_fault(livenessfakes.ERROR, "commit"),
    Fault("configuration not decoded", fail_decoding),
    Fault("rounds fail", fail_rounds),
    Fault("advice fails", fail_advice),
    Fault("owners can't be made", fail_making_owners),
    Fault("threads refused", refuse_threads),
    Fault("lock contended", contend_for_lock),
    Fault("lock held", hold_lock)]
FAULTS = WORKER_FAULTS + STORE_FAULTS + PROCESS_FAULTS


def play(faults: typing.Sequence[Fault], names: str) -> None:
    """Let faults last for a while; check that all ready tasks run."""
    fleet = livenessfakes.Deployment(names=names)
    scene = Scene(fleet, fleet.processes["a"])
    try:
        fleet.start()
        fleet.submit(fleetfakes.job(
            "old", messages.Step(3, messages.Resources(1000, 1000),
                                 perpetual=True)))
        fleet.submit(fleetfakes.job(
            "chain", messages.Step(1, messages.Resources(1000, 1000)),
            messages.Step(2, messages.Resources(1000, 1000), after=(0,))))
        first = {"chain.0.0.0", *(f"old.0.0.{n}" for n in range(3))}
        livenessfakes.wait_for(lambda: fleet.running() == first)
        scene.worker_id = next(
            w.worker_id for w in fleet.listeners.values() if w.runs)
        ends = [fault.begin(scene) for fault in faults]
        fleet.submit(fleetfakes.job("new", messages.Step(
            3, messages.Resources(1000, 1000))))
        finish(fleet, messages.TaskId("chain", 0, 0, 0))
        threading.Event().wait(FAULT_S)
        for end in reversed(ends):
            if end is not None:
                end()
        fleet.submit(fleetfakes.job("late"))
        expected = first - {"chain.0.0.0"} | {
            "chain.0.1.0", "chain.0.1.1", "new.0.0.0", "new.0.0.1",
            "new.0.0.2", "late.0.0.0"}
        try:
            livenessfakes.wait_for(
                lambda: finish_again(fleet) and fleet.running() == expected,
                RECOVERY_LIMIT_S)
        except AssertionError:
            pytest.fail(describe(scene, expected))
    finally:
        fleet.stop()


def finish(fleet: livenessfakes.Deployment, task: messages.TaskId) -> None:
    """End the runs of a task as done."""
    for worker in list(fleet.listeners.values()):
        worker.finish(task)


def finish_again(fleet: livenessfakes.Deployment) -> bool:
    """End a further run of the first step, whose end a fault may lose."""
    finish(fleet, messages.TaskId("chain", 0, 0, 0))
    return True


def describe(scene: Scene, expected: set[str]) -> str:
    """Return what is missing, and what the owners think."""
    running = scene.fleet.running()
    lines = [f"missing {sorted(expected - running)}, "
             f"not expected {sorted(running - expected)}"]
    for process in scene.fleet.processes.values():
        lines.append(f"{process.name} owns the key: {process.owns()}, "
                     f"terms {len(process.owners)}")
        if process.ownership.owner is None:
            continue
        fleet = process.ownership.owner.fleet
        for worker in fleet.workers.values():
            lines.append(
                f"{worker.entry} listed {worker.listed} enrolled "
                f"{worker.enrolled} reported {worker.has_reported} silent "
                f"{worker.unresponsive} born {worker.born_ms} used "
                f"{worker.used}")
        lines += [f"{task.task} {task.phase} on {task.worker_id} run "
                  f"{task.run}" for job in fleet.active.values()
                  for task in job.all_tasks() if not task.done]
    return "\n".join(lines)


class Case(typing.NamedTuple):
    """Faults at the same time, and the names of the processes."""

    faults: tuple[Fault, ...]
    names: str

    def __str__(self) -> str:
        return f"{self.names}: {', '.join(f.name for f in self.faults)}"


def play_together(cases: typing.Sequence[Case]) -> None:
    """Play cases at the same time, each with a fleet of its own."""
    with futures.ThreadPoolExecutor(CASES_TOGETHER) as executor:
        played = [(case, executor.submit(play, case.faults, case.names))
                  for case in cases]
    failures = [f"{case}\n{future.exception()}" for case, future in played
                if future.exception() is not None]
    assert not failures, "\n\n".join(failures)


def group(cases: typing.Sequence[Case]) -> list[typing.Any]:
    """Return parameters of the cases that are played together."""
    return [pytest.param(cases[first:first + CASES_TOGETHER],
                         id="; ".join(str(case) for case in
                                      cases[first:first + CASES_TOGETHER]))
            for first in range(0, len(cases), CASES_TOGETHER)]


SINGLE_FAULTS = (
    [Case((fault,), "a") for fault in FAULTS]
    + [Case((fault,), "ab") for fault in STORE_FAULTS + PROCESS_FAULTS])


def chosen_pairs() -> list[Case]:
    """Return the part of all ordered pairs that the environment asks for."""
    index, parts = (int(number) for number in os.environ.get(
        PAIRS_VARIABLE, PAIRS_BY_DEFAULT).split("/"))
    pairs = [Case(pair, names) for pair, names in zip(
        itertools.permutations(FAULTS, 2), itertools.cycle(("a", "ab")))]
    return pairs[index::parts]


@pytest.mark.parametrize("cases", group(SINGLE_FAULTS))
def test_ready_tasks_run_soon_after_a_fault(cases):
    play_together(cases)


@pytest.mark.parametrize("cases", group(chosen_pairs()))
def test_ready_tasks_run_soon_after_two_faults(cases):
    play_together(cases)
