"""Manage the calls to one worker.

One coroutine renews the worker's lease and receives its reports; another one
sends orders.
"""

import asyncio
import contextlib
import heapq
import itertools
import math
import threading
import typing

from sycamorefield import events
from sycamorefield.fleet import answers
from sycamorefield.fleet import clock
from sycamorefield.fleet import copies
from sycamorefield.fleet import crashes
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import loopthread
from sycamorefield.fleet import lostanswers
from sycamorefield.fleet import messages
from sycamorefield.fleet import recordedends
from sycamorefield.fleet import reports
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import usage
from sycamorefield.fleet import workerstate
from sycamorefield import metrics

# How long a worker may delay its report while no run ends.  It bounds the time
# for which the failure of a worker goes unnoticed.
REPORT_WAIT_MS = 1200
# Reports are requested more often where best-effort tasks share a worker with
# tasks that have a latency target, and most often where a tail latency exceeds
# NEAR_TARGET_RATIO of its target.  Shorter waits gain little, as the reported
# tail latencies are half a second old anyway.
SHARED_WAIT_MS = 800
NEAR_TARGET_WAIT_MS = 400
NEAR_TARGET_RATIO = 0.4
# The end of a quarantine run is learned from a report, and until then no other
# task may use the worker.
QUARANTINE_WAIT_MS = 150
# A worker that is still recorded as silent gets no lease until the record has
# been written, which takes this long.
RECORDED_WAIT_MS = 50
RETRY_DELAY_S = 0.15
# The pause after an error that the code doesn't expect, which is logged.
ERROR_PAUSE_S = 1.0
# How long the first calls to a worker that a successor waits for may take.
# The tasks of all jobs accepted before the takeover wait until each worker has
# reported, and a sound worker answers within some milliseconds; a lost call
# would cost them a second.
FIRST_ANSWERS_S = (0.2, 0.4)
# A report lists ended runs until their ends are stored, and is sent without
# delay while there are any.  So the next one is requested only when they are
# stored, or after this many seconds.
RECORD_WAIT_S = 0.4
START_ATTEMPTS = 2
# How long an acknowledgement of ends waits for the answer to a start, which
# takes some milliseconds.
START_WAIT_S = 0.05
# Ends are acknowledged at most this late while starts have no answer.
# Otherwise a worker that loses many answers would list ever more ends.
MAX_ACKNOWLEDGEMENT_DELAY_S = 1.5
# After this many refused connections in a row, RETRY_DELAY_S apart, a worker
# may have crashed: a single one may be due to a restart of the link.
REFUSALS_OF_CRASH = 2
NO_LEASE = "no lease may be given"
# Why an owner steps down after an error that its code doesn't expect.
UNEXPECTED_ERROR = "unexpected error"

Permission = typing.Callable[[], bool]
Answer = typing.TypeVar("Answer")
# Makes a call with a fence.
FencedCall = typing.Callable[
    [int], typing.Coroutine[typing.Any, typing.Any, Answer]]


class OrderQueue:
    """Queue orders to one worker: stops first, others first in, first out.

    A cancelled task would keep running while its stop is queued behind
    starts.  A start whose run is stopped while the start is queued is never
    sent.  Any thread may add orders; one coroutine takes them.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.entries: list[tuple[bool, int, state_mod.Order | None]] = []
        self.sequence = itertools.count()

    def put(self, order: state_mod.Order | None) -> None:
        """Add an order; None makes the sender end before other orders."""
        self._put(not (order is None or isinstance(order,
                                                   messages.StopOrder)), order)

    def requeue(self, order: state_mod.Order) -> None:
        """Add an order whose call failed behind all queued ones."""
        self._put(True, order)

    def _put(self, waits: bool, order: state_mod.Order | None) -> None:
        with self.lock:
            heapq.heappush(self.entries, (waits, next(self.sequence), order))

    def __len__(self) -> int:
        return len(self.entries)

    def pop(self) -> state_mod.Order | None:
        """Remove and return the next order; raises IndexError if empty."""
        with self.lock:
            return heapq.heappop(self.entries)[2]


class WorkerLink:
    """Run the two coroutines that call one worker.

    may_act and may_lease return whether this process may still send orders
    and grant leases; step_down gives up ownership, with a reason.
    """

    def __init__(self, entry: messages.WorkerEntry,
                 worker: interfaces.Worker, fleet: state_mod.FleetState,
                 may_act: Permission, may_lease: Permission,
                 step_down: typing.Callable[[str], None]) -> None:
        self.worker_id = entry.worker_id
        self.address = entry.address
        self.worker = worker
        self.fleet = fleet
        self.may_act = may_act
        self.may_lease = may_lease
        self.step_down = step_down
        self.closed = False
        # Runs the coroutines, once started.
        self.loop_thread: loopthread.LoopThread | None = None
        # Calls for a first report that got no answer.
        self.first_calls_lost = 0
        # Refused connections since the last answered call.
        self.refusals = 0
        self.lost_answers = lostanswers.LostAnswers()
        self.recorded = asyncio.Event()
        self.ends = recordedends.RecordedEnds()
        # Since when ends are not acknowledged as starts have no answer yet.
        self.acknowledgement_held_since: float | None = None
        # Held while a start is under way.
        self.starting = asyncio.Lock()
        self.fences = fleet.fences_of(self.worker_id)
        self.orders = OrderQueue()
        self.order_added = asyncio.Event()

    def start(self, loop_thread: loopthread.LoopThread) -> None:
        """Start both coroutines."""
        self.loop_thread = loop_thread
        loop_thread.spawn(self._run())

    async def _run(self) -> None:
        await asyncio.gather(self._run_guarded(self._renew_leases),
                             self._run_guarded(self._send_orders))
        self.worker.close()

    async def _run_guarded(
            self, target: typing.Callable[
                [], typing.Coroutine[typing.Any, typing.Any, None]]) -> None:
        """Run a coroutine; step down if it ends by an unexpected error.

        A worker without one of its coroutines would still be considered
        usable, but its leases would expire or its start orders never be sent.
        """
        try:
            await target()
        except Exception as exc:
            self._log_error(exc)
            self.step_down(UNEXPECTED_ERROR)

    def _log_error(self, exc: Exception) -> None:
        events.emit(events.THREAD_FAILED, reason=repr(exc),
                    where=events.error_location(exc), worker=self.worker_id)

    def put_order(self, order: state_mod.Order | None) -> None:
        """Queue an order, from any thread."""
        self.orders.put(order)
        self._wake(self.order_added)

    def _wake(self, event: asyncio.Event) -> None:
        if self.loop_thread is not None:
            self.loop_thread.call_soon(event.set)

    def close(self) -> None:
        """End both coroutines after their current calls."""
        self.closed = True
        self.put_order(None)
        self._wake(self.recorded)

    def change_address(self, address: str,
                       worker: interfaces.Worker) -> None:
        """Make further calls by another client, from any thread."""
        self.address = address
        old_worker, self.worker = self.worker, worker
        self.refusals = 0
        if self.loop_thread is not None:
            self.loop_thread.call_soon(old_worker.close)

    def acknowledge_ends(self, ends: recordedends.LifeEnds) -> None:
        """Let the worker forget ends up to a number, as they are stored."""
        if self.ends.store(ends):
            self._wake(self.recorded)

    def _lease_end_ms(self, longest_ms: float = math.inf,
                      renews: bool = False) -> float | None:
        """Return the end of a lease granted now, or None to grant none.

        renews is whether it is granted by a call that starts no run.

        An unresponsive worker is queried without a lease: a call without a
        response may still be carried out, and if each attempt granted a
        lease, the runs there could never be considered ended.

        The lease starts before the check that it may be granted.  If the VM
        is frozen or waits for the lock after the check, the lease becomes
        shorter instead of lasting longer than a successor waits for it.
        """
        now = clock.now()
        if not self.may_lease():
            return None
        with self.fleet.lock:
            worker = self.fleet.workers.get(self.worker_id)
            if (worker is None or worker.unresponsive
                    or worker.unreported_life.has_answered()
                    or self.fleet.leases_closed
                    or self.fleet.silent_workers.is_recorded(self.worker_id)):
                return None
            lease_end_ms = worker.grant_lease(
                min(longest_ms, worker.longest_lease_ms(),
                    self.fleet.hold_max_ms), now)
            if renews and lease_end_ms is not None:
                worker.unreported_life.add_lease(now)
            return lease_end_ms

    def _report_wait_ms(self) -> int:
        return self.lost_answers.report_wait_ms(
            self._usual_report_wait_ms(), clock.now())

    def _usual_report_wait_ms(self) -> int:
        with self.fleet.lock:
            worker = self.fleet.workers.get(self.worker_id)
            if (worker is None or not worker.has_reported
                    or worker.unresponsive):
                return 0
            if self.fleet.silent_workers.is_recorded(self.worker_id):
                return RECORDED_WAIT_MS
            if self.fleet.store_unreachable:
                return NEAR_TARGET_WAIT_MS
            if self.fleet.trials.tasks_on(self.worker_id):
                return QUARANTINE_WAIT_MS
            if worker.target_runs and worker.best_effort_cpu:
                worst = max(
                    (t.ratio for t in worker.tail_latencies), default=1.0)
                return (NEAR_TARGET_WAIT_MS if worst > NEAR_TARGET_RATIO
                        else SHARED_WAIT_MS)
            return REPORT_WAIT_MS

    def _awaits_first_report(self) -> bool:
        """Return whether tasks wait for the first report of the worker."""
        return (self.fleet.policy.repeat_first_calls
                and self.worker_id in self.fleet.awaited_workers
                and self.first_calls_lost < len(FIRST_ANSWERS_S))

    def _answer_s(self) -> float:
        """Return how long the answer to the next call may take."""
        if self._awaits_first_report():
            return FIRST_ANSWERS_S[self.first_calls_lost]
        return self.lost_answers.answer_s(
            interfaces.REPORT_ANSWER_S, clock.now())

    def _repeats_first_call(self) -> bool:
        """Return whether a call without an answer is repeated at once.

        It granted no lease, so it does no harm if it is carried out later.
        """
        if not self._awaits_first_report():
            return False
        self.first_calls_lost += 1
        return True

    async def _renew_leases(self) -> None:
        """Renew leases until the link ends.

        An unexpected error concerns this worker alone.  While it recurs, the
        worker gets no leases, and once they have expired it is added anew.
        """
        while not self.closed and self.may_act():
            try:
                if await self._renew_once():
                    return
            except Exception as exc:
                self._log_error(exc)
                await self._handle_failure(exc)
                await asyncio.sleep(ERROR_PAUSE_S)

    async def _call(self, call: FencedCall[Answer]) -> Answer:
        """Make a call with a higher fence than all earlier ones.

        If a later call arrives before it, it is refused without an effect
        and made again.
        """
        while True:
            fence = self.fences.take()
            try:
                return await call(fence)
            except interfaces.OrderRejected as exc:
                if (exc.reason != interfaces.FENCED
                        or self.fences.is_newest(fence)
                        or not self.may_act()):
                    raise

    async def _call_order(self, order: FencedCall[Answer]) -> Answer:
        """Send an order; a lost answer to it delays the next ones briefly."""
        sent_at = clock.now()
        self.worker.order_answer_s = self.lost_answers.answer_s(
            interfaces.ORDER_ANSWER_S, sent_at)
        try:
            answer = await self._call(order)
        except interfaces.CallRefused:
            raise
        except interfaces.CallFailed:
            self.lost_answers.note_lost()
            raise
        self.lost_answers.note_order_answered(sent_at, clock.now())
        answers.record_answer(self.fleet, self.worker_id, sent_at)
        return answer

    async def _renew(self, called: interfaces.Worker,
                     fence: int) -> messages.WorkerReport:
        lease_end_ms = self._lease_end_ms(renews=True)
        acknowledged = self._acknowledged_number()
        try:
            report = await called.renew(
                fence, acknowledged, lease_end_ms,
                self._report_wait_ms(), self._answer_s())
        except (interfaces.CallRefused, interfaces.OrderRejected):
            self._record_renewed(lease_end_ms)
            raise
        self._record_renewed(lease_end_ms)
        if (report.born_ms == self.ends.reporting_born_ms
                and all(ended.number > acknowledged
                        for ended in report.ended)):
            self.ends.note_forgotten(
                recordedends.LifeEnds(report.born_ms, acknowledged))
        return report

    def _record_renewed(self, lease_end_ms: float | None) -> None:
        if lease_end_ms is not None:
            answers.record_lease_answered(self.fleet, self.worker_id)

    def _acknowledged_number(self) -> int:
        """Return the number up to which the called life may forget ends.

        A later life numbers its ends anew.  If it carried out a start that was
        sent before and then this call, late, it would forget the end of that
        run.  So a call that follows an unanswered one acknowledges nothing.
        """
        number = self.ends.acknowledged_number()
        now = clock.now()
        with self.fleet.lock:
            worker = self.fleet.workers.get(self.worker_id)
            if worker is not None and (
                    worker.unresponsive
                    or worker.unreported_life.has_answered()
                    or (number and self._holds_acknowledgement(worker, now))):
                return 0
        self.acknowledgement_held_since = None
        return number

    def _holds_acknowledgement(self, worker: workerstate.WorkerState,
                               now: float) -> bool:
        """Return whether starts without an answer delay an acknowledgement."""
        if not worker.unreported_life.has_attempt(now):
            return False
        if self.acknowledgement_held_since is None:
            self.acknowledgement_held_since = now
        return (now - self.acknowledgement_held_since
                < MAX_ACKNOWLEDGEMENT_DELAY_S)

    async def _await_start(self) -> None:
        """Wait briefly for the answer to a start before an acknowledgement."""
        if self.ends.acknowledged_number():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(START_WAIT_S):
                    async with self.starting:
                        return

    async def _renew_once(self) -> bool:
        """Make one call and apply the report; return whether the link ends."""
        sent_at = clock.now()
        self.recorded.clear()
        await self._await_start()
        called = self.worker
        try:
            report = await self._call(
                lambda fence: self._renew(called, fence))
        except interfaces.IncarnationMismatch:
            return self._report_end(called, crashes.worker_replaced)
        except interfaces.OrderRejected as exc:
            if self._check_fenced(exc):
                return True
            await self._handle_failure(exc)
            return False
        except interfaces.ConnectionRefused as exc:
            if called is self.worker:
                await self._handle_refusal(exc)
            return False
        except interfaces.CallRefused as exc:
            await self._handle_failure(exc)
            return False
        except interfaces.CallFailed as exc:
            self.lost_answers.note_lost()
            if not self._repeats_first_call():
                await self._handle_failure(exc)
            return False
        received_at = clock.now()
        with self.fleet.lock:
            if self.closed:
                return True
            self.refusals = 0
            self.lost_answers.note_answered(received_at)
            self.ends.note_report(report.born_ms)
            new_ends = reports.apply_report(
                self.fleet, self.worker_id, report, sent_at, received_at)
        metrics.CALLS.record(usage.REPORT, clock.now() - received_at)
        if new_ends or report.ended:
            await self._wait_until_recorded()
        return False

    def _report_end(self, called: interfaces.Worker,
                    report_end: typing.Callable[
                        [state_mod.FleetState, str], None]) -> bool:
        """Report the end of the called life; return whether the link ends.

        If the link is closed, the worker may have been added again with
        another link, and the call concerns the life before.  Nor does a call
        to an earlier address say anything.  The lock is held while links and
        addresses are replaced.
        """
        with self.fleet.lock:
            if self.closed:
                return True
            if called is not self.worker:
                return False
            report_end(self.fleet, self.worker_id)
            return True

    async def _wait_until_recorded(self) -> None:
        try:
            async with asyncio.timeout(RECORD_WAIT_S):
                await self.recorded.wait()
        except TimeoutError:
            # The worker lists the ends that are not stored yet once more.
            return

    async def _handle_refusal(self, exc: interfaces.ConnectionRefused
                              ) -> None:
        """Handle a refused connection: a crash, or a cut of the link.

        The worker's runs may go on until another life answers or the leases
        have expired, so its tasks are not started elsewhere before.
        """
        self.refusals += 1
        if (self.refusals >= REFUSALS_OF_CRASH
                and self.fleet.has_listened(self.worker_id)):
            with self.fleet.lock:
                if not self.closed:
                    crashes.worker_refused_connection(
                        self.fleet, self.worker_id)
        await self._handle_failure(exc)

    def _check_fenced(self, exc: interfaces.OrderRejected) -> bool:
        """Step down if a rejection shows that there is a successor.

        Return whether it does.
        """
        if exc.reason != interfaces.FENCED:
            return False
        self.step_down(f"fenced by worker {self.worker_id}")
        return True

    async def _handle_failure(self, exc: Exception) -> None:
        with self.fleet.lock:
            if not self.closed:
                self.fleet.mark_unresponsive(self.worker_id, str(exc))
        await asyncio.sleep(RETRY_DELAY_S)

    async def _send_orders(self) -> None:
        while True:
            order = await self._next_order()
            if order is None or self.closed:
                return
            called = self.worker
            try:
                await self._send(order)
            except interfaces.IncarnationMismatch:
                if self._report_end(called, crashes.worker_replaced):
                    return
                self.orders.requeue(order)
            except Exception as exc:
                self._log_error(exc)
                self._record_uncertain(order)
                await asyncio.sleep(ERROR_PAUSE_S)

    def _record_uncertain(self, order: state_mod.Order) -> None:
        """Record that an order may have been carried out."""
        if isinstance(order, messages.StartOrder):
            answers.stop_uncertain_run(self.fleet, self.worker_id, order)
        elif isinstance(order, messages.StopOrder):
            self.orders.requeue(order)
        else:
            answers.record_uncertain_pace(
                self.fleet, self.worker_id, order, clock.now())

    async def _next_order(self) -> state_mod.Order | None:
        while not self.orders:
            self.order_added.clear()
            if not self.orders:
                await self.order_added.wait()
        return self.orders.pop()

    async def _send(self, order: state_mod.Order) -> None:
        if isinstance(order, messages.StartOrder):
            await self._send_start(order)
        elif isinstance(order, messages.StopOrder):
            await self._send_stop(order)
        else:
            await self._send_pace(order)

    async def _send_start(self, order: messages.StartOrder) -> None:
        refused = True
        for attempt in range(START_ATTEMPTS):
            if not self.may_act():
                return
            if attempt == 0 and not answers.should_send(
                    self.fleet, self.worker_id, order):
                return
            if attempt and not answers.should_repeat(
                    self.fleet, self.worker_id, order):
                return
            if attempt and not answers.may_start_here(
                    self.fleet, self.worker_id):
                break
            lease_end_ms = self._lease_end_ms(
                copies.start_lease_ms(self.fleet, order.task))
            if lease_end_ms is None and attempt == 0:
                answers.record_rejected(self.fleet, self.worker_id, order,
                                        NO_LEASE, clock.now())
                return
            if lease_end_ms is None:
                # The first attempt may still be carried out.
                break
            sent_at = clock.now()
            try:
                if self.closed:
                    # The worker was declared dead in the meantime.
                    return
                async with self.starting:
                    await self._start(order, lease_end_ms, sent_at)
                return
            except interfaces.OrderRejected as exc:
                answers.record_attempt_over(
                    self.fleet, self.worker_id, order, sent_at)
                if not self._check_fenced(exc):
                    self._handle_rejection(order, exc.reason, attempt)
                return
            except interfaces.CallFailed as exc:
                refused &= isinstance(exc, interfaces.ConnectionRefused)
                if isinstance(exc, interfaces.CallRefused):
                    answers.record_attempt_over(
                        self.fleet, self.worker_id, order, sent_at)
                events.emit(events.RUN_UNCERTAIN, task=str(order.task),
                            run=order.run, worker=self.worker_id,
                            reason=str(exc))
        answers.stop_uncertain_run(self.fleet, self.worker_id, order, refused)

    async def _start(self, order: messages.StartOrder, lease_end_ms: float,
                     sent_at: float) -> None:
        if not answers.record_attempt(
                self.fleet, self.worker_id, order, sent_at):
            raise interfaces.CallRefused(NO_LEASE)
        clock_ms = await self._call_order(lambda fence: self.worker.start(
            order, fence, lease_end_ms))
        answers.record_attempt_over(self.fleet, self.worker_id, order, sent_at)
        self.refusals = 0
        answers.record_started(
            self.fleet, self.worker_id, order, clock.now(),
            answers.StartAnswer(clock_ms, lease_end_ms, sent_at))

    def _handle_rejection(self, order: messages.StartOrder, reason: str,
                          attempt: int) -> None:
        if attempt:
            # The run of the first attempt may have ended already, or may yet
            # begin; only an acknowledged stop rules that out.
            answers.stop_uncertain_run(self.fleet, self.worker_id, order)
            return
        answers.record_rejected(self.fleet, self.worker_id,
                                order, reason, clock.now())

    async def _send_stop(self, order: messages.StopOrder) -> None:
        """Send a stop; requeue it behind other orders if it fails.

        Until the worker acknowledges it, the run may still begin and its task
        cannot run elsewhere, so a stop is never given up.
        """
        if not self.may_act():
            return
        try:
            await self._call_order(
                lambda fence: self.worker.stop(order, fence))
            answers.record_stopped(
                self.fleet, self.worker_id, order, clock.now())
        except interfaces.OrderRejected as exc:
            if not self._check_fenced(exc):
                await self._handle_failure(exc)
                self.orders.requeue(order)
        except interfaces.CallFailed as exc:
            await self._handle_failure(exc)
            self.orders.requeue(order)

    async def _send_pace(self, order: messages.PaceOrder) -> None:
        if not self.may_act():
            return
        try:
            await self._call_order(
                lambda fence: self.worker.pace(order, fence))
        except interfaces.OrderRejected as exc:
            if not self._check_fenced(exc):
                answers.record_uncertain_pace(
                    self.fleet, self.worker_id, order, clock.now())
        except interfaces.CallFailed:
            answers.record_uncertain_pace(
                self.fleet, self.worker_id, order, clock.now())
            events.emit(events.RUN_UNCERTAIN, task=str(order.task),
                        run=order.run, worker=self.worker_id,
                        reason="pace got no answer")
