"""Show that a wide lasting task finds room beside a stream of narrow ones."""

import pytest

from sycamorefield.fleet import messages
from sycamorefield.fleet import ordering
from tests import fleetfakes
from tests import test_fleet_state

# A lasting task that is down for longer than this, with room for it, is
# lost to its users.
LOST_AFTER_S = 9.0
# Short tasks last between half of this and all of it.
MAX_RUN_S = 1.6
BACKLOG = 40
# Spreads the lengths evenly: the fractions of its multiples never repeat.
GOLDEN_RATIO = 0.618034


class FiniteTaskStream:
    """Keep two workers busy with short tasks while a wide one waits."""

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
        """Let some time pass; return what was placed."""
        for placement, at in list(self.run_ends.items()):
            if self.bench.now >= at:
                del self.run_ends[placement]
                self.end(placement, messages.DONE)
        while len(self.bench.state.active) < BACKLOG:
            self.job_count += 1
            self.bench.add(fleetfakes.job(
                f"short{self.job_count}",
                messages.Step(1, messages.Room(self.narrow_cpu, 10))),
                100 + self.job_count)
        placed = self.bench.place()
        for placement in placed:
            if placement.startswith("short"):
                run_share = 0.5 + 0.5 * (self.job_count * GOLDEN_RATIO % 1.0)
                self.job_count += 1
                self.run_ends[placement] = (
                    self.bench.now + MAX_RUN_S * run_share)
        return placed


@pytest.mark.parametrize(("narrow_cpu", "wide_cpu"), [
    (1000, 3000), (1000, 4000), (2000, 3000), (1300, 2700), (4000, 4000),
])
def test_wide_long_running_task_restarts_beside_a_stream_of_narrow_tasks(
        narrow_cpu, wide_cpu):
    """Keep a gap open for a lasting task that is down.

    Symptom: users were without a lasting task for 55 s, though processors
    came free all the time.  Events: its lease lapsed while the owner changed;
    short jobs filled the fleet meanwhile; each short task that ended left a
    gap narrower than the lasting task, and the next short task took it.
    Cause: the task that goes first got no claim to a gap that was still too
    narrow for it, so those behind it took every part of it.
    Evidence: on two workers of 4 cores, each kept busy by tasks of 1 core, a
    lasting task of 3 cores is not back in 9 s and one of 4 not in 60 s.
    """
    stream = FiniteTaskStream(narrow_cpu)
    stream.bench.add(fleetfakes.job("lasting", messages.Step(
        1, messages.Room(wide_cpu, 10), perpetual=True)))
    (placement,) = stream.bench.place()
    stream.end(placement, "lapsed")
    down_at = stream.bench.now
    while stream.bench.now < down_at + LOST_AFTER_S:
        placed = stream.step()
        if any(name.startswith("lasting") for name in placed):
            break
    assert stream.bench.now < down_at + LOST_AFTER_S
    assert stream.bench.now >= down_at + ordering.BOOST_AFTER_DOWN_S


def test_finite_tasks_still_start_on_unreserved_workers():
    """Hold back no more than the workers that a lasting task waits for."""
    stream = FiniteTaskStream(1000)
    stream.bench.add(fleetfakes.job("lasting", messages.Step(
        1, messages.Room(3000, 10), perpetual=True)))
    (placement,) = stream.bench.place()
    stream.end(placement, "lapsed")
    interrupted_at = stream.bench.now
    start_counts = [0, 0]
    while stream.bench.now < interrupted_at + LOST_AFTER_S:
        for name in stream.step():
            start_counts[stream.bench.now
                         > interrupted_at + ordering.BOOST_AFTER_DOWN_S] += 1
    assert start_counts[1] > start_counts[0] / 2
