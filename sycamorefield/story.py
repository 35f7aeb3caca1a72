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
class Answer:
    """Hold what a caller was told when it handed the job in."""

    at: float
    process: str
    kind: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Sighting:
    """Say when an owner took up the job."""

    at: float
    process: str


@dataclasses.dataclass(frozen=True, slots=True)
class Final:
    """Say when and how the job ended."""

    at: float
    process: str
    state: str
    reason: str = ""


@dataclasses.dataclass(slots=True)
class Ownership:
    """Hold from when to when a process owned the fleet."""

    process: str
    claimed: float
    # When it had read the fleet's state.
    ready: float | None = None
    over: float | None = None
    reason: str = ""
    # Its last line of the kinds that only an owner writes.
    last_act: float = 0.0
    # Whether its claim is in the logs; else it is only seen to act.
    claim_logged: bool = True

    def __post_init__(self) -> None:
        self.last_act = self.claimed


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLoss:
    """Say when the store ceased to answer a process."""

    at: float
    process: str


@dataclasses.dataclass(slots=True)
class Run:
    """Hold one run of a task."""

    number: int
    worker: str
    ordered: float | None = None
    unanswered: float | None = None
    told_to_stop: str = ""
    over: float | None = None
    how: str = ""
    # Paces in percent, from when on.
    paces: list[tuple[float, float]] = dataclasses.field(
        default_factory=list)

    def begin(self) -> float:
        """Return when it was ordered, or the first that is known of it."""
        known = [self.ordered, self.unanswered, self.over]
        known += [at for at, _ in self.paces[:1]]
        return min((at for at in known if at is not None), default=0.0)


@dataclasses.dataclass(slots=True)
class Task:
    """Hold the runs of one task."""

    name: str
    runs: dict[int, Run] = dataclasses.field(default_factory=dict)

    def step(self) -> str:
        """Return occurrence and number of its step."""
        return ".".join(self.name.rsplit(".", 3)[1:3])

    def in_order(self) -> list[Run]:
        """Return its runs in the order of time."""
        return sorted(self.runs.values(), key=Run.begin)

    def first_order(self) -> float:
        """Return when its first run was ordered."""
        return min(run.begin() for run in self.runs.values())

    def done_at(self) -> float | None:
        """Return when a run of it was first reported as done."""
        return min((run.over for run in self.runs.values()
                    if run.how == messages.DONE and run.over is not None),
                   default=None)


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Hold how full the fleet was and how busy its owner."""

    at: float
    capacity_cores: float
    reserved_cores: float
    widest_gap_cores: float
    waiting: int
    unheard: int
    busy_s: float
    idle_s: float


@dataclasses.dataclass(slots=True)
class Story:
    """Hold all that logs say of one job."""

    job_id: str
    queue: str = ""
    answers: list[Answer] = dataclasses.field(default_factory=list)
    sightings: list[Sighting] = dataclasses.field(default_factory=list)
    cancelled: float | None = None
    finals: list[Final] = dataclasses.field(default_factory=list)
    tasks: dict[str, Task] = dataclasses.field(default_factory=dict)
    ownerships: list[Ownership] = dataclasses.field(default_factory=list)
    store_losses: list[StoreLoss] = dataclasses.field(default_factory=list)
    usages: list[Usage] = dataclasses.field(default_factory=list)
    # When the logs begin and end.
    log_begin: float = 0.0
    log_end: float = 0.0
    # Lines about the job or the fleet that lack what belongs in them.
    unreadable: int = 0

    def handed_in(self) -> float:
        """Return when the job was first handed in, as far as is known."""
        known = [line.at for line in (self.answers[:1] + self.sightings[:1])]
        return min(known, default=self.first_order() or self.log_begin)

    def stored(self) -> bool:
        """Say whether the job is known to have been stored."""
        return bool(self.sightings or self.tasks or self.finals) or any(
            answer.kind == STORED for answer in self.answers)

    def first_order(self) -> float | None:
        """Return when its first run was ordered."""
        return min((task.first_order() for task in self.tasks.values()),
                   default=None)

    def until(self) -> float:
        """Return when the job ended, or else until when its owner told."""
        if self.finals:
            return self.finals[0].at
        acts = [own.last_act for own in self.ownerships]
        return max(acts, default=self.log_end)

    def steps(self) -> dict[str, list[Task]]:
        """Return the tasks of each step that was begun."""
        steps: dict[str, list[Task]] = {}
        for task in self.tasks.values():
            steps.setdefault(task.step(), []).append(task)
        return dict(sorted(steps.items(), key=lambda item: [
            int(part) for part in item[0].split(".")]))
