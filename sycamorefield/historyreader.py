"""Build the history of one job and of its fleet from log lines."""

import typing

import pydantic

from sycamorefield import events
from sycamorefield import jobhistory
from sycamorefield import logfiles


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
    """Rows of runs; a line about a single run has its fields instead."""

    how: str = ""
    # Task, run number, worker.
    runs: list[tuple[_TaskName, int, str]]


class _LostRunsFields(pydantic.BaseModel):
    """Runs lost with a worker; their running time may be unknown."""

    worker: str
    # Task, run number, running time in seconds.
    runs: list[tuple[_TaskName, int, float | None]]


class _PaceChangesFields(pydantic.BaseModel):
    worker: str
    # Task, run number, image, pace and the pace before, in percent.
    changes: list[tuple[_TaskName, int, str, float, float]]


class _PaceFields(_RunFields):
    """The new pace of a single run, in percent."""

    pace: float


class _UsageFields(pydantic.BaseModel):
    capacity_cores: float
    reserved_cores: float
    widest_gap_cores: float
    waiting: dict[str, int] = {}
    workers_unheard: int = 0
    workers_evacuated: int = 0
    rounds_busy_s: float = 0.0
    rounds_waited_s: float = 0.0


class _HistoryBuilder:
    """Builds a job history from lines that are added in time order."""

    def __init__(self, job_id: str) -> None:
        self.history = jobhistory.JobHistory(job_id)
        self.job_found = False
        # Handlers of lines about the fleet, by event code.
        self.fleet_handlers: dict[
            str, typing.Callable[[logfiles.LogLine], None]] = {
            events.OWNERSHIP_CLAIMED.code: self._handle_owner_claim,
            events.FLEET_RECOVERED.code: self._handle_owner_ready,
            events.TAKEOVER_COMPLETED.code: self._handle_takeover_end,
            events.OWNERSHIP_LOST.code: self._handle_owner_end,
            events.OWNERSHIP_RELEASED.code: self._handle_owner_end,
            events.STORE_UNREACHABLE.code: self._handle_store_outage,
            events.FLEET_USAGE.code: self._handle_usage}
        # Handlers of lines about the job, by event code.
        self.job_handlers: dict[
            str, typing.Callable[[logfiles.LogLine], None]] = {
            events.JOB_STORED.code: self._handle_reply,
            events.JOB_REFUSED.code: self._handle_reply,
            events.JOB_REJECTED.code: self._handle_reply,
            events.JOB_UNCERTAIN.code: self._handle_reply,
            events.CANCEL_STORED.code: self._handle_cancellation,
            events.JOB_PICKED_UP.code: self._handle_pickup,
            events.JOB_ENDED.code: self._handle_job_end,
            events.RUN_ORDERED.code: self._handle_order,
            events.RUN_REJECTED.code: self._handle_rejection,
            events.RUN_UNCERTAIN.code: self._handle_unanswered_order,
            events.RUN_ENDED.code: self._handle_run_end,
            events.RUN_STOPPED.code: self._handle_stop_request,
            events.RUN_VANISHED.code: self._handle_vanished_run,
            events.WORKER_RUNS_LOST.code: self._handle_lost_runs,
            events.PACE_CHANGED.code: self._handle_pace_change}

    def add_line(self, line: logfiles.LogLine) -> None:
        """Add what one line says; count it if its fields are invalid."""
        self._note_owner_activity(line)
        try:
            if line.event in self.fleet_handlers:
                self.fleet_handlers[line.event](line)
            job_line = logfiles.filter_for_job(line, self.history.job_id)
            if job_line is not None:
                self.job_found = True
                self.job_handlers.get(line.event, _ignore)(job_line)
        except pydantic.ValidationError:
            self.history.invalid_lines += 1

    def _note_owner_activity(self, line: logfiles.LogLine) -> None:
        if line.event not in _OWNER_EVENTS:
            return
        if all(ownership.process != line.process
               for ownership in self.history.ownerships):
            self.history.ownerships.append(jobhistory.Ownership(
                line.process, line.at, ready_at=line.at, claim_logged=False))
        ownership = self._current_ownership(line.process)
        if ownership is not None:
            ownership.last_active_at = line.at

    def _current_ownership(self, process: str) -> jobhistory.Ownership | None:
        for ownership in reversed(self.history.ownerships):
            if ownership.process == process:
                return ownership if ownership.ended_at is None else None
        return None

    def _handle_owner_claim(self, line: logfiles.LogLine) -> None:
        self.history.ownerships.append(
            jobhistory.Ownership(line.process, line.at))

    def _handle_owner_ready(self, line: logfiles.LogLine) -> None:
        ownership = self._current_ownership(line.process)
        if ownership is not None:
            ownership.ready_at = line.at

    def _handle_takeover_end(self, line: logfiles.LogLine) -> None:
        ownership = self._current_ownership(line.process)
        if ownership is not None:
            ownership.workers_known_at = line.at

    def _handle_owner_end(self, line: logfiles.LogLine) -> None:
        fields = _JobFields.model_validate(line.fields)
        ownership = self._current_ownership(line.process)
        if ownership is not None:
            ownership.ended_at = line.at
            ownership.reason = fields.reason

    def _handle_store_outage(self, line: logfiles.LogLine) -> None:
        self.history.store_outages.append(
            jobhistory.StoreOutage(line.at, line.process))

    def _handle_usage(self, line: logfiles.LogLine) -> None:
        fields = _UsageFields.model_validate(line.fields)
        self.history.usages.append(jobhistory.FleetUsage(
            line.at, fields.capacity_cores, fields.reserved_cores,
            fields.widest_gap_cores, sum(fields.waiting.values()),
            fields.workers_unheard, fields.rounds_busy_s,
            fields.rounds_waited_s, fields.workers_evacuated))

    def _handle_reply(self, line: logfiles.LogLine) -> None:
        fields = _JobFields.model_validate(line.fields)
        self.history.queue = fields.queue or self.history.queue
        self.history.replies.append(jobhistory.SubmissionReply(
            line.at, line.process, _REPLY_KINDS[line.event], fields.reason))

    def _handle_cancellation(self, line: logfiles.LogLine) -> None:
        if self.history.cancelled_at is None:
            self.history.cancelled_at = line.at

    def _handle_pickup(self, line: logfiles.LogLine) -> None:
        self.history.pickups.append(jobhistory.Pickup(line.at, line.process))

    def _handle_job_end(self, line: logfiles.LogLine) -> None:
        fields = _JobFields.model_validate(line.fields)
        self.history.job_ends.append(
            jobhistory.JobEnd(line.at, line.process, fields.state,
                              fields.reason))

    def _get_run(self, task: str, number: int, worker: str) -> jobhistory.Run:
        runs = self.history.tasks.setdefault(task, jobhistory.Task(task)).runs
        return runs.setdefault(number, jobhistory.Run(number, worker))

    def _iter_runs(self, line: logfiles.LogLine
                   ) -> typing.Iterator[tuple[jobhistory.Run, _RunsFields]]:
        fields = line.fields
        if "runs" not in fields and "task" in fields:
            single = _RunFields.model_validate(fields)
            fields = {**fields, "runs": [
                (single.task, single.run, single.worker)]}
        runs_fields = _RunsFields.model_validate(fields)
        for row in runs_fields.runs:
            yield self._get_run(*row), runs_fields

    def _handle_order(self, line: logfiles.LogLine) -> None:
        for run, _ in self._iter_runs(line):
            run.ordered_at = line.at

    def _handle_run_end(self, line: logfiles.LogLine) -> None:
        for run, fields in self._iter_runs(line):
            _end_run(run, line.at, fields.how)

    def _find_run(self, line: logfiles.LogLine
                  ) -> tuple[jobhistory.Run, str] | None:
        """Return the run and reason of a line; None if it's another job's run.

        The line of a preempted run also names the job that preempted it.
        """
        fields = _RunFields.model_validate(line.fields)
        if fields.task.rsplit(".", 3)[0] != self.history.job_id:
            return None
        return (self._get_run(fields.task, fields.run, fields.worker),
                fields.reason)

    def _handle_rejection(self, line: logfiles.LogLine) -> None:
        run_and_reason = self._find_run(line)
        if run_and_reason is not None:
            _end_run(run_and_reason[0], line.at, jobhistory.REJECTED)

    def _handle_unanswered_order(self, line: logfiles.LogLine) -> None:
        run_and_reason = self._find_run(line)
        # An order to change the pace may also get no answer; the run goes on.
        if (run_and_reason is not None
                and not run_and_reason[1].startswith("pace")):
            run_and_reason[0].unanswered_at = line.at

    def _handle_stop_request(self, line: logfiles.LogLine) -> None:
        run_and_reason = self._find_run(line)
        if run_and_reason is not None:
            run_and_reason[0].stop_reason = run_and_reason[1]

    def _handle_vanished_run(self, line: logfiles.LogLine) -> None:
        run_and_reason = self._find_run(line)
        if run_and_reason is not None:
            _end_run(run_and_reason[0], line.at, jobhistory.VANISHED)

    def _handle_lost_runs(self, line: logfiles.LogLine) -> None:
        fields = _LostRunsFields.model_validate(line.fields)
        for task, number, _ in fields.runs:
            _end_run(self._get_run(task, number, fields.worker), line.at,
                     jobhistory.LOST)

    def _handle_pace_change(self, line: logfiles.LogLine) -> None:
        if "changes" not in line.fields:
            single = _PaceFields.model_validate(line.fields)
            self._get_run(
                single.task, single.run, single.worker).pace_changes.append(
                    (line.at, single.pace))
            return
        fields = _PaceChangesFields.model_validate(line.fields)
        for task, number, _, pace, _ in fields.changes:
            run = self._get_run(task, number, fields.worker)
            run.pace_changes.append((line.at, pace))


_REPLY_KINDS = {events.JOB_STORED.code: jobhistory.STORED,
                events.JOB_REFUSED.code: jobhistory.REFUSED,
                events.JOB_REJECTED.code: jobhistory.REFUSED,
                events.JOB_UNCERTAIN.code: jobhistory.UNCERTAIN}
# Events that only an owner of the fleet logs.
_OWNER_EVENTS = frozenset(event.code for event in (
    events.JOB_PICKED_UP, events.JOB_ENDED, events.RUN_ORDERED,
    events.RUN_ENDED, events.RUN_STOPPED, events.PACE_CHANGED,
    events.FLEET_USAGE))


def _end_run(run: jobhistory.Run, at: float, outcome: str) -> None:
    """Record the first end of a run; a new owner may log it again."""
    if run.ended_at is None:
        run.ended_at, run.outcome = at, outcome


def _ignore(line: logfiles.LogLine) -> None:
    """Ignore a line that names the job but says nothing about it."""


def read_history(lines: typing.Sequence[logfiles.LogLine], job_id: str
                 ) -> jobhistory.JobHistory | None:
    """Return the history of a job; None if no line names it.

    The lines must be in time order.
    """
    builder = _HistoryBuilder(job_id)
    for line in lines:
        builder.add_line(line)
    if not builder.job_found:
        return None
    builder.history.log_begin = lines[0].at
    builder.history.log_end = lines[-1].at
    return builder.history
