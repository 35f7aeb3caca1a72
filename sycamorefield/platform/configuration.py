"""Decode the operators' configuration and requests for evacuations."""

import json
import typing

import pydantic

from sycamorefield import events
from sycamorefield.fleet import messages

KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"


class AdviceModel(pydantic.BaseModel):
    """A queue's advice policy; period_ms is the time per worker."""

    decide_ms: float = 0.0
    period_ms: float = 0.0
    valid_ms: float = 0.0


class RouteModel(pydantic.BaseModel):
    """A route, which defines a queue."""

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
    """Limits on requests."""

    max_body_bytes: int = 262_144


class ConfigModel(pydantic.BaseModel):
    """The operators' configuration."""

    version: int
    routes: list[RouteModel] = []
    limits: LimitsModel = LimitsModel()


def decode(value: bytes) -> messages.Configuration:
    """Return the configuration; raises ValueError if it is invalid.

    Queues with longer prefixes come first, so the first match is the longest.
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

    An invalid policy must not make the rest of the configuration unusable; it
    is replaced by the default, and the validity of tickets then comes from
    the responses of the advice service.
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


class EvacuationDecoder:
    """Decode requests to evacuate one of the known data centres."""

    def __init__(self, data_centres: typing.Container[str]) -> None:
        self.data_centres = data_centres

    def __call__(self, key: str, value: bytes) -> str | None:
        """Return the data centre to evacuate, or None for other keys.

        Raises ValueError if the request is unreadable or if there is no such
        data centre.
        """
        if not key.startswith(EVACUATION_PREFIX):
            return None
        if not isinstance(json.loads(value), dict):
            raise ValueError("not a request to evacuate a data centre")
        data_centre = key[len(EVACUATION_PREFIX):]
        if data_centre not in self.data_centres:
            raise ValueError(f"no data centre {data_centre!r}")
        return data_centre
