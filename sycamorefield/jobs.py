"""Forward callers' batch and standing jobs to the owners of their cells.

Any entry process accepts a job.  The job's id determines its home cell, whose
owner records the job by group commit before the caller gets "accepted".  For
a job that moved to another cell, the home cell keeps a record that names that
cell.
"""

import typing

from returns import result

from sycamorefield import errors
from sycamorefield import jobtable
from sycamorefield import options
from sycamorefield import peers as peers_mod
from sycamorefield import sycamorefield_pb2 as pb

RETRY_AFTER_S = 1.0

JobResult = result.Result[jobtable.JobRecord, errors.Problem]


class JobRouter:
    """Accept, show and cancel jobs for callers."""

    def __init__(self, opts: options.Options, home_cell: typing.Callable[
            [str], int], peers: peers_mod.Peers) -> None:
        self.opts = opts
        self.home_cell = home_cell
        self.peers = peers

    def can_run(self, work: options.Work) -> bool:
        """Return whether any worker, if empty, has capacity for the work."""
        return any(m.capacity.fits(options.ZERO_CAPACITY, work.demand)
                   for m in self.opts.machines)

    def accept(self, record: jobtable.JobRecord) -> JobResult:
        """Record a job in its home cell, or return the record of its id."""
        reply = self.peers.submit(self.home_cell(record.job_id), record)
        if reply.outcome == peers_mod.ACCEPTED:
            return result.Success(record)
        if reply.outcome == peers_mod.EXISTS:
            return self.show(record.job_id)
        if reply.outcome == peers_mod.UNKNOWN:
            return result.Failure(errors.problem(
                errors.JOB_OUTCOME_UNKNOWN, retry_after=RETRY_AFTER_S))
        detail = reply.detail or "the job's cell is changing owners"
        return result.Failure(errors.problem(
            errors.NOT_RUN, retry_after=RETRY_AFTER_S, detail=detail))

    def _follow_moves(self, job_id: str, call: typing.Callable[
            [int, str], pb.ShowReply]) -> JobResult:
        reply = call(self.home_cell(job_id), job_id)
        for _ in range(self.opts.cells):
            if (reply.outcome != peers_mod.FOUND
                    or reply.job.state != jobtable.MOVED):
                break
            reply = call(reply.job.moved_to, job_id)
        if reply.outcome == peers_mod.FOUND:
            return result.Success(jobtable.JobRecord.from_message(reply.job))
        if reply.outcome == peers_mod.ABSENT:
            return result.Failure(errors.problem(errors.UNKNOWN_JOB,
                                                 job_id=job_id))
        return result.Failure(errors.problem(
            errors.STORE_UNAVAILABLE, retry_after=RETRY_AFTER_S,
            detail="the job's cell is changing owners"))

    def show(self, job_id: str) -> JobResult:
        """Return a job's record."""
        return self._follow_moves(job_id, self.peers.show)

    def cancel(self, job_id: str) -> JobResult:
        """Cancel a job; return its record after the cancellation."""
        answer = self._follow_moves(job_id, self.peers.cancel)
        if answer.map(lambda r: r.state).value_or("") == jobtable.MOVING:
            return result.Failure(errors.problem(
                errors.STORE_UNAVAILABLE, retry_after=RETRY_AFTER_S,
                detail="the job is moving to another cell"))
        return answer
