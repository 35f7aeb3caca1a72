"""Keep the workers on which a step may run, with their tickets."""

import dataclasses

from sycamorefield.fleet import placement_cache
from sycamorefield.fleet import progress
from sycamorefield.fleet import workerstate


@dataclasses.dataclass(frozen=True, slots=True)
class EligibleWorkers:
    """The workers on which a step may run, with their tickets.

    There are no tickets (None) if the queue has no advice policy.
    """

    service: str
    workers: list[workerstate.WorkerState]
    tickets: dict[str, str] | None = None
    # The headroom that restricts the workers, if any.
    headroom: str = ""

    def ticket(self, worker: workerstate.WorkerState) -> str:
        """Return the ticket to start a run on a worker, or an empty string."""
        return (self.tickets or {}).get(worker.entry.worker_id, "")

    def scope(self, task: progress.TaskState) -> placement_cache.SearchScope:
        """Return the scope of a search for a worker for a task of the step."""
        step = task.step
        own = step.max_per_worker or self.tickets is not None
        return placement_cache.SearchScope(
            self.service, step.fills, step.requires,
            step.image if step.fills else "",
            task.task.step_id() if own else None, headroom=self.headroom)
