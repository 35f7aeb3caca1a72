"""Measure task starts per second against the store's write budget.

One entry process's cells run in this process over stand-in workers that
only answer; the key-value stand-in (its own process, limited as the
platform is) counts every write.  Two legs per rate: group commit, and the
naive version of our own that writes each change by itself (what versions
before the cells did).  Prints start latency (staged to worker asked),
writes and processor time per second; writes JSON.
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
OWN_CELLS = 8
RUN_SECONDS = 0.3
WRITES_PER_SECOND = 300


class AnsweringWorker(pb_grpc.WorkerServicer):
    """Accept every start, note when, and report it done soon after."""

    run_seconds = RUN_SECONDS

    def __init__(self, begun: dict[str, float]) -> None:
        self.begun = begun
        self.news = threading.Condition()
        self.tasks: dict[str, float] = {}
        self.told: set[str] = set()

    def StartTask(self, request, context):
        now = time.monotonic()
        with self.news:
            self.tasks.setdefault(request.task_id, now)
            self.news.notify_all()
        self.begun.setdefault(request.job_id, now)
        return pb.TaskReply(accepted=True)

    def _ends(self) -> list[float]:
        """Return when the tasks not yet reported as done will be."""
        return [at + self.run_seconds for task_id, at in self.tasks.items()
                if task_id not in self.told]

    def _hold(self, seconds: float) -> None:
        """Wait until a task has ended, at most so many seconds."""
        until = time.monotonic() + seconds
        while (now := time.monotonic()) < until:
            due = min(self._ends(), default=until)
            if due <= now:
                return
            self.news.wait(min(due, until) - now)

    def Report(self, request, context):
        with self.news:
            for task_id in request.acknowledged:
                self.tasks.pop(task_id, None)
                self.told.discard(task_id)
            if request.seen:
                self._hold(request.wait_ms / 1000.0)
            now = time.monotonic()
            ended = {t for t, at in self.tasks.items()
                     if at + self.run_seconds <= now}
            listed = self.tasks if not request.seen else ended - self.told
            tasks = [pb.TaskStatus(
                task_id=t, job_id=t.rsplit(".", 1)[0], progress=1.0,
                state="done" if t in ended else "running")
                for t in listed]
            self.told |= ended
        return pb.ReportReply(tasks=tasks, fence_seen=request.fence,
                              sequence=1, incarnation=1,
                              full=not request.seen)


class SingleWrites(jobtable.JobTable):
    """The naive version: one compare-and-swap for each changed job."""

    def commit_once(self) -> bool:
        with self.changed:
            due = sorted((v, j) for j, v in self.change_versions.items()
                         if v > self.committed_version)
        for version, job_id in due:
            self.revisions = getattr(self, "revisions", {})
            swap = self.kv.cas(f"/jobs/{job_id}",
                               self.revisions.get(job_id, 0),
                               self.encoded_records[job_id]).value_or(None)
            self.commits += 1
            if swap is None or not swap.succeeded:
                return False
            self.revisions[job_id] = swap.revision
            self._mark_committed(version, self.revision)
        return True


def machines(count: int, begun: dict[str, float]
             ) -> tuple[list[options.WorkerSpec], list[grpc.Server]]:
    """Start answering workers; return them and their servers."""
    out, servers = [], []
    for number in range(count):
        server = grpc.server(concurrent.futures.ThreadPoolExecutor(4))
        pb_grpc.add_WorkerServicer_to_server(AnsweringWorker(begun), server)
        port = server.add_insecure_port("127.0.0.1:0")
        server.start()
        servers.append(server)
        out.append(options.WorkerSpec(f"w{number}", "z", "r", port, 0,
                                      options.Capacity(1e6, 10**9, 0), 10**6))
    return out, servers


def leg(table_class: type[jobtable.JobTable], rate: int, seconds: float,
        kv_target: str, opts: options.Options, number: int) -> dict:
    """Run one rate on one kind of table; return what was measured."""
    begun: dict[str, float] = {}
    workers, servers = machines(OWN_CELLS, begun)
    opts = dataclasses.replace(opts, machines=tuple(workers),
                               cells=OWN_CELLS)
    kv = kvclient.Client(kv_target)
    work = next(w for w in opts.work.values() if w.kind == "batch")
    commit_interval_s = FLEET_CELLS / (0.5 * WRITES_PER_SECOND)
    cells = []
    for index in range(OWN_CELLS):
        table = table_class(kv, number * 100 + index, "entry-1", 1,
                            commit_interval_s, 5.0)
        cell = cell_mod.Cell(opts, index, 1, table,
                             strategy.by_name("guarded"), "entry-1",
                             lambda: True, cell_mod.Counters())
        threading.Thread(target=cell.run, daemon=True).start()
        cells.append(cell)
    time.sleep(1.5)
    writes = sum(c.table.commits for c in cells)
    cpu = time.process_time()
    began = time.monotonic()
    staged: dict[str, float] = {}
    count = 0
    while time.monotonic() - began < seconds:
        while count < (time.monotonic() - began) * rate:
            job_id = f"{number}-{count}"
            cell = cells[count % OWN_CELLS]
            staged[job_id] = time.monotonic()
            cell.table.stage(jobtable.new_record(job_id, "owners", work,
                                                 "urgent"))
            cell.wake.set()
            count += 1
        time.sleep(0.005)
    elapsed = time.monotonic() - began
    cpu = (time.process_time() - cpu) / elapsed
    writes = sum(c.table.commits for c in cells) - writes
    in_time = sum(1 for at in begun.values() if at <= began + elapsed)
    deployment.wait_until(lambda: len(begun) >= count, 5.0)
    latencies = metrics.Latencies()
    for job_id, at in begun.items():
        latencies.record("start", at - staged[job_id])
    for cell in cells:
        cell.stop(flush=False)
    for server in servers:
        server.stop(0)
    summary = latencies.summary().get("start", {})
    return {"table": table_class.__name__, "asked_per_s": rate,
            "started_per_s": round(in_time / elapsed, 1),
            "unstarted_5s_later": count - len(begun),
            "p50_ms": summary.get("p50_ms"), "p99_ms": summary.get("p99_ms"),
            "writes_per_s": round(writes / elapsed, 1),
            "cpu_percent": round(100 * cpu, 1)}


def main() -> int:
    """Run every leg and print it."""
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
                    results.append(leg(table_class, rate, args.seconds,
                                       opts.kv_target, opts, len(results)))
                    print(json.dumps(results[-1]), flush=True)
        finally:
            store.terminate()
            store.wait()
    output.write(args.out, results)
    return 0


if __name__ == "__main__":
    sys.exit(main())
