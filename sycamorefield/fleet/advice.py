"""Request advice on which workers may run a step, and cache its tickets.

The policy of some queues is known only to an advice service.  It answers one
call at a time for each calling VM and takes some time for each worker named,
so calls name first the workers on which the step could run now.
"""

import dataclasses
import heapq
import math
import threading
import typing

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages

# The latency objective of a job allows one call with 30 workers per step.
MAX_WORKERS_PER_CALL = 30
# Tickets are used until this long before they expire: a start takes some
# milliseconds to arrive and is rejected if the ticket has expired by then.
EXPIRY_MARGIN_S = 0.5
RETRY_DELAY_S = 0.2
# A failed call is repeated sooner than this while advice is still needed.
MAX_FAILURE_AGE_S = 3.0
MAX_IDLE_WAIT_S = 0.5


@dataclasses.dataclass(slots=True)
class Ticket:
    """Permission to start a step on one worker.

    valid_until is a time of clock.now(), in seconds.
    """

    text: str
    valid_until: float
    # Whether a round that could use it started no task there, although the
    # worker had the capacity.
    passed_over: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceRequest:
    """A request for advice on one step and some workers.

    Advice on workers whose lives have ended since it was queued is discarded.
    """

    step: messages.StepId
    workers: tuple[str, ...]
    policy: messages.AdvicePolicy
    ended_workers: set[str] = dataclasses.field(default_factory=set)


def policy_of(job: messages.Job, queue: messages.Queue | None
              ) -> messages.AdvicePolicy | None:
    """Return the policy for a job, also if its queue was removed."""
    return job.advice if queue is None else queue.advice


class AdviceCache:
    """Cache advice, and request what placement needs."""

    def __init__(self, service: interfaces.AdviceService | None) -> None:
        self.service = service
        self.lock = threading.Condition()
        self.tickets: dict[messages.StepId, dict[str, Ticket]] = {}
        self.rejected_workers: dict[messages.StepId, set[str]] = {}
        self.pending: dict[messages.StepId, AdviceRequest] = {}
        self.on_answer: typing.Callable[[], None] = lambda: None
        # Whether the last call failed.
        self.failing = False
        # When the first and the last one failed since there was a connection
        # to the service, if any did.
        self.unconnected_since = math.inf
        self.unconnected_at = -math.inf

    def valid_tickets(self, step: messages.StepId,
                      now: float) -> dict[str, str]:
        """Return the usable tickets for a step, by worker."""
        with self.lock:
            return {worker_id: ticket.text for worker_id, ticket
                    in self.tickets.get(step, {}).items()
                    if ticket.valid_until - EXPIRY_MARGIN_S > now}

    def is_pending(self, step: messages.StepId) -> bool:
        """Return whether a request for advice on a step is queued or sent."""
        with self.lock:
            return step in self.pending

    def known_workers(self, step: messages.StepId, now: float) -> set[str]:
        """Return the workers on which advice for a step is cached."""
        with self.lock:
            return self._known_workers(step, now)

    def _known_workers(self, step: messages.StepId, now: float) -> set[str]:
        known = set(self.rejected_workers.get(step, ()))
        known.update(worker_id for worker_id, ticket
                     in self.tickets.get(step, {}).items()
                     if ticket.valid_until - EXPIRY_MARGIN_S > now)
        return known

    def pass_over(self, step: messages.StepId,
                  workers: typing.Iterable[str]) -> None:
        """Record that a step was not placed on workers with tickets."""
        with self.lock:
            tickets = self.tickets.get(step, {})
            for worker_id in workers:
                if worker_id in tickets:
                    tickets[worker_id].passed_over = True

    def request_advice(self, step: messages.StepId,
                       fitting: typing.Iterable[str],
                       policy: messages.AdvicePolicy, now: float,
                       others: typing.Iterable[str] = ()) -> None:
        """Queue a request for those of some workers without cached advice.

        It names first those that fit and have not been passed over, then the
        ones of which the last ticket is the oldest.  Otherwise tickets of
        some workers could expire, and be requested again, before any call
        names the others.
        """
        with self.lock:
            if step in self.pending:
                return
            known_workers = self._known_workers(step, now)
            last_tickets = self.tickets.get(step, {})
            ranked: list[tuple[bool, float, int, str]] = []
            for fits, workers in ((True, fitting), (False, others)):
                for worker_id in workers:
                    if worker_id in known_workers:
                        continue
                    last = last_tickets.get(worker_id)
                    passed_over = last is not None and last.passed_over
                    ranked.append((
                        not fits or passed_over,
                        last.valid_until if last is not None else 0.0,
                        len(ranked), worker_id))
            named = heapq.nsmallest(MAX_WORKERS_PER_CALL, ranked)
            if named:
                self.pending[step] = AdviceRequest(
                    step, tuple(entry[-1] for entry in named), policy)
                self.lock.notify_all()

    def discard_ticket(self, step: messages.StepId, worker_id: str) -> None:
        """Discard a ticket that the worker rejected."""
        with self.lock:
            self.tickets.get(step, {}).pop(worker_id, None)

    def forget_worker(self, worker_id: str) -> None:
        """Discard advice on a worker whose life has ended.

        Tickets are of no use to its next life, which may be of another kind.
        """
        with self.lock:
            for tickets in self.tickets.values():
                tickets.pop(worker_id, None)
            for rejected_workers in self.rejected_workers.values():
                rejected_workers.discard(worker_id)
            for request in self.pending.values():
                request.ended_workers.add(worker_id)

    def forget_job(self, job_id: str) -> None:
        """Discard advice and requests for a job that has ended."""
        with self.lock:
            for step in [s for s in self.rejected_workers
                         if s.job_id == job_id]:
                del self.rejected_workers[step]
                self.tickets.pop(step, None)
            for step in [s for s in self.pending if s.job_id == job_id]:
                del self.pending[step]

    def run(self, stop_event: threading.Event) -> None:
        """Send pending requests until the event is set."""
        while not stop_event.is_set():
            request = self._next_request()
            if request is None:
                continue
            if not self.fetch(request):
                stop_event.wait(RETRY_DELAY_S)

    def _next_request(self) -> AdviceRequest | None:
        with self.lock:
            if not self.pending:
                self.lock.wait(MAX_IDLE_WAIT_S)
            return next(iter(self.pending.values()), None)

    def fetch(self, request: AdviceRequest) -> bool:
        """Send a request; return whether it was answered."""
        with self.lock:
            workers = tuple(w for w in request.workers
                            if w not in request.ended_workers)
            if not workers:
                self.pending.pop(request.step, None)
        if not workers:
            self.on_answer()
            return True
        try:
            if self.service is None:
                raise interfaces.CallRefused("no advice service is set")
            advice = self.service.advise(str(request.step), workers,
                                         request.policy)
        except interfaces.CallFailed as exc:
            events.emit(events.ADVICE_MISSING, step=str(request.step),
                        reason=str(exc))
            with self.lock:
                # The next round requests it again if it is still needed, for
                # the workers of that time, and other steps are not held up.
                self.pending.pop(request.step, None)
            self.failing = True
            self._note_connection(exc)
            return False
        self.failing = False
        self._note_connection(None)
        events.emit(events.ADVICE_GIVEN, step=str(request.step),
                    asked=len(workers), good=len(advice.tickets))
        if self._store(request, workers, advice):
            self.on_answer()
        return True

    def _note_connection(self, failure: interfaces.CallFailed | None) -> None:
        if isinstance(failure, interfaces.NotConnected):
            self.unconnected_at = clock.now()
            self.unconnected_since = min(
                self.unconnected_since, self.unconnected_at)
        elif failure is None or isinstance(failure, interfaces.CallRefused):
            # The service has answered.
            self.unconnected_since = math.inf

    def unconnected_s(self, now: float) -> float:
        """Return for how long calls that are needed get no connection."""
        if now - self.unconnected_at > MAX_FAILURE_AGE_S:
            return 0.0
        return max(0.0, now - self.unconnected_since)

    def _store(self, request: AdviceRequest, workers: tuple[str, ...],
               advice: messages.Advice) -> bool:
        """Cache advice on some workers; return whether it is still needed."""
        valid_ms = (request.policy.valid_ms if advice.valid_ms is None
                    else advice.valid_ms)
        # Tickets are issued when the service answers.
        valid_until = clock.now() + valid_ms / 1000.0
        with self.lock:
            if request.step not in self.pending:
                # The job has ended in the meantime.
                return False
            tickets = self.tickets.setdefault(request.step, {})
            for worker_id, text in advice.tickets.items():
                if worker_id not in request.ended_workers:
                    tickets[worker_id] = Ticket(text, valid_until)
            self.rejected_workers.setdefault(request.step, set()).update(
                set(workers) - set(advice.tickets) - request.ended_workers)
            del self.pending[request.step]
        return True
