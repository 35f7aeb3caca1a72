"""HTTP server that takes a thread for a connection per complete request.

The threads of cheroot read the requests, so that clients that send nothing or
half a request occupy all of them.  Here the thread that accepts connections
receives the requests of all of them, without waiting for any.
"""

import contextlib
import selectors
import socket
import threading
import time
import typing

from cheroot import makefile as makefile_mod
from cheroot import server as cheroot_server
import cherrypy
from cherrypy import _cpwsgi_server

from sycamorefield.fleet import clock
from sycamorefield.platform import requestbuffer

# The time from the first byte of a request to its last one.
REQUEST_TIMEOUT_S = 5.0
# How long a connection may be open without a request.
IDLE_TIMEOUT_S = 10.0
# How long a thread waits for the rest of a request that can't be buffered.
THREAD_READ_TIMEOUT_S = 2.0
# How many connections may wait for a request.  Beyond it, the oldest of those
# that have not had one are closed: a process may open some 4,000 files.
MAX_WAITING_CONNECTIONS = 512
# How many connections are kept open after a response.  Beyond it, responses
# ask clients to close: requests sent as a process stops may be lost.
MAX_KEPT_CONNECTIONS = 10
# Connections accepted before requests on the others are received.
MAX_ACCEPTS = 64
# The pause after a failure to accept, such as too many open files.
ACCEPT_RETRY_S = 0.05
# How often a start that takes longer than usual is checked for a failure.
FAILURE_POLL_S = 0.1
RECEIVE_BYTES = 64 * 1024


class RequestSource(socket.SocketIO):
    """Provides a received request, and waits a short time for the rest."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, "r")
        self.sock = sock
        self.received = bytearray()
        self.read_until = 0.0

    def readinto(self, buffer: typing.Any) -> int | None:
        """Read at most as much as fits into the buffer."""
        if self.received:
            count = min(len(buffer), len(self.received))
            buffer[:count] = self.received[:count]
            del self.received[:count]
            return count
        remaining_s = self.read_until - clock.now()
        if remaining_s <= 0.0:
            raise TimeoutError("timed out")
        timeout_s = self.sock.gettimeout()
        self.sock.settimeout(remaining_s)
        try:
            return super().readinto(buffer)
        finally:
            self.sock.settimeout(timeout_s)


class RequestReader(makefile_mod.StreamReader):
    """Buffers the reads of a request source."""

    def __init__(self, source: RequestSource, buffer_bytes: int) -> None:
        # StreamReader would open a source of its own.
        super(makefile_mod.StreamReader, self).__init__(source, buffer_bytes)
        self.bytes_read = 0


class BufferedConnection(cheroot_server.HTTPConnection):
    """A connection and what it has received beyond the current request."""

    def __init__(self, server: typing.Any, sock: socket.socket,
                 makefile: typing.Any = makefile_mod.MakeFile) -> None:
        self.source = RequestSource(sock)
        self.received = bytearray()
        self.waiting_since = clock.now()
        # When the first byte of an incomplete request arrived, or 0.
        self.request_began_at = 0.0
        self.has_had_request = False

        def make_file(sock: socket.socket, mode: str, buffer_bytes: int
                      ) -> typing.Any:
            if "r" in mode:
                return RequestReader(self.source, buffer_bytes)
            return makefile(sock, mode, buffer_bytes)
        super().__init__(server, sock, make_file)

    def receive(self) -> bool:
        """Receive what has arrived; return False once the client closed."""
        try:
            data = self.socket.recv(RECEIVE_BYTES)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        if data and not self.received:
            self.request_began_at = clock.now()
        self.received += data
        return bool(data)

    def take_request(self) -> bool:
        """Prepare the first received request; return False if there is none.

        The connection is then for one thread, which may wait for the client.
        """
        length = requestbuffer.request_length(self.received)
        if length is None:
            return False
        self.source.received += self.received[:length]
        self.source.read_until = clock.now() + THREAD_READ_TIMEOUT_S
        del self.received[:length]
        self.has_had_request = True
        self.socket.settimeout(self.server.timeout)
        return True

    def finish_request(self) -> None:
        """Prepare for the next request on the connection."""
        self.socket.setblocking(False)
        if self.rfile.has_data():
            self.source.received[:0] = self.rfile.read(
                len(self.rfile.peek(1)))
        received = self.source.received + self.received
        # The line end after the last chunk of a body is not read with it.
        self.received = bytearray(received.lstrip(b"\r\n"))
        self.source.received.clear()
        self.waiting_since = clock.now()
        self.request_began_at = self.waiting_since if self.received else 0.0

    def expires_at(self) -> float:
        """Return until when the next request must be complete."""
        if self.request_began_at:
            return self.request_began_at + REQUEST_TIMEOUT_S
        return self.waiting_since + IDLE_TIMEOUT_S


class RequestReceiver:
    """Receives requests; takes the place of cheroot's ConnectionManager."""

    def __init__(self, server: typing.Any) -> None:
        self.server = server
        self.server.socket.setblocking(False)
        self.lock = threading.Lock()
        # Connections are removed by the thread in run() only.
        self.waiting: dict[int, BufferedConnection] = {}
        self.selector = selectors.DefaultSelector()
        self.selector.register(server.socket.fileno(), selectors.EVENT_READ)
        self.closed = False
        self.stop_requested = False
        self.stopped = threading.Event()
        self.stopped.set()

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Return whether one more connection is kept after its response."""
        with self.lock:
            kept = sum(connection.has_had_request
                       for connection in self.waiting.values())
        return kept < MAX_KEPT_CONNECTIONS

    def put(self, connection: BufferedConnection) -> None:
        """Wait for the next request on a connection."""
        connection.finish_request()
        self._submit_or_wait(connection)

    def run(self, expiration_interval: float) -> None:
        """Receive requests until stopped."""
        self.stopped.clear()
        try:
            checked_at = clock.now()
            while not self.stop_requested:
                self._handle_events(expiration_interval)
                now = clock.now()
                if now - checked_at >= expiration_interval:
                    checked_at = now
                    self._close_expired(now)
                self._close_excess()
        finally:
            self.stopped.set()

    def stop(self) -> None:
        """Make run() return, and wait for it."""
        self.stop_requested = True
        self.stopped.wait()

    def close(self) -> None:
        """Submit requests that have arrived, and close other connections."""
        with self.lock:
            self.closed = True
            waiting = list(self.waiting.values())
        for connection in waiting:
            self._remove(connection)
            if connection.receive() and connection.take_request():
                self.server.requests.put(connection)
            else:
                _close(connection)
        self.selector.close()

    def _handle_events(self, timeout_s: float) -> None:
        listener = self.server.socket.fileno()
        for key, _ in self.selector.select(timeout_s):
            if key.fd == listener:
                self._accept()
            elif key.data is not None:
                self._remove(key.data)
                self._receive(key.data)

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS):
            try:
                sock, address = self.server.socket.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError:
                time.sleep(ACCEPT_RETRY_S)
                return
            sock.setblocking(False)
            connection = self.server.ConnectionClass(self.server, sock)
            connection.remote_addr, connection.remote_port = address[:2]
            self._receive(connection)

    def _receive(self, connection: BufferedConnection) -> None:
        if connection.receive():
            self._submit_or_wait(connection)
        else:
            _close(connection)

    def _submit_or_wait(self, connection: BufferedConnection) -> None:
        if connection.take_request():
            self.server.requests.put(connection)
            return
        descriptor = connection.socket.fileno()
        with self.lock:
            if not self.closed:
                self.waiting[descriptor] = connection
                self.selector.register(
                    descriptor, selectors.EVENT_READ, connection)
                return
        _close(connection)

    def _remove(self, connection: BufferedConnection) -> None:
        descriptor = connection.socket.fileno()
        with self.lock:
            del self.waiting[descriptor]
            self.selector.unregister(descriptor)

    def _close_expired(self, now: float) -> None:
        with self.lock:
            expired = [connection for connection in self.waiting.values()
                       if connection.expires_at() <= now]
        for connection in expired:
            self._remove(connection)
            _close(connection)

    def _close_excess(self) -> None:
        with self.lock:
            excess = len(self.waiting) - MAX_WAITING_CONNECTIONS
            if excess <= 0:
                return
            unused = [connection for connection in self.waiting.values()
                      if not connection.has_had_request]
        unused.sort(key=lambda connection: connection.waiting_since)
        for connection in unused[:excess]:
            self._remove(connection)
            _close(connection)


class BufferingServer(_cpwsgi_server.CPWSGIServer):
    """Server whose threads get connections with a complete request."""

    ConnectionClass = BufferedConnection
    _connections: typing.Any

    def __init__(self, adapter: "ServerAdapter") -> None:
        super().__init__(adapter)
        self.prepared = threading.Event()

    def prepare(self) -> None:
        """Listen, and start the threads."""
        super().prepare()
        self._connections.close()
        self._connections = RequestReceiver(self)
        self.prepared.set()


class ServerAdapter(cherrypy._cpserver.Server):
    """Settings of a server, and the thread that runs it."""

    def httpserver_from_self(self, httpserver: typing.Any = None
                             ) -> tuple[BufferingServer, typing.Any]:
        """Return the server to start and its address."""
        return BufferingServer(self), self.bind_addr

    def wait(self) -> None:
        """Wait until the server listens; raise what ended it before."""
        while not self.httpserver.prepared.wait(FAILURE_POLL_S):
            if self.interrupt:
                raise self.interrupt


def _close(connection: BufferedConnection) -> None:
    with contextlib.suppress(OSError):
        connection.close()
