"""Define the operators' ordered "when ... then ..." rules.

The first rule whose condition matches decides on a request; work that
matches no rule is admitted at normal priority.  A rule set has the revision
of the key it was read from, so that an entry process never replaces its
rules with older ones.
"""

import dataclasses

import pydantic

ADMIT = "admit"
REJECT = "reject"
PRIORITIES = ("urgent", "normal", "low")


class ConditionModel(pydantic.BaseModel):
    """Validate the "when" part of a rule in a request or in the store."""

    model_config = pydantic.ConfigDict(extra="forbid")
    customer: str | None = None
    work: str | None = None
    kind: str | None = pydantic.Field(
        default=None, pattern="^(latency|batch|standing)$")


class ActionModel(pydantic.BaseModel):
    """Validate the "then" part of a rule in a request or in the store."""

    model_config = pydantic.ConfigDict(extra="forbid")
    action: str = pydantic.Field(default=ADMIT, pattern="^(admit|reject)$")
    priority: str = pydantic.Field(default="normal",
                                   pattern="^(urgent|normal|low)$")
    zone: str | None = None
    retry_after_seconds: float = pydantic.Field(default=30.0, ge=0)


class RuleModel(pydantic.BaseModel):
    """Validate a rule in a request or in the store."""

    model_config = pydantic.ConfigDict(extra="forbid")
    name: str = pydantic.Field(min_length=1, max_length=80,
                               pattern="^[a-z0-9][a-z0-9-]*$")
    when: ConditionModel = ConditionModel()
    then: ActionModel = ActionModel()


@dataclasses.dataclass(frozen=True)
class Condition:
    """The requests that a rule applies to; None matches anything."""

    customer: str | None = None
    work: str | None = None
    kind: str | None = None

    def matches(self, customer: str, work: str, kind: str) -> bool:
        """Return whether the condition matches a request."""
        return ((self.customer is None or self.customer == customer)
                and (self.work is None or self.work == work)
                and (self.kind is None or self.kind == kind))


@dataclasses.dataclass(frozen=True)
class Action:
    """What to do with a request that matches a rule."""

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
    """The name of the rule that decided on a request, and its action."""

    rule: str
    action: Action


DEFAULT_DECISION = Decision("", Action())


def from_model(model: RuleModel) -> Rule:
    """Convert a validated rule model to a rule."""
    return Rule(model.name, Condition(**model.when.model_dump()),
                Action(**model.then.model_dump()))


def to_dict(rule: Rule) -> dict[str, object]:
    """Convert a rule to its JSON representation."""
    return dataclasses.asdict(rule)


@dataclasses.dataclass(frozen=True)
class RuleSet:
    """An ordered list of rules and the revision of the stored list."""

    revision: int = 0
    rules: tuple[Rule, ...] = ()

    def decide(self, customer: str, work: str, kind: str) -> Decision:
        """Return the decision of the first matching rule, or the default."""
        for rule in self.rules:
            if rule.when.matches(customer, work, kind):
                return Decision(rule.name, rule.then)
        return DEFAULT_DECISION

    def names(self) -> list[str]:
        """Return the names of the rules in order."""
        return [rule.name for rule in self.rules]
