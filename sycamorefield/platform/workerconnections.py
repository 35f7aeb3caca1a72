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
from sycamorefield.platform import tunnels

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
    """A connection that carries one request at a time.

    relay is the address of the relay that it goes through, if any.
    """

    def __init__(self, sock: socket.socket, relay: str = "") -> None:
        self.sock = sock
        self.relay = relay
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
        if self.relay:
            timeout_s += tunnels.EXTRA_ANSWER_S
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
                 idle_clients: "IdleClients | None" = None,
                 route: tunnels.WorkerRoute | None = None) -> None:
        host, _, port = address.rpartition(":")
        self.socket_address = (host, int(port))
        self.encoder = jsonclient.RequestEncoder(address, headers)
        self.connection: WorkerConnection | None = None
        # Closes the connection of a client that is not used for long.
        self.idle_clients = idle_clients
        # Without a route, all connections are direct.
        self.route = route

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
        known = connection
        if connection is not None and connection.relay:
            connection = await self._leave_relay(connection)
        if connection is None:
            connection = await self._connect()
        if connection is not known and first_body is not None:
            body = first_body
        try:
            response = await connection.send(
                self.encoder.encode("POST", path, body), timeout_s)
        except interfaces.CallFailed as exc:
            connection.close()
            if connection.relay:
                raise self._relay_failed(connection.relay, exc) from exc
            raise
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
        if self.route is not None and not self.route.direct_due():
            relay = self.route.next_relay()
            if relay:
                return await self._open_tunnel(relay)
        try:
            return await self._connect_directly()
        except ConnectionRefusedError as exc:
            return await self._relay_refused(exc)
        except OSError as exc:
            relay = self.route.next_relay() if self.route is not None else ""
            if not relay:
                raise interfaces.CallRefused(f"no connection: {exc}") from exc
        return await self._open_tunnel(relay)

    async def _relay_refused(self, refusal: ConnectionRefusedError
                             ) -> WorkerConnection:
        """Open a tunnel to a worker that refused a direct connection.

        Its link may be cut while it runs on.  A relay that doesn't reach it
        either leaves the refusal as it is.
        """
        relay = self.route.next_relay() if self.route is not None else ""
        try:
            if relay:
                return await self._open_tunnel(relay)
        except interfaces.CallRefused as exc:
            raise interfaces.ConnectionRefused(
                f"{refusal}; {exc}") from refusal
        raise interfaces.ConnectionRefused(str(refusal)) from refusal

    async def _connect_directly(self) -> WorkerConnection:
        if self.route is not None:
            self.route.begin_direct()
        connection = WorkerConnection(await _open_socket(self.socket_address))
        if self.route is not None:
            self.route.use_direct()
        return connection

    async def _open_tunnel(self, relay: str) -> WorkerConnection:
        assert self.route is not None
        try:
            host, _, port = relay.rpartition(":")
            sock = await _open_socket((host, int(port)))
            try:
                await tunnels.request(sock, self.route.worker)
            except BaseException:
                sock.close()
                raise
        except OSError as exc:
            raise self._relay_failed(relay, exc) from exc
        self.route.use_relay(relay)
        return WorkerConnection(sock, relay)

    def _relay_failed(self, relay: str,
                      exc: Exception) -> interfaces.CallFailed:
        """Return the error of a call over a relay.

        It says nothing about the worker: the relay may have ended.
        """
        assert self.route is not None
        self.route.note_failure(relay)
        if isinstance(exc, interfaces.CallFailed):
            return interfaces.CallFailed(f"relay {relay}: {exc}")
        return interfaces.CallRefused(f"relay {relay}: no tunnel: {exc}")

    async def _leave_relay(self, connection: WorkerConnection
                           ) -> WorkerConnection | None:
        """Return the connection to use instead of an open tunnel.

        It is the tunnel as long as no direct connection can be opened, or
        None to open another connection.
        """
        assert self.route is not None
        if not self.route.relayed:
            connection.close()
            return None
        if not self.route.direct_due():
            return connection
        try:
            direct = await self._connect_directly()
        except OSError:
            # The worker has answered over the tunnel, so a refusal does not
            # show that it has ended.
            return connection
        except BaseException:
            connection.close()
            raise
        connection.close()
        return direct

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
