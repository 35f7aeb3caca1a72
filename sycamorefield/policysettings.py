"""Read and validate the options of the placement policy.

All findings are reported together, each with its location.  A process does
not start with invalid options, and no option is changed silently.
"""

import dataclasses
import typing

import pydantic
from returns import result
import yaml

from sycamorefield import errors
from sycamorefield.fleet import policy as policy_mod


def _make_policy_model() -> type[pydantic.BaseModel]:
    """Return a model with a strict boolean for each field of Policy."""
    fields: dict[str, typing.Any] = {
        field.name: (bool, field.default)
        for field in dataclasses.fields(policy_mod.Policy)}
    config = pydantic.ConfigDict(extra="forbid", strict=True)
    return pydantic.create_model("PolicyModel", __config__=config, **fields)


PolicyModel = _make_policy_model()

# Options that have no effect unless another one is on: (option, required).
REQUIRED_OPTIONS = (("spread_lasting_jobs", "keep_room_for_short_work"),
                    ("limit_tails", "learn_weights"))


def load(path: str | None) -> result.Result[policy_mod.Policy,
                                            list[errors.Finding]]:
    """Read the options from a file; use defaults if path is None or empty."""
    if not path:
        return result.Success(policy_mod.Policy())
    try:
        with open(path, encoding="utf-8") as file:
            return parse(file.read(), path)
    except (OSError, UnicodeDecodeError) as exc:
        return result.Failure([errors.Finding(path, str(exc))])


def parse(text: str, source: str) -> result.Result[policy_mod.Policy,
                                                   list[errors.Finding]]:
    """Parse and validate options in YAML; source names their origin."""
    try:
        values = yaml.safe_load(text)
        model = PolicyModel.model_validate({} if values is None else values)
    except yaml.YAMLError as exc:
        return result.Failure([errors.Finding(source, str(exc))])
    except pydantic.ValidationError as exc:
        return result.Failure([errors.Finding(
            f"{source}:{'.'.join(str(part) for part in error['loc'])}",
            error["msg"]) for error in exc.errors()])
    policy = policy_mod.Policy(**model.model_dump())
    findings = [
        errors.Finding(f"{source}:{option}",
                       f"does nothing without {required}")
        for option, required in REQUIRED_OPTIONS
        if getattr(policy, option) and not getattr(policy, required)]
    return result.Failure(findings) if findings else result.Success(policy)
