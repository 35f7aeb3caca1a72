"""Test the wire formats and the error handling of the platform adapter."""

import asyncio
import gc
import io
import json
import os
import socket
import threading
import time
import tomllib
import urllib.request

import httptools
import pydantic
import pytest

from sycamorefield.fleet import interfaces
from sycamorefield.fleet import jobrequests as jobrequests_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import records
from sycamorefield.platform import bootsettings
from sycamorefield.platform import configuration
from sycamorefield.platform import connections
from sycamorefield.platform import daemon as daemon_mod
from sycamorefield.platform import front as front_mod
from sycamorefield.platform import jobbody
from sycamorefield.platform import jsonclient
from sycamorefield.platform import reportrows
from sycamorefield.platform import store as store_mod
from sycamorefield.platform import workers as workers_mod
from tests import fleetfakes
from tests import platformfakes

CONFIG = {"version": 7, "routes": [
    {"name": "a", "host": "h", "prefix": "/x/", "service": "s",
     "slo_ms": 250, "max_attempts": 4, "kind": "non_idempotent"},
    {"name": "b", "host": "h", "prefix": "/x/y/", "service": "t",
     "priority": 2, "max_attempts": 3}], "services": [],
    "limits": {"max_body_bytes": 2000}}
JOB_ID = "5c0e7a21d94b36f8"


@pytest.fixture(name="server")
def fixture_server():
    server = platformfakes.StoreServer()
    yield server
    server.close()


@pytest.fixture(name="store")
def fixture_store(server):
    return store_mod.PlatformStore(server.address)


def put(store, key, value=b"v", revision=0):
    return store.commit(messages.Transaction(
        (messages.Expect(key, revision),), (messages.Put(key, value),)))


def test_listing_returns_items_of_all_pages(store):
    for n in range(5):
        put(store, f"in/{n}", bytes([n, 255]))
    listing = store.listing("in/")
    assert [i.value for i in listing.items] == [bytes([n, 255])
                                                for n in range(5)]
    assert store.get("in/3").key == "in/3"
    assert store.get("in/9") is None


def test_conflict_carries_current_item(store):
    revision = put(store, "k", b"mine")
    with pytest.raises(interfaces.Conflict) as caught:
        put(store, "k", b"other")
    assert caught.value.item_for("k").value == b"mine"
    assert caught.value.item_for("k").revision == revision


def test_watch_returns_changes_and_removals(store):
    revision = put(store, "k/1")
    put(store, "k/2")
    store.commit(messages.Transaction(removes=("k/1",)))
    changes = store.watch("k/", revision, 100).changes
    assert [(c.key, c.item is None) for c in changes] == [
        ("k/2", False), ("k/1", True)]


def test_watch_from_compacted_revision_raises_error(server, store):
    revision = put(store, "k/1")
    server.memory.compact()
    with pytest.raises(interfaces.HistoryCompacted):
        store.watch("k/", revision, 100)


def test_ended_lease_cannot_be_renewed(server, store):
    lease = store.grant(2000)
    store.renew(lease)
    server.memory.end_lease(lease)
    with pytest.raises(interfaces.LeaseEnded):
        store.renew(lease)


@pytest.mark.parametrize(("fault", "error", "stored"), [
    ("busy", interfaces.CallRefused, False),
    ("many", interfaces.CallRefused, False),
    ("lost", interfaces.ConnectionClosed, True),
    # A network failure resets connections to a worker that goes on.  If a
    # reset counted as the shutdown of the worker, its tasks would run twice.
    ("reset", interfaces.CallFailed, True),
    ("silent", interfaces.CallFailed, False),
])
def test_refused_and_unanswered_commits_raise_different_errors(
        server, store, fault, error, stored):
    server.fault = fault
    with pytest.raises(interfaces.CallFailed) as caught:
        put(store, "k")
    assert caught.type is error
    assert ("k" in server.memory.items) == stored


def test_closed_port_raises_connection_refused():
    client = jsonclient.JsonClient("127.0.0.1:9", 1)
    with pytest.raises(interfaces.ConnectionRefused):
        client.call("GET", "/", 0.3)


ENTRY = {"service": "s", "addr": "10.0.0.1:80", "zone": "z", "version": "v1",
         "slots": 8, "state": "ready", "capacity": {"cpu": 1, "mem_mb": 2},
         "labels": ["a", "r1-3"], "clock_ms": 5, "seq": 4}


@pytest.mark.parametrize(("advice", "policy"), [
    (None, None), ({}, None),
    ({"decide_ms": 5, "period_ms": 2, "valid_ms": 3000},
     messages.AdvicePolicy(5.0, 2.0, 3000.0)),
    (True, messages.AdvicePolicy()), ([1], messages.AdvicePolicy()),
    ({"decide_ms": "x"}, messages.AdvicePolicy())])
def test_unreadable_advice_policy_does_not_reject_configuration(
        advice, policy):
    """Guards against losing all queues if one advice policy is invalid."""
    routes = [{**CONFIG["routes"][0], "advice": advice}, CONFIG["routes"][1]]
    decoded = configuration.decode(
        json.dumps({**CONFIG, "routes": routes}).encode())
    assert decoded.find_queue("a").advice == policy
    assert len(decoded.queues) == 2


@pytest.mark.parametrize("value", [
    b"\xff\xfe", b"[]", b"7", b"null", b"{}",
    json.dumps({**ENTRY, "state": "resting"}).encode(),
    json.dumps({**ENTRY, "addr": 7}).encode(),
    json.dumps({**ENTRY, "addr": "nowhere"}).encode(),
    json.dumps({**ENTRY, "service": None}).encode(),
    json.dumps({**ENTRY, "capacity": []}).encode(),
    json.dumps({**ENTRY, "capacity": {"cpu": "many"}}).encode(),
    json.dumps({**ENTRY, "labels": [1]}).encode(),
    json.dumps({**ENTRY, "remaining_ms": "soon"}).encode(),
])
def test_invalid_worker_entries_are_skipped(store, value):
    put(store, "servers/i-1", value)
    put(store, "servers/i-2", json.dumps(ENTRY).encode())
    worker_list = workers_mod.PlatformWorkerList(store)
    assert [w.worker_id for w in worker_list.workers()] == ["i-2"]


def test_worker_entry_is_decoded(store):
    put(store, "servers/i-2", json.dumps(
        {**ENTRY, "state": "draining", "remaining_ms": 900,
         "born": 1787187189000}).encode())
    (worker,) = workers_mod.PlatformWorkerList(store).workers()
    assert worker.draining
    assert worker.born_ms == 1787187189000
    assert worker.remaining_ms == 900
    assert worker.capacity == messages.Resources(1, 2, 0)
    assert worker.rack() == "r1-3"


def worker_server(status, body):
    return platformfakes.FaultyServer(lambda *_: (status, body))


def platform_worker(server):
    return workers_mod.PlatformWorker(fleetfakes.entry(
        1, address=server.address))


TASK = messages.TaskId(JOB_ID, 0, 1, 17)
# How long a server may take to close a connection.
CLOSE_LIMIT_S = 10.0


def test_ends_are_acknowledged_only_over_the_connection_of_a_report():
    """Guards against a restarted worker forgetting ends that nobody read."""
    acknowledged = []

    def answer(method, path, query, body):
        acknowledged.append(body.get("seen_upto"))
        return 200, {"clock_ms": 1, "born": 1787187189000}
    server = platformfakes.FaultyServer(answer)
    worker = platform_worker(server)

    async def call():
        report = await worker.renew(7, 57, None, 0)
        assert report.born_ms == 1787187189000
        await worker.start(messages.StartOrder(TASK, 1, "s"), 7, 1.0)
        await worker.renew(7, 57, None, 0)
        worker.reports.close()
        await worker.renew(7, 58, None, 0)
        await worker.renew(7, 58, None, 0)

    asyncio.run(call())
    assert acknowledged == [0, None, 57, 0, 58]
    server.close()


def test_report_is_decoded():
    server = worker_server(200, {
        "clock_ms": 482113, "running": [[f"{JOB_ID}.0.1.17", 2, "s", 41,
                                         17.0]],
        "ended": [[58, f"{JOB_ID}.0.1.9", 1, "done", ""]]})
    report = asyncio.run(
        platform_worker(server).renew(7, 57, 486000.7, 1000))
    assert report.running == (messages.RunningTask(TASK, 2, "s", 41, 17.0),)
    assert report.ended[0].number == 58
    assert report.ended[0].how == messages.DONE
    assert server.headers[0]["Sycamorefield-Expect-Instance"] == "i-1"
    server.close()


@pytest.mark.parametrize("body", [
    {}, {"clock_ms": None}, {"clock_ms": "soon"},
    {"clock_ms": 1, "running": [["not a task", 1, "", 0]]},
    {"clock_ms": 1, "running": [[]]},
    {"clock_ms": 1, "ended": [[1, f"{JOB_ID}.0.1.x", 1, "done", ""]]},
    {"clock_ms": 1, "ended": 7},
], ids=["empty", "null", "text", "name", "short-row", "index", "no-rows"])
def test_unreadable_response_raises_call_failed(body):
    """Guards against an invalid response ending a worker's order thread.

    The response lacks clock_ms or has a malformed row.  Any error other than
    CallFailed ends the thread, and the worker's starts are never sent.
    """
    server = worker_server(200, body)
    worker = platform_worker(server)
    with pytest.raises(interfaces.CallFailed, match="unreadable"):
        asyncio.run(worker.renew(7, 57, 486000.7, 0))
    if "clock_ms" not in body:
        for call in (lambda: worker.start(messages.StartOrder(
                TASK, 1, "s"), 7, 1.0),
                lambda: worker.stop(messages.StopOrder(TASK, 1), 7),
                lambda: worker.pace(messages.PaceOrder(TASK, 1, 50), 7)):
            with pytest.raises(interfaces.CallFailed, match="unreadable"):
                asyncio.run(call())
    server.close()


@pytest.mark.parametrize(("status", "body", "error", "reason"), [
    (409, {"reason": "fence"}, interfaces.OrderRejected, "fence"),
    (409, {"reason": "room"}, interfaces.OrderRejected, "room"),
    (429, {}, interfaces.OrderRejected, interfaces.UNHEALTHY),
    (503, {}, interfaces.OrderRejected, interfaces.UNHEALTHY),
    (400, {}, interfaces.OrderRejected, interfaces.MALFORMED),
    (421, {}, interfaces.IncarnationMismatch, ""),
    (500, {}, interfaces.CallFailed, ""),
])
def test_rejected_orders_raise_distinct_errors(status, body, error, reason):
    server = worker_server(status, body)
    with pytest.raises(error) as caught:
        asyncio.run(platform_worker(server).start(
            messages.StartOrder(TASK, 1, "spec"), 7, 100.0))
    assert getattr(caught.value, "reason", "") == reason
    server.close()


def test_queue_with_longest_prefix_matches_first():
    config = configuration.decode(json.dumps(CONFIG).encode())
    assert config.match("h", "/x/y/1").name == "b"
    assert config.match("h", "/x/1").name == "a"
    assert config.match("other", "/x/1") is None
    assert config.max_body_bytes == 2000


@pytest.mark.parametrize("value", [b"", b"[]", b"{}", b"\xff",
                                   b'{"version": "x"}'])
def test_unreadable_configuration_raises_value_error(value):
    with pytest.raises(ValueError):
        configuration.decode(value)


@pytest.mark.parametrize("body", [
    "", "[]", "{}", '{"steps": []}', '{"steps": [{}]}',
    '{"steps": [{"count": 0}]}', '{"steps": [{"count": 1, "cpu": -1}]}',
    '{"steps": [{"count": 1, "after": [0]}]}',
    '{"steps": [{"count": 1}, {"count": 1, "after": [2]}]}',
    json.dumps({"spec": "x" * 4001, "steps": [{"count": 1}]}),
])
def test_invalid_jobs_are_rejected(body):
    queue = messages.Queue("a", "h", "/x/", "s")
    with pytest.raises(pydantic.ValidationError):
        jobbody.decode(JOB_ID, queue, 0.0, body.encode())


class FrontClient:
    """Calls the WSGI application as a caller does, without a socket."""

    def __init__(self, store) -> None:
        self.config = configuration.decode(json.dumps(CONFIG).encode())
        self.stopping = False
        self.store_unresponsive = False
        self.front = front_mod.FrontApp(
            jobrequests_mod.JobRequestHandler(
                store, lambda: self.store_unresponsive, lambda: None),
            lambda: self.config, lambda: True,
            lambda: self.stopping, lambda: "metric 1\n")

    def call(self, method, path, body=b"", host="h", deadline="800"):
        response = {}

        def start_response(status, headers):
            response["status"] = int(status.split()[0])
            response["headers"] = dict(headers)

        data = self.front({
            "REQUEST_METHOD": method, "PATH_INFO": path, "HTTP_HOST": host,
            "HTTP_SYCAMOREFIELD_DEADLINE": deadline,
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body)}, start_response)
        response["body"] = json.loads(b"".join(data))
        return response


JOB = json.dumps({"spec": "s", "steps": [{"count": 2, "cpu": 5}]}).encode()


@pytest.mark.parametrize(("method", "path", "body", "host", "status"), [
    ("POST", f"/x/{JOB_ID}", JOB, "h", 200),
    ("POST", f"/x/{JOB_ID}", JOB, "h:8161", 200),
    ("POST", f"/x/{JOB_ID}", JOB, "other", 404),
    ("POST", f"/z/{JOB_ID}", JOB, "h", 404),
    ("POST", "/x/short", JOB, "h", 400),
    ("POST", f"/x/{JOB_ID}", b"{", "h", 400),
    ("POST", f"/x/{JOB_ID}", b" " * 2001, "h", 413),
    ("POST", "/x/", JOB, "h", 405),
    ("PATCH", f"/x/{JOB_ID}", JOB, "h", 405),
    ("GET", f"/x/{JOB_ID}", b"", "h", 410),
    ("DELETE", f"/x/{JOB_ID}", b"", "h", 410),
    ("GET", "/x/", b"", "h", 200),
    ("GET", "/-/ready", b"", "h", 200),
])
def test_front_returns_expected_status(store, method, path, body, host,
                                       status):
    assert FrontClient(store).call(
        method, path, body, host)["status"] == status


@pytest.mark.parametrize("job_status", [
    {"state": "failed", "reason": "task 0.0.0 failed 2 times"},
    {"state": "failed"}, {"state": "completed"}])
def test_status_of_failed_job_includes_reason(store, job_status):
    """Guards against hiding the reason of a failure from the caller."""
    put(store, records.final_key(JOB_ID), json.dumps(job_status).encode())
    assert FrontClient(store).call("GET", f"/x/{JOB_ID}")["body"] == job_status


def test_submit_and_cancel_are_idempotent(server, store):
    client = FrontClient(store)
    for _ in range(2):
        assert client.call("POST", f"/x/{JOB_ID}", JOB)["status"] == 200
    assert client.call("GET", f"/x/{JOB_ID}")["body"] == {"state": "pending"}
    assert client.call("DELETE", f"/x/{JOB_ID}")["status"] == 200
    assert client.call("DELETE", f"/x/{JOB_ID}")["status"] == 200
    assert sorted(server.memory.items) == [
        records.job_key(JOB_ID), records.cancel_key(JOB_ID)]


@pytest.mark.parametrize(("fault", "status"), [
    ("busy", 503), ("many", 503), ("silent", 504)])
def test_submit_is_refused_only_if_job_was_not_stored(server, store, fault,
                                                      status):
    """Guards against running a job whose caller was told it was refused.

    A store that refuses the write has not stored the job (503); one that does
    not answer may still store it (504).  They need different statuses.
    """
    server.fault = fault
    response = FrontClient(store).call("POST", f"/x/{JOB_ID}", JOB)
    assert response["status"] == status
    assert ("Retry-After" in response["headers"]) == (status == 503)


def test_no_writes_to_store_after_unanswered_call(server, store):
    """Guards against unknown outcomes during an outage of the store.

    Writing to a store that has not answered the last call may still succeed.
    While the store reset connections for 5 s, such writes left 169 requests
    with an unknown outcome, and their callers could not submit them again.
    """
    client = FrontClient(store)
    server.fault = "silent"
    assert client.call("POST", f"/x/{JOB_ID}", JOB)["status"] == 504
    other_response = client.call("POST", f"/x/{JOB_ID[::-1]}", JOB)
    assert other_response["status"] == 503
    assert other_response["headers"]["Retry-After"] == "1"
    assert client.call("POST", f"/x/{JOB_ID}", JOB)["status"] == 504
    server.fault = ""
    for job_id in (JOB_ID, JOB_ID[::-1]):
        assert client.call("POST", f"/x/{job_id}", JOB)["status"] == 200


@pytest.mark.parametrize(("method", "path", "body"), [
    ("POST", f"/x/{JOB_ID}", JOB), ("GET", f"/x/{JOB_ID}", b""),
    ("DELETE", f"/x/{JOB_ID}", b""), ("GET", "/x/", b"")],
    ids=["submit", "state", "cancel", "waiting"])
def test_requests_fail_fast_while_store_is_unresponsive(
        server, store, method, path, body):
    """Guards against callers waiting for a timeout in a known outage."""
    client = FrontClient(store)
    client.store_unresponsive = True
    calls_before = len(server.calls)
    response = client.call(method, path, body)
    assert response["status"] == 503
    assert "Retry-After" in response["headers"]
    assert len(server.calls) == calls_before
    assert response["body"] == {"error": front_mod.STORE_UNAVAILABLE}


def test_callers_do_not_see_errors_of_the_store(server, store):
    """Guards against addresses and library errors in replies to callers."""
    server.fault = "lost"
    response = FrontClient(store).call("POST", f"/x/{JOB_ID}", JOB)
    assert response["body"] == {"error": front_mod.OUTCOME_UNKNOWN}


def test_resubmission_succeeds_after_lost_commit_response(server, store):
    server.fault = "lost"
    client = FrontClient(store)
    assert client.call("POST", f"/x/{JOB_ID}", JOB)["status"] == 504
    server.fault = ""
    assert client.call("POST", f"/x/{JOB_ID}", JOB)["status"] == 200


def test_submit_before_configuration_is_refused(store):
    client = FrontClient(store)
    client.config = messages.Configuration()
    response = client.call("POST", f"/x/{JOB_ID}", JOB)
    assert response["status"] == 503
    assert response["headers"]["Retry-After"] == "1"


def test_responses_close_connections_while_stopping(store):
    client = FrontClient(store)
    client.stopping = True
    response = client.call("GET", "/x/")
    assert response["headers"]["Connection"] == "close"


@pytest.mark.parametrize(("variable", "front", "address"), [
    ("7735", "10.1.0.13:8161", "10.1.0.13:7735"),
    ("7735", "10.1.0.13:7735", "10.1.0.13:6015"),
    (None, "10.1.0.13:8161", "10.1.0.13:6015"),
    ("", "10.1.0.13:8161", "10.1.0.13:6015"),
    ("x", "10.1.0.13:8161", "10.1.0.13:6015"),
], ids=["deploy-file", "taken", "unset", "empty", "unreadable"])
def test_metrics_address_uses_deploy_port_if_free(
        monkeypatch, variable, front, address):
    """Guards against metrics that are never collected.

    They are fetched at the deploy file's port, but the process served them on
    the last port of port_range, which differs from day to day.
    """
    if variable is None:
        monkeypatch.delenv(bootsettings.METRICS_PORT_VARIABLE, raising=False)
    else:
        monkeypatch.setenv(bootsettings.METRICS_PORT_VARIABLE, variable)
    settings = bootsettings.BootSettings(
        node="n", ip="10.1.0.13", port_range=(6000, 6015),
        listen={"front": front, "ready": "10.1.0.13:8167"},
        platform={"addr": "10.200.1.7:8169"})
    assert settings.metrics_address() == address


def test_deploy_file_sets_metrics_port_variable():
    path = os.path.join(os.path.dirname(__file__), "..", "deploy",
                        "system.toml")
    with open(path, "rb") as file:
        role = tomllib.load(file)["roles"]["entry"]
    port, _, metrics_path = role["metrics"].partition("/")
    assert role["env"][bootsettings.METRICS_PORT_VARIABLE] == port
    assert metrics_path == "metrics"


def free_ports(count: int) -> list[int]:
    """Return free TCP ports of this machine."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def test_metrics_are_served_at_deploy_port(
        monkeypatch, server):
    front_port, ready_port, metrics_port, last_port = free_ports(4)
    monkeypatch.setenv(bootsettings.METRICS_PORT_VARIABLE, str(metrics_port))
    daemon = daemon_mod.Daemon(bootsettings.BootSettings(
        node="n", ip="127.0.0.1", port_range=(last_port, last_port),
        listen={"front": f"127.0.0.1:{front_port}",
                "ready": f"127.0.0.1:{ready_port}"},
        platform={"addr": server.address}))
    servers = daemon._start_servers()
    try:
        with urllib.request.urlopen(f"http://127.0.0.1:{metrics_port}/metrics",
                                    timeout=5) as response:
            text = response.read().decode()
            headers = response.headers
    finally:
        for listener in servers:
            listener.stop()
    assert headers["Content-Type"] == "text/plain"
    assert headers["Content-Length"] == str(len(text))
    assert "fleet_owner 0" in text.splitlines()


def test_connection_is_reused_until_server_closes_it(server, store):
    """Guards against a new connection for each call.

    An owner spent most of its CPU time on opening connections.  A connection
    that the server closed while idle must not be reused: a call on it would
    get no response although the server is healthy.
    """
    client_addresses = set()
    respond = server.respond

    def record_socket(call):
        client_addresses.add(call.client_address)
        respond(call)
        call.close_connection = len(server.calls) == 3
    server.respond = record_socket
    for number in range(3):
        put(store, f"k/{number}")
    time.sleep(0.05)
    put(store, "k/3")
    assert len(client_addresses) == 2


class SilencedServer:
    """Lets the present connections of a server go silent, without a reset."""

    def __init__(self, server, idle):
        self.respond = server.respond
        self.addresses = set()
        self.silent_addresses = set()
        self.ended = threading.Event()
        # Keeps the first calls on connections of their own.
        self.all_connected = threading.Barrier(idle)
        # By default, more than 5 connections at a time are dropped.
        server.server.socket.listen(2 * store_mod.MAX_IDLE_CONNECTIONS)
        server.respond = self.respond_or_wait

    def respond_or_wait(self, call):
        if call.client_address not in self.addresses:
            self.addresses.add(call.client_address)
            if not self.silent_addresses:
                self.all_connected.wait(10)
        if call.client_address not in self.silent_addresses:
            self.respond(call)
            return
        self.ended.wait(10)
        call.close_connection = True


def call_at_once(count, call):
    """Call from several threads at once; return how many calls failed."""
    failures = []
    all_started = threading.Barrier(count)

    def record_failure():
        all_started.wait(10)
        try:
            call()
        except interfaces.CallFailed as exc:
            failures.append(exc)
    threads = [threading.Thread(target=record_failure) for _ in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return len(failures)


@pytest.mark.parametrize("at_once", [1, 3])
@pytest.mark.parametrize(("idle", "goes_silent"), [
    (6, False), (1, True), (6, True), (store_mod.MAX_IDLE_CONNECTIONS, True)])
def test_no_call_fails_once_another_got_no_answer(
        server, idle, goes_silent, at_once):
    """Guards against calls that fail one by one over silent connections."""
    silenced = SilencedServer(server, idle)
    client = jsonclient.JsonClient(
        server.address, store_mod.MAX_IDLE_CONNECTIONS)

    def call(timeout_s):
        client.call("GET", "/-/kv-key?key=k", timeout_s)
    assert call_at_once(idle, lambda: call(10.0)) == 0
    assert len(client.pool.idle) == idle
    if goes_silent:
        silenced.silent_addresses = set(silenced.addresses)
    failures = call_at_once(at_once, lambda: call(0.5))
    later_failures = sum(
        call_at_once(at_once, lambda: call(0.5)) for _ in range(idle))
    silenced.ended.set()
    client.close()
    assert failures <= (at_once if goes_silent else 0)
    assert later_failures == 0


@pytest.mark.parametrize("data", [
    b'{"clock_ms": 5, "running": [["a.0.0", 1]]}',
    b'{"clock_ms": 5, "running": [["a.0.0.0", "x"]]}',
    b'{"clock_ms": 5, "ended": [[1, "a.0.0.0"]]}',
    b'{"running": []}', b"[]", b"", b"<html>"])
def test_invalid_report_raises_call_failed(data):
    with pytest.raises(interfaces.CallFailed):
        reportrows.decode_report(data)


def test_report_with_omitted_and_unknown_fields_is_decoded():
    report = reportrows.decode_report(
        b'{"clock_ms": 5, "running": [["a.0.1.2", 3], '
        b'["a.0.1.3", 1, null, 40, 3250]], "ended": '
        b'[[7, "a.0.0.0", 1, "done", null]], "more": 1}')
    assert report == messages.WorkerReport(
        5.0, (messages.RunningTask(messages.TaskId("a", 0, 1, 2), 3, "", 0),
              messages.RunningTask(messages.TaskId("a", 0, 1, 3), 1, "", 40,
                                   3250.0)),
        (messages.EndedTask(7, messages.TaskId("a", 0, 0, 0), 1, "done",
                            ""),))


def test_calls_leave_no_parsers_in_reference_cycles(server, store):
    """Guards against memory held by reference cycles.

    A parser for each response referred back to it.  Such cycles wait for the
    garbage collector, so the owner of hundreds of workers took 90 MB more,
    over the limit of a small VM.
    """
    gc.collect()
    gc.disable()
    try:
        for number in range(20):
            put(store, f"k/{number}")
        parsers = sum(isinstance(obj, httptools.HttpResponseParser)
                      for obj in gc.get_objects())
    finally:
        gc.enable()
    assert parsers <= store_mod.MAX_IDLE_CONNECTIONS


@pytest.mark.parametrize("size", [0, 1, connections.READ_BUFFER_BYTES,
                                  3 * connections.READ_BUFFER_BYTES + 1])
def test_response_longer_than_buffer_is_read(server, store, size):
    value = bytes(range(256)) * (size // 256) + b"x" * (size % 256)
    store.commit(messages.Transaction(puts=(messages.Put("k", value),)))
    assert store.get("k").value == value


@pytest.mark.parametrize(("fault", "error"), [
    ("busy", interfaces.OrderRejected), ("silent", interfaces.CallFailed),
    ("lost", interfaces.ConnectionClosed), ("reset", interfaces.CallFailed)])
def test_unanswered_orders_raise_different_errors(fault, error):
    server = worker_server(200, {"clock_ms": 1})
    server.fault = fault
    with pytest.raises(error) as caught:
        asyncio.run(platform_worker(server).stop(
            messages.StopOrder(TASK, 1), 7))
    assert caught.type is error
    server.close()


def test_order_to_a_closed_port_raises_connection_refused():
    worker = workers_mod.PlatformWorker(
        fleetfakes.entry(1, address="127.0.0.1:9"))
    with pytest.raises(interfaces.ConnectionRefused):
        asyncio.run(worker.stop(messages.StopOrder(TASK, 1), 7))


def test_answer_that_arrived_in_time_counts_however_busy_the_owner_is():
    """Guards against a busy owner that takes answers for missing ones."""
    server = worker_server(200, {"clock_ms": 5})

    async def call_beside_a_long_round():
        call = asyncio.create_task(
            platform_worker(server).stop(messages.StopOrder(TASK, 1), 7))
        await asyncio.sleep(0.05)
        time.sleep(2 * interfaces.ORDER_ANSWER_S)
        return await call

    server.fault = "slow"
    assert asyncio.run(call_beside_a_long_round()) == 5.0
    server.close()


async def wait_until_closed_by_server(connection):
    """Wait until the end of an idle connection has reached the client."""
    closed = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_reader(connection.descriptor, closed.set)
    try:
        async with asyncio.timeout(CLOSE_LIMIT_S):
            await closed.wait()
    finally:
        loop.remove_reader(connection.descriptor)


def test_connections_of_workers_are_reused_until_closed():
    """Guards against a call on a connection that the worker has closed."""
    server = worker_server(200, {"clock_ms": 5})
    client_addresses = set()
    respond = server.respond

    def record_socket(call):
        client_addresses.add(call.client_address)
        respond(call)
        call.close_connection = len(server.calls) == 3
    server.respond = record_socket
    worker = platform_worker(server)

    async def call():
        for _ in range(3):
            await worker.stop(messages.StopOrder(TASK, 1), 7)
        await wait_until_closed_by_server(worker.orders.connection)
        await worker.stop(messages.StopOrder(TASK, 1), 7)

    asyncio.run(call())
    assert len(client_addresses) == 2
    server.close()


def test_number_of_idle_order_connections_is_bounded():
    """Guards against an owner of many workers without file descriptors."""
    servers = [worker_server(200, {"clock_ms": 5}) for _ in range(5)]
    idle_clients = workers_mod.idle_order_clients(20)
    workers = [workers_mod.PlatformWorker(
        fleetfakes.entry(n, address=server.address), idle_clients)
        for n, server in enumerate(servers)]

    async def call():
        for worker in workers + workers[3:]:
            await worker.stop(messages.StopOrder(TASK, 1), 7)
        return [worker.orders.connection is not None for worker in workers]

    assert asyncio.run(call()) == [False, False, True, True, True]
    for worker in workers:
        worker.close()
    assert not idle_clients.clients
    for server in servers:
        server.close()
