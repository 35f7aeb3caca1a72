"""Count the terms of owners that a job has lived through.

A crash that an owner has not stored before its term ends is unknown to its
successors.  A job can have lost as many crashes of a task in this way as
there were changes of the owner since its creation.
"""

import json

import msgspec

from sycamorefield import events
from sycamorefield.fleet import messages
from sycamorefield.fleet import records

# The number of terms that are remembered.
MAX_TERMS = 16


class OwnerTerms:
    """Hold the fences of the present term and of the last ones before it."""

    def __init__(self, fence: int) -> None:
        self.fences = [fence]
        # The stored value, or None if it is not known.
        self.stored: bytes | None = None

    def load(self, item: messages.Item | None) -> None:
        """Add the fences of earlier terms as stored; log unreadable ones."""
        if item is None:
            return
        try:
            fences = msgspec.convert(json.loads(item.value), list[int])
        except (ValueError, RecursionError) as exc:
            events.emit(events.RECORD_UNREADABLE, key=records.TERMS_KEY,
                        reason=repr(exc)[:200])
            return
        present = self.fences[-1]
        earlier = sorted({fence for fence in fences if fence < present})
        self.fences = (earlier + [present])[-MAX_TERMS:]

    def encode(self) -> bytes:
        """Return the value to be stored."""
        return json.dumps(self.fences).encode()

    def changes_since(self, created_revision: int) -> int:
        """Return how often the owner changed after a job's creation."""
        return sum(created_revision <= fence for fence in self.fences)
