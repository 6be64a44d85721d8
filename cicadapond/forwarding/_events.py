"""Splits a stream of server-sent events into whole events."""

import re

import attrs

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


@attrs.frozen(slots=True)
class Event:
    """One event as it came, with its blank line, and its id if it has one."""

    raw: bytes
    id: str | None


class EventSplitter:
    """Takes bytes as they come and gives whole events; the rest waits."""

    def __init__(self):
        self._rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that are whole now."""
        self._rest += data
        events = []
        start = 0
        for match in _END.finditer(self._rest):
            events.append(_event(self._rest[start : match.end()]))
            start = match.end()
        self._rest = self._rest[start:]
        return events

    @property
    def is_within_event(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._rest.strip())


def _event(raw):
    found = _ID.search(raw)
    return Event(raw, found.group(1).decode("latin-1").strip() if found else None)
