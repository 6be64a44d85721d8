"""Sockets: what a server receives of a request whose attempt was given up."""

import asyncio
import socket

import pytest

from cicadapond.data import Endpoint
from cicadapond.forwarding import Attempt, Broken, ConnectionPool, SilenceTimeouts
from cicadapond.kernel import LoopClock, Metrics, seconds
from cicadapond.platform import PlatformHeaderCodec
from cicadapond.serving import CallerRequest, Dispatch, ServerEntry

# More than the server's buffer holds, and less than the buffers of both ends.
BODY = b"x" * 400_000
RECEIVE_BUFFER = 4096
SILENCE_S = 0.1
HEADERS = ((b"host", b"h"),)


def listen():
    """Returns a socket whose connections take in little until they are read."""
    server = socket.socket()
    server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    server.bind(("127.0.0.1", 0))
    server.listen()
    server.setblocking(False)
    return server


async def read_all(conn):
    """Returns how many bytes the server receives until the connection ends."""
    loop, received = asyncio.get_running_loop(), 0
    try:
        while data := await loop.sock_recv(conn, 65536):
            received += len(data)
    except ConnectionResetError:
        pass  # the sender has reset it
    return received


@pytest.mark.parametrize("ends", ["timed out", "cancelled"])
def test_a_request_that_was_given_up_does_not_reach_its_server_later(ends):
    """Guards against DRAIN and GONE: bytes that waited for a stalled server were delivered."""

    async def main():
        loop, server = asyncio.get_running_loop(), listen()
        endpoint = Endpoint(*server.getsockname())
        clock, metrics = LoopClock(), Metrics()
        attempt = Attempt(PlatformHeaderCodec(), ConnectionPool(clock, metrics), clock)
        entry = ServerEntry("s-0", "s", endpoint, "z", 8)
        req = CallerRequest("r-1", "POST", b"/x", "h", "/x", HEADERS, body=BODY)
        limit = seconds(SILENCE_S) if ends == "timed out" else None
        sending = asyncio.ensure_future(
            attempt.run(
                req, Dispatch(entry, seconds(9)), None, SilenceTimeouts(limit), True, lambda: None
            )
        )
        conn, _ = await loop.sock_accept(server)
        if ends == "timed out":
            assert isinstance(await sending, Broken)
        else:
            await asyncio.sleep(SILENCE_S)
            sending.cancel()
            await asyncio.wait((sending,))
        await asyncio.sleep(SILENCE_S)
        assert await read_all(conn) < len(BODY)
        conn.close()
        server.close()

    asyncio.run(main())
