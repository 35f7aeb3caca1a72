"""Test the membership and that cells are owned only under a valid lease."""

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
    """Check that claims are dropped once the lease is over by local clock.

    The store is down for longer than the membership TTL, and keep-alives
    fail.  If a failed keep-alive counted as a renewal, the entry process
    would keep placing work on workers that it no longer owns.
    """
    opts = standins.sample_options(kv.port, member_ttl=1.0, heartbeat=0.2)
    member = _start_member(kv, "entry-1", opts)
    assert deployment.wait_until(
        lambda: len(member.current_claims()) == opts.cells, 5)
    kv.faults(down=True)
    assert deployment.wait_until(lambda: not member.current_claims(), 1.5)
    member.stopped.set()


def test_ownership_moves_to_new_member_with_a_higher_fence(kv):
    """Check that a joining member gets its share of cells at higher fences.

    entry-1 owns all cells and releases those beyond its share when entry-2
    joins.  Without a fence that grows, workers would still accept starts
    from the old owner, and a worker would have two owners.
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
    """Check that a member stays reachable when its predecessor leaves.

    An entry VM is replaced while its old process still runs, and the new
    process joins under the same name.  If both used one member key, the
    key would go when the old process ends or its lease expires.  Callers
    would then be told forever that the cells of the new process are
    changing owners.
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
    """Check that a deleted member key is rewritten under a valid lease."""
    opts = standins.sample_options(kv.port, member_ttl=5.0, heartbeat=0.2)
    member = _start_member(kv, "entry-1", opts)
    assert deployment.wait_until(
        lambda: len(member.current_claims()) == opts.cells, 5)
    kv.client.delete(membership.MEMBERS_PREFIX, prefix=True)
    assert deployment.wait_until(
        lambda: kv.client.range(membership.MEMBERS_PREFIX).unwrap().items, 3)
    member.stopped.set()
