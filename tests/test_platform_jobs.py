"""Test jobs with values out of bounds, as submitted and as stored.

A value that only a placement round meets ends the term of the owner, and of
each successor as long as the job is stored.
"""

import dataclasses
import json

import pytest

from sycamorefield import events
from sycamorefield.fleet import inputlog
from sycamorefield.fleet import jobbounds
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import records
from sycamorefield.platform import jobbody
from tests import fleetfakes
from tests import test_fleet_state
from tests import test_fleet_takeover

QUEUE = messages.Queue("checks", "h", "/x/", "desk")
wait_for = test_fleet_takeover.wait_for


@pytest.fixture(name="lines")
def fixture_lines(monkeypatch):
    """Return the fields of the lines on replaced values."""
    lines = []
    monkeypatch.setattr(inputlog, "LOG", inputlog.InputLog())
    monkeypatch.setattr(
        events, "emit", lambda event, **fields: lines.append(fields)
        if event is events.INPUT_REPLACED else None)
    return lines


def decode(step):
    body = json.dumps({"steps": [{"count": 2, **step}]}).encode()
    return jobbody.decode("a", QUEUE, 0.0, body)


@pytest.mark.parametrize(("step", "field", "default"), [
    ({"est_runtime_ms": -1}, "estimate_ms", 0),
    ({"est_runtime_ms": float("nan")}, "estimate_ms", 0),
    ({"est_runtime_ms": float("inf")}, "estimate_ms", 0),
    ({"est_runtime_ms": 1e300}, "estimate_ms", 0),
    ({"speculative": True, "gang": True}, "speculative", False),
    ({"speculative": True, "perpetual": True}, "speculative", False),
    ({"target_ms": float("nan")}, "target_ms", 0.0),
    ({"target_ms": -5}, "target_ms", 0.0),
    ({"may_miss": 7}, "may_miss", 2),
    ({"cpu": 10 ** 400}, "room", messages.Resources(jobbounds.MAX_AMOUNT)),
    ({"max_per_server": 10 ** 12}, "max_per_worker", 0)],
    ids=["negative", "nan", "inf", "huge", "gang", "perpetual", "target-nan",
         "target-negative", "may-miss", "cpu", "per-server"])
def test_hint_out_of_bounds_is_replaced_by_a_default(lines, step, field,
                                                     default):
    """Guards against jobs that are lost for a value nothing depends on."""
    job = decode(step)
    assert getattr(job.steps[0], field) == default
    assert len(lines) == 1
    assert lines[0]["place"] == f"job a: {field} of step 0"
    assert progress.decode_job(progress.encode_job(job)) == job
    bench = test_fleet_state.Bench(*(fleetfakes.entry(n) for n in range(2)))
    bench.add(job)
    assert len(bench.place()) == (0 if field == "room" else 2)


@pytest.mark.parametrize("step", [
    {"est_runtime_ms": 0}, {"est_runtime_ms": 900, "speculative": True},
    {"gang": True, "target_ms": 3.5, "may_miss": 1}])
def test_values_within_bounds_are_kept_without_a_line(lines, step):
    job = decode(step)
    assert jobbounds.bounded(job) is job
    assert not lines


@pytest.mark.parametrize("body", [
    {"steps": [{"count": 10 ** 9}]}, {"steps": [{"count": -1}]},
    {"steps": [{"count": 100_000}] * 3},
    {"steps": [{"count": 100}], "repeat_count": 100_000},
    {"steps": [{"count": 1}], "start_at_ms": float("nan")},
    {"steps": [{"count": 1}], "start_at_ms": 5, "interval_ms": float("inf")},
    {"steps": [{"count": 1, "est_runtime_ms": "soon"}]}])
def test_job_that_cannot_be_run_is_refused(body):
    """Guards against an owner that runs out of memory for one job."""
    with pytest.raises(ValueError):
        jobbody.decode("a", QUEUE, 0.0, json.dumps(body).encode())


def stored(**changes):
    """Return a stored job "a" of one step, of which fields are replaced."""
    row = json.loads(progress.encode_job(fleetfakes.job("a")))
    step = {name[5:]: changes.pop(name) for name in list(changes)
            if name.startswith("step_")}
    row.update(changes)
    if step:
        row["steps"][0].update(step)
    return json.dumps(row).encode()


@pytest.mark.parametrize("value", [
    stored(step_count="5"), stored(step_count=0), stored(step_count=10 ** 9),
    stored(step_room=["x", 1, 1]), stored(step_room=7), stored(steps=[]),
    stored(steps=None), stored(step_after=[0]), stored(step_after="x"),
    stored(priority="high"), stored(max_attempts=None),
    stored(accepted_ms="now"), stored(accepted_ms=float("nan")),
    stored(repeat_count=10 ** 9), stored(spec={"a": 1}),
    stored(step_estimate_ms="soon"), b"[" * 100_000, b"\xff", b"7"])
def test_record_of_another_program_ends_no_term(value):
    """The other jobs run, before and after a change of owner."""
    fleet = test_fleet_takeover.Fleet()
    for job_id in ("b", "c"):
        fleet.take_over()
        fleet.store.commit(messages.Transaction(puts=(
            messages.Put(records.job_key("a"), value),)))
        fleet.submit(fleetfakes.job(job_id))
        wait_for(lambda: f"{job_id}.0.0.0" in fleet.running())
        assert not fleet.owner.failed
        fleet.owner.step_down("test over")


@pytest.mark.parametrize("value", [
    {"state": "resting"}, {"state": 7}, {"state": "pending", "done": []},
    {"state": "pending", "done": {"0.0": 7}},
    {"state": "pending", "done": {"x": "1"}},
    {"state": "pending", "rest": {"0.0.0": ["x", [], ""]}},
    {"state": "pending", "rest": {"0.0.0": [1, ["x"], ""]}},
    {"state": "pending", "rest": {"0.0.0": [1, [], 7]}},
    {"state": "pending", "trials": {"0.0.0": 7}},
    {"state": "pending", "trial_births": {"i-0": "x"}}, [], 7, None])
def test_progress_of_another_program_ends_no_term(value):
    """Such a job starts as if it had made no progress."""
    fleet = test_fleet_takeover.Fleet()
    fleet.submit(fleetfakes.job("a"))
    fleet.store.commit(messages.Transaction(puts=(messages.Put(
        records.progress_key("a"), json.dumps(value).encode()),)))
    fleet.take_over()
    wait_for(lambda: fleet.running() == ["a.0.0.0"])
    assert not fleet.owner.failed
    fleet.owner.step_down("test over")


def test_all_fields_of_a_job_survive_storing():
    step = messages.Step(
        3, messages.Resources(1, 2, 3), 4, (), True, True, "r", "a", 5, False,
        True, True, True, "i", 2.5, 1)
    job = fleetfakes.job("a", dataclasses.replace(step, count=2), step,
                         start_at_ms=1.5, repeat_count=2, interval_ms=7.0)
    assert progress.decode_job(progress.encode_job(job)) == job
