"""Test fleets of which the owner reaches only some of the listed workers."""

from sycamorefield.fleet import messages
from sycamorefield.fleet import recovery
from sycamorefield.fleet import suspicion
from sycamorefield.fleet import workerstate
from tests import fleetfakes
from tests import test_fleet_state

AWAITED_S = recovery.MAX_STORE_OUTAGE_S + workerstate.LEASE_EXPIRY_S
STEP_S = 0.1


class Successor(test_fleet_state.Bench):
    """A successor that reaches worker i-1 and not i-0; both are listed."""

    def __init__(self) -> None:
        super().__init__()
        listed = ["i-0", "i-1"]
        self.state.await_workers(listed, self.now + AWAITED_S)
        for number in range(len(listed)):
            self.state.add_worker(fleetfakes.entry(number))
        self.state.enrol(listed)
        self.state.mark_unresponsive("i-0", "no answer")

    def run(self, seconds: float) -> list[str]:
        """Let time pass; return the starts as "task@worker"."""
        placed = []
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self.state.owner_lease_until = self.now + 2.0
            self.state.update_listed(set(self.state.workers), self.now)
            self.report("i-1", [
                messages.RunningTask(task, run, "", 0)
                for task, run in self.state.workers["i-1"].tasks])
            self.state.expire(self.now)
            placed += self.place()
            for job in self.state.jobs.values():
                job.stored_quarantine_workers = dict(job.quarantine_workers)
        return placed


def test_stored_quarantine_on_an_unreachable_worker_does_not_block_its_task():
    """Guards against waiting for a report of a worker that is cut off."""
    successor = Successor()
    successor.add(fleetfakes.job("j"), 5)
    job = successor.state.jobs["j"]
    task = job.find(messages.TaskId("j", 0, 0, 0))
    task.suspicion = suspicion.Suspicion(["i-9"], [0.1], likely=True)
    job.quarantine_workers = {task.task: "i-0"}
    job.stored_quarantine_workers = dict(job.quarantine_workers)
    successor.state.trials.restore(job, successor.now)
    assert not successor.run(AWAITED_S - 1.0)
    assert successor.run(3.0) == ["j.0.0.0@i-1"]
