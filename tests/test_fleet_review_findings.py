"""Test what is known of starts without an answer after an owner or a life."""

import pytest

from tests import test_fleet_unanswered_start_records as chains

fixture_chain = chains.fixture_chain


@pytest.mark.parametrize("end", ["stopped", "killed"])
def test_later_life_that_an_owner_has_seen_is_known_to_its_successors(
        chain, end):
    """Guards against a later life whose entry has expired since."""
    chain.leave_start_unanswered()
    chain.wait_until(2.0)
    chain.change_owner(end)
    chain.owner.list_next_life()
    chain.wait_until(4.0)
    chain.owner.born_ms = 0
    chain.change_owner(end)
    chain.owner.state.update_listed({"i-1"}, chain.owner.now)
    assert chains.LATE_S <= chain.freed_after(chains.NEW) <= (
        chains.LATE_S + 2 * chains.STORED_SLACK_S + chains.SLACK_S)
