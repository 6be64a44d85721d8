"""Membership of the gateway processes and the state that they exchange."""

import asyncio
import collections
import contextlib
import datetime
import random

from cicadapond.data import Endpoint
from cicadapond.gateway._parts import Parts
from cicadapond.gateway._sharing import CopyGroup, CopyInbox, SharedCopy, read_copy
from cicadapond.gateway._time import TrueClock
from cicadapond.kernel import Ok, TaskGroup
from cicadapond.peer import (
    Digest,
    Member,
    MemberState,
    PeerSettings,
    PeerTask,
    TcpTransport,
    owner,
    rank,
    start_time_ms,
)
from cicadapond.provider import TableService, Write
from cicadapond.usage import UsageLedger

PROCESS_TABLE = "processes"
# How many processes of a data centre read each table from the store on behalf of all.
READERS_PER_ZONE = 2
PEER_BEAT_INTERVAL = datetime.timedelta(milliseconds=400)
# Digests are published at the maximum interval, and sooner after a change, but never below the
# minimum interval.  Both grow with the number of processes, so that each process receives at most
# about 80 digests a second while nothing changes.
MAX_DIGEST_INTERVAL = datetime.timedelta(milliseconds=400)
MIN_DIGEST_INTERVAL = datetime.timedelta(milliseconds=10)
MAX_DIGEST_INTERVAL_PER_PROCESS = datetime.timedelta(milliseconds=13)
MIN_DIGEST_INTERVAL_PER_PROCESS = datetime.timedelta(milliseconds=3)
REGISTER_RETRY_INTERVAL = datetime.timedelta(milliseconds=300)
# A process that is not alive keeps its share of limits for this long after it was last heard from.
SHARE_RETENTION = datetime.timedelta(seconds=20)
# Processes that start within this time of each other count as started together.
SAME_START_MS = 2500
# If a process has not been heard from for this long, its quota totals may miss a burst; an equal
# share is then reserved for it.
SILENCE_THRESHOLD = datetime.timedelta(seconds=3)


def digest_intervals(processes: int) -> tuple[datetime.timedelta, datetime.timedelta]:
    """Returns the minimum and the maximum time between two digests of a process."""
    shortest = max(MIN_DIGEST_INTERVAL, processes * MIN_DIGEST_INTERVAL_PER_PROCESS)
    longest = max(MAX_DIGEST_INTERVAL, processes * MAX_DIGEST_INTERVAL_PER_PROCESS)
    return shortest, longest


class Cluster(CopyGroup):
    """The gateway processes that this process knows of.

    Args:
      parts: The components of this process.
      tables: Holds a row for each process, by which the processes discover each other.
      clock: The clock of this process; corrected by the readings of the others.
      tasks: Runs the membership task.
      rng: Source of jitter.
    """

    def __init__(
        self,
        parts: Parts,
        tables: TableService,
        clock: TrueClock,
        tasks: TaskGroup,
        rng: random.Random,
    ):
        self._parts = parts
        self._cfg = parts.cfg
        self._tables = tables
        self._clock = clock
        self._tasks = tasks
        self._rng = rng
        self._peer: PeerTask | None = None
        self._changed = asyncio.Event()
        self._copies: dict[str, SharedCopy] = {}
        self._inboxes: dict[str, CopyInbox] = collections.defaultdict(CopyInbox)
        self._received_copies: dict[tuple[str, str], list] = {}
        self.usage = UsageLedger()

    async def run(self) -> None:
        """Joins the other processes and publishes digests until cancelled."""
        rows = await self._register()
        seeds = tuple(
            Endpoint(*value["peer"]) for name, value in rows.items() if name != self._cfg.name
        )
        cfg = PeerSettings(
            self._cfg.name,
            self._cfg.zone,
            self._cfg.peers[0],
            seeds=seeds,
            beat=PEER_BEAT_INTERVAL,
            relay_beat=PEER_BEAT_INTERVAL,
        )
        metrics = self._parts.metrics
        peer = PeerTask(cfg, TcpTransport(metrics), self._clock, metrics, self._rng)
        peer.subscribe(self._receive)
        self._peer = peer
        peer.start()
        self._tasks.start(peer)
        await self._publish()

    async def leave(self) -> None:
        """Announces to the other processes that this one leaves."""
        if self._peer is not None:
            await self._peer.leave()

    @property
    def start(self) -> int | None:
        """The start time of this process in Unix milliseconds, which identifies this start.

        None before it has joined the others.
        """
        return start_time_ms(self._peer.incarnation) if self._peer is not None else None

    # Values derived from the received digests

    def count(self) -> int:
        """Returns how many processes share limits, this one included."""
        return 1 + sum(self._has_share(member) for member in self._members())

    def quota_share(self) -> float:
        """Returns the share of quotas available to this process and those heard from lately."""
        count = self.count()
        now = self._clock.monotonic()
        silent = sum(
            SILENCE_THRESHOLD < now - member.last_heard < SHARE_RETENTION
            for member in self._members()
        )
        return 1.0 - min(silent, count - 1) / count

    def demand(self, service: str, slots: int) -> float:
        """Returns how many servers of a service all processes' requests keep busy.

        Args:
          service: The service.
          slots: The slots of one of its servers.
        """
        prefilling = self._parts.demand.prefilling_engines().get(service, 0.0)
        in_progress = self._parts.demand.requests_in_progress().get(service, 0.0)
        for member in self._members():
            # A process that is cut off keeps its callers, whose requests need servers of this
            # service too.
            if self._has_share(member):
                prefilling += member.digest.demand.get(service, 0.0)
                in_progress += member.digest.in_progress.get(service, 0.0)
        return max(prefilling, in_progress / slots)

    def owns(self, key: str) -> bool:
        """Returns whether this process owns a key among the live processes of its data centre."""
        return owner(key, self._live_in_zone()) == self._cfg.name

    def _live_in_zone(self):
        """Returns the live processes of this data centre, this one included."""
        names = [
            member.name
            for member in self._members()
            if member.zone == self._cfg.zone and member.state is MemberState.ALIVE
        ]
        return [*names, self._cfg.name]

    def publish_soon(self) -> None:
        """Publishes the next digest as soon as the minimum interval allows."""
        self._changed.set()

    def _members(self) -> tuple[Member, ...]:
        return self._peer.members() if self._peer is not None else ()

    def _has_share(self, member):
        if member.state is MemberState.ALIVE:
            return True
        return self._clock.monotonic() - member.last_heard < SHARE_RETENTION

    # CopyGroup

    def is_reader(self, table):
        return self._cfg.name in rank(f"follow {table}", self._live_in_zone())[:READERS_PER_ZONE]

    def has_receivers(self, table):
        return len(self._live_in_zone()) > READERS_PER_ZONE

    def publish_copy(self, table, copy):
        self._copies[table] = copy
        self.publish_soon()

    async def receive_copy(self, table, limit):
        return await self._inboxes[table].get(limit)

    def _receive_copies(self, member):
        for table, value in member.digest.copies.items():
            if self._received_copies.get((member.name, table)) == value:
                continue
            self._received_copies[member.name, table] = value
            copy = read_copy(value)
            if copy is None:
                self._parts.log.write("copy_unreadable", table=table, process=member.name)
            else:
                self._inboxes[table].put(copy)

    # Discovery

    async def _register(self):
        """Writes this process's row and returns the rows of all processes."""
        while True:
            reading = self._clock.store_epoch()
            written = None
            if reading is not None:
                endpoint = self._cfg.peers[0]
                own = {"peer": [endpoint.host, endpoint.port], "reading": reading}
                written = await self._tables.transact((Write(PROCESS_TABLE, self._cfg.name, own),))
            if isinstance(written, Ok):
                found = await self._tables.scan(PROCESS_TABLE)
                if isinstance(found, Ok):
                    rows = {row.key: row.value for row in found.value}
                    self._correct_clock(rows)
                    return rows
            await self._clock.sleep(REGISTER_RETRY_INTERVAL)

    def _correct_clock(self, rows):
        readings = [value["reading"] for value in rows.values() if value.get("reading")]
        correction = self._clock.correct(readings)
        if correction is not None:
            by_ms = round(correction.total_seconds() * 1000)
            self._parts.log.write("clock_corrected", by_ms=by_ms)

    # Exchange of digests

    async def _publish(self):
        while True:
            self._changed.clear()
            self._peer.publish(self._digest())
            shortest, longest = digest_intervals(1 + len(self._members()))
            await self._clock.sleep(shortest)
            with contextlib.suppress(TimeoutError):  # no change within the maximum interval
                async with asyncio.timeout((longest - shortest).total_seconds()):
                    await self._changed.wait()

    def _digest(self):
        parts = self._parts
        return Digest(
            revision=parts.active_configuration.version,
            suspects=parts.crashes.counts(),
            spent=parts.quotas.totals(),
            usage=parts.usage.counts(),
            demand=_rounded(parts.demand.prefilling_engines()),
            in_progress=_rounded(parts.demand.requests_in_progress()),
            readings=parts.placer.prefill_totals(),
            copies={table: copy.as_list() for table, copy in self._copies.items()},
        )

    def _receive(self, member):
        digest = member.digest
        self._receive_copies(member)
        self._parts.placer.add_peer_prefill(member.name, digest.readings)
        start = start_time_ms(member.incarnation)
        started_earlier = start < self.start - SAME_START_MS
        self._parts.quotas.apply_totals(member.name, digest.spent, started_earlier)
        self._parts.crashes.record_peer_counts(member.name, digest.suspects)
        self.usage.record_report(member.name, start, digest.usage)


def _rounded(values):
    return {name: round(value, 2) for name, value in values.items()}
