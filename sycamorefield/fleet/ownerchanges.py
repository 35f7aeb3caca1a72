"""Remember when the owner of the fleet changed, as this process learned it."""

import collections
import math

# Older changes are forgotten; owners change at most every two seconds.
MAX_CHANGES = 64


class OwnerChanges:
    """Hold the last changes of the owner's key.

    Times are seconds on clock.now().
    """

    def __init__(self) -> None:
        # The revision of each change, and a time before which it was not
        # known.
        self.changes: collections.deque[tuple[int, float]] = (
            collections.deque(maxlen=MAX_CHANGES))
        # The revisions of the key that were seen, and when each one was.
        self.seen: collections.deque[tuple[int, float]] = (
            collections.deque(maxlen=MAX_CHANGES))

    def add(self, revision: int, at: float) -> None:
        """Record a change at a revision of the store."""
        if not self.changes or revision > self.changes[-1][0]:
            self.changes.append((revision, at))

    def add_seen(self, revision: int, now: float) -> None:
        """Record that a change at a revision of the store is seen now."""
        if not self.seen or revision > self.seen[-1][0]:
            self.seen.append((revision, now))

    def seen_at(self, revision: int) -> float:
        """Return a time at which the store certainly had a revision.

        It is infinite if no change at this revision or a later one was seen.
        """
        return next((at for seen, at in list(self.seen) if seen >= revision),
                    math.inf)

    def first_after(self, revision: int) -> float:
        """Return when the first change after a revision became known.

        It is infinite if no such change is known.
        """
        return next((at for changed, at in self.changes
                     if changed > revision), math.inf)
