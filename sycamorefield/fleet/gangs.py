"""Choose workers for gangs: groups of tasks that start together."""

from sycamorefield.fleet import placing
from sycamorefield.fleet import progress
from sycamorefield.fleet import workerstate


def choose(tasks: list[progress.TaskState], service: str,
           usable: list[workerstate.WorkerState]
           ) -> list[workerstate.WorkerState]:
    """Return a worker for each task, or an empty list if some don't fit.

    If the step asks for one rack, several racks are used only if no single
    one fits all tasks.
    """
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
    """Return a worker for each task, or an empty list if some don't fit.

    Workers with the most free CPU are used first, slow ones last.
    """
    step = tasks[0].step
    reserved = step.reserved()
    chosen: list[workerstate.WorkerState] = []
    for worker in sorted(workers, key=lambda w: (
            w.slow, -w.free_capacity().cpu)):
        if not placing.allowed(worker, service, tasks[0]):
            continue
        free_capacity = worker.free_capacity()
        placed_here = 0
        while (len(chosen) < len(tasks) and free_capacity.holds(reserved)
               and not (step.max_per_worker
                        and placed_here >= step.max_per_worker)
               and not (worker.on_trial and not step.perpetual
                        and (placed_here or worker.has_trial_run()))):
            chosen.append(worker)
            free_capacity = free_capacity.minus(reserved)
            placed_here += 1
    return chosen if len(chosen) == len(tasks) else []
