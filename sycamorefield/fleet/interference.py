"""Learn which best-effort images slow which serving images, and how much.

A serving task behaves like a queue: its tail latency is a base of its image
divided by (1 - utilisation).  Utilisation is the task's own load plus what
the best-effort runs on its worker add.  The same addition hardly shows at low
load and multiplies the tail latency at high load.  All tasks of a step share
one load, so the least disturbed of them shows the load, and the excess of
another one is the disturbance on its worker.
"""

import collections
import dataclasses
import json
import math
import typing

from sycamorefield.fleet import loadswings
from sycamorefield.fleet import messages
from sycamorefield.fleet import weights

# A task of a step: the id of its worker and its number in the step.
StepMember = tuple[str, int]

# The load assumed for serving tasks at their lowest tail latency.
MIN_LOAD = 0.2
# The lowest tail latency of an image is estimated as roughly the first
# percentile: the estimate falls by 2% at a sample below it and rises by a
# hundredth of that at one above, so that a single outlier doesn't set it.
LOWEST_TAIL_DECREASE = 0.02
LOWEST_TAIL_INCREASE = 0.0002
# A sample of a task counts towards the load of its step for this long.
MAX_SAMPLE_AGE_S = 1.0
# The load of a step is known with current samples of this many tasks.
MIN_TASKS_FOR_LOAD = 3
# The remembered peak load of a step decays by this much per second.
PEAK_DECAY_PER_S = 0.01
# The highest rise of a load during a best-effort run of 2 to 3 s.  A load that
# swings by 0.45 with a period of 14 s rises by at most 0.1 per second.
MAX_LOAD_RISE = 0.15
# The highest expected rise of a load that currently falls, as it may turn
# during the run.
MIN_LOAD_RISE = 0.04
# The window for the slope of a load.  In a shorter one the error of the
# samples (about 0.03) hides it; with a longer one it is known too late.
SLOPE_WINDOW_S = 1.5
# The load of a step is this quantile of the loads that its tasks show.  Up to
# half of the tasks may be disturbed; the lowest one is too low by the error of
# its sample.
LOAD_QUANTILE = 1.0 / 3.0
# Added utilisation below this is within the error of the learnt weights.
NEGLIGIBLE_UTILISATION = 0.02
# The least excess of utilisation over load that counts as a disturbance.
MIN_DISTURBANCE = 0.05
MAX_UTILISATION = 0.98
# The number of steps whose load is kept.  A long-running job has one or two.
MAX_STEPS = 4096


@dataclasses.dataclass(slots=True)
class TailLatency:
    """The last reported tail latency of a serving task.

    ratio is tail latency divided by target.  utilisation includes what runs
    placed since the report are expected to add.  load and peak_load are the
    current and the highest recent load of the task's step.
    """

    image: str
    ratio: float
    base_ratio: float
    utilisation: float
    load: float
    peak_load: float
    load_known: bool = True
    # The highest rise of the load to allow for during a best-effort run.
    max_rise: float = MAX_LOAD_RISE
    # The part of max_rise that stays below peak_load.  Computed once because
    # placement rounds need it for each worker and image.
    expected_rise: float = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.expected_rise = self.expected_load() - self.load

    def disturbance(self) -> float:
        """Return the utilisation in excess of the task's own load."""
        return max(0.0, self.utilisation - self.load)

    def expected_load(self) -> float:
        """Return the highest load expected during a best-effort run."""
        return min(max(self.peak_load, self.load), self.load + self.max_rise)

    def utilisation_at_ratio(self, ratio: float) -> float:
        """Return the utilisation that results in a ratio."""
        return 1.0 - self.base_ratio / ratio

    def ratio_with_added(self, added_utilisation: float) -> float:
        """Return the ratio expected with additional utilisation."""
        utilisation = self.utilisation + self.expected_rise + added_utilisation
        utilisation = min(MAX_UTILISATION, utilisation)
        return self.base_ratio / (1.0 - utilisation)


def _quantile(values: list[float]) -> float:
    return sorted(values)[round(LOAD_QUANTILE * (len(values) - 1))]


class StepLoad:
    """Track the load that the tasks of one step share.

    forecast_recent_swing enables the forecast of loadswings.py.  Without it,
    the load is the lowest of the tasks' and its rise follows from its slope.
    """

    def __init__(self, forecast_recent_swing: bool = True) -> None:
        self.swings = (loadswings.LoadSwings() if forecast_recent_swing
                       else None)
        # The time and utilisation of the last sample of each task.
        self.samples: dict[StepMember, tuple[float, float]] = {}
        self.peak_load = 0.0
        self.peak_load_at = 0.0
        # The times and values of the load within SLOPE_WINDOW_S.
        self.load_history: collections.deque[tuple[float, float]] = (
            collections.deque())

    def add_sample(self, member: StepMember, utilisation: float,
                   now: float) -> float | None:
        """Add a task's utilisation; return the load if it is known."""
        self.samples[member] = (now, utilisation)
        for other_member, (at, _) in list(self.samples.items()):
            if now - at > MAX_SAMPLE_AGE_S:
                del self.samples[other_member]
        if len(self.samples) < MIN_TASKS_FOR_LOAD:
            return None
        decayed_peak = (self.peak_load
                        - PEAK_DECAY_PER_S * (now - self.peak_load_at))
        if self.swings is None:
            load = min(value for _, value in self.samples.values())
        else:
            load = self._follow_swings(self.swings, now)
            decayed_peak = max(decayed_peak, self.swings.highest)
        load = max(0.0, load)
        self.peak_load, self.peak_load_at = max(load, decayed_peak), now
        self.load_history.append((now, load))
        while now - self.load_history[0][0] > SLOPE_WINDOW_S:
            self.load_history.popleft()
        return load

    def _follow_swings(self, swings: loadswings.LoadSwings,
                       now: float) -> float:
        """Return the load, and add it to its recent swings.

        Samples are up to MAX_SAMPLE_AGE_S old, in which a load changes by
        0.1, so they are extrapolated to now.
        """
        times = [at for at, _ in self.samples.values()]
        swings.add_point(sum(times) / len(times), _quantile(
            [value for _, value in self.samples.values()]))
        load = _quantile([value + swings.slope * (now - at)
                          for at, value in self.samples.values()])
        swings.add_load(now, load)
        return load

    def max_rise(self) -> float:
        """Return how far the load may rise during a best-effort run.

        A load that swings falls half of the time.  Assuming a rise at any
        time would keep best-effort runs off workers with free processors, so
        that tasks wait next to hundreds of idle cores.  A forecast by slope
        tends to be too low, because the slope is known late.
        """
        if self.swings is not None and self.swings.expected_rise is not None:
            return self.swings.expected_rise
        (first_at, first_load), (last_at, last_load) = (
            self.load_history[0], self.load_history[-1])
        if last_at - first_at < SLOPE_WINDOW_S / 2:
            return MAX_LOAD_RISE
        slope = (last_load - first_load) / (last_at - first_at)
        max_rise = MIN_LOAD_RISE + loadswings.TYPICAL_RUN_S * slope
        return min(MAX_LOAD_RISE, max(MIN_LOAD_RISE, max_rise))


class InterferenceModel:
    """Estimate base latencies, loads of steps and weights of image pairs."""

    def __init__(self, learn_weights: bool = True, limit_tails: bool = True,
                 follow_slopes: bool = True,
                 forecast_recent_swing: bool = True) -> None:
        # Whether weights are learnt, whether tail latencies limit placement,
        # whether load forecasts follow the current slope, and whether they
        # follow recent swings as well.
        self.learn_weights = learn_weights
        self.limit_tails = limit_tails
        self.follow_slopes = follow_slopes
        self.forecast_recent_swing = follow_slopes and forecast_recent_swing
        self.fits: dict[str, weights.WeightFit] = {}
        self.lowest_tails_ms: dict[str, float] = {}
        self.step_loads: collections.OrderedDict[messages.StepId, StepLoad] = (
            collections.OrderedDict())

    def encode(self) -> bytes:
        """Return lowest tail latencies and weights, for a succeeding owner."""
        return json.dumps({
            image: [round(lowest_ms, 2), {
                best_effort_image: round(weight, 4)
                for best_effort_image, weight
                in self._weights(image).items()}]
            for image, lowest_ms in self.lowest_tails_ms.items()},
            sort_keys=True).encode()

    def _weights(self, serving_image: str) -> dict[str, float]:
        fit = self.fits.get(serving_image)
        return fit.weights if fit is not None else {}

    def decode(self, value: bytes) -> None:
        """Load a previous owner's weights; raise ValueError if malformed."""
        try:
            for image, (lowest_ms, weights_by_image) in (
                    json.loads(value).items()):
                if not 0.0 < float(lowest_ms) < math.inf:
                    raise ValueError(f"tail latency {lowest_ms!r}")
                self.lowest_tails_ms[image] = float(lowest_ms)
                self.fits[image] = weights.WeightFit(
                    {name: float(weight)
                     for name, weight in weights_by_image.items()})
        except (TypeError, AttributeError) as exc:
            raise ValueError(
                f"malformed interference record: {exc!r}") from exc

    def weight(self, serving_image: str, best_effort_image: str) -> float:
        """Return the utilisation that a core of a best-effort run adds."""
        fit = self.fits.get(serving_image)
        if fit is None:
            return weights.INITIAL_WEIGHT
        return fit.weights.get(best_effort_image, weights.INITIAL_WEIGHT)

    def add_report(self, image: str, tail_ms: float, target_ms: float,
                   step: messages.StepId, member: StepMember,
                   best_effort_runs: list[weights.BestEffortUsage],
                   now: float) -> TailLatency:
        """Add a reported tail latency and relate it to the step's load.

        While the load is unknown, it is the utilisation less what the
        best-effort runs on the worker are expected to add.
        """
        base_ms = self._update_base_ms(image, tail_ms)
        utilisation = 1.0 - base_ms / tail_ms
        step_load = self.step_loads.get(step)
        if step_load is None:
            step_load = StepLoad(self.forecast_recent_swing)
            self.step_loads[step] = step_load
        self.step_loads.move_to_end(step)
        while len(self.step_loads) > MAX_STEPS:
            self.step_loads.popitem(last=False)
        load = step_load.add_sample(member, utilisation, now)
        known = load is not None
        if load is None:
            load = max(0.0, utilisation - sum(
                self.weight(image, run.image) * run.cores
                for run in best_effort_runs))
        return TailLatency(
            image, tail_ms / target_ms, base_ms / target_ms, utilisation,
            load, step_load.peak_load, known,
            step_load.max_rise() if known and self.follow_slopes
            else MAX_LOAD_RISE)

    def _update_base_ms(self, image: str, tail_ms: float) -> float:
        """Update the lowest tail latency; return the one without load."""
        lowest_ms = self.lowest_tails_ms.get(image)
        if lowest_ms is None:
            lowest_ms = tail_ms
        elif tail_ms < lowest_ms:
            lowest_ms *= 1.0 - LOWEST_TAIL_DECREASE
        else:
            lowest_ms *= 1.0 + LOWEST_TAIL_INCREASE
        self.lowest_tails_ms[image] = lowest_ms
        return (1.0 - MIN_LOAD) * min(lowest_ms, tail_ms)

    def observe(self, tail: TailLatency,
                best_effort_runs: list[weights.BestEffortUsage]) -> None:
        """Learn weights from a tail latency and the runs next to the task."""
        if self.learn_weights and tail.load_known:
            fit = self.fits.setdefault(tail.image, weights.WeightFit())
            fit.add(tail.utilisation - tail.load, best_effort_runs)

    def keeps_tails_below(self, tails: typing.Iterable[TailLatency],
                          image: str, cores: float,
                          ratio_limit: float) -> bool:
        """Return whether tail latencies that a run raises stay below a ratio.

        A tail latency that the run doesn't raise never counts against it,
        however high it is due to the task's own load.
        """
        for tail in tails:
            added_utilisation = self.weight(tail.image, image) * cores
            if (added_utilisation >= NEGLIGIBLE_UTILISATION
                    and tail.ratio_with_added(added_utilisation)
                    >= ratio_limit):
                return False
        return True

    def add_expected_utilisation(self, tails: typing.Iterable[TailLatency],
                                 image: str, cores: float) -> None:
        """Add the expected utilisation of a new run to serving tasks."""
        for tail in tails:
            tail.utilisation += self.weight(tail.image, image) * cores

    def total_weight(self, tails: typing.Iterable[TailLatency],
                     image: str) -> float:
        """Return the sum of an image's weights over serving tasks."""
        return sum(self.weight(tail.image, image) for tail in tails)
