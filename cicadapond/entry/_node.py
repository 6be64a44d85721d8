"""One entry without its HTTP servers: fleet, document, core and the tasks that update them.

Components that need a socket are passed in as `ExternalServices`, so that the same node runs on the
virtual loop with in-memory implementations.
"""

import random
import typing

import attrs

from cicadapond.document import DocumentSettings, DocumentStore, DocumentTask, Intent, StoreSource
from cicadapond.entry._core import EntryCore
from cicadapond.entry._fleet import Fleet
from cicadapond.entry._fleet_tasks import (
    CloudNoticeWatcher,
    DigestTask,
    HostListWatcher,
    LoadWatcher,
)
from cicadapond.entry._parts import Parts
from cicadapond.kernel import Clock, Metrics, Task, TaskGroup
from cicadapond.peer import MemberState, NoPeers, Peers
from cicadapond.provider import BudgetedTables, CloudApi, HostList, ObjectStore, StoreClass
from cicadapond.quarantine import QuarantineTable


@attrs.define
class ExternalServices:
    """The external services that an entry uses.

    Attributes:
      hosts: The host list.
      peers: The other processes; if it is a `Task`, the node runs it.
      storage: The platform's table service with this process's budget, None without one.
      objects: The object store.
      cloud: The cloud API, for notices.
      connect: Creates a backend server's adapter; by default the adapter that the settings name.
    """

    hosts: HostList
    peers: Peers = attrs.field(factory=NoPeers)
    storage: BudgetedTables | None = None
    objects: ObjectStore | None = None
    cloud: CloudApi | None = None
    connect: typing.Callable | None = None


class EntryNode:
    """One entry's components and tasks.

    Args:
      cfg: The entry's settings.
      services: The external services.
      clock: Gives the time.
      metrics: Takes counts and durations.
      rng: The node's source of randomness.
      fixed_document: The document, for a deployment that does not keep it in the table service.
    """

    def __init__(
        self,
        cfg,
        services: ExternalServices,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        fixed_document: Intent | None = None,
    ):
        self.cfg = cfg
        self.clock = clock
        self.metrics = metrics
        self.services = services
        self.fixed_document = fixed_document
        self.tasks = TaskGroup()
        self.fleet = Fleet(cfg, clock, metrics, services.peers, services.connect)
        services.peers.set_wide_servers(self.fleet.is_in_other_zone)
        self.document = None if fixed_document is not None else self._make_document_task(rng)
        self.core = EntryCore(self._make_parts(rng))
        self._alive_peers: set[str] = set()
        if services.storage is not None:
            services.peers.subscribe(self._resize_budget)

    def intent(self) -> Intent:
        """Returns the document in force."""
        return self.fixed_document if self.document is None else self.document.intent

    async def start(self) -> None:
        """Starts the tasks; returns after the document is ready and the host list was read once."""
        if isinstance(self.services.peers, Task):
            self.tasks.start(self.services.peers)
        if self.document is not None:
            self.tasks.start(self.document)
            await self.document.wait_ready()
        watcher = HostListWatcher(
            self.fleet, self.services.hosts, self.cfg, self.clock, self.metrics
        )
        await watcher.read_once()
        self.tasks.start(watcher)
        for task in self._other_tasks():
            self.tasks.start(task)
        self.core.start()

    async def stop(self) -> None:
        """Stops gracefully and announces the departure; no request may be in flight any more."""
        await self.core.stop()
        await self.services.peers.leave()
        await self._close()

    async def kill(self) -> None:
        """Stops at once, as if the process had died."""
        await self.core.close()
        await self._close()

    def state(self) -> dict:
        """Returns the complete state, for a dump."""
        state = {"tasks": len(self.tasks), "failed_tasks": self.tasks.failed}
        if self.document is not None:
            state["document"] = self.document.state()
        if self.services.storage is not None:
            state["storage"] = self.services.storage.state()
        return state | self.core.state() | {"peers": self._peers_state()}

    async def _close(self):
        await self.tasks.stop()
        if self.services.storage is not None:
            self.services.storage.close()

    def _make_document_task(self, rng):
        tables = self.services.storage.for_class(StoreClass.DOCUMENT)
        return DocumentTask(
            StoreSource(DocumentStore(tables)),
            self.services.peers,
            DocumentSettings(),
            self.clock,
            self.metrics,
            rng,
        )

    def _make_parts(self, rng):
        storage = self.services.storage
        tables = storage.for_class if storage is not None else lambda store_class: None
        return Parts(
            cfg=self.cfg,
            clock=self.clock,
            metrics=self.metrics,
            rng=rng,
            intent=self.intent,
            fleet=self.fleet,
            peers=self.services.peers,
            ledger_tables=tables(StoreClass.AT_MOST_ONCE),
            journal_tables=tables(StoreClass.JOURNAL),
            statistics_tables=tables(StoreClass.STATISTICS),
            objects=self.services.objects,
        )

    def _other_tasks(self):
        parts = self.core.parts
        events = getattr(parts.router, "cache_events", lambda server, found: None)
        yield LoadWatcher(self.fleet, self.clock, self.metrics, events)
        yield DigestTask(
            self.fleet,
            self.services.peers,
            self.clock,
            lambda: self.intent().revision,
            parts.quarantine,
        )
        if parts.statistics_tables is not None:
            yield QuarantineTable(
                parts.quarantine, parts.statistics_tables, self.clock, self.metrics, parts.rng
            )
        if self.services.cloud is not None:
            cloud = self.services.cloud
            yield CloudNoticeWatcher(self.fleet, cloud, self.cfg, self.clock, self.metrics)

    def _resize_budget(self, member):
        alive = member.state is MemberState.ALIVE
        if alive == (member.name in self._alive_peers):
            return
        self._alive_peers ^= {member.name}
        self.services.storage.set_process_count(1 + len(self._alive_peers))

    def _peers_state(self):
        now = self.clock.monotonic()
        return {
            member.name: {
                "zone": member.zone,
                "role": member.role,
                "state": member.state,
                "incarnation": member.incarnation,
                "heard_ago": now - member.last_heard,
                "revision": member.digest.revision,
            }
            for member in self.services.peers.members()
        }
