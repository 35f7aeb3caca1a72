"""Take in what became of the orders sent to workers."""

from sycamorefield import events
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import surroundings

# A worker that turned a start away gets none for this long.
UNHEALTHY_S = 2.0
NO_ROOM_S = 0.5


def still_wanted(fleet: state_mod.FleetState, worker_id: str,
                 order: messages.StartOrder) -> bool:
    """Tell whether a start that waited to be sent should still go.

    If not, it is taken back: it was never sent.
    """
    with fleet.lock:
        found = fleet.find(order.task)
        worker = fleet.workers.get(worker_id)
        if found is None or worker is None:
            return False
        job, task = found
        if worker.start_sent((order.task, order.run)):
            fleet.notify()
        # The worker's room may have shrunk while the start waited.
        if (fleet.is_current(worker, task, order.run)
                and task.phase == progress.STARTING
                and not job.final() and not worker.silent
                and not worker.entry.draining
                and worker.entry.capacity.holds(worker.used)):
            return True
        worker.release((order.task, order.run), task.step)
        if fleet.is_current(worker, task, order.run):
            task.idle()
        fleet.notify()
        return False


def started(fleet: state_mod.FleetState, worker_id: str,
            order: messages.StartOrder, clock_ms: float, now: float) -> None:
    """Note that a worker carried out a start."""
    with fleet.lock:
        found = fleet.find_on(worker_id, order.task)
        if found is None:
            return
        worker, task = found
        worker.heard(clock_ms, now)
        worker.start_sent((order.task, order.run))
        task.begun = True
        if fleet.is_current(worker, task, order.run):
            task.moved_at = now
            if task.phase == progress.STARTING:
                worker.touch()
                task.phase = progress.RUNNING
                task.started = now


def rejected(fleet: state_mod.FleetState, worker_id: str,
             order: messages.StartOrder, reason: str, now: float) -> None:
    """Note that a worker did not carry out a start."""
    events.emit(events.RUN_REJECTED, task=str(order.task),
                run=order.run, worker=worker_id, reason=reason)
    with fleet.lock:
        found = fleet.find_on(worker_id, order.task)
        if found is None:
            return
        worker, task = found
        worker.release((order.task, order.run), task.step)
        if reason == surroundings.NO_ROOM:
            worker.avoid_until = now + NO_ROOM_S
        elif reason == surroundings.NO_TICKET:
            fleet.advice.discard_ticket(task.task.step_id(), worker_id)
        elif reason == surroundings.UNHEALTHY:
            worker.avoid_until = now + UNHEALTHY_S
        elif reason == surroundings.OLD_RUN:
            task.last_run = max(task.last_run,
                                order.run) + progress.RUN_GAP
        else:
            task.not_before = now + UNHEALTHY_S
        if fleet.is_current(worker, task, order.run):
            task.idle()
        fleet.notify()


def uncertain(fleet: state_mod.FleetState, worker_id: str,
              order: messages.StartOrder, never_began: bool = False) -> None:
    """Stop a run whose start got no answer, before it runs elsewhere."""
    with fleet.lock:
        found = fleet.find_on(worker_id, order.task)
        if found is None:
            return
        worker, task = found
        if never_began:
            worker.never_began.add((order.task, order.run))
        if fleet.is_current(worker, task, order.run):
            fleet.stop_run(task, "start got no answer")


def stopped(fleet: state_mod.FleetState, worker_id: str,
            order: messages.StopOrder, now: float) -> None:
    """Note that a worker has taken a stop: the run cannot begin now."""
    with fleet.lock:
        found = fleet.find_on(worker_id, order.task)
        if found is not None and fleet.is_current(*found, order.run):
            found[1].moved_at = now
