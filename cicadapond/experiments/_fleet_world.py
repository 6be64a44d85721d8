"""Entries' fleets and memberships of three data centres on one memory network, for experiments."""

import random

import attrs

from cicadapond.data import BackendServer, Endpoint, LoadReport, ServerKind
from cicadapond.entry._fleet import Fleet
from cicadapond.entry._fleet_tasks import (
    CloudNoticeWatcher,
    DigestTask,
    HostListWatcher,
    LoadWatcher,
)
from cicadapond.kernel import Metrics, Ok, TaskGroup, Unavailable, VirtualClock, seconds
from cicadapond.peer import MemoryNetwork, MemoryTransport, PeerSettings, PeerTask
from cicadapond.standin import DirectHostList, HostListModel

ZONES = ("yqr", "yxe", "ywg")
SLOTS = 16


@attrs.frozen
class EntryCfg:
    """What a fleet reads of an entry's settings."""

    name: str
    zone: str
    host_list_interval: object = attrs.field(factory=lambda: seconds(1))


class Cloud:
    """The cloud API's notices; one object per client, so that one can be cut off."""

    def __init__(self, notices: dict):
        self._notices = notices
        self.reachable = True

    async def notices(self, zone):
        """Reads the notices in force for a data centre."""
        if not self.reachable:
            return Unavailable("the cloud API does not answer")
        return Ok(tuple(found for found in self._notices.values() if zone in found.server))


class Server:
    """A backend server that reports its load and whether it is leaving."""

    def __init__(self, server: BackendServer):
        self.server = server
        self.running = 0
        self.leaving = False

    async def load_report(self):
        """Reads the load."""
        return Ok(LoadReport(self.server.name, self.running, 0, SLOTS, leaving=self.leaving))

    async def close(self) -> None:
        """Releases nothing."""


@attrs.define
class Process:
    """One entry: its membership, fleet and clients of the platform."""

    name: str
    zone: str
    peer: PeerTask
    fleet: Fleet
    hosts: DirectHostList
    cloud: Cloud
    tasks: TaskGroup
    digest: DigestTask
    revision: int = 0


class FleetWorld:
    """All processes and backend servers of three data centres.

    Args:
      seed: Makes every random choice.
      entries: Entries in each data centre.
      servers: Backend servers in each data centre.
      lag: How old the host list is.
    """

    def __init__(self, seed: int, entries: int = 4, servers: int = 4, lag=None):
        self.seed = seed
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.network = MemoryNetwork(random.Random(seed + 1), jitter=seconds(0.002))
        self.hosts = HostListModel(self.clock, lag or seconds(0))
        self.notices: dict = {}
        self.servers: dict[str, Server] = {}
        self.processes: dict[str, Process] = {}
        for zone in ZONES:
            for number in range(servers):
                self._add_server(f"engine-{zone}-{number}", zone)
        self._names = [f"entry-{zone}-{n}" for zone in ZONES for n in range(entries)]
        self._seeds = tuple(self.endpoint(f"entry-{zone}-0") for zone in ZONES)

    def _add_server(self, name, zone):
        server = BackendServer(name, ServerKind.ENGINE, "pool", zone, Endpoint("10.9.0.1", 1))
        self.servers[name] = Server(server)
        self.hosts.put(server)

    def endpoint(self, name: str) -> Endpoint:
        """Returns an entry's address."""
        _, zone, number = name.split("-")
        return Endpoint(f"10.0.{ZONES.index(zone)}.{number}", 7000)

    def zone_of(self, endpoint: Endpoint) -> str:
        """Returns the data centre of an address."""
        return ZONES[int(endpoint.host.split(".")[2])]

    def start(self, *names: str) -> None:
        """Starts entries, all if none is named."""
        for name in names or self._names:
            self.processes[name] = self._process(name)

    def _process(self, name):
        zone = name.split("-")[1]
        metrics = Metrics()
        clock, rng = self.clock, random.Random(f"{self.seed}{name}{clock_text(self.clock)}")
        cfg = EntryCfg(name, zone)
        peer_cfg = PeerSettings(name, zone, self.endpoint(name), seeds=self._seeds)
        transport = MemoryTransport(self.network, peer_cfg.endpoint)
        holder: list[Fleet] = []
        peer = PeerTask(
            peer_cfg, transport, clock, metrics, rng, lambda server: holder[0].is_foreign(server)
        )
        fleet = Fleet(cfg, clock, metrics, peer, lambda server: self.servers[server.name])
        holder.append(fleet)
        hosts, cloud = DirectHostList(self.hosts), Cloud(self.notices)
        process = Process(name, zone, peer, fleet, hosts, cloud, TaskGroup(), None)
        process.digest = DigestTask(fleet, peer, clock, lambda: process.revision)
        for task in (
            peer,
            HostListWatcher(fleet, hosts, cfg, clock, metrics),
            CloudNoticeWatcher(fleet, cloud, cfg, clock, metrics),
            LoadWatcher(fleet, clock, metrics),
            process.digest,
        ):
            process.tasks.start(task)
        return process

    async def stop(self, *names: str) -> None:
        """Ends entries as a crash would, all if none is named."""
        for name in names or list(self.processes):
            await self.processes.pop(name).tasks.stop()

    async def sleep(self, value: float) -> None:
        """Lets so many seconds pass."""
        await self.clock.sleep(seconds(value))


def clock_text(clock) -> str:
    """Returns the time as text, so that a restarted process makes other choices."""
    return str(clock.monotonic())
