"""Keeps the instants at which leaving servers end, as their notices tell; no I/O.

It handles the withdrawal of many servers at once with a few seconds' notice.
"""

import datetime

from cicadapond.kernel import Clock
from cicadapond.serving import ServerEntry


class LeavingNotices:
    """The notices of servers that leave.

    Args:
      clock: Gives the time.
      planned: How long a leaving server that states no end serves at least.
    """

    def __init__(self, clock: Clock, planned: datetime.timedelta):
        self._clock = clock
        self._planned = planned
        # By start of a server: the monotonic instant at which it ends.
        self._ends: dict[str, datetime.timedelta] = {}

    def record(self, entry: ServerEntry) -> None:
        """Records a new entry of a server, with or without a notice."""
        if not entry.is_leaving:
            self._ends.pop(entry.start, None)
            return
        left = entry.left if entry.left is not None else self._planned
        end = self._clock.monotonic() + left
        # An entry that is written again may repeat the time that was left at first.
        self._ends[entry.start] = min(end, self._ends.get(entry.start, end))

    def remove(self, entry: ServerEntry) -> None:
        """Drops the notice of a server that is gone."""
        self._ends.pop(entry.start, None)

    def time_left(self, entry: ServerEntry) -> datetime.timedelta | None:
        """Returns how long a leaving server still runs, None if it does not leave.

        The time is negative once the server should have ended.
        """
        end = self._ends.get(entry.start)
        return end - self._clock.monotonic() if end is not None else None
