"""Load the stored state of the fleet at the start of a term."""

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import handoverrecord
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import jobwatcher as jobwatcher_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import recorder as recorder_mod
from sycamorefield.fleet import records
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import workerlinks as workerlinks_mod
from sycamorefield.fleet import workerstate

# How long an owner continues when the store does not answer: an outage of the
# store must not end running tasks.  Its orders carry its fence, so a worker
# that a successor has reached refuses them.
MAX_STORE_OUTAGE_S = 8.0
# Keeps a log line on resumed jobs under 4 KB.
JOBS_PER_LOG_LINE = 100


class Recovery:
    """Load jobs, progress and workers from the store."""

    def __init__(self, store: interfaces.Store,
                 worker_list: interfaces.WorkerList,
                 fleet: state_mod.FleetState,
                 job_watcher: jobwatcher_mod.JobWatcher,
                 worker_links: workerlinks_mod.WorkerLinks,
                 recorder: recorder_mod.Recorder) -> None:
        self.store = store
        self.worker_list = worker_list
        self.fleet = fleet
        self.job_watcher = job_watcher
        self.worker_links = worker_links
        self.recorder = recorder
        # Whether the fleet's state is known, so that leases may be granted.
        self.loaded = False

    def load(self, handover_item: messages.Item | None = None) -> int:
        """Load everything; return the revision from which to watch jobs.

        handover_item is the record of the last owner's planned stop.

        Nothing is read of jobs that have ended: leases of runs are renewed
        only after this, and there may be any number of such jobs.

        Raises CallFailed, after which the call may be repeated.
        """
        workers_item = self.store.get(records.WORKERS_KEY)
        silent_item = self.store.get(records.SILENT_WORKERS_KEY)
        terms_item = self.store.get(records.TERMS_KEY)
        waiting_item = self.store.get(records.WAITING_JOBS_KEY)
        weights_item = self.store.get(records.WEIGHTS_KEY)
        learned_item = (self.store.get(records.LEARNED_STATE_KEY)
                        if self.fleet.learned.enabled else None)
        backlog_item = (self.store.get(records.BACKLOG_KEY)
                        if self.fleet.policy.reject_hopeless_jobs else None)
        jobs = self.store.listing(records.JOB_PREFIX)
        progress_items = self.store.listing(records.PROGRESS_PREFIX)
        listed_at = clock.now()
        entries = self.worker_list.workers()
        with self.fleet.lock:
            self.fleet.terms.load(terms_item)
            if terms_item is not None:
                self.recorder.revisions[records.TERMS_KEY] = (
                    terms_item.revision)
            for item in jobs.items:
                self.job_watcher.add_job(item)
            for item in progress_items.items:
                self._load_progress(item)
            for item in jobs.items:
                self.job_watcher.apply_cancellation(item.key)
            if waiting_item is not None:
                self.recorder.revisions[records.WAITING_JOBS_KEY] = (
                    waiting_item.revision)
            if weights_item is not None:
                self._load_weights(weights_item)
            self.fleet.learned.load(learned_item, clock.wall_ms())
            if backlog_item is not None:
                self.recorder.revisions[records.BACKLOG_KEY] = (
                    backlog_item.revision)
            if silent_item is not None:
                self.recorder.revisions[records.SILENT_WORKERS_KEY] = (
                    silent_item.revision)
            self.fleet.silent_workers.load(silent_item)
            handoverrecord.load(self.fleet, handover_item)
            self._expect_workers(workers_item, entries)
            self.loaded = True
        self._log_resumed_jobs()
        self.worker_links.update_workers(entries, listed_at)
        self.worker_links.connect_unlisted()
        events.emit(events.FLEET_RECOVERED, fence=self.fleet.fence,
                    jobs=len(self.fleet.active), workers=len(entries),
                    unheard=len(self.fleet.awaited_workers))
        return jobs.revision

    def _log_resumed_jobs(self) -> None:
        """Log the resumed jobs, many to a line.

        One line for each stored job, including ended ones, would push the
        lines on the claim out of the part of the log that is kept.
        """
        with self.fleet.lock:
            job_ids = list(self.fleet.active)
        for begin in range(0, len(job_ids), JOBS_PER_LOG_LINE):
            events.emit(events.JOB_PICKED_UP, fence=self.fleet.fence,
                        jobs=job_ids[begin:begin + JOBS_PER_LOG_LINE])

    def _load_progress(self, item: messages.Item) -> None:
        job_id = item.key[len(records.PROGRESS_PREFIX):]
        state = self.fleet.jobs.get(job_id)
        if state is None:
            return
        state.state_revision = item.revision
        try:
            progress.apply_progress(state, item.value)
        except ValueError as exc:
            events.emit(events.RECORD_UNREADABLE, key=item.key,
                        reason=str(exc))
        if state.final():
            # It was not stored by this program, which removes the progress.
            state.dirty = True
            self.fleet.deactivate_job(state)
        else:
            state.resume_downtime(clock.now())
            self.fleet.trials.restore(state, clock.now())
            if state.quarantine_workers:
                # The last crash may be stored without the end of the job.
                self.fleet.update_job_state(state)

    def _load_weights(self, item: messages.Item) -> None:
        self.recorder.revisions[records.WEIGHTS_KEY] = item.revision
        try:
            self.fleet.interference_model.decode(item.value)
        except (ValueError, OverflowError, RecursionError) as exc:
            events.emit(events.RECORD_UNREADABLE, key=item.key,
                        reason=repr(exc)[:200])

    def _expect_workers(self, item: messages.Item | None,
                        entries: tuple[messages.WorkerEntry, ...]) -> None:
        """Wait for a report of each worker that earlier owners may have used.

        If their list is unreadable, they are taken to be the listed workers.

        An earlier owner may act without the store for MAX_STORE_OUTAGE_S.
        The last run that it started ends at most the longest lease later, on
        a clock that may be slow.
        """
        if item is None:
            # No worker gets a start before it is on a stored list.
            for state in self.fleet.jobs.values():
                state.taken_over = False
            return
        self.recorder.revisions[records.WORKERS_KEY] = item.revision
        try:
            addresses = records.decode_addresses(item.value)
        except ValueError as exc:
            events.emit(events.RECORD_UNREADABLE, key=item.key,
                        reason=str(exc)[:200], default="listed workers")
            addresses = {entry.worker_id: entry.address for entry in entries}
            self.recorder.rewrite_workers = True
        self.recorder.stored_addresses = addresses
        until = clock.now() + MAX_STORE_OUTAGE_S + workerstate.LEASE_EXPIRY_S
        self.fleet.await_workers(addresses, until)
