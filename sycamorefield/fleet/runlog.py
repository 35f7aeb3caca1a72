"""Log lines that report many runs each, to bound the volume of the log.

A full fleet orders and ends hundreds of runs a second.  With one line per run,
the retained output of a process covered less than a second, and logging took
CPU time from placement.
"""

import threading
import typing

from sycamorefield import events
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress

# Minimum time between two lines of a kind, unless a line is full.
LINE_PERIOD_S = 0.1
# Keeps a line below 8 KB, which standard output accepts in a single write.
RUNS_PER_LINE = 100

# The task, its run and the worker.
RunRow = tuple[messages.TaskId, int, str]
# The task, its run and the age of the run in seconds if it had started.
LostRunRow = tuple[str, int, float | None]


class RunLog:
    """Collects ordered and ended runs, and logs many of them per line."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.ordered: list[RunRow] = []
        # Ended runs, by the way in which they ended.
        self.ended: dict[str, list[RunRow]] = {}
        self.ordered_total = 0
        self.ended_total = 0
        self.flushed_at = 0.0

    def add_ordered(self, task: messages.TaskId, run: int,
                    worker_id: str) -> None:
        """Record a run that a worker is ordered to start."""
        with self.lock:
            self.ordered.append((task, run, worker_id))
            self.ordered_total += 1

    def add_ended(self, task: messages.TaskId, run: int, worker_id: str,
                  how: str) -> None:
        """Record a run that a worker reports as ended."""
        with self.lock:
            self.ended.setdefault(how, []).append((task, run, worker_id))
            self.ended_total += 1

    def flush_when_due(self, now: float) -> None:
        """Write collected runs if the last flush was long enough ago."""
        if now - self.flushed_at >= LINE_PERIOD_S:
            self.flushed_at = now
            self.flush()

    def flush(self) -> None:
        """Write all collected runs."""
        with self.lock:
            ordered, self.ordered = self.ordered, []
            ended, self.ended = self.ended, {}
        for rows in _split_rows(ordered):
            events.emit(events.RUN_ORDERED, runs=rows)
        for how, runs in ended.items():
            for rows in _split_rows(runs):
                events.emit(events.RUN_ENDED, how=how, runs=rows)


def lost_run_rows(runs: typing.Iterable[tuple[progress.TaskState, int]],
                  lost_at: float) -> list[LostRunRow]:
    """Return the runs that were lost with their worker, newest first."""
    rows = []
    for task, run in runs:
        current = task.run == run and task.started_at > 0.0
        age_s = round(lost_at - task.started_at, 3) if current else None
        rows.append((str(task.task), run, age_s))
    rows.sort(key=lambda row: -1.0 if row[2] is None else row[2])
    return rows[:RUNS_PER_LINE]


def _split_rows(runs: list[RunRow]
                ) -> typing.Iterator[list[tuple[str, int, str]]]:
    """Yield the rows of each line: task names, runs and workers."""
    for first in range(0, len(runs), RUNS_PER_LINE):
        yield [(str(task), run, worker_id) for task, run, worker_id
               in runs[first:first + RUNS_PER_LINE]]
