"""Store what an owner knows of silent workers, for its successors.

A worker that does not answer may run its tasks on until its leases have
expired.  If each owner waited for that from its own beginning, owners that
change often would never end the wait.  So an owner stores how long its leases
may still last, and which tasks the worker may run.

A start without an answer may be carried out late by a life that begins after
the one that the owner knows.  Whether there is one may be learned by a later
owner alone, so such starts are stored with the waits for both cases.

No owner grants a lease to a worker while the record names it: the worker is
removed from the record first.  So an entry stays true whoever owns the fleet
later.  The remaining time is a duration that its writer has measured, because
processes share no clock, and keys with a lease may vanish early during an
outage of the store.

The record also states how long after the claim of its writer it was made.  A
successor that saw this claim, which each process watches, knows how much of
the remaining time has passed since, by its own clock.
"""

import dataclasses
import json
import math
import typing

import msgspec

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import messages
from sycamorefield.fleet import records
from sycamorefield.fleet import workerstate

if typing.TYPE_CHECKING:
    from sycamorefield.fleet import state as state_mod

# A worker is recorded once it has been silent for this long.  After a shorter
# silence its leases are renewed without waiting for a write to the store.
MIN_SILENCE_S = 0.5
# How often the remaining times are stored anew.
UPDATE_PERIOD_S = 0.5
# An owner whose last record is that young has ended soon after its claim.
BRIEF_TERM_S = 1.0
# Bounds the size of the record.  Workers with more tasks than are left of it
# are recorded without their tasks.
MAX_RECORDED_TASKS = 4000


# Returns how long ago a claim was made at least.
ClaimAge = typing.Callable[[int], float]


class StoredStarts(msgspec.Struct, frozen=True):
    """The stored form of uncertain starts."""

    tasks: list[str]
    born_ms: int
    remaining_ms: float
    late_remaining_ms: float


class StoredWorker(msgspec.Struct, frozen=True):
    """The stored form of what is known of a silent worker."""

    remaining_ms: float
    tasks: list[str] | None = None
    uncertain: StoredStarts | None = None
    starts_known: bool = True
    # The claim of the owner that measured the times, and how long after it.
    claim: int = 0
    since_claim_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class UncertainStarts:
    """Tasks that a life of a worker may run which has not reported.

    remaining_s is how long if there is no life after the one of born_ms, and
    late_remaining_s if there is one.
    """

    tasks: frozenset[messages.TaskId]
    born_ms: int
    remaining_s: float
    late_remaining_s: float

    def by_listed(self, listed_born_ms: int) -> "UncertainStarts":
        """Return what is known once a life is listed (0: not known)."""
        if self.born_ms and listed_born_ms not in (0, self.born_ms):
            return dataclasses.replace(
                self, remaining_s=self.late_remaining_s)
        return self

    def after(self, elapsed_s: float) -> "UncertainStarts | None":
        """Return what is left of this some time later."""
        if self.late_remaining_s <= elapsed_s:
            return None
        return dataclasses.replace(
            self, remaining_s=max(0.0, self.remaining_s - elapsed_s),
            late_remaining_s=self.late_remaining_s - elapsed_s)


@dataclasses.dataclass(frozen=True, slots=True)
class SilentWorker:
    """How long leases of a worker may last, and the tasks it may run.

    tasks is None if it may run any task.  The uncertain ones may last longer.
    They may lack some if starts_known is false: an earlier owner ended before
    it recorded the worker.
    """

    remaining_s: float
    tasks: frozenset[messages.TaskId] | None
    uncertain: UncertainStarts | None = None
    starts_known: bool = True

    def after(self, elapsed_s: float) -> "SilentWorker":
        """Return what is left of this some time later."""
        return dataclasses.replace(
            self, remaining_s=max(0.0, self.remaining_s - elapsed_s),
            uncertain=self.uncertain.after(elapsed_s)
            if self.uncertain else None)

    def task_count(self) -> int:
        """Return how many tasks it names."""
        uncertain = self.uncertain.tasks if self.uncertain else ()
        return len(self.tasks or ()) + len(uncertain)

    def without_tasks(self) -> "SilentWorker":
        """Return the same for any task, but for the uncertain ones."""
        return dataclasses.replace(self, tasks=None)


def describe(worker: workerstate.WorkerState, hold_max_ms: float,
             tasks: frozenset[messages.TaskId] | None,
             now: float) -> SilentWorker | None:
    """Return how long a worker may run which tasks; None before any report."""
    leases_end_at = worker.leases_end_at()
    if leases_end_at is None:
        return None
    uncertain = UncertainStarts(
        frozenset(task for task, _ in worker.unreported_life.runs()),
        worker.born_ms, *(
            worker.uncertain_runs_end_at(hold_max_ms, later_life) - now
            for later_life in (worker.later_life_is_listed(), True)))
    return SilentWorker(
        max(0.0, leases_end_at - now), tasks, uncertain.after(0.0))


def stored_form(silent: dict[str, SilentWorker]
                ) -> dict[str, dict[str, object]]:
    """Return silent workers by ID as values of JSON."""
    return {worker_id: _stored_worker(worker)
            for worker_id, worker in sorted(silent.items())}


def _stored_worker(worker: SilentWorker) -> dict[str, object]:
    stored: dict[str, object] = {
        "remaining_ms": math.ceil(worker.remaining_s * 1000.0),
        "tasks": (None if worker.tasks is None
                  else sorted(str(task) for task in worker.tasks))}
    if not worker.starts_known:
        stored["starts_known"] = False
    starts = worker.uncertain
    if starts is not None:
        stored["uncertain"] = {
            "tasks": sorted(str(task) for task in starts.tasks),
            "born_ms": starts.born_ms,
            "remaining_ms": math.ceil(starts.remaining_s * 1000.0),
            "late_remaining_ms": math.ceil(starts.late_remaining_s * 1000.0)}
    return stored


def encode(silent: dict[str, SilentWorker], claim: int = 0,
           since_claim_s: float = 0.0) -> bytes:
    """Return the stored form of silent workers by ID.

    claim is the revision of the writer's claim, made since_claim_s ago at
    most, or 0 if this is not known.
    """
    stored = stored_form(silent)
    if claim:
        for worker in stored.values():
            worker["claim"] = claim
            worker["since_claim_ms"] = math.ceil(since_claim_s * 1000.0)
    return json.dumps(stored).encode()


def decode(value: bytes, age_s: ClaimAge | None = None
           ) -> dict[str, SilentWorker]:
    """Return the silent workers by ID; raises ValueError if unreadable.

    Without age_s, the times are those at which the record was made.
    """
    stored = _decode_stored(value)
    found = parse(stored)
    if age_s is None:
        return found
    return {worker_id: worker.after(_elapsed_s(stored[worker_id], age_s))
            for worker_id, worker in found.items()}


def _decode_stored(value: bytes) -> dict[str, StoredWorker]:
    """Return a record as stored; raises ValueError if unreadable."""
    try:
        return msgspec.convert(json.loads(value), dict[str, StoredWorker])
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise ValueError(repr(exc)[:200]) from exc


def shows_brief_term(value: bytes, wait_s: float) -> bool:
    """Return whether a record is of an owner that ended right after its claim.

    Otherwise it would have stored the remaining times again.  Only workers
    count that may have leases for longer than wait_s.
    """
    try:
        stored = _decode_stored(value)
    except ValueError:
        return False
    return any(worker.claim and worker.remaining_ms > wait_s * 1000.0
               and worker.since_claim_ms < BRIEF_TERM_S * 1000.0
               for worker in stored.values())


def _elapsed_s(stored: StoredWorker, age_s: ClaimAge) -> float:
    """Return how much time has certainly passed since an entry was made."""
    if not stored.claim:
        return 0.0
    return max(0.0, age_s(stored.claim)
               - max(0.0, stored.since_claim_ms) / 1000.0)


def parse(stored: dict[str, StoredWorker]) -> dict[str, SilentWorker]:
    """Return the silent workers by ID; raises ValueError if unreadable."""
    times_ms = [worker.remaining_ms for worker in stored.values()]
    times_ms += [worker.since_claim_ms for worker in stored.values()]
    for worker in stored.values():
        if worker.uncertain is not None:
            times_ms += [worker.uncertain.remaining_ms,
                         worker.uncertain.late_remaining_ms]
    if not all(map(math.isfinite, times_ms)):
        raise ValueError("remaining time is not finite")
    return {
        worker_id: SilentWorker(
            max(0.0, worker.remaining_ms / 1000.0),
            None if worker.tasks is None else _parse_tasks(worker.tasks),
            _parse_starts(worker.uncertain), worker.starts_known)
        for worker_id, worker in stored.items()}


def _parse_tasks(names: list[str]) -> frozenset[messages.TaskId]:
    return frozenset(messages.TaskId.parse(name) for name in names)


def _parse_starts(stored: StoredStarts | None) -> UncertainStarts | None:
    if stored is None:
        return None
    return UncertainStarts(
        _parse_tasks(stored.tasks), stored.born_ms,
        stored.remaining_ms / 1000.0, stored.late_remaining_ms / 1000.0)


class SilentWorkers:
    """Hold the record of silent workers, as it is and may be stored.

    Callers hold the lock of the fleet or run before other threads start.
    """

    def __init__(self) -> None:
        # As earlier owners stored it, here or at a planned stop.
        self.loaded: dict[str, SilentWorker] = {}
        # The workers named by the record: several sets while the outcome of
        # a write is unknown.
        self.possible_ids: list[frozenset[str]] = [frozenset()]
        # What was last written, without the remaining times, and when.
        self.written: dict[str, object] | None = {}
        self.written_at = -math.inf
        # Whether the term is about to end as planned.
        self.term_ends = False
        # When the claim of this term was sent, if known, and when this
        # process saw the claims of others.  Seconds on clock.now().
        self.claim_sent_at: float | None = None
        self.claim_seen_at: typing.Callable[[int], float] = (
            lambda claim: math.inf)

    def load(self, item: messages.Item | None) -> None:
        """Load the stored record; log an unreadable one.

        Only the writer of the record and owners that have read it may have
        removed a worker from it, so it holds from when it was made.
        """
        if item is None:
            return
        # The first write replaces the record, even if no worker is silent.
        self.written = None
        try:
            self.loaded = decode(item.value, self._claim_age_s)
        except ValueError as exc:
            events.emit(events.RECORD_UNREADABLE,
                        key=records.SILENT_WORKERS_KEY, reason=str(exc)[:200],
                        default="any worker may run any task")
        self.possible_ids = [frozenset(self.loaded)]

    def _claim_age_s(self, claim: int) -> float:
        return max(0.0, clock.now() - self.claim_seen_at(claim))

    def add_handover(self, workers: dict[str, SilentWorker]) -> None:
        """Add what the last owner stored at its planned stop.

        Both records are true, so the shorter wait is sufficient.
        """
        for worker_id, worker in workers.items():
            known = self.loaded.get(worker_id, worker)
            self.loaded[worker_id] = SilentWorker(
                min(worker.remaining_s, known.remaining_s),
                known.tasks if worker.tasks is None else worker.tasks,
                worker.uncertain or known.uncertain,
                worker.starts_known or known.starts_known)

    def knows_starts(self, worker_id: str) -> bool:
        """Return whether all starts are known that a worker may carry out."""
        worker = self.loaded.get(worker_id)
        return worker is not None and worker.starts_known

    def uncertain_starts(self, worker_id: str) -> UncertainStarts | None:
        """Return the starts of earlier owners that a worker may carry out."""
        worker = self.loaded.get(worker_id)
        return worker.uncertain if worker is not None else None

    def note_listed(self, worker_id: str, born_ms: int) -> None:
        """Note which life of a worker is listed (0: not known).

        Its entry may expire before a successor reads the list.
        """
        worker = self.loaded.get(worker_id)
        if worker is not None and worker.uncertain is not None:
            self.loaded[worker_id] = dataclasses.replace(
                worker, uncertain=worker.uncertain.by_listed(born_ms))

    def note_leases_expired(self, worker_id: str) -> bool:
        """Note that a worker may run its uncertain starts alone.

        Return whether it might run others before.
        """
        worker = self.loaded[worker_id]
        uncertain = worker.uncertain.tasks if worker.uncertain else None
        if worker.tasks == uncertain:
            return False
        self.loaded[worker_id] = dataclasses.replace(worker, tasks=uncertain)
        return True

    def is_recorded(self, worker_id: str) -> bool:
        """Return whether the stored record may name a worker."""
        return any(worker_id in ids for ids in self.possible_ids)

    def wait_until(self, worker_id: str, loaded_at: float,
                   latest: float) -> float:
        """Return when leases have expired that earlier owners granted."""
        worker = self.loaded.get(worker_id)
        return latest if worker is None else min(
            latest, loaded_at + worker.remaining_s)

    def unproven_tasks(self, awaited: typing.Iterable[str]
                       ) -> frozenset[messages.TaskId] | None:
        """Return the tasks that awaited workers may run; None means any."""
        tasks: set[messages.TaskId] = set()
        for worker_id in awaited:
            worker = self.loaded.get(worker_id)
            if worker is None or worker.tasks is None:
                return None
            tasks |= worker.tasks
        return frozenset(tasks)

    def data_when_due(self, fleet: "state_mod.FleetState",
                      now: float) -> bytes | None:
        """Return the record if it is to be written, otherwise None.

        Its workers get no leases from now on.
        """
        silent = self._find(fleet, now)
        named: dict[str, object] = {
            worker_id: (worker.tasks, worker.uncertain.tasks
                        if worker.uncertain else None)
            for worker_id, worker in silent.items()}
        is_fresh = (not self.term_ends
                    and now - self.written_at < UPDATE_PERIOD_S)
        if named == self.written and (not named or is_fresh):
            return None
        self.written, self.written_at = named, now
        self.possible_ids.append(frozenset(silent))
        if self.claim_sent_at is None:
            return encode(silent)
        return encode(silent, fleet.fence, now - self.claim_sent_at)

    def note_stored(self, value: bytes) -> None:
        """Note that a value is stored and that no other one may be."""
        self.possible_ids = [frozenset(decode(value))]

    def rewrite(self) -> None:
        """Write the record again: another value than the last is stored."""
        self.written = None

    def _find(self, fleet: "state_mod.FleetState",
              now: float) -> dict[str, SilentWorker]:
        """Return the silent workers, with bounds of their leases."""
        silent: dict[str, SilentWorker] = {}
        recorded_tasks = 0
        for worker_id in fleet.awaited_workers:
            if (self._is_due(worker_id, now - fleet.awaited_since)
                    or self._has_final_wait(fleet, worker_id)):
                silent[worker_id] = self.awaited_worker(
                    fleet, worker_id, now)
        for worker_id, worker in fleet.workers.items():
            if (worker_id in silent or not worker.has_reported
                    or not self._is_silent(worker, now)):
                continue
            found = describe(
                worker, fleet.hold_max_ms, worker.possible_tasks(), now)
            if found is None:
                continue
            recorded_tasks += found.task_count()
            silent[worker_id] = (
                found if recorded_tasks <= MAX_RECORDED_TASKS
                else found.without_tasks())
        return silent

    def awaited_worker(self, fleet: "state_mod.FleetState", worker_id: str,
                       now: float) -> SilentWorker:
        """Return how long an awaited worker may run which tasks."""
        remaining_s = max(0.0, fleet.awaited_until(worker_id) - now)
        worker = fleet.workers.get(worker_id)
        if worker is not None:
            self.note_listed(worker_id, worker.entry.born_ms)
        known = self.loaded.get(worker_id)
        if known is None:
            return SilentWorker(remaining_s, None, starts_known=False)
        return dataclasses.replace(
            known.after(now - fleet.awaited_since), remaining_s=remaining_s)

    @staticmethod
    def _has_final_wait(fleet: "state_mod.FleetState",
                        worker_id: str) -> bool:
        """Return whether no further report shortens the wait for a worker.

        It has not answered, and most others have reported.  If this owner
        ends now, its successor knows of that from the record alone.
        """
        worker = fleet.workers.get(worker_id)
        return (fleet.most_have_reported and worker is not None
                and worker.unresponsive)

    def _is_silent(self, worker: workerstate.WorkerState, now: float) -> bool:
        """Return whether a worker is to be recorded.

        At a planned end of the term, so are those that drain: they may leave
        before the next owner calls them.
        """
        if self.term_ends and worker.entry.draining:
            return True
        return worker.unresponsive and self._is_due(
            worker.entry.worker_id, now - worker.unresponsive_since)

    def _is_due(self, worker_id: str, silent_s: float) -> bool:
        return (silent_s >= MIN_SILENCE_S or self.term_ends
                or self.is_recorded(worker_id))
