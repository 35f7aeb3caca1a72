"""Accept and cancel jobs and return their status, using the store alone.

No owner is needed: a job is accepted once its record is stored.
"""

import collections
import dataclasses
import threading
import typing

from sycamorefield import events
from sycamorefield.fleet import admission as admission_mod
from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import jobcreation
from sycamorefield.fleet import messages
from sycamorefield.fleet import ownerchanges
from sycamorefield.fleet import progress
from sycamorefield.fleet import records
from sycamorefield.fleet import waitingcounts

# A write that the store refuses (nothing is stored) is attempted this many
# times before the caller is told to retry later: a single 429 is over in
# milliseconds.
MAX_REFUSED_TRIES = 3
# After this many writes without an answer the caller is told so.  It may retry
# through another VM that reaches the store.
MAX_UNANSWERED_TRIES = 2
RETRY_PAUSE_S = 0.06
# Part of the caller's deadline reserved for delivering the answer.
ANSWER_MARGIN_S = 0.15
DEFAULT_DEADLINE_S = 3.0
# Callers give up about 3 s after their first request, so this leaves time for
# two more attempts through other VMs.
RETRY_AFTER_S = 1
# Bounds the memory for revisions of jobs and for uncertain keys.
MAX_REMEMBERED_NAMES = 20_000


Value = typing.TypeVar("Value")


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The job or its cancellation is stored."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Nothing was stored; the caller may retry after retry_after_s."""

    reason: str
    retry_after_s: int = RETRY_AFTER_S


@dataclasses.dataclass(frozen=True, slots=True)
class Cancelled(Refused):
    """The job was cancelled, so a further attempt would be refused too."""

    reason: str = "the job was cancelled"
    retry_after_s: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Unstorable:
    """The store does not accept the record of the job: it never runs."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Uncertain:
    """The outcome is unknown; the same request may be repeated."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownJob:
    """There is no such job."""


@dataclasses.dataclass(frozen=True, slots=True)
class JobStatus:
    """The state of a job, and the reason if it failed."""

    state: str
    reason: str = ""


Outcome = (Accepted | Refused | Unstorable | Uncertain | UnknownJob
           | admission_mod.Rejected)
# Receives the revision of a transaction.
OnStored = typing.Callable[[int], None]
# Returns the outcome of a conflict.
OnConflict = typing.Callable[[interfaces.Conflict], Outcome]


class JobRequestHandler:
    """Handle callers' requests to submit, cancel and query jobs."""

    def __init__(self, store: interfaces.Store,
                 store_unresponsive: typing.Callable[[], bool],
                 owner_claim: waitingcounts.OwnerClaim,
                 reject_hopeless_jobs: bool = False,
                 owner_changes: ownerchanges.OwnerChanges | None = None
                 ) -> None:
        self.store = store
        # Rejects jobs that cannot end in time, if enabled.
        self.admission = (
            admission_mod.Admission(self._read, owner_claim)
            if reject_hopeless_jobs else None)
        self.in_progress = admission_mod.JobsInProgress()
        self.waiting_counts = waitingcounts.WaitingCounts(
            store, self._read, owner_claim,
            owner_changes or ownerchanges.OwnerChanges())
        # Returns whether the store has been unresponsive for some time.
        self.store_unresponsive = store_unresponsive
        # Set by a write without an answer, cleared by an answered call.
        self.last_call_unanswered = False
        self.lock = threading.Lock()
        # Keys with an unanswered write, which may still take effect.
        self.uncertain_keys: collections.OrderedDict[str, None] = (
            collections.OrderedDict())
        # The revisions of jobs that were stored, so that a cancellation needs
        # no read.
        self.job_revisions: collections.OrderedDict[str, int] = (
            collections.OrderedDict())

    def submit(self, job: messages.Job, deadline: float,
               queue: messages.Queue | None = None) -> Outcome:
        """Store a job; repeating the call creates no second job.

        deadline is on clock.now().  Without its queue no job is rejected
        because of load.
        """
        if self.admission is None or queue is None:
            return self._store_job(job, deadline)
        with self.in_progress.entered(job.job_id):
            rejection = self._find_rejection(self.admission, job, queue)
            if rejection is None:
                return self._store_job(job, deadline)
            self.admission.note_rejected(job, rejection)
            return rejection

    def _find_rejection(self, admission: admission_mod.Admission,
                        job: messages.Job, queue: messages.Queue
                        ) -> admission_mod.Rejected | None:
        """Return a rejection because of load, or None.

        A rejected job must never run, so there is none if the job is stored
        or if an earlier write of it may still take effect.
        """
        try:
            if self._may_be_stored(job.job_id):
                return None
            rejection = admission.find_rejection(job, queue)
            if rejection is None or self._job_exists(job.job_id):
                return None
        except interfaces.CallFailed:
            return None
        except Exception as exc:
            # An error in the estimate must not cost the caller its job.
            events.emit(events.THREAD_FAILED, job=job.job_id,
                        reason=repr(exc), where=events.error_location(exc))
            return None
        # Another request for the job may have been made during the read.
        if (not self.in_progress.is_only_one(job.job_id)
                or self._may_be_stored(job.job_id)):
            return None
        return rejection

    def _may_be_stored(self, job_id: str) -> bool:
        """Return whether this process has written a job, or may have."""
        with self.lock:
            known = job_id in self.job_revisions
        return known or records.job_key(job_id) in self.uncertain_keys

    def _store_job(self, job: messages.Job, deadline: float) -> Outcome:
        """Store a job unless it is stored, has ended or was cancelled."""
        outcome = self._read_and_commit(
            jobcreation.transaction(job), deadline,
            lambda revision: self._remember_job(job.job_id, revision),
            lambda conflict: self._resolve_creation(job.job_id, conflict))
        event_types = {Accepted: events.JOB_STORED,
                       Refused: events.JOB_REFUSED,
                       Cancelled: events.JOB_REFUSED,
                       Unstorable: events.JOB_REFUSED}
        events.emit(event_types.get(type(outcome), events.JOB_UNCERTAIN),
                    job=job.job_id, queue=job.queue,
                    reason=getattr(outcome, "reason", ""))
        return outcome

    def _resolve_creation(self, job_id: str,
                          conflict: interfaces.Conflict) -> Outcome:
        """Return the outcome for a job that is stored, ended or cancelled.

        A request that was sent before the cancellation cannot be told from
        one that was sent after it, so a cancelled job is never stored.
        """
        item = conflict.item_for(records.job_key(job_id))
        if item is not None:
            self._remember_job(job_id, item.revision)
            return Accepted()
        if jobcreation.has_ended(
                conflict.item_for(records.final_key(job_id))):
            return Accepted()
        return Cancelled()

    def cancel(self, job_id: str, deadline: float) -> Outcome:
        """Store the cancellation of a job; deadline is on clock.now()."""
        outcome = self._store_cancellation(job_id, deadline)
        if isinstance(outcome, UnknownJob):
            return outcome
        if isinstance(outcome, Accepted):
            events.emit(events.CANCEL_STORED, job=job_id)
        else:
            events.emit(events.STORE_UNREACHABLE, job=job_id, reason=(
                f"cancellation: {getattr(outcome, 'reason', '')}"))
        return outcome

    def _store_cancellation(self, job_id: str, deadline: float) -> Outcome:
        """Store a cancellation; one of a job that has ended stores nothing.

        The record of the job is a condition, as nothing would remove the
        cancellation once the job has ended.
        """
        try:
            revision = self._find_revision(job_id)
            if not revision:
                final = self._read(records.final_key(job_id))
                return (Accepted() if jobcreation.has_ended(final) else
                        self._prevent_creation(job_id, final, deadline))
        except interfaces.CallFailed as exc:
            return Refused(str(exc))
        key = records.cancel_key(job_id)
        return self._read_and_commit(messages.Transaction(
            (messages.Expect(key, 0),
             messages.Expect(records.job_key(job_id), revision)),
            (messages.Put(key, b"1"),)), deadline, lambda _: None,
            lambda conflict: self._accept_cancelled(job_id, conflict))

    def _prevent_creation(self, job_id: str, final: messages.Item | None,
                          deadline: float) -> Outcome:
        """Answer that there is no such job, after making sure of it.

        A write of the job without an answer may be executed seconds later,
        and a request for the job may be handled as late.  An earlier
        NEVER_STORED is written again, so that it is kept for longer.
        """
        key = records.final_key(job_id)
        outcome = self._commit(messages.Transaction(
            (messages.Expect(key, final.revision if final else 0),
             messages.Expect(records.job_key(job_id), 0)),
            (messages.Put(key, records.NEVER_STORED),)), deadline,
            lambda _: None,
            lambda conflict: _resolve_prevention(
                conflict.item_for(key)))
        return UnknownJob() if isinstance(outcome, Accepted) else outcome

    def _accept_cancelled(self, job_id: str,
                          conflict: interfaces.Conflict) -> Outcome:
        """Return the outcome for a job that is cancelled or has ended."""
        item = conflict.item_for(records.job_key(job_id))
        if (item is None
                or conflict.item_for(records.cancel_key(job_id)) is not None):
            return Accepted()
        self._remember_job(job_id, item.revision)
        return Refused("the job was stored again")

    def _read_and_commit(self, transaction: messages.Transaction,
                         deadline: float, on_stored: OnStored,
                         on_conflict: OnConflict) -> Outcome:
        """Commit a transaction that creates the key of its first condition.

        The key is read before, unless the last call was answered.
        """
        key = transaction.expects[0].key
        if self.last_call_unanswered or self.store_unresponsive():
            outcome = self._read_before_write(key)
            if outcome is not None:
                return outcome
        return self._commit(transaction, deadline, on_stored, on_conflict)

    def _commit(self, transaction: messages.Transaction, deadline: float,
                on_stored: OnStored, on_conflict: OnConflict) -> Outcome:
        """Commit a transaction, with some attempts.

        A write without an answer may still take effect, so after one a
        refusal of a later attempt must not be returned as "not stored".
        """
        uncertain = False
        reason = "no time left"
        tries = 0
        unanswered = 0
        while clock.now() < deadline - ANSWER_MARGIN_S:
            tries += 1
            try:
                on_stored(self.store.commit(transaction))
                self.last_call_unanswered = False
                return Accepted()
            except interfaces.Conflict as exc:
                return on_conflict(exc)
            except interfaces.CallInvalid as exc:
                return Unstorable(str(exc))
            except interfaces.CallRefused as exc:
                reason = str(exc)
                if tries >= MAX_REFUSED_TRIES:
                    break
            except interfaces.CallFailed as exc:
                uncertain = self.last_call_unanswered = True
                _add_bounded(
                    self.uncertain_keys, transaction.expects[0].key, None)
                unanswered += 1
                reason = str(exc)
                if unanswered >= MAX_UNANSWERED_TRIES:
                    break
            threading.Event().wait(RETRY_PAUSE_S)
        return Uncertain(reason) if uncertain else Refused(reason)

    def _read_before_write(self, key: str) -> Outcome | None:
        """Read a key before writing it; return the outcome if it is decided.

        A write without an answer may take effect later, so its caller cannot
        be told that nothing was stored.  A read without an answer has no
        effect, so a refusal after it is correct.  In an outage of 5 s, 169
        requests had an unknown outcome without this read, and 16 with it.
        """
        try:
            item = self._read(key)
        except interfaces.CallFailed as exc:
            if key in self.uncertain_keys:
                return Uncertain(f"store: {exc}")
            return Refused(f"store: {exc}")
        self.last_call_unanswered = False
        return None if item is None else Accepted()

    def job_status(self, job_id: str) -> JobStatus | None:
        """Return a job's status, or None if unknown; raises CallFailed.

        The transaction that stores the final state removes the record of the
        job, so it is found by one of the reads in this order.  The state of a
        job that has not ended is not stored.
        """
        if self._read(records.job_key(job_id)) is not None:
            return JobStatus(messages.PENDING)
        item = self._read(records.final_key(job_id))
        if item is None or not jobcreation.has_ended(item):
            return None
        return JobStatus(progress.decode_state(item.value),
                         progress.decode_failure_reason(item.value))

    def waiting_count(self, queue: str) -> int:
        """Return the number of waiting jobs in a queue; raises CallFailed."""
        return self.waiting_counts.count(queue)

    def _read(self, key: str) -> messages.Item | None:
        """Read a key, or fail at once while the store is unresponsive.

        Waiting for the timeout would delay the caller by a second, although
        it can retry later or through another VM.
        """
        if self.store_unresponsive():
            raise interfaces.CallRefused("store does not answer")
        return self.store.get(key)

    def _job_exists(self, job_id: str) -> bool:
        """Return whether a job is stored or has ended."""
        return bool(self._find_revision(job_id)) or jobcreation.has_ended(
            self._read(records.final_key(job_id)))

    def _find_revision(self, job_id: str) -> int:
        """Return the revision of a job's record, 0 if it is not stored.

        The record may have been removed since, at the end of the job.
        """
        with self.lock:
            revision = self.job_revisions.get(job_id, 0)
        if revision:
            return revision
        item = self._read(records.job_key(job_id))
        if item is None:
            return 0
        self._remember_job(job_id, item.revision)
        return item.revision

    def _remember_job(self, job_id: str, revision: int) -> None:
        with self.lock:
            _add_bounded(self.job_revisions, job_id, revision)


def _resolve_prevention(final: messages.Item | None) -> Outcome:
    """Return the outcome of a write of NEVER_STORED that had a conflict."""
    if final is not None and not jobcreation.has_ended(final):
        # An earlier attempt or another cancellation was applied.
        return Accepted()
    return Refused("the job was changed meanwhile")


def _add_bounded(names: collections.OrderedDict[str, Value], name: str,
                 value: Value) -> None:
    """Add a name; drop the oldest beyond MAX_REMEMBERED_NAMES."""
    names[name] = value
    while len(names) > MAX_REMEMBERED_NAMES:
        names.popitem(last=False)
