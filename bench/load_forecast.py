"""Measure the error of load forecasts for serving tasks 2.5 s ahead.

The load swings between 0.23 and 0.68 with a period of 14 s and is reported by
six tasks.  With an assumed rise of 0.15 at any time the mean absolute error is
0.089 and the mean excess 0.041; with the slope they are 0.074 and 0.009, with
the recent swings 0.021 and 0.010.
"""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

from tests import test_fleet_interference  # noqa: E402

SEEDS = range(4)


def measure(rise_model: str, follow_slopes: bool,
            recent_swing: bool) -> None:
    """Print the mean absolute error and mean excess over all seeds."""
    errors = [error for seed in SEEDS
              for error in test_fleet_interference.forecast_errors(
                  seed, follow_slopes, recent_swing)]
    mean_error = sum(abs(error) for error in errors) / len(errors)
    mean_excess = sum(max(0.0, error) for error in errors) / len(errors)
    too_low = sum(error < -0.06 for error in errors) / len(errors)
    print(f"forecast by {rise_model}: mean absolute error {mean_error:.3f}, "
          f"mean excess {mean_excess:.3f}, over 0.06 too low "
          f"{100 * too_low:.0f}%, mean error "
          f"{sum(errors) / len(errors):+.3f}")


def main() -> int:
    """Measure forecasts by an assumed rise, by slope and by swings."""
    measure("constant rise", False, False)
    measure("slope", True, False)
    measure("recent swings", True, True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
