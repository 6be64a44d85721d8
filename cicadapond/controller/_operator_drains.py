"""Drains that operators have ordered, one row each, until they cancel them.

They are stored in the table service, so that they survive a change of the active controller.
"""

import datetime

import attrs

from cicadapond.kernel import AnswerLost, Ok, Unavailable
from cicadapond.provider import TableService, Write

TABLE = "drains"
MAX_DRAINS = 1000


@attrs.frozen
class OperatorDrain:
    """An operator's order to drain a server."""

    server: str
    by: str
    since: datetime.datetime


class OperatorDrains:
    """The drains that operators have ordered.

    Args:
      tables: The table service.
    """

    def __init__(self, tables: TableService):
        self._tables = tables

    async def add(self, drain: OperatorDrain) -> Ok[dict] | Unavailable | AnswerLost:
        """Orders a drain; a repeated order updates only `by` and `since`."""
        value = {"by": drain.by, "since": drain.since.isoformat()}
        return await self._tables.transact((Write(TABLE, drain.server, value),))

    async def remove(self, server: str) -> Ok[dict] | Unavailable | AnswerLost:
        """Cancels a drain."""
        return await self._tables.transact((Write(TABLE, server),))

    async def list(self) -> Ok[tuple[OperatorDrain, ...]] | Unavailable:
        """Reads all drains that are in force."""
        outcome = await self._tables.scan(TABLE, limit=MAX_DRAINS)
        if not isinstance(outcome, Ok):
            return outcome
        return Ok(
            tuple(
                OperatorDrain(
                    row.key, row.value["by"], datetime.datetime.fromisoformat(row.value["since"])
                )
                for row in outcome.value
            )
        )
