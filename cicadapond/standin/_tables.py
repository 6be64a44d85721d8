"""Simulated table service, without HTTP: rows, conditional writes, rate limits and faults."""

import asyncio
import bisect
import copy
import random

import attrs
import msgpack

from cicadapond.kernel import Clock, Conflict, Ok, Unavailable
from cicadapond.provider import Row, TableService, Write, version_in_era
from cicadapond.standin._faults import StorageServer, StorageTiming


@attrs.define
class _Table:
    """One table: (version, packed value) by key, and the sorted keys."""

    rows: dict[str, tuple[int, bytes]] = attrs.field(factory=dict)
    keys: list[str] = attrs.field(factory=list)


class TableModel:
    """A simulated table service, shared by all its clients.

    Versions increase over all tables, so that a row that is deleted and created again never has a
    version that it had before.

    Args:
      clock: Gives the time.
      rng: Decides jitter and losses.
      timing: Latency and rate limits.
    """

    def __init__(
        self, clock: Clock, rng: random.Random, timing: StorageTiming | None = None
    ) -> None:
        self.server = StorageServer(timing or StorageTiming(), clock, rng)
        self._tables: dict[str, _Table] = {}
        self._version = 0
        self._era = 0

    @property
    def faults(self):
        """The faults that are active now."""
        return self.server.faults

    def era(self) -> int:
        """Returns how often the service was restored."""
        return self._era

    @property
    def version(self) -> int:
        """The newest version."""
        return version_in_era(self._era, self._version)

    def take_copy(self):
        """Returns a copy of all rows, to restore the service from."""
        return copy.deepcopy(self._tables), self._version

    def restore(self, taken) -> None:
        """Goes back to a copy: what was written since is gone, and its versions are reused."""
        tables, self._version = taken
        self._tables = copy.deepcopy(tables)
        self._era += 1

    async def transact(self, writes: tuple[Write, ...]):
        """Serves a transaction with limits, latency and faults; outcomes as `TableService`."""
        cost = -(-len(writes) // self.server.timing.rows_per_write)
        return await self.server.write(cost, lambda: self.apply(writes))

    async def read(self, keys):
        """Serves a read with limits, latency and faults; outcomes as `TableService`."""
        return await self.server.read(1, lambda: Ok({key: self.row(*key) for key in keys}))

    async def scan(self, table, prefix, after, limit):
        """Serves a scan with limits, latency and faults; outcomes as `TableService`."""
        return await self.server.read(1, lambda: Ok(self.rows(table, prefix, after, limit)))

    def apply(self, writes: tuple[Write, ...]) -> Ok[dict] | Conflict:
        """Applies a transaction without latency or faults."""
        failed = {}
        for write in writes:
            row = self.row(write.table, write.key)
            if write.expected is not None and write.expected != row.version:
                failed[write.table, write.key] = row
        if failed:
            return Conflict(failed)
        self._version += 1
        return Ok({(write.table, write.key): self._put(write) for write in writes})

    def row(self, table: str, key: str) -> Row:
        """Returns the current row; version 0 and value None if it does not exist."""
        found = self._tables.get(table, _Table()).rows.get(key)
        if found is None:
            return Row(table, key, 0, None)
        version = version_in_era(self._era, found[0])
        return Row(table, key, version, msgpack.unpackb(found[1], strict_map_key=False))

    def rows(self, table: str, prefix: str = "", after: str = "", limit: int = 1000):
        """Returns the current rows of a table, ordered by key."""
        found = self._tables.get(table, _Table())
        start = bisect.bisect_left(found.keys, prefix)
        if after:
            start = max(start, bisect.bisect_right(found.keys, after))
        chosen = []
        for key in found.keys[start : start + limit]:
            if not key.startswith(prefix):
                break
            chosen.append(self.row(table, key))
        return tuple(chosen)

    def _put(self, write):
        if write.check_only:
            return self.row(write.table, write.key).version
        table = self._tables.setdefault(write.table, _Table())
        present = write.key in table.rows
        if write.value is None:
            if present:
                del table.rows[write.key]
                table.keys.pop(bisect.bisect_left(table.keys, write.key))
            return 0
        if not present:
            bisect.insort(table.keys, write.key)
        table.rows[write.key] = (self._version, msgpack.packb(write.value))
        return self.version


class DirectTables(TableService):
    """An in-process client of a `TableModel`.

    A request that its caller cancels is still served, as over a network.

    Args:
      model: The service.
    """

    def __init__(self, model: TableModel):
        self.model = model
        self.reachable = True

    def era(self):
        return self.model.era()

    async def transact(self, writes):
        return await self._send(self.model.transact(tuple(writes)))

    async def read(self, keys):
        return await self._send(self.model.read(tuple(keys)))

    async def scan(self, table, prefix="", after="", limit=1000):
        return await self._send(self.model.scan(table, prefix, after, limit))

    async def _send(self, request):
        if not self.reachable:
            request.close()
            return Unavailable("the table service cannot be reached from here")
        return await asyncio.shield(asyncio.ensure_future(request))
