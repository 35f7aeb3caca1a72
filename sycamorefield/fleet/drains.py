"""Move runs off workers that are about to leave, within their notice.

All runs on a worker end when it leaves, and their tasks start elsewhere only
once the leases of these runs have expired, some three seconds later.  So a run
that cannot end in time is stopped as soon as its task could start elsewhere,
and the capacity there is held for it.
"""

import dataclasses
import math
import typing

from sycamorefield import events
from sycamorefield.fleet import advice as advice_mod
from sycamorefield.fleet import copies
from sycamorefield.fleet import ordering
from sycamorefield.fleet import placing
from sycamorefield.fleet import preemption
from sycamorefield.fleet import progress
from sycamorefield.fleet import victims
from sycamorefield.fleet import workerstate

if typing.TYPE_CHECKING:
    from sycamorefield.fleet import rounds

# Each move takes a search of the workers; other moves follow in the next
# round.
MAX_MOVES_PER_ROUND = 4
# Reason of a stop, as logged.
STOP_REASON = "worker leaves"
# Runs named in one log line.
MAX_LOGGED_RUNS = 20
# The kinds of runs in the order in which they move: first those that lose most
# if they stay.  Best-effort runs of any kind move last.
MOVE_ORDER = (victims.LONG_RUNNING, victims.SAVING, victims.LOSING,
              victims.BEST_EFFORT)

# Why a run stays.
ENDS_IN_TIME = "ends in time"
GANG = "member of a gang"
HAS_COPY = "has a copy"
SUSPECTED = "suspected"
SILENT_WORKER = "worker does not answer"
NOT_BEGUN = "has not begun"
HELD_BACK = "start is held back"
STEP_STOPPING = "another run of its step is stopping"
NO_CAPACITY = "no capacity elsewhere"
NO_ADVICE = "waits for advice"
LATER = "other runs go first"


@dataclasses.dataclass(eq=False, slots=True)
class Drain:
    """A worker that is about to leave; times are on clock.now()."""

    worker: workerstate.WorkerState
    born_ms: int
    began_at: float
    # The time left that was last announced, and when it will be over.
    remaining_ms: float | None
    ends_at: float
    # Why runs stayed in the last round, and the runs that have been logged.
    reasons: dict[workerstate.RunId, str] = dataclasses.field(
        default_factory=dict)
    logged: set[workerstate.RunId] = dataclasses.field(default_factory=set)

    def announce(self, remaining_ms: float, now: float) -> None:
        """Take over the time left; repeating it does not extend the notice."""
        if remaining_ms == self.remaining_ms:
            return
        ends_at = now + remaining_ms / 1000.0
        self.ends_at = (ends_at if self.remaining_ms is None
                        else min(self.ends_at, ends_at))
        self.remaining_ms = remaining_ms


class Drains:
    """The workers that are about to leave, by ID."""

    def __init__(self, default_notice_s: float) -> None:
        # Time left to a worker that does not announce it.
        self.default_notice_s = default_notice_s
        self.by_worker: dict[str, Drain] = {}
        # The task of the best-effort run that was moved last.
        self.moved_best_effort: progress.TaskState | None = None

    def update(self, workers: typing.Mapping[str, workerstate.WorkerState],
               now: float) -> None:
        """Follow the entries of the workers; log runs that ended with one."""
        draining = {worker_id: worker for worker_id, worker in workers.items()
                    if worker.entry.draining
                    and worker.entry_is_of_current_life()}
        for worker_id, drain in list(self.by_worker.items()):
            if worker_id not in workers:
                self._log(drain)
            if (draining.get(worker_id) is not drain.worker
                    or drain.worker.last_known_born_ms() != drain.born_ms):
                del self.by_worker[worker_id]
        for worker_id, worker in draining.items():
            self._update(worker_id, worker, now)

    def _update(self, worker_id: str, worker: workerstate.WorkerState,
                now: float) -> None:
        """Follow the entry of a worker that is about to leave."""
        remaining_ms = worker.entry.remaining_ms
        drain = self.by_worker.get(worker_id)
        if drain is None:
            drain = self.by_worker[worker_id] = Drain(
                worker, worker.last_known_born_ms(), now, None,
                now + self.default_notice_s)
        if remaining_ms is not None:
            drain.announce(remaining_ms, now)

    def log_stayed(self, now: float) -> None:
        """Log the runs that have stayed to the end of the notice.

        After a short or missing notice, runs may move later.
        """
        for drain in self.by_worker.values():
            if now >= max(drain.ends_at,
                          drain.began_at + self.default_notice_s):
                self._log(drain)

    @staticmethod
    def _log(drain: Drain) -> None:
        """Log the runs on a worker that have stayed, each once."""
        stayed = [run for run in drain.reasons if run not in drain.logged]
        if not stayed:
            return
        drain.logged.update(stayed)
        events.emit(
            events.RUNS_NOT_MOVED, worker=drain.worker.entry.worker_id,
            born_ms=drain.born_ms, count=len(stayed),
            runs=[[str(task), run, drain.reasons[task, run]]
                  for task, run in stayed[:MAX_LOGGED_RUNS]])


class Candidate(typing.NamedTuple):
    """A current run on a worker that is about to leave."""

    drain: Drain
    job: progress.JobState
    task: progress.TaskState

    def run_id(self) -> workerstate.RunId:
        """Return the ID of the run."""
        return self.task.task, self.task.run


class Mover:
    """Move runs within a round."""

    def __init__(self, round_: "rounds.Round") -> None:
        self.round = round_
        self.fleet = round_.fleet
        self.now = round_.now
        # None if workers of earlier owners may run any earlier task.
        self.unproven_tasks = self.fleet.unproven_tasks()
        costs = self.fleet.stop_costs
        self.stop_s = costs.stop_s if costs is not None else 0.0

    def move(self) -> None:
        """Stop runs that cannot end in time, if they can run elsewhere."""
        moves = 0
        for drain in self.fleet.drains.by_worker.values():
            drain.reasons.clear()
        for candidate in sorted(self._candidates(), key=self._order):
            reason = self._reason_to_stay(candidate)
            if not reason and moves == MAX_MOVES_PER_ROUND:
                self.fleet.request_round()
                reason = LATER
            if not reason and not self._move(candidate):
                reason = (NO_ADVICE if self._requests_advice(candidate)
                          else NO_CAPACITY)
            if reason:
                candidate.drain.reasons[candidate.run_id()] = reason
            else:
                moves += 1

    def _candidates(self) -> typing.Iterator[Candidate]:
        for drain in self.fleet.drains.by_worker.values():
            for (_, run), task in drain.worker.tasks.items():
                job = self.fleet.active.get(task.task.job_id)
                if (job is not None and not job.cancelled
                        and task.phase in (progress.STARTING, progress.RUNNING)
                        and self.fleet.is_current(drain.worker, task, run)):
                    yield Candidate(drain, job, task)

    def _order(self, candidate: Candidate) -> tuple[bool, int, int, float]:
        step = candidate.task.step
        return (step.fills, MOVE_ORDER.index(victims.kind_of(step)),
                ordering.priority(candidate.job, self.round.queues),
                candidate.drain.ends_at)

    def _reason_to_stay(self, candidate: Candidate) -> str:
        """Return why a run must or should not move, capacity aside."""
        task = candidate.task
        if task.step.gang:
            return GANG
        if task.copy is not None or task.original() is not task:
            return HAS_COPY
        if (task.suspicion is not None
                or task.task in self.fleet.trials.by_task):
            return SUSPECTED
        if candidate.drain.worker.unresponsive:
            return SILENT_WORKER
        if task.phase != progress.RUNNING:
            return NOT_BEGUN
        if self._ends_in_time(candidate):
            return ENDS_IN_TIME
        if not self._may_start(candidate):
            return HELD_BACK
        if self._step_stops_elsewhere(candidate):
            return STEP_STOPPING
        moved = self.fleet.drains.moved_best_effort
        if (task.step.fills and moved is not None
                and moved.phase == progress.STOPPING):
            return LATER
        return ""

    def _ends_in_time(self, candidate: Candidate) -> bool:
        """Return whether a run is expected to end before its worker leaves.

        Or as soon as if it were ordered to stop.
        """
        left_s = max(candidate.drain.ends_at - self.now, self.stop_s)
        return self._remaining_s(candidate) <= left_s

    def _remaining_s(self, candidate: Candidate) -> float:
        """Return how much longer a run is expected to take.

        The progress of a run that has resumed saved work, or that an earlier
        owner started, does not tell its speed.
        """
        task, queue = candidate.task, candidate.job.job.queue
        if task.step.perpetual:
            return math.inf
        run_times = self.fleet.run_times
        expected_s = run_times.expected_s(queue, task.step)
        if not expected_s and task.step.checkpoint:
            # Moving loses nothing of note, and staying may.
            return math.inf
        if task.measurable:
            return copies.remaining_s(run_times, queue, task, self.now)
        return expected_s * (100 - task.percent) / 100.0

    def _may_start(self, candidate: Candidate) -> bool:
        """Return whether a round may start the task once its run has ended."""
        job, task = candidate.job, candidate.task
        if self.unproven_tasks is None:
            if job.created_revision <= self.fleet.fence:
                return False
        elif task.task in self.unproven_tasks:
            return False
        return task.not_before <= self.now and self.fleet.may_start(job)

    def _step_stops_elsewhere(self, candidate: Candidate) -> bool:
        """Return whether a run of the step is stopping on a staying worker.

        That stop was allowed by how many tasks of the step were at work, and
        it may be carried out after the one here.
        """
        task = candidate.task
        if not task.step.may_miss:
            return False
        drains = self.fleet.drains.by_worker
        tasks = candidate.job.tasks[task.task.occurrence, task.task.step]
        return any(other.phase == progress.STOPPING
                   and other.worker_id not in drains for other in tasks)

    def _move(self, candidate: Candidate) -> bool:
        """Stop a run and hold capacity for its task, if there is any."""
        job, task = candidate.job, candidate.task
        target = self.round.find_move_target(candidate.drain.worker, task)
        if target is None or (
                task.step.max_per_worker
                and self.fleet.held_workers.holds_for_step(
                    target, task.task.step_id())):
            return False
        self.fleet.stop_run(task, STOP_REASON)
        if task.step.fills:
            # A hold keeps no unused CPU, and tail latencies may have changed
            # once the run has ended: the task is placed as usual then.
            self.fleet.drains.moved_best_effort = task
            self.round.exclude_worker(target, self.round.usable_workers)
        else:
            preemption.add_hold(self.round, job, task, target,
                                ordering.priority(job, self.round.queues))
        return True

    def _requests_advice(self, candidate: Candidate) -> bool:
        """Request advice on other workers if the step needs it.

        Return whether advice is pending.  Tickets of runs that began long ago
        have expired.  Only workers on which the run fits now are named.
        """
        task = candidate.task
        queue = self.round.queues.get(candidate.job.job.queue)
        policy = advice_mod.policy_of(candidate.job.job, queue)
        if policy is None:
            return False
        service = queue.service if queue else candidate.job.job.service
        step_id, advice = task.task.step_id(), self.fleet.advice
        if not advice.is_pending(step_id):
            known_workers = advice.known_workers(step_id, self.now)
            advice.request_advice(step_id, self.round.fitting_workers(task, [
                worker for worker in self.round.usable_workers
                if worker.entry.worker_id not in known_workers
                and placing.allowed(worker, service, task)
            ]), policy, self.now)
        return advice.is_pending(step_id)


def move_runs(round_: "rounds.Round") -> None:
    """Move runs off the workers that are about to leave."""
    drains = round_.fleet.drains
    drains.update(round_.fleet.workers, round_.now)
    if drains.by_worker:
        Mover(round_).move()
        drains.log_stayed(round_.now)
