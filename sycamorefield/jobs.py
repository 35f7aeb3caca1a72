"""Take callers' batch and standing jobs to the cells that run them.

Any entry process accepts a job.  The job's id names its home cell; the
owner of that cell records it, by group commit, before "accepted" is said.
A job that moved to another cell leaves a pointer at home.
"""

import typing

from returns import result

from sycamorefield import errors
from sycamorefield import jobtable
from sycamorefield import options
from sycamorefield import peers as peers_mod
from sycamorefield import sycamorefield_pb2 as pb

RETRY_AFTER = 1.0

Outcome = result.Result[jobtable.JobRecord, errors.Problem]


class JobRouter:
    """Accept, show and cancel jobs on behalf of callers."""

    def __init__(self, opts: options.Options, home: typing.Callable[
            [str], int], peers: peers_mod.Peers) -> None:
        self.opts = opts
        self.home = home
        self.peers = peers

    def can_run(self, work: options.Work) -> bool:
        """Return whether any worker of the fleet could ever hold the work."""
        return any(m.capacity.fits(options.ZERO_CAPACITY, work.demand)
                   for m in self.opts.machines)

    def accept(self, record: jobtable.JobRecord) -> Outcome:
        """Record a job with its home cell; an id known already is shown."""
        reply = self.peers.submit(self.home(record.job_id), record)
        if reply.outcome == peers_mod.ACCEPTED:
            return result.Success(record)
        if reply.outcome == peers_mod.EXISTS:
            return self.show(record.job_id)
        if reply.outcome == peers_mod.UNKNOWN:
            return result.Failure(errors.problem(
                errors.JOB_OUTCOME_UNKNOWN, retry_after=RETRY_AFTER))
        detail = reply.detail or "the job's cell is changing owners"
        return result.Failure(errors.problem(
            errors.NOT_RUN, retry_after=RETRY_AFTER, detail=detail))

    def _follow(self, job_id: str, call: typing.Callable[
            [int, str], pb.ShowReply]) -> Outcome:
        reply = call(self.home(job_id), job_id)
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
            errors.STORE_UNAVAILABLE, retry_after=RETRY_AFTER,
            detail="the job's cell is changing owners"))

    def show(self, job_id: str) -> Outcome:
        """Return a job's record."""
        return self._follow(job_id, self.peers.show)

    def cancel(self, job_id: str) -> Outcome:
        """Cancel a job; return its record as it is then."""
        answer = self._follow(job_id, self.peers.cancel)
        if answer.map(lambda r: r.state).value_or("") == jobtable.MOVING:
            return result.Failure(errors.problem(
                errors.STORE_UNAVAILABLE, retry_after=RETRY_AFTER,
                detail="the job is moving to another cell"))
        return answer
