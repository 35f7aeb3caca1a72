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
    raw: bytes | None = None
    wrong_id = False
    count_keys = False
    fault_during_run = False
    served: list[str] = []

    @staticmethod
    def on_run():
        """Do nothing; a test may put a fault here."""

    def do_POST(self):
        body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        type(self).served.append(body["idempotency_key"] if self.count_keys
                                 else body["request_id"])
        self.on_run()
        answer = {"request_id": "someone-else" if self.wrong_id
                  else body["request_id"], "worker": "fake"}
        data = self.raw or json.dumps(answer).encode()
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


def entry_for(kv, backend_port=None, name="entry-1", read_rules=True):
    """Return an entry process (not started) whose backends are one port."""
    opts = standins.sample_options(kv.port)
    ports = [backend_port or standins.free_port() for _ in opts.machines]
    machines = tuple(dataclasses.replace(m, http_port=p)
                     for m, p in zip(opts.machines, ports))
    entries = tuple(dataclasses.replace(e, grpc_port=standins.free_port())
                    for e in opts.entries)
    process = entry.Entry(dataclasses.replace(
        opts, machines=machines, entries=entries), name)
    if read_rules:
        entry.seed_rules(opts, kv.client, threading.Event())
        assert process.book.poll()
    return process


def certificate(request_id, key="cert-1"):
    """Return a certificate-issue request."""
    return api.RequestModel(customer="surveyors", work="certificate-issue",
                            idempotency_key=key, request_id=request_id)


def serve_fake(**behaviour):
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
    process = entry_for(kv)
    first = process.serve_request(certificate("a"))
    again = process.serve_request(certificate("b"))
    assert first.failure().code.name == "no-backend"
    assert again.failure().code.name == "no-backend"


CERTIFICATE = "certificate-issue"
HULL_CHECK = "hull-check"
OUTCOMES = [
    # what the backend does, the work, the code told, how often it was sent
    ("server error after running", {"status": 500}, CERTIFICATE,
     "outcome-unknown", 1),
    ("answer for another request", {"wrong_id": True}, CERTIFICATE,
     "outcome-unknown", 1),
    ("answer cut off", {"raw": b'{"request_id": "c"'}, CERTIFICATE,
     "outcome-unknown", 1),
    ("refused", {"status": 400}, CERTIFICATE, "not-run", 1),
    ("idempotent: maybe ran, then refused", {"statuses": [500, 400]},
     HULL_CHECK, "outcome-unknown", 2),
    ("idempotent: maybe ran three times", {"status": 500}, HULL_CHECK,
     "outcome-unknown", 3),
    ("idempotent: answered at last", {"statuses": [500, 500, 200]},
     HULL_CHECK, None, 3),
]


@pytest.mark.parametrize("label,behaviour,work,code,sent", OUTCOMES,
                         ids=[row[0] for row in OUTCOMES])
def test_not_run_is_said_only_when_not_run(kv, label, behaviour, work, code,
                                           sent):
    """Say "outcome unknown" when the backend may have run the request.

    Symptom: a caller is told a certificate issue was not run, retries with
    a new key, and two certificates are issued.

    Sequence: the backend takes the request and answers 500, or answers
    with another request's id; the entry process reports the outcome.

    Cause: every answer but 200-with-our-id was reported as "not run",
    although the backend had the request in hand; later, a refusal by a
    second backend hid that the first may have run it.
    """
    server, handler = serve_fake(**behaviour)
    try:
        process = entry_for(kv, server.server_address[1])
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


def _retry_after_unknown(kv, port):
    process = entry_for(kv, port)
    process.serve_request(certificate("a"))
    return process.serve_request(certificate("b"))


def _retry_after_recorder_died(kv, port):
    died = entry_for(kv, port, "entry-2")
    died.ledger.begin("cert-1", "a").unwrap()
    return entry_for(kv, port).serve_request(certificate("b"))


def _retry_while_recorder_lives(kv, port):
    other = entry_for(kv, port, "entry-2")
    assert other.members.join()
    other.ledger.begin("cert-1", "a").unwrap()
    process = entry_for(kv, port)
    process.members.join()
    process.members.refresh()
    return process.serve_request(certificate("b"))


def _retry_after_outage_ate_the_answer(kv, port):
    process = entry_for(kv, port)
    FakeBackend.on_run = staticmethod(lambda: kv.faults(down=True))
    assert process.serve_request(certificate("a")).unwrap()[0] == 200
    FakeBackend.on_run = staticmethod(lambda: None)
    kv.faults()
    assert deployment.wait_until(
        lambda: b"done" in kv.client.get("/idem/cert-1").unwrap().value, 5)
    return process.serve_request(certificate("b"))


RETRIES = [
    # what happened to the first try, backend status, code of the retry
    (_retry_after_unknown, 500, "outcome-unknown"),
    (_retry_after_recorder_died, 200, "outcome-unknown"),
    (_retry_while_recorder_lives, 200, "in-progress"),
    (_retry_after_outage_ate_the_answer, 200, None),
]


@pytest.mark.parametrize("first_try,status,code", RETRIES,
                         ids=[row[0].__name__[1:] for row in RETRIES])
def test_retry_is_never_in_progress_for_ever(kv, first_try, status, code):
    """Answer a retry once nobody works on the request any more.

    Symptom: a caller who retries a certificate issue is told "in
    progress, come back in 1 s" on every retry, for ever.

    Sequence: the backend answers 500, or the entry process that recorded
    the request dies, or the store is down while the answer is written.

    Cause: the record stayed "started" whatever became of the request.
    """
    server, handler = serve_fake(status=status)
    try:
        answer = first_try(kv, server.server_address[1])
        got = None if isinstance(answer, result.Success) else (
            answer.failure().code.name)
        assert got == code
        assert len(handler.served) <= 1
    finally:
        server.shutdown()
