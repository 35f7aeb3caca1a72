"""The transaction that stores a job, and what is stored in its place."""

from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import records


def transaction(job: messages.Job) -> messages.Transaction:
    """Return the transaction that stores a job.

    It stores nothing if the job is stored, has ended or was cancelled.
    """
    key = records.job_key(job.job_id)
    return messages.Transaction(
        (messages.Expect(key, 0),
         messages.Expect(records.final_key(job.job_id), 0)),
        (messages.Put(key, progress.encode_job(job)),))


def has_ended(final: messages.Item | None) -> bool:
    """Return whether a stored final state is that of a job."""
    return final is not None and final.value != records.NEVER_STORED
