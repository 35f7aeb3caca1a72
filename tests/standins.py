"""Run stand-ins inside the test process, on loopback."""

import dataclasses
import socket

from hypothesis import stateful

from sycamorefield import kvclient
from sycamorefield import kvstore
from sycamorefield import options
from sycamorefield import settings
from sycamorefield import sycamorefield_pb2 as pb


def free_port() -> int:
    """Return a loopback port nobody listens on now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Kv:
    """An in-process key-value stand-in and a client of it."""

    def __init__(self, writes_per_second: int = 1000) -> None:
        self.port = free_port()
        self.server, self.store = kvstore.serve("127.0.0.1", self.port,
                                                writes_per_second)
        self.client = kvclient.Client(f"127.0.0.1:{self.port}")

    def faults(self, **faults: object) -> None:
        """Set the stand-in's fault knobs directly."""
        self.store.faults = pb.KvFaults(**faults)

    def close(self) -> None:
        """Stop the stand-in."""
        self.store.stopped.set()
        self.client.close()
        self.server.stop(0)


class StoreFaults(stateful.RuleBasedStateMachine):
    """The key-value service's faults, as rules of a state machine."""

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
    """Return the default sample's options, pointed at kv_port."""
    opts = settings.load(None).unwrap()
    return dataclasses.replace(
        opts, kv_port=kv_port,
        timings=dataclasses.replace(opts.timings, **timings))
