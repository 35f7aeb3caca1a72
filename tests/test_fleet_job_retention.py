"""Test that jobs which have ended cost a takeover and an owner nothing.

The store keeps only their final states, which no owner reads.
"""

import gc
import threading
import typing
import weakref

import pytest

from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import jobrequests
from sycamorefield.fleet import jobwatcher
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import records
from tests import fleetfakes
from tests import test_fleet_partial_reach
from tests import test_fleet_state
from tests import test_fleet_takeover

wait_for = test_fleet_takeover.wait_for
STEP = messages.Step(1, messages.Resources(1000, 1000))
TASK = messages.TaskId("a", 0, 0, 0)
# Longer than an owner keeps a job that has ended.
KEPT_S = 32.0
MAX_ENTRIES = 32


class CheckingStore(fleetfakes.MemoryStore):
    """A store that counts listed items and checks the size of commits.

    before_get and before_answer are called once, before the next read of a
    key, and before the next answer to a listing or watch is returned.
    """

    def __init__(self) -> None:
        super().__init__()
        self.listed = 0
        self.before_get: typing.Callable[[], None] | None = None
        self.gets_before = 0
        # How many of the next commits are refused.
        self.refuse_commits = 0
        self.before_answer: typing.Callable[[], None] | None = None

    def commit(self, transaction: messages.Transaction) -> int:
        assert (len(transaction.expects) + len(transaction.puts)
                + len(transaction.removes)) <= MAX_ENTRIES
        if self.refuse_commits and records.OWNER_KEY in [
                expect.key for expect in transaction.expects]:
            self.refuse_commits -= 1
            raise interfaces.CallRefused("store answers 503")
        return super().commit(transaction)

    def get(self, key: str) -> messages.Item | None:
        hook = self.before_get
        if hook is not None:
            self.gets_before -= 1
            if self.gets_before < 0:
                self.before_get = None
                hook()
        return super().get(key)

    def listing(self, prefix: str) -> messages.Listing:
        listing = super().listing(prefix)
        self.listed += len(listing.items)
        self._answer()
        return listing

    def watch(self, prefix: str, after: int,
              wait_ms: int) -> messages.Changes:
        changes = super().watch(prefix, after, wait_ms)
        if prefix == records.JOB_PREFIX:
            self._answer()
        return changes

    def _answer(self) -> None:
        hook, self.before_answer = self.before_answer, None
        if hook is not None:
            hook()


@pytest.fixture(name="fleet")
def fixture_fleet():
    fleet = test_fleet_takeover.Fleet()
    fleet.store = CheckingStore()
    yield fleet
    if fleet.owner is not None:
        fleet.owner.step_down("test over")


def handler(store):
    """Return the request handler of a process that has just started."""
    return jobrequests.JobRequestHandler(store, lambda: False, lambda: None)


def submit(store, job_id="a"):
    return handler(store).submit(
        fleetfakes.job(job_id, STEP), clock.now() + 3.0)


def run_to_end(fleet, job_id="a"):
    """Run a stored job to its end."""
    wait_for(lambda: f"{job_id}.0.0.0" in fleet.running())
    test_fleet_takeover.finish(fleet, f"{job_id}.0.0.0")
    wait_for(lambda: fleet.state(job_id) == messages.COMPLETED)


def keys_of(store, job_id="a"):
    return sorted(key for key in store.items
                  if f"/{job_id}" in key and not key.startswith("fleet/"))


@pytest.mark.parametrize("ended", [0, 2000])
def test_takeover_reads_nothing_of_ended_jobs(fleet, ended):
    """Guards against leases that lapse while a new owner reads old jobs."""
    owner = fleet.take_over()
    fleet.submit(fleetfakes.job("a"))
    run_to_end(fleet)
    owner.step_down("removed")
    for key in keys_of(fleet.store):
        for number in range(ended):
            fleet.store.commit(messages.Transaction(puts=(messages.Put(
                key.replace("/a", f"/b{number}"),
                fleet.store.items[key].value),)))
    submit(fleet.store, "live")
    fleet.store.listed = 0
    owner = fleet.take_over()
    wait_for(lambda: owner.recovered)
    assert fleet.store.listed == 1
    assert list(owner.fleet.jobs) == ["live"]


@pytest.mark.parametrize("successor", [False, True],
                         ids=["same-owner", "successor"])
@pytest.mark.parametrize("how", ["repeated", "late-write"])
def test_ended_job_is_not_run_again(fleet, how, successor):
    """Guards against a job that a repeat or a late write runs twice."""
    fleet.take_over()
    fleet.store.keep_late = int(how == "late-write")
    assert submit(fleet.store) == jobrequests.Accepted()
    run_to_end(fleet)
    if successor:
        fleet.owner.step_down("removed")
        fleet.take_over()
    if how == "repeated":
        assert submit(fleet.store) == jobrequests.Accepted()
    fleet.store.deliver_late()
    submit(fleet.store, "later")
    run_to_end(fleet, "later")
    assert fleet.starts() == ["a.0.0.0", "later.0.0.0"]


@pytest.mark.parametrize("kind", ["progress", "final"])
def test_late_repeat_of_a_write_leaves_no_progress(kind):
    """Guards against progress of an ended job, kept for ever."""
    bench, store, recorder = bench_with_recorder()
    # What is stored beside jobs would make a repeated transaction fail.
    assert recorder.flush()
    bench.state.jobs["a"].dirty = True
    store.keep_late = int(kind == "progress")
    assert recorder.flush()
    assert keys_of(store) == ["in/a", "run/a"]
    bench.state.cancel("a")
    store.keep_late = int(kind == "final")
    assert recorder.flush()
    store.deliver_late()
    assert keys_of(store) == ["st/a"]


def bench_with_recorder(jobs=("a",)):
    """Return a bench of one worker with stored jobs, a store, a recorder."""
    bench = test_fleet_state.Bench(fleetfakes.entry(0))
    store = CheckingStore()
    recorder = test_fleet_partial_reach.make_recorder(bench, store)
    for job_id in jobs:
        submit(store, job_id)
        bench.add(fleetfakes.job(job_id, STEP),
                  store.items[records.job_key(job_id)].created_revision)
    return bench, store, recorder


@pytest.mark.parametrize("fault", ["lose_answers", "lose_calls", "keep_late"])
def test_final_state_is_stored_once_whatever_the_outcome(fault):
    """Guards against a final state whose repeat is not recognised."""
    bench, store, recorder = bench_with_recorder()
    bench.state.cancel("a")
    setattr(store, fault, 1)
    assert recorder.flush()
    assert keys_of(store) == ["st/a"]
    revision = store.items["st/a"].revision
    assert recorder.flush()
    assert store.items["st/a"].revision == revision


def test_many_ends_fit_into_transactions():
    """Guards against transactions that the store refuses for their size."""
    names = [f"a{number}" for number in range(50)]
    bench, store, recorder = bench_with_recorder(names)
    for number, name in enumerate(names):
        bench.state.jobs[name].dirty = True
        if number % 2:
            bench.state.cancel(name)
    assert recorder.flush()
    for number, name in enumerate(names):
        assert (f"st/{name}" in store.items) == bool(number % 2)
        assert (f"run/{name}" in store.items) == (not number % 2)


@pytest.mark.parametrize("missing", [True, False], ids=["gone", "replaced"])
def test_progress_of_a_job_without_its_record_is_stored(missing):
    """Guards against a record of others that blocks all commits."""
    bench, store, recorder = bench_with_recorder(("a", "b"))
    store.commit(messages.Transaction(removes=("in/a",)) if missing else
                 messages.Transaction(puts=(messages.Put("in/a", b"?"),)))
    for state in bench.state.jobs.values():
        state.dirty = True
    recorder.flush()
    assert recorder.flush()
    assert {"run/a", "run/b"} <= set(store.items)


@pytest.mark.parametrize("refused", [False, True])
def test_equal_final_state_of_others_does_not_leave_the_job_stored(refused):
    """Guards against a job that each new owner runs again."""
    bench, store, recorder = bench_with_recorder()
    bench.state.cancel("a")
    store.refuse_commits = int(refused)
    store.commit(messages.Transaction(puts=(messages.Put(
        "st/a", progress.encode_progress(bench.state.jobs["a"])),)))
    recorder.flush()
    assert recorder.flush()
    assert keys_of(store) == ["st/a"]


def test_status_in_each_stage(fleet):
    requests = handler(fleet.store)
    assert requests.job_status("a") is None
    submit(fleet.store)
    assert requests.job_status("a").state == messages.PENDING
    fleet.take_over()
    wait_for(lambda: fleet.running() == ["a.0.0.0"])
    assert requests.job_status("a").state in (
        messages.PENDING, messages.RUNNING)
    run_to_end(fleet)
    for process in (requests, handler(fleet.store)):
        assert process.job_status("a").state == messages.COMPLETED
    assert requests.job_status("b") is None


@pytest.mark.parametrize("reads_before", range(4))
def test_status_of_a_job_that_ends_between_the_reads(reads_before):
    """Guards against "no such job" for one that has just ended."""
    bench, store, recorder = bench_with_recorder()

    def end():
        bench.state.cancel("a")
        assert recorder.flush()

    store.before_get, store.gets_before = end, reads_before
    assert handler(store).job_status("a").state in (
        messages.PENDING, messages.CANCELLED)


@pytest.mark.parametrize("known", [True, False], ids=["known", "not-known"])
@pytest.mark.parametrize("when", ["before", "while-stored", "late"])
def test_cancelling_an_ended_job_stores_nothing(known, when):
    """Guards against cancellations that nothing removes."""
    bench, store, recorder = bench_with_recorder()
    requests = handler(store)
    if known:
        requests.submit(fleetfakes.job("a", STEP), clock.now() + 3.0)
    if when == "late":
        store.keep_late = 1
        assert requests.cancel(
            "a", clock.now() + 3.0) == jobrequests.Accepted()
    elif when == "while-stored":
        assert requests.cancel(
            "a", clock.now() + 3.0) == jobrequests.Accepted()
    bench.state.cancel("a")
    assert recorder.flush()
    store.deliver_late()
    assert requests.cancel("a", clock.now() + 3.0) == jobrequests.Accepted()
    assert keys_of(store) == ["st/a"]


def test_cancelling_an_unknown_job_is_answered_so():
    store = CheckingStore()
    assert isinstance(handler(store).cancel("a", clock.now() + 3.0),
                      jobrequests.UnknownJob)
    assert handler(store).job_status("a") is None
    assert list(store.items) == ["st/a"]


def test_cancelling_a_job_that_was_stored_again_is_not_lost():
    """Guards against an accepted cancellation of an earlier job."""
    _, store, _ = bench_with_recorder()
    requests = handler(store)
    requests.submit(fleetfakes.job("a", STEP), clock.now() + 3.0)
    store.commit(messages.Transaction(removes=("in/a",)))
    submit(store)
    outcomes = [requests.cancel("a", clock.now() + 3.0) for _ in range(2)]
    assert isinstance(outcomes[0], jobrequests.Refused)
    assert outcomes[1] == jobrequests.Accepted()
    assert "in/a.c" in store.items


def end_and_forget(bench, recorder, monkeypatch):
    """End a job, and let the owner forget it."""
    bench.state.cancel("a")
    assert recorder.flush()
    later = clock.now() + KEPT_S
    monkeypatch.setattr(clock, "now", lambda: later)
    bench.state.expire(later)


@pytest.mark.parametrize("answer", ["watch", "listing", "failed-listing"])
def test_answer_older_than_the_end_of_a_job_does_not_bring_it_back(
        answer, monkeypatch):
    """Guards against a second run after a listing that took long."""
    bench, store, recorder = bench_with_recorder()
    watcher = jobwatcher.JobWatcher(store, bench.state, threading.Event())
    created = bench.state.jobs["a"].created_revision

    def end():
        end_and_forget(bench, recorder, monkeypatch)

    if answer == "watch":
        store.before_answer = end
        revision = watcher._watch(created - 1)
        assert revision == created
    elif answer == "listing":
        store.compact()
        store.before_answer = end
        revision = watcher._watch(created - 1)
    else:
        def fail(*_):
            monkeypatch.undo()
            store.before_answer = end
            raise interfaces.CallFailed("no answer")
        monkeypatch.setattr(store, "watch", fail)
        revision = watcher._watch(created - 1)
    assert "a" not in bench.state.jobs
    assert "a" not in bench.state.active
    watcher._watch(revision)
    assert not bench.state.jobs


def test_watch_repeated_from_before_the_creation_of_an_ended_job(monkeypatch):
    """Guards against a job that a watch after a slow listing brings back."""
    bench, store, recorder = bench_with_recorder()
    watcher = jobwatcher.JobWatcher(store, bench.state, threading.Event())
    created = bench.state.jobs["a"].created_revision
    end_and_forget(bench, recorder, monkeypatch)
    assert watcher._watch(created - 1) == store.revision
    assert not bench.state.jobs


def test_job_without_a_revision_of_its_creation_is_added():
    """Guards against a job that is taken for a forgotten one."""
    bench, _, _ = bench_with_recorder(())
    watcher = jobwatcher.JobWatcher(
        CheckingStore(), bench.state, threading.Event())
    assert watcher.add_job(messages.Item(
        "in/a", progress.encode_job(fleetfakes.job("a")), 7, 0))
    assert list(bench.state.active) == ["a"]


def test_job_that_is_stored_again_after_its_state_was_removed_runs(
        monkeypatch):
    """Guards against a job that is accepted and not run."""
    bench, store, recorder = bench_with_recorder()
    watcher = jobwatcher.JobWatcher(store, bench.state, threading.Event())
    revision = store.revision
    end_and_forget(bench, recorder, monkeypatch)
    store.commit(messages.Transaction(removes=("st/a",)))
    submit(store)
    watcher._watch(revision)
    assert list(bench.state.active) == ["a"]


@pytest.mark.parametrize("run_left", [True, False])
def test_ended_job_is_forgotten_once_no_run_is_left(run_left, monkeypatch):
    """Guards against memory that grows with each job ever run."""
    bench, _, recorder = bench_with_recorder()
    assert bench.place() == ["a.0.0.0@i-0"]
    if not run_left:
        bench.end("i-0", "a.0.0.0", 1, "stopped")
    end_and_forget(bench, recorder, monkeypatch)
    assert list(bench.state.jobs) == (["a"] if run_left else [])
    assert not recorder.revisions.keys() & {"run/a", "st/a", "in/a"}
    if run_left:
        bench.end("i-0", "a.0.0.0", 1, "stopped")
        bench.state.expire(clock.now() + KEPT_S)
        assert not bench.state.jobs


@pytest.mark.parametrize("late", ["run", "end"])
def test_forgotten_job_that_a_worker_lists_again(late, monkeypatch):
    """Guards against errors on, and starts beside, runs of an ended job."""
    bench, store, recorder = bench_with_recorder()
    end_and_forget(bench, recorder, monkeypatch)
    if late == "run":
        bench.report("i-0", [messages.RunningTask(TASK, 1, "", 0)])
        assert bench.stops() == ["a.0.0.0"]
    else:
        bench.report("i-0", ended=[
            messages.EndedTask(1, TASK, 1, messages.DONE, "")])
    bench.report("i-0")
    bench.add(fleetfakes.job("b", STEP), store.revision)
    assert bench.place() == ["b.0.0.0@i-0"]


def test_late_start_soon_after_the_end_leaves_its_worker_usable():
    """Guards against a worker that starts nothing as a run is not known."""
    bench, _, recorder = bench_with_recorder()
    bench.state.cancel("a")
    assert recorder.flush()
    bench.state.expire(clock.now())
    bench.report("i-0", [messages.RunningTask(TASK, 1, "", 0)])
    assert bench.stops() == ["a.0.0.0"]
    assert not bench.state.workers["i-0"].has_unknown_run


@pytest.mark.parametrize("step", [
    STEP, messages.Step(2, messages.Resources(1000, 10), gang=True),
    messages.Step(1, messages.Resources(1000, 10), speculative=True),
    messages.Step(1, messages.Resources(1000, 10), perpetual=True)],
    ids=["plain", "gang", "speculative", "long-running"])
def test_nothing_refers_to_a_forgotten_job(step, monkeypatch):
    """Guards against memory that grows beside the table of jobs."""
    bench, store, recorder = bench_with_recorder(())
    bench.add(fleetfakes.job("a", step))
    placed = bench.place()
    assert len(placed) == step.count
    for number, name in enumerate(placed):
        bench.end("i-0", name.split("@")[0], number + 1, "stopped")
    job = weakref.ref(bench.state.jobs["a"])
    end_and_forget(bench, recorder, monkeypatch)
    bench.place()
    gc.collect()
    assert job() is None
