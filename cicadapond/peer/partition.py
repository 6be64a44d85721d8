"""A TCP transport whose process can be cut off from the others, for tests and the soak.

What is sent while a direction is cut arrives once it is restored, as TCP repeats it.
"""

import asyncio
import enum

from cicadapond.peer._tcp import CONNECT_TIMEOUT, TcpTransport
from cicadapond.peer._transport import Link


class Direction(enum.Flag):
    """Directions of messages, as the process that is cut off sees them."""

    NONE = 0
    IN = enum.auto()
    OUT = enum.auto()
    BOTH = IN | OUT


class Partition:
    """Which messages between one process and the others are held back.

    Attributes:
      held: The directions that are cut on all connections.
    """

    def __init__(self):
        self.held = Direction.NONE
        self.links: set[HeldLink] = set()
        self._held_by_port: dict[int, Direction] = {}

    def set(self, held: Direction) -> None:
        """Cuts these directions and restores the others."""
        self.held = held
        self._release()

    def set_ports(self, held: dict[int, Direction]) -> None:
        """Cuts directions of the connections that were made to these ports, and of no others."""
        self._held_by_port = held
        self._release()

    def held_to(self, port: int | None) -> Direction:
        """Returns what is cut of a connection made to a port, None for one that was accepted."""
        return self.held | self._held_by_port.get(port, Direction.NONE)

    def _release(self):
        for link in list(self.links):
            link.release()


class HeldLink(Link):
    """A connection that holds messages back while its process is cut off.

    Args:
      link: The connection.
      partition: Whether the process is cut off.
      port: The port to which it was made, None if it was accepted.
    """

    def __init__(self, link: Link, partition: Partition, port: int | None = None):
        self._link = link
        self._partition = partition
        self._port = port
        self._unsent: list[bytes] = []
        self._unread: list[bytes] = []
        link.on_message, link.on_closed = self._receive, self._end
        partition.links.add(self)

    def send(self, bodies):
        self._unsent += bodies
        self.release()

    def close(self):
        self._partition.links.discard(self)
        self._link.close()

    def release(self) -> None:
        """Passes on what is not held back any more."""
        held = self._partition.held_to(self._port)
        if self._unsent and Direction.OUT not in held:
            bodies, self._unsent = self._unsent, []
            self._link.send(bodies)
        if Direction.IN not in held:
            while self._unread:
                self.on_message(self._unread.pop(0))

    def _receive(self, body):
        self._unread.append(body)
        self.release()

    def _end(self):
        self._partition.links.discard(self)
        if self.on_closed is not None:
            self.on_closed()


class PartitionedTransport(TcpTransport):
    """A TCP transport with a partition; it connects to nobody while any direction is cut.

    Args:
      metrics: Counts messages, bytes and errors.
      partition: The partition.
    """

    def __init__(self, metrics, partition: Partition):
        super().__init__(metrics)
        self._partition = partition

    def listen(self, endpoint, on_accept):
        super().listen(endpoint, lambda link: on_accept(HeldLink(link, self._partition)))

    async def dial(self, endpoint):
        if self._partition.held_to(endpoint.port):
            await asyncio.sleep(CONNECT_TIMEOUT.total_seconds())
            return None
        link = await super().dial(endpoint)
        return None if link is None else HeldLink(link, self._partition, endpoint.port)
