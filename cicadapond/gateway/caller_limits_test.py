"""Sockets: callers that neither end nor leave."""

import asyncio
import contextlib
import socket

import pytest

from cicadapond.gateway._caller import CallerConnection
from cicadapond.gateway._caller_requests import RequestHandler
from cicadapond.kernel import LoopClock, seconds
from cicadapond.memory import CallerSlots, CallerState, Kind, MemoryBudget
from cicadapond.serving import RequestLimits

KB = 1024
HEAD = b"POST /x HTTP/1.1\r\nhost: h\r\n"
LARGE_ANSWER_BYTES = 16 * KB * KB


class Handler(RequestHandler):
    """Answers with a large body."""

    def __init__(self, idle_s=0.1, body_bytes=100):
        self.idle_s, self.body_bytes = idle_s, body_bytes
        self.served = 0

    def limits(self):
        return RequestLimits(8192, self.body_bytes, seconds(3), seconds(self.idle_s))

    def is_stopping(self):
        return False

    def on_rejected(self, headers, exc):
        after = exc.retry_after.total_seconds() if exc.retry_after is not None else 0
        return [(b"retry-after", b"%g" % after)]

    def on_unfinished(self, headers, exc):
        return None

    def on_failed(self, headers, exc):
        raise AssertionError("no request fails")

    async def handle(self, request, reply):
        self.served += 1
        await reply.send_complete(200, (), b"a" * LARGE_ANSWER_BYTES)


@contextlib.asynccontextmanager
async def serving(handler, memory=None, slots=None):
    """Yields the address of a server, and its connections."""
    conns = []

    def accept():
        conns.append(CallerConnection(handler, LoopClock(), memory, slots=slots))
        return conns[-1]

    server = await asyncio.get_running_loop().create_server(accept, "127.0.0.1", 0)
    async with server, asyncio.timeout(20):
        yield server.sockets[0].getsockname()[:2], conns


def test_a_body_that_goes_on_without_end_is_refused():
    """Guards against uploads that a byte now and then keeps open for ever."""

    async def main():
        async with serving(Handler()) as (address, _):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(HEAD + b"content-length: 100\r\n\r\n")
            answer = asyncio.ensure_future(reader.readuntil(b"\r\n\r\n"))
            sent = 0
            while not answer.done() and sent < 90:
                writer.write(b"b")
                sent += 1
                await asyncio.wait((answer,), timeout=0.02)
            assert answer.done() and b" 408 " in await answer
            writer.close()

    asyncio.run(main())


@pytest.mark.parametrize(("idle_s", "later_s"), [(0.2, 30.0), (30.0, 0.2)])
def test_an_idle_connection_is_kept_for_the_longer_limit_of_two(idle_s, later_s):
    """Guards against LOST: a raised limit did not hold for connections that were idle by then."""

    async def main():
        handler = Handler(idle_s=idle_s)
        async with serving(handler) as (address, conns):
            _, writer = await asyncio.open_connection(*address)
            while not conns:
                await asyncio.sleep(0.01)
            handler.idle_s = later_s
            await asyncio.sleep(0.5)
            assert not conns[0].is_closed
            handler.idle_s = idle_s
            writer.close()

    asyncio.run(main())


def test_an_idle_connection_is_closed_at_its_limit():
    async def main():
        async with serving(Handler(idle_s=0.2)) as (address, _):
            reader, writer = await asyncio.open_connection(*address)
            assert await reader.read() == b""
            writer.close()

    asyncio.run(main())


def test_a_body_that_is_given_up_for_others_is_refused_as_not_run():
    async def main():
        memory, handler = MemoryBudget(1024 * KB), Handler(idle_s=5, body_bytes=400 * KB)
        slots = CallerSlots(LoopClock(), 10)
        async with serving(handler, memory, slots) as (address, _):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(HEAD + b"content-length: %d\r\n\r\n" % (400 * KB) + b"b" * (399 * KB))
            while memory.held_by_kind()[Kind.REQUESTS] < 399 * KB:
                await asyncio.sleep(0.01)
            await asyncio.sleep(1.1)
            other, other_writer = await asyncio.open_connection(*address)
            other_writer.write(HEAD + b"content-length: %d\r\n\r\n" % (400 * KB) + b"b" * 400 * KB)
            answer = await reader.readuntil(b"\r\n\r\n")
            assert b" 503 " in answer and b"retry-after: 0.5" in answer
            assert b" 200 " in await other.readuntil(b"\r\n\r\n")
            assert handler.served == 1 and slots.given_up[CallerState.READING] == 1
            writer.close()
            other_writer.close()

    asyncio.run(main())


def test_a_caller_that_reads_nothing_is_not_waited_for():
    """Guards against answers that callers which read nothing keep for ever."""

    async def main():
        memory = MemoryBudget()
        async with serving(Handler(), memory) as (address, conns):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, address)
            await asyncio.get_running_loop().sock_sendall(sock, HEAD + b"content-length: 0\r\n\r\n")
            while not conns or not conns[0].is_closed:
                await asyncio.sleep(0.01)
            assert not memory.held_bytes
            sock.close()

    asyncio.run(main())


def test_a_caller_that_reads_slowly_gets_its_answer():
    async def main():
        async with serving(Handler()) as (address, _):
            reader, writer = await asyncio.open_connection(*address, limit=64 * KB)
            writer.write(HEAD + b"content-length: 0\r\n\r\n")
            received = 0
            await reader.readuntil(b"\r\n\r\n")
            while received < LARGE_ANSWER_BYTES:
                data = await reader.read(256 * KB)
                assert data
                received += len(data)
                await asyncio.sleep(0.005)
            writer.close()

    asyncio.run(main())
