"""Place waiting tasks in one round over the fleet."""

import dataclasses

from sycamorefield import events
from sycamorefield.fleet import coming
from sycamorefield.fleet import gangs
from sycamorefield.fleet import gaps
from sycamorefield.fleet import headroom
from sycamorefield.fleet import messages
from sycamorefield.fleet import ordering
from sycamorefield.fleet import pacer
from sycamorefield.fleet import placing
from sycamorefield.fleet import progress
from sycamorefield.fleet import shortage
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import trials
from sycamorefield.fleet import workerstate

# A filling run slowed to pacer.STALLED_PACE for this long moves to a worker
# where it is expected to harm nobody, if there is one.  Moving sooner throws
# more work away than it saves.
STALLED_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """Say where a step may run: its service, workers and their tickets.

    Without a queue's advice policy there are no tickets at all.
    """

    service: str
    workers: list[workerstate.WorkerState]
    tickets: dict[str, str] | None = None

    def ticket(self, worker: workerstate.WorkerState) -> str:
        """Return the ticket that a start on a worker carries, or nothing."""
        return (self.tickets or {}).get(worker.entry.worker_id, "")

    def scope(self, task: progress.TaskState) -> shortage.Scope:
        """Name the workers among which a task of the step looks for room."""
        step = task.step
        own = step.max_per_worker or self.tickets is not None
        return shortage.Scope(
            self.service, step.fills, step.requires,
            step.image if step.fills else "",
            task.task.step_id() if own else None)


class Round:
    """Place tasks in one round, remembering what found no room."""

    def __init__(self, fleet: state_mod.FleetState,
                 queues: dict[str, messages.Queue],
                 usable: list[workerstate.WorkerState],
                 now: float) -> None:
        self.fleet = fleet
        self.queues = queues
        self.usable = usable
        # How many workers there are for all, those set aside among them.
        self.workers_in_all = len(usable) + len(fleet.trials.by_worker)
        self.now = now
        self.policy = fleet.policy
        # What finds no room now, and what can't expect any soon either.
        remembers = self.policy.remember_shortage
        self.shortage = shortage.Shortage(remembers)
        self.hopeless = shortage.Shortage(remembers)
        self.gaps = gaps.Gaps(usable)
        # Lasting tasks that found none beside the room to leave, and that
        # room, by service and by the priority of the lasting job.
        self.held = {part: shortage.Shortage() for part in headroom.Part}
        self.headrooms: dict[tuple[str, int], headroom.Headroom] = {}
        self.coming = coming.ComingRoom(usable)
        # Workers on which something else was not to start in this round.
        self.excluded: list[workerstate.WorkerState] = []
        # Workers for the tasks of the step being placed.
        self.ranking: placing.Ranking | None = None

    def place_step(self, state: progress.JobState, occurrence: int,
                   number: int) -> bool:
        """Start the idle tasks of a step; tell if any waited."""
        if (state.step_done(occurrence, number)
                or not state.step_ready(occurrence, number)):
            return False
        tasks = state.tasks[occurrence, number]
        waiting = [t for t in tasks if t.phase == progress.IDLE
                   and not t.done]
        idle = [t for t in waiting if t.not_before <= self.now]
        if not idle:
            return bool(waiting)
        step = state.job.steps[number]
        site = self._site(state, idle[0])
        suspected = [t for t in idle if t.suspicion and t.needs_trial()]
        if suspected:
            self._place_suspected(state, tasks, idle, suspected, site)
        elif step.gang:
            self._place_gang(state, tasks, idle, site)
        else:
            self._place_tasks(state, tasks, idle, site)
        if site.tickets is not None:
            self._ask_advice(state, idle, site)
        return True

    def _ask_advice(self, state: progress.JobState,
                    tasks: list[progress.TaskState], site: Site) -> None:
        """Ask about further workers while tasks of a step find no room."""
        queue = self.queues[state.job.queue]
        left = [t for t in tasks if t.phase == progress.IDLE]
        if not left or queue.advice is None:
            return
        roomiest = sorted((w for w in self.usable
                           if w.entry.service == site.service),
                          key=lambda w: -w.free().cpu)
        self.fleet.advice.want(
            left[0].task.step_id(),
            (w.entry.worker_id for w in roomiest), queue.advice, self.now)

    def _site(self, state: progress.JobState,
              task: progress.TaskState) -> Site:
        """Return where a task's step may run, by configuration and advice."""
        queue = self.queues.get(state.job.queue)
        service = queue.service if queue else state.job.service
        if queue is None or queue.advice is None:
            return Site(service, self.usable)
        tickets = self.fleet.advice.valid(task.task.step_id(), self.now)
        return Site(service, [w for w in self.usable
                              if w.entry.worker_id in tickets], tickets)

    def _place_tasks(self, state: progress.JobState,
                     tasks: list[progress.TaskState],
                     idle: list[progress.TaskState], site: Site) -> None:
        """Start the idle ones of the tasks of a step as far as room goes."""
        holds_back = (self.policy.keep_room_for_short_work
                      and state.job.steps[idle[0].task.step].perpetual)
        placed = headroom.placed(tasks) if holds_back else 0
        given_up: set[headroom.Part] = set()
        self.ranking = None
        for task in idle:
            part = headroom.part(task, placed,
                                 self.policy.spread_lasting_jobs)
            if holds_back and part is not headroom.Part.ANY_ROOM:
                # Others of the step may have run, and need not leave room.
                if part in given_up:
                    continue
                if self._place_lasting(state, task, site, part):
                    placed += 1
                elif self._waits(state, task, site, part):
                    given_up.add(part)
            elif not self._place_task(state, task, site):
                # Its other tasks are as large and look as far.
                break

    def _place_task(self, state: progress.JobState,
                    task: progress.TaskState, site: Site) -> bool:
        """Start a task where there is room; tell if others may be tried."""
        scope = site.scope(task)
        need = task.step.room
        if not self.shortage.covers(scope, need):
            worker = self._choose(task, site)
            if worker is not None:
                self._start(state, task, worker, site)
                return True
            self.shortage.add(scope, need)
            self.fleet.no_room.add(scope, need)
        return self._wait_for_room(state, task, site, scope)

    def _wait_for_room(self, state: progress.JobState,
                       task: progress.TaskState, site: Site,
                       scope: shortage.Scope) -> bool:
        """Let a task without room wait; tell if others may be tried."""
        expected = self._expects_room(state, task, site, scope)
        if (self.policy.keep_gaps and task.ran
                and ordering.interrupted(state, self.now)):
            return self._keep_gap(task, site, scope) or expected
        # Of one step some lasting tasks may have run and others not.
        return expected or task.step.perpetual

    def _choose(self, task: progress.TaskState, site: Site
                ) -> workerstate.WorkerState | None:
        """Return the best worker for a task of the step being placed."""
        if task.avoid or not self.policy.remember_shortage:
            self.ranking = None
            return placing.choose(
                task, site.service,
                self._untried(task, site, site.scope(task)),
                self.fleet.learnt)
        if self.ranking is None:
            self.ranking = placing.Ranking(
                task, site.service,
                self._untried(task, site, site.scope(task)),
                self.fleet.learnt)
        return self.ranking.best()

    def _untried(self, task: progress.TaskState, site: Site,
                 scope: shortage.Scope) -> list[workerstate.WorkerState]:
        """Return the workers that may have room for a task by now."""
        if site.tickets is not None or not self.policy.remember_shortage:
            return site.workers
        return self.fleet.no_room.untried(scope, task.step.room,
                                          site.workers)

    def _exclude(self, worker: workerstate.WorkerState,
                 *lists: list[workerstate.WorkerState]) -> None:
        """Start nothing more on a worker in this round.

        In the next one it counts as changed: what finds no room now has not
        been tried there.
        """
        self.excluded.append(worker)
        self.ranking = None
        for workers in lists:
            if worker in workers:
                workers.remove(worker)

    def finish(self) -> None:
        """Let the next round try what this one left out."""
        for worker in self.excluded:
            worker.touch()

    def _place_lasting(self, state: progress.JobState,
                       task: progress.TaskState, site: Site,
                       part: headroom.Part) -> bool:
        """Start a lasting task where it leaves room; tell if it was.

        Less urgent runs give way to it as to any, but only where it may go.
        """
        if self._waits(state, task, site, part):
            return False
        need = task.step.room
        scope = site.scope(task)
        room = self._headroom(state, site)
        workers = room.allowed(part, task.step, site.workers)
        if not self.shortage.covers(scope, need):
            worker = (self._choose(task, site) if workers is site.workers
                      else placing.choose(task, site.service, workers,
                                          self.fleet.learnt))
            if worker is not None:
                self._start(state, task, worker, site)
                return True
        if not self._make_room(state, task,
                               dataclasses.replace(site, workers=workers)):
            self.held[part].add(scope, need)
        return False

    def _waits(self, state: progress.JobState, task: progress.TaskState,
               site: Site, part: headroom.Part) -> bool:
        """Tell whether a lasting task is known not to start in this round.

        All of its step that leave as much room wait with it.
        """
        if self.held[part].covers(site.scope(task), task.step.room):
            return True
        return (part is headroom.Part.REST and self._headroom(
            state, site).settling(self.now - state.seen_at))

    def _headroom(self, state: progress.JobState,
                  site: Site) -> headroom.Headroom:
        priority = ordering.priority(state, self.queues)
        room = self.headrooms.get((site.service, priority))
        if room is None:
            room = headroom.Headroom(
                [w for w in self.usable
                 if w.entry.service == site.service],
                self.fleet.demand, priority, self.now)
            self.headrooms[site.service, priority] = room
        return room

    def _start(self, state: progress.JobState, task: progress.TaskState,
               worker: workerstate.WorkerState, site: Site) -> None:
        self.fleet.start(state, task, worker, state.next_run(task),
                         site.ticket(worker))
        for room in self.headrooms.values():
            room.started(worker, task.step.reserved().cpu)
        self.coming.started(worker)

    def _expects_room(self, state: progress.JobState,
                      task: progress.TaskState, site: Site,
                      scope: shortage.Scope) -> bool:
        """Tell whether room is coming for a task, or make some."""
        need = task.step.room
        if task.step.fills or self.hopeless.covers(scope, need):
            # What fills waits for processors that serving tasks leave.
            return False
        if self._make_room(state, task, site):
            return True
        self.hopeless.add(scope, need)
        return False

    def _keep_gap(self, task: progress.TaskState, site: Site,
                  scope: shortage.Scope) -> bool:
        """Let a lasting task that is down wait for a gap that grows.

        Also where room is coming: others would count on it, too, and take
        the part that is free already.
        """
        worker = self.gaps.claim(task, scope, site.tickets)
        if worker is None:
            return False
        self.coming.drop(worker)
        self._exclude(worker, self.usable, site.workers)
        return True

    def _place_gang(self, state: progress.JobState,
                    tasks: list[progress.TaskState],
                    idle: list[progress.TaskState], site: Site) -> None:
        """Start all members at once with one run number, or none."""
        if len(idle) < len(tasks):
            return
        run = max(state.next_run(t) for t in tasks)
        chosen = gangs.choose(tasks, site.service, site.workers)
        saved = max((t.saved for t in tasks), default="")
        for task, worker in zip(tasks, chosen):
            task.saved = saved
            self.fleet.start(state, task, worker, run, site.ticket(worker))

    def _place_suspected(self, state: progress.JobState,
                         tasks: list[progress.TaskState],
                         idle: list[progress.TaskState],
                         suspected: list[progress.TaskState],
                         site: Site) -> None:
        """Try the suspected tasks of a step apart, and start the others."""
        if tasks[0].step.gang:
            if len(idle) == len(tasks):
                self._try_apart(state, tasks, site)
            return
        for task in suspected:
            self._try_apart(state, [task], site)
        others = [task for task in idle if task not in suspected]
        if others:
            self._place_tasks(state, tasks, others, site)

    def _try_apart(self, state: progress.JobState,
                   tasks: list[progress.TaskState], site: Site) -> None:
        """Start suspected tasks where a crash could only come from them."""
        trial = self.fleet.trials.by_task.get(tasks[0].task)
        if trial is None:
            self._set_aside(state, tasks, site)
            return
        workers = self.fleet.workers
        if trial.run or trial.inherited:
            return
        if not trials.is_ready(trial, workers, self.now):
            return
        if not trials.fits(trial, workers, site.service, site.tickets):
            self.fleet.trials.remove(trial, "no room or not allowed")
            return
        self._start_trial(trial, site)

    def _start_trial(self, trial: trials.Trial, site: Site) -> None:
        state = trial.job
        trial.run = max(state.next_run(task) for task, _ in trial.members)
        saved = max(task.saved for task, _ in trial.members)
        events.emit(events.QUARANTINE_STARTED, runs=[
            (str(task.task), trial.run, worker_id)
            for task, worker_id in trial.members])
        for task, worker_id in trial.members:
            task.saved = saved
            worker = self.fleet.workers[worker_id]
            self.fleet.start(state, task, worker, trial.run,
                             site.ticket(worker))

    def _set_aside(self, state: progress.JobState,
                   tasks: list[progress.TaskState], site: Site) -> None:
        """Keep workers free of other starts until the tasks run there."""
        if not self.fleet.trials.may_add(self.workers_in_all):
            return
        chosen = self._choose_apart(tasks, site)
        if not chosen and not tasks[0].step.gang:
            self._wait_for_room(state, tasks[0], site, site.scope(tasks[0]))
        if not chosen:
            return
        members = [(task, worker.entry.worker_id)
                   for task, worker in zip(tasks, chosen)]
        self.fleet.trials.add(trials.Trial(state, members, self.now))
        state.dirty = self.fleet.commit_now = True
        for worker in chosen:
            self.coming.drop(worker)
            self._exclude(worker, self.usable, site.workers)

    def _choose_apart(self, tasks: list[progress.TaskState], site: Site
                      ) -> list[workerstate.WorkerState]:
        """Return workers to set aside, if possible without young runs."""
        quiet = [worker for worker in site.workers
                 if not trials.has_young_run(worker, self.now)]
        for workers in (quiet, site.workers):
            if tasks[0].step.gang:
                chosen = gangs.choose(tasks, site.service, workers)
            else:
                best = placing.choose(tasks[0], site.service, workers,
                                      self.fleet.learnt)
                chosen = [best] if best is not None else []
            if chosen:
                return chosen
        return []

    def move_stalled(self) -> None:
        """Stop runs that make little progress if others have room."""
        for worker in self.fleet.workers.values():
            for task in list(worker.tasks.values()) if worker.stalls else ():
                if not self._stalled(task):
                    continue
                target = self._better_place(worker, task)
                if target is not None:
                    self.fleet.stop_run(task, "little progress here")
                    # Until it is placed there, others must not count on
                    # the same processors.
                    self._exclude(target, self.usable)
                    return

    def _better_place(self, worker: workerstate.WorkerState,
                      task: progress.TaskState
                      ) -> workerstate.WorkerState | None:
        """Return another worker that has room for a run, or None."""
        site = self._site(self.fleet.jobs[task.task.job_id], task)
        scope = site.scope(task)
        if self.shortage.covers(scope, task.step.room):
            return None
        others = [w for w in self._untried(task, site, scope)
                  if w is not worker]
        target = placing.choose(task, site.service, others,
                                self.fleet.learnt)
        if target is None:
            self.shortage.add(scope, task.step.room)
            if site.tickets is None and not placing.fits(
                    worker, task.step, self.fleet.learnt):
                # Nor could another such run start where this one is.
                self.fleet.no_room.add(scope, task.step.room)
        return target

    def _stalled(self, task: progress.TaskState) -> bool:
        if task.phase != progress.RUNNING or task.step.gang:
            return False
        return pacer.stalls(task) and (
            task.stuck or self.now - task.slowed_at >= STALLED_S)

    def _make_room(self, state: progress.JobState,
                   task: progress.TaskState, site: Site) -> bool:
        """Stop less urgent runs for a task; tell if it can expect room."""
        if self.coming.take(task, site.service, site.workers):
            return True
        chosen = self._victims(state, task, site)
        for victim in chosen:
            self.fleet.stop_run(victim, f"room for {task.task}")
        if chosen:
            self.coming.stopped_for(
                task, self.fleet.workers[chosen[0].worker_id])
        return bool(chosen)

    def _victims(self, state: progress.JobState, task: progress.TaskState,
                 site: Site) -> list[progress.TaskState]:
        """Return less urgent runs whose stop makes room for a task."""
        priority = ordering.priority(state, self.queues)
        scope = dataclasses.replace(site.scope(task), priority=priority)
        workers = site.workers
        remembers = (site.tickets is None and not task.step.perpetual
                     and self.policy.remember_shortage)
        if remembers:
            workers = self.fleet.no_victims.untried(scope, task.step.room,
                                                    workers)
        chosen = placing.victims(task, site.service, priority, workers,
                                 self._task_priority)
        if remembers and not chosen:
            self.fleet.no_victims.add(scope, task.step.room)
        return chosen

    def _task_priority(self, task: progress.TaskState) -> int:
        return ordering.priority(self.fleet.jobs[task.task.job_id],
                                 self.queues)


def place(fleet: state_mod.FleetState, now: float, wall_ms: float) -> None:
    """Start every task whose turn has come and that has room."""
    with fleet.lock:
        fleet.changed = False
        fleet.demand.begin(now)
        fleet.trials.review(fleet.workers, now)
        configuration = fleet.configuration()
        queues = configuration.by_name()
        if configuration.version != fleet.placed_with:
            # Priorities and services may have changed.
            fleet.placed_with = configuration.version
            fleet.no_room.clear()
            fleet.no_victims.clear()
        ranked = ordering.ranked(
            (state for state in fleet.active.values() if not state.quiet),
            queues, wall_ms, now, fleet.policy.rank_by_lateness)
        round_ = Round(fleet, queues, _usable(fleet, now), now)
        for state in ranked:
            if state.created <= fleet.fence and fleet.unheard:
                continue
            if not fleet.ours_alone(state):
                continue
            _place_job(round_, state, wall_ms)
        if fleet.policy.move_stalled_runs:
            round_.move_stalled()
        round_.finish()


def _usable(fleet: state_mod.FleetState, now: float
            ) -> list[workerstate.WorkerState]:
    """Return the workers that may get new runs, and note the new ones.

    With an old list none may: the room of any may have shrunk since.
    """
    usable = []
    list_is_new = now - fleet.listed_at <= state_mod.LIST_OLD_S
    for worker_id, worker in fleet.workers.items():
        is_usable = (list_is_new and worker.usable(now)
                     and worker_id not in fleet.trials.by_worker)
        if is_usable:
            usable.append(worker)
            if not worker.was_usable:
                worker.touch()
        worker.was_usable = is_usable
    return usable


def _note_arrival(round_: Round, state: progress.JobState) -> None:
    """Learn from a job whose turn has come what comes how often."""
    state.seen_at = round_.now
    if state.created > round_.fleet.fence:
        # Those of an earlier owner did not come just now.
        round_.fleet.demand.add_job(state.job, round_.now)


def _place_job(round_: Round, state: progress.JobState,
               wall_ms: float) -> None:
    """Start the tasks of a job whose turn has come.

    A job of which nothing waits is passed over until one of its tasks is
    idle again or done: on a full fleet that is most jobs.
    """
    waits = state.lasting and state.down_since > 0.0
    for occurrence in range(state.job.occurrences()):
        if state.job.due_ms(occurrence) > wall_ms:
            waits = True
            break
        if not state.seen_at:
            _note_arrival(round_, state)
        state.occurrence(occurrence)
        for step in range(len(state.job.steps)):
            waits |= round_.place_step(state, occurrence, step)
    state.quiet = not waits
