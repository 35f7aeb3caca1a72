"""Generate a mixed load for a deployment and report the results.

The load tool acts as the callers and as the platform's load balancer: it
spreads requests over the entry processes, submits batch and standing jobs and
measures latency at the caller.  It also calls one backend server directly, so
that a single run shows the overhead of the entry process as a ratio.
"""

import concurrent.futures
import dataclasses
import itertools
import json
import random
import threading
import time
import typing
import uuid

import urllib3

from sycamorefield import events
from sycamorefield import metrics
from sycamorefield import options

MAX_CONCURRENT_REQUESTS = 16
JOB_WAIT_S = 90.0
# Share of the run's duration over which the waves of jobs are submitted.
SUBMISSION_SHARE = 0.75
DIRECT_SAMPLES = 50
MAX_ATTEMPTS = 8
# 0 stands for a connection that failed.
RETRY_STATUSES = (0, 503, 504)
# Errors which say that a request was not executed.
NOT_RUN_ERRORS = ("not-run", "no-backend", "rejected", "stopping",
                  "store-unavailable")


class EntryClient:
    """Send requests to the entry processes in turn, like a load balancer."""

    def __init__(self, opts: options.Options) -> None:
        self.opts = opts
        self.http = urllib3.PoolManager(
            maxsize=MAX_CONCURRENT_REQUESTS * 2, block=False)
        self.urls = [f"http://{opts.host}:{e.http_port}"
                     for e in opts.entries]
        self.request_count = 0
        self.lock = threading.Lock()

    def next_url(self) -> str:
        """Return the URL of the next entry process."""
        with self.lock:
            self.request_count += 1
            return self.urls[self.request_count % len(self.urls)]

    def attempt_urls(self) -> typing.Iterator[str]:
        """Return the URL for each attempt of one request.

        Each attempt goes to another entry process than the one before,
        whatever other requests are sent meanwhile.
        """
        first = self.urls.index(self.next_url())
        return itertools.islice(
            itertools.cycle(self.urls[first:] + self.urls[:first]),
            MAX_ATTEMPTS)

    def post(self, url: str, body: dict[str, object]
             ) -> tuple[int, dict[str, object]]:
        """POST JSON to a URL; return the status and body.

        The status is 0 if the connection failed.
        """
        try:
            reply = self.http.request(
                "POST", url, body=json.dumps(body),
                headers={"Content-Type": "application/json"},
                timeout=5.0, retries=False)
        except urllib3.exceptions.HTTPError as exc:
            return 0, {"error": type(exc).__name__}
        return reply.status, json.loads(reply.data or b"{}")

    def delete(self, url: str) -> int:
        """DELETE a URL; return the status, or 0 if the connection failed."""
        try:
            reply = self.http.request("DELETE", url, timeout=5.0,
                                      retries=False)
        except urllib3.exceptions.HTTPError:
            return 0
        return reply.status

    def get(self, url: str) -> dict[str, object]:
        """GET JSON from a URL; return an empty dict if the request fails."""
        try:
            reply = self.http.request("GET", url, timeout=5.0, retries=False)
        except urllib3.exceptions.HTTPError:
            return {}
        return json.loads(reply.data or b"{}")


def _latency_work(opts: options.Options) -> list[options.Work]:
    return [w for w in opts.work.values() if w.kind == "latency"]


def _check_answer(request_id: str, key: str | None, status: int,
                  body: dict[str, object]) -> None:
    """Log a mismatched answer, or an error that denies any execution."""
    if status == 200 and (body.get("request_id") != request_id or body.get(
            "payload") != {"note": request_id}):
        events.emit(events.INVARIANT_BROKEN, invariant="own-answer",
                    request_id=request_id, got=body)
    if body.get("error") in NOT_RUN_ERRORS:
        events.emit(events.CALLER_TOLD_NOT_RUN, request_id=request_id,
                    key=key or "")


def _send_request(client: EntryClient, rng: random.Random,
                  opts: options.Options, latencies: metrics.Latencies,
                  outcomes: dict[str, int], lock: threading.Lock) -> None:
    with lock:
        work = rng.choice(_latency_work(opts))
        customer = rng.choice(opts.load.customers)
        key = None if work.idempotent else uuid.UUID(
            int=rng.getrandbits(128)).hex
    started = time.monotonic()
    request_id = uuid.uuid4().hex
    status, body = client.post(client.next_url() + "/v1/requests", {
        "customer": customer, "work": work.name, "request_id": request_id,
        "payload": {"note": request_id}, "idempotency_key": key})
    elapsed_s = time.monotonic() - started
    _check_answer(request_id, key, status, body)
    with lock:
        outcomes[str(status)] = outcomes.get(str(status), 0) + 1
    if status == 200:
        latencies.record(work.name, elapsed_s)


def _submit_with_retries(client: EntryClient, body: dict[str, object]) -> bool:
    """Submit a job, retrying as told; return whether it was accepted."""
    statuses = []
    for url in client.attempt_urls():
        status, answer = client.post(url + "/v1/jobs", body)
        if status == 202:
            return True
        statuses.append(status)
        if status not in RETRY_STATUSES:
            break
        delay_s = answer.get("retry_after_seconds", 1.0)
        time.sleep(float(delay_s) if isinstance(delay_s, int | float) else 1.0)
    events.emit(events.JOB_GIVEN_UP, job=body["job_id"], statuses=statuses)
    return False


def cancel(client: EntryClient, job_id: str) -> bool:
    """Cancel a job, with retries; return whether it was cancelled.

    An answer that asks for a retry leaves open whether the job is cancelled.
    If it counted as a failure, the load tool would wait in vain for a
    cancelled job to finish.
    """
    for url in client.attempt_urls():
        status = client.delete(f"{url}/v1/jobs/{job_id}")
        if status not in RETRY_STATUSES:
            return status == 200
        time.sleep(1.0)
    return False


@dataclasses.dataclass
class SubmittedJobs:
    """The batch jobs accepted so far, and those of them cancelled."""

    batch: list[str] = dataclasses.field(default_factory=list)
    cancelled: set[str] = dataclasses.field(default_factory=set)


def _submit_all_jobs(client: EntryClient, opts: options.Options,
                     rng: random.Random, seconds: float,
                     submitted: SubmittedJobs) -> None:
    """Submit the jobs in waves and cancel a share of each wave."""
    batch = [w for w in opts.work.values() if w.kind == "batch"]
    standing = [w for w in opts.work.values() if w.kind == "standing"]
    plan = [w for w in standing for _ in range(opts.load.standing_jobs)]
    plan += [w for w in batch for _ in range(opts.load.batch_jobs)]
    waves = opts.load.batch_waves
    started = time.monotonic()
    for wave in range(waves):
        time.sleep(max(0.0, started + wave * seconds * SUBMISSION_SHARE / waves
                       - time.monotonic()))
        accepted = []
        for work in plan[wave::waves]:
            job_id = (f"{work.kind}-"
                      f"{uuid.UUID(int=rng.getrandbits(128)).hex[:12]}")
            body: dict[str, object] = {
                "customer": rng.choice(opts.load.customers),
                "work": work.name, "job_id": job_id}
            if _submit_with_retries(client, body) and work.kind == "batch":
                accepted.append(job_id)
        submitted.batch += accepted
        for job_id in rng.sample(accepted, int(len(accepted)
                                               * opts.load.cancel_share)):
            if cancel(client, job_id):
                submitted.cancelled.add(job_id)


def _measure_direct_calls(client: EntryClient, opts: options.Options
                          ) -> dict[str, float]:
    work = _latency_work(opts)[0]
    machine = opts.machines[0]
    url = f"http://{opts.host}:{machine.http_port}/work/{work.name}"
    histogram = metrics.Latencies()
    for number in range(DIRECT_SAMPLES):
        started = time.monotonic()
        try:
            client.http.request("POST", url, body=json.dumps(
                {"request_id": str(number), "customer": "direct"}),
                headers={"Content-Type": "application/json"},
                timeout=5.0, retries=False)
        except urllib3.exceptions.HTTPError:
            continue
        histogram.record(work.name, time.monotonic() - started)
    return histogram.summary().get(work.name, {})


def _wait_for_jobs(client: EntryClient, job_ids: list[str], wait_s: float
                   ) -> tuple[list[dict[str, object]], dict[str, object]]:
    """Wait for jobs; return the finished ones and the states of the rest."""
    deadline = time.monotonic() + wait_s
    done: dict[str, dict[str, object]] = {}
    others: dict[str, object] = {}
    while time.monotonic() < deadline and len(done) < len(job_ids):
        for job_id in job_ids:
            if job_id in done:
                continue
            body = client.get(client.next_url() + f"/v1/jobs/{job_id}")
            if body.get("state") == "done":
                done[job_id] = body
                others.pop(job_id, None)
            else:
                others[job_id] = body.get("state", "not known")
        time.sleep(0.25)
    return list(done.values()), others


def _makespan(records: list[dict[str, object]]) -> float:
    """Return the seconds from the first acceptance to the last finish."""
    if not records:
        return 0.0
    return (max(float(str(r["finished_at"])) for r in records)
            - min(float(str(r["accepted_at"])) for r in records))


def run(opts: options.Options, seconds: float | None = None) -> dict:
    """Generate load for seconds (default: settings); return the report."""
    rng = random.Random(opts.load.seed)
    client = EntryClient(opts)
    duration_s = seconds if seconds is not None else opts.load.seconds
    latencies = metrics.Latencies()
    outcomes: dict[str, int] = {}
    lock = threading.Lock()
    # The direct calls come first, while no backend is leaving yet: they
    # bypass the entry processes, which would keep requests away from it.
    direct = _measure_direct_calls(client, opts)
    started = time.monotonic()
    submitted = SubmittedJobs()
    submitter = threading.Thread(
        target=_submit_all_jobs, daemon=True,
        args=(client, opts, random.Random(opts.load.seed + 1), duration_s,
              submitted))
    submitter.start()
    interval_s = 1.0 / opts.load.latency_per_second
    with concurrent.futures.ThreadPoolExecutor(
            MAX_CONCURRENT_REQUESTS) as pool:
        next_send = time.monotonic()
        while time.monotonic() - started < duration_s:
            pool.submit(_send_request, client, rng, opts, latencies, outcomes,
                        lock)
            next_send += interval_s
            time.sleep(max(0.0, next_send - time.monotonic()))
    submitter.join(JOB_WAIT_S)
    job_ids = [j for j in submitted.batch if j not in submitted.cancelled]
    wait_started = time.monotonic()
    records, unfinished = _wait_for_jobs(client, job_ids, JOB_WAIT_S)
    waited_s = time.monotonic() - wait_started
    entries = [client.get(url + "/metrics") for url in client.urls]
    evictions = 0
    for body in entries:
        counters = body.get("counters")
        if isinstance(counters, dict):
            evictions += int(counters.get("evictions", 0))
    makespan_s = _makespan(records)
    return {"deployment": opts.deployment, "seconds": duration_s,
            "latency": latencies.summary(), "outcomes": outcomes,
            "batch_submitted": len(job_ids), "batch_finished": len(records),
            "batch_unfinished": unfinished,
            "batch_cancelled": len(submitted.cancelled),
            "batch_per_minute": round(60 * len(records) / makespan_s, 1)
            if makespan_s else 0.0,
            "batch_wait_seconds": round(waited_s, 2), "evictions": evictions,
            "direct": direct, "log_dir": opts.log_dir}


def render(report: dict) -> str:
    """Format the report as text for operators."""
    lines = [f"deployment {report['deployment']}: "
             f"{report['seconds']:g} s of load"]
    for name, summary in report["latency"].items():
        lines.append(f"  {name}: n={summary['count']:.0f} "
                     f"p50={summary['p50_ms']:.1f} ms "
                     f"p99={summary['p99_ms']:.1f} ms "
                     f"p99.9={summary['p99.9_ms']:.1f} ms")
    direct = report.get("direct") or {}
    if direct:
        lines.append(f"  direct to one backend: p50={direct['p50_ms']:.1f} "
                     f"ms p99={direct['p99_ms']:.1f} ms")
    lines.append(f"  answers by status: {report['outcomes']}")
    lines.append(f"  batch runs finished: {report['batch_finished']} of "
                 f"{report['batch_submitted']} "
                 f"(waited {report['batch_wait_seconds']} s after load; "
                 f"{report['batch_per_minute']:g} per minute; "
                 f"{report['batch_cancelled']} cancelled)")
    lines.append(f"  evictions: {report['evictions']}")
    lines.append(f"  logs: {report['log_dir']}")
    return "\n".join(lines)
