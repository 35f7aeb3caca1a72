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

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import messages

# Number of recent run times that count: enough for quantiles of run times that
# vary by a factor of two.
WINDOW = 200
# Of a queue with more ends per second only each n-th is recorded, so that the
# window covers about ten seconds.  At 450 ends per second, WINDOW run times in
# a row would be those of about ten steps, each with one estimate.
MAX_RECORDS_PER_S = 20
# Predictions change at most this often: the critical path of each active job
# is computed again after a change.
UPDATE_PERIOD_S = 1.0
# Predictions stay as they are while they would change by less than this share.
NOTICEABLE_CHANGE = 0.05
# With fewer run times the declared estimate is used alone.
MIN_SAMPLES = 20
# The estimates of a queue are good while the quotient of run time and estimate
# scatters by less than this (standard deviation of its logarithm), and its
# median is as close to 1: the estimates are off by up to a half.
GOOD_ESTIMATE_ERROR = 0.4
# Estimates that were bad count as good again below this error, so that a queue
# near the limit does not change back and forth.
GOOD_AGAIN_ERROR = 0.3
# Minimum time between two log lines on the estimates of a queue.
EVENT_PERIOD_S = 10.0
# Bounds for stored and reported values; others are not used.  A longer task
# is no finite one, and a greater quotient says nothing of the estimate.
MAX_RUN_S = 1e6
MAX_RATIO = 1e6
# Shares whose quantiles stand for a distribution in its encoded form.
ENCODED_SHARES = tuple((2 * n + 1) / 40 for n in range(20))
# Bounds the memory.  Further queues use the declared estimate.
MAX_QUEUES = 200
# Keeps the encoded form below 30 KB; a queue takes about 300 bytes.
MAX_ENCODED_QUEUES = 80
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

    def mean(self) -> float:
        """Return the mean of the values."""
        return sum(self.ordered) / len(self.ordered)

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
    """Run times of the tasks of one queue, best-effort or not.

    Predictions are derived from the values at most each UPDATE_PERIOD_S.
    """

    def __init__(self) -> None:
        self.run_s = RecentValues()
        # Quotients of run time and declared estimate.
        self.ratios = RecentValues()
        # Whether the declared estimates are used as they are.
        self.trusted = True
        # Weight of the estimate in a prediction, 0 to 1.
        self.weight = 1.0
        self.median_s = 0.0
        self.median_ratio = 1.0
        # Quotient of the mean and the median of the run times.
        self.mean_factor = 1.0
        # Run times seen since the update, each n-th of which is recorded.
        self.seen = 0
        self.stride = 1
        self.updated_at = 0.0
        # What was last logged of the estimates, and when.
        self.logged_trusted = True
        self.logged_at = 0.0

    def record(self, step: messages.Step, run_s: float) -> None:
        """Record the run time of a task of a step."""
        self.seen += 1
        if self.run_s.count() >= MIN_SAMPLES and self.seen % self.stride:
            return
        self.run_s.add(run_s)
        if step.estimate_ms > 0:
            ratio = run_s / _declared_s(step)
            self.ratios.add(min(MAX_RATIO, max(1.0 / MAX_RATIO, ratio)))

    def update_due(self, now: float) -> bool:
        """Return whether predictions should be derived again."""
        return (self.run_s.count() >= MIN_SAMPLES
                and now - self.updated_at >= UPDATE_PERIOD_S)

    def update(self, now: float) -> bool:
        """Derive the predictions; return whether they have changed."""
        period_s = max(UPDATE_PERIOD_S, now - self.updated_at)
        self.stride = max(1, int(self.seen / period_s / MAX_RECORDS_PER_S))
        self.seen = 0
        self.updated_at = now
        were_trusted = self.trusted
        before = self.median_s, self.median_ratio, self.weight
        self._derive(were_trusted)
        if self.trusted or were_trusted:
            return self.trusted != were_trusted
        after = self.median_s, self.median_ratio, self.weight
        if all(math.isclose(old, new, rel_tol=NOTICEABLE_CHANGE)
               for old, new in zip(before, after)):
            self.median_s, self.median_ratio, self.weight = before
            return False
        return True

    def _derive(self, were_trusted: bool) -> None:
        """Derive the predictions from the recorded values.

        Estimates that scatter about the run time as much as run times scatter
        about their median tell as much as the median does.
        """
        spread = self.run_s.deviation()
        self.median_s = self.run_s.quantile(0.5)
        self.mean_factor = self.run_s.mean() / self.median_s
        if self.ratios.count() < MIN_SAMPLES:
            self.trusted, self.weight = False, 0.0
            return
        self.median_ratio = self.ratios.quantile(0.5)
        error = self.ratios.deviation()
        limit = GOOD_ESTIMATE_ERROR if were_trusted else GOOD_AGAIN_ERROR
        self.trusted = (error < limit
                        and abs(math.log(self.median_ratio)) < limit)
        total = spread * spread + error * error
        self.weight = spread * spread / total if total else 1.0

    def expected_ms(self, step: messages.Step) -> float:
        """Return the median run time of a step's tasks in milliseconds."""
        if self.trusted:
            return min(step.estimate_ms, MAX_RUN_S * 1000.0)
        return 1000.0 * self._weighted_s(step, self.median_s,
                                         self.median_ratio)

    def quantile_s(self, step: messages.Step, share: float) -> float:
        """Return a quantile of the run time of a step's tasks."""
        if self.trusted:
            return _declared_s(step)
        ratio = self.ratios.quantile(share) if self.weight else 1.0
        return self._weighted_s(step, self.run_s.quantile(share), ratio)

    def _weighted_s(self, step: messages.Step, from_times_s: float,
                    ratio: float) -> float:
        """Return the mean of both predictions, weighted in the logarithm."""
        if not self.weight or step.estimate_ms <= 0:
            return from_times_s
        return ((_declared_s(step) * ratio) ** self.weight
                * from_times_s ** (1.0 - self.weight))


QueueKey = tuple[str, bool]


class RunTimeModel:
    """Run times of the tasks of each queue, in seconds.

    A model that is disabled returns the declared estimates.
    """

    def __init__(self, enabled: bool = True,
                 now: typing.Callable[[], float] = lambda: clock.now()
                 ) -> None:
        self.enabled = enabled
        # Looked up in each call, so that a simulated clock is used, too.
        self.now = now
        # By queue, and by whether the tasks are best-effort: these run on CPU
        # that others leave unused.
        self.queues: dict[QueueKey, QueueRunTimes] = {}
        # Increases with each change of a queue's predictions; lets callers
        # keep what they derived from them.
        self.versions: dict[str, int] = {}
        # Numbers for metrics.
        self.recorded_total = 0
        self.distrusted_queues = 0

    def record(self, queue: str, step: messages.Step, run_s: float) -> None:
        """Record the run time of a task that succeeded at full pace."""
        key = (queue, step.fills)
        if not self.enabled or not 0.0 < run_s <= MAX_RUN_S:
            return
        known = self.queues.get(key)
        if known is None:
            if len(self.queues) >= MAX_QUEUES:
                return
            known = self.queues[key] = QueueRunTimes()
        known.record(step, run_s)
        self.recorded_total += 1
        now = self.now()
        if known.update_due(now):
            self._update(key, known, now)

    def _update(self, key: QueueKey, known: QueueRunTimes,
                now: float) -> None:
        """Derive a queue's predictions, and log if its estimates changed."""
        if known.update(now):
            self.versions[key[0]] = self.version(key[0]) + 1
        if (known.trusted == known.logged_trusted
                or now - known.logged_at < EVENT_PERIOD_S):
            return
        known.logged_trusted, known.logged_at = known.trusted, now
        self.distrusted_queues = sum(
            not other.logged_trusted for other in self.queues.values())
        events.emit(events.ESTIMATES_GOOD if known.trusted
                    else events.ESTIMATES_BAD, queue=key[0],
                    best_effort=key[1], median_s=round(known.median_s, 3),
                    median_ratio=round(known.median_ratio, 3),
                    weight=round(known.weight, 2))

    def version(self, queue: str) -> int:
        """Return a number that changes with the predictions of a queue.

        It is 0 as long as the declared estimates are used.
        """
        return self.versions.get(queue, 0)

    def trusts_estimate(self, queue: str, step: messages.Step) -> bool:
        """Return whether the declared estimate of a step is used as it is."""
        known = self.queues.get((queue, step.fills))
        return known is None or known.trusted

    def expected_ms(self, queue: str, step: messages.Step) -> float:
        """Return the median run time of a task in milliseconds.

        It is the declared estimate, unchanged, while estimates are trusted.
        """
        known = self.queues.get((queue, step.fills))
        if known is None:
            return min(step.estimate_ms, MAX_RUN_S * 1000.0)
        return known.expected_ms(step)

    def expected_s(self, queue: str, step: messages.Step) -> float:
        """Return the median run time of a task, or 0 if nothing is known."""
        return self.expected_ms(queue, step) / 1000.0

    def mean_s(self, queue: str, step: messages.Step) -> float:
        """Return the mean run time of a task, or 0 if nothing is known.

        The sum of many run times follows from their mean, which a few long
        ones raise well above the median.
        """
        known = self.queues.get((queue, step.fills))
        if known is None or known.trusted:
            return _declared_s(step)
        return known.expected_ms(step) / 1000.0 * known.mean_factor

    def quantile_s(self, queue: str, step: messages.Step,
                   share: float) -> float:
        """Return the run time that a share (0 to 1) of the tasks keep."""
        known = self.queues.get((queue, step.fills))
        if known is None:
            return _declared_s(step)
        return known.quantile_s(step, share)

    def remaining_s(self, queue: str, step: messages.Step, elapsed_s: float,
                    percent: int) -> float:
        """Return how much longer a run in progress is expected to take."""
        if MIN_PERCENT <= percent <= 100 and elapsed_s > 0.0:
            return elapsed_s * (100 - percent) / percent
        known = self.queues.get((queue, step.fills))
        if known is None or known.run_s.count() < MIN_SAMPLES:
            return max(0.0, _declared_s(step) - elapsed_s)
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
            for (queue, best_effort), known
            in list(self.queues.items())[:MAX_ENCODED_QUEUES]
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
                _decode_values(known.run_s, run_s, MAX_RUN_S)
                _decode_values(known.ratios, ratios, MAX_RATIO)
                queues[str(name)[1:], str(name)[:1] == "1"] = known
        except (TypeError, AttributeError, OverflowError) as exc:
            raise ValueError(f"invalid run times: {exc!r}") from exc
        if len(queues) > MAX_ENCODED_QUEUES:
            raise ValueError(f"run times of {len(queues)} queues")
        self.queues.update(queues)
        for key, known in queues.items():
            if known.run_s.count():
                self._update(key, known, self.now())


def _declared_s(step: messages.Step) -> float:
    """Return the declared estimate in seconds."""
    return min(step.estimate_ms, MAX_RUN_S * 1000.0) / 1000.0


def _encode_values(values: RecentValues) -> list[float]:
    """Return quantiles that stand for the recorded values."""
    if values.count() < MIN_SAMPLES:
        return []
    return [float(f"{values.quantile(share):.4g}") for share in ENCODED_SHARES]


def _decode_values(values: RecentValues, quantiles: list[float],
                   maximum: float) -> None:
    """Record encoded quantiles as if they were as many values."""
    if len(quantiles) not in (0, len(ENCODED_SHARES)):
        raise ValueError(f"{len(quantiles)} quantiles of run times")
    for quantile in quantiles:
        if not 0 < quantile <= maximum:
            raise ValueError(f"run time quantile {quantile!r}")
        values.add(float(quantile))
