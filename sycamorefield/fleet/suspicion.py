"""Record the worker crashes that one task is suspected of.

When a worker crashes, each task that had just been started there may be the
cause.  Counting crashes alone would also fail tasks that merely ran on the
same worker.  A suspected task is therefore quarantined: it runs again on a
worker without other recently started runs, and nothing else is started there
in the meantime.  A crash then counts against this task alone.
"""

import dataclasses
import itertools
import math
import typing

import msgspec

# A task that crashes its worker on start does so within this time.
STARTUP_WINDOW_S = 0.25
# A run that has executed for this long is not the cause of a crash.
MAX_SUSPECT_AGE_S = 3.0
# A task fails after this many crashes in quarantine.
MAX_QUARANTINE_CRASHES = 2
# A task may be started this many times if each start crashes its worker.
MAX_CRASHES = 5
# A task with one recorded crash, this many lost ones and two in quarantine has
# crashed MAX_CRASHES workers.
MAX_LOST_CRASHES = 2
# A task that crashes its workers does so at similar run ages: they differ by
# at most this many seconds or this share of the higher age, if that is more.
SIMILAR_AGE_S = 0.4
SIMILAR_AGE_RATIO = 0.15
# A quarantine run must last this many times as long as the longest run that
# ended in a crash.
QUARANTINE_TIME_FACTOR = 1.5


@dataclasses.dataclass(slots=True)
class Suspicion:
    """The crashes of workers on which a task had recently started."""

    workers: list[str] = dataclasses.field(default_factory=list)
    # The ages of the runs at the crashes.
    ages_s: list[float] = dataclasses.field(default_factory=list)
    # The number of crashes in quarantine, at a run age seen before.
    in_trials: int = 0
    # Whether the last crash was in quarantine, or this run and few others had
    # just started.
    likely: bool = False
    # The life of the worker that crashed last, or empty if it is not known.
    last_life: str = ""
    # How many of the crashes in quarantine are not proven: the worker may only
    # be cut off.
    unproven_trials: int = 0
    # How many quarantine runs ended with their worker as others failed too.
    uncharged_trials: int = 0
    # How many of the unproven workers have leases that have not expired.  Not
    # stored.
    leased_trials: int = 0

    def add_crash(self, worker_id: str, age_s: float, likely: bool,
                  in_quarantine: bool, life: str = "") -> bool:
        """Record a crash and the age of the task's run at that time.

        Return whether it counts as one in quarantine.  A crash in quarantine
        at a run age unlike all earlier ones has another cause and does not, or
        was noticed late: the next run is in quarantine again, so that no
        change of the owner loses its crash.
        """
        counts = in_quarantine and any(
            _is_similar_age(age_s, earlier_age_s)
            for earlier_age_s in self.ages_s)
        self.in_trials += counts
        self.workers.append(worker_id)
        self.ages_s.append(age_s)
        self.likely = likely or in_quarantine
        self.last_life = life
        return counts

    def remove_crash(self, worker_id: str, age_s: float) -> None:
        """Remove a recorded crash of a worker that has not crashed."""
        for index, crash in enumerate(zip(self.workers, self.ages_s)):
            if crash == (worker_id, age_s):
                del self.workers[index], self.ages_s[index]
                return

    def needs_quarantine_run(self, owner_changes: int = 0) -> bool:
        """Return whether the next run must be in quarantine.

        Each change of the owner may have lost a crash.  A run that had not
        just started is suspected of too many crashes of others.
        """
        return (self.likely or self.in_trials > 0
                or (owner_changes >= MAX_LOST_CRASHES
                    and min(self.ages_s, default=math.inf) < STARTUP_WINDOW_S)
                or any(_is_similar_age(*pair) for pair
                       in itertools.combinations(self.ages_s, 2)))

    def is_confirmed(self, owner_changes: int = 0) -> bool:
        """Return whether the task is confirmed as the cause of crashes.

        Crashes without proof confirm it only if another start might be one too
        many, with the crashes that may have been lost or were not charged.
        """
        if self.in_trials - self.unproven_trials >= MAX_QUARANTINE_CRASHES:
            return True
        ended = len(self.workers) - self.leased_trials
        lost = min(owner_changes + self.uncharged_trials, MAX_LOST_CRASHES)
        return (self.in_trials - self.leased_trials >= MAX_QUARANTINE_CRASHES
                and ended + lost >= MAX_CRASHES)

    def quarantine_s(self) -> float:
        """Return the run age in seconds at which the task is cleared."""
        longest_s = max(self.ages_s, default=0.0)
        return min(MAX_SUSPECT_AGE_S, max(
            longest_s + SIMILAR_AGE_S, QUARANTINE_TIME_FACTOR * longest_s))

    def encode(self) -> dict[str, typing.Any]:
        """Return the stored form of this record."""
        row = dataclasses.asdict(self)
        del row["leased_trials"]
        return row


def decode(row: dict[str, typing.Any]) -> Suspicion:
    """Decode a stored record; raise MsgspecError if it is malformed."""
    suspicion = msgspec.convert(row, Suspicion)
    suspicion.leased_trials = 0
    return suspicion


def _is_similar_age(first_s: float, second_s: float) -> bool:
    return (abs(first_s - second_s)
            <= max(SIMILAR_AGE_S, SIMILAR_AGE_RATIO * max(first_s, second_s)))
