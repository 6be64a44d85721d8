"""The events of a stand-in engine's streams, and how long the streams are."""

import urllib.parse

import attrs


@attrs.frozen
class StreamShape:
    """The length of a stream, as its request asks for it by the query of its target.

    Attributes:
      events: Number of events, None for as many as the server sends by default.
      interval_s: The time between events, in seconds, None for the server's default.
      event_bytes: How many bytes of filler each event has.
    """

    events: int | None = None
    interval_s: float | None = None
    event_bytes: int = 0

    @classmethod
    def of(cls, target: str) -> "StreamShape":
        """Returns what a target asks for."""
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(target).query))
        if "events" not in query:
            return cls()
        return cls(int(query["events"]), int(query["gap"]) / 1000, int(query["bytes"]))

    def query(self) -> str:
        """Returns the query that asks for it."""
        return f"?events={self.events}&gap={round(1000 * self.interval_s)}&bytes={self.event_bytes}"


def stream_event(number: int, request_id: str, version: str, filler: int = 0) -> bytes:
    """Returns an event of a stream, which names the software version in its type."""
    data = f"piece {number} of {request_id}{' ' * bool(filler)}{'.' * filler}"
    return f"event: {version}\nid: {number}\ndata: {data}\n\n".encode()
