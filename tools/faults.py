"""Inject faults from a seeded random plan into a local deployment.

Faults are injected by signals and by the fault settings of the stand-ins,
on the loopback interface only, and are bounded in number and duration.  An
entry process can be killed, frozen, stopped or cut off from the store.  A
worker can be killed, frozen, lost for good, shrunk or made to fail every
task it starts.  The key-value service can be down, slow or lose replies.  A
backend can be marked as leaving, and two operators can add rules at the
same time.
"""

import random
import signal
import threading
import time
import typing

import grpc

from sycamorefield import kvclient
from sycamorefield import options
from sycamorefield import sycamorefield_pb2 as pb
from sycamorefield import sycamorefield_pb2_grpc as pb_grpc

FAULT_DURATION_S = 2.0
WAVE_SHARE = 0.4
RESTART_DELAY_S = 1.0
WORKER_FREEZE_S = 9.0


class Deployment(typing.Protocol):
    """The methods of a local deployment that inject and undo faults."""

    opts: options.Options

    def start(self, role: str, name: str = "") -> None:
        """Start the process of a role and name unless it is running."""

    def signal(self, label: str, signal_number: int) -> None:
        """Send a signal to a process unless it has exited."""

    def wait_for_exit(self, label: str) -> bool:
        """Wait for a process to exit; return whether it did."""

    def url(self, entry_index: int = 0) -> str:
        """Return the base URL of the HTTP interface of an entry process."""

    def call(self, method: str, url: str, body: object = None,
             raw: bytes | None = None) -> tuple[int, dict]:
        """Send an HTTP request; return the status and the JSON body."""


class Plan:
    """A seeded random list of faults spread over the duration of a load."""

    # A seed reproduces a plan only if it is drawn from the same kinds, so
    # these tuples must not change; a new kind needs a new tuple.
    BASIC_KINDS = ("kill-entry", "freeze-entry", "kill-worker", "kv-down",
                   "kv-slow", "kv-lose-replies", "backend-leaving",
                   "worker-fails-all", "operators-race")
    EXTENDED_KINDS = BASIC_KINDS + ("freeze-worker", "lose-worker",
                                    "cut-entry", "stop-entry")
    ALL_KINDS = EXTENDED_KINDS + ("worker-shrinks",)
    # Waves of workers that start again under their names, while owners and
    # the store fail.
    WAVE_KINDS = ("worker-wave", "worker-wave", "kill-entry", "kv-down")
    RUN_KINDS = ALL_KINDS + ("worker-wave",)

    def __init__(self, deploy: Deployment, seed: int, count: int,
                 load_duration_s: float,
                 kinds: tuple[str, ...] = EXTENDED_KINDS) -> None:
        self.deploy = deploy
        self.random = random.Random(seed)
        self.kv = kvclient.Client(deploy.opts.kv_target)
        self.schedule = sorted(
            (self.random.uniform(0.1, 0.8) * load_duration_s,
             self.random.choice(kinds)) for _ in range(count))
        self.injected: list[str] = []
        self.lost_workers: list[str] = []

    def run(self) -> None:
        """Inject each fault at its time; return when all are undone.

        Faults may overlap.  Wait at most 20 s for each one at the end.
        """
        started_at = time.monotonic()
        threads = []
        for at, kind in self.schedule:
            time.sleep(max(0.0, started_at + at - time.monotonic()))
            thread = threading.Thread(target=self.inject, args=(kind, at),
                                      daemon=True)
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join(timeout=20)

    def inject(self, kind: str, at: float) -> None:
        """Inject one fault, undo it after its duration and record it.

        A lost worker is not restarted.
        """
        opts = self.deploy.opts
        entry = self.random.choice(opts.entries).name
        machine = self.random.choice(opts.machines)
        detail = getattr(self, "_" + kind.replace("-", "_"))(entry, machine)
        self.injected.append(f"{at:6.2f} s {kind} {detail}")

    def _kill_entry(self, entry: str, machine: object) -> str:
        self.deploy.signal(entry, signal.SIGKILL)
        time.sleep(RESTART_DELAY_S)
        self.deploy.start("entry", entry)
        return entry

    def _freeze_entry(self, entry: str, machine: object) -> str:
        self.deploy.signal(entry, signal.SIGSTOP)
        time.sleep(self.deploy.opts.timings.member_ttl + 1.5)
        self.deploy.signal(entry, signal.SIGCONT)
        return entry

    def _stop_entry(self, entry: str, machine: object) -> str:
        self.deploy.signal(entry, signal.SIGTERM)
        time.sleep(self.deploy.opts.timings.drain)
        # Wait for the exit, which a freeze can delay.  start() ignores a
        # process that still runs, so that the entry process would be missing
        # for the rest of the load.
        self.deploy.wait_for_exit(entry)
        self.deploy.start("entry", entry)
        return entry

    def _cut_entry(self, entry: str, machine: object) -> str:
        self._inject_kv_fault(self.deploy.opts.timings.member_ttl + 1.5,
                              cut=[entry])
        return f"{entry} from the store"

    def _freeze_worker(self, entry: str, machine: typing.Any) -> str:
        self.deploy.signal(machine.name, signal.SIGSTOP)
        time.sleep(WORKER_FREEZE_S)
        self.deploy.signal(machine.name, signal.SIGCONT)
        return machine.name

    def _lose_worker(self, entry: str, machine: typing.Any) -> str:
        # Lose at most one worker, so that the others can run every job.
        if not self.lost_workers:
            self.lost_workers.append(machine.name)
            self.deploy.signal(machine.name, signal.SIGKILL)
        return self.lost_workers[0]

    def _kill_worker(self, entry: str, machine: typing.Any) -> str:
        if machine.name in self.lost_workers:
            return f"{machine.name} (already lost)"
        self.deploy.signal(machine.name, signal.SIGKILL)
        time.sleep(RESTART_DELAY_S)
        if machine.name not in self.lost_workers:
            self.deploy.start("worker", machine.name)
        return machine.name

    def _worker_wave(self, entry: str, machine: object) -> str:
        """Kill many workers at once and start them again."""
        names = [m.name for m in self.deploy.opts.machines
                 if m.name not in self.lost_workers]
        wave = self.random.sample(names, max(1, int(
            WAVE_SHARE * len(names))))
        for name in wave:
            self.deploy.signal(name, signal.SIGKILL)
        time.sleep(RESTART_DELAY_S)
        for name in wave:
            if name not in self.lost_workers:
                self.deploy.start("worker", name)
        return " ".join(wave)

    def _inject_kv_fault(self, duration_s: float, **fault_fields: object
                         ) -> None:
        self.kv.set_faults(pb.KvFaults(**fault_fields))
        time.sleep(duration_s)
        self.kv.set_faults(pb.KvFaults())

    def _kv_down(self, entry: str, machine: object) -> str:
        self._inject_kv_fault(FAULT_DURATION_S, down=True)
        return f"{FAULT_DURATION_S} s"

    def _kv_slow(self, entry: str, machine: object) -> str:
        self._inject_kv_fault(FAULT_DURATION_S, delay_ms=300)
        return "300 ms per call"

    def _kv_lose_replies(self, entry: str, machine: object) -> str:
        self._inject_kv_fault(FAULT_DURATION_S, lose_reply_ratio=0.3)
        return "30% of write replies"

    def _backend_leaving(self, entry: str, machine: typing.Any) -> str:
        opts = self.deploy.opts
        self.deploy.call("POST", f"http://{opts.host}:{opts.vm_list_port}"
                         f"/v1/vms/{machine.name}/leaving")
        self.deploy.call("POST", f"http://{opts.host}:{machine.http_port}"
                         "/leaving")
        return machine.name

    def _worker_fails_all(self, entry: str, machine: typing.Any) -> str:
        self._inject_worker_fault(machine, fail_all=True)
        return machine.name

    def _inject_worker_fault(self, machine: typing.Any,
                             **fault_fields: typing.Any) -> None:
        channel = grpc.insecure_channel(
            f"{self.deploy.opts.host}:{machine.grpc_port}")
        stub = pb_grpc.WorkerStub(channel)
        try:
            stub.SetFaults(pb.WorkerFaults(**fault_fields), timeout=1.0)
            time.sleep(FAULT_DURATION_S)
            stub.SetFaults(pb.WorkerFaults(), timeout=1.0)
        except grpc.RpcError:
            pass
        channel.close()

    def _worker_shrinks(self, entry: str, machine: typing.Any) -> str:
        self._inject_worker_fault(machine, shrunk_by=0.5)
        return f"{machine.name} to half its capacity"

    def _operators_race(self, entry: str, machine: object) -> str:
        urls = [self.deploy.url(i) for i in range(2)]
        name = f"race-{self.random.randrange(10**6)}"

        def add_rule(url: str, suffix: str) -> None:
            self.deploy.call("POST", url + "/admin/rules", {
                "rule": {"name": name + suffix,
                         "then": {"action": "admit"}},
                "position": None})
        threads = [threading.Thread(target=add_rule, args=(url, f"-{n}"))
                   for n, url in enumerate(urls)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return name
