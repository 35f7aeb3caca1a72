"""Find out which workers accept connections from this process."""

import errno
import select
import socket
import typing

from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.platform import connections

CONNECTING = (0, errno.EINPROGRESS)


class TcpReachProbe(interfaces.ReachProbe):
    """Opens and closes a TCP connection to each worker."""

    def find_reached(self, addresses: typing.Iterable[str]) -> set[str]:
        """Return the addresses that accept a connection in time."""
        sockets: list[socket.socket] = []
        pending: dict[int, tuple[socket.socket, str]] = {}
        poller = select.poll()
        try:
            for address in addresses:
                sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                sockets.append(sock)
                sock.setblocking(False)
                host, _, port = address.rpartition(":")
                # The error of a call that fails at once is not kept.
                if sock.connect_ex((host, int(port))) in CONNECTING:
                    pending[sock.fileno()] = sock, address
                    poller.register(sock, select.POLLOUT)
            return _wait(poller, pending)
        finally:
            for sock in sockets:
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
