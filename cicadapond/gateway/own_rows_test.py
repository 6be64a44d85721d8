"""Rows of the product's own that their writers write again after the store was restored."""

import asyncio
import collections
import datetime
import random
import types

import pytest

from cicadapond.containment import CrashTracker
from cicadapond.data import Endpoint
from cicadapond.gateway._crash_causes import SHARE_OF_READS, CrashCauses
from cicadapond.gateway._discovery import PROCESS_TABLE, ProcessDiscovery
from cicadapond.kernel import VirtualClock, run_virtual, seconds
from cicadapond.peer import rank
from cicadapond.provider import Write
from cicadapond.standin import DirectTables, TableModel

WRITES_PER_SECOND = 100.0
READS_PER_SECOND = 2000.0
CONTACT = seconds(3)
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
    """Notes the second of each write and of each read of a whole table."""

    def __init__(self, model, clock):
        super().__init__(model)
        self.clock = clock
        self.writes = collections.Counter()
        self.reads = collections.Counter()

    async def scan(self, *args):
        self.reads[int(self.clock.monotonic().total_seconds())] += 1
        return await super().scan(*args)

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

    async def start_process(self, number, count, is_alone=lambda: False, set_seeds=None):
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
        self.start(discovery.search(is_alone, set_seeds))
        return discovery.seeds(rows)

    def start_causes(self, name, crashes, sharers, live=None):
        cluster = types.SimpleNamespace(sharers=lambda: sharers, live=lambda: live or sharers)
        cfg = types.SimpleNamespace(name=name, store_reads_per_second=READS_PER_SECOND)
        causes = CrashCauses(crashes, self.tables, cluster, cfg, self.clock, Log())
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


def test_a_process_that_starts_before_the_rows_are_back_finds_the_others_once_they_are():
    async def check(world):
        empty, found = world.model.take_copy(), []
        for number in range(3):
            await world.start_process(number, 300)
        world.model.restore(empty)
        assert not await world.start_process(3, 300, lambda: True, found.append)
        await world.clock.sleep(RECOVERY)
        assert {endpoint.port for endpoint in found[-1]} == {0, 1, 2}

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


def test_a_cause_of_crashes_that_a_sound_request_cleared_is_not_blamed_after_a_restart():
    async def check(world):
        at = world.clock.now()
        old = {"at_ms": round(at.timestamp() * 1000)}
        await world.tables.transact((Write("crash_causes", "part old", old),))
        tracker = CrashTracker(world.clock, "z")
        for server in ("s-1/1", "s-2/1", "s-3/1"):
            await world.clock.sleep(seconds(0.1))
            tracker.record_broken_connection(("part aa", "part bad"), server)
            tracker.record_server_down(server)
        world.start_causes("a", tracker, ("a",))
        await world.clock.sleep(seconds(1))
        stored = {row.key: row.value["confirmed"] for row in world.model.rows("crash_causes")[:1]}
        assert stored == {"part aa,part bad": False}
        assert tracker.find_cause(("part old",)) and not tracker.is_confirmed("part old")
        tracker.record_success(("part aa", "part old"), world.clock.now())
        await world.clock.sleep(seconds(1))
        rows = {row.key: row.value["confirmed"] for row in world.model.rows("crash_causes")}
        assert rows == {"part bad": True}

    run(check)


def test_what_is_blamed_for_crashes_is_stored_again_after_a_restore():
    async def check(world):
        copy, at = world.model.take_copy(), datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
        names = ("a", "b", "c")
        for name in names:
            tracker = CrashTracker(world.clock, "z")
            tracker.restore({"part bad": at})
            world.start_causes(name, tracker, names)
        await world.clock.sleep(seconds(2))
        before = [row.value for row in world.model.rows("crash_causes")]
        world.model.restore(copy)
        assert not world.model.rows("crash_causes")
        await world.clock.sleep(seconds(2))
        assert [row.value for row in world.model.rows("crash_causes")] == before != []

    run(check)


def test_a_process_that_hears_no_other_one_shares_causes_of_crashes_with_them():
    """Guards against BUDGET: it learned of each cause by crashes of its own, and told none."""

    async def check(world):
        names = tuple(f"p{number}" for number in range(195))
        alone = sorted(names, key=lambda name: rank("part own", names).index(name))[-1]
        others = tuple(name for name in names if name != alone)
        trackers = {name: CrashTracker(world.clock, "z") for name in names}
        for name, tracker in trackers.items():
            world.start_causes(name, tracker, names, (alone,) if name == alone else others)
        await world.clock.sleep(seconds(1))
        trackers[alone].restore({"part own": world.clock.now()})
        for name in others:
            trackers[name].restore({"part bad": world.clock.now()})
        await world.clock.sleep(CONTACT)
        for tracker in trackers.values():
            assert tracker.find_cause(("part own",)) and tracker.find_cause(("part bad",))

    run(check)


def test_causes_of_crashes_are_read_within_the_rates_of_the_store_when_half_hear_the_others():
    async def check(world):
        names = tuple(f"p{number}" for number in range(420))
        for name in names:
            half = names[:210] if name in names[:210] else names[210:]
            world.start_causes(name, CrashTracker(world.clock, "z"), names, half)
        await world.clock.sleep(seconds(20))
        rates = [world.tables.reads[second] for second in range(1, 20)]
        assert 0 < sum(rates) <= SHARE_OF_READS * READS_PER_SECOND * len(rates)

    run(check)
