"""Decide for one fleet of workers: what runs where, and what has ended.

Nothing here waits or calls out: orders leave through a callback, and
reports and answers come in as calls.  All methods take the lock themselves.
"""

import threading
import typing

from sycamorefield import events
from sycamorefield.fleet import advice
from sycamorefield.fleet import clock
from sycamorefield.fleet import interference
from sycamorefield.fleet import messages
from sycamorefield.fleet import ordering
from sycamorefield.fleet import pacer
from sycamorefield.fleet import progress
from sycamorefield.fleet import rounds
from sycamorefield.fleet import runlog
from sycamorefield.fleet import slowness
from sycamorefield.fleet import surroundings
from sycamorefield.fleet import workerstate

Order = messages.StartOrder | messages.StopOrder | messages.PaceOrder
Send = typing.Callable[[str, Order], None]

# A worker that turned a start away gets none for this long.
UNHEALTHY_S = 2.0
NO_ROOM_S = 0.5
# A task that keeps failing at once is not restarted faster than this.
RESTART_PAUSE_S = 0.2
# An owner without the store gives leases only while most workers took a
# call of its within this time: a successor would have fenced them by then.
OBEYED_S = 1.5
# A worker forgets and lists at most this many ends in one report.
ENDS_PER_REPORT = 500
# An unexpected run is told to stop again when it is still there after this.
STOP_AGAIN_S = 1.0
# An entry goes after three heartbeats of about 1.1 s without one and a lag of
# 0.8 s; until then the list names a worker that is known to have ended.
ENTRY_LAPSES_S = 5.0
# Marks a filling run of the previous owner, whose share is not known.
UNKNOWN_PACE = -1


class FleetState:
    """Hold jobs and workers, and place tasks."""

    def __init__(self, fence: int, hold_max_ms: float, send: Send,
                 configuration: typing.Callable[[], messages.Configuration]
                 ) -> None:
        self.fence = fence
        self.hold_max_ms = hold_max_ms
        self.send = send
        self.configuration = configuration
        self.lock = threading.RLock()
        self.wake = threading.Condition(self.lock)
        self.jobs: dict[str, progress.JobState] = {}
        self.active: dict[str, progress.JobState] = {}
        self.workers: dict[str, workerstate.WorkerState] = {}
        # Workers that an earlier owner used and that have not reported yet,
        # with the time from which nothing can run there any more.
        self.unheard: dict[str, float] = {}
        self.expected = 0
        # When workers that may still be listed were known to have ended.
        self.ended_at: dict[str, float] = {}
        # Whether the store has not answered for longer than the owner's
        # lease: a successor may exist.
        self.without_store = False
        self.learnt = interference.Interference()
        self.pacer = pacer.Pacer(self.learnt, send)
        self.run_log = runlog.RunLog()
        self.advice = advice.AdviceBook(None)
        self.advice.answered = self._answered
        self.changed = False
        self.commit_now = False

    # Jobs

    def add_job(self, job: messages.Job, created: int) -> progress.JobState:
        """Take up a stored job; again for the same job changes nothing."""
        with self.lock:
            state = self.jobs.get(job.job_id)
            if state is not None:
                return state
            state = progress.JobState(job, created)
            if created <= self.fence:
                state.run_base = progress.RUN_GAP
            self.jobs[job.job_id] = state
            self.active[job.job_id] = state
            self._notify()
            return state

    def drop_final(self, state: progress.JobState) -> None:
        """Stop planning for a job whose stored state is final."""
        self.active.pop(state.job.job_id, None)

    def cancel(self, job_id: str) -> None:
        """Cancel a job unless it has ended; stop what runs of it."""
        with self.lock:
            state = self.jobs.get(job_id)
            if state is None or state.cancelled or state.final():
                return
            state.cancelled = True
            self._settle(state)
            self._notify()

    def _settle(self, state: progress.JobState) -> None:
        if not state.settle():
            return
        events.emit(events.JOB_ENDED, job=state.job.job_id,
                    state=state.state)
        self.active.pop(state.job.job_id, None)
        self.advice.forget(state.job.job_id)
        self.commit_now = True
        for task in state.all_tasks():
            if task.phase in (progress.STARTING, progress.RUNNING):
                self.stop_run(task, "job " + state.state)

    def stop_run(self, task: progress.TaskState, reason: str) -> None:
        """Order the current run of a task to stop."""
        events.emit(events.RUN_STOPPED, task=str(task.task), run=task.run,
                    worker=task.worker_id, reason=reason)
        task.phase = progress.STOPPING
        self.send(task.worker_id, messages.StopOrder(task.task, task.run))

    def waiting(self) -> dict[str, int]:
        """Return how many jobs of each queue no task has started of."""
        counts: dict[str, int] = {}
        with self.lock:
            for state in self.active.values():
                if state.job.start_at_ms or self._begun(state):
                    continue
                counts[state.job.queue] = counts.get(state.job.queue, 0) + 1
        return counts

    @staticmethod
    def _begun(state: progress.JobState) -> bool:
        """Tell whether a worker has begun a task, as far as is known.

        An order may wait to be sent, or get no answer.
        """
        return any(t.done or t.begun or t.failed_runs or t.saved
                   for t in state.all_tasks())

    # Workers

    def add_worker(self, entry: messages.WorkerEntry) -> bool:
        """Take up a worker or its new entry; tell if it is a new one."""
        with self.lock:
            if entry.worker_id in self.ended_at:
                return False
            known = self.workers.get(entry.worker_id)
            if known is not None:
                known.entry = entry
                known.listed = True
                return False
            for other in list(self.workers.values()):
                if other.entry.address == entry.address:
                    self._gone(other, "another incarnation at its address")
            self.workers[entry.worker_id] = workerstate.WorkerState(entry)
            events.emit(events.WORKER_JOINED, worker=entry.worker_id,
                        address=entry.address)
            self._notify()
            return True

    def unlist(self, listed: set[str]) -> None:
        """Note which workers are no longer listed."""
        with self.lock:
            for worker_id, worker in self.workers.items():
                worker.listed = worker_id in listed

    def enrol(self, worker_ids: typing.Iterable[str]) -> None:
        """Let workers be used that successors will know to ask."""
        with self.lock:
            for worker_id in worker_ids:
                if worker_id in self.workers:
                    self.workers[worker_id].enrolled = True
            self._notify()

    def expect(self, worker_ids: typing.Iterable[str],
               until: float) -> None:
        """Wait for workers that an earlier owner may have used."""
        self.unheard = {worker_id: until for worker_id in worker_ids}
        self.expected = len(self.unheard)

    def obeyed_by_most(self, now: float) -> bool:
        """Tell whether most workers lately took calls under our fence."""
        with self.lock:
            fresh = sum(1 for w in self.workers.values()
                        if now - w.obeyed_at <= OBEYED_S)
            return 2 * fresh > len(self.workers)

    def worker_silent(self, worker_id: str, reason: str,
                      closed: bool = False) -> None:
        """Note that a worker did not answer, or closed the connection."""
        with self.lock:
            worker = self.workers.get(worker_id)
            if worker is None:
                return
            worker.closed |= closed and worker.entry.draining
            if worker.silent:
                return
            worker.silent = True
            events.emit(events.WORKER_SILENT, worker=worker_id,
                        runs=len(worker.reserved), reason=reason)

    def worker_dead(self, worker_id: str, reason: str) -> None:
        """Note that this incarnation of a worker is certainly over."""
        with self.lock:
            self.unheard.pop(worker_id, None)
            self.ended_at[worker_id] = clock.now()
            worker = self.workers.get(worker_id)
            if worker is not None:
                self._gone(worker, reason)
            self._notify()

    def was_used(self, worker_id: str) -> bool:
        """Tell whether a worker once listened: it reported, or had runs."""
        with self.lock:
            worker = self.workers.get(worker_id)
            return worker_id in self.unheard or (
                worker is not None and worker.reported)

    def _gone(self, worker: workerstate.WorkerState, reason: str) -> None:
        worker_id = worker.entry.worker_id
        events.emit(events.WORKER_GONE, worker=worker_id, reason=reason,
                    runs=len(worker.reserved))
        self.workers.pop(worker_id, None)
        self.unheard.pop(worker_id, None)
        for (_, run), task in worker.tasks.items():
            if task.worker_id == worker_id and task.run == run:
                task.idle()
        worker.reserved.clear()
        self.changed = True

    def expire(self, now: float) -> None:
        """Give up on workers whose leases have certainly ended."""
        with self.lock:
            for worker in list(self.workers.values()):
                if worker.silent and worker.lease_over(now):
                    self._gone(worker, "lease over")
                elif worker.silent and worker.closed and not worker.listed:
                    # It announced its leave, closed its connections and
                    # took itself off the list: it has exited.
                    self._gone(worker, "left as announced")
                elif (worker.silent and not worker.listed
                        and not worker.reserved
                        and worker.entry.worker_id not in self.unheard):
                    self._gone(worker, "neither listed nor answering")
            for worker_id, at in list(self.ended_at.items()):
                if now - at > ENTRY_LAPSES_S:
                    del self.ended_at[worker_id]
            self._shorten_waits(now)
            for worker_id, until in list(self.unheard.items()):
                if now >= until:
                    del self.unheard[worker_id]
                    events.emit(events.WORKER_GONE, worker=worker_id,
                                reason="leases of the earlier owner over")
                    self.changed = True
            if self.changed:
                self._notify()

    def _shorten_waits(self, now: float) -> None:
        """Wait less for the last workers once most have reported.

        An earlier owner without the store gives leases only while most
        workers obey it, and most obey us now.
        """
        if not self.unheard or 2 * len(self.unheard) >= self.expected:
            return
        until = now + OBEYED_S + workerstate.LEASE_OVER_S
        for worker_id, before in self.unheard.items():
            self.unheard[worker_id] = min(before, until)

    # Reports

    def on_report(self, worker_id: str, report: messages.WorkerReport,
                  sent: float, now: float) -> bool:
        """Take in a report; tell if it holds ends not seen before."""
        with self.lock:
            worker = self.workers.get(worker_id)
            if worker is None:
                return False
            worker.heard(report.clock_ms, now)
            worker.obeyed_at = max(worker.obeyed_at, sent)
            # Without news nothing waits for a round: figures alone, a few
            # hundred reports a second, change no more than the next tick
            # takes in, and a round for each left no time for anything else.
            news = worker.silent or not worker.reported
            if worker.silent:
                events.emit(events.WORKER_REGAINED, worker=worker_id)
                worker.silent = worker.closed = False
            if not worker.reported:
                # The earlier owner may have given leases up to the longest.
                worker.granted_ms = max(
                    worker.granted_ms, report.clock_ms + min(
                        workerstate.LEASE_MS, self.hold_max_ms))
            new_ends = False
            for ended in report.ended:
                if ended.number > worker.processed:
                    worker.processed = ended.number
                    new_ends = True
                    self._ended(worker, ended, now)
            for row in report.running:
                self._running(worker, row, now)
            if len(report.ended) < ENDS_PER_REPORT:
                news |= self._missing(worker, report, sent)
            worker.reported = True
            self.unheard.pop(worker_id, None)
            self.pacer.take(worker, report, now)
            if news or new_ends:
                self._notify()
            return new_ends

    def _find(self, task: messages.TaskId
              ) -> tuple[progress.JobState, progress.TaskState] | None:
        job = self.jobs.get(task.job_id)
        state = job.find(task) if job is not None else None
        if job is None or state is None:
            return None
        return job, state

    def _find_on(self, worker_id: str, task: messages.TaskId
                 ) -> tuple[workerstate.WorkerState,
                            progress.TaskState] | None:
        """Return the worker and the task that an order was about."""
        worker = self.workers.get(worker_id)
        found = self._find(task)
        if worker is None or found is None:
            return None
        return worker, found[1]

    @staticmethod
    def _is_current(worker: workerstate.WorkerState,
                    task: progress.TaskState, run: int) -> bool:
        return (task.phase != progress.IDLE and task.run == run
                and task.worker_id == worker.entry.worker_id)

    def _ended(self, worker: workerstate.WorkerState,
               ended: messages.EndedTask, now: float) -> None:
        found = self._find(ended.task)
        self.run_log.add_ended(ended.task, ended.run,
                               worker.entry.worker_id, ended.how)
        if found is None:
            return
        job, task = found
        current = self._is_current(worker, task, ended.run)
        worker.release((ended.task, ended.run), task.step)
        task.last_run = max(task.last_run, ended.run)
        task.begun = True
        if current:
            task.idle()
        if task.done or job.final():
            return
        if ended.how == messages.DONE:
            self._done(job, task, worker)
        elif ended.how == messages.FAILED:
            self._failed(job, task, worker, ended.run, now)
        elif ended.saved:
            task.saved = ended.saved
            job.dirty = True
        self._settle(job)

    def _done(self, job: progress.JobState, task: progress.TaskState,
              worker: workerstate.WorkerState) -> None:
        worker.succeeded()
        if task.step.perpetual:
            return
        place = (task.task.occurrence, task.task.step)
        members = job.tasks[place] if task.step.gang else [task]
        for member in members:
            member.done = True
            member.saved = ""
            if member is task and member.phase in (progress.STARTING,
                                                   progress.RUNNING):
                self.stop_run(member, "done elsewhere")
        job.dirty = True

    def _failed(self, job: progress.JobState, task: progress.TaskState,
                worker: workerstate.WorkerState, run: int,
                now: float) -> None:
        task.avoid.add(worker.entry.worker_id)
        if worker.failed(now):
            events.emit(events.WORKER_AVOIDED, failures=worker.failures,
                        worker=worker.entry.worker_id)
        if task.step.perpetual:
            task.not_before = now + RESTART_PAUSE_S
            return
        task.failed_runs.add(run)
        job.dirty = True

    def _running(self, worker: workerstate.WorkerState,
                 row: messages.RunningTask, now: float) -> None:
        found = self._find(row.task)
        if found is None:
            self._unexpected(worker, row, "no such job", now, None)
            return
        job, task = found
        task.last_run = max(task.last_run, row.run)
        task.begun = True
        worker.reserve((row.task, row.run), task.step, task)
        if self._is_current(worker, task, row.run):
            if row.percent != task.percent:
                task.percent = row.percent
            if row.saved:
                task.saved = row.saved
            if not task.stuck and slowness.stuck(task, now):
                task.stuck = True
                self._slow(worker, task, now)
            if task.phase == progress.STARTING:
                task.phase = progress.RUNNING
                task.moved_at = now
            return
        if job.final() or task.done:
            self._unexpected(worker, row, "already over", now, task)
        elif task.phase == progress.IDLE:
            self._adopt(worker, task, row, now)
        else:
            self._unexpected(worker, row, "runs elsewhere", now, task)

    def _slow(self, worker: workerstate.WorkerState,
              task: progress.TaskState, now: float) -> None:
        """Avoid a worker on which several tasks make no progress."""
        task.avoid.add(worker.entry.worker_id)
        stuck = sum(1 for other in worker.tasks.values() if other.stuck)
        if stuck >= slowness.STUCK_TASKS and worker.avoid_until <= now:
            worker.avoid_until = now + workerstate.AVOID_S
            events.emit(events.WORKER_AVOIDED, stuck=stuck,
                        worker=worker.entry.worker_id)

    def _adopt(self, worker: workerstate.WorkerState,
               task: progress.TaskState, row: messages.RunningTask,
               now: float) -> None:
        task.phase = progress.RUNNING
        task.ran = task.step.perpetual
        task.run = row.run
        task.worker_id = worker.entry.worker_id
        task.saved = row.saved or task.saved
        task.percent = row.percent
        task.started = task.moved_at = now
        if task.step.fills:
            task.pace = UNKNOWN_PACE

    def _unexpected(self, worker: workerstate.WorkerState,
                    row: messages.RunningTask, reason: str, now: float,
                    task: progress.TaskState | None) -> None:
        if task is not None and now - task.stop_sent < STOP_AGAIN_S:
            return
        if task is not None:
            task.stop_sent = now
        events.emit(events.RUN_UNEXPECTED, task=str(row.task), run=row.run,
                    worker=worker.entry.worker_id, reason=reason)
        self.send(worker.entry.worker_id,
                  messages.StopOrder(row.task, row.run))

    def _missing(self, worker: workerstate.WorkerState,
                 report: messages.WorkerReport, sent: float) -> bool:
        """Free runs that neither run nor ended; tell if there were any.

        An order without an answer may never have arrived.  It counts as
        confirmed once its stop was answered; a report asked for after that
        and without the run shows that it never ran.
        """
        present = {(row.task, row.run) for row in report.running}
        freed = False
        for run, task in list(worker.tasks.items()):
            if run in present:
                continue
            if self._is_current(worker, task, run[1]):
                if (task.phase == progress.STARTING
                        or not 0 < task.moved_at < sent):
                    continue
                task.idle()
                events.emit(events.RUN_VANISHED, task=str(run[0]),
                            run=run[1], worker=worker.entry.worker_id)
            worker.release(run, task.step)
            freed = True
        return freed

    # Answers to orders

    def wanted(self, worker_id: str, order: messages.StartOrder) -> bool:
        """Tell whether a start that waited to be sent should still go.

        If not, it is taken back: it was never sent.
        """
        with self.lock:
            found = self._find(order.task)
            worker = self.workers.get(worker_id)
            if found is None or worker is None:
                return False
            job, task = found
            if worker.start_sent((order.task, order.run)):
                self._notify()
            if (self._is_current(worker, task, order.run)
                    and task.phase == progress.STARTING
                    and not job.final() and not worker.silent
                    and not worker.entry.draining):
                return True
            worker.release((order.task, order.run), task.step)
            if self._is_current(worker, task, order.run):
                task.idle()
            self._notify()
            return False

    def on_started(self, worker_id: str, order: messages.StartOrder,
                   clock_ms: float, now: float) -> None:
        """Note that a worker carried out a start."""
        with self.lock:
            found = self._find_on(worker_id, order.task)
            if found is None:
                return
            worker, task = found
            worker.heard(clock_ms, now)
            worker.start_sent((order.task, order.run))
            task.begun = True
            if self._is_current(worker, task, order.run):
                task.moved_at = now
                if task.phase == progress.STARTING:
                    task.phase = progress.RUNNING
                    task.started = now

    def on_rejected(self, worker_id: str, order: messages.StartOrder,
                    reason: str, now: float) -> None:
        """Note that a worker did not carry out a start."""
        events.emit(events.RUN_REJECTED, task=str(order.task),
                    run=order.run, worker=worker_id, reason=reason)
        with self.lock:
            found = self._find_on(worker_id, order.task)
            if found is None:
                return
            worker, task = found
            worker.release((order.task, order.run), task.step)
            if reason == surroundings.NO_ROOM:
                worker.avoid_until = now + NO_ROOM_S
            elif reason == surroundings.NO_TICKET:
                self.advice.drop(task.task.step_id(), worker_id)
            elif reason == surroundings.UNHEALTHY:
                worker.avoid_until = now + UNHEALTHY_S
            elif reason == surroundings.OLD_RUN:
                task.last_run = max(task.last_run,
                                    order.run) + progress.RUN_GAP
            else:
                task.not_before = now + UNHEALTHY_S
            if self._is_current(worker, task, order.run):
                task.idle()
            self._notify()

    def on_uncertain(self, worker_id: str, order: messages.StartOrder
                     ) -> None:
        """Stop a run whose start got no answer, before it runs elsewhere."""
        with self.lock:
            found = self._find_on(worker_id, order.task)
            if found is None:
                return
            worker, task = found
            if self._is_current(worker, task, order.run):
                self.stop_run(task, "start got no answer")

    def on_stopped(self, worker_id: str, order: messages.StopOrder,
                   now: float) -> None:
        """Note that a worker has taken a stop: the run cannot begin now."""
        with self.lock:
            found = self._find_on(worker_id, order.task)
            if found is not None and self._is_current(*found, order.run):
                found[1].moved_at = now

    # Placing

    def place(self, now: float, wall_ms: float) -> None:
        """Start every task whose turn has come and that has room."""
        with self.lock:
            self.changed = False
            queues = self.configuration().by_name()
            ranked = ordering.ranked(
                self.active.values(), queues, wall_ms, now)
            usable = [w for w in self.workers.values() if w.usable(now)]
            round_ = rounds.Round(self, queues, usable, now)
            for state in ranked:
                if state.created <= self.fence and self.unheard:
                    continue
                for occurrence in range(state.job.occurrences()):
                    if state.job.due_ms(occurrence) > wall_ms:
                        break
                    state.occurrence(occurrence)
                    for step in range(len(state.job.steps)):
                        round_.place_step(state, occurrence, step)
            round_.move_stalled()

    def start(self, state: progress.JobState, task: progress.TaskState,
              worker: workerstate.WorkerState, run: int,
              ticket: str = "") -> None:
        """Order a run of a task on a worker."""
        if task.phase != progress.IDLE or task.done or state.final():
            events.emit(events.INVARIANT_BROKEN, task=str(task.task),
                        rule="one run of a task at a time")
            return
        task.phase = progress.STARTING
        task.run = task.last_run = run
        if task.step.perpetual and not task.ran:
            # A successor must know which tasks serve somebody already.
            task.ran = state.dirty = True
        task.worker_id = worker.entry.worker_id
        task.moved_at = 0.0
        task.percent = 0
        task.pace = 100
        worker.reserve((task.task, run), task.step, task)
        worker.unsent.add((task.task, run))
        if not worker.entry.capacity.holds(worker.used):
            events.emit(events.INVARIANT_BROKEN, task=str(task.task),
                        worker=task.worker_id, rule="room of a worker")
        self.run_log.add_ordered(task.task, run, task.worker_id)
        self.send(task.worker_id, messages.StartOrder(
            task.task, run, state.job.spec, task.saved, ticket))
        if task.step.fills:
            cores = task.step.room.cpu / 1000.0
            self.learnt.expect(worker.tails, task.step.image, cores)

    def _answered(self) -> None:
        with self.lock:
            self._notify()

    def _notify(self) -> None:
        self.changed = True
        self.wake.notify_all()
