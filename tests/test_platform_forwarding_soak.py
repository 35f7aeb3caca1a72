"""Play random faults of the store on three processes that forward requests.

SYCAMOREFIELD_FORWARDING_SEEDS=a-b plays these seeds instead of a few.
"""

import dataclasses
import os
import random
import threading

import cheroot.wsgi
import pytest

from sycamorefield.fleet import forwarding
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import records
from sycamorefield.platform import entrypeers
from tests import fleetfakes
from tests import test_platform_forwarding

ENTRIES = 3
STEPS = 400
MAX_ATTEMPTS = 4
FAULTS = ("", "refused", "silent", "lost", "late")
ACTIONS = ("submit", "submit", "status", "status", "cancel", "repeat",
           "fault", "fault", "heal", "deliver", "probe", "lose answers")
SEEDS_VARIABLE = "SYCAMOREFIELD_FORWARDING_SEEDS"


def seeds():
    first, _, last = os.environ.get(SEEDS_VARIABLE, "0-5").partition("-")
    return range(int(first), int(last) + 1)


class OneProcessStore(interfaces.Store):
    """The store as one process reaches it, with faults of its calls.

    "refused" and "silent" calls have no effect, "lost" ones have one but no
    answer, and "late" writes are carried out later.
    """

    def __init__(self, store):
        self.store = store
        self.fault = ""
        self.late = []

    def get(self, key):
        self._check_read()
        return self.store.get(key)

    def listing(self, prefix):
        self._check_read()
        return self.store.listing(prefix)

    def stale_page(self, prefix, after):
        self._check_read()
        return self.store.stale_page(prefix, after)

    def _check_read(self):
        if self.fault == "refused":
            raise interfaces.CallRefused("503")
        if self.fault:
            raise interfaces.CallFailed("no answer")

    def commit(self, transaction):
        if self.fault == "refused":
            raise interfaces.CallRefused("503")
        if self.fault == "late":
            self.late.append(transaction)
        if self.fault == "lost":
            self._apply(transaction)
        if self.fault:
            raise interfaces.CallFailed("no answer")
        return self.store.commit(transaction)

    def deliver(self):
        """Carry out the late writes whose conditions still hold."""
        late, self.late = self.late, []
        for transaction in late:
            self._apply(transaction)

    def _apply(self, transaction):
        try:
            self.store.commit(transaction)
        except interfaces.Conflict:
            pass

    def watch(self, prefix, after, wait_ms):
        raise NotImplementedError

    def grant(self, ttl_ms):
        raise NotImplementedError

    def renew(self, lease):
        raise NotImplementedError


class LosingApp:
    """An application whose answers can be lost after they were made."""

    def __init__(self):
        self.app = None
        self.lose = False

    def __call__(self, environ, start_response):
        answer = self.app(environ, start_response)
        if self.lose and environ["PATH_INFO"] == entrypeers.PATH:
            raise ConnectionError("answer lost")
        return answer


class Node(test_platform_forwarding.Entry):
    """An entry process that serves peers and forwards to them."""

    def __init__(self, store):
        self.reached = OneProcessStore(store)
        self.losing_app = LosingApp()
        self.server = cheroot.wsgi.Server(
            ("127.0.0.1", 0), self.losing_app, numthreads=3,
            shutdown_timeout=0.1)
        self.server.error_log = lambda *args, **kwargs: None
        self.server.prepare()
        self.port = self.server.bind_addr[1]
        self.forwarder = None
        super().__init__(self.reached)

    def connect(self, nodes):
        self.forwarder = forwarding.Forwarder(
            [entrypeers.HttpEntryPeer(f"127.0.0.1:{node.port}")
             for node in nodes if node is not self], lambda: self.is_ready)
        self.front = self.app(self.forwarder, str(self.port))
        self.losing_app.app = self.front
        threading.Thread(target=self.server.serve, daemon=True).start()


@dataclasses.dataclass
class Caller:
    """One job, and what its caller was told."""

    job_id: str
    statuses: list[int] = dataclasses.field(default_factory=list)
    cancelled: bool = False

    @property
    def accepted(self):
        return 200 in self.statuses

    @property
    def refused(self):
        return bool(self.statuses) and all(
            status in forwarding.REFUSALS for status in self.statuses)


class Soak:
    """Callers with open requests to processes that fail at random."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.store = fleetfakes.MemoryStore()
        self.nodes = [Node(self.store) for _ in range(ENTRIES)]
        for node in self.nodes:
            node.connect(self.nodes)
        self.callers = []

    def step(self):
        action = self.random.choice(ACTIONS)
        getattr(self, "_" + action.replace(" ", "_"))()

    def _submit(self):
        caller = Caller(f"{len(self.callers):016x}")
        self.callers.append(caller)
        for _ in range(self.random.randint(1, MAX_ATTEMPTS)):
            if self._attempt(caller) == 200:
                break

    def _attempt(self, caller):
        node = self.random.choice(self.nodes)
        status = node.call("POST", "/x/" + caller.job_id,
                           test_platform_forwarding.JOB)["status"]
        caller.statuses.append(status)
        return status

    def _repeat(self):
        """Send a request once more, after its caller has got an answer."""
        if self.callers:
            caller = self.random.choice(self.callers)
            if not caller.cancelled:
                self._attempt(caller)

    def _status(self):
        if not self.callers:
            return
        caller = self.random.choice(self.callers)
        answer = self.random.choice(self.nodes).call(
            "GET", "/x/" + caller.job_id)
        if caller.accepted and not caller.cancelled:
            assert answer["status"] in (200, 503, 504), caller

    def _cancel(self):
        if not self.callers:
            return
        caller = self.random.choice(self.callers)
        caller.cancelled = True
        self.random.choice(self.nodes).call("DELETE", "/x/" + caller.job_id)

    def _fault(self):
        node = self.random.choice(self.nodes)
        node.reached.fault = self.random.choice(FAULTS)
        # A process notices only later that the store is silent.
        node.is_ready = not node.reached.fault or self.random.random() < 0.3

    def _heal(self):
        node = self.random.choice(self.nodes)
        node.reached.fault = ""
        node.is_ready = True

    def _deliver(self):
        self.random.choice(self.nodes).reached.deliver()

    def _probe(self):
        for node in self.nodes:
            node.forwarder.probe()

    def _lose_answers(self):
        node = self.random.choice(self.nodes)
        node.losing_app.lose = not node.losing_app.lose

    def end(self):
        for node in self.nodes:
            node.reached.fault = ""
            node.is_ready = True
            node.losing_app.lose = False
            node.reached.deliver()

    def close(self):
        for node in self.nodes:
            node.server.stop()
            node.forwarder.replace_peers(())


@pytest.mark.parametrize("seed", seeds())
def test_callers_are_told_the_truth_about_forwarded_requests(seed):
    """Lose no accepted job, and store none whose caller was always refused."""
    soak = Soak(seed)
    try:
        for _ in range(STEPS):
            soak.step()
        soak.end()
        for caller in soak.callers:
            stored = soak.store.get(records.job_key(caller.job_id))
            if caller.accepted and not caller.cancelled:
                assert stored is not None, caller
                assert soak.nodes[0].call("GET", "/x/" + caller.job_id)[
                    "body"] == {"state": messages.PENDING}
            if caller.refused:
                assert stored is None, caller
    finally:
        soak.close()
    assert any(node.forwarder.forwarded_total for node in soak.nodes)
