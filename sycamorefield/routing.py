"""Choose the backend server for each latency-critical request.

Backends come from the platform's VM list, which lags; the router also uses
its own evidence: a backend that refused a connection or answered "leaving"
is kept out for a while.  Among the rest it takes the better of two random
choices by a moving average of measured latency, so a backend slowed by
colocated batch tasks gets less work as soon as its answers show it.
"""

import dataclasses
import json
import random
import threading
import time

import urllib3

from sycamorefield import events
from sycamorefield import options

EWMA_WEIGHT = 0.2
INITIAL_MS = 20.0
SHUN_SECONDS = 5.0
ZONE_PENALTY_MS = 2.0


@dataclasses.dataclass
class BackendView:
    """What the router knows of one backend server."""

    name: str
    zone: str
    url: str
    state: str = "live"
    ewma_ms: float = INITIAL_MS
    shunned_until: float = 0.0
    in_flight: int = 0

    def usable(self, now: float) -> bool:
        """Return whether new work may go here now."""
        return self.state == "live" and now >= self.shunned_until

    def score(self, zone: str) -> float:
        """Return the expected latency in ms, counting queue and zone."""
        penalty = 0.0 if self.zone == zone else ZONE_PENALTY_MS
        return self.ewma_ms * (1 + self.in_flight) + penalty


class Router:
    """Hold the backend views and pick among them."""

    def __init__(self, opts: options.Options, zone: str,
                 http: urllib3.PoolManager, seed: int,
                 aware: bool = True) -> None:
        self.opts = opts
        self.aware = aware
        self.zone = zone
        self.http = http
        self.random = random.Random(seed)
        self.lock = threading.Lock()
        self.backends = {
            m.name: BackendView(m.name, m.zone,
                                f"http://{opts.host}:{m.http_port}")
            for m in opts.machines}
        self.stopped = threading.Event()

    def refresh(self) -> bool:
        """Read the VM list once; return whether it answered."""
        try:
            reply = self.http.request("GET", self.opts.vm_list_url,
                                      timeout=1.0, retries=False)
        except urllib3.exceptions.HTTPError:
            return False
        if reply.status != 200:
            return False
        for vm in json.loads(reply.data):
            with self.lock:
                view = self.backends.get(vm["name"])
                if view is None:
                    continue
                if vm["state"] != view.state and vm["state"] == "leaving":
                    events.emit(events.BACKEND_LEAVING, backend=view.name,
                                source="vm-list")
                view.state = vm["state"]
        return True

    def run(self, period: float) -> None:
        """Refresh from the VM list every period seconds until stopped."""
        while not self.stopped.is_set():
            self.refresh()
            self.stopped.wait(period)

    def pick(self, zone: str | None = None) -> BackendView | None:
        """Return the backend to use, or None when none is usable."""
        now = time.monotonic()
        with self.lock:
            usable = [b for b in self.backends.values() if b.usable(now)]
            if not usable:
                return None
            if not self.aware:
                best = self.random.choice(usable)
                best.in_flight += 1
                return best
            pair = self.random.sample(usable, min(2, len(usable)))
            best = min(pair, key=lambda b: b.score(zone or self.zone))
            best.in_flight += 1
            return best

    def done(self, view: BackendView, seconds: float | None) -> None:
        """Record the outcome of one call: its latency, or None on failure."""
        with self.lock:
            view.in_flight -= 1
            if seconds is None:
                view.shunned_until = time.monotonic() + SHUN_SECONDS
                return
            view.ewma_ms += EWMA_WEIGHT * (seconds * 1000.0 - view.ewma_ms)

    def mark_leaving(self, name: str) -> None:
        """Keep a backend out because it said it is leaving."""
        with self.lock:
            view = self.backends[name]
            view.shunned_until = time.monotonic() + SHUN_SECONDS
        events.emit(events.BACKEND_LEAVING, backend=name, source="backend")
