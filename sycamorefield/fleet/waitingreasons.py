"""Find out why tasks that are ready do not start."""

import collections
import typing

from sycamorefield.fleet import advice as advice_mod
from sycamorefield.fleet import headroom
from sycamorefield.fleet import messages
from sycamorefield.fleet import placing
from sycamorefield.fleet import progress
from sycamorefield.fleet import quarantines
from sycamorefield.fleet import storedcrashes
from sycamorefield.fleet import widetasks
from sycamorefield.fleet import workerstate

if typing.TYPE_CHECKING:
    from sycamorefield.fleet import state as state_mod

# Reasons that concern a step as a whole.  The first that holds is given.
AWAITED_WORKERS = "workers of an earlier owner have not reported"
OWN_LEASE = "the owner's lease had expired when it learned of the job"
CRASHES_NOT_STORED = "crash of its worker is not stored yet"
GANG_INCOMPLETE = "other members of the gang have not ended"
DELAYED = "delayed after a failure or rejection"
SKIPPED = "rounds skip the job"
QUARANTINE_PENDING = "waits for a worker to be quarantined"
QUARANTINE_RESTORED = "quarantine of an earlier owner is undecided"
QUARANTINE_NOT_READY = "quarantine has not started"
ADVICE_FAILING = "the advice service does not answer the owner"
ADVICE_PENDING = "waits for advice on workers"
HEADROOM = "may have to leave capacity free for other tasks"
# The last of them: the search for workers tells more.
NO_WORKER = "no worker found"

# Reasons that exclude a worker, in the order in which they are checked.
NOT_LISTED = "not listed"
DRAINING = "draining"
EVACUATED = "evacuated"
OTHER_SERVICE = "other service"
SILENT = "silent"
NOT_REPORTED = "not reported"
NOT_ENROLLED = "not enrolled"
RECORDED_AS_SILENT = "recorded as silent"
OTHER_LIFE = "entry of another life"
RESTARTED_WITHOUT_LEASE = "restarted while the owner had no lease"
QUARANTINED = "quarantined"
AVOIDED = "avoided"
SLOW = "runs there are slow, fail or hang"
NOT_ALLOWED = "label or runs per worker"
TRIAL = "slow worker that gets one run at a time"
UNKNOWN_RUN = "run of an unknown job"
UNSENT_STARTS = "too many unsent starts"
HELD = "resources held for another task"
FULL = "full"
NO_UNUSED_CPU = "best-effort tasks use its CPU"
TAIL_LATENCY = "tail latencies would be too high"
RESERVED = "reserved for a long-running task that is down"
WIDE_SLOT = "kept for wide finite tasks"
OVERDUE_HOLD = "kept for an overdue best-effort task"
# Not excluded: if tasks wait long beside such workers, rounds keep them free.
FITS = "fits"


def step_reason(fleet: "state_mod.FleetState", state: progress.JobState,
                tasks: list[progress.TaskState], now: float) -> str:
    """Return why the idle tasks of a ready step have not started.

    The caller holds the fleet's lock.
    """
    unproven_tasks = fleet.unproven_tasks()
    if (state.created_revision <= fleet.fence if unproven_tasks is None
            else all(task.task in unproven_tasks for task in tasks)):
        return AWAITED_WORKERS
    if not fleet.may_start(state):
        return OWN_LEASE
    if state.skip_rounds:
        return SKIPPED
    suspected = [task for task in tasks if task.needs_quarantine_run()
                 or task.task in fleet.trials.by_task]
    if suspected:
        return _quarantine_reason(
            fleet.trials.by_task.get(suspected[0].task))
    if not all(storedcrashes.are_stored(state, task) for task in tasks):
        return CRASHES_NOT_STORED
    if tasks[0].step.gang and len(tasks) < tasks[0].step.count:
        return GANG_INCOMPLETE
    if all(task.not_before > now for task in tasks):
        return DELAYED
    advice_reason = _advice_reason(fleet, state, tasks[0], now)
    if advice_reason:
        return advice_reason
    if fleet.policy.keep_room_for_short_work and all(
            headroom.required_headroom(task, 0)
            is not headroom.RequiredHeadroom.NONE for task in tasks):
        return HEADROOM
    return NO_WORKER


def _advice_reason(fleet: "state_mod.FleetState", state: progress.JobState,
                   task: progress.TaskState, now: float) -> str:
    """Return whether a step waits for advice; empty if it does not."""
    queue = fleet.configuration().find_queue(state.job.queue)
    step_id = task.task.step_id()
    if (advice_mod.policy_of(state.job, queue) is None
            or fleet.advice.valid_tickets(step_id, now)):
        return ""
    if fleet.advice.failing:
        return ADVICE_FAILING
    return ADVICE_PENDING if fleet.advice.is_pending(step_id) else ""


def _quarantine_reason(quarantine: quarantines.Quarantine | None) -> str:
    if quarantine is None:
        return QUARANTINE_PENDING
    if quarantine.restored and not quarantine.run:
        return QUARANTINE_RESTORED
    return QUARANTINE_NOT_READY


def count_workers(fleet: "state_mod.FleetState", task: progress.TaskState,
                  service: str, now: float) -> dict[str, int]:
    """Return how many workers a task could not use, by reason.

    The caller holds the fleet's lock.
    """
    return dict(collections.Counter(
        _worker_reason(fleet, worker, task, service, now)
        for worker in fleet.workers.values()))


def _worker_reason(fleet: "state_mod.FleetState",
                   worker: workerstate.WorkerState, task: progress.TaskState,
                   service: str, now: float) -> str:
    entry = worker.entry
    checks = (
        (NOT_LISTED, not worker.listed),
        (DRAINING, entry.draining),
        (EVACUATED, fleet.is_evacuated(worker)),
        (OTHER_SERVICE, entry.service != service),
        (SILENT, worker.unresponsive),
        (NOT_REPORTED, not worker.has_reported),
        (NOT_ENROLLED, not worker.enrolled),
        (RECORDED_AS_SILENT,
         fleet.silent_workers.is_recorded(entry.worker_id)),
        (OTHER_LIFE, not worker.entry_is_of_current_life()),
        (RESTARTED_WITHOUT_LEASE, not fleet.leased_since_restart(worker)),
        (QUARANTINED, entry.worker_id in fleet.trials.by_worker),
        (AVOIDED, worker.avoid_until > now),
        (SLOW, entry.worker_id in fleet.worker_speeds.excluded
         or (worker.on_trial and task.step.perpetual)),
        (NOT_ALLOWED, not placing.allowed(worker, service, task)),
        (TRIAL, worker.has_trial_run()),
        (UNKNOWN_RUN, worker.has_unknown_run),
        (UNSENT_STARTS, not worker.accepts_starts()),
        (HELD, _is_held(fleet, worker, task)),
        (FULL, not worker.free_capacity().holds(task.step.reserved())),
        (OVERDUE_HOLD, task.step.fills
         and worker.best_effort_hold not in (None, task.task)),
        (NO_UNUSED_CPU, not placing.has_unused_cpu(worker, task.step)),
        (TAIL_LATENCY, not placing.fits(worker, task.step,
                                        fleet.interference_model)),
        (RESERVED, entry.worker_id in fleet.reserved_workers),
        (WIDE_SLOT, _is_wide_slot(fleet, worker, task)))
    return next((reason for reason, applies in checks if applies), FITS)


def _is_held(fleet: "state_mod.FleetState",
             worker: workerstate.WorkerState,
             task: progress.TaskState) -> bool:
    """Return whether a task fits but for what is held for others."""
    own = fleet.held_workers.find(task)
    request = task.step.reserved()
    free = worker.free_capacity()
    if own is not None and own.worker is worker:
        return False
    return (not free.holds(request)
            and free.plus(worker.held).holds(request))


def _is_wide_slot(fleet: "state_mod.FleetState",
                  worker: workerstate.WorkerState,
                  task: progress.TaskState) -> bool:
    """Return whether the last round kept a worker from a task as a slot."""
    return (headroom.required_headroom(task, 0)
            is not headroom.RequiredHeadroom.NONE
            and any(not widetasks.leaves_slot(
                kept.wide_slots, kept.wide_workers, worker,
                task.step.room.cpu) for kept in fleet.headrooms))


def service_of(queues: dict[str, messages.Queue],
               state: progress.JobState) -> str:
    """Return the service whose workers run a job."""
    queue = queues.get(state.job.queue)
    return queue.service if queue is not None else state.job.service
