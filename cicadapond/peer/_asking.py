"""Queries to one member, with answers in bounded parts.

Rare ones have a connection of their own; frequent ones share connections that are kept.
"""

import asyncio
import collections
import datetime
import typing

import msgpack

from cicadapond.data import Endpoint
from cicadapond.kernel import Clock, Ok, Unavailable
from cicadapond.peer._transport import Link, Transport
from cicadapond.peer._wire import Query, QueryReply, decode, encode

REPLY_TIMEOUT = datetime.timedelta(seconds=2)
PART_BYTES = 32 * 1024
MAX_REPLY_BYTES = 8 * 1024 * 1024
# A kept connection is closed if it was not used for this long; it takes some 10 KB at both ends.
KEPT_IDLE_TIME = datetime.timedelta(seconds=5)
# A connection on which a query waits for longer than this is not used any more.
MAX_ANSWER_TIME = datetime.timedelta(seconds=1)
LATE_LOOP_GRACE_S = 0.02


async def send_query(
    transport: Transport, endpoint: Endpoint, topic: str, payload
) -> Ok[object] | Unavailable:
    """Sends a query to the process at an address.

    Args:
      transport: Makes the connection.
      endpoint: The address.
      topic: The topic of the query.
      payload: Any value that msgpack can encode.

    Returns:
      Ok with the answer, or Unavailable if it did not arrive completely in time.
    """
    link = None
    try:
        async with asyncio.timeout(REPLY_TIMEOUT.total_seconds()):
            link = await transport.dial(endpoint)
            if link is None:
                return Unavailable(f"no connection to {endpoint}")
            packed = await _send_and_receive(link, Query(topic, payload))
    except TimeoutError:
        return Unavailable(f"no answer from {endpoint} within {REPLY_TIMEOUT.total_seconds():g} s")
    finally:
        if link is not None:
            link.close()
    try:
        return Ok(msgpack.unpackb(packed, strict_map_key=False))
    except (TypeError, ValueError):
        return Unavailable(f"{endpoint} sent no complete answer about {topic!r}")


async def _send_and_receive(link: Link, query: Query) -> bytes | None:
    reply = asyncio.get_running_loop().create_future()
    parts = bytearray()

    def finish(result):
        if not reply.done():
            reply.set_result(result)

    def receive(body):
        message = decode(body)
        if not isinstance(message, QueryReply) or len(parts) > MAX_REPLY_BYTES:
            finish(None)
            return
        parts.extend(message.part)
        if message.last:
            finish(bytes(parts))

    link.on_message = receive
    link.on_closed = lambda: finish(None)
    link.send([encode(query)])
    return await reply


class _KeptLink:
    """A connection on which queries are answered in order; ends at the first that is not."""

    def __init__(self, link: Link, clock: Clock):
        self._link = link
        self._clock = clock
        # The queries that are not answered yet, and when they were sent.
        self._waiting: collections.deque[tuple[asyncio.Future, datetime.timedelta]] = (
            collections.deque()
        )
        self._parts = bytearray()
        self.is_closed = False
        self.used_at = datetime.timedelta()
        link.on_message = self._receive
        link.on_closed = self.close

    @property
    def is_waiting(self) -> bool:
        return bool(self._waiting)

    @property
    def is_stuck(self) -> bool:
        """Whether a query has had no answer for so long that none can be expected."""
        if not self._waiting:
            return False
        return self._clock.monotonic() - self._waiting[0][1] >= MAX_ANSWER_TIME

    def query(self, query: Query) -> asyncio.Future:
        """Sends a query; the result is the packed answer, None if the connection ends before."""
        reply = asyncio.get_running_loop().create_future()
        self._waiting.append((reply, self._clock.monotonic()))
        self._link.send([encode(query)])
        return reply

    def close(self) -> None:
        self.is_closed = True
        self._link.close()
        for reply, _ in self._waiting:
            if not reply.done():
                reply.set_result(None)
        self._waiting.clear()

    def _receive(self, body):
        message = decode(body)
        is_readable = isinstance(message, QueryReply) and self._waiting
        if not is_readable or len(self._parts) + len(message.part) > MAX_REPLY_BYTES:
            self.close()
            return
        self._parts.extend(message.part)
        if message.last:
            packed, self._parts = bytes(self._parts), bytearray()
            reply, _ = self._waiting.popleft()
            if not reply.done():  # else its answer comes too late
                reply.set_result(packed)


class KeptQueries:
    """Queries on connections that are kept for a while, one to each address.

    Args:
      transport: Makes the connections.
      clock: The clock.
    """

    def __init__(self, transport: Transport, clock: Clock):
        self._transport = transport
        self._clock = clock
        self._links: dict[Endpoint, _KeptLink] = {}

    async def send(
        self, endpoint: Endpoint, topic: str, payload, timeout: datetime.timedelta
    ) -> Ok[object] | Unavailable:
        """Sends a query to the process at an address, as `send_query`; answers come within a time.

        Answers come in the order of the queries, so that a late one is not taken for another; the
        connection is closed once one is so late that the process may be gone.
        """
        self.close_idle()
        late = Unavailable(f"no answer from {endpoint} within {timeout.total_seconds():g} s")
        ends_at = self._clock.monotonic() + timeout
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                link = await self._link(endpoint)
        except TimeoutError:
            return late
        if link is None:
            return Unavailable(f"no answer from {endpoint}")
        reply = link.query(Query(topic, payload))
        left_s = max(0.0, (ends_at - self._clock.monotonic()).total_seconds())
        # An event loop that was behind runs the time-out before it reads what has been received.
        for wait_s in (left_s, LATE_LOOP_GRACE_S):
            await asyncio.wait((reply,), timeout=wait_s)
            if reply.done():
                break
        else:
            reply.cancel()
            if link.is_stuck:
                link.close()
            return late
        packed = reply.result()
        if packed is None:
            return Unavailable(f"no answer from {endpoint}")
        try:
            return Ok(msgpack.unpackb(packed, strict_map_key=False))
        except (TypeError, ValueError):
            return Unavailable(f"{endpoint} sent no readable answer about {topic!r}")

    def close(self) -> None:
        """Closes all connections."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    async def _link(self, endpoint):
        link = self._links.get(endpoint)
        if link is None or link.is_closed:
            found = await self._transport.dial(endpoint)
            if found is None:
                return None
            link = self._links.get(endpoint)
            if link is None or link.is_closed:
                link = self._links[endpoint] = _KeptLink(found, self._clock)
            else:
                found.close()  # another query connected meanwhile
        link.used_at = self._clock.monotonic()
        return link

    def close_idle(self) -> None:
        """Closes the connections that were not used for a while."""
        oldest = self._clock.monotonic() - KEPT_IDLE_TIME
        for endpoint, link in list(self._links.items()):
            if link.is_closed or (link.used_at < oldest and not link.is_waiting):
                link.close()
                del self._links[endpoint]


def reply_to_query(
    link: Link, query: Query, handlers: typing.Mapping[str, typing.Callable]
) -> bool:
    """Answers a query on the connection on which it arrived.

    Returns:
      Whether there is a handler for its topic.
    """
    handler = handlers.get(query.topic)
    if handler is None:
        return False
    packed = msgpack.packb(handler(query.payload))
    starts = range(0, len(packed), PART_BYTES)
    parts = [packed[start : start + PART_BYTES] for start in starts]
    link.send(
        [encode(QueryReply(index == len(parts) - 1, part)) for index, part in enumerate(parts)]
    )
    return True
