"""The whole system of a scenario in one process, on virtual time.

Real entries (`EntryNode`) run over in-memory edges: the same decisions, tasks and messages as in
production, with nothing replaced but sockets.
"""

import abc
import asyncio
import datetime
import json
import random

from cicadapond.admission import CapacitySettings
from cicadapond.controller._node import ROLE, ControlEdges, ControllerNode
from cicadapond.controller.main import ControllerSettings
from cicadapond.data import Endpoint
from cicadapond.document import (
    DocumentEditor,
    DocumentStore,
    Edit,
    hash_key,
)
from cicadapond.entry import EntrySettings
from cicadapond.entry._node import Edges, EntryNode
from cicadapond.kernel import Findings, Metrics, Ok, VirtualClock, parse_jsonc
from cicadapond.peer import MemoryNetwork, MemoryTransport, PeerSettings, PeerTask
from cicadapond.provider import AdapterSettings, BudgetedTables, BudgetSettings, PlatformSettings
from cicadapond.scenario._backends import (
    ENGINE_SLOTS,
    FIRST_VERSION,
    MACHINE_CLASS,
    MODEL,
    POOL,
    SERVICE,
    Backends,
)
from cicadapond.scenario._callers import Balancer, Callers
from cicadapond.scenario._network import (
    Network,
    Node,
    NodeClock,
    NodeCloud,
    NodeHostList,
    NodeObjects,
    NodeTables,
)
from cicadapond.scenario._observation import (
    Began,
    Edited,
    Ended,
    Fault,
    FinalDocument,
    InForce,
    Record,
    Stopping,
)
from cicadapond.scenario._script import Script
from cicadapond.standin import DirectHostList, DirectObjects, DirectTables, ObjectModel, TableModel

PEER_HOST = "10.1.0.1"
SEEDS = 3
EDITOR_KEY = "operator-key"
EDIT_LIMIT = datetime.timedelta(seconds=60)
BALANCER_DELAY = datetime.timedelta(seconds=2)
STOP_POLL = datetime.timedelta(milliseconds=100)


class SystemProcess(abc.ABC):
    """One process of the system through all of its lives."""

    def __init__(self, name: str, zone: str, endpoint: Endpoint, world: "World"):
        self.name = name
        self.zone = zone
        self.endpoint = endpoint
        self.life = 0
        self.gone = asyncio.Event()
        self.node: Node | None = None
        self._world = world
        self._system = None

    @abc.abstractmethod
    def build(self):
        """Returns a new node of the program over in-memory edges."""

    async def start(self) -> None:
        """Starts a new life; returns once the process is ready."""
        self.life += 1
        self.gone = asyncio.Event()
        self.node = Node(self.name, self.zone, self._world.network)
        self._system = self.build()
        self._system.document.subscribe(self._note_revision)
        await self._system.start()
        self._world.record.add(Began(self._world.clock.monotonic(), self.name, self.life))

    async def kill(self) -> None:
        """Ends the process at once; nothing that it still does reaches anybody."""
        self.node.dead = True
        self._note_end()
        self.gone.set()
        self._world.leftovers.append(asyncio.ensure_future(self._system.kill()))

    async def stop(self) -> None:
        """Stops as planned."""
        await self._system.stop()
        self._note_end()
        self.gone.set()

    def pause(self) -> None:
        """Pauses the process where it is."""
        self._note_end()
        self.node.pause()

    async def end(self) -> None:
        """Ends what still runs when the scenario is over."""
        self.node.resume()
        if not self.gone.is_set():
            await self._system.kill()

    def failed_tasks(self) -> list[str]:
        """Returns the tasks of this life that ended in an exception."""
        return self._system.tasks.failed

    def _note_end(self):
        self._world.record.add(Ended(self._world.clock.monotonic(), self.name, self.life))

    def _note_revision(self, intent):
        now = self._world.clock.monotonic()
        self._world.record.add(InForce(now, self.name, self.life, intent.revision))


class EntryProcess(SystemProcess):
    """An entry, which callers reach while it is ready."""

    def __init__(self, name: str, zone: str, endpoint: Endpoint, world: "World"):
        super().__init__(name, zone, endpoint, world)
        self.ready = False
        self.open_requests: set[str] = set()

    @property
    def entry(self) -> EntryNode:
        """The node of this life."""
        return self._system

    @property
    def core(self):
        """The entry's core, which callers reach."""
        return self._system.core

    def build(self):
        return self._world.build_entry(self)

    async def start(self):
        await super().start()
        self.ready = True

    async def kill(self):
        self.ready = False
        await super().kill()

    async def stop(self):
        """Stops as planned: not ready, wait for the balancer, finish what is open."""
        clock = self._world.clock
        self.ready = False
        stopping = Stopping(clock.monotonic(), self.name, tuple(sorted(self.open_requests)))
        self._world.record.add(stopping)
        await clock.sleep(BALANCER_DELAY)
        while self.open_requests:
            await clock.sleep(STOP_POLL)
        await super().stop()


class ControllerProcess(SystemProcess):
    """A controller."""

    def build(self):
        return self._world.build_controller(self)


class ReadyEntries(Balancer):
    """Chooses among the entries that say that they are ready."""

    def __init__(self, world: "World", rng: random.Random):
        self._world = world
        self._rng = rng

    def choose(self, zone):
        ready = [
            process
            for process in self._world.entries.values()
            if process.ready and zone in ("", process.zone)
        ]
        return self._rng.choice(ready) if ready else None


class World:
    """Everything of one scenario.

    Args:
      script: The scenario.
      seed: Seeds all randomness.
    """

    def __init__(self, script: Script, seed: int):
        self.script = script
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.record = Record()
        self.network = Network(self.clock)
        self.peer_network = MemoryNetwork(self._random())
        self.peer_network.cut(self._peers_separated)
        self.tables = TableModel(self.clock, self._random())
        self.objects = ObjectModel(self.clock, self._random())
        self.backends = Backends(script, self.clock, self._random(), self.record)
        self.entries: dict[str, EntryProcess] = {}
        self.controllers: dict[str, ControllerProcess] = {}
        self.leftovers: list[asyncio.Task] = []
        accounts = [account.name for account in script.accounts] or ["account"]
        balancer = ReadyEntries(self, self._random())
        self.callers = Callers(balancer, self.clock, self._random(), self.record, accounts)
        self._edit_number = 0

    # Setting up and ending

    async def start(self) -> None:
        """Writes the document, starts the backend servers, then the system's processes."""
        await self._write_document()
        await self.backends.start()
        for zone in self.script.zones:
            for number in range(zone.entries):
                self._add(self.entries, EntryProcess, f"entry-{zone.name}-{number}", zone)
            for number in range(zone.controllers):
                name = f"controller-{zone.name}-{number}"
                self._add(self.controllers, ControllerProcess, name, zone)
        await asyncio.gather(*(process.start() for process in self.processes.values()))

    def _add(self, group, cls, name, zone):
        endpoint = Endpoint(PEER_HOST, 1 + len(self.processes))
        group[name] = cls(name, zone.name, endpoint, self)

    async def close(self) -> None:
        """Ends everything."""
        for process in self.processes.values():
            await process.end()
        for ending in self.leftovers:
            ending.cancel()
        for task in list(self.callers.pending):
            task.cancel()
        await self.backends.close()

    # Processes

    @property
    def processes(self) -> dict[str, SystemProcess]:
        """All processes of the system by name."""
        return {**self.entries, **self.controllers}

    def process(self, name: str) -> SystemProcess:
        """Returns a process by name.

        Raises:
          LookupError: If there is none; the message lists those that exist.
        """
        if name not in self.processes:
            raise LookupError(f"no process {name!r}; there are {', '.join(self.processes)}")
        return self.processes[name]

    async def kill(self, name: str) -> None:
        """Kills a process."""
        await self.process(name).kill()

    async def start_process(self, name: str) -> None:
        """Starts a process that was killed or stopped."""
        process = self.process(name)
        await process.gone.wait()
        await process.start()

    def stop_planned(self, name: str) -> None:
        """Begins a planned stop of a process."""
        self.leftovers.append(asyncio.ensure_future(self.process(name).stop()))

    def build_entry(self, process: EntryProcess) -> EntryNode:
        """Returns a new entry for a process, over in-memory edges."""
        node, clock, metrics, rng = process.node, NodeClock(process.node), Metrics(), self._random()
        edges = Edges(
            hosts=NodeHostList(DirectHostList(self.backends.host_list), node),
            peers=self._peers(process, "entry", clock, metrics),
            storage=self._storage(node, clock, metrics, rng),
            objects=NodeObjects(DirectObjects(self.objects), node),
            cloud=NodeCloud(self.backends.cloud, node),
            connect=lambda server: self.backends.adapter(server, node),
        )
        cfg = self._entry_settings(process, process.endpoint)
        return EntryNode(cfg, edges, clock, metrics, rng)

    def build_controller(self, process: ControllerProcess) -> ControllerNode:
        """Returns a new controller for a process, over in-memory edges."""
        node, clock, metrics, rng = process.node, NodeClock(process.node), Metrics(), self._random()
        edges = ControlEdges(
            hosts=NodeHostList(DirectHostList(self.backends.host_list), node),
            peers=self._peers(process, ROLE, clock, metrics),
            storage=self._storage(node, clock, metrics, rng),
            engine=lambda server: self.backends.adapter(server, node),
            cloud=NodeCloud(self.backends.cloud, node),
        )
        memory = AdapterSettings("memory")
        cfg = ControllerSettings(
            name=process.name,
            zone=process.zone,
            admin=process.endpoint,
            peer=process.endpoint,
            tables=memory,
            platform=PlatformSettings(hosts=memory),
        )
        return ControllerNode(cfg, edges, clock, metrics, rng)

    def _peers(self, process, role, clock, metrics):
        seeds = tuple(found.endpoint for found in self.entries.values())[:SEEDS]
        cfg = PeerSettings(process.name, process.zone, process.endpoint, role=role, seeds=seeds)
        transport = MemoryTransport(self.peer_network, process.endpoint)
        return PeerTask(cfg, transport, clock, metrics, self._random())

    def _storage(self, node, clock, metrics, rng):
        tables = NodeTables(DirectTables(self.tables), node)
        return BudgetedTables(tables, BudgetSettings(), clock, metrics, rng)

    # The platform

    def storage_faults(self) -> list:
        """Returns the fault switches of the table service and the object store."""
        return [self.tables.faults, self.objects.faults]

    def _peers_separated(self, here, there):
        """Tells whether no message passes between two processes now."""
        ends = [found for found in self.processes.values() if found.endpoint in (here, there)]
        if any(found.node is None or found.node.dead or found.node.is_paused for found in ends):
            return True
        return not self.network.reaches(ends[0].zone, ends[-1].zone)

    # The document

    async def edit(self, section: str, name: str, field: str, value) -> None:
        """Changes one field of one object of a section, or of the section itself."""
        self._edit_number += 1
        mark = f"edit-{self._edit_number}"
        begun = self.clock.monotonic()
        store = DocumentStore(DirectTables(self.tables))
        read = await store.read()
        if not isinstance(read, Ok):
            self.record.add(Fault(self.clock.monotonic(), f"{mark} failed: {read.reason}"))
            return
        current = read.value.sections[section]
        text = _changed(current.text, name, field, value)
        edit = Edit(mark, EDITOR_KEY, {section: text}, {section: current.version})
        editor = DocumentEditor(store, self.clock, self._random())
        outcome = await editor.apply(edit, EDIT_LIMIT)
        now = self.clock.monotonic()
        if isinstance(outcome, Ok):
            path = ".".join(filter(None, (section, name, field)))
            self.record.add(Edited(now, begun, outcome.value, mark, path, value))
        else:
            self.record.add(Fault(now, f"{mark} failed: {outcome}"))

    async def read_document(self) -> None:
        """Records the document as the store has it."""
        read = await DocumentStore(DirectTables(self.tables)).read()
        values = {}
        for section, text in read.value.texts().items():
            for path, value in _leaves(section, _fields(text)):
                values[path] = value
        self.record.add(FinalDocument(self.clock.monotonic(), values))

    async def _write_document(self):
        texts = first_document(self.script)
        store = DocumentStore(DirectTables(self.tables))
        editor = DocumentEditor(store, self.clock, self._random())
        edit = Edit("first", EDITOR_KEY, texts, dict.fromkeys(texts, 0))
        outcome = await editor.apply(edit, EDIT_LIMIT)
        if not isinstance(outcome, Ok):
            raise ValueError(f"the scenario's first document was not accepted: {outcome}")

    # Settings

    def _entry_settings(self, process, endpoint):
        return EntrySettings(
            name=process.name,
            zone=process.zone,
            http=endpoint,
            admin=endpoint,
            platform=PlatformSettings(hosts=AdapterSettings("memory")),
            capacity=CapacitySettings(),
        )

    def _random(self):
        return random.Random(self.rng.random())


def first_document(script: Script) -> dict[str, str]:
    """Returns the sections of the document that a scenario begins with."""
    engines = sum(zone.engines for zone in script.zones)
    services = sum(zone.services for zone in script.zones)
    calls = [{"method": "POST", "path": "/orders", "idempotent": False}]
    sections = {
        "models": {MODEL: {"pool": POOL, "version": FIRST_VERSION, "replicas": engines}},
        "applications": {SERVICE: {"replicas": services, "timeout": "5s", "calls": calls}},
        "accounts": {account.name: {"share": account.share} for account in script.accounts},
        "cost": {
            "zones": [zone.name for zone in script.zones],
            "machine_classes": {MACHINE_CLASS: {"slots": ENGINE_SLOTS}},
        },
        "policies": {},
        "editors": {
            "operators": {
                "key_hashes": [hash_key(EDITOR_KEY)],
                "sections": ["models", "applications", "accounts", "cost", "policies", "editors"],
            }
        },
    }
    return {name: json.dumps(fields, indent=2) for name, fields in sections.items()}


def _changed(text, name, field, value):
    fields = _fields(text)
    target = fields if name is None else fields[name]
    target[field] = value if not isinstance(value, datetime.timedelta) else value.total_seconds()
    return json.dumps(fields, indent=2)


def _fields(text):
    return parse_jsonc(text, "section", Findings()).plain()


def _leaves(path, value):
    """Yields the dotted path and value of every field under a value."""
    if not isinstance(value, dict):
        yield path, value
        return
    for name, inner in value.items():
        yield from _leaves(f"{path}.{name}", inner)
