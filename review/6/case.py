"""A job runs on although its cancelling was answered.

An entry process stands still for a second with a client's job in its socket.
The client leaves and cancels the job through another process, which answers.
The first process goes on, stores the job, and the owner starts it.
"""

import http.client
import json
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib2"))

import deployment  # noqa: E402

# One of nine machines: `node_freeze`, share 0.11; at most for_s 3.5.
DAEMONS = 9
FREEZE_S = 1.0
# `give_up`: clients leave within half of the objective of 250 ms.
CLIENT_LEAVES_S = 0.12
# A task must be gone this long after the cancelling was acknowledged.
GONE_S = (deployment.BOUNDS["cancel_ms"]
          + deployment.BOUNDS["stop_ms"]) / 1000.0
WATCH_S = 12.0
HULL, WATCH = "/hull/", "/watch/"
FINITE = {"spec": json.dumps({"ms": 1000}), "steps": [
    {"count": 2, "cpu": 2000, "mem_mb": 500, "est_runtime_ms": 1000}]}
LASTING = {"spec": json.dumps({}), "steps": [
    {"count": 2, "cpu": 2000, "mem_mb": 500, "est_runtime_ms": 500,
     "perpetual": True}]}


def hand_in_and_leave(deploy, daemon, path):
    """Send a whole request, wait a little for the answer, and leave."""
    host, _, port = deploy.front(daemon).rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=2.0)
    connection.request(
        "POST", path, json.dumps(LASTING),
        {"Host": deployment.HOST, "Content-Type": "application/json",
         "Sycamorefield-Deadline": "3000"})
    deploy.note(f"client: POST {path} at daemon {daemon}, sent")
    connection.sock.settimeout(CLIENT_LEAVES_S)
    try:
        status = connection.getresponse().status
    except OSError:
        status = 0
    connection.close()
    deploy.note("client: leaves", answered=status)


def case(deploy, trouble):
    deploy.start_store([
        deployment.route("r-hull", HULL, slo_ms=250, stretch=1.5),
        deployment.route("r-watch", WATCH, slo_ms=250, max_attempts=2)])
    for number in (1, 2, 3):
        deploy.start_worker(number)
    for number in range(1, DAEMONS + 1):
        deploy.start_daemon(number)
    deploy.wait_for("all daemons", 30.0, lambda: all(
        deploy.is_ready(n) for n in range(1, DAEMONS + 1)))
    deploy.wait_for("an owner", 10.0, deploy.owner)
    first = "00000000000000a0"
    deploy.submit(1, HULL, first, FINITE)
    deploy.wait_for("the first job", 15.0, lambda: deploy.started(first))
    time.sleep(2.0)
    owner = deploy.owner()
    frozen = 1 + owner % DAEMONS
    other = 1 + frozen % DAEMONS
    deploy.note("roles", owner=owner, frozen=frozen, other=other)

    job_id = "00000000000000b1"
    process = deploy.daemons[frozen]
    if trouble:
        process.send_signal(signal.SIGSTOP)
        deploy.note("daemon freezes", daemon=frozen)
    frozen_at = time.monotonic()
    hand_in_and_leave(deploy, frozen, WATCH + job_id)
    cancelled = deploy.cancel(other, WATCH, job_id)
    acked_at = time.time()
    if cancelled.status not in (200, 202, 204, 410):
        raise deployment.CannotRun("the cancelling was not acknowledged")
    time.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
    if trouble:
        process.send_signal(signal.SIGCONT)
        deploy.note("daemon wakes", daemon=frozen)
    time.sleep(WATCH_S)
    ended = {(row["task"], row["run"]): row["t"] for row in deploy.seen
             if row["what"] == "ended"}
    late = [row for row in deploy.started(job_id)
            if ended.get((row["task"], row["run"]), time.time())
            - acked_at > GONE_S]
    for row in late:
        deploy.note("runs on after its cancelling was acknowledged",
                    task=row["task"], run=row["run"],
                    started_after_ack_s=round(row["t"] - acked_at, 3),
                    looked_at_after_ack_s=round(time.time() - acked_at, 3))
    deploy.state(other, WATCH, job_id)
    return not late


if __name__ == "__main__":
    deployment.main(case, DAEMONS, os.path.join(HERE, "record.txt"))
