"""Keeps a local copy of a table that other processes write.

Calls to the store are made one at a time; each answer confirms that the copy is current.  When the
store proves to be restored from an older copy, the table is read anew as a whole: by the readers of
shared copies at once, by the other processes at times spread over a while, unless a reader sends
them the whole table, which it does if that is small.
"""

import abc
import asyncio
import contextlib
import datetime
import random

from cicadapond.eventlog import EventLog
from cicadapond.gateway._read_budget import ReadBudget
from cicadapond.gateway._sharing import CopyGroup, NoSharing, RecentChanges
from cicadapond.gateway._time import StoreClock
from cicadapond.kernel import Clock, Metrics, Ok, Task, doubled
from cicadapond.provider import ChangeFeed, Changes, HistoryLost, era_of

# Maximum duration of a long poll for a change.
MAX_FEED_WAIT = datetime.timedelta(milliseconds=2300)
# The share of the revocation bound that one long poll may take; the rest allows for a retry.
FEED_WAIT_SHARE = 0.46
# By how much the copy of a working feed may be older than the feed's wait.
FEED_DELAY_ALLOWANCE = datetime.timedelta(milliseconds=600)
# Failures count as an outage if the call that ends them began this long after the last answer or
# shared copy.
OUTAGE_THRESHOLD = datetime.timedelta(milliseconds=1200)
FIRST_BACKOFF = datetime.timedelta(milliseconds=100)
MAX_BACKOFF = datetime.timedelta(milliseconds=800)
# The same for readers, as keys may become valid again for all once one of them is answered.
MAX_READER_BACKOFF = datetime.timedelta(milliseconds=250)
# Over how long the processes other than the readers spread their calls after a restore.  It is
# shorter where a copy gets too old meanwhile, but not below the minimum.
MAX_REREAD_SPREAD = datetime.timedelta(milliseconds=1500)
MIN_REREAD_SPREAD = datetime.timedelta(milliseconds=200)
# The age that a copy may reach in that time, in waits of the feed.
REREAD_AGE_WAITS = 2
ZERO = datetime.timedelta()
MIN_PAUSE = datetime.timedelta(milliseconds=1)


def feed_wait(revocation: datetime.timedelta | None) -> datetime.timedelta:
    """Returns how long a feed waits for a change, given the bound on the use of revoked keys."""
    if revocation is None:
        return MAX_FEED_WAIT
    return min(MAX_FEED_WAIT, FEED_WAIT_SHARE * revocation)


class TableFollower(abc.ABC):
    """Receives the rows of a followed table."""

    @abc.abstractmethod
    def apply_changes(self, changes: Changes, is_snapshot: bool, after_outage: bool) -> None:
        """Applies rows.

        Args:
          changes: The rows, with the version and the store's time of the answer.
          is_snapshot: Whether they are the whole table.
          after_outage: Whether they come after an outage or a restore of the store.
        """

    @abc.abstractmethod
    def confirm_current(self, since: datetime.timedelta) -> None:
        """Records that the copy was current at this monotonic time or later."""


class FollowTask(Task):
    """Keeps the copy of one table up to date.

    Args:
      table: The name of the table.
      feed: Reads the table from the store.
      follower: Receives its rows.
      wait: How long the store waits for a change before it answers without one.
      clock: The clock.
      log: The event log.
      metrics: The metrics.
      group: The processes that share copies of the table, None to share with none.
      rng: Source of jitter.
      refresh_budget: Bounds the reads of `refresh`, None to leave them unbounded.
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
        group: CopyGroup | None = None,
        rng: random.Random | None = None,
        refresh_budget: ReadBudget | None = None,
    ):
        self.name = f"follow {table}"
        self._table = table
        self._feed = feed
        self._follower = follower
        self._wait = wait
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._rng = rng or random.Random()
        self._group = group or NoSharing()
        self._recent_changes = RecentChanges(clock)
        self._store_clock = StoreClock()
        self._version: int | None = None
        # The era of the rows applied last.
        self._era: int | None = None
        self._failures = 0
        self._answered_at: datetime.timedelta | None = None
        self._current_as_of: datetime.timedelta | None = None
        self._used_shared_copy = False
        self._refresh: asyncio.Future[bool] | None = None
        # Set, and replaced, whenever the copy is confirmed.
        self._confirmed = asyncio.Event()
        self._refresh_budget = refresh_budget

    async def refresh(
        self, since: datetime.timedelta, until: datetime.timedelta | None = None
    ) -> None:
        """Reads the changes up to now, beside a call that waits for some.

        Those who ask while a call is in progress share it.  Without a permitted call, the next one
        or the next copy that comes anyway is waited for.  Failures, and calls beyond the budget,
        are counted as a metric.

        Args:
          since: The monotonic time as of which the copy is needed; nothing is read if it is.
          until: The monotonic time up to which to wait; None to wait for one call, if permitted.
        """
        is_counted = False
        while self._current_as_of is None or self._current_as_of < since:
            reading = self._refresh
            if reading is None or reading.done():
                if self._refresh_budget is not None and not self._refresh_budget.take():
                    if not is_counted:
                        is_counted = True
                        outcome = "OverBudget"
                        self._metrics.count("feed_refreshes", table=self._table, outcome=outcome)
                    if not await self._wait_for_copy(until):
                        return
                    continue
                reading = self._refresh = asyncio.ensure_future(self._read_changes())
            left = until - self._clock.monotonic() if until is not None else None
            timeout = max(0.0, left.total_seconds()) if left is not None else None
            # One that began before the time may not bring the copy that is needed.
            done, _ = await asyncio.wait((reading,), timeout=timeout)
            if not done or not reading.result():
                return

    async def _wait_for_copy(self, until):
        """Waits until the copy is confirmed or a call is permitted; returns whether in time."""
        left = until - self._clock.monotonic() if until is not None else ZERO
        if left <= ZERO:
            return False
        pause = min(left, self._refresh_budget.time_until_next())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(MIN_PAUSE, pause).total_seconds()):
                await self._confirmed.wait()
        return True

    async def run(self):
        self._version = None  # after an unexpected error, changes may be missing
        while True:
            if self._is_position_void():
                await self._prepare_reread()
            wait = await self._receive_shared_copy() if self._uses_shared_copies() else self._wait
            if wait is not None:
                await self._call_store(wait)

    # Reading from the store

    async def _call_store(self, wait):
        called_at = self._clock.monotonic()
        outcome = await self._fetch(wait)
        self._metrics.count("feed_calls", table=self._table, outcome=type(outcome).__name__)
        match outcome:
            case Ok(changes):
                self._apply(changes, called_at)
            case HistoryLost():
                if not self._is_position_void():
                    self._lose_position()
            case _:
                await self._back_off(outcome)

    async def _read_changes(self):
        version, called_at = self._version, self._clock.monotonic()
        if version is None or self._is_position_void():
            return False
        outcome = await self._feed.changes(self._table, version, ZERO)
        self._metrics.count("feed_refreshes", table=self._table, outcome=type(outcome).__name__)
        is_continued = self._version is not None and era_of(self._version) == era_of(version)
        if not isinstance(outcome, Ok) or not is_continued:
            return False
        self._apply(outcome.value, called_at)
        return True

    async def _fetch(self, wait):
        if self._version is None:
            return await self._feed.snapshot(self._table)
        if self._failures:
            wait = ZERO
        elif self._group.has_receivers(self._table):
            wait = min(wait, self._group.times.reader_wait)
        return await self._feed.changes(self._table, self._version, wait)

    def _is_position_void(self):
        """Returns whether the store was restored since it gave out the version of this copy."""
        return self._version is not None and era_of(self._version) < self._feed.era()

    def _lose_position(self):
        self._log.write("history_lost", table=self._table, version=self._version)
        self._version = None

    async def _prepare_reread(self):
        """Makes the next call read the whole table, and waits until it is due.

        A copy of the whole table that comes from another process meanwhile takes its place.
        """
        self._lose_position()
        if self._group.is_reader(self._table):
            return
        oldest = self._current_as_of + REREAD_AGE_WAITS * self._wait
        spread = min(MAX_REREAD_SPREAD, oldest - self._clock.monotonic())
        await self._receive_whole_copy(self._rng.random() * max(MIN_REREAD_SPREAD, spread))

    def _apply(self, changes, called_at):
        is_snapshot = self._version is None
        era = era_of(changes.version)
        after_outage = self._era is not None and era > self._era
        self._era = era
        if self._failures:
            after_outage = after_outage or (
                self._answered_at is not None and called_at - self._answered_at > OUTAGE_THRESHOLD
            )
            self._log.write(
                "table_regained",
                table=self._table,
                failures=self._failures,
                version=changes.version,
            )
            self._log_source_change(False)
        self._failures = 0
        self._answered_at = self._clock.monotonic()
        self._version = max(self._version or 0, changes.version)
        if changes.rows or is_snapshot:
            self._follower.apply_changes(changes, is_snapshot, after_outage)
        now = self._clock.monotonic()
        self._confirm_current(self._store_clock.answered_at(changes.service_time, called_at, now))
        self._group.record_changes(self._table, changes, is_snapshot)
        copy = self._recent_changes.update(changes, is_snapshot)
        if self._group.is_reader(self._table) and self._group.has_receivers(self._table):
            self._group.publish_copy(self._table, copy)

    def _confirm_current(self, since):
        self._current_as_of = max(since, self._current_as_of or since)
        self._follower.confirm_current(since)
        self._confirmed.set()
        self._confirmed = asyncio.Event()

    # Copies from other processes

    def _uses_shared_copies(self):
        """Returns whether to wait for a copy from another process instead of calling the store."""
        if self._version is None or self._failures or self._group.is_reader(self._table):
            return False
        return self._clock.monotonic() - self._current_as_of < self._group.times.max_age

    async def _receive_shared_copy(self):
        """Waits for the next copy from another process and applies it.

        Returns:
          The wait of the store call to make next, None if no call is needed.
        """
        left = self._current_as_of + self._group.times.max_age - self._clock.monotonic()
        copy = await self._group.receive_copy(self._table, left)
        if copy is None:
            self._log_source_change(False)
            return ZERO
        return self._apply_shared_copy(copy)

    def _apply_shared_copy(self, copy):
        """Applies a copy from another process; returns the same as `_receive_shared_copy`."""
        era = era_of(copy.version)
        self._feed.hear_era(era)
        if era < self._feed.era():
            return None
        is_reread = self._version is None or era > era_of(self._version)
        if (is_reread and not copy.is_whole) or (not is_reread and copy.version < self._version):
            return None
        now = self._clock.monotonic()
        since = self._store_clock.local_time_of(copy.service_time, now)
        if since is None or (not is_reread and copy.floor > self._version):
            return ZERO
        if is_reread:
            rows = tuple(row for row in copy.rows if row.value is not None)
        else:
            rows = tuple(row for row in copy.rows if row.version > self._version)
        changes = Changes(rows, copy.version, copy.service_time)
        self._version, self._era = copy.version, era
        self._answered_at = now
        self._metrics.count("feed_copies", table=self._table)
        if rows or is_reread:
            self._follower.apply_changes(changes, is_reread, after_outage=is_reread)
        self._failures = 0
        self._confirm_current(since)
        self._group.record_changes(self._table, changes, is_reread)
        self._recent_changes.update(changes, is_reread)
        self._log_source_change(True)
        return None

    async def _fetch_copy(self):
        """Takes a copy from another process, as this one does not reach the store."""
        copy = await self._group.fetch_copy(self._table, self._version or 0)
        if copy is not None:
            failures = self._failures
            self._apply_shared_copy(copy)
            self._failures = failures

    async def _receive_whole_copy(self, limit):
        """Waits for a copy of the whole table, as long as this process need not read it itself."""
        due = self._clock.monotonic() + limit
        while self._version is None and not self._group.is_reader(self._table):
            left = due - self._clock.monotonic()
            if left <= ZERO:
                return
            copy = await self._group.receive_copy(self._table, left)
            if copy is not None:
                self._apply_shared_copy(copy)

    def _log_source_change(self, used_shared_copy):
        if used_shared_copy != self._used_shared_copy:
            self._used_shared_copy = used_shared_copy
            source = "neighbours" if used_shared_copy else "store"
            self._log.write("table_source", table=self._table, source=source, version=self._version)

    async def _back_off(self, outcome):
        if self._failures == 0:
            self._log.write("table_lost", table=self._table, reason=outcome.reason)
        self._failures += 1
        is_reader = self._group.is_reader(self._table)
        limit = MAX_READER_BACKOFF if is_reader else MAX_BACKOFF
        pause = doubled(FIRST_BACKOFF, self._failures - 1, limit)
        if is_reader or (self._version is None and not self._feed.era()):
            if is_reader:
                await self._fetch_copy()
            await self._clock.sleep(pause)
            return
        # The store may turn away this process and serve others, whose copies are as good.
        if self._version is None:
            await self._receive_whole_copy(pause)
            return
        copy = await self._group.receive_copy(self._table, pause)
        if copy is not None:
            self._apply_shared_copy(copy)
