"""Removes expired rows of a table, one page at a time, so that the table stays small."""

import collections.abc
import datetime
import random

import attrs

from cicadapond.kernel import Clock, Metrics, Ok, Task
from cicadapond.provider._api import ObjectStore, Row, TableService, Write

JITTER_SHARE = 0.5


@attrs.frozen
class SweepPlan:
    """What to remove from a table.

    Attributes:
      table: The table.
      expires: Returns when a row may be removed; None keeps it.
      object_name: Returns the name of the object that belongs to a row, or None.
      interval: The time between two pages in one process, before jitter.
      page: The number of rows in a page.
    """

    table: str
    expires: collections.abc.Callable[[Row], datetime.datetime | None]
    object_name: collections.abc.Callable[[Row], str | None]
    interval: datetime.timedelta
    page: int


class TableSweep(Task):
    """Scans a table page by page and removes the expired rows if they are still as read.

    Args:
      plan: What to remove.
      tables: The table service, in the class of the lowest precedence.
      objects: The object store, or None.
      clock: The clock.
      metrics: Counts removed rows.
      rng: Source of jitter, so that the processes' sweeps do not coincide.
    """

    def __init__(
        self,
        plan: SweepPlan,
        tables: TableService,
        objects: ObjectStore | None,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
    ):
        self.name = f"sweep-{plan.table}"
        self._plan = plan
        self._tables = tables
        self._objects = objects
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._after = ""

    async def run(self):
        while True:
            jitter = 1 + JITTER_SHARE * self._rng.random()
            await self._clock.sleep(self._plan.interval * jitter)
            await self.sweep_page()

    async def sweep_page(self) -> int:
        """Removes the expired rows of the next page.

        Returns:
          The number of rows removed.
        """
        plan = self._plan
        page = await self._tables.scan(plan.table, after=self._after, limit=plan.page)
        if not isinstance(page, Ok):
            return 0
        full = len(page.value) == plan.page
        self._after = page.value[-1].key if full else ""
        expired = [row for row in page.value if self._is_expired(row)]
        return await self._remove(expired) if expired else 0

    def _is_expired(self, row):
        expires = self._plan.expires(row)
        return expires is not None and expires < self._clock.now()

    async def _remove(self, rows):
        writes = tuple(Write(row.table, row.key, None, row.version) for row in rows)
        if not isinstance(await self._tables.transact(writes), Ok):
            return 0
        self._metrics.count("rows_expired", len(rows), table=self._plan.table)
        for name in filter(None, map(self._plan.object_name, rows)):
            if self._objects is not None:
                await self._objects.delete(name)
        return len(rows)
