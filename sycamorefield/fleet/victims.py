"""Choose runs to stop for a waiting task by the work that is lost.

Stopping the fewest runs, and of these the last started, loses the work of runs
that save no checkpoints where others would lose only the time to resume, and
stops runs that would end as soon as the stop.
"""

import collections
import dataclasses
import heapq
import typing

from sycamorefield import events
from sycamorefield.fleet import demand
from sycamorefield.fleet import freeing as freeing_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import ordering
from sycamorefield.fleet import placing
from sycamorefield.fleet import progress
from sycamorefield.fleet import runtimes
from sycamorefield.fleet import workerstate

if typing.TYPE_CHECKING:
    from sycamorefield.fleet import state as state_mod

# An urgent task uses the capacity for about this long.  A run that ends
# sooner anyway gives it less time, so stopping it costs more for the same use.
USEFUL_S = 1.0
# Shares of a second below this are not told apart by reported progress.
MIN_GAIN_S = 0.05
# A long-running task that is stopped is down while the waiting task runs and
# until its next round and start, for about two seconds.
LONG_RUNNING_DOWN_S = 2.0
# Long-running tasks are stopped for an urgent job of equal priority only when
# no more than this is left to wait.  Rounds start up to 0.25 s apart; with
# less, the job would be late by the next round.
LAST_CHANCE_S = 0.3
# Only this many workers on which victims suffice are compared, so that the
# cost for each waiting task doesn't grow with the fleet.
MAX_COMPARED_WORKERS = 256
# Most preemptions named in one log line.
MAX_LOGGED = 20

BEST_EFFORT, SAVING, LOSING, LONG_RUNNING = (
    "best_effort", "saving", "losing", "long_running")


@dataclasses.dataclass(frozen=True, slots=True)
class StopCosts:
    """What the platform states on checkpoints and stops, in seconds."""

    checkpoint_interval_s: float
    restore_s: float
    # Until a run that is ordered to stop has ended.
    stop_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A run that may be stopped; cost is in core-seconds.

    The cost is what is lost, increased if the run would soon end anyway.
    """

    task: progress.TaskState
    priority: int
    lost_core_s: float
    cost: float
    # Whether it ends as soon as if it were ordered to stop.
    ends_as_soon: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The runs to stop on a worker; none if enough end by themselves."""

    worker: workerstate.WorkerState
    victims: list[Candidate]
    cost: float

    def order(self) -> tuple[float, int]:
        """Return the sort key: the least is best."""
        return self.cost, len(self.victims)


# Sort key of the choice on a worker, position, worker.
HeapEntry = tuple[tuple[float, int], int, workerstate.WorkerState]


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A task that fits on no worker, and the workers that it may use."""

    job: progress.JobState
    task: progress.TaskState
    priority: int
    service: str
    workers: list[workerstate.WorkerState]


class Preemptions:
    """Count preempted runs and the work lost; log them once a round."""

    def __init__(self) -> None:
        self.runs_by_kind = dict.fromkeys(
            (BEST_EFFORT, SAVING, LOSING, LONG_RUNNING), 0)
        self.lost_core_s = 0.0
        self.expired_holds = 0
        self.unlogged: list[tuple[str, str, str, str, float]] = []

    def add(self, waiting: progress.TaskState, victim: Candidate) -> None:
        """Record that a run is stopped for a waiting task."""
        kind = kind_of(victim.task.step)
        self.runs_by_kind[kind] += 1
        self.lost_core_s += victim.lost_core_s
        self.unlogged.append((
            str(waiting.task), str(victim.task.task), victim.task.worker_id,
            kind, round(victim.lost_core_s, 3)))

    def log(self, expired: list[str]) -> None:
        """Log what was recorded since, and tasks whose hold ran out."""
        self.expired_holds += len(expired)
        if self.unlogged or expired:
            events.emit(events.RUNS_PREEMPTED, count=len(self.unlogged),
                        runs=self.unlogged[:MAX_LOGGED],
                        expired=expired[:MAX_LOGGED])
            self.unlogged = []

    def gauges(self) -> dict[str, float]:
        """Return the metrics."""
        gauges = {f'preemptions_total{{kind="{kind}"}}': float(count)
                  for kind, count in self.runs_by_kind.items()}
        gauges["preemption_lost_core_s_total"] = self.lost_core_s
        gauges["reservations_expired_total"] = float(self.expired_holds)
        return gauges


def kind_of(step: messages.Step) -> str:
    """Return the kind of a run, as metrics name it."""
    if step.perpetual:
        return LONG_RUNNING
    if step.fills:
        return BEST_EFFORT
    return SAVING if step.checkpoint else LOSING


def lost_s(task: progress.TaskState, worker: workerstate.WorkerState,
           costs: StopCosts, now: float) -> float:
    """Return the work that is lost by stopping a run, in seconds.

    A run that saves checkpoints also saves one when it is ordered to stop.
    On a worker with failed runs or unanswered starts that may fail; then the
    work since the last checkpoint is lost, half an interval on average.
    """
    if task.step.perpetual:
        return LONG_RUNNING_DOWN_S
    elapsed_s = now - task.started_at if task.started_at else 0.0
    if not task.step.checkpoint:
        return elapsed_s
    if worker.failures or worker.unanswered_starts:
        return costs.restore_s + min(elapsed_s,
                                     costs.checkpoint_interval_s / 2.0)
    return costs.restore_s


def slack_s(state: progress.JobState, queue: messages.Queue,
            run_times: runtimes.RunTimeModel, wall_ms: float) -> float:
    """Return how much longer a job may wait and meet its objective."""
    job = state.job
    finish_s: list[float] = []
    for index, step in enumerate(job.steps):
        is_done = all(state.step_done(occurrence, index)
                      for occurrence in range(job.occurrences()))
        run_s = 0.0 if is_done else run_times.expected_s(job.queue, step)
        start_s = max((finish_s[earlier] for earlier in step.after),
                      default=0.0)
        finish_s.append(start_s + run_s)
    allowed_ms = queue.stretch * state.critical_path_ms + queue.slo_ms
    elapsed_ms = wall_ms - max(job.accepted_ms, job.due_ms(0))
    return (allowed_ms - elapsed_ms) / 1000.0 - max(finish_s)


class VictimFinder:
    """Choose victims within a round; caches the candidates of each worker."""

    def __init__(self, fleet: "state_mod.FleetState", costs: StopCosts,
                 queues: dict[str, messages.Queue],
                 freeing: freeing_mod.FreeingCapacity,
                 now: float, wall_ms: float) -> None:
        self.fleet = fleet
        self.costs = costs
        self.queues = queues
        self.freeing = freeing
        self.now = now
        self.wall_ms = wall_ms
        # The choices for the step that was last asked for.
        self.step: messages.Step | None = None
        self.job: progress.JobState | None = None
        self.heap: list[HeapEntry] = []
        self.uncompared: typing.Iterator[workerstate.WorkerState] = iter(())
        # The candidates of a worker, as of a change number.
        self.finite: dict[str, tuple[int, list[Candidate]]] = {}
        self.long_running: dict[str, list[Candidate]] | None = None
        # How many tasks of a long-running step may be stopped.
        self.allowances: dict[messages.StepId, int] = {}

    def choose(self, waiting: Waiting) -> Choice | None:
        """Return the finite runs to stop that lose the least, or None.

        The workers are compared once for all tasks of a step.  Until the next
        step, choices on them only become worse, so only the best one is
        checked again for each task.
        """
        if self.step is not waiting.task.step or self.job is not waiting.job:
            self.step, self.job = waiting.task.step, waiting.job
            self.heap = []
            self.uncompared = self._in_order(waiting.workers)
        while self.heap or self._compare_more(waiting):
            order, position, worker = self.heap[0]
            choice = self._choose_on(worker, waiting, self._finite_on)
            if choice is None:
                heapq.heappop(self.heap)
            elif choice.order() <= order:
                return choice
            else:
                heapq.heapreplace(
                    self.heap, (choice.order(), position, worker))
        return None

    def _in_order(self, workers: list[workerstate.WorkerState]
                  ) -> typing.Iterator[workerstate.WorkerState]:
        """Return the workers in the order in which they are compared.

        Fewer runs must be stopped on workers with more free CPU.
        """
        if len(workers) > MAX_COMPARED_WORKERS:
            workers = sorted(workers, key=lambda w: -w.free_capacity().cpu)
        return iter(workers)

    def _compare_more(self, waiting: Waiting) -> bool:
        """Add the next workers on which victims suffice; False if none."""
        for worker in self.uncompared:
            choice = self._choose_on(worker, waiting, self._finite_on)
            if choice is not None:
                self.heap.append((choice.order(), len(self.heap), worker))
                if len(self.heap) >= MAX_COMPARED_WORKERS:
                    break
        heapq.heapify(self.heap)
        return bool(self.heap)

    def choose_long_running(self, waiting: Waiting) -> Choice | None:
        """Return runs to stop of which some are long-running, or None."""
        if waiting.task.step.gang or waiting.task.step.fills:
            return None
        by_worker = self._stoppable_long_running()
        if not by_worker:
            return None
        may_stop_equal = self._is_last_chance(waiting)
        if not may_stop_equal and waiting.priority >= max(
                c.priority for found in by_worker.values() for c in found):
            return None

        def candidates_on(worker: workerstate.WorkerState,
                          ) -> list[Candidate]:
            return self._finite_on(worker) + self._allowed_here(
                by_worker[worker.entry.worker_id], waiting, may_stop_equal)
        return self._choose(
            waiting, [w for w in waiting.workers
                      if w.entry.worker_id in by_worker],
            candidates_on, may_stop_equal)

    def record_stops(self, choice: Choice) -> None:
        """Record that the runs of a choice have been ordered to stop."""
        self.finite.pop(choice.worker.entry.worker_id, None)
        for victim in choice.victims:
            step_id = victim.task.task.step_id()
            if step_id in self.allowances:
                self.allowances[step_id] -= 1

    def _choose(self, waiting: Waiting,
                workers: list[workerstate.WorkerState],
                candidates_on: typing.Callable[
                    [workerstate.WorkerState], list[Candidate]],
                may_stop_equal: bool = False) -> Choice | None:
        best: Choice | None = None
        for worker in workers:
            chosen = self._choose_on(worker, waiting, candidates_on,
                                     may_stop_equal)
            if chosen is not None and (
                    best is None or chosen.order() < best.order()):
                best = chosen
        return best

    def _choose_on(self, worker: workerstate.WorkerState, waiting: Waiting,
                   candidates_on: typing.Callable[
                       [workerstate.WorkerState], list[Candidate]],
                   may_stop_equal: bool = False) -> Choice | None:
        """Return the runs to stop on a worker so that a task fits."""
        request = waiting.task.step.reserved()
        if (self.fleet.held_workers.is_paused(worker)
                or not worker.entry.capacity.holds(request)):
            return None
        available = worker.free_capacity().plus(self.freeing.on_worker(worker))
        ending: list[Candidate] = []
        others: list[Candidate] = []
        for candidate in candidates_on(worker):
            if candidate.task.phase != progress.RUNNING:
                # A copy stopped for another task since it was found.
                continue
            if candidate.priority > waiting.priority or (
                    may_stop_equal and candidate.task.step.perpetual):
                (ending if candidate.ends_as_soon else others).append(
                    candidate)
        for candidate in ending:
            available = available.plus(candidate.task.step.reserved())
        if not (ending or others) or not placing.allowed(
                worker, waiting.service, waiting.task):
            return None
        if (waiting.task.step.max_per_worker
                and self.fleet.held_workers.holds_for_step(
                    worker, waiting.task.task.step_id())):
            return None
        victims = _cheapest(request.minus(available), others)
        if victims is None:
            return None
        return Choice(worker, victims, sum(c.cost for c in victims))

    def _ends_as_soon(self, task: progress.TaskState) -> bool:
        """Return whether a run ends as soon as if it were ordered to stop.

        Only by its progress: it is extrapolated to a later end for as long
        as no further progress is reported, so a run that hangs is stopped.
        """
        if (task.step.perpetual
                or not runtimes.MIN_PERCENT <= task.percent < 100
                or not task.started_at):
            return False
        elapsed_s = self.now - task.started_at
        remaining_s = elapsed_s * (100 - task.percent) / task.percent
        return remaining_s <= self.costs.stop_s

    def _finite_on(self, worker: workerstate.WorkerState) -> list[Candidate]:
        """Return the finite runs on a worker that are not of priority 0."""
        worker_id = worker.entry.worker_id
        known = self.finite.get(worker_id)
        if known is not None and known[0] == worker.change_number:
            return known[1]
        found = []
        for (_, run), task in worker.tasks.items():
            if (task.phase != progress.RUNNING or task.step.perpetual
                    or not self.fleet.is_current(worker, task, run)):
                continue
            candidate = self._candidate(task, worker)
            if candidate.priority > 0:
                found.append(candidate)
        self.finite[worker_id] = worker.change_number, found
        return found

    def _candidate(self, task: progress.TaskState,
                   worker: workerstate.WorkerState) -> Candidate:
        state = self.fleet.jobs[task.task.job_id]
        step = task.step
        # If one member of a gang stops, the work of all of them is lost.
        runs = step.count if step.gang else 1
        lost_core_s = (runs * step.room.cpu / 1000.0
                       * lost_s(task, worker, self.costs, self.now))
        gain_s = USEFUL_S
        if not step.perpetual and task.started_at:
            gain_s = min(USEFUL_S, max(
                MIN_GAIN_S, self.fleet.run_times.remaining_s(
                    state.job.queue, step, self.now - task.started_at,
                    task.percent)))
        return Candidate(task, ordering.priority(state, self.queues),
                         lost_core_s, lost_core_s * USEFUL_S / gain_s,
                         self._ends_as_soon(task))

    def _is_last_chance(self, waiting: Waiting) -> bool:
        """Return whether an urgent job meets its objective only if it starts.

        A job that can't meet it any more is not helped by stopping others.
        """
        queue = self.queues.get(waiting.job.job.queue)
        if (waiting.priority != 0 or queue is None
                or not demand.is_finite(waiting.task.step)):
            return False
        left_s = slack_s(waiting.job, queue, self.fleet.run_times,
                         self.wall_ms) - self.costs.stop_s
        return 0.0 <= left_s <= LAST_CHANCE_S

    def _stoppable_long_running(self) -> dict[str, list[Candidate]]:
        """Return the long-running tasks that may be missed, by worker."""
        if self.long_running is not None:
            return self.long_running
        self.long_running = collections.defaultdict(list)
        for state in self.fleet.active.values():
            for tasks in (state.tasks.values() if state.long_running else ()):
                step = tasks[0].step
                if not step.perpetual or step.gang or step.may_miss <= 0:
                    continue
                up = [t for t in tasks if self._is_up(t)]
                allowance = min(step.may_miss - (len(tasks) - len(up)),
                                len(up) - demand.majority(step))
                if allowance <= 0:
                    continue
                self.allowances[tasks[0].task.step_id()] = allowance
                for task in up:
                    self.long_running[task.worker_id].append(self._candidate(
                        task, self.fleet.workers[task.worker_id]))
        return self.long_running

    def _is_up(self, task: progress.TaskState) -> bool:
        worker = self.fleet.workers.get(task.worker_id)
        return (task.phase == progress.RUNNING and worker is not None
                and not worker.unresponsive)

    def _allowed_here(self, candidates: list[Candidate], waiting: Waiting,
                      may_stop_equal: bool) -> list[Candidate]:
        """Return as many long-running runs as each step may miss."""
        left = dict(self.allowances)
        found = []
        for candidate in candidates:
            step_id = candidate.task.task.step_id()
            if (candidate.task.phase != progress.RUNNING
                    or left[step_id] <= 0
                    or not (may_stop_equal
                            or candidate.priority > waiting.priority)):
                continue
            left[step_id] -= 1
            found.append(candidate)
        return found


def _cheapest(shortage: messages.Resources,
              candidates: list[Candidate]) -> list[Candidate] | None:
    """Return runs that free a shortage at low cost, or None if none do.

    Runs are added by cost for what they free, then those are left out that
    are not needed; a single run that suffices may be cheaper.
    """
    if messages.Resources().holds(shortage):
        return []
    useful = [(c, use) for c in candidates
              if (use := _use(shortage, c.task.step.reserved())) > 0.0]
    useful.sort(key=lambda row: row[0].cost / row[1])
    chosen: list[Candidate] = []
    left = shortage
    for candidate, _ in useful:
        if messages.Resources().holds(left):
            break
        chosen.append(candidate)
        left = left.minus(candidate.task.step.reserved())
    if not messages.Resources().holds(left):
        return None
    for candidate in sorted(chosen, key=lambda c: -c.cost):
        without = left.plus(candidate.task.step.reserved())
        if messages.Resources().holds(without):
            chosen.remove(candidate)
            left = without
    single = min((c for c, _ in useful
                  if c.task.step.reserved().holds(shortage)),
                 key=lambda c: c.cost, default=None)
    if single is not None and single.cost <= sum(c.cost for c in chosen):
        return [single]
    return chosen


def _use(shortage: messages.Resources, freed: messages.Resources) -> float:
    """Return how much of a shortage is freed, 1 for each resource at most."""
    return sum(min(1.0, got / short) for short, got in (
        (shortage.cpu, freed.cpu), (shortage.mem_mb, freed.mem_mb),
        (shortage.gpu, freed.gpu)) if short > 0)
