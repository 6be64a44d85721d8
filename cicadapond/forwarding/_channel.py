"""A TCP connection as a byte stream: reads, writes, and how the peer closed it.

An idle connection has to notice unsolicited bytes, which takes a pending read that can be
cancelled.  Tornado's streams cannot cancel one, so this is an asyncio protocol on the event loop
that Tornado runs on.
"""

import asyncio
import contextlib
import datetime
import fcntl
import os
import socket
import struct
import termios

from cicadapond.data import Endpoint
from cicadapond.memory import Kind, MemoryBudget

READ_CHUNK_BYTES = 64 * 1024
# Above this, reading pauses so that the peer has to wait; earlier if the process is at its bound.
MAX_UNREAD_BYTES = 256 * 1024
# A peer that acknowledges nothing for this long is considered gone.  A sound one may be silent for
# a second or more.  With this option set, Linux gives up keep-alive probes too once nothing was
# received for so long and a probe is unanswered, whatever their count, so it has to exceed the
# idle time by more than such a silence.
UNACKNOWLEDGED_TIMEOUT = datetime.timedelta(milliseconds=3500)
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
# After the connect time-out, a connection that was made meanwhile is looked for during this time:
# an event loop that was delayed runs the time-out before it hears of the connection.
CONNECT_GRACE_S = 0.02
_MILLISECOND = datetime.timedelta(milliseconds=1)
# Makes closing a socket reset its connection.
_NO_LINGER = struct.pack("ii", 1, 0)
_INT = struct.Struct("i")


class ChannelClosedError(Exception):
    """The connection is closed.

    Attributes:
      was_reset: Whether it was reset or timed out, rather than closed in an orderly way.
      was_silent: Whether it timed out because the peer acknowledged nothing.
    """

    def __init__(self, reason: str, was_reset: bool, was_silent: bool = False):
        super().__init__(reason)
        self.was_reset = was_reset
        self.was_silent = was_silent


class Channel(asyncio.Protocol):
    """One TCP connection.

    Args:
      memory: Counts the bytes that the connection and its owner hold.
      kind: What the received bytes are.

    Attributes:
      account: The received bytes that the owner keeps.
      kind: What they are, unless they wait for a caller.
      on_closed: Called once when the connection has been closed by either side.
      on_data: Called when data has been received.
      stays_half_open: Whether what was written is still sent, and a reset still noticed, after the
        peer has ended its side; the owner then has to close the connection.
    """

    _max_unread_bytes = MAX_UNREAD_BYTES

    def __init__(self, memory: MemoryBudget | None = None, kind: Kind = Kind.ANSWERS):
        memory = memory or MemoryBudget()
        self.kind = kind
        self.account = memory.open(kind)
        self.account.on_change = self._adjust_reading
        self._unread_account = memory.open(Kind.UNREAD)
        self._unsent_account = memory.open(Kind.UNSENT)
        self._transport: asyncio.Transport | None = None
        self._unread = bytearray()
        # How many bytes were read that may still be in a parser.
        self._unparsed_bytes = 0
        self._read_bytes = 0
        self._data_waiter: asyncio.Future | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._closed = False
        self._error: Exception | None = None
        self._reading_paused = False
        self.on_closed = None
        self.on_data = None
        self.stays_half_open = False

    # asyncio.Protocol

    def connection_made(self, transport):
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _set_options(sock)
        # At zero a buffer that was over the limit is counted down to its end.
        reserve = self.account.budget.reserve_bytes
        transport.set_write_buffer_limits(high=reserve, low=0)
        self._adjust_reading()

    def data_received(self, data):
        self._unread += data
        self._unread_account.set(len(self._unread) + self._unparsed_bytes)
        self._adjust_reading()
        self._wake_reader()
        if self.on_data is not None:
            self.on_data()

    def eof_received(self):
        self._mark_closed(None)
        return self.stays_half_open

    def connection_lost(self, exc):
        self._unsent_account.close()
        if not self.account.held and not self._unread_account.held:
            self._close_accounts()
        self._mark_closed(exc)

    def pause_writing(self):
        self._writable.clear()

    def resume_writing(self):
        self._unsent_account.set(self._transport.get_write_buffer_size())
        self._writable.set()

    # Used by client and server connections

    @property
    def is_closed(self) -> bool:
        """Whether either side has closed the connection."""
        return self._closed

    @property
    def has_unread(self) -> bool:
        """Whether received bytes have not been read yet."""
        return bool(self._unread)

    @property
    def is_flushed(self) -> bool:
        """Whether all written bytes have been passed to the operating system."""
        return self._transport.get_write_buffer_size() == 0

    @property
    def undelivered_bytes(self) -> int:
        """How many written bytes the peer's system has not acknowledged."""
        sock = self._transport.get_extra_info("socket")
        queued = 0
        if sock is not None and sock.fileno() >= 0:
            with contextlib.suppress(OSError):
                raw = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
                (queued,) = _INT.unpack(raw)
        return self._transport.get_write_buffer_size() + queued

    @property
    def has_failed(self) -> bool:
        """Whether the connection was reset or timed out, also after the peer had ended its side.

        Without a pending read or write the event loop does not hear of it.
        """
        sock = self._transport.get_extra_info("socket")
        if self._error is None and sock is not None and sock.fileno() >= 0:
            number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if number:
                self._error = OSError(number, os.strerror(number))
        return self._error is not None

    async def read(self) -> bytes:
        """Returns the next bytes, waiting for them.

        Raises:
          ChannelClosedError: If the connection is closed and all received bytes have been read.
        """
        while not self._unread:
            if self._closed:
                raise self._closed_error()
            self._data_waiter = asyncio.get_running_loop().create_future()
            await self._data_waiter
        data = bytes(self._unread)
        self._unread.clear()
        self._unparsed_bytes += len(data)
        self._adjust_reading()
        return data

    def mark_parsed(self) -> None:
        """Tells that the parser needs more data: what was read is kept by the owner, or gone."""
        self._unparsed_bytes = 0

    def keep(self, kept_bytes: int) -> None:
        """Tells how many of the bytes that were read the owner keeps."""
        self._unread_account.set(len(self._unread) + self._unparsed_bytes)
        self.account.set(kept_bytes)
        self._adjust_reading()

    def write(self, data: bytes) -> None:
        """Writes without waiting; data for a closed connection is dropped."""
        if not self._closed:
            self._transport.write(data)
            self._unsent_account.set(self._transport.get_write_buffer_size())

    async def drain(self) -> None:
        """Waits until the write buffer is below its limit."""
        await self._writable.wait()

    def close(self) -> None:
        """Closes once all written bytes have been sent."""
        self._close_accounts()
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes at once, so that the peer sees an incomplete response as broken."""
        self._close_accounts()
        if self._transport is not None:
            self._transport.abort()

    def prepare_reset(self) -> None:
        """Makes the next close reset the connection.

        Bytes that the peer has not received, for example in a network partition, are then lost.
        """
        sock = self._transport.get_extra_info("socket") if self._transport is not None else None
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)

    def _close_accounts(self):
        self.account.close()
        self._unread_account.close()

    def _waiting_bytes(self):
        """Returns how many held bytes reading more would add to."""
        return len(self._unread) + self._unparsed_bytes + self.account.held

    def _adjust_reading(self):
        """Pauses reading, or goes on with it."""
        if self._transport is None:
            return
        budget = self.account.budget
        if budget.is_filling:
            reserve = budget.reserve_bytes
            self._read_at_most(reserve)
            must_pause = len(self._unread) > reserve or (
                budget.is_full and self._waiting_bytes() > reserve
            )
        else:
            self._read_at_most(self._read_chunk_bytes())
            must_pause = len(self._unread) > self._max_unread_bytes
        if must_pause and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()
        elif self._reading_paused and not must_pause:
            self._reading_paused = False
            self._transport.resume_reading()

    def _read_chunk_bytes(self):
        """Returns how many bytes to read at once while there is room."""
        return READ_CHUNK_BYTES

    def _read_at_most(self, read_bytes):
        if read_bytes != self._read_bytes:
            self._read_bytes = read_bytes
            self._transport.max_size = read_bytes  # of one call to the operating system

    def _closed_error(self):
        if self._error is None:
            return ChannelClosedError("connection closed by the peer", was_reset=False)
        was_silent = isinstance(self._error, TimeoutError)
        return ChannelClosedError(repr(self._error), was_reset=True, was_silent=was_silent)

    def _mark_closed(self, error):
        if self._closed:
            self._error = self._error or error
            return
        self._closed = True
        self._error = error
        self._writable.set()
        self._wake_reader()
        if self.on_closed is not None:
            self.on_closed()

    def _wake_reader(self):
        if self._data_waiter is not None and not self._data_waiter.done():
            self._data_waiter.set_result(None)


async def open_channel(
    endpoint: Endpoint,
    timeout: datetime.timedelta,
    memory: MemoryBudget | None = None,
    kind: Kind = Kind.ANSWERS,
) -> Channel | None:
    """Connects to an address.

    Args:
      endpoint: The address.
      timeout: The connect time-out.
      memory: Counts the bytes that the connection holds.
      kind: What the received bytes are.

    Returns:
      The connection, None if it could not be made; then nothing was sent.
    """
    loop = asyncio.get_running_loop()
    connecting = loop.create_task(
        loop.create_connection(lambda: Channel(memory, kind), endpoint.host, endpoint.port),
        name="connect",
    )
    try:
        await asyncio.wait((connecting,), timeout=max(0.0, timeout.total_seconds()))
        if not connecting.done():
            await asyncio.wait((connecting,), timeout=CONNECT_GRACE_S)
    except asyncio.CancelledError:
        connecting.add_done_callback(_abandon)
        connecting.cancel()
        raise
    if not connecting.done():
        connecting.add_done_callback(_abandon)
        connecting.cancel()
        return None
    # ValueError and OverflowError come of addresses that no socket takes.
    with contextlib.suppress(OSError, ValueError, OverflowError):
        return connecting.result()[1]
    return None


def _abandon(connecting):
    """Closes a connection that was made although nobody waits for it any more."""
    if not connecting.cancelled() and connecting.exception() is None:
        connecting.result()[0].abort()


def _set_options(sock):
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT // _MILLISECOND
    )
