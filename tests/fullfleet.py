"""Seeded days of a simulated fleet of which most capacity is reserved.

It extends faultyfleet.FaultyDay by long-running jobs that reserve a share of
the CPU, finite jobs of two priorities that keep arriving, runs with a duration
and workers on which they are slow.  What must run is judged by what began on
the simulated workers, not by what the owner knows.
"""

import typing

from sycamorefield.fleet import messages
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import victims
from tests import faultyfleet
from tests import linkedmachine
from tests import test_fleet_machine

WORKERS = 10
# Time in which long-running jobs start before the faults begin.
WARM_UP_S = 6.0
# How long the fleet has observed no finite tasks before: it keeps no CPU for
# them, so long-running jobs can reserve most of it.
OBSERVED_BEFORE_S = 600.0
STEP_S = 0.15
# Calm with finite jobs that arrive, and then without.
BUSY_CALM_S, IDLE_CALM_S = 15.0, 15.0
# Waits are judged from this time after the last fault on.
SETTLE_S = 7.0
# How long a task may wait while a worker has the capacity for it.
MAX_LONG_RUNNING_WAIT_S = 6.0
MAX_FINITE_WAIT_S = 3.0
# A worker gets runs only some time after its start.
MIN_WORKER_AGE_S = 3.0
SLOW_FACTOR = 6.0
MAX_WAITING_JOBS = 8
STOP_COSTS = victims.StopCosts(2.0, 0.3, 0.3)
RES = messages.Resources
JOB_SHAPES = (
    (messages.Step(4, RES(300, 10), 600),),
    (messages.Step(6, RES(500, 10), 900),),
    (messages.Step(1, RES(2600, 10), 900),),
    (messages.Step(2, RES(1500, 10), 600),
     messages.Step(3, RES(400, 10), 400, after=(0,))),
    (messages.Step(3, RES(400, 10), 800, gang=True),),
    (messages.Step(3, RES(400, 10), 600, max_per_worker=1),),
    (messages.Step(2, RES(400, 10), 600, requires="r1"),),
    (messages.Step(4, RES(300, 10), 900, speculative=True),),
)
BATCH_SHAPES = (
    (messages.Step(3, RES(900, 10), 5000, checkpoint=True),),
    (messages.Step(2, RES(1600, 10), 4000, checkpoint=True),),
    (messages.Step(4, RES(500, 10), 3000),),
)
LONG_RUNNING_SHAPES = (
    (messages.Step(4, RES(500, 10), perpetual=True),),
    (messages.Step(3, RES(900, 10), perpetual=True, max_per_worker=1),),
    (messages.Step(2, RES(1600, 10), perpetual=True),),
    (messages.Step(2, RES(500, 10), perpetual=True, requires="r1"),),
    (messages.Step(3, RES(700, 10), perpetual=True, may_miss=1),),
    (messages.Step(2, RES(400, 10), perpetual=True, gang=True),),
)
RunKey = tuple[messages.TaskId, int]


class FullMachine(linkedmachine.LinkedMachine):
    """Simulate an owner with stop costs; record what workers began."""

    def __init__(self, policy: policy_mod.Policy) -> None:
        self.policy = policy
        # Each run that a worker has begun, and when.
        self.begun_at: dict[RunKey, float] = {}
        self.begun_tasks: set[messages.TaskId] = set()
        self.slow_workers: set[str] = set()
        self.learned: dict[str, typing.Any] = {}
        super().__init__()

    def _new_fleet(self, fence: int) -> state_mod.FleetState:
        fleet = state_mod.FleetState(
            fence, test_fleet_machine.HOLD_MAX_MS, self._send,
            self._configuration, self.policy, STOP_COSTS)
        previous = getattr(self, "fleet", None)
        if previous is None:
            fleet.demand.start_observing(self.now - OBSERVED_BEFORE_S)
            return fleet
        # The successor of an owner knows what that has learned.
        fleet.run_times.decode(previous.run_times.encode())
        fleet.demand.decode(previous.demand.encode(self.now), self.now)
        fleet.worker_speeds.decode(
            previous.worker_speeds.encode(self.now), self.now)
        return fleet

    def _send(self, worker_id: str, order: state_mod.Order) -> None:
        if isinstance(order, messages.StartOrder):
            self._note_copy(order)
        super()._send(worker_id, order)

    def _start(self, worker: test_fleet_machine.SimulatedWorker, key: RunKey,
               sent_order: test_fleet_machine.SentOrder) -> str:
        known = key in worker.runs
        reason = super()._start(worker, key, sent_order)
        if not known and not reason:
            self.begun_at[key] = self.now
            self.begun_tasks.add(key[0])
            if key in self.copy_runs:
                # The copy was ordered before the report of the end arrived.
                self.restarted_after_end.discard(key[0])
        return reason

    def run_s(self, worker: test_fleet_machine.SimulatedWorker,
              key: RunKey) -> float:
        """Return how long a run takes on a worker."""
        step = self._job(key[0]).steps[key[0].step]
        spread = 0.7 + 0.6 * (hash(key[0].number * 7 + key[1]) % 10) / 10.0
        factor = (SLOW_FACTOR if worker.entry.worker_id in self.slow_workers
                  else 1.0)
        return max(300, step.estimate_ms) / 1000.0 * spread * factor

    def _percent(self, worker: test_fleet_machine.SimulatedWorker,
                 key: RunKey) -> int:
        if self._is_long_running(key[0]):
            return 0
        elapsed_s = self.now - self.begun_at[key]
        return min(99, int(100.0 * elapsed_s / self.run_s(worker, key)))

    def free(self, worker: test_fleet_machine.SimulatedWorker
             ) -> messages.Resources:
        """Return what no run on a simulated worker reserves."""
        free = worker.entry.capacity
        for resources in worker.runs.values():
            free = free.minus(resources)
        return free


class FullDay(faultyfleet.FaultyDay):
    """A seeded day on which long-running jobs reserve a share of the CPU."""

    worker_count = WORKERS

    def __init__(self, faults: typing.Iterable[str], share: float,
                 seed: int = 0, changes_owner: bool = False,
                 policy: policy_mod.Policy = policy_mod.Policy(),
                 stays_slow: bool = False) -> None:
        self.policy = policy
        self.share = share
        self.stays_slow = stays_slow
        super().__init__(faults, seed, changes_owner)
        self.rng.seed(f"{tuple(faults)} {seed} {share} {changes_owner}")
        # The tasks that a worker has the capacity for, and since when.
        self.waiting_since: dict[messages.TaskId, float] = {}
        self.judged: dict[messages.TaskId, str] = {}
        self.has_arrivals = True

    def make_machine(self) -> FullMachine:
        return FullMachine(self.policy)

    def faults_by_name(self) -> dict[str, faultyfleet.Fault]:
        return FAULTS

    # The day

    def run(self) -> None:
        self.warm_up()
        self.run_faults()
        self.end_losses()
        machine = self.machine
        calm_since = machine.now
        while machine.now < calm_since + BUSY_CALM_S + IDLE_CALM_S:
            if machine.now < calm_since + BUSY_CALM_S:
                self.submit_job(0)
            self.calm_step(0.0)
            if machine.now > calm_since + SETTLE_S:
                self.judge()

    def warm_up(self) -> None:
        """Fill a share of the CPU with long-running jobs."""
        machine = self.machine
        capacity = self.worker_count * test_fleet_machine.CAPACITY
        submitted = 0
        while submitted < self.share * capacity:
            shape = self.rng.choice(LONG_RUNNING_SHAPES)
            submitted += sum(s.count * s.room.cpu for s in shape)
            self.submit(shape)
        until = machine.now + WARM_UP_S
        while machine.now < until:
            self.calm_step(0.0)
        if self.stays_slow:
            machine.slow_workers.add(self.pick().entry.worker_id)

    def submit_job(self, step: int) -> None:
        machine = self.machine
        if machine.store_down or not machine.has_owner:
            return
        waiting = sum(not state.long_running
                      for state in machine.fleet.active.values())
        if waiting < MAX_WAITING_JOBS:
            self.submit(self.rng.choice(
                JOB_SHAPES if self.rng.random() < 0.7 else BATCH_SHAPES))

    def finish_runs(self, share: float) -> None:
        """Complete the runs whose time is over."""
        machine = self.machine
        for worker in machine._alive():
            for key in list(worker.runs):
                step = machine._job(key[0]).steps[key[0].step]
                if (key not in worker.runs or step.perpetual
                        or machine.now - machine.begun_at[key]
                        < machine.run_s(worker, key)):
                    continue
                members = self.members(key) if step.gang else [(worker, key)]
                if not step.gang or len(members) == step.count:
                    for member, member_key in members:
                        self.complete(member, member_key)

    def complete(self, worker: test_fleet_machine.SimulatedWorker,
                 key: RunKey) -> None:
        super().complete(worker, key)
        self.machine.done_at[key[0]] = self.machine.now

    # What must run

    def judge(self) -> None:
        """Note the tasks that have waited too long beside free capacity."""
        found = {}
        for task, limit_s in self.waiting_beside_capacity():
            since = self.waiting_since.get(task, self.machine.now)
            found[task] = since
            if (self.machine.now - since >= limit_s
                    and task not in self.judged):
                self.judged[task] = self.describe(task)
        self.waiting_since = found

    def waiting_beside_capacity(self) -> typing.Iterator[
            tuple[messages.TaskId, float]]:
        """Yield tasks without a run that fit, and how long they may wait."""
        machine = self.machine
        running = {key[0] for w in machine._alive() for key in w.runs}
        for state in machine.fleet.active.values():
            if state.job.spec == test_fleet_machine.CRASHING_SPEC:
                continue
            for tasks in state.ready_tasks():
                step = tasks[0].step
                if step.fills or step.gang:
                    continue
                for task in tasks:
                    if task.task in running:
                        continue
                    if step.perpetual:
                        if (task.task in machine.begun_tasks
                                and self.has_capacity(task.task, step)):
                            yield task.task, MAX_LONG_RUNNING_WAIT_S
                    elif self.has_capacity(task.task, step):
                        yield task.task, MAX_FINITE_WAIT_S

    def has_capacity(self, task: messages.TaskId, step: messages.Step
                     ) -> bool:
        """Return whether a worker could run a task.

        It must have the capacity twice over, and for a finite task under half
        of its CPU reserved.
        """
        machine = self.machine
        twice = step.reserved().plus(step.reserved())
        for worker in machine._alive():
            free = machine.free(worker)
            if (machine.now - worker.born_at < MIN_WORKER_AGE_S
                    or worker.entry.draining
                    or worker.entry.data_centre in machine.evacuated
                    or (step.requires
                        and step.requires not in worker.entry.labels)
                    or not free.holds(twice)
                    or not (step.perpetual
                            or 2 * free.cpu > worker.entry.capacity.cpu)):
                continue
            runs = sum(1 for other, _ in worker.runs
                       if other.step_id() == task.step_id())
            if not step.max_per_worker or runs < step.max_per_worker:
                return True
        return False

    def describe(self, task: messages.TaskId) -> str:
        """Return what the owner knows of a task that waits."""
        return f"{task} has a worker and waits: " + " / ".join(
            line for line in self.waiting_tasks()
            if line.startswith(f"{task} "))

    def complaints(self) -> list[str]:
        return [*self.judged.values(), *self.doubtful_runs()]


def slow_workers(day: faultyfleet.FaultyDay) -> typing.Iterator[None]:
    """Let runs on two workers take several times as long."""
    machine = day.machine
    assert isinstance(machine, FullMachine)
    for worker in day.rng.sample(day.candidates(), 2):
        machine.slow_workers.add(worker.entry.worker_id)
    try:
        yield from faultyfleet.go_on()
    finally:
        machine.slow_workers.clear()


def lose_data_centre(day: faultyfleet.FaultyDay) -> typing.Iterator[None]:
    """Let all workers of a data centre crash at the same time."""
    for _ in range(day.rng.randrange(1, 4)):
        yield
    data_centre = day.rng.choice(test_fleet_machine.DATA_CENTRES)
    keeps_id = day.rng.random() < 0.5
    for worker in day.machine._alive():
        if worker.entry.data_centre == data_centre:
            day.machine._end_worker(worker, keeps_id)
    yield


def lose_unstored_starts(day: faultyfleet.FaultyDay
                         ) -> typing.Iterator[None]:
    """Lose the owner and workers before starts on them are stored."""
    machine = day.machine
    while machine.store_down:
        yield
    earlier = day.commit_outcomes
    day.commit_outcomes = ["lost"]
    # New long-running tasks start meanwhile.
    day.submit(day.rng.choice(LONG_RUNNING_SHAPES))
    try:
        for _ in range(6):
            yield
    finally:
        day.commit_outcomes = earlier
    for worker in day.rng.sample(day.candidates(), 3):
        machine._end_worker(worker, day.rng.random() < 0.5)
    if not machine.store_down:
        day.change_owner()
    yield


FAULTS: dict[str, faultyfleet.Fault] = faultyfleet.FAULTS | {
    "workers slow": slow_workers,
    "data centre lost": lose_data_centre,
    "unstored starts lost": lose_unstored_starts,
}
