"""Test that a non-idempotent request runs at most once.

A hypothesis state machine sends certificate requests through real entry
processes to a backend that counts runs, while the key-value service goes
down, comes back and loses replies.  To show that the machine can find a
second run, it is also run against a naive store that records only answers.
"""

import collections
import threading

from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest
from returns import result

from sycamorefield import errors
from sycamorefield import idempotency
from sycamorefield import kvclient
from sycamorefield import membership
from tests import deployment
from tests import standins
from tests import test_answers

IDEMPOTENCY_KEYS = strategies.sampled_from(["cert-a", "cert-b", "cert-c"])
ENTRY_INDEXES = strategies.sampled_from([0, 1])
HYPOTHESIS_SETTINGS = settings(max_examples=25, stateful_step_count=10,
                               deadline=None, derandomize=True, database=None)


class NaiveIdempotencyStore(idempotency.IdempotencyStore):
    """Record only the answer, after dispatch."""

    def record_start(self, key, request_id):
        got = self.kv.get(idempotency.KEY_PREFIX + key)
        if not isinstance(got, result.Success):
            return super().record_start(key, request_id)
        item = got.unwrap()
        if item is not None:
            return self._resolve_existing(item, request_id)
        return result.Success(idempotency.RecordedRequest(
            idempotency.RecordKind.NEW))

    def delete_record(self, key, recorded):
        pass

    def record_unknown_outcome(self, key, recorded):
        pass

    def record_answer(self, key, recorded, answer):
        self.kv.put(idempotency.KEY_PREFIX + key, idempotency.kvclient.encode(
            {"state": idempotency.DONE, "answer": answer}))


class AtMostOnceMachine(standins.StoreFaults):
    """Send requests amid faults in any order; count the runs per key."""

    store_class = idempotency.IdempotencyStore
    kv: standins.Kv
    backend: object

    def __init__(self):
        super().__init__()
        self.kv.store.items.clear()
        self.kv.faults()
        self.backend.served.clear()
        self.backend.fault_during_run = False
        self.entries = [
            test_answers.make_entry_process(self.kv, self.port, name)
            for name in ("entry-1", "entry-2")]
        for process in self.entries:
            process.idempotency_store = self.store_class(
                process.kv, process.name)
        self.sent = 0
        self.not_run: list[tuple[str, int]] = []

    @stateful.rule(key=IDEMPOTENCY_KEYS, entry=ENTRY_INDEXES,
                   outage=strategies.booleans())
    def send(self, key, entry, outage):
        self.backend.fault_during_run = outage
        self.sent += 1
        before = self._runs()[key]
        answer = self.entries[entry].serve_request(
            test_answers.certificate_request(f"r{self.sent}", key))
        self.backend.fault_during_run = False
        if isinstance(answer, result.Failure):
            code = answer.failure().code.name
            if code in ("not-run", "no-backend"):
                self.not_run.append((key, before))
                assert self._runs()[key] == before, "told not run, but ran"

    def teardown(self):
        # The pending writes of one example must not reach the next one.
        self.kv.faults()
        for process in self.entries:
            process.idempotency_store.pending_writes.join()

    def _runs(self):
        return collections.Counter(key for key in self.backend.served)

    @stateful.invariant()
    def each_key_ran_at_most_once(self):
        assert all(n <= 1 for n in self._runs().values()), self._runs()


@pytest.fixture(scope="module")
def store_and_backend():
    kv = standins.Kv()
    server, handler = test_answers.serve_fake_backend(records_keys=True)
    handler.on_run = staticmethod(
        lambda: kv.faults(down=True) if handler.fault_during_run else None)
    AtMostOnceMachine.kv = kv
    AtMostOnceMachine.backend = handler
    AtMostOnceMachine.port = server.server_address[1]
    yield
    server.shutdown()
    kv.close()


def test_request_runs_at_most_once(store_and_backend):
    """Check that each idempotency key runs at most once.

    A request runs, the store goes down before the answer is written, and
    the caller retries through another entry process.  Without a record made
    before dispatch, two certificates would be issued for one request.
    """
    stateful.run_state_machine_as_test(
        AtMostOnceMachine, settings=HYPOTHESIS_SETTINGS)


def test_naive_store_runs_request_twice(store_and_backend):
    """Check that the machine finds a second run with the naive store."""
    naive = type("Naive", (AtMostOnceMachine,), {
                 "store_class": NaiveIdempotencyStore})
    generate_only = settings(HYPOTHESIS_SETTINGS, phases=[Phase.generate])
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(naive, settings=generate_only)


@pytest.fixture(name="kv")
def fixture_kv():
    stand_in = standins.Kv()
    yield stand_in
    stand_in.close()


def test_retry_with_the_same_request_id_does_not_run_again(kv):
    """Guards against a second run of a request retried under its own id.

    A caller that got no answer sends the same request again, id included, to
    the same entry process while the first try still runs.  The record of the
    first try must not be taken for a write of the second whose reply was
    lost.
    """
    store = idempotency.IdempotencyStore(kv.client, "entry-1")
    first = store.record_start("cert-1", "a").unwrap()
    assert first.kind == idempotency.RecordKind.NEW
    retry = store.record_start("cert-1", "a")
    assert retry.failure().code == errors.IN_PROGRESS
    store.record_answer("cert-1", first, {"certificate": 1})
    assert store.record_start("cert-1", "a").unwrap().answer == {
        "certificate": 1}


def test_write_whose_reply_was_lost_is_recognized(kv, monkeypatch):
    """Guards against a request that is refused because of its own record."""
    store = idempotency.IdempotencyStore(kv.client, "entry-1")
    swap = kv.client.cas

    def lose_reply(*args, **kwargs):
        swap(*args, **kwargs)
        return result.Failure(kvclient.KvError("UNAVAILABLE", "reply lost"))

    monkeypatch.setattr(kv.client, "cas", lose_reply)
    recorded = store.record_start("cert-1", "a").unwrap()
    assert recorded.kind == idempotency.RecordKind.NEW
    assert recorded.revision > 0


@pytest.mark.parametrize("predecessor_alive,code", [
    (True, errors.IN_PROGRESS), (False, errors.OUTCOME_UNKNOWN)],
    ids=["alive", "dead"])
def test_replacement_is_told_apart_from_its_predecessor(
        kv, predecessor_alive, code):
    """Guards against "outcome unknown" while the request still runs.

    A process and its replacement of the same name run at the same time.  The
    replacement must look up whether its predecessor is still a member.
    """
    lease = kv.client.grant(60_000).unwrap()
    if predecessor_alive:
        kv.client.put(membership.MEMBERS_PREFIX
                      + membership.member_id("entry-1", lease), b"{}").unwrap()
    predecessor = idempotency.IdempotencyStore(
        kv.client, "entry-1", lambda: lease)
    predecessor.record_start("cert-1", "a").unwrap()
    replacement = idempotency.IdempotencyStore(
        kv.client, "entry-1", lambda: lease + 1)
    assert replacement.record_start("cert-1", "b").failure().code == code


def _lose_reply_and_store(kv, monkeypatch, store):
    """Make a record whose write and read-back get no answer."""
    swap = kv.client.cas

    def apply_and_go_down(*args, **kwargs):
        swap(*args, **kwargs)
        kv.faults(down=True)
        return result.Failure(kvclient.KvError("UNAVAILABLE", "reply lost"))

    with monkeypatch.context() as patch:
        patch.setattr(kv.client, "cas", apply_and_go_down)
        refused = store.record_start("cert-1", "a")
    assert refused.failure().code == errors.NOT_RUN


def test_record_of_a_request_told_not_run_is_removed(kv, monkeypatch):
    """Guards against a retry that is told "outcome unknown" for ever.

    The reply to the write of the record is lost, and the store does not
    answer the read-back.  The caller is told "not run", which is true, but
    the record stays and no later try with the key may run.
    """
    store = idempotency.IdempotencyStore(kv.client, "entry-1")
    _lose_reply_and_store(kv, monkeypatch, store)
    kv.faults()

    def retry_runs():
        recorded = store.record_start("cert-1", "b")
        if isinstance(recorded, result.Success):
            return True
        assert recorded.failure().code == errors.IN_PROGRESS
        return False
    assert deployment.wait_until(retry_runs, 5)


def test_late_removal_keeps_the_record_of_a_retry(kv, monkeypatch):
    """Guards against a second run after the removal of another's record.

    The record that is to be removed is gone, and a retry has made one of
    its own under the same request id.
    """
    retried = threading.Event()
    get = kv.client.get

    def get_after_retry(key):
        if threading.current_thread().name == "ledger":
            assert retried.wait(10)
        return get(key)

    monkeypatch.setattr(kv.client, "get", get_after_retry)
    store = idempotency.IdempotencyStore(kv.client, "entry-1")
    _lose_reply_and_store(kv, monkeypatch, store)
    kv.store.items.clear()
    kv.faults()
    retry_store = idempotency.IdempotencyStore(kv.client, "entry-2")
    retry_store.record_start("cert-1", "a").unwrap()
    retried.set()
    store.pending_writes.join()
    assert kv.client.get("/idem/cert-1").unwrap() is not None


def test_retry_during_the_removal_of_a_record_comes_again(kv, monkeypatch):
    """Guards against "outcome unknown" for a request that was not run.

    The record of the first try is removed after the retry has read it and
    before the retry looks up whether the first try still runs.
    """
    store = idempotency.IdempotencyStore(kv.client, "entry-1")
    first = store.record_start("cert-1", "a").unwrap()
    swap = kv.client.cas

    def remove_after_read(*args, **kwargs):
        outcome = swap(*args, **kwargs)
        monkeypatch.undo()
        store.delete_record("cert-1", first)
        return outcome

    monkeypatch.setattr(kv.client, "cas", remove_after_read)
    retry = store.record_start("cert-1", "b")
    assert retry.failure().code == errors.IN_PROGRESS
    again = store.record_start("cert-1", "b").unwrap()
    assert again.kind == idempotency.RecordKind.NEW
