"""Messages of other processes that come faster than this process reads them."""

import asyncio
import struct

import tornado.iostream

from cicadapond.kernel import STEPS_PER_TURN, Metrics
from cicadapond.peer._tcp import TcpLink

MESSAGES, READS = 1000, 10


class Stream:
    """Has the next bytes at once, as long as there are any."""

    def __init__(self):
        self._reads = [struct.pack(">I", 1) + b"m"] * MESSAGES
        self._reads = [b"".join(self._reads)] * READS

    def set_nodelay(self, is_on):
        pass

    def set_close_callback(self, callback):
        pass

    def close(self):
        pass

    async def read_bytes(self, size, partial):
        if not self._reads:
            raise tornado.iostream.StreamClosedError
        return self._reads.pop()


def test_a_link_with_received_messages_left_yields_to_others():
    """Guards against CONFIG: nothing else ran while another process sent without a pause."""

    async def main():
        turns, received = 0, []

        async def others():
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        link = TcpLink(Stream(), Metrics())
        link.on_message = received.append
        other = asyncio.ensure_future(others())
        await link.read()
        other.cancel()
        assert received == [b"m"] * MESSAGES * READS
        assert turns >= len(received) / STEPS_PER_TURN - 1

    asyncio.run(main())
