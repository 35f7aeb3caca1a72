"""In-memory fleet of several processes, with faults of each path of a call.

The store expires leases, workers are reached by address, and calls may fail
in the way in which calls over a network do.
"""

import asyncio
import contextlib
import dataclasses
import threading
import time
import typing

from sycamorefield.fleet import controlwatcher
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import owner as owner_mod
from sycamorefield.fleet import ownership as ownership_mod
from sycamorefield.fleet import progress
from sycamorefield.fleet import records
from tests import fleetfakes

CONFIG_KEY = "op/c"
HOLD_MAX_MS = 1000.0
# How long a call without an answer waits.
CALL_TIMEOUT_S = 0.3
# How long after it was sent a late call is carried out.
LATE_S = 1.0

# Faults of calls.
REFUSED = "refused"
CLOSED = "connection closed"
HANGING = "no answer"
ANSWER_LOST = "answer lost"
LATE = "carried out late"
ERROR = "unexpected error"
STALLED = "watch stalled"
COMPACTED = "history compacted"

# The causes of ends that only the workers know.
LAPSED = "lapsed"


class ExpiringStore(fleetfakes.MemoryStore):
    """A store whose leases expire unless they are renewed."""

    def __init__(self) -> None:
        super().__init__()
        self.ttl_s: dict[int, float] = {}
        self.expires_at: dict[int, float] = {}

    def _check(self) -> None:
        super()._check()
        for lease, at in list(self.expires_at.items()):
            if time.monotonic() > at:
                del self.expires_at[lease]
                self.end_lease(lease)

    def grant(self, ttl_ms: int) -> int:
        with self.lock:
            lease = super().grant(ttl_ms)
            self.ttl_s[lease] = ttl_ms / 1000.0
            self.expires_at[lease] = time.monotonic() + self.ttl_s[lease]
            return lease

    def renew(self, lease: int) -> None:
        with self.lock:
            super().renew(lease)
            self.expires_at[lease] = time.monotonic() + self.ttl_s[lease]

    def _apply(self, transaction: messages.Transaction) -> int:
        for put in transaction.puts:
            if put.lease and put.lease not in self.leases:
                raise interfaces.LeaseEnded(str(put.lease))
        return super()._apply(transaction)


class StoreClient(interfaces.Store):
    """The store as one process reaches it.

    faults holds the fault of each call: of "commit", "listing", "watch",
    "get", "grant" and "renew", or of one of them on a prefix or key, as in
    "watch in/".  A commit is named after its first put or removal.
    """

    def __init__(self, store: fleetfakes.MemoryStore) -> None:
        self.store = store
        self.faults: dict[str, str] = {}

    def _call(self, name: str, key: str,
              call: typing.Callable[[], typing.Any]) -> typing.Any:
        fault = self.faults.get(f"{name} {key}", self.faults.get(name))
        if fault == REFUSED:
            raise interfaces.CallRefused("store answers 503")
        if fault == ERROR:
            raise KeyError(name)
        if fault == COMPACTED:
            raise interfaces.HistoryCompacted("test")
        if fault == LATE:
            timer = threading.Timer(LATE_S, _ignore_failures, (call,))
            timer.daemon = True
            timer.start()
        if fault == ANSWER_LOST:
            _ignore_failures(call)
        if fault in (HANGING, LATE, ANSWER_LOST):
            time.sleep(CALL_TIMEOUT_S)
            raise interfaces.CallFailed("no answer")
        return call()

    def get(self, key: str) -> messages.Item | None:
        return self._call("get", key, lambda: self.store.get(key))

    def listing(self, prefix: str) -> messages.Listing:
        return self._call("listing", prefix,
                          lambda: self.store.listing(prefix))

    def stale_page(self, prefix: str, after: str) -> messages.Page:
        return self._call("listing", prefix,
                          lambda: self.store.stale_page(prefix, after))

    def watch(self, prefix: str, after: int,
              wait_ms: int) -> messages.Changes:
        if STALLED in (self.faults.get("watch"),
                       self.faults.get("watch " + prefix)):
            time.sleep(0.05)
            return messages.Changes((), after)
        return self._call("watch", prefix, lambda: self.store.watch(
            prefix, after, wait_ms))

    def commit(self, transaction: messages.Transaction) -> int:
        keys = [put.key for put in transaction.puts] + list(
            transaction.removes)
        return self._call("commit", keys[0],
                          lambda: self.store.commit(transaction))

    def grant(self, ttl_ms: int) -> int:
        return self._call("grant", "", lambda: self.store.grant(ttl_ms))

    def renew(self, lease: int) -> None:
        return self._call("renew", "", lambda: self.store.renew(lease))


def _ignore_failures(call: typing.Callable[[], typing.Any]) -> None:
    with contextlib.suppress(interfaces.CallFailed, interfaces.Conflict,
                             interfaces.LeaseEnded,
                             interfaces.HistoryCompacted):
        call()


class LeasedWorker(fleetfakes.MemoryWorker):
    """A worker whose runs end with its lease."""

    def end_lapsed_runs(self) -> None:
        """End all runs if the lease has expired."""
        with self.lock:
            if self.clock() > self.lease_end_ms:
                for key in list(self.runs):
                    self._end(key, LAPSED)

    def _check(self, fence: int) -> None:
        super()._check(fence)
        self.end_lapsed_runs()

    async def start(self, order: messages.StartOrder, fence: int,
                    lease_end_ms: float) -> float:
        with self.lock:
            self._check(fence)
            if lease_end_ms < self.clock():
                raise interfaces.OrderRejected(interfaces.LEASE_EXPIRED)
            self.lease_end_ms = max(self.lease_end_ms, lease_end_ms)
            return await super().start(order, fence, lease_end_ms)


class WorkerClient(interfaces.Worker):
    """A client of one worker, which reaches whatever is at its address."""

    def __init__(self, fleet: "Deployment",
                 entry: messages.WorkerEntry) -> None:
        self.fleet = fleet
        self.worker_id = entry.worker_id
        self.address = entry.address

    async def _call(self, name: str, task: messages.TaskId | None,
                    call: typing.Callable[[LeasedWorker], typing.Coroutine[
                        typing.Any, typing.Any, typing.Any]]) -> typing.Any:
        fault = self.fleet.worker_fault(self.worker_id, name, task)
        if self.address in self.fleet.silent_addresses:
            fault = HANGING
        if fault == ERROR:
            raise KeyError(name)
        if fault == REFUSED:
            raise interfaces.ConnectionRefused("connection refused")
        if fault == CLOSED:
            raise interfaces.ConnectionClosed("closed before an answer")
        if fault == LATE:
            asyncio.get_running_loop().create_task(self._call_late(call))
        if fault == ANSWER_LOST:
            with contextlib.suppress(interfaces.CallFailed,
                                     interfaces.OrderRejected):
                await call(self._listener())
        if fault in (HANGING, LATE, ANSWER_LOST):
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise interfaces.CallFailed("no answer")
        return await call(self._listener())

    async def _call_late(self, call: typing.Callable[
            [LeasedWorker], typing.Coroutine[typing.Any, typing.Any,
                                             typing.Any]]) -> None:
        await asyncio.sleep(LATE_S)
        with contextlib.suppress(interfaces.CallFailed,
                                 interfaces.OrderRejected,
                                 interfaces.IncarnationMismatch):
            await call(self._listener())

    def _listener(self) -> LeasedWorker:
        listener = self.fleet.listeners.get(self.address)
        if listener is None:
            raise interfaces.ConnectionRefused("connection refused")
        if listener.worker_id != self.worker_id:
            raise interfaces.IncarnationMismatch(listener.worker_id)
        return listener

    async def renew(self, fence: int, recorded_upto: int,
                    lease_end_ms: float | None, wait_ms: int,
                    answer_s: float = interfaces.REPORT_ANSWER_S
                    ) -> messages.WorkerReport:
        return await self._call("renew", None, lambda worker: worker.renew(
            fence, recorded_upto, lease_end_ms, wait_ms))

    async def start(self, order: messages.StartOrder, fence: int,
                    lease_end_ms: float) -> float:
        return await self._call("start", order.task, lambda worker:
                                worker.start(order, fence, lease_end_ms))

    async def stop(self, order: messages.StopOrder, fence: int) -> float:
        return await self._call("stop", order.task, lambda worker:
                                worker.stop(order, fence))

    async def pace(self, order: messages.PaceOrder, fence: int) -> float:
        return await self._call("pace", order.task, lambda worker:
                                worker.pace(order, fence))


class WorkerListClient(interfaces.WorkerList):
    """The list of workers as one process reads it from the store."""

    def __init__(self, fleet: "Deployment", store: StoreClient) -> None:
        self.fleet = fleet
        self.store = store

    def workers(self) -> tuple[messages.WorkerEntry, ...]:
        return self.store._call("workers", "", lambda: tuple(
            self.fleet.entries.values()))


class Process:
    """A process that competes for the fleet."""

    def __init__(self, fleet: "Deployment", name: str,
                 claim_delay_s: float = 0.0) -> None:
        self.fleet = fleet
        # Unique among the fleets of a test run.
        self.name = f"{name}-{id(fleet)}"
        self.store = StoreClient(fleet.store)
        self.worker_list = WorkerListClient(fleet, self.store)
        self.watcher = controlwatcher.ControlWatcher(
            self.store, CONFIG_KEY, self.decode)
        self.ownership = ownership_mod.Ownership(
            self.store, self.watcher, name, self.make_owner, claim_delay_s)
        # Raised when an owner is made, if any.
        self.owner_error: Exception | None = None
        self.decode_error: Exception | None = None
        self.owners: list[owner_mod.Owner] = []

    def decode(self, value: bytes) -> messages.Configuration:
        """Decode any configuration, or fail as the test says."""
        if self.decode_error is not None:
            raise self.decode_error
        return fleetfakes.configuration()

    def make_owner(self, fence: int) -> owner_mod.Owner:
        """Return an owner, or fail as the test says."""
        if self.owner_error is not None:
            raise self.owner_error
        self.owners.append(owner_mod.Owner(
            self.store, self.worker_list,
            lambda entry: WorkerClient(self.fleet, entry),
            self.watcher.configuration, fence, HOLD_MAX_MS))
        return self.owners[-1]

    def start(self) -> None:
        """Start the threads of the process, which bear its name."""
        for target in (self.watcher.run, self.ownership.run):
            threading.Thread(target=target, name=self.name,
                             daemon=True).start()

    def owns(self) -> bool:
        """Return whether the key in the store is of this process."""
        item = self.fleet.store.items.get(records.OWNER_KEY)
        return item is not None and item.value == self.ownership.identity

    def stop(self) -> None:
        """End the threads of the process."""
        self.store.faults = {}
        self.watcher.stopped.set()
        self.ownership.stop()
        for owner in self.owners:
            owner.step_down("test over")


class Deployment:
    """Hold a store, workers by address and the processes of a fleet."""

    def __init__(self, workers: int = 3, names: str = "ab") -> None:
        self.store = ExpiringStore()
        self.store.commit(messages.Transaction(
            puts=(messages.Put(CONFIG_KEY, b"any"),)))
        self.entries: dict[str, messages.WorkerEntry] = {}
        # The first entry of each worker.
        self.all_entries: dict[str, messages.WorkerEntry] = {}
        self.moves = 0
        self.listeners: dict[str, LeasedWorker] = {}
        # Addresses from which no answer comes, not even a refusal.
        self.silent_addresses: set[str] = set()
        # Faults of calls to a worker by worker ID, and by call or, for starts,
        # by task.
        self.faults: dict[str, dict[str, str]] = {}
        for number in range(workers):
            self.add_worker(number)
        self.processes = {name: Process(self, name) for name in names}

    def add_worker(self, number: int) -> None:
        """List a new worker that listens at the address of its entry."""
        entry = dataclasses.replace(fleetfakes.entry(number), born_ms=1_000)
        self.entries[entry.worker_id] = entry
        self.all_entries[entry.worker_id] = entry
        self.listeners[entry.address] = LeasedWorker(entry.worker_id)

    def worker(self, worker_id: str) -> LeasedWorker:
        """Return the process of a worker that listens."""
        return next(w for w in self.listeners.values()
                    if w.worker_id == worker_id)

    def worker_fault(self, worker_id: str, name: str,
                     task: messages.TaskId | None) -> str | None:
        """Return the fault of a call to a worker, if any."""
        faults = self.faults.get(worker_id, {})
        return faults.get(f"{name} {task}", faults.get(name))

    def restart(self, worker_id: str, moves: bool = False) -> None:
        """Start a worker again under its ID, perhaps at a new address."""
        worker = self.worker(worker_id)
        worker.restart()
        if moves:
            self.moves += 1
            del self.listeners[self.address(worker_id)]
            self.listeners[f"10.0.1.{self.moves}:80"] = worker
        if worker_id in self.entries:
            self.list_worker(worker_id)

    def address(self, worker_id: str) -> str:
        """Return the address at which a worker listens."""
        return next(address for address, worker in self.listeners.items()
                    if worker.worker_id == worker_id)

    def list_worker(self, worker_id: str) -> None:
        """List a worker as it is now."""
        self.entries[worker_id] = dataclasses.replace(
            self.all_entries[worker_id], address=self.address(worker_id),
            born_ms=self.worker(worker_id).born_ms)

    def submit(self, job: messages.Job) -> None:
        """Store a job in the way an entry process does."""
        self.store.commit(messages.Transaction(
            (messages.Expect(records.job_key(job.job_id), 0),),
            (messages.Put(records.job_key(job.job_id),
                          progress.encode_job(job)),)))

    def running(self) -> set[str]:
        """Return the names of the tasks that run on a worker that listens."""
        names = set()
        for worker in list(self.listeners.values()):
            worker.end_lapsed_runs()
            with worker.lock:
                names |= {str(task) for task, _ in worker.runs}
        return names

    def store_workers_in_use(self) -> None:
        """Store the workers on the list as an earlier owner's."""
        self.store.commit(messages.Transaction(puts=(messages.Put(
            records.WORKERS_KEY, records.encode_addresses(
                {e.worker_id: e.address
                 for e in self.entries.values()})),)))

    def start(self) -> None:
        """Start all processes; the first one claims the fleet."""
        first, *others = self.processes.values()
        first.start()
        wait_for(first.owns)
        for process in others:
            process.start()

    def stop(self) -> None:
        """End all processes."""
        self.faults = {}
        for process in self.processes.values():
            process.stop()


def wait_for(condition: typing.Callable[[], bool],
             limit_s: float = 10.0) -> None:
    """Wait until a condition holds; fail after some seconds."""
    end = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < end, "condition did not hold in time"
        time.sleep(0.01)
