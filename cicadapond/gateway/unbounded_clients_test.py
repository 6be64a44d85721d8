"""A real process beside crowds of clients that keep to no limit: it lives, within its memory.

Each test checks that the process runs, that its memory and its descriptors stay under their bounds,
and that an ordinary request is answered while the crowd is still there.
"""

import asyncio
import contextlib
import resource
import socket

import pytest

from cicadapond.gateway.process_harness import gateway_process, started_fleet
from cicadapond.platform.standin import CALLERS_HOST, Caller, FleetSettings

pytestmark = pytest.mark.alone

CROWD = 1000
MEMORY_MB = 100
MAX_FDS = 4100
FEW_FDS = 420
BODY_BYTES = 65536  # the limit of the stand-ins' configuration
LARGE_BODY_BYTES = 1_000_000
ORDINARY_BODY = b"o" * 40_000
# For a hang only: a request is sent again until it is answered.
HANG_S = 60.0
SETTLE_S = 1.0
# What a process may write to its log meanwhile.
MAX_OUTPUT_BYTES = 2_000_000


def head(number, *headers):
    lines = [
        "POST /post/x HTTP/1.1",
        f"Host: {CALLERS_HOST}",
        f"X-Cicadapond-Attempt-Id: crowd-{number}",
        "Authorization: Token demo-key",
        *headers,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def with_length(number, length):
    return head(number, f"Content-Length: {length}")


def chunked(number):
    return head(number, "Transfer-Encoding: chunked")


def chunk(size):
    return b"%x\r\n" % size + b"c" * size + b"\r\n"


class Client:
    """One of a crowd: sends bytes and stays, reading nothing."""

    def __init__(self, port):
        self._port = port
        self._sock = socket.socket()
        self._sock.setblocking(False)

    async def send(self, *pieces, pause_s=0.0):
        """Sends pieces until the other side closes."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            if self._sock.fileno() >= 0 and pieces[0] is not None:
                await loop.sock_connect(self._sock, ("127.0.0.1", self._port))
            for piece in pieces:
                if piece:
                    await loop.sock_sendall(self._sock, piece)
                await asyncio.sleep(pause_s)

    async def send_more(self, *pieces, pause_s):
        """Sends further pieces."""
        await self.send(None, *pieces, pause_s=pause_s)

    def close(self):
        self._sock.close()


@contextlib.asynccontextmanager
async def crowd(port, send, count=CROWD):
    """Lets `send(client, number)` run for each client; all stay open until the end."""
    clients = [Client(port) for _ in range(count)]
    tasks = [asyncio.ensure_future(send(each, number)) for number, each in enumerate(clients)]
    try:
        yield tasks
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for client in clients:
            client.close()


async def answered(process, body=ORDINARY_BODY):
    """Sends an ordinary request until it is answered with success."""
    number = 0
    async with asyncio.timeout(HANG_S):
        while True:
            number += 1
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                caller = Caller(process.ports["frontend"])
                answer = await caller.exchange(f"o-{number}", "/post/x", body=body)
                if answer.status == 200 and answer.is_complete:
                    return
            await asyncio.sleep(0.2)


def check(send, *, count=CROWD, memory_mb=MEMORY_MB, max_fds=MAX_FDS, port="frontend", **cfg):
    async def main():
        descriptors = cfg.pop("descriptors", None)
        async with (
            started_fleet(FleetSettings(**cfg)) as fleet,
            gateway_process(fleet, descriptors, memory_mb=memory_mb, max_fds=max_fds) as process,
            crowd(process.ports[port], send, count) as tasks,
        ):
            await asyncio.wait(tasks, timeout=SETTLE_S)
            most = process.descriptors()
            await answered(process)
            assert process.is_running
            assert process.peak_mb() <= memory_mb
            assert max(most, process.descriptors()) <= min(max_fds, descriptors or max_fds)
            assert process.output.stat().st_size <= MAX_OUTPUT_BYTES

    needed = 2 * count + 500
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(max(soft, needed), hard), hard))
    asyncio.run(main())


def test_bodies_that_stop_one_byte_short_of_their_length():
    async def send(client, number):
        await client.send(with_length(number, BODY_BYTES), b"b" * (BODY_BYTES - 1))

    check(send)


def test_bodies_that_go_on_by_a_byte_at_a_time():
    """Guards against uploads that never end and refuse all others for want of memory."""

    async def send(client, number):
        await client.send(with_length(number, BODY_BYTES), b"b" * (BODY_BYTES - 1000))
        await client.send_more(*[b"b"] * 500, pause_s=0.5)

    check(send)


def test_bodies_that_come_in_many_pieces():
    async def send(client, number):
        pieces = [b"b" * (BODY_BYTES // 64)] * 63
        await client.send(with_length(number, BODY_BYTES), *pieces, pause_s=0.01)

    check(send)


def test_bodies_announced_far_over_the_limit():
    async def send(client, number):
        await client.send(with_length(number, 1_000_000_000), *[b"b" * 20_000] * 10)

    check(send)


def test_bodies_sent_far_over_the_limit():
    async def send(client, number):
        await client.send(chunked(number), *[chunk(20_000)] * 10)

    check(send)


def test_chunked_bodies_that_stop_one_byte_short():
    async def send(client, number):
        await client.send(chunked(number), *[chunk(16_000)] * 4, chunk(1000)[:-3])

    check(send)


def test_bodies_in_chunks_of_a_byte_that_stop_short():
    """Guards against many small chunks that each take a little of the processor for nothing."""

    async def send(client, number):
        await client.send(chunked(number), chunk(1) * 20_000, chunk(1) * 20_000)

    check(send)


def test_chunked_bodies_without_end():
    async def send(client, number):
        await client.send(chunked(number), *[chunk(1000)] * 1000, pause_s=0.05)

    check(send)


def test_bodies_of_a_large_legal_size():
    async def send(client, number):
        await client.send(with_length(number, LARGE_BODY_BYTES), b"b" * (LARGE_BODY_BYTES - 1))

    check(send, count=200, body_bytes=LARGE_BODY_BYTES)


def test_heads_that_are_cut_off():
    async def send(client, number):
        await client.send(with_length(number, 10)[:-10] + b"x-filler: " + b"f" * 15_000)

    check(send)


def test_silent_connections_beyond_the_descriptors_of_the_machine():
    """Guards against callers that take the descriptors which servers and the store need."""

    async def send(client, number):
        await client.send(b"")

    check(send, max_fds=FEW_FDS)


def test_silent_connections_beyond_the_descriptors_of_the_system():
    """Guards against a log line for every connection that cannot be accepted."""

    async def send(client, number):
        await client.send(b"")

    check(send, max_fds=FEW_FDS, descriptors=FEW_FDS)


def test_pipelined_requests_whose_answers_nobody_reads():
    async def send(client, number):
        request = with_length(number, 1000) + b"b" * 1000
        await client.send(*[request * 20] * 20)

    check(send, count=300)


@pytest.mark.parametrize("port", ["readiness", "metrics"])
def test_bodies_at_the_ports_of_the_operator(port):
    async def send(client, number):
        await client.send(with_length(number, 50_000_000), *[b"b" * 100_000] * 20)

    check(send, port=port, count=200)


@pytest.mark.parametrize("port", ["readiness", "metrics"])
def test_silent_connections_at_the_ports_of_the_operator(port):
    async def send(client, number):
        await client.send(b"")

    check(send, port=port, max_fds=FEW_FDS)
