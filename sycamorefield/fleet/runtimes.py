"""Predict the run times of finite tasks from those seen, by queue.

Callers declare an estimate with each step.  Some declare it well; of others
it is off by a factor of ten, and every decision based on it is then wrong:
jobs count as late that are not, and sound runs as stuck.  So an estimate has
as much weight as its error seen so far allows.
"""

import bisect
import collections
import math
import typing

from sycamorefield.fleet import messages

# Number of recent run times that count: enough for quantiles of run times that
# vary by a factor of two, and at some ends a second about a minute.
WINDOW = 200
# With fewer run times the declared estimate is used alone.
MIN_SAMPLES = 20
# The estimates of a queue are good while the quotient of run time and estimate
# scatters by less than this (standard deviation of its logarithm), and its
# median is as close to 1: the estimates are off by up to a half.
GOOD_ESTIMATE_ERROR = 0.4
# Shares whose quantiles stand for a distribution in its encoded form.
ENCODED_SHARES = tuple((2 * n + 1) / 40 for n in range(20))
# Bounds the memory and the size of the encoded form.  Further queues use the
# declared estimate.
MAX_QUEUES = 200
# A run that reports progress is extrapolated from this progress on: less is
# reported too coarsely.
MIN_PERCENT = 5
DEVIATION_SHARES = (0.16, 0.84)


class RecentValues:
    """The last WINDOW values, in order of time and of size.

    A percentile of an HDR histogram takes 12 ms in Python, too long for a
    placement round; of a sorted list of this size it takes a microsecond.
    """

    def __init__(self) -> None:
        self.recent: collections.deque[float] = collections.deque()
        self.ordered: list[float] = []

    def count(self) -> int:
        """Return how many values there are."""
        return len(self.recent)

    def add(self, value: float) -> None:
        """Add a positive value, and drop the oldest beyond WINDOW."""
        if len(self.recent) >= WINDOW:
            oldest = self.recent.popleft()
            del self.ordered[bisect.bisect_left(self.ordered, oldest)]
        self.recent.append(value)
        bisect.insort(self.ordered, value)

    def quantile(self, share: float) -> float:
        """Return the value that a share (0 to 1) of the values keep."""
        return _quantile(self.ordered, 0, share)

    def quantile_above(self, bound: float, share: float) -> float:
        """Return a quantile of the values above a bound; 0 if none is."""
        first = bisect.bisect_right(self.ordered, bound)
        if first >= len(self.ordered):
            return 0.0
        return _quantile(self.ordered, first, share)

    def deviation(self) -> float:
        """Return the standard deviation of the values' logarithm."""
        low, high = (self.quantile(share) for share in DEVIATION_SHARES)
        return math.log(high / low) / 2.0


def _quantile(ordered: list[float], first: int, share: float) -> float:
    """Return a quantile of ordered values from an index on."""
    index = first + int(share * (len(ordered) - first))
    return ordered[min(len(ordered) - 1, index)]


class QueueRunTimes:
    """Run times of the tasks of one queue, best-effort or not."""

    def __init__(self) -> None:
        self.run_s = RecentValues()
        # Quotients of run time and declared estimate.
        self.ratios = RecentValues()

    def record(self, step: messages.Step, run_s: float) -> None:
        """Record the run time of a task of a step."""
        self.run_s.add(run_s)
        if step.estimate_ms > 0:
            self.ratios.add(run_s * 1000.0 / step.estimate_ms)

    def estimate_weight(self) -> float | None:
        """Return the weight of the estimate, 0 to 1; None if it is good.

        Estimates that scatter about the run time as much as run times scatter
        about their median tell as much as the median does.
        """
        if self.run_s.count() < MIN_SAMPLES:
            return None
        if self.ratios.count() < MIN_SAMPLES:
            return 0.0
        error = self.ratios.deviation()
        bias = math.log(self.ratios.quantile(0.5))
        if error < GOOD_ESTIMATE_ERROR and abs(bias) < GOOD_ESTIMATE_ERROR:
            return None
        spread = self.run_s.deviation()
        total = spread * spread + error * error
        return spread * spread / total if total else 1.0

    def quantile_s(self, step: messages.Step, share: float) -> float:
        """Return a quantile of the run time of a step's tasks."""
        weight = self.estimate_weight()
        if weight is None:
            return step.estimate_ms / 1000.0
        from_times = self.run_s.quantile(share)
        if not weight or step.estimate_ms <= 0:
            return from_times
        from_estimate = (step.estimate_ms / 1000.0
                         * self.ratios.quantile(share))
        return math.exp(weight * math.log(from_estimate)
                        + (1.0 - weight) * math.log(from_times))


QueueKey = tuple[str, bool]


class RunTimeModel:
    """Run times of the tasks of each queue, in seconds.

    A model that is disabled returns the declared estimates.
    """

    def __init__(self, enabled: bool = True) -> None:
        self.enabled = enabled
        # By queue, and by whether the tasks are best-effort: these run on CPU
        # that others leave unused.
        self.queues: dict[QueueKey, QueueRunTimes] = {}

    def record(self, queue: str, step: messages.Step, run_s: float) -> None:
        """Record the run time of a task that succeeded at full pace."""
        key = (queue, step.fills)
        if not self.enabled or run_s <= 0.0:
            return
        if key not in self.queues and len(self.queues) >= MAX_QUEUES:
            return
        self.queues.setdefault(key, QueueRunTimes()).record(step, run_s)

    def expected_s(self, queue: str, step: messages.Step) -> float:
        """Return the median run time of a task, or 0 if nothing is known."""
        return self.quantile_s(queue, step, 0.5)

    def quantile_s(self, queue: str, step: messages.Step,
                   share: float) -> float:
        """Return the run time that a share (0 to 1) of the tasks keep."""
        known = self.queues.get((queue, step.fills))
        if known is None:
            return step.estimate_ms / 1000.0
        return known.quantile_s(step, share)

    def remaining_s(self, queue: str, step: messages.Step, elapsed_s: float,
                    percent: int) -> float:
        """Return how much longer a run in progress is expected to take."""
        if MIN_PERCENT <= percent <= 100 and elapsed_s > 0.0:
            return elapsed_s * (100 - percent) / percent
        known = self.queues.get((queue, step.fills))
        if known is None or known.run_s.count() < MIN_SAMPLES:
            return max(0.0, step.estimate_ms / 1000.0 - elapsed_s)
        if elapsed_s <= 0.0:
            return known.quantile_s(step, 0.5)
        total_s = known.run_s.quantile_above(elapsed_s, 0.5)
        # Longer than any run seen: as long again.
        return total_s - elapsed_s if total_s else elapsed_s

    def encode(self) -> dict[str, typing.Any]:
        """Return the model as values that JSON can represent."""
        return {
            f"{int(best_effort)}{queue}": [
                _encode_values(known.run_s), _encode_values(known.ratios)]
            for (queue, best_effort), known in self.queues.items()
            if known.run_s.count() >= MIN_SAMPLES}

    def decode(self, value: object) -> None:
        """Load an encoded model; raises ValueError if it is invalid."""
        if not self.enabled:
            return
        queues: dict[QueueKey, QueueRunTimes] = {}
        try:
            rows = dict(value)  # type: ignore[call-overload]
            for name, (run_s, ratios) in rows.items():
                known = QueueRunTimes()
                _decode_values(known.run_s, run_s)
                _decode_values(known.ratios, ratios)
                queues[str(name)[1:], str(name)[:1] == "1"] = known
        except (TypeError, AttributeError, OverflowError) as exc:
            raise ValueError(f"invalid run times: {exc!r}") from exc
        if len(queues) > MAX_QUEUES:
            raise ValueError(f"run times of {len(queues)} queues")
        self.queues.update(queues)


def _encode_values(values: RecentValues) -> list[float]:
    """Return quantiles that stand for the recorded values."""
    if values.count() < MIN_SAMPLES:
        return []
    return [round(values.quantile(share), 4) for share in ENCODED_SHARES]


def _decode_values(values: RecentValues, quantiles: list[float]) -> None:
    """Record encoded quantiles as if they were as many values."""
    if len(quantiles) not in (0, len(ENCODED_SHARES)):
        raise ValueError(f"{len(quantiles)} quantiles of run times")
    for quantile in quantiles:
        if not 0 < quantile < math.inf:
            raise ValueError(f"run time quantile {quantile!r}")
        values.add(quantile)
