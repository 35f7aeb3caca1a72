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
Member = tuple[str, int]

# Serving tasks are taken to have this load when their tail is lowest.
LEAST_LOAD = 0.2
# The lowest tail of an image is followed as about its first percentile: it
# falls by 2% at a sample below it and rises by a hundredth of that at one
# above, so that a single odd figure does not set it.
LOWEST_FALLS = 0.02
LOWEST_RISES = 0.0002
# A task's figure counts toward its step's load for this long.
FRESH_S = 1.0
# The load of a step is known from this many fresh tasks.
TASKS_FOR_LOAD = 3
# What is remembered of a step's highest load fades by this a second.
PEAK_FADES = 0.01
# How far a load rises while a filling run of 2 to 3 s works: the steepest
# part of a swing of 0.45 in 14 s rises by 0.1 a second.
LOAD_RISE = 0.15
# While the load of a step falls, it is expected to rise by no more than this:
# it may turn within the run.
FALLING_RISE = 0.04
# The slope of a load is taken over this long; shorter, and the error of its
# samples (some 0.03) hides it, longer, and it is known too late.
SLOPE_S = 1.5
# A filling run works for about this long.
RUN_S = 2.5
# What a run adds below this is no more than the error of what was learnt.
HARMLESS = 0.02
# More than the load by this much is taken for a disturbance.
DISTURBED = 0.05
MOST_UTILISATION = 0.98
# Steps whose load is remembered; a lasting job has one or two.
MOST_STEPS = 4096


@dataclasses.dataclass(slots=True)
class Tail:
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
    peak: float
    load_known: bool = True
    # How far the load may rise while a filling run works.
    rise: float = LOAD_RISE
    # The part of that rise which is to be expected; rounds ask for it for
    # each worker and image.
    climb: float = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.climb = self.expected_load() - self.load

    def disturbance(self) -> float:
        """Return the utilisation that is not the task's own load."""
        return max(0.0, self.utilisation - self.load)

    def expected_load(self) -> float:
        """Return the highest load to expect while a filling run works."""
        return min(max(self.peak, self.load), self.load + self.rise)

    def at_ratio(self, ratio: float) -> float:
        """Return the utilisation at which the tail has a ratio."""
        return 1.0 - self.base_ratio / ratio

    def ratio_with(self, added: float) -> float:
        """Return the ratio to expect once utilisation is added."""
        utilisation = self.utilisation + self.climb + added
        utilisation = min(MOST_UTILISATION, utilisation)
        return self.base_ratio / (1.0 - utilisation)


class StepLoad:
    """Follow the load that the tasks of one step share."""

    def __init__(self) -> None:
        self.recent: dict[Member, tuple[float, float]] = {}
        self.peak = 0.0
        self.peak_at = 0.0
        # Loads of the last moments: when and how high.
        self.past: collections.deque[tuple[float, float]] = (
            collections.deque())

    def note(self, member: Member, utilisation: float,
             now: float) -> float | None:
        """Take in one task's utilisation; return the load once known."""
        self.recent[member] = (now, utilisation)
        for other, (at, _) in list(self.recent.items()):
            if now - at > FRESH_S:
                del self.recent[other]
        if len(self.recent) < TASKS_FOR_LOAD:
            return None
        load = max(0.0, min(value for _, value in self.recent.values()))
        faded = self.peak - PEAK_FADES * (now - self.peak_at)
        self.peak, self.peak_at = max(load, faded), now
        self.past.append((now, load))
        while now - self.past[0][0] > SLOPE_S:
            self.past.popleft()
        return load

    def rise(self) -> float:
        """Return how far the load may rise while a filling run works.

        A load that swings falls for half of the time.  Taken to rise always,
        it keeps filling runs off workers that have processors for them: one
        sees tasks wait beside hundreds of idle cores.  Going by the slope
        errs to the low side, as the slope is known late.
        """
        (begin, first), (end, last) = self.past[0], self.past[-1]
        if end - begin < SLOPE_S / 2:
            return LOAD_RISE
        rise = FALLING_RISE + RUN_S * (last - first) / (end - begin)
        return min(LOAD_RISE, max(FALLING_RISE, rise))


class Interference:
    """Hold base tails of images, loads of steps and weights of pairs."""

    def __init__(self, learns: bool = True, limits: bool = True,
                 slopes: bool = True) -> None:
        # Whether weights are learnt, whether they limit who goes where, and
        # whether a load is expected to go on as it rises or falls.
        self.learns = learns
        self.limits = limits
        self.slopes = slopes
        self.fits: dict[str, weights.Fit] = {}
        self.lowest: dict[str, float] = {}
        self.loads: collections.OrderedDict[messages.StepId, StepLoad] = (
            collections.OrderedDict())

    def encode(self) -> bytes:
        """Return what was learnt of images, for a successor."""
        return json.dumps({
            image: [round(lowest, 2), {
                filling: round(weight, 4) for filling, weight
                in self._weights(image).items()}]
            for image, lowest in self.lowest.items()},
            sort_keys=True).encode()

    def _weights(self, serving: str) -> dict[str, float]:
        fit = self.fits.get(serving)
        return fit.weights if fit is not None else {}

    def decode(self, value: bytes) -> None:
        """Begin with what a predecessor learnt; raises ValueError."""
        try:
            for image, (lowest, known) in json.loads(value).items():
                self.lowest[image] = float(lowest)
                self.fits[image] = weights.Fit(
                    {name: float(weight) for name, weight in known.items()})
        except (TypeError, AttributeError) as exc:
            raise ValueError(f"not a record of images: {exc!r}") from exc

    def weight(self, serving: str, filling: str) -> float:
        """Return the utilisation that a filling core adds."""
        fit = self.fits.get(serving)
        if fit is None:
            return weights.FIRST_WEIGHT
        return fit.weights.get(filling, weights.FIRST_WEIGHT)

    def tail(self, image: str, tail_ms: float, target_ms: float,
             step: messages.StepId, member: Member,
             beside: list[weights.Filler], now: float) -> Tail:
        """Return a reported tail with the load that its step has.

        While the load is not known, what the fillers beside the task are
        expected to add is taken off its utilisation.
        """
        base = self._base(image, tail_ms)
        utilisation = 1.0 - base / tail_ms
        shared = self.loads.setdefault(step, StepLoad())
        self.loads.move_to_end(step)
        while len(self.loads) > MOST_STEPS:
            self.loads.popitem(last=False)
        load = shared.note(member, utilisation, now)
        known = load is not None
        if load is None:
            load = max(0.0, utilisation - sum(
                self.weight(image, f.image) * f.cores for f in beside))
        return Tail(image, tail_ms / target_ms, base / target_ms,
                    utilisation, load, shared.peak, known,
                    shared.rise() if known and self.slopes else LOAD_RISE)

    def _base(self, image: str, tail_ms: float) -> float:
        lowest = self.lowest.get(image)
        if lowest is None:
            lowest = tail_ms
        elif tail_ms < lowest:
            lowest *= 1.0 - LOWEST_FALLS
        else:
            lowest *= 1.0 + LOWEST_RISES
        self.lowest[image] = lowest
        return (1.0 - LEAST_LOAD) * min(lowest, tail_ms)

    def observe(self, tail: Tail, fillers: list[weights.Filler]) -> None:
        """Learn from one tail and what ran beside it."""
        if self.learns and tail.load_known:
            fit = self.fits.setdefault(tail.image, weights.Fit())
            fit.add(tail.utilisation - tail.load, fillers)

    def stays_below(self, tails: typing.Iterable[Tail], image: str,
                    cores: float, limit: float) -> bool:
        """Tell whether a run keeps each tail that it harms below a ratio.

        A tail that the run does not harm is no reason against it, however
        high the task's own load has driven it.
        """
        for tail in tails:
            extra = self.weight(tail.image, image) * cores
            if extra >= HARMLESS and tail.ratio_with(extra) >= limit:
                return False
        return True

    def expect(self, tails: typing.Iterable[Tail], image: str,
               cores: float) -> None:
        """Raise the utilisation of tails by what a new run will add."""
        for tail in tails:
            tail.utilisation += self.weight(tail.image, image) * cores

    def harm(self, tails: typing.Iterable[Tail], image: str) -> float:
        """Return the summed weights of an image over serving tasks."""
        return sum(self.weight(tail.image, image) for tail in tails)
