"""Watch the operators' requests and the owner's key in the store."""

import dataclasses
import threading
import typing

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import evacuations as evacuations_mod
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.fleet import ownerchanges
from sycamorefield.fleet import recentstarts
from sycamorefield.fleet import records
from sycamorefield.fleet import relays as relays_mod

# The longest that one watch call waits for changes.  A watch may stop
# delivering changes before its connection fails.  As each call is this short,
# and the keys are listed again with a linearizable read after a failure, a
# change is seen at most this long after it was made.
WATCH_WAIT_MS = 1000
RETRY_PAUSE_S = 0.1
# How long the watch may take to deliver a change while the store answers as
# usual.
WATCH_DELAY_S = 0.2

DecodeConfiguration = typing.Callable[[bytes], messages.Configuration]


def no_evacuations(key: str, value: bytes) -> str | None:
    """Take no key for a request to evacuate a data centre."""
    return None


class ControlWatcher:
    """Hold the latest configuration and owner's key read from the store."""

    def __init__(self, store: interfaces.Store, config_key: str,
                 decode: DecodeConfiguration,
                 decode_evacuation: evacuations_mod.DecodeEvacuation
                 = no_evacuations, own_relay_key: str = "",
                 own_start_key: str = "") -> None:
        self.store = store
        self.config_key = config_key
        self.decode = decode
        self.latest_configuration = messages.Configuration()
        self.evacuations = evacuations_mod.Evacuations(decode_evacuation)
        self.config_revision = 0
        self.configuration_known = False
        self.owner_item: messages.Item | None = None
        self.owner_known = False
        # The store's revision as of which the owner's key is known.
        self.owner_revision = 0
        self.owner_changes = ownerchanges.OwnerChanges()
        # The owner's request to take over the fleet, and an offer to do so.
        self.handover_request: messages.Item | None = None
        self.handover_offer: messages.Item | None = None
        # The owner's request for relays, and the offers of other processes.
        self.relay_request: messages.Item | None = None
        self.relays = relays_mod.RelayDirectory(own_relay_key)
        self.recent_starts = recentstarts.RecentStarts(own_start_key)
        # The last release of the owner's key at a planned stop.
        self.planned_release: messages.Item | None = None
        self.last_answer_at = 0.0
        self.store_reachable = True
        self.owner_changed = threading.Condition()
        self.stopped = threading.Event()

    def configuration(self) -> messages.Configuration:
        """Return the latest configuration read from the store."""
        return self.latest_configuration

    def owner_claim(self) -> int | None:
        """Return the revision at which the owner claimed the fleet, if any."""
        item = self.owner_item
        return None if item is None else item.revision

    def stopped_owner(self) -> bytes:
        """Return the process whose planned stop left the key free, if any.

        The key and the record of the release change at one revision, unlike
        when the key expires with its lease.
        """
        release = self.planned_release
        if (self.owner_item is None and release is not None
                and release.revision == self.owner_revision):
            return release.value
        return b""

    def planned_release_revision(self) -> int:
        """Return the revision of the last planned release, or 0."""
        release = self.planned_release
        return 0 if release is None else release.revision

    def run(self) -> None:
        """List and watch the keys until stopped.

        The keys are listed again after each failure of the watch.
        """
        while not self.stopped.is_set():
            try:
                self._watch_changes(self._list_keys())
            except interfaces.HistoryCompacted:
                continue
            except interfaces.CallFailed as exc:
                self._note_store_lost(str(exc))
                self.stopped.wait(RETRY_PAUSE_S)
            except Exception as exc:
                # Without this thread, the process would never learn that the
                # owner's key is free.
                events.emit(events.THREAD_FAILED, reason=repr(exc),
                            where=events.error_location(exc))
                self._note_store_lost(repr(exc))
                self.stopped.wait(RETRY_PAUSE_S)

    def _list_keys(self) -> int:
        listing = self.store.listing(records.WATCHED_PREFIX)
        # What a listing shows first may have changed at any time since.
        known_at = self.last_answer_at
        self._note_store_answered()
        items_by_key = {item.key: item for item in listing.items}
        # Whoever claims the fleet must know the evacuations first.
        self.evacuations.apply_listing(listing)
        for item in listing.items:
            self._apply_configuration(item.key, item)
        self._publish_evacuations()
        self.relays.apply_listing(listing.items)
        self.recent_starts.apply_listing(listing.items)
        self.planned_release = items_by_key.get(records.PLANNED_RELEASE_KEY)
        for key in (records.HANDOVER_REQUEST_KEY, records.HANDOVER_OFFER_KEY,
                    records.RELAY_REQUEST_KEY):
            self._set_handover(key, items_by_key.get(key))
        owner_item = items_by_key.get(records.OWNER_KEY)
        if owner_item is not None:
            self.owner_changes.add(owner_item.revision, known_at)
            self.owner_changes.add_seen(owner_item.revision, clock.now())
        elif self.owner_item is not None or not self.owner_revision:
            # There is no owner any more for what is stored by now.
            self.owner_changes.add(listing.revision + 1, known_at)
        self._set_owner(owner_item, listing.revision)
        return listing.revision

    def _watch_changes(self, revision: int) -> None:
        while not self.stopped.is_set():
            response = self.store.watch(records.WATCHED_PREFIX, revision,
                                        WATCH_WAIT_MS)
            self._note_store_answered()
            for change in response.changes:
                # Only a change may advance the revision: a stalled watch
                # returns empty answers although keys have changed.
                revision = max(revision, change.revision)
            self._apply_changes(response.changes)

    def _apply_changes(self, changes: typing.Iterable[messages.Change]
                       ) -> None:
        """Apply changes, those of a transaction with the owner's key last.

        Whoever sees the key free must know whether its release was planned.
        """
        for change in sorted(changes, key=lambda change: (
                change.revision, change.key == records.OWNER_KEY)):
            self._apply_change(change)

    def _apply_change(self, change: messages.Change) -> None:
        if change.key == records.OWNER_KEY:
            self.owner_changes.add(change.revision, clock.now())
            self.owner_changes.add_seen(change.revision, clock.now())
            self._set_owner(change.item, change.revision)
            return
        self._set_handover(change.key, change.item)
        self.relays.apply_change(change.key, change.item)
        self.recent_starts.apply_change(change.key, change.item)
        if change.key == records.PLANNED_RELEASE_KEY:
            self.planned_release = change.item
        if change.item is None:
            self.evacuations.apply_removal(change.key, change.revision)
        else:
            self.evacuations.apply_item(change.item)
            self._apply_configuration(change.key, change.item)
        self._publish_evacuations()

    def _note_store_answered(self) -> None:
        self.last_answer_at = clock.now()
        if not self.store_reachable:
            self.store_reachable = True
            events.emit(events.STORE_REACHABLE)

    def _note_store_lost(self, reason: str) -> None:
        if self.store_reachable:
            self.store_reachable = False
            self.owner_known = False
            events.emit(events.STORE_UNREACHABLE, reason=reason)

    def _apply_configuration(self, key: str, item: messages.Item) -> None:
        if key != self.config_key or item.revision <= self.config_revision:
            return
        try:
            decoded = self.decode(item.value)
        except Exception as exc:
            # Whatever the error, the owner's key must still be watched.
            events.emit(events.CONFIG_UNREADABLE, revision=item.revision,
                        reason=str(exc))
            return
        self.latest_configuration = dataclasses.replace(
            decoded, evacuated=self.evacuations.data_centres)
        self.config_revision = item.revision
        with self.owner_changed:
            # The fleet is claimed only by processes with a configuration.
            self.configuration_known = True
            self.owner_changed.notify_all()
        events.emit(events.CONFIG_APPLIED, version=decoded.version,
                    queues=len(decoded.queues), revision=item.revision)

    def _publish_evacuations(self) -> None:
        evacuated = self.evacuations.data_centres
        if evacuated != self.latest_configuration.evacuated:
            self.latest_configuration = dataclasses.replace(
                self.latest_configuration, evacuated=evacuated)

    def _set_handover(self, key: str, item: messages.Item | None) -> None:
        with self.owner_changed:
            if key == records.HANDOVER_REQUEST_KEY:
                self.handover_request = item
            elif key == records.HANDOVER_OFFER_KEY:
                self.handover_offer = item
            elif key == records.RELAY_REQUEST_KEY:
                self.relay_request = item
            else:
                return
            self.owner_changed.notify_all()

    def _set_owner(self, item: messages.Item | None, revision: int) -> None:
        with self.owner_changed:
            self.owner_item = item
            self.owner_known = True
            self.owner_revision = max(self.owner_revision, revision)
            self.owner_changed.notify_all()

    def apply_owner_read(self, item: messages.Item | None) -> None:
        """Apply a read of the owner's key unless newer state is known."""
        with self.owner_changed:
            if item is not None and item.revision < self.owner_revision:
                return
            self.owner_item = item
            self.owner_changed.notify_all()

    def apply_release_read(self, item: messages.Item | None) -> None:
        """Apply a read of the last planned release, made with the key's.

        The watch gets a while to deliver it first, together with the notices
        of starts before it.
        """
        with self.owner_changed:
            if item is None or self.owner_changed.wait_for(
                    lambda: item.revision <= self.planned_release_revision(),
                    WATCH_DELAY_S):
                return
            self.planned_release = item
            if self.owner_item is None:
                self.owner_revision = max(self.owner_revision, item.revision)
            self.owner_changed.notify_all()
