"""Keeps in the store what is blamed for crashes, so that it outlasts a stop of all processes.

Processes tell each other of crashes, but forget them if all of them stop at the same time.
"""

import datetime

from cicadapond.containment import BLAME_RETENTION, CrashTracker
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
        self._stored: dict[str, datetime.datetime] = {}
        self._era = 0

    async def run(self) -> None:
        """Reads and then writes causes until cancelled."""
        while not await self._read():
            await self._clock.sleep(INTERVAL)
        while True:
            if self._tables.era() > self._era:
                self._era = self._tables.era()
                self._stored.clear()
            for trait, at in self._crashes.culprits().items():
                stored = self._stored.get(trait)
                is_new = stored is None or at - stored >= REFRESH_AGE
                if is_new and self._is_writer(trait):
                    await self._write(trait, at)
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
            self._stored[row.key] = at
        if self._stored:
            self._log.write("crash_causes_read", causes=sorted(self._stored))
        self._crashes.restore(self._stored)
        return True

    async def _write(self, trait, at):
        row = {"at_ms": round(at.timestamp() * 1000)}
        written = await self._tables.transact((Write(TABLE, trait, row),))
        if isinstance(written, Ok):
            self._stored[trait] = at
            self._log.write("crash_cause_stored", cause=trait)

    def _is_writer(self, trait):
        sharers = self._cluster.sharers()
        return sharers is not None and self._process in rank(trait, sharers)[:WRITERS]
