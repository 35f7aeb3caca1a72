"""Test which workers count as reached by a process."""

import socket

from sycamorefield.platform import connections
from sycamorefield.platform import reachprobe


def test_only_workers_that_accept_connections_in_time_are_reached(
        monkeypatch):
    monkeypatch.setattr(connections, "CONNECT_TIMEOUT_S", 0.2)
    with (socket.create_server(("127.0.0.1", 0)) as accepting,
          socket.create_server(("127.0.0.1", 0)) as refusing,
          socket.create_server(("127.0.0.1", 0), backlog=0) as silent,
          socket.create_connection(silent.getsockname())):
        addresses = [f"{host}:{port}" for host, port in (
            server.getsockname() for server in (accepting, refusing, silent))]
        refusing.close()
        probe = reachprobe.TcpReachProbe()
        assert probe.find_reached(addresses) == {addresses[0]}
        assert probe.find_reached([]) == set()


def test_address_without_a_route_is_not_reached():
    """Guards against offers of a process that has no path to any worker."""
    # Without SO_BROADCAST, a connection to this address fails at once.
    address = "255.255.255.255:80"
    assert reachprobe.TcpReachProbe().find_reached([address]) == set()
