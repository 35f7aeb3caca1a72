"""Follow the jobs and cancellations that callers have stored."""

import threading

from sycamorefield import events
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import records
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import surroundings

WATCH_MS = 2000
RETRY_PAUSE_S = 0.1


class Inbox:
    """Take up what is stored under the jobs' keys until told it is over."""

    def __init__(self, store: surroundings.Store,
                 fleet: state_mod.FleetState, over: threading.Event) -> None:
        self.store = store
        self.fleet = fleet
        self.over = over

    def follow(self, revision: int) -> None:
        """Take in changes after a revision, one watch after the other."""
        while not self.over.is_set():
            revision = self._watch(revision)

    def _watch(self, after: int) -> int:
        """Take in new jobs and cancellations; return where to go on.

        An answer without changes moves nothing on: a watch may have been
        deaf while changes were made, and only asking again from the last
        change seen brings them, or shows that the history is gone.
        """
        try:
            found = self.store.watch(records.JOB_PREFIX, after,
                                     WATCH_MS)
            for change in found.changes:
                if change.item is None:
                    continue
                self._take_job(change.item)
                self.take_cancel(change.key)
            return max([after] + [c.revision for c in found.changes])
        except surroundings.HistoryGone:
            return self._reread(after)
        except surroundings.CallFailed as exc:
            events.emit(events.STORE_UNREACHABLE, reason=f"inbox: {exc}")
            self.over.wait(RETRY_PAUSE_S)
            return self._reread(after)

    def _reread(self, after: int) -> int:
        """Read all jobs again: a watch that was cut may have gone deaf."""
        try:
            listing = self.store.listing(records.JOB_PREFIX)
        except surroundings.CallFailed as exc:
            events.emit(events.STORE_UNREACHABLE, reason=f"inbox: {exc}")
            self.over.wait(RETRY_PAUSE_S)
            return after
        for item in listing.items:
            self._take_job(item)
        for item in listing.items:
            self.take_cancel(item.key)
        return listing.revision

    def _take_job(self, item: messages.Item) -> None:
        """Take up a job, and log it if it is new."""
        job = self.add_job(item)
        if job is not None:
            events.emit(events.JOB_PICKED_UP, job=job.job_id, queue=job.queue,
                        revision=item.created)

    def add_job(self, item: messages.Item) -> messages.Job | None:
        """Take up a stored job; return it if it is new."""
        if item.key.endswith(records.CANCEL_SUFFIX):
            return None
        try:
            job = progress.decode_job(item.value)
        except ValueError as exc:
            events.emit(events.RECORD_UNREADABLE, key=item.key,
                        reason=str(exc))
            return None
        known = job.job_id in self.fleet.jobs
        self.fleet.add_job(job, item.created)
        return None if known else job

    def take_cancel(self, key: str) -> None:
        """Cancel the job that a key names, if it is a cancellation's."""
        if key.endswith(records.CANCEL_SUFFIX):
            self.fleet.cancel(key[len(records.JOB_PREFIX):
                                  -len(records.CANCEL_SUFFIX)])
