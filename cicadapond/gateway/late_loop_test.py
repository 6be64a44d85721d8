"""Sockets: what callers sent in time is read although the event loop is behind."""

import asyncio
import time

import pytest

from cicadapond.gateway._caller import CallerConnection
from cicadapond.gateway.upload_test import BODY_BYTES, HEAD, Handler
from cicadapond.kernel import LoopClock, seconds
from cicadapond.serving import RequestLimits

TIMEOUT_S = 0.1
REQUEST = HEAD + b"1\r\na\r\n0\r\n\r\n"


class ImpatientHandler(Handler):
    def limits(self):
        return RequestLimits(8192, BODY_BYTES, seconds(TIMEOUT_S), seconds(TIMEOUT_S))


@pytest.mark.parametrize("sent", [0, 10, len(HEAD), len(HEAD) + 6])
def test_a_request_that_was_received_before_a_delay_is_answered(sent):
    """Guards against LOST: it was closed, or answered 408, although it had come in time."""

    async def main():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: CallerConnection(ImpatientHandler(), LoopClock()), "127.0.0.1", 0
        )
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname()[:2])
        writer.write(REQUEST)
        assert (await reader.readuntil(b"\r\n\r\n1")).startswith(b"HTTP/1.1 200 ")
        writer.write(REQUEST[:sent])
        await asyncio.sleep(TIMEOUT_S / 4)
        writer.write(REQUEST[sent:])
        time.sleep(2 * TIMEOUT_S)
        async with asyncio.timeout(10):
            answer = await reader.read(1000)
        writer.close()
        server.close()
        return answer

    assert asyncio.run(main()).startswith(b"HTTP/1.1 200 ")
