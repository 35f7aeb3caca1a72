"""Test that nothing is started in data centres that are being evacuated."""

import asyncio
import dataclasses
import random
import threading

import pytest

from sycamorefield.fleet import answers
from sycamorefield.fleet import clock
from sycamorefield.fleet import controlwatcher
from sycamorefield.fleet import evacuations
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import link as link_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import quarantines
from sycamorefield.fleet import rounds
from sycamorefield.fleet import suspicion
from sycamorefield.fleet import usage
from sycamorefield.platform import configuration as platform_configuration
from tests import fleetfakes
from tests import test_fleet_machine
from tests import test_fleet_state

KEY = "op/evacuate/west"
OTHER_KEY = "op/evacuate/east"
STEP = messages.Step(1, messages.Resources(1000, 10))


def make_decoder():
    return platform_configuration.EvacuationDecoder({"east", "west"})


def item(key, revision, value=b"{}"):
    return messages.Item(key, value, revision, revision)


def evacuate(bench, *data_centres):
    """Let a fleet's operators evacuate exactly these data centres."""
    bench.state.configuration = lambda: dataclasses.replace(
        fleetfakes.configuration(), evacuated=frozenset(data_centres))


@pytest.mark.parametrize(("key", "value", "expected"), [
    (KEY, b"{}", "west"),
    (KEY, b'{"reason":"power"}', "west"),
    ("op/config", b"{}", None),
    ("owner/fleet", b"\xff", None),
    ("op/evacuate/", b"{}", ValueError),
    ("op/evacuate/north", b"{}", ValueError),
    (KEY, b"\xff\xfe", ValueError),
    (KEY, b"", ValueError),
    (KEY, b"[]", ValueError)])
def test_requests_for_evacuations_are_decoded(key, value, expected):
    if expected is ValueError:
        with pytest.raises(ValueError):
            make_decoder()(key, value)
    else:
        assert make_decoder()(key, value) == expected


@pytest.mark.parametrize(("reads", "expected"), [
    ([item(KEY, 5)], {"west"}),
    ([item(KEY, 5), item(OTHER_KEY, 6)], {"east", "west"}),
    ([item(KEY, 5), ("gone", KEY, 7)], set()),
    ([item(KEY, 5), ("gone", KEY, 7), item(KEY, 5)], set()),
    ([item(KEY, 5), ("gone", KEY, 7), item(KEY, 8)], {"west"}),
    ([item(KEY, 8), ("gone", KEY, 7)], {"west"}),
    ([item(KEY, 5), messages.Listing((), 6)], set()),
    ([item(KEY, 8), messages.Listing((), 6)], {"west"}),
    ([item(KEY, 5), ("gone", KEY, 9),
      messages.Listing((item(KEY, 5),), 6)], set()),
    ([messages.Listing((item(KEY, 5, b"\xff"), item(OTHER_KEY, 4)), 6)],
     {"east"}),
    ([item(KEY, 5), item(KEY, 6, b"\xff")], set()),
], ids=["one", "two", "ended", "older read", "again", "older end",
        "lost end", "older listing", "listing before the end",
        "unreadable one", "becomes unreadable"])
def test_older_reads_change_no_evacuation(reads, expected):
    """Guards against evacuations begun or ended again by an old read."""
    known = evacuations.Evacuations(make_decoder())
    for read in reads:
        if isinstance(read, messages.Item):
            known.apply_item(read)
        elif isinstance(read, messages.Listing):
            known.apply_listing(read)
        else:
            known.apply_removal(*read[1:])
    assert known.data_centres == expected


def test_watcher_follows_evacuations_through_a_lost_history():
    """Guards against evacuations that a compacted history hides."""
    store = fleetfakes.MemoryStore()
    watcher = controlwatcher.ControlWatcher(
        store, "op/config", lambda value: messages.Configuration(7),
        make_decoder())
    put = messages.Put
    store.commit(messages.Transaction(puts=(put("op/config", b"{}"),
                                            put(KEY, b"{}"))))
    revision = watcher._list_keys()
    assert watcher.configuration().evacuated == {"west"}
    assert watcher.configuration().version == 7
    store.commit(messages.Transaction(puts=(put(OTHER_KEY, b"{}"),),
                                      removes=(KEY,)))
    store.compact()
    with pytest.raises(interfaces.HistoryCompacted):
        watcher._watch_changes(revision)
    watcher._list_keys()
    assert watcher.configuration().evacuated == {"east"}
    store.commit(messages.Transaction(puts=(put("op/config", b"{ }"),)))
    watcher._list_keys()
    assert watcher.configuration().evacuated == {"east"}


def test_new_owner_knows_evacuations_before_it_may_claim(monkeypatch):
    """Guards against a successor that starts tasks before it knows them."""
    store = fleetfakes.MemoryStore()
    store.commit(messages.Transaction(puts=(
        messages.Put("op/config", b"{}"), messages.Put(KEY, b"{}"))))
    watcher = controlwatcher.ControlWatcher(
        store, "op/config", lambda value: messages.Configuration(1),
        make_decoder())
    seen = []
    monkeypatch.setattr(
        watcher, "_set_owner",
        lambda *_: seen.append(watcher.configuration().evacuated))
    watcher._list_keys()
    assert seen == [{"west"}]


def make_bench(workers=4):
    """Return a fleet of which every other worker is in the west."""
    return test_fleet_state.Bench(*(
        fleetfakes.entry(n, data_centre=("east", "west")[n % 2])
        for n in range(workers)))


def placed_in(bench, placed):
    """Return the data centres of "task@worker" texts."""
    return {bench.state.workers[text.partition("@")[2]].entry.data_centre
            for text in placed}


@pytest.mark.parametrize(("steps", "overrides", "count"), [
    ((messages.Step(16, messages.Resources(1000, 10)),), {}, 8),
    ((messages.Step(8, messages.Resources(1000, 10), gang=True),), {}, 8),
    ((messages.Step(9, messages.Resources(1000, 10), gang=True),), {}, 0),
    ((messages.Step(2, messages.Resources(1000, 10), perpetual=True),), {},
     2),
    ((messages.Step(2, messages.Resources(1000, 10), affinity="r1"),), {}, 2),
    ((messages.Step(2, messages.Resources(1000, 10), fills=True,
                    image="i"),), {}, 2),
    ((STEP,), {"repeat_count": 2, "start_at_ms": 1.0, "interval_ms": 1.0}, 2),
], ids=["tasks", "gang", "gang too wide", "long-running", "data nearby",
        "best-effort", "occurrences"])
def test_nothing_is_placed_in_an_evacuated_data_centre(
        steps, overrides, count):
    bench = make_bench()
    evacuate(bench, "west")
    bench.add(fleetfakes.job("j", *steps, **overrides))
    placed = bench.place()
    assert len(placed) == count
    assert placed_in(bench, placed) <= {"east"}


def test_all_data_centres_may_be_evacuated_and_taken_back():
    bench = make_bench()
    bench.add(fleetfakes.job("j", messages.Step(4, STEP.room)))
    evacuate(bench, "east", "west")
    assert not bench.place()
    evacuate(bench)
    assert len(bench.place()) == 4


def test_runs_in_an_evacuated_data_centre_go_on():
    """Guards against runs lost although only starts are to cease."""
    bench = make_bench(2)
    bench.add(fleetfakes.job("low", messages.Step(
        8, STEP.room), queue="renewals", priority=2))
    assert len(bench.place()) == 8
    evacuate(bench, "west")
    bench.add(fleetfakes.job("urgent", messages.Step(2, STEP.room)), 21)
    bench.place()
    stopped = {order.task for _, order in bench.orders
               if isinstance(order, messages.StopOrder)}
    assert len(stopped) == 2
    assert {worker_id for worker_id, order in bench.orders
            if isinstance(order, messages.StopOrder)} == {"i-0"}
    found = usage.measure(bench.state, bench.now, clock.wall_ms())
    assert (found.workers_evacuated, found.runs_evacuated) == (1, 4)
    assert found.capacity_cores == 4.0


def test_queued_start_is_withdrawn_when_its_data_centre_is_evacuated():
    """Guards against starts that were placed before the evacuation."""
    bench = make_bench(2)
    bench.add(fleetfakes.job("j", messages.Step(8, STEP.room)))
    rounds.place(bench.state, bench.now, 0)
    evacuate(bench, "west")
    sent = {worker_id for worker_id, order in bench.orders
            if answers.should_send(bench.state, worker_id, order)}
    assert sent == {"i-0"}
    assert not bench.state.workers["i-1"].reserved


def test_gang_is_stopped_whole_if_a_member_is_withdrawn():
    """Guards against half a gang that waits for members never started."""
    bench = make_bench(2)
    bench.add(fleetfakes.job("j", messages.Step(8, STEP.room, gang=True)))
    rounds.place(bench.state, bench.now, 0)
    evacuate(bench, "west")
    for worker_id, order in list(bench.orders):
        if answers.should_send(bench.state, worker_id, order):
            answers.record_started(bench.state, worker_id, order, bench.now)
    assert {task.phase for task in bench.state.jobs["j"].all_tasks()} <= {
        progress.IDLE, progress.STOPPING}


class EvacuatedDuringStart(fleetfakes.MemoryWorker):
    """Lose a start while its data centre is evacuated; count attempts."""

    attempts = 0
    on_start = staticmethod(lambda: None)

    async def start(self, order, fence, lease_end_ms):
        self.attempts += 1
        self.on_start()
        raise interfaces.CallFailed("no answer")


def test_start_without_an_answer_is_not_repeated_in_an_evacuation():
    """Guards against a second attempt after the evacuation is known."""
    bench = make_bench(2)
    bench.state.workers.pop("i-0")
    bench.add(fleetfakes.job("j"))
    rounds.place(bench.state, bench.now, 0)
    worker = EvacuatedDuringStart("i-1")
    worker.on_start = lambda: evacuate(bench, "west")
    link = link_mod.WorkerLink(
        fleetfakes.entry(1), worker, bench.state, lambda: True,
        lambda: True, lambda reason: None)
    asyncio.run(link._send_start(bench.orders[-1][1]))
    assert worker.attempts == 1
    task = bench.state.jobs["j"].tasks[0, 0][0]
    assert task.phase == progress.STOPPING


def test_quarantine_in_an_evacuated_data_centre_is_released():
    """Guards against suspected tasks started where nothing may start."""
    bench = make_bench(2)
    bench.add(fleetfakes.job("j", messages.Step(1, STEP.room)))
    state = bench.state.jobs["j"]
    state.create_tasks(0)
    task = state.tasks[0, 0][0]
    task.suspicion = suspicion.Suspicion()
    bench.state.trials.add(quarantines.Quarantine(
        state, [(task, "i-1")], bench.now))
    state.stored_quarantine_workers = {task.task: "i-1"}
    evacuate(bench, "west")
    assert placed_in(bench, bench.place()) <= {"east"}
    assert "i-1" not in bench.state.trials.by_worker


# Data centres, workers and their cores.
SHAPES = [(2, 33, 4), (3, 33, 32), (3, 60, 64), (4, 48, 1), (5, 246, 8)]


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(("data_centres", "workers", "cores"), SHAPES)
def test_fleets_of_any_shape_are_evacuated_and_used_again(
        data_centres, workers, cores, seed):
    """Guards against starts in evacuated data centres, and room left idle."""
    rng = random.Random(seed)
    bench = test_fleet_state.Bench(*(
        fleetfakes.entry(n, cpu=cores * 1000,
                         data_centre=f"dc-{n % data_centres}")
        for n in range(workers)))
    for step in range(40):
        if step % 4 == 0:
            evacuated = {f"dc-{n}" for n in range(data_centres)
                         if rng.random() < 0.3}
        evacuate(bench, *evacuated)
        bench.add(fleetfakes.job(f"j{step}", messages.Step(
            rng.randrange(1, 12), messages.Resources(
                rng.randrange(100, cores * 1000 + 1), 10),
            gang=rng.random() < 0.2)), 20 + step)
        assert not placed_in(bench, bench.place()) & evacuated
        for worker_id, worker in list(bench.state.workers.items()):
            for number, (task, run) in enumerate(list(worker.tasks)):
                if rng.random() < 0.4:
                    bench.end(worker_id, str(task),
                              worker.last_processed_end + 1, messages.DONE,
                              run)
    evacuate(bench)
    for _ in range(60):
        bench.place()
        for worker_id, worker in list(bench.state.workers.items()):
            for task, run in list(worker.tasks):
                bench.end(worker_id, str(task),
                          worker.last_processed_end + 1, messages.DONE, run)
    assert not bench.state.active


def test_orders_sent_by_another_thread_follow_an_evacuation_at_once():
    """Guards against a start sent by a thread that uses an old state."""
    bench = make_bench(2)
    bench.add(fleetfakes.job("j", messages.Step(8, STEP.room)))
    rounds.place(bench.state, bench.now, 0)
    evacuate(bench, "east", "west")
    results = []
    thread = threading.Thread(target=lambda: results.extend(
        answers.should_send(bench.state, *order) for order in bench.orders))
    thread.start()
    thread.join(5)
    assert not any(results)


def test_machine_knows_more_than_one_data_centre():
    """Guards against a random machine that can evacuate nothing alone."""
    machine = test_fleet_machine.FleetMachine()
    try:
        assert len({worker.entry.data_centre
                    for worker in machine.workers.values()}) > 1
    finally:
        machine.teardown()
