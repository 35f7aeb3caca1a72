"""Store one cell's jobs in the key-value service by group commit.

The owner of a cell keeps its jobs in memory and writes all of them to one
key, /cells/<cell>/jobs, by compare-and-swap.  All changes made between two
writes share one write, so that the service's limit on writes per second does
not limit the rate of task starts.  Effects outside the process (a start sent
to a worker, an "accepted" answer) wait until the change they depend on is
committed.

A new owner first rewrites the key under its own epoch.  Any write still in
progress from an earlier owner then fails its compare-and-swap, whatever that
owner believes about its lease.
"""

import collections
import dataclasses
import threading
import time
import typing

from sycamorefield import events
from sycamorefield import kvclient
from sycamorefield import options
from sycamorefield import sycamorefield_pb2 as pb

QUEUED = "queued"
PLACED = "placed"
DONE = "done"
FAILED = "failed"
CANCELLED = "cancelled"
MOVING = "moving"
MOVED = "moved"
FINISHED = (DONE, FAILED, CANCELLED, MOVED)
NO_CELL = -1
RETRY_S = 0.1
IDLE_WAIT_S = 0.2
MAX_VALUE_BYTES = 900_000


@dataclasses.dataclass
class JobRecord:
    """The stored state of a job: its work, placement and progress.

    Times are wall-clock seconds.  hops counts moves between cells, and
    arrived_at is the time of the last move to this cell.  apart says
    whether the last placement was a quarantine run, and crashes_apart counts
    the worker crashes in such runs.
    """

    job_id: str
    customer: str
    work: str
    kind: str
    priority: str
    state: str = QUEUED
    worker: str = ""
    task_id: str = ""
    progress: float = 0.0
    attempts: int = 0
    evictions: int = 0
    failed_on: list[str] = dataclasses.field(default_factory=list)
    cancelled: bool = False
    moved_to: int = NO_CELL
    accepted_at: float = 0.0
    placed_at: float = 0.0
    finished_at: float = 0.0
    reason: str = ""
    hops: int = 0
    arrived_at: float = 0.0
    crashed_on: list[str] = dataclasses.field(default_factory=list)
    crashes_apart: int = 0
    apart: bool = False

    def to_message(self) -> pb.JobRecord:
        """Return the message in which the record is sent and stored."""
        return pb.JobRecord(**vars(self))

    @classmethod
    def from_message(cls, message: pb.JobRecord) -> "JobRecord":
        """Return the record contained in a message."""
        values = {f.name: getattr(message, f.name)
                  for f in dataclasses.fields(cls)}
        values["failed_on"] = list(message.failed_on)
        values["crashed_on"] = list(message.crashed_on)
        return cls(**values)


@dataclasses.dataclass(frozen=True)
class CustomerWork:
    """A customer and a kind of work, as a key for counting jobs."""

    customer: str
    work: str


def new_record(job_id: str, customer: str, work: options.Work,
               priority: str) -> JobRecord:
    """Return the record of a job accepted now."""
    return JobRecord(job_id=job_id, customer=customer, work=work.name,
                     kind=work.kind, priority=priority,
                     accepted_at=time.time())


def table_key(cell: int) -> str:
    """Return the store key of a cell's job table."""
    return f"/cells/{cell}/jobs"


class JobTable:
    """The jobs of one cell, held by the owner of the cell."""

    def __init__(self, kv: kvclient.Client, cell: int, owner: str,
                 epoch: int, commit_interval_s: float,
                 retention_s: float) -> None:
        self.kv = kv
        self.cell = cell
        self.key = table_key(cell)
        self.header = pb.JobTable(owner=owner,
                                  epoch=epoch).SerializeToString()
        self.commit_interval_s = commit_interval_s
        self.retention_s = retention_s
        self.changed = threading.Condition()
        self.records: dict[str, JobRecord] = {}
        # The encoding of each record, computed once per change.  The encoding
        # of a repeated field is the concatenation of those of its elements.
        self.encoded_records: dict[str, bytes] = {}
        self.change_versions: dict[str, int] = {}
        # Indexes that avoid scanning thousands of running jobs to find a few:
        # ids by state, ids of placed jobs by worker, and the number of placed
        # jobs per customer and work.
        self.ids_by_state: dict[str, set[str]] = {}
        self.ids_by_worker: dict[str, set[str]] = {}
        self.placed_counts: collections.Counter[CustomerWork] = (
            collections.Counter())
        self.size_bytes = len(self.header)
        self.revision = 0
        self.version = 0
        self.committed_version = 0
        self.commits = 0
        self.healthy = False
        self.ownership_lost = False
        self.stopped = False
        self.uncertain_write: tuple[int, bytes] | None = None
        self.on_commit: typing.Callable[[], None] = lambda: None

    def load(self) -> bool:
        """Take over the table from its last owner; False to try again."""
        reply = self.kv.get(self.key)
        if not isinstance(reply, kvclient.result.Success):
            return False
        item = reply.unwrap()
        stored = pb.JobTable.FromString(item.value if item else b"")
        with self.changed:
            self.records = {}
            self.encoded_records = {}
            self.ids_by_state = {}
            self.ids_by_worker = {}
            self.placed_counts = collections.Counter()
            self.size_bytes = len(self.header)
            for message in stored.jobs:
                self._put(JobRecord.from_message(message))
            value = self._value()
        self.revision = item.mod_revision if item else 0
        if item is not None and item.value == value:
            self.healthy = True
            return True
        swap = self.kv.cas(self.key, self.revision, value).value_or(None)
        if swap is None or not swap.succeeded:
            # The reply was lost or the earlier owner wrote: read again.
            return False
        self.revision = swap.revision
        self.healthy = True
        return True

    def _put(self, record: JobRecord) -> None:
        self._unindex(record.job_id)
        self.ids_by_state.setdefault(record.state, set()).add(record.job_id)
        if record.state == PLACED:
            self.ids_by_worker.setdefault(
                record.worker, set()).add(record.job_id)
            self.placed_counts[CustomerWork(record.customer, record.work)] += 1
        self.size_bytes -= len(self.encoded_records.get(record.job_id, b""))
        encoded = pb.JobTable(jobs=[record.to_message()]).SerializeToString()
        self.records[record.job_id] = record
        self.encoded_records[record.job_id] = encoded
        self.size_bytes += len(encoded)

    def _unindex(self, job_id: str) -> None:
        """Remove a job's current record from the indexes."""
        previous = self.records.get(job_id)
        if previous is None:
            return
        self.ids_by_state[previous.state].discard(job_id)
        if previous.state == PLACED:
            self.ids_by_worker[previous.worker].discard(job_id)
            customer_work = CustomerWork(previous.customer, previous.work)
            self.placed_counts[customer_work] -= 1
            if not self.placed_counts[customer_work]:
                del self.placed_counts[customer_work]

    def _value(self) -> bytes:
        return b"".join([self.header, *self.encoded_records.values()])

    def stage(self, record: JobRecord) -> int:
        """Add or replace a record; return the table version to wait for."""
        with self.changed:
            self._put(record)
            self.version += 1
            self.change_versions[record.job_id] = self.version
            self.changed.notify_all()
            return self.version

    def get(self, job_id: str) -> JobRecord | None:
        """Return a copy of a job's record, or None."""
        with self.changed:
            record = self.records.get(job_id)
            return dataclasses.replace(record) if record else None

    def in_state(self, *states: str) -> list[JobRecord]:
        """Return copies of the records in any of the states."""
        with self.changed:
            return [dataclasses.replace(self.records[job_id])
                    for state in states
                    for job_id in self.ids_by_state.get(state, ())]

    def running_counts(self) -> dict["CustomerWork", int]:
        """Return the number of placed jobs per customer and work."""
        with self.changed:
            return dict(self.placed_counts)

    def placed_on(self, worker: str) -> list[JobRecord]:
        """Return copies of the records placed on a worker."""
        with self.changed:
            return [dataclasses.replace(self.records[job_id])
                    for job_id in self.ids_by_worker.get(worker, ())]

    def version_of(self, job_id: str) -> int:
        """Return the version of a job's last change, 0 if unchanged."""
        with self.changed:
            return self.change_versions.get(job_id, 0)

    def durable(self, job_id: str) -> bool:
        """Return whether a job's last change is committed."""
        with self.changed:
            return (self.change_versions.get(job_id, 0)
                    <= self.committed_version)

    def full(self) -> bool:
        """Return whether the stored value is too large for new jobs."""
        return self.size_bytes > MAX_VALUE_BYTES

    def wait(self, version: int, timeout: float) -> bool:
        """Wait for a version to be committed; False on loss or timeout."""
        with self.changed:
            self.changed.wait_for(
                lambda: self.committed_version >= version
                or self.ownership_lost or self.stopped, timeout)
            return self.committed_version >= version

    def run(self) -> None:
        """Commit staged changes, at most one write per commit interval."""
        while not self.stopped and not self.ownership_lost:
            with self.changed:
                self.changed.wait_for(
                    lambda: self.version > self.committed_version
                    or self.stopped, IDLE_WAIT_S)
            if self.version > self.committed_version:
                pause_s = (self.commit_interval_s if self.commit_once()
                           else RETRY_S)
                time.sleep(pause_s)

    def commit_once(self) -> bool:
        """Write all staged changes; return whether the outcome is known."""
        if self.uncertain_write is None:
            with self.changed:
                self._prune(time.time())
                self.uncertain_write = (self.version, self._value())
        # A write whose reply was lost is repeated with exactly the same value
        # until its outcome is known.  If the stored value is this value, the
        # write took effect and its revision is used; otherwise a successor has
        # written and this write never will take effect.  With a changed value
        # the two cases could not be distinguished.
        version, value = self.uncertain_write
        swap_result = self.kv.cas(self.key, self.revision, value)
        self.commits += 1
        if not isinstance(swap_result, kvclient.result.Success):
            if self.healthy:
                events.emit(events.KV_UNAVAILABLE, key=self.key,
                            status=swap_result.failure().status)
            self.healthy = False
            return False
        swap = swap_result.unwrap()
        if swap.succeeded:
            self._mark_committed(version, swap.revision)
        elif swap.current is not None and swap.current.value == value:
            self._mark_committed(version, swap.current.mod_revision)
        else:
            self._mark_ownership_lost()
        return True

    def _mark_committed(self, version: int, revision: int) -> None:
        with self.changed:
            self.revision = revision
            self.committed_version = version
            self.uncertain_write = None
            self.healthy = True
            self.changed.notify_all()
        self.on_commit()

    def _mark_ownership_lost(self) -> None:
        events.emit(events.TABLE_LOST, cell=self.cell)
        with self.changed:
            self.ownership_lost = True
            self.healthy = False
            self.changed.notify_all()

    def _prune(self, now: float) -> None:
        # The record of a job that moved to another cell stays for as long as
        # the job may run there: without it the job could not be found, and its
        # id would be accepted as that of a new job.  peers.py ends the record
        # when the job has ended.
        expired = [job_id for state in FINISHED if state != MOVED
                   for job_id in self.ids_by_state.get(state, ())
                   if (now - self.records[job_id].finished_at
                       > self.retention_s)]
        for job_id in expired:
            self._unindex(job_id)
            self.size_bytes -= len(self.encoded_records.pop(job_id))
            del self.records[job_id]
            self.change_versions.pop(job_id, None)

    def stop(self, flush_timeout_s: float = 0.0) -> None:
        """Stop committing; first wait for staged changes up to a timeout."""
        if flush_timeout_s:
            self.wait(self.version, flush_timeout_s)
        with self.changed:
            self.stopped = True
            self.changed.notify_all()
