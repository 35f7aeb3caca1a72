"""Test how many workers rounds examine on a full fleet."""

import pytest

from sycamorefield.fleet import messages
from sycamorefield.fleet import workerstate
from tests import fleetfakes
from tests import test_fleet_state

WORKERS = 100


def full_fleet(jobs: int) -> test_fleet_state.Bench:
    """Fill all workers; let jobs wait that each request different CPU."""
    bench = test_fleet_state.Bench(
        *(fleetfakes.entry(n) for n in range(WORKERS)),
        policy=fleetfakes.NO_RESERVED_CAPACITY)
    bench.add(fleetfakes.job("long-running", messages.Step(
        WORKERS, messages.Resources(3900, 10), perpetual=True)))
    bench.place()
    for n in range(jobs):
        bench.add(fleetfakes.job(f"j{n}", messages.Step(
            3, messages.Resources(1000 + n, 10))), 30 + n)
    bench.place()
    return bench


@pytest.mark.parametrize(("few", "many"), [(20, 80), (50, 200)])
def test_cost_of_a_round_on_a_full_fleet_does_not_grow_with_waiting_jobs(
        few, many, monkeypatch):
    """Search the fleet once for all waiting jobs, not once for each.

    Guards against an owner that uses all the CPU time of its VM, weak or
    strong, so that callers wait for seconds, leases of running tasks expire
    and long-running tasks stay down.  On a full fleet with queued jobs each
    round searched every worker for every waiting request, twice: for capacity
    and for runs to preempt.  The cost of a round grew with workers times
    waiting steps, so the fuller the fleet, the later the owner handled the
    reports that showed free capacity.  With 176 workers and 80 waiting jobs a
    round that placed nothing took 53 ms of a whole core, and every report of a
    worker requested a round.
    """
    free_calls = []
    free_capacity = workerstate.WorkerState.free_capacity

    def counted(worker):
        free_calls.append(worker)
        return free_capacity(worker)

    monkeypatch.setattr(workerstate.WorkerState, "free_capacity",
                        counted)
    costs = []
    for jobs in (few, many):
        bench = full_fleet(jobs)
        free_calls.clear()
        assert not bench.place()
        costs.append(len(free_calls))
    assert costs[1] <= costs[0] + WORKERS


@pytest.mark.parametrize(("running", "round_needed"), [(True, False),
                                                       (False, True)],
                         ids=["unchanged", "run-ended"])
def test_report_without_changes_does_not_request_a_round(running,
                                                         round_needed):
    """Run a round only if a report changes something.

    Guards against rounds that follow each other without a pause, with the
    effects described above: 176 workers send 150 to 400 reports a second.
    """
    bench = full_fleet(1)
    name = messages.TaskId("long-running", 0, 0, 0)
    (worker,) = [w for w in bench.state.workers.values()
                 if (name, 1) in w.tasks]
    worker_id = worker.entry.worker_id
    bench.report(worker_id, [messages.RunningTask(name, 1, "", 100)])
    bench.place()
    if running:
        bench.report(worker_id, [messages.RunningTask(name, 1, "", 100)])
    else:
        bench.report(worker_id, [], [messages.EndedTask(
            1, name, 1, "lapsed", "")])
    assert bench.state.round_needed is round_needed
