"""Splits a byte stream of server-sent events into events."""

import re

import attrs

# A blank line ends an event that has begun; blank lines before it belong to it.  The pattern begins
# at a newline, as a search for a literal byte is many times faster.
_EVENT_END = re.compile(rb"\n(?:(?<=[^\r\n]\n)|(?<=[^\r\n]\r\n))\r?\n")
# The longest part of the end of an event that may be followed by the rest of it.
_MAX_PARTIAL_END_BYTES = 2
_NEWLINES = re.compile(rb"[\r\n]*")
_ID_FIELD = b"id:"
_EVENT_ID = re.compile(rb"id:[ ]?([^\r\n]*)")


@attrs.frozen(slots=True)
class Event:
    """One event: its bytes as received, with the blank line, and its id if it has one."""

    raw: bytes
    id: str | None


class EventSplitter:
    """Collects received bytes and returns complete events; an incomplete one stays buffered.

    Each byte is searched once, however many pieces it comes in.
    """

    def __init__(self):
        self._buffer = bytearray()
        self._searched = 0
        self._has_begun = False

    def feed(self, data: bytes) -> None:
        """Adds received bytes."""
        self._buffer += data

    def next_event(self) -> Event | None:
        """Removes and returns the next complete event, None if there is none."""
        if not self._has_begun:
            self._searched = _NEWLINES.match(self._buffer, self._searched).end()
            self._has_begun = self._searched < len(self._buffer)
        match = _EVENT_END.search(self._buffer, self._searched)
        if match is None:
            searched = len(self._buffer) - _MAX_PARTIAL_END_BYTES
            self._searched = max(self._searched, searched)
            return None
        end = match.end()
        del match  # it would lock the buffer
        raw = bytes(memoryview(self._buffer)[:end])
        del self._buffer[:end]
        self._searched = 0
        self._has_begun = False
        return _parse_event(raw)

    @property
    def buffered_bytes(self) -> int:
        """The size of the incomplete event that is buffered."""
        return len(self._buffer)

    @property
    def is_within_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer.strip())


def _parse_event(raw):
    at = 0 if raw.startswith(_ID_FIELD) else raw.find(b"\n" + _ID_FIELD) + 1
    id_match = _EVENT_ID.match(raw, at)
    return Event(raw, id_match.group(1).decode("latin-1").strip() if id_match else None)
