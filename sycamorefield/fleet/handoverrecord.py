"""Tell a successor what workers may still run after a planned stop.

An owner that stops as planned stores, for each worker in use, how long its
leases may still last and which tasks it may run.  The transaction that
removes the owner's key stores the record, after the owner has stepped down,
and each claim removes it.  So it exists only while there is no owner, and
only the direct successor reads it.
"""

import json
import math
import typing

import msgspec

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import messages
from sycamorefield.fleet import recordedends
from sycamorefield.fleet import records
from sycamorefield.fleet import silentworkers
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import unreportedlife
from sycamorefield.fleet import workerstate


class StoredRecord(msgspec.Struct, frozen=True):
    """The stored form of the record; fence is that of its writer."""

    fence: int
    workers: dict[str, silentworkers.StoredWorker]
    # For how many ms tasks must not start, as a start of them may be late.
    late_starts: dict[str, float] = {}


class Record(typing.NamedTuple):
    """What workers may run, and for how long which tasks must not start."""

    workers: dict[str, silentworkers.SilentWorker]
    late_starts_s: dict[messages.TaskId, float]


def encode(fence: int, workers: dict[str, silentworkers.SilentWorker],
           late_starts_s: dict[messages.TaskId, float] | None = None
           ) -> bytes:
    """Return the stored form of what workers may run, by worker ID."""
    return json.dumps({
        "fence": fence,
        "workers": silentworkers.stored_form(workers),
        "late_starts": {
            str(task): math.ceil(seconds * 1000.0)
            for task, seconds in (late_starts_s or {}).items()}}).encode()


def decode(value: bytes, last_fence: int) -> Record:
    """Return what workers may run; raises ValueError if it is not usable.

    last_fence is the last one that an earlier owner has stored.
    """
    try:
        stored = msgspec.convert(json.loads(value), StoredRecord)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise ValueError(repr(exc)[:200]) from exc
    if stored.fence < last_fence:
        # Versions without this record do not remove it.
        raise ValueError(f"outdated: an owner with fence {last_fence} "
                         f"followed {stored.fence}")
    if not all(map(math.isfinite, stored.late_starts.values())):
        raise ValueError("remaining time is not finite")
    return Record(silentworkers.parse(stored.workers), {
        messages.TaskId.parse(name): min(
            remaining_ms / 1000.0, unreportedlife.LATE_CALL_S)
        for name, remaining_ms in stored.late_starts.items()})


def load(fleet: state_mod.FleetState, item: messages.Item | None) -> None:
    """Add the record of the last owner to what is known of its workers.

    It comes after the terms of owners and the record of silent workers.
    """
    if item is None:
        return
    try:
        record = decode(item.value, max(fleet.terms.fences[:-1], default=0))
    except ValueError as exc:
        events.emit(events.RECORD_UNREADABLE, key=records.HANDOVER_KEY,
                    reason=str(exc)[:200],
                    default="any worker may run any task")
        return
    workers = record.workers
    fleet.silent_workers.add_handover(workers)
    now = clock.now()
    for task_id, remaining_s in record.late_starts_s.items():
        found = fleet.find(task_id)
        if found is not None:
            fleet.late_starts.add(found[1], now + remaining_s)
    events.emit(events.HANDOVER_RECORD_LOADED, fence=fleet.fence,
                workers=len(workers), late_starts=len(record.late_starts_s),
                tasks_unknown=sum(worker.tasks is None
                                  for worker in workers.values()))


def collect(fleet: state_mod.FleetState,
            stored_ends: dict[str, recordedends.LifeEnds], now: float
            ) -> dict[str, silentworkers.SilentWorker]:
    """Return what the workers in use may still run once the term is over.

    A worker that reported ends which are not stored may run any task: a
    successor that has not read them must not start their tasks again.

    A worker without a known end of its leases is left out, and the successor
    waits for it as after a crash of the owner.
    """
    silent = fleet.silent_workers
    found = {worker_id: silent.awaited_worker(fleet, worker_id, now)
             for worker_id in fleet.awaited_workers}
    recorded_tasks = sum(w.task_count() for w in found.values())
    # Workers that have been silent for longest may not report again, so
    # their tasks have precedence.
    for worker_id, worker in sorted(
            fleet.workers.items(), key=lambda pair: pair[1].reported_at):
        if worker_id in found or not worker.has_reported:
            continue
        tasks = worker.possible_tasks()
        if not _ends_are_stored(worker, stored_ends.get(worker_id)):
            tasks = None
        described = silentworkers.describe(
            worker, fleet.hold_max_ms, tasks, now)
        if described is None:
            continue
        recorded_tasks += described.task_count()
        found[worker_id] = (
            described if recorded_tasks <= silentworkers.MAX_RECORDED_TASKS
            else described.without_tasks())
    return found


def _ends_are_stored(worker: workerstate.WorkerState,
                     stored: recordedends.LifeEnds | None) -> bool:
    return not worker.last_processed_end or stored == recordedends.LifeEnds(
        worker.born_ms, worker.last_processed_end)
