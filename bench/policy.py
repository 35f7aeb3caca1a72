"""Compare our policy with the naive version of our own, in one run.

Four legs on the same seeded load at today's fleet size: latency-critical
requests alone (the unloaded tail), then a batch flood in three waves, with
cancellations and run times far off, under our policy, under the policy of
earlier versions and under the naive version.  Writes JSON and a PNG plot.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile

import yaml

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

from sycamorefield import checks  # noqa: E402
from sycamorefield import settings  # noqa: E402
from sycamorefield import timeline  # noqa: E402
from tools import launch  # noqa: E402

LEGS = (("unloaded", "guarded", 0), ("ours", "guarded", None),
        ("earlier", "spread", None), ("naive", "first-fit", None))


def stolen_seconds() -> float:
    """Return the processor time that the host withheld so far, seconds."""
    with open("/proc/stat", encoding="ascii") as handle:
        fields = handle.readline().split()
    return int(fields[8]) / os.sysconf("SC_CLK_TCK")


def leg(directory: str, base_port: int, policy: str, batch: int,
        args: argparse.Namespace) -> dict:
    """Run one leg and return the load tool's report."""
    os.makedirs(directory, exist_ok=True)
    raw = yaml.safe_load(settings.sample_text(args.sample))
    zones = [{"name": z["name"], "racks": [
        {"name": z["racks"][0]["name"], "workers": args.workers // 3}]}
        for z in raw["zones"]]
    deploy = launch.Deployment.from_sample(
        directory, base_port, sample=args.sample, zones=zones,
        load={"seconds": args.seconds, "latency_per_second": args.rate,
              "batch_jobs": batch, "batch_waves": 3, "standing_jobs": 2,
              "cancel_share": 0.05, "seed": 5})
    deploy.policy = policy
    out = os.path.join(directory, "report.json")
    stolen = stolen_seconds()
    try:
        deploy.up()
        subprocess.run(deploy.base + ["load", "--settings", deploy.path,
                                      "--out", out], check=True,
                       stdout=subprocess.DEVNULL)
    finally:
        deploy.down()
    with open(out, encoding="utf-8") as handle:
        report = json.load(handle)
    lines = timeline.merge(deploy.opts.log_dir)
    report["urgent_start"] = timeline.start_latencies(
        lines, "urgent").summary().get("urgent", {})
    report["stolen_cpu_seconds"] = round(stolen_seconds() - stolen, 2)
    report["findings"] = [str(f) for f in checks.check(lines)]
    return report


def plot(results: dict, work: str, path: str) -> None:
    """Draw p50/p99/p99.9 per leg, and batch runs finished."""
    import matplotlib
    matplotlib.use("Agg")
    from matplotlib import pyplot
    figure, axes = pyplot.subplots(1, 4, figsize=(16, 4))
    names = list(results)
    for offset, pct in enumerate(("p50_ms", "p99_ms", "p99.9_ms")):
        axes[0].bar([n + offset * 0.27 for n in range(len(names))],
                    [results[k]["latency"][work][pct] for k in names],
                    width=0.27, label=pct.replace("_ms", ""))
    axes[0].set_xticks([n + 0.27 for n in range(len(names))], names)
    axes[0].set_title(f"{work} latency, ms")
    axes[0].legend()
    flooded = [n for n in names if results[n]["batch_finished"]]
    for axis, title, key in (
            (axes[1], "batch runs a minute", "batch_per_minute"),
            (axes[2], "evictions", "evictions")):
        axis.bar(flooded, [results[n][key] for n in flooded])
        axis.set_title(title)
    axes[3].bar(flooded, [results[n]["urgent_start"].get("p99_ms", 0)
                          for n in flooded])
    axes[3].axhline(1100, color="red")
    axes[3].set_title("urgent start p99, ms (bound 1,100)")
    figure.suptitle("sycamorefield: our policy against the naive version")
    figure.tight_layout()
    figure.savefig(path)


def main() -> int:
    """Run the legs and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--batch", type=int, default=300)
    parser.add_argument("--workers", type=int, default=30)
    parser.add_argument("--rate", type=float, default=60.0)
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
                                args.batch if batch is None else batch, args)
    stem = os.path.join(args.out, "policy-" + args.sample.split(".")[0])
    with open(stem + ".json", "w", encoding="utf-8") as handle:
        json.dump(results, handle, indent=1)
    plot(results, next(iter(results["unloaded"]["latency"])), stem + ".png")
    for name, report in results.items():
        for work, lat in report["latency"].items():
            print(f"{name:9} {work} p50 {lat['p50_ms']:6.1f} "
                  f"p99 {lat['p99_ms']:6.1f} p99.9 {lat['p99.9_ms']:6.1f} ms")
        urgent = report["urgent_start"]
        print(f"{name:9} batch {report['batch_finished']}/"
              f"{report['batch_submitted']} "
              f"{report['batch_per_minute']} a minute; evictions "
              f"{report['evictions']}; urgent start p50 "
              f"{urgent.get('p50_ms', 0):.0f} p99 "
              f"{urgent.get('p99_ms', 0):.0f} ms; "
              f"findings {len(report['findings'])}; {report['outcomes']}; "
              f"stolen cpu {report['stolen_cpu_seconds']} s")
        for finding in report["findings"][:5]:
            print(f"    {finding}")
    print(f"written: {stem}.json, {stem}.png")
    return 0


if __name__ == "__main__":
    sys.exit(main())
