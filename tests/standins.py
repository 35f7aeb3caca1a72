"""Run stand-ins for external services inside the test process."""

import dataclasses
import socket

from hypothesis import stateful

from sycamorefield import kvclient
from sycamorefield import kvstore
from sycamorefield import options
from sycamorefield import settings
from sycamorefield import sycamorefield_pb2 as pb


def free_port() -> int:
    """Return a loopback port that is currently unused."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Kv:
    """An in-process key-value service and a client of it."""

    def __init__(self, writes_per_second: int = 1000) -> None:
        self.port = free_port()
        self.server, self.store = kvstore.serve("127.0.0.1", self.port,
                                                writes_per_second)
        self.client = kvclient.Client(f"127.0.0.1:{self.port}")

    def faults(self, **faults: object) -> None:
        """Set the faults of the service; without arguments, clear them."""
        self.store.faults = pb.KvFaults(**faults)

    def close(self) -> None:
        """Stop the service and close the client."""
        self.store.stopped.set()
        self.client.close()
        self.server.stop(0)


class StoreFaults(stateful.RuleBasedStateMachine):
    """Faults of the key-value service as rules of a state machine."""

    kv: Kv

    @stateful.rule()
    def store_down(self):
        self.kv.faults(down=True)

    @stateful.rule()
    def store_back(self):
        self.kv.faults()

    @stateful.rule()
    def store_loses_replies(self):
        self.kv.faults(lose_reply_ratio=1.0)


def sample_options(kv_port: int, **timings: float) -> options.Options:
    """Return the options of the default settings with another KV port.

    timings replaces fields of the timings.
    """
    opts = settings.load(None).unwrap()
    return dataclasses.replace(
        opts, kv_port=kv_port,
        timings=dataclasses.replace(opts.timings, **timings))
