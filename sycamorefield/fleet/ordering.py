"""Order the jobs that compete for room.

Answers the load of a full fleet: with first come, first served all jobs wait
until all are late.  A job that can still be in time goes before one that is
late already, and a late one before one too late to count.  Short jobs go
before lasting ones, because a short task gives its room back within a second
while its caller waits; but a lasting job of which a task has been down for
some seconds goes first, because its users are without it.
"""

import typing

from sycamorefield.fleet import messages
from sycamorefield.fleet import progress

# Up to this many times its objective a job still earns a part as late.
LATE_FACTOR = 3.0
# Estimates are up to half off; a job is given up as late only when it would
# be late with this share of what is estimated to be left.
HOPE = 0.25
# The order of jobs of one priority.
INTERRUPTED, IN_TIME, LATE, TOO_LATE, LASTING = range(5)
# A task that is down for less waits for a gap that no short task wants:
# restarted at once, it takes the room of urgent short jobs.  One that is down
# for 9 s with room for it counts as lost to its users.
DOWN_S = 4.0


def rank(state: progress.JobState, queue: messages.Queue | None,
         wall_ms: float, now: float) -> int:
    """Return where a job stands among those of its priority."""
    if not state.long_running:
        return lateness(state, queue, wall_ms)
    return INTERRUPTED if interrupted(state, now) else LASTING


def interrupted(state: progress.JobState, now: float) -> bool:
    """Tell whether a task of a lasting job has been down for seconds."""
    return state.downtime_s(now) >= DOWN_S


def lateness(state: progress.JobState, queue: messages.Queue | None,
             wall_ms: float) -> int:
    """Tell whether a job can still be in time, by its estimates."""
    job = state.job
    if queue is None:
        return IN_TIME
    allowed = queue.stretch * state.critical_path_ms + queue.slo_ms
    begun = max(job.accepted_ms, job.due_ms(0))
    needed = wall_ms - begun + HOPE * state.remaining_critical_path_ms()
    if needed <= allowed:
        return IN_TIME
    return LATE if needed <= LATE_FACTOR * allowed else TOO_LATE


def priority(state: progress.JobState,
             queues: dict[str, messages.Queue]) -> int:
    """Return a job's priority (0 first) as configured now."""
    queue = queues.get(state.job.queue)
    return queue.priority if queue else state.job.priority


def ranked(states: typing.Iterable[progress.JobState],
           queues: dict[str, messages.Queue],
           wall_ms: float, now: float, by_lateness: bool = True
           ) -> list[progress.JobState]:
    """Return jobs in the order in which they may take room.

    Priority first, then rank, then age.
    """
    def key(state: progress.JobState) -> tuple[int, int, int]:
        queue = queues.get(state.job.queue)
        place = rank(state, queue, wall_ms, now)
        if not by_lateness and place in (LATE, TOO_LATE):
            place = IN_TIME
        return priority(state, queues), place, state.created_revision
    return sorted(states, key=key)
