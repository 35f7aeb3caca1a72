"""Test which jobs entry processes reject because of load."""

import dataclasses
import json

import pytest

from sycamorefield import events
from sycamorefield.fleet import admission
from sycamorefield.fleet import backlog
from sycamorefield.fleet import backlogmeter
from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import jobrequests
from sycamorefield.fleet import messages
from sycamorefield.fleet import owner as owner_mod
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.fleet import recorder as recorder_mod
from sycamorefield.fleet import records
from sycamorefield.platform import front as front_mod
from tests import admissionload
from tests import fleetfakes
from tests import test_fleet_partial_reach
from tests import test_fleet_state
from tests import test_fleet_takeover
from tests import test_fleet_usage

WALL_MS = 1_000_000.0
QUEUE = messages.Queue("checks", "h", "/c/", "desk", 0, 2, None, 1.5, 300.0)
RENEWALS = messages.Queue("renewals", "h", "/r/", "desk", 2, 2, None, 2.0,
                          1000.0)
STEP = messages.Step(1, messages.Resources(1000, 10), 1000)
BOUNDS = backlog.RunBounds(0.0, (0.8, 1.0, 1.2), (1.0, 1.0, 1.0))
# Three times the objective of STEP: 3 * (1.5 * 1.2 s + 0.3 s).
LIMIT_S = 6.3


class FakeClock:
    """Replaces the clocks of the scheduler."""

    def __init__(self, monkeypatch) -> None:
        self.now = 100.0
        monkeypatch.setattr(clock, "now", lambda: self.now)
        monkeypatch.setattr(
            clock, "wall_ms",
            lambda: WALL_MS + (self.now - 100.0) * 1000.0)


@pytest.fixture(name="time_now")
def fixture_time_now(monkeypatch):
    return FakeClock(monkeypatch)


@pytest.fixture(name="lines")
def fixture_lines(monkeypatch):
    """Collect log lines as (event, fields)."""
    lines = []
    monkeypatch.setattr(events, "emit",
                        lambda event, **fields: lines.append((event, fields)))
    return lines


def put(store, key, value):
    return store.commit(messages.Transaction(
        puts=(messages.Put(key, value),)))


def overloaded(fence, wait_s=30.0, **overrides):
    """Return a backlog with a wait for tasks of one core or more."""
    fields = {
        "version": 1, "written_ms": WALL_MS, "fence": fence,
        "pools": (backlog.Pool("desk", "", 0, 100.0, 5.0, 4.0, 0.0,
                               (backlog.Wait(1000.0, wait_s),)),),
        "queues": {"checks": backlog.QueueLoad(
            "desk", 0, 4.0, 30.0, BOUNDS)}}
    return backlog.Backlog(**(fields | overrides))


class Entry:
    """An entry process with a store; the backlog is read at once."""

    def __init__(self, store=None, enabled=True) -> None:
        self.store = store or fleetfakes.MemoryStore()
        if records.OWNER_KEY not in self.store.items:
            put(self.store, records.OWNER_KEY, b"me")
        self.claim = self.store.items[records.OWNER_KEY].revision
        self.handler = jobrequests.JobRequestHandler(
            self.store, lambda: False, lambda: self.claim, enabled)
        if self.handler.admission:
            self.handler.admission.run_in_background = lambda read: read()

    def publish(self, value=None):
        put(self.store, records.BACKLOG_KEY, value if value is not None
            else backlog.encode(overloaded(self.claim)))

    def submit(self, job_id="a", *steps, queue=QUEUE, **fields):
        job = fleetfakes.job(job_id, *(steps or (STEP,)), queue=queue.name,
                             priority=queue.priority, **fields)
        return self.handler.submit(job, clock.now() + 3.0, queue)

    def stored(self, job_id="a"):
        return records.job_key(job_id) in self.store.items


def is_rejected(outcome):
    return isinstance(outcome, admission.Rejected)


def test_hopeless_job_is_rejected_and_not_stored(time_now, lines):
    """Guards against a rejected job that runs."""
    entry = Entry()
    entry.publish()
    commits = entry.store.commits
    assert is_rejected(entry.submit())
    assert entry.store.commits == commits and not entry.stored()
    assert [event for event, _ in lines] == [events.JOB_REJECTED]
    assert entry.handler.admission.gauges()["jobs_rejected_total"] == 1.0


def test_without_the_switch_no_backlog_is_read(time_now, monkeypatch):
    """Guards against a switch that does not restore earlier behaviour."""
    entry = Entry(enabled=False)
    entry.publish()
    keys = []
    monkeypatch.setattr(entry.store, "get", keys.append)
    assert entry.submit() == jobrequests.Accepted()
    assert entry.stored() and not keys


def change(**fields):
    return lambda entry: entry.publish(backlog.encode(
        overloaded(entry.claim, **fields)))


def publish_changed(**fields):
    """Publish a backlog with fields that a valid one could not have."""
    def publish(entry):
        row = json.loads(backlog.encode(overloaded(entry.claim)))
        entry.publish(json.dumps(row | fields).encode())
    return publish


def publish_and_change_owner(entry):
    entry.publish()
    entry.claim = put(entry.store, records.OWNER_KEY, b"other")


def publish_before_claim(entry):
    entry.publish()
    entry.claim = 10**6


def lose_owner(entry):
    entry.publish()
    entry.claim = None


@pytest.mark.parametrize(("prepare", "rejected"), [
    (change(), True),
    (change(written_ms=WALL_MS - 2900.0), True),
    (lambda entry: None, False),
    (change(written_ms=WALL_MS - 3100.0), False),
    (change(written_ms=WALL_MS + 1.0), False),
    (publish_and_change_owner, False),
    (publish_before_claim, False),
    (lose_owner, False),
    (publish_changed(fence=99), False),
    (lambda entry: entry.publish(b""), False),
    (lambda entry: entry.publish(b"\xff\x00"), False),
    (lambda entry: entry.publish(b"[" * 4000), False),
    (lambda entry: entry.publish(
        backlog.encode(overloaded(entry.claim))[:-20]), False),
    (lambda entry: entry.publish(b" " * 5000 + backlog.encode(
        overloaded(entry.claim))), False),
    (publish_changed(version=2), False),
    (publish_changed(written_ms="now"), False),
    (publish_changed(pools=7), False),
    (publish_changed(pools=[{"service": "desk"}]), False),
    (publish_changed(queues={"checks": {
        "service": "desk", "priority": 0, "got_cores": -1}}), False),
    (publish_changed(written_ms=float("nan")), False),
], ids=["usable", "2.9 s old", "missing", "3.1 s old", "future",
        "owner changes", "older than claim", "no owner", "other fence",
        "empty", "binary", "nested", "torn", "long", "newer version",
        "time of another type", "pools of another type", "torn pool",
        "negative", "not a number"])
def test_only_a_usable_backlog_rejects(time_now, prepare, rejected):
    """Guards against rejections by a backlog that says nothing of now."""
    entry = Entry()
    prepare(entry)
    assert is_rejected(entry.submit()) is rejected
    assert entry.stored() is not rejected


@pytest.mark.parametrize("wall_ms", [1.8e12, 4e12])
def test_backlog_written_at_a_present_time_is_readable(wall_ms):
    """Guards against a limit on values that excludes every time of day."""
    found = overloaded(3, written_ms=wall_ms)
    assert backlog.decode(backlog.encode(found)) == found


def test_time_set_back_does_not_keep_a_backlog_usable(time_now, monkeypatch):
    """Guards against a backlog that stays young as the time of day jumps."""
    entry = Entry()
    entry.publish()
    monkeypatch.setattr(clock, "wall_ms", lambda: WALL_MS + 1.0)
    assert is_rejected(entry.submit())
    time_now.now += 3.1
    assert entry.submit("b") == jobrequests.Accepted()


def test_unusable_backlog_is_logged_once(time_now, lines):
    """Guards against a line for each job while another's backlog is read."""
    entry = Entry()
    entry.publish(b"torn")
    for number in range(5):
        entry.submit(f"j{number}")
        time_now.now += 1.0
    found = [fields for event, fields in lines
             if event is events.BACKLOG_UNUSABLE]
    assert found == [{"key": records.BACKLOG_KEY, "reason": "unreadable"}]


def step(**fields):
    return dataclasses.replace(STEP, **fields)


@pytest.mark.parametrize(("steps", "fields", "wait_s", "rejected"), [
    ((STEP,), {}, LIMIT_S - 0.7, True),
    ((STEP,), {}, LIMIT_S - 0.9, False),
    ((step(room=messages.Resources(999, 10)),), {}, 30.0, False),
    ((step(estimate_ms=10_000),), {}, 30.0, False),
    ((step(estimate_ms=0),), {}, 30.0, True),
    ((step(perpetual=True),), {}, 30.0, False),
    ((STEP, step(perpetual=True)), {}, 30.0, False),
    ((step(fills=True),), {}, 30.0, False),
    ((STEP, step(fills=True, after=(0,))), {}, 30.0, False),
    ((STEP,), {"start_at_ms": WALL_MS}, 30.0, False),
    ((STEP,), {"repeat_count": 3}, 30.0, False),
    ((STEP,), {"queue": RENEWALS}, 30.0, False),
    ((STEP,), {"service": "other"}, 30.0, False),
    ((STEP, step(after=(0,))), {}, 10.0, False),
    ((STEP, step(after=(0,))), {}, 10.2, True),
    ((step(requires="a"),), {}, 30.0, True),
    ((step(estimate_ms=10**300),), {}, 30.0, False),
], ids=["hopeless", "could end", "narrower than what waits",
        "declared longer", "no estimate", "long-running", "partly", "fills",
        "best-effort not learnt", "start time", "repeated",
        "nothing learnt", "other service", "two steps could end",
        "two steps hopeless", "label", "estimate without bound"])
def test_only_jobs_that_cannot_end_in_time_are_rejected(
        time_now, steps, fields, wait_s, rejected):
    """Guards against rejecting a job that could end in 3 x its objective."""
    entry = Entry()
    entry.publish(backlog.encode(overloaded(entry.claim, wait_s)))
    assert is_rejected(entry.submit("a", *steps, **fields)) is rejected


def test_wait_shrinks_by_the_age_of_the_backlog(time_now):
    """Guards against counting work that was done since it was measured."""
    entry = Entry()
    entry.publish(backlog.encode(overloaded(entry.claim, LIMIT_S)))
    assert is_rejected(entry.submit("a"))
    time_now.now += 1.1
    assert entry.submit("b") == jobrequests.Accepted()


@pytest.mark.parametrize("fault", ["lose_calls", "keep_late"])
def test_job_with_an_unanswered_write_is_not_rejected(time_now, fault):
    """Guards against a rejected job whose first write is still on its way."""
    entry = Entry()
    setattr(entry.store, fault, 2)
    assert isinstance(entry.submit(), jobrequests.Uncertain)
    entry.publish()
    time_now.now += 1.0
    assert entry.submit() == jobrequests.Accepted()
    entry.store.deliver_late()
    assert entry.stored()


def test_job_accepted_here_is_not_rejected(time_now):
    """Guards against two answers for one job."""
    entry = Entry()
    assert entry.submit() == jobrequests.Accepted()
    entry.publish()
    time_now.now += 1.0
    assert is_rejected(entry.submit("b"))
    assert entry.submit() == jobrequests.Accepted()


def test_job_stored_by_another_process_is_not_rejected(time_now):
    """Guards against rejecting a repeat that another process answers."""
    entry = Entry()
    assert entry.submit() == jobrequests.Accepted()
    entry.publish()
    assert Entry(entry.store).submit() == jobrequests.Accepted()


@pytest.mark.parametrize("error", [
    interfaces.CallFailed("silent"), interfaces.CallRefused("503")])
def test_failed_read_of_the_job_means_no_rejection(
        time_now, monkeypatch, error):
    """Guards against a rejection while the job may be stored."""
    entry = Entry()
    entry.publish()
    get = entry.store.get

    def fail_for_jobs(key):
        if key.startswith(records.JOB_PREFIX):
            raise error
        return get(key)

    monkeypatch.setattr(entry.store, "get", fail_for_jobs)
    assert entry.submit() == jobrequests.Accepted()


def test_job_stored_during_the_read_is_not_rejected(time_now, monkeypatch):
    """Guards against two requests at once, one rejected and one stored."""
    entry = Entry()
    entry.publish()
    get = entry.store.get

    def get_after_other_request(key):
        item = get(key)
        if key.startswith(records.JOB_PREFIX) and not entry.stored():
            entry.handler._store_job(fleetfakes.job("a", STEP), 103.0)
        return item

    monkeypatch.setattr(entry.store, "get", get_after_other_request)
    assert entry.submit() == jobrequests.Accepted()
    with entry.handler.in_progress.entered("b"):
        assert not is_rejected(entry.submit("b"))


def test_silent_store_delays_no_request_and_ends_rejections(
        time_now, monkeypatch):
    """Guards against requests that wait for a read of the backlog."""
    entry = Entry()
    entry.publish()
    assert is_rejected(entry.submit())
    pending = []
    entry.handler.admission.run_in_background = pending.append
    for number in range(4):
        time_now.now += 1.0
        outcome = entry.submit(f"j{number}")
        assert is_rejected(outcome) is (number < 3)
    # The first read is still in progress.
    assert len(pending) == 1


def test_backlog_is_read_once_a_second_while_jobs_are_submitted(
        time_now, monkeypatch):
    """Guards against a read of the backlog for each job."""
    entry = Entry()
    keys = []
    get = entry.store.get
    monkeypatch.setattr(entry.store, "get",
                        lambda key: keys.append(key) or get(key))
    for number in range(30):
        entry.submit(f"j{number}")
        time_now.now += 0.1
    assert keys == [records.BACKLOG_KEY] * 3


def test_error_in_the_estimate_rejects_nothing(time_now, monkeypatch, lines):
    """Guards against callers that get errors because of an estimate."""
    entry = Entry()
    entry.publish()
    monkeypatch.setattr(backlog, "estimate_times", lambda *_: 1 / 0)
    assert entry.submit() == jobrequests.Accepted()
    assert events.THREAD_FAILED in [event for event, _ in lines]


def test_front_tells_overload_from_an_unavailable_store(time_now):
    """Guards against callers that cannot tell why they are refused."""
    entry = Entry()
    entry.publish()
    replies = [front_mod._reply_for(entry.submit())]
    entry.store.refuse = True
    time_now.now += 5.0
    replies.append(front_mod._reply_for(entry.submit()))
    assert [reply.status for reply in replies] == [503, 503]
    assert [reply.body["error"] for reply in replies] == [
        front_mod.OVERLOADED, front_mod.STORE_UNAVAILABLE]
    assert replies[0].retry_after_s in (1, 2)


@pytest.mark.parametrize(("excess_s", "expected"), [
    (0.1, {1, 2}), (1.0, {1, 2}), (1.5, {2}), (1e9, {2})])
def test_retry_after_is_useful_and_spread(excess_s, expected):
    """Guards against callers that return together or too late."""
    found = [admission.retry_after_s(f"{number:016x}", excess_s)
             for number in range(1000)]
    assert set(found) == expected
    assert found == [admission.retry_after_s(f"{number:016x}", excess_s)
                     for number in range(1000)]
    if len(expected) > 1:
        assert 400 < found.count(1) < 600


def test_who_was_rejected_a_second_earlier_returns_no_later():
    """Guards against callers that are passed by later ones."""
    spread = [admission.retry_after_s(f"{number:016x}", excess_s)
              for number in range(100) for excess_s in (0.1, 5.0)]
    assert max(spread) <= 1.0 + min(spread)


@pytest.mark.parametrize(("got", "asked", "below"), [
    ({"checks": 4.0}, {"checks": 9.0}, False),
    ({"checks": 2.0, "other": 2.0}, {"checks": 9.0, "other": 1.0}, True),
    ({"checks": 3.7, "other": 0.3}, {"checks": 9.0, "other": 1.0}, False),
    ({"checks": 3.5, "other": 0.5}, {"checks": 9.0, "other": 1.0}, True),
    ({"checks": 0.0, "other": 4.0}, {"checks": 1.0, "other": 1.0}, True),
    ({"checks": 0.0, "other": 0.0}, {"checks": 1.0, "other": 1.0}, False),
    ({"checks": 1.0, "other": 9.0}, {"checks": 1.0}, True),
    ({"checks": 1.0, "other": 9.0}, {}, True),
], ids=["alone", "half of 90%", "above", "below", "nothing",
        "nobody gets anything", "other asks elsewhere", "nothing asked"])
def test_queue_below_its_share_is_not_rejected(got, asked, below):
    """Guards against a queue that is rejected while another gets more."""
    found = overloaded(2, queues={
        name: backlog.QueueLoad("desk", 0, cores, 30.0, BOUNDS)
        for name, cores in got.items()} | {
            "urgent": backlog.QueueLoad("desk", 1, 99.0, 0.0, BOUNDS)})
    assert admission.is_below_share("checks", found, asked) is below
    rejection = admission.decide(
        fleetfakes.job("a", STEP), QUEUE, found, 0.0, asked)
    assert (rejection is None) is below


def test_all_entry_processes_decide_alike(time_now):
    """Guards against a data centre whose callers are rejected first."""
    entry = Entry()
    entry.publish(backlog.encode(overloaded(entry.claim, LIMIT_S)))
    entries = [entry, Entry(entry.store), Entry(entry.store)]
    outcomes = [[each.submit(f"j{number}") for number in range(20)]
                for each in entries]
    assert all(map(is_rejected, outcomes[0]))
    assert outcomes[0] == outcomes[1] == outcomes[2]


def test_rejected_jobs_count_as_asked_once(time_now):
    """Guards against a share that shrinks as a queue is rejected."""
    entry = Entry()
    entry.publish()
    for _ in range(3):
        assert is_rejected(entry.submit())
    assert entry.handler.admission.asked.snapshot() == {"checks": 1.0}


def test_encoded_backlog_is_bounded():
    """Guards against a backlog that its readers refuse as too long."""
    pools = tuple(backlog.Pool(f"s{n}", "", 0, 100.0 + n, 5.0, 4.0, 0.0,
                               (backlog.Wait(1000.0, 9.0),))
                  for n in range(40))
    queues = {f"q{n}": backlog.QueueLoad("s39", n // 10, 4.0, 0.0, BOUNDS)
              for n in range(60)}
    data = backlog.encode(overloaded(2, pools=pools, queues=queues))
    assert len(data) <= backlog.MAX_BYTES
    found = backlog.decode(data)
    assert found.pools and found.queues
    # Peers stay together, or their shares would be wrong.
    assert len(found.queues) % 10 == 0


# The owner's side


CONFIGURATION = messages.Configuration(1, (QUEUE, RENEWALS))
LONG = messages.Step(1, messages.Resources(1000, 10), 10_000)


class MeteredBench(test_fleet_state.Bench):
    """A fleet with known run times of 10 s, and its backlog meter."""

    def __init__(self, workers=4, learnt=("checks", "renewals"),
                 policy=policy_mod.Policy()) -> None:
        super().__init__(*(fleetfakes.entry(n) for n in range(workers)),
                         policy=policy)
        self.state.configuration = lambda: CONFIGURATION
        for name in learnt:
            for _ in range(40):
                self.state.run_times.record(name, LONG, 10.0)
        self.meter = backlogmeter.BacklogMeter(self.state)
        self.created = 20

    def fill(self, count, job_step=LONG, **fields):
        for _ in range(count):
            self.created += 1
            self.add(fleetfakes.job(
                f"j{self.created}", job_step,
                **({"accepted_ms": WALL_MS} | fields)), self.created)
        self.place(WALL_MS)

    def measure(self, seconds=6):
        """Measure each second, with all workers listed; return waits."""
        for _ in range(seconds):
            self.now += 1.0
            self.state.update_listed(set(self.state.workers), self.now)
            self.meter.update(self.now, WALL_MS)
        return self.waits()

    def waits(self, priority=0):
        latest = self.meter.latest
        return {} if latest is None else {
            pool.requires: [tuple(wait) for wait in pool.waits]
            for pool in latest.pools
            if pool.priority == priority and pool.waits}


def grow(bench):
    bench.measure()
    bench.state.add_worker(fleetfakes.entry(9))
    bench.report("i-9")
    bench.state.enrol(["i-0", "i-1", "i-2", "i-3", "i-9"])


def drain(bench):
    bench.state.add_worker(fleetfakes.entry(0, draining=True))


def await_workers(bench):
    bench.state.await_workers(["i-7"], 1e9)


def silence(bench):
    bench.state.mark_unresponsive("i-0", "no answer")


@pytest.mark.parametrize(("jobs", "prepare", "seconds", "expected"), [
    (24, lambda bench: None, 6, {"": [(1000.0, 5.0)]}),
    (16, lambda bench: None, 6, {}),
    (0, lambda bench: None, 6, {}),
    (24, lambda bench: None, 3, {}),
    (24, grow, 1, {}),
    (24, drain, 6, {}),
    (24, silence, 6, {}),
    (24, await_workers, 6, {}),
], ids=["overloaded", "full", "idle", "new owner", "growing", "draining",
        "silent worker", "workers awaited"])
def test_backlog_has_waits_only_if_the_fleet_is_overloaded(
        jobs, prepare, seconds, expected, time_now):
    """Guards against rejections by a fleet whose capacity is not known."""
    bench = MeteredBench()
    bench.fill(jobs)
    prepare(bench)
    assert bench.measure(seconds) == expected
    data = bench.meter.data
    assert bool(data and backlog.decode(data).waits()) is bool(expected)


@pytest.mark.parametrize("options", [
    {"workers": 0}, {"learnt": ()}, {"learnt": ("renewals",)}],
    ids=["no workers", "nothing learnt", "queue not learnt"])
def test_empty_fleet_or_one_that_learnt_nothing_has_no_waits(
        options, time_now):
    """Guards against rejections by estimates that are off by 90%."""
    bench = MeteredBench(**options)
    bench.fill(24)
    assert not bench.measure()


@pytest.mark.parametrize(("waiting", "fields", "expected"), [
    (dataclasses.replace(LONG, gang=True, count=4), {}, {}),
    (dataclasses.replace(LONG, max_per_worker=1), {}, {}),
    (dataclasses.replace(LONG, fills=True), {}, {}),
    (dataclasses.replace(LONG, perpetual=True), {}, {}),
    (LONG, {"queue": "renewals", "priority": 2}, {}),
    (LONG, {"accepted_ms": WALL_MS - 20_000.0}, {}),
    (LONG, {"accepted_ms": WALL_MS - 10_800.0}, {"": [(1000.0, 2.0)]}),
    (dataclasses.replace(LONG, requires="a"), {}, {"a": [(1000.0, 5.0)]}),
    (dataclasses.replace(LONG, room=messages.Resources(2000, 10)), {},
     {"": [(2000.0, 10.0)]}),
], ids=["gang", "per worker", "best-effort", "long-running", "less urgent",
        "late", "late soon", "label", "wide"])
def test_only_work_that_goes_before_a_new_job_counts(
        waiting, fields, expected, time_now):
    """Guards against waits for work that does not delay a new job."""
    bench = MeteredBench()
    bench.fill(16)
    bench.fill(8, waiting, **fields)
    assert bench.measure() == expected


def test_more_urgent_work_counts_however_late_it_is(time_now):
    """Guards against accepting batch jobs that urgent ones keep waiting."""
    bench = MeteredBench()
    bench.fill(64, accepted_ms=WALL_MS - 60_000.0)
    assert not bench.measure()
    assert bench.waits(priority=2) == {"": [(1000.0, 30.0)]}


def test_urgent_work_that_may_not_come_does_not_count(time_now):
    """Guards against rejecting jobs that start once an overload is over."""
    bench = MeteredBench()
    bench.fill(12)
    bench.fill(16, queue="renewals", priority=2)
    for _ in range(10):
        bench.measure()
        assert bench.waits(2) == {"": [(1000.0, 7.5)]}


def test_free_cpu_means_that_tasks_wait_for_something_else(time_now):
    """Guards against rejections while tasks wait for memory."""
    bench = MeteredBench()
    wide = dataclasses.replace(LONG, room=messages.Resources(1000, 16_000))
    bench.fill(24, wide)
    assert not bench.measure()


@pytest.mark.parametrize(("works", "expected"), [
    ([(0.0, 9.0, 4.0)], 1.0), ([(0.0, 0.5, 4.0)], 0.5),
    ([(0.0, -1.0, 4.0)], 0.0), ([(0.0, 9.0, 4.0), (0.5, 9.0, 4.0)], 2.0),
    ([(0.0, 9.0, 4.0), (1.5, 9.0, 4.0)], 1.0), ([(0.1, 9.0, 4.0)], 0.0),
], ids=["one", "lapses", "late", "second step", "second step too late",
        "not ready"])
def test_first_start_is_when_the_work_ahead_is_done(works, expected):
    """Guards against counting work that does not keep the fleet busy."""
    ahead = [backlog.Work(backlog.PoolKey("desk", ""), 0, ready_s, lapse_s,
                          20, 1000, cpu_s)
             for ready_s, lapse_s, cpu_s in works]
    assert backlog.first_start_s(ahead, 4.0) == expected


def test_measuring_holds_the_lock_for_a_job_at_a_time(time_now):
    """Guards against reports and leases that wait for a measurement."""
    bench = MeteredBench()
    bench.fill(60)
    bench.state.lock = test_fleet_usage.CountingLock()
    bench.meter.update(bench.now, WALL_MS)
    assert bench.state.lock.acquisitions >= 60


@pytest.mark.parametrize("enabled", [True, False])
def test_owner_without_the_switch_neither_reads_nor_measures(
        enabled, monkeypatch):
    """Guards against a switch that does not restore earlier behaviour."""
    fleet = test_fleet_takeover.Fleet()
    put(fleet.store, records.BACKLOG_KEY, b"of an earlier owner")
    fence = put(fleet.store, records.OWNER_KEY, b"me")
    keys = []
    get = fleet.store.get
    monkeypatch.setattr(fleet.store, "get",
                        lambda key: keys.append(key) or get(key))
    owner = owner_mod.Owner(
        fleet.store, fleet.worker_list,
        lambda entry: fleet.workers[entry.worker_id],
        fleetfakes.configuration, fence, 6000.0,
        policy=policy_mod.Policy(reject_hopeless_jobs=enabled))
    owner.recovery.load()
    assert (records.BACKLOG_KEY in keys) is enabled
    assert ("backlog_bytes" in owner.gauges()) is enabled
    started = []
    monkeypatch.setattr(owner.backlog_meter, "run", started.append)
    owner._follow_backlog()
    assert bool(started) is enabled
    owner.step_down("test over")


def test_backlog_of_an_error_is_not_used(time_now, monkeypatch, lines):
    """Guards against an error in measuring that ends an owner's term."""
    meter = MeteredBench().meter
    lines.clear()
    meter.data = b"earlier"
    monkeypatch.setattr(meter, "_measure", lambda *_: 1 / 0)
    waits = iter([False, True])
    meter.run(type("Stopped", (), {"wait": lambda _, __: next(waits)})())
    assert meter.data is None
    assert [event for event, _ in lines] == [events.THREAD_FAILED]


def test_recorder_writes_the_backlog_at_most_once_a_second(monkeypatch):
    """Guards against writes that cost the store more than they help."""
    now = [50.0]
    monkeypatch.setattr(recorder_mod.time, "monotonic", lambda: now[0])
    bench = MeteredBench()
    store = fleetfakes.MemoryStore()
    recorder = test_fleet_partial_reach.make_recorder(bench, store)
    recorder.flush()
    assert records.BACKLOG_KEY not in store.items
    written = []
    for number in range(21):
        value = f"{number}".encode()
        recorder.backlog_data = lambda value=value: value
        recorder.flush()
        written.append(store.items[records.BACKLOG_KEY].value)
        now[0] += 0.1
    assert sorted(set(written)) == [b"0", b"10", b"20"]
    # The backlog of another writer is replaced, and only once.
    put(store, records.BACKLOG_KEY, b"foreign")
    now[0] += 1.0
    recorder.backlog_data = lambda: b"new"
    recorder.flush()
    now[0] += 1.0
    recorder.flush()
    assert store.items[records.BACKLOG_KEY].value == b"new"


# Load in simulated time


NORMAL = {"urgent": 0.25, "batch": 0.25, "other": 0.1}


def below_capacity(queue, at):
    return NORMAL[queue]


def burst(queue, at):
    """Return 2.5 times the usual load for 6 s."""
    return NORMAL[queue] * (2.5 if 25.0 <= at < 31.0 else 1.0)


def lasting_overload(queue, at):
    return 2.5 if queue == "urgent" and 25.0 <= at < 55.0 else NORMAL[queue]


@pytest.mark.parametrize(("load", "some_told"), [
    (below_capacity, False), (burst, False), (lasting_overload, True)])
@pytest.mark.parametrize("seed", [1, 2])
def test_no_kind_of_caller_is_served_less_with_admission(
        load, some_told, seed, time_now, monkeypatch):
    """Guards against admission that rejects jobs which would be served."""
    monkeypatch.setattr(events, "emit", lambda *_, **__: None)
    runs = []
    for with_admission in (False, True):
        simulation = admissionload.Simulation(
            time_now, load, with_admission, seed)
        simulation.run(60.0)
        simulation.load = lambda queue, at: 0.0
        simulation.run(20.0)
        runs.append(simulation)
    without, with_ = (run.outcomes() for run in runs)
    for name, counts in without.items():
        assert with_[name]["in time"] >= counts["in time"]
        assert (with_[name]["in time"] + with_[name]["late"]
                >= counts["in time"] + counts["late"])
    told = [index for index, caller in enumerate(runs[1].callers)
            if caller.outcome() == "told"]
    assert bool(told) is some_told
    # Whoever is told would have been served too late.
    assert {runs[0].callers[index].outcome() for index in told} <= {"lost"}
    # A rejected job is not stored.
    assert not any(records.job_key(runs[1].callers[index].job.job_id)
                   in runs[1].store.items for index in told)
