"""Run a local deployment under load on the loopback interface.

The processes of sycamorefield never start other processes, so this launcher
is kept outside the package.  It starts the stand-ins, the workers and the
entry processes, each as a process of the same binary, waits until entry
processes own every worker, and runs the load tool, which prints its report.
If asked, it injects faults from a seeded plan during the load.  It then
stops every process with SIGTERM (a planned stop), merges the log files into
one time line and checks it against the invariants.
"""

import argparse
import json
import os
import shutil
import signal
import subprocess
import sys
import threading
import time

import urllib3
import yaml

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

from sycamorefield import checks  # noqa: E402
from sycamorefield import settings  # noqa: E402
from sycamorefield import timeline  # noqa: E402
from sycamorefield import worker  # noqa: E402
from tools import faults  # noqa: E402

READY_TIMEOUT_S = 30.0
# Interval between checks for worker processes that a task has crashed.
CRASH_CHECK_PERIOD_S = 1.0
STOP_TIMEOUT_S = 10.0


def binary_command(binary: str | None) -> list[str]:
    """Return the command that runs the zipapp, or the source if None."""
    if binary:
        return [sys.executable, binary]
    return [sys.executable, "-m", "sycamorefield"]


class Deployment:
    """Start, signal and stop the processes of a local deployment."""

    def __init__(self, settings_path: str, binary: str | None = None,
                 policy: str = "guarded") -> None:
        self.settings_path = settings_path
        self.opts = settings.load(settings_path).unwrap()
        self.command_prefix = binary_command(binary)
        self.policy = policy
        self.procs: dict[str, subprocess.Popen] = {}
        self.http = urllib3.PoolManager()
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        os.makedirs(self.opts.log_dir, exist_ok=True)

    @classmethod
    def from_sample(cls, directory: str, base_port: int,
                    sample: str = settings.DEFAULT_SAMPLE,
                    **overrides: object) -> "Deployment":
        """Create a deployment from sample settings.

        Write the settings file to the given directory, which must exist,
        with the given base port, a log directory below that directory and
        the overrides.
        """
        values = yaml.safe_load(settings.sample_text(sample))
        values["base_port"] = base_port
        values["log_dir"] = os.path.join(directory, "logs")
        values.update(overrides)
        path = os.path.join(directory, "settings.yaml")
        with open(path, "w", encoding="utf-8") as handle:
            yaml.safe_dump(values, handle)
        return cls(path)

    def start(self, role: str, name: str = "") -> None:
        """Start the process of a role and name unless it is running."""
        label = name or role
        with self.lock:
            running = self.procs.get(label)
            if running is None or running.poll() is not None:
                self._spawn(role, name, label)

    def _spawn(self, role: str, name: str, label: str) -> None:
        argv = self.command_prefix + [role] + ([name] if name else []) + [
            "--settings", self.settings_path]
        if role == "entry":
            argv += ["--policy", self.policy]
        stderr_file = open(
            os.path.join(self.opts.log_dir, label + ".stderr"), "a")
        self.procs[label] = subprocess.Popen(
            argv, stdout=subprocess.DEVNULL, stderr=stderr_file)

    def wait_for_exit(self, label: str) -> bool:
        """Wait for a process to exit; return False after STOP_TIMEOUT_S."""
        try:
            self.procs[label].wait(timeout=STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            return False
        return True

    def signal(self, label: str, signal_number: int) -> None:
        """Send a signal to a process unless it has exited."""
        proc = self.procs[label]
        if proc.poll() is None:
            proc.send_signal(signal_number)

    def up(self) -> None:
        """Start every process and wait until every worker is owned.

        Raise RuntimeError if that takes longer than READY_TIMEOUT_S.
        """
        self.start("kv")
        self.start("vm-list")
        for machine in self.opts.machines:
            self.start("worker", machine.name)
        time.sleep(0.3)
        for spec in self.opts.entries:
            self.start("entry", spec.name)
        threading.Thread(target=self._restart_crashed, daemon=True).start()
        if not self.wait_until_ready():
            raise RuntimeError("not every entry process and worker is ready; "
                               "see the logs in "
                               + self.opts.log_dir)

    def _restart_crashed(self) -> None:
        """Restart workers whose process was crashed by a task."""
        while not self.stopping.wait(CRASH_CHECK_PERIOD_S):
            for machine in self.opts.machines:
                proc = self.procs[machine.name]
                if proc.poll() == worker.CRASH_STATUS:
                    self.start("worker", machine.name)

    def wait_until_ready(self) -> bool:
        """Wait until entry processes see each other and own every worker.

        Return False after READY_TIMEOUT_S.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            owned: set[str] = set()
            answered = 0
            for index in range(len(self.opts.entries)):
                status, body = self.call("GET", self.url(index) + "/healthz")
                if status == 200 and len(body.get("members", [])) == len(
                        self.opts.entries):
                    answered += 1
                    owned.update(body.get("owned", []))
            if answered == len(self.opts.entries) and len(owned) == len(
                    self.opts.machines):
                return True
            time.sleep(0.2)
        return False

    def url(self, entry_index: int = 0) -> str:
        """Return the base URL of the HTTP interface of an entry process."""
        spec = self.opts.entries[entry_index]
        return f"http://{self.opts.host}:{spec.http_port}"

    def call(self, method: str, url: str, body: object = None,
             raw: bytes | None = None) -> tuple[int, dict]:
        """Send an HTTP request; return the status and the JSON body.

        The request body is raw, if given, or else body encoded as JSON.
        Return (0, {}) if the request fails or the reply is not JSON.
        """
        data = raw if raw is not None else (
            json.dumps(body).encode() if body is not None else None)
        try:
            reply = self.http.request(method, url, body=data, headers={
                "Content-Type": "application/json"}, timeout=10.0,
                retries=False)
            return reply.status, json.loads(reply.data or b"{}")
        except (urllib3.exceptions.HTTPError, ValueError):
            return 0, {}

    def down(self) -> None:
        """Stop every process with SIGTERM, or SIGKILL after a timeout.

        Each process also gets SIGCONT, as a fault may have stopped it.
        """
        self.stopping.set()
        for proc in self.procs.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.send_signal(signal.SIGTERM)
        for proc in self.procs.values():
            try:
                proc.wait(timeout=STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                proc.kill()
                proc.wait()

    def check(self) -> list:
        """Merge the logs and return every violation of an invariant."""
        return checks.check(timeline.merge(self.opts.log_dir))


def main() -> int:
    """Run the deployment under load.

    Return 0 on success, the exit code of the load tool if it fails, 1 if an
    invariant was violated and 2 if the settings are invalid.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settings", default="embedded:" +
                        settings.DEFAULT_SAMPLE)
    parser.add_argument("--binary", default=None,
                        help="path of the zipapp (default: run the source)")
    parser.add_argument("--seconds", type=float, default=None)
    parser.add_argument("--policy", default="guarded")
    parser.add_argument("--report", default=None)
    parser.add_argument("--faults", type=int, default=0,
                        help="number of faults injected during the load")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    load_result = settings.load(args.settings)
    if not isinstance(load_result, settings.result.Success):
        for finding in load_result.failure():
            print(finding, file=sys.stderr)
        return 2
    shutil.rmtree(load_result.unwrap().log_dir, ignore_errors=True)
    deploy = Deployment(args.settings, args.binary, args.policy)
    duration_s = args.seconds or deploy.opts.load.seconds
    exit_code = 0
    try:
        deploy.up()
        plan = faults.Plan(deploy, args.seed, args.faults, duration_s,
                           faults.Plan.RUN_KINDS)
        injector = threading.Thread(target=plan.run, daemon=True)
        injector.start()
        load = subprocess.run(deploy.command_prefix
                              + ["load", "--settings", deploy.settings_path,
                                 "--seconds", str(duration_s)]
                              + (["--out", args.report] if args.report
                                 else []))
        injector.join(timeout=30)
        exit_code = load.returncode
        for line in plan.injected:
            print(f"  fault: {line}")
    finally:
        deploy.down()
    timeline_path = os.path.join(deploy.opts.log_dir, "..", "timeline.jsonl")
    timeline.write(timeline.merge(deploy.opts.log_dir), timeline_path)
    print(f"  time line: {os.path.normpath(timeline_path)}")
    findings = deploy.check()
    print(f"  invariants: {len(findings)} finding(s)")
    for finding in findings:
        print(f"    {finding}")
    return exit_code or (1 if findings else 0)


if __name__ == "__main__":
    sys.exit(main())
