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
OPTIMISTIC_ESTIMATE_SHARE = 0.25
# The order of jobs of one priority.
INTERRUPTED, ON_TIME, LATE, TOO_LATE, LONG_RUNNING = range(5)
# A task that is down for less waits for a gap that no short task wants:
# restarted at once, it takes the room of urgent short jobs.  One that is down
# for 9 s with room for it counts as lost to its users.
BOOST_AFTER_DOWN_S = 4.0


def rank(state: progress.JobState, queue: messages.Queue | None,
         wall_ms: float, now: float) -> int:
    """Return where a job stands among those of its priority."""
    if not state.lasting:
        return lateness(state, queue, wall_ms)
    return INTERRUPTED if is_interrupted(state, now) else LONG_RUNNING


def is_interrupted(state: progress.JobState, now: float) -> bool:
    """Tell whether a task of a lasting job has been down for seconds."""
    return state.down_for(now) >= BOOST_AFTER_DOWN_S


def lateness(state: progress.JobState, queue: messages.Queue | None,
             wall_ms: float) -> int:
    """Tell whether a job can still be in time, by its estimates."""
    job = state.job
    if queue is None:
        return ON_TIME
    allowed_ms = queue.stretch * state.chain_ms + queue.slo_ms
    started_ms = max(job.accepted_ms, job.due_ms(0))
    needed_ms = wall_ms - started_ms + \
        OPTIMISTIC_ESTIMATE_SHARE * state.chain_left_ms()
    if needed_ms <= allowed_ms:
        return ON_TIME
    return LATE if needed_ms <= LATE_FACTOR * allowed_ms else TOO_LATE


def priority(state: progress.JobState,
             queues: dict[str, messages.Queue]) -> int:
    """Return a job's priority (0 first) as configured now."""
    queue = queues.get(state.job.queue)
    return queue.priority if queue else state.job.priority


def sort_jobs(states: typing.Iterable[progress.JobState],
              queues: dict[str, messages.Queue],
              wall_ms: float, now: float, by_lateness: bool = True
              ) -> list[progress.JobState]:
    """Return jobs in the order in which they may take room.

    Priority first, then rank, then age.
    """
    def key(state: progress.JobState) -> tuple[int, int, int]:
        queue = queues.get(state.job.queue)
        position = rank(state, queue, wall_ms, now)
        if not by_lateness and position in (LATE, TOO_LATE):
            position = ON_TIME
        return priority(state, queues), position, state.created
    return sorted(states, key=key)
