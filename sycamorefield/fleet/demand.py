"""Follow how many processors short work needs, by what arrives and ends.

Answers the load of a fleet that lasting tasks fill: they stay for minutes, so
the room that short work needs must be kept before they start.  What a stream
of steps needs at a time follows from its rate, width and run time (shot
noise): a step that takes c cores for s seconds adds c*s/T to the mean and
c*c*s/T to the variance of the cores in use, over T seconds observed.
"""

import dataclasses
import math

from sycamorefield.fleet import messages

# Arrivals count half after this long: a swing of the load over a quarter of
# a minute is averaged, a change of the load is followed within a minute.
HALF_LIFE_S = 30.0
# Sums over less than this say little: steps come with 1 to 36 tasks.
MIN_OBSERVED_S = 8.0
# Room kept beyond the mean, in standard deviations.  A core-second is worth
# about four times as much to a waiting caller as to a lasting job, so room
# pays that is in use a quarter of the time or more.
HEADROOM_DEVIATIONS = 1.0
# Before arrivals tell, this share of the processors is kept; without any
# short work it halves every FIRST_HALF_LIFE_S.
INITIAL_SHARE = 0.10
INITIAL_HALF_LIFE_S = 60.0
# At most this share is kept, whatever arrives.
MAX_SHARE = 0.25
# Lasting jobs that come within this of each other count as one arrival: many
# are handed in at once when a deployment starts, which tells no rate.
BATCH_WINDOW_S = 1.0
# Room is kept for the lasting jobs that come within this: what the others
# take beyond a majority of their tasks comes back only when jobs leave, which
# takes minutes.
NEW_JOBS_LOOKAHEAD_S = 20.0
# At most this share is kept for lasting jobs to come.
MAX_NEW_JOBS_SHARE = 0.10
# A mean is over about this many values: enough for run times that differ by
# half, and a minute of some arrivals a second.
MEAN_WINDOW = 200
# The width of a short task before any has been seen, thousandths of a core.
INITIAL_TASK_CPU = 3000.0


@dataclasses.dataclass(slots=True)
class Arrivals:
    """Hold sums over steps that arrived: cores in thousandths, seconds."""

    cpu_s: float = 0.0
    squared_cpu_s: float = 0.0
    # Sums that give the width of a task, weighted by its core-seconds.
    weighted_task_cpu_s: float = 0.0

    def decay(self, factor: float) -> None:
        """Let what has arrived so far count less."""
        self.cpu_s *= factor
        self.squared_cpu_s *= factor
        self.weighted_task_cpu_s *= factor

    def add(self, step: messages.Step, run_s: float) -> None:
        """Add a step whose tasks take so many seconds."""
        cpu = float(step.room.cpu)
        step_cpu = cpu * step.count
        self.cpu_s += step_cpu * run_s
        self.squared_cpu_s += step_cpu * step_cpu * run_s
        self.weighted_task_cpu_s += cpu * step_cpu * run_s


@dataclasses.dataclass(slots=True)
class RecentMean:
    """Hold the mean of what was seen lately (0 before anything was)."""

    total: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        """Take in a value; beyond some number older ones count less."""
        if self.count < MEAN_WINDOW:
            self.count += 1
        else:
            self.total -= self.mean()
        self.total += value

    def mean(self) -> float:
        """Return the mean."""
        return self.total / self.count if self.count else 0.0


def majority(step: messages.Step) -> int:
    """Return how many tasks of a lasting step its users need at least."""
    return step.count // 2 + 1


def is_finite(step: messages.Step) -> bool:
    """Tell whether a step's tasks reserve processors and end."""
    return not step.perpetual and not step.fills


class DemandEstimator:
    """Learn what short work of each priority needs."""

    def __init__(self) -> None:
        # When arrivals were first looked at, and when sums were last faded.
        self.observed_since: float | None = None
        self.decayed_at = 0.0
        self.arrivals: dict[int, Arrivals] = {}
        # How long runs of a queue took, in seconds.
        self.run_times: dict[str, RecentMean] = {}
        # Thousandths of a core that most of the tasks of a lasting job take.
        self.majority_cpu = RecentMean()
        # Arrivals of lasting jobs, those that came together as one.
        self.batches = 0.0
        self.last_batch_at = 0.0

    def start_observing(self, now: float) -> None:
        """Count the time observed from now on, unless it counts already."""
        if self.observed_since is None:
            self.observed_since = self.decayed_at = now

    def add_job(self, job: messages.Job, now: float) -> None:
        """Note that a job has arrived."""
        self._decay(now)
        for step in job.steps:
            if step.perpetual:
                self._add_long_running(step, now)
        steps = [step for step in job.steps if is_finite(step)]
        if not steps:
            return
        arrivals = self.arrivals.setdefault(job.priority, Arrivals())
        for step in steps:
            arrivals.add(step, self._expected_run_s(job.queue, step))

    def _add_long_running(self, step: messages.Step, now: float) -> None:
        self.majority_cpu.add(majority(step) * step.room.cpu)
        if not self.batches or now - self.last_batch_at >= BATCH_WINDOW_S:
            self.batches += 1.0
            self.last_batch_at = now

    def add_run(self, queue: str, run_s: float) -> None:
        """Note how long a short task of a queue ran until it was done."""
        self.run_times.setdefault(queue, RecentMean()).add(run_s)

    def _expected_run_s(self, queue: str, step: messages.Step) -> float:
        """Return the mean run time seen; estimates are up to 90% off."""
        times = self.run_times.get(queue)
        if times is None:
            return step.estimate_ms / 1000.0
        return times.mean()

    def _decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self.decayed_at) / HALF_LIFE_S)
        self.decayed_at = now
        self.batches *= factor
        for arrivals in self.arrivals.values():
            arrivals.decay(factor)

    def kept_cpu(self, priority: int, capacity_cpu: float,
                 now: float) -> float:
        """Return processors to keep for work of a priority or a higher one.

        All in thousandths of a core.
        """
        cpu_s = squared_cpu_s = 0.0
        factor = 0.5 ** ((now - self.decayed_at) / HALF_LIFE_S)
        for arrival_priority, arrivals in self.arrivals.items():
            if arrival_priority <= priority:
                cpu_s += arrivals.cpu_s * factor
                squared_cpu_s += arrivals.squared_cpu_s * factor
        observed_s = self._observed_s(now)
        expected_cpu = (cpu_s / observed_s
                        + HEADROOM_DEVIATIONS
                        * math.sqrt(squared_cpu_s / observed_s))
        initial_cpu = (INITIAL_SHARE * capacity_cpu
                       * 0.5 ** (self._age_s(now) / INITIAL_HALF_LIFE_S))
        return min(MAX_SHARE * capacity_cpu, max(initial_cpu, expected_cpu))

    def total_kept_cpu(self, capacity_cpu: float, now: float) -> float:
        """Return the room kept for work of all priorities together."""
        return self.kept_cpu(max(self.arrivals, default=0), capacity_cpu, now)

    def kept_for_new_jobs_cpu(self, capacity_cpu: float, now: float) -> float:
        """Return processors to keep for lasting jobs that are to come.

        Enough for a majority of their tasks, in thousandths of a core.
        """
        factor = 0.5 ** ((now - self.decayed_at) / HALF_LIFE_S)
        rate = self.batches * factor / self._observed_s(now)
        return min(MAX_NEW_JOBS_SHARE * capacity_cpu,
                   rate * NEW_JOBS_LOOKAHEAD_S * self.majority_cpu.mean())

    def _age_s(self, now: float) -> float:
        return (now - self.observed_since
                if self.observed_since is not None else 0.0)

    def _observed_s(self, now: float) -> float:
        """Return the time that the sums stand for."""
        full_window_s = HALF_LIFE_S / math.log(2.0)
        elapsed_s = full_window_s * \
            (1.0 - 0.5 ** (self._age_s(now) / HALF_LIFE_S))
        return max(MIN_OBSERVED_S, elapsed_s)

    def mean_task_cpu(self, priority: int) -> float:
        """Return the width of a gap that short tasks can use."""
        relevant = [a for arrival_priority, a in self.arrivals.items()
                    if arrival_priority <= priority]
        cpu_s = sum(a.cpu_s for a in relevant)
        if not cpu_s:
            return INITIAL_TASK_CPU
        return sum(a.weighted_task_cpu_s for a in relevant) / cpu_s
