"""Tests of the calls between processes by which quotas are taken."""

import asyncio
import datetime

from cicadapond.gateway._quota_grants import RETRY_DELAY, QuotaAdmission, QuotaCalls
from cicadapond.gateway.harness import deployment
from cicadapond.gateway.run_test import Log
from cicadapond.kernel import ManualClock, Metrics, seconds
from cicadapond.platform.standin import FleetSettings
from cicadapond.quotas import QuotaShares, coordinators, parts_of
from cicadapond.serving import ClientAccount

ACCOUNT = ClientAccount("acme", frozenset(), rate=100.0, burst=100.0)
NAMES = ("p0", "p1", "p2", "p3")


class Fleet:
    """Processes that all see each other, and those that answer no calls."""

    def __init__(self):
        self.clock = ManualClock()
        self.silent = set()
        self.calls = []
        self.is_same_build = True
        self.age = datetime.timedelta.max
        self.admissions = {name: self._admission(name) for name in NAMES}
        self.clock.advance(seconds(10))

    def _admission(self, name):
        shares = QuotaShares(self.clock, begins_full=True)
        calls = Calls(self)
        return QuotaAdmission(
            name, shares, self, calls, lambda _: ACCOUNT, self.clock, Log(), Metrics()
        )

    def live_by_age(self):
        return NAMES

    def live_since(self):
        return seconds(0)

    def count(self):
        return len(NAMES)

    def grant_share(self):
        return 1.0

    def all_take_grants(self):
        return self.is_same_build

    def reports_age(self):
        return self.age


class Calls(QuotaCalls):
    """Carries the calls of one process."""

    def __init__(self, fleet):
        self._fleet = fleet

    async def call(self, process, payload, timeout):
        self._fleet.calls.append(process)
        if process in self._fleet.silent:
            return None
        return self._fleet.admissions[process].answer(payload)


def coordinator():
    return coordinators("acme", 0, NAMES)[0]


def run(check):
    asyncio.run(check(Fleet()))


def test_all_processes_draw_from_one_bucket():
    async def check(fleet):
        for _ in range(5):
            waits = [await each.take(ACCOUNT, 5.0) for each in fleet.admissions.values()]
            assert waits == [None] * 4
        waits = [await each.take(ACCOUNT, 5.0) for each in fleet.admissions.values()]
        assert all(wait is not None for wait in waits)

    run(check)


def test_a_process_does_not_ask_again_right_after_a_refusal():
    """Guards against a crowd of callers that becomes a crowd of calls."""

    async def check(fleet):
        asking = next(fleet.admissions[name] for name in NAMES if name != coordinator())
        assert await asking.take(ACCOUNT, 100.0) is None
        wait = await asking.take(ACCOUNT, 50.0)
        assert wait == seconds(0.5) and len(fleet.calls) == 2
        assert await asking.take(ACCOUNT, 50.0) == wait and len(fleet.calls) == 2
        # A smaller one may be within the quota.
        assert await asking.take(ACCOUNT, 5.0) is not None and len(fleet.calls) == 3
        fleet.clock.advance(wait)
        assert await asking.take(ACCOUNT, 50.0) is None

    run(check)


def test_small_requests_need_no_call_while_their_account_is_far_below_its_quota():
    async def check(fleet):
        fleet.age = seconds(0.2)
        asking = next(fleet.admissions[name] for name in NAMES if name != coordinator())
        # All four processes may spend a quarter of the burst in a second.
        assert [await asking.take(ACCOUNT, 3.0) for _ in range(2)] == [None] * 2
        assert not fleet.calls
        assert await asking.take(ACCOUNT, 3.0) is None and len(fleet.calls) == 1
        fleet.clock.advance(seconds(1))
        fleet.age = seconds(1.1)
        assert await asking.take(ACCOUNT, 3.0) is None and len(fleet.calls) == 2

    run(check)


def test_the_next_process_grants_if_the_coordinator_does_not_answer():
    async def check(fleet):
        first, second, *_ = coordinators("acme", 0, NAMES)
        asking = next(fleet.admissions[name] for name in NAMES if name not in (first, second))
        fleet.silent = {first}
        # The next one does not know what the first one has granted, and begins with nothing.
        assert await asking.take(ACCOUNT, 5.0) is not None
        fleet.clock.advance(seconds(0.3))
        assert await asking.take(ACCOUNT, 5.0) is None
        assert fleet.calls == [first, second, second]
        fleet.silent = set()
        fleet.clock.advance(RETRY_DELAY)
        assert await asking.take(ACCOUNT, 5.0) is None
        assert fleet.calls[-1] == first

    run(check)


def test_a_process_that_reaches_no_coordinator_uses_its_part_of_the_quota():
    async def check(fleet):
        fleet.silent = set(NAMES)
        asking = fleet.admissions[coordinators("acme", 0, NAMES)[-1]]
        admitted = 0
        for _ in range(400):
            fleet.clock.advance(seconds(0.05))
            admitted += 5 * (await asking.take(ACCOUNT, 5.0) is None)
        assert 400 <= admitted <= 100.0 * 20 / len(NAMES) + 100.0 / len(NAMES)

    run(check)


def test_callers_below_the_quota_are_served_while_all_others_are_of_an_earlier_build():
    async def check(fleet):
        fleet.silent, fleet.is_same_build = set(NAMES), False
        asking = fleet.admissions[coordinators("acme", 0, NAMES)[-1]]
        for _ in range(100):
            fleet.clock.advance(seconds(0.05))
            assert await asking.take(ACCOUNT, 4.0) is None

    run(check)


def test_calls_that_cannot_be_read_are_answered_without_a_grant():
    async def check(fleet):
        answer = fleet.admissions["p0"].answer
        for payload in (
            None,
            [],
            ["take"],
            ["take", 1, 0, 1, 5.0, False],
            ["take", "a", 0, 0, 5.0, 0],
            ["take", "a", 0, 1, 5.0, 9],
        ):
            assert answer(payload) == []

    run(check)


def test_quotas_of_large_accounts_are_divided_in_large_deployments():
    large = ClientAccount("a", frozenset(), 1e6, 1e6, None, True, 10_000)
    small = ClientAccount("b", frozenset(), 5e4, 5e4, None, True, 10_000)
    assert [parts_of(large, count) for count in (1, 40, 195, 420)] == [1, 1, 5, 5]
    assert parts_of(small, 420) == 1


def test_two_processes_admit_no_more_than_one_quota(tmp_path):
    """Guards against QUOTA: callers at two processes spent the same remainder."""

    async def check():
        settings = FleetSettings(quota_per_s=20_000.0)
        async with deployment(tmp_path, settings, 2) as system:
            await system.until_joined()
            await asyncio.sleep(1.5)
            callers = [(system.caller(number % 2), number) for number in range(40)]

            async def ask(caller, number):
                headers = {"x_cicadapond_token_count": "1900,100"}
                await caller.stream(f"r-{number}", **headers)
                return (await caller.read_response()).status

            statuses = await asyncio.gather(*(ask(caller, number) for caller, number in callers))
            # Twenty streams are offered at once at each of them, and ten are within the burst.
            assert 10 <= statuses.count(200) <= 20 and 429 in statuses

    asyncio.run(check())
