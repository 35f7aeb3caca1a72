"""Apply the outcomes of orders sent to workers."""

import typing

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import pacer
from sycamorefield.fleet import progress
from sycamorefield.fleet import state as state_mod

# How long a worker that rejected a start gets no other, in seconds, by the
# reason it gave.
UNHEALTHY_PAUSE_S = 2.0
NO_CAPACITY_PAUSE_S = 0.5


def should_send(fleet: state_mod.FleetState, worker_id: str,
                order: messages.StartOrder) -> bool:
    """Return whether a queued start order should still be sent.

    If not, the run is released at once, since it was never sent.
    """
    with fleet.lock:
        found = fleet.find(order.task)
        worker = fleet.workers.get(worker_id)
        if found is None or worker is None:
            return False
        job, task = found
        task = fleet.run_state(worker, task, order.run)
        if worker.mark_start_sent((order.task, order.run)):
            fleet.request_round()
        # The worker's capacity may have shrunk while the order was queued.
        if (fleet.is_current(worker, task, order.run)
                and task.phase == progress.STARTING
                and not job.final() and not worker.unresponsive
                and not worker.entry.draining
                and not fleet.is_evacuated(worker)
                and worker.entry_is_of_current_life()
                and worker.entry.capacity.holds(worker.used)):
            return True
        worker.release((order.task, order.run), task.step)
        if fleet.is_current(worker, task, order.run):
            task.reset_run()
            _withdraw_gang(fleet, job, order)
        fleet.request_round()
        return False


def _withdraw_gang(fleet: state_mod.FleetState, job: progress.JobState,
                   order: messages.StartOrder) -> None:
    """Stop the other members of a gang of which one is not started.

    They would hold their resources and wait for it in vain.
    """
    step = order.task.step_id()
    for member in job.tasks[step.occurrence, step.step]:
        if (member.step.gang and member.run == order.run
                and member.phase in (progress.STARTING, progress.RUNNING)):
            fleet.stop_run(member, f"{order.task} is not started")


def may_start_here(fleet: state_mod.FleetState, worker_id: str) -> bool:
    """Return whether starts may be sent to a worker's data centre."""
    with fleet.lock:
        worker = fleet.workers.get(worker_id)
        return worker is None or not fleet.is_evacuated(worker)


def should_repeat(fleet: state_mod.FleetState, worker_id: str,
                  order: messages.StartOrder) -> bool:
    """Return whether a start order without an answer should be sent again.

    Its run may have been ordered to stop meanwhile.  Or the worker has ended
    and the task may run elsewhere, and a new life would start it once more.
    An earlier call may have begun the run, so its begin is not known.
    """
    with fleet.lock:
        found = fleet.find_worker_and_task(
            worker_id, order.task, order.run)
        if (found is None or not fleet.is_current(*found, order.run)
                or found[1].phase != progress.STARTING):
            return False
        found[1].measurable = False
        return True


class StartAnswer(typing.NamedTuple):
    """The answer to a start: the worker's clock, and the lease that it has.

    The call was sent at sent_at, in seconds on clock.now().
    """

    clock_ms: float
    lease_end_ms: float
    sent_at: float


def record_started(fleet: state_mod.FleetState, worker_id: str,
                   order: messages.StartOrder, now: float,
                   answer: StartAnswer | None = None) -> None:
    """Record that a worker carried out a start order."""
    with fleet.lock:
        found = fleet.find_worker_and_task(
            worker_id, order.task, order.run)
        if found is None:
            return
        worker, task = found
        worker.mark_start_sent((order.task, order.run))
        worker.unanswered_starts = 0
        task.original().start_confirmed = True
        if answer is not None:
            worker.record_start_lease(
                (order.task, order.run), answer.clock_ms, answer.lease_end_ms,
                fleet.hold_max_ms, answer.sent_at, now)
        if fleet.is_current(worker, task, order.run):
            task.confirmed_at = now
            if task.phase == progress.STARTING:
                worker.record_change()
                task.phase = progress.RUNNING
                task.started_at = now
            if 0 <= task.pace_percent < 100:
                fleet.send(worker_id, messages.PaceOrder(
                    order.task, order.run, task.pace_percent))


def record_rejected(fleet: state_mod.FleetState, worker_id: str,
                    order: messages.StartOrder, reason: str,
                    now: float) -> None:
    """Record that a start order was rejected or could not be sent."""
    events.emit(events.RUN_REJECTED, task=str(order.task),
                run=order.run, worker=worker_id, reason=reason)
    with fleet.lock:
        found = fleet.find_worker_and_task(
            worker_id, order.task, order.run)
        if found is None:
            return
        worker, task = found
        worker.release((order.task, order.run), task.step)
        if reason == interfaces.NO_CAPACITY:
            worker.avoid_until = now + NO_CAPACITY_PAUSE_S
        elif reason == interfaces.INVALID_TICKET:
            fleet.advice.discard_ticket(task.task.step_id(), worker_id)
            if not order.ticket:
                # There is no policy by which to request one.
                task.not_before = now + UNHEALTHY_PAUSE_S
        elif reason == interfaces.UNHEALTHY:
            worker.avoid_until = now + UNHEALTHY_PAUSE_S
        elif reason == interfaces.STALE_RUN:
            original = task.original()
            original.last_run = max(original.last_run,
                                    order.run) + progress.RUNS_PER_TERM
        else:
            task.not_before = now + UNHEALTHY_PAUSE_S
        if fleet.is_current(worker, task, order.run):
            task.reset_run()
        fleet.request_round()


def stop_uncertain_run(fleet: state_mod.FleetState, worker_id: str,
                       order: messages.StartOrder,
                       refused: bool = False) -> None:
    """Stop a run whose start got no response, as it may have begun.

    Its task runs elsewhere only after the stop is acknowledged.  If each
    attempt was refused for lack of a listener, the run cannot have begun.
    """
    with fleet.lock:
        found = fleet.find_worker_and_task(
            worker_id, order.task, order.run)
        if found is None:
            return
        worker, task = found
        if refused:
            worker.refused_starts.add((order.task, order.run))
        elif worker.record_unanswered_start(clock.now()):
            # Reports may still arrive, so it would get start after start.
            events.emit(events.WORKER_AVOIDED, worker=worker_id,
                        unanswered=worker.unanswered_starts)
        if fleet.is_current(worker, task, order.run):
            fleet.stop_run(task, "start got no answer")


def record_attempt(fleet: state_mod.FleetState, worker_id: str,
                   order: messages.StartOrder, sent_at: float) -> bool:
    """Record that an attempt to start a run is sent; return whether it may be.

    It may be carried out from now on, also once this owner has stopped.  None
    is sent that the record for a successor lacks.
    """
    with fleet.lock:
        if fleet.leases_closed:
            return False
        worker = fleet.workers.get(worker_id)
        run = (order.task, order.run)
        if worker is not None and run in worker.tasks:
            worker.unreported_life.add_attempt(run, sent_at)
        return True


def record_attempt_over(fleet: state_mod.FleetState, worker_id: str,
                        order: messages.StartOrder, sent_at: float) -> None:
    """Record that an attempt was answered or was never carried out."""
    with fleet.lock:
        worker = fleet.workers.get(worker_id)
        if worker is not None:
            worker.unreported_life.remove_attempt(
                (order.task, order.run), sent_at)


def record_answer(fleet: state_mod.FleetState, worker_id: str,
                  sent_at: float) -> None:
    """Record that a worker answered an order that was sent at a time."""
    with fleet.lock:
        worker = fleet.workers.get(worker_id)
        if worker is not None:
            worker.unreported_life.note_answer(sent_at)


def record_lease_answered(fleet: state_mod.FleetState,
                          worker_id: str) -> None:
    """Record that a call that extends leases extends them no further."""
    with fleet.lock:
        worker = fleet.workers.get(worker_id)
        if worker is not None:
            worker.unreported_life.remove_lease()


def record_uncertain_pace(fleet: state_mod.FleetState, worker_id: str,
                          order: messages.PaceOrder, now: float) -> None:
    """Record that a pace order may be lost or be carried out late."""
    with fleet.lock:
        worker = fleet.workers.get(worker_id)
        if worker is not None:
            pacer.note_uncertain_pace(worker, (order.task, order.run), now)


def record_stopped(fleet: state_mod.FleetState, worker_id: str,
                   order: messages.StopOrder, now: float) -> None:
    """Record that a worker accepted a stop: the run cannot begin any more."""
    with fleet.lock:
        found = fleet.find_worker_and_task(
            worker_id, order.task, order.run)
        if found is not None and fleet.is_current(*found, order.run):
            found[1].confirmed_at = now
