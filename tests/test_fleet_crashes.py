"""Show what becomes of tasks when workers crash, and what is held against."""

import threading
import time
import typing

import pytest

from sycamorefield.fleet import messages
from sycamorefield.fleet import owner as owner_mod
from sycamorefield.fleet import records
from tests import fleetfakes
from tests import test_fleet_takeover

WORKERS = 6
# How long a crashed worker's process takes to come back under a new id.
REBORN_S = 0.6
SMALL = messages.Room(300, 100)
# A task that crashes its workers is started at most twice more after the
# third of them.
MOST_STARTS = 5
GIVEN_UP_S = 12.0


class CrashingFleet(test_fleet_takeover.Fleet):
    """Workers that some jobs crash, and that come back under new ids."""

    def __init__(self) -> None:
        super().__init__(0)
        # Jobs whose tasks crash each worker, and after how many seconds.
        self.crashing: dict[str, float] = {}
        self.lock = threading.Lock()
        self.reborn = True
        for number in range(WORKERS):
            self.join(number, 0)

    def join(self, number: int, life: int) -> None:
        """Let a worker start and list itself."""
        address = fleetfakes.entry(number).address
        entry = fleetfakes.entry(100 * life + number, address=address,
                                 labels=("a", f"r{number % 2}"))
        worker = fleetfakes.MemoryWorker(entry.worker_id)
        worker.crashing = self.crashing
        worker.on_crash = lambda: self.crashed(number, life)
        with self.lock:
            for other in self.workers.values():
                other.dead |= other.crashed and (
                    int(other.worker_id[2:]) % 100 == number)
            self.workers[entry.worker_id] = worker
            self.roster.entries += (entry,)

    def crashed(self, number: int, life: int) -> None:
        """Let a worker that crashed come back after a while."""
        if self.reborn:
            threading.Timer(REBORN_S, self.join, (number, life + 1)).start()

    def starts_of(self, job_id: str) -> int:
        """Return how often tasks of a job were started."""
        return sum(name.startswith(job_id + ".") for name in self.starts())


@pytest.fixture(name="fleet")
def fixture_fleet() -> typing.Iterator[CrashingFleet]:
    fleet = CrashingFleet()
    yield fleet
    fleet.reborn = False
    if fleet.owner is not None:
        fleet.owner.step_down("test over")


def wait_for(what: typing.Callable[[], bool], limit_s: float = GIVEN_UP_S
             ) -> None:
    """Wait until something holds."""
    end = time.monotonic() + limit_s
    while not what():
        assert time.monotonic() < end, "did not come to hold"
        time.sleep(0.01)


def ready(owner: owner_mod.Owner) -> bool:
    """Tell whether an owner can use all workers."""
    return owner.recovered and sum(
        w.enrolled and w.reported
        for w in owner.fleet.workers.values()) == WORKERS


@pytest.mark.parametrize("after_s", [0.0, fleetfakes.CRASHES_AFTER_S, 0.8],
                         ids=["at-once", "soon", "later"])
@pytest.mark.parametrize("step", [
    messages.Step(1, SMALL),
    messages.Step(1, SMALL, perpetual=True),
    messages.Step(2, SMALL, gang=True),
], ids=["short", "lasting", "gang"])
def test_a_task_that_crashes_its_workers_is_given_up(fleet, step, after_s):
    """Guards against a task that takes worker after worker without end."""
    wait_for(lambda owner=fleet.take_over(): ready(owner))
    beside = messages.Step(WORKERS, SMALL, perpetual=True)
    fleet.submit(fleetfakes.job("lasting", beside))
    wait_for(lambda: len(fleet.running()) == WORKERS)
    fleet.crashing["bad"] = after_s
    fleet.submit(fleetfakes.job("bad", step))
    wait_for(lambda: fleet.state("bad") == messages.JOB_FAILED)
    assert fleet.starts_of("bad") <= MOST_STARTS * step.count
    wait_for(lambda: len(fleet.running()) == WORKERS)
    assert fleet.state("lasting") not in messages.FINAL_STATES
    assert records.progress_key("bad") in fleet.store.items
