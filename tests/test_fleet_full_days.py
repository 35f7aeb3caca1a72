"""Test that tasks run although most of the fleet's capacity is reserved.

FullDay says which faults there are and which tasks must run.
"""

import pytest

from sycamorefield.fleet import slowplacing
from tests import fullfleet

DAYS = [
    (("unstored starts lost",), 0.5, 1, True, False),
    (("unstored starts lost", "commits lost"), 0.95, 2, True, False),
    (("data centre lost", "owner changes"), 0.7, 3, False, False),
    (("workers slow", "workers crash"), 0.95, 4, True, False),
    (("runs fail", "owner changes in quarantines"), 0.95, 981929, False,
     False),
    (("cut from owner", "owner changes"), 0.7, 887302, False, True),
]


def complaints_after(faults, share, seed, changes_owner, stays_slow):
    """Return what is wrong after a day of faults and a calm."""
    day = fullfleet.FullDay(faults, share, seed, changes_owner,
                            stays_slow=stays_slow)
    try:
        day.run()
        return day.complaints()
    finally:
        day.machine.teardown()


@pytest.mark.parametrize("day", DAYS, ids=lambda day: " and ".join(day[0]))
def test_tasks_with_capacity_run_on_a_full_fleet(day):
    """Guards against tasks that wait beside a worker with capacity."""
    assert complaints_after(*day) == []


def test_simulation_finds_tasks_that_never_run_on_slow_workers(monkeypatch):
    monkeypatch.setattr(slowplacing.SlowWorkers, "choose",
                        lambda slow, task, eligible: None)
    found = complaints_after(*DAYS[-1])
    assert any("has a worker and waits" in text for text in found), found
