"""Format the history of a job as a few lines of text."""

import collections
import statistics

from sycamorefield import causes
from sycamorefield import delays
from sycamorefield.fleet import messages
from sycamorefield import jobhistory

# Further lines of the same kind are only counted.
MAX_LINES_PER_KIND = 6
# Shorter delays are not shown: log lines about runs are written up to 0.1 s
# after the event.
MIN_SHOWN_DELAY_S = 0.1


def render(history: jobhistory.JobHistory) -> list[str]:
    """Return lines that explain the outcome of a job and its likely cause."""
    queue = f" (queue {history.queue})" if history.queue else ""
    lines = [f"job {history.job_id}{queue}"]
    lines += _truncate([_format_reply(reply) for reply in history.replies]
                       or [_format_row("submitted", "not in these logs")])
    lines += _truncate([_format_pickup(history, index)
                        for index in range(len(history.pickups))]
                       or [_format_row("picked up", "not in these logs")])
    lines += _truncate(_format_owner_changes(history))
    lines += _truncate([_format_step(history, name, tasks)
                        for name, tasks in history.steps().items()]
                       or [_format_row("runs", "none ordered in these logs")])
    if history.cancelled_at is not None:
        lines.append(_format_row(
            "cancelled", f"{_format_time(history, history.cancelled_at)} "
            "by its caller"))
    lines += _format_delays(history)
    lines.append(_format_job_end(history))
    if history.invalid_lines:
        subject = ("1 line has" if history.invalid_lines == 1
                   else f"{history.invalid_lines} lines have")
        lines.append(_format_row(
            "note", f"{subject} missing or malformed fields"))
    lines.append(_format_row("cause", causes.likely_cause(history)))
    return lines


def _format_row(title: str, text: str) -> str:
    return f"  {title:10} {text}"


def _truncate(lines: list[str]) -> list[str]:
    if len(lines) <= MAX_LINES_PER_KIND:
        return lines
    return [*lines[:MAX_LINES_PER_KIND],
            _format_row("", f"and {len(lines) - MAX_LINES_PER_KIND} more")]


def _format_time(history: jobhistory.JobHistory, at: float) -> str:
    return f"{at:.3f} ({at - history.submitted_at():+.3f} s)"


def _format_reply(reply: jobhistory.SubmissionReply) -> str:
    reason = f": {reply.reason}" if reply.reason else ""
    return _format_row("submitted", f"{reply.at:.3f} at {reply.process}, "
                       f"{reply.kind}{reason}")


def _format_pickup(history: jobhistory.JobHistory, index: int) -> str:
    pickup = history.pickups[index]
    return _format_row(
        "taken over" if index else "picked up",
        f"{_format_time(history, pickup.at)} by {pickup.process}")


def _format_owner_changes(history: jobhistory.JobHistory) -> list[str]:
    """Format the changes of owner while the job was open."""
    owner_changes = []
    begin, end = history.submitted_at(), history.observed_until()
    for ownership in history.ownerships:
        if (ownership.ended_at is not None
                and begin <= ownership.ended_at <= end):
            reason = f": {ownership.reason}" if ownership.reason else ""
            owner_changes.append((
                ownership.ended_at,
                f"{_format_time(history, ownership.ended_at)} "
                f"{ownership.process} lost the fleet{reason}"))
        if begin <= ownership.claimed_at <= end and ownership.claim_logged:
            ready = ("never ready" if ownership.ready_at is None
                     else f"ready {_format_time(history, ownership.ready_at)}")
            owner_changes.append((
                ownership.claimed_at,
                f"{_format_time(history, ownership.claimed_at)} "
                f"{ownership.process} claimed the fleet, {ready}"))
    return [_format_row("owner", text) for _, text in sorted(owner_changes)]


def _format_step(history: jobhistory.JobHistory, name: str,
                 tasks: list[jobhistory.Task]) -> str:
    runs = [run for task in tasks for run in task.runs.values()]
    order_times = [task.first_ordered_at() for task in tasks]
    parts = [f"{causes.format_count(len(tasks), 'task')}, "
             f"first orders {_format_time(history, min(order_times))}"]
    if max(order_times) > min(order_times):
        parts[0] += f" to {_format_time(history, max(order_times))}"
    parts.append(causes.format_count(len(runs), "run") + " ordered")
    unanswered = sum(run.unanswered_at is not None for run in runs)
    if unanswered:
        parts.append(causes.format_count(unanswered, "order")
                     + " without answer")
    ends = collections.Counter(run.outcome or "without a reported end"
                               for run in runs)
    parts.append(", ".join(f"{number} {outcome}" for outcome, number in
                           ends.most_common()))
    parts.append(_format_durations(runs))
    throttled = sum(any(pace < delays.FULL_PACE_PERCENT
                        for _, pace in run.pace_changes) for run in runs)
    if throttled:
        parts.append(causes.format_count(throttled, "run") + " throttled")
    return _format_row(f"step {name}",
                       "; ".join(part for part in parts if part))


def _format_durations(runs: list[jobhistory.Run]) -> str:
    """Format how long the runs that are done took from order to end."""
    durations = [run.ended_at - run.began_at() for run in runs
                 if run.ended_at is not None and run.outcome == messages.DONE]
    if not durations:
        return ""
    return (f"order to done {min(durations):.2f} to {max(durations):.2f} s, "
            f"median {statistics.median(durations):.2f}")


def _format_delays(history: jobhistory.JobHistory) -> list[str]:
    """Format the delays of the slowest task of each step, by cause."""
    totals = delays.total_by_kind(delays.find_delays(history))
    parts = [f"{kind} {seconds:.2f} s" for kind, seconds in totals.items()
             if seconds >= MIN_SHOWN_DELAY_S]
    return [_format_row("delays", ", ".join(parts))] if parts else []


def _format_job_end(history: jobhistory.JobHistory) -> str:
    if not history.job_ends:
        return _format_row(
            "final", "none until the last line of an owner at "
            f"{_format_time(history, history.observed_until())}")
    job_end = history.job_ends[0]
    text = (f"{job_end.state} {_format_time(history, job_end.at)} "
            f"by {job_end.process}")
    if len(history.job_ends) > 1:
        text += f"; logged {len(history.job_ends)} times"
    return _format_row("final", text)
