"""Detects dead owners by reading their rows, timed by this process's own monotonic clock."""

import collections.abc
import datetime

import attrs

from cicadapond.journal._rows import OwnerRow, owner_process

# An owner whose process is dead according to membership counts as dead after this many of its own
# write intervals without a write.
DEAD_PROCESS_INTERVALS = 2


@attrs.frozen
class _LastChange:
    version: int
    since: datetime.timedelta


class OwnerWatch:
    """Considers an owner dead once its row has not changed for several of its own intervals.

    Wall clocks are not used.  Time in which the rows could not be read does not count, because no
    owner can write during an outage of the storage.

    Args:
      silent_intervals: The number of intervals without a write after which an owner is dead.
      max_gap: The maximum time between two reads; after a longer one, observation starts anew.
    """

    def __init__(self, silent_intervals: int, max_gap: datetime.timedelta):
        self._silent_intervals = silent_intervals
        self.max_gap = max_gap
        self._last_changes: dict[str, _LastChange] = {}
        self._last_read_at: datetime.timedelta | None = None

    def reset(self) -> None:
        """Discards all observations, after a failed read or too long a gap between reads."""
        self._last_changes.clear()

    def observe(
        self,
        rows: collections.abc.Mapping[str, tuple[int, OwnerRow]],
        now: datetime.timedelta,
        dead_processes: collections.abc.Container[str] = frozenset(),
    ) -> list[str]:
        """Records the owners' rows and returns the owners whose requests may be adopted.

        Args:
          rows: Version and row by owner id.
          now: The monotonic instant at which the read started.
          dead_processes: Processes that membership reports dead.  The report may be wrong, as in
            a partition between data centres, so their owners must also have stopped writing,
            but for fewer intervals.

        Returns:
          The ids of the owners that are dead or fenced.
        """
        if self._last_read_at is not None and now - self._last_read_at > self.max_gap:
            self.reset()
        self._last_read_at = now
        self._last_changes = {
            owner: self._update(owner, version, now) for owner, (version, _) in rows.items()
        }
        return [
            owner
            for owner, (_, row) in rows.items()
            if self._is_dead(owner, row, now, dead_processes)
        ]

    def _update(self, owner, version, now):
        last = self._last_changes.get(owner)
        return last if last is not None and last.version == version else _LastChange(version, now)

    def _is_dead(self, owner, row, now, dead_processes):
        silent_intervals = (
            DEAD_PROCESS_INTERVALS
            if owner_process(owner) in dead_processes
            else self._silent_intervals
        )
        return (
            row.fenced or now - self._last_changes[owner].since >= silent_intervals * row.interval
        )
