"""End-to-end tests with separate processes on the loopback interface."""

import json
import signal
import threading
import time

import pytest
import urllib3

from tests import deployment


def test_test_runs_that_overlap_use_different_ports():
    """Guards against a test run that reaches the processes of another one."""
    with deployment.reserve_ports() as first:
        with deployment.reserve_ports() as second:
            assert abs(first - second) >= deployment.PORTS


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with deployment.reserve_ports() as base_port:
        deploy = deployment.start(str(tmp_path_factory.mktemp("e2e")),
                                  base_port)
        try:
            deploy.up()
            yield deploy
        finally:
            deploy.down()


def test_every_entry_process_serves_requests(cluster):
    for index in range(len(cluster.opts.entries)):
        status, body = cluster.call(
            "POST", cluster.url(index) + "/v1/requests",
            {"customer": "surveyors", "work": "hull-check",
             "request_id": f"r{index}", "payload": {"plate": index}})
        assert status == 200, body
        assert body["request_id"] == f"r{index}"
        assert body["payload"] == {"plate": index}


def test_batch_job_accepted_by_one_entry_process_finishes(cluster):
    status, body = cluster.call("POST", cluster.url(0) + "/v1/jobs", {
        "customer": "owners", "work": "class-renewal", "job_id": "e2e-job"})
    assert status == 202, body

    def done():
        _, job = cluster.call("GET", cluster.url(1) + "/v1/jobs/e2e-job")
        return job.get("state") == "done"
    assert deployment.wait_until(done, 15)


def test_delete_without_a_body_cancels_the_job(cluster):
    """Cancel a job with a plain DELETE, as most clients send it.

    DELETE may carry a body (when a rule is retired).  If the server requires
    a length of every DELETE, each cancellation without a body is answered
    with 411 Length Required.
    """
    job = {"customer": "owners", "work": "fleet-watch", "job_id": "watch"}
    assert cluster.call("POST", cluster.url(0) + "/v1/jobs", job)[0] == 202
    url = cluster.url(1) + "/v1/jobs/watch"
    assert cluster.call("DELETE", url)[0] == 200
    assert deployment.wait_until(
        lambda: cluster.call("GET", url)[1].get("state") == "cancelled", 5)


def test_rule_change_takes_effect_on_every_entry_process(cluster):
    status, body = cluster.call("POST", cluster.url(2) + "/admin/rules", {
        "rule": {"name": "no-owners-certificates",
                 "when": {"customer": "owners", "work": "certificate-issue"},
                 "then": {"action": "reject", "retry_after_seconds": 60}},
        "position": 0})
    assert status == 200, body
    revision = body["revision"]

    def in_force_everywhere():
        return all(cluster.call("GET", cluster.url(i) + "/healthz")[1]
                   ["rules_revision"] >= revision
                   for i in range(len(cluster.opts.entries)))
    assert deployment.wait_until(in_force_everywhere, 6)
    status, body = cluster.call("POST", cluster.url(0) + "/v1/requests", {
        "customer": "owners", "work": "certificate-issue",
        "idempotency_key": "k-rejected"})
    assert status == 403
    assert body["retry_after_seconds"] == 60


def test_repeated_idempotency_key_returns_the_first_answer(cluster):
    request = {"customer": "surveyors", "work": "certificate-issue",
               "idempotency_key": "cert-77", "request_id": "first"}
    first = cluster.call("POST", cluster.url(0) + "/v1/requests", request)
    again = cluster.call("POST", cluster.url(1) + "/v1/requests",
                         dict(request, request_id="second"))
    assert first[0] == 200 and again[0] == 200
    assert again[1] == first[1]


BAD_REQUESTS = [
    ("malformed json", "/v1/requests", "POST", b"{not json", 400,
     "bad-json"),
    ("unknown field", "/v1/requests", "POST",
     b'{"customer": "a", "work": "hull-check", "colour": 1}', 400,
     "bad-fields"),
    ("oversize body", "/v1/requests", "POST",
     b'{"customer": "a", "work": "hull-check", "payload": "'
     + b"x" * 70000 + b'"}', 413, "too-large"),
    ("unknown work", "/v1/requests", "POST",
     b'{"customer": "a", "work": "teleport"}', 404, "unknown-work"),
    ("rule names unknown work", "/admin/rules", "POST",
     b'{"rule": {"name": "x", "when": {"work": "teleport"}}}', 400,
     "bad-fields"),
    ("retire unknown rule", "/admin/rules/none-such", "DELETE", b"{}", 404,
     "unknown-rule"),
    ("stale revision", "/admin/rules", "POST",
     b'{"rule": {"name": "y"}, "expected_revision": 1}', 409,
     "stale-revision"),
    ("missing idempotency key", "/v1/requests", "POST",
     b'{"customer": "a", "work": "certificate-issue"}', 400, "bad-fields"),
]


@pytest.mark.parametrize("label,path,method,raw,status,code", BAD_REQUESTS,
                         ids=[row[0] for row in BAD_REQUESTS])
def test_bad_input_is_rejected_and_the_process_keeps_serving(
        cluster, label, path, method, raw, status, code):
    actual_status, body = cluster.call(method, cluster.url(0) + path, raw=raw)
    assert (actual_status, body["error"]) == (status, code), body
    ok, _ = cluster.call("POST", cluster.url(0) + "/v1/requests", {
        "customer": "surveyors", "work": "hull-check"})
    assert ok == 200


def test_leaving_backend_gets_no_requests_after_3_seconds(cluster):
    """Send no requests to a backend more than 3 s after it is leaving.

    The VM list marks a backend as leaving (visible only after its lag) while
    callers keep sending requests through every entry process.  Guards against
    routing by a stale list: entry processes poll the list every 0.5 s and
    stop routing to a leaving backend.
    """
    opts = cluster.opts
    machine = opts.machines[-1]
    vm_list = f"http://{opts.host}:{opts.vm_list_port}/v1/vms"
    backend = f"http://{opts.host}:{machine.http_port}"
    assert cluster.call("POST", f"{vm_list}/{machine.name}/leaving")[0] == 200
    assert cluster.call("POST", backend + "/leaving")[0] == 200
    deadline = time.monotonic() + 4.5
    sent = 0
    while time.monotonic() < deadline:
        status, _ = cluster.call(
            "POST", cluster.url(sent % 3) + "/v1/requests",
            {"customer": "surveyors", "work": "hull-check"})
        assert status == 200
        sent += 1
    stats = cluster.call("GET", backend + "/stats")[1]
    assert stats["served_after_leaving"] == 0, stats
    assert sent > 50


def _send(url, outcomes, index):
    http = urllib3.PoolManager()
    try:
        reply = http.request("POST", url + "/v1/requests", body=json.dumps(
            {"customer": "owners", "work": "hull-check",
             "request_id": f"stop-{index}"}),
            headers={"Content-Type": "application/json"}, timeout=10,
            retries=False)
        body = json.loads(reply.data)
        outcomes.append(reply.status if reply.status == 200
                        else f"{reply.status} {body.get('error')}")
    except urllib3.exceptions.NewConnectionError:
        outcomes.append("not-accepted")
    except urllib3.exceptions.HTTPError as exc:
        outcomes.append(f"{type(exc).__name__}: {exc}")


def test_stopping_entry_process_answers_all_accepted_requests(cluster):
    """Answer every accepted request when an entry process is stopped.

    entry-3 gets SIGTERM while requests are in flight.  Guards against an exit
    before they are answered, by which callers would lose answers whenever an
    entry VM is taken down as planned: the process rejects new requests, waits
    for those in flight, releases its lease and exits.
    """
    url = cluster.url(2)
    outcomes: list = []
    senders = [threading.Thread(target=_send, args=(url, outcomes, n))
               for n in range(40)]
    for number, sender in enumerate(senders):
        sender.start()
        if number == 20:
            cluster.signal("entry-3", signal.SIGTERM)
    for sender in senders:
        sender.join()
    assert cluster.procs["entry-3"].wait(timeout=10) == 0
    unexpected = [o for o in outcomes
                  if o not in (200, "503 stopping", "not-accepted")]
    assert unexpected == [], outcomes
    assert 200 in outcomes
