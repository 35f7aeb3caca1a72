"""Choose runs to stop for a waiting task by the work that is lost.

Stopping the fewest runs, and of these the last started, loses the work of runs
that save no checkpoints where others would lose only the time to resume, and
stops runs that would end as soon as the stop.
"""

import bisect
import collections
import dataclasses
import itertools
import typing

from sycamorefield import events
from sycamorefield.fleet import comparisons
from sycamorefield.fleet import demand
from sycamorefield.fleet import freeing as freeing_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import ordering
from sycamorefield.fleet import placement_cache
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
    frees: messages.Resources


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The runs to stop on a worker; none if enough end by themselves."""

    worker: workerstate.WorkerState
    victims: list[Candidate]
    cost: float

    def order(self) -> comparisons.Order:
        """Return the sort key: the least is best."""
        return self.cost, len(self.victims)


@dataclasses.dataclass(frozen=True, slots=True)
class CheapestStops:
    """Lower bounds of what it costs to stop runs on a worker."""

    # What runs reserve that end as soon as if they were ordered to stop.
    ending: messages.Resources
    least_cost: float
    # What the other runs reserve and cost, the cheapest for their CPU first,
    # as running totals that begin with zeros.
    cpu_totals: list[int]
    cost_totals: list[float]

    def cost(self, cpu: int) -> float:
        """Return the cost of freeing CPU if runs could be stopped in part."""
        if cpu <= 0:
            return self.least_cost
        index = bisect.bisect_left(self.cpu_totals, cpu)
        if index == len(self.cpu_totals):
            return self.cost_totals[-1]
        cpu_before = self.cpu_totals[index - 1]
        cost_before = self.cost_totals[index - 1]
        share = (cpu - cpu_before) / (self.cpu_totals[index] - cpu_before)
        return max(self.least_cost, cost_before + share * (
            self.cost_totals[index] - cost_before))


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A task that fits on no worker, and the workers that it may use.

    The scope is that of all tasks that may use the same workers, with the
    priority.
    """

    job: progress.JobState
    task: progress.TaskState
    priority: int
    service: str
    workers: list[workerstate.WorkerState]
    scope: placement_cache.SearchScope

    def need(self) -> comparisons.Need:
        """Return what the task has in common with others."""
        return comparisons.Need(self.scope, self.task.step.room)


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
    """Choose victims within a round.

    What a search finds holds for all tasks of equal need: the workers on which
    victims suffice are compared once, and a failed search is not repeated for
    requests at least as large.  While runs are only started and stopped for
    waiting tasks, a request for which no victims suffice never fits later in
    the round; what else frees capacity is to be recorded.
    """

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
        self.shares_searches = fleet.policy.remember_shortage
        self.comparisons: dict[
            comparisons.Need, comparisons.Comparison] = {}
        self.positions = {worker_id: position for position, worker_id
                          in enumerate(fleet.workers)}
        # The workers that were last sorted, and the result.
        self.sorted_workers: tuple[list[workerstate.WorkerState],
                                   list[workerstate.WorkerState]] = ([], [])
        # Workers on which choices may have become better.
        self.changed: list[workerstate.WorkerState] = []
        # IDs of workers on which no other task may start in this round.
        self.excluded: set[str] = set()
        self.misses = placement_cache.UnplaceableRequests(
            self.shares_searches)
        # Failed searches for long-running victims, by whether those of equal
        # priority were included.
        self.long_running_misses = {
            may_stop_equal: placement_cache.UnplaceableRequests(
                self.shares_searches) for may_stop_equal in (False, True)}
        # The candidates of a worker, as of a change number.
        self.finite: dict[str, tuple[int, list[Candidate]]] = {}
        # The choices by worker ID, priority and request, as of a change number
        # and of what is being freed.
        self.choices: dict[tuple[str, int, messages.Resources], tuple[
            tuple[int, messages.Resources], Choice | None]] = {}
        # By worker ID and priority, as of a change number.
        self.cheapest: dict[tuple[str, int], tuple[int, CheapestStops]] = {}
        self.long_running: dict[str, list[Candidate]] | None = None
        # The least urgent priority of long-running tasks that may be missed.
        self.long_running_priority = 0
        # How many tasks of a long-running step may be stopped.
        self.allowances: dict[messages.StepId, int] = {}

    def choose(self, waiting: Waiting) -> Choice | None:
        """Return the finite runs to stop that lose the least, or None."""
        need = waiting.need()
        if self.misses.covers(*need):
            return None

        def choose_on(worker: workerstate.WorkerState) -> Choice | None:
            # Headroom may not allow a worker any more that was compared.
            if waiting.scope.headroom and worker not in waiting.workers:
                return None
            return self._finite_choice(worker, waiting)
        choice = self._compare(waiting, need).best(
            lambda worker: self._least_order(worker, waiting), choose_on)
        if choice is None:
            self.misses.add(*need)
        return choice

    def _finite_choice(self, worker: workerstate.WorkerState,
                       waiting: Waiting) -> Choice | None:
        """Return the finite runs to stop on a worker, computed if need be."""
        if not self._may_use(worker, waiting):
            return None
        key = (worker.entry.worker_id, waiting.priority,
               waiting.task.step.reserved())
        state = worker.change_number, self.freeing.on_worker(worker)
        known = self.choices.get(key)
        if known is None or known[0] != state or not _all_running(known[1]):
            known = state, self._choose_on(worker, waiting, self._finite_on)
            self.choices[key] = known
        return known[1]

    def _compare(self, waiting: Waiting, need: comparisons.Need
                 ) -> comparisons.Comparison:
        """Return the comparison of workers for a need, with all changes."""
        comparison = (self.comparisons.get(need)
                      if self.shares_searches else None)
        if comparison is None:
            comparison = comparisons.Comparison(
                iter(self._in_order(waiting.workers)), len(self.changed),
                self.positions)
            self.comparisons[need] = comparison
        changed = self.changed[comparison.changes_seen:]
        comparison.changes_seen = len(self.changed)
        for worker in dict.fromkeys(changed):
            order = self._least_order(worker, waiting)
            if order is not None:
                comparison.push(order, worker)
        return comparison

    def _in_order(self, workers: list[workerstate.WorkerState]
                  ) -> list[workerstate.WorkerState]:
        """Return the workers in the order in which they are compared.

        Fewer runs must be stopped on workers with more free CPU.
        """
        if len(workers) <= comparisons.MAX_COMPARED_WORKERS:
            return list(workers)
        if self.sorted_workers[0] is not workers:
            self.sorted_workers = workers, sorted(
                workers, key=lambda w: -w.free_capacity().cpu)
        return self.sorted_workers[1]

    def _least_order(self, worker: workerstate.WorkerState,
                     waiting: Waiting) -> comparisons.Order | None:
        """Return a lower bound of the sort key of the choice on a worker.

        None if no finite victims suffice there.
        """
        freeable = self.fleet.freeable.below(
            worker, waiting.priority, self.queues)
        if freeable is None or not self._may_suffice(
                worker, waiting, freeable):
            return None
        stops = self._cheapest_on(worker, waiting.priority)
        available = worker.free_capacity().plus(
            self.freeing.on_worker(worker)).plus(stops.ending)
        short = waiting.task.step.reserved().minus(available)
        if messages.Resources().holds(short):
            return 0.0, 0
        return stops.cost(short.cpu), 1

    def _may_suffice(self, worker: workerstate.WorkerState, waiting: Waiting,
                     freeable: messages.Resources) -> bool:
        """Return whether a task fits once what is freeable is free.

        This is asked for each worker and need, so it creates no objects.
        """
        request = waiting.task.step.reserved()
        free = worker.free_capacity()
        freeing = self.freeing.on_worker(worker)
        return (request.cpu <= free.cpu + freeing.cpu + freeable.cpu
                and request.mem_mb <= (free.mem_mb + freeing.mem_mb
                                       + freeable.mem_mb)
                and request.gpu <= free.gpu + freeing.gpu + freeable.gpu
                and self._may_use(worker, waiting))

    def _may_use(self, worker: workerstate.WorkerState,
                 waiting: Waiting) -> bool:
        """Return whether runs may be stopped on a worker for a task."""
        step = waiting.task.step
        return (worker.entry.worker_id not in self.excluded
                and not self.fleet.held_workers.is_paused(worker)
                and worker.entry.capacity.holds(step.reserved())
                and placing.allowed(worker, waiting.service, waiting.task)
                and not (step.max_per_worker
                         and self.fleet.held_workers.holds_for_step(
                             worker, waiting.task.task.step_id())))

    def _cheapest_on(self, worker: workerstate.WorkerState,
                     priority: int) -> CheapestStops:
        """Return lower bounds of the costs of the runs below a priority."""
        key = worker.entry.worker_id, priority
        known = self.cheapest.get(key)
        if known is None or known[0] != worker.change_number:
            known = worker.change_number, _cheapest_stops(
                [c for c in self._finite_on(worker) if c.priority > priority])
            self.cheapest[key] = known
        return known[1]

    def choose_long_running(self, waiting: Waiting) -> Choice | None:
        """Return runs to stop of which some are long-running, or None."""
        if waiting.task.step.gang or waiting.task.step.fills:
            return None
        by_worker = self._stoppable_long_running()
        need = waiting.need()
        if not by_worker or self.long_running_misses[True].covers(*need):
            return None
        may_stop_equal = self._is_last_chance(waiting)
        if (not may_stop_equal
                and waiting.priority >= self.long_running_priority):
            return None
        misses = self.long_running_misses[may_stop_equal]
        if misses.covers(*need):
            return None

        def candidates_on(worker: workerstate.WorkerState,
                          ) -> list[Candidate]:
            return self._finite_on(worker) + self._allowed_here(
                by_worker[worker.entry.worker_id], waiting, may_stop_equal)
        choice = self._choose(
            waiting, [w for w in waiting.workers
                      if w.entry.worker_id in by_worker
                      and self._long_running_may_suffice(w, waiting)],
            candidates_on, may_stop_equal)
        if choice is None:
            misses.add(*need)
        return choice

    def _long_running_may_suffice(self, worker: workerstate.WorkerState,
                                  waiting: Waiting) -> bool:
        """Return whether a task fits without all runs that may be stopped."""
        freeable = self.fleet.freeable.below(
            worker, waiting.priority, self.queues) or messages.Resources()
        for candidate in self._stoppable_long_running()[
                worker.entry.worker_id]:
            freeable = freeable.plus(candidate.frees)
        return self._may_suffice(worker, waiting, freeable)

    def record_stops(self, choice: Choice) -> None:
        """Record that the runs of a choice have been ordered to stop."""
        self.finite.pop(choice.worker.entry.worker_id, None)
        self.changed.append(choice.worker)
        for victim in choice.victims:
            step_id = victim.task.task.step_id()
            if step_id in self.allowances:
                self.allowances[step_id] -= 1
        if any(victim.task.step.perpetual for victim in choice.victims):
            # What they free beyond the request is new to finite searches.
            self.record_gain(choice.worker)

    def record_gain(self, worker: workerstate.WorkerState) -> None:
        """Record that victims may suffice on a worker that did not before."""
        self.changed.append(worker)
        for misses in (self.misses, *self.long_running_misses.values()):
            misses.clear()

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
        if not self._may_use(worker, waiting):
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
            available = available.plus(candidate.frees)
        if not (ending or others):
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
                         self._ends_as_soon(task), step.reserved())

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
                    candidate = self._candidate(
                        task, self.fleet.workers[task.worker_id])
                    self.long_running[task.worker_id].append(candidate)
                    self.long_running_priority = max(
                        self.long_running_priority, candidate.priority)
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


def _all_running(choice: Choice | None) -> bool:
    """Return whether no victim was stopped since it was chosen."""
    return choice is None or all(
        victim.task.phase == progress.RUNNING for victim in choice.victims)


def _cheapest_stops(candidates: list[Candidate]) -> CheapestStops:
    """Return lower bounds of what it costs to stop some of the runs."""
    ending = messages.Resources()
    others = []
    for candidate in candidates:
        if candidate.ends_as_soon:
            ending = ending.plus(candidate.frees)
        else:
            others.append((candidate.cost,
                           candidate.frees.cpu))
    freeing_cpu = sorted((row for row in others if row[1]),
                         key=lambda row: row[0] / row[1])
    return CheapestStops(
        ending, min((cost for cost, _ in others), default=0.0),
        list(itertools.accumulate(
            (cpu for _, cpu in freeing_cpu), initial=0)),
        list(itertools.accumulate(
            (cost for cost, _ in freeing_cpu), initial=0.0)))


def _cheapest(shortage: messages.Resources,
              candidates: list[Candidate]) -> list[Candidate] | None:
    """Return runs that free a shortage at low cost, or None if none do.

    Runs are added by cost for what they free, then those are left out that
    are not needed; a single run that suffices may be cheaper.
    """
    if messages.Resources().holds(shortage):
        return []
    useful = [(c, use) for c in candidates
              if (use := _use(shortage, c.frees)) > 0.0]
    useful.sort(key=lambda row: row[0].cost / row[1])
    chosen: list[Candidate] = []
    left = shortage
    for candidate, _ in useful:
        if messages.Resources().holds(left):
            break
        chosen.append(candidate)
        left = left.minus(candidate.frees)
    if not messages.Resources().holds(left):
        return None
    for candidate in sorted(chosen, key=lambda c: -c.cost):
        without = left.plus(candidate.frees)
        if messages.Resources().holds(without):
            chosen.remove(candidate)
            left = without
    single = min((c for c, _ in useful
                  if c.frees.holds(shortage)),
                 key=lambda c: c.cost, default=None)
    if single is not None and single.cost <= sum(c.cost for c in chosen):
        return [single]
    return chosen


def _use(shortage: messages.Resources, freed: messages.Resources) -> float:
    """Return how much of a shortage is freed, 1 for each resource at most."""
    use = 0.0
    if shortage.cpu > 0:
        use += min(1.0, freed.cpu / shortage.cpu)
    if shortage.mem_mb > 0:
        use += min(1.0, freed.mem_mb / shortage.mem_mb)
    if shortage.gpu > 0:
        use += min(1.0, freed.gpu / shortage.gpu)
    return use
