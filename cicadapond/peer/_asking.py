"""Questions to one member, each on a connection of its own, with answers in bounded parts."""

import asyncio
import datetime
import typing

import msgpack

from cicadapond.data import Endpoint
from cicadapond.kernel import Ok, Unavailable
from cicadapond.peer._transport import Link, Transport
from cicadapond.peer._wire import Answer, Ask, decode, encode

ANSWER_LIMIT = datetime.timedelta(seconds=2)
PART_BYTES = 32 * 1024
MAX_ANSWER_BYTES = 8 * 1024 * 1024


async def ask(
    transport: Transport, endpoint: Endpoint, topic: str, payload
) -> Ok[object] | Unavailable:
    """Asks the process at an address.

    Args:
      transport: Makes the connection.
      endpoint: The address.
      topic: What the question is about.
      payload: Whatever msgpack can carry.

    Returns:
      Ok with the answer, or Unavailable if it did not come whole in time.
    """
    link = None
    try:
        async with asyncio.timeout(ANSWER_LIMIT.total_seconds()):
            link = await transport.dial(endpoint)
            if link is None:
                return Unavailable(f"no connection to {endpoint}")
            whole = await _exchange(link, Ask(topic, payload))
    except TimeoutError:
        return Unavailable(f"no answer from {endpoint} within {ANSWER_LIMIT.total_seconds():g} s")
    finally:
        if link is not None:
            link.close()
    try:
        return Ok(msgpack.unpackb(whole, strict_map_key=False))
    except (TypeError, ValueError):
        return Unavailable(f"{endpoint} gave no whole answer about {topic!r}")


async def _exchange(link: Link, question: Ask) -> bytes | None:
    answered = asyncio.get_running_loop().create_future()
    parts = bytearray()

    def finish(result):
        if not answered.done():
            answered.set_result(result)

    def receive(body):
        message = decode(body)
        if not isinstance(message, Answer) or len(parts) > MAX_ANSWER_BYTES:
            finish(None)
            return
        parts.extend(message.part)
        if message.last:
            finish(bytes(parts))

    link.on_message = receive
    link.on_closed = lambda: finish(None)
    link.send([encode(question)])
    return await answered


def answer(link: Link, question: Ask, handlers: typing.Mapping[str, typing.Callable]) -> bool:
    """Answers a question on the connection that it came on.

    Returns:
      Whether there is a handler for its topic.
    """
    handler = handlers.get(question.topic)
    if handler is None:
        return False
    whole = msgpack.packb(handler(question.payload))
    starts = range(0, len(whole), PART_BYTES)
    parts = [whole[start : start + PART_BYTES] for start in starts]
    link.send([encode(Answer(place == len(parts) - 1, part)) for place, part in enumerate(parts)])
    return True
