"""Decide whether an entry process rejects a job that cannot end in time.

The decision is taken before anything is stored, from the owner's backlog.
Each process decides by itself and by the same rule, whichever caller or data
centre a request comes from.
"""

import collections
import contextlib
import dataclasses
import math
import threading
import typing
import zlib

from sycamorefield import events
from sycamorefield.fleet import backlog as backlog_mod
from sycamorefield.fleet import clock
from sycamorefield.fleet import demand
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import ordering
from sycamorefield.fleet import records
from sycamorefield.fleet import waitingcounts

# A backlog older than this rejects nothing.  It covers the period of
# measuring, that of reading, and a slow call of the store.
MAX_AGE_S = 3.0
READ_PERIOD_S = 1.0
MIN_RETRY_AFTER_S = 1
# Callers repeat a request until about 3 s after their first attempt, so that a
# later one would not be made.
MAX_RETRY_AFTER_S = 2
# The CPU that queues asked for is averaged with this half-life.
ASKED_HALF_LIFE_S = 30.0
# Rounding of sums of shares.
SHARE_TOLERANCE = 1e-6
# Repeats of rejected requests are not counted as new demand.
MAX_REMEMBERED_REJECTIONS = 5000
# Least time between two log lines on backlogs that cannot be used.
LOG_PERIOD_S = 10.0

# Best-effort jobs are rejected from this time on, in which the work ahead is
# served, however long their objective is.  All jobs must have begun some
# seconds after the last one was accepted.
LONGEST_DRAIN_S = 10.0
# The least limit of that time.  So much may wait for a moment in normal load.
SHORTEST_DRAIN_LIMIT_S = 1.0
# From this share of the limit on some jobs are rejected, at the limit all.
EARLY_REJECTION_SHARE = 0.5

MISSING = "missing"
UNREADABLE = "unreadable"
FOREIGN = "not of the present owner"
FUTURE = "from the future"
OLD = "too old"
# Reasons that are worth a log line.  A backlog is missing or old whenever the
# owner has nothing to reject jobs for.
LOGGED_REASONS = (UNREADABLE, FOREIGN, FUTURE)


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Nothing was stored, as the job could not end in time.

    The caller may retry after retry_after_s.
    """

    reason: str
    retry_after_s: int


class JobsInProgress:
    """Counts the requests in progress for each job."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.counts: collections.Counter[str] = collections.Counter()

    @contextlib.contextmanager
    def entered(self, job_id: str) -> typing.Iterator[None]:
        """Count a request until the context ends."""
        with self.lock:
            self.counts[job_id] += 1
        try:
            yield
        finally:
            with self.lock:
                self.counts[job_id] -= 1
                if not self.counts[job_id]:
                    del self.counts[job_id]

    def is_only_one(self, job_id: str) -> bool:
        """Return whether no other request for the job is in progress."""
        with self.lock:
            return self.counts[job_id] <= 1


class AskedCpu:
    """The CPU that each queue's callers asked this process for lately.

    Rejected jobs count, but not repeats of their requests.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.cpu_s: dict[str, float] = {}
        self.decayed_at = 0.0
        self.rejected: collections.OrderedDict[str, None] = (
            collections.OrderedDict())

    def add(self, job: messages.Job, cpu_s: float, now: float) -> None:
        """Add a submitted job."""
        with self.lock:
            factor = 0.5 ** (max(0.0, now - self.decayed_at)
                             / ASKED_HALF_LIFE_S)
            self.decayed_at = now
            for name in self.cpu_s:
                self.cpu_s[name] *= factor
            if job.job_id not in self.rejected:
                self.cpu_s[job.queue] = (
                    self.cpu_s.get(job.queue, 0.0) + cpu_s)

    def note_rejected(self, job_id: str) -> None:
        """Remember a rejected job."""
        with self.lock:
            self.rejected[job_id] = None
            while len(self.rejected) > MAX_REMEMBERED_REJECTIONS:
                self.rejected.popitem(last=False)

    def snapshot(self) -> dict[str, float]:
        """Return the core-seconds by queue."""
        with self.lock:
            return dict(self.cpu_s)


def is_below_share(queue: str, backlog: backlog_mod.Backlog,
                   asked: typing.Mapping[str, float]) -> bool:
    """Return whether a queue gets less than its share of its peers' CPU.

    Peers are the queues of its service and priority.  What they get together
    is divided in proportion to what they asked for lately.  If a queue gets
    less than its share, another one gets more.
    """
    load = backlog.queues[queue]
    peers = {name: other for name, other in backlog.queues.items()
             if (other.service, other.priority) == (load.service,
                                                    load.priority)}
    total_asked = sum(asked.get(name, 0.0) for name in peers)
    if not total_asked:
        return True
    total_got = sum(other.got_cores for other in peers.values())
    share = total_got * asked.get(queue, 0.0) / total_asked
    return load.got_cores < share * (1.0 - SHARE_TOLERANCE)


def retry_after_s(job_id: str, excess_s: float) -> int:
    """Return when a caller is to return, in whole seconds.

    Capacity is expected after excess_s.  Half of the callers, chosen by job
    ID, return a second later than the others, unless that is too late for
    them.  So who was rejected a second earlier never returns later.
    """
    base_s = min(MAX_RETRY_AFTER_S,
                 max(MIN_RETRY_AFTER_S, math.ceil(excess_s)))
    return min(MAX_RETRY_AFTER_S, base_s + zlib.crc32(job_id.encode()) % 2)


def decide(job: messages.Job, queue: messages.Queue,
           backlog: backlog_mod.Backlog, age_s: float,
           asked: typing.Mapping[str, float]) -> Rejected | None:
    """Return a rejection if a job cannot end in time by a usable backlog."""
    return (_decide_best_effort(job, queue, backlog, age_s)
            or _decide_finite(job, queue, backlog, age_s, asked))


def _decide_best_effort(job: messages.Job, queue: messages.Queue,
                        backlog: backlog_mod.Backlog, age_s: float
                        ) -> Rejected | None:
    """Return a rejection if more best-effort work waits than can be served.

    All that is accepted runs to its end, so beyond what is served in time, a
    new job could only be in time at the cost of others.  Jobs are rejected at
    random with a probability that rises with the work that waits: the backlog
    is up to two seconds old, in which all processes would accept all jobs or
    none.
    """
    times = backlog_mod.estimate_best_effort_times(backlog, job, queue)
    if times is None:
        return None
    limit_s = max(SHORTEST_DRAIN_LIMIT_S, min(
        LONGEST_DRAIN_S, times.objective_s - times.path_s))
    images = {step.image for step in job.steps if step.fills}
    # The sum over all images may take longer, as none waits for all others.
    drain_s, limit_s = max(
        ((backlog.drain_s(job.service, queue.priority, images), limit_s),
         (backlog.drain_s(job.service, queue.priority, (None,)),
          LONGEST_DRAIN_S)), key=lambda pair: pair[0] / pair[1])
    drain_s -= age_s
    excess = drain_s / limit_s - EARLY_REJECTION_SHARE
    if excess <= (1.0 - EARLY_REJECTION_SHARE) * _draw(
            job.job_id, backlog.written_ms):
        return None
    return Rejected(
        f"load: accepted best-effort work takes {drain_s:.1f} s to serve, "
        f"{limit_s:.1f} s allowed",
        retry_after_s(job.job_id, drain_s - limit_s))


def _draw(job_id: str, written_ms: float) -> float:
    """Return a number between 0 and 1 for a job and a backlog.

    It is the same in all processes, and another one for each backlog.
    """
    return zlib.crc32(f"{job_id} {written_ms}".encode()) / 2.0 ** 32


def _decide_finite(job: messages.Job, queue: messages.Queue,
                   backlog: backlog_mod.Backlog, age_s: float,
                   asked: typing.Mapping[str, float]) -> Rejected | None:
    times = backlog_mod.estimate_times(
        backlog, age_s, job, queue, ordering.LATE_FACTOR)
    if times is None or times.end_s <= times.limit_s:
        return None
    if is_below_share(queue.name, backlog, asked):
        return None
    return Rejected(
        f"load: would end after {times.end_s:.1f} s at the earliest, "
        f"{times.limit_s:.1f} s allowed",
        retry_after_s(job.job_id, times.end_s - times.limit_s))


def _start_thread(target: typing.Callable[[], None]) -> None:
    threading.Thread(target=target, daemon=True).start()


class Admission:
    """Reads the backlog while jobs are submitted, and decides on them.

    read returns an item of the store; it raises CallFailed.
    """

    def __init__(self, read: typing.Callable[[str], messages.Item | None],
                 owner_claim: waitingcounts.OwnerClaim,
                 run_in_background: typing.Callable[
                     [typing.Callable[[], None]], None] = _start_thread
                 ) -> None:
        self.read = read
        self.owner_claim = owner_claim
        self.run_in_background = run_in_background
        self.lock = threading.Lock()
        self.asked = AskedCpu()
        self.reading = False
        self.read_started_at = -math.inf
        # The item as last read, its decoded value if readable, and when this
        # revision was first read.
        self.item: messages.Item | None = None
        self.backlog: backlog_mod.Backlog | None = None
        self.first_read_at = 0.0
        self.logged_reason = ""
        self.logged_at = -math.inf
        self.rejected_total = 0

    def find_rejection(self, job: messages.Job,
                       queue: messages.Queue) -> Rejected | None:
        """Return a rejection of a job, or None if it is to be stored.

        The backlog is read in the background: no request waits for it.
        """
        now = clock.now()
        self._read_when_due(now)
        backlog = self.backlog
        self.asked.add(job, _asked_cpu_s(job, backlog), now)
        reason, age_s = self._check_backlog(now, clock.wall_ms())
        self._log(reason, now)
        if reason or backlog is None:
            return None
        return decide(job, queue, backlog, age_s, self.asked.snapshot())

    def note_rejected(self, job: messages.Job, rejection: Rejected) -> None:
        """Count and log that a caller is told of a rejection."""
        self.asked.note_rejected(job.job_id)
        with self.lock:
            self.rejected_total += 1
        events.emit(events.JOB_REJECTED, job=job.job_id, queue=job.queue,
                    reason=rejection.reason,
                    retry_after_s=rejection.retry_after_s)

    def gauges(self) -> dict[str, float]:
        """Return metrics; the age is only given of a usable backlog."""
        reason, age_s = self._check_backlog(clock.now(), clock.wall_ms())
        gauges = {"jobs_rejected_total": float(self.rejected_total),
                  "backlog_usable": float(not reason)}
        if not reason:
            gauges["backlog_age_s"] = age_s
        return gauges

    def _check_backlog(self, now: float, wall_ms: float) -> tuple[str, float]:
        """Return why the backlog cannot be used, or "", and its age."""
        with self.lock:
            item, backlog = self.item, self.backlog
            known_s = now - self.first_read_at
        if item is None:
            return MISSING, 0.0
        if backlog is None:
            return UNREADABLE, 0.0
        claim = self.owner_claim()
        if claim is None or backlog.fence != claim or item.revision <= claim:
            return FOREIGN, 0.0
        age_s = (wall_ms - backlog.written_ms) / 1000.0
        if age_s < 0.0:
            return FUTURE, age_s
        # The time of day may be set back.
        if max(age_s, known_s) > MAX_AGE_S:
            return OLD, age_s
        return "", age_s

    def _log(self, reason: str, now: float) -> None:
        """Log a change of why the backlog cannot be used, but not often."""
        if (reason not in LOGGED_REASONS
                or (reason == self.logged_reason
                    and now - self.logged_at < LOG_PERIOD_S)):
            return
        self.logged_reason, self.logged_at = reason, now
        events.emit(events.BACKLOG_UNUSABLE, key=records.BACKLOG_KEY,
                    reason=reason)

    def _read_when_due(self, now: float) -> None:
        with self.lock:
            if self.reading or now - self.read_started_at < READ_PERIOD_S:
                return
            self.reading = True
            self.read_started_at = now
        self.run_in_background(self._read_backlog)

    def _read_backlog(self) -> None:
        try:
            item = self.read(records.BACKLOG_KEY)
        except interfaces.CallFailed:
            # What was read before is used until it is too old.
            return
        finally:
            with self.lock:
                self.reading = False
        try:
            backlog = (backlog_mod.decode(item.value)
                       if item is not None else None)
        except (ValueError, RecursionError):
            backlog = None
        with self.lock:
            known = self.item
            if (item is None or known is None
                    or item.revision != known.revision):
                self.first_read_at = clock.now()
            self.item, self.backlog = item, backlog


def _asked_cpu_s(job: messages.Job,
                 backlog: backlog_mod.Backlog | None) -> float:
    """Return the core-seconds of a job's finite tasks."""
    total = 0.0
    for step in filter(demand.is_finite, job.steps):
        bounds = (backlog.bounds(job.queue, step)
                  if backlog is not None else None)
        task_s = (bounds.task_s(step, backlog_mod.MID)
                  if bounds is not None else step.estimate_ms / 1000.0)
        total += step.count * step.room.cpu * task_s / 1000.0
    return total
