"""Send a latency-critical request to backends until one answers.

The outcomes of all attempts decide what the caller is told: a request is
"not run" only if no backend can have started it.
"""

import dataclasses
import enum
import json
import time
import typing

import urllib3

from sycamorefield import kvclient
from sycamorefield import options
from sycamorefield import routing

MAX_ATTEMPTS = 3
LEAVING_STATUS = 503


class OutcomeKind(enum.Enum):
    """The kind of outcome of a request or of one attempt to send it."""

    ANSWERED = "answered"
    NOT_SENT = "not sent"
    REFUSED = "refused"
    MAYBE_RAN = "maybe ran"


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The outcome of a request: its answer, or why there is none."""

    kind: OutcomeKind
    answer: dict[str, object] = dataclasses.field(default_factory=dict)
    detail: str = ""


@dataclasses.dataclass(frozen=True)
class BackendRequest:
    """The body of a request sent to a backend."""

    request_id: str
    customer: str
    payload: typing.Any
    idempotency_key: str | None


class Dispatcher:
    """Send requests to backends and retry where that is safe."""

    def __init__(self, opts: options.Options, router: routing.Router,
                 http: urllib3.PoolManager) -> None:
        self.opts = opts
        self.router = router
        self.http = http

    def send(self, request: BackendRequest, work: options.Work,
             zone: str | None) -> Outcome:
        """Send a request, at most MAX_ATTEMPTS times; return its outcome."""
        outcome = Outcome(OutcomeKind.NOT_SENT,
                          detail="no live backend server")
        maybe_ran = False
        for _ in range(MAX_ATTEMPTS):
            backend = self.router.pick(zone)
            if backend is None:
                break
            outcome = self._attempt(request, work, backend)
            maybe_ran = maybe_ran or outcome.kind == OutcomeKind.MAYBE_RAN
            if outcome.kind in (OutcomeKind.ANSWERED, OutcomeKind.REFUSED):
                break
            if maybe_ran and not work.idempotent:
                break
        if maybe_ran and outcome.kind != OutcomeKind.ANSWERED:
            # An earlier attempt may have run, whatever the last outcome.
            return Outcome(OutcomeKind.MAYBE_RAN, detail=outcome.detail)
        return outcome

    def _attempt(self, request: BackendRequest, work: options.Work,
                 backend: routing.BackendState) -> Outcome:
        sent_at = time.monotonic()
        try:
            reply = self.http.request(
                "POST", f"{backend.url}/work/{work.name}",
                body=kvclient.encode(dataclasses.asdict(request)),
                headers={"Content-Type": "application/json"},
                timeout=self.opts.timings.request_timeout, retries=False)
        except (urllib3.exceptions.NewConnectionError,
                urllib3.exceptions.ConnectTimeoutError) as exc:
            # Nothing was sent, so the request did not run: another backend
            # can be tried safely, even for non-idempotent work.
            self.router.record_call(backend, None)
            return Outcome(OutcomeKind.NOT_SENT, detail=type(exc).__name__)
        except urllib3.exceptions.HTTPError as exc:
            self.router.record_call(backend, None)
            return Outcome(OutcomeKind.MAYBE_RAN, detail=type(exc).__name__)
        answer = _parse_answer(reply, request)
        if answer is None:
            # A backend that fails requests quickly must not look fast.
            self.router.end_call(backend)
        else:
            self.router.record_call(
                backend,
                (time.monotonic() - sent_at) * 1000.0 / work.service_ms)
        if reply.status == LEAVING_STATUS:
            # A leaving backend refuses requests before it runs them.
            self.router.mark_leaving(backend.name)
            return Outcome(OutcomeKind.NOT_SENT,
                           detail=f"{backend.name} is leaving")
        if 400 <= reply.status < 500:
            return Outcome(OutcomeKind.REFUSED,
                           detail=f"backend refused with {reply.status}")
        if answer is not None:
            return Outcome(OutcomeKind.ANSWERED, answer)
        return Outcome(OutcomeKind.MAYBE_RAN,
                       detail=f"no valid answer, status {reply.status}")


def _parse_answer(reply: urllib3.BaseHTTPResponse,
                  request: BackendRequest) -> dict[str, object] | None:
    """Return the answer if it is complete and has this request's id.

    Otherwise return None.  A backend that returns a truncated answer or one
    for another request may have run this request, and its answer must never
    reach the caller.
    """
    if reply.status != 200:
        return None
    try:
        answer = json.loads(reply.data)
    except ValueError:
        return None
    if not isinstance(answer, dict):
        return None
    if answer.get("request_id") != request.request_id:
        return None
    return answer
