"""Processor time of reading answers in chunks of several sizes, as the answers grow.

Client and server run in one process on loopback; the server writes bytes that were made before.
"""

import asyncio
import contextlib
import time

from cicadapond.data import Endpoint
from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.forwarding import (
    Attempt,
    Broken,
    ConnectionPool,
    HeaderCodec,
    ResponseSink,
    SilenceTimeouts,
)
from cicadapond.kernel import LoopClock, Metrics, seconds
from cicadapond.serving import CallerRequest, Dispatch, ResponseHead, ServerEntry

CHUNK_BYTES = (1, 16, 4096)
SENT_BYTES = (64_000, 160_000, 640_000)
MEGABYTE = 1_000_000
LIMIT = seconds(600)
REQUEST_ID = "r"
HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: %s\r\ntransfer-encoding: chunked\r\n\r\n"
# The media type and the byte that fills the answer.
ANSWERS = {
    "one event": (b"text/event-stream", b"a"),
    "blank lines": (b"text/event-stream", b"\n"),
    "plain": (b"text/plain", b"a"),
}


class _Codec(HeaderCodec):
    """Takes each answer for that to the request."""

    def request_id(self, headers):
        raise NotImplementedError

    def parse_request(self, method, target, headers, body):
        raise NotImplementedError

    def server_headers(self, req, dispatch):
        return req.headers

    def caller_headers(self, req, dispatch):
        return req.headers

    def parse_response_head(self, status, headers):
        return ResponseHead(status, tuple(headers), REQUEST_ID, is_signed=True)

    def local_response_headers(self, request_id, retry_after):
        return []


class _Discard(ResponseSink):
    def head(self, head):
        pass

    async def begin(self, head):
        pass

    async def event(self, event):
        pass


async def _cpu_seconds_per_megabyte(media_type, fill, chunk_bytes, sent_bytes):
    """Returns the processor time per received megabyte, and whether the answer was ended early."""
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, fill * chunk_bytes)
    end = b"9\r\ndata: a\n\n\r\n0\r\n\r\n"
    answer = HEAD % media_type + chunk * (sent_bytes // len(chunk)) + end

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        with contextlib.suppress(ConnectionError):  # the attempt was given up
            await reader.read()
        writer.close()
        served.set()

    served = asyncio.Event()
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    entry = ServerEntry("s", "s", Endpoint(*server.sockets[0].getsockname()[:2]), "z", 1)
    clock = LoopClock()
    pool = ConnectionPool(clock, Metrics())
    attempt = Attempt(_Codec(), pool, clock)
    req = CallerRequest(REQUEST_ID, "GET", b"/x", "h", "/x", ((b"host", b"h"),))
    begun = time.process_time()
    outcome = await attempt.run(
        req, Dispatch(entry, LIMIT), _Discard(), SilenceTimeouts(), False, lambda: None
    )
    took = time.process_time() - begun
    pool.close()
    await served.wait()
    server.close()
    was_ended = isinstance(outcome, Broken)
    received = outcome.received_bytes if was_ended else len(answer)
    return took * MEGABYTE / received, was_ended


@experiments.register("chunks")
class Chunks(Experiment):
    """Measures the processor time of answers in chunks."""

    summary = "processor time per received MB of answers in chunks of several sizes"

    def run(self, seeds):
        rows = []
        for name, (media_type, fill) in ANSWERS.items():
            for chunk_bytes in CHUNK_BYTES:
                cells = []
                for sent_bytes in SENT_BYTES:
                    took, was_ended = asyncio.run(
                        _cpu_seconds_per_megabyte(media_type, fill, chunk_bytes, sent_bytes)
                    )
                    cells.append(f"{took:.3g}" + (" (ended)" if was_ended else ""))
                rows.append((name, chunk_bytes, *cells))
        columns = ("answer", "bytes a chunk", *(f"{each // 1000} KB" for each in SENT_BYTES))
        title = "Processor seconds per received MB, by the bytes received in all"
        return (Table(title, columns, tuple(rows)),)
