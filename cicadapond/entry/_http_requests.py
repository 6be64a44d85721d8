"""Handler of `/v1/requests/{id}`: durable requests, as JSON or as a stream that can be resumed."""

from cicadapond.data import Finished
from cicadapond.entry._http_base import EVENT_STREAM, CallerHandler
from cicadapond.entry._problem import OK, PENDING, problem_body
from cicadapond.entry._shapes import STREAM_END, AnswerHead, CompletionShape
from cicadapond.entry._sink import CompletionSink
from cicadapond.journal import RequestState
from cicadapond.kernel import Failed, NotRun, Ok

MAX_EVENT_ID_DIGITS = 12


class DurableHandler(CallerHandler):
    """Answers with a durable request's state, or streams its answer from any token on."""

    async def get(self, request_id):
        """Answers with JSON, or with server-sent events if the caller accepts them."""
        self.request_id = request_id
        await self.serve(self._answer())

    async def _answer(self):
        last_event = read_event_id(self.request.headers.get("Last-Event-ID"))
        if last_event is None:
            self.refuse(NotRun("Last-Event-ID is not one of this stream's numbers", status=400))
            return
        found = await self.parts.core.lookup(self.request_id, self.account)
        if not isinstance(found, Ok):
            self.refuse(found)
        elif EVENT_STREAM in self.request.headers.get("Accept", ""):
            await self._stream(found.value, last_event)
        else:
            self._answer_state(found.value)

    def _shape(self, durable):
        row = durable.row
        created = int(row.accepted.timestamp())
        head = AnswerHead(self.request_id, row.request.model, created)
        return CompletionShape(head, row.request.prompt)

    def _answer_state(self, durable):
        body = {"id": self.request_id, "state": durable.state.value}
        body["tokens"] = len(durable.tokens)
        outcome = PENDING
        if durable.state is RequestState.DONE:
            finished = Finished(durable.row.epoch, len(durable.tokens), *durable.row.finish)
            body["answer"] = self._shape(durable).complete_body("".join(durable.tokens), finished)
            outcome = OK
        if durable.state is RequestState.FAILED:
            failed = Failed(durable.row.reason, durable.row.status)
            body["problem"] = problem_body(failed, self.request_id)
            outcome = body["problem"]["outcome"]
        self.answer_json(body, outcome=outcome)

    async def _stream(self, durable, last_event):
        shape = self._shape(durable)
        sink = _ResumableSink(self, shape)
        core = self.parts.core
        after, version = last_event
        outcome = await core.follow(self.request_id, self.account, sink, after, version)
        if not isinstance(outcome, Ok):
            await self.answer_failure(outcome, sink.started)
            return
        sink.start()
        self.write(shape.end_event(outcome.value.reason))
        self.write(STREAM_END)


class _ResumableSink(CompletionSink):
    """Sends tokens as server-sent events whose ids count the tokens of a model version."""

    def __init__(self, handler, shape):
        self._handler = handler
        self._shape = shape
        self._version = ""
        self.started = False

    def set_version(self, version):
        self._version = version

    def start(self):
        """Writes the headers, once."""
        if not self.started:
            self.started = True
            self._handler.start_stream()

    async def tokens(self, tokens):
        self.start()
        text = self._shape.text_event("".join(token.text for token in tokens))
        event_id = format_event_id(tokens[-1].sequence + 1, self._version)
        await self._handler.send(f"id: {event_id}\n{text}")


def format_event_id(count: int, version: str) -> str:
    """Returns an event's id: the number of tokens up to it, and their model version if known."""
    return f"{count}.{version}" if version else str(count)


def read_event_id(header: str | None) -> tuple[int, str] | None:
    """Returns the token count and model version of an event's id; None if it is malformed."""
    if not header:
        return 0, ""
    count, _, version = header.partition(".")
    if not count.isascii() or not count.isdecimal() or len(count) > MAX_EVENT_ID_DIGITS:
        return None
    return int(count), version
