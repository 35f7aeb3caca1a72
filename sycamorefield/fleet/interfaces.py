"""State what the scheduler needs of the store and of the workers."""

import abc

from sycamorefield.fleet import messages


class CallFailed(Exception):
    """Say that a call got no answer; it may have been carried out."""


class CallRefused(CallFailed):
    """Say that a call was turned away and nothing was done."""


class ConnectionRefused(CallRefused):
    """Say that the address has no listener: its process has ended.

    A process that is cut off or has no power does not answer at all.
    """


class ConnectionClosed(CallFailed):
    """Say that the other end closed the connection before it answered."""


class Conflict(Exception):
    """Say that a transaction's expectations do not hold.

    Carries the items that stand now under the keys that were expected.
    """

    def __init__(self, items: tuple[messages.Item, ...]) -> None:
        super().__init__("precondition failed")
        self.items = items

    def item_for(self, key: str) -> messages.Item | None:
        """Return the item that stands under a key."""
        return next((item for item in self.items if item.key == key), None)


class LeaseEnded(Exception):
    """Say that a lease has ended."""


class HistoryCompacted(Exception):
    """Say that changes since a revision are no longer known."""


class OrderRejected(Exception):
    """Say that a worker did not carry out an order, and why."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


FENCED = "fence"
STALE_RUN = "old"
LATE = "late"
NO_CAPACITY = "room"
INVALID_TICKET = "ticket"
UNHEALTHY = "unhealthy"
MALFORMED = "malformed"


class IncarnationMismatch(Exception):
    """Say that another incarnation of the worker answered."""


class Store(abc.ABC):
    """Keep values that outlive every process, with leases and watches."""

    @abc.abstractmethod
    def get(self, key: str) -> messages.Item | None:
        """Return the item under a key; raises CallFailed."""

    @abc.abstractmethod
    def listing(self, prefix: str) -> messages.Listing:
        """Return all items under a prefix; raises CallFailed."""

    @abc.abstractmethod
    def watch(self, prefix: str, after: int,
              wait_ms: int) -> messages.Changes:
        """Wait for changes after a revision.

        Raises HistoryGone or CallFailed.
        """

    @abc.abstractmethod
    def commit(self, transaction: messages.Transaction) -> int:
        """Commit and return the new revision.

        Raises Conflict, LeaseEnded, CallRefused (nothing done) or CallFailed
        (perhaps done, perhaps still to come).
        """

    @abc.abstractmethod
    def grant(self, ttl_ms: int) -> int:
        """Return a new lease; raises CallFailed."""

    @abc.abstractmethod
    def renew(self, lease: int) -> None:
        """Renew a lease; raises LeaseEnded or CallFailed."""


class Worker(abc.ABC):
    """Give orders to one incarnation of one worker.

    Each call raises OrderRejected, OtherIncarnation, CallRefused (nothing
    was done) or CallFailed (perhaps carried out, perhaps later).
    Times are milliseconds on the worker's clock.
    """

    @abc.abstractmethod
    def renew(self, fence: int, recorded_upto: int, lease_end_ms: float | None,
              wait_ms: int) -> messages.WorkerReport:
        """Extend the lease of all that runs; wait for an end; report."""

    @abc.abstractmethod
    def start(self, order: messages.StartOrder, fence: int,
              lease_end_ms: float) -> float:
        """Start a run; return the worker's clock."""

    @abc.abstractmethod
    def stop(self, order: messages.StopOrder, fence: int) -> float:
        """Stop a run; return the worker's clock."""

    @abc.abstractmethod
    def pace(self, order: messages.PaceOrder, fence: int) -> float:
        """Set a run's share; return the worker's clock."""


class AdviceService(abc.ABC):
    """Tell which workers a queue's policy lets a step run on."""

    @abc.abstractmethod
    def advise(self, step: str, workers: tuple[str, ...],
               policy: messages.AdvicePolicy) -> messages.Advice:
        """Return a ticket for each worker that may run a step.

        Raises CallRefused or CallFailed.
        """


class WorkerList(abc.ABC):
    """List the workers that are alive as far as is known."""

    @abc.abstractmethod
    def workers(self) -> tuple[messages.WorkerEntry, ...]:
        """Return all entries that can be read; raises CallFailed."""
