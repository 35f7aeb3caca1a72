"""Sum up how full the fleet is, and how busy its owner is with placing."""

import dataclasses
import typing

from sycamorefield.fleet import progress
from sycamorefield import metrics

if typing.TYPE_CHECKING:
    from sycamorefield.fleet import state as state_mod

# Names of the histograms, see metrics.CALLS.
ROUND = "round"
ROUND_WAIT = "round_wait"
REPORT = "report"
COMMIT = "commit"


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Hold cores as reserved, workers, and tasks that wait for room."""

    capacity_cores: float
    reserved_cores: float
    reserved_memory: float
    filling_cores: float
    widest_gap_cores: float
    workers: int
    workers_silent: int
    workers_unheard: int
    # Set aside for tasks that are suspected of crashing workers.
    workers_set_aside: int
    # What lasting tasks reserve, and the room kept for short work beside
    # lasting jobs of the priority that keeps most.
    lasting_cores: float
    kept_cores: float
    # The room kept for lasting jobs to come.
    ahead_cores: float
    # Ready tasks without a run, by priority.
    waiting: dict[int, int]
    # Lasting tasks that ran and have no run: how many, for how long the one
    # that waits longest, and the cores that the widest of them needs.
    lasting_down: int
    lasting_down_s: float
    lasting_down_cores: float


def measure(fleet: "state_mod.FleetState", now: float) -> Usage:
    """Return how full the fleet is and what waits.

    The lock is taken anew for each job: with hundreds of them, reports and
    leases would otherwise wait for the whole count.
    """
    with fleet.lock:
        states = list(fleet.active.values())
    waiting: dict[int, int] = {}
    down = []
    down_s = 0.0
    for state in states:
        with fleet.lock:
            level = state.job.priority
            waiting[level] = waiting.get(level, 0) + _ready(state)
            if state.lasting:
                down += _down(state)
                down_s = max(down_s, state.down_for(now))
    with fleet.lock:
        workers = [w for w in fleet.workers.values() if w.listed]
        capacity = sum(w.entry.capacity.cpu for w in workers)
        memory = sum(w.entry.capacity.mem_mb for w in workers)
        kept = fleet.demand.total_kept_cpu(capacity, now)
        kept_for_new_jobs_cpu = fleet.demand.kept_for_new_jobs_cpu(
            capacity, now)
        return Usage(
            capacity / 1000.0, sum(w.used.cpu for w in workers) / 1000.0,
            sum(w.used.mem_mb for w in workers) / max(1, memory),
            sum(w.filling_cpu for w in workers) / 1000.0,
            max((w.free().cpu for w in workers), default=0) / 1000.0,
            len(workers),
            sum(1 for w in fleet.workers.values() if w.silent),
            len(fleet.unheard), len(fleet.trials.by_worker),
            sum(w.lasting_cpu for w in workers) / 1000.0,
            kept / 1000.0, kept_for_new_jobs_cpu / 1000.0, waiting, len(down),
            round(down_s, 3),
            max((t.step.room.cpu for t in down), default=0) / 1000.0)


def _ready(state: progress.JobState) -> int:
    """Return how many tasks of a job wait for nothing but room."""
    return sum(1 for (k, s), tasks in state.tasks.items()
               if state.step_ready(k, s) for t in tasks
               if t.phase == progress.IDLE and not t.done)


def _down(state: progress.JobState) -> list[progress.TaskState]:
    return [task for task in state.all_tasks()
            if task.phase == progress.IDLE and task.ran]


@dataclasses.dataclass
class RoundTimes:
    """Count rounds of placing and the time in and between them."""

    rounds: int = 0
    busy_s: float = 0.0
    waited_s: float = 0.0
    longest_s: float = 0.0

    def add(self, waited_s: float, took_s: float) -> None:
        """Note one round and the time since the round before it."""
        self.rounds += 1
        self.busy_s += took_s
        self.waited_s += waited_s
        self.longest_s = max(self.longest_s, took_s)
        metrics.CALLS.record(ROUND, took_s)
        metrics.CALLS.record(ROUND_WAIT, waited_s)

    def since(self, earlier: "RoundTimes") -> dict[str, float]:
        """Return what was added since an earlier copy, for the log."""
        return {"rounds": self.rounds - earlier.rounds,
                "rounds_busy_s": round(self.busy_s - earlier.busy_s, 3),
                "rounds_waited_s": round(self.waited_s - earlier.waited_s,
                                         3)}
