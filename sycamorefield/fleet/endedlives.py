"""Remember the last lives of workers that were removed from the fleet."""

import typing

from sycamorefield.fleet import messages
from sycamorefield.fleet import workerstate

# A worker's entry expires after three missed heartbeats, about 1.1 s apart,
# plus a lag of 0.8 s.  Until then the worker list may still contain a worker
# that is known to have ended.
ENTRY_TTL_S = 5.0
# Stands for the birth of a life that may not have ended.
NOT_ENDED = -1
# How long the last life of a worker is remembered: an order to it that had no
# answer may be carried out twelve seconds later.
ENDED_LIFE_TTL_S = 15.0


class EndedLife(typing.NamedTuple):
    """A life of a worker that was removed, and when.

    uncertain_runs are runs whose start had no answer.
    """

    born_ms: int
    at: float
    uncertain_runs: tuple[workerstate.RunId, ...]


class EndedLives:
    """Hold the last life of each removed worker, by worker ID.

    Such a worker may still be listed, or start again under its ID.
    """

    def __init__(self) -> None:
        self.by_worker: dict[str, EndedLife] = {}

    def add_ended(self, worker_id: str,
                  worker: workerstate.WorkerState | None, now: float) -> None:
        """Remember a life that has certainly ended; it may be unknown."""
        self.by_worker[worker_id] = EndedLife(
            worker.last_known_born_ms() if worker is not None else 0, now,
            worker.uncertain_runs() if worker is not None else ())

    def add_removed(self, worker: workerstate.WorkerState,
                    now: float) -> None:
        """Remember a life that may go on, unless one is known to be over."""
        self.by_worker.setdefault(worker.entry.worker_id, EndedLife(
            NOT_ENDED, now, worker.uncertain_runs()))

    def includes(self, entry: messages.WorkerEntry) -> bool:
        """Return whether an entry is left over from a life that has ended."""
        ended = self.by_worker.get(entry.worker_id)
        return ended is not None and entry.born_ms == ended.born_ms

    def take_uncertain_runs(self, worker_id: str
                            ) -> tuple[workerstate.RunId, ...]:
        """Return, once, the runs that an ended life may have started."""
        ended = self.by_worker.pop(worker_id, None)
        return ended.uncertain_runs if ended is not None else ()

    def forget_old(self, now: float) -> None:
        """Forget lives whose entries and orders have expired."""
        for worker_id, ended in list(self.by_worker.items()):
            if now - ended.at > ENDED_LIFE_TTL_S:
                del self.by_worker[worker_id]
            elif now - ended.at > ENTRY_TTL_S:
                self.by_worker[worker_id] = ended._replace(
                    born_ms=NOT_ENDED)
