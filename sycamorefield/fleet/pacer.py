"""Pace best-effort runs by the tail latencies in a worker's reports."""

import typing

from sycamorefield import events
from sycamorefield.fleet import interference
from sycamorefield.fleet import messages
from sycamorefield.fleet import pacing
from sycamorefield.fleet import placing
from sycamorefield.fleet import progress
from sycamorefield.fleet import weights
from sycamorefield.fleet import workerstate

# A best-effort run at this pace or less for a second moves to a worker where
# it is not expected to disturb any task, if there is one.
STALLED_PACE_PERCENT = 10

# The pace of a run that is not known.  The first report of the run sets it to
# the lowest one; later ones raise it as far as tail latencies allow.
UNKNOWN_PACE = -1

# A pace without an answer may be lost, or be carried out up to this much
# later, even after newer ones.
LATE_ORDER_S = 13.0
# In this time the present pace is sent again, soon at first: a lost pause
# leaves a tail latency over its target.
FIRST_REPEAT_S = 1.0
REPEAT_PERIOD_S = 3.0

Send = typing.Callable[[str, messages.PaceOrder], None]


def is_stalled(task: progress.TaskState) -> bool:
    """Return whether a run is so slow that it should move."""
    return task.stuck or (task.step.fills
                          and 0 <= task.pace_percent <= STALLED_PACE_PERCENT)


def note_uncertain_pace(worker: workerstate.WorkerState,
                        run: workerstate.RunId, now: float) -> None:
    """Have the present pace of a run sent again, as one was not confirmed."""
    if run in worker.tasks:
        known = worker.uncertain_paces.get(run)
        worker.uncertain_paces[run] = workerstate.UncertainPace(
            now + LATE_ORDER_S,
            known.repeat_at if known is not None else now + FIRST_REPEAT_S)


class Pacer:
    """Learn from reported tail latencies and send paces to workers."""

    def __init__(self, model: interference.InterferenceModel,
                 send: Send, enabled: bool = True) -> None:
        self.model = model
        self.send = send
        # If false, weights are learnt but paces don't change.
        self.enabled = enabled

    def process_report(self, worker: workerstate.WorkerState,
                       report: messages.WorkerReport, now: float) -> None:
        """Learn from a worker's report and pace its best-effort runs."""
        rows = [(row, worker.tasks[row.task, row.run])
                for row in report.running
                if (row.task, row.run) in worker.tasks]
        best_effort_runs = [
            (row, task) for row, task in rows
            if task.step.fills and task.phase != progress.STOPPING]
        best_effort_usage = [
            weights.BestEffortUsage(task.step.image, row.figure / 1000.0)
            for row, task in best_effort_runs]
        worker.tail_latencies = []
        worker.unused_cpu = 0.0
        for row, task in rows:
            if (task.step.target_ms and row.percent >= 100
                    and row.figure > 0):
                self._record_tail(worker, row, task, best_effort_usage, now)
        if placing.cpu_left_by_paces(worker) >= 0:
            for tail in worker.tail_latencies:
                self.model.observe(tail, best_effort_usage)
        worker.over_reports = pacing.reports_over_target(worker.over_reports,
                                                         worker.tail_latencies)
        if not best_effort_runs or not self.enabled:
            return
        may_raise = now - worker.pace_raised_at >= pacing.RAISE_INTERVAL_S
        next_paces = pacing.next_paces(
            worker.tail_latencies,
            [pacing.PacedRun(task.step.image, task.step.room.cpu / 1000.0,
                             row.figure / 1000.0, task.pace_percent,
                             task.is_low_pace_start)
             for row, task in best_effort_runs],
            worker.over_reports, may_raise, self.model,
            placing.cpu_left_by_paces(worker) / 1000.0)
        tasks = [task for _, task in best_effort_runs]
        self._send_paces(worker, tasks, next_paces, now)
        self._repeat_uncertain(worker, tasks, now)

    def _record_tail(self, worker: workerstate.WorkerState,
                     row: messages.RunningTask, task: progress.TaskState,
                     best_effort_usage: list[weights.BestEffortUsage],
                     now: float) -> None:
        task_id = task.task
        tail = self.model.add_report(
            task.step.image, row.figure, task.step.target_ms,
            task_id.step_id(), (worker.entry.worker_id, task_id.number),
            best_effort_usage, now)
        worker.tail_latencies.append(tail)
        worker.unused_cpu += task.step.room.cpu * (
            1.0 - tail.expected_load())

    def _repeat_uncertain(self, worker: workerstate.WorkerState,
                          tasks: list[progress.TaskState],
                          now: float) -> None:
        """Send the present pace again where one was not confirmed."""
        for task in tasks if worker.uncertain_paces else ():
            run = (task.task, task.run)
            uncertain = worker.uncertain_paces.get(run)
            if uncertain is None or now < uncertain.repeat_at:
                continue
            if now >= uncertain.until:
                del worker.uncertain_paces[run]
            else:
                worker.uncertain_paces[run] = uncertain._replace(
                    repeat_at=min(uncertain.until, now + REPEAT_PERIOD_S))
            if task.pace_percent >= 0:
                self.send(worker.entry.worker_id, messages.PaceOrder(
                    task.task, task.run, task.pace_percent))

    def _send_paces(self, worker: workerstate.WorkerState,
                    tasks: list[progress.TaskState], next_paces: list[int],
                    now: float) -> None:
        changes = []
        for task, next_pace in zip(tasks, next_paces):
            if task.pace_percent == next_pace or next_pace < 0:
                continue
            if next_pace > task.pace_percent:
                worker.pace_raised_at = now
            changes.append((str(task.task), task.run, task.step.image,
                            next_pace, task.pace_percent))
            if next_pace <= STALLED_PACE_PERCENT < task.pace_percent:
                task.slowed_at = now
            task.pace_percent = next_pace
            task.measurable = False
            self.send(worker.entry.worker_id,
                      messages.PaceOrder(task.task, task.run, next_pace))
        if changes:
            # Each change: task, run, image, new pace, previous pace.
            worst_ratio = max((tail.ratio for tail in worker.tail_latencies),
                              default=0.0)
            events.emit(events.PACE_CHANGED, worst=round(worst_ratio, 2),
                        worker=worker.entry.worker_id, changes=changes)
