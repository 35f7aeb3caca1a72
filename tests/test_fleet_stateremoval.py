"""Test the removal of final states that nobody may ask for any more."""

import pytest

from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import records
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import stateremoval
from sycamorefield.platform import bootsettings
from tests import fleetfakes

STATUS_S = 120.0
VALUE = b'{"state":"completed"}'


class Term:
    """The removal of states in the term of an owner, on a clock of its own."""

    def __init__(self, monkeypatch, status_s=STATUS_S):
        self.now = 100.0
        monkeypatch.setattr(clock, "now", lambda: self.now)
        self.store = fleetfakes.MemoryStore()
        fence = self.put(records.OWNER_KEY, b"me")
        self.fleet = state_mod.FleetState(
            fence, 6000.0, lambda *_: None, fleetfakes.configuration)
        self.removal = stateremoval.StateRemoval(
            self.store, self.fleet, records.OWNER_KEY, status_s)

    def put(self, key, value=VALUE):
        return self.store.commit(messages.Transaction(
            puts=(messages.Put(key, value),)))

    def pass_time(self, seconds):
        """Make the calls that are due within some seconds."""
        end = self.now + seconds
        while self.now < end:
            self.now += self.removal.step()
        self.now = max(self.now, end)

    def left(self):
        return [key for key in self.store.items if key.startswith("st/")]


@pytest.mark.parametrize("age_s", [0.0, 31.0, 119.0, 200.0])
def test_states_are_removed_only_after_the_time_to_read_them(
        monkeypatch, age_s):
    """Guards against a job that is lost to its caller."""
    term = Term(monkeypatch)
    term.pass_time(age_s)
    term.put("st/a")
    written_at = term.now
    while term.left():
        assert term.now < written_at + 3 * STATUS_S
        term.now += term.removal.step()
    assert term.now >= written_at + 2 * STATUS_S


@pytest.mark.parametrize("jump_ms", [1e12, -1e12])
def test_time_of_day_does_not_matter(monkeypatch, jump_ms):
    """Guards against a clock that jumps."""
    term = Term(monkeypatch)
    term.put("st/a")
    wall_ms = clock.wall_ms()
    monkeypatch.setattr(clock, "wall_ms", lambda: wall_ms + jump_ms)
    term.pass_time(STATUS_S)
    assert term.left() == ["st/a"]


def test_states_of_earlier_terms_are_kept_as_long(monkeypatch):
    """Guards against an owner that takes its predecessor's states for old."""
    term = Term(monkeypatch)
    for number in range(3):
        term.put(f"st/a{number}")
        term.pass_time(STATUS_S)
        fence = term.put(records.OWNER_KEY, b"other")
        term.fleet.fence = fence
        term.removal = stateremoval.StateRemoval(
            term.store, term.fleet, records.OWNER_KEY, STATUS_S)
    assert len(term.left()) == 3


@pytest.mark.parametrize("count", [1, 40, 1203])
def test_all_old_states_are_removed_by_calls_with_pauses(monkeypatch, count):
    """Guards against calls that other users of the store must wait for."""
    term = Term(monkeypatch)
    for number in range(count):
        term.put(f"st/a{number}")
    term.put("in/a1")
    term.pass_time(2 * STATUS_S)
    calls = 0
    while term.left():
        pause_s = term.removal.step()
        assert pause_s >= stateremoval.CALL_PAUSE_S
        calls += 1
        assert calls < 10 + count / 10
        term.now += pause_s
    assert set(term.store.items) == {records.OWNER_KEY, "in/a1"}


def test_successor_ends_the_removal(monkeypatch):
    """Guards against two owners that remove states."""
    term = Term(monkeypatch)
    term.put("st/a")
    term.pass_time(2 * STATUS_S - 40)
    term.put(records.OWNER_KEY, b"other")
    term.pass_time(80)
    assert term.left() == ["st/a"]
    assert term.removal.fenced


def test_state_that_was_written_again_is_kept(monkeypatch):
    """Guards against the removal of a newer state, listed late."""
    term = Term(monkeypatch)
    term.put("st/a")
    old = term.store.stale_page("st/", "")
    term.pass_time(2 * STATUS_S - 40)
    term.put("st/a")
    monkeypatch.setattr(term.store, "stale_page", lambda *_: old)
    term.pass_time(80)
    assert term.left() == ["st/a"]
    assert not term.removal.fenced


def test_state_of_a_job_that_the_owner_knows_is_kept(monkeypatch):
    """Guards against a job that is stored again and ignored."""
    term = Term(monkeypatch)
    term.fleet.add_job(fleetfakes.job("a"), 1)
    term.put("st/a")
    term.pass_time(3 * STATUS_S)
    assert term.left() == ["st/a"]
    del term.fleet.jobs["a"]
    term.pass_time(STATUS_S)
    assert not term.left()


def test_removal_goes_on_after_failures_of_the_store(monkeypatch):
    """Guards against states that stay for the rest of a term."""
    term = Term(monkeypatch)
    term.put("st/a")
    pauses = []

    class Stopped:
        """An event that is set after some calls; its waits pass time."""

        def wait(self, pause_s):
            pauses.append(pause_s)
            term.now += pause_s
            term.store.refuse = len(pauses) % 2 == 0
            return len(pauses) > 60

    term.removal.run(Stopped())
    assert stateremoval.FAILURE_PAUSE_S in pauses
    assert not term.left()


def test_unanswered_removal_is_repeated(monkeypatch):
    term = Term(monkeypatch)
    term.put("st/a")
    term.pass_time(2 * STATUS_S - 1)
    term.store.lose_calls = 1
    with pytest.raises(interfaces.CallFailed):
        term.pass_time(90)
    term.pass_time(1)
    assert not term.left()


@pytest.mark.parametrize(("value", "expected"), [
    ({}, 120.0), ({"status_s": 300}, 300.0), ({"status_s": 0}, 0.0)])
def test_time_is_read_from_settings(value, expected):
    assert bootsettings.BoundsModel(**value).status_s == expected


@pytest.mark.parametrize("value", [-1, "120", float("nan"), 86_401, True, []])
def test_time_out_of_range_is_refused(value):
    """Guards against states that are removed too early or never."""
    with pytest.raises(ValueError):
        bootsettings.BoundsModel(status_s=value)


def test_late_writes_are_outlived_whatever_the_settings(monkeypatch):
    """Guards against a late write that runs a job again."""
    assert Term(monkeypatch, 0.0).removal.keep_s >= 60.0
