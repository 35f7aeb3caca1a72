"""Types exchanged between the scheduler, the store and the workers."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """CPU (thousandths of a core), memory (MB) and number of GPUs."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum of both amounts."""
        return Resources(self.cpu + other.cpu, self.mem_mb + other.mem_mb,
                         self.gpu + other.gpu)

    def minus(self, other: "Resources") -> "Resources":
        """Return what is left after subtracting other."""
        return Resources(self.cpu - other.cpu, self.mem_mb - other.mem_mb,
                         self.gpu - other.gpu)

    def holds(self, other: "Resources") -> bool:
        """Return whether other fits into this amount."""
        return (other.cpu <= self.cpu and other.mem_mb <= self.mem_mb
                and other.gpu <= self.gpu)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A step of a job: identical tasks and their placement constraints.

    The field names are also the keys of the stored job record.
    """

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
        """Return the resources that a task reserves on its worker.

        A best-effort task reserves no CPU: it runs on what the other tasks
        leave unused.
        """
        if self.fills:
            return Resources(0, self.room.mem_mb, self.room.gpu)
        return self.room


@dataclasses.dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """How long advice takes and how long it stays valid.

    A call takes decide_ms plus per_worker_ms for each worker.
    """

    decide_ms: float = 0.0
    per_worker_ms: float = 0.0
    valid_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A job as submitted by its caller, and the queue that accepted it.

    The field names are also the keys of the stored job record.
    """

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
    # The policy of the queue, for when the queue is removed.
    advice: AdvicePolicy | None = None

    def occurrences(self) -> int:
        """Return how many times the job runs all of its steps."""
        return max(1, self.repeat_count)

    def due_ms(self, occurrence: int) -> float:
        """Return when an occurrence is due (ms since 1970; 0: at once)."""
        if not self.start_at_ms:
            return 0.0
        return self.start_at_ms + occurrence * self.interval_ms


class StepId(typing.NamedTuple):
    """Identifies one step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}"


class TaskId(typing.NamedTuple):
    """Identifies a task by job, occurrence, step and number in the step."""

    job_id: str
    occurrence: int
    step: int
    number: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.number}"

    @classmethod
    def parse(cls, name: str) -> "TaskId":
        """Return the task with a name; raises ValueError if it is none."""
        job_id, occurrence, step, number = name.rsplit(".", 3)
        return cls(job_id, int(occurrence), int(step), int(number))

    def step_id(self) -> StepId:
        """Return the ID of the step that the task belongs to."""
        return StepId(self.job_id, self.occurrence, self.step)


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerEntry:
    """A worker as published in the list of workers."""

    worker_id: str
    service: str
    address: str
    data_centre: str
    draining: bool
    capacity: Resources
    labels: tuple[str, ...]
    remaining_ms: float | None = None
    # When the worker started, in ms since 1970; 0 if it does not say.  A
    # worker that starts again under its ID has a later one.
    born_ms: int = 0

    def rack(self) -> str:
        """Return the label of the worker's rack, or "" if it has none.

        The first label is the worker's kind, the last of several its rack.
        """
        return self.labels[-1] if len(self.labels) > 1 else ""


class RunningTask(typing.NamedTuple):
    """A run that a worker reports as in progress."""

    task: TaskId
    run: int
    saved: str
    percent: int
    # Tail latency in ms of a task that serves requests; CPU use in
    # thousandths of a core of any other task.
    figure: float = 0.0


class EndedTask(typing.NamedTuple):
    """A run that a worker reports as ended.

    number increases with every run that ends on the worker.
    """

    number: int
    task: TaskId
    run: int
    how: str
    saved: str


DONE = "done"
FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's reply to a lease renewal."""

    clock_ms: float
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    # As in WorkerEntry.
    born_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """An order to start a run of a task."""

    task: TaskId
    run: int
    spec: str
    saved: str = ""
    ticket: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StopOrder:
    """An order to stop a run of a task.

    A run that has not begun yet is prevented from beginning.
    """

    task: TaskId
    run: int


@dataclasses.dataclass(frozen=True, slots=True)
class PaceOrder:
    """An order to limit the speed of a run to 0 to 100 percent."""

    task: TaskId
    run: int
    percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class Advice:
    """Tickets of the workers that may run a step, and their lifetime."""

    tickets: dict[str, str]
    # As the advice service says, or None to use the policy's valid_ms.
    valid_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """An operator's configuration of jobs of one host and path prefix."""

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    # Set if only workers that the advice service names may run a step.
    advice: AdvicePolicy | None = None
    # The deadline of a job: stretch times its critical path, plus slo_ms.
    stretch: float = 1.0
    slo_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """What operators request, with queues in matching order."""

    version: int = 0
    queues: tuple[Queue, ...] = ()
    max_body_bytes: int = 262_144
    # Data centres in which nothing may be started.
    evacuated: frozenset[str] = frozenset()

    def match(self, host: str, path: str) -> Queue | None:
        """Return the first matching queue; longer prefixes come first."""
        for queue in self.queues:
            if queue.host == host and path.startswith(queue.prefix):
                return queue
        return None

    def find_queue(self, name: str) -> Queue | None:
        """Return the queue of that name, or None."""
        return self.queues_by_name().get(name)

    def queues_by_name(self) -> dict[str, Queue]:
        """Return the queues by name."""
        return {queue.name: queue for queue in self.queues}


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A stored value, with the revisions of its last change and creation."""

    key: str
    value: bytes
    revision: int
    created_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of a key: the item written, or None if it was removed."""

    key: str
    revision: int
    item: Item | None


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """The items under a prefix, and the revision when listing began."""

    items: tuple[Item, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Some of the items under a prefix, and a revision they are as of.

    The next page begins after the last key.
    """

    items: tuple[Item, ...]
    revision: int
    has_more: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """The changes under a prefix up to a revision."""

    changes: tuple[Change, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Expect:
    """A condition that a key is at a revision (0: does not exist)."""

    key: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A write of a value, deleted with its lease if it has one."""

    key: str
    value: bytes
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Writes and removals, applied only if every condition holds."""

    expects: tuple[Expect, ...] = ()
    puts: tuple[Put, ...] = ()
    removes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's HTTP request, to be forwarded to another entry process.

    deadline is on clock.now().  A process with an older configuration than
    config_version does not serve it.
    """

    method: str
    path: str
    host: str
    body: bytes
    deadline: float
    config_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedReply:
    """The answer of another entry process to a caller's request.

    config_version is the configuration that it is based on.
    """

    status: int
    body: dict[str, typing.Any]
    retry_after_s: int = 0
    config_version: int = 0


PENDING = "pending"
RUNNING = "running"
COMPLETED = "completed"
JOB_FAILED = "failed"
CANCELLED = "cancelled"
FINAL_STATES = (COMPLETED, JOB_FAILED, CANCELLED)
