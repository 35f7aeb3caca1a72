"""Keep what an owner has learned for its successor, in one stored snapshot.

Without it a successor plans its first minute with declared estimates, without
known demand, and with workers that its predecessor had found to be slow.

A snapshot only speeds up learning.  So one that cannot be used in any way is
ignored, and no failure to read or write it may delay or end a term.
"""

import dataclasses
import json
import typing

from sycamorefield import events
from sycamorefield.fleet import messages

KIND = "sycamorefield learned state"
FORMAT = 1
# Time between two writes.  A successor lacks what was learned since the last
# one, which is little beside the windows of the parts (10 s and more).
WRITE_PERIOD_S = 5.0
# Bounds the time to write, read and decode a snapshot.
MAX_BYTES = 64 * 1024
# An older snapshot describes another load: demand and run times may have
# changed several times in this time.
MAX_AGE_S = 600.0
# By how much the clocks of two VMs may differ.
MAX_CLOCK_ERROR_S = 5.0

Encode = typing.Callable[[], dict[str, typing.Any]]
Decode = typing.Callable[[object], None]


class Part(typing.NamedTuple):
    """A part of the learned state.

    encode returns values that JSON can represent; decode raises ValueError
    and changes nothing if a value is invalid.  Both are called under the
    fleet's lock.
    """

    name: str
    encode: Encode
    decode: Decode


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A stored snapshot that may be used."""

    written_ms: float
    fence: int
    parts: dict[str, object]


class LearnedState:
    """The registered parts, and what is stored of them."""

    def __init__(self, fence: int, enabled: bool = True) -> None:
        self.fence = fence
        self.enabled = enabled
        self.parts: list[Part] = []
        # Revision of the stored snapshot, 0 if there is none.
        self.revision = 0
        # The encoded parts that are stored, or None if unknown.
        self.stored_parts: str | None = None
        # The last snapshot that was sent to the store, and its parts.
        self.sent = b""
        self.sent_parts = ""
        # When the parts were last encoded, or observation began.
        self.encoded_at: float | None = None
        # Parts that were left out of the last snapshot, already logged.
        self.logged_omissions: list[str] = []
        # Numbers for metrics.
        self.stored_total = 0
        self.stored_bytes = 0

    def register(self, name: str, encode: Encode, decode: Decode) -> None:
        """Add a part under a name that is unique and never changes."""
        if any(part.name == name for part in self.parts):
            raise ValueError(f"learned state {name!r} is registered twice")
        self.parts.append(Part(name, encode, decode))

    def encode_when_due(self, now: float) -> str | None:
        """Return the encoded parts if they are due and have changed.

        The caller holds the fleet's lock.
        """
        if self.encoded_at is None:
            self.encoded_at = now
        if not self.enabled or now - self.encoded_at < WRITE_PERIOD_S:
            return None
        self.encoded_at = now
        encoded = self._encode_parts()
        return encoded if encoded != self.stored_parts else None

    def _encode_parts(self) -> str:
        """Return a JSON object of all parts that fit into a snapshot."""
        entries = []
        omitted = []
        # The frame of a snapshot takes less than 200 bytes.
        free_bytes = MAX_BYTES - 200
        for part in self.parts:
            try:
                row = json.dumps(part.encode(), separators=(",", ":"),
                                 sort_keys=True, allow_nan=False)
            except Exception as exc:
                # A part that fails must not end the term.
                omitted.append(f"{part.name}: {exc!r}")
                continue
            entry = f"{json.dumps(part.name)}:{row}"
            if len(entry) + 1 > free_bytes:
                omitted.append(f"{part.name}: {len(row)} bytes")
                continue
            free_bytes -= len(entry) + 1
            entries.append(entry)
        if omitted and omitted != self.logged_omissions:
            events.emit(events.LEARNED_STATE_IGNORED,
                        reason="not stored: " + "; ".join(omitted))
        self.logged_omissions = omitted
        return "{" + ",".join(entries) + "}"

    def frame(self, parts: str, wall_ms: float) -> bytes:
        """Return the stored form of encoded parts, to be sent to the store."""
        head = json.dumps({"kind": KIND, "format": FORMAT,
                           "written_ms": round(wall_ms), "fence": self.fence})
        self.sent = f'{head[:-1]}, "parts": {parts}}}'.encode()
        self.sent_parts = parts
        return self.sent

    def note_stored(self, revision: int) -> None:
        """Record that the last snapshot that was sent is stored."""
        self.revision = revision
        self.stored_parts = self.sent_parts
        self.stored_total += 1
        self.stored_bytes = len(self.sent)

    def note_failed(self) -> None:
        """Record that the last snapshot that was sent may not be stored."""
        self.stored_parts = None

    def note_conflict(self, item: messages.Item | None, previous: bytes
                      ) -> bool:
        """Adopt the stored revision; return whether the value is known.

        previous is the snapshot sent before the last one: its write may have
        been applied although it got no answer.
        """
        self.stored_parts = None
        self.revision = item.revision if item is not None else 0
        return item is not None and item.value == previous

    def load(self, item: messages.Item | None, wall_ms: float) -> None:
        """Decode a stored snapshot into the parts, or log why it is ignored.

        The caller holds the fleet's lock.
        """
        if not self.enabled:
            return
        self.revision = item.revision if item is not None else 0
        try:
            if item is None:
                raise ValueError("none is stored")
            snapshot = parse(item.value, self.fence, wall_ms)
        except ValueError as exc:
            events.emit(events.LEARNED_STATE_IGNORED, reason=str(exc))
            return
        refused = self._decode_parts(snapshot)
        if refused:
            events.emit(events.LEARNED_STATE_IGNORED,
                        reason="; ".join(refused.values()))
        events.emit(events.LEARNED_STATE_LOADED, fence=snapshot.fence,
                    age_s=round((wall_ms - snapshot.written_ms) / 1000.0, 1),
                    bytes=len(item.value),
                    parts=[part.name for part in self.parts
                           if part.name in snapshot.parts
                           and part.name not in refused])

    def _decode_parts(self, snapshot: Snapshot) -> dict[str, str]:
        """Decode each part; return the reasons of those that are refused."""
        refused = {}
        for part in self.parts:
            if part.name not in snapshot.parts:
                continue
            try:
                part.decode(snapshot.parts[part.name])
            except Exception as exc:
                # A part that fails must not end the term.
                refused[part.name] = f"{part.name}: {exc!r:.200}"
        return refused


def parse(value: bytes, fence: int, wall_ms: float) -> Snapshot:
    """Return a snapshot; raises ValueError if it must not be used.

    fence is that of the present owner, and wall_ms the time of day.
    """
    if len(value) > MAX_BYTES:
        raise ValueError(f"{len(value)} bytes, more than {MAX_BYTES}")
    try:
        row = json.loads(value, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as exc:
        raise ValueError(f"not readable: {exc!r:.200}") from exc
    if not isinstance(row, dict) or row.get("kind") != KIND:
        raise ValueError("not a snapshot of learned state")
    if row.get("format") != FORMAT:
        raise ValueError(f"format {row.get('format')!r:.20}, not {FORMAT}")
    written_ms, parts = row.get("written_ms"), row.get("parts")
    written_fence = row.get("fence")
    if not (isinstance(written_ms, (int, float)) and isinstance(parts, dict)
            and isinstance(written_fence, int)):
        raise ValueError("fields are missing or of another type")
    if written_fence > fence:
        # Another store's: fences only increase.
        raise ValueError(f"its fence {written_fence} is above {fence}")
    if written_ms > wall_ms + MAX_CLOCK_ERROR_S * 1000.0:
        raise ValueError("written in the future")
    if written_ms < wall_ms - MAX_AGE_S * 1000.0:
        raise ValueError("too old")
    return Snapshot(float(written_ms), written_fence, parts)


def _refuse_constant(name: str) -> typing.NoReturn:
    raise ValueError(f"{name} is no number")
