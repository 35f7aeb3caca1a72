"""Test that learned state outlives its owner, and bad snapshots do no harm."""

import json
import math

import pytest

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import demand
from sycamorefield.fleet import learnedstate
from sycamorefield.fleet import messages
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.fleet import recorder as recorder_mod
from sycamorefield.fleet import records
from sycamorefield.fleet import runtimes
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import workerspeed
from tests import fleetfakes
from tests import test_fleet_takeover

KEY = records.LEARNED_STATE_KEY
WALL_MS = 1e12
FENCE = 10
STEP = messages.Step(4, messages.Resources(1000, 1000), 900)


class Part:
    """A part whose value is set by a test."""

    def __init__(self, value: object = None) -> None:
        self.value = value

    def encode(self):
        if isinstance(self.value, Exception):
            raise self.value
        return self.value

    def decode(self, value):
        if isinstance(self.value, Exception):
            raise self.value
        self.value = value


def learned_state(enabled=True, **parts) -> learnedstate.LearnedState:
    learned = learnedstate.LearnedState(FENCE, enabled)
    for name, part in parts.items():
        learned.register(name, part.encode, part.decode)
    learned.encoded_at = 0.0
    return learned


def snapshot(fence=FENCE - 1, wall_ms=WALL_MS, **changes) -> bytes:
    """Return a stored snapshot with some fields changed."""
    row = {"kind": learnedstate.KIND, "format": learnedstate.FORMAT,
           "written_ms": wall_ms, "fence": fence, "parts": {"p": {"a": 1}}}
    row.update(changes)
    return json.dumps({name: value for name, value in row.items()
                       if value is not None}).encode()


@pytest.fixture(name="emitted")
def fixture_emitted(monkeypatch):
    lines = []
    monkeypatch.setattr(events, "emit", lambda event, **fields: lines.append(
        (event, fields)))
    return lines


def test_a_snapshot_is_loaded_as_it_was_stored(emitted):
    written = learned_state(p=Part({"a": [1, 2.5]}))
    data = written.frame(written.encode_when_due(100.0), WALL_MS)
    part = Part()
    learned_state(p=part).load(messages.Item(KEY, data, 7, 7),
                               WALL_MS + 3000.0)
    assert part.value == {"a": [1, 2.5]}
    assert emitted == [(events.LEARNED_STATE_LOADED, {
        "fence": FENCE, "age_s": 3.0, "bytes": len(data), "parts": ["p"]})]


SECOND_MS = 1000.0


@pytest.mark.parametrize(("value", "reason"), [
    (None, "none"), (b"", "readable"), (snapshot()[:-9], "readable"),
    (b"\xff\xfe\x00", "readable"), (b"[" * 60_000, "readable"),
    (snapshot(parts={"p": math.nan}), "readable"),
    (b"1", "not a snapshot"), (b"[]", "not a snapshot"),
    (b"{}", "not a snapshot"), (b'{"x": [1.0, {}]}', "not a snapshot"),
    (snapshot(kind="another"), "not a snapshot"),
    (snapshot(format=learnedstate.FORMAT + 1), "format"),
    (snapshot(format="9" * 999), "format"),
    (snapshot(fence=FENCE + 1), "fence"), (snapshot(fence="9"), "fields"),
    (snapshot(written_ms="x"), "fields"), (snapshot(parts=[]), "fields"),
    (snapshot(written_ms=[]), "fields"), (snapshot(parts=None), "fields"),
    (snapshot(wall_ms=WALL_MS - 601.0 * SECOND_MS), "old"),
    (snapshot(wall_ms=-1e300), "old"), (snapshot(wall_ms=10 ** 400), "future"),
    (snapshot(wall_ms=WALL_MS + 6.0 * SECOND_MS), "future"),
    (snapshot(parts={"p": "x" * learnedstate.MAX_BYTES}), "bytes"),
], ids=["missing", "empty", "torn", "not-text", "deep", "nan", "number",
        "list", "object", "foreign-object", "foreign-kind", "newer-version",
        "long-version", "later-fence", "fence-type", "time-type",
        "parts-type", "time-list", "no-parts", "old", "very-old",
        "far-future", "future", "oversized"])
def test_a_bad_snapshot_is_ignored_with_one_line(value, reason, emitted):
    """Guards against bad stored state that ends or misleads a term."""
    part = Part("as before")
    learned = learned_state(p=part)
    learned.load(None if value is None else messages.Item(KEY, value, 7, 7),
                 WALL_MS)
    ((event, fields),) = emitted
    assert event is events.LEARNED_STATE_IGNORED
    assert reason in fields["reason"] and len(fields["reason"]) < 400
    assert part.value == "as before"
    assert learned.revision == (0 if value is None else 7)


@pytest.mark.parametrize("wall_ms", [
    WALL_MS - 599.0 * SECOND_MS, WALL_MS, WALL_MS + 4.0 * SECOND_MS])
def test_a_snapshot_within_the_clock_error_is_used(wall_ms, emitted):
    part = Part()
    learned_state(p=part).load(
        messages.Item(KEY, snapshot(wall_ms=wall_ms), 7, 7), WALL_MS)
    assert part.value == {"a": 1}
    assert [event for event, _ in emitted] == [events.LEARNED_STATE_LOADED]


@pytest.mark.parametrize("error", [
    ValueError("bad"), KeyError("x"), RecursionError("deep")])
def test_a_part_that_fails_leaves_the_others_and_the_term_alone(error,
                                                                emitted):
    good, bad = Part({"a": 2}), Part(error)
    learned = learned_state(bad=bad, good=good)
    parts = learned.encode_when_due(100.0)
    assert json.loads(parts) == {"good": {"a": 2}}
    learned.load(messages.Item(KEY, snapshot(
        parts={"good": {"a": 3}, "bad": 1, "unknown": 1}), 7, 7), WALL_MS)
    assert good.value == {"a": 3}
    assert [event for event, _ in emitted] == [
        events.LEARNED_STATE_IGNORED, events.LEARNED_STATE_IGNORED,
        events.LEARNED_STATE_LOADED]
    assert emitted[-1][1]["parts"] == ["good"]


def test_snapshots_stay_within_their_bound(emitted):
    """A part that is too large is left out; others are still stored."""
    learned = learned_state(large=Part("x" * learnedstate.MAX_BYTES),
                            small=Part("x" * (learnedstate.MAX_BYTES - 300)),
                            last=Part("x" * 200))
    for now in (100.0, 200.0):
        parts = learned.encode_when_due(now)
        assert list(json.loads(parts)) == ["small"]
        data = learned.frame(parts, WALL_MS)
        assert len(data) <= learnedstate.MAX_BYTES
    assert learnedstate.parse(data, FENCE, WALL_MS).parts.keys() == {"small"}
    assert len(emitted) == 1


def test_parts_have_unique_names():
    learned = learned_state(p=Part())
    with pytest.raises(ValueError):
        learned.register("p", Part().encode, Part().decode)


class Writer:
    """A recorder with a store, and learned state of one part."""

    def __init__(self, **policy: bool) -> None:
        self.store = fleetfakes.MemoryStore()
        self.fence = self.store.commit(messages.Transaction(
            puts=(messages.Put(records.OWNER_KEY, b"me"),)))
        self.fleet = state_mod.FleetState(
            self.fence, 6000.0, lambda *_: None, fleetfakes.configuration,
            policy_mod.Policy(**policy))
        self.part = Part(1)
        self.fleet.learned.register(
            "p", self.part.encode, self.part.decode)
        self.lost: list[str] = []
        self.recorder = recorder_mod.Recorder(
            self.store, self.fleet, records.OWNER_KEY, lambda: not self.lost,
            self.lost.append, lambda ends: None)
        # The first flush writes the list of workers and the counts.
        assert self.recorder.flush()

    def flush(self, value: object, due: bool = True) -> bool:
        """Set the part's value, and flush when the next write is due."""
        self.part.value = value
        if due:
            self.fleet.learned.encoded_at = 0.0
        return self.recorder.flush()

    def stored(self) -> object:
        """Return the stored value of the part, or None."""
        item = self.store.items.get(KEY)
        return item and json.loads(item.value)["parts"]["p"]


def test_snapshots_are_written_only_when_due_and_changed():
    writer = Writer()
    assert writer.stored() is None
    assert writer.flush(1) and writer.stored() == 1
    revision = writer.store.revision
    assert writer.flush(2, due=False) and writer.flush(1)
    assert writer.store.revision == revision
    assert writer.flush(2) and writer.stored() == 2
    assert writer.fleet.learned.stored_total == 2


def test_nothing_is_written_when_switched_off():
    writer = Writer(keep_learned_state=False)
    assert writer.flush(1) and writer.stored() is None


@pytest.mark.parametrize(("fault", "stored"), [
    ("lose_answers", 2), ("lose_calls", 1), ("keep_late", 1),
    ("refuse", 1)])
def test_a_failed_write_is_made_good_at_the_next_one(fault, stored, emitted):
    """Guards against a snapshot that is never written again after a fault.

    A write without an answer may have been applied, be lost, or be applied
    later; the owner's other writes go on at once.
    """
    writer = Writer()
    assert writer.flush(1)
    setattr(writer.store, fault, 1)
    assert writer.flush(2) and writer.stored() == stored
    writer.store.refuse = False
    writer.store.deliver_late()
    for _ in range(2):
        assert writer.flush(3)
    assert writer.stored() == 3
    assert not writer.lost
    assert [event for event, _ in emitted] == [events.COMMIT_FAILED]


@pytest.mark.parametrize("change", [
    messages.Transaction(puts=(messages.Put(KEY, b"foreign"),)),
    messages.Transaction(removes=(KEY,)),
], ids=["written", "removed"])
def test_a_conflict_on_the_key_does_not_end_the_term(change, emitted):
    writer = Writer()
    assert writer.flush(1)
    writer.store.commit(change)
    assert writer.flush(2)
    item = writer.store.items.get(KEY)
    assert (item and item.value) == (None if change.removes else b"foreign")
    assert writer.flush(2) and writer.stored() == 2
    assert not writer.lost
    assert [event for event, _ in emitted] == [events.COMMIT_FAILED]


def test_a_replaced_owner_writes_no_snapshot():
    """Guards against old state that replaces that of a successor."""
    writer = Writer()
    writer.store.commit(messages.Transaction(
        puts=(messages.Put(records.OWNER_KEY, b"other"),)))
    assert not writer.flush(2)
    assert writer.stored() is None and writer.lost


def busy_estimator(now: float) -> demand.DemandEstimator:
    """Return an estimator that has observed a minute of arrivals."""
    estimator = demand.DemandEstimator()
    estimator.start_observing(now - 60.0)
    for second in range(60):
        estimator.add_job(fleetfakes.job("j", STEP), now - 60.0 + second)
        estimator.add_job(fleetfakes.job("l", messages.Step(
            4, messages.Resources(2000, 10), perpetual=True)),
            now - 60.0 + second)
        estimator.add_run("checks", 1.2)
    return estimator


@pytest.mark.parametrize("clock_offset_s", [0.0, 1e6, -4000.0])
def test_demand_is_the_same_on_another_processes_clock(clock_offset_s):
    now = 5000.0
    estimator, copy = busy_estimator(now), demand.DemandEstimator()
    later = now + clock_offset_s
    copy.decode(json.loads(json.dumps(estimator.encode(now))), later)
    copy.start_observing(later)
    for answer in (lambda e, at: e.kept_cpu(0, 1e6, at),
                   lambda e, at: e.kept_cpu(0, 1e6, at + 20.0),
                   lambda e, at: e.kept_for_new_jobs_cpu(1e6, at),
                   lambda e, at: e.mean_task_cpu(0),
                   lambda e, at: e.run_times["checks"].mean()):
        assert answer(copy, later) == pytest.approx(
            answer(estimator, now), rel=0.001)


def test_demand_of_an_idle_fleet_settles():
    """An idle fleet must not write a snapshot every few seconds."""
    estimator = busy_estimator(5000.0)
    assert estimator.encode(9000.0) == estimator.encode(9005.0)
    assert demand.DemandEstimator().encode(5.0) == {}


VALID = busy_estimator(5000.0).encode(5000.0)


@pytest.mark.parametrize("value", [
    None, 1, "x", [1], {"observed_s": 1.0}, {**VALID, "observed_s": -1.0},
    {**VALID, "observed_s": "1"}, {**VALID, "observed_s": math.nan},
    {**VALID, "batches": math.inf}, {**VALID, "last_batch_s": 10 ** 400},
    {**VALID, "arrivals": []}, {**VALID, "arrivals": {"x": [1, 1, 1]}},
    {**VALID, "arrivals": {"0": [1, 1]}}, {**VALID, "arrivals": {"0": 1}},
    {**VALID, "arrivals": {"0": [1, 1, 1, 1]}},
    {**VALID, "run_times": {"q": [1.0]}}, {**VALID, "run_times": {"q": 1}},
    {**VALID, "run_times": {"q": [1.0, demand.MEAN_WINDOW + 1]}},
    {**VALID, "run_times": {str(n): [1.0, 1] for n in range(101)}},
    {**VALID, "majority_cpu": [None, 1]},
])
def test_invalid_demand_is_refused_whole(value):
    estimator = busy_estimator(100.0)
    before = estimator.encode(100.0)
    with pytest.raises(ValueError):
        estimator.decode(value, 100.0)
    assert estimator.encode(100.0) == before


def test_largest_parts_fit_into_a_snapshot():
    fleet = Writer().fleet
    fleet.demand = busy_estimator(clock.now())
    for number in range(runtimes.MAX_QUEUES):
        for sample in range(runtimes.MIN_SAMPLES):
            run_s = 1.2345678 * (1 + sample)
            fleet.run_times.record(f"queue-of-a-team-{number}", STEP, run_s)
            fleet.demand.add_run(f"queue-of-a-team-{number}", run_s)
    fleet.worker_speeds.degraded = {
        f"worker-of-a-long-name-{number:08}": workerspeed.WorkerRecord(
            1764800000000 + number, workerspeed.USED_LESS, factor=12.34)
        for number in range(workerspeed.MAX_ENCODED_WORKERS + 50)}
    fleet.learned.encoded_at = 0.0
    parts = json.loads(fleet.learned.encode_when_due(clock.now()))
    assert list(parts) == ["run_times", "demand", "recent_peak",
                           "worker_speeds", "p"]
    assert (len(parts["worker_speeds"])
            == workerspeed.MAX_ENCODED_WORKERS)


@pytest.fixture(name="fleet")
def fixture_fleet(monkeypatch):
    monkeypatch.setattr(learnedstate, "WRITE_PERIOD_S", 0.05)
    fleet = test_fleet_takeover.Fleet()
    yield fleet
    if fleet.owner is not None:
        fleet.owner.step_down("test over")


def run_job(fleet: test_fleet_takeover.Fleet, job_id: str) -> None:
    """Submit a job of 30 tasks with a bad estimate, and let all end."""
    fleet.submit(fleetfakes.job(job_id, messages.Step(
        30, messages.Resources(100, 10), 60_000)))
    for number in range(30):
        name = f"{job_id}.0.0.{number}"
        test_fleet_takeover.wait_for(
            lambda name=name: name in fleet.running())
        test_fleet_takeover.finish(fleet, name)
    test_fleet_takeover.wait_for(
        lambda: fleet.state(job_id) == messages.COMPLETED)


def wait_for_stored_run_times(fleet: test_fleet_takeover.Fleet) -> None:
    """Wait until the stored snapshot holds run times of the queue."""
    def is_stored() -> bool:
        item = fleet.store.items.get(KEY)
        return item is not None and b'"0checks"' in item.value
    test_fleet_takeover.wait_for(is_stored)


@pytest.mark.parametrize("dies_between_writes", [False, True])
def test_a_successor_knows_what_its_predecessor_learned(
        fleet, dies_between_writes, emitted, monkeypatch):
    """Take over with the run times and demand of the first owner.

    An owner that dies between two writes leaves the one before.
    """
    first = fleet.take_over()
    run_job(fleet, "a")
    wait_for_stored_run_times(fleet)
    if dies_between_writes:
        monkeypatch.setattr(learnedstate, "WRITE_PERIOD_S", 1e9)
        run_job(fleet, "b")
    first.step_down("killed")
    second = fleet.take_over()
    test_fleet_takeover.wait_for(lambda: second.recovered)
    step = messages.Step(1, estimate_ms=60_000)
    run_times = second.fleet.run_times
    assert not run_times.trusts_estimate("checks", step)
    assert run_times.expected_s("checks", step) < 10.0
    # At most the 30 runs of the first job: those of job b were not stored.
    assert 20 <= second.fleet.demand.run_times["checks"].count <= 30
    assert events.LEARNED_STATE_LOADED in [event for event, _ in emitted]
    run_job(fleet, "c")


@pytest.mark.parametrize("value", [
    b"{", snapshot(), snapshot(wall_ms=clock.wall_ms(), fence=1, parts={
        "run_times": {"0checks": [[0.0] * 20, []]},
        "demand": {"observed_s": "x"}})], ids=["torn", "old", "bad-parts"])
def test_a_term_goes_on_after_a_bad_snapshot(fleet, value, emitted):
    fleet.store.commit(messages.Transaction(puts=(
        messages.Put(KEY, value),)))
    owner = fleet.take_over()
    run_job(fleet, "a")
    assert events.LEARNED_STATE_IGNORED in [event for event, _ in emitted]
    wait_for_stored_run_times(fleet)
    assert not owner.stepped_down.is_set()
