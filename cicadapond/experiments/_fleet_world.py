"""Simulated fleets and memberships of three data centres on one in-memory network."""

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
    """The entry settings that a fleet uses."""

    name: str
    zone: str
    host_list_interval: object = attrs.field(factory=lambda: seconds(1))


class Cloud:
    """A client of the cloud API; each entry has its own, so that one can be made unreachable."""

    def __init__(self, notices: dict):
        self._notices = notices
        self.reachable = True

    async def notices(self, zone):
        """Returns the active notices of a data centre."""
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
        """Returns the load report."""
        return Ok(LoadReport(self.server.name, self.running, 0, SLOTS, leaving=self.leaving))

    async def close(self) -> None:
        """Does nothing; there are no resources to release."""


@attrs.define
class Process:
    """One entry: its membership, fleet and platform clients."""

    name: str
    zone: str
    peer: PeerTask
    fleet: Fleet
    hosts: DirectHostList
    cloud: Cloud
    tasks: TaskGroup
    digest: DigestTask
    revision: int = 0


class MembershipSimulation:
    """All processes and backend servers of three data centres.

    Args:
      seed: Seed of all random choices.
      entries: Number of entries in each data centre.
      servers: Number of backend servers in each data centre.
      lag: Age of the host list that entries read.
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
        self._seed_endpoints = tuple(self.endpoint(f"entry-{zone}-0") for zone in ZONES)

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
        """Starts the named entries, or all if none are named."""
        for name in names or self._names:
            self.processes[name] = self._process(name)

    def _process(self, name):
        zone = name.split("-")[1]
        metrics = Metrics()
        clock, rng = self.clock, random.Random(f"{self.seed}{name}{clock_seed(self.clock)}")
        cfg = EntryCfg(name, zone)
        peer_cfg = PeerSettings(name, zone, self.endpoint(name), seeds=self._seed_endpoints)
        transport = MemoryTransport(self.network, peer_cfg.endpoint)
        fleet_ref: list[Fleet] = []
        peer = PeerTask(
            peer_cfg,
            transport,
            clock,
            metrics,
            rng,
            lambda server: fleet_ref[0].is_in_other_zone(server),
        )
        fleet = Fleet(cfg, clock, metrics, peer, lambda server: self.servers[server.name])
        fleet_ref.append(fleet)
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
        """Stops the named entries, or all, without announcing it, as a crash would."""
        for name in names or list(self.processes):
            await self.processes.pop(name).tasks.stop()

    async def sleep(self, duration_seconds: float) -> None:
        """Waits for a number of virtual seconds."""
        await self.clock.sleep(seconds(duration_seconds))


def clock_seed(clock) -> str:
    """Returns the time as text for a seed, so that a restarted process draws other values."""
    return str(clock.monotonic())
