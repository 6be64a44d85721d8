"""Rows of the product's own that their writers write again after the store was restored."""

import asyncio
import collections
import datetime
import random
import types

import pytest

from cicadapond.data import Endpoint
from cicadapond.gateway._crash_causes import CrashCauses
from cicadapond.gateway._discovery import PROCESS_TABLE, ProcessDiscovery
from cicadapond.kernel import VirtualClock, run_virtual, seconds
from cicadapond.standin import DirectTables, TableModel

WRITES_PER_SECOND = 100.0
# The store's other writers go on meanwhile.
MAX_SHARE = 0.5
RECOVERY = seconds(15)


class Clock(VirtualClock):
    def store_epoch(self):
        return self.now().timestamp()

    def correct(self, readings):
        return None


class Log:
    def write(self, event, **fields):
        return None


class CountingTables(DirectTables):
    """Notes the second of each write."""

    def __init__(self, model, clock):
        super().__init__(model)
        self.clock = clock
        self.writes = collections.Counter()

    async def transact(self, writes):
        self.writes[int(self.clock.monotonic().total_seconds())] += 1
        return await super().transact(writes)


class World:
    def __init__(self):
        self.clock = Clock()
        self.model = TableModel(self.clock, random.Random(1))
        self.tables = CountingTables(self.model, self.clock)
        self.tasks = []

    def start(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def start_process(self, number, count):
        name = f"p{number}"
        cfg = types.SimpleNamespace(
            name=name,
            zone="z",
            peers=(Endpoint("::1", number),),
            store_writes_per_second=WRITES_PER_SECOND,
        )
        parts, rng = types.SimpleNamespace(cfg=cfg, log=Log()), random.Random(number)
        discovery = ProcessDiscovery(parts, self.tables, self.clock, rng)
        rows = await discovery.register()
        self.start(discovery.keep_registered(lambda: count))
        return discovery.seeds(rows)

    def start_causes(self, name, culprits, sharers):
        crashes = types.SimpleNamespace(culprits=lambda: culprits, restore=lambda stored: None)
        cluster = types.SimpleNamespace(sharers=lambda: sharers)
        causes = CrashCauses(crashes, self.tables, cluster, name, self.clock, Log())
        self.start(causes.run())


def run(check):
    async def main():
        world = World()
        await check(world)
        for task in world.tasks:
            task.cancel()

    run_virtual(main())


@pytest.mark.parametrize("count", [1, 3, 300])
def test_the_rows_of_all_processes_are_back_after_a_restore_without_a_rush_of_writes(count):
    async def check(world):
        empty = world.model.take_copy()
        for number in range(count):
            await world.start_process(number, count)
        world.model.restore(empty)
        world.tables.writes.clear()
        await world.clock.sleep(RECOVERY)
        assert len(world.model.rows(PROCESS_TABLE)) == count
        assert sum(world.tables.writes.values()) == count
        assert max(world.tables.writes.values()) <= MAX_SHARE * WRITES_PER_SECOND
        seeds = await world.start_process(count, count)
        assert len(seeds) == count

    run(check)


def test_a_row_that_could_not_be_written_again_is_tried_again():
    async def check(world):
        empty = world.model.take_copy()
        await world.start_process(0, 1)
        world.model.restore(empty)
        world.tables.reachable = False
        await world.clock.sleep(seconds(5))
        world.tables.reachable = True
        await world.clock.sleep(seconds(2))
        assert len(world.model.rows(PROCESS_TABLE)) == 1

    run(check)


def test_what_is_blamed_for_crashes_is_stored_again_after_a_restore():
    async def check(world):
        copy, at = world.model.take_copy(), datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
        names = ("a", "b", "c")
        for name in names:
            world.start_causes(name, {"part bad": at}, names)
        await world.clock.sleep(seconds(2))
        before = [row.value for row in world.model.rows("crash_causes")]
        world.model.restore(copy)
        assert not world.model.rows("crash_causes")
        await world.clock.sleep(seconds(2))
        assert [row.value for row in world.model.rows("crash_causes")] == before != []

    run(check)
