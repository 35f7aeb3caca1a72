"""Run a non-idempotent request at most once, whatever the store does.

A hypothesis state machine sends certificate issues through a real entry
process's request path to a backend that counts runs, while the key-value
service goes down, comes back and loses replies.  The same machine run
against a naive ledger, which records only the answer, finds a double run:
that is the differential half of the proof.
"""

import collections

from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest
from returns import result

from sycamorefield import idempotency
from tests import standins
from tests import test_answers

KEYS = strategies.sampled_from(["cert-a", "cert-b", "cert-c"])
ENTRIES = strategies.sampled_from([0, 1])
SETTINGS = settings(max_examples=25, stateful_step_count=10, deadline=None,
                    derandomize=True, database=None)


class NaiveLedger(idempotency.Ledger):
    """Record only the answer, after dispatch, as a first version might."""

    def begin(self, key, request_id):
        got = self.kv.get(idempotency.PREFIX + key)
        if not isinstance(got, result.Success):
            return super().begin(key, request_id)
        item = got.unwrap()
        if item is not None:
            return self._existing(item, request_id)
        return result.Success(idempotency.Begun(idempotency.Start.FRESH))

    def abandon(self, key, begun):
        pass

    def give_up(self, key, begun):
        pass

    def finish(self, key, begun, answer):
        self.kv.put(idempotency.PREFIX + key, idempotency.kvclient.encode(
            {"state": idempotency.DONE, "answer": answer}))


class AtMostOnce(standins.StoreFaults):
    """Send requests and faults in any order; count runs per key."""

    ledger = idempotency.Ledger
    kv: standins.Kv
    backend: object

    def __init__(self):
        super().__init__()
        self.kv.store.items.clear()
        self.kv.faults()
        self.backend.served.clear()
        self.backend.fault_during_run = False
        self.entries = [test_answers.entry_for(self.kv, self.port, name)
                        for name in ("entry-1", "entry-2")]
        for process in self.entries:
            process.ledger = self.ledger(process.kv, process.name)
        self.sent = 0
        self.not_run: list[tuple[str, int]] = []

    @stateful.rule(key=KEYS, entry=ENTRIES, outage=strategies.booleans())
    def send(self, key, entry, outage):
        self.backend.fault_during_run = outage
        self.sent += 1
        before = self._runs()[key]
        answer = self.entries[entry].serve_request(
            test_answers.certificate(f"r{self.sent}", key))
        self.backend.fault_during_run = False
        if isinstance(answer, result.Failure):
            code = answer.failure().code.name
            if code in ("not-run", "no-backend"):
                self.not_run.append((key, before))
                assert self._runs()[key] == before, "told not run, but ran"

    def teardown(self):
        # What one example left to write must not reach the next one.
        self.kv.faults()
        for process in self.entries:
            process.ledger.unwritten.join()

    def _runs(self):
        return collections.Counter(key for key in self.backend.served)

    @stateful.invariant()
    def each_key_ran_at_most_once(self):
        assert all(n <= 1 for n in self._runs().values()), self._runs()


@pytest.fixture(scope="module")
def rig():
    kv = standins.Kv()
    server, handler = test_answers.serve_fake(count_keys=True)
    handler.on_run = staticmethod(
        lambda: kv.faults(down=True) if handler.fault_during_run else None)
    AtMostOnce.kv = kv
    AtMostOnce.backend = handler
    AtMostOnce.port = server.server_address[1]
    yield
    server.shutdown()
    kv.close()


def test_request_runs_at_most_once(rig):
    """Run each idempotency key at most once under store faults.

    Symptom: two certificates issued for one request.

    Sequence: a request runs; the store goes down before its answer is
    written; the caller retries through another entry process.

    Cause guarded against: recording the request only after dispatch; the
    record made before dispatch turns the retry away.
    """
    stateful.run_state_machine_as_test(AtMostOnce, settings=SETTINGS)


def test_naive_ledger_runs_twice(rig):
    """Show the naive version breaks the promise under the same faults."""
    naive = type("Naive", (AtMostOnce,), {"ledger": NaiveLedger})
    finding = settings(SETTINGS, phases=[Phase.generate])
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(naive, settings=finding)
