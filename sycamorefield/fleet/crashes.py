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
SILENT_AT_MOST_S = 1.5
# Workers of a rack that end within this share a cause; the ends of those that
# do are noticed within the shorter time.
RACK_WINDOW_S = 2.0
RACK_SPREAD_S = 0.25
# Of so many runs that had just begun each is likely enough the cause to be
# tried at once; of more only those under which another worker crashes.
FEW_RUNS = 3


class Verdict(enum.Enum):
    """Say what the end of a worker tells of what ran there."""

    CRASH = "crash"
    DRAINED = "was draining"
    UNLISTED = "was never listed"
    OLD_LIST = "list is too old to show a drain"
    DARK = "was silent for long"
    NOBODY = "no young run, or its rack failed"


@dataclasses.dataclass(frozen=True, slots=True)
class Exposed:
    """Hold a task whose run was on a worker that ended, and the run's age."""

    task: progress.TaskState
    run: int
    age_s: float


def worker_reborn(fleet: state_mod.FleetState, worker_id: str) -> None:
    """Note that another incarnation answers at a worker's address."""
    _worker_dead(fleet, worker_id, "reborn", reborn=True)


def worker_refuses(fleet: state_mod.FleetState, worker_id: str) -> None:
    """Note that a worker's address refuses connections."""
    _worker_dead(fleet, worker_id, "nobody listens there", reborn=False)


def _worker_dead(fleet: state_mod.FleetState, worker_id: str, reason: str,
                 reborn: bool) -> None:
    with fleet.lock:
        worker = fleet.workers.get(worker_id)
        suspects = [] if worker is None else _suspects(fleet, worker, reborn)
        fleet.mark_dead(worker_id, reason)
        for suspect in suspects:
            if suspect.task.job is not None:
                suspect.task.job.dirty = True
                fleet.commit_requested = True
                fleet.update_job_state(suspect.task.job)


def _suspects(fleet: state_mod.FleetState, worker: workerstate.WorkerState,
              reborn: bool) -> list[Exposed]:
    """Return the tasks that a crash is held against, having noted it."""
    now = clock.now()
    at = worker.unresponsive_since if worker.unresponsive else now
    on_trial = fleet.trials.on(worker.entry.worker_id)
    exposed = _exposed(fleet, worker, at)
    tried = [e for e in exposed if e.task in on_trial]
    if not exposed:
        return []
    verdict = _verdict(fleet, worker, at, now, reborn)
    suspects = []
    if verdict is Verdict.CRASH:
        suspects = [e for e in tried or _young(exposed)
                    if not _rack_failed(fleet, worker.entry, at, e.age_s)]
        if not suspects:
            verdict = Verdict.NOBODY
        _note(suspects, worker.entry.worker_id, bool(tried))
    events.emit(events.WORKER_CRASHED, worker=worker.entry.worker_id,
                verdict=verdict.value, rack=worker.entry.rack(),
                trial=bool(tried), runs=[
                    (str(e.task.task), e.run, round(e.age_s, 3))
                    for e in suspects])
    return suspects


def _note(suspects: list[Exposed], worker_id: str, in_trial: bool) -> None:
    """Note a crash with each task that may be its cause."""
    began = [s for s in suspects if s.age_s < suspicion.AT_START_S]
    for suspect in suspects:
        task = suspect.task
        if task.suspicion is None:
            task.suspicion = suspicion.Suspicion()
        likely = suspect in began and len(began) <= FEW_RUNS
        task.suspicion.add(worker_id, suspect.age_s, likely, in_trial)


def _young(exposed: list[Exposed]) -> list[Exposed]:
    """Return the tasks that may be the cause; forget what others did."""
    young = []
    for one in exposed:
        if one.age_s < suspicion.HARMLESS_AFTER_S:
            young.append(one)
        else:
            one.task.suspicion = None
    return young


def _exposed(fleet: state_mod.FleetState, worker: workerstate.WorkerState,
             at: float) -> list[Exposed]:
    """Return the tasks that may have been at work when a worker ended."""
    found = []
    for (name, run), task in worker.tasks.items():
        begun = (name, run) not in worker.unsent_starts | worker.refused_starts
        if begun and fleet.is_current(worker, task, run):
            # A start without an answer may have been carried out just then.
            age_s = max(0.0, at - task.started_at) if task.started_at else 0.0
            found.append(Exposed(task, run, age_s))
    if worker.has_reported:
        return found
    # An earlier owner set the worker aside for these.
    here = {one.task for one in found}
    return found + [Exposed(task, task.last_run, _usual_age_s(task))
                    for task in fleet.trials.on(worker.entry.worker_id)
                    if task not in here and task.phase == progress.IDLE]


def _usual_age_s(task: progress.TaskState) -> float:
    """Return how old runs of a task were at its last crash, or 0."""
    ages_s = task.suspicion.ages_s if task.suspicion is not None else []
    return ages_s[-1] if ages_s else 0.0


def _verdict(fleet: state_mod.FleetState, worker: workerstate.WorkerState,
             at: float, now: float, reborn: bool) -> Verdict:
    if worker.entry.draining:
        return Verdict.DRAINED
    if not (worker.listed or worker.ever_listed):
        return Verdict.UNLISTED
    if not fleet.would_show_drain(at, now):
        return Verdict.OLD_LIST
    if now - at > SILENT_AT_MOST_S and not reborn:
        return Verdict.DARK
    return Verdict.CRASH


def _rack_failed(fleet: state_mod.FleetState, entry: messages.WorkerEntry,
                 at: float, age_s: float) -> bool:
    """Tell whether most other workers of a rack ended while a run was there.

    A task can take one worker after the other, but not most of a rack at
    once; one that was started after the others were lost is not excused.
    """
    rack = entry.rack()
    if not rack:
        return False
    since = at - max(RACK_SPREAD_S, min(RACK_WINDOW_S, age_s))
    mates = [w for w in fleet.workers.values()
             if w.entry.rack() == rack and not w.entry.draining
             and w.entry.worker_id != entry.worker_id]
    lost = sum(w.unresponsive and w.unresponsive_since >= since for w in mates)
    lost += sum(ended.rack == rack and ended.at >= since
                for ended in fleet.recent_failures)
    fine = sum(w.has_reported and not w.unresponsive for w in mates)
    return lost > fine
