"""Keep capacity for the recent peak of the CPU that finite tasks use.

The mean of arrivals over half a minute hides waves of 17 s and bursts of 3 s:
at their peak, urgent tasks wait behind long-running tasks that stay for
minutes.  Capacity is kept for the peak only where it differs clearly from
what the mean and the scatter of arrivals explain.
"""

import collections
import itertools
import typing

from sycamorefield import events
from sycamorefield.fleet import workerstate

# How often the CPU in use is added up.  Bursts of 3 s contain several samples.
SAMPLE_PERIOD_S = 0.25
# Two periods of a wave of 17 s and some more.
WINDOW_S = 40.0
# For one period of a wave a peak counts in full; then it fades until it leaves
# the window, so that a burst that does not return is forgotten.
FULL_WEIGHT_S = 20.0
# With less history, the peak of a burst and the mean can't be told apart.
MIN_HISTORY_S = 10.0
# The peak counts only beyond this multiple of the mean, and beyond this many
# standard deviations of what constant arrivals would use: the peak of these in
# 40 s is about 2.2 of them above the mean.
MIN_PEAK_RATIO = 1.3
MIN_PEAK_DEVIATIONS = 3.0
# More samples than this are not accepted from an encoded state.
MAX_PRIORITIES = 20
BUCKETS = int(WINDOW_S)


class Usage:
    """CPU in use in the last seconds: peak and sum of each second."""

    def __init__(self) -> None:
        # [second, peak, sum, count]; seconds count up from any origin.
        self.buckets: collections.deque[list[float]] = collections.deque()

    def add(self, second: int, cpu: float) -> None:
        """Add a sample."""
        if not self.buckets or self.buckets[-1][0] < second:
            self.buckets.append([second, cpu, cpu, 1])
        else:
            bucket = self.buckets[-1]
            bucket[1] = max(bucket[1], cpu)
            bucket[2] += cpu
            bucket[3] += 1
        while self.buckets[0][0] <= second - BUCKETS:
            self.buckets.popleft()

    def peak(self, second: float) -> float:
        """Return the weighted peak."""
        return max((cpu * _weight(second - at)
                    for at, cpu, _, _ in self.buckets), default=0.0)

    def mean(self) -> float:
        """Return the mean of all samples."""
        count = sum(bucket[3] for bucket in self.buckets)
        return sum(b[2] for b in self.buckets) / count if count else 0.0


def _weight(age_s: float) -> float:
    return min(1.0, max(0.0, (WINDOW_S - age_s) / (WINDOW_S - FULL_WEIGHT_S)))


class RecentPeak:
    """The recent peak of the CPU in use by finite tasks, by priority.

    Times are in seconds on clock.now().  A peak that is disabled keeps
    nothing.
    """

    def __init__(self, enabled: bool = True) -> None:
        self.enabled = enabled
        # By priority: the use of all finite tasks at least as urgent.
        self.usages: dict[int, Usage] = {}
        self.sampled_at = 0.0
        # Time of the origin of the seconds in the buckets, or None before
        # the first sample.
        self.origin: float | None = None
        # Priorities for which the peak decides what is kept.
        self.acting: set[int] = set()

    def sample(self, workers: typing.Iterable[workerstate.WorkerState],
               now: float) -> None:
        """Record the CPU in use if SAMPLE_PERIOD_S has passed."""
        if not self.enabled or (self.origin is not None
                                and now - self.sampled_at < SAMPLE_PERIOD_S):
            return
        if self.origin is None:
            self.origin = now
        self.sampled_at = now
        totals: collections.Counter[int] = collections.Counter()
        for worker in workers:
            for priority, cpu in worker.finite_cpu.items():
                totals[priority] += cpu
        priorities = sorted({*totals, *self.usages})[:MAX_PRIORITIES]
        in_use = itertools.accumulate(totals[p] for p in priorities)
        for priority, cpu in zip(priorities, in_use):
            self.usages.setdefault(priority, Usage()).add(
                int(now - self.origin), cpu)

    def note_acting(self, priority: int, expected_cpu: float,
                    peak_cpu: float) -> None:
        """Log when the peak begins or ceases to decide what is kept."""
        if (priority in self.acting) == (peak_cpu > expected_cpu):
            return
        self.acting ^= {priority}
        events.emit(events.RECENT_PEAK, priority=priority,
                    acting=priority in self.acting,
                    expected_cores=round(expected_cpu / 1000.0, 1),
                    peak_cores=round(peak_cpu / 1000.0, 1))

    def kept_cpu(self, priority: int, deviation_cpu: float,
                 now: float) -> float:
        """Return the CPU to keep for finite tasks of at least a priority.

        In thousandths of a core; 0 if the peak is not clearly above what
        arrivals with this standard deviation explain.
        """
        known = [p for p in self.usages if p <= priority]
        if not known or self.origin is None:
            return 0.0
        usage = self.usages[max(known)]
        if (not usage.buckets or usage.buckets[-1][0] - usage.buckets[0][0]
                < MIN_HISTORY_S):
            return 0.0
        peak = usage.peak(now - self.origin)
        mean = usage.mean()
        return peak if peak >= max(
            MIN_PEAK_RATIO * mean,
            mean + MIN_PEAK_DEVIATIONS * deviation_cpu) else 0.0

    def encode(self) -> dict[str, typing.Any]:
        """Return the state as values that JSON can represent.

        Times are ages at the last sample, as clocks of processes differ.
        """
        if self.origin is None:
            return {}
        last = int(self.sampled_at - self.origin)
        return {str(priority): [[last - at, peak, round(total / count)]
                                for at, peak, total, count in usage.buckets]
                for priority, usage in self.usages.items()}

    def decode(self, value: object) -> None:
        """Load an encoded state; raises ValueError if it is invalid.

        Its last sample counts as taken when the next one is.
        """
        if not self.enabled or self.origin is not None:
            return
        usages: dict[int, Usage] = {}
        try:
            rows = dict(value)  # type: ignore[call-overload]
            for priority, buckets in rows.items():
                usages[int(priority)] = _decode_usage(buckets)
        except (TypeError, AttributeError, OverflowError) as exc:
            raise ValueError(f"invalid recent peak: {exc!r}") from exc
        if len(usages) > MAX_PRIORITIES:
            raise ValueError(f"recent peaks of {len(usages)} priorities")
        self.usages = usages


def _decode_usage(buckets: list[list[float]]) -> Usage:
    """Return usage with seconds counted from the last sample (0) back."""
    usage = Usage()
    for age, peak, mean in buckets:
        if not (0 <= age < BUCKETS and 0 <= mean <= peak < float("inf")):
            raise ValueError(f"recent peak {peak!r} {age!r} s ago")
        if usage.buckets and -age <= usage.buckets[-1][0]:
            raise ValueError("recent peaks out of order")
        usage.buckets.append([-int(age), peak, mean, 1])
    return usage
