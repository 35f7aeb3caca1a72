"""Show what entry processes learn from each other when the store is gone."""

import threading

import pytest

from sycamorefield import api
from sycamorefield import peers
from sycamorefield import rules
from tests import deployment
from tests import standins
from tests import test_answers


@pytest.fixture
def kv():
    stand_in = standins.Kv()
    yield stand_in
    stand_in.close()


def _join(process):
    """Start an entry process's membership and peers, without its HTTP."""
    process.peer_listener = peers.serve(
        process.peer_server, process.opts.host, process.spec.grpc_port)
    for target in (process.members.run, process.peers.run):
        threading.Thread(target=target, daemon=True).start()


def test_accepted_rule_reaches_peers_though_the_store_goes_down(kv):
    """Bring an accepted rule change to every peer during an outage.

    Symptom: an operator's accepted change is in force on one entry VM
    and not on the others, for as long as the store is down.

    Sequence: an operator adds a rule; the store accepts it and goes down
    before the other entry processes see it.

    Cause: the store was the only way a change travelled.
    """
    first, second = (test_answers.entry_for(kv, name=f"entry-{n}")
                     for n in (1, 2))
    for process in (first, second):
        _join(process)
    try:
        assert deployment.wait_until(
            lambda: all(p.links and all(link.heard_at for link
                                        in p.links.values())
                        for p in (first.peers, second.peers)), 8)
        added = first.add_rule(api.AddRuleModel(
            rule=rules.RuleModel(name="late"), position=0))
        kv.faults(down=True)
        revision = added.unwrap().revision
        assert second.book.current.revision < revision
        assert deployment.wait_until(
            lambda: second.book.current.revision == revision, 2)
        assert second.book.current.names()[0] == "late"
    finally:
        for process in (first, second):
            process.peers.stop()
            process.members.stopped.set()
            process.peer_listener.stop(0)


def test_no_request_is_decided_before_the_rules_are_read(kv):
    """Refuse work until the rules are known.

    Symptom: a branch that its rules reject is served.

    Sequence: an entry VM is replaced while the store is down; the new
    process takes requests before it has read any rules.

    Cause: no rules and rules not read yet looked alike, and without a
    matching rule work is admitted.
    """
    process = test_answers.entry_for(kv, read_rules=False)
    answer = process.serve_request(api.RequestModel(
        customer="owners", work="hull-check"))
    assert answer.failure().code.name == "store-unavailable"
    assert answer.failure().retry_after is not None
    job = process.submit_job(api.JobModel(customer="owners",
                                          work="class-renewal"))
    assert job.failure().code.name == "store-unavailable"
    assert not process.ready()
