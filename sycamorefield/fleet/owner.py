"""Run the fleet while this process owns it."""

import dataclasses
import functools
import threading
import typing

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import inbox as inbox_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.fleet import recorder as recorder_mod
from sycamorefield.fleet import records
from sycamorefield.fleet import recovery as recovery_mod
from sycamorefield.fleet import roster as roster_mod
from sycamorefield.fleet import rounds
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import surroundings
from sycamorefield.fleet import usage as usage_mod

# How often the use of the fleet is logged.
USAGE_PERIOD_S = 2.0
# The owner's lease in the store.  An owner that dies is noticed when it
# ends; three renewals fit in, so one lost or slow renewal does not end it.
OWN_LEASE_S = 2.0
# A leaving worker gets no new work within 2 s of its notice.
ROSTER_PERIOD_S = 0.8
ROSTER_RETRY_S = 0.2
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


class Owner:
    """Hold the tasks of an owner: inbox, roster, placing, recording."""

    def __init__(self, store: surroundings.Store,
                 worker_list: surroundings.WorkerList,
                 connect: roster_mod.WorkerFactory,
                 configuration: typing.Callable[[], messages.Configuration],
                 fence: int, hold_max_ms: float,
                 advice: surroundings.AdviceService | None = None,
                 policy: policy_mod.Policy = policy_mod.Policy()) -> None:
        self.worker_list = worker_list
        self.fence = fence
        self.fleet = state_mod.FleetState(
            fence, hold_max_ms, self._order, configuration, policy)
        self.fleet.advice.service = advice
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
        self.roster = roster_mod.Roster(
            self.fleet, connect, lambda: self.recorder.addresses,
            self.may_act, self.may_lease, self.step_down)
        self.inbox = inbox_mod.Inbox(store, self.fleet, self.over)
        self.recovery = recovery_mod.Recovery(
            store, worker_list, self.fleet, self.inbox, self.roster,
            self.recorder)

    def _order(self, worker_id: str, order: state_mod.Order) -> None:
        self.roster.order(worker_id, order)

    def _seen(self, marks: dict[str, int]) -> None:
        self.roster.seen(marks)

    def may_act(self) -> bool:
        """Tell whether orders may still be given."""
        if self.over.is_set():
            return False
        if clock.now() - self.renewed > recovery_mod.WITHOUT_STORE_S:
            self.step_down("no answer of the store")
            return False
        return True

    def may_lease(self) -> bool:
        """Tell whether what runs may be given more time.

        Beyond its own lease an owner cannot know whether it has a successor.
        The successor fences every worker that it reaches; as long as most
        workers obey this owner, there is none that reached most.  One that
        has stepped down may have given its lease back already.
        """
        if self.over.is_set():
            return False
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
        self.roster.close()
        with self.fleet.lock:
            self.fleet.wake.notify_all()

    def run(self) -> None:
        """Recover, then decide until stepping down."""
        self._guarded(self._run)

    def _run(self) -> None:
        revision = self._recover()
        if revision is None:
            return
        self.recovered = True
        for target in (functools.partial(self.inbox.follow, revision),
                       self._follow_roster, self.recorder.run,
                       self._ask_advice):
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
                        where=events.error_location(exc))
            self.step_down("unexpected error")

    def _ask_advice(self) -> None:
        self.fleet.advice.run(self.over)

    def _recover(self) -> int | None:
        """Read jobs, progress and workers; return the jobs' revision."""
        while self.may_act():
            try:
                return self.recovery.load()
            except surroundings.CallFailed as exc:
                events.emit(events.STORE_UNREACHABLE, reason=str(exc))
                self.over.wait(RETRY_PAUSE_S)
        return None

    def _follow_roster(self) -> None:
        logged = 0.0
        times = usage_mod.RoundTimes()
        pause_s = ROSTER_PERIOD_S
        while not self.over.wait(pause_s):
            pause_s = ROSTER_PERIOD_S
            began = clock.now()
            try:
                self.roster.take_entries(self.worker_list.workers(), began)
            except surroundings.CallFailed as exc:
                events.emit(events.STORE_UNREACHABLE, reason=f"workers: {exc}")
                # With an old list nothing may be started.
                pause_s = ROSTER_RETRY_S
            self.roster.close_gone()
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
