"""Log steps whose tasks are ready but have not started for a long time."""

import typing

from sycamorefield import events
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import waitingreasons

if typing.TYPE_CHECKING:
    from sycamorefield.fleet import state as state_mod

# Steps are logged once their tasks have waited this long, and as often.
LOG_PERIOD_S = 10.0
# Keeps a line below 8 KB, which standard output accepts in a single write.
STEPS_PER_LINE = 40
# For so many steps, those that have waited longest, workers are counted by
# why they are not used: this looks at every worker.
STEPS_WITH_WORKERS = 5

# The step, its idle tasks, those of them that are suspected of crashing
# workers or quarantined, the CPU of one in cores, the wait in seconds, and
# its reason.
WaitingRow = tuple[str, int, int, float, float, str]


class WaitingLog:
    """Remembers since when each step has had ready tasks without a run."""

    def __init__(self) -> None:
        self.waiting_since: dict[messages.StepId, float] = {}
        self.logged_at = 0.0

    def update(self, fleet: "state_mod.FleetState", now: float,
               round_age_s: float) -> None:
        """Note the waiting steps and log those that have waited long.

        round_age_s is the time since the last round ended.
        """
        if now - self.logged_at < LOG_PERIOD_S:
            return
        self.logged_at = now
        waiting = self._waiting_long(fleet, now)
        if waiting:
            events.emit(events.TASKS_WAITING, fence=fleet.fence,
                        awaited=len(fleet.awaited_workers),
                        round_age_s=round(round_age_s, 3),
                        list_age_s=round(now - fleet.list_read_at, 3),
                        steps=[row for row, _ in waiting[:STEPS_PER_LINE]],
                        workers=[
                            (row[0], _count_workers(fleet, tasks[0], now))
                            for row, tasks in waiting[:STEPS_WITH_WORKERS]])

    def _waiting_long(self, fleet: "state_mod.FleetState", now: float
                      ) -> list[tuple[WaitingRow, list[progress.TaskState]]]:
        """Return steps that have waited long and their idle tasks.

        Those that have waited the longest come first.
        """
        with fleet.lock:
            states = list(fleet.active.values())
        waiting: dict[messages.StepId, float] = {}
        found = []
        for state in states:
            with fleet.lock:
                for tasks in state.ready_tasks():
                    step_id = tasks[0].task.step_id()
                    since = self.waiting_since.get(step_id, now)
                    waiting[step_id] = since
                    if now - since >= LOG_PERIOD_S:
                        reason = waitingreasons.step_reason(
                            fleet, state, tasks, now)
                        found.append((_row(fleet, tasks, now - since, reason),
                                      tasks))
        self.waiting_since = waiting
        found.sort(key=lambda pair: -pair[0][4])
        return found


def _row(fleet: "state_mod.FleetState", tasks: list[progress.TaskState],
         waited_s: float, reason: str) -> WaitingRow:
    suspected = sum(1 for task in tasks if task.needs_quarantine_run()
                    or task.task in fleet.trials.by_task)
    return (str(tasks[0].task.step_id()), len(tasks), suspected,
            tasks[0].step.room.cpu / 1000.0, round(waited_s, 1), reason)


def _count_workers(fleet: "state_mod.FleetState", task: progress.TaskState,
                   now: float) -> dict[str, int]:
    with fleet.lock:
        queues = fleet.configuration().queues_by_name()
        service = waitingreasons.service_of(
            queues, fleet.jobs[task.task.job_id])
        return waitingreasons.count_workers(fleet, task, service, now)
