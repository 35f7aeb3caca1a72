"""Measure the fleet's backlog for its owner.

Each measurement takes time for every active job and every worker.  The
fleet's lock is released in between, as in usage.measure.
"""

import collections
import dataclasses
import threading
import time
import typing

from sycamorefield import events
from sycamorefield.fleet import backlog as backlog_mod
from sycamorefield.fleet import besteffortbacklog
from sycamorefield.fleet import clock
from sycamorefield.fleet import demand
from sycamorefield.fleet import messages
from sycamorefield.fleet import ordering
from sycamorefield.fleet import progress
from sycamorefield.fleet import recentrange
from sycamorefield.fleet import runtimes
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import workerstate

PERIOD_S = 1.0
WORKERS_PER_LOCK = 200
# A new owner says nothing for this long: what its workers run and which of
# them answer is still being learnt.
WARM_UP_S = 5.0
# A backlog without waits is stored for this long after one with waits, which
# would otherwise be used until it is too old.
REPLACE_S = 4.0
# No waits are published for a pool of which the listed CPU changed by more
# than MAX_CHANGE within CHANGE_WINDOW_S, or of which more than this cannot be
# used: it grows, drains or is being restarted, so its CPU is not known.
CHANGE_WINDOW_S = 10.0
MAX_CHANGE = 0.1
# A pool with more CPU free than this is not overloaded: its tasks wait for
# something else.  Tasks of a third of a worker can leave nearly a third of it
# unused, and about half of that on average.
MAX_FREE_SHARE = 0.25
# What the queues got is averaged with this half-life.
GOT_HALF_LIFE_S = 15.0
BoundsByQueue = dict[tuple[str, bool], backlog_mod.RunBounds]


@dataclasses.dataclass(slots=True)
class Capacity:
    """CPU of a pool's workers, in thousandths of a core."""

    listed: int = 0
    usable: int = 0
    free: int = 0
    widest: int = 0
    long_running: int = 0

    def add(self, cpu: int, long_running: int, free: int) -> None:
        """Add a worker; free is -1 if it is not usable."""
        self.listed += cpu
        self.long_running += long_running
        if free >= 0:
            self.usable += cpu
            self.free += free
            self.widest = max(self.widest, free)


@dataclasses.dataclass(slots=True)
class Load:
    """What the active jobs wait for and use."""

    works: list[backlog_mod.Work]
    # CPU of running finite tasks, in thousandths of a core, and their
    # core-seconds: by service and priority.
    running_cpu: collections.Counter[tuple[str, int]]
    running_cpu_s: collections.defaultdict[tuple[str, int], float]
    running_cpu_by_queue: collections.Counter[str]
    # The narrowest finite step of each queue's jobs.
    narrowest: dict[str, int]
    best_effort: besteffortbacklog.BestEffortWork


class BacklogMeter:
    """Measure the backlog once a second; data is its form to be stored.

    data is None while there is nothing to reject jobs for.
    """

    def __init__(self, fleet: state_mod.FleetState) -> None:
        self.fleet = fleet
        self.started_at: float | None = None
        self.measured_at = -PERIOD_S
        self.latest: backlog_mod.Backlog | None = None
        self.data: bytes | None = None
        self.measure_s = 0.0
        self.overloaded = False
        self.last_waits_at = float("-inf")
        self.listed_cpu: dict[str, recentrange.RecentRange] = {}
        self.got_cpu: dict[str, float] = {}
        self.got_at: float | None = None
        self.best_effort = besteffortbacklog.BestEffortMeter()

    def run(self, stopped: threading.Event) -> None:
        """Measure until stopped."""
        while not stopped.wait(PERIOD_S):
            try:
                self.update(clock.now(), clock.wall_ms())
            except Exception as exc:
                # Without a backlog no job is rejected; the term goes on.
                self.latest = self.data = None
                events.emit(events.THREAD_FAILED, reason=repr(exc),
                            where=events.error_location(exc))

    def update(self, now: float, wall_ms: float) -> None:
        """Measure the backlog."""
        began = time.perf_counter()
        self.latest = self._measure(now, wall_ms)
        overloaded = self.latest is not None and self.latest.waits()
        if overloaded:
            self.last_waits_at = now
        # One without waits rejects nothing, but it replaces one with waits.
        self.data = (backlog_mod.encode(self.latest)
                     if (self.latest is not None
                         and now - self.last_waits_at <= REPLACE_S) else None)
        self.measure_s = time.perf_counter() - began
        if overloaded != self.overloaded:
            self.overloaded = overloaded
            events.emit(events.OVERLOAD_CHANGED, overloaded=overloaded,
                        fence=self.fleet.fence, waits=self.gauges())

    def gauges(self) -> dict[str, float]:
        """Return metrics of the backlog as last measured."""
        gauges = {"backlog_measure_s": self.measure_s,
                  "backlog_bytes": float(len(self.data or b""))}
        latest = self.latest
        for load in latest.best_effort if latest is not None else ():
            label = (f'{{service="{load.service}",image="{load.image or ""}",'
                     f'priority="{load.priority}"}}')
            gauges["best_effort_waiting_cpu_s" + label] = load.waiting_cpu_s
            gauges["best_effort_drain_s" + label] = load.drain_s()
        for pool in latest.pools if latest is not None else ():
            if not pool.requires:
                label = (f'{{service="{pool.service}",'
                         f'priority="{pool.priority}"}}')
                gauges["backlog_waiting_cpu_s" + label] = pool.waiting_cpu_s
                gauges["backlog_wait_s" + label] = max(
                    (wait.wait_s for wait in pool.waits), default=0.0)
        return gauges

    def _measure(self, now: float,
                 wall_ms: float) -> backlog_mod.Backlog | None:
        fleet = self.fleet
        if self.started_at is None:
            self.started_at = now
        with fleet.lock:
            states = list(fleet.active.values())
            queues = fleet.configuration().queues_by_name()
            bounds = _copy_bounds(fleet.run_times)
            settled = (not fleet.awaits_reports(now)
                       and fleet.has_current_list(now)
                       and not fleet.store_unreachable)
        load = self._add_up_jobs(states, queues, bounds, now, wall_ms)
        capacities = self._add_up_workers(
            {work.pool for work in load.works})
        self._update_history(load, capacities, queues, now)
        best_effort = self.best_effort.measure(load.best_effort, {
            pool.service: capacity.listed
            for pool, capacity in capacities.items() if not pool.requires},
            now)
        if not settled or now - self.started_at < WARM_UP_S:
            return None
        pools = tuple(self._pools(load, capacities, queues))
        return backlog_mod.Backlog(
            backlog_mod.VERSION, round(wall_ms, 1), fleet.fence, pools,
            {name: self._queue_load(queue, load, pools, bounds)
             for name, queue in queues.items()}, best_effort)

    def _add_up_jobs(self, states: list[progress.JobState],
                     queues: dict[str, messages.Queue],
                     bounds: BoundsByQueue, now: float,
                     wall_ms: float) -> Load:
        load = Load([], collections.Counter(),
                    collections.defaultdict(float), collections.Counter(),
                    {},
                    besteffortbacklog.BestEffortWork())
        by_lateness = self.fleet.policy.rank_by_lateness
        for state in states:
            queue = queues.get(state.job.queue)
            if queue is None:
                continue
            with self.fleet.lock:
                lapse_s = _lapse_s(state, queue, wall_ms, by_lateness)
                for occurrence, number in list(state.tasks):
                    _add_step(load, state, queue, (occurrence, number),
                              bounds, lapse_s, now)
                load.best_effort.add_job(
                    queue, state, bounds.get((queue.name, True)))
        return load

    def _add_up_workers(self, pools: set[backlog_mod.PoolKey]
                        ) -> dict[backlog_mod.PoolKey, Capacity]:
        """Return the CPU of each service, and of each label waited for."""
        fleet = self.fleet
        capacities: dict[backlog_mod.PoolKey, Capacity] = {}
        labels = {pool.requires for pool in pools if pool.requires}
        with fleet.lock:
            workers = list(fleet.workers.values())
        for first in range(0, len(workers), WORKERS_PER_LOCK):
            with fleet.lock:
                for worker in workers[first:first + WORKERS_PER_LOCK]:
                    if not worker.listed:
                        continue
                    entry = worker.entry
                    free = (max(0, worker.free_capacity().cpu)
                            if (_is_known(worker)
                                and not fleet.is_evacuated(worker)) else -1)
                    for label in {"", *(labels & set(entry.labels))}:
                        capacities.setdefault(
                            backlog_mod.PoolKey(entry.service, label),
                            Capacity()).add(entry.capacity.cpu,
                                            worker.long_running_cpu, free)
        return capacities

    def _update_history(self, load: Load,
                        capacities: dict[backlog_mod.PoolKey, Capacity],
                        queues: dict[str, messages.Queue],
                        now: float) -> None:
        for pool, capacity in capacities.items():
            if not pool.requires:
                self.listed_cpu.setdefault(
                    pool.service,
                    recentrange.RecentRange(CHANGE_WINDOW_S)).add(
                        capacity.listed, now)
        elapsed_s = 0.0 if self.got_at is None else now - self.got_at
        kept = 0.5 ** (elapsed_s / GOT_HALF_LIFE_S)
        self.got_at = now
        self.got_cpu = {
            name: (self.got_cpu.get(name, 0.0) * kept
                   + load.running_cpu_by_queue[name] * (1.0 - kept))
            for name in queues}

    def _pools(self, load: Load,
               capacities: dict[backlog_mod.PoolKey, Capacity],
               queues: dict[str, messages.Queue]
               ) -> typing.Iterator[backlog_mod.Pool]:
        for pool, capacity in capacities.items():
            for service, priority in _classes(queues):
                if service == pool.service:
                    yield self._pool(load, pool, capacity, priority)

    def _pool(self, load: Load, key: backlog_mod.PoolKey, capacity: Capacity,
              priority: int) -> backlog_mod.Pool:
        ahead = backlog_mod.works_ahead(load.works, key, priority)
        cpu = max(0, capacity.listed - capacity.long_running)
        # All of it may serve a new job: more urgent work that is still to come
        # may not come.  Less urgent runs are preempted for it.
        free_cpu = capacity.free + sum(
            used for (service, other), used in load.running_cpu.items()
            if service == key.service and other > priority)
        waits: tuple[backlog_mod.Wait, ...] = ()
        if (cpu and free_cpu <= MAX_FREE_SHARE * cpu
                and capacity.usable >= (1.0 - MAX_CHANGE) * capacity.listed
                and not self.listed_cpu[key.service].has_changed(MAX_CHANGE)):
            waits = backlog_mod.find_waits(ahead, cpu / 1000.0)
        running_cpu_s = sum(
            cpu_s for (service, other), cpu_s in load.running_cpu_s.items()
            if service == key.service and other <= priority)
        return backlog_mod.Pool(
            key.service, key.requires, priority,
            round(sum(work.cpu_s for work in ahead), 1),
            round(running_cpu_s, 1), round(cpu / 1000.0, 1),
            capacity.widest / 1000.0, waits)

    def _queue_load(self, queue: messages.Queue, load: Load,
                    pools: tuple[backlog_mod.Pool, ...],
                    bounds: BoundsByQueue) -> backlog_mod.QueueLoad:
        width = load.narrowest.get(queue.name, 0)
        first_s = max((wait.wait_s for pool in pools
                       if (pool.service == queue.service and not pool.requires
                           and pool.priority == queue.priority)
                       for wait in pool.waits if wait.cpu <= width),
                      default=0.0)
        return backlog_mod.QueueLoad(
            queue.service, queue.priority,
            round(self.got_cpu.get(queue.name, 0.0) / 1000.0, 3), first_s,
            bounds.get((queue.name, False)), bounds.get((queue.name, True)))


def _classes(queues: dict[str, messages.Queue]) -> set[tuple[str, int]]:
    return {(queue.service, queue.priority) for queue in queues.values()}


def _copy_bounds(model: runtimes.RunTimeModel) -> BoundsByQueue:
    found = {key: backlog_mod.learnt_bounds(known)
             for key, known in model.queues.items()}
    return {key: bounds for key, bounds in found.items()
            if bounds is not None}


def _is_known(worker: workerstate.WorkerState) -> bool:
    """Return whether a worker serves, if not just now.

    One that is avoided for some seconds does.
    """
    return (worker.enrolled and worker.has_reported
            and not worker.unresponsive and not worker.entry.draining
            and worker.entry_is_of_current_life())


def _lapse_s(state: progress.JobState, queue: messages.Queue, wall_ms: float,
             by_lateness: bool) -> float:
    """Return how long a waiting job stays on time, as ordering.lateness."""
    if not by_lateness:
        return float("inf")
    due_since_ms = max(state.job.accepted_ms, state.job.due_ms(0))
    allowed_ms = queue.stretch * state.critical_path_ms + queue.slo_ms
    needed_ms = (wall_ms - due_since_ms + ordering.OPTIMISTIC_ESTIMATE_SHARE
                 * state.remaining_critical_path_ms())
    return (allowed_ms - needed_ms) / 1000.0


def _add_step(load: Load, state: progress.JobState, queue: messages.Queue,
              index: progress.StepIndex, bounds: BoundsByQueue,
              lapse_s: float, now: float) -> None:
    """Add the waiting and running tasks of a step of a job."""
    step = state.job.steps[index[1]]
    if not demand.is_finite(step) or state.step_done(*index):
        return
    cpu = step.room.cpu
    load.narrowest[queue.name] = min(
        cpu, load.narrowest.get(queue.name, cpu))
    tasks = state.tasks[index]
    known = bounds.get((queue.name, False))
    # Work of a queue without learnt run times counts as none.
    task_s = (known.task_s(step, backlog_mod.MID)
              if known is not None else 0.0)
    idle = [task for task in tasks if task.phase == progress.IDLE]
    running = len(tasks) - len(idle)
    load.running_cpu[queue.service, queue.priority] += running * cpu
    load.running_cpu_by_queue[queue.name] += running * cpu
    load.running_cpu_s[queue.service, queue.priority] += (
        running * cpu * task_s / 2000.0)
    waiting = len([task for task in idle
                   if not task.done and task.not_before <= now
                   and task.suspicion is None])
    if (not waiting or not task_s or queue.advice is not None
            or not _waits_for_cpu_alone(step)):
        return
    load.works.append(backlog_mod.Work(
        backlog_mod.PoolKey(queue.service, step.requires), queue.priority,
        _ready_s(state, index, bounds), lapse_s, state.created_revision, cpu,
        waiting * cpu * task_s / 1000.0))


def _waits_for_cpu_alone(step: messages.Step) -> bool:
    """Return whether any worker with enough CPU could run a task."""
    return not (step.room.gpu or step.gang or step.same_rack
                or step.max_per_worker)


def _ready_s(state: progress.JobState, index: progress.StepIndex,
             bounds: BoundsByQueue) -> float:
    """Return when a step's predecessors end, if each begins at once."""
    occurrence, number = index
    ends_s: list[float] = []
    for earlier, step in enumerate(state.job.steps[:number + 1]):
        start_s = max((ends_s[before] for before in step.after), default=0.0)
        if earlier == number:
            return start_s
        known = bounds.get((state.job.queue, step.fills))
        run_s = (known.task_s(step, backlog_mod.MID) if known is not None
                 else step.estimate_ms / 1000.0)
        ends_s.append(0.0 if state.step_done(occurrence, earlier)
                      else start_s + run_s)
    return 0.0
