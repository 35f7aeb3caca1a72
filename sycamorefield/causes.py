"""Decide why a job was refused, late or failed, from its story alone.

A job that was stored and taken up is told by the largest of its losses.
"""

import typing

from sycamorefield.fleet import messages
from sycamorefield import losses as losses_mod
from sycamorefield import story as story_mod

# Losses under this, in seconds, aren't called late: urgent work is to be
# started within 1.1 s.
LATE_S = 1.1
# Above this share of its cores reserved a fleet counts as full.
FULL_SHARE = 0.95
# Above this share of its time in rounds an owner counts as saturated.
BUSY_SHARE = 0.8
# The use of the fleet is logged about each 2.5 s.
USAGE_NEAR_S = 3.0
# A takeover takes about 2.5 s, so an owner's trouble with the store that led
# to it is at most this much older.
STORE_LOST_S = 5.0
_NO_REASON = "no reason logged"


def cause(story: story_mod.Story) -> str:
    """Return the likely cause of what became of the job, in one sentence."""
    for rule in (_not_stored, _never_taken_up):
        told = rule(story)
        if told:
            return told
    found = losses_mod.losses(story)
    late = _late(story, found)
    state = story.finals[0].state if story.finals else ""
    after = f"{story.until() - story.handed_in():.2f} s after the handing in"
    if state == messages.CANCELLED:
        told = f"cancelled by its caller {after}"
        return f"{told}; until then {late}" if late else told
    if state == messages.JOB_FAILED:
        told = story.finals[0].reason or _failures(story)
        return f"failed for good {after}: {told}"
    if not state:
        return _open(story, late)
    return late or f"{state} {after}, and no wait of {LATE_S} s before"


def _not_stored(story: story_mod.Story) -> str:
    if story.stored() or not story.answers:
        return ""
    last = story.answers[-1]
    for answer in reversed(story.answers):
        if answer.kind == story_mod.UNCERTAIN:
            return (f"the store gave {answer.process} no sure answer and no "
                    "owner took the job up in these logs, so it probably "
                    f"wasn't stored: {answer.reason or _NO_REASON}")
    return f"refused by {last.process}: {last.reason or _NO_REASON}"


def _never_taken_up(story: story_mod.Story) -> str:
    if story.sightings or story.tasks or story.finals:
        return ""
    begin, end = story.handed_in(), story.until()
    told = "not taken up in these logs; "
    if not story.ownerships:
        return told + "no process logged that it owns the fleet"
    if begin > end:
        return told + (f"no owner's line is in them after {end:.3f}: nobody "
                       "owned the fleet, or they aren't whole")
    first = story.ownerships[0]
    if begin < first.claimed and not first.claim_logged:
        return told + (f"an owner's lines begin only at {first.claimed:.3f}, "
                       "so they aren't whole")
    without = losses_mod.ownerless_s(story, begin, end)
    return told + (f"in the {end - begin:.2f} s until an owner's lines end, "
                   f"nobody is seen to own the fleet for {without:.2f} s")


def _late(story: story_mod.Story, found: list[losses_mod.Loss]) -> str:
    """Name the largest loss, if the job lost much at all."""
    totals = losses_mod.by_kind(found)
    kind = next(iter(totals), "")
    seconds = totals.get(kind, 0.0)
    if seconds < LATE_S:
        return ""
    parts = [loss for loss in found if loss.kind == kind and loss.seconds]
    return _TELL.get(kind, _tell_lost)(story, seconds, parts)


def _tell_store(story: story_mod.Story, seconds: float,
                parts: list[losses_mod.Loss]) -> str:
    unsure = [answer for answer in story.answers
              if answer.kind != story_mod.STORED]
    return (f"not known to be stored for {seconds:.2f} s after it was first "
            f"handed in: {unsure[0].process} {unsure[0].kind}, "
            f"{unsure[0].reason or _NO_REASON}")


def _tell_no_owner(story: story_mod.Story, seconds: float,
                   parts: list[losses_mod.Loss]) -> str:
    longest = max(parts, key=lambda loss: loss.seconds)
    took_over = [own for own in story.ownerships
                 if longest.begin <= (own.ready or own.claimed)
                 and own.claimed <= longest.end]
    if not took_over:
        return f"waited {seconds:.2f} s without an owner that was ready"
    new = took_over[-1]
    told = (f"waited {seconds:.2f} s without an owner, until {new.process} "
            f"took the fleet over (claimed at {new.claimed:.3f})")
    place = story.ownerships.index(new)
    return told + (_tell_earlier(story, story.ownerships[place - 1], new)
                   if place else "")


def _tell_earlier(story: story_mod.Story, old: story_mod.Ownership,
                  new: story_mod.Ownership) -> str:
    """Tell why the owner before was of no use."""
    end = new.claimed if new.ready is None else new.ready
    # Of several lines on one loss the first.
    cut_off = [loss.at for loss in story.store_losses
               if loss.process == old.process
               and new.claimed - STORE_LOST_S <= loss.at <= end]
    if cut_off:
        return (f"; the store didn't answer {old.process}, the owner before, "
                f"at {cut_off[0]:.3f}")
    if old.over is None:
        return (f"; {old.process} wrote nothing as owner after "
                f"{old.last_act:.3f}: it was gone, stood still, or its log "
                "isn't whole")
    reason = f": {old.reason}" if old.reason else ""
    return f"; {old.process} lost it at {old.over:.3f}{reason}"


def _tell_take_up(story: story_mod.Story, seconds: float,
                  parts: list[losses_mod.Loss]) -> str:
    return (f"{story.sightings[0].process} owned the fleet but took the job "
            f"up only after {seconds:.2f} s")


def _tell_room(story: story_mod.Story, seconds: float,
               parts: list[losses_mod.Loss]) -> str:
    longest = max(parts, key=lambda loss: loss.seconds)
    told = (f"waited {seconds:.2f} s to be placed "
            f"(longest from {longest.begin:.3f} to {longest.end:.3f}): ")
    near = _usages(story, longest.begin, longest.end)
    if not near:
        return told + "no SF1834 near that time"
    least = min(near, key=lambda use: use.capacity_cores
                - use.reserved_cores)
    free = least.capacity_cores - least.reserved_cores
    gap = min(use.widest_gap_cores for use in near)
    told += (f"SF1834 at {least.at:.3f} shows {free:.0f} of "
             f"{least.capacity_cores:.0f} cores free, widest gap {gap:.1f}, "
             f"{max(use.waiting for use in near)} tasks waiting; ")
    unheard = max(use.unheard for use in near)
    if unheard:
        return told + (f"{unheard} workers of the earlier owner hadn't "
                       "reported yet")
    if any(use.busy_s > BUSY_SHARE * (use.busy_s + use.idle_s)
           for use in near):
        return told + "the owner was saturated"
    if least.reserved_cores > FULL_SHARE * least.capacity_cores:
        return told + "the fleet was full"
    return told + ("the fleet wasn't full, so a task wider than the gap, the "
                   "queue's share, a start time, data or advice held it")


def _usages(story: story_mod.Story, begin: float, end: float
            ) -> list[story_mod.Usage]:
    """Return the fleet's use in a time, or else the use nearest to it."""
    within = [use for use in story.usages if begin <= use.at <= end]
    if within:
        return within
    near = [use for use in story.usages
            if begin - USAGE_NEAR_S <= use.at <= end + USAGE_NEAR_S]
    return sorted(near, key=lambda use: abs(use.at - end))[:1]


def _tell_paced(story: story_mod.Story, seconds: float,
                parts: list[losses_mod.Loss]) -> str:
    workers = {loss.run.worker for loss in parts if loss.run}
    lowest = min((pace for loss in parts if loss.run
                  for _, pace in loss.run.paces), default=0.0)
    return (f"slowed for latency-critical tasks beside it: paces down to "
            f"{lowest:.0f}% cost {seconds:.2f} s on {_listed(workers)}")


def _tell_lost(story: story_mod.Story, seconds: float,
               parts: list[losses_mod.Loss]) -> str:
    runs = [loss.run for loss in parts if loss.run]
    where = _listed({run.worker for run in runs})
    if parts[0].kind == losses_mod.UNANSWERED:
        return (f"{count(len(runs), 'order')} got no answer, which took "
                f"{seconds:.2f} s in all, on {where}")
    return (f"{count(len(runs), 'run')} {parts[0].kind}, after "
            f"{seconds:.2f} s in all, on {where}")


def count(number: int, noun: str) -> str:
    """Return a number with its noun."""
    return f"{number} {noun}" + ("" if number == 1 else "s")


def _failures(story: story_mod.Story) -> str:
    failed = {name: [run.worker for run in task.in_order()
                     if run.how == messages.FAILED]
              for name, task in story.tasks.items()}
    if not any(failed.values()):
        return "no failed run in the logs"
    name, workers = max(failed.items(), key=lambda item: len(item[1]))
    return (f"task {name.rpartition(story.job_id + '.')[2]} failed "
            f"{len(workers)} times, on {_listed(set(workers))}")


def _listed(workers: set[str], most: int = 4) -> str:
    names = sorted(workers)
    if len(names) > most:
        return ", ".join(names[:most]) + f" and {len(names) - most} more"
    return ", ".join(names)


def _open(story: story_mod.Story, late: str) -> str:
    going = sum(1 for task in story.tasks.values()
                if task.in_order()[-1].over is None)
    return (f"open when its owner's lines end at {story.until():.3f}, with "
            f"{count(going, 'run')} not over; "
            + (f"until then {late}" if late
               else f"no wait of {LATE_S} s before"))


# How losses of a kind are told; all others are of runs that were lost.
_TELL: dict[str, typing.Callable[
    [story_mod.Story, float, list[losses_mod.Loss]], str]] = {
        losses_mod.STORE: _tell_store,
        losses_mod.NO_OWNER: _tell_no_owner,
        losses_mod.TAKE_UP: _tell_take_up,
        losses_mod.ROOM: _tell_room,
        losses_mod.PACED: _tell_paced}
