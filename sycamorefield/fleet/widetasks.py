"""Keep workers free of long-running tasks for urgent tasks that are wide.

Headroom is counted in slots as wide as an average finite task.  Long-running
tasks then leave such a slot on many workers and on none the capacity for a
task several times as wide, which waits although headroom in total is kept.
"""

import collections
import dataclasses
import math
import typing

import msgspec

from sycamorefield.fleet import messages
from sycamorefield.fleet import workerstate

# Tasks wider than this many times the mean are wide.  Narrower ones fit into
# two slots, which are often on one worker.
WIDE_FACTOR = 2.0
# How long a wide task counts.  One that comes less often finds its workers
# given to long-running tasks, which are at work for minutes.
WINDOW_S = 60.0
MAX_RECENT_STEPS = 400
# Bounds the encoded form.
MAX_ENCODED_STEPS = 200
# Of the CPU time of wide tasks, this share must fit.
WIDTH_QUANTILE = 0.95


AgeS = typing.Annotated[float, msgspec.Meta(ge=0.0, le=2 * WINDOW_S)]
TaskS = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1e12)]


@dataclasses.dataclass(frozen=True, slots=True)
class Slots:
    """How many workers are kept for wide tasks, and how much CPU on each."""

    count: int
    cpu: float


class Arrival(typing.NamedTuple):
    """A step that arrived; task_s is the run time of all of its tasks."""

    at: float
    priority: int
    cpu: int
    task_s: float


class WideTasks:
    """The wide finite tasks that arrived lately."""

    def __init__(self, enabled: bool = True) -> None:
        self.enabled = enabled
        self.recent: collections.deque[Arrival] = collections.deque(
            maxlen=MAX_RECENT_STEPS)

    def add(self, step: messages.Step, priority: int, run_s: float,
            now: float) -> None:
        """Record a step with the run time of a task in seconds."""
        if self.enabled:
            self.recent.append(Arrival(
                now, priority, step.room.cpu, step.count * run_s))

    def encode(self, mean_cpu: float, now: float) -> list[list[float]]:
        """Return the recent wide tasks as values that JSON can represent.

        mean_cpu is the least mean CPU of finite tasks of any priority.
        """
        return [[round(now - a.at, 1), a.priority, a.cpu, round(a.task_s, 1)]
                for a in self.recent if now - a.at <= WINDOW_S
                and a.cpu > WIDE_FACTOR * mean_cpu][-MAX_ENCODED_STEPS:]

    def load(self, recent: list[Arrival]) -> None:
        """Replace the recent wide tasks by decoded ones."""
        if self.enabled:
            self.recent.clear()
            self.recent.extend(recent)

    def slots(self, priority: int, mean_cpu: float, max_cpu: float,
              now: float) -> Slots | None:
        """Return what to keep for tasks of at least a priority, or None.

        As many slots as wide tasks run at a time, plus a standard deviation,
        with max_cpu in total.
        """
        while self.recent and now - self.recent[0].at > WINDOW_S:
            self.recent.popleft()
        wide = sorted((a for a in self.recent if a.priority <= priority
                       and a.cpu > WIDE_FACTOR * mean_cpu),
                      key=lambda a: a.cpu)
        if not wide:
            return None
        cpu = _quantile_cpu(wide)
        # At full capacity of the record it covers less than the window.
        covered_s = (now - self.recent[0].at
                     if len(self.recent) == MAX_RECENT_STEPS else WINDOW_S)
        mean_count = sum(a.task_s for a in wide) / max(1.0, covered_s)
        count = min(math.ceil(mean_count + math.sqrt(mean_count)),
                    int(max_cpu / cpu))
        return Slots(count, cpu) if count else None


def decode(value: object, now: float) -> list[Arrival]:
    """Return encoded tasks; raises ValueError if they are invalid."""
    try:
        rows = msgspec.convert(value, list[tuple[
            AgeS, int, typing.Annotated[int, msgspec.Meta(ge=0)], TaskS]])
    except msgspec.MsgspecError as exc:
        raise ValueError(f"invalid wide tasks: {exc!r:.200}") from exc
    if len(rows) > MAX_ENCODED_STEPS:
        raise ValueError(f"{len(rows)} wide tasks")
    return [Arrival(now - age_s, priority, cpu, task_s)
            for age_s, priority, cpu, task_s in rows]


def _quantile_cpu(wide: list[Arrival]) -> float:
    """Return the width of which a share of the CPU time of tasks is."""
    left = WIDTH_QUANTILE * sum(a.cpu * a.task_s for a in wide)
    for arrival in wide:
        left -= arrival.cpu * arrival.task_s
        if left <= 0.0:
            return float(arrival.cpu)
    return float(wide[-1].cpu)


def choose_workers(slots: Slots | None,
                   workers: list[workerstate.WorkerState]) -> set[str]:
    """Return the workers on which the slots are kept.

    Those with the most CPU that no long-running task reserves: while nothing
    new starts there, they stay the same and become free in time.
    """
    if slots is None:
        return set()
    wide_enough = [w for w in workers if w.entry.capacity.cpu >= slots.cpu]
    wide_enough.sort(key=lambda w: (-_without_long_running_cpu(w),
                                    w.entry.worker_id))
    return {w.entry.worker_id for w in wide_enough[:slots.count]}


def leaves_slot(slots: Slots | None, kept: set[str],
                worker: workerstate.WorkerState, cpu: int) -> bool:
    """Return whether a long-running task leaves the slot kept on a worker."""
    return (slots is None or worker.entry.worker_id not in kept
            or _without_long_running_cpu(worker) - cpu >= slots.cpu)


def _without_long_running_cpu(worker: workerstate.WorkerState) -> int:
    return worker.entry.capacity.cpu - worker.long_running_cpu
