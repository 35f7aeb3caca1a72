"""Tunnel connections of other processes to workers.

One event loop in a thread of its own serves all tunnels.  Nothing runs until
the first offer to relay.
"""

import asyncio
import errno
import math
import socket
import typing

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import loopthread
from sycamorefield.platform import connections
from sycamorefield.platform import tunnels

READ_SIZE_BYTES = 16384
LISTEN_BACKLOG = 256
# A tunnel takes two file descriptors; all may take this share of them.
DESCRIPTORS_SHARE = 0.2
# A connection that requests no tunnel within this time is closed.
REQUEST_TIMEOUT_S = 2.0
# Reports pass at least every 2 s over a tunnel in use.  One for orders that
# is closed while idle is opened again for the next order.
IDLE_TIMEOUT_S = 60.0
# Refused requests are logged at most this often.
REFUSAL_LOG_PERIOD_S = 1.0

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def max_tunnels(max_files: int) -> int:
    """Return the bound on tunnels for a process's file limit."""
    return max(1, int(DESCRIPTORS_SHARE * max_files / 2))


class Refused(Exception):
    """A tunnel is not opened; the text says why."""


class TunnelListener(interfaces.RelayListener):
    """Listens on the first free of some ports and opens tunnels."""

    def __init__(self, ip: str, ports: typing.Iterable[int],
                 limit: int) -> None:
        self.ip = ip
        self.ports = ports
        self.limit = limit
        self.address = ""
        self.loop_thread: loopthread.LoopThread | None = None
        self.server: asyncio.Server | None = None
        self.closed = False
        # Replaced as a whole.
        self.workers: frozenset[str] = frozenset()
        self.failed: set[str] = set()
        # Connections that have requested a tunnel, or may.
        self.connections = 0
        self.open = 0
        self.opened_total = 0
        self.refused_total = 0
        self.refusal_logged_at = -math.inf

    def listen(self, workers: typing.Collection[str]) -> str:
        """Tunnel to these addresses and to no others from now on.

        Tunnels that are open stay open.
        """
        self.workers = frozenset(workers)
        if not self.address and workers and not self.closed:
            self._start()
        return self.address

    def _start(self) -> None:
        sock = self._bind()
        if sock is None:
            events.emit(events.RELAY_UNAVAILABLE)
            return
        host, port = sock.getsockname()
        self.address = f"{host}:{port}"
        self.loop_thread = loopthread.LoopThread()
        self.loop_thread.spawn(self._serve(sock))
        events.emit(events.RELAY_LISTENING, address=self.address)

    def _bind(self) -> socket.socket | None:
        """Return a listening socket on a free port, or None."""
        for port in self.ports:
            try:
                return socket.create_server((self.ip, port),
                                            backlog=LISTEN_BACKLOG)
            except OSError as exc:
                if exc.errno != errno.EADDRINUSE:
                    break
        return None

    def tunnels_open(self) -> int:
        """Return how many tunnels are open."""
        return self.open

    def take_failed(self) -> set[str]:
        """Return the workers that were not reached since the last call."""
        failed, self.failed = self.failed, set()
        return failed

    def close(self) -> None:
        """Open no more tunnels; those that are open stay until the exit."""
        self.closed = True
        self.workers = frozenset()
        if self.loop_thread is not None:
            self.loop_thread.call_soon(self._stop_accepting)

    def _stop_accepting(self) -> None:
        if self.server is not None:
            self.server.close()

    def gauges(self) -> dict[str, float]:
        """Return the metrics of the relay."""
        return {"relay_tunnels": float(self.open),
                "relay_tunnels_opened_total": float(self.opened_total),
                "relay_tunnels_refused_total": float(self.refused_total)}

    async def _serve(self, sock: socket.socket) -> None:
        self.server = await asyncio.start_server(
            self._handle, sock=sock, limit=READ_SIZE_BYTES)
        if self.closed:
            self.server.close()

    async def _handle(self, reader: asyncio.StreamReader,
                      writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it is closed."""
        self.connections += 1
        try:
            worker = await self._read_request(reader)
            await self._tunnel((reader, writer), worker)
        except Refused as exc:
            self._note_refusal(str(exc))
            writer.write(f"NO {exc}\n".encode())
        except (OSError, ValueError):
            # The connection has ended, is idle, or sends no request.
            pass
        except Exception as exc:
            events.emit(events.THREAD_FAILED, reason=repr(exc),
                        where=events.error_location(exc))
        finally:
            self.connections -= 1
            writer.close()

    def _note_refusal(self, reason: str) -> None:
        self.refused_total += 1
        if clock.now() - self.refusal_logged_at >= REFUSAL_LOG_PERIOD_S:
            self.refusal_logged_at = clock.now()
            events.emit(events.TUNNEL_REFUSED, reason=reason)

    async def _read_request(self, reader: asyncio.StreamReader) -> str:
        """Return the worker that a tunnel is requested to."""
        if self.connections > self.limit:
            raise Refused("too many tunnels")
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            line = await reader.readline()
        if len(line) > tunnels.MAX_LINE_BYTES:
            raise Refused("request too long")
        word, _, worker = line.decode("ascii").strip().partition(" ")
        if word != tunnels.REQUEST_WORD or worker not in self.workers:
            raise Refused("not a worker that is relayed to")
        return worker

    async def _tunnel(self, client: Streams, worker: str) -> None:
        host, _, port = worker.rpartition(":")
        try:
            async with asyncio.timeout(connections.CONNECT_TIMEOUT_S):
                server = await asyncio.open_connection(
                    host, int(port), limit=READ_SIZE_BYTES)
        except OSError as exc:
            self.failed.add(worker)
            raise Refused(f"{worker} is not reached") from exc
        self.open += 1
        self.opened_total += 1
        try:
            client[1].write(tunnels.ACCEPTED)
            await _copy_both_ways(client, server)
        finally:
            self.open -= 1
            server[1].close()


async def _copy_both_ways(client: Streams, server: Streams) -> None:
    """Copy bytes until one side closes its connection or both are idle."""
    copying = [asyncio.ensure_future(_copy(client[0], server[1])),
               asyncio.ensure_future(_copy(server[0], client[1]))]
    try:
        await asyncio.wait(copying, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in copying:
            task.cancel()
        await asyncio.gather(*copying, return_exceptions=True)


async def _copy(reader: asyncio.StreamReader,
                writer: asyncio.StreamWriter) -> None:
    # Each request has an answer, so a tunnel in use has bytes in both
    # directions.
    while True:
        async with asyncio.timeout(IDLE_TIMEOUT_S):
            data = await reader.read(READ_SIZE_BYTES)
            if not data:
                return
            writer.write(data)
            await writer.drain()
