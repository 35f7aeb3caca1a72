"""Jobs are given up as failed because their worker crashes again and again.

One worker of eight crashes and starts again.  The tasks of two jobs need its
label.  No run of theirs ends `failed`, and one of them lasts.
"""

import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib2"))

import deployment  # noqa: E402

DAEMONS = 3
# One of eight workers: `srv_crash`, share 0.14, down for up to 4.5 s.
WORKERS = 8
CRASHES = 7
UP_S = 2.5
DOWN_S = 1.5
CALM_S = 16.0
LASTING, FINITE = "00000000000000c1", "00000000000000c2"
WATCH, RENEWAL = "/watch/", "/renewal/"


def job(ms, **step):
    return {"spec": json.dumps({"ms": ms} if ms else {}), "steps": [{
        "count": 1, "cpu": 3000, "mem_mb": 4000, "requires": "b",
        "est_runtime_ms": ms or 500, **step}]}


def case(deploy, trouble):
    deploy.start_store([
        deployment.route("r-watch", WATCH, slo_ms=2500, max_attempts=2),
        deployment.route("r-renewal", RENEWAL, priority=2)])
    for number in range(1, WORKERS):
        deploy.start_worker(number, rack=f"r1-{number % 3}")
    deploy.start_worker(WORKERS, kind="b", rack="r1-2")
    for number in range(1, DAEMONS + 1):
        deploy.start_daemon(number)
    deploy.wait_for("all daemons", 30.0, lambda: all(
        deploy.is_ready(n) for n in range(1, DAEMONS + 1)))
    deploy.wait_for("an owner", 10.0, deploy.owner)
    if deploy.submit(1, WATCH, LASTING, job(
            0, perpetual=True)).status != 200 or deploy.submit(
                2, RENEWAL, FINITE, job(6000)).status != 200:
        raise deployment.CannotRun("a job was not accepted")
    deploy.wait_for("both jobs", 15.0, lambda: (
        deploy.started(LASTING) and deploy.started(FINITE)))
    for _ in range(CRASHES):
        time.sleep(UP_S)
        if trouble:
            deploy.kill(deploy.workers[WORKERS])
            deploy.note("worker crashes", worker=WORKERS)
        time.sleep(DOWN_S)
        if trouble:
            deploy.start_worker(WORKERS, kind="b", rack="r1-2")
    time.sleep(CALM_S)
    held = True
    ends = [row for row in deploy.seen if row["what"] == "ended"]
    for daemon, prefix, job_id in ((1, WATCH, LASTING), (2, RENEWAL, FINITE)):
        state = deploy.state(daemon, prefix, job_id)
        failed = [row for row in ends if row["task"].startswith(job_id)
                  and row["how"] == "failed"]
        deploy.note("job at the end", job=job_id, status=state.status,
                    answer=state.body, starts=len(deploy.started(job_id)),
                    ends_failed=len(failed))
        if state.status == 0 or state.status >= 500:
            raise deployment.CannotRun("no answer at the end")
        if state.body.get("state") == "failed" and not failed:
            held = False
    return held


if __name__ == "__main__":
    deployment.main(case, DAEMONS, os.path.join(HERE, "record.txt"))
