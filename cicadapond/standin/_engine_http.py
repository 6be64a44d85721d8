"""HTTP server of a simulated engine: streams as server-sent events, the rest as JSON."""

import asyncio
import datetime
import json

import attrs
import tornado.curl_httpclient
import tornado.httpclient
import tornado.httpserver
import tornado.iostream
import tornado.web

from cicadapond.backend import Accepted, NotSent, OrderRefused
from cicadapond.data import (
    Broken,
    Endpoint,
    FailureKind,
    Finished,
    GenerateCall,
    Order,
    OrderKind,
    Priority,
    Token,
)
from cicadapond.kernel import Ok, Unavailable, seconds
from cicadapond.standin._engine import EngineModel, KvTarget

STATUS_CONFLICT = 409
STATUS_UNAVAILABLE = 503


class EngineListener:
    """Serves one simulated engine over HTTP while it is up.

    Args:
      model: The engine.
      endpoint: The address to listen on.
    """

    def __init__(self, model: EngineModel, endpoint: Endpoint):
        self._model = model
        self._endpoint = endpoint
        self._server = None
        self._closing = set()
        model.on_up_change.append(self._on_up_change)

    def start(self) -> None:
        """Starts to listen."""
        self._server = tornado.httpserver.HTTPServer(engine_application(self._model))
        self._server.listen(self._endpoint.port, self._endpoint.host)

    async def stop(self) -> None:
        """Stops the listener, its connections and the engine's tasks."""
        self._model.on_up_change.remove(self._on_up_change)
        self._stop_listening()
        await asyncio.gather(*self._closing)
        await self._model.close()

    def _on_up_change(self, up):
        if up:
            self.start()
        else:
            self._stop_listening()

    def _stop_listening(self):
        server, self._server = self._server, None
        if server is None:
            return
        server.stop()
        closing = asyncio.ensure_future(server.close_all_connections())
        self._closing.add(closing)
        closing.add_done_callback(self._closing.discard)


def engine_application(model: EngineModel) -> tornado.web.Application:
    """Returns the web application of one simulated engine."""
    routes = (
        ("/v1/generate", _GenerateHandler),
        ("/v1/cancel", _CancelHandler),
        ("/v1/kv/export", _ExportHandler),
        ("/v1/kv/import", _ImportHandler),
        ("/v1/load", _LoadHandler),
        ("/v1/cache/events", _EventsHandler),
        ("/v1/orders", _OrderHandler),
        ("/v1/state", _StateHandler),
        ("/faults", _FaultsHandler),
    )
    return tornado.web.Application([(path, cls, {"model": model}) for path, cls in routes])


class _EngineHandler(tornado.web.RequestHandler):
    def initialize(self, model):
        self._model = model

    def _fields(self):
        return json.loads(self.request.body)

    def _answer(self, outcome):
        if isinstance(outcome, Ok):
            self.write({"value": outcome.value})
        else:
            self.set_status(
                STATUS_UNAVAILABLE if isinstance(outcome, Unavailable) else STATUS_CONFLICT
            )
            self.write({"reason": outcome.reason})


class _GenerateHandler(_EngineHandler):
    async def post(self):
        call = _parse_call(self._fields())
        run = self._model.submit(call)
        refusal = run.refused
        if refusal is not None:
            self._refuse(refusal)
            return
        self.set_header("Content-Type", "text/event-stream")
        try:
            await self.flush()
            await self._stream(run)
        except tornado.iostream.StreamClosedError:
            return
        finally:
            self._model.cancel(call.stream_id, call.epoch)

    async def _stream(self, run):
        while True:
            events = await run.read()
            for event in events:
                if isinstance(event, Broken):
                    self.request.connection.stream.close()
                    return
                if event is not None:
                    self.write(_event_line(event))
            await self.flush()
            if not isinstance(events[-1], Token):
                return

    def _refuse(self, broken):
        if broken.kind is not FailureKind.REFUSED:
            self.request.connection.stream.close()
            return
        self.set_status(STATUS_UNAVAILABLE)
        if broken.retry_after is not None:
            self.set_header("Retry-After", f"{broken.retry_after.total_seconds():.0f}")
        self.write({"reason": broken.detail})

    def on_connection_close(self):
        fields = self._fields()
        self._model.cancel(fields["stream_id"], fields["epoch"])


class _CancelHandler(_EngineHandler):
    def post(self):
        fields = self._fields()
        self.write({"cancelled": self._model.cancel(fields["stream_id"], fields["epoch"])})


class _RemoteTarget(KvTarget):
    """Another simulated engine, reached over HTTP; only the source's link limits the rate."""

    def __init__(self, url):
        self._url = url

    def link_free(self):
        return datetime.timedelta()

    def reserve_link(self, end):
        return None

    async def accept_kv(self, text, tokens):
        client = tornado.curl_httpclient.CurlAsyncHTTPClient()
        body = json.dumps({"text": text, "tokens": tokens})
        try:
            response = await client.fetch(self._url, method="POST", body=body)
        except (tornado.httpclient.HTTPError, OSError) as exc:
            return Unavailable(f"the target did not take the KV cache: {exc}")
        return Ok(json.loads(response.body)["value"])


class _ExportHandler(_EngineHandler):
    async def post(self):
        fields = self._fields()
        target = _RemoteTarget(f"http://{fields['target']}/v1/kv/import")
        limit = seconds(fields["limit_seconds"])
        self._answer(await self._model.export_kv(fields["stream_id"], target, limit))


class _ImportHandler(_EngineHandler):
    async def post(self):
        fields = self._fields()
        self._answer(await self._model.accept_kv(fields["text"], fields["tokens"]))


class _LoadHandler(_EngineHandler):
    def get(self):
        outcome = self._model.load_report()
        if isinstance(outcome, Ok):
            fields = attrs.asdict(outcome.value)
            outcome = Ok(fields | {"age": outcome.value.age.total_seconds()})
        self._answer(outcome)


class _EventsHandler(_EngineHandler):
    def get(self):
        outcome = self._model.cache_events(int(self.get_query_argument("after", "0")))
        if isinstance(outcome, Ok):
            outcome = Ok([attrs.astuple(event) for event in outcome.value])
        self._answer(outcome)


class _StateHandler(_EngineHandler):
    def get(self):
        outcome = self._model.state()
        self._answer(Ok(attrs.asdict(outcome.value)) if isinstance(outcome, Ok) else outcome)


class _OrderHandler(_EngineHandler):
    def post(self):
        fields = self._fields()
        fields["kind"] = OrderKind(fields["kind"])
        fields["adapters"] = tuple(fields["adapters"])
        match self._model.order(Order(**fields)):
            case Accepted():
                self.write({"value": "accepted"})
            case OrderRefused(reason, newest):
                self.set_status(STATUS_CONFLICT)
                self.write({"reason": reason, "newest_fencing": newest})
            case NotSent(reason) | Unavailable(reason):
                self.set_status(STATUS_UNAVAILABLE)
                self.write({"reason": reason})


class _FaultsHandler(_EngineHandler):
    """Sets `EngineFaults` by name; `crash`, `silence` and `reclaim_seconds` act at once."""

    def post(self):
        fields = self._fields()
        known = {field.name for field in attrs.fields(type(self._model.faults))}
        actions = {"crash", "silence", "reclaim_seconds"}
        unknown = sorted(set(fields) - known - actions)
        if unknown:
            self.set_status(400)
            self.write({"reason": f"no fault {', '.join(unknown)}"})
            return
        for name in known & set(fields):
            setattr(self._model.faults, name, fields[name])
        if fields.get("silence"):
            self._model.silence_streams()
        if "reclaim_seconds" in fields:
            self._model.reclaim(seconds(fields["reclaim_seconds"]))
        self.write({"value": attrs.asdict(self._model.faults)})
        if fields.get("crash"):
            asyncio.get_running_loop().call_soon(self._model.crash)


def _parse_call(fields):
    fields["priority"] = Priority(fields["priority"])
    fields["resume"] = tuple(fields["resume"])
    fields["stop"] = tuple(fields["stop"])
    return GenerateCall(**fields)


def _event_line(event):
    if isinstance(event, Finished):
        fields = {"done": event.reason, "length": event.length}
        fields |= {"cached": event.cached_tokens, "computed": event.computed_tokens}
    else:
        fields = {"n": event.sequence, "t": event.text}
    fields |= {"e": event.epoch, "s": event.stream_id}
    return f"data: {json.dumps(fields, separators=(',', ':'))}\n\n"
