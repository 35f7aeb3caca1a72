"""Decode the operators' configuration into ordered queues."""

import json
import typing

import pydantic

from sycamorefield import events
from sycamorefield.fleet import messages

KEY = "op/config"


class AdviceModel(pydantic.BaseModel):
    """Check a queue's advice policy; period_ms counts for each worker."""

    decide_ms: float = 0.0
    period_ms: float = 0.0
    valid_ms: float = 0.0


class RouteModel(pydantic.BaseModel):
    """Check one route."""

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    slo_ms: float = 0.0
    advice: typing.Any = None


class LimitsModel(pydantic.BaseModel):
    """Check the limits on requests."""

    max_body_bytes: int = 262_144


class ConfigModel(pydantic.BaseModel):
    """Check a whole configuration."""

    version: int
    routes: list[RouteModel] = []
    limits: LimitsModel = LimitsModel()


def decode(value: bytes) -> messages.Configuration:
    """Return the configuration; raises ValueError if it cannot be read.

    Queues are ordered so that the first match is the longest prefix.
    """
    model = ConfigModel.model_validate(json.loads(value))
    queues = [messages.Queue(route.name, route.host, route.prefix,
                             route.service, route.priority,
                             route.max_attempts,
                             _advice_policy(route.advice), route.stretch,
                             route.slo_ms)
              for route in model.routes]
    queues.sort(key=lambda queue: -len(queue.prefix))
    return messages.Configuration(model.version, tuple(queues),
                                  model.limits.max_body_bytes)


def _advice_policy(advice: typing.Any) -> messages.AdvicePolicy | None:
    """Return a queue's advice policy, or None if it has none.

    One that cannot be read must not hide the rest of the configuration; the
    service's answers then say how long tickets hold.
    """
    if not advice:
        return None
    try:
        model = AdviceModel.model_validate(advice)
    except pydantic.ValidationError as exc:
        events.emit(events.ENTRY_UNREADABLE, key="advice", reason=str(exc))
        model = AdviceModel()
    return messages.AdvicePolicy(model.decide_ms, model.period_ms,
                                 model.valid_ms)
