"""Hold tasks of which a start may still be carried out by a life to come.

A worker that has started again under its ID may do so once more.  A start that
was sent to a life before and got no answer is refused by the life that has
reported, as it has seen a higher fence, but not by the next one.  So the task
of such a start does not start again before the call is carried out at the
latest.

Tasks that last are left out: they are down meanwhile, and a worker that starts
again twice within that time, with a call that is held up over both, is less
likely than one that starts again once.
"""

import typing

from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import unreportedlife
from sycamorefield.fleet import workerstate


class LateStarts:
    """Hold until when which tasks must not start; times by clock.now()."""

    def __init__(self) -> None:
        self.until: dict[messages.TaskId, float] = {}

    def add(self, task: progress.TaskState, until: float) -> None:
        """Hold a task back until a time, unless it lasts or may run twice."""
        if not (task.step.perpetual or task.step.speculative):
            self.until[task.task] = max(
                until, self.until.get(task.task, until))

    def add_attempts(self, worker: workerstate.WorkerState,
                     run: workerstate.RunId, task: progress.TaskState,
                     restarted_at: float) -> None:
        """Hold a task while starts may be late that a restart has outrun."""
        for sent_at in worker.unreported_life.unanswered_starts.get(run, ()):
            if sent_at < restarted_at:
                self.add(task, sent_at + unreportedlife.LATE_CALL_S)

    def forget_old(self, now: float) -> bool:
        """Forget tasks that may start; return whether there are any."""
        old = [task for task, until in self.until.items() if until <= now]
        for task in old:
            del self.until[task]
        return bool(old)

    def for_successor(self, workers: typing.Iterable[workerstate.WorkerState],
                      now: float) -> dict[messages.TaskId, float]:
        """Return for how many seconds which tasks must not start.

        They include those of which the run is not known to be over.
        """
        late_starts = LateStarts()
        late_starts.until.update(self.until)
        for worker in workers:
            for run, task in worker.tasks.items():
                late_starts.add_attempts(
                    worker, run, task, worker.restart_seen_at)
        return {task: until - now
                for task, until in late_starts.until.items() if until > now}
