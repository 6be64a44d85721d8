"""A small HTTP client for the platform's own services; each call returns a typed outcome."""

import asyncio
import dataclasses
import datetime

from cicadapond.data import Endpoint
from cicadapond.forwarding._connection import BrokenResponseError
from cicadapond.forwarding._pool import ConnectionPool
from cicadapond.kernel import Clock, Metrics, ProcessorShare
from cicadapond.memory import Kind, MemoryBudget

CONNECT_TIMEOUT = datetime.timedelta(milliseconds=700)
REFUSALS = (429, 500, 502, 503, 504)
MAX_BODY_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A complete response; equal to another one if status and body are equal.

    The names of the headers are in lower case.
    """

    status: int
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = dataclasses.field(default=(), compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class NoConnection:
    """No connection could be made; nothing was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """The time by which the request had to be sent passed before; nothing was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyLost:
    """The request was sent and no complete response was received."""

    reason: str


class HttpClient:
    """Calls one service.

    Args:
      endpoint: The service's address.
      clock: The clock.
      metrics: Receives the counts of connections.
      reuses_connections: Whether connections are kept for further calls.  A service may send a
        second copy of an answer, late; only on a connection of its own is a call safe from one
        that looks like its own answer.
      answers_repeat: Whether two equal answers in succession are usual and a late copy of one does
        no harm, so that the connection is kept.
      memory: Counts the bytes of its answers; the default has no bound.
      processor: Gives turns to costly answers.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        clock: Clock,
        metrics: Metrics,
        reuses_connections: bool = True,
        answers_repeat: bool = False,
        memory: MemoryBudget | None = None,
        processor: ProcessorShare | None = None,
    ):
        self._endpoint = endpoint
        self._clock = clock
        self._reuses_connections = reuses_connections
        self._answers_repeat = answers_repeat
        self._name = str(endpoint)
        self._pool = ConnectionPool(clock, metrics, memory, Kind.CALLS, processor)

    async def call(
        self,
        method: str,
        target: str,
        headers: tuple[tuple[bytes, bytes], ...],
        body: bytes,
        timeout: datetime.timedelta,
        send_by: datetime.timedelta | None = None,
    ) -> Reply | NoConnection | Expired | ReplyLost:
        """Sends one request and returns its response or the kind of failure.

        Args:
          method: The method.
          target: The path and query.
          headers: The headers besides the host and the length.
          body: The body.
          timeout: How long the response may take.
          send_by: The monotonic time after which the request must not be sent, None if there is
            none.  It is checked right before the first byte, as this process may have been paused
            or the connection slow.
        """
        conn = self._pool.take_idle(self._name, recent_only=False)
        if conn is None:
            connect_timeout = min(CONNECT_TIMEOUT, timeout)
            conn = await self._pool.connect(self._name, self._endpoint, connect_timeout)
        if conn is None:
            return NoConnection()
        if send_by is not None and self._clock.monotonic() >= send_by:
            conn.close()
            return Expired()
        try:
            async with asyncio.timeout(timeout.total_seconds()), conn.bounded(self._name):
                host = (b"host", self._name.encode())
                conn.send(method, target.encode(), (host, *headers), body)
                status, received = await conn.read_head()
                reply = Reply(status, await conn.read_full_body(MAX_BODY_BYTES), tuple(received))
                if reply == conn.last_reply and not self._answers_repeat:
                    raise BrokenResponseError("the answer repeats the one before")
                conn.last_reply = reply
        except (BrokenResponseError, TimeoutError) as exc:
            # A call that was given up must not arrive after a network partition.
            conn.reset()
            return ReplyLost(str(exc) or f"no response within {timeout}")
        except BaseException:
            conn.reset()
            raise
        # Refusals are all alike, so that a late copy of one could not be told from an answer.
        if self._reuses_connections and status not in REFUSALS:
            self._pool.release(self._name, conn)
        else:
            conn.close()
        return reply

    def close(self) -> None:
        """Closes all idle connections."""
        self._pool.close()
