"""Add up what a job lost to each cause, from its story alone.

Of each step only the task that ended last counts, as it holds up what
follows.
"""

import collections
import dataclasses

from sycamorefield.fleet import messages
from sycamorefield import story as story_mod

FULL_PACE = 100.0

STORE = "the store"
NO_OWNER = "no owner"
TAKE_UP = "taking up"
ROOM = "room"
PACED = "paced"
UNANSWERED = "unanswered"
# Why a run was stopped, where that costs its job nothing.
_HARMLESS_STOPS = ("done elsewhere", "job ")
_NO_ANSWER_STOP = "start got no answer"
_STALLED_STOP = "little progress here"
_ROOM_STOP = "room for "


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """Hold what a job lost to one cause, between two times, in seconds."""

    kind: str
    begin: float
    end: float
    seconds: float
    # The run that was lost.
    run: story_mod.Run | None = None

    @classmethod
    def between(cls, kind: str, begin: float, end: float,
                run: story_mod.Run | None = None) -> "Loss":
        """Return a loss of all the time between begin and end."""
        return cls(kind, begin, end, max(0.0, end - begin), run)


def ownerless(story: story_mod.Story) -> list[tuple[float, float]]:
    """Return from when to when nobody is seen to have owned the fleet."""
    gaps = []
    for before, after in zip(story.ownerships, story.ownerships[1:]):
        begin = before.last_act
        if before.over is not None:
            begin = min(begin, before.over)
        end = story.log_end if after.ready is None else after.ready
        if begin < end:
            gaps.append((begin, end))
    first = story.ownerships[0] if story.ownerships else None
    if first is not None and first.claim_logged:
        ready = first.claimed if first.ready is None else first.ready
        gaps.insert(0, (story.log_begin, ready))
    return gaps


def ownerless_s(story: story_mod.Story, begin: float, end: float) -> float:
    """Return for how long of a time nobody is seen to have owned it."""
    return sum(max(0.0, min(end, until) - max(begin, since))
               for since, until in ownerless(story))


def losses(story: story_mod.Story) -> list[Loss]:
    """Return what the job lost, part by part."""
    found: list[Loss] = []
    ready = story.handed_in()
    if story.sightings:
        ready = max(ready, story.sightings[0].at)
        stored = min(ready, _stored_at(story))
        found.append(Loss.between(STORE, story.handed_in(), stored))
        found += _take_up(story, stored, ready)
    for tasks in story.steps().values():
        found += _step_losses(story, tasks, ready)
    if not story.tasks:
        found += _waited(story, ready, story.until())
    elif not story.finals and all(task.done_at() is not None
                                  for task in story.tasks.values()):
        # A step that follows was never begun.
        last = max(task.done_at() or 0.0 for task in story.tasks.values())
        found += _waited(story, last, story.until())
    return found


def _take_up(story: story_mod.Story, stored: float, ready: float
             ) -> list[Loss]:
    """Tell a wait for a new owner from one that an owner's delay made.

    An owner that is cut off from the store still acts on its workers'
    reports, but sees no new jobs until another takes over.
    """
    taker = story.sightings[0].process
    if any(own.process == taker and own.claim_logged
           and stored < own.claimed <= ready for own in story.ownerships):
        return [Loss.between(NO_OWNER, stored, ready)]
    return _waited(story, stored, ready, TAKE_UP)


def _stored_at(story: story_mod.Story) -> float:
    """Return by when the job was stored, as far as callers were told."""
    stored = [answer.at for answer in story.answers
              if answer.kind == story_mod.STORED]
    unsure = [answer.at for answer in story.answers
              if answer.kind != story_mod.STORED]
    return min(stored) if stored else max(unsure, default=0.0)


def _step_losses(story: story_mod.Story, tasks: list[story_mod.Task],
                 taken_up: float) -> list[Loss]:
    ready = _ready(story, tasks, taken_up)
    lost = [(task.done_at() or story.until(),
             _task_losses(story, task, ready)) for task in tasks]
    # Of tasks that go on, the one that lost most.
    return max(lost, key=lambda pair: (
        pair[0], sum(loss.seconds for loss in pair[1])))[1]


def _ready(story: story_mod.Story, tasks: list[story_mod.Task],
           taken_up: float) -> float:
    """Return when a step could begin.

    Logs don't say what it waits for; it's taken to be the last end of
    earlier steps before its first order.
    """
    begun = min(task.first_order() for task in tasks)
    occurrence, number = tasks[0].step().split(".")
    if int(occurrence) > 0 and int(number) == 0:
        # When it was due isn't logged.
        return begun
    ends = [done for step, earlier in story.steps().items()
            for done in (task.done_at() for task in earlier)
            if done is not None and done <= begun
            and step.split(".")[0] == occurrence
            and int(step.split(".")[1]) < int(number)]
    return max(ends, default=taken_up if occurrence == "0" else begun)


def _task_losses(story: story_mod.Story, task: story_mod.Task,
                 ready: float) -> list[Loss]:
    found = []
    runs = task.in_order()
    for run, following in zip(runs, [*runs[1:], None]):
        found += _waited(story, ready, run.begin())
        over = run.over
        if over is None:
            over = following.begin() if following else story.until()
        found += _run_losses(run, over, following is not None)
        if run.how == messages.DONE:
            return found
        ready = over
    if runs[-1].over is not None and not _harmless(runs[-1]):
        found += _waited(story, ready, story.until())
    return found


def _waited(story: story_mod.Story, begin: float, end: float,
            otherwise: str = ROOM) -> list[Loss]:
    """Split a wait into time without an owner and time lost otherwise."""
    without = ownerless_s(story, begin, end)
    return [Loss(NO_OWNER, begin, end, without),
            Loss(otherwise, begin, end, max(0.0, end - begin - without))]


def _run_losses(run: story_mod.Run, over: float, superseded: bool
                ) -> list[Loss]:
    slowed = Loss(PACED, run.begin(), over, _slowed_s(run, over), run)
    if run.how == messages.DONE:
        return [slowed]
    if run.over is None and not superseded:
        # It may still go on.
        return ([slowed] if run.unanswered is None else
                [Loss.between(UNANSWERED, run.begin(), over, run)])
    if _harmless(run):
        return []
    if run.told_to_stop == _STALLED_STOP and slowed.seconds:
        # It was moved because it was slowed.
        return [slowed]
    return [Loss.between(_lost_kind(run), run.begin(), over, run)]


def _harmless(run: story_mod.Run) -> bool:
    return run.told_to_stop.startswith(_HARMLESS_STOPS)


def _lost_kind(run: story_mod.Run) -> str:
    """Say how a run was lost."""
    if run.unanswered is not None or run.told_to_stop == _NO_ANSWER_STOP:
        return UNANSWERED
    if run.told_to_stop.startswith(_ROOM_STOP):
        return "stopped to make room for more urgent tasks"
    if run.told_to_stop:
        return f"stopped ({run.told_to_stop})"
    return run.how or "without a report of an end"


def _slowed_s(run: story_mod.Run, over: float) -> float:
    """Return how much time a run lost to paces below the full one."""
    lost = 0.0
    for (at, pace), (until, _) in zip(run.paces, [*run.paces[1:],
                                                  (over, 0.0)]):
        share = min(max(pace, 0.0), FULL_PACE) / FULL_PACE
        lost += (1.0 - share) * max(0.0, min(until, over) - at)
    return lost


def by_kind(found: list[Loss]) -> dict[str, float]:
    """Return the seconds lost to each cause, the largest first."""
    totals: dict[str, float] = collections.defaultdict(float)
    for loss in found:
        totals[loss.kind] += loss.seconds
    return dict(sorted(totals.items(), key=lambda item: -item[1]))
