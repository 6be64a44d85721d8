"""The possible outcomes of one attempt at a backend server."""

import dataclasses

from cicadapond.serving import ResponseHead


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request was sent: no connection could be made, or sending was not allowed."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The server states that it did not execute the request.

    Attributes:
      reason: Why, for the log.
      is_misdirected: Whether the request reached a server that it was not meant for.
      head: The head of the response, None if none is known.
    """

    reason: str
    is_misdirected: bool = False
    head: ResponseHead | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Whole:
    """A complete response that is not a stream."""

    head: ResponseHead
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StreamWhole:
    """A stream that was relayed to its end.

    Attributes:
      events: How many events it had.
      is_framed: Whether the server marked the end, other than by closing the connection.
    """

    events: int
    is_framed: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """No complete response was received; the request may have been executed.

    Attributes:
      reason: What was wrong, for the log.
      head: The head of the response, None if none was received.
      last_event_id: The id of the last event that was relayed, if any.
      events: How many events were relayed.
      was_closed: Whether the attempt failed other than by a time-out, so that the server may have
        crashed.
      was_silent: Whether it failed because the server or the network sent nothing in time.
      was_stopped: Whether the server stopped the run because it was asked to, which is no fault.
      is_malformed: Whether bytes were received that are no answer, rather than too few.
      received_bytes: How many bytes of the answer were received.
      may_be_whole: Whether nothing is missing as far as its bytes tell.
    """

    reason: str
    head: ResponseHead | None = None
    last_event_id: str | None = None
    events: int = 0
    was_closed: bool = False
    was_silent: bool = False
    was_stopped: bool = False
    is_malformed: bool = False
    received_bytes: int = 0
    may_be_whole: bool = False


Outcome = NotSent | Refused | Whole | StreamWhole | Broken
