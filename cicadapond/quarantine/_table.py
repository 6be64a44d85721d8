"""Keeps convictions in the table service, so that they outlive the processes that know them."""

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


class ConvictionTable(Task):
    """Writes this process's convictions, and reads all of them at the start and now and then.

    An outage delays both and loses neither; digests carry convictions meanwhile.

    Args:
      quarantine: What this process knows.
      tables: The table service.
      clock: Gives the time.
      metrics: Takes counts.
      rng: Spreads the reads of many processes.
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
        quarantine.on_convicted(self._unwritten.__setitem__)

    async def run(self):
        next_read = self._clock.monotonic()
        while True:
            await self.write_once()
            if self._clock.monotonic() >= next_read:
                await self.read_once()
                spread = self._rng.uniform(0.5, 1.5)
                next_read = self._clock.monotonic() + seconds(READ_INTERVAL_SECONDS * spread)
            await self._clock.sleep(WRITE_INTERVAL)

    async def write_once(self) -> None:
        """Writes the convictions that are not in the table yet; what fails stays for later."""
        taken = dict(self._unwritten)
        if not taken:
            return
        writes = tuple(Write(TABLE, body, end.timestamp()) for body, end in taken.items())
        outcome = await self._tables.transact(writes)
        if not isinstance(outcome, Ok):
            self._metrics.count("conviction_write_failures")
            return
        for body, end in taken.items():
            if self._unwritten.get(body) == end:
                del self._unwritten[body]

    async def read_once(self) -> None:
        """Reads all convictions, and removes those that are over."""
        outcome = await self._tables.scan(TABLE, limit=MAX_ROWS)
        if not isinstance(outcome, Ok):
            self._metrics.count("conviction_read_failures")
            return
        now = self._clock.now()
        ends = {row.key: _end(row) for row in outcome.value}
        live = {body: end for body, end in ends.items() if end is not None and end > now}
        self._quarantine.merge(live, {}, SOURCE)
        over = tuple(
            Write(TABLE, row.key, None, row.version) for row in outcome.value if row.key not in live
        )
        if over:
            await self._tables.transact(over)


def _end(row: Row) -> datetime.datetime | None:
    """Returns the end that a row names, None if it names none."""
    try:
        return datetime.datetime.fromtimestamp(row.value, datetime.UTC)
    except (TypeError, ValueError, OverflowError, OSError):
        return None
