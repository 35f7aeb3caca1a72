"""Reserve workers for runs of tasks suspected of crashing workers."""

import dataclasses
import typing

from sycamorefield import events
from sycamorefield.fleet import messages
from sycamorefield.fleet import placing
from sycamorefield.fleet import progress
from sycamorefield.fleet import storedcrashes
from sycamorefield.fleet import suspicion
from sycamorefield.fleet import workerstate

# At most one in this many workers is quarantined: other tasks need capacity.
WORKERS_PER_QUARANTINE = 2
# A quarantined worker is released if its task could not start in this time.
START_TIMEOUT_S = 3.0

Workers = typing.Mapping[str, workerstate.WorkerState]


@dataclasses.dataclass(eq=False, slots=True)
class Quarantine:
    """One suspected task, or a gang that includes one, and its workers."""

    job: progress.JobState
    members: list[tuple[progress.TaskState, str]]
    created_at: float
    # The run number of its members once their starts are ordered, else 0.
    run: int = 0
    # Whether a previous owner created it and may have started its members.
    restored: bool = False

    def worker_ids(self) -> set[str]:
        """Return the ids of the quarantined workers."""
        return {worker_id for _, worker_id in self.members}

    def assignments(self) -> dict[messages.TaskId, str]:
        """Return the worker of each task, to be stored before the start."""
        return {task.task: worker_id for task, worker_id in self.members}

    def quarantine_s(self) -> float:
        """Return the run age in seconds at which the members are cleared."""
        return max((task.suspicion.quarantine_s() for task, _ in self.members
                    if task.suspicion is not None),
                   default=suspicion.STARTUP_WINDOW_S)


class Quarantines:
    """Index the quarantines of a fleet by worker and by task."""

    def __init__(self) -> None:
        self.by_worker: dict[str, Quarantine] = {}
        self.by_task: dict[messages.TaskId, Quarantine] = {}

    def tasks_on(self, worker_id: str) -> list[progress.TaskState]:
        """Return the tasks that a worker is quarantined for."""
        quarantine = self.by_worker.get(worker_id)
        return [] if quarantine is None else [
            task for task, member_worker_id in quarantine.members
            if member_worker_id == worker_id]

    def restored_born_ms(self, worker_id: str) -> int:
        """Return when the life that an earlier owner quarantined began.

        0 if it is not known or if no earlier owner quarantined the worker.
        """
        quarantine = self.by_worker.get(worker_id)
        if quarantine is None or not quarantine.restored:
            return 0
        return quarantine.job.quarantine_births.get(worker_id, 0)

    def can_add(self, usable_workers: int) -> bool:
        """Return whether one more usable worker may be quarantined."""
        return len(self.by_worker) < max(
            1, usable_workers // WORKERS_PER_QUARANTINE)

    def add(self, quarantine: Quarantine) -> None:
        """Quarantine the workers of the members."""
        for task, worker_id in quarantine.members:
            self.by_worker[worker_id] = quarantine
            self.by_task[task.task] = quarantine
            quarantine.job.quarantine_workers[task.task] = worker_id

    def restore(self, job: progress.JobState, now: float) -> None:
        """Restore the quarantines that a previous owner stored with a job."""
        members_by_key: dict[object, list[tuple[progress.TaskState, str]]] = {}
        for task_id, worker_id in job.quarantine_workers.items():
            task = job.find(task_id)
            if task is not None:
                key = task_id.step_id() if task.step.gang else task_id
                members_by_key.setdefault(key, []).append((task, worker_id))
        for members in members_by_key.values():
            self.add(Quarantine(job, members, now, restored=True))

    def release(self, quarantine: Quarantine, reason: str) -> None:
        """Release the workers of a quarantine."""
        for task, worker_id in quarantine.members:
            if self.by_worker.get(worker_id) is quarantine:
                del self.by_worker[worker_id]
            self.by_task.pop(task.task, None)
            quarantine.job.quarantine_workers.pop(task.task, None)
            quarantine.job.quarantine_births.pop(worker_id, None)
        quarantine.job.dirty = True
        quarantine.job.skip_rounds = False
        events.emit(events.QUARANTINE_ENDED, reason=reason, runs=[
            (str(task.task), quarantine.run, worker_id)
            for task, worker_id in quarantine.members])

    def release_finished(self, workers: Workers,
                         awaited_workers: typing.Container[str],
                         evacuated: frozenset[str], now: float) -> None:
        """Release the workers of all quarantines that have ended."""
        for quarantine in set(self.by_task.values()):
            reason = _release_reason(
                quarantine, workers, awaited_workers, evacuated, now)
            if reason:
                self.release(quarantine, reason)


def is_ready(quarantine: Quarantine, workers: Workers, now: float) -> bool:
    """Return whether only the quarantined tasks could cause a crash from now.

    Their assignments and crashes must be stored, so that a succeeding owner
    knows which tasks to suspect, and no other run on the workers may have just
    started.
    A worker that has not reported since such a start may have crashed
    unnoticed: the crash would be attributed to the quarantined tasks.
    """
    assignments = quarantine.assignments()
    if any(quarantine.job.stored_quarantine_workers.get(task_id) != worker_id
           for task_id, worker_id in assignments.items()):
        return False
    members = {task for task, _ in quarantine.members}
    if not all(storedcrashes.are_stored(quarantine.job, task)
               for task in members):
        return False
    return not any(
        has_recent_start(workers[worker_id],
                         min(now, workers[worker_id].reported_at), members)
        for worker_id in quarantine.worker_ids())


def has_recent_start(worker: workerstate.WorkerState, now: float,
                     excluding: typing.Container[progress.TaskState] = ()
                     ) -> bool:
    """Return whether a run on a worker has just started or is about to."""
    return any(
        task.run == run and task not in excluding
        and (not task.started_at
             or now - task.started_at < suspicion.STARTUP_WINDOW_S)
        for (_, run), task in worker.tasks.items())


def fits(quarantine: Quarantine, workers: Workers, service: str,
         tickets: dict[str, str] | None) -> bool:
    """Return whether rules and free capacity still allow the runs."""
    for worker_id in quarantine.worker_ids():
        if tickets is not None and worker_id not in tickets:
            return False
        worker = workers[worker_id]
        required = messages.Resources()
        for task, member_worker_id in quarantine.members:
            if member_worker_id == worker_id:
                required = required.plus(task.step.reserved())
                if not placing.allowed(worker, service, task):
                    return False
        if not worker.free_capacity().holds(required):
            return False
    return True


def _release_reason(quarantine: Quarantine, workers: Workers,
                    awaited_workers: typing.Container[str],
                    evacuated: frozenset[str], now: float) -> str:
    """Return why a quarantine has ended, or an empty string."""
    if quarantine.job.final():
        return "job " + quarantine.job.state
    if quarantine.restored and not quarantine.run:
        return _restored_release_reason(quarantine, workers, awaited_workers)
    missing = quarantine.worker_ids() - workers.keys()
    if missing:
        return "worker is gone"
    if quarantine.run:
        return _started_release_reason(quarantine, workers)
    if any(task.done or task.phase != progress.IDLE
           for task, _ in quarantine.members):
        return "task is not waiting"
    if any(not workers[worker_id].usable(now)
           for worker_id in quarantine.worker_ids()):
        return "worker accepts no starts"
    if any(workers[worker_id].entry.data_centre in evacuated
           for worker_id in quarantine.worker_ids()):
        return "data centre is evacuated"
    if now - quarantine.created_at > START_TIMEOUT_S:
        return "start timed out"
    return ""


def _restored_release_reason(quarantine: Quarantine, workers: Workers,
                             awaited_workers: typing.Container[str]) -> str:
    """Return why a restored quarantine has ended, or an empty string.

    Sets its run number once all of its workers have reported their runs.  A
    worker that is not awaited any more may stay listed and never report, if
    only this owner can't reach it; the leases of its runs have expired.
    """
    for worker_id in quarantine.worker_ids():
        worker = workers.get(worker_id)
        if worker is None:
            return "worker is gone"
        if not worker.has_reported:
            return ("" if worker_id in awaited_workers
                    else "worker has not reported in time")
    runs = {task.run for task, worker_id in quarantine.members
            if task.worker_id == worker_id}
    if not runs:
        return "never started"
    quarantine.run = max(runs)
    return ""


def _started_release_reason(quarantine: Quarantine, workers: Workers) -> str:
    current = [task for task, worker_id in quarantine.members
               if task.run == quarantine.run and task.worker_id == worker_id]
    if len(current) < len(quarantine.members):
        return "run ended"
    # A worker that has not reported since may have crashed unnoticed.
    last_report_at = min(workers[worker_id].reported_at
                         for worker_id in quarantine.worker_ids())
    started_at = [task.started_at for task in current]
    if (not min(started_at) or last_report_at - max(started_at)
            < quarantine.quarantine_s()):
        return ""
    for task in current:
        # A task that crashes its workers does so in every run.
        task.suspicion = None
    return "passed"
