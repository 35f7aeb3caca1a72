"""Ask which workers a step may run on, and keep the tickets that say so.

Some queues have a policy that only an advice service knows.  It answers one
call at a time for each calling VM and takes a while for each worker named,
so calls name the workers that have most room, and no more than a step needs.
"""

import dataclasses
import threading
import typing

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages

# Workers named in one call.  The objective of a job leaves time for one call
# on 30 workers a step.
WORKERS_PER_CALL = 30
# A ticket is used until this long before it ends: a start takes some
# milliseconds on its way, and one that comes too late is rejected.
USE_BEFORE_END_S = 0.5
RETRY_PAUSE_S = 0.2
IDLE_WAIT_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Allow starts of a step on one worker until a moment of clock.now()."""

    text: str
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """Ask about one step and some workers."""

    step: messages.StepId
    workers: tuple[str, ...]
    policy: messages.AdvicePolicy


class AdviceBook:
    """Hold what was advised, and ask what placing wants to know."""

    def __init__(self, service: interfaces.AdviceService | None) -> None:
        self.service = service
        self.lock = threading.Condition()
        self.tickets: dict[messages.StepId, dict[str, Ticket]] = {}
        self.unfit: dict[messages.StepId, set[str]] = {}
        self.wanted: dict[messages.StepId, Question] = {}
        self.answered: typing.Callable[[], None] = lambda: None

    def valid(self, step: messages.StepId, now: float) -> dict[str, str]:
        """Return the tickets that can still be used, by worker."""
        with self.lock:
            return {worker_id: ticket.text for worker_id, ticket
                    in self.tickets.get(step, {}).items()
                    if ticket.until - USE_BEFORE_END_S > now}

    def want(self, step: messages.StepId, workers: typing.Iterable[str],
             policy: messages.AdvicePolicy, now: float) -> None:
        """Ask about those of some workers that nothing is known of."""
        valid = self.valid(step, now)
        with self.lock:
            unfit = self.unfit.get(step, set())
            names = [w for w in workers if w not in valid
                     and w not in unfit][:WORKERS_PER_CALL]
            if names and step not in self.wanted:
                self.wanted[step] = Question(step, tuple(names), policy)
                self.lock.notify_all()

    def drop(self, step: messages.StepId, worker_id: str) -> None:
        """Forget a ticket that the worker did not take."""
        with self.lock:
            self.tickets.get(step, {}).pop(worker_id, None)

    def forget(self, job_id: str) -> None:
        """Forget all about a job that has ended."""
        with self.lock:
            for step in [s for s in self.unfit if s.job_id == job_id]:
                del self.unfit[step]
                self.tickets.pop(step, None)
            for step in [s for s in self.wanted if s.job_id == job_id]:
                del self.wanted[step]

    def run(self, over: threading.Event) -> None:
        """Ask question after question until told that it is over."""
        while not over.is_set():
            question = self._next()
            if question is None:
                continue
            if not self.ask(question):
                over.wait(RETRY_PAUSE_S)

    def _next(self) -> Question | None:
        with self.lock:
            if not self.wanted:
                self.lock.wait(IDLE_WAIT_S)
            return next(iter(self.wanted.values()), None)

    def ask(self, question: Question) -> bool:
        """Ask one question; tell whether it was answered."""
        try:
            if self.service is None:
                raise interfaces.CallRefused("no advice service is set")
            advised = self.service.advise(str(question.step), question.workers,
                                          question.policy)
        except interfaces.CallFailed as exc:
            events.emit(events.ADVICE_MISSING, step=str(question.step),
                        reason=str(exc))
            return False
        good = advised.tickets
        valid_ms = (question.policy.valid_ms if advised.valid_ms is None
                    else advised.valid_ms)
        # A ticket is made out when the service answers.
        until = clock.now() + valid_ms / 1000.0
        events.emit(events.ADVICE_GIVEN, step=str(question.step),
                    asked=len(question.workers), good=len(good))
        with self.lock:
            if question.step not in self.wanted:
                # The job has ended meanwhile.
                return True
            tickets = self.tickets.setdefault(question.step, {})
            for worker_id, text in good.items():
                tickets[worker_id] = Ticket(text, until)
            self.unfit.setdefault(question.step, set()).update(
                set(question.workers) - set(good))
            del self.wanted[question.step]
        self.answered()
        return True
