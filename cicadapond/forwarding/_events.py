"""Splits a byte stream of server-sent events into events."""

import re

import attrs

# A blank line ends an event that has begun; blank lines before it belong to it.  The pattern begins
# at a newline, as a search for a literal byte is many times faster.
_EVENT_END = re.compile(rb"\n(?:(?<=[^\r\n]\n)|(?<=[^\r\n]\r\n))\r?\n")
# The longest part of the end of an event that may be followed by the rest of it.
_MAX_PARTIAL_END_BYTES = 2
_NEWLINE = b"\r\n"
_NEWLINES = re.compile(rb"[\r\n]*")
_ID_FIELD = b"id:"
_LATER_ID_FIELD = b"\nid:"
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
        if not self._has_begun and not self._skip_blank_lines():
            return None
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

    def _skip_blank_lines(self):
        """Passes over the blank lines before an event; returns whether it has begun."""
        buffer = self._buffer
        if not buffer:
            return False
        if buffer[0] in _NEWLINE:
            self._searched = _NEWLINES.match(buffer, self._searched).end()
        self._has_begun = self._searched < len(buffer)
        return self._has_begun

    @property
    def buffered_bytes(self) -> int:
        """The size of the incomplete event that is buffered."""
        return len(self._buffer)

    @property
    def is_within_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer.strip())


def _parse_event(raw):
    at = 0
    if not raw.startswith(_ID_FIELD):
        at = raw.find(_LATER_ID_FIELD) + 1
        if not at:
            return Event(raw, None)
    return Event(raw, _EVENT_ID.match(raw, at).group(1).decode("latin-1").strip())
