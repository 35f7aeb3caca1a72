"""Combine the policies for placement, eviction and routing.

`entry --policy` takes the names of these combinations.  "guarded" is for
production; "spread" and "first-fit" are baselines for benchmarks.
"""

import dataclasses

from sycamorefield import eviction
from sycamorefield import placement
from sycamorefield import routing


@dataclasses.dataclass(frozen=True)
class Strategy:
    """The placement, eviction and routing policies of an entry process."""

    name: str
    placement: placement.PlacementPolicy
    eviction: eviction.EvictionPolicy
    routing: routing.LoadBalancingPolicy


def by_name(name: str, seed: int = 1) -> Strategy:
    """Return the strategy with a name; raise KeyError if there is none."""
    return {
        "guarded": Strategy(name, placement.Guarded(seed),
                            eviction.EvictFewest(),
                            routing.LeastExpectedSlowdown(seed)),
        "spread": Strategy(name, placement.Spread(), eviction.EvictFewest(),
                           routing.PowerOfTwoChoices(seed)),
        "first-fit": Strategy(name, placement.FirstFit(),
                              eviction.EvictFirstFit(),
                              routing.RandomChoice(seed)),
    }[name]
