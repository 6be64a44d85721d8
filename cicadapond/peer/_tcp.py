"""TCP transport on Tornado: length-prefixed messages.

Endpoints are IP addresses, so no name is looked up.
"""

import asyncio
import datetime
import socket
import struct

import tornado.iostream
import tornado.tcpserver

from cicadapond.kernel import Turns
from cicadapond.peer._transport import Link, Transport
from cicadapond.peer._wire import MAX_MESSAGE_BYTES

_LENGTH = struct.Struct("!I")
MAX_UNSENT_BYTES = 1024 * 1024
READ_CHUNK_BYTES = 16 * 1024
CONNECT_TIMEOUT = datetime.timedelta(seconds=2)


class TcpLink(Link):
    """A connection over an IOStream."""

    def __init__(self, stream, metrics):
        self._stream = stream
        self._metrics = metrics
        self._buffer = bytearray()
        self._turns = Turns()
        self._closed = False
        stream.max_write_buffer_size = MAX_UNSENT_BYTES
        stream.set_nodelay(True)
        stream.set_close_callback(self._on_close)

    async def read(self) -> None:
        """Reads messages until the connection ends; an oversized message closes it."""
        try:
            while not self._closed:
                self._buffer += await self._stream.read_bytes(READ_CHUNK_BYTES, partial=True)
                await self._dispatch_messages()
                # A read returns at once while the peer sends faster than this process reads.
                await asyncio.sleep(0)
        except tornado.iostream.StreamClosedError:
            return
        finally:
            self._stream.close()

    async def _dispatch_messages(self):
        buffer = self._buffer
        start = 0
        while len(buffer) - start >= _LENGTH.size and not self._closed:
            (length,) = _LENGTH.unpack_from(buffer, start)
            if length > MAX_MESSAGE_BYTES:
                self._metrics.count("peer_garbage")
                self._stream.close()
                return
            end = start + _LENGTH.size + length
            if len(buffer) < end:
                break
            body = bytes(buffer[start + _LENGTH.size : end])
            start = end
            if self.on_message is not None:
                self.on_message(body)
            await self._turns.step()
        del buffer[:start]

    def send(self, bodies):
        if self._stream.closed():
            return
        frames = b"".join(part for body in bodies for part in (_LENGTH.pack(len(body)), body))
        self._metrics.count("peer_bytes_sent", len(frames))
        self._metrics.count("peer_messages_sent", len(bodies))
        try:
            self._stream.write(frames).add_done_callback(_ignore_result)
        except tornado.iostream.StreamBufferFullError:
            self._metrics.count("peer_overfull_connections")
            self._stream.close()

    def close(self):
        self._closed = True
        self._stream.close()

    def _on_close(self):
        if not self._closed:
            self._closed = True
            if self.on_closed is not None:
                self.on_closed()


def _ignore_result(fut):
    if not fut.cancelled():
        fut.exception()


class _Server(tornado.tcpserver.TCPServer):
    def __init__(self, on_accept, metrics):
        super().__init__()
        self._on_accept = on_accept
        self._metrics = metrics
        self._links = set()

    async def handle_stream(self, stream, address):
        link = TcpLink(stream, self._metrics)
        self._links.add(link)
        self._on_accept(link)
        try:
            await link.read()
        finally:
            self._links.discard(link)

    def close_links(self):
        for link in list(self._links):
            link.close()


class TcpTransport(Transport):
    """Connections over TCP.

    Args:
      metrics: Counts messages, bytes and errors.
    """

    def __init__(self, metrics):
        self._metrics = metrics
        self._server: _Server | None = None
        self._readers: set[asyncio.Task] = set()

    def listen(self, endpoint, on_accept):
        self._server = _Server(on_accept, self._metrics)
        self._server.listen(endpoint.port, endpoint.host, reuse_port=False)

    async def dial(self, endpoint):
        family = socket.AF_INET6 if ":" in endpoint.host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        stream = tornado.iostream.IOStream(sock)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
                await stream.connect((endpoint.host, endpoint.port))
        except (OSError, TimeoutError, tornado.iostream.StreamClosedError):
            stream.close()
            return None
        except asyncio.CancelledError:
            stream.close()
            raise
        link = TcpLink(stream, self._metrics)
        reader = asyncio.ensure_future(link.read())
        self._readers.add(reader)
        reader.add_done_callback(self._readers.discard)
        return link

    def close(self):
        if self._server is not None:
            self._server.stop()
            self._server.close_links()
        for reader in self._readers:
            reader.cancel()
