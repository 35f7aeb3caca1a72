"""Pool of HTTP/1.1 connections to one server.

An owner makes hundreds of calls a second, and most of the CPU time that a
report or an order takes is spent on its call.  urllib3 therefore only opens
the connections; each request is a single write, and httptools, a parser
written in C, parses the response.
"""

import collections
import dataclasses
import select
import socket

import httptools
import urllib3

from sycamorefield.fleet import interfaces

# Connecting to a VM that is powered off gets no answer.  A handshake with
# another data centre takes 3 ms, so after half a second the VM is unreachable.
CONNECT_TIMEOUT_S = 0.5
# Size of the buffer of each connection; a typical response fits into it.
READ_BUFFER_BYTES = 2048


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Status and undecoded body of a response."""

    status: int
    body: bytes


class Connection:
    """A connection that carries one request at a time.

    One parser parses all responses of the connection.  The parser and the
    connection refer to each other: a parser for each response would leave
    reference cycles that only the garbage collector frees, and tens of
    megabytes of them would pile up between two collections.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.timeout_s: float | None = None
        self.poller = select.poll()
        self.poller.register(sock, select.POLLIN)
        self.parser = httptools.HttpResponseParser(self)
        # Reused because a buffer allocated for each read would be held while
        # the call waits, and memory that hundreds of threads allocate and
        # free is not returned to the operating system.
        self.buffer = bytearray(READ_BUFFER_BYTES)
        self.body_parts: list[bytes] = []
        self.response: Response | None = None
        # Whether the last response allows another request.
        self.reusable = False

    def on_body(self, part: bytes) -> None:
        """Store a part of the body; called by the parser."""
        self.body_parts.append(part)

    def on_message_complete(self) -> None:
        """Store the complete response; called by the parser."""
        self.response = Response(int(self.parser.get_status_code()),
                                 b"".join(self.body_parts))
        self.reusable = bool(self.parser.should_keep_alive())

    def closed_by_server(self) -> bool:
        """Return whether the server closed the connection while idle."""
        return bool(self.poller.poll(0))

    def send(self, request: bytes, timeout_s: float) -> Response:
        """Send a request and return the response; raises CallFailed.

        A connection may go dead without a reset, so each wait for more bytes
        ends after the timeout.
        """
        if timeout_s != self.timeout_s:
            self.sock.settimeout(timeout_s)
            self.timeout_s = timeout_s
        self.body_parts = []
        self.response = None
        try:
            self.sock.sendall(request)
            while self.response is None:
                self._receive()
        except OSError as exc:
            raise interfaces.CallFailed(f"no answer: {exc!r}") from exc
        return self.response

    def _receive(self) -> None:
        byte_count = self.sock.recv_into(self.buffer)
        if not byte_count:
            raise self._closed_error()
        try:
            self.parser.feed_data(bytes(self.buffer[:byte_count]))
        except httptools.HttpParserError as exc:
            raise interfaces.CallFailed(f"not HTTP: {exc!r}") from exc

    def _closed_error(self) -> interfaces.CallFailed:
        """Return the error for a connection closed before a full response.

        A worker that shuts down closes its connections properly, between
        responses.  A network failure resets them while the worker goes on.
        """
        if self.body_parts:
            return interfaces.CallFailed("answer broke off")
        return interfaces.ConnectionClosed("closed before an answer")

    def close(self) -> None:
        """Close the connection; it cannot be used again."""
        self.sock.close()
        del self.parser


class ConnectionPool:
    """Keeps connections to one server open for reuse."""

    def __init__(self, host: str, port: int, max_idle: int) -> None:
        self.host = host
        self.port = port
        # Idle connections, the most recently used one last.
        self.idle: collections.deque[Connection] = collections.deque()
        self.max_idle = max_idle

    def send(self, request: bytes, timeout_s: float,
             first_request: bytes | None = None) -> Response:
        """Send a request over an idle connection or a new one.

        A new one gets first_request instead, if given: another process may
        listen at the address by now.  Raises ConnectionRefused, CallRefused,
        ConnectionClosed or CallFailed.
        """
        connection = self._take_idle()
        if connection is None:
            connection = self._connect(timeout_s)
            request = first_request or request
        try:
            response = connection.send(request, timeout_s)
        except interfaces.CallFailed:
            connection.close()
            raise
        if connection.reusable and len(self.idle) < self.max_idle:
            self.idle.append(connection)
        else:
            connection.close()
        return response

    def _take_idle(self) -> Connection | None:
        while self.idle:
            try:
                connection = self.idle.pop()
            except IndexError:
                return None  # Another thread took the last one.
            if not connection.closed_by_server():
                return connection
            connection.close()
        return None

    def _connect(self, timeout_s: float) -> Connection:
        http_connection = urllib3.connection.HTTPConnection(
            self.host, self.port, timeout=min(CONNECT_TIMEOUT_S, timeout_s))
        try:
            http_connection.connect()
        except urllib3.exceptions.NewConnectionError as exc:
            if isinstance(exc.__cause__, ConnectionRefusedError):
                raise interfaces.ConnectionRefused(str(exc)) from exc
            raise interfaces.CallRefused(f"no connection: {exc}") from exc
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            raise interfaces.CallRefused(f"no connection: {exc}") from exc
        return Connection(http_connection.sock)

    def close(self) -> None:
        """Close all idle connections."""
        while self.idle:
            self.idle.pop().close()
