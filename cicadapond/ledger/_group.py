"""Group commit: rows collected over a few milliseconds are written in one transaction.

A transaction is atomic: if the conditions of some rows fail, those rows get a Conflict and the
others are sent again without them.
"""

import abc
import asyncio

import attrs

from cicadapond.kernel import AnswerLost, Conflict, Metrics, Ok, Unavailable
from cicadapond.provider import Row, TableService, Write


@attrs.define
class _PendingRequest:
    request: object
    future: asyncio.Future


class _Group(abc.ABC):
    """Collects requests for an interval and sends them as one batch."""

    def __init__(self, interval, limit):
        self._interval_seconds = interval.total_seconds()
        self._limit = limit
        self._pending: list[_PendingRequest] = []
        self._timer = None
        self._in_flight = {}

    async def submit(self, request):
        """Sends a request as part of a batch and returns its outcome."""
        loop = asyncio.get_running_loop()
        item = _PendingRequest(request, loop.create_future())
        if any(self._conflicts(request, pending.request) for pending in self._pending):
            self._flush()
        self._pending.append(item)
        if len(self._pending) >= self._limit:
            self._flush()
        elif self._timer is None:
            self._timer = loop.call_later(self._interval_seconds, self._flush)
        return await item.future

    def close(self):
        """Stops the timer and cancels the batches in flight; queued requests are not sent."""
        if self._timer is not None:
            self._timer.cancel()
        for task in tuple(self._in_flight):
            task.cancel()

    def _conflicts(self, request, pending):
        return False

    def _flush(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        items, self._pending = self._pending, []
        if items:
            task = asyncio.ensure_future(self._send_or_fail(items))
            self._in_flight[task] = items
            task.add_done_callback(self._in_flight.pop)

    async def _send_or_fail(self, items):
        try:
            await self._send(items)
        except Exception:
            _resolve_all(
                items, lambda item: AnswerLost("the table service client raised an exception")
            )
            raise

    @abc.abstractmethod
    async def _send(self, items):
        """Sends one batch and resolves the future of each item."""


class GroupWriter(_Group):
    """Writes rows in batches.

    Args:
      tables: The table service.
      interval: How long rows are collected.
      limit: Maximum number of rows in one transaction.
      metrics: Receives the counters.
    """

    def __init__(self, tables: TableService, interval, limit: int, metrics: Metrics):
        super().__init__(interval, limit)
        self._tables = tables
        self._metrics = metrics

    async def put(self, write: Write) -> Ok[int] | Conflict | Unavailable | AnswerLost:
        """Writes one row; returns Ok with its new version."""
        return await self.submit(write)

    def _conflicts(self, request, pending):
        return (request.table, request.key) == (pending.table, pending.key)

    async def _send(self, items):
        while items:
            self._metrics.count("group_commits")
            self._metrics.count("group_commit_rows", len(items))
            outcome = await self._tables.transact(tuple(item.request for item in items))
            match outcome:
                case Ok(versions):
                    _resolve_all(items, lambda item: Ok(versions[_key(item)]))
                    return
                case Conflict(current):
                    failed = [item for item in items if _key(item) in current]
                    items = [item for item in items if _key(item) not in current]
                    _resolve_all(failed, lambda item: Conflict({_key(item): current[_key(item)]}))
                case failure:
                    _resolve_all(items, lambda item, failure=failure: failure)
                    return


class GroupReader(_Group):
    """Reads rows in batches.

    Args:
      tables: The table service.
      interval: How long keys are collected.
      limit: Maximum number of rows in one read.
    """

    def __init__(self, tables: TableService, interval, limit: int):
        super().__init__(interval, limit)
        self._tables = tables

    async def get(self, table: str, key: str) -> Ok[Row] | Unavailable:
        """Reads one row."""
        return await self.submit((table, key))

    async def _send(self, items):
        keys = tuple(dict.fromkeys(item.request for item in items))
        outcome = await self._tables.read(keys)
        if isinstance(outcome, Ok):
            _resolve_all(items, lambda item: Ok(outcome.value[item.request]))
        else:
            _resolve_all(items, lambda item: outcome)


def _key(item):
    return item.request.table, item.request.key


def _resolve_all(items, make_outcome):
    for item in items:
        if not item.future.done():
            item.future.set_result(make_outcome(item))
