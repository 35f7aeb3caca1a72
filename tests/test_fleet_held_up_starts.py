"""Test a start that is held up and that two lives of a worker may get.

The first life has answered a later call, so it refuses the start; the next
one knows nothing of that call.
"""

import asyncio
import random
import threading
import time

from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from tests import fleetfakes
from tests import rebornworkers
from tests import test_fleet_takeover

HELD_UP_S = 4.0
DARK_S = 0.3
CUT_S = 9.0
CRASHES_AFTER_S = 2.5


class HeldUpWorker(rebornworkers.RebornWorker):
    """A worker that leaves the first attempts to start a run unanswered.

    The first one is held up; others are lost.
    """

    attempts_lost = 0
    # All workers of a test share this.
    held_up: list[str]

    async def start(self, order, fence, lease_end_ms):
        if not self.held_up:
            self.held_up.append(self.worker_id)
            self.attempts_lost = self.lost_after_first
            timer = threading.Timer(HELD_UP_S, self._start_late, (
                order, fence, lease_end_ms))
            timer.daemon = True
            timer.start()
        elif not (self.held_up[0] == self.worker_id and self.attempts_lost):
            return await super().start(order, fence, lease_end_ms)
        else:
            self.attempts_lost -= 1
        await asyncio.sleep(rebornworkers.NO_ANSWER_S)
        raise interfaces.CallFailed("no answer")

    def _start_late(self, order, fence, lease_end_ms):
        """Carry the start out, whether or not the worker is cut off."""
        self.unreachable_until = 0.0
        asyncio.run(self._refused(super().start(order, fence, lease_end_ms)))
        self.unreachable_until = clock.now() + CUT_S

    async def _refused(self, call):
        try:
            await call
        except interfaces.OrderRejected:
            pass


class HeldUpFleet(test_fleet_takeover.LeasedFleet):
    """Two workers; the one that gets the first start starts again."""

    def __init__(self, lost_after_first: int) -> None:
        super().__init__(workers=2)
        self.history = rebornworkers.History()
        held_up: list[str] = []
        self.workers = {}
        for entry in self.worker_list.entries:
            worker = HeldUpWorker(
                entry.worker_id, self.history, random.Random(1), 0.0)
            worker.held_up = held_up
            worker.lost_after_first = lost_after_first
            self.workers[entry.worker_id] = worker
        self.held_up = held_up

    def run(self, duration_s: float) -> None:
        self.take_over()
        self.submit(fleetfakes.job("j", spec=str(duration_s)))
        test_fleet_takeover.wait_for(lambda: self.held_up)
        worker = self.workers[self.held_up[0]]
        began_at = clock.now()
        crashed = False
        while clock.now() < began_at + 12.0:
            if not crashed and clock.now() > began_at + CRASHES_AFTER_S:
                crashed = True
                worker.crash(DARK_S)
                worker.cut(CUT_S)
            for each in self.workers.values():
                each.advance()
            time.sleep(0.02)
        self.owner.step_down("test over")


def test_task_does_not_run_beside_a_start_of_a_run_that_is_over():
    """Guards against a start that the next life carries out late."""
    fleet = HeldUpFleet(lost_after_first=1)
    fleet.run(duration_s=9.0)
    assert len(fleet.history.runs[messages.TaskId("j", 0, 0, 0)]) > 1
    assert not fleet.history.overlaps()
