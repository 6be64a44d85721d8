"""One caller's connection: requests are read from it one after the other, and answered."""

import abc
import asyncio
import datetime

import h11

from cicadapond.forwarding import Channel, ChannelClosedError
from cicadapond.gateway.data import RequestLimits

# After a refusal of a request that was not read whole, what still comes is read for so long, as
# closing at once would reset the connection before the caller has the answer.
LINGER_TIMEOUT = datetime.timedelta(seconds=1)
RESPONSE_STATES = (h11.SEND_RESPONSE, h11.SEND_BODY)


class RequestError(Exception):
    """A request that cannot be read; `status` says why, and the connection is closed."""

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status = status


class RequestHandler(abc.ABC):
    """Answers one request after the other; told what concerns all connections."""

    @abc.abstractmethod
    def limits(self) -> RequestLimits:
        """Returns what callers may send now."""

    @abc.abstractmethod
    def is_stopping(self) -> bool:
        """Whether connections are to be closed after the answer in progress."""

    @abc.abstractmethod
    async def handle(self, request: "ReceivedRequest", reply: "Reply") -> None:
        """Answers a request; cancelled when its caller leaves."""

    @abc.abstractmethod
    def on_rejected(self, exc: RequestError) -> list[tuple[bytes, bytes]]:
        """Takes note of a request that cannot be read; returns the headers of its answer."""


class ReceivedRequest:
    """A whole request as it came; header names are in lower case.

    Args:
      event: Its head.
      body: Its body.
      at: The monotonic instant at which its first byte was here.
    """

    def __init__(self, event: h11.Request, body: bytes, received_at: datetime.timedelta):
        self.method = bytes(event.method)
        self.target = bytes(event.target)
        self.headers = [(bytes(name), bytes(value)) for name, value in event.headers]
        self.body = body
        self.received_at = received_at


class Reply:
    """The answer to one request; either `whole`, or `begin`, `send` and `finish`."""

    def __init__(self, conn: "CallerConnection"):
        self._conn = conn
        self.has_begun = False

    async def send_complete(self, status: int, headers, body: bytes) -> None:
        """Sends a whole answer."""
        framed = [*headers, (b"content-length", b"%d" % len(body))]
        self._conn.begin(status, framed)
        self.has_begun = True
        await self._conn.send(body)
        self._conn.finish()

    def begin(self, status: int, headers) -> None:
        """Sends the head of an answer whose length is not known."""
        self._conn.begin(status, [*headers, (b"transfer-encoding", b"chunked")])
        self.has_begun = True

    async def send(self, data: bytes) -> None:
        """Sends a part of the body, and waits while the caller does not keep up."""
        await self._conn.send(data)

    def finish(self) -> None:
        """Ends the answer properly."""
        self._conn.finish()

    def abort(self) -> None:
        """Ends the connection so that the answer does not look whole."""
        self._conn.abort()


class CallerConnection(Channel):
    """A connection of a caller.

    Args:
      answerer: Answers its requests.
      clock: Gives the time.
    """

    def __init__(self, handler: RequestHandler, clock):
        super().__init__()
        self._handler = handler
        self._clock = clock
        self._http: h11.Connection | None = None
        self._answering: asyncio.Task | None = None
        self._serving: asyncio.Task | None = None
        self.is_idle = True

    def connection_made(self, transport):
        super().connection_made(transport)
        limit = self._handler.limits().header_bytes
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=limit)
        self.on_closed = self._caller_left
        self._serving = asyncio.ensure_future(self._serve())

    def _caller_left(self):
        if self._answering is not None:
            self._answering.cancel()

    # Reading and answering

    async def _serve(self):
        try:
            while await self._serve_one():
                self._http.start_next_cycle()
            self.close()
        except ChannelClosedError:
            self.close()
        except RequestError as exc:
            await self._reject(exc)
        except BaseException:
            self.abort()
            raise

    async def _serve_one(self):
        request = await self._read_request()
        self.is_idle = False
        reply = Reply(self)
        self._answering = asyncio.ensure_future(self._handler.handle(request, reply))
        if self.is_closed:
            self._answering.cancel()
        try:
            await asyncio.wait((self._answering,))
            if self._answering.cancelled():
                raise ChannelClosedError("the caller left", was_reset=False)
            self._answering.result()
        finally:
            self._answering = None
            self.is_idle = True
        both_done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        return both_done and not self.is_closed

    async def _read_request(self):
        limits = self._handler.limits()
        if not self.has_unread and not self._http.trailing_data[0]:
            await self._wait_for_bytes(limits.idle_timeout)
        received_at = self._clock.monotonic()
        self.is_idle = False
        try:
            async with asyncio.timeout(limits.header_timeout.total_seconds()):
                head = await self._next_event()
        except TimeoutError:
            raise RequestError(408, "the head did not come in time") from None
        if not isinstance(head, h11.Request):
            raise ChannelClosedError("the caller left", was_reset=False)
        _check_head(head, limits)
        if self._http.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))
        body = await self._read_body(limits)
        return ReceivedRequest(head, body, received_at)

    async def _wait_for_bytes(self, timeout):
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                self._http.receive_data(await self.read())
        except TimeoutError:
            raise ChannelClosedError("idle for too long", was_reset=False) from None

    async def _read_body(self, limits):
        body = bytearray()
        while True:
            try:
                async with asyncio.timeout(limits.idle_timeout.total_seconds()):
                    event = await self._next_event()
            except TimeoutError:
                raise RequestError(408, "the body did not come in time") from None
            match event:
                case h11.Data(data=data):
                    body += data
                    if len(body) > limits.body_bytes:
                        raise RequestError(413, "the body is too long")
                case h11.EndOfMessage():
                    return bytes(body)
                case _:
                    raise ChannelClosedError("the caller left", was_reset=False)

    async def _next_event(self):
        try:
            while (event := self._http.next_event()) is h11.NEED_DATA:
                self._http.receive_data(await self.read())
        except h11.RemoteProtocolError as exc:
            raise RequestError(exc.error_status_hint, str(exc)) from exc
        return event

    # Writing

    def begin(self, status, headers):
        """Writes the head of an answer."""
        if self._handler.is_stopping():
            headers = [*headers, (b"connection", b"close")]
        self._write(h11.Response(status_code=status, headers=headers))

    async def send(self, data):
        """Writes a part of an answer's body."""
        if data:
            self._write(h11.Data(data=data))
            await self.drain()

    def finish(self):
        """Ends an answer."""
        self._write(h11.EndOfMessage())

    def _write(self, event):
        data = self._http.send(event)
        if data:
            self.write(data)

    async def _reject(self, exc):
        headers = self._handler.on_rejected(exc)
        if self._http.our_state in (h11.IDLE, *RESPONSE_STATES) and not self.is_closed:
            framed = [*headers, (b"content-length", b"0"), (b"connection", b"close")]
            self._write(h11.Response(status_code=exc.status, headers=framed))
            self._write(h11.EndOfMessage())
            await self._linger()
        self.close()

    async def _linger(self):
        try:
            async with asyncio.timeout(LINGER_TIMEOUT.total_seconds()):
                while True:
                    await self.read()
        except (TimeoutError, ChannelClosedError):
            return


def _check_head(head, limits):
    """Raises RequestError for heads that servers may read in different ways, or too long ones."""
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise RequestError(400, "both a length and a transfer encoding")
    if head.http_version != b"1.1":
        raise RequestError(505, "only HTTP/1.1 is spoken here")
    size = sum(len(name) + len(value) + 4 for name, value in head.headers)
    if size + len(head.target) > limits.header_bytes:
        raise RequestError(431, "the head is too long")
    for name, value in head.headers:
        if name == b"content-length" and int(value) > limits.body_bytes:
            raise RequestError(413, "the body is too long")
