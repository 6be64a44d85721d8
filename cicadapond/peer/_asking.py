"""Queries to one member, each on a connection of its own, with answers in bounded parts."""

import asyncio
import datetime
import typing

import msgpack

from cicadapond.data import Endpoint
from cicadapond.kernel import Ok, Unavailable
from cicadapond.peer._transport import Link, Transport
from cicadapond.peer._wire import Query, QueryReply, decode, encode

REPLY_TIMEOUT = datetime.timedelta(seconds=2)
PART_BYTES = 32 * 1024
MAX_REPLY_BYTES = 8 * 1024 * 1024


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
