"""Forecast how far the load of a step rises from its recent swings.

A slope says how fast a load changes, but not when it turns: measured over
1.5 s it is known about a second late.  A load that swings has been at a
similar value with a similar slope before, and what followed then is a better
forecast.
"""

import collections
import heapq
import statistics
import typing

# The typical duration of a best-effort run, for which the load is forecast.
TYPICAL_RUN_S = 2.5
# Two periods of a swing of 17 s, the longest that is expected of callers.
HISTORY_S = 40.0
# The distance of the moments in the history.  With 0.25 s the nearest ones
# are neighbours, which share the error of a single sample.
MOMENT_PERIOD_S = 0.5
# The window and the distance of the points through which the slope is fitted.
# In a shorter window the error of the samples (about 0.03) hides the slope.
SLOPE_WINDOW_S = 1.5
SLOPE_POINT_PERIOD_S = 0.1
# Tolerates the rounding of times that are multiples of a period.
ROUNDING_S = 1e-6
# A load that swings by 0.45 with a period of 14 s changes by at most 0.1 per
# second.
MAX_SLOPE = 0.15
# How many similar moments a forecast uses.  It takes the upper of the two in
# the middle of their rises: forecasts must rarely be too low, and the highest
# of them is set by single samples.
SIMILAR_MOMENTS = 6
# A slope that differs by 0.1 per second counts like a load that differs by
# 0.2: after TYPICAL_RUN_S the loads would differ by as much.
SLOPE_WEIGHT_S = 2.0


class Moment(typing.NamedTuple):
    """A load in the past, its slope and how far it rose thereafter."""

    at: float
    load: float
    slope: float
    rise: float = 0.0


class LoadSwings:
    """Keep the recent course of a load and forecast its rise."""

    def __init__(self) -> None:
        self.slope = 0.0
        # The highest load in the history.
        self.highest = 0.0
        # The highest rise to expect during a best-effort run, or None while
        # the history is too short.
        self.expected_rise: float | None = None
        self.slope_points: collections.deque[tuple[float, float]] = (
            collections.deque())
        # Moments after which less than TYPICAL_RUN_S has passed, and others.
        self.recent: collections.deque[Moment] = collections.deque()
        self.history: collections.deque[Moment] = collections.deque()

    def add_point(self, at: float, load: float) -> None:
        """Add a load that was measured at a time, and update the slope."""
        points = self.slope_points
        if points and at - points[-1][0] < SLOPE_POINT_PERIOD_S - ROUNDING_S:
            return
        points.append((at, load))
        while at - points[0][0] > SLOPE_WINDOW_S:
            points.popleft()
        if at - points[0][0] < SLOPE_WINDOW_S / 2:
            self.slope = 0.0
            return
        slope = statistics.linear_regression(*zip(*points)).slope
        self.slope = max(-MAX_SLOPE, min(MAX_SLOPE, slope))

    def add_load(self, now: float, load: float) -> None:
        """Add the present load, and update the forecast."""
        if self.recent:
            since_last_s = now - self.recent[-1].at
            if since_last_s < MOMENT_PERIOD_S - ROUNDING_S:
                return
            if since_last_s > 2 * MOMENT_PERIOD_S:
                # What followed the moments before the gap is not known.
                self.recent.clear()
        self.recent.append(Moment(now, load, self.slope))
        while now - self.recent[0].at >= TYPICAL_RUN_S - ROUNDING_S:
            highest = max(moment.load for moment in self.recent)
            past = self.recent.popleft()
            self.history.append(past._replace(rise=highest - past.load))
        while self.history and now - self.history[0].at > HISTORY_S:
            self.history.popleft()
        self.highest = max(
            moment.load for moments in (self.history, self.recent)
            for moment in moments)
        self.expected_rise = self._forecast(load)

    def _forecast(self, load: float) -> float | None:
        """Return the rise after similar moments; None if there are few."""
        if len(self.history) < 2 * SIMILAR_MOMENTS:
            return None
        slope = self.slope
        similar = heapq.nsmallest(
            SIMILAR_MOMENTS, ((abs(moment.load - load) + SLOPE_WEIGHT_S
                               * abs(moment.slope - slope), moment.rise)
                              for moment in self.history))
        return statistics.median_high(rise for _, rise in similar)
