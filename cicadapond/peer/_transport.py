"""Transports between processes: the interface, and an in-memory transport for tests."""

import abc
import asyncio
import collections
import datetime
import random
import typing

from cicadapond.data import Endpoint

_ZERO = datetime.timedelta()


class Link(abc.ABC):
    """One connection; its owner sets both callbacks before it next yields to the event loop.

    `on_message` is called with each message's bytes, `on_closed` once when the connection has ended
    for a reason other than `close`.
    """

    on_message: typing.Callable[[bytes], None] | None = None
    on_closed: typing.Callable[[], None] | None = None

    @abc.abstractmethod
    def send(self, bodies: typing.Sequence[bytes]) -> None:
        """Sends messages in order, without waiting; they may be lost with the connection."""

    @abc.abstractmethod
    def close(self) -> None:
        """Ends the connection; safe to call twice."""


class Transport(abc.ABC):
    """Dials and accepts connections."""

    @abc.abstractmethod
    def listen(self, endpoint: Endpoint, on_accept: typing.Callable[[Link], None]) -> None:
        """Accepts connections at an address and passes each to `on_accept`."""

    @abc.abstractmethod
    async def dial(self, endpoint: Endpoint) -> Link | None:
        """Connects to an address; returns None if that fails."""

    @abc.abstractmethod
    def close(self) -> None:
        """Stops listening and closes all connections."""


# In memory, for the event loop with virtual time


class MemoryNetwork:
    """Connects memory transports, with injected faults.

    Args:
      rng: Draws losses and delays.
      delay: How long a message takes.
      jitter: How much longer it may take; order within a connection is kept.
      loss: The share of messages that are lost.
      processing_time: How long a receiver processes a message; it processes one at a time.
    """

    def __init__(
        self,
        rng: random.Random,
        delay: datetime.timedelta = datetime.timedelta(milliseconds=1),
        jitter: datetime.timedelta = _ZERO,
        loss: float = 0.0,
        processing_time: datetime.timedelta = _ZERO,
    ):
        self.rng = rng
        self.delay = delay
        self.jitter = jitter
        self.loss = loss
        self.processing_time = processing_time
        self._busy_until: dict[Endpoint, float] = {}
        self.links: dict[MemoryLink, None] = {}
        self.listeners: dict[Endpoint, typing.Callable] = {}
        self.messages = 0
        self.bytes = 0
        self._is_cut: typing.Callable[[Endpoint, Endpoint], bool] = lambda local, remote: False

    def cut(self, is_cut: typing.Callable[[Endpoint, Endpoint], bool]) -> None:
        """Partitions the network: no message passes where `is_cut(sender, receiver)` is true."""
        self._is_cut = is_cut

    def heal(self) -> None:
        """Ends all partitions; blackholed connections stay so."""
        self._is_cut = lambda local, remote: False

    def blackhole(self, local: Endpoint, remote: Endpoint) -> int:
        """Makes the open connections from one address to another drop all messages for good.

        Returns:
          How many there were.
        """
        found = [link for link in self.links if link.local == local and link.remote == remote]
        for link in found:
            link.blackholed = True
            link.remote_end.blackholed = True
        return len(found)

    def reserve_processing(self, receiver: Endpoint, now: float) -> float:
        """Queues a message at its receiver; returns the loop time at which it is processed."""
        start = max(now, self._busy_until.get(receiver, now))
        self._busy_until[receiver] = start + self.processing_time.total_seconds()
        return self._busy_until[receiver]

    def passes(self, local: Endpoint, remote: Endpoint) -> bool:
        """Returns whether messages pass from one address to another."""
        return not self._is_cut(local, remote)


class MemoryLink(Link):
    """One end of a connection in memory."""

    def __init__(self, network: MemoryNetwork, local: Endpoint, remote: Endpoint):
        self.local = local
        self.remote = remote
        self.remote_end: MemoryLink | None = None
        self.blackholed = False
        self._network = network
        self._open = True
        self._last_delivery_at = 0.0
        self._queue = collections.deque()
        network.links[self] = None

    def send(self, bodies):
        if not self._open:
            return
        network = self._network
        loop = asyncio.get_running_loop()
        wait = network.delay + network.jitter * network.rng.random()
        self._last_delivery_at = max(self._last_delivery_at, loop.time() + wait.total_seconds())
        for body in bodies:
            network.messages += 1
            network.bytes += len(body)
            if not network.loss or network.rng.random() >= network.loss:
                self._queue.append(body)
                loop.call_at(self._last_delivery_at, self._deliver)

    def _deliver(self):
        body = self._queue.popleft()
        remote_end = self.remote_end
        if self.blackholed or not self._network.passes(self.local, self.remote):
            return
        if not self._network.processing_time:
            remote_end._receive(body)
            return
        loop = asyncio.get_running_loop()
        loop.call_at(
            self._network.reserve_processing(self.remote, loop.time()), remote_end._receive, body
        )

    def _receive(self, body):
        if self._open and self.on_message is not None:
            self.on_message(body)

    def close(self):
        if not self._open:
            return
        self._open = False
        self._network.links.pop(self, None)
        delay = self._network.delay.total_seconds()
        asyncio.get_running_loop().call_later(delay, self._close_remote_end)

    def _close_remote_end(self):
        remote_end = self.remote_end
        if (
            self.blackholed
            or not self._network.passes(self.local, self.remote)
            or not remote_end._open
        ):
            return
        remote_end._open = False
        self._network.links.pop(remote_end, None)
        if remote_end.on_closed is not None:
            remote_end.on_closed()


class MemoryTransport(Transport):
    """The transport of one process on a memory network."""

    def __init__(self, network: MemoryNetwork, endpoint: Endpoint):
        self._network = network
        self._endpoint = endpoint

    def listen(self, endpoint, on_accept):
        self._network.listeners[endpoint] = on_accept

    async def dial(self, endpoint):
        network = self._network
        await asyncio.sleep(network.delay.total_seconds())
        reachable = network.passes(self._endpoint, endpoint) and network.passes(
            endpoint, self._endpoint
        )
        on_accept = network.listeners.get(endpoint)
        if not reachable or on_accept is None:
            return None
        client_end = MemoryLink(network, self._endpoint, endpoint)
        server_end = MemoryLink(network, endpoint, self._endpoint)
        client_end.remote_end, server_end.remote_end = server_end, client_end
        on_accept(server_end)
        return client_end

    def close(self):
        self._network.listeners.pop(self._endpoint, None)
        for link in [link for link in self._network.links if link.local == self._endpoint]:
            link.close()
