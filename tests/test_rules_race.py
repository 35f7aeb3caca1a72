"""Test that accepted rule changes apply everywhere and never revert.

In a hypothesis state machine, two operators edit the rules concurrently
through two entry processes while the store goes down and loses replies, and
each entry process follows the store.  To show that the machine finds lost
changes, it is also run against a naive admin without compare-and-swap.
"""

import threading

from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest
from returns import result

from sycamorefield import ruleadmin
from sycamorefield import rulecache
from sycamorefield import rules
from tests import standins

RULE_NAMES = strategies.sampled_from(["a", "b", "c", "d", "e"])
HYPOTHESIS_SETTINGS = settings(max_examples=25, stateful_step_count=10,
                               deadline=None, derandomize=True, database=None)
BARRIER_TIMEOUT_S = 2.0


class RacingAdmin(ruleadmin.RuleAdmin):
    """Wait once for the other operator between reading and writing."""

    barrier: threading.Barrier | None = None

    def read(self):
        current = super().read()
        barrier, self.barrier = self.barrier, None
        if barrier is not None:
            barrier.wait(BARRIER_TIMEOUT_S)
        return current


class NaiveAdmin(RacingAdmin):
    """Write the edited list without compare-and-swap: the last writer wins."""

    def apply_edit(self, edit, expected=None):
        stored = self.read()
        if not isinstance(stored, result.Success):
            return stored
        edited = edit(list(stored.unwrap().rules))
        if not isinstance(edited, result.Success):
            return edited
        revision = self.kv.put(rulecache.RULES_KEY,
                               rulecache.encode(edited.unwrap()))
        if not isinstance(revision, result.Success):
            return result.Failure(self._unavailable(revision.failure()))
        return result.Success(self._publish(
            rules.RuleSet(revision.unwrap(), tuple(edited.unwrap()))))


class RuleRaceMachine(standins.StoreFaults):
    """Let operators race amid faults; follow the store in two caches."""

    admin = RacingAdmin
    kv: standins.Kv

    def __init__(self):
        super().__init__()
        self.kv.store.items.clear()
        self.kv.faults()
        self.rule_caches = [rulecache.RuleCache(self.kv.client, 0.1)
                            for _ in range(2)]
        self.admins = [self.admin(self.kv.client, rule_cache, f"op-{n}")
                       for n, rule_cache in enumerate(self.rule_caches)]
        self.last_revisions = [0, 0]
        self.accepted_names: set[str] = set()

    def _add(self, admin, name):
        rule = rules.Rule(name, rules.Condition(), rules.Action())
        answer = admin.apply_edit(ruleadmin.add(rule, 0))
        if isinstance(answer, result.Success):
            self.accepted_names.add(name)

    @stateful.rule(first=RULE_NAMES, second=RULE_NAMES)
    def operators_race(self, first, second):
        barrier = threading.Barrier(2)
        for admin in self.admins:
            admin.barrier = barrier
        threads = [threading.Thread(target=self._add, args=(admin, name))
                   for admin, name in zip(self.admins, (first, second))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    @stateful.rule(name=RULE_NAMES)
    def retire(self, name):
        answer = self.admins[0].apply_edit(ruleadmin.retire(name))
        if isinstance(answer, result.Success):
            self.accepted_names.discard(name)

    @stateful.invariant()
    def revisions_only_move_forward(self):
        for index, rule_cache in enumerate(self.rule_caches):
            rule_cache.poll()
            assert rule_cache.current.revision >= self.last_revisions[index]
            self.last_revisions[index] = rule_cache.current.revision

    @stateful.invariant()
    def accepted_changes_stay(self):
        faults = self.kv.store.faults
        self.kv.faults()
        for rule_cache in self.rule_caches:
            assert rule_cache.poll()
            assert self.accepted_names <= set(rule_cache.current.names()), (
                self.accepted_names, rule_cache.current.names())
        self.kv.store.faults = faults


@pytest.fixture(scope="module")
def kv():
    stand_in = standins.Kv()
    RuleRaceMachine.kv = stand_in
    yield stand_in
    stand_in.close()


def test_accepted_changes_never_revert(kv):
    """Check that no accepted change is lost.

    Two operators read the rules at once, and both edit and write them.
    Without compare-and-swap on the revision, the second write would
    overwrite the first operator's accepted rule.  With it, the second
    operator's edit is retried.
    """
    stateful.run_state_machine_as_test(
        RuleRaceMachine, settings=HYPOTHESIS_SETTINGS)


def test_naive_admin_loses_an_accepted_change(kv):
    """Check that the machine finds a change lost by the naive admin."""
    naive = type("Naive", (RuleRaceMachine,), {"admin": NaiveAdmin})
    generate_only = settings(HYPOTHESIS_SETTINGS, phases=[Phase.generate])
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(naive, settings=generate_only)
