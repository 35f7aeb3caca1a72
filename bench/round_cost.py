"""Time a round of placing on a full fleet with many who wait.

Printed for rounds that search all workers for each need (plain) and for those
that remember.  With 176 workers a round that places nothing took 115 to 125 ms
when each need was searched for by itself, and 7.7 to 8.9 ms since one search
answers for all needs as large (three runs each, on a machine busy with other
work).  With 445 workers and 280 jobs it took 10.8 and 11.4 ms before rounds
remembered, and 6.7 and 7.9 ms since (two runs each, an idle machine).
"""

import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

from sycamorefield.fleet import messages  # noqa: E402
from sycamorefield.fleet import policy as policy_mod  # noqa: E402
from sycamorefield.fleet import reports  # noqa: E402
from sycamorefield.fleet import rounds  # noqa: E402
from sycamorefield.fleet import state as state_mod  # noqa: E402
from tests import fleetfakes  # noqa: E402

WORKERS = (70, 176, 445, 1000, 5500)
# Jobs for each hundred workers: lasting ones that fill a fleet, and short and
# filling ones that wait.
LASTING_JOBS = 66
WAITING_JOBS = 20
ROUNDS = 20
# Plain rounds of larger fleets take minutes.
MOST_PLAIN = 445
HOLD_MAX_MS = 10_000.0
NOW_S = 100.0
WALL_MS = 1e12


def fleet(rng: random.Random, workers: int,
          policy: policy_mod.Policy) -> state_mod.FleetState:
    """Return a fleet of workers that all have reported."""
    state = state_mod.FleetState(10, HOLD_MAX_MS, lambda *_: None,
                                 fleetfakes.configuration, policy)
    for number in range(workers):
        capacity = messages.Resources(rng.choice((32_000, 32_000, 48_000)),
                                      128_000, 0)
        entry = fleetfakes.entry(number, capacity=capacity)
        state.add_worker(entry)
        reports.take(state, entry.worker_id, messages.WorkerReport(
            NOW_S * 1000.0, (), ()), NOW_S, NOW_S)
    state.enrol(list(state.workers))
    return state


def lasting(rng: random.Random, number: int) -> messages.Job:
    """Return a job whose tasks serve until they are cancelled."""
    cpu = int(min(10_000, max(2000, rng.gauss(6400, 1600))))
    return fleetfakes.job(f"lasting{number}", messages.Step(
        max(1, int(rng.gauss(14, 5))), messages.Resources(cpu, 13_000),
        perpetual=True, target_ms=125.0, image=f"s{number % 10}"))


def short(rng: random.Random, number: int) -> messages.Job:
    """Return an urgent job of some narrow tasks."""
    cpu = int(min(12_000, max(1000, rng.gauss(4100, 1800))))
    return fleetfakes.job(f"short{number}", messages.Step(
        max(1, int(rng.lognormvariate(2, 0.8))), messages.Resources(cpu, 8200),
        estimate_ms=640))


def filling(number: int) -> messages.Job:
    """Return a patient job that runs on what the others leave unused."""
    step = messages.Step(20, messages.Resources(3500, 6400), fills=True,
                         image=f"f{number % 18}", estimate_ms=2200)
    return fleetfakes.job(f"filling{number}", step, priority=2,
                          queue="renewals")


def place_all(state: state_mod.FleetState) -> None:
    """Place as long as something has room, as if orders were sent at once."""
    before = -1
    while state.run_log.ordered_total != before:
        before = state.run_log.ordered_total
        rounds.place(state, NOW_S, WALL_MS)
        for worker in state.workers.values():
            for run in list(worker.unsent):
                worker.start_sent(run)


def measure(workers: int, policy: policy_mod.Policy) -> None:
    """Print what starts cost, and a round that places nothing."""
    rng = random.Random(3)
    state = fleet(rng, workers, policy)
    began = time.process_time()
    for number in range(workers * LASTING_JOBS // 100):
        state.add_job(lasting(rng, number), 11 + number)
    place_all(state)
    for number in range(workers * WAITING_JOBS // 100):
        state.add_job(short(rng, number), 100_000 + number)
        state.add_job(filling(number), 200_000 + number)
    place_all(state)
    starts = state.run_log.ordered_total
    start_ms = (time.process_time() - began) / starts * 1000.0
    began = time.process_time()
    for _ in range(ROUNDS):
        rounds.place(state, NOW_S, WALL_MS)
    mean_ms = (time.process_time() - began) / ROUNDS * 1000.0
    how = "remembering" if policy.remember_shortage else "plain"
    print(f"{workers} workers, {len(state.active)} jobs, {how}: "
          f"{start_ms:.2f} ms for each of {starts} starts, "
          f"{mean_ms:.1f} ms a round that places nothing", flush=True)


def main() -> int:
    """Measure fleets of growing size."""
    plain = policy_mod.Policy(remember_shortage=False)
    for workers in WORKERS:
        if workers <= MOST_PLAIN:
            measure(workers, plain)
        measure(workers, policy_mod.Policy())
    return 0


if __name__ == "__main__":
    sys.exit(main())
