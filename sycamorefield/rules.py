"""Hold operators' ordered "when ... then ..." rules and decide by them.

The first rule whose condition holds decides; with none, work is admitted at
normal priority.  A rule set carries the key-value revision it was read at,
so that an entry process only ever moves forward.
"""

import dataclasses

import pydantic

ADMIT = "admit"
REJECT = "reject"
PRIORITIES = ("urgent", "normal", "low")


class ConditionModel(pydantic.BaseModel):
    """Check the "when" part of a rule at the border."""

    model_config = pydantic.ConfigDict(extra="forbid")
    customer: str | None = None
    work: str | None = None
    kind: str | None = pydantic.Field(
        default=None, pattern="^(latency|batch|standing)$")


class ActionModel(pydantic.BaseModel):
    """Check the "then" part of a rule at the border."""

    model_config = pydantic.ConfigDict(extra="forbid")
    action: str = pydantic.Field(default=ADMIT, pattern="^(admit|reject)$")
    priority: str = pydantic.Field(default="normal",
                                   pattern="^(urgent|normal|low)$")
    zone: str | None = None
    retry_after_seconds: float = pydantic.Field(default=30.0, ge=0)


class RuleModel(pydantic.BaseModel):
    """Check one rule at the border."""

    model_config = pydantic.ConfigDict(extra="forbid")
    name: str = pydantic.Field(min_length=1, max_length=80,
                               pattern="^[a-z0-9][a-z0-9-]*$")
    when: ConditionModel = ConditionModel()
    then: ActionModel = ActionModel()


@dataclasses.dataclass(frozen=True)
class Condition:
    """Say which requests a rule is about; None matches anything."""

    customer: str | None = None
    work: str | None = None
    kind: str | None = None

    def matches(self, customer: str, work: str, kind: str) -> bool:
        """Return whether a request of this customer, work and kind matches."""
        return ((self.customer is None or self.customer == customer)
                and (self.work is None or self.work == work)
                and (self.kind is None or self.kind == kind))


@dataclasses.dataclass(frozen=True)
class Action:
    """Say what is done with a matching request."""

    action: str = ADMIT
    priority: str = "normal"
    zone: str | None = None
    retry_after_seconds: float = 30.0


@dataclasses.dataclass(frozen=True)
class Rule:
    """A named rule: its condition and its action."""

    name: str
    when: Condition
    then: Action


@dataclasses.dataclass(frozen=True)
class Decision:
    """The outcome of the rules for one request."""

    rule: str
    action: Action


DEFAULT_DECISION = Decision("", Action())


def from_model(model: RuleModel) -> Rule:
    """Turn a checked rule model into a rule."""
    return Rule(model.name, Condition(**model.when.model_dump()),
                Action(**model.then.model_dump()))


def to_dict(rule: Rule) -> dict[str, object]:
    """Turn a rule into its JSON shape."""
    return dataclasses.asdict(rule)


@dataclasses.dataclass(frozen=True)
class RuleSet:
    """An ordered list of rules at one key-value revision."""

    revision: int = 0
    rules: tuple[Rule, ...] = ()

    def decide(self, customer: str, work: str, kind: str) -> Decision:
        """Return the decision of the first matching rule."""
        for rule in self.rules:
            if rule.when.matches(customer, work, kind):
                return Decision(rule.name, rule.then)
        return DEFAULT_DECISION

    def names(self) -> list[str]:
        """Return the rule names in order."""
        return [rule.name for rule in self.rules]
