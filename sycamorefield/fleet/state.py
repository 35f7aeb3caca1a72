"""Hold the state of one fleet: its jobs, its workers and the current runs.

Nothing here blocks on I/O: orders are handed to a callback.  Worker reports
and responses to orders are applied by reports.py and answers.py, and tasks
are placed by rounds.py.  These modules acquire the lock themselves, and so
do the methods below that use it; callers of the other methods hold it or run
before other threads start.
"""

import math
import threading
import typing

from sycamorefield import events
from sycamorefield.fleet import advice
from sycamorefield.fleet import awaitedworkers
from sycamorefield.fleet import callfences
from sycamorefield.fleet import clock
from sycamorefield.fleet import copies
from sycamorefield.fleet import crashrecords
from sycamorefield.fleet import demand
from sycamorefield.fleet import drains
from sycamorefield.fleet import endedjobs
from sycamorefield.fleet import endedlives
from sycamorefield.fleet import failures
from sycamorefield.fleet import freeable
from sycamorefield.fleet import headroom
from sycamorefield.fleet import heldworkers
from sycamorefield.fleet import interference
from sycamorefield.fleet import latestarts
from sycamorefield.fleet import learnedstate
from sycamorefield.fleet import messages
from sycamorefield.fleet import overdueholds
from sycamorefield.fleet import ownerterms
from sycamorefield.fleet import pacer
from sycamorefield.fleet import placement_cache
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.fleet import progress
from sycamorefield.fleet import quarantines
from sycamorefield.fleet import recentpeak
from sycamorefield.fleet import runlog
from sycamorefield.fleet import runtimes
from sycamorefield.fleet import silentworkers
from sycamorefield.fleet import suspicion
from sycamorefield.fleet import unwantedruns
from sycamorefield.fleet import victims
from sycamorefield.fleet import workerspeed
from sycamorefield.fleet import workerstate

Order = messages.StartOrder | messages.StopOrder | messages.PaceOrder
SendOrder = typing.Callable[[str, Order], None]

# An owner that cannot reach the store grants leases only while a majority of
# workers accepted a call from it within this period, in seconds: otherwise a
# successor may already have fenced them.
QUORUM_WINDOW_S = 1.5
# A reduced capacity of a worker becomes binding 3 s after it shrank.  No task
# is started on the basis of a worker list older than this, in seconds.
MAX_LIST_AGE_S = 2.8
# A worker is listed as draining for at least this long before it leaves.
DRAIN_NOTICE_S = 2.0


class FleetState:
    """Track jobs and workers, and issue orders to start and stop runs."""

    def __init__(self, fence: int, hold_max_ms: float, send: SendOrder,
                 configuration: typing.Callable[[], messages.Configuration],
                 policy: policy_mod.Policy = policy_mod.Policy(),
                 stop_costs: victims.StopCosts | None = None) -> None:
        self.policy = policy
        # None if settings don't state them.
        self.stop_costs = stop_costs
        self.fence = fence
        self.terms = ownerterms.OwnerTerms(fence)
        self.hold_max_ms = hold_max_ms
        self.send = send
        self.configuration = configuration
        self.lock = threading.RLock()
        self.round_requested = threading.Condition(self.lock)
        self.jobs: dict[str, progress.JobState] = {}
        self.active: dict[str, progress.JobState] = {}
        self.ended_jobs = endedjobs.EndedJobs()
        self.workers: dict[str, workerstate.WorkerState] = {}
        # Workers that a previous owner used and that have not reported to
        # this one yet, with the time at which their leases have expired.
        self.awaited_workers: dict[str, float] = {}
        self.awaited_total = 0
        # When this owner began to wait for them, or 0.
        self.awaited_since = 0.0
        # Whether the waits are those after reports of most of them.
        self.most_have_reported = False
        self.silent_workers = silentworkers.SilentWorkers()
        self.late_starts = latestarts.LateStarts()
        # Whether it is recorded for a successor how long leases may last, so
        # that no more are granted.
        self.leases_closed = False
        # The lists of workers in use that a successor may read from the
        # store: several while the outcome of a write is unknown.
        self.possible_worker_lists: list[frozenset[str]] = [frozenset()]
        self.ended_lives = endedlives.EndedLives()
        # The fences of calls to each worker, also after it was removed: the
        # same life may be added again.
        self.call_fences: dict[str, callfences.CallFences] = {}
        # When the worker list was last read, and since when it has been read
        # often enough not to miss a draining worker.
        self.list_read_at = math.inf
        self.drains_visible_since = -math.inf
        self.drains = drains.Drains(DRAIN_NOTICE_S)
        self.trials = quarantines.Quarantines()
        self.failures = failures.Failures(self.trials)
        self.crash_records = crashrecords.CrashRecords()
        # Whether the store has been unreachable for longer than the owner's
        # lease, so that a successor may exist.
        self.store_unreachable = False
        # Until when this owner certainly holds its lease, by clock.now().
        self.owner_lease_until = math.inf
        self.interference_model = interference.InterferenceModel(
            policy.learn_weights, policy.limit_tails, policy.follow_slopes,
            policy.forecast_recent_swing)
        self.recent_peak = recentpeak.RecentPeak(policy.keep_recent_peak)
        self.run_times = runtimes.RunTimeModel(policy.learn_run_times)
        self.demand = demand.DemandEstimator(
            self.run_times, self.recent_peak, policy.keep_wide_gaps)
        self.learned = learnedstate.LearnedState(
            fence, policy.keep_learned_state)
        self.learned.register(
            "run_times", self.run_times.encode, self.run_times.decode)
        self.learned.register(
            "demand", lambda: self.demand.encode(clock.now()),
            lambda value: self.demand.decode(value, clock.now()))
        self.learned.register(
            "recent_peak", self.recent_peak.encode, self.recent_peak.decode)
        self.copies = copies.Copies(policy.speculative_copies)
        self.worker_speeds = workerspeed.WorkerSpeeds(
            self.run_times, policy.learn_worker_speeds)
        self.learned.register(
            "worker_speeds", lambda: self.worker_speeds.encode(clock.now()),
            lambda value: self.worker_speeds.decode(value, clock.now()))
        self.pacer = pacer.Pacer(
            self.interference_model, send, policy.pace_filling)
        self.run_log = runlog.RunLog()
        self.unwanted_runs = unwantedruns.UnwantedRuns()
        self.advice = advice.AdviceCache(None)
        self.advice.on_answer = self._advice_arrived
        # Requests that fitted on no worker, and requests for which no runs
        # could be preempted.
        self.placement_misses = placement_cache.SearchCache()
        self.preemption_misses = placement_cache.SearchCache()
        self.freeable = freeable.FreeableCapacity(self.jobs)
        self.held_workers = heldworkers.HeldWorkers()
        self.overdue_holds = overdueholds.OverdueHolds()
        # The workers that the last round reserved for long-running tasks, and
        # the headroom that it required.
        self.reserved_workers: frozenset[str] = frozenset()
        self.headrooms: list[headroom.Headroom] = []
        # Whether a long-running task that is down fitted on no worker then.
        self.down_tasks_wait = False
        self.preemptions = victims.Preemptions()
        # The version of the configuration used in the last round.
        self.placed_config_version = 0
        self.round_needed = False
        self.commit_requested = False

    # Jobs

    def add_job(self, job: messages.Job,
                created_revision: int) -> progress.JobState:
        """Add a stored job; do nothing if it is already known."""
        with self.lock:
            state = self.jobs.get(job.job_id)
            if state is not None:
                return state
            state = progress.JobState(job, created_revision)
            state.known_at = clock.now()
            if created_revision <= self.fence:
                state.run_base = self.fence * progress.RUNS_PER_TERM
                state.taken_over = True
                state.owner_changes = self.terms.changes_since(
                    created_revision)
                state.earlier_starts_ms = (
                    clock.wall_ms()
                    + awaitedworkers.EARLIER_STARTS_S * 1000.0)
            self.jobs[job.job_id] = state
            self.active[job.job_id] = state
            self.request_round()
            return state

    def may_start(self, state: progress.JobState) -> bool:
        """Return whether no successor can have started tasks of a job.

        An owner that has not noticed the end of its lease still sees new
        jobs in the store.  Its successor starts jobs created after its own
        claim without querying all workers first, so without this check both
        would start them and a task would run twice.  A job that was known
        while the lease was held is older than any successor's claim, and a
        successor holds such jobs back until each worker in use has reported
        or its leases have expired.
        """
        return (state.created_revision <= self.fence
                or state.known_at <= self.owner_lease_until)

    def deactivate_job(self, state: progress.JobState) -> None:
        """Stop scheduling a job whose stored state is final."""
        self.active.pop(state.job.job_id, None)

    def cancel(self, job_id: str) -> None:
        """Cancel a job unless it has ended, and stop its runs."""
        with self.lock:
            state = self.jobs.get(job_id)
            if state is None or state.cancelled or state.final():
                return
            state.cancelled = True
            self.update_job_state(state)
            self.request_round()

    def update_job_state(self, state: progress.JobState) -> None:
        """End a job and stop its runs if the states of its tasks say so."""
        if not state.settle():
            return
        events.emit(events.JOB_ENDED, job=state.job.job_id,
                    state=state.state, reason=state.reason)
        self.active.pop(state.job.job_id, None)
        self.advice.forget_job(state.job.job_id)
        self.commit_requested = True
        for task in state.all_tasks():
            self.stop_runs(task, "job " + state.state)

    def end_jobs_of(self, suspects: list[progress.TaskState]) -> None:
        """Store the suspicions; end the jobs of tasks that are confirmed."""
        for task in suspects:
            if task.job is not None:
                task.job.dirty = True
                self.commit_requested = True
                self.update_job_state(task.job)

    def stop_runs(self, task: progress.TaskState, reason: str) -> None:
        """Order the current run of a task and its copy to stop."""
        for run in task.runs():
            if run.phase in (progress.STARTING, progress.RUNNING):
                self.stop_run(run, reason)

    def stop_run(self, task: progress.TaskState, reason: str) -> None:
        """Order the current run of a task to stop.

        The run keeps its reserved resources until a report shows its end.
        """
        events.emit(events.RUN_STOPPED, task=str(task.task), run=task.run,
                    worker=task.worker_id, reason=reason)
        task.phase = progress.STOPPING
        task.stop_sent_at = clock.now()
        worker = self.workers.get(task.worker_id)
        if worker is not None:
            worker.stopping.add((task.task, task.run))
        self.send(task.worker_id, messages.StopOrder(task.task, task.run))

    def count_waiting_jobs(self) -> dict[str, int]:
        """Return per queue the number of jobs without any started task.

        Jobs with a scheduled start are not counted.
        """
        counts: dict[str, int] = {}
        with self.lock:
            for state in self.active.values():
                if state.job.start_at_ms or self._has_begun(state):
                    continue
                counts[state.job.queue] = counts.get(state.job.queue, 0) + 1
        return counts

    @staticmethod
    def _has_begun(state: progress.JobState) -> bool:
        """Return whether a worker is known to have begun a task of a job.

        An order alone is no proof: it may still wait to be sent, or get no
        response.
        """
        return any(t.done or t.start_confirmed or t.failed_runs or t.saved
                   for t in state.all_tasks())

    # Workers

    def add_worker(self, entry: messages.WorkerEntry) -> bool:
        """Add a worker or update its entry; return whether it is new.

        If two entries have the same address, either may be stale: the old
        entry stays listed for some seconds after the worker has restarted.
        Only a call to the address shows which incarnation is running, since
        a worker rejects calls meant for another incarnation.  Runs of a
        worker that was removed by mistake would be started a second time.
        """
        with self.lock:
            if self.ended_lives.includes(entry):
                return False
            known = self.workers.get(entry.worker_id)
            if known is not None:
                if entry.draining and not known.entry.draining:
                    # Its notice may be too short for a delay.
                    self.request_round()
                known.update_entry(entry)
                known.listed = True
                return False
            worker = workerstate.WorkerState(
                entry, self.policy.limit_unsent_starts)
            worker.born_ms = self.trials.restored_born_ms(entry.worker_id)
            worker.enrolled = all(entry.worker_id in listed
                                  for listed in self.possible_worker_lists)
            self.workers[entry.worker_id] = worker
            events.emit(events.WORKER_JOINED, worker=entry.worker_id,
                        address=entry.address, born_ms=entry.born_ms)
            self.request_round()
            return True

    def update_listed(self, listed: set[str], read_at: float) -> None:
        """Update which workers are listed, from a list read at read_at."""
        with self.lock:
            if not 0 <= read_at - self.list_read_at <= DRAIN_NOTICE_S:
                self.drains_visible_since = read_at
            self.list_read_at = read_at
            for worker_id, worker in self.workers.items():
                worker.listed = worker_id in listed
                worker.ever_listed |= worker.listed

    def has_current_list(self, now: float) -> bool:
        """Return whether tasks may be started by the worker list."""
        return now - self.list_read_at <= MAX_LIST_AGE_S

    def would_show_drain(self, since: float, now: float) -> bool:
        """Return whether a drain that began after a time would be known.

        The list must have been read without long pauses from then until now.
        """
        return (self.drains_visible_since <= since
                and now - self.list_read_at <= DRAIN_NOTICE_S)

    def add_possible_list(self, worker_ids: typing.Iterable[str]) -> None:
        """Add a list of workers in use whose write has been started.

        A worker that it lacks is used again only once a later list is stored.
        """
        with self.lock:
            listed = frozenset(worker_ids)
            self.possible_worker_lists.append(listed)
            for worker_id, worker in self.workers.items():
                worker.enrolled &= worker_id in listed

    def enrol(self, worker_ids: typing.Iterable[str]) -> None:
        """Allow the use of the workers on the list that is now stored.

        A successor reads this list and queries each worker on it.
        """
        with self.lock:
            self.possible_worker_lists = [frozenset(worker_ids)]
            for worker_id in self.possible_worker_lists[0]:
                if worker_id in self.workers:
                    self.workers[worker_id].enrolled = True
            self.request_round()

    def await_workers(self, worker_ids: typing.Iterable[str],
                      until: float) -> None:
        """Wait for reports of the workers that a previous owner stored.

        Their leases have expired by the given time, or earlier by the record
        of silent workers.
        """
        self.awaited_since = clock.now()
        self.awaited_workers = {
            worker_id: self.silent_workers.wait_until(
                worker_id, self.awaited_since, until)
            for worker_id in worker_ids}
        self.awaited_total = len(self.awaited_workers)
        self.possible_worker_lists = [frozenset(self.awaited_workers)]

    def awaited_until(self, worker_id: str) -> float:
        """Return when leases on an awaited worker have certainly expired.

        This owner grants further ones once it has reported a part of its ends.
        """
        until = self.awaited_workers[worker_id]
        worker = self.workers.get(worker_id)
        ends_at = (worker.runs_end_at(self.hold_max_ms)
                   if worker is not None else None)
        return until if ends_at is None else max(until, ends_at)

    def awaits_reports(self, now: float) -> bool:
        """Return whether workers may have runs by leases of earlier owners.

        Those that may only carry out starts without an answer don't count.
        """
        return any(now < self.awaited_until(worker_id)
                   or not self.silent_workers.knows_starts(worker_id)
                   for worker_id in self.awaited_workers)

    def unproven_tasks(self) -> frozenset[messages.TaskId] | None:
        """Return tasks that may run or begin to run unknown; None: any.

        Workers of earlier owners run none of jobs that were created in this
        owner's term.
        """
        tasks = self.silent_workers.unproven_tasks(self.awaited_workers)
        if tasks is None or not self.late_starts.until:
            return tasks
        return tasks.union(self.late_starts.until)

    def has_quorum(self, now: float) -> bool:
        """Return whether most workers recently accepted calls of this owner.

        The majority is that of the stored list, as a successor counts it.
        Counting only the workers that this owner still knows would be wrong:
        a minority partitioned off with it would become the whole fleet once
        it has removed the others.
        """
        with self.lock:
            accepting = {
                worker_id for worker_id, worker in self.workers.items()
                if now - worker.acknowledged_at <= QUORUM_WINDOW_S
                and self.leased_since_restart(worker)}
            return all(2 * len(accepting & listed) > len(listed)
                       for listed in self.possible_worker_lists)

    def is_evacuated(self, worker: workerstate.WorkerState) -> bool:
        """Return whether nothing may be started in a worker's data centre."""
        return worker.entry.data_centre in self.configuration().evacuated

    def leased_since_restart(self, worker: workerstate.WorkerState) -> bool:
        """Return whether this owner held its lease after a worker restarted.

        A worker that starts again forgets the fences that it has seen.  So a
        life that began since this owner last held its lease would obey it,
        although a successor may have fenced the life before.
        """
        return worker.restart_seen_at <= self.owner_lease_until

    def fences_of(self, worker_id: str) -> callfences.CallFences:
        """Return the fences of the calls to a worker in this term."""
        with self.lock:
            return self.call_fences.setdefault(
                worker_id, callfences.CallFences(self.fence))

    def mark_unresponsive(self, worker_id: str, reason: str) -> None:
        """Record that a worker did not respond or closed the connection."""
        with self.lock:
            worker = self.workers.get(worker_id)
            if worker is None or worker.unresponsive:
                return
            worker.unresponsive = True
            worker.unresponsive_since = clock.now()
            worker.recent_tasks = worker.find_recent_tasks(
                worker.unresponsive_since - suspicion.MAX_SUSPECT_AGE_S)
            events.emit(events.WORKER_UNRESPONSIVE, worker=worker_id,
                        born_ms=worker.born_ms, runs=len(worker.reserved),
                        reason=reason)

    def mark_dead(self, worker_id: str, reason: str) -> None:
        """Remove a worker whose incarnation has certainly ended."""
        with self.lock:
            self.awaited_workers.pop(worker_id, None)
            worker = self.workers.get(worker_id)
            suspects = self.crash_records.confirm(worker_id)
            self.ended_lives.add_ended(worker_id, worker, clock.now())
            if worker is not None:
                self._remove_worker(worker, reason)
            self.end_jobs_of(suspects)
            self.request_round()

    def has_listened(self, worker_id: str) -> bool:
        """Return whether a worker has ever listened at its address.

        It has if it reported to this owner or was used by a previous one.
        """
        with self.lock:
            worker = self.workers.get(worker_id)
            return worker_id in self.awaited_workers or (
                worker is not None and worker.has_reported)

    def _remove_worker(self, worker: workerstate.WorkerState,
                       reason: str) -> None:
        worker_id = worker.entry.worker_id
        now = clock.now()
        suspects = self.crash_records.expire_leases(worker_id)
        failures.log_lost_runs(
            worker, reason, worker.entry.draining, len(worker.reserved),
            ((task, run) for (_, run), task in worker.tasks.items()), now)
        self.failures.note(worker, now)
        self.ended_lives.add_removed(worker, now)
        self.advice.forget_worker(worker_id)
        self.workers.pop(worker_id, None)
        self.freeable.forget(worker_id)
        self.awaited_workers.pop(worker_id, None)
        for (_, run), task in worker.tasks.items():
            if task.worker_id == worker_id and task.run == run:
                task.reset_run()
        worker.reserved.clear()
        self.round_needed = True
        self.end_jobs_of(suspects)

    def expire(self, now: float) -> None:
        """Remove workers whose leases have expired or that have no runs.

        A draining worker that closed its connections and is not listed any
        more may still run on: cuts of its links have the same effects.
        Leases count as expired only while this owner holds its own lease: a
        successor may have renewed the leases of runs on workers that it can
        reach.
        """
        with self.lock:
            lease_held = now <= self.owner_lease_until
            for worker in list(self.workers.values()):
                if (worker.unresponsive and lease_held
                        and worker.leases_expired(now)):
                    self._expire_worker(worker, now)
                elif (worker.unresponsive and not worker.listed
                        and not worker.reserved
                        and (worker.entry.worker_id
                             not in self.awaited_workers)):
                    self._remove_worker(worker, "neither listed nor answering")
            self.ended_lives.forget_old(now)
            self.failures.forget_old(now)
            self.ended_jobs.forget_unused(
                self.jobs, self.workers.values(), now)
            self.crash_records.forget_old(now)
            self._shorten_deadlines(now)
            for worker_id in list(self.awaited_workers):
                if lease_held and now >= self.awaited_until(worker_id):
                    awaitedworkers.expire(self, worker_id, now)
            self._note_takeover_end(now)
            if self.late_starts.forget_old(now):
                self.round_needed = True
            if self.round_needed:
                self.request_round()

    def _expire_worker(self, worker: workerstate.WorkerState,
                       now: float) -> None:
        """Remove a worker whose leases have expired by the known clock.

        Runs that may be in a life with another clock keep it until these
        cannot go on either; all others are over.
        """
        ends_at = worker.runs_end_at(self.hold_max_ms)
        if ends_at is None or now > ends_at:
            self._remove_worker(worker, "lease expired")
            return
        kept = worker.unreported_life.runs()
        lost = [(run, task) for run, task in worker.tasks.items()
                if run not in kept]
        if not lost:
            return
        failures.log_lost_runs(
            worker, "lease expired, later life may run others",
            worker.entry.draining, len(lost),
            [(task, run) for (_, run), task in lost], now)
        for run, task in lost:
            if self.is_current(worker, task, run[1]):
                task.reset_run()
            worker.release(run, task.step)
        self.round_needed = True

    def _note_takeover_end(self, now: float) -> None:
        """Log once that no worker of a previous owner is awaited any more."""
        if not self.awaited_since or self.awaited_workers:
            return
        events.emit(events.TAKEOVER_COMPLETED, fence=self.fence,
                    workers=self.awaited_total,
                    waited_s=round(now - self.awaited_since, 3))
        self.awaited_since = 0.0

    def _shorten_deadlines(self, now: float) -> None:
        """Wait less for the remaining workers once most have reported.

        A previous owner that cannot reach the store grants leases only while
        most workers accept its calls, and most now accept this owner's.
        """
        if (not self.awaited_workers
                or 2 * len(self.awaited_workers) >= self.awaited_total):
            return
        latest = now + QUORUM_WINDOW_S + workerstate.LEASE_EXPIRY_S
        for worker_id, deadline in self.awaited_workers.items():
            self.awaited_workers[worker_id] = min(deadline, latest)
        self.most_have_reported = True

    # Lookups

    def find(self, task: messages.TaskId
             ) -> tuple[progress.JobState, progress.TaskState] | None:
        """Return a task and its job, or None if there is no such task."""
        job = self.jobs.get(task.job_id)
        state = job.find(task) if job is not None else None
        if job is None or state is None:
            return None
        return job, state

    def find_worker_and_task(self, worker_id: str, task: messages.TaskId,
                             run: int) -> tuple[workerstate.WorkerState,
                                                progress.TaskState] | None:
        """Return the worker and the task of an order, or None if unknown.

        If the order is for the task's copy, the state of that is returned.
        """
        worker = self.workers.get(worker_id)
        found = self.find(task)
        if worker is None or found is None:
            return None
        return worker, self.run_state(worker, found[1], run)

    @staticmethod
    def is_current(worker: workerstate.WorkerState,
                   task: progress.TaskState, run: int) -> bool:
        """Return whether a run on a worker is its task's current run."""
        return (task.phase != progress.IDLE and task.run == run
                and task.worker_id == worker.entry.worker_id)

    @classmethod
    def run_state(cls, worker: workerstate.WorkerState,
                  task: progress.TaskState, run: int) -> progress.TaskState:
        """Return the state of the task's copy if that is the run."""
        copy = task.copy
        if copy is not None and cls.is_current(worker, copy, run):
            return copy
        return task

    # Starting runs

    def start(self, state: progress.JobState, task: progress.TaskState,
              worker: workerstate.WorkerState, run: int,
              ticket: str = "") -> None:
        """Order a worker to start a run of a task.

        Do nothing but log an error if the task already has a run or if a
        successor may have started it.
        """
        if task.phase != progress.IDLE or task.done or state.final():
            events.emit(events.INVARIANT_BROKEN, task=str(task.task),
                        rule="one run of a task at a time")
            return
        if not self.may_start(state):
            events.emit(events.INVARIANT_BROKEN, task=str(task.task),
                        rule="no start of tasks a successor may have started")
            return
        self.order_start(state, task, worker, run, ticket)
        self.copies.watch(task, clock.now())

    def order_start(self, state: progress.JobState, task: progress.TaskState,
                    worker: workerstate.WorkerState, run: int,
                    ticket: str) -> None:
        """Send the order to start a run, and reserve its resources."""
        task.phase = progress.STARTING
        task.run = task.last_run = run
        state.mark_has_run(task)
        task.worker_id = worker.entry.worker_id
        task.started_at = task.confirmed_at = 0.0
        task.percent = 0
        task.pace_percent = 100
        task.measurable = not task.saved
        worker.reserve((task.task, run), task.step, task)
        worker.unsent_starts.add((task.task, run))
        if worker.on_trial and not task.step.perpetual:
            worker.trial_run = (task.task, run)
        if not worker.entry.capacity.holds(worker.used):
            events.emit(events.INVARIANT_BROKEN, task=str(task.task),
                        worker=task.worker_id, rule="capacity of a worker")
        self.run_log.add_ordered(task.task, run, task.worker_id)
        self.send(task.worker_id, messages.StartOrder(
            task.task, run, state.job.spec, task.saved, ticket))
        if task.step.fills:
            cores = task.step.room.cpu / 1000.0
            self.interference_model.add_expected_utilisation(
                worker.tail_latencies, task.step.image, cores)

    def _advice_arrived(self) -> None:
        with self.lock:
            self.request_round()

    def request_round(self) -> None:
        """Request a placement round."""
        self.round_needed = True
        self.round_requested.notify_all()
