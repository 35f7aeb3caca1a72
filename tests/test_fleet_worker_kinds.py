"""Test a worker of another kind at an address or under an ID in use.

A worker that starts again under its ID may have other labels and another
capacity, and another worker may start at the address of an ended one.  What
was decided for the earlier life must not count for the later one.
"""

import dataclasses

import pytest

from sycamorefield.fleet import answers
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import reports
from tests import fleetfakes
from tests import test_fleet_state
from tests import test_fleet_takeover

wait_for = test_fleet_takeover.wait_for
LABELLED = messages.Step(1, messages.Resources(1000, 10), requires="a")
WIDE = messages.Step(1, messages.Resources(4000, 10))
OTHER_KIND = {"labels": ("b", "r9"),
              "capacity": messages.Resources(2000, 16_000, 0)}
TASK = messages.TaskId("j", 0, 0, 0)


def entry(born_ms, **changes):
    return dataclasses.replace(
        fleetfakes.entry(0), born_ms=born_ms, **changes)


def report(bench, born_ms, running=(), ended=()):
    bench.now += 0.1
    reports.apply_report(bench.state, "i-0", messages.WorkerReport(
        bench.now * 1000.0, tuple(running), tuple(ended), born_ms),
        bench.now, bench.now)


@pytest.fixture(name="bench")
def fixture_bench():
    bench = test_fleet_state.Bench()
    bench.state.add_worker(entry(1_000))
    bench.state.enrol(["i-0"])
    report(bench, 1_000)
    return bench


@pytest.mark.parametrize("step", [LABELLED, WIDE], ids=["label", "capacity"])
def test_nothing_starts_on_another_kind_by_the_earlier_entry(bench, step):
    """Guards against a task on a worker without its label or room.

    The later life reports before its entry is read, or after.
    """
    bench.add(fleetfakes.job("j", step))
    report(bench, 2_000)
    assert not bench.place()
    bench.state.add_worker(entry(2_000, **OTHER_KIND))
    assert not bench.place()
    bench.add(fleetfakes.job("k", messages.Step(
        1, messages.Resources(2000, 10), requires="b")), 21)
    assert bench.place() == ["k.0.0.0@i-0"]


def test_nothing_starts_by_a_later_entry_before_its_life_reports(bench):
    """The earlier life may still be the one that gets the order."""
    bench.state.add_worker(entry(2_000, **OTHER_KIND))
    bench.add(fleetfakes.job("j", messages.Step(
        1, messages.Resources(1000, 10), requires="b")))
    assert not bench.place()
    report(bench, 2_000)
    assert bench.place() == ["j.0.0.0@i-0"]


def test_queued_start_is_withdrawn_when_the_kind_changes(bench):
    bench.add(fleetfakes.job("j", LABELLED))
    state = bench.state.jobs["j"]
    state.create_tasks(0)
    task = state.find(TASK)
    bench.state.start(state, task, bench.state.workers["i-0"], 1)
    _, order = bench.orders[-1]
    bench.state.add_worker(entry(2_000, **OTHER_KIND))
    assert not answers.should_send(bench.state, "i-0", order)
    assert task.phase == progress.IDLE
    assert not bench.state.workers["i-0"].reserved


def test_runs_and_leases_of_the_earlier_life_count_no_more(bench):
    """Guards against a worker that stays full of runs that have ended."""
    bench.add(fleetfakes.job("j", WIDE, max_attempts=1))
    assert bench.place() == ["j.0.0.0@i-0"]
    bench.state.add_worker(entry(2_000))
    report(bench, 2_000)
    worker = bench.state.workers["i-0"]
    assert not worker.reserved
    assert bench.state.find(TASK)[1].phase == progress.IDLE
    assert bench.place() == ["j.0.0.0@i-0"]
    assert bench.state.find(TASK)[1].run == 2


def test_advice_for_the_earlier_life_counts_no_more(bench, monkeypatch):
    """A ticket was given for the worker's former kind."""
    forgotten = []
    monkeypatch.setattr(bench.state.advice, "forget_worker", forgotten.append)
    report(bench, 2_000)
    assert forgotten == ["i-0"]


def test_another_worker_at_an_address_takes_over_no_runs():
    """Guards against runs of an ended worker that count for another one."""
    fleet = test_fleet_takeover.Fleet(workers=1)
    fleet.take_over()
    fleet.submit(fleetfakes.job("j", LABELLED))
    wait_for(lambda: fleet.running() == ["j.0.0.0"])
    fleet.workers["i-0"].restarted = True
    fleet.workers["i-0"].runs.clear()
    fleet.workers["i-5"] = fleetfakes.MemoryWorker("i-5")
    other = dataclasses.replace(
        fleetfakes.entry(5), address="10.0.0.0:80", born_ms=1_000)
    fleet.worker_list.entries = (
        dataclasses.replace(other, **OTHER_KIND),)
    workers = fleet.owner.fleet.workers
    wait_for(lambda: [w.entry.worker_id for w in list(workers.values())
                      if w.usable(0.0)] == ["i-5"])
    assert fleet.running() == []
    fleet.worker_list.entries = (other,)
    wait_for(lambda: list(fleet.workers["i-5"].runs) == [(TASK, 2)])
    fleet.owner.step_down("test over")
