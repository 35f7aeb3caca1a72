"""Distinguish worker crashes from other ends and record suspected tasks."""

import dataclasses
import enum
import typing

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import crashrecords
from sycamorefield.fleet import failures as failures_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import suspicion
from sycamorefield.fleet import workerstate

# The end of a crashed worker is noticed within this time of its last answer,
# or when it restarts.  A worker that was unreachable for longer may have ended
# for another reason in the meantime.
MAX_UNRESPONSIVE_S = 1.5
# Workers of a rack that end within the longer window are taken to have failed
# for one reason.  Ends with a common cause are noticed at most the shorter
# window apart, which therefore applies however recent the run is.
MAX_RACK_FAILURE_WINDOW_S = 2.0
MIN_RACK_FAILURE_WINDOW_S = 0.25
# If a crash hits at most this many runs that had just started, each is likely
# enough the cause to be quarantined at once.  Of more runs, only those whose
# next worker crashes as well are quarantined.
MAX_LIKELY_CAUSES = 3


# If more than this share of the workers fail within this time of each other,
# a task that few of them have run is not the cause.
COMMON_FAILURE_RATIO = 0.2
COMMON_FAILURE_WINDOW_S = 0.25
# The tasks of one job may crash several workers of a small fleet at once.
MIN_COMMON_FAILURES = 5


class Verdict(enum.Enum):
    """Classify the end of a worker as evidence against its runs."""

    CRASH = "crash"
    DRAINED = "was draining"
    UNLISTED = "was never listed"
    STALE_LIST = "worker list too old to show a drain"
    UNRESPONSIVE = "was unresponsive for too long"
    NO_SUSPECT = "no recently started run, or its rack failed"
    COMMON_CAUSE = "many workers failed at once"


@dataclasses.dataclass(frozen=True, slots=True)
class ExposedRun:
    """A task with a run on a worker that ended, and the age of the run."""

    task: progress.TaskState
    run: int
    age_s: float


def worker_replaced(fleet: state_mod.FleetState, worker_id: str) -> None:
    """Handle that another life answers at a worker's address."""
    with fleet.lock:
        worker = fleet.workers.get(worker_id)
        suspects = [] if worker is None else record_suspects(
            fleet, worker, restarted=True)
        fleet.mark_dead(worker_id, "reborn")
        fleet.end_jobs_of(suspects)


def worker_refused_connection(fleet: state_mod.FleetState,
                              worker_id: str) -> None:
    """Handle refused connections at a worker's address.

    The worker may have crashed or be cut off.  The crash is recorded now, as
    what else failed at that moment is known now.
    """
    with fleet.lock:
        worker = fleet.workers.get(worker_id)
        if worker is None or fleet.crash_records.has_record(worker_id):
            return
        fleet.mark_unresponsive(worker_id, "connection refused")
        suspects = _record_end(fleet, worker, restarted=False)
        fleet.crash_records.add_unproven(crashrecords.CrashRecord(
            worker_id, worker.entry.address, worker.born_ms, clock.now(),
            suspects))
        fleet.end_jobs_of([suspect.task for suspect in suspects])


def retract_earlier(fleet: state_mod.FleetState,
                    worker: workerstate.WorkerState
                    ) -> list[progress.TaskState]:
    """Retract crashes of a life that answers, as an earlier owner stored them.

    Return the tasks that are concerned.
    """
    suspects = [_find_recorded(task, worker)
                for task in fleet.trials.tasks_on(worker.entry.worker_id)
                if _is_unproven(task, worker)]
    if not suspects:
        return []
    record = crashrecords.CrashRecord(
        worker.entry.worker_id, worker.entry.address, worker.born_ms,
        clock.now(), suspects)
    record.mark_unproven()
    record.retract()
    return record.tasks()


def record_suspects(fleet: state_mod.FleetState,
                    worker: workerstate.WorkerState, restarted: bool,
                    excluded: typing.Container[workerstate.RunId] = ()
                    ) -> list[progress.TaskState]:
    """Record the certain end of a worker's life; return suspected tasks.

    The excluded runs certainly began after the crash.
    """
    worker_id = worker.entry.worker_id
    if fleet.crash_records.has_record(worker_id):
        return fleet.crash_records.confirm(worker_id)
    return [suspect.task for suspect in _record_end(
        fleet, worker, restarted, excluded)]


def _record_end(fleet: state_mod.FleetState,
                worker: workerstate.WorkerState, restarted: bool,
                excluded: typing.Container[workerstate.RunId] = ()
                ) -> list[crashrecords.Suspect]:
    """Record a crash with each suspected task."""
    now = clock.now()
    ended_at = worker.unresponsive_since if worker.unresponsive else now
    quarantined_tasks = fleet.trials.tasks_on(worker.entry.worker_id)
    found_runs = [
        exposed for exposed in _find_exposed_runs(fleet, worker, ended_at)
        if (exposed.task.task, exposed.run) not in excluded]
    exposed_runs = [exposed for exposed in found_runs
                    if not _is_recorded(exposed.task, worker)]
    recorded_before = [_find_recorded(exposed.task, worker)
                       for exposed in found_runs
                       if _is_unproven(exposed.task, worker)]
    quarantined_runs = [exposed for exposed in exposed_runs
                        if exposed.task in quarantined_tasks]
    if not exposed_runs:
        return recorded_before
    verdict = _classify_end(fleet, worker, ended_at, now, restarted)
    exposed_suspects: list[ExposedRun] = []
    recorded: list[crashrecords.Suspect] = []
    if verdict is Verdict.CRASH:
        exposed_suspects = [
            exposed for exposed
            in quarantined_runs or _possible_causes(exposed_runs)
            if not _rack_failed(fleet, worker.entry, ended_at, exposed)]
        if not exposed_suspects:
            verdict = Verdict.NO_SUSPECT
        failures = _simultaneous_failures(fleet, worker, ended_at)
        exposed_suspects = [
            exposed for exposed in exposed_suspects
            if not _has_common_cause(
                fleet, failures, exposed.task.task.job_id)]
        if not exposed_suspects and verdict is Verdict.CRASH:
            verdict = Verdict.COMMON_CAUSE
        recorded = _record_crash(
            exposed_suspects, worker, bool(quarantined_runs))
    if not recorded and verdict is not Verdict.DRAINED:
        _note_uncharged(fleet, quarantined_runs)
    events.emit(events.WORKER_CRASHED, worker=worker.entry.worker_id,
                verdict=verdict.value, rack=worker.entry.rack(),
                trial=bool(quarantined_runs), runs=[
                    (str(exposed.task.task), exposed.run,
                     round(exposed.age_s, 3))
                    for exposed in exposed_suspects])
    return recorded_before + recorded


def _note_uncharged(fleet: state_mod.FleetState,
                    quarantined_runs: list[ExposedRun]) -> None:
    """Note that quarantined tasks may have caused a crash after all."""
    for exposed in quarantined_runs:
        task = exposed.task
        if task.suspicion is not None and task.job is not None:
            task.suspicion.uncharged_trials += 1
            task.job.dirty = True
            fleet.commit_requested = True


def _life(worker: workerstate.WorkerState) -> str:
    """Return a name of a worker's life.

    Workers whose reports don't tell their births have another ID in each life.
    """
    worker_id, born_ms = worker.entry.worker_id, worker.born_ms
    return f"{worker_id}/{born_ms}" if born_ms else worker_id


def _is_recorded(task: progress.TaskState,
                 worker: workerstate.WorkerState) -> bool:
    """Return whether the last crash of a task is that of this life."""
    return (task.suspicion is not None
            and task.suspicion.last_life == _life(worker))


def _is_unproven(task: progress.TaskState,
                 worker: workerstate.WorkerState) -> bool:
    """Return whether the crash was recorded, by another owner or before."""
    return (_is_recorded(task, worker) and task.suspicion is not None
            and task.suspicion.unproven_trials > 0)


def _find_recorded(task: progress.TaskState, worker: workerstate.WorkerState
                   ) -> crashrecords.Suspect:
    """Return the recorded crash of a task, to be proven or retracted now."""
    record = task.suspicion
    assert record is not None
    record.unproven_trials -= 1
    return crashrecords.Suspect(
        task, record, record.ages_s[-1], True, record.likely, "")


def _record_crash(suspects: list[ExposedRun],
                  worker: workerstate.WorkerState,
                  in_quarantine: bool) -> list[crashrecords.Suspect]:
    """Record a crash with each task that may be its cause."""
    worker_id, life = worker.entry.worker_id, _life(worker)
    just_started = [exposed for exposed in suspects
                    if exposed.age_s < suspicion.STARTUP_WINDOW_S]
    recorded = []
    for suspect in suspects:
        task = suspect.task
        if task.suspicion is None:
            task.suspicion = suspicion.Suspicion()
        record = task.suspicion
        likely = (suspect in just_started
                  and len(just_started) <= MAX_LIKELY_CAUSES)
        was_likely, earlier_life = record.likely, record.last_life
        counts = record.add_crash(worker_id, suspect.age_s, likely,
                                  in_quarantine, life)
        recorded.append(crashrecords.Suspect(
            task, record, suspect.age_s, counts, was_likely, earlier_life))
    return recorded


def _possible_causes(exposed_runs: list[ExposedRun]) -> list[ExposedRun]:
    """Return the runs that may be the cause and clear all other tasks."""
    possible_causes = []
    for exposed in exposed_runs:
        if exposed.age_s < suspicion.MAX_SUSPECT_AGE_S:
            possible_causes.append(exposed)
        else:
            exposed.task.suspicion = None
    return possible_causes


def _find_exposed_runs(fleet: state_mod.FleetState,
                       worker: workerstate.WorkerState,
                       ended_at: float) -> list[ExposedRun]:
    """Return the runs that may have been executing as a worker ended."""
    found = []
    for (task_id, run), task in worker.tasks.items():
        may_have_started = (
            (task_id, run) not in worker.unsent_starts | worker.refused_starts)
        if may_have_started and fleet.is_current(worker, task, run):
            # An unacknowledged start may have been executed at that moment.
            age_s = max(0.0, ended_at -
                        task.started_at) if task.started_at else 0.0
            found.append(ExposedRun(task.original(), run, age_s))
    if worker.has_reported:
        return found
    # A previous owner quarantined these tasks on the worker and may have
    # started them.
    found_tasks = {exposed.task for exposed in found}
    return found + [ExposedRun(task, task.last_run, _last_crash_age_s(task))
                    for task in fleet.trials.tasks_on(worker.entry.worker_id)
                    if task not in found_tasks and task.phase == progress.IDLE]


def _last_crash_age_s(task: progress.TaskState) -> float:
    """Return the age of a task's run at its last crash, or 0."""
    ages_s = task.suspicion.ages_s if task.suspicion is not None else []
    return ages_s[-1] if ages_s else 0.0


def _classify_end(fleet: state_mod.FleetState, worker: workerstate.WorkerState,
                  ended_at: float, now: float, restarted: bool) -> Verdict:
    if worker.was_draining():
        return Verdict.DRAINED
    if not (worker.listed or worker.ever_listed):
        return Verdict.UNLISTED
    if not fleet.would_show_drain(ended_at, now):
        return Verdict.STALE_LIST
    if now - ended_at > MAX_UNRESPONSIVE_S and not restarted:
        return Verdict.UNRESPONSIVE
    return Verdict.CRASH


def _simultaneous_failures(fleet: state_mod.FleetState,
                           worker: workerstate.WorkerState,
                           ended_at: float) -> list[failures_mod.FailedWorker]:
    """Return the failures of other workers at the time of a worker's end.

    Workers in quarantine are left out: many of them may be crashed at once by
    tasks that are tried at the same time.
    """
    failures = list(fleet.failures.recent)
    failures += [fleet.failures.describe(other, ended_at)
                 for other in fleet.workers.values()
                 if other.unresponsive and other is not worker
                 and not other.was_draining()]
    return [failure for failure in failures if failure.is_evidence
            and abs(failure.at - ended_at) <= COMMON_FAILURE_WINDOW_S]


def _has_common_cause(fleet: state_mod.FleetState,
                      failures: list[failures_mod.FailedWorker],
                      job_id: str) -> bool:
    """Return whether more workers failed at once than a job can explain."""
    unexplained = sum(not failure.has_recent_run_of_job(job_id)
                      for failure in failures)
    worker_count = len(fleet.workers) + len(fleet.failures.recent)
    return (unexplained >= MIN_COMMON_FAILURES
            and unexplained > COMMON_FAILURE_RATIO * worker_count)


def _rack_failed(fleet: state_mod.FleetState, entry: messages.WorkerEntry,
                 ended_at: float, exposed: ExposedRun) -> bool:
    """Return whether most other workers of a rack ended during a run.

    A task can crash one worker after another, but not most of a rack at
    once.  A task that started after the others were lost, or that had just
    started on them as well, stays suspect.  The tasks on trial on quarantined
    workers explain their ends.
    """
    rack = entry.rack()
    if not rack:
        return False
    window_start = ended_at - max(
        MIN_RACK_FAILURE_WINDOW_S,
        min(MAX_RACK_FAILURE_WINDOW_S, exposed.age_s))
    rack_peers = [w for w in fleet.workers.values()
                  if w.entry.rack() == rack and not w.entry.draining
                  and w.entry.worker_id != entry.worker_id]
    lost_count = sum(w.unresponsive and w.unresponsive_since >= window_start
                     and w.entry.worker_id not in fleet.trials.by_worker
                     for w in rack_peers)
    lost_count += sum(
        ended_worker.rack == rack and ended_worker.at >= window_start
        and not ended_worker.quarantined
        and exposed.task.task not in ended_worker.recent_tasks
        for ended_worker in fleet.failures.recent)
    responsive_count = sum(
        w.has_reported and not w.unresponsive for w in rack_peers)
    return lost_count > responsive_count
