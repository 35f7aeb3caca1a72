"""Choose workers for the members of a gang, which start together."""

from sycamorefield.fleet import placing
from sycamorefield.fleet import progress
from sycamorefield.fleet import workerstate


def choose(tasks: list[progress.TaskState], service: str,
           usable: list[workerstate.WorkerState]
           ) -> list[workerstate.WorkerState]:
    """Return a worker for each member, in one rack if that is asked."""
    if not tasks[0].step.same_rack:
        return _assign(tasks, service, usable)
    racks: dict[str, list[workerstate.WorkerState]] = {}
    for worker in usable:
        racks.setdefault(worker.entry.rack(), []).append(worker)
    for rack_workers in racks.values():
        chosen = _assign(tasks, service, rack_workers)
        if chosen:
            return chosen
    return _assign(tasks, service, usable)


def _assign(tasks: list[progress.TaskState], service: str,
            workers: list[workerstate.WorkerState]
            ) -> list[workerstate.WorkerState]:
    """Return one worker a member, or nothing if not all have room."""
    step = tasks[0].step
    reserved = step.reserved()
    chosen: list[workerstate.WorkerState] = []
    for worker in sorted(workers, key=lambda w: -w.free().cpu):
        if not placing.allowed(worker, service, tasks[0]):
            continue
        free = worker.free()
        placed_here = 0
        while (len(chosen) < len(tasks) and free.holds(reserved)
               and not (step.max_per_worker
                        and placed_here >= step.max_per_worker)):
            chosen.append(worker)
            free = free.minus(reserved)
            placed_here += 1
    return chosen if len(chosen) == len(tasks) else []
