"""Which process reads a table for the others, and who takes over when nothing comes from it."""

import asyncio

import attrs
import pytest

from cicadapond.gateway._copies import MIN_PROCESSES_TO_SHARE, CopyExchange
from cicadapond.gateway._follow import FollowTask, feed_wait
from cicadapond.gateway._sharing import CopyTimes, SharedCopy, copy_times
from cicadapond.gateway.follow_test import CURRENT_FOR, REVOCATION, Feed, Follower
from cicadapond.kernel import Metrics, VirtualClock, run_virtual, seconds
from cicadapond.provider import Changes, version_in_era
from cicadapond.routes import ActiveConfiguration

TABLE = "servers"
ZONES = ("a", "b", "c")
TIMES = CopyTimes()


class Log:
    def __init__(self):
        self.events = []

    def write(self, event, **fields):
        self.events.append(event)


@attrs.define
class Fleet:
    """Processes whose copies reach all others, except those of the names in `silent`."""

    clock: VirtualClock
    live: dict
    silent: set = attrs.field(factory=set)
    exchanges: dict = attrs.field(factory=dict)
    log: Log = attrs.field(factory=Log)

    def start(self):
        for zone, names in self.live.items():
            for name in names:
                self.exchanges[name] = CopyExchange(
                    name,
                    zone,
                    self.clock,
                    self.log,
                    lambda: self.live,
                    lambda: None,
                    TIMES,
                    self.query,
                )

    async def query(self, process, topic, payload, timeout):
        return self.exchanges[process].answer(payload)

    def zone(self, name):
        return next(zone for zone, names in self.live.items() if name in names)

    def readers(self):
        return [name for name, each in self.exchanges.items() if each.is_reader(TABLE)]

    def publish(self, version):
        """Every reader publishes a copy, which reaches all others."""
        for name in self.readers():
            if name in self.silent:
                continue
            self.exchanges[name].publish_copy(TABLE, SharedCopy(version, 0, seconds(version)))
            copies = self.exchanges[name].published()
            for other, exchange in self.exchanges.items():
                if other != name:
                    exchange.receive(name, self.zone(name), copies)


def fleet(per_zone):
    clock = VirtualClock()
    live = {zone: tuple(f"{zone}{number}" for number in range(per_zone)) for zone in ZONES}
    made = Fleet(clock, live)
    made.start()
    return made


def play(script, per_zone=5):
    async def main():
        await script(fleet(per_zone))

    run_virtual(main())


async def publish_for(world, duration_s, first_version=1):
    for step in range(round(duration_s / 0.5)):
        world.publish(first_version + step)
        await world.clock.sleep(seconds(0.5))


def test_one_process_reads_for_all():
    async def script(world):
        await publish_for(world, 5)
        assert len(world.readers()) == 1

    play(script)


def test_a_few_processes_read_each_for_itself():
    async def script(world):
        assert len(world.exchanges) < MIN_PROCESSES_TO_SHARE
        assert len(world.readers()) == len(world.exchanges)

    play(script, per_zone=2)


def test_a_process_without_the_store_takes_the_copies_of_a_few_others():
    """Guards against LOST: it knew no new server, and soon refused all requests with keys."""

    async def script(world):
        feeds, copies, followers, tasks = [], [], [], []
        for exchange in world.exchanges.values():
            feeds.append(Feed(world.clock))
            copies.append(ActiveConfiguration(world.clock, REVOCATION, CURRENT_FOR))
            followers.append(Follower(copies[-1]))
            wait = feed_wait(REVOCATION)
            task = FollowTask(
                TABLE, feeds[-1], followers[-1], wait, world.clock, world.log, Metrics(), exchange
            )
            tasks.append(asyncio.ensure_future(task.run()))
        await world.clock.sleep(seconds(3))
        feeds[0].is_down = True
        for version in range(2, 12):
            for feed in feeds[1:]:
                feed.version = version
            await world.clock.sleep(seconds(0.5))
            assert followers[0].taken[-1][0] == version
            await world.clock.sleep(seconds(1.5))
            assert copies[0].age() < CURRENT_FOR + seconds(1)
        for feed in feeds:
            feed.is_down = True
        await world.clock.sleep(REVOCATION)
        assert not any(copy.may_use_keys() for copy in copies)
        for task in tasks:
            task.cancel()

    play(script, per_zone=2)


def test_one_deputy_of_each_other_data_centre_takes_over_from_a_silent_reader():
    async def script(world):
        await publish_for(world, 3)
        (reader,) = world.readers()
        world.silent.add(reader)
        await world.clock.sleep(TIMES.deputy_age + seconds(0.05))
        deputies = set(world.readers()) - {reader}
        assert {world.zone(name) for name in deputies} == set(ZONES)
        assert len(deputies) == len(ZONES)

    play(script)


def test_the_deputies_stop_when_the_reader_is_back():
    async def script(world):
        (reader,) = world.readers()
        world.silent.add(reader)
        await publish_for(world, 4)
        world.silent.clear()
        await publish_for(world, 1, first_version=100)
        assert world.readers() == [reader]

    play(script)


def test_a_reader_that_died_is_replaced_as_soon_as_it_is_known():
    async def script(world):
        (reader,) = world.readers()
        world.live = {
            zone: tuple(name for name in names if name != reader)
            for zone, names in world.live.items()
        }
        del world.exchanges[reader]
        assert len(world.readers()) == 1

    play(script)


def test_a_deputy_waits_only_until_it_has_to_take_over():
    async def script(world):
        (reader,) = world.readers()
        world.silent.add(reader)
        begun = world.clock.monotonic()
        waits = [
            asyncio.ensure_future(exchange.receive_copy(TABLE, TIMES.max_age))
            for name, exchange in world.exchanges.items()
            if name != reader
        ]
        done, _ = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        assert world.clock.monotonic() - begun < TIMES.max_age
        assert len(done) == len(ZONES)
        await asyncio.wait(waits)

    play(script)


def test_a_copy_that_cannot_be_read_is_logged_and_ignored():
    async def script(world):
        exchange = world.exchanges["a0"]
        exchange.receive("b0", "b", {TABLE: ["x"]})
        assert world.log.events == ["copy_unreadable"]
        assert await exchange.receive_copy(TABLE, seconds(0.1)) is None

    play(script)


def test_a_query_that_cannot_be_read_or_is_for_another_table_gets_no_copy():
    async def script(world):
        exchange = world.exchanges["a0"]
        exchange.record_changes(TABLE, Changes((), 1, seconds(1)), is_snapshot=True)
        assert exchange.answer([TABLE, 1]) == [1, 1, 1000, []]
        for payload in (None, "x", 7, [], [TABLE], [TABLE, "1"], [[TABLE], 1], ["other", 1]):
            assert exchange.answer(payload) is None

    play(script)


@pytest.mark.parametrize("drain_s", [2, 3, 4])
def test_all_know_of_a_leaving_server_before_it_refuses_requests(drain_s):
    times = copy_times(seconds(drain_s))
    assert times.reader_wait < times.deputy_age < times.max_age
    # A call to the store after the longest wait still returns in time.
    assert times.max_age + seconds(0.5) <= seconds(drain_s)


def test_copies_of_a_restored_store_are_apart_from_those_that_earlier_builds_read():
    async def script(world):
        (reader,) = world.readers()
        exchange = world.exchanges[reader]
        exchange.publish_copy(TABLE, SharedCopy(7, 0, seconds(1)))
        assert TABLE in exchange.published() and not exchange.published_restored()
        exchange.publish_copy(TABLE, SharedCopy(version_in_era(1, 3), 0, seconds(2)))
        assert TABLE in exchange.published_restored() and not exchange.published()

    play(script)


def test_deputies_take_over_from_a_reader_that_does_not_know_of_a_restore():
    """A reader of an earlier build goes on to send copies, with versions of the era before."""

    async def script(world):
        await publish_for(world, 3)
        (reader,) = world.readers()
        restored = SharedCopy(version_in_era(1, 3), 0, seconds(2)).as_list()
        for name, exchange in world.exchanges.items():
            if name != reader:
                exchange.receive("x", "x", {TABLE: restored})
                assert await exchange.receive_copy(TABLE, seconds(0.01)) is not None
        await publish_for(world, TIMES.deputy_age.total_seconds() + 0.5, first_version=50)
        deputies = set(world.readers()) - {reader}
        assert {world.zone(name) for name in deputies} == set(ZONES)

    play(script)
