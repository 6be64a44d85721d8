"""HTTP/1.1 connection of one caller: reads requests one at a time and sends the responses."""

import asyncio
import datetime
import itertools
import sys

import h11

from cicadapond.forwarding import MAX_UNREAD_BYTES, READ_CHUNK_BYTES, Channel, ChannelClosedError
from cicadapond.gateway._caller_requests import (
    BodyBuffer,
    Headers,
    ReceivedRequest,
    RequestError,
    RequestHandler,
)
from cicadapond.kernel import FreeWork, ProcessorShare, WorkMeter
from cicadapond.memory import CallerSlot, CallerSlots, CallerState, Kind, MemoryBudget

# After rejecting a request that was not fully read, the rest is read and discarded for this long:
# closing at once would reset the connection before the caller receives the response.
LINGER_TIMEOUT = datetime.timedelta(seconds=1)
# What a caller may send before it is read.
MAX_UNREAD_CALLER_BYTES = 64 * 1024
# What the objects of a connection take.
CONNECTION_BYTES = 8 * 1024
# A body may take this multiple of the idle time-out, and the time that its largest size takes at
# this pace.
MAX_IDLE_TIMES = 10
MIN_BODY_BYTES_PER_S = 1024
# After so many pieces it is checked again; most bodies have fewer.
PIECES_PER_CHECK = 8
# With its framing a body may take this multiple of its limit; a chunk of one byte takes six.
MAX_FRAMING_FACTOR = 8
# After a request was not read: there is room again by then, unless callers read slowly.
NOT_READ_RETRY_AFTER = datetime.timedelta(milliseconds=500)
RESPONSE_STATES = (h11.SEND_RESPONSE, h11.SEND_BODY)


class Reply:
    """Sends the response to one request: `send_complete`, or `begin`, `send` and `finish`."""

    def __init__(self, conn: "CallerConnection"):
        self._conn = conn
        self.has_begun = False
        self.is_finished = False

    async def send_complete(self, status: int, headers, body: bytes) -> None:
        """Sends a complete response."""
        framed = [*headers, (b"content-length", b"%d" % len(body))]
        self._conn.begin(status, framed)
        self.has_begun = True
        await self._conn.send(body)
        self.finish()

    def begin(self, status: int, headers) -> None:
        """Sends the head of a response of unknown length."""
        self._conn.begin(status, [*headers, (b"transfer-encoding", b"chunked")])
        self.has_begun = True

    async def send(self, data: bytes) -> None:
        """Sends a part of the body; waits while the caller reads too slowly."""
        await self._conn.send(data)

    def finish(self) -> None:
        """Ends the response."""
        self._conn.finish()
        self.is_finished = True

    def hold(self, answer_bytes: int) -> None:
        """Tells that so many bytes of an answer are held until this response ends."""
        self._conn.keep(self._conn.account.held + answer_bytes)

    def abort(self) -> None:
        """Aborts the connection, so that the caller sees an incomplete response."""
        self._conn.abort()


class CallerConnection(Channel):
    """A connection of a caller.

    Args:
      handler: Handles its requests.
      clock: The clock.
      memory: Counts the bytes that the connection holds; the default has no bound.
      processor: Gives turns to costly uploads.
      free: What uploads may take of the processor before they are costly.
      slots: The connections of all callers, None if their number is not limited.
    """

    _max_unread_bytes = MAX_UNREAD_CALLER_BYTES

    def __init__(
        self,
        handler: RequestHandler,
        clock,
        memory: MemoryBudget | None = None,
        processor: ProcessorShare | None = None,
        free: FreeWork | None = None,
        slots: CallerSlots | None = None,
    ):
        super().__init__(memory, Kind.REQUESTS)
        self._open_account = self.account.budget.open(Kind.OPEN)
        self._free = free
        self._slots = slots if slots is not None else CallerSlots(clock, sys.maxsize)
        self._slot: CallerSlot | None = None
        # Set once everything that arrives is discarded, as its request was refused.
        self._is_refused = False
        self._end_timer: asyncio.TimerHandle | None = None
        self._handler = handler
        self._clock = clock
        self._http: h11.Connection | None = None
        self._answering: asyncio.Task | None = None
        self._serving: asyncio.Task | None = None
        self._is_serving = False
        self._reads_body = False
        self._is_handled = False
        self._processor = processor
        self._meter = WorkMeter(processor, free)
        self._received_bytes = 0
        self._headers: Headers = ()

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress, and no byte of one has been received."""
        return self._is_refused or not (self._is_serving or self.has_unread)

    @property
    def request_headers(self) -> Headers:
        """The headers of the request in progress, empty if none have been read."""
        return self._headers

    def connection_made(self, transport):
        super().connection_made(transport)
        self._slot = self._slots.open(self)
        if self._slot is None:
            self.abort()
            return
        self._open_account.set(CONNECTION_BYTES)
        self.on_closed = self._caller_left
        self._serving = asyncio.ensure_future(self._serve())

    def connection_lost(self, exc):
        if self._slot is not None:
            self._slots.close(self._slot)
        if self._end_timer is not None:
            self._end_timer.cancel()
        self._open_account.close()
        super().connection_lost(exc)

    def data_received(self, data):
        if self._is_refused:
            return
        super().data_received(data)
        budget = self.account.budget
        if self._reading_paused and self._reads_body and budget.is_full:
            self._slots.make_room(lambda: not budget.is_full, budget.reserve_bytes)

    def _adjust_reading(self):
        super()._adjust_reading()
        if self._slot is not None:
            self._slot.held = len(self._unread) + self._unparsed_bytes + self.account.held

    def give_up_body(self, reason):
        """Refuses the request whose body is being read, and releases what was read."""
        self._serving.cancel()
        self._refuse(RequestError(503, reason, NOT_READ_RETRY_AFTER))

    def _read_chunk_bytes(self):
        return min(READ_CHUNK_BYTES, self.account.budget.read_bytes)

    def _caller_left(self):
        if self._answering is not None:
            self._answering.cancel()

    # Reading and handling requests

    async def _serve(self):
        try:
            while await self._serve_one():
                self._http.start_next_cycle()
                self._headers = ()
            self.close()
        except ChannelClosedError:
            self.close()
        except RequestError as exc:
            self._refuse(exc)
        except Exception as exc:
            self._handler.on_failed(self._headers, exc)
            self._refuse_after_error()
            raise
        except BaseException:
            if not self._is_refused:
                self.abort()
            raise

    def _refuse_after_error(self):
        """Ends a request that failed with an answer, if none has begun."""
        if self._http is None or self._http.our_state is not h11.SEND_RESPONSE:
            self.abort()
            return
        # What became of a request that was handled is not known here.
        status = 500 if self._is_handled else 503
        try:
            retry_after = None if self._is_handled else NOT_READ_RETRY_AFTER
            not_run = not self._is_handled
            self._refuse(RequestError(status, "an internal error", retry_after, not_run))
        except Exception:
            self.abort()
            raise

    async def _serve_one(self):
        self._is_handled = False
        request = await self._read_request()
        self._slots.become(self._slot, CallerState.SERVED)
        self._is_serving = True
        reply = Reply(self)
        self._answering = asyncio.ensure_future(self._answer(request, reply))
        if self.is_closed:
            self._answering.cancel()
        try:
            await asyncio.wait((self._answering,))
            if self._answering.cancelled():
                exc = ChannelClosedError("caller disconnected", was_reset=False)
                if not self._is_handled:
                    self._handler.on_unfinished(self._headers, exc)
                raise exc
            self._answering.result()
        finally:
            self._answering = None
            self._is_serving = False
            self.keep(0)
            self._slots.become(self._slot, CallerState.IDLE)
        both_done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        return both_done and not self.is_closed

    async def _answer(self, request, reply):
        self._is_handled = True
        await self._handler.handle(request, reply)

    async def _read_request(self):
        limits = self._handler.limits()
        if not self.has_unread and (self._http is None or not self._http.trailing_data[0]):
            await self._wait_for_bytes()
        elif self._http is None:
            self._begin_parsing(await self.read())
        self._slots.become(self._slot, CallerState.READING)
        received_at = self._clock.monotonic()
        self._is_serving = True
        late = RequestError(408, "request head not received in time")
        head = await self._next_event_within(limits.header_timeout, late)
        if not isinstance(head, h11.Request):
            raise ChannelClosedError("caller disconnected", was_reset=False)
        self._headers = [(bytes(name), bytes(value)) for name, value in head.headers]
        _check_head(head, limits)
        self._check_room(_content_length(head))
        if self._http.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))
        self._reads_body = True
        self._meter = WorkMeter(self._processor, self._free)
        try:
            body = await self._read_body(limits)
        except ChannelClosedError as exc:
            self._handler.on_unfinished(self._headers, exc)
            raise
        finally:
            self._reads_body = False
        self.mark_parsed()
        self.keep(len(body))
        return ReceivedRequest(head, body, received_at)

    async def _wait_for_bytes(self):
        """Reads the first bytes of a request.

        The limit of an idle connection is the longest one in force while it waits: its caller may
        know a new limit before this process does, or only the one before.

        Raises:
          ChannelClosedError: If none have been received in time.
        """
        begun = self._clock.monotonic()
        ends_at = begun + self._handler.limits().idle_timeout
        while True:
            left = ends_at - self._clock.monotonic()
            try:
                async with asyncio.timeout(left.total_seconds()):
                    data = await self.read()
                break
            except TimeoutError:
                longer_until = begun + self._handler.limits().idle_timeout
                if not self.has_unread and longer_until <= ends_at:
                    raise ChannelClosedError("idle timeout", was_reset=False) from None
                ends_at = max(ends_at, longer_until)
        self._begin_parsing(data)

    def _begin_parsing(self, data):
        if self._http is None:  # silent connections need no parser
            limit = self._handler.limits().header_bytes
            self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=limit)
        self._http.receive_data(data)

    def _check_room(self, more_bytes):
        """Raises RequestError if the bodies of requests would take too much memory."""
        if not self._finds_room(more_bytes, more_bytes):
            raise RequestError(503, "no memory is left for its body", NOT_READ_RETRY_AFTER)

    def _finds_room(self, body_bytes, more_bytes):
        """Returns whether a body of so many bytes may hold so many more."""
        budget = self.account.budget
        if body_bytes <= budget.reserve_bytes or budget.fits_request(more_bytes):
            return True
        fits = self._slots.make_room(lambda: budget.fits_request(more_bytes), budget.reserve_bytes)
        return fits and not self._is_refused

    async def _read_body(self, limits):
        body = BodyBuffer()
        try:
            return await self._read_body_into(body, limits)
        except BaseException:
            body.clear()  # the error refers to it while the connection lingers
            raise

    async def _read_body_into(self, body, limits):
        begun_at = self._received_bytes
        late = RequestError(408, "request body not received in time")
        ends_at = None
        for pieces in itertools.count(1):
            self._meter.begin_work()
            if pieces % PIECES_PER_CHECK == 0:
                now = self._clock.monotonic()
                ends_at = ends_at or now + _longest_body_time(limits)
                if now >= ends_at:
                    raise late
            try:
                event = await self._next_event_within(limits.idle_timeout, late)
            except RequestError as exc:
                if exc is late and self.account.budget.is_full:
                    reason = "no memory was left to read its body"
                    raise RequestError(503, reason, NOT_READ_RETRY_AFTER) from None
                raise
            match event:
                case h11.Data(data=data):
                    body.append(data)
                    self.keep(len(body))
                    if not self._finds_room(len(body), 0):
                        reason = "no memory is left for the rest of its body"
                        raise RequestError(503, reason, NOT_READ_RETRY_AFTER)
                    if len(body) > limits.body_bytes:
                        raise RequestError(413, "request body too long")
                    framed = self._received_bytes - begun_at
                    if framed > MAX_FRAMING_FACTOR * limits.body_bytes + MAX_UNREAD_BYTES:
                        raise RequestError(413, "request body with its framing too long")
                    await self._meter.end_pieces(1, len(data))
                case h11.EndOfMessage():
                    return body.join()
                case _:
                    raise ChannelClosedError("caller disconnected", was_reset=False)

    async def _next_event_within(self, timeout, late):
        """Returns the next event; raises `late` if it has not been received in time.

        An event loop that was behind runs the time-out before it reads what has been received.
        """
        event = self._parse_next()
        if event is not h11.NEED_DATA:
            return event
        timeout_s = timeout.total_seconds()
        while True:
            try:
                async with asyncio.timeout(timeout_s):
                    return await self._next_event()
            except TimeoutError:
                if not self.has_unread:
                    raise late from None
                timeout_s = 0.0

    def _waiting_bytes(self):
        # A body that is complete waits for nothing, and the connection has to be read to notice a
        # caller that leaves.
        return super()._waiting_bytes() if self._reads_body else len(self._unread)

    async def _next_event(self):
        while (event := self._parse_next()) is h11.NEED_DATA:
            self.mark_parsed()
            self._meter.end_work()
            data = await self.read()
            self._meter.begin_work()
            self._received_bytes += len(data)
            self._http.receive_data(data)
        return event

    def _parse_next(self):
        """Returns the next event of what has been received, NEED_DATA if more is needed."""
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as exc:
            raise RequestError(exc.error_status_hint, str(exc)) from exc

    # Writing responses

    def begin(self, status, headers):
        """Writes the head of a response."""
        if self._handler.is_stopping():
            headers = [*headers, (b"connection", b"close")]
        self._write(h11.Response(status_code=status, headers=headers))

    async def send(self, data):
        """Writes a part of a response body."""
        if data:
            self._write(h11.Data(data=data))
            await self.drain()

    def finish(self):
        """Ends a response."""
        self._write(h11.EndOfMessage())

    def _write(self, event):
        data = self._http.send(event)
        if data:
            self.write(data)

    def _refuse(self, exc):
        """Sends the answer to a request that was not read, and discards the rest of it."""
        if self._is_refused:
            return
        headers = self._handler.on_rejected(self._headers, exc)
        self._is_refused = True
        can_answer = self._http is None or self._http.our_state in (h11.IDLE, *RESPONSE_STATES)
        if not can_answer or self.is_closed:
            self.close()
            return
        if self._http is None:
            self._http = h11.Connection(h11.SERVER)
        framed = [*headers, (b"content-length", b"0"), (b"connection", b"close")]
        self._write(h11.Response(status_code=exc.status, headers=framed))
        self._write(h11.EndOfMessage())
        # Its parser keeps what it was given.
        self._http = None
        self._unread.clear()
        self.mark_parsed()
        self.keep(0)
        self._slots.become(self._slot, CallerState.REFUSED)
        loop = asyncio.get_running_loop()
        self._end_timer = loop.call_later(LINGER_TIMEOUT.total_seconds(), self.close)


def _longest_body_time(limits):
    """Returns for how long a caller may send a body."""
    at_least_pace = datetime.timedelta(seconds=limits.body_bytes / MIN_BODY_BYTES_PER_S)
    return MAX_IDLE_TIMES * limits.idle_timeout + at_least_pace


def _content_length(head):
    """Returns the length that a request states for its body in bytes, 0 if it states none."""
    return next((int(value) for name, value in head.headers if name == b"content-length"), 0)


def _check_head(head, limits):
    """Raises RequestError if the head is too long or servers might interpret it differently.

    A request with both Content-Length and Transfer-Encoding allows request smuggling.
    """
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise RequestError(400, "both Content-Length and Transfer-Encoding given")
    if head.http_version != b"1.1":
        raise RequestError(505, "unsupported HTTP version, expected 1.1")
    # Each header takes four more bytes: a colon, a space, CR and LF.
    size = sum(len(name) + len(value) + 4 for name, value in head.headers)
    if size + len(head.target) > limits.header_bytes:
        raise RequestError(431, "request head too long")
    for name, value in head.headers:
        if name == b"content-length" and int(value) > limits.body_bytes:
            raise RequestError(413, "request body too long")
