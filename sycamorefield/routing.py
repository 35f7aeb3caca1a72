"""Choose the backend server for each latency-critical request.

The states of backends come from the platform's VM list, which lags behind.
The router therefore also excludes, for EXCLUSION_S, a backend that failed a
call or answered that it is leaving.  A load balancing policy chooses among
the other backends: LeastExpectedSlowdown is the default; PowerOfTwoChoices
and RandomChoice are baselines for benchmarks.
"""

import abc
import dataclasses
import heapq
import json
import math
import random
import threading
import time
import typing

import urllib3

from sycamorefield import events
from sycamorefield import options

EWMA_WEIGHT = 0.2
SLOWDOWN_DECAY_S = 10.0
EXCLUSION_S = 5.0
OTHER_ZONE_PENALTY = 0.15
# Reports lag, so a worker that accepts noisy work may be noisy already.  At
# equal reported interference, workers without noisy work are preferred.
NOISY_WORKER_PENALTY = 0.5
MIN_CANDIDATES = 8
CANDIDATE_SHARE = 0.1


@dataclasses.dataclass
class BackendState:
    """The router's state of one backend server.

    slowdown is a moving average of the ratio of a call's latency to the
    latency that its work declares.  interference is the value last reported
    by the worker.  quiet means that no noisy work is placed on the worker.
    """

    name: str
    zone: str
    url: str
    slots: int
    state: str = "live"
    slowdown: float = 1.0
    measured_at: float = 0.0
    interference: float = 0.0
    quiet: bool = False
    excluded_until: float = 0.0
    in_flight: int = 0

    def usable(self, now: float) -> bool:
        """Return whether the backend may get new requests now."""
        return self.state == "live" and now >= self.excluded_until

    def decayed_slowdown(self, now: float) -> float:
        """Return the slowdown, decayed towards 1 since the last call."""
        age = max(0.0, now - self.measured_at)
        return 1.0 + (self.slowdown - 1.0) * math.exp(-age / SLOWDOWN_DECAY_S)

    def expected_slowdown(self, zone: str, now: float) -> float:
        """Return the expected slowdown for a caller in zone, without queueing.

        It includes the penalties for other zones and for noisy workers.
        """
        penalty = 0.0 if self.zone == zone else OTHER_ZONE_PENALTY
        if not self.quiet:
            penalty += NOISY_WORKER_PENALTY
        return max(1.0 + self.interference,
                   self.decayed_slowdown(now)) + penalty

    def record_slowdown(self, slowdown: float, now: float) -> None:
        """Add the slowdown of one call to the moving average."""
        previous = self.decayed_slowdown(now)
        self.slowdown = previous + EWMA_WEIGHT * (slowdown - previous)
        self.measured_at = now


class LoadBalancingPolicy(abc.ABC):
    """Choose a backend among the usable ones."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)

    def refresh(self, usable: list[BackendState], zone: str) -> None:
        """Update the policy's state; called a few times a second."""

    @abc.abstractmethod
    def pick(self, usable: list[BackendState], zone: str) -> BackendState:
        """Return one of usable, which is never empty."""


class RandomChoice(LoadBalancingPolicy):
    """Pick a random backend."""

    def pick(self, usable: list[BackendState], zone: str) -> BackendState:
        return self.random.choice(usable)


class PowerOfTwoChoices(LoadBalancingPolicy):
    """Pick the better of two random backends by slowdown, load and zone."""

    def pick(self, usable: list[BackendState], zone: str) -> BackendState:
        now = time.monotonic()
        pair = self.random.sample(usable, min(2, len(usable)))
        return min(pair, key=lambda b: (
            b.decayed_slowdown(now) * (1 + b.in_flight)
            + (0.0 if b.zone == zone else OTHER_ZONE_PENALTY)))


class LeastExpectedSlowdown(LoadBalancingPolicy):
    """Pick the candidate with the least expected slowdown.

    The candidates are chosen a few times a second by reported interference
    and observed slowdown, so that each pick compares only a few backends
    of a large fleet.  Among the candidates the number of requests in flight
    counts too: the best backend gets most requests until its slots fill up,
    then the next best gets some as well.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.candidates: list[BackendState] = []

    def refresh(self, usable: list[BackendState], zone: str) -> None:
        now = time.monotonic()
        size = max(MIN_CANDIDATES, int(len(usable) * CANDIDATE_SHARE))
        self.candidates = heapq.nsmallest(
            size, usable,
            key=lambda b: (b.expected_slowdown(zone, now),
                           self.random.random()))

    def pick(self, usable: list[BackendState], zone: str) -> BackendState:
        now = time.monotonic()
        candidates = [b for b in self.candidates if b.usable(now)] or usable
        return min(candidates, key=lambda b: (
            b.expected_slowdown(zone, now) * (1 + b.in_flight / b.slots),
            self.random.random()))


class Router:
    """Track the states of all backends and pick one for each request."""

    def __init__(self, opts: options.Options, zone: str,
                 http: urllib3.PoolManager,
                 policy: LoadBalancingPolicy) -> None:
        self.opts = opts
        self.zone = zone
        self.http = http
        self.policy = policy
        self.lock = threading.Lock()
        self.backends = {
            m.name: BackendState(m.name, m.zone,
                                 f"http://{opts.host}:{m.http_port}", m.slots,
                                 quiet=m.name in opts.quiet_machines)
            for m in opts.machines}
        self.stopped = threading.Event()
        self.interference: typing.Callable[[], dict[str, float]] = dict

    def refresh(self) -> bool:
        """Read the VM list once; return whether that succeeded."""
        try:
            reply = self.http.request("GET", self.opts.vm_list_url,
                                      timeout=1.0, retries=False)
        except urllib3.exceptions.HTTPError:
            return False
        if reply.status != 200:
            return False
        for vm in json.loads(reply.data):
            with self.lock:
                backend = self.backends.get(vm["name"])
                if backend is None:
                    continue
                if vm["state"] != backend.state and vm["state"] == "leaving":
                    events.emit(events.BACKEND_LEAVING, backend=backend.name,
                                source="vm-list")
                backend.state = vm["state"]
        return True

    def run(self, period_s: float) -> None:
        """Update states, interference and policy every period_s seconds."""
        while not self.stopped.is_set():
            self.refresh()
            reported = self.interference()
            with self.lock:
                for backend in self.backends.values():
                    backend.interference = reported.get(backend.name, 0.0)
                self.policy.refresh(self._usable(), self.zone)
            self.stopped.wait(period_s)

    def _usable(self) -> list[BackendState]:
        now = time.monotonic()
        return [b for b in self.backends.values() if b.usable(now)]

    def pick(self, zone: str | None = None) -> BackendState | None:
        """Return the backend for a request, or None if none is usable.

        The request counts as in flight until record_call() or end_call().
        """
        with self.lock:
            usable = self._usable()
            if not usable:
                return None
            chosen = self.policy.pick(usable, zone or self.zone)
            chosen.in_flight += 1
            return chosen

    def record_call(self, backend: BackendState,
                    slowdown: float | None) -> None:
        """Record the end of a call; slowdown is None if the call failed."""
        now = time.monotonic()
        with self.lock:
            backend.in_flight -= 1
            if slowdown is None:
                backend.excluded_until = now + EXCLUSION_S
                return
            backend.record_slowdown(slowdown, now)

    def end_call(self, backend: BackendState) -> None:
        """Record the end of a call whose duration says nothing."""
        with self.lock:
            backend.in_flight -= 1

    def mark_leaving(self, name: str) -> None:
        """Exclude a backend that answered that it is leaving."""
        with self.lock:
            backend = self.backends[name]
            backend.excluded_until = time.monotonic() + EXCLUSION_S
        events.emit(events.BACKEND_LEAVING, backend=name, source="backend")
