"""Tell which workers are alive although the owner can't reach them."""

import typing

from sycamorefield.fleet import endedlives
from sycamorefield.fleet import workerstate

if typing.TYPE_CHECKING:
    from sycamorefield.fleet import state as state_mod

# The entry of a worker that has ended expires within this time.  A worker that
# has been silent for longer and is still listed writes to the store.
UNREACHED_AFTER_S = endedlives.ENTRY_TTL_S
# A worker that is removed as its leases have expired is added again with the
# next list of workers, if it is still listed.
MAX_ABSENCE_S = 2.0


class Silence(typing.NamedTuple):
    """Since when a worker has been silent, and when it last was known to be.

    In seconds on clock.now().
    """

    since: float
    seen_at: float


class UnreachedWorkers:
    """Remember since when each listed worker has been silent."""

    def __init__(self) -> None:
        self.silences: dict[str, Silence] = {}
        self.listed_workers = 0

    def update(self, fleet: "state_mod.FleetState", now: float) -> None:
        """Note which listed workers do not answer."""
        with fleet.lock:
            if not fleet.has_current_list(now):
                # Entries on an outdated list may have expired.
                self.silences.clear()
                return
            self.listed_workers = 0
            for worker_id, worker in fleet.workers.items():
                is_listed = worker.listed and not worker.entry.draining
                self.listed_workers += is_listed
                if not is_listed or _answers(worker):
                    self.silences.pop(worker_id, None)
                    continue
                known = self.silences.get(worker_id)
                self.silences[worker_id] = Silence(
                    known.since if known is not None else now, now)
        for worker_id, silence in list(self.silences.items()):
            if now - silence.seen_at > MAX_ABSENCE_S:
                del self.silences[worker_id]

    def worker_ids(self, now: float) -> list[str]:
        """Return the workers that are alive and can't be reached."""
        return [worker_id for worker_id, silence in self.silences.items()
                if now - silence.since >= UNREACHED_AFTER_S]

    def silent_ids(self) -> set[str]:
        """Return the listed workers that do not answer, however briefly."""
        return set(self.silences)

    def lost_s(self, now: float) -> float:
        """Return for how long, in seconds, all workers could have been used.

        That is the time for which workers have not been reached, divided by
        the number of all workers.
        """
        silent_s = sum(now - self.silences[worker_id].since
                       for worker_id in self.worker_ids(now))
        return silent_s / max(1, self.listed_workers)


def _answers(worker: workerstate.WorkerState) -> bool:
    return worker.has_reported and not worker.unresponsive
