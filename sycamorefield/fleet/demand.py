"""Estimate the CPU that finite tasks need, from their arrivals and run times.

Long-running tasks stay for minutes and could fill the fleet, so capacity for
finite tasks must be kept free before they start.  The CPU that a stream of
steps uses at a time follows from arrival rate, CPU and run time (shot noise):
a step that takes c cores for s seconds adds c*s/T to the mean and c*c*s/T to
the variance of the cores in use, over T seconds observed.
"""

import dataclasses
import math
import typing

from sycamorefield.fleet import messages
from sycamorefield.fleet import recentpeak
from sycamorefield.fleet import runtimes
from sycamorefield.fleet import widetasks

# After this time an arrival has half its weight.  Swings of the load over 15 s
# are averaged; a persistent change is followed within a minute.
HALF_LIFE_S = 30.0
# Sums over less time vary too much, as steps have 1 to 36 tasks.
MIN_OBSERVED_S = 8.0
# Capacity kept beyond the mean, in standard deviations.  A core-second is
# worth about four times as much to a waiting caller as to a long-running job,
# so it pays to keep capacity that is used at least a quarter of the time.
HEADROOM_DEVIATIONS = 1.0
# Share of the CPU that is kept before arrivals have been observed.  Without
# finite tasks it halves every INITIAL_HALF_LIFE_S.
INITIAL_SHARE = 0.10
INITIAL_HALF_LIFE_S = 60.0
# Largest share of the CPU kept for finite tasks.
MAX_SHARE = 0.25
# Long-running jobs that arrive within this time of each other count as one
# arrival: when a deployment starts, many are submitted at once, which says
# nothing about the rate.
BATCH_WINDOW_S = 1.0
# Capacity is kept for the long-running jobs expected within this time: what
# others use beyond a majority of their tasks is freed only when jobs end,
# which takes minutes.
NEW_JOBS_LOOKAHEAD_S = 20.0
# Largest share of the CPU kept for long-running jobs that are expected.
MAX_NEW_JOBS_SHARE = 0.10
# Number of values in a recent mean: enough for run times that vary by half,
# and about a minute at some arrivals per second.
MEAN_WINDOW = 200
# CPU of a finite task before any has arrived, in thousandths of a core.
INITIAL_TASK_CPU = 3000.0
# Beyond this time, more time observed changes no answer: sums have lost their
# weight, and so has the initial share.
MAX_OBSERVED_S = 600.0
# Bounds the encoded form.
MAX_ENCODED_ENTRIES = 100
# Largest encoded value that is accepted: far above any sum of core-seconds.
MAX_ENCODED_VALUE = 1e18


@dataclasses.dataclass(slots=True)
class Arrivals:
    """Sums over the steps that arrived, in thousandths of a core and s."""

    cpu_s: float = 0.0
    squared_cpu_s: float = 0.0
    # CPU of one task, weighted by the CPU time of its step.
    weighted_task_cpu_s: float = 0.0

    def decay(self, factor: float) -> None:
        """Reduce the weight of past arrivals."""
        self.cpu_s *= factor
        self.squared_cpu_s *= factor
        self.weighted_task_cpu_s *= factor

    def add(self, step: messages.Step, run_s: float) -> None:
        """Add a step with a run time per task in seconds."""
        cpu = float(step.room.cpu)
        step_cpu = cpu * step.count
        self.cpu_s += step_cpu * run_s
        self.squared_cpu_s += step_cpu * step_cpu * run_s
        self.weighted_task_cpu_s += cpu * step_cpu * run_s


@dataclasses.dataclass(slots=True)
class RecentMean:
    """Mean of recent values; 0 before the first value."""

    total: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        """Add a value; beyond MEAN_WINDOW values older ones lose weight."""
        if self.count < MEAN_WINDOW:
            self.count += 1
        else:
            self.total -= self.mean()
        self.total += value

    def mean(self) -> float:
        """Return the mean."""
        return self.total / self.count if self.count else 0.0


def _bounded(value: object, maximum: float = MAX_ENCODED_VALUE) -> float:
    """Return an encoded number; raises ValueError if it is out of bounds."""
    if (not isinstance(value, (int, float))
            or not 0 <= value <= maximum):
        raise ValueError(f"invalid value {value!r:.40}")
    return float(value)


def _decode_arrivals(value: typing.Any) -> Arrivals:
    """Return encoded arrivals; raises ValueError if they are invalid."""
    cpu_s, squared_cpu_s, weighted_task_cpu_s = value
    return Arrivals(_bounded(cpu_s), _bounded(squared_cpu_s),
                    _bounded(weighted_task_cpu_s))


def _decode_mean(value: typing.Any) -> RecentMean:
    """Return an encoded recent mean; raises ValueError if it is invalid."""
    mean, count = value
    count = int(_bounded(count, MEAN_WINDOW))
    return RecentMean(_bounded(mean) * count, count)


def majority(step: messages.Step) -> int:
    """Return how many tasks of a long-running step its users need."""
    return step.count // 2 + 1


def is_finite(step: messages.Step) -> bool:
    """Return whether the tasks of a step reserve CPU and end by themselves."""
    return not step.perpetual and not step.fills


class DemandEstimator:
    """Estimate the CPU that finite tasks of each priority need."""

    def __init__(self, run_time_model: runtimes.RunTimeModel | None = None,
                 recent_peak: recentpeak.RecentPeak | None = None,
                 follows_wide_tasks: bool = False) -> None:
        # Predicts run times where declared estimates are seen to be bad.
        self.run_time_model = run_time_model or runtimes.RunTimeModel()
        self.recent_peak = recent_peak or recentpeak.RecentPeak(False)
        self.wide_tasks = widetasks.WideTasks(follows_wide_tasks)
        # When observation began, and when the sums were last decayed.
        self.observed_since: float | None = None
        self.decayed_at = 0.0
        self.arrivals: dict[int, Arrivals] = {}
        # Run times in seconds, by queue.
        self.run_times: dict[str, RecentMean] = {}
        # CPU of a majority of the tasks of a long-running job, in thousandths
        # of a core.
        self.majority_cpu = RecentMean()
        # Arrivals of long-running jobs; those that arrive together count once.
        self.arrived_batches = 0.0
        self.last_batch_at = 0.0

    def start_observing(self, now: float) -> None:
        """Start to count the time observed, unless it has started already."""
        if self.observed_since is None:
            self.observed_since = self.decayed_at = now

    def add_job(self, job: messages.Job, now: float) -> None:
        """Record the arrival of a job."""
        self._decay(now)
        for step in job.steps:
            if step.perpetual:
                self._add_long_running(step, now)
        steps = [step for step in job.steps if is_finite(step)]
        if not steps:
            return
        arrivals = self.arrivals.setdefault(job.priority, Arrivals())
        for step in steps:
            run_s = self._expected_run_s(job.queue, step)
            arrivals.add(step, run_s)
            self.recent_peak.add(
                job.priority, step.room.cpu * step.count * run_s, now)
            self.wide_tasks.add(step, job.priority, run_s, now)

    def _add_long_running(self, step: messages.Step, now: float) -> None:
        self.majority_cpu.add(majority(step) * step.room.cpu)
        if (not self.arrived_batches
                or now - self.last_batch_at >= BATCH_WINDOW_S):
            self.arrived_batches += 1.0
            self.last_batch_at = now

    def add_run(self, queue: str, run_s: float) -> None:
        """Record the run time in seconds of a finite task that succeeded."""
        self.run_times.setdefault(queue, RecentMean()).add(run_s)

    def _expected_run_s(self, queue: str, step: messages.Step) -> float:
        """Return the mean run time; estimates are up to 90% off."""
        if not self.run_time_model.trusts_estimate(queue, step):
            return self.run_time_model.mean_s(queue, step)
        times = self.run_times.get(queue)
        if times is None:
            return step.estimate_ms / 1000.0
        return times.mean()

    def _decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self.decayed_at) / HALF_LIFE_S)
        self.decayed_at = now
        self.arrived_batches *= factor
        for arrivals in self.arrivals.values():
            arrivals.decay(factor)

    def encode(self, now: float) -> dict[str, typing.Any]:
        """Return the estimate as values that JSON can represent.

        Times are given as ages, because each process has its own clock.
        Figures are rounded, so that an idle fleet's settle.
        """
        if self.observed_since is None:
            return {}
        factor = 0.5 ** ((now - self.decayed_at) / HALF_LIFE_S)
        return {
            "observed_s": round(min(MAX_OBSERVED_S, self._age_s(now)), 1),
            "arrivals": {
                str(priority): [round(value * factor) for value in
                                dataclasses.astuple(arrivals)]
                for priority, arrivals in self.arrivals.items()},
            "run_times": {
                queue: [round(times.mean(), 4), times.count] for queue, times
                in list(self.run_times.items())[:MAX_ENCODED_ENTRIES]},
            "majority_cpu": [round(self.majority_cpu.mean()),
                             self.majority_cpu.count],
            "wide": self.wide_tasks.encode(min(
                map(self.mean_task_cpu, self.arrivals), default=0.0), now),
            "batches": round(self.arrived_batches * factor, 3),
            "last_batch_s": round(min(MAX_OBSERVED_S,
                                      now - self.last_batch_at), 1)}

    def decode(self, value: object, now: float) -> None:
        """Load an encoded estimate; raises ValueError if it is invalid.

        The time between two owners does not count as observed: arrivals were
        not counted then.
        """
        if value == {}:
            return
        try:
            row = dict(value)  # type: ignore[call-overload]
            observed_s = _bounded(row["observed_s"], MAX_OBSERVED_S)
            batches = _bounded(row["batches"])
            last_batch_s = _bounded(row["last_batch_s"], MAX_OBSERVED_S)
            majority_cpu = _decode_mean(row["majority_cpu"])
            wide = widetasks.decode(row.get("wide", []), now)
            run_times = {str(queue): _decode_mean(mean)
                         for queue, mean in row["run_times"].items()}
            arrivals = {
                int(priority): _decode_arrivals(values)
                for priority, values in row["arrivals"].items()}
        except (KeyError, TypeError, AttributeError) as exc:
            raise ValueError(f"invalid demand: {exc!r}") from exc
        if max(len(run_times), len(arrivals)) > MAX_ENCODED_ENTRIES:
            raise ValueError(f"demand of {len(run_times)} queues and "
                             f"{len(arrivals)} priorities")
        self.observed_since = now - observed_s
        self.decayed_at = now
        self.arrived_batches = batches
        self.last_batch_at = now - last_batch_s
        self.majority_cpu = majority_cpu
        self.run_times = run_times
        self.arrivals = arrivals
        self.wide_tasks.load(wide)

    def kept_cpu(self, priority: int, capacity_cpu: float,
                 now: float) -> float:
        """Return the CPU to keep for finite tasks of at least a priority.

        All in thousandths of a core.
        """
        expected_cpu, peak_cpu = self._expected_and_peak_cpu(priority, now)
        initial_cpu = (INITIAL_SHARE * capacity_cpu
                       * 0.5 ** (self._age_s(now) / INITIAL_HALF_LIFE_S))
        return min(MAX_SHARE * capacity_cpu,
                   max(initial_cpu, expected_cpu, peak_cpu))

    def _expected_and_peak_cpu(self, priority: int,
                               now: float) -> tuple[float, float]:
        """Return the CPU needed by the arrivals and by the recent peak."""
        cpu_s = squared_cpu_s = 0.0
        factor = 0.5 ** ((now - self.decayed_at) / HALF_LIFE_S)
        for arrival_priority, arrivals in self.arrivals.items():
            if arrival_priority <= priority:
                cpu_s += arrivals.cpu_s * factor
                squared_cpu_s += arrivals.squared_cpu_s * factor
        observed_s = self._observed_s(now)
        deviation_cpu = math.sqrt(squared_cpu_s / observed_s)
        expected_cpu = (cpu_s / observed_s
                        + HEADROOM_DEVIATIONS * deviation_cpu)
        return expected_cpu, self.recent_peak.kept_cpu(
            priority, deviation_cpu, now)

    def total_kept_cpu(self, capacity_cpu: float, now: float) -> float:
        """Return the CPU kept for finite tasks of all priorities together."""
        priority = max(self.arrivals, default=0)
        expected_cpu, peak_cpu = self._expected_and_peak_cpu(priority, now)
        self.recent_peak.note_acting(priority, expected_cpu, peak_cpu)
        return self.kept_cpu(priority, capacity_cpu, now)

    def kept_for_new_jobs_cpu(self, capacity_cpu: float, now: float) -> float:
        """Return the CPU to keep for long-running jobs expected to arrive.

        Enough for a majority of their tasks, in thousandths of a core.
        """
        factor = 0.5 ** ((now - self.decayed_at) / HALF_LIFE_S)
        rate = self.arrived_batches * factor / self._observed_s(now)
        return min(MAX_NEW_JOBS_SHARE * capacity_cpu,
                   rate * NEW_JOBS_LOOKAHEAD_S * self.majority_cpu.mean())

    def _age_s(self, now: float) -> float:
        return (now - self.observed_since
                if self.observed_since is not None else 0.0)

    def _observed_s(self, now: float) -> float:
        """Return the time that the decayed sums stand for."""
        full_window_s = HALF_LIFE_S / math.log(2.0)
        decayed_window_s = full_window_s * (
            1.0 - 0.5 ** (self._age_s(now) / HALF_LIFE_S))
        return max(MIN_OBSERVED_S, decayed_window_s)

    def mean_task_cpu(self, priority: int) -> float:
        """Return the mean CPU of a finite task, in thousandths of a core."""
        relevant = [a for arrival_priority, a in self.arrivals.items()
                    if arrival_priority <= priority]
        cpu_s = sum(a.cpu_s for a in relevant)
        if not cpu_s:
            return INITIAL_TASK_CPU
        return sum(a.weighted_task_cpu_s for a in relevant) / cpu_s
