"""Error codes and messages for callers and operators."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Code:
    """An error code with its HTTP status and message template."""

    name: str
    status: int
    message: str


BAD_JSON = Code("bad-json", 400, "body is not valid JSON: {detail}")
BAD_FIELDS = Code("bad-fields", 400, "body does not match the schema")
TOO_LARGE = Code("too-large", 413, "body exceeds {limit} bytes")
UNKNOWN_WORK = Code("unknown-work", 404, "no work named {name!r}")
UNKNOWN_RULE = Code("unknown-rule", 404, "no rule named {name!r}")
DUPLICATE_RULE = Code("duplicate-rule", 409, "a rule named {name!r} exists")
STALE_REVISION = Code("stale-revision", 409,
                      "rules are at revision {current}, not {expected}")
REJECTED = Code("rejected", 403, "rule {rule!r} rejects this request")
NO_BACKEND = Code("no-backend", 503, "no live backend server for {work!r}")
NOT_RUN = Code("not-run", 503, "request was not run: {detail}")
OUTCOME_UNKNOWN = Code("outcome-unknown", 504,
                       "request may have run; ask again with the same "
                       "idempotency key")
JOB_OUTCOME_UNKNOWN = Code("outcome-unknown", 504,
                           "the job may have been accepted; submit it again "
                           "with the same job_id")
CANNOT_RUN = Code("cannot-run", 422,
                  "work {name!r} fits no worker of the fleet")
IN_PROGRESS = Code("in-progress", 409,
                   "a request with this idempotency key is in progress")
STORE_UNAVAILABLE = Code("store-unavailable", 503,
                         "key-value service unavailable: {detail}")
STOPPING = Code("stopping", 503, "entry process is stopping")
UNKNOWN_JOB = Code("unknown-job", 404, "no job {job_id!r}")


@dataclasses.dataclass(frozen=True)
class Finding:
    """A problem in input or in a time line, and where it was found."""

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


@dataclasses.dataclass(frozen=True)
class Problem:
    """An error reply: code, message, findings and seconds until a retry."""

    code: Code
    message: str
    findings: tuple[Finding, ...] = ()
    retry_after: float | None = None

    def body(self) -> dict[str, object]:
        """Return the JSON body sent to the caller."""
        out: dict[str, object] = {"error": self.code.name,
                                  "message": self.message}
        if self.findings:
            out["findings"] = [{"place": f.place, "message": f.message}
                               for f in self.findings]
        if self.retry_after is not None:
            out["retry_after_seconds"] = self.retry_after
        return out


def problem(code: Code, findings: tuple[Finding, ...] = (),
            retry_after: float | None = None, **values: object) -> Problem:
    """Return a Problem; values fill the placeholders of its message."""
    return Problem(code, code.message.format(**values), findings, retry_after)
