"""Hold what logs say of one job, and of the fleet while it was open."""

import dataclasses

from sycamorefield.fleet import messages

STORED = "stored"
REFUSED = "refused"
UNCERTAIN = "uncertain"
# Ends of a run besides those that workers report.
REJECTED = "rejected"
VANISHED = "vanished"
LOST = "lost with its worker"


@dataclasses.dataclass(frozen=True, slots=True)
class SubmissionReply:
    """Hold what a caller was told when it handed the job in."""

    at: float
    process: str
    kind: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Pickup:
    """Say when an owner took up the job."""

    at: float
    process: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobEnd:
    """Say when and how the job ended."""

    at: float
    process: str
    state: str
    reason: str = ""


@dataclasses.dataclass(slots=True)
class Ownership:
    """Hold from when to when a process owned the fleet."""

    process: str
    claimed_at: float
    # When it had read the fleet's state.
    ready_at: float | None = None
    ended_at: float | None = None
    reason: str = ""
    # Its last line of the kinds that only an owner writes.
    last_active_at: float = 0.0
    # Whether its claim is in the logs; else it is only seen to act.
    claim_logged: bool = True

    def __post_init__(self) -> None:
        self.last_active_at = self.claimed_at


@dataclasses.dataclass(frozen=True, slots=True)
class StoreOutage:
    """Say when the store ceased to answer a process."""

    at: float
    process: str


@dataclasses.dataclass(slots=True)
class Run:
    """Hold one run of a task."""

    number: int
    worker: str
    ordered_at: float | None = None
    unanswered_at: float | None = None
    stop_reason: str = ""
    ended_at: float | None = None
    outcome: str = ""
    # Paces in percent, from when on.
    pace_changes: list[tuple[float, float]] = dataclasses.field(
        default_factory=list)

    def began_at(self) -> float:
        """Return when it was ordered, or the first that is known of it."""
        known = [self.ordered_at, self.unanswered_at, self.ended_at]
        known += [at for at, _ in self.pace_changes[:1]]
        return min((at for at in known if at is not None), default=0.0)


@dataclasses.dataclass(slots=True)
class Task:
    """Hold the runs of one task."""

    name: str
    runs: dict[int, Run] = dataclasses.field(default_factory=dict)

    def step(self) -> str:
        """Return occurrence and number of its step."""
        return ".".join(self.name.rsplit(".", 3)[1:3])

    def runs_in_order(self) -> list[Run]:
        """Return its runs in the order of time."""
        return sorted(self.runs.values(), key=Run.began_at)

    def first_ordered_at(self) -> float:
        """Return when its first run was ordered."""
        return min(run.began_at() for run in self.runs.values())

    def first_done_at(self) -> float | None:
        """Return when a run of it was first reported as done."""
        return min((run.ended_at for run in self.runs.values()
                    if run.outcome == messages.DONE and run.ended_at is not None),
                   default=None)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetUsage:
    """Hold how full the fleet was and how busy its owner."""

    at: float
    capacity_cores: float
    reserved_cores: float
    widest_gap_cores: float
    waiting_tasks: int
    awaited_workers: int
    rounds_busy_s: float
    rounds_waited_s: float


@dataclasses.dataclass(slots=True)
class JobHistory:
    """Hold all that logs say of one job."""

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
    # When the logs begin and end.
    log_begin: float = 0.0
    log_end: float = 0.0
    # Lines about the job or the fleet that lack what belongs in them.
    invalid_lines: int = 0

    def submitted_at(self) -> float:
        """Return when the job was first handed in, as far as is known."""
        known = [line.at for line in (self.replies[:1] + self.pickups[:1])]
        return min(known, default=self.first_ordered_at() or self.log_begin)

    def is_stored(self) -> bool:
        """Say whether the job is known to have been stored."""
        return bool(self.pickups or self.tasks or self.job_ends) or any(
            reply.kind == STORED for reply in self.replies)

    def first_ordered_at(self) -> float | None:
        """Return when its first run was ordered."""
        return min((task.first_ordered_at() for task in self.tasks.values()),
                   default=None)

    def observed_until(self) -> float:
        """Return when the job ended, or else until when its owner told."""
        if self.job_ends:
            return self.job_ends[0].at
        acts = [own.last_active_at for own in self.ownerships]
        return max(acts, default=self.log_end)

    def steps(self) -> dict[str, list[Task]]:
        """Return the tasks of each step that was begun."""
        steps: dict[str, list[Task]] = {}
        for task in self.tasks.values():
            steps.setdefault(task.step(), []).append(task)
        return dict(sorted(steps.items(), key=lambda item: [
            int(part) for part in item[0].split(".")]))
