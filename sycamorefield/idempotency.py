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

from returns import result

from sycamorefield import errors
from sycamorefield import kvclient

PREFIX = "/idem/"
FINISH_TRIES = 5
RETRY_AFTER = 1.0


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


class Ledger:
    """Record and look up requests by idempotency key."""

    def __init__(self, kv: kvclient.Client, entry: str) -> None:
        self.kv = kv
        self.entry = entry

    def begin(self, key: str, request_id: str
              ) -> result.Result[Begun, errors.Problem]:
        """Record key as started by request_id before dispatch."""
        mine = {"state": "started", "request_id": request_id,
                "entry": self.entry}
        swap = self.kv.cas(PREFIX + key, 0, kvclient.encode(mine))
        if isinstance(swap, result.Success):
            outcome = swap.unwrap()
            if outcome.succeeded:
                return result.Success(Begun(Start.FRESH,
                                            revision=outcome.revision))
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

    def _existing(self, item: object, request_id: str
                  ) -> result.Result[Begun, errors.Problem]:
        record = kvclient.decode(getattr(item, "value", b"")) or {}
        if record.get("state") == "done":
            return result.Success(Begun(Start.REPLAY, record.get("answer")))
        if (record.get("request_id") == request_id
                and record.get("entry") == self.entry):
            return result.Success(Begun(
                Start.FRESH, revision=getattr(item, "mod_revision", 0)))
        return result.Failure(errors.problem(errors.IN_PROGRESS,
                                             retry_after=RETRY_AFTER))

    def abandon(self, key: str, begun: Begun) -> bool:
        """Remove our record of a request that was not dispatched.

        Without this, a caller told "not run" who retries with the same
        key would find the record "started" and wait on it for ever.
        """
        for _ in range(FINISH_TRIES):
            swap = self.kv.cas(PREFIX + key, begun.revision, b"",
                               delete=True)
            if isinstance(swap, result.Success):
                return swap.unwrap().succeeded
            if swap.failure().maybe_applied:
                back = self.kv.get(PREFIX + key)
                if isinstance(back, result.Success) and (
                        back.unwrap() is None
                        or back.unwrap().mod_revision != begun.revision):
                    return True
        return False

    def finish(self, key: str, answer: dict[str, object]) -> bool:
        """Store the answer under key; return whether it was stored."""
        value = kvclient.encode({"state": "done", "answer": answer})
        for _ in range(FINISH_TRIES):
            if isinstance(self.kv.put(PREFIX + key, value), result.Success):
                return True
        return False
