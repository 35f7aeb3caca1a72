"""Bound what stopping lower-priority runs could free on a worker."""

import typing

from sycamorefield.fleet import messages
from sycamorefield.fleet import ordering
from sycamorefield.fleet import progress
from sycamorefield.fleet import workerstate

# Rows of a priority and what runs of it or a less urgent one reserve.
Reserved = list[tuple[int, messages.Resources]]


class FreeableCapacity:
    """What finite runs reserve on each worker, by priority.

    Cached across rounds until a worker changes.  A run that is ordered to stop
    is still counted until then, so the results are upper bounds.
    """

    def __init__(self, jobs: typing.Mapping[str, progress.JobState]) -> None:
        self.jobs = jobs
        # By worker ID: as of which change number, and what is reserved.
        self.known: dict[str, tuple[int, Reserved]] = {}

    def clear(self) -> None:
        """Drop all entries, because priorities may have changed."""
        self.known.clear()

    def forget(self, worker_id: str) -> None:
        """Drop the entry of a worker that is not known any more."""
        self.known.pop(worker_id, None)

    def below(self, worker: workerstate.WorkerState, priority: int,
              queues: dict[str, messages.Queue]
              ) -> messages.Resources | None:
        """Return what less urgent runs reserve, or None if there are none."""
        worker_id = worker.entry.worker_id
        known = self.known.get(worker_id)
        if known is None or known[0] != worker.change_number:
            known = worker.change_number, self._reserved_on(worker, queues)
            self.known[worker_id] = known
        for row_priority, reserved in known[1]:
            if row_priority > priority:
                return reserved
        return None

    def _reserved_on(self, worker: workerstate.WorkerState,
                     queues: dict[str, messages.Queue]) -> Reserved:
        """Return the rows of a worker, the most urgent first."""
        by_priority: dict[int, messages.Resources] = {}
        for (task_id, run), task in worker.tasks.items():
            if (task.step.perpetual or task.phase != progress.RUNNING
                    or task.run != run or task_id.job_id not in self.jobs):
                continue
            priority = ordering.priority(self.jobs[task_id.job_id], queues)
            by_priority[priority] = by_priority.get(
                priority, messages.Resources()).plus(task.step.reserved())
        rows: Reserved = []
        total = messages.Resources()
        for priority in sorted(by_priority, reverse=True):
            total = total.plus(by_priority[priority])
            rows.insert(0, (priority, total))
        return rows
