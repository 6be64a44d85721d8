"""Program `cicadapond-controller`: controls its data centre while it holds the lease."""

import random

import attrs
import tornado.httpserver
from absl import logging

from cicadapond.admin import admin_application
from cicadapond.backend import engines
from cicadapond.controller._drains import PeerDrains
from cicadapond.controller._operator_drains import OperatorDrains
from cicadapond.controller._parts import ControlParts, ControlSettings
from cicadapond.controller._task import ControllerTask
from cicadapond.data import Endpoint
from cicadapond.document import DocumentSettings, DocumentStore, DocumentTask, StoreSource
from cicadapond.kernel import LoopClock, Metrics, TaskGroup, load_plugins
from cicadapond.kernel._program import run_program
from cicadapond.lease import LeaseSettings, LeaseTask
from cicadapond.peer import MemberState, PeerSettings, PeerTask, TcpTransport, owner
from cicadapond.platform import (
    AdapterSettings,
    BudgetedTables,
    BudgetSettings,
    PlatformSettings,
    StoreClass,
    cloud_apis,
    host_lists,
    table_services,
    weight_stores,
)

ROLE = "controller"


@attrs.frozen
class ControllerSettings:
    """What a controller process is told when it starts.

    Attributes:
      tables: The table service, which holds the lease and the document.
      peer: Where this process listens for the other processes of the system.
      seeds: Addresses of others, asked as long as none is known.
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
    """One running controller: membership, document, lease and control.

    Args:
      cfg: The controller's settings.
    """

    def __init__(self, cfg: ControllerSettings):
        load_plugins("cicadapond.plugins")
        self._cfg = cfg
        self._tasks = TaskGroup()
        self._rng = random.Random()
        self.metrics = Metrics()
        self.clock = LoopClock()
        settings = PeerSettings(cfg.name, cfg.zone, cfg.peer, role=ROLE, seeds=cfg.seeds)
        transport = TcpTransport(self.metrics)
        self.peers = PeerTask(settings, transport, self.clock, self.metrics, self._rng)
        tables = self._adapter(table_services, cfg.tables)
        self._storage = BudgetedTables(tables, cfg.budget, self.clock, self.metrics, self._rng)
        self.document = self._make_document()
        self.lease = self._make_lease()
        self.drains = PeerDrains(
            cfg.zone, self.peers, self.clock, lambda: self.document.intent.revision
        )
        self.document.subscribe(lambda intent: self.drains.tell())
        self.controller = ControllerTask(self._make_parts())
        self._admin = tornado.httpserver.HTTPServer(
            admin_application(self.metrics, self.state, lambda: self.document.ready)
        )

    async def start(self) -> None:
        """Listens for operators, and controls once the document is known."""
        cfg = self._cfg
        self._admin.listen(cfg.admin.port, cfg.admin.host)
        for task in (self.peers, self.document):
            self._tasks.start(task)
        await self.document.wait_ready()
        for task in (self.lease, self.controller):
            self._tasks.start(task)
        logging.info("controller %s: admin on %s", cfg.name, cfg.admin)

    async def stop(self) -> None:
        """Ends all tasks, then gives the lease back."""
        await self.peers.leave()
        await self._tasks.stop()
        await self.lease.release()
        self._storage.close()
        self._admin.stop()
        await self._admin.close_all_connections()

    def state(self) -> dict:
        """Returns the whole state of the process, for a dump."""
        return {
            "name": self._cfg.name,
            "zone": self._cfg.zone,
            "role": ROLE,
            "now": self.clock.now(),
            "document": self.document.state(),
            "lease": self.lease.state(),
            "controller": self.controller.state(),
            "storage": self._storage.state(),
            "membership": self.peers.state(),
            "failed_tasks": self._tasks.failed,
        }

    def _adapter(self, registry, settings):
        if settings is None:
            return None
        return registry.create(settings.adapter, settings, self._cfg.zone, self.clock, self.metrics)

    def _make_document(self):
        store = DocumentStore(self._storage.for_class(StoreClass.DOCUMENT))
        return DocumentTask(
            StoreSource(store),
            self.peers,
            self._cfg.document,
            self.clock,
            self.metrics,
            self._rng,
        )

    def _make_lease(self):
        return LeaseTask(
            self._cfg.lease,
            self._cfg.zone,
            self._cfg.name,
            self._storage.for_class(StoreClass.LEASE),
            self.clock,
            self.metrics,
            self._rng,
            self._is_candidate,
        )

    def _is_candidate(self):
        """Whether this process is the first choice among the live controllers of its zone."""
        names = [
            member.name
            for member in self.peers.members()
            if (member.zone, member.role) == (self._cfg.zone, ROLE)
            and member.state is MemberState.ALIVE
        ]
        return owner(self._cfg.zone, [self._cfg.name, *names]) == self._cfg.name

    def _make_parts(self):
        cfg = self._cfg
        return ControlParts(
            zone=cfg.zone,
            cfg=cfg.control,
            clock=self.clock,
            metrics=self.metrics,
            rng=self._rng,
            intent=lambda: self.document.intent,
            lease=self.lease,
            peers=self.peers,
            drains=self.drains,
            hosts=self._adapter(host_lists, cfg.platform.hosts),
            engine=lambda server: engines.create(
                cfg.engine_adapter, server, self.clock, self.metrics
            ),
            cloud=self._adapter(cloud_apis, cfg.platform.cloud),
            weights=self._adapter(weight_stores, cfg.platform.weights),
            operator_drains=OperatorDrains(self._storage.for_class(StoreClass.DOCUMENT)),
        )


async def serve(cfg: ControllerSettings, stop) -> None:
    """Runs a controller until `stop` is set."""
    process = ControllerProcess(cfg)
    await process.start()
    await stop.wait()
    await process.stop()


def run() -> None:
    """Runs the program."""
    run_program(ControllerSettings, serve)


if __name__ == "__main__":
    run()
