"""Schedule the fleet while this process owns it."""

import dataclasses
import functools
import math
import threading
import typing

from sycamorefield import events
from sycamorefield.fleet import backlogmeter
from sycamorefield.fleet import clock
from sycamorefield.fleet import doubtfulruns
from sycamorefield.fleet import handoverrecord
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import jobwatcher as jobwatcher_mod
from sycamorefield.fleet import link as link_mod
from sycamorefield.fleet import messages
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.fleet import recordedends
from sycamorefield.fleet import recorder as recorder_mod
from sycamorefield.fleet import records
from sycamorefield.fleet import recovery as recovery_mod
from sycamorefield.fleet import rounds
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import stateremoval
from sycamorefield.fleet import usage as usage_mod
from sycamorefield.fleet import victims
from sycamorefield.fleet import waitinglog
from sycamorefield.fleet import workerlinks as workerlinks_mod

# How often the utilisation of the fleet is logged.
USAGE_LOG_PERIOD_S = 2.0
# TTL of the owner's lease in the store.  The death of an owner is detected
# when the lease expires.  Three renewals fit into the TTL, so one lost or slow
# renewal does not end the lease.
OWNER_LEASE_S = 2.0
# How often the list of workers is read.  A worker that is about to leave must
# get no new tasks later than 2 s after its notice.
WORKER_LIST_PERIOD_S = 0.8
WORKER_LIST_RETRY_S = 0.2
# How often it is read while a task that is down fits on no worker.  Where
# workers are replaced one after the other, there is nearly always one that has
# joined since the last read, and its capacity is free until the next.
DOWN_TASKS_LIST_PERIOD_S = 0.1
# Such a pause is at least this many times as long as the read before took: on
# a large fleet, reads would otherwise leave the owner no time.
PAUSE_PER_READ_TIME = 9.0
# The longest wait for a change before the next round.
MAX_IDLE_S = 0.1
# The least pause between placement rounds, so that tasks that become ready
# together are placed in one round.
MIN_ROUND_GAP_S = 0.005
# The pause after a round, as a multiple of the round's duration.  On a weak
# VM, or with many waiting tasks, rounds without pauses use all of the owner's
# processor time and leave none for reports and lease renewals.  Leases of runs
# then expire, which their users notice.
GAP_PER_ROUND_TIME = 1.0
# The longest pause after a round.  A round that took long, for example on a
# slowed VM, must not delay the next start by as long again: urgent tasks must
# start within 1.1 s.
MAX_ROUND_GAP_S = 0.25
RETRY_PAUSE_S = 0.1


class Owner:
    """Run one term as owner: watch jobs and workers, place, record.

    fence is the fencing token of the term.  hold_max_ms limits the leases
    that workers get.  Final states of jobs are readable for status_s at
    least.
    """

    def __init__(self, store: interfaces.Store,
                 worker_list: interfaces.WorkerList,
                 connect: workerlinks_mod.WorkerFactory,
                 configuration: typing.Callable[[], messages.Configuration],
                 fence: int, hold_max_ms: float,
                 advice: interfaces.AdviceService | None = None,
                 policy: policy_mod.Policy = policy_mod.Policy(),
                 stop_costs: victims.StopCosts | None = None,
                 status_s: float = stateremoval.DEFAULT_STATUS_S) -> None:
        self.worker_list = worker_list
        self.fence = fence
        self.fleet = state_mod.FleetState(
            fence, hold_max_ms, self._send_order, configuration, policy,
            stop_costs)
        self.fleet.advice.service = advice
        self.stepped_down = threading.Event()
        # Whether the term was ended by an unexpected error.
        self.failed = False
        # Whether the term was ended so that another process takes over.
        self.handed_over = False
        self.recovered = False
        # The record of the last owner's planned stop, as the claim found it.
        self.handover_item: messages.Item | None = None
        # When the claim was sent, if known, and when this process saw the
        # claims of earlier owners.
        self.claim_sent_at: float | None = None
        self.claim_seen_at: typing.Callable[[int], float] = (
            lambda claim: math.inf)
        self.started_at = clock.now()
        self.note_lease_renewal(self.started_at)
        # The utilisation as last logged.  Metrics use this copy because
        # computing it for each request would block placement on the lock.
        self.usage: usage_mod.Usage | None = None
        self.round_times = usage_mod.RoundTimes()
        self.waiting_log = waitinglog.WaitingLog()
        self.doubtful_runs = doubtfulruns.DoubtfulRuns()
        # When the last round of placing ended.
        self.round_ended_at = self.started_at
        self.recorder = recorder_mod.Recorder(
            store, self.fleet, records.OWNER_KEY, self.may_act,
            self.step_down, self._acknowledge_ends)
        self.state_removal = stateremoval.StateRemoval(
            store, self.fleet, records.OWNER_KEY, status_s)
        self.backlog_meter = backlogmeter.BacklogMeter(self.fleet)
        self.recorder.backlog_data = lambda: self.backlog_meter.data
        self.worker_links = workerlinks_mod.WorkerLinks(
            self.fleet, connect, lambda: self.recorder.stored_addresses,
            self.may_act, self.may_lease, self.step_down)
        self.job_watcher = jobwatcher_mod.JobWatcher(
            store, self.fleet, self.stepped_down)
        self.recovery = recovery_mod.Recovery(
            store, worker_list, self.fleet, self.job_watcher,
            self.worker_links, self.recorder)

    def _send_order(self, worker_id: str, order: state_mod.Order) -> None:
        self.worker_links.send_order(worker_id, order)

    def _acknowledge_ends(
            self, stored_ends: dict[str, recordedends.LifeEnds]) -> None:
        self.worker_links.acknowledge_ends(stored_ends)

    def may_act(self) -> bool:
        """Return whether orders may still be sent.

        Step down if the store has been unreachable for too long.
        """
        if self.stepped_down.is_set():
            return False
        if (clock.now() - self.lease_renewed_at
                > recovery_mod.MAX_STORE_OUTAGE_S):
            self.step_down("store unreachable for too long")
            return False
        return True

    def may_lease(self) -> bool:
        """Return whether leases of runs may be granted or extended.

        Once its own lease has expired, an owner cannot know whether it has a
        successor.  A successor fences every worker that it reaches, so as
        long as most workers accept this owner's calls, no successor has
        reached most of them.  An owner that has stepped down grants nothing:
        its lease may already be released.
        """
        if self.stepped_down.is_set():
            return False
        now = clock.now()
        self.fleet.store_unreachable = (
            now - self.lease_renewed_at > OWNER_LEASE_S)
        return (not self.fleet.store_unreachable
                or self.fleet.has_quorum(now))

    def note_lease_renewal(self, sent_at: float) -> None:
        """Note that a call sent at sent_at renewed the owner's lease.

        The store counts the TTL from the arrival of the call, so the lease
        holds at least until sent_at plus the TTL.
        """
        self.lease_renewed_at = sent_at
        was_expired = self.fleet.owner_lease_until < clock.now()
        self.fleet.owner_lease_until = sent_at + OWNER_LEASE_S
        if was_expired:
            # Jobs first seen while the lease was expired were held back.
            with self.fleet.lock:
                self.fleet.request_round()

    def step_down(self, reason: str) -> None:
        """End the term: send no more orders; reason is logged."""
        if self.stepped_down.is_set():
            return
        self.failed = reason == link_mod.UNEXPECTED_ERROR
        self.stepped_down.set()
        events.emit(events.OWNERSHIP_LOST, fence=self.fence, reason=reason)
        self.recorder.stopped.set()
        self.worker_links.close()
        with self.fleet.lock:
            self.fleet.round_requested.notify_all()

    def hand_over(self) -> None:
        """End the term so that a process that has offered takes over."""
        if not self.stepped_down.is_set():
            self.handed_over = True
            self.step_down("another process reaches more workers")

    def store_for_successor(self) -> None:
        """Store all changes, and what a successor needs at a planned stop."""
        with self.fleet.lock:
            self.fleet.silent_workers.term_ends = True
        self.recorder.flush()

    def handover_data(self) -> bytes | None:
        """Return what a successor may rely on, if the key is now released.

        It covers calls in flight, and none that grants leases follows.  An
        owner that has not loaded the state of the fleet has granted nothing,
        so the record that it found is still true.
        """
        with self.fleet.lock:
            self.fleet.leases_closed = True
            if not self.recovery.loaded:
                item = self.handover_item
                return item.value if item is not None else None
            now = clock.now()
            return handoverrecord.encode(
                self.fence, handoverrecord.collect(
                    self.fleet, self.recorder.stored_ends, now),
                self.fleet.late_starts.for_successor(
                    self.fleet.workers.values(), now))

    def run(self) -> None:
        """Recover the stored state, then schedule until stepping down."""
        self.run_guarded(self._run)

    def run_guarded(self, target: typing.Callable[[], object]) -> None:
        """Run a target; step down on an unexpected error.

        A successor then starts from the stored state.
        """
        try:
            target()
        except Exception as exc:
            events.emit(events.THREAD_FAILED, reason=repr(exc),
                        where=events.error_location(exc))
            self.step_down(link_mod.UNEXPECTED_ERROR)

    def _run(self) -> None:
        revision = self._recover()
        if revision is None:
            return
        self.recovered = True
        for target in (functools.partial(self.job_watcher.follow, revision),
                       self._follow_worker_list, self.recorder.run,
                       self._follow_advice, self._follow_backlog,
                       functools.partial(self.state_removal.run,
                                         self.stepped_down)):
            threading.Thread(target=self.run_guarded, args=(target,),
                             daemon=True).start()
        self.run_guarded(self._run_rounds)
        self.fleet.run_log.flush()

    def gauges(self) -> dict[str, float]:
        """Return metrics of the fleet and of the owner's own work."""
        now = clock.now()
        gauges = {
            "fence": float(self.fence),
            "owner_age_s": now - self.started_at,
            "owner_recovered": float(self.recovered),
            "lease_age_s": now - self.lease_renewed_at,
            "rounds_total": float(self.round_times.rounds),
            "rounds_busy_s_total": self.round_times.busy_s,
            "rounds_waited_s_total": self.round_times.waited_s,
            "round_longest_s": self.round_times.longest_s,
            "runs_ordered_total": float(self.fleet.run_log.ordered_total),
            "runs_ended_total": float(self.fleet.run_log.ended_total),
            "unwanted_runs_stopped_total": float(
                self.fleet.unwanted_runs.stopped_total),
            "runs_in_doubt": float(self.doubtful_runs.count),
            "run_times_recorded_total": float(
                self.fleet.run_times.recorded_total),
            "workers_slow": float(len(self.fleet.worker_speeds.degraded)),
            "workers_excluded_as_slow": float(
                len(self.fleet.worker_speeds.excluded)),
            "worker_exclusions_total": float(
                self.fleet.worker_speeds.exclusions_total),
            "learned_state_stored_total": float(
                self.fleet.learned.stored_total),
            "learned_state_bytes": float(self.fleet.learned.stored_bytes),
            "queues_with_bad_estimates": float(
                self.fleet.run_times.distrusted_queues),
            "copies_running": float(self.fleet.copies.running_count),
            "copies_started_total": float(self.fleet.copies.started_total),
            "copies_won_total": float(self.fleet.copies.won_total),
            "copies_wasted_cpu_s_total": self.fleet.copies.wasted_cpu_s,
            "round_age_s": now - self.round_ended_at,
            "workers_reserved": float(self.fleet.held_workers.count()),
            **self.fleet.preemptions.gauges()}
        if self.fleet.policy.reject_hopeless_jobs:
            gauges.update(self.backlog_meter.gauges())
        if self.usage is not None:
            usage_gauges = dataclasses.asdict(self.usage)
            for priority, count in usage_gauges.pop("waiting").items():
                gauges[f'tasks_waiting{{priority="{priority}"}}'] = count
            for priority, waited_s in usage_gauges.pop(
                    "longest_wait_s").items():
                gauges[f'longest_wait_s{{priority="{priority}"}}'] = waited_s
            gauges.update(usage_gauges)
        return gauges

    def _follow_advice(self) -> None:
        self.fleet.advice.run(self.stepped_down)

    def _follow_backlog(self) -> None:
        if self.fleet.policy.reject_hopeless_jobs:
            self.backlog_meter.run(self.stepped_down)

    def _recover(self) -> int | None:
        """Load the stored state; return the revision of the jobs.

        Return None if the term ends first.
        """
        silent_workers = self.fleet.silent_workers
        silent_workers.claim_sent_at = self.claim_sent_at
        silent_workers.claim_seen_at = self.claim_seen_at
        while self.may_act():
            try:
                return self.recovery.load(self.handover_item)
            except interfaces.CallFailed as exc:
                events.emit(events.STORE_UNREACHABLE, reason=str(exc))
                self.stepped_down.wait(RETRY_PAUSE_S)
        return None

    def _follow_worker_list(self) -> None:
        logged_at = 0.0
        times = usage_mod.RoundTimes()
        pause_s = WORKER_LIST_PERIOD_S
        took_s = 0.0
        while self._wait_for_list_read(pause_s, took_s):
            pause_s = WORKER_LIST_PERIOD_S
            read_at = clock.now()
            try:
                self.worker_links.update_workers(
                    self.worker_list.workers(), read_at)
            except interfaces.CallFailed as exc:
                events.emit(events.STORE_UNREACHABLE,
                            reason=f"worker list: {exc}")
                # Nothing may be started with an outdated list, so it is
                # read again soon.
                pause_s = WORKER_LIST_RETRY_S
            self.worker_links.close_removed()
            took_s = clock.now() - read_at
            if clock.now() - logged_at >= USAGE_LOG_PERIOD_S:
                logged_at = clock.now()
                times = self._log_usage(times)

    def _wait_for_list_read(self, pause_s: float, took_s: float) -> bool:
        """Wait before the list is read again; return False if the term ends.

        The pause is cut short while a task that is down fits on no worker.
        took_s is how long the last read took.
        """
        shortest_s = max(DOWN_TASKS_LIST_PERIOD_S,
                         PAUSE_PER_READ_TIME * took_s)
        while pause_s > 0.0:
            wait_s = min(pause_s, shortest_s)
            if self.stepped_down.wait(wait_s):
                return False
            if self.fleet.down_tasks_wait:
                return True
            pause_s -= wait_s
        return not self.stepped_down.is_set()

    def _log_usage(self, previous_times: usage_mod.RoundTimes
                   ) -> usage_mod.RoundTimes:
        """Log the utilisation; return the rounds counted so far."""
        self.usage = usage_mod.measure(
            self.fleet, clock.now(), clock.wall_ms())
        self.waiting_log.update(self.fleet, clock.now(),
                                clock.now() - self.round_ended_at)
        self.doubtful_runs.update(self.fleet, clock.now())
        times = dataclasses.replace(self.round_times)
        events.emit(events.FLEET_USAGE, **dataclasses.asdict(self.usage),
                    **times.since(previous_times), fence=self.fence,
                    lease_age_s=round(clock.now() - self.lease_renewed_at, 3))
        return times

    def _run_rounds(self) -> None:
        ended_at = clock.now()
        while self.may_act():
            with self.fleet.lock:
                if not self.fleet.round_needed:
                    self.fleet.round_requested.wait(MAX_IDLE_S)
            started_at = clock.now()
            waited_s = started_at - ended_at
            self.fleet.expire(started_at)
            self.fleet.run_log.flush_when_due(started_at)
            if not self.may_lease():
                # A start that gets no lease would be cancelled before it is
                # sent and placed again at once, hundreds of times a second.
                self.stepped_down.wait(MAX_IDLE_S)
                continue
            rounds.place(self.fleet, started_at, clock.wall_ms())
            ended_at = self.round_ended_at = clock.now()
            round_s = ended_at - started_at
            self.round_times.add(waited_s, round_s)
            self.stepped_down.wait(min(MAX_ROUND_GAP_S, max(
                MIN_ROUND_GAP_S, GAP_PER_ROUND_TIME * round_s)))
