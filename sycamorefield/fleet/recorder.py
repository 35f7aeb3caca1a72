"""Batched writes of task outcomes to the store, fenced by the owner's key."""

import enum
import threading
import time
import typing

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import jobwrites
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import recordedends
from sycamorefield.fleet import records
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import usage
from sycamorefield import metrics

# The most values in a transaction: one condition for the fence, and at least
# a condition and a put for each value.
VALUES_PER_COMMIT = (jobwrites.MAX_ENTRIES - 1) // 2
# Outcomes that end no job wait this long to share a commit with others.
BATCH_DELAY_S = 0.04
RETRY_DELAY_S = 0.1
# A flush includes at most this many jobs of which only waiting tasks changed,
# so that outcomes don't wait for thousands of them.
MAX_DEFERRED_WRITES = VALUES_PER_COMMIT
# Minimum time between two writes of the numbers of waiting jobs.
WAITING_JOBS_PERIOD_S = 1.0
# How often the learned interference weights of images are written.  They take
# about 1 KB; a new owner without them would harm the latency of serving tasks
# for about ten seconds.
WEIGHTS_PERIOD_S = 2.0
# Minimum time between two writes of the backlog.
BACKLOG_PERIOD_S = 1.0


class Outcome(enum.Enum):
    """Outcome of a commit."""

    STORED = "stored"
    RETRY = "again"
    OWNERSHIP_LOST = "deposed"


class Recorder:
    """Writes changed state; reports which ends of runs are stored.

    may_act returns whether the owner may still act; on_ownership_lost
    receives the reason for which it may not; on_ends_stored receives the
    highest stored end number of each worker.
    """

    def __init__(self, store: interfaces.Store,
                 fleet: state_mod.FleetState, owner_key: str,
                 may_act: typing.Callable[[], bool],
                 on_ownership_lost: typing.Callable[[str], None],
                 on_ends_stored: typing.Callable[
                     [dict[str, recordedends.LifeEnds]], None]) -> None:
        self.store = store
        self.fleet = fleet
        self.owner_key = owner_key
        self.may_act = may_act
        self.on_ownership_lost = on_ownership_lost
        self.on_ends_stored = on_ends_stored
        # The revision of each key that is not of a job, as last seen.
        self.revisions: dict[str, int] = {}
        self.stored_addresses: dict[str, str] | None = None
        # Whether the stored list of workers in use is not the one known here.
        self.rewrite_workers = False
        # The stored numbers of waiting jobs, or None if unknown: those of an
        # earlier owner must be overwritten even if no job waits any more.
        self.stored_counts: dict[str, int] | None = None
        self.counted_at = 0.0
        self.stored_weights = b"{}"
        self.weights_encoded_at = 0.0
        # Returns the encoded backlog to be stored, or None.
        self.backlog_data: typing.Callable[[], bytes | None] = lambda: None
        # The number of the last end of each worker that is certainly stored.
        self.stored_ends: dict[str, recordedends.LifeEnds] = {}
        self.taken_backlog: bytes | None = None
        self.backlog_written_at = 0.0
        self.stopped = threading.Event()
        self.flush_lock = threading.Lock()

    def run(self) -> None:
        """Write changes until stopped or until ownership is lost."""
        while not self.stopped.is_set() and self.may_act():
            with self.fleet.lock:
                commit_requested = self.fleet.commit_requested
            if not commit_requested:
                self.stopped.wait(BATCH_DELAY_S)
            if not self.flush():
                return

    def flush(self) -> bool:
        """Write all changes; return False if ownership is lost.

        Only one flush runs at a time: a concurrent one would find nothing
        left to write, and acknowledge ends that the first has not stored yet.
        """
        with self.flush_lock:
            return self._flush()

    def _flush(self) -> bool:
        with self.fleet.lock:
            self.fleet.commit_requested = False
            stored_ends = {
                w.entry.worker_id: recordedends.LifeEnds(
                    w.born_ms, w.last_processed_end)
                for w in self.fleet.workers.values() if w.last_processed_end}
            writes = self._job_writes()
            self._add_workers(writes)
            self._add_silent_workers(writes)
            self._add_terms(writes)
            self._add_waiting_counts(writes)
            self._add_weights(writes)
            self._add_backlog(writes)
        outcomes = set()
        for group in jobwrites.grouped(writes, self.store.max_value_bytes):
            if Outcome.RETRY in outcomes:
                group = self._without_silent_workers(group)
            outcomes.add(self._commit(group))
            if Outcome.OWNERSHIP_LOST in outcomes:
                return False
        if Outcome.RETRY not in outcomes:
            self.stored_ends = stored_ends
            self.on_ends_stored(stored_ends)
        return self._store_learned_state()

    def _job_writes(self) -> list[jobwrites.PendingWrite]:
        """Return changed progress; some of what can wait comes last."""
        changed: list[progress.JobState] = []
        deferred: list[progress.JobState] = []
        now = clock.now()
        # Before, tasks seem to be down that workers have not reported yet.
        knows_runs = self.fleet.unproven_tasks() is not None
        for job in self.fleet.jobs.values():
            if job.final_stored:
                continue
            if knows_runs and job.long_running and not job.final():
                job.note_downtime(now)
            if job.dirty:
                changed.append(job)
            elif (job.unstarted_added
                  and len(deferred) < MAX_DEFERRED_WRITES):
                deferred.append(job)
        return [self._job_write(job) for job in changed + deferred]

    def _job_write(self, job: progress.JobState) -> jobwrites.PendingWrite:
        job.dirty = job.unstarted_added = False
        return jobwrites.job_write(job, self.store.max_value_bytes)

    def _add_workers(self, writes: list[jobwrites.PendingWrite]) -> None:
        """Add the list of workers in use if it has changed.

        A later owner must ask each worker that may run a task, so a worker
        gets its first start only after this list with it is stored.  Jobs wait
        until all workers on the list have reported to the later owner, so it
        lacks workers that cannot have runs: those that have neither reported
        to this owner nor are awaited.
        """
        awaited_workers = self.fleet.awaited_workers
        addresses = {w.entry.worker_id: w.entry.address
                     for w in self.fleet.workers.values()
                     if (w.has_reported
                         or w.entry.worker_id in awaited_workers)}
        for worker_id in awaited_workers:
            if self.stored_addresses and worker_id in self.stored_addresses:
                addresses.setdefault(
                    worker_id, self.stored_addresses[worker_id])
        if addresses != self.stored_addresses or self.rewrite_workers:
            self.fleet.add_possible_list(addresses)
            writes.append(jobwrites.PendingWrite(
                records.WORKERS_KEY, records.encode_addresses(addresses),
                self.revisions.get(records.WORKERS_KEY, 0), None))

    def _add_silent_workers(
            self, writes: list[jobwrites.PendingWrite]) -> None:
        """Add the record of silent workers, behind the writes of jobs."""
        data = self.fleet.silent_workers.data_when_due(
            self.fleet, clock.now())
        if data is not None:
            writes.append(jobwrites.PendingWrite(
                records.SILENT_WORKERS_KEY, data,
                self.revisions.get(records.SILENT_WORKERS_KEY, 0), None))

    def _without_silent_workers(
            self, group: list[jobwrites.PendingWrite]
    ) -> list[jobwrites.PendingWrite]:
        """Leave the record of silent workers for the next flush.

        It lacks tasks that have ended on them, and a write with such an end
        has not been stored.
        """
        kept = [w for w in group if w.key != records.SILENT_WORKERS_KEY]
        if len(kept) < len(group):
            with self.fleet.lock:
                self.fleet.silent_workers.rewrite()
        return kept

    def _add_terms(self, writes: list[jobwrites.PendingWrite]) -> None:
        """Add the terms of owners unless they are stored."""
        terms = self.fleet.terms
        data = terms.encode()
        if data != terms.stored:
            terms.stored = data
            writes.append(jobwrites.PendingWrite(
                records.TERMS_KEY, data,
                self.revisions.get(records.TERMS_KEY, 0), None))

    def _add_waiting_counts(
            self, writes: list[jobwrites.PendingWrite]) -> None:
        now = time.monotonic()
        if (now - self.counted_at < WAITING_JOBS_PERIOD_S
                and self.stored_counts is not None):
            return
        # Counting holds the fleet's lock, and takes time for each waiting job.
        self.counted_at = now
        counts = self.fleet.count_waiting_jobs()
        if counts == self.stored_counts:
            return
        self.stored_counts = counts
        writes.append(jobwrites.PendingWrite(
            records.WAITING_JOBS_KEY, records.encode_counts(counts),
            self.revisions.get(records.WAITING_JOBS_KEY, 0), None))

    def _add_weights(self, writes: list[jobwrites.PendingWrite]) -> None:
        if time.monotonic() - self.weights_encoded_at < WEIGHTS_PERIOD_S:
            return
        self.weights_encoded_at = time.monotonic()
        data = self.fleet.interference_model.encode()
        if data != self.stored_weights:
            self.stored_weights = data
            writes.append(jobwrites.PendingWrite(
                records.WEIGHTS_KEY, data,
                self.revisions.get(records.WEIGHTS_KEY, 0), None))

    def _store_learned_state(self) -> bool:
        """Store what was learned if it is due; return False if deposed.

        It is a transaction of its own that is not repeated at once, so that
        outcomes of tasks never wait for it.  If the outcome of the write
        remains unknown, the next one fails with the revision that is stored.
        """
        learned = self.fleet.learned
        with self.fleet.lock:
            parts = learned.encode_when_due(clock.now())
        if parts is None or not self.may_act():
            return True
        previous = learned.sent
        data = learned.frame(parts, clock.wall_ms())
        key = records.LEARNED_STATE_KEY
        try:
            revision = self.store.commit(messages.Transaction(
                (messages.Expect(self.owner_key, self.fleet.fence),
                 messages.Expect(key, learned.revision)),
                (messages.Put(key, data),)))
            learned.note_stored(revision)
        except interfaces.Conflict as exc:
            owner = exc.item_for(self.owner_key)
            if owner is None or owner.revision != self.fleet.fence:
                self.on_ownership_lost("owner's key has changed")
                return False
            if not learned.note_conflict(exc.item_for(key), previous):
                events.emit(events.COMMIT_FAILED, key=key,
                            reason="stored value is not ours")
        except (interfaces.CallFailed, interfaces.LeaseEnded) as exc:
            learned.note_failed()
            events.emit(events.COMMIT_FAILED, key=key, reason=str(exc))
        return True

    def _add_backlog(self, writes: list[jobwrites.PendingWrite]) -> None:
        data = self.backlog_data()
        if (data is None or data == self.taken_backlog
                or (time.monotonic() - self.backlog_written_at
                    < BACKLOG_PERIOD_S)):
            return
        self.backlog_written_at = time.monotonic()
        self.taken_backlog = data
        writes.append(jobwrites.PendingWrite(
            records.BACKLOG_KEY, data,
            self.revisions.get(records.BACKLOG_KEY, 0), None))

    def _commit(self, writes: list[jobwrites.PendingWrite]) -> Outcome:
        """Commit, and retry until the outcome is known.

        If there is no answer, the transaction may have been applied or may
        still be.  The same transaction is then sent again: if the first was
        applied, the conditions fail and the current items have our values.
        """
        if not writes:
            return Outcome.STORED
        transaction = jobwrites.transaction(
            messages.Expect(self.owner_key, self.fleet.fence), writes)
        repeated = False
        while self.may_act():
            began = clock.now()
            try:
                revision = self.store.commit(transaction)
                metrics.CALLS.record(usage.COMMIT, clock.now() - began)
                for write in writes:
                    self._mark_stored(write, revision)
                return Outcome.STORED
            except interfaces.Conflict as exc:
                return self._resolve_conflict(writes, exc, repeated)
            except interfaces.CallInvalid as exc:
                return self._commit_singly(writes, exc)
            except (interfaces.CallFailed, interfaces.LeaseEnded) as exc:
                events.emit(events.COMMIT_FAILED, reason=str(exc),
                            values=len(writes))
                repeated |= not isinstance(exc, interfaces.CallRefused)
                if self.stopped.wait(RETRY_DELAY_S):
                    break
        return Outcome.OWNERSHIP_LOST

    def _resolve_conflict(self, writes: list[jobwrites.PendingWrite],
                          conflict: interfaces.Conflict,
                          repeated: bool) -> Outcome:
        owner = conflict.item_for(self.owner_key)
        if owner is None or owner.revision != self.fleet.fence:
            self.on_ownership_lost("owner's key has changed")
            return Outcome.OWNERSHIP_LOST
        outcome = Outcome.STORED
        for write in writes:
            item = conflict.item_for(write.key)
            revision = item.revision if item is not None else 0
            if jobwrites.is_applied(write, conflict, repeated):
                self._mark_stored(write, revision)
                continue
            events.emit(events.COMMIT_FAILED, key=write.key,
                        reason="stored value is not ours")
            outcome = Outcome.RETRY
            if write.job is not None:
                jobwrites.note_conflict(write, write.job, conflict)
                continue
            self.revisions[write.key] = revision
            self._write_again(write.key)
        return outcome

    def _commit_singly(self, writes: list[jobwrites.PendingWrite],
                       refusal: interfaces.CallInvalid) -> Outcome:
        """Commit the writes of a refused transaction each by itself.

        A write that the store does not accept must not delay others.
        """
        if len(writes) == 1:
            self._handle_invalid(writes[0], refusal)
            return Outcome.RETRY
        outcomes = set()
        for write in writes:
            group = [write]
            if Outcome.RETRY in outcomes:
                group = self._without_silent_workers(group)
            outcomes.add(self._commit(group))
            if Outcome.OWNERSHIP_LOST in outcomes:
                return Outcome.OWNERSHIP_LOST
        return Outcome.RETRY if Outcome.RETRY in outcomes else Outcome.STORED

    def _handle_invalid(self, write: jobwrites.PendingWrite,
                        refusal: interfaces.CallInvalid) -> None:
        events.emit(events.COMMIT_FAILED, key=write.key, reason=str(refusal),
                    bytes=len(write.data))
        if write.job is not None:
            jobwrites.note_invalid(write, write.job)
        else:
            self._write_again(write.key)
        self.stopped.wait(RETRY_DELAY_S)

    def _write_again(self, key: str) -> None:
        """Let a record that is not of a job be written by the next flush."""
        if key == records.WORKERS_KEY:
            # The addresses of awaited workers are known from this list.
            self.rewrite_workers = True
        elif key == records.SILENT_WORKERS_KEY:
            with self.fleet.lock:
                self.fleet.silent_workers.rewrite()
        elif key == records.WEIGHTS_KEY:
            self.stored_weights = b"{}"
        elif key == records.TERMS_KEY:
            self.fleet.terms.stored = None
        elif key == records.BACKLOG_KEY:
            self.taken_backlog = None
        else:
            self.stored_counts = None

    def _mark_stored(self, write: jobwrites.PendingWrite,
                     revision: int) -> None:
        if write.job is None:
            self.revisions[write.key] = revision
        if write.key == records.WORKERS_KEY:
            self.rewrite_workers = False
            self.stored_addresses = records.decode_mapping(write.data)
            self.fleet.enrol(self.stored_addresses)
        elif write.key == records.SILENT_WORKERS_KEY:
            with self.fleet.lock:
                self.fleet.silent_workers.note_stored(write.data)
                self.fleet.request_round()
        if write.job is not None and write.is_final():
            with self.fleet.lock:
                self.fleet.ended_jobs.note_stored(write.job, clock.now())
        elif write.job is not None:
            write.job.state_revision = revision
            self._mark_stored_for_rounds(write.job, write)

    def _mark_stored_for_rounds(self, job: progress.JobState,
                                write: jobwrites.PendingWrite) -> None:
        """Note what was stored that starts may have waited for."""
        if (write.quarantine_workers == job.stored_quarantine_workers
                and write.unstarted == job.stored_unstarted
                and write.crashes == job.stored_crashes):
            return
        with self.fleet.lock:
            job.stored_quarantine_workers = write.quarantine_workers
            job.stored_unstarted = write.unstarted
            job.stored_crashes = write.crashes
            self.fleet.request_round()
