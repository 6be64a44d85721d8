"""The whole system of a scenario in one process, on virtual time.

Real entries (`EntryNode`) and controllers run over in-memory services: the same decisions, tasks
and messages as in production, with only the sockets replaced.
"""

import abc
import asyncio
import datetime
import json
import random

from cicadapond.admission import CapacitySettings
from cicadapond.controller._node import ROLE, ControllerNode, ControllerServices
from cicadapond.controller.main import ControllerSettings
from cicadapond.data import Endpoint
from cicadapond.document import (
    DocumentEditor,
    DocumentStore,
    Edit,
    hash_key,
)
from cicadapond.entry import EntrySettings
from cicadapond.entry._node import EntryNode, ExternalServices
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
SEED_COUNT = 3
EDITOR_KEY = "operator-key"
EDIT_TIMEOUT = datetime.timedelta(seconds=60)
BALANCER_DELAY = datetime.timedelta(seconds=2)
STOP_POLL_INTERVAL = datetime.timedelta(milliseconds=100)


class SystemProcess(abc.ABC):
    """One process of the system across its restarts; `life` counts its starts."""

    def __init__(self, name: str, zone: str, endpoint: Endpoint, world: "World"):
        self.name = name
        self.zone = zone
        self.endpoint = endpoint
        self.life = 0
        self.ended = asyncio.Event()
        self.node: Node | None = None
        self._world = world
        self._program = None

    @abc.abstractmethod
    def build(self):
        """Returns a new instance of the process's program over in-memory services."""

    async def start(self) -> None:
        """Starts the process; returns once it is ready."""
        self.life += 1
        self.ended = asyncio.Event()
        self.node = Node(self.name, self.zone, self._world.network)
        self._program = self.build()
        self._program.document.subscribe(self._record_revision)
        await self._program.start()
        self._world.record.add(Began(self._world.clock.monotonic(), self.name, self.life))

    async def kill(self) -> None:
        """Ends the process at once; nothing that it sends after this is delivered."""
        self.node.dead = True
        self._record_end()
        self.ended.set()
        self._world.background_tasks.append(asyncio.ensure_future(self._program.kill()))

    async def stop(self) -> None:
        """Stops the process as planned."""
        await self._program.stop()
        self._record_end()
        self.ended.set()

    def pause(self) -> None:
        """Pauses the process."""
        self._record_end()
        self.node.pause()

    async def close(self) -> None:
        """Ends the process, if it is still running, at the end of the scenario."""
        self.node.resume()
        if not self.ended.is_set():
            await self._program.kill()

    def failed_tasks(self) -> list[str]:
        """Returns the tasks that ended in an exception since the last start."""
        return self._program.tasks.failed

    def _record_end(self):
        self._world.record.add(Ended(self._world.clock.monotonic(), self.name, self.life))

    def _record_revision(self, intent):
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
        """The running entry; each start creates a new one."""
        return self._program

    @property
    def core(self):
        """The entry's core, which callers reach."""
        return self._program.core

    def build(self):
        return self._world.build_entry(self)

    async def start(self):
        await super().start()
        self.ready = True

    async def kill(self):
        self.ready = False
        await super().kill()

    async def stop(self):
        """Stops as planned: reports not ready, waits for the balancer, finishes open requests."""
        clock = self._world.clock
        self.ready = False
        stopping = Stopping(clock.monotonic(), self.name, tuple(sorted(self.open_requests)))
        self._world.record.add(stopping)
        await clock.sleep(BALANCER_DELAY)
        while self.open_requests:
            await clock.sleep(STOP_POLL_INTERVAL)
        await super().stop()


class ControllerProcess(SystemProcess):
    """A controller."""

    def build(self):
        return self._world.build_controller(self)


class ReadyEntries(Balancer):
    """Chooses at random among the entries that report that they are ready."""

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
    """The simulated system of one scenario, with its callers and stand-ins.

    Args:
      script: The scenario.
      seed: The seed of all random decisions.
    """

    def __init__(self, script: Script, seed: int):
        self.script = script
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.record = Record()
        self.network = Network(self.clock)
        self.peer_network = MemoryNetwork(self._new_rng())
        self.peer_network.cut(self._peers_separated)
        self.tables = TableModel(self.clock, self._new_rng())
        self.objects = ObjectModel(self.clock, self._new_rng())
        self.backends = Backends(script, self.clock, self._new_rng(), self.record)
        self.entries: dict[str, EntryProcess] = {}
        self.controllers: dict[str, ControllerProcess] = {}
        self.background_tasks: list[asyncio.Task] = []
        accounts = [account.name for account in script.accounts] or ["account"]
        balancer = ReadyEntries(self, self._new_rng())
        self.callers = Callers(balancer, self.clock, self._new_rng(), self.record, accounts)
        self._edit_number = 0

    # Start and end

    async def start(self) -> None:
        """Writes the initial document, then starts the backend servers and the processes."""
        await self._write_initial_document()
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
        """Ends all processes, tasks and stand-ins."""
        for process in self.processes.values():
            await process.close()
        for background_task in self.background_tasks:
            background_task.cancel()
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
          LookupError: If there is none; the message lists the existing names.
        """
        if name not in self.processes:
            raise LookupError(f"unknown process {name!r}; known: {', '.join(self.processes)}")
        return self.processes[name]

    async def kill(self, name: str) -> None:
        """Kills a process."""
        await self.process(name).kill()

    async def start_process(self, name: str) -> None:
        """Starts a process that was killed or stopped, once it has ended."""
        process = self.process(name)
        await process.ended.wait()
        await process.start()

    def stop_planned(self, name: str) -> None:
        """Starts a planned stop of a process."""
        self.background_tasks.append(asyncio.ensure_future(self.process(name).stop()))

    def build_entry(self, process: EntryProcess) -> EntryNode:
        """Returns a new entry for a process, over in-memory services."""
        node, clock, metrics, rng = (
            process.node,
            NodeClock(process.node),
            Metrics(),
            self._new_rng(),
        )
        services = ExternalServices(
            hosts=NodeHostList(DirectHostList(self.backends.host_list), node),
            peers=self._peers(process, "entry", clock, metrics),
            storage=self._storage(node, clock, metrics, rng),
            objects=NodeObjects(DirectObjects(self.objects), node),
            cloud=NodeCloud(self.backends.cloud, node),
            connect=lambda server: self.backends.adapter(server, node),
        )
        cfg = self._entry_settings(process, process.endpoint)
        return EntryNode(cfg, services, clock, metrics, rng)

    def build_controller(self, process: ControllerProcess) -> ControllerNode:
        """Returns a new controller for a process, over in-memory services."""
        node, clock, metrics, rng = (
            process.node,
            NodeClock(process.node),
            Metrics(),
            self._new_rng(),
        )
        services = ControllerServices(
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
        return ControllerNode(cfg, services, clock, metrics, rng)

    def _peers(self, process, role, clock, metrics):
        seeds = tuple(entry.endpoint for entry in self.entries.values())[:SEED_COUNT]
        cfg = PeerSettings(process.name, process.zone, process.endpoint, role=role, seeds=seeds)
        transport = MemoryTransport(self.peer_network, process.endpoint)
        return PeerTask(cfg, transport, clock, metrics, self._new_rng())

    def _storage(self, node, clock, metrics, rng):
        tables = NodeTables(DirectTables(self.tables), node)
        return BudgetedTables(tables, BudgetSettings(), clock, metrics, rng)

    # The platform

    def storage_faults(self) -> list:
        """Returns the fault switches of the table service and the object store."""
        return [self.tables.faults, self.objects.faults]

    def _peers_separated(self, one, other):
        """Returns whether no peer message passes between two processes now."""
        processes = [
            process for process in self.processes.values() if process.endpoint in (one, other)
        ]
        if any(
            process.node is None or process.node.dead or process.node.is_paused
            for process in processes
        ):
            return True
        return not self.network.reaches(processes[0].zone, processes[-1].zone)

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
        text = _with_field(current.text, name, field, value)
        edit = Edit(mark, EDITOR_KEY, {section: text}, {section: current.version})
        editor = DocumentEditor(store, self.clock, self._new_rng())
        outcome = await editor.apply(edit, EDIT_TIMEOUT)
        now = self.clock.monotonic()
        if isinstance(outcome, Ok):
            path = ".".join(filter(None, (section, name, field)))
            self.record.add(Edited(now, begun, outcome.value, mark, path, value))
        else:
            self.record.add(Fault(now, f"{mark} failed: {outcome}"))

    async def record_document(self) -> None:
        """Records the stored document."""
        read = await DocumentStore(DirectTables(self.tables)).read()
        values = {}
        for section, text in read.value.texts().items():
            for path, value in _leaf_fields(section, _fields(text)):
                values[path] = value
        self.record.add(FinalDocument(self.clock.monotonic(), values))

    async def _write_initial_document(self):
        texts = initial_document(self.script)
        store = DocumentStore(DirectTables(self.tables))
        editor = DocumentEditor(store, self.clock, self._new_rng())
        edit = Edit("first", EDITOR_KEY, texts, dict.fromkeys(texts, 0))
        outcome = await editor.apply(edit, EDIT_TIMEOUT)
        if not isinstance(outcome, Ok):
            raise ValueError(f"the scenario's initial document was not accepted: {outcome}")

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

    def _new_rng(self):
        return random.Random(self.rng.random())


def initial_document(script: Script) -> dict[str, str]:
    """Returns the sections of the initial document of a scenario."""
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


def _with_field(text, name, field, value):
    fields = _fields(text)
    target = fields if name is None else fields[name]
    target[field] = value if not isinstance(value, datetime.timedelta) else value.total_seconds()
    return json.dumps(fields, indent=2)


def _fields(text):
    return parse_jsonc(text, "section", Findings()).to_python()


def _leaf_fields(path, value):
    """Yields the dotted path and value of every leaf field of a value."""
    if not isinstance(value, dict):
        yield path, value
        return
    for name, inner in value.items():
        yield from _leaf_fields(f"{path}.{name}", inner)
