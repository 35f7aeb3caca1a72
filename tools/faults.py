"""Inject a seeded plan of faults into a local deployment.

Faults come through the stand-ins' own knobs and through signals, on
loopback only, bounded in number and time: kill or freeze an entry process,
kill a worker, take the key-value service down, slow it, make it lose
replies, mark a backend leaving, make a worker fail all it starts, and two
operators racing on the rules.
"""

import random
import signal
import threading
import time
import typing

from sycamorefield import kvclient
from sycamorefield import sycamorefield_pb2 as pb
from sycamorefield import sycamorefield_pb2_grpc as pb_grpc

if typing.TYPE_CHECKING:
    from tools import launch

import grpc

OUTAGE_SECONDS = 2.0
RESTART_AFTER = 1.0
FREEZE_WORKER_SECONDS = 9.0


class Plan:
    """A seeded list of faults spread over a load's duration."""

    # The kinds that the first plans were drawn from; a seed means the same
    # plan only over the same kinds.
    FIRST_KINDS = ("kill-entry", "freeze-entry", "kill-worker", "kv-down",
                   "kv-slow", "kv-lose-replies", "backend-leaving",
                   "worker-fails-all", "operators-race")
    KINDS = FIRST_KINDS + ("freeze-worker", "lose-worker", "cut-entry",
                           "stop-entry")
    ALL_KINDS = KINDS + ("worker-shrinks",)

    def __init__(self, deploy: "launch.Deployment", seed: int, count: int,
                 seconds: float, kinds: tuple[str, ...] = KINDS) -> None:
        self.deploy = deploy
        self.random = random.Random(seed)
        self.kv = kvclient.Client(deploy.opts.kv_target)
        self.steps = sorted(
            (self.random.uniform(0.1, 0.8) * seconds,
             self.random.choice(kinds)) for _ in range(count))
        self.done: list[str] = []
        self.lost: list[str] = []

    def run(self) -> None:
        """Inject each fault at its time; each undoes itself."""
        began = time.monotonic()
        helpers = []
        for at, kind in self.steps:
            time.sleep(max(0.0, began + at - time.monotonic()))
            helper = threading.Thread(target=self.inject, args=(kind, at),
                                      daemon=True)
            helper.start()
            helpers.append(helper)
        for helper in helpers:
            helper.join(timeout=20)

    def inject(self, kind: str, at: float) -> None:
        """Inject one fault and undo it after a while."""
        opts = self.deploy.opts
        entry = self.random.choice(opts.entries).name
        machine = self.random.choice(opts.machines)
        detail = getattr(self, "_" + kind.replace("-", "_"))(entry, machine)
        self.done.append(f"{at:6.2f} s {kind} {detail}")

    def _kill_entry(self, entry: str, machine: object) -> str:
        self.deploy.signal(entry, signal.SIGKILL)
        time.sleep(RESTART_AFTER)
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
        # A freeze may have stretched the stop.  Started meanwhile, it would
        # count as running and then be gone for the rest of the round.
        self.deploy.wait_for_end(entry)
        self.deploy.start("entry", entry)
        return entry

    def _cut_entry(self, entry: str, machine: object) -> str:
        self._kv(self.deploy.opts.timings.member_ttl + 1.5, cut=[entry])
        return f"{entry} from the store"

    def _freeze_worker(self, entry: str, machine: typing.Any) -> str:
        self.deploy.signal(machine.name, signal.SIGSTOP)
        time.sleep(FREEZE_WORKER_SECONDS)
        self.deploy.signal(machine.name, signal.SIGCONT)
        return machine.name

    def _lose_worker(self, entry: str, machine: typing.Any) -> str:
        # One worker at most, so that what is left can hold every job.
        if not self.lost:
            self.lost.append(machine.name)
            self.deploy.signal(machine.name, signal.SIGKILL)
        return self.lost[0]

    def _kill_worker(self, entry: str, machine: typing.Any) -> str:
        if machine.name in self.lost:
            return f"{machine.name} (lost already)"
        self.deploy.signal(machine.name, signal.SIGKILL)
        time.sleep(RESTART_AFTER)
        if machine.name not in self.lost:
            self.deploy.start("worker", machine.name)
        return machine.name

    def _kv(self, seconds: float, **knobs: object) -> None:
        self.kv.set_faults(pb.KvFaults(**knobs))
        time.sleep(seconds)
        self.kv.set_faults(pb.KvFaults())

    def _kv_down(self, entry: str, machine: object) -> str:
        self._kv(OUTAGE_SECONDS, down=True)
        return f"{OUTAGE_SECONDS} s"

    def _kv_slow(self, entry: str, machine: object) -> str:
        self._kv(OUTAGE_SECONDS, delay_ms=300)
        return "300 ms a call"

    def _kv_lose_replies(self, entry: str, machine: object) -> str:
        self._kv(OUTAGE_SECONDS, lose_reply_ratio=0.3)
        return "30% of write replies"

    def _backend_leaving(self, entry: str, machine: typing.Any) -> str:
        opts = self.deploy.opts
        self.deploy.call("POST", f"http://{opts.host}:{opts.vm_list_port}"
                         f"/v1/vms/{machine.name}/leaving")
        self.deploy.call("POST", f"http://{opts.host}:{machine.http_port}"
                         "/leaving")
        return machine.name

    def _worker_fails_all(self, entry: str, machine: typing.Any) -> str:
        self._worker_faults(machine, fail_all=True)
        return machine.name

    def _worker_faults(self, machine: typing.Any, **knobs: typing.Any
                       ) -> None:
        channel = grpc.insecure_channel(
            f"{self.deploy.opts.host}:{machine.grpc_port}")
        stub = pb_grpc.WorkerStub(channel)
        try:
            stub.SetFaults(pb.WorkerFaults(**knobs), timeout=1.0)
            time.sleep(OUTAGE_SECONDS)
            stub.SetFaults(pb.WorkerFaults(), timeout=1.0)
        except grpc.RpcError:
            pass
        channel.close()

    def _worker_shrinks(self, entry: str, machine: typing.Any) -> str:
        self._worker_faults(machine, shrunk_by=0.5)
        return f"{machine.name} to half its room"

    def _operators_race(self, entry: str, machine: object) -> str:
        urls = [self.deploy.url(i) for i in range(2)]
        name = f"race-{self.random.randrange(10**6)}"

        def add(url: str, suffix: str) -> None:
            self.deploy.call("POST", url + "/admin/rules", {
                "rule": {"name": name + suffix,
                         "then": {"action": "admit"}},
                "position": None})
        racers = [threading.Thread(target=add, args=(url, f"-{n}"))
                  for n, url in enumerate(urls)]
        for racer in racers:
            racer.start()
        for racer in racers:
            racer.join()
        return name
