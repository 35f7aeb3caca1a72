"""Remember the crashes that workers have been recorded with until now.

A worker that refuses connections may have crashed, or its link may be cut
while it runs on.  The crash is recorded at once, so that a succeeding owner
knows of it.  It is proven once another life answers at the worker's address.
The expiry of the worker's leases frees its tasks but proves no crash.  A crash
is retracted if the same life answers, also after the worker's removal.
"""

import dataclasses

from sycamorefield import events
from sycamorefield.fleet import progress
from sycamorefield.fleet import suspicion

# How long the crash of a removed worker can be retracted, in seconds.  This
# bounds the memory.
RETENTION_S = 600.0
# Keeps a log line under 4 KB.
MAX_LOGGED_TASKS = 40


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """A crash that was recorded with a task, and what it changed there."""

    task: progress.TaskState
    suspicion: suspicion.Suspicion
    age_s: float
    counts_in_quarantine: bool
    was_likely: bool
    earlier_life: str


@dataclasses.dataclass(slots=True)
class CrashRecord:
    """The recorded end of one life of a worker; it may have no suspects."""

    worker_id: str
    address: str
    born_ms: int
    at: float
    suspects: list[Suspect]
    is_proven: bool = False
    leases_expired: bool = False

    def mark_unproven(self) -> None:
        """Note that the worker may not have ended."""
        for suspect in self.suspects:
            suspect.suspicion.unproven_trials += suspect.counts_in_quarantine
            suspect.suspicion.leased_trials += suspect.counts_in_quarantine

    def expire_leases(self) -> None:
        """Note that the worker's runs are over, whether it crashed or not."""
        if not self.leases_expired:
            self._log("leases expired, unproven")
            self._end_leases()

    def _end_leases(self) -> None:
        if self.leases_expired:
            return
        self.leases_expired = True
        for suspect in self.suspects:
            suspect.suspicion.leased_trials -= suspect.counts_in_quarantine

    def confirm(self) -> None:
        """Note that the life of the worker has ended."""
        if self.is_proven:
            return
        self._log("proven")
        self._end_leases()
        self._count_as_proven()

    def _count_as_proven(self) -> None:
        if self.is_proven:
            return
        self.is_proven = True
        for suspect in self.suspects:
            suspect.suspicion.unproven_trials -= suspect.counts_in_quarantine

    def retract(self) -> None:
        """Remove the crash from the suspicions of its tasks."""
        self._log("retracted")
        self._end_leases()
        self._count_as_proven()
        for suspect in self.suspects:
            record = suspect.suspicion
            is_last = record.workers[-1:] == [self.worker_id]
            record.remove_crash(self.worker_id, suspect.age_s)
            record.in_trials -= suspect.counts_in_quarantine
            if is_last:
                record.likely = suspect.was_likely
                record.last_life = suspect.earlier_life
            if not record.workers and suspect.task.suspicion is record:
                suspect.task.suspicion = None

    def _log(self, outcome: str) -> None:
        if self.suspects:
            events.emit(events.CRASH_RESOLVED, worker=self.worker_id,
                        born_ms=self.born_ms, outcome=outcome,
                        tasks=[str(suspect.task.task) for suspect
                               in self.suspects[:MAX_LOGGED_TASKS]])

    def tasks(self) -> list[progress.TaskState]:
        """Return the suspected tasks."""
        return [suspect.task for suspect in self.suspects]


class CrashRecords:
    """Hold the last record of each worker that refused connections."""

    def __init__(self) -> None:
        self.by_worker: dict[str, CrashRecord] = {}

    def add_unproven(self, record: CrashRecord) -> None:
        """Add the record of a worker that may have crashed."""
        record.mark_unproven()
        self.by_worker[record.worker_id] = record

    def is_unproven(self, worker_id: str) -> bool:
        """Return whether a worker may have crashed, without proof so far."""
        record = self.by_worker.get(worker_id)
        return record is not None and not record.is_proven

    def has_record(self, worker_id: str) -> bool:
        """Return whether the crash of a worker's last life is recorded."""
        return worker_id in self.by_worker

    def replaced_by(self, worker_id: str, address: str) -> list[str]:
        """Return workers without proof of a crash at another's address."""
        return [record.worker_id for record in self.by_worker.values()
                if record.address == address
                and record.worker_id != worker_id and not record.is_proven]

    def expire_leases(self, worker_id: str) -> list[progress.TaskState]:
        """Note that a worker's leases have expired; return the suspects."""
        if not self.is_unproven(worker_id):
            return []
        record = self.by_worker[worker_id]
        record.expire_leases()
        return record.tasks()

    def confirm(self, worker_id: str) -> list[progress.TaskState]:
        """Note that a worker's life has ended; return the suspected tasks."""
        if not self.is_unproven(worker_id):
            return []
        record = self.by_worker[worker_id]
        record.confirm()
        return record.tasks()

    def answered(self, worker_id: str,
                 born_ms: int) -> list[progress.TaskState]:
        """Handle a report of a life; return the tasks that are concerned.

        Workers whose reports don't name a life have another ID in each life.
        """
        record = self.by_worker.pop(worker_id, None)
        if record is None:
            return []
        if record.born_ms == born_ms and (born_ms or not record.is_proven):
            record.retract()
        elif record.born_ms and born_ms:
            record.confirm()
        return record.tasks()

    def forget_old(self, now: float) -> None:
        """Forget workers that will hardly answer again."""
        for worker_id, record in list(self.by_worker.items()):
            if ((record.is_proven or record.leases_expired)
                    and now - record.at > RETENTION_S):
                del self.by_worker[worker_id]
