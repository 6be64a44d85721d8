"""Sockets: answers that are cut off at each byte, by a close or a reset."""

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
    ResponseSink,
    SilenceTimeouts,
    StreamWhole,
    Whole,
)
from cicadapond.kernel import LoopClock, Metrics, seconds
from cicadapond.platform import PlatformHeaderCodec
from cicadapond.serving import CallerRequest, Dispatch, ServerEntry

HEADERS = ((b"host", b"h"),)
OWN = b"HTTP/1.1 200 OK\r\nX-Cicadapond-Attempt-Id: r-1\r\nX-Cicadapond-Response-Signature: s\r\n"
STREAM = OWN + b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS = b"id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n"
INTERIM = b"HTTP/1.1 102 Processing\r\nContent-Length: 5\r\n\r\n"
SIZED = OWN + b"Content-Length: 5\r\nX-A: b\r\n\r\nhello"
# Framed answers: whole only with their last byte.
FRAMED = {
    "sized": SIZED,
    "empty": OWN + b"Content-Length: 0\r\nX-A: b\r\n\r\n",
    "chunked": OWN + CHUNKED + b"4;ext=1\r\nhell\r\n1\r\no\r\n0\r\nX-T: 1\r\n\r\n",
    "bare-lf": SIZED.replace(b"\r\n", b"\n"),
    "folded": OWN + b"X-Folded: 1\r\n HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    "interim": INTERIM + INTERIM + SIZED,
    "stream": STREAM + CHUNKED + b"%x\r\n%s\r\n0\r\n\r\n" % (len(EVENTS), EVENTS),
    "sized stream": STREAM + b"Content-Length: %d\r\n\r\n" % len(EVENTS) + EVENTS,
}
# Answers that end with their connection.
UNFRAMED = {"plain": OWN + b"\r\nhello", "stream": STREAM + b"\r\n" + EVENTS}
OTHER = SIZED.replace(b"r-1", b"r-0")


class Events(ResponseSink):
    def head(self, head):
        pass

    async def begin(self, head):
        pass

    async def event(self, event):
        pass


async def outcome_of(parts, resets=False, dies=False, paused=False):
    """Returns the last outcome when a server answers so on one connection and ends it, or dies."""

    async def serve(reader, writer):
        with contextlib.closing(writer), contextlib.suppress(asyncio.IncompleteReadError):
            for part in parts:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(part)
                await writer.drain()
            if paused:
                pool.record_pause()
            if dies:
                server.close()
            if resets:
                await asyncio.sleep(0.02)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    entry = ServerEntry("s-0", "s", Endpoint(*server.sockets[0].getsockname()[:2]), "z", 8)
    clock = LoopClock()
    pool = ConnectionPool(clock, Metrics())
    attempt = Attempt(PlatformHeaderCodec(), pool, clock)
    async with server, asyncio.timeout(5):
        for number in range(len(parts)):
            request_id = f"r-{number + 2 - len(parts)}"
            req = CallerRequest(request_id, "GET", b"/x", "h", "/x", HEADERS)
            outcome = await attempt.run(
                req, Dispatch(entry, seconds(5)), Events(), SilenceTimeouts(), True, lambda: None
            )
        pool.close()
        return outcome


def cuts_taken(answer, wanted, before=(), resets=False):
    """Returns at which of the bytes a cut answer was taken for a whole one."""

    async def main():
        taken = []
        for cut in wanted:
            outcome = await outcome_of([*before, answer[:cut]], resets)
            if isinstance(outcome, Whole | StreamWhole):
                taken.append(cut)
        return taken

    return asyncio.run(main())


@pytest.mark.parametrize("before", [(), (OTHER,)], ids=["new", "kept"])
@pytest.mark.parametrize("name", FRAMED)
def test_no_cut_of_a_framed_answer_is_whole(name, before):
    """Guards against MIXED and ORDER, also below."""
    answer = FRAMED[name]
    assert cuts_taken(answer, range(1, len(answer) + 1), before) == [len(answer)]


@pytest.mark.parametrize("name", UNFRAMED)
def test_an_unframed_answer_ends_with_its_connection_but_not_within_its_head(name):
    answer = UNFRAMED[name]
    body = answer.index(b"\r\n\r\n") + 4
    ends = range(body, len(answer) + 1)
    if name == "stream":
        ends = (body + EVENTS.index(b"id: 2"), len(answer))
    assert cuts_taken(answer, range(1, len(answer) + 1)) == list(ends)


@pytest.mark.parametrize("answer", [*UNFRAMED.values(), SIZED[:-1]], ids=["plain", "stream", "cut"])
def test_an_answer_that_ends_with_a_reset_is_not_whole(answer):
    cuts = (40, len(OWN), answer.index(b"\r\n\r\n") + 4, len(answer))
    assert cuts_taken(answer, cuts, resets=True) == []


@pytest.mark.parametrize("left_over", [SIZED[:60], b"0\r\n", b"\r\n", OTHER[:60]])
def test_left_over_bytes_of_an_answer_do_not_complete_a_cut_one(left_over):
    async def main():
        # The left-over bytes come after a late answer to an earlier request.
        for cut in range(1, len(SIZED)):
            outcome = await outcome_of([OTHER + left_over + SIZED[:cut]])
            assert not isinstance(outcome, Whole | StreamWhole), cut

    asyncio.run(main())


@pytest.mark.parametrize("name", UNFRAMED)
def test_an_unframed_answer_is_not_whole_if_its_server_died(name):
    assert isinstance(asyncio.run(outcome_of([UNFRAMED[name]], dies=True)), Broken)


def test_an_answer_without_a_body_does_not_depend_on_its_server_going_on():
    answer = OWN.replace(b"200 OK", b"204 No Content") + b"\r\n"
    assert isinstance(asyncio.run(outcome_of([answer], dies=True)), Whole)


def test_an_unframed_answer_is_not_whole_if_its_server_may_have_started_again_in_a_pause():
    assert isinstance(asyncio.run(outcome_of([UNFRAMED["stream"]], paused=True)), Broken)
