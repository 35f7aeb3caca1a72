"""Time rounds that preempt for urgent tasks, with 1,500 workers.

The fleet is full of long-running and lower-priority tasks; 20 urgent jobs of
10 tasks arrive.  Prints the processor time of rounds before, of the round that
preempts, and of rounds after; docs/design/urgentcapacity.md has results.
"""

import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

from bench import round_cost  # noqa: E402
from sycamorefield.fleet import answers  # noqa: E402
from sycamorefield.fleet import messages  # noqa: E402
from sycamorefield.fleet import policy as policy_mod  # noqa: E402
from sycamorefield.fleet import rounds  # noqa: E402
from sycamorefield.fleet import state as state_mod  # noqa: E402
from sycamorefield.fleet import victims  # noqa: E402
from tests import fleetfakes  # noqa: E402

WORKERS = 1500
ROUNDS = 10


def make_fleet() -> state_mod.FleetState:
    """Return a full fleet whose runs began up to 3 s ago."""
    rng = random.Random(3)
    state = round_cost.make_fleet(rng, WORKERS, policy_mod.Policy())
    orders: list[tuple[str, state_mod.Order]] = []
    state.send = lambda worker_id, order: orders.append((worker_id, order))
    for n in range(594):
        state.add_job(round_cost.long_running_job(rng, n), 11 + n)
    round_cost.place_all(state)
    for n in range(2400):
        state.add_job(fleetfakes.job(f"batch{n}", messages.Step(
            20, messages.Resources(3500, 4000), estimate_ms=2700,
            checkpoint=n % 7 > 0), priority=2, queue="renewals"), 50_000 + n)
    round_cost.place_all(state)
    for worker_id, order in orders:
        if isinstance(order, messages.StartOrder):
            answers.record_started(state, worker_id, order,
                                   round_cost.NOW_S - 3.0 * rng.random())
    round_cost.place_all(state)
    return state


def time_rounds(state: state_mod.FleetState, count: int) -> str:
    """Return the median and the longest processor time of some rounds."""
    times_ms = []
    for _ in range(count):
        started_s = time.process_time()
        rounds.place(state, round_cost.NOW_S, round_cost.WALL_MS)
        times_ms.append((time.process_time() - started_s) * 1000.0)
    return (f"median {sorted(times_ms)[count // 2]:.1f} ms, "
            f"longest {max(times_ms):.1f} ms")


def main() -> int:
    """Time the choice by number and the choice by lost work."""
    for costs in (None, victims.StopCosts(1.0, 0.4, 0.2)):
        state = make_fleet()
        state.stop_costs = costs
        print(f"by {'lost work' if costs else 'number'}: "
              f"before {time_rounds(state, ROUNDS)}", flush=True)
        for n in range(20):
            state.add_job(fleetfakes.job(f"urgent{n}", messages.Step(
                10, messages.Resources(5000 + 100 * n, 4000),
                estimate_ms=1000)), 100_000 + n)
        print(f"  preempting {time_rounds(state, 1)}", flush=True)
        print(f"  after {time_rounds(state, ROUNDS)}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
