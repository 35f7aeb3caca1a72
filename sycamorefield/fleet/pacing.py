"""Decide at which share filling tasks work beside tasks that serve."""

import dataclasses

from sycamorefield.fleet import interference

# Tails are rough and half a second late.  Slowing before the target is
# reached keeps a task from being over it for the time it takes to notice.
THROTTLE_AT_RATIO = 0.85
# What a cut aims at; what is eased must be expected to stay below it.
TARGET_RATIO = 0.7
# Reports between two eases: a tail shows a change after about a second.
RAISE_INTERVAL_S = 0.5
MAX_RAISE_PERCENT = 50
# Below this share a run makes no progress worth its disturbance.
MIN_PACE_PERCENT = 10
# Reports in a row over the target after which all filling runs stand still
# if the tail is disturbed, whatever was learnt: a wrong weight must not keep
# a tail up for seconds.  After the second number they stand still in any
# case: the load may be taken for higher than it is.
REPORTS_BEFORE_PAUSE = 4
REPORTS_BEFORE_FORCED_PAUSE = 6


@dataclasses.dataclass(slots=True)
class PacedRun:
    """A filling run: its image, full demand, use now, and its share."""

    image: str
    demand_cores: float
    used_cores: float
    pace: int


def reports_over_target(previous_count: int,
                        tails: list[interference.TailLatency]) -> int:
    """Return for how many reports in a row a tail was over its target."""
    return previous_count + \
        1 if any(tail.ratio >= 1.0 for tail in tails) else 0


def next_paces(tails: list[interference.TailLatency],
               runs: list[PacedRun],
               reports_over: int,
               may_raise: bool,
               model: interference.InterferenceModel) -> list[int]:
    """Return the next share (0 to 100 percent) of each run."""
    over_ratio = [tail for tail in tails if tail.ratio >= THROTTLE_AT_RATIO
                  and tail.disturbance() >= interference.MIN_DISTURBANCE]
    if reports_over >= REPORTS_BEFORE_FORCED_PAUSE or (
            reports_over >= REPORTS_BEFORE_PAUSE and over_ratio):
        return [0] * len(runs)
    if over_ratio:
        return _throttle(over_ratio, runs, model)
    if may_raise:
        return _raise_paces(tails, runs, model)
    return [run.pace for run in runs]


def _throttle(tails: list[interference.TailLatency], runs: list[PacedRun],
              model: interference.InterferenceModel) -> list[int]:
    """Slow the runs that weigh most on each tail that is too high.

    What no run is known for is put on all of them once a tail is over its
    target: processors that are all in use disturb every task alike.
    """
    paces = [float(max(run.pace, 0)) for run in runs]
    for tail in tails:
        excess = min(tail.disturbance(), tail.utilisation -
                     tail.utilisation_at_ratio(TARGET_RATIO))
        contributions = [model.weight(tail.image, run.image) * run.used_cores
                         for run in runs]
        for i in sorted(range(len(runs)), key=lambda i: -contributions[i]):
            if (excess <= 0 or contributions[i]
                    < interference.NEGLIGIBLE_UTILISATION):
                break
            contribution = min(excess, contributions[i])
            paces[i] = min(paces[i], max(runs[i].pace, 0) *
                           (1 - contribution / contributions[i]))
            excess -= contribution
        if excess > interference.MIN_DISTURBANCE and tail.ratio >= 1.0:
            kept_ratio = max(0.0, 1 - excess / tail.disturbance())
            paces = [min(pace, max(run.pace, 0) * kept_ratio)
                     for pace, run in zip(paces, runs)]
    return [int(percent) if percent >= MIN_PACE_PERCENT else 0
            for percent in paces]


def _raise_paces(tails: list[interference.TailLatency], runs: list[PacedRun],
                 model: interference.InterferenceModel) -> list[int]:
    """Speed runs up as far as every tail is expected to allow."""
    paces = []
    expected_tails = [dataclasses.replace(tail) for tail in tails]
    for run in runs:
        pace = run.pace
        if 0 <= pace < 100:
            raise_percent = min(MAX_RAISE_PERCENT, 100 - pace)
            cores = run.demand_cores * raise_percent / 100.0
            if model.keeps_tails_below(
                    expected_tails,
                    run.image,
                    cores,
                    TARGET_RATIO):
                pace += raise_percent
                model.add_expected_utilisation(
                    expected_tails, run.image, cores)
        paces.append(pace if pace >= 0 else MIN_PACE_PERCENT)
    return paces
