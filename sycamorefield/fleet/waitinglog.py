"""Log steps whose tasks are ready but have not started for a long time."""

import typing

from sycamorefield import events
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress

if typing.TYPE_CHECKING:
    from sycamorefield.fleet import state as state_mod

# Steps are logged once their tasks have waited this long, and as often.
LOG_PERIOD_S = 10.0
# Keeps a line below 8 KB, which standard output accepts in a single write.
STEPS_PER_LINE = 40

# The step, its idle tasks, those of them that are suspected of crashing
# workers or quarantined, the CPU of one in cores, and the wait in seconds.
WaitingRow = tuple[str, int, int, float, float]


class WaitingLog:
    """Remembers since when each step has had ready tasks without a run."""

    def __init__(self) -> None:
        self.waiting_since: dict[messages.StepId, float] = {}
        self.logged_at = 0.0

    def update(self, fleet: "state_mod.FleetState", now: float) -> None:
        """Note the waiting steps and log those that have waited long."""
        if now - self.logged_at < LOG_PERIOD_S:
            return
        self.logged_at = now
        rows = self._rows(fleet, now)
        if rows:
            events.emit(events.TASKS_WAITING, fence=fleet.fence,
                        awaited=len(fleet.awaited_workers), steps=rows)

    def _rows(self, fleet: "state_mod.FleetState",
              now: float) -> list[WaitingRow]:
        """Return the steps that have waited long, the longest first."""
        with fleet.lock:
            states = list(fleet.active.values())
        waiting: dict[messages.StepId, float] = {}
        rows = []
        for state in states:
            with fleet.lock:
                for tasks in state.ready_tasks():
                    step_id = tasks[0].task.step_id()
                    since = self.waiting_since.get(step_id, now)
                    waiting[step_id] = since
                    if now - since >= LOG_PERIOD_S:
                        rows.append(_row(fleet, tasks, now - since))
        self.waiting_since = waiting
        rows.sort(key=lambda row: -row[4])
        return rows[:STEPS_PER_LINE]


def _row(fleet: "state_mod.FleetState", tasks: list[progress.TaskState],
         waited_s: float) -> WaitingRow:
    suspected = sum(1 for task in tasks if task.needs_quarantine_run()
                    or task.task in fleet.trials.by_task)
    return (str(tasks[0].task.step_id()), len(tasks), suspected,
            tasks[0].step.room.cpu / 1000.0, round(waited_s, 1))
