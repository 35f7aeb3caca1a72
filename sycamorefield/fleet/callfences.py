"""Number the calls to a worker, so that none is carried out after a later one.

A call that gets no answer may be carried out seconds later, and by the next
life of a worker that has started again under its ID.  A worker refuses a call
with a lower fence than it has seen.  So each call carries a higher fence than
the ones before: once a life of a worker has carried out a call, it refuses
all earlier ones.
"""

# The fences of a term are below those of the next one, which has a higher
# fence.  Any further calls to a worker in a term carry the last of them.
CALLS_PER_TERM = 1 << 20


class CallFences:
    """Give each call to one worker the next fence of a term."""

    def __init__(self, term_fence: int) -> None:
        self.base = term_fence * CALLS_PER_TERM
        self.calls = 0

    def take(self) -> int:
        """Return the fence for a call that is sent now."""
        self.calls = min(self.calls + 1, CALLS_PER_TERM - 1)
        return self.base + self.calls

    def is_newest(self, fence: int) -> bool:
        """Return whether no call has been sent after the one with a fence."""
        return fence == self.base + self.calls
