"""The finite work that waits for the fleet's CPU, as its owner publishes it.

The owner measures its backlog once a second and stores it; entry processes
read it to tell whether a new job can still end in time (admission.py).  Where
something is not known, the optimistic side is published: less work ahead of a
new job, or more CPU that serves it.
"""

import dataclasses
import math
import typing

import pydantic

from sycamorefield.fleet import demand
from sycamorefield.fleet import messages
from sycamorefield.fleet import runtimes

VERSION: typing.Final = 1
MAX_BYTES = 4096
# Shares of the run times that count as the shortest and the longest.  In the
# deployments with hard load 3% of the tasks take 7 times as long.  The upper
# share leaves those out, also where 200 samples hold twice as many by chance.
LOW_SHARE, MID_SHARE, HIGH_SHARE = 0.05, 0.5, 0.9
LOW, MID, HIGH = range(3)
# Widths for which waits are published per pool and priority.  Tasks wider than
# a published width are left out of its wait, so fewer widths mean shorter
# waits.
MAX_WIDTHS = 6
# Declared estimates have no upper bound; longer ones count as this long.
MAX_ESTIMATE_MS = 1e9
# Waits that are shorter are not worth publishing: no objective is missed by
# them.
MIN_WAIT_S = 0.5
# Bounds the encoded form.
MAX_BEST_EFFORT_LOADS = 16

MAX_AMOUNT = 1e12
Amount = typing.Annotated[
    float, pydantic.Field(ge=0.0, le=MAX_AMOUNT, allow_inf_nan=False)]
# Milliseconds since 1970.
WallTime = typing.Annotated[
    float, pydantic.Field(ge=0.0, le=1e14, allow_inf_nan=False)]
Positive = typing.Annotated[
    float, pydantic.Field(gt=0.0, le=1e9, allow_inf_nan=False)]
Share = typing.Annotated[
    float, pydantic.Field(ge=0.0, le=1.0, allow_inf_nan=False)]
Quantiles = tuple[Positive, Positive, Positive]


@dataclasses.dataclass(frozen=True, slots=True)
class RunBounds:
    """Short, median and long run times of a queue's tasks, as learnt.

    estimate_weight is the weight of declared estimates in the logarithm, and
    ratios are quantiles of run time by estimate.
    """

    estimate_weight: Share
    run_s: Quantiles
    ratios: Quantiles

    def task_s(self, step: messages.Step, which: int) -> float:
        """Return a bound (LOW, MID, HIGH) of the run time of a task."""
        weight = self.estimate_weight
        if not weight or step.estimate_ms <= 0:
            return self.run_s[which]
        estimate_ms = min(step.estimate_ms, MAX_ESTIMATE_MS)
        from_estimate = estimate_ms / 1000.0 * self.ratios[which]
        return math.exp(weight * math.log(from_estimate)
                        + (1.0 - weight) * math.log(self.run_s[which]))


def learnt_bounds(known: runtimes.QueueRunTimes) -> RunBounds | None:
    """Return the bounds of a queue's run times; None if too few are known."""
    if known.run_s.count() < runtimes.MIN_SAMPLES:
        return None
    weight = 0.0
    ratios = (1.0, 1.0, 1.0)
    if known.ratios.count() >= runtimes.MIN_SAMPLES:
        ratios = _quantiles(known.ratios)
        weight = 1.0 if known.trusted else known.weight
    return RunBounds(weight, _quantiles(known.run_s), ratios)


def _quantiles(values: runtimes.RecentValues) -> tuple[float, float, float]:
    low, mid, high = (max(1e-3, round(values.quantile(share), 4))
                      for share in (LOW_SHARE, MID_SHARE, HIGH_SHARE))
    return low, mid, high


class PoolKey(typing.NamedTuple):
    """A service, and the label that workers must have ("": any worker).

    Steps that require a label also wait for work that runs anywhere.
    """

    service: str
    requires: str


class Wait(typing.NamedTuple):
    """How long a task at least this wide (thousandths of a core) waits."""

    cpu: Amount
    wait_s: Amount


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """The work of a pool as a new job of a priority sees it.

    Waiting and running work of at least the priority is in core-seconds; CPU
    is in cores.
    """

    service: str
    requires: str
    priority: int
    waiting_cpu_s: Amount
    running_cpu_s: Amount
    serving_cores: Amount
    widest_cores: Amount
    waits: tuple[Wait, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class QueueLoad:
    """What a queue gets, and the bounds of its run times if learnt.

    got_cores is the mean CPU that its finite tasks used lately; first_s is
    the time to start a first task as wide as its narrowest one.
    """

    service: str
    priority: int
    got_cores: Amount = 0.0
    first_s: Amount = 0.0
    finite: RunBounds | None = None
    best_effort: RunBounds | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class BestEffortLoad:
    """The best-effort work of a service up to a priority.

    It is that of an image, or of all images if image is None.
    It waits for CPU that other tasks leave unused; served_cores is how much
    of that it lately got.
    """

    service: str
    image: str | None
    priority: int
    waiting_cpu_s: Amount
    served_cores: Positive

    def drain_s(self) -> float:
        """Return how long it takes to serve what waits."""
        return self.waiting_cpu_s / self.served_cores


@dataclasses.dataclass(frozen=True, slots=True)
class Backlog:
    """The backlog of an owner; fence names its term."""

    version: typing.Literal[1]
    written_ms: WallTime
    fence: typing.Annotated[int, pydantic.Field(ge=1)]
    pools: tuple[Pool, ...] = ()
    queues: dict[str, QueueLoad] = dataclasses.field(default_factory=dict)
    best_effort: tuple[BestEffortLoad, ...] = ()

    def waits(self) -> bool:
        """Return whether any new job would wait."""
        return bool(self.best_effort) or any(
            pool.waits for pool in self.pools)

    def drain_s(self, service: str, priority: int,
                images: typing.Container[str | None]) -> float:
        """Return how long it takes to serve the best-effort work ahead."""
        return max((load.drain_s() for load in self.best_effort
                    if load.service == service and load.image in images
                    and load.priority <= priority), default=0.0)

    def wait_s(self, service: str, priority: int,
               step: messages.Step) -> float:
        """Return how long a task of a new job waits at least."""
        if not demand.is_finite(step):
            return 0.0
        return max((wait.wait_s for pool in self.pools
                    if (pool.service == service and pool.priority == priority
                        and pool.requires in ("", step.requires))
                    for wait in pool.waits if wait.cpu <= step.room.cpu),
                   default=0.0)

    def bounds(self, queue: str, step: messages.Step) -> RunBounds | None:
        """Return the bounds of the run times of a step, if known."""
        load = self.queues.get(queue)
        if load is None:
            return None
        return load.best_effort if step.fills else load.finite


_ADAPTER = pydantic.TypeAdapter(Backlog)


def encode(backlog: Backlog) -> bytes:
    """Return the stored form, without what does not fit into MAX_BYTES.

    Jobs of queues and pools that are left out are not rejected.
    """
    data = _ADAPTER.dump_json(backlog, exclude_defaults=True)
    pools = sorted(backlog.pools, key=lambda pool: -pool.waiting_cpu_s)
    queues = sorted(backlog.queues.items(), key=lambda row: (
        -row[1].first_s, -row[1].got_cores, row[0]))
    loads = backlog.best_effort
    while len(data) > MAX_BYTES and (pools or queues or loads):
        if len(loads) > max(len(pools), len(queues)):
            loads = loads[:-1]
        elif len(queues) >= len(pools):
            # A share of one queue alone would be unfair to its peers.
            priority = queues[-1][1].priority
            queues = [row for row in queues if row[1].priority != priority]
        else:
            pools.pop()
        data = _ADAPTER.dump_json(dataclasses.replace(
            backlog, pools=tuple(pools), queues=dict(queues),
            best_effort=loads),
            exclude_defaults=True)
    return data


def decode(value: bytes) -> Backlog:
    """Return a stored backlog; raises ValueError if it is invalid."""
    if len(value) > MAX_BYTES:
        raise ValueError(f"backlog of {len(value)} bytes")
    return _ADAPTER.validate_json(value, strict=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Tasks of one step that wait, as a new job sees them.

    ready_s: when the tasks may start at the earliest, in seconds from now.
    lapse_s: until when they go before a new job of their own priority.
    """

    pool: PoolKey
    priority: int
    ready_s: float
    lapse_s: float
    created_revision: int
    cpu: int
    cpu_s: float


def works_ahead(works: typing.Iterable[Work], pool: PoolKey,
                priority: int) -> list[Work]:
    """Return the work that goes before a new job, first to last.

    All work of more urgent priorities does, however late it is.
    """
    ahead = [
        work if work.priority == priority
        else dataclasses.replace(work, lapse_s=math.inf)
        for work in works
        if work.pool == pool and work.priority <= priority]
    ahead.sort(key=lambda work: (work.ready_s, work.priority,
                                 work.created_revision))
    return ahead


def first_start_s(ahead: typing.Sequence[Work], cores: float,
                  width: float = math.inf) -> float:
    """Return when a new task of a width can start at the earliest.

    The work ahead keeps all cores busy until then.  Tasks wider than the new
    one are left out, because it may fit where they do not.  A job that has
    become late no longer goes before the new one.
    """
    at = 0.0
    for work in ahead:
        if work.cpu > width:
            continue
        if work.ready_s > at:
            break
        if work.lapse_s > at:
            at = min(at + work.cpu_s / cores, work.lapse_s)
    return at


def find_waits(ahead: typing.Sequence[Work],
               cores: float) -> tuple[Wait, ...]:
    """Return the waits of new tasks by width, narrowest first."""
    widths = sorted({work.cpu for work in ahead})
    if len(widths) > MAX_WIDTHS:
        step = len(widths) / MAX_WIDTHS
        widths = [widths[int(index * step)] for index in range(MAX_WIDTHS)]
    waits: list[Wait] = []
    for width in widths:
        wait_s = math.floor(first_start_s(ahead, cores, width) * 10.0) / 10.0
        if wait_s >= max(MIN_WAIT_S, waits[-1].wait_s + 0.1 if waits else 0):
            waits.append(Wait(width, wait_s))
    return tuple(waits)


class JobTimes(typing.NamedTuple):
    """When a new job would end at the earliest, and may end at the latest.

    In seconds after its submission; the latest end is three times the
    objective.
    """

    end_s: float
    limit_s: float


def estimate_times(backlog: Backlog, age_s: float, job: messages.Job,
                   queue: messages.Queue, late_factor: float
                   ) -> JobTimes | None:
    """Estimate when a new job would end; None if too little is known.

    The backlog was measured age_s ago.  The earliest end takes short run
    times; the objective takes the longer of declared and long ones.
    """
    if (job.start_at_ms or job.repeat_count > 1
            or any(step.perpetual for step in job.steps)
            or not any(map(demand.is_finite, job.steps))):
        return None
    ends_s: list[float] = []
    path_s: list[float] = []
    for step in job.steps:
        bounds = backlog.bounds(queue.name, step)
        if bounds is None:
            return None
        wait_s = backlog.wait_s(job.service, queue.priority, step) - age_s
        start_s = max((ends_s[earlier] for earlier in step.after),
                      default=0.0)
        ends_s.append(max(start_s, wait_s) + bounds.task_s(step, LOW))
        longest_s = max(bounds.task_s(step, HIGH), step.estimate_ms / 1000.0)
        path_s.append(longest_s + max(
            (path_s[earlier] for earlier in step.after), default=0.0))
    objective_s = queue.stretch * max(path_s) + queue.slo_ms / 1000.0
    return JobTimes(max(ends_s), late_factor * objective_s)


class BestEffortTimes(typing.NamedTuple):
    """How long a job runs if it never waits, and its objective."""

    path_s: float
    objective_s: float


def estimate_best_effort_times(backlog: Backlog, job: messages.Job,
                               queue: messages.Queue
                               ) -> BestEffortTimes | None:
    """Return the times of a job with best-effort steps.

    None if it has none, or if it is not known when or how long it runs.
    """
    if (job.start_at_ms or job.repeat_count > 1
            or any(step.perpetual for step in job.steps)
            or not any(step.fills for step in job.steps)):
        return None
    path_s: list[float] = []
    for step in job.steps:
        bounds = backlog.bounds(queue.name, step)
        task_s = (bounds.task_s(step, MID) if bounds is not None
                  else step.estimate_ms / 1000.0)
        path_s.append(task_s + max(
            (path_s[earlier] for earlier in step.after), default=0.0))
    return BestEffortTimes(
        max(path_s), queue.stretch * max(path_s) + queue.slo_ms / 1000.0)
