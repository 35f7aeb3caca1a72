"""Tell which workers are alive although the owner can't reach them."""

import collections
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
    """The service of a silent worker, since when it has been, and last was.

    Times are in seconds on clock.now().
    """

    service: str
    since: float
    seen_at: float


class UnreachedWorkers:
    """Remember since when each listed worker has been silent."""

    def __init__(self) -> None:
        self.silences: dict[str, Silence] = {}
        # How many workers are listed, by service.
        self.listed_workers: collections.Counter[str] = collections.Counter()

    def update(self, fleet: "state_mod.FleetState", now: float) -> None:
        """Note which listed workers do not answer."""
        with fleet.lock:
            if not fleet.has_current_list(now):
                # Entries on an outdated list may have expired.
                self.silences.clear()
                return
            self.listed_workers.clear()
            for worker_id, worker in fleet.workers.items():
                is_listed = worker.listed and not worker.entry.draining
                self.listed_workers[worker.entry.service] += is_listed
                if not is_listed or _answers(worker):
                    self.silences.pop(worker_id, None)
                    continue
                known = self.silences.get(worker_id)
                self.silences[worker_id] = Silence(
                    worker.entry.service,
                    known.since if known is not None else now, now)
        for worker_id, silence in list(self.silences.items()):
            if now - silence.seen_at > MAX_ABSENCE_S:
                del self.silences[worker_id]

    def unreached_ids(self, now: float) -> list[str]:
        """Return the workers that are alive and can't be reached."""
        return [worker_id for worker_id, silence in self.silences.items()
                if now - silence.since >= UNREACHED_AFTER_S]

    def silent_ids(self) -> set[str]:
        """Return the listed workers that do not answer, however briefly."""
        return set(self.silences)

    def lost_s(self, now: float) -> float:
        """Return the time lost on unreached workers, as time of a service.

        That is the sum, in seconds, over the workers of a service, divided by
        their number, for the service that has lost most.
        """
        silent_s: dict[str, float] = collections.defaultdict(float)
        for worker_id in self.unreached_ids(now):
            silence = self.silences[worker_id]
            silent_s[silence.service] += now - silence.since
        return max((seconds / max(1, self.listed_workers[service])
                    for service, seconds in silent_s.items()), default=0.0)


def _answers(worker: workerstate.WorkerState) -> bool:
    return worker.has_reported and not worker.unresponsive
