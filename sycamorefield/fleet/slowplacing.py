"""Place tasks on workers excluded as slow if nothing else can run them.

A long-running task that is down has users without service; on a slow worker
they are served slowly.  Of the workers that a step can use, no greater share
is excluded than of all: all workers with its label may be slow.
"""

import typing

from sycamorefield.fleet import eligibleworkers
from sycamorefield.fleet import messages
from sycamorefield.fleet import placing
from sycamorefield.fleet import progress
from sycamorefield.fleet import workerspeed
from sycamorefield.fleet import workerstate

if typing.TYPE_CHECKING:
    from sycamorefield.fleet import rounds

# The service, the label and the resources that a step requests.
Kind = tuple[str, str, messages.Resources]


class SlowWorkers:
    """The usable workers that a round excludes or limits to one run."""

    def __init__(self, round_: "rounds.Round",
                 workers: typing.Sequence[workerstate.WorkerState]) -> None:
        self.round = round_
        self.workers = workers
        self.ids = {w.entry.worker_id for w in workers}
        # The workers for a step that is not down, by what it requests.
        self.surplus: dict[Kind, list[workerstate.WorkerState]] = {}
        # Searches that found no worker.
        self.misses: set[typing.Hashable] = set()

    def choose(self, task: progress.TaskState,
               eligible: eligibleworkers.EligibleWorkers
               ) -> workerstate.WorkerState | None:
        """Return the best of them for a task that fits on no other worker."""
        if not self.workers:
            return None
        step = task.step
        key = (eligible.scope(task), step.room, _is_down(task))
        if key in self.misses:
            return None
        best = max(
            (w for w in self.usable_for(task, eligible)
             if placing.allowed(w, eligible.service, task)
             and placing.has_room_when_slow(w, step)),
            key=lambda w: (not w.is_avoided_by(task),
                           -self._factor(w), -w.free_capacity().cpu),
            default=None)
        if best is None:
            self.misses.add(key)
        return best

    def usable_for(self, task: progress.TaskState,
                   eligible: eligibleworkers.EligibleWorkers
                   ) -> list[workerstate.WorkerState]:
        """Return those of them that a task may use, by kind."""
        step = task.step
        if not self.workers or step.fills:
            return []
        kind = (eligible.service, step.requires, step.reserved())
        workers = ([w for w in self.workers if _can_hold(w, kind)]
                   if _is_down(task) else self._surplus(kind))
        if eligible.tickets is None:
            return workers
        return [w for w in workers if w.entry.worker_id in eligible.tickets]

    def _factor(self, worker: workerstate.WorkerState) -> float:
        record = self.round.fleet.worker_speeds.degraded.get(
            worker.entry.worker_id)
        return record.factor if record is not None else 0.0

    def _surplus(self, kind: Kind) -> list[workerstate.WorkerState]:
        """Return those beyond the share of a kind that may be excluded."""
        found = self.surplus.get(kind)
        if found is None:
            slow = [w for w in self.workers if _can_hold(w, kind)]
            others = sum(
                1 for w in self.round.usable_workers
                if slow and w.entry.worker_id not in self.ids
                and _can_hold(w, kind))
            limit = int(workerspeed.MAX_EXCLUDED_SHARE
                        * (len(slow) + others))
            slow.sort(key=self._factor)
            found = self.surplus[kind] = slow[:max(0, len(slow) - limit)]
        return found


def _is_down(task: progress.TaskState) -> bool:
    return task.step.perpetual and task.may_have_run()


def _can_hold(worker: workerstate.WorkerState, kind: Kind) -> bool:
    """Return whether a worker without runs could run a step of a kind."""
    service, label, request = kind
    entry = worker.entry
    return (entry.service == service
            and (not label or label in entry.labels)
            and entry.capacity.holds(request))
