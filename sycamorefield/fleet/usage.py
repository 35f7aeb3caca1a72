"""Statistics on the use of the fleet and on placement rounds."""

import dataclasses
import typing

from sycamorefield.fleet import progress
from sycamorefield import metrics

if typing.TYPE_CHECKING:
    from sycamorefield.fleet import state as state_mod

# Names of the histograms in metrics.CALLS.
ROUND = "round"
ROUND_WAIT = "round_wait"
REPORT = "report"
COMMIT = "commit"


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Reserved resources, workers and waiting tasks of the fleet.

    Without evacuated data centres, unless a field says otherwise.
    The field names are also the names of log fields.
    """

    capacity_cores: float
    reserved_cores: float
    # Share of the workers' memory, 0 to 1.
    reserved_memory: float
    # What best-effort runs request; it is not reserved.
    filling_cores: float
    # The most CPU that is free on a single worker that may get runs.
    widest_gap_cores: float
    workers: int
    workers_silent: int
    workers_unheard: int
    # Reserved for quarantine runs of tasks suspected of crashing workers.
    workers_set_aside: int
    # In evacuated data centres, and the runs there that go on.
    workers_evacuated: int
    runs_evacuated: int
    # What long-running tasks reserve, and what long-running jobs of the
    # priority that keeps most leave free for finite tasks.
    lasting_cores: float
    kept_cores: float
    # The capacity kept free for expected long-running jobs.
    ahead_cores: float
    # Ready tasks without a run, by priority.
    waiting: dict[int, int]
    # How long ago the finite job that has waited longest without a run was
    # due, by priority, in seconds.
    longest_wait_s: dict[int, float]
    # Long-running tasks that have run but have no run now: how many, the
    # longest downtime of a job, and the CPU that the largest needs.
    lasting_down: int
    lasting_down_s: float
    lasting_down_cores: float


def measure(fleet: "state_mod.FleetState", now: float,
            wall_ms: float) -> Usage:
    """Return the use of the fleet and the number of waiting tasks.

    The lock is released after each job: with hundreds of jobs, reports and
    lease renewals would otherwise wait until all are counted.
    """
    with fleet.lock:
        states = list(fleet.active.values())
    waiting: dict[int, int] = {}
    longest_wait_s: dict[int, float] = {}
    down_tasks = []
    longest_down_s = 0.0
    for state in states:
        with fleet.lock:
            priority = state.job.priority
            waiting[priority] = (waiting.get(priority, 0)
                                 + sum(map(len, state.ready_tasks())))
            if _waits_without_run(state):
                longest_wait_s[priority] = max(
                    longest_wait_s.get(priority, 0.0),
                    _waited_s(state, wall_ms))
            if state.long_running:
                down_tasks += _down_tasks(state)
                longest_down_s = max(longest_down_s, state.downtime_s(now))
    with fleet.lock:
        workers = [w for w in fleet.workers.values()
                   if w.listed and not fleet.is_evacuated(w)]
        evacuated = [w for w in fleet.workers.values()
                     if fleet.is_evacuated(w)]
        capacity_cpu = sum(w.entry.capacity.cpu for w in workers)
        memory_mb = sum(w.entry.capacity.mem_mb for w in workers)
        kept_cpu = fleet.demand.total_kept_cpu(capacity_cpu, now)
        ahead_cpu = fleet.demand.kept_for_new_jobs_cpu(capacity_cpu, now)
        return Usage(
            capacity_cpu / 1000.0, sum(w.used.cpu for w in workers) / 1000.0,
            sum(w.used.mem_mb for w in workers) / max(1, memory_mb),
            sum(w.best_effort_cpu for w in workers) / 1000.0,
            max((w.free_capacity().cpu for w in workers if w.was_usable),
                default=0) / 1000.0,
            len(workers),
            sum(1 for w in fleet.workers.values() if w.unresponsive),
            len(fleet.awaited_workers), len(fleet.trials.by_worker),
            len(evacuated), sum(len(w.reserved) for w in evacuated),
            sum(w.long_running_cpu for w in workers) / 1000.0,
            kept_cpu / 1000.0, ahead_cpu / 1000.0, waiting, longest_wait_s,
            len(down_tasks),
            round(longest_down_s, 3),
            max((t.step.room.cpu for t in down_tasks), default=0) / 1000.0)


def _waits_without_run(state: progress.JobState) -> bool:
    """Return whether a finite job has ready tasks and none that runs."""
    return (not state.long_running and any(state.ready_tasks())
            and all(task.phase == progress.IDLE
                    for task in state.all_tasks()))


def _waited_s(state: progress.JobState, wall_ms: float) -> float:
    """Return the time since a job was accepted or due."""
    due_ms = max(state.job.accepted_ms, state.job.due_ms(0))
    return round(max(0.0, wall_ms - due_ms) / 1000.0, 3)


def _down_tasks(state: progress.JobState) -> list[progress.TaskState]:
    return [task for task in state.all_tasks()
            if task.phase == progress.IDLE and task.has_run]


@dataclasses.dataclass
class RoundTimes:
    """Counts placement rounds and the time spent in and between them."""

    rounds: int = 0
    busy_s: float = 0.0
    waited_s: float = 0.0
    longest_s: float = 0.0

    def add(self, waited_s: float, took_s: float) -> None:
        """Record a round and the time since the previous one."""
        self.rounds += 1
        self.busy_s += took_s
        self.waited_s += waited_s
        self.longest_s = max(self.longest_s, took_s)
        metrics.CALLS.record(ROUND, took_s)
        metrics.CALLS.record(ROUND_WAIT, waited_s)

    def since(self, earlier: "RoundTimes") -> dict[str, float]:
        """Return the log fields of what was added since an earlier copy."""
        return {"rounds": self.rounds - earlier.rounds,
                "rounds_busy_s": round(self.busy_s - earlier.busy_s, 3),
                "rounds_waited_s": round(self.waited_s - earlier.waited_s,
                                         3)}
