"""Bundle the decisions that vary: placement, eviction and routing.

The names are what `entry --policy` takes.  "guarded" is the product;
"spread" is what versions before it did, and "first-fit" is the naive
version of our own; both are kept for the measurements.
"""

import dataclasses

from sycamorefield import eviction
from sycamorefield import placement
from sycamorefield import routing


@dataclasses.dataclass(frozen=True)
class Strategy:
    """One way of deciding, for a whole entry process."""

    name: str
    placement: placement.PlacementPolicy
    eviction: eviction.EvictionPolicy
    routing: routing.Choice


def by_name(name: str, seed: int = 1) -> Strategy:
    """Return the strategy of a name; KeyError if there is none."""
    return {
        "guarded": Strategy(name, placement.Guarded(seed),
                            eviction.EvictFewest(),
                            routing.LeastExpected(seed)),
        "spread": Strategy(name, placement.Spread(), eviction.EvictFewest(),
                           routing.BetterOfTwo(seed)),
        "first-fit": Strategy(name, placement.FirstFit(),
                              eviction.EvictFirstFit(), routing.Blind(seed)),
    }[name]
