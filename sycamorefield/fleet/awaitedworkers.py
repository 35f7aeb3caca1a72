"""Wait for workers of earlier owners that have not reported to this one.

The leases that earlier owners granted expire.  A start without an answer that
an earlier owner sent may begin a run after that, in a life of the worker that
has begun since.
"""

import typing

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import learnedstate
from sycamorefield.fleet import messages
from sycamorefield.fleet import runlog
from sycamorefield.fleet import unreportedlife
from sycamorefield.fleet import workerstate

if typing.TYPE_CHECKING:
    from sycamorefield.fleet import state as state_mod

# An earlier owner may start tasks for this long after a successor has loaded
# the jobs: without the store, and with a clock that is ahead.
EARLIER_STARTS_S = 15.0


def expire(fleet: "state_mod.FleetState", worker_id: str,
           now: float) -> None:
    """Handle that the known leases on an awaited worker have expired.

    It is awaited further while a later life of it may run a start that an
    earlier owner sent.
    """
    worker = fleet.workers.get(worker_id)
    born_ms = worker.entry.born_ms if worker is not None else 0
    fleet.silent_workers.note_listed(worker_id, born_ms)
    uncertain = fleet.silent_workers.uncertain_starts(worker_id)
    if (uncertain is not None
            and now - fleet.awaited_since < uncertain.remaining_s):
        before = fleet.silent_workers.unproven_tasks([worker_id])
        if fleet.silent_workers.note_leases_expired(worker_id):
            _log_end(
                fleet, worker_id, born_ms, before,
                "leases of previous owner expired, later life may run "
                "others", now)
            fleet.round_needed = True
        return
    if (not fleet.silent_workers.knows_starts(worker_id)
            and worker is not None
            and _has_just_begun(fleet, worker, now)):
        return
    _log_end(
        fleet, worker_id, born_ms,
        fleet.silent_workers.unproven_tasks([worker_id]),
        "leases of previous owner expired", now)
    del fleet.awaited_workers[worker_id]
    fleet.end_jobs_of(fleet.crash_records.expire_leases(worker_id))
    fleet.round_needed = True


def note_first_report(fleet: "state_mod.FleetState",
                      worker: workerstate.WorkerState,
                      reported: typing.Container[messages.TaskId]) -> None:
    """Wait for an awaited worker no longer, but keep its earlier starts.

    The life that reports refuses them; one that begins after it does not.
    """
    worker_id = worker.entry.worker_id
    if fleet.awaited_workers.pop(worker_id, None) is None:
        return
    uncertain = fleet.silent_workers.uncertain_starts(worker_id)
    if uncertain is None:
        return
    latest = (fleet.awaited_since + uncertain.late_remaining_s
              - workerstate.longest_lease_s(fleet.hold_max_ms))
    for run in worker.tasks:
        if run[0] in uncertain.tasks:
            worker.unreported_life.add_earlier_start(run, latest)
    if not uncertain.born_ms or worker.born_ms == uncertain.born_ms:
        return
    for task_id in uncertain.tasks:
        found = fleet.find(task_id)
        if found is not None and task_id not in reported:
            fleet.late_starts.add(found[1], latest)


def _has_just_begun(fleet: "state_mod.FleetState",
                    worker: workerstate.WorkerState, now: float) -> bool:
    """Return whether a listed life may run starts meant for another.

    They were sent before it began.  Its birth is a time of day, which may
    be far ahead of the clock here.
    """
    age_s = (clock.wall_ms() - worker.entry.born_ms) / 1000.0
    lasts_s = (unreportedlife.LATE_CALL_S
               + workerstate.longest_lease_s(fleet.hold_max_ms))
    return (bool(worker.listed and worker.entry.born_ms)
            and age_s < lasts_s + learnedstate.MAX_CLOCK_ERROR_S
            and now - fleet.awaited_since < lasts_s + EARLIER_STARTS_S)


def _log_end(fleet: "state_mod.FleetState", worker_id: str, born_ms: int,
             tasks: frozenset[messages.TaskId] | None, reason: str,
             now: float) -> None:
    """Log that tasks wait for an awaited worker no longer, and why."""
    events.emit(
        events.WORKER_RUNS_LOST, worker=worker_id, reason=reason,
        listed_born_ms=born_ms,
        recorded=worker_id in fleet.silent_workers.loaded,
        waited_s=round(now - fleet.awaited_since, 3),
        tasks=None if tasks is None
        else sorted(map(str, tasks))[:runlog.RUNS_PER_LINE])
