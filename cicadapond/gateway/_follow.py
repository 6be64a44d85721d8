"""Follows a table that others write: one call at a time, each proving the copy current."""

import abc
import datetime

from cicadapond.eventlog import EventLog
from cicadapond.gateway._sharing import Alone, CopyCircle, CopyWriter
from cicadapond.gateway._time import ServiceTime
from cicadapond.kernel import Clock, Metrics, Ok, Task
from cicadapond.provider import ChangeFeed, Changes, HistoryLost

# The longest that the store is asked to wait for a change.
LONGEST_FEED_WAIT = datetime.timedelta(milliseconds=2300)
# The part of the revocation bound that a wait may take; the rest is for a call that is repeated.
FEED_SHARE = 0.46
# By how much a working feed's copy may be older than its wait.
FEED_DELAY = datetime.timedelta(milliseconds=600)
# How long the store waits where others rely on this process's copy, and how old their copies
# get before they ask the store themselves.  Both stay below the time in which a server that is
# leaving still takes requests.
SHARED_FEED_WAIT = datetime.timedelta(milliseconds=1000)
LISTEN_FOR = datetime.timedelta(milliseconds=1400)
# From then on an answer after failures is one after an outage.
OUTAGE_AFTER = datetime.timedelta(milliseconds=1200)
FIRST_PAUSE = datetime.timedelta(milliseconds=100)
LONGEST_PAUSE = datetime.timedelta(milliseconds=800)
ZERO = datetime.timedelta()


def feed_wait(revocation: datetime.timedelta | None) -> datetime.timedelta:
    """Returns how long a feed waits for a change, by the bound on the use of revoked keys."""
    if revocation is None:
        return LONGEST_FEED_WAIT
    return min(LONGEST_FEED_WAIT, FEED_SHARE * revocation)


class TableFollower(abc.ABC):
    """Takes what a followed table holds."""

    @abc.abstractmethod
    def changed(self, changes: Changes, is_whole: bool, was_away: bool) -> None:
        """Takes rows; `is_whole` if they are all there are, `was_away` after an outage."""

    @abc.abstractmethod
    def current(self, since: datetime.timedelta) -> None:
        """Notes that the copy was current at an instant, or later."""


class FollowTask(Task):
    """Keeps the copy of one table.

    Args:
      table: The table.
      feed: Reads it.
      follower: Takes what it holds.
      wait: How long the store waits for a change before it answers without one.
      clock: Gives the time.
      log: Takes lines of lost and regained contact.
      metrics: Takes counts.
      circle: The processes that share copies of the table.
    """

    def __init__(
        self,
        table: str,
        feed: ChangeFeed,
        follower: TableFollower,
        wait: datetime.timedelta,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        circle: CopyCircle | None = None,
    ):
        self.name = f"follow {table}"
        self._table = table
        self._feed = feed
        self._follower = follower
        self._wait = wait
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._circle = circle or Alone()
        self._writer = CopyWriter(clock)
        self._time = ServiceTime()
        self._version: int | None = None
        self._failures = 0
        self._reached_at: datetime.timedelta | None = None
        self._proved_at: datetime.timedelta | None = None
        self._listened = False

    async def run(self):
        while True:
            wait = await self._listen() if self._listens() else self._wait
            if wait is not None:
                await self._call(wait)

    # Through the store

    async def _call(self, wait):
        asked = self._clock.monotonic()
        outcome = await self._ask(wait)
        self._metrics.count("feed_calls", table=self._table, outcome=type(outcome).__name__)
        match outcome:
            case Ok(changes):
                self._take(changes, asked)
            case HistoryLost():
                self._log.write("history_lost", table=self._table, version=self._version)
                self._version = None
            case _:
                await self._fail(outcome)

    async def _ask(self, wait):
        if self._version is None:
            return await self._feed.snapshot(self._table)
        if self._failures:
            wait = ZERO
        elif self._circle.has_listeners(self._table):
            wait = min(wait, SHARED_FEED_WAIT)
        return await self._feed.changes(self._table, self._version, wait)

    def _take(self, changes, asked):
        is_whole = self._version is None
        was_away = False
        if self._failures:
            was_away = self._reached_at is not None and asked - self._reached_at > OUTAGE_AFTER
            self._log.write(
                "table_regained",
                table=self._table,
                failures=self._failures,
                version=changes.version,
            )
        self._failures = 0
        self._reached_at = self._clock.monotonic()
        self._version = max(self._version or 0, changes.version)
        if changes.rows or is_whole:
            self._follower.changed(changes, is_whole, was_away)
        now = self._clock.monotonic()
        self._prove(self._time.answered_at(changes.service_time, asked, now))
        copy = self._writer.take(changes, is_whole)
        if self._circle.reads(self._table) and self._circle.has_listeners(self._table):
            self._circle.tell(self._table, copy)

    def _prove(self, since):
        self._proved_at = max(since, self._proved_at or since)
        self._follower.current(since)

    # Through other processes

    def _listens(self):
        """Returns whether others read the table for this process, and have told it in time."""
        if self._version is None or self._failures or self._circle.reads(self._table):
            return False
        return self._clock.monotonic() - self._proved_at < LISTEN_FOR

    async def _listen(self):
        """Takes the next copy that is told.

        Returns:
          How long the store should wait for a change if it is to be asked next, else None.
        """
        left = self._proved_at + LISTEN_FOR - self._clock.monotonic()
        copy = await self._circle.hear(self._table, left)
        if copy is None:
            self._note_source(False)
            return self._wait
        if copy.version < self._version:
            return None
        now = self._clock.monotonic()
        since = self._time.told_at(copy.service_time, now)
        if copy.floor > self._version or since is None:
            return ZERO
        rows = tuple(row for row in copy.rows if row.version > self._version)
        changes = Changes(rows, copy.version, copy.service_time)
        self._version = copy.version
        self._reached_at = now
        self._metrics.count("feed_copies", table=self._table)
        if rows:
            self._follower.changed(changes, is_whole=False, was_away=False)
        self._prove(since)
        self._writer.take(changes, is_whole=False)
        self._note_source(True)
        return None

    def _note_source(self, listened):
        if listened != self._listened:
            self._listened = listened
            source = "neighbours" if listened else "store"
            self._log.write("table_source", table=self._table, source=source, version=self._version)

    async def _fail(self, outcome):
        if self._failures == 0:
            self._log.write("table_lost", table=self._table, reason=outcome.reason)
        self._failures += 1
        pause = min(FIRST_PAUSE * 2 ** min(self._failures - 1, 8), LONGEST_PAUSE)
        await self._clock.sleep(pause)
