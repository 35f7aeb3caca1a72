"""Test that the checks of a time line find exactly the violations."""

import pytest

from sycamorefield import checks
from sycamorefield import events


def line(t, event, process="w1", **fields):
    """Return one event of a time line."""
    return {"t": t, "event": event.code, "process": process, **fields}


def task_began(t, worker, task, progress=0.0):
    """Return the event of a worker that began a task of job j."""
    return line(t, events.TASK_BEGAN, worker, worker=worker, job="j",
                task=task, progress=progress)


def task_ended(t, worker, task, state, progress):
    """Return the event of a worker that ended a task of job j."""
    return line(t, events.TASK_ENDED, worker, worker=worker, job="j",
                task=task, state=state, progress=progress, ended_at=t)


LOST = line(4.5, events.WORKER_LOST, "entry-1", worker="w1")
OUTCOME_RECORDED = line(3.2, events.TASK_FINISHED, "entry-1", task="j.1",
                        job="j")
SERVED = line(2.0, events.REQUEST_SERVED, request_id="r1")
CALLER_TOLD = line(3.0, events.CALLER_TOLD_NOT_RUN, "load", request_id="r1")
EVICTED = [task_began(1.0, "w1", "j.1"),
           task_ended(3.0, "w1", "j.1", "stopped", 0.5)]
LAPSED = [task_began(1.0, "w1", "j.1"),
          task_ended(3.0, "w1", "j.1", "lapsed", 0.5)]
FINISHED = [task_began(1.0, "w1", "j.1"),
            task_ended(3.0, "w1", "j.1", "done", 1.0)]

TIME_LINES = [
    ("resumed at its checkpoint",
     EVICTED + [task_began(5.0, "w2", "j.2", 0.5)], 0),
    ("evicted, restarted without its checkpoint",
     EVICTED + [task_began(5.0, "w2", "j.2")], 1),
    ("in two places", [
        task_began(1.0, "w1", "j.1"), task_began(2.0, "w2", "j.2")], 1),
    ("lost with its worker, run again", [
        task_began(1.0, "w1", "j.1"), LOST, task_began(5.0, "w2", "j.2")], 0),
    ("lease expired, checkpoint lost with its worker",
     LAPSED + [LOST, task_began(5.0, "w2", "j.2")], 0),
    ("lease expired, checkpoint not used",
     LAPSED + [task_began(5.0, "w2", "j.2")], 1),
    ("done, run again", FINISHED + [task_began(5.0, "w2", "j.2", 1.0)], 1),
    ("done, outcome lost with its worker",
     FINISHED + [LOST, task_began(5.0, "w2", "j.2")], 0),
    ("done and recorded, worker lost, run again",
     FINISHED + [OUTCOME_RECORDED, LOST,
                 task_began(5.0, "w2", "j.2", 1.0)], 1),
    ("caller told not run, but it ran", [SERVED, CALLER_TOLD], 1),
    ("caller told not run, and it did not", [CALLER_TOLD], 0),
    ("outdated rules at the stop", [
        line(1.0, events.RULES_APPLIED, "entry-1", revision=3),
        line(2.0, events.RULES_CHANGED, "entry-2", revision=5),
        line(9.0, events.PROCESS_STOPPED, "entry-1")], 1),
    ("rule revision went back", [
        line(1.0, events.RULES_APPLIED, "entry-1", revision=5),
        line(2.0, events.RULES_APPLIED, "entry-1", revision=3)], 1),
    ("invariant broken, logged by a process", [
        line(1.0, events.INVARIANT_BROKEN, invariant="capacity")], 1),
]


@pytest.mark.parametrize("label,lines,expected_count", TIME_LINES,
                         ids=[row[0] for row in TIME_LINES])
def test_checks_find_violations_only(label, lines, expected_count):
    findings = checks.check(sorted(lines, key=lambda entry: entry["t"]))
    assert len(findings) == expected_count, [str(f) for f in findings]
