"""Tells which owners are dead, from reads of their rows and this process's own clock alone."""

import collections.abc
import datetime

import attrs

from cicadapond.journal._rows import OwnerRow, owner_process

GONE_INTERVALS = 2  # of silence, for an owner that membership says is dead


@attrs.frozen
class _Seen:
    version: int
    since: datetime.timedelta


class OwnerWatch:
    """An owner is dead once its row has not changed for several of its own intervals.

    Wall clocks play no part.  Time in which the rows could not be read does not count: during an
    outage of the storage no owner can write.

    Args:
      silent_intervals: After how many intervals without a write an owner is dead.
      longest_gap: The longest time between two reads that still counts as watching.
    """

    def __init__(self, silent_intervals: int, longest_gap: datetime.timedelta):
        self._silent_intervals = silent_intervals
        self.longest_gap = longest_gap
        self._seen: dict[str, _Seen] = {}
        self._last: datetime.timedelta | None = None

    def missed(self) -> None:
        """Takes note of a read that failed."""
        self._seen.clear()

    def observe(
        self,
        rows: collections.abc.Mapping[str, tuple[int, OwnerRow]],
        now: datetime.timedelta,
        gone: collections.abc.Container[str] = frozenset(),
    ) -> list[str]:
        """Takes a read of all owners.

        Args:
          rows: Version and row by owner id.
          now: The monotonic instant at which the read was begun.
          gone: Processes that membership says are dead.  It may be wrong, as when data centres
            are cut off from each other, so that their owners must be silent as well, for less.

        Returns:
          The ids of the owners that are dead or fenced.
        """
        if self._last is not None and now - self._last > self.longest_gap:
            self.missed()
        self._last = now
        self._seen = {
            owner: self._update(owner, version, now) for owner, (version, _) in rows.items()
        }
        return [owner for owner, (_, row) in rows.items() if self._is_dead(owner, row, now, gone)]

    def _update(self, owner, version, now):
        seen = self._seen.get(owner)
        return seen if seen is not None and seen.version == version else _Seen(version, now)

    def _is_dead(self, owner, row, now, gone):
        intervals = GONE_INTERVALS if owner_process(owner) in gone else self._silent_intervals
        return row.fenced or now - self._seen[owner].since >= intervals * row.interval
