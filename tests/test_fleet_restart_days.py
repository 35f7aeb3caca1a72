"""Simulate workers that start again under their IDs, in waves."""

import random

import pytest

from sycamorefield.fleet import crashes
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import suspicion
from tests import fleetfakes
from tests import test_fleet_machine

WORKERS = 10
STEPS = 160
WAVE_PERIOD = 20
WAVE_SHARE = 0.4
TAKEOVER_PERIOD = 50
# The store is unreachable for the first steps of each period.
OUTAGE_PERIOD = 35
OUTAGE_STEPS = 8
# Steps without faults at the end, in which every job has to complete.
CALM_STEPS = 300
MAX_RUNS = 40
JOB_SHAPES = (
    (messages.Step(4, messages.Resources(500, 10)),),
    (messages.Step(2, messages.Resources(300, 10), perpetual=True),),
    (messages.Step(3, messages.Resources(400, 10), gang=True),),
    (messages.Step(6, messages.Resources(900, 10)),
     messages.Step(8, messages.Resources(1100, 10), after=(0,))),
)
ORDER_OUTCOMES = ("answered",) * 12 + ("answer lost", "lost", "late")


class RestartSimulation:
    """A seeded run in which workers restart, tasks end and owners change."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.machine = test_fleet_machine.FleetMachine()
        for worker_number in range(test_fleet_machine.WORKERS, WORKERS):
            self.machine._new_worker(worker_number)
        # Since when members of each gang have been missing.
        self.incomplete_since: dict[object, float] = {}

    def run(self) -> None:
        """Run all steps, then calm ones until each job must have ended."""
        for step in range(STEPS):
            if step % OUTAGE_PERIOD in (0, OUTAGE_STEPS):
                self.machine.store_down = self.machine.store.refuse = (
                    step % OUTAGE_PERIOD == 0)
            self.submit_job(step)
            if step % WAVE_PERIOD == WAVE_PERIOD - 1:
                self.restart_wave()
            if step % TAKEOVER_PERIOD == TAKEOVER_PERIOD - 1:
                self.take_over()
            self.exchange()
            self.finish_runs(0.15)
        self.machine.store_down = self.machine.store.refuse = False
        for _ in range(CALM_STEPS):
            self.machine.deliver_everything()
            self.machine.pass_time(0.1)
            self.break_gangs()
            self.finish_runs(0.3)

    def submit_job(self, step: int) -> None:
        """Submit a job if the fleet has capacity for it."""
        runs = sum(len(w.runs) for w in self.machine._alive())
        if (step % 2 == 0 and runs < MAX_RUNS
                and not self.machine.store_down):
            self.machine._submit(fleetfakes.job(
                f"j{len(self.machine.jobs)}", *self.rng.choice(JOB_SHAPES)))

    def restart_wave(self) -> None:
        """Restart many workers; the owner finds only some of them gone."""
        workers = self.machine._alive()
        for worker in self.rng.sample(workers, int(WAVE_SHARE * WORKERS)):
            worker_id = worker.entry.worker_id
            self.machine._end_worker(worker, keeps_id=True)
            if self.rng.random() < 0.7:
                self.machine.fleet.mark_unresponsive(worker_id, "closed")
            if self.rng.random() < 0.4:
                crashes.worker_refused_connection(self.machine.fleet,
                                                  worker_id)

    def take_over(self) -> None:
        """Change the owner, at times just before or after a wave."""
        if self.rng.random() < 0.3:
            self.restart_wave()
        self.machine.store_down = self.machine.store.refuse = False
        self.machine._take_over(self.rng.randrange(2), "answered")
        if self.rng.random() < 0.3:
            self.restart_wave()

    def exchange(self) -> None:
        """Exchange reports and orders, of which some get lost or delayed."""
        machine = self.machine
        self.deliver_orders()
        for worker in machine._alive():
            if self.rng.random() < 0.6:
                machine._report(worker, self.rng.random() < 0.95)
        self.finish_runs(0.1)
        machine.store_progress("answered")
        machine._place()
        self.deliver_orders()
        while machine.delayed_orders and self.rng.random() < 0.3:
            machine._execute_order(machine.delayed_orders.pop(
                self.rng.randrange(len(machine.delayed_orders))))
        self.break_gangs()
        machine.pass_time(self.rng.choice((0.05, 0.1, 0.2)))
        machine.used_cpu_matches_reservations()

    def deliver_orders(self) -> None:
        """Deliver, lose or delay each order in flight."""
        for _ in range(len(self.machine.orders_in_flight)):
            self.machine.order_arrives(self.rng.choice(ORDER_OUTCOMES))

    def finish_runs(self, share: float) -> None:
        """Complete a share of the runs; members of a gang end together."""
        for worker in self.machine._alive():
            for key in list(worker.runs):
                step = self.machine._job(key[0]).steps[key[0].step]
                if step.perpetual or self.rng.random() >= share:
                    continue
                members = self.members(key) if step.gang else [(worker, key)]
                if not step.gang or len(members) == step.count:
                    for member, member_key in members:
                        self.complete(member, member_key)

    def complete(self, worker: test_fleet_machine.SimulatedWorker,
                 key: tuple[messages.TaskId, int]) -> None:
        """End a run as done."""
        worker.end(key, messages.DONE)
        self.machine.done.add(key[0])
        self.machine.reported_done[key[0]] = worker.entry.worker_id

    def members(self, key: tuple[messages.TaskId, int]) -> list[tuple[
            test_fleet_machine.SimulatedWorker, tuple[messages.TaskId, int]]]:
        """Return all runs of a gang with the same run number."""
        return [(worker, other) for worker in self.machine._alive()
                for other in worker.runs
                if other[1] == key[1]
                and other[0].step_id() == key[0].step_id()]

    def break_gangs(self) -> None:
        """End the members of gangs of which others have been gone for 1 s."""
        for worker in self.machine._alive():
            for key in list(worker.runs):
                step = self.machine._job(key[0]).steps[key[0].step]
                if not step.gang or key not in worker.runs:
                    continue
                gang = (key[0].step_id(), key[1])
                members = self.members(key)
                if len(members) == step.count:
                    self.incomplete_since.pop(gang, None)
                    continue
                since = self.incomplete_since.setdefault(
                    gang, self.machine.now)
                if self.machine.now - since > 1.0:
                    for member, member_key in members:
                        member.end(member_key, "broken")

    def unfinished(self) -> list[str]:
        """Return the jobs that should have completed or should run."""
        return [state.job.job_id for state in self.machine.fleet.jobs.values()
                if state.state != messages.COMPLETED and not (
                    state.long_running and all(
                        task.phase == progress.RUNNING
                        for task in state.all_tasks()))]


@pytest.mark.parametrize("seed", range(12))
def test_restarts_repeat_and_lose_no_task(seed, monkeypatch):
    """Guards against runs repeated or lost as workers restart in waves."""
    # Innocent tasks are given up by coincidence in so many crashes; that is
    # the matter of test_fleet_crash_days.
    monkeypatch.setattr(suspicion, "MAX_QUARANTINE_CRASHES", 10**6)
    simulation = RestartSimulation(seed)
    try:
        simulation.run()
        assert simulation.unfinished() == []
    finally:
        simulation.machine.teardown()
