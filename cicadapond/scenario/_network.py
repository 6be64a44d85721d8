"""The simulated network of a scenario: partitions, silent connections and paused processes.

Wrappers around the in-memory adapters show the shared stand-ins as one process reaches them: a call
crosses the network on the way out and its answer on the way back, and both wait while the process
is paused.
"""

import asyncio
import datetime

from cicadapond.backend import Accepted, Engine, EngineStream, NotSent, PlainService
from cicadapond.data import Broken, FailureKind
from cicadapond.kernel import AnswerLost, Clock, LoopClock, Unavailable, Unknown, VirtualClock
from cicadapond.provider import CloudApi, HostList, ObjectStore, TableService
from cicadapond.scenario._observation import Ordered, Record, Started

PLATFORM = "platform"
CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
ONE_WAY_LATENCY = datetime.timedelta(milliseconds=1)


class Network:
    """The partitions between data centres and the platform, and the silent connections."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._cuts: list[frozenset[str]] = []
        self._silenced: dict[tuple[str, str], datetime.timedelta] = {}

    def cut(self, one: str, other: str) -> None:
        """Adds a partition between two data centres, or a data centre and the platform."""
        self._cuts.append(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """Removes one partition."""
        self._cuts.remove(frozenset((one, other)))

    def reaches(self, one: str, other: str) -> bool:
        """Returns whether messages pass between two data centres, or one and the platform."""
        return one == other or frozenset((one, other)) not in self._cuts

    def silence(self, process: str, server: str) -> None:
        """Silences the connections now open between a process and a server, permanently."""
        self._silenced[process, server] = self._clock.monotonic()

    def is_silent(self, process: str, server: str, opened: datetime.timedelta) -> bool:
        """Returns whether a connection opened at a given time is silent."""
        since = self._silenced.get((process, server))
        return since is not None and opened <= since


class Node:
    """One process of the system: its data centre, and whether it is running, paused or dead."""

    def __init__(self, name: str, zone: str, network: Network):
        self.name = name
        self.zone = zone
        self.network = network
        self.dead = False
        self._running = asyncio.Event()
        self._running.set()

    def pause(self) -> None:
        """Suspends the process at its next wait."""
        self._running.clear()

    def resume(self) -> None:
        """Resumes the process."""
        self._running.set()

    @property
    def is_paused(self) -> bool:
        """Whether the process is paused."""
        return not self._running.is_set()

    async def wait_while_paused(self) -> None:
        """Waits while the process is paused; never returns for a dead process."""
        await self._running.wait()
        if self.dead:
            await asyncio.Event().wait()

    async def send_to(self, destination: str) -> bool:
        """Sends a message to a data centre or the platform.

        Returns:
          Whether the message arrived; if not, CONNECT_TIMEOUT has passed.
        """
        await self.wait_while_paused()
        if self.network.reaches(self.zone, destination):
            await asyncio.sleep(ONE_WAY_LATENCY.total_seconds())
            return True
        await asyncio.sleep(CONNECT_TIMEOUT.total_seconds())
        await self.wait_while_paused()
        return False

    async def receive_from(self, source: str) -> bool:
        """Waits for an answer from a data centre or the platform; returns whether it arrived."""
        arrived = self.network.reaches(self.zone, source)
        if not arrived:
            await asyncio.sleep(CONNECT_TIMEOUT.total_seconds())
        await self.wait_while_paused()
        return arrived


class NodeClock(VirtualClock):
    """Virtual time as one process sees it: no sleep returns while the process is paused."""

    def __init__(self, node: Node):
        super().__init__()
        self._node = node

    async def sleep(self, duration):
        await LoopClock.sleep(self, duration)
        await self._node.wait_while_paused()


# Engines


class NodeEngine(Engine):
    """An engine as one process reaches it, through the simulated network."""

    def __init__(self, inner: Engine, node: Node, record: Record):
        self.server = inner.server
        self._inner = inner
        self._node = node
        self._record = record

    def generate(self, call):
        return _NodeStream(self._inner, self._node, call, self._record)

    async def export_kv(self, stream_id, target, timeout):
        return await self._query(lambda: self._inner.export_kv(stream_id, target, timeout))

    async def load_report(self):
        return await self._query(self._inner.load_report)

    async def cache_events(self, after):
        return await self._query(lambda: self._inner.cache_events(after))

    async def state(self):
        return await self._query(self._inner.state)

    async def order(self, order):
        if not await self._node.send_to(self.server.zone):
            return Unavailable("no connection")
        outcome = await self._inner.order(order)
        if isinstance(outcome, Accepted):
            now = datetime.timedelta(seconds=asyncio.get_running_loop().time())
            name, kind = self._node.name, order.kind.value
            self._record.add(Ordered(now, self.server.name, name, order.fencing, kind))
        if not await self._node.receive_from(self.server.zone):
            return AnswerLost("the connection was cut")
        return outcome

    async def _query(self, request):
        if not await self._node.send_to(self.server.zone):
            return Unavailable("no connection")
        outcome = await request()
        if not await self._node.receive_from(self.server.zone):
            return Unavailable("the connection was cut")
        return outcome


class _NodeStream(EngineStream):
    def __init__(self, engine: Engine, node: Node, call, record):
        self._engine = engine
        self._node = node
        self._call = call
        self._record = record
        self._opened = asyncio.get_running_loop().time()
        self._inner: EngineStream | None = None
        self._closed = False

    async def read(self):
        if self._inner is None and not await self._connect():
            return (Broken(self._call.epoch, FailureKind.UNREACHABLE, "no connection"),)
        events = await self._inner.read()
        await self._wait_for_delivery()
        return events

    async def _connect(self):
        server = self._engine.server
        if not await self._node.send_to(server.zone):
            return False
        now = datetime.timedelta(seconds=asyncio.get_running_loop().time())
        request = self._call.stream_id
        self._record.add(Started(now, server.name, request, self._node.name))
        self._inner = self._engine.generate(self._call)
        if self._closed:
            self._inner.close()
        return True

    async def _wait_for_delivery(self):
        network, server = self._node.network, self._engine.server
        opened = datetime.timedelta(seconds=self._opened)
        if network.is_silent(self._node.name, server.name, opened):
            await asyncio.Event().wait()
        while not network.reaches(self._node.zone, server.zone):
            await asyncio.sleep(CONNECT_TIMEOUT.total_seconds())
        await self._node.wait_while_paused()

    def pause(self):
        if self._inner is not None:
            self._inner.pause()

    def resume(self):
        if self._inner is not None:
            self._inner.resume()

    def close(self):
        self._closed = True
        if self._inner is not None:
            self._inner.close()


# Plain services


class NodeService(PlainService):
    """A plain service's backend server as one process reaches it."""

    def __init__(self, inner: PlainService, node: Node, record: Record):
        self.server = inner.server
        self._inner = inner
        self._node = node
        self._record = record
        self._pooled_since = asyncio.get_running_loop().time()

    async def call(self, call, timeout, new_connection):
        try:
            return await asyncio.wait_for(
                self._exchange(call, timeout, new_connection), _seconds(timeout)
            )
        except TimeoutError:
            return Unknown(f"no answer within {timeout}")

    async def _exchange(self, call, timeout, fresh):
        if not await self._node.send_to(self.server.zone):
            return NotSent("no connection")
        loop = asyncio.get_running_loop()
        now = datetime.timedelta(seconds=loop.time())
        opened = now if fresh else datetime.timedelta(seconds=self._pooled_since)
        if self._node.network.is_silent(self._node.name, self.server.name, opened):
            self._pooled_since = loop.time() + _seconds(timeout)
            await asyncio.Event().wait()
        self._record.add(Started(now, self.server.name, call.request_id, self._node.name))
        outcome = await asyncio.shield(
            asyncio.ensure_future(self._inner.call(call, timeout, fresh))
        )
        if not await self._node.receive_from(self.server.zone):
            return Unknown("the connection was cut")
        return outcome

    async def load_report(self):
        if not await self._node.send_to(self.server.zone):
            return Unavailable("no connection")
        outcome = await self._inner.load_report()
        await self._node.receive_from(self.server.zone)
        return outcome


# The platform


class _NodePlatform:
    """Wraps the calls to a stand-in of the platform in a crossing of the network and back."""

    def __init__(self, inner, node: Node):
        self._inner = inner
        self._node = node

    async def _read(self, request):
        return await self._exchange(request, Unavailable("the answer was cut off"))

    async def _write(self, request):
        return await self._exchange(request, AnswerLost("the answer was cut off"))

    async def _exchange(self, request, cut_outcome):
        if not await self._node.send_to(PLATFORM):
            return Unavailable("the platform cannot be reached")
        outcome = await asyncio.shield(asyncio.ensure_future(request()))
        if not await self._node.receive_from(PLATFORM):
            return cut_outcome
        return outcome


class NodeTables(_NodePlatform, TableService):
    """The table service as one process reaches it."""

    async def transact(self, writes):
        return await self._write(lambda: self._inner.transact(writes))

    async def read(self, keys):
        return await self._read(lambda: self._inner.read(keys))

    async def scan(self, table, prefix="", after="", limit=1000):
        return await self._read(lambda: self._inner.scan(table, prefix, after, limit))


class NodeObjects(_NodePlatform, ObjectStore):
    """The object store as one process reaches it."""

    async def put(self, name, body):
        return await self._write(lambda: self._inner.put(name, body))

    async def get(self, name):
        return await self._read(lambda: self._inner.get(name))

    async def delete(self, name):
        return await self._write(lambda: self._inner.delete(name))


class NodeHostList(_NodePlatform, HostList):
    """The host list as one process reaches it."""

    async def list(self):
        return await self._read(self._inner.list)


class NodeCloud(_NodePlatform, CloudApi):
    """The cloud API as one process reaches it."""

    async def buy(self, request):
        return await self._write(lambda: self._inner.buy(request))

    async def release(self, host_id):
        return await self._write(lambda: self._inner.release(host_id))

    async def hosts(self, zone):
        return await self._read(lambda: self._inner.hosts(zone))

    async def prices(self):
        return await self._read(self._inner.prices)

    async def notices(self, zone):
        return await self._read(lambda: self._inner.notices(zone))


def _seconds(duration):
    return duration.total_seconds()
