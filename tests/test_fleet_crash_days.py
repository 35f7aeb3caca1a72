"""Play whole days of crashes against the owner's decisions, seed by seed."""

import random

import pytest

from sycamorefield.fleet import crashes
from sycamorefield.fleet import messages
from tests import fleetfakes
from tests import test_fleet_machine

WORKERS = 12
STEPS = 220
SMALL = (
    (messages.Step(4, messages.Resources(500, 10)),),
    (messages.Step(6, messages.Resources(300, 10), perpetual=True),),
    (messages.Step(3, messages.Resources(400, 10), gang=True),),
    (messages.Step(3, messages.Resources(400, 10)),
     messages.Step(2, messages.Resources(800, 10), after=(0,))),
)
CRASHING = 4


class CrashDay:
    """A day on which tasks crash workers, and workers and racks crash too."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.machine = test_fleet_machine.FleetMachine()
        for place in range(test_fleet_machine.WORKERS, WORKERS):
            self.machine._new_worker(place)
        self.changes = 0

    def play(self) -> None:
        """Play all steps, with the checks of the machine after each."""
        for step in range(STEPS):
            self.hand_in(step)
            self.crash_some()
            if step % 60 == 30:
                self.machine._take_over(step % 2, "answered")
            self.machine.calm()
            if self.rng.random() < 0.9:
                self.machine.crashes_are_noticed()
            self.machine.pass_time(self.rng.choice((0.05, 0.1, 0.2)))
            self.end_some()
            self.machine.only_tasks_that_crash_workers_are_given_up()
            self.machine.room_is_accounted_for()

    def hand_in(self, step: int) -> None:
        """Hand in jobs, now and then one that crashes its workers."""
        number = len(self.machine.jobs)
        if step % 3 == 0 and self.running() < 60:
            self.machine._submit(fleetfakes.job(
                f"j{number}", *self.rng.choice(SMALL)))
        if step % 10 == 5 and step < 10 * CRASHING:
            self.machine._submit(fleetfakes.job(
                f"j{number + 1}", self.rng.choice(SMALL)[0],
                spec=test_fleet_machine.CRASHES))

    def running(self) -> int:
        """Return how many runs there are."""
        return sum(len(w.runs) for w in self.machine._alive())

    def crash_some(self) -> None:
        """Let a worker crash by itself, or a whole rack."""
        draw = self.rng.random()
        workers = self.machine._alive()
        victims = []
        if draw < 0.06:
            victims = [self.rng.choice(workers)]
        elif draw < 0.08:
            rack = self.rng.choice(workers).entry.rack()
            victims = [w for w in workers if w.entry.rack() == rack]
        for worker in victims:
            self.machine._end_worker(worker)
            self.machine.fleet.mark_unresponsive(
                worker.entry.worker_id, "closed")
        for worker in victims:
            crashes.worker_refuses(self.machine.fleet,
                                   worker.entry.worker_id)

    def end_some(self) -> None:
        """Let some runs end as done."""
        for worker in self.machine._alive():
            for key in list(worker.runs):
                step = self.machine._job(key[0]).steps[key[0].step]
                if not step.perpetual and not step.gang and (
                        self.rng.random() < 0.2):
                    worker.end(key, "done")
                    self.machine.done.add(key[0])
                    self.machine.listed_done[key[0]] = worker.entry.worker_id


@pytest.mark.parametrize("seed", range(6))
def test_days_of_crashes_fail_only_jobs_that_crash_their_workers(seed):
    """Guards against innocent jobs given up, and others started on and on."""
    day = CrashDay(seed)
    try:
        day.play()
        states = [state for state in day.machine.fleet.jobs.values()
                  if state.job.spec == test_fleet_machine.CRASHES]
        assert states and all(state.state == messages.JOB_FAILED
                              for state in states)
    finally:
        day.machine.teardown()
