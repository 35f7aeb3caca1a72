"""Tell tasks that stand still or crawl from those that just take long."""

import statistics

from sycamorefield.fleet import progress

# A task is stuck when it has run for 1.5 times what it should take and, at its
# pace so far, needs as long again: it would take three times as long, and less
# if it began anew elsewhere.
OVERDUE_FACTOR = 1.5
MIN_ELAPSED_S = 1.0
# Tasks that fill share what is left over and are often slower.
BEST_EFFORT_OVERDUE_FACTOR = 3.0
BEST_EFFORT_MIN_ELAPSED_S = 2.0
# A worker with this many stuck tasks is slow itself.
MIN_STUCK_TASKS = 2


def is_stuck(task: progress.TaskState, now: float) -> bool:
    """Tell whether a running task should rather run elsewhere."""
    step = task.step
    if (step.perpetual or not step.estimate_ms or step.affinity
            or step.same_rack or task.phase != progress.RUNNING
            or not task.started):
        return False
    if step.fills and (task.pace != 100 or task.slowed_at > task.started):
        return False
    elapsed_s = now - task.started
    overdue_factor, min_elapsed_s = (
        (BEST_EFFORT_OVERDUE_FACTOR, BEST_EFFORT_MIN_ELAPSED_S)
        if step.fills else (OVERDUE_FACTOR, MIN_ELAPSED_S))
    if elapsed_s < max(
            min_elapsed_s,
            overdue_factor *
            step.estimate_ms /
            1000.0):
        return False
    expected_s = expected_duration_s(task)
    if elapsed_s < overdue_factor * expected_s:
        return False
    done_ratio = task.percent / 100.0
    remaining_s = elapsed_s * (1.0 - done_ratio) / \
        done_ratio if done_ratio else float("inf")
    return remaining_s > overdue_factor * expected_s


def expected_duration_s(task: progress.TaskState) -> float:
    """Return how long a run of a task should take, in seconds.

    An estimate that is far too low would have each run stopped before it can
    end, on any worker.  What the other tasks of the step take, and what its
    own earlier run took, raises it.
    """
    estimate_s = task.step.estimate_ms / 1000.0
    durations_s = [task.earlier_s]
    if task.job is not None:
        step_index = (task.task.occurrence, task.task.step)
        durations_s += [other.projected_s or other.earlier_s
                        for other in task.job.tasks[step_index]
                        if other is not task]
    known_s = [seconds for seconds in durations_s if seconds]
    return max(estimate_s, statistics.median_low(known_s or [estimate_s]))
