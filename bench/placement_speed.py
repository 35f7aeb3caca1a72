"""Time one placement decision over 5,500 modelled workers."""

import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

from sycamorefield import metrics  # noqa: E402
from sycamorefield import options  # noqa: E402
from sycamorefield import placement  # noqa: E402

WORKERS = 5500
DECISIONS = 2000


def fleet(rng: random.Random, crowded: bool) -> list[placement.Candidate]:
    """Return modelled workers; crowded leaves room on one in a thousand."""
    capacity = options.Capacity(30, 125000, 0)
    out = []
    for number in range(WORKERS):
        cpus = (rng.uniform(25, 30) if crowded and rng.random() > 0.001
                else rng.uniform(0, 24))
        out.append(placement.Candidate(
            f"w{number}", f"z{number % 7}", capacity,
            options.Capacity(cpus, rng.randrange(0, 100000), 0),
            rng.randrange(1, 8), rng.uniform(0, 2)))
    return out


def main() -> int:
    """Print p50/p99 of one decision for each policy."""
    work = options.Work("class-renewal", "batch", noise=0.6,
                        demand=options.Capacity(6, 24000, 0))
    for crowded in (False, True):
        candidates = fleet(random.Random(3), crowded)
        for policy in (placement.FirstFit(), placement.Spread(),
                       placement.Guarded()):
            times = metrics.Latencies()
            for _ in range(DECISIONS):
                began = time.perf_counter()
                policy.choose(work, candidates)
                times.record(policy.name, time.perf_counter() - began)
            summary = times.summary()[policy.name]
            print(f"{'crowded' if crowded else 'roomy':8} {policy.name:10} "
                  f"{WORKERS} workers: p50 {summary['p50_ms']:.2f} ms "
                  f"p99 {summary['p99_ms']:.2f} ms")
    return 0


if __name__ == "__main__":
    sys.exit(main())
