"""Engine adapter "sse": streams over HTTP as server-sent events, through the curl client."""

import asyncio
import collections
import datetime
import json

import attrs
import pycurl
import tornado.curl_httpclient
import tornado.httpclient

from cicadapond.backend import (
    Accepted,
    Engine,
    EngineStream,
    NotSent,
    OrderRefused,
    engines,
)
from cicadapond.data import (
    BackendServer,
    Broken,
    CacheEvent,
    EngineState,
    FailureKind,
    Finished,
    GenerateCall,
    LoadReport,
    Order,
    Token,
)
from cicadapond.kernel import AnswerLost, Ok, Unavailable, seconds
from cicadapond.plugins._fetching import fetch_complete

CONNECT_TIMEOUT_SECONDS = 1.0
CONTROL_TIMEOUT_SECONDS = 2.0
EXPORT_MARGIN_SECONDS = 1.0
STREAM_TIMEOUT_SECONDS = datetime.timedelta(days=1).total_seconds()
MAX_CLIENTS = 4096
MAX_EVENT_BYTES = 1_000_000
EVENT_END = b"\n\n"
STATUS_OK = 200
STATUS_NO_RESPONSE = 599
STATUS_CONFLICT = 409
STATUS_UNAVAILABLE = 503
NO_CONNECTION_ERRORS = (
    pycurl.E_COULDNT_CONNECT,
    pycurl.E_COULDNT_RESOLVE_HOST,
    pycurl.E_INTERFACE_FAILED,
)
PARSE_ERRORS = (ValueError, TypeError, KeyError, AttributeError)


class _EngineClient(tornado.curl_httpclient.CurlAsyncHTTPClient):
    """The HTTP client shared by all engines; the base class keeps one instance per event loop."""


async def _fetch(request):
    """Returns the response; without one, one with status STATUS_NO_RESPONSE and the error."""
    client = _EngineClient(max_clients=MAX_CLIENTS)
    try:
        return await fetch_complete(client, request)
    except tornado.httpclient.HTTPError as exc:
        return tornado.httpclient.HTTPResponse(request, STATUS_NO_RESPONSE, error=exc)


@engines.register("sse")
class SseEngine(Engine):
    """Adapter of one engine, over HTTP."""

    def __init__(self, server: BackendServer, clock, metrics):
        self.server = server
        self._clock = clock
        self._metrics = metrics
        self._base = f"http://{server.endpoint}"
        self._cancels = set()

    def generate(self, call):
        return _SseStream(self, call)

    async def export_kv(self, stream_id, target, timeout):
        fields = {"stream_id": stream_id, "target": str(target.endpoint)}
        fields["limit_seconds"] = timeout.total_seconds()
        request_timeout = timeout.total_seconds() + EXPORT_MARGIN_SECONDS
        response = await self._fetch("/v1/kv/export", fields, request_timeout)
        if response.code == STATUS_CONFLICT:
            return NotSent(_reason(response))
        return self._value(response, str)

    async def load_report(self):
        return self._value(await self._fetch("/v1/load"), self._load_report)

    def _load_report(self, fields):
        known = {field.name for field in attrs.fields(LoadReport)}
        fields = {name: value for name, value in fields.items() if name in known}
        fields |= {"server": self.server.name, "age": seconds(fields["age"])}
        return LoadReport(**fields)

    async def cache_events(self, after):
        response = await self._fetch(f"/v1/cache/events?after={after}")
        return self._value(response, lambda rows: tuple(CacheEvent(*row) for row in rows))

    async def order(self, order: Order):
        fields = attrs.asdict(order) | {"kind": order.kind.value}
        response = await self._fetch("/v1/orders", fields)
        if response.code == STATUS_OK:
            return Accepted()
        if response.code == STATUS_CONFLICT:
            return self._refused(response)
        if response.code == STATUS_UNAVAILABLE or _never_connected(response):
            return Unavailable(_reason(response))
        return AnswerLost(_reason(response))

    def _refused(self, response):
        try:
            newest = json.loads(response.body).get("newest_fencing")
        except PARSE_ERRORS:
            newest = None
        return OrderRefused(_reason(response), newest)

    async def state(self):
        return self._value(await self._fetch("/v1/state"), self._state)

    def _state(self, fields):
        names = {field.name for field in attrs.fields(EngineState)}
        known = {name: value for name, value in fields.items() if name in names}
        known |= {"server": self.server.name, "adapters": tuple(fields["adapters"])}
        return EngineState(**known)

    def _value(self, response, build):
        """Returns Ok with a response's value, or Unavailable; counts malformed responses."""
        if response.code != STATUS_OK:
            return Unavailable(_reason(response))
        try:
            return Ok(build(json.loads(response.body)["value"]))
        except PARSE_ERRORS as exc:
            self._metrics.count("engine_malformed", server=self.server.name)
            return Unavailable(f"engine {self.server.name} answered with malformed data: {exc!r}")

    async def _fetch(self, path, fields=None, timeout=CONTROL_TIMEOUT_SECONDS):
        request = tornado.httpclient.HTTPRequest(
            self._base + path,
            method="GET" if fields is None else "POST",
            body=None if fields is None else json.dumps(fields),
            headers={"Content-Type": "application/json", "Expect": ""},
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
            request_timeout=timeout,
            prepare_curl_callback=_prepare_control,
        )
        return await _fetch(request)

    def cancel(self, call: GenerateCall) -> None:
        """Asks the engine, on another connection, to end an attempt that is no longer read."""
        fields = {"stream_id": call.stream_id, "epoch": call.epoch}
        task = asyncio.ensure_future(self._fetch("/v1/cancel", fields))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    async def close(self):
        await asyncio.gather(*self._cancels, return_exceptions=True)


def _prepare_control(curl):
    # The client reuses its handles, so options set for a stream have to be reset.
    curl.setopt(pycurl.NOPROGRESS, 1)
    curl.setopt(pycurl.FRESH_CONNECT, 0)


def _reason(response):
    if response.error is not None and response.code != STATUS_CONFLICT:
        return str(response.error)
    try:
        return str(json.loads(response.body)["reason"])
    except PARSE_ERRORS:
        return f"status {response.code}"


def _never_connected(response):
    """Returns whether no connection was opened, so that nothing was sent."""
    exc = response.error
    if isinstance(exc, tornado.curl_httpclient.CurlError):
        return exc.errno in NO_CONNECTION_ERRORS
    # The request waited in the client's queue for longer than the connect timeout.
    return response.code == STATUS_NO_RESPONSE


class _SseStream(EngineStream):
    def __init__(self, engine: SseEngine, call: GenerateCall):
        self._engine = engine
        self._call = call
        self._events = collections.deque()
        self._arrived = asyncio.Event()
        self._buffer = bytearray()
        self._searched = 0
        self._ended = False
        self._closed = False
        self._curl = None
        request = tornado.httpclient.HTTPRequest(
            f"http://{engine.server.endpoint}/v1/generate",
            method="POST",
            body=json.dumps(attrs.asdict(call)),
            headers={"Content-Type": "application/json", "Expect": ""},
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
            request_timeout=STREAM_TIMEOUT_SECONDS,
            streaming_callback=self._receive,
            prepare_curl_callback=self._prepare,
        )
        self._fetch = asyncio.ensure_future(self._run(request))

    def _prepare(self, curl):
        self._curl = curl
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, lambda *_: int(self._closed))
        # The earlier attempt may have failed on a pooled connection that no longer delivers data.
        curl.setopt(pycurl.FRESH_CONNECT, int(self._call.epoch > 1))

    async def _run(self, request):
        try:
            response = await _fetch(request)
        finally:
            self._curl = None
        if not self._ended:
            self._push(self._broken(response))

    def _broken(self, response):
        epoch = self._call.epoch
        if _never_connected(response) or _timed_out(response):
            return Broken(epoch, FailureKind.UNREACHABLE, str(response.error))
        if isinstance(response.error, tornado.curl_httpclient.CurlError):
            return Broken(epoch, FailureKind.CRASHED, str(response.error))
        if response.code != STATUS_OK:
            detail = f"status {response.code}"
            return Broken(epoch, FailureKind.REFUSED, detail, _retry_after(response))
        return Broken(epoch, FailureKind.TRUNCATED, "the stream ended without its end")

    def _receive(self, chunk):
        self._buffer += chunk
        while (end := self._buffer.find(EVENT_END, self._searched)) >= 0:
            block = bytes(memoryview(self._buffer)[:end])
            del self._buffer[: end + len(EVENT_END)]
            self._searched = 0
            if block.startswith(b"data: "):
                self._push(self._parse(block.removeprefix(b"data: ")))
        # Each byte is searched once, but for one that may begin the end of an event.
        self._searched = max(0, len(self._buffer) - len(EVENT_END) + 1)
        if len(self._buffer) > MAX_EVENT_BYTES:
            self._push(self._malformed(f"an event of more than {MAX_EVENT_BYTES} bytes"))

    def _parse(self, text):
        try:
            return _parse_event(json.loads(text))
        except PARSE_ERRORS as exc:
            return self._malformed(repr(exc))

    def _malformed(self, detail):
        self._closed = True
        self._engine._metrics.count("engine_malformed", server=self._engine.server.name)
        detail = f"engine {self._engine.server.name} sent malformed data: {detail}"
        return Broken(self._call.epoch, FailureKind.TRUNCATED, detail)

    def _push(self, event):
        if self._ended:
            return
        own = (self._call.epoch, self._call.stream_id)
        self._ended = isinstance(event, Broken) or (
            isinstance(event, Finished) and (event.epoch, event.stream_id) == own
        )
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
        if self._closed:
            return
        self._closed = True
        if not self._ended:
            self._engine.cancel(self._call)


def _timed_out(response):
    """Returns whether it timed out; in practice a stream has a timeout for connecting only."""
    return getattr(response.error, "errno", None) == pycurl.E_OPERATION_TIMEDOUT


def _retry_after(response):
    try:
        return seconds(float(response.headers.get("Retry-After")))
    except (TypeError, ValueError):
        return None


def _parse_event(fields):
    epoch, stream_id = int(fields["e"]), str(fields["s"])
    if "done" in fields:
        cached, computed = int(fields["cached"]), int(fields["computed"])
        length, reason = int(fields["length"]), str(fields["done"])
        return Finished(epoch, length, reason, cached, computed, stream_id)
    return Token(epoch, int(fields["n"]), str(fields["t"]), stream_id)
