"""Describe the owner's writes, and group them into transactions."""

import typing

from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import records
from sycamorefield.fleet import storedcrashes

# The most conditions, puts and removals in a transaction.
MAX_ENTRIES = 32


class PendingWrite(typing.NamedTuple):
    """A value to be written, and the job whose state it is, if any."""

    key: str
    data: bytes
    expected_revision: int
    job: progress.JobState | None
    # The workers reserved for quarantine runs according to the data.
    quarantine_workers: dict[messages.TaskId, str] = {}
    # The long-running tasks that wait for their first start by the data.
    unstarted: frozenset[messages.TaskId] = frozenset()
    # Further conditions, and keys that are removed with the write.
    conditions: tuple[messages.Expect, ...] = ()
    removes: tuple[str, ...] = ()
    # The workers that suspected tasks crashed according to the data.
    crashes: storedcrashes.CrashedWorkers = {}

    def is_final(self) -> bool:
        """Return whether the write stores the final state of a job."""
        return bool(self.removes)

    def entry_count(self) -> int:
        """Return how many entries of a transaction the write takes."""
        return 2 + len(self.conditions) + len(self.removes)


def job_write(job: progress.JobState, max_bytes: float) -> PendingWrite:
    """Return the write of a job's progress or of its final state."""
    if job.final():
        return _final_write(job)
    return _progress_write(job, min(max_bytes, job.max_record_bytes))


def _final_write(job: progress.JobState) -> PendingWrite:
    """Return the write of a final state, which removes all other records.

    A cancellation may be stored at any time, so its removal is always part.
    """
    job_id = job.job.job_id
    removes = [records.job_key(job_id), records.cancel_key(job_id)]
    if job.state_revision:
        removes.append(records.progress_key(job_id))
    return PendingWrite(
        records.final_key(job_id), progress.encode_progress(job),
        job.final_revision, job, removes=tuple(removes))


def _progress_write(job: progress.JobState,
                    max_bytes: float) -> PendingWrite:
    """Return the write of the progress of a job that has not ended.

    A repeated transaction may be executed seconds later.  One that creates
    the record requires that the job's record exists, as it would bring back
    the progress of a job that has ended meanwhile.
    """
    job_id = job.job.job_id
    unstarted = frozenset(job.unstarted)
    # The write may be applied without an answer.
    job.stored_unstarted |= unstarted
    conditions: tuple[messages.Expect, ...] = ()
    if not job.state_revision and not job.record_missing:
        conditions = (messages.Expect(
            records.job_key(job_id), job.created_revision),)
    return PendingWrite(
        records.progress_key(job_id),
        progress.encode_progress(job, max_bytes),
        job.state_revision, job, dict(job.quarantine_workers), unstarted,
        conditions, crashes=storedcrashes.recorded(job))


def grouped(writes: typing.Iterable[PendingWrite], max_bytes: int
            ) -> typing.Iterator[list[PendingWrite]]:
    """Yield groups of writes that fit into one transaction with the fence.

    The values of a group have at most max_bytes, unless it is a single one.
    """
    group: list[PendingWrite] = []
    entries, size = 1, 0
    for write in writes:
        if group and (entries + write.entry_count() > MAX_ENTRIES
                      or size + len(write.data) > max_bytes):
            yield group
            group, entries, size = [], 1, 0
        group.append(write)
        entries += write.entry_count()
        size += len(write.data)
    if group:
        yield group


def transaction(fence: messages.Expect, writes: typing.Sequence[PendingWrite]
                ) -> messages.Transaction:
    """Return the transaction of a group of writes."""
    expects = [fence]
    for write in writes:
        expects.append(messages.Expect(write.key, write.expected_revision))
        expects += write.conditions
    return messages.Transaction(
        tuple(expects), tuple(messages.Put(w.key, w.data) for w in writes),
        tuple(key for w in writes for key in w.removes))


def note_invalid(write: PendingWrite, job: progress.JobState) -> None:
    """Let a job be written again with a shorter record than was refused."""
    job.max_record_bytes = len(write.data) // 2
    job.dirty = True


def is_applied(write: PendingWrite, conflict: interfaces.Conflict,
               repeated: bool) -> bool:
    """Return whether a conflict shows that a write was applied before.

    A final state is short, so an equal one that this owner has not sent
    before is another's, and the job's other records are still stored.
    """
    item = conflict.item_for(write.key)
    return (item is not None and item.value == write.data
            and (repeated or not write.is_final()))


def note_conflict(write: PendingWrite, job: progress.JobState,
                  conflict: interfaces.Conflict) -> None:
    """Let a job be written again, on the basis of what is stored."""
    item = conflict.item_for(write.key)
    revision = item.revision if item is not None else 0
    if write.is_final():
        job.final_revision = revision
    else:
        job.state_revision = revision
    for condition in write.conditions:
        item = conflict.item_for(condition.key)
        if item is None or item.revision != condition.revision:
            job.record_missing = True
    job.dirty = True
