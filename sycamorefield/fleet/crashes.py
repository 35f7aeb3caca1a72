"""Tell crashes of workers from other ends, and whom to suspect of them."""

import dataclasses
import enum

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import suspicion
from sycamorefield.fleet import workerstate

# The end of a crashed worker shows this soon after its last answer, or when it
# is born again; one that was cut off for longer may have ended meanwhile.
MAX_UNRESPONSIVE_S = 1.5
# Workers of a rack that end within this share a cause; the ends of those that
# do are noticed within the shorter time.
MAX_RACK_FAILURE_WINDOW_S = 2.0
MIN_RACK_FAILURE_WINDOW_S = 0.25
# Of so many runs that had just begun each is likely enough the cause to be
# tried at once; of more only those under which another worker crashes.
MAX_LIKELY_CAUSES = 3


class Verdict(enum.Enum):
    """Say what the end of a worker tells of what ran there."""

    CRASH = "crash"
    DRAINED = "was draining"
    UNLISTED = "was never listed"
    STALE_LIST = "list is too old to show a drain"
    UNRESPONSIVE = "was silent for long"
    NO_SUSPECT = "no young run, or its rack failed"


@dataclasses.dataclass(frozen=True, slots=True)
class ExposedRun:
    """Hold a task whose run was on a worker that ended, and the run's age."""

    task: progress.TaskState
    run: int
    age_s: float


def worker_restarted(fleet: state_mod.FleetState, worker_id: str) -> None:
    """Note that another incarnation answers at a worker's address."""
    _handle_worker_end(fleet, worker_id, "reborn", restarted=True)


def worker_refused_connection(
        fleet: state_mod.FleetState,
        worker_id: str) -> None:
    """Note that a worker's address refuses connections."""
    _handle_worker_end(
        fleet, worker_id, "nobody listens there", restarted=False)


def _handle_worker_end(
        fleet: state_mod.FleetState,
        worker_id: str,
        reason: str,
        restarted: bool) -> None:
    with fleet.lock:
        worker = fleet.workers.get(worker_id)
        suspects = [] if worker is None else _record_suspects(
            fleet, worker, restarted)
        fleet.worker_dead(worker_id, reason)
        for suspect in suspects:
            if suspect.task.job is not None:
                suspect.task.job.dirty = True
                fleet.commit_now = True
                fleet.settle(suspect.task.job)


def _record_suspects(
        fleet: state_mod.FleetState,
        worker: workerstate.WorkerState,
        restarted: bool) -> list[ExposedRun]:
    """Return the tasks that a crash is held against, having noted it."""
    now = clock.now()
    ended_at = worker.silent_at if worker.silent else now
    quarantined_tasks = fleet.trials.tasks_on(worker.entry.worker_id)
    exposed_runs = _find_exposed_runs(fleet, worker, ended_at)
    quarantined_runs = [exposed for exposed in exposed_runs
                        if exposed.task in quarantined_tasks]
    if not exposed_runs:
        return []
    verdict = _classify_end(fleet, worker, ended_at, now, restarted)
    suspects = []
    if verdict is Verdict.CRASH:
        suspects = [exposed for exposed
                    in quarantined_runs or _possible_causes(exposed_runs)
                    if not _rack_failed(fleet, worker.entry, ended_at,
                                        exposed.age_s)]
        if not suspects:
            verdict = Verdict.NO_SUSPECT
        _record_crash(suspects, worker.entry.worker_id, bool(quarantined_runs))
    events.emit(events.WORKER_CRASHED, worker=worker.entry.worker_id,
                verdict=verdict.value, rack=worker.entry.rack(),
                trial=bool(quarantined_runs), runs=[
                    (str(exposed.task.task), exposed.run,
                     round(exposed.age_s, 3))
                    for exposed in suspects])
    return suspects


def _record_crash(
        suspects: list[ExposedRun],
        worker_id: str,
        in_quarantine: bool) -> None:
    """Note a crash with each task that may be its cause."""
    just_started = [s for s in suspects if s.age_s <
                    suspicion.STARTUP_WINDOW_S]
    for suspect in suspects:
        task = suspect.task
        if task.suspicion is None:
            task.suspicion = suspicion.Suspicion()
        likely = suspect in just_started and len(
            just_started) <= MAX_LIKELY_CAUSES
        task.suspicion.add_crash(
            worker_id, suspect.age_s, likely, in_quarantine)


def _possible_causes(exposed_runs: list[ExposedRun]) -> list[ExposedRun]:
    """Return the tasks that may be the cause; forget what others did."""
    possible_causes = []
    for exposed in exposed_runs:
        if exposed.age_s < suspicion.MAX_SUSPECT_AGE_S:
            possible_causes.append(exposed)
        else:
            exposed.task.suspicion = None
    return possible_causes


def _find_exposed_runs(
        fleet: state_mod.FleetState,
        worker: workerstate.WorkerState,
        ended_at: float) -> list[ExposedRun]:
    """Return the tasks that may have been at work when a worker ended."""
    found = []
    for (name, run), task in worker.tasks.items():
        may_have_started = (
            name, run) not in worker.unsent | worker.never_began
        if may_have_started and fleet.is_current(worker, task, run):
            # A start without an answer may have been carried out just then.
            age_s = max(0.0, ended_at - task.started) if task.started else 0.0
            found.append(ExposedRun(task, run, age_s))
    if worker.reported:
        return found
    # An earlier owner set the worker aside for these.
    found_tasks = {exposed.task for exposed in found}
    return found + [ExposedRun(task, task.last_run, _last_crash_age_s(task))
                    for task in fleet.trials.tasks_on(worker.entry.worker_id)
                    if task not in found_tasks and task.phase == progress.IDLE]


def _last_crash_age_s(task: progress.TaskState) -> float:
    """Return how old runs of a task were at its last crash, or 0."""
    ages_s = task.suspicion.ages_s if task.suspicion is not None else []
    return ages_s[-1] if ages_s else 0.0


def _classify_end(fleet: state_mod.FleetState, worker: workerstate.WorkerState,
                  ended_at: float, now: float, restarted: bool) -> Verdict:
    if worker.entry.draining:
        return Verdict.DRAINED
    if not (worker.listed or worker.was_listed):
        return Verdict.UNLISTED
    if not fleet.saw_drains(ended_at, now):
        return Verdict.STALE_LIST
    if now - ended_at > MAX_UNRESPONSIVE_S and not restarted:
        return Verdict.UNRESPONSIVE
    return Verdict.CRASH


def _rack_failed(fleet: state_mod.FleetState, entry: messages.WorkerEntry,
                 ended_at: float, age_s: float) -> bool:
    """Tell whether most other workers of a rack ended while a run was there.

    A task can take one worker after the other, but not most of a rack at
    once; one that was started after the others were lost is not excused.
    """
    rack = entry.rack()
    if not rack:
        return False
    window_start = ended_at - \
        max(MIN_RACK_FAILURE_WINDOW_S, min(MAX_RACK_FAILURE_WINDOW_S, age_s))
    rack_peers = [w for w in fleet.workers.values()
                  if w.entry.rack() == rack and not w.entry.draining
                  and w.entry.worker_id != entry.worker_id]
    lost_count = sum(w.silent and w.silent_at >=
                     window_start for w in rack_peers)
    lost_count += sum(ended_worker.rack == rack and ended_worker.at >=
                      window_start for ended_worker in fleet.ended_lately)
    responsive_count = sum(w.reported and not w.silent for w in rack_peers)
    return lost_count > responsive_count
