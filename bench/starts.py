"""Measure task starts per second under the write limit of the store.

The cells of one entry process run in this process, with stub workers.  The
key-value stand-in runs as a process of its own and limits the writes per
second as the platform does.  Each rate is measured with group commit and
with a baseline that writes each changed job by itself.  Prints the start
latency (from staging a job to the start request at its worker), writes per
second and processor use; writes JSON.
"""

import argparse
import concurrent.futures
import dataclasses
import json
import os
import subprocess
import sys
import tempfile
import threading
import time

import grpc

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

from bench import output  # noqa: E402
from sycamorefield import cell as cell_mod  # noqa: E402
from sycamorefield import jobtable  # noqa: E402
from sycamorefield import kvclient  # noqa: E402
from sycamorefield import metrics  # noqa: E402
from sycamorefield import options  # noqa: E402
from sycamorefield import settings  # noqa: E402
from sycamorefield import strategy  # noqa: E402
from sycamorefield import sycamorefield_pb2 as pb  # noqa: E402
from sycamorefield import sycamorefield_pb2_grpc as pb_grpc  # noqa: E402
from tests import deployment  # noqa: E402

FLEET_CELLS = 72
OWNED_CELLS = 8
TASK_DURATION_S = 0.3
MAX_WRITES_PER_S = 300
# More than all tasks of a run need.
CAPACITY = pb.Resources(cpus=1e6, memory_mb=10**9)


class StubWorker(pb_grpc.WorkerServicer):
    """A worker that accepts every start and reports it done on time.

    A task ends run_seconds after its start.
    job_started_at gets the time of the first start request of each job.
    """

    run_seconds = TASK_DURATION_S

    def __init__(self, job_started_at: dict[str, float]) -> None:
        self.job_started_at = job_started_at
        self.changed = threading.Condition()
        self.task_started_at: dict[str, float] = {}
        self.reported_ends: set[str] = set()

    def StartTask(self, request, context):
        now = time.monotonic()
        with self.changed:
            self.task_started_at.setdefault(request.task_id, now)
            self.changed.notify_all()
        self.job_started_at.setdefault(request.job_id, now)
        return pb.TaskReply(accepted=True)

    def _unreported_ends(self) -> list[float]:
        """Return the end times of tasks not yet reported as done."""
        return [at + self.run_seconds
                for task_id, at in self.task_started_at.items()
                if task_id not in self.reported_ends]

    def _wait_for_end(self, timeout_s: float) -> None:
        """Wait for a task to end, at most for the given time."""
        deadline = time.monotonic() + timeout_s
        while (now := time.monotonic()) < deadline:
            next_end = min(self._unreported_ends(), default=deadline)
            if next_end <= now:
                return
            self.changed.wait(min(next_end, deadline) - now)

    def Report(self, request, context):
        with self.changed:
            for task_id in request.acknowledged:
                self.task_started_at.pop(task_id, None)
                self.reported_ends.discard(task_id)
            if request.seen:
                self._wait_for_end(request.wait_ms / 1000.0)
            now = time.monotonic()
            ended = {t for t, at in self.task_started_at.items()
                     if at + self.run_seconds <= now}
            listed = (self.task_started_at if not request.seen
                      else ended - self.reported_ends)
            tasks = [pb.TaskStatus(
                task_id=t, job_id=t.rsplit(".", 1)[0], progress=1.0,
                state="done" if t in ended else "running")
                for t in listed]
            self.reported_ends |= ended
        return pb.ReportReply(tasks=tasks, capacity=CAPACITY,
                              fence_seen=request.fence,
                              sequence=1, incarnation=1,
                              full=not request.seen)


class SingleWrites(jobtable.JobTable):
    """The baseline: write each changed job by a compare-and-swap."""

    def commit_once(self) -> bool:
        with self.changed:
            uncommitted = sorted(
                (v, j) for j, v in self.change_versions.items()
                if v > self.committed_version)
        for version, job_id in uncommitted:
            self.revisions = getattr(self, "revisions", {})
            result = self.kv.cas(f"/jobs/{job_id}",
                                 self.revisions.get(job_id, 0),
                                 self.encoded_records[job_id]).value_or(None)
            self.commits += 1
            if result is None or not result.succeeded:
                return False
            self.revisions[job_id] = result.revision
            self._mark_committed(version, self.revision)
        return True


def start_workers(count: int, job_started_at: dict[str, float]
                  ) -> tuple[list[options.WorkerSpec], list[grpc.Server]]:
    """Start stub workers; return their options and their servers."""
    workers, servers = [], []
    for index in range(count):
        server = grpc.server(concurrent.futures.ThreadPoolExecutor(4))
        pb_grpc.add_WorkerServicer_to_server(StubWorker(job_started_at),
                                             server)
        port = server.add_insecure_port("127.0.0.1:0")
        server.start()
        servers.append(server)
        workers.append(options.WorkerSpec(
            f"w{index}", "z", "r", port, 0,
            options.Capacity(CAPACITY.cpus, CAPACITY.memory_mb, 0), 10**6))
    return workers, servers


def measure_rate(table_class: type[jobtable.JobTable], rate: int,
                 load_s: float, kv_target: str, opts: options.Options,
                 run_number: int) -> dict:
    """Measure one rate of job submissions with one kind of job table."""
    job_started_at: dict[str, float] = {}
    workers, servers = start_workers(OWNED_CELLS, job_started_at)
    opts = dataclasses.replace(opts, machines=tuple(workers),
                               cells=OWNED_CELLS)
    kv = kvclient.Client(kv_target)
    work = next(w for w in opts.work.values() if w.kind == "batch")
    commit_interval_s = FLEET_CELLS / (0.5 * MAX_WRITES_PER_S)
    cells = []
    for index in range(OWNED_CELLS):
        table = table_class(kv, run_number * 100 + index, "entry-1", 1,
                            commit_interval_s, 5.0)
        cell = cell_mod.Cell(
            opts, index, 1, table, strategy.by_name("guarded"),
            "entry-1", lambda: True, cell_mod.Counters())
        threading.Thread(target=cell.run, daemon=True).start()
        cells.append(cell)
    time.sleep(1.5)
    writes = sum(c.table.commits for c in cells)
    cpu = time.process_time()
    load_started_at = time.monotonic()
    staged_at: dict[str, float] = {}
    count = 0
    while time.monotonic() - load_started_at < load_s:
        while count < (time.monotonic() - load_started_at) * rate:
            job_id = f"{run_number}-{count}"
            cell = cells[count % OWNED_CELLS]
            staged_at[job_id] = time.monotonic()
            cell.table.stage(jobtable.new_record(job_id, "owners", work,
                                                 "urgent"))
            cell.wake.set()
            count += 1
        time.sleep(0.005)
    elapsed = time.monotonic() - load_started_at
    cpu = (time.process_time() - cpu) / elapsed
    writes = sum(c.table.commits for c in cells) - writes
    started_in_time = sum(1 for at in job_started_at.values()
                          if at <= load_started_at + elapsed)
    deployment.wait_until(lambda: len(job_started_at) >= count, 5.0)
    latencies = metrics.Latencies()
    for job_id, at in job_started_at.items():
        latencies.record("start", at - staged_at[job_id])
    for cell in cells:
        cell.stop(flush=False)
    for server in servers:
        server.stop(0)
    summary = latencies.summary().get("start", {})
    return {"table": table_class.__name__, "asked_per_s": rate,
            "started_per_s": round(started_in_time / elapsed, 1),
            "unstarted_5s_later": count - len(job_started_at),
            "p50_ms": summary.get("p50_ms"), "p99_ms": summary.get("p99_ms"),
            "writes_per_s": round(writes / elapsed, 1),
            "cpu_percent": round(100 * cpu, 1)}


def main() -> int:
    """Measure every rate; print and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--rates", default="30,122,250")
    parser.add_argument("--out", default="bench-results/starts.json")
    args = parser.parse_args()
    results = []
    with tempfile.TemporaryDirectory() as tmp:
        path = os.path.join(tmp, "settings.yaml")
        with open(path, "w", encoding="utf-8") as handle:
            handle.write(settings.sample_text(settings.DEFAULT_SAMPLE).replace(
                "base_port: 17400", "base_port: 28400").replace(
                "log_dir: run/coral-sea/logs", f"log_dir: {tmp}"))
        opts = settings.load(path).unwrap()
        store = subprocess.Popen([sys.executable, "-m", "sycamorefield",
                                  "kv", "--settings", path])
        try:
            time.sleep(1.5)
            for rate in map(int, args.rates.split(",")):
                for table_class in (jobtable.JobTable, SingleWrites):
                    results.append(measure_rate(
                        table_class, rate, args.seconds, opts.kv_target,
                        opts, len(results)))
                    print(json.dumps(results[-1]), flush=True)
        finally:
            store.terminate()
            store.wait()
    output.write(args.out, results)
    return 0 if all(row["started_per_s"] for row in results) else 1


if __name__ == "__main__":
    sys.exit(main())
