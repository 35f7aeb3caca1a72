"""Test requests to a process that the store turns away, over HTTP."""

import io
import json
import threading

import cheroot.wsgi
import pytest

from sycamorefield.fleet import forwarding
from sycamorefield.fleet import jobrequests as jobrequests_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.fleet import records
from sycamorefield.platform import bootsettings
from sycamorefield.platform import configuration
from sycamorefield.platform import daemon as daemon_mod
from sycamorefield.platform import entrypeers
from sycamorefield.platform import front as front_mod
from tests import fleetfakes

JOB_ID = "5c0e7a21d94b36f8"
JOB = json.dumps({"spec": "s", "steps": [{"count": 2, "cpu": 5}]}).encode()


def decode_config(version):
    return configuration.decode(json.dumps({
        "version": version, "services": [], "limits": {"max_body_bytes": 2000},
        "routes": [{"name": "a", "host": "h", "prefix": "/x/",
                    "service": "s"}]}).encode())


class Entry:
    """The HTTP interface of an entry process, and the store behind it."""

    def __init__(self, store, config_version=7):
        self.config = decode_config(config_version)
        self.is_ready = True
        self.front = None
        self.requests = jobrequests_mod.JobRequestHandler(
            store, lambda: not self.is_ready, lambda: None)

    def app(self, forwarder=None, peer_port=""):
        return front_mod.FrontApp(
            self.requests, lambda: self.config, lambda: self.is_ready,
            lambda: False, lambda: "", forwarder, peer_port)

    def call(self, method, path, body=b""):
        response = {}

        def start_response(status, headers):
            response.update(status=int(status.split()[0]),
                            headers=dict(headers))

        data = self.front({
            "REQUEST_METHOD": method, "PATH_INFO": path, "HTTP_HOST": "h",
            "HTTP_SYCAMOREFIELD_DEADLINE": "2000", "SERVER_PORT": "1",
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body)}, start_response)
        return {**response, "body": json.loads(b"".join(data))}


@pytest.fixture(name="store")
def fixture_store():
    return fleetfakes.MemoryStore()


@pytest.fixture(name="peer")
def fixture_peer(store):
    """Return a process that the store answers, and serve its address."""
    entry = Entry(store)
    server = cheroot.wsgi.Server(("127.0.0.1", 0), None)
    server.prepare()
    port = server.bind_addr[1]
    server.wsgi_app = entry.app(peer_port=str(port))
    entry.address = f"127.0.0.1:{port}"
    threading.Thread(target=server.serve, daemon=True).start()
    yield entry
    server.stop()


class TurnedAwayEntry(Entry):
    """A process that the store does not answer."""

    def __init__(self, store, address, config_version=0):
        super().__init__(store, config_version)
        self.is_ready = False
        if not config_version:
            self.config = messages.Configuration()
        self.forwarder = forwarding.Forwarder(
            [entrypeers.HttpEntryPeer(address)], lambda: self.is_ready)
        self.front = self.app(self.forwarder)
        self.forwarder.probe()


@pytest.mark.parametrize("config_version", [0, 7])
def test_job_is_served_by_a_process_that_the_store_turns_away(
        store, peer, config_version):
    """Guards against callers that get no answer about an accepted job.

    All processes that a caller's attempts reach may be turned away until the
    end, and may have started without a configuration.
    """
    entry = TurnedAwayEntry(store, peer.address, config_version)
    assert entry.call("POST", "/x/" + JOB_ID, JOB)["status"] == 200
    assert store.get(records.job_key(JOB_ID)) is not None
    assert entry.call("GET", "/x/" + JOB_ID)["body"] == {
        "state": messages.PENDING}
    assert entry.call("DELETE", "/x/" + JOB_ID)["status"] == 200
    assert entry.call("GET", "/x/" + JOB_ID[::-1])["status"] == 410
    assert entry.call("GET", "/y/" + JOB_ID)["status"] == 404
    assert entry.call("POST", "/x/" + JOB_ID[::-1], b"{")["status"] == 400
    assert entry.call("POST", "/x/" + JOB_ID, JOB * 100)["status"] == 413


def test_process_without_a_ready_peer_answers_itself(store, peer):
    peer.is_ready = False
    entry = TurnedAwayEntry(store, peer.address, 7)
    response = entry.call("POST", "/x/" + JOB_ID, JOB)
    assert (response["status"], response["headers"]["Retry-After"]) == (
        503, "1")


def test_request_is_not_handled_by_an_older_configuration(store, peer):
    """Guards against a route that is gone, or not there yet, at a peer."""
    entry = TurnedAwayEntry(store, peer.address, 8)
    assert entry.call("GET", "/x/" + JOB_ID)["status"] == 503
    peer.config = decode_config(9)
    entry.forwarder.probe()
    assert entry.call("GET", "/x/" + JOB_ID)["status"] == 410
    entry.is_ready = True
    peer.is_ready = False
    assert entry.call("GET", "/x/" + JOB_ID)["status"] == 503
    entry.config = decode_config(9)
    assert entry.call("GET", "/x/" + JOB_ID)["status"] == 410


def test_requests_are_not_forwarded_twice(store, peer):
    """Guards against two processes that forward to each other for ever."""
    entry = TurnedAwayEntry(store, peer.address, 7)
    peer.is_ready = False
    assert entry.call("GET", "/x/" + JOB_ID)["status"] == 503


@pytest.mark.parametrize("path", [entrypeers.PATH, "/x/" + JOB_ID])
def test_callers_cannot_use_the_interface_for_peers(store, path):
    """Serve forwarded requests at the control address only, and no others."""
    entry = TurnedAwayEntry(store, "127.0.0.1:9", 7)
    entry.is_ready = True
    body = json.dumps({"method": "GET", "path": "/x/" + JOB_ID, "host": "h",
                       "deadline_ms": 500}).encode()
    front_status = entry.call("POST", path, body)["status"]
    assert front_status == (404 if path == entrypeers.PATH else 400)
    entry.front.peer_port = "1"
    peer_status = entry.call("POST", path, body)["status"]
    assert peer_status == (200 if path == entrypeers.PATH else 404)


@pytest.mark.parametrize("body", [b"", b"[]", b"{", b'{"method": "GET"}'])
def test_unreadable_forwarded_request_is_rejected(store, body):
    entry = TurnedAwayEntry(store, "127.0.0.1:9", 7)
    entry.front.peer_port = "1"
    assert entry.call("POST", entrypeers.PATH, body)["status"] == 400


def make_daemon(policy=policy_mod.Policy(), **settings):
    return daemon_mod.Daemon(bootsettings.BootSettings.model_validate({
        "node": "n", "ip": "127.0.0.1", "platform": {"addr": "127.0.0.1:9"},
        **settings}), policy)


@pytest.mark.parametrize(("settings", "peers"), [
    ({}, 0), ({"seeds": None}, 0), ({"seeds": []}, 0),
    ({"seeds": ["10.0.0.1:80", "10.0.0.2:80"]}, 2),
    ({"seeds": ["10.0.0.1:80", "", "10.0.0.2", "10.0.0.3:x"]}, 1),
    ({"seeds": ["10.0.0.1:80", "10.0.0.2:80"],
      "listen": {"control": "10.0.0.1:80"}}, 1),
    ({"listen": {"front": "10.0.0.1:8", "control": None}}, 0)])
def test_process_starts_without_usable_addresses_of_peers(settings, peers):
    """Guards against processes that end at once on some deployment."""
    daemon = make_daemon(**settings)
    assert len(daemon.forwarder.peers) == peers
    assert not daemon._serves()


def test_nothing_is_forwarded_if_the_policy_says_so():
    daemon = make_daemon(policy_mod.Policy(forward_requests=False),
                         seeds=["10.0.0.1:80"])
    assert not daemon.forwarder.peers


def test_changed_addresses_of_peers_are_used(tmp_path, monkeypatch):
    """Guards against peers that have all been replaced since the start."""
    daemon = make_daemon(seeds=["10.0.0.1:80"])
    path = tmp_path / "boot.json"
    path.write_text(json.dumps({
        "node": "n", "ip": "127.0.0.1", "platform": {"addr": "127.0.0.1:9"},
        "seeds": ["10.0.0.2:80"]}))
    monkeypatch.setenv(bootsettings.PATH_VARIABLE, str(path))
    daemon.reload()
    assert [peer.address for peer in daemon.forwarder.peers] == ["10.0.0.2:80"]
