"""Serve the HTTP API of an entry process to callers and operators.

Request bodies are JSON and are validated here by pydantic models.  Every
error response has an error code, the findings with their location in the
body and, where a retry makes sense, when to retry.  An EntryProcess
processes the requests.
"""

import functools
import json
import typing

import cherrypy
import pydantic
from returns import result

from sycamorefield import errors
from sycamorefield import options
from sycamorefield import ruleadmin
from sycamorefield import rules


class RequestModel(pydantic.BaseModel):
    """The body of a latency-critical request."""

    model_config = pydantic.ConfigDict(extra="forbid")
    customer: str = pydantic.Field(min_length=1, max_length=80)
    work: str = pydantic.Field(min_length=1, max_length=80)
    payload: typing.Any = None
    idempotency_key: str | None = pydantic.Field(default=None, min_length=1,
                                                 max_length=200)
    request_id: str | None = pydantic.Field(default=None, max_length=200)


class JobModel(pydantic.BaseModel):
    """The body of a batch or standing job submission."""

    model_config = pydantic.ConfigDict(extra="forbid")
    customer: str = pydantic.Field(min_length=1, max_length=80)
    work: str = pydantic.Field(min_length=1, max_length=80)
    job_id: str | None = pydantic.Field(default=None, min_length=1,
                                        max_length=200,
                                        pattern="^[A-Za-z0-9_.-]+$")


class AddRuleModel(pydantic.BaseModel):
    """The body of a request to add a rule at a position."""

    model_config = pydantic.ConfigDict(extra="forbid")
    rule: rules.RuleModel
    position: int | None = pydantic.Field(default=None, ge=0)
    expected_revision: int | None = None


class MoveRuleModel(pydantic.BaseModel):
    """The body of a request to move a rule."""

    model_config = pydantic.ConfigDict(extra="forbid")
    position: int = pydantic.Field(ge=0)
    expected_revision: int | None = None


class ReplaceRulesModel(pydantic.BaseModel):
    """The body of a request to replace all rules."""

    model_config = pydantic.ConfigDict(extra="forbid")
    rules: list[rules.RuleModel]
    expected_revision: int | None = None


class RetireRuleModel(pydantic.BaseModel):
    """The body of a request to remove a rule."""

    model_config = pydantic.ConfigDict(extra="forbid")
    expected_revision: int | None = None


Answer = result.Result[tuple[int, dict[str, object]], errors.Problem]
Model = typing.TypeVar("Model", bound=pydantic.BaseModel)
RulesAnswer = result.Result[rules.RuleSet, errors.Problem]


class EntryProcess(typing.Protocol):
    """The attributes and methods of an entry process that the API uses."""

    opts: options.Options
    admin: ruleadmin.RuleAdmin

    def ready(self) -> bool:
        """Return whether this process accepts new work."""

    def health(self) -> dict[str, object]:
        """Return the body of /healthz."""

    def metrics_body(self) -> dict[str, object]:
        """Return the body of /metrics."""

    def serve_request(self, request: RequestModel) -> Answer:
        """Process a latency-critical request and return its answer."""

    def submit_job(self, request: JobModel) -> Answer:
        """Accept a batch or standing job."""

    def show_job(self, job_id: str) -> Answer:
        """Return a job's record."""

    def cancel_job(self, job_id: str) -> Answer:
        """Cancel a job."""

    def add_rule(self, model: AddRuleModel) -> RulesAnswer:
        """Add a rule."""

    def replace_rules(self, model: ReplaceRulesModel) -> RulesAnswer:
        """Replace all rules."""

    def retire_rule(self, name: str, model: RetireRuleModel) -> RulesAnswer:
        """Remove a rule."""

    def move_rule(self, name: str, model: MoveRuleModel) -> RulesAnswer:
        """Move a rule to a new position."""


def _findings(exc: pydantic.ValidationError) -> tuple[errors.Finding, ...]:
    return tuple(errors.Finding("body." + ".".join(str(p) for p in e["loc"])
                                if e["loc"] else "body", e["msg"])
                 for e in exc.errors())


def parse_body(model: type[Model], limit: int
               ) -> result.Result[Model, errors.Problem]:
    """Read the request body, of at most limit bytes, and validate it."""
    raw = cherrypy.request.body.read(limit + 1) or b"{}"
    if len(raw) > limit:
        return result.Failure(errors.problem(errors.TOO_LARGE, limit=limit))
    try:
        data = json.loads(raw)
    except ValueError as exc:
        return result.Failure(errors.problem(errors.BAD_JSON, detail=exc))
    try:
        return result.Success(model.model_validate(data))
    except pydantic.ValidationError as exc:
        return result.Failure(errors.problem(errors.BAD_FIELDS,
                                             findings=_findings(exc)))


def respond(answer: Answer) -> bytes:
    """Set the response status and headers and return the JSON body."""
    response = cherrypy.response
    response.headers["Content-Type"] = "application/json"
    if isinstance(answer, result.Success):
        status, body = answer.unwrap()
    else:
        problem = answer.failure()
        status, body = problem.code.status, problem.body()
        if problem.retry_after is not None:
            response.headers["Retry-After"] = str(
                max(1, round(problem.retry_after)))
    response.status = status
    return json.dumps(body).encode()


def endpoint(func: typing.Callable[..., Answer]
             ) -> typing.Callable[..., bytes]:
    """Expose func to cherrypy and serialise its answer as JSON."""
    @functools.wraps(func)
    def wrapper(*args: object, **kwargs: object) -> bytes:
        body = respond(func(*args, **kwargs))
        root = cherrypy.request.app.root if cherrypy.request.app else None
        if getattr(getattr(root, "entry", None), "stopping", False):
            # Shutdown ends by closing idle keep-alive connections, and a
            # request sent on one at that moment would be lost.  Closing
            # each connection after its response while stopping leaves no
            # idle connections.
            cherrypy.response.headers["Connection"] = "close"
        return body
    wrapper.exposed = True  # type: ignore[attr-defined]
    return wrapper


def error_page(status: str, message: str, traceback: str,
               version: str) -> str:
    """Return the JSON body for cherrypy's own errors, such as 404."""
    cherrypy.response.headers["Content-Type"] = "application/json"
    return json.dumps({"error": "http-" + status.split()[0],
                       "message": message})


def assume_no_body() -> None:
    """Treat a DELETE without Content-Length as having an empty body.

    Most clients send no Content-Length with a DELETE, and cherrypy would
    answer 411.
    """
    headers = cherrypy.request.headers
    if (cherrypy.request.method == "DELETE"
            and "Transfer-Encoding" not in headers):
        headers.setdefault("Content-Length", "0")


cherrypy.tools.assume_no_body = cherrypy.Tool("before_request_body",
                                              assume_no_body)
HTTP_CONFIG = {"tools.assume_no_body.on": True,
               "request.methods_with_bodies": ("POST", "PUT", "PATCH",
                                               "DELETE"),
               "error_page.default": error_page,
               "request.show_tracebacks": False}


def method_not_allowed() -> Answer:
    """Return the 405 answer for a method the path does not support."""
    return result.Failure(errors.Problem(
        errors.Code("method-not-allowed", 405, ""), "method not allowed"))


class Admin:
    """Serve /admin/rules to operators."""

    def __init__(self, entry: EntryProcess) -> None:
        self.entry = entry

    @endpoint
    def rules(self, name: str = "", action: str = "") -> Answer:
        """List, add, replace, remove or move rules."""
        method = cherrypy.request.method
        limit = self.entry.opts.max_body_bytes
        admin = self.entry.admin
        if not name and method == "GET":
            return admin.read().map(ruleset_body)
        if not name and method == "POST":
            return parse_body(AddRuleModel, limit).bind(
                lambda m: self.entry.add_rule(m)).map(ruleset_body)
        if not name and method == "PUT":
            return parse_body(ReplaceRulesModel, limit).bind(
                lambda m: self.entry.replace_rules(m)).map(ruleset_body)
        if name and not action and method == "DELETE":
            return parse_body(RetireRuleModel, limit).bind(
                lambda m: self.entry.retire_rule(name, m)).map(ruleset_body)
        if name and action == "move" and method == "POST":
            return parse_body(MoveRuleModel, limit).bind(
                lambda m: self.entry.move_rule(name, m)).map(ruleset_body)
        return method_not_allowed()


def ruleset_body(ruleset: rules.RuleSet) -> tuple[int, dict[str, object]]:
    """Return the HTTP status and body that list a rule set."""
    return 200, {"revision": ruleset.revision,
                 "rules": [rules.to_dict(r) for r in ruleset.rules]}


class V1:
    """Serve /v1 to callers."""

    def __init__(self, entry: EntryProcess) -> None:
        self.entry = entry

    @endpoint
    def requests(self) -> Answer:
        """Process a latency-critical request and return its answer."""
        if cherrypy.request.method != "POST":
            return method_not_allowed()
        return parse_body(RequestModel, self.entry.opts.max_body_bytes).bind(
            self.entry.serve_request)

    @endpoint
    def jobs(self, job_id: str = "") -> Answer:
        """Submit, show or cancel a batch or standing job."""
        method = cherrypy.request.method
        if not job_id and method == "POST":
            return parse_body(JobModel, self.entry.opts.max_body_bytes).bind(
                self.entry.submit_job)
        if job_id and method == "GET":
            return self.entry.show_job(job_id)
        if job_id and method == "DELETE":
            return self.entry.cancel_job(job_id)
        return method_not_allowed()


class Root:
    """Serve all HTTP paths of an entry process."""

    def __init__(self, entry: EntryProcess) -> None:
        self.entry = entry
        self.v1 = V1(entry)
        self.admin = Admin(entry)

    @endpoint
    def healthz(self) -> Answer:
        """Report readiness: 200 if new work is accepted, else 503."""
        return result.Success((200 if self.entry.ready() else 503,
                               self.entry.health()))

    @endpoint
    def metrics(self) -> Answer:
        """Report latency summaries and counters."""
        return result.Success((200, self.entry.metrics_body()))
