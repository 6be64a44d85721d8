"""Copies of a table that one process of a data centre reads from the store for the others.

On a large deployment most calls to the store would bring the same rows to each process.  Two
processes of a data centre read a table; each tells its neighbours what changed and at which
reading of the store's clock its copy was current.  A process that hears nothing in time, or
that lacks an earlier change, asks the store itself.
"""

import abc
import asyncio
import collections
import contextlib
import datetime

import attrs

from cicadapond.kernel import Clock
from cicadapond.provider import Changes, RawRow

# For how long a change is told again, for those that have missed it once.
RESEND_PERIOD = datetime.timedelta(seconds=3)
# The most that the changes told at once may take; a message between processes holds 64 KB.
MAX_COPY_BYTES = 6 * 1024
ROW_OVERHEAD_BYTES = 16
_MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.frozen
class SharedCopy:
    """What a process tells of its copy of a table.

    Attributes:
      version: The version of the table service up to which the copy is complete.
      floor: The rows are all that changed above this version.
      service_time: The table service's steady clock when the copy was current.
      rows: The changed rows, in order of their versions.
    """

    version: int
    floor: int
    service_time: datetime.timedelta
    rows: tuple[RawRow, ...] = ()

    def as_list(self) -> list:
        """Returns the copy as it travels between processes."""
        rows = [[row.key, row.version, row.value] for row in self.rows]
        return [self.version, self.floor, self.service_time // _MILLISECOND, rows]


def read_copy(value: list) -> SharedCopy | None:
    """Returns the copy that a process told, None for what is not one."""
    try:
        version, floor, service_ms, rows = value
        found = tuple(RawRow(*row) for row in rows)
        return SharedCopy(int(version), int(floor), service_ms * _MILLISECOND, found)
    except (TypeError, ValueError):
        return None


class RecentChanges:
    """Keeps the changes of a table that are worth telling.

    Args:
      clock: Gives the time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._floor = 0
        self._recent: collections.OrderedDict[str, tuple[RawRow, datetime.timedelta]] = (
            collections.OrderedDict()
        )

    def update(self, changes: Changes, is_snapshot: bool) -> SharedCopy:
        """Takes what the store answered; returns what to tell of the copy."""
        now = self._clock.monotonic()
        if is_snapshot:
            self._recent.clear()
            self._floor = changes.version
        else:
            for row in sorted(changes.rows, key=lambda row: row.version):
                self._recent.pop(row.key, None)
                self._recent[row.key] = (row, now)
        while self._recent and self._must_drop(now):
            _, (row, _) = self._recent.popitem(last=False)
            self._floor = max(self._floor, row.version)
        rows = tuple(row for row, _ in self._recent.values())
        return SharedCopy(changes.version, self._floor, changes.service_time, rows)

    def _must_drop(self, now):
        _, since = next(iter(self._recent.values()))
        return now - since > RESEND_PERIOD or self._size() > MAX_COPY_BYTES

    def _size(self):
        return sum(
            len(row.key) + len(row.value or b"") + ROW_OVERHEAD_BYTES
            for row, _ in self._recent.values()
        )


class CopyGroup(abc.ABC):
    """The processes that share copies of tables."""

    @abc.abstractmethod
    def is_reader(self, table: str) -> bool:
        """Returns whether this process is to read a table from the store."""

    @abc.abstractmethod
    def has_receivers(self, table: str) -> bool:
        """Returns whether other processes rely on those that read a table."""

    @abc.abstractmethod
    def publish_copy(self, table: str, copy: SharedCopy) -> None:
        """Tells the neighbours of this process's copy."""

    @abc.abstractmethod
    async def receive_copy(self, table: str, limit: datetime.timedelta) -> SharedCopy | None:
        """Waits for a copy that another process tells; None if none comes in time."""


class NoSharing(CopyGroup):
    """A process that shares with nobody."""

    def is_reader(self, table):
        return True

    def has_receivers(self, table):
        return False

    def publish_copy(self, table, copy):
        return None

    async def receive_copy(self, table, limit):
        return None


class CopyInbox:
    """Copies that were heard, until the follower of their table takes them."""

    CAPACITY = 16

    def __init__(self):
        self._copies: collections.deque[SharedCopy] = collections.deque(maxlen=self.CAPACITY)
        self._has_copies = asyncio.Event()

    def put(self, copy: SharedCopy) -> None:
        """Adds a copy; the oldest goes when there are too many."""
        self._copies.append(copy)
        self._has_copies.set()

    async def get(self, limit: datetime.timedelta) -> SharedCopy | None:
        """Returns the oldest copy, None if none comes in time."""
        if not self._copies:
            self._has_copies.clear()
            with contextlib.suppress(TimeoutError):  # the ordinary end of the wait
                async with asyncio.timeout(limit.total_seconds()):
                    await self._has_copies.wait()
        return self._copies.popleft() if self._copies else None
