"""Remove final states of jobs from the store once nobody may ask for them."""

import collections
import threading

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import records
from sycamorefield.fleet import state as state_mod

# How long a final state must be readable if settings don't state it.
DEFAULT_STATUS_S = 120.0
# A final state is kept for this many times as long, because callers measure
# the time on their own clocks and may repeat calls.
KEEP_FACTOR = 2.0
# It is kept at least this long, as a write without an answer that would store
# its job again may be executed seconds later.
MIN_KEEP_S = 60.0
# Pause between two calls, so that this takes at most ten calls a second.
CALL_PAUSE_S = 0.1
FAILURE_PAUSE_S = 2.0
# Time between two passes over all final states.
PASS_PERIOD_S = 30.0
# A condition and a removal each, beside the condition for the fence.
REMOVALS_PER_COMMIT = 15


class StateRemoval:
    """Remove old final states during a term, page by page.

    The age of a state is judged by revisions: one that was written at or
    before the revision that the store had keep_s ago is older than that.  So
    nothing is removed in the first keep_s of a term, and neither the time of
    day nor the clocks of earlier owners matter.
    """

    def __init__(self, store: interfaces.Store, fleet: state_mod.FleetState,
                 owner_key: str, status_s: float) -> None:
        self.store = store
        self.fleet = fleet
        self.owner_key = owner_key
        self.keep_s = max(MIN_KEEP_S, status_s * KEEP_FACTOR)
        # Times, and a revision that the store had reached by then.
        self.marks = collections.deque([(clock.now(), fleet.fence)])
        # States written up to this revision may be removed.
        self.removable_revision = 0
        # The last key of the page that was read last in this pass.
        self.after = ""
        self.due: list[messages.Item] = []
        self.removed = 0
        self.fenced = False

    def run(self, stopped: threading.Event) -> None:
        """Remove states until stopped or until ownership is lost."""
        pause_s = 0.0
        while not stopped.wait(pause_s) and not self.fenced:
            try:
                pause_s = self.step()
            except interfaces.CallFailed as exc:
                events.emit(events.STORE_UNREACHABLE,
                            reason=f"removal of final states: {exc}")
                pause_s = FAILURE_PAUSE_S

    def step(self) -> float:
        """Make one call; return how long to pause.  Raises CallFailed."""
        if self.due:
            self._remove(self.due[:REMOVALS_PER_COMMIT])
            del self.due[:REMOVALS_PER_COMMIT]
        else:
            page = self.store.stale_page(records.FINAL_PREFIX, self.after)
            self._note_revision(page.revision, clock.now())
            self.due = self._find_removable(page.items)
            self.after = (page.items[-1].key if page.has_more
                          and self.removable_revision else "")
        return CALL_PAUSE_S if self.due or self.after else self._end_pass()

    def _end_pass(self) -> float:
        if self.removed:
            events.emit(events.FINAL_STATES_REMOVED, count=self.removed)
            self.removed = 0
        return PASS_PERIOD_S

    def _note_revision(self, revision: int, now: float) -> None:
        """Note that the store has reached a revision."""
        while self.marks and now - self.marks[0][0] >= self.keep_s:
            self.removable_revision = max(
                self.removable_revision, self.marks.popleft()[1])
        if not self.marks or now - self.marks[-1][0] >= PASS_PERIOD_S / 2:
            self.marks.append((now, revision))

    def _find_removable(self, items: tuple[messages.Item, ...]
                        ) -> list[messages.Item]:
        """Return the states that may be removed.

        While the owner knows a job, it ignores another one under its ID.
        """
        with self.fleet.lock:
            return [item for item in items
                    if item.revision <= self.removable_revision
                    and item.key[len(records.FINAL_PREFIX):]
                    not in self.fleet.jobs]

    def _remove(self, items: list[messages.Item]) -> None:
        """Remove states, unless one has changed or ownership is lost.

        What is left is found again by the next pass.
        """
        expects = [messages.Expect(self.owner_key, self.fleet.fence)]
        expects += [messages.Expect(item.key, item.revision)
                    for item in items]
        try:
            self.store.commit(messages.Transaction(
                tuple(expects), removes=tuple(item.key for item in items)))
            self.removed += len(items)
        except interfaces.Conflict as exc:
            owner = exc.item_for(self.owner_key)
            self.fenced = owner is None or owner.revision != self.fleet.fence
