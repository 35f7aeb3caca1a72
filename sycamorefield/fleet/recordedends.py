"""Track which ends of runs a worker may forget, as they are stored."""

import typing


class LifeEnds(typing.NamedTuple):
    """The number of an end of a run, and when the life that counts it began.

    A worker that starts again under its ID numbers its ends from 1, so a
    number means nothing without the life.  born_ms is in ms since 1970 (0:
    the worker does not say).
    """

    born_ms: int
    number: int


NO_ENDS = LifeEnds(0, 0)


class RecordedEnds:
    """Hold the highest stored end of a worker and the life that reports.

    store() is called by the thread that writes to the store, the other methods
    by the one that renews the worker's leases.
    """

    def __init__(self) -> None:
        self.stored = NO_ENDS
        # What a life has forgotten for certain, as it answered a call.
        self.forgotten = NO_ENDS
        # The life that gave the last report.
        self.reporting_born_ms = 0

    def store(self, ends: LifeEnds) -> bool:
        """Note that ends are stored; return whether any are new."""
        if (ends.born_ms == self.stored.born_ms
                and ends.number <= self.stored.number):
            return False
        self.stored = ends
        return True

    def note_report(self, born_ms: int) -> None:
        """Note which life of the worker reports."""
        self.reporting_born_ms = born_ms

    def note_forgotten(self, ends: LifeEnds) -> None:
        """Note that a life has answered a call to forget ends."""
        if ends.number:
            self.forgotten = ends

    def acknowledged_number(self) -> int:
        """Return the number up to which the reporting life may forget ends.

        It is 0 if there are none that it has not forgotten: a later life that
        carries the call out would forget ends of its own.
        """
        stored = self.stored
        if (stored.born_ms != self.reporting_born_ms
                or stored == self.forgotten):
            return 0
        return stored.number
