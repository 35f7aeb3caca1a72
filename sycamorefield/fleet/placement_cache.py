"""Remember which needs found no room, within a round and over rounds."""

import dataclasses
import typing

from sycamorefield.fleet import messages
from sycamorefield.fleet import workerstate


@dataclasses.dataclass(frozen=True, slots=True)
class SearchScope:
    """Name the workers among which a task may look for room.

    A step is named only where its tasks are spread or need tickets; an image
    only where they fill, because what they disturb depends on it.
    """

    service: str
    fills: bool = False
    requires: str = ""
    image: str = ""
    step: messages.StepId | None = None
    # Only where runs of less urgent jobs may give way.
    priority: int | None = None

    def without_restrictions(self) -> "SearchScope":
        """Return the scope without what is special to a step or label."""
        return SearchScope(self.service, self.fills, image=self.image)


class UnplaceableRequests:
    """Spare the search for a need no smaller than one that found no room.

    On a full fleet most tasks that wait find none.  Searching all workers
    for each of them leaves the owner no time for reports and leases, which
    then come late.  Within a round room only gets less and urgency too: one
    search answers for all that is as large.
    """

    def __init__(self, enabled: bool = True) -> None:
        self.enabled = enabled
        self.unplaceable: dict[SearchScope, list[messages.Room]] = {}

    def covers(self, scope: SearchScope, request: messages.Room) -> bool:
        """Tell whether a need is known to find no room."""
        return any(request.holds(known)
                   for known in self._unplaceable_in(scope))

    def _unplaceable_in(
            self, scope: SearchScope) -> typing.Iterator[messages.Room]:
        yield from self.unplaceable.get(scope, ())
        unrestricted = scope.without_restrictions()
        if unrestricted != scope:
            yield from self.unplaceable.get(unrestricted, ())

    def add(self, scope: SearchScope, request: messages.Room) -> None:
        """Note that a need found no room."""
        if not self.enabled:
            return
        kept = [known for known in self.unplaceable.get(scope, ())
                if not known.holds(request)]
        self.unplaceable[scope] = kept + [request]


# Needs remembered over rounds; a full fleet has some hundred that wait.
MAX_CACHED_SEARCHES = 4096


class SearchCache:
    """Spare the search of workers that have not changed since the last one.

    On a full fleet the same needs wait in round after round, while a few
    reports come in between.  Searching all workers again for each need makes
    the work of a round grow with workers times needs, and an owner of
    hundreds of workers has no time left for reports.  A need that found no
    room is tried on the workers that changed since: the others still have
    none, so the choice stays the same.
    """

    def __init__(self) -> None:
        self.searched_at: dict[tuple[SearchScope, messages.Room], int] = {}

    def workers_to_search(self, scope: SearchScope, request: messages.Room,
                          workers: list[workerstate.WorkerState]
                          ) -> list[workerstate.WorkerState]:
        """Return the workers that may have room, in their order."""
        since = self.searched_at.get((scope, request))
        if since is None:
            return workers
        return [w for w in workers if w.changed > since]

    def add(self, scope: SearchScope, request: messages.Room) -> None:
        """Note that a need has just found no room on any worker."""
        if len(self.searched_at) >= MAX_CACHED_SEARCHES:
            self.searched_at.clear()
        self.searched_at[scope, request] = next(workerstate.CHANGES)

    def clear(self) -> None:
        """Forget all, because rules for all workers have changed."""
        self.searched_at.clear()
