"""Tests of following tables of a store that goes back to an older copy, on virtual time."""

import asyncio
import random

import attrs
import pytest

from cicadapond.gateway._follow import FEED_DELAY_ALLOWANCE, FollowTask, TableFollower, feed_wait
from cicadapond.gateway._sharing import MAX_WHOLE_BYTES
from cicadapond.gateway.follow_test import REVOCATION, Log
from cicadapond.gateway.sharing_test import LinkedGroup
from cicadapond.kernel import Metrics, VirtualClock, run_virtual, seconds
from cicadapond.platform import PlatformStore
from cicadapond.platform.standin import StoreClient, StoreModel
from cicadapond.routes import ActiveConfiguration

TABLE = "servers"
CALL_DELAY = seconds(0.01)
WAIT = feed_wait(REVOCATION)


class Copy(TableFollower):
    """The copy of a table: values by key, as the changes tell them."""

    def __init__(self, clock):
        self.values = {}
        self.applied = []
        self.age = ActiveConfiguration(clock, REVOCATION, WAIT + FEED_DELAY_ALLOWANCE)

    def apply_changes(self, changes, is_snapshot, after_outage):
        if is_snapshot:
            self.values.clear()
        for row in changes.rows:
            self.values[row.key] = row.value
            if row.value is None:
                del self.values[row.key]
        self.applied.append((is_snapshot, after_outage))

    def confirm_current(self, since):
        self.age.confirm_current(since)


@attrs.define
class Process:
    """A process that follows a table."""

    client: StoreClient
    store: PlatformStore
    copy: Copy
    group: LinkedGroup
    running: asyncio.Task


class World:
    """A store and processes that follow one of its tables; the first ones read for the others."""

    def __init__(self, processes=1, readers=1):
        self.clock = VirtualClock()
        self.model = StoreModel(self.clock)
        self.log = Log()
        groups = [LinkedGroup(number, list(range(readers))) for number in range(processes)]
        self.processes = [self._process(group, groups) for group in groups]

    def _process(self, group, groups):
        group.others = [other for other in groups if other is not group]
        client = StoreClient(self.model, self.clock, CALL_DELAY)
        store, copy = PlatformStore(client, self.log, Metrics()), Copy(self.clock)
        rng = random.Random(group.name)
        task = FollowTask(TABLE, store, copy, WAIT, self.clock, self.log, Metrics(), group, rng)
        return Process(client, store, copy, group, asyncio.ensure_future(task.run()))

    def rows(self):
        """Returns the rows of the table as a new reader sees them."""
        return {row.key for row in self.model.rows(TABLE, "", None)}

    async def until(self, holds, limit_s):
        """Waits until a condition holds; returns how long that took."""
        begun = self.clock.monotonic()
        while not holds():
            assert self.clock.monotonic() - begun < seconds(limit_s)
            await self.clock.sleep(seconds(0.005))
        return self.clock.monotonic() - begun


def play(script, row_bytes=1, **sizes):
    async def main():
        world = World(**sizes)
        for key in "ab":
            world.model.put(TABLE, key, bytes(row_bytes))
        await world.clock.sleep(seconds(1))
        await script(world)
        for process in world.processes:
            process.running.cancel()

    run_virtual(main())


def go_back(world, later_writes):
    """Restores the store to before the removal of "a" and the addition of "c", then writes more."""
    copy = world.model.copy()
    world.model.put(TABLE, "a", None)
    world.model.put(TABLE, "c", {})
    world.model.restore(copy)
    for number in range(later_writes):
        world.model.put(TABLE, f"later-{number}", {})


def test_a_restored_table_is_read_anew_although_its_versions_were_given_out_again():
    async def script(world):
        (process,) = world.processes
        go_back(world, later_writes=5)
        await world.clock.sleep(seconds(0.2))
        assert process.copy.values.keys() == world.rows() and "a" in world.rows()
        assert process.copy.applied[-1] == (
            True,
            True,
        )  # entries may be missing, as after an outage
        world.model.put(TABLE, "later-0", None)
        await world.clock.sleep(seconds(0.2))
        assert process.copy.values.keys() == world.rows()
        assert process.copy.applied[-1] == (False, False)

    play(script)


def test_a_restore_that_another_call_told_voids_the_position():
    """The feed itself may tell nothing for long, as it has no answer yet."""

    async def script(world):
        (process,) = world.processes
        process.store.hear_era(1)
        world.model.restore(world.model.copy())
        await world.clock.sleep(WAIT + seconds(0.2))
        assert process.copy.applied[-1] == (True, True)

    play(script)


def test_after_a_restore_readers_go_first_and_the_others_spread_their_calls():
    processes, readers = 60, 2

    async def script(world):
        model = world.model
        model.calls.clear()
        go_back(world, later_writes=5)
        busiest, calls_before = 0, 0
        first = await world.until(
            lambda: all(
                process.copy.values.keys() == world.rows() for process in world.processes[:readers]
            ),
            1.0,
        )
        assert first < seconds(0.2)
        assert sum(p.copy.values.keys() == world.rows() for p in world.processes) < processes / 3
        while any(process.copy.values.keys() != world.rows() for process in world.processes):
            calls = model.calls["/rows-get"]
            busiest, calls_before = max(busiest, calls - calls_before), calls
            await world.clock.sleep(seconds(0.1))
            assert all(process.copy.age.may_use_keys() for process in world.processes)
        assert model.calls["/rows-get"] == processes
        assert busiest < processes / 6
        copies = [process.copy.applied for process in world.processes]
        assert all(applied[-1][1] for applied in copies)

    play(script, row_bytes=MAX_WHOLE_BYTES, processes=processes, readers=readers)


@pytest.mark.parametrize("away_s", [4, 5.5, 7])
def test_keys_are_valid_half_a_second_after_a_long_absence_of_the_store(away_s):
    async def script(world):
        copy = world.model.copy()
        world.model.is_down = True
        await world.clock.sleep(seconds(away_s))
        world.model.restore(copy)
        world.model.is_down = False
        await world.clock.sleep(seconds(0.5))
        assert all(process.copy.age.may_use_keys() for process in world.processes)

    play(script, processes=20, readers=2)


def test_shared_copies_go_on_in_the_new_era():
    async def script(world):
        go_back(world, later_writes=0)
        await world.clock.sleep(seconds(3))
        world.model.calls.clear()
        world.model.put(TABLE, "later", {})
        await world.clock.sleep(seconds(0.1))
        assert all("later" in process.copy.values for process in world.processes)
        assert sum(world.model.calls.values()) <= 4  # of the two readers

    play(script, processes=10, readers=2)


def test_a_process_that_the_store_turns_away_goes_on_with_the_copy_of_a_restored_table():
    async def script(world):
        cut = world.processes[-1]
        cut.client.is_cut = True
        await world.clock.sleep(seconds(3))
        go_back(world, later_writes=5)
        await world.clock.sleep(REVOCATION + seconds(1))
        assert cut.copy.values.keys() == world.rows()
        assert cut.copy.applied[-1] == (True, True)
        assert cut.copy.age.may_use_keys()
        world.model.put(TABLE, "a", None)
        await world.clock.sleep(seconds(0.2))
        assert cut.copy.values.keys() == world.rows()

    play(script, processes=10, readers=2)


def test_a_small_restored_table_is_read_by_the_readers_alone():
    async def script(world):
        world.model.calls.clear()
        go_back(world, later_writes=5)
        await world.clock.sleep(seconds(3))
        assert all(process.copy.values.keys() == world.rows() for process in world.processes)
        assert world.model.calls["/rows-get"] == 2

    play(script, processes=10, readers=2)
