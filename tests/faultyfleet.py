"""Seeded days of a simulated fleet: a phase with faults, then a calm one.

Each fault is a generator: it begins with its first step, takes one for as long
as its window lasts, and ends what it did when it is closed.
"""

import random
import typing

from sycamorefield.fleet import doubtfulruns
from sycamorefield.fleet import messages
from sycamorefield.fleet import records
from sycamorefield.fleet import waitingreasons
from tests import fleetfakes
from tests import linkedmachine
from tests import test_fleet_machine
from tests import test_fleet_restart_days

WORKERS = 6
FAULT_STEPS = 56
STEP_S = (0.1, 0.2, 0.3)
# No fault goes on, apart from one that the test asks for.
CALM_S = 15.0
CALM_STEP_S = 0.15
CALM_STEPS_PER_CHECK = 6
MAX_RUNS = 20
MAX_LONG_RUNNING_JOBS = 3
MAX_ATTEMPTS = 100
# The first step and the length of the window of a fault.
FIRST_STEPS = (4, 24)
WINDOW_STEPS = (6, 36)
SHORT_OUTAGE_S, LONG_OUTAGE_S = 1.5, 6.0
# A drained worker exits this long after its notice.
DRAIN_S = 2.6
RES = messages.Resources
JOB_SHAPES = (
    (messages.Step(3, RES(700, 10)),),
    (messages.Step(2, RES(2500, 10)),),
    (messages.Step(3, RES(500, 10)),
     messages.Step(2, RES(1500, 10), after=(0,))),
    (messages.Step(3, RES(900, 10), gang=True),),
    (messages.Step(2, RES(900, 10), gang=True),
     messages.Step(2, RES(600, 10), after=(0,), max_per_worker=1)),
    (messages.Step(3, RES(600, 10), max_per_worker=1),),
    (messages.Step(2, RES(900, 10), checkpoint=True),),
    (messages.Step(2, RES(800, 10), fills=True, image="fill"),),
)
LONG_RUNNING_SHAPES = (
    (messages.Step(2, RES(400, 10), perpetual=True),),
    (messages.Step(2, RES(400, 10), perpetual=True, max_per_worker=1),),
    (messages.Step(1, RES(500, 10), perpetual=True, fills=True,
                   image="fill"),),
    (messages.Step(2, RES(300, 10), perpetual=True, gang=True),),
)
CRASHING_SHAPES = (
    (messages.Step(1, RES(700, 10)),),
    (messages.Step(2, RES(500, 10), gang=True),),
    (messages.Step(1, RES(300, 10), perpetual=True),),
    (messages.Step(1, RES(500, 10), fills=True, image="fill"),),
)
QUEUES = (("checks", 0), ("checks", 0), ("renewals", 2))
Fault = typing.Callable[["FaultyDay"], typing.Iterator[None]]


class FaultyDay(test_fleet_restart_days.RestartSimulation):
    """A seeded run with some faults, and how it ends."""

    worker_count = WORKERS

    def __init__(self, faults: typing.Iterable[str], seed: int = 0,
                 changes_owner: bool = False,
                 keeps_silent_worker: bool = False) -> None:
        faults = tuple(faults)
        self.rng = random.Random(f"{faults} {seed} {changes_owner}")
        self.machine = self.make_machine()
        self.incomplete_since: dict[object, float] = {}
        for number in range(test_fleet_machine.WORKERS, self.worker_count):
            self.machine._new_worker(number)
        # How often an order meets each outcome, and a commit.
        self.order_outcomes: list[str] = ["answered"]
        self.commit_outcomes: list[str] = ["answered"]
        self.fail_share = 0.0
        self.is_partitioned = False
        self.partition_reached: list[str] = []
        self.keeps_silent_worker = keeps_silent_worker
        self.silent_worker = ""
        self.windows = []
        for name in faults:
            first = self.rng.randrange(*FIRST_STEPS)
            self.windows.append([first, min(
                FAULT_STEPS, first + self.rng.randrange(*WINDOW_STEPS)),
                self.faults_by_name()[name]])
        self.change_at = (self.rng.randrange(10, FAULT_STEPS)
                          if changes_owner else FAULT_STEPS + 1)
        self.silence_at = (self.rng.randrange(10, FAULT_STEPS)
                           if keeps_silent_worker else FAULT_STEPS + 1)

    def make_machine(self) -> linkedmachine.LinkedMachine:
        """Return the simulated fleet."""
        return linkedmachine.LinkedMachine()

    def faults_by_name(self) -> "dict[str, Fault]":
        """Return the faults that may be chosen."""
        return FAULTS

    # The day

    def run(self) -> None:
        """Run the faults, then the calm."""
        self.run_faults()
        self.end_losses()
        calm_until = self.machine.now + CALM_S
        while self.machine.now < calm_until:
            for _ in range(CALM_STEPS_PER_CHECK):
                self.calm_step(0.3)
            if not self.complaints():
                return
        # Let the last orders be answered without ends of further runs.
        for _ in range(CALM_STEPS_PER_CHECK):
            self.calm_step(0.0)

    def run_faults(self) -> None:
        """Run the windows of all faults."""
        active: list[tuple[int, typing.Iterator[None]]] = []
        for step in range(FAULT_STEPS):
            active += [(end, fault(self)) for first, end, fault
                       in self.windows if first == step]
            for end, fault in list(active):
                if step >= end or next(fault, OVER) is OVER:
                    fault.close()
                    active.remove((end, fault))
            if step == self.silence_at and not self.silent_worker:
                self.silence_for_good(self.pick().entry.worker_id)
            if step >= self.change_at and not self.machine.store_down:
                self.change_owner()
                self.change_at = FAULT_STEPS + 1
            self.submit_job(step)
            self.faulty_step()
        for _, fault in active:
            fault.close()

    def submit_job(self, step: int) -> None:
        """Submit a job while there is capacity for it."""
        machine = self.machine
        if step % 3 or machine.store_down:
            return
        waiting = sum(not state.long_running
                      for state in machine.fleet.active.values())
        if waiting < 6 and sum(
                len(w.runs) for w in machine._alive()) < MAX_RUNS:
            self.submit(self.rng.choice(JOB_SHAPES))
        if step % 9 == 0 and sum(
                job.steps[0].perpetual for job in machine.jobs
        ) < MAX_LONG_RUNNING_JOBS:
            self.submit(self.rng.choice(LONG_RUNNING_SHAPES))

    def submit(self, shape: tuple[messages.Step, ...], spec: str = "spec"
               ) -> None:
        """Submit a job of a shape."""
        queue, priority = self.rng.choice(QUEUES)
        self.machine._submit(fleetfakes.job(
            f"j{len(self.machine.jobs)}", *shape, spec=spec, queue=queue,
            priority=priority, max_attempts=MAX_ATTEMPTS))

    def faulty_step(self) -> None:
        """Exchange reports and orders, of which some get lost."""
        machine = self.machine
        self.ensure_owner()
        self.exchange_once(lambda: self.rng.random() < 0.97)
        if self.is_partitioned:
            with machine._as_partitioned_owner() as acts:
                if acts:
                    self.exchange_once(lambda: True)
        while machine.delayed_orders and self.rng.random() < 0.4:
            machine._execute_order(machine.delayed_orders.pop(
                self.rng.randrange(len(machine.delayed_orders))))
        if machine.store.delayed and self.rng.random() < 0.3:
            machine.store.deliver_late()
        self.finish_runs(0.12)
        self.fail_runs()
        self.break_gangs()
        machine.pass_time(self.rng.choice(STEP_S))
        machine.used_cpu_matches_reservations()

    def exchange_once(self, answered: typing.Callable[[], bool]) -> None:
        """Let the owner request reports, store, place and send orders."""
        machine = self.machine
        if machine.has_owner:
            machine.call_all(answered)
        if machine.has_owner:
            machine.store_progress(self.rng.choice(self.commit_outcomes))
        if machine.has_owner:
            machine._place()
            machine.take_orders()
            for _ in range(len(machine.orders_in_flight)):
                if machine.has_owner:
                    machine.order_arrives(self.rng.choice(
                        self.order_outcomes))

    def calm_step(self, share: float) -> None:
        """Let every call be answered; complete a share of the runs."""
        machine = self.machine
        self.ensure_owner()
        for sent_order in machine.delayed_orders:
            machine._execute_order(sent_order)
        machine.delayed_orders = []
        self.exchange_once(lambda: True)
        self.break_gangs()
        self.finish_runs(share)
        machine.pass_time(CALM_STEP_S)
        machine.used_cpu_matches_reservations()

    def ensure_owner(self) -> None:
        """Let a process take over if there is no owner."""
        if not self.machine.has_owner and not self.machine.store_down:
            self.take_over()

    def take_over(self) -> None:
        """Start the next term, on either process."""
        self.machine.list_fails = False
        self.machine._take_over(self.rng.randrange(2), "answered")

    def change_owner(self) -> None:
        """Let the other process take over; the owner's key is released."""
        machine = self.machine
        machine._step_down()
        machine.list_fails = False
        machine._take_over(
            1 - machine.processes.index(machine.process), "answered")

    def fail_runs(self) -> None:
        """Let a share of the runs fail."""
        for worker in self.machine._alive():
            for key in list(worker.runs):
                if self.rng.random() < self.fail_share:
                    worker.end(key, messages.FAILED)

    def silence_for_good(self, worker_id: str) -> None:
        """Cut one listed worker off from all processes."""
        self.silent_worker = worker_id
        self.cut_from(self.silent_worker, self.process_names())

    def end_losses(self) -> None:
        """Let all further calls be answered."""
        self.machine.store.deliver_late()
        self.order_outcomes = self.commit_outcomes = ["answered"]

    # Parts of faults

    def pick(self) -> test_fleet_machine.SimulatedWorker:
        """Return a worker that is running and not silent for good."""
        return self.rng.choice(self.candidates())

    def candidates(self) -> list[test_fleet_machine.SimulatedWorker]:
        """Return the workers that faults may choose."""
        return [w for w in self.machine._alive()
                if w.entry.worker_id != self.silent_worker
                and not w.entry.draining
                and w.entry.worker_id not in self.machine.down]

    def process_names(self) -> list[str]:
        """Return the names of all processes."""
        return [process.identity for process in self.machine.processes]

    def cut_from(self, worker_id: str, names: list[str]) -> None:
        """Let calls of some processes to a worker get no answer."""
        for name in names:
            self.machine.cut.setdefault(name, set()).add(worker_id)

    def reconnect(self, worker_id: str) -> None:
        """End the cut of a worker unless it is silent for good."""
        if worker_id != self.silent_worker:
            for workers in self.machine.cut.values():
                workers.discard(worker_id)

    # How the day ended

    def complaints(self) -> list[str]:
        """Return what is not as it must be after the calm."""
        return [*self.waiting_tasks(), *self.unfinished_jobs(),
                *self.doubtful_runs(), *self.wrong_totals(),
                *self.unusable_workers()]

    def waiting_tasks(self) -> typing.Iterator[str]:
        """Yield the ready tasks without a run, and why they wait."""
        fleet, now = self.machine.fleet, self.machine.now
        for state in fleet.active.values():
            for tasks in state.ready_tasks():
                reason = waitingreasons.step_reason(fleet, state, tasks, now)
                counts = waitingreasons.count_workers(
                    fleet, tasks[0], "desk", now)
                yield (f"{tasks[0].task} waits: {reason}; {counts}; "
                       f"{tasks[0].suspicion}")

    def unfinished_jobs(self) -> typing.Iterator[str]:
        """Yield the finite jobs that have not ended."""
        for state in self.machine.fleet.active.values():
            if not state.long_running:
                yield f"{state.job.job_id} has not ended: " + ", ".join(
                    f"{task.task} {task.phase}" for task in state.all_tasks()
                    if not task.done)

    def doubtful_runs(self) -> typing.Iterator[str]:
        """Yield the runs that nothing confirms."""
        fleet = self.machine.fleet
        for worker in fleet.workers.values():
            for run, phase in doubtfulruns._doubtful_on(worker):
                yield f"{run} on {worker.entry.worker_id} is {phase}"
        for state in fleet.active.values():
            for run, phase in doubtfulruns._without_worker(fleet, state):
                yield f"{run} without a worker is {phase}"

    def wrong_totals(self) -> typing.Iterator[str]:
        """Yield the workers whose use is not that of their runs."""
        machine = self.machine
        for worker_id, worker in machine.fleet.workers.items():
            if worker_id == self.silent_worker:
                continue
            actual = RES()
            for resources in machine.workers[worker_id].runs.values():
                actual = actual.plus(resources)
            if worker.used != actual:
                yield f"{worker_id} uses {actual}, known as {worker.used}"

    def unusable_workers(self) -> typing.Iterator[str]:
        """Yield the workers that run but count as unusable."""
        machine = self.machine
        fleet, now = machine.fleet, machine.now
        for worker in machine._alive():
            worker_id = worker.entry.worker_id
            if worker_id == self.silent_worker:
                continue
            known = fleet.workers.get(worker_id)
            if known is None:
                yield f"{worker_id} is not known"
            elif not known.usable(now) or worker_id in fleet.trials.by_worker:
                yield f"{worker_id} is not usable"


OVER = object()


def orders_meet(*outcomes: str) -> Fault:
    """Return a fault in which a third of the orders meet other outcomes."""
    def fault(day: FaultyDay) -> typing.Iterator[None]:
        day.order_outcomes = day.order_outcomes + list(outcomes)
        day.order_outcomes += ["answered"] * len(outcomes)
        yield from go_on()
    return fault


def commits_meet(*outcomes: str) -> Fault:
    """Return a fault in which half of the commits meet other outcomes."""
    def fault(day: FaultyDay) -> typing.Iterator[None]:
        day.commit_outcomes = day.commit_outcomes + list(outcomes)
        yield from go_on()
    return fault


def go_on() -> typing.Iterator[None]:
    """Go on until the window ends."""
    while True:
        yield


def crash_workers(day: FaultyDay) -> typing.Iterator[None]:
    """Let workers crash and return under other IDs."""
    while True:
        if day.rng.random() < 0.2:
            day.machine._end_worker(day.pick())
        yield


def restart_workers(day: FaultyDay) -> typing.Iterator[None]:
    """Let workers start again under their IDs."""
    while True:
        if day.rng.random() < 0.2:
            day.machine._end_worker(day.pick(), keeps_id=True)
        yield


def stop_workers(day: FaultyDay) -> typing.Iterator[None]:
    """Let workers be down for a while; then they return under their IDs."""
    try:
        while True:
            if day.rng.random() < 0.2 and len(day.candidates()) > 2:
                day.machine.stop_worker(day.pick())
            if day.rng.random() < 0.1:
                day.machine.start_stopped()
            yield
    finally:
        day.machine.start_stopped()


def move_workers(silently: bool) -> Fault:
    """Return a fault in which workers change their addresses."""
    def fault(day: FaultyDay) -> typing.Iterator[None]:
        while True:
            if day.rng.random() < 0.1:
                day.machine.move(day.pick(), silently)
            yield
    return fault


def cut_workers(day: FaultyDay, names: list[str], count: int
                ) -> typing.Iterator[None]:
    """Cut workers off from processes."""
    chosen = [w.entry.worker_id for w in day.rng.sample(
        day.candidates(), min(count, len(day.candidates())))]
    for worker_id in chosen:
        day.cut_from(worker_id, names)
    try:
        yield from go_on()
    finally:
        for worker_id in chosen:
            day.reconnect(worker_id)


def silence_worker(day: FaultyDay) -> typing.Iterator[None]:
    """Let a worker be silent to all processes."""
    yield from cut_workers(day, day.process_names(), 1)


def cut_from_owner(day: FaultyDay) -> typing.Iterator[None]:
    """Let workers be silent to the owner but not to the other process."""
    yield from cut_workers(day, [day.machine.process.identity], 2)


def cut_from_other(day: FaultyDay) -> typing.Iterator[None]:
    """Let workers be silent to the process that is not the owner."""
    yield from cut_workers(day, [
        name for name in day.process_names()
        if name != day.machine.process.identity], 2)


def drain_workers(day: FaultyDay) -> typing.Iterator[None]:
    """Let workers announce that they exit, and exit."""
    draining: list[tuple[float, test_fleet_machine.SimulatedWorker]] = []

    def leave(until: float) -> None:
        for at, worker in list(draining):
            if at <= until:
                draining.remove((at, worker))
                if worker in day.machine._alive():
                    day.machine._end_worker(worker)
    try:
        while True:
            if day.rng.random() < 0.1 and len(draining) < 2:
                worker = day.pick()
                day.machine.drain(worker)
                draining.append((day.machine.now + DRAIN_S, worker))
            leave(day.machine.now)
            yield
    finally:
        leave(float("inf"))


def change_capacities(day: FaultyDay) -> typing.Iterator[None]:
    """Let capacities shrink and grow; in the end all have grown."""
    try:
        while True:
            if day.rng.random() < 0.3:
                day.machine._change_capacity(
                    day.pick(), day.rng.choice((0, 1000, 2500, 4000)))
            yield
    finally:
        for worker in day.machine._alive():
            day.machine._change_capacity(worker, test_fleet_machine.CAPACITY)


def evacuate(day: FaultyDay) -> typing.Iterator[None]:
    """Evacuate a data centre and take that back."""
    day.machine.evacuated = frozenset({day.rng.choice(
        test_fleet_machine.DATA_CENTRES)})
    try:
        yield from go_on()
    finally:
        day.machine.evacuated = frozenset()


def store_fails(outage_s: float) -> Fault:
    """Return a fault in which the store is unreachable for so long."""
    def fault(day: FaultyDay) -> typing.Iterator[None]:
        machine = day.machine
        machine.store_down = machine.store.refuse = True
        until = machine.now + outage_s
        try:
            while machine.now < until:
                yield
        finally:
            machine.store_down = machine.store.refuse = False
    return fault


def change_owner(day: FaultyDay) -> typing.Iterator[None]:
    """Change the owner once or twice."""
    for _ in range(day.rng.choice((1, 2))):
        while day.machine.store_down:
            yield
        day.change_owner()
        for _ in range(day.rng.choice((3, 10, 30))):
            yield


def partition_owner(day: FaultyDay) -> typing.Iterator[None]:
    """Cut the owner off with some workers while another takes over."""
    machine = day.machine
    while machine.store_down or not machine.has_owner:
        yield
    isolated = machine.process.identity
    others = [n for n in day.process_names() if n != isolated]
    ids = [w.entry.worker_id for w in day.candidates()]
    day.rng.shuffle(ids)
    reached = ids[:day.rng.randrange(len(ids))]
    for worker_id in ids:
        day.cut_from(worker_id,
                     others if worker_id in reached else [isolated])
    machine.partitioned_term = {
        name: getattr(machine, name)
        for name in test_fleet_machine.TERM_ATTRIBUTES}
    machine.partitioned_term["store_down"] = True
    machine.has_owner = False
    machine.orders_in_flight, machine.commit = [], None
    # The successor claims the key once the lease of the owner has expired.
    with machine._as_partitioned_owner():
        lease_renewed_at = machine.lease_renewed_at
    try:
        machine.now = max(machine.now, lease_renewed_at + 2.0)
        machine._take_over(
            1 - machine.processes.index(machine.process), "answered")
        day.is_partitioned = True
        yield from go_on()
    finally:
        day.is_partitioned = False
        machine.partitioned_term = {}
        for worker_id in ids:
            day.reconnect(worker_id)


def fail_list(day: FaultyDay) -> typing.Iterator[None]:
    """Let reads of the worker list fail."""
    try:
        while True:
            day.machine.list_fails = True
            yield
    finally:
        day.machine.list_fails = False


def submit_crashing_tasks(day: FaultyDay) -> typing.Iterator[None]:
    """Submit jobs whose tasks crash every worker that starts them."""
    for _ in range(2):
        while day.machine.store_down:
            yield
        day.submit(day.rng.choice(CRASHING_SHAPES),
                   test_fleet_machine.CRASHING_SPEC)
        for _ in range(4):
            yield


def change_owner_in_quarantines(day: FaultyDay) -> typing.Iterator[None]:
    """Change the owner when the next can't reach quarantined workers."""
    machine = day.machine
    crashing = submit_crashing_tasks(day)
    chosen: list[str] = []
    try:
        while True:
            next(crashing, None)
            quarantined = [
                worker_id for worker_id in machine.fleet.trials.by_worker
                if worker_id in machine.workers
                and worker_id != day.silent_worker]
            if quarantined and not machine.store_down and (
                    machine.has_owner and not chosen):
                machine.store_progress("answered")
                chosen = quarantined
                for worker_id in chosen:
                    day.cut_from(worker_id, [
                        name for name in day.process_names()
                        if name != machine.process.identity])
                if day.keeps_silent_worker and not day.silent_worker:
                    day.silence_for_good(chosen[0])
                day.change_owner()
            yield
    finally:
        for worker_id in chosen:
            day.reconnect(worker_id)


def cancel_jobs(day: FaultyDay) -> typing.Iterator[None]:
    """Cancel jobs."""
    machine = day.machine
    while True:
        if (day.rng.random() < 0.2 and machine.jobs and machine.has_owner
                and not machine.store_down):
            job = day.rng.choice(machine.jobs)
            machine._store_key(records.cancel_key(job.job_id), b"1")
            machine.fleet.cancel(job.job_id)
        yield


def fail_runs(day: FaultyDay) -> typing.Iterator[None]:
    """Let runs fail."""
    day.fail_share = 0.1
    try:
        yield from go_on()
    finally:
        day.fail_share = 0.0


FAULTS: dict[str, Fault] = {
    "orders lost": orders_meet("lost"),
    "answers lost": orders_meet("answer lost"),
    "orders late": orders_meet("late"),
    "workers crash": crash_workers,
    "workers restart": restart_workers,
    "workers down": stop_workers,
    "workers move": move_workers(silently=False),
    "workers move silently": move_workers(silently=True),
    "worker silent": silence_worker,
    "cut from owner": cut_from_owner,
    "cut from other": cut_from_other,
    "workers drain": drain_workers,
    "capacities change": change_capacities,
    "evacuation": evacuate,
    "short store outage": store_fails(SHORT_OUTAGE_S),
    "long store outage": store_fails(LONG_OUTAGE_S),
    "commits lost": commits_meet("lost", "answer lost"),
    "commits late": commits_meet("late"),
    "owner changes": change_owner,
    "owner partitioned": partition_owner,
    "list fails": fail_list,
    "tasks crash workers": submit_crashing_tasks,
    "owner changes in quarantines": change_owner_in_quarantines,
    "runs fail": fail_runs,
    "jobs cancelled": cancel_jobs,
}
