"""How bytes reach other processes: the interface of transports, and one in memory for tests."""

import abc
import asyncio
import collections
import datetime
import random
import typing

from cicadapond.data import Endpoint

_ZERO = datetime.timedelta()


class Link(abc.ABC):
    """One connection; its owner sets both callbacks before it waits for anything.

    `received` is called with each message's bytes, `closed` once when the connection has ended
    for a reason other than `close`.
    """

    received: typing.Callable[[bytes], None] | None = None
    closed: typing.Callable[[], None] | None = None

    @abc.abstractmethod
    def send(self, bodies: typing.Sequence[bytes]) -> None:
        """Sends messages in order, without waiting; they may be lost with the connection."""

    @abc.abstractmethod
    def close(self) -> None:
        """Ends the connection; safe to call twice."""


class Transport(abc.ABC):
    """Makes and takes connections."""

    @abc.abstractmethod
    def listen(self, endpoint: Endpoint, accepted: typing.Callable[[Link], None]) -> None:
        """Takes connections at an address and gives each to `accepted`."""

    @abc.abstractmethod
    async def dial(self, endpoint: Endpoint) -> Link | None:
        """Connects to an address; None if that fails."""

    @abc.abstractmethod
    def close(self) -> None:
        """Takes no more connections and ends those that were taken."""


# In memory, for the virtual loop


class MemoryNetwork:
    """Connects memory transports, with faults on order.

    Args:
      rng: Decides on losses and delays.
      delay: How long a message takes.
      jitter: How much longer it may take; order within a connection is kept.
      loss: The share of messages that vanish.
      work: How long each receiver takes over a message, one after another.
    """

    def __init__(
        self,
        rng: random.Random,
        delay: datetime.timedelta = datetime.timedelta(milliseconds=1),
        jitter: datetime.timedelta = _ZERO,
        loss: float = 0.0,
        work: datetime.timedelta = _ZERO,
    ):
        self.rng = rng
        self.delay = delay
        self.jitter = jitter
        self.loss = loss
        self.work = work
        self._busy_until: dict[Endpoint, float] = {}
        self.links: dict[MemoryLink, None] = {}
        self.listeners: dict[Endpoint, typing.Callable] = {}
        self.messages = 0
        self.bytes = 0
        self._cut: typing.Callable[[Endpoint, Endpoint], bool] = lambda here, there: False

    def cut(self, separated: typing.Callable[[Endpoint, Endpoint], bool]) -> None:
        """Partitions the network: no message passes where `separated(from, to)` is true."""
        self._cut = separated

    def heal(self) -> None:
        """Ends all partitions; silent connections stay silent."""
        self._cut = lambda here, there: False

    def silence(self, here: Endpoint, there: Endpoint) -> int:
        """Makes the open connections from one address to another silent for good.

        Returns:
          How many there were.
        """
        found = [link for link in self.links if link.here == here and link.there == there]
        for link in found:
            link.silent = True
            link.other.silent = True
        return len(found)

    def work_done_at(self, receiver: Endpoint, now: float) -> float:
        """Queues a message's work at its receiver; returns when that is done."""
        begin = max(now, self._busy_until.get(receiver, now))
        self._busy_until[receiver] = begin + self.work.total_seconds()
        return self._busy_until[receiver]

    def passes(self, here: Endpoint, there: Endpoint) -> bool:
        """Returns whether messages pass from one address to another."""
        return not self._cut(here, there)


class MemoryLink(Link):
    """One end of a connection in memory."""

    def __init__(self, network: MemoryNetwork, here: Endpoint, there: Endpoint):
        self.here = here
        self.there = there
        self.other: MemoryLink | None = None
        self.silent = False
        self._network = network
        self._open = True
        self._free_at = 0.0
        self._queue = collections.deque()
        network.links[self] = None

    def send(self, bodies):
        if not self._open:
            return
        network = self._network
        loop = asyncio.get_running_loop()
        wait = network.delay + network.jitter * network.rng.random()
        self._free_at = max(self._free_at, loop.time() + wait.total_seconds())
        for body in bodies:
            network.messages += 1
            network.bytes += len(body)
            if not network.loss or network.rng.random() >= network.loss:
                self._queue.append(body)
                loop.call_at(self._free_at, self._deliver)

    def _deliver(self):
        body = self._queue.popleft()
        other = self.other
        if self.silent or not self._network.passes(self.here, self.there):
            return
        if not self._network.work:
            other._take(body)
            return
        loop = asyncio.get_running_loop()
        loop.call_at(self._network.work_done_at(self.there, loop.time()), other._take, body)

    def _take(self, body):
        if self._open and self.received is not None:
            self.received(body)

    def close(self):
        if not self._open:
            return
        self._open = False
        self._network.links.pop(self, None)
        delay = self._network.delay.total_seconds()
        asyncio.get_running_loop().call_later(delay, self._close_other)

    def _close_other(self):
        other = self.other
        if self.silent or not self._network.passes(self.here, self.there) or not other._open:
            return
        other._open = False
        self._network.links.pop(other, None)
        if other.closed is not None:
            other.closed()


class MemoryTransport(Transport):
    """One process's place on a memory network."""

    def __init__(self, network: MemoryNetwork, here: Endpoint):
        self._network = network
        self._here = here

    def listen(self, endpoint, accepted):
        self._network.listeners[endpoint] = accepted

    async def dial(self, endpoint):
        network = self._network
        await asyncio.sleep(network.delay.total_seconds())
        both = network.passes(self._here, endpoint) and network.passes(endpoint, self._here)
        accepted = network.listeners.get(endpoint)
        if not both or accepted is None:
            return None
        near = MemoryLink(network, self._here, endpoint)
        far = MemoryLink(network, endpoint, self._here)
        near.other, far.other = far, near
        accepted(far)
        return near

    def close(self):
        self._network.listeners.pop(self._here, None)
        for link in [link for link in self._network.links if link.here == self._here]:
            link.close()
