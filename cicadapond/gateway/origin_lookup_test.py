"""Streams that are taken up where nothing is heard of the process that began them."""

import asyncio
import itertools
import types

import msgpack
import pytest

from cicadapond.continuation import UNKNOWN_VERSION, StreamOrigins, bucket_key
from cicadapond.gateway._eligible import EligibleServers
from cicadapond.gateway._origin_lookup import MAX_ORIGIN_WAIT, OriginLookup
from cicadapond.gateway._origin_store import READ_PAGE
from cicadapond.gateway.harness import deployment
from cicadapond.kernel import Metrics, Ok, Unavailable, VirtualClock, run_virtual, seconds
from cicadapond.peer.partition import Direction
from cicadapond.platform.standin import EngineFault, FleetSettings
from cicadapond.provider import Changes, HistoryLost, RawRow, version_in_era

PROCESSES = 3
EVENTS = 40
# A process of the size to design for, and how much of the store's reads it may use.
MANY_PROCESSES = 420
READS_PER_SECOND = 0.1 * 2000 / MANY_PROCESSES


def run(check, tmp_path):
    async def main():
        cfg = FleetSettings(engines=0, services=0)
        async with deployment(tmp_path, cfg, PROCESSES) as system:
            async with asyncio.timeout(30):
                await system.until_joined()
                await system.add_engine("a", "v1")
                await check(system)

    asyncio.run(main())


async def hub(system):
    """Returns the number of the node that writes for its data centre."""
    hubs = []
    while len(hubs) != 1:
        await asyncio.sleep(0.05)
        nodes = enumerate(system.nodes)
        hubs = [number for number, node in nodes if node._cluster.speaks_for_zone()]
    return hubs[0]


def live(system, number):
    """Returns how many processes a node takes for alive."""
    zones = system.nodes[number].state()["cluster"]["zones"]
    return sum(zone["live"] for zone in zones.values())


async def go_on(system, began_at, taken_up_at, age_s=1.0):
    """Begins a stream at a node on v2 and takes it up at another one; returns what follows."""
    system.engine("a").faults = [EngineFault.FULL] * 10
    system.engine("z").events, system.engine("z").event_interval_s = EVENTS, 0.05
    first = system.caller(began_at)
    await first.stream("s-1")
    await system.until(lambda: "s-1" in system.engine("z").ids())
    system.engine("a").faults = []
    await asyncio.sleep(age_s)
    again = system.caller(taken_up_at)
    await again.stream("t-1", last_event_id="5", resumes="s-1")
    return await again.read_response()


@pytest.mark.parametrize("is_hub", [False, True], ids=["no-hub", "hub"])
@pytest.mark.parametrize("begins_there", [False, True], ids=["taken-up", "begun"])
def test_a_stream_goes_on_across_a_partition_of_the_processes(tmp_path, is_hub, begins_there):
    """Guards against refusals, as the beginning is told among the processes only."""

    async def check(system):
        cut_off = (await hub(system) + (not is_hub)) % PROCESSES
        system.partitions[cut_off].set(Direction.BOTH)
        other = (cut_off + 1) % PROCESSES
        await system.until(lambda: live(system, cut_off) == 1 and live(system, other) == 2)
        await system.add_engine("z", "v2")
        nodes = (cut_off, other) if begins_there else (other, cut_off)
        answer = await go_on(system, *nodes)
        assert answer.is_complete and answer.event_ids() == list(range(6, EVENTS + 1))
        assert "t-1" in system.engine("z").ids()

    run(check, tmp_path)


class Feed:
    """The store's feed of a table, which can be away and be restored."""

    def __init__(self, clock):
        self.clock, self.rows, self.calls = clock, [], []
        self.is_away, self.lost_before, self.restored = False, 0, 0
        self.delay = seconds(0.005)
        self.page = READ_PAGE

    def era(self):
        return self.restored

    def put(self, streams, version):
        """Stores the streams that another process told of just now."""
        other = StreamOrigins(self.clock)
        for stream in streams:
            other.begin(stream, version)
            other.break_off(stream)
        for number, versions in other.reported().items():
            value = msgpack.packb(dict(versions))
            self.rows.append(RawRow(bucket_key("q/1", number), len(self.rows) + 1, value))

    async def snapshot(self, table):
        return await self._answer("snapshot", self.rows)

    async def changes(self, table, since, wait):
        if since < version_in_era(self.restored, self.lost_before):
            return HistoryLost()
        first = since % 2**32
        return await self._answer("changes", self.rows[first : first + self.page])

    async def _answer(self, kind, rows):
        self.calls.append((self.clock.monotonic(), kind))
        await self.clock.sleep(self.delay)
        if self.is_away:
            return Unavailable("away")
        last = rows[-1].version if kind == "changes" and rows else len(self.rows)
        version = version_in_era(self.restored, last)
        return Ok(Changes(tuple(rows), version, seconds(0)))


class Process:
    """The lookups of one process."""

    def __init__(self, clock, feed, processes):
        self.clock = clock
        self.parts = types.SimpleNamespace(
            clock=clock,
            origins=StreamOrigins(clock),
            cfg=types.SimpleNamespace(store_reads_per_second=2000.0),
            processes=lambda: processes,
            registry=types.SimpleNamespace(
                knows_all_versions=lambda since: True,
                software_versions_of_others=lambda service: set(),
            ),
            version_history=None,
            software_versions=lambda service: {"v1", "v2"},
            starts=types.SimpleNamespace(has_unlisted=lambda service: False),
            log=types.SimpleNamespace(write=lambda *args, **fields: None),
            metrics=Metrics(),
        )
        adapters = types.SimpleNamespace(feed=feed, decode_own_row=msgpack.unpackb)
        cluster = types.SimpleNamespace(zone="a", live_by_zone=lambda: {"a": ("p",)})
        self.parts.origin_lookup = OriginLookup(self.parts, adapters, cluster)

    async def find(self, stream):
        """Returns the version of a stream, and how long that took."""
        begun, servers = self.clock.monotonic(), EligibleServers(self.parts, "pool")
        is_known = await servers.find_version(stream, seconds(3))
        return servers.version if is_known else None, self.clock.monotonic() - begun


def play(script, processes=6):
    async def main():
        clock = VirtualClock()
        feed = Feed(clock)
        process = Process(clock, feed, processes)
        task = asyncio.ensure_future(process.parts.origin_lookup.run())
        await script(clock, feed, process)
        task.cancel()

    run_virtual(main())


def test_many_requests_share_the_reads_that_a_process_may_make():
    async def script(clock, feed, process):
        searches = []
        for number in range(200):
            searches.append(asyncio.ensure_future(process.find(f"s-{number}")))
            await clock.sleep(seconds(0.05))
        await asyncio.gather(*searches)
        took = clock.monotonic().total_seconds()
        assert 10 <= len(feed.calls) <= 17 + READS_PER_SECOND * took
        times = [at for at, _ in feed.calls]
        least = min(later - at for at, later in itertools.pairwise(times))
        assert least >= seconds(MANY_PROCESSES / (0.4 * 2000))

    play(script, MANY_PROCESSES)


def test_a_stream_that_is_stored_while_its_caller_waits_is_found():
    async def script(clock, feed, process):
        search = asyncio.ensure_future(process.find("s-1"))
        await clock.sleep(seconds(0.4))
        feed.put(["s-1"], "v2")
        version, took = await search
        assert version == "v2" and took < seconds(0.75)
        assert "snapshot" not in [kind for _, kind in feed.calls[1:]]

    play(script)
    play(script, processes=195)


def test_one_slow_answer_of_the_store_is_waited_for():
    """Guards against refusals where the store or this process is slow for a moment."""

    async def script(clock, feed, process):
        feed.put(["s-1"], "v2")
        feed.delay = seconds(0.2)
        assert (await process.find("s-1"))[0] == "v2", "all rows, at first"
        feed.put(["s-2"], "v2")
        assert (await process.find("s-2"))[0] == "v2"

    play(script)


def test_reads_of_many_rows_are_waited_for_while_the_caller_has_time():
    """Guards against LOST: over a slow link each process's first read took longer than 250 ms."""

    async def script(clock, feed, process):
        feed.put(["s-1"], "v2")
        feed.delay = seconds(0.6)
        assert (await process.find("s-1"))[0] == "v2"
        feed.put(["s-2"], "v2")
        assert (await process.find("s-2"))[0] == "v2"

    play(script)


def test_changes_of_several_pages_are_read_to_their_end():
    """Guards against taking the first page of the changes for all of them."""

    async def script(clock, feed, process):
        await process.find("s-0")
        for number in range(10 * READ_PAGE):
            feed.rows.append(RawRow(f"q/{number}", len(feed.rows) + 1, msgpack.packb({})))
        feed.put(["s-1"], "v2")
        assert (await process.find("s-1"))[0] == "v2"

    play(script)


def test_a_call_whose_connection_was_reset_is_made_again():
    """Guards against refusals by a store that is in reach."""

    async def script(clock, feed, process):
        feed.put(["s-1"], "v2")
        feed.is_away, feed.delay = True, seconds(0.05)
        search = asyncio.ensure_future(process.find("s-1"))
        await clock.sleep(seconds(0.1))
        feed.is_away, feed.delay = False, seconds(0.3)
        assert (await search)[0] == "v2"

    play(script)


def test_a_store_that_was_out_of_reach_is_waited_for_again_some_time_later():
    """Guards against refusals at the first take-ups after a cut."""

    async def script(clock, feed, process):
        feed.delay, feed.is_away = seconds(0.7), True
        assert (await process.find("s-0"))[0] is None
        await clock.sleep(seconds(5))
        feed.is_away = False
        feed.put(["s-1"], "v2")
        assert (await process.find("s-1"))[0] == "v2"

    play(script)


def test_a_store_that_stops_answering_is_waited_for_by_the_first_callers_only():
    """Guards against callers who all wait for a store that is out of reach."""

    async def script(clock, feed, process):
        feed.delay, feed.is_away = seconds(1.5), True
        version, took = await process.find("s-1")
        assert version is None and took <= seconds(1.6)
        await clock.sleep(seconds(2))
        version, took = await process.find("s-2")
        assert version is None and took <= MAX_ORIGIN_WAIT

    play(script)


def test_a_store_that_does_not_answer_makes_nobody_wait_longer():
    async def script(clock, feed, process):
        feed.is_away = True
        version, took = await process.find("s-1")
        assert version is None and took <= MAX_ORIGIN_WAIT

    play(script)


def test_a_restored_store_tells_nothing_until_the_hubs_have_written_again():
    """Guards against an older copy in which the version of a stream is still sure."""

    async def script(clock, feed, process):
        feed.put(["s-1"], "v1")
        await process.find("s-0")
        feed.put(["s-2"], "v1")
        feed.restored = 1
        assert (await process.find("s-2"))[0] is None
        await clock.sleep(seconds(3))
        assert (await process.find("s-2"))[0] == "v1"

    play(script)


def test_all_rows_are_read_again_after_the_history_was_lost():
    async def script(clock, feed, process):
        await process.find("s-0")
        feed.put(["s-1"], "v2")
        feed.lost_before = 1
        assert (await process.find("s-1"))[0] == "v2"
        assert feed.calls[-1][1] == "snapshot"

    play(script)


def test_a_version_read_before_is_confirmed_by_the_store_where_nobody_else_tells_of_it():
    """Guards against a stream that others have told since to be of no sure version."""

    async def script(clock, feed, process):
        feed.put(["s-1", "s-2"], "v1")
        assert (await process.find("s-1"))[0] == "v1"
        await clock.sleep(seconds(1))
        feed.put(["s-1"], UNKNOWN_VERSION)
        assert (await process.find("s-1"))[0] is None
        feed.is_away = True
        version, took = await process.find("s-2")
        assert version == "v1" and took <= MAX_ORIGIN_WAIT

    play(script)


def test_a_version_told_before_the_processes_were_cut_off_is_confirmed_by_the_store():
    """Guards against the same where another data centre told of the stream, and is silent since."""

    async def script(clock, feed, process):
        told = StreamOrigins(clock)
        told.begin("s-1", "v1")
        told.break_off("s-1")
        process.parts.origins.apply("b", told.reported())
        assert await process.find("s-1") == ("v1", seconds(0)) and not feed.calls
        await clock.sleep(seconds(2))
        feed.put(["s-1"], UNKNOWN_VERSION)
        assert (await process.find("s-1"))[0] is None

    play(script)


def test_the_store_is_asked_before_the_only_version_is_taken_where_others_are_silent():
    """Guards against a stream of a server that others have seen start again unlisted."""

    async def script(clock, feed, process):
        process.parts.software_versions = lambda service: {"v1"}
        process.parts.origins.apply("b", {})
        feed.put(["s-1"], UNKNOWN_VERSION)
        assert await process.find("s-1") == ("v1", seconds(0))
        await clock.sleep(seconds(4))
        assert (await process.find("s-1"))[0] is None
        assert (await process.find("s-2"))[0] == "v1"

    play(script)


def test_a_version_of_another_service_does_not_hide_the_only_one():
    """Guards against LOST beside a release of another service."""

    async def script(clock, feed, process):
        process.parts.software_versions = lambda service: {"v1"}
        process.parts.origins.begin("of-another", "v2")
        assert (await process.find("s-1"))[0] is None
        process.parts.registry.software_versions_of_others = lambda service: {"v2"}
        assert await process.find("s-1") == ("v1", seconds(0))

    play(script)
