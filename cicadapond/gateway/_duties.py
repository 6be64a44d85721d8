"""The task that only the lease holder performs, and its usage reports."""

import asyncio
import datetime
import typing

import attrs

from cicadapond.eventlog import EventLog
from cicadapond.gateway._cloud import Cloud, Declined, Holder
from cicadapond.kernel import AnswerLost, Clock, Conflict, Ok, Task
from cicadapond.lease import LeaseTask
from cicadapond.provider import Row, TableService, Write, era_of, version_in_era
from cicadapond.usage import StoredCounts, UsageLedger, UsageWindows

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
# The clocks of two processes differ by less than this, as they may jump by seconds.
CLOCK_TOLERANCE = datetime.timedelta(seconds=5)


@attrs.frozen
class _Withheld:
    """A window that is not reported, as a second report could have other counts."""

    reason: str


class UsageReporter:
    """Reports each usage window; its counts are stored first, so that repeated reports are equal.

    The store may lose them when it is restored from an older copy.  A holder that knows the stored
    counts stores them again; one that does not withholds each window that another one may have
    stored before the restore.

    Args:
      cloud: Receives the reports.
      tables: Stores the counts to report, so that every holder sends the same ones.
      usage: This process's counts.
      ledger: The counts of all processes, stopped ones included.
      stored: The counts that are known to have been stored.
      clock: The clock.
      log: The event log; gets one line per report.
      merge_own: Adds this process's own counts to the ledger where nobody else does.
      settle: How long after the end of a window its counts are stored.
      publish_soon: Tells the other processes soon which counts are stored.
    """

    def __init__(
        self,
        cloud: Cloud,
        tables: TableService,
        usage: UsageWindows,
        ledger: UsageLedger,
        stored: StoredCounts,
        clock: Clock,
        log: EventLog,
        merge_own: typing.Callable[[], None] = lambda: None,
        settle: datetime.timedelta = MAX_SETTLE_TIME,
        publish_soon: typing.Callable[[], None] = lambda: None,
    ):
        self._settle = settle
        self._cloud = cloud
        self._tables = tables
        self._usage = usage
        self._ledger = ledger
        self._stored = stored
        self._clock = clock
        self._log = log
        self._merge_own = merge_own
        self._publish_soon = publish_soon
        # The windows to store and to report next.
        self._next: int | None = None
        self._next_report: int | None = None
        self._has_loaded = False
        self._fencing: int | None = None
        self._held_since: datetime.datetime | None = None
        self._era = 0
        self._written_era = 0
        # Whether the counts to report were stored just now, or found in the store.
        self._has_stored = False

    async def step(self, lease: LeaseTask, name: str) -> None:
        """Reports all windows that are due, as long as the lease is held."""
        grant, held = lease.grant(), lease.held_check()
        if grant is None or held is None:
            return
        newest = self._usage.number(self._clock.now() - self._settle) - 1
        self._look_back(newest, grant.fencing, era_of(held.expected))
        if not self._has_loaded and not await self._load_known_usage():
            return
        while self._next <= newest:
            stored = await self._store_counts(self._next, lease)
            if stored is None:
                return
            if self._next >= self._next_report:
                if not await self._report(self._next, stored, lease, name):
                    return
                self._next_report = self._next + 1
            self._next += 1

    def restart(self) -> None:
        """Resets the reporting state while this process does not hold the lease."""
        self._next = None
        self._fencing = None
        self._has_loaded = False

    async def write_again(self) -> None:
        """Stores once in each era what this process stored before, if the rows are missing.

        For a process without the lease: the next holder may not know of these counts.
        """
        era = self._tables.era()
        if era == self._written_era:
            return
        for window, counts in self._stored.own().items():
            write = Write(USAGE_TABLE, _key(window), counts, expected=version_in_era(era, 0))
            if not isinstance(await self._tables.transact((write,)), Ok | Conflict):
                return
        self._written_era = era

    def _look_back(self, newest, fencing, era):
        """Goes back to the windows whose rows may be missing: for a new holder, and a new era."""
        if fencing != self._fencing:
            self.restart()
            self._fencing = fencing
            self._held_since = self._clock.now()
        first = newest - LOOKBACK_WINDOWS + 1
        if self._next is None:
            self._next = self._next_report = first
        elif era != self._era:
            self._next = min(self._next, first)
        self._era = era

    async def _report(self, window, stored, lease, name):
        """Reports the stored counts of a window; returns whether that is settled."""
        if isinstance(stored, _Withheld):
            self._log.write("usage_withheld", window=window, reason=stored.reason, era=self._era)
            return True
        grant = lease.grant()
        if grant is None:
            return False
        holder = Holder(name, grant.fencing, grant.end)
        outcome = await self._cloud.report_usage(holder, window, stored)
        self._log.write(
            "usage_reported",
            window=window,
            counts=stored,
            counts_from="stored" if self._has_stored else "found",
            fencing=grant.fencing,
            era=self._era,
            outcome=type(outcome).__name__,
        )
        return isinstance(outcome, Ok | Declined)

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

    async def _store_counts(self, window, lease):
        """Stores a window's counts unless some are stored already.

        Every `RETAINED_WINDOWS` windows it also deletes old rows.

        Returns:
          The stored counts; `_Withheld`; None if the store does not answer or the lease has passed
          on.
        """
        held = lease.held_check()
        if held is None:
            return None
        era = era_of(held.expected)
        row_key = (USAGE_TABLE, _key(window))
        known = self._stored.find(window)
        if known is None and self._may_be_lost(window, era, lease):
            # A row proves nothing: an earlier holder's late write may have taken effect since.
            return _Withheld("it may have been reported before the store was restored")
        self._merge_own()
        counts = self._ledger.total(window) if known is None else known
        # Conditional on the row of the lease, as a write that was sent before a restore must not
        # take effect after it.
        writes = [held, Write(*row_key, counts, expected=version_in_era(era, 0))]
        if window % RETAINED_WINDOWS == 0:
            writes += [Write(USAGE_TABLE, _key(window - back)) for back in _old_windows()]
        outcome = await self._tables.transact(tuple(writes))
        self._has_stored = isinstance(outcome, Ok)
        match outcome:
            case Ok():
                found = counts
            case Conflict(current=current) if row_key in current:
                found = self._value_in_era(current[row_key], era)
            case AnswerLost():
                found = self._value_in_era(await self._read(row_key), era)
            case _:
                return None
        return self._check(window, found)

    @staticmethod
    def _value_in_era(row, era):
        """Returns the value of a row, None if it was not read in the era of the lease's last row.

        The lease may have passed on before the restore that raised the era.
        """
        return row.value if row is not None and era_of(row.version) == era else None

    def _check(self, window, found):
        """Returns what a row holds unless other counts of its window are known to be stored."""
        if found is None:
            return None
        if self._stored.find(window) is None:
            self._stored.record(window, found)
            self._publish_soon()
        if self._stored.find(window) != found:
            return _Withheld("other counts were stored before")
        return found

    def _may_be_lost(self, window, era, lease):
        """Returns whether another holder may have stored a window before the last restore."""
        if era == 0:
            return False
        now = self._clock.now()
        settled = self._usage.end(window) + self._settle
        unseen = min(now - lease.era_age(), self._held_since) + CLOCK_TOLERANCE
        return settled <= unseen

    async def _read(self, row_key) -> Row | None:
        match await self._tables.read((row_key,)):
            case Ok(value=rows):
                return rows[row_key]
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
                if self._reporter is not None:
                    await self._reporter.write_again()
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
