"""Show how soon urgent jobs start on a fleet full of long-running jobs.

20 workers of 32 cores; 18 long-running jobs of 6 tasks of 6.4 cores, which
request 108% of the CPU; urgent jobs of 1 to 11 tasks that run for 0.6 s.
Without capacity kept for finite tasks all urgent jobs start late at each rate
(p95 of the first start at least 30 s); the output shows both cases.
"""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

from sycamorefield.fleet import policy as policy_mod  # noqa: E402
from tests import fleetfakes  # noqa: E402
from tests import test_fleet_headroom  # noqa: E402

RATES = (0.0, 0.5, 2.0, 4.0)
LONG_RUNNING_JOBS = 18
WARM_UP_S = 5.0


def measure(urgent_per_s: float, policy: policy_mod.Policy) -> None:
    """Print the results of urgent and long-running jobs at a rate."""
    fleet = test_fleet_headroom.SimulatedFleet(LONG_RUNNING_JOBS, policy)
    fleet.run(WARM_UP_S)
    fleet.run(test_fleet_headroom.URGENT_LOAD_S, urgent_per_s)
    long_running_tasks = len(fleet.long_running_placements())
    headroom_label = "kept" if policy.keep_room_for_short_work else "none"
    urgent_result = "none arrived"
    if fleet.urgent_jobs:
        urgent_result = (f"{fleet.late_count()} of {fleet.urgent_jobs} late, "
                         f"p95 of the first start {fleet.p95_start_s():.1f} s")
    print(f"{urgent_per_s:.1f} urgent jobs/s, capacity {headroom_label}: "
          f"{urgent_result}; {long_running_tasks} long-running tasks started")


def main() -> int:
    """Measure each rate without and with capacity kept."""
    for urgent_per_s in RATES:
        for policy in (fleetfakes.NO_RESERVED_CAPACITY, policy_mod.Policy()):
            measure(urgent_per_s, policy)
    return 0


if __name__ == "__main__":
    sys.exit(main())
