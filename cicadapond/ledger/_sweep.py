"""Removes expired rows, a page at a time, so that the table stays small."""

import random

from cicadapond.kernel import Clock, Metrics, Ok, Task
from cicadapond.ledger._row import TABLE, decode_row
from cicadapond.ledger._settings import LedgerSettings
from cicadapond.platform import ObjectStore, TableService, Write

JITTER_SHARE = 0.5


class LedgerSweep(Task):
    """Walks the table page by page and removes what is expired, each row as it was read.

    Args:
      tables: The table service, in a class that yields to all else.
      objects: The object store, or None.
      cfg: The settings.
      clock: Gives the time.
      metrics: Takes counts.
      rng: Spreads the processes' sweeps.
    """

    name = "ledger-sweep"

    def __init__(
        self,
        tables: TableService,
        objects: ObjectStore | None,
        cfg: LedgerSettings,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
    ):
        self._tables = tables
        self._objects = objects
        self._cfg = cfg
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._after = ""

    async def run(self):
        while True:
            jitter = 1 + JITTER_SHARE * self._rng.random()
            await self._clock.sleep(self._cfg.sweep_interval * jitter)
            await self.sweep_page()

    async def sweep_page(self) -> int:
        """Removes the expired rows of the next page.

        Returns:
          How many were removed.
        """
        page = await self._tables.scan(TABLE, after=self._after, limit=self._cfg.sweep_page)
        if not isinstance(page, Ok):
            return 0
        full = len(page.value) == self._cfg.sweep_page
        self._after = page.value[-1].key if full else ""
        now = self._clock.now()
        expired = [row for row in page.value if decode_row(row).expires < now]
        return await self._remove(expired) if expired else 0

    async def _remove(self, rows):
        writes = tuple(Write(TABLE, row.key, None, row.version) for row in rows)
        if not isinstance(await self._tables.transact(writes), Ok):
            return 0
        self._metrics.count("ledger_rows_expired", len(rows))
        for row in rows:
            name = decode_row(row).answer_object
            if name is not None and self._objects is not None:
                await self._objects.delete(name)
        return len(rows)
