"""Cache failed searches for capacity, within a round and across rounds."""

import dataclasses
import typing

from sycamorefield.fleet import messages
from sycamorefield.fleet import workerstate


@dataclasses.dataclass(frozen=True, slots=True)
class SearchScope:
    """The workers among which a worker for a task is searched.

    The step is set only if its tasks are spread over workers or need tickets;
    the image only for best-effort tasks, because the tasks that they disturb
    depend on it.
    """

    service: str
    best_effort: bool = False
    requires: str = ""
    image: str = ""
    step: messages.StepId | None = None
    # Set only for searches for runs of lower-priority jobs to preempt.
    priority: int | None = None
    # The headroom that tasks must leave, which is possible on some workers
    # only.  Within a round, and for larger requests, these become fewer.
    headroom: str = ""

    def without_restrictions(self) -> "SearchScope":
        """Return the scope without restrictions to some workers."""
        return dataclasses.replace(self, requires="", step=None,
                                   headroom="")


class UnplaceableRequests:
    """Requests that fit on no worker, to skip searches for larger ones.

    On a full fleet most waiting tasks fit on no worker.  If all workers were
    searched for each of them, the owner would handle reports and renew leases
    too late.  Within a round free capacity only shrinks and priority only
    falls, so one failed search holds for all requests at least as large.
    """

    def __init__(self, enabled: bool = True) -> None:
        self.enabled = enabled
        self.unplaceable: dict[SearchScope, list[messages.Resources]] = {}

    def covers(self, scope: SearchScope, request: messages.Resources) -> bool:
        """Return whether a request is known to fit on no worker."""
        return any(request.holds(known)
                   for known in self._unplaceable_in(scope))

    def _unplaceable_in(
            self, scope: SearchScope) -> typing.Iterator[messages.Resources]:
        yield from self.unplaceable.get(scope, ())
        unrestricted = scope.without_restrictions()
        if unrestricted != scope:
            yield from self.unplaceable.get(unrestricted, ())

    def add(self, scope: SearchScope, request: messages.Resources) -> None:
        """Record a request that fits on no worker."""
        if not self.enabled:
            return
        kept = [known for known in self.unplaceable.get(scope, ())
                if not known.holds(request)]
        self.unplaceable[scope] = kept + [request]

    def clear(self) -> None:
        """Drop all entries, because more capacity has become available."""
        self.unplaceable.clear()


# Most failed searches cached; on a full fleet some hundred requests wait.
MAX_CACHED_SEARCHES = 4096


class SearchCache:
    """Failed searches across rounds, to skip workers that have not changed.

    On a full fleet the same requests wait in round after round, with only a
    few reports in between.  If all workers were searched again for each
    request, the cost of a round would grow with workers times requests, and an
    owner of hundreds of workers would have no time left for reports.  So a
    request that did not fit on any worker is tried only on workers that have
    changed since.  It still doesn't fit on the others, so the choice stays the
    same.
    """

    def __init__(self) -> None:
        self.searched_at: dict[tuple[SearchScope,
                                     messages.Resources], int] = {}

    def workers_to_search(self, scope: SearchScope,
                          request: messages.Resources,
                          workers: list[workerstate.WorkerState],
                          include_stopping: bool = False
                          ) -> list[workerstate.WorkerState]:
        """Return the workers on which a request may fit, in their order.

        What stopping runs free may have been claimed for another task when the
        search failed, and not be now.
        """
        since = self.searched_at.get((scope, request))
        if since is None:
            return workers
        return [w for w in workers if w.change_number > since
                or include_stopping and w.stopping]

    def add(self, scope: SearchScope, request: messages.Resources) -> None:
        """Record that a request has just been found to fit on no worker."""
        if len(self.searched_at) >= MAX_CACHED_SEARCHES:
            self.searched_at.clear()
        self.searched_at[scope, request] = next(workerstate.CHANGE_NUMBERS)

    def clear(self) -> None:
        """Drop all entries, because rules for all workers have changed."""
        self.searched_at.clear()
