"""Apply the first report of a worker that started again under its ID."""

from sycamorefield import events
from sycamorefield.fleet import crashes
from sycamorefield.fleet import failures
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import workerstate


def apply_restart(fleet: state_mod.FleetState, worker: workerstate.WorkerState,
                  report: messages.WorkerReport, sent_at: float,
                  now: float) -> None:
    """End the life before of a worker; keep runs that the new one may have.

    The report was requested at sent_at and received now.  A start that was
    sent around the restart may have reached either life.
    """
    reported = {(row.task, row.run) for row in report.running}
    reported |= {(row.task, row.run) for row in report.ended}
    suspects = crashes.record_suspects(
        fleet, worker, restarted=True, excluded=reported)
    lost = [(run, task) for run, task in worker.tasks.items()
            if run not in reported and _is_over(fleet, worker, run, task,
                                                sent_at)]
    _log_restart(worker, report, [(task, run) for (_, run), task in lost], now)
    for run, task in lost:
        if fleet.is_current(worker, task, run[1]):
            fleet.late_starts.add_attempts(
                worker, run, task.original(), now)
            task.reset_run()
        worker.release(run, task.step)
    fleet.failures.note(worker, now)
    fleet.advice.forget_worker(worker.entry.worker_id)
    worker.begin_life(report.born_ms, now)
    # The new life has taken the ends of leases that were meant for the clock
    # of the life before, and shortened them to the longest lease.
    worker.granted_end_ms = report.clock_ms + fleet.hold_max_ms
    _repeat_stops(fleet, worker)
    fleet.end_jobs_of(suspects)
    fleet.request_round()


def _is_over(fleet: state_mod.FleetState, worker: workerstate.WorkerState,
             run: workerstate.RunId, task: progress.TaskState,
             sent_at: float) -> bool:
    """Return whether a run that the new life does not report is over.

    If its start has not been answered, or was answered since the report was
    requested, it may still begin.
    """
    if run in worker.unsent_starts or not fleet.is_current(
            worker, task, run[1]):
        return True
    return 0.0 < task.started_at < sent_at


def _log_restart(worker: workerstate.WorkerState,
                 report: messages.WorkerReport,
                 lost: list[tuple[progress.TaskState, int]],
                 now: float) -> None:
    events.emit(events.WORKER_RESTARTED, worker=worker.entry.worker_id,
                born_ms=report.born_ms, earlier_born_ms=worker.born_ms,
                last_end=worker.last_processed_end, clock_ms=report.clock_ms,
                earlier_clock_ms=worker.clock_ms, runs=len(worker.reserved))
    failures.log_lost_runs(worker, "started again", worker.was_draining(),
                           len(lost), lost, now)


def _repeat_stops(fleet: state_mod.FleetState,
                  worker: workerstate.WorkerState) -> None:
    """Order runs to stop again whose start and stop concern either life.

    The life before may have confirmed the stop, but only the new one can rule
    out that a start still under way begins there.
    """
    for (task_id, run), task in worker.tasks.items():
        if task.phase == progress.STOPPING and not task.started_at:
            task.confirmed_at = 0.0
            fleet.send(worker.entry.worker_id,
                       messages.StopOrder(task_id, run))
