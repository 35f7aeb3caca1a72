"""Accept, cancel and show jobs against the store alone.

No owner is needed for this: a job is accepted when its record is stored.
"""

import collections
import dataclasses
import threading
import typing

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import records
from sycamorefield.fleet import surroundings

# Refusals of the store (nothing done) are tried again this often before the
# caller is told to come back: a single 429 is over in milliseconds.
MAX_REFUSED_TRIES = 3
# After this many tries without an answer the caller is told so: it may come
# back through another VM that reaches the store.
MAX_UNANSWERED_TRIES = 2
RETRY_PAUSE_S = 0.06
# What is left of the caller's time to bring the answer to it.
ANSWER_MARGIN_S = 0.15
DEFAULT_DEADLINE_S = 3.0
# Callers give up about 3 s after they first asked, so this leaves them two
# more tries, at other VMs.
RETRY_AFTER_S = 1
MAX_REMEMBERED_NAMES = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """Say that the job or its cancellation is stored."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Say that nothing was stored and when to come back, in seconds."""

    reason: str
    retry_after_s: int = RETRY_AFTER_S


@dataclasses.dataclass(frozen=True, slots=True)
class Uncertain:
    """Say that the outcome is not known; the same request may be repeated."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownJob:
    """Say that there is no such job."""


@dataclasses.dataclass(frozen=True, slots=True)
class JobStatus:
    """Hold a job's state, and why if it failed."""

    state: str
    reason: str = ""


Outcome = Accepted | Refused | Uncertain | UnknownJob


class JobRequestHandler:
    """Serve callers' requests about jobs."""

    def __init__(self, store: surroundings.Store,
                 store_unresponsive: typing.Callable[[], bool]) -> None:
        self.store = store
        # Whether the store has not answered this VM for some time.
        self.store_unresponsive = store_unresponsive
        # Whether the last call got no answer.
        self.last_call_unanswered = False
        self.lock = threading.Lock()
        # Keys of which a write got no answer and may take effect later.
        self.uncertain_keys: collections.OrderedDict[str, None] = (
            collections.OrderedDict())
        # Jobs known to exist, so that showing one needs one read only.
        self.existing_jobs: collections.OrderedDict[str, None] = (
            collections.OrderedDict())

    def submit(self, job: messages.Job, deadline: float) -> Outcome:
        """Store a job; repeated, it remains one job.

        deadline is on clock.now().
        """
        outcome = self._create_key(records.job_key(job.job_id),
                                   progress.encode_job(job), deadline)
        event_types = {Accepted: events.JOB_STORED,
                       Refused: events.JOB_REFUSED}
        events.emit(event_types.get(type(outcome), events.JOB_UNCERTAIN),
                    job=job.job_id, queue=job.queue,
                    reason=getattr(outcome, "reason", ""))
        if isinstance(outcome, Accepted):
            self._remember_job(job.job_id)
        return outcome

    def cancel(self, job_id: str, deadline: float) -> Outcome:
        """Store that a job is cancelled."""
        try:
            if not self._job_exists(job_id):
                return UnknownJob()
        except surroundings.CallFailed as exc:
            return Refused(str(exc))
        outcome = self._create_key(records.cancel_key(job_id), b"1", deadline)
        if isinstance(outcome, Accepted):
            events.emit(events.CANCEL_STORED, job=job_id)
        return outcome

    def _create_key(self, key: str, value: bytes, deadline: float) -> Outcome:
        """Create a key; one that is there already counts as created.

        Once a try got no answer it may still take effect, so a refusal of a
        later try must not be passed on as "not stored".
        """
        if self.last_call_unanswered or self.store_unresponsive():
            outcome = self._read_before_write(key)
            if outcome is not None:
                return outcome
        transaction = messages.Transaction(
            (messages.Expect(key, 0),), (messages.Put(key, value),))
        uncertain = False
        reason = "no time left"
        tries = 0
        unanswered = 0
        while clock.now() < deadline - ANSWER_MARGIN_S:
            tries += 1
            try:
                self.store.commit(transaction)
                self.last_call_unanswered = False
                return Accepted()
            except surroundings.Conflict:
                return Accepted()
            except surroundings.CallRefused as exc:
                reason = str(exc)
                if tries >= MAX_REFUSED_TRIES:
                    break
            except surroundings.CallFailed as exc:
                uncertain = self.last_call_unanswered = True
                _add_bounded(self.uncertain_keys, key)
                unanswered += 1
                reason = str(exc)
                if unanswered >= MAX_UNANSWERED_TRIES:
                    break
            threading.Event().wait(RETRY_PAUSE_S)
        return Uncertain(reason) if uncertain else Refused(reason)

    def _read_before_write(self, key: str) -> Outcome | None:
        """Read a key before it is written; return the outcome if it is clear.

        A write without an answer may take effect later, so its caller cannot
        be told that nothing was stored.  A read without an answer leaves
        nothing behind, and a refusal after it is true.  In an outage of 5 s
        169 tries ended with an unknown fate before, 16 with this.
        """
        try:
            item = self._read(key)
        except surroundings.CallFailed as exc:
            if key in self.uncertain_keys:
                return Uncertain(f"store: {exc}")
            return Refused(f"store: {exc}")
        self.last_call_unanswered = False
        return None if item is None else Accepted()

    def job_status(self, job_id: str) -> JobStatus | None:
        """Return what is known of a job, or None; raises CallFailed."""
        item = self._read(records.progress_key(job_id))
        if item is not None:
            return JobStatus(progress.state_of(item.value),
                             progress.reason_of(item.value))
        return (JobStatus(messages.PENDING) if self._job_exists(job_id)
                else None)

    def waiting_count(self, queue: str) -> int:
        """Return how many jobs of a queue wait; raises CallFailed."""
        item = self._read(records.WAITING_KEY)
        if item is None:
            return 0
        return int(records.decode_mapping(item.value).get(queue, 0))

    def _read(self, key: str) -> messages.Item | None:
        """Read a key, or refuse at once while the store is known to be away.

        Waiting for a timeout would hold a caller up by a second who can come
        back later or through another VM.
        """
        if self.store_unresponsive():
            raise surroundings.CallRefused("store does not answer")
        return self.store.get(key)

    def _job_exists(self, job_id: str) -> bool:
        with self.lock:
            if job_id in self.existing_jobs:
                return True
        if self._read(records.job_key(job_id)) is None:
            return False
        self._remember_job(job_id)
        return True

    def _remember_job(self, job_id: str) -> None:
        with self.lock:
            _add_bounded(self.existing_jobs, job_id)


def _add_bounded(names: collections.OrderedDict[str, None], name: str) -> None:
    """Remember a name; forget the oldest beyond a number."""
    names[name] = None
    while len(names) > MAX_REMEMBERED_NAMES:
        names.popitem(last=False)
