"""Follows a table that others write: one call at a time, each proving the copy current."""

import abc
import datetime

from cicadapond.eventlog import EventLog
from cicadapond.gateway._time import ServiceTime
from cicadapond.kernel import Clock, Metrics, Ok, Task
from cicadapond.provider import ChangeFeed, Changes, HistoryLost

# The age of a copy is at most the wait and the call's own time; well under the bounds on it.
FEED_WAIT = datetime.timedelta(milliseconds=2300)
# The age up to which a copy counts as current: what a feed that works never exceeds.
CURRENT_FOR = FEED_WAIT + datetime.timedelta(milliseconds=600)
# From then on an answer after failures is one after an outage.
OUTAGE_AFTER = datetime.timedelta(milliseconds=1200)
FIRST_PAUSE = datetime.timedelta(milliseconds=100)
LONGEST_PAUSE = datetime.timedelta(milliseconds=800)
ZERO = datetime.timedelta()


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
      clock: Gives the time.
      log: Takes lines of lost and regained contact.
      metrics: Takes counts.
    """

    def __init__(
        self,
        table: str,
        feed: ChangeFeed,
        follower: TableFollower,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ):
        self.name = f"follow {table}"
        self._table = table
        self._feed = feed
        self._follower = follower
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._time = ServiceTime()
        self._version: int | None = None
        self._failures = 0
        self._reached_at: datetime.timedelta | None = None

    async def run(self):
        while True:
            asked = self._clock.monotonic()
            outcome = await self._ask()
            self._metrics.count("feed_calls", table=self._table, outcome=type(outcome).__name__)
            match outcome:
                case Ok(changes):
                    self._take(changes, asked)
                case HistoryLost():
                    self._log.write("history_lost", table=self._table, version=self._version)
                    self._version = None
                case _:
                    await self._fail(outcome)

    async def _ask(self):
        if self._version is None:
            return await self._feed.snapshot(self._table)
        wait = ZERO if self._failures else FEED_WAIT
        return await self._feed.changes(self._table, self._version, wait)

    def _take(self, changes, asked):
        is_whole = self._version is None
        was_away = self._reached_at is not None and asked - self._reached_at > OUTAGE_AFTER
        if self._failures:
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
        self._follower.current(self._time.answered_at(changes.service_time, asked, now))

    async def _fail(self, outcome):
        if self._failures == 0:
            self._log.write("table_lost", table=self._table, reason=outcome.reason)
        self._failures += 1
        pause = min(FIRST_PAUSE * 2 ** min(self._failures - 1, 8), LONGEST_PAUSE)
        await self._clock.sleep(pause)
