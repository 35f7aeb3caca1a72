"""Hold one fleet of workers: its jobs, and what runs where.

Nothing here waits or calls out: orders leave through a callback.  What comes
in changes it through reports.py and answers.py, and rounds.py places tasks;
all of these, and the methods without a note on it, take the lock themselves.
"""

import math
import threading
import typing

from sycamorefield import events
from sycamorefield.fleet import advice
from sycamorefield.fleet import clock
from sycamorefield.fleet import demand
from sycamorefield.fleet import interference
from sycamorefield.fleet import messages
from sycamorefield.fleet import pacer
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.fleet import progress
from sycamorefield.fleet import runlog
from sycamorefield.fleet import shortage
from sycamorefield.fleet import trials
from sycamorefield.fleet import workerstate

Order = messages.StartOrder | messages.StopOrder | messages.PaceOrder
Send = typing.Callable[[str, Order], None]

# An owner without the store gives leases only while most workers took a
# call of its within this time: a successor would have fenced them by then.
OBEYED_S = 1.5
# An entry goes after three heartbeats of about 1.1 s without one and a lag of
# 0.8 s; until then the list names a worker that is known to have ended.
ENTRY_LAPSES_S = 5.0
# The room that a worker says it has counts as soon as 3 s after it shrank;
# with an older list nothing more is started.
LIST_OLD_S = 2.8
# A worker that leaves is listed as draining for at least this long before.
DRAIN_NOTICE_S = 2.0
# How long ends of workers are remembered to tell failures of racks.
ENDS_REMEMBERED_S = 5.0


class EndedWorker(typing.NamedTuple):
    """Hold the rack of a worker that ended without notice, and when."""

    rack: str
    at: float


class FleetState:
    """Hold jobs and workers, and order runs to start and stop."""

    def __init__(self, fence: int, hold_max_ms: float, send: Send,
                 configuration: typing.Callable[[], messages.Configuration],
                 policy: policy_mod.Policy = policy_mod.Policy()) -> None:
        self.policy = policy
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
        # Each list of workers in use that a successor may find stored: more
        # than one while it isn't known which of them is.
        self.in_use: list[frozenset[str]] = [frozenset()]
        # When workers that may still be listed were known to have ended.
        self.ended_at: dict[str, float] = {}
        # Workers that ended without having announced it.
        self.ended_lately: list[EndedWorker] = []
        # When the list of workers was read last, and since when it has been
        # read often enough to show each drain.
        self.listed_at = math.inf
        self.saw_drains_since = -math.inf
        self.trials = trials.Trials()
        # Whether the store has not answered for longer than the owner's
        # lease: a successor may exist.
        self.without_store = False
        # Until when the owner's lease certainly holds, on clock.now().
        self.leased_until = math.inf
        self.learnt = interference.Interference(
            policy.learn_weights, policy.limit_tails, policy.follow_slopes)
        self.demand = demand.Demand()
        self.pacer = pacer.Pacer(self.learnt, send, policy.pace_filling)
        self.run_log = runlog.RunLog()
        self.advice = advice.AdviceBook(None)
        self.advice.answered = self._answered
        # What found no room, and what found no runs to stop for room.
        self.no_room = shortage.Misses()
        self.no_victims = shortage.Misses()
        # The version of the configuration that the last round went by.
        self.placed_with = 0
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
            state.known_at = clock.now()
            if created <= self.fence:
                state.run_base = self.fence * progress.RUN_GAP
            self.jobs[job.job_id] = state
            self.active[job.job_id] = state
            self.notify()
            return state

    def ours_alone(self, state: progress.JobState) -> bool:
        """Tell whether no successor can have started tasks of a job.

        What goes wrong without: an owner whose lease ended unnoticed still
        sees new jobs in the store.  Its successor starts those that are
        newer than its own claim without asking all workers first, so both
        start them, and a task runs twice.  A job known while the lease held
        is older than any successor's claim, and a successor holds such jobs
        back until each worker in use has reported or its leases are over.
        """
        return (state.created <= self.fence
                or state.known_at <= self.leased_until)

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
            self.settle(state)
            self.notify()

    def settle(self, state: progress.JobState) -> None:
        """End a job if its tasks say so, and stop what runs of it."""
        if not state.settle():
            return
        events.emit(events.JOB_ENDED, job=state.job.job_id,
                    state=state.state, reason=state.reason)
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
        worker = self.workers.get(task.worker_id)
        if worker is not None:
            worker.stopping.add((task.task, task.run))
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
        """Take up a worker or its new entry; tell if it is a new one.

        Of two entries at one address either may be the old one, which stays
        listed for some seconds after its worker was born again.  Only the
        address can tell: it answers calls for the other incarnation as such.
        Taken for gone by mistake, a worker's runs would be started twice.
        """
        with self.lock:
            if entry.worker_id in self.ended_at:
                return False
            known = self.workers.get(entry.worker_id)
            if known is not None:
                if entry != known.entry:
                    known.entry = entry
                    known.touch()
                known.listed = True
                return False
            worker = workerstate.WorkerState(
                entry, self.policy.limit_unsent_starts)
            worker.enrolled = all(entry.worker_id in listed
                                  for listed in self.in_use)
            self.workers[entry.worker_id] = worker
            events.emit(events.WORKER_JOINED, worker=entry.worker_id,
                        address=entry.address)
            self.notify()
            return True

    def unlist(self, listed: set[str], read_at: float) -> None:
        """Note which workers are no longer listed as of a time."""
        with self.lock:
            if not 0 <= read_at - self.listed_at <= DRAIN_NOTICE_S:
                self.saw_drains_since = read_at
            self.listed_at = read_at
            for worker_id, worker in self.workers.items():
                worker.listed = worker_id in listed
                worker.was_listed |= worker.listed

    def saw_drains(self, since: float, now: float) -> bool:
        """Tell whether a drain since a time would be known by now."""
        return (self.saw_drains_since <= since
                and now - self.listed_at <= DRAIN_NOTICE_S)

    def will_store(self, worker_ids: typing.Iterable[str]) -> None:
        """Note a list of workers in use that may be stored from now on."""
        with self.lock:
            self.in_use.append(frozenset(worker_ids))

    def enrol(self, worker_ids: typing.Iterable[str]) -> None:
        """Let workers be used that are on the list that is now stored.

        Successors will know to ask them.
        """
        with self.lock:
            self.in_use = [frozenset(worker_ids)]
            for worker_id in self.in_use[0]:
                if worker_id in self.workers:
                    self.workers[worker_id].enrolled = True
            self.notify()

    def expect(self, worker_ids: typing.Iterable[str],
               until: float) -> None:
        """Wait for workers on the list that an earlier owner stored."""
        self.unheard = {worker_id: until for worker_id in worker_ids}
        self.expected = len(self.unheard)
        self.in_use = [frozenset(self.unheard)]

    def obeyed_by_most(self, now: float) -> bool:
        """Tell whether most workers lately took calls under our fence.

        Most of the stored list, as a successor counts them: of those that
        this owner still knows a minority that is cut off with it would be
        all, once it has given up the others.
        """
        with self.lock:
            fresh = {worker_id for worker_id, worker in self.workers.items()
                     if now - worker.obeyed_at <= OBEYED_S}
            return all(2 * len(fresh & listed) > len(listed)
                       for listed in self.in_use)

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
            worker.silent_at = clock.now()
            events.emit(events.WORKER_UNRESPONSIVE, worker=worker_id,
                        runs=len(worker.reserved), reason=reason)

    def worker_dead(self, worker_id: str, reason: str) -> None:
        """Note that this incarnation of a worker is certainly over."""
        with self.lock:
            self.unheard.pop(worker_id, None)
            self.ended_at[worker_id] = clock.now()
            worker = self.workers.get(worker_id)
            if worker is not None:
                self._gone(worker, reason)
            self.notify()

    def was_used(self, worker_id: str) -> bool:
        """Tell whether a worker once listened: it reported, or had runs."""
        with self.lock:
            worker = self.workers.get(worker_id)
            return worker_id in self.unheard or (
                worker is not None and worker.reported)

    def _gone(self, worker: workerstate.WorkerState, reason: str) -> None:
        worker_id = worker.entry.worker_id
        now = clock.now()
        events.emit(
            events.WORKER_RUNS_LOST, worker=worker_id, reason=reason,
            rack=worker.entry.rack(), listed=worker.listed,
            draining=worker.entry.draining, lost=len(worker.reserved),
            silent_s=(round(now - worker.silent_at, 3) if worker.silent
                      else 0.0),
            runs=runlog.lost_rows(((task, run) for (_, run), task
                                   in worker.tasks.items()), now))
        if not worker.entry.draining:
            self.ended_lately.append(EndedWorker(
                worker.entry.rack(),
                worker.silent_at if worker.silent else now))
        self.workers.pop(worker_id, None)
        self.unheard.pop(worker_id, None)
        for (_, run), task in worker.tasks.items():
            if task.worker_id == worker_id and task.run == run:
                task.idle()
        worker.reserved.clear()
        self.changed = True

    def expire(self, now: float) -> None:
        """Give up on workers whose leases have certainly ended.

        Only while the owner's own lease holds: a successor would renew the
        leases of what runs on the workers that it reaches.
        """
        with self.lock:
            alone = now <= self.leased_until
            for worker in list(self.workers.values()):
                if worker.silent and alone and worker.lease_over(now):
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
            self.ended_lately = [
                ended for ended in self.ended_lately
                if now - ended.at <= ENDS_REMEMBERED_S]
            self._shorten_waits(now)
            for worker_id, until in list(self.unheard.items()):
                if now >= until and alone:
                    del self.unheard[worker_id]
                    events.emit(events.WORKER_RUNS_LOST, worker=worker_id,
                                reason="leases of the earlier owner over")
                    self.changed = True
            if self.changed:
                self.notify()

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

    # Looking up

    def find(self, task: messages.TaskId
             ) -> tuple[progress.JobState, progress.TaskState] | None:
        """Return a task and its job, or None if there is no such task."""
        job = self.jobs.get(task.job_id)
        state = job.find(task) if job is not None else None
        if job is None or state is None:
            return None
        return job, state

    def find_on(self, worker_id: str, task: messages.TaskId
                ) -> tuple[workerstate.WorkerState,
                           progress.TaskState] | None:
        """Return the worker and the task that an order was about."""
        worker = self.workers.get(worker_id)
        found = self.find(task)
        if worker is None or found is None:
            return None
        return worker, found[1]

    @staticmethod
    def is_current(worker: workerstate.WorkerState,
                   task: progress.TaskState, run: int) -> bool:
        """Tell whether a run on a worker is the one its task counts on."""
        return (task.phase != progress.IDLE and task.run == run
                and task.worker_id == worker.entry.worker_id)

    # Orders to start

    def start(self, state: progress.JobState, task: progress.TaskState,
              worker: workerstate.WorkerState, run: int,
              ticket: str = "") -> None:
        """Order a run of a task on a worker."""
        if task.phase != progress.IDLE or task.done or state.final():
            events.emit(events.INVARIANT_BROKEN, task=str(task.task),
                        rule="one run of a task at a time")
            return
        if not self.ours_alone(state):
            events.emit(events.INVARIANT_BROKEN, task=str(task.task),
                        rule="no start of what a successor may have started")
            return
        task.phase = progress.STARTING
        task.run = task.last_run = run
        state.note_ran(task)
        task.worker_id = worker.entry.worker_id
        task.started = task.moved_at = 0.0
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
            self.notify()

    def notify(self) -> None:
        """Call for a round of placing; the lock is held."""
        self.changed = True
        self.wake.notify_all()
