"""The client's side of tunnels to workers through other processes.

A tunnel begins with one line that names the worker, and one line with the
relay's answer.  From then on it carries the bytes of one connection.
"""

import asyncio
import math
import socket
import typing

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.platform import connections

REQUEST_WORD = "CONNECT"
ACCEPTED = b"OK\n"
MAX_LINE_BYTES = 128
# The relay opens a connection to the worker before it answers.
TUNNEL_ANSWER_S = connections.CONNECT_TIMEOUT_S + 0.3
# How much longer an answer of a worker may take over a tunnel.
EXTRA_ANSWER_S = 0.2
# A worker that is called over a relay is tried directly this often.  A trial
# without an answer delays one call by CONNECT_TIMEOUT_S.
DIRECT_RETRY_S = 15.0

FindRelays = typing.Callable[[str], tuple[str, ...]]


def request_line(worker: str) -> bytes:
    """Return the line that requests a tunnel to a worker's address."""
    return f"{REQUEST_WORD} {worker}\n".encode()


async def request(sock: socket.socket, worker: str) -> None:
    """Request a tunnel over a connection to a relay; raises OSError."""
    loop = asyncio.get_running_loop()
    answer = b""
    async with asyncio.timeout(TUNNEL_ANSWER_S):
        await loop.sock_sendall(sock, request_line(worker))
        while not answer.endswith(b"\n") and len(answer) < MAX_LINE_BYTES:
            received = await loop.sock_recv(sock, MAX_LINE_BYTES)
            if not received:
                break
            answer += received
    if answer != ACCEPTED:
        raise OSError(f"relay answers {answer!r}")


class WorkerRoute:
    """How a worker is reached: directly or over a relay.

    All connections of one worker share a route, in one event loop.
    find_relays returns the relays that offer to connect to an address.
    """

    def __init__(self, worker: str, find_relays: FindRelays) -> None:
        self.worker = worker
        self.find_relays = find_relays
        self.relayed = False
        self.direct_failed_at = -math.inf
        # When each relay failed last.
        self.failed_at: dict[str, float] = {}

    def next_relay(self) -> str:
        """Return the relay to be used, or an empty string if none is known.

        Of several, it is the one whose last failure was the longest ago.
        """
        return min(self.find_relays(self.worker), default="",
                   key=lambda relay: self.failed_at.get(relay, -math.inf))

    def direct_due(self) -> bool:
        """Return whether a direct connection is to be tried."""
        return (not self.relayed
                or clock.now() - self.direct_failed_at >= DIRECT_RETRY_S)

    def begin_direct(self) -> None:
        """Note a direct attempt, so that no other one is made meanwhile."""
        self.direct_failed_at = clock.now()

    def use_direct(self) -> None:
        """Note that a direct connection has been opened."""
        if self.relayed:
            events.emit(events.WORKER_DIRECT, address=self.worker)
        self.relayed = False

    def use_relay(self, relay: str) -> None:
        """Note that a tunnel has been opened."""
        if not self.relayed:
            events.emit(events.WORKER_RELAYED, address=self.worker,
                        relay=relay)
        self.relayed = True

    def note_failure(self, relay: str) -> None:
        """Note that a call over a relay, or a request to it, has failed.

        The next connection is tried directly first.
        """
        self.failed_at = {
            known: failed_at for known, failed_at in self.failed_at.items()
            if known in self.find_relays(self.worker)}
        self.failed_at[relay] = clock.now()
        self.direct_failed_at = -math.inf
