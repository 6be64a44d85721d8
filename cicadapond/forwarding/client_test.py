"""Calls of the platform that are given up, sent too late, or answered by another's answer."""

import asyncio

import pytest

from cicadapond.data import Endpoint
from cicadapond.forwarding import Expired, HttpClient, Reply, ReplyLost
from cicadapond.kernel import LoopClock, ManualClock, Metrics, seconds


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


def response(body):
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)


class _Repeater(asyncio.Protocol):
    """Answers with the number of the request; before an answer, repeats the last one."""

    def __init__(self, answers):
        self._answers = answers
        self._last = b""

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        answer = response(self._answers.pop(0))
        self._transport.write(self._last + answer)
        self._last = answer


@pytest.mark.parametrize(
    ("reuses_connections", "answers", "expected"),
    [
        # An answer without anything that tells it from others needs a connection of its own.
        (False, [b"no", b"ok", b"ok"], [b"no", b"ok", b"ok"]),
        # Elsewhere the copy is found out, and the call counts as one whose answer was lost.
        (True, [b"1", b"2", b"3"], [b"1", None, b"3"]),
    ],
)
def test_a_late_second_copy_of_an_answer_is_not_taken_for_the_next(
    reuses_connections, answers, expected
):
    async def main():
        left = list(answers)
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: _Repeater(left), "127.0.0.1", 0)
        endpoint = Endpoint(*server.sockets[0].getsockname()[:2])
        client = HttpClient(endpoint, LoopClock(), Metrics(), reuses_connections)
        found = []
        for _ in answers:
            reply = await client.call("GET", "/", (), b"", seconds(2))
            found.append(reply.body if isinstance(reply, Reply) else None)
        assert found == expected
        client.close()
        server.close()

    asyncio.run(main())


def test_a_call_is_not_sent_if_its_permission_ran_out_while_it_connected():
    # A process that was paused between the check of its lease and the call acted on a lease that
    # another process held by then.
    async def main():
        received = []
        loop = asyncio.get_running_loop()

        class Server(asyncio.Protocol):
            def data_received(self, data):
                received.append(data)

        server = await loop.create_server(Server, "127.0.0.1", 0)
        endpoint = Endpoint(*server.sockets[0].getsockname()[:2])
        clock = ManualClock()
        client = HttpClient(endpoint, clock, Metrics())
        connect = client._pool.connect

        async def paused_connect(*args):
            clock.advance(seconds(5))
            return await connect(*args)

        client._pool.connect = paused_connect
        until = clock.monotonic() + seconds(3)
        outcome = await client.call("POST", "/scale", (), b"{}", seconds(2), until)
        await asyncio.sleep(0.05)
        assert outcome == Expired() and not received
        server.close()

    asyncio.run(main())
