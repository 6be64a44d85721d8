"""Prefix cache of a simulated engine, with least-recently-used eviction and cache events."""

import collections
import datetime
import random

from cicadapond.data import PREFIX_BLOCK_TOKENS, CacheEvent

MAX_KEPT_EVENTS = 10_000


class PrefixCache:
    """A bounded cache of prefix blocks.

    Args:
      limit: The largest number of blocks.
      lag: The delay until an event is published.
      gap_share: The share of events that are never published.
      rng: Chooses the unpublished events.
    """

    def __init__(self, limit: int, lag: datetime.timedelta, gap_share: float, rng: random.Random):
        self._limit = limit
        self._lag = lag
        self._gap_share = gap_share
        self._rng = rng
        self._blocks = collections.OrderedDict()
        self._events = collections.deque(maxlen=MAX_KEPT_EVENTS)
        self._number = 0

    def __len__(self):
        return len(self._blocks)

    @property
    def used_share(self) -> float:
        """The share of the memory in use."""
        return len(self._blocks) / self._limit if self._limit else 0.0

    def match(self, blocks: tuple[int, ...]) -> int:
        """Returns how many tokens of a prefix are cached, and marks their blocks as used."""
        found = 0
        for block in blocks:
            if block not in self._blocks:
                break
            found += 1
        for block in reversed(blocks[:found]):
            self._blocks.move_to_end(block)
        return found * PREFIX_BLOCK_TOKENS

    def store(self, blocks: tuple[int, ...], now: datetime.timedelta) -> None:
        """Adds blocks, and evicts the least recently used ones over the limit.

        The first blocks of a prefix are touched last, so that its end is evicted first.
        """
        for block in reversed(blocks[: self._limit]):
            if block not in self._blocks:
                self._publish(block, True, now)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._limit:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish(evicted, False, now)

    def clear(self, now: datetime.timedelta) -> None:
        """Drops all blocks."""
        for block in self._blocks:
            self._publish(block, False, now)
        self._blocks.clear()

    def events(self, after: int, now: datetime.timedelta) -> tuple[CacheEvent, ...]:
        """Returns the published events numbered above `after`."""
        return tuple(
            event for at, event in self._events if event.number > after and at + self._lag <= now
        )

    def _publish(self, block, stored, now):
        self._number += 1
        if self._rng.random() >= self._gap_share:
            self._events.append((now, CacheEvent(self._number, stored, block)))
