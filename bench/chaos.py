"""Run many seeded fault plans against a local deployment.

Each round starts the deployment, runs the load while a plan of random faults
is injected, waits for every batch job, stops the deployment with SIGTERM,
and checks the merged time line against the invariants.  Prints a summary of
each round, writes JSON and keeps the logs of rounds with findings.
"""

import argparse
import json
import os
import shutil
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

from tools import faults  # noqa: E402
from tools import launch  # noqa: E402


MAX_SHOWN_FINDINGS = 5


def run_round(directory: str, base_port: int, seed: int,
              args: argparse.Namespace) -> dict:
    """Run one round; return its findings and counts."""
    shutil.rmtree(directory, ignore_errors=True)
    os.makedirs(directory)
    deploy = launch.Deployment.from_sample(
        directory, base_port, sample=args.sample, entries=args.entries,
        load={"seconds": args.seconds, "latency_per_second": 30,
              "batch_jobs": args.batch, "batch_waves": 4,
              "standing_jobs": 2, "cancel_share": 0.1, "seed": seed})
    report_path = os.path.join(directory, "report.json")
    try:
        deploy.up()
        plan = faults.Plan(deploy, seed, args.faults, args.seconds)
        load = subprocess.Popen(deploy.command_prefix + [
            "load", "--settings", deploy.settings_path, "--out", report_path],
            stdout=subprocess.DEVNULL)
        plan.run()
        load.wait(timeout=args.seconds + 240)
    finally:
        deploy.down()
    with open(report_path, encoding="utf-8") as handle:
        report = json.load(handle)
    findings = [str(f) for f in deploy.check()]
    findings += [f"accepted job {job_id} did not finish: {state}"
                 for job_id, state in report["batch_unfinished"].items()]
    return {"seed": seed, "faults": plan.injected, "findings": findings,
            "outcomes": report["outcomes"],
            "batch_finished": report["batch_finished"],
            "batch_cancelled": report["batch_cancelled"],
            "evictions": report["evictions"]}


def main() -> int:
    """Run the rounds; return 1 if any has a finding."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--faults", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--batch", type=int, default=40)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--sample", default="coral-sea.yaml")
    parser.add_argument("--base-port", type=int, default=25400)
    parser.add_argument("--out", default="bench-results/chaos")
    args = parser.parse_args()
    results = []
    for seed in range(args.first_seed, args.first_seed + args.rounds):
        directory = os.path.join(args.out, f"seed-{seed}")
        result = run_round(directory, args.base_port, seed, args)
        results.append(result)
        print(f"seed {seed}: {len(result['findings'])} finding(s), batch "
              f"{result['batch_finished']}, cancelled "
              f"{result['batch_cancelled']}, evictions {result['evictions']}, "
              f"answers {result['outcomes']}", flush=True)
        for finding in result["findings"][:MAX_SHOWN_FINDINGS]:
            print(f"    {finding}", flush=True)
        if result["findings"]:
            for line in result["faults"]:
                print(f"    fault {line}", flush=True)
        else:
            shutil.rmtree(directory)
    with open(os.path.join(args.out, f"rounds-{args.first_seed}.json"), "w",
              encoding="utf-8") as handle:
        json.dump(results, handle, indent=1)
    return 1 if any(r["findings"] for r in results) else 0


if __name__ == "__main__":
    sys.exit(main())
