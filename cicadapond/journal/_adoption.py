"""Finds the unfinished requests of dead owners, and clears up after owners that have none left."""

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

GAP_FACTOR = 4
DELETE_BATCH = 100


@attrs.frozen
class Orphan:
    """A request whose owner is fenced.

    Attributes:
      row: As it should stand once it is taken over.
      tokens: Its durable tokens.
      version: The version that the row has now.
      previous: The owner that has lost it.
    """

    row: RequestRow
    tokens: tuple[str, ...]
    version: int
    previous: str


class Adopter:
    """Looks for dead owners, fences them and reads what they left.

    Args:
      tables: The table service.
      objects: The object store, or None.
      cfg: The settings.
      clock: Gives the time.
      rng: Spreads the processes over the requests.
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
        self._watch = OwnerWatch(cfg.silent_intervals, GAP_FACTOR * cfg.adopt_interval)

    async def find(
        self,
        own: str,
        room: int,
        pause: datetime.timedelta,
        gone: collections.abc.Container[str],
    ) -> list[Orphan]:
        """Looks once.

        Args:
          own: This process's owner id, which is left out.
          room: How many requests this process can take.
          pause: The time between two looks.
          gone: Processes that membership says are dead.

        Returns:
          Requests that this process may claim; others may claim them first.
        """
        self._watch.longest_gap = GAP_FACTOR * pause
        begun = self._clock.monotonic()
        rows = await scan_all(self._tables, OWNERS, "")
        if not isinstance(rows, Ok):
            self._watch.missed()
            return []
        owners = {row.key: (row.version, decode_owner(row)) for row in rows.value}
        owners.pop(own, None)
        dead = self._watch.observe(owners, begun, gone)
        self._rng.shuffle(dead)
        orphans = []
        for owner in dead:
            left = min(room, self._cfg.adopt_batch) - len(orphans)
            if left > 0 and await self._fence(owner, *owners[owner]):
                orphans.extend(await self._orphans(owner, left))
        return orphans

    async def _fence(self, owner, version, row):
        if row.fenced:
            return True
        fenced = encode_owner(attrs.evolve(row, fenced=True))
        outcome = await self._tables.transact((Write(OWNERS, owner, fenced, version),))
        return isinstance(outcome, Ok)  # lost: the next look sees whether it took effect

    async def _orphans(self, owner, limit):
        prefix = f"{owner}/"
        found = await scan_all(self._tables, OPEN, prefix)
        if not isinstance(found, Ok):
            return []
        if not found.value:
            await self._clear(owner)
            return []
        chosen = self._rng.sample(found.value, min(limit, len(found.value)))
        segments = await scan_all(self._tables, SEGMENTS, prefix)
        if not isinstance(segments, Ok):
            return []
        ids = [row.key.removeprefix(prefix) for row in chosen]
        orphans = [await self._orphan(owner, name, segments.value) for name in ids]
        return [orphan for orphan in orphans if orphan is not None]

    async def _orphan(self, owner, request_id, segments):
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

    async def _clear(self, owner):
        """Removes a fenced owner that has no open requests, its segments first."""
        segments = await scan_all(self._tables, SEGMENTS, f"{owner}/")
        if not isinstance(segments, Ok):
            return
        keys = [row.key for row in segments.value]
        for start in range(0, len(keys), DELETE_BATCH):
            writes = tuple(Write(SEGMENTS, k, None) for k in keys[start : start + DELETE_BATCH])
            if not isinstance(await self._tables.transact(writes), Ok):
                return
        await self._tables.transact((Write(OWNERS, owner, None),))
