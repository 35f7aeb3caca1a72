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


def _member(kv, name, opts):
    member = membership.Membership(kv.client, opts, name)
    threading.Thread(target=member.run, daemon=True).start()
    return member


def test_claims_dropped_when_lease_cannot_be_renewed(kv):
    """Drop claims when the store cannot renew the lease.

    Symptom: an entry process cut off from the key-value service keeps
    placing work on workers as their owner, long after its lease lapsed.

    Sequence: entry-1 joins and claims every cell; the store goes down
    for longer than the membership TTL; entry-1's keep-alives fail.

    Cause: a failed keep-alive was treated like a renewed one, so the
    process never noticed that its lease had run out by its own clock.
    """
    opts = standins.sample_options(kv.port, member_ttl=1.0, heartbeat=0.2)
    member = _member(kv, "entry-1", opts)
    assert deployment.wait_until(
        lambda: len(member.owned()) == opts.cells, 5)
    kv.faults(down=True)
    assert deployment.wait_until(lambda: not member.owned(), 1.5)
    member.stopped.set()


def test_ownership_moves_with_a_higher_fence(kv):
    """Move ownership to a joining member under a higher fence.

    Symptom: two entry processes act as owners of one worker.

    Sequence: entry-1 owns all cells; entry-2 joins; entry-1 gives up
    what is beyond its share.

    Cause guarded against: a claim without a fence, or a fence that does
    not grow, would let the old owner's starts be accepted.
    """
    opts = standins.sample_options(kv.port, member_ttl=1.0, heartbeat=0.2)
    first = _member(kv, "entry-1", opts)
    assert deployment.wait_until(
        lambda: len(first.owned()) == opts.cells, 5)
    old = {c.cell: c.fence for c in first.owned()}
    second = _member(kv, "entry-2", opts)
    assert deployment.wait_until(
        lambda: len(first.owned()) + len(second.owned())
        == opts.cells and second.owned(), 5)
    assert not {c.cell for c in first.owned()} & {
        c.cell for c in second.owned()}
    for claim in second.owned():
        assert claim.fence > old[claim.cell]
    first.stopped.set()
    second.stopped.set()
