"""Start second runs of speculative tasks whose first run may last too long.

A few tasks hang, run on a slow worker, or are on a worker that does not
answer.  Callers of urgent jobs allow one and a half times the run time and
some 0.3 s, which a run that starts after the end of a lease (5 s) misses.  A
copy is placed on capacity that no task waits for but less urgent best-effort
ones, and the first of both runs that is done counts.
"""

import typing

from sycamorefield import events
from sycamorefield.fleet import interference
from sycamorefield.fleet import messages
from sycamorefield.fleet import placing
from sycamorefield.fleet import progress
from sycamorefield.fleet import runlog
from sycamorefield.fleet import runtimes
from sycamorefield.fleet import stragglers
from sycamorefield.fleet import workerstate

if typing.TYPE_CHECKING:
    from sycamorefield.fleet import state as state_mod

# A copy must be expected to end this much sooner than the run.  The end of a
# run may be known only link.RECORD_WAIT_S (0.4 s) later, so the run may have
# ended already, and an order takes up to 0.1 s from a round to the start.
MARGIN_S = 0.5
# A start that is not answered by then waits behind a call without an answer:
# a worker answers within some milliseconds, and at most 8 orders are queued.
UNANSWERED_S = 0.5
# The share of the fleet's CPU that copies may reserve.
BUDGET_SHARE = 0.05
# The next copy of a task is ordered this long after the one before, so that a
# copy that is rejected each time does not cost a start in each round.
MIN_COPY_GAP_S = 1.0
# How long a task is passed over for which no worker was found.  On a fleet of
# 5,500 workers such a search takes about 10 ms, so a round makes one at most.
SEARCH_GAP_S = 0.2
MAX_SEARCHES = 4
# The watched runs are looked through this often: with 900 of them that takes
# 4 ms of a whole core, and rounds may follow each other after 5 ms.
CHECK_PERIOD_S = 0.04
# A copy is placed on the best of this many workers that fit, which ends most
# searches early.
MAX_CANDIDATES = 32
# The lease that comes with the start of a task that may have copies.  The
# start is refused later: it may be carried out after the other run is done.
# The next lease comes within a report's wait (1.2 s).
START_LEASE_MS = 1500.0
# The exhausted budget is logged at most this often.
BUDGET_LOG_PERIOD_S = 10.0

# Why a copy is started.
SILENT_WORKER = "worker does not answer"
UNANSWERED_START = "start got no answer"
FAILING_WORKER = "worker is slow or failing"
STUCK = "run is stuck"
LONG_RUN = "run is expected to last longer"
# How a copy ended.
WON = "won"
LOST = "not needed"
ENDED = "ended before"


class WaitingKind(typing.NamedTuple):
    """What workers a waiting step may use, and how it gets capacity."""

    service: str
    requires: str
    priority: int
    best_effort: bool
    gang: bool

    def yields_to(self, priority: int) -> bool:
        """Return whether copies of a priority may use what it fits into.

        Less urgent best-effort tasks wait as long as there is load, and take
        whatever CPU a copy that is stopped leaves.
        """
        return self.best_effort and self.priority > priority


class Waiting:
    """The least resources that waiting tasks of each kind request."""

    def __init__(self) -> None:
        self.requests: dict[WaitingKind, messages.Resources] = {}

    def add(self, step: messages.Step, service: str, priority: int) -> None:
        """Add a step with a waiting task."""
        kind = WaitingKind(service, step.requires, priority, step.fills,
                           step.gang)
        known = self.requests.get(kind, step.room)
        self.requests[kind] = messages.Resources(
            min(known.cpu, step.room.cpu),
            min(known.mem_mb, step.room.mem_mb),
            min(known.gpu, step.room.gpu))

    def needs(self, worker: workerstate.WorkerState, priority: int) -> bool:
        """Return whether a waiting task may use the free capacity.

        For tasks at least as urgent as the priority, it is kept even if it is
        not enough yet.
        """
        for kind, request in self.requests.items():
            if kind.yields_to(priority) or not _is_allowed(worker, kind):
                continue
            if not kind.best_effort and kind.priority <= priority:
                if worker.entry.capacity.holds(request):
                    return True
            elif _free_for(worker, kind).holds(_demand(kind, request)):
                return True
        return False

    def copies_in_the_way(self, worker: workerstate.WorkerState,
                          copies: list[progress.Copy],
                          priority_of: typing.Callable[
                              [progress.TaskState], int]
                          ) -> list[progress.Copy]:
        """Return copies without which a gang or best-effort task would fit.

        For other tasks, runs are preempted as they are placed.
        """
        for kind, request in self.requests.items():
            if (kind.best_effort or kind.gang) and _is_allowed(worker, kind):
                chosen = _copies_to_stop(
                    _free_for(worker, kind),
                    [copy for copy in copies
                     if not kind.yields_to(priority_of(copy))],
                    _demand(kind, request))
                if chosen:
                    return chosen
        return []


def _is_allowed(worker: workerstate.WorkerState, kind: WaitingKind) -> bool:
    return (worker.entry.service == kind.service
            and (not kind.requires or kind.requires in worker.entry.labels))


def _free_for(worker: workerstate.WorkerState,
              kind: WaitingKind) -> messages.Resources:
    free = worker.free_capacity()
    if not kind.best_effort:
        return free
    return messages.Resources(
        int(placing.available_best_effort_cpu(worker)), free.mem_mb, free.gpu)


def _demand(kind: WaitingKind,
            request: messages.Resources) -> messages.Resources:
    if not kind.best_effort:
        return request
    return messages.Resources(
        int(placing.BEST_EFFORT_CPU_FACTOR * request.cpu), request.mem_mb,
        request.gpu)


def _copies_to_stop(free: messages.Resources, copies: list[progress.Copy],
                    request: messages.Resources) -> list[progress.Copy]:
    """Return copies on a worker that must end for a request to fit."""
    chosen: list[progress.Copy] = []
    for copy in copies:
        if free.holds(request):
            break
        chosen.append(copy)
        free = free.plus(copy.step.room if copy.step.fills
                         else copy.step.reserved())
    return chosen if free.holds(request) else []


class Copies:
    """Track tasks that may get copies, and the copies there are.

    Times are in seconds on clock.now().
    """

    def __init__(self, enabled: bool = True) -> None:
        self.enabled = enabled
        # Tasks with a run, and when it was ordered or taken over.
        self.watched: dict[messages.TaskId,
                           tuple[progress.TaskState, float]] = {}
        # The last copy of each task, until that or the task has ended.
        self.known: dict[messages.TaskId, progress.Copy] = {}
        self.running_count = 0
        self.started_total = 0
        self.won_total = 0
        self.wasted_cpu_s = 0.0
        # Rows of the next log lines.
        self.started: list[tuple[str, int, str, str]] = []
        self.ended: list[tuple[str, int, str]] = []
        self.budget_logged_at = 0.0
        self.checked_at = 0.0

    def may_copy(self, step: messages.Step) -> bool:
        """Return whether tasks of a step may have copies."""
        return (self.enabled and step.speculative and not step.gang
                and not step.perpetual)

    def watch(self, task: progress.TaskState, now: float) -> None:
        """Watch a run that has been ordered or taken over."""
        if self.may_copy(task.step):
            self.watched[task.task] = (task, now)

    def attached(self) -> list[progress.Copy]:
        """Return the copies of current runs, stopping ones included."""
        return [copy for copy in self.known.values() if copy.is_attached()]

    def add(self, copy: progress.Copy, now: float) -> None:
        """Add a copy that has been ordered or taken over.

        An earlier one may have become the current run of the task.
        """
        earlier = self.known.get(copy.task)
        if earlier is not None:
            self._note_end(earlier, ENDED, now)
        self.known[copy.task] = copy

    def record_done(self, task: progress.TaskState, run: int,
                    now: float) -> None:
        """Record that a run of a task is done."""
        copy = self.known.pop(task.task, None)
        if copy is not None:
            self._note_end(copy, WON if copy.last_run == run else LOST, now)

    def update(self, now: float) -> None:
        """Forget what has ended, and log what has changed."""
        for task_id, copy in list(self.known.items()):
            task = copy.task_state
            if not copy.is_attached() and task.run != copy.last_run:
                del self.known[task_id]
                self._note_end(copy, ENDED, now)
        for task_id, (task, _) in list(self.watched.items()):
            if (task.done or task.phase == progress.IDLE
                    or task.job is None or task.job.final()):
                del self.watched[task_id]
        self.running_count = len(self.attached())
        for event, rows in ((events.COPIES_STARTED, self.started),
                            (events.COPIES_ENDED, self.ended)):
            if rows:
                events.emit(event, count=len(rows),
                            runs=list(rows[:runlog.RUNS_PER_LINE]))
                rows.clear()

    def _note_end(self, copy: progress.Copy, how: str, now: float) -> None:
        self.ended.append((str(copy.task), copy.last_run, how))
        if how == WON:
            self.won_total += 1
        elif copy.started_at:
            self.wasted_cpu_s += (
                (now - copy.started_at) * copy.step.room.cpu / 1000.0)

    def start_check(self, now: float) -> bool:
        """Return whether to look through the watched runs now."""
        if 0.0 <= now - self.checked_at < CHECK_PERIOD_S:
            return False
        self.checked_at = now
        return True

    def note_exhausted_budget(self, used_cpu: int, now: float) -> None:
        """Log now and then that the budget does not allow a copy."""
        if now - self.budget_logged_at >= BUDGET_LOG_PERIOD_S:
            self.budget_logged_at = now
            events.emit(events.COPY_BUDGET_EXHAUSTED,
                        cores=used_cpu / 1000.0, copies=self.running_count)


def start_lease_ms(fleet: "state_mod.FleetState",
                   task: messages.TaskId) -> float:
    """Return the length of the lease that comes with a start order."""
    found = fleet.find(task)
    if found is None or not fleet.copies.may_copy(found[1].step):
        return workerstate.LEASE_MS
    return START_LEASE_MS


def remaining_s(model: runtimes.RunTimeModel, queue: str,
                task: progress.TaskState, now: float) -> float:
    """Return how much longer a run is expected to take.

    Its progress is as old as the last report, during which the run may have
    hung: a run that by its progress should have ended is judged by its age.
    """
    elapsed_s = now - task.started_at
    if task.projected_run_s and task.percent >= runtimes.MIN_PERCENT:
        reported_s = task.projected_run_s * task.percent / 100.0
        left_s = model.remaining_s(queue, task.step, reported_s, task.percent)
        if left_s > elapsed_s - reported_s:
            return left_s - (elapsed_s - reported_s)
    return model.remaining_s(queue, task.step, elapsed_s, 0)


def is_worth_copying(model: runtimes.RunTimeModel, queue: str,
                     task: progress.TaskState, now: float) -> bool:
    """Return whether a copy would end clearly sooner than a run.

    Only a run that has taken as long as expected tells that it is long.
    """
    copy_s = model.expected_s(queue, task.step)
    return (0.0 < copy_s <= now - task.started_at
            and remaining_s(model, queue, task, now) > copy_s + MARGIN_S)


def reason_to_copy(task: progress.TaskState, ordered_at: float,
                   worker: workerstate.WorkerState | None,
                   model: runtimes.RunTimeModel, queue: str,
                   now: float) -> str:
    """Return why a run on a worker needs a copy, or an empty string."""
    if task.phase == progress.STOPPING and task.started_at:
        # It is stopped on purpose, and starts again once it has ended.
        return ""
    if worker is None or worker.unresponsive:
        return SILENT_WORKER
    if not task.started_at:
        waits = (task.phase == progress.STARTING
                 and now - ordered_at < UNANSWERED_S)
        return "" if waits else UNANSWERED_START
    if is_worth_copying(model, queue, task, now):
        return LONG_RUN
    if task.stuck:
        return STUCK
    if _is_failing(worker, now) and not _ends_soon(model, queue, task, now):
        return FAILING_WORKER
    return ""


def _ends_soon(model: runtimes.RunTimeModel, queue: str,
               task: progress.TaskState, now: float) -> bool:
    """Return whether the progress of a run tells that a copy is no use."""
    return (task.percent >= runtimes.MIN_PERCENT
            and remaining_s(model, queue, task, now)
            <= model.expected_s(queue, task.step) + MARGIN_S)


def _is_failing(worker: workerstate.WorkerState, now: float) -> bool:
    """Return whether runs on a worker fail or are slow."""
    if (worker.failures >= workerstate.MAX_CONSECUTIVE_FAILURES
            and worker.avoid_until > now):
        return True
    stuck = sum(1 for task in worker.tasks.values() if task.stuck)
    return stuck >= stragglers.MIN_STUCK_TASKS


def due(fleet: "state_mod.FleetState",
        now: float) -> list[tuple[progress.TaskState, str]]:
    """Return the tasks that need a copy, and why.

    A job fails with its last attempt, so a task gets a copy only if both runs
    may fail.
    """
    found = []
    for task, ordered_at in fleet.copies.watched.values():
        job = task.job
        if (job is None or task.copy is not None or task.suspicion is not None
                or task.copy_not_before > now
                or len(task.failed_runs) + 2 > job.job.max_attempts
                or task.task in fleet.trials.by_task
                or not fleet.may_start(job)):
            continue
        reason = reason_to_copy(
            task, ordered_at, fleet.workers.get(task.worker_id),
            fleet.run_times, job.job.queue, now)
        if reason:
            found.append((task, reason))
    return found


def budget_cpu(workers: typing.Iterable[workerstate.WorkerState]) -> int:
    """Return how much CPU copies may request, in thousandths of a core."""
    return int(BUDGET_SHARE * sum(
        worker.entry.capacity.cpu for worker in workers
        if not worker.unresponsive))


def choose_worker(task: progress.TaskState, service: str,
                  workers: list[workerstate.WorkerState], waiting: Waiting,
                  priority: int, model: interference.InterferenceModel
                  ) -> workerstate.WorkerState | None:
    """Return another worker with capacity that no waiting task needs."""
    reserved = task.step.reserved()
    return placing.Ranking(task, service, (
        worker for worker in workers
        if worker.free_capacity().holds(reserved)
        and worker.entry.worker_id != task.worker_id
        and not worker.is_avoided_by(task)
        and not waiting.needs(worker, priority)),
        model, MAX_CANDIDATES).best()


def choose_victims(copies: Copies, task: progress.TaskState, service: str,
                   workers: typing.Iterable[workerstate.WorkerState]
                   ) -> list[progress.Copy]:
    """Return the fewest copies on a worker to stop so that a task fits."""
    by_worker = _by_worker(copies)
    best: list[progress.Copy] = []
    for worker in workers if by_worker else ():
        here = by_worker.get(worker.entry.worker_id)
        if here is None:
            continue
        chosen = _victims_on(worker, here, task, service)
        if chosen and (not best or len(chosen) < len(best)):
            best = chosen
    return best


def _victims_on(worker: workerstate.WorkerState, copies: list[progress.Copy],
                task: progress.TaskState, service: str
                ) -> list[progress.Copy]:
    """Return copies on a worker to stop so that a task fits.

    A copy of the task's own step may be the run that max_per_worker counts.
    """
    free = worker.free_capacity()
    request = task.step.reserved()
    if placing.allowed(worker, service, task):
        return _copies_to_stop(free, copies, request)
    step_id = task.task.step_id()
    first = next((copy for copy in copies
                  if copy.task.step_id() == step_id), None)
    if first is None or not placing.allowed(worker, service, task, leaving=1):
        return []
    free = free.plus(request)
    others = [copy for copy in copies if copy is not first]
    more = _copies_to_stop(free, others, request)
    return [first, *more] if more or free.holds(request) else []


def _by_worker(copies: Copies) -> dict[str, list[progress.Copy]]:
    """Return the copies that are not being stopped, by worker."""
    by_worker: dict[str, list[progress.Copy]] = {}
    for copy in copies.attached() if copies.known else ():
        if copy.phase in (progress.STARTING, progress.RUNNING):
            by_worker.setdefault(copy.worker_id, []).append(copy)
    return by_worker


def make_room(fleet: "state_mod.FleetState", waiting: Waiting,
              priority_of: typing.Callable[[progress.TaskState], int]
              ) -> None:
    """Stop copies for gangs and best-effort tasks, which preempt no runs."""
    for worker_id, copies in _by_worker(fleet.copies).items():
        worker = fleet.workers.get(worker_id)
        if worker is None:
            continue
        for copy in waiting.copies_in_the_way(worker, copies, priority_of):
            fleet.stop_run(copy, "room for waiting tasks")


def start(fleet: "state_mod.FleetState", task: progress.TaskState,
          worker: workerstate.WorkerState, ticket: str, reason: str,
          now: float) -> None:
    """Order a worker to start a copy of a task's current run."""
    state = fleet.jobs[task.task.job_id]
    copy = progress.Copy(task, worker.tasks)
    task.copy = copy
    task.copy_not_before = now + MIN_COPY_GAP_S
    fleet.order_start(state, copy, worker, state.next_run_number(task), ticket)
    task.last_run = copy.run
    fleet.copies.add(copy, now)
    fleet.copies.started_total += 1
    fleet.copies.started.append(
        (str(task.task), copy.run, copy.worker_id, reason))


def may_adopt(fleet: "state_mod.FleetState",
              worker: workerstate.WorkerState, task: progress.TaskState,
              run: int) -> bool:
    """Return whether a reported run is to be the copy of the current one.

    It is if a previous owner started it.  A run of this owner that is neither
    current nor a copy has been given up, and is stopped.
    """
    return (fleet.copies.may_copy(task.step) and task.copy is None
            and worker.entry.worker_id != task.worker_id
            and task.job is not None
            and task.run != run <= task.job.run_base)


def adopt(fleet: "state_mod.FleetState", worker: workerstate.WorkerState,
          task: progress.TaskState, row: messages.RunningTask,
          now: float) -> None:
    """Take a run that a previous owner started as the copy of a task."""
    copy = progress.Copy(task, worker.tasks)
    task.copy = copy
    copy.phase = progress.RUNNING
    copy.run = copy.last_run = row.run
    copy.worker_id = worker.entry.worker_id
    copy.saved = row.saved or copy.saved
    copy.percent = row.percent
    copy.started_at = copy.confirmed_at = now
    worker.tasks[row.task, row.run] = copy
    fleet.copies.add(copy, now)
