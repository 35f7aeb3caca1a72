"""Order the jobs that compete for capacity.

If an overloaded fleet served jobs first come, first served, all of them would
end up late.  So jobs that can still finish on time go before late jobs, and
late jobs before those too late to count.  Finite jobs go before long-running
ones, because a finite task frees its capacity within a second while its caller
waits.  A long-running job with a task that has been down for some seconds
goes first of all, because its users are without service.
"""

import typing

from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import runtimes

# A late job still counts in part up to this many times its objective.
LATE_FACTOR = 3.0
# Run time estimates are off by up to half.  A job counts as late only if it
# would be late even if it took just this share of its remaining estimate.
OPTIMISTIC_ESTIMATE_SHARE = 0.25
# Ranks of the jobs of one priority, first to last.
INTERRUPTED, OVERDUE, ON_TIME, LATE, TOO_LATE, LONG_RUNNING = range(6)
# A best-effort job that is too late and has waited this long goes first, among
# the finite ones, for OVERDUE_TIME_S of each OVERDUE_PERIOD_S.  Jobs on time
# may come for ever, and would pass it each time, beside workers with capacity.
OVERDUE_AFTER_S = 30.0
OVERDUE_PERIOD_S = 5.0
OVERDUE_TIME_S = 0.5
# If a task of such a job has found no worker after this much of that time,
# what becomes free is too little for it.
OVERDUE_SEARCH_S = 0.3
# A worker is held for a best-effort job that has waited this long and has no
# run.  14 s after the last job was accepted, all must have begun.
UNSERVED_AFTER_S = 10.0
# A long-running task that has been down for a shorter time waits for capacity
# that no finite task needs: restarting it at once would take capacity from
# urgent finite jobs.  A task that is down for 9 s although capacity for it
# exists counts as lost to its users.
BOOST_AFTER_DOWN_S = 4.0


def rank(state: progress.JobState, queue: messages.Queue | None,
         wall_ms: float, now: float,
         run_times: runtimes.RunTimeModel | None = None) -> int:
    """Return the rank of a job among those of its priority."""
    if not state.long_running:
        found = lateness(state, queue, wall_ms, run_times)
        return (OVERDUE if found == TOO_LATE
                and now % OVERDUE_PERIOD_S < OVERDUE_TIME_S
                and _has_waited(state, wall_ms, OVERDUE_AFTER_S) else found)
    return INTERRUPTED if is_interrupted(state, now) else LONG_RUNNING


def is_interrupted(state: progress.JobState, now: float) -> bool:
    """Return whether a job goes first because a task of it is down."""
    return state.downtime_s(now) >= BOOST_AFTER_DOWN_S


def needs_hold(state: progress.JobState, queue: messages.Queue | None,
               wall_ms: float, now: float,
               run_times: runtimes.RunTimeModel | None = None) -> bool:
    """Return whether an overdue job has gone first for a while in vain."""
    return (now % OVERDUE_PERIOD_S >= OVERDUE_SEARCH_S
            and rank(state, queue, wall_ms, now, run_times) == OVERDUE)


def is_overdue(state: progress.JobState, wall_ms: float) -> bool:
    """Return whether a finite best-effort job must have a run by now."""
    return (not state.long_running
            and _has_waited(state, wall_ms, UNSERVED_AFTER_S))


def _has_waited(state: progress.JobState, wall_ms: float,
                least_s: float) -> bool:
    """Return whether a job with best-effort steps has waited for a time."""
    if not any(step.fills for step in state.job.steps):
        return False
    due_since_ms = max(state.job.accepted_ms, state.job.due_ms(0))
    return wall_ms - due_since_ms >= least_s * 1000.0


def lateness(state: progress.JobState, queue: messages.Queue | None,
             wall_ms: float,
             run_times: runtimes.RunTimeModel | None = None) -> int:
    """Return whether a job is on time, late or too late, by estimates.

    Without a model of run times, these are the declared estimates.
    """
    job = state.job
    if queue is None:
        return ON_TIME
    if run_times is not None:
        state.update_run_times(run_times)
    allowed_ms = queue.stretch * state.critical_path_ms + queue.slo_ms
    due_since_ms = max(job.accepted_ms, job.due_ms(0))
    needed_ms = (wall_ms - due_since_ms
                 + OPTIMISTIC_ESTIMATE_SHARE
                 * state.remaining_critical_path_ms())
    if needed_ms <= allowed_ms:
        return ON_TIME
    return LATE if needed_ms <= LATE_FACTOR * allowed_ms else TOO_LATE


def priority(state: progress.JobState,
             queues: dict[str, messages.Queue]) -> int:
    """Return the current priority of a job; 0 is the most urgent."""
    queue = queues.get(state.job.queue)
    return queue.priority if queue else state.job.priority


def sort_jobs(states: typing.Iterable[progress.JobState],
              queues: dict[str, messages.Queue],
              wall_ms: float, now: float, by_lateness: bool = True,
              run_times: runtimes.RunTimeModel | None = None
              ) -> list[progress.JobState]:
    """Return jobs in scheduling order: by priority, rank and age."""
    def key(state: progress.JobState) -> tuple[int, int, int]:
        queue = queues.get(state.job.queue)
        job_rank = rank(state, queue, wall_ms, now, run_times)
        if not by_lateness and job_rank in (OVERDUE, LATE, TOO_LATE):
            job_rank = ON_TIME
        return priority(state, queues), job_rank, state.created_revision
    return sorted(states, key=key)
