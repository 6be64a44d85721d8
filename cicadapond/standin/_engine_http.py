"""A stand-in engine's HTTP face: streams as server-sent events."""

import json

import attrs
import tornado.iostream
import tornado.web

from cicadapond.data import Finished, GenerateCall, Priority
from cicadapond.standin._engine import EngineModel


def engine_application(model: EngineModel) -> tornado.web.Application:
    """Returns the web application of one stand-in engine."""
    return tornado.web.Application([("/v1/generate", _GenerateHandler, {"model": model})])


class _GenerateHandler(tornado.web.RequestHandler):
    def initialize(self, model):
        self._model = model

    async def post(self):
        call = _parse_call(json.loads(self.request.body))
        self.set_header("Content-Type", "text/event-stream")
        try:
            async for event in self._model.generate(call):
                self.write(_event_line(event))
                await self.flush()
        except tornado.iostream.StreamClosedError:
            return


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
    return f"data: {json.dumps(fields, separators=(',', ':'))}\n\n"


def call_fields(call: GenerateCall) -> dict:
    """Returns a call as the fields of its JSON body."""
    return attrs.asdict(call)
