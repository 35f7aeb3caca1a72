"""Test requests of an owner whose ready tasks need workers it can't reach.

Few workers are cut off from the owner, so that little is lost in the mean of
all workers.
"""

import dataclasses
import typing

import pytest

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import controlwatcher
from sycamorefield.fleet import handover
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import records
from sycamorefield.fleet import unreached as unreached_mod
from sycamorefield.fleet import unreachedneeds
from tests import fleetfakes
from tests import test_fleet_advice
from tests import test_fleet_handover
from tests import test_fleet_state
from tests import test_fleet_takeover

WORKERS = 100
# The first workers are cut off, of which the first ones are of a kind.
CUT = 4
OF_A_KIND = 3
# Within this time of the cut, a request must be due.
LIMIT_S = unreached_mod.UNREACHED_AFTER_S + 6.0
SMALL = messages.Resources(1000, 1000)
WHOLE = messages.Resources(4000, 1000)
CUT_IDS = {f"i-{number}" for number in range(CUT)}
KIND_IDS = {f"i-{number}" for number in range(OF_A_KIND)}


def label(number):
    return {"labels": ("k",) if number < OF_A_KIND else ()}


def give_memory(number):
    capacity = messages.Resources(
        4000, 64_000 if number < OF_A_KIND else 16_000)
    return {"capacity": capacity}


def give_gpu(number):
    return {"capacity": messages.Resources(
        4000, 16_000, 2 if number < OF_A_KIND else 0)}


def nothing(number):
    return {}


def drain(number):
    return {**label(number), "draining": number < OF_A_KIND}


def label_some_reached(number):
    is_of_kind = number < OF_A_KIND or 0 <= number - CUT < OF_A_KIND
    return {"labels": ("k",) if is_of_kind else ()}


class Scene(typing.NamedTuple):
    """A fleet of workers by their entries, with a job and other runs.

    Each reached worker has used_cpu in use; those unreached are empty.
    needed are the workers that a request must name, if one must be made.
    """

    name: str
    change: typing.Callable[[int], dict[str, typing.Any]]
    step: messages.Step
    used_cpu: int
    needed: set[str]


SCENES = [
    Scene("label", label, messages.Step(1, SMALL, requires="k"), 0, KIND_IDS),
    Scene("memory", give_memory, messages.Step(
        1, messages.Resources(1000, 32_000)), 0, KIND_IDS),
    Scene("gpu", give_gpu, messages.Step(
        1, messages.Resources(1000, 1000, 1)), 0, KIND_IDS),
    Scene("wide", nothing, messages.Step(1, WHOLE), 1000, CUT_IDS),
    Scene("gang", label_some_reached, messages.Step(
        5, WHOLE, gang=True, requires="k"), 0, KIND_IDS),
    Scene("gang-in-part", label, messages.Step(
        2, SMALL, gang=True, requires="k"), 0, KIND_IDS),
    Scene("max-per-worker", label_some_reached, messages.Step(
        6, SMALL, requires="k", max_per_worker=1), 0, KIND_IDS),
    Scene("long-running", label, messages.Step(
        1, SMALL, requires="k", perpetual=True), 0, KIND_IDS),
    Scene("best-effort", label, messages.Step(
        1, SMALL, requires="k", fills=True), 0, KIND_IDS),
    Scene("runs-elsewhere", nothing, messages.Step(3, SMALL), 0, set()),
    Scene("fits-nowhere", nothing, messages.Step(
        1, messages.Resources(9000, 1000)), 0, set()),
    Scene("unknown-label", nothing, messages.Step(
        1, SMALL, requires="none"), 0, set()),
    Scene("gang-fits-nowhere", label, messages.Step(
        OF_A_KIND + 1, WHOLE, gang=True, requires="k"), 0, set()),
    Scene("draining", drain, messages.Step(1, SMALL, requires="k"), 0, set()),
    Scene("all-busy", nothing, messages.Step(1, WHOLE), 4000, set()),
]


class Owner:
    """An owner without threads, some of whose workers are silent."""

    def __init__(self, change, workers=WORKERS,
                 limit=handover.RequestLimit()):
        self.bench = test_fleet_state.Bench(*(
            dataclasses.replace(fleetfakes.entry(n), **change(n))
            for n in range(workers)))
        self.store = fleetfakes.MemoryStore()
        self.store.commit(messages.Transaction(
            puts=(messages.Put(records.OWNER_KEY, b"me"),)))
        self.bench.state.fence = self.store.items[records.OWNER_KEY].revision
        self.watcher = controlwatcher.ControlWatcher(
            self.store, "op/c", lambda _: fleetfakes.configuration())
        self.requests = handover.HandoverRequests(
            self.store, self.watcher, self.bench.state, 0, limit)

    def use(self, cpu):
        """Let runs use a part of each reached worker."""
        if not cpu:
            return
        step = messages.Step(WORKERS - CUT, messages.Resources(cpu, 100),
                             max_per_worker=1)
        self.bench.add(fleetfakes.job("other", step))
        assert len(self.bench.place()) == WORKERS - CUT

    def silence(self, worker_ids):
        """Cut the owner off from some workers."""
        for worker_id in worker_ids:
            self.bench.state.workers[worker_id].unresponsive = True

    def pass_time(self, seconds):
        """Place tasks and check for requests, as an owner does."""
        end = self.bench.now + seconds
        while self.bench.now < end:
            self.bench.state.list_read_at = self.bench.now
            self.bench.place()
            self.bench.now += handover.CHECK_PERIOD_S - 0.1
            self.requests.update(self.bench.now)

    def request(self):
        """Return the last request, if any."""
        item = self.store.items.get(records.HANDOVER_REQUEST_KEY)
        return item and handover.decode_request(item.value)

    def needed_ids(self):
        """Return the workers that a request names as needed."""
        request = self.request()
        names = {entry.entry.address: worker_id for worker_id, entry
                 in self.bench.state.workers.items()}
        return {names[address] for address in (
            request.needed_sample if request else ())}


@pytest.mark.parametrize("scene", SCENES, ids=lambda scene: scene.name)
def test_request_is_made_if_tasks_can_only_run_on_unreached_workers(scene):
    """Guards against tasks that wait for minutes beside free workers."""
    owner = Owner(scene.change)
    owner.silence(CUT_IDS)
    owner.use(scene.used_cpu)
    owner.bench.add(fleetfakes.job("j", scene.step))
    owner.pass_time(LIMIT_S)
    assert bool(owner.request()) == bool(scene.needed)
    assert owner.needed_ids() == scene.needed


def test_request_waits_until_tasks_have_lost_more_than_a_change_costs():
    """Guards against a pause of all placement for tasks that wait briefly."""
    owner = Owner(label)
    owner.silence(CUT_IDS)
    owner.pass_time(unreached_mod.UNREACHED_AFTER_S + 1.0)
    owner.bench.add(fleetfakes.job("j", messages.Step(
        1, SMALL, requires="k")))
    owner.pass_time(handover.MAX_TASK_WAIT_S - 0.5)
    assert owner.request() is None
    owner.pass_time(2.5)
    assert owner.request() is not None


def test_no_request_is_made_once_no_task_waits_for_unreached_workers():
    """Guards against a wait that is counted after it has ended."""
    owner = Owner(label)
    owner.silence(CUT_IDS)
    owner.bench.add(fleetfakes.job("j", messages.Step(
        1, SMALL, requires="k")))
    owner.pass_time(unreached_mod.UNREACHED_AFTER_S + 1.0)
    owner.bench.state.cancel("j")
    owner.pass_time(LIMIT_S)
    assert owner.request() is None


def test_steps_that_fit_nowhere_hide_no_step_that_waits_for_workers():
    """Guards against searches that are spent on the same steps each time."""
    owner = Owner(label)
    owner.silence(CUT_IDS)
    for number in range(20):
        owner.bench.add(fleetfakes.job(f"never{number}", messages.Step(
            1, messages.Resources(5000 + number, 10))))
    owner.bench.add(fleetfakes.job("j", messages.Step(
        1, SMALL, requires="k")))
    owner.pass_time(LIMIT_S + 3.0)
    assert owner.needed_ids() == KIND_IDS


def test_searches_for_unreached_workers_are_bounded(monkeypatch):
    """Guards against an owner that is busy with a search for each task."""
    monkeypatch.setattr(unreachedneeds, "MAX_WORKERS", 3 * WORKERS)
    owner = Owner(label)
    owner.silence(CUT_IDS)
    owner.use(4000)
    for number in range(1000):
        owner.bench.add(fleetfakes.job(f"j{number}", messages.Step(
            2, messages.Resources(3000 + number, 10))))
    assert not owner.bench.place()
    searches = []
    find_shortage = unreachedneeds.Searches._find_shortage
    monkeypatch.setattr(
        unreachedneeds.Searches, "_find_shortage", lambda *args:
        searches.append(args) or find_shortage(*args))
    needs = unreachedneeds.UnreachedNeeds()
    for after_s in (0.0, unreachedneeds.MIN_WAIT_S + 0.5):
        assert not searches
        needs.update(owner.bench.state, CUT_IDS, owner.bench.now + after_s)
    assert len(searches) == 3
    assert 0 < needs.waiting_tasks() <= 6


def test_owner_by_an_offer_makes_no_request_for_waiting_tasks_at_first():
    """Guards against two owners that miss workers of a kind each."""
    limit = handover.RequestLimit(
        100.0 + handover.MIN_TERM_AFTER_OFFER_S, frozenset(("another",)))
    owner = Owner(label, limit=limit)
    owner.silence(KIND_IDS)
    owner.bench.add(fleetfakes.job("j", messages.Step(
        1, SMALL, requires="k")))
    owner.pass_time(2 * LIMIT_S)
    assert owner.request() is None


def test_log_names_the_tasks_that_wait_for_unreached_workers(monkeypatch):
    """Guards against a request that does not say why it was made."""
    logged = []
    monkeypatch.setattr(events, "emit", lambda event, **fields: logged.append(
        (event, fields)))
    owner = Owner(label)
    owner.silence(CUT_IDS)
    owner.bench.add(fleetfakes.job("j", messages.Step(
        2, SMALL, requires="k")))
    owner.pass_time(LIMIT_S)
    fields = next(fields for event, fields in logged
                  if event is events.HANDOVER_REQUESTED)
    assert fields["waiting_tasks"] == 2
    assert fields["waiting_lost_s"] >= handover.MAX_TASK_WAIT_S


UNREACHED = tuple(f"u{n}" for n in range(16))
REACHED = tuple(f"r{n}" for n in range(48))
NEEDED = ("n0", "n1", "n2", "n3")


@pytest.mark.parametrize(("answering", "improved"), [
    (NEEDED + REACHED, True),
    (NEEDED[:2] + REACHED, True),
    (NEEDED[:1] + REACHED, False),
    (NEEDED + REACHED[1:], False),
    (UNREACHED[:7] + REACHED, False),
    (NEEDED, False),
])
def test_process_that_reaches_needed_workers_and_loses_none_takes_over(
        answering, improved):
    """Guards against offers that gain few workers and lose others."""
    request = handover.Request(UNREACHED, REACHED, 20, 156, NEEDED)
    assert request.is_improved_by(answering) == improved
    assert handover.decode_request(handover.encode_request(request)) == request
    assert set(request.addresses()) == {*UNREACHED, *REACHED, *NEEDED}


def test_request_of_an_earlier_version_is_read():
    """Guards against requests that are lost while versions are mixed."""
    request = handover.decode_request(
        b'{"unreached_sample": ["u"], "reached_sample": ["r"],'
        b' "unreached_count": 1, "reached_count": 1}')
    assert request == handover.Request(("u",), ("r",), 1, 1)


def test_task_of_a_kind_runs_although_its_owner_misses_few_workers(
        monkeypatch):
    """Guards against tasks that wait while all workers of a label are cut."""
    test_fleet_handover.shorten_times(monkeypatch)
    monkeypatch.setattr(handover, "CHANGE_OF_OWNER_S", 1000.0)
    monkeypatch.setattr(handover, "MAX_TASK_WAIT_S", 0.3)
    fleet = test_fleet_takeover.Fleet(12)
    fleet.store.commit(messages.Transaction(
        puts=(messages.Put(test_fleet_handover.CONFIG_KEY, b"{}"),)))
    fleet.worker_list.entries = tuple(
        dataclasses.replace(entry, labels=("k",) if number < 2 else ())
        for number, entry in enumerate(fleet.worker_list.entries))
    cut = ("i-0", "i-1")
    processes = [
        test_fleet_handover.Process("first", fleet, cut),
        test_fleet_handover.Process("second", fleet, (*cut, "i-5")),
        test_fleet_handover.Process("third", fleet)]
    try:
        processes[0].start()
        test_fleet_takeover.wait_for(
            lambda: processes[0].is_owner()
            and processes[0].ownership.owner.recovered)
        for process in processes[1:]:
            process.start()
        fleet.submit(fleetfakes.job("j", messages.Step(
            1, SMALL, requires="k")))
        test_fleet_takeover.wait_for(lambda: len(fleet.running()) == 1)
        assert processes[2].is_owner()
    finally:
        for process in processes:
            process.stop()


SERVICE = "10.9.0.1:80"


@pytest.mark.parametrize(("answering", "improved"), [
    ((SERVICE, *REACHED), True),
    ((SERVICE, *REACHED[1:]), False),
    ((SERVICE,), False),
    (REACHED, False),
])
def test_process_that_reaches_a_service_and_loses_no_worker_takes_over(
        answering, improved):
    """Guards against offers that gain a service and lose workers."""
    request = handover.Request((), REACHED, 0, 176, services=(SERVICE,))
    assert request.is_improved_by(answering) == improved
    assert handover.decode_request(handover.encode_request(request)) == request
    assert SERVICE in request.unreached_addresses()
    assert SERVICE not in request.unreached_workers()


class AdviceService(interfaces.AdviceService):
    """Advise all workers, unless calls end with an error."""

    address = SERVICE

    def __init__(self, error=None):
        self.error = error

    def advise(self, step, workers, policy):
        if self.error is not None:
            raise self.error
        return messages.Advice(dict.fromkeys(workers, "ticket"), None)


@pytest.mark.parametrize(("error", "requested"), [
    (interfaces.NotConnected("timed out"), True),
    (interfaces.ConnectionRefused("refused"), True),
    (interfaces.CallRefused("answers 503"), False),
    (interfaces.CallFailed("no answer"), False),
    (None, False),
])
def test_request_names_a_service_to_which_there_is_no_connection(
        monkeypatch, error, requested):
    """Guards against a change of owner while a service is down for all."""
    owner = Owner(nothing, workers=CUT)
    monkeypatch.setattr(clock, "now", lambda: owner.bench.now)
    owner.bench.state.configuration = test_fleet_advice.configuration
    cache = owner.bench.state.advice
    cache.service = AdviceService(error)
    owner.bench.add(fleetfakes.job("j"))
    for _ in range(8):
        owner.pass_time(0.5)
        for request in list(cache.pending.values()):
            cache.fetch(request)
    owner.requests.update(owner.bench.now)
    request = owner.request()
    assert (request.services if request else ()) == (
        (SERVICE,) if requested else ())
    owner.bench.state.cancel("j")
    owner.pass_time(5.0)
    assert not owner.requests.request_revision


class AdvisedProcess(test_fleet_handover.Process):
    """A process that may be cut off from the advice service."""

    def __init__(self, name, fleet, error=None):
        super().__init__(name, fleet)
        self.error = error

    def make_owner(self, fence):
        owner = super().make_owner(fence)
        owner.fleet.advice.service = AdviceService(self.error)
        owner.fleet.configuration = test_fleet_advice.configuration
        return owner

    def find_reached(self, addresses):
        reached = super().find_reached(addresses)
        return reached | (set() if self.error else {SERVICE})


def test_task_runs_although_its_owner_does_not_reach_the_advice_service(
        monkeypatch):
    """Guards against tasks that wait as long as the owner is cut off."""
    test_fleet_handover.shorten_times(monkeypatch)
    monkeypatch.setattr(handover, "MAX_TASK_WAIT_S", 0.5)
    fleet = test_fleet_takeover.Fleet(CUT)
    fleet.store.commit(messages.Transaction(
        puts=(messages.Put(test_fleet_handover.CONFIG_KEY, b"{}"),)))
    error = interfaces.NotConnected("timed out")
    processes = [AdvisedProcess("first", fleet, error),
                 AdvisedProcess("second", fleet, error),
                 AdvisedProcess("third", fleet)]
    try:
        processes[0].start()
        test_fleet_takeover.wait_for(
            lambda: processes[0].is_owner()
            and processes[0].ownership.owner.recovered)
        for process in processes[1:]:
            process.start()
        fleet.submit(fleetfakes.job("j"))
        test_fleet_takeover.wait_for(lambda: len(fleet.running()) == 1)
        assert processes[2].is_owner()
    finally:
        for process in processes:
            process.stop()
