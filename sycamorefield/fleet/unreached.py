"""Tell which workers are alive although the owner can't reach them."""

import typing

from sycamorefield.fleet import endedlives
from sycamorefield.fleet import workerstate

if typing.TYPE_CHECKING:
    from sycamorefield.fleet import state as state_mod

# The entry of a worker that has ended expires within this time.  A worker that
# has been silent for longer and is still listed writes to the store.
UNREACHED_AFTER_S = endedlives.ENTRY_TTL_S


class UnreachedWorkers:
    """Remember since when each listed worker has been silent."""

    def __init__(self) -> None:
        self.silent_since: dict[str, float] = {}
        self.listed_workers = 0

    def update(self, fleet: "state_mod.FleetState", now: float) -> None:
        """Note which listed workers do not answer."""
        with fleet.lock:
            # Entries on an outdated list may have expired.
            if fleet.has_current_list(now):
                listed = [w for w in fleet.workers.values()
                          if w.listed and not w.entry.draining]
            else:
                listed = []
            self.listed_workers = len(listed)
            self.silent_since = {
                w.entry.worker_id: self.silent_since.get(
                    w.entry.worker_id, now)
                for w in listed if not _answers(w)}

    def worker_ids(self, now: float) -> list[str]:
        """Return the workers that are alive and can't be reached."""
        return [worker_id for worker_id, since in self.silent_since.items()
                if now - since >= UNREACHED_AFTER_S]

    def lost_s(self, now: float) -> float:
        """Return for how long, in seconds, all workers could have been used.

        That is the time for which workers have not been reached, divided by
        the number of all workers.
        """
        silent_s = sum(now - self.silent_since[worker_id]
                       for worker_id in self.worker_ids(now))
        return silent_s / max(1, self.listed_workers)


def _answers(worker: workerstate.WorkerState) -> bool:
    return worker.has_reported and not worker.unresponsive
