"""Usage reports while the store goes back to an older copy, which lacks what was stored since."""

import asyncio
import copy
import itertools
import random

import attrs

from cicadapond.gateway.duties_test import (
    WINDOW,
    RecordingCloud,
    World,
    lease_task,
)
from cicadapond.kernel import AnswerLost, Clock, Conflict, Ok, VirtualClock, run_virtual, seconds
from cicadapond.provider import Write, era_of, number_of, version_in_era
from cicadapond.standin import DirectTables, TableModel
from cicadapond.usage import StoredCounts, UsageLedger, UsageWindows


class RestoredModel(TableModel):
    """A store that goes back to its last copy; its clients learn of that only from the answers."""

    restores = 0

    def era(self):
        return self.restores

    def take_copy(self):
        self._copy = copy.deepcopy((self._tables, self._version))

    def restore(self):
        self._tables, self._version = copy.deepcopy(self._copy)
        self.restores += 1

    async def transact(self, writes):
        expected = [write.expected for write in writes]
        numbers = [None if each is None else number_of(each) for each in expected]
        match await super().transact(
            tuple(attrs.evolve(w, expected=n) for w, n in zip(writes, numbers, strict=True))
        ):
            case Ok() if any(each and era_of(each) < self.restores for each in expected):
                return AnswerLost("the store was restored meanwhile")
            case Ok(value=versions):
                return Ok(
                    {key: version_in_era(self.restores, each) for key, each in versions.items()}
                )
            case Conflict(current=current):
                return Conflict(self._shown(current))
            case outcome:
                return outcome

    async def read(self, keys):
        outcome = await super().read(keys)
        return Ok(self._shown(outcome.value)) if isinstance(outcome, Ok) else outcome

    def _shown(self, rows):
        return {
            key: attrs.evolve(row, version=version_in_era(self.restores, row.version))
            for key, row in rows.items()
        }


class Process:
    """A process that may hold the lease, and what it knows."""

    starts = itertools.count()

    def __init__(self, world, name, tables=None):
        self.world = world
        self.ledger = UsageLedger()
        self.tables = tables or DirectTables(world.tables)
        self.lease = lease_task(world, name, self.tables, next(self.starts))
        self.name = name
        self.stored = StoredCounts()
        self.reporter = world.reporter(
            self.ledger, UsageWindows(WINDOW), f"{name}/1", self.stored, self.tables
        )
        self.log = self.reporter._log

    def hears(self, window, count):
        self.ledger.merge("z/1", {window: {"acme": count}})

    async def run(self, duration):
        """Runs for some seconds, as the tasks of a process do."""
        end = self.world.clock.monotonic() + seconds(duration)
        while self.world.clock.monotonic() < end:
            await self.lease.step()
            grant = self.lease.grant()
            if grant is None:
                self.reporter.restart()
                await self.reporter.write_again()
            elif grant.may_order(self.world.clock.monotonic(), checks_fencing=True):
                await self.reporter.step(self.lease, self.name)
            await self.world.clock.sleep(seconds(0.5))

    def withheld(self):
        return [entry["window"] for entry in self.log.entries if "reason" in entry]


def play(script):
    async def main():
        clock = VirtualClock()
        tables = RestoredModel(clock, random.Random(1))
        world = World(clock, tables, RecordingCloud(), UsageWindows(WINDOW), UsageLedger())
        await script(world, Process(world, "a"), Process(world, "b"))

    run_virtual(main())


def sent(world):
    """Returns the counts reported for each window; fails if one was reported with two."""
    found = {}
    for _, window, counts in world.cloud.reports:
        assert found.setdefault(window, counts) == counts
    return found


async def a_lost_report(world, first):
    """The first process reports a window whose row is not in the copy; returns its number."""
    await first.run(5)
    world.tables.take_copy()
    window = max(sent(world)) + 1
    first.hears(window, 5)
    await first.run(5)
    assert sent(world)[window] == {"acme": 5}
    return window


def test_a_new_holder_does_not_report_a_window_that_was_reported_before_the_restore():
    """Guards against ONE: the row was lost, and the next holder's counts had grown."""

    async def script(world, first, second):
        window = await a_lost_report(world, first)
        second.hears(window, 7)
        world.tables.restore()
        await second.run(12)
        assert sent(world)[window] == {"acme": 5}
        assert window in second.withheld()
        assert len(second.withheld()) == len(set(second.withheld()))
        # What settles after the restore is reported.
        assert max(sent(world)) > window

    play(script)


def test_a_new_holder_reports_what_it_was_told_of_before_the_restore():
    async def script(world, first, second):
        window = await a_lost_report(world, first)
        second.hears(window, 7)
        second.stored.merge(first.stored.own())
        world.tables.restore()
        await second.run(8)
        assert sent(world)[window] == {"acme": 5}
        assert window not in second.withheld()
        assert world.tables.row("usage", f"{window:012d}").value == {"acme": 5}

    play(script)


def test_a_holder_that_lost_its_grant_reports_what_it_reported_before_the_restore():
    """Guards against ONE: the same process looked back, with counts that had grown."""

    async def script(world, first, second):
        window = await a_lost_report(world, first)
        first.hears(window, 9)
        await world.clock.sleep(seconds(4))
        world.tables.restore()
        await first.run(8)
        assert sent(world)[window] == {"acme": 5}
        assert window not in first.withheld()
        assert world.tables.row("usage", f"{window:012d}").value == {"acme": 5}

    play(script)


def test_the_present_holder_writes_again_what_it_stored_before_the_restore():
    """Guards against a later holder that finds no row, as one whose build knows no eras."""

    async def script(world, first, second):
        window = await a_lost_report(world, first)
        first.hears(window, 9)
        reports = len(world.cloud.reports)
        world.tables.restore()
        await first.run(1)
        assert world.tables.row("usage", f"{window:012d}").value == {"acme": 5}
        assert len(world.cloud.reports) == reports
        await first.run(10)
        assert set(range(window, window + 2)) <= set(sent(world))
        assert first.withheld() == []

    play(script)


def test_counts_that_were_stored_but_not_reported_are_kept_by_the_present_holder():
    async def script(world, first, second):
        await first.run(5)
        world.tables.take_copy()
        window = max(sent(world)) + 1
        first.hears(window, 5)
        world.cloud.outcomes = [AnswerLost("lost")] * 3
        while window not in sent(world):
            await first.run(0.5)
        first.hears(window, 6)
        world.tables.restore()
        await first.run(2)
        assert sent(world)[window] == {"acme": 5}

    play(script)


def test_a_process_without_the_lease_writes_again_what_it_stored_before_the_restore():
    """Guards against a next holder that was told nothing, or whose build knows no eras."""

    async def script(world, first, second):
        window = await a_lost_report(world, first)
        first.hears(window, 9)
        await world.clock.sleep(seconds(4))
        assert first.lease.grant() is None
        world.tables.restore()
        await first.run(0.5)
        assert first.lease.grant() is None
        assert world.tables.row("usage", f"{window:012d}").value == {"acme": 5}
        second.hears(window, 7)
        await second.run(8)
        assert sent(world)[window] == {"acme": 5}
        assert world.tables.row("usage", f"{window:012d}").value == {"acme": 5}

    play(script)


def test_a_write_in_transit_during_a_restore_does_not_store_other_counts():
    """Guards against ONE: the row is missing in the copy, so the write would take effect."""

    async def script(world, first, second):
        window = await a_lost_report(world, first)
        second.hears(window, 7)
        while second.lease.grant() is None:
            await second.lease.step()
            await world.clock.sleep(seconds(0.5))
        world.tables.restore()
        for _ in range(3):
            await second.reporter.step(second.lease, "b")
        assert world.tables.row("usage", f"{window:012d}").value is None
        assert sent(world)[window] == {"acme": 5}

    play(script)


def test_the_present_holder_reports_what_it_could_not_store_before_the_restore():
    """Guards against a window that is withheld although only this process could report it."""

    async def script(world, first, second):
        await first.run(5)
        world.tables.take_copy()
        window = max(sent(world)) + 1
        while world.usage.end(window) + seconds(3.2) > world.clock.now():
            await first.run(0.5)
        first.tables.reachable = False
        await first.run(1.3)
        assert window not in sent(world)
        world.tables.restore()
        first.tables.reachable = True
        await first.run(2)
        assert window in sent(world)
        assert first.withheld() == []

    play(script)


def test_a_former_holder_does_not_report_what_its_successor_reported_before_the_restore():
    """Guards against ONE: it judged the window by when it held the lease for the first time."""

    async def script(world, first, second):
        await first.run(5)
        world.tables.take_copy()
        await second.run(4)
        window = max(sent(world)) + 1
        second.hears(window, 7)
        first.hears(window, 9)
        while window not in sent(world):
            await second.run(0.5)
        world.tables.restore()
        await first.run(12)
        assert window in first.withheld()
        assert sent(world)[window] == {"acme": 7}

    play(script)


def test_a_new_holder_does_not_report_a_window_that_was_reported_between_two_restores():
    """Guards against ONE: the copy tells how long the holder had known the era before."""

    async def script(world, first, second):
        world.tables.take_copy()
        world.tables.restore()
        await first.run(20)
        window = await a_lost_report(world, first)
        second.hears(window, 7)
        world.tables.restore()
        await second.run(12)
        assert sent(world)[window] == {"acme": 5}

    play(script)


def test_a_new_holder_reports_what_settled_long_after_the_restore():
    """Guards against a withheld window: the new holder saw the new era only after its end."""

    async def script(world, first, second):
        world.tables.take_copy()
        world.tables.restore()
        await first.run(20)
        reported = max(sent(world))
        await world.clock.sleep(seconds(6))
        await second.run(8)
        assert max(sent(world)) > reported + 1
        assert second.withheld() == []

    play(script)


def test_a_row_with_other_counts_than_were_reported_before_the_restore_is_not_reported():
    async def script(world, first, second):
        window = await a_lost_report(world, first)
        await world.clock.sleep(seconds(4))
        world.tables.restore()
        world.tables.apply((Write("usage", f"{window:012d}", {"acme": 4}),))
        await first.run(8)
        assert sent(world)[window] == {"acme": 5}
        assert window in first.withheld()

    play(script)


def hold_back(process, until):
    """Makes the usage writes of a process wait, as in a frozen process; returns those writes."""
    held_back, transact = [], process.tables.transact

    async def wait(writes):
        if any(write.table == "usage" for write in writes):
            held_back.append(writes)
            await until()
        return await transact(writes)

    process.tables.transact = wait
    return held_back


async def a_report_in_place_of(world, first, second, until):
    """The second process reports a window while the first one's write of its counts waits.

    Returns:
      The window, the writes and the task that waits.
    """
    await first.run(5)
    window = max(sent(world)) + 1
    first.hears(window, 5)
    held_back = hold_back(first, until)
    while not held_back:
        running = asyncio.ensure_future(first.run(0.5))
        await asyncio.sleep(0.5)
    world.tables.take_copy()
    second.hears(window, 7)
    await second.run(6)
    assert sent(world)[window] == {"acme": 7}
    world.tables.restore()
    return window, held_back[0], running


def test_counts_that_a_late_write_stores_after_a_restore_are_not_reported():
    """Guards against ONE: the lease's row in the copy is the one that the write expects."""

    async def script(world, first, second):
        never = asyncio.Event().wait
        window, late, running = await a_report_in_place_of(world, first, second, never)
        running.cancel()
        await world.tables.transact(late)
        assert world.tables.row("usage", f"{window:012d}").value == {"acme": 5}
        await Process(world, "c").run(12)
        assert sent(world)[window] == {"acme": 7}

    play(script)


def test_a_frozen_holder_that_wakes_after_a_restore_does_not_report_what_it_then_stores():
    """Guards against ONE: the frozen process took its own late write for what was reported."""

    async def script(world, first, second):
        woken = asyncio.Event()
        window, _, running = await a_report_in_place_of(world, first, second, woken.wait)
        woken.set()
        await running
        await first.run(12)
        assert sent(world)[window] == {"acme": 7}

    play(script)


class AheadClock(Clock):
    """A clock whose time of day is ahead."""

    def __init__(self, clock, ahead):
        self._clock = clock
        self._ahead = ahead

    def now(self):
        return self._clock.now() + self._ahead

    def monotonic(self):
        return self._clock.monotonic()

    async def sleep(self, duration):
        await self._clock.sleep(duration)


def test_a_window_is_not_reported_again_if_the_clock_of_the_last_holder_was_seconds_ahead():
    """Guards against ONE: its counts were stored before the window had settled for the others."""

    async def script(world, *_):
        ahead = AheadClock(world.clock, seconds(4))
        first = Process(attrs.evolve(world, clock=ahead), "a")
        second = Process(world, "b")
        await first.run(5)
        for _ in range(8):
            world.tables.take_copy()
            reported = max(sent(world))
            await first.run(0.5)
            if max(sent(world)) > reported:
                break
        second.hears(reported + 1, 7)
        world.tables.restore()
        await second.run(15)
        assert max(sent(world)) > reported + 1

    play(script)


def test_a_process_that_starts_long_after_a_restore_withholds_nothing():
    """Guards against a lost window with each holder that starts while the store has an era."""

    async def script(world, first, second):
        world.tables.take_copy()
        world.tables.restore()
        await first.run(20)
        reported = max(sent(world))
        while reported == max(sent(world)):
            await first.run(0.5)
        await world.clock.sleep(seconds(8))  # the next window settles without a holder
        third = Process(world, "c")
        await third.run(12)
        assert third.withheld() == []
        assert sorted(sent(world)) == list(range(min(sent(world)), max(sent(world)) + 1))

    play(script)
