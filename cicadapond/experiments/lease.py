"""Lease holders that are paused past the term: whose orders take effect, and when.

Three controllers give orders every 0.2 s while they hold the lease.  The holder is paused past its
term, twice; orders are in transit for up to the lease's order limit, and the store loses answers.
One engine checks fencing numbers, one does not.  Baselines: a holder that checks its grant once
instead of before each order, and a new holder that does not wait until old orders have expired.
"""

import asyncio
import itertools
import random

import attrs

from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.kernel import Metrics, VirtualClock, run_virtual, seconds
from cicadapond.lease import LeaseSettings, LeaseTask
from cicadapond.standin import DirectTables, TableModel

TARGET_SECONDS = 5.0
LEASE_CFG = LeaseSettings()
ORDER_INTERVAL_SECONDS = 0.2
ORDER_PREPARATION = seconds(0.1)
PAUSE_SECONDS = 12.0
LOST_ANSWER_SHARE = 0.1
CONTROLLERS = 3


@attrs.define
class Engine:
    """Records the orders that take effect."""

    checks_fencing: bool
    newest: int = 0
    applied: list = attrs.field(factory=list)
    refused: int = 0

    def receive_order(self, at, holder, fencing):
        """Applies an order; an engine that checks fencing numbers refuses outdated ones."""
        if self.checks_fencing and fencing < self.newest:
            self.refused += 1
            return
        self.newest = max(self.newest, fencing)
        self.applied.append((at, holder, fencing))

    def alternations(self) -> int:
        """Returns the number of orders applied after an order with a higher fencing number."""
        newest, count = 0, 0
        for _, _, fencing in self.applied:
            count += fencing < newest
            newest = max(newest, fencing)
        return count

    def longest_gap(self, start) -> float:
        """Returns the longest time between two orders from `start` on, in seconds."""
        times = [at for at, _, _ in self.applied if at >= start]
        gaps = [b - a for a, b in itertools.pairwise(times)]
        return max(gaps, default=seconds(0)).total_seconds()


class Controller:
    """One process: its lease and the orders that it gives; it can be paused at each wait."""

    def __init__(self, world, number):
        self.name = f"controller-{number}"
        self.world = world
        self.paused_until = seconds(0)
        rng = random.Random(f"{world.seed}{number}")
        tables = DirectTables(world.tables)
        clock = world.clock
        self.lease = LeaseTask(LEASE_CFG, "yqr", self.name, tables, clock, Metrics(), rng)
        self._last_grant = None

    async def wait(self, duration):
        """Sleeps for a duration, and then until the process is no longer paused."""
        await self.world.clock.sleep(duration)
        left = self.paused_until - self.world.clock.monotonic()
        if left > seconds(0):
            await self.world.clock.sleep(left)

    async def renew_lease(self):
        """Acquires and renews the lease until cancelled."""
        while True:
            await self.lease.step()
            await self.wait(LEASE_CFG.renewal * 0.8)

    async def give_orders(self):
        """Gives orders to every engine while the lease is held, until cancelled."""
        while True:
            grant = self._grant()
            if grant is not None:
                await self.wait(ORDER_PREPARATION)  # the process can be paused here
                for engine in self.world.engines:
                    self._order(engine, grant)
            await self.wait(seconds(ORDER_INTERVAL_SECONDS))

    def _grant(self):
        grant = self.lease.grant()
        self._last_grant = grant or self._last_grant
        return grant

    def _order(self, engine, grant):
        world = self.world
        if world.check_each_order:
            grant = self.lease.grant()
        if grant is None:
            return
        now = world.clock.monotonic()
        checks = engine.checks_fencing or not world.wait_for_old_orders
        if world.check_each_order and not grant.may_order(now, checks):
            return
        transit_seconds = LEASE_CFG.order_limit.total_seconds() * world.rng.random()
        loop = asyncio.get_running_loop()
        order = (now + seconds(transit_seconds), self.name, grant.fencing)
        loop.call_later(transit_seconds, lambda: engine.receive_order(*order))


class World:
    """Controllers, engines and a table service that loses answers."""

    def __init__(self, seed, check_each_order, wait_for_old_orders):
        self.seed = seed
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.tables = TableModel(self.clock, random.Random(seed + 1))
        self.tables.faults.lose_after = LOST_ANSWER_SHARE
        self.check_each_order = check_each_order
        self.wait_for_old_orders = wait_for_old_orders
        self.engines = [Engine(True), Engine(False)]
        self.controllers = [Controller(self, number) for number in range(CONTROLLERS)]

    def holder(self):
        """Returns the controller that holds the lease, or None."""
        holding = [controller for controller in self.controllers if controller.lease.grant()]
        return holding[0] if holding else None


@attrs.frozen
class LeaseReport:
    """The results of one run.

    `alternations` and `gaps` (seconds) are for the engine that checks fencing numbers, then for the
    one that does not; `holders` is the highest fencing number of an applied order.
    """

    alternations: tuple[int, int]
    gaps: tuple[float, float]
    holders: int
    refused: int


async def _run(seed, check_each_order, wait_for_old_orders):
    world = World(seed, check_each_order, wait_for_old_orders)
    tasks = [asyncio.ensure_future(c.renew_lease()) for c in world.controllers]
    tasks += [asyncio.ensure_future(c.give_orders()) for c in world.controllers]
    await world.clock.sleep(seconds(5))
    began = world.clock.monotonic()
    for _ in range(2):
        while world.holder() is None:
            await world.clock.sleep(seconds(0.05))
        holder = world.holder()
        await world.clock.sleep(seconds(world.rng.random()))
        holder.paused_until = world.clock.monotonic() + seconds(PAUSE_SECONDS)
        await world.clock.sleep(seconds(PAUSE_SECONDS + 8 * world.rng.random()))
    await world.clock.sleep(seconds(10))
    for task in tasks:
        task.cancel()
    return LeaseReport(
        tuple(engine.alternations() for engine in world.engines),
        tuple(engine.longest_gap(began) for engine in world.engines),
        max(fencing for _, _, fencing in world.engines[0].applied),
        world.engines[0].refused,
    )


def run_lease(
    seed: int, check_each_order: bool = True, wait_for_old_orders: bool = True
) -> LeaseReport:
    """Runs one case.

    Args:
      seed: Seed of all random choices.
      check_each_order: Whether the grant is checked immediately before each order.
      wait_for_old_orders: Whether a new holder waits until old orders have expired before it
        gives orders to engines that do not check fencing numbers.
    """
    return run_virtual(_run(seed, check_each_order, wait_for_old_orders))


CASES = (
    ("as built", True, True),
    ("grant not checked before each order", False, True),
    ("old orders not waited out", True, False),
)


@experiments.register("lease")
class LeaseExperiment(Experiment):
    """Measures the orders of holders that are paused past their term."""

    summary = "whether the orders of two holders interleave, and the longest gap without any"

    def run(self, seeds):
        rows = []
        for name, check, wait_for_old_orders in CASES:
            reports = [run_lease(seed, check, wait_for_old_orders) for seed in seeds]
            rows.append(
                (
                    name,
                    sum(report.holders - 1 for report in reports),
                    sum(report.alternations[0] for report in reports),
                    sum(report.alternations[1] for report in reports),
                    max(report.gaps[0] for report in reports),
                    max(report.gaps[1] for report in reports),
                    sum(report.refused for report in reports),
                )
            )
        columns = (
            "variant",
            "changes of holder",
            "alternations, fencing checked",
            "alternations, not checked",
            "longest gap, checked, s",
            "longest gap, not checked, s",
            "orders refused by fencing",
        )
        return (Table("Paused holders", columns, tuple(rows)),)
