"""Compare the placement policies under the same load.

Four configurations are run.  The first has latency-critical requests alone,
which gives the tail latency without batch load.  The others add a flood of
batch jobs in three waves, with cancellations and inaccurate run time
estimates, under the guarded policy ("ours"), the spread policy of earlier
versions ("earlier") and first fit as a baseline ("naive").  All use the same
seed and, by default, today's fleet size of 30 workers.  Repeated with other
seeds; writes JSON, a plot and an HTML page.
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

# Name, placement policy and number of batch jobs (None: that of --batch).
CONFIGURATIONS = (
    ("unloaded", "guarded", 0), ("ours", "guarded", None),
    ("earlier", "spread", None), ("naive", "first-fit", None))


def steal_seconds() -> float:
    """Return the processor time stolen by the hypervisor since boot."""
    with open("/proc/stat", encoding="ascii") as handle:
        fields = handle.readline().split()
    return int(fields[8]) / os.sysconf("SC_CLK_TCK")


def eviction_causes(lines: list[dict]) -> dict[str, int]:
    """Count evictions by the final state of the task, and lost workers."""
    causes = collections.Counter(
        line["state"] for line in lines
        if line.get("event") == events.TASK_EVICTED.code)
    causes["lost workers"] = sum(
        1 for line in lines if line.get("event") == events.WORKER_LOST.code)
    return dict(causes)


def sample_zones(sample: str, workers: int) -> list[dict]:
    """Return the zones of a sample with the given total of workers.

    Each zone keeps its first rack only.  The sample must have three zones.
    """
    raw = yaml.safe_load(settings.sample_text(sample))
    return [{"name": z["name"], "racks": [
        {"name": z["racks"][0]["name"], "workers": workers // 3}]}
        for z in raw["zones"]]


def run_configuration(directory: str, base_port: int, policy: str,
                      batch: int, seed: int, args: argparse.Namespace
                      ) -> dict:
    """Run one configuration; return the extended report of the load."""
    os.makedirs(directory, exist_ok=True)
    deploy = launch.Deployment.from_sample(
        directory, base_port, sample=args.sample,
        zones=sample_zones(args.sample, args.workers),
        load={"seconds": args.seconds, "latency_per_second": args.rate,
              "batch_jobs": batch, "batch_waves": 3, "standing_jobs": 2,
              "cancel_share": 0.05, "seed": seed})
    deploy.policy = policy
    report_path = os.path.join(directory, "report.json")
    steal_s = steal_seconds()
    try:
        deploy.up()
        subprocess.run(deploy.command_prefix + [
            "load", "--settings", deploy.settings_path,
            "--out", report_path], check=True, stdout=subprocess.DEVNULL)
    finally:
        deploy.down()
    with open(report_path, encoding="utf-8") as handle:
        report = json.load(handle)
    lines = timeline.merge(deploy.opts.log_dir)
    report["urgent_start"] = timeline.start_latencies(
        lines, lambda line: line["priority"]).summary().get("urgent", {})
    report["eviction_causes"] = eviction_causes(lines)
    report["stolen_cpu_seconds"] = round(steal_seconds() - steal_s, 2)
    report["findings"] = [str(f) for f in checks.check(lines)]
    return report


class Metric:
    """A metric: its name, the function that reads it, and its limit."""

    def __init__(self, name: str, read, limit: float | None = None) -> None:
        self.name = name
        self.read = read
        self.limit = limit

    def values(self, runs: list[dict], configuration: str) -> list[float]:
        """Return the metric of one configuration in every run."""
        return [self.read(run[configuration]) for run in runs]


def user_metrics(work: str) -> list[Metric]:
    """Return the metrics that users compare, with latency of one service."""
    return [
        Metric(f"{work} p50, ms", lambda r: r["latency"][work]["p50_ms"]),
        Metric(f"{work} p99, ms", lambda r: r["latency"][work]["p99_ms"]),
        Metric(f"{work} p99.9, ms",
               lambda r: r["latency"][work]["p99.9_ms"]),
        Metric("batch runs a minute", lambda r: r["batch_per_minute"]),
        Metric("evictions", lambda r: r["evictions"]),
        Metric("urgent start p99, ms",
               lambda r: r["urgent_start"].get("p99_ms", 0.0), 1100.0),
        Metric("stolen processor time, s",
               lambda r: r["stolen_cpu_seconds"])]


def plot(runs: list[dict], metrics: list[Metric], path: str) -> None:
    """Plot the median and the range of each metric by configuration."""
    import matplotlib
    matplotlib.use("Agg")
    from matplotlib import pyplot
    figure, axes = pyplot.subplots(2, 4, figsize=(17, 8))
    configurations = [name for name, _, _ in CONFIGURATIONS]
    for axis, metric in zip(axes.flat, metrics):
        value_lists = [metric.values(runs, name) for name in configurations]
        medians = [statistics.median(values) for values in value_lists]
        axis.bar(configurations, medians,
                 color=["grey", "tab:green", "tab:blue", "tab:orange"],
                 yerr=[[m - min(v) for m, v in zip(medians, value_lists)],
                       [max(v) - m for m, v in zip(medians, value_lists)]])
        if metric.limit is not None:
            axis.axhline(metric.limit, color="red")
        axis.set_title(metric.name)
    axes.flat[-1].axis("off")
    figure.suptitle(f"our policy, the earlier one and the naive one: median "
                    f"and range of {len(runs)} run(s)")
    figure.tight_layout()
    figure.savefig(path, dpi=70)


def summary_rows(runs: list[dict], metrics: list[Metric]) -> list[list[str]]:
    """Return the median and the range of each metric as rows of text."""
    rows = [["", *(name for name, _, _ in CONFIGURATIONS)]]
    for metric in metrics:
        row = [metric.name]
        for name, _, _ in CONFIGURATIONS:
            values = metric.values(runs, name)
            row.append(f"{statistics.median(values):.1f} "
                       f"({min(values):.1f}-{max(values):.1f})")
        rows.append(row)
    return rows


def write_page(runs: list[dict], rows: list[list[str]], sample: str,
               output_stem: str) -> None:
    """Write the HTML page with the plot, the table and the findings."""
    with open(output_stem + ".png", "rb") as handle:
        image = base64.b64encode(handle.read()).decode("ascii")
    loader = jinja2.FileSystemLoader(os.path.dirname(__file__))
    template = jinja2.Environment(
        loader=loader, autoescape=True).get_template("policy.html.j2")
    with open(output_stem + ".html", "w", encoding="utf-8") as handle:
        handle.write(template.render(
            runs=runs, rows=rows, sample=sample, image=image,
            legs=[name for name, _, _ in CONFIGURATIONS]))


def main() -> int:
    """Run the configurations with each seed and write the results."""
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
    output_stem = os.path.join(args.out, "policy-" + args.sample.split(".")[0])
    runs: list[dict] = []
    for seed in range(args.first_seed, args.first_seed + args.runs):
        with tempfile.TemporaryDirectory() as tmp:
            runs.append({name: run_configuration(
                os.path.join(tmp, name), args.base_port + index * 1000,
                policy, args.batch if batch is None else batch, seed, args)
                for index, (name, policy, batch) in enumerate(CONFIGURATIONS)})
        metrics = user_metrics(next(iter(runs[0]["unloaded"]["latency"])))
        rows = summary_rows(runs, metrics)
        output.write(output_stem + ".json", runs)
        plot(runs, metrics, output_stem + ".png")
        write_page(runs, rows, args.sample, output_stem)
        print(f"after seed {seed}:")
        for row in rows:
            print("".join(f"{cell:26}" for cell in row).rstrip(), flush=True)
        for name, report in runs[-1].items():
            print(f"    {name}: evictions by cause "
                  f"{report['eviction_causes']}")
            for finding in report["findings"][:5]:
                print(f"    {name}: {finding}")
    print(f"written: {output_stem}.json, {output_stem}.png, "
          f"{output_stem}.html")
    return 0


if __name__ == "__main__":
    sys.exit(main())
