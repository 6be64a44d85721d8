"""Tests of shared copies: complete despite lost messages, current, and with few store calls."""

import asyncio
import random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapond.gateway._follow import (
    FEED_DELAY_ALLOWANCE,
    FollowTask,
    feed_wait,
)
from cicadapond.gateway._sharing import (
    MAX_COPY_BYTES,
    MAX_HISTORY_AGE,
    MAX_HISTORY_BYTES,
    MAX_NEW_BYTES,
    RESEND_PERIOD,
    ChangeHistory,
    CopyGroup,
    CopyInbox,
    CopyTimes,
    RecentChanges,
    SharedCopy,
    read_copy,
)
from cicadapond.gateway._time import BOUND_LIFETIME, StoreClock
from cicadapond.gateway.follow_test import (
    Configurations,
    FaultyFeed,
    Feed,
    Follower,
    Log,
)
from cicadapond.kernel import ManualClock, Metrics, VirtualClock, run_virtual, seconds
from cicadapond.provider import Changes, RawRow, version_in_era
from cicadapond.routes import ActiveConfiguration
from cicadapond.serving import CallerRequest

BOUND = seconds(5)


@given(
    st.lists(
        st.tuples(
            st.lists(st.tuples(st.sampled_from("abcdef"), st.integers(0, 3000)), max_size=5),
            st.floats(0, 2),
            st.booleans(),
        ),
        max_size=20,
    )
)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_a_process_above_the_floor_has_the_complete_table_after_a_copy(steps):
    clock = ManualClock()
    writer = RecentChanges(clock)
    table, version, mine, my_version = {}, 1, {}, 1
    writer.update(Changes((), version, seconds(1)), is_snapshot=True)
    for changed, wait_s, is_received in steps:
        clock.advance(seconds(wait_s))
        rows = []
        for key, size in dict(changed).items():
            version += 1
            value = None if size == 0 else bytes(size)
            rows.append(RawRow(key, version, value))
            table[key] = value
        copy = writer.update(Changes(tuple(rows), version, seconds(1)), is_snapshot=False)
        assert sum(len(row.value or b"") for row in copy.rows) <= MAX_NEW_BYTES
        copy = read_copy(copy.as_list())
        if is_received:
            if copy.floor > my_version:
                mine = dict(table)
            else:
                mine |= {row.key: row.value for row in copy.rows if row.version > my_version}
            my_version = copy.version
            assert mine == table


@given(
    st.lists(
        st.tuples(
            st.lists(st.tuples(st.sampled_from("abcdef"), st.integers(0, 90_000)), max_size=3),
            st.floats(0, 40),
            st.booleans(),
        ),
        max_size=20,
    )
)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_a_process_that_asks_for_changes_has_the_complete_table(steps):
    clock = ManualClock()
    history, table, version, mine, my_version = ChangeHistory(clock), {}, 1, {}, 1
    history.update(Changes((), version, seconds(1)), is_snapshot=True)
    for changed, wait_s, asks in steps:
        clock.advance(seconds(wait_s))
        rows = []
        for key, size in dict(changed).items():
            version += 1
            rows.append(RawRow(key, version, None if size == 0 else bytes(size)))
            table[key] = rows[-1].value
        history.update(Changes(tuple(rows), version, clock.monotonic()), is_snapshot=False)
        copy = history.since(my_version) if asks else None
        if copy is not None:
            assert sum(len(row.value or b"") for row in copy.rows) <= MAX_HISTORY_BYTES
            mine |= {row.key: row.value for row in copy.rows}
            my_version = copy.version
            assert mine == table


def test_a_process_that_reads_nothing_any_more_gives_no_changes():
    """Guards against processes without the store that take old copies from each other."""
    clock = ManualClock()
    history = ChangeHistory(clock)
    history.update(Changes((), 1, seconds(1)), is_snapshot=True)
    for _ in range(3):
        assert history.since(1) is not None
        clock.advance(MAX_HISTORY_AGE / 2)
        history.update(Changes((), 1, seconds(1)), is_snapshot=False)
    assert history.since(1) is None


def test_an_answer_that_was_overtaken_replaces_no_newer_rows():
    """Guards against old rows for processes that do not reach the store."""
    history, recent = ChangeHistory(ManualClock()), RecentChanges(ManualClock())
    for version, value in ((5, b"old"), (7, b"new"), (6, b"late")):
        changes = Changes((RawRow("k", version, value),), version, seconds(version))
        history.update(changes, is_snapshot=version == 5)
        copy = recent.update(changes, is_snapshot=False)
    for found in (history.since(5), copy):
        assert [row.value for row in found.rows] == [b"new"]
    assert history.since(5).version == 7


def test_a_large_change_is_sent_once_and_small_ones_are_resent():
    clock = ManualClock()
    writer = RecentChanges(clock)
    writer.update(Changes((), 5, seconds(1)), is_snapshot=True)
    large = RawRow("c", 6, bytes(2 * MAX_COPY_BYTES))
    copy = writer.update(Changes((large,), 6, seconds(1)), is_snapshot=False)
    assert (copy.floor, copy.rows) == (5, (large,))
    small = RawRow("s", 7, b"x")
    for _ in range(2):
        copy = writer.update(Changes((small,), 7, seconds(1)), is_snapshot=False)
        assert (copy.floor, copy.rows) == (6, (small,))


def test_changes_are_resent_only_for_the_resend_period():
    clock = ManualClock()
    writer = RecentChanges(clock)
    writer.update(Changes((), 5, seconds(1)), is_snapshot=True)
    first = writer.update(Changes((RawRow("k", 7, b"x"),), 7, seconds(2)), is_snapshot=False)
    clock.advance(RESEND_PERIOD + seconds(0.1))
    later = writer.update(Changes((), 9, seconds(5)), is_snapshot=False)
    assert (first.floor, len(first.rows)) == (5, 1)
    assert (later.floor, later.version, later.rows) == (7, 9, ())


@pytest.mark.parametrize("era, size, is_whole", [(1, 10, True), (0, 10, False), (1, 30_000, False)])
def test_a_small_table_of_a_restored_store_is_sent_as_a_whole_for_a_while(era, size, is_whole):
    clock = ManualClock()
    writer = RecentChanges(clock)
    first, second = version_in_era(era, 7), version_in_era(era, 8)
    rows = (RawRow("k", first, bytes(size)),)
    copy = writer.update(Changes(rows, first, seconds(1)), is_snapshot=True)
    assert copy.is_whole == is_whole
    assert copy.rows == (rows if is_whole else ())
    removal = (RawRow("k", second, None),)
    copy = writer.update(Changes(removal, second, seconds(1)), is_snapshot=False)
    assert copy.is_whole == is_whole and copy.rows == removal
    clock.advance(RESEND_PERIOD + seconds(0.1))
    copy = writer.update(Changes((), second, seconds(5)), is_snapshot=False)
    assert not copy.is_whole and copy.floor == second


@pytest.mark.parametrize("value", [None, [], [1, 2], [1, 2, 3, [["k"]]], ["a", 1, 1, []]])
def test_a_malformed_copy_is_rejected(value):
    assert read_copy(value) is None


def test_a_reading_is_converted_only_with_recent_answers():
    times = StoreClock()
    assert times.local_time_of(seconds(100), seconds(1)) is None
    times.answered_at(seconds(100), seconds(1), seconds(1.2))
    assert times.local_time_of(seconds(104), seconds(6)) == seconds(5)
    # This would be in the future, so it is a reading of another clock.
    assert times.local_time_of(seconds(120), seconds(6)) is None
    late = seconds(1) + 2 * BOUND_LIFETIME + seconds(1)
    assert times.local_time_of(seconds(120), late) is None


def test_a_bound_on_the_clock_offset_expires():
    times = StoreClock()
    times.answered_at(seconds(100), seconds(1), seconds(1.1))  # 99 s ahead
    drifted = seconds(101) + 2 * BOUND_LIFETIME  # 99.5 s ahead by then
    for minute in range(11):
        now = seconds(1 + 60 * minute)
        times.answered_at(now + seconds(99.5), now, now)
    assert times.answered_at(drifted + seconds(99.5), drifted, drifted) == drifted


@attrs.define
class LinkedGroup(CopyGroup):
    """One process of a group whose members put copies directly into each other's inboxes."""

    name: int
    readers: list
    others: list = attrs.field(factory=list)
    inbox: CopyInbox = attrs.field(factory=CopyInbox)
    is_cut: bool = False

    def is_reader(self, table):
        return self.name in self.readers

    def has_receivers(self, table):
        return len(self.readers) <= len(self.others)

    def publish_copy(self, table, copy: SharedCopy):
        for other in self.others:
            if not (self.is_cut or other.is_cut):
                other.inbox.put(read_copy(copy.as_list()))

    async def receive_copy(self, table, limit):
        return await self.inbox.get(limit)


class Fleet:
    """Processes that follow one table; the first `readers` of them read it from the store."""

    def __init__(self, clock, feeds, readers, follower=Follower):
        self.clock = clock
        self.feeds = feeds
        self.readers = list(range(readers))
        self.groups = [LinkedGroup(number, self.readers) for number in range(len(feeds))]
        wait = feed_wait(BOUND)
        self.directories = [
            ActiveConfiguration(clock, BOUND, wait + FEED_DELAY_ALLOWANCE) for _ in feeds
        ]
        self.followers = [follower(directory) for directory in self.directories]
        self.running = []
        for group, feed, taker in zip(self.groups, feeds, self.followers, strict=True):
            group.others = [other for other in self.groups if other is not group]
            task = FollowTask("t", feed, taker, wait, clock, Log(), Metrics(), group)
            self.running.append(asyncio.ensure_future(task.run()))

    def calls(self):
        return [feed.calls for feed in self.feeds]

    def stop(self):
        for part in self.running:
            part.cancel()


def test_only_readers_call_the_store_and_all_receive_a_change_at_once():
    async def main():
        clock = VirtualClock()
        feeds = [Feed(clock) for _ in range(8)]
        fleet = Fleet(clock, feeds, readers=2)
        await clock.sleep(seconds(2))
        before = fleet.calls()
        for version in range(2, 12):
            for feed in feeds:
                feed.version = version
            await clock.sleep(seconds(0.1))
            assert all(taker.taken[-1][0] == version for taker in fleet.followers)
            await clock.sleep(seconds(1.9))
            assert all(directory.age() < CopyTimes().max_age for directory in fleet.directories)
        made = [after - then for after, then in zip(fleet.calls(), before, strict=True)]
        assert made[2:] == [0] * 6
        assert max(made) < 40
        fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("how", ["stopped", "cut"])
def test_without_readers_each_process_calls_the_store(how):
    async def main():
        clock = VirtualClock()
        feeds = [Feed(clock) for _ in range(5)]
        fleet = Fleet(clock, feeds, readers=2)
        await clock.sleep(seconds(3))
        for number in (0, 1):
            if how == "cut":
                fleet.groups[number].is_cut = True
            else:
                fleet.running[number].cancel()
        for feed in feeds:
            feed.version = 2
        await clock.sleep(CopyTimes().max_age + seconds(0.2))
        assert all(taker.taken[-1][0] == 2 for taker in fleet.followers[2:])
        for _ in range(100):
            await clock.sleep(seconds(0.1))
            assert all(
                d.age() < CopyTimes().max_age + feed_wait(BOUND) for d in fleet.directories[2:]
            )
        fleet.stop()

    run_virtual(main())


FAULTS = ("late", "lost", "refused", "forgotten")


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from((*FAULTS, "down", "up", "cut", "join", "reader")),
            st.integers(0, 3),
            st.floats(0.01, 4),
        ),
        max_size=18,
    ),
    st.floats(0, 20),
)
def test_no_request_is_sent_with_a_key_after_the_bound_with_shared_copies(events, revoked_s):
    async def main():
        clock = VirtualClock()
        feeds = [FaultyFeed(clock) for _ in range(4)]
        fleet = Fleet(clock, feeds, readers=2, follower=Configurations)
        req = CallerRequest("1", "GET", b"/", "h", "/", (), key="k")
        sent = []

        async def callers():
            while True:
                await clock.sleep(seconds(0.05))
                if any(directory.still_allowed(req) for directory in fleet.directories):
                    sent.append(clock.monotonic())

        async def revoke():
            await clock.sleep(seconds(revoked_s))
            for feed in feeds:
                feed.version = 2

        others = [asyncio.ensure_future(part) for part in (callers(), revoke())]
        for event, number, wait_s in events:
            if event in FAULTS:
                feeds[number].faults.append((event, wait_s))
            elif event == "reader":
                fleet.readers[:] = [number, random.Random(wait_s).randrange(4)]
            elif event in ("down", "up"):
                feeds[number].is_down = event == "down"
            else:
                fleet.groups[number].is_cut = event == "cut"
            await clock.sleep(seconds(wait_s))
        for feed, group in zip(feeds, fleet.groups, strict=True):
            feed.is_down = False
            feed.faults.clear()
            group.is_cut = False
        await clock.sleep(seconds(30))
        assert not sent or sent[-1] <= seconds(revoked_s) + BOUND
        assert all(directory.version == 2 for directory in fleet.directories)
        fleet.stop()
        for part in others:
            part.cancel()

    run_virtual(main())


def test_a_process_that_the_store_turns_away_uses_the_copies_of_others():
    """Its own failed call must not make it deaf to changes that its neighbours tell."""

    async def main():
        clock = VirtualClock()
        feeds = [Feed(clock) for _ in range(4)]
        fleet = Fleet(clock, feeds, readers=1)
        await clock.sleep(seconds(2))
        feeds[3].is_down = True
        fleet.groups[3].is_cut = True  # misses copies for a while, so that it calls the store
        await clock.sleep(CopyTimes().max_age + seconds(0.5))
        fleet.groups[3].is_cut = False
        await clock.sleep(seconds(1.2))
        for feed in feeds[:3]:
            feed.version = 9
        await clock.sleep(seconds(0.2))
        assert all(taker.taken[-1][0] == 9 for taker in fleet.followers)
        assert fleet.directories[3].age() < CopyTimes().max_age
        fleet.stop()

    run_virtual(main())
