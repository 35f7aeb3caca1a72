"""Test that an entry process stops in time even if the store fails."""

import json
import os
import signal
import subprocess
import sys
import threading
import time

import pytest

from sycamorefield import events
from sycamorefield.fleet import messages
from sycamorefield.fleet import records
from sycamorefield.platform import bootsettings
from sycamorefield.platform import configuration
from sycamorefield.platform import daemon
from tests import platformfakes
from tests import standins

GRACE_S = 6.0
CONFIG = {"version": 1, "routes": [
    {"name": "a", "host": "h", "prefix": "/x/", "service": "s"}]}


class StoreFailingOnOwnerCommit(platformfakes.StoreServer):
    """Store that turns faulty when an owner first commits."""

    def __init__(self, fault: str) -> None:
        super().__init__()
        self.pending_fault = fault
        self.committed = threading.Event()

    def _serve(self, path, query, body):
        written_keys = [put["key"] for put in body.get("puts", ())]
        if (records.WAITING_JOBS_KEY in written_keys
                and not self.committed.is_set()):
            self.fault = self.pending_fault
            self.committed.set()
            if self.fault == "silent":
                time.sleep(3)
        return super()._serve(path, query, body)


def write_boot_settings(store_address, directory):
    front_port, ready_port, first_port, last_port = (
        standins.free_port() for _ in range(4))
    path = directory / "boot.json"
    path.write_text(json.dumps({
        "node": "n-1", "ip": "127.0.0.1", "zone": "z",
        "listen": {"front": f"127.0.0.1:{front_port}",
                   "ready": f"127.0.0.1:{ready_port}"},
        "port_range": [first_port, last_port],
        "platform": {"addr": store_address},
        "bounds": {"grace_s": GRACE_S}}))
    return path


@pytest.mark.parametrize("fault", ["", "silent", "busy"])
def test_planned_stop_ends_within_grace_time(fault, tmp_path):
    """Guards against processes killed at the end of their grace time.

    A stop while a commit was unanswered waited up to 8 s for that commit and
    then drained requests for 3.2 s, beyond the grace time.  The last log
    lines were lost with the thread that writes them.
    """
    store = StoreFailingOnOwnerCommit(fault)
    store.memory.commit(messages.Transaction(puts=(messages.Put(
        configuration.KEY, json.dumps(CONFIG).encode()),)))
    process = subprocess.Popen(
        [sys.executable, "-m", "sycamorefield.platform"],
        env={**os.environ, bootsettings.PATH_VARIABLE: str(
            write_boot_settings(store.address, tmp_path))},
        stdout=subprocess.PIPE, text=True)
    try:
        assert store.committed.wait(20.0)
        process.send_signal(signal.SIGTERM)
        stop_requested_at = time.monotonic()
        output, _ = process.communicate(timeout=GRACE_S)
        assert time.monotonic() - stop_requested_at >= daemon.DRAIN_S
    finally:
        process.kill()
        store.close()
    last_event = json.loads(output.strip().splitlines()[-1])
    assert last_event["event"] == events.PROCESS_STOPPED.code
    assert process.returncode == 0
