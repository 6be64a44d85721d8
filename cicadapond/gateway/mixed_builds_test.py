"""Usage reports while processes of an earlier build, which forgets after a restore, run beside."""

import asyncio
import itertools
import random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapond.gateway import Declined
from cicadapond.gateway._candidates import MIXED_POLL_INTERVAL, poll_interval
from cicadapond.gateway.duties_test import WINDOW, RecordingCloud, World
from cicadapond.gateway.usage_restore_test import Process, RestoredModel, sent
from cicadapond.kernel import AnswerLost, Conflict, Ok, VirtualClock, run_virtual, seconds
from cicadapond.provider import Write, number_of, version_in_era
from cicadapond.standin import DirectTables
from cicadapond.usage import UsageLedger, UsageWindows

# What builds up to 7419c1c read and write in the row of the lease.
EARLIER_FIELDS = frozenset(
    ("holder", "instance", "token", "fencing", "term_ms", "waited_ms", "recent", "released")
)


class FencedCloud(RecordingCloud):
    """Refuses numbers that are lower than an earlier one, and checks that each has one holder."""

    def __init__(self):
        super().__init__()
        self.holders = {}

    async def report_usage(self, holder, window, counts):
        if holder.fencing < max(self.holders, default=0):
            return Declined("a higher number was used")
        assert self.holders.setdefault(holder.fencing, holder.name) == holder.name
        return await super().report_usage(holder, window, counts)


class EarlierTables(DirectTables):
    """The store as an earlier build sees it: no eras, and no newer fields of the lease."""

    def era(self):
        return 0

    async def transact(self, writes):
        era = super().era()
        outcome = await super().transact(tuple(_earlier_write(write, era) for write in writes))
        match outcome:
            case Ok(value=versions):
                return Ok({key: number_of(version) for key, version in versions.items()})
            case Conflict(current=current):
                return Conflict(_earlier_rows(current))
        return outcome

    async def read(self, keys):
        outcome = await super().read(keys)
        return Ok(_earlier_rows(outcome.value)) if isinstance(outcome, Ok) else outcome


def _earlier_write(write, era):
    if write.expected is not None:
        write = attrs.evolve(write, expected=version_in_era(era, write.expected))
    if write.table != "leases" or write.value is None:
        return write
    value = {name: write.value[name] for name in EARLIER_FIELDS & write.value.keys()}
    value["term_ms"] = write.value["lapse_ms"]
    if write.value.get("ended"):
        value["released"] = True
    return attrs.evolve(write, value=value)


def _earlier_rows(rows):
    return {
        key: attrs.evolve(row, version=number_of(row.version), value=_earlier_value(row))
        for key, row in rows.items()
    }


def _earlier_value(row):
    if row.table != "leases" or row.value is None:
        return row.value
    value = {name: row.value[name] for name in EARLIER_FIELDS & row.value.keys()}
    return value | {"lapse_ms": value["term_ms"]}


class EarlierProcess(Process):
    """A process of an earlier build; it adds one to the fencing number that it reads."""

    def __init__(self, world, name):
        super().__init__(world, name, EarlierTables(world.tables))
        lease = self.lease.lease
        lease._next_fencing = lambda: ((lease._value() or {}).get("fencing", 0)) + 1


def play(script):
    async def main():
        clock = VirtualClock()
        tables = RestoredModel(clock, random.Random(1))
        await script(World(clock, tables, FencedCloud(), UsageWindows(WINDOW), UsageLedger()))

    run_virtual(main())


class Counting:
    """Runs processes whose counts of the newest windows grow all the time."""

    def __init__(self, world, processes):
        self.world = world
        self.processes = processes
        self.paused = [0.0] * len(processes)
        self._count = itertools.count(1)
        self._rng = random.Random(1)
        self.tasks = [asyncio.ensure_future(self._keep(n)) for n in range(len(processes))]

    async def _keep(self, number):
        while True:
            process = self.processes[number]
            window = self.world.usage.number(self.world.clock.now())
            for back in range(4):
                process.hears(window - back, next(self._count))
            # Other rows are written too, so that a version seldom comes back for the same row.
            for _ in range(self._rng.randrange(40)):
                self.world.tables.apply((Write("processes", process.name, 0),))
            await process.run(0.4)
            await asyncio.sleep(self.paused[number])
            self.paused[number] = 0.0

    def stop(self):
        assert not any(task.done() for task in self.tasks)
        for task in self.tasks:
            task.cancel()


@pytest.mark.parametrize("away", [0.5, 4])
def test_a_window_is_not_reported_anew_by_a_holder_of_an_earlier_build_after_a_restore(away):
    """Guards against ONE in an upgrade: such a build stores and reports lost windows again."""

    async def script(world):
        running = Counting(world, [EarlierProcess(world, "a")])
        await asyncio.sleep(10)
        running.stop()
        running = Counting(world, [running.processes[0], Process(world, "b")])
        await asyncio.sleep(8)
        world.tables.take_copy()
        await asyncio.sleep(6)
        for process in running.processes:
            process.tables.reachable = False
        await asyncio.sleep(away)
        world.tables.restore()
        for process in running.processes:
            process.tables.reachable = True
        await asyncio.sleep(20)
        running.stop()
        assert world.usage.number(world.clock.now() - seconds(11)) in sent(world)

    play(script)


def test_no_earlier_build_takes_a_lease_that_another_process_can_take():
    """Guards against ONE in an upgrade: the duties pass to a build that forgets."""

    async def script(world):
        builds = (EarlierProcess, Process, Process)
        found = [build(world, name) for build, name in zip(builds, "abc", strict=True)]
        running = Counting(world, found)
        await asyncio.sleep(8)
        for leaving in (1, 2, 1):
            await running.processes[leaving].lease.release()
            running.paused[leaving] = 6.0
            for _ in range(40):
                await asyncio.sleep(0.25)
                assert running.processes[0].lease.grant() is None
        running.stop()

    play(script)


def test_a_process_that_checks_seldom_takes_the_lease_before_an_earlier_build_does():
    """Guards against ONE in an upgrade: the holder ends, and few candidates are of this build."""

    async def script(world):
        earlier, other = EarlierProcess(world, "a"), Process(world, "c")
        await Process(world, "b").run(8)
        for _ in range(6):
            await other.lease.step()
            for _ in range(5):
                await earlier.lease.step()
                assert earlier.lease.grant() is None
                await world.clock.sleep(MIXED_POLL_INTERVAL / 5)
        assert other.lease.grant() is not None

    play(script)


def test_an_earlier_build_is_refused_that_counts_on_from_a_row_of_before_a_restore():
    """Guards against ONE in an upgrade: it had the number of a holder of the lost part."""

    async def script(world):
        earlier, first, second = (
            build(world, name)
            for build, name in ((EarlierProcess, "a"), (Process, "b"), (Process, "c"))
        )
        await first.run(5)
        world.tables.take_copy()
        await second.run(8)
        world.tables.restore()
        await earlier.run(16)
        assert earlier.lease.grant() is not None
        assert set(world.cloud.holders.values()) == {"b", "c"}

    play(script)


def test_an_earlier_build_does_not_take_the_lease_while_restores_follow_each_other():
    """Guards against ONE in an upgrade: the others wait for a term after each restore."""

    async def script(world):
        builds = (EarlierProcess, Process, Process)
        found = [build(world, name) for build, name in zip(builds, "abc", strict=True)]
        running = Counting(world, found)
        await asyncio.sleep(8)
        world.tables.take_copy()
        found[1:] = [Process(world, name) for name in "bc"]
        for _ in range(3):
            world.tables.restore()
            for _ in range(13):
                await asyncio.sleep(0.2)
                assert found[0].lease.grant() is None
        await asyncio.sleep(5)
        assert any(process.lease.grant() for process in found[1:])
        running.stop()

    play(script)


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(("copy", "restore", "pause", "cut", "kill", "stop", "unanswered")),
            st.integers(0, 2),
            st.floats(0.1, 4),
        ),
        max_size=20,
    )
)
def test_no_interleaving_with_restores_in_an_upgrade_reports_a_window_with_two_counts(events):
    """One process of this build keeps its link to the store, and runs; it may be killed."""
    play(lambda world: upgrade(world, events))


async def upgrade(world, events):
    """Plays events with the first of three processes of an earlier build."""
    builds = (EarlierProcess, Process, Process)
    found = [builds[number](world, "abc"[number]) for number in range(3)]
    running = Counting(world, found)
    await asyncio.sleep(12)
    world.tables.take_copy()
    for event, number, wait in events:
        other = 2 * (number // 2)
        match event:
            case "copy":
                world.tables.take_copy()
            case "restore":
                world.tables.restore()
            case "pause":
                running.paused[other] = 2 * wait
            case "cut":
                found[other].tables.reachable = not found[other].tables.reachable
            case "stop" if found[number].tables.reachable:
                await found[number].lease.release()
                found[number] = builds[number](world, "abc"[number])
            case "kill":
                found[number] = builds[number](world, "abc"[number])
            case "unanswered":
                world.cloud.outcomes = [AnswerLost("lost")] * 3
        await asyncio.sleep(wait)
        sent(world)
    for process in found:
        process.tables.reachable = True
    reported = max(sent(world), default=0)
    await asyncio.sleep(25)
    assert max(sent(world)) >= reported + 3
    running.stop()


def test_the_candidates_beside_earlier_builds_are_a_bounded_share():
    names = [f"edge-{number}" for number in range(400)]
    by_zone = {"a": names}
    for followers, least, most in ((0, 400, 400), (5, 5, 400), (400, 3, 25)):
        intervals = [poll_interval("duties", name, by_zone, followers) for name in names]
        chosen = sum(interval <= MIXED_POLL_INTERVAL for interval in intervals)
        assert least <= chosen <= most
    assert sum(poll_interval("duties", n, by_zone, None) <= seconds(8) for n in names) == 5
