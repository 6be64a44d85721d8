"""Sharing of table copies among the processes of a deployment.

In a large deployment most calls to the store would fetch the same rows for each process.
Instead, few processes read a table; each sends the others what changed and the time on the store's
clock at which its copy was current.  A process that receives nothing in time, or that has missed an
earlier change, calls the store itself.
"""

import abc
import asyncio
import collections
import contextlib
import datetime

import attrs

from cicadapond.kernel import Clock
from cicadapond.provider import Changes, RawRow, era_of, number_of, version_in_era

# How long a change is resent, for processes that missed a message; one that missed more calls the
# store.
RESEND_PERIOD = datetime.timedelta(milliseconds=600)
# The limits on the changes of one copy: on those that are resent, and on those sent once; a message
# between processes holds 64 KB.
MAX_COPY_BYTES = 3 * 1024
MAX_NEW_BYTES = 40 * 1024
# The limit on a whole table of a restored store; two tables that are sent at once fit in a message.
MAX_WHOLE_BYTES = 24 * 1024
ROW_OVERHEAD_BYTES = 16
# What a process keeps of each table for others that do not reach the store.
HISTORY_PERIOD = datetime.timedelta(seconds=60)
MAX_HISTORY_BYTES = 256 * 1024
# A process that reads nothing new for longer than a call takes does not reach the store either.
MAX_HISTORY_AGE = datetime.timedelta(seconds=4)
_MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.frozen
class CopyTimes:
    """When processes that share copies call the store.

    Attributes:
      reader_wait: How long the reader's call waits for a change.
      deputy_age: The age of a copy at which one process of each data centre reads for the others
        of it, because nothing comes from the reader.
      max_age: The age of its copy at which any process calls the store.
    """

    reader_wait: datetime.timedelta = datetime.timedelta(milliseconds=1000)
    deputy_age: datetime.timedelta = datetime.timedelta(milliseconds=1180)
    max_age: datetime.timedelta = datetime.timedelta(milliseconds=1400)


# The times as shares of the time for which a leaving server still accepts requests: a process must
# know of its leaving before.
READER_WAIT_SHARE = 0.33
DEPUTY_AGE_SHARE = 0.48
MAX_AGE_SHARE = 0.62


def copy_times(drain: datetime.timedelta) -> CopyTimes:
    """Returns the times, given how long a leaving server still accepts requests."""
    return CopyTimes(READER_WAIT_SHARE * drain, DEPUTY_AGE_SHARE * drain, MAX_AGE_SHARE * drain)


@attrs.frozen
class SharedCopy:
    """What a process sends of its copy of a table.

    Attributes:
      version: The version of the store, with its era, up to which the copy is complete.
      floor: The rows are all those that changed after this version.  The start of an era above 0
        stands for the whole table, as every row then has a version of that era.
      service_time: The store's monotonic clock when the copy was current.
      rows: The changed rows, in order of their versions.
    """

    version: int
    floor: int
    service_time: datetime.timedelta
    rows: tuple[RawRow, ...] = ()

    @property
    def is_whole(self) -> bool:
        """Whether the rows are the whole table."""
        return self.floor > 0 and number_of(self.floor) == 0

    def as_list(self) -> list:
        """Returns the copy in the form in which it is sent between processes."""
        rows = [[row.key, row.version, row.value] for row in self.rows]
        return [self.version, self.floor, self.service_time // _MILLISECOND, rows]


def read_copy(value: list) -> SharedCopy | None:
    """Decodes a copy received from another process; returns None if it is malformed."""
    try:
        version, floor, service_ms, rows = value
        found = tuple(RawRow(*row) for row in rows)
        return SharedCopy(int(version), int(floor), service_ms * _MILLISECOND, found)
    except (TypeError, ValueError):
        return None


class RecentChanges:
    """The recent changes of a table, to be sent to the other processes.

    Args:
      clock: The clock.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._floor = 0
        self._recent: collections.OrderedDict[str, tuple[RawRow, datetime.timedelta]] = (
            collections.OrderedDict()
        )

    def update(self, changes: Changes, is_snapshot: bool) -> SharedCopy:
        """Adds changes that the store returned; returns the copy to send."""
        now = self._clock.monotonic()
        if is_snapshot:
            self._recent.clear()
            self._floor = changes.version
            if era_of(changes.version) and _size(changes.rows) <= MAX_WHOLE_BYTES:
                self._floor = version_in_era(era_of(changes.version), 0)
        if not is_snapshot or self._floor < changes.version:
            for row in sorted(changes.rows, key=lambda row: row.version):
                known = self._recent.get(row.key)
                if is_snapshot or known is None or known[0].version < row.version:
                    self._recent.pop(row.key, None)
                    self._recent[row.key] = (row, now)
        self._drop_oldest(lambda since: now - since > RESEND_PERIOD or self._size() > MAX_NEW_BYTES)
        rows = tuple(row for row, _ in self._recent.values())
        copy = SharedCopy(changes.version, self._floor, changes.service_time, rows)
        self._drop_oldest(lambda since: self._size() > MAX_COPY_BYTES)
        return copy

    def _drop_oldest(self, must_drop):
        while self._recent:
            row, since = next(iter(self._recent.values()))
            if not must_drop(since):
                return
            self._recent.popitem(last=False)
            self._floor = max(self._floor, row.version)

    def _size(self):
        return _size(row for row, _ in self._recent.values())


def _is_overtaken(changes, last):
    """Returns whether an answer comes after one that was current later, in the same era."""
    if last is None or era_of(changes.version) != era_of(last.version):
        return False
    return changes.version < last.version


def _size(rows):
    return sum(len(row.key) + len(row.value or b"") + ROW_OVERHEAD_BYTES for row in rows)


class CopyGroup(abc.ABC):
    """A group of processes that share copies of tables.

    `times` says when its processes call the store.
    """

    times = CopyTimes()

    @abc.abstractmethod
    def is_reader(self, table: str) -> bool:
        """Returns whether this process reads a table from the store on behalf of the group."""

    @abc.abstractmethod
    def has_receivers(self, table: str) -> bool:
        """Returns whether other processes rely on the readers of a table."""

    @abc.abstractmethod
    def publish_copy(self, table: str, copy: SharedCopy) -> None:
        """Sends this process's copy to the other processes of the group."""

    @abc.abstractmethod
    async def receive_copy(self, table: str, limit: datetime.timedelta) -> SharedCopy | None:
        """Waits for a copy from another process; returns None if none arrives in time."""

    def record_changes(self, table: str, changes: Changes, is_snapshot: bool) -> None:
        """Records what this process read, for others that cannot read it themselves."""
        return None

    async def fetch_copy(self, table: str, version: int) -> SharedCopy | None:
        """Asks another process for the changes after a version; returns None without an answer."""
        return None


class NoSharing(CopyGroup):
    """A group of one process, which shares nothing."""

    def is_reader(self, table):
        return True

    def has_receivers(self, table):
        return False

    def publish_copy(self, table, copy):
        return None

    async def receive_copy(self, table, limit):
        return None


class ChangeHistory:
    """The changes of a table in a period, for processes that ask for them.

    Args:
      clock: The clock.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._floor = 0
        self._last: Changes | None = None
        self._updated_at = datetime.timedelta()
        self._rows: collections.OrderedDict[str, tuple[RawRow, datetime.timedelta]] = (
            collections.OrderedDict()
        )
        self._size = 0

    def update(self, changes: Changes, is_snapshot: bool) -> None:
        """Adds changes, or begins anew after a whole table."""
        now = self._clock.monotonic()
        is_overtaken = not is_snapshot and _is_overtaken(changes, self._last)
        if self._last is None or changes.service_time != self._last.service_time:
            self._updated_at = now
        if not is_overtaken:
            self._last = changes
        if is_snapshot:
            self._rows.clear()
            self._size = 0
            self._floor = changes.version  # removals before are not known
        else:
            for row in sorted(changes.rows, key=lambda row: row.version):
                known = self._rows.get(row.key)
                if known is not None and known[0].version >= row.version:
                    continue
                self._drop(row.key)
                self._rows[row.key] = (row, now)
                self._size += _size([row])
        while self._rows:
            row, since = next(iter(self._rows.values()))
            if now - since <= HISTORY_PERIOD and self._size <= MAX_HISTORY_BYTES:
                break
            self._drop(row.key)
            self._floor = max(self._floor, row.version)

    def since(self, version: int) -> SharedCopy | None:
        """Returns the changes after a version.

        None if some of them are not kept any more, or the table has not been read lately.
        """
        if self._last is None or version < self._floor:
            return None
        if self._clock.monotonic() - self._updated_at > MAX_HISTORY_AGE:
            return None
        rows = tuple(row for row, _ in self._rows.values() if row.version > version)
        return SharedCopy(self._last.version, self._floor, self._last.service_time, rows)

    def _drop(self, key):
        row, _ = self._rows.pop(key, (None, None))
        if row is not None:
            self._size -= _size([row])


class CopyInbox:
    """Queue of received copies of one table."""

    CAPACITY = 16

    def __init__(self):
        self._copies: collections.deque[SharedCopy] = collections.deque(maxlen=self.CAPACITY)
        self._has_copies = asyncio.Event()

    def put(self, copy: SharedCopy) -> None:
        """Adds a copy; the oldest is dropped if the queue is full."""
        self._copies.append(copy)
        self._has_copies.set()

    async def get(self, limit: datetime.timedelta) -> SharedCopy | None:
        """Removes and returns the oldest copy, None if none arrives in time."""
        if not self._copies:
            self._has_copies.clear()
            with contextlib.suppress(TimeoutError):  # no copy arrived in time
                async with asyncio.timeout(limit.total_seconds()):
                    await self._has_copies.wait()
        return self._copies.popleft() if self._copies else None
