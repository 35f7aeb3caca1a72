"""Bring up a small local deployment for end-to-end tests."""

import json
import os
import signal
import subprocess
import time

import urllib3
import yaml

from sycamorefield import settings
from tools import launch


class Deployment:
    """A running local deployment: its options and its processes."""

    def __init__(self, tmp_path: str, base_port: int,
                 sample: str = settings.DEFAULT, **changes: object) -> None:
        raw = yaml.safe_load(settings.sample_text(sample))
        raw["base_port"] = base_port
        raw["log_dir"] = os.path.join(tmp_path, "logs")
        raw.update(changes)
        self.path = os.path.join(tmp_path, "settings.yaml")
        with open(self.path, "w", encoding="utf-8") as handle:
            yaml.safe_dump(raw, handle)
        self.opts = settings.load(self.path).unwrap()
        self.procs: dict[str, subprocess.Popen] = {}
        self.http = urllib3.PoolManager()
        os.makedirs(self.opts.log_dir, exist_ok=True)

    def start(self, role: str, name: str = "") -> None:
        """Start one process of a role (and name)."""
        argv = launch.command(None) + [role] + ([name] if name else []) + [
            "--settings", self.path]
        self.procs[name or role] = launch.start(argv, self.opts.log_dir,
                                                name or role)

    def up(self) -> None:
        """Start every process and wait until every worker is owned."""
        self.start("kv")
        self.start("vm-list")
        for machine in self.opts.machines:
            self.start("worker", machine.name)
        time.sleep(0.3)
        for spec in self.opts.entries:
            self.start("entry", spec.name)
        if not launch.wait_ready(self.opts, self.http):
            raise RuntimeError("deployment did not come up")

    def url(self, entry: int = 0) -> str:
        """Return the base URL of an entry process."""
        spec = self.opts.entries[entry]
        return f"http://{self.opts.host}:{spec.http_port}"

    def call(self, method: str, url: str, body: object = None,
             raw: bytes | None = None) -> tuple[int, dict]:
        """Send one HTTP call; return status and JSON body."""
        data = raw if raw is not None else (
            json.dumps(body).encode() if body is not None else None)
        reply = self.http.request(method, url, body=data, headers={
            "Content-Type": "application/json"}, timeout=10.0,
            retries=False)
        return reply.status, json.loads(reply.data or b"{}")

    def down(self) -> None:
        """Stop every process with SIGTERM, then SIGKILL what remains."""
        for proc in self.procs.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGTERM)
        for proc in self.procs.values():
            try:
                proc.wait(timeout=10)
            except subprocess.TimeoutExpired:
                proc.kill()
                proc.wait()


def wait_until(condition, seconds: float, step: float = 0.1) -> bool:
    """Poll condition until it holds or seconds pass."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(step)
    return bool(condition())
