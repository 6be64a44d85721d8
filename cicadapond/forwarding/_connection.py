"""One HTTP/1.1 connection to a server, with one request on it at a time."""

import datetime

import h11

from cicadapond.data import Endpoint
from cicadapond.forwarding._channel import Channel, ChannelClosedError, open_channel


class BrokenAnswerError(Exception):
    """The server's answer did not come, or not whole; the request may have run.

    `was_silent` tells that the other end acknowledged nothing for too long.
    """

    def __init__(self, reason: str, was_silent: bool = False):
        super().__init__(reason)
        self.was_silent = was_silent


class ServerConnection:
    """A connection to a server; create it with `connect`.

    Args:
      channel: The connection.
      now: The instant at which it was made.
    """

    def __init__(self, channel: Channel, now: datetime.timedelta):
        self._channel = channel
        self._http = h11.Connection(h11.CLIENT)
        self._request = None
        self._body = b""
        self._is_spoiled = False
        self.used_at = now
        self.keep_idle: datetime.timedelta | None = None

    @classmethod
    async def connect(cls, endpoint: Endpoint, timeout: datetime.timedelta, clock):
        """Returns a new connection, None if none could be made."""
        channel = await open_channel(endpoint, timeout)
        return cls(channel, clock.monotonic()) if channel is not None else None

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent: the last one is answered and nothing is left."""
        return not (
            self._is_spoiled
            or self._channel.is_closed
            or self._channel.has_unread
            or not self._channel.is_flushed
            or self._http.trailing_data[0]
            or self._http.our_state is not h11.DONE
            or self._http.their_state is not h11.DONE
        )

    @property
    def is_sound(self) -> bool:
        """Whether an idle connection still is as it was left."""
        return not (self._channel.is_closed or self._channel.has_unread)

    def watch(self, ended) -> None:
        """Calls `ended` when the idle connection closes or says something unasked."""
        self._channel.on_closed = ended
        self._channel.on_bytes = ended

    def send(self, method: str, target: bytes, headers, body: bytes) -> None:
        """Sends a request; its length is told, and all of it leaves at once."""
        self._channel.on_closed = None
        self._channel.on_bytes = None
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        framed = list(headers)
        if body or method not in ("GET", "HEAD", "DELETE"):
            framed.append((b"content-length", b"%d" % len(body)))
        self._request = h11.Request(method=method, target=target, headers=framed)
        self._body = body
        self._channel.write(self._start(body))

    def _start(self, body):
        data = self._http.send(self._request)
        if body:
            data += self._http.send(h11.Data(data=body))
        return data + (self._http.send(h11.EndOfMessage()) or b"")

    async def read_head(self) -> tuple[int, list]:
        """Returns the status and headers of the answer.

        Raises:
          BrokenAnswerError: If none came, or bytes that are no answer.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return event.status_code, list(event.headers)
            if not isinstance(event, h11.InformationalResponse):
                raise BrokenAnswerError(f"{type(event).__name__} in place of an answer")

    async def read_body(self) -> bytes | None:
        """Returns the next bytes of the answer's body, None at its proper end.

        Raises:
          BrokenAnswerError: If the answer breaks off before its end.
        """
        event = await self._next_event()
        match event:
            case h11.Data(data=data):
                return bytes(data)
            case h11.EndOfMessage():
                return None
        raise BrokenAnswerError(f"{type(event).__name__} within an answer")

    async def read_whole_body(self, limit: int) -> bytes:
        """Returns the whole body of the answer.

        Raises:
          BrokenAnswerError: If it breaks off or is longer than `limit` bytes.
        """
        body = bytearray()
        while (data := await self.read_body()) is not None:
            body += data
            if len(body) > limit:
                raise BrokenAnswerError(f"an answer of more than {limit} bytes")
        return bytes(body)

    async def skip_answer(self) -> None:
        """Drops an answer to an earlier request and makes ready to read the next one.

        Raises:
          BrokenAnswerError: If the dropped answer breaks off.
        """
        self._is_spoiled = True
        while await self.read_body() is not None:
            pass
        rest, _ = self._http.trailing_data
        self._http = h11.Connection(h11.CLIENT)
        self._start(self._body)  # the parser has to know the request; it left before
        if rest:
            self._http.receive_data(rest)

    def close(self) -> None:
        """Closes the connection at once."""
        self._is_spoiled = True
        self._channel.on_closed = None
        self._channel.on_bytes = None
        self._channel.abort()

    async def _next_event(self):
        try:
            while (event := self._http.next_event()) is h11.NEED_DATA:
                self._http.receive_data(await self._receive())
        except h11.RemoteProtocolError as exc:
            self._is_spoiled = True
            raise BrokenAnswerError(f"not HTTP: {exc}") from exc
        if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
            self._is_spoiled = True
            raise BrokenAnswerError("closed without an answer")
        return event

    async def _receive(self):
        try:
            return await self._channel.read()
        except ChannelClosedError as exc:
            self._is_spoiled = True
            if exc.was_reset:
                raise BrokenAnswerError(str(exc), exc.was_silent) from exc
            return b""
