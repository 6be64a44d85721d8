"""Reads from the store where streams began, for callers who resume one that is not known here.

The processes tell each other of their streams, and the hub of each data centre stores them.  A
process that the others do not reach finds them in the store.  One call serves all requests that
wait, and all processes together use a small share of the reads that the store accepts.
"""

import asyncio
import datetime
import typing

import attrs

from cicadapond.continuation import (
    MIN_TOLD_AGE,
    ORIGIN_RETENTION,
    UNKNOWN_VERSION,
    read_rows,
)
from cicadapond.gateway._adapters import PlatformAdapters
from cicadapond.gateway._origin_store import (
    READ_PAGE,
    SOURCE,
    TABLE,
    WRITE_INTERVAL,
    telling_time,
    write_interval,
)
from cicadapond.gateway._parts import Parts
from cicadapond.gateway._shared_rate import RateShares, SharedRate
from cicadapond.gateway._waits import milliseconds
from cicadapond.kernel import Ok
from cicadapond.provider import ChangeFeed, HistoryLost, era_of

if typing.TYPE_CHECKING:
    from cicadapond.gateway._cluster import Cluster

# What the lookups of all processes may use of the store's reads.
READ_SHARES = RateShares(lasting=0.1, peak=0.4, burst=16)
MIN_READ_INTERVAL = datetime.timedelta(milliseconds=100)
# A call that fails after this time has had no answer; one that fails sooner may have lost its
# connection alone.
MIN_SILENCE = datetime.timedelta(milliseconds=500)
MAX_FAILURES = 2
# After this time without a further failure, the store may be in reach again.
MAX_FAILURE_AGE = datetime.timedelta(seconds=3)
# How long a call to the store takes that brings few rows.
CALL_ALLOWANCE = datetime.timedelta(milliseconds=100)
# A stream that another process tells of within this time is not looked up.
LOOKUP_DELAY = datetime.timedelta(milliseconds=40)
# How long a request waits for other processes to tell of its stream.
MAX_ORIGIN_WAIT = datetime.timedelta(milliseconds=160)
ORIGIN_POLL_INTERVAL = datetime.timedelta(milliseconds=40)
# A data centre that has told nothing for longer is not heard.
SILENCE_THRESHOLD = datetime.timedelta(milliseconds=1500)
# The share of the time left to a request that it waits for reads of the store, and that after which
# what has been stored by then is read.
MAX_WAIT_SHARE = 0.5
EARLY_READ_SHARE = 0.25
# After a restore, the hubs have written again what was lost within this time.
REWRITE_TIME = datetime.timedelta(seconds=3)
MILLISECOND = datetime.timedelta(milliseconds=1)
ZERO = datetime.timedelta()


class OriginLookup:
    """Reads the streams that the store tells of when requests ask for them.

    Args:
      parts: The components of this process.
      adapters: Has the store.
      cluster: The processes.
    """

    def __init__(self, parts: Parts, adapters: PlatformAdapters, cluster: "Cluster"):
        self._parts = parts
        self._feed: ChangeFeed = adapters.feed
        self._decode = adapters.decode_own_row
        self._cluster = cluster
        self._clock = parts.clock
        self._asked = asyncio.Event()
        # The version up to which all rows were read.
        self._position: int | None = None
        # When the last call began, and the last one that has not failed, and that was answered.
        self._called_at: datetime.timedelta | None = None
        self._begun_at: datetime.timedelta | None = None
        self._answered_as_of: datetime.timedelta | None = None
        # Whether a call is in progress.
        self._is_reading = False
        # How many calls in a row have failed; those without an answer count as all that are borne.
        self._failures = 0
        self._failed_at = ZERO
        self._rate = SharedRate(
            parts.clock,
            parts.cfg.store_reads_per_second,
            READ_SHARES,
            lambda: parts.processes(),
        )
        self._era: int | None = None
        # From when on a restored store has again what the hubs know.
        self._complete_from = ZERO

    def ask(self, since: datetime.timedelta) -> None:
        """Asks for a read that begins at a monotonic time or later, unless one has begun."""
        if self._begun_at is None or self._begun_at < since:
            self._asked.set()

    def has_read(self, since: datetime.timedelta) -> bool:
        """Returns whether a read that began at a monotonic time or later was answered."""
        return self._answered_as_of is not None and self._answered_as_of >= since

    def may_read(self, by: datetime.timedelta) -> bool:
        """Returns whether the store seems to answer, and a read may begin by a monotonic time.

        A call in progress may be slow, as it brings many rows over a slow link.  The first one that
        has no answer shows that the store is out of reach.
        """
        failure_age = self._clock.monotonic() - self._failed_at
        if self._failures >= MAX_FAILURES and failure_age < MAX_FAILURE_AGE:
            return False
        return self._is_reading or self._next_read_at() <= by

    def reading_time(self) -> datetime.timedelta | None:
        """Returns how long the call in progress has lasted, None if there is none."""
        return self._clock.monotonic() - self._called_at if self._is_reading else None

    def read_age(self) -> datetime.timedelta | None:
        """Returns how long ago the last call that was answered began, None if none was."""
        if self._answered_as_of is None:
            return None
        return self._clock.monotonic() - self._answered_as_of

    def has_spare(self) -> bool:
        """Returns whether a read now would delay none that is asked for later."""
        return self._rate.has_spare()

    def storing_time(self) -> datetime.timedelta:
        """Returns the time after which a stream that has broken is stored, if nothing fails."""
        zones = self._cluster.live_by_zone()
        telling = telling_time(len(zones[self._cluster.zone]))
        # The process that began it writes it if its hub has not told of it; it may be writing.
        return MIN_TOLD_AGE + telling + write_interval(len(zones)) + 2 * CALL_ALLOWANCE

    async def run(self) -> None:
        """Reads whenever that is asked for and permitted, until cancelled."""
        while True:
            await self._asked.wait()
            await self._clock.sleep(max(ZERO, self._next_read_at() - self._clock.monotonic()))
            self._asked.clear()
            await self._read()

    def _next_read_at(self):
        """Returns from when on the next read is permitted."""
        self._observe_era()
        permitted = max(self._rate.next_at(), self._complete_from)
        if self._called_at is not None:
            permitted = max(permitted, self._called_at + MIN_READ_INTERVAL)
        return permitted

    def _observe_era(self):
        era = self._feed.era()
        if self._era is not None and era > self._era:
            self._complete_from = self._clock.monotonic() + REWRITE_TIME
        self._era = era

    async def _read(self):
        now = self._clock.monotonic()
        is_whole = self._needs_snapshot(now)
        self._called_at = self._begun_at = now
        self._is_reading = True
        self._rate.record_call()
        try:
            if is_whole:
                outcome = await self._feed.snapshot(TABLE)
            else:
                outcome = await self._changes()
        finally:
            self._is_reading = False
        self._parts.metrics.count(
            "origin_reads", outcome=type(outcome).__name__, whole=str(is_whole).lower()
        )
        took = self._clock.monotonic() - now
        if isinstance(outcome, Ok | HistoryLost):
            self._failures = 0
        else:
            self._failures += MAX_FAILURES if took >= MIN_SILENCE else 1
            self._failed_at = self._clock.monotonic()
        self._parts.log.write(
            "origins_looked_up",
            outcome=type(outcome).__name__,
            whole=is_whole,
            rows=len(outcome.value.rows) if isinstance(outcome, Ok) else None,
            took_ms=milliseconds(took),
        )
        self._observe_era()
        if not isinstance(outcome, Ok) or now < self._complete_from:
            if not self._failures:
                self._position = None
            self._begun_at = None
            return
        self._apply(outcome.value)
        self._answered_as_of = now

    async def _changes(self):
        """Returns all changes since the last read, in one call for each page."""
        rows, position = (), self._position
        while True:
            outcome = await self._feed.changes(TABLE, position, ZERO)
            if not isinstance(outcome, Ok):
                return outcome
            page = outcome.value
            rows += page.rows
            if len(page.rows) < READ_PAGE or page.version <= position:
                return Ok(attrs.evolve(page, rows=rows))
            position = page.version

    def _needs_snapshot(self, now):
        """Returns whether to read all rows, as the changes are lost or mostly of old streams."""
        if self._position is None or era_of(self._position) < self._feed.era():
            return True
        return not self.has_read(now - ORIGIN_RETENTION)

    def _apply(self, changes):
        self._rate.record_cost(len(changes.rows) // READ_PAGE)
        self._position = changes.version
        rows = ((row.key, row.value) for row in changes.rows if row.value is not None)
        found = read_rows((key, self._decode(value)) for key, value in rows)
        self._parts.origins.apply(SOURCE, found.buckets)


class OriginSearch:
    """How long one request waits until it is known where its stream began.

    Args:
      parts: The components of this process.
      request_id: The id of the request that brought the stream's first event, None if not known.
      time_left: The time to the request's deadline.

    Attributes:
      begun: When the request began to wait.
    """

    def __init__(self, parts: Parts, request_id: str | None, time_left: datetime.timedelta):
        self._parts = parts
        self._request_id = request_id
        self._lookup = parts.origin_lookup if request_id else None
        self._has_asked = False
        self.begun = parts.clock.monotonic()
        self._until = self.begun + max(MAX_ORIGIN_WAIT, MAX_WAIT_SHARE * time_left)
        early = self.begun + max(MAX_ORIGIN_WAIT, EARLY_READ_SHARE * time_left)
        # What a read that begins at the second time does not find was not stored.
        self._early_read, self._last_read = early - CALL_ALLOWANCE, self._until - CALL_ALLOWANCE
        if self._lookup is not None:
            stored_at = self.begun + self._lookup.storing_time()
            self._early_read = min(self._early_read, stored_at)
            self._last_read = min(self._last_read, stored_at)

    def peers_wait(self) -> datetime.timedelta:
        """Returns for how long the other processes may still tell of the stream."""
        left = self.begun + MAX_ORIGIN_WAIT - self._parts.clock.monotonic()
        return max(left, ZERO)

    def goes_on(self) -> bool:
        """Returns whether to wait on, and asks for the reads that this takes."""
        now = self._parts.clock.monotonic()
        if self._lookup is not None and now - self.begun >= LOOKUP_DELAY:
            self._has_asked = True
            self._lookup.ask(self._wanted_since(now))
        if now - self.begun < MAX_ORIGIN_WAIT:
            return True
        if self._lookup is None or now >= self._until or self._lookup.has_read(self._last_read):
            return False
        return self._lookup.may_read(self._until)

    def awaits_confirmation(self) -> bool:
        """Returns whether the store may tell that a stream's version is not sure, and asks.

        Other processes may have told so and not be heard.
        """
        if self._lookup is None or self._lookup.has_read(self.begun):
            return False
        origins, now = self._parts.origins, self._parts.clock.monotonic()
        told = origins.told_ages(self._request_id)
        is_silent = any(
            SILENCE_THRESHOLD < age < ORIGIN_RETENTION
            for source, age in origins.ages().items()
            if source != SOURCE
        )
        if not is_silent and set(told) != {SOURCE}:
            return False
        until = self.begun + MAX_ORIGIN_WAIT
        if now + ORIGIN_POLL_INTERVAL > until:
            return False
        self._has_asked = True
        self._lookup.ask(self.begun)
        return self._lookup.may_read(until)

    def record(self, version: str | None) -> None:
        """Logs and counts what came of it.

        Args:
          version: The version at which the stream began, `UNKNOWN_VERSION` if that is not sure,
            None if the stream is not known.
        """
        if not self._has_asked:
            return
        told = self._parts.origins.told_ages(self._request_id)
        if version is None:
            outcome = "absent" if self._lookup.has_read(self.begun) else "unread"
        elif version == UNKNOWN_VERSION:
            outcome = "unsure"
        else:
            outcome = "found" if set(told) == {SOURCE} else "told"
        self._parts.metrics.count("origin_lookups", outcome=outcome)
        if outcome == "found":
            self._parts.log.write(
                "origin_looked_up",
                resumes=self._request_id,
                version=version,
                told_ms=round(told[SOURCE] / MILLISECOND),
                waited_ms=round((self._parts.clock.monotonic() - self.begun) / MILLISECOND),
            )

    def _wanted_since(self, now):
        """Returns the least time at which a read has to begin to be of use now."""
        if now >= self._last_read:
            return self._last_read
        if now >= self._early_read:
            return self._early_read
        return max(self.begun, now - WRITE_INTERVAL) if self._lookup.has_spare() else self.begun
