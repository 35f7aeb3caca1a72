"""HTTP interface for callers, on the platform's front address."""

import json
import re
import typing

import pydantic

from sycamorefield import events
from sycamorefield.fleet import admission
from sycamorefield.fleet import clock
from sycamorefield.fleet import forwarding
from sycamorefield.fleet import inputlog
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import jobrequests as jobrequests_mod
from sycamorefield.fleet import messages
from sycamorefield.platform import entrypeers
from sycamorefield.platform import jobbody

JOB_ID_PATTERN = re.compile("[0-9a-fA-F]{16}")
REASON_PHRASES = {200: "OK", 400: "Bad Request", 404: "Not Found",
                  405: "Method Not Allowed", 410: "Gone", 413: "Too Large",
                  500: "Internal Server Error", 503: "Service Unavailable",
                  504: "Gateway Timeout"}
# What callers are told; the log has the reason.
STORE_UNAVAILABLE = "the store is unavailable"
OVERLOADED = ("the fleet is overloaded: the job could not end in time; it was "
              "not stored and will not run")
JOB_CANCELLED = "the job was cancelled; it was not stored and will not run"
JOB_TOO_LARGE = "the job is too large to be stored; it will not run"
OUTCOME_UNKNOWN = "the store has not confirmed the request"

Environ = dict[str, typing.Any]
StartResponse = typing.Callable[[str, list[tuple[str, str]]], typing.Any]


class Reply(typing.NamedTuple):
    """Status, JSON body and Retry-After of a response (0: no header)."""

    status: int
    body: dict[str, typing.Any] = {}
    retry_after_s: int = 0


class FrontApp:
    """WSGI application of the front, ready and metrics addresses."""

    def __init__(self, job_requests: jobrequests_mod.JobRequestHandler,
                 configuration: typing.Callable[[], messages.Configuration],
                 ready: typing.Callable[[], bool],
                 stopping: typing.Callable[[], bool],
                 metrics: typing.Callable[[], str],
                 forwarder: forwarding.Forwarder | None = None,
                 peer_port: str = "") -> None:
        self.job_requests = job_requests
        self.configuration = configuration
        self.ready = ready
        self.stopping = stopping
        self.metrics = metrics
        self.forwarder = forwarder
        # The port on which other entry processes forward requests.
        self.peer_port = peer_port

    def __call__(self, environ: Environ,
                 start_response: StartResponse) -> list[bytes]:
        path = environ.get("PATH_INFO", "/")
        if path == "/metrics":
            text = self.metrics().encode()
            start_response("200 OK", [("Content-Type", "text/plain"),
                                      ("Content-Length", str(len(text)))])
            return [text]
        try:
            reply = self._reply_to(path, environ)
        except Exception as exc:
            events.emit(events.THREAD_FAILED, path=path, reason=repr(exc),
                        where=events.error_location(exc))
            reply = Reply(500, {"error": "internal error"})
        return self._respond(reply, start_response)

    def _respond(self, reply: Reply,
                 start_response: StartResponse) -> list[bytes]:
        data = json.dumps(reply.body).encode()
        headers = [("Content-Type", "application/json"),
                   ("Content-Length", str(len(data)))]
        if reply.retry_after_s:
            headers.append(("Retry-After", str(reply.retry_after_s)))
        if self.stopping():
            # A request sent while the server closes the connection would be
            # lost; with this header the caller sends no further request on it.
            headers.append(("Connection", "close"))
        start_response(
            f"{reply.status} {REASON_PHRASES[reply.status]}", headers)
        return [data]

    def _reply_to(self, path: str, environ: Environ) -> Reply:
        """Return the reply to a caller, a probe or another entry process."""
        body = _read_body(environ)
        if path == entrypeers.READY_PATH:
            return Reply(200 if self.ready() else 503)
        if self.peer_port and environ.get("SERVER_PORT") == self.peer_port:
            return self._serve_peer(path, body)
        if self.forwarder is not None and not self.forwarder.serves():
            reply = self._forward(self.forwarder, path, body, environ)
            if reply is not None:
                return reply
        return self._handle(path, body, environ)

    def _forward(self, forwarder: forwarding.Forwarder, path: str,
                 body: bytes, environ: Environ) -> Reply | None:
        """Return another process's reply, or None if there is none."""
        method = environ["REQUEST_METHOD"]
        config_version = max(self.configuration().version,
                             forwarder.config_version)
        try:
            reply = forwarder.forward(messages.CallerRequest(
                method, path, environ.get("HTTP_HOST", ""), body,
                _deadline(environ), config_version))
        except interfaces.CallFailed:
            # Only a read can be answered as if nothing had been done.
            return (None if method == "GET"
                    else Reply(504, {"error": OUTCOME_UNKNOWN}))
        return None if reply is None else Reply(
            reply.status, reply.body, reply.retry_after_s)

    def _serve_peer(self, path: str, data: bytes) -> Reply:
        """Return the reply to a request forwarded by another process."""
        if path != entrypeers.PATH:
            return Reply(404, {"error": "no such path"})
        try:
            request = entrypeers.decode(data)
        except pydantic.ValidationError:
            return Reply(400, {"error": "not a forwarded request"})
        version = self.configuration().version
        if not self.ready() or version < request.config_version:
            reply = Reply(forwarding.MISDIRECTED)
        else:
            reply = self._handle(request.path, request.body,
                                 entrypeers.environ_of(request))
        return Reply(200, {"status": reply.status, "body": reply.body,
                           "retry_after_s": reply.retry_after_s,
                           "config_version": version})

    def _knows_configuration(self, config: messages.Configuration) -> bool:
        """Return whether no answer was based on a newer configuration."""
        return bool(config.queues) and (
            self.forwarder is None
            or config.version >= self.forwarder.config_version)

    def _handle(self, path: str, body: bytes, environ: Environ) -> Reply:
        config = self.configuration()
        if not self._knows_configuration(config):
            return Reply(503, {"error": "no configuration yet"}, 1)
        if len(body) > config.max_body_bytes:
            return Reply(413, {"error": "body too large"})
        host = environ.get("HTTP_HOST", "").split(":")[0]
        queue = config.match(host, path)
        if queue is None:
            return Reply(404, {"error": "no such queue"})
        job_id = path[len(queue.prefix):]
        try:
            return self._route(queue, job_id, body, environ)
        except interfaces.CallFailed as exc:
            events.emit(events.STORE_UNREACHABLE, reason=f"request: {exc}",
                        job=job_id, queue=queue.name)
            return Reply(503, {"error": STORE_UNAVAILABLE}, 1)

    def _route(self, queue: messages.Queue, job_id: str, body: bytes,
               environ: Environ) -> Reply:
        method = environ["REQUEST_METHOD"]
        if not job_id:
            if method != "GET":
                return Reply(405, {"error": "method not allowed"})
            return Reply(200, {
                "waiting": self.job_requests.waiting_count(queue.name)})
        if not JOB_ID_PATTERN.fullmatch(job_id):
            status = 400 if method == "POST" else 410
            return Reply(status, {"error": "not a job ID"})
        if method == "POST":
            return self._submit(queue, job_id, body, _deadline(environ))
        if method == "DELETE":
            return _reply_for(
                self.job_requests.cancel(job_id, _deadline(environ)))
        if method == "GET":
            job_state = self.job_requests.job_status(job_id)
            if job_state is None:
                return Reply(410, {"error": "no such job"})
            reason = {"reason": job_state.reason} if job_state.reason else {}
            return Reply(200, {"state": job_state.state, **reason})
        return Reply(405, {"error": "method not allowed"})

    def _submit(self, queue: messages.Queue, job_id: str, body: bytes,
                deadline: float) -> Reply:
        try:
            job = jobbody.decode(job_id, queue, clock.wall_ms(), body)
        except pydantic.ValidationError as exc:
            findings = [{"place": ".".join(str(part) for part in error["loc"]),
                         "message": error["msg"]} for error in exc.errors()]
            return _reply_bad_job(job_id, findings)
        except ValueError as exc:
            return _reply_bad_job(job_id, [{"place": "",
                                            "message": str(exc)}])
        return _reply_for(self.job_requests.submit(job, deadline, queue))


def _reply_bad_job(job_id: str, findings: list[dict[str, str]]) -> Reply:
    inputlog.note(f"job {job_id}: {findings[0]['place']}",
                  findings[0]["message"], "request refused")
    return Reply(400, {"error": "bad job", "findings": findings})


def _reply_for(outcome: jobrequests_mod.Outcome) -> Reply:
    if isinstance(outcome, jobrequests_mod.Accepted):
        return Reply(200)
    if isinstance(outcome, jobrequests_mod.UnknownJob):
        return Reply(410, {"error": "no such job"})
    if isinstance(outcome, jobrequests_mod.Unstorable):
        return Reply(413, {"error": JOB_TOO_LARGE})
    if isinstance(outcome, jobrequests_mod.Cancelled):
        return Reply(503, {"error": JOB_CANCELLED})
    if isinstance(outcome, jobrequests_mod.Refused):
        return Reply(503, {"error": STORE_UNAVAILABLE}, outcome.retry_after_s)
    if isinstance(outcome, admission.Rejected):
        return Reply(503, {"error": OVERLOADED}, outcome.retry_after_s)
    return Reply(504, {"error": OUTCOME_UNKNOWN})


def _read_body(environ: Environ) -> bytes:
    length = environ.get("CONTENT_LENGTH")
    if length:
        return environ["wsgi.input"].read(int(length))
    if environ.get("HTTP_TRANSFER_ENCODING"):
        return environ["wsgi.input"].read()
    return b""


def _deadline(environ: Environ) -> float:
    """Return the caller's deadline on clock.now()."""
    header = environ.get(entrypeers.DEADLINE_HEADER, "")
    try:
        timeout_s = float(header) / 1000.0
    except ValueError:
        timeout_s = jobrequests_mod.DEFAULT_DEADLINE_S
    if not 0 < timeout_s < 3600:
        timeout_s = jobrequests_mod.DEFAULT_DEADLINE_S
    return clock.now() + timeout_s
