"""The range of a value in the last seconds."""

import collections


class RecentRange:
    """The values of the last seconds."""

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.values: collections.deque[tuple[float, float]] = (
            collections.deque())

    def add(self, value: float, now: float) -> None:
        """Add a value and drop old ones."""
        self.values.append((now, value))
        while self.values[0][0] < now - self.window_s:
            self.values.popleft()

    def highest(self) -> float:
        """Return the highest value; there is at least one."""
        return max(value for _, value in self.values)

    def has_changed(self, max_change: float) -> bool:
        """Return whether the values differ by more than a share."""
        values = [value for _, value in self.values]
        return max(values) - min(values) > max_change * max(values)
