"""Test the owner's decisions under random faults with a state machine.

Time, workers and the store are simulated.  Orders and their answers are lost
or delayed; workers crash, become unresponsive or lose their leases, and start
again under another ID or their own; some tasks crash every worker that starts
them; capacities shrink and grow; data centres are evacuated, or all workers of
one crash; the store is unreachable for longer than an owner continues without
it.  Runs of speculative tasks get copies.  Owners change: any process may run
the next term, including the one that ran the last, and an owner behind a
network partition may continue beside its successor.  The checks are made on
what the workers observe.
"""

import contextlib
import dataclasses
import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from sycamorefield.fleet import answers
from sycamorefield.fleet import clock
from sycamorefield.fleet import controlwatcher
from sycamorefield.fleet import copies
from sycamorefield.fleet import crashes
from sycamorefield.fleet import handoverrecord
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import jobwrites
from sycamorefield.fleet import messages
from sycamorefield.fleet import owner as owner_mod
from sycamorefield.fleet import ownership as ownership_mod
from sycamorefield.fleet import progress
from sycamorefield.fleet import recordedends
from sycamorefield.fleet import recorder as recorder_mod
from sycamorefield.fleet import records
from sycamorefield.fleet import recovery
from sycamorefield.fleet import reports
from sycamorefield.fleet import rounds
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import workerstate
from tests import fleetfakes

WORKERS = 3
DATA_CENTRES = ("east", "west")
PROCESSES = 2
CAPACITY = 4000
HOLD_MAX_MS = 6000.0
CPU_CAPACITIES = (2000, 3000, CAPACITY)
# A reduced capacity binds the owner's starts after this time.
SHRUNK_CAPACITY_DELAY_S = 4.1
# The spec of jobs whose tasks crash every worker that starts them.
CRASHING_SPEC = "crashes its workers"
# A task that has crashed MAX_CRASHES workers may be started MAX_EXTRA_STARTS
# more times.
MAX_CRASHES = 3
MAX_EXTRA_STARTS = 2
# For events that would end most tasks if they were as frequent as others.
RARELY = strategies.sampled_from([False, False, False, False, True])
# How long a partition lasts: longer than the leases of the earlier owner.
PARTITION_S = 14
# The attributes of the machine that belong to one term of an owner.
TERM_ATTRIBUTES = (
    "fleet", "recorder", "process", "has_owner", "lease_renewed_at",
    "store_down", "commit", "orders_in_flight", "ends")
# After this time a worker that has started again has updated its entry.
ENTRY_DELAY_S = 0.2
# What the clock of a worker that starts again is ahead of its former one.
CLOCK_SHIFTS_MS = (-50_000.0, 0.0, 50_000.0)
# The outcomes of a call to the store.
CALL_OUTCOMES = strategies.sampled_from(
    ["answered", "answered", "answer lost", "lost", "late"])
STEPS = (
    (messages.Step(2, messages.Resources(2500, 10)),),
    (messages.Step(3, messages.Resources(1500, 10)),
     messages.Step(1, messages.Resources(3000, 10), after=(0,))),
    (messages.Step(2, messages.Resources(2000, 10), gang=True),),
    (messages.Step(2, messages.Resources(2000, 10), perpetual=True),),
    (messages.Step(2, messages.Resources(1000, 10), checkpoint=True),),
)
SPECULATIVE_STEPS = (
    messages.Step(2, messages.Resources(400, 10), speculative=True,
                  estimate_ms=300),
    messages.Step(1, messages.Resources(400, 10), after=(0,),
                  speculative=True, estimate_ms=300))


@dataclasses.dataclass
class SentOrder:
    """An order in flight, with the fence and lease that it carries."""

    worker_id: str
    order: state_mod.Order
    fence: int
    lease_until_ms: float
    # When a worker link sent it.
    at: float = 0.0


@dataclasses.dataclass
class PendingCommit:
    """Hold a commit of unknown outcome, and the ends of runs it stores."""

    values: list[jobwrites.PendingWrite]
    stored_ends: dict[str, recordedends.LifeEnds]


class SimulatedWorker:
    """Execute fenced orders; kill all runs when the lease expires."""

    def __init__(self, entry: messages.WorkerEntry, born_at: float = 0.0,
                 clock_shift_ms: float = 0.0) -> None:
        self.entry = entry
        self.born_at = born_at
        # The entry on the list: for a while that of the life before.
        self.listed_entry = entry
        self.clock_shift_ms = clock_shift_ms
        self.alive = True
        # Pairs of a start time and the capacity from then on, in millicores.
        self.capacity_history = [(-100.0, entry.capacity.cpu)]
        self.fence = 0
        self.lease_end_ms = 0.0
        self.runs: dict[tuple[messages.TaskId, int], messages.Resources] = {}
        self.last_ended_run: dict[messages.TaskId, int] = {}
        self.ended: list[messages.EndedTask] = []
        self.last_end_number = 0

    def clock_ms(self, now: float) -> float:
        """Return the worker's clock at a time."""
        return now * 1000.0 + self.clock_shift_ms

    def extend_lease(self, until_ms: float, now: float) -> None:
        """Extend the lease of all runs, to the longest lease at most."""
        self.lease_end_ms = max(self.lease_end_ms, min(
            until_ms, self.clock_ms(now) + HOLD_MAX_MS))

    def max_cpu_since(self, at: float) -> int:
        """Return the largest capacity since a time, in millicores."""
        last = max(since for since, _ in self.capacity_history if since <= at)
        return max(cpu for since, cpu in self.capacity_history
                   if since >= last)

    def end(self, key: tuple[messages.TaskId, int], how: str) -> None:
        """End one run."""
        del self.runs[key]
        task, run = key
        self.last_ended_run[task] = max(self.last_ended_run.get(task, 0), run)
        self.last_end_number += 1
        self.ended.append(messages.EndedTask(self.last_end_number, task, run,
                                             how, "saved"))


class FleetMachine(stateful.RuleBasedStateMachine):
    """Drive one fleet through random events."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.clock_now = clock.now
        clock.now = lambda: self.now
        # Per task: crashes of its workers, starts beyond MAX_CRASHES, and
        # crashes that no owner can know of, because the owner changed before
        # it detected them.  undetected_crashes maps workers to tasks.
        self.crash_counts: dict[messages.TaskId, int] = {}
        self.extra_starts: dict[messages.TaskId, int] = {}
        self.undetected_crashes: dict[str, messages.TaskId] = {}
        self.undetectable_crashes: dict[messages.TaskId, int] = {}
        self.incarnation = 0
        self.evacuated: frozenset[str] = frozenset()
        self.workers: dict[str, SimulatedWorker] = {}
        self.jobs: list[messages.Job] = []
        self.orders_in_flight: list[SentOrder] = []
        # What each worker link knows of stored ends.
        self.ends: dict[str, recordedends.RecordedEnds] = {}
        self.delayed_orders: list[SentOrder] = []
        # Tasks that are done; those of them whose end was acknowledged to the
        # worker; and those whose worker reports the end and kept its lease.
        self.done: set[messages.TaskId] = set()
        self.done_at: dict[messages.TaskId, float] = {}
        self.acknowledged_done: set[messages.TaskId] = set()
        # When the end of a task was first acknowledged, and the runs that an
        # owner ordered as copies.
        self.acknowledged_at: dict[messages.TaskId, float] = {}
        self.copy_runs: set[tuple[messages.TaskId, int]] = set()
        self.reported_done: dict[messages.TaskId, str] = {}
        self.restarted_after_end: set[messages.TaskId] = set()
        self.store = fleetfakes.MemoryStore()
        self.processes = [self._process(f"p{n}") for n in range(PROCESSES)]
        # Whether an owner is sending orders, and the process that runs it.
        self.has_owner = False
        self.process = self.processes[0]
        self.lease_renewed_at = self.now
        self.store_down = False
        self.commit: PendingCommit | None = None
        # The term of an owner behind a partition that may still act.
        self.partitioned_term: dict[str, typing.Any] = {}
        for address_number in range(WORKERS):
            self._new_worker(address_number)
        self._take_over(0, "answered")
        self.report_store_and_place()
        self.submit(STEPS[1])

    def teardown(self) -> None:
        """Restore the clock."""
        clock.now = self.clock_now

    # The environment of the owner

    def _new_worker(self, address_number: int) -> SimulatedWorker:
        self.incarnation += 1
        entry = dataclasses.replace(
            fleetfakes.entry(address_number, cpu=CAPACITY),
            data_centre=DATA_CENTRES[address_number % len(DATA_CENTRES)],
            worker_id=f"i-{self.incarnation}", born_ms=self._birth())
        worker = SimulatedWorker(entry)
        self.workers[entry.worker_id] = worker
        return worker

    def _birth(self) -> int:
        """Return a birth that differs from all others, later or earlier.

        The time of day of a worker may be set back before it starts again.
        """
        return 10_000 + (-1) ** self.incarnation * self.incarnation

    def _restart_under_its_id(self, worker: SimulatedWorker) -> None:
        """Start a worker again; its entry is of the life before for now."""
        self.incarnation += 1
        worker_id = worker.entry.worker_id
        new = SimulatedWorker(
            dataclasses.replace(worker.entry, born_ms=self._birth()),
            self.now,
            CLOCK_SHIFTS_MS[self.incarnation % len(CLOCK_SHIFTS_MS)])
        new.listed_entry = worker.listed_entry
        new.capacity_history = worker.capacity_history
        self.workers[worker_id] = new
        # Orders that a worker has received and held back end with its life.
        self.delayed_orders = [sent_order for sent_order in self.delayed_orders
                               if sent_order.worker_id != worker_id]

    def _configuration(self) -> messages.Configuration:
        return dataclasses.replace(fleetfakes.configuration(),
                                   evacuated=self.evacuated)

    def _alive(self) -> list[SimulatedWorker]:
        return [w for w in self.workers.values() if w.alive]

    def _process(self, name: str) -> ownership_mod.Ownership:
        watcher = controlwatcher.ControlWatcher(
            self.store, "op/c", lambda _: fleetfakes.configuration())
        watcher.owner_known = True
        return ownership_mod.Ownership(self.store, watcher, name,
                                       self._no_owner)

    @staticmethod
    def _no_owner(fence: int) -> owner_mod.Owner:
        raise AssertionError("the state machine creates the owners")

    def _step_down(self, *_: str) -> None:
        """Send no more orders; those in flight may be executed late."""
        if not self.has_owner:
            return
        self.has_owner = False
        self.commit = None
        for sent_order in self.orders_in_flight:
            if isinstance(sent_order.order, messages.StartOrder):
                sent_order.at = self.now
                sent_order.lease_until_ms = self._grant_lease(
                    sent_order.worker_id, sent_order.order.task) or 0.0
        self.delayed_orders += self.orders_in_flight
        self.orders_in_flight = []

    def _swap_terms(self) -> None:
        now = {name: getattr(self, name) for name in TERM_ATTRIBUTES}
        for name, value in self.partitioned_term.items():
            setattr(self, name, value)
        self.partitioned_term = now

    @contextlib.contextmanager
    def _as_partitioned_owner(self) -> typing.Iterator[bool]:
        """Act as the owner behind a partition.

        Yields whether that owner is still sending orders.
        """
        if not self.partitioned_term:
            yield False
            return
        self._swap_terms()
        try:
            yield self.has_owner
        finally:
            self._swap_terms()

    def _claim(self, process: ownership_mod.Ownership,
               call_outcome: str) -> int:
        """Let a process claim the fleet; return the fence."""
        owner = self.store.items.get(records.OWNER_KEY)
        if owner is not None and owner.value != process.identity:
            # Another process can claim the key only once its lease expires.
            for lease, keys in list(self.store.leases.items()):
                if records.OWNER_KEY in keys:
                    self.store.end_lease(lease)
        self._set_commit_outcome(call_outcome)
        fence = 0
        while not fence:
            process.watcher.owner_item = self.store.items.get(
                records.OWNER_KEY)
            try:
                fence = process._claim()
            except interfaces.CallFailed:
                continue
        for observer in self.processes:
            observer.watcher.owner_changes.add_seen(fence, self.now)
        return fence

    def _set_commit_outcome(self, call_outcome: str) -> None:
        """Choose the outcome of the next commit."""
        self.store.lose_answers = int(call_outcome == "answer lost")
        self.store.lose_calls = int(call_outcome == "lost")
        self.store.keep_late = int(call_outcome == "late")

    def _take_over(self, process_index: int, call_outcome: str) -> None:
        self._step_down()
        for task in self.undetected_crashes.values():
            self.undetectable_crashes[task] = self.undetectable_crashes.get(
                task, 0) + 1
        fence = self._claim(self.processes[process_index], call_outcome)
        self.process = self.processes[process_index]
        self.has_owner = True
        self.ends = {}
        self.fleet = self._new_fleet(fence)
        self.fleet.terms.load(self.store.items.get(records.TERMS_KEY))
        self._renew_owner_lease()
        self.recorder = recorder_mod.Recorder(
            self.store, self.fleet, records.OWNER_KEY, lambda: True,
            self._step_down, lambda _: None)
        # Makes each call of the recorder a single attempt.
        self.recorder.stopped.set()
        if records.TERMS_KEY in self.store.items:
            self.recorder.revisions[records.TERMS_KEY] = (
                self.store.items[records.TERMS_KEY].revision)
        for job in self.jobs:
            item = self.store.items.get(records.job_key(job.job_id))
            if item is None:
                assert records.final_key(job.job_id) in self.store.items
                continue
            self._read_progress(self._add_job(job, item.created_revision))
        for item in self.store.listing(records.JOB_PREFIX).items:
            if item.key.endswith(records.CANCEL_SUFFIX):
                self.fleet.cancel(item.key[len(records.JOB_PREFIX):
                                           -len(records.CANCEL_SUFFIX)])
        self._load_silent_workers()
        handoverrecord.load(self.fleet, self.process.handover_item)
        self._expect_workers()

    def _new_fleet(self, fence: int) -> state_mod.FleetState:
        return state_mod.FleetState(
            fence, HOLD_MAX_MS, self._send, self._configuration)

    def _add_job(self, job: messages.Job,
                 created_revision: int) -> progress.JobState:
        state = self.fleet.add_job(job, created_revision)
        state.known_at = self.now
        return state

    def _renew_owner_lease(self) -> None:
        self.lease_renewed_at = self.now
        self.fleet.owner_lease_until = self.now + owner_mod.OWNER_LEASE_S

    def _read_progress(self, state: progress.JobState) -> None:
        item = self.store.items.get(
            records.progress_key(state.job.job_id))
        if item is None:
            return
        state.state_revision = item.revision
        progress.apply_progress(state, item.value)
        if state.final():
            self.fleet.deactivate_job(state)
        else:
            self.fleet.trials.restore(state, self.now)
            self.fleet.update_job_state(state)

    def _expect_workers(self) -> None:
        stored_addresses: dict[str, str] = {}
        item = self.store.items.get(records.WORKERS_KEY)
        if item is not None:
            stored_addresses = records.decode_mapping(item.value)
            self.recorder.revisions[records.WORKERS_KEY] = item.revision
            self.recorder.stored_addresses = stored_addresses
        self.fleet.await_workers(
            stored_addresses, self.now + recovery.MAX_STORE_OUTAGE_S
            + workerstate.LEASE_EXPIRY_S)
        self._read_worker_list()
        self.fleet.enrol(stored_addresses)

    def _load_silent_workers(self) -> None:
        silent_workers = self.fleet.silent_workers
        silent_workers.claim_sent_at = self.process.lease_requested_at
        silent_workers.claim_seen_at = (
            self.process.watcher.owner_changes.seen_at)
        item = self.store.items.get(records.SILENT_WORKERS_KEY)
        if item is not None:
            self.recorder.revisions[records.SILENT_WORKERS_KEY] = item.revision
        self.fleet.silent_workers.load(item)

    def _read_worker_list(self) -> None:
        """Read the list of workers; crashed ones stay listed for a while."""
        entries = [w.listed_entry for w in self.workers.values()
                   if w.alive or w.entry.worker_id in self.undetected_crashes]
        for entry in entries:
            self.fleet.add_worker(entry)
        self.fleet.update_listed({e.worker_id for e in entries}, self.now)

    def _send(self, worker_id: str, order: state_mod.Order) -> None:
        if isinstance(order, messages.StartOrder):
            self._note_copy(order)
        self.orders_in_flight.append(
            SentOrder(worker_id, order, self.fleet.fence, 0.0))

    def _note_copy(self, order: messages.StartOrder) -> None:
        """Note an order for a copy; its task must run and not be done."""
        found = self.fleet.find(order.task)
        assert found is not None
        job, task = found
        if task.copy is None:
            return
        assert not (task.done or job.final() or task.phase == progress.IDLE)
        assert task.copy.run == order.run != task.run
        assert task.copy.worker_id != task.worker_id
        self.copy_runs.add((order.task, order.run))

    def _may_lease(self) -> bool:
        return (self.now - self.lease_renewed_at <= owner_mod.OWNER_LEASE_S
                or self.fleet.has_quorum(self.now))

    def _grant_lease(self, worker_id: str,
                     started: messages.TaskId | None = None) -> float | None:
        state = self.fleet.workers.get(worker_id)
        if (state is None or state.unresponsive or not self._may_lease()
                or self.fleet.silent_workers.is_recorded(worker_id)):
            return None
        longest_ms = (workerstate.LEASE_MS if started is None
                      else copies.start_lease_ms(self.fleet, started))
        return state.grant_lease(
            min(longest_ms, state.longest_lease_ms()), self.now)

    # Checks made by the workers

    def _execute_order(self, sent_order: SentOrder) -> str:
        """Execute an order; return the reason for a refusal, or nothing."""
        worker = self.workers[sent_order.worker_id]
        if not worker.alive:
            return "gone"
        if sent_order.fence < worker.fence:
            return interfaces.FENCED
        worker.fence = sent_order.fence
        order = sent_order.order
        if isinstance(order, messages.PaceOrder):
            return ""
        key = (order.task, order.run)
        if isinstance(order, messages.StopOrder):
            worker.last_ended_run[order.task] = max(
                worker.last_ended_run.get(order.task, 0), order.run)
            if key in worker.runs:
                worker.end(key, "stopped")
            return ""
        return self._start(worker, key, sent_order)

    def _start(self, worker: SimulatedWorker,
               key: tuple[messages.TaskId, int], sent_order: SentOrder) -> str:
        if key in worker.runs:
            return ""
        task, run = key
        if (run <= worker.last_ended_run.get(task, 0)
                or any(t == task for t, _ in worker.runs)):
            return interfaces.STALE_RUN
        if sent_order.lease_until_ms <= worker.clock_ms(self.now):
            return interfaces.LEASE_EXPIRED
        worker.extend_lease(sent_order.lease_until_ms, self.now)
        step = self._job(task).steps[task.step]
        worker.runs[key] = step.reserved()
        self._check_start(worker, task, step, sent_order.at)
        if self._job(task).spec == CRASHING_SPEC:
            self._count_crash(task)
            self._end_worker(worker)
            self.undetected_crashes[worker.entry.worker_id] = task
        return ""

    def _count_crash(self, task: messages.TaskId) -> None:
        if self.crash_counts.get(task, 0) >= MAX_CRASHES:
            extra = self.extra_starts.get(task, 0) + 1
            self.extra_starts[task] = extra
            assert (extra <= MAX_EXTRA_STARTS
                    + self.undetectable_crashes.get(task, 0)), (
                f"{task} is started again after too many crashes")
        self.crash_counts[task] = self.crash_counts.get(task, 0) + 1

    def _check_start(self, worker: SimulatedWorker, task: messages.TaskId,
                     step: messages.Step, sent_at: float) -> None:
        used = sum(room.cpu for room in worker.runs.values())
        limit = worker.max_cpu_since(sent_at - SHRUNK_CAPACITY_DELAY_S)
        assert used <= limit, f"{worker.entry.worker_id} is overcommitted"
        runs = [run for w in self._alive() for run in w.runs
                if run[0] == task]
        has_copy = step.speculative and bool(self.copy_runs & set(runs))
        assert len(runs) <= 1 + has_copy, f"{task} has runs {runs}"
        if task in self.acknowledged_done:
            # The start was ordered before, as one of two runs.
            assert step.speculative and sent_at <= self.acknowledged_at[task]
            assert (self.now - sent_at) * 1000.0 < copies.START_LEASE_MS, (
                f"{task} starts after its end")
            assert any(copied == task for copied, _ in self.copy_runs)
        elif task in self.reported_done and not (
                step.speculative and sent_at <= self.done_at[task]):
            self.restarted_after_end.add(task)
        job = self._job(task)
        for earlier_step in step.after:
            for number in range(job.steps[earlier_step].count):
                assert task._replace(step=earlier_step,
                                     number=number) in self.done

    def _job(self, task: messages.TaskId) -> messages.Job:
        return next(j for j in self.jobs if j.job_id == task.job_id)

    # Events

    def _store_key(self, key: str, value: bytes) -> int:
        """Write a key in the way an entry process does."""
        self._set_commit_outcome("answered")
        return self.store.commit(messages.Transaction(
            puts=(messages.Put(key, value),)))

    @stateful.precondition(lambda self: not self.store_down)
    @stateful.rule(steps=strategies.sampled_from(STEPS))
    def submit(self, steps: tuple[messages.Step, ...]) -> None:
        self._submit(fleetfakes.job(f"j{len(self.jobs)}", *steps))

    def _submit(self, job: messages.Job) -> None:
        self.jobs.append(job)
        created_revision = self._store_key(records.job_key(job.job_id),
                                           progress.encode_job(job))
        if self.has_owner:
            self._add_job(job, created_revision)

    @stateful.precondition(lambda self: self.jobs and not self.store_down)
    @stateful.rule(data=strategies.data(), applies=RARELY)
    def cancel(self, data: strategies.DataObject, applies: bool) -> None:
        if not applies:
            return
        job = data.draw(strategies.sampled_from(self.jobs))
        if records.job_key(job.job_id) in self.store.items:
            self._store_key(records.cancel_key(job.job_id), b"1")
        if self.has_owner:
            self.fleet.cancel(job.job_id)

    @stateful.rule(seconds=strategies.sampled_from(
        [0.1, 0.1, 0.5, 0.5, 2.0, 6.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        for worker in self._alive():
            if self.now >= worker.born_at + ENTRY_DELAY_S:
                worker.listed_entry = worker.entry
            if worker.lease_end_ms <= worker.clock_ms(self.now):
                self._expire_lease(worker)
        self._advance_owner()
        with self._as_partitioned_owner():
            self._advance_owner()

    def _advance_owner(self) -> None:
        if not self.has_owner:
            return
        if not self.store_down:
            self._renew_owner_lease()
            self._read_worker_list()
        if self.now - self.lease_renewed_at > recovery.MAX_STORE_OUTAGE_S:
            self._step_down()
            return
        self.fleet.expire(self.now)

    def _expire_lease(self, worker: SimulatedWorker) -> None:
        for key in list(worker.runs):
            worker.end(key, "lapsed")
        for task, worker_id in list(self.reported_done.items()):
            if worker_id == worker.entry.worker_id:
                del self.reported_done[task]
                self.restarted_after_end.discard(task)

    @stateful.precondition(lambda self: not self.store_down)
    @stateful.rule(applies=RARELY)
    def store_becomes_unreachable(self, applies: bool) -> None:
        self.store_down = self.store.refuse = applies

    @stateful.precondition(lambda self: self.store_down and self.has_owner)
    @stateful.rule(data=strategies.data())
    def outage_outlasts_the_owner(self, data: strategies.DataObject
                                  ) -> None:
        """Let the owner continue with most workers until it steps down."""
        reached = data.draw(strategies.permutations(self._alive()))[1:]
        while self.has_owner:
            self.pass_time(1.0)
            for worker in reached if self.has_owner else ():
                self._report(worker, True)

    @stateful.precondition(lambda self: self.store_down)
    @stateful.rule(lease_ended=strategies.booleans())
    def store_recovers(self, lease_ended: bool) -> None:
        """Make the store reachable; its leases were paused or expired."""
        self.store_down = self.store.refuse = False
        if lease_ended:
            self.store.end_lease(self.process.lease_id)
            self._step_down()

    @stateful.precondition(lambda self: self.has_owner and not self.store_down)
    @stateful.rule(data=strategies.data(), lease_ended=strategies.booleans(),
                   process_index=strategies.integers(0, PROCESSES - 1),
                   call_outcome=CALL_OUTCOMES)
    def takeover_after_store_outage(
            self, data: strategies.DataObject, lease_ended: bool,
            process_index: int, call_outcome: str) -> None:
        """Change owners by a store outage; let one worker report."""
        self.store_becomes_unreachable(True)
        self.outage_outlasts_the_owner(data)
        self.run_ends(data, "done")
        self.store_recovers(lease_ended)
        self._take_over(process_index, call_outcome)
        self.report(data, True)
        self._place()
        self.all_orders_arrive()

    @stateful.precondition(lambda self: self.has_owner and not self.store_down)
    @stateful.rule(data=strategies.data(), call_outcome=CALL_OUTCOMES)
    def network_partition(self, data: strategies.DataObject,
                          call_outcome: str) -> None:
        """Isolate an owner with some workers, and let another take over."""
        workers = data.draw(strategies.permutations(self._alive()))
        reached = data.draw(strategies.integers(0, WORKERS))
        self.store_down = True
        for _ in range(3):
            self.pass_time(0.8)
            self._exchange(workers[:reached], workers[reached:])
        self.partitioned_term = {
            name: getattr(self, name) for name in TERM_ATTRIBUTES}
        self.has_owner = self.store_down = False
        self.orders_in_flight, self.commit = [], None
        self._take_over(1 - self.processes.index(self.process), call_outcome)
        for _ in range(PARTITION_S):
            self.pass_time(1.0)
            with self._as_partitioned_owner():
                self._exchange(workers[:reached], workers[reached:])
            self._exchange(workers[reached:], workers[:reached])

    def _exchange(self, reached: list[SimulatedWorker],
                  unreached: list[SimulatedWorker]) -> None:
        """Let an owner get reports of the reached workers, and act."""
        for worker in reached if self.has_owner else ():
            self._report(worker, True)
        for worker in unreached if self.has_owner else ():
            self.fleet.mark_unresponsive(worker.entry.worker_id, "cut")
        if self.has_owner:
            self._place()
            self.all_orders_arrive()

    @stateful.precondition(
        lambda self: self.partitioned_term.get("has_owner"))
    @stateful.rule(data=strategies.data())
    def partitioned_owner_acts(self, data: strategies.DataObject) -> None:
        worker = data.draw(strategies.sampled_from(self._alive()))
        with self._as_partitioned_owner():
            self._exchange([worker], [])

    @stateful.precondition(lambda self: self.store.delayed)
    @stateful.rule()
    def late_commits_arrive(self) -> None:
        self.store.deliver_late()

    def _place(self) -> None:
        if self._may_lease():
            rounds.place(self.fleet, self.now, 1e12)

    @stateful.precondition(lambda self: self.has_owner)
    @stateful.rule()
    def place(self) -> None:
        self._place()

    @stateful.precondition(lambda self: self.has_owner)
    @stateful.rule()
    def report_store_and_place(self) -> None:
        """Let all workers report, store their reports, and place tasks."""
        for worker in self._alive():
            self._report(worker, True)
        self.store_progress("answered")
        self.now += 0.1
        if self.has_owner:
            self._place()

    @stateful.precondition(lambda self: self.jobs and self.has_owner)
    @stateful.rule()
    def deliver_everything(self) -> None:
        """Run one round without faults."""
        self.report_store_and_place()
        self.all_orders_arrive()

    @stateful.precondition(lambda self: self.orders_in_flight)
    @stateful.rule()
    def all_orders_arrive(self) -> None:
        for _ in range(len(self.orders_in_flight)):
            self.order_arrives("answered")

    @stateful.precondition(lambda self: self.orders_in_flight)
    @stateful.rule(call_outcome=strategies.sampled_from(
        ["answered", "answered", "answer lost", "lost", "late", "late"]))
    def order_arrives(self, call_outcome: str) -> None:
        """Deliver or lose the oldest order, in the way a worker link does."""
        if not self.orders_in_flight:
            return
        sent_order = self.orders_in_flight.pop(0)
        if isinstance(sent_order.order, messages.StartOrder):
            self._start_arrives(sent_order, call_outcome)
        elif call_outcome in ("answered", "answer lost"):
            reason = self._execute_order(sent_order)
            if call_outcome == "answered" and not reason and isinstance(
                    sent_order.order, messages.StopOrder):
                answers.record_stopped(self.fleet, sent_order.worker_id,
                                       sent_order.order, self.now)
            if (call_outcome == "answer lost" and isinstance(
                    sent_order.order, messages.StopOrder)):
                self.orders_in_flight.append(sent_order)
        elif isinstance(sent_order.order, messages.StopOrder):
            self.orders_in_flight.append(sent_order)
            if call_outcome == "late":
                self.delayed_orders.append(sent_order)

    def _start_arrives(self, sent_order: SentOrder, call_outcome: str) -> None:
        order = sent_order.order
        assert isinstance(order, messages.StartOrder)
        if not answers.should_send(self.fleet, sent_order.worker_id, order):
            return
        data_centre = self.workers[sent_order.worker_id].entry.data_centre
        assert data_centre not in self.evacuated, (
            f"{order.task} is started in {data_centre}")
        lease_until_ms = self._grant_lease(sent_order.worker_id, order.task)
        if lease_until_ms is None:
            answers.record_rejected(self.fleet, sent_order.worker_id, order,
                                    "no lease", self.now)
            return
        sent_order.lease_until_ms = lease_until_ms
        sent_order.at = self.now
        if call_outcome in ("lost", "late"):
            if call_outcome == "late":
                self.delayed_orders.append(sent_order)
            answers.stop_uncertain_run(self.fleet, sent_order.worker_id, order)
            return
        reason = self._execute_order(sent_order)
        if reason == interfaces.FENCED:
            self._step_down()
        elif call_outcome == "answer lost" or reason == "gone":
            answers.stop_uncertain_run(self.fleet, sent_order.worker_id, order)
        elif reason:
            answers.record_rejected(self.fleet, sent_order.worker_id,
                                    order, reason, self.now)
        else:
            answers.record_started(self.fleet, sent_order.worker_id, order,
                                   self.now)

    @stateful.precondition(lambda self: self.delayed_orders)
    @stateful.rule(data=strategies.data())
    def late_order_arrives(self, data: strategies.DataObject) -> None:
        sent_order = self.delayed_orders.pop(data.draw(strategies.integers(
            0, len(self.delayed_orders) - 1)))
        self._execute_order(sent_order)

    @stateful.precondition(lambda self: self.has_owner)
    @stateful.rule(data=strategies.data(),
                   answered=strategies.sampled_from([True, True, False]))
    def report(self, data: strategies.DataObject, answered: bool) -> None:
        self._report(data.draw(strategies.sampled_from(self._alive())),
                     answered)

    def _report(self, worker: SimulatedWorker, answered: bool) -> None:
        worker_id = worker.entry.worker_id
        if not worker.alive:
            return
        ends = self.ends.setdefault(worker_id, recordedends.RecordedEnds())
        if not self.store_down:
            self.fleet.add_worker(worker.listed_entry)
        lease_until_ms = self._grant_lease(worker_id)
        if not answered:
            self.fleet.mark_unresponsive(worker_id, "no answer")
            return
        if self.fleet.fence < worker.fence:
            self._step_down()
            return
        worker.fence = self.fleet.fence
        if lease_until_ms is not None:
            worker.extend_lease(lease_until_ms, self.now)
        self._forget_ends(worker, ends)
        ends.note_report(worker.entry.born_ms)
        reports.apply_report(self.fleet, worker_id, messages.WorkerReport(
            worker.clock_ms(self.now),
            tuple(messages.RunningTask(
                task, run, "", self._percent(worker, (task, run)))
                for task, run in worker.runs), tuple(worker.ended),
            worker.entry.born_ms), self.now, self.now)

    def _percent(self, worker: SimulatedWorker,
                 key: tuple[messages.TaskId, int]) -> int:
        """Return the progress that a worker reports of a run."""
        return 10

    @stateful.precondition(lambda self: self.has_owner)
    @stateful.rule(call_outcome=CALL_OUTCOMES)
    def store_progress(self, call_outcome: str) -> None:
        """Store progress; then enrol workers and acknowledge ends of runs.

        A commit without an answer is repeated until its outcome is known.
        """
        commit = self.commit or self._next_commit()
        outcome = recorder_mod.Outcome.STORED
        if commit.values:
            self._set_commit_outcome(call_outcome)
            outcome = self.recorder._commit(commit.values)
        if not self.has_owner:
            return
        self.commit = (
            commit if outcome is recorder_mod.Outcome.OWNERSHIP_LOST else None)
        if outcome is recorder_mod.Outcome.STORED:
            self.recorder.stored_ends = commit.stored_ends
            self._acknowledge_ends(commit.stored_ends)

    def _next_commit(self) -> PendingCommit:
        stored_ends = {
            worker_id: recordedends.LifeEnds(
                worker.born_ms, worker.last_processed_end)
            for worker_id, worker in self.fleet.workers.items()}
        values = self.recorder._job_writes()
        self.recorder._add_workers(values)
        self.recorder._add_silent_workers(values)
        self.recorder._add_terms(values)
        return PendingCommit(values, stored_ends)

    def _acknowledge_ends(
            self, stored_ends: dict[str, recordedends.LifeEnds]) -> None:
        for worker_id, stored in stored_ends.items():
            ends = self.ends.setdefault(worker_id, recordedends.RecordedEnds())
            ends.store(stored)
            self._forget_ends(self.workers[worker_id], ends)

    def _forget_ends(self, worker: SimulatedWorker,
                     ends: recordedends.RecordedEnds) -> None:
        """Let a worker forget ends, over the connection of its last report."""
        worker_id = worker.entry.worker_id
        upto = ends.acknowledged_number()
        if ends.reporting_born_ms != worker.entry.born_ms:
            upto = 0
        assert upto <= worker.last_end_number, (
            f"{worker_id} is told to forget ends that it has not had")
        for ended in worker.ended:
            if (ended.number <= upto and ended.how == messages.DONE
                    and not self._is_long_running(ended.task)):
                assert (self.reported_done.get(ended.task) != worker_id
                        or ended.task not in self.restarted_after_end), (
                    f"{ended.task} started after its end")
                self.acknowledged_done.add(ended.task)
                self.acknowledged_at.setdefault(ended.task, self.now)
        worker.ended = [e for e in worker.ended if e.number > upto]

    def _is_long_running(self, task: messages.TaskId) -> bool:
        return self._job(task).steps[task.step].perpetual

    @stateful.rule(data=strategies.data(),
                   how=strategies.sampled_from(["done", "done", "failed"]))
    def run_ends(self, data: strategies.DataObject, how: str) -> None:
        running = [(w, key) for w in self._alive() for key in w.runs]
        if not running:
            return
        worker, key = data.draw(strategies.sampled_from(running))
        if self._job(key[0]).steps[key[0].step].gang and how == "done":
            return
        worker.end(key, how)
        if how == "done" and not self._is_long_running(key[0]):
            self.done.add(key[0])
            self.done_at[key[0]] = self.now
            self.reported_done[key[0]] = worker.entry.worker_id

    @stateful.rule(data=strategies.data(), is_detected=strategies.booleans(),
                   applies=RARELY)
    def crash(self, data: strategies.DataObject, is_detected: bool,
              applies: bool) -> None:
        if not applies:
            return
        worker = data.draw(strategies.sampled_from(self._alive()))
        self._end_worker(worker)
        if is_detected and self.has_owner:
            crashes.worker_refused_connection(
                self.fleet, worker.entry.worker_id)

    @stateful.rule(data=strategies.data(), is_refused=strategies.booleans(),
                   applies=RARELY)
    def restart(self, data: strategies.DataObject, is_refused: bool,
                applies: bool) -> None:
        """Let workers start again; the owner may find nobody there first."""
        if not applies:
            return
        workers = data.draw(strategies.sets(
            strategies.sampled_from(self._alive()), min_size=1))
        for worker in sorted(workers, key=lambda w: w.entry.worker_id):
            self._end_worker(worker, keeps_id=True)
            if is_refused and self.has_owner:
                self.fleet.mark_unresponsive(worker.entry.worker_id, "closed")
                crashes.worker_refused_connection(
                    self.fleet, worker.entry.worker_id)

    def _end_worker(self, worker: SimulatedWorker,
                    keeps_id: bool = False) -> None:
        worker.alive = False
        worker.runs.clear()
        worker.ended.clear()
        self.reported_done = {
            task: worker_id for task, worker_id in self.reported_done.items()
            if worker_id != worker.entry.worker_id}
        if keeps_id:
            self._restart_under_its_id(worker)
            return
        address_number = int(worker.entry.address.split(".")[3].split(":")[0])
        self._new_worker(address_number)

    @stateful.precondition(lambda self: not self.store_down)
    @stateful.rule(step=strategies.sampled_from(
        [STEPS[0][0], STEPS[2][0], STEPS[3][0]]))
    def submit_crashing_job(self, step: messages.Step) -> None:
        self._submit(fleetfakes.job(
            f"j{len(self.jobs)}", step, spec=CRASHING_SPEC))

    @stateful.precondition(
        lambda self: self.undetected_crashes and self.has_owner)
    @stateful.rule()
    def crashes_are_detected(self) -> None:
        for worker_id in list(self.undetected_crashes):
            self.fleet.mark_unresponsive(worker_id, "closed")
            crashes.worker_refused_connection(self.fleet, worker_id)
            del self.undetected_crashes[worker_id]

    @stateful.precondition(lambda self: self.has_owner)
    @stateful.rule(data=strategies.data(), applies=RARELY)
    def link_refuses_connections(self, data: strategies.DataObject,
                                 applies: bool) -> None:
        """Let the links of some workers be cut; the workers run on."""
        if not applies:
            return
        for worker_id in data.draw(strategies.lists(
                strategies.sampled_from([
                    worker.entry.worker_id for worker in self._alive()]),
                min_size=1, unique=True)):
            self.fleet.mark_unresponsive(worker_id, "reset")
            crashes.worker_refused_connection(self.fleet, worker_id)

    @stateful.precondition(lambda self: self.has_owner)
    @stateful.rule()
    def successors_of_crashed_workers_answer(self) -> None:
        """Let the workers answer that have started at others' addresses."""
        for worker_id, worker in list(self.fleet.workers.items()):
            if worker.unresponsive and not self.workers[worker_id].alive:
                crashes.worker_replaced(self.fleet, worker_id)
                self.undetected_crashes.pop(worker_id, None)

    @stateful.precondition(
        lambda self: self.has_owner and not self.store_down
        and any(job.spec == CRASHING_SPEC for job in self.jobs))
    @stateful.rule(cycles=strategies.integers(4, 12),
                   change_at=strategies.integers(0, 24),
                   process_index=strategies.integers(0, PROCESSES - 1),
                   call_outcome=CALL_OUTCOMES)
    def repeated_crashes(self, cycles: int, change_at: int, process_index: int,
                         call_outcome: str) -> None:
        """Let tasks crash workers while the owner changes."""
        for cycle in range(cycles):
            if self.store_down or not self.has_owner:
                return
            if cycle == change_at:
                self._take_over(process_index, call_outcome)
            self.deliver_everything()
            if self.has_owner and cycle + 1 != change_at:
                self.crashes_are_detected()
            self.pass_time(0.3)

    @stateful.rule(data=strategies.data(),
                   cpu=strategies.sampled_from(CPU_CAPACITIES))
    def capacity_changes(self, data: strategies.DataObject, cpu: int) -> None:
        self._change_capacity(
            data.draw(strategies.sampled_from(self._alive())), cpu)

    @stateful.rule(data_centres=strategies.frozensets(
        strategies.sampled_from(DATA_CENTRES)))
    def evacuations_change(self, data_centres: frozenset[str]) -> None:
        self.evacuated = data_centres

    @stateful.rule(data_centre=strategies.sampled_from(DATA_CENTRES),
                   keeps_id=strategies.booleans(), applies=RARELY)
    def data_centre_is_lost(self, data_centre: str, keeps_id: bool,
                            applies: bool) -> None:
        """Let all workers of a data centre crash; they start again."""
        for worker in self._alive() if applies else ():
            if worker.entry.data_centre == data_centre:
                self._end_worker(worker, keeps_id)

    def _change_capacity(self, worker: SimulatedWorker, cpu: int) -> None:
        worker.entry = dataclasses.replace(
            worker.entry, capacity=messages.Resources(cpu, 16_000, 0))
        worker.capacity_history.append((self.now, cpu))

    @stateful.precondition(lambda self: self.has_owner and not self.store_down)
    @stateful.rule(cpu=strategies.sampled_from(CPU_CAPACITIES), applies=RARELY)
    def capacities_change_in_a_store_outage(self, cpu: int,
                                            applies: bool) -> None:
        """Let runs end on workers whose new capacity cannot be read."""
        if not applies:
            return
        self.submit(STEPS[4])
        self.store_becomes_unreachable(True)
        for worker in self._alive():
            self._change_capacity(worker, cpu)
        while self.has_owner:
            self.pass_time(1.0)
            ends = [(w, key) for w in self._alive() for key in w.runs]
            for worker, key in ends[:1]:
                worker.end(key, "stopped")
            self._exchange(self._alive(), [])

    @stateful.precondition(lambda self: not self.store_down)
    @stateful.rule(process_index=strategies.integers(0, PROCESSES - 1),
                   call_outcome=CALL_OUTCOMES, applies=RARELY)
    def take_over(self, process_index: int, call_outcome: str,
                  applies: bool) -> None:
        """Start the next term; without an owner, in every case."""
        if self.has_owner and not applies:
            return
        if self.has_owner:
            self._stop_as_planned(call_outcome)
        self._take_over(process_index, call_outcome)

    def _stop_as_planned(self, call_outcome: str) -> None:
        """Step down; release the fleet with a record for the successor."""
        self._step_down()
        data = handoverrecord.encode(self.fleet.fence, handoverrecord.collect(
            self.fleet, self.recorder.stored_ends, self.now))
        self._set_commit_outcome(call_outcome)
        self.process.release(self.fleet.fence, data)

    @stateful.invariant()
    def record_of_a_planned_stop_is_of_the_last_owner(self) -> None:
        assert (records.OWNER_KEY not in self.store.items
                or records.HANDOVER_KEY not in self.store.items)

    @stateful.invariant()
    def only_crashing_tasks_are_given_up(self) -> None:
        for state in self.fleet.jobs.values():
            assert ("crashed" not in state.reason
                    or state.job.spec == CRASHING_SPEC), state.reason

    @stateful.invariant()
    def copies_are_consistent(self) -> None:
        """A copy is of a running task, elsewhere, and within the budget."""
        for state in self.fleet.jobs.values():
            for task in state.all_tasks():
                if not task.step.perpetual:
                    assert len(task.failed_runs) <= state.job.max_attempts
                copy = task.copy
                if copy is None:
                    continue
                assert task.step.speculative and not task.done
                assert progress.IDLE not in (task.phase, copy.phase)
                assert copy.worker_id != task.worker_id
                worker = self.fleet.workers[copy.worker_id]
                assert worker.tasks[copy.task, copy.run] is copy
                assert (copy.task, copy.run) in worker.reserved

    @stateful.invariant()
    def used_cpu_matches_reservations(self) -> None:
        for worker in self.fleet.workers.values():
            assert worker.used.cpu == sum(
                room.cpu for room in worker.reserved.values())


class CopiesMachine(FleetMachine):
    """Run speculative tasks as well, of which runs get copies."""

    @stateful.precondition(lambda self: not self.store_down)
    @stateful.rule()
    def submit_speculative_job(self) -> None:
        self._submit(fleetfakes.job(
            f"j{len(self.jobs)}", *SPECULATIVE_STEPS, max_attempts=3))

    @stateful.precondition(lambda self: self.has_owner and not self.store_down)
    @stateful.rule(data=strategies.data(), is_silent=strategies.booleans(),
                   ends=strategies.booleans())
    def copies_are_ordered(self, data: strategies.DataObject, is_silent: bool,
                           ends: bool) -> None:
        """Order copies of runs that are slow or whose worker is silent."""
        self.submit_speculative_job()
        self.deliver_everything()
        if not self.has_owner:
            return
        self.pass_time(0.5)
        for worker in self._alive() if self.has_owner else ():
            self._report(worker, True)
        if is_silent and self.has_owner:
            self._report(data.draw(strategies.sampled_from(self._alive())),
                         False)
        if self.has_owner:
            self._place()
        if ends:
            self.run_ends(data, "done")

    @stateful.precondition(lambda self: self.has_owner and not self.store_down)
    @stateful.rule(data=strategies.data(),
                   seconds=strategies.sampled_from([0.1, 1.0, 2.0]),
                   is_cancelled=strategies.booleans())
    def copies_start_late(self, data: strategies.DataObject, seconds: float,
                          is_cancelled: bool) -> None:
        """Let starts of copies arrive after the first run is done."""
        self.copies_are_ordered(data, False, False)
        for _ in range(len(self.orders_in_flight)):
            self.order_arrives("late")
        self.run_ends(data, "done")
        if is_cancelled:
            self.cancel(data, True)
        if not self.has_owner:
            return
        self.report_store_and_place()
        self.pass_time(seconds)
        while self.delayed_orders:
            self.late_order_arrives(data)


SETTINGS = hypothesis.settings(
    max_examples=250, stateful_step_count=60, deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck))
FleetMachine.TestCase.settings = SETTINGS
TestFleetMachine = FleetMachine.TestCase
CopiesMachine.TestCase.settings = SETTINGS
TestCopiesMachine = CopiesMachine.TestCase
