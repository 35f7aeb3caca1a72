"""Forget jobs that have ended, so that memory depends on live jobs."""

import typing

from sycamorefield.fleet import progress
from sycamorefield.fleet import workerstate

# A worker may carry out a start up to twelve seconds after it was sent.  Until
# then an ended job is kept: the size of its late runs is known, so the worker
# stays usable while they are stopped.
KEEP_S = 30.0
# The runs on all workers are looked through for each check.
CHECK_PERIOD_S = 1.0


class EndedJobs:
    """Jobs whose final state is stored; callers hold the fleet's lock."""

    def __init__(self) -> None:
        # When the final state was stored of each job that is still kept.
        self.stored_at: dict[str, float] = {}
        # The revisions at which forgotten jobs were created.  An answer of
        # the store that is older than the end of such a job may contain it.
        self.forgotten: dict[str, int] = {}
        self.checked_at = 0.0

    def note_stored(self, job: progress.JobState, now: float) -> None:
        """Note that the final state of a job is stored."""
        job.final_stored = True
        self.stored_at.setdefault(job.job.job_id, now)

    def covers(self, job_id: str, created_revision: int) -> bool:
        """Return whether a listed job has ended and is forgotten.

        A job that is created later under the same ID is another one.
        """
        return (job_id in self.forgotten
                and created_revision <= self.forgotten[job_id])

    def drop_seen(self, revision: int) -> None:
        """Drop the IDs of jobs that no answer of the store can contain.

        No call is in progress whose answer adds jobs, and the next watch
        returns changes after a revision.
        """
        self.forgotten = {
            job_id: created for job_id, created in self.forgotten.items()
            if created > revision}

    def forget_unused(self, jobs: dict[str, progress.JobState],
                      workers: typing.Iterable[workerstate.WorkerState],
                      now: float) -> None:
        """Forget ended jobs without a run on any worker."""
        if now - self.checked_at < CHECK_PERIOD_S:
            return
        self.checked_at = now
        due = [job_id for job_id, stored_at in self.stored_at.items()
               if now - stored_at >= KEEP_S]
        if not due:
            return
        used = {task.job_id for worker in workers for task, _ in worker.tasks}
        for job_id in due:
            if job_id not in used and not _has_runs(jobs[job_id]):
                del self.stored_at[job_id]
                self.forgotten[job_id] = jobs.pop(job_id).created_revision


def _has_runs(job: progress.JobState) -> bool:
    return any(run.phase != progress.IDLE
               for task in job.all_tasks() for run in task.runs())
