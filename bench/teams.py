"""Measure 140 teams with quotas against the same fleet without them.

One team floods a full-size fleet with renewals; then each of the others
asks for one.  Two legs on the same load: every team has a quota, and the
naive version, first come first served.  Shows how long the other teams wait
for their start and by how much the flooding team overshoots its quota (an
owner knows what its peers placed only as of their last status).
"""

import argparse
import concurrent.futures
import json
import os
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

from bench import output  # noqa: E402
from bench import policy  # noqa: E402
from sycamorefield import checks  # noqa: E402
from sycamorefield import timeline  # noqa: E402
from tests import deployment  # noqa: E402
from tools import launch  # noqa: E402

TEAMS = 140
QUOTA_CPUS = 60.0
FLOOD = "team-000"
FLOOD_JOBS = 300
OTHERS_SECONDS = 10.0
CALLERS = 8
SETTLE_SECONDS = 60.0


def submit(deploy: launch.Deployment, team: str, number: int) -> bool:
    """Submit one renewal for a team; return whether it was accepted."""
    entries = len(deploy.opts.entries)
    for attempt in range(10):
        status, _ = deploy.call(
            "POST", deploy.url((number + attempt) % entries) + "/v1/jobs",
            {"customer": team, "work": "class-renewal",
             "job_id": f"{team}.{number}"})
        if status == 202:
            return True
        time.sleep(1.0)
    return False


def drive(deploy: launch.Deployment, teams: list[str]) -> int:
    """Submit the flood, then the other teams' jobs; return the accepted."""
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        jobs = [pool.submit(submit, deploy, FLOOD, n)
                for n in range(FLOOD_JOBS)]
        began = time.monotonic()
        others = [team for team in teams if team != FLOOD]
        for number, team in enumerate(others):
            due = began + number * OTHERS_SECONDS / len(others)
            time.sleep(max(0.0, due - time.monotonic()))
            jobs.append(pool.submit(submit, deploy, team, number))
    return sum(job.result() for job in jobs)


def team_of(job: str) -> str:
    """Return the team that a job id of this bench names."""
    return job.split(".")[0]


def peak_cpus(spans: list[checks.Interval], each: float) -> dict[str, float]:
    """Return the most processors that each team held at once."""
    changes = sorted([(s.began_at, each, s.job) for s in spans]
                     + [(s.ended_at, -each, s.job)
                        for s in spans if s.ended_at])
    now: dict[str, float] = {}
    peak: dict[str, float] = {}
    for _, change, job in changes:
        team = team_of(job)
        now[team] = now.get(team, 0.0) + change
        peak[team] = max(peak.get(team, 0.0), now[team])
    return peak


def group(line: dict) -> str:
    """Return whether an accepted job is of the flood or of the others."""
    return "flood" if team_of(line["job"]) == FLOOD else "others"


def leg(directory: str, base_port: int, quota: float | None) -> dict:
    """Run one leg; return what it showed."""
    os.makedirs(directory)
    teams = [f"team-{number:03}" for number in range(TEAMS)]
    deploy = launch.Deployment.from_sample(
        directory, base_port, zones=policy.zones("coral-sea.yaml", 30),
        customers=teams, rules=[{
            "name": "all-low", "when": {"kind": "batch"},
            "then": {"action": "admit", "priority": "low"}}],
        quotas={team: quota for team in teams} if quota else {})
    stolen = policy.stolen_seconds()
    try:
        deploy.up()
        accepted = drive(deploy, teams)
        deployment.wait_until(lambda: sum(
            deploy.call("GET", deploy.url(n) + "/metrics")[1]["counters"][
                "batch_finished"] for n in range(len(deploy.opts.entries)))
            >= accepted, SETTLE_SECONDS)
    finally:
        deploy.down()
    lines = timeline.merge(deploy.opts.log_dir)
    spans = checks.intervals(lines)
    each = deploy.opts.work["class-renewal"].demand.cpus
    return {"quota_cpus": quota, "accepted": accepted,
            "finished": sum(1 for s in spans if s.state == "done"),
            "waits": timeline.start_latencies(lines, group).summary(),
            "flood_peak_cpus": peak_cpus(spans, each).get(FLOOD, 0.0),
            "findings": [str(f) for f in checks.check(lines)],
            "stolen_cpu_seconds": round(policy.stolen_seconds() - stolen, 2)}


def main() -> int:
    """Run both legs and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--base-port", type=int, default=18400)
    parser.add_argument("--out", default="bench-results/teams.json")
    args = parser.parse_args()
    results = {}
    with tempfile.TemporaryDirectory() as tmp:
        for number, (name, quota) in enumerate(
                (("quotas", QUOTA_CPUS), ("naive", None))):
            results[name] = leg(os.path.join(tmp, name),
                                args.base_port + number * 1000, quota)
            print(name, json.dumps(results[name]), flush=True)
    output.write(args.out, results)
    return 0


if __name__ == "__main__":
    sys.exit(main())
