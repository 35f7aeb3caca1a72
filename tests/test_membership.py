"""Hold worker ownership only while the membership lease holds."""

import threading

import pytest

from sycamorefield import membership
from tests import deployment
from tests import standins


@pytest.fixture
def kv():
    stand_in = standins.Kv()
    yield stand_in
    stand_in.close()


def _start_member(kv, name, opts):
    member = membership.Membership(kv.client, opts, name)
    threading.Thread(target=member.run, daemon=True).start()
    return member


def test_claims_are_dropped_when_lease_cannot_be_renewed(kv):
    """Drop claims when the store cannot renew the lease.

    Symptom: an entry process cut off from the key-value service keeps
    placing work on workers as their owner, long after its lease lapsed.

    Sequence: entry-1 joins and claims every cell; the store goes down
    for longer than the membership TTL; entry-1's keep-alives fail.

    Cause: a failed keep-alive was treated like a renewed one, so the
    process never noticed that its lease had run out by its own clock.
    """
    opts = standins.sample_options(kv.port, member_ttl=1.0, heartbeat=0.2)
    member = _start_member(kv, "entry-1", opts)
    assert deployment.wait_until(
        lambda: len(member.current_claims()) == opts.cells, 5)
    kv.faults(down=True)
    assert deployment.wait_until(lambda: not member.current_claims(), 1.5)
    member.stopped.set()


def test_ownership_moves_to_new_member_with_a_higher_fence(kv):
    """Move ownership to a joining member under a higher fence.

    Symptom: two entry processes act as owners of one worker.

    Sequence: entry-1 owns all cells; entry-2 joins; entry-1 gives up
    what is beyond its share.

    Cause guarded against: a claim without a fence, or a fence that does
    not grow, would let the old owner's starts be accepted.
    """
    opts = standins.sample_options(kv.port, member_ttl=1.0, heartbeat=0.2)
    first = _start_member(kv, "entry-1", opts)
    assert deployment.wait_until(
        lambda: len(first.current_claims()) == opts.cells, 5)
    old = {c.cell: c.fence for c in first.current_claims()}
    second = _start_member(kv, "entry-2", opts)
    assert deployment.wait_until(
        lambda: len(first.current_claims()) + len(second.current_claims())
        == opts.cells and second.current_claims(), 5)
    assert not {c.cell for c in first.current_claims()} & {
        c.cell for c in second.current_claims()}
    for claim in second.current_claims():
        assert claim.fence > old[claim.cell]
    first.stopped.set()
    second.stopped.set()


def test_member_stays_reachable_after_predecessor_of_same_name_leaves(kv):
    """Stay a member, reachable, when an older namesake goes away.

    Symptom: a cell's jobs cannot be reached although its owner is up;
    callers are told for ever that the cell is changing owners.

    Sequence: an entry VM is replaced while its old process still runs;
    the new process joins under the same name; the old one ends, or its
    lease lapses.

    Cause: both wrote one member key; the old one's end took it away, and
    the new one, whose lease was live, never wrote it again.
    """
    opts = standins.sample_options(kv.port, member_ttl=1.0, heartbeat=0.2)
    old = _start_member(kv, "entry-1", opts)
    assert deployment.wait_until(lambda: old.current_claims(), 5)
    new = _start_member(kv, "entry-1", opts)
    assert deployment.wait_until(lambda: new.current_claims() and all(
        new.owner_of(c.cell) is not None for c in new.current_claims()), 5)
    old.leave()
    assert deployment.wait_until(
        lambda: len(new.current_claims()) == opts.cells, 5)
    assert deployment.wait_until(
        lambda: all(new.owner_of(c) is not None
                    for c in range(opts.cells)), 2)
    new.stopped.set()


def test_deleted_member_key_is_rewritten_under_a_live_lease(kv):
    """Write the member key again when it vanished under a live lease."""
    opts = standins.sample_options(kv.port, member_ttl=5.0, heartbeat=0.2)
    member = _start_member(kv, "entry-1", opts)
    assert deployment.wait_until(
        lambda: len(member.current_claims()) == opts.cells, 5)
    kv.client.delete(membership.MEMBERS_PREFIX, prefix=True)
    assert deployment.wait_until(
        lambda: kv.client.range(membership.MEMBERS_PREFIX).unwrap().items, 3)
    member.stopped.set()
