"""A small local deployment for end-to-end tests."""

import contextlib
import socket
import time
import typing

from tools import launch

HOST = "127.0.0.1"
# A deployment uses ports below its base port plus this; the last one is bound
# as long as the range is reserved.  The ranges are below the ephemeral ports.
PORTS = 800
BASE_PORTS = range(20000, 32000, PORTS)


@contextlib.contextmanager
def reserve_ports() -> typing.Iterator[int]:
    """Yield the base port of a range that no other test run on this host uses.

    Keeps test runs that overlap from reaching each other's processes.
    """
    for base_port in BASE_PORTS:
        with socket.socket() as reservation:
            try:
                reservation.bind((HOST, base_port + PORTS - 1))
            except OSError:
                continue
            yield base_port
            return
    raise RuntimeError("all port ranges are reserved")


def start(directory: str, base_port: int, **changes: object
          ) -> launch.Deployment:
    """Return a deployment of the default sample, not yet started."""
    return launch.Deployment.from_sample(directory, base_port, **changes)


def wait_until(condition, seconds: float, step: float = 0.1) -> bool:
    """Poll until condition holds or seconds pass; return whether it held."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(step)
    return bool(condition())
