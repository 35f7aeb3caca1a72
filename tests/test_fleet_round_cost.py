"""Show how much an owner looks at while a full fleet has no room to give."""

import pytest

from sycamorefield.fleet import messages
from sycamorefield.fleet import workerstate
from tests import fleetfakes
from tests import test_fleet_state

WORKERS = 100


def full_fleet(jobs: int) -> test_fleet_state.Bench:
    """Fill all workers with lasting tasks; let jobs wait, each of a width."""
    bench = test_fleet_state.Bench(
        *(fleetfakes.entry(n) for n in range(WORKERS)),
        policy=fleetfakes.NO_ROOM_KEPT)
    bench.add(fleetfakes.job("lasting", messages.Step(
        WORKERS, messages.Room(3900, 10), perpetual=True)))
    bench.place()
    for n in range(jobs):
        bench.add(fleetfakes.job(f"j{n}", messages.Step(
            3, messages.Room(1000 + n, 10))), 30 + n)
    bench.place()
    return bench


@pytest.mark.parametrize(("few", "many"), [(20, 80), (50, 200)])
def test_cost_of_a_round_on_a_full_fleet_does_not_grow_with_waiting_jobs(
        few, many, monkeypatch):
    """Look at the fleet once for all who wait, not once for each.

    Symptom: callers waited for seconds, leases of running tasks lapsed, and
    lasting tasks stayed down, while the owner used all the processor time
    that its VM has, a weak one as well as a strong one.  Events: the fleet
    was full, jobs queued up, and each round searched every worker for every
    width that waits, twice: for room, and for runs that could give way.
    Cause: the work of a round grew with workers times waiting steps, so the
    fuller the fleet, the later the reports that would have shown room.
    Evidence: with 176 workers and 80 waiting jobs a round that placed nothing
    took 53 ms of a whole core, and every report of a worker called for one.
    """
    free_calls = []
    free = workerstate.WorkerState.free

    def counted(worker):
        free_calls.append(worker)
        return free(worker)

    monkeypatch.setattr(workerstate.WorkerState, "free", counted)
    costs = []
    for jobs in (few, many):
        bench = full_fleet(jobs)
        free_calls.clear()
        assert not bench.place()
        costs.append(len(free_calls))
    assert costs[1] <= costs[0] + WORKERS


@pytest.mark.parametrize(("running", "round_needed"), [(True, False),
                                                       (False, True)],
                         ids=["nothing-new", "an-end"])
def test_report_without_changes_does_not_request_a_round(running,
                                                         round_needed):
    """Plan again when something has changed, not with each report.

    Symptom and cause as above: 176 workers send 150 to 400 reports a second,
    so that rounds followed each other without a pause.
    """
    bench = full_fleet(1)
    name = messages.TaskId("lasting", 0, 0, 0)
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
    assert bench.state.changed is round_needed
