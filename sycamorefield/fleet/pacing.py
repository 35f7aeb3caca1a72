"""Decide the pace of best-effort runs next to serving tasks.

A pace is the percentage of its full CPU demand that a run may use.
"""

import dataclasses
import math

from sycamorefield.fleet import interference

# Runs are throttled from this ratio of tail latency to target.  Tail latencies
# are imprecise and reported half a second late, so throttling only at the
# target would leave a task above it until the next report.
THROTTLE_AT_RATIO = 0.85
# The ratio that throttling aims for.  A pace is raised only if the expected
# ratio stays below it.
TARGET_RATIO = 0.7
# The time between two raises: a tail latency shows a change after about 1 s.
RAISE_INTERVAL_S = 0.5
MAX_RAISE_PERCENT = 50
# Below this pace the progress of a run isn't worth its disturbance.
MIN_PACE_PERCENT = 10
# After this many consecutive reports over the target all best-effort runs are
# paused if a tail latency is disturbed, whatever the learnt weights: a wrong
# weight must not keep a tail latency high for seconds.  After the second
# number of reports they are paused in any case: the load may be overestimated.
REPORTS_BEFORE_PAUSE = 4
REPORTS_BEFORE_FORCED_PAUSE = 6


@dataclasses.dataclass(slots=True)
class PacedRun:
    """A best-effort run: its image, full demand, current use and pace."""

    image: str
    demand_cores: float
    used_cores: float
    pace_percent: int
    # Whether it started without CPU for its full pace.
    needs_unused_cores: bool = False


def reports_over_target(previous_count: int,
                        tails: list[interference.TailLatency]) -> int:
    """Return the number of consecutive reports over the target."""
    return (previous_count + 1 if any(tail.ratio >= 1.0 for tail in tails)
            else 0)


def next_paces(tails: list[interference.TailLatency],
               runs: list[PacedRun],
               reports_over: int,
               may_raise: bool,
               model: interference.InterferenceModel,
               unused_cores: float = math.inf) -> list[int]:
    """Return the next pace of each run, in percent (0 to 100).

    The current pace of a run is negative if it is unknown.  Runs that started
    without CPU for their full pace are raised by at most the unused cores.
    """
    over_ratio = [tail for tail in tails if tail.ratio >= THROTTLE_AT_RATIO
                  and tail.disturbance() >= interference.MIN_DISTURBANCE]
    if reports_over >= REPORTS_BEFORE_FORCED_PAUSE or (
            reports_over >= REPORTS_BEFORE_PAUSE and over_ratio):
        return [0] * len(runs)
    if over_ratio:
        return _throttle(over_ratio, runs, model)
    if may_raise:
        return _raise_paces(tails, runs, model, unused_cores)
    return [_known_pace(run.pace_percent) for run in runs]


def _known_pace(pace_percent: int) -> int:
    """Return a pace, or the lowest one if it is unknown."""
    return pace_percent if pace_percent >= 0 else MIN_PACE_PERCENT


def _throttle(tails: list[interference.TailLatency], runs: list[PacedRun],
              model: interference.InterferenceModel) -> list[int]:
    """Lower the paces of the runs that contribute most to high tail latencies.

    Once a tail latency is over its target, disturbance that the weights don't
    explain is attributed to all runs: fully used processors disturb every
    task alike.
    """
    paces = [float(max(run.pace_percent, 0)) for run in runs]
    for tail in tails:
        excess = min(
            tail.disturbance(),
            tail.utilisation - tail.utilisation_at_ratio(TARGET_RATIO))
        contributions = [model.weight(tail.image, run.image) * run.used_cores
                         for run in runs]
        for i in sorted(range(len(runs)), key=lambda i: -contributions[i]):
            if (excess <= 0 or contributions[i]
                    < interference.NEGLIGIBLE_UTILISATION):
                break
            contribution = min(excess, contributions[i])
            paces[i] = min(paces[i], max(runs[i].pace_percent, 0)
                           * (1 - contribution / contributions[i]))
            excess -= contribution
        if excess > interference.MIN_DISTURBANCE and tail.ratio >= 1.0:
            kept_ratio = max(0.0, 1 - excess / tail.disturbance())
            paces = [min(pace_percent, max(run.pace_percent, 0) * kept_ratio)
                     for pace_percent, run in zip(paces, runs)]
    return [int(percent) if percent >= MIN_PACE_PERCENT else 0
            for percent in paces]


def _possible_raise(run: PacedRun, unused_cores: float) -> int:
    """Return by how much unused cores allow to raise a pace, in percent."""
    most = min(MAX_RAISE_PERCENT, 100 - run.pace_percent)
    if (not run.needs_unused_cores
            or run.demand_cores * most <= 100.0 * unused_cores):
        return most
    possible = int(100.0 * unused_cores / run.demand_cores)
    return possible if possible >= MIN_PACE_PERCENT else 0


def _raise_paces(tails: list[interference.TailLatency], runs: list[PacedRun],
                 model: interference.InterferenceModel,
                 unused_cores: float) -> list[int]:
    """Raise paces as far as tail latencies and unused cores allow."""
    paces = []
    expected_tails = [dataclasses.replace(tail) for tail in tails]
    for run in runs:
        pace_percent = run.pace_percent
        if 0 <= pace_percent < 100:
            raise_percent = _possible_raise(run, unused_cores)
            cores = run.demand_cores * raise_percent / 100.0
            if raise_percent and model.keeps_tails_below(
                    expected_tails, run.image, cores, TARGET_RATIO):
                pace_percent += raise_percent
                if run.needs_unused_cores:
                    unused_cores -= cores
                model.add_expected_utilisation(expected_tails, run.image,
                                               cores)
        paces.append(_known_pace(pace_percent))
    return paces
