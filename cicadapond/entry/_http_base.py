"""Base of the callers' request handlers: authentication, limits, and exactly one outcome each."""

import asyncio
import datetime
import json
import uuid

import attrs
import tornado.iostream
import tornado.web

from cicadapond.data import Priority
from cicadapond.entry._accounts import AccountIndex
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
BODY_RETRY_AFTER = datetime.timedelta(seconds=1)


@attrs.define
class CallerParts:
    """The state that the handlers share; one object per process.

    `held_body_bytes` are those of the bodies of all requests that are not finished.
    """

    core: EntryCore
    clock: Clock
    metrics: Metrics
    limits: HttpLimits
    in_flight: InFlight
    stopping: bool = False
    held_body_bytes: int = 0
    _account_index: AccountIndex = attrs.field(factory=lambda: AccountIndex({}))

    def account(self, authorization: str | None) -> str | None:
        """Returns the account of an Authorization header's value, or None."""
        accounts = self.core.intent.accounts
        if not self._account_index.is_built_from(accounts):
            self._account_index = AccountIndex(accounts)
        return self._account_index.find(authorization)


@tornado.web.stream_request_body
class CallerHandler(tornado.web.RequestHandler):
    """Authenticates the caller, limits the body, and gives each request exactly one outcome.

    A subclass does its work in coroutines that it passes to `serve`.  The work is cancelled when
    the caller disconnects, unless the subclass has set `continues_without_caller`.
    """

    def initialize(self, parts: CallerParts):
        self.parts = parts
        self.request_id = uuid.uuid4().hex
        self.account = ""
        self.continues_without_caller = False
        self._chunks = []
        self._body_size = 0
        self._work = None
        self._caller_gone = False

    def set_default_headers(self):
        self.clear_header("Server")

    # Before the handler runs

    def prepare(self):
        """Refuses callers without an account, and bodies whose Content-Length is over the limit."""
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
            self._refuse_long_body()

    def data_received(self, chunk):
        """Buffers a chunk of the body, or refuses the request once there is no room for it."""
        if self._finished:
            return
        limits = self.parts.limits
        if self._body_size + len(chunk) > limits.max_body_bytes:
            self._refuse_long_body()
        elif self.parts.held_body_bytes + len(chunk) > limits.max_held_body_bytes:
            self.refuse(NotRun("no memory is left for its body", BODY_RETRY_AFTER))
            self.finish()
        else:
            self._chunks.append(chunk)
            self._body_size += len(chunk)
            self.parts.held_body_bytes += len(chunk)

    def on_finish(self):
        """Releases the body."""
        self._release_body()

    def _release_body(self):
        self.parts.held_body_bytes -= self._body_size
        self._body_size = 0
        self._chunks.clear()

    def _refuse_long_body(self):
        limit = self.parts.limits.max_body_bytes
        self.refuse(NotRun(f"the body is longer than {limit} bytes", status=413))
        self.finish()

    def body(self) -> bytes:
        """Returns the complete body."""
        return b"".join(self._chunks)

    # Running the handler

    async def serve(self, work) -> None:
        """Runs a coroutine that answers the request, and finishes the answer.

        Args:
          work: The coroutine; it is cancelled if the caller disconnects.
        """
        with self.parts.in_flight.track():
            self._work = asyncio.current_task()
            try:
                await work
                await self._within_write_timeout(self.finish())
            except asyncio.CancelledError:
                if not self._caller_gone:
                    raise
                self.parts.metrics.count("callers_gone")
            except tornado.iostream.StreamClosedError:
                self.parts.metrics.count("callers_gone")
            finally:
                self._work = None

    def on_connection_close(self):
        """Cancels the work of a caller that has disconnected."""
        super().on_connection_close()
        self._caller_gone = True
        if self._work is None:
            self._release_body()
        if self._work is not None and not self.continues_without_caller:
            self._work.cancel()

    async def send(self, text: str) -> None:
        """Sends a part of the answer; returns when the caller can accept more.

        Raises:
          tornado.iostream.StreamClosedError: If the caller has disconnected, or has read nothing
            within the write time-out.
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
        """Returns the request's monotonic deadline, None for durable requests."""
        if durable:
            return None
        wait = self.preferences.wait or self.parts.limits.answer_timeout(priority)
        return self.parts.clock.monotonic() + wait

    # The answer

    def set_outcome_headers(self, outcome: str) -> None:
        """Sets the headers that every answer has."""
        self.set_header(REQUEST_ID, self.request_id)
        self.set_header(OUTCOME, outcome)
        if self.parts.stopping:
            self.set_header("Connection", "close")

    def start_stream(self) -> None:
        """Sets the headers of an answer that is sent as server-sent events."""
        self.set_outcome_headers(PENDING)
        self.set_header("Content-Type", EVENT_STREAM)
        self.set_header("Cache-Control", "no-store")

    async def answer_failure(self, outcome, started: bool) -> None:
        """Answers with an unsuccessful outcome, as an event if the stream has started."""
        if not started:
            self.refuse(outcome)
            return
        self.parts.metrics.count("broken_streams", outcome=outcome_name(outcome))
        body = json.dumps(problem_body(outcome, self.request_id))
        await self.send(f"event: error\ndata: {body}\n\n")

    def answer_json(self, body: dict, status: int = 200, outcome: str = OK) -> None:
        """Writes a complete JSON answer."""
        self.set_outcome_headers(outcome)
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps(body))

    def refuse(self, outcome, findings=()) -> None:
        """Writes a complete answer with an unsuccessful outcome."""
        name = outcome_name(outcome)
        self.parts.metrics.count("refused", outcome=name, status=outcome.status)
        self.set_outcome_headers(name)
        self.set_status(outcome.status)
        self.set_header("Content-Type", CONTENT_TYPE)
        wait = retry_after(outcome)
        if wait is not None:
            self.set_header("Retry-After", retry_after_header(wait))
        self.write(json.dumps(problem_body(outcome, self.request_id, findings)))

    def write_error(self, status_code, **kwargs):
        """Answers requests that tornado itself refuses, and internal errors."""
        if status_code < 500:
            outcome = NotRun(self._reason, status=status_code)
        else:
            outcome = Failed("an internal error", status=status_code)
        self.refuse(outcome)
        self.finish()


class UnknownPathHandler(CallerHandler):
    """Answers paths that do not exist."""

    async def get(self):
        """Refuses the request and lists the paths that exist."""
        self.refuse(NotRun(f"no path {self.request.path!r}; there are {PATHS}", status=404))

    head = post = put = patch = delete = options = get


PATHS = (
    "/v1/completions, /v1/chat/completions, /v1/models, /v1/requests/{id} and "
    "/services/{service}/..."
)
