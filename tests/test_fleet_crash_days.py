"""Simulate random crashes of tasks, workers and racks against an owner."""

import random

import pytest

from sycamorefield.fleet import crashes
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import records
from tests import fleetfakes
from tests import test_fleet_machine

WORKERS = 12
STEPS = 220
TAKEOVER_PERIOD = 60
# A crash takes longer to be certain if it is known from expired leases alone,
# and a new owner waits for the leases of crashed workers.
LEASE_STEPS = 480
LEASE_TAKEOVER_PERIOD = 160
JOB_SHAPES = (
    (messages.Step(4, messages.Resources(500, 10)),),
    (messages.Step(6, messages.Resources(300, 10), perpetual=True),),
    (messages.Step(3, messages.Resources(400, 10), gang=True),),
    (messages.Step(3, messages.Resources(400, 10)),
     messages.Step(2, messages.Resources(800, 10), after=(0,))),
)
CRASHING_JOBS = 4


def state_of(machine: test_fleet_machine.FleetMachine,
             job: messages.Job) -> str:
    """Return the state of a job, which its owner may have forgotten."""
    known = machine.fleet.jobs.get(job.job_id)
    if known is not None:
        return known.state
    return progress.decode_state(
        machine.store.items[records.final_key(job.job_id)].value)


class CrashSimulation:
    """A seeded run in which tasks, workers and racks crash.

    is_replaced tells whether the workers that start at the addresses of
    crashed ones answer there, or leases expire before.
    """

    def __init__(self, seed: int, is_replaced: bool) -> None:
        self.is_replaced = is_replaced
        self.rng = random.Random(seed)
        self.machine = test_fleet_machine.FleetMachine()
        for worker_number in range(test_fleet_machine.WORKERS, WORKERS):
            self.machine._new_worker(worker_number)

    def run(self) -> None:
        """Run all steps, with the checks of the machine after each."""
        steps, takeover_period = (
            (STEPS, TAKEOVER_PERIOD) if self.is_replaced
            else (LEASE_STEPS, LEASE_TAKEOVER_PERIOD))
        for step in range(steps):
            if self.is_replaced:
                self.machine.successors_of_crashed_workers_answer()
            self.submit_jobs(step)
            self.crash_workers()
            if step % takeover_period == 30:
                self.machine._take_over(step % 2, "answered")
            self.machine.deliver_everything()
            if self.rng.random() < 0.9:
                self.machine.crashes_are_detected()
            self.machine.pass_time(self.rng.choice((0.05, 0.1, 0.2)))
            self.finish_some_runs()
            self.machine.only_crashing_tasks_are_given_up()
            self.machine.used_cpu_matches_reservations()

    def submit_jobs(self, step: int) -> None:
        """Submit jobs, some of which crash their workers."""
        number = len(self.machine.jobs)
        if step % 3 == 0 and self.run_count() < 60:
            self.machine._submit(fleetfakes.job(
                f"j{number}", *self.rng.choice(JOB_SHAPES)))
        if step % 10 == 5 and step < 10 * CRASHING_JOBS:
            self.machine._submit(fleetfakes.job(
                f"j{number + 1}", self.rng.choice(JOB_SHAPES)[0],
                spec=test_fleet_machine.CRASHING_SPEC))

    def run_count(self) -> int:
        """Return the number of current runs."""
        return sum(len(w.runs) for w in self.machine._alive())

    def crash_workers(self) -> None:
        """Crash, at random, one worker or a whole rack."""
        draw_value = self.rng.random()
        workers = self.machine._alive()
        victims = []
        if draw_value < 0.06:
            victims = [self.rng.choice(workers)]
        elif draw_value < 0.08:
            rack = self.rng.choice(workers).entry.rack()
            victims = [w for w in workers if w.entry.rack() == rack]
        for worker in victims:
            self.machine._end_worker(worker)
            self.machine.fleet.mark_unresponsive(
                worker.entry.worker_id, "closed")
        for worker in victims:
            crashes.worker_refused_connection(self.machine.fleet,
                                              worker.entry.worker_id)

    def finish_some_runs(self) -> None:
        """Complete some runs of finite tasks."""
        for worker in self.machine._alive():
            for key in list(worker.runs):
                step = self.machine._job(key[0]).steps[key[0].step]
                if not step.perpetual and not step.gang and (
                        self.rng.random() < 0.2):
                    worker.end(key, "done")
                    self.machine.done.add(key[0])
                    self.machine.reported_done[key[0]] = worker.entry.worker_id


@pytest.mark.parametrize("is_replaced", [True, False],
                         ids=["replaced", "leases-expire"])
@pytest.mark.parametrize("seed", [*range(6), 114, 118, 132, 141, 144, 2011,
                                  3022])
def test_simulated_crashes_fail_only_the_jobs_that_cause_them(
        seed, is_replaced):
    """Guards against failing other jobs and against endless restarts."""
    simulation = CrashSimulation(seed, is_replaced)
    try:
        simulation.run()
        states = [state_of(simulation.machine, job)
                  for job in simulation.machine.jobs
                  if job.spec == test_fleet_machine.CRASHING_SPEC]
        assert states and all(state == messages.JOB_FAILED
                              for state in states)
    finally:
        simulation.machine.teardown()
