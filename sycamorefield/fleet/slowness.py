"""Tell tasks that stand still or crawl from those that just take long."""

import statistics

from sycamorefield.fleet import progress

# A task is stuck when it has run for 1.5 times what it should take and, at its
# pace so far, needs as long again: it would take three times as long, and less
# if it began anew elsewhere.
OVERDUE = 1.5
LEAST_S = 1.0
# Tasks that fill share what is left over and are often slower.
FILL_OVERDUE = 3.0
FILL_LEAST_S = 2.0
# A worker with this many stuck tasks is slow itself.
STUCK_TASKS = 2


def stuck(task: progress.TaskState, now: float) -> bool:
    """Tell whether a running task should rather run elsewhere."""
    step = task.step
    if (step.perpetual or not step.estimate_ms or step.affinity
            or step.same_rack or task.phase != progress.RUNNING
            or not task.started_at):
        return False
    if step.fills and (task.pace_percent != 100
                       or task.slowed_at > task.started_at):
        return False
    elapsed = now - task.started_at
    overdue, least = ((FILL_OVERDUE, FILL_LEAST_S) if step.fills
                      else (OVERDUE, LEAST_S))
    if elapsed < max(least, overdue * step.estimate_ms / 1000.0):
        return False
    expected = expected_s(task)
    if elapsed < overdue * expected:
        return False
    done = task.percent / 100.0
    left = elapsed * (1.0 - done) / done if done else float("inf")
    return left > overdue * expected


def expected_s(task: progress.TaskState) -> float:
    """Return how long a run of a task should take, in seconds.

    An estimate that is far too low would have each run stopped before it can
    end, on any worker.  What the other tasks of the step take, and what its
    own earlier run took, raises it.
    """
    estimate = task.step.estimate_ms / 1000.0
    seen = [task.previous_run_s]
    if task.job is not None:
        place = (task.task.occurrence, task.task.step)
        seen += [other.projected_run_s or other.previous_run_s
                 for other in task.job.tasks[place] if other is not task]
    known = [seconds for seconds in seen if seconds]
    return max(estimate, statistics.median_low(known or [estimate]))
