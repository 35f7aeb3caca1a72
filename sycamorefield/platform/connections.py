"""Pool of HTTP/1.1 connections to one server.

urllib3 only opens the connections; each request is a single write.
"""

import collections
import select
import socket

import urllib3

from sycamorefield.fleet import interfaces
from sycamorefield.platform import responses

# Connecting to a VM that is powered off gets no answer.  A handshake with
# another data centre takes 3 ms, so after half a second the VM is unreachable.
CONNECT_TIMEOUT_S = 0.5
# Size of the buffer of each connection; a typical response fits into it.
READ_BUFFER_BYTES = 2048


class Connection:
    """A connection that carries one request at a time."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.timeout_s: float | None = None
        self.poller = select.poll()
        self.poller.register(sock, select.POLLIN)
        self.parser = responses.ResponseParser()
        # Reused because a buffer allocated for each read would be held while
        # the call waits, and memory that many threads allocate and free is
        # not returned to the operating system.
        self.buffer = bytearray(READ_BUFFER_BYTES)

    def closed_by_server(self) -> bool:
        """Return whether the server closed the connection while idle."""
        return bool(self.poller.poll(0))

    def send(self, request: bytes, timeout_s: float) -> responses.Response:
        """Send a request and return the response; raises CallFailed.

        A connection may go dead without a reset, so each wait for more bytes
        ends after the timeout.
        """
        if timeout_s != self.timeout_s:
            self.sock.settimeout(timeout_s)
            self.timeout_s = timeout_s
        self.parser.begin()
        try:
            self.sock.sendall(request)
            response = self._receive()
            while response is None:
                response = self._receive()
        except OSError as exc:
            raise interfaces.CallFailed(f"no answer: {exc!r}") from exc
        return response

    def _receive(self) -> responses.Response | None:
        byte_count = self.sock.recv_into(self.buffer)
        return self.parser.feed(bytes(self.buffer[:byte_count]))

    def close(self) -> None:
        """Close the connection; it cannot be used again."""
        self.sock.close()
        self.parser.close()


class ConnectionPool:
    """Keeps connections to one server open for reuse."""

    def __init__(self, host: str, port: int, max_idle: int) -> None:
        self.host = host
        self.port = port
        # Idle connections, the most recently used one last.
        self.idle: collections.deque[Connection] = collections.deque()
        self.max_idle = max_idle

    def send(self, request: bytes, timeout_s: float) -> responses.Response:
        """Send a request over an idle connection or a new one.

        Raises ConnectionRefused, CallRefused, ConnectionClosed or CallFailed.
        """
        connection = self._take_idle() or self._connect(timeout_s)
        try:
            response = connection.send(request, timeout_s)
        except interfaces.CallFailed:
            connection.close()
            # What silenced this connection may have silenced the idle ones.
            self.close()
            raise
        if connection.parser.reusable and len(self.idle) < self.max_idle:
            self.idle.append(connection)
        else:
            connection.close()
        return response

    def _take_idle(self) -> Connection | None:
        while (connection := self._pop_idle()) is not None:
            if not connection.closed_by_server():
                return connection
            connection.close()
        return None

    def _pop_idle(self) -> Connection | None:
        """Return an idle connection; other threads may take them meanwhile."""
        try:
            return self.idle.pop()
        except IndexError:
            return None

    def _connect(self, timeout_s: float) -> Connection:
        http_connection = urllib3.connection.HTTPConnection(
            self.host, self.port, timeout=min(CONNECT_TIMEOUT_S, timeout_s))
        try:
            http_connection.connect()
        except urllib3.exceptions.NewConnectionError as exc:
            if isinstance(exc.__cause__, ConnectionRefusedError):
                raise interfaces.ConnectionRefused(str(exc)) from exc
            raise interfaces.NotConnected(f"no connection: {exc}") from exc
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            raise interfaces.NotConnected(f"no connection: {exc}") from exc
        return Connection(http_connection.sock)

    def close(self) -> None:
        """Close all idle connections."""
        while (connection := self._pop_idle()) is not None:
            connection.close()
