"""Test the outcomes that callers are told: never a wrong "not run"."""

import dataclasses
import http.server
import json
import threading

import pytest
from returns import result

from sycamorefield import api
from sycamorefield import entry
from tests import deployment
from tests import standins


class FakeBackend(http.server.BaseHTTPRequestHandler):
    """Answer requests as the class attributes say, and record them."""

    status = 200
    statuses: list[int] = []
    raw_body: bytes | None = None
    answers_wrong_id = False
    records_keys = False
    fault_during_run = False
    served: list[str] = []

    @staticmethod
    def on_run():
        """Called while a request runs; a test may inject a fault here."""

    def do_POST(self):
        body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        type(self).served.append(body["idempotency_key"] if self.records_keys
                                 else body["request_id"])
        self.on_run()
        answer = {"request_id": "someone-else" if self.answers_wrong_id
                  else body["request_id"], "worker": "fake"}
        data = self.raw_body or json.dumps(answer).encode()
        self.send_response(self.statuses.pop(0) if self.statuses
                           else self.status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *args):
        pass


@pytest.fixture
def kv():
    stand_in = standins.Kv()
    yield stand_in
    stand_in.close()


def make_entry_process(kv, backend_port=None, name="entry-1", read_rules=True):
    """Return an entry process, not started, with one port for all backends."""
    opts = standins.sample_options(kv.port)
    ports = [backend_port or standins.free_port() for _ in opts.machines]
    machines = tuple(dataclasses.replace(m, http_port=p)
                     for m, p in zip(opts.machines, ports))
    entries = tuple(dataclasses.replace(e, grpc_port=standins.free_port())
                    for e in opts.entries)
    process = entry.EntryProcess(dataclasses.replace(
        opts, machines=machines, entries=entries), name)
    if read_rules:
        entry.seed_rules(opts, kv.client, threading.Event())
        assert process.rule_cache.poll()
    return process


def certificate_request(request_id, key="cert-1"):
    """Return a request to issue a certificate, which must not run twice."""
    return api.RequestModel(customer="surveyors", work="certificate-issue",
                            idempotency_key=key, request_id=request_id)


def serve_fake_backend(**behaviour):
    """Start a fake backend; return its server and its handler class."""
    handler = type("Handler", (FakeBackend,), dict(behaviour, served=[]))
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server, handler


def test_retry_after_not_run_gets_a_final_answer(kv):
    """Check that a retry of a request that was not run is processed.

    If no backend accepts a connection, the caller is told that the request
    was not run.  The record made before dispatch must be deleted then.
    Otherwise it stays "started", and every retry with the same idempotency
    key is told "in progress" forever.
    """
    process = make_entry_process(kv)
    first = process.serve_request(certificate_request("a"))
    again = process.serve_request(certificate_request("b"))
    assert first.failure().code.name == "no-backend"
    assert again.failure().code.name == "no-backend"


CERTIFICATE_ISSUE = "certificate-issue"
HULL_CHECK = "hull-check"
OUTCOMES = [
    # case, backend behaviour, work, error code, number of requests sent
    ("server error after running", {"status": 500}, CERTIFICATE_ISSUE,
     "outcome-unknown", 1),
    ("answer for another request", {"answers_wrong_id": True},
     CERTIFICATE_ISSUE, "outcome-unknown", 1),
    ("answer cut off", {"raw_body": b'{"request_id": "c"'}, CERTIFICATE_ISSUE,
     "outcome-unknown", 1),
    ("refused", {"status": 400}, CERTIFICATE_ISSUE, "not-run", 1),
    ("idempotent: maybe ran, then refused", {"statuses": [500, 400]},
     HULL_CHECK, "outcome-unknown", 2),
    ("idempotent: maybe ran three times", {"status": 500}, HULL_CHECK,
     "outcome-unknown", 3),
    ("idempotent: answered at last", {"statuses": [500, 500, 200]},
     HULL_CHECK, None, 3),
]


@pytest.mark.parametrize("case_name,behaviour,work,code,sent", OUTCOMES,
                         ids=[row[0] for row in OUTCOMES])
def test_not_run_is_said_only_when_not_run(kv, case_name, behaviour, work,
                                           code, sent):
    """Check for "outcome unknown" when a backend may have run the request.

    A caller who is told "not run" retries with a new key.  If the backend
    did run the request, two certificates are issued.  A backend that answers
    500, answers for another request or truncates its answer may have run the
    request.  A refusal by a second backend must not hide that the first one
    may have run it.
    """
    server, handler = serve_fake_backend(**behaviour)
    try:
        process = make_entry_process(kv, server.server_address[1])
        answer = process.serve_request(api.RequestModel(
            customer="surveyors", work=work, idempotency_key="cert-9",
            request_id="c"))
        assert handler.served == ["c"] * sent
        if code is None:
            assert answer.unwrap()[1]["request_id"] == "c"
        else:
            assert answer.failure().code.name == code
            assert answer.failure().retry_after is not None
    finally:
        server.shutdown()


def _retry_after_unknown_outcome(kv, port):
    process = make_entry_process(kv, port)
    process.serve_request(certificate_request("a"))
    return process.serve_request(certificate_request("b"))


def _retry_after_recording_process_died(kv, port):
    dead_process = make_entry_process(kv, port, "entry-2")
    dead_process.idempotency_store.record_start("cert-1", "a").unwrap()
    return make_entry_process(kv, port).serve_request(certificate_request("b"))


def _retry_while_recording_process_is_alive(kv, port):
    other = make_entry_process(kv, port, "entry-2")
    assert other.members.join()
    other.idempotency_store.record_start("cert-1", "a").unwrap()
    process = make_entry_process(kv, port)
    process.members.join()
    process.members.refresh()
    return process.serve_request(certificate_request("b"))


def _retry_after_store_outage_while_answering(kv, port):
    process = make_entry_process(kv, port)
    FakeBackend.on_run = staticmethod(lambda: kv.faults(down=True))
    assert process.serve_request(certificate_request("a")).unwrap()[0] == 200
    FakeBackend.on_run = staticmethod(lambda: None)
    kv.faults()
    assert deployment.wait_until(
        lambda: b"done" in kv.client.get("/idem/cert-1").unwrap().value, 5)
    return process.serve_request(certificate_request("b"))


RETRIES = [
    # the first try and its retry, backend status, error code of the retry
    (_retry_after_unknown_outcome, 500, "outcome-unknown"),
    (_retry_after_recording_process_died, 200, "outcome-unknown"),
    (_retry_while_recording_process_is_alive, 200, "in-progress"),
    (_retry_after_store_outage_while_answering, 200, None),
]


@pytest.mark.parametrize("send_and_retry,status,code", RETRIES,
                         ids=[row[0].__name__[1:] for row in RETRIES])
def test_retry_is_never_in_progress_for_ever(kv, send_and_retry, status, code):
    """Check that a retry is told "in progress" only while that is true.

    The record of a request must not stay "started" if the backend answers
    500, if the entry process that wrote the record dies or if the store is
    down when the answer is written.  Otherwise every retry is told "in
    progress" forever.
    """
    server, handler = serve_fake_backend(status=status)
    try:
        answer = send_and_retry(kv, server.server_address[1])
        error_code = None if isinstance(answer, result.Success) else (
            answer.failure().code.name)
        assert error_code == code
        assert len(handler.served) <= 1
    finally:
        server.shutdown()


@pytest.mark.parametrize(("status", "measured"), [(200, True), (500, False),
                                                  (400, False)])
def test_failed_calls_do_not_make_a_backend_look_fast(kv, status, measured):
    """Guards against traffic drawn to a backend that fails at once."""
    server, _ = serve_fake_backend(status=status)
    process = make_entry_process(kv, server.server_address[1])
    process.serve_request(api.RequestModel(
        customer="surveyors", work=HULL_CHECK, request_id="a"))
    backends = process.router.backends.values()
    assert any(backend.measured_at for backend in backends) is measured
    assert not any(backend.in_flight for backend in backends)
    server.shutdown()
