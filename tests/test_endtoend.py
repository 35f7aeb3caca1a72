"""Serve requests end to end through separate processes on loopback."""

import pytest

from tests import deployment

BASE_PORT = 21400


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    deploy = deployment.start(str(tmp_path_factory.mktemp("e2e")),
                              BASE_PORT)
    try:
        deploy.up()
        yield deploy
    finally:
        deploy.down()


def test_hull_check_answered_through_every_entry(cluster):
    for index in range(len(cluster.opts.entries)):
        status, body = cluster.call(
            "POST", cluster.url(index) + "/v1/requests",
            {"customer": "surveyors", "work": "hull-check",
             "request_id": f"r{index}", "payload": {"plate": index}})
        assert status == 200, body
        assert body["request_id"] == f"r{index}"
        assert body["payload"] == {"plate": index}


def test_batch_job_runs_to_done(cluster):
    status, body = cluster.call("POST", cluster.url(0) + "/v1/jobs", {
        "customer": "owners", "work": "class-renewal", "job_id": "e2e-job"})
    assert status == 202, body

    def done():
        _, job = cluster.call("GET", cluster.url(1) + "/v1/jobs/e2e-job")
        return job.get("state") == "done"
    assert deployment.wait_until(done, 15)


def test_rule_change_in_force_on_every_entry(cluster):
    status, body = cluster.call("POST", cluster.url(2) + "/admin/rules", {
        "rule": {"name": "no-owners-certificates",
                 "when": {"customer": "owners", "work": "certificate-issue"},
                 "then": {"action": "reject", "retry_after_seconds": 60}},
        "position": 0})
    assert status == 200, body
    revision = body["revision"]

    def everywhere():
        return all(cluster.call("GET", cluster.url(i) + "/healthz")[1]
                   ["rules_revision"] >= revision
                   for i in range(len(cluster.opts.entries)))
    assert deployment.wait_until(everywhere, 6)
    status, body = cluster.call("POST", cluster.url(0) + "/v1/requests", {
        "customer": "owners", "work": "certificate-issue",
        "idempotency_key": "k-rejected"})
    assert status == 403
    assert body["retry_after_seconds"] == 60


def test_non_idempotent_request_replayed_not_rerun(cluster):
    request = {"customer": "surveyors", "work": "certificate-issue",
               "idempotency_key": "cert-77", "request_id": "first"}
    first = cluster.call("POST", cluster.url(0) + "/v1/requests", request)
    again = cluster.call("POST", cluster.url(1) + "/v1/requests",
                         dict(request, request_id="second"))
    assert first[0] == 200 and again[0] == 200
    assert again[1] == first[1]


BAD_INPUT = [
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


@pytest.mark.parametrize("label,path,method,raw,status,code", BAD_INPUT,
                         ids=[row[0] for row in BAD_INPUT])
def test_bad_input_gets_clear_error_and_process_keeps_serving(
        cluster, label, path, method, raw, status, code):
    got, body = cluster.call(method, cluster.url(0) + path, raw=raw)
    assert (got, body["error"]) == (status, code), body
    ok, _ = cluster.call("POST", cluster.url(0) + "/v1/requests", {
        "customer": "surveyors", "work": "hull-check"})
    assert ok == 200
