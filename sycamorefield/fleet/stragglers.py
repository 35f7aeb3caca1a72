"""Detect tasks that hang or run slowly, as opposed to long ones."""

import statistics

from sycamorefield.fleet import progress

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


def is_stuck(task: progress.TaskState, now: float) -> bool:
    """Return whether a running task should restart elsewhere."""
    step = task.step
    if (step.perpetual or not step.estimate_ms or step.affinity
            or step.same_rack or task.phase != progress.RUNNING
            or not task.started_at):
        return False
    if step.fills and (task.pace_percent != 100
                       or task.slowed_at > task.started_at):
        return False
    elapsed_s = now - task.started_at
    overdue_factor, min_elapsed_s = (
        (BEST_EFFORT_OVERDUE_FACTOR, BEST_EFFORT_MIN_ELAPSED_S)
        if step.fills else (OVERDUE_FACTOR, MIN_ELAPSED_S))
    if elapsed_s < max(min_elapsed_s,
                       overdue_factor * step.estimate_ms / 1000.0):
        return False
    expected_s = expected_duration_s(task)
    if elapsed_s < overdue_factor * expected_s:
        return False
    done_ratio = task.percent / 100.0
    remaining_s = (elapsed_s * (1.0 - done_ratio) / done_ratio
                   if done_ratio else float("inf"))
    return remaining_s > overdue_factor * expected_s


def expected_duration_s(task: progress.TaskState) -> float:
    """Return the expected duration of a task's run, in seconds.

    With an estimate that is far too low, every run would be stopped before it
    ends, on any worker.  The durations of the step's other tasks and of the
    task's own earlier run therefore raise the estimate.
    """
    estimate_s = task.step.estimate_ms / 1000.0
    durations_s = [task.previous_run_s]
    if task.job is not None:
        step_index = (task.task.occurrence, task.task.step)
        durations_s += [other.projected_run_s or other.previous_run_s
                        for other in task.job.tasks[step_index]
                        if other is not task]
    known_s = [seconds for seconds in durations_s if seconds]
    return max(estimate_s, statistics.median_low(known_s or [estimate_s]))
