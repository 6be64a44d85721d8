"""A gateway node with stand-ins of the platform on loopback, for tests."""

import asyncio
import contextlib
import random
import sys

from cicadapond.eventlog import EventLog
from cicadapond.gateway._node import Node
from cicadapond.gateway._platform_adapters import platform_adapters
from cicadapond.gateway._time import TrueClock
from cicadapond.kernel import Metrics
from cicadapond.platform import read_settings
from cicadapond.platform.standin import Caller, Fleet, FleetSettings
from cicadapond.standin._ports import free_endpoint

READY_TIMEOUT_S = 10.0
POLL_S = 0.01


class Deployment:
    """A gateway node and the stand-ins around it.

    Args:
      fleet: The stand-ins.
      node: The node.
      port: The port on which it accepts callers.
    """

    def __init__(self, fleet: Fleet, node: Node, port: int):
        self.fleet = fleet
        self.node = node
        self.port = port

    def curl_headers(self) -> str:
        """Returns curl's arguments for a request for a stream."""
        return self.fleet.curl_headers()

    def caller(self) -> Caller:
        """Returns a new connection of a caller."""
        return Caller(self.port)

    def engine(self, name: str):
        """Returns the model of a backend server."""
        return self.fleet.servers[name].model

    def fail_next(self, *faults) -> None:
        """Makes the next requests fail, one per fault, at whichever servers receive them."""
        shared = list(faults)
        for server in self.fleet.servers.values():
            server.model.faults = shared

    def ran(self) -> list[str]:
        """Returns the ids of all requests that any server started."""
        return [each for server in self.fleet.servers.values() for each in server.model.ids()]

    async def until(self, holds, timeout_s=READY_TIMEOUT_S) -> None:
        """Waits until a condition holds."""
        async with asyncio.timeout(timeout_s):
            while not holds():
                await asyncio.sleep(POLL_S)


@contextlib.asynccontextmanager
async def deployment(tmp_path, cfg: FleetSettings | None = None):
    """Starts stand-ins and a node, ready for callers."""
    clock, metrics = TrueClock(), Metrics()
    fleet = Fleet(cfg or FleetSettings(), clock)
    await fleet.start()
    ports = {name: free_endpoint().port for name in ("frontend", "readiness", "peers")}
    path = tmp_path / "settings.conf"
    path.write_text(fleet.settings_text(ports))
    settings, findings = read_settings(str(path), metrics_port=0)
    assert not list(findings)
    log = EventLog("edge-1", sys.stdout.fileno(), clock, metrics)
    adapters = platform_adapters(settings, clock, metrics)
    node = Node(settings, adapters, clock, log, metrics, random.Random(1))
    await node.start()
    system = Deployment(fleet, node, ports["frontend"])
    try:
        await system.until(node.is_ready)
        yield system
    finally:
        await node.abort()
        await fleet.stop()
        log.flush()
