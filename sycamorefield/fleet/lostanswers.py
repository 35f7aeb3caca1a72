"""Expect lost answers from a worker that has left some calls unanswered.

Orders to a worker are sent one after another, and its ends are known only from
its reports.  If single calls get no answer, the full time for an answer is
mostly wasted: the worker answers the next call within milliseconds.
"""

import collections

# Answers are expected to be lost while this many calls in this time got none
# although the worker answered later ones.  A worker that was cut off for a
# while, or an owner that was paused, makes one such call.
LOST_CALLS = 2
MEMORY_S = 10.0
# The least time for an answer, and a multiple of the slowest one lately.
# After this many calls in a row without an answer, the worker may have become
# slow.
SHORTEST_ANSWER_S = 0.2
ANSWER_TIME_FACTOR = 4.0
CALLS_OF_SLOW_WORKER = 2
# By which factor the slowest answer counts less with each further one.
SLOWEST_DECAY = 0.9
# The longest delay of a report meanwhile: a lost one is missed that long.
REPORT_WAIT_MS = 250


class LostAnswers:
    """Hold which calls to a worker got no answer although it answers others.

    Times are seconds on clock.now().
    """

    def __init__(self) -> None:
        # When the worker answered again after the last calls without answer.
        self.answered_again: collections.deque[float] = collections.deque(
            maxlen=LOST_CALLS)
        # The calls without an answer since the last answered one.
        self.unanswered = 0
        self.slowest_answer_s = 0.0

    def note_lost(self) -> None:
        """Record a call that got no answer."""
        self.unanswered += 1

    def note_answered(self, now: float) -> None:
        """Record an answer."""
        if self.unanswered:
            self.unanswered = 0
            self.answered_again.append(now)

    def note_order_answered(self, sent_at: float, now: float) -> None:
        """Record the answer to an order, which is sent without delay."""
        self.slowest_answer_s = max(
            now - sent_at, self.slowest_answer_s * SLOWEST_DECAY)
        self.note_answered(now)

    def are_expected(self, now: float) -> bool:
        """Return whether single calls may get no answer."""
        return (len(self.answered_again) == LOST_CALLS
                and now - self.answered_again[0] < MEMORY_S)

    def answer_s(self, usual_s: float, now: float) -> float:
        """Return how long the answer to the next call may take.

        A worker that may have become slow is given the usual time, and is not
        taken to be silent.
        """
        if (self.unanswered >= CALLS_OF_SLOW_WORKER
                or not self.are_expected(now)):
            return usual_s
        return min(usual_s, max(
            SHORTEST_ANSWER_S, ANSWER_TIME_FACTOR * self.slowest_answer_s))

    def report_wait_ms(self, usual_ms: int, now: float) -> int:
        """Return how long the worker may delay its next report."""
        if not self.are_expected(now):
            return usual_ms
        return min(usual_ms, REPORT_WAIT_MS)
