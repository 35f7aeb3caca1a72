"""Parse and validate YAML settings, and build the options from them.

Every error is reported together with its location (file and key); a process
does not start with invalid settings.
"""

import importlib.resources
import itertools
import math
import typing

import pydantic
from returns import result
import yaml

from sycamorefield import errors
from sycamorefield import options
from sycamorefield import rules as rules_mod

DEFAULT_SAMPLE = "coral-sea.yaml"
SAMPLES = ("coral-sea.yaml", "alpska-miza.yaml")

KV_PORT_OFFSET = 0
VM_LIST_PORT_OFFSET = 1
ENTRY_HTTP_PORT_OFFSET = 10
ENTRY_GRPC_PORT_OFFSET = 30
WORKER_GRPC_PORT_OFFSET = 100
WORKER_HTTP_PORT_OFFSET = 400


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")


class RackModel(_Model):
    """Validate a rack: its name and its number of workers."""

    name: str
    workers: int = pydantic.Field(ge=1, le=64)


class ZoneModel(_Model):
    """Validate a zone (data centre) and its racks."""

    name: str
    racks: list[RackModel] = pydantic.Field(min_length=1)


class WorkerModel(_Model):
    """Validate the resources and task slots of each worker."""

    cpus: float = pydantic.Field(gt=0)
    memory_mb: int = pydantic.Field(gt=0)
    accelerators: int = pydantic.Field(default=0, ge=0)
    slots: int = pydantic.Field(default=8, ge=1)


class WorkModel(_Model):
    """Validate one kind of work."""

    name: str = pydantic.Field(pattern="^[a-z0-9][a-z0-9-]*$")
    kind: typing.Literal["latency", "batch", "standing"]
    service_ms: float = pydantic.Field(default=10.0, gt=0)
    idempotent: bool = True
    cpus: float = pydantic.Field(default=0.0, ge=0)
    memory_mb: int = pydantic.Field(default=0, ge=0)
    accelerators: int = pydantic.Field(default=0, ge=0)
    run_seconds: float = pydantic.Field(default=1.0, ge=0)
    noise: float = pydantic.Field(default=0.0, ge=0, le=5)
    misdeclared: float = pydantic.Field(default=1.0, ge=1, le=10)
    crashes: bool = False


class TimingsModel(_Model):
    """Validate periods and timeouts, in seconds."""

    member_ttl_seconds: float = pydantic.Field(default=3.0, gt=0)
    heartbeat_seconds: float = pydantic.Field(default=1.0, gt=0)
    task_lease_seconds: float = pydantic.Field(default=3.0, gt=0)
    rules_poll_seconds: float = pydantic.Field(default=2.0, gt=0)
    report_seconds: float = pydantic.Field(default=0.5, gt=0)
    request_timeout_seconds: float = pydantic.Field(default=2.0, gt=0)
    drain_seconds: float = pydantic.Field(default=5.0, ge=0)
    move_after_seconds: float = pydantic.Field(default=1.0, ge=0)
    clock_skew_seconds: float = pydantic.Field(default=0.5, ge=0)
    job_retention_seconds: float = pydantic.Field(default=3600.0, gt=0)
    request_retention_seconds: float = pydantic.Field(default=3600.0, gt=0)


class LoadModel(_Model):
    """Validate the parameters of the load tool."""

    seconds: float = pydantic.Field(default=8.0, gt=0, le=600)
    latency_per_second: float = pydantic.Field(default=30.0, gt=0)
    batch_jobs: int = pydantic.Field(default=12, ge=0)
    batch_waves: int = pydantic.Field(default=1, ge=1, le=20)
    cancel_share: float = pydantic.Field(default=0.0, ge=0, le=1)
    standing_jobs: int = pydantic.Field(default=2, ge=0)
    customers: list[str] = pydantic.Field(default_factory=list)
    seed: int = 7


class SettingsModel(_Model):
    """Validate a whole settings file."""

    deployment: str
    host: str = "127.0.0.1"
    base_port: int = pydantic.Field(ge=1024, le=60000)
    log_dir: str = "run/logs"
    kv_writes_per_second: int = pydantic.Field(default=300, gt=0)
    vm_list_lag_seconds: float = pydantic.Field(default=1.0, ge=0)
    zones: list[ZoneModel] = pydantic.Field(min_length=1)
    entries: int = pydantic.Field(ge=1, le=9)
    worker: WorkerModel
    work: list[WorkModel] = pydantic.Field(min_length=1)
    customers: list[str] = pydantic.Field(min_length=1)
    quotas: dict[str, float] = pydantic.Field(default_factory=dict)
    cells: int | None = pydantic.Field(default=None, ge=1)
    quiet_share: float = pydantic.Field(default=0.05, ge=0, lt=1)
    rules: list[rules_mod.RuleModel] = pydantic.Field(default_factory=list)
    timings: TimingsModel = TimingsModel()
    load: LoadModel = LoadModel()


def _location(path: str, loc: tuple[int | str, ...]) -> str:
    return path + ":" + ".".join(str(part) for part in loc)


def _cross_check(path: str, model: SettingsModel) -> list[errors.Finding]:
    findings = []
    work_names = [work.name for work in model.work]
    zone_names = [zone.name for zone in model.zones]
    for label, names in (("work", work_names), ("zones", zone_names),
                         ("rules", [rule.name for rule in model.rules])):
        for name in sorted({n for n in names if names.count(n) > 1}):
            findings.append(errors.Finding(_location(path, (label,)),
                                           f"name {name!r} is used twice"))
    for index, rule in enumerate(model.rules):
        location = _location(path, ("rules", index, "when"))
        if rule.when.work is not None and rule.when.work not in work_names:
            findings.append(errors.Finding(
                location + ".work", f"no work named {rule.when.work!r}"))
        if (rule.when.customer is not None
                and rule.when.customer not in model.customers):
            findings.append(errors.Finding(
                location + ".customer",
                f"no customer named {rule.when.customer!r}"))
        zone = rule.then.zone
        if zone is not None and zone not in zone_names:
            findings.append(errors.Finding(
                _location(path, ("rules", index, "then", "zone")),
                f"no zone named {zone!r}"))
    workers = sum(r.workers for z in model.zones for r in z.racks)
    if model.cells is not None and model.cells > workers:
        findings.append(errors.Finding(
            _location(path, ("cells",)),
            f"{model.cells} cells, but only {workers} workers"))
    for customer, cpus in model.quotas.items():
        location = _location(path, ("quotas", customer))
        if customer not in model.customers:
            findings.append(errors.Finding(
                location, f"no customer named {customer!r}"))
        if cpus < 0:
            findings.append(errors.Finding(location,
                                           "must not be negative"))
    # Reports renew the task leases.  With a shorter lease, one lost report
    # would end every task on the worker: by the time the report has timed
    # out, the next one comes too late to renew the leases.
    min_task_lease_s = (2 * model.timings.report_seconds
                        + options.REPORT_GRACE_S)
    if model.timings.task_lease_seconds < min_task_lease_s:
        findings.append(errors.Finding(
            _location(path, ("timings", "task_lease_seconds")),
            f"must be at least {min_task_lease_s:g}: twice report_seconds "
            f"plus {options.REPORT_GRACE_S:g}"))
    for index, customer in enumerate(model.load.customers):
        if customer not in model.customers:
            findings.append(errors.Finding(
                _location(path, ("load", "customers", index)),
                f"no customer named {customer!r}"))
    return findings


def _choose_quiet_workers(machines: list[options.WorkerSpec],
                          share: float) -> frozenset[str]:
    """Pick the workers that take no noisy work, in turn from each zone."""
    by_zone: dict[str, list[str]] = {}
    for machine in machines:
        by_zone.setdefault(machine.zone, []).append(machine.name)
    interleaved = [name for group in itertools.zip_longest(*by_zone.values())
                   for name in group if name is not None]
    return frozenset(interleaved[:math.ceil(share * len(machines))])


def _build_options(model: SettingsModel) -> options.Options:
    machines: list[options.WorkerSpec] = []
    for zone in model.zones:
        for rack in zone.racks:
            for number in range(rack.workers):
                index = len(machines)
                machines.append(options.WorkerSpec(
                    name=f"{rack.name}-w{number + 1}", zone=zone.name,
                    rack=rack.name,
                    grpc_port=(model.base_port + WORKER_GRPC_PORT_OFFSET
                               + index),
                    http_port=(model.base_port + WORKER_HTTP_PORT_OFFSET
                               + index),
                    capacity=options.Capacity(model.worker.cpus,
                                              model.worker.memory_mb,
                                              model.worker.accelerators),
                    slots=model.worker.slots))
    entries = tuple(
        options.EntrySpec(f"entry-{n + 1}",
                          model.zones[n % len(model.zones)].name,
                          model.base_port + ENTRY_HTTP_PORT_OFFSET + n,
                          model.base_port + ENTRY_GRPC_PORT_OFFSET + n)
        for n in range(model.entries))
    work = {w.name: options.Work(
        name=w.name, kind=w.kind, service_ms=w.service_ms,
        idempotent=w.idempotent,
        demand=options.Capacity(w.cpus, w.memory_mb, w.accelerators),
        run_seconds=w.run_seconds, noise=w.noise,
        misdeclared=w.misdeclared, crashes=w.crashes) for w in model.work}
    t = model.timings
    timings = options.Timings(
        member_ttl=t.member_ttl_seconds, heartbeat=t.heartbeat_seconds,
        task_lease=t.task_lease_seconds, rules_poll=t.rules_poll_seconds,
        report=t.report_seconds, request_timeout=t.request_timeout_seconds,
        drain=t.drain_seconds,
        move_after=t.move_after_seconds, clock_skew=t.clock_skew_seconds,
        job_retention=t.job_retention_seconds,
        request_retention=t.request_retention_seconds)
    load = options.Load(
        seconds=model.load.seconds,
        latency_per_second=model.load.latency_per_second,
        batch_jobs=model.load.batch_jobs,
        batch_waves=model.load.batch_waves,
        cancel_share=model.load.cancel_share,
        standing_jobs=model.load.standing_jobs,
        customers=tuple(model.load.customers or model.customers),
        seed=model.load.seed)
    return options.Options(
        deployment=model.deployment, host=model.host,
        kv_port=model.base_port + KV_PORT_OFFSET,
        vm_list_port=model.base_port + VM_LIST_PORT_OFFSET,
        kv_writes_per_second=model.kv_writes_per_second,
        vm_list_lag_s=model.vm_list_lag_seconds, log_dir=model.log_dir,
        zones=tuple(zone.name for zone in model.zones), entries=entries,
        machines=tuple(machines), work=work,
        customers=tuple(model.customers), quotas=dict(model.quotas),
        cells=model.cells or min(model.entries, len(machines)),
        quiet_machines=_choose_quiet_workers(machines, model.quiet_share),
        rules=tuple(rules_mod.from_model(rule) for rule in model.rules),
        timings=timings, load=load)


def parse(text: str, path: str) -> result.Result[options.Options,
                                                 list[errors.Finding]]:
    """Validate YAML text and build the options, or return all findings."""
    try:
        raw = yaml.safe_load(text)
    except yaml.YAMLError as exc:
        mark = getattr(exc, "problem_mark", None)
        location = f"{path}:line {mark.line + 1}" if mark else path
        return result.Failure([errors.Finding(location, str(exc))])
    if not isinstance(raw, dict):
        return result.Failure([errors.Finding(path, "expected a mapping")])
    try:
        model = SettingsModel.model_validate(raw)
    except pydantic.ValidationError as exc:
        return result.Failure([
            errors.Finding(_location(path, tuple(err["loc"])), err["msg"])
            for err in exc.errors()])
    findings = _cross_check(path, model)
    if findings:
        return result.Failure(findings)
    return result.Success(_build_options(model))


def sample_text(name: str) -> str:
    """Return the text of an embedded sample settings file."""
    package = importlib.resources.files("sycamorefield") / "defaults"
    return (package / name).read_text(encoding="utf-8")


def load(path: str | None) -> result.Result[options.Options,
                                            list[errors.Finding]]:
    """Read settings from path, or the embedded default when path is None."""
    if path is None:
        return parse(sample_text(DEFAULT_SAMPLE), "embedded:" + DEFAULT_SAMPLE)
    if path.startswith("embedded:"):
        name = path.split(":", 1)[1]
        return parse(sample_text(name), path)
    try:
        with open(path, encoding="utf-8") as handle:
            text = handle.read()
    except OSError as exc:
        return result.Failure([errors.Finding(path, exc.strerror or "")])
    return parse(text, path)
