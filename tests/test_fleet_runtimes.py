"""Test the model of run times and the decisions that are based on it."""

import math
import random

import pytest

from sycamorefield import events
from sycamorefield.fleet import demand
from sycamorefield.fleet import messages
from sycamorefield.fleet import ordering
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.fleet import progress
from sycamorefield.fleet import runtimes
from sycamorefield.fleet import stragglers
from tests import fleetfakes
from tests import test_fleet_state

QUEUE = "checks"
RESOURCES = messages.Resources(1000, 1000)
# The middle of the run times in these tests, in seconds.
TYPICAL_S = 0.9
NOW_S = 100.0


def step(estimate_ms: int = 900, **options) -> messages.Step:
    return messages.Step(1, RESOURCES, estimate_ms, **options)


def run_seconds(rng: random.Random, long_share: float = 0.0) -> float:
    """Return a run time that varies by a third; some are 7 times as long."""
    factor = 7.0 if rng.random() < long_share else 1.0
    return factor * TYPICAL_S * rng.lognormvariate(0.0, 0.3)


def estimate_ms(rng: random.Random, run_s: float, error: float) -> int:
    """Return an estimate that is off by up to a share; 0 for no estimate."""
    if error < 0.0:
        return 0
    return max(1, int(1000.0 * run_s * (1.0 + error * rng.uniform(-1, 1))))


class Clock:
    """A clock that advances by a fixed time at each reading."""

    def __init__(self, step_s: float = 0.05) -> None:
        self.now_s = NOW_S
        self.step_s = step_s

    def __call__(self) -> float:
        self.now_s += self.step_s
        return self.now_s


def trained(error: float, long_share: float = 0.0, samples: int = 400,
            seed: int = 1, **options) -> runtimes.RunTimeModel:
    """Return a model that has seen runs with estimates of some error."""
    rng = random.Random(seed)
    model = runtimes.RunTimeModel(now=Clock(), **options)
    for _ in range(samples):
        run_s = run_seconds(rng, long_share)
        model.record(QUEUE, step(estimate_ms(rng, run_s, error)), run_s)
    return model


@pytest.mark.parametrize(("error", "long_share", "samples", "trusted"), [
    (0.0, 0.0, 400, True),
    (0.2, 0.0, 400, True),
    (0.2, 0.03, 400, True),
    (0.9, 0.0, 400, False),
    (0.9, 0.03, 400, False),
    (0.9, 0.0, runtimes.MIN_SAMPLES - 1, True),
    (-1.0, 0.0, 400, False),
], ids=["exact", "good", "good-some-long", "bad", "bad-some-long",
        "few-samples", "missing"])
def test_estimates_are_used_unless_seen_to_be_bad(
        error, long_share, samples, trusted):
    """Guards against other answers than declared where estimates are good."""
    model = trained(error, long_share, samples)
    assert model.trusts_estimate(QUEUE, step()) is trusted
    assert (model.version(QUEUE) == 0) is trusted
    for declared_ms in (0, 1, 250, 640, 12_345):
        answers = (model.expected_ms(QUEUE, step(declared_ms)),
                   model.mean_s(QUEUE, step(declared_ms)),
                   model.quantile_s(QUEUE, step(declared_ms), 0.9))
        declared = (declared_ms, declared_ms / 1000.0, declared_ms / 1000.0)
        assert (answers == declared) is trusted


@pytest.mark.parametrize(("error", "long_share", "declared_ms"), [
    (0.9, 0.0, 90), (0.9, 0.0, 9000), (0.9, 0.03, 90),
    (-1.0, 0.0, 0), (-1.0, 0.03, 0), (0.9, 0.03, 0),
], ids=["too-low", "too-high", "some-long", "missing", "missing-some-long",
        "one-missing"])
def test_bad_estimates_are_corrected_towards_the_run_times(
        error, long_share, declared_ms):
    model = trained(error, long_share)
    expected_s = model.expected_s(QUEUE, step(declared_ms))
    assert 0.5 * TYPICAL_S < expected_s < 2.0 * TYPICAL_S
    assert (model.quantile_s(QUEUE, step(declared_ms), 0.1) < expected_s
            < model.quantile_s(QUEUE, step(declared_ms), 0.9))


def test_estimates_that_are_off_by_a_factor_are_scaled():
    """Estimates in another unit still tell short tasks from long ones."""
    rng = random.Random(2)
    model = runtimes.RunTimeModel(now=Clock())
    for _ in range(300):
        run_s = rng.choice((0.2, 1.0, 5.0)) * rng.uniform(0.9, 1.1)
        model.record(QUEUE, step(int(run_s * 10_000)), run_s)
    for run_s in (0.2, 1.0, 5.0):
        expected_s = model.expected_s(QUEUE, step(int(run_s * 10_000)))
        assert expected_s == pytest.approx(run_s, rel=0.15)


def test_few_long_runs_raise_the_mean_but_not_the_median():
    """Demand follows from the mean, and would be too low by the median."""
    model = trained(-1.0, 0.1)
    assert (model.mean_s(QUEUE, step(0))
            > 1.3 * model.expected_s(QUEUE, step(0)))


def test_old_run_times_are_dropped():
    """Follow a queue whose tasks get longer, and estimates that get good."""
    model = trained(-1.0)
    for _ in range(2 * runtimes.WINDOW):
        model.record(QUEUE, step(9000), 9.0)
    assert model.trusts_estimate(QUEUE, step())
    known = model.queues[QUEUE, False]
    assert known.run_s.count() == known.ratios.count() == runtimes.WINDOW
    assert known.run_s.ordered == sorted(known.run_s.recent)
    assert known.run_s.quantile(0.01) == 9.0


def test_window_of_a_busy_queue_covers_seconds():
    """The window of a queue with many ends must hold many steps.

    At 500 ends per second, 200 run times in a row come from ten steps.
    """
    model = runtimes.RunTimeModel(now=Clock(0.002))
    for number in range(10_000):
        model.record(QUEUE, step(0), 1.0 + number * 0.002)
    oldest_s, *_, newest_s = model.queues[QUEUE, False].run_s.recent
    assert 8.0 < newest_s - oldest_s < 12.0


@pytest.mark.parametrize(("run_s", "declared_ms"), [
    (0.0, 900), (-1.0, 900), (math.nan, 900), (math.inf, 900), (1e9, 900),
    (0.9, 0), (0.9, -5), (0.9, 10 ** 400), (1e-300, 10 ** 30), (1e5, 1),
], ids=["zero", "negative", "nan", "infinite", "too-long", "no-estimate",
        "negative-estimate", "huge-estimate", "tiny-ratio", "large-ratio"])
def test_bad_values_do_not_break_the_model(run_s, declared_ms):
    model = trained(0.9)
    for _ in range(300):
        model.record(QUEUE, step(declared_ms), run_s)
    for asked_ms in (declared_ms, 900):
        asked = step(asked_ms)
        assert math.isfinite(model.expected_s(QUEUE, asked))
        assert math.isfinite(model.mean_s(QUEUE, asked))
        assert math.isfinite(model.quantile_s(QUEUE, asked, 0.95))
        assert math.isfinite(model.remaining_s(QUEUE, asked, 1.0, 0))


@pytest.mark.parametrize(
    ("long_share", "elapsed_s", "percent", "least_s", "most_s"), [
        (0.0, 0.0, 0, 0.6, 1.3), (0.0, 2.0, 50, 2.0, 2.0),
        (0.0, 2.0, 100, 0.0, 0.0), (0.0, 2.0, 101, 0.1, 2.0),
        (0.0, 2.0, -1, 0.1, 2.0), (0.03, 2.5, 0, 1.5, 6.0),
        (0.03, 2.5, 2, 1.5, 6.0), (0.0, 50.0, 0, 50.0, 50.0),
    ], ids=["new", "by-progress", "complete", "over-100", "negative",
            "by-longer-runs", "little-progress", "longer-than-all"])
def test_remaining_time_follows_progress_or_longer_runs(
        long_share, elapsed_s, percent, least_s, most_s):
    model = trained(0.9, long_share)
    assert least_s <= model.remaining_s(
        QUEUE, step(), elapsed_s, percent) <= most_s


@pytest.mark.parametrize("error", [0.2, 0.9, -1.0])
def test_encoded_model_gives_about_the_same_answers(error):
    model, copy = trained(error, 0.03), runtimes.RunTimeModel(now=Clock())
    copy.decode(model.encode())
    assert copy.trusts_estimate(QUEUE, step()) == model.trusts_estimate(
        QUEUE, step())
    assert copy.expected_s(QUEUE, step()) == pytest.approx(
        model.expected_s(QUEUE, step()), rel=0.25)


@pytest.mark.parametrize("value", [
    None, 1, "text", [1], {"0checks": 1}, {"0checks": [[1.0]]},
    {"0checks": [[1.0] * 20, [1.0] * 3]}, {"0checks": [["1"] * 20, []]},
    {"0checks": [[0.0] * 20, []]}, {"0checks": [[math.nan] * 20, []]},
    {"0checks": [[math.inf] * 20, []]}, {"0checks": [[10 ** 400] * 20, []]},
    {"0checks": [[None] * 20, []]}, {"0checks": "ab"},
    {f"0q{n}": [[], []] for n in range(runtimes.MAX_ENCODED_QUEUES + 1)},
])
def test_invalid_encoded_models_are_refused_whole(value):
    model = trained(0.9)
    expected_s = model.expected_s(QUEUE, step())
    with pytest.raises(ValueError):
        model.decode(value)
    assert model.expected_s(QUEUE, step()) == expected_s
    assert len(model.queues) == 1


def test_number_of_queues_is_bounded():
    model = runtimes.RunTimeModel(now=Clock())
    for number in range(runtimes.MAX_QUEUES + 5):
        for _ in range(runtimes.MIN_SAMPLES):
            model.record(f"q{number}", step(), 1.0)
    assert len(model.queues) == runtimes.MAX_QUEUES
    assert len(model.encode()) == runtimes.MAX_ENCODED_QUEUES
    assert model.expected_s("q204", step(500)) == 0.5


def test_changes_of_a_queue_are_logged_seldom(monkeypatch):
    """A queue whose estimates change all the time must not fill the log."""
    emitted = []
    monkeypatch.setattr(events, "emit",
                        lambda event, **fields: emitted.append(event))
    model = runtimes.RunTimeModel(now=Clock(0.05))
    for block in range(8):
        for number in range(400):
            run_s = 1.0 + number % 10 if block % 2 else 1.0
            model.record(QUEUE, step(1000), run_s)
    assert emitted[:2] == [events.ESTIMATES_BAD, events.ESTIMATES_GOOD]
    assert len(emitted) <= 8 * 400 * 0.05 / runtimes.EVENT_PERIOD_S + 1


def test_a_model_that_is_switched_off_learns_nothing():
    model = trained(0.9, enabled=False)
    model.decode(trained(0.9).encode())
    assert model.expected_ms(QUEUE, step(123)) == 123
    assert not model.queues and not model.encode()


def end_one_run(how=messages.DONE, known_start=True, saved="", paced=False,
                perpetual=False, policy=policy_mod.Policy()) -> int:
    """Let one run end, and return how many run times were recorded."""
    bench = test_fleet_state.Bench(fleetfakes.entry(0), policy=policy)
    bench.add(fleetfakes.job("j", messages.Step(
        1, RESOURCES, 900, perpetual=perpetual, checkpoint=True)))
    if saved:
        bench.state.jobs["j"].create_tasks(0)
        bench.state.jobs["j"].tasks[0, 0][0].saved = saved
    bench.place()
    task = bench.state.jobs["j"].tasks[0, 0][0]
    if not known_start:
        task.phase = progress.STARTING
        bench.report("i-0", [messages.RunningTask(task.task, 1, "", 0)])
    if paced:
        # pylint: disable=protected-access
        bench.state.pacer._send_paces(
            bench.state.workers["i-0"], [task], [50], bench.now)
        task.pace_percent = 100
    bench.end("i-0", "j.0.0.0", 1, how)
    return bench.state.run_times.recorded_total


@pytest.mark.parametrize(("options", "recorded"), [
    ({}, 1), ({"how": messages.FAILED}, 0), ({"how": "stopped"}, 0),
    ({"known_start": False}, 0), ({"saved": "s1"}, 0), ({"paced": True}, 0),
    ({"perpetual": True}, 0),
    ({"policy": policy_mod.Policy(learn_run_times=False)}, 0),
], ids=["done", "failed", "stopped", "unknown-start", "resumed", "throttled",
        "long-running", "switched-off"])
def test_only_whole_runs_at_full_pace_are_recorded(options, recorded):
    """Guards against run times that tell nothing of the task's length."""
    assert end_one_run(**options) == recorded


def test_run_whose_start_was_repeated_is_not_recorded():
    """The first call may have begun the run long before the answer."""
    bench = test_fleet_state.Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("j"))
    bench.now += 0.1
    test_fleet_state.rounds.place(bench.state, bench.now, 1e12)
    ((worker_id, order),) = bench.orders
    answers = test_fleet_state.answers
    assert answers.should_repeat(bench.state, worker_id, order)
    answers.record_started(bench.state, worker_id, order, bench.now)
    bench.end("i-0", "j.0.0.0", 1, messages.DONE)
    assert not bench.state.run_times.recorded_total


def running_task(elapsed_s: float, percent: int,
                 declared_ms: int) -> progress.TaskState:
    task = progress.TaskState(
        messages.TaskId("j", 0, 0, 0), step(declared_ms))
    task.phase = progress.RUNNING
    task.started_at = NOW_S - elapsed_s
    task.percent = percent
    return task


@pytest.mark.parametrize(
    ("error", "declared_ms", "elapsed_s", "percent", "stuck", "by_estimate"), [
        (0.9, 90, 1.1, 0, False, True),
        (0.9, 90, 1.1, 60, False, True),
        (0.9, 900, 20.0, 0, True, True),
        (0.9, 900, 2.5, 10, True, True),
        (0.9, 900, 2.5, 70, False, False),
        (-1.0, 0, 1.1, 0, False, False),
        (-1.0, 0, 20.0, 0, True, False),
        (0.2, 900, 1.6, 0, True, True),
        (0.2, 900, 1.6, 60, False, False),
        (0.2, 0, 20.0, 0, False, False),
    ], ids=["too-low-no-progress", "too-low-sound", "hangs", "slow",
            "nearly-done", "missing-sound", "missing-hangs", "good-hangs",
            "good-sound", "good-one-missing"])
def test_sound_long_runs_are_not_stuck(error, declared_ms, elapsed_s, percent,
                                       stuck, by_estimate):
    """Guards against restarts of sound runs with estimates far too low."""
    task = running_task(elapsed_s, percent, declared_ms)
    assert stragglers.is_stuck(
        task, NOW_S, QUEUE, trained(error)) is stuck
    assert stragglers.is_stuck(task, NOW_S) is by_estimate


QUEUES = {QUEUE: messages.Queue(QUEUE, "h", "/c/", "desk", 0, 2,
                                stretch=1.5, slo_ms=300.0)}


def finite_job(declared_ms: int, accepted_ms: float = 0.0,
               name: str = "j") -> progress.JobState:
    return progress.JobState(fleetfakes.job(
        name, step(declared_ms), accepted_ms=accepted_ms), 1)


@pytest.mark.parametrize(("error", "declared_ms", "waited_ms", "expected"), [
    (0.9, 90, 800, ordering.ON_TIME),
    (0.9, 90_000, 30_000, ordering.TOO_LATE),
    (-1.0, 0, 800, ordering.ON_TIME),
    (0.2, 90, 500, ordering.LATE),
    (0.2, 90_000, 30_000, ordering.ON_TIME),
], ids=["too-low", "too-high", "missing", "good-short", "good-long"])
def test_lateness_follows_learnt_run_times(error, declared_ms, waited_ms,
                                           expected):
    assert ordering.lateness(finite_job(declared_ms), QUEUES[QUEUE],
                             waited_ms, trained(error)) == expected


def test_critical_path_is_cached_until_predictions_change():
    model = trained(0.9)
    state = finite_job(90)
    ordering.lateness(state, QUEUES[QUEUE], 0.0, model)
    learnt_ms = state.critical_path_ms
    state.critical_path_ms = 1.0
    ordering.lateness(state, QUEUES[QUEUE], 0.0, model)
    assert state.critical_path_ms == 1.0
    for _ in range(runtimes.WINDOW):
        model.record(QUEUE, step(0), 30.0)
    ordering.lateness(state, QUEUES[QUEUE], 0.0, model)
    assert state.critical_path_ms > 5.0 * learnt_ms
    assert state.remaining_critical_path_ms() == state.critical_path_ms


@pytest.mark.parametrize(("error", "run_s"), [(0.2, 0.09), (0.9, TYPICAL_S)])
def test_demand_uses_learnt_run_times_where_estimates_are_bad(error, run_s):
    estimator = demand.DemandEstimator(trained(error))
    estimator.start_observing(0.0)
    estimator.add_job(fleetfakes.job("j", step(90)), 0.0)
    assert estimator.arrivals[0].cpu_s == pytest.approx(
        1000.0 * run_s, rel=0.6)
