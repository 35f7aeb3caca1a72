"""Follow waves and bursts of the CPU that arriving finite tasks need.

The mean of arrivals over half a minute hides waves of 17 s and bursts of 3 s:
while demand rises, long-running tasks take capacity that urgent tasks need
some seconds later, and stay for minutes.  Where the recent peak of arrivals
differs clearly from their mean, they are extrapolated.
"""

import collections
import itertools
import typing

from sycamorefield import events

# Two periods of a wave of 17 s and some more.
WINDOW_S = 40
# With less history, a peak and the mean can't be told apart.
MIN_HISTORY_S = 10
# Arrivals are averaged over this time for the peak: the length of a burst.
PEAK_S = 3
# The peak must exceed the mean by this factor, and by this many standard
# deviations of the CPU that constant arrivals would use.  Averages over PEAK_S
# of tasks that run for a second scatter by half as much, so 1.5 is about
# three of theirs.
MIN_PEAK_RATIO = 1.3
MIN_PEAK_DEVIATIONS = 1.5
# The slope of the last seconds is extrapolated by AHEAD_S, measured from now.
SLOPE_S = 6
AHEAD_S = 2.0
MAX_PRIORITIES = 20


class RecentPeak:
    """The CPU time of finite tasks that arrived, by priority and second.

    Times are in seconds on clock.now(), CPU in thousandths of a core.
    """

    def __init__(self, enabled: bool = True) -> None:
        self.enabled = enabled
        # Seconds count from the origin; those of a predecessor are negative.
        self.arrived: dict[int, collections.Counter[int]] = {}
        self.origin: float | None = None
        self.last_second = 0
        # Priorities for which the extrapolation decides what is kept.
        self.acting: set[int] = set()

    def add(self, priority: int, cpu_s: float, now: float) -> None:
        """Record tasks that arrived, with the CPU time that they need."""
        if not self.enabled:
            return
        if self.origin is None:
            self.origin = now
        if (priority not in self.arrived
                and len(self.arrived) >= MAX_PRIORITIES):
            return
        second = int(now - self.origin)
        self.arrived.setdefault(
            priority, collections.Counter())[second] += round(cpu_s)
        if second != self.last_second:
            self.last_second = second
            for seconds in self.arrived.values():
                for old in [s for s in seconds if s < second - WINDOW_S]:
                    del seconds[old]

    def kept_cpu(self, priority: int, deviation_cpu: float,
                 now: float) -> float:
        """Return the CPU to keep for finite tasks of at least a priority.

        deviation_cpu is the standard deviation of what constant arrivals
        would use.  0 if the peak is not clearly above what that explains.
        """
        if self.origin is None or not self.arrived:
            return 0.0
        second = int(now - self.origin)
        known = [seconds for p, seconds in self.arrived.items()
                 if p <= priority]
        first = max(second - WINDOW_S, min(
            (min(seconds, default=second) for seconds in known),
            default=second))
        if second - first < MIN_HISTORY_S:
            return 0.0
        values = [sum(seconds[s] for seconds in known)
                  for s in range(first, second)]
        mean = sum(values) / len(values)
        peak = _peak(values)
        if peak < max(MIN_PEAK_RATIO * mean,
                      mean + MIN_PEAK_DEVIATIONS * deviation_cpu):
            return 0.0
        # The last whole second was centred half a second before it ended.
        ahead_s = now - self.origin - second + 0.5 + AHEAD_S
        ahead_cpu = _extrapolate(values[-SLOPE_S:], ahead_s)
        # Single wide steps make a slope steep; the peak bounds it.
        return max(0.0, min(peak, ahead_cpu) + deviation_cpu)

    def note_acting(self, priority: int, expected_cpu: float,
                    ahead_cpu: float) -> None:
        """Log when the extrapolation begins or ceases to decide."""
        if (priority in self.acting) == (ahead_cpu > expected_cpu):
            return
        self.acting ^= {priority}
        events.emit(events.RECENT_PEAK, priority=priority,
                    acting=priority in self.acting,
                    expected_cores=round(expected_cpu / 1000.0, 1),
                    ahead_cores=round(ahead_cpu / 1000.0, 1))

    def encode(self) -> dict[str, typing.Any]:
        """Return the state as values that JSON can represent.

        Times are ages at the last arrival, as clocks of processes differ.
        """
        return {str(priority): [[self.last_second - second, cpu_s]
                                for second, cpu_s in sorted(seconds.items())]
                for priority, seconds in self.arrived.items()}

    def decode(self, value: object) -> None:
        """Load an encoded state; raises ValueError if it is invalid.

        Its last arrival counts as just before the next one.  Do nothing if
        there have been arrivals already.
        """
        if not self.enabled or self.origin is not None:
            return
        arrived: dict[int, collections.Counter[int]] = {}
        try:
            rows = dict(value)  # type: ignore[call-overload]
            for priority, seconds in rows.items():
                arrived[int(priority)] = _decode_seconds(seconds)
        except (TypeError, AttributeError, OverflowError) as exc:
            raise ValueError(f"invalid recent peak: {exc!r}") from exc
        if len(arrived) > MAX_PRIORITIES:
            raise ValueError(f"recent peaks of {len(arrived)} priorities")
        self.arrived = arrived


def _peak(values: list[int]) -> float:
    """Return the largest average over PEAK_S seconds."""
    sums = [0, *itertools.accumulate(values)]
    return max(b - a for a, b in zip(sums, sums[PEAK_S:])) / PEAK_S


def _extrapolate(values: list[int], ahead_s: float) -> float:
    """Return the line through values of successive seconds, later on."""
    mean_at = (len(values) - 1) / 2.0
    mean = sum(values) / len(values)
    slope = (sum((at - mean_at) * value for at, value in enumerate(values))
             / sum((at - mean_at) ** 2 for at in range(len(values))))
    return mean + slope * (mean_at + ahead_s)


def _decode_seconds(rows: list[list[float]]) -> collections.Counter[int]:
    seconds: collections.Counter[int] = collections.Counter()
    for age, cpu_s in rows:
        if not (0 <= age <= WINDOW_S and 0 <= cpu_s < float("inf")):
            raise ValueError(f"recent peak {cpu_s!r} {age!r} s ago")
        seconds[-1 - int(age)] += int(cpu_s)
    return seconds
