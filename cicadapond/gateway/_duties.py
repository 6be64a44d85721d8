"""The duties of the lease's holder: usage reports and orders of servers."""

import datetime
import typing

from cicadapond.eventlog import EventLog
from cicadapond.gateway._cloud import Cloud, Declined, Holder, ServerOrder
from cicadapond.kernel import AnswerLost, Clock, Conflict, Ok, Task
from cicadapond.lease import LeaseTask
from cicadapond.provider import Row, TableService, Write
from cicadapond.usage import UsageLedger, UsageWindows

STEP_INTERVAL = datetime.timedelta(milliseconds=500)
USAGE_TABLE = "usage"
# What processes counted until their planned end, as those that start later have not heard them.
FINAL_USAGE_TABLE = "left_usage"
# What the holder has heard of all processes, as all of them may end at once.
KNOWN_USAGE_ROW = ("heard_usage", "all")
KNOWN_USAGE_WINDOWS = 3
# A window's counts of other processes arrive within two seconds; the rest is for their clocks.
MAX_SETTLE_TIME = datetime.timedelta(seconds=4)
# The part of the time until a report is due that its counts may take to settle.
SETTLE_SHARE = 0.4
# How many windows back a new holder looks for reports that its predecessor did not send.
LOOKBACK_WINDOWS = 3
RETAINED_WINDOWS = 12


class UsageReporter:
    """Reports each window once, with counts that are fixed in the store before they are sent.

    Args:
      cloud: Takes the reports.
      tables: Keeps the fixed counts, so that every holder sends the same.
      usage: This process's counts.
      ledger: Takes the counts that ended processes left, and has those of the others.
      clock: Gives true time.
      log: Takes a line for each report.
      own: Returns this process's name and what tells this start of it from others, None before
        the others know it.
      settle: How long after its end a window's counts are fixed.
    """

    def __init__(
        self,
        cloud: Cloud,
        tables: TableService,
        usage: UsageWindows,
        ledger: UsageLedger,
        clock: Clock,
        log: EventLog,
        own: typing.Callable[[], tuple[str, int] | None] = lambda: None,
        settle: datetime.timedelta = MAX_SETTLE_TIME,
    ):
        self._settle = settle
        self._cloud = cloud
        self._tables = tables
        self._usage = usage
        self._ledger = ledger
        self._clock = clock
        self._log = log
        self._identity = own
        self._next: int | None = None
        self._has_loaded = False

    async def step(self, lease: LeaseTask, name: str) -> None:
        """Reports the next window if it is due."""
        newest = self._usage.number(self._clock.now() - self._settle) - 1
        if self._next is None:
            self._next = newest - LOOKBACK_WINDOWS + 1
        if self._next <= newest and not await self._load_final_usage():
            return
        while self._next <= newest:
            counts = await self._fix_counts(self._next)
            grant = lease.grant()
            if counts is None or grant is None:
                return
            holder = Holder(name, grant.fencing)
            outcome = await self._cloud.report_usage(holder, self._next, counts)
            self._log.write(
                "usage_reported",
                window=self._next,
                counts=counts,
                fencing=grant.fencing,
                outcome=type(outcome).__name__,
            )
            if not isinstance(outcome, Ok | Declined):
                return
            self._next += 1

    def restart(self) -> None:
        """Forgets how far reports have come, for the next time that the lease is held."""
        self._next = None
        self._has_loaded = False

    def known_usage_writes(self) -> tuple[Write, ...]:
        """Returns what to write with each renewal of the lease: all counts that are known here."""
        place = self._identity()
        if place is None or not self._has_loaded:
            return ()
        newest = self._usage.number(self._clock.now())
        own = (*place, self._usage.counts())
        return (Write(*KNOWN_USAGE_ROW, self._ledger.pack(own, newest, KNOWN_USAGE_WINDOWS)),)

    async def _load_known_usage(self):
        """Takes what the holder before had heard; returns whether the store answered."""
        match await self._tables.read((KNOWN_USAGE_ROW,)):
            case Ok(value=rows):
                if rows[KNOWN_USAGE_ROW].value is not None:
                    self._ledger.unpack(rows[KNOWN_USAGE_ROW].value, self._identity())
                self._has_loaded = True
        return self._has_loaded

    async def _load_final_usage(self):
        """Takes the counts that processes left at their end; returns whether the store answered."""
        if not self._has_loaded and not await self._load_known_usage():
            return False
        found = await self._tables.scan(FINAL_USAGE_TABLE)
        if not isinstance(found, Ok):
            return False
        old = []
        for row in found.value:
            process, start, windows = row.value
            self._ledger.hear(process, start, windows)
            if all(window < self._next - RETAINED_WINDOWS for window in windows):
                old.append(Write(FINAL_USAGE_TABLE, row.key, expected=row.version))
        if old:
            await self._tables.transact(tuple(old))
        return True

    async def _fix_counts(self, window):
        """Returns the counts of a window as the store holds them, None if it does not answer."""
        counts = self._ledger.add_up(window, self._usage.counts())
        place = (USAGE_TABLE, _key(window))
        writes = [Write(*place, counts, expected=0)]
        if window % RETAINED_WINDOWS == 0:
            writes += [Write(USAGE_TABLE, _key(window - back)) for back in _old_windows()]
        match await self._tables.transact(tuple(writes)):
            case Ok():
                return counts
            case Conflict(current=current) if place in current:
                return current[place].value
            case Conflict() | AnswerLost():
                return await self._read(place)
        return None

    async def _read(self, place):
        match await self._tables.read((place,)):
            case Ok(value=rows):
                row: Row = rows[place]
                return row.value
        return None


def settle_time(due: datetime.timedelta) -> datetime.timedelta:
    """Returns how long after a window's end its counts are fixed, if its report is due so late."""
    return min(MAX_SETTLE_TIME, SETTLE_SHARE * due)


async def store_final_usage(
    tables: TableService, process: str, start: int, usage: UsageWindows
) -> None:
    """Leaves a process's counts in the store at its planned end.

    Args:
      tables: The store.
      process: The process's name.
      start: What tells this start of it from others, as the other processes know it.
      usage: Its counts.
    """
    row = [process, start, usage.counts()]
    await tables.transact((Write(FINAL_USAGE_TABLE, f"{process}/{start}", row),))


def _key(window):
    return f"{window:012d}"


def _old_windows():
    return range(RETAINED_WINDOWS, 2 * RETAINED_WINDOWS)


class DutyTask(Task):
    """Does the duties while this process holds the lease.

    Args:
      lease: Says whether it does.
      holder: The process's name.
      reporter: Reports usage, None if that is no duty here.
      orderer: Orders servers, None if that is no duty here.
      clock: Gives the time.
    """

    name = "duties"

    def __init__(self, lease: LeaseTask, holder: str, reporter, orderer, clock: Clock):
        self._lease = lease
        self._holder = holder
        self._reporter = reporter
        self._orderer = orderer
        self._clock = clock

    async def run(self):
        while True:
            if self._lease.grant() is None:
                for part in (self._reporter, self._orderer):
                    if part is not None:
                        part.restart()
            else:
                await self._step()
            await self._clock.sleep(STEP_INTERVAL)

    async def _step(self):
        if self._orderer is not None:
            await self._orderer.step(self._lease, self._holder)
        if self._reporter is not None:
            await self._reporter.step(self._lease, self._holder)


class ServerOrderer:
    """Sends the orders that differ from what was ordered before, or that were not carried out.

    Args:
      cloud: Takes the orders.
      plan: Returns the orders that should be in force.
      replan: Has the plan forget the past.
      missing: Returns whether an order is not carried out, though there was time for it.
      clock: Gives the time.
      log: Takes a line for each order.
    """

    RETRY_INTERVAL = datetime.timedelta(seconds=3)

    def __init__(self, cloud: Cloud, plan, replan, missing, clock: Clock, log: EventLog):
        self._cloud = cloud
        self._plan = plan
        self._replan = replan
        self._missing = missing
        self._clock = clock
        self._log = log
        self._sent: dict[tuple, tuple[int, datetime.timedelta]] = {}

    def restart(self) -> None:
        """Forgets what was ordered, for the next time that the lease is held."""
        self._sent.clear()
        self._replan()

    async def step(self, lease: LeaseTask, name: str) -> None:
        """Sends the orders that are due."""
        for order in self._plan():
            if not self._is_due(order):
                continue
            grant = lease.grant()
            if grant is None:
                return
            place = (order.service, order.zone, order.reclaimable)
            outcome = await self._cloud.order(Holder(name, grant.fencing), order)
            count = order.count if isinstance(outcome, Ok) else -1
            self._sent[place] = (count, self._clock.monotonic())
            self._log.write(
                "servers_ordered",
                service=order.service,
                zone=order.zone,
                reclaimable=order.reclaimable,
                count=order.count,
                fencing=grant.fencing,
                outcome=type(outcome).__name__,
                reason=getattr(outcome, "reason", None),
            )

    def _is_due(self, order: ServerOrder) -> bool:
        place = (order.service, order.zone, order.reclaimable)
        count, at = self._sent.get(place, (None, None))
        if count is None:
            return True
        waited = self._clock.monotonic() - at >= self.RETRY_INTERVAL
        if count == order.count:
            return waited and self._missing(order, at)
        return count >= 0 or waited
