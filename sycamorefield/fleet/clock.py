"""Clocks for leases and for the due times of jobs."""

import time


def now() -> float:
    """Return seconds on a clock that includes time spent suspended.

    The monotonic clock stops while the VM is suspended.  A process that used
    it for its lease would still believe after resuming that it owns the
    workers.  The boot-time clock counts the suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> float:
    """Return the time of day in milliseconds since 1970."""
    return time.time() * 1000.0
