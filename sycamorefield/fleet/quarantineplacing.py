"""Place suspected tasks of a round on quarantined workers."""

import typing

from sycamorefield import events
from sycamorefield.fleet import eligibleworkers
from sycamorefield.fleet import gangs
from sycamorefield.fleet import placing
from sycamorefield.fleet import progress
from sycamorefield.fleet import quarantines
from sycamorefield.fleet import workerstate

if typing.TYPE_CHECKING:
    from sycamorefield.fleet import rounds


def place_suspected(round_: "rounds.Round", state: progress.JobState,
                    tasks: list[progress.TaskState],
                    startable: list[progress.TaskState],
                    suspected: list[progress.TaskState],
                    eligible: eligibleworkers.EligibleWorkers) -> None:
    """Start suspected tasks of a step in quarantine, others as usual."""
    if tasks[0].step.gang:
        if len(startable) == len(tasks):
            _place_in_quarantine(round_, state, tasks, eligible)
        return
    for task in suspected:
        _place_in_quarantine(round_, state, [task], eligible)
    others = [task for task in startable if task not in suspected]
    if others:
        round_.place_tasks(state, tasks, others, eligible)


def _place_in_quarantine(round_: "rounds.Round", state: progress.JobState,
                         tasks: list[progress.TaskState],
                         eligible: eligibleworkers.EligibleWorkers) -> None:
    """Start suspected tasks where only they could cause a crash."""
    quarantine = round_.fleet.trials.by_task.get(tasks[0].task)
    if quarantine is None:
        _quarantine_workers(round_, state, tasks, eligible)
        return
    workers = round_.fleet.workers
    if quarantine.run or quarantine.restored:
        return
    if not quarantines.is_ready(quarantine, workers, round_.now):
        return
    if not quarantines.fits(quarantine, workers, eligible.service,
                            eligible.tickets):
        round_.fleet.trials.release(
            quarantine, "does not fit or not allowed")
        return
    _start_quarantine_run(round_, quarantine, eligible)


def _start_quarantine_run(round_: "rounds.Round",
                          quarantine: quarantines.Quarantine,
                          eligible: eligibleworkers.EligibleWorkers) -> None:
    state = quarantine.job
    quarantine.run = max(state.next_run_number(task)
                         for task, _ in quarantine.members)
    saved = max(task.saved for task, _ in quarantine.members)
    events.emit(events.QUARANTINE_STARTED, runs=[
        (str(task.task), quarantine.run, worker_id)
        for task, worker_id in quarantine.members])
    for task, worker_id in quarantine.members:
        task.saved = saved
        worker = round_.fleet.workers[worker_id]
        round_.fleet.start(state, task, worker, quarantine.run,
                           eligible.ticket(worker))


def _quarantine_workers(round_: "rounds.Round", state: progress.JobState,
                        tasks: list[progress.TaskState],
                        eligible: eligibleworkers.EligibleWorkers) -> None:
    """Quarantine workers: only the given tasks may start there."""
    if not round_.fleet.trials.can_add(round_.worker_count):
        return
    # What is held for a task is not free for its own quarantine run.
    held_workers = round_.fleet.held_workers
    hold = held_workers.find(tasks[0])
    held_workers.drop(tasks[0])
    chosen = _choose_quarantine_workers(round_, tasks, eligible)
    if not chosen and hold is not None:
        held_workers.add(hold)
    if not chosen and not tasks[0].step.gang:
        round_.wait_for_capacity(
            state, tasks[0], eligible, eligible.scope(tasks[0]))
    if not chosen:
        return
    if hold is not None and hold.worker not in chosen:
        round_.record_gain(hold.worker)
    members = [(task, worker.entry.worker_id)
               for task, worker in zip(tasks, chosen)]
    state.quarantine_births.update(
        {worker.entry.worker_id: worker.born_ms for worker in chosen})
    round_.fleet.trials.add(quarantines.Quarantine(state, members, round_.now))
    state.dirty = round_.fleet.commit_requested = True
    for worker in chosen:
        round_.freeing.discard(worker)
        round_.exclude_worker(worker, round_.usable_workers, eligible.workers)


def _choose_quarantine_workers(round_: "rounds.Round",
                               tasks: list[progress.TaskState],
                               eligible: eligibleworkers.EligibleWorkers
                               ) -> list[workerstate.WorkerState]:
    """Return workers to quarantine, preferably without recent starts."""
    without_recent_starts = [worker for worker in eligible.workers
                             if not quarantines.has_recent_start(
                                 worker, round_.now)]
    for workers in (without_recent_starts, eligible.workers):
        if tasks[0].step.gang:
            chosen = gangs.choose(tasks, eligible.service, workers)
        else:
            best = placing.choose(tasks[0], eligible.service, workers,
                                  round_.fleet.interference_model)
            chosen = [best] if best is not None else []
        if chosen:
            return chosen
    return []
