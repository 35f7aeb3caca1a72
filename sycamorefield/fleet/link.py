"""Follow one worker: one task renews its lease, one sends its orders."""

import itertools
import queue
import threading
import typing

from sycamorefield import events
from sycamorefield.fleet import answers
from sycamorefield.fleet import clock
from sycamorefield.fleet import crashes
from sycamorefield.fleet import messages
from sycamorefield.fleet import reports
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import surroundings
from sycamorefield.fleet import usage
from sycamorefield.fleet import workerstate
from sycamorefield import metrics

# How long a worker holds its report while nothing ends.  It bounds how long
# a dead worker goes unnoticed.
REPORT_WAIT_MS = 1200
# Tails are watched more closely where tasks that fill run beside tasks that
# serve, and most where one is near its target; the figures are half a second
# old anyway.
WATCHFUL_WAIT_MS = 800
WORRIED_WAIT_MS = 400
WORRIED_AT = 0.4
# The end of a trial shows in a report, and others wait for the worker.
TRIAL_WAIT_MS = 150
RETRY_PAUSE_S = 0.15
# A report repeats ends until they are recorded; asking again before that
# would be answered at once.
RECORD_WAIT_S = 0.4
START_TRIES = 2
# An address that refuses this many connections in a row, 0.15 s apart, has
# no process any more.
REFUSALS_TO_END = 2
NO_LEASE = "no lease may be given"

MayAct = typing.Callable[[], bool]


class OrderQueue:
    """Hold orders until they are sent: stops first, others as they came.

    A stop behind starts that wait lets a cancelled task run on meanwhile; a
    start whose run was stopped before it was sent is then not sent at all.
    """

    def __init__(self) -> None:
        self.waiting: queue.PriorityQueue[
            tuple[bool, int, state_mod.Order | None]] = queue.PriorityQueue()
        self.numbers = itertools.count()

    def put(self, order: state_mod.Order | None) -> None:
        """Add an order; None ends the queue at once."""
        urgent = order is None or isinstance(order, messages.StopOrder)
        self.waiting.put((not urgent, next(self.numbers), order))

    def put_behind(self, order: state_mod.Order) -> None:
        """Add an order that failed behind all that wait."""
        self.waiting.put((True, next(self.numbers), order))

    def get(self) -> state_mod.Order | None:
        """Wait for the next order."""
        return self.waiting.get()[2]


class WorkerLink:
    """Hold the two tasks that speak to one worker."""

    def __init__(self, entry: messages.WorkerEntry,
                 worker: surroundings.Worker, fleet: state_mod.FleetState,
                 may_act: MayAct, may_lease: MayAct,
                 deposed: typing.Callable[[str], None]) -> None:
        self.worker_id = entry.worker_id
        self.worker = worker
        self.fleet = fleet
        self.may_act = may_act
        self.may_lease = may_lease
        self.deposed = deposed
        self.closed = False
        self.refusals = 0
        self.recorded = threading.Event()
        self.recorded_upto = 0
        self.orders = OrderQueue()

    def start(self) -> None:
        """Begin both tasks."""
        for target in (self._reports, self._orders):
            threading.Thread(target=self._guarded, args=(target,),
                             daemon=True).start()

    def _guarded(self, target: typing.Callable[[], None]) -> None:
        """Hand the fleet over on an unexpected error.

        A worker without one of its tasks would keep its place, but its
        leases would run out or its starts would wait for ever.
        """
        try:
            target()
        except Exception as exc:
            events.emit(events.THREAD_FAILED, reason=repr(exc),
                        where=events.error_location(exc),
                        worker=self.worker_id)
            self.deposed("unexpected error")

    def close(self) -> None:
        """End both tasks after the calls under way."""
        self.closed = True
        self.orders.put(None)
        self.recorded.set()

    def mark_seen(self, number: int) -> None:
        """Let the worker forget ends up to a number: they are stored."""
        if number > self.recorded_upto:
            self.recorded_upto = number
            self.recorded.set()

    def _until(self) -> float | None:
        """Return the end of a lease given now, or None to give none.

        A silent worker is only asked: a call without an answer may still be
        carried out, and with a lease in each try its tasks could never be
        counted as over.

        The lease counts from before the check that it may be given.  If the
        VM is frozen or waits for the lock in between, the lease gets shorter
        instead of outlasting what a successor waits for it.
        """
        now = clock.now()
        if not self.may_lease():
            return None
        with self.fleet.lock:
            worker = self.fleet.workers.get(self.worker_id)
            if worker is None or worker.silent:
                return None
            return worker.lease_until(
                min(workerstate.LEASE_MS, self.fleet.hold_max_ms), now)

    def _wait_ms(self) -> int:
        with self.fleet.lock:
            worker = self.fleet.workers.get(self.worker_id)
            if worker is None or not worker.reported or worker.silent:
                return 0
            if self.fleet.without_store:
                return WORRIED_WAIT_MS
            if self.fleet.trials.on(self.worker_id):
                return TRIAL_WAIT_MS
            if worker.serving and worker.filling_cpu:
                worst = max((t.ratio for t in worker.tails), default=1.0)
                return (WORRIED_WAIT_MS if worst > WORRIED_AT
                        else WATCHFUL_WAIT_MS)
            return REPORT_WAIT_MS

    def _reports(self) -> None:
        while not self.closed and self.may_act():
            sent = clock.now()
            self.recorded.clear()
            try:
                report = self.worker.renew(
                    self.fleet.fence, self.recorded_upto, self._until(),
                    self._wait_ms())
            except surroundings.OtherIncarnation:
                crashes.worker_reborn(self.fleet, self.worker_id)
                return
            except surroundings.OrderRejected as exc:
                if self._fenced(exc):
                    return
                self._failed(exc)
                continue
            except surroundings.NobodyListens as exc:
                if self._nobody_listens(exc):
                    return
                continue
            except surroundings.CallFailed as exc:
                self._failed(exc)
                continue
            if self.closed:
                return
            self.refusals = 0
            came = clock.now()
            new_ends = reports.take(self.fleet, self.worker_id, report, sent,
                                    came)
            metrics.CALLS.record(usage.REPORT, clock.now() - came)
            if new_ends or report.ended:
                self.recorded.wait(RECORD_WAIT_S)

    def _nobody_listens(self, exc: surroundings.NobodyListens) -> bool:
        """Note a refused connection; tell if the worker has ended.

        Its tasks then run elsewhere within half a second instead of when its
        leases are over, some seconds later.
        """
        self.refusals += 1
        if (self.refusals >= REFUSALS_TO_END
                and self.fleet.was_used(self.worker_id)):
            crashes.worker_refuses(self.fleet, self.worker_id)
            return True
        self._failed(exc)
        return False

    def _fenced(self, exc: surroundings.OrderRejected) -> bool:
        """Step down if a rejection shows that there is a successor."""
        if exc.reason != surroundings.FENCED:
            return False
        self.deposed(f"fenced by worker {self.worker_id}")
        return True

    def _failed(self, exc: Exception) -> None:
        self.fleet.worker_silent(
            self.worker_id, str(exc),
            isinstance(exc, surroundings.ConnectionClosed))
        threading.Event().wait(RETRY_PAUSE_S)

    def _orders(self) -> None:
        while True:
            order = self.orders.get()
            if order is None or self.closed:
                return
            try:
                self._send(order)
            except surroundings.OtherIncarnation:
                crashes.worker_reborn(self.fleet, self.worker_id)
                return

    def _send(self, order: state_mod.Order) -> None:
        if isinstance(order, messages.StartOrder):
            self._send_start(order)
        elif isinstance(order, messages.StopOrder):
            self._send_stop(order)
        else:
            self._send_pace(order)

    def _send_start(self, order: messages.StartOrder) -> None:
        never_began = True
        for attempt in range(START_TRIES):
            if not self.may_act():
                return
            if attempt == 0 and not answers.still_wanted(
                    self.fleet, self.worker_id, order):
                return
            until = self._until()
            if until is None and attempt == 0:
                answers.rejected(self.fleet, self.worker_id, order, NO_LEASE,
                                 clock.now())
                return
            if until is None:
                # The first try may still be carried out.
                break
            try:
                clock_ms = self.worker.start(order, self.fleet.fence, until)
                answers.started(self.fleet, self.worker_id, order, clock_ms,
                                clock.now())
                return
            except surroundings.OrderRejected as exc:
                if not self._fenced(exc):
                    self._rejected(order, exc.reason, attempt)
                return
            except surroundings.CallFailed as exc:
                never_began &= isinstance(exc, surroundings.NobodyListens)
                events.emit(events.RUN_UNCERTAIN, task=str(order.task),
                            run=order.run, worker=self.worker_id,
                            reason=str(exc))
        answers.uncertain(self.fleet, self.worker_id, order, never_began)

    def _rejected(self, order: messages.StartOrder, reason: str,
                  attempt: int) -> None:
        if attempt:
            # The first try may have been carried out and have ended since,
            # or may still be; only a stop settles it.
            answers.uncertain(self.fleet, self.worker_id, order)
            return
        answers.rejected(self.fleet, self.worker_id,
                         order, reason, clock.now())

    def _send_stop(self, order: messages.StopOrder) -> None:
        """Send a stop; without an answer put it behind what else waits.

        Until it is answered the run may still begin, so giving up would
        keep its task from ever running again.
        """
        if not self.may_act():
            return
        try:
            self.worker.stop(order, self.fleet.fence)
            answers.stopped(self.fleet, self.worker_id, order, clock.now())
        except surroundings.OrderRejected as exc:
            if not self._fenced(exc):
                self._failed(exc)
                self.orders.put_behind(order)
        except surroundings.CallFailed as exc:
            self._failed(exc)
            self.orders.put_behind(order)

    def _send_pace(self, order: messages.PaceOrder) -> None:
        if not self.may_act():
            return
        try:
            self.worker.pace(order, self.fleet.fence)
        except surroundings.OrderRejected as exc:
            self._fenced(exc)
        except surroundings.CallFailed:
            # The next report shows whether the tail came down; the pace is
            # sent again with the next change.
            events.emit(events.RUN_UNCERTAIN, task=str(order.task),
                        run=order.run, worker=self.worker_id,
                        reason="pace got no answer")
