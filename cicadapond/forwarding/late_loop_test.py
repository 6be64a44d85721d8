"""Sockets: what servers sent in time is read although the event loop is behind."""

import asyncio
import contextlib
import time

import pytest

from cicadapond.data import Endpoint
from cicadapond.forwarding import Attempt, ConnectionPool, SilenceTimeouts, StreamWhole, Whole
from cicadapond.forwarding.cut_answer_test import CHUNKED, FRAMED, HEADERS, STREAM, Events
from cicadapond.kernel import LoopClock, Metrics, seconds
from cicadapond.platform import PlatformHeaderCodec
from cicadapond.serving import CallerRequest, Dispatch, ServerEntry

TIMEOUT_S = 0.1
HEAD = STREAM + CHUNKED


@pytest.mark.parametrize("name", ["sized", "stream"])
@pytest.mark.parametrize("sent", [0, 40, len(HEAD)])
def test_an_answer_that_was_received_before_a_delay_is_no_silence(name, sent):
    """Guards against BUDGET and LOST: a sound answer was given up, and its server blamed."""
    answer = FRAMED[name]

    async def serve(reader, writer):
        with contextlib.closing(writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer[:sent])
            await asyncio.sleep(TIMEOUT_S / 2)
            writer.write(answer[sent:])
            time.sleep(2 * TIMEOUT_S)

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        entry = ServerEntry("s-0", "s", Endpoint(*server.sockets[0].getsockname()[:2]), "z", 8)
        pool = ConnectionPool(LoopClock(), Metrics())
        attempt = Attempt(PlatformHeaderCodec(), pool, LoopClock())
        req = CallerRequest("r-1", "GET", b"/x", "h", "/x", HEADERS)
        limits = SilenceTimeouts(seconds(TIMEOUT_S))
        async with server, asyncio.timeout(5):
            dispatch = Dispatch(entry, seconds(5))
            outcome = await attempt.run(req, dispatch, Events(), limits, True, lambda: None)
        pool.close()
        return outcome

    assert isinstance(asyncio.run(main()), Whole | StreamWhole)
