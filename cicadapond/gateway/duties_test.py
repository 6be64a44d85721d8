"""Tests of the duties: consistent usage reports across lease holders, and server orders."""

import asyncio
import datetime
import itertools
import random

import attrs
import pytest

from cicadapond.gateway import Cloud, Declined
from cicadapond.gateway._duties import (
    DutyTask,
    UsageReporter,
)
from cicadapond.gateway._orders import OrderPlan, ServerOrderer
from cicadapond.kernel import (
    AnswerLost,
    Metrics,
    Ok,
    Unavailable,
    VirtualClock,
    run_virtual,
    seconds,
)
from cicadapond.lease import LeaseSettings, LeaseTask
from cicadapond.provider import Write
from cicadapond.scaling import Listed
from cicadapond.serving import ServerOrder
from cicadapond.standin import DirectTables, TableModel
from cicadapond.usage import StoredCounts, UsageLedger, UsageWindows

WINDOW = seconds(5)


@attrs.define
class Log:
    entries: list = attrs.field(factory=list)

    def write(self, event, **fields):
        self.entries.append(fields)


@attrs.define
class RecordingCloud(Cloud):
    outcomes: list = attrs.field(factory=list)
    reports: list = attrs.field(factory=list)
    orders: list = attrs.field(factory=list)

    def _outcome(self):
        return self.outcomes.pop(0) if self.outcomes else Ok(None)

    async def report_usage(self, holder, window, counts):
        self.reports.append((holder.fencing, window, dict(counts)))
        return self._outcome()

    async def order(self, holder, order):
        self.orders.append(order)
        return self._outcome()


@attrs.frozen
class Grant:
    fencing: int
    end: datetime.timedelta = seconds(60)


@attrs.define
class Lease:
    """A lease held with a fencing token, or not held if it is None."""

    fencing: int | None = 1

    def grant(self):
        return Grant(self.fencing) if self.fencing is not None else None

    def held_check(self):
        if self.fencing is None:
            return None
        return Write("leases", "duties", expected=0, check_only=True)


@attrs.define
class World:
    clock: VirtualClock
    tables: TableModel
    cloud: RecordingCloud
    usage: UsageWindows
    ledger: UsageLedger
    log: Log = attrs.field(factory=Log)

    def reporter(self, ledger=None, usage=None, run="a/1", stored=None, tables=None):
        usage = self.usage if usage is None else usage
        ledger = self.ledger if ledger is None else ledger
        return UsageReporter(
            self.cloud,
            tables or DirectTables(self.tables),
            usage,
            ledger,
            stored or StoredCounts(),
            self.clock,
            Log(),
            lambda: ledger.merge(run, usage.counts()),
        )


def play(script):
    async def main():
        clock = VirtualClock()
        tables = TableModel(clock, random.Random(1))
        world = World(clock, tables, RecordingCloud(), UsageWindows(WINDOW), UsageLedger())
        await script(world)

    run_virtual(main())


def test_each_window_is_reported_once_after_the_settle_time():
    async def script(world):
        reporter = world.reporter()
        await reporter.step(Lease(), "a")
        world.cloud.reports.clear()
        window = world.usage.number(world.clock.now())
        world.usage.count("acme", world.clock.now())
        world.ledger.merge("b/1", {window: {"acme": 2, "other": 1}})
        for _ in range(40):
            await world.clock.sleep(seconds(0.5))
            await reporter.step(Lease(), "a")
        windows = [report[1] for report in world.cloud.reports]
        assert windows == sorted(set(windows))
        assert (1, window, {"acme": 3, "other": 1}) in world.cloud.reports

    play(script)


@pytest.mark.parametrize("lost", [AnswerLost("lost"), Unavailable("down")])
def test_an_unanswered_report_is_repeated_unchanged_despite_new_counts(lost):
    async def script(world):
        reporter = world.reporter()
        world.cloud.outcomes = [lost]
        await reporter.step(Lease(), "a")
        window = world.cloud.reports[0][1]
        world.ledger.merge("b/1", {window: {"acme": 9}})
        await reporter.step(Lease(), "a")
        assert world.cloud.reports[0] == world.cloud.reports[1]

    play(script)


def test_a_new_holder_sends_the_counts_that_its_predecessor_stored():
    async def script(world):
        window = world.usage.number(world.clock.now() - seconds(4)) - 1
        world.ledger.merge("c/1", {window: {"acme": 5}})
        world.cloud.outcomes = [AnswerLost("lost")] * 3
        await world.reporter().step(Lease(1), "a")
        other = UsageLedger()
        other.merge("c/1", {window: {"acme": 4}})
        successor = world.reporter(ledger=other, usage=UsageWindows(WINDOW))
        await successor.step(Lease(2), "b")
        sent = {}
        for _, number, counts in world.cloud.reports:
            assert sent.setdefault(number, counts) == counts

    play(script)


def test_no_report_without_the_lease():
    async def script(world):
        await world.reporter().step(Lease(None), "a")
        assert world.cloud.reports == []

    play(script)


def test_counts_known_to_the_holder_survive_a_stop_of_all_processes():
    async def script(world):
        tables = DirectTables(world.tables)
        window = world.usage.number(world.clock.now())
        world.usage.count("acme", world.clock.now())
        world.ledger.merge("b/1", {window: {"acme": 2}})
        holder = world.reporter()
        # The counts of the previous holder must not be overwritten.
        assert holder.known_usage_writes() == ()
        await holder.step(Lease(), "a")
        assert isinstance(await tables.transact(holder.known_usage_writes()), Ok)
        successor = world.reporter(UsageLedger(), UsageWindows(WINDOW), run="a/2")
        await successor.step(Lease(2), "a")
        await world.clock.sleep(seconds(10))
        await successor.step(Lease(2), "a")
        assert (2, window, {"acme": 3}) in world.cloud.reports

    play(script)


# Orders

ORDER = ServerOrder("pool", "a", True, 2)


@attrs.define
class FixedPlan(OrderPlan):
    """Returns given orders; `servers` are how many servers are listed for each."""

    planned: list
    servers: int | None = None
    arriving_seen: list = attrs.field(factory=list)

    def orders(self, arriving):
        self.arriving_seen.append(arriving("pool", seconds(4)))
        return list(self.planned)

    def listed(self, order):
        return Listed(order.count if self.servers is None else self.servers)

    def boot(self, service):
        return seconds(4)

    def inputs(self, service):
        return {"basis": "base"}


def orderer(world, plan, servers=None):
    plan = plan if isinstance(plan, OrderPlan) else FixedPlan(plan, servers)
    return ServerOrderer(world.cloud, plan, world.clock, world.log, Metrics())


async def steps(world, server_orderer, count, lease=None):
    for _ in range(count):
        await server_orderer.step(lease or Lease(), "a")
        await world.clock.sleep(seconds(0.5))


def test_an_order_is_sent_once_and_again_when_the_plan_changes():
    async def script(world):
        plan = [ORDER]
        server_orderer = orderer(world, plan, servers=1)
        await steps(world, server_orderer, 10)
        assert world.cloud.orders == [ORDER]
        plan[0] = attrs.evolve(ORDER, count=3)
        await steps(world, server_orderer, 10)
        assert world.cloud.orders == [ORDER, plan[0]]

    play(script)


def test_a_declined_order_is_retried_at_growing_intervals():
    async def script(world):
        plan, times = FixedPlan([ORDER], servers=0), []
        server_orderer = orderer(world, plan)
        world.cloud.outcomes = [Declined("none")] * 5
        for _ in range(60):
            before = len(world.cloud.orders)
            await steps(world, server_orderer, 1)
            if len(world.cloud.orders) > before:
                times.append(world.clock.monotonic())
            if len(times) == 6:
                plan.servers = ORDER.count
        waits = [(b - a).total_seconds() for a, b in itertools.pairwise(times)]
        assert len(world.cloud.orders) == 6  # until one is accepted
        assert waits == sorted(waits)
        assert 1.5 <= waits[0] < waits[-1] <= 5.0

    play(script)


def test_an_unfulfilled_order_is_repeated_once_its_servers_had_time_to_start():
    async def script(world):
        server_orderer = orderer(world, [ORDER], servers=0)
        await steps(world, server_orderer, 14)
        assert len(world.cloud.orders) == 1
        await steps(world, server_orderer, 2)
        assert len(world.cloud.orders) == 2

    play(script)


def test_on_demand_servers_are_planned_with_what_became_of_the_reclaimable_ones():
    """Else on-demand servers are ordered beside reclaimable ones that are about to start."""

    async def script(world):
        on_demand = ServerOrder("pool", "a", False, 1)
        plan = FixedPlan([on_demand, ORDER], servers=0)
        await steps(world, orderer(world, plan), 1)
        assert world.cloud.orders == [ORDER, on_demand]
        assert plan.arriving_seen == [{}, {"a": 2}]
        assert [(entry["cause"], entry["outcome"]) for entry in world.log.entries] == [
            ("first", "Ok"),
            ("first", "Ok"),
        ]

    play(script)


def test_no_order_without_the_lease():
    async def script(world):
        await steps(world, orderer(world, [ORDER]), 3, Lease(None))
        assert world.cloud.orders == []

    play(script)


class SlowOrderer:
    """Makes one call per step, which takes a while."""

    def __init__(self, clock, lasts):
        self.clock = clock
        self.lasts = lasts
        self.begun = []
        self.ended = []

    def restart(self):
        return None

    async def step(self, lease, name):
        self.begun.append(self.clock.monotonic())
        await self.clock.sleep(self.lasts)
        self.ended.append(self.clock.monotonic())


def lease_task(world, name, tables=None, start=0):
    cfg = LeaseSettings(term=seconds(3), margin=seconds(0.9), order_limit=seconds(0.8))
    tables = tables or DirectTables(world.tables)
    return LeaseTask(
        cfg, "duties", name, tables, world.clock, Metrics(), random.Random(f"{name} {start}")
    )


def test_a_call_in_transit_is_awaited_before_the_lease_is_released():
    """A late call would reach a platform that checks no fencing after the next holder's calls."""

    async def script(world):
        lease = lease_task(world, "a")
        await lease.step()
        slow = SlowOrderer(world.clock, seconds(0.6))
        duties = DutyTask(lease, "a", None, slow, world.clock, checks_fencing=False)
        running = asyncio.ensure_future(duties.run())
        await world.clock.sleep(seconds(0.1))
        assert slow.begun
        assert not slow.ended
        lease.stop_acting()
        await duties.finish()
        assert len(slow.ended) == 1
        await lease.release()
        await world.clock.sleep(seconds(2))
        assert len(slow.begun) == 1
        running.cancel()

    play(script)


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_a_new_holder_waits_for_calls_in_transit_where_fencing_is_not_checked(checks_fencing):
    async def script(world):
        former, lease = lease_task(world, "a"), lease_task(world, "b")
        await former.step()
        await lease.step()
        await world.clock.sleep(seconds(3.1))
        await lease.step()
        taken = world.clock.monotonic()
        slow = SlowOrderer(world.clock, seconds(0.01))
        duties = DutyTask(lease, "b", None, slow, world.clock, checks_fencing)
        running = asyncio.ensure_future(duties.run())
        await world.clock.sleep(seconds(1.5))
        waited = slow.begun[0] - taken
        assert waited < seconds(0.1) if checks_fencing else waited > seconds(0.7)
        running.cancel()

    play(script)
