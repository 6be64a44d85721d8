"""Gateway nodes with stand-ins of the platform on loopback, for tests."""

import asyncio
import contextlib
import random
import sys
import time

import attrs

from cicadapond.eventlog import EventLog
from cicadapond.forwarding import HttpClient, ReplyLost
from cicadapond.gateway._node import Node
from cicadapond.gateway._platform_adapters import platform_adapters
from cicadapond.gateway._time import TrueClock
from cicadapond.gateway.settings import ResidencyUse
from cicadapond.kernel import Metrics
from cicadapond.peer.partition import Partition, PartitionedTransport
from cicadapond.platform import PlatformStore, read_settings
from cicadapond.platform.standin import Caller, EngineModel, Fleet, FleetSettings
from cicadapond.standin._ports import free_endpoint, free_port_range

MODEL_SERVICE = "pool"
READY_TIMEOUT_S = 10.0
# For the digests of the other processes, and for the requests that they pass on.
PEER_PORTS = 2
POLL_S = 0.01


class StoreLink(HttpClient):
    """The connections of one node to the store, which can be cut.

    Attributes:
      is_cut: Whether calls end without an answer, those in progress too.
      failures: How many calls did.
    """

    is_cut = False
    failures = 0

    async def call(self, *args, **kwargs):
        if not self.is_cut:
            reply = await super().call(*args, **kwargs)
        if self.is_cut:
            self.failures += 1
            return ReplyLost("the store is out of reach")
        return reply


class Deployment:
    """Gateway nodes and the stand-ins around them.

    Args:
      fleet: The stand-ins.
      nodes: The nodes.
      ports: The ports on which they accept callers.
      make_node: Makes a node by its number, again at the same ports after it has ended.
      partitions: What cuts each node off from the others.
      store_links: The connections of each node to the store.
    """

    def __init__(
        self,
        fleet: Fleet,
        nodes: list[Node],
        ports: list[int],
        make_node,
        partitions: list[Partition],
        store_links: list[StoreLink],
    ):
        self.fleet = fleet
        self.nodes = nodes
        self.node = nodes[0]
        self.port = ports[0]
        self._ports = ports
        self._make_node = make_node
        self.partitions = partitions
        self.store_links = store_links

    def curl_headers(self) -> str:
        """Returns curl's arguments for a request for a stream."""
        return self.fleet.curl_headers()

    def caller(self, node: int = 0) -> Caller:
        """Returns a new connection of a caller to a node."""
        return Caller(self._ports[node])

    def engine(self, name: str):
        """Returns the model of a backend server."""
        return self.fleet.servers[name].model

    def engines(self) -> list[EngineModel]:
        """Returns the models of all backend servers."""
        return [server.model for server in self.fleet.servers.values()]

    async def add_engine(self, name: str, version: str) -> None:
        """Starts an engine of a software version, and waits until all nodes list it."""
        await self.fleet.add_server(name, MODEL_SERVICE, version=version)
        await self.until(
            lambda: all(
                name in [entry.name for entry in node.parts.registry.usable(MODEL_SERVICE)]
                for node in self.nodes
            )
        )

    async def restart_engine(self, name: str, version: str) -> None:
        """Restarts an engine under its name with other software; its entry is not written yet."""
        server = self.fleet.servers[name]
        await server.stop()
        server.model.version, server.born = version, round(time.time() * 1000)
        await server.start(self.fleet.port(name))

    def fail_next(self, *faults) -> None:
        """Makes the next requests fail, one per fault, at whichever servers receive them."""
        shared = list(faults)
        for server in self.fleet.servers.values():
            server.model.faults = shared

    def ran(self) -> list[str]:
        """Returns the ids of all requests that any server started."""
        return [each for server in self.fleet.servers.values() for each in server.model.ids()]

    async def restart(self, number: int) -> None:
        """Ends a node, as a crash would, and starts it again."""
        await self.nodes[number].abort()
        self.nodes[number] = node = self._make_node(number)
        await node.start()
        self.node = self.nodes[0]
        await self.until(node.is_ready)

    def listed_versions(self) -> set[str]:
        """Returns the software versions of the servers that any node lists."""
        return {entry.version for node in self.nodes for entry in node.parts.registry.all()}

    async def restart_all(self) -> None:
        """Ends all nodes at once, as a crash would, and starts them again."""
        for node in self.nodes:
            await node.abort()
        self.nodes[:] = [self._make_node(number) for number in range(len(self.nodes))]
        for node in self.nodes:
            await node.start()
        self.node = self.nodes[0]
        await self.until(lambda: all(node.is_ready() for node in self.nodes))

    async def until_joined(self) -> None:
        """Waits until all nodes know each other as alive."""

        def live(node):
            return sum(zone["live"] for zone in node.state()["cluster"]["zones"].values())

        await self.until(lambda: all(live(node) == len(self.nodes) for node in self.nodes))

    async def until(self, holds, timeout_s=READY_TIMEOUT_S) -> None:
        """Waits until a condition holds."""
        async with asyncio.timeout(timeout_s):
            while not holds():
                await asyncio.sleep(POLL_S)


@contextlib.asynccontextmanager
async def deployment(tmp_path, cfg: FleetSettings | None = None, processes: int = 1):
    """Starts stand-ins and nodes, ready for callers."""
    clock = TrueClock()
    fleet = Fleet(cfg or FleetSettings(), clock)
    await fleet.start()
    logs, settings = [], [_settings(tmp_path, fleet, number) for number in range(processes)]

    partitions = [Partition() for _ in range(processes)]
    store_links = [StoreLink(each.store, clock, Metrics()) for each in settings]

    def make_node(number):
        node, log = _make_node(
            settings[number], random.Random(number), partitions[number], store_links[number]
        )
        logs.append(log)
        return node

    nodes = [make_node(number) for number in range(processes)]
    for node in nodes:
        await node.start()
    ports = [cfg.frontend.port for cfg in settings]
    system = Deployment(fleet, nodes, ports, make_node, partitions, store_links)
    try:
        await system.until(lambda: all(node.is_ready() for node in nodes))
        yield system
    finally:
        for node in nodes:
            await node.abort()
        await fleet.stop()
        for log in logs:
            log.flush()


def _settings(tmp_path, fleet, number):
    ports = {kind: free_endpoint().port for kind in ("frontend", "readiness")}
    ports["peers"] = free_port_range(PEER_PORTS)
    path = tmp_path / f"edge-{number + 1}.conf"
    path.write_text(fleet.settings_text(ports, f"edge-{number + 1}"))
    settings, findings = read_settings(str(path), metrics_port=0)
    assert not list(findings)
    use = ResidencyUse.ON if fleet.cfg.tells_parts else ResidencyUse.OFF
    return attrs.evolve(settings, residency=use)


def _make_node(settings, rng, partition, store_link):
    """Returns a node and its log."""
    clock, metrics = TrueClock(), Metrics()
    log = EventLog(settings.name, sys.stdout.fileno(), clock, metrics)
    store = PlatformStore(store_link, log, metrics)
    adapters = attrs.evolve(
        platform_adapters(settings, clock, log, metrics),
        tables=store,
        feed=store,
        make_transport=lambda metrics: PartitionedTransport(metrics, partition),
    )
    return Node(settings, adapters, clock, log, metrics, rng), log
