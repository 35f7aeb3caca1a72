"""Test how workers of a large fleet are ranked for a step."""

import pytest

from sycamorefield.fleet import interference
from sycamorefield.fleet import messages
from sycamorefield.fleet import placing
from sycamorefield.fleet import progress
from sycamorefield.fleet import workerstate
from tests import fleetfakes

WORKERS = 2000


def make_workers(free_cpu_by_number, labels_by_number=()):
    workers = []
    for number in range(WORKERS):
        worker = workerstate.WorkerState(fleetfakes.entry(
            number, cpu=free_cpu_by_number(number),
            labels=dict(labels_by_number).get(number, ("a", "r0"))))
        workers.append(worker)
    return workers


def rank(workers, step):
    task = progress.TaskState(messages.TaskId("j", 0, 0, 0), step)
    return placing.Ranking(task, "desk", workers,
                           interference.InterferenceModel())


def test_cost_of_a_step_does_not_grow_with_a_large_fleet(monkeypatch):
    """Guards against an owner that has no time left on a large fleet."""
    ranked = []
    rank_worker = placing._rank
    monkeypatch.setattr(placing, "_rank", lambda worker, *rest: (
        ranked.append(worker), rank_worker(worker, *rest))[1])
    ranking = rank(make_workers(lambda number: 4000),
                   messages.Step(20, messages.Resources(3000, 10)))
    for _ in range(20):
        worker = ranking.best()
        worker.reserve((messages.TaskId("j", 0, 0, 0), 1),
                       messages.Step(1, messages.Resources(3000, 10)), None)
    assert len(ranked) <= placing.MAX_CANDIDATES + 40


@pytest.mark.parametrize("fitting", [1, placing.MAX_CANDIDATES + 10])
def test_every_worker_that_fits_is_found(fitting):
    """Guards against tasks that wait although a worker has room."""
    ranking = rank(
        make_workers(lambda number: 4000 if number >= WORKERS - fitting
                     else 1000),
        messages.Step(fitting, messages.Resources(3000, 10)))
    chosen = set()
    for number in range(fitting):
        worker = ranking.best()
        worker.reserve((messages.TaskId("j", 0, 0, number), 1),
                       messages.Step(1, messages.Resources(3000, 10)), None)
        chosen.add(worker.entry.worker_id)
    assert ranking.best() is None
    assert len(chosen) == fitting


def test_worker_near_the_data_is_found_among_thousands():
    """Guards against tasks sent far from their data on a large fleet."""
    workers = make_workers(lambda number: 4000,
                           {WORKERS - 1: ("a", "near")})
    ranking = rank(workers, messages.Step(
        1, messages.Resources(3000, 10), affinity="near"))
    assert ranking.best() is workers[-1]
