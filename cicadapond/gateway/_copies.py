"""Which process reads a table from the store on behalf of the others, and what it passes on.

One process reads for all; the others take over if nothing comes from it, first one of each data
centre, then everybody.  No I/O.
"""

import collections
import datetime
import typing

from cicadapond.eventlog import EventLog
from cicadapond.gateway._sharing import CopyGroup, CopyInbox, CopyTimes, SharedCopy, read_copy
from cicadapond.kernel import Clock
from cicadapond.peer import owner
from cicadapond.provider import era_of

# With fewer processes than this, each reads for itself: a few calls less are not worth a process's
# dependence on others.
MIN_PROCESSES_TO_SHARE = 8


class CopyExchange(CopyGroup):
    """Copies of tables exchanged by the processes of a deployment.

    Args:
      name: This process.
      zone: Its data centre.
      clock: The clock.
      log: The event log.
      live_by_zone: Returns the names of the live processes by data centre, this one included.
      publish_soon: Sends what `published` returns to the others soon.
      times: When the processes call the store.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        clock: Clock,
        log: EventLog,
        live_by_zone: typing.Callable[[], typing.Mapping[str, tuple[str, ...]]],
        publish_soon: typing.Callable[[], None],
        times: CopyTimes,
    ):
        self._name = name
        self._zone = zone
        self._clock = clock
        self._log = log
        self._live_by_zone = live_by_zone
        self._publish_soon = publish_soon
        self.times = times
        self._published: dict[str, SharedCopy] = {}
        self._inboxes: dict[str, CopyInbox] = collections.defaultdict(CopyInbox)
        self._received: dict[tuple[str, str], list] = {}
        self._received_at: dict[str, datetime.timedelta] = {}
        # The newest era of the copies.
        self._era = 0
        self._ranked_for: typing.Mapping[str, tuple[str, ...]] | None = None
        self._ranked: dict[str, tuple[str, str | None]] = {}

    def published(self) -> dict[str, list]:
        """Returns the copies to send to the others, by table, if the store was never restored."""
        return self._published_copies(lambda era: era == 0)

    def published_restored(self) -> dict[str, list]:
        """Returns the copies of a store that has been restored, which earlier builds cannot use."""
        return self._published_copies(lambda era: era > 0)

    def _published_copies(self, holds):
        return {
            table: copy.as_list()
            for table, copy in self._published.items()
            if holds(era_of(copy.version)) and self.is_reader(table)
        }

    def receive(self, process: str, zone: str, copies: typing.Mapping[str, list]) -> None:
        """Takes the copies that another process sends."""
        for table, value in copies.items():
            if self._received.get((process, table)) == value:
                continue
            self._received[process, table] = value
            copy = read_copy(value)
            if copy is None:
                self._log.write("copy_unreadable", table=table, process=process)
                continue
            if era_of(copy.version) < self._era:
                continue  # of a process that does not know of the restore
            self._era = era_of(copy.version)
            self._inboxes[table].put(copy)
            if process == self._reader(table) or zone != self._zone:
                self._received_at[table] = self._clock.monotonic()

    def state(self) -> dict:
        """Returns the reader of each table and the age of its last copy, for a dump."""
        now = self._clock.monotonic()
        return {
            table: {
                "reader": self._reader(table),
                "reads_itself": self.is_reader(table),
                "age_ms": round((now - at).total_seconds() * 1000),
            }
            for table, at in sorted(self._received_at.items())
        }

    # CopyGroup

    def is_reader(self, table):
        if not self.has_receivers(table):
            return True
        if self._reader(table) == self._name:
            return True
        return self._deputy(table) == self._name and self._age(table) > self.times.deputy_age

    def has_receivers(self, table):
        return sum(map(len, self._live_by_zone().values())) >= MIN_PROCESSES_TO_SHARE

    def publish_copy(self, table, copy):
        self._published[table] = copy
        self._era = max(self._era, era_of(copy.version))
        self._publish_soon()

    async def receive_copy(self, table, limit):
        if self._deputy(table) == self._name:
            limit = min(limit, max(datetime.timedelta(), self.times.deputy_age - self._age(table)))
        return await self._inboxes[table].get(limit)

    def _age(self, table):
        """Returns how long ago a copy came that did not depend on this data centre's deputy."""
        now = self._clock.monotonic()
        return now - self._received_at.setdefault(table, now)

    def _reader(self, table):
        return self._readers(table)[0]

    def _deputy(self, table):
        return self._readers(table)[1]

    def _readers(self, table):
        """Returns the reader of a table and the deputy of this data centre, None if it has none."""
        live = self._live_by_zone()
        if live is not self._ranked_for:
            self._ranked_for = live
            self._ranked.clear()
        if table not in self._ranked:
            key = f"follow {table}"
            reader = owner(key, [name for names in live.values() for name in names])
            deputy = owner(key, [name for name in live[self._zone] if name != reader])
            self._ranked[table] = (reader, deputy)
        return self._ranked[table]
