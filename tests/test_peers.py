"""Test what entry processes send each other, also in a store outage."""

import dataclasses
import threading

import pytest

from sycamorefield import api
from sycamorefield import jobtable
from sycamorefield import membership
from sycamorefield import peers
from sycamorefield import rules
from sycamorefield import sycamorefield_pb2 as pb
from tests import deployment
from tests import standins
from tests import test_answers


@pytest.fixture
def kv():
    stand_in = standins.Kv()
    yield stand_in
    stand_in.close()


def _start_membership_and_peers(process):
    """Start membership and peer links of a process, without HTTP."""
    process.peer_listener = peers.serve(
        process.peer_server, process.opts.host, process.spec.grpc_port)
    for target in (process.members.run, process.peers.run):
        threading.Thread(target=target, daemon=True).start()


def test_accepted_rule_reaches_peers_though_the_store_goes_down(kv):
    """Check that peers get an accepted rule change during an outage.

    The store accepts a new rule and goes down before the other entry
    processes read it.  If changes came only from the store, the rule would
    apply on one entry VM alone until the end of the outage.
    """
    first, second = (test_answers.make_entry_process(kv, name=f"entry-{n}")
                     for n in (1, 2))
    for process in (first, second):
        _start_membership_and_peers(process)
    try:
        assert deployment.wait_until(
            lambda: all(p.links and all(link.last_status_at for link
                                        in p.links.values())
                        for p in (first.peers, second.peers)), 8)
        added = first.add_rule(api.AddRuleModel(
            rule=rules.RuleModel(name="late"), position=0))
        kv.faults(down=True)
        revision = added.unwrap().revision
        assert second.rule_cache.current.revision < revision
        assert deployment.wait_until(
            lambda: second.rule_cache.current.revision == revision, 2)
        assert second.rule_cache.current.names()[0] == "late"
    finally:
        for process in (first, second):
            process.peers.stop()
            process.members.stopped.set()
            process.peer_listener.stop(0)


def test_no_request_is_decided_before_the_rules_are_read(kv):
    """Check that work is refused until the rules have been read.

    An entry VM is replaced while the store is down.  If rules not read yet
    were treated like an empty rule list, the new process would admit
    customers that the rules reject, as work without a matching rule is
    admitted.
    """
    process = test_answers.make_entry_process(kv, read_rules=False)
    answer = process.serve_request(api.RequestModel(
        customer="owners", work="hull-check"))
    assert answer.failure().code.name == "store-unavailable"
    assert answer.failure().retry_after is not None
    job = process.submit_job(api.JobModel(customer="owners",
                                          work="class-renewal"))
    assert job.failure().code.name == "store-unavailable"
    assert not process.ready()


SUBMISSIONS = [
    # state and hops of the existing record, hops of the submitted copy,
    # outcome
    (None, 0, "accepted"),
    (None, 1, "accepted"),
    (("queued", 1), 1, "exists"),
    (("moved", 0), 2, "accepted"),
    (("moved", 1), 1, "exists"),
    (("done", 1), 1, "exists"),
    (("placed", 0), 0, "exists"),
]


@pytest.mark.parametrize("existing,hops,outcome", SUBMISSIONS)
def test_returning_job_is_accepted_once(kv, existing, hops, outcome):
    """Check that a cell accepts a returning job, but no repeated transfer.

    A job may have to move back to a cell that it left, for example when the
    last other worker of its new cell is lost for good.  A cell that takes
    its own forwarding record for the job treats that transfer as a
    repetition, and the job waits forever in a cell that cannot run it.
    """
    process = test_answers.make_entry_process(kv)
    process.members.join()
    process.cells.start_cell(membership.Claim(0, 1))
    assert deployment.wait_until(lambda: process.cells.get(0), 3)
    table = process.cells.get(0).table
    record = jobtable.new_record("j1", "owners",
                                 process.opts.work["class-renewal"], "low")
    if existing:
        table.stage(dataclasses.replace(record, state=existing[0],
                                        hops=existing[1], moved_to=1))
    arriving = dataclasses.replace(record, hops=hops)
    reply = process.peers.server.Submit(
        pb.SubmitRequest(cell=0, job=arriving.to_message()), None)
    process.cells.stop_cell(0, False)
    assert reply.outcome == outcome


def test_quiet_workers_offer_no_capacity_to_moving_jobs(kv):
    """Check that a cell reports only capacity that noisy work may use."""
    process = test_answers.make_entry_process(kv)
    quiet = sorted(process.opts.quiet_machines)[0]
    cell_number = next(
        n for n in range(process.opts.cells)
        if quiet in [m.name for m in process.opts.cell_machines(n)])
    process.members.join()
    process.cells.start_cell(membership.Claim(cell_number, 1))
    cell = process.cells.owned[cell_number]
    for name, link in cell.links.items():
        link.has_reported = name == quiet
    assert cell.free_capacity().cpus == 0.0
    process.cells.stop_cell(cell_number, False)
