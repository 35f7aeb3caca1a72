"""Read the settings file that the platform gives a process."""

import os

import pydantic

PATH_VARIABLE = "SYCAMOREFIELD_BOOT"


class ListenModel(pydantic.BaseModel):
    """Check the addresses to listen on (host:port)."""

    front: str = ""
    ready: str = ""


class StoreModel(pydantic.BaseModel):
    """Check where the platform's store is."""

    addr: str
    min_ttl_ms: int = 1000


class BoundsModel(pydantic.BaseModel):
    """Check the bounds that the product's own figures follow from."""

    hold_max_ms: int = 6000
    stop_ms: int = 200
    grace_s: float = 6.0
    gang_timeout_ms: int = 3000
    status_s: float = 120.0
    harm_ms: float = 4000.0
    early_ms: float = 250.0


class BootSettings(pydantic.BaseModel):
    """Check the settings of one process; unknown fields are ignored."""

    node: str
    ip: str = ""
    zone: str = ""
    listen: ListenModel = ListenModel()
    port_range: tuple[int, int] = (7720, 7735)
    platform: StoreModel
    bounds: BoundsModel = BoundsModel()
    heartbeat_ms: int = 1100
    orders: str = "rpc"
    advice: str | None = None


def load() -> BootSettings:
    """Return the settings; raises OSError or pydantic.ValidationError."""
    with open(os.environ[PATH_VARIABLE], encoding="utf-8") as file:
        return BootSettings.model_validate_json(file.read())
