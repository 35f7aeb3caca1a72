"""Compare our policy with the naive version of our own, in one run.

Three legs on the same seeded load: hull checks alone (the unloaded tail),
then a batch flood under our policy (spread placement, latency-aware
routing), then the same flood under the naive version (first-fit
placement, routing blind to latency).  Writes JSON and a PNG plot.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

from tools import launch  # noqa: E402

LEGS = (("unloaded", "spread", 0), ("ours", "spread", None),
        ("naive", "first-fit", None))


def leg(directory: str, base_port: int, policy: str, batch: int,
        seconds: float, sample: str) -> dict:
    """Run one leg and return the load tool's report."""
    os.makedirs(directory, exist_ok=True)
    deploy = launch.Deployment.from_sample(
        directory, base_port, sample=sample,
        load={"seconds": seconds, "latency_per_second": 40,
              "batch_jobs": batch, "standing_jobs": 2, "seed": 5})
    deploy.policy = policy
    out = os.path.join(directory, "report.json")
    try:
        deploy.up()
        subprocess.run(deploy.base + ["load", "--settings", deploy.path,
                                      "--out", out], check=True,
                       stdout=subprocess.DEVNULL)
    finally:
        deploy.down()
    with open(out, encoding="utf-8") as handle:
        report = json.load(handle)
    report["findings"] = [str(f) for f in deploy.check()]
    return report


def plot(results: dict, work: str, path: str) -> None:
    """Draw p50/p99/p99.9 per leg, and batch runs finished."""
    import matplotlib
    matplotlib.use("Agg")
    from matplotlib import pyplot
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    names = list(results)
    for offset, pct in enumerate(("p50_ms", "p99_ms", "p99.9_ms")):
        left.bar([n + offset * 0.27 for n in range(len(names))],
                 [results[k]["latency"][work][pct] for k in names],
                 width=0.27, label=pct.replace("_ms", ""))
    left.set_xticks([n + 0.27 for n in range(len(names))], names)
    left.set_ylabel(f"{work} latency, ms")
    left.legend()
    right.bar(names, [results[k]["batch_finished"] for k in names])
    right.set_ylabel("batch runs finished")
    figure.suptitle("sycamorefield: our policy against the naive version")
    figure.tight_layout()
    figure.savefig(path)


def main() -> int:
    """Run the legs and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--batch", type=int, default=40)
    parser.add_argument("--sample", default="coral-sea.yaml")
    parser.add_argument("--out", default="bench-results")
    parser.add_argument("--base-port", type=int, default=24400)
    args = parser.parse_args()
    os.makedirs(args.out, exist_ok=True)
    results = {}
    with tempfile.TemporaryDirectory() as tmp:
        for number, (name, policy, batch) in enumerate(LEGS):
            results[name] = leg(os.path.join(tmp, name),
                                args.base_port + number * 1000, policy,
                                args.batch if batch is None else batch,
                                args.seconds, args.sample)
    work = next(iter(results["unloaded"]["latency"]))
    stem = os.path.join(args.out, "policy-" + args.sample.split(".")[0])
    with open(stem + ".json", "w", encoding="utf-8") as handle:
        json.dump(results, handle, indent=1)
    plot(results, work, stem + ".png")
    for name, report in results.items():
        lat = report["latency"].get(work, {})
        print(f"{name:9} {work} p50 {lat.get('p50_ms', 0):6.1f} "
              f"p99 {lat.get('p99_ms', 0):6.1f} p99.9 "
              f"{lat.get('p99.9_ms', 0):6.1f} ms; batch "
              f"{report['batch_finished']}/{report['batch_submitted']}; "
              f"evictions {report['evictions']}; "
              f"findings {len(report['findings'])}")
    print(f"written: {stem}.json, {stem}.png")
    return 0


if __name__ == "__main__":
    sys.exit(main())
