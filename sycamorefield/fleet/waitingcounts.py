"""Tell callers how many jobs of a queue wait, also without an owner."""

import threading
import typing

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import ownerchanges
from sycamorefield.fleet import progress
from sycamorefield.fleet import records

# The owner stores the counts; a change of owner takes about this long.  After
# it, counts that no present owner has written are not used any more.
MAX_STALE_S = 2.5
# How long counts made from the stored jobs are used.  To list all jobs is a
# large read, which several callers in a second share.
RECOUNT_PERIOD_S = 1.0

# Returns the revision at which the present owner claimed the fleet, or None.
OwnerClaim = typing.Callable[[], int | None]


class WaitingCounts:
    """Return the counts that the owner stores, or count the stored jobs.

    read returns an item of the store; it raises CallFailed.
    """

    def __init__(self, store: interfaces.Store,
                 read: typing.Callable[[str], messages.Item | None],
                 owner_claim: OwnerClaim,
                 owner_changes: ownerchanges.OwnerChanges) -> None:
        self.store = store
        self.read = read
        self.owner_claim = owner_claim
        self.owner_changes = owner_changes
        # When a request first found that no present owner has written the
        # counts, or None.
        self.stale_since: float | None = None
        self.lock = threading.Lock()
        self.counted_at = 0.0
        self.counts: dict[str, int] = {}

    def count(self, queue: str) -> int:
        """Return the number of waiting jobs of a queue; raises CallFailed."""
        item = self.read(records.WAITING_JOBS_KEY)
        if self._stale_s(item) > MAX_STALE_S:
            return self._recount().get(queue, 0)
        if item is None:
            return 0
        return int(records.decode_mapping(item.value).get(queue, 0))

    def _stale_s(self, item: messages.Item | None) -> float:
        claim = self.owner_claim()
        if (claim is not None and item is not None
                and item.revision > claim):
            self.stale_since = None
            return 0.0
        now = clock.now()
        if self.stale_since is None:
            self.stale_since = now
        # The owner that wrote them ended at the first change after it.
        ended_at = self.owner_changes.first_after(
            item.revision if item is not None else 0)
        return now - min(self.stale_since, ended_at)

    def _recount(self) -> dict[str, int]:
        with self.lock:
            if clock.now() - self.counted_at > RECOUNT_PERIOD_S:
                self.counts = _count_jobs(self.store)
                self.counted_at = clock.now()
            return self.counts


def _count_jobs(store: interfaces.Store) -> dict[str, int]:
    """Return, by queue, the stored jobs of which no task is known to run.

    Jobs with a scheduled start and cancelled ones don't count.  A job that
    began after its progress was last stored counts although it does not wait.
    """
    begun = {item.key[len(records.PROGRESS_PREFIX):]
             for item in store.listing(records.PROGRESS_PREFIX).items
             if progress.decode_state(item.value) != messages.PENDING}
    items = store.listing(records.JOB_PREFIX).items
    cancelled = {item.key[len(records.JOB_PREFIX):-len(records.CANCEL_SUFFIX)]
                 for item in items
                 if item.key.endswith(records.CANCEL_SUFFIX)}
    counts: dict[str, int] = {}
    for item in items:
        job_id = item.key[len(records.JOB_PREFIX):]
        if (item.key.endswith(records.CANCEL_SUFFIX)
                or job_id in begun | cancelled):
            continue
        try:
            job = progress.decode_job(item.value)
        except ValueError as exc:
            events.emit(events.RECORD_UNREADABLE, key=item.key,
                        reason=str(exc))
            continue
        if not job.start_at_ms:
            counts[job.queue] = counts.get(job.queue, 0) + 1
    return counts
