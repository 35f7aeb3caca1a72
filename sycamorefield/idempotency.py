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

PREFIX = "/idem/"
RETRY_AFTER = 1.0
RETRY_WRITE = 0.2
STARTED = "started"
DONE = "done"
UNKNOWN = "unknown"
NOT_WRITTEN = "NOT_WRITTEN"


class Start(enum.Enum):
    """How a recorded request may go on."""

    FRESH = "fresh"
    REPLAY = "replay"


@dataclasses.dataclass(frozen=True)
class Begun:
    """The outcome of recording a request: go on, or replay an answer."""

    start: Start
    answer: dict[str, object] | None = None
    revision: int = 0
    request_id: str = ""


@dataclasses.dataclass(frozen=True)
class Settlement:
    """What became of a recorded request, still to be written."""

    key: str
    value: bytes
    revision: int
    delete: bool = False


class Ledger:
    """Record and look up requests by idempotency key."""

    def __init__(self, kv: kvclient.Client, entry: str,
                 lease: typing.Callable[[], int] = lambda: 0,
                 keep_seconds: float = 0.0) -> None:
        self.kv = kv
        self.retention = retention.Retention(kv, keep_seconds)
        self.entry = entry
        self.lease = lease
        self.lock = threading.Lock()
        self.active: set[str] = set()
        self.unwritten: queue.Queue[Settlement] = queue.Queue()
        self.writer: threading.Thread | None = None

    def begin(self, key: str, request_id: str
              ) -> result.Result[Begun, errors.Problem]:
        """Record key as started by request_id before dispatch."""
        mine = {"state": STARTED, "request_id": request_id,
                "entry": self.entry, "lease": self.lease()}
        swap = self._swap(key, 0, kvclient.encode(mine))
        if isinstance(swap, result.Success):
            outcome = swap.unwrap()
            if outcome.succeeded:
                return result.Success(self._fresh(outcome.revision,
                                                  request_id))
            return self._existing(outcome.current, request_id)
        failure = swap.failure()
        if not failure.maybe_applied:
            return result.Failure(errors.problem(
                errors.NOT_RUN, retry_after=RETRY_AFTER,
                detail=failure.detail))
        # The reply was lost, but the write may have taken effect.  Read the
        # record back: if it is ours we go on, if it is absent the request
        # was not run and the caller may send it again.
        got = self.kv.get(PREFIX + key)
        if not isinstance(got, result.Success) or got.unwrap() is None:
            return result.Failure(errors.problem(
                errors.NOT_RUN, retry_after=RETRY_AFTER,
                detail=failure.detail))
        return self._existing(got.unwrap(), request_id)

    def _swap(self, key: str, revision: int, value: bytes,
              delete: bool = False) -> kvclient.Outcome[kvclient.CasResult]:
        """Write a record that is kept for as long as retries may come."""
        lease = self.retention.lease()
        if not isinstance(lease, result.Success):
            # A lease that may have been granted holds no record yet.
            return result.Failure(kvclient.KvError(
                NOT_WRITTEN, lease.failure().detail))
        swap = self.kv.cas(PREFIX + key, revision, value,
                           lease=lease.unwrap(), delete=delete)
        if not isinstance(swap, result.Success):
            self.retention.failed(swap.failure())
        return swap

    def _existing(self, item: object, request_id: str
                  ) -> result.Result[Begun, errors.Problem]:
        record = kvclient.decode(getattr(item, "value", b"")) or {}
        if record.get("state") == DONE:
            return result.Success(Begun(Start.REPLAY, record.get("answer")))
        if (record.get("request_id") == request_id
                and record.get("entry") == self.entry
                and record.get("lease") == self.lease()):
            # Our own write of a moment ago, its reply lost.
            return result.Success(self._fresh(
                getattr(item, "mod_revision", 0), request_id))
        if record.get("state") == STARTED and self._recorder_lives(record):
            return result.Failure(errors.problem(errors.IN_PROGRESS,
                                                 retry_after=RETRY_AFTER))
        return result.Failure(errors.problem(errors.OUTCOME_UNKNOWN,
                                             retry_after=RETRY_AFTER))

    def _fresh(self, revision: int, request_id: str) -> Begun:
        with self.lock:
            self.active.add(request_id)
        return Begun(Start.FRESH, revision=revision, request_id=request_id)

    def _recorder_lives(self, record: dict[str, object]) -> bool:
        if record.get("entry") == self.entry:
            with self.lock:
                return record.get("request_id") in self.active
        recorder = membership.member_id(str(record.get("entry")),
                                        int(str(record.get("lease"))))
        got = self.kv.get(membership.MEMBERS + recorder)
        # A store that does not answer says nothing of the recorder: come
        # back, the request may still be in hand.
        return got.map(lambda item: item is not None).value_or(True)

    def abandon(self, key: str, begun: Begun) -> None:
        """Remove our record of a request that was not dispatched.

        Without this, a caller told "not run" who retries with the same
        key would be told that the request may have run.
        """
        self._settle(begun, Settlement(key, b"", begun.revision,
                                       delete=True))

    def give_up(self, key: str, begun: Begun) -> None:
        """Record that a dispatched request's outcome is not known."""
        self._settle(begun, Settlement(
            key, kvclient.encode({"state": UNKNOWN}), begun.revision))

    def finish(self, key: str, begun: Begun,
               answer: dict[str, object]) -> None:
        """Record the answer under key, for retries to be given."""
        self._settle(begun, Settlement(key, kvclient.encode(
            {"state": DONE, "answer": answer}), begun.revision))

    def _settle(self, begun: Begun, settlement: Settlement) -> None:
        # The caller is waiting, so one try is made here and only while
        # nothing is left over from earlier: a store that is down would
        # hold every answer back by a timeout.  What cannot be written now
        # is written in the background when the store is back; without it
        # a retry would find the request "in progress" for ever.
        if self.unwritten.unfinished_tasks or not self._write(settlement):
            self.unwritten.put(settlement)
            with self.lock:
                if self.writer is None:
                    self.writer = threading.Thread(
                        target=self._write_left_over, daemon=True,
                        name="ledger")
                    self.writer.start()
        with self.lock:
            self.active.discard(begun.request_id)

    def _write(self, settlement: Settlement) -> bool:
        """Write once; return whether nothing is left to do."""
        # A swap that loses has been overtaken by an outcome already there
        # (ours, its reply lost); either way nothing is left to write.
        return isinstance(self._swap(
            settlement.key, settlement.revision, settlement.value,
            delete=settlement.delete), result.Success)

    def _write_left_over(self) -> None:
        while True:
            settlement = self.unwritten.get()
            while not self._write(settlement):
                time.sleep(RETRY_WRITE)
            self.unwritten.task_done()
