"""Test that workers on which runs are slow, fail or hang are used less."""

import dataclasses
import json

import pytest

from sycamorefield.fleet import messages
from sycamorefield.fleet import placing
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.fleet import progress
from sycamorefield.fleet import runtimes
from sycamorefield.fleet import waitingreasons
from sycamorefield.fleet import workerspeed
from sycamorefield.fleet import workerstate
from tests import fleetfakes
from tests import test_fleet_state

ROOM = messages.Resources(1000, 10)
STEP = messages.Step(20, ROOM, 1000)
DONE, FAILED, RUNNING = messages.DONE, messages.FAILED, workerspeed.RUNNING
LESS, EXCLUDED, TRIAL = workerspeed.LEVELS


class Speeds:
    """Worker speeds of some workers, fed with ends of runs."""

    def __init__(self, workers: int = 10, known_s: float = 1.0,
                 enabled: bool = True) -> None:
        self.now = 1000.0
        model = runtimes.RunTimeModel(now=lambda: self.now)
        for _ in range(runtimes.MIN_SAMPLES if known_s else 0):
            model.record("q", STEP, known_s)
        self.speeds = workerspeed.WorkerSpeeds(model, enabled)
        self.workers = {}
        for number in range(workers):
            worker = workerstate.WorkerState(fleetfakes.entry(number))
            worker.born_ms = 5
            worker.has_reported = True
            self.workers[worker.entry.worker_id] = worker
        self.tasks = 0

    def run(self, number, job, run_s=1.0, outcome=DONE, step=STEP, percent=0,
            **attributes) -> None:
        """Play one run of a new task, up to its end or in progress."""
        worker = self.workers[f"i-{number}"]
        self.tasks += 1
        task = progress.TaskState(
            messages.TaskId(job, 0, 0, self.tasks), step)
        task.phase, task.run, task.measurable = progress.RUNNING, 1, True
        task.started_at = self.now
        for name, value in attributes.items():
            setattr(task, name, value)
        self.now += run_s
        if outcome == RUNNING:
            task.percent = percent
            self.speeds.note_progress(worker, "q", task, self.now)
        else:
            self.speeds.note_end(
                worker, "q", task, 1, outcome,
                task.started_at if task.measurable else 0.0, self.now)

    def place(self) -> list[str]:
        """Return the workers that a round may not use."""
        return sorted(self.speeds.update_excluded(
            self.workers, list(self.workers.values()), self.now))

    def level(self, number) -> str:
        record = self.speeds.degraded.get(f"i-{number}")
        return record.level if record else ""

    def make_excluded(self, number=0) -> None:
        for job in "abcd":
            self.run(number, f"{job}{number}", 0.5, FAILED)
        assert self.level(number) == EXCLUDED


def siblings(job, run_s, count=3):
    """Return runs of a job on as many other workers."""
    return [(number + 1, job, run_s) for number in range(count)]


SLOW_RUNS = [(0, job, 2.2) for job in "abcd"]
THROTTLED = {"measurable": False}
FILLS = dataclasses.replace(STEP, fills=True)
GANG = dataclasses.replace(STEP, gang=True)


@pytest.mark.parametrize(("runs", "options", "level"), [
    (SLOW_RUNS[:2], {}, ""),
    ([(0, job, 5.0) for job in "abcd"], {}, EXCLUDED),
    ([(0, "a", 5.0)], {}, ""),
    (SLOW_RUNS[:3], {}, LESS),
    (SLOW_RUNS, {}, EXCLUDED),
    (SLOW_RUNS, {"known_s": 0.0}, ""),
    (SLOW_RUNS, {"enabled": False}, ""),
    ([(0, job, 1.8) for job in "abcd"], {}, ""),
    ([(0, "a", 1.0)] * 5 + [(0, "b", 7.0)], {}, ""),
    ([(0, job, 1.0) for job in "abcde"] + SLOW_RUNS[:3], {}, ""),
    # Slow against the other tasks of their step, whatever the model expects.
    (siblings("a", 0.2) + [(0, "a", 1.0)] * 3, {}, LESS),
    (siblings("a", 0.2) + [(0, "a", 1.0)] * 3, {"known_s": 0.0}, LESS),
    (siblings("a", 0.2, 2) + [(0, "a", 1.0)] * 3, {"known_s": 0.0}, ""),
    # Steps that are slow on each worker.
    (siblings("a", 7.0) + [(0, "a", 7.0)] * 5, {}, ""),
    ([(0, "a", 7.0)] * 5, {}, ""),
    ([(0, "a", 7.0)] * 3 + siblings("a", 7.0) + [(0, "b", 7.0)] * 3, {}, ""),
    ([(0, job, 7.0, DONE, STEP, 0, THROTTLED) for job in "abcd"], {}, ""),
    ([(0, job, 7.0, RUNNING, STEP, 0, {"pace_percent": 50})
      for job in "abcd"], {}, ""),
    ([(0, job, 7.0, DONE, GANG) for job in "abcd"], {}, ""),
    ([(0, job, 0.1, FAILED, FILLS, 0, THROTTLED) for job in "abcd"], {}, ""),
    ([(0, job, 0.1, FAILED) for job in "ab"], {}, ""),
    ([(0, job, 0.1, FAILED) for job in "abc"], {}, LESS),
    ([(0, job, 0.1, outcome) for job, outcome in zip(
        "abcdefg", [FAILED, DONE, DONE] * 3)], {}, LESS),
    # A step that fails on each worker, and on this one as far as is known.
    ([(n, "a", 0.1, FAILED) for n in (1, 2, 0, 0, 0, 0)], {}, ""),
    ([(0, "a", 0.1, FAILED)] * 4, {}, ""),
    (siblings("a", 0.1) + [(0, "a", 0.1, FAILED)] * 4, {}, EXCLUDED),
    # Hanging, slow by progress, and long but as far as expected.
    ([(0, job, 2.2, RUNNING) for job in "abcd"], {}, EXCLUDED),
    ([(0, job, 2.2, RUNNING, STEP, 40) for job in "abc"], {}, LESS),
    ([(0, job, 1.1, RUNNING, STEP, 20) for job in "abc"], {}, LESS),
    ([(0, job, 0.4, RUNNING, STEP, 5) for job in "abc"], {}, ""),
    ([(0, job, 0.9, RUNNING, STEP, 20) for job in "abc"], {}, ""),
    ([(0, job, 1.5, RUNNING, STEP, 80) for job in "abc"], {}, ""),
], ids=str)
def test_workers_are_judged_by_several_runs(runs, options, level):
    """Guards against slow workers in full use, and sound ones out of use."""
    speeds = Speeds(**options)
    for number, job, run_s, *rest in runs:
        attributes = rest.pop() if rest and isinstance(rest[-1], dict) else {}
        speeds.run(number, job, run_s, *rest, **attributes)
    assert speeds.level(0) == level
    assert not any(speeds.level(n) for n in range(1, 10))
    assert speeds.place() == (["i-0"] if level == EXCLUDED else [])
    assert speeds.workers["i-0"].slow == (level != "")


def test_one_task_alone_does_not_judge_a_worker():
    """Guards against a worker used less for a task that fails anywhere."""
    speeds = Speeds()
    for run in range(5):
        for number, job, run_s in siblings("a", 1.0):
            speeds.run(number, job, run_s)
        speeds.tasks = 99
        speeds.run(0, "a", 0.1, FAILED)
    assert not speeds.level(0)


def test_in_progress_run_counts_once():
    """Guards against one hanging run that each report counts again."""
    speeds = Speeds()
    for _ in range(5):
        speeds.tasks = 7
        speeds.run(0, "a", 3.0, RUNNING)
    assert not speeds.level(0)


@pytest.mark.parametrize(("trials", "levels"), [
    ([DONE, DONE], [TRIAL, ""]),
    ([FAILED], [EXCLUDED]),
    ([DONE, FAILED], [TRIAL, EXCLUDED]),
])
def test_excluded_worker_is_tried_with_one_run(trials, levels):
    """Guards against many runs at once on a worker that may still be slow."""
    speeds = Speeds()
    speeds.make_excluded()
    assert speeds.place() == ["i-0"]
    speeds.now += workerspeed.EXCLUSION_S
    worker = speeds.workers["i-0"]
    for trial, level in zip(trials, levels):
        assert speeds.place() == []
        run = (messages.TaskId("t", 0, 0, speeds.tasks + 1), 1)
        assert worker.accepts_starts()
        worker.reserve(run, STEP, None)
        worker.trial_run = run
        assert not worker.accepts_starts()
        assert speeds.place() == ["i-0"]
        speeds.run(0, "t", 1.0, trial)
        worker.release(run, STEP)
        assert speeds.level(0) == level
    assert worker.slow == (levels[-1] != "")
    speeds.now += workerspeed.EXCLUSION_S
    # After a failed trial the worker is excluded for longer.
    assert speeds.place() == (["i-0"] if levels[-1] else [])


def test_recovered_worker_is_back_after_two_good_runs():
    speeds = Speeds()
    for job in "abc":
        speeds.run(0, job, 5.0)
    speeds.run(0, "d", 1.0)
    assert speeds.level(0) == LESS
    speeds.run(0, "e", 1.0)
    assert speeds.level(0) == ""
    assert not speeds.workers["i-0"].slow


def test_worker_without_runs_is_used_again():
    """Guards against a worker that is ranked last for ever."""
    speeds = Speeds()
    speeds.make_excluded()
    speeds.now += workerspeed.EXCLUSION_S
    speeds.place()
    assert speeds.level(0) == TRIAL
    speeds.now += workerspeed.FORGET_S + 0.1
    speeds.place()
    assert not speeds.level(0) and not speeds.workers["i-0"].slow


@pytest.mark.parametrize("ends_first", [False, True])
def test_next_life_of_a_worker_is_not_slow(ends_first):
    """Guards against exclusion of a worker restarted under its ID."""
    speeds = Speeds()
    speeds.make_excluded()
    speeds.place()
    worker = speeds.workers["i-0"]
    worker.begin_life(6, speeds.now)
    if ends_first:
        speeds.run(0, "n", 1.0)
    assert speeds.place() == []
    assert not speeds.level(0) and not worker.slow


@pytest.mark.parametrize(("workers", "slow", "excluded"), [
    (4, 1, 0), (5, 1, 1), (10, 3, 2), (20, 8, 4)])
def test_few_workers_are_excluded_at_once(workers, slow, excluded):
    """Guards against a fleet without capacity; the slowest are excluded."""
    speeds = Speeds(workers)
    for number in range(slow):
        for job in range(4):
            # All runs begin at once.
            speeds.now = 1000.0
            speeds.run(number, f"{number}-{job}", 2.1 + number / 9, RUNNING)
    assert [speeds.level(n) for n in range(slow)] == [EXCLUDED] * slow
    assert speeds.place() == sorted(
        f"i-{n}" for n in range(slow - excluded, slow))
    # The others are still used, but as the last ones.
    assert all(speeds.workers[f"i-{n}"].slow for n in range(slow))


def test_limit_holds_for_each_service():
    """Guards against a small service that loses all of its workers."""
    speeds = Speeds(20)
    for number in (0, 1):
        worker = speeds.workers[f"i-{number}"]
        worker.entry = dataclasses.replace(worker.entry, service="small")
        speeds.make_excluded(number)
    assert speeds.place() == []


def test_slow_worker_is_ranked_behind_equal_ones():
    slow, other = (workerstate.WorkerState(fleetfakes.entry(n))
                   for n in (0, 1))
    task = progress.TaskState(messages.TaskId("j", 0, 0, 0), STEP)
    model = test_fleet_state.Bench().state.interference_model
    assert placing.choose(task, "desk", [slow, other], model) is slow
    slow.slow = True
    assert placing.choose(task, "desk", [slow, other], model) is other
    assert placing.choose(task, "desk", [slow], model) is slow


def test_speeds_outlive_the_owner():
    """Guards against a successor that uses workers known to be slow."""
    speeds = Speeds()
    speeds.make_excluded()
    for job in "abc":
        speeds.run(1, job, 5.0)
    # The runs above last longer than the exclusion of i-0.
    speeds.make_excluded(2)
    encoded = json.loads(json.dumps(speeds.speeds.encode(speeds.now)))
    successor = Speeds()
    successor.now = 20.0
    successor.speeds.decode(encoded, successor.now)
    assert [successor.level(n) for n in range(3)] == [
        EXCLUDED, LESS, EXCLUDED]
    assert successor.place() == ["i-2"]
    assert successor.level(0) == TRIAL
    successor.workers["i-2"].born_ms = 6
    assert successor.place() == []
    assert not successor.level(2)


@pytest.mark.parametrize("gang", [False, True])
def test_round_starts_one_run_on_a_worker_on_trial(gang):
    """Guards against a trial with as many runs as fit into one round."""
    bench = test_fleet_state.Bench(*(fleetfakes.entry(n) for n in range(5)))
    speeds = bench.state.worker_speeds
    speeds.decode({"i-0": [0, TRIAL, 5.0, 0.0, 0.0]}, bench.now)
    bench.add(fleetfakes.job("j", messages.Step(
        17, messages.Resources(1000, 10), 1000, gang=gang)))
    placed = bench.place()
    # Four runs fit on each of the others.
    assert len(placed) == 17
    trials = [name for name in placed if "@i-0" in name]
    assert len(trials) == 1
    bench.add(fleetfakes.job("k", messages.Step(1, ROOM, 1000)), 21)
    assert not bench.place()
    assert speeds.excluded == {"i-0"}
    # A trial run that ends without a result frees the trial for another.
    state = bench.state
    task = state.find(next(iter(state.workers["i-0"].tasks))[0])[1]
    state.workers["i-0"].release((task.task, task.run), task.step)
    assert bench.place() == ["k.0.0.0@i-0"]


def slow_bench(workers, levels):
    """Return a bench of some workers and record the levels of the first."""
    bench = test_fleet_state.Bench(*(fleetfakes.entry(
        n, labels=("a", "big") if n < 2 else ("a",)) for n in range(workers)))
    bench.state.worker_speeds.decode(
        {f"i-{n}": [0, level, 5.0, 0.0, 9.0]
         for n, level in enumerate(levels)}, bench.now)
    return bench


@pytest.mark.parametrize("level", [EXCLUDED, TRIAL])
@pytest.mark.parametrize("gang", [False, True])
def test_long_running_task_that_ran_restarts_on_a_slow_worker(level, gang):
    """Guards against tasks that are down beside an excluded worker."""
    bench = slow_bench(5, [level])
    step = messages.Step(1, ROOM, perpetual=True, gang=gang)
    bench.add(fleetfakes.job("j", step), 5)
    # Each other worker is full.
    bench.add(fleetfakes.job("k", messages.Step(
        4, messages.Resources(4000, 10), 1000, max_per_worker=1)), 4)
    if level == TRIAL:
        # One run at a time is under way there.
        task = bench.state.workers["i-0"].trial_run = (
            messages.TaskId("t", 0, 0, 0), 1)
        bench.state.workers["i-0"].reserve(task, STEP, None)
    assert "j.0.0.0@i-0" in bench.place()


@pytest.mark.parametrize(("label", "starts"), [("big", True), ("a", False)])
def test_no_greater_share_of_labelled_workers_is_excluded(label, starts):
    """Guards against tasks that wait because each worker they need is slow."""
    bench = slow_bench(10, [EXCLUDED, EXCLUDED])
    # Each worker that is not slow is full.
    bench.add(fleetfakes.job("k", messages.Step(
        8, messages.Resources(4000, 10), 1000, max_per_worker=1)))
    assert len(bench.place()) == 8
    bench.add(fleetfakes.job("j", messages.Step(
        1, ROOM, 1000, requires=label)), 21)
    assert bool(bench.place()) is starts


def test_long_running_task_is_no_trial_run():
    """Guards against a worker that is kept for one run that does not end."""
    bench = slow_bench(5, [TRIAL])
    bench.add(fleetfakes.job("k", messages.Step(
        4, messages.Resources(4000, 10), 1000, max_per_worker=1)), 4)
    bench.place()
    bench.add(fleetfakes.job("j", messages.Step(1, ROOM, perpetual=True)), 5)
    assert bench.place() == ["j.0.0.0@i-0"]
    bench.add(fleetfakes.job("l", messages.Step(1, ROOM, 1000)), 21)
    assert bench.place() == ["l.0.0.0@i-0"]


ROW = [5, EXCLUDED, 4.0, 1.0, 2.0]


@pytest.mark.parametrize("value", [
    None, [], "x", {"i-0": None}, {"i-0": []}, {"i-0": "abcde"},
    {"i-0": ROW + [1]}, {"i-0": ["5"] + ROW[1:]}, {"i-0": [-1] + ROW[1:]},
    {"i-0": [True] + ROW[1:]}, {"i-0": [5, "fast"] + ROW[2:]},
    {"i-0": [5, []] + ROW[2:]}, {"i-0": ROW[:2] + [-1.0] + ROW[3:]},
    {"i-0": ROW[:2] + [1e9] + ROW[3:]},
    {"i-0": ROW[:2] + [float("nan")] + ROW[3:]},
    {"i-0": ROW[:3] + [-1.0, 2.0]}, {"i-0": ROW[:4] + [1e6]},
    {"i-0": ROW, "i-1": None},
    {f"i-{n}": ROW for n in range(workerspeed.MAX_ENCODED_WORKERS + 1)},
], ids=lambda value: str(value)[:40])
def test_invalid_speeds_are_refused_and_change_nothing(value):
    speeds = Speeds()
    with pytest.raises(ValueError):
        speeds.speeds.decode(value, speeds.now)
    assert not speeds.speeds.degraded and not speeds.speeds.records


def test_memory_is_bounded(monkeypatch):
    monkeypatch.setattr(workerspeed, "MAX_WORKERS", 5)
    monkeypatch.setattr(workerspeed, "MAX_STEPS", 50)
    speeds = Speeds(10)
    speeds.make_excluded()
    for number in range(1000):
        speeds.run(number % 9 + 1, f"j{number}")
    assert len(speeds.speeds.records) == 5
    assert len(speeds.speeds.steps) == 50
    assert speeds.level(0) == EXCLUDED
    assert max(len(record.observations) for record
               in speeds.speeds.records.values()) <= (
                   workerspeed.MAX_OBSERVATIONS)


@pytest.mark.parametrize("enabled", [False, True])
def test_reports_lead_to_an_exclusion_that_explains_waiting(enabled):
    """Guards against runs or rounds that do not reach the judgement."""
    bench = test_fleet_state.Bench(
        *(fleetfakes.entry(n) for n in range(5)),
        policy=policy_mod.Policy(learn_worker_speeds=enabled))
    state = bench.state
    steps = [messages.Step(5, messages.Resources(700, 10), 1000,
                           max_per_worker=1) for _ in range(5)]
    bench.add(fleetfakes.job("j", *steps))
    placed = bench.place()
    assert len(placed) == 25
    bench.now += 1.0
    for number in range(1, 5):
        ended = [messages.EndedTask(index + 1, task, run, DONE, "")
                 for index, (task, run) in enumerate(
                     state.workers[f"i-{number}"].tasks)]
        bench.report(f"i-{number}", [], ended)
    for _ in range(2):
        bench.now += 1.1
        bench.report("i-0", [
            messages.RunningTask(task, run, "", 0)
            for task, run in state.workers["i-0"].tasks])
    # Another rule, for stuck runs, avoids the worker for AVOID_S too.
    state.workers["i-0"].avoid_until = 0.0
    bench.add(fleetfakes.job("k", messages.Step(
        5, messages.Resources(100, 10), 1000, max_per_worker=1)), 21)
    assert any("@i-0" in name for name in bench.place()) is not enabled
    waiting = state.find(messages.TaskId("k", 0, 0, 4))[1]
    counts = waitingreasons.count_workers(state, waiting, "desk", bench.now)
    assert counts.get(waitingreasons.SLOW, 0) == int(enabled)


def test_a_trial_run_that_hangs_does_not_exclude_its_worker_for_ever():
    """A task that may use this worker alone would wait for as long."""
    speeds = Speeds()
    speeds.make_excluded()
    worker = speeds.workers["i-0"]
    speeds.now += workerspeed.EXCLUSION_S
    speeds.place()
    assert worker.on_trial
    run = worker.trial_run = (messages.TaskId("t", 0, 0, speeds.tasks + 1), 1)
    worker.reserve(run, STEP, None)
    speeds.run(0, "t", 5.0, RUNNING)
    assert speeds.level(0) == EXCLUDED
    speeds.now += workerspeed.MAX_EXCLUSION_S
    assert speeds.place() == []
    assert worker.on_trial and worker.accepts_starts()
    # It is seen to hang as before.
    speeds.run(0, "t", 20.0, RUNNING, started_at=1.0)
    assert speeds.level(0) == TRIAL
