"""Callers' HTTP API."""

import json
import uuid

import tornado.iostream
import tornado.web

from cicadapond.data import Completion
from cicadapond.entry._core import CompletionSink, EntryCore
from cicadapond.entry._in_flight import InFlight
from cicadapond.kernel import NotRun, Ok


def caller_application(core: EntryCore, in_flight: InFlight) -> tornado.web.Application:
    """Returns the web application that callers reach."""
    parts = {"core": core, "in_flight": in_flight}
    return tornado.web.Application([("/v1/completions", _CompletionHandler, parts)])


class _CompletionHandler(tornado.web.RequestHandler):
    def initialize(self, core, in_flight):
        self._core = core
        self._in_flight = in_flight

    async def post(self):
        with self._in_flight.one():
            await self._complete()
            await self.finish()

    async def _complete(self):
        fields = json.loads(self.request.body)
        req = Completion(
            request_id=uuid.uuid4().hex,
            account="",
            model=fields["model"],
            prompt=fields["prompt"],
            max_tokens=fields.get("max_tokens", 16),
        )
        self.set_header("Cicadapond-Request-Id", req.request_id)
        sink = _SseSink(self, req) if fields.get("stream") else _WholeSink()
        try:
            outcome = await self._core.complete(req, sink)
        except tornado.iostream.StreamClosedError:
            return
        if not isinstance(outcome, Ok):
            self._problem(outcome)
        elif fields.get("stream"):
            await sink.finish(outcome.value)
        else:
            self.write(_body(req, "".join(sink.parts), outcome.value.reason))

    def _problem(self, outcome):
        tag = "not_run" if isinstance(outcome, NotRun) else "failed"
        self.set_status(outcome.status)
        self.set_header("Content-Type", "application/problem+json")
        self.write({"status": outcome.status, "outcome": tag, "detail": outcome.reason})


class _WholeSink(CompletionSink):
    def __init__(self):
        self.parts = []

    async def tokens(self, tokens):
        self.parts.extend(token.text for token in tokens)


class _SseSink(CompletionSink):
    def __init__(self, handler, req):
        self._handler = handler
        self._req = req

    async def tokens(self, tokens):
        self._handler.set_header("Content-Type", "text/event-stream")
        text = "".join(token.text for token in tokens)
        await self._send(_body(self._req, text, None))

    async def finish(self, finished):
        await self._send(_body(self._req, "", finished.reason))
        self._handler.write("data: [DONE]\n\n")

    async def _send(self, body):
        self._handler.write(f"data: {json.dumps(body)}\n\n")
        await self._handler.flush()


def _body(req, text, reason):
    return {
        "id": req.request_id,
        "object": "text_completion",
        "model": req.model,
        "choices": [{"index": 0, "text": text, "finish_reason": reason}],
    }
