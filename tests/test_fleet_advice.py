"""Test that queues with an advice policy run only on advised workers."""

import math

import pytest

from sycamorefield.fleet import advice
from sycamorefield.fleet import answers
from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import reports
from sycamorefield.fleet import rounds
from sycamorefield.fleet import waitingreasons
from sycamorefield.platform import advice as platform_advice
from tests import fleetfakes
from tests import platformfakes
from tests import test_fleet_state

POLICY = messages.AdvicePolicy(10.0, 1.0, 5000.0)
STEP = messages.Step(2, messages.Resources(1000, 10))


class StubAdviceService(interfaces.AdviceService):
    """Advise some workers, after refusing a number of calls."""

    def __init__(self, advised_workers, refusals=0):
        self.advised_workers = advised_workers
        self.refusals = refusals
        self.requests = []
        self.valid_ms = None

    def advise(self, step, workers, policy):
        if self.refusals:
            self.refusals -= 1
            raise interfaces.CallRefused("busy")
        self.requests.append((step, workers))
        return messages.Advice({w: f"{step}/{w}" for w in workers
                                if w in self.advised_workers}, self.valid_ms)


def configuration():
    return messages.Configuration(1, (messages.Queue(
        "checks", "h", "/c/", "desk", 0, 2, POLICY),))


@pytest.fixture(name="bench")
def fixture_bench():
    bench = test_fleet_state.Bench(*(fleetfakes.entry(n) for n in range(3)))
    bench.state.configuration = configuration
    bench.now = clock.now()
    return bench


def fetch_all(bench):
    """Send all pending requests of the cache."""
    cache = bench.state.advice
    for request in list(cache.pending.values()):
        cache.fetch(request)


def test_steps_start_only_on_advised_workers_with_their_ticket(bench):
    bench.state.advice.service = service = StubAdviceService({"i-1"})
    bench.add(fleetfakes.job("j", STEP))
    assert not bench.place()
    fetch_all(bench)
    assert bench.place() == ["j.0.0.0@i-1", "j.0.0.1@i-1"]
    assert {order.ticket for _, order in bench.orders} == {"j.0.0/i-1"}
    assert [step for step, _ in service.requests] == ["j.0.0"]


def test_no_request_while_advised_workers_have_capacity(bench):
    """Guards against load on the service, which answers one call at a time."""
    bench.state.advice.service = service = StubAdviceService({"i-1"})
    bench.add(fleetfakes.job("j", STEP))
    for _ in range(4):
        bench.place()
        fetch_all(bench)
    assert len(service.requests) == 1


def test_refused_call_is_retried(bench):
    bench.state.advice.service = StubAdviceService({"i-2"}, refusals=1)
    bench.add(fleetfakes.job("j", STEP))
    bench.place()
    fetch_all(bench)
    assert not bench.place()
    fetch_all(bench)
    assert len(bench.place()) == 2


@pytest.mark.parametrize("reason", ["rejected", "expired"])
def test_unusable_ticket_is_requested_again(bench, reason):
    """Guards against a job that never starts because of an expired ticket.

    A ticket that a worker rejected or that expired before the start arrived
    must not stay in the cache.
    """
    bench.state.advice.service = service = StubAdviceService({"i-1"})
    bench.add(fleetfakes.job("j", messages.Step(1, STEP.room)))
    bench.place()
    fetch_all(bench)
    if reason == "rejected":
        bench.now += 0.1
        rounds.place(bench.state, bench.now, 1e12)
        answers.record_rejected(bench.state, "i-1", bench.orders[-1][1],
                                interfaces.INVALID_TICKET, bench.now)
    else:
        bench.now += 10.0
    assert not bench.place()
    fetch_all(bench)
    assert len(service.requests) == 2


@pytest.mark.parametrize(("valid_ms", "placed"), [
    (400.0, 0), (60_000.0, 1)], ids=["about-to-expire", "valid"])
def test_service_validity_overrides_policy(bench, valid_ms, placed):
    bench.state.advice.service = service = StubAdviceService({"i-1"})
    service.valid_ms = valid_ms
    bench.add(fleetfakes.job("j", messages.Step(1, STEP.room)))
    bench.place()
    fetch_all(bench)
    assert len(bench.place()) == placed


def test_advice_for_ended_jobs_is_discarded(bench):
    bench.state.advice.service = StubAdviceService({"i-1"})
    bench.add(fleetfakes.job("j", STEP))
    bench.place()
    fetch_all(bench)
    bench.state.cancel("j")
    cache = bench.state.advice
    assert not (cache.tickets or cache.rejected_workers or cache.pending)


@pytest.mark.parametrize(("status", "error"), [
    (200, None), (429, interfaces.CallRefused),
    (500, interfaces.CallFailed)])
def test_platform_responses_are_decoded(status, error):
    server = platformfakes.FaultyServer(lambda method, path, query, body: (
        status, {"good": [[body["workers"][0], "t"]], "valid_ms": 3000}))
    service = platform_advice.PlatformAdvice(server.address)
    try:
        if error is None:
            assert service.advise("j.0.0", ("a", "b"), POLICY) == (
                messages.Advice({"a": "t"}, 3000.0))
        else:
            with pytest.raises(error):
                service.advise("j.0.0", ("a", "b"), POLICY)
    finally:
        server.close()


def restart(bench, worker_id):
    """Let a worker report as its next life."""
    for born_ms in (1_000, 2_000):
        bench.now += 0.1
        reports.apply_report(
            bench.state, worker_id, messages.WorkerReport(
                bench.now * 1000.0, (), (), born_ms), bench.now, bench.now)


@pytest.mark.parametrize("advised", [True, False])
def test_advice_on_a_worker_ends_with_its_life(bench, advised):
    """Guards against tickets of an earlier life, and against never asking."""
    bench.state.advice.service = service = StubAdviceService(
        {"i-1"} if advised else set())
    bench.add(fleetfakes.job("j", messages.Step(1, STEP.room)))
    bench.place()
    fetch_all(bench)
    restart(bench, "i-1")
    service.advised_workers = {"i-1"}
    assert not bench.place()
    fetch_all(bench)
    assert "i-1" in service.requests[-1][1]
    assert bench.place() == ["j.0.0.0@i-1"]


@pytest.mark.parametrize("advised", [True, False])
@pytest.mark.parametrize("ends", ["queued", "sent"])
def test_advice_on_an_ended_life_does_not_count_for_the_next_one(
        bench, monkeypatch, ends, advised):
    """Guards against tickets and refusals that a request in between brings."""
    bench.state.advice.service = service = StubAdviceService(
        {"i-1"} if advised else set())
    bench.add(fleetfakes.job("j", messages.Step(1, STEP.room)))
    bench.place()
    if ends == "queued":
        restart(bench, "i-1")
    else:
        advise = service.advise

        def advise_during_restart(*request):
            restart(bench, "i-1")
            return advise(*request)
        monkeypatch.setattr(service, "advise", advise_during_restart)
    fetch_all(bench)
    monkeypatch.undo()
    service.advised_workers = {"i-1"}
    assert not bench.place()
    fetch_all(bench)
    assert "i-1" in service.requests[-1][1]
    assert bench.place() == ["j.0.0.0@i-1"]


def test_no_call_without_workers_once_the_only_one_has_restarted():
    """Guards against a step that waits for a call without workers."""
    bench = test_fleet_state.Bench(fleetfakes.entry(1))
    bench.state.configuration = configuration
    bench.now = clock.now()
    bench.state.advice.service = service = StubAdviceService({"i-1"})
    bench.add(fleetfakes.job("j", messages.Step(1, STEP.room)))
    bench.place()
    restart(bench, "i-1")
    fetch_all(bench)
    assert not service.requests
    bench.place()
    fetch_all(bench)
    assert bench.place() == ["j.0.0.0@i-1"]


def test_failed_request_does_not_block_those_of_other_steps(bench):
    """Guards against a failing request that holds up all others."""
    bench.state.advice.service = service = StubAdviceService(
        {"i-1"}, refusals=1)
    for job_id in ("j", "k"):
        bench.add(fleetfakes.job(job_id, messages.Step(1, STEP.room)))
    bench.place()
    cache = bench.state.advice
    for _ in range(2):
        cache.fetch(next(iter(cache.pending.values())))
    assert [step for step, _ in service.requests] == ["k.0.0"]


# How long a call for advice takes, and how many workers are unsuitable.
CALL_S = 0.7
UNSUITABLE_WORKERS = 100
SUITABLE_WORKER = f"i-{UNSUITABLE_WORKERS}"
CALLS_FOR_ALL_WORKERS = math.ceil(
    (UNSUITABLE_WORKERS + 1) / advice.MAX_WORKERS_PER_CALL)
SLOW_POLICY = messages.AdvicePolicy(100.0, 20.0, 5000.0)
LABELLED = messages.Step(1, messages.Resources(1000, 1000), requires="b")
WIDE = messages.Step(1, messages.Resources(1000, 2000))
# Fits on no worker besides the runs that fill most of the memory of each.
TOO_WIDE = messages.Step(1, messages.Resources(1000, 15_500))


def queues_with_and_without_advice():
    return messages.Configuration(1, (
        messages.Queue("checks", "h", "/c/", "desk", 1, 2, SLOW_POLICY),
        messages.Queue("urgent", "h", "/u/", "desk", 0, 2),
        messages.Queue("low", "h", "/l/", "desk", 2, 2)))


def advise_on_all(bench, monkeypatch):
    """Let the service of a bench advise each worker that it is asked about."""
    bench.state.configuration = queues_with_and_without_advice
    bench.state.advice.service = service = StubAdviceService(
        set(bench.state.workers))
    monkeypatch.setattr(clock, "now", lambda: bench.now)
    return service


def bench_with_one_suitable_worker(monkeypatch, low_mem_mb):
    """Return a bench whose last worker has free memory, and less free CPU."""
    bench = test_fleet_state.Bench(
        *(fleetfakes.entry(n, 8000) for n in range(UNSUITABLE_WORKERS)),
        fleetfakes.entry(UNSUITABLE_WORKERS, labels=("b", "r0"),
                         capacity=messages.Resources(4000, 14_000, 0)))
    service = advise_on_all(bench, monkeypatch)
    bench.add(fleetfakes.job("urgent", messages.Step(
        UNSUITABLE_WORKERS, messages.Resources(100, 15_000)), queue="urgent"))
    if low_mem_mb:
        bench.add(fleetfakes.job("low", messages.Step(
            1, messages.Resources(100, low_mem_mb), requires="b"),
            queue="low", priority=2))
    placed = bench.place()
    assert len(placed) == UNSUITABLE_WORKERS + bool(low_mem_mb)
    return bench, service


@pytest.mark.parametrize("other_steps", [0, 3])
@pytest.mark.parametrize(("step", "low_mem_mb", "max_calls"), [
    (LABELLED, 0, 1), (WIDE, 0, 1), (WIDE, 13_000, CALLS_FOR_ALL_WORKERS),
], ids=["label", "memory", "preemption"])
def test_suitable_worker_is_reached_although_other_steps_wait(
        monkeypatch, step, low_mem_mb, max_calls, other_steps):
    """Guards against asking about the same unsuitable workers for good."""
    bench, service = bench_with_one_suitable_worker(monkeypatch, low_mem_mb)
    for number in range(other_steps):
        bench.add(fleetfakes.job(f"other-{number}", TOO_WIDE))
    bench.add(fleetfakes.job("j", step))
    before = len(bench.orders)
    for _ in range(100):
        bench.place()
        if len(bench.orders) > before:
            break
        bench.state.advice.fetch(next(iter(
            bench.state.advice.pending.values())))
        bench.now += CALL_S
    assert [worker for worker, _ in bench.orders[before:]] == [SUITABLE_WORKER]
    assert sum(s == "j.0.0" for s, _ in service.requests) <= max_calls


@pytest.mark.parametrize(("requires", "mem_mb"), [("c", 10), ("", 16_001)],
                         ids=["label", "memory"])
def test_no_request_for_a_step_that_no_worker_can_run(
        bench, requires, mem_mb):
    """Guards against calls of which no ticket can be used."""
    bench.add(fleetfakes.job("j", messages.Step(
        1, messages.Resources(1000, mem_mb), requires=requires)))
    assert not bench.place()
    assert not bench.state.advice.pending


@pytest.mark.parametrize(("count", "asked_first"), [(2, False), (1, True)],
                         ids=["found-unsuitable", "not-tried"])
def test_worker_found_unsuitable_is_not_asked_about_first(
        monkeypatch, count, asked_first):
    """Guards against tickets that expire unused, again and again."""
    free_workers = advice.MAX_WORKERS_PER_CALL
    bench = test_fleet_state.Bench(*(
        fleetfakes.entry(n, labels=("a",) if n < free_workers else ("b",))
        for n in range(2 * free_workers)))
    service = advise_on_all(bench, monkeypatch)
    bench.add(fleetfakes.job("urgent", messages.Step(
        free_workers, messages.Resources(4000, 10), requires="b"),
        queue="urgent"))
    assert len(bench.place()) == free_workers
    bench.add(fleetfakes.job("j", messages.Step(
        count, messages.Resources(4000, 10), gang=True)))
    service.advised_workers = {"i-0"}
    assert not bench.place()
    cache = bench.state.advice
    fetch_all(bench)
    if not asked_first:
        assert not bench.place()
        service.refusals = 1
        fetch_all(bench)
    bench.now += 10.0
    assert not bench.place()
    named = cache.pending[messages.StepId("j", 0, 0)].workers
    assert (named[0] == "i-0") == asked_first
    assert len(named) == free_workers


@pytest.mark.parametrize(("refusals", "calls", "reason"), [
    (0, 0, waitingreasons.ADVICE_PENDING),
    (9, 1, waitingreasons.ADVICE_FAILING),
    (1, 2, ""),
])
def test_reason_says_that_a_step_waits_for_advice(
        bench, refusals, calls, reason):
    """Guards against "no worker found" beside free workers."""
    bench.now = clock.now()
    bench.state.advice.service = StubAdviceService({"i-1"}, refusals=refusals)
    bench.add(fleetfakes.job("j", messages.Step(1, STEP.room)))
    for _ in range(calls):
        bench.place()
        fetch_all(bench)
    placed = bench.place()
    job = bench.state.jobs["j"]
    assert bool(placed) != bool(reason)
    if reason:
        assert waitingreasons.step_reason(
            bench.state, job, job.tasks[0, 0], bench.now) == reason


@pytest.mark.parametrize("taken_over", [False, True])
def test_steps_of_a_removed_queue_start_by_its_policy(bench, taken_over):
    """Guards against accepted jobs that stand still once a queue is gone."""
    job = fleetfakes.job("j", STEP, advice=POLICY)
    if taken_over:
        job = progress.decode_job(progress.encode_job(job))
    bench.add(job)
    bench.state.advice.service = StubAdviceService(["i-1"])
    bench.state.configuration = messages.Configuration
    assert not bench.place()
    fetch_all(bench)
    assert bench.place() == ["j.0.0.0@i-1", "j.0.0.1@i-1"]
    assert {order.ticket for _, order in bench.orders} == {"j.0.0/i-1"}


def test_configured_policy_is_used_in_place_of_the_stored_one(bench):
    """Guards against jobs that wait for advice nobody asks for any more."""
    bench.add(fleetfakes.job("j", STEP, advice=POLICY))
    bench.state.configuration = fleetfakes.configuration
    assert len(bench.place()) == 2


def test_start_without_a_ticket_is_not_repeated_at_once(bench):
    """Guards against hundreds of rejected starts a second."""
    bench.add(fleetfakes.job("j"))
    bench.state.configuration = fleetfakes.configuration
    rounds.place(bench.state, bench.now, 1e12)
    (worker_id, order), = bench.orders
    answers.record_rejected(bench.state, worker_id, order,
                            interfaces.INVALID_TICKET, bench.now)
    assert not bench.place()
    bench.now += answers.UNHEALTHY_PAUSE_S
    assert bench.place()
