"""Learn which filling images disturb which serving images, and how much.

A serving task behaves like a queue: its tail is a base of its image divided
by (1 - utilisation).  Utilisation is the task's own load plus what the
filling runs beside it add; equal additions hardly show at low load and
multiply the tail at high load.  All tasks of a step share one load, so the
least disturbed of them shows the load, and what another one has more is the
disturbance on its worker.
"""

import collections
import dataclasses
import json
import typing

from sycamorefield.fleet import messages
from sycamorefield.fleet import weights

# One task of a step: its worker and its number in the step.
StepMember = tuple[str, int]

# Serving tasks are taken to have this load when their tail is lowest.
MIN_LOAD = 0.2
# The lowest tail of an image is followed as about its first percentile: it
# falls by 2% at a sample below it and rises by a hundredth of that at one
# above, so that a single odd figure does not set it.
LOWEST_TAIL_DECREASE = 0.02
LOWEST_TAIL_INCREASE = 0.0002
# A task's figure counts toward its step's load for this long.
MAX_SAMPLE_AGE_S = 1.0
# The load of a step is known from this many fresh tasks.
MIN_TASKS_FOR_LOAD = 3
# What is remembered of a step's highest load fades by this a second.
PEAK_DECAY_PER_S = 0.01
# How far a load rises while a filling run of 2 to 3 s works: the steepest
# part of a swing of 0.45 in 14 s rises by 0.1 a second.
MAX_LOAD_RISE = 0.15
# While the load of a step falls, it is expected to rise by no more than this:
# it may turn within the run.
MIN_LOAD_RISE = 0.04
# The slope of a load is taken over this long; shorter, and the error of its
# samples (some 0.03) hides it, longer, and it is known too late.
SLOPE_WINDOW_S = 1.5
# A filling run works for about this long.
TYPICAL_RUN_S = 2.5
# What a run adds below this is no more than the error of what was learnt.
NEGLIGIBLE_UTILISATION = 0.02
# More than the load by this much is taken for a disturbance.
MIN_DISTURBANCE = 0.05
MAX_UTILISATION = 0.98
# Steps whose load is remembered; a lasting job has one or two.
MAX_STEPS = 4096


@dataclasses.dataclass(slots=True)
class TailLatency:
    """A serving task's tail against its target, as last reported.

    ratio is tail divided by target; utilisation is raised by what a new run
    is expected to add until the next report tells.  load and peak are those
    of its step now and at most.
    """

    image: str
    ratio: float
    base_ratio: float
    utilisation: float
    load: float
    peak_load: float
    load_known: bool = True
    # How far the load may rise while a filling run works.
    max_rise: float = MAX_LOAD_RISE
    # The part of that rise which is to be expected; rounds ask for it for
    # each worker and image.
    expected_rise: float = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.expected_rise = self.expected_load() - self.load

    def disturbance(self) -> float:
        """Return the utilisation that is not the task's own load."""
        return max(0.0, self.utilisation - self.load)

    def expected_load(self) -> float:
        """Return the highest load to expect while a filling run works."""
        return min(max(self.peak_load, self.load), self.load + self.max_rise)

    def utilisation_at_ratio(self, ratio: float) -> float:
        """Return the utilisation at which the tail has a ratio."""
        return 1.0 - self.base_ratio / ratio

    def ratio_with_added(self, added_utilisation: float) -> float:
        """Return the ratio to expect once utilisation is added."""
        utilisation = self.utilisation + self.expected_rise + added_utilisation
        utilisation = min(MAX_UTILISATION, utilisation)
        return self.base_ratio / (1.0 - utilisation)


class StepLoad:
    """Follow the load that the tasks of one step share."""

    def __init__(self) -> None:
        self.samples: dict[StepMember, tuple[float, float]] = {}
        self.peak_load = 0.0
        self.peak_load_at = 0.0
        # Loads of the last moments: when and how high.
        self.load_history: collections.deque[tuple[float, float]] = (
            collections.deque())

    def add_sample(self, member: StepMember, utilisation: float,
                   now: float) -> float | None:
        """Take in one task's utilisation; return the load once known."""
        self.samples[member] = (now, utilisation)
        for other_member, (at, _) in list(self.samples.items()):
            if now - at > MAX_SAMPLE_AGE_S:
                del self.samples[other_member]
        if len(self.samples) < MIN_TASKS_FOR_LOAD:
            return None
        load = max(0.0, min(value for _, value in self.samples.values()))
        decayed_peak = self.peak_load - \
            PEAK_DECAY_PER_S * (now - self.peak_load_at)
        self.peak_load, self.peak_load_at = max(load, decayed_peak), now
        self.load_history.append((now, load))
        while now - self.load_history[0][0] > SLOPE_WINDOW_S:
            self.load_history.popleft()
        return load

    def max_rise(self) -> float:
        """Return how far the load may rise while a filling run works.

        A load that swings falls for half of the time.  Taken to rise always,
        it keeps filling runs off workers that have processors for them: one
        sees tasks wait beside hundreds of idle cores.  Going by the slope
        errs to the low side, as the slope is known late.
        """
        (first_at, first_load), (last_at, last_load) = (
            self.load_history[0], self.load_history[-1])
        if last_at - first_at < SLOPE_WINDOW_S / 2:
            return MAX_LOAD_RISE
        max_rise = MIN_LOAD_RISE + TYPICAL_RUN_S * \
            (last_load - first_load) / (last_at - first_at)
        return min(MAX_LOAD_RISE, max(MIN_LOAD_RISE, max_rise))


class InterferenceModel:
    """Hold base tails of images, loads of steps and weights of pairs."""

    def __init__(self, learn_weights: bool = True, limit_tails: bool = True,
                 follow_slopes: bool = True) -> None:
        # Whether weights are learnt, whether they limit who goes where, and
        # whether a load is expected to go on as it rises or falls.
        self.learn_weights = learn_weights
        self.limit_tails = limit_tails
        self.follow_slopes = follow_slopes
        self.fits: dict[str, weights.WeightFit] = {}
        self.lowest_tails_ms: dict[str, float] = {}
        self.step_loads: collections.OrderedDict[messages.StepId, StepLoad] = (
            collections.OrderedDict())

    def encode(self) -> bytes:
        """Return what was learnt of images, for a successor."""
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
        """Begin with what a predecessor learnt; raises ValueError."""
        try:
            for image, (lowest_ms, weights_by_image) in json.loads(
                    value).items():
                self.lowest_tails_ms[image] = float(lowest_ms)
                self.fits[image] = weights.WeightFit(
                    {name: float(weight)
                     for name, weight in weights_by_image.items()})
        except (TypeError, AttributeError) as exc:
            raise ValueError(f"not a record of images: {exc!r}") from exc

    def weight(self, serving_image: str, best_effort_image: str) -> float:
        """Return the utilisation that a filling core adds."""
        fit = self.fits.get(serving_image)
        if fit is None:
            return weights.INITIAL_WEIGHT
        return fit.weights.get(best_effort_image, weights.INITIAL_WEIGHT)

    def add_report(self,
                   image: str,
                   tail_ms: float,
                   target_ms: float,
                   step: messages.StepId,
                   member: StepMember,
                   best_effort_runs: list[weights.BestEffortUsage],
                   now: float) -> TailLatency:
        """Return a reported tail with the load that its step has.

        While the load is not known, what the fillers beside the task are
        expected to add is taken off its utilisation.
        """
        base_ms = self._update_base_ms(image, tail_ms)
        utilisation = 1.0 - base_ms / tail_ms
        step_load = self.step_loads.setdefault(step, StepLoad())
        self.step_loads.move_to_end(step)
        while len(self.step_loads) > MAX_STEPS:
            self.step_loads.popitem(last=False)
        load = step_load.add_sample(member, utilisation, now)
        known = load is not None
        if load is None:
            load = max(0.0, utilisation -
                       sum(self.weight(image, run.image) *
                           run.cores for run in best_effort_runs))
        return TailLatency(
            image,
            tail_ms /
            target_ms,
            base_ms /
            target_ms,
            utilisation,
            load,
            step_load.peak_load,
            known,
            step_load.max_rise() if known and self.follow_slopes
            else MAX_LOAD_RISE)

    def _update_base_ms(self, image: str, tail_ms: float) -> float:
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
        """Learn from one tail and what ran beside it."""
        if self.learn_weights and tail.load_known:
            fit = self.fits.setdefault(tail.image, weights.WeightFit())
            fit.add(tail.utilisation - tail.load, best_effort_runs)

    def keeps_tails_below(
            self,
            tails: typing.Iterable[TailLatency],
            image: str,
            cores: float,
            ratio_limit: float) -> bool:
        """Tell whether a run keeps each tail that it harms below a ratio.

        A tail that the run does not harm is no reason against it, however
        high the task's own load has driven it.
        """
        for tail in tails:
            added_utilisation = self.weight(tail.image, image) * cores
            if (added_utilisation >= NEGLIGIBLE_UTILISATION
                    and tail.ratio_with_added(added_utilisation)
                    >= ratio_limit):
                return False
        return True

    def add_expected_utilisation(
            self,
            tails: typing.Iterable[TailLatency],
            image: str,
            cores: float) -> None:
        """Raise the utilisation of tails by what a new run will add."""
        for tail in tails:
            tail.utilisation += self.weight(tail.image, image) * cores

    def total_weight(
            self,
            tails: typing.Iterable[TailLatency],
            image: str) -> float:
        """Return the summed weights of an image over serving tasks."""
        return sum(self.weight(tail.image, image) for tail in tails)
