"""Find why a job was refused, late or failed, from its history alone.

For a job that was stored and picked up, that is the longest of its delays.
"""

import typing

from sycamorefield import delays
from sycamorefield.fleet import messages
from sycamorefield import jobhistory

# A shorter total delay doesn't count as late: urgent jobs are to start within
# 1.1 s.
LATE_THRESHOLD_S = 1.1
# A fleet with more than this fraction of its cores reserved counts as full.
FULL_FRACTION = 0.95
# An owner that spends more than this fraction of its time in placement rounds
# counts as saturated.
SATURATED_FRACTION = 0.8
# How far from a wait a usage line may be to describe it: fleet usage is logged
# about every 2.5 s.
USAGE_MARGIN_S = 3.0
# A store outage that caused a takeover began at most this long before it: a
# takeover takes about 2.5 s.
STORE_OUTAGE_WINDOW_S = 5.0
_NO_REASON = "no reason logged"


def likely_cause(history: jobhistory.JobHistory) -> str:
    """Return the likely cause of the job's outcome, in one sentence."""
    for describe in (_describe_not_stored, _describe_not_picked_up):
        text = describe(history)
        if text:
            return text
    job_delays = delays.find_delays(history)
    largest_delay = _describe_largest_delay(history, job_delays)
    state = history.job_ends[0].state if history.job_ends else ""
    elapsed = (f"{history.observed_until() - history.submitted_at():.2f} s "
               "after its submission")
    if state == messages.CANCELLED:
        text = f"cancelled by its caller {elapsed}"
        return f"{text}; until then {largest_delay}" if largest_delay else text
    if state == messages.JOB_FAILED:
        text = history.job_ends[0].reason or _describe_failures(history)
        return f"failed {elapsed}: {text}"
    if not state:
        return _describe_open_job(history, largest_delay)
    return largest_delay or (f"{state} {elapsed}, without a delay of "
                             f"{LATE_THRESHOLD_S} s or more")


def _describe_not_stored(history: jobhistory.JobHistory) -> str:
    if history.is_stored() or not history.replies:
        return ""
    last = history.replies[-1]
    for reply in reversed(history.replies):
        if reply.kind == jobhistory.UNCERTAIN:
            return (f"the store didn't confirm the write of {reply.process} "
                    "and no owner picked the job up in these logs, so it "
                    "probably wasn't stored: "
                    f"{reply.reason or _NO_REASON}")
    return f"refused by {last.process}: {last.reason or _NO_REASON}"


def _describe_not_picked_up(history: jobhistory.JobHistory) -> str:
    if history.pickups or history.tasks or history.job_ends:
        return ""
    begin, end = history.submitted_at(), history.observed_until()
    text = "not picked up in these logs; "
    if not history.ownerships:
        return text + "no process logged that it owns the fleet"
    if begin > end:
        return text + (f"no owner logged anything after {end:.3f}: the fleet "
                       "had no owner, or the logs are incomplete")
    first = history.ownerships[0]
    if begin < first.claimed_at and not first.claim_logged:
        return text + (f"an owner's lines begin only at "
                       f"{first.claimed_at:.3f}, so the logs are incomplete")
    without_owner_s = delays.time_without_owner_s(history, begin, end)
    return text + (f"in the {end - begin:.2f} s until an owner's last line, "
                   f"the fleet had no owner for {without_owner_s:.2f} s")


def _describe_largest_delay(history: jobhistory.JobHistory,
                            job_delays: list[delays.Delay]) -> str:
    """Describe the kind with the longest total delay, if it made a job late.

    Return an empty text if the total is under LATE_THRESHOLD_S.
    """
    totals = delays.total_by_kind(job_delays)
    kind = next(iter(totals), "")
    seconds = totals.get(kind, 0.0)
    if seconds < LATE_THRESHOLD_S:
        return ""
    kind_delays = [delay for delay in job_delays
                   if delay.kind == kind and delay.seconds]
    return _DESCRIBE_BY_KIND.get(kind, _describe_lost_runs)(
        history, seconds, kind_delays)


def _describe_store_delay(history: jobhistory.JobHistory, seconds: float,
                          kind_delays: list[delays.Delay]) -> str:
    unconfirmed = [reply for reply in history.replies
                   if reply.kind != jobhistory.STORED]
    return (f"not known to be stored for {seconds:.2f} s after it was first "
            f"submitted: {unconfirmed[0].process} {unconfirmed[0].kind}, "
            f"{unconfirmed[0].reason or _NO_REASON}")


def _describe_no_owner(history: jobhistory.JobHistory, seconds: float,
                       kind_delays: list[delays.Delay]) -> str:
    longest = max(kind_delays, key=lambda delay: delay.seconds)
    successors = [ownership for ownership in history.ownerships
                  if longest.begin <= (ownership.ready_at
                                       or ownership.claimed_at)
                  and ownership.claimed_at <= longest.end]
    if not successors:
        return f"waited {seconds:.2f} s without an owner that was ready"
    new = successors[-1]
    text = (f"waited {seconds:.2f} s without an owner, until {new.process} "
            f"took over the fleet (claimed at {new.claimed_at:.3f})")
    index = history.ownerships.index(new)
    return text + (_describe_previous_owner(
        history, history.ownerships[index - 1], new) if index else "")


def _describe_takeover(history: jobhistory.JobHistory, seconds: float,
                       kind_delays: list[delays.Delay]) -> str:
    return (f"held back for {seconds:.2f} s after a change of owner, until "
            "the workers of the owner before had reported")


def _describe_previous_owner(history: jobhistory.JobHistory,
                             previous: jobhistory.Ownership,
                             new: jobhistory.Ownership) -> str:
    """Describe why the previous owner stopped serving the fleet."""
    end = new.claimed_at if new.ready_at is None else new.ready_at
    # One outage may be logged several times; the first time counts.
    outages = [outage.at for outage in history.store_outages
               if outage.process == previous.process
               and new.claimed_at - STORE_OUTAGE_WINDOW_S <= outage.at <= end]
    if outages:
        return (f"; the store didn't answer {previous.process}, the previous "
                f"owner, at {outages[0]:.3f}")
    if previous.ended_at is None:
        return (f"; {previous.process} logged nothing as owner after "
                f"{previous.last_active_at:.3f}: it had ended or hung, or its "
                "log is incomplete")
    reason = f": {previous.reason}" if previous.reason else ""
    return f"; {previous.process} lost it at {previous.ended_at:.3f}{reason}"


def _describe_pickup_delay(history: jobhistory.JobHistory, seconds: float,
                           kind_delays: list[delays.Delay]) -> str:
    return (f"{history.pickups[0].process} owned the fleet but picked up the "
            f"job only after {seconds:.2f} s")


def _describe_placement_delay(history: jobhistory.JobHistory, seconds: float,
                              kind_delays: list[delays.Delay]) -> str:
    longest = max(kind_delays, key=lambda delay: delay.seconds)
    text = (f"waited {seconds:.2f} s to be placed "
            f"(longest from {longest.begin:.3f} to {longest.end:.3f}): ")
    usages = _usages_during(history, longest.begin, longest.end)
    if not usages:
        return text + "no SF1834 near that time"
    fullest = min(usages, key=lambda usage: usage.capacity_cores
                  - usage.reserved_cores)
    free = fullest.capacity_cores - fullest.reserved_cores
    widest_gap_cores = min(usage.widest_gap_cores for usage in usages)
    text += (f"SF1834 at {fullest.at:.3f} shows {free:.0f} of "
             f"{fullest.capacity_cores:.0f} cores free, at most "
             f"{widest_gap_cores:.1f} on one worker, "
             f"{max(usage.waiting_tasks for usage in usages)} tasks waiting; ")
    awaited = max(usage.awaited_workers for usage in usages)
    if awaited:
        return text + (f"{awaited} workers of the previous owner hadn't "
                       "reported yet")
    if any(usage.rounds_busy_s > SATURATED_FRACTION * (
            usage.rounds_busy_s + usage.rounds_waited_s) for usage in usages):
        return text + "the owner was saturated"
    evacuated = max(usage.evacuated_workers for usage in usages)
    if evacuated:
        return text + (f"{evacuated} workers were closed by the evacuation of "
                       "their data centre")
    if fullest.reserved_cores > FULL_FRACTION * fullest.capacity_cores:
        return text + "the fleet was full"
    return text + ("the fleet wasn't full, so the task needed more cores than "
                   "one worker had free, or its queue's share, a start time, "
                   "data or advice held it back")


def _usages_during(history: jobhistory.JobHistory, begin: float, end: float
                   ) -> list[jobhistory.FleetUsage]:
    """Return the usages between begin and end, or else the nearest one."""
    within = [usage for usage in history.usages if begin <= usage.at <= end]
    if within:
        return within
    usages = [usage for usage in history.usages
              if begin - USAGE_MARGIN_S <= usage.at <= end + USAGE_MARGIN_S]
    return sorted(usages, key=lambda usage: abs(usage.at - end))[:1]


def _describe_throttling(history: jobhistory.JobHistory, seconds: float,
                         kind_delays: list[delays.Delay]) -> str:
    workers = {delay.run.worker for delay in kind_delays if delay.run}
    lowest_pace = min((pace for delay in kind_delays if delay.run
                       for _, pace in delay.run.pace_changes), default=0.0)
    return (f"throttled for latency-critical tasks on the same worker: "
            f"paces down to {lowest_pace:.0f}% cost {seconds:.2f} s on "
            f"{_join_limited(workers)}")


def _describe_lost_runs(history: jobhistory.JobHistory, seconds: float,
                        kind_delays: list[delays.Delay]) -> str:
    runs = [delay.run for delay in kind_delays if delay.run]
    where = _join_limited({run.worker for run in runs})
    if kind_delays[0].kind == delays.UNANSWERED:
        return (f"{format_count(len(runs), 'order')} got no answer, which "
                f"took {seconds:.2f} s in all, on {where}")
    return (f"{format_count(len(runs), 'run')} {kind_delays[0].kind}, after "
            f"{seconds:.2f} s in all, on {where}")


def format_count(number: int, noun: str) -> str:
    """Return a number with its noun in singular or plural."""
    return f"{number} {noun}" + ("" if number == 1 else "s")


def _describe_failures(history: jobhistory.JobHistory) -> str:
    failed = {name: [run.worker for run in task.runs_in_order()
                     if run.outcome == messages.FAILED]
              for name, task in history.tasks.items()}
    if not any(failed.values()):
        return "no failed run in the logs"
    name, workers = max(failed.items(), key=lambda item: len(item[1]))
    return (f"task {name.rpartition(history.job_id + '.')[2]} failed "
            f"{len(workers)} times, on {_join_limited(set(workers))}")


def _join_limited(workers: set[str], max_names: int = 4) -> str:
    names = sorted(workers)
    if len(names) > max_names:
        return (", ".join(names[:max_names])
                + f" and {len(names) - max_names} more")
    return ", ".join(names)


def _describe_open_job(history: jobhistory.JobHistory,
                       largest_delay: str) -> str:
    open_runs = sum(1 for task in history.tasks.values()
                    if task.runs_in_order()[-1].ended_at is None)
    return (f"open at its owner's last line, at "
            f"{history.observed_until():.3f}, with "
            f"{format_count(open_runs, 'run')} unfinished; "
            + (f"until then {largest_delay}" if largest_delay
               else f"no delay of {LATE_THRESHOLD_S} s or more before"))


# Functions that describe delays of a kind; other kinds are lost runs.
_DESCRIBE_BY_KIND: dict[str, typing.Callable[
    [jobhistory.JobHistory, float, list[delays.Delay]], str]] = {
        delays.STORE: _describe_store_delay,
        delays.NO_OWNER: _describe_no_owner,
        delays.TAKEOVER: _describe_takeover,
        delays.PICKUP: _describe_pickup_delay,
        delays.PLACEMENT: _describe_placement_delay,
        delays.THROTTLED: _describe_throttling}
