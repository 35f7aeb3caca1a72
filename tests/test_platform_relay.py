"""Test calls to workers over tunnels through another process."""

import asyncio
import contextlib
import json
import socket
import threading
import time

import pytest

from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.fleet import records
from sycamorefield.fleet import relayoffers
from sycamorefield.fleet import relays
from sycamorefield.platform import bootsettings
from sycamorefield.platform import configuration
from sycamorefield.platform import connections
from sycamorefield.platform import daemon as daemon_mod
from sycamorefield.platform import relaylistener
from sycamorefield.platform import tunnels
from sycamorefield.platform import workerconnections
from sycamorefield.platform import workers as workers_mod
from tests import fleetfakes
from tests import platformfakes

STOP = messages.StopOrder(messages.TaskId("5c0e7a21d94b36f8", 0, 1, 17), 1)
FENCE = 7
WAIT_S = 5.0


def wait_for(condition):
    """Wait until a condition holds."""
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, "condition did not hold in time"
        time.sleep(0.01)


def end(listener):
    """Close a relay with its tunnels, and end its thread."""
    listener.close()
    if listener.loop_thread is not None:
        listener.loop_thread.call_soon(lambda: [
            task.cancel()
            for task in asyncio.all_tasks(listener.loop_thread.loop)])
        wait_for(lambda: listener.connections == 0)
        listener.loop_thread.stop()


@pytest.fixture(name="server")
def fixture_server():
    """Return a worker that answers all calls."""
    server = platformfakes.FaultyServer(lambda *_: (200, {"clock_ms": 5}))
    yield server
    server.close()


@pytest.fixture(name="listeners")
def fixture_listeners():
    """Return a function that makes a relay."""
    made = []

    def make(workers=(), limit=8):
        listener = relaylistener.TunnelListener("127.0.0.1", [0], limit)
        listener.listen(workers)
        made.append(listener)
        return listener
    yield make
    for listener in made:
        end(listener)


class Cut:
    """Cuts or refuses direct connections of this process to a worker."""

    def __init__(self, monkeypatch, address):
        host, _, port = address.rpartition(":")
        self.address = host, int(port)
        self.error = TimeoutError("timed out")
        self.attempts = 0
        self.open_socket = workerconnections._open_socket
        monkeypatch.setattr(workerconnections, "_open_socket", self.connect)

    async def connect(self, address):
        if address == self.address:
            self.attempts += 1
            if self.error is not None:
                raise self.error
        return await self.open_socket(address)


def relayed_worker(server, *relays):
    """Return a client of a worker that knows some relays."""
    return workers_mod.PlatformWorker(
        fleetfakes.entry(1, address=server.address),
        find_relays=lambda _: relays)


def closed_address():
    """Return an address of this machine on which nothing listens."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        host, port = sock.getsockname()
    return f"{host}:{port}"


async def stop(worker):
    return await worker.stop(STOP, FENCE)


def test_worker_out_of_reach_is_called_over_a_relay(
        monkeypatch, server, listeners):
    """Guards against workers left unused because one path is cut."""
    cut = Cut(monkeypatch, server.address)
    listener = listeners({server.address})
    worker = relayed_worker(server, listener.address)

    async def call():
        assert await stop(worker) == 5.0
        await worker.renew(FENCE, 0, None, 0)
        await stop(worker)
        assert listener.gauges()["relay_tunnels"] == 2
        worker.close()

    asyncio.run(call())
    # Both connections share what is known of the direct path.
    assert cut.attempts == 1
    assert len(server.calls) == 3
    expected = {"Sycamorefield-Expect-Instance": "i-1",
                "Host": server.address}
    assert all(expected.items() <= headers.items()
               for headers in server.headers)
    wait_for(lambda: listener.tunnels_open() == 0)
    assert listener.gauges() == {"relay_tunnels": 0.0,
                                 "relay_tunnels_opened_total": 2.0,
                                 "relay_tunnels_refused_total": 0.0}


def test_reached_worker_is_called_without_its_relay(server, listeners):
    listener = listeners({server.address})
    asyncio.run(stop(relayed_worker(server, listener.address)))
    assert listener.opened_total == 0


@pytest.mark.parametrize("error", [None, ConnectionRefusedError(111, "no")])
def test_direct_connection_is_tried_again_and_used_once_it_opens(
        monkeypatch, server, listeners, error):
    """Guards against relays in use for ever.

    A refusal does not count while the worker answers over the relay.
    """
    cut = Cut(monkeypatch, server.address)
    listener = listeners({server.address})
    worker = relayed_worker(server, listener.address)

    async def call():
        await stop(worker)
        cut.error = error
        await stop(worker)
        assert cut.attempts == 1
        monkeypatch.setattr(tunnels, "DIRECT_RETRY_S", 0.0)
        await stop(worker)
        await stop(worker)
        return worker.orders.connection.relay

    relay = asyncio.run(call())
    assert relay == ("" if error is None else listener.address)
    assert cut.attempts == (2 if error is None else 3)


def test_first_call_over_a_new_direct_connection_acknowledges_no_ends(
        monkeypatch, listeners):
    """Guards against a restarted worker forgetting ends that nobody read."""
    acknowledged = []

    def answer(method, path, query, body):
        acknowledged.append(body["seen_upto"])
        return 200, {"clock_ms": 1}
    server = platformfakes.FaultyServer(answer)
    cut = Cut(monkeypatch, server.address)
    worker = relayed_worker(server, listeners({server.address}).address)

    async def call():
        await worker.renew(FENCE, 57, None, 0)
        await worker.renew(FENCE, 57, None, 0)
        cut.error = None
        monkeypatch.setattr(tunnels, "DIRECT_RETRY_S", 0.0)
        await worker.renew(FENCE, 58, None, 0)
        await worker.renew(FENCE, 58, None, 0)

    asyncio.run(call())
    server.close()
    assert acknowledged == [0, 57, 0, 58]


@contextlib.contextmanager
def silent_relay():
    """Accept connections and never answer."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        host, port = sock.getsockname()
        yield f"{host}:{port}"


@contextlib.contextmanager
def ended_relay():
    yield closed_address()


@contextlib.contextmanager
def garbled_relay():
    """Answer a request for a tunnel with something else."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        host, port = sock.getsockname()

        def answer():
            peer, _ = sock.accept()
            with peer:
                peer.recv(100)
                peer.sendall(b"HTTP/1.1 400 Bad Request\r\n\r\n")
        threading.Thread(target=answer, daemon=True).start()
        yield f"{host}:{port}"


@pytest.mark.parametrize("relay", [silent_relay, ended_relay, garbled_relay])
def test_failed_relay_tells_nothing_of_the_worker(monkeypatch, server, relay,
                                                  listeners):
    """Guards against workers given up because their relay has ended."""
    monkeypatch.setattr(tunnels, "TUNNEL_ANSWER_S", 0.2)
    Cut(monkeypatch, server.address)
    with relay() as failing:
        other = listeners({server.address}).address
        worker = relayed_worker(server, failing, other)
        monkeypatch.setattr(worker.orders.route, "failed_at", {other: 0.0})

        async def call():
            with pytest.raises(interfaces.CallFailed) as caught:
                await stop(worker)
            # The next call uses the other relay.
            assert await stop(worker) == 5.0
            return caught.type

        assert asyncio.run(call()) is interfaces.CallRefused
    assert worker.orders.connection.relay == other


@pytest.mark.parametrize("fault", ["lost", "reset", "silent"])
def test_tunnel_that_ends_during_a_call_is_no_answer(
        monkeypatch, server, listeners, fault):
    """Guards against taking the end of a tunnel for that of its worker."""
    monkeypatch.setattr(workers_mod.PlatformWorker, "order_answer_s", 0.1)
    Cut(monkeypatch, server.address)
    worker = relayed_worker(server, listeners({server.address}).address)
    server.fault = fault
    with pytest.raises(interfaces.CallFailed) as caught:
        asyncio.run(stop(worker))
    assert caught.type is interfaces.CallFailed


@pytest.mark.parametrize("relayed", [True, False])
def test_worker_that_no_path_reaches_refuses_connections(listeners, relayed):
    """Guards against a crash that is hidden by a relay that can't connect."""
    address = closed_address()
    relay = listeners({address})
    worker = workers_mod.PlatformWorker(
        fleetfakes.entry(1, address=address),
        find_relays=lambda _: (relay.address,) if relayed else ())
    with pytest.raises(interfaces.ConnectionRefused):
        asyncio.run(stop(worker))


def test_worker_whose_link_refuses_is_called_over_a_relay(
        monkeypatch, server, listeners):
    """Guards against taking a cut for a crash where others reach a worker."""
    cut = Cut(monkeypatch, server.address)
    cut.error = ConnectionRefusedError(111, "refused")
    worker = relayed_worker(server, listeners({server.address}).address)
    assert asyncio.run(stop(worker)) == 5.0
    server.handle = lambda *_: (421, {})
    with pytest.raises(interfaces.IncarnationMismatch):
        asyncio.run(stop(worker))


def test_worker_that_starts_again_gets_no_calls_over_an_old_tunnel(
        monkeypatch, listeners):
    """Guards against orders for the life before that a new one carries out."""
    first = platformfakes.FaultyServer(lambda *_: (200, {"clock_ms": 5}))
    Cut(monkeypatch, first.address)
    listener = listeners({first.address})
    worker = relayed_worker(first, listener.address)

    def end_connection(request):
        first.respond_normally(request)
        request.close_connection = True
    first.respond_normally, first.respond = first.respond, end_connection

    async def call():
        await stop(worker)
        # The end of the worker's connection ends the tunnel.
        while not worker.orders.connection.closed_by_server():
            await asyncio.sleep(0.01)
        first.handle = lambda *_: (421, {})
        with pytest.raises(interfaces.IncarnationMismatch):
            await stop(worker)

    asyncio.run(asyncio.wait_for(call(), WAIT_S))
    assert listener.opened_total == 2
    first.close()


def test_owner_is_fenced_over_an_open_tunnel(monkeypatch, listeners):
    """Guards against orders of an owner that has a successor."""
    highest = [0]

    def answer(method, path, query, body):
        if body["fence"] < highest[0]:
            return 409, {"clock_ms": 5, "reason": interfaces.FENCED}
        highest[0] = body["fence"]
        return 200, {"clock_ms": 5}
    server = platformfakes.FaultyServer(answer)
    cut = Cut(monkeypatch, server.address)
    old = relayed_worker(server, listeners({server.address}).address)
    new = workers_mod.PlatformWorker(
        fleetfakes.entry(1, address=server.address))

    async def call():
        await old.stop(STOP, FENCE)
        cut.error = None
        await new.stop(STOP, FENCE + 1)
        with pytest.raises(interfaces.OrderRejected) as caught:
            await old.stop(STOP, FENCE)
        assert old.orders.connection.relay
        return caught.value.reason

    assert asyncio.run(call()) == interfaces.FENCED
    server.close()


def exchange(address, request):
    """Return all that a relay answers to a request."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=WAIT_S) as sock:
        sock.sendall(request)
        answer = b""
        with contextlib.suppress(ConnectionResetError):
            while received := sock.recv(1000):
                answer += received
        return answer


def test_worker_that_is_not_offered_is_not_connected_to(server, listeners):
    """Guards against a relay that connects callers to any address."""
    other = platformfakes.FaultyServer(lambda *_: (200, {}))
    listener = listeners({server.address})
    answer = exchange(listener.address, tunnels.request_line(other.address))
    assert answer.startswith(b"NO")
    assert listener.opened_total == 0
    other.close()


@pytest.mark.parametrize("request_line", [
    tunnels.request_line("127.0.0.1:1"), b"CONNECT \n", b"CONNECT\n",
    b"GET / HTTP/1.1\r\n\r\n", b"CONNECT " + 200 * b"1" + b"\n",
    b"\xff\xfe\n", 40000 * b"x", b"\n"])
def test_other_requests_get_no_tunnel(server, listeners, request_line):
    """Guards against a relay that fails at bytes of other programs."""
    listener = listeners({server.address})
    answer = exchange(listener.address, request_line)
    assert tunnels.ACCEPTED not in answer
    assert listener.opened_total == 0
    wait_for(lambda: listener.connections == 0)


def test_worker_that_is_offered_no_more_is_not_connected_to(
        server, listeners):
    listener = listeners({server.address})
    listener.listen(set())
    answer = exchange(listener.address, tunnels.request_line(server.address))
    assert answer.startswith(b"NO")


def test_worker_out_of_the_reach_of_its_relay_is_noted(listeners):
    """Guards against offers that name workers which a relay can't reach."""
    address = closed_address()
    listener = listeners({address})
    answer = exchange(listener.address, tunnels.request_line(address))
    assert answer.startswith(b"NO")
    assert listener.take_failed() == {address}
    assert listener.take_failed() == set()


def open_tunnel(listener, server):
    """Return a socket with an open tunnel."""
    host, _, port = listener.address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=WAIT_S)
    sock.sendall(tunnels.request_line(server.address))
    assert sock.recv(100) == tunnels.ACCEPTED
    return sock


def test_number_of_tunnels_is_bounded(server, listeners):
    """Guards against a relay without file descriptors for its callers."""
    listener = listeners({server.address}, limit=2)
    held = [open_tunnel(listener, server) for _ in range(2)]
    request = tunnels.request_line(server.address)
    assert tunnels.ACCEPTED not in exchange(listener.address, request)
    assert listener.tunnels_open() == 2
    held[0].close()
    wait_for(lambda: listener.connections == 1)
    held.append(open_tunnel(listener, server))
    for sock in held:
        sock.close()


@pytest.mark.parametrize("name", ["IDLE_TIMEOUT_S", "REQUEST_TIMEOUT_S"])
def test_idle_connections_are_closed(monkeypatch, server, listeners, name):
    """Guards against connections that take up the limit without use."""
    monkeypatch.setattr(relaylistener, name, 0.1)
    listener = listeners({server.address})
    host, _, port = listener.address.rpartition(":")
    with (open_tunnel(listener, server) if name == "IDLE_TIMEOUT_S"
          else socket.create_connection((host, int(port)),
                                        timeout=WAIT_S)) as sock:
        assert sock.recv(100) == b""
    wait_for(lambda: listener.connections == 0)


def test_large_answers_pass_a_slow_reader(listeners):
    """Guards against a relay that holds all of an answer in memory."""
    size = 2_000_000
    with socket.create_server(("127.0.0.1", 0)) as sock:
        host, port = sock.getsockname()
        address = f"{host}:{port}"

        def send():
            peer, _ = sock.accept()
            with peer:
                peer.sendall(size * b"x")
        threading.Thread(target=send, daemon=True).start()
        listener = listeners({address})
        time.sleep(0.05)
        answer = exchange(listener.address, tunnels.request_line(address))
    assert answer == tunnels.ACCEPTED + size * b"x"


def test_relay_costs_nothing_until_it_offers(listeners):
    threads = threading.active_count()
    listener = listeners()
    assert listener.listen(()) == ""
    assert listener.loop_thread is None
    assert threading.active_count() == threads


def test_closed_relay_opens_no_tunnels_and_keeps_open_ones(
        server, listeners):
    """Guards against a planned stop that ends calls or waits for them."""
    listener = listeners({server.address})
    with open_tunnel(listener, server) as sock:
        started_at = time.monotonic()
        listener.close()
        assert time.monotonic() - started_at < 0.5
        with pytest.raises((AssertionError, OSError)):
            open_tunnel(listener, server)
        sock.sendall(b"POST /-/run-stop HTTP/1.1\r\nContent-Length: 2\r\n"
                     b"Host: w\r\n\r\n{}")
        assert b" 200 " in sock.recv(1000)


def test_relay_listens_on_the_first_free_port(listeners, server):
    with socket.create_server(("127.0.0.1", 0)) as used:
        ports = [used.getsockname()[1], 0]
        listener = relaylistener.TunnelListener("127.0.0.1", ports, 8)
        address = listener.listen({server.address})
        assert address and not address.endswith(f":{ports[0]}")
        end(listener)
        full = relaylistener.TunnelListener("127.0.0.1", ports[:1], 8)
        assert full.listen({server.address}) == ""


@pytest.mark.parametrize(("port_range", "metrics_port", "expected"), [
    ((7720, 7724), "7735", [7720, 7721, 7723, 7724]),
    ((7720, 7724), "7720", [7721, 7723, 7724]),
    ((7720, 7724), "", [7720, 7721, 7723]),
    ((7722, 7722), "7735", []),
])
def test_relay_leaves_ports_that_the_process_serves(
        monkeypatch, port_range, metrics_port, expected):
    monkeypatch.setenv(bootsettings.METRICS_PORT_VARIABLE, metrics_port)
    settings = bootsettings.BootSettings(
        node="n", ip="10.1.0.13", port_range=port_range,
        listen={"front": "10.1.0.13:7722", "ready": "10.1.0.13:8167"},
        platform={"addr": "10.200.1.7:8169"})
    assert settings.relay_ports() == expected


def test_relay_has_time_to_connect_to_the_worker():
    """Guards against tunnels given up while the relay still connects."""
    assert tunnels.TUNNEL_ANSWER_S > connections.CONNECT_TIMEOUT_S


ENTRY = {"service": "s", "zone": "z", "state": "ready", "born": 1,
         "capacity": {"cpu": 4000, "mem_mb": 4000, "gpu": 0}, "labels": []}


def make_daemon(store, node):
    """Return an entry process that relays on a port chosen by the kernel."""
    daemon = daemon_mod.Daemon(bootsettings.BootSettings(
        node=node, ip="127.0.0.1", platform={"addr": store.address}))
    daemon.relay.ports = [0]
    threading.Thread(target=daemon.watcher.run, daemon=True).start()
    return daemon


def test_owner_finds_a_relay_through_the_store(monkeypatch, server):
    """Guards against a process whose parts don't know of each other."""
    monkeypatch.setattr(relayoffers, "MAX_DELAY_S", 0.0)
    store = platformfakes.StoreServer()
    store.memory.commit(messages.Transaction(puts=(
        messages.Put(configuration.KEY, b'{"version": 1, "routes": []}'),
        messages.Put("servers/i-1", json.dumps(
            {**ENTRY, "addr": server.address}).encode()))))
    owner, other = make_daemon(store, "n-1"), make_daemon(store, "n-2")
    threading.Thread(target=other.relay_offers.run, daemon=True).start()
    try:
        entries = workers_mod.PlatformWorkerList(owner.store).workers()
        cut = Cut(monkeypatch, server.address)
        worker = owner._make_owner(FENCE).worker_links.connect(entries[0])
        with pytest.raises(interfaces.CallRefused):
            asyncio.run(stop(worker))
        store.memory.commit(messages.Transaction(puts=(messages.Put(
            records.RELAY_REQUEST_KEY,
            relays.encode_request((server.address,))),)))
        wait_for(lambda: owner.watcher.relays.relays_of(server.address))
        # A process does not relay to itself.
        assert not other.watcher.relays.relays_of(server.address)
        assert asyncio.run(stop(worker)) == 5.0
        assert cut.attempts == 2
        assert "relay_tunnels_opened_total 1" in other._metrics_text()
        other.relay_offers.stop()
        wait_for(lambda: not owner.watcher.relays.relays_of(server.address))
    finally:
        for daemon in (owner, other):
            daemon.watcher.stopped.set()
            daemon.relay_offers.stop()
            end(daemon.relay)
        store.close()


def test_no_relay_is_used_without_its_policy(server):
    store = platformfakes.StoreServer()
    daemon = daemon_mod.Daemon(
        bootsettings.BootSettings(node="n", ip="127.0.0.1",
                                  platform={"addr": store.address}),
        policy_mod.Policy(relay_calls=False))
    worker = daemon._make_owner(FENCE).worker_links.connect(
        fleetfakes.entry(1, address=server.address))
    assert worker.orders.route is None
    assert worker.reports.route is None
    store.close()
