"""Test that records of another program keep no owner from its term."""

import pytest

from sycamorefield.fleet import messages
from sycamorefield.fleet import records
from tests import fleetfakes
from tests import test_fleet_takeover

wait_for = test_fleet_takeover.wait_for
UNREADABLE = [b"", b"\xff", b"[" * 100_000, b"[1]", b"7", b"null",
              b'{"i-0": 7}', b'{"i-0": {"a": 1}}']


@pytest.fixture(name="fleet")
def fixture_fleet():
    fleet = test_fleet_takeover.Fleet()
    yield fleet
    fleet.owner.step_down("test over")


def take_over_with(fleet, key, value):
    """Replace a record while a task runs, and change the owner."""
    fleet.take_over()
    fleet.submit(fleetfakes.job("a"))
    wait_for(lambda: fleet.running() == ["a.0.0.0"])
    fleet.owner.step_down("removed")
    fleet.store.commit(messages.Transaction(puts=(
        messages.Put(key, value),)))
    fleet.take_over()
    fleet.submit(fleetfakes.job("b"))
    wait_for(lambda: fleet.running() == ["a.0.0.0", "b.0.0.0"])
    assert not fleet.owner.failed
    assert fleet.starts() == ["a.0.0.0", "b.0.0.0"]


@pytest.mark.parametrize("value", UNREADABLE)
def test_unreadable_list_of_workers_in_use_ends_no_term(fleet, value):
    """Guards against terms that end one after another, and a second run."""
    take_over_with(fleet, records.WORKERS_KEY, value)
    wait_for(lambda: fleet.store.items[records.WORKERS_KEY].value != value)
    assert set(records.decode_addresses(
        fleet.store.items[records.WORKERS_KEY].value)) == {"i-0", "i-1"}


@pytest.mark.parametrize("key", [records.WEIGHTS_KEY,
                                 records.WAITING_JOBS_KEY])
@pytest.mark.parametrize("value", [
    *UNREADABLE, b'{"s": [1' + b"0" * 400 + b', {}]}', b'{"s": [NaN, {}]}'])
def test_unreadable_learnt_values_end_no_term(fleet, key, value):
    take_over_with(fleet, key, value)


@pytest.mark.parametrize("address", ["", "x", "a:99999", "a b:80"])
def test_unusable_address_of_a_worker_in_use_ends_no_term(fleet, address):
    """Guards against a client that cannot be made for the address."""
    value = records.encode_addresses({
        "i-0": "10.0.0.0:80", "i-1": "10.0.0.1:80", "i-9": address})
    fleet.store.commit(messages.Transaction(puts=(
        messages.Put(records.WORKERS_KEY, value),)))
    owner = fleet.take_over()
    fleet.submit(fleetfakes.job("b"))
    wait_for(lambda: fleet.running() == ["b.0.0.0"])
    assert not owner.failed
    assert "i-9" not in owner.worker_links.links
