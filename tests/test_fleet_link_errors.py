"""Test that an error of the link to one worker concerns this worker alone."""

import asyncio

import pytest

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import link as link_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import records
from sycamorefield.fleet import reports
from sycamorefield.fleet import rounds
from tests import fleetfakes
from tests import livenessfakes
from tests import test_fleet_state

WORKERS = 3
STEP = messages.Step(WORKERS, messages.Resources(4000, 10), max_per_worker=1)


@pytest.fixture(name="fleet")
def fixture_fleet(monkeypatch):
    monkeypatch.setattr(link_mod, "ERROR_PAUSE_S", 0.1)
    fleet = livenessfakes.Deployment(WORKERS, names="a")
    fleet.start()
    livenessfakes.wait_for(lambda: any(
        owner.recovered for owner in fleet.processes["a"].owners))
    yield fleet
    fleet.stop()


@pytest.fixture(name="errors")
def fixture_errors(monkeypatch):
    """Return the fields of the lines on unexpected errors."""
    errors = []
    emit = events.emit

    def keep(event, **fields):
        if event is events.THREAD_FAILED:
            errors.append(fields)
        emit(event, **fields)

    monkeypatch.setattr(events, "emit", keep)
    return errors


@pytest.mark.parametrize("call", ["renew", "start"])
def test_unexpected_error_of_a_call_ends_no_term(fleet, errors, call):
    """Guards against terms that end one after the other for one worker."""
    fence = fleet.store.items[records.OWNER_KEY].revision
    fleet.faults["i-0"] = {call: livenessfakes.ERROR}
    fleet.submit(fleetfakes.job("j", STEP))
    livenessfakes.wait_for(lambda: len(fleet.running()) >= WORKERS - 1
                           and len(errors) >= 2)
    assert {fields["worker"] for fields in errors} == {"i-0"}
    fleet.faults.clear()
    livenessfakes.wait_for(lambda: len(fleet.running()) == WORKERS)
    assert fleet.store.items[records.OWNER_KEY].revision == fence


def test_unexpected_error_of_a_report_ends_no_term(
        fleet, errors, monkeypatch):
    """Guards against terms that end for a report that can't be applied."""
    fence = fleet.store.items[records.OWNER_KEY].revision
    apply_report = reports.apply_report
    failing = ["i-0"]

    def apply_or_fail(state, worker_id, *args):
        if worker_id in failing:
            raise KeyError("unexpected")
        return apply_report(state, worker_id, *args)

    monkeypatch.setattr(reports, "apply_report", apply_or_fail)
    livenessfakes.wait_for(lambda: len(errors) >= 2)
    fleet.submit(fleetfakes.job("j", STEP))
    livenessfakes.wait_for(lambda: len(fleet.running()) == WORKERS - 1)
    failing.clear()
    livenessfakes.wait_for(lambda: len(fleet.running()) == WORKERS)
    assert fleet.store.items[records.OWNER_KEY].revision == fence


class FailingWorker(fleetfakes.MemoryWorker):
    """Fail the first call of each kind with an unexpected error."""

    def __init__(self, worker_id):
        super().__init__(worker_id)
        self.failed = set()

    def fail_once(self, name):
        if name not in self.failed:
            self.failed.add(name)
            raise KeyError(name)

    async def start(self, *args):
        self.fail_once("start")
        return await super().start(*args)

    async def stop(self, *args):
        self.fail_once("stop")
        return await super().stop(*args)

    async def pace(self, *args):
        self.fail_once("pace")
        return await super().pace(*args)


def send(bench, worker, *orders):
    """Send orders over a link; return the reasons to step down."""
    reasons = []
    link = link_mod.WorkerLink(
        fleetfakes.entry(0), worker, bench.state, lambda: True, lambda: True,
        reasons.append)

    async def run():
        sending = asyncio.create_task(link._run_guarded(link._send_orders))
        for order in orders:
            link.put_order(order)
        link.order_added.set()
        while link.orders or not worker.failed:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        link.close()
        link.order_added.set()
        await sending

    asyncio.run(asyncio.wait_for(run(), 10.0))
    return reasons


@pytest.fixture(name="bench")
def fixture_bench(monkeypatch):
    monkeypatch.setattr(link_mod, "ERROR_PAUSE_S", 0.01)
    bench = test_fleet_state.Bench()
    bench.now = clock.now()
    bench.state.add_worker(fleetfakes.entry(0))
    bench.report("i-0")
    bench.state.enrol(["i-0"])
    return bench


def test_start_that_ends_by_an_unexpected_error_may_have_begun(bench):
    """Guards against a task that runs twice or never."""
    bench.add(fleetfakes.job("j"))
    rounds.place(bench.state, bench.now, 0)
    assert not send(bench, FailingWorker("i-0"), bench.orders[-1][1])
    task = bench.state.jobs["j"].tasks[0, 0][0]
    assert task.phase == progress.STOPPING
    assert isinstance(bench.orders[-1][1], messages.StopOrder)


def test_stop_is_repeated_after_an_unexpected_error(bench):
    """Guards against a task that stops for ever."""
    worker = FailingWorker("i-0")
    order = messages.StopOrder(messages.TaskId("j", 0, 0, 0), 1)
    stopped = []
    stop = worker.stop

    async def note_stop(sent, fence):
        answer = await stop(sent, fence)
        stopped.append(sent)
        return answer

    worker.stop = note_stop
    assert not send(bench, worker, order)
    assert stopped == [order]


def test_pace_that_ends_by_an_unexpected_error_is_uncertain(bench):
    """Guards against a run that stays paused."""
    bench.add(fleetfakes.job("j"))
    bench.place()
    task = messages.TaskId("j", 0, 0, 0)
    assert not send(bench, FailingWorker("i-0"),
                    messages.PaceOrder(task, 1, 50))
    assert (task, 1) in bench.state.workers["i-0"].uncertain_paces


def test_end_that_could_not_be_applied_is_not_acknowledged(
        bench, monkeypatch):
    """Guards against a task that runs again although it is done."""
    bench.add(fleetfakes.job("j"))
    assert bench.place() == ["j.0.0.0@i-0"]
    record_end = reports._record_end

    def fail(*args):
        raise KeyError("unexpected")

    monkeypatch.setattr(reports, "_record_end", fail)
    ended = messages.EndedTask(1, messages.TaskId("j", 0, 0, 0), 1,
                               messages.DONE, "")
    with pytest.raises(KeyError):
        bench.report("i-0", ended=[ended])
    assert not bench.state.workers["i-0"].last_processed_end
    monkeypatch.setattr(reports, "_record_end", record_end)
    bench.report("i-0", ended=[ended])
    assert bench.state.workers["i-0"].last_processed_end == 1
    assert bench.state.jobs["j"].final()
