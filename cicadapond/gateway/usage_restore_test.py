"""Usage reports while the store goes back to an older copy, which lacks what was stored since."""

import copy
import random

import attrs

from cicadapond.gateway.duties_test import (
    WINDOW,
    RecordingCloud,
    World,
    lease_task,
)
from cicadapond.kernel import AnswerLost, Conflict, Ok, VirtualClock, run_virtual, seconds
from cicadapond.provider import era_of, number_of, version_in_era
from cicadapond.standin import TableModel
from cicadapond.usage import UsageLedger, UsageWindows


class RestoredModel(TableModel):
    """A store that goes back to its last copy; its clients learn of that only from the answers."""

    era = 0

    def take_copy(self):
        self._copy = copy.deepcopy((self._tables, self._version))

    def restore(self):
        self._tables, self._version = copy.deepcopy(self._copy)
        self.era += 1

    async def transact(self, writes):
        expected = [write.expected for write in writes]
        numbers = [None if each is None else number_of(each) for each in expected]
        match await super().transact(
            tuple(attrs.evolve(w, expected=n) for w, n in zip(writes, numbers, strict=True))
        ):
            case Ok() if any(each is not None and era_of(each) < self.era for each in expected):
                return AnswerLost("the store was restored meanwhile")
            case Ok(value=versions):
                return Ok({key: version_in_era(self.era, each) for key, each in versions.items()})
            case Conflict(current=current):
                return Conflict(self._shown(current))
            case outcome:
                return outcome

    async def read(self, keys):
        outcome = await super().read(keys)
        return Ok(self._shown(outcome.value)) if isinstance(outcome, Ok) else outcome

    def _shown(self, rows):
        return {
            key: attrs.evolve(row, version=version_in_era(self.era, row.version))
            for key, row in rows.items()
        }


class Process:
    """A process that may hold the lease, and what it knows."""

    def __init__(self, world, name):
        self.world = world
        self.ledger = UsageLedger()
        self.lease = lease_task(world, name)
        self.name = name
        self.reporter = world.reporter(self.ledger, UsageWindows(WINDOW), f"{name}/1")
        self.log = self.reporter._log

    def hears(self, window, count):
        self.ledger.merge("z/1", {window: {"acme": count}})

    async def run(self, duration):
        """Runs for some seconds, as the tasks of a process do."""
        end = self.world.clock.monotonic() + seconds(duration)
        while self.world.clock.monotonic() < end:
            await self.lease.step()
            if self.lease.grant() is None:
                self.reporter.restart()
            else:
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
