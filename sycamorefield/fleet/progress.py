"""Hold how far a job's tasks have come, in memory and as stored."""

import dataclasses
import json
import typing

from sycamorefield.fleet import messages
from sycamorefield.fleet import suspicion

IDLE = "idle"
STARTING = "starting"
RUNNING = "running"
STOPPING = "stopping"

# A new owner may not know of runs that its predecessors ordered.  Runs of jobs
# that it took over are numbered from its fence times this: above those of
# every earlier term, whose fences are lower.
RUN_GAP = 1000

Place = tuple[int, int]


class TaskState:
    """Follow one task: where it runs, what ended, what to resume from."""

    __slots__ = ("task", "step", "done", "failed_runs", "last_run", "saved",
                 "phase", "run", "worker_id", "not_before", "avoid",
                 "started", "percent", "moved_at", "pace", "slowed_at",
                 "stop_sent", "stuck", "ran", "begun", "job",
                 "projected_s", "earlier_s", "suspicion")

    def __init__(self, task: messages.TaskId, step: messages.Step,
                 job: "JobState | None" = None) -> None:
        self.task = task
        self.step = step
        self.job = job
        self.done = False
        self.failed_runs: set[int] = set()
        self.last_run = 0
        self.saved = ""
        self.phase = IDLE
        self.run = 0
        self.worker_id = ""
        self.not_before = 0.0
        self.avoid: set[str] = set()
        self.started = 0.0
        self.percent = 0
        self.moved_at = 0.0
        self.pace = 100
        self.slowed_at = 0.0
        self.stop_sent = 0.0
        self.stuck = False
        # Whether a lasting task was ever started.
        self.ran = False
        # Whether a worker is known to have begun a run of it.
        self.begun = False
        # Seconds that the current run takes from start to end by its progress
        # so far, and that the run before took or would have; 0 if not known.
        self.projected_s = 0.0
        self.earlier_s = 0.0
        # What crashes of workers under it tell, if there were any.
        self.suspicion: suspicion.Suspicion | None = None

    def needs_quarantine_run(self) -> bool:
        """Tell whether its next run must show if it crashes its worker."""
        return (self.suspicion is not None
                and self.suspicion.needs_quarantine_run())

    def advance(self, percent: int, now: float) -> None:
        """Note how far the current run has come."""
        self.percent = percent
        if percent and self.started:
            self.projected_s = (now - self.started) * 100.0 / percent

    def idle(self) -> None:
        """Forget the current run; the task may be started again."""
        self.phase = IDLE
        self.run = 0
        self.worker_id = ""
        self.percent = 0
        self.pace = 100
        self.stuck = False
        self.earlier_s = self.projected_s or self.earlier_s
        self.projected_s = 0.0
        if self.job is not None:
            self.job.quiet = False

    def finish(self) -> None:
        """Note that a run has ended as done."""
        self.done = True
        self.saved = ""
        if self.job is not None:
            self.job.done_tasks += 1
            # The next step may be ready now.
            self.job.quiet = False


class JobState:
    """Follow one job: its tasks by occurrence, and what is stored of it."""

    def __init__(self, job: messages.Job, created: int) -> None:
        self.job = job
        self.created = created
        self.state_revision = 0
        self.cancelled = False
        self.state = messages.PENDING
        # Why it failed, for its caller.
        self.reason = ""
        # The workers set aside for suspected tasks of it, and as stored.
        self.on_trial: dict[messages.TaskId, str] = {}
        self.stored_trials: dict[messages.TaskId, str] = {}
        self.dirty = False
        self.tasks: dict[Place, list[TaskState]] = {}
        # Steps seen to be done; that stays, and every round asks for it.
        self.done_places: set[Place] = set()
        self.run_base = 0
        # When this process learnt that the job is stored.
        self.known_at = 0.0
        # When a round first found a step whose turn had come, or 0.
        self.seen_at = 0.0
        # Since when a lasting task that ran is down, or 0.
        self.down_since = 0.0
        # How many tasks have ended as done, and how many had when the chain
        # left was worked out last.
        self.done_tasks = 0
        self.chain_left_of = -1
        self.chain_left = 0.0
        # Whether rounds may pass over it: nothing of it waits for a worker.
        self.quiet = False
        self.lasting = any(step.perpetual for step in job.steps)
        # The estimated longest chain of all steps; asked for in each round.
        self.chain_ms = self._longest_chain([step.estimate_ms
                                             for step in job.steps])

    def chain_left_ms(self) -> float:
        """Return the estimated longest chain of steps not done yet."""
        if self.done_tasks != self.chain_left_of:
            self.chain_left_of = self.done_tasks
            self.chain_left = self._longest_chain([
                0.0 if all(self.step_done(k, number)
                           for k in range(self.job.occurrences()))
                else step.estimate_ms
                for number, step in enumerate(self.job.steps)])
        return self.chain_left

    def _longest_chain(self, durations_ms: typing.Sequence[float]) -> float:
        ends: list[float] = []
        for step, duration_ms in zip(self.job.steps, durations_ms):
            begin = max((ends[earlier] for earlier in step.after),
                        default=0.0)
            ends.append(begin + duration_ms)
        return max(ends)

    def occurrence(self, number: int) -> None:
        """Create the tasks of an occurrence unless they are there."""
        for index, step in enumerate(self.job.steps):
            if (number, index) in self.tasks:
                continue
            self.tasks[number, index] = [
                TaskState(messages.TaskId(self.job.job_id, number, index, i),
                          step, self) for i in range(step.count)]

    def find(self, task: messages.TaskId) -> TaskState | None:
        """Return a task's state, or None if the job has no such task."""
        if not (0 <= task.step < len(self.job.steps)
                and 0 <= task.occurrence < self.job.occurrences()):
            return None
        self.occurrence(task.occurrence)
        states = self.tasks[task.occurrence, task.step]
        return states[task.number] if 0 <= task.number < len(states) else None

    def down_for(self, now: float) -> float:
        """Return for how many seconds a lasting task that ran is down.

        An order alone ends nothing: its start may be rejected or taken back,
        and the time must not begin anew then.
        """
        down = any(task.phase in (IDLE, STARTING) and task.ran
                   for task in self.all_tasks())
        if not down:
            self.down_since = 0.0
        elif not self.down_since:
            self.down_since = now
        return now - self.down_since if down else 0.0

    def all_tasks(self) -> typing.Iterator[TaskState]:
        """Yield every task created so far."""
        for states in self.tasks.values():
            yield from states

    def step_done(self, occurrence: int, step: int) -> bool:
        """Tell whether all tasks of a step have ended as done."""
        place = (occurrence, step)
        if place in self.done_places:
            return True
        states = self.tasks.get(place)
        done = states is not None and all(t.done for t in states)
        if done:
            self.done_places.add(place)
        return done

    def step_ready(self, occurrence: int, step: int) -> bool:
        """Tell whether the steps that a step waits for are done."""
        return all(self.step_done(occurrence, earlier)
                   for earlier in self.job.steps[step].after)

    def final(self) -> bool:
        """Tell whether nothing of the job will be started any more."""
        return self.state in messages.FINAL_STATES

    def note_ran(self, task: TaskState) -> None:
        """Note that a task runs or ran; successors must know of lasting ones.

        A lasting task that is down goes before all others, and one that never
        ran waits while room is kept for short work.
        """
        if task.step.perpetual and not task.ran:
            task.ran = self.dirty = True

    def next_run(self, state: TaskState) -> int:
        """Return a run number above every one the task may have had."""
        return max(state.last_run, self.run_base) + 1

    def settle(self) -> bool:
        """Move to a final state if the tasks say so; tell if it changed."""
        if self.final():
            return False
        if self.cancelled:
            self.state = messages.CANCELLED
        elif reason := self._failure():
            self.state = messages.JOB_FAILED
            self.reason = reason
        elif self._complete():
            self.state = messages.COMPLETED
        else:
            return False
        self.dirty = True
        return True

    def _complete(self) -> bool:
        return all(self.step_done(k, s)
                   for k in range(self.job.occurrences())
                   for s in range(len(self.job.steps)))

    def _failure(self) -> str:
        """Return why the job can't be done, or nothing."""
        for task in self.all_tasks():
            if task.done:
                continue
            if task.suspicion is not None and task.suspicion.is_confirmed():
                workers = ", ".join(task.suspicion.workers)
                return (f"task {_short_name(task.task)} crashed the workers "
                        f"that started it: {workers}")
            failures = len(task.failed_runs)
            if failures >= self.job.max_attempts and not task.step.perpetual:
                return (f"task {_short_name(task.task)} failed "
                        f"{failures} times")
        return ""


def _short_name(task: messages.TaskId) -> str:
    """Return the name of a task within its job."""
    return f"{task.occurrence}.{task.step}.{task.number}"


def encode_job(job: messages.Job) -> bytes:
    """Return a job as it is stored, without fields at their default."""
    row = dataclasses.asdict(job)
    row["steps"] = [_lean(step) for step in job.steps]
    return json.dumps(row, separators=(",", ":")).encode()


def _lean(step: messages.Step) -> dict[str, typing.Any]:
    row = {"room": [step.room.cpu, step.room.mem_mb, step.room.gpu]}
    for field in dataclasses.fields(step):
        value = getattr(step, field.name)
        if field.name != "room" and value != field.default:
            row[field.name] = value
    return row


def decode_job(value: bytes) -> messages.Job:
    """Return a stored job; raises ValueError if it cannot be read."""
    try:
        row = json.loads(value)
        steps = []
        for step in row["steps"]:
            step["room"] = messages.Room(*step["room"])
            step["after"] = tuple(step.get("after", ()))
            steps.append(messages.Step(**step))
        row["steps"] = tuple(steps)
        return messages.Job(**row)
    except (KeyError, TypeError, AttributeError) as exc:
        raise ValueError(f"not a job record: {exc!r}") from exc


def encode_progress(state: JobState) -> bytes:
    """Return what must outlive the owner of a job's progress.

    A final state stands alone, or with why the job failed.  Otherwise done
    tasks are a bit mask a step, as are lasting tasks that ever ran, and other
    tasks that ran have [last run, failed runs, saved].
    """
    row: dict[str, typing.Any] = {"state": state.state}
    if state.reason:
        row["reason"] = state.reason
    if not state.final():
        row["done"] = _masks(state, lambda task: task.done)
        row["ran"] = _masks(state, lambda task: task.ran)
        row["rest"] = {
            _short_name(t.task):
            [t.last_run, sorted(t.failed_runs), t.saved]
            for t in state.all_tasks()
            if not t.done and (t.failed_runs or t.saved)}
        suspected = {_short_name(t.task): t.suspicion.encode()
                     for t in state.all_tasks()
                     if not t.done and t.suspicion is not None}
        if suspected:
            row["suspected"] = suspected
        if state.on_trial:
            row["trials"] = {_short_name(task): worker_id for task, worker_id
                             in state.on_trial.items()}
    return json.dumps(row, separators=(",", ":")).encode()


def _masks(state: JobState,
           chosen: typing.Callable[[TaskState], bool]) -> dict[str, str]:
    """Return, for each step, a bit mask of the tasks chosen."""
    masks = {}
    for (occurrence, step), tasks in state.tasks.items():
        mask = sum(1 << i for i, task in enumerate(tasks) if chosen(task))
        if mask:
            masks[f"{occurrence}.{step}"] = f"{mask:x}"
    return masks


def _masked(state: JobState, masks: dict[str, str]
            ) -> typing.Iterator[TaskState]:
    """Yield the tasks that bit masks name."""
    for place, mask in masks.items():
        k, s = (int(part) for part in place.split("."))
        state.occurrence(k)
        for i, task in enumerate(state.tasks[k, s]):
            if int(mask, 16) >> i & 1:
                yield task


def apply_progress(state: JobState, value: bytes) -> None:
    """Take over stored progress; raises ValueError if it is unreadable."""
    try:
        row = json.loads(value)
        state.state = row["state"]
        state.reason = row.get("reason", "")
        for task in _masked(state, row.get("done", {})):
            task.finish()
        for task in _masked(state, row.get("ran", {})):
            task.ran = True
        for name, (run, failed, saved) in row.get("rest", {}).items():
            found = _find(state, name)
            if found is not None:
                found.last_run = run
                found.failed_runs = set(failed)
                found.saved = saved
        for name, suspected in row.get("suspected", {}).items():
            found = _find(state, name)
            if found is not None:
                found.suspicion = suspicion.decode(suspected)
        for name, worker_id in row.get("trials", {}).items():
            found = _find(state, name)
            if found is not None:
                state.on_trial[found.task] = worker_id
        state.stored_trials = dict(state.on_trial)
    except (KeyError, TypeError, AttributeError) as exc:
        raise ValueError(f"not a progress record: {exc!r}") from exc


def _find(state: JobState, short_name: str) -> TaskState | None:
    """Return the task that a name within a job means."""
    k, s, i = (int(part) for part in short_name.split("."))
    return state.find(messages.TaskId(state.job.job_id, k, s, i))


def state_of(value: bytes) -> str:
    """Return the state named in a stored progress record."""
    return str(json.loads(value)["state"])


def reason_of(value: bytes) -> str:
    """Return why a job failed, from a stored progress record."""
    return str(json.loads(value).get("reason", ""))
