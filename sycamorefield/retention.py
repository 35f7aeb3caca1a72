"""Have the key-value service remove records that have grown old.

Each record is bound to a lease that is never renewed.  A lease lasts twice
as long as records must be kept and takes new records for the first half of
its life, so that every record is kept long enough, and thousands of them
cost one lease and no write to remove.
"""

import time

from returns import result

from sycamorefield import kvclient

NOT_FOUND = "NOT_FOUND"
NO_LEASE = 0


class RetentionLease:
    """The lease that records written now are bound to."""

    def __init__(self, kv: kvclient.Client, retention_s: float = 0.0) -> None:
        self.kv = kv
        self.retention_s = retention_s
        self.lease_id = NO_LEASE
        self.granted_at = 0.0

    def lease(self) -> kvclient.Outcome[int]:
        """Return the lease to bind a record to (0: it is never removed)."""
        if not self.retention_s:
            return result.Success(NO_LEASE)
        now = time.monotonic()
        if self.lease_id and now - self.granted_at < self.retention_s:
            return result.Success(self.lease_id)
        # Two threads may both get here; then one lease too many lapses
        # unused.  A lock would hold every request while the store is down.
        granted = self.kv.grant(int(2000 * self.retention_s))
        if isinstance(granted, result.Success):
            self.lease_id = granted.unwrap()
            self.granted_at = now
        return granted

    def handle_write_error(self, error: kvclient.KvError) -> None:
        """Take note of a failed write: the lease may be gone."""
        # The store may cut leases short; bound to one that is gone, every
        # further record would be refused, so the next one gets a new one.
        if error.status == NOT_FOUND:
            self.lease_id = NO_LEASE
