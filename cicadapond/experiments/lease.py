"""Holders of a lease that are paused past its term: whose orders take effect, and when.

Three controllers give an order every 0.2 s while they may.  The holder is paused past its term,
twice; an order can be on its way for as long as the lease's settings allow, and the store loses
answers.  One engine checks fencing numbers, one does not.  Baselines: a holder that asks for its
grant once and not before each order, and a new holder that does not wait the old orders out.
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
CFG = LeaseSettings()
ORDER_INTERVAL = 0.2
PREPARATION = seconds(0.1)
PAUSE_SECONDS = 12.0
LOST_SHARE = 0.1
CONTROLLERS = 3


@attrs.define
class Engine:
    """Counts orders that take effect, by holder."""

    checks_fencing: bool
    newest: int = 0
    applied: list = attrs.field(factory=list)
    refused: int = 0

    def take(self, at, holder, fencing):
        """Takes an order, unless it checks fencing numbers and this one is old."""
        if self.checks_fencing and fencing < self.newest:
            self.refused += 1
            return
        self.newest = max(self.newest, fencing)
        self.applied.append((at, holder, fencing))

    def alternations(self) -> int:
        """Returns how many orders of an earlier holder came after a later one's."""
        newest, count = 0, 0
        for _, _, fencing in self.applied:
            count += fencing < newest
            newest = max(newest, fencing)
        return count

    def longest_gap(self, since) -> float:
        """Returns the longest time without an order, in seconds."""
        times = [at for at, _, _ in self.applied if at >= since]
        gaps = [b - a for a, b in itertools.pairwise(times)]
        return max(gaps, default=seconds(0)).total_seconds()


class Controller:
    """One process: its lease and the orders that it gives; it can be paused at any wait."""

    def __init__(self, world, number):
        self.name = f"controller-{number}"
        self.world = world
        self.paused_until = seconds(0)
        rng = random.Random(f"{world.seed}{number}")
        tables = DirectTables(world.tables)
        clock = world.clock
        self.lease = LeaseTask(CFG, "yqr", self.name, tables, clock, Metrics(), rng)
        self._kept = None

    async def wait(self, duration):
        """Sleeps, and then for as long as the process is paused."""
        await self.world.clock.sleep(duration)
        left = self.paused_until - self.world.clock.monotonic()
        if left > seconds(0):
            await self.world.clock.sleep(left)

    async def keep(self):
        """Keeps the lease."""
        while True:
            await self.lease.step()
            await self.wait(CFG.renewal * 0.8)

    async def give_orders(self):
        """Orders every engine while the grant holds."""
        while True:
            grant = self._grant()
            if grant is not None:
                await self.wait(PREPARATION)  # may be paused here
                for engine in self.world.engines:
                    self._order(engine, grant)
            await self.wait(seconds(ORDER_INTERVAL))

    def _grant(self):
        grant = self.lease.grant()
        self._kept = grant or self._kept
        return grant

    def _order(self, engine, grant):
        world = self.world
        if world.check_each_order:
            grant = self.lease.grant()
        if grant is None:
            return
        now = world.clock.monotonic()
        checks = engine.checks_fencing or not world.wait_out
        if world.check_each_order and not grant.may_order(now, checks):
            return
        way = CFG.order_limit.total_seconds() * world.rng.random()
        loop = asyncio.get_running_loop()
        arrive = (now + seconds(way), self.name, grant.fencing)
        loop.call_later(way, lambda: engine.take(*arrive))


class World:
    """Controllers, engines and a table service that loses answers."""

    def __init__(self, seed, check_each_order, wait_out):
        self.seed = seed
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.tables = TableModel(self.clock, random.Random(seed + 1))
        self.tables.faults.lose_after = LOST_SHARE
        self.check_each_order = check_each_order
        self.wait_out = wait_out
        self.engines = [Engine(True), Engine(False)]
        self.controllers = [Controller(self, number) for number in range(CONTROLLERS)]

    def holder(self):
        """Returns the controller that holds the lease, None if none does."""
        held = [found for found in self.controllers if found.lease.grant()]
        return held[0] if held else None


@attrs.frozen
class LeaseReport:
    """What one run came to.

    `alternations` and `gaps` (seconds) are of the engine that checks fencing numbers, then of the
    one that does not; `holders` counts changes of the holder.
    """

    alternations: tuple[int, int]
    gaps: tuple[float, float]
    holders: int
    refused: int


async def _run(seed, check_each_order, wait_out):
    world = World(seed, check_each_order, wait_out)
    tasks = [asyncio.ensure_future(c.keep()) for c in world.controllers]
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


def run_lease(seed: int, check_each_order: bool = True, wait_out: bool = True) -> LeaseReport:
    """Runs one case.

    Args:
      seed: Makes every random choice.
      check_each_order: Whether the grant is asked for right before each order.
      wait_out: Whether engines that do not check fencing numbers get orders only after the wait.
    """
    return run_virtual(_run(seed, check_each_order, wait_out))


CASES = (
    ("as built", True, True),
    ("grant not checked before each order", False, True),
    ("old orders not waited out", True, False),
)


@experiments.register("lease")
class LeaseExperiment(Experiment):
    """Orders of holders that are paused past their term."""

    summary = "whether two holders' orders alternate, and how long there are none"

    def run(self, seeds):
        rows = []
        for name, check, wait_out in CASES:
            reports = [run_lease(seed, check, wait_out) for seed in seeds]
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
