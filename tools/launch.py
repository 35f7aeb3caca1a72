"""Bring up a local deployment on loopback, drive its load, and stop it.

Product processes start no other process (the brief), so this launcher is
kept apart from the package.  It starts the stand-ins, the workers and the
entry processes as separate processes of the one binary, waits until every
worker is owned, runs the load tool, prints its report and where the logs
and the time line are, and stops everything with SIGTERM (a planned stop).
"""

import argparse
import json
import os
import shutil
import signal
import subprocess
import sys
import time

import urllib3

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

from sycamorefield import settings  # noqa: E402

READY_SECONDS = 30.0


def command(binary: str | None) -> list[str]:
    """Return the argv prefix that runs the one binary."""
    if binary:
        return [sys.executable, binary]
    return [sys.executable, "-m", "sycamorefield"]


def start(argv: list[str], log_dir: str, label: str) -> subprocess.Popen:
    """Start one process with its stderr in log_dir/<label>.stderr."""
    err = open(os.path.join(log_dir, label + ".stderr"), "w")
    return subprocess.Popen(argv, stdout=subprocess.DEVNULL, stderr=err)


def wait_ready(opts, http: urllib3.PoolManager) -> bool:
    """Wait until every entry answers and every worker is owned."""
    deadline = time.monotonic() + READY_SECONDS
    while time.monotonic() < deadline:
        owned = set()
        answered = 0
        for spec in opts.entries:
            try:
                reply = http.request(
                    "GET", f"http://{opts.host}:{spec.http_port}/healthz",
                    timeout=1.0, retries=False)
                body = json.loads(reply.data)
            except (urllib3.exceptions.HTTPError, ValueError):
                continue
            answered += 1
            owned.update(body.get("owned", []))
        if answered == len(opts.entries) and len(owned) == len(
                opts.machines):
            return True
        time.sleep(0.2)
    return False


def main() -> int:
    """Run the launcher; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settings", default="embedded:" + settings.DEFAULT)
    parser.add_argument("--binary", default=None,
                        help="path of the zipapp (default: the source)")
    parser.add_argument("--seconds", type=float, default=None)
    parser.add_argument("--policy", default="spread")
    parser.add_argument("--report", default=None)
    args = parser.parse_args()
    loaded = settings.load(args.settings)
    if not isinstance(loaded, settings.result.Success):
        for finding in loaded.failure():
            print(finding, file=sys.stderr)
        return 2
    opts = loaded.unwrap()
    shutil.rmtree(opts.log_dir, ignore_errors=True)
    os.makedirs(opts.log_dir, exist_ok=True)
    base = command(args.binary)
    common = ["--settings", args.settings]
    procs = [start(base + ["kv"] + common, opts.log_dir, "kv"),
             start(base + ["vm-list"] + common, opts.log_dir, "vm-list")]
    procs += [start(base + ["worker", m.name] + common, opts.log_dir, m.name)
              for m in opts.machines]
    time.sleep(0.5)
    procs += [start(base + ["entry", e.name, "--policy", args.policy]
                    + common, opts.log_dir, e.name) for e in opts.entries]
    http = urllib3.PoolManager()
    code = 0
    try:
        if not wait_ready(opts, http):
            print("deployment did not come up; see", opts.log_dir)
            return 1
        load = subprocess.run(base + ["load"] + common + (
            ["--seconds", str(args.seconds)] if args.seconds else []) + (
            ["--out", args.report] if args.report else []))
        code = load.returncode
    finally:
        for proc in reversed(procs):
            proc.send_signal(signal.SIGTERM)
        for proc in procs:
            try:
                proc.wait(timeout=10)
            except subprocess.TimeoutExpired:
                proc.kill()
    timeline = os.path.join(opts.log_dir, "..", "timeline.jsonl")
    subprocess.run(base + ["timeline", "--log-dir", opts.log_dir,
                           "--out", timeline])
    print(f"  time line: {os.path.normpath(timeline)}")
    return code


if __name__ == "__main__":
    sys.exit(main())
