"""Measure how much best-effort work waits, and how fast it is served.

Best-effort tasks reserve no CPU, so free capacity does not tell how long they
wait.  What the fleet lately served them at a time does.  It is followed for
each image: next to serving tasks, some images can run nearly everywhere and
others almost nowhere.
"""

import collections
import dataclasses
import statistics
import typing

from sycamorefield.fleet import backlog as backlog_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import recentrange

# The CPU served is that of this time: a moment of little demand, or of high
# load by other tasks, must not count as a slow fleet.
SERVED_WINDOW_S = 10.0
# The least share of a service's CPU that counts as served to an image.
# Otherwise nothing could be accepted of an image that has not run yet.
MIN_SERVED_SHARE = 0.02
# The least CPU that is published as served, in thousandths of a core.
MIN_SERVED_CPU = 100.0
# The run time of a task whose estimate is missing, in seconds.
DEFAULT_TASK_S = 1.0


class ImageClass(typing.NamedTuple):
    """Tasks of one image on a service, by the priority of their queue."""

    service: str
    image: str
    priority: int


@dataclasses.dataclass(slots=True)
class BestEffortWork:
    """Waiting core-seconds, and CPU of runs in thousandths of a core."""

    waiting_cpu_s: collections.defaultdict[ImageClass, float] = (
        dataclasses.field(
            default_factory=lambda: collections.defaultdict(float)))
    running_cpu: collections.defaultdict[tuple[str, str], float] = (
        dataclasses.field(
            default_factory=lambda: collections.defaultdict(float)))

    def add_job(self, queue: messages.Queue, state: progress.JobState,
                known: backlog_mod.RunBounds | None) -> None:
        """Add the best-effort tasks of a job.

        Of a job with a run, only tasks that are ready wait for CPU: the
        others follow when the run ends.
        """
        if not any(step.fills for step in state.job.steps):
            return
        has_run = state.has_run()
        for (occurrence, number), tasks in state.tasks.items():
            step = state.job.steps[number]
            if step.perpetual or not step.fills:
                continue
            self.running_cpu[queue.service, step.image] += (
                step.room.cpu * _paced_runs(tasks))
            if has_run and not state.step_ready(occurrence, number):
                continue
            waiting = sum(task.phase == progress.IDLE and not task.done
                          for task in tasks)
            task_s = (known.task_s(step, backlog_mod.MID) if known is not None
                      else step.estimate_ms / 1000.0 or DEFAULT_TASK_S)
            self.waiting_cpu_s[
                ImageClass(queue.service, step.image, queue.priority)] += (
                    waiting * step.room.cpu * task_s / 1000.0)


def _paced_runs(tasks: list[progress.TaskState]) -> float:
    """Return the number of runs, each as far as its pace lets it work."""
    return sum((task.pace_percent if task.pace_percent >= 0 else 100)
               for task in tasks if task.phase == progress.RUNNING) / 100.0


class ServedCpu:
    """The CPU of runs in the last seconds."""

    def __init__(self) -> None:
        self.cpu = recentrange.RecentRange(SERVED_WINDOW_S)
        # Whether work waited, at the same times.
        self.waiting = recentrange.RecentRange(SERVED_WINDOW_S)

    def add(self, cpu: float, has_waiting: bool, now: float) -> None:
        """Add the CPU of runs at a time, and whether work waited then."""
        self.cpu.add(cpu, now)
        self.waiting.add(has_waiting, now)

    def rate(self) -> float:
        """Return what the fleet serves while work waits.

        If none waited at some time, more may be possible than was served: the
        most at a time counts.
        """
        if not self.cpu.values:
            return 0.0
        if all(has_waiting for _, has_waiting in self.waiting.values):
            return statistics.fmean(cpu for _, cpu in self.cpu.values)
        return self.cpu.highest()


class BestEffortMeter:
    """Follow the CPU that each service gives to the tasks of each image."""

    def __init__(self) -> None:
        # By service and image, and by service alone (None).
        self.served: collections.defaultdict[
            tuple[str, str | None], ServedCpu] = collections.defaultdict(
                ServedCpu)

    def measure(self, work: BestEffortWork, listed_cpu: dict[str, int],
                now: float) -> tuple[backlog_mod.BestEffortLoad, ...]:
        """Return the loads of services and of images that wait.

        listed_cpu is that of each service's workers, in thousandths of a
        core.  The loads of services come first, then the longest ones.
        """
        self._update_served(work, now)
        found = []
        for service, priority in sorted(
                {(key.service, key.priority) for key in work.waiting_cpu_s}):
            if not listed_cpu.get(service):
                continue
            images = {key.image for key in work.waiting_cpu_s
                      if key.service == service}
            for of in (None, *sorted(images)):
                load = self._load(work, service, of, priority,
                                  MIN_SERVED_SHARE * listed_cpu[service])
                if load.drain_s() >= backlog_mod.MIN_WAIT_S:
                    found.append(load)
        found.sort(key=lambda load: (load.image is not None, -load.drain_s()))
        return tuple(found[:backlog_mod.MAX_BEST_EFFORT_LOADS])

    def _load(self, work: BestEffortWork, service: str, image: str | None,
              priority: int, min_served: float) -> backlog_mod.BestEffortLoad:
        """Return the load of an image, or of all if image is None."""
        waiting_cpu_s = sum(
            cpu_s for key, cpu_s in work.waiting_cpu_s.items()
            if key.service == service and key.priority <= priority
            and image in (None, key.image))
        served = self.served[service, image].rate()
        return backlog_mod.BestEffortLoad(
            service, image, priority,
            round(min(waiting_cpu_s, backlog_mod.MAX_AMOUNT), 1),
            round(max(served, min_served, MIN_SERVED_CPU) / 1000.0, 1))

    def _update_served(self, work: BestEffortWork, now: float) -> None:
        running: collections.defaultdict[
            tuple[str, str | None], float] = collections.defaultdict(float)
        waiting: set[tuple[str, str | None]] = set()
        for (service, image), cpu in work.running_cpu.items():
            running[service, image] += cpu
            running[service, None] += cpu
        for key, cpu_s in work.waiting_cpu_s.items():
            if cpu_s > 0.0:
                waiting |= {(key.service, key.image), (key.service, None)}
        for scope in running:
            self.served[scope].add(running[scope], scope in waiting, now)
        for scope in list(self.served):
            if scope not in running:
                # No job of the image is left.
                del self.served[scope]
