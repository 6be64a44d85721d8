"""No revoked key is accepted while a restored store holds an older configuration."""

import asyncio
import random
import types

import pytest

from cicadapond.gateway._configuration_keeper import HEARING_TIME, ConfigurationKeeper
from cicadapond.gateway._tables import ConfigurationTable
from cicadapond.gateway.follow_test import CURRENT_FOR, REVOCATION, Log, configuration
from cicadapond.kernel import VirtualClock, run_virtual, seconds
from cicadapond.provider import ChangeFeed, Changes, RawRow, version_in_era
from cicadapond.routes import ActiveConfiguration
from cicadapond.serving import CallerRequest

SETTLE_TIME = seconds(0.7)
HEARD_AFTER = SETTLE_TIME + HEARING_TIME + seconds(0.4)


class Feed(ChangeFeed):
    def __init__(self, era):
        self._era = era

    def era(self):
        return self._era

    def hear_era(self, era):
        self._era = max(self._era, era)

    async def snapshot(self, table):
        raise NotImplementedError

    async def changes(self, table, since, wait):
        raise NotImplementedError


def decode(raw):
    """Decodes a version and its keys, separated by spaces."""
    version, *keys = raw.decode().split()
    return configuration(int(version), *keys), ()


class Process:
    """A process that reads the configuration, and its connections to the others."""

    def __init__(self, world, name, era):
        self.world = world
        self.name = name
        self.handlers = {}
        self.started_at = world.clock.monotonic()
        self.active = ActiveConfiguration(world.clock, REVOCATION, CURRENT_FOR)
        self.feed = Feed(era)
        parts = types.SimpleNamespace(
            clock=world.clock, log=Log(), active_configuration=self.active
        )
        rng = random.Random(name)
        self.keeper = ConfigurationKeeper(parts, self.feed, decode, self, rng)
        self.table = ConfigurationTable(parts, "config", decode, self.keeper)
        self.running = asyncio.ensure_future(self.keeper.run())
        world.processes[name] = self

    def reads(self, raw, version):
        """Reads the configuration from the store, as after a call to it that was made just now."""
        self.feed.hear_era(version >> 44)
        changes = Changes((RawRow("config", version, raw),), version, seconds(0))
        self.table.apply_changes(changes, is_snapshot=True, after_outage=True)
        self.table.confirm_current(self.world.clock.monotonic())

    def accepts(self, key):
        req = CallerRequest("1", "GET", b"/", "h", "/", (), key=key)
        return self.active.still_allowed(req)

    # As a cluster

    def register_handler(self, topic, handler):
        self.handlers[topic] = handler

    def live(self):
        return tuple(self.world.processes)

    def has_settled(self):
        return self.world.clock.monotonic() - self.started_at >= SETTLE_TIME

    def publish_soon(self):
        for other in self.world.processes.values():
            if other is not self:
                other.receive_restore_state(self.name, self.restore_state())

    async def query(self, process, topic, payload, timeout):
        await self.world.clock.sleep(seconds(0.02))
        if process in self.world.unreachable:
            return None
        return self.world.processes[process].handlers[topic](payload)


class World:
    def __init__(self):
        self.clock = VirtualClock()
        self.processes = {}
        self.unreachable = set()

    def start(self, name, era=0):
        process = Process(self, name, era)
        for other in list(self.processes.values()):
            process.receive_restore_state(other.name, other.restore_state())
        return process


OLD, NEW = b"9 good revoked", b"10 good"


def play(script):
    async def main():
        world = World()
        await script(world)
        for process in world.processes.values():
            process.running.cancel()

    run_virtual(main())


def test_a_process_that_starts_reads_the_older_copy_and_accepts_no_revoked_key():
    async def script(world):
        running = world.start("a")
        running.reads(NEW, 40)
        starting = world.start("b")
        for _ in range(40):
            starting.reads(OLD, version_in_era(1, 20))
            assert not starting.accepts("revoked")
            await world.clock.sleep(seconds(0.1))
        assert starting.active.version == 10
        assert starting.accepts("good")

    play(script)


def test_a_running_process_that_missed_a_version_takes_it_from_another_one():
    async def script(world):
        ahead, behind = world.start("a"), world.start("b")
        ahead.reads(NEW, 40)
        behind.reads(OLD, 20)
        for process in (ahead, behind):
            process.reads(OLD, version_in_era(1, 20))
        await world.clock.sleep(seconds(0.5))
        assert [process.active.version for process in (ahead, behind)] == [10, 10]
        assert not behind.accepts("revoked") and behind.accepts("good")

    play(script)


def test_a_copy_that_is_known_to_be_behind_and_cannot_be_made_good_is_not_confirmed():
    async def script(world):
        ahead, behind = world.start("a"), world.start("b")
        ahead.reads(NEW, 40)
        behind.reads(OLD, 20)
        world.unreachable.add("a")
        for _ in range(20):
            for process in (ahead, behind):
                process.reads(OLD, version_in_era(1, 20))
            await world.clock.sleep(seconds(0.5))
        assert not behind.accepts("good")
        assert ahead.accepts("good")

    play(script)


def test_where_nobody_knows_better_the_copy_is_used_once_the_others_were_heard():
    async def script(world):
        processes = [world.start(name) for name in "ab"]
        for process in processes:
            process.reads(OLD, version_in_era(1, 20))
        assert not any(process.active.version for process in processes)
        await world.clock.sleep(HEARD_AFTER)
        assert all(process.accepts("good") for process in processes)

    play(script)


def test_a_process_that_cannot_join_the_others_uses_the_copy_in_the_end():
    async def script(world):
        process = world.start("a")
        process.has_settled = lambda: False
        for _ in range(80):
            process.reads(OLD, version_in_era(1, 20))
            assert not process.active.version
            await world.clock.sleep(seconds(0.1))
        await world.clock.sleep(seconds(0.5))
        assert process.accepts("good")

    play(script)


def test_nothing_is_kept_once_the_operator_has_written_again():
    async def script(world):
        process = world.start("a")
        process.reads(NEW, 40)
        assert process.restore_state() == {}
        process.reads(OLD, version_in_era(1, 20))
        assert process.restore_state() == {"era": 1, "configuration": 10}
        process.reads(NEW, version_in_era(1, 21))
        assert process.restore_state() == {"era": 1}

    play(script)


def test_a_store_that_was_never_restored_needs_no_other_process():
    async def script(world):
        process = world.start("a")
        process.reads(NEW, 40)
        assert process.accepts("good")

    play(script)


@pytest.mark.parametrize("state", [{"era": "x"}, {"configuration": [1]}, {"era": -1}, {"else": 1}])
def test_a_malformed_state_of_another_process_is_ignored(state):
    async def script(world):
        process = world.start("a")
        process.reads(NEW, 40)
        process.receive_restore_state("b", state)
        assert not process.keeper.is_behind() and process.restore_state() == {}

    play(script)
