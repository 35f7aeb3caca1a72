"""Decode and validate jobs that callers submit."""

import math

import pydantic

from sycamorefield.fleet import jobbounds
from sycamorefield.fleet import messages

MAX_SPEC_BYTES = 4000


class StepModel(pydantic.BaseModel):
    """A step of a job; callers omit fields that are 0, false or empty."""

    count: int = pydantic.Field(ge=1, le=100_000)
    cpu: int = pydantic.Field(default=0, ge=0)
    mem_mb: int = pydantic.Field(default=0, ge=0)
    gpu: int = pydantic.Field(default=0, ge=0)
    est_runtime_ms: float = 0
    after: list[int] = []
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    affinity: str = ""
    max_per_server: int = pydantic.Field(default=0, ge=0)
    speculative: bool = False
    perpetual: bool = False
    checkpoint: bool = False
    fills: bool = False
    image: str = ""
    target_ms: float = 0
    may_miss: int = pydantic.Field(default=0, ge=0)


class JobModel(pydantic.BaseModel):
    """The body of a job request."""

    spec: str = ""
    steps: list[StepModel] = pydantic.Field(min_length=1)
    start_at_ms: float = 0
    repeat_count: int = pydantic.Field(default=0, ge=0, le=100_000)
    interval_ms: float = 0

    @pydantic.model_validator(mode="after")
    def check_spec_and_steps(self) -> "JobModel":
        """Reject a too long spec and steps that depend on later ones."""
        if len(self.spec.encode()) > MAX_SPEC_BYTES:
            raise ValueError("spec is longer than 4000 bytes")
        for number, step in enumerate(self.steps):
            if any(not 0 <= earlier < number for earlier in step.after):
                raise ValueError(f"step {number} waits for no earlier step")
        return self


def decode(job_id: str, queue: messages.Queue, accepted_ms: float,
           body: bytes) -> messages.Job:
    """Return the job, with defaults for values that are only hints.

    Raises ValueError, such as pydantic.ValidationError, if the job cannot be
    run as it says.
    """
    model = JobModel.model_validate_json(body)
    return jobbounds.bounded(messages.Job(
        job_id, queue.name, queue.service, queue.priority,
        queue.max_attempts, accepted_ms, model.spec,
        tuple(_step(step) for step in model.steps), model.start_at_ms,
        model.repeat_count, model.interval_ms, queue.advice))


def _whole_ms(value: float) -> int:
    """Return whole milliseconds, out of bounds for NaN and infinity."""
    return int(value) if math.isfinite(value) else -1


def _step(model: StepModel) -> messages.Step:
    return messages.Step(
        model.count, messages.Resources(model.cpu, model.mem_mb, model.gpu),
        _whole_ms(model.est_runtime_ms), tuple(model.after), model.gang,
        model.same_rack, model.requires, model.affinity,
        model.max_per_server, model.speculative, model.perpetual,
        model.checkpoint, model.fills, model.image, model.target_ms,
        model.may_miss)
