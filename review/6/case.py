"""A frozen entry process stores jobs after their cancelling was answered.

One entry process freezes with the jobs of some clients in its sockets.  The
clients leave and cancel the jobs through another process, which answers.  The
first process wakes, stores the jobs, and the owner starts them.
"""

import http.client
import json
import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib2"))

import deployment  # noqa: E402

# One of nine machines: `node_freeze`, share 0.11, for_s 3.5.
DAEMONS = 9
FREEZE_S = 3.5
# `give_up`: clients leave within half of the objective of 250 ms.
CLIENT_LEAVES_S = 0.12
CLIENTS = 12
CANCEL_MS = deployment.BOUNDS["cancel_ms"]
PREFIX = "/hull/"
JOB = {"spec": json.dumps({"ms": 1500}),
       "steps": [{"count": 2, "cpu": 2000, "mem_mb": 500,
                  "est_runtime_ms": 1500}]}


def hand_in_and_leave(deploy, daemon, job_id):
    """Send a whole request, wait a little for the answer, and leave."""
    host, _, port = deploy.front(daemon).rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=2.0)
    connection.request(
        "POST", PREFIX + job_id, json.dumps(JOB),
        {"Host": deployment.HOST, "Content-Type": "application/json",
         "Sycamorefield-Deadline": "3000"})
    deploy.note(f"client: POST {PREFIX}{job_id} at daemon {daemon}, sent")
    connection.sock.settimeout(CLIENT_LEAVES_S)
    try:
        status = connection.getresponse().status
    except OSError:
        status = 0
    connection.close()
    deploy.note("client: leaves", answered=status)
    return status


def case(deploy, trouble):
    deploy.start_store([deployment.route(
        "r-hull", PREFIX, slo_ms=250, stretch=1.5)])
    for number in (1, 2, 3):
        deploy.start_worker(number)
    for number in range(1, DAEMONS + 1):
        deploy.start_daemon(number)
    deploy.wait_for("all daemons", 30.0, lambda: all(
        deploy.is_ready(n) for n in range(1, DAEMONS + 1)))
    deploy.wait_for("an owner", 10.0, deploy.owner)
    first = "00000000000000a0"
    deploy.submit(1, PREFIX, first, JOB)
    deploy.wait_for("the first job", 15.0, lambda: deploy.started(first))
    owner = deploy.owner()
    frozen = 1 + owner % DAEMONS
    other = 1 + frozen % DAEMONS
    deploy.note("roles", owner=owner, frozen=frozen, other=other)

    job_ids = [f"{n:016x}" for n in range(0xb1, 0xb1 + CLIENTS)]
    process = deploy.daemons[frozen]
    if trouble:
        process.send_signal(signal.SIGSTOP)
        deploy.note("daemon freezes", daemon=frozen)
    frozen_at = time.monotonic()
    acked_at = {}

    def client(job_id):
        hand_in_and_leave(deploy, frozen, job_id)
        if deploy.cancel(other, PREFIX, job_id).status in (200, 202, 204,
                                                           410):
            acked_at[job_id] = time.time()

    clients = [threading.Thread(target=client, args=(job_id,))
               for job_id in job_ids]
    for thread in clients:
        thread.start()
    for thread in clients:
        thread.join()
    if len(acked_at) < CLIENTS:
        raise deployment.CannotRun("a cancelling was not acknowledged")
    time.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
    if trouble:
        process.send_signal(signal.SIGCONT)
        deploy.note("daemon wakes", daemon=frozen)
    time.sleep(6.0)
    late = [(job_id, row) for job_id in job_ids
            for row in deploy.started(job_id)
            if (row["t"] - acked_at[job_id]) * 1000.0 > CANCEL_MS]
    for job_id, row in late:
        deploy.note("started after its cancelling was acknowledged",
                    task=row["task"], run=row["run"],
                    after_ack_s=round(row["t"] - acked_at[job_id], 3))
    for job_id in job_ids:
        deploy.state(other, PREFIX, job_id)
    return not late


if __name__ == "__main__":
    deployment.main(case, DAEMONS, os.path.join(HERE, "record.txt"))
