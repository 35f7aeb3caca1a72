"""Hold what the owner knows of one worker and the room left on it."""

import itertools

from sycamorefield.fleet import interference
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress

Run = tuple[messages.TaskId, int]

# A worker's clock may be this much slow; waiting for a lease to end on it
# counts our own time as shorter by the same share.
SLOW_CLOCK = 0.98
# The longest lease that any owner gives to what runs.  A successor takes
# about 1 s to take over from an owner that stopped and 2.5 s from one that
# died; what runs must outlive that.  Longer, and the tasks of a worker that
# went dark would wait longer for their next run.
LEASE_MS = 5000.0
# Slack for the rounding of clocks and for the kill itself.
LEASE_END_SLACK_MS = 300.0
# Seconds of our clock after which a lease given now has certainly ended.
LEASE_OVER_S = (LEASE_MS + LEASE_END_SLACK_MS) / 1000.0 / SLOW_CLOCK

# At most so many starts wait to be sent to a worker, one after the other and
# some 5 ms each.  Without a limit an owner that sends slowly goes on placing:
# a task then holds room for seconds before it begins, which makes the fleet
# look full and more tasks wait.  One sees runs end long after they could
# have, one a round and worker: short tasks of 0.6 s held their room for 8 s.
UNSENT_STARTS = 8

# A worker that failed this many runs in a row without a success is avoided
# for a while: one that fails all it starts would else eat every attempt.
FAILURES_IN_A_ROW = 3
AVOID_S = 3.0

# Numbers changes of workers in the order in which they happen.
CHANGES = itertools.count(1)


class WorkerState:
    """Account for the room of one worker and its lease."""

    def __init__(self, entry: messages.WorkerEntry,
                 limits_unsent: bool = True) -> None:
        self.entry = entry
        self.listed = True
        # Whether it was on a list that this owner has read.
        self.was_listed = False
        self.enrolled = False
        self.reported = False
        self.silent = False
        # Since when it does not answer, if it is silent.
        self.silent_at = 0.0
        # Whether it closed a connection while it was about to leave.
        self.closed = False
        # When its last report came.
        self.reported_at = 0.0
        # When the last call that it answered was sent.
        self.obeyed_at = 0.0
        self.reserved: dict[Run, messages.Room] = {}
        self.used = messages.Room()
        self.free_of = (messages.Room(), messages.Room())
        self.free_room = messages.Room()
        self.tasks: dict[Run, progress.TaskState] = {}
        # Runs whose start waits to be sent.
        self.unsent: set[Run] = set()
        self.limits_unsent = limits_unsent
        self.serving = 0
        # Runs that may give way to urgent ones: neither filling nor lasting.
        self.yielding = 0
        self.filling_cpu = 0
        # Processors that lasting tasks reserve.
        self.lasting_cpu = 0
        self.tails: list[interference.TailLatency] = []
        # Reserved processors that serving tasks leave unused, thousandths.
        self.unused_cpu = 0.0
        self.over_reports = 0
        self.eased_at = 0.0
        self.avoid_until = 0.0
        self.failures = 0
        self.clock_ms = 0.0
        self.clock_read = 0.0
        self.granted_ms = 0.0
        self.processed = 0
        # The number of the last change that may let a run fit here that did
        # not fit before.
        self.changed = next(CHANGES)
        # Whether new runs could be ordered here in the last round.
        self.was_usable = False
        # Runs whose start was turned away by an address without a listener.
        self.never_began: set[Run] = set()
        # Runs that were told to stop.
        self.stopping: set[Run] = set()
        # Whether the last report showed a run that makes little progress.
        self.stalls = False

    def touch(self) -> None:
        """Note a change after which runs may fit that did not before."""
        self.changed = next(CHANGES)

    def heard(self, clock_ms: float, at: float) -> None:
        """Note the worker's clock, read at a moment of ours."""
        if clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_read = at

    def lease_until(self, lease_ms: float, now: float) -> float | None:
        """Return when a lease given now ends, or None before any report.

        The time is on the worker's clock, and is remembered.
        """
        if not self.clock_read:
            return None
        until = self.clock_ms + (now - self.clock_read) * 1000.0 + lease_ms
        self.granted_ms = max(self.granted_ms, until)
        return until

    def lease_over(self, now: float) -> bool:
        """Tell whether every lease ever given has certainly ended."""
        if not self.clock_read:
            return False
        least = (self.clock_ms
                 + (now - self.clock_read) * 1000.0 * SLOW_CLOCK)
        return least > self.granted_ms + LEASE_END_SLACK_MS

    def reserve(self, run: Run, step: messages.Step,
                task: progress.TaskState | None) -> None:
        """Count a run's room as taken until it is released."""
        if run in self.reserved:
            return
        self.touch()
        room = step.reserved()
        self.reserved[run] = room
        self.used = self.used.plus(room)
        if step.fills:
            self.filling_cpu += step.room.cpu
        elif step.perpetual:
            self.lasting_cpu += step.room.cpu
        else:
            self.yielding += 1
        if step.target_ms:
            self.serving += 1
        if task is not None:
            self.tasks[run] = task

    def release(self, run: Run, step: messages.Step) -> None:
        """Give a run's room back."""
        self.touch()
        self.unsent.discard(run)
        self.stopping.discard(run)
        self.never_began.discard(run)
        room = self.reserved.pop(run, None)
        self.tasks.pop(run, None)
        if room is None:
            return
        self.used = self.used.minus(room)
        if step.fills:
            self.filling_cpu -= step.room.cpu
        elif step.perpetual:
            self.lasting_cpu -= step.room.cpu
        else:
            self.yielding -= 1
        if step.target_ms:
            self.serving -= 1

    def takes_starts(self) -> bool:
        """Tell whether another start would be sent soon."""
        return (len(self.unsent) < UNSENT_STARTS
                or not self.limits_unsent)

    def start_sent(self, run: Run) -> bool:
        """Note that a start waits no more; tell if others may follow now."""
        held_back = not self.takes_starts()
        self.unsent.discard(run)
        if held_back:
            self.touch()
        return held_back and self.takes_starts()

    def free(self) -> messages.Room:
        """Return the room that no run takes; what stops still counts.

        Rounds ask for it tens of thousands of times a second, so it is
        worked out again only when capacity or use has changed.
        """
        capacity = self.entry.capacity
        if self.free_of != (capacity, self.used):
            self.free_of = (capacity, self.used)
            self.free_room = capacity.minus(self.used)
        return self.free_room

    def usable(self, now: float) -> bool:
        """Tell whether new runs may be ordered here."""
        return (self.listed and self.enrolled and self.reported
                and not self.silent
                and not self.entry.draining and self.avoid_until <= now)

    def count_of(self, job_id: str, occurrence: int, step: int) -> int:
        """Return how many runs of one step are here."""
        return sum(1 for task, _ in self.reserved
                   if task.job_id == job_id and task.occurrence == occurrence
                   and task.step == step)

    def succeeded(self) -> None:
        """Note a run that ended as done."""
        self.failures = 0

    def failed(self, now: float) -> bool:
        """Note a failed run; tell whether the worker is avoided from now."""
        self.failures += 1
        if self.failures < FAILURES_IN_A_ROW:
            return False
        self.avoid_until = now + AVOID_S
        return True
