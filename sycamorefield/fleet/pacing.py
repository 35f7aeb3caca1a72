"""Decide at which share filling tasks work beside tasks that serve."""

# Tails are rough and half a second late.  Slowing well before the target
# keeps a task from being over it for the seconds that it takes to notice.
SLOW_AT = 0.8
EASE_AT = 0.5
SLOW_FACTOR = 0.4
EASE_STEP = 20
# Below this share a filling task makes no progress worth its disturbance.
LEAST = 10


def next_pace(pace: int, worst: float) -> int:
    """Return the next share (0 to 100 percent).

    worst is the highest tail on the worker divided by its target.
    """
    if worst >= SLOW_AT:
        slower = int(pace * SLOW_FACTOR)
        return slower if slower >= LEAST else 0
    if worst <= EASE_AT:
        return min(100, pace + EASE_STEP)
    return pace
