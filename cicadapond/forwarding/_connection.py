"""An HTTP/1.1 connection to a server, with one request on it at a time."""

import asyncio
import datetime

import h11

from cicadapond.data import Endpoint
from cicadapond.forwarding._channel import Channel, ChannelClosedError, open_channel
from cicadapond.kernel import STEPS_PER_TURN, Clock, ProcessorShare, WorkMeter
from cicadapond.memory import Account, Kind, MemoryBudget

# Informational responses before a response; a server that sends more does not end.
MAX_INFORMATIONAL_RESPONSES = 16
# A whole body may come in so many pieces, and take this multiple of its limit with its framing.
MAX_BODY_PIECES = 128 * 1024
MAX_FRAMING_FACTOR = 2
MAX_STATUS = 599
# A server may answer before it has read a longer body; it reads a shorter one with the head.
LONG_BODY_BYTES = 16 * 1024
# After a server has ended its side, it may reset the connection this much later.
RESET_DELAY = datetime.timedelta(milliseconds=50)
DELIVERY_POLL_INTERVAL = datetime.timedelta(milliseconds=5)
# Statuses whose responses end with their head.
BODILESS_STATUSES = (204, 304)


class BrokenResponseError(Exception):
    """No complete and valid response was received; the request may have been executed.

    Attributes:
      was_silent: Whether the connection timed out because the server acknowledged nothing.
      is_malformed: Whether bytes were received that are no answer, rather than too few.
    """

    def __init__(self, reason: str, was_silent: bool = False, is_malformed: bool = False):
        super().__init__(reason)
        self.was_silent = was_silent
        self.is_malformed = is_malformed


class ServerConnection:
    """A connection to a server; create it with `connect`.

    Args:
      channel: The TCP connection.
      now: The monotonic time at which it was made.
      processor: Gives turns to costly answers.

    Attributes:
      meter: Measures the work on the answer in progress.
      received_bytes: How many bytes were received since the last request was sent.
      received_pieces: In how many pieces the body came that was read since then.
      is_framed: Whether the response's end is marked; else it ends with the connection.
    """

    def __init__(
        self,
        channel: Channel,
        now: datetime.timedelta,
        processor: ProcessorShare | None = None,
    ):
        self._channel = channel
        self._http = h11.Connection(h11.CLIENT)
        self._request = None
        self._body = b""
        self._is_unusable = False
        self._has_ended = False
        # What follows the pieces of a body that were returned together: a parsed event or an error.
        self._following: object = None
        self._processor = processor
        self.meter = WorkMeter(processor)
        self.received_bytes = 0
        self.received_pieces = 0
        self.is_framed = True
        self.last_used_at = now
        self.keep_alive_timeout: datetime.timedelta | None = None
        # How many requests were sent, and the ids of those that the server refused; it may write a
        # refusal once more later.
        self.requests_sent = 0
        self.refused_ids: set[str] = set()
        # What the last exchange brought, for clients that compare answers.
        self.last_reply: object = None

    @classmethod
    async def connect(
        cls,
        endpoint: Endpoint,
        timeout: datetime.timedelta,
        clock,
        memory: MemoryBudget,
        kind: Kind,
        processor: ProcessorShare | None = None,
    ):
        """Returns a new connection, None if none could be made."""
        channel = await open_channel(endpoint, timeout, memory, kind)
        return cls(channel, clock.monotonic(), processor) if channel is not None else None

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent: the last exchange is complete, no data pending."""
        return not (
            self._is_unusable
            or self._channel.is_closed
            or self._channel.has_unread
            or not self._channel.is_flushed
            or self._http.trailing_data[0]
            or self._http.our_state is not h11.DONE
            or self._http.their_state is not h11.DONE
        )

    @property
    def is_open(self) -> bool:
        """Whether neither side has closed the connection."""
        return not self._channel.is_closed

    @property
    def is_clean(self) -> bool:
        """Whether an idle connection is open and no unsolicited data has been received."""
        return not (self._channel.is_closed or self._channel.has_unread)

    def watch_idle(self, on_disturbed) -> None:
        """Calls `on_disturbed` when the idle connection closes or receives unsolicited data."""
        self._channel.mark_parsed()
        self._channel.keep(0)
        self._channel.on_closed = on_disturbed
        self._channel.on_data = on_disturbed

    def send(self, method: str, target: bytes, headers, body: bytes) -> None:
        """Sends a request with its content length, in a single write."""
        self.requests_sent += 1
        self.received_bytes = self.received_pieces = 0
        self.meter = WorkMeter(self._processor)
        self._channel.on_closed = None
        self._channel.on_data = None
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        framed_headers = list(headers)
        if body or method not in ("GET", "HEAD", "DELETE"):
            framed_headers.append((b"content-length", b"%d" % len(body)))
        self._request = h11.Request(method=method, target=target, headers=framed_headers)
        self._body = body
        self._channel.stays_half_open = len(body) > LONG_BODY_BYTES
        self._channel.write(self._serialise_request(body))

    def _serialise_request(self, body):
        data = self._http.send(self._request)
        if body:
            data += self._http.send(h11.Data(data=body))
        return data + (self._http.send(h11.EndOfMessage()) or b"")

    def bounded(self, group: str) -> "BoundedExchange":
        """Returns a context in which the answer may be given up to bound the memory.

        It raises BrokenResponseError if that happens.

        Args:
          group: Whose answer it is; those of a group are given up together.
        """
        return BoundedExchange(self._channel.account, group)

    def keep(self, kept_bytes: int) -> None:
        """Tells how many bytes of the answer are kept, besides those in this connection."""
        self._channel.keep(kept_bytes)

    def mark_waiting(self, waits: bool) -> None:
        """Tells whether what is held waits for a caller, rather than for the rest of the answer."""
        self._channel.account.become(Kind.WAITING if waits else self._channel.kind)

    async def read_head(self) -> tuple[int, list]:
        """Returns the status and headers of the response.

        Raises:
          BrokenResponseError: If none was received, or data that is no response.
        """
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    reason = f"the status {event.status_code} is none of HTTP"
                    raise BrokenResponseError(reason, is_malformed=True)
                self.is_framed = self._has_framing(event)
                return event.status_code, list(event.headers)
            if not isinstance(event, h11.InformationalResponse):
                raise BrokenResponseError(f"{type(event).__name__} in place of an answer")
        raise BrokenResponseError("informational responses only", is_malformed=True)

    def _has_framing(self, response):
        if response.status_code in BODILESS_STATUSES or self._request.method == b"HEAD":
            return True
        names = {name for name, _ in response.headers}
        return not names.isdisjoint((b"content-length", b"transfer-encoding"))

    async def read_body(self) -> bytes | None:
        """Returns the next bytes of the response body, None after the last.

        Pieces that have been received are returned together.

        Raises:
          BrokenResponseError: If the response is truncated.
        """
        self.meter.begin_work()
        event, self._following = self._following, None
        if event is None:
            event = await self._next_event()
        if isinstance(event, BrokenResponseError):
            raise event
        pieces = []
        while isinstance(event, h11.Data):
            pieces.append(event.data)
            if len(pieces) == STEPS_PER_TURN:
                break
            event = self._parse_ahead()
        if pieces:
            if not isinstance(event, h11.Data) and event is not h11.NEED_DATA:
                self._following = event
            self.received_pieces += len(pieces)
            data = b"".join(pieces)
            await self.meter.end_pieces(len(pieces), len(data))
            return data
        if isinstance(event, h11.EndOfMessage):
            return None
        raise BrokenResponseError(f"{type(event).__name__} within an answer")

    async def read_full_body(self, limit: int) -> bytes:
        """Returns the complete body of the response.

        Raises:
          BrokenResponseError: If it is truncated or longer than `limit` bytes, or takes too many
            pieces or too much framing for that.
        """
        body = bytearray()
        first_piece, first_byte = self.received_pieces, self.received_bytes
        while (data := await self.read_body()) is not None:
            body += data
            self.keep(len(body))
            if len(body) > limit:
                reason = f"an answer of more than {limit} bytes"
                raise BrokenResponseError(reason, is_malformed=True)
            if self.received_pieces - first_piece > MAX_BODY_PIECES:
                reason = f"an answer in more than {MAX_BODY_PIECES} pieces"
                raise BrokenResponseError(reason, is_malformed=True)
            if self.received_bytes - first_byte > MAX_FRAMING_FACTOR * limit:
                reason = f"an answer of more than {MAX_FRAMING_FACTOR * limit} bytes with framing"
                raise BrokenResponseError(reason, is_malformed=True)
        return bytes(body)

    async def was_delivered(self, clock: Clock) -> bool:
        """Waits until the server has the whole request, after it has ended the connection.

        A server that ends its side before it has read a long body may reset the connection later:
        an answer whose end is not marked is complete only if it does not.

        Args:
          clock: The clock.

        Returns:
          Whether the request was delivered and the connection not reset.
        """
        if len(self._body) <= LONG_BODY_BYTES:
            return not self._channel.has_failed
        while self._channel.undelivered_bytes and not self._channel.has_failed:
            await clock.sleep(DELIVERY_POLL_INTERVAL)
        ends_at = clock.monotonic() + RESET_DELAY
        while clock.monotonic() < ends_at and not self._channel.has_failed:
            await clock.sleep(DELIVERY_POLL_INTERVAL)
        return not self._channel.has_failed

    async def skip_response(self, limit: int) -> None:
        """Discards a response to an earlier request, so that the next one can be read.

        The connection is not reused afterwards.

        Raises:
          BrokenResponseError: If the discarded response is truncated or longer than `limit` bytes.
        """
        self._is_unusable = True
        await self.read_full_body(limit)
        self.keep(0)
        unparsed, _ = self._http.trailing_data
        self._http = h11.Connection(h11.CLIENT)
        # The new parser has to know of the request, which was sent before.
        self._serialise_request(self._body)
        if unparsed:
            self._http.receive_data(unparsed)

    def close(self) -> None:
        """Closes the connection at once."""
        self._is_unusable = True
        self._channel.on_closed = None
        self._channel.on_data = None
        self._channel.abort()

    def reset(self) -> None:
        """Closes the connection so that what the server has not received never reaches it."""
        self._channel.prepare_reset()
        self.close()

    async def _next_event(self):
        try:
            while (event := self._http.next_event()) is h11.NEED_DATA:
                self._channel.mark_parsed()
                self._http.receive_data(await self._receive())
        except h11.RemoteProtocolError as exc:
            raise self._not_http(exc) from exc
        if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
            self._is_unusable = True
            raise BrokenResponseError("closed without an answer")
        return event

    def _parse_ahead(self):
        """Returns what follows in the bytes received: an event, NEED_DATA or an error."""
        try:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._channel.mark_parsed()
            return event
        except h11.RemoteProtocolError as exc:
            return self._not_http(exc)

    def _not_http(self, exc):
        self._is_unusable = True
        return BrokenResponseError(f"not HTTP: {exc}", is_malformed=not self._has_ended)

    async def _receive(self):
        try:
            self.meter.end_work()
            data = await self._channel.read()
            self.meter.begin_work()
            self.received_bytes += len(data)
            return data
        except ChannelClosedError as exc:
            self._is_unusable = self._has_ended = True
            if exc.was_reset:
                raise BrokenResponseError(str(exc), exc.was_silent) from exc
            return b""


class BoundedExchange:
    """An asynchronous context that ends if its account is given up.

    Args:
      account: The account of the connection.
      group: Whose answer it is.
    """

    def __init__(self, account: Account, group: str):
        self._account = account
        self._group = group
        self._timeout = asyncio.timeout(None)
        self._reason = ""

    async def __aenter__(self):
        await self._timeout.__aenter__()
        self._account.group = self._group
        self._account.on_give_up = self._give_up

    async def __aexit__(self, exc_type, exc, traceback):
        self._account.on_give_up = None
        try:
            return await self._timeout.__aexit__(exc_type, exc, traceback)
        except TimeoutError:
            raise BrokenResponseError(self._reason, is_malformed=True) from None

    def _give_up(self, reason):
        self._reason = reason
        self._timeout.reschedule(asyncio.get_running_loop().time())
