"""Keeps in the store what is blamed for crashes, so that it outlasts a stop of all processes.

Processes tell each other of crashes, but forget them if all of them stop at the same time.  They
forget the successes of sound requests too, so a row tells whether these had confirmed the cause.
Earlier builds did not ask for that, and their rows do not tell it.
"""

import datetime

import attrs

from cicadapond.containment import BLAME_RETENTION, SEPARATOR, CrashTracker
from cicadapond.eventlog import EventLog
from cicadapond.gateway._cluster import Cluster
from cicadapond.kernel import Clock, Ok
from cicadapond.peer import rank
from cicadapond.provider import TableService, Write

TABLE = "crash_causes"
# How often new causes are looked for, and a failed call is made again.
INTERVAL = datetime.timedelta(milliseconds=300)
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
      process: This process's name.
      clock: The clock.
      log: The event log.
    """

    def __init__(
        self,
        crashes: CrashTracker,
        tables: TableService,
        cluster: Cluster,
        process: str,
        clock: Clock,
        log: EventLog,
    ):
        self._crashes = crashes
        self._tables = tables
        self._cluster = cluster
        self._process = process
        self._clock = clock
        self._log = log
        # Of the store's present era; what was stored before may be lost.
        self._stored: dict[str, _Row] = {}
        self._era = 0

    async def run(self) -> None:
        """Reads and then writes causes until cancelled."""
        while not await self._read():
            await self._clock.sleep(INTERVAL)
        while True:
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

    async def _read(self):
        found = await self._tables.scan(TABLE)
        if not isinstance(found, Ok):
            return False
        self._era = self._tables.era()
        oldest = self._clock.now() - BLAME_RETENTION
        for row in found.value:
            at = datetime.datetime.fromtimestamp(row.value["at_ms"] / 1000, datetime.UTC)
            if at < oldest:
                await self._tables.transact((Write(TABLE, row.key, None),))
                continue
            self._stored[row.key] = _Row(at, bool(row.value.get("confirmed")))
        unconfirmed = {cause for cause, row in self._stored.items() if not row.is_confirmed}
        if self._stored:
            self._log.write(
                "crash_causes_read", causes=sorted(self._stored), unconfirmed=sorted(unconfirmed)
            )
        self._crashes.restore({cause: row.at for cause, row in self._stored.items()}, unconfirmed)
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
        return self._process in rank(cause, sharers)[:WRITERS]


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
