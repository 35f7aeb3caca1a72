"""Play random faults against the owner's decisions and check its promises.

Time, workers and the store are simulated: orders and their answers are lost
or carried out late, workers crash, fall silent or lose their leases, some
tasks crash each worker that starts them, rooms shrink and grow, the store is
silent for longer than an owner goes on without it, and owners change:
any process takes the next term, also the one that had the last, and an owner
that is cut off acts on beside the next one.  Checked is what workers see.
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
from sycamorefield.fleet import crashes
from sycamorefield.fleet import messages
from sycamorefield.fleet import owner as owner_mod
from sycamorefield.fleet import ownership as ownership_mod
from sycamorefield.fleet import progress
from sycamorefield.fleet import recorder as recorder_mod
from sycamorefield.fleet import records
from sycamorefield.fleet import recovery
from sycamorefield.fleet import reports
from sycamorefield.fleet import rounds
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import surroundings
from sycamorefield.fleet import workerstate
from tests import fleetfakes

WORKERS = 3
PROCESSES = 2
CAPACITY = 4000
HOLD_MAX_MS = 6000.0
ROOMS = (2000, 3000, CAPACITY)
# A room that has shrunk counts after this.
SHRUNK_COUNTS_S = 4.1
# The spec of jobs whose tasks crash the workers that start them, and how
# often such a task may be started once three workers have crashed.
CRASHES = "crashes its workers"
CRASHES_ALLOWED = 3
MORE_STARTS = 2
# Events that would end most work if they came as often as others.
SELDOM = strategies.sampled_from([False, False, False, False, True])
# How long a split lasts: longer than the earlier owner's leases.
SPLIT_S = 14
# What belongs to one term of an owner.
TERM = ("fleet", "recorder", "process", "acting", "renewed", "silent",
        "commit", "sent")
# What becomes of a call to the store.
FATES = strategies.sampled_from(
    ["answered", "answered", "answer lost", "lost", "late"])
STEPS = (
    (messages.Step(2, messages.Room(2500, 10)),),
    (messages.Step(3, messages.Room(1500, 10)),
     messages.Step(1, messages.Room(3000, 10), after=(0,))),
    (messages.Step(2, messages.Room(2000, 10), gang=True),),
    (messages.Step(2, messages.Room(2000, 10), perpetual=True),),
    (messages.Step(2, messages.Room(1000, 10), checkpoint=True),),
)


@dataclasses.dataclass
class Sent:
    """An order on its way, with the fence and lease it carries."""

    worker_id: str
    order: state_mod.Order
    fence: int
    until_ms: float
    # When a link sent it.
    at: float = 0.0


@dataclasses.dataclass
class Commit:
    """Hold a commit whose outcome isn't known, and the ends it stores."""

    values: list[recorder_mod.Value]
    marks: dict[str, int]


class SimulatedWorker:
    """Obey fenced orders, and kill what runs when the lease ends."""

    def __init__(self, entry: messages.WorkerEntry) -> None:
        self.entry = entry
        self.alive = True
        # Processors it has had, and from when on.
        self.rooms = [(-100.0, entry.capacity.cpu)]
        self.fence = 0
        self.lease_end_ms = 0.0
        self.runs: dict[tuple[messages.TaskId, int], messages.Room] = {}
        self.over: dict[messages.TaskId, int] = {}
        self.ended: list[messages.EndedTask] = []
        self.number = 0

    def room_since(self, at: float) -> int:
        """Return the most processors it has had since a time."""
        last = max(begun for begun, _ in self.rooms if begun <= at)
        return max(cpu for begun, cpu in self.rooms if begun >= last)

    def end(self, key: tuple[messages.TaskId, int], how: str) -> None:
        """End one run."""
        del self.runs[key]
        task, run = key
        self.over[task] = max(self.over.get(task, 0), run)
        self.number += 1
        self.ended.append(messages.EndedTask(self.number, task, run, how,
                                             "saved"))


class FleetMachine(stateful.RuleBasedStateMachine):
    """Drive one fleet through random events."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.clock_now = clock.now
        clock.now = lambda: self.now
        # Crashes under tasks, later starts of them, and crashes that an
        # owner can't know of as it changed before it noticed them.
        self.crashed_under: dict[messages.TaskId, int] = {}
        self.more_starts: dict[messages.TaskId, int] = {}
        self.unnoticed: dict[str, messages.TaskId] = {}
        self.excused: dict[messages.TaskId, int] = {}
        self.incarnation = 0
        self.workers: dict[str, SimulatedWorker] = {}
        self.jobs: list[messages.Job] = []
        self.sent: list[Sent] = []
        self.late: list[Sent] = []
        # Tasks that ended as done; those of them whose end the worker may
        # forget; and those whose worker lists the end and kept its lease.
        self.done: set[messages.TaskId] = set()
        self.known_done: set[messages.TaskId] = set()
        self.listed_done: dict[messages.TaskId, str] = {}
        self.started_again: set[messages.TaskId] = set()
        self.store = fleetfakes.MemoryStore()
        self.processes = [self._process(f"p{n}") for n in range(PROCESSES)]
        # Whether there is an owner that gives orders, and which process it
        # is of.
        self.acting = False
        self.process = self.processes[0]
        self.renewed = self.now
        self.silent = False
        self.commit: Commit | None = None
        # The term of an owner that was cut off and may still act.
        self.earlier: dict[str, typing.Any] = {}
        for place in range(WORKERS):
            self._new_worker(place)
        self._take_over(0, "answered")
        self.routine()
        self.submit(STEPS[1])

    def teardown(self) -> None:
        """Give the clock back."""
        clock.now = self.clock_now

    # What surrounds the owner

    def _new_worker(self, place: int) -> SimulatedWorker:
        self.incarnation += 1
        entry = dataclasses.replace(
            fleetfakes.entry(place, cpu=CAPACITY),
            worker_id=f"i-{self.incarnation}")
        worker = SimulatedWorker(entry)
        self.workers[entry.worker_id] = worker
        return worker

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
        raise AssertionError("owners are made by the machine")

    def _step_down(self, *_: str) -> None:
        """Give no more orders; calls under way may be carried out late."""
        if not self.acting:
            return
        self.acting = False
        self.commit = None
        for sent in self.sent:
            if isinstance(sent.order, messages.StartOrder):
                sent.until_ms = self._lease(sent.worker_id) or 0.0
        self.late += self.sent
        self.sent = []

    def _swap(self) -> None:
        now = {name: getattr(self, name) for name in TERM}
        for name, value in self.earlier.items():
            setattr(self, name, value)
        self.earlier = now

    @contextlib.contextmanager
    def _as_earlier(self) -> typing.Iterator[bool]:
        """Act as the owner that was cut off; tell whether it still acts."""
        if not self.earlier:
            yield False
            return
        self._swap()
        try:
            yield self.acting
        finally:
            self._swap()

    def _claim(self, process: ownership_mod.Ownership, fate: str) -> int:
        """Let a process that may claim the fleet do so; return the fence."""
        owner = self.store.items.get(records.OWNER_KEY)
        if owner is not None and owner.value != process.identity:
            # Others wait until the lease that holds the key is over.
            for lease, keys in list(self.store.leases.items()):
                if records.OWNER_KEY in keys:
                    self.store.end_lease(lease)
        self._set_fate(fate)
        fence = 0
        while not fence:
            process.watcher.owner_item = self.store.items.get(
                records.OWNER_KEY)
            try:
                fence = process._claim()
            except surroundings.CallFailed:
                continue
        return fence

    def _set_fate(self, fate: str) -> None:
        """Choose what becomes of the next commit."""
        self.store.lose_answers = int(fate == "answer lost")
        self.store.lose_calls = int(fate == "lost")
        self.store.keep_late = int(fate == "late")

    def _take_over(self, number: int, fate: str) -> None:
        self._step_down()
        for task in self.unnoticed.values():
            self.excused[task] = self.excused.get(task, 0) + 1
        fence = self._claim(self.processes[number], fate)
        self.process = self.processes[number]
        self.acting = True
        self.fleet = state_mod.FleetState(
            fence, HOLD_MAX_MS, self._send, fleetfakes.configuration)
        self._renewed()
        self.recorder = recorder_mod.Recorder(
            self.store, self.fleet, records.OWNER_KEY, lambda: True,
            self._step_down, lambda _: None)
        # Each call of the recorder is then one try.
        self.recorder.stopped.set()
        for job in self.jobs:
            state = self._add_job(
                job, self.store.items[records.job_key(job.job_id)].created)
            self._read_progress(state)
        for item in self.store.listing(records.JOB_PREFIX).items:
            if item.key.endswith(records.CANCEL_SUFFIX):
                self.fleet.cancel(item.key[len(records.JOB_PREFIX):
                                           -len(records.CANCEL_SUFFIX)])
        self._expect_workers()

    def _add_job(self, job: messages.Job, created: int) -> progress.JobState:
        state = self.fleet.add_job(job, created)
        state.known_at = self.now
        return state

    def _renewed(self) -> None:
        self.renewed = self.now
        self.fleet.leased_until = self.now + owner_mod.OWNER_LEASE_S

    def _read_progress(self, state: progress.JobState) -> None:
        item = self.store.items.get(
            records.progress_key(state.job.job_id))
        if item is None:
            return
        state.state_revision = item.revision
        progress.apply_progress(state, item.value)
        if state.final():
            self.fleet.drop_final(state)
        else:
            self.fleet.trials.inherit(state, self.now)

    def _expect_workers(self) -> None:
        in_use: dict[str, str] = {}
        item = self.store.items.get(records.FLEET_KEY)
        if item is not None:
            in_use = records.decode_mapping(item.value)
            self.recorder.revisions[records.FLEET_KEY] = item.revision
            self.recorder.addresses = in_use
        self.fleet.expect(in_use, self.now + recovery.MAX_STORE_OUTAGE_S
                          + workerstate.LEASE_OVER_S)
        self._read_list()
        self.fleet.enrol(in_use)

    def _read_list(self) -> None:
        """Read the list of workers; crashed ones stay on it for a while."""
        entries = [w.entry for w in self.workers.values()
                   if w.alive or w.entry.worker_id in self.unnoticed]
        for entry in entries:
            self.fleet.add_worker(entry)
        self.fleet.unlist({e.worker_id for e in entries}, self.now)

    def _send(self, worker_id: str, order: state_mod.Order) -> None:
        self.sent.append(Sent(worker_id, order, self.fleet.fence, 0.0))

    def _may_lease(self) -> bool:
        return (self.now - self.renewed <= owner_mod.OWNER_LEASE_S
                or self.fleet.obeyed_by_most(self.now))

    def _lease(self, worker_id: str) -> float | None:
        state = self.fleet.workers.get(worker_id)
        if state is None or state.silent or not self._may_lease():
            return None
        return state.lease_until(workerstate.LEASE_MS, self.now)

    # What workers check

    def _carry_out(self, sent: Sent) -> str:
        """Carry out an order; return why not, or nothing."""
        worker = self.workers[sent.worker_id]
        if not worker.alive:
            return "gone"
        if sent.fence < worker.fence:
            return surroundings.FENCED
        worker.fence = sent.fence
        order = sent.order
        if isinstance(order, messages.PaceOrder):
            return ""
        key = (order.task, order.run)
        if isinstance(order, messages.StopOrder):
            worker.over[order.task] = max(worker.over.get(order.task, 0),
                                          order.run)
            if key in worker.runs:
                worker.end(key, "stopped")
            return ""
        return self._start(worker, key, sent)

    def _start(self, worker: SimulatedWorker,
               key: tuple[messages.TaskId, int], sent: Sent) -> str:
        if key in worker.runs:
            return ""
        task, run = key
        if (run <= worker.over.get(task, 0)
                or any(t == task for t, _ in worker.runs)):
            return surroundings.OLD_RUN
        if sent.until_ms <= self.now * 1000.0:
            return surroundings.LATE
        worker.lease_end_ms = max(worker.lease_end_ms, sent.until_ms)
        step = self._job(task).steps[task.step]
        worker.runs[key] = step.reserved()
        self._check_start(worker, task, step, sent.at)
        if self._job(task).spec == CRASHES:
            self._count_crash(task)
            self._end_worker(worker)
            self.unnoticed[worker.entry.worker_id] = task
        return ""

    def _count_crash(self, task: messages.TaskId) -> None:
        if self.crashed_under.get(task, 0) >= CRASHES_ALLOWED:
            more = self.more_starts.get(task, 0) + 1
            self.more_starts[task] = more
            assert more <= MORE_STARTS + self.excused.get(task, 0), (
                f"{task} is not given up")
        self.crashed_under[task] = self.crashed_under.get(task, 0) + 1

    def _check_start(self, worker: SimulatedWorker, task: messages.TaskId,
                     step: messages.Step, sent_at: float) -> None:
        used = sum(room.cpu for room in worker.runs.values())
        limit = worker.room_since(sent_at - SHRUNK_COUNTS_S)
        assert used <= limit, f"{worker.entry.worker_id} is overfilled"
        places = [w.entry.worker_id for w in self._alive()
                  for t, _ in w.runs if t == task]
        assert len(places) == 1, f"{task} runs on {places}"
        assert task not in self.known_done, f"{task} starts after its end"
        if task in self.listed_done:
            self.started_again.add(task)
        job = self._job(task)
        for earlier in step.after:
            for number in range(job.steps[earlier].count):
                assert task._replace(step=earlier,
                                     number=number) in self.done

    def _job(self, task: messages.TaskId) -> messages.Job:
        return next(j for j in self.jobs if j.job_id == task.job_id)

    # Events

    def _store_key(self, key: str, value: bytes) -> int:
        """Write a key as an entry process does."""
        self._set_fate("answered")
        return self.store.commit(messages.Transaction(
            puts=(messages.Put(key, value),)))

    @stateful.precondition(lambda self: not self.silent)
    @stateful.rule(steps=strategies.sampled_from(STEPS))
    def submit(self, steps: tuple[messages.Step, ...]) -> None:
        self._submit(fleetfakes.job(f"j{len(self.jobs)}", *steps))

    def _submit(self, job: messages.Job) -> None:
        self.jobs.append(job)
        created = self._store_key(records.job_key(job.job_id),
                                  progress.encode_job(job))
        if self.acting:
            self._add_job(job, created)

    @stateful.precondition(lambda self: self.jobs and not self.silent)
    @stateful.rule(data=strategies.data(), happens=SELDOM)
    def cancel(self, data: strategies.DataObject, happens: bool) -> None:
        if not happens:
            return
        job = data.draw(strategies.sampled_from(self.jobs))
        self._store_key(records.cancel_key(job.job_id), b"1")
        if self.acting:
            self.fleet.cancel(job.job_id)

    @stateful.rule(seconds=strategies.sampled_from(
        [0.1, 0.1, 0.5, 0.5, 2.0, 6.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        for worker in self._alive():
            if worker.lease_end_ms <= self.now * 1000.0:
                self._lapse(worker)
        self._owner_waits()
        with self._as_earlier():
            self._owner_waits()

    def _owner_waits(self) -> None:
        if not self.acting:
            return
        if not self.silent:
            self._renewed()
            self._read_list()
        if self.now - self.renewed > recovery.MAX_STORE_OUTAGE_S:
            self._step_down()
            return
        self.fleet.expire(self.now)

    def _lapse(self, worker: SimulatedWorker) -> None:
        for key in list(worker.runs):
            worker.end(key, "lapsed")
        for task, worker_id in list(self.listed_done.items()):
            if worker_id == worker.entry.worker_id:
                del self.listed_done[task]
                self.started_again.discard(task)

    @stateful.precondition(lambda self: not self.silent)
    @stateful.rule(happens=SELDOM)
    def store_falls_silent(self, happens: bool) -> None:
        self.silent = self.store.refuse = happens

    @stateful.precondition(lambda self: self.silent and self.acting)
    @stateful.rule(data=strategies.data())
    def silence_outlasts_the_owner(self, data: strategies.DataObject
                                   ) -> None:
        """Let the owner go on with most workers until it steps down."""
        heard = data.draw(strategies.permutations(self._alive()))[1:]
        while self.acting:
            self.pass_time(1.0)
            for worker in heard if self.acting else ():
                self._report(worker, True)

    @stateful.precondition(lambda self: self.silent)
    @stateful.rule(lease_ended=strategies.booleans())
    def store_answers(self, lease_ended: bool) -> None:
        """Let the store return; its leases paused, or ran out."""
        self.silent = self.store.refuse = False
        if lease_ended:
            self.store.end_lease(self.process.lease_id)
            self._step_down()

    @stateful.precondition(lambda self: self.acting and not self.silent)
    @stateful.rule(data=strategies.data(), lease_ended=strategies.booleans(),
                   number=strategies.integers(0, PROCESSES - 1), fate=FATES)
    def long_silence(self, data: strategies.DataObject, lease_ended: bool,
                     number: int, fate: str) -> None:
        """Change owners by a silence, and let the new one hear a worker."""
        self.store_falls_silent(True)
        self.silence_outlasts_the_owner(data)
        self.run_ends(data, "done")
        self.store_answers(lease_ended)
        self._take_over(number, fate)
        self.report(data, True)
        self._place()
        self.all_orders_arrive()

    @stateful.precondition(lambda self: self.acting and not self.silent)
    @stateful.rule(data=strategies.data(), fate=FATES)
    def split(self, data: strategies.DataObject, fate: str) -> None:
        """Cut an owner off with some workers, and let another take over."""
        workers = data.draw(strategies.permutations(self._alive()))
        reached = data.draw(strategies.integers(0, WORKERS))
        self.silent = True
        for _ in range(3):
            self.pass_time(0.8)
            self._hear(workers[:reached], workers[reached:])
        self.earlier = {name: getattr(self, name) for name in TERM}
        self.acting = self.silent = False
        self.sent, self.commit = [], None
        self._take_over(1 - self.processes.index(self.process), fate)
        for _ in range(SPLIT_S):
            self.pass_time(1.0)
            with self._as_earlier():
                self._hear(workers[:reached], workers[reached:])
            self._hear(workers[reached:], workers[:reached])

    def _hear(self, heard: list[SimulatedWorker],
              silent: list[SimulatedWorker]) -> None:
        """Let an owner reach some workers, and act."""
        for worker in heard if self.acting else ():
            self._report(worker, True)
        for worker in silent if self.acting else ():
            self.fleet.worker_silent(worker.entry.worker_id, "cut")
        if self.acting:
            self._place()
            self.all_orders_arrive()

    @stateful.precondition(lambda self: self.earlier.get("acting"))
    @stateful.rule(data=strategies.data())
    def earlier_owner_goes_on(self, data: strategies.DataObject) -> None:
        worker = data.draw(strategies.sampled_from(self._alive()))
        with self._as_earlier():
            self._hear([worker], [])

    @stateful.precondition(lambda self: self.store.late)
    @stateful.rule()
    def late_commits_arrive(self) -> None:
        self.store.deliver_late()

    def _place(self) -> None:
        if self._may_lease():
            rounds.place(self.fleet, self.now, 1e12)

    @stateful.precondition(lambda self: self.acting)
    @stateful.rule()
    def place(self) -> None:
        self._place()

    @stateful.precondition(lambda self: self.acting)
    @stateful.rule()
    def routine(self) -> None:
        """Let all workers report, store what came, and place."""
        for worker in self._alive():
            self._report(worker, True)
        self.record("answered")
        self.now += 0.1
        if self.acting:
            self._place()

    @stateful.precondition(lambda self: self.jobs and self.acting)
    @stateful.rule()
    def calm(self) -> None:
        """Let all go well for a moment."""
        self.routine()
        self.all_orders_arrive()

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule()
    def all_orders_arrive(self) -> None:
        for _ in range(len(self.sent)):
            self.order_arrives("answered")

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(fate=strategies.sampled_from(
        ["answered", "answered", "answer lost", "lost", "late", "late"]))
    def order_arrives(self, fate: str) -> None:
        """Let the oldest order arrive, or not, as a link sends it."""
        if not self.sent:
            return
        sent = self.sent.pop(0)
        if isinstance(sent.order, messages.StartOrder):
            self._start_arrives(sent, fate)
        elif fate in ("answered", "answer lost"):
            reason = self._carry_out(sent)
            if fate == "answered" and not reason and isinstance(
                    sent.order, messages.StopOrder):
                answers.stopped(self.fleet, sent.worker_id,
                                sent.order, self.now)
            if (fate == "answer lost" and isinstance(
                    sent.order, messages.StopOrder)):
                self.sent.append(sent)
        elif isinstance(sent.order, messages.StopOrder):
            self.sent.append(sent)
            if fate == "late":
                self.late.append(sent)

    def _start_arrives(self, sent: Sent, fate: str) -> None:
        order = sent.order
        assert isinstance(order, messages.StartOrder)
        if not answers.still_wanted(self.fleet, sent.worker_id, order):
            return
        until = self._lease(sent.worker_id)
        if until is None:
            answers.rejected(self.fleet, sent.worker_id, order, "no lease",
                             self.now)
            return
        sent.until_ms = until
        sent.at = self.now
        if fate in ("lost", "late"):
            if fate == "late":
                self.late.append(sent)
            answers.uncertain(self.fleet, sent.worker_id, order)
            return
        reason = self._carry_out(sent)
        if reason == surroundings.FENCED:
            self._step_down()
        elif fate == "answer lost" or reason == "gone":
            answers.uncertain(self.fleet, sent.worker_id, order)
        elif reason:
            answers.rejected(self.fleet, sent.worker_id,
                             order, reason, self.now)
        else:
            answers.started(self.fleet, sent.worker_id, order,
                            self.now * 1000.0, self.now)

    @stateful.precondition(lambda self: self.late)
    @stateful.rule(data=strategies.data())
    def late_order_arrives(self, data: strategies.DataObject) -> None:
        sent = self.late.pop(data.draw(strategies.integers(
            0, len(self.late) - 1)))
        self._carry_out(sent)

    @stateful.precondition(lambda self: self.acting)
    @stateful.rule(data=strategies.data(),
                   answered=strategies.sampled_from([True, True, False]))
    def report(self, data: strategies.DataObject, answered: bool) -> None:
        self._report(data.draw(strategies.sampled_from(self._alive())),
                     answered)

    def _report(self, worker: SimulatedWorker, answered: bool) -> None:
        worker_id = worker.entry.worker_id
        if not worker.alive:
            return
        if not self.silent:
            self.fleet.add_worker(worker.entry)
        until = self._lease(worker_id)
        if not answered:
            self.fleet.worker_silent(worker_id, "no answer")
            return
        if self.fleet.fence < worker.fence:
            self._step_down()
            return
        worker.fence = self.fleet.fence
        if until is not None:
            worker.lease_end_ms = max(worker.lease_end_ms, until)
        reports.take(self.fleet, worker_id, messages.WorkerReport(
            self.now * 1000.0,
            tuple(messages.RunningTask(task, run, "", 10)
                  for task, run in worker.runs), tuple(worker.ended)),
            self.now, self.now)

    @stateful.precondition(lambda self: self.acting)
    @stateful.rule(fate=FATES)
    def record(self, fate: str) -> None:
        """Store progress; then let workers be used and forget ends.

        A commit without an answer is sent again until its outcome is known.
        """
        commit = self.commit or self._next_commit()
        outcome = recorder_mod.Outcome.STORED
        if commit.values:
            self._set_fate(fate)
            outcome = self.recorder._commit(commit.values)
        if not self.acting:
            return
        self.commit = (commit if outcome is recorder_mod.Outcome.DEPOSED
                       else None)
        if outcome is recorder_mod.Outcome.STORED:
            self._forget_ends(commit.marks)

    def _next_commit(self) -> Commit:
        marks = {worker_id: known.processed
                 for worker_id, known in self.fleet.workers.items()}
        values = self.recorder._job_values()
        self.recorder._fleet_value(values)
        return Commit(values, marks)

    def _forget_ends(self, marks: dict[str, int]) -> None:
        for worker_id, mark in marks.items():
            worker = self.workers[worker_id]
            for ended in worker.ended:
                if (ended.number <= mark and ended.how == messages.DONE
                        and not self._lasts(ended.task)):
                    assert (self.listed_done.get(ended.task) != worker_id
                            or ended.task not in self.started_again), (
                        f"{ended.task} started after its end")
                    self.known_done.add(ended.task)
            worker.ended = [e for e in worker.ended if e.number > mark]

    def _lasts(self, task: messages.TaskId) -> bool:
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
        if how == "done" and not self._lasts(key[0]):
            self.done.add(key[0])
            self.listed_done[key[0]] = worker.entry.worker_id

    @stateful.rule(data=strategies.data(), told=strategies.booleans(),
                   happens=SELDOM)
    def crash(self, data: strategies.DataObject, told: bool,
              happens: bool) -> None:
        if not happens:
            return
        worker = data.draw(strategies.sampled_from(self._alive()))
        self._end_worker(worker)
        if told and self.acting:
            crashes.worker_refuses(self.fleet, worker.entry.worker_id)

    def _end_worker(self, worker: SimulatedWorker) -> None:
        worker.alive = False
        worker.runs.clear()
        worker.ended.clear()
        self.listed_done = {
            task: worker_id for task, worker_id in self.listed_done.items()
            if worker_id != worker.entry.worker_id}
        place = int(worker.entry.address.split(".")[3].split(":")[0])
        self._new_worker(place)

    @stateful.precondition(lambda self: not self.silent)
    @stateful.rule(step=strategies.sampled_from(
        [STEPS[0][0], STEPS[2][0], STEPS[3][0]]))
    def submit_one_that_crashes(self, step: messages.Step) -> None:
        self._submit(fleetfakes.job(f"j{len(self.jobs)}", step, spec=CRASHES))

    @stateful.precondition(lambda self: self.unnoticed and self.acting)
    @stateful.rule()
    def crashes_are_noticed(self) -> None:
        for worker_id in list(self.unnoticed):
            self.fleet.worker_silent(worker_id, "closed")
            crashes.worker_refuses(self.fleet, worker_id)
            del self.unnoticed[worker_id]

    @stateful.precondition(lambda self: self.acting and not self.silent
                           and any(job.spec == CRASHES for job in self.jobs))
    @stateful.rule(cycles=strategies.integers(4, 12),
                   change_at=strategies.integers(0, 24),
                   number=strategies.integers(0, PROCESSES - 1), fate=FATES)
    def crashes_in_series(self, cycles: int, change_at: int, number: int,
                          fate: str) -> None:
        """Let tasks crash workers, with an owner that changes meanwhile."""
        for cycle in range(cycles):
            if self.silent or not self.acting:
                return
            if cycle == change_at:
                self._take_over(number, fate)
            self.calm()
            if self.acting and cycle + 1 != change_at:
                self.crashes_are_noticed()
            self.pass_time(0.3)

    @stateful.rule(data=strategies.data(),
                   cpu=strategies.sampled_from(ROOMS))
    def room_changes(self, data: strategies.DataObject, cpu: int) -> None:
        self._change_room(
            data.draw(strategies.sampled_from(self._alive())), cpu)

    def _change_room(self, worker: SimulatedWorker, cpu: int) -> None:
        worker.entry = dataclasses.replace(
            worker.entry, capacity=messages.Room(cpu, 16_000, 0))
        worker.rooms.append((self.now, cpu))

    @stateful.precondition(lambda self: self.acting and not self.silent)
    @stateful.rule(cpu=strategies.sampled_from(ROOMS), happens=SELDOM)
    def rooms_change_in_a_silence(self, cpu: int, happens: bool) -> None:
        """Let runs end on workers whose new room nobody can read."""
        if not happens:
            return
        self.submit(STEPS[4])
        self.store_falls_silent(True)
        for worker in self._alive():
            self._change_room(worker, cpu)
        while self.acting:
            self.pass_time(1.0)
            ends = [(w, key) for w in self._alive() for key in w.runs]
            for worker, key in ends[:1]:
                worker.end(key, "stopped")
            self._hear(self._alive(), [])

    @stateful.precondition(lambda self: not self.silent)
    @stateful.rule(number=strategies.integers(0, PROCESSES - 1),
                   fate=FATES, happens=SELDOM)
    def take_over(self, number: int, fate: str, happens: bool) -> None:
        """Let a process take the next term, at once if there is no owner."""
        if self.acting and not happens:
            return
        if self.acting:
            self._step_down()
            self.process.release(self.fleet.fence)
        self._take_over(number, fate)

    @stateful.invariant()
    def only_tasks_that_crash_workers_are_given_up(self) -> None:
        for state in self.fleet.jobs.values():
            assert ("crashed" not in state.reason
                    or state.job.spec == CRASHES), state.reason

    @stateful.invariant()
    def room_is_accounted_for(self) -> None:
        for worker in self.fleet.workers.values():
            assert worker.used.cpu == sum(
                room.cpu for room in worker.reserved.values())


FleetMachine.TestCase.settings = hypothesis.settings(
    max_examples=250, stateful_step_count=60, deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck))
TestFleetMachine = FleetMachine.TestCase
