"""Decide at which share filling tasks work beside tasks that serve."""

import dataclasses

from sycamorefield.fleet import interference

# Tails are rough and half a second late.  Slowing before the target is
# reached keeps a task from being over it for the time it takes to notice.
SLOW_AT = 0.85
# What a cut aims at; what is eased must be expected to stay below it.
AIM = 0.7
# Reports between two eases: a tail shows a change after about a second.
EASE_PAUSE_S = 0.5
EASE_STEP = 50
# Below this share a run makes no progress worth its disturbance.
LEAST = 10
# Reports in a row over the target after which all filling runs stand still
# if the tail is disturbed, whatever was learnt: a wrong weight must not keep
# a tail up for seconds.  After the second number they stand still in any
# case: the load may be taken for higher than it is.
OVER_REPORTS = 4
OVER_REPORTS_AT_MOST = 6


@dataclasses.dataclass(slots=True)
class Paced:
    """A filling run: its image, full demand, use now, and its share."""

    image: str
    demand_cores: float
    used_cores: float
    pace: int


def over_reports(before: int, tails: list[interference.Tail]) -> int:
    """Return for how many reports in a row a tail was over its target."""
    return before + 1 if any(t.ratio >= 1.0 for t in tails) else 0


def paces(tails: list[interference.Tail], runs: list[Paced], over: int,
          may_ease: bool, learnt: interference.Interference) -> list[int]:
    """Return the next share (0 to 100 percent) of each run."""
    high = [t for t in tails if t.ratio >= SLOW_AT
            and t.disturbance() >= interference.DISTURBED]
    if over >= OVER_REPORTS_AT_MOST or (over >= OVER_REPORTS and high):
        return [0] * len(runs)
    if high:
        return _cut(high, runs, learnt)
    if may_ease:
        return _ease(tails, runs, learnt)
    return [run.pace for run in runs]


def _cut(tails: list[interference.Tail], runs: list[Paced],
         learnt: interference.Interference) -> list[int]:
    """Slow the runs that weigh most on each tail that is too high.

    What no run is known for is put on all of them once a tail is over its
    target: processors that are all in use disturb every task alike.
    """
    shares = [float(max(run.pace, 0)) for run in runs]
    for tail in tails:
        need = min(tail.disturbance(),
                   tail.utilisation - tail.at_ratio(AIM))
        parts = [learnt.weight(tail.image, run.image) * run.used_cores
                 for run in runs]
        for i in sorted(range(len(runs)), key=lambda i: -parts[i]):
            if need <= 0 or parts[i] < interference.HARMLESS:
                break
            part = min(need, parts[i])
            shares[i] = min(shares[i],
                            max(runs[i].pace, 0) * (1 - part / parts[i]))
            need -= part
        if need > interference.DISTURBED and tail.ratio >= 1.0:
            left = max(0.0, 1 - need / tail.disturbance())
            shares = [min(share, max(run.pace, 0) * left)
                      for share, run in zip(shares, runs)]
    return [int(s) if s >= LEAST else 0 for s in shares]


def _ease(tails: list[interference.Tail], runs: list[Paced],
          learnt: interference.Interference) -> list[int]:
    """Speed runs up as far as every tail is expected to allow."""
    shares = []
    expected = [dataclasses.replace(tail) for tail in tails]
    for run in runs:
        pace = run.pace
        if 0 <= pace < 100:
            step = min(EASE_STEP, 100 - pace)
            cores = run.demand_cores * step / 100.0
            if learnt.stays_below(expected, run.image, cores, AIM):
                pace += step
                learnt.expect(expected, run.image, cores)
        shares.append(pace if pace >= 0 else LEAST)
    return shares
