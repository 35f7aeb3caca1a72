"""Show what entry processes learn from each other when the store is gone."""

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


HOPS = [
    # what the cell knows of the job, the arriving copy's hops, the outcome
    (None, 0, "accepted"),
    (None, 1, "accepted"),
    (("queued", 1), 1, "exists"),
    (("moved", 0), 2, "accepted"),
    (("moved", 1), 1, "exists"),
    (("done", 1), 1, "exists"),
    (("placed", 0), 0, "exists"),
]


@pytest.mark.parametrize("known,hops,outcome", HOPS)
def test_job_may_come_back_but_is_taken_once(kv, known, hops, outcome):
    """Take a job that moves back, and no copy of one already taken.

    Symptom: an accepted job waits for ever in a cell that cannot hold it.

    Sequence: a job moves to a cell whose only other worker is lost for
    good; it would have to move on, also back to where it came from.

    Cause: a job moved once only, because a cell that had it before took
    its own pointer for the job and the hand-over for a repetition.
    """
    process = test_answers.entry_for(kv)
    process.members.join()
    process.cells.start_cell(membership.Claim(0, 1))
    assert deployment.wait_until(lambda: process.cells.get(0), 3)
    table = process.cells.get(0).table
    record = jobtable.new_record("j1", "owners",
                                 process.opts.work["class-renewal"], "low")
    if known:
        table.stage(dataclasses.replace(record, state=known[0],
                                        hops=known[1], moved_to=1))
    arriving = dataclasses.replace(record, hops=hops)
    reply = process.peers.server.Submit(
        pb.SubmitRequest(cell=0, job=arriving.to_message()), None)
    process.cells.stop_cell(0, False)
    assert reply.outcome == outcome


def test_quiet_workers_offer_no_room_to_moving_jobs(kv):
    """Offer peers only the room that noisy work may use."""
    process = test_answers.entry_for(kv)
    quiet = sorted(process.opts.quiet_machines)[0]
    number = next(n for n in range(process.opts.cells)
                  if quiet in [m.name for m in process.opts.machines_of(n)])
    process.members.join()
    process.cells.start_cell(membership.Claim(number, 1))
    cell = process.cells.owned[number]
    for name, link in cell.links.items():
        link.has_reported = name == quiet
    assert cell.free_capacity().cpus == 0.0
    process.cells.stop_cell(number, False)
