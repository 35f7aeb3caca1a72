"""Let the process that started last succeed an owner that stops as planned.

In a rolling restart, any other process may be the next to stop.  Each process
stores a notice once it can claim the fleet.  The revisions of the notices
order the starts, so no clocks are compared.
"""

import threading
import typing

import msgspec

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import records

if typing.TYPE_CHECKING:
    from sycamorefield.fleet import controlwatcher

# A notice ends this long after the start: longer than the time from one
# process's restart to the next in a rolling restart.
RECENT_START_S = 60.0
# How long a process leaves the claim to one that started after it.  A claim
# takes two calls to the store, 0.03 s in total when it answers as usual.  If
# the other process has ended without a word, the takeover is delayed by this
# much.
RECENT_START_PRIORITY_S = 0.15
# The pause before a notice that could not be stored is stored again.
RETRY_PAUSE_S = 2.0


class StartNotice(msgspec.Struct, frozen=True):
    """A process that has started, and how long its VM delays its claims."""

    identity: str
    claim_delay_s: float


def encode_notice(notice: StartNotice) -> bytes:
    """Return the stored form of a notice."""
    return msgspec.json.encode(notice)


def decode_notice(value: bytes) -> StartNotice:
    """Return a stored notice; raises ValueError if it is unreadable."""
    try:
        return msgspec.json.decode(value, type=StartNotice)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise ValueError(repr(exc)[:200]) from exc


class RecentStarts:
    """Hold the notices of all processes.  One thread applies changes.

    own_key is the key of this process's notice.
    """

    def __init__(self, own_key: str = "") -> None:
        self.own_key = own_key
        # Replaced as a whole, as other threads read it.
        self.notices: dict[str, tuple[int, StartNotice]] = {}

    def apply_listing(self, items: typing.Iterable[messages.Item]) -> None:
        """Replace all notices by those among some items."""
        self.notices = {}
        for item in items:
            self.apply_change(item.key, item)

    def apply_change(self, key: str, item: messages.Item | None) -> None:
        """Apply a change of a key if it is one of a notice."""
        if not key.startswith(records.START_PREFIX):
            return
        notices = dict(self.notices)
        notices.pop(key, None)
        if item is not None:
            try:
                notices[key] = item.revision, decode_notice(item.value)
            except ValueError as exc:
                events.emit(events.RECORD_UNREADABLE, key=key,
                            reason=str(exc))
        self.notices = notices

    def is_announced(self) -> bool:
        """Return whether this process's notice is stored."""
        return self.own_key in self.notices

    def has_later(self, claim_delay_s: float, stopped: bytes) -> bool:
        """Return whether another process started after this one.

        Those that delay their claims for longer, and the one that has
        stopped, do not count.  A process without a notice started long ago.
        """
        notices = self.notices
        own = notices.get(self.own_key)
        own_revision = own[0] if own else 0
        return any(
            revision > own_revision and notice.claim_delay_s <= claim_delay_s
            and notice.identity.encode() != stopped
            for revision, notice in notices.values())


class StartAnnouncement:
    """Store this process's notice, and remove it at a planned stop."""

    def __init__(self, store: interfaces.Store,
                 watcher: "controlwatcher.ControlWatcher", identity: bytes,
                 claim_delay_s: float) -> None:
        self.store = store
        self.watcher = watcher
        self.key = watcher.recent_starts.own_key
        self.notice = StartNotice(identity.decode(), claim_delay_s)
        self.started_at = clock.now()
        self.revision = 0
        self.stopped = threading.Event()

    def run(self) -> None:
        """Store the notice once this process can claim; remove it at a stop.

        If the store does not answer, the notice is stored later.
        """
        self._wait_until_able_to_claim()
        while (not self.stopped.is_set() and not self.revision
               and clock.now() - self.started_at < RECENT_START_S):
            try:
                self._announce()
            except (interfaces.CallFailed, interfaces.LeaseEnded) as exc:
                events.emit(events.STORE_UNREACHABLE,
                            reason=f"notice of a start: {exc}")
                self.stopped.wait(RETRY_PAUSE_S)
        self.stopped.wait()
        self._withdraw()

    def stop(self) -> None:
        """Let the thread remove the notice."""
        self.stopped.set()
        with self.watcher.owner_changed:
            self.watcher.owner_changed.notify_all()

    def _wait_until_able_to_claim(self) -> None:
        with self.watcher.owner_changed:
            while not self.stopped.is_set() and not (
                    self.watcher.owner_known
                    and self.watcher.configuration_known):
                self.watcher.owner_changed.wait(0.5)

    def _announce(self) -> None:
        lease = self.store.grant(int(RECENT_START_S * 1000))
        self.revision = self.store.commit(messages.Transaction(
            puts=(messages.Put(self.key, encode_notice(self.notice),
                               lease),)))

    def _withdraw(self) -> None:
        if not self.revision:
            return
        try:
            # The next process on this VM may have stored its notice.
            self.store.commit(messages.Transaction(
                (messages.Expect(self.key, self.revision),), (),
                (self.key,)))
        except interfaces.Conflict:
            return
        except (interfaces.CallFailed, interfaces.LeaseEnded) as exc:
            # The notice expires with its lease.
            events.emit(events.STORE_UNREACHABLE,
                        reason=f"notice of a start: {exc}")
