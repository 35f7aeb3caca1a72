"""Compute the delays of a job by cause, from its history alone.

Only the task of each step that ended last counts, as it holds up the steps
that follow.
"""

import collections
import dataclasses

from sycamorefield.fleet import messages
from sycamorefield import jobhistory

FULL_PACE_PERCENT = 100.0

# Causes of delays, as "sycamorefield explain" prints them. A wait for an order
# while the fleet has an owner counts as "room".
STORE = "store"
NO_OWNER = "no owner"
# A successor holds back jobs accepted before its claim until it knows what
# runs on the workers.
TAKEOVER = "takeover"
PICKUP = "pickup"
PLACEMENT = "room"
THROTTLED = "paced"
UNANSWERED = "unanswered"
# Prefixes of stop reasons in SF1820 lines. Stops for these cost no time.
_COST_FREE_STOP_REASONS = ("done elsewhere", "job ")
_UNANSWERED_STOP_REASON = "start got no answer"
_STALLED_STOP_REASON = "little progress here"
_PREEMPTION_STOP_REASON = "room for "


@dataclasses.dataclass(frozen=True, slots=True)
class Delay:
    """A delay of a job by one cause, in seconds, between two times."""

    kind: str
    begin: float
    end: float
    seconds: float
    # The run that was lost or throttled.
    run: jobhistory.Run | None = None

    @classmethod
    def spanning(cls, kind: str, begin: float, end: float,
                 run: jobhistory.Run | None = None) -> "Delay":
        """Return a delay that lasts all the time from begin to end."""
        return cls(kind, begin, end, max(0.0, end - begin), run)


def periods_without_owner(history: jobhistory.JobHistory
                          ) -> list[tuple[float, float]]:
    """Return the periods without a known owner that was ready."""
    periods = []
    for previous, successor in zip(history.ownerships, history.ownerships[1:]):
        begin = previous.last_active_at
        if previous.ended_at is not None:
            begin = min(begin, previous.ended_at)
        end = (history.log_end if successor.ready_at is None
               else successor.ready_at)
        if begin < end:
            periods.append((begin, end))
    first = history.ownerships[0] if history.ownerships else None
    if first is not None and first.claim_logged:
        ready_at = (first.claimed_at if first.ready_at is None
                    else first.ready_at)
        periods.insert(0, (history.log_begin, ready_at))
    return periods


def time_without_owner_s(history: jobhistory.JobHistory, begin: float,
                         end: float) -> float:
    """Return how many seconds between begin and end had no known owner."""
    return sum(max(0.0, min(end, until) - max(begin, since))
               for since, until in periods_without_owner(history))


def find_delays(history: jobhistory.JobHistory) -> list[Delay]:
    """Return every delay of the job; several may have the same cause."""
    delays: list[Delay] = []
    ready_at = history.submitted_at()
    if history.pickups:
        ready_at = max(ready_at, history.pickups[0].at)
        stored_at = min(ready_at, _stored_at(history))
        delays.append(Delay.spanning(STORE, history.submitted_at(), stored_at))
        delays += _pickup_delays(history, stored_at, ready_at)
    for tasks in history.steps().values():
        delays += _step_delays(history, tasks, ready_at)
    if not history.tasks:
        delays += _waiting_delays(history, ready_at, history.observed_until())
    elif not history.job_ends and all(task.first_done_at() is not None
                                      for task in history.tasks.values()):
        # All tasks are done but the job is open: its next step never began.
        last = max(task.first_done_at() or 0.0
                   for task in history.tasks.values())
        delays += _waiting_delays(history, last, history.observed_until())
    return delays


def _pickup_delays(history: jobhistory.JobHistory, stored_at: float,
                   ready_at: float) -> list[Delay]:
    """Return the wait from storage to pickup, by its cause.

    An owner that is cut off from the store still acts on reports of its
    workers, but sees no new jobs until another process takes over.
    """
    new_owner = history.pickups[0].process
    if any(ownership.process == new_owner and ownership.claim_logged
           and stored_at < ownership.claimed_at <= ready_at
           for ownership in history.ownerships):
        return [Delay.spanning(NO_OWNER, stored_at, ready_at)]
    return _waiting_delays(history, stored_at, ready_at, PICKUP)


def _stored_at(history: jobhistory.JobHistory) -> float:
    """Return when callers were first told that the job was stored.

    Without such a reply, return the time of the last other one.
    """
    stored_times = [reply.at for reply in history.replies
                    if reply.kind == jobhistory.STORED]
    unconfirmed = [reply.at for reply in history.replies
                   if reply.kind != jobhistory.STORED]
    return min(stored_times) if stored_times else max(unconfirmed, default=0.0)


def _step_delays(history: jobhistory.JobHistory, tasks: list[jobhistory.Task],
                 picked_up_at: float) -> list[Delay]:
    ready_at = _step_ready_at(history, tasks, picked_up_at)
    candidates = [(task.first_done_at() or history.observed_until(),
                   _task_delays(history, task, ready_at)) for task in tasks]
    # Of tasks that still run, take the one with the longest delays.
    return max(candidates, key=lambda pair: (
        pair[0], sum(delay.seconds for delay in pair[1])))[1]


def _step_ready_at(history: jobhistory.JobHistory,
                   tasks: list[jobhistory.Task],
                   picked_up_at: float) -> float:
    """Return when a step could begin.

    Logs don't say which steps it depends on, so this is the last end of an
    earlier step before its first order.
    """
    first_ordered_at = min(task.first_ordered_at() for task in tasks)
    occurrence, number = tasks[0].step().split(".")
    if int(occurrence) > 0 and int(number) == 0:
        # The due time of a later occurrence isn't logged.
        return first_ordered_at
    ends = [done for step, earlier in history.steps().items()
            for done in (task.first_done_at() for task in earlier)
            if done is not None and done <= first_ordered_at
            and step.split(".")[0] == occurrence
            and int(step.split(".")[1]) < int(number)]
    return max(ends, default=(picked_up_at if occurrence == "0"
                              else first_ordered_at))


def _task_delays(history: jobhistory.JobHistory, task: jobhistory.Task,
                 ready_at: float) -> list[Delay]:
    delays = []
    runs = task.runs_in_order()
    for run, next_run in zip(runs, [*runs[1:], None]):
        delays += _waiting_delays(history, ready_at, run.began_at())
        ended_at = run.ended_at
        if ended_at is None:
            ended_at = (next_run.began_at() if next_run
                        else history.observed_until())
        delays += _run_delays(run, ended_at, next_run is not None)
        if run.outcome == messages.DONE:
            return delays
        ready_at = ended_at
    if runs[-1].ended_at is not None and not _is_cost_free_stop(runs[-1]):
        delays += _waiting_delays(history, ready_at, history.observed_until())
    return delays


def _waiting_delays(history: jobhistory.JobHistory, begin: float, end: float,
                    other_kind: str = PLACEMENT) -> list[Delay]:
    """Split a wait into the parts of changes of owner and the rest."""
    without_owner_s = time_without_owner_s(history, begin, end)
    takeover_s = _takeover_s(history, begin, end)
    return [Delay(NO_OWNER, begin, end, without_owner_s),
            Delay(TAKEOVER, begin, end, takeover_s),
            Delay(other_kind, begin, end, max(
                0.0, end - begin - without_owner_s - takeover_s))]


def _takeover_s(history: jobhistory.JobHistory, begin: float,
                end: float) -> float:
    """Return for how long successors held the job back between two times."""
    return sum(
        max(0.0, min(end, ownership.workers_known_at)
            - max(begin, ownership.ready_at))
        for ownership in history.ownerships
        if ownership.ready_at is not None
        and ownership.workers_known_at is not None
        and history.submitted_at() < ownership.claimed_at)


def _run_delays(run: jobhistory.Run, ended_at: float, superseded: bool
                ) -> list[Delay]:
    throttled = Delay(THROTTLED, run.began_at(), ended_at,
                      _throttled_s(run, ended_at), run)
    if run.outcome == messages.DONE:
        return [throttled]
    if run.ended_at is None and not superseded:
        # It may still be running.
        return ([throttled] if run.unanswered_at is None else
                [Delay.spanning(UNANSWERED, run.began_at(), ended_at, run)])
    if _is_cost_free_stop(run):
        return []
    if run.stop_reason == _STALLED_STOP_REASON and throttled.seconds:
        # It was moved because throttling stalled it.
        return [throttled]
    return [Delay.spanning(_lost_run_kind(run), run.began_at(), ended_at, run)]


def _is_cost_free_stop(run: jobhistory.Run) -> bool:
    return run.stop_reason.startswith(_COST_FREE_STOP_REASONS)


def _lost_run_kind(run: jobhistory.Run) -> str:
    """Return the kind of delay that the loss of a run caused."""
    if (run.unanswered_at is not None
            or run.stop_reason == _UNANSWERED_STOP_REASON):
        return UNANSWERED
    if run.stop_reason.startswith(_PREEMPTION_STOP_REASON):
        return "preempted for more urgent tasks"
    if run.stop_reason:
        return f"stopped ({run.stop_reason})"
    return run.outcome or "without a reported end"


def _throttled_s(run: jobhistory.Run, ended_at: float) -> float:
    """Return the time that a run lost to paces below 100 percent."""
    lost_s = 0.0
    for (at, pace), (until, _) in zip(
            run.pace_changes, [*run.pace_changes[1:], (ended_at, 0.0)]):
        fraction = min(max(pace, 0.0), FULL_PACE_PERCENT) / FULL_PACE_PERCENT
        lost_s += (1.0 - fraction) * max(0.0, min(until, ended_at) - at)
    return lost_s


def total_by_kind(delays: list[Delay]) -> dict[str, float]:
    """Return the total delay in seconds by cause, the longest first."""
    totals: dict[str, float] = collections.defaultdict(float)
    for delay in delays:
        totals[delay.kind] += delay.seconds
    return dict(sorted(totals.items(), key=lambda item: -item[1]))
