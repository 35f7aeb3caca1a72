"""The transaction that stores a job, and what is stored in its place."""

from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import records


def transaction(job: messages.Job, final_revision: int
                ) -> messages.Transaction:
    """Return the transaction that stores a job.

    final_revision is that of NEVER_STORED if it is stored, else 0.
    """
    key = records.job_key(job.job_id)
    final_key = records.final_key(job.job_id)
    return messages.Transaction(
        (messages.Expect(key, 0), messages.Expect(final_key, final_revision)),
        (messages.Put(key, progress.encode_job(job)),),
        (final_key,) if final_revision else ())


def has_ended(final: messages.Item | None) -> bool:
    """Return whether a stored final state is that of a job."""
    return final is not None and final.value != records.NEVER_STORED
