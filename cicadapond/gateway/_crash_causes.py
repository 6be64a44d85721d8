"""Keeps in the store what is blamed for crashes, so that it outlasts a stop of all processes.

Processes tell each other of crashes, but forget them if all of them stop at the same time.  They
forget the successes of sound requests too, so a row tells whether these had confirmed the cause.
Earlier builds did not ask for that, and their rows do not tell it.

A process that does not hear all others learns of their crashes by these rows, and tells its own.
"""

import datetime

import attrs

from cicadapond.containment import BLAME_RETENTION, SEPARATOR, CrashTracker
from cicadapond.eventlog import EventLog
from cicadapond.gateway._cluster import Cluster
from cicadapond.gateway.settings import GatewaySettings
from cicadapond.kernel import Clock, Ok
from cicadapond.peer import rank
from cicadapond.provider import TableService, Write

TABLE = "crash_causes"
# How often new causes are looked for, and a failed call is made again.
INTERVAL = datetime.timedelta(milliseconds=300)
# A process that does not hear all others reads the causes this often at most, as far as all
# processes together need no more than this share of the store's reads.
READ_INTERVAL = datetime.timedelta(seconds=1)
SHARE_OF_READS = 0.05
# A cause whose last crash is so much later than stored is written again.
REFRESH_AGE = datetime.timedelta(seconds=30)
# Causes of more traits are not stored: requests seldom have all of them.
MAX_TRAITS = 8
# So many processes write each cause, as one of them may end just then.
WRITERS = 2


class CrashCauses:
    """Reads the causes of crashes from the store, and writes those that are new.

    Args:
      crashes: Finds the causes.
      tables: The store.
      cluster: The processes, which divide the writing.
      cfg: The process's settings.
      clock: The clock.
      log: The event log.
    """

    def __init__(
        self,
        crashes: CrashTracker,
        tables: TableService,
        cluster: Cluster,
        cfg: GatewaySettings,
        clock: Clock,
        log: EventLog,
    ):
        self._crashes = crashes
        self._tables = tables
        self._cluster = cluster
        self._cfg = cfg
        self._clock = clock
        self._log = log
        # Of the store's present era; what was stored before may be lost.
        self._stored: dict[str, _Row] = {}
        self._era = 0
        self._read_at: datetime.timedelta | None = None

    async def run(self) -> None:
        """Reads and then writes causes until cancelled; reads them again where that is needed."""
        while not await self._read():
            await self._clock.sleep(INTERVAL)
        self._era = self._tables.era()
        while True:
            if self._clock.monotonic() >= self._next_read():
                await self._read()
            if self._tables.era() > self._era:
                self._era = self._tables.era()
                self._stored.clear()
            for cause, at in self._crashes.culprits().items():
                row = _Row(at, self._crashes.is_confirmed(cause))
                if row.replaces(self._stored.get(cause)) and self._is_writer(cause):
                    await self._write(cause, row)
            for cause, row in list(self._stored.items()):
                if self._crashes.is_cleared(cause, row.at) and self._is_writer(cause):
                    await self._delete(cause)
            await self._clock.sleep(INTERVAL)

    def _next_read(self):
        """Returns the monotonic time from which the causes are to be read again."""
        sharers, read_at = self._cluster.sharers(), self._read_at
        if sharers is None or read_at is None or len(self._cluster.live()) >= len(sharers):
            return datetime.timedelta.max
        reads_per_second = SHARE_OF_READS * self._cfg.store_reads_per_second
        interval = datetime.timedelta(seconds=len(sharers) / reads_per_second)
        return read_at + max(READ_INTERVAL, interval)

    async def _read(self):
        self._read_at = self._clock.monotonic()
        found = await self._tables.scan(TABLE)
        if not isinstance(found, Ok):
            return False
        oldest, new = self._clock.now() - BLAME_RETENTION, {}
        for row in found.value:
            at = datetime.datetime.fromtimestamp(row.value["at_ms"] / 1000, datetime.UTC)
            if at < oldest:
                await self._tables.transact((Write(TABLE, row.key, None),))
                continue
            stored = _Row(at, bool(row.value.get("confirmed")))
            if self._stored.get(row.key) != stored:
                new[row.key] = stored
        self._stored |= new
        unconfirmed = {cause for cause, row in new.items() if not row.is_confirmed}
        if new:
            self._log.write(
                "crash_causes_read", causes=sorted(new), unconfirmed=sorted(unconfirmed)
            )
            self._crashes.restore({cause: row.at for cause, row in new.items()}, unconfirmed)
        return True

    async def _write(self, cause, row):
        value = {"at_ms": round(row.at.timestamp() * 1000), "confirmed": row.is_confirmed}
        written = await self._tables.transact((Write(TABLE, cause, value),))
        if isinstance(written, Ok):
            self._stored[cause] = row
            self._log.write("crash_cause_stored", cause=cause, confirmed=row.is_confirmed)

    async def _delete(self, cause):
        written = await self._tables.transact((Write(TABLE, cause, None),))
        if isinstance(written, Ok):
            del self._stored[cause]
            self._log.write("crash_cause_cleared", cause=cause)

    def _is_writer(self, cause):
        sharers = self._cluster.sharers()
        if sharers is None or cause.count(SEPARATOR) >= MAX_TRAITS:
            return False
        # Those that are not heard may not know of it.
        return self._cfg.name in rank(cause, self._cluster.live())[:WRITERS]


@attrs.frozen
class _Row:
    """A cause in the store: when the last crash was, and whether sound requests confirmed it."""

    at: datetime.datetime
    is_confirmed: bool

    def replaces(self, stored: "_Row | None") -> bool:
        """Returns whether the store has to be told of this."""
        if stored is None or self.at - stored.at >= REFRESH_AGE:
            return True
        return self.is_confirmed and not stored.is_confirmed
