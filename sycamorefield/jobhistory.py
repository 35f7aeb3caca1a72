"""Hold the history of one job and of its fleet, as read from logs.

Times are in seconds on the clock of the logs.
"""

import dataclasses

from sycamorefield.fleet import messages

STORED = "stored"
REFUSED = "refused"
UNCERTAIN = "uncertain"
# Outcomes of runs other than those that workers report.
REJECTED = "rejected"
VANISHED = "vanished"
LOST = "lost with its worker"


@dataclasses.dataclass(frozen=True, slots=True)
class SubmissionReply:
    """What an entry process replied to a submission of the job."""

    at: float
    process: str
    kind: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Pickup:
    """When an owner of the fleet picked up the job."""

    at: float
    process: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobEnd:
    """When and in which state the job ended."""

    at: float
    process: str
    state: str
    reason: str = ""


@dataclasses.dataclass(slots=True)
class Ownership:
    """A period in which one process owned the fleet."""

    process: str
    claimed_at: float
    # When it had read the state of the fleet.
    ready_at: float | None = None
    # When all workers of its predecessor had reported or were given up, if
    # that is logged.
    workers_known_at: float | None = None
    ended_at: float | None = None
    reason: str = ""
    # Time of its last line with an event that only owners log.
    last_active_at: float = 0.0
    # False if the logs hold lines of the owner but not its claim.
    claim_logged: bool = True

    def __post_init__(self) -> None:
        self.last_active_at = self.claimed_at


@dataclasses.dataclass(frozen=True, slots=True)
class StoreOutage:
    """When the store stopped answering a process."""

    at: float
    process: str


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a task."""

    number: int
    worker: str
    ordered_at: float | None = None
    # When the owner logged that the order got no answer.
    unanswered_at: float | None = None
    stop_reason: str = ""
    ended_at: float | None = None
    outcome: str = ""
    # (time, pace in percent from then on)
    pace_changes: list[tuple[float, float]] = dataclasses.field(
        default_factory=list)

    def began_at(self) -> float:
        """Return when it was ordered, or the time of its first event."""
        known = [self.ordered_at, self.unanswered_at, self.ended_at]
        known += [at for at, _ in self.pace_changes[:1]]
        return min((at for at in known if at is not None), default=0.0)


@dataclasses.dataclass(slots=True)
class Task:
    """The runs of one task, by run number."""

    name: str
    runs: dict[int, Run] = dataclasses.field(default_factory=dict)

    def step(self) -> str:
        """Return its step as "OCCURRENCE.STEP"."""
        return ".".join(self.name.rsplit(".", 3)[1:3])

    def runs_in_order(self) -> list[Run]:
        """Return its runs in the order in which they began."""
        return sorted(self.runs.values(), key=Run.began_at)

    def first_ordered_at(self) -> float:
        """Return when its first run was ordered."""
        return min(run.began_at() for run in self.runs.values())

    def first_done_at(self) -> float | None:
        """Return when one of its runs was first reported as done."""
        return min((run.ended_at for run in self.runs.values()
                    if run.outcome == messages.DONE
                    and run.ended_at is not None), default=None)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetUsage:
    """Usage of the fleet and load of its owner, from one SF1834 line."""

    at: float
    capacity_cores: float
    reserved_cores: float
    # The most free cores on one worker.
    widest_gap_cores: float
    waiting_tasks: int
    # Workers of an earlier owner that have not reported to this one yet.
    awaited_workers: int
    # Time in placement rounds and between them since the line before.
    rounds_busy_s: float
    rounds_waited_s: float
    # Workers of data centres in which nothing may be started.
    evacuated_workers: int = 0


@dataclasses.dataclass(slots=True)
class JobHistory:
    """Everything that the logs say about one job."""

    job_id: str
    queue: str = ""
    replies: list[SubmissionReply] = dataclasses.field(default_factory=list)
    pickups: list[Pickup] = dataclasses.field(default_factory=list)
    cancelled_at: float | None = None
    job_ends: list[JobEnd] = dataclasses.field(default_factory=list)
    tasks: dict[str, Task] = dataclasses.field(default_factory=dict)
    ownerships: list[Ownership] = dataclasses.field(default_factory=list)
    store_outages: list[StoreOutage] = dataclasses.field(default_factory=list)
    usages: list[FleetUsage] = dataclasses.field(default_factory=list)
    # Times of the first and the last log line.
    log_begin: float = 0.0
    log_end: float = 0.0
    # Lines about the job or the fleet with missing or malformed fields.
    invalid_lines: int = 0

    def submitted_at(self) -> float:
        """Return the time of the first submission known from the logs."""
        known = [event.at for event in (self.replies[:1] + self.pickups[:1])]
        return min(known, default=self.first_ordered_at() or self.log_begin)

    def is_stored(self) -> bool:
        """Return whether the logs show that the job was stored."""
        return bool(self.pickups or self.tasks or self.job_ends) or any(
            reply.kind == STORED for reply in self.replies)

    def first_ordered_at(self) -> float | None:
        """Return when its first run was ordered."""
        return min((task.first_ordered_at() for task in self.tasks.values()),
                   default=None)

    def observed_until(self) -> float:
        """Return when the job ended, or else the last line of an owner."""
        if self.job_ends:
            return self.job_ends[0].at
        last_lines = [ownership.last_active_at
                      for ownership in self.ownerships]
        return max(last_lines, default=self.log_end)

    def steps(self) -> dict[str, list[Task]]:
        """Return the tasks of each step that has runs, in step order."""
        steps: dict[str, list[Task]] = {}
        for task in self.tasks.values():
            steps.setdefault(task.step(), []).append(task)
        return dict(sorted(steps.items(), key=lambda item: [
            int(part) for part in item[0].split(".")]))
