"""Measure the latency of a placement decision among 5,500 workers."""

import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

from sycamorefield import metrics  # noqa: E402
from sycamorefield import options  # noqa: E402
from sycamorefield import placement  # noqa: E402

WORKER_COUNT = 5500
DECISION_COUNT = 2000


def simulated_workers(rng: random.Random, nearly_full: bool
                      ) -> list[placement.Candidate]:
    """Return simulated workers with random use of their resources.

    If nearly_full, the task of main() fits on one worker in a thousand.
    """
    capacity = options.Capacity(30, 125000, 0)
    workers = []
    for number in range(WORKER_COUNT):
        cpus = (rng.uniform(25, 30) if nearly_full and rng.random() > 0.001
                else rng.uniform(0, 24))
        workers.append(placement.Candidate(
            f"w{number}", f"z{number % 7}", capacity,
            options.Capacity(cpus, rng.randrange(0, 100000), 0),
            rng.randrange(1, 8), rng.uniform(0, 2)))
    return workers


def main() -> int:
    """Print the p50 and p99 latency of a decision for each policy."""
    work = options.Work("class-renewal", "batch", noise=0.6,
                        demand=options.Capacity(6, 24000, 0))
    for nearly_full in (False, True):
        candidates = simulated_workers(random.Random(3), nearly_full)
        for policy in (placement.FirstFit(), placement.Spread(),
                       placement.Guarded()):
            latencies = metrics.Latencies()
            for _ in range(DECISION_COUNT):
                started_at = time.perf_counter()
                policy.choose(work, candidates)
                latencies.record(policy.name, time.perf_counter() - started_at)
            summary = latencies.summary()[policy.name]
            print(f"{'crowded' if nearly_full else 'roomy':8} "
                  f"{policy.name:10} {WORKER_COUNT} workers: "
                  f"p50 {summary['p50_ms']:.2f} ms "
                  f"p99 {summary['p99_ms']:.2f} ms")
    return 0


if __name__ == "__main__":
    sys.exit(main())
