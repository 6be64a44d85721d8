"""Engine adapter "sse": streams over HTTP as server-sent events, through the curl client."""

import asyncio
import collections
import datetime
import json

import attrs
import pycurl
import tornado.curl_httpclient
import tornado.httpclient

from cicadapond.backend import Engine, EngineStream, engines
from cicadapond.data import (
    BackendServer,
    BreakKind,
    Broken,
    CacheEvent,
    EngineState,
    Finished,
    GenerateCall,
    LoadReport,
    Order,
    Token,
)
from cicadapond.kernel import Ok, Unavailable

CONNECT_SECONDS = 1.0
MAX_CLIENTS = 4096
NO_CONNECTION_ERRORS = (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST)


@engines.register("sse")
class SseEngine(Engine):
    """An engine reached over HTTP."""

    def __init__(self, server: BackendServer, clock, metrics):
        self.server = server
        self._clock = clock
        self._metrics = metrics
        self._client = tornado.curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )

    def generate(self, call):
        return _SseStream(self._client, f"http://{self.server.endpoint}/v1/generate", call)

    async def export_kv(self, stream_id, target, limit):
        return Unavailable("this engine does not export KV cache")

    async def load_report(self) -> Ok[LoadReport] | Unavailable:
        return Unavailable("this engine does not report its load")

    async def cache_events(self, after) -> Ok[tuple[CacheEvent, ...]] | Unavailable:
        return Ok(())

    async def order(self, order: Order):
        return Unavailable("this engine takes no orders")

    async def state(self) -> Ok[EngineState] | Unavailable:
        return Unavailable("this engine does not report its state")

    async def close(self):
        self._client.close()


class _SseStream(EngineStream):
    def __init__(self, client, url, call: GenerateCall):
        self._epoch = call.epoch
        self._events = collections.deque()
        self._arrived = asyncio.Event()
        self._rest = b""
        self._ended = False
        self._closed = False
        self._curl = None
        request = tornado.httpclient.HTTPRequest(
            url,
            method="POST",
            body=json.dumps(attrs.asdict(call)),
            headers={"Content-Type": "application/json", "Expect": ""},
            connect_timeout=CONNECT_SECONDS,
            request_timeout=datetime.timedelta(days=1).total_seconds(),
            streaming_callback=self._receive,
            prepare_curl_callback=self._prepare,
        )
        self._fetch = asyncio.ensure_future(self._run(client, request))

    def _prepare(self, curl):
        self._curl = curl
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, lambda *_: int(self._closed))

    async def _run(self, client, request):
        try:
            response = await client.fetch(request, raise_error=False)
        finally:
            self._curl = None
        if not self._ended:
            self._push(self._broken(response))

    def _broken(self, response):
        exc = response.error
        if isinstance(exc, tornado.curl_httpclient.CurlError):
            unreachable = exc.errno in NO_CONNECTION_ERRORS
            kind = BreakKind.UNREACHABLE if unreachable else BreakKind.CRASHED
            return Broken(self._epoch, kind, str(exc))
        if response.code != 200:
            return Broken(self._epoch, BreakKind.REFUSED, f"status {response.code}")
        return Broken(self._epoch, BreakKind.TRUNCATED, "the stream ended without its end")

    def _receive(self, chunk):
        *lines, self._rest = (self._rest + chunk).split(b"\n\n")
        for line in lines:
            if line.startswith(b"data: "):
                self._push(_parse_event(self._epoch, json.loads(line[6:])))

    def _push(self, event):
        if self._ended:
            return
        self._ended = not isinstance(event, Token)
        self._events.append(event)
        self._arrived.set()

    async def read(self):
        while not self._events:
            self._arrived.clear()
            await self._arrived.wait()
        events = tuple(self._events)
        self._events.clear()
        return events

    def pause(self):
        if self._curl is not None:
            self._curl.pause(pycurl.PAUSE_RECV)

    def resume(self):
        if self._curl is not None:
            self._curl.pause(pycurl.PAUSE_CONT)

    def close(self):
        self._closed = True


def _parse_event(epoch, fields):
    if "done" in fields:
        cached, computed = fields["cached"], fields["computed"]
        return Finished(epoch, fields["length"], fields["done"], cached, computed)
    return Token(epoch, fields["n"], fields["t"])
