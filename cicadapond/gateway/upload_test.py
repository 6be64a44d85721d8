"""Sockets: callers' bodies in small chunks."""

import asyncio

import pytest

from cicadapond.gateway._caller import CallerConnection
from cicadapond.gateway._caller_requests import RequestHandler
from cicadapond.kernel import STEPS_PER_TURN, LoopClock, seconds
from cicadapond.serving import RequestLimits

BODY_BYTES = 20_000
HEAD = b"POST /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"


class Handler(RequestHandler):
    """Answers with the length of the body."""

    def limits(self):
        return RequestLimits(8192, BODY_BYTES, seconds(3), seconds(15))

    def is_stopping(self):
        return False

    def on_rejected(self, headers, exc):
        return [(b"reason", str(exc).encode())]

    def on_unfinished(self, headers, exc):
        pass

    def on_failed(self, headers, exc):
        pass

    async def handle(self, request, reply):
        await reply.send_complete(200, (), b"%d" % len(request.body))


def upload(chunk, count):
    """Returns the answer to a body, and how often other tasks could run meanwhile."""

    async def main():
        turns = 0

        async def others():
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: CallerConnection(Handler(), LoopClock()), "127.0.0.1", 0
        )
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname()[:2])
        other = asyncio.ensure_future(others())
        async with asyncio.timeout(60):
            writer.write(HEAD + chunk * count + b"0\r\n\r\n")
            answer = await reader.read(1000)
        other.cancel()
        writer.close()
        server.close()
        return answer, turns

    return asyncio.run(main())


def test_an_upload_in_single_bytes_yields_to_others_and_is_whole():
    """Guards against CONFIG: nothing else ran while received bytes of a caller were left."""
    answer, turns = upload(b"1\r\na\r\n", BODY_BYTES)
    assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(b"\r\n\r\n20000")
    assert turns >= BODY_BYTES / STEPS_PER_TURN


@pytest.mark.parametrize(
    ("chunk", "reason"),
    [(b"1;" + b"e" * 4000 + b"\r\na\r\n", b"with its framing"), (b"1\r\na\r\n", b"too long")],
)
def test_an_upload_without_end_is_refused(chunk, reason):
    answer, _ = upload(chunk, BODY_BYTES // (4 if len(chunk) > 9 else 1) + 1)
    assert answer.startswith(b"HTTP/1.1 413 ") and reason in answer
