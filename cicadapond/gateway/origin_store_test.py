"""Tests of what the hub of a data centre keeps in the store of streams' origins."""

import asyncio
import collections
import types

from cicadapond.continuation import StreamOrigins, VersionHistory, read_rows
from cicadapond.continuation._origins import HASH_BYTES
from cicadapond.gateway._origin_store import TABLE, OriginStore
from cicadapond.kernel import (
    AnswerLost,
    Metrics,
    Ok,
    Unavailable,
    VirtualClock,
    run_virtual,
    seconds,
)
from cicadapond.provider import Row


class Tables:
    """The store, which can be away, with the number of calls that write."""

    def __init__(self, clock):
        self.clock, self.times = clock, []
        self.rows, self.is_away, self.calls, self.restores = {}, False, 0, 0
        # Calls without an answer that are carried out later, None to carry them out at once.
        self.late = None

    def era(self):
        return self.restores

    async def scan(self, table, prefix="", after="", limit=1000):
        if self.is_away:
            return Unavailable("away")
        keys = [key for key in sorted(self.rows) if key > after][:limit]
        return Ok(tuple(Row(table, key, 1, self.rows[key]) for key in keys))

    async def transact(self, writes):
        self.calls += 1
        self.times.append(self.clock.monotonic().total_seconds())
        if self.is_away:
            return Unavailable("away")
        if self.late is not None:
            self.late += writes
            return AnswerLost("no answer")
        self.carry_out(writes)
        return Ok({})

    def carry_out(self, writes):
        for write in writes:
            assert write.table == TABLE
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = write.value


class Process:
    """The store's part of a process, as the hub of its data centre."""

    def __init__(self, clock, tables, run, versions, hub=None, processes=3):
        self.versions = {"s": set(versions)}
        self.has_unlisted = False
        table = types.SimpleNamespace(cfg=types.SimpleNamespace(services=self.versions))
        self.parts = types.SimpleNamespace(
            clock=clock,
            cfg=types.SimpleNamespace(store_writes_per_second=400.0),
            processes=lambda: processes,
            origins=StreamOrigins(clock),
            version_history=VersionHistory(clock),
            active_configuration=types.SimpleNamespace(table=table),
            software_versions=lambda service: set(self.versions[service]),
            starts=types.SimpleNamespace(has_unlisted=lambda service: self.has_unlisted),
            log=types.SimpleNamespace(write=lambda *args, **fields: None),
            metrics=Metrics(),
        )
        cluster = types.SimpleNamespace(
            zone="a",
            live_by_zone=lambda: {"a": (run,)},
            has_settled=lambda: True,
            speaks_for_zone=lambda: hub is None,
            own_run=lambda: run,
        )
        self.cluster = cluster
        self.store = OriginStore(self.parts, tables, cluster)

    def begin(self, clock, stream, version, is_told=True):
        self.parts.origins.begin(stream, version)
        self.parts.origins.break_off(stream)
        if is_told:
            self.parts.origins.apply("a", self.parts.origins.reported())


def play(script):
    """Runs a script, which gets the clock, the store and a function that starts a process."""

    async def main():
        clock, tasks = VirtualClock(), []
        tables = Tables(clock)

        def start(run, *versions, **changes):
            process = Process(clock, tables, run, versions, **changes)
            tasks.append(asyncio.ensure_future(process.store.run()))
            return process

        await script(clock, tables, start)
        for task in tasks:
            task.cancel()

    run_virtual(main())


def test_streams_are_stored_only_while_there_are_several_versions():
    async def script(clock, tables, start):
        process = start("a-1/1", "v1")
        process.begin(clock, "one", "v1")
        await clock.sleep(seconds(10))
        assert tables.calls <= 3 and set(tables.rows) == {"a-1/1"}
        process.versions["s"].add("v2")
        await clock.sleep(seconds(0.5))
        assert read_rows(tables.rows.items()).versions == {"s": {"v1", "v2"}}
        assert len(tables.rows) == 2, "also the streams that began before"

    play(script)


def test_streams_are_stored_once_a_server_has_started_again_and_is_not_listed():
    async def script(clock, tables, start):
        process = start("a-1/1", "v1")
        process.begin(clock, "one", "v1")
        await clock.sleep(seconds(1))
        process.has_unlisted = True
        await clock.sleep(seconds(0.5))
        assert len(tables.rows) == 2

    play(script)


def test_a_process_that_starts_after_all_ended_knows_versions_and_streams():
    async def script(clock, tables, start):
        process = start("a-1/1", "v1", "v2")
        process.begin(clock, "one", "v1")
        await clock.sleep(seconds(1))
        later = start("a-1/2", "v2")
        await clock.sleep(seconds(0.1))
        assert later.parts.origins.find("one") == "v1"
        assert later.parts.version_history.versions("s") == {"v1", "v2"}

    play(script)


def test_while_the_store_is_away_at_the_start_nothing_counts_as_known():
    async def script(clock, tables, start):
        tables.is_away = True
        process = start("a-1/1", "v1")
        await clock.sleep(seconds(5))
        assert not process.parts.version_history.is_loaded
        tables.is_away = False
        await clock.sleep(seconds(0.5))
        assert process.parts.version_history.is_loaded

    play(script)


def test_rows_do_not_pile_up():
    async def script(clock, tables, start):
        process = start("a-1/1", "v1", "v2")
        for number in range(200):
            process.begin(clock, f"s-{number}", "v1")
            await clock.sleep(seconds(0.25))
        assert len(tables.rows) <= 130
        process.versions["s"] = {"v2"}
        await clock.sleep(seconds(40))
        assert len(tables.rows) == 1

    play(script)


def test_streams_are_stored_again_after_the_store_went_back():
    """Guards against rows that a hub takes for written and a restore has lost."""

    async def script(clock, tables, start):
        process = start("a-1/1", "v1", "v2")
        copy = dict(tables.rows)
        process.begin(clock, "one", "v1")
        await clock.sleep(seconds(1))
        tables.rows, tables.restores = copy, 1
        await clock.sleep(seconds(0.5))
        found = read_rows(tables.rows.items())
        assert found.versions == {"s": {"v1", "v2"}}
        assert [list(versions) for versions in found.buckets.values()] == [["v1"]]

    play(script)


def test_a_write_that_is_carried_out_late_replaces_no_newer_one():
    """Guards against a row of streams in an older form, which its hub takes for written."""

    async def script(clock, tables, start):
        process = start("a-1/1", "v1", "v2")
        await clock.sleep(seconds(0.5))
        tables.late = []
        process.begin(clock, "one", "v1")
        await clock.sleep(seconds(0.15))
        late, tables.late = tables.late, None
        process.begin(clock, "two", "v1")
        await clock.sleep(seconds(0.5))
        tables.carry_out(late)
        later = start("a-1/2", "v1", "v2")
        await clock.sleep(seconds(0.1))
        assert late and later.parts.origins.find("one") == later.parts.origins.find("two") == "v1"

    play(script)


def test_a_process_stores_the_streams_that_its_hub_does_not_tell():
    """Guards against a hub that is cut off or stands still, until the others notice."""

    async def script(clock, tables, start):
        process = start("a-2/1", "v1", "v2", hub="a-1")
        process.begin(clock, "one", "v1")
        await clock.sleep(seconds(5))
        assert not tables.calls, "the hub told of it"
        process.begin(clock, "two", "v1", is_told=False)
        await clock.sleep(seconds(0.9))
        later = start("a-3/1", "v1", "v2", hub="a-1")
        await clock.sleep(seconds(0.1))
        assert later.parts.origins.find("two") == "v1"
        await clock.sleep(seconds(30))
        assert not tables.rows

    play(script)


def test_a_process_does_not_store_the_streams_that_its_hub_tells_once_more():
    """Guards against rows of each process that have all streams of its data centre."""

    async def script(clock, tables, start):
        process = start("a-2/1", "v1", "v2", hub="a-1")
        others = StreamOrigins(clock)
        for number in range(100):
            others.begin(f"o-{number}", "v1")
            others.break_off(f"o-{number}")
        process.parts.origins.apply("a", others.reported())
        process.begin(clock, "two", "v1", is_told=False)
        await clock.sleep(seconds(0.9))
        sizes = [len(hashes) for row in tables.rows.values() for hashes in row.values()]
        assert sizes == [HASH_BYTES]

    play(script)


def test_many_processes_without_a_hub_write_within_their_share():
    async def script(clock, tables, start):
        processes = [
            start(f"a-{number}/1", "v1", "v2", hub="a", processes=420) for number in range(42)
        ]
        for _ in range(40):
            for process in processes:
                process.begin(clock, f"s-{tables.calls}-{id(process)}", "v1", is_told=False)
            await clock.sleep(seconds(0.25))
        assert 0 < tables.calls <= (0.2 * 400 / 420 * 10 + 5) * 42
        in_a_second = collections.Counter(map(int, tables.times)).most_common(1)[0][1]
        assert in_a_second <= 2 * 0.5 * 400 * 42 / 420, "the spread is not exact"

    play(script)


def test_a_hub_stores_its_streams_until_the_next_one_hears_it():
    """Guards against streams that a process has told itself as a hub, and the next one not yet."""

    async def script(clock, tables, start):
        process = start("a-1/1", "v1", "v2")
        await clock.sleep(seconds(0.5))
        process.begin(clock, "one", "v1")
        process.cluster.speaks_for_zone = lambda: False
        await clock.sleep(seconds(0.5))
        process.begin(clock, "two", "v1", is_told=False)
        await clock.sleep(seconds(0.3))
        assert len(read_rows(tables.rows.items()).buckets) == 2

    play(script)
