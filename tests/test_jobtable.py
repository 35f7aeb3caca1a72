"""Check that committed changes to a cell's jobs survive faults."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sycamorefield import jobtable
from sycamorefield import sycamorefield_pb2 as pb
from tests import standins


class UncheckedTable(jobtable.JobTable):
    """A faulty table that writes without comparing the revision."""

    def commit_once(self):
        put = self.kv.put(self.key, self._value())
        if not isinstance(put, jobtable.kvclient.result.Success):
            return False
        self._mark_committed(self.version, put.unwrap())
        return True


class OwnerChanges(stateful.RuleBasedStateMachine):
    """Two owners of one cell write its table while the store fails.

    Guards against accepted jobs or recorded outcomes that are missing after
    a change of owners: a stale owner's write takes effect after the takeover,
    or a write whose reply was lost is treated as failed.  The store loses
    replies and goes down, and a second owner takes over while the first one
    continues.
    """

    table_class = jobtable.JobTable

    def __init__(self):
        super().__init__()
        self.kv = standins.Kv()
        self.kv.client.timeout = 0.5
        self.epoch = 0
        self.jobs = 0
        self.tables = []
        self.accepted = set()
        self.take_over()

    def _table(self, index):
        return self.tables[index % len(self.tables)]

    @stateful.rule()
    def take_over(self):
        self.kv.faults()
        self.epoch += 1
        table = self.table_class(self.kv.client, 0, f"entry-{self.epoch}",
                                 self.epoch, 0.0, 3600.0)
        assert table.load() or table.load()
        self.tables = [*self.tables[-1:], table]

    @stateful.rule(index=st.integers(0, 1))
    def accept(self, index):
        table = self._table(index)
        self.jobs += 1
        table.stage(jobtable.JobRecord(f"j{self.jobs}", "owners",
                                       "class-renewal", "batch", "low"))

    @stateful.rule(index=st.integers(0, 1))
    def commit(self, index):
        table = self._table(index)
        if (not table.ownership_lost
                and table.version > table.committed_version):
            table.commit_once()
            self.accepted |= {j for j, v in table.change_versions.items()
                              if v <= table.committed_version}

    @stateful.rule(index=st.integers(0, 1))
    def accept_and_commit(self, index):
        """Accept a job at once: on its own, few sequences of rules do so."""
        self.accept(index)
        self.commit(index)

    @stateful.rule(lost=st.booleans())
    def store_fails(self, lost):
        self.kv.faults(down=not lost, lose_reply_ratio=1.0 if lost else 0)

    @stateful.rule()
    def store_back(self):
        self.kv.faults()

    @stateful.invariant()
    def accepted_jobs_stay(self):
        item = self.kv.store.items.get(jobtable.table_key(0))
        stored = pb.JobTable.FromString(item.value if item else b"")
        missing = self.accepted - {j.job_id for j in stored.jobs}
        assert not missing, f"accepted, then lost: {sorted(missing)}"

    def teardown(self):
        self.kv.close()


class UncheckedOwnerChanges(OwnerChanges):
    """The same faults against the naive version."""

    table_class = UncheckedTable


SETTINGS = hypothesis.settings(
    max_examples=80, stateful_step_count=25, deadline=None,
    derandomize=True, database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
    phases=[hypothesis.Phase.generate])


def test_committed_changes_survive_owner_changes_and_faults():
    stateful.run_state_machine_as_test(OwnerChanges, settings=SETTINGS)


def test_blind_writes_lose_committed_changes():
    with pytest.raises(AssertionError, match="accepted, then lost"):
        stateful.run_state_machine_as_test(
            UncheckedOwnerChanges, settings=SETTINGS)
