"""A loopback TCP proxy whose connections can be delayed, silenced, cut one way or reset."""

import asyncio
import enum
import socket
import struct

CHUNK_BYTES = 64 * 1024
POLL_S = 0.05
_LINGER_RESET = struct.pack("ii", 1, 0)
HOST = "127.0.0.1"


class Trouble(enum.Enum):
    """What a proxy does with bytes."""

    NONE = "passes them on"
    DELAY = "passes them on late"
    SILENT = "holds those of open connections for good, both ways"
    ONE_WAY = "holds what comes back"
    REFUSE = "accepts nothing, and resets what is open"


class Proxy:
    """Passes bytes between callers of one port and another port.

    Args:
      target: The port behind it.
      delay: How long a delayed chunk is held, in seconds.
    """

    def __init__(self, target: int, delay: float = 0.3):
        self._target = target
        self._delay = delay
        self._trouble = Trouble.NONE
        self._server: asyncio.Server | None = None
        self._links: set[_Link] = set()

    async def start(self) -> int:
        """Listens on loopback; returns the port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return self._server.sockets[0].getsockname()[1]

    def set(self, trouble: Trouble) -> None:
        """Changes what becomes of bytes from now on; a silent connection stays silent."""
        self._trouble = trouble
        if trouble is Trouble.SILENT:
            for link in self._links:
                link.is_silent = True
        if trouble is Trouble.REFUSE:
            self.reset()

    def reset(self) -> None:
        """Resets all open connections."""
        for link in list(self._links):
            link.reset()

    async def stop(self) -> None:
        """Stops listening, resets what is open and waits until it is gone."""
        self._server.close()
        self.reset()
        while self._links:
            await asyncio.sleep(POLL_S)

    def holds(self, link: "_Link", is_back: bool) -> bool:
        """Returns whether bytes of a connection are held back now."""
        return link.is_silent or (is_back and self._trouble is Trouble.ONE_WAY)

    async def wait(self) -> None:
        """Waits for as long as a chunk is delayed now."""
        if self._trouble is Trouble.DELAY:
            await asyncio.sleep(self._delay)

    async def _serve(self, reader, writer):
        link = _Link(self, writer)
        if self._trouble is Trouble.REFUSE:
            link.reset()
            return
        self._links.add(link)
        try:
            await link.run(reader, self._target)
        finally:
            self._links.discard(link)


class _Link:
    def __init__(self, proxy, near):
        self.is_silent = False
        self._proxy = proxy
        self._writers = [near]

    async def run(self, near_reader, target):
        try:
            far_reader, far = await asyncio.open_connection(HOST, target)
        except OSError:
            self.reset()
            return
        self._writers.append(far)
        near = self._writers[0]
        await asyncio.gather(
            self._pass(near_reader, far, False),
            self._pass(far_reader, near, True),
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

    async def _pass(self, reader, writer, is_back):
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._proxy.wait()
                while self._proxy.holds(self, is_back):
                    if writer.transport.is_closing():
                        return
                    await asyncio.sleep(POLL_S)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except ConnectionError:
            self.reset()
