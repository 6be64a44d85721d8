"""Finds the unfinished requests of dead owners, and removes owners that have none left."""

import collections.abc
import datetime
import random

import attrs
import msgpack

from cicadapond.journal._reader import read_request, read_tokens, scan_all
from cicadapond.journal._rows import (
    OPEN,
    OWNERS,
    SEGMENTS,
    DurableText,
    RequestRow,
    RequestState,
    decode_owner,
    decode_request,
    encode_owner,
)
from cicadapond.journal._settings import JournalSettings
from cicadapond.journal._watch import OwnerWatch
from cicadapond.kernel import Clock, Ok
from cicadapond.provider import ObjectStore, TableService, Write

MAX_GAP_INTERVALS = 4  # scan intervals
MAX_DELETES_PER_BATCH = 100


@attrs.frozen
class Orphan:
    """An unfinished request whose owner is fenced.

    Attributes:
      row: The row to write on adoption.
      tokens: Its durable tokens.
      row_version: The row's current version.
      previous: The fenced owner's id.
    """

    row: RequestRow
    tokens: tuple[str, ...]
    row_version: int
    previous: str


class Adopter:
    """Scans for dead owners, fences them and reads their unfinished requests.

    Args:
      tables: The table service.
      objects: The object store, or None.
      cfg: The settings.
      clock: Gives the time.
      rng: Chooses owners and requests at random, so that processes seldom claim the same ones.
    """

    def __init__(
        self,
        tables: TableService,
        objects: ObjectStore | None,
        cfg: JournalSettings,
        clock: Clock,
        rng: random.Random,
    ):
        self._tables = tables
        self._objects = objects
        self._cfg = cfg
        self._clock = clock
        self._rng = rng
        self._watch = OwnerWatch(cfg.silent_intervals, MAX_GAP_INTERVALS * cfg.adopt_interval)

    async def find_orphans(
        self,
        own_id: str,
        capacity: int,
        interval: datetime.timedelta,
        dead_processes: collections.abc.Container[str],
    ) -> list[Orphan]:
        """Scans all owners once.

        Args:
          own_id: This process's owner id, which is skipped.
          capacity: How many more requests this process can own.
          interval: The time between two scans.
          dead_processes: Processes that membership reports dead.

        Returns:
          Requests that this process may claim; another process may claim them first.
        """
        self._watch.max_gap = MAX_GAP_INTERVALS * interval
        read_at = self._clock.monotonic()
        rows = await scan_all(self._tables, OWNERS, "")
        if not isinstance(rows, Ok):
            self._watch.reset()
            return []
        owners = {row.key: (row.version, decode_owner(row)) for row in rows.value}
        owners.pop(own_id, None)
        dead = self._watch.observe(owners, read_at, dead_processes)
        self._rng.shuffle(dead)
        orphans = []
        for owner in dead:
            remaining = min(capacity, self._cfg.adopt_batch) - len(orphans)
            if remaining > 0 and await self._fence(owner, *owners[owner]):
                orphans.extend(await self._read_orphans(owner, remaining))
        return orphans

    async def _fence(self, owner, row_version, row):
        if row.fenced:
            return True
        fenced = encode_owner(attrs.evolve(row, fenced=True))
        outcome = await self._tables.transact((Write(OWNERS, owner, fenced, row_version),))
        return isinstance(outcome, Ok)  # after AnswerLost, the next scan shows the result

    async def _read_orphans(self, owner, limit):
        prefix = f"{owner}/"
        found = await scan_all(self._tables, OPEN, prefix)
        if not isinstance(found, Ok):
            return []
        if not found.value:
            await self._remove_owner(owner)
            return []
        chosen = self._rng.sample(found.value, min(limit, len(found.value)))
        segments = await scan_all(self._tables, SEGMENTS, prefix)
        if not isinstance(segments, Ok):
            return []
        ids = [row.key.removeprefix(prefix) for row in chosen]
        orphans = [await self._read_orphan(owner, request_id, segments.value) for request_id in ids]
        return [orphan for orphan in orphans if orphan is not None]

    async def _read_orphan(self, owner, request_id, segments):
        outcome = await read_request(self._tables, request_id)
        row = decode_request(outcome.value) if isinstance(outcome, Ok) else None
        if row is None or row.owner != owner or row.state is not RequestState.OPEN:
            return None
        base = await read_tokens(self._objects, row)
        if not isinstance(base, Ok):
            return None
        text = DurableText(list(base.value), row.version)
        for segment in segments:
            text.extend(segment, request_id)
        tokens = tuple(text.tokens)
        row = await self._next_epoch(attrs.evolve(row, version=text.version), tokens)
        if row is None:
            return None
        return Orphan(row, tokens, outcome.value.version, owner)

    async def _next_epoch(self, row, tokens):
        row = attrs.evolve(row, epoch=row.epoch + 1, tokens=tokens, tokens_object=None)
        if self._objects is None or sum(map(len, tokens)) <= self._cfg.value_limit:
            return row
        name = f"journal/{row.request.request_id}/base-{row.epoch}"
        outcome = await self._objects.put(name, msgpack.packb(tokens))
        if not isinstance(outcome, Ok):
            return None
        return attrs.evolve(row, tokens=(), tokens_object=name)

    async def _remove_owner(self, owner):
        """Removes a fenced owner that has no open requests, after its segments."""
        segments = await scan_all(self._tables, SEGMENTS, f"{owner}/")
        if not isinstance(segments, Ok):
            return
        keys = [row.key for row in segments.value]
        for start in range(0, len(keys), MAX_DELETES_PER_BATCH):
            writes = tuple(
                Write(SEGMENTS, k, None) for k in keys[start : start + MAX_DELETES_PER_BATCH]
            )
            if not isinstance(await self._tables.transact(writes), Ok):
                return
        await self._tables.transact((Write(OWNERS, owner, None),))
