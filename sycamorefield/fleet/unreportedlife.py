"""Bound how long runs may last in a life of a worker that has not reported.

A worker that starts again under its ID takes calls that were meant for the
life before.  Its clock starts anew, so the end of a lease by the clock before
may be far ahead: such a lease lasts for the longest time that a worker allows,
from when the call is carried out.
"""

import math
import typing

from sycamorefield.fleet import messages

RunId = tuple[messages.TaskId, int]

# A call without an answer is carried out within the first time, or held up
# somewhere for up to the second one.
PROMPT_CALL_S = 1.0
LATE_CALL_S = 12.0
# After this time, a lease by such a call has expired, and so has each run that
# began before it.
KEEP_LEASES_S = 30.0


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
        # When starts are carried out at the latest that an earlier owner sent,
        # or that were meant for an earlier run of the task.
        self.earlier_starts: dict[RunId, float] = {}
        # The same by task, for attempts to start runs that are over.
        self.late_tasks: dict[messages.TaskId, float] = {}
        # When each call was sent that grants leases and got no answer, and
        # when the present one was sent.  Older ones may be carried out later
        # than newer ones, as only they are held up.
        self.unanswered_leases: list[float] = []
        self.pending_lease_at = -math.inf
        # When a life with another clock last answered, unless it has reported.
        self.answered_at = 0.0
        # When the last call was sent that has been answered, and the last one
        # that was answered by a report.  An answer to an order does not tell
        # which life gave it.
        self.answered_sent_at = 0.0
        self.reported_sent_at = 0.0

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

    def add_run(self, run: RunId) -> None:
        """Add a run; starts of earlier runs of its task may be late.

        The life that has ended these runs refuses their starts, the next one
        does not.
        """
        if run[0] in self.late_tasks:
            self.earlier_starts[run] = self.late_tasks[run[0]]

    def has_late_start(self, task: messages.TaskId, now: float) -> bool:
        """Return whether a start of an earlier run may be late."""
        return self.late_tasks.get(task, 0.0) > now

    def add_earlier_start(self, run: RunId, latest: float) -> None:
        """Record a start of an earlier owner, carried out by then or never."""
        self.earlier_starts[run] = latest

    def has_attempt(self, now: float) -> bool:
        """Return whether an attempt to start a run may be carried out yet."""
        return any(now - sent_at < LATE_CALL_S
                   for attempts in self.unanswered_starts.values()
                   for sent_at in attempts) or any(
            latest > now for latest in self.earlier_starts.values())

    def note_answer(self, sent_at: float) -> None:
        """Note the answer to a call; earlier ones without one are late."""
        self.answered_sent_at = max(self.answered_sent_at, sent_at)

    def add_lease(self, sent_at: float) -> None:
        """Record that a call that grants leases is sent, one at a time."""
        self.unanswered_leases = [
            earlier for earlier in (
                *self.unanswered_leases, self.pending_lease_at)
            if earlier > sent_at - KEEP_LEASES_S]
        self.pending_lease_at = sent_at

    def remove_lease(self) -> None:
        """Record that the present call is not carried out any more."""
        self.pending_lease_at = -math.inf

    def add_answered(self, run: RunId, now: float) -> None:
        """Record that a life with another clock has started a run."""
        self.answered_starts[run] = self.answered_at = now

    def remove(self, run: RunId) -> None:
        """Forget a run that is over; calls for it may still grant leases."""
        attempts = self.unanswered_starts.pop(run, [])
        self.unanswered_leases += attempts
        if attempts:
            self.late_tasks = {
                task: latest for task, latest in self.late_tasks.items()
                if latest > attempts[-1]}
            self.late_tasks[run[0]] = attempts[-1] + LATE_CALL_S
        self.answered_starts.pop(run, None)
        self.earlier_starts.pop(run, None)

    def note_report(self, sent_at: float) -> None:
        """Note a report that was requested at a time."""
        self.note_answer(sent_at)
        self.reported_sent_at = max(self.reported_sent_at, sent_at)
        if sent_at >= self.answered_at:
            self.answered_at = 0.0

    def has_answered(self) -> bool:
        """Return whether a life that has not reported has started a run."""
        return self.answered_at > 0.0

    def runs(self) -> typing.KeysView[RunId]:
        """Return the runs that may be in the life."""
        return (self.unanswered_starts | self.answered_starts
                | self.earlier_starts).keys()

    def ends_at(self, lease_s: float, exists: bool) -> float:
        """Return when no such run can be left.

        A lease lasts for lease_s at most.  exists is whether there certainly
        is a later life than the one that has answered.
        """
        exists = exists or self.has_answered()
        begins = [begins_at for attempts in self.unanswered_starts.values()
                  for sent_at in attempts
                  if (begins_at := self._carried_out_at(sent_at, exists))
                  >= self.reported_sent_at]
        begins += [begins_at for begins_at in self.earlier_starts.values()
                   if begins_at >= self.reported_sent_at]
        begins += self.answered_starts.values()
        if not begins:
            return 0.0
        last = max(begins)
        extended_at = max(
            self._carried_out_at(sent_at, exists)
            for sent_at in (*self.unanswered_leases, self.pending_lease_at))
        return max(last, min(extended_at, last + lease_s)) + lease_s

    def _carried_out_at(self, sent_at: float, exists: bool) -> float:
        """Return when a call without an answer is carried out at the latest.

        If the worker has answered a later one, the call is held up.
        """
        if exists or sent_at < self.answered_sent_at:
            return sent_at + LATE_CALL_S
        return sent_at + PROMPT_CALL_S
