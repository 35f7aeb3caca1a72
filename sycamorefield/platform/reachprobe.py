"""Find out which workers accept connections from this process."""

import select
import socket
import typing

from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.platform import connections


class TcpReachProbe(interfaces.ReachProbe):
    """Opens and closes a TCP connection to each worker."""

    def find_reached(self, addresses: typing.Iterable[str]) -> set[str]:
        """Return the addresses that accept a connection in time."""
        pending: dict[int, tuple[socket.socket, str]] = {}
        poller = select.poll()
        try:
            for address in addresses:
                sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                pending[sock.fileno()] = sock, address
                sock.setblocking(False)
                host, _, port = address.rpartition(":")
                # If it fails at once, poll() reports the socket and its error.
                sock.connect_ex((host, int(port)))
                poller.register(sock, select.POLLOUT)
            return _wait(poller, dict(pending))
        finally:
            for sock, _ in pending.values():
                sock.close()


def _wait(poller: select.poll,
          pending: dict[int, tuple[socket.socket, str]]) -> set[str]:
    """Return the addresses of the sockets that get connected in time."""
    reached = set()
    deadline = clock.now() + connections.CONNECT_TIMEOUT_S
    while pending and (left_s := deadline - clock.now()) > 0.0:
        for descriptor, _ in poller.poll(left_s * 1000.0):
            poller.unregister(descriptor)
            sock, address = pending.pop(descriptor)
            if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                reached.add(address)
    return reached
