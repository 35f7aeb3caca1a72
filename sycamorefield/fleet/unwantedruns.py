"""Stop runs that no open job wants, and log them in bounded lines.

A worker may carry out a start seconds after it was sent: after the job was
cancelled, and after the process that sent it was replaced.  The successor
knows nothing of such a start until a report lists the run, at its first
report or later, and the record of the job may be gone by then.
"""

import typing

from sycamorefield import events
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress

# An unexpected run that is still reported after this long is ordered to stop
# again.
STOP_RETRY_S = 1.0
# A run whose stop the worker has accepted may save its work first, which takes
# at most 0.6 s.  One that is still reported after this long has begun since.
STOP_REPEAT_S = 3.0
# Runs named in one line, which keeps it under 4 KB.
MAX_LOGGED_RUNS = 20


class UnwantedRun(typing.NamedTuple):
    """A run on a worker that is to stop."""

    worker_id: str
    task: messages.TaskId
    run: int


class UnwantedRuns:
    """Track which unwanted runs were lately ordered to stop."""

    def __init__(self) -> None:
        self.ordered_at: dict[UnwantedRun, float] = {}
        # Runs to log, by reason, since the last line.
        self.unlogged: dict[str, list[UnwantedRun]] = {}
        self.stopped_total = 0

    def is_due(self, unwanted: UnwantedRun, now: float) -> bool:
        """Return whether a run is to be ordered to stop, and note that."""
        ordered_at = self.ordered_at.get(unwanted)
        if ordered_at is not None and now - ordered_at < STOP_RETRY_S:
            return False
        self.ordered_at[unwanted] = now
        return True

    def add_to_log(self, unwanted: UnwantedRun, reason: str) -> None:
        """Add a run that no open job wants to the next line."""
        self.stopped_total += 1
        self.unlogged.setdefault(reason, []).append(unwanted)

    def flush(self, now: float) -> None:
        """Log the runs of a report in one line for each reason."""
        if not self.unlogged:
            return
        unlogged, self.unlogged = self.unlogged, {}
        for reason, runs in unlogged.items():
            events.emit(
                events.UNWANTED_RUNS_STOPPED, worker=runs[0].worker_id,
                reason=reason, count=len(runs), runs=[
                    [str(run.task)[:100], run.run]
                    for run in runs[:MAX_LOGGED_RUNS]])
        self.ordered_at = {
            unwanted: at for unwanted, at in self.ordered_at.items()
            if now - at < STOP_RETRY_S}


def outlives_stop(task: progress.TaskState, now: float) -> bool:
    """Return whether a current run goes on long after an accepted stop."""
    return (task.phase == progress.STOPPING
            and task.confirmed_at > task.stop_sent_at > 0.0
            and now - task.confirmed_at > STOP_REPEAT_S)
