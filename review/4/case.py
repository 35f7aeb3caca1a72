"""One wide job with long checkpoints ends all writing of outcomes.

The progress of a job holds what its unfinished tasks have saved.  Beyond
`value_bytes` the store refuses it, and the owner repeats this write for ever:
no end of any task is taken note of any more, and no job is completed.
"""

import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib2"))

import deployment  # noqa: E402

DAEMONS = 3
WORKERS = 8
# `burst`, large jobs: the largest and the mean job of class-renewal.
LARGE_STEPS, LARGE_COUNT = 5, 32
MEAN_STEPS, MEAN_COUNT = 2, 8
SAVED_CHARS = 7_000
SMALL_JOBS = 20
ACK_MS = deployment.BOUNDS["ack_ms"]
HULL, RENEWAL = "/hull/", "/renewal/"


def case(deploy, trouble):
    deploy.start_store([
        deployment.route("r-hull", HULL, slo_ms=250, stretch=1.5),
        deployment.route("r-renewal", RENEWAL, priority=2)])
    for number in range(1, WORKERS + 1):
        deploy.start_worker(number)
    for number in range(1, DAEMONS + 1):
        deploy.start_daemon(number)
    deploy.wait_for("all daemons", 30.0, lambda: all(
        deploy.is_ready(n) for n in range(1, DAEMONS + 1)))
    deploy.wait_for("an owner", 10.0, deploy.owner)
    wide = "00000000000000e0"
    count = LARGE_COUNT if trouble else MEAN_COUNT
    steps = LARGE_STEPS if trouble else MEAN_STEPS
    answer = deploy.submit(1, RENEWAL, wide, {
        "spec": json.dumps({"ms": 6000, "ms_more": 4000 / count,
                            "saved_chars": SAVED_CHARS}),
        "steps": [{"count": count, "cpu": 250, "mem_mb": 500,
                   "est_runtime_ms": 8000, "checkpoint": True}] * steps})
    if answer.status != 200:
        raise deployment.CannotRun("the wide job was not accepted")
    deploy.wait_for("the wide job", 15.0, lambda: len(
        deploy.started(wide)) >= count * steps)
    time.sleep(8.0)
    small = [f"{n:016x}" for n in range(0xe100, 0xe100 + SMALL_JOBS)]
    accepted = [job_id for n, job_id in enumerate(small) if deploy.submit(
        1 + n % DAEMONS, HULL, job_id, {
            "spec": json.dumps({"ms": 400}), "steps": [{
                "count": 2, "cpu": 1000, "mem_mb": 500,
                "est_runtime_ms": 400}]}).status == 200]
    if len(accepted) < SMALL_JOBS / 2:
        raise deployment.CannotRun("few small jobs were accepted")
    time.sleep(20.0)
    ends = [row for row in deploy.seen if row["what"] == "ended"
            and time.time() - row["t"] > ACK_MS / 1000.0]
    noted = {}
    for row in deploy.seen:
        if row["what"] == "ends taken note of":
            noted[row["worker"]] = row["upto"]
    unnoted = [row for row in ends
               if row["number"] > noted.get(row["worker"], 0)]
    states = [deploy.state(1 + n % DAEMONS, HULL, job_id).body.get("state")
              for n, job_id in enumerate(accepted)]
    done = {job_id for job_id in accepted if sum(
        row["how"] == "done" and row["task"].startswith(job_id)
        for row in ends) >= 2}
    open_jobs = [job_id for job_id, state in zip(accepted, states)
                 if job_id in done and state != "completed"]
    deploy.note("at the end", ends=len(ends), ends_not_noted=len(unnoted),
                jobs_done=len(done), jobs_done_not_completed=len(open_jobs))
    return len(unnoted) * 5 <= len(ends)


if __name__ == "__main__":
    deployment.main(case, DAEMONS, os.path.join(HERE, "record.txt"))
