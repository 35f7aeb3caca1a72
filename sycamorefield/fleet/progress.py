"""Progress of jobs and their tasks, in memory and as stored."""

import dataclasses
import json
import math
import typing

import msgspec

from sycamorefield import events
from sycamorefield.fleet import jobbounds
from sycamorefield.fleet import messages
from sycamorefield.fleet import runtimes
from sycamorefield.fleet import storedcrashes
from sycamorefield.fleet import suspicion

IDLE = "idle"
STARTING = "starting"
RUNNING = "running"
STOPPING = "stopping"

# A new owner may not know of runs that earlier owners ordered.  It numbers the
# runs of jobs that it takes over from its fence times this, which is above the
# run numbers of all earlier owners, because their fences are lower.
RUNS_PER_TERM = 1000
# How often the downtime of a long-running task is stored, from how long and
# up to how long: whether it was down for longer makes no difference.
DOWNTIME_PERIOD_S = 0.5
MAX_STORED_DOWNTIME_S = 10.0

StepIndex = tuple[int, int]


class TaskState:
    """State of a task: its current run, past runs and saved state.

    Times are in seconds on clock.now(), 0 if not known.
    """

    __slots__ = ("task", "step", "done", "failed_runs", "last_run", "saved",
                 "phase", "run", "worker_id", "last_worker_id", "not_before",
                 "avoided_lives", "started_at", "percent", "confirmed_at",
                 "pace_percent", "slowed_at", "stop_sent_at", "stuck",
                 "has_run", "start_confirmed", "job", "projected_run_s",
                 "previous_run_s", "suspicion", "measurable", "copy",
                 "copy_not_before", "is_low_pace_start")

    def __init__(self, task: messages.TaskId, step: messages.Step,
                 job: "JobState | None" = None) -> None:
        self.task = task
        self.step = step
        self.job = job
        self.done = False
        self.failed_runs: set[int] = set()
        # Highest run number known.
        self.last_run = 0
        self.saved = ""
        self.phase = IDLE
        self.run = 0
        self.worker_id = ""
        # The worker of the run before.
        self.last_worker_id = ""
        self.not_before = 0.0
        # Lives of workers in which runs failed or got stuck: the worker's ID
        # and its birth.
        self.avoided_lives: set[tuple[str, int]] = set()
        self.started_at = 0.0
        self.percent = 0
        # When the worker confirmed the start or the stop of the run.
        self.confirmed_at = 0.0
        self.pace_percent = 100
        self.slowed_at = 0.0
        # Whether this owner started the run without CPU for its full pace.
        self.is_low_pace_start = False
        self.stop_sent_at = 0.0
        self.stuck = False
        # Whether a long-running task was ever started.
        self.has_run = False
        # Whether a worker has confirmed that it began a run of the task.
        self.start_confirmed = False
        # Duration of the current run, extrapolated from its progress so far,
        # and the actual or extrapolated duration of the previous run; 0 if
        # unknown.
        self.projected_run_s = 0.0
        self.previous_run_s = 0.0
        # Whether the duration of the current run tells the run time of the
        # task: the run began at a known time, has not been throttled, and did
        # not resume saved work.
        self.measurable = False
        # Crashes of workers that may have been caused by the task, if any.
        self.suspicion: suspicion.Suspicion | None = None
        # The second run of a speculative task, if any, and when the next one
        # may be ordered.
        self.copy: Copy | None = None
        self.copy_not_before = 0.0

    def original(self) -> "TaskState":
        """Return the state of the task itself."""
        return self

    def runs(self) -> "tuple[TaskState, ...]":
        """Return the states of the current run and of its copy, if any."""
        return (self,) if self.copy is None else (self, self.copy)

    def needs_quarantine_run(self) -> bool:
        """Return whether the next run must be a quarantine run."""
        return (self.suspicion is not None
                and self.suspicion.needs_quarantine_run(
                    0 if self.job is None else self.job.owner_changes))

    def may_have_run(self) -> bool:
        """Return whether a run of a long-running task may have been started.

        The start of a task of an earlier owner's job may not be stored; only
        a task that is recorded as unstarted has certainly never run.
        """
        job = self.job
        return self.has_run or (
            job is not None and job.taken_over
            and job.job.due_ms(self.task.occurrence) <= job.earlier_starts_ms
            and self.task not in job.unstarted)

    def update_progress(self, percent: int, now: float) -> None:
        """Record the progress of the current run."""
        self.percent = percent
        if percent and self.started_at:
            self.projected_run_s = (now - self.started_at) * 100.0 / percent

    def reset_run(self) -> None:
        """Forget the current run, so that the task may be started again.

        If the task has a copy, that becomes its current run.
        """
        self.phase = IDLE
        self.run = 0
        self.last_worker_id = self.worker_id or self.last_worker_id
        self.worker_id = ""
        self.percent = 0
        self.pace_percent = 100
        self.is_low_pace_start = False
        self.stuck = False
        self.measurable = False
        self.previous_run_s = self.projected_run_s or self.previous_run_s
        self.projected_run_s = 0.0
        if self.job is not None:
            self.job.skip_rounds = False
        if self.copy is not None:
            self.copy.replace_current_run()

    def mark_done(self) -> None:
        """Record that a run of the task has succeeded."""
        self.done = True
        self.saved = ""
        if self.job is not None:
            self.job.done_tasks += 1
            # Steps that depend on this one may be ready now.
            self.job.skip_rounds = False


# What a task takes over from its copy when that becomes its current run.
RUN_FIELDS = ("phase", "run", "worker_id", "started_at", "percent",
              "confirmed_at", "pace_percent", "is_low_pace_start",
              "slowed_at", "stop_sent_at", "stuck", "projected_run_s",
              "measurable")


class Copy(TaskState):
    """State of the second run of a task.

    worker_tasks are the runs of its worker.  There it stands for the task, so
    that code that looks at the runs of a worker treats it as any other run.
    """

    __slots__ = ("task_state", "worker_tasks")

    def __init__(self, task: TaskState, worker_tasks: dict[
            tuple[messages.TaskId, int], TaskState]) -> None:
        super().__init__(task.task, task.step, task.job)
        self.task_state = task
        self.worker_tasks = worker_tasks
        self.saved = task.saved
        self.avoided_lives = task.avoided_lives

    def original(self) -> TaskState:
        """Return the state of the task itself."""
        return self.task_state

    def is_attached(self) -> bool:
        """Return whether this is a copy of its task's current run."""
        return self.task_state.copy is self

    def reset_run(self) -> None:
        """Forget this run; the current run of the task goes on."""
        super().reset_run()
        if self.is_attached():
            self.task_state.copy = None

    def replace_current_run(self) -> None:
        """Become the current run of the task, whose former one has ended."""
        task = self.task_state
        task.copy = None
        for name in RUN_FIELDS:
            setattr(task, name, getattr(self, name))
        task.saved = self.saved or task.saved
        self.worker_tasks[self.task, self.run] = task


class JobState:
    """State of a job: its tasks, and which of its state is stored.

    Times are in seconds on clock.now().  created_revision is the store's
    revision at which the job was created, state_revision that of its stored
    progress and final_revision that of its stored final state (0: none).
    """

    def __init__(self, job: messages.Job, created_revision: int) -> None:
        self.job = job
        self.created_revision = created_revision
        self.state_revision = 0
        self.final_revision = 0
        # Whether the final state is stored.
        self.final_stored = False
        # Whether the job's record was found missing or replaced.
        self.record_missing = False
        self.cancelled = False
        self.state = messages.PENDING
        # Why the job failed, shown to its caller.
        self.reason = ""
        # Workers reserved for quarantine runs of suspected tasks of the job,
        # and those of them that are stored.
        self.quarantine_workers: dict[messages.TaskId, str] = {}
        self.stored_quarantine_workers: dict[messages.TaskId, str] = {}
        # When the lives of these workers began, in ms since 1970.
        self.quarantine_births: dict[str, int] = {}
        # The workers that suspected tasks crashed, by the stored record.
        self.stored_crashes: storedcrashes.CrashedWorkers = {}
        # Whether the job is older than the term of this owner.
        self.taken_over = False
        # How often the owner has changed since the creation of the job.
        self.owner_changes = 0
        # Until when an earlier owner may have started tasks, in ms since 1970.
        self.earlier_starts_ms = 0.0
        # Long-running tasks that wait and have never been started, and those
        # that a stored record may name as such.
        self.unstarted: set[messages.TaskId] = set()
        self.stored_unstarted: frozenset[messages.TaskId] = frozenset()
        # Whether the progress has changed since it was last written.
        self.dirty = False
        # The record is reduced to this length: the store refused a longer one.
        self.max_record_bytes = math.inf
        # Whether it was logged that the record lacks what does not fit.
        self.reduction_logged = False
        # Whether further tasks are unstarted; the record may wait for others.
        self.unstarted_added = False
        self.tasks: dict[StepIndex, list[TaskState]] = {}
        # Cache of completed steps: a completed step stays so, and every round
        # checks it.
        self.done_steps: set[StepIndex] = set()
        # Runs of the job are numbered above this.
        self.run_base = 0
        # When this process learned that the job is stored.
        self.known_at = 0.0
        # When a round first found a step that was due, or 0.
        self.first_ready_at = 0.0
        # When a run last ended, or a round last found one beside a best-effort
        # task that waits.
        self.had_run_at = -math.inf
        # When a worker for a run at the lowest pace was last searched in vain.
        self.low_pace_missed_at = -math.inf
        # Since when a long-running task that has run is down, or 0.
        self.down_since = 0.0
        # For how long it was when the progress was last written, and when
        # that was.
        self.stored_down_ms = 0
        self.down_written_at = 0.0
        # How many tasks have succeeded, and how many had when
        # cached_remaining_ms was computed.
        self.done_tasks = 0
        self.cached_done_tasks = -1
        self.cached_remaining_ms = 0.0
        # Whether placement rounds may skip the job, as no task waits for a
        # worker.
        self.skip_rounds = False
        self.long_running = any(step.perpetual for step in job.steps)
        # Expected run times of the tasks of each step, and the critical path
        # of all steps, cached for every round.
        self.step_times_ms: list[float] = [
            step.estimate_ms for step in job.steps]
        self.critical_path_ms = self._longest_path_ms(self.step_times_ms)
        # The version of the run-time model that they are based on.
        self.run_times_version = 0

    def update_run_times(self, run_times: runtimes.RunTimeModel) -> None:
        """Estimate the critical path again if the predictions changed."""
        version = run_times.version(self.job.queue)
        if version == self.run_times_version:
            return
        self.run_times_version = version
        self.step_times_ms = [run_times.expected_ms(self.job.queue, step)
                              for step in self.job.steps]
        self.critical_path_ms = self._longest_path_ms(self.step_times_ms)
        self.cached_done_tasks = -1

    def remaining_critical_path_ms(self) -> float:
        """Return the estimated critical path of steps not completed yet."""
        if self.done_tasks != self.cached_done_tasks:
            self.cached_done_tasks = self.done_tasks
            self.cached_remaining_ms = self._longest_path_ms([
                0.0 if all(self.step_done(occurrence, index)
                           for occurrence in range(self.job.occurrences()))
                else self.step_times_ms[index]
                for index in range(len(self.job.steps))])
        return self.cached_remaining_ms

    def _longest_path_ms(self, durations_ms: typing.Sequence[float]) -> float:
        finish_ms: list[float] = []
        for step, duration_ms in zip(self.job.steps, durations_ms):
            start_ms = max((finish_ms[earlier] for earlier in step.after),
                           default=0.0)
            finish_ms.append(start_ms + duration_ms)
        return max(finish_ms)

    def ready_tasks(self) -> typing.Iterator[list[TaskState]]:
        """Yield the tasks that wait only for capacity, step by step."""
        for (occurrence, step), tasks in self.tasks.items():
            if self.step_ready(occurrence, step):
                idle = [task for task in tasks
                        if task.phase == IDLE and not task.done]
                if idle:
                    yield idle

    def create_tasks(self, occurrence: int) -> None:
        """Create the tasks of an occurrence unless they exist."""
        for index, step in enumerate(self.job.steps):
            if (occurrence, index) in self.tasks:
                continue
            self.tasks[occurrence, index] = [
                TaskState(messages.TaskId(
                    self.job.job_id, occurrence, index, number), step, self)
                for number in range(step.count)]

    def find(self, task: messages.TaskId) -> TaskState | None:
        """Return the state of a task, or None if the job has no such task."""
        if not (0 <= task.step < len(self.job.steps)
                and 0 <= task.occurrence < self.job.occurrences()):
            return None
        self.create_tasks(task.occurrence)
        states = self.tasks[task.occurrence, task.step]
        return states[task.number] if 0 <= task.number < len(states) else None

    def downtime_s(self, now: float) -> float:
        """Return how long a long-running task that has run has been down.

        A start order alone does not end the downtime: the start may be
        rejected or withdrawn, and the downtime must not restart from 0 then.
        """
        down = any(task.phase in (IDLE, STARTING) and task.has_run
                   for task in self.all_tasks())
        if not down:
            self.down_since = 0.0
        elif not self.down_since:
            self.down_since = now
        return now - self.down_since if down else 0.0

    def note_downtime(self, now: float) -> None:
        """Keep the downtime that is stored for later owners up to date.

        It is a duration, as owners share no clock, without the time for which
        the fleet has no owner.
        """
        down_s = now - self.down_since if self.down_since else 0.0
        down_ms = (round(min(down_s, MAX_STORED_DOWNTIME_S) * 1000.0)
                   if down_s >= DOWNTIME_PERIOD_S else 0)
        if (down_ms != self.stored_down_ms
                and now - self.down_written_at >= DOWNTIME_PERIOD_S):
            self.stored_down_ms = down_ms
            self.down_written_at = now
            self.dirty = True

    def resume_downtime(self, now: float) -> None:
        """Go on with the downtime that an earlier owner stored."""
        if self.stored_down_ms:
            self.down_since = now - self.stored_down_ms / 1000.0

    def all_tasks(self) -> typing.Iterator[TaskState]:
        """Yield every task created so far."""
        for states in self.tasks.values():
            yield from states

    def has_run(self) -> bool:
        """Return whether a task of the job has a run, begun or ordered."""
        return any(task.phase != IDLE for task in self.all_tasks())

    def step_done(self, occurrence: int, step: int) -> bool:
        """Return whether all tasks of a step have succeeded."""
        step_index = (occurrence, step)
        if step_index in self.done_steps:
            return True
        states = self.tasks.get(step_index)
        done = states is not None and all(t.done for t in states)
        if done:
            self.done_steps.add(step_index)
        return done

    def step_ready(self, occurrence: int, step: int) -> bool:
        """Return whether all dependencies of a step are completed."""
        return all(self.step_done(occurrence, earlier)
                   for earlier in self.job.steps[step].after)

    def final(self) -> bool:
        """Return whether no task of the job will be started any more."""
        return self.state in messages.FINAL_STATES

    def mark_has_run(self, task: TaskState) -> None:
        """Record for later owners that a long-running task has run.

        A long-running task that is down is placed before all others, but one
        that never ran waits while capacity is reserved for finite tasks.
        """
        if task.step.perpetual and not task.has_run:
            task.has_run = self.dirty = True
            self.unstarted.discard(task.task)

    def mark_unstarted(self, task: TaskState) -> None:
        """Record for later owners that a long-running task waits.

        They leave capacity for other tasks before they start it.
        """
        if not task.may_have_run() and task.task not in self.unstarted:
            self.unstarted.add(task.task)
            self.unstarted_added = True

    def confirm_start(self, task: TaskState) -> bool:
        """Return whether no stored record names a task as unstarted.

        Otherwise a record without it is to be stored first: a later owner
        could not tell that a run of the task has been lost.
        """
        if task.task in self.unstarted:
            self.unstarted.discard(task.task)
            self.dirty = True
        return task.task not in self.stored_unstarted

    def next_run_number(self, state: TaskState) -> int:
        """Return a run number higher than any the task may have had."""
        return max(state.last_run, self.run_base) + 1

    def settle(self) -> bool:
        """Enter a final state if the tasks require it; return whether so."""
        if self.final():
            return False
        if self.cancelled:
            self.state = messages.CANCELLED
        elif reason := self._failure_reason():
            self.state = messages.JOB_FAILED
            self.reason = reason
        elif self._all_done():
            self.state = messages.COMPLETED
        else:
            return False
        self.dirty = True
        return True

    def _all_done(self) -> bool:
        return all(self.step_done(occurrence, step)
                   for occurrence in range(self.job.occurrences())
                   for step in range(len(self.job.steps)))

    def _failure_reason(self) -> str:
        """Return why the job has failed, or "" if it has not."""
        for task in self.all_tasks():
            if task.done:
                continue
            if task.suspicion is not None and task.suspicion.is_confirmed(
                    self.owner_changes):
                workers = ", ".join(task.suspicion.workers)
                return (f"task {_short_name(task.task)} crashed the workers "
                        f"that started it: {workers}")
            failures = len(task.failed_runs)
            if failures >= self.job.max_attempts and not task.step.perpetual:
                return (f"task {_short_name(task.task)} failed "
                        f"{failures} times")
        return ""


def _short_name(task: messages.TaskId) -> str:
    """Return the name of a task without its job ID."""
    return f"{task.occurrence}.{task.step}.{task.number}"


def encode_job(job: messages.Job) -> bytes:
    """Return the stored form of a job, without defaults of its steps."""
    row = dataclasses.asdict(job)
    row["steps"] = [_encode_step(step) for step in job.steps]
    if job.advice is None:
        del row["advice"]
    return json.dumps(row, separators=(",", ":")).encode()


def _encode_step(step: messages.Step) -> dict[str, typing.Any]:
    row = {"room": [step.room.cpu, step.room.mem_mb, step.room.gpu]}
    for field in dataclasses.fields(step):
        value = getattr(step, field.name)
        if field.name != "room" and value != field.default:
            row[field.name] = value
    return row


def decode_job(value: bytes) -> messages.Job:
    """Return a stored job; raises ValueError if it is unreadable."""
    try:
        row = json.loads(value)
        for step in row["steps"]:
            step["room"] = dict(zip(("cpu", "mem_mb", "gpu"), step["room"]))
        return jobbounds.bounded(msgspec.convert(row, messages.Job))
    except (KeyError, TypeError, AttributeError, RecursionError,
            msgspec.MsgspecError) as exc:
        raise ValueError(f"invalid job record: {repr(exc)[:200]}") from exc


class ProgressRow(msgspec.Struct):
    """The stored progress of a job, as encode_progress returns it."""

    state: typing.Literal["pending", "running", "completed", "failed",
                          "cancelled"]
    reason: str = ""
    done: dict[str, str] = {}
    ran: dict[str, str] = {}
    rest: dict[str, tuple[int, list[int], str]] = {}
    suspected: dict[str, typing.Any] = {}
    trials: dict[str, str] = {}
    trial_births: dict[str, int] = {}
    unstarted: dict[str, str] = {}
    down_ms: int = 0


def encode_progress(state: JobState, max_bytes: float = math.inf) -> bytes:
    """Return the stored form of a job's progress, for later owners.

    A record above max_bytes lacks what tasks saved, or what is known of tasks
    that failed; what keeps a task from a second run is always part.

    A job in a final state has only its state and the reason of a failure.
    Otherwise "done" and "ran" hold, for each step, a bit mask of the tasks
    that succeeded and of the long-running tasks that have run; "unstarted"
    holds those of the long-running tasks that wait for their first start.
    "rest" holds [last run, failed runs, saved] of unfinished tasks that failed
    or saved something; "suspected" and "trials" hold what is known of tasks
    that are suspected of crashing workers, "trial_births" which lives of the
    workers they are tried on.  "down_ms" is for how long a long-running task
    that has run was down.
    """
    row = _progress_row(state)
    data = _encode_row(row)
    if len(data) > max_bytes:
        data = _encode_row(_reduced_row(state, row, max_bytes))
    return data


def _encode_row(row: dict[str, typing.Any]) -> bytes:
    return json.dumps(row, separators=(",", ":")).encode()


def _progress_row(state: JobState) -> dict[str, typing.Any]:
    row: dict[str, typing.Any] = {"state": state.state}
    if state.reason:
        row["reason"] = state.reason
    if not state.final():
        row["done"] = _encode_masks(state, lambda task: task.done)
        row["ran"] = _encode_masks(state, lambda task: task.has_run)
        if state.unstarted:
            row["unstarted"] = _encode_masks(
                state, lambda task: task.task in state.unstarted)
        rest, suspected = {}, {}
        for task in state.all_tasks():
            if task.done:
                continue
            if task.failed_runs or task.saved:
                rest[_short_name(task.task)] = [
                    task.last_run, sorted(task.failed_runs), task.saved]
            if task.suspicion is not None:
                suspected[_short_name(task.task)] = task.suspicion.encode()
        row["rest"] = rest
        if state.stored_down_ms:
            row["down_ms"] = state.stored_down_ms
        if suspected:
            row["suspected"] = suspected
        if state.quarantine_workers:
            row["trials"] = {_short_name(task): worker_id for task, worker_id
                             in state.quarantine_workers.items()}
            row["trial_births"] = state.quarantine_births
    return row


def _reduced_row(state: JobState, row: dict[str, typing.Any],
                 max_bytes: float) -> dict[str, typing.Any]:
    """Return a row of at most max_bytes, if that can be.

    A worker reports what its runs have saved, so the texts of tasks without a
    run come first.  A task whose text is left out begins anew if its worker
    is lost together with the owner.
    """
    rest = {name: (run, failed, "")
            for name, (run, failed, _) in row["rest"].items()}
    left_bytes = max_bytes - len(_encode_row({**row, "rest": rest}))
    if left_bytes < 0:
        _log_reduction(state, max_bytes, len(rest),
                       "failed runs and saved texts")
        return {**row, "rest": {}}
    tasks = [task for task in state.all_tasks()
             if task.saved and _short_name(task.task) in rest]
    tasks.sort(key=lambda task: task.phase != IDLE)
    left_out = 0
    for task in tasks:
        name = _short_name(task.task)
        text_bytes = len(json.dumps(task.saved)) - len('""')
        if text_bytes > left_bytes:
            left_out += 1
            continue
        left_bytes -= text_bytes
        rest[name] = row["rest"][name]
    _log_reduction(state, max_bytes, left_out, "saved texts")
    return {**row, "rest": rest}


def _log_reduction(state: JobState, max_bytes: float, tasks: int,
                   left_out: str) -> None:
    """Log once what the record of a job lacks."""
    if not state.reduction_logged:
        state.reduction_logged = True
        events.emit(events.PROGRESS_REDUCED, job=state.job.job_id,
                    max_bytes=max_bytes, tasks=tasks, left_out=left_out)


def _encode_masks(state: JobState,
                  predicate: typing.Callable[[TaskState], bool]
                  ) -> dict[str, str]:
    """Return, for each step, a bit mask of the tasks that match."""
    masks = {}
    for (occurrence, step), tasks in state.tasks.items():
        mask = sum(1 << index for index, task in enumerate(tasks)
                   if predicate(task))
        if mask:
            masks[f"{occurrence}.{step}"] = f"{mask:x}"
    return masks


def _decode_masks(state: JobState, masks: dict[str, str]
                  ) -> typing.Iterator[TaskState]:
    """Yield the tasks whose bits are set."""
    for name, mask in masks.items():
        occurrence, step = (int(part) for part in name.split("."))
        state.create_tasks(occurrence)
        for index, task in enumerate(state.tasks[occurrence, step]):
            if int(mask, 16) >> index & 1:
                yield task


def apply_progress(state: JobState, value: bytes) -> None:
    """Load stored progress; raises ValueError if it is unreadable."""
    try:
        row = msgspec.convert(json.loads(value), ProgressRow)
        _apply_row(state, row)
    except (KeyError, TypeError, AttributeError, RecursionError,
            OverflowError, msgspec.MsgspecError) as exc:
        raise ValueError(
            f"invalid progress record: {repr(exc)[:200]}") from exc


def _apply_row(state: JobState, row: ProgressRow) -> None:
    state.state = row.state
    state.reason = row.reason
    for task in _decode_masks(state, row.done):
        task.mark_done()
    for task in _decode_masks(state, row.ran):
        task.has_run = True
    state.unstarted = {
        task.task for task in _decode_masks(state, row.unstarted)
        if not task.has_run}
    state.stored_unstarted = frozenset(state.unstarted)
    for name, (run, failed, saved) in row.rest.items():
        found = _find_by_short_name(state, name)
        if found is not None:
            found.last_run = run
            found.failed_runs = set(failed)
            found.saved = saved
    for name, suspected in row.suspected.items():
        found = _find_by_short_name(state, name)
        if found is not None:
            found.suspicion = suspicion.decode(suspected)
    state.stored_crashes = storedcrashes.recorded(state)
    for name, worker_id in row.trials.items():
        found = _find_by_short_name(state, name)
        if found is not None:
            state.quarantine_workers[found.task] = worker_id
    state.quarantine_births = dict(row.trial_births)
    state.stored_down_ms = max(0, row.down_ms)
    state.stored_quarantine_workers = dict(state.quarantine_workers)


def _find_by_short_name(state: JobState, short_name: str) -> TaskState | None:
    """Return the task with a name as returned by _short_name."""
    occurrence, step, number = (int(part) for part in short_name.split("."))
    return state.find(messages.TaskId(
        state.job.job_id, occurrence, step, number))


def decode_state(value: bytes) -> str:
    """Return the job state in a stored progress record."""
    return str(json.loads(value)["state"])


def decode_failure_reason(value: bytes) -> str:
    """Return why a job failed from a progress record, or ""."""
    return str(json.loads(value).get("reason", ""))
