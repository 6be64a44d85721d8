"""What all handlers of callers' requests share: identity, limits, one end for each request."""

import asyncio
import datetime
import json
import uuid

import attrs
import tornado.iostream
import tornado.web

from cicadapond.data import Priority
from cicadapond.entry._accounts import AccountBook
from cicadapond.entry._core import EntryCore
from cicadapond.entry._in_flight import InFlight
from cicadapond.entry._preferences import read_preferences
from cicadapond.entry._problem import (
    CONTENT_TYPE,
    OK,
    PENDING,
    outcome_name,
    problem_body,
    retry_after,
    retry_after_header,
)
from cicadapond.entry._settings import HttpLimits
from cicadapond.kernel import Clock, Failed, Metrics, NotRun

REQUEST_ID = "Cicadapond-Request-Id"
OUTCOME = "Cicadapond-Outcome"
EVENT_STREAM = "text/event-stream"


@attrs.define
class CallerParts:
    """What the handlers share; one object per process."""

    core: EntryCore
    clock: Clock
    metrics: Metrics
    limits: HttpLimits
    in_flight: InFlight
    stopping: bool = False
    _book: AccountBook = attrs.field(factory=lambda: AccountBook({}))

    def account(self, authorization: str | None) -> str | None:
        """Returns the account of an Authorization header's value, or None."""
        accounts = self.core.intent.accounts
        if not self._book.is_for(accounts):
            self._book = AccountBook(accounts)
        return self._book.find(authorization)


@tornado.web.stream_request_body
class CallerHandler(tornado.web.RequestHandler):
    """Checks who calls and how much, and gives each request exactly one end.

    A subclass does its work in coroutines that it passes to `serve`.  A caller that goes away
    cancels the work, unless the subclass has set `runs_on`.
    """

    def initialize(self, parts: CallerParts):
        self.parts = parts
        self.request_id = uuid.uuid4().hex
        self.account = ""
        self.runs_on = False
        self._chunks = []
        self._size = 0
        self._work = None
        self._gone = False

    def set_default_headers(self):
        self.clear_header("Server")

    # Before the work

    def prepare(self):
        """Refuses callers without an account, and bodies that say that they are too long."""
        account = self.parts.account(self.request.headers.get("Authorization"))
        if account is None:
            self.set_header("WWW-Authenticate", "Bearer")
            self.refuse(NotRun("no account has this bearer token", status=401))
            self.finish()
            return
        self.account = account
        self.preferences = read_preferences(
            self.request.headers.get("Priority", ""), self.request.headers.get("Prefer", "")
        )
        length = self.request.headers.get("Content-Length", "0")
        if length.isdecimal() and int(length) > self.parts.limits.max_body_bytes:
            self._refuse_length()

    def data_received(self, chunk):
        """Takes a piece of the body while it is within the limit."""
        self._size += len(chunk)
        if self._size <= self.parts.limits.max_body_bytes:
            self._chunks.append(chunk)
        elif not self._finished:
            self._chunks.clear()
            self._refuse_length()

    def _refuse_length(self):
        limit = self.parts.limits.max_body_bytes
        self.refuse(NotRun(f"the body is longer than {limit} bytes", status=413))
        self.finish()

    def body(self) -> bytes:
        """Returns the whole body."""
        return b"".join(self._chunks)

    # The work

    async def serve(self, work) -> None:
        """Runs a coroutine that answers the request, and ends the answer.

        Args:
          work: The coroutine; it is cancelled if the caller goes away.
        """
        with self.parts.in_flight.one():
            self._work = asyncio.current_task()
            try:
                await work
                await self._within_write_timeout(self.finish())
            except asyncio.CancelledError:
                if not self._gone:
                    raise
                self.parts.metrics.count("callers_gone")
            except tornado.iostream.StreamClosedError:
                self.parts.metrics.count("callers_gone")
            finally:
                self._work = None

    def on_connection_close(self):
        """Cancels the work of a caller that has gone away."""
        super().on_connection_close()
        self._gone = True
        if self._work is not None and not self.runs_on:
            self._work.cancel()

    async def send(self, text: str) -> None:
        """Sends a piece of the answer; returns when the caller has room for more.

        Raises:
          tornado.iostream.StreamClosedError: If the caller has gone or read nothing for too long.
        """
        self.write(text)
        await self._within_write_timeout(self.flush())

    async def _within_write_timeout(self, written):
        if written.done():
            return written.result()
        try:
            return await asyncio.wait_for(written, self.parts.limits.write_timeout.total_seconds())
        except TimeoutError:
            self.parts.metrics.count("callers_too_slow")
            self.request.connection.close()
            raise tornado.iostream.StreamClosedError from None

    def deadline(self, priority: Priority, durable: bool = False) -> datetime.timedelta | None:
        """Returns the instant by which the caller wants its answer, None if it waits for ever."""
        if durable:
            return None
        wait = self.preferences.wait or self.parts.limits.patience(priority)
        return self.parts.clock.monotonic() + wait

    # The answer

    def label(self, outcome: str) -> None:
        """Sets the headers that every answer bears."""
        self.set_header(REQUEST_ID, self.request_id)
        self.set_header(OUTCOME, outcome)
        if self.parts.stopping:
            self.set_header("Connection", "close")

    def start_stream(self) -> None:
        """Sets the headers of an answer that is sent as server-sent events."""
        self.label(PENDING)
        self.set_header("Content-Type", EVENT_STREAM)
        self.set_header("Cache-Control", "no-store")

    async def end_stream_with(self, outcome, started: bool) -> None:
        """Tells an outcome that is no success, within the stream if it has begun."""
        if not started:
            self.refuse(outcome)
            return
        self.parts.metrics.count("broken_streams", outcome=outcome_name(outcome))
        body = json.dumps(problem_body(outcome, self.request_id))
        await self.send(f"event: error\ndata: {body}\n\n")

    def answer_json(self, body: dict, status: int = 200, outcome: str = OK) -> None:
        """Writes a whole JSON answer."""
        self.label(outcome)
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps(body))

    def refuse(self, outcome, findings=()) -> None:
        """Writes a whole answer that is no success."""
        name = outcome_name(outcome)
        self.parts.metrics.count("refused", outcome=name, status=outcome.status)
        self.label(name)
        self.set_status(outcome.status)
        self.set_header("Content-Type", CONTENT_TYPE)
        wait = retry_after(outcome)
        if wait is not None:
            self.set_header("Retry-After", retry_after_header(wait))
        self.write(json.dumps(problem_body(outcome, self.request_id, findings)))

    def write_error(self, status_code, **kwargs):
        """Answers what tornado itself refuses, and errors of our own."""
        if status_code < 500:
            outcome = NotRun(self._reason, status=status_code)
        else:
            outcome = Failed("an internal error", status=status_code)
        self.refuse(outcome)
        self.finish()


class UnknownPathHandler(CallerHandler):
    """Answers paths that do not exist."""

    async def get(self):
        """Names the paths that exist."""
        self.refuse(NotRun(f"no path {self.request.path!r}; there are {PATHS}", status=404))

    head = post = put = patch = delete = options = get


PATHS = (
    "/v1/completions, /v1/chat/completions, /v1/models, /v1/requests/{id} and "
    "/services/{service}/..."
)
