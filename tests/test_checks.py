"""Prove the time line's checker finds each breach, and only breaches."""

import pytest

from sycamorefield import checks
from sycamorefield import events


def line(t, event, process="w1", **fields):
    """Return one event of a time line."""
    return {"t": t, "event": event.code, "process": process, **fields}


def began(t, worker, task, progress=0.0):
    """Return the event of a task of job j beginning."""
    return line(t, events.TASK_BEGAN, worker, worker=worker, job="j",
                task=task, progress=progress)


def ended(t, worker, task, state, progress):
    """Return the event of a task of job j ending."""
    return line(t, events.TASK_ENDED, worker, worker=worker, job="j",
                task=task, state=state, progress=progress, ended_at=t)


LOST = line(4.5, events.WORKER_LOST, "entry-1", worker="w1")
RECORDED = line(3.2, events.TASK_FINISHED, "entry-1", task="j.1", job="j")
SERVED = line(2.0, events.REQUEST_SERVED, request_id="r1")
TOLD = line(3.0, events.CALLER_TOLD_NOT_RUN, "load", request_id="r1")
EVICTED = [began(1.0, "w1", "j.1"), ended(3.0, "w1", "j.1", "stopped", 0.5)]
LAPSED = [began(1.0, "w1", "j.1"), ended(3.0, "w1", "j.1", "lapsed", 0.5)]
FINISHED = [began(1.0, "w1", "j.1"), ended(3.0, "w1", "j.1", "done", 1.0)]

TIME_LINES = [
    ("resumed at its checkpoint", EVICTED + [began(5.0, "w2", "j.2", 0.5)],
     0),
    ("evicted, resumed from nothing", EVICTED + [began(5.0, "w2", "j.2")],
     1),
    ("in two places", [began(1.0, "w1", "j.1"), began(2.0, "w2", "j.2")], 1),
    ("killed with its worker", [
        began(1.0, "w1", "j.1"), LOST, began(5.0, "w2", "j.2")], 0),
    ("lapsed out of reach", LAPSED + [LOST, began(5.0, "w2", "j.2")], 0),
    ("lapsed within reach", LAPSED + [began(5.0, "w2", "j.2")], 1),
    ("done, then again", FINISHED + [began(5.0, "w2", "j.2", 1.0)], 1),
    ("done, lost with its worker",
     FINISHED + [LOST, began(5.0, "w2", "j.2")], 0),
    ("done and recorded, worker lost, again",
     FINISHED + [RECORDED, LOST, began(5.0, "w2", "j.2", 1.0)], 1),
    ("told not run, but ran", [SERVED, TOLD], 1),
    ("told not run, not run", [TOLD], 0),
    ("rules behind at the end", [
        line(1.0, events.RULES_APPLIED, "entry-1", revision=3),
        line(2.0, events.RULES_CHANGED, "entry-2", revision=5),
        line(9.0, events.PROCESS_STOPPED, "entry-1")], 1),
    ("rules went back", [
        line(1.0, events.RULES_APPLIED, "entry-1", revision=5),
        line(2.0, events.RULES_APPLIED, "entry-1", revision=3)], 1),
    ("a process's own assertion", [
        line(1.0, events.INVARIANT_BROKEN, invariant="capacity")], 1),
]


@pytest.mark.parametrize("label,lines,count", TIME_LINES,
                         ids=[row[0] for row in TIME_LINES])
def test_checker_counts_findings(label, lines, count):
    found = checks.check(sorted(lines, key=lambda entry: entry["t"]))
    assert len(found) == count, [str(f) for f in found]
