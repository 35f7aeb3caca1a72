"""A small local deployment for end-to-end tests."""

import time

from tools import launch


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
