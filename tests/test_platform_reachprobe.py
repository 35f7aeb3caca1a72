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
