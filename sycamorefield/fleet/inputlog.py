"""Log values of other programs that are replaced by a default.

A worker repeats its values in each report, hundreds of reports a second, so
each place is logged once, and the lines of a second are limited.
"""

import collections
import threading

from sycamorefield import events
from sycamorefield.fleet import clock

MAX_LINES_PER_S = 5
# Bounds the memory for the places that were logged.
MAX_PLACES = 4096
MAX_LOGGED_CHARS = 100


class InputLog:
    """Log each place of a bad value once, with the default used instead."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.places: collections.OrderedDict[str, None] = (
            collections.OrderedDict())
        self.second = 0
        self.lines = 0
        self.unlogged = 0

    def note(self, place: str, value: object, default: str) -> None:
        """Log that a default stands for a value, unless that is known."""
        with self.lock:
            if place in self.places:
                return
            self.places[place] = None
            if len(self.places) > MAX_PLACES:
                self.places.popitem(last=False)
            second = int(clock.now())
            if second != self.second:
                self.second, self.lines = second, 0
            self.lines += 1
            if self.lines > MAX_LINES_PER_S:
                self.unlogged += 1
                return
            unlogged, self.unlogged = self.unlogged, 0
        # A million digits take seconds to print.
        shown = (value[:MAX_LOGGED_CHARS] if isinstance(value, str)
                 else type(value).__name__ if isinstance(value, (dict, list))
                 else "large integer" if _is_long(value) else value)
        events.emit(events.INPUT_REPLACED, place=place[:2 * MAX_LOGGED_CHARS],
                    value=repr(shown)[:MAX_LOGGED_CHARS], default=default,
                    unlogged=unlogged)


def _is_long(value: object) -> bool:
    return isinstance(value, int) and value.bit_length() > 64


LOG = InputLog()


def note(place: str, value: object, default: str) -> None:
    """Log that a default stands for a value, once for each place."""
    LOG.note(place, value, default)
