"""Keep gaps open for lasting tasks that are down and find no room."""

import collections
import dataclasses

from sycamorefield.fleet import messages
from sycamorefield.fleet import placing
from sycamorefield.fleet import progress
from sycamorefield.fleet import shortage
from sycamorefield.fleet import workerstate

# A task that goes first after 4 s down counts as lost 5 s later; runs that
# take up to this long leave it two of them.
SHORT_RUN_MS = 3000


@dataclasses.dataclass(slots=True)
class Candidate:
    """Hold a worker's room beyond its claims, now and later.

    soon is what is left once its short runs have ended, late once all have
    that end by themselves.
    """

    worker: workerstate.WorkerState
    left: messages.Resources
    soon: messages.Resources
    late: messages.Resources
    claims: collections.Counter[messages.StepId] = dataclasses.field(
        default_factory=collections.Counter)

    def claim(self, task: progress.TaskState) -> None:
        """Take off what a task will need."""
        need = task.step.reserved()
        self.left = self.left.minus(need)
        self.soon = self.soon.minus(need)
        self.late = self.late.minus(need)
        self.claims[task.task.step_id()] += 1

    def allows(self, task: progress.TaskState, service: str,
               tickets: dict[str, str] | None) -> bool:
        """Tell whether rules let a task run here beside its claims."""
        step = task.step
        worker = self.worker
        if tickets is not None and worker.entry.worker_id not in tickets:
            return False
        if not placing.allowed(worker, service, task):
            return False
        if not step.max_per_worker:
            return True
        name = task.task
        there = worker.count_runs(name.job_id, name.occurrence, name.step)
        return there + self.claims[name.step_id()] < step.max_per_worker


class Gaps:
    """Claim workers on which runs that end will leave a wide enough gap.

    What goes wrong without: a task that goes first but is wider than any gap
    is passed over, narrower ones take each part of the gap that would grow,
    and it stays down for as long as they keep coming.  Its users notice; the
    owner sees a task down for seconds beside starts on every worker.  With a
    claim nothing else is started on that worker until runs have ended there,
    so the wait is that of the runs that are there.
    """

    def __init__(self, workers: list[workerstate.WorkerState]) -> None:
        self.workers = list(workers)
        self.candidates: list[Candidate] | None = None
        self.failed = shortage.Shortage()

    def claim(self, task: progress.TaskState, scope: shortage.Scope,
              tickets: dict[str, str] | None
              ) -> workerstate.WorkerState | None:
        """Return the worker to keep clear for a task, or None."""
        need = task.step.reserved()
        if self.failed.covers(scope, need):
            return None
        if self.candidates is None:
            self.candidates = [_candidate(w) for w in self.workers]
        for late in (False, True):
            best = self._widest(task, scope.service, tickets, late)
            if best is not None:
                best.claim(task)
                return best.worker
        self.failed.add(scope, need)
        return None

    def _widest(self, task: progress.TaskState, service: str,
                tickets: dict[str, str] | None,
                late: bool) -> Candidate | None:
        """Return where the gap is widest now of those that will do.

        It is the next to be wide enough; as nothing else takes of it, the
        choice mostly stays the same from round to round.
        """
        need = task.step.reserved()
        best = None
        for candidate in self.candidates or ():
            if best is not None and candidate.left.cpu <= best.left.cpu:
                continue
            room = candidate.late if late else candidate.soon
            if room.holds(need) and candidate.allows(task, service, tickets):
                best = candidate
        return best


def _candidate(worker: workerstate.WorkerState) -> Candidate:
    soon = late = free_capacity = worker.free_capacity()
    for task in worker.tasks.values():
        stopping = task.phase == progress.STOPPING
        if task.step.perpetual and not stopping:
            continue
        room = task.step.reserved()
        late = late.plus(room)
        if stopping or task.step.estimate_ms <= SHORT_RUN_MS:
            soon = soon.plus(room)
    return Candidate(worker, free_capacity, soon, late)
