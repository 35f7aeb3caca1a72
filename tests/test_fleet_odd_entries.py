"""Test that an odd entry among those of the workers disturbs no owner."""

import json
import typing

import pytest

from sycamorefield.fleet import clock
from sycamorefield.fleet import messages
from sycamorefield.fleet import owner as owner_mod
from sycamorefield.fleet import records
from sycamorefield.platform import workers as workers_mod
from tests import fleetfakes
from tests import test_fleet_takeover

wait_for = test_fleet_takeover.wait_for
LEVELS = 400_000
DIGITS = "9" * 5_000
# How often the list must have been read with an entry in it.
READINGS = 2


def entry_text(**fields: str) -> str:
    """Return an entry whose fields have the given JSON texts."""
    row = {"service": '"desk"', "addr": '"10.0.0.9:80"', "zone": '"z"',
           "state": '"ready"', "labels": '["a","r1"]',
           "capacity": '{"cpu":4000,"mem_mb":16000}', "born": "1000"}
    row.update(fields)
    return "{" + ",".join(f'"{name}":{value}'
                          for name, value in row.items()) + "}"


NESTED = "[" * LEVELS + "]" * LEVELS
NUMBERS = {"infinite": "1e400", "digits": DIGITS, "nan": "NaN",
           "negative": "-1e308", "large": "1e308", "torn": "1e"}
ODD_ENTRIES = {
    "nested": NESTED, "nested-open": "[" * LEVELS,
    "nested-objects": '{"a":' * LEVELS + "1" + "}" * LEVELS,
    **{f"nested-{field}": entry_text(**{field: NESTED})
       for field in ("extra", "capacity", "labels", "born", "addr")},
    **{f"{field}-{name}": entry_text(**{field: number})
       for field in ("born", "remaining_ms", "extra", "slots", "seq")
       for name, number in NUMBERS.items()},
    **{f"cpu-{name}": entry_text(capacity='{"cpu":%s}' % number)
       for name, number in NUMBERS.items()},
    **{f"draining-{name}": entry_text(
        state='"draining"', remaining_ms=number)
       for name, number in NUMBERS.items()},
    **{f"port-{name}": entry_text(addr=f'"10.0.0.9:{port}"')
       for name, port in {"zero": "0", "negative": "-1", "beyond": "99999",
                          "digits": DIGITS, "none": ""}.items()},
    "half-pair": entry_text(zone='"\\ud800"', labels='["\\udc00"]'),
    "labels-long": entry_text(labels=json.dumps(["a" * 10_000] * 500)),
    "of-another": entry_text(addr='"10.0.0.0:80"')}


class ListedFleet(test_fleet_takeover.Fleet):
    """A fleet whose owner reads the workers' entries from the store."""

    def __init__(self) -> None:
        super().__init__()
        for number in range(2):
            self.write(f"i-{number}", entry_text(
                addr=f'"10.0.0.{number}:80"'))
        self.readings = 0

    def write(self, worker_id: str, text: str) -> None:
        """Write an entry."""
        self.store.commit(messages.Transaction(puts=(messages.Put(
            workers_mod.ENTRY_PREFIX + worker_id, text.encode()),)))

    def take_over(self) -> owner_mod.Owner:
        """Start an owner that reads the entries."""
        listed = workers_mod.PlatformWorkerList(self.store)
        workers = listed.workers

        def counting_workers() -> tuple[messages.WorkerEntry, ...]:
            found = workers()
            self.readings += 1
            return found
        listed.workers = counting_workers  # type: ignore[method-assign]
        self.worker_list = typing.cast(typing.Any, listed)
        return super().take_over()

    def wait_for_readings(self) -> None:
        """Wait until the list has been read again."""
        known = self.readings
        wait_for(lambda: self.readings >= known + READINGS)

    def complete(self, job_id: str) -> None:
        """Run a job to its end."""
        self.submit(fleetfakes.job(job_id))
        wait_for(lambda: f"{job_id}.0.0.0" in self.running())
        test_fleet_takeover.finish(self, f"{job_id}.0.0.0")
        wait_for(lambda: self.state(job_id) == messages.COMPLETED)


@pytest.fixture(name="fleet")
def fixture_fleet(monkeypatch):
    monkeypatch.setattr(owner_mod, "WORKER_LIST_PERIOD_S", 0.05)
    fleet = ListedFleet()
    unknown = fleetfakes.MemoryWorker("odd")
    unknown.crashed = True
    fleet.workers["odd"] = unknown
    yield fleet
    fleet.owner.step_down("test over")


def renew_lease(fleet):
    fleet.owner.note_lease_renewal(clock.now())


def test_owner_goes_on_beside_all_odd_entries(fleet):
    """Guards against owners that end again and again for an entry."""
    owner = fleet.take_over()
    fleet.complete("first")
    for number, text in enumerate(ODD_ENTRIES.values()):
        worker_id = f"odd-{number}"
        fleet.workers[worker_id] = fleet.workers["odd"]
        fleet.write(worker_id, text)
    fleet.wait_for_readings()
    renew_lease(fleet)
    fleet.write("i-2", entry_text(addr='"10.0.0.2:80"'))
    fleet.workers["i-2"] = fleetfakes.MemoryWorker("i-2")
    wait_for(lambda: "i-2" in owner.fleet.workers)
    renew_lease(fleet)
    fleet.complete("second")
    assert not owner.stepped_down.is_set()
    # A successor begins with all of them.
    owner.step_down("removed")
    successor = fleet.take_over()
    fleet.complete("third")
    assert not successor.failed


@pytest.mark.parametrize("name", [
    "nested", "nested-extra", "born-digits", "cpu-infinite", "port-beyond",
    "port-digits", "draining-negative", "draining-large", "half-pair"])
def test_odd_entry_of_a_worker_in_use_disturbs_no_other(fleet, name):
    """Guards against an owner that ends as an entry changes under it."""
    owner = fleet.take_over()
    fleet.complete("first")
    fleet.write("i-0", ODD_ENTRIES[name])
    fleet.wait_for_readings()
    renew_lease(fleet)
    fleet.complete("second")
    fleet.write("i-0", entry_text(addr='"10.0.0.0:80"'))
    wait_for(lambda: owner.fleet.workers["i-0"].listed)
    renew_lease(fleet)
    fleet.complete("third")
    assert not owner.stepped_down.is_set()
    assert not owner.failed
    assert records.OWNER_KEY in fleet.store.items
