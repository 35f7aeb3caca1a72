"""Read what is stored of the fleet when its ownership is new."""

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import inbox as inbox_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import recorder as recorder_mod
from sycamorefield.fleet import records
from sycamorefield.fleet import roster as roster_mod
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import surroundings
from sycamorefield.fleet import workerstate

# Without any answer of the store the owner goes on this long: an outage of
# the store must not throw away what runs.  Its orders carry its fence, so a
# worker that a successor has reached refuses them.
WITHOUT_STORE_S = 8.0
# A line on jobs taken over stays under 4 KB.
JOBS_PER_LINE = 100


class Recovery:
    """Take over jobs, progress and workers from the store."""

    def __init__(self, store: surroundings.Store,
                 worker_list: surroundings.WorkerList,
                 fleet: state_mod.FleetState, inbox: inbox_mod.Inbox,
                 roster: roster_mod.Roster,
                 recorder: recorder_mod.Recorder) -> None:
        self.store = store
        self.worker_list = worker_list
        self.fleet = fleet
        self.inbox = inbox
        self.roster = roster
        self.recorder = recorder

    def load(self) -> int:
        """Read all; return the jobs' revision to follow on from.

        Raises CallFailed; it may then be tried again.
        """
        fleet_item = self.store.get(records.FLEET_KEY)
        waiting_item = self.store.get(records.WAITING_KEY)
        learnt_item = self.store.get(records.LEARNT_KEY)
        jobs = self.store.listing(records.JOB_PREFIX)
        stored = self.store.listing(records.PROGRESS_PREFIX)
        listed_at = clock.now()
        entries = self.worker_list.workers()
        with self.fleet.lock:
            for item in jobs.items:
                self.inbox.add_job(item)
            for item in stored.items:
                self._take_progress(item)
            for item in jobs.items:
                self.inbox.take_cancel(item.key)
            if waiting_item is not None:
                self.recorder.revisions[records.WAITING_KEY] = (
                    waiting_item.revision)
            if learnt_item is not None:
                self._take_learnt(learnt_item)
            self._expect_workers(fleet_item)
        self._log_taken_over()
        self.roster.take_entries(entries, listed_at)
        self.roster.contact_unlisted()
        events.emit(events.FLEET_RECOVERED, fence=self.fleet.fence,
                    jobs=len(self.fleet.active), workers=len(entries),
                    unheard=len(self.fleet.unheard))
        return jobs.revision

    def _log_taken_over(self) -> None:
        """Log the jobs that go on, many to a line.

        One line for each stored job, ended ones included, would push what
        was logged of the claim out of the part of the log that is kept.
        """
        with self.fleet.lock:
            job_ids = list(self.fleet.active)
        for begin in range(0, len(job_ids), JOBS_PER_LINE):
            events.emit(events.JOB_PICKED_UP, fence=self.fleet.fence,
                        jobs=job_ids[begin:begin + JOBS_PER_LINE])

    def _take_progress(self, item: messages.Item) -> None:
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
            self.fleet.drop_final(state)
        else:
            self.fleet.trials.inherit(state, clock.now())

    def _take_learnt(self, item: messages.Item) -> None:
        self.recorder.revisions[records.LEARNT_KEY] = item.revision
        try:
            self.fleet.learnt.decode(item.value)
        except ValueError as exc:
            events.emit(events.RECORD_UNREADABLE, key=item.key,
                        reason=str(exc))

    def _expect_workers(self, item: messages.Item | None) -> None:
        """Wait for each worker that earlier owners may have used.

        An earlier owner may act without the store for WITHOUT_STORE_S, and
        what it started last runs at most the longest lease after that, on a
        clock that may be slow.
        """
        if item is None:
            return
        self.recorder.revisions[records.FLEET_KEY] = item.revision
        self.recorder.addresses = records.decode_mapping(item.value)
        until = clock.now() + WITHOUT_STORE_S + workerstate.LEASE_OVER_S
        self.fleet.expect(self.recorder.addresses, until)
