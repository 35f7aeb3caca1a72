"""Apply workers' reports of running and ended tasks to the fleet state."""

from sycamorefield import events
from sycamorefield.fleet import awaitedworkers
from sycamorefield.fleet import clock
from sycamorefield.fleet import copies
from sycamorefield.fleet import crashes
from sycamorefield.fleet import demand
from sycamorefield.fleet import inputlog
from sycamorefield.fleet import messages
from sycamorefield.fleet import pacer
from sycamorefield.fleet import progress
from sycamorefield.fleet import restarts
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import stragglers
from sycamorefield.fleet import unwantedruns
from sycamorefield.fleet import workerstate

# Minimum delay before a failed long-running task is restarted, so that one
# that fails at once is not restarted in a tight loop.
RESTART_DELAY_S = 0.2
# Maximum number of ended runs in one report; the worker lists others later.
MAX_ENDS_PER_REPORT = 500
# A life that began longer ago has no lease left by an earlier clock.
NEW_LIFE_S = 30.0
# Why runs that no open job wants are stopped.
NO_SUCH_JOB = "no such job"
ALREADY_ENDED = "already ended"


def apply_report(fleet: state_mod.FleetState, worker_id: str,
                 report: messages.WorkerReport, sent_at: float,
                 now: float) -> bool:
    """Apply a report; return whether it contains new ends of runs.

    The report was requested at sent_at and received now.
    """
    with fleet.lock:
        worker = fleet.workers.get(worker_id)
        if worker is None:
            return False
        if worker.born_ms and report.born_ms != worker.born_ms:
            if sent_at < worker.report_requested_at:
                # A late report of an earlier life says nothing of this one.
                return False
            restarts.apply_restart(fleet, worker, report, sent_at, now)
        worker.born_ms = report.born_ms
        worker.report_requested_at = sent_at
        worker.sync_clock(report.clock_ms, now)
        worker.reported_at = now
        worker.acknowledged_at = max(worker.acknowledged_at, sent_at)
        # A report with measurements alone does not trigger a placement round:
        # the next periodic round takes them in.  With a few hundred reports
        # per second, a round for each would leave no time for anything else.
        needs_round = worker.unresponsive or not worker.has_reported
        if needs_round:
            fleet.end_jobs_of(
                fleet.crash_records.answered(worker_id, report.born_ms))
            _note_replaced(fleet, worker)
        if not worker.has_reported:
            fleet.end_jobs_of(crashes.retract_earlier(fleet, worker))
        if worker.unresponsive:
            events.emit(events.WORKER_RESPONSIVE, worker=worker_id)
            worker.unresponsive = False
        worker.unreported_life.note_report(sent_at)
        if not worker.has_reported:
            worker.granted_end_ms = max(
                worker.granted_end_ms,
                report.clock_ms + _longest_earlier_lease_ms(fleet, report))
        new_ends = False
        for ended in report.ended:
            if ended.number > worker.last_processed_end:
                new_ends = True
                _record_end(fleet, worker, ended, now)
                # An end is acknowledged only if it has been applied.
                worker.last_processed_end = ended.number
        worker.has_unknown_run = False
        for row in report.running:
            _process_running(fleet, worker, row, now)
        fleet.unwanted_runs.flush(now)
        if len(report.ended) < MAX_ENDS_PER_REPORT:
            # A full list may omit ends of tasks that seem not to have started.
            needs_round |= _release_missing(fleet, worker, report, sent_at)
            worker.has_reported = True
            awaitedworkers.note_first_report(
                fleet, worker, {row.task for row in report.running})
        fleet.pacer.process_report(worker, report, now)
        worker.has_stalled_run = any(pacer.is_stalled(task)
                                     for task in worker.tasks.values())
        worker.record_change()
        if needs_round or new_ends:
            fleet.request_round()
        return new_ends


def _longest_earlier_lease_ms(fleet: state_mod.FleetState,
                              report: messages.WorkerReport) -> float:
    """Return the longest lease that an earlier owner may have granted.

    In a life that has just begun, it may be by the clock of the life before,
    and then lasts as long as a worker allows.
    """
    age_ms = clock.wall_ms() - report.born_ms
    if report.born_ms and age_ms < NEW_LIFE_S * 1000.0:
        return fleet.hold_max_ms
    return min(workerstate.LEASE_MS, fleet.hold_max_ms)


def _note_replaced(fleet: state_mod.FleetState,
                   worker: workerstate.WorkerState) -> None:
    """Handle the proof that a worker gives of the end of others.

    One process listens at an address.  The entry of another life may name an
    address that this report did not come from.
    """
    if worker.entry_is_of_current_life():
        for replaced_id in fleet.crash_records.replaced_by(
                worker.entry.worker_id, worker.entry.address):
            crashes.worker_replaced(fleet, replaced_id)


def _record_end(fleet: state_mod.FleetState, worker: workerstate.WorkerState,
                ended: messages.EndedTask, now: float) -> None:
    found = fleet.find(ended.task)
    fleet.run_log.add_ended(ended.task, ended.run,
                            worker.entry.worker_id, ended.how)
    if found is None:
        return
    job, task = found
    run_state = fleet.run_state(worker, task, ended.run)
    current = fleet.is_current(worker, run_state, ended.run)
    started_at = run_state.started_at if current else 0.0
    measurable = run_state.measurable and started_at > 0.0
    worker.release((ended.task, ended.run), task.step)
    task.last_run = max(task.last_run, ended.run)
    task.start_confirmed = True
    if current:
        run_state.reset_run()
        job.had_run_at = now
        fleet.worker_speeds.note_end(
            worker, job.job.queue, task, ended.run, ended.how,
            started_at if measurable else 0.0, now)
    if task.done or job.final():
        return
    job.mark_has_run(task)
    if ended.how == messages.DONE:
        if measurable and not task.step.perpetual:
            fleet.run_times.record(job.job.queue, task.step, now - started_at)
        fleet.copies.record_done(task, ended.run, now)
        _record_success(fleet, job, task, worker, started_at, now)
    elif ended.how == messages.FAILED:
        _record_failure(fleet, job, task, worker, ended.run, now)
    elif ended.saved and run_state is task:
        task.saved = ended.saved
        job.dirty = True
    fleet.update_job_state(job)


def _record_success(fleet: state_mod.FleetState, job: progress.JobState,
                    task: progress.TaskState, worker: workerstate.WorkerState,
                    started_at: float, now: float) -> None:
    worker.record_success()
    if task.step.perpetual:
        return
    if started_at:
        task.previous_run_s = now - started_at
    if demand.is_finite(task.step) and started_at:
        fleet.demand.add_run(job.job.queue, now - started_at)
    step_index = (task.task.occurrence, task.task.step)
    members = job.tasks[step_index] if task.step.gang else [task]
    for member in members:
        member.mark_done()
        if member is task:
            fleet.stop_runs(member, "done elsewhere")
    job.dirty = True


def _record_failure(fleet: state_mod.FleetState, job: progress.JobState,
                    task: progress.TaskState, worker: workerstate.WorkerState,
                    run: int, now: float) -> None:
    task.avoided_lives.add(worker.life())
    if worker.record_failure(now):
        events.emit(events.WORKER_AVOIDED, failures=worker.failures,
                    worker=worker.entry.worker_id)
    if task.step.perpetual:
        task.not_before = now + RESTART_DELAY_S
        return
    task.failed_runs.add(run)
    job.dirty = True


def _process_running(fleet: state_mod.FleetState,
                     worker: workerstate.WorkerState,
                     row: messages.RunningTask, now: float) -> None:
    found = fleet.find(row.task)
    if found is None:
        # It uses resources of an unknown size until its end.
        worker.has_unknown_run = True
        _stop_unexpected(fleet, worker, row, NO_SUCH_JOB, now)
        return
    job, task = found
    task.last_run = max(task.last_run, row.run)
    task.start_confirmed = True
    worker.reserve((row.task, row.run), task.step, task)
    run_state = fleet.run_state(worker, task, row.run)
    if fleet.is_current(worker, run_state, row.run):
        _update_run(fleet, job, worker, run_state, row, now)
        return
    if job.final() or task.done:
        _stop_unexpected(fleet, worker, row, ALREADY_ENDED, now)
    elif task.phase == progress.IDLE:
        _adopt(worker, job, task, row, now)
        fleet.copies.watch(task, now)
    elif copies.may_adopt(fleet, worker, task, row.run):
        copies.adopt(fleet, worker, task, row, now)
    else:
        _stop_unexpected(fleet, worker, row, "runs elsewhere", now)


def _update_run(fleet: state_mod.FleetState, job: progress.JobState,
                worker: workerstate.WorkerState, task: progress.TaskState,
                row: messages.RunningTask, now: float) -> None:
    """Record the progress of the current run of a task or of its copy."""
    if row.percent > task.percent or (task.step.perpetual
                                      and row.percent != task.percent):
        task.update_progress(row.percent, now)
    elif row.percent < task.percent:
        inputlog.note(
            f"worker {worker.entry.worker_id}: percentage of {row.task} "
            f"run {row.run} goes back", row.percent,
            f"{task.percent}, the highest reported")
    if row.saved:
        task.saved = row.saved
    fleet.worker_speeds.note_progress(worker, job.job.queue, task, now)
    if not task.stuck and stragglers.is_stuck(
            task, now, job.job.queue, fleet.run_times):
        task.stuck = True
        _mark_stuck(fleet, worker, task, now)
    if task.phase == progress.STARTING:
        # The response to the start order comes later or was lost.
        task.phase = progress.RUNNING
        task.confirmed_at = task.started_at = now
        task.measurable = False
    elif unwantedruns.outlives_stop(task, now):
        _stop_unexpected(fleet, worker, row, "began after its stop", now)


def _mark_stuck(fleet: state_mod.FleetState, worker: workerstate.WorkerState,
                task: progress.TaskState, now: float) -> None:
    """Avoid a worker for a stuck task, and for all if several are stuck."""
    task.avoided_lives.add(worker.life())
    stuck = sum(1 for other in worker.tasks.values() if other.stuck)
    if stuck >= stragglers.MIN_STUCK_TASKS and worker.avoid_until <= now:
        worker.avoid_until = now + workerstate.AVOID_S
        events.emit(events.WORKER_AVOIDED, stuck=stuck,
                    worker=worker.entry.worker_id)


def _adopt(worker: workerstate.WorkerState, job: progress.JobState,
           task: progress.TaskState, row: messages.RunningTask,
           now: float) -> None:
    job.mark_has_run(task)
    task.phase = progress.RUNNING
    task.run = row.run
    task.worker_id = worker.entry.worker_id
    task.saved = row.saved or task.saved
    task.percent = row.percent
    task.started_at = task.confirmed_at = now
    if task.step.fills:
        task.pace_percent = pacer.UNKNOWN_PACE


def _stop_unexpected(fleet: state_mod.FleetState,
                     worker: workerstate.WorkerState,
                     row: messages.RunningTask, reason: str,
                     now: float) -> None:
    unwanted = unwantedruns.UnwantedRun(
        worker.entry.worker_id, row.task, row.run)
    if not fleet.unwanted_runs.is_due(unwanted, now):
        return
    if reason in (NO_SUCH_JOB, ALREADY_ENDED):
        # A successor may find hundreds of them at once.
        fleet.unwanted_runs.add_to_log(unwanted, reason)
    else:
        events.emit(events.RUN_UNEXPECTED, task=str(row.task), run=row.run,
                    worker=worker.entry.worker_id, reason=reason)
    fleet.send(worker.entry.worker_id,
               messages.StopOrder(row.task, row.run))


def _release_missing(fleet: state_mod.FleetState,
                     worker: workerstate.WorkerState,
                     report: messages.WorkerReport, sent_at: float) -> bool:
    """Release runs that a report lists neither as running nor as ended.

    Return whether there were any.  A start order without a response may
    never have arrived.  Its run is released only by a report that was
    requested after the worker had acknowledged the run's start or stop:
    without the run, such a report shows that it does not run.
    """
    running = {(row.task, row.run) for row in report.running}
    released = False
    for run, task in list(worker.tasks.items()):
        if run in running:
            continue
        if fleet.is_current(worker, task, run[1]):
            if (task.phase == progress.STARTING
                    or not 0 < task.confirmed_at < sent_at):
                continue
            fleet.late_starts.add_attempts(
                worker, run, task, worker.restart_seen_at)
            task.reset_run()
            events.emit(events.RUN_VANISHED, task=str(run[0]),
                        run=run[1], worker=worker.entry.worker_id,
                        born_ms=worker.born_ms,
                        last_end=worker.last_processed_end)
        worker.release(run, task.step)
        released = True
    return released
