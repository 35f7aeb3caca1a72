"""Pace filling runs by the tails that a worker's report shows."""

import typing

from sycamorefield import events
from sycamorefield.fleet import interference
from sycamorefield.fleet import messages
from sycamorefield.fleet import pacing
from sycamorefield.fleet import placing
from sycamorefield.fleet import progress
from sycamorefield.fleet import weights
from sycamorefield.fleet import workerstate

# A filling run slowed to this share or less for a second moves to a worker
# where it is expected to harm nobody, if there is one.
STALLED_PACE = 10

Send = typing.Callable[[str, messages.PaceOrder], None]


def stalls(task: progress.TaskState) -> bool:
    """Tell whether a run makes so little progress that it should move."""
    return task.stuck or (task.step.fills
                          and 0 <= task.pace_percent <= STALLED_PACE)


class Pacer:
    """Learn which images disturb which, and tell workers the paces."""

    def __init__(self, learnt: interference.Interference,
                 send: Send, paces: bool = True) -> None:
        self.learnt = learnt
        self.send = send
        # Whether shares are changed, or tails only learnt from.
        self.paces = paces

    def take(self, worker: workerstate.WorkerState,
             report: messages.WorkerReport, now: float) -> None:
        """Learn from the tails of a report and pace what fills."""
        rows = [(row, worker.tasks[row.task, row.run])
                for row in report.running
                if (row.task, row.run) in worker.tasks]
        filling = [(row, task) for row, task in rows if task.step.fills
                   and task.phase != progress.STOPPING]
        beside = [weights.Filler(task.step.image, row.figure / 1000.0)
                  for row, task in filling]
        worker.tail_latencies = []
        worker.unused_cpu = 0.0
        for row, task in rows:
            if (task.step.target_ms and row.percent >= 100
                    and row.figure > 0):
                self._take_tail(worker, row, task, beside, now)
        if not placing.is_saturated(worker):
            for tail in worker.tail_latencies:
                self.learnt.observe(tail, beside)
        worker.over_reports = pacing.over_reports(worker.over_reports,
                                                  worker.tail_latencies)
        if not filling or not self.paces:
            return
        may_ease = now - worker.pace_raised_at >= pacing.EASE_PAUSE_S
        shares = pacing.paces(
            worker.tail_latencies,
            [pacing.Paced(task.step.image, task.step.room.cpu / 1000.0,
                          row.figure / 1000.0, task.pace_percent)
             for row, task in filling],
            worker.over_reports, may_ease, self.learnt)
        self._send_paces(worker, [task for _, task in filling], shares, now)

    def _take_tail(self, worker: workerstate.WorkerState,
                   row: messages.RunningTask, task: progress.TaskState,
                   beside: list[weights.Filler], now: float) -> None:
        name = task.task
        tail = self.learnt.tail(
            task.step.image, row.figure, task.step.target_ms,
            name.step_id(), (worker.entry.worker_id, name.number), beside, now)
        worker.tail_latencies.append(tail)
        worker.unused_cpu += task.step.room.cpu * (
            1.0 - tail.expected_load())

    def _send_paces(self, worker: workerstate.WorkerState,
                    tasks: list[progress.TaskState], shares: list[int],
                    now: float) -> None:
        changes = []
        for task, share in zip(tasks, shares):
            if task.pace_percent == share or share < 0:
                continue
            if share > task.pace_percent:
                worker.pace_raised_at = now
            changes.append((str(task.task), task.run, task.step.image,
                            share, task.pace_percent))
            if share <= STALLED_PACE < task.pace_percent:
                task.slowed_at = now
            task.pace_percent = share
            self.send(worker.entry.worker_id,
                      messages.PaceOrder(task.task, task.run, share))
        if changes:
            # Each change: task, run, image, new pace, pace before.
            worst = max((t.ratio for t in worker.tail_latencies), default=0.0)
            events.emit(events.PACE_CHANGED, worst=round(worst, 2),
                        worker=worker.entry.worker_id, changes=changes)
