"""A TCP connection as bytes: reads, writes, and how the other end closed it.

Tornado's streams cannot give up a pending read, which an idle connection needs to notice bytes
that nobody asked for; so this is a protocol of the event loop that tornado runs on.
"""

import asyncio
import contextlib
import datetime
import socket

from cicadapond.data import Endpoint

READ_CHUNK_BYTES = 64 * 1024
# Above it the other end has to wait until what came is read.
MAX_UNREAD_BYTES = 256 * 1024
# A peer that acknowledges nothing for so long is gone; well under the shortest deadlines.
UNACKNOWLEDGED_TIMEOUT = datetime.timedelta(milliseconds=1000)
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
_MILLISECOND = datetime.timedelta(milliseconds=1)


class ChannelClosedError(Exception):
    """The connection is closed.

    `was_reset` tells a reset or time-out from an orderly end, `was_silent` a time-out from both.
    """

    def __init__(self, reason: str, was_reset: bool, was_silent: bool = False):
        super().__init__(reason)
        self.was_reset = was_reset
        self.was_silent = was_silent


class Channel(asyncio.Protocol):
    """One TCP connection.

    Attributes:
      on_closed: Called once when the connection has ended, from either side.
      on_bytes: Called when bytes came that nobody waits for.
    """

    def __init__(self):
        self._transport: asyncio.Transport | None = None
        self._unread = bytearray()
        self._arrival: asyncio.Future | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._ended = False
        self._error: Exception | None = None
        self._paused = False
        self.on_closed = None
        self.on_bytes = None

    # asyncio.Protocol

    def connection_made(self, transport):
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _set_options(sock)

    def data_received(self, data):
        self._unread += data
        if len(self._unread) > MAX_UNREAD_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._wake()
        if self.on_bytes is not None:
            self.on_bytes()

    def eof_received(self):
        self._end(None)
        return False

    def connection_lost(self, exc):
        self._end(exc)

    def pause_writing(self):
        self._writable.clear()

    def resume_writing(self):
        self._writable.set()

    # What both ends use

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended, from either side."""
        return self._ended

    @property
    def has_unread(self) -> bool:
        """Whether bytes have come that nobody has read."""
        return bool(self._unread)

    @property
    def is_flushed(self) -> bool:
        """Whether all that was written has been handed to the machine."""
        return self._transport.get_write_buffer_size() == 0

    async def read(self) -> bytes:
        """Returns the next bytes, waiting for them.

        Raises:
          ChannelClosedError: If the connection has ended and everything that came is read.
        """
        while not self._unread:
            if self._ended:
                raise self._closed_error()
            self._arrival = asyncio.get_running_loop().create_future()
            await self._arrival
        data = bytes(self._unread)
        self._unread.clear()
        if self._paused:
            self._paused = False
            self._transport.resume_reading()
        return data

    def write(self, data: bytes) -> None:
        """Writes without waiting; what cannot be sent any more is dropped."""
        if not self._ended:
            self._transport.write(data)

    async def drain(self) -> None:
        """Waits until the other end keeps up with what is written."""
        await self._writable.wait()

    def close(self) -> None:
        """Closes after what is written has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes at once, so that an answer that is not whole looks broken."""
        if self._transport is not None:
            self._transport.abort()

    def _closed_error(self):
        if self._error is None:
            return ChannelClosedError("closed by the other end", was_reset=False)
        was_silent = isinstance(self._error, TimeoutError)
        return ChannelClosedError(repr(self._error), was_reset=True, was_silent=was_silent)

    def _end(self, error):
        if self._ended:
            return
        self._ended = True
        self._error = error
        self._writable.set()
        self._wake()
        if self.on_closed is not None:
            self.on_closed()

    def _wake(self):
        if self._arrival is not None and not self._arrival.done():
            self._arrival.set_result(None)


async def open_channel(endpoint: Endpoint, timeout: datetime.timedelta) -> Channel | None:
    """Connects to an address.

    Args:
      endpoint: The address.
      timeout: How long to try.

    Returns:
      The connection, None if it could not be made: then nothing was sent.
    """
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(max(0.0, timeout.total_seconds())):
            _, channel = await loop.create_connection(Channel, endpoint.host, endpoint.port)
            return channel
    return None


def _set_options(sock):
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT // _MILLISECOND
    )
