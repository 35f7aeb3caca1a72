"""Record non-idempotent requests in the key-value service before dispatch.

A request that must not run twice (a certificate issue, a cover order)
carries an idempotency key.  The entry process writes /idem/<key> with
compare-and-swap from "absent" before it sends the request on, and writes
the answer there afterwards.  A retry, also one that the balancer sends to
another entry VM, finds the record and gets the stored answer, or is told
the request is in progress; it never runs the request again.
"""

import dataclasses
import enum
import queue
import threading
import time
import typing

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
    """How a recorded request may go on."""

    NEW = "fresh"
    REPLAY = "replay"


@dataclasses.dataclass(frozen=True)
class RecordedRequest:
    """The outcome of recording a request: go on, or replay an answer."""

    kind: RecordKind
    answer: dict[str, object] | None = None
    revision: int = 0
    request_id: str = ""


@dataclasses.dataclass(frozen=True)
class PendingWrite:
    """What became of a recorded request, still to be written."""

    key: str
    value: bytes
    revision: int
    delete: bool = False


class IdempotencyStore:
    """Record and look up requests by idempotency key."""

    def __init__(self, kv: kvclient.Client, entry: str,
                 lease: typing.Callable[[], int] = lambda: 0,
                 retention_s: float = 0.0) -> None:
        self.kv = kv
        self.retention = retention.RetentionLease(kv, retention_s)
        self.entry = entry
        self.lease = lease
        self.lock = threading.Lock()
        self.active_request_ids: set[str] = set()
        self.pending_writes: queue.Queue[PendingWrite] = queue.Queue()
        self.writer_thread: threading.Thread | None = None

    def record_start(self, key: str, request_id: str
                     ) -> result.Result[RecordedRequest, errors.Problem]:
        """Record key as started by request_id before dispatch."""
        record = {"state": STARTED, "request_id": request_id,
                  "entry": self.entry, "lease": self.lease()}
        swap = self._compare_and_swap(key, 0, kvclient.encode(record))
        if isinstance(swap, result.Success):
            outcome = swap.unwrap()
            if outcome.succeeded:
                return result.Success(self._new_record(outcome.revision,
                                                       request_id))
            return self._resolve_existing(outcome.current, request_id)
        failure = swap.failure()
        if not failure.maybe_applied:
            return result.Failure(errors.problem(
                errors.NOT_RUN, retry_after=RETRY_AFTER_S,
                detail=failure.detail))
        # The reply was lost, but the write may have taken effect.  Read the
        # record back: if it is ours we go on, if it is absent the request
        # was not run and the caller may send it again.
        got = self.kv.get(KEY_PREFIX + key)
        if not isinstance(got, result.Success) or got.unwrap() is None:
            return result.Failure(errors.problem(
                errors.NOT_RUN, retry_after=RETRY_AFTER_S,
                detail=failure.detail))
        return self._resolve_existing(got.unwrap(), request_id)

    def _compare_and_swap(self, key: str, revision: int, value: bytes,
                          delete: bool = False
                          ) -> kvclient.Outcome[kvclient.Swap]:
        """Write a record that is kept for as long as retries may come."""
        lease = self.retention.lease()
        if not isinstance(lease, result.Success):
            # A lease that may have been granted holds no record yet.
            return result.Failure(kvclient.KvError(
                NOT_WRITTEN, lease.failure().detail))
        swap = self.kv.cas(KEY_PREFIX + key, revision, value,
                           lease=lease.unwrap(), delete=delete)
        if not isinstance(swap, result.Success):
            self.retention.handle_write_error(swap.failure())
        return swap

    def _resolve_existing(self, item: object, request_id: str
                          ) -> result.Result[RecordedRequest, errors.Problem]:
        record = kvclient.decode(getattr(item, "value", b"")) or {}
        if record.get("state") == DONE:
            return result.Success(RecordedRequest(RecordKind.REPLAY,
                                                  record.get("answer")))
        if (record.get("request_id") == request_id
                and record.get("entry") == self.entry
                and record.get("lease") == self.lease()):
            # Our own write of a moment ago, its reply lost.
            return result.Success(self._new_record(
                getattr(item, "mod_revision", 0), request_id))
        if record.get("state") == STARTED and self._recorder_alive(record):
            return result.Failure(errors.problem(errors.IN_PROGRESS,
                                                 retry_after=RETRY_AFTER_S))
        return result.Failure(errors.problem(errors.OUTCOME_UNKNOWN,
                                             retry_after=RETRY_AFTER_S))

    def _new_record(self, revision: int, request_id: str) -> RecordedRequest:
        with self.lock:
            self.active_request_ids.add(request_id)
        return RecordedRequest(RecordKind.NEW, revision=revision,
                               request_id=request_id)

    def _recorder_alive(self, record: dict[str, object]) -> bool:
        if record.get("entry") == self.entry:
            with self.lock:
                return record.get("request_id") in self.active_request_ids
        recorder = membership.member_id(str(record.get("entry")),
                                        int(str(record.get("lease"))))
        got = self.kv.get(membership.MEMBERS_PREFIX + recorder)
        # A store that does not answer says nothing of the recorder: come
        # back, the request may still be in hand.
        return got.map(lambda item: item is not None).value_or(True)

    def record_not_dispatched(self, key: str,
                              recorded: RecordedRequest) -> None:
        """Remove our record of a request that was not dispatched.

        Without this, a caller told "not run" who retries with the same
        key would be told that the request may have run.
        """
        self._write_or_queue(recorded, PendingWrite(
            key, b"", recorded.revision, delete=True))

    def record_unknown_outcome(self, key: str,
                               recorded: RecordedRequest) -> None:
        """Record that a dispatched request's outcome is not known."""
        self._write_or_queue(recorded, PendingWrite(
            key, kvclient.encode({"state": UNKNOWN}), recorded.revision))

    def record_answer(self, key: str, recorded: RecordedRequest,
                      answer: dict[str, object]) -> None:
        """Record the answer under key, for retries to be given."""
        self._write_or_queue(recorded, PendingWrite(key, kvclient.encode(
            {"state": DONE, "answer": answer}), recorded.revision))

    def _write_or_queue(self, recorded: RecordedRequest,
                        write: PendingWrite) -> None:
        # The caller is waiting, so one try is made here and only while
        # nothing is left over from earlier: a store that is down would
        # hold every answer back by a timeout.  What cannot be written now
        # is written in the background when the store is back; without it
        # a retry would find the request "in progress" for ever.
        if self.pending_writes.unfinished_tasks or not self._write(write):
            self.pending_writes.put(write)
            with self.lock:
                if self.writer_thread is None:
                    self.writer_thread = threading.Thread(
                        target=self._write_pending, daemon=True,
                        name="ledger")
                    self.writer_thread.start()
        with self.lock:
            self.active_request_ids.discard(recorded.request_id)

    def _write(self, write: PendingWrite) -> bool:
        """Write once; return whether nothing is left to do."""
        # A swap that loses has been overtaken by an outcome already there
        # (ours, its reply lost); either way nothing is left to write.
        return isinstance(self._compare_and_swap(
            write.key, write.revision, write.value,
            delete=write.delete), result.Success)

    def _write_pending(self) -> None:
        while True:
            write = self.pending_writes.get()
            while not self._write(write):
                time.sleep(WRITE_RETRY_S)
            self.pending_writes.task_done()
