"""Test that ready tasks run soon after faults of workers and the store end.

Each case breaks calls of an owner, its links or its claim for a while, alone
or together with another.  Its threads, event loop and links are real.
"""

from concurrent import futures
import dataclasses
import functools
import itertools
import os
import random
import threading
import time
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
# The first and the last seed of sequences of faults to try.
SEEDS_VARIABLE = "SYCAMOREFIELD_LIVENESS_SEEDS"
SEEDS_BY_DEFAULT = "0-5"
FAULTS_IN_SEQUENCE = 8
# How many cases are played at the same time.
CASES_TOGETHER = 6
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
    played: list[str] = dataclasses.field(default_factory=list)


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
    scene.fleet.restart(scene.worker_id, moves=True)


def restart_with_silent_old_address(scene):
    scene.fleet.silent_addresses.add(scene.fleet.address(scene.worker_id))
    scene.fleet.restart(scene.worker_id, moves=True)


def relist(scene):
    return functools.partial(scene.fleet.list_worker, scene.worker_id)


def unlist_worker(scene):
    scene.fleet.entries.pop(scene.worker_id, None)
    return relist(scene)


def restart_with_stale_entry(scene):
    entry = scene.fleet.entries.get(scene.worker_id)
    scene.fleet.restart(scene.worker_id)
    if entry is not None:
        scene.fleet.entries[scene.worker_id] = entry
    return relist(scene)


def change_entry(scene, **changes):
    entry = scene.fleet.entries.get(scene.worker_id)
    if entry is not None:
        scene.fleet.entries[scene.worker_id] = dataclasses.replace(
            entry, **changes)
    return relist(scene)


def list_wrong_address(scene):
    return change_entry(scene, address="10.0.2.0:80")


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
    return change_entry(scene, born_ms=500)


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


FIRST_TASK = messages.TaskId("chain", 0, 0, 0)
STEP = messages.Step(1, messages.Resources(1000, 1000))
OLD_JOBS = (
    fleetfakes.job("old", dataclasses.replace(STEP, count=3, perpetual=True)),
    fleetfakes.job("chain", STEP,
                   dataclasses.replace(STEP, count=2, after=(0,))))
NEW_JOB = fleetfakes.job("new", dataclasses.replace(STEP, count=3))
OLD_TASKS = {"old.0.0.0", "old.0.0.1", "old.0.0.2"}
ALL_TASKS = OLD_TASKS | {"chain.0.1.0", "chain.0.1.1", "new.0.0.0",
                         "new.0.0.1", "new.0.0.2", "late.0.0.0"}


def play(play_faults: typing.Callable[[Scene], None], names: str) -> None:
    """Let faults begin and end; check that all ready tasks run."""
    fleet = livenessfakes.Deployment(names=names)
    scene = Scene(fleet, fleet.processes["a"])
    try:
        fleet.start()
        for job in OLD_JOBS:
            fleet.submit(job)
        livenessfakes.wait_for(
            lambda: fleet.running() == OLD_TASKS | {str(FIRST_TASK)})
        scene.worker_id = next(
            w.worker_id for w in fleet.listeners.values() if w.runs)
        play_faults(scene)
        fleet.submit(fleetfakes.job("late"))
        try:
            livenessfakes.wait_for(
                lambda: finish_first_task(fleet)
                and fleet.running() == ALL_TASKS, RECOVERY_LIMIT_S)
        except AssertionError:
            pytest.fail(describe(scene))
    finally:
        fleet.stop()


def play_at_once(faults: typing.Sequence[Fault], scene: Scene) -> None:
    """Begin faults together, submit a job, and end the faults."""
    ends = [fault.begin(scene) for fault in faults]
    scene.fleet.submit(NEW_JOB)
    finish_first_task(scene.fleet)
    threading.Event().wait(FAULT_S)
    for end in reversed(ends):
        if end is not None:
            end()


def play_in_sequence(seed: int, scene: Scene) -> None:
    """Begin and end faults at random times; submit a job among them."""
    generator = random.Random(seed)
    ends: list[tuple[float, typing.Callable[[], None]]] = []
    submit_at = generator.randrange(FAULTS_IN_SEQUENCE)
    for number in range(FAULTS_IN_SEQUENCE):
        if number == submit_at:
            scene.fleet.submit(NEW_JOB)
            finish_first_task(scene.fleet)
        owners = [process for process in scene.fleet.processes.values()
                  if process.ownership.owner is not None]
        fault = generator.choice(FAULTS)
        end = fault.begin(dataclasses.replace(
            scene, process=generator.choice(owners or [scene.process]),
            worker_id=f"i-{generator.randrange(3)}"))
        scene.played.append(fault.name)
        if end is not None:
            ends.append((time.monotonic()
                         + generator.uniform(0.1, FAULT_S), end))
        pause_until = time.monotonic() + generator.uniform(0.0, FAULT_S / 2)
        while time.monotonic() < pause_until:
            ends = end_due(ends, time.monotonic())
            threading.Event().wait(0.01)
    for _, end in ends:
        end()


def end_due(ends: list[tuple[float, typing.Callable[[], None]]], now: float
            ) -> list[tuple[float, typing.Callable[[], None]]]:
    """End the faults that are due; return the others."""
    for at, end in ends:
        if at <= now:
            end()
    return [(at, end) for at, end in ends if at > now]


def finish_first_task(fleet: livenessfakes.Deployment) -> bool:
    """End each run of the first step; a fault may lose the end of one."""
    for worker in list(fleet.listeners.values()):
        worker.finish(FIRST_TASK)
    return True


def describe(scene: Scene) -> str:
    """Return what is missing, and what the owners think."""
    running = scene.fleet.running()
    lines = [f"missing {sorted(ALL_TASKS - running)}, "
             f"not expected {sorted(running - ALL_TASKS)}, "
             f"played {scene.played}"]
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
    """Faults to be played, and the names of the processes."""

    name: str
    play_faults: typing.Callable[[Scene], None]
    names: str


def at_once(names: str, *faults: Fault) -> Case:
    """Return the case of faults that begin and end together."""
    return Case(f"{names}: {', '.join(fault.name for fault in faults)}",
                functools.partial(play_at_once, faults), names)


def play_together(cases: typing.Sequence[Case]) -> None:
    """Play cases at the same time, each with a fleet of its own."""
    with futures.ThreadPoolExecutor(CASES_TOGETHER) as executor:
        played = [(case, executor.submit(play, case.play_faults, case.names))
                  for case in cases]
    failures = [f"{case.name}\n{future.exception()}"
                for case, future in played if future.exception() is not None]
    assert not failures, "\n\n".join(failures)


def group(cases: typing.Sequence[Case]) -> list[typing.Any]:
    """Return parameters of the cases that are played together."""
    return [pytest.param(cases[first:first + CASES_TOGETHER],
                         id="; ".join(case.name for case in
                                      cases[first:first + CASES_TOGETHER]))
            for first in range(0, len(cases), CASES_TOGETHER)]


SINGLE_FAULTS = (
    [at_once("a", fault) for fault in FAULTS]
    + [at_once("ab", fault) for fault in STORE_FAULTS + PROCESS_FAULTS])


def chosen_pairs() -> list[Case]:
    """Return the part of all ordered pairs that the environment asks for."""
    index, parts = (int(number) for number in os.environ.get(
        PAIRS_VARIABLE, PAIRS_BY_DEFAULT).split("/"))
    pairs = [at_once(names, *pair) for pair, names in zip(
        itertools.permutations(FAULTS, 2), itertools.cycle(("a", "ab")))]
    return pairs[index::parts]


def chosen_sequences() -> list[Case]:
    """Return the sequences of faults of the seeds in the environment."""
    first, last = (int(seed) for seed in os.environ.get(
        SEEDS_VARIABLE, SEEDS_BY_DEFAULT).split("-"))
    return [Case(f"seed {seed}", functools.partial(play_in_sequence, seed),
                 "ab" if seed % 2 else "a")
            for seed in range(first, last + 1)]


@pytest.mark.parametrize("cases", group(SINGLE_FAULTS))
def test_ready_tasks_run_soon_after_a_fault(cases):
    play_together(cases)


@pytest.mark.parametrize("cases", group(chosen_pairs()))
def test_ready_tasks_run_soon_after_two_faults(cases):
    play_together(cases)


@pytest.mark.parametrize("cases", group(chosen_sequences()))
def test_ready_tasks_run_soon_after_a_sequence_of_faults(cases):
    play_together(cases)
