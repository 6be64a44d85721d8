"""What waits in the queue of a service, and what is decided of it."""

import datetime
import enum
import typing

import attrs

from cicadapond.serving import Generation, ServerEntry


class Decision(enum.Enum):
    """What becomes of a request."""

    SEND = "send"
    WAIT = "wait"
    REJECT = "reject"


@attrs.frozen
class Admission:
    """A decision on a request.

    Attributes:
      decision: What becomes of it.
      reason: Why, for the log and the caller.
      forecast: The expected time until its answer begins if it is sent now, None if unknown.
      server: The server to send it to, None unless it is to be sent.
      retry_after: When a rejected caller should come back, None if it is not rejected.
      position: How many requests were ahead of it in the queue.
    """

    decision: Decision
    reason: str
    forecast: datetime.timedelta | None = None
    server: ServerEntry | None = None
    retry_after: datetime.timedelta | None = None
    position: int = 0


@attrs.frozen(eq=False)
class Waiting:
    """A request that asks to be sent.

    Attributes:
      generation: Its size.
      priority: Its priority at the engines, 0 the most urgent.
      account: Its client account, "" if it has none.
      received_at: The monotonic time at which it was received.
      objective: The target time from then to the beginning of its answer.
      deadline: The monotonic time at which it must be answered.
      servers: Returns the servers that may be sent the request now.
      decided: Is called with the decision if `submit` did not return it.
    """

    generation: Generation
    priority: int
    account: str
    received_at: datetime.timedelta
    objective: datetime.timedelta
    deadline: datetime.timedelta
    servers: typing.Callable[[], list[ServerEntry]]
    decided: typing.Callable[[Admission], None]
