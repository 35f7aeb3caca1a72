"""Read the settings file that the platform passes to a process."""

import os
import typing

import pydantic

from sycamorefield.fleet import interfaces
from sycamorefield.fleet import stateremoval
from sycamorefield.fleet import victims

ORDERS_BY_RPC = "rpc"
PATH_VARIABLE = "SYCAMOREFIELD_BOOT"
# deploy/system.toml sets this variable to the port of its `metrics` entry, at
# which metrics are fetched; port_range differs from day to day.
METRICS_PORT_VARIABLE = "SYCAMOREFIELD_METRICS_PORT"


class ListenModel(pydantic.BaseModel):
    """Addresses to listen on (host:port)."""

    front: str = ""
    ready: str = ""
    # For other entry processes.
    control: str | None = ""

    def ports(self) -> set[str]:
        """Return the ports in use."""
        return {address.rpartition(":")[2] for address in (
            self.front, self.ready, self.control) if address}


class StoreModel(pydantic.BaseModel):
    """Address of the platform's store (host:port), and its limit on values."""

    addr: str
    value_bytes: typing.Annotated[int, pydantic.Field(gt=0)] = (
        interfaces.DEFAULT_MAX_VALUE_BYTES)


class LimitsModel(pydantic.BaseModel):
    """Limits of the VM.

    CPU is a share of a core, and the speed of a core as a factor.
    """

    cpu_share: float = 1.0
    cores: float = 1.0
    max_fds: int = 4096


# Longer times are taken for a mistake of the unit.
MAX_CHECKPOINT_INTERVAL_S = 3600.0
MAX_STOP_OR_RESTORE_MS = 600_000.0
MAX_STATUS_S = 86_400.0
_Millis = typing.Annotated[float | None, pydantic.Field(
    strict=True, ge=0.0, le=MAX_STOP_OR_RESTORE_MS, allow_inf_nan=False)]
_Interval = typing.Annotated[float | None, pydantic.Field(
    strict=True, gt=0.0, le=MAX_CHECKPOINT_INTERVAL_S, allow_inf_nan=False)]


class BoundsModel(pydantic.BaseModel):
    """Bounds that the platform imposes.

    Workers shorten leases to hold_max_ms; a process that has been told to
    stop is killed after grace_s.  Runs that save checkpoints do so every
    checkpoint_interval_s, take restore_ms to resume, and a stopped run takes
    up to stop_ms to end.  The state of a job that has ended is readable for
    status_s at least.
    """

    hold_max_ms: int = 6000
    grace_s: float = 6.0
    checkpoint_interval_s: _Interval = None
    restore_ms: _Millis = None
    stop_ms: _Millis = None
    status_s: typing.Annotated[float, pydantic.Field(
        strict=True, ge=0.0, le=MAX_STATUS_S, allow_inf_nan=False)] = (
            stateremoval.DEFAULT_STATUS_S)

    def stop_costs(self) -> victims.StopCosts | None:
        """Return what stopping a run costs, or None if it is not stated."""
        if self.checkpoint_interval_s is None or self.restore_ms is None:
            return None
        return victims.StopCosts(
            self.checkpoint_interval_s, self.restore_ms / 1000.0,
            (self.stop_ms or 0.0) / 1000.0)


class BootSettings(pydantic.BaseModel):
    """Settings of one process; unknown fields are ignored."""

    node: str
    ip: str = ""
    zone: str = ""
    # The region of each data centre.
    zones: dict[str, str] = {}
    listen: ListenModel = ListenModel()
    port_range: tuple[int, int] = (7720, 7735)
    platform: StoreModel
    limits: LimitsModel = LimitsModel()
    bounds: BoundsModel = BoundsModel()
    orders: str = ORDERS_BY_RPC
    advice: str | None = None
    # The control addresses of some entry processes.
    seeds: tuple[str, ...] | None = ()

    def other_seeds(self) -> list[str]:
        """Return the usable control addresses of other entry processes."""
        return [address for address in self.seeds or ()
                if address != self.listen.control
                and address.rpartition(":")[2].isdecimal()]

    def metrics_address(self) -> str:
        """Return the metrics address, with the deploy file's port if free.

        The ports drawn for a day may include it.  If another address uses
        it, callers take precedence, and metrics are served on the last port
        of port_range, which is free for the process.
        """
        port = os.environ.get(METRICS_PORT_VARIABLE, "")
        if not port.isdecimal() or port in self.listen.ports():
            port = str(self.port_range[1])
        return f"{self.ip}:{port}"

    def relay_ports(self) -> list[int]:
        """Return the ports on which a relay may listen."""
        used_ports = self.listen.ports() | {
            self.metrics_address().rpartition(":")[2]}
        first, last = self.port_range
        return [port for port in range(first, last + 1)
                if str(port) not in used_ports]


def load() -> BootSettings:
    """Return the settings; raises OSError or pydantic.ValidationError."""
    with open(os.environ[PATH_VARIABLE], encoding="utf-8") as file:
        return BootSettings.model_validate_json(file.read())
