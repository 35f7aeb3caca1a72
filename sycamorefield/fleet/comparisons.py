"""Compare the workers on which victims suffice for a need, best first."""

import dataclasses
import heapq
import typing

from sycamorefield.fleet import messages
from sycamorefield.fleet import placement_cache
from sycamorefield.fleet import workerstate

# Only this many workers on which victims suffice are compared, so that the
# cost for each need doesn't grow with the fleet.
MAX_COMPARED_WORKERS = 256

# The sort key of a choice on a worker: its cost and the number of victims.
Order = tuple[float, int]
# Returns a lower bound of the sort key, or None if no victims suffice.
Bound = typing.Callable[[workerstate.WorkerState], Order | None]


class Need(typing.NamedTuple):
    """What tasks have in common for which the same victims will do."""

    scope: placement_cache.SearchScope
    request: messages.Resources


class HasOrder(typing.Protocol):
    """A choice that can be compared with others."""

    def order(self) -> Order:
        """Return the sort key: the least is best."""


ChoiceT = typing.TypeVar("ChoiceT", bound=HasOrder)


@dataclasses.dataclass(slots=True)
class Comparison:
    """Workers by a lower bound of the sort key of the choice there.

    The bound is cheap to compute, and becomes the key of a choice once that
    was computed, so most choices never are.
    """

    uncompared: typing.Iterator[workerstate.WorkerState]
    # How many of the changes of the round were taken in.
    changes_seen: int
    positions: dict[str, int]
    heap: list[tuple[Order, int, int, workerstate.WorkerState]] = (
        dataclasses.field(default_factory=list))
    # Breaks ties between entries of one worker.
    pushed: int = 0

    def push(self, order: Order, worker: workerstate.WorkerState) -> None:
        """Add a worker; equal ones are in the order of their positions."""
        self.pushed += 1
        heapq.heappush(self.heap, (
            order, self.positions.get(worker.entry.worker_id, 0),
            self.pushed, worker))

    def best(self, bound: Bound,
             choose_on: typing.Callable[
                 [workerstate.WorkerState], ChoiceT | None]
             ) -> ChoiceT | None:
        """Return the best choice, or None if there is none."""
        computed: dict[str, ChoiceT] = {}
        while self.heap or self._compare_more(bound):
            order, _, _, worker = heapq.heappop(self.heap)
            worker_id = worker.entry.worker_id
            choice = computed.get(worker_id) or choose_on(worker)
            if choice is None:
                continue
            self.push(choice.order(), worker)
            if choice.order() <= order:
                return choice
            computed[worker_id] = choice
        return None

    def _compare_more(self, bound: Bound) -> bool:
        """Add the next workers on which victims may suffice, if any."""
        for worker in self.uncompared:
            order = bound(worker)
            if order is not None:
                self.push(order, worker)
                if len(self.heap) >= MAX_COMPARED_WORKERS:
                    break
        return bool(self.heap)
