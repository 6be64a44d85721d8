"""A small HTTP client for the platform's own services; each call returns a typed outcome."""

import asyncio
import dataclasses
import datetime

from cicadapond.data import Endpoint
from cicadapond.forwarding._connection import BrokenResponseError
from cicadapond.forwarding._pool import ConnectionPool
from cicadapond.kernel import Clock, Metrics

CONNECT_TIMEOUT = datetime.timedelta(milliseconds=700)
MAX_BODY_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A complete response."""

    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NoConnection:
    """No connection could be made; nothing was sent."""


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
    """

    def __init__(self, endpoint: Endpoint, clock: Clock, metrics: Metrics):
        self._endpoint = endpoint
        self._name = str(endpoint)
        self._pool = ConnectionPool(clock, metrics)

    async def call(
        self,
        method: str,
        target: str,
        headers: tuple[tuple[bytes, bytes], ...],
        body: bytes,
        timeout: datetime.timedelta,
    ) -> Reply | NoConnection | ReplyLost:
        """Sends one request and returns its response or the kind of failure."""
        conn = self._pool.take_idle(self._name, recent_only=False)
        if conn is None:
            connect_timeout = min(CONNECT_TIMEOUT, timeout)
            conn = await self._pool.connect(self._name, self._endpoint, connect_timeout)
        if conn is None:
            return NoConnection()
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                host = (b"host", self._name.encode())
                conn.send(method, target.encode(), (host, *headers), body)
                status, _ = await conn.read_head()
                reply = Reply(status, await conn.read_full_body(MAX_BODY_BYTES))
        except (BrokenResponseError, TimeoutError) as exc:
            # A call that was given up must not arrive after a network partition.
            conn.reset()
            return ReplyLost(str(exc) or f"no response within {timeout}")
        except BaseException:
            conn.reset()
            raise
        self._pool.release(self._name, conn)
        return reply

    def close(self) -> None:
        """Closes all idle connections."""
        self._pool.close()
