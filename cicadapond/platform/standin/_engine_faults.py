"""Faults of the answers of a stand-in engine."""

import enum

import attrs


class EngineFault(enum.Enum):
    """A fault that is injected into one request."""

    FULL = "it is refused without being executed"
    ERROR = "it runs and fails"
    RESET = "it runs and the connection is reset"
    SILENT = "it runs and no response is sent"
    TRUNCATED = "the answer ends within its body"
    CUT_HEAD = "the answer ends before the blank line after its head"
    CUT_INTERIM = "it does so after informational responses"
    UNFRAMED = "the answer has no length and ends with the connection"
    UNFRAMED_RESET = "the answer has no length and the connection is reset before its end"
    EARLY_RESET = (
        "the answer has no length and begins before the body is read; then a reset follows"
    )
    EXTRA = "a second answer to it follows immediately"
    LATE_EXTRA = "a second answer to it is sent before the answer to the next request"
    WITHIN_EVENT = "the stream stops within its second event"
    TRICKLE = "the stream stalls within its second event, and sends a byte of it now and then"
    GARBAGE = "the answer is not valid HTTP"
    FOREIGN = "the answer belongs to another request"
    UNFRAMED_WITHIN_EVENT = "the stream has no length and ends within its second event"
    BARE_ERROR = "it runs and fails, and the answer has no header of this protocol"
    NO_EVENTS = "the stream ends before its first event"
    ENDLESS_INTERIM = "informational responses follow each other until the connection is closed"
    ENDLESS_HEAD = "the head of the answer goes on until the connection is closed"
    ENDLESS_BODY = "the body of the answer, or an event of it, does"


class ReportFault(enum.Enum):
    """A fault of all answers to the question what an engine says of itself."""

    SILENT = "no answer is sent"
    LATE = "the answer is late"
    UNSTATED = "the answer does not say when the engine started"
    BUSY = "the engine has no room to answer"
    LIMITED = "the engine is asked too often"


@attrs.frozen
class Decline:
    """How an engine answers a request that it has run and declines.

    Attributes:
      status: The status.
      is_signed: Whether the answer bears the engine's signature.
      is_framed: Whether it has a length; else it ends with its connection.
      headers: Further headers.
    """

    status: int
    is_signed: bool = False
    is_framed: bool = True
    headers: tuple[tuple[str, str], ...] = ()
