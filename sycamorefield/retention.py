"""Let the key-value service delete records after a retention period.

Each record is bound to a lease that is never renewed.  The TTL of a lease is
twice the retention period, and new records are bound to it only in the first
half of that time.  Every record is thus kept for at least the retention
period, and deleting thousands of records takes one lease and no writes.
"""

import time

from returns import result

from sycamorefield import kvclient

NOT_FOUND = "NOT_FOUND"
NO_LEASE = 0


class RetentionLease:
    """The lease to which new records are bound."""

    def __init__(self, kv: kvclient.Client, retention_s: float = 0.0) -> None:
        self.kv = kv
        self.retention_s = retention_s
        self.lease_id = NO_LEASE
        self.granted_at = 0.0

    def lease(self) -> kvclient.Outcome[int]:
        """Return the lease for a new record (NO_LEASE: kept forever)."""
        if not self.retention_s:
            return result.Success(NO_LEASE)
        now = time.monotonic()
        if self.lease_id and now - self.granted_at < self.retention_s:
            return result.Success(self.lease_id)
        # If two threads get here at once, one lease expires unused.  A lock
        # instead would block every request while the store is down.
        granted = self.kv.grant(int(2000 * self.retention_s))
        if isinstance(granted, result.Success):
            self.lease_id = granted.unwrap()
            self.granted_at = now
        return granted

    def handle_write_error(self, error: kvclient.KvError) -> None:
        """Drop the lease if a write failed because it no longer exists."""
        # The store may end a lease early.  Writes bound to a lease that is
        # gone are refused, so the next record gets a new lease.
        if error.status == NOT_FOUND:
            self.lease_id = NO_LEASE
