"""Measure what each worker and each task costs an entry process.

One entry process, the key-value stand-in and the VM list stand-in run as
processes; this process serves the RPCs of every worker.  Memory, processor
time and bytes exchanged with workers are measured at increasing numbers of
workers, and then of running tasks.  docs/CAPACITY.md derives the cost per
worker and per task from the differences.  Prints JSON.
"""

import argparse
import concurrent.futures
import json
import math
import os
import sys
import tempfile
import time

import grpc
import yaml

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

from bench import idle  # noqa: E402
from bench import output  # noqa: E402
from bench import starts  # noqa: E402
from sycamorefield import settings  # noqa: E402
from sycamorefield import sycamorefield_pb2_grpc as pb_grpc  # noqa: E402
from tests import deployment  # noqa: E402
from tools import launch  # noqa: E402

ZONES = ("townsville", "cairns", "mackay")
WINDOW_S = 8.0


class EndlessTaskWorker(starts.StubWorker):
    """A stub worker whose tasks never end and that counts bytes."""

    bytes_exchanged = 0
    run_seconds = math.inf

    def StartTask(self, request, context):
        reply = super().StartTask(request, context)
        type(self).bytes_exchanged += request.ByteSize() + reply.ByteSize()
        return reply

    def Report(self, request, context):
        reply = super().Report(request, context)
        type(self).bytes_exchanged += request.ByteSize() + reply.ByteSize()
        return reply


def serve_workers(deploy: launch.Deployment) -> list[grpc.Server]:
    """Serve the RPCs of every worker of a deployment from this process."""
    servers = []
    # A Report call that waits for a task to end blocks one thread, so each
    # worker needs another one to accept starts.
    pool = concurrent.futures.ThreadPoolExecutor(
        2 * len(deploy.opts.machines))
    for machine in deploy.opts.machines:
        server = grpc.server(pool)
        pb_grpc.add_WorkerServicer_to_server(EndlessTaskWorker({}), server)
        server.add_insecure_port(f"{deploy.opts.host}:{machine.grpc_port}")
        server.start()
        servers.append(server)
    return servers


def measure_window(deploy: launch.Deployment, label: str) -> dict:
    """Measure the entry process for WINDOW_S and print the result."""
    pid = deploy.procs["entry-1"].pid
    time.sleep(2.0)
    cpu, bytes_before = (idle.cpu_seconds(pid),
                         EndlessTaskWorker.bytes_exchanged)
    time.sleep(WINDOW_S)
    row = {"step": label, "rss_mb": round(idle.rss_mb(pid), 1),
           "cpu_percent": round(100 * (idle.cpu_seconds(pid) - cpu)
                                / WINDOW_S, 2),
           "worker_bytes_per_s": round(
               (EndlessTaskWorker.bytes_exchanged - bytes_before)
               / WINDOW_S)}
    print(json.dumps(row), flush=True)
    return row


def measure_fleet(directory: str, base_port: int, worker_count: int,
                  task_counts: list[int], report_interval_s: float,
                  task_lease_s: float) -> list[dict]:
    """Measure a fleet of one size, idle and with running tasks.

    task_counts are the increasing numbers of tasks to measure.
    """
    os.makedirs(directory)
    timings = yaml.safe_load(settings.sample_text(
        settings.DEFAULT_SAMPLE))["timings"]
    timings.update(report_seconds=report_interval_s,
                   task_lease_seconds=task_lease_s)
    deploy = launch.Deployment.from_sample(
        directory, base_port, entries=1, cells=8, quiet_share=0.0,
        timings=timings,
        zones=[{"name": zone, "racks": [{
            "name": f"{zone[:3]}-r{rack}", "workers": worker_count // 12}
            for rack in range(4)]} for zone in ZONES])
    servers = serve_workers(deploy)
    rows = []
    try:
        for role, name in (("kv", ""), ("vm-list", ""),
                           ("entry", "entry-1")):
            deploy.start(role, name)
        if not deploy.wait_until_ready():
            raise RuntimeError(
                "the entry process is not ready or a worker has no owner")
        rows.append(measure_window(deploy, f"{worker_count} workers idle"))
        submitted = 0
        for task_count in task_counts:
            while submitted < task_count:
                status, body = deploy.call(
                    "POST", deploy.url(0) + "/v1/jobs",
                    {"customer": "owners", "work": "fleet-watch",
                     "job_id": f"watch-{submitted}"})
                if status == 202:
                    submitted += 1
                elif status == 503:
                    time.sleep(1.0)
                else:
                    raise RuntimeError(f"job was not accepted: {body}")
            deployment.wait_until(lambda: deploy.call(
                "GET", deploy.url(0) + "/metrics")[1]["counters"][
                    "batch_started"] >= submitted, 20)
            rows.append(measure_window(
                deploy, f"{worker_count} workers, {task_count} tasks"))
    finally:
        deploy.down()
        for server in servers:
            server.stop(0)
    return rows


def main() -> int:
    """Measure every fleet size; print and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--base-port", type=int, default=20400)
    parser.add_argument("--report-seconds", type=float, default=0.5)
    parser.add_argument("--task-lease", type=float, default=3.0)
    parser.add_argument("--out", default="bench-results/capacity.json")
    args = parser.parse_args()
    results = []
    with tempfile.TemporaryDirectory() as tmp:
        for index, (worker_count, task_counts) in enumerate(
                ((24, []), (96, []), (240, [500, 1500]))):
            results += measure_fleet(
                os.path.join(tmp, str(worker_count)),
                args.base_port + index * 1000, worker_count, task_counts,
                args.report_seconds, args.task_lease)
    output.write(args.out, results)
    return 0


if __name__ == "__main__":
    sys.exit(main())
