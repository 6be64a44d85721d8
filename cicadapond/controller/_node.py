"""A controller without its HTTP server: membership, document, lease and control loop.

Whatever needs a socket is passed in with `ControllerServices`, so that the same node also runs on
the virtual event loop with in-memory dependencies.
"""

import random
import typing

import attrs

from cicadapond.backend import Engine
from cicadapond.controller._drains import PeerDrains
from cicadapond.controller._operator_drains import OperatorDrains
from cicadapond.controller._parts import ControlParts
from cicadapond.controller._task import ControllerTask
from cicadapond.data import BackendServer
from cicadapond.document import DocumentStore, DocumentTask, StoreSource
from cicadapond.kernel import Clock, Metrics, TaskGroup
from cicadapond.lease import LeaseTask
from cicadapond.peer import MemberState, PeerTask, owner
from cicadapond.provider import BudgetedTables, CloudApi, HostList, StoreClass, WeightStore

ROLE = "controller"


@attrs.define
class ControllerServices:
    """The external services that a controller uses.

    Attributes:
      hosts: The host list.
      peers: The other processes.
      storage: The platform's table service, limited by this process's budget.
      engine: Creates an engine's adapter.
      cloud: The cloud API, None if hosts are not bought.
      weights: The weight store, None if its rate is unknown.
    """

    hosts: HostList
    peers: PeerTask
    storage: BudgetedTables
    engine: typing.Callable[[BackendServer], Engine]
    cloud: CloudApi | None = None
    weights: WeightStore | None = None


class ControllerNode:
    """The components and tasks of one controller.

    Args:
      cfg: The controller's settings.
      services: The external services that it uses.
      clock: Gives the time.
      metrics: Receives counts and durations.
      rng: The only source of randomness of the node.
    """

    def __init__(
        self, cfg, services: ControllerServices, clock: Clock, metrics: Metrics, rng: random.Random
    ):
        self.cfg = cfg
        self.services = services
        self.clock = clock
        self.metrics = metrics
        self.tasks = TaskGroup()
        self._rng = rng
        self.document = self._make_document()
        self.lease = self._make_lease()
        self.drains = PeerDrains(
            cfg.zone, services.peers, clock, lambda: self.document.intent.revision
        )
        self.document.subscribe(lambda intent: self.drains.publish())
        self.controller = ControllerTask(self._make_parts())

    async def start(self) -> None:
        """Starts the tasks; the lease and control tasks start once the document has been read."""
        for task in (self.services.peers, self.document):
            self.tasks.start(task)
        await self.document.wait_ready()
        for task in (self.lease, self.controller):
            self.tasks.start(task)

    async def stop(self) -> None:
        """Ends all tasks, then releases the lease."""
        await self.services.peers.leave()
        await self.tasks.stop()
        await self.lease.release()
        self.services.storage.close()

    async def kill(self) -> None:
        """Ends the tasks without announcing it or releasing the lease, as in a crash."""
        await self.tasks.stop()
        self.services.storage.close()

    def state(self) -> dict:
        """Returns the complete state for a dump."""
        return {
            "document": self.document.state(),
            "lease": self.lease.state(),
            "controller": self.controller.state(),
            "storage": self.services.storage.state(),
            "membership": self.services.peers.state(),
            "failed_tasks": self.tasks.failed,
        }

    def _make_document(self):
        store = DocumentStore(self.services.storage.for_class(StoreClass.DOCUMENT))
        return DocumentTask(
            StoreSource(store),
            self.services.peers,
            self.cfg.document,
            self.clock,
            self.metrics,
            self._rng,
        )

    def _make_lease(self):
        return LeaseTask(
            self.cfg.lease,
            self.cfg.zone,
            self.cfg.name,
            self.services.storage.for_class(StoreClass.LEASE),
            self.clock,
            self.metrics,
            self._rng,
            self._lease_poll_interval,
        )

    def _lease_poll_interval(self):
        """Returns the shorter interval in the preferred one of the zone's live controllers."""
        names = [
            member.name
            for member in self.services.peers.members()
            if (member.zone, member.role) == (self.cfg.zone, ROLE)
            and member.state is MemberState.ALIVE
        ]
        is_preferred = owner(self.cfg.zone, [self.cfg.name, *names]) == self.cfg.name
        return self.cfg.lease.renewal if is_preferred else self.cfg.lease.idle_poll

    def _make_parts(self):
        services = self.services
        return ControlParts(
            zone=self.cfg.zone,
            cfg=self.cfg.control,
            clock=self.clock,
            metrics=self.metrics,
            rng=self._rng,
            intent=lambda: self.document.intent,
            lease=self.lease,
            peers=services.peers,
            drains=self.drains,
            hosts=services.hosts,
            engine=services.engine,
            cloud=services.cloud,
            weights=services.weights,
            operator_drains=OperatorDrains(services.storage.for_class(StoreClass.DOCUMENT)),
        )
