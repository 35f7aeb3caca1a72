"""Follow the operators' configuration and who owns the fleet."""

import threading
import typing

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import messages
from sycamorefield.fleet import records
from sycamorefield.fleet import surroundings

# A watch may go deaf before it is cut.  The list is read again, linearizably,
# after each cut, so a change is seen at most this long after it was made.
WATCH_MS = 1000
RETRY_PAUSE_S = 0.1

Decode = typing.Callable[[bytes], messages.Configuration]


class OperatorView:
    """Hold the newest configuration and the owner's key, as last seen."""

    def __init__(self, store: surroundings.Store, config_key: str,
                 decode: Decode) -> None:
        self.store = store
        self.config_key = config_key
        self.decode = decode
        self.current = messages.Configuration()
        self.config_revision = 0
        self.known = False
        self.owner: messages.Item | None = None
        self.owner_known = False
        # The owner's key is known as of this revision.
        self.owner_revision = 0
        self.answered_at = 0.0
        self.reachable = True
        self.changed = threading.Condition()
        self.stopped = threading.Event()

    def configuration(self) -> messages.Configuration:
        """Return the newest configuration seen."""
        return self.current

    def run(self) -> None:
        """Follow until stopped: list, then watch, then list again."""
        while not self.stopped.is_set():
            try:
                self._follow(self._read())
            except surroundings.HistoryGone:
                continue
            except surroundings.CallFailed as exc:
                self._lost(str(exc))
                self.stopped.wait(RETRY_PAUSE_S)

    def _read(self) -> int:
        listing = self.store.listing(records.WATCHED_PREFIX)
        self._answered()
        present = {item.key: item for item in listing.items}
        for item in listing.items:
            self._apply(item.key, item)
        self._set_owner(present.get(records.OWNER_KEY), listing.revision)
        return listing.revision

    def _follow(self, revision: int) -> None:
        while not self.stopped.is_set():
            found = self.store.watch(records.WATCHED_PREFIX, revision,
                                     WATCH_MS)
            self._answered()
            for change in found.changes:
                # Only changes move on: a deaf watch answers without any.
                revision = max(revision, change.revision)
                if change.key == records.OWNER_KEY:
                    self._set_owner(change.item, change.revision)
                elif change.item is not None:
                    self._apply(change.key, change.item)

    def _answered(self) -> None:
        self.answered_at = clock.now()
        if not self.reachable:
            self.reachable = True
            events.emit(events.STORE_REACHABLE)

    def _lost(self, reason: str) -> None:
        if self.reachable:
            self.reachable = False
            self.owner_known = False
            events.emit(events.STORE_UNREACHABLE, reason=reason)

    def _apply(self, key: str, item: messages.Item) -> None:
        if key != self.config_key or item.revision <= self.config_revision:
            return
        try:
            decoded = self.decode(item.value)
        except ValueError as exc:
            events.emit(events.CONFIG_UNREADABLE, revision=item.revision,
                        reason=str(exc))
            return
        self.current = decoded
        self.config_revision = item.revision
        self.known = True
        events.emit(events.CONFIG_APPLIED, version=decoded.version,
                    queues=len(decoded.queues), revision=item.revision)

    def _set_owner(self, item: messages.Item | None, revision: int) -> None:
        with self.changed:
            self.owner = item
            self.owner_known = True
            self.owner_revision = max(self.owner_revision, revision)
            self.changed.notify_all()

    def owner_read(self, item: messages.Item | None) -> None:
        """Take in the owner's key from an answer that may be late."""
        with self.changed:
            if item is not None and item.revision < self.owner_revision:
                return
            self.owner = item
            self.changed.notify_all()
