"""Group commit: rows of some milliseconds go to the table service in one transaction.

A transaction takes effect whole or not at all, so the rows whose condition fails are told so and
the others go again without them.
"""

import abc
import asyncio

import attrs

from cicadapond.kernel import AnswerLost, Conflict, Metrics, Ok, Unavailable
from cicadapond.provider import Row, TableService, Write


@attrs.define
class _Item:
    request: object
    answer: asyncio.Future


class _Group(abc.ABC):
    """Collects requests for an interval and sends them together."""

    def __init__(self, interval, limit):
        self._interval_seconds = interval.total_seconds()
        self._limit = limit
        self._items: list[_Item] = []
        self._timer = None
        self._sends = {}

    async def ask(self, request):
        """Returns the outcome of one request, sent with others."""
        loop = asyncio.get_running_loop()
        item = _Item(request, loop.create_future())
        if any(self._clashes(request, waiting.request) for waiting in self._items):
            self._send_now()
        self._items.append(item)
        if len(self._items) >= self._limit:
            self._send_now()
        elif self._timer is None:
            self._timer = loop.call_later(self._interval_seconds, self._send_now)
        return await item.answer

    def close(self):
        """Drops what waits and no longer waits for what was sent."""
        if self._timer is not None:
            self._timer.cancel()
        for send in tuple(self._sends):
            send.cancel()

    def _clashes(self, request, waiting):
        return False

    def _send_now(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        items, self._items = self._items, []
        if items:
            send = asyncio.ensure_future(self._guarded(items))
            self._sends[send] = items
            send.add_done_callback(self._sends.pop)

    async def _guarded(self, items):
        try:
            await self._send(items)
        except Exception:
            _answer_all(items, lambda item: AnswerLost("the client failed"))
            raise

    @abc.abstractmethod
    async def _send(self, items):
        """Sends one group and answers each of its items."""


class GroupWriter(_Group):
    """Writes rows in groups.

    Args:
      tables: The table service.
      interval: How long rows are collected.
      limit: How many rows go together at most.
      metrics: Takes counts.
    """

    def __init__(self, tables: TableService, interval, limit: int, metrics: Metrics):
        super().__init__(interval, limit)
        self._tables = tables
        self._metrics = metrics

    async def put(self, write: Write) -> Ok[int] | Conflict | Unavailable | AnswerLost:
        """Writes one row; Ok has its new version."""
        return await self.ask(write)

    def _clashes(self, request, waiting):
        return (request.table, request.key) == (waiting.table, waiting.key)

    async def _send(self, items):
        while items:
            self._metrics.count("group_commits")
            self._metrics.count("group_commit_rows", len(items))
            outcome = await self._tables.transact(tuple(item.request for item in items))
            match outcome:
                case Ok(versions):
                    _answer_all(items, lambda item: Ok(versions[_key(item)]))
                    return
                case Conflict(current):
                    failed = [item for item in items if _key(item) in current]
                    items = [item for item in items if _key(item) not in current]
                    _answer_all(failed, lambda item: Conflict({_key(item): current[_key(item)]}))
                case failure:
                    _answer_all(items, lambda item, failure=failure: failure)
                    return


class GroupReader(_Group):
    """Reads rows in groups.

    Args:
      tables: The table service.
      interval: How long keys are collected.
      limit: How many rows are read together at most.
    """

    def __init__(self, tables: TableService, interval, limit: int):
        super().__init__(interval, limit)
        self._tables = tables

    async def get(self, table: str, key: str) -> Ok[Row] | Unavailable:
        """Reads one row."""
        return await self.ask((table, key))

    async def _send(self, items):
        keys = tuple(dict.fromkeys(item.request for item in items))
        outcome = await self._tables.read(keys)
        if isinstance(outcome, Ok):
            _answer_all(items, lambda item: Ok(outcome.value[item.request]))
        else:
            _answer_all(items, lambda item: outcome)


def _key(item):
    return item.request.table, item.request.key


def _answer_all(items, answer):
    for item in items:
        if not item.answer.done():
            item.answer.set_result(answer(item))
