"""Sockets: answers that a server begins before it has read the request's body.

Guards against MIXED: a part of an answer without a length that was passed on as a whole one.
"""

import asyncio
import contextlib
import socket
import struct

import pytest

from cicadapond.data import Endpoint
from cicadapond.forwarding import (
    Attempt,
    Broken,
    ConnectionPool,
    SilenceTimeouts,
    StreamWhole,
    Whole,
)
from cicadapond.forwarding.cut_answer_test import EVENTS, HEADERS, OWN, STREAM, Events
from cicadapond.kernel import LoopClock, Metrics, seconds
from cicadapond.platform import PlatformHeaderCodec
from cicadapond.serving import CallerRequest, Dispatch, ServerEntry

KB = 1024
READ_FIRST = 20 * KB
SIZES = (200 * KB, 2048 * KB, 16 * 1024 * KB)
ANSWERS = {"plain": OWN + b"\r\nhello", "stream": STREAM + b"\r\n" + EVENTS}
SIZED = OWN + b"Content-Length: 5\r\n\r\nhello"


def _reset(writer):
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def _read_on(reader, body_bytes):
    with contextlib.suppress(asyncio.IncompleteReadError):
        await reader.readexactly(body_bytes - READ_FIRST)


async def outcome_of(answer, body_bytes, end):
    """Returns the outcome of an upload whose server answers after the first part of the body.

    Args:
      answer: The answer.
      body_bytes: The size of the body.
      end: Ends the connection, given the reader, the writer and the size.
    """

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(READ_FIRST)
            writer.write(answer)
            await writer.drain()
            await end(reader, writer, body_bytes)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=READ_FIRST)
    entry = ServerEntry("s-0", "s", Endpoint(*server.sockets[0].getsockname()[:2]), "z", 8)
    clock = LoopClock()
    pool = ConnectionPool(clock, Metrics())
    attempt = Attempt(PlatformHeaderCodec(), pool, clock)
    req = CallerRequest("r-1", "POST", b"/x", "h", "/x", HEADERS, bytes(body_bytes))
    async with server, asyncio.timeout(20):
        outcome = await attempt.run(
            req, Dispatch(entry, seconds(15)), Events(), SilenceTimeouts(), True, lambda: None
        )
        pool.close()
        return outcome


async def half_close_then_reset(reader, writer, body_bytes):
    writer.write_eof()
    await asyncio.sleep(0.02)
    _reset(writer)


async def reset(reader, writer, body_bytes):
    await asyncio.sleep(0.02)
    _reset(writer)


async def close_unread(reader, writer, body_bytes):
    writer.close()


async def half_close_then_read_on(reader, writer, body_bytes):
    writer.write_eof()
    await asyncio.sleep(0.1)
    await _read_on(reader, body_bytes)


async def read_on_then_close(reader, writer, body_bytes):
    await _read_on(reader, body_bytes)


@pytest.mark.parametrize("end", [half_close_then_reset, reset, close_unread])
@pytest.mark.parametrize("body_bytes", SIZES)
@pytest.mark.parametrize("name", ANSWERS)
def test_an_answer_that_a_reset_follows_during_the_upload_is_not_whole(name, body_bytes, end):
    outcome = asyncio.run(outcome_of(ANSWERS[name], body_bytes, end))
    assert isinstance(outcome, Broken)


@pytest.mark.parametrize("end", [half_close_then_read_on, read_on_then_close])
@pytest.mark.parametrize("body_bytes", SIZES)
@pytest.mark.parametrize("name", ANSWERS)
def test_an_early_answer_of_a_server_that_reads_on_is_whole(name, body_bytes, end):
    outcome = asyncio.run(outcome_of(ANSWERS[name], body_bytes, end))
    assert isinstance(outcome, Whole | StreamWhole), outcome


@pytest.mark.parametrize("end", [half_close_then_reset, half_close_then_read_on, reset])
def test_an_early_answer_with_a_length_is_whole_whatever_follows(end):
    outcome = asyncio.run(outcome_of(SIZED, SIZES[0], end))
    assert isinstance(outcome, Whole) and outcome.body == b"hello"


@pytest.mark.parametrize("is_framed", [True, False])
@pytest.mark.parametrize(
    "status", ["000", "001", "099", "199", "20", "2000", "-20", "600", "700", "999"]
)
def test_a_status_that_http_does_not_have_is_no_answer(status, is_framed):
    head = OWN.replace(b"200 OK", status.encode() + b" Odd")
    answer = head + (b"Content-Length: 5\r\n\r\nhello" if is_framed else b"\r\nhello")
    outcome = asyncio.run(outcome_of(answer, READ_FIRST, read_on_then_close))
    assert isinstance(outcome, Broken) and (outcome.is_malformed or status == "199")


@pytest.mark.parametrize("status", [200, 404, 500, 599])
def test_a_status_of_http_is_an_answer(status):
    answer = SIZED.replace(b"200", b"%d" % status)
    outcome = asyncio.run(outcome_of(answer, READ_FIRST, read_on_then_close))
    assert isinstance(outcome, Whole) and outcome.head.status == status
