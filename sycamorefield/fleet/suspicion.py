"""Hold what crashes of workers tell of one task, and what follows from it.

When a worker crashes, each task that had just been started there may be the
cause.  Counting crashes alone would also give up tasks that only stood beside
the cause.  So a suspected task is tried: it runs again on a worker where no
other run is young, and nothing else is started there meanwhile.  A crash then
counts against this task alone.
"""

import dataclasses
import itertools
import typing

# A task that crashes its workers as it starts does so within this.
STARTUP_WINDOW_S = 0.25
# A run that was at work for this long is not the cause of a crash.
MAX_SUSPECT_AGE_S = 3.0
# After so many crashes in trials a task is given up.
MAX_QUARANTINE_CRASHES = 2
# A task that crashes its workers does so after similar times: they differ by
# no more than either of these.
SIMILAR_AGE_S = 0.4
SIMILAR_AGE_RATIO = 0.15
# A trial lasts this many times as long as the task ran before a crash.
QUARANTINE_TIME_FACTOR = 1.5


@dataclasses.dataclass(slots=True)
class Suspicion:
    """Hold the crashes of workers under one task's young runs."""

    workers: list[str] = dataclasses.field(default_factory=list)
    # How long the runs were at work until the crashes, in seconds.
    ages_s: list[float] = dataclasses.field(default_factory=list)
    in_trials: int = 0
    # Whether the last crash came as this run and hardly any other started.
    likely: bool = False

    def add_crash(self, worker_id: str, age_s: float, likely: bool,
                  in_quarantine: bool) -> None:
        """Note a crash that came when a run was so old.

        One in a trial after quite another time has another cause.
        """
        if in_quarantine and any(
            _is_similar_age(
                age_s,
                earlier_age_s) for earlier_age_s in self.ages_s):
            self.in_trials += 1
        self.workers.append(worker_id)
        self.ages_s.append(age_s)
        self.likely = likely

    def needs_quarantine_run(self) -> bool:
        """Tell whether the next run must be a trial."""
        return (self.likely or self.in_trials > 0
                or any(_is_similar_age(*pair) for pair
                       in itertools.combinations(self.ages_s, 2)))

    def is_confirmed(self) -> bool:
        """Tell whether the task is the cause of crashes."""
        return self.in_trials >= MAX_QUARANTINE_CRASHES

    def quarantine_s(self) -> float:
        """Return for how many seconds a run must go on to pass its trial."""
        return min(MAX_SUSPECT_AGE_S, max(STARTUP_WINDOW_S,
                   QUARANTINE_TIME_FACTOR * max(self.ages_s, default=0.0)))

    def encode(self) -> dict[str, typing.Any]:
        """Return it as it is stored."""
        return dataclasses.asdict(self)


def decode(row: dict[str, typing.Any]) -> Suspicion:
    """Return a stored suspicion; raises TypeError if it is unreadable."""
    return Suspicion(**row)


def _is_similar_age(first_s: float, second_s: float) -> bool:
    return (abs(first_s - second_s)
            <= max(SIMILAR_AGE_S, SIMILAR_AGE_RATIO * max(first_s, second_s)))
