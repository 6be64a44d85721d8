"""Handlers of `/v1/completions` and `/v1/chat/completions`."""

import datetime

from cicadapond.data import Completion, Priority
from cicadapond.entry._body import read_body
from cicadapond.entry._http_base import CallerHandler
from cicadapond.entry._problem import PENDING, invalid_body
from cicadapond.entry._shapes import STREAM_END, AnswerHead, ChatShape, CompletionShape
from cicadapond.entry._sink import CompletionSink
from cicadapond.kernel import Findings, NotRun, Ok


class CompletionHandler(CallerHandler):
    """Answers a completion, as one JSON body or as a stream."""

    chat = False
    shape_class = CompletionShape

    async def post(self):
        """Runs a completion, or accepts a durable one."""
        await self.serve(self._complete())

    async def _complete(self):
        findings = Findings()
        body = read_body(self.body(), self.chat, findings)
        if body is None:
            self.refuse(invalid_body(findings), findings)
            return
        refusal = check_model(self.parts.core.intent, self.account, body)
        if refusal is not None:
            self.refuse(refusal)
            return
        req = self._request(body)
        if req.durable:
            self.continues_without_caller = True
            await self._accept(req)
        elif body.stream:
            await self._stream(req, body)
        else:
            await self._answer_complete(req)

    def _request(self, body):
        model = self.parts.core.intent.models[body.model]
        preferences = self.preferences
        level = (
            model.default_priority.priority()
            if preferences.priority is None
            else preferences.priority
        )
        return Completion(
            request_id=self.request_id,
            account=self.account,
            model=body.model,
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            priority=Priority.BATCH if preferences.respond_async else level,
            adapter=body.adapter,
            stop=body.stop,
            seed=body.seed,
            deadline=self.deadline(level, durable=preferences.respond_async),
            idempotency_key=self.request.headers.get("Idempotency-Key"),
            durable=preferences.respond_async,
        )

    def _shape(self, req):
        created = int(self.parts.clock.now().timestamp())
        return self.shape_class(AnswerHead(req.request_id, req.model, created), req.prompt)

    async def _accept(self, req):
        outcome = await self.parts.core.accept(req)
        if not isinstance(outcome, Ok):
            self.refuse(outcome)
            return
        path = f"/v1/requests/{outcome.value}"
        self.request_id = outcome.value
        self.set_header("Location", path)
        self.set_header("Preference-Applied", "respond-async")
        body = {"id": outcome.value, "state": "accepted", "location": path}
        self.answer_json(body, status=202, outcome=PENDING)

    async def _answer_complete(self, req):
        limits = self.parts.limits
        sink = _BufferSink(self.parts.clock, limits.write_interval(req.priority))
        outcome = await self.parts.core.complete(req, sink)
        if not isinstance(outcome, Ok):
            self.refuse(outcome)
            return
        self.answer_json(self._shape(req).complete_body("".join(sink.texts), outcome.value))

    async def _stream(self, req, body):
        shape = self._shape(req)
        sink = SseSink(self, shape, self.parts.limits.write_interval(req.priority))
        outcome = await self.parts.core.complete(req, sink)
        if not isinstance(outcome, Ok):
            await self.answer_failure(outcome, sink.started)
            return
        sink.start()
        self.write(shape.end_event(outcome.value.reason))
        if body.include_usage:
            self.write(shape.usage_event(outcome.value))
        self.write(STREAM_END)


class ChatHandler(CompletionHandler):
    """Answers a chat completion."""

    chat = True
    shape_class = ChatShape


class _BufferSink(CompletionSink):
    """Buffers an answer's texts until it is complete.

    Args:
      clock: Gives the time.
      interval: The wait between reads, so that tokens are read in batches.
    """

    def __init__(self, clock, interval: datetime.timedelta):
        self.texts = []
        self._clock = clock
        self._interval = interval

    async def pace(self):
        if self._interval:
            await self._clock.sleep(self._interval)

    async def tokens(self, tokens):
        self.texts.extend(token.text for token in tokens)


class SseSink(CompletionSink):
    """Sends tokens to the caller as server-sent events.

    The headers are sent with the first token, so that a request that is not run still gets its
    own status.  Tokens that arrive within the interval after a write are sent in one event, since a
    write to the caller's socket costs as much as all other work for a token.  (Conflation into
    frames is described in "A Price That Goes Backwards Is a Liability".)

    Args:
      handler: Writes to the caller.
      shape: The events' form.
      interval: The least time between two writes.
    """

    def __init__(self, handler, shape, interval: datetime.timedelta = datetime.timedelta()):
        self._handler = handler
        self._shape = shape
        self._interval = interval
        self.started = False

    def start(self):
        """Writes the headers and the stream's first event, once."""
        if self.started:
            return
        self.started = True
        self._handler.start_stream()
        self._handler.write(self._shape.opening())

    async def tokens(self, tokens):
        self.start()
        await self._handler.send(self._shape.text_event("".join(token.text for token in tokens)))

    async def pace(self):
        if self._interval:
            await self._handler.parts.clock.sleep(self._interval)


def check_model(intent, account, body) -> NotRun | None:
    """Returns why an account may not run a completion, or None.

    Args:
      intent: The document in force.
      account: The account's name.
      body: The validated body.
    """
    allowed = intent.accounts[account].models if account in intent.accounts else None
    names = [name for name in intent.models if allowed is None or name in allowed]
    if body.model not in names:
        return NotRun(f"no model {body.model!r}; there are {', '.join(names)}", status=404)
    model = intent.models[body.model]
    if body.adapter is not None and body.adapter not in model.adapters:
        known = ", ".join(model.adapters) or "none"
        return NotRun(f"no adapter {body.adapter!r} of this model; there are {known}", status=404)
    if body.max_tokens > model.max_tokens:
        limit = f"max_tokens {body.max_tokens} is over the model's {model.max_tokens}"
        return NotRun(limit, status=400)
    return None


class ModelsHandler(CallerHandler):
    """Lists the models that the account may use."""

    async def get(self):
        """Answers with the list of models."""
        intent = self.parts.core.intent
        allowed = intent.accounts[self.account].models
        names = [name for name in intent.models if allowed is None or name in allowed]
        models = [{"id": name, "object": "model", "owned_by": "cicadapond"} for name in names]
        self.answer_json({"object": "list", "data": models})
