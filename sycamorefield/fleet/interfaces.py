"""Interfaces of the store, the workers and other external services."""

import abc
import typing

from sycamorefield.fleet import messages


# The limit on a value of the store where settings don't state it.
DEFAULT_MAX_VALUE_BYTES = 1_048_576


class CallFailed(Exception):
    """A call got no answer; it may have been carried out."""


class CallRefused(CallFailed):
    """A call was refused; it had no effect."""


class CallInvalid(CallRefused):
    """A call was refused for what it contains; it had no effect.

    The same call would be refused again.
    """


class NotConnected(CallRefused):
    """No connection could be opened."""


class ConnectionRefused(NotConnected):
    """The address refused the connection; no byte of the call was sent.

    The process has ended, or something on the way refuses connections while
    it runs on.  So the call had no effect, but runs there may go on.
    """


class ConnectionClosed(CallFailed):
    """The connection was closed before an answer arrived."""


class Conflict(Exception):
    """A condition of a transaction does not hold.

    items holds the current items under the keys of the conditions.
    """

    def __init__(self, items: tuple[messages.Item, ...]) -> None:
        super().__init__("precondition failed")
        self.items = items

    def item_for(self, key: str) -> messages.Item | None:
        """Return the current item under a key, or None."""
        return next((item for item in self.items if item.key == key), None)


class LeaseEnded(Exception):
    """The lease has expired or was revoked."""


class HistoryCompacted(Exception):
    """The store no longer keeps the changes since a revision."""


class OrderRejected(Exception):
    """A worker rejected an order; reason says why."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


# Values of OrderRejected.reason.
FENCED = "fence"
STALE_RUN = "old"
LEASE_EXPIRED = "late"
NO_CAPACITY = "room"
INVALID_TICKET = "ticket"
UNHEALTHY = "unhealthy"
MALFORMED = "malformed"


class IncarnationMismatch(Exception):
    """Another incarnation of the worker answered."""


class Store(abc.ABC):
    """A durable key-value store with leases and watches.

    A value has at most max_value_bytes.
    """

    max_value_bytes = DEFAULT_MAX_VALUE_BYTES

    @abc.abstractmethod
    def get(self, key: str) -> messages.Item | None:
        """Return the item under a key, or None; raises CallFailed."""

    @abc.abstractmethod
    def listing(self, prefix: str) -> messages.Listing:
        """Return all items under a prefix; raises CallFailed."""

    @abc.abstractmethod
    def stale_page(self, prefix: str, after: str) -> messages.Page:
        """Return the first items under a prefix after a key ("": all).

        The answer may be seconds old.  Raises CallFailed.
        """

    @abc.abstractmethod
    def watch(self, prefix: str, after: int,
              wait_ms: int) -> messages.Changes:
        """Wait up to wait_ms for changes after a revision.

        Raises HistoryCompacted or CallFailed.
        """

    @abc.abstractmethod
    def commit(self, transaction: messages.Transaction) -> int:
        """Commit a transaction and return its revision.

        Raises Conflict, LeaseEnded, CallRefused (not applied), CallInvalid
        (nor would a repeat be) or CallFailed (may have been applied, or may
        still be).
        """

    @abc.abstractmethod
    def grant(self, ttl_ms: int) -> int:
        """Return the ID of a new lease; raises CallFailed."""

    @abc.abstractmethod
    def renew(self, lease: int) -> None:
        """Renew a lease; raises LeaseEnded or CallFailed."""


# How long a worker may take to answer a call, in seconds.  An order takes
# about 4 ms; a worker that has not answered has lost it or will carry it out
# seconds later.
REPORT_ANSWER_S = 0.8
ORDER_ANSWER_S = 0.6


class Worker(abc.ABC):
    """A client of one incarnation of a worker.

    Every call may raise OrderRejected, IncarnationMismatch, CallRefused (no
    effect) or CallFailed (may have been carried out, or may still be).
    Times are in milliseconds on the worker's clock.  Orders wait
    order_answer_s for an answer.
    """

    order_answer_s = ORDER_ANSWER_S

    @abc.abstractmethod
    async def renew(self, fence: int, recorded_upto: int,
                    lease_end_ms: float | None, wait_ms: int,
                    answer_s: float = REPORT_ANSWER_S
                    ) -> messages.WorkerReport:
        """Extend the leases of all runs and return a report.

        Wait up to wait_ms for a run to end, and answer_s for the answer.
        The worker forgets the ends numbered up to recorded_upto, which are
        stored, if it is certain to be the life that gave the last report.
        """

    @abc.abstractmethod
    async def start(self, order: messages.StartOrder, fence: int,
                    lease_end_ms: float) -> float:
        """Start a run and return the worker's time."""

    @abc.abstractmethod
    async def stop(self, order: messages.StopOrder, fence: int) -> float:
        """Stop a run and return the worker's time."""

    @abc.abstractmethod
    async def pace(self, order: messages.PaceOrder, fence: int) -> float:
        """Limit the speed of a run and return the worker's time."""

    def close(self) -> None:
        """Release the connections; no call is in progress."""


class ReachProbe(abc.ABC):
    """Finds out which workers this process can reach."""

    @abc.abstractmethod
    def find_reached(self, addresses: typing.Iterable[str]) -> set[str]:
        """Return those of some addresses of workers that can be reached."""


class EntryPeer(abc.ABC):
    """Another entry process."""

    address = ""

    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Return whether it serves callers' requests."""

    @abc.abstractmethod
    def send(self, request: messages.CallerRequest
             ) -> messages.ForwardedReply:
        """Return its answer to a request.

        Raises CallRefused (nothing was done) or CallFailed.
        """

    def close(self) -> None:
        """Release idle connections."""


class RelayListener(abc.ABC):
    """Tunnels connections of other processes to workers.

    The methods may be called by any thread and do not wait.
    """

    @abc.abstractmethod
    def listen(self, workers: typing.Collection[str]) -> str:
        """Tunnel to these addresses and to no others from now on.

        Return the address of the listener, or an empty one if there is none.
        """

    @abc.abstractmethod
    def tunnels_open(self) -> int:
        """Return how many tunnels are open."""

    @abc.abstractmethod
    def take_failed(self) -> set[str]:
        """Return the workers that were not reached since the last call."""

    @abc.abstractmethod
    def close(self) -> None:
        """Open no more tunnels."""


class AdviceService(abc.ABC):
    """Decides which workers a queue's policy lets a step run on.

    address is that of the service, or empty if it has none.
    """

    address = ""

    @abc.abstractmethod
    def advise(self, step: str, workers: tuple[str, ...],
               policy: messages.AdvicePolicy) -> messages.Advice:
        """Return a ticket for each worker that may run a step.

        Raises CallRefused or CallFailed.
        """


class WorkerList(abc.ABC):
    """Lists the workers that are believed to be alive."""

    @abc.abstractmethod
    def workers(self) -> tuple[messages.WorkerEntry, ...]:
        """Return all readable entries; raises CallFailed."""
