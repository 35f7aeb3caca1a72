"""Test that no entry of a worker keeps the fleet from being scheduled.

An error in a term ends it, and that of the next owner as well, as long as the
entry is listed.
"""

import json

import pytest

from sycamorefield.fleet import messages
from sycamorefield.platform import workerconnections
from sycamorefield.platform import workers as workers_mod

ENTRY = {"service": "s", "addr": "10.0.0.1:80", "zone": "z", "state": "ready",
         "capacity": {"cpu": 1, "mem_mb": 2}, "labels": ["a", "r1-3"]}
HUGE = 10 ** 400


def decode(value: bytes) -> messages.WorkerEntry | None:
    """Return a decoded entry, or None."""
    return workers_mod.decode_entry(messages.Item("servers/i-1", value, 1, 1))


@pytest.mark.parametrize("value", [
    b"[" * 100_000,
    json.dumps({**ENTRY, "born": float("inf")}).encode(),
    json.dumps({**ENTRY, "born": float("nan")}).encode(),
    json.dumps({**ENTRY, "capacity": {"cpu": float("inf")}}).encode(),
    json.dumps({**ENTRY, "remaining_ms": HUGE}).encode()],
    ids=["nested", "born-inf", "born-nan", "cpu-inf", "remaining-huge"])
def test_numbers_and_nesting_of_an_entry_raise_no_other_error(value):
    assert decode(value) is None


@pytest.mark.parametrize("address", [
    "10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1:\u00b2", "10.0.0.1:\u0661",
    "\ud800:80", "a\x00b:80", "a b:80"])
def test_address_that_no_socket_accepts_makes_an_entry_unreadable(address):
    """Most of these made the client raise an error that ended the term."""
    assert decode(json.dumps({**ENTRY, "addr": address}).encode()) is None


@pytest.mark.parametrize("address", [
    "10.0.0.1:80", "10.0.0.1:65535", "127.0.0.1:1"])
def test_other_addresses_are_read(address):
    entry = decode(json.dumps({**ENTRY, "addr": address}).encode())
    assert entry is not None and entry.address == address
    client = workerconnections.WorkerClient(address, {})
    client.close()
