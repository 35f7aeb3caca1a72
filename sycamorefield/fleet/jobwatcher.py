"""Watch the store for submitted jobs and cancellations."""

import threading

from sycamorefield import events
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import records
from sycamorefield.fleet import state as state_mod

# The longest that one watch call waits for changes.
WATCH_WAIT_MS = 2000
RETRY_PAUSE_S = 0.1


class JobWatcher:
    """Add submitted jobs and apply cancellations from the store."""

    def __init__(self, store: interfaces.Store,
                 fleet: state_mod.FleetState,
                 stepped_down: threading.Event) -> None:
        self.store = store
        self.fleet = fleet
        self.stepped_down = stepped_down

    def follow(self, revision: int) -> None:
        """Apply changes after a revision until the owner steps down."""
        while not self.stepped_down.is_set():
            revision = self._watch(revision)

    def _watch(self, after_revision: int) -> int:
        """Watch once; return the revision to continue from.

        An answer without changes does not advance the revision: the watch
        may have stalled while keys changed.  Watching again from the last
        change seen returns the missed changes, or fails because the store
        has compacted its history.
        """
        with self.fleet.lock:
            self.fleet.ended_jobs.drop_seen(after_revision)
        try:
            response = self.store.watch(records.JOB_PREFIX, after_revision,
                                        WATCH_WAIT_MS)
            for change in response.changes:
                if change.item is None:
                    continue
                self._add_and_log(change.item)
                self.apply_cancellation(change.key)
            return max([after_revision]
                       + [c.revision for c in response.changes])
        except interfaces.HistoryCompacted:
            return self._list_again(after_revision)
        except interfaces.CallFailed as exc:
            events.emit(events.STORE_UNREACHABLE,
                        reason=f"watch of jobs: {exc}")
            self.stepped_down.wait(RETRY_PAUSE_S)
            return self._list_again(after_revision)

    def _list_again(self, after_revision: int) -> int:
        """List all jobs; return the revision to continue from.

        A watch may have missed changes before it failed.
        """
        try:
            listing = self.store.listing(records.JOB_PREFIX)
        except interfaces.CallFailed as exc:
            events.emit(events.STORE_UNREACHABLE,
                        reason=f"list of jobs: {exc}")
            self.stepped_down.wait(RETRY_PAUSE_S)
            return after_revision
        for item in listing.items:
            self._add_and_log(item)
        for item in listing.items:
            self.apply_cancellation(item.key)
        return listing.revision

    def _add_and_log(self, item: messages.Item) -> None:
        """Add a stored job, and log it if it is new."""
        job = self.add_job(item)
        if job is not None:
            events.emit(events.JOB_PICKED_UP, job=job.job_id, queue=job.queue,
                        revision=item.created_revision)

    def add_job(self, item: messages.Item) -> messages.Job | None:
        """Add a stored job; return it if it is new, else None.

        The item may come from an answer that is older than the job's end.
        """
        if item.key.endswith(records.CANCEL_SUFFIX):
            return None
        try:
            job = progress.decode_job(item.value)
        except ValueError as exc:
            events.emit(events.RECORD_UNREADABLE, key=item.key,
                        reason=str(exc))
            return None
        with self.fleet.lock:
            if (job.job_id in self.fleet.jobs
                    or self.fleet.ended_jobs.covers(
                        job.job_id, item.created_revision)):
                return None
            self.fleet.add_job(job, item.created_revision)
        return job

    def apply_cancellation(self, key: str) -> None:
        """Cancel the job of a cancellation key; ignore other keys."""
        if key.endswith(records.CANCEL_SUFFIX):
            self.fleet.cancel(key[len(records.JOB_PREFIX):
                                  -len(records.CANCEL_SUFFIX)])
