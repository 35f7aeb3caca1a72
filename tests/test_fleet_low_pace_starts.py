"""Test starts of overdue best-effort jobs at the lowest pace."""

import math

import pytest

from sycamorefield.fleet import answers
from sycamorefield.fleet import besteffortbacklog
from sycamorefield.fleet import interference
from sycamorefield.fleet import lowpacestarts
from sycamorefield.fleet import messages
from sycamorefield.fleet import pacing
from sycamorefield.fleet import placing
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.fleet import progress
from sycamorefield.fleet import rounds
from tests import fleetfakes
from tests import test_fleet_best_effort_overload as overload
from tests import test_fleet_state

WALL_MS = overload.WALL_MS
# The platform's bound for a job with nothing running while a task could run.
MAX_IDLE_S = 3.0
OBSERVED_S = 30.0
WIDE_CPU = 3500


def add_overdue(bench, name, tasks=1, cpu=WIDE_CPU, mem_mb=10,
                waited_s=overload.UNSERVED_S, **fields):
    """Add a best-effort job that was accepted some time ago."""
    bench.add(fleetfakes.job(
        name, messages.Step(tasks, messages.Resources(cpu, mem_mb), 4000,
                            fills=True, image="b", **fields),
        accepted_ms=WALL_MS - waited_s * 1000.0), 30)


def has_run(job):
    return any(task.phase != progress.IDLE for task in job.all_tasks())


@pytest.mark.parametrize("count", [12, 40, 100])
def test_overdue_jobs_are_not_without_a_run_for_long(count):
    """Guards against wide jobs that wait in turn for a few held workers."""
    load = overload.StaggeredLoad(32)
    names = [f"wide{number}" for number in range(count)]
    for name in names:
        add_overdue(load.bench, name, tasks=9)
    began_at = load.bench.now
    ran_at = dict.fromkeys(names, began_at)
    while load.bench.now < began_at + OBSERVED_S:
        load.step()
        now = load.bench.now
        for name in names:
            job = load.bench.state.jobs[name]
            if job.final() or has_run(job):
                ran_at[name] = now
        assert now - min(ran_at.values()) <= MAX_IDLE_S


class BusyWorker:
    """A worker of 4 cores of which narrow best-effort runs use all but 0.8."""

    def __init__(self, unused=800, policy=policy_mod.Policy()):
        self.bench = test_fleet_state.Bench(
            fleetfakes.entry(0, 4000), policy=policy)
        self.bench.add(fleetfakes.job("narrow", messages.Step(
            4, messages.Resources((4000 - unused) // 4, 10), 4000,
            fills=True, image="a"), accepted_ms=WALL_MS))
        assert len(self.bench.place(WALL_MS)) == 4
        self.ends = 0

    @property
    def worker(self):
        return self.bench.state.workers["i-0"]

    def paces(self, name):
        """Return the paces that a job's runs have been ordered."""
        return [order.percent for _, order in self.bench.orders
                if isinstance(order, messages.PaceOrder)
                and order.task.job_id == name]

    def end_narrow(self):
        """End a narrow run."""
        name = next(str(task) for task, _ in self.worker.tasks
                    if task.job_id == "narrow")
        self.ends += 1
        self.bench.end("i-0", name, self.ends, messages.DONE)

    def report(self):
        self.bench.now += pacing.RAISE_INTERVAL_S
        self.bench.report("i-0", [
            messages.RunningTask(*run, "", 0) for run in self.worker.tasks])


@pytest.mark.parametrize(("fields", "starts"), [
    ({}, True), ({"waited_s": 9.9}, False), ({"mem_mb": 10**6}, False),
    ({"cpu": 4100}, False)],
    ids=["overdue", "not overdue", "no memory", "wider than the worker"])
def test_only_overdue_jobs_that_have_memory_start_at_low_pace(fields, starts):
    """Guards against starts that make a worker serve its other runs late."""
    busy = BusyWorker()
    add_overdue(busy.bench, "wide", **fields)
    assert bool(busy.bench.place(WALL_MS)) is starts
    assert busy.paces("wide") == [pacing.MIN_PACE_PERCENT] * starts


def test_jobs_with_a_run_start_nothing_at_low_pace():
    """Guards against overdue jobs that keep all workers from others."""
    busy = BusyWorker()
    add_overdue(busy.bench, "wide", tasks=9)
    assert len(busy.bench.place(WALL_MS)) == 1
    assert not busy.bench.place(WALL_MS)


@pytest.mark.parametrize(("unused", "starts"), [(800, 3), (450, 2), (250, 1)])
def test_runs_at_low_pace_request_no_more_cpu_than_is_left(unused, starts):
    """Guards against runs at low pace that take CPU from other runs."""
    busy = BusyWorker(unused)
    for number in range(3):
        add_overdue(busy.bench, f"wide{number}", cpu=2000)
    placed = [name for _ in range(5) for name in busy.bench.place(WALL_MS)]
    assert len(placed) == starts
    assert placing.cpu_left_by_paces(busy.worker) >= 0.0


def test_pace_rises_only_with_the_cpu_that_others_leave():
    """Guards against runs that take CPU from serving and best-effort ones."""
    busy = BusyWorker()
    add_overdue(busy.bench, "wide")
    busy.bench.place(WALL_MS)
    [task] = busy.bench.state.jobs["wide"].tasks[0, 0]
    while task.pace_percent < 100:
        busy.report()
        assert placing.cpu_left_by_paces(busy.worker) >= 0.0
        if any(name.job_id == "narrow" for name, _ in busy.worker.tasks):
            busy.end_narrow()
        assert not busy.bench.place(WALL_MS)
    assert len(set(busy.paces("wide"))) > 2


def test_pace_is_ordered_if_a_report_comes_before_the_answer_of_the_start():
    """Guards against a run at full pace that counts as one at low pace."""
    busy = BusyWorker(unused=380)
    add_overdue(busy.bench, "wide")
    before = len(busy.bench.orders)
    rounds.place(busy.bench.state, busy.bench.now, WALL_MS)
    [(_, order)] = busy.bench.orders[before:]
    busy.bench.report("i-0", [
        messages.RunningTask(*run, "", 0) for run in busy.worker.tasks])
    answers.record_started(busy.bench.state, "i-0", order, busy.bench.now)
    assert busy.paces("wide")[:1] == [pacing.MIN_PACE_PERCENT]


@pytest.mark.parametrize("fields", [
    {"mem_mb": 15_990}, {"requires": "missing"},
    {"requires": "missing", "max_per_worker": 1}],
    ids=["memory", "label", "label, each step searched"])
def test_jobs_that_fit_nowhere_keep_no_other_from_starting(fields):
    """Guards against jobs in front that take the searches of each round."""
    busy = BusyWorker()
    for number in range(2 * lowpacestarts.MAX_SEARCHES):
        add_overdue(busy.bench, f"front{number}", **fields)
    add_overdue(busy.bench, "behind")
    began_at = busy.bench.now
    started = []
    while not started and busy.bench.now - began_at < 5.0:
        started = busy.bench.place(WALL_MS)
    assert started == ["behind.0.0.0@i-0"]
    assert (busy.bench.now - began_at
            < MAX_IDLE_S - lowpacestarts.MAX_PAUSE_S)


@pytest.mark.parametrize("fields", [{}, {"max_per_worker": 1}],
                         ids=["one search for all", "one for each"])
def test_searches_for_low_pace_are_few(monkeypatch, fields):
    """Guards against an owner that is busy with searches in vain."""
    load = overload.StaggeredLoad(4)
    jobs = 8
    for number in range(jobs):
        add_overdue(load.bench, f"wide{number}", mem_mb=15_990, **fields)
    searches = []
    monkeypatch.setattr(
        lowpacestarts.LowPaceStarts, "choose",
        lambda *_: searches.append(load.bench.now))
    began_at = load.bench.now
    while load.bench.now - began_at < 5.0:
        load.bench.place(WALL_MS)
    gaps = 5.0 / lowpacestarts.SEARCH_GAP_S
    assert len(searches) <= jobs * (gaps + 1)


def test_task_that_failed_on_each_worker_starts_at_low_pace():
    """Guards against a job that waits because few workers can run it."""
    busy = BusyWorker()
    add_overdue(busy.bench, "wide")
    busy.bench.state.jobs["wide"].create_tasks(0)
    [task] = busy.bench.state.jobs["wide"].tasks[0, 0]
    task.avoided_lives.add(busy.worker.life())
    assert busy.bench.place(WALL_MS) == ["wide.0.0.0@i-0"]


@pytest.mark.parametrize("avoided", ["i-0", "i-1"])
def test_start_at_low_pace_prefers_workers_on_which_the_task_has_not_failed(
        avoided):
    """Guards against a task that fails on one worker again and again."""
    load = overload.StaggeredLoad(2)
    add_overdue(load.bench, "wide", cpu=100)
    load.bench.state.jobs["wide"].create_tasks(0)
    [task] = load.bench.state.jobs["wide"].tasks[0, 0]
    task.avoided_lives.add(load.bench.state.workers[avoided].life())
    starts = lowpacestarts.LowPaceStarts(
        load.bench.state.interference_model, load.bench.state.overdue_holds)
    workers = list(load.bench.state.workers.values())
    for worker in workers:
        worker.unused_cpu = 200.0
    worker = starts.choose(task, "desk", workers)
    assert worker is not None and worker.entry.worker_id != avoided


def test_run_that_ends_at_low_pace_tells_no_run_time():
    """Guards against run times, and speeds of workers, learnt ten times off.

    The pace of such a run may never change.
    """
    busy = BusyWorker(unused=380)
    add_overdue(busy.bench, "wide")
    busy.bench.place(WALL_MS)
    busy.report()
    [task] = busy.bench.state.jobs["wide"].tasks[0, 0]
    assert task.pace_percent == pacing.MIN_PACE_PERCENT
    busy.bench.now += 39.0
    busy.bench.end("i-0", "wide.0.0.0", 1, messages.DONE)
    assert task.done
    assert not busy.bench.state.run_times.queues


@pytest.mark.parametrize(("load", "starts"), [(0.7, True), (0.78, False)])
def test_tail_latencies_must_allow_the_lowest_pace(load, starts):
    """Guards against starts beside serving tasks that suffer at any pace."""
    busy = BusyWorker()
    model = busy.bench.state.interference_model
    model.fits["serving"] = overload.weights.WeightFit({"b": 0.2})
    busy.worker.tail_latencies = [interference.TailLatency(
        "serving", 0.67, 0.12, load, load, load)]
    add_overdue(busy.bench, "wide")
    assert bool(busy.bench.place(WALL_MS)) is starts


@pytest.mark.parametrize(("demands", "paces", "unused", "expected"), [
    ((4.0,), (10,), math.inf, [60]), ((4.0,), (10,), 1.0, [35]),
    ((4.0,), (10,), 0.0, [10]), ((4.0,), (10,), -1.0, [10]),
    ((4.0, 2.0), (10, 10), 2.5, [60, 35]), ((4.0,), (0,), 0.3, [0]),
    ((4.0,), (0,), 0.4, [10])],
    ids=["no limit", "in part", "none", "overcommitted", "shared",
         "below the lowest", "the lowest"])
def test_raised_paces_use_at_most_the_unused_cores(
        demands, paces, unused, expected):
    """Guards against best-effort runs that request more CPU than is left."""
    runs = [pacing.PacedRun("b", demand, 0.0, pace, True)
            for demand, pace in zip(demands, paces)]
    assert pacing.next_paces([], runs, 0, True,
                             interference.InterferenceModel(),
                             unused) == expected


@pytest.mark.parametrize(("pace", "served"), [
    (100, 2000.0), (10, 200.0), (0, 0.0), (-1, 2000.0)])
def test_cpu_served_follows_the_paces_of_runs(pace, served):
    """Guards against accepting jobs by runs that make no progress."""
    state = progress.JobState(fleetfakes.job("j", overload.STEP), 1)
    state.create_tasks(0)
    for task in state.tasks[0, 0]:
        task.phase, task.pace_percent = progress.RUNNING, pace
    work = besteffortbacklog.BestEffortWork()
    work.add_job(overload.QUEUE, state, None)
    assert work.running_cpu == {("desk", "a"): served}


@pytest.mark.parametrize("name", ["pace_filling", "start_overdue_at_low_pace"])
def test_nothing_starts_at_low_pace_if_paces_do_not_rise(name):
    """Guards against runs that stay at the lowest pace."""
    busy = BusyWorker(policy=policy_mod.Policy(**{name: False}))
    add_overdue(busy.bench, "wide")
    assert not busy.bench.place(WALL_MS)
