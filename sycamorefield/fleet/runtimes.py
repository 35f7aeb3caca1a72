"""Predict the run times of finite tasks, by queue."""

import typing

from sycamorefield.fleet import messages


class RunTimeModel:
    """Run times of the tasks of each queue, in seconds."""

    def record(self, queue: str, step: messages.Step, run_s: float) -> None:
        """Record the run time of a task that succeeded."""

    def expected_s(self, queue: str, step: messages.Step) -> float:
        """Return the median run time of a task, or 0 if nothing is known."""
        return step.estimate_ms / 1000.0

    def quantile_s(self, queue: str, step: messages.Step,
                   share: float) -> float:
        """Return the run time that a share (0 to 1) of the tasks keep."""
        return step.estimate_ms / 1000.0

    def remaining_s(self, queue: str, step: messages.Step, elapsed_s: float,
                    percent: int) -> float:
        """Return how much longer a run in progress is expected to take."""
        return max(0.0, step.estimate_ms / 1000.0 - elapsed_s)

    def encode(self) -> dict[str, typing.Any]:
        """Return the model as values that JSON can represent."""
        return {}

    def decode(self, value: object) -> None:
        """Load an encoded model; raises ValueError if it is invalid."""
