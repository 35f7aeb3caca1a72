"""Compare our policy with the naive version of our own, in one run.

Four legs on the same seeded load at today's fleet size: latency-critical
requests alone (the unloaded tail), then a batch flood in three waves, with
cancellations and run times far off, under our policy, under the policy of
earlier versions and under the naive version.  Repeated with other seeds;
writes JSON, a plot and an HTML page.
"""

import argparse
import base64
import collections
import json
import os
import statistics
import subprocess
import sys
import tempfile

import jinja2
import yaml

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

from bench import output  # noqa: E402
from sycamorefield import checks  # noqa: E402
from sycamorefield import events  # noqa: E402
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


def eviction_causes(lines: list[dict]) -> dict[str, int]:
    """Count evictions by how the task ended, and lost workers."""
    causes = collections.Counter(
        line["state"] for line in lines
        if line.get("event") == events.TASK_EVICTED.code)
    causes["lost workers"] = sum(
        1 for line in lines if line.get("event") == events.WORKER_LOST.code)
    return dict(causes)


def zones(sample: str, workers: int) -> list[dict]:
    """Return a sample's zones, with so many workers in all."""
    raw = yaml.safe_load(settings.sample_text(sample))
    return [{"name": z["name"], "racks": [
        {"name": z["racks"][0]["name"], "workers": workers // 3}]}
        for z in raw["zones"]]


def leg(directory: str, base_port: int, policy: str, batch: int, seed: int,
        args: argparse.Namespace) -> dict:
    """Run one leg and return the load tool's report."""
    os.makedirs(directory, exist_ok=True)
    deploy = launch.Deployment.from_sample(
        directory, base_port, sample=args.sample,
        zones=zones(args.sample, args.workers),
        load={"seconds": args.seconds, "latency_per_second": args.rate,
              "batch_jobs": batch, "batch_waves": 3, "standing_jobs": 2,
              "cancel_share": 0.05, "seed": seed})
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
        lines, lambda line: line["priority"]).summary().get("urgent", {})
    report["eviction_causes"] = eviction_causes(lines)
    report["stolen_cpu_seconds"] = round(stolen_seconds() - stolen, 2)
    report["findings"] = [str(f) for f in checks.check(lines)]
    return report


class Figure:
    """One figure of a leg: its name, how to read it, and its bound."""

    def __init__(self, name: str, read, bound: float | None = None) -> None:
        self.name = name
        self.read = read
        self.bound = bound

    def over(self, runs: list[dict], name: str) -> list[float]:
        """Return the figure of one leg in every run."""
        return [self.read(run[name]) for run in runs]


def figures(work: str) -> list[Figure]:
    """Return the figures that the users weigh, for one service."""
    return [
        Figure(f"{work} p50, ms", lambda r: r["latency"][work]["p50_ms"]),
        Figure(f"{work} p99, ms", lambda r: r["latency"][work]["p99_ms"]),
        Figure(f"{work} p99.9, ms",
               lambda r: r["latency"][work]["p99.9_ms"]),
        Figure("batch runs a minute", lambda r: r["batch_per_minute"]),
        Figure("evictions", lambda r: r["evictions"]),
        Figure("urgent start p99, ms",
               lambda r: r["urgent_start"].get("p99_ms", 0.0), 1100.0),
        Figure("stolen processor time, s",
               lambda r: r["stolen_cpu_seconds"])]


def plot(runs: list[dict], shown: list[Figure], path: str) -> None:
    """Draw each figure per leg: the median, and the range over the runs."""
    import matplotlib
    matplotlib.use("Agg")
    from matplotlib import pyplot
    drawn, axes = pyplot.subplots(2, 4, figsize=(17, 8))
    names = [name for name, _, _ in LEGS]
    for axis, figure in zip(axes.flat, shown):
        over = [figure.over(runs, name) for name in names]
        middle = [statistics.median(values) for values in over]
        axis.bar(names, middle, color=["grey", "tab:green", "tab:blue",
                                       "tab:orange"],
                 yerr=[[m - min(v) for m, v in zip(middle, over)],
                       [max(v) - m for m, v in zip(middle, over)]])
        if figure.bound is not None:
            axis.axhline(figure.bound, color="red")
        axis.set_title(figure.name)
    axes.flat[-1].axis("off")
    drawn.suptitle(f"our policy, the earlier one and the naive one: median "
                   f"and range of {len(runs)} run(s)")
    drawn.tight_layout()
    drawn.savefig(path, dpi=70)


def table(runs: list[dict], shown: list[Figure]) -> list[list[str]]:
    """Return the figures as rows of text: the median and the range."""
    rows = [["", *(name for name, _, _ in LEGS)]]
    for figure in shown:
        row = [figure.name]
        for name, _, _ in LEGS:
            over = figure.over(runs, name)
            row.append(f"{statistics.median(over):.1f} "
                       f"({min(over):.1f}-{max(over):.1f})")
        rows.append(row)
    return rows


def write_page(runs: list[dict], rows: list[list[str]], sample: str,
               stem: str) -> None:
    """Write the HTML page: the plot, the table and what was found."""
    with open(stem + ".png", "rb") as handle:
        image = base64.b64encode(handle.read()).decode("ascii")
    loader = jinja2.FileSystemLoader(os.path.dirname(__file__))
    template = jinja2.Environment(
        loader=loader, autoescape=True).get_template("policy.html.j2")
    with open(stem + ".html", "w", encoding="utf-8") as handle:
        handle.write(template.render(
            runs=runs, rows=rows, sample=sample, image=image,
            legs=[name for name, _, _ in LEGS]))


def main() -> int:
    """Run the legs and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--batch", type=int, default=300)
    parser.add_argument("--workers", type=int, default=30)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--first-seed", type=int, default=5)
    parser.add_argument("--sample", default="coral-sea.yaml")
    parser.add_argument("--out", default="bench-results")
    parser.add_argument("--base-port", type=int, default=24400)
    args = parser.parse_args()
    os.makedirs(args.out, exist_ok=True)
    stem = os.path.join(args.out, "policy-" + args.sample.split(".")[0])
    runs: list[dict] = []
    for seed in range(args.first_seed, args.first_seed + args.runs):
        with tempfile.TemporaryDirectory() as tmp:
            runs.append({name: leg(
                os.path.join(tmp, name), args.base_port + number * 1000,
                policy, args.batch if batch is None else batch, seed, args)
                for number, (name, policy, batch) in enumerate(LEGS)})
        shown = figures(next(iter(runs[0]["unloaded"]["latency"])))
        rows = table(runs, shown)
        output.write(stem + ".json", runs)
        plot(runs, shown, stem + ".png")
        write_page(runs, rows, args.sample, stem)
        print(f"after seed {seed}:")
        for row in rows:
            print("".join(f"{cell:26}" for cell in row).rstrip(), flush=True)
        for name, report in runs[-1].items():
            print(f"    {name}: evictions by cause "
                  f"{report['eviction_causes']}")
            for finding in report["findings"][:5]:
                print(f"    {name}: {finding}")
    print(f"written: {stem}.json, {stem}.png, {stem}.html")
    return 0


if __name__ == "__main__":
    sys.exit(main())
