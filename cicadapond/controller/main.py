"""Program `cicadapond-controller`: controls its data centre while it holds the lease."""

import random

import attrs
from absl import logging

from cicadapond.admin import AdminServer, admin_application
from cicadapond.backend import engines
from cicadapond.controller._node import ROLE, ControllerNode, ControllerServices
from cicadapond.controller._parts import ControlSettings
from cicadapond.data import Endpoint
from cicadapond.document import DocumentSettings
from cicadapond.kernel import LoopClock, Metrics, load_plugins
from cicadapond.kernel._program import run_program, server_help
from cicadapond.lease import LeaseSettings
from cicadapond.peer import PeerSettings, PeerTask, TcpTransport
from cicadapond.provider import (
    AdapterSettings,
    BudgetedTables,
    BudgetSettings,
    PlatformSettings,
    cloud_apis,
    host_lists,
    table_services,
    weight_stores,
)

HELP = server_help(
    "cicadapond-controller",
    "Buys, loads, drains and releases hosts of its data centre while it holds the lease.",
)


@attrs.frozen
class ControllerSettings:
    """The settings of a controller process.

    Attributes:
      tables: The table service, which holds the lease and the document.
      peer: The address where this process listens for other processes of the system.
      seeds: Addresses of other processes, contacted while no other process is known.
    """

    name: str
    zone: str
    admin: Endpoint
    peer: Endpoint
    tables: AdapterSettings
    platform: PlatformSettings
    seeds: tuple[Endpoint, ...] = ()
    engine_adapter: str = "sse"
    budget: BudgetSettings = attrs.field(factory=BudgetSettings)
    lease: LeaseSettings = attrs.field(factory=LeaseSettings)
    control: ControlSettings = attrs.field(factory=ControlSettings)
    document: DocumentSettings = attrs.field(factory=DocumentSettings)


class ControllerProcess:
    """A running controller: its node and its admin server.

    Args:
      cfg: The controller's settings.
    """

    def __init__(self, cfg: ControllerSettings):
        load_plugins("cicadapond.plugins")
        self._cfg = cfg
        self.metrics = Metrics()
        self.clock = LoopClock()
        rng = random.Random()
        self.node = ControllerNode(
            cfg, self._make_external_services(rng), self.clock, self.metrics, rng
        )
        self._admin = AdminServer(
            admin_application(self.metrics, self.state, lambda: self.node.document.ready)
        )

    async def start(self) -> None:
        """Starts the admin server, then the node; returns once the document has been read."""
        cfg = self._cfg
        self._admin.listen(cfg.admin.port, cfg.admin.host)
        await self.node.start()
        logging.info("controller %s: admin on %s", cfg.name, cfg.admin)

    async def stop(self) -> None:
        """Stops the node, which releases the lease, then the admin server."""
        await self.node.stop()
        self._admin.stop()
        await self._admin.close_all_connections()

    def state(self) -> dict:
        """Returns the complete state of the process for a dump."""
        cfg = self._cfg
        head = {"name": cfg.name, "zone": cfg.zone, "role": ROLE, "now": self.clock.now()}
        return head | self.node.state()

    def _make_external_services(self, rng):
        cfg = self._cfg
        settings = PeerSettings(cfg.name, cfg.zone, cfg.peer, role=ROLE, seeds=cfg.seeds)
        transport = TcpTransport(self.metrics)
        tables = self._adapter(table_services, cfg.tables)
        return ControllerServices(
            hosts=self._adapter(host_lists, cfg.platform.hosts),
            peers=PeerTask(settings, transport, self.clock, self.metrics, rng),
            storage=BudgetedTables(tables, cfg.budget, self.clock, self.metrics, rng),
            engine=lambda server: engines.create(
                cfg.engine_adapter, server, self.clock, self.metrics
            ),
            cloud=self._adapter(cloud_apis, cfg.platform.cloud),
            weights=self._adapter(weight_stores, cfg.platform.weights),
        )

    def _adapter(self, registry, settings):
        if settings is None:
            return None
        return registry.create(settings.adapter, settings, self._cfg.zone, self.clock, self.metrics)


async def serve(cfg: ControllerSettings, stop) -> None:
    """Runs a controller until `stop` is set."""
    process = ControllerProcess(cfg)
    await process.start()
    await stop.wait()
    await process.stop()


def run() -> None:
    """Runs the program."""
    run_program(HELP, ControllerSettings, serve)


if __name__ == "__main__":
    run()
