"""Test cancellations of jobs whose write has not been executed yet.

A write without an answer may be executed seconds later.  A caller that was
told that there is no such job must not see it run.
"""

import pytest

from sycamorefield.fleet import clock
from sycamorefield.fleet import jobrequests
from tests import fleetfakes
from tests import test_fleet_job_retention
from tests import test_fleet_takeover

handler = test_fleet_job_retention.handler
submit = test_fleet_job_retention.submit
run_to_end = test_fleet_job_retention.run_to_end
wait_for = test_fleet_takeover.wait_for


class InterruptedStore(test_fleet_job_retention.CheckingStore):
    """A store that calls before_commit once, before a later commit."""

    def __init__(self):
        super().__init__()
        self.before_commit = None
        self.commits_before = 0

    def commit(self, transaction):
        hook = self.before_commit
        if hook is not None:
            self.commits_before -= 1
            if self.commits_before < 0:
                self.before_commit = None
                hook()
        return super().commit(transaction)


@pytest.fixture(name="store")
def fixture_store():
    return InterruptedStore()


@pytest.fixture(name="fleet")
def fixture_fleet(store):
    fleet = test_fleet_takeover.Fleet()
    fleet.store = store
    yield fleet
    if fleet.owner is not None:
        fleet.owner.step_down("test over")


def cancel(store):
    return handler(store).cancel("a", clock.now() + 3.0)


def submit_late(store):
    """Submit a job by writes that get no answer and are executed later."""
    store.keep_late = jobrequests.MAX_UNANSWERED_TRIES
    assert isinstance(submit(store), jobrequests.Uncertain)


@pytest.mark.parametrize("same_process", [True, False])
def test_job_does_not_run_after_its_caller_was_told_there_is_none(
        fleet, store, same_process):
    """Guards against a job that runs although its caller gave it up."""
    submit_late(store)
    requests = handler(store)
    if same_process:
        store.keep_late = jobrequests.MAX_UNANSWERED_TRIES
        requests.submit(fleetfakes.job("a"), clock.now() + 3.0)
    assert requests.cancel(
        "a", clock.now() + 3.0) == jobrequests.UnknownJob()
    store.deliver_late()
    assert requests.job_status("a") is None
    fleet.take_over()
    submit(store, "later")
    run_to_end(fleet, "later")
    assert fleet.starts() == ["later.0.0.0"]


@pytest.mark.parametrize("times", [1, 2])
@pytest.mark.parametrize("lost_calls", [0, 1])
def test_request_sent_before_a_cancellation_stores_nothing_after_it(
        fleet, store, lost_calls, times):
    """Guards against a delayed request that undoes a cancellation."""
    for _ in range(times):
        assert cancel(store) == jobrequests.UnknownJob()
        store.lose_calls = lost_calls
        assert submit(store) == jobrequests.Cancelled()
    assert handler(store).job_status("a") is None
    fleet.take_over()
    submit(store, "later")
    run_to_end(fleet, "later")
    assert fleet.starts() == ["later.0.0.0"]


@pytest.mark.parametrize("fault", [None, "lose_answers"])
def test_concurrent_cancellations_of_an_unknown_job_are_answered(
        store, fault):
    """Guards against a cancellation that is refused because of another."""
    if fault:
        setattr(store, fault, 1)
    store.before_commit = lambda: cancel(store)
    assert cancel(store) == jobrequests.UnknownJob()


@pytest.mark.parametrize("when", ["before", "while-stored", "after-the-end"])
def test_job_with_a_late_write_is_not_stored_by_any_request(
        fleet, store, when):
    """Guards against a job that runs after it was answered 410."""
    submit_late(store)
    assert cancel(store) == jobrequests.UnknownJob()
    if when == "before":
        store.deliver_late()
    assert submit(store) == jobrequests.Cancelled()
    assert handler(store).job_status("a") is None
    if when == "while-stored":
        store.deliver_late()
    fleet.take_over()
    submit(store, "later")
    run_to_end(fleet, "later")
    store.deliver_late()
    fleet.owner.step_down("removed")
    fleet.take_over()
    submit(store, "last")
    run_to_end(fleet, "last")
    assert fleet.starts() == ["last.0.0.0", "later.0.0.0"]
    assert handler(store).job_status("a") is None


@pytest.mark.parametrize("fault", ["keep_late", "lose_calls"])
def test_request_that_is_cancelled_meanwhile_stores_nothing(store, fault):
    """Guards against a repeat that undoes a cancellation."""
    setattr(store, fault, 1)
    store.before_commit, store.commits_before = lambda: cancel(store), 1
    assert isinstance(submit(store), jobrequests.Refused)
    store.deliver_late()
    assert "in/a" not in store.items


def test_late_write_of_a_second_submission_stores_nothing(store):
    """Guards against a write that expects an earlier cancellation."""
    for _ in range(2):
        submit_late(store)
        assert cancel(store) == jobrequests.UnknownJob()
    store.deliver_late()
    assert "in/a" not in store.items
    assert handler(store).job_status("a") is None


@pytest.mark.parametrize(("fault", "count", "outcome"), [
    ("refuse", True, jobrequests.Refused),
    ("lose_calls", 2, jobrequests.Uncertain),
    ("lose_calls", 1, jobrequests.UnknownJob),
    ("lose_answers", 2, jobrequests.UnknownJob),
    ("lose_answers", 1, jobrequests.UnknownJob),
    ("keep_late", 2, jobrequests.Uncertain)])
def test_answer_is_no_such_job_only_if_that_is_certain(
        store, fault, count, outcome):
    """Guards against the answer 410 while the job may still be stored."""
    setattr(store, fault, count)
    assert isinstance(cancel(store), outcome)


def test_job_that_is_stored_during_its_cancellation_is_cancelled(store):
    """Guards against a cancellation that misses a job stored meanwhile."""
    store.before_commit = lambda: submit(store)
    assert isinstance(cancel(store), jobrequests.Refused)
    assert cancel(store) == jobrequests.Accepted()
    assert "in/a.c" in store.items


@pytest.mark.parametrize("submissions", [1, 2])
def test_unanswered_submission_is_accepted(store, submissions):
    """Guards against a refusal of a job that is stored."""
    store.lose_answers = 1
    for _ in range(submissions):
        assert submit(store) == jobrequests.Accepted()
    assert "in/a" in store.items
