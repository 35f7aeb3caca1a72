"""Take in what a worker reports of its runs."""

from sycamorefield import events
from sycamorefield.fleet import demand
from sycamorefield.fleet import messages
from sycamorefield.fleet import pacer
from sycamorefield.fleet import progress
from sycamorefield.fleet import slowness
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import workerstate

# A task that keeps failing at once is not restarted faster than this.
RESTART_PAUSE_S = 0.2
# A worker forgets and lists at most this many ends in one report.
ENDS_PER_REPORT = 500
# An unexpected run is told to stop again when it is still there after this.
STOP_AGAIN_S = 1.0
# Marks a filling run of the previous owner, whose share is not known.
UNKNOWN_PACE = -1


def take(fleet: state_mod.FleetState, worker_id: str,
         report: messages.WorkerReport, sent: float, now: float) -> bool:
    """Take in a report; tell if it holds ends not seen before."""
    with fleet.lock:
        worker = fleet.workers.get(worker_id)
        if worker is None:
            return False
        worker.heard(report.clock_ms, now)
        worker.reported_at = now
        worker.obeyed_at = max(worker.obeyed_at, sent)
        # Without news nothing waits for a round: figures alone, a few
        # hundred reports a second, change no more than the next tick
        # takes in, and a round for each left no time for anything else.
        news = worker.silent or not worker.reported
        if worker.silent:
            events.emit(events.WORKER_RESPONSIVE, worker=worker_id)
            worker.silent = worker.closed = False
        if not worker.reported:
            # The earlier owner may have given leases up to the longest.
            worker.granted_ms = max(
                worker.granted_ms, report.clock_ms + min(
                    workerstate.LEASE_MS, fleet.hold_max_ms))
        new_ends = False
        for ended in report.ended:
            if ended.number > worker.processed:
                worker.processed = ended.number
                new_ends = True
                _ended(fleet, worker, ended, now)
        for row in report.running:
            _running(fleet, worker, row, now)
        if len(report.ended) < ENDS_PER_REPORT:
            # A full list may leave out ends of tasks that seem to wait.
            news |= _missing(fleet, worker, report, sent)
            worker.reported = True
            fleet.unheard.pop(worker_id, None)
        fleet.pacer.take(worker, report, now)
        worker.stalls = any(pacer.stalls(task)
                            for task in worker.tasks.values())
        worker.touch()
        if news or new_ends:
            fleet.notify()
        return new_ends


def _ended(fleet: state_mod.FleetState, worker: workerstate.WorkerState,
           ended: messages.EndedTask, now: float) -> None:
    found = fleet.find(ended.task)
    fleet.run_log.add_ended(ended.task, ended.run,
                            worker.entry.worker_id, ended.how)
    if found is None:
        return
    job, task = found
    current = fleet.is_current(worker, task, ended.run)
    began = task.started if current else 0.0
    worker.release((ended.task, ended.run), task.step)
    task.last_run = max(task.last_run, ended.run)
    task.begun = True
    if current:
        task.idle()
    if task.done or job.final():
        return
    job.note_ran(task)
    if ended.how == messages.DONE:
        _done(fleet, job, task, worker, began, now)
    elif ended.how == messages.FAILED:
        _failed(fleet, job, task, worker, ended.run, now)
    elif ended.saved:
        task.saved = ended.saved
        job.dirty = True
    fleet.settle(job)


def _done(fleet: state_mod.FleetState, job: progress.JobState,
          task: progress.TaskState, worker: workerstate.WorkerState,
          began: float, now: float) -> None:
    worker.succeeded()
    if task.step.perpetual:
        return
    if began:
        task.earlier_s = now - began
    if demand.is_short(task.step) and began:
        fleet.demand.add_run(job.job.queue, now - began)
    place = (task.task.occurrence, task.task.step)
    members = job.tasks[place] if task.step.gang else [task]
    for member in members:
        member.finish()
        if member is task and member.phase in (progress.STARTING,
                                               progress.RUNNING):
            fleet.stop_run(member, "done elsewhere")
    job.dirty = True


def _failed(fleet: state_mod.FleetState, job: progress.JobState,
            task: progress.TaskState, worker: workerstate.WorkerState,
            run: int, now: float) -> None:
    task.avoid.add(worker.entry.worker_id)
    if worker.failed(now):
        events.emit(events.WORKER_AVOIDED, failures=worker.failures,
                    worker=worker.entry.worker_id)
    if task.step.perpetual:
        task.not_before = now + RESTART_PAUSE_S
        return
    task.failed_runs.add(run)
    job.dirty = True


def _running(fleet: state_mod.FleetState, worker: workerstate.WorkerState,
             row: messages.RunningTask, now: float) -> None:
    found = fleet.find(row.task)
    if found is None:
        _unexpected(fleet, worker, row, "no such job", now, None)
        return
    job, task = found
    task.last_run = max(task.last_run, row.run)
    task.begun = True
    worker.reserve((row.task, row.run), task.step, task)
    if fleet.is_current(worker, task, row.run):
        if row.percent != task.percent:
            task.advance(row.percent, now)
        if row.saved:
            task.saved = row.saved
        if not task.stuck and slowness.stuck(task, now):
            task.stuck = True
            _slow(fleet, worker, task, now)
        if task.phase == progress.STARTING:
            # Its answer comes later, or not at all.
            task.phase = progress.RUNNING
            task.moved_at = task.started = now
        return
    if job.final() or task.done:
        _unexpected(fleet, worker, row, "already over", now, task)
    elif task.phase == progress.IDLE:
        _adopt(worker, job, task, row, now)
    else:
        _unexpected(fleet, worker, row, "runs elsewhere", now, task)


def _slow(fleet: state_mod.FleetState, worker: workerstate.WorkerState,
          task: progress.TaskState, now: float) -> None:
    """Avoid a worker on which several tasks make no progress."""
    task.avoid.add(worker.entry.worker_id)
    stuck = sum(1 for other in worker.tasks.values() if other.stuck)
    if stuck >= slowness.STUCK_TASKS and worker.avoid_until <= now:
        worker.avoid_until = now + workerstate.AVOID_S
        events.emit(events.WORKER_AVOIDED, stuck=stuck,
                    worker=worker.entry.worker_id)


def _adopt(worker: workerstate.WorkerState, job: progress.JobState,
           task: progress.TaskState, row: messages.RunningTask,
           now: float) -> None:
    job.note_ran(task)
    task.phase = progress.RUNNING
    task.run = row.run
    task.worker_id = worker.entry.worker_id
    task.saved = row.saved or task.saved
    task.percent = row.percent
    task.started = task.moved_at = now
    if task.step.fills:
        task.pace = UNKNOWN_PACE


def _unexpected(fleet: state_mod.FleetState, worker: workerstate.WorkerState,
                row: messages.RunningTask, reason: str, now: float,
                task: progress.TaskState | None) -> None:
    if task is not None and now - task.stop_sent < STOP_AGAIN_S:
        return
    if task is not None:
        task.stop_sent = now
    events.emit(events.RUN_UNEXPECTED, task=str(row.task), run=row.run,
                worker=worker.entry.worker_id, reason=reason)
    fleet.send(worker.entry.worker_id,
               messages.StopOrder(row.task, row.run))


def _missing(fleet: state_mod.FleetState, worker: workerstate.WorkerState,
             report: messages.WorkerReport, sent: float) -> bool:
    """Free runs that neither run nor ended; tell if there were any.

    An order without an answer may never have arrived.  It counts as
    confirmed once its stop was answered; a report asked for after that
    and without the run shows that it never ran.
    """
    present = {(row.task, row.run) for row in report.running}
    freed = False
    for run, task in list(worker.tasks.items()):
        if run in present:
            continue
        if fleet.is_current(worker, task, run[1]):
            if (task.phase == progress.STARTING
                    or not 0 < task.moved_at < sent):
                continue
            task.idle()
            events.emit(events.RUN_VANISHED, task=str(run[0]),
                        run=run[1], worker=worker.entry.worker_id)
        worker.release(run, task.step)
        freed = True
    return freed
