"""Tell callers the truth: not run only when not run, and a final answer."""

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
    """Answer every request as the class's attributes say; count them."""

    status = 200
    statuses: list[int] = []
    raw_body: bytes | None = None
    answers_wrong_id = False
    records_keys = False
    fault_during_run = False
    served: list[str] = []

    @staticmethod
    def on_run():
        """Do nothing; a test may put a fault here."""

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
    """Return an entry process (not started) whose backends are one port."""
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
    """Return a certificate-issue request."""
    return api.RequestModel(customer="surveyors", work="certificate-issue",
                            idempotency_key=key, request_id=request_id)


def serve_fake_backend(**behaviour):
    """Serve a fake backend with the given behaviour; return it."""
    handler = type("Handler", (FakeBackend,), dict(behaviour, served=[]))
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server, handler


def test_retry_after_not_run_gets_a_final_answer(kv):
    """Answer a retry of a request that was not run; never "in progress".

    Symptom: a caller told "not run, come back in 1 s" comes back with the
    same idempotency key and is told "in progress" for ever.

    Sequence: a certificate issue is recorded as started; no backend takes
    a connection; the caller is told no backend ran it; it retries.

    Cause: the record made before dispatch stayed "started" although
    nothing was dispatched, so every retry found it and waited on it.
    """
    process = make_entry_process(kv)
    first = process.serve_request(certificate_request("a"))
    again = process.serve_request(certificate_request("b"))
    assert first.failure().code.name == "no-backend"
    assert again.failure().code.name == "no-backend"


CERTIFICATE_ISSUE = "certificate-issue"
HULL_CHECK = "hull-check"
OUTCOMES = [
    # what the backend does, the work, the code told, how often it was sent
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
    """Say "outcome unknown" when the backend may have run the request.

    Symptom: a caller is told a certificate issue was not run, retries with
    a new key, and two certificates are issued.

    Sequence: the backend takes the request and answers 500, or answers
    with another request's id; the entry process reports the outcome.

    Cause: every answer but 200-with-our-id was reported as "not run",
    although the backend had the request in hand; later, a refusal by a
    second backend hid that the first may have run it.
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
    # what happened to the first try, backend status, code of the retry
    (_retry_after_unknown_outcome, 500, "outcome-unknown"),
    (_retry_after_recording_process_died, 200, "outcome-unknown"),
    (_retry_while_recording_process_is_alive, 200, "in-progress"),
    (_retry_after_store_outage_while_answering, 200, None),
]


@pytest.mark.parametrize("send_and_retry,status,code", RETRIES,
                         ids=[row[0].__name__[1:] for row in RETRIES])
def test_retry_is_never_in_progress_for_ever(kv, send_and_retry, status, code):
    """Answer a retry once nobody works on the request any more.

    Symptom: a caller who retries a certificate issue is told "in
    progress, come back in 1 s" on every retry, for ever.

    Sequence: the backend answers 500, or the entry process that recorded
    the request dies, or the store is down while the answer is written.

    Cause: the record stayed "started" whatever became of the request.
    """
    server, handler = serve_fake_backend(status=status)
    try:
        answer = send_and_retry(kv, server.server_address[1])
        got = None if isinstance(answer, result.Success) else (
            answer.failure().code.name)
        assert got == code
        assert len(handler.served) <= 1
    finally:
        server.shutdown()
