"""Track which data centres operators are evacuating."""

import dataclasses
import typing

from sycamorefield import events
from sycamorefield.fleet import messages

# Returns the data centre that a request asks to evacuate, or None if the key
# is not that of such a request; raises ValueError if it is unreadable.
DecodeEvacuation = typing.Callable[[str, bytes], str | None]


@dataclasses.dataclass(frozen=True, slots=True)
class _KeyState:
    """What is known of a key as of a revision of the store.

    data_centre is empty if there is no readable request under the key.
    """

    revision: int
    data_centre: str


class Evacuations:
    """Hold the requests to evacuate data centres, read in any order.

    A read that is older than what is known of a key changes nothing.
    """

    def __init__(self, decode: DecodeEvacuation) -> None:
        self.decode = decode
        self.states_by_key: dict[str, _KeyState] = {}
        self.data_centres: frozenset[str] = frozenset()

    def apply_item(self, item: messages.Item) -> None:
        """Apply an item under any key."""
        known = self.states_by_key.get(item.key)
        if known is not None and item.revision <= known.revision:
            return
        try:
            data_centre = self.decode(item.key, item.value)
        except Exception as exc:
            # Whatever the error, the other keys must still be watched.
            events.emit(events.ENTRY_UNREADABLE, key=item.key,
                        reason=str(exc))
            data_centre = ""
        if data_centre is not None:
            self._set(item.key, item.revision, data_centre)

    def apply_removal(self, key: str, revision: int) -> None:
        """Apply the removal of any key."""
        known = self.states_by_key.get(key)
        if known is not None and revision > known.revision:
            self._set(key, revision, "")

    def apply_listing(self, listing: messages.Listing) -> None:
        """Apply a listing of all keys: those that it lacks are removed."""
        listed_keys = {item.key for item in listing.items}
        for key in list(self.states_by_key):
            if key not in listed_keys:
                self.apply_removal(key, listing.revision)
        for item in listing.items:
            self.apply_item(item)

    def _set(self, key: str, revision: int, data_centre: str) -> None:
        self.states_by_key[key] = _KeyState(revision, data_centre)
        before = self.data_centres
        self.data_centres = frozenset(
            state.data_centre for state in self.states_by_key.values()
            if state.data_centre)
        for begun in sorted(self.data_centres - before):
            events.emit(events.EVACUATION_BEGUN, data_centre=begun,
                        revision=revision)
        for ended in sorted(before - self.data_centres):
            events.emit(events.EVACUATION_ENDED, data_centre=ended,
                        revision=revision)
