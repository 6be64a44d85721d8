"""Which process reads a table from the store on behalf of the others, and what it passes on.

One process reads for all; the others take over if nothing comes from it, first one of each data
centre, then everybody.  A process that has to read itself and does not reach the store asks another
one.
"""

import collections
import datetime
import typing

from cicadapond.eventlog import EventLog
from cicadapond.gateway._sharing import (
    ChangeHistory,
    CopyGroup,
    CopyInbox,
    CopyTimes,
    SharedCopy,
    read_copy,
)
from cicadapond.kernel import Clock
from cicadapond.peer import owner, rank
from cicadapond.provider import era_of

# With fewer processes than this, each reads for itself: a few calls less are not worth a process's
# dependence on others.
MIN_PROCESSES_TO_SHARE = 8
# The topic of queries for a copy.
COPY_TOPIC = "table copy"
QUERY_TIMEOUT = datetime.timedelta(milliseconds=300)


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
      query: Asks a process about a topic with a payload, for at most a time; returns its answer,
        None without one.
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
        query: typing.Callable[..., typing.Awaitable[object]],
    ):
        self._name = name
        self._zone = zone
        self._clock = clock
        self._log = log
        self._live_by_zone = live_by_zone
        self._publish_soon = publish_soon
        self._query = query
        self.times = times
        self._published: dict[str, SharedCopy] = {}
        self._inboxes: dict[str, CopyInbox] = collections.defaultdict(CopyInbox)
        self._received: dict[tuple[str, str], list] = {}
        self._received_at: dict[str, datetime.timedelta] = {}
        self._histories: dict[str, ChangeHistory] = {}
        # How many queries found no copy; the next one goes to another process.
        self._unanswered = 0
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

    def answer(self, payload) -> list | None:
        """Returns the copy that another process asks for, None if there is none.

        Args:
          payload: The table, and the version of the other process's copy.
        """
        match payload:
            case [str(table), int(version)] if table in self._histories:
                copy = self._histories[table].since(version)
                return copy.as_list() if copy is not None else None
        return None

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

    def record_changes(self, table, changes, is_snapshot):
        self._histories.setdefault(table, ChangeHistory(self._clock)).update(changes, is_snapshot)

    async def fetch_copy(self, table, version):
        live = self._live_by_zone()
        near = [name for name in live[self._zone] if name != self._name]
        far = [name for zone, names in live.items() if zone != self._zone for name in names]
        others = [name for names in (near, far) for name in rank(self._name, names)]
        if not others:
            return None
        process = others[self._unanswered % len(others)]
        answer = await self._query(process, COPY_TOPIC, [table, version], QUERY_TIMEOUT)
        copy = read_copy(answer)
        if copy is None:
            self._unanswered += 1
        return copy

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
