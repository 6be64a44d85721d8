"""Stores quarantined requests in the table service, so that they survive process restarts."""

import datetime
import random

from cicadapond.kernel import Clock, Metrics, Ok, Task, seconds
from cicadapond.provider import Row, TableService, Write
from cicadapond.quarantine._quarantine import Quarantine

TABLE = "convictions"
SOURCE = "table service"
WRITE_INTERVAL = seconds(1)
READ_INTERVAL_SECONDS = 60.0
MAX_ROWS = 1000


class QuarantineTable(Task):
    """Writes this process's quarantined requests, and reads all rows at the start and periodically.

    An outage of the table service delays reads and writes but loses nothing; meanwhile the peer
    digests carry the quarantined requests.

    Args:
      quarantine: The quarantine of this process.
      tables: The table service.
      clock: The clock.
      metrics: Counts failed reads and writes.
      rng: Jitter source, so that the processes do not all read at once.
    """

    name = "convictions"

    def __init__(
        self,
        quarantine: Quarantine,
        tables: TableService,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
    ):
        self._quarantine = quarantine
        self._tables = tables
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._unwritten: dict[str, datetime.datetime] = {}
        quarantine.on_quarantined(self._unwritten.__setitem__)

    async def run(self):
        next_read = self._clock.monotonic()
        while True:
            await self.write_once()
            if self._clock.monotonic() >= next_read:
                await self.read_once()
                jitter = self._rng.uniform(0.5, 1.5)
                next_read = self._clock.monotonic() + seconds(READ_INTERVAL_SECONDS * jitter)
            await self._clock.sleep(WRITE_INTERVAL)

    async def write_once(self) -> None:
        """Writes the entries that are not in the table yet; failed writes are retried later."""
        pending = dict(self._unwritten)
        if not pending:
            return
        writes = tuple(
            Write(TABLE, content_hash, end.timestamp()) for content_hash, end in pending.items()
        )
        outcome = await self._tables.transact(writes)
        if not isinstance(outcome, Ok):
            self._metrics.count("conviction_write_failures")
            return
        for content_hash, end in pending.items():
            if self._unwritten.get(content_hash) == end:
                del self._unwritten[content_hash]

    async def read_once(self) -> None:
        """Reads all rows, and removes those that are expired or unreadable."""
        outcome = await self._tables.scan(TABLE, limit=MAX_ROWS)
        if not isinstance(outcome, Ok):
            self._metrics.count("conviction_read_failures")
            return
        now = self._clock.now()
        ends = {row.key: _quarantine_end(row) for row in outcome.value}
        live = {
            content_hash: end for content_hash, end in ends.items() if end is not None and end > now
        }
        self._quarantine.merge(live, {}, SOURCE)
        expired = tuple(
            Write(TABLE, row.key, None, row.version) for row in outcome.value if row.key not in live
        )
        if expired:
            await self._tables.transact(expired)


def _quarantine_end(row: Row) -> datetime.datetime | None:
    """Returns the end of the quarantine that a row holds, None if it is unreadable."""
    try:
        return datetime.datetime.fromtimestamp(row.value, datetime.UTC)
    except (TypeError, ValueError, OverflowError, OSError):
        return None
