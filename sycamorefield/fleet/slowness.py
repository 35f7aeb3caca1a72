"""Tell tasks that stand still or crawl from those that just take long."""

from sycamorefield.fleet import progress

# Estimates are up to half off.  A task is stuck when it has run for 1.5
# times its estimate and, at its pace so far, needs as long again: it would
# take three times its estimate, and less if it began anew elsewhere.
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
            or not task.started):
        return False
    if step.fills and (task.pace != 100 or task.slowed_at > task.started):
        return False
    elapsed = now - task.started
    estimate = step.estimate_ms / 1000.0
    overdue, least = ((FILL_OVERDUE, FILL_LEAST_S) if step.fills
                      else (OVERDUE, LEAST_S))
    if elapsed < max(least, overdue * estimate):
        return False
    done = task.percent / 100.0
    left = elapsed * (1.0 - done) / done if done else float("inf")
    return left > overdue * estimate
