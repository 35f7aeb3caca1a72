"""Keep workers set aside for tasks that are suspected of crashing them."""

import dataclasses
import typing

from sycamorefield import events
from sycamorefield.fleet import messages
from sycamorefield.fleet import placing
from sycamorefield.fleet import progress
from sycamorefield.fleet import suspicion
from sycamorefield.fleet import workerstate

# At most one in so many workers is set aside: others need room, too.
WORKERS_PER_TRIAL = 2
# A worker set aside is given back if its task could not start in this time.
READY_WITHIN_S = 3.0

Workers = typing.Mapping[str, workerstate.WorkerState]


@dataclasses.dataclass(eq=False, slots=True)
class Trial:
    """Hold one suspected task, or a gang with one, and its workers."""

    job: progress.JobState
    members: list[tuple[progress.TaskState, str]]
    since: float
    # The number of its runs once they are ordered.
    run: int = 0
    # Whether an earlier owner set the workers aside, who may have started it.
    inherited: bool = False

    def workers(self) -> set[str]:
        """Return the ids of its workers."""
        return {worker_id for _, worker_id in self.members}

    def marks(self) -> dict[messages.TaskId, str]:
        """Return what must be stored before it starts."""
        return {task.task: worker_id for task, worker_id in self.members}

    def trial_s(self) -> float:
        """Return for how many seconds its runs must go on to pass."""
        return max((task.suspicion.trial_s() for task, _ in self.members
                    if task.suspicion is not None),
                   default=suspicion.AT_START_S)


class Trials:
    """Know which workers are set aside, for which tasks."""

    def __init__(self) -> None:
        self.by_worker: dict[str, Trial] = {}
        self.by_task: dict[messages.TaskId, Trial] = {}

    def on(self, worker_id: str) -> list[progress.TaskState]:
        """Return the tasks that a worker is set aside for."""
        trial = self.by_worker.get(worker_id)
        return [] if trial is None else [
            task for task, other in trial.members if other == worker_id]

    def may_add(self, usable: int) -> bool:
        """Tell whether another worker of so many may be set aside."""
        return len(self.by_worker) < max(1, usable // WORKERS_PER_TRIAL)

    def add(self, trial: Trial) -> None:
        """Set workers aside."""
        for task, worker_id in trial.members:
            self.by_worker[worker_id] = trial
            self.by_task[task.task] = trial
            trial.job.on_trial[task.task] = worker_id

    def inherit(self, job: progress.JobState, now: float) -> None:
        """Go on with the trials that an earlier owner has stored."""
        steps: dict[object, list[tuple[progress.TaskState, str]]] = {}
        for name, worker_id in job.on_trial.items():
            task = job.find(name)
            if task is not None:
                key = name.step_id() if task.step.gang else name
                steps.setdefault(key, []).append((task, worker_id))
        for members in steps.values():
            self.add(Trial(job, members, now, inherited=True))

    def remove(self, trial: Trial, reason: str) -> None:
        """Give the workers of a trial back."""
        for task, worker_id in trial.members:
            if self.by_worker.get(worker_id) is trial:
                del self.by_worker[worker_id]
            self.by_task.pop(task.task, None)
            trial.job.on_trial.pop(task.task, None)
        trial.job.dirty = True
        trial.job.quiet = False
        events.emit(events.QUARANTINE_ENDED, reason=reason, runs=[
            (str(task.task), trial.run, worker_id)
            for task, worker_id in trial.members])

    def review(self, workers: Workers, now: float) -> None:
        """Give back the workers of trials that are over."""
        for trial in set(self.by_task.values()):
            reason = _over(trial, workers, now)
            if reason:
                self.remove(trial, reason)


def is_ready(trial: Trial, workers: Workers, now: float) -> bool:
    """Tell whether a crash from now on could only come from the trial.

    What is stored of it tells a successor whom to suspect.
    """
    marks = trial.marks()
    if any(trial.job.stored_trials.get(name) != worker_id
           for name, worker_id in marks.items()):
        return False
    members = {task for task, _ in trial.members}
    return not any(
        has_young_run(workers[worker_id], now, members)
        for worker_id in trial.workers())


def has_young_run(worker: workerstate.WorkerState, now: float,
                  besides: typing.Container[progress.TaskState] = ()
                  ) -> bool:
    """Tell whether a run on a worker has just begun, or is about to."""
    return any(
        task.run == run and task not in besides
        and (not task.started or now - task.started < suspicion.AT_START_S)
        for (_, run), task in worker.tasks.items())


def fits(trial: Trial, workers: Workers, service: str,
         tickets: dict[str, str] | None) -> bool:
    """Tell whether rules and room still let a trial run on its workers."""
    for worker_id in trial.workers():
        if tickets is not None and worker_id not in tickets:
            return False
        worker = workers[worker_id]
        need = messages.Room()
        for task, other in trial.members:
            if other == worker_id:
                need = need.plus(task.step.reserved())
                if not placing.allowed(worker, service, task):
                    return False
        if not worker.free().holds(need):
            return False
    return True


def _over(trial: Trial, workers: Workers, now: float) -> str:
    """Return why a trial is over, or nothing."""
    if trial.job.final():
        return "job " + trial.job.state
    if trial.inherited and not trial.run:
        return _inherited_over(trial, workers)
    missing = trial.workers() - workers.keys()
    if missing:
        return "worker is gone"
    if trial.run:
        return _run_over(trial, workers)
    if any(task.done or task.phase != progress.IDLE
           for task, _ in trial.members):
        return "task does not wait"
    if any(not workers[worker_id].usable(now)
           for worker_id in trial.workers()):
        return "worker takes no starts"
    if now - trial.since > READY_WITHIN_S:
        return "could not start"
    return ""


def _inherited_over(trial: Trial, workers: Workers) -> str:
    """Wait until its workers tell what runs there."""
    for worker_id in trial.workers():
        worker = workers.get(worker_id)
        if worker is None:
            return "worker is gone"
        if not worker.reported:
            return ""
    runs = {task.run for task, worker_id in trial.members
            if task.worker_id == worker_id}
    if not runs:
        return "never started"
    trial.run = max(runs)
    return ""


def _run_over(trial: Trial, workers: Workers) -> str:
    current = [task for task, worker_id in trial.members
               if task.run == trial.run and task.worker_id == worker_id]
    if len(current) < len(trial.members):
        return "run is over"
    # Without a later report the worker may have crashed unnoticed.
    alive_at = min(workers[worker_id].reported_at
                   for worker_id in trial.workers())
    began = [task.started for task in current]
    if not min(began) or alive_at - max(began) < trial.trial_s():
        return ""
    for task in current:
        # One that crashes its workers does so each time.
        task.suspicion = None
    return "passed"
