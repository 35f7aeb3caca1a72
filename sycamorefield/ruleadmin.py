"""Edit the operators' rules by compare-and-swap on their revision.

An edit reads the rules, changes the list and writes it only if the stored
rules have not changed since.  If the operator gives an expected revision, a
concurrent change results in a conflict.  Otherwise the edit is applied to
the new list, because edits by rule name keep their meaning.  After a write
whose reply was lost, the rules are read back before another attempt.
"""

import typing

from returns import result

from sycamorefield import errors
from sycamorefield import events
from sycamorefield import kvclient
from sycamorefield import rulecache
from sycamorefield import rules

MAX_ATTEMPTS = 4
RETRY_AFTER_S = 1.0

Edit = typing.Callable[[list[rules.Rule]],
                       result.Result[list[rules.Rule], errors.Problem]]


class RuleAdmin:
    """Apply edits by operators to the stored rules."""

    def __init__(self, kv: kvclient.Client, rule_cache: rulecache.RuleCache,
                 operator: str) -> None:
        self.kv = kv
        self.rule_cache = rule_cache
        self.operator = operator

    def read(self) -> result.Result[rules.RuleSet, errors.Problem]:
        """Return the stored rules."""
        reply = self.kv.get(rulecache.RULES_KEY)
        if not isinstance(reply, result.Success):
            return result.Failure(self._unavailable(reply.failure()))
        item = reply.unwrap()
        if item is None:
            return result.Success(rules.RuleSet())
        return result.Success(rulecache.parse(item.value, item.mod_revision))

    def apply_edit(self, edit: Edit, expected: int | None = None
                   ) -> result.Result[rules.RuleSet, errors.Problem]:
        """Apply an edit to the stored rules; return the new rules."""
        for _ in range(MAX_ATTEMPTS):
            current = self.read()
            if not isinstance(current, result.Success):
                return current
            stored = current.unwrap()
            if expected is not None and expected != stored.revision:
                return result.Failure(errors.problem(
                    errors.STALE_REVISION, current=stored.revision,
                    expected=expected))
            edited = edit(list(stored.rules))
            if not isinstance(edited, result.Success):
                return result.Failure(edited.failure())
            value = rulecache.encode(edited.unwrap())
            swap = self.kv.cas(rulecache.RULES_KEY, stored.revision, value)
            if isinstance(swap, result.Success):
                outcome = swap.unwrap()
                if outcome.succeeded:
                    return result.Success(self._publish(
                        rules.RuleSet(outcome.revision,
                                      tuple(edited.unwrap()))))
                events.emit(events.RULES_CONFLICT, operator=self.operator,
                            revision=stored.revision)
                continue
            failure = swap.failure()
            if not failure.maybe_applied:
                return result.Failure(self._unavailable(failure))
            # The reply was lost, but the write may have been applied.  If
            # the stored value is the new one, the edit was accepted;
            # otherwise try again.
            read_back = self.kv.get(rulecache.RULES_KEY).value_or(None)
            if read_back is not None and read_back.value == value:
                return result.Success(self._publish(
                    rulecache.parse(read_back.value, read_back.mod_revision)))
        return result.Failure(errors.problem(
            errors.STORE_UNAVAILABLE, retry_after=RETRY_AFTER_S,
            detail="too many concurrent changes"))

    def _publish(self, ruleset: rules.RuleSet) -> rules.RuleSet:
        events.emit(events.RULES_CHANGED, operator=self.operator,
                    revision=ruleset.revision, rules=ruleset.names())
        self.rule_cache.update_if_newer(ruleset)
        return ruleset

    @staticmethod
    def _unavailable(failure: kvclient.KvError) -> errors.Problem:
        return errors.problem(errors.STORE_UNAVAILABLE,
                              retry_after=RETRY_AFTER_S, detail=failure.status)


def add(rule: rules.Rule, position: int | None) -> Edit:
    """Return an edit that inserts a rule at position (None: the end)."""
    def edit(current: list[rules.Rule]
             ) -> result.Result[list[rules.Rule], errors.Problem]:
        if any(r.name == rule.name for r in current):
            return result.Failure(errors.problem(errors.DUPLICATE_RULE,
                                                 name=rule.name))
        index = len(current) if position is None else position
        return result.Success(current[:index] + [rule] + current[index:])
    return edit


def retire(name: str) -> Edit:
    """Return an edit that removes a rule."""
    def edit(current: list[rules.Rule]
             ) -> result.Result[list[rules.Rule], errors.Problem]:
        remaining = [r for r in current if r.name != name]
        if len(remaining) == len(current):
            return result.Failure(errors.problem(errors.UNKNOWN_RULE,
                                                 name=name))
        return result.Success(remaining)
    return edit


def move(name: str, position: int) -> Edit:
    """Return an edit that moves a rule to position."""
    def edit(current: list[rules.Rule]
             ) -> result.Result[list[rules.Rule], errors.Problem]:
        moved = [r for r in current if r.name == name]
        if not moved:
            return result.Failure(errors.problem(errors.UNKNOWN_RULE,
                                                 name=name))
        remaining = [r for r in current if r.name != name]
        return result.Success(
            remaining[:position] + moved + remaining[position:])
    return edit


def replace(new: list[rules.Rule]) -> Edit:
    """Return an edit that replaces all rules."""
    def edit(current: list[rules.Rule]
             ) -> result.Result[list[rules.Rule], errors.Problem]:
        return result.Success(list(new))
    return edit
