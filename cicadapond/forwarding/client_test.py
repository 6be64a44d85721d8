"""A call that is given up: its connection is reset, so that it cannot arrive late."""

import asyncio

from cicadapond.data import Endpoint
from cicadapond.forwarding import HttpClient, ReplyLost
from cicadapond.kernel import LoopClock, Metrics, seconds


class _SilentServer(asyncio.Protocol):
    """Accepts connections and answers nothing; records how each one ended."""

    def __init__(self, ends):
        self._ends = ends

    def connection_lost(self, exc):
        self._ends.append(type(exc))


def test_the_connection_of_a_call_that_timed_out_is_reset():
    async def main():
        ends = []
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: _SilentServer(ends), "127.0.0.1", 0)
        endpoint = Endpoint(*server.sockets[0].getsockname()[:2])
        client = HttpClient(endpoint, LoopClock(), Metrics())
        outcome = await client.call("POST", "/scale", (), b"{}", seconds(0.05))
        assert isinstance(outcome, ReplyLost)
        async with asyncio.timeout(5):
            while not ends:
                await asyncio.sleep(0.01)
        assert ends == [ConnectionResetError]
        server.close()

    asyncio.run(main())
