"""The other gateway processes: how they are found, what they are told, what they tell."""

import asyncio
import contextlib
import datetime
import random

from cicadapond.data import Endpoint
from cicadapond.gateway._parts import Parts
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
    start_of,
)
from cicadapond.provider import TableService, Write
from cicadapond.usage import UsageLedger

PROCESS_TABLE = "processes"
PEER_BEAT = datetime.timedelta(milliseconds=400)
DIGEST_INTERVAL = datetime.timedelta(milliseconds=400)
# The least time between two digests, however much there is to tell.
LEAST_DIGEST_INTERVAL = datetime.timedelta(milliseconds=10)
REGISTER_RETRY = datetime.timedelta(milliseconds=300)
# A process that has been dead for so long no longer has a share of limits.
SHARE_TERM = datetime.timedelta(seconds=20)
# Processes that start within so many milliseconds of each other have started together.
SAME_START_MS = 2500
# Totals of a process older than this may hide a burst; its even part is set aside instead.
SILENT_AFTER = datetime.timedelta(seconds=3)


class Cluster:
    """What this process knows of the others.

    Args:
      parts: The process.
      tables: Has a row for each process, by which they find each other.
      clock: The process's clock, corrected by the others' readings.
      tasks: Runs the membership.
      rng: Spreads attempts in time.
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
        self._news = asyncio.Event()
        self.usage = UsageLedger()

    async def run(self) -> None:
        """Finds the others and tells them what changes, until it is cancelled."""
        rows = await self._register()
        seeds = tuple(
            Endpoint(*value["peer"]) for name, value in rows.items() if name != self._cfg.name
        )
        cfg = PeerSettings(
            self._cfg.name,
            self._cfg.zone,
            self._cfg.peers[0],
            seeds=seeds,
            beat=PEER_BEAT,
            relay_beat=PEER_BEAT,
        )
        metrics = self._parts.metrics
        peer = PeerTask(cfg, TcpTransport(metrics), self._clock, metrics, self._rng)
        peer.subscribe(self._hear)
        self._peer = peer
        peer.start()
        self._tasks.start(peer)
        await self._publish()

    async def leave(self) -> None:
        """Says to all that this process ends as planned."""
        if self._peer is not None:
            await self._peer.leave()

    @property
    def start(self) -> int | None:
        """What tells this start of the process from others; None before it is known to them."""
        return start_of(self._peer.incarnation) if self._peer is not None else None

    # What follows from what they tell

    def count(self) -> int:
        """Returns how many processes share limits, this one included."""
        return 1 + sum(self._has_share(member) for member in self._members())

    def quota_part(self) -> float:
        """Returns the part of quotas that this process and those it hears of may spend."""
        count = self.count()
        now = self._clock.monotonic()
        silent = sum(SILENT_AFTER < now - member.heard < SHARE_TERM for member in self._members())
        return 1.0 - min(silent, count - 1) / count

    def demand(self, service: str) -> float:
        """Returns how many servers of a service all processes' requests keep busy."""
        demand = self._parts.demand.busy_engines().get(service, 0.0)
        for member in self._members():
            # One that is cut off still has its callers, and will send here what they ask.
            if self._has_share(member):
                demand += member.digest.demand.get(service, 0.0)
        return demand

    def is_first_for(self, key: str) -> bool:
        """Returns whether a matter is this process's among those of its data centre."""
        names = [
            member.name
            for member in self._members()
            if member.zone == self._cfg.zone and member.state is MemberState.ALIVE
        ]
        return owner(key, [*names, self._cfg.name]) == self._cfg.name

    def tell_soon(self) -> None:
        """Has the others told at once what has changed."""
        self._news.set()

    def _members(self) -> tuple[Member, ...]:
        return self._peer.members() if self._peer is not None else ()

    def _has_share(self, member):
        if member.state is MemberState.ALIVE:
            return True
        return self._clock.monotonic() - member.heard < SHARE_TERM

    # Finding them

    async def _register(self):
        """Writes this process's row and returns the rows of all processes."""
        while True:
            reading = self._clock.reading()
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
            await self._clock.sleep(REGISTER_RETRY)

    def _correct_clock(self, rows):
        readings = [value["reading"] for value in rows.values() if value.get("reading")]
        correction = self._clock.correct(readings)
        if correction is not None:
            by_ms = round(correction.total_seconds() * 1000)
            self._parts.log.write("clock_corrected", by_ms=by_ms)

    # Telling and hearing

    async def _publish(self):
        while True:
            self._news.clear()
            self._peer.publish(self._digest())
            await self._clock.sleep(LEAST_DIGEST_INTERVAL)
            with contextlib.suppress(TimeoutError):  # the ordinary end of the wait
                async with asyncio.timeout(DIGEST_INTERVAL.total_seconds()):
                    await self._news.wait()

    def _digest(self):
        parts = self._parts
        return Digest(
            revision=parts.directory.version,
            suspects=parts.crashes.counts(),
            spent=parts.quotas.totals(),
            usage=parts.usage.counts(),
            demand={name: round(busy, 2) for name, busy in parts.demand.busy_engines().items()},
            readings=parts.placer.readings(),
        )

    def _hear(self, member):
        digest = member.digest
        self._parts.placer.hear(member.name, digest.readings)
        start = start_of(member.incarnation)
        started_earlier = start < self.start - SAME_START_MS
        self._parts.quotas.hear(member.name, digest.spent, started_earlier)
        self._parts.crashes.hear(member.name, digest.suspects)
        self.usage.hear(member.name, start, digest.usage)
