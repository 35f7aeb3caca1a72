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


def main() -> int:
    """Print p50/p99 of one decision for each policy."""
    rng = random.Random(3)
    capacity = options.Capacity(30, 125000, 0)
    candidates = [placement.Candidate(
        f"w{n}", f"z{n % 7}", capacity,
        options.Capacity(rng.uniform(0, 28), rng.randrange(0, 120000), 0),
        rng.randrange(0, 8), rng.uniform(0, 2)) for n in range(WORKERS)]
    demand = options.Capacity(6, 24000, 0)
    for policy in (placement.FirstFit(), placement.Spread()):
        times = metrics.Latencies()
        for _ in range(DECISIONS):
            began = time.perf_counter()
            policy.choose(demand, candidates)
            times.record(policy.name, time.perf_counter() - began)
        summary = times.summary()[policy.name]
        print(f"{policy.name:10} {WORKERS} workers: p50 "
              f"{summary['p50_ms']:.2f} ms p99 {summary['p99_ms']:.2f} ms")
    return 0


if __name__ == "__main__":
    sys.exit(main())
