"""Hold the typed messages that the scheduler and its surroundings exchange."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """Processors (thousandths of a core), memory (MB) and accelerators."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum of both."""
        return Resources(self.cpu + other.cpu, self.mem_mb + other.mem_mb,
                         self.gpu + other.gpu)

    def minus(self, other: "Resources") -> "Resources":
        """Return what is left after other is taken away."""
        return Resources(self.cpu - other.cpu, self.mem_mb - other.mem_mb,
                         self.gpu - other.gpu)

    def holds(self, other: "Resources") -> bool:
        """Tell whether other fits."""
        return (other.cpu <= self.cpu and other.mem_mb <= self.mem_mb
                and other.gpu <= self.gpu)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One step of a job: a number of equal tasks and where they may run."""

    count: int
    room: Resources = Resources()
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    affinity: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    perpetual: bool = False
    checkpoint: bool = False
    fills: bool = False
    image: str = ""
    target_ms: float = 0.0
    may_miss: int = 0

    def reserved(self) -> Resources:
        """Return the room a task takes from its worker.

        The processors of a task that fills are not reserved: it runs on what
        the others leave unused.
        """
        if self.fills:
            return Resources(0, self.room.mem_mb, self.room.gpu)
        return self.room


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A job as its caller handed it in, with the queue that took it."""

    job_id: str
    queue: str
    service: str
    priority: int
    max_attempts: int
    accepted_ms: float
    spec: str
    steps: tuple[Step, ...]
    start_at_ms: float = 0.0
    repeat_count: int = 0
    interval_ms: float = 0.0

    def occurrences(self) -> int:
        """Return how often the steps run."""
        return max(1, self.repeat_count)

    def due_ms(self, occurrence: int) -> float:
        """Return when an occurrence is due, in ms since 1970 (0: at once)."""
        if not self.start_at_ms:
            return 0.0
        return self.start_at_ms + occurrence * self.interval_ms


class StepId(typing.NamedTuple):
    """Name one step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}"


class TaskId(typing.NamedTuple):
    """Name one task: its job, occurrence, step and number in the step."""

    job_id: str
    occurrence: int
    step: int
    number: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.number}"

    def step_id(self) -> StepId:
        """Return the name of the step that the task belongs to."""
        return StepId(self.job_id, self.occurrence, self.step)


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerEntry:
    """A worker as the list of workers shows it."""

    worker_id: str
    service: str
    address: str
    data_centre: str
    draining: bool
    capacity: Resources
    labels: tuple[str, ...]
    remaining_ms: float | None = None

    def rack(self) -> str:
        """Return the rack's label, or nothing if none is named.

        Labels are the worker's kind and then its rack.
        """
        return self.labels[-1] if len(self.labels) > 1 else ""


class RunningTask(typing.NamedTuple):
    """One run that a worker says is under way."""

    task: TaskId
    run: int
    saved: str
    percent: int
    # Tail latency in ms for a task that serves, else thousandths of a core.
    figure: float = 0.0


class EndedTask(typing.NamedTuple):
    """One run that a worker says has ended; number rises with each end."""

    number: int
    task: TaskId
    run: int
    how: str
    saved: str


DONE = "done"
FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's answer to a lease renewal."""

    clock_ms: float
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Start one run of a task."""

    task: TaskId
    run: int
    spec: str
    saved: str = ""
    ticket: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StopOrder:
    """Stop one run of a task; a run not begun yet is kept from beginning."""

    task: TaskId
    run: int


@dataclasses.dataclass(frozen=True, slots=True)
class PaceOrder:
    """Let one run work at a share, 0 to 100 percent."""

    task: TaskId
    run: int
    percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """Say how long advice takes (a call, and each worker) and holds, in ms."""

    decide_ms: float = 0.0
    per_worker_ms: float = 0.0
    valid_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Advice:
    """Hold a ticket for each worker that may run a step, and how long."""

    tickets: dict[str, str]
    # As the service says it, or None where only the policy does.
    valid_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """Where jobs of one host and path prefix go, as operators configured."""

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    # Set where only workers that the advice service names may run a step.
    advice: AdvicePolicy | None = None
    # A job is in time if it takes stretch times its longest chain of steps
    # and slo_ms more.
    stretch: float = 1.0
    slo_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """The operators' configuration: queues in the order they are matched."""

    version: int = 0
    queues: tuple[Queue, ...] = ()
    max_body_bytes: int = 262_144

    def match(self, host: str, path: str) -> Queue | None:
        """Return the first queue that matches (the longest prefix first)."""
        for queue in self.queues:
            if queue.host == host and path.startswith(queue.prefix):
                return queue
        return None

    def find_queue(self, name: str) -> Queue | None:
        """Return the queue of a name."""
        return self.queues_by_name().get(name)

    def queues_by_name(self) -> dict[str, Queue]:
        """Return the queues by name."""
        return {queue.name: queue for queue in self.queues}


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A stored value and the revision of its last change."""

    key: str
    value: bytes
    revision: int
    created: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """An item as it was written, or a key that was removed (no item)."""

    key: str
    revision: int
    item: Item | None


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """The items under a prefix and the revision the list began at."""

    items: tuple[Item, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What changed under a prefix up to a revision."""

    changes: tuple[Change, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Expect:
    """Require that a key is still at a revision (0: that it is absent)."""

    key: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Write a value under a key, removed with the lease if one is given."""

    key: str
    value: bytes
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Write all of it if every expectation holds, else nothing."""

    expects: tuple[Expect, ...] = ()
    puts: tuple[Put, ...] = ()
    removes: tuple[str, ...] = ()


PENDING = "pending"
RUNNING = "running"
COMPLETED = "completed"
JOB_FAILED = "failed"
CANCELLED = "cancelled"
FINAL_STATES = (COMPLETED, JOB_FAILED, CANCELLED)
