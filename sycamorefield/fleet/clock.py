"""Read the clocks that leases and due times are measured with."""

import time


def now() -> float:
    """Return seconds on a clock that goes on while the VM is suspended.

    The monotonic clock stands still while a VM is suspended.  A process that
    measured its lease with it would believe, after waking, that it still owns
    the workers; the boot-time clock counts the suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> float:
    """Return the time of day in milliseconds since 1970."""
    return time.time() * 1000.0
