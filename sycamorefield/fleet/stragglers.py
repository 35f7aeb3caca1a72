"""Detect tasks that hang or run slowly, as opposed to long ones."""

import statistics

from sycamorefield.fleet import progress
from sycamorefield.fleet import runtimes

# A task is stuck when it has run for 1.5 times its expected duration and, at
# its speed so far, needs as long again.  It would then take three times its
# expected duration, and less if it restarted elsewhere.
OVERDUE_FACTOR = 1.5
MIN_ELAPSED_S = 1.0
# Best-effort tasks share left-over processors and are often slower.
BEST_EFFORT_OVERDUE_FACTOR = 3.0
BEST_EFFORT_MIN_ELAPSED_S = 2.0
# A worker with at least this many stuck tasks is considered slow itself.
MIN_STUCK_TASKS = 2


def is_stuck(task: progress.TaskState, now: float, queue: str = "",
             run_times: runtimes.RunTimeModel | None = None) -> bool:
    """Return whether a running task should restart elsewhere.

    Where the estimates of its queue are seen to be bad, the predictions of
    the model stand in for the estimate and for progress that is not reported.
    """
    step = task.step
    if (step.perpetual or step.affinity or step.same_rack
            or task.phase != progress.RUNNING or not task.started_at):
        return False
    if step.fills and (task.pace_percent != 100
                       or task.slowed_at > task.started_at):
        return False
    if run_times is not None and run_times.trusts_estimate(queue, step):
        run_times = None
    estimate_s = (step.estimate_ms / 1000.0 if run_times is None
                  else run_times.expected_s(queue, step))
    if not estimate_s:
        return False
    elapsed_s = now - task.started_at
    overdue_factor, min_elapsed_s = (
        (BEST_EFFORT_OVERDUE_FACTOR, BEST_EFFORT_MIN_ELAPSED_S)
        if step.fills else (OVERDUE_FACTOR, MIN_ELAPSED_S))
    if elapsed_s < max(min_elapsed_s, overdue_factor * estimate_s):
        return False
    expected_s = expected_duration_s(task, estimate_s)
    if elapsed_s < overdue_factor * expected_s:
        return False
    remaining_s = (_remaining_s(task, elapsed_s) if run_times is None
                   else run_times.remaining_s(queue, step, elapsed_s,
                                              task.percent))
    return remaining_s > overdue_factor * expected_s


def _remaining_s(task: progress.TaskState, elapsed_s: float) -> float:
    """Return how much longer a run takes at its speed so far."""
    done_ratio = task.percent / 100.0
    return (elapsed_s * (1.0 - done_ratio) / done_ratio
            if done_ratio else float("inf"))


def expected_duration_s(task: progress.TaskState, estimate_s: float) -> float:
    """Return the expected duration of a task's run, in seconds.

    With an estimate that is far too low, every run would be stopped before it
    ends, on any worker.  The durations of the step's other tasks and of the
    task's own earlier run therefore raise the estimate.
    """
    durations_s = [task.previous_run_s]
    if task.job is not None:
        step_index = (task.task.occurrence, task.task.step)
        durations_s += [other.projected_run_s or other.previous_run_s
                        for other in task.job.tasks[step_index]
                        if other is not task]
    known_s = [seconds for seconds in durations_s if seconds]
    return max(estimate_s, statistics.median_low(known_s or [estimate_s]))
