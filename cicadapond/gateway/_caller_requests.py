"""A caller's request as its connection reads it, and what handles it."""

import abc
import datetime
import typing

import h11

from cicadapond.forwarding import ChannelClosedError
from cicadapond.serving import RequestLimits

if typing.TYPE_CHECKING:
    from cicadapond.gateway._caller import Reply

Headers = typing.Sequence[tuple[bytes, bytes]]


class RequestError(Exception):
    """A request that cannot be read; answered with `status`, then the connection is closed.

    Attributes:
      retry_after: After how long the caller may retry, None to say nothing.
      not_run: Whether it was handed to nobody, so that it certainly has not run.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        retry_after: datetime.timedelta | None = None,
        not_run: bool = True,
    ):
        super().__init__(reason)
        self.status = status
        self.not_run = not_run
        self.retry_after = retry_after


class RequestHandler(abc.ABC):
    """Handles the requests of all connections."""

    @abc.abstractmethod
    def limits(self) -> RequestLimits:
        """Returns the request limits in force."""

    @abc.abstractmethod
    def is_stopping(self) -> bool:
        """Whether connections are closed after the response in progress."""

    @abc.abstractmethod
    async def handle(self, request: "ReceivedRequest", reply: "Reply") -> None:
        """Responds to a request; cancelled if the caller disconnects."""

    @abc.abstractmethod
    def on_rejected(self, headers: Headers, exc: RequestError) -> list[tuple[bytes, bytes]]:
        """Records a request that cannot be read; returns the headers of its response.

        Args:
          headers: The headers of the request, empty if they were not read.
          exc: Why it cannot be read.
        """

    @abc.abstractmethod
    def on_unfinished(self, headers: Headers, exc: ChannelClosedError) -> None:
        """Records a request whose connection was closed before `handle` began."""

    @abc.abstractmethod
    def on_failed(self, headers: Headers, exc: Exception) -> None:
        """Records an unexpected error."""


class ReceivedRequest:
    """A complete request as received; header names are in lower case.

    Args:
      event: Its head.
      body: Its body.
      received_at: The monotonic time at which its first byte was received.
    """

    def __init__(self, event: h11.Request, body: bytes, received_at: datetime.timedelta):
        self.method = bytes(event.method)
        self.target = bytes(event.target)
        self.headers = [(bytes(name), bytes(value)) for name, value in event.headers]
        self.body = body
        self.received_at = received_at


class BodyBuffer:
    """A body that is being received, in pieces of similar size.

    One buffer that grows is moved again and again, and many of them leave gaps in the process's
    memory that none of the next fits in.
    """

    PIECE_BYTES = 16 * 1024

    def __init__(self):
        self._pieces: list[bytes] = []
        self._last = bytearray()
        self._size = 0

    def __len__(self):
        return self._size

    def append(self, data: bytes) -> None:
        """Appends received bytes."""
        self._size += len(data)
        if not self._last and len(data) >= self.PIECE_BYTES:
            self._pieces.append(bytes(data))
            return
        self._last += data
        if len(self._last) >= self.PIECE_BYTES:
            self._pieces.append(bytes(self._last))
            self._last = bytearray()

    def clear(self) -> None:
        """Releases what was received."""
        self._pieces.clear()
        self._last.clear()
        self._size = 0

    def join(self) -> bytes:
        """Returns the whole body."""
        return b"".join((*self._pieces, self._last))
