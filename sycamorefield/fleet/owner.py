"""Run the fleet while this process owns it."""

import dataclasses
import threading
import typing

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import link as link_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.fleet import progress
from sycamorefield.fleet import recorder as recorder_mod
from sycamorefield.fleet import records
from sycamorefield.fleet import rounds
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import surroundings
from sycamorefield.fleet import usage as usage_mod
from sycamorefield.fleet import workerstate

# Without any answer of the store the owner goes on this long: an outage of
# the store must not throw away what runs.  Its orders carry its fence, so a
# worker that a successor has reached refuses them.
WITHOUT_STORE_S = 8.0
# How often the use of the fleet is logged.
USAGE_PERIOD_S = 2.0
# The owner's lease in the store.  An owner that dies is noticed when it
# ends; three renewals fit in, so one lost or slow renewal does not end it.
OWN_LEASE_S = 2.0
# A leaving worker gets no new work within 2 s of its notice.
ROSTER_PERIOD_S = 0.8
INBOX_WATCH_MS = 2000
TICK_S = 0.1
# Rounds of placing are at least this far apart, so that tasks that become
# ready together share one.
ROUND_PAUSE_S = 0.005
# A round that took long is followed by a pause of this many times as long.
# On a weak VM, or with many who wait, rounds back to back leave no processor
# time for reports and leases: runs lapse and their users notice, and the
# owner's processor is seen to be all in use.
PAUSE_FOR_ROUND = 1.0
# A round that was held up itself, say by a slowed VM, must not delay the next
# start as long again: urgent work is to start within 1.1 s.
MOST_PAUSE_S = 0.25
RETRY_PAUSE_S = 0.1
# A line on jobs taken over stays under 4 KB.
JOBS_PER_LINE = 100

WorkerFactory = typing.Callable[[messages.WorkerEntry], surroundings.Worker]


class Owner:
    """Hold the tasks of an owner: inbox, roster, placing, recording."""

    def __init__(self, store: surroundings.Store,
                 roster: surroundings.WorkerList, connect: WorkerFactory,
                 configuration: typing.Callable[[], messages.Configuration],
                 fence: int, hold_max_ms: float,
                 advice: surroundings.AdviceService | None = None,
                 policy: policy_mod.Policy = policy_mod.Policy()) -> None:
        self.store = store
        self.roster = roster
        self.connect = connect
        self.fence = fence
        self.fleet = state_mod.FleetState(fence, hold_max_ms, self._order,
                                          configuration, policy)
        self.fleet.advice.service = advice
        self.links: dict[str, link_mod.WorkerLink] = {}
        self.over = threading.Event()
        self.recovered = False
        self.began = clock.now()
        self.lease_renewed(self.began)
        # As of the last line on it; counting anew for each caller of the
        # metrics would take the lock from placing.
        self.usage: usage_mod.Usage | None = None
        self.round_times = usage_mod.RoundTimes()
        self.recorder = recorder_mod.Recorder(
            store, self.fleet, records.OWNER_KEY, self.may_act,
            self.step_down, self._seen)

    def may_act(self) -> bool:
        """Tell whether orders may still be given."""
        if self.over.is_set():
            return False
        if clock.now() - self.renewed > WITHOUT_STORE_S:
            self.step_down("no answer of the store")
            return False
        return True

    def may_lease(self) -> bool:
        """Tell whether what runs may be given more time.

        Beyond its own lease an owner cannot know whether it has a successor.
        The successor fences every worker that it reaches; as long as most
        workers obey this owner, there is none that reached most.
        """
        now = clock.now()
        self.fleet.without_store = now - self.renewed > OWN_LEASE_S
        return (not self.fleet.without_store
                or self.fleet.obeyed_by_most(now))

    def lease_renewed(self, sent: float) -> None:
        """Note that a call sent at a moment has renewed the owner's lease.

        The store counts the lease from when the call came, so it holds at
        least from the moment at which it was sent.
        """
        self.renewed = sent
        lapsed = self.fleet.leased_until < clock.now()
        self.fleet.leased_until = sent + OWN_LEASE_S
        if lapsed:
            # Jobs seen meanwhile were held back.
            with self.fleet.lock:
                self.fleet.notify()

    def step_down(self, reason: str) -> None:
        """Give no orders from now on."""
        if self.over.is_set():
            return
        self.over.set()
        events.emit(events.OWNERSHIP_LOST, fence=self.fence, reason=reason)
        self.recorder.stopped.set()
        for link in list(self.links.values()):
            link.close()
        with self.fleet.lock:
            self.fleet.wake.notify_all()

    def run(self) -> None:
        """Recover, then decide until stepping down."""
        revision = self._recover()
        if revision is None:
            return
        self.recovered = True
        for target in (self._inbox_from(revision), self._follow_roster,
                       self.recorder.run, self._ask_advice):
            threading.Thread(target=self._guarded, args=(target,),
                             daemon=True).start()
        self._guarded(self._rounds)
        self.fleet.run_log.flush()

    def gauges(self) -> dict[str, float]:
        """Return figures on the fleet and on the owner's own work."""
        now = clock.now()
        gauges = {
            "fence": float(self.fence),
            "owner_age_s": now - self.began,
            "owner_recovered": float(self.recovered),
            "lease_age_s": now - self.renewed,
            "rounds_total": float(self.round_times.rounds),
            "rounds_busy_s_total": self.round_times.busy_s,
            "rounds_waited_s_total": self.round_times.waited_s,
            "round_longest_s": self.round_times.longest_s,
            "runs_ordered_total": float(self.fleet.run_log.ordered_total),
            "runs_ended_total": float(self.fleet.run_log.ended_total)}
        if self.usage is not None:
            figures = dataclasses.asdict(self.usage)
            for priority, count in figures.pop("waiting").items():
                gauges[f'tasks_waiting{{priority="{priority}"}}'] = count
            gauges.update(figures)
        return gauges

    def _guarded(self, target: typing.Callable[[], None]) -> None:
        """Step down on an unexpected error: a successor starts afresh."""
        try:
            target()
        except Exception as exc:
            events.emit(events.THREAD_FAILED, reason=repr(exc),
                        where=events.place(exc))
            self.step_down("unexpected error")

    def _order(self, worker_id: str, order: state_mod.Order) -> None:
        link = self.links.get(worker_id)
        if link is not None:
            link.orders.put(order)

    def _seen(self, marks: dict[str, int]) -> None:
        for worker_id, number in marks.items():
            link = self.links.get(worker_id)
            if link is not None:
                link.mark_seen(number)

    def _ask_advice(self) -> None:
        self.fleet.advice.run(self.over)

    # Recovery

    def _recover(self) -> int | None:
        """Read jobs, progress and workers; return the jobs' revision."""
        while self.may_act():
            try:
                return self._load()
            except surroundings.CallFailed as exc:
                events.emit(events.STORE_LOST, reason=str(exc))
                self.over.wait(RETRY_PAUSE_S)
        return None

    def _load(self) -> int:
        fleet_item = self.store.get(records.FLEET_KEY)
        waiting_item = self.store.get(records.WAITING_KEY)
        learnt_item = self.store.get(records.LEARNT_KEY)
        jobs = self.store.listing(records.JOB_PREFIX)
        stored = self.store.listing(records.PROGRESS_PREFIX)
        entries = self.roster.workers()
        with self.fleet.lock:
            for item in jobs.items:
                self._add_job(item)
            for item in stored.items:
                self._take_progress(item)
            for item in jobs.items:
                self._take_cancel(item.key)
            if waiting_item is not None:
                self.recorder.revisions[records.WAITING_KEY] = (
                    waiting_item.revision)
            if learnt_item is not None:
                self._take_learnt(learnt_item)
            self._expect_workers(fleet_item)
        self._log_taken_over()
        self._take_entries(entries)
        self._contact_unlisted()
        events.emit(events.FLEET_RECOVERED, fence=self.fence,
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
            events.emit(events.JOB_SEEN, fence=self.fence,
                        jobs=job_ids[begin:begin + JOBS_PER_LINE])

    def _take_job(self, item: messages.Item) -> None:
        """Take up a job, and log it if it is new."""
        job = self._add_job(item)
        if job is not None:
            events.emit(events.JOB_SEEN, job=job.job_id, queue=job.queue,
                        revision=item.created)

    def _add_job(self, item: messages.Item) -> messages.Job | None:
        """Take up a stored job; return it if it is new."""
        if item.key.endswith(records.CANCEL_SUFFIX):
            return None
        try:
            job = progress.decode_job(item.value)
        except ValueError as exc:
            events.emit(events.RECORD_UNREADABLE, key=item.key,
                        reason=str(exc))
            return None
        known = job.job_id in self.fleet.jobs
        self.fleet.add_job(job, item.created)
        return None if known else job

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

    def _take_cancel(self, key: str) -> None:
        if key.endswith(records.CANCEL_SUFFIX):
            self.fleet.cancel(key[len(records.JOB_PREFIX):
                                  -len(records.CANCEL_SUFFIX)])

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

    def _contact_unlisted(self) -> None:
        """Ask workers in use that the list has lost, at their address."""
        for worker_id in list(self.fleet.unheard):
            if worker_id in self.links or not self.recorder.addresses:
                continue
            entry = messages.WorkerEntry(
                worker_id, "", self.recorder.addresses[worker_id], "", False,
                messages.Room(), ())
            link = self._take_entry(entry)
            with self.fleet.lock:
                self.fleet.workers[worker_id].listed = False
            if link is not None:
                link.start()

    # Roster and inbox

    def _take_entries(self, entries: tuple[messages.WorkerEntry, ...]
                      ) -> None:
        """Take up all workers listed, then begin to speak to the new ones.

        The lock is taken once: taken for each, others get it in between, and
        workers that come back together are used again one by one.
        """
        with self.fleet.lock:
            links = [self._take_entry(entry) for entry in entries]
            self.fleet.unlist({entry.worker_id for entry in entries})
        for link in links:
            if link is not None:
                link.start()

    def _take_entry(self, entry: messages.WorkerEntry
                    ) -> link_mod.WorkerLink | None:
        """Take up a worker; return its link if it is a new one."""
        old = self.links.get(entry.worker_id)
        if not self.fleet.add_worker(entry):
            return None
        if entry.worker_id in (self.recorder.addresses or {}):
            # Already on the stored list of workers in use.
            self.fleet.enrol([entry.worker_id])
        if old is not None:
            old.close()
        link = link_mod.WorkerLink(
            entry, self.connect(entry), self.fleet, self.may_act,
            self.may_lease, self.step_down)
        if old is not None:
            link.recorded_upto = old.recorded_upto
        self.links[entry.worker_id] = link
        return link

    def _follow_roster(self) -> None:
        logged = 0.0
        times = usage_mod.RoundTimes()
        while not self.over.wait(ROSTER_PERIOD_S):
            try:
                self._take_entries(self.roster.workers())
            except surroundings.CallFailed as exc:
                events.emit(events.STORE_LOST, reason=f"workers: {exc}")
            self._close_gone()
            if clock.now() - logged >= USAGE_PERIOD_S:
                logged = clock.now()
                times = self._log_usage(times)

    def _log_usage(self, earlier: usage_mod.RoundTimes
                   ) -> usage_mod.RoundTimes:
        """Log how full the fleet is; return the rounds counted so far."""
        self.usage = usage_mod.measure(self.fleet, clock.now())
        times = dataclasses.replace(self.round_times)
        events.emit(events.FLEET_USAGE, **dataclasses.asdict(self.usage),
                    **times.since(earlier), fence=self.fence,
                    lease_age_s=round(clock.now() - self.renewed, 3))
        return times

    def _close_gone(self) -> None:
        for worker_id, link in list(self.links.items()):
            if worker_id not in self.fleet.workers:
                link.close()
                del self.links[worker_id]

    def _inbox_from(self, revision: int) -> typing.Callable[[], None]:
        def follow() -> None:
            after = revision
            while not self.over.is_set():
                after = self._inbox(after)
        return follow

    def _inbox(self, after: int) -> int:
        """Take in new jobs and cancellations; return where to go on.

        An answer without changes moves nothing on: a watch may have been
        deaf while changes were made, and only asking again from the last
        change seen brings them, or shows that the history is gone.
        """
        try:
            found = self.store.watch(records.JOB_PREFIX, after,
                                     INBOX_WATCH_MS)
            for change in found.changes:
                if change.item is None:
                    continue
                self._take_job(change.item)
                self._take_cancel(change.key)
            return max([after] + [c.revision for c in found.changes])
        except surroundings.HistoryGone:
            return self._reread_inbox(after)
        except surroundings.CallFailed as exc:
            events.emit(events.STORE_LOST, reason=f"inbox: {exc}")
            self.over.wait(RETRY_PAUSE_S)
            return self._reread_inbox(after)

    def _reread_inbox(self, after: int) -> int:
        """Read all jobs again: a watch that was cut may have gone deaf."""
        try:
            listing = self.store.listing(records.JOB_PREFIX)
        except surroundings.CallFailed as exc:
            events.emit(events.STORE_LOST, reason=f"inbox: {exc}")
            self.over.wait(RETRY_PAUSE_S)
            return after
        for item in listing.items:
            self._take_job(item)
        for item in listing.items:
            self._take_cancel(item.key)
        return listing.revision

    def _rounds(self) -> None:
        ended = clock.now()
        while self.may_act():
            with self.fleet.lock:
                if not self.fleet.changed:
                    self.fleet.wake.wait(TICK_S)
            now = clock.now()
            waited_s = now - ended
            self.fleet.expire(now)
            self.fleet.run_log.flush_when_due(now)
            if not self.may_lease():
                # A start without a lease would be taken back unsent and be
                # placed again at once, hundreds of times a second.
                self.over.wait(TICK_S)
                continue
            rounds.place(self.fleet, now, clock.wall_ms())
            ended = clock.now()
            took = ended - now
            self.round_times.add(waited_s, took)
            self.over.wait(min(MOST_PAUSE_S, max(
                ROUND_PAUSE_S, PAUSE_FOR_ROUND * took)))
