"""Collect from log lines what they say of one job and of the fleet."""

import typing

import pydantic

from sycamorefield import events
from sycamorefield import logfiles
from sycamorefield import story as story_mod


# JOB.OCCURRENCE.STEP.INDEX
_TaskName = typing.Annotated[
    str, pydantic.Field(pattern=r".\.\d+\.\d+\.\d+$")]


class _JobFields(pydantic.BaseModel):
    queue: str = ""
    reason: str = ""
    state: str = ""


class _RunFields(pydantic.BaseModel):
    task: _TaskName
    run: int
    worker: str
    reason: str = ""


class _RunsFields(pydantic.BaseModel):
    """Check the rows of a line; a line of a single run has no list."""

    how: str = ""
    runs: list[tuple[_TaskName, int, str]]


class _LostFields(pydantic.BaseModel):
    """Check the rows of a worker that is gone, with the ages of its runs."""

    worker: str
    runs: list[tuple[_TaskName, int, float | None]]


class _PacesFields(pydantic.BaseModel):
    worker: str
    changes: list[tuple[_TaskName, int, str, float, float]]


class _PaceFields(_RunFields):
    """Check the pace on a line of a single run."""

    pace: float


class _UsageFields(pydantic.BaseModel):
    capacity_cores: float
    reserved_cores: float
    widest_gap_cores: float
    waiting: dict[str, int] = {}
    workers_unheard: int = 0
    rounds_busy_s: float = 0.0
    rounds_waited_s: float = 0.0


class _Collector:
    """Take in lines in time order."""

    def __init__(self, job_id: str) -> None:
        self.story = story_mod.Story(job_id)
        self.found = False
        # What is told of the fleet, by event.
        self.of_fleet: dict[str, typing.Callable[[logfiles.Line], None]] = {
            events.OWNERSHIP_CLAIMED.code: self._claimed,
            events.FLEET_RECOVERED.code: self._recovered,
            events.OWNERSHIP_LOST.code: self._owner_over,
            events.OWNERSHIP_RELEASED.code: self._owner_over,
            events.STORE_LOST.code: self._store_lost,
            events.FLEET_USAGE.code: self._usage}
        # What is told of the job, by event.
        self.of_job: dict[str, typing.Callable[[logfiles.Line], None]] = {
            events.JOB_STORED.code: self._answered,
            events.JOB_REFUSED.code: self._answered,
            events.JOB_UNCERTAIN.code: self._answered,
            events.CANCEL_STORED.code: self._cancelled,
            events.JOB_SEEN.code: self._seen,
            events.JOB_ENDED.code: self._final,
            events.RUN_ORDERED.code: self._ordered,
            events.RUN_REJECTED.code: self._rejected,
            events.RUN_UNCERTAIN.code: self._unanswered,
            events.RUN_ENDED.code: self._ended,
            events.RUN_STOPPED.code: self._told_to_stop,
            events.RUN_VANISHED.code: self._vanished,
            events.WORKER_GONE.code: self._lost,
            events.PACE_CHANGED.code: self._paced}

    def take(self, line: logfiles.Line) -> None:
        """Take in one line."""
        self._owner_acts(line)
        try:
            if line.event in self.of_fleet:
                self.of_fleet[line.event](line)
            named = logfiles.narrowed(line, self.story.job_id)
            if named is not None:
                self.found = True
                self.of_job.get(line.event, _ignore)(named)
        except pydantic.ValidationError:
            self.story.unreadable += 1

    def _owner_acts(self, line: logfiles.Line) -> None:
        if line.event not in _OWNERS_EVENTS:
            return
        if all(ownership.process != line.process
               for ownership in self.story.ownerships):
            self.story.ownerships.append(story_mod.Ownership(
                line.process, line.at, ready=line.at, claim_logged=False))
        ownership = self._ownership(line.process)
        if ownership is not None:
            ownership.last_act = line.at

    def _ownership(self, process: str) -> story_mod.Ownership | None:
        for ownership in reversed(self.story.ownerships):
            if ownership.process == process:
                return ownership if ownership.over is None else None
        return None

    def _claimed(self, line: logfiles.Line) -> None:
        self.story.ownerships.append(
            story_mod.Ownership(line.process, line.at))

    def _recovered(self, line: logfiles.Line) -> None:
        ownership = self._ownership(line.process)
        if ownership is not None:
            ownership.ready = line.at

    def _owner_over(self, line: logfiles.Line) -> None:
        fields = _JobFields.model_validate(line.fields)
        ownership = self._ownership(line.process)
        if ownership is not None:
            ownership.over = line.at
            ownership.reason = fields.reason

    def _store_lost(self, line: logfiles.Line) -> None:
        self.story.store_losses.append(
            story_mod.StoreLoss(line.at, line.process))

    def _usage(self, line: logfiles.Line) -> None:
        fields = _UsageFields.model_validate(line.fields)
        self.story.usages.append(story_mod.Usage(
            line.at, fields.capacity_cores, fields.reserved_cores,
            fields.widest_gap_cores, sum(fields.waiting.values()),
            fields.workers_unheard, fields.rounds_busy_s,
            fields.rounds_waited_s))

    def _answered(self, line: logfiles.Line) -> None:
        fields = _JobFields.model_validate(line.fields)
        self.story.queue = fields.queue or self.story.queue
        self.story.answers.append(story_mod.Answer(
            line.at, line.process, _ANSWERS[line.event], fields.reason))

    def _cancelled(self, line: logfiles.Line) -> None:
        if self.story.cancelled is None:
            self.story.cancelled = line.at

    def _seen(self, line: logfiles.Line) -> None:
        self.story.sightings.append(story_mod.Sighting(line.at, line.process))

    def _final(self, line: logfiles.Line) -> None:
        fields = _JobFields.model_validate(line.fields)
        self.story.finals.append(
            story_mod.Final(line.at, line.process, fields.state,
                            fields.reason))

    def _run(self, task: str, number: int, worker: str) -> story_mod.Run:
        runs = self.story.tasks.setdefault(task, story_mod.Task(task)).runs
        return runs.setdefault(number, story_mod.Run(number, worker))

    def _rows(self, line: logfiles.Line
              ) -> typing.Iterator[tuple[story_mod.Run, _RunsFields]]:
        fields = line.fields
        if "runs" not in fields and "task" in fields:
            single = _RunFields.model_validate(fields)
            fields = {**fields, "runs": [
                (single.task, single.run, single.worker)]}
        checked = _RunsFields.model_validate(fields)
        for row in checked.runs:
            yield self._run(*row), checked

    def _ordered(self, line: logfiles.Line) -> None:
        for run, _ in self._rows(line):
            run.ordered = line.at

    def _ended(self, line: logfiles.Line) -> None:
        for run, fields in self._rows(line):
            _end(run, line.at, fields.how)

    def _single(self, line: logfiles.Line) -> tuple[story_mod.Run, str] | None:
        """Return the run that a line is about, unless it is another job's.

        A run that is stopped to make room names the job that gets it.
        """
        fields = _RunFields.model_validate(line.fields)
        if fields.task.rsplit(".", 3)[0] != self.story.job_id:
            return None
        return (self._run(fields.task, fields.run, fields.worker),
                fields.reason)

    def _rejected(self, line: logfiles.Line) -> None:
        found = self._single(line)
        if found is not None:
            _end(found[0], line.at, story_mod.REJECTED)

    def _unanswered(self, line: logfiles.Line) -> None:
        found = self._single(line)
        # An order of a pace has no answer either, but its run goes on.
        if found is not None and not found[1].startswith("pace"):
            found[0].unanswered = line.at

    def _told_to_stop(self, line: logfiles.Line) -> None:
        found = self._single(line)
        if found is not None:
            found[0].told_to_stop = found[1]

    def _vanished(self, line: logfiles.Line) -> None:
        found = self._single(line)
        if found is not None:
            _end(found[0], line.at, story_mod.VANISHED)

    def _lost(self, line: logfiles.Line) -> None:
        fields = _LostFields.model_validate(line.fields)
        for task, number, _ in fields.runs:
            _end(self._run(task, number, fields.worker), line.at,
                 story_mod.LOST)

    def _paced(self, line: logfiles.Line) -> None:
        if "changes" not in line.fields:
            single = _PaceFields.model_validate(line.fields)
            self._run(single.task, single.run, single.worker).paces.append(
                (line.at, single.pace))
            return
        fields = _PacesFields.model_validate(line.fields)
        for task, number, _, pace, _ in fields.changes:
            run = self._run(task, number, fields.worker)
            run.paces.append((line.at, pace))


_ANSWERS = {events.JOB_STORED.code: story_mod.STORED,
            events.JOB_REFUSED.code: story_mod.REFUSED,
            events.JOB_UNCERTAIN.code: story_mod.UNCERTAIN}
# What only an owner of the fleet logs.
_OWNERS_EVENTS = frozenset(event.code for event in (
    events.JOB_SEEN, events.JOB_ENDED, events.RUN_ORDERED,
    events.RUN_ENDED, events.RUN_STOPPED, events.PACE_CHANGED,
    events.FLEET_USAGE))


def _end(run: story_mod.Run, at: float, how: str) -> None:
    """Note the first end of a run: a new owner is told of it again."""
    if run.over is None:
        run.over, run.how = at, how


def _ignore(line: logfiles.Line) -> None:
    """Take nothing from a line that only names the job."""


def collect(lines: typing.Sequence[logfiles.Line], job_id: str
            ) -> story_mod.Story | None:
    """Return what lines in time order say of a job; None without a word."""
    collector = _Collector(job_id)
    for line in lines:
        collector.take(line)
    if not collector.found:
        return None
    collector.story.log_begin = lines[0].at
    collector.story.log_end = lines[-1].at
    return collector.story
