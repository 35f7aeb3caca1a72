"""Find ready tasks that only workers out of the owner's reach could run."""

import dataclasses
import typing

from sycamorefield.fleet import messages
from sycamorefield.fleet import placing
from sycamorefield.fleet import progress
from sycamorefield.fleet import waitingreasons
from sycamorefield.fleet import workerstate

if typing.TYPE_CHECKING:
    from sycamorefield.fleet import state as state_mod

# Steps are examined once their tasks have waited this long.  On a busy fleet
# most tasks wait for less.
MIN_WAIT_S = 1.0
# Steps are examined this often, and at most so many of them, until so many
# workers have been looked at: a search looks at each worker of a full fleet.
# Steps that ask for the same share a search, and those that were examined the
# longest ago come first.
PERIOD_S = 1.0
MAX_STEPS = 100
MAX_WORKERS = 5000
# The reasons for waiting that another worker would end.
ENDED_BY_A_WORKER = (waitingreasons.NO_WORKER, waitingreasons.HEADROOM)

Request = tuple[typing.Any, ...]


class Shortage(typing.NamedTuple):
    """Unreached workers that could run a task, and their share.

    The share is of these and of the reached workers that could run the task
    if they were not in use.
    """

    worker_ids: frozenset[str]
    share: float


@dataclasses.dataclass(slots=True)
class WaitingStep:
    """A step with ready tasks, and since when they wait.

    short_since is when it was first found to lack unreached workers.
    """

    since: float
    tasks: int = 0
    examined_at: float = 0.0
    short_since: float = 0.0
    shortage: Shortage | None = None

    def note(self, tasks: int, shortage: Shortage | None,
             now: float) -> None:
        """Note for which workers the tasks wait, if for any."""
        if self.shortage is None:
            self.short_since = now
        self.tasks = tasks
        self.examined_at = now
        self.shortage = shortage

    def lost_s(self) -> float:
        """Return the time lost, until it was last examined."""
        if self.shortage is None:
            return 0.0
        return (self.examined_at - self.short_since) * self.shortage.share


class UnreachedNeeds:
    """Remember which steps wait for workers that the owner can't reach."""

    def __init__(self) -> None:
        self.steps: dict[messages.StepId, WaitingStep] = {}
        self.updated_at = 0.0

    def update(self, fleet: "state_mod.FleetState",
               unreached_ids: typing.Collection[str], now: float) -> None:
        """Find the steps that wait for some of the unreached workers."""
        if not unreached_ids:
            self.steps.clear()
            return
        if now - self.updated_at < PERIOD_S:
            return
        self.updated_at = now
        ready = _ready_steps(fleet)
        self.steps = {step_id: self.steps.get(step_id) or WaitingStep(now)
                      for step_id in ready}
        due = sorted(
            (step_id for step_id, step in self.steps.items()
             if now - step.since >= MIN_WAIT_S),
            key=lambda step_id: self.steps[step_id].examined_at)
        searches = Searches(fleet, unreached_ids, now)
        for step_id in due[:MAX_STEPS]:
            # Not held for all steps, as a search takes milliseconds.
            with fleet.lock:
                tasks = _idle_tasks(ready[step_id], step_id)
                if tasks and not searches.exhausted():
                    self.steps[step_id].note(
                        len(tasks), searches.find(ready[step_id], tasks), now)

    def lost_s(self) -> float:
        """Return the longest time that a step has lost."""
        return max((step.lost_s() for step in self.steps.values()),
                   default=0.0)

    def needed_ids(self) -> set[str]:
        """Return the unreached workers for which tasks wait."""
        return {worker_id for step in self.steps.values()
                if step.shortage is not None
                for worker_id in step.shortage.worker_ids}

    def waiting_tasks(self) -> int:
        """Return how many tasks wait for unreached workers."""
        return sum(step.tasks for step in self.steps.values()
                   if step.shortage is not None)


def _ready_steps(fleet: "state_mod.FleetState"
                 ) -> dict[messages.StepId, progress.JobState]:
    with fleet.lock:
        states = list(fleet.active.values())
    ready = {}
    for state in states:
        with fleet.lock:
            for tasks in state.ready_tasks():
                ready[tasks[0].task.step_id()] = state
    return ready


def _idle_tasks(state: progress.JobState, step_id: messages.StepId
                ) -> list[progress.TaskState]:
    return [task for task in state.tasks.get(
        (step_id.occurrence, step_id.step), ())
        if task.phase == progress.IDLE and not task.done]


def _request(tasks: list[progress.TaskState], service: str) -> Request:
    """Return what steps have in common that fit on the same workers."""
    step = tasks[0].step
    return (service, step.requires, step.room, step.fills,
            len(tasks) if step.gang else 0,
            # The runs of the step exclude workers.
            tasks[0].task.step_id() if step.max_per_worker else None)


class Searches:
    """Search the workers for those that waiting tasks lack.

    The caller holds the fleet's lock.
    """

    def __init__(self, fleet: "state_mod.FleetState",
                 unreached_ids: typing.Collection[str], now: float) -> None:
        self.fleet = fleet
        self.unreached_ids = unreached_ids
        self.now = now
        self.queues = fleet.configuration().queues_by_name()
        self.found: dict[Request, Shortage | None] = {}
        # How many workers have been looked at.
        self.looked_at = 0

    def exhausted(self) -> bool:
        """Return whether no more workers should be looked at."""
        return self.looked_at >= MAX_WORKERS

    def find(self, state: progress.JobState,
             tasks: list[progress.TaskState]) -> Shortage | None:
        """Return the unreached workers that tasks of a step need, or None."""
        if waitingreasons.step_reason(
                self.fleet, state, tasks, self.now) not in ENDED_BY_A_WORKER:
            return None
        service = waitingreasons.service_of(self.queues, state)
        request = _request(tasks, service)
        if request not in self.found:
            self.found[request] = self._find_shortage(tasks, service)
        return self.found[request]

    def _find_shortage(self, tasks: list[progress.TaskState],
                       service: str) -> Shortage | None:
        """Return None if tasks fit on workers that are reached."""
        task = tasks[0]
        fleet = self.fleet
        needed_places = len(tasks) if task.step.gang else 1
        self.looked_at += len(self.unreached_ids)
        needed = [worker for worker_id in self.unreached_ids
                  if (worker := fleet.workers.get(worker_id)) is not None
                  and not fleet.is_evacuated(worker)
                  and _could_run(worker, service, task)]
        if not needed:
            return None
        in_use = reached_places = 0
        for worker in fleet.workers.values():
            self.looked_at += 1
            if (worker.unresponsive or not worker.has_reported
                    or not _could_run(worker, service, task)):
                continue
            if worker.usable(self.now) and placing.fits(
                    worker, task.step, fleet.interference_model):
                reached_places += _places(
                    worker, worker.free_capacity(), task)
                if reached_places >= needed_places:
                    return None
            elif _is_half_used(worker) or not worker.usable(self.now):
                in_use += 1
        if reached_places + sum(
                _places(worker, worker.entry.capacity, task)
                for worker in needed) < needed_places:
            return None
        return Shortage(
            frozenset(worker.entry.worker_id for worker in needed),
            len(needed) / (len(needed) + in_use))


def _could_run(worker: workerstate.WorkerState, service: str,
               task: progress.TaskState) -> bool:
    """Return whether a worker could run a task if it were not in use."""
    return (worker.listed and not worker.entry.draining
            and placing.allowed(worker, service, task)
            and worker.entry.capacity.holds(task.step.room))


def _places(worker: workerstate.WorkerState, capacity: messages.Resources,
            task: progress.TaskState) -> int:
    """Return how many tasks of a step a worker could start."""
    step = task.step
    needs = step.reserved()
    places = min((available // needed for available, needed in (
        (capacity.cpu, needs.cpu), (capacity.mem_mb, needs.mem_mb),
        (capacity.gpu, needs.gpu)) if needed), default=step.count)
    if step.max_per_worker:
        places = min(places, step.max_per_worker - worker.count_runs(
            task.task.job_id, task.task.occurrence, task.task.step))
    return places


def _is_half_used(worker: workerstate.WorkerState) -> bool:
    """Return whether a worker is in use, so that ends of runs free capacity.

    A change of owner gains little for tasks that wait for many such workers.
    """
    capacity, used = worker.entry.capacity, worker.used
    return (2 * used.cpu >= capacity.cpu > 0
            or 2 * used.mem_mb >= capacity.mem_mb > 0
            or 2 * used.gpu >= capacity.gpu > 0)
