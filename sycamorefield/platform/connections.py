"""Exchange HTTP/1.1 messages with one server over connections kept open.

An owner makes hundreds of calls a second, and a call is most of what a report
or an order costs it.  urllib3 opens the connections; a request is then one
write, and httptools, a parser in C, reads the answer.
"""

import collections
import dataclasses
import select
import socket

import httptools
import urllib3

from sycamorefield.fleet import interfaces

# A connection to a VM without power never opens; a data centre away a
# handshake takes 3 ms, so half a second means that nobody is there.
CONNECT_TIMEOUT_S = 0.5
# Each connection keeps one buffer of this size, which takes a usual answer.
READ_BUFFER_BYTES = 2048


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Hold the status and the body of an answer."""

    status: int
    body: bytes


class Connection:
    """Send one request at a time to a server.

    One parser serves all answers of the connection.  Parser and connection
    refer to each other: made anew for each answer, they would be garbage that
    only a collection of cycles finds, tens of megabytes between two.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.timeout_s: float | None = None
        self.poller = select.poll()
        self.poller.register(sock, select.POLLIN)
        self.parser = httptools.HttpResponseParser(self)
        # One allocated for each read is held while a call waits, and what
        # hundreds of threads allocate and give back stays with the process.
        self.buffer = bytearray(READ_BUFFER_BYTES)
        self.body_parts: list[bytes] = []
        self.response: Response | None = None
        # Whether it may be used again after this answer.
        self.reusable = False

    def on_body(self, part: bytes) -> None:
        """Take in a part of a body, for the parser."""
        self.body_parts.append(part)

    def on_message_complete(self) -> None:
        """Take in the end of an answer, for the parser."""
        self.response = Response(int(self.parser.get_status_code()),
                                 b"".join(self.body_parts))
        self.reusable = bool(self.parser.should_keep_alive())

    def closed_by_server(self) -> bool:
        """Tell whether the other end has closed it while it was idle."""
        return bool(self.poller.poll(0))

    def send(self, request: bytes, timeout_s: float) -> Response:
        """Send a request and return the answer; raises CallFailed.

        A connection may go silent for good without a reset: each wait for
        further bytes ends after the timeout.
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
        """Return what the end of a connection before a whole answer means.

        A worker that leaves ends its connections in order, between answers; a
        cut network resets them while the worker goes on.
        """
        if self.body_parts:
            return interfaces.CallFailed("answer broke off")
        return interfaces.ConnectionClosed("closed before an answer")

    def close(self) -> None:
        """Close the connection; it can't be used again."""
        self.sock.close()
        del self.parser


class ConnectionPool:
    """Keep connections to one server open for the next calls."""

    def __init__(self, host: str, port: int, max_idle: int) -> None:
        self.host = host
        self.port = port
        # Idle connections, the one used last at the end.
        self.idle: collections.deque[Connection] = collections.deque()
        self.max_idle = max_idle

    def send(self, request: bytes, timeout_s: float) -> Response:
        """Send a request over an idle connection or a new one.

        Raises ConnectionRefused, CallRefused, ConnectionClosed or CallFailed.
        """
        connection = self._take_idle() or self._connect(timeout_s)
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
        """Close the connections that are idle."""
        while self.idle:
            self.idle.pop().close()
