"""Change the operators' rules with compare-and-swap on their revision.

Every change reads the rules, edits the list and writes it back only if
nobody wrote in between.  An operator who names the revision they saw gets
a conflict when another got there first; one who does not is retried on
the fresh list, because edits by rule name still mean the same thing.  A
write whose reply was lost is read back before it is tried again.
"""

import typing

from returns import result

from sycamorefield import errors
from sycamorefield import events
from sycamorefield import kvclient
from sycamorefield import rulebook
from sycamorefield import rules

TRIES = 4
RETRY_AFTER = 1.0

Edit = typing.Callable[[list[rules.Rule]],
                       result.Result[list[rules.Rule], errors.Problem]]


class RuleAdmin:
    """Apply operators' edits to the stored rules."""

    def __init__(self, kv: kvclient.Client, book: rulebook.Rulebook,
                 operator: str) -> None:
        self.kv = kv
        self.book = book
        self.operator = operator

    def read(self) -> result.Result[rules.RuleSet, errors.Problem]:
        """Return the stored rules."""
        got = self.kv.get(rulebook.KEY)
        if not isinstance(got, result.Success):
            return result.Failure(self._unavailable(got.failure()))
        item = got.unwrap()
        if item is None:
            return result.Success(rules.RuleSet())
        return result.Success(rulebook.parse(item.value, item.mod_revision))

    def change(self, edit: Edit, expected: int | None = None
               ) -> result.Result[rules.RuleSet, errors.Problem]:
        """Apply edit to the stored rules; return the rules written."""
        for _ in range(TRIES):
            current = self.read()
            if not isinstance(current, result.Success):
                return current
            now = current.unwrap()
            if expected is not None and expected != now.revision:
                return result.Failure(errors.problem(
                    errors.STALE_REVISION, current=now.revision,
                    expected=expected))
            edited = edit(list(now.rules))
            if not isinstance(edited, result.Success):
                return result.Failure(edited.failure())
            value = rulebook.encode(edited.unwrap())
            swap = self.kv.cas(rulebook.KEY, now.revision, value)
            if isinstance(swap, result.Success):
                outcome = swap.unwrap()
                if outcome.succeeded:
                    return result.Success(self._accepted(
                        rules.RuleSet(outcome.revision,
                                      tuple(edited.unwrap()))))
                events.emit(events.RULES_CONFLICT, operator=self.operator,
                            revision=now.revision)
                continue
            failure = swap.failure()
            if not failure.maybe_applied:
                return result.Failure(self._unavailable(failure))
            # The reply was lost: the write may hold.  If the stored value
            # is ours, the change was accepted; otherwise try again.
            back = self.kv.get(rulebook.KEY).value_or(None)
            if back is not None and back.value == value:
                return result.Success(self._accepted(
                    rulebook.parse(back.value, back.mod_revision)))
        return result.Failure(errors.problem(
            errors.STORE_UNAVAILABLE, retry_after=RETRY_AFTER,
            detail="too many concurrent changes"))

    def _accepted(self, ruleset: rules.RuleSet) -> rules.RuleSet:
        events.emit(events.RULES_CHANGED, operator=self.operator,
                    revision=ruleset.revision, rules=ruleset.names())
        self.book.offer(ruleset)
        return ruleset

    @staticmethod
    def _unavailable(failure: kvclient.KvError) -> errors.Problem:
        return errors.problem(errors.STORE_UNAVAILABLE,
                              retry_after=RETRY_AFTER, detail=failure.status)


def add(rule: rules.Rule, position: int | None) -> Edit:
    """Return an edit that inserts rule at position (default: the end)."""
    def edit(current: list[rules.Rule]
             ) -> result.Result[list[rules.Rule], errors.Problem]:
        if any(r.name == rule.name for r in current):
            return result.Failure(errors.problem(errors.DUPLICATE_RULE,
                                                 name=rule.name))
        at = len(current) if position is None else position
        return result.Success(current[:at] + [rule] + current[at:])
    return edit


def retire(name: str) -> Edit:
    """Return an edit that removes the named rule."""
    def edit(current: list[rules.Rule]
             ) -> result.Result[list[rules.Rule], errors.Problem]:
        kept = [r for r in current if r.name != name]
        if len(kept) == len(current):
            return result.Failure(errors.problem(errors.UNKNOWN_RULE,
                                                 name=name))
        return result.Success(kept)
    return edit


def move(name: str, position: int) -> Edit:
    """Return an edit that moves the named rule to position."""
    def edit(current: list[rules.Rule]
             ) -> result.Result[list[rules.Rule], errors.Problem]:
        found = [r for r in current if r.name == name]
        if not found:
            return result.Failure(errors.problem(errors.UNKNOWN_RULE,
                                                 name=name))
        kept = [r for r in current if r.name != name]
        return result.Success(kept[:position] + found + kept[position:])
    return edit


def replace(new: list[rules.Rule]) -> Edit:
    """Return an edit that replaces the whole list."""
    def edit(current: list[rules.Rule]
             ) -> result.Result[list[rules.Rule], errors.Problem]:
        return result.Success(list(new))
    return edit
