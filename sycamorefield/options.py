"""Options of a deployment, which every process builds from its settings."""

import dataclasses

from sycamorefield import rules


@dataclasses.dataclass(frozen=True)
class Capacity:
    """Processors, memory in MB and accelerators of a worker or a task."""

    cpus: float
    memory_mb: int
    accelerators: int = 0

    def fits(self, used: "Capacity", extra: "Capacity") -> bool:
        """Return whether extra fits into this capacity in addition to used."""
        return (used.cpus + extra.cpus <= self.cpus + 1e-9
                and used.memory_mb + extra.memory_mb <= self.memory_mb
                and used.accelerators + extra.accelerators
                <= self.accelerators)

    def plus(self, other: "Capacity") -> "Capacity":
        """Return the sum of two capacities."""
        return Capacity(self.cpus + other.cpus,
                        self.memory_mb + other.memory_mb,
                        self.accelerators + other.accelerators)

    def minus(self, other: "Capacity") -> "Capacity":
        """Return this capacity less the other one."""
        return Capacity(self.cpus - other.cpus,
                        self.memory_mb - other.memory_mb,
                        self.accelerators - other.accelerators)


ZERO_CAPACITY = Capacity(0.0, 0, 0)
# Lower bound on the time between two writes of a cell's job table.
MIN_COMMIT_INTERVAL_S = 0.02
# How long after it was sent a worker may still act on a start request.
START_WINDOW_S = 2.0
# A call to a worker times out this long after its answer was due.
REPORT_GRACE_S = 1.0


@dataclasses.dataclass(frozen=True)
class WorkerSpec:
    """A worker of the platform: its location, ports, capacity and slots."""

    name: str
    zone: str
    rack: str
    grpc_port: int
    http_port: int
    capacity: Capacity
    slots: int


@dataclasses.dataclass(frozen=True)
class EntrySpec:
    """An entry process; peers (other entry processes) call its gRPC port."""

    name: str
    zone: str
    http_port: int
    grpc_port: int


@dataclasses.dataclass(frozen=True)
class Work:
    """A kind of work, as configured.

    kind is "latency" (a request that a backend serves), "batch" (a job that
    ends by itself) or "standing" (a job that runs until it is cancelled).
    noise is how much its tasks slow other work on the same worker.
    Actual run times differ from run_seconds by a factor of up to misdeclared.
    """

    name: str
    kind: str
    service_ms: float = 10.0
    idempotent: bool = True
    demand: Capacity = ZERO_CAPACITY
    run_seconds: float = 1.0
    noise: float = 0.0
    misdeclared: float = 1.0
    # Whether its tasks crash the worker stand-in that starts them.
    crashes: bool = False


@dataclasses.dataclass(frozen=True)
class Timings:
    """Periods and timeouts in seconds; see docs/operators/settings.md."""

    member_ttl: float
    heartbeat: float
    task_lease: float
    rules_poll: float
    report: float
    request_timeout: float
    drain: float
    move_after: float
    clock_skew: float
    job_retention: float
    request_retention: float

    @property
    def orphan_timeout_s(self) -> float:
        """Return seconds until an unreachable worker has stopped our tasks.

        The worker may process the last start request until the start window
        has passed by its own clock; the task then runs for one task lease.
        """
        return self.task_lease + START_WINDOW_S + self.clock_skew


@dataclasses.dataclass(frozen=True)
class Load:
    """The mixed load of short duration that the load tool generates."""

    seconds: float
    latency_per_second: float
    batch_jobs: int
    batch_waves: int
    cancel_share: float
    standing_jobs: int
    customers: tuple[str, ...]
    seed: int


@dataclasses.dataclass(frozen=True)
class Options:
    """The validated settings of a deployment, as its processes use them.

    quotas maps a customer to the processors that its batch work may hold at
    once.  quiet_machines names the workers that take no noisy work.
    """

    deployment: str
    host: str
    kv_port: int
    vm_list_port: int
    kv_writes_per_second: int
    vm_list_lag_s: float
    log_dir: str
    zones: tuple[str, ...]
    entries: tuple[EntrySpec, ...]
    machines: tuple[WorkerSpec, ...]
    work: dict[str, Work]
    customers: tuple[str, ...]
    quotas: dict[str, float]
    cells: int
    quiet_machines: frozenset[str]
    rules: tuple[rules.Rule, ...]
    timings: Timings
    load: Load
    max_body_bytes: int = 65536

    def entry(self, name: str) -> EntrySpec:
        """Return the entry process of that name; KeyError if none."""
        for spec in self.entries:
            if spec.name == name:
                return spec
        raise KeyError(name)

    def machine(self, name: str) -> WorkerSpec:
        """Return the worker of that name; KeyError if none."""
        for machine in self.machines:
            if machine.name == name:
                return machine
        raise KeyError(name)

    def cell_machines(self, cell: int) -> list[WorkerSpec]:
        """Return a cell's workers: every cells-th one, in settings order.

        Neighbours in a rack belong to different cells, so that the loss of a
        rack costs many cells some of their workers rather than one cell all.
        """
        return list(self.machines[cell::self.cells])

    @property
    def commit_interval_s(self) -> float:
        """Return the seconds between two writes of one cell's job table.

        If all cells write at this rate, they use half of the writes per
        second that the key-value service allows; the other half is left for
        all other writes.
        """
        return max(MIN_COMMIT_INTERVAL_S,
                   self.cells / (0.5 * self.kv_writes_per_second))

    @property
    def kv_target(self) -> str:
        """Return host:port of the key-value service."""
        return f"{self.host}:{self.kv_port}"

    @property
    def vm_list_url(self) -> str:
        """Return the URL of the VM list."""
        return f"http://{self.host}:{self.vm_list_port}/v1/vms"
