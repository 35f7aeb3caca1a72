"""Tell the story of a job in a few lines of text."""

import collections
import statistics

from sycamorefield import causes
from sycamorefield.fleet import messages
from sycamorefield import losses
from sycamorefield import story as story_mod

# Further lines of a kind are counted, not shown.
MOST_LINES = 6
# Losses under this, in seconds, are not shown: lines of runs are up to 0.1 s
# later than what they tell.
SHOWN_LOSS_S = 0.1


def render(story: story_mod.Story) -> list[str]:
    """Return the lines that explain what became of a job."""
    queue = f" (queue {story.queue})" if story.queue else ""
    lines = [f"job {story.job_id}{queue}"]
    lines += _few([_answer(answer) for answer in story.answers]
                  or [_row("handed in", "not in these logs")])
    lines += _few([_sighting(story, number)
                   for number in range(len(story.sightings))]
                  or [_row("taken up", "not in these logs")])
    lines += _few(_owners(story))
    lines += _few([_step(story, name, tasks)
                   for name, tasks in story.steps().items()]
                  or [_row("runs", "none ordered in these logs")])
    if story.cancelled is not None:
        lines.append(_row("cancelled", f"{_after(story, story.cancelled)} "
                          "by its caller"))
    lines += _lost(story)
    lines.append(_final(story))
    if story.unreadable:
        lines.append(_row("note", f"{story.unreadable} lines lack what "
                          "belongs in them"))
    lines.append(_row("cause", causes.cause(story)))
    return lines


def _row(title: str, text: str) -> str:
    return f"  {title:10} {text}"


def _few(lines: list[str]) -> list[str]:
    if len(lines) <= MOST_LINES:
        return lines
    return [*lines[:MOST_LINES],
            _row("", f"and {len(lines) - MOST_LINES} more")]


def _after(story: story_mod.Story, at: float) -> str:
    return f"{at:.3f} ({at - story.handed_in():+.3f} s)"


def _answer(answer: story_mod.Answer) -> str:
    reason = f": {answer.reason}" if answer.reason else ""
    return _row("handed in", f"{answer.at:.3f} at {answer.process}, "
                f"{answer.kind}{reason}")


def _sighting(story: story_mod.Story, number: int) -> str:
    seen = story.sightings[number]
    return _row("taken on" if number else "taken up",
                f"{_after(story, seen.at)} by {seen.process}")


def _owners(story: story_mod.Story) -> list[str]:
    """Tell the changes of owner while the job was open."""
    told = []
    begin, end = story.handed_in(), story.until()
    for own in story.ownerships:
        if own.over is not None and begin <= own.over <= end:
            reason = f": {own.reason}" if own.reason else ""
            told.append((own.over, f"{_after(story, own.over)} "
                         f"{own.process} lost the fleet{reason}"))
        if begin <= own.claimed <= end and own.claim_logged:
            ready = ("never ready" if own.ready is None
                     else f"ready {_after(story, own.ready)}")
            told.append((own.claimed, f"{_after(story, own.claimed)} "
                         f"{own.process} claimed the fleet, {ready}"))
    return [_row("owner", text) for _, text in sorted(told)]


def _step(story: story_mod.Story, name: str, tasks: list[story_mod.Task]
          ) -> str:
    runs = [run for task in tasks for run in task.runs.values()]
    begins = [task.first_order() for task in tasks]
    parts = [f"{causes.count(len(tasks), 'task')}, "
             f"first orders {_after(story, min(begins))}"]
    if max(begins) > min(begins):
        parts[0] += f" to {_after(story, max(begins))}"
    parts.append(causes.count(len(runs), "run") + " ordered")
    unanswered = sum(run.unanswered is not None for run in runs)
    if unanswered:
        parts.append(causes.count(unanswered, "order") + " without answer")
    ends = collections.Counter(run.how or "without an end" for run in runs)
    parts.append(", ".join(f"{count} {how}" for how, count in
                           ends.most_common()))
    parts.append(_lengths(runs))
    slowed = sum(any(pace < losses.FULL_PACE for _, pace in run.paces)
                 for run in runs)
    if slowed:
        parts.append(causes.count(slowed, "run") + " slowed")
    return _row(f"step {name}", "; ".join(part for part in parts if part))


def _lengths(runs: list[story_mod.Run]) -> str:
    """Tell how long it took from order to end."""
    took = [run.over - run.begin() for run in runs
            if run.over is not None and run.how == messages.DONE]
    if not took:
        return ""
    return (f"order to done {min(took):.2f} to {max(took):.2f} s, "
            f"median {statistics.median(took):.2f}")


def _lost(story: story_mod.Story) -> list[str]:
    """Tell what the slowest task of each step lost, by cause."""
    totals = losses.by_kind(losses.losses(story))
    parts = [f"{kind} {seconds:.2f} s" for kind, seconds in totals.items()
             if seconds >= SHOWN_LOSS_S]
    return [_row("lost to", ", ".join(parts))] if parts else []


def _final(story: story_mod.Story) -> str:
    if not story.finals:
        return _row("final", "none until an owner's lines end at "
                    f"{_after(story, story.until())}")
    final = story.finals[0]
    told = f"{final.state} {_after(story, final.at)} by {final.process}"
    if len(story.finals) > 1:
        told += f"; logged {len(story.finals)} times"
    return _row("final", told)
