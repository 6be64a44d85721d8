"""One gateway process: its parts, its tasks, and how they hang together."""

import asyncio
import contextlib
import datetime
import random

import attrs

from cicadapond.containment import CrashBook
from cicadapond.data import Endpoint
from cicadapond.eventlog import EventLog
from cicadapond.forwarding import Attempt, ConnectionPool, RepeatBudget
from cicadapond.gateway._cloud import Cloud
from cicadapond.gateway._dialect import Dialect
from cicadapond.gateway._duties import DutyTask, ServerOrderer, UsageReporter, leave_usage
from cicadapond.gateway._follow import CURRENT_FOR, FollowTask, TableFollower
from cicadapond.gateway._front import BALANCER_DELAY, GRACE_SHARE, Front
from cicadapond.gateway._parts import Parts
from cicadapond.gateway._servers import ServerBook
from cicadapond.gateway._time import TrueClock
from cicadapond.gateway.data import GatewaySettings
from cicadapond.kernel import Metrics, Ok, TaskGroup
from cicadapond.lease import LeaseSettings, LeaseTask
from cicadapond.peer import (
    Digest,
    MemberState,
    PeerSettings,
    PeerTask,
    TcpTransport,
    owner,
    start_of,
)
from cicadapond.placing import Placer, ServerHealth
from cicadapond.provider import TableService, Write
from cicadapond.quotas import QuotaShares
from cicadapond.routes import Directory
from cicadapond.scaling import CapacityPlanner, DemandMeter
from cicadapond.usage import UsageLedger, UsageWindows

PROCESS_TABLE = "processes"
LEASE_NAME = "duties"
LEASE_SETTINGS = LeaseSettings(
    term=datetime.timedelta(seconds=3),
    margin=datetime.timedelta(milliseconds=900),
    order_limit=datetime.timedelta(milliseconds=800),
    renewal=datetime.timedelta(milliseconds=1000),
    idle_poll=datetime.timedelta(seconds=10),
)
PEER_BEAT = datetime.timedelta(milliseconds=400)
DIGEST_INTERVAL = datetime.timedelta(milliseconds=400)
# The least time between two digests, however much there is to tell.
LEAST_DIGEST_INTERVAL = datetime.timedelta(milliseconds=10)
HOUSEKEEPING_INTERVAL = datetime.timedelta(seconds=1)
REGISTER_RETRY = datetime.timedelta(milliseconds=300)
# A process that has been dead for so long no longer has a share of limits.
SHARE_TERM = datetime.timedelta(seconds=20)
# Totals of a process older than this may hide a burst; its even part is set aside instead.
SILENT_AFTER = datetime.timedelta(seconds=3)
CHECK_DELAY = datetime.timedelta(milliseconds=60)
CHECK_TIMEOUT = datetime.timedelta(milliseconds=500)
STOP_POLL = datetime.timedelta(milliseconds=50)
# Orders take a boot time and a little; then servers that are not there are ordered again.
ORDER_SLACK = datetime.timedelta(seconds=3)


@attrs.frozen
class Edges:
    """What a gateway process reaches the outside with.

    `decode_configuration` and `decode_server` read what others write to the store;
    `configuration_place` is the table and key of the configuration, `server_table` the table of
    backend servers.
    """

    dialect: Dialect
    tables: TableService
    feed: object
    cloud: Cloud | None
    decode_configuration: object
    decode_server: object
    configuration_place: tuple[str, str]
    server_table: str


class Node:
    """A gateway process.

    Args:
      cfg: Its settings.
      edges: What it reaches the outside with.
      clock: Gives true time, and monotonic time that counts suspension.
      log: Takes lines.
      metrics: Takes counts.
      rng: Spreads attempts in time and makes the process's identity.
    """

    def __init__(
        self,
        cfg: GatewaySettings,
        edges: Edges,
        clock: TrueClock,
        log: EventLog,
        metrics: Metrics,
        rng: random.Random,
    ):
        self._cfg = cfg
        self._edges = edges
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._tasks = TaskGroup()
        self._news = asyncio.Event()
        self._servers_known = False
        self._peer: PeerTask | None = None
        self._checking: set[str] = set()
        self.parts = self._make_parts()
        self._front = Front(self.parts)
        self._lease = LeaseTask(
            LEASE_SETTINGS,
            LEASE_NAME,
            cfg.name,
            edges.tables,
            clock,
            metrics,
            rng,
            candidate=self._is_candidate,
        )
        self._lease_held = False
        self._lease_running: asyncio.Task | None = None
        self._usage_of_others = UsageLedger()
        self._planner = CapacityPlanner(clock)

    def _make_parts(self):
        cfg, clock, bounds = self._cfg, self._clock, self._cfg.bounds
        pool = ConnectionPool(clock, self._metrics)
        return Parts(
            cfg=cfg,
            clock=clock,
            log=self._log,
            metrics=self._metrics,
            dialect=self._edges.dialect,
            directory=Directory(clock, bounds.revocation, CURRENT_FOR),
            book=ServerBook(clock),
            placer=Placer(clock, cfg.zone),
            health=ServerHealth(clock, cfg.zone),
            pool=pool,
            attempt=Attempt(self._edges.dialect, pool, clock),
            repeats=RepeatBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window, clock
            ),
            quotas=QuotaShares(clock, cfg.is_first_start),
            usage=UsageWindows(bounds.usage_window),
            crashes=CrashBook(clock),
            demand=DemandMeter(clock),
            processes=self._processes,
            quota_part=self._quota_part,
            check_server=self._check_server,
            tell_readings=self._news.set,
        )

    # Life

    async def start(self) -> None:
        """Listens and starts all tasks."""
        await self._front.listen()
        self._follow(self._edges.configuration_place[0], _ConfigurationFollower(self))
        self._follow(self._edges.server_table, _ServerFollower(self))
        self._tasks.spawn(self._join(), "join")
        self._tasks.spawn(self._housekeep(), "housekeeping")
        if self._edges.cloud is not None:
            self._lease_running = self._tasks.start(self._lease)
            self._tasks.start(self._duty_task())

    def is_ready(self) -> bool:
        """Whether callers are to be sent here."""
        if self.parts.stopping_since is not None or not self._servers_known:
            return False
        directory = self.parts.directory
        if directory.table is None:
            return False
        return directory.table.cfg.accounts is None or directory.may_use_keys()

    async def stop(self) -> None:
        """Ends as planned: not ready first, then whatever is in progress, within the grace."""
        begun = self.parts.stopping_since = self._clock.monotonic()
        self._log.write("stopping", busy=self._front.busy)
        if self._lease_running is not None:
            self._lease_running.cancel()
            await self._lease.release()
        limit = self._cfg.bounds.grace * GRACE_SHARE
        while (waited := self._clock.monotonic() - begun) < limit:
            if waited >= BALANCER_DELAY and not self._front.busy:
                break
            await self._clock.sleep(STOP_POLL)
        # No request may begin between the last look at what is in progress and this.
        broken_off = self._front.busy
        self._front.close()
        if self._peer is not None:
            start = start_of(self._peer.incarnation)
            await leave_usage(self._edges.tables, self._cfg.name, start, self.parts.usage)
            await self._peer.leave()
        await self._tasks.stop()
        self.parts.pool.close()
        self._log.write("stopped", broken_off=broken_off)

    async def abandon(self) -> None:
        """Ends at once, as a crash would."""
        self._front.close()
        await self._tasks.stop()
        self.parts.pool.close()

    def reload(self, cfg: GatewaySettings) -> None:
        """Takes changed settings; addresses stay as they were at the start."""
        self._log.write("reloaded", changed=cfg != self._cfg)

    def state(self) -> dict:
        """Returns what the process believes, for a dump."""
        age = self.parts.directory.age()
        return {
            "name": self._cfg.name,
            "ready": self.is_ready(),
            "configuration": self.parts.directory.version,
            "configuration_age": age,
            "servers": [attrs.asdict(entry) for entry in self.parts.book.all()],
            "lease": self._lease.state(),
            "processes": self._processes(),
        }

    # The platform's tables

    def _follow(self, table, follower):
        self._tasks.start(
            FollowTask(table, self._edges.feed, follower, self._clock, self._log, self._metrics)
        )

    def take_configuration(self, raw: bytes) -> None:
        """Puts a configuration in force if it can be read and is newer."""
        cfg, findings = self._edges.decode_configuration(raw)
        if cfg is None:
            self._log.write("configuration_unreadable", findings=[str(f) for f in findings])
            return
        if self.parts.directory.apply(cfg):
            self._log.write("configuration_applied", version=cfg.version, routes=len(cfg.routes))

    def take_servers(self, changes, is_whole: bool, was_away: bool) -> None:
        """Takes entries of backend servers."""
        self._clock.observed(changes.service_time)
        book = self.parts.book
        if is_whole:
            entries = {}
            for row in changes.rows:
                entry = self._decode_server(row)
                if entry is not None:
                    entries[row.key] = (entry, row.version)
            found = book.replace(entries, changes.version, was_away)
        else:
            found = [self._take_row(row, was_away) for row in changes.rows]
        for change in found:
            if change is not None:
                self._server_changed(change)
        self._servers_known = True

    def _take_row(self, row, was_away):
        book = self.parts.book
        if row.value is None:
            return book.remove(row.key, row.version, was_away)
        entry = self._decode_server(row)
        return book.put(entry, row.version) if entry is not None else None

    def _decode_server(self, row):
        entry, findings = self._edges.decode_server(row.key, row.value)
        if entry is None:
            self._log.write("server_unreadable", findings=[str(f) for f in findings])
        return entry

    def _server_changed(self, change):
        entry = change.entry
        self._log.write(
            "server_" + change.kind,
            server=change.name,
            service=entry.service if entry else None,
            zone=entry.zone if entry else None,
            reclaimable=entry.is_reclaimable if entry else None,
        )
        if change.kind in ("leaving", "gone"):
            self.parts.pool.drop_server(change.name)
        if change.kind == "gone":
            self.parts.placer.forget(change.name)
            self.parts.health.forget(change.name)

    # Servers whose connections broke

    def _check_server(self, entry):
        if entry.name not in self._checking:
            self._checking.add(entry.name)
            self._tasks.spawn(self._check(entry), "check server")

    async def _check(self, entry):
        try:
            await self._clock.sleep(CHECK_DELAY)
            conn = await self.parts.pool.connect(entry.name, entry.endpoint, CHECK_TIMEOUT)
        finally:
            self._checking.discard(entry.name)
        if conn is None:
            suspects = self.parts.crashes.went_down(entry.name)
            self._log.write("server_down", server=entry.name, suspects=list(suspects))
        else:
            conn.close()
            self.parts.crashes.stayed_up(entry.name)

    # Other processes

    async def _join(self):
        row = await self._register()
        seeds = tuple(
            Endpoint(*value["peer"]) for name, value in row.items() if name != self._cfg.name
        )
        cfg = PeerSettings(
            self._cfg.name,
            self._cfg.zone,
            self._cfg.peers[0],
            seeds=seeds,
            beat=PEER_BEAT,
            relay_beat=PEER_BEAT,
        )
        transport = TcpTransport(self._metrics)
        peer = PeerTask(cfg, transport, self._clock, self._metrics, self._rng)
        peer.subscribe(self._hear)
        peer.start()
        self._peer = peer
        self._tasks.start(peer)
        await self._publish()

    async def _register(self):
        """Writes this process's row and returns the rows of all processes."""
        while True:
            own = {
                "peer": [self._cfg.peers[0].host, self._cfg.peers[0].port],
                "reading": self._clock.reading(),
            }
            written = None
            if own["reading"] is not None:
                write = Write(PROCESS_TABLE, self._cfg.name, own)
                written = await self._edges.tables.transact((write,))
            if isinstance(written, Ok):
                found = await self._edges.tables.scan(PROCESS_TABLE)
                if isinstance(found, Ok):
                    rows = {row.key: row.value for row in found.value}
                    self._correct_clock(rows)
                    return rows
            await self._clock.sleep(REGISTER_RETRY)

    def _correct_clock(self, rows):
        readings = [value["reading"] for value in rows.values() if value.get("reading")]
        correction = self._clock.correct(readings)
        if correction is not None:
            self._log.write("clock_corrected", by_ms=round(correction.total_seconds() * 1000))

    async def _publish(self):
        while True:
            self._news.clear()
            self._peer.publish(self._digest())
            await self._clock.sleep(LEAST_DIGEST_INTERVAL)
            with contextlib.suppress(TimeoutError):  # the ordinary end of the wait
                async with asyncio.timeout(DIGEST_INTERVAL.total_seconds()):
                    await self._news.wait()

    def _digest(self):
        parts = self.parts
        return Digest(
            revision=parts.directory.version,
            suspects=parts.crashes.counts(),
            spent=parts.quotas.totals(),
            usage=parts.usage.counts(),
            demand={name: round(busy, 2) for name, busy in parts.demand.busy_engines().items()},
            readings=parts.placer.readings(),
        )

    def _hear(self, member):
        self.parts.placer.hear(member.name, member.digest.readings)
        self.parts.quotas.hear(member.name, member.digest.spent)
        self.parts.crashes.hear(member.name, member.digest.suspects)
        self._usage_of_others.hear(member.name, start_of(member.incarnation), member.digest.usage)

    def _processes(self):
        if self._peer is None:
            return 1
        return 1 + sum(self._has_share(member) for member in self._peer.members())

    def _has_share(self, member):
        if member.state is MemberState.ALIVE:
            return True
        return self._clock.monotonic() - member.heard < SHARE_TERM

    def _quota_part(self):
        processes = self._processes()
        silent = 0
        if self._peer is not None:
            now = self._clock.monotonic()
            silent = sum(
                SILENT_AFTER < now - member.heard < SHARE_TERM for member in self._peer.members()
            )
        return 1.0 - min(silent, processes - 1) / processes

    # Duties

    def _is_candidate(self):
        """Returns whether this process watches the lease closely: one of each data centre does."""
        names = [self._cfg.name]
        for member in self._peer.members() if self._peer else ():
            if member.zone == self._cfg.zone and member.state is MemberState.ALIVE:
                names.append(member.name)
        return owner(LEASE_NAME, names) == self._cfg.name

    def _duty_task(self):
        cfg, cloud = self._cfg, self._edges.cloud
        reporter = orderer = None
        if cfg.duties.reports_usage:
            reporter = UsageReporter(
                cloud,
                self._edges.tables,
                self.parts.usage,
                self._usage_of_others,
                self._clock,
                self._log,
            )
        if cfg.duties.orders_servers:
            orderer = ServerOrderer(
                cloud, self._orders, self._planner.restart, self._is_missing, self._clock, self._log
            )
        return DutyTask(self._lease, cfg.name, reporter, orderer, self._clock)

    def _orders(self):
        table = self.parts.directory.table
        if table is None or not self._servers_known:
            return []
        orders = []
        for service in table.cfg.services.values():
            servers = self.parts.book.usable(service.name)
            demand = self._demand(service.name)
            orders += self._planner.plan(service, self._cfg.zones, servers, demand)
        return orders

    def _demand(self, service):
        demand = self.parts.demand.busy_engines().get(service, 0.0)
        for member in self._peer.members() if self._peer else ():
            # One that is cut off still has its callers, and will send here what they ask.
            if self._has_share(member):
                demand += member.digest.demand.get(service, 0.0)
        return demand

    def _is_missing(self, order, since):
        table = self.parts.directory.table
        boot = table.cfg.services[order.service].scaling.boot
        if self._clock.monotonic() - since < boot + ORDER_SLACK:
            return False
        present = sum(
            entry.service == order.service
            and entry.zone == order.zone
            and entry.is_reclaimable == order.reclaimable
            and not entry.is_leaving
            for entry in self.parts.book.all()
        )
        return present < order.count

    # Housekeeping

    async def _housekeep(self):
        while True:
            self.parts.pool.close_stale()
            held = self._lease.grant()
            if (held is not None) != self._lease_held:
                self._lease_held = held is not None
                self._log.write(
                    "lease_held" if held else "lease_lost",
                    lease=LEASE_NAME,
                    fencing=held.fencing if held else None,
                )
            await self._clock.sleep(HOUSEKEEPING_INTERVAL)


class _ConfigurationFollower(TableFollower):
    def __init__(self, node):
        self._node = node
        self._key = node._edges.configuration_place[1]

    def changed(self, changes, is_whole, was_away):
        for row in changes.rows:
            if row.key == self._key and row.value is not None:
                self._node.take_configuration(row.value)

    def current(self, since):
        self._node.parts.directory.proved_current(since)


class _ServerFollower(TableFollower):
    def __init__(self, node):
        self._node = node

    def changed(self, changes, is_whole, was_away):
        self._node.take_servers(changes, is_whole, was_away)

    def current(self, since):
        return None
