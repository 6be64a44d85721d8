"""A loopback TCP proxy that injects delays, silence, one-way loss and resets."""

import asyncio
import enum
import socket
import struct

from cicadapond.standin._ports import free_endpoint

CHUNK_BYTES = 64 * 1024
POLL_S = 0.05
_LINGER_RESET = struct.pack("ii", 1, 0)
HOST = "127.0.0.1"


class NetworkFault(enum.Enum):
    """How a proxy treats the traffic."""

    NONE = "forwards it"
    DELAY = "forwards it after a delay"
    SILENT = "forwards nothing on the open connections, in either direction, for good"
    ONE_WAY = "holds back what the target sends"
    REFUSE = "resets open and new connections"
    HOLD = "holds it back until the fault ends, and then forwards it"


class Proxy:
    """Forwards TCP connections from a port of its own to a target port on loopback.

    Args:
      target: The target port.
      delay: Delay of each chunk under `NetworkFault.DELAY`, in seconds.
    """

    def __init__(self, target: int, delay: float = 0.3):
        self._target = target
        self._delay = delay
        self._fault = NetworkFault.NONE
        self._server: asyncio.Server | None = None
        self._start_lock = asyncio.Lock()
        # Below the ephemeral range, so that it can be listened on again after a pause.
        self._port = free_endpoint().port
        self._connections: set[_Link] = set()

    async def start(self) -> int:
        """Listens on loopback, unless it does already; returns the port."""
        async with self._start_lock:
            if self._server is None or not self._server.is_serving():
                self._server = await asyncio.start_server(self._serve, HOST, self._port)
        return self._port

    def stop_listening(self) -> None:
        """Refuses new connections until `start`; open ones go on."""
        if self._server is not None:  # else it has not begun to listen
            self._server.close()

    def set(self, fault: NetworkFault) -> None:
        """Sets the fault to inject from now on; a connection that was silenced stays silent."""
        self._fault = fault
        if fault is NetworkFault.SILENT:
            self.silence()
        if fault is NetworkFault.REFUSE:
            self.reset()

    def silence(self) -> None:
        """Makes all open connections stop delivering for good."""
        for link in self._connections:
            link.is_silent = True

    def reset(self) -> None:
        """Resets all open connections."""
        for link in list(self._connections):
            link.reset()

    async def stop(self) -> None:
        """Stops listening, resets all open connections and waits until they are closed."""
        self._server.close()
        self.reset()
        while self._connections:
            await asyncio.sleep(POLL_S)

    def holds(self, link: "_Link", is_response: bool) -> bool:
        """Returns whether a connection's bytes in one direction are held back now."""
        if link.is_silent or self._fault is NetworkFault.HOLD:
            return True
        return is_response and self._fault is NetworkFault.ONE_WAY

    async def apply_delay(self) -> None:
        """Waits for the delay of a chunk, if delays are being injected."""
        if self._fault is NetworkFault.DELAY:
            await asyncio.sleep(self._delay)

    async def _serve(self, reader, writer):
        link = _Link(self, writer)
        if self._fault is NetworkFault.REFUSE:
            link.reset()
            return
        self._connections.add(link)
        try:
            await link.run(reader, self._target)
        finally:
            self._connections.discard(link)


class _Link:
    def __init__(self, proxy, client_writer):
        self.is_silent = False
        self._proxy = proxy
        self._writers = [client_writer]

    async def run(self, client_reader, target):
        try:
            target_reader, target_writer = await asyncio.open_connection(HOST, target)
        except OSError:
            self.reset()
            return
        self._writers.append(target_writer)
        client_writer = self._writers[0]
        await asyncio.gather(
            self._forward(client_reader, client_writer, target_writer, False),
            self._forward(target_reader, target_writer, client_writer, True),
            return_exceptions=True,
        )
        for writer in self._writers:
            writer.close()

    def reset(self):
        for writer in self._writers:
            sock = writer.get_extra_info("socket")
            if not writer.transport.is_closing():
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
            writer.transport.abort()

    async def _forward(self, reader, sender, writer, is_response):
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._proxy.apply_delay()
                while self._proxy.holds(self, is_response):
                    if writer.transport.is_closing():
                        return
                    if sender.transport.is_closing():
                        # Bytes that are held up are lost if their sender resets the connection.
                        self.reset()
                        return
                    await asyncio.sleep(POLL_S)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except ConnectionError:
            self.reset()
