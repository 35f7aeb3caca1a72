"""Test that no entry of a worker keeps the fleet from being scheduled.

An error in a term ends it, and that of the next owner as well, as long as the
entry is listed.
"""

import json
import socket

import pytest

from sycamorefield import events
from sycamorefield.fleet import messages
from sycamorefield.platform import workerconnections
from sycamorefield.platform import workers as workers_mod
from tests import fleetfakes

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


INVALID_ENTRIES = {
    "no-service": {k: v for k, v in ENTRY.items() if k != "service"},
    "no-address": {k: v for k, v in ENTRY.items() if k != "addr"},
    "no-state": {k: v for k, v in ENTRY.items() if k != "state"},
    "no-capacity": {k: v for k, v in ENTRY.items() if k != "capacity"},
    "service-number": {**ENTRY, "service": 7},
    "service-empty": {**ENTRY, "service": ""},
    "state-unknown": {**ENTRY, "state": "resting"},
    "state-list": {**ENTRY, "state": ["ready"]},
    "zone-null": {**ENTRY, "zone": None},
    "labels-text": {**ENTRY, "labels": "abc"},
    "labels-object": {**ENTRY, "labels": {"a": 1}},
    "labels-nested": {**ENTRY, "labels": [["a"]]},
    "labels-many": {**ENTRY, "labels": ["a"] * 1000},
    "capacity-list": {**ENTRY, "capacity": [1, 2]},
    "cpu-text": {**ENTRY, "capacity": {"cpu": "4"}},
    "cpu-bool": {**ENTRY, "capacity": {"cpu": True}},
    "cpu-negative": {**ENTRY, "capacity": {"cpu": -1}},
    "memory-negative": {**ENTRY, "capacity": {"mem_mb": -0.5}},
    "cpu-nan": {**ENTRY, "capacity": {"cpu": float("nan")}},
    "cpu-huge": {**ENTRY, "capacity": {"cpu": 10 ** 30}},
    "cpu-nested": {**ENTRY, "capacity": {"cpu": {"cpu": 1}}},
    "born-negative": {**ENTRY, "born": -5},
    "born-huge": {**ENTRY, "born": 1e300},
    "remaining-text": {**ENTRY, "remaining_ms": "soon"},
    "list": [1, 2], "null": None, "number": 7}


@pytest.mark.parametrize("value", [
    *(json.dumps(value).encode() for value in INVALID_ENTRIES.values()),
    b"", b"{", b"\xff\xfe", b'{"service": "\xe9"}',
    json.dumps(ENTRY).encode("utf-16")],
    ids=[*INVALID_ENTRIES, "empty", "torn", "bytes", "latin-1", "utf-16"])
def test_entry_of_another_program_hides_no_other_entry(value):
    """Guards against a fleet without workers for the sake of one entry."""
    store = fleetfakes.MemoryStore()
    good = json.dumps(ENTRY).encode()
    store.commit(messages.Transaction(puts=(
        messages.Put("servers/i-0", good), messages.Put("servers/i-1", value),
        messages.Put("servers/i-2", good))))
    entries = workers_mod.PlatformWorkerList(store).workers()
    assert [entry.worker_id for entry in entries] == ["i-0", "i-2"]


@pytest.mark.parametrize("key", [
    "servers/", "servers/a b", "servers/a\r\nb", "servers/\u00e9",
    "servers/" + "x" * 1000])
def test_key_that_no_header_accepts_names_no_worker(key):
    """The ID of a worker is sent to it in a header of each call."""
    item = messages.Item(key, json.dumps(ENTRY).encode(), 1, 1)
    assert workers_mod.decode_entry(item) is None


def test_invalid_entries_are_logged_once_in_bounded_lines(monkeypatch):
    """Guards against a log that holds nothing but invalid entries."""
    lines = []
    monkeypatch.setattr(events, "emit",
                        lambda event, **fields: lines.append(fields))
    store = fleetfakes.MemoryStore()
    value = json.dumps({**ENTRY, "state": "x" * 100_000}).encode()
    store.commit(messages.Transaction(puts=tuple(
        messages.Put(f"servers/i-{n}", value) for n in range(100))))
    worker_list = workers_mod.PlatformWorkerList(store)
    for _ in range(3):
        worker_list.workers()
    assert len(lines) == workers_mod.MAX_ENTRY_LINES + 1
    assert lines[-1]["reason"] == "80 other entries"
    assert all(len(str(line)) < 500 for line in lines)
    store.commit(messages.Transaction(puts=(
        messages.Put("servers/i-7", b"{"),)))
    worker_list.workers()
    assert lines[-1]["key"] == "servers/i-7"


@pytest.mark.parametrize("address", [
    "10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1:\u00b2", "10.0.0.1:\u0661",
    "\ud800:80", "a\x00b:80", "a b:80"])
def test_address_that_no_socket_accepts_makes_an_entry_unreadable(address):
    """Most of these made the client raise an error that ended the term."""
    assert decode(json.dumps({**ENTRY, "addr": address}).encode()) is None


@pytest.mark.parametrize("address", [
    "localhost:80", "worker-7.example.org:80", "10.0.0:80", "10.0.0.256:80",
    "0x0a.0.0.1:80", "[::1]:80", "::1:80", "1.2.3.4.5:80", " 10.0.0.1:80"])
def test_host_name_is_not_resolved(address, monkeypatch):
    """Guards against lookups in the event loop that serves all workers."""
    def fail(*args):
        raise AssertionError("looked up")

    monkeypatch.setattr(socket, "getaddrinfo", fail)
    assert decode(json.dumps({**ENTRY, "addr": address}).encode()) is None


@pytest.mark.parametrize("address", [
    "10.0.0.1:80", "10.0.0.1:65535", "127.0.0.1:1"])
def test_other_addresses_are_read(address):
    entry = decode(json.dumps({**ENTRY, "addr": address}).encode())
    assert entry is not None and entry.address == address
    client = workerconnections.WorkerClient(address, {})
    client.close()
