"""Test that narrow finite tasks do not starve a wide long-running one."""

import pytest

from sycamorefield.fleet import messages
from sycamorefield.fleet import ordering
from tests import fleetfakes
from tests import test_fleet_state

# A long-running task that is down for longer than this although capacity for
# it exists counts as lost to its users.
LOST_AFTER_S = 9.0
# Finite tasks run for half of this to all of it.
MAX_RUN_S = 1.6
BACKLOG = 40
# Spreads run times evenly, as the fractions of its multiples never repeat.
GOLDEN_FRACTION = 0.618034


class FiniteTaskStream:
    """Two workers kept busy with finite tasks while a wide task waits."""

    def __init__(self, narrow_cpu: int) -> None:
        self.bench = test_fleet_state.Bench(
            fleetfakes.entry(0), fleetfakes.entry(1))
        self.narrow_cpu = narrow_cpu
        self.run_ends: dict[str, float] = {}
        self.last_end_numbers = {"i-0": 0, "i-1": 0}
        self.job_count = 0

    def end(self, placement: str, how: str) -> None:
        task, worker = placement.split("@")
        self.last_end_numbers[worker] += 1
        job_id, k, s, i = task.rsplit(".", 3)
        name = messages.TaskId(job_id, int(k), int(s), int(i))
        run = max(r for t, r in self.bench.state.workers[worker].tasks
                  if t == name)
        self.bench.end(worker, task, self.last_end_numbers[worker], how, run)

    def step(self) -> list[str]:
        """Advance the time by one round; return what was placed."""
        for placement, at in list(self.run_ends.items()):
            if self.bench.now >= at:
                del self.run_ends[placement]
                self.end(placement, messages.DONE)
        while len(self.bench.state.active) < BACKLOG:
            self.job_count += 1
            self.bench.add(fleetfakes.job(
                f"finite{self.job_count}",
                messages.Step(1, messages.Resources(self.narrow_cpu, 10))),
                100 + self.job_count)
        placed = self.bench.place()
        for placement in placed:
            if placement.startswith("finite"):
                run_share = 0.5 + 0.5 * \
                    (self.job_count * GOLDEN_FRACTION % 1.0)
                self.job_count += 1
                self.run_ends[placement] = (
                    self.bench.now + MAX_RUN_S * run_share)
        return placed


@pytest.mark.parametrize(("narrow_cpu", "wide_cpu"), [
    (1000, 3000), (1000, 4000), (2000, 3000), (1300, 2700), (4000, 4000),
])
def test_wide_long_running_task_restarts_beside_a_stream_of_narrow_tasks(
        narrow_cpu, wide_cpu):
    """Reserve a worker for a long-running task that is down.

    Guards against a long-running task that stays down (for 55 s) while CPU
    becomes free all the time.  Its lease expired during a change of owner, and
    finite jobs filled the fleet.  Each finite task that ended freed less than
    the long-running task requests, and the next finite task used it, because
    nothing reserved capacity that was not yet enough for the first task.
    Without reservations, on two workers of 4 cores kept busy by tasks of 1
    core, a task of 3 cores is not restarted within 9 s and one of 4 cores not
    within 60 s.
    """
    stream = FiniteTaskStream(narrow_cpu)
    stream.bench.add(fleetfakes.job("long-running", messages.Step(
        1, messages.Resources(wide_cpu, 10), perpetual=True)))
    (placement,) = stream.bench.place()
    stream.end(placement, "lapsed")
    down_at = stream.bench.now
    while stream.bench.now < down_at + LOST_AFTER_S:
        placed = stream.step()
        if any(name.startswith("long-running") for name in placed):
            break
    assert stream.bench.now < down_at + LOST_AFTER_S
    assert stream.bench.now >= down_at + ordering.BOOST_AFTER_DOWN_S


def test_finite_tasks_still_start_on_unreserved_workers():
    """Reserve no more workers than a long-running task needs."""
    stream = FiniteTaskStream(1000)
    stream.bench.add(fleetfakes.job("long-running", messages.Step(
        1, messages.Resources(3000, 10), perpetual=True)))
    (placement,) = stream.bench.place()
    stream.end(placement, "lapsed")
    interrupted_at = stream.bench.now
    start_counts = [0, 0]
    while stream.bench.now < interrupted_at + LOST_AFTER_S:
        for name in stream.step():
            start_counts[stream.bench.now
                         > interrupted_at + ordering.BOOST_AFTER_DOWN_S] += 1
    assert start_counts[1] > start_counts[0] / 2


def test_best_effort_task_that_fits_nowhere_reserves_no_worker():
    """Guards against a worker on which nothing starts any more."""
    bench = test_fleet_state.Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("wide", messages.Step(
        1, messages.Resources(5000, 10), fills=True, perpetual=True)))
    job = bench.state.jobs["wide"]
    job.create_tasks(0)
    job.tasks[0, 0][0].has_run = True
    assert not bench.place()
    bench.now += ordering.BOOST_AFTER_DOWN_S
    bench.add(fleetfakes.job("finite"), 21)
    assert bench.place() == ["finite.0.0.0@i-0"]


@pytest.mark.parametrize(("perpetual", "starts"), [(True, True),
                                                   (False, False)])
def test_long_running_task_restarts_on_a_worker_reserved_for_another(
        perpetual, starts):
    """Guards against a task that is down until a run of another job ends."""
    bench = test_fleet_state.Bench(fleetfakes.entry(0), fleetfakes.entry(1))
    for name, cpu in (("r0", 500), ("r1", 4000)):
        bench.add(fleetfakes.job(f"finite-{name}", messages.Step(
            1, messages.Resources(cpu, 10), 60_000, requires=name)))
    bench.place()
    for number, (name, cpu, is_long) in enumerate((
            ("wide", 3800, True), ("narrow", 500, perpetual))):
        bench.add(fleetfakes.job(name, messages.Step(
            1, messages.Resources(cpu, 10), perpetual=is_long),
            priority=number), 21 + number)
        job = bench.state.jobs[name]
        job.create_tasks(0)
        job.tasks[0, 0][0].has_run = is_long
        job.downtime_s(bench.now)
    bench.now += ordering.BOOST_AFTER_DOWN_S
    assert bench.place() == ["narrow.0.0.0@i-0"] * starts
