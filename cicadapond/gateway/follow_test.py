"""Tests of following a table: age of the copy in operation, in outages and after lost history."""

import asyncio
import random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapond.gateway._follow import (
    FEED_DELAY_ALLOWANCE,
    MAX_FEED_WAIT,
    FollowTask,
    TableFollower,
    feed_wait,
)
from cicadapond.gateway._read_budget import MAX_BURST, ReadBudget
from cicadapond.gateway._time import StoreClock
from cicadapond.kernel import (
    ManualClock,
    Metrics,
    Ok,
    Unavailable,
    VirtualClock,
    run_virtual,
    seconds,
)
from cicadapond.provider import ChangeFeed, Changes, HistoryLost, RawRow
from cicadapond.routes import ActiveConfiguration
from cicadapond.serving import (
    CallerRequest,
    ClientAccount,
    Configuration,
    RequestLimits,
    Route,
    RouteKind,
    WeightedService,
)

ANSWER_DELAY = seconds(0.02)
REVOCATION = seconds(5)
CURRENT_FOR = MAX_FEED_WAIT + FEED_DELAY_ALLOWANCE


class Log:
    def __init__(self):
        self.events = []

    def write(self, event, **fields):
        self.events.append(event)


@attrs.define
class Feed(ChangeFeed):
    """A feed whose calls answer at the end of their wait, or as soon as there is a change."""

    clock: VirtualClock
    version: int = 1
    is_down: bool = False
    lost_below: int = 0
    calls: int = 0

    def service_time(self):
        return seconds(1000) + self.clock.monotonic()

    async def snapshot(self, table):
        self.calls += 1
        await self.clock.sleep(ANSWER_DELAY)
        if self.is_down:
            return Unavailable("down")
        return Ok(Changes((RawRow("k", self.version, b"x"),), self.version, self.service_time()))

    async def changes(self, table, since, wait):
        self.calls += 1
        end = self.clock.monotonic() + wait
        while self.clock.monotonic() < end and self.version <= since and not self.is_down:
            await self.clock.sleep(min(ANSWER_DELAY, end - self.clock.monotonic()))
        await self.clock.sleep(ANSWER_DELAY)
        if self.is_down:
            return Unavailable("down")
        if since < self.lost_below:
            return HistoryLost()
        rows = (RawRow("k", self.version, b"x"),) if self.version > since else ()
        return Ok(Changes(rows, self.version, self.service_time()))


class Follower(TableFollower):
    def __init__(self, active_configuration):
        self.active_configuration = active_configuration
        self.taken = []

    def apply_changes(self, changes, is_snapshot, after_outage):
        self.taken.append((changes.version, is_snapshot, after_outage))

    def confirm_current(self, since):
        self.active_configuration.confirm_current(since)


def play(script):
    """Runs a follower in virtual time alongside a script that controls the feed."""

    async def main():
        clock = VirtualClock()
        feed, log = Feed(clock), Log()
        active_configuration = ActiveConfiguration(clock, REVOCATION, CURRENT_FOR)
        follower = Follower(active_configuration)
        task = FollowTask("t", feed, follower, feed_wait(REVOCATION), clock, log, Metrics())
        running = asyncio.ensure_future(task.run())
        await script(clock, feed, follower, log)
        running.cancel()

    random.seed(1)
    run_virtual(main())


def test_the_copy_of_a_working_feed_is_always_current():
    async def script(clock, feed, follower, log):
        await clock.sleep(seconds(0.1))
        for _ in range(400):
            await clock.sleep(seconds(0.05))
            assert follower.active_configuration.age() < CURRENT_FOR
        assert feed.calls < 16  # one call per wait, no polling

    play(script)


def test_a_change_is_applied_at_once():
    async def script(clock, feed, follower, log):
        await clock.sleep(seconds(1))
        feed.version = 2
        await clock.sleep(seconds(0.1))
        assert follower.taken == [(1, True, False), (2, False, False)]

    play(script)


def test_an_outage_is_logged_once_and_its_end_detected():
    async def script(clock, feed, follower, log):
        await clock.sleep(seconds(1))
        feed.is_down = True
        await clock.sleep(seconds(6))
        assert follower.active_configuration.age() > seconds(5)
        feed.version = 2
        feed.is_down = False
        await clock.sleep(seconds(1))
        assert follower.taken[-1] == (2, False, True)
        assert log.events == ["table_lost", "table_regained"]
        assert follower.active_configuration.age() < CURRENT_FOR

    play(script)


def test_lost_history_leads_to_a_snapshot():
    async def script(clock, feed, follower, log):
        await clock.sleep(seconds(1))
        feed.version, feed.lost_below = 5, 4
        await clock.sleep(seconds(0.2))
        assert follower.taken[-1] == (5, True, False)
        assert log.events == ["history_lost"]

    play(script)


def test_a_delayed_answer_confirms_currency_only_up_to_when_it_was_sent():
    time = StoreClock()
    assert time.answered_at(seconds(500.01), seconds(0), seconds(0.02)) == seconds(0)
    # Sent after 2 s, during a long poll; received 3 s later.
    answered = time.answered_at(seconds(502.01), seconds(0.5), seconds(5))
    assert answered == seconds(2)


def test_after_a_restart_of_the_store_clock_only_the_new_calls_count():
    time = StoreClock()
    time.answered_at(seconds(500.01), seconds(0), seconds(0.02))
    assert time.answered_at(seconds(0.01), seconds(9), seconds(9.02)) == seconds(9)
    assert time.answered_at(seconds(2.01), seconds(10), seconds(11.02)) == seconds(11)
    assert time.answered_at(seconds(900), seconds(20), seconds(20.02)) == seconds(20)


@pytest.mark.parametrize("revocation_s", [1.5, 2, 5, 8])
def test_a_working_feed_always_allows_keys_whatever_the_revocation_bound(revocation_s):
    async def main():
        clock = VirtualClock()
        wait = feed_wait(seconds(revocation_s))
        active_configuration = ActiveConfiguration(
            clock, seconds(revocation_s), wait + FEED_DELAY_ALLOWANCE
        )
        follower = Follower(active_configuration)
        active_configuration.apply(configuration(1, "k"))
        task = FollowTask("t", Feed(clock), follower, wait, clock, Log(), Metrics())
        running = asyncio.ensure_future(task.run())
        await clock.sleep(seconds(0.1))
        for _ in range(200):
            await clock.sleep(seconds(0.05))
            assert active_configuration.may_use_keys()
        running.cancel()

    run_virtual(main())


def configuration(version, *keys):
    services = (WeightedService("s", 1.0),)
    route = Route("r", "h", "/", RouteKind.IDEMPOTENT, services, seconds(1), seconds(0.1))
    limits = RequestLimits(8192, 65536, seconds(1), seconds(10))
    accounts = (ClientAccount("acme", frozenset(keys)),)
    return Configuration(version, (route,), {}, limits, accounts)


class FaultyFeed(Feed):
    """A feed with injected faults: late, lost or refused answers, and lost history."""

    def __init__(self, clock):
        super().__init__(clock)
        self.faults = []

    async def _deliver(self, answer):
        fault, wait = self.faults.pop(0) if self.faults else ("none", 0.0)
        await self.clock.sleep(seconds(wait))
        if fault in ("lost", "refused"):
            return Unavailable(fault)
        return HistoryLost() if fault == "forgotten" else answer

    async def snapshot(self, table):
        return await self._deliver(await super().snapshot(table))

    async def changes(self, table, since, wait):
        return await self._deliver(await super().changes(table, since, wait))


class Configurations(Follower):
    def apply_changes(self, changes, is_snapshot, after_outage):
        keys = ("k",) if changes.version == 1 else ()
        self.active_configuration.apply(configuration(changes.version, *keys))


FAULTS = ("late", "lost", "refused", "forgotten")


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from((*FAULTS, "down", "up", "suspended")),
            st.floats(0.01, 6),
        ),
        max_size=16,
    ),
    st.floats(0, 20),
    st.sampled_from((1.5, 3.0, 5.0)),
)
def test_no_request_is_sent_with_a_key_after_the_revocation_bound(events, revoked_s, bound_s):
    async def main():
        clock = VirtualClock()
        feed = FaultyFeed(clock)
        wait = feed_wait(seconds(bound_s))
        active_configuration = ActiveConfiguration(
            clock, seconds(bound_s), wait + FEED_DELAY_ALLOWANCE
        )
        req = CallerRequest("1", "GET", b"/", "h", "/", (), key="k")
        may_run = asyncio.Event()
        may_run.set()
        sent = []

        async def caller():
            while True:
                await clock.sleep(seconds(0.05))
                await may_run.wait()
                if active_configuration.still_allowed(req):
                    sent.append(clock.monotonic())

        async def revoke():
            await clock.sleep(seconds(revoked_s))
            feed.version = 2

        task = FollowTask(
            "t", feed, Configurations(active_configuration), wait, clock, Log(), Metrics()
        )
        running = [asyncio.ensure_future(part) for part in (task.run(), caller(), revoke())]
        for event, wait_s in events:
            if event in FAULTS:
                feed.faults.append((event, wait_s))
            elif event == "suspended":
                may_run.clear()
            else:
                feed.is_down = event == "down"
            await clock.sleep(seconds(wait_s))
            may_run.set()
        feed.is_down = False
        feed.faults.clear()
        await clock.sleep(seconds(30))
        assert not sent or sent[-1] <= seconds(revoked_s + bound_s)
        assert active_configuration.version == 2
        for part in running:
            part.cancel()

    run_virtual(main())


class Confirmations(Follower):
    def confirm_current(self, since):
        self.taken.append(since)


def refreshed(script, budget=None):
    """Runs a script with a follower that has read its table once and does not go on."""

    async def main():
        clock = VirtualClock()
        feed, follower = FaultyFeed(clock), Confirmations(None)
        task = FollowTask(
            "t", feed, follower, seconds(1), clock, Log(), Metrics(), refresh_budget=budget
        )
        running = asyncio.ensure_future(task.run())
        await clock.sleep(2 * ANSWER_DELAY)
        running.cancel()
        await script(clock, feed, follower, task)

    run_virtual(main())


def test_an_answer_that_is_read_after_a_pause_is_as_old_as_it_was_sent():
    """Guards against servers that are used by a table older than it is taken for."""

    async def script(clock, feed, follower, task):
        begun, feed.faults = clock.monotonic(), [("late", 5.0)]
        await task.refresh(begun)
        assert follower.taken[-1] <= begun + 2 * ANSWER_DELAY

    refreshed(script)


def test_the_reads_that_requests_ask_for_are_bounded_for_all_processes_together():
    """Guards against reads beyond the store's rate while many streams are taken up."""
    budget = ReadBudget(2000.0, lambda: 400, ManualClock())

    async def script(clock, feed, follower, task):
        before = feed.calls
        for _ in range(100):
            await task.refresh(clock.monotonic())
        assert feed.calls - before == MAX_BURST

    refreshed(script, budget)


def test_a_request_beyond_the_permitted_reads_waits_for_the_next_one():
    """Guards against refusals of requests that have time to wait."""

    async def script(clock, feed, follower, task):
        budget = ReadBudget(2000.0, lambda: 195, clock)
        task._refresh_budget = budget
        while budget.take():
            pass
        begun, before = clock.monotonic(), feed.calls
        waits = [task.refresh(begun, begun + seconds(1.5)) for _ in range(50)]
        await asyncio.gather(task.refresh(begun, begun + seconds(0.1)), *waits)
        assert follower.taken[-1] >= begun and feed.calls == before + 1
        assert clock.monotonic() - begun < seconds(1.1)

    refreshed(script)


def test_a_request_reads_again_after_a_read_that_began_before_it():
    """Guards against refusals by a table that is some ms too old."""

    async def script(clock, feed, follower, task):
        first = asyncio.ensure_future(task.refresh(clock.monotonic()))
        await clock.sleep(ANSWER_DELAY / 2)
        begun = clock.monotonic()
        await task.refresh(begun)
        assert follower.taken[-1] >= begun
        await first

    refreshed(script)


def test_a_table_that_is_as_new_as_a_request_is_not_read_again():
    async def script(clock, feed, follower, task):
        before = feed.calls
        await task.refresh(clock.monotonic() - 4 * ANSWER_DELAY)
        assert feed.calls == before

    refreshed(script)
