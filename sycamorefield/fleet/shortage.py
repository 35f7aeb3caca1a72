"""Remember which needs found no room, within a round and over rounds."""

import dataclasses
import typing

from sycamorefield.fleet import messages
from sycamorefield.fleet import workerstate


@dataclasses.dataclass(frozen=True, slots=True)
class Scope:
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

    def wider(self) -> "Scope":
        """Return the scope without what is special to a step or label."""
        return Scope(self.service, self.fills, image=self.image)


class Shortage:
    """Spare the search for a need no smaller than one that found no room.

    On a full fleet most tasks that wait find none.  Searching all workers
    for each of them leaves the owner no time for reports and leases, which
    then come late.  Within a round room only gets less and urgency too: one
    search answers for all that is as large.
    """

    def __init__(self, remembers: bool = True) -> None:
        self.remembers = remembers
        self.failed: dict[Scope, list[messages.Resources]] = {}

    def covers(self, scope: Scope, need: messages.Resources) -> bool:
        """Tell whether a need is known to find no room."""
        return any(need.holds(smaller)
                   for smaller in self._failed_in(scope))

    def _failed_in(self, scope: Scope) -> typing.Iterator[messages.Resources]:
        yield from self.failed.get(scope, ())
        wider = scope.wider()
        if wider != scope:
            yield from self.failed.get(wider, ())

    def add(self, scope: Scope, need: messages.Resources) -> None:
        """Note that a need found no room."""
        if not self.remembers:
            return
        others = [room for room in self.failed.get(scope, ())
                  if not room.holds(need)]
        self.failed[scope] = others + [need]


# Needs remembered over rounds; a full fleet has some hundred that wait.
MOST_MISSES = 4096


class Misses:
    """Spare the search of workers that have not changed since the last one.

    On a full fleet the same needs wait in round after round, while a few
    reports come in between.  Searching all workers again for each need makes
    the work of a round grow with workers times needs, and an owner of
    hundreds of workers has no time left for reports.  A need that found no
    room is tried on the workers that changed since: the others still have
    none, so the choice stays the same.
    """

    def __init__(self) -> None:
        self.searched: dict[tuple[Scope, messages.Resources], int] = {}

    def untried(self, scope: Scope, need: messages.Resources,
                workers: list[workerstate.WorkerState]
                ) -> list[workerstate.WorkerState]:
        """Return the workers that may have room, in their order."""
        since = self.searched.get((scope, need))
        if since is None:
            return workers
        return [w for w in workers if w.change_number > since]

    def add(self, scope: Scope, need: messages.Resources) -> None:
        """Note that a need has just found no room on any worker."""
        if len(self.searched) >= MOST_MISSES:
            self.searched.clear()
        self.searched[scope, need] = next(workerstate.CHANGE_NUMBERS)

    def clear(self) -> None:
        """Forget all, because rules for all workers have changed."""
        self.searched.clear()
