"""Track one worker: its runs, its free capacity and its lease."""

import itertools
import typing

from sycamorefield.fleet import interference
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import unreportedlife

RunId = tuple[messages.TaskId, int]

# Lowest rate of a worker's clock relative to the owner's.  A lease ends by the
# worker's clock, so the owner scales its own time by this rate to wait for it.
MIN_CLOCK_RATE = 0.98
# Longest lease that an owner grants to the runs of a worker.  Runs must
# outlive a change of owner: a successor takes over about 1 s after a planned
# stop and 2.5 s after a crash.  With a longer lease, tasks of an unresponsive
# worker would wait longer for their next run.
LEASE_MS = 5000.0
# A lease on a draining worker: its runs are awaited until their leases have
# expired after it has left.  Two reports fit into it.
DRAINING_LEASE_MS = 2500.0
# Margin for clock rounding and for the time that a worker takes to kill runs.
LEASE_END_SLACK_MS = 300.0
# Seconds by the owner's clock after which a lease granted now has certainly
# expired.
LEASE_EXPIRY_S = (LEASE_MS + LEASE_END_SLACK_MS) / 1000.0 / MIN_CLOCK_RATE

# An answer shows another clock than that of the reports if it differs by more.
CLOCK_TOLERANCE_MS = 200.0

# Maximum number of start orders queued for one worker.  They are sent one at a
# time, in about 5 ms each.  Without a limit an owner that sends slowly would
# keep placing tasks that reserve resources for seconds before they begin, so
# that the fleet looks full and more tasks wait.  Symptom: each worker reports
# about one ended run per round, and tasks of 0.6 s hold their resources for
# 8 s.
MAX_UNSENT_STARTS = 8

# A worker that failed this many runs in a row gets no new runs for AVOID_S
# seconds.  Otherwise a worker on which each run fails would use up attempts
# of all tasks.
MAX_CONSECUTIVE_FAILURES = 3
AVOID_S = 3.0

# Numbers the changes of all workers in the order in which they happen.
CHANGE_NUMBERS = itertools.count(1)


def longest_lease_s(hold_max_ms: float) -> float:
    """Return how long a lease can last that a worker takes on."""
    return (hold_max_ms + LEASE_END_SLACK_MS) / 1000.0 / MIN_CLOCK_RATE


class UncertainPace(typing.NamedTuple):
    """Until when a pace may be carried out, and when to send the present one.

    In seconds on clock.now().
    """

    until: float
    repeat_at: float


class WorkerState:
    """Track the reserved resources, the runs and the lease of one worker.

    Times are seconds by the owner's clock; names with `_ms` are milliseconds
    by the worker's clock.  CPU is counted in thousandths of a core.
    """

    def __init__(self, entry: messages.WorkerEntry,
                 limits_unsent_starts: bool = True) -> None:
        self.entry = entry
        # The entry of the life before the one of the present entry, if any.
        self.earlier_entry: messages.WorkerEntry | None = None
        # Whether another life has been listed since the one that last
        # reported began to.
        self.other_life_listed = False
        # When the life that last reported began, in ms since 1970 (0: not
        # known), and when its last report was requested.  The time of day may
        # jump, so a later life may state an earlier birth.
        self.born_ms = 0
        self.report_requested_at = 0.0
        # When the first report arrived of a life that began in this owner's
        # term, or 0.
        self.restart_seen_at = 0.0
        # What may run in a life that has not reported.
        self.unreported_life = unreportedlife.UnreportedLife()
        self.listed = True
        # Whether it was on any worker list that this owner has read.
        self.ever_listed = False
        # Whether it is on every list of workers in use that may be stored.
        self.enrolled = False
        self.has_reported = False
        self.unresponsive = False
        # Since when it has been unresponsive, if it is.
        self.unresponsive_since = 0.0
        # Tasks of which runs had just started when it became unresponsive.
        self.recent_tasks: frozenset[messages.TaskId] = frozenset()
        # When its last report arrived.
        self.reported_at = 0.0
        # When the last call that it accepted was sent.
        self.acknowledged_at = 0.0
        self.reserved: dict[RunId, messages.Resources] = {}
        self.used = messages.Resources()
        # What is kept for tasks for which runs here have been preempted.
        self.held = messages.Resources()
        # The capacity, the use and the held resources for which the free
        # capacity was computed.
        self.free_capacity_key = (messages.Resources(), messages.Resources(),
                                  messages.Resources())
        self.cached_free_capacity = messages.Resources()
        self.tasks: dict[RunId, progress.TaskState] = {}
        # Runs whose start order is queued and has not been sent.
        self.unsent_starts: set[RunId] = set()
        self.limits_unsent_starts = limits_unsent_starts
        # Number of runs with a target for their tail latency.
        self.target_runs = 0
        # Number of runs that more urgent ones may preempt: neither
        # best-effort nor long-running.
        self.preemptible_runs = 0
        # CPU requested by best-effort runs, and reserved by long-running ones.
        self.best_effort_cpu = 0
        self.long_running_cpu = 0
        self.tail_latencies: list[interference.TailLatency] = []
        # CPU that runs with a latency target reserve but do not use.
        self.unused_cpu = 0.0
        # Consecutive reports with a tail latency above its target.
        self.over_reports = 0
        # When best-effort runs here were last allowed a higher pace.
        self.pace_raised_at = 0.0
        self.avoid_until = 0.0
        # Consecutive failed runs, and consecutive starts without an answer.
        self.failures = 0
        self.unanswered_starts = 0
        # The worker's clock, and when it was read.
        self.clock_ms = 0.0
        self.clock_read_at = 0.0
        # The latest end of any lease granted here.
        self.granted_end_ms = 0.0
        # The number of the last end of a run that was taken from a report.
        self.last_processed_end = 0
        # The number of the last change after which a run may fit here that
        # did not fit before.
        self.change_number = next(CHANGE_NUMBERS)
        # Whether new runs could be placed here in the last round.
        self.was_usable = False
        # Runs of which each attempt to send the start was refused because
        # nothing listens at the worker's address.
        self.refused_starts: set[RunId] = set()
        # Runs with a pace that was not confirmed.
        self.uncertain_paces: dict[RunId, UncertainPace] = {}
        # Runs that have been ordered to stop.
        self.stopping: set[RunId] = set()
        # Whether the last report showed a run of a job that is not known.
        self.has_unknown_run = False
        # Whether the last report showed a run whose pace is so low that it
        # makes little progress.
        self.has_stalled_run = False
        # Whether it is used less because its runs are slow or fail, and
        # whether it gets one run at a time (workerspeed.py).
        self.slow = False
        self.on_trial = False
        self.trial_run: RunId | None = None
        # The only best-effort task that is started here, if any.
        self.best_effort_hold: messages.TaskId | None = None

    def update_entry(self, entry: messages.WorkerEntry) -> None:
        """Replace the entry by one that was read later."""
        if entry == self.entry:
            return
        if entry.born_ms != self.entry.born_ms:
            self.earlier_entry = self.entry
            self.other_life_listed = bool(self.born_ms)
        self.entry = entry
        self.record_change()

    def entry_is_of_current_life(self) -> bool:
        """Return whether the entry is of the life that reports.

        Lives may differ in capacity and kind.  An entry or a report that does
        not name its life is taken to be of the present one.
        """
        return (not self.entry.born_ms or not self.born_ms
                or self.entry.born_ms == self.born_ms)

    def later_life_is_listed(self) -> bool:
        """Return whether the entry is of a life after the one that reports."""
        if self.entry_is_of_current_life():
            return False
        return self.other_life_listed or (
            self.earlier_entry is not None
            and self.earlier_entry.born_ms == self.born_ms)

    def was_draining(self) -> bool:
        """Return whether the life that last reported was draining."""
        if (self.earlier_entry is not None
                and self.earlier_entry.born_ms == self.born_ms):
            return self.earlier_entry.draining
        return self.entry.draining

    def find_recent_tasks(self, since: float) -> frozenset[messages.TaskId]:
        """Return tasks with runs that started after a time, or may have."""
        return frozenset(
            task.task for (_, run), task in self.tasks.items()
            if task.run == run and not 0.0 < task.started_at < since)

    def life(self) -> tuple[str, int]:
        """Return the ID and the birth of the life that last reported."""
        return self.entry.worker_id, self.born_ms

    def is_avoided_by(self, task: progress.TaskState) -> bool:
        """Return whether runs of a task failed or got stuck in this life."""
        return bool(task.avoided_lives) and self.life() in task.avoided_lives

    def last_known_born_ms(self) -> int:
        """Return when the last life that reported or was listed began."""
        return self.born_ms or self.entry.born_ms

    def uncertain_runs(self) -> tuple[RunId, ...]:
        """Return runs that were ordered to start, without an answer."""
        not_sent = self.unsent_starts | self.refused_starts
        return tuple(
            run for run, task in self.tasks.items()
            if task.run == run[1] and not task.started_at
            and run not in not_sent)

    def begin_life(self, born_ms: int, now: float) -> None:
        """Start the next life of a worker; reset what counts within one.

        Its runs stay reserved until they are released one by one.
        """
        self.born_ms = born_ms
        self.restart_seen_at = now
        self.other_life_listed = False
        self.last_processed_end = 0
        self.clock_ms = self.clock_read_at = self.granted_end_ms = 0.0
        self.failures = self.over_reports = self.unanswered_starts = 0
        self.avoid_until = self.unused_cpu = 0.0
        self.tail_latencies = []
        self.refused_starts.clear()
        self.uncertain_paces.clear()
        self.slow = self.on_trial = False
        self.trial_run = None
        self.unreported_life.answered_at = 0.0

    def record_change(self) -> None:
        """Record a change after which runs may fit that did not before."""
        self.change_number = next(CHANGE_NUMBERS)

    def sync_clock(self, clock_ms: float, at: float) -> None:
        """Record the worker's clock, read at a time by the owner's clock.

        Older readings than the last one are ignored.
        """
        if clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_read_at = at

    def grant_lease(self, lease_ms: float, now: float) -> float | None:
        """Return the end of a lease granted now, or None before any report.

        The end is recorded, and is in milliseconds by the worker's clock.
        """
        if not self.clock_read_at:
            return None
        end_ms = self.clock_ms + (now - self.clock_read_at) * 1000.0 + lease_ms
        self.granted_end_ms = max(self.granted_end_ms, end_ms)
        return end_ms

    def record_start_lease(self, run: RunId, clock_ms: float,
                           lease_end_ms: float, hold_max_ms: float,
                           sent_at: float, now: float) -> None:
        """Record the lease of a run whose start was answered.

        The worker's clock in the answer tells whether the life that reports
        has answered.  Another one has a clock that starts anew.
        """
        elapsed_ms = (sent_at - self.clock_read_at) * 1000.0
        known_ms = self.clock_ms + min(
            elapsed_ms, elapsed_ms * MIN_CLOCK_RATE)
        if clock_ms < known_ms - CLOCK_TOLERANCE_MS:
            self.unreported_life.add_answered(run, now)
        else:
            self.granted_end_ms = max(self.granted_end_ms, min(
                lease_end_ms, clock_ms + hold_max_ms))

    def longest_lease_ms(self) -> float:
        """Return how long a lease may be granted for."""
        return DRAINING_LEASE_MS if self.entry.draining else LEASE_MS

    def leases_expired(self, now: float) -> bool:
        """Return whether each lease granted here has certainly expired."""
        ends_at = self.leases_end_at()
        return ends_at is not None and now > ends_at

    def leases_end_at(self) -> float | None:
        """Return when the leases granted here have certainly expired.

        None before any report.  Further leases may be granted meanwhile.
        """
        if not self.clock_read_at:
            return None
        lasts_ms = self.granted_end_ms + LEASE_END_SLACK_MS - self.clock_ms
        return self.clock_read_at + lasts_ms / 1000.0 / MIN_CLOCK_RATE

    def runs_end_at(self, hold_max_ms: float) -> float | None:
        """Return when no run can be left, also in a life not known yet.

        None before any report.
        """
        ends_at = self.leases_end_at()
        if ends_at is None:
            return None
        return max(ends_at, self.uncertain_runs_end_at(
            hold_max_ms, self.later_life_is_listed()))

    def uncertain_runs_end_at(self, hold_max_ms: float,
                              later_life_exists: bool) -> float:
        """Return when no run can be left that a later life may have begun."""
        return self.unreported_life.ends_at(
            longest_lease_s(hold_max_ms), later_life_exists)

    def possible_tasks(self) -> frozenset[messages.TaskId] | None:
        """Return the tasks of which runs may be here; None means any."""
        if self.has_unknown_run:
            return None
        return frozenset(task for task, _ in self.reserved)

    def reserve(self, run: RunId, step: messages.Step,
                task: progress.TaskState | None) -> None:
        """Reserve the resources of a run until it is released."""
        if run in self.reserved:
            return
        self.record_change()
        resources = step.reserved()
        self.reserved[run] = resources
        self.unreported_life.add_run(run)
        self.used = self.used.plus(resources)
        if step.fills:
            self.best_effort_cpu += step.room.cpu
        elif step.perpetual:
            self.long_running_cpu += step.room.cpu
        else:
            self.preemptible_runs += 1
        if step.target_ms:
            self.target_runs += 1
        if task is not None:
            self.tasks[run] = task

    def release(self, run: RunId, step: messages.Step) -> None:
        """Release the reserved resources of a run."""
        self.record_change()
        self.unsent_starts.discard(run)
        self.stopping.discard(run)
        self.refused_starts.discard(run)
        self.uncertain_paces.pop(run, None)
        self.unreported_life.remove(run)
        resources = self.reserved.pop(run, None)
        self.tasks.pop(run, None)
        if resources is None:
            return
        self.used = self.used.minus(resources)
        if step.fills:
            self.best_effort_cpu -= step.room.cpu
        elif step.perpetual:
            self.long_running_cpu -= step.room.cpu
        else:
            self.preemptible_runs -= 1
        if step.target_ms:
            self.target_runs -= 1

    def accepts_starts(self) -> bool:
        """Return whether another start order may be queued."""
        return self.can_queue_start() and not self.has_trial_run()

    def can_queue_start(self) -> bool:
        """Return whether few enough starts are queued for one more."""
        return (len(self.unsent_starts) < MAX_UNSENT_STARTS
                or not self.limits_unsent_starts)

    def has_trial_run(self) -> bool:
        """Return whether the one run that it gets at a time goes on."""
        return self.on_trial and self.trial_run in self.reserved

    def mark_start_sent(self, run: RunId) -> bool:
        """Mark a start order as sent; return whether that unblocks others."""
        held_back = not self.accepts_starts()
        self.unsent_starts.discard(run)
        if held_back:
            self.record_change()
        return held_back and self.accepts_starts()

    def free_capacity(self) -> messages.Resources:
        """Return the capacity that no run reserves; stopping runs do.

        Resources held for a waiting task are not free either.  They include
        what stopping runs still reserve, so the result may be negative.

        Placement rounds ask for it tens of thousands of times a second, so it
        is recomputed only when capacity or use has changed.
        """
        capacity = self.entry.capacity
        held = self.held
        if self.free_capacity_key != (capacity, self.used, held):
            self.free_capacity_key = (capacity, self.used, held)
            self.cached_free_capacity = capacity.minus(self.used).minus(held)
        return self.cached_free_capacity

    def usable(self, now: float) -> bool:
        """Return whether new runs may be placed here."""
        return (self.listed and self.enrolled and self.has_reported
                and not self.unresponsive and not self.has_unknown_run
                and not self.entry.draining and self.avoid_until <= now
                and self.entry_is_of_current_life())

    def count_runs(self, job_id: str, occurrence: int, step: int) -> int:
        """Return the number of runs of a step here, stopping ones included."""
        return sum(1 for task, _ in self.reserved
                   if task.job_id == job_id and task.occurrence == occurrence
                   and task.step == step)

    def record_success(self) -> None:
        """Record a run that ended successfully."""
        self.failures = 0

    def record_unanswered_start(self, now: float) -> bool:
        """Record a start without an answer; return whether it is avoided."""
        self.unanswered_starts += 1
        if self.unanswered_starts < MAX_CONSECUTIVE_FAILURES:
            return False
        self.avoid_until = now + AVOID_S
        return True

    def record_failure(self, now: float) -> bool:
        """Record a failed run; return whether the worker is avoided now."""
        self.failures += 1
        if self.failures < MAX_CONSECUTIVE_FAILURES:
            return False
        self.avoid_until = now + AVOID_S
        return True
