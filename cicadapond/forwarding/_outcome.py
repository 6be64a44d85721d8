"""What one attempt at a backend server came to."""

import dataclasses

from cicadapond.gateway.data import AnswerHead


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request left: no connection could be made."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The server says that it did not run the request; `is_misdirected`: it is another server."""

    reason: str
    is_misdirected: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Whole:
    """A whole answer that is not a stream."""

    head: AnswerHead
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StreamWhole:
    """A stream that was passed on to its proper end."""

    events: int


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """The request may have run, and no whole answer came.

    `head` is None if not even an answer's head came; `last_event_id` and `events` tell how much
    of a stream was passed on; `was_closed` that the server's end of the connection went away;
    `was_silent` that the server, or the way to it, said nothing for too long.
    """

    reason: str
    head: AnswerHead | None = None
    last_event_id: str | None = None
    events: int = 0
    was_closed: bool = False
    was_silent: bool = False


Outcome = NotSent | Refused | Whole | StreamWhole | Broken
