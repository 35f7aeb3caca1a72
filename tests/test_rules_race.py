"""Keep accepted rule changes: in force everywhere, never reverted.

A hypothesis state machine lets two operators race on the rules through
two entry processes' admin paths while the store goes down and loses
replies; each entry process follows the store.  A naive admin that writes
without compare-and-swap loses an accepted change in the same race.
"""

import threading

from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest
from returns import result

from sycamorefield import ruleadmin
from sycamorefield import rulebook
from sycamorefield import rules
from tests import standins

NAMES = strategies.sampled_from(["a", "b", "c", "d", "e"])
SETTINGS = settings(max_examples=25, stateful_step_count=10, deadline=None,
                    derandomize=True, database=None)
BARRIER_SECONDS = 2.0


class RacingAdmin(ruleadmin.RuleAdmin):
    """Meet the other operator between reading and writing, once."""

    barrier: threading.Barrier | None = None

    def read(self):
        current = super().read()
        barrier, self.barrier = self.barrier, None
        if barrier is not None:
            barrier.wait(BARRIER_SECONDS)
        return current


class NaiveAdmin(RacingAdmin):
    """Write the edited list blindly, last writer wins."""

    def change(self, edit, expected=None):
        now = self.read()
        if not isinstance(now, result.Success):
            return now
        edited = edit(list(now.unwrap().rules))
        if not isinstance(edited, result.Success):
            return edited
        revision = self.kv.put(rulebook.KEY,
                               rulebook.encode(edited.unwrap()))
        if not isinstance(revision, result.Success):
            return result.Failure(self._unavailable(revision.failure()))
        return result.Success(self._accepted(
            rules.RuleSet(revision.unwrap(), tuple(edited.unwrap()))))


class NeverReverts(standins.StoreFaults):
    """Race operators and faults; follow the store from two processes."""

    admin = RacingAdmin
    kv: standins.Kv

    def __init__(self):
        super().__init__()
        self.kv.store.items.clear()
        self.kv.faults()
        self.books = [rulebook.Rulebook(self.kv.client, 0.1)
                      for _ in range(2)]
        self.admins = [self.admin(self.kv.client, book, f"op-{n}")
                       for n, book in enumerate(self.books)]
        self.seen = [0, 0]
        self.kept: set[str] = set()

    def _add(self, admin, name):
        rule = rules.Rule(name, rules.Condition(), rules.Action())
        answer = admin.change(ruleadmin.add(rule, 0))
        if isinstance(answer, result.Success):
            self.kept.add(name)

    @stateful.rule(first=NAMES, second=NAMES)
    def operators_race(self, first, second):
        barrier = threading.Barrier(2)
        for admin in self.admins:
            admin.barrier = barrier
        racers = [threading.Thread(target=self._add, args=(admin, name))
                  for admin, name in zip(self.admins, (first, second))]
        for racer in racers:
            racer.start()
        for racer in racers:
            racer.join()

    @stateful.rule(name=NAMES)
    def retire(self, name):
        answer = self.admins[0].change(ruleadmin.retire(name))
        if isinstance(answer, result.Success):
            self.kept.discard(name)

    @stateful.invariant()
    def revisions_only_move_forward(self):
        for index, book in enumerate(self.books):
            book.poll()
            assert book.current.revision >= self.seen[index]
            self.seen[index] = book.current.revision

    @stateful.invariant()
    def accepted_changes_stay(self):
        faults = self.kv.store.faults
        self.kv.faults()
        for book in self.books:
            assert book.poll()
            assert self.kept <= set(book.current.names()), (
                self.kept, book.current.names())
        self.kv.store.faults = faults


@pytest.fixture(scope="module")
def kv():
    stand_in = standins.Kv()
    NeverReverts.kv = stand_in
    yield stand_in
    stand_in.close()


def test_accepted_changes_never_revert(kv):
    """Keep every accepted change through operator races and faults.

    Symptom: an operator's accepted rule is gone a moment later.

    Sequence: two operators read the rules at once; both edit; both write.

    Cause guarded against: a blind write of the second edit over the
    first; compare-and-swap on the revision turns it into a retry.
    """
    stateful.run_state_machine_as_test(NeverReverts, settings=SETTINGS)


def test_naive_admin_loses_a_change(kv):
    """Show that blind writes lose an accepted change in the same race."""
    naive = type("Naive", (NeverReverts,), {"admin": NaiveAdmin})
    finding = settings(SETTINGS, phases=[Phase.generate])
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(naive, settings=finding)
