"""Record non-idempotent requests in the key-value service before dispatch.

A request that must not run twice (a certificate issue, a cover order) has
an idempotency key.  The entry process creates /idem/<key> by
compare-and-swap before it dispatches the request and writes the answer
there afterwards.  A retry finds the record, even if the load balancer sends
it to another entry VM, and gets the stored answer or an error, such as "in
progress".  It never runs the request again.
"""

import dataclasses
import enum
import queue
import threading
import time
import typing
import uuid

from returns import result

from sycamorefield import errors
from sycamorefield import kvclient
from sycamorefield import membership
from sycamorefield import retention

KEY_PREFIX = "/idem/"
RETRY_AFTER_S = 1.0
WRITE_RETRY_S = 0.2
STARTED = "started"
DONE = "done"
UNKNOWN = "unknown"
NOT_WRITTEN = "NOT_WRITTEN"


class RecordKind(enum.Enum):
    """Whether to dispatch a recorded request or replay its answer."""

    NEW = "fresh"
    REPLAY = "replay"


@dataclasses.dataclass(frozen=True)
class RecordedRequest:
    """A request in the store: new, or answered and to be replayed.

    attempt names the try that recorded a new one.
    """

    kind: RecordKind
    answer: dict[str, object] | None = None
    revision: int = 0
    attempt: str = ""


@dataclasses.dataclass(frozen=True)
class PendingWrite:
    """A write to the record of a request that is not stored yet.

    If attempt is given, the revision is unknown, and the write applies only
    to a record of this try.
    """

    key: str
    value: bytes
    revision: int
    delete: bool = False
    attempt: str = ""


class IdempotencyStore:
    """Store and look up requests by idempotency key."""

    def __init__(self, kv: kvclient.Client, entry: str,
                 lease: typing.Callable[[], int] = lambda: 0,
                 retention_s: float = 0.0) -> None:
        self.kv = kv
        self.retention = retention.RetentionLease(kv, retention_s)
        self.entry = entry
        self.lease = lease
        self.lock = threading.Lock()
        self.active_attempts: set[str] = set()
        self.pending_writes: queue.Queue[PendingWrite] = queue.Queue()
        self.writer_thread: threading.Thread | None = None

    def record_start(self, key: str, request_id: str
                     ) -> result.Result[RecordedRequest, errors.Problem]:
        """Record the request as started, or return the existing record.

        Fails if the store cannot be reached, if the request is in progress
        or if the outcome of an earlier try is unknown.
        """
        # A caller may send a request again under its own id while the first
        # try runs, so that only an id of the try tells whose record it is.
        attempt = uuid.uuid4().hex
        record = {"state": STARTED, "request_id": request_id,
                  "attempt": attempt, "entry": self.entry,
                  "lease": self.lease()}
        swap = self._compare_and_swap(key, 0, kvclient.encode(record))
        if isinstance(swap, result.Success):
            outcome = swap.unwrap()
            if outcome.succeeded:
                return result.Success(self._new_record(outcome.revision,
                                                       attempt))
            return self._resolve_existing(outcome.current, attempt)
        failure = swap.failure()
        if not failure.maybe_applied:
            return result.Failure(errors.problem(
                errors.NOT_RUN, retry_after=RETRY_AFTER_S,
                detail=failure.detail))
        # The reply was lost, but the write may have been applied.  Read the
        # record back: if it is this request's, continue; if it is absent,
        # the request was not run and the caller may send it again.
        reply = self.kv.get(KEY_PREFIX + key)
        if not isinstance(reply, result.Success):
            self._delete_later(key, attempt)
        if not isinstance(reply, result.Success) or reply.unwrap() is None:
            return result.Failure(errors.problem(
                errors.NOT_RUN, retry_after=RETRY_AFTER_S,
                detail=failure.detail))
        return self._resolve_existing(reply.unwrap(), attempt)

    def _compare_and_swap(self, key: str, revision: int, value: bytes,
                          delete: bool = False
                          ) -> kvclient.Outcome[kvclient.CasResult]:
        """Write or delete a record, which is kept for the retention period."""
        lease = self.retention.lease()
        if not isinstance(lease, result.Success):
            # Even if the lease was granted, no record is bound to it yet,
            # so the write was certainly not applied.
            return result.Failure(kvclient.KvError(
                NOT_WRITTEN, lease.failure().detail))
        swap = self.kv.cas(KEY_PREFIX + key, revision, value,
                           lease=lease.unwrap(), delete=delete)
        if not isinstance(swap, result.Success):
            self.retention.handle_write_error(swap.failure())
        return swap

    def _resolve_existing(self, item: object, attempt: str
                          ) -> result.Result[RecordedRequest, errors.Problem]:
        record = kvclient.decode(getattr(item, "value", b"")) or {}
        if record.get("state") == DONE:
            return result.Success(RecordedRequest(RecordKind.REPLAY,
                                                  record.get("answer")))
        if record.get("attempt") == attempt:
            # This try's own write, whose reply was lost.
            return result.Success(self._new_record(
                getattr(item, "mod_revision", 0), attempt))
        if record.get("state") == STARTED and (
                self._recorder_alive(record) or self._has_changed(item)):
            return result.Failure(errors.problem(errors.IN_PROGRESS,
                                                 retry_after=RETRY_AFTER_S))
        return result.Failure(errors.problem(errors.OUTCOME_UNKNOWN,
                                             retry_after=RETRY_AFTER_S))

    def _has_changed(self, item: object) -> bool:
        """Return whether a record was changed or removed since it was read.

        The try that made it may have ended between the read and the look-up
        of whether it still runs.
        """
        revision = getattr(item, "mod_revision", 0)
        return self.kv.get(getattr(item, "key", "")).map(
            lambda latest: latest is None or latest.mod_revision != revision
        ).value_or(False)

    def _new_record(self, revision: int, attempt: str) -> RecordedRequest:
        with self.lock:
            self.active_attempts.add(attempt)
        return RecordedRequest(RecordKind.NEW, revision=revision,
                               attempt=attempt)

    def _recorder_alive(self, record: dict[str, object]) -> bool:
        with self.lock:
            if record.get("attempt") in self.active_attempts:
                return True
        if (record.get("entry") == self.entry
                and record.get("lease") == self.lease()):
            return False
        # Another process, of another name or of this one: a process and its
        # replacement may run at the same time.
        recorder = membership.member_id(str(record.get("entry")),
                                        int(str(record.get("lease"))))
        reply = self.kv.get(membership.MEMBERS_PREFIX + recorder)
        # If the store does not answer, assume that the recording process is
        # alive, because the request may still be in progress.  The caller is
        # told to retry.
        return reply.map(lambda item: item is not None).value_or(True)

    def delete_record(self, key: str, recorded: RecordedRequest) -> None:
        """Delete the record of a request that no backend ran.

        Otherwise a caller who was told "not run" and retries with the same
        key would be told that the request may have run.
        """
        self._write_or_queue(recorded, PendingWrite(
            key, b"", recorded.revision, delete=True))

    def _delete_later(self, key: str, attempt: str) -> None:
        """Delete the record of a try, if there is one, in the background.

        Until then the try counts as active: retries are told to come again.
        """
        with self.lock:
            self.active_attempts.add(attempt)
        self._queue(PendingWrite(key, b"", 0, delete=True, attempt=attempt))

    def record_unknown_outcome(self, key: str,
                               recorded: RecordedRequest) -> None:
        """Record that the outcome of a dispatched request is unknown."""
        self._write_or_queue(recorded, PendingWrite(
            key, kvclient.encode({"state": UNKNOWN}), recorded.revision))

    def record_answer(self, key: str, recorded: RecordedRequest,
                      answer: dict[str, object]) -> None:
        """Record the answer, which retries with this key will get."""
        self._write_or_queue(recorded, PendingWrite(key, kvclient.encode(
            {"state": DONE, "answer": answer}), recorded.revision))

    def _write_or_queue(self, recorded: RecordedRequest,
                        write: PendingWrite) -> None:
        # The caller is waiting, so the write is attempted once here, and
        # only if no earlier write is pending: while the store is down, each
        # attempt would delay an answer by a timeout.  Pending writes are
        # retried in the background until the store is back; without them a
        # retry of the request would get "in progress" forever.
        if self.pending_writes.unfinished_tasks or not self._write(write):
            self._queue(write)
        with self.lock:
            self.active_attempts.discard(recorded.attempt)

    def _queue(self, write: PendingWrite) -> None:
        """Write in the background, and retry until it is settled."""
        self.pending_writes.put(write)
        with self.lock:
            if self.writer_thread is None:
                self.writer_thread = threading.Thread(
                    target=self._write_pending, daemon=True, name="ledger")
                self.writer_thread.start()

    def _write(self, write: PendingWrite) -> bool:
        """Try to write once; return whether the write is settled."""
        if write.attempt:
            reply = self.kv.get(KEY_PREFIX + write.key)
            if not isinstance(reply, result.Success):
                return False
            item = reply.unwrap()
            if (item is None or kvclient.decode(item.value).get("attempt")
                    != write.attempt):
                return True
            write = dataclasses.replace(write, revision=item.mod_revision)
        # A compare-and-swap that fails on the revision finds an outcome
        # stored already (this write's own, if its reply was lost), so
        # nothing is left to write.
        return isinstance(self._compare_and_swap(
            write.key, write.revision, write.value,
            delete=write.delete), result.Success)

    def _write_pending(self) -> None:
        while True:
            write = self.pending_writes.get()
            while not self._write(write):
                time.sleep(WRITE_RETRY_S)
            with self.lock:
                self.active_attempts.discard(write.attempt)
            self.pending_writes.task_done()
