"""Test records of jobs that are larger than a value of the store may be."""

import pytest

from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import jobrequests
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import recorder as recorder_mod
from tests import fleetfakes
from tests import test_fleet_job_retention
from tests import test_fleet_state

LIMIT_BYTES = 2_000
# The text that each task of the wide job has saved.
SAVED = "x" * 100
WIDE_TASKS = 40
MAX_COMMITS = 60
OWNER_KEY = "owner"


class LimitedStore(fleetfakes.MemoryStore):
    """A store that refuses values above a limit.

    The limit that it states may be higher.
    """

    def __init__(self, stated_bytes: int = LIMIT_BYTES) -> None:
        super().__init__()
        self.max_value_bytes = stated_bytes
        self.refused = 0

    def commit(self, transaction: messages.Transaction) -> int:
        """Commit a transaction unless a value of it is too long."""
        if any(len(put.value) > LIMIT_BYTES for put in transaction.puts):
            self.refused += 1
            raise interfaces.CallInvalid("store answers 400")
        return super().commit(transaction)


class RecordedBench(test_fleet_state.Bench):
    """A fleet state whose changes are written to a store."""

    def __init__(self, store: LimitedStore) -> None:
        super().__init__(fleetfakes.entry(0))
        self.store = store
        self.state.fence = store.commit(messages.Transaction(
            puts=(messages.Put(OWNER_KEY, b"me"),)))
        self.acknowledged: dict[str, int] = {}
        self.recorder = recorder_mod.Recorder(
            store, self.state, OWNER_KEY,
            lambda: store.refused + store.commits < MAX_COMMITS,
            lambda reason: None, self._acknowledge)

    def _acknowledge(self, stored_ends):
        self.acknowledged = {
            worker_id: ends.number for worker_id, ends in stored_ends.items()}

    def add_stored(self, job: messages.Job) -> list[progress.TaskState]:
        """Add a job whose record is in the store; return its tasks."""
        self.add(job, self.store.commit(messages.Transaction(
            puts=(messages.Put(f"in/{job.job_id}", b"{}"),))))
        state = self.state.jobs[job.job_id]
        state.create_tasks(0)
        return list(state.all_tasks())

    def add_wide(self, saved: str = SAVED) -> list[progress.TaskState]:
        """Add a wide job of which each task has saved a text."""
        tasks = self.add_stored(fleetfakes.job("wide", messages.Step(
            WIDE_TASKS, messages.Resources(1, 1))))
        for task in tasks:
            task.saved = saved
        self.state.jobs["wide"].dirty = True
        return tasks

    def stored(self, job_id: str) -> progress.JobState:
        """Return a job as a later owner reads it."""
        job = progress.JobState(self.state.jobs[job_id].job, 1)
        progress.apply_progress(job, self.store.items[f"run/{job_id}"].value)
        return job


@pytest.mark.parametrize("stated_bytes", [LIMIT_BYTES, 10 * LIMIT_BYTES,
                                          10 ** 6])
def test_job_with_a_record_that_is_refused_delays_no_other(stated_bytes):
    """Guards against one refused write that ends all recording."""
    bench = RecordedBench(LimitedStore(stated_bytes))
    bench.add_stored(fleetfakes.job("a"))
    assert bench.place() == ["a.0.0.0@i-0"]
    tasks = bench.add_wide()
    tasks[3].mark_done()
    bench.end("i-0", "a.0.0.0", 1, "done")
    while not bench.acknowledged:
        assert bench.recorder.flush()
    assert "st/a" in bench.store.items
    assert bench.acknowledged == {"i-0": 1}
    assert [task.done for task in bench.stored("wide").all_tasks()] == [
        task.done for task in tasks]


@pytest.mark.parametrize("saved", [SAVED, "\U0001f600" * 20, "\u00e9" * 40],
                         ids=["ascii", "pairs", "latin"])
def test_texts_of_tasks_without_a_run_are_stored_first(saved):
    """Guards against lost work that no worker could report again."""
    bench = RecordedBench(LimitedStore())
    tasks = bench.add_wide(saved)
    for task in tasks[:-5]:
        task.phase = progress.RUNNING
    assert bench.recorder.flush()
    stored = list(bench.stored("wide").all_tasks())
    assert [task.saved for task in stored[-5:]] == [saved] * 5
    assert {task.saved for task in stored} == {saved, ""}
    assert not bench.store.refused


def test_what_keeps_tasks_from_a_second_run_is_always_stored():
    """Guards against a reduced record that lacks tasks that are done."""
    bench = RecordedBench(LimitedStore())
    tasks = bench.add_wide()
    tasks[0].mark_done()
    for task in tasks[1:]:
        task.failed_runs = set(range(100))
    assert bench.recorder.flush()
    assert [task.done for task in bench.stored("wide").all_tasks()] == [
        True] + [False] * (WIDE_TASKS - 1)


def test_large_records_of_several_jobs_are_separate_transactions():
    """Guards against transactions much larger than any single value."""
    bench = RecordedBench(LimitedStore())
    for number in range(8):
        bench.add_stored(fleetfakes.job(f"j{number}"))[0].saved = "x" * 900
        bench.state.jobs[f"j{number}"].dirty = True
    sizes = []
    commit = bench.store.commit

    def measuring_commit(transaction):
        sizes.append(sum(len(put.value) for put in transaction.puts))
        return commit(transaction)
    bench.store.commit = measuring_commit
    assert bench.recorder.flush()
    assert max(sizes) <= LIMIT_BYTES
    assert all(f"run/j{n}" in bench.store.items for n in range(8))


def test_job_that_the_store_does_not_accept_is_rejected_at_once():
    """Guards against a caller that repeats a request in vain."""
    store = LimitedStore()
    requests = test_fleet_job_retention.handler(store)
    outcome = requests.submit(
        fleetfakes.job("a", spec="x" * LIMIT_BYTES), clock.now() + 3.0)
    assert isinstance(outcome, jobrequests.Unstorable)
    assert store.refused == 1
    assert "in/a" not in store.items
