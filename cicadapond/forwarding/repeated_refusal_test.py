"""Sockets: a server that writes an earlier refusal once more on a kept connection."""

import asyncio

import attrs
import pytest

from cicadapond.data import Endpoint
from cicadapond.forwarding import (
    Attempt,
    Broken,
    ConnectionPool,
    Refused,
    ResponseSink,
    SilenceTimeouts,
    Whole,
)
from cicadapond.kernel import LoopClock, Metrics, seconds
from cicadapond.platform import PlatformHeaderCodec
from cicadapond.serving import CallerRequest, Dispatch, ServerEntry

HEADERS = ((b"host", b"h"),)


class Sink(ResponseSink):
    def head(self, head):
        return None

    async def begin(self, head):
        return None

    async def event(self, event):
        return None


def refusal(request_id):
    name = f"x-cicadapond-attempt-id: {request_id}\r\n" if request_id else ""
    head = f"HTTP/1.1 503 Full\r\n{name}x-cicadapond-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
    return head.encode()


def answer(request_id):
    head = f"HTTP/1.1 200 OK\r\nx-cicadapond-attempt-id: {request_id}\r\n"
    return f"{head}x-cicadapond-response-signature: s\r\ncontent-length: 2\r\n\r\nok".encode()


@attrs.define
class Server:
    """Answers the requests in order with the scripted bytes; `connections` counts its channels."""

    script: list[bytes]
    connections: int = 0

    async def serve(self, reader, writer):
        self.connections += 1
        while self.script:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            writer.write(self.script.pop(0))
        writer.close()


def play(script, *request_ids, repeatable=False):
    """Sends requests one after another; returns the outcomes and the server."""

    async def main():
        model = Server(list(script))
        server = await asyncio.start_server(model.serve, "127.0.0.1", 0)
        endpoint = Endpoint(*server.sockets[0].getsockname())
        clock, metrics = LoopClock(), Metrics()
        attempt = Attempt(PlatformHeaderCodec(), ConnectionPool(clock, metrics), clock)
        entry = ServerEntry("s-0", "s", endpoint, "z", 8)
        outcomes = []
        for request_id in request_ids:
            req = CallerRequest(request_id, "GET", b"/x", "h", "/x", HEADERS)
            dispatch = Dispatch(entry, seconds(9))
            silence = SilenceTimeouts(seconds(1))
            outcomes.append(
                await attempt.run(req, dispatch, Sink(), silence, repeatable, lambda: None)
            )
        server.close()
        return outcomes, model

    return asyncio.run(main())


@pytest.mark.parametrize("repeated", [None, "r-1"])
@pytest.mark.parametrize("repeatable", [False, True])
def test_a_refusal_written_once_more_is_not_taken_for_that_of_the_next_request(
    repeated, repeatable
):
    """Guards against REFUSED and TWICE: the next request runs, and counted as not run."""
    script = [refusal("r-1"), refusal(repeated) + answer("r-2")]
    (first, second), server = play(script, "r-1", "r-2", repeatable=repeatable)
    assert isinstance(first, Refused) and isinstance(second, Whole)
    assert server.connections == 1


def test_a_request_that_was_refused_on_a_connection_is_not_sent_on_it_again():
    """Guards against TWICE: a copy of the first refusal has the same id as the second one."""
    (first, second), server = play([refusal("r-1"), answer("r-1")], "r-1", "r-1")
    assert isinstance(first, Refused) and isinstance(second, Whole)
    assert server.connections == 2


def test_a_refusal_without_an_id_counts_on_a_new_connection():
    (outcome,), _ = play([refusal(None)], "r-1")
    assert isinstance(outcome, Refused)


def test_a_refusal_without_an_id_on_a_kept_connection_proves_nothing():
    (_, outcome), _ = play([answer("r-1"), refusal(None)], "r-1", "r-2")
    assert isinstance(outcome, Broken)


def test_refusals_without_end_prove_nothing():
    (_, outcome), _ = play([refusal("r-1"), refusal("r-1") * 4], "r-1", "r-2")
    assert isinstance(outcome, Broken)
