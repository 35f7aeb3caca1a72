"""Commit task outcomes in groups, fenced by the owner's key."""

import enum
import threading
import time
import typing

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import records
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import surroundings
from sycamorefield.fleet import usage
from sycamorefield import metrics

# A transaction takes 32 entries: one for the fence, and for each value an
# expectation and a put.
VALUES_PER_COMMIT = 15
# Outcomes that end no job wait this long for others to share a commit.
LINGER_S = 0.04
RETRY_PAUSE_S = 0.1
# How often the numbers of waiting jobs are written at most.
WAITING_PERIOD_S = 1.0
# How often what was learnt of images is written: 1 KB or so, and a successor
# that began anew would harm serving tasks for some ten seconds.
LEARNT_PERIOD_S = 2.0


class Outcome(enum.Enum):
    """Say what became of a commit."""

    STORED = "stored"
    AGAIN = "again"
    DEPOSED = "deposed"


class Value(typing.NamedTuple):
    """Hold a value to be written and whom to tell of its revision."""

    key: str
    data: bytes
    revision: int
    job: progress.JobState | None
    # The workers set aside for suspected tasks, as the data says.
    trials: dict[messages.TaskId, str] = {}


class Recorder:
    """Write what changed; tell links which ends are stored."""

    def __init__(self, store: surroundings.Store,
                 fleet: state_mod.FleetState, owner_key: str,
                 may_act: typing.Callable[[], bool],
                 deposed: typing.Callable[[str], None],
                 seen: typing.Callable[[dict[str, int]], None]) -> None:
        self.store = store
        self.fleet = fleet
        self.owner_key = owner_key
        self.may_act = may_act
        self.deposed = deposed
        self.seen = seen
        self.revisions: dict[str, int] = {}
        self.addresses: dict[str, str] | None = None
        # The numbers of waiting jobs as stored, or None if not known: those
        # of an earlier owner must not stand when none wait any more.
        self.counts: dict[str, int] | None = None
        self.counted_at = 0.0
        self.learnt = b"{}"
        self.learnt_at = 0.0
        self.stopped = threading.Event()
        self.flushing = threading.Lock()

    def run(self) -> None:
        """Write until stopped or deposed."""
        while not self.stopped.is_set() and self.may_act():
            with self.fleet.lock:
                urgent = self.fleet.commit_requested
            if not urgent:
                self.stopped.wait(LINGER_S)
            if not self.flush():
                return

    def flush(self) -> bool:
        """Write all that changed; tell whether this is still the owner.

        One flush at a time: a second one would find nothing left to write
        and acknowledge ends that the first has not stored yet.
        """
        with self.flushing:
            return self._flush()

    def _flush(self) -> bool:
        with self.fleet.lock:
            self.fleet.commit_requested = False
            marks = {w.entry.worker_id: w.last_processed_end
                     for w in self.fleet.workers.values()
                     if w.last_processed_end}
            values = self._job_values()
            self._fleet_value(values)
            self._count_value(values)
            self._learnt_value(values)
        outcomes = set()
        for begin in range(0, len(values), VALUES_PER_COMMIT):
            group = values[begin:begin + VALUES_PER_COMMIT]
            outcomes.add(self._commit(group))
            if Outcome.DEPOSED in outcomes:
                return False
        if Outcome.AGAIN not in outcomes:
            self.seen(marks)
        return True

    def _job_values(self) -> list[Value]:
        values = []
        for job in self.fleet.jobs.values():
            if not job.dirty:
                continue
            job.dirty = False
            values.append(Value(records.progress_key(job.job.job_id),
                                progress.encode_progress(job),
                                job.state_revision, job,
                                dict(job.on_trial)))
        return values

    def _fleet_value(self, values: list[Value]) -> None:
        """Add the workers in use if they changed.

        A successor must ask each worker that may run something.  A worker
        gets its first start only after it is on this stored list.
        """
        now = {w.entry.worker_id: w.entry.address
               for w in self.fleet.workers.values()}
        for worker_id in self.fleet.awaited_workers:
            if self.addresses and worker_id in self.addresses:
                now.setdefault(worker_id, self.addresses[worker_id])
        if now != self.addresses:
            self.fleet.add_possible_list(now)
            values.append(Value(
                records.FLEET_KEY, records.encode_addresses(now),
                self.revisions.get(records.FLEET_KEY, 0), None))

    def _count_value(self, values: list[Value]) -> None:
        now = time.monotonic()
        if (now - self.counted_at < WAITING_PERIOD_S
                and self.counts is not None):
            return
        # Counting holds the fleet's lock for each job that waits.
        self.counted_at = now
        counts = self.fleet.count_waiting_jobs()
        if counts == self.counts:
            return
        self.counts = counts
        values.append(Value(records.WAITING_KEY,
                            records.encode_counts(counts),
                            self.revisions.get(records.WAITING_KEY, 0),
                            None))

    def _learnt_value(self, values: list[Value]) -> None:
        if time.monotonic() - self.learnt_at < LEARNT_PERIOD_S:
            return
        self.learnt_at = time.monotonic()
        data = self.fleet.interference_model.encode()
        if data != self.learnt:
            self.learnt = data
            values.append(Value(
                records.LEARNT_KEY, data,
                self.revisions.get(records.LEARNT_KEY, 0), None))

    def _commit(self, values: list[Value]) -> Outcome:
        """Commit until the outcome is known.

        Without an answer the transaction may have been carried out, or may
        still be.  The same one is sent again: if the earlier one took
        effect, its expectations fail and the items show our values.
        """
        expects = [messages.Expect(self.owner_key, self.fleet.fence)]
        expects += [messages.Expect(v.key, v.revision) for v in values]
        puts = tuple(messages.Put(v.key, v.data) for v in values)
        transaction = messages.Transaction(tuple(expects), puts)
        while self.may_act():
            began = clock.now()
            try:
                revision = self.store.commit(transaction)
                metrics.CALLS.record(usage.COMMIT, clock.now() - began)
                for value in values:
                    self._stored(value, revision)
                return Outcome.STORED
            except surroundings.Conflict as exc:
                return self._conflict(values, exc)
            except (surroundings.CallFailed, surroundings.LeaseEnded) as exc:
                events.emit(events.COMMIT_FAILED, reason=str(exc),
                            values=len(values))
                if self.stopped.wait(RETRY_PAUSE_S):
                    break
        return Outcome.DEPOSED

    def _conflict(self, values: list[Value],
                  conflict: surroundings.Conflict) -> Outcome:
        owner = conflict.at(self.owner_key)
        if owner is None or owner.revision != self.fleet.fence:
            self.deposed("owner's key has changed")
            return Outcome.DEPOSED
        outcome = Outcome.STORED
        for value in values:
            item = conflict.at(value.key)
            revision = item.revision if item is not None else 0
            if item is not None and item.value == value.data:
                self._stored(value, revision)
                continue
            events.emit(events.COMMIT_FAILED, key=value.key,
                        reason="stored value is not ours")
            outcome = Outcome.AGAIN
            self.revisions[value.key] = revision
            if value.job is not None:
                value.job.state_revision = revision
                value.job.dirty = True
            elif value.key == records.FLEET_KEY:
                self.addresses = None
            elif value.key == records.LEARNT_KEY:
                self.learnt = b"{}"
            else:
                self.counts = None
        return outcome

    def _stored(self, value: Value, revision: int) -> None:
        self.revisions[value.key] = revision
        if value.key == records.FLEET_KEY:
            self.addresses = records.decode_mapping(value.data)
            self.fleet.enrol(self.addresses)
        if value.job is not None:
            value.job.state_revision = revision
            self._trials_stored(value.job, value.trials)

    def _trials_stored(self, job: progress.JobState,
                       stored: dict[messages.TaskId, str]) -> None:
        if stored == job.stored_trials:
            return
        with self.fleet.lock:
            job.stored_trials = stored
            self.fleet.request_round()
