"""Hold the options object that every process builds from its settings."""

import dataclasses

from sycamorefield import rules


@dataclasses.dataclass(frozen=True)
class Capacity:
    """Processors, memory in MB and accelerators of a worker or a task."""

    cpus: float
    memory_mb: int
    accelerators: int = 0

    def fits(self, used: "Capacity", extra: "Capacity") -> bool:
        """Return whether extra fits beside used within this capacity."""
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
        """Return what is left of this capacity beside other."""
        return Capacity(self.cpus - other.cpus,
                        self.memory_mb - other.memory_mb,
                        self.accelerators - other.accelerators)


ZERO_CAPACITY = Capacity(0.0, 0, 0)
MIN_COMMIT_INTERVAL_S = 0.02
START_WINDOW_S = 2.0
# A call to a worker is given up on this long after its answer was due.
REPORT_GRACE_S = 1.0


@dataclasses.dataclass(frozen=True)
class WorkerSpec:
    """A worker of the platform: where it stands and how to reach it."""

    name: str
    zone: str
    rack: str
    grpc_port: int
    http_port: int
    capacity: Capacity
    slots: int


@dataclasses.dataclass(frozen=True)
class EntrySpec:
    """An entry process: its name, zone, HTTP port and peers' gRPC port."""

    name: str
    zone: str
    http_port: int
    grpc_port: int


@dataclasses.dataclass(frozen=True)
class Work:
    """A kind of work callers ask for: latency, batch or standing."""

    name: str
    kind: str
    service_ms: float = 10.0
    idempotent: bool = True
    demand: Capacity = ZERO_CAPACITY
    run_seconds: float = 1.0
    noise: float = 0.0
    misdeclared: float = 1.0
    # Whether a task of it crashes the stand-in that starts it.
    crashes: bool = False


@dataclasses.dataclass(frozen=True)
class Timings:
    """Periods and timeouts, in seconds."""

    member_ttl: float
    heartbeat: float
    task_lease: float
    rules_poll: float
    report: float
    request_timeout: float
    leaving_grace: float
    drain: float
    move_after: float
    clock_skew: float
    job_retention: float
    request_retention: float

    @property
    def orphan_timeout_s(self) -> float:
        """Return after how long an unreachable worker runs nothing of ours.

        Its last start may be processed until the start window has passed
        by its own clock, and then runs for one task lease.
        """
        return self.task_lease + START_WINDOW_S + self.clock_skew


@dataclasses.dataclass(frozen=True)
class Load:
    """The short mixed load that the run command drives."""

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
    """Everything a process of one deployment needs, built from settings."""

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

        Neighbours in a rack fall into different cells, so that losing a
        rack takes a part of many cells rather than all of one.
        """
        return list(self.machines[cell::self.cells])

    @property
    def commit_interval_s(self) -> float:
        """Return the seconds between two writes of one cell's job table.

        All cells writing as fast as they may take half of the writes that
        the key-value service allows; the other half stays for the rest.
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
