"""Run scheduling rounds: match waiting tasks to workers."""

import dataclasses
import typing

from sycamorefield.fleet import advice as advice_mod
from sycamorefield.fleet import copies
from sycamorefield.fleet import drains
from sycamorefield.fleet import eligibleworkers
from sycamorefield.fleet import freeing
from sycamorefield.fleet import gangs
from sycamorefield.fleet import headroom
from sycamorefield.fleet import lowpacestarts
from sycamorefield.fleet import messages
from sycamorefield.fleet import ordering
from sycamorefield.fleet import overdueholds
from sycamorefield.fleet import pacer
from sycamorefield.fleet import pacing
from sycamorefield.fleet import placement_cache
from sycamorefield.fleet import placing
from sycamorefield.fleet import preemption
from sycamorefield.fleet import progress
from sycamorefield.fleet import quarantineplacing
from sycamorefield.fleet import reservations
from sycamorefield.fleet import slowplacing
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import storedcrashes
from sycamorefield.fleet import victims
from sycamorefield.fleet import workerstate

# A best-effort run throttled to pacer.STALLED_PACE_PERCENT for this long is
# moved to a worker where it is expected to disturb no other task, if there is
# one.  A move loses the progress made so far: moving sooner loses more work
# than it saves.
MOVE_STALLED_AFTER_S = 1.0


class Round:
    """A scheduling round; caches which requests could not be placed."""

    def __init__(self, fleet: state_mod.FleetState,
                 queues: dict[str, messages.Queue],
                 usable_workers: list[workerstate.WorkerState],
                 now: float, wall_ms: float,
                 slow_workers: typing.Sequence[workerstate.WorkerState] = ()
                 ) -> None:
        self.fleet = fleet
        self.queues = queues
        self.usable_workers = usable_workers
        # Usable workers, including those quarantined for suspected tasks.
        self.worker_count = len(usable_workers) + len(fleet.trials.by_worker)
        self.now = now
        self.wall_ms = wall_ms
        self.policy = fleet.policy
        # Requests that fit on no worker now, and those of them for which no
        # capacity is being freed or can be freed by preemption.
        remember_searches = self.policy.remember_shortage
        self.unplaceable = placement_cache.UnplaceableRequests(
            remember_searches)
        self.no_capacity_expected = placement_cache.UnplaceableRequests(
            remember_searches)
        self.reservations = reservations.Reservations(usable_workers)
        # Long-running tasks that could not be placed without using capacity
        # kept for others, by how much they must leave.
        self.held_back = {
            required: placement_cache.UnplaceableRequests()
            for required in headroom.RequiredHeadroom}
        # By service and by the priority of the long-running job.
        self.headrooms: dict[tuple[str, int], headroom.Headroom] = {}
        self.freeing = freeing.FreeingCapacity(
            fleet.held_workers.without_paused(usable_workers))
        # Requests that no copies can be stopped for, and those for which no
        # less urgent hold suffices; the scopes have a priority.
        self.no_copies = placement_cache.UnplaceableRequests(
            remember_searches)
        self.no_holds = placement_cache.UnplaceableRequests(
            remember_searches)
        # None if runs to preempt are not chosen by the work lost.
        self.victim_finder = (
            victims.VictimFinder(fleet, fleet.stop_costs, queues,
                                 self.freeing, now, wall_ms)
            if self.policy.preempt_by_lost_work
            and fleet.stop_costs is not None else None)
        # Workers on which this round must not start any other task.
        self.excluded: list[workerstate.WorkerState] = []
        # Those of them that are reserved for long-running tasks.
        self.reserved_workers: list[workerstate.WorkerState] = []
        # Ranked workers for the tasks of the step being placed.
        self.ranking: placing.Ranking | None = None
        self.slow_workers = slowplacing.SlowWorkers(self, slow_workers)
        # What tasks request that this round leaves waiting.
        self.waiting = copies.Waiting()
        # Tasks that workers of earlier owners may run.
        self.unproven_tasks: frozenset[messages.TaskId] = frozenset()
        # Overdue best-effort tasks that this round leaves waiting.
        self.overdue: list[overdueholds.OverdueTask] = []
        self.low_pace_starts = lowpacestarts.LowPaceStarts(
            fleet.interference_model, fleet.overdue_holds)
        # Whether a long-running task that is down fits on no worker.
        self.down_tasks_wait = False

    def place_step(self, state: progress.JobState, occurrence: int,
                   number: int) -> bool:
        """Start the idle tasks of a step; return whether any was waiting."""
        if (state.step_done(occurrence, number)
                or not state.step_ready(occurrence, number)):
            return False
        tasks = state.tasks[occurrence, number]
        waiting = [t for t in tasks if t.phase == progress.IDLE
                   and not t.done]
        # A quarantine run is stored before it starts, with the crashes.
        startable = [
            t for t in waiting
            if t.not_before <= self.now and t.task not in self.unproven_tasks
            and (storedcrashes.are_stored(state, t)
                 or t.needs_quarantine_run())]
        if not startable:
            return bool(waiting)
        step = state.job.steps[number]
        eligible = self._eligible_workers(state, startable[0])
        suspected = [
            t for t in startable if t.suspicion and t.needs_quarantine_run()]
        if suspected:
            quarantineplacing.place_suspected(
                self, state, tasks, startable, suspected, eligible)
        elif step.gang:
            self._place_gang(state, tasks, startable, eligible)
        else:
            self.place_tasks(state, tasks, startable, eligible)
        if eligible.tickets is not None:
            self._request_advice(state, startable, eligible)
        if self.fleet.copies.watched and any(
                t.phase == progress.IDLE for t in reversed(startable)):
            self.waiting.add(step, eligible.service,
                             ordering.priority(state, self.queues))
        return True

    def _request_advice(self, state: progress.JobState,
                        tasks: list[progress.TaskState],
                        eligible: eligibleworkers.EligibleWorkers) -> None:
        """Request advice on more workers if tasks of a step are unplaced."""
        policy = advice_mod.policy_of(
            state.job, self.queues.get(state.job.queue))
        task = next((t for t in tasks if t.phase == progress.IDLE), None)
        if task is None or policy is None:
            return
        advice = self.fleet.advice
        step_id = task.task.step_id()
        if advice.is_pending(step_id):
            return
        known_workers = advice.known_workers(step_id, self.now)
        possible = [w for w in self.usable_workers
                    if w.entry.worker_id not in known_workers
                    and placing.allowed(w, eligible.service, task)
                    and w.entry.capacity.holds(task.step.reserved())]
        if not possible:
            return
        possible.sort(key=lambda w: -w.free_capacity().cpu)
        fitting = self.fitting_workers(task, possible)
        advice.pass_over(step_id, self.fitting_workers(
            task, [w for w in eligible.workers
                   if placing.allowed(w, eligible.service, task)]))
        advice.request_advice(
            step_id, fitting, policy, self.now,
            [w.entry.worker_id for w in possible
             if w.entry.worker_id not in fitting])

    def fitting_workers(self, task: progress.TaskState,
                        workers: list[workerstate.WorkerState]
                        ) -> dict[str, None]:
        """Return the IDs of those workers on which a task fits now."""
        return {w.entry.worker_id: None for w in workers if placing.fits(
            w, task.step, self.fleet.interference_model)}

    def _eligible_workers(self, state: progress.JobState,
                          task: progress.TaskState
                          ) -> eligibleworkers.EligibleWorkers:
        """Return the workers that configuration and advice allow a step."""
        queue = self.queues.get(state.job.queue)
        service = queue.service if queue else state.job.service
        if advice_mod.policy_of(state.job, queue) is None:
            return eligibleworkers.EligibleWorkers(
                service, self.usable_workers)
        tickets = self.fleet.advice.valid_tickets(
            task.task.step_id(), self.now)
        return eligibleworkers.EligibleWorkers(
            service, [w for w in self.usable_workers
                      if w.entry.worker_id in tickets], tickets)

    def place_tasks(self, state: progress.JobState,
                    tasks: list[progress.TaskState],
                    startable: list[progress.TaskState],
                    eligible: eligibleworkers.EligibleWorkers) -> None:
        """Start as many of the startable tasks of a step as possible."""
        keeps_headroom = (
            self.policy.keep_room_for_short_work
            and state.job.steps[startable[0].task.step].perpetual)
        placed_count = headroom.placed_count(tasks) if keeps_headroom else 0
        exhausted: set[headroom.RequiredHeadroom] = set()
        delay_is_over = (self.now - state.first_ready_at
                         >= headroom.REMAINING_TASKS_DELAY_S)
        self.ranking = None
        held_workers = self.fleet.held_workers
        if held_workers.by_task:
            # A task that fits nowhere ends the search for all that follow.
            startable = sorted(
                startable, key=lambda t: held_workers.find(t) is None)
        if holds := self.fleet.overdue_holds.by_task:
            startable = [
                task for task in startable if task.task not in holds
                or not self._start_overdue(state, task, eligible)]
        for task in startable:
            if preemption.start_where_held(self, state, task, eligible):
                placed_count += 1
                continue
            if not keeps_headroom and self._start_beside_late_start(
                    state, task, eligible):
                continue
            required = headroom.required_headroom(
                task, placed_count, self.policy.spread_lasting_jobs)
            if (keeps_headroom
                    and required is not headroom.RequiredHeadroom.NONE):
                # Go on after a failure: tasks that have run before may use
                # capacity that this one must leave.
                if required not in exhausted:
                    if self._place_long_running(
                            state, task, eligible, required):
                        placed_count += 1
                        continue
                    if self._is_held_back(state, task, eligible, required):
                        exhausted.add(required)
                if delay_is_over:
                    state.mark_unstarted(task)
            elif not self._place_task(state, task, eligible):
                # The other tasks request as much in the same scope.
                self._note_overdue(state, task, eligible)
                break

    def _start_beside_late_start(
            self, state: progress.JobState, task: progress.TaskState,
            eligible: eligibleworkers.EligibleWorkers) -> bool:
        """Start a task where an attempt to start an earlier run may be late.

        The next life of that worker may carry the attempt out.  A run there
        has ended by then, a run elsewhere would go on beside it.
        """
        worker = self.fleet.workers.get(task.last_worker_id)
        if worker is None or not worker.unreported_life.has_late_start(
                task.task, self.now):
            return False
        if worker not in eligible.workers or placing.choose(
                task, eligible.service, [worker],
                self.fleet.interference_model) is None:
            return False
        self.start(state, task, worker, eligible)
        return True

    def _start_overdue(self, state: progress.JobState,
                       task: progress.TaskState,
                       eligible: eligibleworkers.EligibleWorkers) -> bool:
        """Start a task on the worker that is held for it, if it fits now."""
        hold = self.fleet.overdue_holds.by_task[task.task]
        worker = hold.worker
        if worker not in eligible.workers:
            return False
        if placing.choose(task, eligible.service, [worker],
                          self.fleet.interference_model) is not None:
            self.start(state, task, worker, eligible)
            return True
        if not (hold.ignores_tails(self.now)
                and placing.allowed(worker, eligible.service, task)
                and placing.has_capacity(worker, task.step)):
            return False
        self.start(state, task, worker, eligible)
        # The pacer then begins with the lowest pace.
        task.pace_percent = pacer.UNKNOWN_PACE
        self.fleet.overdue_holds.beside_high_tails.add(task.task)
        return True

    def _start_at_low_pace(self, state: progress.JobState,
                           task: progress.TaskState,
                           eligible: eligibleworkers.EligibleWorkers) -> bool:
        """Start a task of an overdue job without a run at the lowest pace."""
        worker = self.low_pace_starts.search(state, task, eligible, self.now)
        if worker is None:
            return False
        lowpacestarts.log_start(task.task, worker, task.step)
        self.start(state, task, worker, eligible)
        task.is_low_pace_start = True
        task.pace_percent = pacing.MIN_PACE_PERCENT
        task.slowed_at = self.now
        task.measurable = False
        return True

    def _note_overdue(self, state: progress.JobState,
                      task: progress.TaskState,
                      eligible: eligibleworkers.EligibleWorkers) -> None:
        """Note a best-effort task that fits nowhere if it is overdue."""
        if not task.step.fills:
            return
        is_overdue = ordering.is_overdue(state, self.wall_ms)
        unserved = is_overdue and not state.has_run()
        if is_overdue and not unserved:
            state.had_run_at = self.now
        if (unserved and lowpacestarts.is_due(state, self.policy, self.now)
                and self._start_at_low_pace(state, task, eligible)):
            return
        if not self.fleet.overdue_holds.may_search(
                task, len(self.usable_workers), self.now):
            return
        if unserved or ordering.needs_hold(
                state, self.queues.get(state.job.queue), self.wall_ms,
                self.now, self.fleet.run_times):
            self.overdue.append(overdueholds.OverdueTask(
                task, state.created_revision, eligible.workers,
                eligible.service, unserved))

    def _place_task(self, state: progress.JobState,
                    task: progress.TaskState,
                    eligible: eligibleworkers.EligibleWorkers) -> bool:
        """Start a task if it fits on a worker.

        Return whether the other tasks of its step should be tried.
        """
        scope = eligible.scope(task)
        request = task.step.room
        if not self.unplaceable.covers(scope, request):
            worker = self._choose_worker(task, eligible)
            if worker is not None:
                self.start(state, task, worker, eligible)
                return True
            self.unplaceable.add(scope, request)
            self.fleet.placement_misses.add(scope, request)
        if (self._start_on_slow_worker(state, task, eligible)
                or self._start_on_reserved_worker(state, task, eligible)):
            return True
        return self.wait_for_capacity(state, task, eligible, scope)

    def _start_on_slow_worker(self, state: progress.JobState,
                              task: progress.TaskState,
                              eligible: eligibleworkers.EligibleWorkers
                              ) -> bool:
        """Start a task that fits nowhere else on a slow worker if it may."""
        worker = self.slow_workers.choose(task, eligible)
        if worker is None:
            return False
        self.start(state, task, worker, eligible)
        return True

    def _start_on_reserved_worker(self, state: progress.JobState,
                                  task: progress.TaskState,
                                  eligible: eligibleworkers.EligibleWorkers
                                  ) -> bool:
        """Start a long-running task on a worker reserved for a wider one.

        The wider one waits for runs to end there, which may take long.
        """
        if not (self.reserved_workers and task.step.perpetual
                and task.may_have_run()):
            return False
        worker = placing.choose(
            task, eligible.service,
            [w for w in self.reserved_workers if eligible.tickets is None
             or w.entry.worker_id in eligible.tickets],
            self.fleet.interference_model)
        if worker is None:
            return False
        self.start(state, task, worker, eligible)
        return True

    def wait_for_capacity(self, state: progress.JobState,
                          task: progress.TaskState,
                          eligible: eligibleworkers.EligibleWorkers,
                          scope: placement_cache.SearchScope) -> bool:
        """Free or reserve capacity for a task that fits on no worker.

        Return whether the other tasks of its step should be tried.
        """
        self._note_if_down(task)
        expects_capacity = self._expects_capacity(state, task, eligible, scope)
        # Best-effort tasks reserve no CPU, so no worker becomes free for them.
        if (self.policy.keep_gaps and task.has_run and not task.step.fills
                and ordering.is_interrupted(state, self.now)):
            return (self._reserve_worker(task, eligible, scope)
                    or expects_capacity)
        # Of a long-running step, other tasks may still be placed: those that
        # have run before differ from those that have not.
        return expects_capacity or task.step.perpetual

    def _note_if_down(self, task: progress.TaskState) -> None:
        """Note a task that fits on no worker if its users had it before."""
        self.down_tasks_wait |= task.step.perpetual and task.may_have_run()

    def _choose_worker(self, task: progress.TaskState,
                       eligible: eligibleworkers.EligibleWorkers
                       ) -> workerstate.WorkerState | None:
        """Return the best worker for a task of the step being placed."""
        if task.avoided_lives or not self.policy.remember_shortage:
            self.ranking = None
            return placing.choose(
                task, eligible.service,
                self._workers_to_search(task, eligible, eligible.scope(task)),
                self.fleet.interference_model)
        if self.ranking is None:
            self.ranking = placing.Ranking(
                task, eligible.service,
                self._workers_to_search(task, eligible, eligible.scope(task)),
                self.fleet.interference_model)
        return self.ranking.best()

    def _workers_to_search(self, task: progress.TaskState,
                           eligible: eligibleworkers.EligibleWorkers,
                           scope: placement_cache.SearchScope
                           ) -> list[workerstate.WorkerState]:
        """Return the workers on which a task may fit by now."""
        if eligible.tickets is not None or not self.policy.remember_shortage:
            return eligible.workers
        return self.fleet.placement_misses.workers_to_search(
            scope, task.step.room, eligible.workers)

    def exclude_worker(self, worker: workerstate.WorkerState,
                       *worker_lists: list[workerstate.WorkerState]) -> None:
        """Start nothing more on a worker in this round.

        The next round treats the worker as changed, because requests that
        can't be placed in this round have not been tried on it.
        """
        self.excluded.append(worker)
        self.ranking = None
        if self.victim_finder is not None:
            self.victim_finder.excluded.add(worker.entry.worker_id)
        for workers in worker_lists:
            if worker in workers:
                workers.remove(worker)

    def record_gain(self, worker: workerstate.WorkerState) -> None:
        """Record that more of a worker is available than before.

        What was found to fit on no worker by preemption may fit there.
        """
        self.freeing.record_gain(worker)
        self.no_copies.clear()
        self.no_holds.clear()
        if self.victim_finder is not None:
            self.victim_finder.record_gain(worker)

    def finish(self) -> None:
        """Mark excluded workers as changed for the next round.

        What was kept for others is recorded for the log of waiting tasks.
        """
        self.fleet.down_tasks_wait = self.down_tasks_wait
        self.fleet.reserved_workers = frozenset(
            w.entry.worker_id for w in self.reserved_workers)
        self.fleet.headrooms = [
            headroom_ for headroom_ in self.headrooms.values()
            if headroom_.utilisation >= headroom.MIN_UTILISATION]
        for worker in self.excluded:
            worker.record_change()
        self.fleet.overdue_holds.add(
            self.overdue, len(self.usable_workers),
            self.fleet.interference_model, self.now)

    def _place_long_running(self, state: progress.JobState,
                            task: progress.TaskState,
                            eligible: eligibleworkers.EligibleWorkers,
                            required: headroom.RequiredHeadroom) -> bool:
        """Start a long-running task where enough headroom remains.

        Lower-priority runs are preempted for it as for any task, but only on
        workers that it may use.  Return whether it was started.
        """
        if self._is_held_back(state, task, eligible, required):
            return False
        request = task.step.room
        scope = eligible.scope(task)
        headroom_ = self._headroom_for(state, eligible)
        workers = headroom_.allowed_workers(
            required, task.step, eligible.workers)
        if not self.unplaceable.covers(scope, request):
            worker = (self._choose_worker(task, eligible)
                      if workers is eligible.workers
                      else placing.choose(task, eligible.service, workers,
                                          self.fleet.interference_model))
            if worker is not None:
                self.start(state, task, worker, eligible)
                return True
        if (workers is eligible.workers
                and self._start_on_slow_worker(state, task, eligible)):
            return True
        if not preemption.preempt_for(
                self, state, task,
                dataclasses.replace(
                    eligible, workers=workers, headroom=(
                        required.name if workers is not eligible.workers
                        else ""))):
            self.held_back[required].add(scope, request)
        return False

    def _is_held_back(self, state: progress.JobState, task: progress.TaskState,
                      eligible: eligibleworkers.EligibleWorkers,
                      required: headroom.RequiredHeadroom) -> bool:
        """Return whether a long-running task can't start in this round.

        This holds for all tasks of its step that must leave as much headroom.
        """
        if self.held_back[required].covers(
                eligible.scope(task), task.step.room):
            return True
        return (required is headroom.RequiredHeadroom.ALL
                and self._headroom_for(state, eligible).delays_remaining_tasks(
                    self.now - state.first_ready_at))

    def _headroom_for(self, state: progress.JobState,
                      eligible: eligibleworkers.EligibleWorkers
                      ) -> headroom.Headroom:
        priority = ordering.priority(state, self.queues)
        headroom_ = self.headrooms.get((eligible.service, priority))
        if headroom_ is None:
            headroom_ = headroom.Headroom(
                [w for w in self.usable_workers
                 if w.entry.service == eligible.service],
                self.fleet.demand, priority, self.now,
                self.fleet.held_workers.long_running_cpu)
            self.headrooms[eligible.service, priority] = headroom_
        return headroom_

    def start(self, state: progress.JobState, task: progress.TaskState,
              worker: workerstate.WorkerState,
              eligible: eligibleworkers.EligibleWorkers) -> None:
        """Start a task, or hold its worker until its record allows that."""
        hold = self.fleet.held_workers.find(task)
        is_counted = (task.step.perpetual and hold is not None
                      and hold.worker is worker)
        if not state.confirm_start(task):
            self.fleet.commit_requested = True
            preemption.hold_until_recorded(self, state, task, worker)
        else:
            self.fleet.held_workers.drop(task)
            if hold is not None and hold.worker is not worker:
                self.record_gain(hold.worker)
            self.fleet.start(state, task, worker, state.next_run_number(task),
                             eligible.ticket(worker))
        added_cpu = 0 if is_counted else task.step.reserved().cpu
        for headroom_ in self.headrooms.values():
            headroom_.record_start(worker, added_cpu)
        self.freeing.record_start(worker)

    def _expects_capacity(self, state: progress.JobState,
                          task: progress.TaskState,
                          eligible: eligibleworkers.EligibleWorkers,
                          scope: placement_cache.SearchScope) -> bool:
        """Return whether capacity is being freed; preempt runs if needed."""
        request = task.step.room
        if task.step.fills:
            # Best-effort tasks wait for CPU that other tasks leave unused.
            return False
        if not self.no_capacity_expected.covers(scope, request):
            if preemption.preempt_for(self, state, task, eligible):
                return True
            self.no_capacity_expected.add(scope, request)
        return preemption.preempt_long_running_for(self, state, task, eligible)

    def _reserve_worker(self, task: progress.TaskState,
                        eligible: eligibleworkers.EligibleWorkers,
                        scope: placement_cache.SearchScope) -> bool:
        """Reserve a worker for a long-running task that is down.

        This is also needed where capacity is being freed: otherwise other
        tasks would count on it too and use the part that is already free.
        Return whether a worker was reserved.
        """
        worker = self.reservations.reserve(task, scope, eligible.tickets)
        if worker is None:
            return False
        self.freeing.discard(worker)
        self.reserved_workers.append(worker)
        self.exclude_worker(worker, self.usable_workers, eligible.workers)
        return True

    def _place_gang(self, state: progress.JobState,
                    tasks: list[progress.TaskState],
                    startable: list[progress.TaskState],
                    eligible: eligibleworkers.EligibleWorkers) -> None:
        """Start all members of a gang with one run number, or none."""
        if len(startable) < len(tasks):
            return
        run = max(state.next_run_number(t) for t in tasks)
        chosen = gangs.choose(tasks, eligible.service, eligible.workers)
        if not chosen and (slow := self.slow_workers.usable_for(
                tasks[0], eligible)):
            chosen = gangs.choose(tasks, eligible.service, [
                *(w for w in eligible.workers if w not in slow), *slow])
        if not chosen:
            self._note_if_down(tasks[0])
        saved = max((t.saved for t in tasks), default="")
        for task, worker in zip(tasks, chosen):
            task.saved = saved
            self.fleet.start(state, task, worker, run, eligible.ticket(worker))

    def move_one_stalled_run(self) -> None:
        """Stop one run that makes little progress, if it can run elsewhere."""
        for worker in self.fleet.workers.values():
            for task in (list(worker.tasks.values())
                         if worker.has_stalled_run else ()):
                if not self._is_stalled(task):
                    continue
                target = self.find_move_target(worker, task)
                if target is not None:
                    self.fleet.stop_run(task, "little progress here")
                    # No other task may use this capacity before the run is
                    # placed there.
                    self.exclude_worker(target, self.usable_workers)
                    return

    def start_copies(self) -> None:
        """Start copies of runs on capacity that no waiting task needs.

        None are started while previous runs may be unknown: their tasks are
        held back without being placed, and might need the capacity.
        """
        known_copies = self.fleet.copies
        if not known_copies.watched and not known_copies.known:
            return
        known_copies.update(self.now)
        copies.make_room(self.fleet, self.waiting, self.task_priority)
        if (self.fleet.awaited_workers
                or not known_copies.start_check(self.now)):
            return
        tasks = sorted(copies.due(self.fleet, self.now),
                       key=lambda item: self.task_priority(item[0]))
        if not tasks:
            return
        budget_cpu = copies.budget_cpu(self.fleet.workers.values())
        used_cpu = sum(copy.step.room.cpu for copy in known_copies.attached())
        for task, reason in tasks[:copies.MAX_SEARCHES]:
            task.copy_not_before = self.now + copies.SEARCH_GAP_S
            if used_cpu + task.step.room.cpu > budget_cpu:
                known_copies.note_exhausted_budget(used_cpu, self.now)
            elif self._start_copy(task, reason):
                used_cpu += task.step.room.cpu
            else:
                # Other tasks are tried in the next rounds.
                break

    def _start_copy(self, task: progress.TaskState, reason: str) -> bool:
        """Start a copy of a task; return whether a worker was found."""
        state = self.fleet.jobs[task.task.job_id]
        eligible = self._eligible_workers(state, task)
        worker = copies.choose_worker(
            task, eligible.service, eligible.workers, self.waiting,
            ordering.priority(state, self.queues),
            self.fleet.interference_model)
        if worker is None:
            return False
        copies.start(self.fleet, task, worker, eligible.ticket(worker),
                     reason, self.now)
        return True

    def find_move_target(self, worker: workerstate.WorkerState,
                         task: progress.TaskState
                         ) -> workerstate.WorkerState | None:
        """Return another worker on which a run fits, or None."""
        eligible = self._eligible_workers(
            self.fleet.jobs[task.task.job_id], task)
        scope = eligible.scope(task)
        if self.unplaceable.covers(scope, task.step.room):
            return None
        others = [w for w in self._workers_to_search(task, eligible, scope)
                  if w is not worker]
        target = placing.choose(task, eligible.service, others,
                                self.fleet.interference_model)
        if target is None:
            self.unplaceable.add(scope, task.step.room)
            if eligible.tickets is None and (
                    worker.entry.draining or not placing.fits(
                        worker, task.step, self.fleet.interference_model)):
                # The current worker would not take another such run either,
                # so the request fits on no worker at all.
                self.fleet.placement_misses.add(scope, task.step.room)
        return target

    def _is_stalled(self, task: progress.TaskState) -> bool:
        if task.phase != progress.RUNNING or task.step.gang:
            return False
        return pacer.is_stalled(task) and (
            task.stuck or self.now - task.slowed_at >= MOVE_STALLED_AFTER_S)

    def task_priority(self, task: progress.TaskState) -> int:
        return ordering.priority(self.fleet.jobs[task.task.job_id],
                                 self.queues)


def place(fleet: state_mod.FleetState, now: float, wall_ms: float) -> None:
    """Run one round: start all tasks that are ready and fit on a worker."""
    with fleet.lock:
        fleet.round_needed = False
        fleet.demand.start_observing(now)
        configuration = fleet.configuration()
        fleet.trials.release_finished(
            fleet.workers, fleet.awaited_workers, configuration.evacuated,
            now)
        queues = configuration.queues_by_name()
        if configuration.version != fleet.placed_config_version:
            # Priorities and services of queues may have changed.
            fleet.placed_config_version = configuration.version
            fleet.placement_misses.clear()
            fleet.preemption_misses.clear()
            fleet.freeable.clear()
        ranked = ordering.sort_jobs(
            (state for state in fleet.active.values()
             if not state.skip_rounds),
            queues, wall_ms, now, fleet.policy.rank_by_lateness,
            fleet.run_times)
        usable_workers, slow_workers = _usable_workers(
            fleet, configuration.evacuated, now)
        expired = fleet.held_workers.drop_finished(fleet.workers, now)
        fleet.overdue_holds.drop_finished(usable_workers, now)
        round_ = Round(fleet, queues, usable_workers, now, wall_ms,
                       slow_workers)
        unproven_tasks = fleet.unproven_tasks()
        round_.unproven_tasks = unproven_tasks or frozenset()
        for state in ranked:
            if (unproven_tasks is None
                    and state.created_revision <= fleet.fence):
                continue
            if not fleet.may_start(state):
                continue
            _place_job(round_, state, wall_ms)
        if fleet.policy.move_from_draining_workers:
            drains.move_runs(round_)
        if fleet.policy.move_stalled_runs:
            round_.move_one_stalled_run()
        round_.start_copies()
        round_.finish()
        fleet.preemptions.log([str(hold.task.task) for hold in expired])


def _usable_workers(fleet: state_mod.FleetState,
                    evacuated: frozenset[str], now: float
                    ) -> tuple[list[workerstate.WorkerState],
                               list[workerstate.WorkerState]]:
    """Return the workers that may get new runs, and those used as slow.

    Workers that have become usable are marked as changed.  Those of evacuated
    data centres get none, so what is free there is no capacity for any
    decision of the round.

    No worker is usable if the list of workers is outdated, because any of
    them may have lost capacity since.
    """
    usable_workers = []
    list_is_new = fleet.has_current_list(now)
    for worker_id, worker in fleet.workers.items():
        is_usable = (list_is_new and worker.usable(now)
                     and not fleet.silent_workers.is_recorded(worker_id)
                     and worker.entry.data_centre not in evacuated
                     and fleet.leased_since_restart(worker)
                     and worker_id not in fleet.trials.by_worker)
        if is_usable:
            usable_workers.append(worker)
            if not worker.was_usable:
                worker.record_change()
        worker.was_usable = is_usable
    return _without_slow_workers(fleet, usable_workers, now)


def _without_slow_workers(fleet: state_mod.FleetState,
                          workers: list[workerstate.WorkerState], now: float
                          ) -> tuple[list[workerstate.WorkerState],
                                     list[workerstate.WorkerState]]:
    """Return the workers that are not excluded as slow, and slow ones.

    Those that get one run at a time are in both lists.
    """
    excluded = fleet.worker_speeds.update_excluded(
        fleet.workers, workers, now)
    slow = [w for w in workers
            if w.on_trial or w.entry.worker_id in excluded]
    if not excluded:
        return workers, slow
    for worker_id in excluded:
        fleet.workers[worker_id].was_usable = False
    return [w for w in workers if w.entry.worker_id not in excluded], slow


def _record_arrival(round_: Round, state: progress.JobState) -> None:
    """Add a job that became ready to the estimate of demand."""
    state.first_ready_at = round_.now
    if state.created_revision > round_.fleet.fence:
        # Jobs accepted under an earlier owner have not arrived just now.
        round_.fleet.demand.add_job(state.job, round_.now)


def _place_job(round_: Round, state: progress.JobState,
               wall_ms: float) -> None:
    """Start the ready tasks of a job.

    A job without waiting tasks is skipped until one of its tasks becomes
    idle or is done.  On a full fleet this applies to most jobs.
    """
    waits = state.long_running and state.down_since > 0.0
    for occurrence in range(state.job.occurrences()):
        if state.job.due_ms(occurrence) > wall_ms:
            waits = True
            break
        if not state.first_ready_at:
            _record_arrival(round_, state)
        state.create_tasks(occurrence)
        for step in range(len(state.job.steps)):
            waits |= round_.place_step(state, occurrence, step)
    state.skip_rounds = not waits
