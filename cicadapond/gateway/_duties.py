"""The task that only the lease holder performs, and its usage reports."""

import asyncio
import datetime
import typing

from cicadapond.eventlog import EventLog
from cicadapond.gateway._cloud import Cloud, Declined, Holder
from cicadapond.kernel import AnswerLost, Clock, Conflict, Ok, Task
from cicadapond.lease import LeaseTask
from cicadapond.provider import Row, TableService, Write
from cicadapond.usage import UsageLedger, UsageWindows

STEP_INTERVAL = datetime.timedelta(milliseconds=500)
USAGE_TABLE = "usage"
# Row of the counts, of all processes, that the holder knows of; stored because all processes may
# stop at once.
KNOWN_USAGE_ROW = ("known_usage", "all")
KNOWN_USAGE_WINDOWS = 3
# Other processes' counts of a window arrive within two seconds; the rest allows for clock skew.
MAX_SETTLE_TIME = datetime.timedelta(seconds=4)
# A window's counts are stored once this share of the time from its end to when its report is due
# has passed, or after `MAX_SETTLE_TIME` if that is sooner.
SETTLE_SHARE = 0.4
# How many of the newest settled windows a new holder reports, as the previous holder may not have
# reported them.
LOOKBACK_WINDOWS = 3
RETAINED_WINDOWS = 12


class UsageReporter:
    """Reports each usage window; its counts are stored first, so that repeated reports are equal.

    Args:
      cloud: Receives the reports.
      tables: Stores the counts to report, so that every holder sends the same ones.
      usage: This process's counts.
      ledger: The counts of all processes, stopped ones included.
      clock: The clock.
      log: The event log; gets one line per report.
      merge_own: Adds this process's own counts to the ledger where nobody else does.
      settle: How long after the end of a window its counts are stored.
    """

    def __init__(
        self,
        cloud: Cloud,
        tables: TableService,
        usage: UsageWindows,
        ledger: UsageLedger,
        clock: Clock,
        log: EventLog,
        merge_own: typing.Callable[[], None] = lambda: None,
        settle: datetime.timedelta = MAX_SETTLE_TIME,
    ):
        self._settle = settle
        self._cloud = cloud
        self._tables = tables
        self._usage = usage
        self._ledger = ledger
        self._clock = clock
        self._log = log
        self._merge_own = merge_own
        self._next: int | None = None
        self._has_loaded = False
        # Whether the counts to report were stored just now, or found in the store.
        self._has_stored = False

    async def step(self, lease: LeaseTask, name: str) -> None:
        """Reports all windows that are due, as long as the lease is held."""
        newest = self._usage.number(self._clock.now() - self._settle) - 1
        if self._next is None:
            self._next = newest - LOOKBACK_WINDOWS + 1
        if not self._has_loaded and not await self._load_known_usage():
            return
        while self._next <= newest:
            counts = await self._store_counts(self._next)
            grant = lease.grant()
            if counts is None or grant is None:
                return
            holder = Holder(name, grant.fencing, grant.end)
            outcome = await self._cloud.report_usage(holder, self._next, counts)
            self._log.write(
                "usage_reported",
                window=self._next,
                counts=counts,
                counts_from="stored" if self._has_stored else "found",
                fencing=grant.fencing,
                outcome=type(outcome).__name__,
            )
            if not isinstance(outcome, Ok | Declined):
                return
            self._next += 1

    def restart(self) -> None:
        """Resets the reporting state while this process does not hold the lease."""
        self._next = None
        self._has_loaded = False

    def known_usage_writes(self) -> tuple[Write, ...]:
        """Returns the writes to make with each lease renewal: all counts known to this process."""
        if not self._has_loaded:
            return ()
        self._merge_own()
        newest = self._usage.number(self._clock.now())
        return (Write(*KNOWN_USAGE_ROW, self._ledger.pack(newest, KNOWN_USAGE_WINDOWS)),)

    async def _load_known_usage(self):
        """Loads the counts that the previous holder knew; returns whether the store answered."""
        match await self._tables.read((KNOWN_USAGE_ROW,)):
            case Ok(value=rows):
                if rows[KNOWN_USAGE_ROW].value is not None:
                    self._ledger.merge_packed(rows[KNOWN_USAGE_ROW].value)
                self._has_loaded = True
        return self._has_loaded

    async def _store_counts(self, window):
        """Stores a window's counts unless some are stored already.

        Every `RETAINED_WINDOWS` windows it also deletes old rows.

        Returns:
          The stored counts, None if the store does not answer.
        """
        self._merge_own()
        counts = self._ledger.total(window)
        row_key = (USAGE_TABLE, _key(window))
        writes = [Write(*row_key, counts, expected=0)]
        if window % RETAINED_WINDOWS == 0:
            writes += [Write(USAGE_TABLE, _key(window - back)) for back in _old_windows()]
        outcome = await self._tables.transact(tuple(writes))
        self._has_stored = isinstance(outcome, Ok)
        match outcome:
            case Ok():
                return counts
            case Conflict(current=current) if row_key in current:
                return current[row_key].value
            case Conflict() | AnswerLost():
                return await self._read(row_key)
        return None

    async def _read(self, row_key):
        match await self._tables.read((row_key,)):
            case Ok(value=rows):
                row: Row = rows[row_key]
                return row.value
        return None


def settle_time(due: datetime.timedelta) -> datetime.timedelta:
    """Returns how long after a window's end its counts are stored, given when its report is due."""
    return min(MAX_SETTLE_TIME, SETTLE_SHARE * due)


def _key(window):
    return f"{window:012d}"


def _old_windows():
    return range(RETAINED_WINDOWS, 2 * RETAINED_WINDOWS)


class DutyTask(Task):
    """Performs the duties while this process holds the lease.

    Args:
      lease: The lease.
      holder: The name of this process.
      reporter: Reports usage, None if usage is not reported.
      orderer: Orders servers, None if servers are not ordered.
      clock: The clock.
      checks_fencing: Whether the platform refuses calls with an old fencing number.
    """

    name = "duties"

    def __init__(
        self,
        lease: LeaseTask,
        holder: str,
        reporter,
        orderer,
        clock: Clock,
        checks_fencing: bool = True,
    ):
        self._lease = lease
        self._checks_fencing = checks_fencing
        self._step_in_progress = asyncio.Lock()
        self._is_finished = False
        self._holder = holder
        self._reporter = reporter
        self._orderer = orderer
        self._clock = clock

    async def run(self):
        while not self._is_finished:
            grant = self._lease.grant()
            if grant is None:
                for part in (self._reporter, self._orderer):
                    if part is not None:
                        part.restart()
            elif grant.may_order(self._clock.monotonic(), self._checks_fencing):
                async with self._step_in_progress:
                    await self._step()
            await self._clock.sleep(STEP_INTERVAL)

    async def finish(self) -> None:
        """Ends the task; returns when no call is in transit.  The lease must not grant any more."""
        self._is_finished = True
        async with self._step_in_progress:
            return

    async def _step(self):
        if self._orderer is not None:
            await self._orderer.step(self._lease, self._holder)
        if self._reporter is not None:
            await self._reporter.step(self._lease, self._holder)
