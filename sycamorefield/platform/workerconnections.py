"""Connections to workers, all served by one event loop.

An owner of thousands of workers waits for a report of each of them at any
time.  Each connection therefore uses its socket directly instead of a stream:
a call is a single write, and mostly a single read.
"""

import asyncio
import collections
import errno
import os
import select
import socket
import typing

from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.platform import connections
from sycamorefield.platform import jsonclient
from sycamorefield.platform import responses

READ_SIZE_BYTES = 16384

Answer = asyncio.Future[responses.Response]
Result = typing.TypeVar("Result")


def _finish(future: "asyncio.Future[Result]", value: Result) -> None:
    if not future.done():
        future.set_result(value)


def _fail(future: "asyncio.Future[Result]", error: Exception) -> None:
    """End a wait by an error, unless it is over.

    A loop that was held up handles what has arrived before it handles times
    that have passed, so an answer in time never counts as missing.
    """
    if not future.done():
        future.set_exception(error)


async def _wait(future: "asyncio.Future[Result]",
                timeout_s: float) -> Result:
    """Wait for a future; raises TimeoutError."""
    timer = asyncio.get_running_loop().call_later(
        timeout_s, _fail, future, TimeoutError("timed out"))
    try:
        return await future
    finally:
        timer.cancel()


class WorkerConnection:
    """A connection that carries one request at a time."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        # The loop takes longer for a socket than for its descriptor.
        self.descriptor = sock.fileno()
        self.poller = select.poll()
        self.poller.register(sock, select.POLLIN)
        self.parser = responses.ResponseParser()

    def closed_by_server(self) -> bool:
        """Return whether the server closed the connection while idle."""
        return bool(self.poller.poll(0))

    async def send(self, request: bytes,
                   timeout_s: float) -> responses.Response:
        """Send a request and return the response; raises CallFailed."""
        loop = asyncio.get_running_loop()
        self.parser.begin()
        answered: Answer = loop.create_future()
        try:
            await self._write(request, timeout_s)
            loop.add_reader(self.descriptor, self._read, answered)
            return await _wait(answered, timeout_s)
        except OSError as exc:
            raise interfaces.CallFailed(f"no answer: {exc!r}") from exc
        finally:
            loop.remove_reader(self.descriptor)

    async def _write(self, request: bytes, timeout_s: float) -> None:
        try:
            sent = self.sock.send(request)
        except BlockingIOError:
            sent = 0
        if sent < len(request):
            async with asyncio.timeout(timeout_s):
                await asyncio.get_running_loop().sock_sendall(
                    self.sock, request[sent:])

    def _read(self, answered: Answer) -> None:
        """Read what has arrived; called by the loop."""
        try:
            response = self.parser.feed(self.sock.recv(READ_SIZE_BYTES))
        except BlockingIOError:
            return  # The next event of the loop brings the bytes.
        except (OSError, interfaces.CallFailed) as exc:
            _fail(answered, exc)
        else:
            if response is not None:
                _finish(answered, response)

    def close(self) -> None:
        """Close the connection; it cannot be used again."""
        self.sock.close()
        self.parser.close()


class WorkerClient:
    """Calls one worker, one call at a time, over a connection kept open."""

    def __init__(self, address: str, headers: dict[str, str],
                 idle_clients: "IdleClients | None" = None) -> None:
        host, _, port = address.rpartition(":")
        self.socket_address = (host, int(port))
        self.encoder = jsonclient.RequestEncoder(address, headers)
        self.connection: WorkerConnection | None = None
        # Closes the connection of a client that is not used for long.
        self.idle_clients = idle_clients

    async def call(self, path: str, timeout_s: float, body: jsonclient.Body,
                   first_body: jsonclient.Body | None = None
                   ) -> jsonclient.JsonResponse:
        """Return the response to a POST; raises CallRefused or CallFailed.

        first_body replaces the body of the first call over a connection:
        another process may listen at the address by now.
        """
        started_at = clock.now()
        connection, self.connection = self.connection, None
        if self.idle_clients is not None:
            self.idle_clients.remove(self)
        if connection is not None and connection.closed_by_server():
            connection.close()
            connection = None
        if connection is None:
            connection = await self._connect()
            body = body if first_body is None else first_body
        try:
            response = await connection.send(
                self.encoder.encode("POST", path, body), timeout_s)
        except BaseException:
            connection.close()
            raise
        if connection.parser.reusable:
            self.connection = connection
            if self.idle_clients is not None:
                self.idle_clients.add(self)
        else:
            connection.close()
        jsonclient.record_duration(path, started_at)
        return jsonclient.JsonResponse(response.status, response.body)

    async def _connect(self) -> WorkerConnection:
        try:
            sock = await _open_socket(self.socket_address)
        except ConnectionRefusedError as exc:
            raise interfaces.ConnectionRefused(str(exc)) from exc
        except OSError as exc:
            raise interfaces.CallRefused(f"no connection: {exc}") from exc
        return WorkerConnection(sock)

    def close(self) -> None:
        """Close the idle connection."""
        if self.idle_clients is not None:
            self.idle_clients.remove(self)
        if self.connection is not None:
            self.connection.close()
            self.connection = None


class IdleClients:
    """Close the connections of the clients that were used the longest ago.

    An owner that kept a connection for orders to each of thousands of workers
    open would run out of file descriptors.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        # The most recently used one last.
        self.clients: collections.OrderedDict[WorkerClient, None] = (
            collections.OrderedDict())

    def add(self, client: WorkerClient) -> None:
        """Add a client with an idle connection; close others' if needed."""
        self.clients[client] = None
        while len(self.clients) > self.limit:
            oldest, _ = self.clients.popitem(last=False)
            oldest.close()

    def remove(self, client: WorkerClient) -> None:
        """Remove a client that is used or has no connection."""
        self.clients.pop(client, None)


async def _open_socket(address: tuple[str, int]) -> socket.socket:
    """Return a connected socket; raises OSError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        error = sock.connect_ex(address)
        if error == errno.EINPROGRESS:
            await _wait_until_connected(sock)
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, os.strerror(error))
    except BaseException:
        sock.close()
        raise
    return sock


async def _wait_until_connected(sock: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    writable: asyncio.Future[None] = loop.create_future()
    loop.add_writer(sock, _finish, writable, None)
    try:
        await _wait(writable, connections.CONNECT_TIMEOUT_S)
    finally:
        loop.remove_writer(sock)
