"""Schedule the jobs of one cell on its workers.

The fleet is divided into cells, each a set of workers and of jobs.  Exactly
one entry process owns a cell at a time, and only the owner places the cell's
jobs on the cell's workers.  A placement therefore needs no consensus between
entry processes, only a committed record (jobtable.py) and a fencing token
that the workers check.
"""

import dataclasses
import math
import threading
import time
import typing

from sycamorefield import events
from sycamorefield import eviction
from sycamorefield import jobtable
from sycamorefield import options
from sycamorefield import placement
from sycamorefield import strategy
from sycamorefield import tasklist
from sycamorefield import workerlink

# A job ends as failed after failing on this many different workers, or after
# this many failures in total.  A cell with fewer workers that can run the job
# ends it after MAX_FAILED_WORKERS failures if it failed on each of them, and
# there are at least two: a single worker cannot show whose fault it is.
MAX_FAILED_WORKERS = 3
MAX_FAILURES = 6
# A task that started less than SUSPECT_AGE_S before its worker crashed is
# suspected of causing the crash.  Its next start is a quarantine run: the
# worker has no task placed less than QUARANTINE_S ago, and no other task
# starts there for QUARANTINE_S.  The job fails after MAX_QUARANTINE_CRASHES
# crashes in quarantine runs.
SUSPECT_AGE_S = 5.0
QUARANTINE_S = 1.0
MAX_QUARANTINE_CRASHES = 2
LOAD_RETRY_S = 0.2
FLUSH_TIMEOUT_S = 2.0
# An urgent job must start within URGENT_START_BOUND_S.  It may wait for
# capacity being freed for that time less the commit of its placement and less
# EVICTION_S, which covers the calls that stop another task and start this one.
URGENT_START_BOUND_S = 1.1
EVICTION_S = 0.3
URGENT_POLL_S = 0.05
# If an urgent job was queued within the last RECENT_URGENT_S, other jobs leave
# the last URGENT_RESERVE_SHARE of the CPUs free for HOLD_BACK_S after arrival.
# Bursts mix urgent and other jobs: without this reserve, an urgent job at the
# end of a burst would evict jobs that have just started.
URGENT_RESERVE_SHARE = 0.25
HOLD_BACK_S = 1.0
RECENT_URGENT_S = 600.0


@dataclasses.dataclass
class Counters:
    """Counts of task events since the entry process started."""

    started: int = 0
    finished: int = 0
    evictions: int = 0
    lost_workers: int = 0


@dataclasses.dataclass(frozen=True)
class EndEvent:
    """The event of an ended task, to be logged once the version is stored."""

    version: int
    event: events.Event
    fields: dict[str, object]


def _queued_s(record: jobtable.JobRecord) -> float:
    """Return how many seconds ago a job was accepted or moved here."""
    return time.time() - max(record.accepted_at, record.arrived_at)


WorkerView = typing.TypeVar(
    "WorkerView", placement.Candidate, eviction.WorkerLoad)


def _untried_workers(record: jobtable.JobRecord, workers: list[WorkerView]
                     ) -> list[WorkerView]:
    """Return the workers on which a job has not failed."""
    return [w for w in workers if w.name not in record.failed_on]


def _preferred_workers(record: jobtable.JobRecord, workers: list[WorkerView]
                       ) -> list[WorkerView]:
    """Return the workers on which a job has not failed, or all if none."""
    return _untried_workers(record, workers) or workers


class Cell:
    """A cell owned by this process: its job table, workers and placements."""

    def __init__(self, opts: options.Options, number: int, fence: int,
                 table: jobtable.JobTable, chosen_strategy: strategy.Strategy,
                 owner: str, lease_held: typing.Callable[[], bool],
                 counters: Counters) -> None:
        self.opts = opts
        self.number = number
        self.fence = fence
        self.table = table
        self.strategy = chosen_strategy
        self.owner = owner
        self.lease_held = lease_held
        self.counters = counters
        self.links = {
            m.name: workerlink.WorkerLink(
                opts, m, owner, fence, self, lease_held)
            for m in opts.cell_machines(number)}
        self.wake = threading.Event()
        self.stopped = threading.Event()
        self.loaded = False
        self.loaded_at = 0.0
        self.unlinked_jobs: list[str] = []
        self.evicting: set[str] = set()
        # Wall-clock time until which no other task is placed on a worker.
        self.quarantined_until: dict[str, float] = {}
        self.uncommitted_workers: set[str] = set()
        self.uncommitted_ends: list[EndEvent] = []
        self.freeing_tasks = 0
        self.urgent_queued = False
        self.urgent_seen_at = -math.inf
        self.max_freeing_wait_s = (URGENT_START_BOUND_S - EVICTION_S
                                   - table.commit_interval_s)
        self.has_unplaced = False
        table.on_commit = self._handle_commit
        # Held from reading a record until staging its change, so that a
        # placement cannot overwrite a cancellation staged in between.
        self.lock = threading.RLock()
        self.fleet_usage: typing.Callable[[], dict[str, float]] = dict
        self.move_target: typing.Callable[[int, options.Capacity], int] = (
            lambda leaving, demand: jobtable.NO_CELL)

    def run(self) -> None:
        """Load the job table, then place jobs until the cell is stopped."""
        while not self.table.load():
            if self.stopped.wait(LOAD_RETRY_S):
                return
        with self.table.changed:
            records = list(self.table.records.values())
        for record in records:
            link = self.links.get(record.worker)
            if record.state != jobtable.PLACED:
                continue
            if link is None:
                self.unlinked_jobs.append(record.job_id)
            else:
                link.reserve(record.task_id, self._demand(record))
                self._quarantine_worker(record)
        self.loaded_at = time.monotonic()
        self.loaded = True
        events.emit(events.CELL_TAKEN, cell=self.number, fence=self.fence,
                    jobs=len(records))
        threading.Thread(target=self.table.run, daemon=True,
                         name=f"commit-{self.number}").start()
        for name, link in self.links.items():
            threading.Thread(target=link.run, daemon=True,
                             name=f"worker-{name}").start()
        while not self.stopped.is_set():
            self.place_once()
            self.wake.wait(URGENT_POLL_S if self.urgent_queued
                           else self.opts.timings.report / 2)
            self.wake.clear()

    def stop(self, flush: bool = True) -> None:
        """Stop scheduling; if flush is set, commit staged changes first."""
        self.stopped.set()
        self.wake.set()
        for link in self.links.values():
            link.stop()
        self.table.stop(FLUSH_TIMEOUT_S if flush and self.table.healthy
                        else 0.0)

    def _demand(self, record: jobtable.JobRecord) -> options.Capacity:
        work = self.opts.work.get(record.work)
        return work.demand if work else options.ZERO_CAPACITY

    def place_once(self) -> int:
        """Place the queued jobs that fit now and return their number.

        This sends no calls: the commit that makes the placements durable
        wakes the worker links, which send the starts.
        """
        if not self.lease_held() or not self.table.healthy:
            # A process resumed after a pause may no longer own the cell.
            return 0
        with self.lock:
            return self._place_queued()

    def _requeue_unlinked_jobs(self) -> None:
        """Requeue jobs placed on workers that are not in the settings.

        No link reports on such a worker, so wait until every task lease on
        it must have expired.
        """
        if self.unlinked_jobs and (time.monotonic() - self.loaded_at
                                   > self.opts.timings.orphan_timeout_s):
            for job_id in self.unlinked_jobs:
                record = self.table.get(job_id)
                if record is not None and record.state == jobtable.PLACED:
                    self._requeue(record, record.progress)
            self.unlinked_jobs = []

    def _place_queued(self) -> int:
        self._requeue_unlinked_jobs()
        queued = self.table.in_state(jobtable.QUEUED)
        queued.sort(key=lambda r: (eviction.PRIORITY_ORDER.get(r.priority, 1),
                                   r.accepted_at))
        self.urgent_queued = any(r.priority == eviction.URGENT
                                 for r in queued)
        if self.urgent_queued:
            self.urgent_seen_at = time.monotonic()
            self.freeing_tasks = self._count_freeing_tasks()
        candidates = self._candidates() if queued else []
        usage = (self.fleet_usage() if queued and self.opts.quotas
                 else {})
        placed = 0
        has_unplaced = False
        for record in queued:
            if self._finish_unplaceable(record):
                continue
            customer_cpus = (usage.get(record.customer, 0.0)
                             + self._demand(record).cpus)
            if customer_cpus > self.opts.quotas.get(record.customer, math.inf):
                continue
            if self._held_back(record, candidates):
                continue
            chosen = self._choose_worker(record, candidates)
            if chosen is None:
                has_unplaced = True
                self._handle_unplaced(record)
                continue
            usage[record.customer] = customer_cpus
            self._stage_placement(record, chosen)
            placed += 1
        self.has_unplaced = has_unplaced
        return placed

    def _held_back(self, record: jobtable.JobRecord,
                   candidates: list[placement.Candidate]) -> bool:
        """Return whether a new job must leave the reserve to urgent jobs."""
        if (not self.strategy.eviction.waits_for_freeing
                or record.priority == eviction.URGENT
                or time.monotonic() - self.urgent_seen_at > RECENT_URGENT_S
                or _queued_s(record) >= HOLD_BACK_S):
            return False
        not_quiet = [c for c in candidates if not c.quiet]
        total_cpus = sum(c.capacity.cpus for c in not_quiet)
        committed_cpus = sum(c.committed.cpus for c in not_quiet)
        return total_cpus - committed_cpus < URGENT_RESERVE_SHARE * total_cpus

    def _finish_unplaceable(self, record: jobtable.JobRecord) -> bool:
        """End a job that is cancelled or of unknown work; return if it was."""
        if record.cancelled:
            self._finish(record, jobtable.CANCELLED)
            return True
        if record.work not in self.opts.work:
            record.reason = f"no work named {record.work!r} any more"
            self._finish(record, jobtable.FAILED)
            return True
        return False

    def _candidates(self, excluded: bool = False
                    ) -> list[placement.Candidate]:
        """Return the usable workers, or those excluded after failures."""
        now = time.monotonic()
        candidates = []
        for link in self.links.values():
            quarantined = (self.quarantined_until.get(link.machine.name, 0.0)
                           > time.time())
            if (link.responsive() and link.usable(now) != excluded
                    and not quarantined):
                candidates.append(placement.Candidate(
                    link.machine.name, link.machine.zone,
                    link.capacity, link.used(),
                    link.machine.slots - len(link.reservations),
                    link.interference,
                    quiet=link.machine.name in self.opts.quiet_machines))
        return candidates

    def _choose_worker(self, record: jobtable.JobRecord,
                       candidates: list[placement.Candidate]
                       ) -> placement.Candidate | None:
        work = self.opts.work[record.work]
        preferred = (self._candidates_after_failure(record, candidates)
                     if record.failed_on else candidates)
        if record.crashed_on:
            preferred = [c for c in preferred
                         if not self._newest_task_age_s(c.name) < QUARANTINE_S]
        chosen = self.strategy.placement.choose(work, preferred)
        if chosen is not None:
            chosen.reserve(work.demand)
        if chosen in candidates and record.crashed_on:
            candidates.remove(chosen)
        return chosen

    def _candidates_after_failure(self, record: jobtable.JobRecord,
                                  candidates: list[placement.Candidate]
                                  ) -> list[placement.Candidate]:
        """Return the candidates for a job that has failed.

        Its failure elsewhere makes the job suspect, so it may run on a worker
        that is excluded for failures of other jobs.  Otherwise its end would
        depend on how long earlier failures exclude workers.  A worker that
        cannot run the job must not keep it from those that can.
        """
        capable = self._capable_workers(record)
        usable = [c for c in candidates if c.name in capable]
        excluded = [c for c in self._candidates(True) if c.name in capable]
        return (_untried_workers(record, usable)
                or _untried_workers(record, excluded) or usable)

    def _newest_task_age_s(self, worker: str) -> float:
        """Return how many seconds ago a worker got its newest task."""
        placed = [r.placed_at for r in self.table.placed_on(worker)]
        return time.time() - max(placed, default=0.0)

    def _quarantine_worker(self, record: jobtable.JobRecord) -> None:
        """Start no other task on the worker during a quarantine run."""
        if record.apart:
            self.quarantined_until[record.worker] = (record.placed_at
                                                     + QUARANTINE_S)

    def _waits_for_quarantine(self, record: jobtable.JobRecord) -> bool:
        """Return whether a placed job must wait for a quarantine run to end.

        After a crash, the jobs already placed on a worker start there again.
        """
        until = self.quarantined_until.get(record.worker, 0.0)
        return not record.apart and until > time.time()

    @staticmethod
    def _ran_in_quarantine(record: jobtable.JobRecord,
                           crashed_at: float) -> bool:
        return record.apart and crashed_at - record.placed_at < QUARANTINE_S

    def _stage_placement(self, record: jobtable.JobRecord,
                         chosen: placement.Candidate) -> None:
        record.attempts += 1
        record.state = jobtable.PLACED
        record.worker = chosen.name
        record.task_id = f"{record.job_id}.{record.attempts}"
        record.placed_at = time.time()
        record.apart = bool(record.crashed_on)
        self._quarantine_worker(record)
        self.links[chosen.name].reserve(record.task_id,
                                        self._demand(record))
        self.uncommitted_workers.add(chosen.name)
        self.table.stage(record)

    def _handle_unplaced(self, record: jobtable.JobRecord) -> None:
        """Evict tasks for an urgent job, or move a job to another cell."""
        if record.priority == eviction.URGENT and self._evict_for(record):
            return
        if _queued_s(record) < self.opts.timings.move_after:
            return
        target = self.move_target(self.number, self._demand(record))
        if target != jobtable.NO_CELL:
            record.state = jobtable.MOVING
            record.moved_to = target
            self.table.stage(record)

    def _worker_loads(self) -> list[eviction.WorkerLoad]:
        """Return the usable workers with their jobs and remaining times."""
        now = time.monotonic()
        loads = []
        for name, link in self.links.items():
            if not link.usable(now):
                continue
            running = [eviction.RunningJob(r, self._demand(r),
                                           link.task_list.remaining_s(r))
                       for r in self.table.placed_on(name)
                       if r.task_id not in self.evicting]
            loads.append(eviction.WorkerLoad(
                name, link.capacity, link.used(),
                link.machine.slots - len(link.reservations), running))
        return loads

    def _count_freeing_tasks(self) -> int:
        """Count the tasks that are being evicted or about to finish."""
        if not self.strategy.eviction.waits_for_freeing:
            return 0
        finishing = 0
        for worker in self._worker_loads():
            finishing += sum(1 for r in worker.running
                             if r.remaining_s < self.max_freeing_wait_s)
        return len(self.evicting) + finishing

    def _evict_for(self, record: jobtable.JobRecord) -> bool:
        """Evict tasks for an urgent job unless capacity is being freed.

        Return whether capacity is being freed for the job.
        """
        if (self.freeing_tasks > 0
                and (time.time() - record.accepted_at
                     < self.max_freeing_wait_s)):
            self.freeing_tasks -= 1
            return True
        # Evict only on workers that the job may use.  Capacity freed on a
        # worker that it avoids would go to the job just evicted, which would
        # be evicted again, many times a second.
        work = self.opts.work[record.work]
        loads = [w for w in self._worker_loads()
                 if not self.strategy.placement.avoids(
                     work, w.name in self.opts.quiet_machines)]
        victims = self.strategy.eviction.choose(
            work.demand, _preferred_workers(record, loads))
        for victim in victims:
            self.evicting.add(victim.job.task_id)
            self.links[victim.job.worker].stop_task(victim.job.task_id)
        return bool(victims)

    def placements(self, worker: str) -> dict[str, workerlink.PlacedTask]:
        """Return the placed tasks of a worker by task id."""
        return {record.task_id: workerlink.PlacedTask(
            record.job_id, record.task_id, self.opts.work[record.work],
            record.progress,
            may_start=(self.table.durable(record.job_id)
                       and not self._waits_for_quarantine(record)),
            unwanted=(record.cancelled or record.task_id in self.evicting))
            for record in self.table.placed_on(worker)
            if record.work in self.opts.work}

    def note_started(self, placed: workerlink.PlacedTask) -> None:
        """Count a task that its worker has started."""
        self.counters.started += 1

    def _handle_commit(self) -> None:
        """Log stored ends; wake the links of workers with new placements."""
        with self.lock:
            workers = self.uncommitted_workers
            # This commit does not contain placements staged while it was in
            # progress; their workers are woken again by the next commit.
            self.uncommitted_workers = {
                name for name in workers if not all(
                    self.table.durable(r.job_id)
                    for r in self.table.placed_on(name))}
            ends = self.uncommitted_ends
            version = self.table.committed_version
            self.uncommitted_ends = [e for e in ends if e.version > version]
        for end in ends:
            if end.version <= version:
                events.emit(end.event, **end.fields)
        for name in workers:
            self.links[name].wake.set()

    def record_ended(self, link: workerlink.WorkerLink,
                     ended: list[tasklist.EndedTask]) -> list[str]:
        """Stage the outcomes of ended tasks; return ids of durable ones."""
        with self.lock:
            for task in ended:
                record = self.table.get(task.job_id)
                if (record is not None and record.task_id == task.task_id
                        and record.state == jobtable.PLACED):
                    self._record_end(link, record, task)
                    self.wake.set()
        # Waiting for the commit here would delay starts.  The worker lists an
        # ended task until a later report acknowledges it.
        return [task.task_id for task in ended
                if self.table.durable(task.job_id)]

    def _record_end(self, link: workerlink.WorkerLink,
                    record: jobtable.JobRecord,
                    task: tasklist.EndedTask) -> None:
        self.evicting.discard(task.task_id)
        event = events.TASK_FINISHED
        if task.state == "done":
            record.progress = 1.0
            self.counters.finished += 1
            link.note_success()
            self._finish(record, jobtable.DONE)
        elif task.state == workerlink.FAILED:
            event = events.TASK_FAILED
            link.note_failure()
            self._after_failure(record, link.machine.name)
        elif record.cancelled:
            event = events.TASK_STOPPED
            self._finish(record, jobtable.CANCELLED)
        else:
            event = events.TASK_EVICTED
            self.counters.evictions += 1
            record.evictions += 1
            self._requeue(record, task.progress)
        # An end that is logged but not stored can be lost with this process
        # and the worker; the job then runs again, and checks.py would take
        # that for a second run.
        self.uncommitted_ends.append(EndEvent(
            self.table.version_of(record.job_id), event,
            {"job": record.job_id, "worker": link.machine.name,
             "task": task.task_id, "state": task.state,
             "progress": round(task.progress, 3)}))

    def _after_failure(self, record: jobtable.JobRecord,
                       worker: str) -> None:
        # Only failures on several different workers distinguish a job that
        # fails everywhere from a sound job placed on workers that fail every
        # task.
        record.failed_on.append(worker)
        if self._has_failed_enough(record):
            record.reason = ("failed on workers "
                             + ", ".join(sorted(set(record.failed_on))))
            self._finish(record, jobtable.FAILED)
        else:
            self._requeue(record, record.progress)

    def _has_failed_enough(self, record: jobtable.JobRecord) -> bool:
        """Return whether the failures of a job show that it fails anywhere."""
        failures = len(record.failed_on)
        failed_workers = set(record.failed_on)
        if (len(failed_workers) >= MAX_FAILED_WORKERS
                or failures >= MAX_FAILURES):
            return True
        return (failures >= MAX_FAILED_WORKERS and len(failed_workers) > 1
                and self._capable_workers(record) <= failed_workers)

    def _capable_workers(self, record: jobtable.JobRecord) -> set[str]:
        """Return the workers that can run a job, reachable or not."""
        work = self.opts.work[record.work]
        quiet_machines = self.opts.quiet_machines
        return {name for name, link in self.links.items()
                if link.capacity.fits(options.ZERO_CAPACITY, work.demand)
                and not self.strategy.placement.avoids(
                    work, name in quiet_machines)}

    def _finish(self, record: jobtable.JobRecord, state: str) -> int:
        record.state = state
        record.finished_at = time.time()
        return self.table.stage(record)

    def _requeue(self, record: jobtable.JobRecord, progress: float) -> int:
        record.state = jobtable.QUEUED
        record.progress = progress
        record.worker = ""
        return self.table.stage(record)

    def note_not_started(self, link: workerlink.WorkerLink,
                         placed: workerlink.PlacedTask, reason: str) -> None:
        """Requeue a job whose start was refused, or end it if cancelled."""
        events.emit(events.TASK_REFUSED, job=placed.job_id,
                    worker=link.machine.name, reason=reason)
        if reason == "stale-fence":
            return
        with self.lock:
            record = self.table.get(placed.job_id)
            if (record is not None and record.task_id == placed.task_id
                    and record.state == jobtable.PLACED):
                self.evicting.discard(record.task_id)
                if record.cancelled:
                    self._finish(record, jobtable.CANCELLED)
                else:
                    self._requeue(record, record.progress)
        self.wake.set()

    def has_unplaced_jobs(self) -> bool:
        """Return whether the last placement round left a job unplaced."""
        return self.has_unplaced

    def worker_lost(self, link: workerlink.WorkerLink) -> None:
        """Requeue the jobs of a worker whose task leases have all expired."""
        self.counters.lost_workers += 1
        with self.lock:
            for record in self.table.placed_on(link.machine.name):
                link.release(record.task_id)
                self.evicting.discard(record.task_id)
                record.evictions += 1
                self.counters.evictions += 1
                self._requeue(record, record.progress)
        self.wake.set()

    def worker_crashed(self, link: workerlink.WorkerLink,
                       task_ids: list[str], crashed_at: float) -> None:
        """Suspect the newest tasks of a worker that crashed and restarted.

        If one of them was in a quarantine run, only that one is suspected.
        Other placed jobs start again on the same worker.
        """
        with self.lock:
            lost = [r for r in self.table.placed_on(link.machine.name)
                    if r.task_id in task_ids]
            quarantined = [
                r for r in lost if self._ran_in_quarantine(r, crashed_at)]
            recent = [r for r in lost if crashed_at -
                      r.placed_at < SUSPECT_AGE_S]
            suspects = quarantined or recent
            for record in self.table.placed_on(link.machine.name):
                if record not in suspects:
                    record.placed_at = time.time()
                    self.table.stage(record)
            for record in suspects:
                link.release(record.task_id)
                self.evicting.discard(record.task_id)
                self._suspect(record, link.machine.name, bool(quarantined))
        self.wake.set()

    def _suspect(self, record: jobtable.JobRecord, worker: str,
                 in_quarantine: bool) -> None:
        record.crashed_on.append(worker)
        record.crashes_apart += in_quarantine
        events.emit(events.TASK_SUSPECTED, job=record.job_id, worker=worker,
                    task=record.task_id, apart=in_quarantine,
                    crashes=len(record.crashed_on))
        if record.cancelled:
            self._finish(record, jobtable.CANCELLED)
        elif record.crashes_apart >= MAX_QUARANTINE_CRASHES:
            record.reason = ("crashed the workers that started it: "
                             + ", ".join(record.crashed_on))
            self._finish(record, jobtable.FAILED)
        else:
            self._requeue(record, record.progress)

    def cancel(self, job_id: str) -> int:
        """Cancel a job unless it has ended or is moving to another cell.

        Return the table version to wait for.
        """
        with self.lock:
            record = self.table.get(job_id)
            if (record is None or record.state in jobtable.FINISHED
                    or record.state == jobtable.MOVING):
                return self.table.version_of(job_id)
            record.cancelled = True
            if record.state == jobtable.QUEUED:
                return self._finish(record, jobtable.CANCELLED)
            # The worker link reads the record on its next pass and stops the
            # task or does not start it.
            version = self.table.stage(record)
            link = self.links.get(record.worker)
            if link is not None:
                link.wake.set()
            return version

    def free_capacity(self) -> options.Capacity:
        """Return the free capacity of the worker with most free CPUs.

        ZERO if no worker has any.  Quiet workers do not count: they accept
        no noisy work, so a noisy job that moved here for their capacity
        could never be placed.
        """
        best = options.ZERO_CAPACITY
        for candidate in self._candidates():
            if candidate.quiet:
                continue
            free = candidate.capacity.minus(candidate.committed)
            if candidate.slots_free > 0 and free.cpus > best.cpus:
                best = free
        return best

    def usage(self) -> dict[str, float]:
        """Return the CPUs placed per customer in this cell."""
        cpus_placed: dict[str, float] = {}
        for customer_work, count in self.table.running_counts().items():
            work = self.opts.work.get(customer_work.work)
            if work is not None:
                cpus_placed[customer_work.customer] = (
                    cpus_placed.get(customer_work.customer, 0.0)
                    + count * work.demand.cpus)
        return cpus_placed
