"""Bound how long runs may last in a life of a worker that has not reported.

A worker that starts again under its ID takes calls that were meant for the
life before.  Its clock starts anew, so the end of a lease by the clock before
may be far ahead: such a lease lasts for the longest time that a worker allows,
from when the call is carried out.
"""

import typing

from sycamorefield.fleet import messages

RunId = tuple[messages.TaskId, int]

# A call without an answer is carried out within the first time, or held up
# somewhere for up to the second one.
PROMPT_CALL_S = 1.0
LATE_CALL_S = 12.0


class UnreportedLife:
    """Hold the runs that may be in a life that has not reported.

    Times are seconds on clock.now().
    """

    def __init__(self) -> None:
        # When each attempt to start a run was sent that has had no answer yet.
        self.unanswered_starts: dict[RunId, list[float]] = {}
        # Runs that a life with another clock has started, and when it
        # answered.
        self.answered_starts: dict[RunId, float] = {}
        # When the last call was sent that grants leases and got no answer,
        # and when the present one was sent.
        self.lease_sent_at = 0.0
        self.pending_lease_at = 0.0
        # When a life with another clock last answered, unless it has reported.
        self.answered_at = 0.0

    def add_attempt(self, run: RunId, sent_at: float) -> None:
        """Record that an attempt to start a run is sent."""
        self.unanswered_starts.setdefault(run, []).append(sent_at)

    def remove_attempt(self, run: RunId, sent_at: float) -> None:
        """Record that an attempt is not carried out any more."""
        attempts = self.unanswered_starts.get(run, [])
        if sent_at in attempts:
            attempts.remove(sent_at)
        if not attempts:
            self.unanswered_starts.pop(run, None)

    def add_lease(self, sent_at: float) -> None:
        """Record that a call that grants leases is sent, one at a time."""
        self.lease_sent_at = max(self.lease_sent_at, self.pending_lease_at)
        self.pending_lease_at = sent_at

    def remove_lease(self) -> None:
        """Record that the present call is not carried out any more."""
        self.pending_lease_at = 0.0

    def add_answered(self, run: RunId, now: float) -> None:
        """Record that a life with another clock has started a run."""
        self.answered_starts[run] = self.answered_at = now

    def remove(self, run: RunId) -> None:
        """Forget a run that is over; calls for it may still grant leases."""
        for sent_at in self.unanswered_starts.pop(run, ()):
            self.lease_sent_at = max(self.lease_sent_at, sent_at)
        self.answered_starts.pop(run, None)

    def note_report(self, sent_at: float) -> None:
        """Note a report that was requested at a time."""
        if sent_at >= self.answered_at:
            self.answered_at = 0.0

    def has_answered(self) -> bool:
        """Return whether a life that has not reported has started a run."""
        return self.answered_at > 0.0

    def runs(self) -> typing.KeysView[RunId]:
        """Return the runs that may be in the life."""
        return (self.unanswered_starts | self.answered_starts).keys()

    def ends_at(self, lease_s: float, reported_at: float,
                exists: bool) -> float:
        """Return when no such run can be left.

        A lease lasts for lease_s at most.  The last report was requested at
        reported_at; its life refuses calls that were sent before.  exists is
        whether there certainly is a later life.
        """
        longest_delay_s = (LATE_CALL_S if exists or self.has_answered()
                           else PROMPT_CALL_S)
        begins = [attempts[-1] + longest_delay_s
                  for attempts in self.unanswered_starts.values()
                  if attempts[-1] >= reported_at
                  or longest_delay_s > PROMPT_CALL_S]
        begins += self.answered_starts.values()
        if not begins:
            return 0.0
        last = max(begins)
        extended_at = longest_delay_s + max(
            self.lease_sent_at, self.pending_lease_at)
        if extended_at <= last + lease_s:
            last = max(last, extended_at)
        return last + lease_s
