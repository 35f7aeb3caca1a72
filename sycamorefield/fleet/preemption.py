"""Preempt runs for the waiting tasks of a round; hold what is freed."""

import dataclasses
import typing

from sycamorefield.fleet import copies
from sycamorefield.fleet import eligibleworkers
from sycamorefield.fleet import heldworkers
from sycamorefield.fleet import ordering
from sycamorefield.fleet import placement_cache
from sycamorefield.fleet import placing
from sycamorefield.fleet import progress
from sycamorefield.fleet import victims
from sycamorefield.fleet import workerstate

if typing.TYPE_CHECKING:
    from sycamorefield.fleet import rounds


def start_where_held(round_: "rounds.Round", state: progress.JobState,
                     task: progress.TaskState,
                     eligible: eligibleworkers.EligibleWorkers) -> bool:
    """Start a task where resources are held for it, if it fits by now."""
    hold = round_.fleet.held_workers.find(task)
    if hold is None or hold.worker not in eligible.workers:
        return False
    worker = hold.worker
    request = task.step.reserved()
    if (not worker.accepts_starts()
            or not worker.free_capacity().plus(request).holds(request)
            or not placing.allowed(worker, eligible.service, task)):
        return False
    round_.start(state, task, worker, eligible)
    return True


def preempt_for(round_: "rounds.Round", state: progress.JobState,
                task: progress.TaskState,
                eligible: eligibleworkers.EligibleWorkers) -> bool:
    """Preempt lower-priority runs for a task unless capacity is freed.

    Return whether the task can expect capacity.
    """
    if round_.fleet.held_workers.find(task) is not None:
        return True
    if _take_over_hold(round_, state, task, eligible):
        return True
    scope = _scope(round_, state, task, eligible)
    if round_.freeing.claim(task, eligible.service, eligible.workers,
                            scope if round_.policy.remember_shortage
                            else None):
        return True
    chosen: typing.Sequence[progress.TaskState] = _choose_copies(
        round_, task, eligible, scope)
    if not chosen and round_.victim_finder is not None:
        return _preempt_by_lost_work(
            round_, round_.victim_finder, state, task, eligible)
    chosen = chosen or _choose_victims(round_, state, task, eligible)
    for victim in chosen:
        round_.fleet.stop_run(victim, f"room for {task.task}")
    if chosen:
        worker = round_.fleet.workers[chosen[0].worker_id]
        round_.freeing.record_preemption(task, worker)
        round_.record_gain(worker)
    return bool(chosen)


def _preempt_by_lost_work(round_: "rounds.Round", finder: victims.VictimFinder,
                          state: progress.JobState,
                          task: progress.TaskState,
                          eligible: eligibleworkers.EligibleWorkers) -> bool:
    """Preempt the finite runs that lose the least; return whether any."""
    waiting = _waiting(round_, state, task, eligible)
    # From round to round, tickets and headroom change without any worker.
    remember_searches = (eligible.tickets is None and not eligible.headroom
                         and round_.policy.remember_shortage)
    misses = round_.fleet.preemption_misses
    if remember_searches:
        waiting = dataclasses.replace(
            waiting, workers=misses.workers_to_search(
                waiting.scope, task.step.room, waiting.workers,
                include_stopping=True))
    choice = finder.choose(waiting)
    if choice is None and remember_searches:
        misses.add(waiting.scope, task.step.room)
    return _preempt_choice(round_, finder, waiting, choice)


def _waiting(round_: "rounds.Round", state: progress.JobState,
             task: progress.TaskState,
             eligible: eligibleworkers.EligibleWorkers) -> victims.Waiting:
    """Return a task that fits on no worker, and the workers it may use."""
    return victims.Waiting(
        state, task, ordering.priority(state, round_.queues),
        eligible.service, eligible.workers,
        _scope(round_, state, task, eligible))


def _scope(round_: "rounds.Round", state: progress.JobState,
           task: progress.TaskState,
           eligible: eligibleworkers.EligibleWorkers
           ) -> placement_cache.SearchScope:
    """Return the scope of a search for runs to stop, with the priority."""
    return dataclasses.replace(
        eligible.scope(task), priority=ordering.priority(state, round_.queues))


def _choose_copies(round_: "rounds.Round", task: progress.TaskState,
                   eligible: eligibleworkers.EligibleWorkers,
                   scope: placement_cache.SearchScope
                   ) -> typing.Sequence[progress.TaskState]:
    """Return copies to stop so that a task fits."""
    if round_.no_copies.covers(scope, task.step.room):
        return []
    chosen = copies.choose_victims(round_.fleet.copies, task,
                                   eligible.service, eligible.workers)
    if not chosen:
        round_.no_copies.add(scope, task.step.room)
    return chosen


def preempt_long_running_for(round_: "rounds.Round", state: progress.JobState,
                             task: progress.TaskState,
                             eligible: eligibleworkers.EligibleWorkers
                             ) -> bool:
    """Preempt long-running tasks that their users can miss."""
    if round_.victim_finder is None:
        return False
    waiting = _waiting(round_, state, task, eligible)
    return _preempt_choice(
        round_, round_.victim_finder, waiting,
        round_.victim_finder.choose_long_running(waiting))


def _preempt_choice(round_: "rounds.Round", finder: victims.VictimFinder,
                    waiting: victims.Waiting,
                    choice: victims.Choice | None) -> bool:
    """Stop chosen runs and hold what they free for the waiting task."""
    if choice is None:
        return False
    worker = choice.worker
    for victim in choice.victims:
        round_.fleet.stop_run(victim.task, f"room for {waiting.task.task}")
        round_.freeing.add(worker, victim.task.step.reserved())
        round_.fleet.preemptions.add(waiting.task, victim)
    finder.record_stops(choice)
    if round_.fleet.held_workers.any_on(worker):
        # With what is freed beyond the request, another hold may suffice.
        round_.no_holds.clear()
    add_hold(round_, waiting.job, waiting.task, worker, waiting.priority)
    return True


def add_hold(round_: "rounds.Round", state: progress.JobState,
             task: progress.TaskState, worker: workerstate.WorkerState,
             priority: int) -> None:
    """Hold what a task requests on a worker until it starts there."""
    earlier = round_.fleet.held_workers.find(task)
    stop_costs = round_.fleet.stop_costs
    stop_s = stop_costs.stop_s if stop_costs is not None else 0.0
    round_.fleet.held_workers.add(heldworkers.Hold(
        worker, worker.born_ms, state, task, priority,
        round_.now + stop_s + heldworkers.HOLD_S))
    if earlier is not None:
        round_.record_gain(earlier.worker)
    round_.ranking = None


def hold_until_recorded(round_: "rounds.Round", state: progress.JobState,
                        task: progress.TaskState,
                        worker: workerstate.WorkerState) -> None:
    """Hold what a task requests until its record allows its start."""
    hold = round_.fleet.held_workers.find(task)
    if hold is None or hold.worker is not worker:
        add_hold(round_, state, task, worker,
                 ordering.priority(state, round_.queues))


def _take_over_hold(round_: "rounds.Round", state: progress.JobState,
                    task: progress.TaskState,
                    eligible: eligibleworkers.EligibleWorkers) -> bool:
    """Use what is held for a less urgent task, if it suffices."""
    priority = ordering.priority(state, round_.queues)
    if not round_.fleet.held_workers.any_less_urgent(priority):
        return False
    scope = _scope(round_, state, task, eligible)
    if round_.no_holds.covers(scope, task.step.room):
        return False
    hold = _hold_to_take_over(round_, priority, task, eligible)
    if hold is None:
        round_.no_holds.add(scope, task.step.room)
        return False
    round_.fleet.held_workers.drop(hold.task)
    add_hold(round_, state, task, hold.worker, priority)
    round_.record_gain(hold.worker)
    return True


def _hold_to_take_over(round_: "rounds.Round", priority: int,
                       task: progress.TaskState,
                       eligible: eligibleworkers.EligibleWorkers
                       ) -> heldworkers.Hold | None:
    """Return a hold for a less urgent task that suffices, or None."""
    request = task.step.reserved()
    for hold in round_.fleet.held_workers.by_task.values():
        worker = hold.worker
        # The search in the list takes time for each worker: it is last.
        if (hold.priority > priority
                and worker.free_capacity().plus(
                    round_.freeing.on_worker(worker)).plus(
                        hold.task.step.reserved()).holds(request)
                and placing.allowed(worker, eligible.service, task)
                and worker in eligible.workers):
            return hold
    return None


def _choose_victims(round_: "rounds.Round", state: progress.JobState,
                    task: progress.TaskState,
                    eligible: eligibleworkers.EligibleWorkers
                    ) -> list[progress.TaskState]:
    """Return lower-priority runs to preempt so that a task fits."""
    priority = ordering.priority(state, round_.queues)
    scope = dataclasses.replace(eligible.scope(task), priority=priority)
    workers = eligible.workers
    remember_searches = (eligible.tickets is None
                         and not task.step.perpetual
                         and round_.policy.remember_shortage)
    if remember_searches:
        workers = round_.fleet.preemption_misses.workers_to_search(
            scope, task.step.room, workers)
    chosen = placing.choose_victims(task, eligible.service, priority,
                                    workers, round_.task_priority)
    if remember_searches and not chosen:
        round_.fleet.preemption_misses.add(scope, task.step.room)
    return chosen
