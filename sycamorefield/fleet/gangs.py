"""Choose workers for the members of a gang, which start together."""

from sycamorefield.fleet import placing
from sycamorefield.fleet import progress
from sycamorefield.fleet import workerstate


def choose(tasks: list[progress.TaskState], service: str,
           usable: list[workerstate.WorkerState]
           ) -> list[workerstate.WorkerState]:
    """Return a worker for each member, in one rack if that is asked."""
    if not tasks[0].step.same_rack:
        return _spread(tasks, service, usable)
    racks: dict[str, list[workerstate.WorkerState]] = {}
    for worker in usable:
        racks.setdefault(worker.entry.rack(), []).append(worker)
    for members in racks.values():
        chosen = _spread(tasks, service, members)
        if chosen:
            return chosen
    return _spread(tasks, service, usable)


def _spread(tasks: list[progress.TaskState], service: str,
            workers: list[workerstate.WorkerState]
            ) -> list[workerstate.WorkerState]:
    """Return one worker a member, or nothing if not all have room."""
    step = tasks[0].step
    reserved = step.reserved()
    chosen: list[workerstate.WorkerState] = []
    for worker in sorted(workers, key=lambda w: -w.free_capacity().cpu):
        if not placing.allowed(worker, service, tasks[0]):
            continue
        free_capacity = worker.free_capacity()
        there = 0
        while (len(chosen) < len(tasks) and free_capacity.holds(reserved)
               and not (step.max_per_worker
                        and there >= step.max_per_worker)):
            chosen.append(worker)
            free_capacity = free_capacity.minus(reserved)
            there += 1
    return chosen if len(chosen) == len(tasks) else []
