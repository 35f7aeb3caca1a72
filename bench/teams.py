"""Compare quotas for 140 teams with a fleet without quotas.

One team floods a full-size fleet (30 workers) with renewals, then each of
the other teams submits one.  The same load is run with a quota for every
team and without quotas (first come, first served).  Shows how long the other
teams wait for their start and by how much the flooding team exceeds its
quota: an owner knows the placements of the other owners only as of their
last status.
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

TEAM_COUNT = 140
QUOTA_CPUS = 60.0
FLOODING_TEAM = "team-000"
FLOOD_JOB_COUNT = 300
OTHERS_PERIOD_S = 10.0
CLIENT_THREADS = 8
FINISH_TIMEOUT_S = 60.0


def submit(deploy: launch.Deployment, team: str, number: int) -> bool:
    """Submit one renewal for a team; return whether it was accepted.

    Try up to ten times, once a second, each time at the next entry process.
    """
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


def submit_all(deploy: launch.Deployment, teams: list[str]) -> int:
    """Submit every job; return how many were accepted.

    The jobs of the other teams are spread over OTHERS_PERIOD_S.
    """
    with concurrent.futures.ThreadPoolExecutor(CLIENT_THREADS) as pool:
        jobs = [pool.submit(submit, deploy, FLOODING_TEAM, n)
                for n in range(FLOOD_JOB_COUNT)]
        began = time.monotonic()
        others = [team for team in teams if team != FLOODING_TEAM]
        for number, team in enumerate(others):
            due = began + number * OTHERS_PERIOD_S / len(others)
            time.sleep(max(0.0, due - time.monotonic()))
            jobs.append(pool.submit(submit, deploy, team, number))
    return sum(job.result() for job in jobs)


def team_of(job: str) -> str:
    """Return the team in a job id of this benchmark."""
    return job.split(".")[0]


def peak_cpus(intervals: list[checks.Interval], cpus_per_task: float
              ) -> dict[str, float]:
    """Return the peak number of processors reserved by each team."""
    changes = sorted([(s.began_at, cpus_per_task, s.job) for s in intervals]
                     + [(s.ended_at, -cpus_per_task, s.job)
                        for s in intervals if s.ended_at])
    in_use: dict[str, float] = {}
    peak: dict[str, float] = {}
    for _, change, job in changes:
        team = team_of(job)
        in_use[team] = in_use.get(team, 0.0) + change
        peak[team] = max(peak.get(team, 0.0), in_use[team])
    return peak


def flood_or_others(line: dict) -> str:
    """Return the group of the team whose job a log line is about."""
    return "flood" if team_of(line["job"]) == FLOODING_TEAM else "others"


def run_configuration(directory: str, base_port: int, quota_cpus: float | None
                      ) -> dict:
    """Run the load with a quota, or without if None; return the results."""
    os.makedirs(directory)
    teams = [f"team-{number:03}" for number in range(TEAM_COUNT)]
    deploy = launch.Deployment.from_sample(
        directory, base_port, zones=policy.sample_zones("coral-sea.yaml", 30),
        customers=teams, rules=[{
            "name": "all-low", "when": {"kind": "batch"},
            "then": {"action": "admit", "priority": "low"}}],
        quotas={team: quota_cpus for team in teams} if quota_cpus else {})
    steal_s = policy.steal_seconds()
    try:
        deploy.up()
        accepted = submit_all(deploy, teams)
        deployment.wait_until(lambda: sum(
            deploy.call("GET", deploy.url(n) + "/metrics")[1]["counters"][
                "batch_finished"] for n in range(len(deploy.opts.entries)))
            >= accepted, FINISH_TIMEOUT_S)
    finally:
        deploy.down()
    lines = timeline.merge(deploy.opts.log_dir)
    intervals = checks.intervals(lines)
    cpus_per_task = deploy.opts.work["class-renewal"].demand.cpus
    return {"quota_cpus": quota_cpus, "accepted": accepted,
            "finished": sum(1 for s in intervals if s.state == "done"),
            "waits": timeline.start_latencies(lines,
                                              flood_or_others).summary(),
            "flood_peak_cpus": peak_cpus(intervals, cpus_per_task).get(
                FLOODING_TEAM, 0.0),
            "findings": [str(f) for f in checks.check(lines)],
            "stolen_cpu_seconds": round(policy.steal_seconds() - steal_s, 2)}


def main() -> int:
    """Run the load with and without quotas and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--base-port", type=int, default=18400)
    parser.add_argument("--out", default="bench-results/teams.json")
    args = parser.parse_args()
    results = {}
    with tempfile.TemporaryDirectory() as tmp:
        for index, (name, quota) in enumerate(
                (("quotas", QUOTA_CPUS), ("naive", None))):
            results[name] = run_configuration(
                os.path.join(tmp, name), args.base_port + index * 1000, quota)
            print(name, json.dumps(results[name]), flush=True)
    output.write(args.out, results)
    return 0


if __name__ == "__main__":
    sys.exit(main())
