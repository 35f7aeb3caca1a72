"""Read the settings file that the platform gives a process."""

import os

import pydantic

ORDERS_BY_RPC = "rpc"
PATH_VARIABLE = "SYCAMOREFIELD_BOOT"
# The port of `metrics` in deploy/system.toml, which gives both: metrics are
# fetched at that port, while port_range is drawn anew for each day.
METRICS_PORT_VARIABLE = "SYCAMOREFIELD_METRICS_PORT"


class ListenModel(pydantic.BaseModel):
    """Check the addresses to listen on (host:port)."""

    front: str = ""
    ready: str = ""


class StoreModel(pydantic.BaseModel):
    """Check where the platform's store is."""

    addr: str


class LimitsModel(pydantic.BaseModel):
    """Check the processors: a share of a core, so many times as fast."""

    cpu_share: float = 1.0
    cores: float = 1.0


class BoundsModel(pydantic.BaseModel):
    """Check the bounds that the product follows.

    Workers shorten leases to hold_max_ms; a process that stops is killed
    after grace_s.
    """

    hold_max_ms: int = 6000
    grace_s: float = 6.0


class BootSettings(pydantic.BaseModel):
    """Check the settings of one process; unknown fields are ignored."""

    node: str
    ip: str = ""
    zone: str = ""
    listen: ListenModel = ListenModel()
    port_range: tuple[int, int] = (7720, 7735)
    platform: StoreModel
    limits: LimitsModel = LimitsModel()
    bounds: BoundsModel = BoundsModel()
    orders: str = ORDERS_BY_RPC
    advice: str | None = None

    def metrics_address(self) -> str:
        """Return where to serve metrics: the deploy file's port if free.

        A day's ports may happen to include it; callers go first then, and
        metrics move to the last port that is free for the process.
        """
        port = os.environ.get(METRICS_PORT_VARIABLE, "")
        used_ports = {address.rpartition(":")[2]
                      for address in (self.listen.front, self.listen.ready)}
        if not port.isdecimal() or port in used_ports:
            port = str(self.port_range[1])
        return f"{self.ip}:{port}"


def load() -> BootSettings:
    """Return the settings; raises OSError or pydantic.ValidationError."""
    with open(os.environ[PATH_VARIABLE], encoding="utf-8") as file:
        return BootSettings.model_validate_json(file.read())
