"""Replace values of a job that no scheduler can use by defaults.

Jobs come from callers and, as stored records, from programs of any version.
A value that is only a hint gets a default; a job that cannot be run as it says
is refused.
"""

import dataclasses
import math

from sycamorefield.fleet import inputlog
from sycamorefield.fleet import messages

# Beyond any worker; larger amounts overflow floating-point numbers.
MAX_AMOUNT = 10 ** 9
# An estimate of more than a day says nothing about tasks of seconds.
MAX_ESTIMATE_MS = 86_400_000
MAX_COUNT = 100_000
# Tasks that are ready at the same time are all in the memory of the owner, in
# about 0.5 KB each.
MAX_TASKS_AT_ONCE = 200_000


def bounded(job: messages.Job) -> messages.Job:
    """Return the job with defaults; raises ValueError if it cannot be run."""
    if not job.steps:
        raise ValueError("job has no steps")
    for number, step in enumerate(job.steps):
        if not 1 <= step.count <= MAX_COUNT:
            raise ValueError(f"count of step {number} is out of bounds")
        if any(not 0 <= earlier < number for earlier in step.after):
            raise ValueError(f"step {number} waits for no earlier step")
    for name in ("start_at_ms", "interval_ms", "accepted_ms"):
        if not math.isfinite(getattr(job, name)):
            raise ValueError(f"{name} is not a finite number")
    at_once = (1 if job.start_at_ms and job.interval_ms > 0
               else job.occurrences())
    if (not 0 <= job.repeat_count <= MAX_COUNT
            or sum(step.count for step in job.steps) * at_once
            > MAX_TASKS_AT_ONCE):
        raise ValueError("job has too many tasks")
    steps = tuple(_bounded_step(step, f"job {job.job_id}: {{}} of step {n}")
                  for n, step in enumerate(job.steps))
    return job if steps == job.steps else dataclasses.replace(
        job, steps=steps)


def _bounded_step(step: messages.Step, place: str) -> messages.Step:
    changes: dict[str, object] = {}
    if not 0 <= step.estimate_ms <= MAX_ESTIMATE_MS:
        changes["estimate_ms"] = 0
    if not 0 <= step.target_ms <= MAX_ESTIMATE_MS:
        changes["target_ms"] = 0.0
    if step.speculative and (step.gang or step.perpetual):
        # Their tasks get no copies.
        changes["speculative"] = False
    if not 0 <= step.may_miss <= step.count:
        changes["may_miss"] = max(0, min(step.count, step.may_miss))
    if not 0 <= step.max_per_worker <= MAX_COUNT:
        changes["max_per_worker"] = 0
    room = messages.Resources(*(
        max(0, min(MAX_AMOUNT, amount))
        for amount in (step.room.cpu, step.room.mem_mb, step.room.gpu)))
    if room != step.room:
        changes["room"] = room
    if not changes:
        return step
    for name, default in changes.items():
        inputlog.note(place.format(name), getattr(step, name), repr(default))
    return dataclasses.replace(step, **changes)  # type: ignore[arg-type]
